//! The seven rules, each checked from the recorded events alone.

use crate::record::{Effect, Group, RuleParameters, TraceEvent, TraceEventKind};
use crate::trace::{Attempt, Trace};
use std::collections::{BTreeMap, HashMap};

/// The seven rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each command gets one final answer before its deadline, and no attempt is sent after it.
    OneAnswer,
    /// No effect is applied twice where a repeat can do harm.
    NoEffectTwice,
    /// A draining node gets no new work after the drain grace.
    Drains,
    /// No cold node is sent more than it can take.
    ColdNodes,
    /// Requests of ordered classes are executed one at a time and in order on each extent.
    Order,
    /// Retries stay within the retry budget.
    RetryBudget,
    /// Volumes stay within their limits.
    Limits,
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "one final answer",
            Rule::NoEffectTwice => "no effect twice",
            Rule::Drains => "drains",
            Rule::ColdNodes => "cold nodes",
            Rule::Order => "order",
            Rule::RetryBudget => "retry budget",
            Rule::Limits => "limits",
        })
    }
}

/// The result of checking one rule.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The rule that was checked.
    pub rule: Rule,
    /// Number of checks that were made.
    pub checks: u64,
    /// Closest approach to the limit, where 1 is the limit; `None` for a rule without a measure or without
    /// checks.
    pub nearest: Option<f64>,
    /// A message for each violation.
    pub violations: Vec<String>,
}

/// The findings of all seven rules.
#[derive(Clone, Debug)]
pub struct Report(pub Vec<Finding>);

impl Report {
    /// Whether no rule was violated.
    pub fn passed(&self) -> bool {
        self.0.iter().all(|f| f.violations.is_empty())
    }

    /// The finding of one rule.
    pub fn finding(&self, rule: Rule) -> Option<&Finding> {
        self.0.iter().find(|f| f.rule == rule)
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for finding in &self.0 {
            let nearest = finding.nearest.map_or("-".to_owned(), |n| format!("{:.0} %", n * 100.0));
            let verdict = match (finding.violations.len(), finding.checks) {
                (0, 0) => "nothing to judge".to_owned(),
                (0, _) => "kept".to_owned(),
                (n, _) => format!("BROKEN {n} times"),
            };
            let rule = finding.rule.to_string();
            writeln!(f, "  {rule:<17} {verdict:<17} checks {:>7}  nearest {nearest:>6}", finding.checks)?;
            for violation in finding.violations.iter().take(3) {
                writeln!(f, "      {violation}")?;
            }
        }
        Ok(())
    }
}

/// Collects the finding of one rule: the number of checks, the closest approach to the limit and a message
/// for every violation.
struct RuleChecker {
    finding: Finding,
}

impl RuleChecker {
    fn new(rule: Rule) -> Self {
        RuleChecker { finding: Finding { rule, checks: 0, nearest: None, violations: Vec::new() } }
    }

    /// Counts one check. `closeness` is the approach to the limit, if the rule has a measure, and `message`
    /// describes the violation.
    fn check(&mut self, ok: bool, closeness: Option<f64>, message: impl FnOnce() -> String) {
        self.finding.checks += 1;
        if let Some(closeness) = closeness.filter(|n| n.is_finite()) {
            self.finding.nearest = Some(self.finding.nearest.map_or(closeness, |n| n.max(closeness)));
        }
        if !ok {
            self.finding.violations.push(message());
        }
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

/// Checks recorded events. `volume_of` maps a host and the LUN field of a command to a volume id.
pub fn check(
    events: &[TraceEvent],
    parameters: &RuleParameters,
    volume_of: &dyn Fn(u16, u64) -> Option<u32>,
) -> Report {
    check_trace(events, &Trace::from_events(events, parameters, volume_of), parameters)
}

/// Like [`check`], for events from which a trace was built before.
pub fn check_trace(events: &[TraceEvent], trace: &Trace, parameters: &RuleParameters) -> Report {
    Report(vec![
        check_one_answer(trace, parameters),
        check_no_effect_twice(events, trace, parameters),
        check_drains(events, trace, parameters),
        check_cold_nodes(events, trace, parameters),
        check_order(trace, parameters),
        check_retry_budget(trace, parameters),
        check_limits(trace, parameters),
    ])
}

fn check_one_answer(trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::OneAnswer);
    for key in &trace.duplicate_keys {
        checker
            .check(false, None, || format!("two commands have the key {key:?}: a session handle was reused"));
    }
    for (key, c) in &trace.commands {
        // An answer that was due while the scenario paused the host may come when the pause ends.
        let deadline = parameters.classes[c.class].deadline_ms;
        let due = c.fully_sent_us + (deadline * 1_000.0) as u64;
        let pauses = trace.stalls.iter().filter(|(h, from, to)| *h == c.host && (*from..=*to).contains(&due));
        let allowed = deadline + pauses.map(|(.., to)| ms(to - due)).fold(0.0, f64::max);
        match (c.final_answers.as_slice(), c.abandoned_us) {
            ([], Some(abandoned)) => {
                // No answer is due to a client that gave up before the deadline. One that gave up after it
                // was not answered in time.
                let waited = ms(abandoned.saturating_sub(c.fully_sent_us));
                checker.check(waited <= allowed + parameters.margin_ms, None, || {
                    format!("{key:?} had no final answer after {waited:.0} ms")
                });
            }
            ([], None) => checker.check(false, None, || format!("{key:?} has no final answer")),
            ([(at, _)], None) => {
                let took = ms(at.saturating_sub(c.fully_sent_us));
                checker.check(took <= allowed + parameters.margin_ms, Some(took / allowed), || {
                    format!("{key:?} answered after {took:.0} ms, deadline {allowed:.0} ms")
                });
            }
            ([_], Some(_)) => checker.check(true, None, String::new),
            (answers, _) => {
                checker.check(false, None, || format!("{key:?} has {} final answers", answers.len()))
            }
        }
        let ended_us = c.final_answers.first().map(|a| a.0).or(c.abandoned_us);
        let Some(ended_us) = ended_us else { continue };
        for a in trace.attempts_by_command.get(key).into_iter().flatten().map(|i| &trace.attempts[*i]) {
            let after = ms(a.received_us.saturating_sub(ended_us));
            checker.check(after <= parameters.margin_ms, None, || {
                format!(
                    "{key:?}: attempt {} reached node {} {after:.0} ms after the command ended",
                    a.metadata.attempt, a.node
                )
            });
        }
    }
    checker.finding
}

/// Attempts of each part of each command, in order of arrival. The key is host, start time of the host,
/// session, CmdSN and part.
fn attempts_by_part(trace: &Trace) -> BTreeMap<(u16, u32, u16, u32, u16), Vec<&Attempt>> {
    let mut parts: BTreeMap<_, Vec<&Attempt>> = BTreeMap::new();
    for a in &trace.attempts {
        let key = (
            a.metadata.host,
            a.metadata.host_start_s,
            a.metadata.session,
            a.metadata.cmd_sn,
            a.metadata.part,
        );
        parts.entry(key).or_default().push(a);
    }
    parts
}

fn check_no_effect_twice(events: &[TraceEvent], trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::NoEffectTwice);
    let class_of = |host, session, command| trace.commands.get(&(host, session, command)).map(|c| c.class);
    let mut applied: HashMap<(u16, u32, u16, u32, u16), u32> = HashMap::new();
    for event in events {
        let TraceEventKind::Applied { key, node } = &event.kind else { continue };
        let Some(class) = class_of(key.0, key.2, key.3) else { continue };
        if parameters.classes[class].effect == Effect::Safe {
            continue;
        }
        let n = applied.entry(*key).or_default();
        *n += 1;
        checker.check(*n == 1, None, || format!("{key:?} was applied {n} times, last at node {node}"));
    }
    for (key, attempts) in attempts_by_part(trace) {
        let Some(class) = class_of(key.0, key.2, key.3) else { continue };
        let effect = parameters.classes[class].effect;
        let mut may_have_run: Option<&Attempt> = None;
        for a in attempts {
            if let Some(first) = may_have_run {
                let since = ms(a.received_us - first.received_us);
                match effect {
                    Effect::Safe => checker.check(true, None, String::new),
                    Effect::Unsafe => {
                        checker.check(false, None, || {
                            format!("{key:?} is unsafe and was retried after it may have been executed")
                        });
                    }
                    Effect::Keyed { group, window_ms } => {
                        let same_group = match group {
                            Group::All => true,
                            Group::Zone => a.location.1 == first.location.1,
                            Group::Shard => a.location.0 == first.location.0,
                        };
                        checker.check(same_group, None, || {
                            format!("{key:?} was retried outside its group, at node {}", a.node)
                        });
                        checker.check(
                            since <= window_ms + parameters.margin_ms,
                            Some(since / window_ms),
                            || format!("{key:?} was retried after {since:.0} ms, window {window_ms:.0} ms"),
                        );
                    }
                }
            }
            // A rejected attempt was not executed, so it does not restrict the attempts after it.
            if !a.was_rejected() && may_have_run.is_none() {
                may_have_run = Some(a);
            }
        }
        let Some(c) = trace.commands.get(&(key.0, key.2, key.3)) else { continue };
        let not_executed = match effect {
            Effect::Safe => true,
            Effect::Keyed { group, .. } => group == Group::All || may_have_run.is_none(),
            Effect::Unsafe => may_have_run.is_none(),
        };
        if let [(_, 0x08 | 0x28)] = c.final_answers.as_slice() {
            checker.check(not_executed, None, || {
                format!("{key:?} was refused as not executed, but it may have been executed")
            });
        }
    }
    checker.finding
}

/// Time from which the directory listed a node as not ready for a host, and the time at which it listed it as
/// ready again.
type NotReadySpan = (u64, Option<u64>);

fn check_drains(events: &[TraceEvent], trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::Drains);
    // By host and node: spans in which the host had to send nothing new to the node.
    let mut not_ready: HashMap<(u16, u32), Vec<NotReadySpan>> = HashMap::new();
    for event in events {
        let TraceEventKind::NodeListed { host, node, ready, .. } = event.kind else { continue };
        let spans = not_ready.entry((host, node)).or_default();
        match (spans.last_mut(), ready) {
            (Some((_, end @ None)), true) => *end = Some(event.at_us),
            (Some((_, Some(_))) | None, false) => spans.push((event.at_us, None)),
            _ => {}
        }
    }
    for a in &trace.attempts {
        for (from, to) in not_ready.get(&(a.metadata.host, a.node)).into_iter().flatten() {
            if a.received_us >= *from && to.is_none_or(|to| a.received_us <= to) {
                let after = ms(a.received_us - from);
                checker.check(
                    after <= parameters.drain_grace_ms + parameters.margin_ms,
                    Some(after / parameters.drain_grace_ms),
                    || {
                        format!(
                            "host {} sent node {} new work {after:.0} ms after it was listed as not ready",
                            a.metadata.host, a.node
                        )
                    },
                );
            }
        }
    }
    // A drain after which nothing was sent counts as a check as well.
    checker.finding.checks += not_ready.values().map(|s| s.len() as u64).sum::<u64>();
    checker.finding
}

fn check_cold_nodes(events: &[TraceEvent], trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::ColdNodes);
    let mut by_node: HashMap<u32, Vec<(u64, f64)>> = HashMap::new();
    for a in &trace.attempts {
        by_node.entry(a.node).or_default().push((a.received_us, f64::from(a.metadata.milli_units) / 1_000.0));
    }
    for event in events {
        let TraceEventKind::NodeStarted { node, cold: true, units_per_s, .. } = event.kind else { continue };
        let Some(arrivals) = by_node.get(&node) else { continue };
        let started = event.at_us;
        let warm_us = (parameters.warm_after_ms * 1_000.0) as u64;
        let fall_us = (parameters.fall_ms * 1_000.0) as u64;
        for (i, (from, _)) in
            arrivals.iter().enumerate().filter(|(_, c)| c.0 >= started && c.0 < started + warm_us)
        {
            let within = arrivals[i..].iter().take_while(|c| c.0 <= from + fall_us);
            let units: f64 = within.map(|c| c.1).sum();
            let warmth = ms(from - started) / parameters.warm_after_ms;
            let capacity = parameters.cold_from + (1.0 - parameters.cold_from) * warmth.min(1.0);
            let max_units = (parameters.fall_multiple * capacity * units_per_s * parameters.fall_ms
                / 1_000.0)
                .max(parameters.cold_units);
            checker.check(units <= max_units, Some(units / max_units), || {
                format!(
                    "cold node {node} got {units:.0} units in {:.0} ms, limit {max_units:.0}",
                    parameters.fall_ms
                )
            });
        }
    }
    checker.finding
}

fn check_order(trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::Order);
    let mut by_extent: BTreeMap<(u16, u32, u64), Vec<&Attempt>> = BTreeMap::new();
    for a in &trace.attempts {
        let key = (a.metadata.host, a.metadata.session, a.metadata.cmd_sn);
        let ordered = trace.commands.get(&key).is_some_and(|c| parameters.classes[c.class].ordered);
        let Some(volume) = parameters.volumes.get(a.metadata.volume as usize).filter(|_| ordered) else {
            continue;
        };
        let extent = a.access.lba / volume.extent_blocks;
        by_extent.entry((a.metadata.host, a.metadata.volume, extent)).or_default().push(a);
    }
    let name = |a: &Attempt| (a.metadata.session, a.metadata.cmd_sn, a.metadata.part);
    for ((host, volume, extent), attempts) in by_extent {
        for (i, a) in attempts.iter().enumerate() {
            for earlier in attempts[..i].iter().filter(|e| name(e) != name(a)) {
                // The extent is free after a response. After an aborted attempt its cooldown has to pass.
                // Without either the attempt is still in flight.
                let free_us = match (earlier.response, earlier.aborted_us) {
                    (Some((at, _)), None) => at,
                    (_, Some(aborted)) => aborted + (parameters.key_cooldown_ms * 1_000.0) as u64,
                    (None, None) => u64::MAX,
                };
                let margin = (parameters.margin_ms * 1_000.0) as u64;
                checker.check(a.received_us.saturating_add(margin) >= free_us, None, || {
                    format!(
                        "host {host}, volume {volume}, extent {extent}: {:?} in flight together with {:?}",
                        name(a),
                        name(earlier)
                    )
                });
                if a.metadata.session == earlier.metadata.session {
                    checker.check(a.metadata.cmd_sn > earlier.metadata.cmd_sn, None, || {
                        format!(
                            "host {host}, volume {volume}, extent {extent}: {:?} sent after {:?}",
                            name(a),
                            name(earlier)
                        )
                    });
                }
            }
        }
    }
    checker.finding
}

fn check_retry_budget(trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::RetryBudget);
    let Some((free, ratio, span_ms)) = parameters.retry_budget else { return checker.finding };
    let mut requests: HashMap<u16, Vec<u64>> = HashMap::new();
    for c in trace.commands.values() {
        // A command that crosses extents counts once for each part.
        let parts = parameters
            .volumes
            .iter()
            .map(|v| part_count(c.access.lba, c.access.blocks, v.extent_blocks))
            .max()
            .unwrap_or(1);
        requests.entry(c.host).or_default().extend(std::iter::repeat_n(c.fully_sent_us, parts));
    }
    requests.values_mut().for_each(|t| t.sort_unstable());
    let mut retries: HashMap<u16, Vec<u64>> = HashMap::new();
    for attempts in attempts_by_part(trace).into_values() {
        for a in attempts.iter().filter(|a| a.metadata.attempt > 0) {
            retries.entry(a.metadata.host).or_default().push(a.received_us);
        }
    }
    let (span, margin) = ((span_ms * 1_000.0) as u64, (parameters.margin_ms * 1_000.0) as u64);
    for (host, mut sent) in retries {
        sent.sort_unstable();
        let requests = requests.get(&host).map_or(&[][..], Vec::as_slice);
        for (i, at) in sent.iter().enumerate() {
            let from = at.saturating_sub(span);
            let count = (sent[..=i].iter().filter(|t| **t > from + margin).count()) as f64;
            let request_count =
                requests.iter().filter(|t| **t + margin >= from && **t <= at + margin).count() as f64;
            let allowed = free + ratio * request_count;
            checker.check(count <= allowed, Some(count / allowed), || {
                format!("host {host}: {count} retries in {span_ms:.0} ms, {allowed:.1} allowed")
            });
        }
    }
    checker.finding
}

fn part_count(lba: u64, blocks: u64, extent: u64) -> usize {
    let last = lba + blocks.max(1) - 1;
    (last / extent - lba / extent + 1).min(64) as usize
}

fn check_limits(trace: &Trace, parameters: &RuleParameters) -> Finding {
    let mut checker = RuleChecker::new(Rule::Limits);
    // Each request takes its units from its volume's token bucket at its first attempt. All hosts share the
    // bucket.
    let mut first: Vec<(u64, u32, f64)> = attempts_by_part(trace)
        .into_values()
        .filter_map(|a| {
            a.first().map(|a| (a.received_us, a.metadata.volume, f64::from(a.metadata.milli_units) / 1_000.0))
        })
        .collect();
    first.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut buckets: HashMap<u32, (u64, f64)> = HashMap::new();
    for (at, volume, units) in first {
        let Some((rate, burst, slack)) = parameters.volumes.get(volume as usize).and_then(|v| v.limit) else {
            continue;
        };
        let (last, tokens) = buckets.get(&volume).copied().unwrap_or((at, burst));
        let tokens = (tokens + rate * ms(at - last) / 1_000.0).min(burst) - units;
        buckets.insert(volume, (at, tokens));
        // Events may be recorded late by the margin, so requests sent over that time may all be recorded at
        // once.
        let min_tokens = -slack - rate * parameters.margin_ms / 1_000.0;
        checker.check(tokens >= min_tokens, Some((burst - tokens) / (burst - min_tokens)), || {
            format!("volume {volume}: token bucket at {tokens:.1} units, minimum {min_tokens:.1}")
        });
    }
    checker.finding
}
