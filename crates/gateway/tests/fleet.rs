//! Host processes that share a limit among them while faults are injected; the rules are checked against the
//! traffic on their sockets.

use pearfork_day::scenario::Scenario;
use pearfork_day::summary::Summary;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::Rule;
use pearfork_trial::{HostProcesses, ProcessConfig};
use std::path::Path;
use std::sync::Mutex;

/// Held during a scenario: on a small machine two at once would disturb each other.
static RUN_LOCK: Mutex<()> = Mutex::new(());

const SETTINGS: &str = include_str!("../../trial/days/hosts.toml");

/// Runs a scenario file and asserts that no rule is broken. `clocks` holds the clock rate of hosts whose
/// clock is wrong.
fn run_fleet_scenario(name: &str, scenario: &str, clocks: &[(u16, f64)]) -> (Summary, RunResult) {
    let _lock = RUN_LOCK.lock().unwrap_or_else(|e| e.into_inner());
    let mut scenario = Scenario::from_toml(scenario).unwrap_or_else(|e| panic!("{name}: {e}"));
    // The rules are checked in full. How much is served depends on the load of the machine: half is required.
    scenario.run.margin = pearfork_host::units::Span::from_ms(1_000.0);
    for e in scenario.expectations.iter_mut().filter(|e| e.at_least > 0.0) {
        e.at_least = 0.5;
    }
    let host_settings = HostSettings::from_toml(SETTINGS).unwrap_or_else(|e| panic!("{e}"));
    let folder = tempfile::tempdir().unwrap();
    let mut processes = HostProcesses::new(ProcessConfig {
        gateway: env!("CARGO_BIN_EXE_pearfork-gateway").into(),
        settings: SETTINGS.to_owned(),
        folder: folder.path().to_owned(),
        clocks: clocks.iter().copied().collect(),
    });
    let result = run_scenario(&scenario, &host_settings, &mut processes, |_, _| {})
        .unwrap_or_else(|e| panic!("{name}: {e}"));
    let summary = Summary::new(&result);
    assert!(summary.passed, "{name}\n{}{}", summary.render(plain_output()), host_warnings(folder.path()));
    let limits = result.rules.finding(Rule::Limits).unwrap();
    assert!(limits.checks > 100, "{name}: too few checks of the limits");
    (summary, result)
}

fn plain_output() -> pearfork_cli::Output {
    pearfork_cli::Output { json: Some(false), color: pearfork_cli::Color::Never }
}

/// The last eight warnings and errors in the log of each host.
fn host_warnings(folder: &Path) -> String {
    let mut text = String::new();
    for host in 0..7 {
        let log = std::fs::read_to_string(folder.join(format!("host-{host}/log"))).unwrap_or_default();
        let warnings: Vec<&str> = log.lines().filter(|l| l.contains("WARN") || l.contains("ERROR")).collect();
        text += &format!("host {host}:\n{}\n", warnings[warnings.len().saturating_sub(8)..].join("\n"));
    }
    text
}

#[test]
fn the_shares_of_a_limit_follow_its_load_from_host_to_host() {
    run_fleet_scenario("moves", include_str!("../../trial/days/moves.toml"), &[]);
}

#[test]
fn the_shares_of_dead_hosts_are_lent_again_and_never_twice() {
    run_fleet_scenario("deaths", include_str!("../../trial/days/deaths.toml"), &[]);
}

#[test]
fn network_partitions_lend_no_share_twice() {
    run_fleet_scenario("cuts", include_str!("../../trial/days/cuts.toml"), &[]);
}

#[test]
fn suspended_processes_send_nothing_under_expired_leases() {
    run_fleet_scenario("stops", include_str!("../../trial/days/stops.toml"), &[(4, 1.2), (6, 0.9)]);
}

#[test]
fn voters_with_failed_disks_stop_lending_and_continue_to_serve() {
    run_fleet_scenario("disks", include_str!("../../trial/days/disks.toml"), &[]);
}

#[test]
fn without_voters_hosts_keep_their_floors() {
    run_fleet_scenario("nobody votes", include_str!("../../trial/days/nobody-votes.toml"), &[]);
}
