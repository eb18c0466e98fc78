//! Requests that come in pieces, whatever the pieces are; and a new configuration while nodes drain and requests are in work.

mod service_harness;

use rustix::process::Signal;
use service_harness::fake_discovery::{Agent, Manner};
use service_harness::{
    answered, config, connect, free, get, line, list, node_that_echoes, node_that_hears, reads, until,
    whole_list, Heard, HeardAll, Program, SERVED,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Between two pieces, so that the first is read before the second comes.
const BETWEEN: Duration = Duration::from_millis(1);
const KEY: &str = "5c0f6e1a2b3d4c59";
/// A body that looks like a command.
const BODY: &str = "*1\r\n$4\r\nPING\r\n";

/// The words of a write with a key and a body.
fn put(id: u64) -> Vec<u8> {
    let list = format!("c=write,t=gold,d=1200,k={KEY},volume={id:016x},units=1,shard=0,hosts=1");
    let words = format!(
        "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n${}\r\n{BODY}\r\n",
        list.len(),
        BODY.len()
    );
    words.into_bytes()
}

/// What its client reads of a request whose node echoes its id.
fn echo(id: u64) -> String {
    format!("$16\r\n{id:016x}\r\n")
}

/// A program over one node that echoes, and a client.
struct Stage {
    heard: HeardAll,
    client: TcpStream,
    _program: Program,
    _agent: Agent,
    _folder: tempfile::TempDir,
}

impl Stage {
    fn new() -> Stage {
        let folder = tempfile::tempdir().unwrap();
        let (serves, heard) = node_that_echoes(Duration::ZERO);
        let known = list(5, serves, "a", 0);
        let agent = Agent::start(Manner::Answers(Duration::ZERO, 5, known.clone()));
        let (listen, file) = (free(), folder.path().join("config.json"));
        std::fs::write(&file, config(listen, agent.address, &known, 1).to_string()).unwrap();
        let program = Program::start(&file);
        let client = connect(listen);
        client.set_nodelay(true).unwrap();
        Stage { heard, client, _program: program, _agent: agent, _folder: folder }
    }

    /// Writes in two pieces.
    fn write_split(&mut self, bytes: &[u8], at: usize) {
        for piece in [&bytes[..at], &bytes[at..]] {
            self.client.write_all(piece).unwrap();
            self.client.flush().unwrap();
            std::thread::sleep(BETWEEN);
        }
    }

    /// The node was sent all of these, each once and whole.
    fn node_heard_once(&self, last: u64) {
        let heard = self.heard.lock().unwrap();
        let mut ids: Vec<u64> = heard.iter().map(Heard::id).collect();
        ids.sort_unstable();
        assert_eq!(ids, (1..=last).collect::<Vec<u64>>(), "each once");
        for command in heard.iter().filter(|c| c.words[0] == "OBJ.PUT") {
            assert!(command.words[3].contains(&format!("k={KEY}")), "{command:?}");
            assert_eq!(command.words[4], BODY);
        }
    }
}

#[test]
fn a_request_split_at_any_byte_is_served_once() {
    let mut stage = Stage::new();
    let mut id = 0;
    for words in [get, put] {
        for at in 0..=words(1).len() {
            id += 1;
            stage.write_split(&words(id), at);
            reads(&mut stage.client, &echo(id));
        }
    }
    for words in [get, put] {
        id += 1;
        for byte in words(id) {
            stage.client.write_all(&[byte]).unwrap();
            std::thread::sleep(BETWEEN);
        }
        reads(&mut stage.client, &echo(id));
    }
    stage.node_heard_once(id);
}

#[test]
fn requests_behind_each_other_split_at_any_byte_are_served_once_and_in_order() {
    let mut stage = Stage::new();
    let together = |first: u64| [get(first), put(first + 1), get(first + 2)].concat();
    let mut id = 1;
    for at in 0..=together(1).len() {
        stage.write_split(&together(id), at);
        for expected in id..id + 3 {
            reads(&mut stage.client, &echo(expected));
        }
        id += 3;
    }
    stage.node_heard_once(id - 1);
}

/// What stands round a program that is told a new configuration.
struct Reload {
    listen: SocketAddr,
    file: PathBuf,
    known: String,
}

impl Reload {
    fn write(&self, discovery: SocketAddr) {
        let config = config(self.listen, discovery, &self.known, 1);
        std::fs::write(&self.file, config.to_string()).unwrap();
    }
}

/// The settings' time from the word that a node drains to the last request that is sent there.
fn drain_grace() -> Duration {
    let grace = config(free(), free(), r#"{"seq":1,"whole":true,"hosts":[]}"#, 1);
    let ms = grace["settings"]["Safety"]["StopSendingWithinMs"].as_f64().unwrap();
    Duration::from_secs_f64(ms / 1_000.0)
}

/// What SIGHUP brings counts four seconds later.
const RELOADED: Duration = Duration::from_secs(4);

#[test]
fn a_new_configuration_while_nodes_drain_and_requests_are_in_work() {
    let folder = tempfile::tempdir().unwrap();
    let slow = Duration::from_millis(400);
    let (drains, stays, new) =
        (node_that_hears(slow), node_that_hears(slow), node_that_hears(Duration::ZERO));
    let of = |name: &str, node: &(SocketAddr, HeardAll), health: &str| line(name, node.0, 0, health);
    let lines = [of("s-1", &drains, "SERVING"), of("s-2", &stays, "SERVING")];
    let reload =
        Reload { listen: free(), file: folder.path().join("config.json"), known: whole_list(1, &lines) };
    let mut first = Agent::start(Manner::Answers(Duration::ZERO, 1, reload.known.clone()));
    let lines = [of("s-1", &drains, "DRAINING"), of("s-3", &new, "SERVING")];
    let second = Agent::start(Manner::Answers(Duration::ZERO, 1, whole_list(1, &lines)));
    reload.write(first.address);
    let program = Program::start(&reload.file);
    let mut client = connect(reload.listen);
    let in_work = 8;
    let words: Vec<u8> = (1..=in_work).flat_map(get).collect();
    client.write_all(&words).unwrap();
    until("requests are in work at both nodes", || {
        [&drains, &stays].iter().all(|node| !node.1.lock().unwrap().is_empty())
    });
    let lines = [of("s-1", &drains, "DRAINING"), of("s-2", &stays, "SERVING")];
    first.becomes(Manner::Answers(Duration::ZERO, 2, whole_list(2, &lines)));
    reload.write(second.address);
    program.signal(Signal::HUP);
    let told = Instant::now();
    for _ in 0..in_work {
        reads(&mut client, SERVED);
    }
    let mut ids = in_work + 1..;
    let mut ask_one = || {
        client.write_all(&get(ids.next().unwrap())).unwrap();
        assert_eq!(answered(&mut client), SERVED);
    };
    until("the new address counts", || {
        ask_one();
        !new.1.lock().unwrap().is_empty()
    });
    assert!(told.elapsed() < RELOADED, "{:?}", told.elapsed());
    while told.elapsed() < drain_grace() {
        ask_one();
        std::thread::sleep(Duration::from_millis(20));
    }
    let counts = || [&drains, &stays, &new].map(|node| node.1.lock().unwrap().len());
    let before = counts();
    (0..40).for_each(|_| ask_one());
    let after = counts();
    assert_eq!(
        (after[0], after[1]),
        (before[0], before[1]),
        "neither the one that drains nor the one that is gone"
    );
    assert_eq!(after[2], before[2] + 40);
}
