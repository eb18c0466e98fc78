//! Requests that arrive split at any byte, and a reload of the configuration while nodes drain and requests
//! are in flight.

mod service_harness;

use rustix::process::Signal;
use service_harness::fake_discovery::{DiscoveryBehavior, FakeDiscovery};
use service_harness::{
    config, connect, expect_reply, full_list, get_command, list_with_one_live_node, node_line, read_reply,
    start_echo_node, start_recording_node, unused_address, wait_until, GatewayProcess, ReceivedCommand,
    ReceivedCommands, SERVED_REPLY,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Delay between two pieces, so that the first is read before the second arrives.
const PIECE_DELAY: Duration = Duration::from_millis(1);
const KEY: &str = "5c0f6e1a2b3d4c59";
/// A body that looks like a command, which a parser that loses its position would execute.
const BODY: &str = "*1\r\n$4\r\nPING\r\n";

/// The RESP command of a write with a key and a body.
fn put_command(id: u64) -> Vec<u8> {
    let list = format!("c=write,t=gold,d=1200,k={KEY},volume={id:016x},units=1,shard=0,hosts=1");
    let command = format!(
        "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n${}\r\n{BODY}\r\n",
        list.len(),
        BODY.len()
    );
    command.into_bytes()
}

/// The reply to a request that a node of [`start_echo_node`] served.
fn echo_reply(id: u64) -> String {
    format!("$16\r\n{id:016x}\r\n")
}

/// The program with one echo node, and a client connected to it.
struct TestEnv {
    received: ReceivedCommands,
    client: TcpStream,
    _program: GatewayProcess,
    _discovery: FakeDiscovery,
    _folder: tempfile::TempDir,
}

impl TestEnv {
    fn new() -> TestEnv {
        let folder = tempfile::tempdir().unwrap();
        let (node, received) = start_echo_node(Duration::ZERO);
        let known = list_with_one_live_node(5, node, "a", 0);
        let discovery = FakeDiscovery::start(DiscoveryBehavior::Responds(Duration::ZERO, 5, known.clone()));
        let (listen, file) = (unused_address(), folder.path().join("config.json"));
        std::fs::write(&file, config(listen, discovery.address, &known, 1).to_string()).unwrap();
        let program = GatewayProcess::start(&file);
        let client = connect(listen);
        client.set_nodelay(true).unwrap();
        TestEnv { received, client, _program: program, _discovery: discovery, _folder: folder }
    }

    /// Sends bytes in two pieces, split at an offset.
    fn send_split(&mut self, bytes: &[u8], at: usize) {
        for piece in [&bytes[..at], &bytes[at..]] {
            self.client.write_all(piece).unwrap();
            self.client.flush().unwrap();
            std::thread::sleep(PIECE_DELAY);
        }
    }

    /// Asserts that the node received the requests 1 to `last`, each once and complete.
    fn assert_each_received_once(&self, last: u64) {
        let received = self.received.lock().unwrap();
        let mut ids: Vec<u64> = received.iter().map(ReceivedCommand::id).collect();
        ids.sort_unstable();
        assert_eq!(ids, (1..=last).collect::<Vec<u64>>(), "each request once");
        for command in received.iter().filter(|c| c.arguments[0] == "OBJ.PUT") {
            assert!(command.arguments[3].contains(&format!("k={KEY}")), "{command:?}");
            assert_eq!(command.arguments[4], BODY);
        }
    }
}

#[test]
fn a_request_split_at_any_byte_is_served_once() {
    let mut env = TestEnv::new();
    let mut id = 0;
    for command in [get_command, put_command] {
        for at in 0..=command(1).len() {
            id += 1;
            env.send_split(&command(id), at);
            expect_reply(&mut env.client, &echo_reply(id));
        }
    }
    for command in [get_command, put_command] {
        id += 1;
        for byte in command(id) {
            env.client.write_all(&[byte]).unwrap();
            std::thread::sleep(PIECE_DELAY);
        }
        expect_reply(&mut env.client, &echo_reply(id));
    }
    env.assert_each_received_once(id);
}

#[test]
fn pipelined_requests_split_at_any_byte_are_served_once_and_in_order() {
    let mut env = TestEnv::new();
    let pipelined =
        |first: u64| [get_command(first), put_command(first + 1), get_command(first + 2)].concat();
    let mut id = 1;
    for at in 0..=pipelined(1).len() {
        env.send_split(&pipelined(id), at);
        for expected in id..id + 3 {
            expect_reply(&mut env.client, &echo_reply(expected));
        }
        id += 3;
    }
    env.assert_each_received_once(id - 1);
}

/// A configuration file whose discovery address a test changes.
struct ConfigFile {
    listen: SocketAddr,
    path: PathBuf,
    known_list: String,
}

impl ConfigFile {
    fn write(&self, discovery: SocketAddr) {
        let config = config(self.listen, discovery, &self.known_list, 1);
        std::fs::write(&self.path, config.to_string()).unwrap();
    }
}

/// The time of the settings within which a host stops sending requests to a draining node.
fn drain_grace() -> Duration {
    let grace = config(unused_address(), unused_address(), r#"{"seq":1,"whole":true,"hosts":[]}"#, 1);
    let ms = grace["settings"]["Safety"]["StopSendingWithinMs"].as_f64().unwrap();
    Duration::from_secs_f64(ms / 1_000.0)
}

/// Time after SIGHUP within which requests go to a node of the new discovery address.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against requests that are lost when a reload changes the discovery address, and against requests
/// that go on to a draining node or to a node that the new list does not name.
#[test]
fn reload_with_another_discovery_while_nodes_drain_loses_no_request_and_uses_the_new_list() {
    let folder = tempfile::tempdir().unwrap();
    let service_time = Duration::from_millis(400);
    let (draining, removed, added) = (
        start_recording_node(service_time),
        start_recording_node(service_time),
        start_recording_node(Duration::ZERO),
    );
    let entry =
        |name: &str, node: &(SocketAddr, ReceivedCommands), health: &str| node_line(name, node.0, 0, health);
    let lines = [entry("s-1", &draining, "SERVING"), entry("s-2", &removed, "SERVING")];
    let file = ConfigFile {
        listen: unused_address(),
        path: folder.path().join("config.json"),
        known_list: full_list(1, &lines),
    };
    let mut first =
        FakeDiscovery::start(DiscoveryBehavior::Responds(Duration::ZERO, 1, file.known_list.clone()));
    let lines = [entry("s-1", &draining, "DRAINING"), entry("s-3", &added, "SERVING")];
    let second = FakeDiscovery::start(DiscoveryBehavior::Responds(Duration::ZERO, 1, full_list(1, &lines)));
    file.write(first.address);
    let program = GatewayProcess::start(&file.path);
    let mut client = connect(file.listen);
    let in_flight = 8;
    let commands: Vec<u8> = (1..=in_flight).flat_map(get_command).collect();
    client.write_all(&commands).unwrap();
    wait_until("requests are in flight at both nodes", || {
        [&draining, &removed].iter().all(|node| !node.1.lock().unwrap().is_empty())
    });
    let lines = [entry("s-1", &draining, "DRAINING"), entry("s-2", &removed, "SERVING")];
    first.set_behavior(DiscoveryBehavior::Responds(Duration::ZERO, 2, full_list(2, &lines)));
    file.write(second.address);
    program.signal(Signal::HUP);
    let reloaded = Instant::now();
    for _ in 0..in_flight {
        expect_reply(&mut client, SERVED_REPLY);
    }
    let mut ids = in_flight + 1..;
    let mut serve_one = || {
        client.write_all(&get_command(ids.next().unwrap())).unwrap();
        assert_eq!(read_reply(&mut client), SERVED_REPLY);
    };
    wait_until("a request goes to the node of the new list", || {
        serve_one();
        !added.1.lock().unwrap().is_empty()
    });
    assert!(reloaded.elapsed() < RELOAD_TIMEOUT, "{:?}", reloaded.elapsed());
    while reloaded.elapsed() < drain_grace() {
        serve_one();
        std::thread::sleep(Duration::from_millis(20));
    }
    let counts = || [&draining, &removed, &added].map(|node| node.1.lock().unwrap().len());
    let before = counts();
    (0..40).for_each(|_| serve_one());
    let after = counts();
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1]),
        "requests to the draining and to the removed node"
    );
    assert_eq!(after[2], before[2] + 40);
}
