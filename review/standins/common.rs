//! Stand-ins shared by the cases: the platform (starts and signals a host), discovery, nodes and small helpers.
//! Standard library only.
#![allow(dead_code)]

use std::collections::{HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this program started.
pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: a plain system call with two numbers.
    unsafe { kill(pid as i32, signal) };
}

/// Exit codes that `claim.txt` and `run.sh` use.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// Whether the disruption is on (`TROUBLE=0` turns it off).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1)
}

/// A small pseudo-random generator (splitmix64).
#[derive(Clone)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
}

/// The record of a run: lines with the time since the start, written to `record.txt` at the end.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:9.4} {text}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.add(text);
    }

    pub fn write(&self, file: &Path) {
        if let Err(e) = std::fs::write(file, self.lines.lock().unwrap().as_bytes()) {
            println!("cannot write {}: {e}", file.display());
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(ms / 1e3));
    }
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A loopback address for a host to listen on. It lies outside 127.0.0.1, from which connections are made, so
/// that no outgoing connection takes its port.
pub fn host_address() -> io::Result<SocketAddr> {
    let low = (std::process::id() % 250) as u8 + 2;
    let listener = TcpListener::bind(SocketAddr::from(([127, 91, low, 4], 0)))?;
    listener.local_addr()
}

// ---- The platform ------------------------------------------------------------------------------------------

/// The command `run` of the deploy file.
pub fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.strip_suffix('"'));
    line.map(str::to_owned).ok_or_else(|| io::Error::other("no run command in deploy/balancer.toml"))
}

/// The three arguments of a case: the repository's root, a folder for temporary files, and the record.
pub fn run_case(run: impl FnOnce(&Path, &Path, &Record) -> io::Result<i32>) -> ! {
    let arguments: Vec<PathBuf> = std::env::args_os().skip(1).map(PathBuf::from).collect();
    let [root, folder, record_file] = &arguments[..] else {
        println!("usage: PROGRAM ROOT FOLDER RECORD");
        std::process::exit(COULD_NOT_RUN);
    };
    let record = Record::new();
    let code = run(root, folder, &record).unwrap_or_else(|e| {
        record.say(&format!("could not run: {e}"));
        COULD_NOT_RUN
    });
    record.say(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    record.write(record_file);
    std::process::exit(code);
}

/// A host, started by the deploy file's command.
pub struct Host {
    child: Child,
    pub pid: u32,
    pub address: SocketAddr,
    pub log: PathBuf,
    stop_throttle: Arc<AtomicBool>,
}

impl Host {
    /// Starts a host with a configuration and waits until it answers PING, as the protocol page asks.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        address: SocketAddr,
        discovery: SocketAddr,
        config: &str,
    ) -> io::Result<Host> {
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, config)?;
        let log = folder.join(format!("{name}.log"));
        let scratch = folder.join(format!("{name}.tmp"));
        std::fs::create_dir_all(&scratch)?;
        let out = std::fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(root)?)
            .current_dir(root)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", &scratch)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        let pid = child.id();
        // For run-case.sh, which ends the host if this program was interrupted.
        std::fs::write(folder.join(format!("{name}-{pid}.pid")), pid.to_string())?;
        let mut host = Host { child, pid, address, log, stop_throttle: Arc::default() };
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if host.has_exited() {
                break;
            }
            if ping(address).is_ok() {
                return Ok(host);
            }
            sleep_ms(20.0);
        }
        Err(io::Error::other(format!("host {name} was not ready within 30 s")))
    }

    pub fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Ends the host at once, as when a host is killed outright.
    pub fn kill(&mut self) {
        self.stop_throttle.store(true, Ordering::SeqCst);
        let _ = (self.child.kill(), self.child.wait());
    }

    /// Adds the host's log to the record.
    pub fn copy_log(&self, record: &Record) {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().for_each(|line| record.add(&format!("host's log: {line}")));
    }

    /// Resident memory now and at its peak, in KiB.
    pub fn memory_kib(&self) -> Option<(u64, u64)> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let value = |name: &str| {
            let line = text.lines().find_map(|l| l.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        Some((value("VmRSS:")?, value("VmHWM:")?))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ping(address: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
    let mut reply = [0; 7];
    stream.read_exact(&mut reply)?;
    if &reply == b"+PONG\r\n" {
        Ok(())
    } else {
        Err(io::ErrorKind::InvalidData.into())
    }
}

/// The entry of a node in discovery's form.
pub fn node_entry(name: &str, dial: SocketAddr, block: usize, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m2","block":{block},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
    )
}

pub fn whole_list(seq: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// The file that a host is started with.
#[allow(clippy::too_many_arguments)]
pub fn config(
    name: &str,
    address: SocketAddr,
    discovery: SocketAddr,
    seed: u64,
    memory_mb: u32,
    sockets: u32,
    known: &str,
    settings: &str,
) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{address}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
    )
}

// ---- Discovery ---------------------------------------------------------------------------------------------

/// Serves a list that does not change. A watch is answered without changes when its wait is over.
pub fn start_discovery(list: String, seq: u64) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(loopback())?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            std::thread::spawn(move || drop(serve_discovery(stream, &list, seq)));
        }
    });
    Ok(address)
}

fn serve_discovery(stream: TcpStream, list: &str, seq: u64) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut request = String::new();
        if reader.read_line(&mut request)? == 0 {
            return Ok(());
        }
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header)? == 0 || header.trim_end().is_empty() {
                break;
            }
        }
        let path = request.split_whitespace().nth(1).unwrap_or("").to_owned();
        let body = if path.contains(&format!("since={seq}&")) || path.ends_with(&format!("since={seq}")) {
            let wait = path.split("timeout_ms=").nth(1).and_then(|t| t.parse::<u64>().ok()).unwrap_or(0);
            sleep_ms(wait.min(60_000) as f64);
            format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#)
        } else {
            list.to_owned()
        };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

// ---- Nodes -------------------------------------------------------------------------------------------------

/// How a node behaves.
#[derive(Clone)]
pub struct NodeBehaviour {
    /// Range of the time that a request takes, in milliseconds.
    pub service_ms: (f64, f64),
    /// One-way delay of the network between host and node, in milliseconds.
    pub network_ms: f64,
    /// Share of the answers that are followed by a second copy, if nothing else waits on the connection.
    pub second_copies: f64,
    /// Share of the answers that get lost. Nothing that follows arrives on that connection any more, which
    /// stays open.
    pub lost_answers: f64,
    /// All attempts that reach the nodes.
    pub attempts: Option<Arc<Attempts>>,
}

/// The attempts of each request, over all nodes.
pub struct Attempts {
    /// Time that a host has to end an earlier attempt, beyond the arrival of the next.
    pub slack: Duration,
    record: Record,
    by_id: Mutex<HashMap<String, Vec<Attempt>>>,
    /// Requests with two attempts out at once.
    pub doubled: Mutex<Vec<String>>,
}

struct Attempt {
    node: String,
    connection: u64,
    arrived: Instant,
    /// When it was answered, or its connection was closed by the host.
    over: Option<Instant>,
}

impl Attempts {
    pub fn new(slack: Duration, record: Record) -> Attempts {
        Attempts { slack, record, by_id: Mutex::default(), doubled: Mutex::default() }
    }

    /// An attempt has come whole. An earlier one of the same request has to be over, or its connection ended,
    /// within the slack.
    fn arrived(self: &Arc<Self>, id: &str, node: &str, connection: u64) {
        let mut by_id = self.by_id.lock().unwrap();
        let attempts = by_id.entry(id.to_owned()).or_default();
        let number = attempts.len();
        attempts.push(Attempt { node: node.to_owned(), connection, arrived: Instant::now(), over: None });
        drop(by_id);
        self.record.add(&format!("node {node} connection {connection} got {id}, attempt {number}"));
        if number > 0 {
            let (attempts, id) = (self.clone(), id.to_owned());
            std::thread::spawn(move || attempts.check(&id, number));
        }
    }

    fn check(&self, id: &str, number: usize) {
        // A little later, so that what happened within the slack has been noted.
        std::thread::sleep(self.slack + Duration::from_millis(20));
        let by_id = self.by_id.lock().unwrap();
        let Some(attempts) = by_id.get(id) else { return };
        let (earlier, later) = attempts.split_at(number);
        let began = later[0].arrived;
        let is_out = |a: &Attempt| a.over.is_none_or(|over| over > began + self.slack);
        if !is_out(&later[0]) {
            return;
        }
        for (n, first) in earlier.iter().enumerate().filter(|(_, a)| is_out(a)) {
            let text = format!(
                "request {id}: attempt {number} came to node {} on connection {} while attempt {n} was out at node {} on connection {}, which was still open {} ms later",
                later[0].node, later[0].connection, first.node, first.connection, self.slack.as_millis()
            );
            self.record.add(&text);
            self.doubled.lock().unwrap().push(text);
        }
    }

    fn over(&self, id: &str, connection: u64) {
        if let Some(attempts) = self.by_id.lock().unwrap().get_mut(id) {
            for attempt in attempts.iter_mut().filter(|a| a.connection == connection) {
                attempt.over.get_or_insert(Instant::now());
            }
        }
    }

    /// How many attempts came, and how many requests they belong to.
    pub fn counts(&self) -> (usize, usize) {
        let by_id = self.by_id.lock().unwrap();
        (by_id.values().map(Vec::len).sum(), by_id.len())
    }
}

/// Counters of all nodes.
#[derive(Default)]
pub struct NodeCounts {
    pub run: AtomicU64,
    pub answered: AtomicU64,
    pub copies: AtomicU64,
    pub lost: AtomicU64,
    pub connections: AtomicU64,
    /// Commands that arrived while another one was unanswered on their connection.
    pub behind_others: AtomicU64,
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub block: usize,
    pub address: SocketAddr,
}

struct Waiting {
    id: String,
    arrives: Instant,
    done: Instant,
}

#[derive(Default)]
struct Line {
    queue: VecDeque<Waiting>,
    ended: bool,
}

/// Starts a node. The value that it makes for a request is the request's id and the node's name.
pub fn start_node(
    name: String,
    block: usize,
    behaviour: NodeBehaviour,
    counts: Arc<NodeCounts>,
    record: Record,
    mut rng: Rng,
) -> io::Result<Node> {
    let listener = TcpListener::bind(loopback())?;
    let address = listener.local_addr()?;
    let node = Node { name: name.clone(), block, address };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = counts.connections.fetch_add(1, Ordering::SeqCst);
            let connection = NodeConnection {
                number,
                name: name.clone(),
                behaviour: behaviour.clone(),
                counts: counts.clone(),
                record: record.clone(),
                line: Arc::new((Mutex::new(Line::default()), Condvar::new())),
            };
            let (a, b) = (Rng(rng.next()), Rng(rng.next()));
            let Ok(output) = stream.try_clone() else { continue };
            let _ = stream.set_nodelay(true);
            let answering = connection.clone();
            std::thread::spawn(move || answering.answer(output, a));
            std::thread::spawn(move || connection.receive(stream, b));
        }
    });
    Ok(node)
}

#[derive(Clone)]
struct NodeConnection {
    /// The connection's number, over all nodes.
    number: u64,
    name: String,
    behaviour: NodeBehaviour,
    counts: Arc<NodeCounts>,
    record: Record,
    line: Arc<(Mutex<Line>, Condvar)>,
}

impl NodeConnection {
    /// Reads commands. Each arrives after the delay of the network, and begins at once.
    fn receive(&self, stream: TcpStream, mut rng: Rng) {
        let mut reader = BufReader::with_capacity(128 << 10, stream);
        let mut received = Vec::new();
        while let Ok(words) = read_command(&mut reader) {
            let arrives = Instant::now() + Duration::from_secs_f64(self.behaviour.network_ms / 1e3);
            let (from, to) = self.behaviour.service_ms;
            let done = arrives + Duration::from_secs_f64(rng.between(from, to) / 1e3);
            let id = words.get(2).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default();
            self.counts.run.fetch_add(1, Ordering::SeqCst);
            if let Some(attempts) = &self.behaviour.attempts {
                attempts.arrived(&id, &self.name, self.number);
            }
            let mut line = self.line.0.lock().unwrap();
            self.counts.behind_others.fetch_add(u64::from(!line.queue.is_empty()), Ordering::SeqCst);
            received.push(id.clone());
            line.queue.push_back(Waiting { id, arrives, done });
            self.line.1.notify_one();
        }
        self.line.0.lock().unwrap().ended = true;
        self.line.1.notify_one();
        if let Some(attempts) = &self.behaviour.attempts {
            self.record.add(&format!("node {} connection {} ended by the host", self.name, self.number));
            received.iter().for_each(|id| attempts.over(id, self.number));
        }
    }

    /// Answers commands in their order. A second copy goes straight after an answer, and only if no other
    /// command has arrived on the connection.
    fn answer(&self, mut output: TcpStream, mut rng: Rng) {
        loop {
            let (id, done) = {
                let mut line = self.line.0.lock().unwrap();
                loop {
                    if line.ended {
                        return;
                    }
                    if let Some(first) = line.queue.front() {
                        break (first.id.clone(), first.done);
                    }
                    line = self.line.1.wait(line).unwrap();
                }
            };
            sleep_until(done);
            let value = format!("{id}@{}", self.name);
            let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
            let leaves = Instant::now();
            let copy = {
                let mut line = self.line.0.lock().unwrap();
                line.queue.pop_front();
                let waits = line.queue.iter().any(|w| w.arrives <= leaves);
                !waits && rng.unit() < self.behaviour.second_copies
            };
            if rng.unit() < self.behaviour.lost_answers {
                self.counts.lost.fetch_add(1, Ordering::SeqCst);
                self.record
                    .add(&format!("node {} connection {}: answer to {id} lost", self.name, self.number));
                return;
            }
            sleep_until(leaves + Duration::from_secs_f64(self.behaviour.network_ms / 1e3));
            let bytes = if copy { answer.repeat(2) } else { answer };
            if copy {
                self.counts.copies.fetch_add(1, Ordering::SeqCst);
            }
            self.record.add(&format!(
                "node {} answered {id}{}",
                self.name,
                if copy { ", twice" } else { "" }
            ));
            self.counts.answered.fetch_add(1, Ordering::SeqCst);
            if let Some(attempts) = &self.behaviour.attempts {
                attempts.over(&id, self.number);
            }
            if output.write_all(bytes.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn read_number(reader: &mut impl BufRead, kind: u8) -> io::Result<usize> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    let text = line.strip_suffix(b"\r\n").and_then(|l| l.strip_prefix(&[kind]));
    let number = text.and_then(|t| std::str::from_utf8(t).ok()?.parse().ok());
    number.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Reads one command: an array of bulk strings.
pub fn read_command(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let mut words = Vec::new();
    for _ in 0..read_number(reader, b'*')? {
        let length = read_number(reader, b'$')?;
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(words)
}

// ---- Clients -----------------------------------------------------------------------------------------------

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Value(Vec<u8>),
    Refused(String),
    Failed(String),
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line).trim_end().to_owned();
    if let Some(length) = text.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value)?;
        value.truncate(length);
        return Ok(Answer::Value(value));
    }
    if text.starts_with("-BUSY") {
        Ok(Answer::Refused(text))
    } else {
        Ok(Answer::Failed(text))
    }
}

pub fn get_command(piece: u64, id: u64, list: &str) -> Vec<u8> {
    format!("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{piece:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n", list.len())
        .into_bytes()
}

pub fn put_command(piece: u64, id: u64, list: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n{piece:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n${}\r\n",
        list.len(),
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
    out
}

/// Clients that each send a few reads at once on one connection and then wait for the answers.
#[derive(Clone, Copy)]
pub struct Load {
    pub class: &'static str,
    pub plan: &'static str,
    /// How long a client waits for an answer, in milliseconds.
    pub wait_ms: u32,
    /// Shards of the deployment, and hosts of each volume.
    pub shards: u64,
    pub hosts: u32,
    pub connections: usize,
    /// Commands that a client sends at once.
    pub commands: usize,
    /// Mean time from one group of commands to the next on a connection.
    pub period_ms: f64,
}

/// What the clients sent and got.
#[derive(Default)]
pub struct Tally {
    next_id: AtomicU64,
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    /// Connections that ended before their answers.
    pub closed: AtomicU64,
    /// Requests that were served with the value of another one.
    pub foreign: AtomicU64,
    pub examples: Mutex<Vec<String>>,
}

pub fn n(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::SeqCst)
}

pub fn count(counter: &AtomicU64) -> u64 {
    counter.fetch_add(1, Ordering::SeqCst)
}

impl Tally {
    pub fn summary(&self) -> String {
        format!(
            "requests: sent {}, served with their value {}, served with another value {}, refused {}, failed {}, closed without an answer {}",
            n(&self.sent), n(&self.served), n(&self.foreign), n(&self.refused), n(&self.failed), n(&self.closed)
        )
    }
}

impl NodeCounts {
    pub fn summary(&self) -> String {
        format!(
            "nodes: commands {}, of which behind another on their connection {}, answers {}, second copies {}, lost answers {}, connections {}",
            n(&self.run), n(&self.behind_others), n(&self.answered), n(&self.copies), n(&self.lost), n(&self.connections)
        )
    }
}

/// Clients that run until `stop`.
pub struct Clients {
    pub stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        load: Load,
        address: SocketAddr,
        tally: &Arc<Tally>,
        record: &Record,
        rng: &mut Rng,
    ) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..load.connections)
            .map(|_| {
                let (tally, stop, record, rng) =
                    (tally.clone(), stop.clone(), record.clone(), Rng(rng.next()));
                std::thread::spawn(move || {
                    if let Err(e) = client(load, address, &tally, &stop, &record, rng) {
                        record.add(&format!("a client's connection ended: {e}"));
                    }
                })
            })
            .collect();
        Clients { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }
}

fn client(
    load: Load,
    address: SocketAddr,
    tally: &Tally,
    stop: &AtomicBool,
    record: &Record,
    mut rng: Rng,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    sleep_ms(rng.between(0.0, load.period_ms));
    while !stop.load(Ordering::SeqCst) {
        let began = Instant::now();
        let (mut bytes, mut ids) = (Vec::new(), Vec::new());
        for _ in 0..load.commands {
            let id = 1 + count(&tally.next_id);
            let (volume, shard) = (1 + rng.next() % 40, rng.next() % load.shards);
            let Load { class, plan, wait_ms, hosts, .. } = load;
            let list = format!(
                "c={class},t={plan},d={wait_ms},volume={volume:016x},units=1,shard={shard},hosts={hosts}"
            );
            bytes.extend(get_command(rng.next(), id, &list));
            record.add(&format!("sent {id:016x} shard {shard}"));
            ids.push(id);
        }
        tally.sent.fetch_add(ids.len() as u64, Ordering::SeqCst);
        stream.write_all(&bytes)?;
        for id in ids {
            let answer = read_answer(&mut reader).inspect_err(|_| {
                count(&tally.closed);
            })?;
            let (text, counter) = match answer {
                Answer::Value(value) => {
                    let value = String::from_utf8_lossy(&value).into_owned();
                    let is_own = value.starts_with(&format!("{id:016x}@"));
                    if !is_own {
                        let text = format!(
                            "request {id:016x} was served with {value}, the value of another request"
                        );
                        tally.examples.lock().unwrap().push(text);
                    }
                    (value, if is_own { &tally.served } else { &tally.foreign })
                }
                Answer::Refused(text) => (text, &tally.refused),
                Answer::Failed(text) => (text, &tally.failed),
            };
            record.add(&format!("answered {id:016x}: {text}"));
            count(counter);
        }
        sleep_until(began + Duration::from_secs_f64(load.period_ms * rng.between(0.8, 1.2) / 1e3));
    }
    Ok(())
}
