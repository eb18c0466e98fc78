//! Block contents that can be verified. A stamped block holds its own address, the sequence number of the
//! write and a checksum, so that lost, misdirected and torn writes are detected when it is read.

/// Length of the header in bytes: magic number (4), block address (8), sequence number (8), checksum (4).
const HEADER_LENGTH: usize = 24;
const MAGIC: [u8; 4] = *b"pfld";

/// Sequence number of a write: the writes of an [`Oracle`](crate::oracle::Oracle) are numbered from 1 over
/// all of its blocks. 0 stands for a block that was never written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceNumber(pub u64);

/// Why the contents of a block are not a valid stamp for its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StampError {
    /// The block does not begin with the magic number.
    #[error("it holds no stamp of pearfork-load")]
    NotStamped,
    /// A valid stamp for another address: the write was misdirected.
    #[error("it holds the stamp of block {0}: misdirected write")]
    Misdirected(u64),
    /// The checksum does not match: the block holds parts of two writes.
    #[error("torn write: the checksum does not match")]
    Torn,
}

/// Fills a block with the stamp of a write.
pub fn write(block: &mut [u8], lba: u64, sequence: SequenceNumber) {
    let Some((head, rest)) = block.split_at_mut_checked(HEADER_LENGTH) else { return };
    // Every byte of the pattern depends on address and sequence number, so that parts of two writes never
    // match.
    let mut x = lba.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ sequence.0.wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1;
    for chunk in rest.chunks_mut(8) {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        chunk.copy_from_slice(&x.to_le_bytes()[..chunk.len()]);
    }
    head[..4].copy_from_slice(&MAGIC);
    head[4..12].copy_from_slice(&lba.to_le_bytes());
    head[12..20].copy_from_slice(&sequence.0.to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&head[..20]), rest);
    head[20..24].copy_from_slice(&checksum.to_le_bytes());
}

/// Returns the sequence number of the write that a block holds; a block of zeros was never written.
///
/// # Errors
/// The block does not hold a valid stamp for `lba`.
pub fn read(block: &[u8], lba: u64) -> Result<SequenceNumber, StampError> {
    let Some((head, rest)) = block.split_at_checked(HEADER_LENGTH) else {
        return Err(StampError::NotStamped);
    };
    if head.iter().all(|b| *b == 0) && rest.iter().all(|b| *b == 0) {
        return Ok(SequenceNumber(0));
    }
    if head[..4] != MAGIC {
        return Err(StampError::NotStamped);
    }
    let u64_at = |at: usize| head[at..at + 8].iter().rev().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&head[..20]), rest);
    if head[20..24] != checksum.to_le_bytes() {
        return Err(StampError::Torn);
    }
    match u64_at(4) {
        at if at == lba => Ok(SequenceNumber(u64_at(12))),
        at => Err(StampError::Misdirected(at)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stamped_block_returns_its_sequence_number_and_invalid_blocks_are_rejected() {
        let mut a = vec![0; 512];
        assert_eq!(read(&a, 7), Ok(SequenceNumber(0)));
        write(&mut a, 7, SequenceNumber(41));
        assert_eq!(read(&a, 7), Ok(SequenceNumber(41)));
        assert_eq!(read(&a, 8), Err(StampError::Misdirected(7)));
        let mut b = vec![0; 512];
        write(&mut b, 7, SequenceNumber(42));
        for at in [24, 100, 256, 511] {
            let torn = [&a[..at], &b[at..]].concat();
            assert_eq!(read(&torn, 7), Err(StampError::Torn), "{at}");
        }
        assert_eq!(read(&[&a[..4], &vec![0; 508][..]].concat(), 7), Err(StampError::Torn));
        assert_eq!(read(&[9; 512], 7), Err(StampError::NotStamped));
        assert_eq!(read(&[0; 5], 7), Err(StampError::NotStamped));
    }
}
