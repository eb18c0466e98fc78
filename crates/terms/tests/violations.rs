//! Settings that conflict with a rule are reported under it, and what the message says is accepted is
//! accepted.

use pearfork::{AttemptPolicy, Class, Effect, Group, Plan, RetryBudget, Settings};
use pearfork_terms::{check, Entry, Rule, Violation};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn class(effect: Effect) -> Class {
    Class {
        aim_ms: 100.0,
        deadline_ms: 1000.0,
        worth: 1.0,
        late_worth: 0.1,
        effect,
        group: Group::Shard,
        window_ms: 1200.0,
        ordered: false,
        attempt_policy: AttemptPolicy { attempt_timeout_ms: 200.0, attempts: 3, ..AttemptPolicy::default() },
    }
}

fn valid_settings() -> Settings {
    Settings {
        hosts: 2,
        classes: vec![class(Effect::Safe), class(Effect::Keyed)],
        plans: vec![Plan {
            nominal: 10.0,
            reserve: 0.0,
            weight: 1.0,
            worth_factor: 1.0,
            limit: 10.0,
            burst: 20.0,
            slack: 0.0,
        }],
        list_on_request: false,
        round_ms: 2.0,
        max_attempts: 4,
        cancel: true,
        hedging: true,
        max_retry_after_ms: 1000.0,
        retry_budget: Some(RetryBudget { free: 3.0, ratio: 0.1, span_ms: 5000.0 }),
        drain_grace_ms: 2000.0,
        cold_from: 0.2,
        warm_after_ms: 10_000.0,
        fall_multiple: 2.0,
        fall_ms: 2000.0,
        cold_units: 20.0,
        key_rest_ms: 500.0,
        mean_units: 2.0,
        max_units: 6.0,
        share_worth: 0.5,
        spare_worth: 0.05,
        meter_ms: 0.0,
    }
}

fn violations(change: impl FnOnce(&mut Settings)) -> Vec<Violation> {
    let mut s = valid_settings();
    change(&mut s);
    check(&s, &["roster-read", "visit-note"])
}

/// The rule, key and message of a change that must cause exactly one violation.
fn single_violation(change: impl FnOnce(&mut Settings)) -> (Rule, &'static str, String) {
    let mut found = violations(change);
    assert_eq!(found.len(), 1, "{found:#?}");
    let v = found.remove(0);
    (v.rule, v.key, v.to_string())
}

#[test]
fn valid_settings_have_no_violations() {
    assert_eq!(violations(|_| {}), []);
    assert_eq!(violations(|s| s.classes[0].attempt_policy.hedge_after_ms = 80.0), []);
    assert_eq!(
        violations(|s| s.classes.iter_mut().for_each(|c| c.attempt_policy = AttemptPolicy::default())),
        []
    );
    assert_eq!(violations(|s| s.classes[1].ordered = true), []);
}

#[test]
fn each_violation_names_its_rule_key_and_accepted_value() {
    use Rule::*;
    type Change = fn(&mut Settings);
    let cases: Vec<(Change, Rule, &str, &str)> = vec![
        (|s| s.classes[0].aim_ms = 2000.0, OneAnswer, "aim", "an aim of 1000ms at most"),
        (|s| s.classes[0].attempt_policy.attempt_timeout_ms = 1001.0, OneAnswer, "attempt", "1000ms at most"),
        (
            |s| s.classes[0].attempt_policy.attempt_timeout_ms = 400.0,
            OneAnswer,
            "attempts",
            "an attempt of 333ms at most",
        ),
        (|s| s.classes[0].attempt_policy.retry_delay_ms = 500.0, OneAnswer, "attempts", "shorter pauses"),
        (
            |s| s.classes[0].attempt_policy.hedge_after_ms = 200.0,
            OneAnswer,
            "second_copy_after",
            "less than 200ms",
        ),
        (|s| s.round_ms = 600.0, OneAnswer, "round", "rounds below 500ms"),
        (|s| s.classes[1].window_ms = 400.0, NoEffectTwice, "attempts", "a longer window"),
        (
            |s| (s.classes[0].effect, s.classes[0].attempt_policy.attempt_timeout_ms) = (Effect::Unsafe, 0.0),
            NoEffectTwice,
            "",
            "",
        ),
        (|s| s.classes[0].effect = Effect::Unsafe, NoEffectTwice, "attempts", "attempts = 1 or no time-out"),
        (|s| s.drain_grace_ms = 1.0, Drains, "drain_grace", "2ms at least"),
        (|s| s.cold_from = 0.0, ColdNodes, "cold_from", "above 0"),
        (|s| s.fall_multiple = 0.5, ColdNodes, "fall_multiple", "1 at least"),
        (|s| s.cold_units = 5.0, ColdNodes, "cold_units", "6 at least"),
        (|s| (s.classes[0].ordered, s.key_rest_ms) = (true, 0.0), Order, "attempt", "rules.key_rest"),
        (|s| s.classes[0].attempt_policy.attempts = 5, RetryBudget, "attempts", "4 at most"),
        (
            |s| s.retry_budget = Some(pearfork::RetryBudget { free: 1.0, ratio: 0.0, span_ms: 0.0 }),
            RetryBudget,
            "retry_budget",
            "above 0",
        ),
        (|s| s.plans[0].burst = 8.0, Limits, "burst", "a burst of 12 at least"),
    ];
    for (n, (change, rule, key, accepted)) in cases.into_iter().enumerate() {
        if key.is_empty() {
            // Without an attempt time-out, an unsafe request is only retried if the first attempt never ran.
            assert_eq!(violations(change), []);
            continue;
        }
        let (found_rule, found_key, message) = single_violation(change);
        // Five attempts of 200 ms fit exactly into a deadline of 1000 ms.
        assert_eq!((found_rule, found_key), (rule, key), "case {n}: {message}");
        assert!(message.contains(accepted) && message.contains(&rule.to_string()), "case {n}: {message}");
    }
}

#[test]
fn hedging_is_rejected_where_repeats_are_not_permitted() {
    let rules = |change: fn(&mut Settings)| {
        let found = violations(|s| {
            s.classes[0].attempt_policy.hedge_after_ms = 80.0;
            change(s);
        });
        found.into_iter().map(|v| (v.rule, v.key)).collect::<Vec<_>>()
    };
    let key = "second_copy_after";
    assert!(rules(|s| s.classes[0].effect = Effect::Unsafe).contains(&(Rule::NoEffectTwice, key)));
    assert_eq!(rules(|s| s.classes[0].ordered = true), [(Rule::Order, key)]);
    assert_eq!(rules(|s| s.hedging = false), [(Rule::RetryBudget, key)]);
    assert_eq!(rules(|s| s.retry_budget = None), [(Rule::RetryBudget, key)]);
    assert_eq!(rules(|s| s.classes[0].attempt_policy.attempts = 1), [(Rule::RetryBudget, key)]);
    let exhausted_budget =
        |s: &mut Settings| s.retry_budget = Some(RetryBudget { free: 0.5, ratio: 0.0, span_ms: 1000.0 });
    assert!(rules(exhausted_budget).iter().all(|r| r.0 == Rule::RetryBudget));
    let short_window =
        |s: &mut Settings| (s.classes[0].effect, s.classes[0].window_ms) = (Effect::Keyed, 85.0);
    assert!(rules(short_window).contains(&(Rule::NoEffectTwice, key)));
}

#[test]
fn all_violations_are_reported_in_the_order_of_the_rules() {
    let found = violations(|s| {
        s.plans[0].burst = 1.0;
        s.cold_units = 1.0;
        s.classes[1].attempt_policy.attempts = 9;
        s.classes[0].aim_ms = 5000.0;
    });
    let rules: Vec<Rule> = found.iter().map(|r| r.rule).collect();
    let mut sorted = rules.clone();
    sorted.sort();
    assert_eq!(rules, sorted);
    assert!(
        found.iter().any(|v| v.entry == Entry::Plan(0)) && found.iter().any(|v| v.entry == Entry::Class(1))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(2000) })]

    /// In accepted settings the last attempt begins and ends within the deadline, a keyed one begins within
    /// its window, and a hedge is sent while the first attempt is still in flight.
    #[test]
    fn accepted_attempt_policies_are_feasible(
        timeout in prop_oneof![Just(0.0), 1.0f64..1500.0], attempts in 0u32..7, delay in 0.0f64..400.0, jitter in 0.0f64..200.0,
        hedge_after in prop_oneof![Just(0.0), 1.0f64..1500.0], effect in 0usize..3, window in 0.0f64..2000.0, max in 1u32..6,
        budget in proptest::option::of((0.0f64..3.0, 0.0f64..0.2)), hedging: bool, ordered: bool,
    ) {
        let mut s = valid_settings();
        s.max_attempts = max;
        s.hedging = hedging;
        s.retry_budget = budget.map(|(free, ratio)| RetryBudget { free, ratio, span_ms: 1000.0 });
        let effect = [Effect::Safe, Effect::Keyed, Effect::Unsafe][effect];
        let attempt_policy = AttemptPolicy { attempt_timeout_ms: timeout, attempts, retry_delay_ms: delay, retry_jitter_ms: jitter, hedge_after_ms: hedge_after };
        s.classes = vec![Class { window_ms: window, ordered, attempt_policy, ..class(effect) }];
        if check(&s, &["generated"]).is_empty() {
            let last = f64::from(attempts.saturating_sub(1)) * (timeout + delay + jitter);
            if attempts > 1 {
                prop_assert!(last + timeout <= 1000.0, "the last attempt ends after the deadline");
                prop_assert!(effect != Effect::Keyed || timeout == 0.0 || last < window, "past the window");
                prop_assert!(attempts <= max);
            }
            if hedge_after > 0.0 {
                prop_assert!(hedging && effect != Effect::Unsafe && !ordered && budget.is_some());
                prop_assert!(hedge_after < 1000.0 && (timeout == 0.0 || hedge_after < timeout));
            }
        }
    }

    #[test]
    fn arbitrary_numbers_do_not_panic(numbers in proptest::collection::vec(any::<f64>(), 12), counts: [u32; 4]) {
        let mut s = valid_settings();
        let f = |n: usize| numbers[n];
        (s.round_ms, s.drain_grace_ms, s.cold_from, s.fall_multiple, s.cold_units, s.max_units) =
            (f(0), f(1), f(2), f(3), f(4), f(5));
        (s.hosts, s.max_attempts) = (counts[0], counts[1]);
        s.classes[0].attempt_policy = AttemptPolicy { attempt_timeout_ms: f(6), attempts: counts[2], retry_delay_ms: f(7), retry_jitter_ms: f(8), hedge_after_ms: f(9) };
        (s.classes[1].window_ms, s.plans[0].burst) = (f(10), f(11));
        s.classes[1].attempt_policy.attempts = counts[3];
        check(&s, &["one"]).iter().for_each(|v| drop(v.to_string()));
    }
}
