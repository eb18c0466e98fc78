//! Valid and invalid input from clients, nodes and discovery.

use bytes::Bytes;
use pearfork::{AttemptResult, ListKind, NodeState};
use pearfork_platform::config::{ClassSchema, Config, RequestSchema};
use pearfork_platform::node_list::{self, NodeTable};
use pearfork_platform::node_reply;
use pearfork_platform::request::{self, ClientCommand, RequestError};
use pearfork_resp::{Reply, ReplyDecoder};
use proptest::prelude::*;

fn request_schema() -> RequestSchema {
    let class = |name: &str, requires_key, writes| ClassSchema {
        name: name.to_owned(),
        requires_key,
        is_write: Some(writes),
    };
    RequestSchema {
        classes: vec![class("read", false, false), class("write", true, true)],
        plans: vec!["gold".to_owned()],
        shard_count: 8,
        max_units: 6.0,
    }
}

const PIECE: &str = "7f3a9c21e0b4d655";
const ID: &str = "9b1f03aa5c7e2d41";
const READ: &str = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3";
const WRITE: &str =
    "c=write,t=gold,d=480,k=5c0f6e1a2b3d4c59,volume=00000003b4d60021,units=2,shard=-1,hosts=3";

fn parse(args: &[&str]) -> Result<ClientCommand, RequestError> {
    let args: Vec<Bytes> = args.iter().map(|w| Bytes::copy_from_slice(w.as_bytes())).collect();
    request::parse(&args, &request_schema())
}

#[test]
fn a_request_is_parsed_and_forwarded_unchanged_except_for_its_wait_time() {
    let Ok(ClientCommand::Request(request)) = parse(&["OBJ.PUT", PIECE, ID, WRITE, "BODY"]) else { panic!() };
    let scheduled = request.scheduler_request(7, 1480.0);
    assert_eq!((scheduled.id, scheduled.class, scheduled.plan, scheduled.shard), (7, 1, 0, None));
    assert_eq!((scheduled.key, scheduled.units, scheduled.volume_hosts), (0x7f3a_9c21_e0b4_d655, 2.0, 3.0));
    assert_eq!(request.wait_ms, 480.0);
    let sent = String::from_utf8(request.command(77.9).to_vec()).unwrap();
    assert!(sent.contains(&WRITE.replace("d=480", "d=77")), "{sent}");
    assert!(sent.starts_with("*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n7f3a") && sent.ends_with("$4\r\nBODY\r\n"));
    // A wait that is already over is sent as 1 ms rather than as zero.
    assert!(String::from_utf8_lossy(&request.command(-3.0)).contains("d=1,"));
}

#[test]
fn unknown_attributes_are_forwarded() {
    let list = format!("{READ},r=1,later=x");
    let Ok(ClientCommand::Request(request)) = parse(&["OBJ.GET", PIECE, ID, &list]) else { panic!() };
    assert!(String::from_utf8_lossy(&request.command(10.0)).contains(",r=1,later=x\r\n"));
}

/// Guards against forwarding a command that a node cannot use, which does harm beyond this one request.
#[test]
fn invalid_commands_yield_specific_errors() {
    let read = |from: &str, to: &str| READ.replace(from, to);
    let cases = [
        (vec!["GET", PIECE], "unknown command"),
        (vec!["OBJ.GET", PIECE, ID], "wrong number of words"),
        (vec!["OBJ.GET", PIECE, ID, READ, "BODY"], "wrong number of words"),
        (vec!["OBJ.PUT", PIECE, ID, WRITE], "wrong number of words"),
    ];
    for (args, expected) in cases {
        assert_eq!(parse(&args).unwrap_err().to_string(), expected);
    }
    let lists = [
        (read("c=read", "c=none"), "unknown class"),
        (read("t=gold", "t=lead"), "unknown plan"),
        (read("c=read", "c=write"), "c is"),
        (read("d=480", "d=soon"), "d is"),
        (read("d=480", "d=-1"), "d is"),
        (read("d=480", "d=99999999999"), "d is"),
        (read("d=480,", ""), "d is"),
        (read("units=2", "units=NaN"), "units is"),
        (read("units=2", "units=1e9"), "units is"),
        (read("units=2", "units=0"), "units is"),
        (read("shard=5", "shard=8"), "shard is"),
        (read("shard=5", "shard=-2"), "shard is"),
        (read("volume=00000003b4d60021", "volume=3"), "volume is"),
        (read("hosts=3", "hosts"), "list is"),
        (read("hosts=3", "hosts=3,hosts=4"), "list is"),
        (read("hosts=3", "hosts=3,x=\u{1}"), "list is"),
        (format!("{READ},{}", "x".repeat(600)), "list is"),
        (String::new(), "list is"),
    ];
    for (list, expected) in lists {
        let error = parse(&["OBJ.GET", PIECE, ID, &list]).unwrap_err().to_string();
        assert!(error.starts_with(expected), "{list}: {error}");
    }
    assert!(parse(&["OBJ.GET", "zz", ID, READ]).unwrap_err().to_string().starts_with("piece"));
    assert!(parse(&["OBJ.GET", PIECE, "", READ]).unwrap_err().to_string().starts_with("id"));
    let no_key = WRITE.replace("k=5c0f6e1a2b3d4c59,", "");
    assert!(parse(&["OBJ.PUT", PIECE, ID, &no_key, "B"]).unwrap_err().to_string().starts_with("k is"));
}

fn reply(bytes: &[u8]) -> node_reply::NodeReply {
    let mut replies = ReplyDecoder::new(node_reply::LIMITS);
    replies.buffer().extend_from_slice(bytes);
    node_reply::parse(replies.next_reply().unwrap().unwrap())
}

#[test]
fn a_served_reply_carries_load_figures() {
    let a = reply(b"*3\r\n$3\r\nabc\r\n$14\r\nused=37,cost=4\r\n$23\r\nqueue=2,latency_ms=31.5\r\n");
    assert_eq!((a.result, a.value.as_deref()), (AttemptResult::Served, Some(&b"abc"[..])));
    assert_eq!((a.report.used_percent, a.report.other_hosts_units), (Some(37.0), 4.0));
    assert_eq!((a.report.queue, a.report.latency_ms, a.report.in_flight), (Some(2.0), Some(31.5), None));
    let without_figures = reply(b"*3\r\n$3\r\nabc\r\n$-1\r\n$-1\r\n");
    assert_eq!((without_figures.result, without_figures.report), (AttemptResult::Served, Default::default()));
}

/// A figure that cannot be parsed invalidates only itself, not the reply.
#[test]
fn invalid_figures_are_ignored() {
    let a = reply(b"*3\r\n$3\r\nabc\r\n$9\r\nused=many\r\n$17\r\nqueue=-4,\xff,util=x\r\n");
    assert_eq!((a.result, a.report), (AttemptResult::Served, Default::default()));
    let a = reply(b"*3\r\n$3\r\nabc\r\n$-1\r\n$20\r\nqueue=NaN,inflight=7\r\n");
    assert_eq!((a.report.queue, a.report.in_flight), (None, Some(7.0)));
}

#[test]
fn rejections_and_errors_are_distinguished() {
    let a = reply(b"-ERR failed used=12 queue=3\r\n");
    assert_eq!(
        (a.result, a.report.used_percent, a.report.queue),
        (AttemptResult::Error, Some(12.0), Some(3.0))
    );
    assert_eq!(reply(b"-BUSY\r\n").result, AttemptResult::Rejected);
    assert_eq!(reply(b"-BUSYBODY\r\n").result, AttemptResult::Error);
}

/// Guards against returning anything but the value to a client, which would count as served and lose the
/// request.
#[test]
fn replies_outside_the_protocol_are_errors_and_never_values() {
    let malformed: [&[u8]; 7] = [
        b"+OK\r\n",
        b":4\r\n",
        b"$3\r\nabc\r\n",
        b"$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*0\r\n",
        b"*2\r\n$3\r\nabc\r\n:7\r\n",
    ];
    for bytes in malformed {
        let a = reply(bytes);
        assert_eq!((a.result, a.value), (AttemptResult::Error, None), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(node_reply::parse(Reply::Array(None)).result, AttemptResult::Error);
}

fn list(version: u64, is_full: bool, nodes: &[(&str, &str, &str, u64)]) -> node_list::NodeList {
    let entries: Vec<String> = nodes
        .iter()
        .map(|(host, address, health, started_ms)| {
            format!(r#"{{"host":"{host}","dial":"{address}","site":"a","class":"m","block":3,"health":"{health}","share":1.0,"born_ms":{started_ms}}}"#)
        })
        .collect();
    let text = format!(r#"{{"seq":{version},"whole":{is_full},"hosts":[{}]}}"#, entries.join(","));
    node_list::parse(text.as_bytes()).unwrap()
}

#[test]
fn nodes_keep_their_numbers_across_changes_and_full_lists() {
    let mut node_table = NodeTable::default();
    let (a, b) = (("s-a", "127.0.0.1:1", "SERVING", 0), ("s-b", "127.0.0.1:2", "SERVING", 5));
    let first = list(1, true, &[a, b]);
    assert_eq!(NodeTable::list_kind(&first), ListKind::Full);
    let (entries, changes) = node_table.apply(&first);
    let (na, nb) = (entries[0].node, entries[1].node);
    assert_ne!(na, nb);
    assert!(changes.stale.is_empty());
    let address = |node_table: &NodeTable, node| node_table.address(node).map(|d| d.to_string());
    assert_eq!([na, nb].map(|n| address(&node_table, n).unwrap()), ["127.0.0.1:1", "127.0.0.1:2"]);
    let (entries, _) = node_table.apply(&list(2, false, &[("s-b", "127.0.0.1:2", "DRAINING", 5)]));
    assert_eq!((entries[0].node, entries[0].state), (nb, NodeState::Draining));
    // A node missing from a full list is gone. When it returns it gets the same number.
    let (_, changes) = node_table.apply(&list(3, true, &[a]));
    assert_eq!(changes.stale, [nb]);
    assert_eq!(node_table.apply(&list(4, false, &[b])).0[0].node, nb);
    // The node restarted at another address: existing connections are useless.
    let (_, changes) = node_table.apply(&list(5, false, &[("s-a", "127.0.0.1:9", "SERVING", 70)]));
    assert_eq!(changes.stale, [na]);
    // Guards against a change of one entry erasing the addresses of other nodes, which would make them
    // unreachable.
    assert_eq!([na, nb].map(|n| address(&node_table, n).unwrap()), ["127.0.0.1:9", "127.0.0.1:2"]);
    let (entries, changes) = node_table.apply(&list(6, false, &[("s-a", "127.0.0.1:9", "DELETED", 70)]));
    assert_eq!((entries[0].state, changes.stale), (NodeState::Gone, vec![na]));
}

/// Guards against unbounded memory use when nodes are replaced under new names again and again.
#[test]
fn names_of_removed_nodes_are_dropped_beyond_a_bound() {
    let mut node_table = NodeTable::default();
    let mut numbers = std::collections::HashSet::new();
    for i in 0..4_000 {
        let name = format!("s-{i}");
        let added = list(2 * i, false, &[(&name, "127.0.0.1:1", "SERVING", 1)]);
        assert!(numbers.insert(node_table.apply(&added).0[0].node), "a number was reused");
        node_table.apply(&list(2 * i + 1, false, &[(&name, "127.0.0.1:1", "DELETED", 1)]));
    }
    assert!(node_table.name_count() <= 1_100, "{}", node_table.name_count());
}

/// Guards against forgetting numbers when a release replaces every node of a large fleet and is then rolled
/// back: a node with a new number is new to the scheduler, which loses everything it knew of the node.
#[test]
fn a_replaced_fleet_of_1100_nodes_returns_with_its_numbers() {
    let names = |prefix: &str| (0..1_100).map(|i| format!("{prefix}-{i}")).collect::<Vec<String>>();
    let (old, new) = (names("old"), names("new"));
    let entries = |names: &[String]| {
        let address = |i: usize| format!("127.1.{}.{}:6379", i / 250, i % 250 + 1);
        names.iter().enumerate().map(|(i, n)| (n.clone(), address(i))).collect::<Vec<_>>()
    };
    let full_list = |version, nodes: &[(String, String)]| {
        let entries: Vec<_> = nodes.iter().map(|(n, d)| (n.as_str(), d.as_str(), "SERVING", 1)).collect();
        list(version, true, &entries)
    };
    let numbers = |entries: Vec<pearfork::NodeEntry>| entries.iter().map(|e| e.node).collect::<Vec<u32>>();
    let mut node_table = NodeTable::default();
    let first = numbers(node_table.apply(&full_list(1, &entries(&old))).0);
    let (_, changes) = node_table.apply(&full_list(2, &entries(&new)));
    assert_eq!(changes.stale.len(), 1_100);
    assert_eq!(numbers(node_table.apply(&full_list(3, &entries(&old))).0), first);
    let with_address = first.iter().filter(|n| node_table.address(**n).is_some()).count();
    assert_eq!(with_address, 1_100);
}

#[test]
fn an_invalid_list_yields_an_error_with_entry_and_field() {
    let error_for = |from: &str, to: &str| {
        let text = r#"{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":3,"health":"SERVING","born_ms":0}]}"#;
        node_list::parse(text.replace(from, to).as_bytes()).unwrap_err().to_string()
    };
    assert!(error_for("SERVING", "FINE").contains("hosts[0].health"));
    assert!(error_for("127.0.0.1:1", "here").contains("hosts[0].dial"));
    assert!(error_for("\"born_ms\":0", "\"born_ms\":-1").contains("hosts[0].born_ms"));
    assert!(error_for("\"block\":3", "\"block\":70000").contains("hosts[0].block"));
    assert!(error_for("\"seq\":1,", "").contains("seq"));
}

const CONFIG: &str = include_str!("config.json");

#[test]
fn a_configuration_is_parsed_and_its_errors_name_the_field() {
    let config = Config::parse(CONFIG.as_bytes()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.seed, config.limits.descriptors, config.limits.memory_bytes),
        ("n3", 0x8c1f_30d2_7a5b_e964, 256, 32 << 20)
    );
    assert_eq!((config.links.idle_timeout_ms, config.links.connect_timeout_ms), (30_000.0, 250.0));
    assert_eq!(
        config.schema.classes[1],
        ClassSchema { name: "write".to_owned(), requires_key: true, is_write: Some(true) }
    );
    assert_eq!((config.cached_nodes.version, config.cached_nodes.nodes.len()), (41, 1));
    let error_for =
        |from: &str, to: &str| Config::parse(CONFIG.replace(from, to).as_bytes()).unwrap_err().to_string();
    assert!(error_for("\"seed\"", "\"sead\"").contains("seed is missing"));
    assert!(error_for("8c1f30d27a5be964", "eight").contains("seed is invalid"));
    assert!(error_for("127.0.0.1:6379", "there").contains("listen is invalid"));
    assert!(error_for("\"sockets\":256", "\"sockets\":0").contains("limits.sockets is invalid"));
    assert!(error_for("\"memory_mb\":32,", "").contains("limits.memory_mb is missing"));
    assert!(error_for("\"memory_mb\":32", "\"memory_mb\":-1").contains("limits.memory_mb is invalid"));
    assert!(error_for("\"GoalTimeMs\":120.0", "\"GoalTimeMs\":-1").contains("Classes[0].GoalTimeMs"));
    assert!(error_for("\"health\":\"SERVING\"", "\"health\":\"?\"").contains("known: hosts[0].health"));
    assert!(Config::parse(b"{").unwrap_err().to_string().contains("line 1"));
}

proptest! {
    /// For arbitrary input from a client, a node or discovery, the parsers return a value or an error and
    /// never panic.
    #[test]
    fn arbitrary_input_causes_no_panic(
        args in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..7),
        text in "\\PC{0,80}", bytes in proptest::collection::vec(any::<u8>(), 0..60),
    ) {
        let mut args: Vec<Bytes> = args.into_iter().map(Bytes::from).collect();
        let _ = request::parse(&args, &request_schema());
        if args.len() >= 4 {
            (args[0], args[1], args[2]) = ("OBJ.GET".into(), PIECE.into(), ID.into());
            args[3] = format!("{READ},{text}").into();
            let _ = request::parse(&args[..4], &request_schema());
        }
        let _ = node_list::parse(text.as_bytes());
        let _ = Config::parse(text.as_bytes());
        let mut replies = ReplyDecoder::new(node_reply::LIMITS);
        replies.buffer().extend_from_slice(&bytes);
        while let Ok(Some(reply)) = replies.next_reply() {
            let _ = node_reply::parse(reply);
        }
    }
}

/// Guards against ids that stay in use for good, or are released while an attempt may run.
#[test]
fn an_id_is_kept_after_its_client_has_left_until_its_time_is_over() {
    let mut ids = pearfork_platform::client_ids::ClientIds::default();
    let id = |n: u32| bytes::Bytes::from(format!("{n:016x}"));
    assert!(ids.take(0.0, &id(1)) && !ids.take(0.0, &id(1)));
    ids.release(&id(1));
    assert!(ids.take(1.0, &id(1)));
    ids.release(&id(1));
    ids.keep(2.0, id(1), 1_000.0);
    assert!(!ids.take(999.0, &id(1)));
    assert!(ids.take(1_000.0, &id(1)));
    // A client that waits for an hour does not hold its id for an hour, and the number of kept ids is bounded.
    ids.keep(2_000.0, id(2), 3_600_000.0);
    assert!(!ids.take(11_999.0, &id(2)) && ids.take(12_000.0, &id(2)));
    (0..20_000).for_each(|n| ids.keep(20_000.0, id(100 + n), 25_000.0));
    assert!(ids.take(20_001.0, &id(100)) && !ids.take(20_001.0, &id(20_099)));
}
