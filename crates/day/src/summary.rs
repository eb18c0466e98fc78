//! Summary of a run, as text or JSON.

use crate::expectations::ExpectationResult;
use crate::RunResult;
use pearfork_cli::{Highlight, Output};
use pearfork_rulecheck::Report;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Result of one rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleSummary {
    /// Name of the rule.
    pub rule: String,
    /// Number of checks.
    pub checks: u64,
    /// Closest approach to a violation, 1 being at the limit; `None` if the rule has no such measure.
    pub nearest: Option<f64>,
    /// Number of violations.
    pub broken: usize,
    /// Descriptions of the first violations.
    pub words: Vec<String>,
}

/// Most violations of a rule that are described.
const MAX_EXAMPLES: usize = 3;

/// Summarizes the findings of a report.
pub fn rule_summaries(report: &Report) -> Vec<RuleSummary> {
    let summarize = |f: &pearfork_rulecheck::Finding| RuleSummary {
        rule: f.rule.to_string(),
        checks: f.checks,
        nearest: f.nearest,
        broken: f.violations.len(),
        words: f.violations.iter().take(MAX_EXAMPLES).cloned().collect(),
    };
    report.0.iter().map(summarize).collect()
}

/// Renders the results of the rules as a table.
pub fn rules_table(rules: &[RuleSummary], output: Output) -> String {
    let mut text = String::new();
    for rule in rules {
        let nearest = rule.nearest.map_or("-".to_owned(), |n| format!("{:.0} %", n * 100.0));
        let (highlight, verdict) = match (rule.broken, rule.checks) {
            (0, 0) => (Highlight::Warning, "nothing to judge".to_owned()),
            (0, _) => (Highlight::Success, "kept".to_owned()),
            (n, _) => (Highlight::Error, format!("BROKEN {n} times")),
        };
        let verdict = output.highlight(highlight, &format!("{verdict:<17}"));
        let _ =
            writeln!(text, "  {:<17} {verdict} checks {:>7}  nearest {nearest:>6}", rule.rule, rule.checks);
        for violation in &rule.words {
            let _ = writeln!(text, "      {violation}");
        }
    }
    text
}

/// Final answers of all hosts to the requests of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: String,
    /// Commands received.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Of those, served late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Abandoned by the client.
    #[serde(rename = "left")]
    pub abandoned: u64,
}

/// Results of one client.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClientSummary {
    /// Name of its group.
    pub client: String,
    /// Requests sent, including retries after a refusal.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Median latency, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, milliseconds.
    pub p99_ms: f64,
    /// Blocks that were verified.
    #[serde(rename = "proved")]
    pub verified_blocks: u64,
    /// Blocks with a content that was not valid.
    pub stale: usize,
}

/// Refusals and failures while the same set of faults was active.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultPeriodSummary {
    /// The active faults; empty for the time without faults.
    #[serde(rename = "troubles")]
    pub active_faults: Vec<String>,
    /// Total time, seconds.
    pub lasted_s: f64,
    /// Commands by the reason that the scheduler gave.
    pub reasons: BTreeMap<&'static str, u64>,
}

/// Summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Whether no rule was violated, no block was stale, no node crashed and all expectations were met.
    #[serde(rename = "right")]
    pub passed: bool,
    /// Final answers by class.
    pub classes: Vec<ClassSummary>,
    /// Refusals and failures by active faults and reason.
    #[serde(rename = "during")]
    pub fault_periods: Vec<FaultPeriodSummary>,
    /// Results of the clients.
    pub clients: Vec<ClientSummary>,
    /// Results of the expectations for volumes with a limit.
    #[serde(rename = "expected")]
    pub expectations: Vec<ExpectationResult>,
    /// Descriptions of the first stale blocks.
    pub stale: Vec<String>,
    /// Ids of the nodes that collapsed because they were overloaded while cold.
    #[serde(rename = "fallen")]
    pub collapsed_nodes: Vec<u32>,
    /// Results of the rules.
    pub rules: Vec<RuleSummary>,
}

impl Summary {
    /// Summarizes the result of a run.
    pub fn new(r: &RunResult) -> Summary {
        let class = |(i, name): (usize, &String)| {
            let sum = |f: fn(&pearfork_host::counts::ClassCounts) -> u64| -> u64 {
                r.class_counts.iter().map(|h| f(&h[i])).sum()
            };
            ClassSummary {
                class: name.clone(),
                taken: sum(|c| c.taken),
                served: sum(|c| c.served),
                late: sum(|c| c.late),
                refused: sum(|c| c.refused),
                failed: sum(|c| c.failed),
                abandoned: sum(|c| c.abandoned),
            }
        };
        let client = |(name, t): &(String, pearfork_stand::FakeClientStats)| {
            let ms = |q| t.latency_us.value_at_quantile(q) as f64 / 1_000.0;
            ClientSummary {
                client: name.clone(),
                sent: t.sent,
                served: t.served,
                p50_ms: ms(0.5),
                p99_ms: ms(0.99),
                verified_blocks: t.verified_blocks,
                stale: t.stale.len(),
            }
        };
        let fault_period = |d: &crate::FaultPeriod| FaultPeriodSummary {
            active_faults: d.active_faults.clone(),
            lasted_s: d.duration.as_secs_f64(),
            reasons: d.reasons.by_reason(|_| true).into_iter().map(|(r, n)| (r.label(), n)).collect(),
        };
        Summary {
            passed: r.rules.passed()
                && r.stale().is_empty()
                && r.collapsed_nodes.is_empty()
                && r.expectations.iter().all(|e| e.met),
            expectations: r.expectations.clone(),
            classes: r.class_names.iter().enumerate().map(class).collect(),
            fault_periods: r.fault_periods.iter().map(fault_period).collect(),
            clients: r.clients.iter().map(client).collect(),
            stale: r.stale().iter().take(5).map(|s| (*s).to_owned()).collect(),
            collapsed_nodes: r.collapsed_nodes.clone(),
            rules: rule_summaries(&r.rules),
        }
    }

    /// Renders the summary as text.
    pub fn render(&self, output: Output) -> String {
        let mut text = format!(
            "\n{}\n  {:<18} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6}\n",
            output.highlight(Highlight::Heading, "final answers of all hosts by class"),
            "class",
            "taken",
            "served",
            "late",
            "refused",
            "failed",
            "left"
        );
        for c in &self.classes {
            let _ = writeln!(
                text,
                "  {:<18} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6}",
                c.class, c.taken, c.served, c.late, c.refused, c.failed, c.abandoned
            );
        }
        let _ = writeln!(
            text,
            "\n{}",
            output.highlight(Highlight::Heading, "refused or failed, by active faults and reason")
        );
        for d in self.fault_periods.iter().filter(|d| !d.reasons.is_empty()) {
            let active_faults =
                if d.active_faults.is_empty() { "calm".to_owned() } else { d.active_faults.join(", ") };
            let mut reasons: Vec<(&&str, &u64)> = d.reasons.iter().collect();
            reasons.sort_by_key(|(_, n)| std::cmp::Reverse(**n));
            let reason_counts: Vec<String> =
                reasons.iter().map(|(reason, n)| format!("{reason} {n}")).collect();
            let _ = writeln!(text, "  {active_faults} ({:.1} s): {}", d.lasted_s, reason_counts.join(", "));
        }
        let _ = writeln!(text, "\n{}", output.highlight(Highlight::Heading, "clients"));
        for c in &self.clients {
            let _ = writeln!(
                text,
                "  {:<18} sent {:>6} served {:>6} p50 {:>6.1} ms p99 {:>6.1} ms  blocks verified {:>7} stale {}",
                c.client, c.sent, c.served, c.p50_ms, c.p99_ms, c.verified_blocks, c.stale
            );
        }
        for e in &self.expectations {
            let highlight = if e.met { Highlight::Success } else { Highlight::Error };
            let verdict = output.highlight(highlight, if e.met { "met" } else { "NOT MET" });
            let _ = writeln!(
                text,
                "  {} from {:.1} to {:.1} s: {:.1} % of its limit, expected at least {:.1} %: {verdict}",
                e.volume,
                e.window_s.0,
                e.window_s.1,
                e.measured * 100.0,
                e.bounds.0 * 100.0
            );
        }
        for description in &self.stale {
            let _ = writeln!(text, "  {} {description}", output.highlight(Highlight::Error, "STALE"));
        }
        for node in &self.collapsed_nodes {
            let _ =
                writeln!(text, "  {}", output.highlight(Highlight::Error, &format!("node {node} crashed")));
        }
        let heading = output
            .highlight(Highlight::Heading, "the seven rules, checked against the traffic on the sockets");
        let _ = write!(text, "\n{heading}\n{}", rules_table(&self.rules, output));
        text
    }
}
