//! Seeded random fault scenarios with real processes; the platform's rules are checked against the traffic on
//! the sockets.
//!
//! `SOAK_SEEDS=1..51 cargo test -p pearfork-gateway --test soak -- --nocapture` runs other seeds than CI
//! does.

mod service_harness;
mod soak_harness;

use soak_harness::scenario::Scenario;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Seeds that CI runs.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Scenarios that run at the same time.
const PARALLEL_RUNS: usize = 3;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// Guards against requests that are lost, answered wrongly or late, or sent to a node after their final
/// answer, and against processes that end, under any mix of faults of nodes, clients, discovery, signals,
/// clocks and system calls.
#[test]
fn random_faults_break_no_rule() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= seeds.end {
                    return;
                }
                let scenario = Scenario::random(seed);
                let report = soak_harness::run(&scenario);
                println!("{}", report.summary(&scenario));
                violations
                    .lock()
                    .unwrap()
                    .extend(report.violations.iter().map(|v| format!("seed {seed}: {v}")));
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(violations.is_empty(), "{} rule violations:\n{}", violations.len(), violations.join("\n"));
}
