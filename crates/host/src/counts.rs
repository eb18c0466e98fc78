//! Counters of a host's commands and attempts. No I/O, no clock.

use crate::volumes::VolumeId;
use pearfork::Reason;
use std::collections::BTreeMap;

/// Counters of a class since the host's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Commands received.
    pub taken: u64,
    /// Commands served.
    pub served: u64,
    /// Commands served later than the class's aim.
    pub late: u64,
    /// Commands refused.
    pub refused: u64,
    /// Commands failed.
    pub failed: u64,
    /// Commands that the client aborted, or whose session closed, before the final answer.
    pub abandoned: u64,
}

impl ClassCounts {
    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &ClassCounts) {
        self.taken += other.taken;
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.abandoned += other.abandoned;
    }
}

/// Counters of a node since the host first sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent after a request's first one, hedged attempts included.
    pub retries: u64,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that the node answered with an error.
    pub errors: u64,
    /// Attempts that the node rejected as full.
    pub full: u64,
    /// Attempts without a response in time.
    pub timed_out: u64,
    /// Attempts not sent for lack of a connection.
    pub connect_failed: u64,
    /// Attempts lost with their connection.
    pub reset: u64,
    /// Attempts not sent for a reason that does not concern the node.
    pub not_sent: u64,
    /// Attempts cancelled because the host no longer needs their response.
    pub cancelled: u64,
}

/// Minimum interval between two log lines of the same reason, in milliseconds: a host that refuses 10,000
/// commands a second must not write as many lines.
const LOG_INTERVAL_MS: f64 = 1_000.0;

/// What [`ReasonCounts`] counts by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReasonKey {
    /// Position of the command's class.
    pub class: u16,
    /// The command's volume.
    pub volume: VolumeId,
    /// Why the command was refused or failed.
    pub reason: Reason,
    /// Whether the command failed; otherwise it was refused.
    pub failed: bool,
}

/// Refusals and failures since the host's start. There are at most two counts, refused and failed, for each
/// class, volume and reason.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReasonCounts {
    counts: BTreeMap<ReasonKey, u64>,
    logged: BTreeMap<Reason, f64>,
}

impl ReasonCounts {
    /// Counts one command. True if a line of this reason may be logged again.
    pub fn add(&mut self, now: f64, class: u16, volume: VolumeId, reason: Reason, failed: bool) -> bool {
        *self.counts.entry(ReasonKey { class, volume, reason, failed }).or_insert(0) += 1;
        let due = self.logged.get(&reason).is_none_or(|at| now - at >= LOG_INTERVAL_MS);
        if due {
            self.logged.insert(reason, now);
        }
        due
    }

    /// Iterates over all counts.
    pub fn iter(&self) -> impl Iterator<Item = (ReasonKey, u64)> + '_ {
        self.counts.iter().map(|(k, n)| (*k, *n))
    }

    /// The counts of the keys that `select` accepts, summed by reason.
    pub fn by_reason(&self, select: impl Fn(&ReasonKey) -> bool) -> BTreeMap<Reason, u64> {
        let mut out = BTreeMap::new();
        for (key, n) in self.iter().filter(|(key, _)| select(key)) {
            *out.entry(key.reason).or_insert(0) += n;
        }
        out
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &ReasonCounts) {
        for (key, n) in other.iter() {
            *self.counts.entry(key).or_insert(0) += n;
        }
    }

    /// The counts since an earlier state of the same counters.
    pub fn since(&self, earlier: &ReasonCounts) -> ReasonCounts {
        let increase = |(key, n): (ReasonKey, u64)| {
            let n = n.saturating_sub(earlier.counts.get(&key).copied().unwrap_or(0));
            (n > 0).then_some((key, n))
        };
        ReasonCounts { counts: self.iter().filter_map(increase).collect(), logged: BTreeMap::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_are_merged_and_subtracted_and_log_lines_are_limited() {
        let volume = VolumeId(3);
        let mut a = ReasonCounts::default();
        assert!(a.add(0.0, 0, volume, Reason::VolumeLimit, false));
        assert!(!a.add(999.0, 0, volume, Reason::VolumeLimit, false), "one line a second for each reason");
        assert!(a.add(999.0, 0, volume, Reason::NoResponse, true), "each reason has an interval of its own");
        assert!(a.add(1_000.0, 1, volume, Reason::VolumeLimit, false));
        let earlier = a.clone();
        a.add(1_100.0, 1, volume, Reason::VolumeLimit, false);
        let increase = a.since(&earlier);
        assert_eq!(increase.by_reason(|_| true), [(Reason::VolumeLimit, 1)].into());
        let mut all = earlier.clone();
        all.merge(&increase);
        assert_eq!(all.by_reason(|k| !k.failed), a.by_reason(|k| !k.failed));
        assert_eq!(a.by_reason(|k| k.class == 0), [(Reason::VolumeLimit, 2), (Reason::NoResponse, 1)].into());
    }
}
