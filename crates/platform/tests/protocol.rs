//! What clients, nodes and discovery say, good and bad.

use bytes::Bytes;
use pearfork::{AttemptResult, ListKind, NodeState};
use pearfork_platform::config::{ClassWord, Config, RequestSchema};
use pearfork_platform::node_list::{self, NodeTable};
use pearfork_platform::node_reply;
use pearfork_platform::request::{self, Parsed, RequestFault};
use pearfork_resp::{Reply, ReplyDecoder};
use proptest::prelude::*;

fn vocabulary() -> RequestSchema {
    let class = |name: &str, keyed, writes| ClassWord { name: name.to_owned(), keyed, writes: Some(writes) };
    RequestSchema {
        classes: vec![class("read", false, false), class("write", true, true)],
        plans: vec!["gold".to_owned()],
        shards: 8,
        max_units: 6.0,
    }
}

const PIECE: &str = "7f3a9c21e0b4d655";
const ID: &str = "9b1f03aa5c7e2d41";
const READ: &str = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3";
const WRITE: &str =
    "c=write,t=gold,d=480,k=5c0f6e1a2b3d4c59,volume=00000003b4d60021,units=2,shard=-1,hosts=3";

fn parse(words: &[&str]) -> Result<Parsed, RequestFault> {
    let words: Vec<Bytes> = words.iter().map(|w| Bytes::copy_from_slice(w.as_bytes())).collect();
    request::parse(&words, &vocabulary())
}

#[test]
fn a_request_means_what_its_list_says_and_goes_on_unchanged_but_for_the_time() {
    let Ok(Parsed::Asked(asked)) = parse(&["OBJ.PUT", PIECE, ID, WRITE, "BODY"]) else { panic!() };
    let request = asked.request(7, 1480.0);
    assert_eq!((request.id, request.class, request.plan, request.shard), (7, 1, 0, None));
    assert_eq!((request.key, request.units, request.volume_hosts), (0x7f3a_9c21_e0b4_d655, 2.0, 3.0));
    assert_eq!(asked.wait_ms, 480.0);
    let sent = String::from_utf8(asked.command(77.9).to_vec()).unwrap();
    assert!(sent.contains(&WRITE.replace("d=480", "d=77")), "{sent}");
    assert!(sent.starts_with("*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n7f3a") && sent.ends_with("$4\r\nBODY\r\n"));
    // What is over already is never told as no time at all.
    assert!(String::from_utf8_lossy(&asked.command(-3.0)).contains("d=1,"));
}

#[test]
fn names_of_the_platform_s_own_pass_and_are_passed_on() {
    let list = format!("{READ},r=1,later=x");
    let Ok(Parsed::Asked(asked)) = parse(&["OBJ.GET", PIECE, ID, &list]) else { panic!() };
    assert!(String::from_utf8_lossy(&asked.command(10.0)).contains(",r=1,later=x\r\n"));
}

/// Danger: a command that a node can't use, passed on, voids more than itself.
#[test]
fn what_makes_no_sense_is_named_and_never_passed_on() {
    let read = |from: &str, to: &str| READ.replace(from, to);
    let cases = [
        (vec!["GET", PIECE], "unknown command"),
        (vec!["OBJ.GET", PIECE, ID], "wrong number of words"),
        (vec!["OBJ.GET", PIECE, ID, READ, "BODY"], "wrong number of words"),
        (vec!["OBJ.PUT", PIECE, ID, WRITE], "wrong number of words"),
    ];
    for (words, says) in cases {
        assert_eq!(parse(&words).unwrap_err().to_string(), says);
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
    for (list, says) in lists {
        let fault = parse(&["OBJ.GET", PIECE, ID, &list]).unwrap_err().to_string();
        assert!(fault.starts_with(says), "{list}: {fault}");
    }
    assert!(parse(&["OBJ.GET", "zz", ID, READ]).unwrap_err().to_string().starts_with("piece"));
    assert!(parse(&["OBJ.GET", PIECE, "", READ]).unwrap_err().to_string().starts_with("id"));
    let no_key = WRITE.replace("k=5c0f6e1a2b3d4c59,", "");
    assert!(parse(&["OBJ.PUT", PIECE, ID, &no_key, "B"]).unwrap_err().to_string().starts_with("k is"));
}

fn answer(bytes: &[u8]) -> node_reply::Answer {
    let mut replies = ReplyDecoder::new(node_reply::LIMITS);
    replies.buffer().extend_from_slice(bytes);
    node_reply::parse(replies.next_reply().unwrap().unwrap())
}

#[test]
fn an_answer_is_served_with_its_figures() {
    let a = answer(b"*3\r\n$3\r\nabc\r\n$14\r\nused=37,cost=4\r\n$23\r\nqueue=2,latency_ms=31.5\r\n");
    assert_eq!((a.verdict, a.value.as_deref()), (AttemptResult::Served, Some(&b"abc"[..])));
    assert_eq!((a.told.used_percent, a.told.other_hosts_units), (Some(37.0), 4.0));
    assert_eq!((a.told.queue, a.told.latency_ms, a.told.in_flight), (Some(2.0), Some(31.5), None));
    let plain = answer(b"*3\r\n$3\r\nabc\r\n$-1\r\n$-1\r\n");
    assert_eq!((plain.verdict, plain.told), (AttemptResult::Served, Default::default()));
}

/// A figure that can't be read costs the figure, not the answer.
#[test]
fn figures_that_cannot_be_read_are_as_if_not_there() {
    let a = answer(b"*3\r\n$3\r\nabc\r\n$9\r\nused=many\r\n$17\r\nqueue=-4,\xff,util=x\r\n");
    assert_eq!((a.verdict, a.told), (AttemptResult::Served, Default::default()));
    let a = answer(b"*3\r\n$3\r\nabc\r\n$-1\r\n$20\r\nqueue=NaN,inflight=7\r\n");
    assert_eq!((a.told.queue, a.told.in_flight), (None, Some(7.0)));
}

#[test]
fn errors_tell_apart_what_ran_and_what_never_did() {
    let a = answer(b"-ERR failed used=12 queue=3\r\n");
    assert_eq!((a.verdict, a.told.used_percent, a.told.queue), (AttemptResult::Error, Some(12.0), Some(3.0)));
    assert_eq!(answer(b"-BUSY\r\n").verdict, AttemptResult::Rejected);
    assert_eq!(answer(b"-BUSYBODY\r\n").verdict, AttemptResult::Error);
}

/// Danger: a client given anything but its value counts as served, and its request is lost.
#[test]
fn what_is_no_answer_of_the_protocol_has_failed_and_is_never_a_value() {
    let spoilt: [&[u8]; 7] = [
        b"+OK\r\n",
        b":4\r\n",
        b"$3\r\nabc\r\n",
        b"$-1\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*0\r\n",
        b"*2\r\n$3\r\nabc\r\n:7\r\n",
    ];
    for bytes in spoilt {
        let a = answer(bytes);
        assert_eq!((a.verdict, a.value), (AttemptResult::Error, None), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(node_reply::parse(Reply::Array(None)).verdict, AttemptResult::Error);
}

fn list(seq: u64, whole: bool, lines: &[(&str, &str, &str, u64)]) -> node_list::Listing {
    let lines: Vec<String> = lines
        .iter()
        .map(|(host, dial, health, born)| {
            format!(r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m","block":3,"health":"{health}","share":1.0,"born_ms":{born}}}"#)
        })
        .collect();
    let text = format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, lines.join(","));
    node_list::parse(text.as_bytes()).unwrap()
}

#[test]
fn nodes_keep_their_numbers_through_changes_and_whole_lists() {
    let mut node_table = NodeTable::default();
    let (a, b) = (("s-a", "127.0.0.1:1", "SERVING", 0), ("s-b", "127.0.0.1:2", "SERVING", 5));
    let first = list(1, true, &[a, b]);
    assert_eq!(NodeTable::kind(&first), ListKind::Full);
    let (entries, changed) = node_table.take(&first);
    let (na, nb) = (entries[0].node, entries[1].node);
    assert_ne!(na, nb);
    assert!(changed.left.is_empty());
    let dial = |node_table: &NodeTable, node| node_table.dial(node).map(|d| d.to_string());
    assert_eq!([na, nb].map(|n| dial(&node_table, n).unwrap()), ["127.0.0.1:1", "127.0.0.1:2"]);
    let (entries, _) = node_table.take(&list(2, false, &[("s-b", "127.0.0.1:2", "DRAINING", 5)]));
    assert_eq!((entries[0].node, entries[0].state), (nb, NodeState::Draining));
    // Missing from a whole list: gone. Back again: the number that it had.
    let (_, changed) = node_table.take(&list(3, true, &[a]));
    assert_eq!(changed.left, [nb]);
    assert_eq!(node_table.take(&list(4, false, &[b])).0[0].node, nb);
    // Started anew elsewhere: what is connected leads nowhere.
    let (_, changed) = node_table.take(&list(5, false, &[("s-a", "127.0.0.1:9", "SERVING", 70)]));
    assert_eq!(changed.left, [na]);
    // Danger: a change of one line that has the others' addresses forgotten makes their nodes unreachable.
    assert_eq!([na, nb].map(|n| dial(&node_table, n).unwrap()), ["127.0.0.1:9", "127.0.0.1:2"]);
    let (entries, changed) = node_table.take(&list(6, false, &[("s-a", "127.0.0.1:9", "DELETED", 70)]));
    assert_eq!((entries[0].state, changed.left), (NodeState::Gone, vec![na]));
}

/// Danger: a day on which every node is replaced for ever under new names would fill memory.
#[test]
fn names_of_nodes_that_are_gone_are_forgotten_beyond_a_bound() {
    let mut node_table = NodeTable::default();
    let mut numbers = std::collections::HashSet::new();
    for i in 0..4_000 {
        let name = format!("s-{i}");
        let come = list(2 * i, false, &[(&name, "127.0.0.1:1", "SERVING", 1)]);
        assert!(numbers.insert(node_table.take(&come).0[0].node), "a number given twice");
        node_table.take(&list(2 * i + 1, false, &[(&name, "127.0.0.1:1", "DELETED", 1)]));
    }
    assert!(node_table.held() <= 1_100, "{}", node_table.held());
}

/// Danger: a release replaces every node of a large fleet, and one that is taken back lists the old names again: a node
/// whose number was forgotten is a new one to the module, which has lost what it knew of it.
#[test]
fn a_fleet_of_1100_nodes_is_replaced_and_comes_back_under_its_numbers() {
    let names = |prefix: &str| (0..1_100).map(|i| format!("{prefix}-{i}")).collect::<Vec<String>>();
    let (old, new) = (names("old"), names("new"));
    let lines = |names: &[String]| {
        let dial = |i: usize| format!("127.1.{}.{}:6379", i / 250, i % 250 + 1);
        names.iter().enumerate().map(|(i, n)| (n.clone(), dial(i))).collect::<Vec<_>>()
    };
    let whole = |seq, lines: &[(String, String)]| {
        let lines: Vec<_> = lines.iter().map(|(n, d)| (n.as_str(), d.as_str(), "SERVING", 1)).collect();
        list(seq, true, &lines)
    };
    let numbers = |entries: Vec<pearfork::NodeEntry>| entries.iter().map(|e| e.node).collect::<Vec<u32>>();
    let mut node_table = NodeTable::default();
    let first = numbers(node_table.take(&whole(1, &lines(&old))).0);
    let (_, changed) = node_table.take(&whole(2, &lines(&new)));
    assert_eq!(changed.left.len(), 1_100);
    assert_eq!(numbers(node_table.take(&whole(3, &lines(&old))).0), first);
    let dials = first.iter().filter(|n| node_table.dial(**n).is_some()).count();
    assert_eq!(dials, 1_100);
}

#[test]
fn a_list_that_makes_no_sense_names_line_and_field() {
    let bad = |from: &str, to: &str| {
        let text = r#"{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":3,"health":"SERVING","born_ms":0}]}"#;
        node_list::parse(text.replace(from, to).as_bytes()).unwrap_err().to_string()
    };
    assert!(bad("SERVING", "FINE").contains("hosts[0].health"));
    assert!(bad("127.0.0.1:1", "here").contains("hosts[0].dial"));
    assert!(bad("\"born_ms\":0", "\"born_ms\":-1").contains("hosts[0].born_ms"));
    assert!(bad("\"block\":3", "\"block\":70000").contains("hosts[0].block"));
    assert!(bad("\"seq\":1,", "").contains("seq"));
}

const CONFIG: &str = include_str!("config.json");

#[test]
fn a_configuration_is_read_as_a_whole_and_its_faults_are_named() {
    let config = Config::parse(CONFIG.as_bytes()).unwrap();
    assert_eq!(
        (config.name.as_str(), config.seed, config.limits.sockets),
        ("n3", 0x8c1f_30d2_7a5b_e964, 256)
    );
    assert_eq!((config.links.streams, config.links.idle_ms, config.links.connect_ms), (32, 30_000.0, 250.0));
    assert_eq!(
        config.words.classes[1],
        ClassWord { name: "write".to_owned(), keyed: true, writes: Some(true) }
    );
    assert_eq!((config.known.seq, config.known.lines.len()), (41, 1));
    let bad =
        |from: &str, to: &str| Config::parse(CONFIG.replace(from, to).as_bytes()).unwrap_err().to_string();
    assert!(bad("\"seed\"", "\"sead\"").contains("seed is missing"));
    assert!(bad("8c1f30d27a5be964", "eight").contains("seed makes no sense"));
    assert!(bad("127.0.0.1:6379", "there").contains("listen makes no sense"));
    assert!(bad("\"sockets\":256", "\"sockets\":0").contains("limits.sockets makes no sense"));
    assert!(bad("\"GoalTimeMs\":120.0", "\"GoalTimeMs\":-1").contains("Classes[0].GoalTimeMs"));
    assert!(bad("\"health\":\"SERVING\"", "\"health\":\"?\"").contains("known: hosts[0].health"));
    assert!(Config::parse(b"{").unwrap_err().to_string().contains("line 1"));
}

proptest! {
    /// Whatever a client, a node or discovery sends: a value or an error, no panic.
    #[test]
    fn no_input_ends_the_host(words in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..7),
        text in "\\PC{0,80}", bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        let mut words: Vec<Bytes> = words.into_iter().map(Bytes::from).collect();
        let _ = request::parse(&words, &vocabulary());
        if words.len() >= 4 {
            (words[0], words[1], words[2]) = ("OBJ.GET".into(), PIECE.into(), ID.into());
            words[3] = format!("{READ},{text}").into();
            let _ = request::parse(&words[..4], &vocabulary());
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
