//! Causes each reason once, and checks that it is reported: an operator who reads "limit" must find a limit.

mod common;
use common::*;
use pearfork::*;
use std::collections::BTreeSet;

/// Returns the reason of the first final answer among the actions, if there is one.
fn final_reason(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|a| match a {
        Action::Refuse { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn first_final_reason(actions: &[(f64, Action)]) -> Option<Reason> {
    let plain: Vec<Action> = actions.iter().map(|(_, a)| a.clone()).collect();
    final_reason(&plain)
}

/// Returns the reason why a request waits at a time; `None` if it does not wait.
fn waiting_reason(h: &Host, now: f64, id: u32) -> Option<Reason> {
    h.scheduler.waiting(now).find(|(i, _)| *i == id).map(|(_, reason)| reason)
}

fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut s = settings();
    change(&mut s);
    s
}

fn send_request(h: &mut Host, now: f64, id: u32) -> Vec<Action> {
    h.at(now, Event::Request(request(id, now + 900.0)))
}

/// Returns a host whose one node has reached its in-flight limit, and the request that is queued for it.
fn host_at_in_flight_limit(settings: Settings) -> (Host, u32) {
    let mut h = Host::with_nodes(settings, &[entry(7, 0)]);
    let queued = (0..40)
        .find(|id| sent(&send_request(&mut h, 1.0, *id)).is_empty())
        .expect("the in-flight limit is reached");
    (h, queued)
}

#[test]
fn a_waiting_request_reports_its_reason_and_is_refused_for_it() {
    let (mut h, queued) = host_at_in_flight_limit(settings());
    assert_eq!(
        (waiting_reason(&h, 1.0, queued), waiting_reason(&h, 1.0, 0)),
        (Some(Reason::InFlightLimit), Some(Reason::NoResponse))
    );
    let ends = h.run_timers_until(2_000.0);
    let reason_for = |id: u32| {
        ends.iter().find_map(|(_, a)| match a {
            Action::Refuse { id: i, reason, .. } if *i == id => Some(*reason),
            _ => None,
        })
    };
    // By then it is past its aim, behind a request whose node does not respond.
    assert_eq!((reason_for(queued), reason_for(0)), (Some(Reason::Late), Some(Reason::NoResponse)));
}

#[test]
fn missing_cold_and_backed_off_nodes_have_different_reasons() {
    let mut none = Host::with_nodes(settings(), &[entry(7, 1)]);
    assert!(send_request(&mut none, 1.0, 1).is_empty());
    assert_eq!(waiting_reason(&none, 1.0, 1), Some(Reason::NoNode));
    assert_eq!(first_final_reason(&none.run_timers_until(2_000.0)), Some(Reason::NoNode));

    let mut cold = Host::new(settings());
    cold.at(0.0, Event::NodeList(ListKind::Cached, vec![entry(7, 0)]));
    cold.at(
        20_000.0,
        Event::NodeList(ListKind::Full, vec![NodeEntry { started_ms: 19_999.0, ..entry(7, 0) }]),
    );
    let queued = (1..40)
        .find(|id| sent(&send_request(&mut cold, 20_001.0, *id)).is_empty())
        .expect("the cold node is at its limit");
    assert_eq!(waiting_reason(&cold, 20_001.0, queued), Some(Reason::ColdNode));

    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    send_request(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Rejected)));
    assert_eq!(waiting_reason(&h, 2.0, 1), Some(Reason::Backoff));
}

#[test]
fn limit_key_order_budget_and_delay_have_different_reasons() {
    let capped =
        |limit: f64| settings_with(|s| s.plans = vec![Plan { limit, burst: 4.0, slack: 0.0, ..plan() }]);
    let mut h = Host::with_nodes(capped(100.0), &[entry(7, 0)]);
    assert!(send_request(&mut h, 1.0, 1).is_empty());
    assert_eq!(waiting_reason(&h, 1.0, 1), Some(Reason::VolumeLimit));
    // A request that its volume's limit delays too long is refused at once, with the time to come back: two
    // units at 0.9 units per second.
    let mut h = Host::with_nodes(capped(1.0), &[entry(7, 0)]);
    let refused = send_request(&mut h, 1.0, 1);
    let Some(Action::Refuse { retry_after_ms, reason: Reason::VolumeLimit, .. }) = refused.first() else {
        panic!("{refused:?}")
    };
    assert_eq!(*retry_after_ms, 450.0, "2.2 s, but no more than half of the time that the client has left");

    let ordered = settings_with(|s| s.classes[0].ordered = true);
    let mut h = Host::with_nodes(ordered, &[entry(7, 0)]);
    for id in [1, 2] {
        h.at(1.0, Event::Request(Request { key: 5, ..request(id, 900.0) }));
    }
    assert_eq!(waiting_reason(&h, 1.0, 2), Some(Reason::KeyOrder));

    let none_left =
        settings_with(|s| s.retry_budget = Some(RetryBudget { free: 0.0, ratio: 0.0, span_ms: 5_000.0 }));
    let mut h = Host::with_nodes(none_left, &[entry(7, 0)]);
    send_request(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waiting_reason(&h, 2.0, 1), Some(Reason::RetryBudget));

    let paused = settings_with(|s| s.classes[0].attempt_policy.retry_delay_ms = 50.0);
    let mut h = Host::with_nodes(paused, &[entry(7, 0)]);
    send_request(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waiting_reason(&h, 2.0, 1), Some(Reason::RetryDelay));

    // A keyed request whose nodes are about to forget its key.
    let keyed = settings_with(|s| {
        s.classes = vec![Class { window_ms: 100.0, ..class(Effect::Keyed, Group::Shard) }];
        s.classes[0].attempt_policy.retry_delay_ms = 200.0;
    });
    let mut h = Host::with_nodes(keyed, &[entry(7, 0)]);
    send_request(&mut h, 1.0, 1);
    h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, AttemptResult::Reset)));
    assert_eq!(waiting_reason(&h, 300.0, 1), Some(Reason::RetryNotAllowed));
    assert_eq!(first_final_reason(&h.run_timers_until(2_000.0)), Some(Reason::RetryNotAllowed));
}

#[test]
fn the_final_answer_has_the_reason_of_the_last_attempt() {
    for (result, want) in [
        (AttemptResult::Rejected, Reason::NodeRejected),
        (AttemptResult::Error, Reason::NodeError),
        (AttemptResult::Reset, Reason::Unreachable),
        (AttemptResult::ConnectFailed, Reason::Unreachable),
        (AttemptResult::TimedOut, Reason::NoResponse),
    ] {
        let mut h = Host::with_nodes(settings_with(|s| s.max_attempts = 1), &[entry(7, 0)]);
        send_request(&mut h, 1.0, 1);
        assert_eq!(
            final_reason(&h.at(2.0, Event::AttemptEnded(outcome(1, 0, 7, result)))),
            Some(want),
            "{result:?}"
        );
    }
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    let invalid = h.at(1.0, Event::Request(Request { class: 9, ..request(1, 900.0) }));
    assert_eq!(final_reason(&invalid), Some(Reason::Invalid));
}

#[test]
fn envelope_prediction_and_displacement_have_different_reasons() {
    // Forty requests one by one at 160 ms, where 150 ms would be in time: the envelope test refuses once a
    // request is queued.
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40 {
        h.run_timers_until(now);
        send_request(&mut h, now, id);
        h.run_timers_until(now + 160.0);
        h.at(now + 160.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    let refused = (100..140).find_map(|id| final_reason(&send_request(&mut h, now, id)));
    assert_eq!(refused, Some(Reason::Envelope));

    // A node that reports a wait of 300 ms, with an aim of 100 ms.
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    for id in 0..31u32 {
        let now = 1.0 + 1_000.0 * f64::from(id);
        let queue = if id == 30 { 30.0 } else { f64::from(id % 4) };
        let took = 10.0 + 10.0 * queue;
        h.run_timers_until(now);
        assert_eq!(sent(&send_request(&mut h, now, id)), [(id, 7)]);
        h.run_timers_until(now + took);
        let ended = AttemptOutcome {
            queue: Some(queue),
            elapsed_ms: took,
            ..outcome(id, 0, 7, AttemptResult::Served)
        };
        h.at(now + took, Event::AttemptEnded(ended));
    }
    assert_eq!(final_reason(&send_request(&mut h, 30_320.0, 52)), Some(Reason::Prediction));

    // A request with little worth per unit is displaced by one with more.
    let two = settings_with(|s| s.classes.push(Class { worth: 50.0, ..class(Effect::Safe, Group::All) }));
    let mut h = Host::with_nodes(two, &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40 {
        h.run_timers_until(now);
        send_request(&mut h, now, id);
        h.run_timers_until(now + 160.0);
        h.at(now + 160.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    (100..140)
        .find(|id| final_reason(&send_request(&mut h, now, *id)).is_some())
        .expect("the envelope test refuses one");
    let valuable = h.at(now, Event::Request(Request { class: 1, ..request(500, now + 900.0) }));
    assert_eq!(final_reason(&valuable), Some(Reason::Displaced), "{valuable:?}");
}

/// Guards against a volume at its limit that costs others on its node: if requests that wait for the limit
/// counted as queued for the node, the envelope test would refuse a volume without a limit beside an idle
/// node.
#[test]
fn a_volume_at_its_limit_does_not_delay_others_on_its_node() {
    let capped = settings_with(|s| {
        s.plans = vec![plan(), Plan { limit: 40.0, burst: 4.0, slack: 0.0, ..plan() }];
    });
    let mut h = Host::with_nodes(capped, &[entry(7, 0)]);
    let limited_request = |id: u32, now: f64| Request { volume: 2, plan: 1, ..request(id, now + 900.0) };
    let (mut limited_refusals, mut waited) = (0, false);
    for round in 0..200u32 {
        let now = 1.0 + 20.0 * f64::from(round);
        let mut done: Vec<Action> = h.run_timers_until(now).into_iter().map(|(_, a)| a).collect();
        for n in 0..3 {
            done.extend(h.at(now, Event::Request(limited_request(10_000 + 3 * round + n, now))));
        }
        let unlimited = send_request(&mut h, now, round);
        assert_eq!(sent(&unlimited), [(round, 7)], "round {round}: {unlimited:?}");
        done.extend(unlimited);
        waited |= h.scheduler.waiting(now).any(|(id, reason)| id >= 10_000 && reason == Reason::VolumeLimit);
        // Each response may release another request; all get a response before the next round.
        let mut at = 0;
        while let Some(action) = done.get(at).cloned() {
            at += 1;
            if let Action::Send { id, node, .. } = action {
                done.extend(
                    h.at(now + 5.0, Event::AttemptEnded(outcome(id, 0, node, AttemptResult::Served))),
                );
            }
        }
        limited_refusals +=
            done.iter().filter(|a| matches!(a, Action::Refuse { reason: Reason::VolumeLimit, .. })).count();
    }
    assert!(
        waited && limited_refusals > 300,
        "limited requests wait and are refused by their own limit: {limited_refusals}"
    );
}

#[test]
fn each_reason_has_its_own_label_and_a_row_in_the_operators_page() {
    let labels: BTreeSet<&str> = Reason::ALL.iter().map(|r| r.label()).collect();
    assert_eq!(labels.len(), Reason::ALL.len());
    // The operators' page has a row for each of them.
    let page = include_str!("../docs/operators/reasons.md");
    for label in labels {
        assert!(page.contains(&format!("| `{label}` |")), "{label} is not in the operators' page");
    }
}
