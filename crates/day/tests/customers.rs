//! Each customer's rules in front of its own short bad day.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use std::path::{Path, PathBuf};

fn example(kind: &str, customer: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(kind).join(format!("{customer}.toml"))
}

/// Plays the customer's day; every class in `busy` must have had requests.
fn plays(customer: &str, busy: &[&str]) -> RunResult {
    let plan = HostSettings::load(&example("hosts", customer)).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(plan.warnings, Vec::<String>::new());
    let day = Scenario::from_toml(&std::fs::read_to_string(example("days", customer)).unwrap()).unwrap();
    let result =
        run_scenario(&day, &plan, &mut pearfork_day::host_runner::InProcessRunner::default(), |_, _| {})
            .unwrap();
    assert!(result.rules.passed(), "{customer}\n{}", result.rules);
    assert_eq!(result.stale(), Vec::<&str>::new());
    for class in busy {
        let at = result.class_names.iter().position(|c| c == class).unwrap();
        let (taken, served) =
            result.hosts.iter().fold((0, 0), |n, h| (n.0 + h[at].taken, n.1 + h[at].served));
        assert!(taken > 0 && served > 0, "{customer}: {class} {taken} taken, {served} served");
    }
    result
}

#[test]
fn a_home_care_day_keeps_the_rules() {
    plays("home-care", &["compare-and-write", "visit-note", "region-export", "roster-read"]);
}

#[test]
fn a_vehicle_sharing_day_keeps_the_rules() {
    plays("vehicle-sharing", &["compare-and-write", "booking-write", "trip-read"]);
}

#[test]
fn a_build_farm_day_keeps_the_rules_whatever_the_hour() {
    // Whether there are exports depends on the time of day.
    plays("build-farm", &["artifact-write", "cache-read"]);
}
