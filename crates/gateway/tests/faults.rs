//! Faults of nodes, connections and clients, each with real hosts on loopback.

mod common;
use common::*;
use pearfork_net::ConnectionEvent;
use pearfork_rulecheck::wire::CommandMetadata;
use pearfork_rulecheck::{Endpoint, Rule, TraceEventKind};
use pearfork_scsi::{status, MediaOp, SenseKey};
use pearfork_stand::{FakeClusterSpec, NodeFault};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;

/// The first block of the first extent of a shard: extents of 1 MiB are placed on four shards in turn.
fn first_block_of(shard: u64) -> u64 {
    shard * 2048
}

#[test]
fn written_data_is_read_back_across_extents() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    let data: Vec<u8> = (0..1024 * 512).map(|i| (i / 512 % 251) as u8).collect();
    let done = initiator.execute(MediaOp::Write, first_block_of(1) - 512, 1024, data.clone());
    assert_eq!(status_and_sense(&done), (status::GOOD, 0));
    let done = initiator.read(first_block_of(1) - 512, 1024);
    assert_eq!((done.status, done.data.to_bytes().to_vec() == data), (status::GOOD, true));
    // Each of the two nodes wrote a part.
    let writers: std::collections::BTreeSet<u32> = env
        .recorder
        .events()
        .iter()
        .filter_map(|n| match n.kind {
            TraceEventKind::Applied { node, .. } => Some(node),
            _ => None,
        })
        .collect();
    assert_eq!(writers.into_iter().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(initiator.execute(MediaOp::Flush, 0, 0, Vec::new()).status, status::GOOD);
    assert_eq!(
        initiator.execute(MediaOp::Verify { compare: true }, first_block_of(1) - 512, 1024, data).status,
        status::GOOD
    );
    env.assert_rules_kept();
}

#[test]
fn compare_and_write_writes_once_and_then_reports_a_miscompare() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    let data = |old: u8, new: u8| [vec![old; 512], vec![new; 512]].concat();
    assert_eq!(initiator.execute(MediaOp::CompareAndWrite, 7, 1, data(0, 5)).status, status::GOOD);
    let done = initiator.execute(MediaOp::CompareAndWrite, 7, 1, data(0, 6));
    assert_eq!(status_and_sense(&done), (status::CHECK_CONDITION, SenseKey::Miscompare as u8));
    assert_eq!(initiator.read(7, 1).data.to_bytes()[0], 5);
    env.assert_rules_kept();
}

#[test]
fn requests_past_the_end_of_the_volume_fail_without_a_node() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    let end = env.settings.volumes[0].unit.blocks;
    for (lba, blocks) in [(end, 1), (end - 1, 2), (u64::MAX, 1), (1 << 62, 8)] {
        assert_eq!(
            status_and_sense(&initiator.read(lba, blocks)),
            (status::CHECK_CONDITION, SenseKey::IllegalRequest as u8)
        );
    }
    assert_eq!(initiator.read(end - 1, 1).status, status::GOOD);
    assert_eq!(initiator.read(0, 0).status, status::GOOD);
    assert!(env.hosts[0].node_counts().unwrap().values().map(|c| c.sent).sum::<u64>() <= 1);
}

/// Guards against requests to an unresponsive node that get no status, or a status that invites a retry
/// although the command may have run, and against late responses that are taken for responses to later
/// commands.
#[test]
fn requests_to_an_unresponsive_node_get_one_safe_status_each_in_time() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    env.fleet.node(1).set_fault(NodeFault::Hang(true));
    let began = Instant::now();
    initiator.submit(MediaOp::Read, 0, 8, Vec::new());
    initiator.submit(MediaOp::Write, 64, 8, vec![1; 4096]);
    initiator.submit(MediaOp::CompareAndWrite, 200, 1, vec![0; 1024]);
    let mut ends = [initiator.next_completion(), initiator.next_completion(), initiator.next_completion()];
    ends.sort_by_key(|e| e.0 .0);
    assert!(began.elapsed() < ms(2500), "{:?}", began.elapsed());
    // BUSY invites a retry, which is harmless for the read only: the other commands may have run and have to
    // fail.
    assert!(matches!(ends[0].1.status, status::BUSY | status::TASK_SET_FULL));
    assert_eq!(status_and_sense(&ends[1].1), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    assert_eq!(status_and_sense(&ends[2].1), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    env.fleet.node(1).set_fault(NodeFault::Hang(false));
    // Responses after the time-out are dropped, and their task tags are safe to use again.
    for fill in 1..20u8 {
        wait_until("a write that is served", || initiator.write(8, 4, fill).status == status::GOOD);
        assert_eq!(initiator.read(8, 4).data.to_bytes(), vec![fill; 2048]);
    }
    env.assert_rules_kept();
}

/// Guards against a write that is partly or twice applied when the node resets the connection between R2T and
/// the data.
#[test]
fn a_write_reset_after_r2t_is_not_applied_and_succeeds_when_repeated() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    env.fleet.node(2).set_fault(NodeFault::ResetAtR2t(true));
    // Longer than the first burst of 256 KiB, so that the node sends an R2T for the rest.
    let done = initiator.write(first_block_of(1), 1024, 9);
    assert_ne!(done.status, status::GOOD);
    assert_eq!(env.applied_count(), 0, "an incomplete write must change nothing");
    env.fleet.node(2).set_fault(NodeFault::ResetAtR2t(false));
    wait_until("the write", || initiator.write(first_block_of(1), 1024, 9).status == status::GOOD);
    assert_eq!(initiator.read(first_block_of(1), 1024).data.to_bytes(), vec![9; 1024 * 512]);
    env.assert_rules_kept();
}

#[test]
fn a_draining_node_finishes_its_write_and_gets_no_new_request() {
    let env =
        TestEnv::with(1, &FakeClusterSpec { unit_work: ms(300), ..FakeClusterSpec::default() }, SETTINGS);
    let initiator = env.initiator(0, 0);
    initiator.submit(MediaOp::Write, 0, 8, vec![3; 4096]);
    wait_until("the write at the node", || {
        env.recorder.events().iter().any(|n| {
        matches!(&n.kind, TraceEventKind::Pdu { endpoint: Endpoint::Node { node: 1 }, sent: false, header, .. } if header.opcode() == 1)
    })
    });
    env.fleet.drain_node(1);
    assert_eq!(initiator.next_completion().1.status, status::GOOD, "the write in flight is finished");
    let is_notified = |ready| move |n: &pearfork_rulecheck::TraceEvent| matches!(n.kind, TraceEventKind::NodeListed { node: 1, ready: r, .. } if r == ready);
    wait_until("the host to be notified of the drain", || {
        env.recorder.events().iter().any(is_notified(false))
    });
    std::thread::sleep(ms(300));
    let before = env.recorder.events().len();
    for _ in 0..5 {
        initiator.submit(MediaOp::Read, 0, 8, Vec::new());
    }
    for _ in 0..5 {
        assert_ne!(initiator.next_completion().1.status, status::GOOD);
    }
    let sent = env.recorder.events()[before..].iter().filter(|n| {
        matches!(&n.kind, TraceEventKind::Pdu { endpoint: Endpoint::Node { node: 1 }, sent: false, header, .. } if header.opcode() == 1)
    }).count();
    assert_eq!(sent, 0);
    env.assert_rules_kept();
}

#[test]
fn retries_of_a_keyed_write_carry_one_key_and_take_effect_once() {
    let env = TestEnv::new(1);
    let initiator = env.initiator(0, 0);
    assert_eq!(initiator.write(0, 8, 1).status, status::GOOD);
    // A slow node resets its connection with writes in flight: they have run or will run, and are retried in
    // their window.
    env.fleet.node(1).set_fault(NodeFault::Slow(100.0));
    for n in 0..4 {
        initiator.submit(MediaOp::Write, 100 + n * 8, 8, vec![n as u8 + 1; 4096]);
    }
    wait_until("the writes to be sent", || {
        env.hosts[0].node_counts().unwrap().get(&1).is_some_and(|c| c.sent >= 3)
    });
    env.fleet.node(1).set_fault(NodeFault::Reset);
    env.fleet.node(1).set_fault(NodeFault::Slow(1.0));
    for _ in 0..4 {
        initiator.next_completion();
    }
    let mut keys = std::collections::BTreeMap::new();
    for n in env.recorder.events() {
        if let TraceEventKind::Pdu { endpoint: Endpoint::Node { .. }, sent: false, header, .. } = &n.kind {
            if let Some(tag) = CommandMetadata::find(&header.extra) {
                keys.entry((tag.session, tag.cmd_sn, tag.part)).or_insert_with(Vec::new).push(tag.attempt);
            }
        }
    }
    assert!(keys.values().any(|attempts| attempts.len() > 1), "no retry to check: {keys:?}");
    env.assert_rules_kept();
}

#[test]
fn an_abort_that_races_the_response_causes_no_second_response() {
    let env = TestEnv::with(1, &FakeClusterSpec { unit_work: ms(2), ..FakeClusterSpec::default() }, SETTINGS);
    let initiator = env.initiator(0, 0);
    let mut completed_and_aborted = [0, 0];
    for n in 0..60u64 {
        let id = initiator.submit(MediaOp::Read, first_block_of(n % 4), 8, Vec::new());
        std::thread::sleep(std::time::Duration::from_micros(n * 100 % 4_000));
        initiator.connection.abort(|t| *t == id);
        match initiator.next_event() {
            ConnectionEvent::Completed(..) => completed_and_aborted[0] += 1,
            ConnectionEvent::Aborted(_) => completed_and_aborted[1] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(completed_and_aborted[0] + completed_and_aborted[1], 60);
    assert!(completed_and_aborted[1] > 0, "no abort came before the response");
    // The next response belongs to a new command: no other is left.
    assert_eq!(initiator.read(0, 1).data.len(), 512);
    env.assert_rules_kept();
}

#[test]
fn a_second_login_with_the_same_isid_replaces_the_session() {
    let env =
        TestEnv::with(1, &FakeClusterSpec { unit_work: ms(100), ..FakeClusterSpec::default() }, SETTINGS);
    let initiator = env.initiator(0, 0);
    for n in 0..8 {
        initiator.submit(MediaOp::Read, n * 8, 8, Vec::new());
    }
    let second = env.initiator(0, 0);
    assert_ne!(initiator.connection.tsih(), second.connection.tsih());
    wait_until("the old session's end", || !initiator.connection.is_open());
    assert_eq!(second.read(first_block_of(2), 8).status, status::GOOD);
    env.assert_rules_kept();
}

/// Guards against a client that reads no responses and so makes the host buffer them without limit, or blocks
/// other clients.
#[test]
fn a_client_that_never_reads_is_throttled_and_blocks_no_other_client() {
    let env = TestEnv::new(1);
    // Logs in without the initiator library, sends NOP-Out PDUs to be echoed, and never reads a response.
    let mut stream = TcpStream::connect(env.hosts[0].address()).unwrap();
    let text = b"InitiatorName=iqn.2026-12.org.example:deaf\0TargetName=iqn.2026-12.org.pearfork:notes\0";
    let mut login = vec![0u8; 48];
    (login[0], login[1], login[8], login[27]) = (0x43, 0x87, 0x80, 1);
    login[7] = text.len() as u8;
    login.extend_from_slice(text);
    login.resize(login.len().next_multiple_of(4), 0);
    stream.write_all(&login).unwrap();
    let mut head = [0; 48];
    stream.read_exact(&mut head).unwrap();
    assert_eq!(head[36], 0, "login");
    stream.set_write_timeout(Some(ms(200))).unwrap();
    let mut sent = 0;
    for n in 1..100_000u32 {
        let mut pdu = vec![0u8; 48];
        (pdu[0], pdu[1]) = (0x40, 0x80); // An immediate NOP-Out
        pdu[16..20].copy_from_slice(&n.to_be_bytes());
        pdu[20..24].fill(0xff);
        pdu[5..8].copy_from_slice(&4096u32.to_be_bytes()[1..]);
        pdu.resize(48 + 4096, 7);
        if stream.write_all(&pdu).is_err() {
            break;
        }
        sent = n;
    }
    assert!(sent < 99_000, "the client was not throttled");
    let initiator = env.initiator(0, 0);
    for _ in 0..10 {
        assert_eq!(initiator.read(0, 8).status, status::GOOD);
    }
}

#[test]
fn forty_hosts_do_not_overload_a_cold_node() {
    let settings = SETTINGS.replace("cold_units = 40", "cold_units = 160");
    let spec = FakeClusterSpec { node_count: 1, racks: 1, unit_work: ms(4), ..FakeClusterSpec::default() };
    let env = TestEnv::with(
        40,
        &spec,
        &settings
            .replace("shards = [0, 1, 2, 3]", "shards = [0]")
            .replace("shards = [1, 2, 3, 0]", "shards = [0]"),
    );
    let initiators: Vec<TestInitiator> = (0..40).map(|h| env.initiator(h, 0)).collect();
    let load = |seconds: u64, offset: u64| {
        let until = Instant::now() + ms(seconds * 1000);
        while Instant::now() < until {
            for (i, initiator) in initiators.iter().enumerate() {
                if initiator.connection.outstanding() < 2 {
                    initiator.submit(MediaOp::Read, (i as u64 * 64 + offset) % 30_000, 8, Vec::new());
                }
            }
            std::thread::sleep(ms(30));
        }
    };
    load(2, 0);
    env.fleet.kill_node(1);
    env.fleet.restart_node(1).unwrap();
    load(4, 7);
    wait_until("all responses", || initiators.iter().all(|i| i.connection.outstanding() == 0));
    assert!(!env.fleet.node(1).has_collapsed());
    env.assert_rules_kept();
    assert!(env.check_rules().finding(Rule::ColdNodes).unwrap().checks > 20, "\n{}", env.check_rules());
}

#[test]
fn an_orderly_stop_answers_all_accepted_commands() {
    let env =
        TestEnv::with(1, &FakeClusterSpec { unit_work: ms(150), ..FakeClusterSpec::default() }, SETTINGS);
    let initiator = env.initiator(0, 0);
    for n in 0..4 {
        initiator.submit(MediaOp::Read, first_block_of(n), 8, Vec::new());
    }
    wait_until("all commands to be accepted", || {
        env.hosts[0].class_counts().unwrap().iter().map(|c| c.taken).sum::<u64>() == 4
    });
    assert!(env.hosts[0].stop());
    let mut completed = 0;
    loop {
        match initiator.next_event() {
            ConnectionEvent::Completed(..) => completed += 1,
            ConnectionEvent::Closed(..) => break,
            _ => {}
        }
    }
    assert_eq!(completed, 4);
    env.assert_rules_kept();
}

#[test]
fn a_restarted_host_treats_a_recently_restarted_node_as_cold() {
    let mut env = TestEnv::new(1);
    env.fleet.kill_node(2);
    env.fleet.restart_node(2).unwrap();
    // A clock that starts with the process would place the node's start in the distant past.
    env.hosts.clear();
    env.add_host(0);
    let http = env.hosts[0].http_address().unwrap();
    let (_, body) = pearfork_net::http::get(http, "/nodes", TIMEOUT).unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(body.contains("\"node\": 2") && body.matches("\"started_ms\": 0.0").count() == 3, "{body}");
    let (_, metrics) = pearfork_net::http::get(http, "/metrics", TIMEOUT).unwrap();
    assert!(String::from_utf8(metrics)
        .unwrap()
        .contains("pearfork_answers_total{class=\"write\",answer=\"served\"} 0"));
}
