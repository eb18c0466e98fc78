//! The clock by which leases are counted.

use std::time::{Duration, Instant};

/// Milliseconds since the process began, by the machine's monotonic clock; in trials it may be told to run fast or slow.
///
/// Danger: a clock that people or a time service set would end leases early or late by as much as it is set.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    began: Instant,
    rate: f64,
}

impl LeaseClock {
    /// Begins now.
    pub fn start(rate: Option<f64>) -> LeaseClock {
        LeaseClock { began: Instant::now(), rate: rate.unwrap_or(1.0) }
    }

    /// Milliseconds since it began.
    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0 * self.rate
    }

    /// The same as a moment of the machine.
    pub fn instant(&self, at_ms: f64) -> Instant {
        let after = (at_ms / 1_000.0 / self.rate).clamp(0.0, 1e9);
        self.began + Duration::from_secs_f64(after)
    }
}
