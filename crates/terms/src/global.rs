//! Checks of the settings that apply to all classes, and of plans with a limit.

use crate::{ms, Entry, Rule, Violation};
use pearfork::Settings;

pub(crate) fn check(settings: &Settings, out: &mut Vec<Violation>) {
    let mut report = |rule, entry, key, problem: String, accepted: String| {
        out.push(Violation { rule, entry, key, problem, accepted });
    };
    let shortest = settings.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
    // The scheduler gives its final answer at the latest two rounds before the deadline, when the client
    // disconnects.
    if shortest <= 2.0 * settings.round_ms {
        report(
            Rule::OneAnswer,
            Entry::Rules,
            "round",
            format!(
                "a deadline of {} leaves no time for an answer with rounds of {}",
                ms(shortest),
                ms(settings.round_ms)
            ),
            format!("rounds below {}", ms(shortest / 2.0)),
        );
    }
    if settings.drain_grace_ms < settings.round_ms {
        report(
            Rule::Drains,
            Entry::Rules,
            "drain_grace",
            format!(
                "a grace of {} is shorter than a round of {}",
                ms(settings.drain_grace_ms),
                ms(settings.round_ms)
            ),
            format!("{} at least", ms(settings.round_ms)),
        );
    }
    if !(settings.cold_from > 0.0 && settings.cold_from <= 1.0) {
        report(
            Rule::ColdNodes,
            Entry::Rules,
            "cold_from",
            format!("a node starts with {} of its capacity", settings.cold_from),
            "above 0, and 1 at most".to_owned(),
        );
    }
    if settings.fall_multiple < 1.0 {
        report(
            Rule::ColdNodes,
            Entry::Rules,
            "fall_multiple",
            format!(
                "a node collapses at {} times its capacity, before it is fully used",
                settings.fall_multiple
            ),
            "1 at least".to_owned(),
        );
    }
    if settings.cold_units < settings.max_units {
        report(
            Rule::ColdNodes,
            Entry::Rules,
            "cold_units",
            format!(
                "a cold node accepts {} units and one request may cost {}",
                settings.cold_units, settings.max_units
            ),
            format!("{} at least", settings.max_units),
        );
    }
    if let Some(e) = settings.retry_budget {
        if e.span_ms <= 0.0 {
            report(
                Rule::RetryBudget,
                Entry::Rules,
                "retry_budget",
                "its span is 0: no request is ever counted".to_owned(),
                "a span above 0".to_owned(),
            );
        }
    }
    for (i, p) in settings.plans.iter().enumerate().filter(|(_, p)| p.limit > 0.0) {
        // Each host holds an equal share of the burst. A request that costs more than this share would never
        // be sent.
        let share = p.burst / f64::from(settings.hosts.max(1));
        if share < settings.max_units {
            report(
                Rule::Limits,
                Entry::Plan(i),
                "burst",
                format!(
                    "each of {} hosts has {share:.1} units of the burst, and one request may cost {}: it would never be sent",
                    settings.hosts, settings.max_units
                ),
                format!("a burst of {} at least, or smaller max_units", settings.max_units * f64::from(settings.hosts)),
            );
        }
    }
}
