//! Frames, on sockets and in files alike: four bytes of length, four of CRC-32C,
//! then JSON. No I/O.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bytes of a frame before its body.
pub const HEADER_BYTES: usize = 8;

/// Why bytes are no frame. Nothing after them can be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// A length that nobody may ask for.
    #[error("a frame of {length} bytes, where {most} are allowed")]
    TooLong {
        /// What it says.
        length: u64,
        /// What is allowed here.
        most: usize,
    },
    /// The bytes are not those that were written.
    #[error("the checksum of a frame is wrong")]
    Checksum,
    /// No JSON, or not of the form that it must have.
    #[error("the body of a frame makes no sense: {0}")]
    Body(String),
}

/// Writes a frame to the end of a buffer. A value that has no JSON leaves an empty frame, which no reader takes.
pub fn put(out: &mut Vec<u8>, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
    out.extend_from_slice(&body);
}

/// Reads the first frame of a buffer: what it holds and how many bytes it took; none where it is not whole yet.
///
/// # Errors
/// The bytes are no frame of at most `most` bytes of body.
pub fn get<T: DeserializeOwned>(bytes: &[u8], most: usize) -> Result<Option<(T, usize)>, FrameFault> {
    let read_u32 = |at: usize| bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    let (Some(length), Some(sum)) = (read_u32(0), read_u32(4)) else { return Ok(None) };
    // Danger: a length may be anything. It is checked before any memory is allocated for it.
    if length as usize > most {
        return Err(FrameFault::TooLong { length: u64::from(length), most });
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + length as usize) else { return Ok(None) };
    if crc32c::crc32c(body) != sum {
        return Err(FrameFault::Checksum);
    }
    let value = serde_json::from_slice(body).map_err(|e| FrameFault::Body(e.to_string()))?;
    Ok(Some((value, HEADER_BYTES + body.len())))
}
