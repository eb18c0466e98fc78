//! Load model: which hosts use which volume at a time. It depends on the seed and the time alone, so that all
//! processes compute the same.

use crate::size::Size;

/// Demand of each user of a volume as a fraction of its limit. The sum over the users exceeds the limit, as
/// under heavy load.
pub const DEMAND_PER_USER: f64 = 0.5;

const MS_PER_SECOND: f64 = 1_000.0;

/// The load model of a run.
#[derive(Clone, Debug)]
pub struct LoadModel {
    hosts: u32,
    users: u32,
    seed: u64,
    /// Milliseconds between two moves of the load of a volume; infinite if no load moves.
    period_ms: f64,
}

/// The SplitMix64 hash function.
fn splitmix64(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl LoadModel {
    /// Creates the load model of a run of this size.
    pub fn new(size: &Size) -> LoadModel {
        let period_ms = if size.moving > 0.0 { MS_PER_SECOND / size.moving } else { f64::INFINITY };
        LoadModel { hosts: size.hosts, users: size.users.min(size.hosts), seed: size.seed, period_ms }
    }

    /// Returns how often the load of a volume has moved at a time.
    pub fn move_count(&self, volume: u32, at_ms: f64) -> u64 {
        let phase = splitmix64(self.seed ^ u64::from(volume)) as f64 / u64::MAX as f64;
        let move_count = at_ms.max(0.0) / self.period_ms + phase;
        move_count as u64
    }

    /// Returns the time of the last move of a volume before `at_ms`; 0 if there was none.
    pub fn last_moved_ms(&self, volume: u32, at_ms: f64) -> f64 {
        let phase = splitmix64(self.seed ^ u64::from(volume)) as f64 / u64::MAX as f64;
        let move_count = self.move_count(volume, at_ms) as f64;
        ((move_count - phase) * self.period_ms).max(0.0)
    }

    /// Whether the clients of a host use a volume after a number of moves. Users are consecutive hosts; each
    /// move shifts them by one.
    pub fn is_user(&self, host: u32, volume: u32, move_count: u64) -> bool {
        let first_user = splitmix64(self.seed.wrapping_add(u64::from(volume) << 20)).wrapping_add(move_count);
        let first_user = (first_user % u64::from(self.hosts)) as u32;
        let position = (host + self.hosts - first_user) % self.hosts;
        position < self.users
    }

    /// Whether the last move made a host a user of a volume.
    pub fn is_new_user(&self, host: u32, volume: u32, move_count: u64) -> bool {
        move_count > 0
            && self.is_user(host, volume, move_count)
            && !self.is_user(host, volume, move_count - 1)
    }
}
