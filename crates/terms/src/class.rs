//! What one class or route asks for its attempts.

use crate::{ms, Rule};
use pearfork::{Class, Effect, Settings};

/// Part of a window within which the module still repeats a keyed request.
const WINDOW_PART: f64 = 0.9;

pub(crate) fn check(s: &Settings, c: &Class, refuse: &mut impl FnMut(Rule, &'static str, String, String)) {
    let t = &c.attempt_policy;
    let attempts = if t.attempts == 0 { s.max_attempts } else { t.attempts };
    // When the last attempt would begin, at the latest.
    let pauses = f64::from(attempts.saturating_sub(1)) * (t.retry_delay_ms + t.retry_jitter_ms);
    let last_begins = f64::from(attempts.saturating_sub(1)) * t.attempt_timeout_ms + pauses;
    let asks_more = t.attempts > 1;
    let doubles = t.hedge_after_ms > 0.0;

    if c.aim_ms > c.deadline_ms {
        refuse(
            Rule::OneAnswer,
            "aim",
            format!(
                "wants an answer within {} and its clients leave after {}",
                ms(c.aim_ms),
                ms(c.deadline_ms)
            ),
            format!("an aim of {} at most", ms(c.deadline_ms)),
        );
    }
    if t.attempts > s.max_attempts {
        refuse(
            Rule::RetryBudget,
            "attempts",
            format!("asks for {} attempts, and rules.max_attempts is {}", t.attempts, s.max_attempts),
            format!("{} at most, or a larger max_attempts", s.max_attempts),
        );
    }
    if t.attempt_timeout_ms > c.deadline_ms {
        refuse(
            Rule::OneAnswer,
            "attempt",
            format!("gives one attempt {} and has {} in all", ms(t.attempt_timeout_ms), ms(c.deadline_ms)),
            format!("{} at most", ms(c.deadline_ms)),
        );
    } else if asks_more && t.attempt_timeout_ms > 0.0 && last_begins + t.attempt_timeout_ms > c.deadline_ms {
        let each = ((c.deadline_ms - pauses) / f64::from(attempts)).max(0.0).floor();
        refuse(
            Rule::OneAnswer,
            "attempts",
            format!(
                "asks for {attempts} attempts of {} with their pauses, {} in all, and has {}",
                ms(t.attempt_timeout_ms),
                ms(last_begins + t.attempt_timeout_ms),
                ms(c.deadline_ms)
            ),
            if each > 0.0 {
                format!("an attempt of {} at most, fewer attempts, or a longer deadline", ms(each))
            } else {
                "shorter pauses, fewer attempts, or a longer deadline".to_owned()
            },
        );
    } else if asks_more && t.attempt_timeout_ms == 0.0 && pauses >= c.deadline_ms {
        refuse(
            Rule::OneAnswer,
            "retry_pause",
            format!("pauses {} over its attempts and has {} in all", ms(pauses), ms(c.deadline_ms)),
            "shorter pauses or fewer attempts".to_owned(),
        );
    }

    if doubles {
        double(s, c, refuse);
    }
    if c.effect == Effect::Unsafe && asks_more && t.attempt_timeout_ms > 0.0 {
        refuse(
            Rule::NoEffectTwice,
            "attempts",
            "must not run twice, and an attempt that timed out may have run: no other follows it".to_owned(),
            "attempts = 1 or no time-out of an attempt, or an effect that permits repeats".to_owned(),
        );
    }
    if c.effect == Effect::Keyed
        && asks_more
        && t.attempt_timeout_ms > 0.0
        && last_begins >= c.window_ms * WINDOW_PART
    {
        refuse(
            Rule::NoEffectTwice,
            "attempts",
            format!(
                "may begin its last attempt {} after its first, and repeats are dropped for {}: beyond {} none is sent",
                ms(last_begins),
                ms(c.window_ms),
                ms(c.window_ms * WINDOW_PART)
            ),
            "shorter or fewer attempts, or a longer window where the nodes keep one".to_owned(),
        );
    }
    // Danger: an attempt that timed out may still run while the next request on its extent does.
    if c.ordered && t.attempt_timeout_ms > 0.0 && s.key_rest_ms <= 0.0 {
        refuse(
            Rule::Order,
            "attempt",
            "is ordered, and an attempt that timed out may still run when the next request on its extent goes".to_owned(),
            "rules.key_rest as long as a node may still work on it, or no time-out of an attempt".to_owned(),
        );
    }
    let budget = s.retry_budget.map_or(f64::INFINITY, |e| if e.ratio > 0.0 { f64::INFINITY } else { e.free });
    if (asks_more || doubles) && budget < 1.0 {
        refuse(
            Rule::RetryBudget,
            if doubles { "second_copy_after" } else { "attempts" },
            "asks for further attempts, and the retry budget never has one".to_owned(),
            "a rules.retry_budget with free = 1 at least or a ratio above 0, or attempts = 1".to_owned(),
        );
    }
}

fn double(s: &Settings, c: &Class, refuse: &mut impl FnMut(Rule, &'static str, String, String)) {
    const KEY: &str = "second_copy_after";
    let t = &c.attempt_policy;
    if c.effect == Effect::Unsafe {
        refuse(
            Rule::NoEffectTwice,
            KEY,
            "permits a second copy, and must not run twice".to_owned(),
            "no second_copy_after, or an effect that permits repeats".to_owned(),
        );
    }
    if c.effect == Effect::Keyed && t.hedge_after_ms >= c.window_ms * WINDOW_PART {
        refuse(
            Rule::NoEffectTwice,
            KEY,
            format!(
                "sends its second copy after {}, and repeats are dropped for {}",
                ms(t.hedge_after_ms),
                ms(c.window_ms)
            ),
            format!("less than {}", ms(c.window_ms * WINDOW_PART)),
        );
    }
    if c.ordered {
        refuse(
            Rule::Order,
            KEY,
            "is ordered: two copies out together would run beside each other on one extent".to_owned(),
            "no second_copy_after, or ordered = false".to_owned(),
        );
    }
    if !s.hedging {
        refuse(
            Rule::RetryBudget,
            KEY,
            "permits a second copy, and rules.second_copies is false".to_owned(),
            "rules.second_copies = true, or no second_copy_after".to_owned(),
        );
    } else if s.retry_budget.is_none() {
        refuse(
            Rule::RetryBudget,
            KEY,
            "permits second copies without a budget: slow nodes would get twice the work".to_owned(),
            "a rules.retry_budget".to_owned(),
        );
    }
    if t.attempts == 1 || s.max_attempts == 1 {
        refuse(
            Rule::RetryBudget,
            KEY,
            "permits a second copy and one attempt".to_owned(),
            "attempts = 2 at least".to_owned(),
        );
    }
    let least =
        if t.attempt_timeout_ms > 0.0 { t.attempt_timeout_ms.min(c.deadline_ms) } else { c.deadline_ms };
    if t.hedge_after_ms >= least {
        refuse(
            Rule::OneAnswer,
            KEY,
            format!("sends its second copy after {}, when the first is over", ms(t.hedge_after_ms)),
            format!("less than {}", ms(least)),
        );
    }
}
