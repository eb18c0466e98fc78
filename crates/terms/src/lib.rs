//! Holds settings against the seven rules before a host starts by them. No I/O, no clock.
//!
//! The module keeps the rules whatever it is told: a second copy of what must not run twice is never sent, an attempt
//! beyond the budget waits. What it can't do is tell an operator that the file asks for something that will never
//! happen, or that leaves a rule no room. That is told here, with the rule, what is asked, and what would be accepted.
//!
//! ```
//! # use pearfork::*;
//! # fn with(class: Class) -> Settings { Settings { hosts: 1, classes: vec![class], plans: vec![Plan { nominal: 1.0,
//! #   reserve: 0.0, weight: 1.0, worth_factor: 1.0, limit: 0.0, burst: 0.0, slack: 0.0 }], list_on_request: false, round_ms: 2.0,
//! #   max_attempts: 4, cancel: true, hedging: true, max_retry_after_ms: 1.0, retry_budget: Some(RetryBudget { free: 3.0,
//! #   ratio: 0.1, span_ms: 5000.0 }), drain_grace_ms: 2000.0, cold_from: 0.2, warm_after_ms: 9000.0, fall_multiple: 2.0,
//! #   fall_ms: 2000.0, cold_units: 40.0, key_rest_ms: 0.0, mean_units: 2.0, max_units: 6.0, share_worth: 1.0,
//! #   spare_worth: 1.0, meter_ms: 0.0 } }
//! let attempt_policy = AttemptPolicy { hedge_after_ms: 50.0, ..AttemptPolicy::default() };
//! let class = Class { aim_ms: 100.0, deadline_ms: 1000.0, worth: 1.0, late_worth: 0.0, effect: Effect::Unsafe,
//!     group: Group::All, window_ms: 0.0, ordered: false, attempt_policy };
//! let refusals = pearfork_terms::check(&with(class), &["booking"]);
//! assert_eq!(refusals[0].rule, pearfork_terms::Rule::NoEffectTwice);
//! ```

mod class;
mod global;

use pearfork::Settings;

/// The seven rules, by their order in the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each request taken gets one final answer in time.
    OneAnswer,
    /// No effect takes place twice.
    NoEffectTwice,
    /// Nothing new goes to a node past the grace of its drain.
    Drains,
    /// A cold node is not pushed over.
    ColdNodes,
    /// Requests on one extent run in order where their class asks for it.
    Order,
    /// Further attempts stay within a budget.
    RetryBudget,
    /// All hosts together keep the limits of a volume.
    Limits,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 7] = [
        Rule::OneAnswer,
        Rule::NoEffectTwice,
        Rule::Drains,
        Rule::ColdNodes,
        Rule::Order,
        Rule::RetryBudget,
        Rule::Limits,
    ];
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::OneAnswer => "rule 1, one final answer in time",
            Rule::NoEffectTwice => "rule 2, no effect twice",
            Rule::Drains => "rule 3, drains",
            Rule::ColdNodes => "rule 4, cold nodes",
            Rule::Order => "rule 5, order",
            Rule::RetryBudget => "rule 6, retry budget",
            Rule::Limits => "rule 7, limits",
        })
    }
}

/// Where in the settings something stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A class or route, by position.
    Class(usize),
    /// A plan, by position.
    Plan(usize),
    /// The figures for all.
    Rules,
}

/// Something that is asked and can't be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{rule}: {problem}; accepted: {accepted}")]
pub struct Violation {
    /// The rule that stands against it.
    pub rule: Rule,
    /// Where it is asked.
    pub entry: Entry,
    /// The key of the settings file.
    pub key: &'static str,
    /// What is wrong, in plain words.
    pub problem: String,
    /// What would be accepted.
    pub accepted: String,
}

/// All refusals, in the order of the rules and then of the entries. `names` are those of the classes, for the words.
pub fn check(settings: &Settings, names: &[impl AsRef<str>]) -> Vec<Violation> {
    let mut out = Vec::new();
    for (i, class) in settings.classes.iter().enumerate() {
        let name = names.get(i).map_or("", AsRef::as_ref);
        class::check(settings, class, &mut |rule, key, problem, accepted| {
            let problem = format!("`{name}` {problem}");
            out.push(Violation { rule, entry: Entry::Class(i), key, problem, accepted });
        });
    }
    global::check(settings, &mut out);
    out.sort_by_key(|r| r.rule);
    out
}

/// Milliseconds as a settings file writes them.
fn ms(v: f64) -> String {
    // To the microsecond: a sum of figures of the file must not show the noise of its last bits.
    format!("{}ms", (v * 1e3).round() / 1e3)
}
