//! How long a node has been up, judged by a host whose wall clock may be off.
//!
//! Lists give a node's last start as wall time. The host's clock is the wall clock at its own start and
//! monotonic from there, so it may differ from the clock that the start was read off by any amount. What the
//! host saw come while it followed discovery has been up no longer than that follows from when it last heard;
//! where the stated start says otherwise, one of the clocks is off, and the node counts as just started: slow
//! start errs towards a cold node. What stood in the first list is judged by the stated start, and again once
//! a clock was found to be ahead.

/// How long after a node's start discovery may tell of it, beyond the time in which nothing was heard.
const TOLD_LATE_MS: f64 = 15_000.0;
/// A start that lies further back than this before the one that is known was read off a clock that was set
/// back.
const SET_BACK_MS: f64 = 1_800_000.0;

/// Whether a stated start is that of another run of a node than the one that is known.
pub fn is_restart(stated_ms: f64, known_ms: f64) -> bool {
    stated_ms > known_ms || (stated_ms > 0.0 && stated_ms < known_ms - SET_BACK_MS)
}

/// What a host knows of the clock that starts of nodes are read off.
#[derive(Default)]
pub(crate) struct StartClock {
    /// When discovery was last heard.
    heard_at: Option<f64>,
    /// How far the host's clock is ahead of the other, at the least.
    lead_ms: f64,
}

/// When a node started, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UpSince {
    /// Minus infinity for long ago.
    pub(crate) at_ms: f64,
    /// It is the stated start, which another clock may have to correct.
    pub(crate) is_stated: bool,
}

impl StartClock {
    /// Judges the start of a node that has just become known; true beside it where a clock was found to be
    /// further ahead than was known before.
    pub(crate) fn judge(&mut self, now: f64, stated_ms: f64) -> (UpSince, bool) {
        if stated_ms <= 0.0 {
            return (UpSince { at_ms: f64::NEG_INFINITY, is_stated: true }, false);
        }
        let Some(heard_at) = self.heard_at else {
            return (UpSince { at_ms: self.corrected(now, stated_ms), is_stated: true }, false);
        };
        let age_ms = now - stated_ms;
        let most_ms = (now - heard_at).max(0.0) + TOLD_LATE_MS;
        if (0.0..=most_ms).contains(&age_ms) {
            return (UpSince { at_ms: stated_ms, is_stated: false }, false);
        }
        let is_further = age_ms > self.lead_ms;
        self.lead_ms = self.lead_ms.max(age_ms);
        (UpSince { at_ms: now, is_stated: false }, is_further)
    }

    /// The stated start of a node of the first list, never in the future.
    pub(crate) fn corrected(&self, now: f64, stated_ms: f64) -> f64 {
        (stated_ms + self.lead_ms).min(now)
    }

    /// Discovery was heard, with news or without.
    pub(crate) fn heard(&mut self, now: f64) {
        self.heard_at = Some(now);
    }
}
