//! Scenarios without faults and limits, at a given fraction of the capacity of the nodes, through 1, 2, 8 and
//! 40 hosts. Reports what is refused and why, and what is late.
//!
//! `cargo bench -p pearfork-day --bench calm` prints a table for `docs/results/quiet.md`; `-- 0.7 8` runs one
//! cell, given as a fraction of the capacity and a number of hosts. The results are not tested.

use pearfork_day::host_runner::InProcessRunner;
use pearfork_day::run_scenario;
use pearfork_day::scenario::Scenario;
use pearfork_host::settings::HostSettings;
use std::collections::BTreeMap;

const SETTINGS: &str = include_str!("../days/bad-day-hosts.toml");
/// Units per second of four nodes of two cores at 4 ms per unit.
const CAPACITY: f64 = 2_000.0;
/// Mean units of a request of the exports: 0.6 of them cost one unit, 0.4 eight units.
const EXPORT_UNITS: f64 = 3.8;

fn scenario(load: f64, hosts: u16) -> Scenario {
    let clients = f64::from(hosts.max(16));
    let (notes, exports) = (load * CAPACITY * 0.6 / clients, load * CAPACITY * 0.4 / EXPORT_UNITS / clients);
    let text = format!(
        r#"
[day]
length = "5s"
seed = 7
hosts = {hosts}
margin = "500ms"
[nodes]
count = 4
racks = 2
cores = 2
waiting = 24
work = "4ms"
deferred = 0.3
repeats_dropped = "1.2s"
[[client]]
name = "notes"
count = {clients}
volume = "notes"
rate = {notes}
writes = 0.4
flushes = 0.01
[[client]]
name = "exports"
count = {clients}
volume = "exports"
rate = {exports}
writes = 0.2
large_part = 0.4
"#
    );
    Scenario::from_toml(&text).expect("a valid scenario")
}

fn main() {
    let settings = HostSettings::from_toml(SETTINGS).expect("valid settings");
    println!(
        "| fraction of the nodes' capacity | hosts | taken | refused % | late % | p99 of notes, ms | by reason |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let arguments: Vec<f64> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let selected = |at: usize, value: f64| arguments.get(at).is_none_or(|a| *a == value);
    for load in [0.1, 0.25, 0.5, 0.7].into_iter().filter(|p| selected(0, *p)) {
        for hosts in [1u16, 2, 8, 40].into_iter().filter(|h| selected(1, f64::from(*h))) {
            let result =
                run_scenario(&scenario(load, hosts), &settings, &mut InProcessRunner::default(), |_, _| {})
                    .expect("a completed run");
            assert!(result.rules.passed(), "\n{}", result.rules);
            let sum = |f: fn(&pearfork_host::counts::ClassCounts) -> u64| -> u64 {
                result.class_counts.iter().flatten().map(f).sum()
            };
            let (taken, served) = (sum(|c| c.taken), sum(|c| c.served));
            let mut reasons: BTreeMap<&str, u64> = BTreeMap::new();
            for (reason, n) in result.reasons.iter().flat_map(|r| r.by_reason(|_| true)) {
                *reasons.entry(reason.label()).or_default() += n;
            }
            let mut p99: Vec<f64> = result
                .clients
                .iter()
                .filter(|(n, _)| n == "notes")
                .map(|(_, t)| t.latency_us.value_at_quantile(0.99) as f64 / 1e3)
                .collect();
            p99.sort_by(f64::total_cmp);
            let reason_counts: Vec<String> = reasons.iter().map(|(r, n)| format!("{r} {n}")).collect();
            println!(
                "| {:.0} % | {hosts} | {taken} | {:.2} | {:.2} | {:.0} | {} |",
                load * 100.0,
                100.0 * sum(|c| c.refused + c.failed) as f64 / taken as f64,
                100.0 * sum(|c| c.late) as f64 / served.max(1) as f64,
                p99[p99.len() / 2],
                reason_counts.join(", ")
            );
        }
    }
}
