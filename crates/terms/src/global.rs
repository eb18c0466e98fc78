//! Figures for all classes: grace, cold nodes, budget, limits, and what a lone host can keep of them.

use crate::{ms, Entry, Rule, Violation};
use pearfork::Settings;

pub(crate) fn check(s: &Settings, out: &mut Vec<Violation>) {
    let mut refuse = |rule, entry, key, problem: String, accepted: String| {
        out.push(Violation { rule, entry, key, problem, accepted });
    };
    let shortest = s.classes.iter().map(|c| c.deadline_ms).fold(f64::INFINITY, f64::min);
    // The module's last word on a request is two rounds before its client leaves.
    if shortest <= 2.0 * s.round_ms {
        refuse(
            Rule::OneAnswer,
            Entry::Rules,
            "round",
            format!(
                "a deadline of {} leaves no time for an answer with rounds of {}",
                ms(shortest),
                ms(s.round_ms)
            ),
            format!("rounds below {}", ms(shortest / 2.0)),
        );
    }
    if s.drain_grace_ms < s.round_ms {
        refuse(
            Rule::Drains,
            Entry::Rules,
            "drain_grace",
            format!("a grace of {} is shorter than a round of {}", ms(s.drain_grace_ms), ms(s.round_ms)),
            format!("{} at least", ms(s.round_ms)),
        );
    }
    if !(s.cold_from > 0.0 && s.cold_from <= 1.0) {
        refuse(
            Rule::ColdNodes,
            Entry::Rules,
            "cold_from",
            format!("a node starts with {} of its capacity", s.cold_from),
            "above 0, and 1 at most".to_owned(),
        );
    }
    if s.fall_multiple < 1.0 {
        refuse(
            Rule::ColdNodes,
            Entry::Rules,
            "fall_multiple",
            format!("a node falls over at {} of what it can do, before it is full", s.fall_multiple),
            "1 at least".to_owned(),
        );
    }
    if s.cold_units < s.max_units {
        refuse(
            Rule::ColdNodes,
            Entry::Rules,
            "cold_units",
            format!("a cold node bears {} units and one request may have {}", s.cold_units, s.max_units),
            format!("{} at least", s.max_units),
        );
    }
    if let Some(e) = s.retry_budget {
        if e.span_ms <= 0.0 {
            refuse(
                Rule::RetryBudget,
                Entry::Rules,
                "retry_budget",
                "its span is 0: nothing is ever counted".to_owned(),
                "a span above 0".to_owned(),
            );
        }
    }
    for (i, p) in s.plans.iter().enumerate().filter(|(_, p)| p.limit > 0.0) {
        // Danger: a host has an even part of the store; a request larger than that part would never go.
        let part = p.burst / f64::from(s.hosts.max(1));
        if part < s.max_units {
            refuse(
                Rule::Limits,
                Entry::Plan(i),
                "burst",
                format!(
                    "each of {} hosts has {part:.1} units of the burst, and one request may have {}: it would never go",
                    s.hosts, s.max_units
                ),
                format!("a burst of {} at least, or smaller max_units", s.max_units * f64::from(s.hosts)),
            );
        }
    }
}
