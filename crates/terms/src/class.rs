//! Checks of the attempt policy of one class or route.

use crate::{ms, Rule};
use pearfork::{Class, Effect, Settings};

/// Fraction of a keyed class's deduplication window within which the scheduler still retries a request.
const WINDOW_FRACTION: f64 = 0.9;

pub(crate) fn check(
    settings: &Settings,
    class: &Class,
    report: &mut impl FnMut(Rule, &'static str, String, String),
) {
    let policy = &class.attempt_policy;
    let attempts = if policy.attempts == 0 { settings.max_attempts } else { policy.attempts };
    // The latest start of the last attempt, if every attempt runs to its time-out.
    let total_delay =
        f64::from(attempts.saturating_sub(1)) * (policy.retry_delay_ms + policy.retry_jitter_ms);
    let last_attempt_start = f64::from(attempts.saturating_sub(1)) * policy.attempt_timeout_ms + total_delay;
    let has_retries = policy.attempts > 1;
    let has_hedge = policy.hedge_after_ms > 0.0;

    if class.aim_ms > class.deadline_ms {
        report(
            Rule::OneAnswer,
            "aim",
            format!(
                "wants an answer within {} and its clients disconnect after {}",
                ms(class.aim_ms),
                ms(class.deadline_ms)
            ),
            format!("an aim of {} at most", ms(class.deadline_ms)),
        );
    }
    if policy.attempts > settings.max_attempts {
        report(
            Rule::RetryBudget,
            "attempts",
            format!(
                "asks for {} attempts, and rules.max_attempts is {}",
                policy.attempts, settings.max_attempts
            ),
            format!("{} at most, or a larger max_attempts", settings.max_attempts),
        );
    }
    if policy.attempt_timeout_ms > class.deadline_ms {
        report(
            Rule::OneAnswer,
            "attempt",
            format!(
                "gives one attempt {} and has {} in total",
                ms(policy.attempt_timeout_ms),
                ms(class.deadline_ms)
            ),
            format!("{} at most", ms(class.deadline_ms)),
        );
    } else if has_retries
        && policy.attempt_timeout_ms > 0.0
        && last_attempt_start + policy.attempt_timeout_ms > class.deadline_ms
    {
        let max_timeout = ((class.deadline_ms - total_delay) / f64::from(attempts)).max(0.0).floor();
        report(
            Rule::OneAnswer,
            "attempts",
            format!(
                "asks for {attempts} attempts of {} with their pauses, {} in total, and has {}",
                ms(policy.attempt_timeout_ms),
                ms(last_attempt_start + policy.attempt_timeout_ms),
                ms(class.deadline_ms)
            ),
            if max_timeout > 0.0 {
                format!("an attempt of {} at most, fewer attempts, or a longer deadline", ms(max_timeout))
            } else {
                "shorter pauses, fewer attempts, or a longer deadline".to_owned()
            },
        );
    } else if has_retries && policy.attempt_timeout_ms == 0.0 && total_delay >= class.deadline_ms {
        report(
            Rule::OneAnswer,
            "retry_pause",
            format!(
                "pauses {} between its attempts and has {} in total",
                ms(total_delay),
                ms(class.deadline_ms)
            ),
            "shorter pauses or fewer attempts".to_owned(),
        );
    }

    if has_hedge {
        check_hedge(settings, class, report);
    }
    if class.effect == Effect::Unsafe && has_retries && policy.attempt_timeout_ms > 0.0 {
        report(
            Rule::NoEffectTwice,
            "attempts",
            "must not run twice, and an attempt that timed out may have run: it is not retried".to_owned(),
            "attempts = 1 or no time-out of an attempt, or an effect that permits repeats".to_owned(),
        );
    }
    if class.effect == Effect::Keyed
        && has_retries
        && policy.attempt_timeout_ms > 0.0
        && last_attempt_start >= class.window_ms * WINDOW_FRACTION
    {
        report(
            Rule::NoEffectTwice,
            "attempts",
            format!(
                "may begin its last attempt {} after its first, and nodes drop repeats for {}: after {} no retry is sent",
                ms(last_attempt_start),
                ms(class.window_ms),
                ms(class.window_ms * WINDOW_FRACTION)
            ),
            "shorter or fewer attempts, or a longer window where the nodes keep one".to_owned(),
        );
    }
    // An attempt that timed out may still run on the node while the next request on its extent does, out of
    // order.
    if class.ordered && policy.attempt_timeout_ms > 0.0 && settings.key_rest_ms <= 0.0 {
        report(
            Rule::Order,
            "attempt",
            "is ordered, and an attempt that timed out may still run when the next request on its extent is sent".to_owned(),
            "rules.key_rest as long as a node may still work on the attempt, or no time-out of an attempt".to_owned(),
        );
    }
    let max_extra_attempts =
        settings.retry_budget.map_or(f64::INFINITY, |e| if e.ratio > 0.0 { f64::INFINITY } else { e.free });
    if (has_retries || has_hedge) && max_extra_attempts < 1.0 {
        report(
            Rule::RetryBudget,
            if has_hedge { "second_copy_after" } else { "attempts" },
            "asks for retries or second copies, and the retry budget never permits one".to_owned(),
            "a rules.retry_budget with free = 1 at least or a ratio above 0, or attempts = 1".to_owned(),
        );
    }
}

/// Checks `second_copy_after`, the delay after which a hedged attempt is sent.
fn check_hedge(
    settings: &Settings,
    class: &Class,
    report: &mut impl FnMut(Rule, &'static str, String, String),
) {
    const KEY: &str = "second_copy_after";
    let policy = &class.attempt_policy;
    if class.effect == Effect::Unsafe {
        report(
            Rule::NoEffectTwice,
            KEY,
            "permits a second copy, and must not run twice".to_owned(),
            "no second_copy_after, or an effect that permits repeats".to_owned(),
        );
    }
    if class.effect == Effect::Keyed && policy.hedge_after_ms >= class.window_ms * WINDOW_FRACTION {
        report(
            Rule::NoEffectTwice,
            KEY,
            format!(
                "sends its second copy after {}, and nodes drop repeats for {}",
                ms(policy.hedge_after_ms),
                ms(class.window_ms)
            ),
            format!("less than {}", ms(class.window_ms * WINDOW_FRACTION)),
        );
    }
    if class.ordered {
        report(
            Rule::Order,
            KEY,
            "is ordered: two copies in flight would run beside each other on one extent".to_owned(),
            "no second_copy_after, or ordered = false".to_owned(),
        );
    }
    if !settings.hedging {
        report(
            Rule::RetryBudget,
            KEY,
            "permits a second copy, and rules.second_copies is false".to_owned(),
            "rules.second_copies = true, or no second_copy_after".to_owned(),
        );
    } else if settings.retry_budget.is_none() {
        report(
            Rule::RetryBudget,
            KEY,
            "permits second copies without a budget: slow nodes would get twice the work".to_owned(),
            "a rules.retry_budget".to_owned(),
        );
    }
    if policy.attempts == 1 || settings.max_attempts == 1 {
        report(
            Rule::RetryBudget,
            KEY,
            "permits a second copy and only one attempt".to_owned(),
            "attempts = 2 at least".to_owned(),
        );
    }
    let attempt_end = if policy.attempt_timeout_ms > 0.0 {
        policy.attempt_timeout_ms.min(class.deadline_ms)
    } else {
        class.deadline_ms
    };
    if policy.hedge_after_ms >= attempt_end {
        report(
            Rule::OneAnswer,
            KEY,
            format!("sends its second copy after {}, when the first is over", ms(policy.hedge_after_ms)),
            format!("less than {}", ms(attempt_end)),
        );
    }
}
