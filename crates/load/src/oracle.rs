//! Tracks the valid contents of each block: the last acknowledged write, or a write of which the outcome is
//! unknown.
//!
//! Each block is written by one session, one write at a time, so the last acknowledged write is the valid
//! one. A write that failed or was lost may have taken effect or may still do so, and no protocol bounds the
//! time: its content stays valid for the rest of the run, and such blocks are counted.

use crate::stamp::SequenceNumber;
use std::collections::HashMap;

/// State of a block.
#[derive(Clone, Debug, Default)]
struct BlockHistory {
    /// The last acknowledged write.
    acknowledged: SequenceNumber,
    /// Writes of which the outcome is unknown.
    uncertain: Vec<SequenceNumber>,
    /// The write in flight.
    pending_write: Option<SequenceNumber>,
    /// Reads in flight.
    active_reads: u32,
}

/// Most uncertain writes kept for a block. Beyond it the oldest is dropped, and would be reported as a
/// mismatch if a read returned it.
const MAX_UNCERTAIN_WRITES: usize = 64;

/// Invalid contents of a block.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// The block does not hold the last acknowledged write.
    #[error("block {lba} holds write {found}, but write {expected} was acknowledged")]
    LostWrite {
        /// Address of the block.
        lba: u64,
        /// Sequence number that it holds.
        found: u64,
        /// Sequence number of the last acknowledged write.
        expected: u64,
    },
    /// The block holds no valid stamp for its address.
    #[error("block {lba}: {error}")]
    InvalidStamp {
        /// Address of the block.
        lba: u64,
        /// Why the stamp is invalid.
        error: crate::stamp::StampError,
    },
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The status was GOOD: later reads must return it.
    Acknowledged,
    /// Refused: the target guarantees that it had no effect.
    Refused,
    /// Failed, aborted or lost with its connection: it may have taken effect.
    Unknown,
}

/// Valid contents of the blocks of one session.
#[derive(Default)]
pub struct Oracle {
    blocks: HashMap<u64, BlockHistory>,
    last_sequence: u64,
}

impl Oracle {
    /// Whether a request may be sent now. A block is not read or written while a write of it is in flight,
    /// nor written while a read is: either content would be valid then, and the read could not be verified.
    pub fn can_start(&self, lba: u64, blocks: u32, write: bool) -> bool {
        (lba..lba + u64::from(blocks)).all(|b| {
            self.blocks.get(&b).is_none_or(|b| b.pending_write.is_none() && !(write && b.active_reads > 0))
        })
    }

    /// Starts a write and returns the sequence number with which its blocks must be stamped.
    pub fn begin_write(&mut self, lba: u64, blocks: u32) -> SequenceNumber {
        self.last_sequence += 1;
        let sequence = SequenceNumber(self.last_sequence);
        for b in lba..lba + u64::from(blocks) {
            self.blocks.entry(b).or_default().pending_write = Some(sequence);
        }
        sequence
    }

    /// Ends a write.
    pub fn finish_write(&mut self, lba: u64, blocks: u32, sequence: SequenceNumber, outcome: WriteOutcome) {
        for b in lba..lba + u64::from(blocks) {
            let Some(block) = self.blocks.get_mut(&b).filter(|b| b.pending_write == Some(sequence)) else {
                continue;
            };
            block.pending_write = None;
            match outcome {
                WriteOutcome::Acknowledged => block.acknowledged = sequence,
                WriteOutcome::Refused => {}
                WriteOutcome::Unknown => {
                    if block.uncertain.len() >= MAX_UNCERTAIN_WRITES {
                        block.uncertain.remove(0);
                    }
                    block.uncertain.push(sequence);
                }
            }
        }
    }

    /// Starts a read.
    pub fn begin_read(&mut self, lba: u64, blocks: u32) {
        (lba..lba + u64::from(blocks)).for_each(|b| self.blocks.entry(b).or_default().active_reads += 1);
    }

    /// Ends a read and returns the mismatches in its data; `None` where it returned no data.
    pub fn finish_read(
        &mut self,
        lba: u64,
        blocks: u32,
        data: Option<&[u8]>,
        block_bytes: u32,
    ) -> Vec<Mismatch> {
        let mut mismatches = Vec::new();
        for (i, b) in (lba..lba + u64::from(blocks)).enumerate() {
            let block = self.blocks.entry(b).or_default();
            block.active_reads = block.active_reads.saturating_sub(1);
            let at = i * block_bytes as usize;
            let Some(data) = data else { continue };
            let found = match crate::stamp::read(data.get(at..at + block_bytes as usize).unwrap_or(&[]), b) {
                Ok(found) => found,
                Err(error) => {
                    mismatches.push(Mismatch::InvalidStamp { lba: b, error });
                    continue;
                }
            };
            if found != block.acknowledged && !block.uncertain.contains(&found) {
                mismatches.push(Mismatch::LostWrite {
                    lba: b,
                    found: found.0,
                    expected: block.acknowledged.0,
                });
            }
        }
        mismatches
    }

    /// Returns the ranges of written blocks for the final verification, as first block and count, at most
    /// `max_blocks` each.
    pub fn written_ranges(&self, max_blocks: u32) -> Vec<(u64, u32)> {
        let was_written = |b: &BlockHistory| b.acknowledged > SequenceNumber(0) || !b.uncertain.is_empty();
        let mut all: Vec<u64> =
            self.blocks.iter().filter(|(_, b)| was_written(b)).map(|(lba, _)| *lba).collect();
        all.sort_unstable();
        let mut ranges: Vec<(u64, u32)> = Vec::new();
        for lba in all {
            match ranges.last_mut() {
                Some((first, n)) if *first + u64::from(*n) == lba && *n < max_blocks => *n += 1,
                _ => ranges.push((lba, 1)),
            }
        }
        ranges
    }

    /// Number of blocks for which more than one content is valid.
    pub fn uncertain_blocks(&self) -> usize {
        self.blocks.values().filter(|b| !b.uncertain.is_empty()).count()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::stamp;

    /// Returns consecutive blocks of 512 bytes from `lba` on, each stamped with its sequence number. A block
    /// with number 0 is all zeros.
    fn stamped_blocks(lba: u64, numbers: &[u64]) -> Vec<u8> {
        let mut data = vec![0; numbers.len() * 512];
        for (i, (b, n)) in data.chunks_mut(512).zip(numbers).enumerate() {
            if *n > 0 {
                stamp::write(b, lba + i as u64, SequenceNumber(*n));
            }
        }
        data
    }

    fn reads(o: &mut Oracle, lba: u64, numbers: &[u64]) -> Vec<Mismatch> {
        let n = numbers.len() as u32;
        o.begin_read(lba, n);
        o.finish_read(lba, n, Some(&stamped_blocks(lba, numbers)), 512)
    }

    fn writes(o: &mut Oracle, lba: u64, blocks: u32, outcome: WriteOutcome) -> u64 {
        let n = o.begin_write(lba, blocks);
        o.finish_write(lba, blocks, n, outcome);
        n.0
    }

    #[test]
    fn a_read_must_return_the_last_acknowledged_write() {
        let mut o = Oracle::default();
        assert_eq!(reads(&mut o, 5, &[0, 0]), []);
        let a = writes(&mut o, 5, 2, WriteOutcome::Acknowledged);
        assert_eq!(reads(&mut o, 5, &[a, a]), []);
        let b = writes(&mut o, 6, 1, WriteOutcome::Acknowledged);
        assert_eq!(reads(&mut o, 5, &[a, b]), []);
        assert_eq!(reads(&mut o, 5, &[a, a]), [Mismatch::LostWrite { lba: 6, found: a, expected: b }]);
        assert_eq!(reads(&mut o, 5, &[0, b]), [Mismatch::LostWrite { lba: 5, found: 0, expected: a }]);
    }

    #[test]
    fn a_refused_write_must_not_show_and_a_failed_one_may() {
        let mut o = Oracle::default();
        let a = writes(&mut o, 0, 1, WriteOutcome::Acknowledged);
        let refused = writes(&mut o, 0, 1, WriteOutcome::Refused);
        assert_eq!(reads(&mut o, 0, &[refused]).len(), 1, "a refused write must have no effect");
        let failed = writes(&mut o, 0, 1, WriteOutcome::Unknown);
        assert_eq!((reads(&mut o, 0, &[a]), reads(&mut o, 0, &[failed])), (vec![], vec![]));
        assert_eq!(o.uncertain_blocks(), 1);
        let b = writes(&mut o, 0, 1, WriteOutcome::Acknowledged);
        assert_eq!(reads(&mut o, 0, &[b]), []);
        assert_eq!(
            reads(&mut o, 0, &[a]).len(),
            1,
            "the new write was acknowledged, so the old content is stale"
        );
    }

    #[test]
    fn torn_and_truncated_blocks_are_reported() {
        let mut o = Oracle::default();
        let a = writes(&mut o, 0, 1, WriteOutcome::Acknowledged);
        o.begin_read(0, 1);
        let mut torn = stamped_blocks(0, &[a]);
        torn[300] ^= 1;
        assert!(matches!(o.finish_read(0, 1, Some(&torn), 512)[..], [Mismatch::InvalidStamp { lba: 0, .. }]));
        o.begin_read(0, 1);
        assert!(
            matches!(o.finish_read(0, 1, Some(&[]), 512)[..], [Mismatch::InvalidStamp { .. }]),
            "the block is truncated"
        );
    }

    #[test]
    fn a_block_has_one_write_at_a_time_and_no_concurrent_read() {
        let mut o = Oracle::default();
        assert!(o.can_start(0, 8, true));
        let n = o.begin_write(0, 8);
        assert!(!o.can_start(7, 1, true) && !o.can_start(7, 1, false) && o.can_start(8, 1, true));
        o.finish_write(0, 8, n, WriteOutcome::Acknowledged);
        o.begin_read(0, 8);
        assert!(o.can_start(0, 8, false) && !o.can_start(0, 8, true));
        o.finish_read(0, 8, None, 512);
        assert!(o.can_start(0, 8, true));
        assert_eq!(o.written_ranges(5), [(0, 5), (5, 3)]);
    }
}
