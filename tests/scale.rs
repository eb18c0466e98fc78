//! What goes wrong only when many hosts see little of each node each.

mod common;
use common::*;
use pearfork::*;

fn many(hosts: u32) -> Settings {
    Settings { hosts, ..settings() }
}

/// Serves one request in a second whose answer tells the number waiting, and takes 10 ms for each of those.
fn answered(h: &mut Host, id: u32, now: f64, queue: Option<f64>, took: f64) {
    h.ring_until(now);
    let node = sent(&h.at(now, Event::Request(request(id, now + 900.0))))[0].1;
    h.ring_until(now + took);
    let told = Outcome { queue, ..outcome(id, 0, node, Verdict::Served) };
    h.at(now + took, Event::Outcome(told));
}

#[test]
fn a_reported_backlog_refuses_where_a_hosts_own_envelopes_are_empty() {
    for hosts in [40, 150] {
        let mut h = Host::with_nodes(many(hosts), &[entry(7, 0)]);
        for id in 0..30 {
            let queue = f64::from(id % 4);
            answered(&mut h, id, 1.0 + 1_000.0 * f64::from(id), Some(queue), 10.0 + 10.0 * queue);
        }
        answered(&mut h, 50, 40_000.0, Some(30.0), 310.0);
        assert!(sent(&h.at(40_320.0, Event::Request(request(51, 41_200.0)))).is_empty(), "300 ms of wait");
        // An old report is no reason to stay away: the node is tried again.
        assert_eq!(sent(&h.at(50_000.0, Event::Request(request(52, 50_900.0)))), [(52, 7)]);
    }
}

#[test]
fn nonsense_in_reports_leaves_the_hosts_own_envelopes_to_decide() {
    let mut h = Host::with_nodes(many(100), &[entry(7, 0)]);
    let odd = [f64::NAN, -3.0, f64::INFINITY, 1e30, f64::NEG_INFINITY];
    for id in 0..60 {
        answered(&mut h, id, 1.0 + 1_000.0 * f64::from(id), Some(odd[id as usize % odd.len()]), 20.0);
    }
    assert_eq!(sent(&h.at(90_000.0, Event::Request(request(99, 90_900.0)))), [(99, 7)]);
}
