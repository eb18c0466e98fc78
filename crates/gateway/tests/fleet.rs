//! Hosts as processes that divide a limit among them, with troubles between them; the rules proved from the sockets.

use pearfork_day::scenario::Scenario;
use pearfork_day::summary::Summary;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::Rule;
use pearfork_trial::{Processes, Program};
use std::path::Path;
use std::sync::Mutex;

/// One day at a time: on a small machine two would be each other's trouble.
static TURN: Mutex<()> = Mutex::new(());

const SETTINGS: &str = include_str!("../../trial/days/hosts.toml");

fn played(name: &str, day: &str, clocks: &[(u16, f64)]) -> (Summary, RunResult) {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let mut day = Scenario::from_toml(day).unwrap_or_else(|e| panic!("{name}: {e}"));
    // Rules are held to what the sockets saw. How much is served is for machines that nobody shares: here half is enough.
    day.run.margin = pearfork_host::units::Span::from_ms(1_000.0);
    for e in day.expectations.iter_mut().filter(|e| e.at_least > 0.0) {
        e.at_least = 0.5;
    }
    let plan = HostSettings::from_toml(SETTINGS).unwrap_or_else(|e| panic!("{e}"));
    let folder = tempfile::tempdir().unwrap();
    let mut crew = Processes::new(Program {
        gateway: env!("CARGO_BIN_EXE_pearfork-gateway").into(),
        settings: SETTINGS.to_owned(),
        folder: folder.path().to_owned(),
        clocks: clocks.iter().copied().collect(),
    });
    let result = run_scenario(&day, &plan, &mut crew, |_, _| {}).unwrap_or_else(|e| panic!("{name}: {e}"));
    let summary = Summary::new(&result);
    assert!(summary.passed, "{name}\n{}{}", summary.render(plain()), logs(folder.path()));
    let limits = result.rules.of(Rule::Limits).unwrap();
    assert!(limits.checks > 100, "{name}: nothing to judge");
    (summary, result)
}

fn plain() -> pearfork_cli::Output {
    pearfork_cli::Output { json: Some(false), color: pearfork_cli::Color::Never }
}

/// What hosts said that was no news.
fn logs(folder: &Path) -> String {
    let mut out = String::new();
    for host in 0..7 {
        let text = std::fs::read_to_string(folder.join(format!("host-{host}/log"))).unwrap_or_default();
        let told: Vec<&str> = text.lines().filter(|l| l.contains("WARN") || l.contains("ERROR")).collect();
        out += &format!("host {host}:\n{}\n", told[told.len().saturating_sub(8)..].join("\n"));
    }
    out
}

#[test]
fn a_limit_follows_its_load_from_host_to_host() {
    played("moves", include_str!("../../trial/days/moves.toml"), &[]);
}

#[test]
fn what_dead_hosts_had_is_lent_again_and_never_twice() {
    played("deaths", include_str!("../../trial/days/deaths.toml"), &[]);
}

#[test]
fn broken_links_lend_nothing_twice() {
    played("cuts", include_str!("../../trial/days/cuts.toml"), &[]);
}

#[test]
fn processes_that_stood_still_send_nothing_by_leases_that_are_over() {
    played("stops", include_str!("../../trial/days/stops.toml"), &[(4, 1.2), (6, 0.9)]);
}

#[test]
fn voters_whose_disks_fail_stop_lending_and_go_on_serving() {
    played("disks", include_str!("../../trial/days/disks.toml"), &[]);
}

#[test]
fn without_voters_the_floors_are_left() {
    played("nobody votes", include_str!("../../trial/days/nobody-votes.toml"), &[]);
}
