//! A short day with a trouble, told as text and as a page; and a record whose names are not kind to pages.

use pearfork_day::scenario::Scenario;
use pearfork_day::{run_scenario, DEMO};
use pearfork_host::settings::HostSettings;
use pearfork_report::report::{account, Ends};
use pearfork_report::page;

const DAY: &str = "[day]\nlength = \"3s\"\nseed = 3\nhosts = 2\nmargin = \"500ms\"\n[nodes]\ncount = 4\nracks = 2\ncores = 2\n\
                   waiting = 24\nwork = \"1ms\"\nrepeats_dropped = \"1.2s\"\n[[client]]\nname = \"notes\"\ncount = 2\nvolume = \"notes\"\n\
                   rate = 40\nwrites = 0.5\n[[event]]\nat = \"1s\"\ndo = \"hang\"\nnode = 2\nfor = \"1s\"\n";

#[test]
fn a_report_counts_what_clients_and_nodes_saw_and_needs_no_network() {
    let (day, plan) = (Scenario::from_toml(DAY).unwrap(), HostSettings::from_toml(DEMO.1).unwrap());
    let result =
        run_scenario(&day, &plan, &mut pearfork_day::host_runner::InProcessRunner::default(), |_, _| {})
            .unwrap();
    let mut recording = result.recording("a <script>alert(1)</script> day", &day, &plan);
    // Each refusal and failure has its reason, and one only.
    for c in &mut recording.host_counts {
        assert_eq!(c.reasons.values().sum::<u64>(), c.refused + c.failed, "{c:?}");
        c.reasons.clear();
    }
    recording.host_counts[0].reasons.insert("prediction".to_owned(), 4);
    recording.host_counts[1].reasons.insert("prediction".to_owned(), 3);
    recording.host_counts[1].reasons.insert("limit".to_owned(), 9);
    let a = account(&recording).unwrap();
    assert!(a.kept && a.complete, "{:?}", a.rules);
    assert_eq!(a.reasons, [("limit".to_owned(), 9), ("prediction".to_owned(), 7)]);
    // All sums agree: by second, by class, and with what the clients counted themselves.
    let sum = |ends: &mut dyn Iterator<Item = Ends>| {
        ends.fold((0, 0, 0), |s, e| (s.0 + e.sent, s.1 + e.served, s.2 + e.refused))
    };
    let all = (a.all.sent, a.all.served, a.all.refused);
    assert_eq!(sum(&mut a.seconds.iter().map(|s| s.ends)), all);
    assert_eq!(sum(&mut a.classes.iter().map(|c| c.ends)), all);
    let (_, clients) = result
        .clients
        .iter()
        .fold((0, (0, 0, 0)), |(_, s), (_, t)| (0, (s.0 + t.sent, s.1 + t.served, s.2 + t.refused)));
    assert!(all.0 > 100 && all == clients, "{all:?} in the record, {clients:?} at the clients");
    let attempts: u64 = a.nodes.iter().map(|n| n.attempts).sum();
    assert!(attempts >= a.all.served && a.nodes.len() == 4);
    // What hung shows: a command that waited for it is among the slowest.
    assert!(a.slowest[0].took_ms > 100.0 && !a.slowest[0].attempts.is_empty(), "{:?}", a.slowest[0]);

    let text = page::text(&a).unwrap();
    for want in ["Hang node 2 begins", "small-read", "kept", "nothing to judge", "prediction", "at node"] {
        assert!(text.contains(want), "{want}\n{text}");
    }
    let html = page::html(&a).unwrap();
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(html.contains("&lt;script&gt;") && !html.contains("<script"), "a name is shown, not run");
    for outside in ["http://www.w3.org/2000/svg", "https://"] {
        // The one address in the page is the name of a vocabulary, which nobody fetches.
        let rest = html.replace("http://www.w3.org/2000/svg", "");
        assert!(
            !rest.contains(outside) && !rest.contains("http://") && !rest.contains("@import"),
            "{outside}"
        );
    }
}
