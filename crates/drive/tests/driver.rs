//! The bookkeeping that a host does for the module.

use pearfork::{
    Class, NodeState, Effect, Group, ListKind, NodeEntry, Plan, Request, Settings, AttemptPolicy, AttemptResult,
};
use pearfork_drive::{AttemptId, Driver, Step, NodeReport};

fn driver(effect: Effect) -> Driver {
    driver_over(settings(effect), &[7])
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
    let plan =
        Plan { nominal: 10.0, reserve: 5.0, weight: 1.0, worth_factor: 1.0, limit: 0.0, burst: 0.0, slack: 0.0 };
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

/// A driver over nodes of shard 0.
fn driver_over(settings: Settings, nodes: &[u32]) -> Driver {
    let mut driver = Driver::new(settings, 1).unwrap();
    let entry = |node| NodeEntry { node, shard: 0, zone: 0, state: NodeState::Ready, started_ms: 0.0 };
    driver.update_node_list(ListKind::Full, nodes.iter().map(|node| entry(*node)).collect());
    driver.process_events(0.0, &mut Vec::new());
    driver
}

/// Takes a request at a time; its first attempt, which goes out at once.
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
    let [Step::Send { attempt, node: 7, deadline_ms, write_deadline_ms }] = steps[..] else { panic!("{steps:?}") };
    assert_eq!(write_deadline_ms, f64::INFINITY, "a first attempt has no last moment of its own");
    assert_eq!(deadline_ms, now + 1000.0);
    attempt
}

#[test]
fn an_answer_serves_once() {
    let mut driver = driver(Effect::Safe);
    let attempt = request(&mut driver, 0.0);
    assert!(driver.attempt_ended(20.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert!(!driver.attempt_ended(21.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert_eq!((driver.open_requests(), driver.attempts_in_flight()), (0, 0));
}

/// Danger: an answer to a request whose client has left would be written to nobody, or to whoever took its place.
#[test]
fn an_answer_after_its_client_left_serves_nobody_and_is_heard_by_the_module() {
    let mut driver = driver(Effect::Safe);
    let attempt = request(&mut driver, 0.0);
    driver.abandon(attempt.request);
    let mut steps = Vec::new();
    driver.process_events(1.0, &mut steps);
    assert!(driver.is_in_flight(attempt));
    assert!(!driver.attempt_ended(20.0, attempt, AttemptResult::Served, NodeReport::default()));
    assert!(!driver.is_in_flight(attempt));
}

/// Rule 1: whatever does not happen, one final answer before the client gives up, and the attempt given up with it.
#[test]
fn silence_ends_in_one_final_answer_before_the_client_gives_up() {
    for effect in [Effect::Safe, Effect::Unsafe] {
        let mut driver = driver(effect);
        let attempt = request(&mut driver, 0.0);
        let (mut answers, mut withdrawn) = (0, 0);
        for now in 0..1_200 {
            let mut steps = Vec::new();
            driver.run_timers(f64::from(now), &mut steps);
            for step in steps {
                match step {
                    Step::Refused { .. } | Step::Failed { .. } => {
                        assert!(now <= 1_000, "{now}");
                        assert_eq!(effect == Effect::Safe, matches!(step, Step::Refused { .. }));
                        answers += 1;
                    }
                    Step::AttemptDropped { attempt: a, node: 7, .. } => {
                        assert_eq!(a, attempt);
                        withdrawn += 1;
                    }
                    _ => {}
                }
            }
        }
        assert_eq!((answers, withdrawn, driver.open_requests(), driver.attempts_in_flight()), (1, 1, 0, 0));
        assert!(!driver.attempt_ended(1_300.0, attempt, AttemptResult::Served, NodeReport::default()));
    }
}

#[test]
fn a_lost_attempt_of_a_safe_request_is_followed_by_another_under_the_next_number() {
    let mut driver = driver(Effect::Safe);
    let first = request(&mut driver, 0.0);
    assert!(!driver.attempt_ended(5.0, first, AttemptResult::Reset, NodeReport::default()));
    let mut steps = Vec::new();
    driver.process_events(5.0, &mut steps);
    let again = steps.iter().find_map(|s| match s {
        Step::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    assert_eq!(again, Some(AttemptId { request: first.request, number: 1 }));
    assert!(driver.attempt_ended(30.0, again.unwrap(), AttemptResult::Served, NodeReport::default()));
}

/// Danger: clients that leave in one burst. A place that the first gives back goes to the next, whose leaving the module has
/// not heard of yet; sent for nobody and ended by nobody, it would hold its place in flight for good.
#[test]
fn what_is_sent_for_a_request_that_is_over_by_then_gives_its_place_back() {
    let mut driver = driver(Effect::Safe);
    let mut steps = Vec::new();
    let mut ask = |driver: &mut Driver, now: f64| {
        let id = driver.allocate_id();
        let valid_until_ms = now + 1000.0;
        let asked = Request {
            id,
            valid_until_ms,
            volume: 9,
            units: 2.0,
            shard: Some(0),
            volume_hosts: 1.0,
            ..Request::default()
        };
        driver.submit(asked);
        driver.process_events(now, &mut steps);
        id
    };
    let ids: Vec<u32> = (0..12).map(|i| ask(&mut driver, f64::from(i) / 10.0)).collect();
    let limit = driver.attempts_in_flight();
    assert!(limit > 0 && limit < driver.open_requests(), "some wait: {limit}");
    for id in ids {
        driver.abandon(id);
        for attempt in driver.attempts_of(id) {
            driver.attempt_ended(2.0, attempt, AttemptResult::NotSent, NodeReport::default());
        }
    }
    driver.process_events(2.0, &mut Vec::new());
    assert_eq!((driver.open_requests(), driver.attempts_in_flight()), (0, 0));
    for i in 0..12 {
        ask(&mut driver, 3.0 + f64::from(i) / 10.0);
    }
    assert_eq!(driver.attempts_in_flight(), limit, "all places are there again");
}

/// Settings under which a second copy is due 50 ms after the first attempt, or a retry 50 ms after the end of it.
fn further_after_50_ms() -> Settings {
    let mut settings = settings(Effect::Safe);
    settings.hedging = true;
    settings.classes[0].attempt_policy = AttemptPolicy { retry_delay_ms: 50.0, hedge_after_ms: 50.0, ..AttemptPolicy::default() };
    settings
}

/// A request whose first attempt is out.
fn first_is_out(driver: &mut Driver) -> AttemptId {
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

/// What is sent between two moments.
fn sent_within(driver: &mut Driver, moments: std::ops::Range<u32>) -> Vec<AttemptId> {
    let mut steps = Vec::new();
    moments.for_each(|now| driver.run_timers(f64::from(now), &mut steps));
    let sent = steps.into_iter().filter_map(|step| match step {
        Step::Send { attempt, .. } => Some(attempt),
        _ => None,
    });
    sent.collect()
}

#[test]
fn a_second_copy_that_is_due_after_its_client_left_is_not_sent() {
    for stays in [true, false] {
        let mut driver = driver_over(further_after_50_ms(), &[7, 8]);
        let attempt = first_is_out(&mut driver);
        assert_eq!(sent_within(&mut driver, 0..50), []);
        if !stays {
            driver.abandon(attempt.request);
        }
        let sent = sent_within(&mut driver, 50..400);
        assert_eq!(sent.len(), usize::from(stays), "{sent:?}");
        assert!(driver.is_in_flight(attempt));
    }
}

#[test]
fn a_retry_whose_pause_ends_after_its_client_left_is_not_sent() {
    for stays in [true, false] {
        let mut driver = driver_over(further_after_50_ms(), &[7, 8]);
        let attempt = first_is_out(&mut driver);
        assert!(!driver.attempt_ended(10.0, attempt, AttemptResult::Error, NodeReport::default()));
        driver.process_events(10.0, &mut Vec::new());
        assert_eq!(sent_within(&mut driver, 10..60), []);
        if !stays {
            driver.abandon(attempt.request);
        }
        let sent = sent_within(&mut driver, 60..200);
        assert_eq!(sent.len(), usize::from(stays), "{sent:?}");
    }
}
