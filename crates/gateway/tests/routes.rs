//! Settings of attempts, retries and hedged attempts, checked against the commands that the nodes receive.

mod common;

use common::{ms, status_and_sense, wait_until, TestEnv, SETTINGS};
use pearfork_rulecheck::wire::{parse_media_access, CommandMetadata, Op};
use pearfork_rulecheck::{Endpoint, Rule, TraceEventKind};
use pearfork_scsi::{status, MediaOp, SenseKey};
use pearfork_stand::{FakeClusterSpec, NodeFault};
use std::collections::BTreeMap;

/// Two shards with two nodes each: nodes 1 and 3 hold the first, 2 and 4 the second.
fn spec() -> FakeClusterSpec {
    FakeClusterSpec { replicas: 2, ..FakeClusterSpec::default() }
}

/// Settings with terms added to classes, routes, matching rows, and `free` attempts of the retry budget.
fn settings(free: u32, classes: &[(&str, &str)], routes: &str, rows: &str) -> String {
    let mut text = SETTINGS.replace("[0, 1, 2, 3]", "[0, 1]").replace("[1, 2, 3, 0]", "[1, 0]");
    for (class, terms) in classes {
        let name = format!("name = \"{class}\"\n");
        assert!(text.contains(&name));
        text = text.replacen(&name, &format!("{name}{terms}\n"), 1);
    }
    // Tests that are not about the retry budget pass a number that exceeds their few retries.
    text = text.replacen("free = 3", &format!("free = {free}"), 1);
    text = text.replacen("max_attempts = 4", "max_attempts = 4\nsecond_copies = true", 1);
    text = text.replacen("# Which request", &format!("{routes}\n# Which request"), 1);
    text.replacen("class \"small-read\" if", &format!("{rows}\nclass \"small-read\" if"), 1)
}

/// An attempt as a node received it.
#[derive(Debug)]
struct Attempt {
    at_ms: f64,
    node: u32,
    number: u16,
    op: Option<Op>,
}

/// The attempts of each request, grouped by its key, in order of arrival.
fn attempts(env: &TestEnv) -> Vec<Vec<Attempt>> {
    let mut by_request: BTreeMap<_, Vec<Attempt>> = BTreeMap::new();
    for n in env.recorder.events() {
        if let TraceEventKind::Pdu { endpoint: Endpoint::Node { node }, sent: false, header, .. } = &n.kind {
            if let Some(tag) = CommandMetadata::find(&header.extra) {
                let key = (tag.host, tag.host_start_s, tag.session, tag.cmd_sn, tag.part);
                let op = parse_media_access(&header.bytes[32..48]).map(|t| t.op);
                by_request.entry(key).or_default().push(Attempt {
                    at_ms: n.at_us as f64 / 1e3,
                    node: *node,
                    number: tag.attempt,
                    op,
                });
            }
        }
    }
    by_request.into_values().collect()
}

#[test]
fn a_read_is_hedged_at_another_node_after_the_configured_time_and_served() {
    let env =
        TestEnv::with(1, &spec(), &settings(40, &[("small-read", "second_copy_after = \"60ms\"")], "", ""));
    let initiator = env.initiator(0, 0);
    assert_eq!(initiator.write(0, 8, 7).status, status::GOOD);
    let mut sent_ms = Vec::new();
    let mut read = |from: u64, blocks: u32| {
        sent_ms.push(env.recorder.elapsed_us() as f64 / 1e3);
        initiator.read(from, blocks)
    };
    // Whichever node has the first attempt, the other serves the hedged one.
    for hung in [1, 3] {
        env.fleet.node(hung).set_fault(NodeFault::Hang(true));
        for n in 0..4 {
            let done = read(n * 8 % 16, 8);
            assert_eq!(done.status, status::GOOD, "node {hung} hangs");
            if n % 2 == 0 {
                assert_eq!(done.data.to_bytes(), vec![7; 4096]);
            }
        }
        env.fleet.node(hung).set_fault(NodeFault::Hang(false));
        wait_until("a read to be served", || read(0, 8).status == status::GOOD);
    }
    let all = attempts(&env);
    let hedged: Vec<&Vec<Attempt>> = all.iter().filter(|r| r.len() > 1).collect();
    assert!(!hedged.is_empty());
    for r in &hedged {
        assert_eq!((r.len(), r[0].number, r[1].number), (2, 0, 1), "{r:?}");
        assert!(r[0].node != r[1].node && r[0].node % 2 == r[1].node % 2, "another node of the shard: {r:?}");
        // Counted from the client's command, because a busy node may record the first attempt late, but never
        // early.
        let sent_at = sent_ms.iter().copied().filter(|sent_at| *sent_at <= r[0].at_ms).fold(0.0, f64::max);
        assert!(r[1].at_ms - sent_at >= 60.0, "hedged too early, command sent at {sent_at}: {r:?}");
        assert_eq!(r[0].op, Some(Op::Read));
    }
    env.assert_rules_kept();
}

#[test]
fn a_write_is_not_hedged_if_only_reads_are_configured_to_be() {
    let env =
        TestEnv::with(1, &spec(), &settings(40, &[("small-read", "second_copy_after = \"60ms\"")], "", ""));
    let initiator = env.initiator(0, 0);
    env.fleet.node(1).set_fault(NodeFault::Hang(true));
    env.fleet.node(3).set_fault(NodeFault::Hang(true));
    assert_eq!(
        status_and_sense(&initiator.write(0, 8, 7)),
        (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8)
    );
    let of_write = attempts(&env);
    assert_eq!((of_write.len(), of_write[0].len()), (1, 1), "{of_write:?}");
    env.assert_rules_kept();
}

#[test]
fn a_hedged_keyed_write_takes_effect_once() {
    let env = TestEnv::with(1, &spec(), &settings(40, &[("write", "second_copy_after = \"60ms\"")], "", ""));
    let initiator = env.initiator(0, 0);
    for fill in 1..=6u8 {
        // The node is slow, not down: the first attempt runs as well, late.
        let slow = if fill % 2 == 0 { 1 } else { 3 };
        env.fleet.node(slow).set_fault(NodeFault::Slow(400.0));
        assert_eq!(initiator.write(0, 8, fill).status, status::GOOD);
        env.fleet.node(slow).set_fault(NodeFault::Slow(1.0));
    }
    assert!(attempts(&env).iter().any(|r| r.len() == 2));
    std::thread::sleep(ms(900));
    assert_eq!(
        initiator.read(0, 8).data.to_bytes(),
        vec![6; 4096],
        "a late attempt must not undo a later write"
    );
    assert_eq!(env.check_rules().finding(Rule::NoEffectTwice).map(|f| f.violations.len()), Some(0));
    env.assert_rules_kept();
}

#[test]
fn a_route_has_its_own_attempt_timeout_attempt_count_and_retry_pause() {
    let route =
        "[[route]]\nname = \"impatient\"\nclass = \"large-read\"\nattempt = \"200ms\"\nattempts = 2\n\
                 retry_pause = \"100ms\"\nretry_spread = \"50ms\"\n";
    let row = "class \"impatient\" if volume == \"notes\" and op == \"read\" and blocks == 16;";
    let env = TestEnv::with(1, &spec(), &settings(40, &[], route, row));
    let initiator = env.initiator(0, 0);
    env.fleet.node(1).set_fault(NodeFault::Hang(true));
    env.fleet.node(3).set_fault(NodeFault::Hang(true));
    let sent_ms = env.recorder.elapsed_us() as f64 / 1e3;
    let done = initiator.read(0, 16);
    // After two attempts that timed out the read is refused: its client may retry it.
    assert!(matches!(done.status, status::BUSY | status::TASK_SET_FULL), "{:?}", status_and_sense(&done));
    let all = attempts(&env);
    assert_eq!((all.len(), all[0].len()), (1, 2), "{all:?}");
    // Counted from the client's command, because a busy node may record the first attempt late, but never
    // early.
    let second = all[0][1].at_ms - sent_ms;
    assert!(second >= 300.0, "retried before the attempt's time-out and the pause: {second}: {all:?}");
    // A request of no route has neither time-out nor retries.
    initiator.submit(MediaOp::Read, 0, 8, Vec::new());
    std::thread::sleep(ms(600));
    let with_one_attempt = attempts(&env).into_iter().filter(|r| r.len() == 1).count();
    assert_eq!(with_one_attempt, 1, "one attempt, which waits until the request's deadline");
    env.fleet.node(1).set_fault(NodeFault::Hang(false));
    env.fleet.node(3).set_fault(NodeFault::Hang(false));
    initiator.next_completion();
    env.assert_rules_kept();
}

#[test]
fn the_retry_budget_is_kept_while_half_of_the_nodes_hang() {
    let terms = "attempt = \"100ms\"\nattempts = 4\nsecond_copy_after = \"30ms\"";
    let env = TestEnv::with(2, &spec(), &settings(3, &[("small-read", terms)], "", ""));
    env.fleet.node(1).set_fault(NodeFault::Hang(true));
    env.fleet.node(4).set_fault(NodeFault::Hang(true));
    std::thread::scope(|s| {
        for client in 0..4u8 {
            let env = &env;
            s.spawn(move || {
                let host = usize::from(client % 2);
                let isid = client + 1;
                let address = env.hosts[host].address();
                let initiator = common::TestInitiator::open(
                    address,
                    &env.recorder,
                    u16::from(client % 2),
                    &env.settings,
                    0,
                    isid,
                );
                let initiator = initiator.expect("a login");
                for n in 0..40u64 {
                    let done = initiator.read((n * 520 + u64::from(client) * 8) % 60_000, 8);
                    assert!(matches!(done.status, status::GOOD | status::BUSY | status::TASK_SET_FULL));
                }
            });
        }
    });
    let extra_attempts: usize = attempts(&env).iter().map(|r| r.len() - 1).sum();
    assert!(extra_attempts > 0, "no retry or hedged attempt");
    let report = env.check_rules();
    assert!(report.finding(Rule::RetryBudget).is_some_and(|f| f.checks > 0));
    assert!(report.passed(), "\n{report}");
}
