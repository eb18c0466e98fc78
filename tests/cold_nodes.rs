//! Cold nodes in fleets of 20 to 300 hosts, in simulated time. What all processes together send to one cold
//! node in any window stays within the settings, plus two standard deviations, while each class is still
//! served there.
//!
//! The check shares no code with the scheduler: it counts the log of what reached each node.

mod common;
use common::fleet::{Change, Fleet, RequestCount, RequestKind, RunResult, SentAttempt, Traffic};
use std::collections::BTreeMap;

/// Random fleets for each size and for each delay of notifications.
const RUNS: u64 = 20;
const RUNS_OF_HUNDREDS: u64 = 4;
const NODES: u32 = 10;
const LENGTH_MS: f64 = 10_000.0;
/// Hosts are notified of a start at once, or each at a random time within this.
const NOTIFIED_WITHIN_MS: [f64; 2] = [0.0, 1_200.0];
const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind { units: 1.0, fraction: 0.7 },
    RequestKind { units: 3.0, fraction: 0.25 },
    RequestKind { units: 6.0, fraction: 0.05 },
];
/// Least fraction of what cold nodes can do that each class is served in any run. The classes get a little
/// more, 0.55, 0.35 and 0.06 at the least: in the slow runs a host's share of a node is less than one large
/// request, which so takes longer than its aim.
const MIN_SERVED_RATIOS: [f64; 3] = [0.5, 0.3, 0.05];
/// If notified hosts sent more than this fraction of an overload, they broke the rule.
const NOTIFIED_RATIO: f64 = 2.0 / 3.0;

/// A test's own random numbers, from a seed (xorshift64*).
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + self.unit() * (high - low)
    }

    fn one_of<T: Copy>(&mut self, from: &[T]) -> T {
        from[(self.unit() * from.len() as f64) as usize]
    }

    /// Draws each host with this probability.
    fn random_hosts(&mut self, hosts: u32, probability: f64) -> Vec<u32> {
        (0..hosts).filter(|_| self.unit() < probability).collect()
    }
}

/// Returns a random fleet: the traffic is uneven and shifts, and one shard is used by one host and another by
/// three. Nodes start cold together, others one after another, and one of them restarts twice. Meanwhile
/// hosts join, leave, restart and are killed.
fn random_fleet(hosts: u32, notified_within_ms: f64, seed: u64) -> Fleet {
    let mut random = Random::new(seed);
    let weight = |random: &mut Random| match random.unit() {
        d if d < 0.2 => 4.0,
        d if d < 0.5 => 0.05,
        _ => 1.0,
    };
    let weights = (0..hosts).map(|_| weight(&mut random)).collect();
    let restricted_shards = BTreeMap::from([(0, vec![hosts / 2]), (1, vec![1, hosts / 3, hosts - 1])]);
    let first_ms = 3_000.0;
    let replaced = |shards: &[usize]| Change::ReplaceNodes(shards.to_vec());
    let mut changes = vec![
        (first_ms, replaced(&[0, 1, 2, 3])),
        (first_ms + 600.0, replaced(&[4])),
        (first_ms + 1_200.0, replaced(&[5])),
        (first_ms + 1_700.0, Change::RestartNodes(vec![2])),
        (first_ms + 4_100.0, Change::RestartNodes(vec![2])),
        (first_ms - 700.0, Change::AddHosts(random.random_hosts(hosts, 0.05))),
        (first_ms + 400.0, Change::AddHosts(random.random_hosts(hosts, 0.05))),
        (first_ms + 800.0, Change::RemoveHosts(random.random_hosts(hosts, 0.05))),
        (first_ms + 2_500.0, Change::KillHosts(random.random_hosts(hosts, 0.7))),
    ];
    for tenth in 0..10 {
        let restarted = (0..hosts).filter(|h| h % 10 == tenth).collect();
        changes.push((first_ms - 500.0 + 250.0 * f64::from(tenth), Change::RestartHosts(restarted)));
    }
    Fleet {
        hosts,
        nodes: NODES,
        units_per_second: random.one_of(&[60.0, 120.0, 240.0]),
        request_kinds: REQUEST_KINDS.to_vec(),
        traffic: Traffic {
            load: random.between(0.5, 0.95),
            burst: (first_ms, first_ms + 2_500.0, 1.5),
            weights,
            shifts_ms: vec![first_ms, first_ms + 900.0, first_ms + 2_200.0, first_ms + 4_000.0],
            restricted_shards,
            load_factors: BTreeMap::new(),
            load_factors_from_ms: first_ms,
        },
        cold_from: random.between(0.17, 0.48),
        overload_multiple: random.one_of(&[2.0, 3.0, 4.0]),
        window_ms: random.one_of(&[1_500.0, 2_000.0]),
        warm_after_ms: random.between(5_000.0, 18_000.0),
        length_ms: LENGTH_MS,
        notified_within_ms,
        changes,
        seed,
    }
}

/// Returns the requests of mean size that a node may get in a window which begins at this age, random
/// deviation included.
fn bound(fleet: &Fleet, age_ms: f64) -> f64 {
    let settings = fleet.settings();
    let warmth = settings.cold_from + (1.0 - settings.cold_from) * (age_ms / settings.warm_after_ms).min(1.0);
    let allowed = settings.cold_units * warmth / settings.cold_from / settings.mean_units;
    allowed + 2.0 * allowed.sqrt() + 2.0
}

/// The worst windows of a run, as fractions of the bound.
#[derive(Default, Debug)]
struct WorstWindows {
    /// By what all processes sent, and by what the notified ones sent.
    all: f64,
    notified: f64,
    /// Windows over the bound of which more than two thirds came from notified processes.
    violations: usize,
}

/// Checks each window that begins with an attempt at a cold node; no other window holds more.
fn worst_windows(fleet: &Fleet, sent: &[SentAttempt]) -> WorstWindows {
    let mut by_node: BTreeMap<(usize, u64), Vec<&SentAttempt>> = BTreeMap::new();
    for s in sent {
        by_node.entry((s.shard, s.started_ms as u64)).or_default().push(s);
    }
    let mut worst_windows = WorstWindows::default();
    for log in by_node.values() {
        for (first, from) in log.iter().enumerate() {
            let age_ms = from.at_ms - from.started_ms;
            if age_ms >= fleet.warm_after_ms {
                break;
            }
            let within = log[first..].iter().take_while(|s| s.at_ms <= from.at_ms + fleet.window_ms);
            let (all, notified) = within.fold((0.0, 0.0), |(all, notified), s| {
                (all + s.units, notified + if s.knew_start { s.units } else { 0.0 })
            });
            let bound = bound(fleet, age_ms) * fleet.mean_units();
            worst_windows.all = worst_windows.all.max(all / bound);
            worst_windows.notified = worst_windows.notified.max(notified / bound);
            worst_windows.violations += usize::from(all > bound && notified > NOTIFIED_RATIO * all);
        }
    }
    worst_windows
}

/// The result of a fleet size over all runs.
#[derive(Default)]
struct Summary {
    worst_windows: WorstWindows,
    /// By class: the least fraction that was served at cold nodes in one run of what they can do, and the
    /// counts of all runs.
    least_served: Vec<f64>,
    cold: Vec<RequestCount>,
}

/// Returns the fraction of the load of cold nodes that they can serve at the least.
fn servable_ratio(fleet: &Fleet) -> f64 {
    (fleet.cold_from / fleet.traffic.load).min(1.0)
}

/// Doubles the load of two cold shards: refused clients come back.
fn with_doubled_load(mut fleet: Fleet) -> Fleet {
    fleet.traffic.load_factors = BTreeMap::from([(3, 2.0), (4, 2.0)]);
    fleet
}

/// Multiplies the load of two cold shards by three and by five.
fn with_overloaded_shards(mut fleet: Fleet) -> Fleet {
    fleet.traffic.load_factors = BTreeMap::from([(3, 3.0), (4, 5.0)]);
    fleet
}

fn run_fleets(hosts: u32, runs: u64) {
    run_varied_fleets(hosts, runs, |fleet| fleet, true);
}

fn run_varied_fleets(hosts: u32, runs: u64, vary: fn(Fleet) -> Fleet, is_even: bool) {
    for notified_within_ms in NOTIFIED_WITHIN_MS {
        let mut summary =
            Summary { least_served: vec![f64::INFINITY; REQUEST_KINDS.len()], ..Summary::default() };
        summary.cold = vec![RequestCount::default(); REQUEST_KINDS.len()];
        for seed in 1..=runs {
            let fleet = vary(random_fleet(hosts, notified_within_ms, seed));
            let result = fleet.clone().run();
            check(&fleet, &result, &mut summary);
        }
        let served: Vec<String> =
            summary.cold.iter().map(|c| format!("{:.2}", c.served / c.requested)).collect();
        println!(
            "{hosts} hosts, notified within {notified_within_ms} ms, {runs} runs: worst window {:.2} of the \
             bound, by notified hosts {:.2}, violations {}; served at cold nodes by class {served:?}, least \
             fraction of what they can do {:.2?}",
            summary.worst_windows.all,
            summary.worst_windows.notified,
            summary.worst_windows.violations,
            summary.least_served
        );
        let min_ratios = if is_even { MIN_SERVED_RATIOS } else { [0.0; 3] };
        assert!(
            summary.least_served.iter().zip(min_ratios).all(|(got, min_ratio)| *got >= min_ratio),
            "a class starves: {:?}",
            summary.least_served
        );
        assert!(summary.cold.iter().all(|c| c.served > 0.0), "a class is not served: {:?}", summary.cold);
    }
}

fn check(fleet: &Fleet, result: &RunResult, summary: &mut Summary) {
    let worst_windows = worst_windows(fleet, &result.sent);
    let notified_at_once = fleet.notified_within_ms == 0.0;
    assert!(
        !notified_at_once || worst_windows.all <= 1.0,
        "a cold node is overloaded: {worst_windows:?}: {fleet:?}"
    );
    assert!(
        worst_windows.notified <= 1.0 && worst_windows.violations == 0,
        "a cold node is overloaded by notified hosts: {worst_windows:?}: {fleet:?}"
    );
    assert_eq!((result.unanswered, result.answered_twice), (0, 0), "{fleet:?}");
    summary.worst_windows.all = summary.worst_windows.all.max(worst_windows.all);
    summary.worst_windows.notified = summary.worst_windows.notified.max(worst_windows.notified);
    summary.worst_windows.violations += worst_windows.violations;
    for (class, cold) in result.cold.iter().enumerate() {
        let got = cold.served / cold.requested / servable_ratio(fleet);
        summary.least_served[class] = summary.least_served[class].min(got);
        summary.cold[class].requested += cold.requested;
        summary.cold[class].served += cold.served;
    }
}

#[test]
fn twenty_hosts() {
    run_fleets(20, RUNS);
}

#[test]
fn thirty_hosts() {
    run_fleets(30, RUNS);
}

#[test]
fn sixty_hosts() {
    run_fleets(60, RUNS);
}

#[test]
fn three_hundred_hosts() {
    run_fleets(300, RUNS_OF_HUNDREDS);
}

#[test]
fn busy_shards() {
    run_fleet_sizes(with_doubled_load);
}

/// The random draw admits a fraction of all requests, so on a hot shard the admitted requests of all hosts
/// together can be more than the cold node can take.
#[test]
fn hot_shards() {
    run_fleet_sizes(with_overloaded_shards);
}

fn run_fleet_sizes(vary: fn(Fleet) -> Fleet) {
    for (hosts, runs) in [(20, RUNS / 2), (60, RUNS), (300, RUNS_OF_HUNDREDS / 2)] {
        run_varied_fleets(hosts, runs, vary, false);
    }
}
