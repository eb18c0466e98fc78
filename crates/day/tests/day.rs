//! The scripted bad day, and the same record broken on purpose.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::wire::CommandMetadata;
use pearfork_rulecheck::{check, Endpoint, Rule, TraceEvent, TraceEventKind};

const DAY: &str = include_str!("../days/bad-day.toml");
const HOSTS: &str = include_str!("../days/bad-day-hosts.toml");

fn broken(result: &RunResult, notes: &[TraceEvent]) -> Vec<Rule> {
    let mut sorted = notes.to_vec();
    sorted.sort_by_key(|n| n.at_us);
    let volume_of = |_: u16, lun: u64| Some((lun >> 48) as u32);
    let report = check(&sorted, &result.rule_parameters, &volume_of);
    report.0.iter().filter(|f| !f.violations.is_empty()).map(|f| f.rule).collect()
}

fn header(n: &TraceEvent) -> Option<(&Endpoint, bool, &pearfork_rulecheck::wire::Header)> {
    match &n.kind {
        TraceEventKind::Pdu { endpoint, sent, header, .. } => Some((endpoint, *sent, header)),
        _ => None,
    }
}

fn is_attempt(n: &TraceEvent) -> bool {
    header(n).is_some_and(|(p, sent, h)| {
        matches!(p, Endpoint::Node { .. }) && !sent && CommandMetadata::find(&h.extra).is_some()
    })
}

#[test]
fn a_bad_day_keeps_the_seven_rules_and_its_record_broken_on_purpose_does_not() {
    let day = Scenario::from_toml(DAY).unwrap();
    let plan = HostSettings::from_toml(HOSTS).unwrap();
    let result =
        run_scenario(&day, &plan, &mut pearfork_day::host_runner::InProcessRunner::default(), |_, _| {})
            .unwrap();
    assert!(result.rules.passed(), "\n{}", result.rules);
    assert_eq!(result.stale(), Vec::<&str>::new());
    assert!(result.collapsed_nodes.is_empty(), "{:?}", result.collapsed_nodes);
    // The day was bad, and it was a day: all kinds of answers were given, in numbers.
    let sum = |f: fn(&pearfork_host::counts::ClassCounts) -> u64| -> u64 {
        result.hosts.iter().flatten().map(f).sum()
    };
    let (taken, served, refused) = (sum(|c| c.taken), sum(|c| c.served), sum(|c| c.refused));
    assert!(served > 300 && refused > 50, "{served} served, {refused} refused");
    let ended = served + refused + sum(|c| c.failed) + sum(|c| c.abandoned);
    // What a killed host held has no end.
    assert!(ended <= taken && taken - ended < 200, "{taken} taken, {ended} ended");
    for rule in
        [Rule::OneAnswer, Rule::NoEffectTwice, Rule::Drains, Rule::ColdNodes, Rule::Order, Rule::Limits]
    {
        assert!(result.rules.finding(rule).unwrap().checks > 0, "{rule} had nothing to judge");
    }

    // Mutants of the real record: each is found by its rule.
    assert!(broken(&result, &result.notes).is_empty());
    let answers = |n: &TraceEvent| {
        header(n)
            .is_some_and(|(p, sent, h)| matches!(p, Endpoint::Client { .. }) && !sent && h.opcode() == 0x21)
    };
    let at = result.notes.iter().position(answers).expect("an answer");
    let mut lost = result.notes.clone();
    lost.remove(at);
    assert_eq!(broken(&result, &lost), [Rule::OneAnswer], "an answer lost");
    let mut doubled = result.notes.clone();
    doubled.insert(at, result.notes[at].clone());
    assert_eq!(broken(&result, &doubled), [Rule::OneAnswer], "an answer given twice");
    let effect =
        result.notes.iter().find(|n| matches!(n.kind, TraceEventKind::Applied { .. })).expect("an effect");
    let mut twice = result.notes.clone();
    twice.push(effect.clone());
    assert_eq!(broken(&result, &twice), [Rule::NoEffectTwice], "an effect taking place twice");
    let first = result.notes.iter().position(is_attempt).expect("an attempt");
    let Some((Endpoint::Node { node }, _, h)) = header(&result.notes[first]) else { panic!() };
    let host = CommandMetadata::find(&h.extra).unwrap().host;
    let mut drained = result.notes.clone();
    let told = TraceEventKind::NodeListed { host, node: *node, ready: false, started_ms: 0.0 };
    drained.insert(0, TraceEvent { at_us: 0, kind: told });
    drained
        .retain(|n| !matches!(n.kind, TraceEventKind::NodeListed { node: n, ready: true, .. } if n == *node));
    assert!(broken(&result, &drained).contains(&Rule::Drains), "a drain that was told from the start");
    let mut cold = result.notes.clone();
    let started =
        TraceEventKind::NodeStarted { node: *node, shard: 0, zone: 0, cold: true, units_per_s: 1.0 };
    cold.insert(0, TraceEvent { at_us: 0, kind: started });
    assert!(broken(&result, &cold).contains(&Rule::ColdNodes), "a node that was cold and weak");
    let mut figures = result.rule_parameters.clone();
    figures.volumes.iter_mut().for_each(|v| v.limit = Some((1.0, 5.0, 0.0)));
    let tight = RunResult { rule_parameters: figures, ..result };
    assert!(broken(&tight, &tight.notes).contains(&Rule::Limits), "limits below what was sent");
}
