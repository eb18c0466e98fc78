//! Cold nodes in fleets of hundreds of hosts, in simulated time: what one host can do without harm may do
//! harm when all hosts do it.
//!
//! The nodes and the checks share no code with the scheduler: a node is a queue that is processed at the
//! speed of a node of its age, and what each node gets is counted over every window.

mod common;
use common::fleet::{Change, Fleet, RequestKind, RunResult, Traffic};
use std::collections::BTreeMap;

const LENGTH_MS: f64 = 9_000.0;
/// When some of the nodes are replaced, and when some of the hosts restart.
const REPLACED_MS: f64 = 3_000.0;
const RESTART_MS: f64 = 2_500.0;
/// Units per second that a warm node serves.
const UNITS_PER_SECOND: f64 = 60.0;
/// Units of the small class and of the large one.
const UNITS: [f64; 2] = [1.0, 6.0];
/// One request in this many is large.
const LARGE_REQUEST_INTERVAL: f64 = 6.0;

/// The parameters in which runs differ.
#[derive(Clone, Copy, Debug)]
struct Variant {
    hosts: u32,
    nodes: u32,
    /// Load as a fraction of what the nodes can do.
    load: f64,
    cold_from: f64,
    overload_multiple: f64,
    window_ms: f64,
    warm_after_ms: f64,
    /// One node in this many is replaced, and one host in this many restarts at once.
    replaced_interval: usize,
    restarted_interval: usize,
    seed: u64,
}

impl Variant {
    fn fleet(&self) -> Fleet {
        // Some hosts have several times the mean traffic.
        let weight = |host| if host % 5 == 0 { 3.0 } else { 0.5 };
        let replaced = (0..self.nodes as usize).step_by(self.replaced_interval).collect();
        let restarted = (0..self.hosts).step_by(self.restarted_interval).collect();
        Fleet {
            hosts: self.hosts,
            nodes: self.nodes,
            units_per_second: UNITS_PER_SECOND,
            request_kinds: vec![
                RequestKind { units: UNITS[0], fraction: 1.0 - 1.0 / LARGE_REQUEST_INTERVAL },
                RequestKind { units: UNITS[1], fraction: 1.0 / LARGE_REQUEST_INTERVAL },
            ],
            traffic: Traffic {
                load: self.load,
                burst: (0.0, 0.0, 1.0),
                weights: (0..self.hosts).map(weight).collect(),
                shifts_ms: Vec::new(),
                restricted_shards: BTreeMap::new(),
                load_factors: BTreeMap::new(),
                load_factors_from_ms: 0.0,
            },
            cold_from: self.cold_from,
            overload_multiple: self.overload_multiple,
            window_ms: self.window_ms,
            warm_after_ms: self.warm_after_ms,
            length_ms: LENGTH_MS,
            notified_within_ms: 0.0,
            changes: vec![
                (RESTART_MS, Change::KillHosts(restarted)),
                (REPLACED_MS, Change::ReplaceNodes(replaced)),
            ],
            seed: self.seed,
        }
    }

    /// Returns the fraction of the load of the replaced nodes that they can serve while they are cold.
    fn servable_ratio(&self) -> f64 {
        let cold_ms = (LENGTH_MS - REPLACED_MS).min(self.warm_after_ms);
        let mean = self.cold_from + (1.0 - self.cold_from) * cold_ms / self.warm_after_ms / 2.0;
        (mean / self.load).min(1.0)
    }
}

/// Returns the highest load of a node in any window of `fleet.window_ms`: the units that it was sent, as a
/// fraction of the units that would overload it with its capacity at the beginning of the window.
fn max_window_load(fleet: &Fleet, result: &RunResult) -> f64 {
    let mut max_load = 0.0_f64;
    for (last, sent) in result.sent.iter().enumerate() {
        let to_same =
            |s: &&common::fleet::SentAttempt| s.shard == sent.shard && s.started_ms == sent.started_ms;
        let within = result.sent[..=last].iter().rev().take_while(|s| s.at_ms > sent.at_ms - fleet.window_ms);
        let units: f64 = within.filter(to_same).map(|s| s.units).sum();
        // The capacity at the beginning of the window is the least that the rule can mean.
        let capacity_then =
            fleet.units_per_second * fleet.capacity_ratio(sent.at_ms - fleet.window_ms - sent.started_ms);
        max_load =
            max_load.max(units / (fleet.overload_multiple * capacity_then * fleet.window_ms / 1_000.0));
    }
    max_load
}

/// Checks a run. Half of a cold node's capacity is used; a class that gets much less of that than the others
/// starves.
fn check(variant: Variant) {
    let fleet = variant.fleet();
    let result = fleet.clone().run();
    let max_load = max_window_load(&fleet, &result);
    let (cold, all) = (&result.cold, &result.all);
    assert!(max_load <= 1.0, "a node is overloaded: {max_load}: {variant:?}: {cold:?}");
    assert_eq!((result.unanswered, result.answered_twice), (0, 0), "{variant:?}");
    for (class, (cold, all)) in cold.iter().zip(all).enumerate() {
        let (served_ratio, servable) = (cold.served / cold.requested, variant.servable_ratio());
        assert!(cold.requested > 100.0, "{variant:?}: {cold:?}");
        assert!(
            served_ratio >= 0.33 * servable,
            "class {class} at cold nodes: {served_ratio} of {servable}: {variant:?}: {cold:?}"
        );
        assert!(all.served >= 0.7 * all.requested, "class {class}: {variant:?}: {all:?}");
    }
}

const USUAL: Variant = Variant {
    hosts: 300,
    nodes: 100,
    load: 0.6,
    cold_from: 0.2,
    overload_multiple: 4.0,
    window_ms: 2_000.0,
    warm_after_ms: 10_000.0,
    replaced_interval: 5,
    restarted_interval: 3,
    seed: 1,
};

/// Guards against cold nodes that stay idle while their shard's requests are refused. It happens when a
/// host's share of a cold node is less than one request and each of three hundred hosts, above all those that
/// just restarted, saves up for one while the node is cold.
#[test]
fn a_cold_node_serves_each_class_whatever_the_number_of_hosts() {
    for hosts in [40, 350] {
        check(Variant { hosts, ..USUAL });
    }
}

#[test]
fn a_cold_node_serves_each_class_after_all_hosts_restarted() {
    check(Variant { restarted_interval: 1, ..USUAL });
}

#[test]
fn a_cold_node_serves_each_class_under_other_settings() {
    let [first, second] = [(0.45, 2.0, 1_500.0, 6_000.0), (0.17, 4.0, 3_000.0, 16_000.0)];
    for (seed, (cold_from, overload_multiple, window_ms, warm_after_ms)) in (2..).zip([first, second]) {
        check(Variant { cold_from, overload_multiple, window_ms, warm_after_ms, seed, load: 0.5, ..USUAL });
    }
}
