//! Expectations of a scenario for the use of volumes, beyond the rules, evaluated from the attempts that
//! nodes received.

use crate::scenario::ExpectTable;
use pearfork_host::settings::HostSettings;
use pearfork_rulecheck::trace::Trace;
use serde::Serialize;
use std::collections::HashMap;

/// Result of one expectation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExpectationResult {
    /// The volume.
    pub volume: String,
    /// Start and end of the evaluated period, seconds of the scenario.
    #[serde(rename = "between_s")]
    pub window_s: (f64, f64),
    /// Units per second sent by all hosts, without retries and hedged attempts, as a fraction of the volume's
    /// limit.
    #[serde(rename = "came")]
    pub measured: f64,
    /// Least and greatest fraction that meets the expectation.
    #[serde(rename = "wanted")]
    pub bounds: (f64, f64),
    /// Whether the measured fraction lies within the bounds.
    #[serde(rename = "right")]
    pub met: bool,
}

/// Evaluates the expectations of a scenario. `scenario_start_us` is the start of the scenario in the time of
/// the trace.
pub fn evaluate(
    expectations: &[ExpectTable],
    settings: &HostSettings,
    trace: &Trace,
    scenario_start_us: u64,
) -> Vec<ExpectationResult> {
    // A request consumes the units of its volume once, when its first attempt is sent.
    let mut first_attempts: HashMap<_, (u64, u32, f64)> = HashMap::new();
    for a in &trace.attempts {
        let t = &a.metadata;
        let key = (t.host, t.host_start_s, t.session, t.cmd_sn, t.part);
        first_attempts.entry(key).or_insert((a.received_us, t.volume, f64::from(t.milli_units) / 1_000.0));
    }
    let evaluate_one = |e: &ExpectTable| {
        let volume = settings.volumes.iter().find(|v| v.name == e.volume);
        let limit = volume.map_or(0.0, |v| settings.scheduler.plans[usize::from(v.plan)].limit);
        let id = volume.map_or(u32::MAX, |v| v.id.0);
        let at = |ms: f64| scenario_start_us + (ms * 1_000.0) as u64;
        let window = at(e.from.ms())..at(e.to.ms());
        let units: f64 = first_attempts
            .values()
            .filter(|(us, v, _)| *v == id && window.contains(us))
            .map(|(.., u)| u)
            .sum();
        let window_length_s = (e.to.ms() - e.from.ms()).max(1.0) / 1_000.0;
        // An empty sum of f64 is -0.0, which would be printed with its sign.
        let measured = (units / window_length_s / limit.max(1e-9)).max(0.0);
        let bounds = (e.at_least, e.at_most.unwrap_or(f64::INFINITY));
        ExpectationResult {
            volume: e.volume.clone(),
            window_s: (e.from.ms() / 1_000.0, e.to.ms() / 1_000.0),
            measured,
            bounds,
            met: measured >= bounds.0 && measured <= bounds.1,
        }
    };
    expectations.iter().map(evaluate_one).collect()
}
