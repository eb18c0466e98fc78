//! Renders a report as a self-contained HTML page or as text.

use crate::plot::{draw_curves, Curve, EventMark};
use crate::report::Report;
use minijinja::{context, AutoEscape, Environment};

const HTML_TEMPLATE: &str = include_str!("../templates/report.html");
const TEXT_TEMPLATE: &str = include_str!("../templates/report.txt");

/// Maximum number of nodes that are drawn. Of more nodes, those with the most attempts are drawn.
const MAX_DRAWN_NODES: usize = 7;

fn environment() -> Result<Environment<'static>, minijinja::Error> {
    let mut env = Environment::new();
    // The names of volumes, classes and clients come from files. Without escaping, a script in a name would
    // run in the page.
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
    env.add_template("report.html", HTML_TEMPLATE)?;
    env.add_template("report.txt", TEXT_TEMPLATE)?;
    Ok(env)
}

/// Renders a report as text.
///
/// # Errors
/// The template does not match the report; a test checks that it does.
pub fn text(report: &Report) -> Result<String, minijinja::Error> {
    environment()?.get_template("report.txt")?.render(context! { a => report })
}

/// Renders a report as one HTML page with inline SVG charts.
///
/// # Errors
/// As [`text`].
pub fn html(report: &Report) -> Result<String, minijinja::Error> {
    let event_marks: Vec<EventMark> =
        report.scenario_events.iter().map(|s| EventMark { at_s: s.at_us as f64 / 1e6 }).collect();
    let by_second = |f: fn(&crate::report::SecondReport) -> f64| report.seconds.iter().map(f).collect();
    let results = [
        Curve { name: "sent", values: by_second(|s| s.counts.sent as f64) },
        Curve { name: "served", values: by_second(|s| s.counts.served as f64) },
        Curve { name: "refused", values: by_second(|s| s.counts.refused as f64) },
        Curve {
            name: "failed or abandoned",
            values: by_second(|s| (s.counts.failed + s.counts.abandoned) as f64),
        },
    ];
    let latencies = [
        Curve { name: "p50", values: by_second(|s| s.latency.p50) },
        Curve { name: "p90", values: by_second(|s| s.latency.p90) },
        Curve { name: "p99", values: by_second(|s| s.latency.p99) },
    ];
    let mut busiest: Vec<_> = report.nodes.iter().collect();
    busiest.sort_by_key(|n| (std::cmp::Reverse(n.attempts), n.node));
    busiest.truncate(MAX_DRAWN_NODES);
    busiest.sort_by_key(|n| n.node);
    let names: Vec<String> = busiest.iter().map(|n| format!("node {}", n.node)).collect();
    let attempts: Vec<Curve<'_>> = busiest
        .iter()
        .zip(&names)
        .map(|(n, name)| Curve { name, values: n.by_second.iter().map(|v| *v as f64).collect() })
        .collect();
    environment()?.get_template("report.html")?.render(context! {
        a => report,
        results => draw_curves("commands per second", &results, &event_marks),
        latencies => draw_curves("latency, ms", &latencies, &event_marks),
        attempts => draw_curves("attempts per second", &attempts, &event_marks),
    })
}
