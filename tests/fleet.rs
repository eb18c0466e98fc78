//! A whole fleet of hosts before modelled nodes, in simulated time: what is harmless in one host and harmful in all.
//!
//! The nodes and the checks here share no code with the module: a node is a queue worked off at the pace of its age,
//! and what each was sent is counted over every span by itself.

mod common;
use common::fleet::{Change, Fleet, Kind, Played, Traffic};
use std::collections::BTreeMap;

const LENGTH_MS: f64 = 9_000.0;
/// When a part of the nodes is replaced, and when a part of the hosts restarts.
const REPLACED_MS: f64 = 3_000.0;
const RESTART_MS: f64 = 2_500.0;
/// Units a second that a warm node does.
const PACE: f64 = 60.0;
/// Units of the small class and of the large one.
const UNITS: [f64; 2] = [1.0, 6.0];
/// One request in so many is large.
const LARGE_IN: f64 = 6.0;

/// What differs between runs.
#[derive(Clone, Copy, Debug)]
struct Variant {
    hosts: u32,
    nodes: u32,
    /// Part of what the nodes do that is asked.
    load: f64,
    cold_from: f64,
    multiple: f64,
    span_ms: f64,
    warm_after_ms: f64,
    /// One in so many nodes is replaced, and one in so many hosts restarts at once.
    replaced_in: usize,
    restarts_in: usize,
    seed: u64,
}

impl Variant {
    fn fleet(&self) -> Fleet {
        // Some hosts see several times the mean.
        let weight = |host| if host % 5 == 0 { 3.0 } else { 0.5 };
        let replaced = (0..self.nodes as usize).step_by(self.replaced_in).collect();
        let restarted = (0..self.hosts).step_by(self.restarts_in).collect();
        Fleet {
            hosts: self.hosts,
            nodes: self.nodes,
            pace: PACE,
            kinds: vec![
                Kind { units: UNITS[0], part: 1.0 - 1.0 / LARGE_IN },
                Kind { units: UNITS[1], part: 1.0 / LARGE_IN },
            ],
            traffic: Traffic {
                load: self.load,
                burst: (0.0, 0.0, 1.0),
                weights: (0..self.hosts).map(weight).collect(),
                shifts_ms: Vec::new(),
                few: BTreeMap::new(),
                hot: BTreeMap::new(),
                hot_from_ms: 0.0,
            },
            cold_from: self.cold_from,
            multiple: self.multiple,
            span_ms: self.span_ms,
            warm_after_ms: self.warm_after_ms,
            length_ms: LENGTH_MS,
            told_within_ms: 0.0,
            changes: vec![(RESTART_MS, Change::Kill(restarted)), (REPLACED_MS, Change::Replace(replaced))],
            seed: self.seed,
        }
    }

    /// Part of what is asked of the nodes that were replaced, while they are cold, that they can do.
    fn can_be_done(&self) -> f64 {
        let cold_ms = (LENGTH_MS - REPLACED_MS).min(self.warm_after_ms);
        let mean = self.cold_from + (1.0 - self.cold_from) * cold_ms / self.warm_after_ms / 2.0;
        (mean / self.load).min(1.0)
    }
}

/// The most that a node was sent over a span, as a part of what makes it fall.
fn worst(of: &Fleet, played: &Played) -> f64 {
    let mut worst = 0.0_f64;
    for (last, sent) in played.sent.iter().enumerate() {
        let to_same = |s: &&common::fleet::Sent| s.shard == sent.shard && s.started_ms == sent.started_ms;
        let within = played.sent[..=last].iter().rev().take_while(|s| s.at_ms > sent.at_ms - of.span_ms);
        let units: f64 = within.filter(to_same).map(|s| s.units).sum();
        // What it could do at the beginning of the span is the least that the rule can mean.
        let then = of.pace * of.warmth(sent.at_ms - of.span_ms - sent.started_ms);
        worst = worst.max(units / (of.multiple * then * of.span_ms / 1_000.0));
    }
    worst
}

/// Half of what a cold node bears is sent to it; a class that gets much less of that than the others starves.
fn holds(of: Variant) {
    let fleet = of.fleet();
    let played = fleet.clone().play();
    let worst = worst(&fleet, &played);
    let (cold, all) = (&played.cold, &played.all);
    assert!(worst <= 1.0, "a node falls: {worst}: {of:?}: {cold:?}");
    assert_eq!((played.unanswered, played.answered_twice), (0, 0), "{of:?}");
    for (class, (cold, all)) in cold.iter().zip(all).enumerate() {
        let (got, can) = (cold.served / cold.asked, of.can_be_done());
        assert!(cold.asked > 100.0, "{of:?}: {cold:?}");
        assert!(got >= 0.33 * can, "class {class} at cold nodes: {got} of {can}: {of:?}: {cold:?}");
        assert!(all.served >= 0.7 * all.asked, "class {class}: {of:?}: {all:?}");
    }
}

const USUAL: Variant = Variant {
    hosts: 300,
    nodes: 100,
    load: 0.6,
    cold_from: 0.2,
    multiple: 4.0,
    span_ms: 2_000.0,
    warm_after_ms: 10_000.0,
    replaced_in: 5,
    restarts_in: 3,
    seed: 1,
};

/// Danger: a part of a cold node that is under one request is saved up for while the node is cold, by each of three
/// hundred hosts, and the more so by those that have just restarted: the node idles and its shard is refused.
#[test]
fn a_cold_node_serves_each_class_whatever_the_number_of_hosts() {
    for hosts in [40, 350] {
        holds(Variant { hosts, ..USUAL });
    }
}

#[test]
fn a_cold_node_serves_each_class_where_all_hosts_forgot_what_they_knew() {
    holds(Variant { restarts_in: 1, ..USUAL });
}

#[test]
fn a_cold_node_serves_each_class_under_other_settings() {
    let [slow, quick] = [(0.45, 2.0, 1_500.0, 6_000.0), (0.17, 4.0, 3_000.0, 16_000.0)];
    for (seed, (cold_from, multiple, span_ms, warm_after_ms)) in (2..).zip([slow, quick]) {
        holds(Variant { cold_from, multiple, span_ms, warm_after_ms, seed, load: 0.5, ..USUAL });
    }
}
