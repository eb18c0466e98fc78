//! Simulated fleets: no fraction is ever granted twice, and budgets reach the hosts with demand.

mod sim;

use pearfork_ledger::{Budget, BudgetKind, Fraction};
use sim::{archive_budget, Rng, SimFleet, UNRELIABLE};

/// A share from which on a host counts as having the whole budget. The reserve and suppressed small changes
/// stay unused.
const NEARLY_ALL: f64 = 0.92;

fn start_fleet(seed: u64, hosts: usize, voters: usize) -> (SimFleet, Vec<u64>) {
    let mut fleet = SimFleet::new(seed, hosts, voters);
    let processes = (0..hosts).map(|h| fleet.start_host(h)).collect();
    (fleet, processes)
}

/// Runs the fleet until a condition holds and returns the simulated time that this took. Panics after
/// `timeout_ms`.
fn run_until(
    fleet: &mut SimFleet,
    timeout_ms: f64,
    what: &str,
    condition: impl Fn(&SimFleet) -> bool,
) -> f64 {
    let began = fleet.now;
    while !condition(fleet) {
        assert!(fleet.now - began < timeout_ms, "{what}: not within {timeout_ms} ms");
        fleet.run(5.0);
    }
    fleet.now - began
}

#[test]
fn a_budget_follows_its_load_from_host_to_host() {
    for (hosts, voters) in [(3, 3), (8, 3), (40, 5)] {
        let (mut fleet, processes) = start_fleet(7, hosts, voters);
        fleet.run(3_000.0);
        for turn in 0..5 {
            let (from, to) = (processes[turn % hosts], processes[(turn + 1) % hosts]);
            fleet.set_demand(from, &archive_budget(), 0.0);
            fleet.set_demand(to, &archive_budget(), 1.5);
            let took = run_until(&mut fleet, 2_000.0, "the budget reaches the new host", |f| {
                f.usable(to, &archive_budget()).as_f64() > NEARLY_ALL
            });
            assert!(took < 2_000.0);
        }
    }
}

#[test]
fn all_hosts_with_demand_get_a_share_and_shares_of_failed_hosts_are_reallocated() {
    let (mut fleet, processes) = start_fleet(11, 40, 5);
    processes.iter().for_each(|p| fleet.set_demand(*p, &archive_budget(), 0.5));
    fleet.run(4_000.0);
    let shares: Vec<f64> = processes.iter().map(|p| fleet.usable(*p, &archive_budget()).as_f64()).collect();
    assert!(shares.iter().all(|s| *s > 0.01), "{shares:?}");
    // Half of the hosts fail at once, two voters among them.
    for host in (0..40).step_by(2) {
        fleet.kill_host(processes[host]);
        if host < fleet.voters() - 1 {
            fleet.kill_voter(host);
        }
    }
    let took = run_until(&mut fleet, 6_000.0, "shares of the failed hosts are reallocated", |f| {
        f.total_usable(&archive_budget()).as_f64() > NEARLY_ALL
    });
    // The lease with its drift margin, an election and two requests.
    assert!(took < 5_000.0, "{took}");
}

#[test]
fn without_a_majority_nothing_is_granted_and_leases_expire() {
    let (mut fleet, processes) = start_fleet(5, 8, 3);
    fleet.set_demand(processes[3], &archive_budget(), 1.0);
    fleet.run(3_000.0);
    assert!(fleet.usable(processes[3], &archive_budget()).as_f64() > NEARLY_ALL);
    fleet.kill_voter(0);
    fleet.kill_voter(1);
    fleet.run(fleet.timing.lease_ms + 1.0);
    assert_eq!(fleet.total_usable(&archive_budget()), Fraction::ZERO);
    fleet.run(60_000.0);
    assert_eq!(fleet.total_usable(&archive_budget()), Fraction::ZERO);
    fleet.start_voter(1);
    run_until(&mut fleet, 6_000.0, "the budget is granted again with a majority", |f| {
        f.usable(processes[3], &archive_budget()).as_f64() > NEARLY_ALL
    });
}

#[test]
fn a_restarted_host_joins_again_and_its_old_share_is_not_granted_twice() {
    let (mut fleet, processes) = start_fleet(13, 8, 3);
    fleet.set_demand(processes[6], &archive_budget(), 1.0);
    fleet.run(3_000.0);
    fleet.kill_host(processes[6]);
    let restarted = fleet.start_host(6);
    fleet.set_demand(restarted, &archive_budget(), 1.0);
    fleet.run(1_000.0);
    assert!(
        fleet.usable(restarted, &archive_budget()).as_f64() < 0.05,
        "the lease of the killed process has not expired yet"
    );
    run_until(&mut fleet, 4_000.0, "the restarted process gets the budget", |f| {
        f.usable(restarted, &archive_budget()).as_f64() > NEARLY_ALL
    });
}

/// A host is paused while a lease is in flight to it, and reads the lease only after it has expired and the
/// leader has granted the budget to another host.
#[test]
fn a_lease_that_is_read_after_its_expiry_allows_no_use() {
    let (mut fleet, processes) = start_fleet(37, 8, 3);
    let (paused, other) = (processes[5], processes[6]);
    fleet.set_demand(paused, &archive_budget(), 1.0);
    fleet.run(3_000.0);
    assert!(fleet.usable(paused, &archive_budget()).as_f64() > NEARLY_ALL);
    let began = fleet.now;
    while !fleet.is_lease_in_flight(paused) {
        assert!(
            fleet.now - began < 2.0 * fleet.timing.renewal_interval_ms,
            "no lease is in flight after two renewal intervals"
        );
        assert!(fleet.step(), "no event is left");
    }
    fleet.pause_host(5, 2.0 * fleet.timing.lease_with_drift_ms());
    fleet.set_demand(other, &archive_budget(), 1.0);
    run_until(&mut fleet, 4_000.0, "the lease of the paused host expires", |f| {
        f.usable(other, &archive_budget()).as_f64() > NEARLY_ALL
    });
    assert!(fleet.is_lease_in_flight(paused), "the paused host has not read the lease yet");
    // The invariant is checked at every step, including the one in which the lease is read.
    run_until(&mut fleet, 4_000.0, "the lease is read", |f| !f.is_lease_in_flight(paused));
    assert_eq!(fleet.usable(paused, &archive_budget()), Fraction::ZERO);
}

#[test]
fn of_two_processes_with_one_host_number_the_later_one_is_served() {
    let (mut fleet, processes) = start_fleet(17, 4, 3);
    fleet.set_demand(processes[2], &archive_budget(), 1.0);
    fleet.run(2_000.0);
    let second = fleet.start_host(2);
    fleet.set_demand(second, &archive_budget(), 1.0);
    run_until(&mut fleet, 6_000.0, "the later process gets the budget", |f| {
        f.usable(second, &archive_budget()).as_f64() > NEARLY_ALL
    });
    fleet.run(20_000.0);
    assert!(
        fleet.usable(second, &archive_budget()).as_f64() > NEARLY_ALL,
        "the later process keeps the budget"
    );
    assert_eq!(fleet.usable(processes[2], &archive_budget()), Fraction::ZERO);
}

#[test]
fn a_full_disk_stops_a_voter_until_there_is_space_again() {
    let (mut fleet, processes) = start_fleet(19, 8, 3);
    fleet.set_demand(processes[5], &archive_budget(), 1.0);
    fleet.run(3_000.0);
    let leader = fleet.leader().expect("a leader");
    fleet.set_disk_failing(leader, true);
    // The load moves, so that the leader has to write.
    fleet.set_demand(processes[5], &archive_budget(), 0.0);
    fleet.set_demand(processes[7], &archive_budget(), 1.0);
    run_until(&mut fleet, 9_000.0, "another voter leads and grants the budget", |f| {
        f.leader().is_some_and(|l| l != leader)
            && f.usable(processes[7], &archive_budget()).as_f64() > NEARLY_ALL
    });
    // The disk of the next leader fills up, too. With one of three voters left there is no quorum.
    let second = fleet.leader().expect("a leader");
    fleet.set_disk_failing(second, true);
    fleet.set_demand(processes[7], &archive_budget(), 0.0);
    fleet.set_demand(processes[6], &archive_budget(), 1.0);
    fleet.run(8_000.0);
    assert_eq!(fleet.total_usable(&archive_budget()), Fraction::ZERO);
    fleet.set_disk_failing(leader, false);
    run_until(&mut fleet, 9_000.0, "the budget is granted again once a disk has space", |f| {
        f.usable(processes[6], &archive_budget()).as_f64() > NEARLY_ALL
    });
}

#[test]
fn clock_drift_within_the_bound_grants_nothing_twice() {
    for (voter_rate, holder_rate) in [(1.2, 1.0), (1.0, 0.84), (0.8, 0.8), (1.12, 0.9)] {
        let mut fleet = SimFleet::new(23, 8, 3);
        (0..3).for_each(|v| fleet.set_clock_rate(v, voter_rate));
        (3..8).for_each(|h| fleet.set_clock_rate(h, holder_rate));
        let processes: Vec<u64> = (0..8).map(|h| fleet.start_host(h)).collect();
        processes.iter().for_each(|p| fleet.set_demand(*p, &archive_budget(), 0.7));
        fleet.run(4_000.0);
        for p in &processes[4..] {
            // The host is cut off with a lease, which has to expire on its clock before the leader grants the
            // share again.
            let host = fleet.processes[p].host;
            (0..3).for_each(|v| fleet.set_link_cut(host, v, true));
            fleet.run(3_600.0);
            assert!(fleet.total_usable(&archive_budget()).as_f64() > 0.8);
        }
    }
}

/// A holder reduces its use in favour of another one and confirms that; then the demand of the other one
/// ends. Under its current version the holder cannot use more again, so the leader has to allocate a new
/// version.
#[test]
fn a_reduced_share_is_restored_once_the_competing_demand_ends() {
    let (mut fleet, processes) = start_fleet(31, 8, 3);
    fleet.set_demand(processes[5], &archive_budget(), 1.5);
    fleet.run(3_000.0);
    for pause in [40.0, 90.0, 150.0, 250.0, 400.0, 700.0] {
        fleet.set_demand(processes[6], &archive_budget(), 0.3);
        fleet.run(pause);
        fleet.set_demand(processes[6], &archive_budget(), 0.0);
        fleet.run(1_500.0);
        let usable = fleet.usable(processes[5], &archive_budget()).as_f64();
        assert!(usable > 0.95, "after {pause} ms of competing demand only {usable} is usable");
    }
}

/// Forty hosts share a limit that admits one request at a time, as a request takes two thirds of the burst.
/// Each host gets a turn in which it has both the rate and the burst for a request.
#[test]
fn forty_hosts_take_turns_under_a_limit_that_admits_one_request() {
    let (mut fleet, processes) = start_fleet(29, 40, 3);
    let burst = Budget::new(BudgetKind::Burst, "archive");
    for p in &processes {
        fleet.set_demand(*p, &archive_budget(), 0.5);
        fleet.set_demand(*p, &burst, 0.5);
        fleet.processes.get_mut(p).unwrap().min_fraction = 0.66;
    }
    let mut served: std::collections::BTreeSet<u64> = std::collections::BTreeSet::new();
    for _ in 0..1_200 {
        fleet.run(100.0);
        served.extend(processes.iter().filter(|p| {
            [archive_budget(), burst.clone()].iter().all(|b| fleet.usable(**p, b).as_f64() > 0.6)
        }));
    }
    assert_eq!(served.len(), 40, "some hosts never had both");
}

/// Simulates a fleet under random faults, which then end. The invariants are checked at every step.
fn run_with_random_faults(seed: u64, budgets: &[Budget]) -> SimFleet {
    let mut rng = Rng(seed.wrapping_mul(77) | 1);
    let hosts = 3 + rng.below(8);
    let voters = [3, 3, 5][rng.below(3)].min(hosts);
    let mut fleet = SimFleet::new(seed, hosts, voters);
    if rng.next() < 0.7 {
        fleet.links = UNRELIABLE;
        fleet.max_apply_delay_ms = 500.0;
    }
    for host in 0..hosts {
        fleet.set_clock_rate(host, rng.between(0.9, 1.1));
    }
    let mut processes: Vec<u64> = (0..hosts).map(|h| fleet.start_host(h)).collect();
    // The demand exceeds the budgets, so that a released share is granted again at once: free capacity would
    // hide a share that is used twice.
    for p in &processes {
        budgets.iter().for_each(|budget| fleet.set_demand(*p, budget, 0.9));
    }
    for _ in 0..40 {
        let (host, other) = (rng.below(hosts), rng.below(hosts));
        match rng.below(14) {
            0 => fleet.kill_voter(host % voters),
            1 | 2 => (0..voters).for_each(|v| fleet.start_voter(v)),
            3 => fleet.pause_host(host, rng.between(100.0, 6_000.0)),
            4 | 5 => fleet.set_link_cut(host, other, true),
            6 => fleet.heal_links(),
            7 => {
                // A network partition into two random halves.
                let half: Vec<bool> = (0..hosts).map(|_| rng.next() < 0.5).collect();
                (0..hosts)
                    .for_each(|a| (0..hosts).for_each(|b| fleet.set_link_cut(a, b, half[a] != half[b])));
            }
            8 => fleet.kill_host(processes[host]),
            9 => {
                processes[host] = fleet.start_host(host);
                budgets.iter().for_each(|budget| fleet.set_demand(processes[host], budget, 0.9));
            }
            10 => fleet.set_disk_failing(host % voters, true),
            11 => (0..voters).for_each(|v| fleet.set_disk_failing(v, false)),
            _ => {
                let p = processes[host];
                let demand = if rng.next() < 0.4 { 0.0 } else { rng.between(0.0, 2.0) };
                fleet.set_demand(p, &budgets[other % budgets.len()], demand);
            }
        }
        fleet.run(rng.between(20.0, 1_200.0));
    }
    // All faults end, and a host with demand has to get the budget.
    fleet.links = sim::RELIABLE;
    fleet.heal_links();
    (0..voters).for_each(|v| fleet.set_disk_failing(v, false));
    (0..voters).for_each(|v| fleet.start_voter(v));
    let ids: Vec<u64> = fleet.processes.keys().copied().collect();
    for p in &ids {
        budgets.iter().for_each(|budget| fleet.set_demand(*p, budget, 0.0));
    }
    fleet.run(15_000.0);
    let process = fleet.current_process(hosts - 1).unwrap_or_else(|| fleet.start_host(hosts - 1));
    for budget in budgets {
        fleet.set_demand(process, budget, 1.0);
        let what = format!("{budget} is granted after the faults");
        run_until(&mut fleet, 10_000.0, &what, |f| f.usable(process, budget).as_f64() > NEARLY_ALL);
    }
    fleet
}

#[test]
fn random_faults_grant_nothing_twice_and_the_fleet_recovers() {
    let mut max_in_use: f64 = 0.0;
    for seed in 1..=150 {
        let fleet = std::panic::catch_unwind(|| run_with_random_faults(seed, &[archive_budget()]))
            .unwrap_or_else(|_| panic!("seed {seed}"));
        max_in_use = max_in_use.max(fleet.max_in_use);
    }
    assert!(max_in_use > 0.92, "the runs did not come near the whole budget: {max_in_use}");
}

/// With several budgets, incremental requests and responses carry only some of them.
#[test]
fn random_faults_with_several_budgets_grant_nothing_twice_and_the_fleet_recovers() {
    let budgets: Vec<Budget> =
        (0..6).map(|n| Budget::new(BudgetKind::Limit, &format!("volume-{n}"))).collect();
    for seed in 1_001..=1_060 {
        std::panic::catch_unwind(|| run_with_random_faults(seed, &budgets))
            .unwrap_or_else(|_| panic!("seed {seed}"));
    }
}

/// The expected size of a fleet: 530 hosts. Half of them fail at once, the leader and another voter among
/// them.
#[test]
fn shares_of_half_of_530_failed_hosts_are_reallocated_within_four_seconds() {
    const HOSTS: usize = 530;
    let (mut fleet, processes) = start_fleet(1, HOSTS, 5);
    fleet.check_every = 200;
    for process in &processes {
        // The minimum fraction is well below an equal share, so that the hosts need not take turns.
        fleet.processes.get_mut(process).unwrap().min_fraction = 0.0002;
        fleet.set_demand(*process, &archive_budget(), 0.002);
    }
    fleet.run(6_000.0);
    let leader = fleet.leader().expect("a leader");
    let other_voter = (leader + 2) % fleet.voters();
    for voter in [leader, other_voter] {
        fleet.kill_voter(voter);
        fleet.kill_host(processes[voter]);
    }
    (fleet.voters()..HOSTS).step_by(2).for_each(|host| fleet.kill_host(processes[host]));
    let took = run_until(&mut fleet, 4_000.0, "shares of the failed hosts are reallocated", |f| {
        f.total_usable(&archive_budget()).as_f64() > NEARLY_ALL
    });
    println!("reallocated after {took} ms");
}

/// The leader fails between a request and its grant. All demand has to reach the next leader.
#[test]
fn demand_survives_the_failure_of_the_leader() {
    for seed in 1..=20 {
        let (mut fleet, processes) = start_fleet(seed, 12, 3);
        let budgets: Vec<Budget> =
            (0..8).map(|n| Budget::new(BudgetKind::Limit, &format!("volume-{n}"))).collect();
        for (n, budget) in budgets.iter().enumerate() {
            fleet.set_demand(processes[n], budget, 1.0);
        }
        fleet.run(3_000.0);
        // The load of half of the budgets moves, and the leader fails up to 600 ms later.
        for (n, budget) in budgets.iter().enumerate().take(4) {
            fleet.set_demand(processes[n], budget, 0.0);
            fleet.set_demand(processes[n + 4], budget, 1.0);
        }
        fleet.run(30.0 * seed as f64);
        let leader = fleet.leader().expect("a leader");
        fleet.kill_voter(leader);
        for (n, budget) in budgets.iter().enumerate() {
            let process = if n < 4 { processes[n + 4] } else { processes[n] };
            run_until(&mut fleet, 6_000.0, "the budget reaches the process with demand", |f| {
                f.usable(process, budget).as_f64() > NEARLY_ALL
            });
        }
    }
}
