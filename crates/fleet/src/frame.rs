//! The framing that sockets and files share: a 4-byte big-endian length, a 4-byte CRC-32C of the body, then
//! the body as JSON. No I/O.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Length of the frame header, in bytes.
pub const HEADER_BYTES: usize = 8;

/// Why bytes cannot be decoded as a frame. The data after them cannot be decoded either.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length in the header exceeds the maximum.
    #[error("frame body has {length} bytes, more than the maximum of {max_body_bytes}")]
    TooLong {
        /// Length according to the header, in bytes.
        length: u64,
        /// Maximum length of a body, in bytes.
        max_body_bytes: usize,
    },
    /// The body does not match its checksum.
    #[error("frame checksum does not match the body")]
    Checksum,
    /// The body is not valid JSON of the expected type.
    #[error("frame body cannot be decoded: {0}")]
    InvalidBody(String),
}

/// Appends a frame to a buffer. A value that cannot be serialized leaves an empty frame, which no reader
/// accepts.
pub fn encode(out: &mut Vec<u8>, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&crc32c::crc32c(&body).to_be_bytes());
    out.extend_from_slice(&body);
}

/// Decodes the first frame of a buffer. Returns its value and its length in bytes; none if the frame is
/// incomplete.
///
/// # Errors
/// The bytes are not a valid frame with a body of at most `max_body_bytes`.
pub fn decode<T: DeserializeOwned>(
    bytes: &[u8],
    max_body_bytes: usize,
) -> Result<Option<(T, usize)>, FrameError> {
    let read_u32 = |at: usize| bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    let (Some(length), Some(checksum)) = (read_u32(0), read_u32(4)) else { return Ok(None) };
    // The length comes from the peer and may have any value: it is checked before memory is allocated for the
    // body.
    if length as usize > max_body_bytes {
        return Err(FrameError::TooLong { length: u64::from(length), max_body_bytes });
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + length as usize) else { return Ok(None) };
    if crc32c::crc32c(body) != checksum {
        return Err(FrameError::Checksum);
    }
    let value = serde_json::from_slice(body).map_err(|e| FrameError::InvalidBody(e.to_string()))?;
    Ok(Some((value, HEADER_BYTES + body.len())))
}
