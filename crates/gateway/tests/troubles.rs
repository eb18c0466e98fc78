//! Hard cases, each through a real host on loopback.

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

/// A block of the extent that shard `shard` holds: extents of 1 MiB are dealt out in turn over four shards.
fn in_shard(shard: u64) -> u64 {
    shard * 2048
}

#[test]
fn what_is_written_is_read_back_across_extents_with_one_answer_each() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    let data: Vec<u8> = (0..1024 * 512).map(|i| (i / 512 % 251) as u8).collect();
    let d = a.ask(MediaOp::Write, in_shard(1) - 512, 1024, data.clone());
    assert_eq!(ended(&d), (status::GOOD, 0));
    let d = a.read(in_shard(1) - 512, 1024);
    assert_eq!((d.status, d.data.to_bytes().to_vec() == data), (status::GOOD, true));
    // Both nodes took a part.
    let parts: std::collections::BTreeSet<u32> = w
        .recorder
        .events()
        .iter()
        .filter_map(|n| match n.kind {
            TraceEventKind::Applied { node, .. } => Some(node),
            _ => None,
        })
        .collect();
    assert_eq!(parts.into_iter().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(a.ask(MediaOp::Flush, 0, 0, Vec::new()).status, status::GOOD);
    assert_eq!(a.ask(MediaOp::Verify { compare: true }, in_shard(1) - 512, 1024, data).status, status::GOOD);
    w.assert_rules();
}

#[test]
fn compare_and_write_writes_once_and_tells_a_miscompare() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    let data = |old: u8, new: u8| [vec![old; 512], vec![new; 512]].concat();
    assert_eq!(a.ask(MediaOp::CompareAndWrite, 7, 1, data(0, 5)).status, status::GOOD);
    let d = a.ask(MediaOp::CompareAndWrite, 7, 1, data(0, 6));
    assert_eq!(ended(&d), (status::CHECK_CONDITION, SenseKey::Miscompare as u8));
    assert_eq!(a.read(7, 1).data.to_bytes()[0], 5);
    w.assert_rules();
}

#[test]
fn requests_past_the_end_and_unknown_ones_are_answered_without_a_node() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    let end = w.plan.volumes[0].unit.blocks;
    for (lba, blocks) in [(end, 1), (end - 1, 2), (u64::MAX, 1), (1 << 62, 8)] {
        assert_eq!(ended(&a.read(lba, blocks)), (status::CHECK_CONDITION, SenseKey::IllegalRequest as u8));
    }
    assert_eq!(a.read(end - 1, 1).status, status::GOOD);
    assert_eq!(a.read(0, 0).status, status::GOOD);
    assert!(w.hosts[0].node_counts().unwrap().values().map(|c| c.sent).sum::<u64>() <= 1);
}

#[test]
fn a_node_that_answers_nothing_leaves_each_request_one_honest_answer_in_time() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    w.fleet.node(1).set_fault(NodeFault::Hang(true));
    let began = Instant::now();
    a.send(MediaOp::Read, 0, 8, Vec::new());
    a.send(MediaOp::Write, 64, 8, vec![1; 4096]);
    a.send(MediaOp::CompareAndWrite, 200, 1, vec![0; 1024]);
    let mut ends = [a.done(), a.done(), a.done()];
    ends.sort_by_key(|e| e.0 .0);
    assert!(began.elapsed() < ms(2500), "{:?}", began.elapsed());
    // A read may be said to be harmless to retry; the others may have run, and only a failure is honest.
    assert!(matches!(ends[0].1.status, status::BUSY | status::TASK_SET_FULL));
    assert_eq!(ended(&ends[1].1), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    assert_eq!(ended(&ends[2].1), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    w.fleet.node(1).set_fault(NodeFault::Hang(false));
    // Answers that come after their time-outs answer nobody, and the tags serve others rightly.
    for fill in 1..20u8 {
        eventually("a write that is served", || a.write(8, 4, fill).status == status::GOOD);
        assert_eq!(a.read(8, 4).data.to_bytes(), vec![fill; 2048]);
    }
    w.assert_rules();
}

#[test]
fn a_node_that_resets_between_r2t_and_data_loses_no_write_and_doubles_none() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    w.fleet.node(2).set_fault(NodeFault::ResetAtR2t(true));
    // Longer than the first burst of 256 KiB, so that the node asks for the rest.
    let d = a.write(in_shard(1), 1024, 9);
    assert_ne!(d.status, status::GOOD);
    assert_eq!(w.applied(), 0, "a torn write must change nothing");
    w.fleet.node(2).set_fault(NodeFault::ResetAtR2t(false));
    eventually("the write", || a.write(in_shard(1), 1024, 9).status == status::GOOD);
    assert_eq!(a.read(in_shard(1), 1024).data.to_bytes(), vec![9; 1024 * 512]);
    w.assert_rules();
}

#[test]
fn a_node_that_drains_during_a_write_ends_it_honestly_and_gets_nothing_new() {
    let w = World::with(1, &FakeClusterSpec { unit_work: ms(300), ..FakeClusterSpec::default() }, HOSTS);
    let a = w.asker(0, 0);
    a.send(MediaOp::Write, 0, 8, vec![3; 4096]);
    eventually("the write at the node", || {
        w.recorder.events().iter().any(|n| {
        matches!(&n.kind, TraceEventKind::Pdu { endpoint: Endpoint::Node { node: 1 }, sent: false, header, .. } if header.opcode() == 1)
    })
    });
    w.fleet.drain_node(1);
    assert_eq!(a.done().1.status, status::GOOD, "what it had it finishes");
    let told = |ready| move |n: &pearfork_rulecheck::TraceEvent| matches!(n.kind, TraceEventKind::NodeListed { node: 1, ready: r, .. } if r == ready);
    eventually("word of the drain", || w.recorder.events().iter().any(told(false)));
    std::thread::sleep(ms(300));
    let before = w.recorder.events().len();
    for _ in 0..5 {
        a.send(MediaOp::Read, 0, 8, Vec::new());
    }
    for _ in 0..5 {
        assert_ne!(a.done().1.status, status::GOOD);
    }
    let sent = w.recorder.events()[before..].iter().filter(|n| {
        matches!(&n.kind, TraceEventKind::Pdu { endpoint: Endpoint::Node { node: 1 }, sent: false, header, .. } if header.opcode() == 1)
    }).count();
    assert_eq!(sent, 0);
    w.assert_rules();
}

#[test]
fn repeats_of_a_keyed_write_carry_one_key_and_take_effect_once() {
    let w = World::new(1);
    let a = w.asker(0, 0);
    assert_eq!(a.write(0, 8, 1).status, status::GOOD);
    // A slow node whose connection drops with writes on it: they ran or will run, and go again in their window.
    w.fleet.node(1).set_fault(NodeFault::Slow(100.0));
    for n in 0..4 {
        a.send(MediaOp::Write, 100 + n * 8, 8, vec![n as u8 + 1; 4096]);
    }
    eventually("all four sent", || w.hosts[0].node_counts().unwrap().get(&1).is_some_and(|c| c.sent >= 3));
    w.fleet.node(1).set_fault(NodeFault::Reset);
    w.fleet.node(1).set_fault(NodeFault::Slow(1.0));
    for _ in 0..4 {
        a.done();
    }
    let mut keys = std::collections::BTreeMap::new();
    for n in w.recorder.events() {
        if let TraceEventKind::Pdu { endpoint: Endpoint::Node { .. }, sent: false, header, .. } = &n.kind {
            if let Some(tag) = CommandMetadata::find(&header.extra) {
                keys.entry((tag.session, tag.cmd_sn, tag.part)).or_insert_with(Vec::new).push(tag.attempt);
            }
        }
    }
    assert!(keys.values().any(|attempts| attempts.len() > 1), "no repeat to judge: {keys:?}");
    w.assert_rules();
}

#[test]
fn an_abort_that_races_the_answer_leaves_no_second_one() {
    let w = World::with(1, &FakeClusterSpec { unit_work: ms(2), ..FakeClusterSpec::default() }, HOSTS);
    let a = w.asker(0, 0);
    let mut ends = [0, 0];
    for n in 0..60u64 {
        let number = a.send(MediaOp::Read, in_shard(n % 4), 8, Vec::new());
        std::thread::sleep(std::time::Duration::from_micros(n * 100 % 4_000));
        a.connection.abort(|t| *t == number);
        match a.event() {
            ConnectionEvent::Done(..) => ends[0] += 1,
            ConnectionEvent::Aborted(_) => ends[1] += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(ends[0] + ends[1], 60);
    assert!(ends[1] > 0, "no abort came before its answer");
    // The next answer is that of a command sent now: none was left over.
    assert_eq!(a.read(0, 1).data.len(), 512);
    w.assert_rules();
}

#[test]
fn a_client_that_comes_again_with_its_isid_replaces_its_session() {
    let w = World::with(1, &FakeClusterSpec { unit_work: ms(100), ..FakeClusterSpec::default() }, HOSTS);
    let a = w.asker(0, 0);
    for n in 0..8 {
        a.send(MediaOp::Read, n * 8, 8, Vec::new());
    }
    let again = w.asker(0, 0);
    assert_ne!(a.connection.tsih(), again.connection.tsih());
    eventually("the old session's end", || !a.connection.is_open());
    assert_eq!(again.read(in_shard(2), 8).status, status::GOOD);
    w.assert_rules();
}

#[test]
fn a_client_that_never_reads_blocks_nobody_else_and_takes_no_memory_without_end() {
    let w = World::new(1);
    // By hand: logs in, asks for reads without end, and never reads an answer.
    let mut s = TcpStream::connect(w.hosts[0].address()).unwrap();
    let text = b"InitiatorName=iqn.2026-12.org.example:deaf\0TargetName=iqn.2026-12.org.pearfork:notes\0";
    let mut login = vec![0u8; 48];
    (login[0], login[1], login[8], login[27]) = (0x43, 0x87, 0x80, 1);
    login[7] = text.len() as u8;
    login.extend_from_slice(text);
    login.resize(login.len().next_multiple_of(4), 0);
    s.write_all(&login).unwrap();
    let mut head = [0; 48];
    s.read_exact(&mut head).unwrap();
    assert_eq!(head[36], 0, "login");
    s.set_write_timeout(Some(ms(200))).unwrap();
    let mut sent = 0;
    for n in 1..100_000u32 {
        let mut c = vec![0u8; 48];
        (c[0], c[1]) = (0x40, 0x80); // NOP-Out, immediate, to be echoed
        c[16..20].copy_from_slice(&n.to_be_bytes());
        c[20..24].fill(0xff);
        c[5..8].copy_from_slice(&4096u32.to_be_bytes()[1..]);
        c.resize(48 + 4096, 7);
        if s.write_all(&c).is_err() {
            break;
        }
        sent = n;
    }
    assert!(sent < 99_000, "nothing held it back");
    let a = w.asker(0, 0);
    for _ in 0..10 {
        assert_eq!(a.read(0, 8).status, status::GOOD);
    }
}

#[test]
fn forty_hosts_do_not_push_over_a_cold_node() {
    let settings = HOSTS.replace("cold_units = 40", "cold_units = 160");
    let spec = FakeClusterSpec { node_count: 1, racks: 1, unit_work: ms(4), ..FakeClusterSpec::default() };
    let w = World::with(
        40,
        &spec,
        &settings
            .replace("shards = [0, 1, 2, 3]", "shards = [0]")
            .replace("shards = [1, 2, 3, 0]", "shards = [0]"),
    );
    let askers: Vec<Asker> = (0..40).map(|h| w.asker(h, 0)).collect();
    let load = |seconds: u64, offset: u64| {
        let until = Instant::now() + ms(seconds * 1000);
        while Instant::now() < until {
            for (i, a) in askers.iter().enumerate() {
                if a.connection.outstanding() < 2 {
                    a.send(MediaOp::Read, (i as u64 * 64 + offset) % 30_000, 8, Vec::new());
                }
            }
            std::thread::sleep(ms(30));
        }
    };
    load(2, 0);
    w.fleet.kill_node(1);
    w.fleet.restart_node(1).unwrap();
    load(4, 7);
    eventually("all answers", || askers.iter().all(|a| a.connection.outstanding() == 0));
    assert!(!w.fleet.node(1).has_crashed());
    w.assert_rules();
    assert!(w.rules().finding(Rule::ColdNodes).unwrap().checks > 20, "\n{}", w.rules());
}

#[test]
fn a_stop_in_order_answers_what_was_taken() {
    let w = World::with(1, &FakeClusterSpec { unit_work: ms(150), ..FakeClusterSpec::default() }, HOSTS);
    let a = w.asker(0, 0);
    for n in 0..4 {
        a.send(MediaOp::Read, in_shard(n), 8, Vec::new());
    }
    eventually("all taken", || w.hosts[0].class_counts().unwrap().iter().map(|c| c.taken).sum::<u64>() == 4);
    assert!(w.hosts[0].stop());
    let mut answers = 0;
    loop {
        match a.event() {
            ConnectionEvent::Done(..) => answers += 1,
            ConnectionEvent::Closed(..) => break,
            _ => {}
        }
    }
    assert_eq!(answers, 4);
    w.assert_rules();
}

#[test]
fn a_host_that_restarts_next_to_a_node_that_just_did_knows_that_it_is_cold() {
    let mut w = World::new(1);
    w.fleet.kill_node(2);
    w.fleet.restart_node(2).unwrap();
    // Danger: a clock that began with the process would take the node's start for long ago.
    w.hosts.clear();
    w.add_host(0);
    let http = w.hosts[0].http_address().unwrap();
    let (_, body) = pearfork_net::http::get(http, "/nodes", LONG).unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(body.contains("\"node\": 2") && body.matches("\"started_ms\": 0.0").count() == 3, "{body}");
    let (_, metrics) = pearfork_net::http::get(http, "/metrics", LONG).unwrap();
    assert!(String::from_utf8(metrics)
        .unwrap()
        .contains("pearfork_answers_total{class=\"write\",answer=\"served\"} 0"));
}
