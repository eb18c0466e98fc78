//! Compares retry policies while a third of the nodes hang, and while a third are slow near full load:
//! immediate retries without a budget against time-outs with a retry budget and spread, with and without
//! hedged attempts. The policies alternate within one run.
//!
//! `cargo bench -p pearfork-day --bench retries` prints a table for `docs/results/`. The results are not
//! tested.

use pearfork_day::host_runner::InProcessRunner;
use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, RunResult};
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::wire::CommandMetadata;
use pearfork_rulecheck::{Endpoint, TraceEventKind};

const SETTINGS: &str = include_str!("../days/bad-day-hosts.toml");
const ROUNDS: usize = 2;

/// Six nodes, two for each shard; one node of each of two shards has a fault for half of the run.
fn scenario(rate: u32, fault: &str) -> Scenario {
    let event = |node: u32| format!("[[event]]\nat = \"2s\"\nnode = {node}\nfor = \"4s\"\n{fault}\n");
    let text = format!(
        r#"
[day]
length = "8s"
seed = 5
hosts = 2
margin = "500ms"
[nodes]
count = 6
replicas = 2
racks = 3
cores = 1
waiting = 40
work = "4ms"
repeats_dropped = "1.2s"
[[client]]
name = "notes"
count = 6
volume = "notes"
rate = {rate}
writes = 0.2
[[client]]
name = "exports"
count = 2
volume = "exports"
rate = 30
{}{}"#,
        event(1),
        event(5)
    );
    Scenario::from_toml(&text).unwrap_or_else(|e| panic!("{e}"))
}

fn settings(class_terms: &str, budget: bool, hedging: bool) -> HostSettings {
    let mut text = SETTINGS.replace("[0, 1, 2, 3]", "[0, 1, 2]").replace("[1, 2, 3, 0]", "[1, 2, 0]");
    let name = "name = \"small-read\"\n";
    text = text.replacen(name, &format!("{name}{class_terms}\n"), 1);
    let max = format!("max_attempts = 8\nsecond_copies = {hedging}");
    text = text.replacen("max_attempts = 4", &max, 1);
    if !budget {
        text = text.lines().filter(|l| !l.starts_with("retry_budget")).collect::<Vec<_>>().join("\n");
    }
    HostSettings::from_toml(&text).unwrap_or_else(|e| panic!("{e}"))
}

struct Row {
    served: u64,
    late: u64,
    refused: u64,
    failed: u64,
    retries: usize,
    violations: usize,
}

fn row(r: &RunResult) -> Row {
    let sum =
        |f: fn(&pearfork_host::counts::ClassCounts) -> u64| r.class_counts.iter().flatten().map(f).sum();
    let retries = r.events.iter().filter(|n| match &n.kind {
        TraceEventKind::Pdu { endpoint: Endpoint::Node { .. }, sent: false, header, .. } => {
            CommandMetadata::find(&header.extra).is_some_and(|t| t.attempt > 0)
        }
        _ => false,
    });
    Row {
        served: sum(|c| c.served),
        late: sum(|c| c.late),
        refused: sum(|c| c.refused),
        failed: sum(|c| c.failed),
        retries: retries.count(),
        violations: r.rules.0.iter().map(|f| f.violations.len()).sum(),
    }
}

fn main() {
    let scenarios = [
        ("hang, 600/s", scenario(90, "do = \"hang\"")),
        ("slow, 1,260/s", scenario(200, "do = \"slow\"\ntimes = 6")),
    ];
    let policies = [
        (
            "naive: 8 attempts of 150 ms, immediate, no budget",
            settings("attempt = \"150ms\"\nattempts = 8", false, false),
        ),
        (
            "time-outs and budget",
            settings(
                "attempt = \"150ms\"\nattempts = 3\nretry_pause = \"20ms\"\nretry_spread = \"40ms\"",
                true,
                false,
            ),
        ),
        (
            "time-outs, budget, hedged attempts",
            settings(
                "attempt = \"300ms\"\nattempts = 3\nretry_spread = \"40ms\"\nsecond_copy_after = \"60ms\"",
                true,
                true,
            ),
        ),
    ];
    println!(
        "| scenario | retry policy | served in time | late | refused | failed | retries and hedged attempts | rule violations |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for round in 1..=ROUNDS {
        for ((what, scenario), (name, host_settings)) in
            scenarios.iter().flat_map(|d| policies.iter().map(move |k| (d, k)))
        {
            let result = run_scenario(scenario, host_settings, &mut InProcessRunner::default(), |_, _| {})
                .unwrap_or_else(|e| panic!("{e}"));
            let r = row(&result);
            println!(
                "| {what}, {round} | {name} | {} | {} | {} | {} | {} | {} |",
                r.served - r.late,
                r.late,
                r.refused,
                r.failed,
                r.retries,
                r.violations
            );
        }
    }
}
