//! Reads `Params`. Unknown keys are ignored; a needed one that is missing is named in the error.

use pearfork::{AttemptPolicy, Class, Effect, Group, Plan, RetryBudget, Settings};
use serde_json::Value;

/// Where the values of interest stand in a load report.
#[derive(Debug, Default, PartialEq)]
pub struct LoadReportFields {
    /// Requests waiting.
    pub queue: Option<usize>,
    /// Requests held.
    pub in_flight: Option<usize>,
    /// Recent service time.
    pub latency: Option<usize>,
    /// How busy the cores are.
    pub util: Option<usize>,
}

fn find<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn num(v: &Value, path: &str, at: &str) -> Result<f64, String> {
    let found = find(v, path).ok_or_else(|| format!("setting {at}{path} is missing"))?;
    match found.as_f64() {
        Some(n) if n.is_finite() && n >= 0.0 => Ok(n),
        _ => Err(format!("setting {at}{path} makes no sense: {found}")),
    }
}

fn num_or(v: &Value, path: &str, at: &str, absent: f64) -> Result<f64, String> {
    match find(v, path) {
        None => Ok(absent),
        Some(_) => num(v, path, at),
    }
}

fn flag(v: &Value, path: &str) -> Result<bool, String> {
    match find(v, path) {
        None => Ok(false),
        Some(found) => found.as_bool().ok_or_else(|| format!("setting {path} makes no sense: {found}")),
    }
}

fn list<'a>(v: &'a Value, path: &str) -> Result<&'a [Value], String> {
    match find(v, path) {
        None => Err(format!("setting {path} is missing")),
        Some(Value::Array(a)) => Ok(a),
        Some(found) => Err(format!("setting {path} makes no sense: {found}")),
    }
}

fn class(v: &Value, at: &str) -> Result<Class, String> {
    let text = |path: &str| find(v, path).and_then(Value::as_str).unwrap_or("");
    let effect = match text("Effect") {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed,
        "unsafe" => Effect::Unsafe,
        "" => return Err(format!("setting {at}Effect is missing")),
        other => return Err(format!("setting {at}Effect makes no sense: {other}")),
    };
    let group = match text("Group") {
        "all" => Group::All,
        "zone" => Group::Zone,
        "cell" => Group::Shard,
        "" if effect != Effect::Keyed => Group::All,
        "" => return Err(format!("setting {at}Group is missing")),
        other => return Err(format!("setting {at}Group makes no sense: {other}")),
    };
    let window_ms = match effect {
        Effect::Keyed => num(v, "WindowMs", at)?,
        _ => num_or(v, "WindowMs", at, 0.0)?,
    };
    Ok(Class {
        aim_ms: num(v, "GoalTimeMs", at)?,
        deadline_ms: num(v, "DeadlineMs", at)?,
        worth: num(v, "Gain", at)?,
        late_worth: num_or(v, "LateShare", at, 0.0)?,
        effect,
        group,
        window_ms,
        ordered: flag(v, "FifoByKey")?,
        attempt_policy: AttemptPolicy::default(),
    })
}

fn plan(v: &Value, at: &str) -> Result<Plan, String> {
    Ok(Plan {
        nominal: num_or(v, "Nominal", at, 0.0)?,
        reserve: num_or(v, "Reservation", at, 0.0)?,
        weight: num_or(v, "Weight", at, 1.0)?,
        worth_factor: num_or(v, "Pays", at, 1.0)?,
        limit: num_or(v, "Cap", at, 0.0)?,
        burst: num_or(v, "Burst", at, 0.0)?,
        slack: num_or(v, "CapSlack", at, 0.0)?,
    })
}

/// Translates the settings text.
///
/// # Errors
/// No JSON, or as [`parse_value`].
pub fn parse(params: &[u8]) -> Result<(Settings, LoadReportFields), String> {
    let v: Value = serde_json::from_slice(params).map_err(|e| format!("settings are no JSON: {e}"))?;
    parse_value(&v)
}

/// Translates settings that were parsed already.
///
/// # Errors
/// The setting that is missing or makes no sense, by its path.
pub fn parse_value(v: &Value) -> Result<(Settings, LoadReportFields), String> {
    let mut classes = Vec::new();
    for (i, c) in list(v, "Classes")?.iter().enumerate() {
        classes.push(class(c, &format!("Classes[{i}]."))?);
    }
    let mut plans = Vec::new();
    if find(v, "Plans").is_some() {
        for (i, p) in list(v, "Plans")?.iter().enumerate() {
            plans.push(plan(p, &format!("Plans[{i}]."))?);
        }
    }
    let retry_budget = match find(v, "Safety.ResendSpanMs") {
        None => None,
        Some(_) => Some(RetryBudget {
            free: num_or(v, "Safety.ExtraFree", "", 0.0)?,
            ratio: num_or(v, "Safety.ExtraRatio", "", 0.0)?,
            span_ms: num(v, "Safety.ResendSpanMs", "")?,
        }),
    };
    let retry_after = if flag(v, "Limits.RetryAfter")? { num(v, "Limits.MaxRetryAfterMs", "")? } else { 0.0 };
    let mean_units = num_or(v, "Domain.MeanUnits", "", 1.0)?;
    let settings = Settings {
        hosts: num(v, "Balancers", "")? as u32,
        classes,
        plans,
        list_on_request: find(v, "RegistryMode").and_then(Value::as_str) == Some("subscribe"),
        round_ms: num(v, "RoundMs", "")?,
        max_attempts: num(v, "Limits.MostTries", "")? as u32,
        cancel: flag(v, "Limits.Cancel")?,
        hedging: flag(v, "Limits.SecondCopies")?,
        max_retry_after_ms: retry_after,
        retry_budget,
        drain_grace_ms: num(v, "Safety.StopSendingWithinMs", "")?,
        cold_from: num(v, "Safety.ColdFrom", "")?,
        warm_after_ms: num(v, "Safety.WarmAfterMs", "")?,
        fall_multiple: num_or(v, "Safety.OverloadFactor", "", 1.0)?,
        fall_ms: num(v, "Safety.FallMs", "")?,
        cold_units: num_or(v, "Domain.ColdUnits", "", 0.0)?,
        key_rest_ms: num_or(v, "Safety.KeyRestMs", "", 0.0)?,
        mean_units,
        max_units: num_or(v, "Domain.UnitsTop", "", mean_units)?,
        share_worth: num_or(v, "Domain.ShareWorth", "", 1.0)?,
        spare_worth: num_or(v, "Domain.SpareWorth", "", 1.0)?,
        meter_ms: num_or(v, "Domain.MeterMs", "", 0.0)?,
    };
    let names = find(v, "Report.Fields").and_then(Value::as_array);
    let at = |name| names.and_then(|n| n.iter().position(|f| f.as_str() == Some(name)));
    let (queue, in_flight) = (at("pending"), at("busy_reqs"));
    Ok((settings, LoadReportFields { queue, in_flight, latency: at("svc_ms"), util: at("cpu_share") }))
}
