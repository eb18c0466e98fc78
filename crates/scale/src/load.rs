//! Which hosts use which volume when: drawn from the seed and the time alone, so that all processes agree on it.

use crate::size::Size;

/// Demand of each user of a volume, as a fraction of its limit: more than there is, as on a busy day.
pub const DEMAND: f64 = 0.5;

const MS_PER_SECOND: f64 = 1_000.0;

/// The load of a run.
#[derive(Clone, Debug)]
pub struct Load {
    hosts: u32,
    users: u32,
    seed: u64,
    /// Milliseconds from one move of a volume to its next; infinite where none moves.
    period_ms: f64,
}

fn mix(mut z: u64) -> u64 {
    z = z.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Load {
    /// The load of a run of this size.
    pub fn new(size: &Size) -> Load {
        let period_ms = if size.moving > 0.0 { MS_PER_SECOND / size.moving } else { f64::INFINITY };
        Load { hosts: size.hosts, users: size.users.min(size.hosts), seed: size.seed, period_ms }
    }

    /// How often the load of a volume has moved by then.
    pub fn moves(&self, volume: u32, at_ms: f64) -> u64 {
        let phase = mix(self.seed ^ u64::from(volume)) as f64 / u64::MAX as f64;
        let moves = at_ms.max(0.0) / self.period_ms + phase;
        moves as u64
    }

    /// When a volume moved last, by then; 0 where it has not.
    pub fn moved_at(&self, volume: u32, at_ms: f64) -> f64 {
        let phase = mix(self.seed ^ u64::from(volume)) as f64 / u64::MAX as f64;
        let moves = self.moves(volume, at_ms) as f64;
        ((moves - phase) * self.period_ms).max(0.0)
    }

    /// Whether a host's clients use a volume after so many moves. Its users stand in a row that moves on by one.
    pub fn uses(&self, host: u32, volume: u32, moves: u64) -> bool {
        let first = mix(self.seed.wrapping_add(u64::from(volume) << 20)).wrapping_add(moves);
        let first = (first % u64::from(self.hosts)) as u32;
        let place = (host + self.hosts - first) % self.hosts;
        place < self.users
    }

    /// Whether a host became a user of a volume by its last move.
    pub fn is_newcomer(&self, host: u32, volume: u32, moves: u64) -> bool {
        moves > 0 && self.uses(host, volume, moves) && !self.uses(host, volume, moves - 1)
    }
}
