//! Compares the views that several hosts have of their fleet and reports where they contradict each other.

use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// What to show of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The members of the fleet.
    Members,
    /// The fraction of each budget that each host may use.
    Budgets,
    /// The reason for the fraction of a volume's limit that each host may use.
    Why(String),
}

/// The views of several hosts side by side.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetComparison {
    /// Table rows, all with the same keys.
    pub rows: Vec<Value>,
    /// Explanations in sentences.
    #[serde(rename = "words")]
    pub sentences: Vec<String>,
    /// Contradictions between the views.
    #[serde(rename = "disagree")]
    pub disagreements: Vec<String>,
}

/// Differences between fractions up to this are rounding errors.
const FRACTION_TOLERANCE: f64 = 1e-6;

fn number_field(v: &Value, key: &str) -> Option<f64> {
    v.get(key).and_then(Value::as_f64)
}

fn host_number(v: &Value) -> u64 {
    v.get("host").and_then(Value::as_u64).unwrap_or(u64::MAX)
}

fn array_field<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn format_percent(fraction: f64) -> String {
    format!("{:.2} %", fraction * 100.0)
}

/// Compares the views of several hosts.
pub fn compare(views: &[Value], topic: &Topic) -> FleetComparison {
    let mut comparison = FleetComparison::default();
    let settings: BTreeSet<&str> =
        views.iter().filter_map(|v| v.get("settings").and_then(Value::as_str)).collect();
    if settings.len() > 1 {
        comparison.disagreements.push(format!("hosts have different fleet settings: {settings:?}"));
    }
    let leaders: BTreeSet<u64> =
        views.iter().filter(|v| v["voter"]["lends"] == json!(true)).map(host_number).collect();
    if leaders.len() > 1 {
        // The older of two leaders steps down as soon as it learns of the newer term, and grants nothing
        // meanwhile.
        comparison.disagreements.push(format!("hosts {leaders:?} each report that they are the leader"));
    }
    match topic {
        Topic::Members => list_members(views, &mut comparison),
        Topic::Budgets => list_budgets(views, &mut comparison),
        Topic::Why(volume) => explain_limit(views, volume, &mut comparison),
    }
    comparison
}

/// The allocations as seen by the leader, or by the voter with the highest commit index.
fn allocation_view(views: &[Value]) -> Option<&Value> {
    let voters = views.iter().map(|v| &v["voter"]).filter(|v| v.is_object());
    voters.max_by_key(|v| (v["lends"] == json!(true), v["commit"].as_u64()))
}

/// Lists the members of all queried voters, with what the host of each reports itself.
fn list_members(views: &[Value], comparison: &mut FleetComparison) {
    let mut members: BTreeMap<u64, (u64, Vec<u64>)> = BTreeMap::new();
    for view in views.iter().filter(|v| v["voter"].is_object()) {
        for m in array_field(&view["voter"], "members") {
            let incarnation = m["incarnation"].as_u64().unwrap_or(0);
            members.entry(incarnation).or_insert((host_number(m), Vec::new())).1.push(host_number(view));
        }
    }
    let views_by_host: BTreeMap<u64, &Value> = views.iter().map(|v| (host_number(v), v)).collect();
    let allocations = allocation_view(views);
    for (incarnation, (host, reported_by)) in &members {
        let member = allocations.and_then(|voter| {
            array_field(voter, "members").iter().find(|m| m["incarnation"].as_u64() == Some(*incarnation))
        });
        let seconds =
            |key| member.and_then(|m| number_field(m, key)).map(|ms| format!("{:.1} s", ms / 1_000.0));
        let view = views_by_host.get(host);
        let own_incarnation = view.and_then(|v| v["holder"]["incarnation"].as_u64());
        comparison.rows.push(json!({
            "host": host, "incarnation": incarnation,
            "heard_ago": seconds("heard_ms"), "over_in": seconds("over_in_ms"),
            "in_the_book_of": reported_by, "says_itself": own_incarnation,
        }));
    }
    for (host, view) in views_by_host {
        let holder = &view["holder"];
        if holder["superseded"] == json!(true) {
            comparison.disagreements.push(format!("host {host}: another process has joined with its number"));
        }
        for link in array_field(view, "links") {
            if let Some(why) = link["refused"].as_str() {
                comparison
                    .disagreements
                    .push(format!("host {host}, connection to voter {}: {why}", link["voter"]));
            }
        }
        if let Some(trouble) = view["voter"]["trouble"].as_str() {
            comparison.disagreements.push(format!("host {host} does not vote: {trouble}"));
        }
    }
}

/// Lists for each budget what each host may use, floor and lent fraction together.
fn list_budgets(views: &[Value], comparison: &mut FleetComparison) {
    let allocations = allocation_view(views);
    let mut names: BTreeSet<&str> = BTreeSet::new();
    for view in views {
        names.extend(array_field(&view["holder"], "budgets").iter().filter_map(|b| b["budget"].as_str()));
    }
    for name in names {
        let allocation = allocations.and_then(|voter| {
            array_field(voter, "budgets").iter().find(|l| l["budget"].as_str() == Some(name))
        });
        let mut total = 0.0;
        for view in views {
            let held =
                array_field(&view["holder"], "budgets").iter().find(|l| l["budget"].as_str() == Some(name));
            let Some(held) = held else { continue };
            let fraction = |key| number_field(held, key).unwrap_or(0.0);
            let allocated = allocation.and_then(|l| number_field(&l["to"], &host_number(view).to_string()));
            total += fraction("floor") + fraction("lent");
            // The views are taken one after the other, so a grant between two of them is reported as well.
            if fraction("lent") > allocated.unwrap_or(0.0) + FRACTION_TOLERANCE && allocation.is_some() {
                comparison.disagreements.push(format!(
                    "{name}: host {} reports a lent fraction of {}, the lease table has {}",
                    host_number(view),
                    format_percent(fraction("lent")),
                    format_percent(allocated.unwrap_or(0.0))
                ));
            }
            comparison.rows.push(json!({
                "budget": name, "host": host_number(view),
                "may_use": format_percent(fraction("floor") + fraction("lent")),
                "in_the_book": allocated.map(format_percent),
                "clients_ask": format_percent(fraction("demand")),
            }));
        }
        if total > 1.0 + FRACTION_TOLERANCE {
            comparison
                .disagreements
                .push(format!("{name}: the hosts together report {} of it", format_percent(total)));
        }
        let lent = allocation.and_then(|l| number_field(l, "lent"));
        comparison.sentences.push(format!(
            "{name}: the queried hosts may use {} of it; lent according to the lease table: {}",
            format_percent(total),
            lent.map_or("unknown".to_owned(), format_percent)
        ));
    }
}

/// Explains for each queried host why it may use its fraction of a volume's limit, then lists the allocations
/// of the limit in the lease table. Hosts without the limit are skipped; one sentence says so if none has it.
fn explain_limit(views: &[Value], volume: &str, comparison: &mut FleetComparison) {
    let name = format!("limit/{volume}");
    let allocations = allocation_view(views);
    let mut is_known = false;
    for view in views {
        let holder = &view["holder"];
        let Some(held) =
            array_field(holder, "budgets").iter().find(|l| l["budget"].as_str() == Some(name.as_str()))
        else {
            continue;
        };
        is_known = true;
        let fraction = |key| number_field(held, key).unwrap_or(0.0);
        let (floor, lent, demand) = (fraction("floor"), fraction("lent"), fraction("demand"));
        let lease_ms = number_field(holder, "lease_ms");
        let reason = if holder["superseded"] == json!(true) {
            "another process has joined with its number, so it uses none of it".to_owned()
        } else if let Some(ms) = lease_ms.filter(|ms| *ms > 0.0) {
            let remark = if demand == 0.0 && lent == 0.0 {
                "; it has no demand, so nothing is lent to it".to_owned()
            } else if lent == 0.0 {
                "; nothing is lent to it: other hosts hold it and return a part once this demand is known"
                    .to_owned()
            } else {
                String::new()
            };
            format!("its lease holds for {:.1} s{remark}", ms / 1_000.0)
        } else {
            let refused: Vec<&str> =
                array_field(view, "links").iter().filter_map(|l| l["refused"].as_str()).collect();
            let up = array_field(view, "links").iter().filter(|l| l["up"] == json!(true)).count();
            match (refused.first(), up, lease_ms) {
                (Some(why), ..) => format!("a voter refuses its connection: {why}"),
                (None, 0, _) => "it is connected to no voter".to_owned(),
                (None, _, None) => "it has not had a response from a leader yet".to_owned(),
                (None, up, Some(_)) => {
                    format!("its lease has expired: connected to {up} voters, but no response from a leader")
                }
            }
        };
        comparison.sentences.push(format!(
            "host {}: {} of {name} (floor {}, lent {}), demand {}; {reason}",
            host_number(view),
            format_percent(floor + lent),
            format_percent(floor),
            format_percent(lent),
            format_percent(demand)
        ));
    }
    if let Some(allocation) = allocations.and_then(|voter| {
        array_field(voter, "budgets").iter().find(|l| l["budget"].as_str() == Some(name.as_str()))
    }) {
        let shares: Vec<String> = allocation["to"]
            .as_object()
            .map(|m| {
                m.iter()
                    .map(|(h, p)| format!("host {h} {}", format_percent(p.as_f64().unwrap_or(0.0))))
                    .collect()
            })
            .unwrap_or_default();
        comparison.sentences.push(format!("the lease table: {}", shares.join(", ")));
    } else if is_known {
        comparison.sentences.push("no queried voter has an allocation of it".to_owned());
    }
    if !is_known {
        comparison.sentences.push(format!("no host that was queried has a volume `{volume}` with a limit"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(host: u64, lent: f64, allocated: f64) -> Value {
        json!({
            "fleet": "f", "settings": "s", "host": host,
            "holder": {"incarnation": host + 1, "lease_ms": 900.0, "superseded": false,
                       "budgets": [{"budget": "limit/archive", "floor": 0.01, "lent": lent, "demand": 0.5}]},
            "voter": {"trouble": null, "term": 3, "lends": host == 0, "commit": 7,
                      "members": [{"host": 0, "incarnation": 1, "heard_ms": 40.0, "over_in_ms": 2000.0}],
                      "budgets": [{"budget": "limit/archive", "lent": allocated, "to": {"0": allocated}}]},
            "links": [],
        })
    }

    #[test]
    fn views_are_compared_and_contradictions_are_reported() {
        let consistent = compare(&[view(0, 0.4, 0.4), view(1, 0.0, 0.4)], &Topic::Budgets);
        assert_eq!((consistent.rows.len(), consistent.disagreements.len()), (2, 0), "{consistent:?}");
        let excessive = compare(&[view(0, 0.6, 0.4)], &Topic::Budgets);
        assert!(excessive.disagreements[0].contains("60.00 %"), "{excessive:?}");
        let overcommitted =
            compare(&[view(0, 0.4, 0.4), view(0, 0.6, 0.4), view(0, 0.6, 0.4)], &Topic::Budgets);
        assert!(overcommitted.disagreements.iter().any(|d| d.contains("163.00 %")), "{overcommitted:?}");
        let members = compare(&[view(0, 0.4, 0.4)], &Topic::Members);
        assert_eq!(members.rows[0]["heard_ago"], json!("0.0 s"));
        let why = compare(&[view(0, 0.4, 0.4)], &Topic::Why("archive".to_owned()));
        assert!(why.sentences[0].contains("lease holds for 0.9 s"), "{why:?}");
        assert!(compare(&[], &Topic::Why("none".to_owned())).sentences[0].contains("no host"));
    }
}
