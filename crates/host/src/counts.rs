//! What a host counts of its commands and attempts. No I/O, no clock.

use crate::volumes::VolumeId;
use pearfork::Reason;
use std::collections::BTreeMap;

/// Counts of a class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Commands taken.
    pub taken: u64,
    /// Commands served.
    pub served: u64,
    /// Of those, past the class's aim.
    pub late: u64,
    /// Commands refused.
    pub refused: u64,
    /// Commands failed.
    pub failed: u64,
    /// Commands whose client left first.
    pub abandoned: u64,
}

impl ClassCounts {
    /// Adds another host's.
    pub fn merge(&mut self, other: &ClassCounts) {
        self.taken += other.taken;
        self.served += other.served;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.abandoned += other.abandoned;
    }
}

/// Counts of a node since the host first sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCounts {
    /// Attempts sent.
    pub sent: u64,
    /// Of those, beyond a request's first.
    pub retries: u64,
    /// By how they ended.
    pub served: u64,
    /// Errors.
    pub errors: u64,
    /// Turned away unseen.
    pub full: u64,
    /// Without an answer in time.
    pub timed_out: u64,
    /// Never sent for want of a connection.
    pub connect_failed: u64,
    /// Lost with the connection.
    pub reset: u64,
    /// Not sent at all, for a reason that says nothing of the node.
    pub not_sent: u64,
    /// Withdrawn.
    pub cancelled: u64,
}

/// A line of each kind is logged once in this time, milliseconds: a host that refuses 10,000 a second must not write as many.
const SAMPLE_MS: f64 = 1_000.0;

/// Whose refusals and failures, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReasonKey {
    /// Class, by position.
    pub class: u16,
    /// Volume.
    pub volume: VolumeId,
    /// What decided it.
    pub reason: Reason,
    /// Whether it failed; otherwise it was refused.
    pub failed: bool,
}

/// Refusals and failures since the start. As many counts at the most as classes times volumes times reasons.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReasonCounts {
    counts: BTreeMap<ReasonKey, u64>,
    logged: BTreeMap<Reason, f64>,
}

impl ReasonCounts {
    /// Counts one. True: a line of this reason may be logged again.
    pub fn add(&mut self, now: f64, class: u16, volume: VolumeId, reason: Reason, failed: bool) -> bool {
        *self.counts.entry(ReasonKey { class, volume, reason, failed }).or_insert(0) += 1;
        let due = self.logged.get(&reason).is_none_or(|at| now - at >= SAMPLE_MS);
        if due {
            self.logged.insert(reason, now);
        }
        due
    }

    /// All counts.
    pub fn iter(&self) -> impl Iterator<Item = (ReasonKey, u64)> + '_ {
        self.counts.iter().map(|(k, n)| (*k, *n))
    }

    /// By reason, of those that `of` picks.
    pub fn by_reason(&self, of: impl Fn(&ReasonKey) -> bool) -> BTreeMap<Reason, u64> {
        let mut out = BTreeMap::new();
        for (key, n) in self.iter().filter(|(key, _)| of(key)) {
            *out.entry(key.reason).or_insert(0) += n;
        }
        out
    }

    /// Adds another host's.
    pub fn merge(&mut self, other: &ReasonCounts) {
        for (key, n) in other.iter() {
            *self.counts.entry(key).or_insert(0) += n;
        }
    }

    /// What came since an earlier look.
    pub fn since(&self, earlier: &ReasonCounts) -> ReasonCounts {
        let more = |(key, n): (ReasonKey, u64)| {
            let n = n.saturating_sub(earlier.counts.get(&key).copied().unwrap_or(0));
            (n > 0).then_some((key, n))
        };
        ReasonCounts { counts: self.iter().filter_map(more).collect(), logged: BTreeMap::new() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counts_add_up_over_hosts_and_spans_and_lines_are_few() {
        let volume = VolumeId(3);
        let mut a = ReasonCounts::default();
        assert!(a.add(0.0, 0, volume, Reason::VolumeLimit, false));
        assert!(!a.add(999.0, 0, volume, Reason::VolumeLimit, false), "one line a second of a kind");
        assert!(a.add(999.0, 0, volume, Reason::NoResponse, true), "and each kind has its own");
        assert!(a.add(1_000.0, 1, volume, Reason::VolumeLimit, false));
        let earlier = a.clone();
        a.add(1_100.0, 1, volume, Reason::VolumeLimit, false);
        let more = a.since(&earlier);
        assert_eq!(more.by_reason(|_| true), [(Reason::VolumeLimit, 1)].into());
        let mut all = earlier.clone();
        all.merge(&more);
        assert_eq!(all.by_reason(|k| !k.failed), a.by_reason(|k| !k.failed));
        assert_eq!(a.by_reason(|k| k.class == 0), [(Reason::VolumeLimit, 2), (Reason::NoResponse, 1)].into());
    }
}
