//! Checks settings against the seven rules before a host starts. No I/O, no clock.
//!
//! The scheduler keeps the rules under any settings: it never hedges a request that must not run twice, and a
//! retry beyond the budget waits. It cannot tell an operator that the settings ask for something that will
//! never happen, or that leaves a rule no room. This crate reports such settings with the rule, the problem,
//! and what would be accepted instead.
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
//! let violations = pearfork_terms::check(&with(class), &["booking"]);
//! assert_eq!(violations[0].rule, pearfork_terms::Rule::NoEffectTwice);
//! ```

mod class;
mod global;

use pearfork::Settings;

/// The seven rules, in the order of their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Rule 1: each accepted request gets exactly one final answer in time.
    OneAnswer,
    /// Rule 2: no effect takes place twice.
    NoEffectTwice,
    /// Rule 3: no new attempt is sent to a draining node after its grace period.
    Drains,
    /// Rule 4: a cold node is not overloaded.
    ColdNodes,
    /// Rule 5: requests of an ordered class run in order on each extent.
    Order,
    /// Rule 6: retries and hedges stay within a budget.
    RetryBudget,
    /// Rule 7: all hosts together keep the limits of a volume.
    Limits,
}

impl Rule {
    /// All rules, in order.
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

/// The part of the settings that a violation is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// A class or route, by index.
    Class(usize),
    /// A plan, by index.
    Plan(usize),
    /// The settings that apply to all classes.
    Rules,
}

/// A setting that conflicts with one of the rules.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{rule}: {problem}; accepted: {accepted}")]
pub struct Violation {
    /// The rule that the setting conflicts with.
    pub rule: Rule,
    /// The part of the settings that contains it.
    pub entry: Entry,
    /// The key in the settings file.
    pub key: &'static str,
    /// Description of the conflict.
    pub problem: String,
    /// What would be accepted instead.
    pub accepted: String,
}

/// Returns all violations, sorted by rule and then in the order of the entries. `names` holds the names of
/// the classes for use in the messages.
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

/// Formats milliseconds as in a settings file.
fn ms(v: f64) -> String {
    // Rounds to microseconds, so that sums of configured values do not show floating-point noise.
    format!("{}ms", (v * 1e3).round() / 1e3)
}
