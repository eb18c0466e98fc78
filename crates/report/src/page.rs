//! Lays an account out: a page that needs no network, or text.

use crate::report::Account;
use crate::plot::{curves, Curve, Moment};
use minijinja::{context, AutoEscape, Environment};

const HTML: &str = include_str!("../templates/report.html");
const TEXT: &str = include_str!("../templates/report.txt");

/// Nodes that are drawn; of more, those with most attempts.
const DRAWN: usize = 7;

fn environment() -> Result<Environment<'static>, minijinja::Error> {
    let mut env = Environment::new();
    // Danger: names of volumes, classes and clients come from files; a page that takes them as they are runs them.
    env.set_auto_escape_callback(
        |name| if name.ends_with(".html") { AutoEscape::Html } else { AutoEscape::None },
    );
    env.set_trim_blocks(true);
    env.set_lstrip_blocks(true);
    env.add_filter("ms", |v: f64| if v >= 100.0 { format!("{v:.0}") } else { format!("{v:.1}") });
    env.add_filter("percent", |v: Option<f64>| v.map_or("-".to_owned(), |v| format!("{:.0} %", v * 100.0)));
    env.add_filter("wide", |v: String, n: usize| format!("{v:<n$}"));
    env.add_filter("right", |v: String, n: usize| format!("{v:>n$}"));
    env.add_filter("seconds", |us: u64| format!("{:.2}", us as f64 / 1e6));
    env.add_filter("at", |s: f64| format!("{s:.2}"));
    env.add_template("report.html", HTML)?;
    env.add_template("report.txt", TEXT)?;
    Ok(env)
}

/// The account as text.
///
/// # Errors
/// The template does not go with the account, which a test rules out.
pub fn text(account: &Account) -> Result<String, minijinja::Error> {
    environment()?.get_template("report.txt")?.render(context! { a => account })
}

/// The account as one page of HTML with its pictures in it.
///
/// # Errors
/// As [`text`].
pub fn html(account: &Account) -> Result<String, minijinja::Error> {
    let moments: Vec<Moment> =
        account.scenario_events.iter().map(|s| Moment { at_s: s.at_us as f64 / 1e6 }).collect();
    let by_second = |f: fn(&crate::report::Second) -> f64| account.seconds.iter().map(f).collect();
    let answers = [
        Curve { name: "sent", values: by_second(|s| s.ends.sent as f64) },
        Curve { name: "served", values: by_second(|s| s.ends.served as f64) },
        Curve { name: "refused", values: by_second(|s| s.ends.refused as f64) },
        Curve { name: "error or left", values: by_second(|s| (s.ends.checked + s.ends.left) as f64) },
    ];
    let times = [
        Curve { name: "p50", values: by_second(|s| s.times.p50) },
        Curve { name: "p90", values: by_second(|s| s.times.p90) },
        Curve { name: "p99", values: by_second(|s| s.times.p99) },
    ];
    let mut busiest: Vec<_> = account.nodes.iter().collect();
    busiest.sort_by_key(|n| (std::cmp::Reverse(n.attempts), n.node));
    busiest.truncate(DRAWN);
    busiest.sort_by_key(|n| n.node);
    let names: Vec<String> = busiest.iter().map(|n| format!("node {}", n.node)).collect();
    let nodes: Vec<Curve<'_>> = busiest
        .iter()
        .zip(&names)
        .map(|(n, name)| Curve { name, values: n.by_second.iter().map(|v| *v as f64).collect() })
        .collect();
    environment()?.get_template("report.html")?.render(context! {
        a => account,
        answers => curves("commands a second", &answers, &moments),
        times => curves("answer time, ms", &times, &moments),
        nodes => curves("attempts a second", &nodes, &moments),
    })
}
