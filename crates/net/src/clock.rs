//! The host's clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds of the Unix epoch that only advance: read off the system's clock once, then monotonic.
///
/// Danger: the node list gives starts of nodes on this scale. A clock that began at 0 with the process would make
/// a node that started just before the host look as if it had been up for ever, and it would be sent full load cold.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Instant,
    began_ms: f64,
}

impl Clock {
    /// Begins at the system's time.
    pub fn start() -> Clock {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::from_secs(1));
        Clock { began: Instant::now(), began_ms: since.as_secs_f64() * 1_000.0 }
    }

    /// Milliseconds of the Unix epoch.
    pub fn now_ms(&self) -> f64 {
        self.began_ms + self.began.elapsed().as_secs_f64() * 1_000.0
    }

    /// A moment of the machine, on this clock.
    pub fn ms_at(&self, at: Instant) -> f64 {
        // What was before the clock began is long over.
        let before = self.began.saturating_duration_since(at).as_secs_f64();
        self.began_ms + (at.saturating_duration_since(self.began).as_secs_f64() - before) * 1_000.0
    }

    /// The same as a moment to wait for.
    pub fn instant(&self, at_ms: f64) -> Instant {
        let after = ((at_ms - self.began_ms) / 1_000.0).clamp(0.0, 1e9);
        self.began + Duration::from_secs_f64(after)
    }
}
