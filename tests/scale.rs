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
    let told = AttemptOutcome { queue, elapsed_ms: took, ..outcome(id, 0, node, AttemptResult::Served) };
    h.at(now + took, Event::AttemptEnded(told));
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
        h.ring_until(50_000.0);
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

#[test]
fn a_cold_node_is_used_where_the_even_part_is_under_one_request() {
    for hosts in [40, 150] {
        let mut h = Host::with_nodes(many(hosts), &[entry(7, 0)]);
        // A request of two units each half second is what the shard serves this host.
        let mut now = 1.0;
        for id in 0..80 {
            answered(&mut h, id, now, None, 20.0);
            now += 500.0;
        }
        let fresh = NodeEntry { started_ms: now, ..entry(7, 0) };
        h.at(now, Event::NodeList(ListKind::Changes, vec![fresh]));
        let (start, mut first, mut worst) = (now, f64::INFINITY, 0.0f64);
        let mut sends: Vec<f64> = Vec::new();
        for id in 100..200 {
            now += 90.0;
            for (t, a) in h.on_to(now, Event::Request(request(id, now + 900.0))) {
                for (id, _) in sent(&[a]) {
                    first = first.min(t - start);
                    sends.push(t);
                    h.at(t + 1.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
                }
            }
            worst = worst.max(sends.iter().filter(|t| **t > now - 2_000.0).count() as f64);
        }
        assert!(first < 3_000.0, "the first request went after {first} ms");
        // It served 4 units a second: of the 8 in the span a cold node bears twice a fifth, later more.
        assert!(worst * 2.0 <= 8.0, "{worst} requests in one span");
        assert!(sends.len() <= 16, "{} in nine seconds", sends.len());
    }
}

#[test]
fn a_node_that_answers_nothing_is_no_place_for_new_objects() {
    // Without an answer there is no report: the time waited in vain stands in for it.
    let mut h = Host::with_nodes(many(100), &[entry(7, 0), entry(8, 1)]);
    let mut silent = 0;
    for id in 0..60 {
        let t = 1.0 + f64::from(id) * 400.0;
        let q = Request { shard: None, ..request(id, t + 900.0) };
        for (at, a) in h.on_to(t, Event::Request(q)) {
            match a {
                Action::Send { id, node: 8, .. } => {
                    let told =
                        AttemptOutcome { queue: Some(f64::from(id % 2)), ..outcome(id, 0, 8, AttemptResult::Served) };
                    h.at(at + 10.0 + 10.0 * f64::from(id % 2), Event::AttemptEnded(told));
                }
                Action::Send { .. } => silent += 1,
                Action::Cancel { id, attempt } => {
                    h.at(at + 1.0, Event::AttemptEnded(outcome(id, attempt, 7, AttemptResult::Cancelled)));
                }
                _ => {}
            }
        }
    }
    assert!(silent <= 12, "{silent} of 60 went to the silent node");
}

#[test]
fn a_host_that_stood_still_does_not_hold_its_gap_against_the_nodes() {
    let mut h = Host::with_nodes(many(100), &[entry(7, 0)]);
    for id in 0..30 {
        let queue = f64::from(id % 2);
        answered(&mut h, id, 1.0 + 400.0 * f64::from(id), Some(queue), 10.0 + 10.0 * queue);
    }
    h.ring_until(14_000.0);
    assert_eq!(sent(&h.at(14_000.0, Event::Request(request(50, 14_990.0)))), [(50, 7)]);
    // No turn for 600 ms; then what came meanwhile is found before the answer that lies behind it.
    let done = h.at(14_600.0, Event::Request(request(51, 15_590.0)));
    assert_eq!(sent(&done), [(51, 7)], "a fresh request goes to the node that was never silent");
    // One whose aim ran out during the gap is late: it does not go beside other work.
    assert!(sent(&h.at(14_600.0, Event::Request(request(52, 15_100.0)))).is_empty());
}

#[test]
fn any_number_of_hosts_and_nodes_is_borne() {
    for hosts in [1, 10_000] {
        let nodes: Vec<NodeEntry> = (0..400).map(|n| entry(n, n as u16)).collect();
        let mut h = Host::with_nodes(many(hosts), &nodes);
        // Through more hosts than there are, through none, and through no number at all.
        for (id, volume_hosts) in [(1, 1e9), (2, 0.0), (3, f64::NAN), (4, -5.0)] {
            let q = Request { volume_hosts, shard: None, ..request(id, 900.0) };
            assert_eq!(sent(&h.at(1.0, Event::Request(q))).len(), 1, "request {id}");
        }
    }
    let none = Scheduler::new(many(0), 1).err().map(|e| e.field);
    assert_eq!(none, Some("hosts".to_owned()));
}

/// Requests a second that go to a node that started anew, in its fifth and sixth second, where its answers take so many
/// times as long as those of a node that is long up.
fn to_a_started_node(slowness: f64) -> f64 {
    let mut h = Host::with_nodes(Settings { hosts: 2, ..settings() }, &[entry(7, 0), entry(8, 1)]);
    let (mut now, mut went, mut id) = (1.0, 0.0, 0);
    let mut due: Vec<(f64, u32, u32, f64)> = Vec::new();
    while now < 12_000.0 {
        now += 2.0;
        if now as u64 == 5_001 {
            let fresh = NodeEntry { started_ms: now, ..entry(7, 0) };
            h.at(now, Event::NodeList(ListKind::Changes, vec![fresh]));
        }
        let mut out = h.ring_until(now);
        while let Some(at) = due.iter().position(|d| d.0 <= now) {
            let (_, id, node, took) = due.swap_remove(at);
            let told =
                AttemptOutcome { elapsed_ms: took, queue: Some(0.0), ..outcome(id, 0, node, AttemptResult::Served) };
            out.extend(h.at(now, Event::AttemptEnded(told)).into_iter().map(|a| (now, a)));
        }
        if now as u64 % 20 == 1 {
            id += 1;
            // Twice as much as before once the node is new.
            let shard = if now < 5_000.0 { (id % 2) as u16 } else { u16::from(id % 8 == 0) };
            let q = Request { shard: Some(shard), volume: u64::from(id), ..request(id, now + 900.0) };
            out.extend(h.at(now, Event::Request(q)).into_iter().map(|a| (now, a)));
        }
        for (at, action) in out {
            if let Action::Send { id, node, .. } = action {
                let took = if node == 7 && at > 5_000.0 { 10.0 * slowness } else { 10.0 };
                due.push((at + took, id, node, took));
                went += f64::from(u8::from(node == 7 && at > 9_000.0 && at < 11_000.0)) / 2.0;
            }
        }
    }
    went
}

/// Danger: a node that is warm again after a few requests, held to what a cold one bears for as long as one may stay
/// cold, costs its shard half of its requests.
#[test]
fn a_started_node_that_answers_as_quickly_as_others_is_used_in_full_and_a_slow_one_is_not() {
    let (quick, slow) = (to_a_started_node(1.0), to_a_started_node(4.0));
    assert!(quick > 40.0, "{quick} a second of 44");
    assert!(slow < 25.0, "{slow} a second");
}
