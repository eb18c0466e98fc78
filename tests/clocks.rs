//! Cold nodes and hosts whose wall clock is wrong by an hour, or is set while they run.

mod common;
use common::*;
use pearfork::*;

const HOUR_MS: f64 = 3_600_000.0;
/// The time at which the tests start, on the correct clock.
const BASE_MS: f64 = 1.78e12;
const OFFSETS_MS: [f64; 5] = [0.0, HOUR_MS, -HOUR_MS, 24.0 * HOUR_MS, -30_000.0];

/// Returns the units that a host sends in its first 400 ms to a node that restarts after four seconds. The
/// host's clock is ahead by `ahead_ms`, and it gets a node list each second.
fn units_sent_to_a_restarted_node(ahead_ms: f64, known_start_ms: f64) -> f64 {
    let node = NodeEntry { started_ms: known_start_ms, ..entry(7, 0) };
    let mut host = Host::new(settings());
    host.at(BASE_MS, Event::NodeList(ListKind::Cached, vec![node]));
    host.at(BASE_MS + 1.0, Event::NodeList(ListKind::Full, vec![node]));
    for second in 1..4 {
        host.advance_to(
            BASE_MS + f64::from(second) * 1_000.0,
            Event::NodeList(ListKind::Changes, Vec::new()),
        );
    }
    let now = BASE_MS + 4_000.0;
    let restarted = NodeEntry { started_ms: now - 200.0 - ahead_ms, ..node };
    host.advance_to(now, Event::NodeList(ListKind::Changes, vec![restarted]));
    let mut units = 0.0;
    for id in 0..40 {
        let at = now + 1.0 + f64::from(id) * 10.0;
        for (id, _) in sent(&host.at(at, Event::Request(request(id, at + 900.0)))) {
            units += 2.0;
            host.at(at + 1.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        }
    }
    units
}

/// Guards against a slow start that depends on the wall clock: a host an hour ahead would send a cold node
/// its full load.
#[test]
fn slow_start_does_not_depend_on_the_hosts_wall_clock() {
    for known_start_ms in [0.0, BASE_MS - 60_000.0] {
        let expected = units_sent_to_a_restarted_node(0.0, known_start_ms);
        assert!(expected > 0.0 && expected <= 10.0, "{expected} units");
        for ahead_ms in OFFSETS_MS {
            let units = units_sent_to_a_restarted_node(ahead_ms, known_start_ms);
            assert!(
                units > 0.0 && units <= expected,
                "{ahead_ms} ms ahead: {units} units, {expected} with the correct clock"
            );
        }
    }
}

/// Guards against a start in the future: a host an hour behind would treat a node as cold for an hour.
#[test]
fn a_node_with_a_start_in_the_future_becomes_warm() {
    let node = NodeEntry { started_ms: BASE_MS + HOUR_MS, ..entry(7, 0) };
    let mut host = Host::new(settings());
    host.at(BASE_MS, Event::NodeList(ListKind::Full, vec![node]));
    let warm_at = BASE_MS + settings().warm_after_ms + 100.0;
    host.run_timers_until(warm_at);
    let mut sends = 0;
    for id in 0..40 {
        let at = warm_at + f64::from(id) * 10.0;
        for (id, _) in sent(&host.at(at, Event::Request(request(id, at + 900.0)))) {
            sends += 1;
            host.at(at + 1.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        }
    }
    assert_eq!(sends, 40);
}

/// Guards against a missed restart: after the clock is set back, the new start is earlier than the known one.
#[test]
fn a_restart_is_detected_after_the_clock_was_set_back() {
    let known = NodeEntry { started_ms: BASE_MS - 20_000.0, ..entry(7, 0) };
    let mut host = Host::new(settings());
    host.at(BASE_MS, Event::NodeList(ListKind::Full, vec![known]));
    let drains = NodeEntry { state: NodeState::Draining, ..known };
    host.at(BASE_MS + 10.0, Event::NodeList(ListKind::Changes, vec![drains]));
    assert!(sent(&host.at(BASE_MS + 11.0, Event::Request(request(1, BASE_MS + 5_000.0)))).is_empty());
    let restarted = NodeEntry { started_ms: BASE_MS + 1_000.0 - HOUR_MS, ..entry(7, 0) };
    let done = host.at(BASE_MS + 1_200.0, Event::NodeList(ListKind::Changes, vec![restarted]));
    assert_eq!(sent(&done), [(1, 7)]);
}
