//! The driver's bookkeeping for the scheduler.

use pearfork::{
    AttemptPolicy, AttemptResult, Class, Effect, Group, ListKind, NodeEntry, NodeState, Plan, Request,
    Settings,
};
use pearfork_drive::{AttemptId, Driver, NodeReport, Step};

fn driver(effect: Effect) -> Driver {
    driver_with_nodes(settings(effect), &[7])
}

fn settings(effect: Effect) -> Settings {
    let class = Class {
        aim_ms: 120.0,
        deadline_ms: 1000.0,
        worth: 1.0,
        late_worth: 0.1,
        effect,
        group: Group::All,
        window_ms: 0.0,
        ordered: false,
        attempt_policy: AttemptPolicy::default(),
    };
    let plan = Plan {
        nominal: 10.0,
        reserve: 5.0,
        weight: 1.0,
        worth_factor: 1.0,
        limit: 0.0,
        burst: 0.0,
        slack: 0.0,
    };
    Settings {
        hosts: 3,
        classes: vec![class],
        plans: vec![plan],
        list_on_request: false,
        round_ms: 2.0,
        max_attempts: 2,
        cancel: true,
        hedging: false,
        max_retry_after_ms: 1000.0,
        retry_budget: None,
        drain_grace_ms: 2000.0,
        cold_from: 0.2,
        warm_after_ms: 15_000.0,
        fall_multiple: 2.0,
        fall_ms: 2000.0,
        cold_units: 40.0,
        key_rest_ms: 0.0,
        mean_units: 2.0,
        max_units: 6.0,
        share_worth: 0.4,
        spare_worth: 0.05,
        meter_ms: 1000.0,
    }
}

/// Returns a driver with these nodes, all of shard 0.
fn driver_with_nodes(settings: Settings, nodes: &[u32]) -> Driver {
    let mut driver = Driver::new(settings, 1).unwrap();
    let entry = |node| NodeEntry { node, shard: 0, zone: 0, state: NodeState::Ready, started_ms: 0.0 };
    driver.update_node_list(ListKind::Full, nodes.iter().map(|node| entry(*node)).collect());
    driver.process_events(0.0, &mut Vec::new());
    driver
}

/// Submits a request and returns its first attempt, which must be sent at once.
fn request(driver: &mut Driver, now: f64) -> AttemptId {
    let id = driver.allocate_id();
    driver.submit(Request {
        id,
        valid_until_ms: now + 1000.0,
        volume: 9,
        units: 2.0,
        shard: Some(0),
        volume_hosts: 1.0,
        ..Request::default()
    });
    let mut steps = Vec::new();
    driver.process_events(now, &mut steps);
    let [Step::Send { attempt, node: 7, deadline_ms, write_deadline_ms }] = steps[..] else {
        panic!("{steps:?}")
    };
    assert_eq!(write_deadline_ms, f64::INFINITY, "a first attempt has no write deadline");
    assert_eq!(deadline_ms, now + 1000.0);
    attempt
}

#[test]
fn a_response_serves_a_request_once() {
    let mut driver = driver(Effect::Safe);
    let attempt = request(&mut driver, 0.0);
    assert!(driver.attempt_ended(20.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert!(!driver.attempt_ended(21.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert_eq!((driver.open_requests(), driver.attempts_in_flight()), (0, 0));
}

/// A response for a client that has disconnected must not be delivered: it would reach no client, or another
/// client on the same connection.
#[test]
fn a_response_after_the_client_disconnected_serves_nobody_and_ends_the_attempt() {
    let mut driver = driver(Effect::Safe);
    let attempt = request(&mut driver, 0.0);
    driver.abandon(attempt.request);
    let mut steps = Vec::new();
    driver.process_events(1.0, &mut steps);
    assert_eq!(steps, [Step::WithdrawUnsent { attempt, node: 7 }]);
    assert!(driver.is_in_flight(attempt));
    assert!(!driver.attempt_ended(20.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert!(!driver.is_in_flight(attempt));
}

/// Rule 1: if no node responds, each request gets one final answer before its client gives up, and its
/// attempt is dropped.
#[test]
fn a_request_without_a_response_gets_one_final_answer_before_its_deadline() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let mut driver = driver(effect);
        let attempt = request(&mut driver, 0.0);
        let (mut final_answers, mut dropped) = (0, 0);
        for now in 0..1_200 {
            let mut steps = Vec::new();
            driver.run_timers(f64::from(now), &mut steps);
            for step in steps {
                match step {
                    Step::Refused { .. } | Step::Failed { .. } => {
                        assert!(now <= 1_000, "{now}");
                        assert_eq!(effect == Effect::Safe, matches!(step, Step::Refused { .. }));
                        final_answers += 1;
                    }
                    Step::AttemptDropped { attempt: a, node: 7, .. } => {
                        assert_eq!(a, attempt);
                        dropped += 1;
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(
            (final_answers, dropped, driver.open_requests(), driver.attempts_in_flight()),
            (1, 1, 0, 0)
        );
        assert!(!driver.attempt_ended(1_300.0, attempt, AttemptResult::Served, NodeReport::default()));
    }
}

#[test]
fn a_safe_request_is_retried_under_the_next_attempt_number() {
    let mut driver = driver(Effect::Safe);
    let first = request(&mut driver, 0.0);
    assert!(!driver.attempt_ended(5.0, first, AttemptResult::Reset, NodeReport::default()));
    let mut steps = Vec::new();
    driver.process_events(5.0, &mut steps);
    let retry = steps.iter().find_map(|s| match s {
        Step::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    assert_eq!(retry, Some(AttemptId { request: first.request, number: 1 }));
    assert!(driver.attempt_ended(30.0, retry.unwrap(), AttemptResult::Served, NodeReport::default()));
}

/// Guards against in-flight slots that leak when many clients disconnect at once. A slot that the first
/// releases goes to the next request, which is over too but not for the scheduler yet. Its attempt must end,
/// or it holds the slot for good.
#[test]
fn an_attempt_for_an_ended_request_releases_its_in_flight_slot() {
    let mut driver = driver(Effect::Safe);
    let mut steps = Vec::new();
    let mut submit = |driver: &mut Driver, now: f64| {
        let id = driver.allocate_id();
        let valid_until_ms = now + 1000.0;
        let new = Request {
            id,
            valid_until_ms,
            volume: 9,
            units: 2.0,
            shard: Some(0),
            volume_hosts: 1.0,
            ..Request::default()
        };
        driver.submit(new);
        driver.process_events(now, &mut steps);
        id
    };
    let ids: Vec<u32> = (0..12).map(|i| submit(&mut driver, f64::from(i) / 10.0)).collect();
    let limit = driver.attempts_in_flight();
    assert!(limit > 0 && limit < driver.open_requests(), "some requests are queued: {limit}");
    for id in ids {
        driver.abandon(id);
        for attempt in driver.attempts_of(id) {
            driver.attempt_ended(2.0, attempt, AttemptResult::NotSent, NodeReport::default());
        }
    }
    driver.process_events(2.0, &mut Vec::new());
    assert_eq!((driver.open_requests(), driver.attempts_in_flight()), (0, 0));
    for i in 0..12 {
        submit(&mut driver, 3.0 + f64::from(i) / 10.0);
    }
    assert_eq!(driver.attempts_in_flight(), limit, "all in-flight slots are free again");
}

/// Returns settings under which a hedge is due 50 ms after the first attempt, or a retry 50 ms after its end.
fn hedging_after_50_ms() -> Settings {
    let mut settings = settings(Effect::Safe);
    settings.hedging = true;
    settings.classes[0].attempt_policy =
        AttemptPolicy { retry_delay_ms: 50.0, hedge_after_ms: 50.0, ..AttemptPolicy::default() };
    settings
}

/// Submits a request and returns its first attempt.
fn send_first_attempt(driver: &mut Driver) -> AttemptId {
    let id = driver.allocate_id();
    driver.submit(Request {
        id,
        valid_until_ms: 1000.0,
        volume: 9,
        units: 2.0,
        shard: Some(0),
        volume_hosts: 1.0,
        ..Request::default()
    });
    let mut steps = Vec::new();
    driver.process_events(0.0, &mut steps);
    let [Step::Send { attempt, .. }] = steps[..] else { panic!("{steps:?}") };
    attempt
}

/// Returns the attempts that are sent in a range of milliseconds.
fn attempts_sent_between(driver: &mut Driver, milliseconds: std::ops::Range<u32>) -> Vec<AttemptId> {
    let mut steps = Vec::new();
    milliseconds.for_each(|now| driver.run_timers(f64::from(now), &mut steps));
    let sent = steps.into_iter().filter_map(|step| match step {
        Step::Send { attempt, .. } => Some(attempt),
        _ => None,
    });
    sent.collect()
}

#[test]
fn no_hedge_is_sent_after_the_client_disconnected() {
    for is_connected in [true, false] {
        let mut driver = driver_with_nodes(hedging_after_50_ms(), &[7, 8]);
        let attempt = send_first_attempt(&mut driver);
        assert_eq!(attempts_sent_between(&mut driver, 0..50), []);
        if !is_connected {
            driver.abandon(attempt.request);
        }
        let sent = attempts_sent_between(&mut driver, 50..400);
        assert_eq!(sent.len(), usize::from(is_connected), "{sent:?}");
        assert!(driver.is_in_flight(attempt));
    }
}

/// Guards against a second attempt that waits for a connection and goes out although the first was served.
#[test]
fn the_other_attempts_of_a_served_request_are_withdrawn() {
    for (served, withdrawn) in [(0, 1), (1, 0)] {
        let mut driver = driver_with_nodes(hedging_after_50_ms(), &[7, 8]);
        let first = send_first_attempt(&mut driver);
        let attempts = [first, attempts_sent_between(&mut driver, 0..400)[0]];
        let node = driver.node_of(attempts[withdrawn]).unwrap();
        assert!(driver.attempt_ended(400.0, attempts[served], AttemptResult::Served, NodeReport::default()));
        let mut steps = Vec::new();
        driver.process_events(400.0, &mut steps);
        assert!(steps.contains(&Step::WithdrawUnsent { attempt: attempts[withdrawn], node }), "{steps:?}");
    }
}

#[test]
fn no_retry_is_sent_after_the_client_disconnected() {
    for is_connected in [true, false] {
        let mut driver = driver_with_nodes(hedging_after_50_ms(), &[7, 8]);
        let attempt = send_first_attempt(&mut driver);
        assert!(!driver.attempt_ended(10.0, attempt, AttemptResult::Error, NodeReport::default()));
        driver.process_events(10.0, &mut Vec::new());
        assert_eq!(attempts_sent_between(&mut driver, 10..60), []);
        if !is_connected {
            driver.abandon(attempt.request);
        }
        let sent = attempts_sent_between(&mut driver, 60..200);
        assert_eq!(sent.len(), usize::from(is_connected), "{sent:?}");
    }
}
