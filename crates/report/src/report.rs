//! Builds a report from a record: counts and latencies by second, class and node, the slowest commands, the
//! results of the seven rules.

use hdrhistogram::Histogram;
use pearfork_day::summary::{rule_summaries, RuleSummary};
use pearfork_day::{check_recording, RuleCheck};
use pearfork_record::{HostClassCounts, Recording, ScenarioEvent};
use pearfork_rulecheck::trace::{Command, Trace};
use serde::Serialize;
use std::collections::BTreeMap;

/// SCSI status GOOD (SAM-5, section 5.3.1).
const GOOD: u8 = 0x00;
/// SCSI status BUSY and TASK SET FULL (SAM-5, section 5.3.1), with which a host or node refuses a command.
const REFUSAL_STATUSES: [u8; 2] = [0x08, 0x28];
/// Number of the slowest commands that are listed.
const SLOWEST_COUNT: usize = 12;

/// Commands by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CommandCounts {
    /// Sent by clients.
    pub sent: u64,
    /// Final answer GOOD.
    pub served: u64,
    /// Final answer BUSY or TASK SET FULL.
    pub refused: u64,
    /// Any other final answer, such as CHECK CONDITION.
    #[serde(rename = "checked")]
    pub failed: u64,
    /// No final answer, because the command was aborted or its connection or host was lost.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// No final answer for any other reason: a violation of a rule, or a truncated record.
    pub unanswered: u64,
}

impl CommandCounts {
    fn count(&mut self, c: &Command) {
        self.sent += 1;
        match c.final_answers.first() {
            Some((_, GOOD)) => self.served += 1,
            Some((_, status)) if REFUSAL_STATUSES.contains(status) => self.refused += 1,
            Some(_) => self.failed += 1,
            None if c.abandoned_us.is_some() => self.abandoned += 1,
            None => self.unanswered += 1,
        }
    }
}

/// Latencies of served commands or attempts, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// 50th percentile.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

fn summarize_latency(h: &Histogram<u64>) -> LatencySummary {
    let ms = |q| h.value_at_quantile(q) as f64 / 1e3;
    LatencySummary { p50: ms(0.5), p90: ms(0.9), p99: ms(0.99), max: h.max() as f64 / 1e3 }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds")
}

/// The commands sent in one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondReport {
    /// Commands by result.
    #[serde(rename = "ends")]
    pub counts: CommandCounts,
    /// Latencies of the served commands.
    #[serde(rename = "times")]
    pub latency: LatencySummary,
}

/// The commands of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Commands by result.
    #[serde(rename = "ends")]
    pub counts: CommandCounts,
    /// Latencies of the served commands.
    #[serde(rename = "times")]
    pub latency: LatencySummary,
}

/// The attempts at one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeReport {
    /// Number of the node.
    pub node: u32,
    /// Attempts that the node received.
    pub attempts: u64,
    /// Attempts after the first one of their request: retries and hedged attempts.
    #[serde(rename = "further")]
    pub retries: u64,
    /// Attempts answered with GOOD.
    pub served: u64,
    /// Attempts that the node rejected without processing them.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Attempts with any other response.
    #[serde(rename = "checked")]
    pub failed: u64,
    /// Attempts without a response.
    pub unanswered: u64,
    /// Latencies of the served attempts.
    #[serde(rename = "times")]
    pub latency: LatencySummary,
    /// Attempts by the second in which they were received.
    pub by_second: Vec<u64>,
}

/// A slow command and its attempts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SlowCommand {
    /// Time at which it was sent, in seconds.
    pub at_s: f64,
    /// Number of the host.
    pub host: u16,
    /// Name of the class.
    pub class: String,
    /// Latency in milliseconds.
    #[serde(rename = "took_ms")]
    pub latency_ms: f64,
    /// Descriptions of its attempts.
    pub attempts: Vec<String>,
}

/// The report on a record.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Number of hosts.
    pub hosts: u16,
    /// Time during which clients offered load, in seconds.
    pub length_s: f64,
    /// Whether the record is complete.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether no rule was broken.
    #[serde(rename = "kept")]
    pub passed: bool,
    /// Results of the seven rules.
    pub rules: Vec<RuleSummary>,
    /// All commands by result.
    #[serde(rename = "all")]
    pub total: CommandCounts,
    /// Commands by the second in which they were sent.
    pub seconds: Vec<SecondReport>,
    /// Commands by class.
    pub classes: Vec<ClassReport>,
    /// Attempts by node.
    pub nodes: Vec<NodeReport>,
    /// Events of the scenario.
    #[serde(rename = "said")]
    pub scenario_events: Vec<ScenarioEvent>,
    /// The hosts' own counts.
    #[serde(rename = "counted")]
    pub host_counts: Vec<HostClassCounts>,
    /// Refusals and failures of all hosts by the scheduler's reason, the most frequent first.
    pub reasons: Vec<(String, u64)>,
    /// The slowest served commands.
    pub slowest: Vec<SlowCommand>,
}

/// Builds the report on a record.
///
/// # Errors
/// The settings in the record are invalid.
pub fn build_report(recording: &Recording) -> Result<Report, String> {
    let RuleCheck { report, trace, parameters } = check_recording(recording).map_err(|e| e.to_string())?;
    let class_name = |class: usize| parameters.classes.get(class).map_or("?", |c| c.name.as_str()).to_owned();
    let mut seconds: BTreeMap<usize, (CommandCounts, Histogram<u64>)> = BTreeMap::new();
    let mut classes: BTreeMap<usize, (CommandCounts, Histogram<u64>)> = BTreeMap::new();
    let mut total = CommandCounts::default();
    let mut served: Vec<(u64, &Command)> = Vec::new();
    for c in trace.commands.values() {
        total.count(c);
        let latency_us =
            c.final_answers.first().filter(|a| a.1 == GOOD).map(|a| a.0.saturating_sub(c.fully_sent_us));
        let second = seconds.entry((c.sent_us / 1_000_000) as usize);
        let class = classes.entry(c.class);
        for (counts, h) in [
            second.or_insert_with(|| (CommandCounts::default(), histogram())),
            class.or_insert_with(|| (CommandCounts::default(), histogram())),
        ] {
            counts.count(c);
            latency_us.into_iter().for_each(|t| h.saturating_record(t.max(1)));
        }
        served.extend(latency_us.map(|t| (t, c)));
    }
    served.sort_by_key(|(latency_us, c)| (std::cmp::Reverse(*latency_us), c.sent_us));
    let describe_slow = |(latency_us, c): &(u64, &Command)| SlowCommand {
        at_s: c.sent_us as f64 / 1e6,
        host: c.host,
        class: class_name(c.class),
        latency_ms: *latency_us as f64 / 1e3,
        attempts: describe_attempts(&trace, c),
    };
    let second_count = seconds.keys().last().map_or(0, |l| l + 1).min(100_000);
    let second_report = |at: usize| {
        seconds.get(&at).map_or(SecondReport::default(), |(counts, h)| SecondReport {
            counts: *counts,
            latency: summarize_latency(h),
        })
    };
    let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
    for (reason, n) in recording.host_counts.iter().flat_map(|c| &c.reasons) {
        *reasons.entry(reason.clone()).or_default() += n;
    }
    let mut reasons: Vec<(String, u64)> = reasons.into_iter().collect();
    reasons.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    Ok(Report {
        name: recording.header.name.clone(),
        hosts: recording.header.hosts,
        length_s: recording.header.length_ms / 1e3,
        complete: recording.complete,
        passed: report.passed(),
        rules: rule_summaries(&report),
        total,
        seconds: (0..second_count).map(second_report).collect(),
        classes: classes
            .iter()
            .map(|(c, (counts, h))| ClassReport {
                class: class_name(*c),
                counts: *counts,
                latency: summarize_latency(h),
            })
            .collect(),
        nodes: node_reports(&trace, second_count),
        scenario_events: recording.scenario_events.clone(),
        host_counts: recording.host_counts.clone(),
        reasons,
        slowest: served.iter().take(SLOWEST_COUNT).map(describe_slow).collect(),
    })
}

fn describe_attempts(trace: &Trace, c: &Command) -> Vec<String> {
    let indices = trace.attempts_by_command.get(&(c.host, c.session, c.cmd_sn));
    let describe = |a: &pearfork_rulecheck::trace::Attempt| {
        let delay_ms = a.received_us.saturating_sub(c.fully_sent_us) as f64 / 1e3;
        let result = match (a.response, a.aborted_us) {
            (Some((at, status)), _) => {
                let latency_ms = at.saturating_sub(a.received_us) as f64 / 1e3;
                match status {
                    GOOD => format!("served in {latency_ms:.1} ms"),
                    s if REFUSAL_STATUSES.contains(&s) => "rejected".to_owned(),
                    _ => format!("error after {latency_ms:.1} ms"),
                }
            }
            (None, Some(at)) => {
                format!("aborted after {:.1} ms", at.saturating_sub(a.received_us) as f64 / 1e3)
            }
            (None, None) => "no response".to_owned(),
        };
        format!("part {} at node {} after {delay_ms:.1} ms: {result}", a.metadata.part, a.node)
    };
    indices.into_iter().flatten().filter_map(|i| trace.attempts.get(*i)).map(describe).collect()
}

fn node_reports(trace: &Trace, seconds: usize) -> Vec<NodeReport> {
    let mut nodes: BTreeMap<u32, (NodeReport, Histogram<u64>)> = BTreeMap::new();
    for a in &trace.attempts {
        let new =
            || (NodeReport { node: a.node, by_second: vec![0; seconds], ..Default::default() }, histogram());
        let (n, h) = nodes.entry(a.node).or_insert_with(new);
        n.attempts += 1;
        n.retries += u64::from(a.metadata.attempt > 0);
        match a.response {
            Some((at, GOOD)) => {
                n.served += 1;
                h.saturating_record(at.saturating_sub(a.received_us).max(1));
            }
            Some(_) if a.was_rejected() => n.rejected += 1,
            Some(_) => n.failed += 1,
            None => n.unanswered += 1,
        }
        if let Some(second) = n.by_second.get_mut((a.received_us / 1_000_000) as usize) {
            *second += 1;
        }
    }
    nodes.into_values().map(|(n, h)| NodeReport { latency: summarize_latency(&h), ..n }).collect()
}
