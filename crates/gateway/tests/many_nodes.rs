//! The program with as many nodes as the platform may list, 3,200, and five classes of requests.

mod service_harness;

use pearfork_net::http::Server;
use service_harness::{
    config, connect, full_list, node_line, read_reply, send_get, start_discovery, start_node, unused_address,
    wait_until, wait_until_ready, GatewayProcess,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FEW: usize = 200;
const MANY: usize = 3_200;
const SHARDS: usize = 20;
const CLASSES: usize = 5;
/// The platform's limit on memory for sixteen times the nodes: 1.5 times as much, plus 8 MB, plus 4 MB per
/// thousand nodes.
const MEMORY_FACTOR: f64 = 1.5;
const MEMORY_MARGIN_MB: f64 = 8.0;
const MEMORY_MB_PER_THOUSAND_NODES: f64 = 4.0;
/// Longest time to a reply while a full list is applied: a quarter of the shortest deadline of these
/// requests.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Node list entries of `nodes` nodes in service, all at one address, assigned to the shards in turn.
fn node_lines(nodes: usize, dial: SocketAddr) -> Vec<String> {
    let health = "SERVING";
    (0..nodes).map(|i| node_line(&format!("s-{i:08x}"), dial, (i % SHARDS) as u16, health)).collect()
}

struct TestEnv {
    program: GatewayProcess,
    address: SocketAddr,
    /// The list that discovery returns, with its sequence number.
    served_list: Arc<Mutex<(u64, String)>>,
    _discovery: Server,
    _folder: tempfile::TempDir,
}

fn start(nodes: usize, dial: SocketAddr) -> TestEnv {
    let folder = tempfile::tempdir().unwrap();
    let list = full_list(1, &node_lines(nodes, dial));
    let served_list = Arc::new(Mutex::new((1, list.clone())));
    let discovery = start_discovery(served_list.clone());
    let address = unused_address();
    let mut settings = config(address, discovery.address(), &list, 3);
    let read = settings["settings"]["Classes"][0].clone();
    let classes = settings["settings"]["Classes"].as_array_mut().unwrap();
    while classes.len() < CLASSES {
        let mut class = read.clone();
        class["Name"] = format!("read-{}", classes.len()).into();
        classes.push(class);
    }
    settings["settings"]["Domain"]["ClassWrites"] = serde_json::json!([false, true, false, false, false]);
    settings["settings"]["Domain"]["SlotsTotal"] = SHARDS.into();
    let file = folder.path().join("config.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let program = GatewayProcess::start(&file);
    wait_until_ready(address, Instant::now());
    TestEnv { program, address, served_list, _discovery: discovery, _folder: folder }
}

/// Peak memory, in MiB, of a host that serves some requests and applies two more full lists.
fn peak_memory_mb(nodes: usize) -> f64 {
    let dial = start_node(Duration::ZERO);
    let env = start(nodes, dial);
    let mut client = connect(env.address);
    for seq in 2..4 {
        *env.served_list.lock().unwrap() = (seq, full_list(seq, &node_lines(nodes, dial)));
        for id in 0..50 {
            send_get(&mut client, seq * 1_000 + id);
            read_reply(&mut client);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    env.program.peak_resident_kb() as f64 / 1_024.0
}

/// Guards against memory that grows too fast with the number of listed nodes: hosts with thousands of nodes
/// exceed their memory limit and are killed.
#[test]
fn peak_memory_with_thousands_of_nodes_is_within_the_platforms_limit() {
    let (few, many) = (peak_memory_mb(FEW), peak_memory_mb(MANY));
    let limit = few * MEMORY_FACTOR + MEMORY_MARGIN_MB + MEMORY_MB_PER_THOUSAND_NODES * MANY as f64 / 1_000.0;
    println!("{FEW} nodes {few:.1} MB, {MANY} nodes {many:.1} MB, {limit:.1} MB at most");
    assert!(many <= limit, "{many:.1} MB at {MANY} nodes, {limit:.1} at most ({few:.1} at {FEW})");
}

/// Guards against work that grows with the square of the list's length: a host that applies a full list
/// answers no client meanwhile.
#[test]
fn a_full_list_of_thousands_of_new_names_delays_no_reply() {
    let dial = start_node(Duration::ZERO);
    let env = start(MANY, dial);
    let mut client = connect(env.address);
    let mut slowest = Duration::ZERO;
    let mut id = 1;
    for seq in 2..6 {
        let renamed: Vec<String> =
            node_lines(MANY, dial).iter().map(|l| l.replace("\"s-", &format!("\"r{seq}-"))).collect();
        *env.served_list.lock().unwrap() = (seq, full_list(seq, &renamed));
        let end = Instant::now() + Duration::from_millis(400);
        while Instant::now() < end {
            let began = Instant::now();
            send_get(&mut client, id);
            read_reply(&mut client);
            slowest = slowest.max(began.elapsed());
            id += 1;
        }
    }
    println!("slowest reply {slowest:?}");
    assert!(slowest <= REPLY_TIMEOUT, "{slowest:?}");
    wait_until("the program still runs", || env.program.thread_and_descriptor_counts().0 > 0);
}
