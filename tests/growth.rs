//! What a host costs by the number of nodes that its list names, in allocated bytes and counts rather than in times.

mod common;
use common::*;
use pearfork::*;

const CLASSES: usize = 5;
/// Bytes that a node which was never sent to may cost: 1 KB.
const MOST_BYTES_A_NODE: usize = 1_024;

fn many_classes() -> Settings {
    Settings { classes: vec![class(Effect::Safe, Group::All); CLASSES], ..settings() }
}

fn list_of(count: u32) -> Vec<NodeEntry> {
    (1..=count).map(|node| entry(node, (node % 20) as u16)).collect()
}

/// Bytes that a scheduler still holds once it was given this many nodes.
fn bytes_held(count: u32) -> usize {
    let entries = list_of(count);
    let mut host = Host::new(many_classes());
    let told = allocation_counter::measure(|| {
        host.at(0.0, Event::List(ListKind::Full, entries));
    });
    usize::try_from(told.bytes_current).unwrap_or(0)
}

/// Guards against state for each listed node and class: a host before thousands of nodes was killed for its memory.
#[test]
fn a_listed_node_that_is_never_sent_to_holds_no_state_for_its_classes() {
    for count in [200, 3_200] {
        let held = bytes_held(count);
        let most = MOST_BYTES_A_NODE * count as usize;
        assert!(held <= most, "{count} nodes hold {held} bytes, {most} at most");
    }
}

/// Guards against state that stays once a node was used: hosts that run for long have used every node.
#[test]
fn a_node_that_was_used_long_ago_holds_no_state_for_its_classes() {
    let count = 200;
    let mut host = Host::new(many_classes());
    let told = allocation_counter::measure(|| {
        host.at(0.0, Event::List(ListKind::Full, list_of(count)));
        let mut now = 1_000.0;
        for id in 0..count {
            now += 5.0;
            let shard = Some((id % 20) as u16);
            let asked = Request { shard, class: (id % 5) as u16, ..request(id, now + 900.0) };
            host.ring_until(now);
            let sends = sent(&host.at(now, Event::Request(asked)));
            for (id, node) in sends {
                host.at(now + 1.0, Event::Outcome(outcome(id, 0, node, Verdict::Served)));
            }
        }
        host.ring_until(now + 120_000.0);
        host.timers.shrink_to_fit();
    });
    let most = (MOST_BYTES_A_NODE * count as usize) as i64;
    assert!(told.bytes_current <= most, "{} bytes, {most} at most", told.bytes_current);
}
