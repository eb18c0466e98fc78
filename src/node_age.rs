//! Estimates when a node started, for a host whose wall clock may be wrong.
//!
//! Node lists state a node's last start as wall time. The host's clock is the wall clock at its own start and
//! monotonic from there, so it may differ by any amount from the clock that stated the start.
//!
//! A node that appears while the host follows discovery cannot have started long before the host's last
//! contact with discovery. If the stated start says otherwise, one of the clocks is wrong, and the node
//! counts as just started: slow start then treats it as cold, which is the safe side. A node of the first
//! list is judged by its stated start, and again once the host's clock is found to be ahead.

/// Longest delay with which discovery reports a start, in addition to the time without contact.
const MAX_REPORT_DELAY_MS: f64 = 15_000.0;
/// A start that is stated this much before the known one belongs to a clock that was set back, so it is a new
/// start.
const CLOCK_SET_BACK_MS: f64 = 1_800_000.0;

/// Returns whether a stated start belongs to another run of a node than the known start.
pub fn is_restart(stated_ms: f64, known_ms: f64) -> bool {
    stated_ms > known_ms || (stated_ms > 0.0 && stated_ms < known_ms - CLOCK_SET_BACK_MS)
}

/// What a host knows about the clock that stated starts are read from.
#[derive(Default)]
pub(crate) struct StartClock {
    /// When discovery last responded.
    last_contact_at: Option<f64>,
    /// The least time by which the host's clock is ahead of the other.
    lead_ms: f64,
}

/// When a node started, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UpSince {
    /// Minus infinity for long ago.
    pub(crate) at_ms: f64,
    /// Whether this is the stated start, which may be corrected once the clocks are known better.
    pub(crate) is_stated: bool,
}

impl StartClock {
    /// Estimates the start of a node that has just become known. The second value tells whether the host's
    /// clock was found to be further ahead than known before.
    pub(crate) fn judge(&mut self, now: f64, stated_ms: f64) -> (UpSince, bool) {
        if stated_ms <= 0.0 {
            return (UpSince { at_ms: f64::NEG_INFINITY, is_stated: true }, false);
        }
        let Some(last_contact_at) = self.last_contact_at else {
            return (UpSince { at_ms: self.corrected(now, stated_ms), is_stated: true }, false);
        };
        let age_ms = now - stated_ms;
        let max_age_ms = (now - last_contact_at).max(0.0) + MAX_REPORT_DELAY_MS;
        if (0.0..=max_age_ms).contains(&age_ms) {
            return (UpSince { at_ms: stated_ms, is_stated: false }, false);
        }
        let is_further = age_ms > self.lead_ms;
        self.lead_ms = self.lead_ms.max(age_ms);
        (UpSince { at_ms: now, is_stated: false }, is_further)
    }

    /// Corrects the stated start of a node of the first list; never later than now.
    pub(crate) fn corrected(&self, now: f64, stated_ms: f64) -> f64 {
        (stated_ms + self.lead_ms).min(now)
    }

    /// Notes that discovery responded, with or without changes.
    pub(crate) fn note_contact(&mut self, now: f64) {
        self.last_contact_at = Some(now);
    }
}
