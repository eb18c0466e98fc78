//! The seven rules, each judged from the record alone.

use crate::record::{Effect, Group, RuleParameters, TraceEvent, TraceEventKind};
use crate::trace::{Attempt, Trace};
use std::collections::{BTreeMap, HashMap};

/// Which rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// One final answer, in time, and nothing after it.
    OneAnswer,
    /// No effect twice.
    NoEffectTwice,
    /// Drains are kept.
    Drains,
    /// Cold nodes are not pushed over.
    ColdNodes,
    /// Order is kept.
    Order,
    /// Further attempts stay within their budget.
    RetryBudget,
    /// Limits are kept.
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

/// What one rule's check found.
#[derive(Clone, Debug)]
pub struct Finding {
    /// The rule.
    pub rule: Rule,
    /// How many times there was something to judge.
    pub checks: u64,
    /// Nearest approach to the limit, 1 being at it; `None` where it has no measure or nothing was judged.
    pub nearest: Option<f64>,
    /// Breaks, in words.
    pub violations: Vec<String>,
}

/// All seven.
#[derive(Clone, Debug)]
pub struct Report(pub Vec<Finding>);

impl Report {
    /// Whether all rules were kept.
    pub fn passed(&self) -> bool {
        self.0.iter().all(|f| f.violations.is_empty())
    }

    /// One rule's finding.
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
            for broken in finding.violations.iter().take(3) {
                writeln!(f, "      {broken}")?;
            }
        }
        Ok(())
    }
}

struct Ledger {
    finding: Finding,
}

impl Ledger {
    fn new(rule: Rule) -> Self {
        Ledger { finding: Finding { rule, checks: 0, nearest: None, violations: Vec::new() } }
    }

    /// A check, with how near it came where that can be said; `what` words a break.
    fn judge(&mut self, ok: bool, near: Option<f64>, what: impl FnOnce() -> String) {
        self.finding.checks += 1;
        if let Some(near) = near.filter(|n| n.is_finite()) {
            self.finding.nearest = Some(self.finding.nearest.map_or(near, |n| n.max(near)));
        }
        if !ok {
            self.finding.violations.push(what());
        }
    }
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

/// Judges a record. `volume_of` tells the volume that a host's clients reach under a LUN field.
pub fn check(
    notes: &[TraceEvent],
    figures: &RuleParameters,
    volume_of: &dyn Fn(u16, u64) -> Option<u32>,
) -> Report {
    check_trace(notes, &Trace::from_events(notes, figures, volume_of), figures)
}

/// The same where the notes were put together before.
pub fn check_trace(notes: &[TraceEvent], trace: &Trace, figures: &RuleParameters) -> Report {
    Report(vec![
        one_answer(trace, figures),
        no_effect_twice(notes, trace, figures),
        drains(notes, trace, figures),
        cold_nodes(notes, trace, figures),
        order(trace, figures),
        retry_budget(trace, figures),
        limits(trace, figures),
    ])
}

fn one_answer(trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::OneAnswer);
    for key in &trace.duplicate_keys {
        l.judge(false, None, || format!("two commands are both {key:?}: a session handle came again"));
    }
    for (key, c) in &trace.commands {
        // What was due while the host was made to stand still may come when it moves again.
        let deadline = f.classes[c.class].deadline_ms;
        let due = c.fully_sent_us + (deadline * 1_000.0) as u64;
        let excused =
            trace.stalls.iter().filter(|(h, from, to)| *h == c.host && (*from..=*to).contains(&due));
        let allowed = deadline + excused.map(|(.., to)| ms(to - due)).fold(0.0, f64::max);
        match (c.final_answers.as_slice(), c.abandoned_us) {
            ([], Some(left)) => {
                // Who left before the deadline is owed nothing more; who left after it was not answered in time.
                let waited = ms(left.saturating_sub(c.fully_sent_us));
                l.judge(waited <= allowed + f.margin_ms, None, || {
                    format!("{key:?} had no answer in {waited:.0} ms")
                });
            }
            ([], None) => l.judge(false, None, || format!("{key:?} has no answer")),
            ([(at, _)], None) => {
                let took = ms(at.saturating_sub(c.fully_sent_us));
                l.judge(took <= allowed + f.margin_ms, Some(took / allowed), || {
                    format!("{key:?} answered after {took:.0} ms of {allowed:.0}")
                });
            }
            ([_], Some(_)) => l.judge(true, None, String::new),
            (many, _) => l.judge(false, None, || format!("{key:?} has {} answers", many.len())),
        }
        let over = c.final_answers.first().map(|a| a.0).or(c.abandoned_us);
        let Some(over) = over else { continue };
        for a in trace.attempts_by_command.get(key).into_iter().flatten().map(|i| &trace.attempts[*i]) {
            let after = ms(a.received_us.saturating_sub(over));
            l.judge(after <= f.margin_ms, None, || {
                format!(
                    "{key:?}: attempt {} reached node {} {after:.0} ms after the end",
                    a.metadata.attempt, a.node
                )
            });
        }
    }
    l.finding
}

/// Attempts of each part of each command, in order of coming.
fn parts(trace: &Trace) -> BTreeMap<(u16, u32, u16, u32, u16), Vec<&Attempt>> {
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

fn no_effect_twice(notes: &[TraceEvent], trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::NoEffectTwice);
    let class_of = |host, session, command| trace.commands.get(&(host, session, command)).map(|c| c.class);
    let mut applied: HashMap<(u16, u32, u16, u32, u16), u32> = HashMap::new();
    for note in notes {
        let TraceEventKind::Applied { key, node } = &note.kind else { continue };
        let Some(class) = class_of(key.0, key.2, key.3) else { continue };
        if f.classes[class].effect == Effect::Safe {
            continue;
        }
        let n = applied.entry(*key).or_default();
        *n += 1;
        l.judge(*n == 1, None, || format!("{key:?} took effect {n} times, last at node {node}"));
    }
    for (key, attempts) in parts(trace) {
        let Some(class) = class_of(key.0, key.2, key.3) else { continue };
        let repeats = f.classes[class].effect;
        let mut ran: Option<&Attempt> = None;
        for a in attempts {
            if let Some(first) = ran {
                let since = ms(a.received_us - first.received_us);
                match repeats {
                    Effect::Safe => l.judge(true, None, String::new),
                    Effect::Unsafe => {
                        l.judge(false, None, || {
                            format!("{key:?} is unsafe and was sent again after it may have run")
                        });
                    }
                    Effect::Keyed { group, window_ms } => {
                        let same = match group {
                            Group::All => true,
                            Group::Zone => a.place.1 == first.place.1,
                            Group::Shard => a.place.0 == first.place.0,
                        };
                        l.judge(same, None, || {
                            format!("{key:?} was repeated outside its group, at node {}", a.node)
                        });
                        l.judge(since <= window_ms + f.margin_ms, Some(since / window_ms), || {
                            format!("{key:?} was repeated {since:.0} ms after its first send, window {window_ms:.0}")
                        });
                    }
                }
            }
            // An attempt that was turned away unseen after another came is still no reason to hold back.
            if !a.was_rejected() && ran.is_none() {
                ran = Some(a);
            }
        }
        let Some(c) = trace.commands.get(&(key.0, key.2, key.3)) else { continue };
        let harmless = match repeats {
            Effect::Safe => true,
            Effect::Keyed { group, .. } => group == Group::All || ran.is_none(),
            Effect::Unsafe => ran.is_none(),
        };
        if let [(_, 0x08 | 0x28)] = c.final_answers.as_slice() {
            l.judge(harmless, None, || format!("{key:?} was refused, a promise, though it may have run"));
        }
    }
    l.finding
}

/// From word that a node takes nothing new, to word that it does again.
type Closed = (u64, Option<u64>);

fn drains(notes: &[TraceEvent], trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::Drains);
    // For each host and node, spans in which the host had been told to send nothing new.
    let mut closed: HashMap<(u16, u32), Vec<Closed>> = HashMap::new();
    for note in notes {
        let TraceEventKind::NodeListed { host, node, ready, .. } = note.kind else { continue };
        let spans = closed.entry((host, node)).or_default();
        match (spans.last_mut(), ready) {
            (Some((_, end @ None)), true) => *end = Some(note.at_us),
            (Some((_, Some(_))) | None, false) => spans.push((note.at_us, None)),
            _ => {}
        }
    }
    for a in &trace.attempts {
        for (from, to) in closed.get(&(a.metadata.host, a.node)).into_iter().flatten() {
            if a.received_us >= *from && to.is_none_or(|to| a.received_us <= to) {
                let after = ms(a.received_us - from);
                l.judge(after <= f.drain_grace_ms + f.margin_ms, Some(after / f.drain_grace_ms), || {
                    format!("host {} sent node {} new work {after:.0} ms after word", a.metadata.host, a.node)
                });
            }
        }
    }
    // A drain that nothing passed is a check as well.
    l.finding.checks += closed.values().map(|s| s.len() as u64).sum::<u64>();
    l.finding
}

fn cold_nodes(notes: &[TraceEvent], trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::ColdNodes);
    let mut by_node: HashMap<u32, Vec<(u64, f64)>> = HashMap::new();
    for a in &trace.attempts {
        by_node.entry(a.node).or_default().push((a.received_us, f64::from(a.metadata.milli_units) / 1_000.0));
    }
    for note in notes {
        let TraceEventKind::NodeStarted { node, cold: true, units_per_s, .. } = note.kind else { continue };
        let Some(came) = by_node.get(&node) else { continue };
        let started = note.at_us;
        let warm_us = (f.warm_after_ms * 1_000.0) as u64;
        let fall_us = (f.fall_ms * 1_000.0) as u64;
        for (i, (from, _)) in
            came.iter().enumerate().filter(|(_, c)| c.0 >= started && c.0 < started + warm_us)
        {
            let within = came[i..].iter().take_while(|c| c.0 <= from + fall_us);
            let units: f64 = within.map(|c| c.1).sum();
            let age = ms(from - started) / f.warm_after_ms;
            let now = f.cold_from + (1.0 - f.cold_from) * age.min(1.0);
            let bears = (f.fall_multiple * now * units_per_s * f.fall_ms / 1_000.0).max(f.cold_units);
            l.judge(units <= bears, Some(units / bears), || {
                format!("node {node} got {units:.0} units in {:.0} ms, bears {bears:.0}", f.fall_ms)
            });
        }
    }
    l.finding
}

fn order(trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::Order);
    let mut lanes: BTreeMap<(u16, u32, u64), Vec<&Attempt>> = BTreeMap::new();
    for a in &trace.attempts {
        let key = (a.metadata.host, a.metadata.session, a.metadata.cmd_sn);
        let ordered = trace.commands.get(&key).is_some_and(|c| f.classes[c.class].ordered);
        let Some(volume) = f.volumes.get(a.metadata.volume as usize).filter(|_| ordered) else { continue };
        let extent = a.access.lba / volume.extent_blocks;
        lanes.entry((a.metadata.host, a.metadata.volume, extent)).or_default().push(a);
    }
    let name = |a: &Attempt| (a.metadata.session, a.metadata.cmd_sn, a.metadata.part);
    for ((host, volume, extent), lane) in lanes {
        for (i, a) in lane.iter().enumerate() {
            for earlier in lane[..i].iter().filter(|e| name(e) != name(a)) {
                // Answered: free from then on. Cut: the rest must pass. Neither: it is still out.
                let free_us = match (earlier.response, earlier.aborted_us) {
                    (Some((at, _)), None) => at,
                    (_, Some(cut)) => cut + (f.key_cooldown_ms * 1_000.0) as u64,
                    (None, None) => u64::MAX,
                };
                let margin = (f.margin_ms * 1_000.0) as u64;
                l.judge(a.received_us.saturating_add(margin) >= free_us, None, || {
                    format!(
                        "host {host}, volume {volume}, extent {extent}: {:?} beside {:?}",
                        name(a),
                        name(earlier)
                    )
                });
                if a.metadata.session == earlier.metadata.session {
                    l.judge(a.metadata.cmd_sn > earlier.metadata.cmd_sn, None, || {
                        format!(
                            "host {host}, volume {volume}, extent {extent}: {:?} after {:?}",
                            name(a),
                            name(earlier)
                        )
                    });
                }
            }
        }
    }
    l.finding
}

fn retry_budget(trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::RetryBudget);
    let Some((free, ratio, span_ms)) = f.retry_budget else { return l.finding };
    let mut taken: HashMap<u16, Vec<u64>> = HashMap::new();
    for c in trace.commands.values() {
        // A command that crosses extents is taken once for each part.
        let parts = f
            .volumes
            .iter()
            .map(|v| parts_of(c.access.lba, c.access.blocks, v.extent_blocks))
            .max()
            .unwrap_or(1);
        taken.entry(c.host).or_default().extend(std::iter::repeat_n(c.fully_sent_us, parts));
    }
    taken.values_mut().for_each(|t| t.sort_unstable());
    let mut further: HashMap<u16, Vec<u64>> = HashMap::new();
    for attempts in parts(trace).into_values() {
        for a in attempts.iter().filter(|a| a.metadata.attempt > 0) {
            further.entry(a.metadata.host).or_default().push(a.received_us);
        }
    }
    let (span, margin) = ((span_ms * 1_000.0) as u64, (f.margin_ms * 1_000.0) as u64);
    for (host, mut sent) in further {
        sent.sort_unstable();
        let taken = taken.get(&host).map_or(&[][..], Vec::as_slice);
        for (i, at) in sent.iter().enumerate() {
            let from = at.saturating_sub(span);
            let count = (sent[..=i].iter().filter(|t| **t > from + margin).count()) as f64;
            let requests = taken.iter().filter(|t| **t + margin >= from && **t <= at + margin).count() as f64;
            let allowed = free + ratio * requests;
            l.judge(count <= allowed, Some(count / allowed), || {
                format!("host {host}: {count} further attempts in {span_ms:.0} ms, {allowed:.1} allowed")
            });
        }
    }
    l.finding
}

fn parts_of(lba: u64, blocks: u64, extent: u64) -> usize {
    let last = lba + blocks.max(1) - 1;
    (last / extent - lba / extent + 1).min(64) as usize
}

fn limits(trace: &Trace, f: &RuleParameters) -> Finding {
    let mut l = Ledger::new(Rule::Limits);
    // Each request draws its units at its first sending; the store is one for all hosts.
    let mut first: Vec<(u64, u32, f64)> = parts(trace)
        .into_values()
        .filter_map(|a| {
            a.first().map(|a| (a.received_us, a.metadata.volume, f64::from(a.metadata.milli_units) / 1_000.0))
        })
        .collect();
    first.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut stores: HashMap<u32, (u64, f64)> = HashMap::new();
    for (at, volume, units) in first {
        let Some((rate, burst, slack)) = f.volumes.get(volume as usize).and_then(|v| v.limit) else {
            continue;
        };
        let (last, left) = stores.get(&volume).copied().unwrap_or((at, burst));
        let left = (left + rate * ms(at - last) / 1_000.0).min(burst) - units;
        stores.insert(volume, (at, left));
        // Noted later than sent: what was sent over a margin may be noted at one moment.
        let least = -slack - rate * f.margin_ms / 1_000.0;
        l.judge(left >= least, Some((burst - left) / (burst - least)), || {
            format!("volume {volume}: its store stands at {left:.1} units, {least:.1} is the least")
        });
    }
    l.finding
}
