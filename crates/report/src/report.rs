//! What a record tells, counted: by second, class and node, the slowest commands, the seven rules.

use hdrhistogram::Histogram;
use pearfork_day::summary::{rule_summaries, RuleSummary};
use pearfork_day::{check_recording, RuleCheck};
use pearfork_record::{HostClassCounts, Recording, ScenarioEvent};
use pearfork_rulecheck::trace::{Command, Trace};
use serde::Serialize;
use std::collections::BTreeMap;

/// SCSI status: GOOD; BUSY and TASK SET FULL, which refuse (SAM-5, section 5.3.1).
const GOOD: u8 = 0x00;
const REFUSES: [u8; 2] = [0x08, 0x28];
/// Commands that are told one by one.
const SLOWEST: usize = 12;

/// What became of commands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// Sent by clients.
    pub sent: u64,
    /// Answered with GOOD.
    pub served: u64,
    /// Answered with BUSY or TASK SET FULL.
    pub refused: u64,
    /// Answered with CHECK CONDITION.
    pub checked: u64,
    /// Aborted, or lost with their connection or host.
    pub left: u64,
    /// Neither answered nor left: broken promises, or a record cut off.
    pub unanswered: u64,
}

impl Ends {
    fn count(&mut self, c: &Command) {
        self.sent += 1;
        match c.final_answers.first() {
            Some((_, GOOD)) => self.served += 1,
            Some((_, status)) if REFUSES.contains(status) => self.refused += 1,
            Some(_) => self.checked += 1,
            None if c.abandoned_us.is_some() => self.left += 1,
            None => self.unanswered += 1,
        }
    }
}

/// Answer times of served commands, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    /// Half were faster.
    pub p50: f64,
    /// 90 of 100 were faster.
    pub p90: f64,
    /// 99 of 100 were faster.
    pub p99: f64,
    /// The slowest.
    pub max: f64,
}

fn times(h: &Histogram<u64>) -> Times {
    let ms = |q| h.value_at_quantile(q) as f64 / 1e3;
    Times { p50: ms(0.5), p90: ms(0.9), p99: ms(0.99), max: h.max() as f64 / 1e3 }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds")
}

/// One second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Commands that were sent in it, by what became of them.
    pub ends: Ends,
    /// Their answer times.
    pub times: Times,
}

/// One class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassAccount {
    /// Its name.
    pub class: String,
    /// What became of its commands.
    pub ends: Ends,
    /// Their answer times.
    pub times: Times,
}

/// One node.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct NodeAccount {
    /// The node.
    pub node: u32,
    /// Attempts that came.
    pub attempts: u64,
    /// Of those, beyond a request's first.
    pub further: u64,
    /// Answered with GOOD.
    pub served: u64,
    /// Turned away unseen.
    pub turned_away: u64,
    /// Answered otherwise.
    pub checked: u64,
    /// Never answered.
    pub unanswered: u64,
    /// Answer times.
    pub times: Times,
    /// Attempts by second.
    pub by_second: Vec<u64>,
}

/// A slow command, and what was tried for it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Slow {
    /// When it was sent, seconds.
    pub at_s: f64,
    /// Its host.
    pub host: u16,
    /// Its class.
    pub class: String,
    /// How long its answer took, milliseconds.
    pub took_ms: f64,
    /// Its attempts, in words.
    pub attempts: Vec<String>,
}

/// All of it.
#[derive(Clone, Debug, Serialize)]
pub struct Account {
    /// What was played.
    pub name: String,
    /// Hosts.
    pub hosts: u16,
    /// How long clients offered load, seconds.
    pub length_s: f64,
    /// Whether the record is whole.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether all rules were kept.
    pub kept: bool,
    /// The seven rules.
    pub rules: Vec<RuleSummary>,
    /// All commands.
    pub all: Ends,
    /// By second of sending.
    pub seconds: Vec<Second>,
    /// By class.
    pub classes: Vec<ClassAccount>,
    /// By node.
    pub nodes: Vec<NodeAccount>,
    /// What the script did.
    #[serde(rename = "said")]
    pub scenario_events: Vec<ScenarioEvent>,
    /// What hosts counted by themselves.
    #[serde(rename = "counted")]
    pub host_counts: Vec<HostClassCounts>,
    /// Refusals and failures of all hosts by the module's reason, the most frequent first.
    pub reasons: Vec<(String, u64)>,
    /// The slowest served commands.
    pub slowest: Vec<Slow>,
}

/// Counts a record.
///
/// # Errors
/// Its settings make no plan, in words.
pub fn account(recording: &Recording) -> Result<Account, String> {
    let RuleCheck { report, trace, parameters } = check_recording(recording).map_err(|e| e.to_string())?;
    let name_of = |class: usize| parameters.classes.get(class).map_or("?", |c| c.name.as_str()).to_owned();
    let mut seconds: BTreeMap<usize, (Ends, Histogram<u64>)> = BTreeMap::new();
    let mut classes: BTreeMap<usize, (Ends, Histogram<u64>)> = BTreeMap::new();
    let mut all = Ends::default();
    let mut served: Vec<(u64, &Command)> = Vec::new();
    for c in trace.commands.values() {
        all.count(c);
        let took =
            c.final_answers.first().filter(|a| a.1 == GOOD).map(|a| a.0.saturating_sub(c.fully_sent_us));
        let second = seconds.entry((c.sent_us / 1_000_000) as usize);
        let class = classes.entry(c.class);
        for (ends, h) in [
            second.or_insert_with(|| (Ends::default(), histogram())),
            class.or_insert_with(|| (Ends::default(), histogram())),
        ] {
            ends.count(c);
            took.into_iter().for_each(|t| h.saturating_record(t.max(1)));
        }
        served.extend(took.map(|t| (t, c)));
    }
    served.sort_by_key(|(took, c)| (std::cmp::Reverse(*took), c.sent_us));
    let slow = |(took, c): &(u64, &Command)| Slow {
        at_s: c.sent_us as f64 / 1e6,
        host: c.host,
        class: name_of(c.class),
        took_ms: *took as f64 / 1e3,
        attempts: attempts(&trace, c),
    };
    let last = seconds.keys().last().map_or(0, |l| l + 1).min(100_000);
    let by_second = |at: usize| {
        seconds.get(&at).map_or(Second::default(), |(ends, h)| Second { ends: *ends, times: times(h) })
    };
    let mut reasons: BTreeMap<String, u64> = BTreeMap::new();
    for (reason, n) in recording.host_counts.iter().flat_map(|c| &c.reasons) {
        *reasons.entry(reason.clone()).or_default() += n;
    }
    let mut reasons: Vec<(String, u64)> = reasons.into_iter().collect();
    reasons.sort_by_key(|(_, n)| std::cmp::Reverse(*n));
    Ok(Account {
        name: recording.header.name.clone(),
        hosts: recording.header.hosts,
        length_s: recording.header.length_ms / 1e3,
        complete: recording.complete,
        kept: report.passed(),
        rules: rule_summaries(&report),
        all,
        seconds: (0..last).map(by_second).collect(),
        classes: classes
            .iter()
            .map(|(c, (ends, h))| ClassAccount { class: name_of(*c), ends: *ends, times: times(h) })
            .collect(),
        nodes: nodes(&trace, last),
        scenario_events: recording.scenario_events.clone(),
        host_counts: recording.host_counts.clone(),
        reasons,
        slowest: served.iter().take(SLOWEST).map(slow).collect(),
    })
}

fn attempts(trace: &Trace, c: &Command) -> Vec<String> {
    let of_it = trace.attempts_by_command.get(&(c.host, c.session, c.cmd_sn));
    let words = |a: &pearfork_rulecheck::trace::Attempt| {
        let after = a.received_us.saturating_sub(c.fully_sent_us) as f64 / 1e3;
        let end = match (a.response, a.aborted_us) {
            (Some((at, status)), _) => {
                let took = at.saturating_sub(a.received_us) as f64 / 1e3;
                match status {
                    GOOD => format!("served in {took:.1} ms"),
                    s if REFUSES.contains(&s) => "turned away".to_owned(),
                    _ => format!("error after {took:.1} ms"),
                }
            }
            (None, Some(at)) => format!("cut after {:.1} ms", at.saturating_sub(a.received_us) as f64 / 1e3),
            (None, None) => "no answer".to_owned(),
        };
        format!("part {} at node {} after {after:.1} ms: {end}", a.metadata.part, a.node)
    };
    of_it.into_iter().flatten().filter_map(|i| trace.attempts.get(*i)).map(words).collect()
}

fn nodes(trace: &Trace, seconds: usize) -> Vec<NodeAccount> {
    let mut nodes: BTreeMap<u32, (NodeAccount, Histogram<u64>)> = BTreeMap::new();
    for a in &trace.attempts {
        let new =
            || (NodeAccount { node: a.node, by_second: vec![0; seconds], ..Default::default() }, histogram());
        let (n, h) = nodes.entry(a.node).or_insert_with(new);
        n.attempts += 1;
        n.further += u64::from(a.metadata.attempt > 0);
        match a.response {
            Some((at, GOOD)) => {
                n.served += 1;
                h.saturating_record(at.saturating_sub(a.received_us).max(1));
            }
            Some(_) if a.was_rejected() => n.turned_away += 1,
            Some(_) => n.checked += 1,
            None => n.unanswered += 1,
        }
        if let Some(second) = n.by_second.get_mut((a.received_us / 1_000_000) as usize) {
            *second += 1;
        }
    }
    nodes.into_values().map(|(n, h)| NodeAccount { times: times(&h), ..n }).collect()
}
