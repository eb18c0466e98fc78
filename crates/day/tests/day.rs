//! A scenario with faults violates no rule, and the checker finds each violation that is put into its events.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::wire::CommandMetadata;
use pearfork_rulecheck::{check, Endpoint, Rule, TraceEvent, TraceEventKind};

const SCENARIO: &str = include_str!("../days/bad-day.toml");
const SETTINGS: &str = include_str!("../days/bad-day-hosts.toml");

fn violated_rules(result: &RunResult, events: &[TraceEvent]) -> Vec<Rule> {
    let mut sorted = events.to_vec();
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
fn a_scenario_with_faults_violates_no_rule_and_injected_violations_are_found() {
    let scenario = Scenario::from_toml(SCENARIO).unwrap();
    let settings = HostSettings::from_toml(SETTINGS).unwrap();
    let result = run_scenario(
        &scenario,
        &settings,
        &mut pearfork_day::host_runner::InProcessRunner::default(),
        |_, _| {},
    )
    .unwrap();
    assert!(result.rules.passed(), "\n{}", result.rules);
    assert_eq!(result.stale(), Vec::<&str>::new());
    assert!(result.collapsed_nodes.is_empty(), "{:?}", result.collapsed_nodes);
    // The scenario must have put the hosts under load: many requests of each outcome.
    let sum = |f: fn(&pearfork_host::counts::ClassCounts) -> u64| -> u64 {
        result.class_counts.iter().flatten().map(f).sum()
    };
    let (taken, served, refused) = (sum(|c| c.taken), sum(|c| c.served), sum(|c| c.refused));
    assert!(served > 300 && refused > 50, "{served} served, {refused} refused");
    let ended = served + refused + sum(|c| c.failed) + sum(|c| c.abandoned);
    // Requests of a killed host have no final answer.
    assert!(ended <= taken && taken - ended < 200, "{taken} taken, {ended} ended");
    for rule in
        [Rule::OneAnswer, Rule::NoEffectTwice, Rule::Drains, Rule::ColdNodes, Rule::Order, Rule::Limits]
    {
        assert!(result.rules.finding(rule).unwrap().checks > 0, "{rule}: nothing was checked");
    }

    // Each modification of the recorded events must be found by the rule that it violates.
    assert!(violated_rules(&result, &result.events).is_empty());
    let is_response = |n: &TraceEvent| {
        header(n)
            .is_some_and(|(p, sent, h)| matches!(p, Endpoint::Client { .. }) && !sent && h.opcode() == 0x21)
    };
    let at = result.events.iter().position(is_response).expect("a response");
    let mut without_response = result.events.clone();
    without_response.remove(at);
    assert_eq!(violated_rules(&result, &without_response), [Rule::OneAnswer], "a response is missing");
    let mut duplicated_response = result.events.clone();
    duplicated_response.insert(at, result.events[at].clone());
    assert_eq!(violated_rules(&result, &duplicated_response), [Rule::OneAnswer], "a response is sent twice");
    let effect =
        result.events.iter().find(|n| matches!(n.kind, TraceEventKind::Applied { .. })).expect("an effect");
    let mut duplicated_effect = result.events.clone();
    duplicated_effect.push(effect.clone());
    assert_eq!(
        violated_rules(&result, &duplicated_effect),
        [Rule::NoEffectTwice],
        "an effect is applied twice"
    );
    let first = result.events.iter().position(is_attempt).expect("an attempt");
    let Some((Endpoint::Node { node }, _, h)) = header(&result.events[first]) else { panic!() };
    let host = CommandMetadata::find(&h.extra).unwrap().host;
    let mut draining = result.events.clone();
    let listed = TraceEventKind::NodeListed { host, node: *node, ready: false, started_ms: 0.0 };
    draining.insert(0, TraceEvent { at_us: 0, kind: listed });
    draining
        .retain(|n| !matches!(n.kind, TraceEventKind::NodeListed { node: n, ready: true, .. } if n == *node));
    assert!(
        violated_rules(&result, &draining).contains(&Rule::Drains),
        "attempts at a node that drains from the start"
    );
    let mut cold = result.events.clone();
    let started =
        TraceEventKind::NodeStarted { node: *node, shard: 0, zone: 0, cold: true, units_per_s: 1.0 };
    cold.insert(0, TraceEvent { at_us: 0, kind: started });
    assert!(
        violated_rules(&result, &cold).contains(&Rule::ColdNodes),
        "attempts beyond what a cold node of low capacity may get"
    );
    let mut parameters = result.rule_parameters.clone();
    parameters.volumes.iter_mut().for_each(|v| v.limit = Some((1.0, 5.0, 0.0)));
    let strict_limits = RunResult { rule_parameters: parameters, ..result };
    assert!(
        violated_rules(&strict_limits, &strict_limits.events).contains(&Rule::Limits),
        "limits are below what was sent"
    );
}
