//! Views that several hosts have of their fleet, beside each other, with what does not go together.

use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// What is to be known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Topic {
    /// Who is in the fleet.
    Members,
    /// What is lent of each budget.
    Budgets,
    /// Why each host has what it has of a volume's limit.
    Why(String),
}

/// What is seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Seen {
    /// Rows of the same keys.
    pub rows: Vec<Value>,
    /// Sentences.
    pub words: Vec<String>,
    /// What does not go together.
    pub disagree: Vec<String>,
}

/// More than rounding.
const APART: f64 = 1e-6;

fn number(v: &Value, key: &str) -> Option<f64> {
    v.get(key).and_then(Value::as_f64)
}

fn host(v: &Value) -> u64 {
    v.get("host").and_then(Value::as_u64).unwrap_or(u64::MAX)
}

fn list<'a>(v: &'a Value, key: &str) -> &'a [Value] {
    v.get(key).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

fn percent(part: f64) -> String {
    format!("{:.2} %", part * 100.0)
}

/// Lays views beside each other.
pub fn look(views: &[Value], topic: &Topic) -> Seen {
    let mut seen = Seen::default();
    let settings: BTreeSet<&str> =
        views.iter().filter_map(|v| v.get("settings").and_then(Value::as_str)).collect();
    if settings.len() > 1 {
        seen.disagree.push(format!("hosts run by different settings of the fleet: {settings:?}"));
    }
    let leaders: BTreeSet<u64> =
        views.iter().filter(|v| v["voter"]["lends"] == json!(true)).map(host).collect();
    if leaders.len() > 1 {
        // The older of two steps down as soon as it hears of the other, and lends nothing meanwhile.
        seen.disagree.push(format!("hosts {leaders:?} each say that they lend"));
    }
    match topic {
        Topic::Members => members(views, &mut seen),
        Topic::Budgets => budgets(views, &mut seen),
        Topic::Why(volume) => why(views, volume, &mut seen),
    }
    seen
}

/// The view of the voter that lends, or of the one that knows most.
fn book(views: &[Value]) -> Option<&Value> {
    let voters = views.iter().map(|v| &v["voter"]).filter(|v| v.is_object());
    voters.max_by_key(|v| (v["lends"] == json!(true), v["commit"].as_u64()))
}

fn members(views: &[Value], seen: &mut Seen) {
    let mut all: BTreeMap<u64, (u64, Vec<u64>)> = BTreeMap::new();
    for view in views.iter().filter(|v| v["voter"].is_object()) {
        for m in list(&view["voter"], "members") {
            let incarnation = m["incarnation"].as_u64().unwrap_or(0);
            all.entry(incarnation).or_insert((host(m), Vec::new())).1.push(host(view));
        }
    }
    let own: BTreeMap<u64, &Value> = views.iter().map(|v| (host(v), v)).collect();
    let lender = book(views);
    for (incarnation, (of, by)) in &all {
        let line = lender.and_then(|b| {
            list(b, "members").iter().find(|m| m["incarnation"].as_u64() == Some(*incarnation))
        });
        let ms = |key| line.and_then(|l| number(l, key)).map(|ms| format!("{:.1} s", ms / 1_000.0));
        let view = own.get(of);
        let joined = view.and_then(|v| v["holder"]["incarnation"].as_u64());
        seen.rows.push(json!({
            "host": of, "incarnation": incarnation, "heard_ago": ms("heard_ms"), "over_in": ms("over_in_ms"),
            "in_the_book_of": by, "says_itself": joined,
        }));
    }
    for (host, view) in own {
        let holder = &view["holder"];
        if holder["superseded"] == json!(true) {
            seen.disagree.push(format!("host {host}: another process has its number"));
        }
        for link in list(view, "links") {
            if let Some(why) = link["refused"].as_str() {
                seen.disagree.push(format!("host {host} and voter {}: {why}", link["voter"]));
            }
        }
        if let Some(trouble) = view["voter"]["trouble"].as_str() {
            seen.disagree.push(format!("host {host} does not vote: {trouble}"));
        }
    }
}

/// For each budget: what each host says that it uses, lent and floor.
fn budgets(views: &[Value], seen: &mut Seen) {
    let lender = book(views);
    let mut names: BTreeSet<&str> = BTreeSet::new();
    for view in views {
        names.extend(list(&view["holder"], "budgets").iter().filter_map(|b| b["budget"].as_str()));
    }
    for name in names {
        let line =
            lender.and_then(|b| list(b, "budgets").iter().find(|l| l["budget"].as_str() == Some(name)));
        let mut all = 0.0;
        for view in views {
            let own = list(&view["holder"], "budgets").iter().find(|l| l["budget"].as_str() == Some(name));
            let Some(own) = own else { continue };
            let part = |key| number(own, key).unwrap_or(0.0);
            let in_book = line.and_then(|l| number(&l["to"], &host(view).to_string()));
            all += part("floor") + part("lent");
            // The views are not of one moment: what was lent between two of them shows as well.
            if part("lent") > in_book.unwrap_or(0.0) + APART && line.is_some() {
                seen.disagree.push(format!(
                    "{name}: host {} uses {} that it says is lent, the book has {}",
                    host(view),
                    percent(part("lent")),
                    percent(in_book.unwrap_or(0.0))
                ));
            }
            seen.rows.push(json!({
                "budget": name, "host": host(view), "may_use": percent(part("floor") + part("lent")),
                "in_the_book": in_book.map(percent), "clients_ask": percent(part("demand")),
            }));
        }
        if all > 1.0 + APART {
            seen.disagree.push(format!("{name}: hosts say that they use {} of it", percent(all)));
        }
        let lent = line.and_then(|l| number(l, "lent"));
        seen.words.push(format!(
            "{name}: the hosts asked may use {} of it, {} is lent in the book",
            percent(all),
            lent.map_or("nobody knows how much".to_owned(), percent)
        ));
    }
}

fn why(views: &[Value], volume: &str, seen: &mut Seen) {
    let name = format!("limit/{volume}");
    let lender = book(views);
    let mut known = false;
    for view in views {
        let holder = &view["holder"];
        let Some(own) = list(holder, "budgets").iter().find(|l| l["budget"].as_str() == Some(name.as_str()))
        else {
            continue;
        };
        known = true;
        let part = |key| number(own, key).unwrap_or(0.0);
        let (floor, lent, demand) = (part("floor"), part("lent"), part("demand"));
        let left = number(holder, "lease_ms");
        let reason = if holder["superseded"] == json!(true) {
            "another process has its number, and it uses none of it".to_owned()
        } else if let Some(ms) = left.filter(|ms| *ms > 0.0) {
            let wants = if demand == 0.0 && lent == 0.0 {
                "; its clients ask for nothing, so nothing is lent to it".to_owned()
            } else if lent == 0.0 {
                "; none is lent to it: others hold it, and give some back as they hear of this demand"
                    .to_owned()
            } else {
                String::new()
            };
            format!("its lease holds for {:.1} s{wants}", ms / 1_000.0)
        } else {
            let refused: Vec<&str> =
                list(view, "links").iter().filter_map(|l| l["refused"].as_str()).collect();
            let up = list(view, "links").iter().filter(|l| l["up"] == json!(true)).count();
            match (refused.first(), up, left) {
                (Some(why), ..) => format!("it is refused: {why}"),
                (None, 0, _) => "it reaches no voter".to_owned(),
                (None, _, None) => "no voter that leads has answered it yet".to_owned(),
                (None, up, Some(_)) => {
                    format!("its lease is over: {up} voters are reached, and none that leads has answered")
                }
            }
        };
        seen.words.push(format!(
            "host {}: {} of {name} (floor {}, lent {}), clients ask for {}; {reason}",
            host(view),
            percent(floor + lent),
            percent(floor),
            percent(lent),
            percent(demand)
        ));
    }
    if let Some(line) =
        lender.and_then(|b| list(b, "budgets").iter().find(|l| l["budget"].as_str() == Some(name.as_str())))
    {
        let to: Vec<String> = line["to"]
            .as_object()
            .map(|m| {
                m.iter().map(|(h, p)| format!("host {h} {}", percent(p.as_f64().unwrap_or(0.0)))).collect()
            })
            .unwrap_or_default();
        seen.words.push(format!("the book: {}", to.join(", ")));
    } else if known {
        seen.words.push("no voter that was asked has anything of it in its book".to_owned());
    }
    if !known {
        seen.words.push(format!("no host that was asked has a volume `{volume}` with a limit"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(host: u64, lent: f64, in_book: f64) -> Value {
        json!({
            "fleet": "f", "settings": "s", "host": host,
            "holder": {"incarnation": host + 1, "lease_ms": 900.0, "superseded": false,
                       "budgets": [{"budget": "limit/archive", "floor": 0.01, "lent": lent, "demand": 0.5}]},
            "voter": {"trouble": null, "term": 3, "lends": host == 0, "commit": 7,
                      "members": [{"host": 0, "incarnation": 1, "heard_ms": 40.0, "over_in_ms": 2000.0}],
                      "budgets": [{"budget": "limit/archive", "lent": in_book, "to": {"0": in_book}}]},
            "links": [],
        })
    }

    #[test]
    fn views_are_laid_beside_each_other_and_what_can_not_be_is_marked() {
        let fine = look(&[view(0, 0.4, 0.4), view(1, 0.0, 0.4)], &Topic::Budgets);
        assert_eq!((fine.rows.len(), fine.disagree.len()), (2, 0), "{fine:?}");
        let more = look(&[view(0, 0.6, 0.4)], &Topic::Budgets);
        assert!(more.disagree[0].contains("60.00 %"), "{more:?}");
        let both = look(&[view(0, 0.4, 0.4), view(0, 0.6, 0.4), view(0, 0.6, 0.4)], &Topic::Budgets);
        assert!(both.disagree.iter().any(|d| d.contains("163.00 %")), "{both:?}");
        let members = look(&[view(0, 0.4, 0.4)], &Topic::Members);
        assert_eq!(members.rows[0]["heard_ago"], json!("0.0 s"));
        let why = look(&[view(0, 0.4, 0.4)], &Topic::Why("archive".to_owned()));
        assert!(why.words[0].contains("lease holds for 0.9 s"), "{why:?}");
        assert!(look(&[], &Topic::Why("none".to_owned())).words[0].contains("no host"));
    }
}
