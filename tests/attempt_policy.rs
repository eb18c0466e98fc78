//! Attempt policies of a class at their limits: timeouts, numbers of attempts, retry delays and hedges.

mod common;
use common::*;
use pearfork::*;

/// Returns a host with one class of this policy and three nodes of one shard, the last of them in another
/// zone.
fn host(
    effect: Effect,
    group: Group,
    attempt_policy: AttemptPolicy,
    change: impl FnOnce(&mut Settings),
) -> Host {
    let mut s = settings();
    s.classes = vec![Class { attempt_policy, ..class(effect, group) }];
    s.hedging = true;
    change(&mut s);
    Host::with_nodes(s, &[entry(1, 0), entry(2, 0), NodeEntry { zone: 1, ..entry(3, 0) }])
}

fn hedge_after(ms: f64) -> AttemptPolicy {
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

fn send_first_attempt(h: &mut Host) -> u32 {
    let out = h.advance_to(1.0, Event::Request(request(1, 1000.0)));
    assert_eq!(sends(&out).len(), 1, "the first attempt is sent at once");
    sends(&out)[0].1
}

#[test]
fn the_default_policy_retries_at_once_without_timeout_or_hedge() {
    let mut h = host(Effect::Safe, Group::All, AttemptPolicy::default(), |_| {});
    let node = send_first_attempt(&mut h);
    let out = h.advance_to(900.0, Event::AttemptEnded(outcome(1, 0, node, AttemptResult::Reset)));
    let retries = sends(&out);
    assert_eq!((retries.len(), retries[0].2), (1, 0.0), "no hedge, no timeout, and a retry at once");
}

#[test]
fn each_attempt_has_the_timeout_and_the_number_of_attempts_is_bounded() {
    let mut h = host(
        Effect::Safe,
        Group::All,
        AttemptPolicy { attempt_timeout_ms: 80.0, attempts: 2, ..AttemptPolicy::default() },
        |_| {},
    );
    let out = h.advance_to(1.0, Event::Request(request(1, 1000.0)));
    assert_eq!(sends(&out)[0].2, 80.0);
    let out =
        h.advance_to(81.0, Event::AttemptEnded(outcome(1, 0, sends(&out)[0].1, AttemptResult::TimedOut)));
    assert_eq!((sends(&out).len(), sends(&out)[0].2), (1, 80.0));
    let out =
        h.advance_to(161.0, Event::AttemptEnded(outcome(1, 1, sends(&out)[0].1, AttemptResult::TimedOut)));
    assert!(sends(&out).is_empty());
    assert!(matches!(final_answers(&out)[..], [Action::Refuse { .. }]));
    // No more attempts are made than the settings allow.
    let many = AttemptPolicy { attempts: 9, ..AttemptPolicy::default() };
    let mut h = host(Effect::Safe, Group::All, many, |s| s.max_attempts = 1);
    let node = send_first_attempt(&mut h);
    assert!(
        sends(&h.advance_to(5.0, Event::AttemptEnded(outcome(1, 0, node, AttemptResult::Reset)))).is_empty()
    );
}

#[test]
fn retries_are_delayed_with_jitter() {
    let policy = AttemptPolicy { retry_delay_ms: 50.0, retry_jitter_ms: 300.0, ..AttemptPolicy::default() };
    let mut h = host(Effect::Safe, Group::All, policy, |_| {});
    let mut out = Vec::new();
    for id in 1..=6 {
        out.extend(h.advance_to(1.0, Event::Request(request(id, 1000.0))));
    }
    let first: Vec<(u32, u32)> = sent(&out.into_iter().map(|a| a.1).collect::<Vec<_>>());
    assert!(first.len() >= 3, "{first:?}");
    let mut out = Vec::new();
    for (id, node) in &first {
        out.extend(h.advance_to(10.0, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Error))));
    }
    assert!(sends(&out).is_empty(), "no retry at once");
    let retries: Vec<f64> = sends(&h.run_timers_until(600.0)).iter().map(|s| s.0 - 10.0).collect();
    assert!(retries.len() >= 3 && retries.iter().all(|p| *p >= 50.0), "{retries:?}");
    let (least, most) =
        (retries.iter().copied().fold(1e9, f64::min), retries.iter().copied().fold(0.0, f64::max));
    assert!(most - least > 10.0, "requests that failed together are retried at different times: {retries:?}");
}

#[test]
fn one_hedge_goes_to_another_node_when_it_is_due() {
    let mut h = host(Effect::Safe, Group::All, hedge_after(60.0), |_| {});
    let first = send_first_attempt(&mut h);
    assert!(sends(&h.run_timers_until(60.0)).is_empty());
    let out = h.run_timers_until(100.0);
    assert_eq!(sends(&out).len(), 1);
    assert_ne!(sends(&out)[0].1, first);
    assert!(sends(&h.run_timers_until(900.0)).is_empty(), "one hedge, not three");
    // The final answer is in time, and both attempts are cancelled.
    let out = h.run_timers_until(1000.0);
    assert_eq!(final_answers(&out).len(), 1);
    let cancelled: Vec<u16> = out
        .iter()
        .filter_map(|a| if let Action::Cancel { attempt, .. } = a.1 { Some(attempt) } else { None })
        .collect();
    assert_eq!(cancelled, [0, 1]);
}

#[test]
fn the_request_ends_when_both_hedged_attempts_have_failed() {
    for (failed, left) in [(0u16, 1u16), (1, 0)] {
        let mut h = host(Effect::Safe, Group::All, hedge_after(60.0), |s| s.max_attempts = 2);
        let first = send_first_attempt(&mut h);
        let second = sends(&h.run_timers_until(100.0))[0].1;
        let node = |a| if a == 0 { first } else { second };
        let out =
            h.advance_to(110.0, Event::AttemptEnded(outcome(1, failed, node(failed), AttemptResult::Reset)));
        assert!(
            final_answers(&out).is_empty() && sends(&out).is_empty(),
            "the other attempt may still be served"
        );
        let out =
            h.advance_to(120.0, Event::AttemptEnded(outcome(1, left, node(left), AttemptResult::Reset)));
        assert!(matches!(final_answers(&out)[..], [Action::Refuse { .. }]));
    }
}

#[test]
fn the_first_served_attempt_ends_the_request() {
    let mut h = host(Effect::Safe, Group::All, hedge_after(60.0), |_| {});
    let first = send_first_attempt(&mut h);
    let second = sends(&h.run_timers_until(100.0))[0].1;
    assert!(h.at(110.0, Event::AttemptEnded(outcome(1, 1, second, AttemptResult::Served))).is_empty());
    assert!(h.at(120.0, Event::AttemptEnded(outcome(1, 0, first, AttemptResult::Served))).is_empty());
    assert!(h.run_timers_until(1000.0).is_empty());
}

#[test]
fn requests_that_must_not_run_twice_are_not_hedged() {
    let sends_no_hedge = |mut h: Host| {
        send_first_attempt(&mut h);
        sends(&h.run_timers_until(950.0)).is_empty()
    };
    assert!(sends_no_hedge(host(Effect::Unsafe, Group::All, hedge_after(60.0), |_| {})));
    assert!(sends_no_hedge(host(Effect::Safe, Group::All, hedge_after(60.0), |s| s.hedging = false)));
    // After the window no node recognises the repeat by its key.
    let short = |s: &mut Settings| s.classes[0].window_ms = 50.0;
    assert!(sends_no_hedge(host(Effect::Keyed, Group::Shard, hedge_after(60.0), short)));
    assert!(!sends_no_hedge(host(Effect::Keyed, Group::Shard, hedge_after(60.0), |_| {})));
}

#[test]
fn a_hedge_of_a_keyed_request_stays_in_its_group() {
    for _ in 0..8 {
        let mut h = host(Effect::Keyed, Group::Zone, hedge_after(60.0), |_| {});
        let first = send_first_attempt(&mut h);
        let second = sends(&h.run_timers_until(300.0)).first().map(|s| s.1);
        match first {
            1 => assert_eq!(second, Some(2)),
            2 => assert_eq!(second, Some(1)),
            _ => assert_eq!(second, None, "no other node in the zone"),
        }
    }
}

#[test]
fn hedges_use_up_the_retry_budget() {
    let budget =
        |s: &mut Settings| s.retry_budget = Some(RetryBudget { free: 1.0, ratio: 0.0, span_ms: 5000.0 });
    let mut h = host(Effect::Safe, Group::All, hedge_after(20.0), budget);
    let mut first = 0;
    for id in 1..=4 {
        first += sent(&h.at(1.0, Event::Request(request(id, 1000.0)))).len();
    }
    assert!(first > 1);
    assert_eq!(
        sends(&h.run_timers_until(600.0)).iter().filter(|s| s.0 > 20.0).count(),
        1,
        "the budget allows one hedge"
    );
}

#[test]
fn no_hedge_goes_to_a_draining_node() {
    let mut h = host(Effect::Safe, Group::All, hedge_after(60.0), |_| {});
    let first = send_first_attempt(&mut h);
    let draining: Vec<NodeEntry> = [1, 2, 3]
        .into_iter()
        .filter(|n| *n != first)
        .map(|n| NodeEntry { state: NodeState::Draining, ..entry(n, 0) })
        .collect();
    h.at(30.0, Event::NodeList(ListKind::Changes, draining));
    assert!(sends(&h.run_timers_until(900.0)).is_empty());
    assert_eq!(final_answers(&h.run_timers_until(1000.0)).len(), 1);
}
