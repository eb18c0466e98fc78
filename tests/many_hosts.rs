//! Faults that show only when each of many hosts sees little of each node.

mod common;
use common::*;
use pearfork::*;

fn settings_for_hosts(hosts: u32) -> Settings {
    Settings { hosts, ..settings() }
}

/// Serves one request whose response reports `queue` waiting requests and takes `took` milliseconds, which
/// tests set to 10 ms for each waiting request.
fn serve_one(h: &mut Host, id: u32, now: f64, queue: Option<f64>, took: f64) {
    h.run_timers_until(now);
    let node = sent(&h.at(now, Event::Request(request(id, now + 900.0))))[0].1;
    h.run_timers_until(now + took);
    let ended = AttemptOutcome { queue, elapsed_ms: took, ..outcome(id, 0, node, AttemptResult::Served) };
    h.at(now + took, Event::AttemptEnded(ended));
}

#[test]
fn a_reported_backlog_refuses_although_the_hosts_own_envelopes_are_empty() {
    for hosts in [40, 150] {
        let mut h = Host::with_nodes(settings_for_hosts(hosts), &[entry(7, 0)]);
        for id in 0..30 {
            let queue = f64::from(id % 4);
            serve_one(&mut h, id, 1.0 + 1_000.0 * f64::from(id), Some(queue), 10.0 + 10.0 * queue);
        }
        serve_one(&mut h, 50, 40_000.0, Some(30.0), 310.0);
        assert!(sent(&h.at(40_320.0, Event::Request(request(51, 41_200.0)))).is_empty(), "a wait of 300 ms");
        // An old report is no reason to avoid the node: it is tried again.
        h.run_timers_until(50_000.0);
        assert_eq!(sent(&h.at(50_000.0, Event::Request(request(52, 50_900.0)))), [(52, 7)]);
    }
}

#[test]
fn invalid_reports_leave_the_decision_to_the_hosts_own_envelopes() {
    let mut h = Host::with_nodes(settings_for_hosts(100), &[entry(7, 0)]);
    let invalid = [f64::NAN, -3.0, f64::INFINITY, 1e30, f64::NEG_INFINITY];
    for id in 0..60 {
        serve_one(
            &mut h,
            id,
            1.0 + 1_000.0 * f64::from(id),
            Some(invalid[id as usize % invalid.len()]),
            20.0,
        );
    }
    assert_eq!(sent(&h.at(90_000.0, Event::Request(request(99, 90_900.0)))), [(99, 7)]);
}

#[test]
fn a_cold_node_is_used_although_the_even_share_is_less_than_one_request() {
    for hosts in [40, 150] {
        let mut h = Host::with_nodes(settings_for_hosts(hosts), &[entry(7, 0)]);
        // The shard serves this host one request of two units each half second.
        let mut now = 1.0;
        for id in 0..80 {
            serve_one(&mut h, id, now, None, 20.0);
            now += 500.0;
        }
        let restarted = NodeEntry { started_ms: now, ..entry(7, 0) };
        h.at(now, Event::NodeList(ListKind::Changes, vec![restarted]));
        let (start, mut first, mut worst) = (now, f64::INFINITY, 0.0f64);
        let mut sends: Vec<f64> = Vec::new();
        for id in 100..200 {
            now += 90.0;
            for (t, a) in h.advance_to(now, Event::Request(request(id, now + 900.0))) {
                for (id, _) in sent(&[a]) {
                    first = first.min(t - start);
                    sends.push(t);
                    h.at(t + 1.0, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
                }
            }
            worst = worst.max(sends.iter().filter(|t| **t > now - 2_000.0).count() as f64);
        }
        assert!(first < 3_000.0, "the first request was sent after {first} ms");
        // It served 4 units per second, which is 8 in a window. Of these a cold node can take twice a fifth,
        // and more later.
        assert!(worst * 2.0 <= 8.0, "{worst} requests in one window");
        assert!(sends.len() <= 16, "{} in nine seconds", sends.len());
    }
}

#[test]
fn a_node_that_does_not_respond_gets_few_new_objects() {
    // A node that does not respond reports nothing: the time that an attempt waited in vain counts instead.
    let mut h = Host::with_nodes(settings_for_hosts(100), &[entry(7, 0), entry(8, 1)]);
    let mut unanswered = 0;
    for id in 0..60 {
        let t = 1.0 + f64::from(id) * 400.0;
        let q = Request { shard: None, ..request(id, t + 900.0) };
        for (at, a) in h.advance_to(t, Event::Request(q)) {
            match a {
                Action::Send { id, node: 8, .. } => {
                    let ended = AttemptOutcome {
                        queue: Some(f64::from(id % 2)),
                        ..outcome(id, 0, 8, AttemptResult::Served)
                    };
                    h.at(at + 10.0 + 10.0 * f64::from(id % 2), Event::AttemptEnded(ended));
                }
                Action::Send { .. } => unanswered += 1,
                Action::Cancel { id, attempt } => {
                    h.at(at + 1.0, Event::AttemptEnded(outcome(id, attempt, 7, AttemptResult::Cancelled)));
                }
                _ => {}
            }
        }
    }
    assert!(unanswered <= 12, "{unanswered} of 60 were sent to the node that does not respond");
}

#[test]
fn a_stall_of_the_host_does_not_count_as_silence_of_the_nodes() {
    let mut h = Host::with_nodes(settings_for_hosts(100), &[entry(7, 0)]);
    for id in 0..30 {
        let queue = f64::from(id % 2);
        serve_one(&mut h, id, 1.0 + 400.0 * f64::from(id), Some(queue), 10.0 + 10.0 * queue);
    }
    h.run_timers_until(14_000.0);
    assert_eq!(sent(&h.at(14_000.0, Event::Request(request(50, 14_990.0)))), [(50, 7)]);
    // The host is stalled for 600 ms and then sees a new request before the response that arrived earlier.
    let done = h.at(14_600.0, Event::Request(request(51, 15_590.0)));
    assert_eq!(sent(&done), [(51, 7)], "a new request goes to the node, which was never silent");
    // A request whose aim ended during the gap is late, and is not sent beside other work.
    assert!(sent(&h.at(14_600.0, Event::Request(request(52, 15_100.0)))).is_empty());
}

#[test]
fn any_number_of_hosts_and_nodes_works() {
    for hosts in [1, 10_000] {
        let nodes: Vec<NodeEntry> = (0..400).map(|n| entry(n, n as u16)).collect();
        let mut h = Host::with_nodes(settings_for_hosts(hosts), &nodes);
        // More hosts than there are, none, and values that are no valid number.
        for (id, volume_hosts) in [(1, 1e9), (2, 0.0), (3, f64::NAN), (4, -5.0)] {
            let q = Request { volume_hosts, shard: None, ..request(id, 900.0) };
            assert_eq!(sent(&h.at(1.0, Event::Request(q))).len(), 1, "request {id}");
        }
    }
    let none = Scheduler::new(settings_for_hosts(0), 1).err().map(|e| e.field);
    assert_eq!(none, Some("hosts".to_owned()));
}

/// Returns the requests per second, from the ninth to the eleventh second, that go to a node which restarted
/// at second five and whose responses take `slowness` times as long as those of a warm node.
fn requests_per_second_to_a_restarted_node(slowness: f64) -> f64 {
    let mut h = Host::with_nodes(Settings { hosts: 2, ..settings() }, &[entry(7, 0), entry(8, 1)]);
    let (mut now, mut sent_to_node, mut id) = (1.0, 0.0, 0);
    let mut due: Vec<(f64, u32, u32, f64)> = Vec::new();
    while now < 12_000.0 {
        now += 2.0;
        if now as u64 == 5_001 {
            let restarted = NodeEntry { started_ms: now, ..entry(7, 0) };
            h.at(now, Event::NodeList(ListKind::Changes, vec![restarted]));
        }
        let mut out = h.run_timers_until(now);
        while let Some(at) = due.iter().position(|d| d.0 <= now) {
            let (_, id, node, took) = due.swap_remove(at);
            let ended = AttemptOutcome {
                elapsed_ms: took,
                queue: Some(0.0),
                ..outcome(id, 0, node, AttemptResult::Served)
            };
            out.extend(h.at(now, Event::AttemptEnded(ended)).into_iter().map(|a| (now, a)));
        }
        if now as u64 % 20 == 1 {
            id += 1;
            // Twice as many as before the restart.
            let shard = if now < 5_000.0 { (id % 2) as u16 } else { u16::from(id % 8 == 0) };
            let q = Request { shard: Some(shard), volume: u64::from(id), ..request(id, now + 900.0) };
            out.extend(h.at(now, Event::Request(q)).into_iter().map(|a| (now, a)));
        }
        for (at, action) in out {
            if let Action::Send { id, node, .. } = action {
                let took = if node == 7 && at > 5_000.0 { 10.0 * slowness } else { 10.0 };
                due.push((at + took, id, node, took));
                sent_to_node += f64::from(u8::from(node == 7 && at > 9_000.0 && at < 11_000.0)) / 2.0;
            }
        }
    }
    sent_to_node
}

/// Guards against a slow start that lasts too long: a node that is warm after a few requests, but limited for
/// as long as a node may stay cold, costs its shard half of its requests.
#[test]
fn a_restarted_node_is_used_fully_only_if_it_responds_as_quickly_as_others() {
    let (quick, slow) =
        (requests_per_second_to_a_restarted_node(1.0), requests_per_second_to_a_restarted_node(4.0));
    assert!(quick > 40.0, "{quick} per second of 44");
    assert!(slow < 25.0, "{slow} per second");
}
