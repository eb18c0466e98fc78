//! Seeded plays of real processes under drawn faults, with the platform's rules checked from what passed over the sockets.
//!
//! `SOAK_SEEDS=1..51 cargo test -p pearfork-gateway --test soak -- --nocapture` plays other seeds than CI does.

mod service_harness;
mod soak_harness;

use soak_harness::scenario::Plan;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Seeds that CI plays.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Plays side by side.
const SIDE_BY_SIDE: usize = 3;

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// Guards against requests that are lost, wrong, late or sent on after their end, and processes that end, under any mix of
/// faults at nodes, clients, discovery, signals, clocks and system calls.
#[test]
fn drawn_faults_break_no_rule() {
    let seeds = seeds();
    let next = AtomicU64::new(seeds.start);
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..SIDE_BY_SIDE {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= seeds.end {
                    return;
                }
                let plan = Plan::draw(seed);
                let report = soak_harness::play(&plan);
                println!("{}", report.line(&plan));
                broken.lock().unwrap().extend(report.broken.iter().map(|b| format!("seed {seed}: {b}")));
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{} broken rules:\n{}", broken.len(), broken.join("\n"));
}
