//! What a settings file asks for attempts, as the nodes saw it.

mod common;

use common::{ended, eventually, ms, World, HOSTS};
use pearfork_rulecheck::wire::{parse_media_access, CommandMetadata, Op};
use pearfork_rulecheck::{Endpoint, Rule, TraceEventKind};
use pearfork_scsi::{status, MediaOp, SenseKey};
use pearfork_stand::{FakeClusterSpec, NodeFault};
use std::collections::BTreeMap;

/// Two shards, two nodes each: 1 and 3 hold the first, 2 and 4 the second.
fn spec() -> FakeClusterSpec {
    FakeClusterSpec { replicas: 2, ..FakeClusterSpec::default() }
}

fn settings(free: u32, classes: &[(&str, &str)], routes: &str, rows: &str) -> String {
    let mut text = HOSTS.replace("[0, 1, 2, 3]", "[0, 1]").replace("[1, 2, 3, 0]", "[1, 0]");
    for (class, terms) in classes {
        let name = format!("name = \"{class}\"\n");
        assert!(text.contains(&name));
        text = text.replacen(&name, &format!("{name}{terms}\n"), 1);
    }
    // Enough for the few requests of a test, where the budget is not what is tried.
    text = text.replacen("free = 3", &format!("free = {free}"), 1);
    text = text.replacen("max_attempts = 4", "max_attempts = 4\nsecond_copies = true", 1);
    text = text.replacen("# Which request", &format!("{routes}\n# Which request"), 1);
    text.replacen("class \"small-read\" if", &format!("{rows}\nclass \"small-read\" if"), 1)
}

/// An attempt as a node saw it: when in milliseconds, where, and what.
#[derive(Debug)]
struct Attempt {
    at_ms: f64,
    node: u32,
    number: u16,
    op: Option<Op>,
}

/// Attempts by the key of their request, in the order of their numbers.
fn attempts(w: &World) -> Vec<Vec<Attempt>> {
    let mut by: BTreeMap<_, Vec<Attempt>> = BTreeMap::new();
    for n in w.recorder.events() {
        if let TraceEventKind::Pdu { endpoint: Endpoint::Node { node }, sent: false, header, .. } = &n.kind {
            if let Some(tag) = CommandMetadata::find(&header.extra) {
                let key = (tag.host, tag.host_start_s, tag.session, tag.cmd_sn, tag.part);
                let op = parse_media_access(&header.bytes[32..48]).map(|t| t.op);
                by.entry(key).or_default().push(Attempt {
                    at_ms: n.at_us as f64 / 1e3,
                    node: *node,
                    number: tag.attempt,
                    op,
                });
            }
        }
    }
    by.into_values().collect()
}

#[test]
fn a_read_goes_a_second_time_to_another_node_after_its_time_and_is_served() {
    let w = World::with(1, &spec(), &settings(40, &[("small-read", "second_copy_after = \"60ms\"")], "", ""));
    let a = w.asker(0, 0);
    assert_eq!(a.write(0, 8, 7).status, status::GOOD);
    let mut asked_ms = Vec::new();
    let mut read = |from: u64, blocks: u32| {
        asked_ms.push(w.recorder.elapsed_us() as f64 / 1e3);
        a.read(from, blocks)
    };
    // Whichever of the two holds the first attempt, the other serves the second.
    for hung in [1, 3] {
        w.fleet.node(hung).set_fault(NodeFault::Hang(true));
        for n in 0..4 {
            let d = read(n * 8 % 16, 8);
            assert_eq!(d.status, status::GOOD, "node {hung} hangs");
            if n % 2 == 0 {
                assert_eq!(d.data.to_bytes(), vec![7; 4096]);
            }
        }
        w.fleet.node(hung).set_fault(NodeFault::Hang(false));
        eventually("both nodes", || read(0, 8).status == status::GOOD);
    }
    let all = attempts(&w);
    let second: Vec<&Vec<Attempt>> = all.iter().filter(|r| r.len() > 1).collect();
    assert!(!second.is_empty());
    for r in &second {
        assert_eq!((r.len(), r[0].number, r[1].number), (2, 0, 1), "{r:?}");
        assert!(r[0].node != r[1].node && r[0].node % 2 == r[1].node % 2, "another of the shard: {r:?}");
        // From the client's word, which is before the first attempt: a busy node may note that late, and nothing early.
        let asked = asked_ms.iter().copied().filter(|asked| *asked <= r[0].at_ms).fold(0.0, f64::max);
        assert!(r[1].at_ms - asked >= 60.0, "not before its time, asked at {asked}: {r:?}");
        assert_eq!(r[0].op, Some(Op::Read));
    }
    w.assert_rules();
}

#[test]
fn writes_have_no_second_copy_where_none_is_asked() {
    let w = World::with(1, &spec(), &settings(40, &[("small-read", "second_copy_after = \"60ms\"")], "", ""));
    let a = w.asker(0, 0);
    w.fleet.node(1).set_fault(NodeFault::Hang(true));
    w.fleet.node(3).set_fault(NodeFault::Hang(true));
    assert_eq!(ended(&a.write(0, 8, 7)), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    let of_write = attempts(&w);
    assert_eq!((of_write.len(), of_write[0].len()), (1, 1), "{of_write:?}");
    w.assert_rules();
}

#[test]
fn a_keyed_write_with_a_second_copy_takes_effect_once() {
    let w = World::with(1, &spec(), &settings(40, &[("write", "second_copy_after = \"60ms\"")], "", ""));
    let a = w.asker(0, 0);
    for fill in 1..=6u8 {
        // A node that is slow, not dead: the first copy runs too, late.
        let slow = if fill % 2 == 0 { 1 } else { 3 };
        w.fleet.node(slow).set_fault(NodeFault::Slow(400.0));
        assert_eq!(a.write(0, 8, fill).status, status::GOOD);
        w.fleet.node(slow).set_fault(NodeFault::Slow(1.0));
    }
    assert!(attempts(&w).iter().any(|r| r.len() == 2));
    std::thread::sleep(ms(900));
    assert_eq!(a.read(0, 8).data.to_bytes(), vec![6; 4096], "a late copy must not undo a later write");
    assert_eq!(w.rules().finding(Rule::NoEffectTwice).map(|f| f.violations.len()), Some(0));
    w.assert_rules();
}

#[test]
fn a_route_has_its_own_time_out_attempts_and_pause() {
    let route =
        "[[route]]\nname = \"impatient\"\nclass = \"large-read\"\nattempt = \"200ms\"\nattempts = 2\n\
                 retry_pause = \"100ms\"\nretry_spread = \"50ms\"\n";
    let row = "class \"impatient\" if volume == \"notes\" and op == \"read\" and blocks == 16;";
    let w = World::with(1, &spec(), &settings(40, &[], route, row));
    let a = w.asker(0, 0);
    w.fleet.node(1).set_fault(NodeFault::Hang(true));
    w.fleet.node(3).set_fault(NodeFault::Hang(true));
    let asked_ms = w.recorder.elapsed_us() as f64 / 1e3;
    let d = a.read(0, 16);
    // Two attempts timed out: a read may be tried again, and is refused.
    assert!(matches!(d.status, status::BUSY | status::TASK_SET_FULL), "{:?}", ended(&d));
    let all = attempts(&w);
    assert_eq!((all.len(), all[0].len()), (1, 2), "{all:?}");
    // From the client's word, which is before the first attempt: a busy node may note that late, and nothing early.
    let second = all[0][1].at_ms - asked_ms;
    assert!(second >= 300.0, "the attempt's time and the pause: {second}: {all:?}");
    // What is of no route has neither.
    a.send(MediaOp::Read, 0, 8, Vec::new());
    std::thread::sleep(ms(600));
    let of_no_route = attempts(&w).into_iter().filter(|r| r.len() == 1).count();
    assert_eq!(of_no_route, 1, "one attempt, which waits as long as its client");
    w.fleet.node(1).set_fault(NodeFault::Hang(false));
    w.fleet.node(3).set_fault(NodeFault::Hang(false));
    a.done();
    w.assert_rules();
}

#[test]
fn the_retry_budget_holds_while_half_of_the_nodes_hang() {
    let terms = "attempt = \"100ms\"\nattempts = 4\nsecond_copy_after = \"30ms\"";
    let w = World::with(2, &spec(), &settings(3, &[("small-read", terms)], "", ""));
    w.fleet.node(1).set_fault(NodeFault::Hang(true));
    w.fleet.node(4).set_fault(NodeFault::Hang(true));
    std::thread::scope(|s| {
        for client in 0..4u8 {
            let w = &w;
            s.spawn(move || {
                let host = usize::from(client % 2);
                let isid = client + 1;
                let address = w.hosts[host].address();
                let a = common::Asker::open(address, &w.recorder, u16::from(client % 2), &w.plan, 0, isid);
                let a = a.expect("a login");
                for n in 0..40u64 {
                    let d = a.read((n * 520 + u64::from(client) * 8) % 60_000, 8);
                    assert!(matches!(d.status, status::GOOD | status::BUSY | status::TASK_SET_FULL));
                }
            });
        }
    });
    let further: usize = attempts(&w).iter().map(|r| r.len() - 1).sum();
    assert!(further > 0, "some went again");
    let report = w.rules();
    assert!(report.finding(Rule::RetryBudget).is_some_and(|f| f.checks > 0));
    assert!(report.passed(), "\n{report}");
}
