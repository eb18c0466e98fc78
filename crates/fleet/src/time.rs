//! The clock that leases are measured with.

use std::time::{Duration, Instant};

/// A monotonic clock in milliseconds since its start. Fault-injection tests can make it run fast or slow.
///
/// It must not be the wall clock: a change of that by an administrator or a time service would end leases too
/// early or too late by as much.
#[derive(Clone, Copy, Debug)]
pub struct LeaseClock {
    started_at: Instant,
    rate: f64,
}

impl LeaseClock {
    /// A clock that starts now and runs at this rate relative to real time; 1 by default.
    pub fn start(rate: Option<f64>) -> LeaseClock {
        LeaseClock { started_at: Instant::now(), rate: rate.unwrap_or(1.0) }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0 * self.rate
    }

    /// Converts a time of this clock to an [`Instant`].
    pub fn instant(&self, time_ms: f64) -> Instant {
        let elapsed_seconds = (time_ms / 1_000.0 / self.rate).clamp(0.0, 1e9);
        self.started_at + Duration::from_secs_f64(elapsed_seconds)
    }
}
