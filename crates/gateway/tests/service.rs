//! `pearfork-gateway service` as the platform starts it: a fleet of 1,024 hosts in the settings, lists of 1,100 nodes, bad
//! files and lists with requests in work, signals that cross.

use pearfork_net::http::{Answer, Server};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONFIG: &str = include_str!("../../platform/tests/config.json");
const LONG: Duration = Duration::from_secs(20);

struct Program {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait());
    }
}

impl Program {
    fn start(file: &std::path::Path) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
            .args(["service", "--log-filter", "info"])
            .env("ROUTER_CONFIG", file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
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

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    fn says(&self, words: &str) {
        until(words, || self.log.lock().unwrap().contains(words));
    }

    fn threads_and_descriptors(&self) -> (usize, usize) {
        let count = |of: &str| {
            std::fs::read_dir(format!("/proc/{}/{of}", self.child.id())).map_or(0, std::iter::Iterator::count)
        };
        (count("task"), count("fd"))
    }

    /// Its exit code, within the time that the platform gives.
    fn ends(&mut self) -> Option<i32> {
        let mut code = None;
        until("the program ends", || {
            code = self.child.try_wait().unwrap();
            code.is_some()
        });
        code.unwrap().code()
    }
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A node that serves every read with the same value once it has read it, after a while.
fn node(after: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut lines = BufReader::new(&stream).lines();
                while let Some(Ok(line)) = lines.next() {
                    if line.contains("hosts=") {
                        std::thread::sleep(after);
                        let _ = (&stream).write_all(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n");
                    }
                }
            });
        }
    });
    address
}

fn line(name: &str, dial: SocketAddr, block: u16, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// The node that serves, among so many others of another shard.
fn list(seq: u64, serves: SocketAddr, others: &str, count: usize) -> String {
    let dead: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let others = (0..count).map(|i| line(&format!("{others}-{i}"), dead, 1, "SERVING"));
    let lines: Vec<String> = std::iter::once(line("s-1", serves, 0, "SERVING")).chain(others).collect();
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, lines.join(","))
}

fn discovery(text: Arc<Mutex<(u64, String)>>) -> Server {
    let answer = move |path: &str| {
        let (seq, list) = text.lock().unwrap().clone();
        if path.contains(&format!("since={seq}&")) {
            std::thread::sleep(Duration::from_millis(50));
            return Answer::ok("application/json", format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#));
        }
        Answer::ok("application/json", list)
    };
    Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), answer).unwrap()
}

fn write_config(file: &std::path::Path, listen: SocketAddr, discovery: SocketAddr, known: &str) {
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = listen.to_string().into();
    config["discovery"] = discovery.to_string().into();
    config["known"] = serde_json::from_str(known).unwrap();
    config["settings"]["Balancers"] = 1_024.into();
    std::fs::write(file, config.to_string()).unwrap();
}

fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = None;
    until("it listens", || {
        stream = TcpStream::connect(address).ok();
        stream.is_some()
    });
    let stream = stream.unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

fn ask(stream: &mut TcpStream, id: u64) {
    let list = "c=read,t=gold,d=1000,volume=0000000000000001,units=1,shard=0,hosts=1024";
    let words = format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        list.len()
    );
    stream.write_all(words.as_bytes()).unwrap();
}

/// What was answered to one command: a value or an error line.
fn answered(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let mut piece = [0; 256];
    while !(got.starts_with(b"-") && got.ends_with(b"\r\n") || got.ends_with(b"ok\r\n")) {
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "closed with no answer");
        got.extend_from_slice(&piece[..n]);
    }
    String::from_utf8_lossy(&got).into_owned()
}

const SERVED: &str = "$2\r\nok\r\n";

#[test]
fn bad_files_and_lists_change_nothing_and_hundreds_of_names_may_come_and_go() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let serves = node(Duration::from_millis(100));
    let told = Arc::new(Mutex::new((1, list(1, serves, "a", 1_100))));
    let agent = discovery(told.clone());
    let listen = free();
    write_config(&file, listen, agent.address(), &list(0, serves, "a", 0));
    let mut host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    let before = host.threads_and_descriptors();
    for (round, seq) in (2..8u64).enumerate() {
        // All other names are replaced, a list makes no sense, and a file does not, each with a request in work.
        ask(&mut client, 100 + seq);
        *told.lock().unwrap() = (seq * 10, list(seq * 10, serves, &format!("n{round}"), 1_100));
        std::fs::write(&file, "{\"name\": \"n3\", \"listen\": 7}").unwrap();
        host.signal(Signal::HUP);
        assert_eq!(answered(&mut client), SERVED);
        *told.lock().unwrap() = (seq * 10 + 1, r#"{"seq":1,"whole":true,"hosts":[{"host":""}]}"#.to_owned());
        ask(&mut client, 200 + seq);
        assert_eq!(answered(&mut client), SERVED);
    }
    host.says("the old configuration stays");
    host.says("hosts[0].");
    host.says("going on with the list as it is");
    let after = host.threads_and_descriptors();
    assert_eq!(after.0, before.0, "threads");
    assert!(after.1 <= before.1 + 4, "descriptors: {before:?} and {after:?}");
    host.signal(Signal::TERM);
    assert_eq!(host.ends(), Some(0));
}

/// Ready with discovery silent, and with clients in the queue before it listens for them.
#[test]
fn a_host_is_ready_with_discovery_silent_and_serves_by_the_list_that_it_had() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = free();
    let serves = node(Duration::ZERO);
    write_config(&file, listen, silent.local_addr().unwrap(), &list(5, serves, "a", 1_100));
    let began = Instant::now();
    let _host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// Signals that cross: told to end twice and to read its file anew, with a request in work.
#[test]
fn two_words_to_end_and_a_new_file_in_between_end_one_host_with_its_answers_given() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let serves = node(Duration::from_millis(400));
    let agent = discovery(Arc::new(Mutex::new((1, list(1, serves, "a", 3)))));
    let listen = free();
    write_config(&file, listen, agent.address(), &list(0, serves, "a", 0));
    let mut host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    ask(&mut client, 2);
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        host.signal(signal);
    }
    assert_eq!(answered(&mut client), SERVED);
    assert_eq!(client.read(&mut [0; 16]).unwrap(), 0, "an orderly end");
    assert_eq!(host.ends(), Some(0));
}
