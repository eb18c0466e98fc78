//! A small control plane on real sockets: the length of its messages does not grow with unchanged budgets or
//! with the fleet. Also checks that invalid sizes are rejected.
//!
//! The tests compare bytes per message, which do not depend on the speed of the machine.

use serde_json::Value;
use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pearfork-scale")).args(arguments).output().expect("the program runs")
}

/// Runs a fleet and returns the report from the last line of output.
fn run_and_report(arguments: &[&str]) -> Value {
    let output = scale(&[&["run", "--seconds", "2", "--warm-up", "2"], arguments].concat());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {error}");
    let text = String::from_utf8(output.stdout).expect("text");
    serde_json::from_str(text.lines().last().expect("a line")).expect("JSON")
}

fn number(report: &Value, path: &str) -> f64 {
    report.pointer(path).and_then(Value::as_f64).unwrap_or_else(|| panic!("no {path} in {report}"))
}

/// Mean length of the messages of a simulated host, bytes. It does not depend on the load of the machine.
fn message_bytes(report: &Value) -> f64 {
    number(report, "/host/bytes_per_second") / number(report, "/host/messages_per_second")
}

/// Every host has demand for every budget, which changes by its jitter alone.
fn all_hosts_use_all_budgets(hosts: &str, budgets: &str) -> Value {
    run_and_report(&["--hosts", hosts, "--budgets", budgets, "--users", "4096"])
}

#[test]
fn renewals_do_not_grow_with_a_hundred_times_as_many_budgets() {
    let (few, many) = (all_hosts_use_all_budgets("12", "2"), all_hosts_use_all_budgets("12", "200"));
    let (short, long) = (message_bytes(&few), message_bytes(&many));
    assert!(number(&many, "/lent") > 150.0, "the budgets must be lent: {many}");
    assert!(long < 1.5 * short, "{short:.0} bytes a message with 2 budgets, {long:.0} with 200");
}

#[test]
fn renewals_do_not_grow_in_a_fleet_of_three_times_as_many_hosts() {
    let (small, large) = (all_hosts_use_all_budgets("12", "40"), all_hosts_use_all_budgets("36", "40"));
    let (short, long) = (message_bytes(&small), message_bytes(&large));
    assert!(long < 1.25 * short, "{short:.0} bytes a message with 12 hosts, {long:.0} with 36");
}

#[test]
fn every_host_has_a_new_lease_after_the_loss_of_the_leader() {
    let report = run_and_report(&["--hosts", "16", "--budgets", "60", "--moving", "0.05", "--lose-leader"]);
    assert!(number(&report, "/leader_loss/all_leased_ms") > 0.0);
    // Each host sends its whole state once to the new leader, plus renewals: far less than the whole state
    // each time.
    assert!(number(&report, "/leader_loss/most_host_bytes") < 200_000.0, "{report}");
}

#[test]
fn invalid_sizes_are_rejected_with_their_field() {
    let invalid_arguments = [
        ("--hosts", "0", "hosts = 0"),
        ("--hosts", "4097", "hosts = 4097"),
        ("--hosts", "2", "hosts = 2"),
        ("--budgets", "0", "budgets = 0"),
        ("--budgets", "100001", "budgets = 100001"),
        ("--nodes", "0", "nodes = 0"),
        ("--voters", "2", "voters = 2"),
        ("--users", "0", "users = 0"),
        ("--least", "-1", "least = -1"),
        ("--moving", "1.5", "moving = 1.5"),
        ("--moving", "NaN", "moving = NaN"),
        ("--seconds", "0", "seconds = 0"),
        ("--seconds", "601", "seconds = 601"),
    ];
    for (flag, value, expected) in invalid_arguments {
        let output = scale(&["run", &format!("{flag}={value}")]);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{flag} {value}: {stderr}");
        assert!(stderr.contains(expected), "{flag} {value}: {stderr}");
    }
    let output = scale(&["run", "--hosts", "4096", "--nodes", "20000"]);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains("MiB are allowed"), "{stderr}");
}
