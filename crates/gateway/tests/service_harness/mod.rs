//! Test environment of `pearfork-gateway service`: the program as a process, with fake nodes, discovery and
//! clients on loopback.
#![allow(dead_code)]

pub mod fake_discovery;
pub mod idle_clients;
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
/// Longest wait for an expected event.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// The reply of a request that a [`start_node`] node served.
pub const SERVED_REPLY: &str = "$2\r\nok\r\n";
/// The value that most nodes return.
const OK_VALUE: &str = "ok";

/// The running program, with its log; killed when it is dropped.
pub struct GatewayProcess {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl GatewayProcess {
    /// Starts the program with a configuration file.
    pub fn start(file: &Path) -> GatewayProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", "info"]);
        GatewayProcess::spawn(command, file)
    }

    /// Starts the program with a soft and hard limit of open descriptors, and logs at level `debug`.
    pub fn start_limited(file: &Path, descriptors: usize) -> GatewayProcess {
        GatewayProcess::start_limited_with_filter(file, descriptors, "debug")
    }

    /// Like [`GatewayProcess::start_limited`], with another log filter.
    pub fn start_limited_with_filter(file: &Path, descriptors: usize, filter: &str) -> GatewayProcess {
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -n \"$1\"; shift; exec \"$@\"", "sh", &descriptors.to_string()]);
        command.arg(env!("CARGO_BIN_EXE_pearfork-gateway"));
        command.args(["service", "--log-filter", filter]);
        GatewayProcess::spawn(command, file)
    }

    /// Starts a command whose standard error the caller has redirected.
    fn spawn_unread(mut command: Command, file: &Path) -> GatewayProcess {
        let command = command.env("ROUTER_CONFIG", file).stdin(Stdio::null()).stdout(Stdio::null());
        GatewayProcess { child: command.spawn().unwrap(), log: Arc::default() }
    }

    fn spawn(mut command: Command, file: &Path) -> GatewayProcess {
        let command = command.env("ROUTER_CONFIG", file);
        let command = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = Arc::new(Mutex::new(String::new()));
        let (shared_log, lines) = (log.clone(), BufReader::new(child.stderr.take().unwrap()));
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut log = shared_log.lock().unwrap();
                log.push_str(&line);
                log.push('\n');
            }
        });
        GatewayProcess { child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.has_logged(text));
    }

    pub fn has_logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().contains(text)
    }

    pub fn thread_and_descriptor_counts(&self) -> (usize, usize) {
        let count = |folder: &str| {
            std::fs::read_dir(format!("/proc/{}/{folder}", self.id())).map_or(0, std::iter::Iterator::count)
        };
        (count("task"), count("fd"))
    }

    /// What each open descriptor refers to, as `/proc/PID/fd` links it.
    pub fn descriptor_targets(&self) -> Vec<String> {
        let Ok(folder) = std::fs::read_dir(format!("/proc/{}/fd", self.id())) else { return Vec::new() };
        let links = folder.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
        links.map(|link| link.to_string_lossy().into_owned()).collect()
    }

    /// Resident memory, in KiB.
    pub fn resident_kb(&self) -> usize {
        self.status_kb("VmRSS:")
    }

    fn status_kb(&self, name: &str) -> usize {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Peak resident memory, in KiB.
    pub fn peak_resident_kb(&self) -> usize {
        self.status_kb("VmHWM:")
    }

    /// Waits for the process to exit; its exit code, or `None` if a signal ended it.
    pub fn wait_for_exit_code(&mut self) -> Option<i32> {
        self.wait_for_exit().code()
    }

    /// The exit code if the process has exited; the inner `None` stands for an end by a signal.
    pub fn exit_code_if_exited(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|status| status.code())
    }

    /// Waits for the process to exit.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the program exits", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

/// Polls a condition until it holds; panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A loopback address that no other test uses, with port 0.
///
/// Outgoing connections use source ports of 127.0.0.1. A port there that is unused now may be the source port
/// of a connection later, and a client that keeps connecting to it can end up connected to itself.
pub fn test_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let own = [127, 64 | (process >> 8) as u8 & 63, process as u8, NEXT.fetch_add(1, Ordering::SeqCst)];
    SocketAddr::from((own, 0))
}

/// An address that no socket is bound to, for a process to listen on.
///
/// Binding it at once can fail with "address in use": a child process that another thread is starting holds
/// copies of all sockets until it calls `exec`. A listener in the test process binds [`test_address`] itself
/// and keeps its socket.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind(test_address()).unwrap().local_addr().unwrap()
}

/// A command that a fake node received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedCommand {
    pub arguments: Vec<String>,
}

impl ReceivedCommand {
    /// The request id that the client chose.
    pub fn id(&self) -> u64 {
        u64::from_str_radix(&self.arguments[2], 16).unwrap()
    }
}

/// The commands that a fake node received, in order of arrival.
pub type ReceivedCommands = Arc<Mutex<Vec<ReceivedCommand>>>;

/// Reads a RESP line that consists of a type character and a number.
fn read_number(from: &mut impl BufRead, kind: char) -> io::Result<usize> {
    let mut line = String::new();
    from.read_line(&mut line)?;
    let number = line.trim_end().strip_prefix(kind).and_then(|n| n.parse().ok());
    number.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Reads one RESP command, an array of bulk strings.
fn read_command(from: &mut impl BufRead) -> io::Result<Vec<String>> {
    let mut arguments = Vec::new();
    for _ in 0..read_number(from, '*')? {
        let length = read_number(from, '$')?;
        let mut argument = vec![0; length + 2];
        from.read_exact(&mut argument)?;
        argument.truncate(length);
        arguments.push(String::from_utf8_lossy(&argument).into_owned());
    }
    Ok(arguments)
}

/// Starts a node that serves every request with the same value, `service_time` after it has read the request.
pub fn start_node(service_time: Duration) -> SocketAddr {
    start_recording_node(service_time).0
}

/// Like [`start_node`]; also returns the commands that the node receives.
pub fn start_recording_node(service_time: Duration) -> (SocketAddr, ReceivedCommands) {
    start_node_with(service_time, |_| OK_VALUE.to_owned())
}

/// Like [`start_recording_node`], with the request's id as the value.
pub fn start_echo_node(service_time: Duration) -> (SocketAddr, ReceivedCommands) {
    start_node_with(service_time, |command| command.arguments[2].clone())
}

fn start_node_with(
    service_time: Duration,
    value: fn(&ReceivedCommand) -> String,
) -> (SocketAddr, ReceivedCommands) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = ReceivedCommands::default();
    let shared = received.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let received = shared.clone();
            std::thread::spawn(move || {
                let mut commands = BufReader::new(&stream);
                while let Ok(arguments) = read_command(&mut commands) {
                    let command = ReceivedCommand { arguments };
                    let value = value(&command);
                    received.lock().unwrap().push(command);
                    std::thread::sleep(service_time);
                    let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                    let _ = (&stream).write_all(reply.as_bytes());
                }
            });
        }
    });
    (address, received)
}

/// The entry of a node in a discovery list.
pub fn node_line(name: &str, dial: SocketAddr, block: u16, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A full discovery list of these entries.
pub fn full_list(seq: u64, lines: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, lines.join(","))
}

/// A full list of a live node in shard 0 and `count` unreachable nodes in shard 1, named `prefix-0` and up.
pub fn list_with_one_live_node(seq: u64, live: SocketAddr, prefix: &str, count: usize) -> String {
    let unreachable: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let others = (0..count).map(|i| node_line(&format!("{prefix}-{i}"), unreachable, 1, "SERVING"));
    let lines: Vec<String> = std::iter::once(node_line("s-1", live, 0, "SERVING")).chain(others).collect();
    full_list(seq, &lines)
}

/// Starts a discovery server that returns the shared list.
///
/// A watch of the sequence number that the list has ends after 50 ms without a change.
pub fn start_discovery(list: Arc<Mutex<(u64, String)>>) -> Server {
    let respond = move |path: &str| {
        let (seq, list) = list.lock().unwrap().clone();
        if path.contains(&format!("since={seq}&")) {
            std::thread::sleep(Duration::from_millis(50));
            return Response::ok("application/json", format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#));
        }
        Response::ok("application/json", list)
    };
    Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), respond).unwrap()
}

/// The configuration of the platform's tests with these addresses, this list and a fleet of `hosts` hosts.
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
    wait_until("the program listens", || {
        stream = TcpStream::connect(address).ok();
        stream.is_some()
    });
    let stream = stream.unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// The RESP command of a read.
pub fn get_command(id: u64) -> Vec<u8> {
    let list = "c=read,t=gold,d=1000,volume=0000000000000001,units=1,shard=0,hosts=1024";
    let command = format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        list.len()
    );
    command.into_bytes()
}

pub fn send_get(stream: &mut TcpStream, id: u64) {
    stream.write_all(&get_command(id)).unwrap();
}

/// Reads the reply to one command: a value or an error line.
pub fn read_reply(stream: &mut TcpStream) -> String {
    let mut reply = Vec::new();
    let mut buffer = [0; 256];
    while !(reply.starts_with(b"-") && reply.ends_with(b"\r\n") || reply.ends_with(b"ok\r\n")) {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "connection closed without a reply");
        reply.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8_lossy(&reply).into_owned()
}

/// Reads as many bytes as `expected` has and asserts that they are equal.
pub fn expect_reply(stream: &mut TcpStream, expected: &str) {
    let mut reply = vec![0; expected.len()];
    let read = stream.read_exact(&mut reply);
    assert!(read.is_ok(), "{read:?} instead of {expected:?}");
    assert_eq!(String::from_utf8_lossy(&reply), expected);
}

/// Waits until a new client gets a reply to PING, and returns the time since `since`.
///
/// A client whose connection is closed without a reply connects again.
pub fn wait_until_ready(address: SocketAddr, since: Instant) -> Duration {
    let pong = b"+PONG\r\n";
    wait_until("PING is answered", || {
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let mut reply = [0; 7];
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let sent = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
        sent.is_ok() && stream.read_exact(&mut reply).is_ok() && &reply == pong
    });
    since.elapsed()
}
