//! The limit of attempts in flight over all nodes.

mod common;
use common::*;
use pearfork::*;

const NODES: u32 = 4;

/// A host with one node in each of four shards, and this limit.
fn host_with_limit(attempts: usize) -> Host {
    let nodes: Vec<NodeEntry> = (0..NODES).map(|n| entry(n + 1, n as u16)).collect();
    let mut h = Host::with_nodes(settings(), &nodes);
    h.at(0.0, Event::AttemptLimit { attempts });
    h
}

fn request_of_shard(id: u32, now: f64, shard: u16) -> Event {
    Event::Request(Request { shard: Some(shard), ..request(id, now + 900.0) })
}

/// Guards against attempts that wait for a connection where the scheduler does not see them: it would count
/// the wait as the node's service, and could neither reorder nor refuse them.
#[test]
fn a_request_beyond_the_limit_waits_in_the_scheduler_and_tells_why() {
    let mut h = host_with_limit(2);
    assert_eq!(sent(&h.at(1.0, request_of_shard(1, 1.0, 0))), [(1, 1)]);
    assert_eq!(sent(&h.at(2.0, request_of_shard(2, 2.0, 1))), [(2, 2)]);
    assert_eq!(sent(&h.at(3.0, request_of_shard(3, 3.0, 2))), []);
    let waiting: Vec<_> = h.scheduler.waiting(3.0).filter(|(id, _)| *id == 3).collect();
    assert_eq!(waiting, [(3, Reason::AttemptLimit)]);
    // The end of any attempt makes room, whatever its node.
    let actions = h.at(11.0, Event::AttemptEnded(outcome(1, 0, 1, AttemptResult::Served)));
    assert_eq!(sent(&actions), [(3, 3)]);
}

#[test]
fn room_goes_to_the_oldest_of_equal_requests_of_all_nodes() {
    let mut h = host_with_limit(1);
    assert_eq!(sent(&h.at(1.0, request_of_shard(1, 1.0, 0))), [(1, 1)]);
    for (id, shard) in [(2, 3), (3, 1), (4, 0)] {
        assert_eq!(sent(&h.at(f64::from(id), request_of_shard(id, f64::from(id), shard))), []);
    }
    let (mut previous, mut order) = (1, Vec::new());
    for now in [10.0, 20.0, 30.0] {
        let node = if previous == 1 { 1 } else { order.last().map_or(1, |(_, node)| *node) };
        let ended = outcome(previous, 0, node, AttemptResult::Served);
        let next = sent(&h.at(now, Event::AttemptEnded(ended)));
        assert_eq!(next.len(), 1, "{next:?}");
        previous = next[0].0;
        order.push(next[0]);
    }
    assert_eq!(order, [(2, 4), (3, 2), (4, 1)]);
}

/// The attempts in flight of a host under test: request, number of the attempt, node.
#[derive(Default)]
struct InFlight {
    attempts: Vec<(u32, u16, u32)>,
    sent_of: std::collections::BTreeMap<u32, u16>,
}

impl InFlight {
    /// Carries out actions, and those that follow from them.
    fn carry_out(&mut self, h: &mut Host, now: f64, mut actions: Vec<Action>) {
        while !actions.is_empty() {
            let mut further = Vec::new();
            for action in actions {
                match action {
                    Action::Send { id, node, .. } => {
                        let number = self.sent_of.entry(id).or_default();
                        self.attempts.push((id, *number, node));
                        *number += 1;
                    }
                    Action::Cancel { id, attempt } => {
                        let at = self.attempts.iter().position(|f| (f.0, f.1) == (id, attempt));
                        let (_, _, node) = self.attempts.remove(at.expect("an attempt in flight"));
                        let ended = outcome(id, attempt, node, AttemptResult::Cancelled);
                        further.extend(h.at(now, Event::AttemptEnded(ended)));
                    }
                    _ => {}
                }
            }
            actions = further;
        }
    }
}

/// Retries and attempts that end in whatever way take and give back room as first attempts do.
#[test]
fn no_more_attempts_than_the_limit_are_in_flight_whatever_happens() {
    const LIMIT: usize = 5;
    let mut random = 17u64;
    let mut draw = |below: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % below
    };
    let mut h = host_with_limit(LIMIT);
    let (mut in_flight, mut served, mut at_limit) = (InFlight::default(), 0, 0);
    for id in 1..2_000u32 {
        let now = f64::from(id) * 4.0;
        for (at, action) in h.run_timers_until(now) {
            in_flight.carry_out(&mut h, at, vec![action]);
        }
        let actions = h.at(now, request_of_shard(id, now, draw(u64::from(NODES)) as u16));
        in_flight.carry_out(&mut h, now, actions);
        if !in_flight.attempts.is_empty() && draw(10) < 9 {
            let ended = draw(in_flight.attempts.len() as u64) as usize;
            let (request, number, node) = in_flight.attempts.swap_remove(ended);
            let result = match draw(10) {
                0 => AttemptResult::Reset,
                1 => AttemptResult::ConnectFailed,
                2 => AttemptResult::TimedOut,
                _ => AttemptResult::Served,
            };
            served += usize::from(result == AttemptResult::Served);
            let actions = h.at(now, Event::AttemptEnded(outcome(request, number, node, result)));
            in_flight.carry_out(&mut h, now, actions);
        }
        assert!(in_flight.attempts.len() <= LIMIT, "{} at {now}", in_flight.attempts.len());
        at_limit += usize::from(in_flight.attempts.len() == LIMIT);
    }
    assert!(at_limit > 100 && served > 500, "{at_limit} times at the limit, {served} served");
}
