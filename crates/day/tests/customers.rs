//! Example settings and scenarios: each example runs a short scenario with faults under its own matching
//! rules.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use std::path::{Path, PathBuf};

fn example(kind: &str, customer: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(kind).join(format!("{customer}.toml"))
}

/// Runs the scenario of an example. Requests of every class in `active_classes` must have been received and
/// served.
fn run_example(customer: &str, active_classes: &[&str]) -> RunResult {
    let settings = HostSettings::load(&example("hosts", customer)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(settings.warnings, Vec::<String>::new());
    let scenario = Scenario::from_toml(&std::fs::read_to_string(example("days", customer)).unwrap()).unwrap();
    let result = run_scenario(
        &scenario,
        &settings,
        &mut pearfork_day::host_runner::InProcessRunner::default(),
        |_, _| {},
    )
    .unwrap();
    assert!(result.rules.passed(), "{customer}\n{}", result.rules);
    assert_eq!(result.stale(), Vec::<&str>::new());
    for class in active_classes {
        let at = result.class_names.iter().position(|c| c == class).unwrap();
        let (taken, served) =
            result.class_counts.iter().fold((0, 0), |n, h| (n.0 + h[at].taken, n.1 + h[at].served));
        assert!(taken > 0 && served > 0, "{customer}: {class} {taken} taken, {served} served");
    }
    result
}

#[test]
fn the_home_care_scenario_violates_no_rule() {
    run_example("home-care", &["compare-and-write", "visit-note", "region-export", "roster-read"]);
}

#[test]
fn the_vehicle_sharing_scenario_violates_no_rule() {
    run_example("vehicle-sharing", &["compare-and-write", "booking-write", "trip-read"]);
}

#[test]
fn the_build_farm_scenario_violates_no_rule_at_any_hour() {
    // The matching rules classify exports by the time of day, so that class may receive no requests.
    run_example("build-farm", &["artifact-write", "cache-read"]);
}
