//! Selects the nodes that a host of a large fleet uses: a stable subset of each shard, so that the host holds
//! connections to few nodes.
//!
//! Each host ranks nodes by a hash of its own salt and the node (rendezvous hashing) and uses the highest.
//! The subsets of all hosts cover the nodes evenly, and a node that comes or goes changes one place in the
//! subsets that it belongs to. Nodes that may not be used are left out before, so the next in rank replace a
//! subset that drains or is in backoff as a whole.

use std::cmp::Reverse;

/// Most nodes that a host uses over all shards while all of them work.
const MAX_USED_NODES: usize = 256;
/// Subsets are used where the list has more than this many times MAX_USED_NODES.
const LARGE_FLEET_FACTOR: usize = 2;
/// Least nodes of a shard that a host uses.
const MIN_USED_PER_SHARD: usize = 8;

/// A host's own ranking of nodes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Subset {
    salt: u64,
}

impl Subset {
    pub(crate) fn new(salt: u64) -> Self {
        Subset { salt }
    }

    /// Whether a list of this length is long enough for subsets.
    pub(crate) fn is_used(listed: usize) -> bool {
        listed > LARGE_FLEET_FACTOR * MAX_USED_NODES
    }

    /// Reduces the candidates for a request to those that this host uses, of one of `shards` shards or of
    /// all.
    pub(crate) fn narrow(&self, candidates: &mut Vec<u32>, shards: usize, is_one_shard: bool) {
        let size = if is_one_shard {
            MIN_USED_PER_SHARD.max(MAX_USED_NODES / shards.max(1))
        } else {
            MAX_USED_NODES / 2
        };
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
