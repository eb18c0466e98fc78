//! Every reason, made to happen. An operator who is told "limit" must find a limit.

mod common;
use common::*;
use pearfork::*;
use std::collections::BTreeSet;

fn reason_of(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn last_reason(actions: &[(f64, Action)]) -> Option<Reason> {
    let plain: Vec<Action> = actions.iter().map(|(_, a)| a.clone()).collect();
    reason_of(&plain)
}

fn waits(h: &Host, now: f64, id: u32) -> Option<Reason> {
    h.s.waiting(now).find(|(i, _)| *i == id).map(|(_, reason)| reason)
}

fn with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut s = settings();
    change(&mut s);
    s
}

fn ask(h: &mut Host, now: f64, id: u32) -> Vec<Action> {
    h.at(now, Event::Request(request(id, now + 900.0)))
}

/// A host whose one node has as many out as its limit allows; the next one waits.
fn full(settings: Settings) -> (Host, u32) {
    let mut h = Host::with_nodes(settings, &[entry(7, 0)]);
    let held = (0..40).find(|id| sent(&ask(&mut h, 1.0, *id)).is_empty()).expect("a limit");
    (h, held)
}

#[test]
fn what_waits_tells_what_it_waits_for_and_is_refused_for_that_in_the_end() {
    let (mut h, held) = full(settings());
    assert_eq!((waits(&h, 1.0, held), waits(&h, 1.0, 0)), (Some(Reason::InFlightLimit), Some(Reason::NoResponse)));
    let ends = h.ring_until(2_000.0);
    let told = |id: u32| {
        ends.iter().find_map(|(_, a)| match a {
            Action::Refuse { id: i, reason, .. } if *i == id => Some(*reason),
            _ => None,
        })
    };
    // Past its aim by then, behind what its node does not answer.
    assert_eq!((told(held), told(0)), (Some(Reason::Late), Some(Reason::NoResponse)));
}

#[test]
fn nodes_that_are_not_there_cold_or_at_rest_are_told_apart() {
    let mut none = Host::with_nodes(settings(), &[entry(7, 1)]);
    assert!(ask(&mut none, 1.0, 1).is_empty());
    assert_eq!(waits(&none, 1.0, 1), Some(Reason::NoNode));
    assert_eq!(last_reason(&none.ring_until(2_000.0)), Some(Reason::NoNode));

    let mut cold = Host::new(settings());
    cold.at(0.0, Event::NodeList(ListKind::Cached, vec![entry(7, 0)]));
    cold.at(20_000.0, Event::NodeList(ListKind::Full, vec![NodeEntry { started_ms: 19_999.0, ..entry(7, 0) }]));
    let held = (1..40).find(|id| sent(&ask(&mut cold, 20_001.0, *id)).is_empty()).expect("a bound");
    assert_eq!(waits(&cold, 20_001.0, held), Some(Reason::ColdNode));

    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    ask(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Rejected)));
    assert_eq!(waits(&h, 2.0, 1), Some(Reason::Backoff));
}

#[test]
fn limits_order_budgets_and_pauses_hold_by_name() {
    let capped = |limit: f64| with(|s| s.plans = vec![Plan { limit, burst: 4.0, slack: 0.0, ..plan() }]);
    let mut h = Host::with_nodes(capped(100.0), &[entry(7, 0)]);
    assert!(ask(&mut h, 1.0, 1).is_empty());
    assert_eq!(waits(&h, 1.0, 1), Some(Reason::VolumeLimit));
    // What its volume can't have in time is refused at once, and told when: two units at 0.9 a second.
    let mut h = Host::with_nodes(capped(1.0), &[entry(7, 0)]);
    let refused = ask(&mut h, 1.0, 1);
    let Some(Action::Refuse { retry_after_ms, reason: Reason::VolumeLimit, .. }) = refused.first() else {
        panic!("{refused:?}")
    };
    assert_eq!(*retry_after_ms, 450.0, "2.2 s, but no more than half of what the client has left");

    let ordered = with(|s| s.classes[0].ordered = true);
    let mut h = Host::with_nodes(ordered, &[entry(7, 0)]);
    for id in [1, 2] {
        h.at(1.0, Event::Request(Request { key: 5, ..request(id, 900.0) }));
    }
    assert_eq!(waits(&h, 1.0, 2), Some(Reason::KeyOrder));

    let none_left = with(|s| s.retry_budget = Some(RetryBudget { free: 0.0, ratio: 0.0, span_ms: 5_000.0 }));
    let mut h = Host::with_nodes(none_left, &[entry(7, 0)]);
    ask(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waits(&h, 2.0, 1), Some(Reason::RetryBudget));

    let paused = with(|s| s.classes[0].attempt_policy.retry_delay_ms = 50.0);
    let mut h = Host::with_nodes(paused, &[entry(7, 0)]);
    ask(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waits(&h, 2.0, 1), Some(Reason::RetryDelay));

    // Keyed, and the nodes that know the key are about to forget it.
    let keyed = with(|s| {
        s.classes = vec![Class { window_ms: 100.0, ..class(Effect::Keyed, Group::Shard) }];
        s.classes[0].attempt_policy.retry_delay_ms = 200.0;
    });
    let mut h = Host::with_nodes(keyed, &[entry(7, 0)]);
    ask(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waits(&h, 300.0, 1), Some(Reason::RetryNotAllowed));
    assert_eq!(last_reason(&h.ring_until(2_000.0)), Some(Reason::RetryNotAllowed));
}

#[test]
fn the_last_attempt_of_all_tells_how_it_ended() {
    for (result, want) in [
        (AttemptResult::Rejected, Reason::NodeRejected),
        (AttemptResult::Error, Reason::NodeError),
        (AttemptResult::Reset, Reason::Unreachable),
        (AttemptResult::ConnectFailed, Reason::Unreachable),
        (AttemptResult::TimedOut, Reason::NoResponse),
    ] {
        let mut h = Host::with_nodes(with(|s| s.max_attempts = 1), &[entry(7, 0)]);
        ask(&mut h, 1.0, 1);
        assert_eq!(
            reason_of(&h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, result)))),
            Some(want),
            "{result:?}"
        );
    }
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    let odd = h.at(1.0, Event::Request(Request { class: 9, ..request(1, 900.0) }));
    assert_eq!(reason_of(&odd), Some(Reason::Invalid));
}

#[test]
fn the_tests_at_arrival_and_standing_are_named() {
    // Forty requests one by one at 160 ms, where 150 would be in time: the envelope test refuses once something waits.
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40 {
        h.ring_until(now);
        ask(&mut h, now, id);
        h.ring_until(now + 160.0);
        h.at(now + 160.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    let refused = (100..140).find_map(|id| reason_of(&ask(&mut h, now, id)));
    assert_eq!(refused, Some(Reason::Envelope));

    // A node that reports a wait of 300 ms before an aim of 100.
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    for id in 0..31u32 {
        let now = 1.0 + 1_000.0 * f64::from(id);
        let queue = if id == 30 { 30.0 } else { f64::from(id % 4) };
        let took = 10.0 + 10.0 * queue;
        h.ring_until(now);
        assert_eq!(sent(&ask(&mut h, now, id)), [(id, 7)]);
        h.ring_until(now + took);
        let told = AttemptOutcome { queue: Some(queue), elapsed_ms: took, ..outcome(id, 0, 7, AttemptResult::Served) };
        h.at(now + took, Event::AttemptEnded(told));
    }
    assert_eq!(reason_of(&ask(&mut h, 30_320.0, 52)), Some(Reason::Prediction));

    // What is worth little for its work gives way to what is worth more.
    let two = with(|s| s.classes.push(Class { worth: 50.0, ..class(Effect::Safe, Group::All) }));
    let mut h = Host::with_nodes(two, &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40 {
        h.ring_until(now);
        ask(&mut h, now, id);
        h.ring_until(now + 160.0);
        h.at(now + 160.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    (100..140).find(|id| reason_of(&ask(&mut h, now, *id)).is_some()).expect("a full node");
    let dear = h.at(now, Event::Request(Request { class: 1, ..request(500, now + 900.0) }));
    assert_eq!(reason_of(&dear), Some(Reason::Displaced), "{dear:?}");
}

/// Danger: requests that wait for their volume's limit stood in their node's queue, so that the test was not moot there, and a
/// volume without a limit was refused beside a node with nothing to do.
#[test]
fn a_volume_at_its_limit_costs_a_quiet_one_on_the_same_node_nothing() {
    let capped = with(|s| {
        s.plans = vec![plan(), Plan { limit: 40.0, burst: 4.0, slack: 0.0, ..plan() }];
    });
    let mut h = Host::with_nodes(capped, &[entry(7, 0)]);
    let flood = |id: u32, now: f64| Request { volume: 2, plan: 1, ..request(id, now + 900.0) };
    let (mut refused_flood, mut waited) = (0, false);
    for round in 0..200u32 {
        let now = 1.0 + 20.0 * f64::from(round);
        let mut done: Vec<Action> = h.ring_until(now).into_iter().map(|(_, a)| a).collect();
        for n in 0..3 {
            done.extend(h.at(now, Event::Request(flood(10_000 + 3 * round + n, now))));
        }
        let quiet = ask(&mut h, now, round);
        assert_eq!(sent(&quiet), [(round, 7)], "round {round}: {quiet:?}");
        done.extend(quiet);
        waited |= h.s.waiting(now).any(|(id, reason)| id >= 10_000 && reason == Reason::VolumeLimit);
        // Each answer may let another go; all are answered before the next round.
        let mut at = 0;
        while let Some(action) = done.get(at).cloned() {
            at += 1;
            if let Action::Send { id, node, .. } = action {
                done.extend(h.at(now + 5.0, Event::AttemptEnded(outcome(id, 0, node, AttemptResult::Served))));
            }
        }
        refused_flood +=
            done.iter().filter(|a| matches!(a, Action::Refuse { reason: Reason::VolumeLimit, .. })).count();
    }
    assert!(waited && refused_flood > 300, "the flood is held and refused by its own limit: {refused_flood}");
}

#[test]
fn each_reason_has_a_word_of_its_own() {
    let words: BTreeSet<&str> = Reason::ALL.iter().map(|r| r.word()).collect();
    assert_eq!(words.len(), Reason::ALL.len());
    // And the operators' page has a row for each.
    let page = include_str!("../docs/operators/reasons.md");
    for word in words {
        assert!(page.contains(&format!("| `{word}` |")), "{word} is not in the operators' page");
    }
}
