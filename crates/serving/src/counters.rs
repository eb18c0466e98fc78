//! What a host counts, told in its log.

use pearfork::{AttemptResult, Reason};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counts since the last line.
#[derive(Default)]
pub(crate) struct Tally {
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) gone: u64,
    pub(crate) faults: u64,
    pub(crate) refused: BTreeMap<Reason, u64>,
    pub(crate) failed: BTreeMap<Reason, u64>,
    pub(crate) sent: u64,
    pub(crate) ended: BTreeMap<&'static str, u64>,
    pub(crate) opened: u64,
    /// Longest time between a command's reading and its turn, milliseconds.
    pub(crate) slowest_turn: f64,
}

impl Tally {
    pub(crate) fn ended(&mut self, verdict: AttemptResult) {
        let word = match verdict {
            AttemptResult::Served => "served",
            AttemptResult::Error => "error",
            AttemptResult::Rejected => "full",
            AttemptResult::TimedOut => "timed-out",
            AttemptResult::ConnectFailed => "unreached",
            AttemptResult::Reset => "reset",
            AttemptResult::Cancelled => "cancelled",
            AttemptResult::NotSent => "moot",
        };
        *self.ended.entry(word).or_insert(0) += 1;
    }

    /// One line, and from nothing again.
    pub(crate) fn line(&mut self) -> String {
        let t = std::mem::take(self);
        let mut line = format!(
            "asked {} served {} gone {} faults {} sent {} opened {} slowest turn {:.1} ms",
            t.asked, t.served, t.gone, t.faults, t.sent, t.opened, t.slowest_turn
        );
        for (word, n) in &t.ended {
            let _ = write!(line, ", {word} {n}");
        }
        for (verb, counts) in [("refused", &t.refused), ("failed", &t.failed)] {
            for (reason, n) in counts {
                let _ = write!(line, ", {verb} {reason} {n}");
            }
        }
        line
    }
}
