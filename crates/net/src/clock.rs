//! A clock that gives Unix time and never goes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic Unix time in milliseconds: the system clock is read once, at the start, and elapsed time is
/// added to it.
///
/// The node list states when each node started as Unix time. If this clock started_at at 0 with the process,
/// a node that started just before the host would look as if it had been running for a long time, and would
/// be sent its full load while still cold.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    start_ms: f64,
}

impl Clock {
    /// Starts the clock at the system's time.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { started_at: Instant::now(), start_ms: unix_time.as_secs_f64() * 1_000.0 }
    }

    /// The current Unix time in milliseconds.
    pub fn now_ms(&self) -> f64 {
        self.start_ms + self.started_at.elapsed().as_secs_f64() * 1_000.0
    }

    /// Converts an instant to Unix time in milliseconds.
    pub fn ms_at(&self, instant: Instant) -> f64 {
        // An instant before the clock's start gives a time before the start.
        let before_start = self.started_at.saturating_duration_since(instant).as_secs_f64();
        self.start_ms
            + (instant.saturating_duration_since(self.started_at).as_secs_f64() - before_start) * 1_000.0
    }

    /// Converts Unix time in milliseconds to an instant, for use as a deadline; times before the start give
    /// the start.
    pub fn instant(&self, time_ms: f64) -> Instant {
        let after_start = ((time_ms - self.start_ms) / 1_000.0).clamp(0.0, 1e9);
        self.started_at + Duration::from_secs_f64(after_start)
    }
}
