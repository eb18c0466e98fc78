//! The whole program before as many nodes as the platform may list: 3,200, with five classes of requests.

mod service_harness;

use pearfork_net::http::Server;
use service_harness::{
    answered, ask, config, connect, discovery, free, line, node, ready_after, until, whole_list, Program,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const FEW: usize = 200;
const MANY: usize = 3_200;
const SHARDS: usize = 20;
const CLASSES: usize = 5;
/// The platform's terms for a fleet of sixteen times the nodes: 1.5 times, 8 MB, and 4 MB for each thousand nodes.
const MEMORY_FACTOR: f64 = 1.5;
const MEMORY_MB: f64 = 8.0;
const MEMORY_MB_A_THOUSAND: f64 = 4.0;
/// A host answers within this time while a whole list comes: a quarter of the shortest deadline here.
const ANSWER_WITHIN: Duration = Duration::from_millis(250);

fn lines(nodes: usize, dial: SocketAddr) -> Vec<String> {
    let health = "SERVING";
    (0..nodes).map(|i| line(&format!("s-{i:08x}"), dial, (i % SHARDS) as u16, health)).collect()
}

struct Host {
    program: Program,
    address: SocketAddr,
    told: Arc<Mutex<(u64, String)>>,
    _discovery: Server,
    _folder: tempfile::TempDir,
}

fn start(nodes: usize, dial: SocketAddr) -> Host {
    let folder = tempfile::tempdir().unwrap();
    let list = whole_list(1, &lines(nodes, dial));
    let told = Arc::new(Mutex::new((1, list.clone())));
    let agent = discovery(told.clone());
    let address = free();
    let mut settings = config(address, agent.address(), &list, 3);
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
    let program = Program::start(&file);
    ready_after(address, Instant::now());
    Host { program, address, told, _discovery: agent, _folder: folder }
}

/// Peak memory, in megabytes, of a host that served some requests and took two whole lists.
fn peak_memory_mb(nodes: usize) -> f64 {
    let dial = node(Duration::ZERO);
    let host = start(nodes, dial);
    let mut client = connect(host.address);
    for seq in 2..4 {
        *host.told.lock().unwrap() = (seq, whole_list(seq, &lines(nodes, dial)));
        for id in 0..50 {
            ask(&mut client, seq * 1_000 + id);
            answered(&mut client);
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    host.program.peak_memory_kb() as f64 / 1_024.0
}

/// Guards against memory by nodes listed: hosts before thousands of nodes went over their limit and were killed.
#[test]
fn peak_memory_before_thousands_of_nodes_is_within_the_platforms_terms() {
    let (few, many) = (peak_memory_mb(FEW), peak_memory_mb(MANY));
    let most = few * MEMORY_FACTOR + MEMORY_MB + MEMORY_MB_A_THOUSAND * MANY as f64 / 1_000.0;
    println!("{FEW} nodes {few:.1} MB, {MANY} nodes {many:.1} MB, {most:.1} MB at most");
    assert!(many <= most, "{many:.1} MB at {MANY} nodes, {most:.1} at most ({few:.1} at {FEW})");
}

/// Guards against work by the square of the list: a host that takes a whole list answered nobody meanwhile.
#[test]
fn a_whole_list_of_thousands_of_other_names_holds_up_no_answer() {
    let dial = node(Duration::ZERO);
    let host = start(MANY, dial);
    let mut client = connect(host.address);
    let mut slowest = Duration::ZERO;
    let mut id = 1;
    for seq in 2..6 {
        let renamed: Vec<String> =
            lines(MANY, dial).iter().map(|l| l.replace("\"s-", &format!("\"r{seq}-"))).collect();
        *host.told.lock().unwrap() = (seq, whole_list(seq, &renamed));
        let end = Instant::now() + Duration::from_millis(400);
        while Instant::now() < end {
            let began = Instant::now();
            ask(&mut client, id);
            answered(&mut client);
            slowest = slowest.max(began.elapsed());
            id += 1;
        }
    }
    println!("slowest answer {slowest:?}");
    assert!(slowest <= ANSWER_WITHIN, "{slowest:?}");
    until("it is still there", || host.program.threads_and_descriptors().0 > 0);
}
