//! `pearfork-gateway service` as the platform starts it, and what stands round it: nodes, discovery, clients, on loopback.
#![allow(dead_code)]

pub mod agent;
pub mod crowd;
pub mod shims;

use pearfork_net::http::{Response, Server};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONFIG: &str = include_str!("../../../platform/tests/config.json");
/// Longest wait for what has to come.
pub const LONG: Duration = Duration::from_secs(20);
/// What a client reads of a request that was served.
pub const SERVED: &str = "$2\r\nok\r\n";
/// The value that most nodes give.
const OK: &str = "ok";

/// The running program; killed with its value.
pub struct Program {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl Program {
    pub fn start(file: &Path) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", "info"]);
        Program::spawn(command, file)
    }

    /// Under a limit of descriptors that the system enforces; its log is a long one.
    pub fn start_limited(file: &Path, descriptors: usize) -> Program {
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n \"$1\"; shift; exec \"$@\"", "sh", &descriptors.to_string()]);
        command.arg(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", "debug"]);
        Program::spawn(command, file)
    }

    /// Its log goes where the command says, and is not read.
    fn spawn_unread(mut command: Command, file: &Path) -> Program {
        let command = command.env("ROUTER_CONFIG", file).stdin(Stdio::null()).stdout(Stdio::null());
        Program { child: command.spawn().unwrap(), log: Arc::default() }
    }

    fn spawn(mut command: Command, file: &Path) -> Program {
        let command = command.env("ROUTER_CONFIG", file);
        let command = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let (kept, lines) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut log = kept.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
        Program { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until its log has these words.
    pub fn says(&self, words: &str) {
        until(words, || self.has_said(words));
    }

    pub fn has_said(&self, words: &str) -> bool {
        self.log.lock().unwrap().contains(words)
    }

    pub fn threads_and_descriptors(&self) -> (usize, usize) {
        let count = |of: &str| {
            std::fs::read_dir(format!("/proc/{}/{of}", self.id())).map_or(0, std::iter::Iterator::count)
        };
        (count("task"), count("fd"))
    }

    /// What its descriptors stand for.
    pub fn descriptors(&self) -> Vec<String> {
        let Ok(folder) = std::fs::read_dir(format!("/proc/{}/fd", self.id())) else { return Vec::new() };
        let links = folder.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
        links.map(|link| link.to_string_lossy().into_owned()).collect()
    }

    /// Resident memory, in kilobytes.
    pub fn memory_kb(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, name: &str) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// The most memory that was resident, in kilobytes.
    pub fn peak_memory_kb(&self) -> usize {
        self.status_kb("VmHWM:")
    }

    /// Its exit code, within the time that the platform gives.
    pub fn ends(&mut self) -> Option<i32> {
        self.ended().code()
    }

    /// Whether it has ended by now, and with which code.
    pub fn has_ended(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|status| status.code())
    }

    /// How it ended.
    pub fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("the program ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A loopback address of a test's own, with any port.
///
/// Danger: connections leave from 127.0.0.1. A port there that is free now may be the source of one a moment later, and one
/// that tries again and again to connect to it comes to be connected with itself.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let own = [127, 64 | (process >> 8) as u8 & 63, process as u8, NEXT.fetch_add(1, Ordering::SeqCst)];
    SocketAddr::from((own, 0))
}

/// An address that nobody has.
///
/// Danger: whoever binds it at once may find it in use: a process that is being started at that moment by another thread
/// holds a copy of all sockets until it runs. What is to listen in this process binds [`own_address`] and stays bound.
pub fn free() -> SocketAddr {
    TcpListener::bind(own_address()).unwrap().local_addr().unwrap()
}

/// A command that a node was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    pub words: Vec<String>,
}

impl Heard {
    /// The id under which the client asked.
    pub fn id(&self) -> u64 {
        u64::from_str_radix(&self.words[2], 16).unwrap()
    }
}

/// What a node was sent, in the order in which it came.
pub type HeardAll = Arc<Mutex<Vec<Heard>>>;

/// The number on a line that begins with a sign.
fn read_number(from: &mut impl BufRead, sign: char) -> io::Result<usize> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    let number = line.trim_end().strip_prefix(sign).and_then(|n| n.parse().ok());
    number.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// One command off a connection.
fn read_command(from: &mut impl BufRead) -> io::Result<Vec<String>> {
    let mut words = Vec::new();
    for _ in 0..read_number(from, '*')? {
        let length = read_number(from, '$')?;
        let mut word = vec![0; length + 2];
        from.read_exact(&mut word)?;
        word.truncate(length);
        words.push(String::from_utf8_lossy(&word).into_owned());
    }
    Ok(words)
}

/// A node that serves every request with the same value once it has read it, after a while.
pub fn node(after: Duration) -> SocketAddr {
    node_that_hears(after).0
}

/// The same, and what it was sent.
pub fn node_that_hears(after: Duration) -> (SocketAddr, HeardAll) {
    node_with(after, |_| OK.to_owned())
}

/// The same, where the value is the id of the request as it came.
pub fn node_that_echoes(after: Duration) -> (SocketAddr, HeardAll) {
    node_with(after, |heard| heard.words[2].clone())
}

fn node_with(after: Duration, value: fn(&Heard) -> String) -> (SocketAddr, HeardAll) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let heard = HeardAll::default();
    let kept = heard.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let heard = kept.clone();
            std::thread::spawn(move || {
                let mut commands = BufReader::new(&stream);
                while let Ok(words) = read_command(&mut commands) {
                    let command = Heard { words };
                    let value = value(&command);
                    heard.lock().unwrap().push(command);
                    std::thread::sleep(after);
                    let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                    let _ = (&stream).write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, heard)
}

/// A line of a list.
pub fn line(name: &str, dial: SocketAddr, block: u16, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A whole list of these lines.
pub fn whole_list(seq: u64, lines: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, lines.join(","))
}

/// The node that serves, among so many others of another shard.
pub fn list(seq: u64, serves: SocketAddr, others: &str, count: usize) -> String {
    let dead: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let others = (0..count).map(|i| line(&format!("{others}-{i}"), dead, 1, "SERVING"));
    let lines: Vec<String> = std::iter::once(line("s-1", serves, 0, "SERVING")).chain(others).collect();
    whole_list(seq, &lines)
}

/// Discovery that tells what stands here, with its version.
pub fn discovery(text: Arc<Mutex<(u64, String)>>) -> Server {
    let answer = move |path: &str| {
        let (seq, list) = text.lock().unwrap().clone();
        if path.contains(&format!("since={seq}&")) {
            std::thread::sleep(Duration::from_millis(50));
            return Response::ok("application/json", format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#));
        }
        Response::ok("application/json", list)
    };
    Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), answer).unwrap()
}

/// A configuration, with so many hosts in the settings.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, hosts: u32) -> serde_json::Value {
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = listen.to_string().into();
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::from_str(known).unwrap();
    config["settings"]["Balancers"] = hosts.into();
    config
}

pub fn write_config(file: &Path, listen: SocketAddr, discovery: SocketAddr, known: &str) {
    std::fs::write(file, config(listen, discovery, known, 1_024).to_string()).unwrap();
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = None;
    until("it listens", || {
        stream = TcpStream::connect(address).ok();
        stream.is_some()
    });
    let stream = stream.unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// The words of a read.
pub fn get(id: u64) -> Vec<u8> {
    let list = "c=read,t=gold,d=1000,volume=0000000000000001,units=1,shard=0,hosts=1024";
    let words = format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        list.len()
    );
    words.into_bytes()
}

pub fn ask(stream: &mut TcpStream, id: u64) {
    stream.write_all(&get(id)).unwrap();
}

/// What was answered to one command: a value or an error line.
pub fn answered(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let mut piece = [0; 256];
    while !(got.starts_with(b"-") && got.ends_with(b"\r\n") || got.ends_with(b"ok\r\n")) {
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "closed with no answer");
        got.extend_from_slice(&piece[..n]);
    }
    String::from_utf8_lossy(&got).into_owned()
}

/// Reads exactly these bytes, and no other come before them.
pub fn reads(stream: &mut TcpStream, expected: &str) {
    let mut got = vec![0; expected.len()];
    let read = stream.read_exact(&mut got);
    assert!(read.is_ok(), "{read:?} in place of {expected:?}");
    assert_eq!(String::from_utf8_lossy(&got), expected);
}

/// How long it took until a new client had the answer to its PING; a client that is closed unread comes again at once.
pub fn ready_after(address: SocketAddr, since: Instant) -> Duration {
    let pong = b"+PONG\r\n";
    until("PING is answered", || {
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let mut got = [0; 7];
        stream.set_read_timeout(Some(LONG)).unwrap();
        let sent = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
        sent.is_ok() && stream.read_exact(&mut got).is_ok() && &got == pong
    });
    since.elapsed()
}
