//! Counters that a host writes to its log.

use pearfork::{AttemptResult, Reason};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Counts since the last log line.
#[derive(Default)]
pub(crate) struct Counters {
    pub(crate) requests: u64,
    pub(crate) served: u64,
    pub(crate) disconnected: u64,
    pub(crate) invalid_commands: u64,
    pub(crate) refused: BTreeMap<Reason, u64>,
    pub(crate) failed: BTreeMap<Reason, u64>,
    pub(crate) attempts_sent: u64,
    pub(crate) attempts_ended: BTreeMap<&'static str, u64>,
    pub(crate) links_opened: u64,
    /// Values that were not passed on because the host could not hold them.
    pub(crate) values_dropped: u64,
    /// Longest time a request waited between being read and being handled by the engine, in milliseconds.
    pub(crate) max_queue_wait_ms: f64,
}

impl Counters {
    pub(crate) fn attempt_ended(&mut self, result: AttemptResult) {
        let label = match result {
            AttemptResult::Served => "served",
            AttemptResult::Error => "error",
            AttemptResult::Rejected => "full",
            AttemptResult::TimedOut => "timed-out",
            AttemptResult::ConnectFailed => "unreached",
            AttemptResult::Reset => "reset",
            AttemptResult::Cancelled => "cancelled",
            AttemptResult::NotSent => "moot",
        };
        *self.attempts_ended.entry(label).or_insert(0) += 1;
    }

    /// Formats the counts as one line and resets them. Operators' tools read the names in the line.
    pub(crate) fn take_log_line(&mut self) -> String {
        let t = std::mem::take(self);
        let mut line = format!(
            "asked {} served {} gone {} faults {} sent {} opened {} slowest turn {:.1} ms",
            t.requests,
            t.served,
            t.disconnected,
            t.invalid_commands,
            t.attempts_sent,
            t.links_opened,
            t.max_queue_wait_ms
        );
        if t.values_dropped > 0 {
            let _ = write!(line, ", values dropped {}", t.values_dropped);
        }
        for (label, n) in &t.attempts_ended {
            let _ = write!(line, ", {label} {n}");
        }
        for (label, counts) in [("refused", &t.refused), ("failed", &t.failed)] {
            for (reason, n) in counts {
                let _ = write!(line, ", {label} {reason} {n}");
            }
        }
        line
    }
}
