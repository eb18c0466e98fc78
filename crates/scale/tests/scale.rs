//! A small control plane on real sockets: what it says does not grow with idle budgets or with the fleet; and sizes that are refused.
//!
//! What is compared is counted in bytes a message. Times are not judged.

use serde_json::Value;
use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pearfork-scale")).args(arguments).output().expect("the program runs")
}

/// Runs a size; its last line.
fn measured(arguments: &[&str]) -> Value {
    let output = scale(&[&["run", "--seconds", "2", "--warm-up", "2"], arguments].concat());
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {error}");
    let text = String::from_utf8(output.stdout).expect("text");
    serde_json::from_str(text.lines().last().expect("a line")).expect("JSON")
}

fn number(report: &Value, path: &str) -> f64 {
    report.pointer(path).and_then(Value::as_f64).unwrap_or_else(|| panic!("no {path} in {report}"))
}

/// Mean length of a message of a hollow host, bytes: the same however busy the machine is.
fn message_bytes(report: &Value) -> f64 {
    number(report, "/host/bytes_per_second") / number(report, "/host/messages_per_second")
}

/// Every host wants some of every budget, and none of it changes but for what demand strays.
fn everything_wanted(hosts: &str, budgets: &str) -> Value {
    measured(&["--hosts", hosts, "--budgets", budgets, "--users", "4096"])
}

#[test]
fn renewals_are_as_long_with_a_hundred_times_as_many_budgets() {
    let (few, many) = (everything_wanted("12", "2"), everything_wanted("12", "200"));
    let (short, long) = (message_bytes(&few), message_bytes(&many));
    assert!(number(&many, "/lent") > 150.0, "the budgets are lent: {many}");
    assert!(long < 1.5 * short, "{short:.0} bytes a message with 2 budgets, {long:.0} with 200");
}

#[test]
fn renewals_are_as_long_in_a_fleet_of_three_times_as_many_hosts() {
    let (small, large) = (everything_wanted("12", "40"), everything_wanted("36", "40"));
    let (short, long) = (message_bytes(&small), message_bytes(&large));
    assert!(long < 1.25 * short, "{short:.0} bytes a message with 12 hosts, {long:.0} with 36");
}

#[test]
fn every_host_has_a_lease_again_after_the_leader_is_lost() {
    let report = measured(&["--hosts", "16", "--budgets", "60", "--moving", "0.05", "--lose-leader"]);
    assert!(number(&report, "/leader_loss/all_leased_ms") > 0.0);
    // All that it knows, told once, with what else is said meanwhile: far from a thousand budgets each time.
    assert!(number(&report, "/leader_loss/most_host_bytes") < 200_000.0, "{report}");
}

#[test]
fn sizes_that_do_not_fit_are_refused_with_their_field() {
    let refused = [
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
    for (flag, value, expected) in refused {
        let output = scale(&["run", &format!("{flag}={value}")]);
        let why = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{flag} {value}: {why}");
        assert!(why.contains(expected), "{flag} {value}: {why}");
    }
    let output = scale(&["run", "--hosts", "4096", "--nodes", "20000"]);
    let why = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(why.contains("MiB are allowed"), "{why}");
}
