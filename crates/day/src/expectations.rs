//! What a day promises of a volume's use, beyond the rules: told from what came to nodes.

use crate::scenario::ExpectTable;
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::trace::Trace;
use serde::Serialize;
use std::collections::HashMap;

/// One expectation, and what came.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExpectationResult {
    /// The volume.
    pub volume: String,
    /// Seconds of the record between which it counts.
    #[serde(rename = "between_s")]
    pub window_s: (f64, f64),
    /// Units a second that all hosts sent, first sendings alone, as a part of the volume's limit.
    #[serde(rename = "came")]
    pub measured: f64,
    /// What it must be at the least, and at the most.
    #[serde(rename = "wanted")]
    pub bounds: (f64, f64),
    /// Whether it is.
    #[serde(rename = "right")]
    pub met: bool,
}

/// Judges a day's expectations. `began_us` is when the day's clock began in the record.
pub fn evaluate(
    expect: &[ExpectTable],
    plan: &HostSettings,
    trace: &Trace,
    began_us: u64,
) -> Vec<ExpectationResult> {
    // Each request draws its units at its first sending.
    let mut first: HashMap<_, (u64, u32, f64)> = HashMap::new();
    for a in &trace.attempts {
        let t = &a.metadata;
        let key = (t.host, t.host_start_s, t.session, t.cmd_sn, t.part);
        first.entry(key).or_insert((a.received_us, t.volume, f64::from(t.milli_units) / 1_000.0));
    }
    let one = |e: &ExpectTable| {
        let volume = plan.volumes.iter().find(|v| v.name == e.volume);
        let limit = volume.map_or(0.0, |v| plan.scheduler.plans[usize::from(v.plan)].limit);
        let id = volume.map_or(u32::MAX, |v| v.id.0);
        let at = |ms: f64| began_us + (ms * 1_000.0) as u64;
        let within = at(e.from.ms())..at(e.to.ms());
        let units: f64 =
            first.values().filter(|(us, v, _)| *v == id && within.contains(us)).map(|(.., u)| u).sum();
        let span_s = (e.to.ms() - e.from.ms()).max(1.0) / 1_000.0;
        // A sum of nothing is -0.0.
        let measured = (units / span_s / limit.max(1e-9)).max(0.0);
        let bounds = (e.at_least, e.at_most.unwrap_or(f64::INFINITY));
        ExpectationResult {
            volume: e.volume.clone(),
            window_s: (e.from.ms() / 1_000.0, e.to.ms() / 1_000.0),
            measured,
            bounds,
            met: measured >= bounds.0 && measured <= bounds.1,
        }
    };
    expect.iter().map(one).collect()
}
