//! What operators ask for the attempts of a class: time-outs, numbers, pauses and second copies, at their edges.

mod common;
use common::*;
use pearfork::*;

/// One class with terms, before three nodes of one shard; the last lies in another zone.
fn host(effect: Effect, group: Group, attempt_policy: AttemptPolicy, change: impl FnOnce(&mut Settings)) -> Host {
    let mut s = settings();
    s.classes = vec![Class { terms, ..class(effect, group) }];
    s.hedging = true;
    change(&mut s);
    Host::with_nodes(s, &[entry(1, 0), entry(2, 0), NodeEntry { zone: 1, ..entry(3, 0) }])
}

fn second_after(ms: f64) -> AttemptPolicy {
    AttemptPolicy { hedge_after_ms: ms, ..AttemptPolicy::default() }
}

fn sends(actions: &[(f64, Action)]) -> Vec<(f64, u32, f64)> {
    let send = |(at, a): &(f64, Action)| match a {
        Action::Send { node, timeout_ms, .. } => Some((*at, *node, *timeout_ms)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

fn final_answers(actions: &[(f64, Action)]) -> Vec<&Action> {
    let last = |a: &&(f64, Action)| matches!(a.1, Action::Refuse { .. } | Action::Fail { .. });
    actions.iter().filter(last).map(|a| &a.1).collect()
}

fn begin(h: &mut Host) -> u32 {
    let out = h.on_to(1.0, Event::Request(request(1, 1000.0)));
    assert_eq!(sends(&out).len(), 1, "the first goes at once");
    sends(&out)[0].1
}

#[test]
fn by_default_nothing_is_asked() {
    let mut h = host(Effect::Safe, Group::All, AttemptPolicy::default(), |_| {});
    let node = begin(&mut h);
    let out = h.on_to(900.0, Event::AttemptEnded(outcome(1, 0, node, AttemptResult::Reset)));
    let again = sends(&out);
    assert_eq!((again.len(), again[0].2), (1, 0.0), "no second copy, no time-out, and again at once");
}

#[test]
fn each_attempt_carries_its_time_out_and_no_more_go_than_are_asked() {
    let mut h =
        host(Effect::Safe, Group::All, AttemptPolicy { attempt_timeout_ms: 80.0, attempts: 2, ..AttemptPolicy::default() }, |_| {});
    let out = h.on_to(1.0, Event::Request(request(1, 1000.0)));
    assert_eq!(sends(&out)[0].2, 80.0);
    let out = h.on_to(81.0, Event::AttemptEnded(outcome(1, 0, sends(&out)[0].1, AttemptResult::TimedOut)));
    assert_eq!((sends(&out).len(), sends(&out)[0].2), (1, 80.0));
    let out = h.on_to(161.0, Event::AttemptEnded(outcome(1, 1, sends(&out)[0].1, AttemptResult::TimedOut)));
    assert!(sends(&out).is_empty());
    assert!(matches!(final_answers(&out)[..], [Action::Refuse { .. }]));
    // More than the settings allow is not had.
    let many = AttemptPolicy { attempts: 9, ..AttemptPolicy::default() };
    let mut h = host(Effect::Safe, Group::All, many, |s| s.max_attempts = 1);
    let node = begin(&mut h);
    assert!(sends(&h.on_to(5.0, Event::AttemptEnded(outcome(1, 0, node, AttemptResult::Reset)))).is_empty());
}

#[test]
fn further_attempts_wait_for_their_pause_and_are_spread() {
    let terms = AttemptPolicy { retry_delay_ms: 50.0, retry_jitter_ms: 300.0, ..AttemptPolicy::default() };
    let mut h = host(Effect::Safe, Group::All, terms, |_| {});
    let mut out = Vec::new();
    for id in 1..=6 {
        out.extend(h.on_to(1.0, Event::Request(request(id, 1000.0))));
    }
    let first: Vec<(u32, u32)> = sent(&out.into_iter().map(|a| a.1).collect::<Vec<_>>());
    assert!(first.len() >= 3, "{first:?}");
    let mut out = Vec::new();
    for (id, node) in &first {
        out.extend(h.on_to(10.0, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Error))));
    }
    assert!(sends(&out).is_empty(), "none at once");
    let again: Vec<f64> = sends(&h.ring_until(600.0)).iter().map(|s| s.0 - 10.0).collect();
    assert!(again.len() >= 3 && again.iter().all(|p| *p >= 50.0), "{again:?}");
    let (least, most) =
        (again.iter().copied().fold(1e9, f64::min), again.iter().copied().fold(0.0, f64::max));
    assert!(most - least > 10.0, "what failed together comes apart: {again:?}");
}

#[test]
fn a_second_copy_goes_elsewhere_once_and_not_before_its_time() {
    let mut h = host(Effect::Safe, Group::All, second_after(60.0), |_| {});
    let first = begin(&mut h);
    assert!(sends(&h.ring_until(60.0)).is_empty());
    let out = h.ring_until(100.0);
    assert_eq!(sends(&out).len(), 1);
    assert_ne!(sends(&out)[0].1, first);
    assert!(sends(&h.ring_until(900.0)).is_empty(), "one second copy, not three");
    // The final answer comes in time, and both attempts are called off.
    let out = h.ring_until(1000.0);
    assert_eq!(final_answers(&out).len(), 1);
    let called_off: Vec<u16> = out
        .iter()
        .filter_map(|a| if let Action::Cancel { attempt, .. } = a.1 { Some(attempt) } else { None })
        .collect();
    assert_eq!(called_off, [0, 1]);
}

#[test]
fn a_copy_that_fails_leaves_the_other_and_the_answer_comes_from_the_last() {
    for (failed, left) in [(0u16, 1u16), (1, 0)] {
        let mut h = host(Effect::Safe, Group::All, second_after(60.0), |s| s.max_attempts = 2);
        let first = begin(&mut h);
        let second = sends(&h.ring_until(100.0))[0].1;
        let node = |a| if a == 0 { first } else { second };
        let out = h.on_to(110.0, Event::AttemptEnded(outcome(1, failed, node(failed), AttemptResult::Reset)));
        assert!(final_answers(&out).is_empty() && sends(&out).is_empty(), "the other may still be served");
        let out = h.on_to(120.0, Event::AttemptEnded(outcome(1, left, node(left), AttemptResult::Reset)));
        assert!(matches!(final_answers(&out)[..], [Action::Refuse { .. }]));
    }
}

#[test]
fn a_served_copy_ends_the_request_and_the_other_ends_nothing() {
    let mut h = host(Effect::Safe, Group::All, second_after(60.0), |_| {});
    let first = begin(&mut h);
    let second = sends(&h.ring_until(100.0))[0].1;
    assert!(h.at(110.0, Event::AttemptEnded(outcome(1, 1, second, AttemptResult::Served))).is_empty());
    assert!(h.at(120.0, Event::AttemptEnded(outcome(1, 0, first, AttemptResult::Served))).is_empty());
    assert!(h.ring_until(1000.0).is_empty());
}

#[test]
fn what_must_not_run_twice_has_no_second_copy() {
    let no_copy = |mut h: Host| {
        begin(&mut h);
        sends(&h.ring_until(950.0)).is_empty()
    };
    assert!(no_copy(host(Effect::Unsafe, Group::All, second_after(60.0), |_| {})));
    assert!(no_copy(host(Effect::Safe, Group::All, second_after(60.0), |s| s.hedging = false)));
    // Past the window nobody knows the first by its key any more.
    let short = |s: &mut Settings| s.classes[0].window_ms = 50.0;
    assert!(no_copy(host(Effect::Keyed, Group::Shard, second_after(60.0), short)));
    assert!(!no_copy(host(Effect::Keyed, Group::Shard, second_after(60.0), |_| {})));
}

#[test]
fn a_second_copy_of_a_keyed_request_stays_where_its_key_is_known() {
    for _ in 0..8 {
        let mut h = host(Effect::Keyed, Group::Zone, second_after(60.0), |_| {});
        let first = begin(&mut h);
        let second = sends(&h.ring_until(300.0)).first().map(|s| s.1);
        match first {
            1 => assert_eq!(second, Some(2)),
            2 => assert_eq!(second, Some(1)),
            _ => assert_eq!(second, None, "nobody else in the zone"),
        }
    }
}

#[test]
fn second_copies_are_paid_from_the_retry_budget() {
    let budget = |s: &mut Settings| s.retry_budget = Some(RetryBudget { free: 1.0, ratio: 0.0, span_ms: 5000.0 });
    let mut h = host(Effect::Safe, Group::All, second_after(20.0), budget);
    let mut first = 0;
    for id in 1..=4 {
        first += sent(&h.at(1.0, Event::Request(request(id, 1000.0)))).len();
    }
    assert!(first > 1);
    assert_eq!(sends(&h.ring_until(600.0)).iter().filter(|s| s.0 > 20.0).count(), 1, "one is free, no more");
}

#[test]
fn a_copy_that_waits_at_a_draining_node_goes_elsewhere_or_not_at_all() {
    let mut h = host(Effect::Safe, Group::All, second_after(60.0), |_| {});
    let first = begin(&mut h);
    let draining: Vec<NodeEntry> = [1, 2, 3]
        .into_iter()
        .filter(|n| *n != first)
        .map(|n| NodeEntry { state: NodeState::Draining, ..entry(n, 0) })
        .collect();
    h.at(30.0, Event::NodeList(ListKind::Changes, draining));
    assert!(sends(&h.ring_until(900.0)).is_empty());
    assert_eq!(final_answers(&h.ring_until(1000.0)).len(), 1);
}
