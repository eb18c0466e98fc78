//! Volumes, their extents, and the shard of each extent. No I/O.
//!
//! An extent is a fixed range of a volume's blocks. The settings assign it to a shard, and thereby to the
//! nodes that hold that shard. A command that crosses extents is split at their boundaries.

use pearfork_scsi::{LogicalUnit, MediaCommand, MediaOp};

/// A volume's position in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct VolumeId(pub u32);

/// A volume as clients see it, and where its blocks are.
#[derive(Clone, Debug, PartialEq)]
pub struct Volume {
    /// Its position in the settings.
    pub id: VolumeId,
    /// Its name in the settings, metrics and logs.
    pub name: String,
    /// The iSCSI target that exports it.
    pub target: String,
    /// Its LUN at that target.
    pub lun: u16,
    /// The SCSI logical unit: size and identity.
    pub unit: LogicalUnit,
    /// Number of blocks in an extent.
    pub extent_blocks: u64,
    /// The shards that hold the extents, assigned round-robin.
    pub shards: Vec<u16>,
    /// Position of its service plan.
    pub plan: u16,
    /// Number of hosts through which its requests come.
    pub hosts: u32,
    /// Names of the initiators that may use it; `*` for any.
    pub initiators: Vec<String>,
}

/// The part of a command that lies within one extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The extent's key for the scheduler, unique over all volumes; never 0.
    pub extent: u64,
    /// The shard that holds the extent.
    pub shard: u16,
    /// The operation and its blocks.
    pub media: MediaCommand,
    /// Byte offset of this part's data within the command's data.
    pub offset: usize,
}

impl Volume {
    /// The shard of an extent.
    pub fn shard_of(&self, extent: u64) -> u16 {
        self.shards[(extent % self.shards.len() as u64) as usize]
    }

    /// Whether an initiator may use the volume.
    pub fn allows(&self, initiator: &str) -> bool {
        self.initiators.iter().any(|i| i == "*" || i.eq_ignore_ascii_case(initiator))
    }

    fn extent_key(&self, extent: u64) -> u64 {
        (u64::from(self.id.0) + 1) << 40 | (extent & ((1 << 40) - 1))
    }

    /// Splits a command into its parts, in order; none if it has no blocks. The blocks must exist.
    pub fn split(&self, media: MediaCommand) -> Vec<Part> {
        let end = media.lba + u64::from(media.blocks);
        if media.op == MediaOp::Flush {
            return self.split_flush(media, end);
        }
        let (mut lba, mut out) = (media.lba, Vec::new());
        while lba < end {
            let extent = lba / self.extent_blocks;
            let extent_end = end.min((extent + 1) * self.extent_blocks);
            let offset = (lba - media.lba) as usize * self.unit.block_len as usize;
            let media = MediaCommand { lba, blocks: (extent_end - lba) as u32, ..media };
            out.push(Part { extent: self.extent_key(extent), shard: self.shard_of(extent), media, offset });
            lba = extent_end;
        }
        out
    }

    /// A flush goes once, with its whole range, to each shard that holds a block of the range.
    fn split_flush(&self, media: MediaCommand, end: u64) -> Vec<Part> {
        if media.blocks == 0 {
            return Vec::new();
        }
        let (first, last) = (media.lba / self.extent_blocks, (end - 1) / self.extent_blocks);
        let mut out: Vec<Part> = Vec::new();
        // Extents are assigned round-robin, so that as many extents as there are shards cover every shard.
        for extent in first..=last.min(first + self.shards.len() as u64 - 1) {
            let shard = self.shard_of(extent);
            if out.iter().all(|p| p.shard != shard) {
                out.push(Part { extent: self.extent_key(extent), shard, media, offset: 0 });
            }
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn volume(blocks: u64, extent_blocks: u64, shards: Vec<u16>) -> Volume {
        Volume {
            id: VolumeId(2),
            name: "v".to_owned(),
            target: "t".to_owned(),
            lun: 0,
            unit: LogicalUnit {
                blocks,
                block_len: 512,
                max_transfer_blocks: pearfork_scsi::MAX_TRANSFER_BLOCKS,
                serial: "v".to_owned(),
            },
            extent_blocks,
            shards,
            plan: 0,
            hosts: 1,
            initiators: vec!["*".to_owned()],
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(400) })]
        #[test]
        fn parts_cover_a_command_once_and_none_crosses_an_extent(
            lba in 0u64..5000, blocks in 0u32..2048, extent in 1u64..700, shards in 1u16..9,
        ) {
            let v = volume(10_000, extent, (0..shards).collect());
            let media = MediaCommand { op: MediaOp::Read, lba, blocks, fua: false, group: 0 };
            let mut at = lba;
            for p in v.split(media) {
                prop_assert_eq!(p.media.lba, at);
                prop_assert_eq!(p.offset as u64, (at - lba) * 512);
                let last = at + u64::from(p.media.blocks) - 1;
                prop_assert!(p.media.blocks > 0 && at / extent == last / extent);
                prop_assert_eq!(p.shard, v.shard_of(at / extent));
                prop_assert!(p.extent != 0);
                at = last + 1;
            }
            prop_assert_eq!(at, lba + u64::from(blocks));
        }

        #[test]
        fn a_flush_reaches_each_shard_of_its_range_once(lba in 0u64..5000, blocks in 1u32..5000, extent in 1u64..700) {
            let v = volume(10_000, extent, vec![4, 1, 4, 7]);
            let media = MediaCommand { op: MediaOp::Flush, lba, blocks, fua: false, group: 0 };
            let mut got: Vec<u16> = v.split(media).iter().map(|p| p.shard).collect();
            got.sort_unstable();
            let end = lba + u64::from(blocks) - 1;
            let mut want: Vec<u16> = (lba / extent..=end / extent).map(|e| v.shard_of(e)).collect();
            want.sort_unstable();
            want.dedup();
            prop_assert_eq!(got, want);
        }
    }
}
