//! Results of a load run: counts and latencies by kind of request.

use crate::workload::RequestKind;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The status was GOOD.
    Served,
    /// The status was BUSY or TASK SET FULL: the request had no effect and may be sent again.
    Refused,
    /// The status was CHECK CONDITION or another one.
    Failed,
    /// The connection closed before the response arrived.
    Lost,
}

/// Counts and latencies of one kind of request.
#[derive(Clone, Debug)]
pub struct KindStats {
    /// Requests by [`Outcome`].
    counts: [u64; 4],
    bytes: u64,
    /// Latencies of served requests in microseconds: from the time at which a request was due when a rate is
    /// set, from its sending otherwise.
    times: Histogram<u64>,
}

impl Default for KindStats {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, 3_600_000_000, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constant and valid"));
        KindStats { counts: [0; 4], bytes: 0, times }
    }
}

/// Results of a session or of a whole run.
#[derive(Clone, Debug, Default)]
pub struct LoadStats {
    kinds: BTreeMap<RequestKind, KindStats>,
    /// Requests that were due and could not be sent: there was no session, or their blocks were in use.
    pub not_sent: u64,
    /// Sessions that were re-established.
    pub reconnects: u64,
    /// Blocks that were read and held what they must hold.
    pub verified_blocks: u64,
    /// Blocks for which more than one content is valid, as the outcome of a write is unknown.
    pub uncertain_blocks: u64,
    /// Descriptions of the first mismatches, at most `MAX_REPORTED_MISMATCHES`.
    pub mismatches: Vec<String>,
    /// Number of all mismatches.
    pub mismatch_count: u64,
}

/// Most mismatches of which the description is kept.
const MAX_REPORTED_MISMATCHES: usize = 50;

impl LoadStats {
    /// Counts the outcome of a request; `took` is its latency.
    pub fn record_outcome(&mut self, kind: RequestKind, outcome: Outcome, bytes: u64, took: Duration) {
        let stats = self.kinds.entry(kind).or_default();
        stats.counts[outcome as usize] += 1;
        if outcome == Outcome::Served {
            stats.bytes += bytes;
            stats.times.saturating_record(took.as_micros() as u64);
        }
    }

    /// Records the verification of a read of `blocks` blocks, with a description of each mismatch.
    pub fn record_verification(&mut self, blocks: u64, mismatches: impl ExactSizeIterator<Item = String>) {
        self.verified_blocks += blocks.saturating_sub(mismatches.len() as u64);
        self.mismatch_count += mismatches.len() as u64;
        self.mismatches
            .extend(mismatches.take(MAX_REPORTED_MISMATCHES.saturating_sub(self.mismatches.len())));
    }

    /// Adds the results of another session; histograms are added without loss.
    pub fn merge(&mut self, other: &LoadStats) {
        for (kind, stats) in &other.kinds {
            let own = self.kinds.entry(*kind).or_default();
            own.counts.iter_mut().zip(stats.counts).for_each(|(a, b)| *a += b);
            own.bytes += stats.bytes;
            // This cannot fail, since all histograms have the same bounds.
            let _ = own.times.add(&stats.times);
        }
        self.not_sent += other.not_sent;
        self.reconnects += other.reconnects;
        self.uncertain_blocks += other.uncertain_blocks;
        self.verified_blocks += other.verified_blocks;
        self.mismatch_count += other.mismatch_count;
        let remaining = MAX_REPORTED_MISMATCHES.saturating_sub(self.mismatches.len());
        self.mismatches.extend(other.mismatches.iter().take(remaining).cloned());
    }

    /// Number of requests of all kinds with an outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.kinds.values().map(|stats| stats.counts[outcome as usize]).sum()
    }

    /// Summarizes a run of the given duration.
    pub fn summary(&self, took: Duration) -> Summary {
        let seconds = took.as_secs_f64().max(1e-9);
        let kind = |(kind, stats): (&RequestKind, &KindStats)| {
            let ms = |q: f64| stats.times.value_at_quantile(q) as f64 / 1e3;
            let row = KindSummary {
                served: stats.counts[Outcome::Served as usize],
                refused: stats.counts[Outcome::Refused as usize],
                failed: stats.counts[Outcome::Failed as usize],
                lost: stats.counts[Outcome::Lost as usize],
                per_s: stats.counts[Outcome::Served as usize] as f64 / seconds,
                mib_per_s: stats.bytes as f64 / seconds / f64::from(1 << 20),
                p50_ms: ms(0.5),
                p90_ms: ms(0.9),
                p99_ms: ms(0.99),
                p999_ms: ms(0.999),
                max_ms: stats.times.max() as f64 / 1e3,
            };
            (format!("{kind:?}").to_lowercase(), row)
        };
        Summary {
            seconds,
            kinds: self.kinds.iter().map(kind).collect(),
            not_sent: self.not_sent,
            reconnects: self.reconnects,
            blocks_verified: self.verified_blocks,
            blocks_uncertain: self.uncertain_blocks,
            blocks_wrong: self.mismatch_count,
            mismatches: self.mismatches.clone(),
        }
    }
}

/// Summary of one kind of request.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct KindSummary {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub lost: u64,
    pub per_s: f64,
    pub mib_per_s: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub max_ms: f64,
}

/// Summary of a run, printed as a table or as one line of JSON.
#[derive(Clone, Debug, Serialize)]
#[allow(missing_docs)]
pub struct Summary {
    pub seconds: f64,
    pub kinds: BTreeMap<String, KindSummary>,
    pub not_sent: u64,
    pub reconnects: u64,
    #[serde(rename = "blocks_proved")]
    pub blocks_verified: u64,
    #[serde(rename = "blocks_in_doubt")]
    pub blocks_uncertain: u64,
    pub blocks_wrong: u64,
    #[serde(rename = "wrong")]
    pub mismatches: Vec<String>,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "{:<6} {:>9} {:>8} {:>7} {:>6} {:>10} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8}",
            "",
            "served",
            "refused",
            "failed",
            "lost",
            "served/s",
            "MiB/s",
            "p50 ms",
            "p90",
            "p99",
            "p99.9",
            "max"
        )?;
        for (kind, r) in &self.kinds {
            writeln!(
                f,
                "{kind:<6} {:>9} {:>8} {:>7} {:>6} {:>10.1} {:>9.2} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>8.2}",
                r.served,
                r.refused,
                r.failed,
                r.lost,
                r.per_s,
                r.mib_per_s,
                r.p50_ms,
                r.p90_ms,
                r.p99_ms,
                r.p999_ms,
                r.max_ms
            )?;
        }
        writeln!(
            f,
            "{:.1} s; {} requests due but not sent, {} reconnects",
            self.seconds, self.not_sent, self.reconnects
        )?;
        if self.blocks_verified + self.blocks_wrong > 0 {
            writeln!(
                f,
                "blocks read: {} verified, {} wrong; {} of those written have an uncertain content",
                self.blocks_verified, self.blocks_wrong, self.blocks_uncertain
            )?;
        }
        self.mismatches.iter().try_for_each(|w| writeln!(f, "WRONG {w}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn merged_sessions_add_up_and_only_served_requests_have_a_latency() {
        let mut a = LoadStats::default();
        a.record_outcome(RequestKind::Read, Outcome::Served, 4096, Duration::from_millis(1));
        a.record_outcome(RequestKind::Read, Outcome::Refused, 4096, Duration::from_secs(9));
        let mut b = LoadStats::default();
        b.record_outcome(RequestKind::Read, Outcome::Served, 4096, Duration::from_millis(3));
        b.record_outcome(RequestKind::Write, Outcome::Lost, 4096, Duration::from_secs(9));
        b.record_verification(8, vec!["block 3".to_owned()].into_iter());
        a.merge(&b);
        let s = a.summary(Duration::from_secs(2));
        let read = &s.kinds["read"];
        assert_eq!((read.served, read.refused, read.per_s), (2, 1, 1.0));
        assert!(read.max_ms < 4.0 && read.p50_ms >= 1.0);
        assert_eq!((s.kinds["write"].lost, s.blocks_verified, s.blocks_wrong), (1, 7, 1));
        assert!(s.to_string().contains("WRONG block 3"));
        assert_eq!((a.count(Outcome::Served), a.count(Outcome::Lost)), (2, 1));
    }
}
