//! Records are read back as they were written; invalid, truncated and foreign files are detected.

use pearfork_record::{read, write, HostClassCounts, RecordHeader, Recording, ScenarioEvent};
use pearfork_rulecheck::wire::Header;
use pearfork_rulecheck::{Endpoint, TraceEvent, TraceEventKind};
use proptest::prelude::*;

fn sample() -> Recording {
    let header = |op: u8, extra: usize| {
        let mut bytes = [0; 48];
        (bytes[0], bytes[19]) = (op, 7);
        Header { bytes, extra: vec![0xab; extra] }
    };
    let pdu = |endpoint, sent, op, extra| TraceEventKind::Pdu {
        endpoint,
        stream: 3,
        sent,
        header: header(op, extra),
    };
    let kinds = vec![
        TraceEventKind::NodeStarted { node: 1, shard: 0, zone: 0, cold: false, units_per_s: 500.25 },
        TraceEventKind::NodeListed { host: 0, node: 1, ready: true, started_ms: 1e12 + 0.5 },
        pdu(Endpoint::Client { host: 0 }, true, 1, 0),
        pdu(Endpoint::Node { node: 1 }, false, 1, 28),
        TraceEventKind::Applied { node: 1, key: (0, 9, 1, 2, 0) },
        TraceEventKind::HostStalled { host: 0, for_us: 600_000 },
        TraceEventKind::HostKilled { host: 1 },
        TraceEventKind::Closed { stream: 3 },
    ];
    let events = kinds.into_iter().enumerate().map(|(i, kind)| TraceEvent { at_us: i as u64 * 10, kind });
    Recording {
        header: RecordHeader {
            name: "a \"day\"\n".to_owned(),
            hosts: 2,
            settings: "[host]\n".to_owned(),
            ..RecordHeader::default()
        },
        scenario_events: vec![ScenarioEvent { at_us: 5, text: "Hang node 2 begins".to_owned() }],
        events: events.collect(),
        host_counts: vec![HostClassCounts {
            class: "write".to_owned(),
            accepted: 4,
            ..HostClassCounts::default()
        }],
        complete: true,
    }
}

fn written() -> Vec<u8> {
    write(Vec::new(), &sample()).unwrap()
}

fn error_of(bytes: &[u8]) -> String {
    read(bytes).expect_err("an error").to_string()
}

#[test]
fn a_record_is_read_back_as_it_was_written() {
    let mut expected = sample();
    expected.header.pearfork_record = 1;
    assert_eq!(read(&written()[..]).unwrap(), expected);
}

#[test]
fn a_truncated_record_is_read_up_to_its_last_whole_line_and_is_not_complete() {
    let bytes = written();
    let header_end = bytes.iter().position(|b| *b == b'\n').unwrap();
    let trailer_start = bytes[..bytes.len() - 1].iter().rposition(|b| *b == b'\n').unwrap();
    for cut in 0..bytes.len() {
        match read(&bytes[..cut]) {
            // In a truncated record that counts as complete, answered commands would look unanswered.
            Ok(part) => assert!(!part.complete && cut > header_end, "cut at {cut}"),
            Err(_) => assert!(cut <= header_end, "cut at {cut}"),
        }
    }
    assert_eq!(read(&bytes[..=trailer_start]).unwrap().events, sample().events);
}

#[test]
fn changed_lines_are_detected_and_errors_name_their_line() {
    let text = String::from_utf8(written()).unwrap();
    assert!(error_of(text.replace("\"taken\":4", "\"taken\":5").as_bytes()).contains("checksum mismatch"));
    let without: Vec<&str> = text.lines().filter(|l| !l.contains("closed")).collect();
    let line_count_error = error_of((without.join("\n") + "\n").as_bytes());
    assert!(
        line_count_error.starts_with("line 11: the trailer counts 11 lines, the record has 10"),
        "{line_count_error}"
    );
    assert!(error_of(b"").contains("is empty"));
    assert!(error_of(b"[host]\nnumber = 0\n").starts_with("line 1: not a line of a record"));
    assert!(error_of(text.replace("\"pearfork_record\":1", "\"pearfork_record\":9").as_bytes())
        .contains("format 9"));
    let unordered = text.replacen("\"at_us\":70", "\"at_us\":1", 1);
    assert!(
        error_of(unordered.as_bytes()).starts_with("line 10: events must be in the order"),
        "{}",
        error_of(unordered.as_bytes())
    );
    assert!(error_of(format!("{text}x").as_bytes()).contains("data after the trailer"));
    let duplicate = text.replacen('\n', &format!("\n{}\n", text.lines().next().unwrap()), 1);
    assert!(error_of(duplicate.as_bytes()).starts_with("line 2: duplicate header"));
    let short_header = text.replacen("\"header\":\"01", "\"header\":\"", 1);
    assert!(
        error_of(short_header.as_bytes()).contains("a header has 48 to 1068 bytes"),
        "{}",
        error_of(short_header.as_bytes())
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reading_arbitrary_bytes_terminates(at in 0usize..2000, to in any::<u8>(), cut in 0usize..3000) {
        let mut bytes = written();
        let at = at % bytes.len();
        bytes[at] = to;
        bytes.truncate(cut.max(1));
        // A changed byte gives an error or a record that is not complete, because of the checksum.
        if let Ok(r) = read(&bytes[..]) {
            prop_assert!(!r.complete || bytes == written());
        }
    }
}
