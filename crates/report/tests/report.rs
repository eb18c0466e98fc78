//! A report on a short run with a fault, as text and as HTML, with a scenario name that contains a script.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, DEMO};
use pearfork_host::settings::HostSettings;
use pearfork_report::page;
use pearfork_report::report::{build_report, CommandCounts};

const SCENARIO: &str = "[day]\nlength = \"3s\"\nseed = 3\nhosts = 2\nmargin = \"500ms\"\n[nodes]\ncount = 4\nracks = 2\ncores = 2\n\
                   waiting = 24\nwork = \"1ms\"\nrepeats_dropped = \"1.2s\"\n[[client]]\nname = \"notes\"\ncount = 2\nvolume = \"notes\"\n\
                   rate = 40\nwrites = 0.5\n[[event]]\nat = \"1s\"\ndo = \"hang\"\nnode = 2\nfor = \"1s\"\n";

#[test]
fn a_report_agrees_with_the_clients_and_loads_nothing_from_the_network() {
    let (scenario, settings) =
        (Scenario::from_toml(SCENARIO).unwrap(), HostSettings::from_toml(DEMO.1).unwrap());
    let result = run_scenario(
        &scenario,
        &settings,
        &mut pearfork_day::host_runner::InProcessRunner::default(),
        |_, _| {},
    )
    .unwrap();
    let mut recording = result.recording("a <script>alert(1)</script> day", &scenario, &settings);
    // Each refusal and failure has exactly one reason.
    for c in &mut recording.host_counts {
        assert_eq!(c.reasons.values().sum::<u64>(), c.refused + c.failed, "{c:?}");
        c.reasons.clear();
    }
    recording.host_counts[0].reasons.insert("prediction".to_owned(), 4);
    recording.host_counts[1].reasons.insert("prediction".to_owned(), 3);
    recording.host_counts[1].reasons.insert("limit".to_owned(), 9);
    let report = build_report(&recording).unwrap();
    assert!(report.passed && report.complete, "{:?}", report.rules);
    assert_eq!(report.reasons, [("limit".to_owned(), 9), ("prediction".to_owned(), 7)]);
    // The sums by second and by class agree with the total and with the clients' own counts.
    let sum = |counts: &mut dyn Iterator<Item = CommandCounts>| {
        counts.fold((0, 0, 0), |s, e| (s.0 + e.sent, s.1 + e.served, s.2 + e.refused))
    };
    let total = (report.total.sent, report.total.served, report.total.refused);
    assert_eq!(sum(&mut report.seconds.iter().map(|s| s.counts)), total);
    assert_eq!(sum(&mut report.classes.iter().map(|c| c.counts)), total);
    let (_, clients) = result
        .clients
        .iter()
        .fold((0, (0, 0, 0)), |(_, s), (_, t)| (0, (s.0 + t.sent, s.1 + t.served, s.2 + t.refused)));
    assert!(total.0 > 100 && total == clients, "{total:?} in the record, {clients:?} at the clients");
    let attempts: u64 = report.nodes.iter().map(|n| n.attempts).sum();
    assert!(attempts >= report.total.served && report.nodes.len() == 4);
    // A command that waited for the hung node is among the slowest.
    assert!(
        report.slowest[0].latency_ms > 100.0 && !report.slowest[0].attempts.is_empty(),
        "{:?}",
        report.slowest[0]
    );

    let text = page::text(&report).unwrap();
    for expected in ["Hang node 2 begins", "small-read", "kept", "nothing to judge", "prediction", "at node"]
    {
        assert!(text.contains(expected), "{expected}\n{text}");
    }
    let html = page::html(&report).unwrap();
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(html.contains("&lt;script&gt;") && !html.contains("<script"), "a name is shown, not run");
    for outside in ["http://www.w3.org/2000/svg", "https://"] {
        // The only URL in the page is the XML namespace of SVG, which is not loaded.
        let rest = html.replace("http://www.w3.org/2000/svg", "");
        assert!(
            !rest.contains(outside) && !rest.contains("http://") && !rest.contains("@import"),
            "{outside}"
        );
    }
}
