//! Which nodes a host of a large fleet uses: a stable part of each shard's, so that it holds connections to
//! few of them.
//!
//! Hosts rank nodes by a hash of their own salt and the node (rendezvous hashing): each uses its highest, the
//! parts of all hosts cover the nodes evenly, and a node that comes or goes moves one place in the parts that
//! it belongs to. Whatever may not be sent to is left out before, so a part that drains or rests as a whole
//! gives way to the next in rank.

use std::cmp::Reverse;

/// Nodes that a host uses at the most over all shards, where none of them is at fault.
const MOST_USED: usize = 256;
/// A fleet is large where it has so many times as many.
const LARGE: usize = 2;
/// Nodes of a shard that a host uses at the least.
const LEAST_OF_SHARD: usize = 8;

/// A host's own ranking of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Subset {
    salt: u64,
}

impl Subset {
    pub(crate) fn new(salt: u64) -> Self {
        Subset { salt }
    }

    /// Whether a fleet of so many nodes is large enough to use a part of it.
    pub(crate) fn is_used(listed: usize) -> bool {
        listed > LARGE * MOST_USED
    }

    /// Leaves of the nodes that a request may go to those that this host uses: of one of so many shards, or
    /// of all.
    pub(crate) fn narrow(&self, candidates: &mut Vec<u32>, shards: usize, is_one_shard: bool) {
        let size = if is_one_shard { LEAST_OF_SHARD.max(MOST_USED / shards.max(1)) } else { MOST_USED / 2 };
        if candidates.len() > size {
            candidates.select_nth_unstable_by_key(size - 1, |node| Reverse(self.rank(*node)));
            candidates.truncate(size);
            candidates.sort_unstable();
        }
    }

    fn rank(&self, node: u32) -> u64 {
        let mut z = self.salt ^ u64::from(node).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
