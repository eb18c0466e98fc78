//! Parses the settings object. Unknown keys are ignored; an error names the key that is missing or invalid.

use pearfork::{AttemptPolicy, Class, Effect, Group, Plan, RetryBudget, Settings};
use serde_json::Value;

/// Positions of the load figures in a node's load report; `None` for a figure that is not reported.
#[derive(Debug, Default, PartialEq)]
pub struct LoadReportFields {
    /// Number of queued requests.
    pub queue: Option<usize>,
    /// Number of requests in flight.
    pub in_flight: Option<usize>,
    /// Recent service time.
    pub latency: Option<usize>,
    /// CPU utilization.
    pub util: Option<usize>,
}

/// Returns the value at a path of keys separated by dots. A null value counts as absent.
fn find_value<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn parse_number(v: &Value, path: &str, prefix: &str) -> Result<f64, String> {
    let value = find_value(v, path).ok_or_else(|| format!("setting {prefix}{path} is missing"))?;
    match value.as_f64() {
        Some(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => Err(format!("setting {prefix}{path} is invalid: {value}")),
    }
}

/// Returns a finite number that is not negative, or `default` where the value is absent or null. Messages
/// name the setting as `prefix` followed by `path`.
fn parse_number_or(v: &Value, path: &str, prefix: &str, default: f64) -> Result<f64, String> {
    match find_value(v, path) {
        None => Ok(default),
        Some(_) => parse_number(v, path, prefix),
    }
}

fn parse_flag(v: &Value, path: &str) -> Result<bool, String> {
    match find_value(v, path) {
        None => Ok(false),
        Some(value) => value.as_bool().ok_or_else(|| format!("setting {path} is invalid: {value}")),
    }
}

fn parse_list<'a>(v: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match find_value(v, path) {
        None => Err(format!("setting {path} is missing")),
        Some(Value::Array(a)) => Ok(a),
        Some(value) => Err(format!("setting {path} is invalid: {value}")),
    }
}

fn parse_class(v: &Value, prefix: &str) -> Result<Class, String> {
    let text = |path: &str| find_value(v, path).and_then(Value::as_str).unwrap_or("");
    let effect = match text("Effect") {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::Unsafe,
        "" => return Err(format!("setting {prefix}Effect is missing")),
        other => return Err(format!("setting {prefix}Effect is invalid: {other}")),
    };
    let group = match text("Group") {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Shard,
        "" if effect != Effect::Keyed => Group::All,
        "" => return Err(format!("setting {prefix}Group is missing")),
        other => return Err(format!("setting {prefix}Group is invalid: {other}")),
    };
    let window_ms = match effect {
        Effect::Keyed => parse_number(v, "WindowMs", prefix)?,
        _ => parse_number_or(v, "WindowMs", prefix, 0.0)?,
    };
    Ok(Class {
        aim_ms: parse_number(v, "GoalTimeMs", prefix)?,
        deadline_ms: parse_number(v, "DeadlineMs", prefix)?,
        worth: parse_number(v, "Gain", prefix)?,
        late_worth: parse_number_or(v, "LateShare", prefix, 0.0)?,
        effect,
        group,
        window_ms,
        ordered: parse_flag(v, "FifoByKey")?,
        attempt_policy: AttemptPolicy::default(),
    })
}

fn parse_plan(v: &Value, prefix: &str) -> Result<Plan, String> {
    Ok(Plan {
        nominal: parse_number_or(v, "Nominal", prefix, 0.0)?,
        reserve: parse_number_or(v, "Reservation", prefix, 0.0)?,
        weight: parse_number_or(v, "Weight", prefix, 1.0)?,
        worth_factor: parse_number_or(v, "Pays", prefix, 1.0)?,
        limit: parse_number_or(v, "Cap", prefix, 0.0)?,
        burst: parse_number_or(v, "Burst", prefix, 0.0)?,
        slack: parse_number_or(v, "CapSlack", prefix, 0.0)?,
    })
}

/// Parses the JSON text of the settings.
///
/// # Errors
/// The text is not JSON, or an error of [`parse_value`].
pub fn parse(params: &[u8]) -> Result<(Settings, LoadReportFields), String> {
    let v: Value = serde_json::from_slice(params).map_err(|e| format!("settings are not valid JSON: {e}"))?;
    parse_value(&v)
}

/// Parses settings from a JSON value.
///
/// # Errors
/// A setting is missing or invalid; the message names its path.
pub fn parse_value(v: &Value) -> Result<(Settings, LoadReportFields), String> {
    let mut classes = Vec::new();
    for (i, c) in parse_list(v, "Classes")?.iter().enumerate() {
        classes.push(parse_class(c, &format!("Classes[{i}]."))?);
    }
    let mut plans = Vec::new();
    if find_value(v, "Plans").is_some() {
        for (i, p) in parse_list(v, "Plans")?.iter().enumerate() {
            plans.push(parse_plan(p, &format!("Plans[{i}]."))?);
        }
    }
    let retry_budget = match find_value(v, "Safety.ResendSpanMs") {
        None => None,
        Some(_) => Some(RetryBudget {
            free: parse_number_or(v, "Safety.ExtraFree", "", 0.0)?,
            ratio: parse_number_or(v, "Safety.ExtraRatio", "", 0.0)?,
            span_ms: parse_number(v, "Safety.ResendSpanMs", "")?,
        }),
    };
    let max_retry_after_ms = if parse_flag(v, "Limits.RetryAfter")? {
        parse_number(v, "Limits.MaxRetryAfterMs", "")?
    } else {
        0.0
    };
    let mean_units = parse_number_or(v, "Domain.MeanUnits", "", 1.0)?;
    let settings = Settings {
        hosts: parse_number(v, "Balancers", "")? as u32,
        classes,
        plans,
        list_on_request: find_value(v, "RegistryMode").and_then(Value::as_str) == Some("subscribe"),
        round_ms: parse_number(v, "RoundMs", "")?,
        max_attempts: parse_number(v, "Limits.MostTries", "")? as u32,
        cancel: parse_flag(v, "Limits.Cancel")?,
        hedging: parse_flag(v, "Limits.SecondCopies")?,
        max_retry_after_ms,
        retry_budget,
        drain_grace_ms: parse_number(v, "Safety.StopSendingWithinMs", "")?,
        cold_from: parse_number(v, "Safety.ColdFrom", "")?,
        warm_after_ms: parse_number(v, "Safety.WarmAfterMs", "")?,
        fall_multiple: parse_number_or(v, "Safety.OverloadFactor", "", 1.0)?,
        fall_ms: parse_number(v, "Safety.FallMs", "")?,
        cold_units: parse_number_or(v, "Domain.ColdUnits", "", 0.0)?,
        key_rest_ms: parse_number_or(v, "Safety.KeyRestMs", "", 0.0)?,
        mean_units,
        max_units: parse_number_or(v, "Domain.UnitsTop", "", mean_units)?,
        share_worth: parse_number_or(v, "Domain.ShareWorth", "", 1.0)?,
        spare_worth: parse_number_or(v, "Domain.SpareWorth", "", 1.0)?,
        meter_ms: parse_number_or(v, "Domain.MeterMs", "", 0.0)?,
    };
    let names = find_value(v, "Report.Fields").and_then(Value::as_array);
    let field_index = |name| names.and_then(|n| n.iter().position(|f| f.as_str() == Some(name)));
    let (queue, in_flight) = (field_index("pending"), field_index("busy_reqs"));
    Ok((
        settings,
        LoadReportFields { queue, in_flight, latency: field_index("svc_ms"), util: field_index("cpu_share") },
    ))
}
