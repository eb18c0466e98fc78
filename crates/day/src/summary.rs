//! What came of a day, for people and for programs.

use crate::expectations::ExpectationResult;
use crate::RunResult;
use pearfork_cli::{Highlight, Output};
use pearfork_rulecheck::Report;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// One rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleSummary {
    /// Its name.
    pub rule: String,
    /// How often there was something to judge.
    pub checks: u64,
    /// Nearest approach, 1 being at the limit; none where it has no measure.
    pub nearest: Option<f64>,
    /// How often it was broken.
    pub broken: usize,
    /// The first breaks, in words.
    pub words: Vec<String>,
}

/// Breaks of one rule that are put into words.
const BREAKS: usize = 3;

/// The findings of a report.
pub fn rule_summaries(report: &Report) -> Vec<RuleSummary> {
    let line = |f: &pearfork_rulecheck::Finding| RuleSummary {
        rule: f.rule.to_string(),
        checks: f.checks,
        nearest: f.nearest,
        broken: f.violations.len(),
        words: f.violations.iter().take(BREAKS).cloned().collect(),
    };
    report.0.iter().map(line).collect()
}

/// The seven rules as a table.
pub fn rules_table(lines: &[RuleSummary], output: Output) -> String {
    let mut out = String::new();
    for l in lines {
        let nearest = l.nearest.map_or("-".to_owned(), |n| format!("{:.0} %", n * 100.0));
        let (mark, verdict) = match (l.broken, l.checks) {
            (0, 0) => (Highlight::Warning, "nothing to judge".to_owned()),
            (0, _) => (Highlight::Success, "kept".to_owned()),
            (n, _) => (Highlight::Error, format!("BROKEN {n} times")),
        };
        let verdict = output.highlight(mark, &format!("{verdict:<17}"));
        let _ = writeln!(out, "  {:<17} {verdict} checks {:>7}  nearest {nearest:>6}", l.rule, l.checks);
        for words in &l.words {
            let _ = writeln!(out, "      {words}");
        }
    }
    out
}

/// Answers of all hosts to one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: String,
    /// Commands taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Of those, late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by the client.
    pub left: u64,
}

/// What a kind of client saw.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClientSummary {
    /// The kind.
    pub client: String,
    /// Requests sent, with tries after a refusal.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Middle answer time, milliseconds.
    pub p50_ms: f64,
    /// 99 of 100 were faster, milliseconds.
    pub p99_ms: f64,
    /// Blocks proved to hold what they must.
    pub proved: u64,
    /// Blocks that did not.
    pub stale: usize,
}

/// Why commands were refused or failed while the same troubles went on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FaultPeriodSummary {
    /// The troubles; none on a calm stretch.
    pub troubles: Vec<String>,
    /// For how long in all, seconds.
    pub lasted_s: f64,
    /// Commands by the module's reason.
    pub reasons: BTreeMap<&'static str, u64>,
}

/// What came of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Whether all rules were kept, no block was stale, no node fell over, and what was promised came.
    #[serde(rename = "right")]
    pub passed: bool,
    /// Answers by class.
    pub classes: Vec<ClassSummary>,
    /// Refusals and failures by what went on, and why.
    #[serde(rename = "during")]
    pub fault_periods: Vec<FaultPeriodSummary>,
    /// What clients saw.
    pub clients: Vec<ClientSummary>,
    /// What was promised of volumes with a limit, and what came.
    #[serde(rename = "expected")]
    pub expectations: Vec<ExpectationResult>,
    /// The first stale blocks, in words.
    pub stale: Vec<String>,
    /// Nodes that fell over.
    #[serde(rename = "fallen")]
    pub collapsed_nodes: Vec<u32>,
    /// The seven rules.
    pub rules: Vec<RuleSummary>,
}

impl Summary {
    /// Sums a day up.
    pub fn new(r: &RunResult) -> Summary {
        let class = |(i, name): (usize, &String)| {
            let sum = |f: fn(&pearfork_host::counts::ClassCounts) -> u64| -> u64 {
                r.hosts.iter().map(|h| f(&h[i])).sum()
            };
            ClassSummary {
                class: name.clone(),
                taken: sum(|c| c.taken),
                served: sum(|c| c.served),
                late: sum(|c| c.late),
                refused: sum(|c| c.refused),
                failed: sum(|c| c.failed),
                left: sum(|c| c.abandoned),
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
                proved: t.verified_blocks,
                stale: t.stale.len(),
            }
        };
        let during = |d: &crate::FaultPeriod| FaultPeriodSummary {
            troubles: d.troubles.clone(),
            lasted_s: d.lasted.as_secs_f64(),
            reasons: d.reasons.by_reason(|_| true).into_iter().map(|(r, n)| (r.label(), n)).collect(),
        };
        Summary {
            passed: r.rules.passed()
                && r.stale().is_empty()
                && r.collapsed_nodes.is_empty()
                && r.expectations.iter().all(|e| e.met),
            expectations: r.expectations.clone(),
            classes: r.class_names.iter().enumerate().map(class).collect(),
            fault_periods: r.fault_periods.iter().map(during).collect(),
            clients: r.clients.iter().map(client).collect(),
            stale: r.stale().iter().take(5).map(|s| (*s).to_owned()).collect(),
            collapsed_nodes: r.collapsed_nodes.clone(),
            rules: rule_summaries(&r.rules),
        }
    }

    /// In words.
    pub fn render(&self, output: Output) -> String {
        let mut out = format!(
            "\n{}\n  {:<18} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6}\n",
            output.highlight(Highlight::Heading, "answers of all hosts by class"),
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
                out,
                "  {:<18} {:>8} {:>8} {:>6} {:>8} {:>7} {:>6}",
                c.class, c.taken, c.served, c.late, c.refused, c.failed, c.left
            );
        }
        let _ = writeln!(
            out,
            "\n{}",
            output.highlight(Highlight::Heading, "refused or failed, by what went on and by reason")
        );
        for d in self.fault_periods.iter().filter(|d| !d.reasons.is_empty()) {
            let troubles = if d.troubles.is_empty() { "calm".to_owned() } else { d.troubles.join(", ") };
            let mut reasons: Vec<(&&str, &u64)> = d.reasons.iter().collect();
            reasons.sort_by_key(|(_, n)| std::cmp::Reverse(**n));
            let words: Vec<String> = reasons.iter().map(|(reason, n)| format!("{reason} {n}")).collect();
            let _ = writeln!(out, "  {troubles} ({:.1} s): {}", d.lasted_s, words.join(", "));
        }
        let _ = writeln!(out, "\n{}", output.highlight(Highlight::Heading, "clients"));
        for c in &self.clients {
            let _ = writeln!(
                out,
                "  {:<18} sent {:>6} served {:>6} p50 {:>6.1} ms p99 {:>6.1} ms  blocks proved {:>7} stale {}",
                c.client, c.sent, c.served, c.p50_ms, c.p99_ms, c.proved, c.stale
            );
        }
        for e in &self.expectations {
            let mark = if e.met { Highlight::Success } else { Highlight::Error };
            let verdict = output.highlight(mark, if e.met { "as promised" } else { "NOT AS PROMISED" });
            let _ = writeln!(
                out,
                "  {} from {:.1} to {:.1} s: {:.1} % of its limit, {:.1} % at the least: {verdict}",
                e.volume,
                e.window_s.0,
                e.window_s.1,
                e.measured * 100.0,
                e.bounds.0 * 100.0
            );
        }
        for words in &self.stale {
            let _ = writeln!(out, "  {} {words}", output.highlight(Highlight::Error, "STALE"));
        }
        for node in &self.collapsed_nodes {
            let _ =
                writeln!(out, "  {}", output.highlight(Highlight::Error, &format!("node {node} fell over")));
        }
        let head = output.highlight(Highlight::Heading, "the seven rules, from what passed over the sockets");
        let _ = write!(out, "\n{head}\n{}", rules_table(&self.rules, output));
        out
    }
}
