//! The cost of a host by the number of nodes in its list, in allocated bytes and counts rather than in time.

mod common;
use common::*;
use pearfork::*;
use std::collections::BTreeMap;

const CLASSES: usize = 5;
/// Most bytes, 1 KB, for a node that was never sent to.
const MAX_BYTES_PER_NODE: usize = 1_024;

fn many_classes() -> Settings {
    Settings { classes: vec![class(Effect::Safe, Group::All); CLASSES], ..settings() }
}

fn list_of(count: u32) -> Vec<NodeEntry> {
    (1..=count).map(|node| entry(node, (node % 20) as u16)).collect()
}

/// Returns the bytes that a scheduler holds after it got a list of this many nodes.
fn bytes_held(count: u32) -> usize {
    let entries = list_of(count);
    let mut host = Host::new(many_classes());
    let allocations = allocation_counter::measure(|| {
        host.at(0.0, Event::NodeList(ListKind::Full, entries));
    });
    usize::try_from(allocations.bytes_current).unwrap_or(0)
}

/// Guards against state for each listed node and class: with thousands of nodes a host ran out of memory and
/// was killed.
#[test]
fn an_unused_node_holds_no_state_for_classes() {
    for count in [200, 3_200] {
        let held = bytes_held(count);
        let limit = MAX_BYTES_PER_NODE * count as usize;
        assert!(held <= limit, "{count} nodes hold {held} bytes, {limit} allowed");
    }
}

/// Guards against state that stays once a node was used: hosts that run for long have used every node.
#[test]
fn a_node_that_was_used_long_ago_holds_no_state_for_classes() {
    let count = 200;
    let mut host = Host::new(many_classes());
    let allocations = allocation_counter::measure(|| {
        host.at(0.0, Event::NodeList(ListKind::Full, list_of(count)));
        let mut now = 1_000.0;
        for id in 0..count {
            now += 5.0;
            let shard = Some((id % 20) as u16);
            let new_request = Request { shard, class: (id % 5) as u16, ..request(id, now + 900.0) };
            host.run_timers_until(now);
            let sends = sent(&host.at(now, Event::Request(new_request)));
            for (id, node) in sends {
                host.at(now + 1.0, Event::AttemptEnded(outcome(id, 0, node, AttemptResult::Served)));
            }
        }
        host.run_timers_until(now + 120_000.0);
        host.timers.shrink_to_fit();
    });
    let limit = (MAX_BYTES_PER_NODE * count as usize) as i64;
    assert!(allocations.bytes_current <= limit, "{} bytes, {limit} allowed", allocations.bytes_current);
}

/// Returns the nodes that a host sends to, of `count` nodes (3,200 or fewer) in 20 shards, with the number of
/// requests for each. One of `requests` requests (3,000 or fewer) arrives each 7 ms and is served after 3 ms.
fn nodes_used(count: u32, seed: u64, requests: u32) -> BTreeMap<u32, u32> {
    let mut host = Host { scheduler: Scheduler::new(many_classes(), seed).unwrap(), timers: Vec::new() };
    host.at(0.0, Event::NodeList(ListKind::Full, list_of(count)));
    let mut used = BTreeMap::new();
    for id in 0..requests {
        let now = 1_000.0 + f64::from(id) * 7.0;
        let shard = (id % 7 != 0).then_some((id % 20) as u16);
        host.run_timers_until(now);
        for (id, node) in sent(&host.at(now, Event::Request(Request { shard, ..request(id, now + 900.0) }))) {
            *used.entry(node).or_insert(0) += 1;
            host.at(now + 3.0, Event::AttemptEnded(outcome(id, 0, node, AttemptResult::Served)));
        }
    }
    used
}

/// Guards against connections that grow with the list: with sixteen times the nodes a host made six times the
/// connections.
#[test]
fn a_host_with_thousands_of_nodes_uses_few_of_them() {
    let (few, many) = (nodes_used(200, 3, 3_000).len(), nodes_used(3_200, 3, 3_000).len());
    // The platform allows 2.5 times the connections, and 40 more.
    let limit = few * 5 / 2 + 40;
    assert!(many <= limit, "{many} nodes used of 3,200, {few} of 200, {limit} allowed");
}

/// Guards against subsets that overlap unevenly: over all hosts each node is used, and none by many more
/// hosts than others.
#[test]
fn the_subsets_of_all_hosts_cover_the_nodes_evenly() {
    let mut used: BTreeMap<u32, u32> = BTreeMap::new();
    for seed in 0..80 {
        for (node, count) in nodes_used(3_200, seed, 1_000) {
            *used.entry(node).or_insert(0) += count;
        }
    }
    let sum: u32 = used.values().sum();
    let (mean, most) = (f64::from(sum) / 3_200.0, f64::from(used.values().copied().max().unwrap_or(0)));
    let unused = 3_200 - used.len();
    println!("mean {mean:.1}, most {most}, unused {unused}");
    assert!(most <= 3.0 * mean && unused < 32, "mean {mean:.1}, most {most}, {unused} unused");
}

/// Guards against a subset that is gone as a whole: the next nodes replace it, and no request is refused.
#[test]
fn a_subset_that_drains_as_a_whole_costs_no_request() {
    let mut host = Host { scheduler: Scheduler::new(many_classes(), 5).unwrap(), timers: Vec::new() };
    host.at(0.0, Event::NodeList(ListKind::Full, list_of(3_200)));
    let used: Vec<u32> = nodes_used(3_200, 5, 3_000).into_keys().collect();
    let draining =
        used.iter().map(|n| NodeEntry { state: NodeState::Draining, ..entry(*n, (n % 20) as u16) });
    host.at(500.0, Event::NodeList(ListKind::Changes, draining.collect()));
    for id in 0..200 {
        let now = 1_000.0 + f64::from(id) * 7.0;
        host.run_timers_until(now);
        let shard = Some((id % 20) as u16);
        let sends = sent(&host.at(now, Event::Request(Request { shard, ..request(id, now + 900.0) })));
        assert_eq!(sends.len(), 1, "request {id}");
        assert!(!used.contains(&sends[0].1), "sent to a draining node");
        host.at(now + 3.0, Event::AttemptEnded(outcome(id, 0, sends[0].1, AttemptResult::Served)));
    }
}
