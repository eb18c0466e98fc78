//! A stand-in node, a stand-in discovery and a client, on loopback.

use bytes::{Bytes, BytesMut};
use pearfork_net::http::{Response, Server};
use pearfork_platform::config::Config;
use pearfork_resp::{write, Command, CommandDecoder, CommandLimits, Reply, ReplyDecoder, ReplyLimits};
use pearfork_serving::Service;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CONFIG: &str = include_str!("../../../platform/tests/config.json");

/// What a stand-in node does with a command.
pub enum Reaction {
    /// Writes these bytes.
    Say(Vec<u8>),
    /// Writes these after a while.
    Later(Duration, Vec<u8>),
    /// Never answers, and keeps the connection.
    Nothing,
}

/// The value that a node gives for a request: its id.
pub fn value(command: &Command) -> Vec<u8> {
    let mut out = BytesMut::from(&b"*3\r\n"[..]);
    write::bulk(&mut out, &command[2]);
    write::bulk(&mut out, b"used=20,cost=0");
    write::bulk(&mut out, b"queue=0,latency_ms=5");
    out.to_vec()
}

/// Commands that a stand-in node was sent.
pub type Heard = Arc<Mutex<Vec<Command>>>;

/// Threads of stand-ins go by a name of their own, so that a host's can be counted.
pub const STAND_IN: &str = "stand-in";

fn stand_in(body: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new().name(STAND_IN.to_owned()).spawn(body).unwrap();
}

/// A node that reacts to each command; the number of commands before it is told.
pub fn node(react: impl Fn(usize, &Command) -> Reaction + Send + Sync + 'static) -> (SocketAddr, Heard) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let heard: Heard = Arc::default();
    let (react, kept) = (Arc::new(react), heard.clone());
    stand_in(move || {
        for stream in listener.incoming() {
            let (mut stream, react, heard) = (stream.unwrap(), react.clone(), kept.clone());
            stand_in(move || {
                let limits = CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 };
                let mut commands = CommandDecoder::new(limits);
                let mut piece = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut piece) {
                    commands.buffer().extend_from_slice(&piece[..n]);
                    while let Some(command) = commands.next_command().unwrap() {
                        let before = {
                            let mut heard = heard.lock().unwrap();
                            heard.push(command.clone());
                            heard.len() - 1
                        };
                        let said = match react(before, &command) {
                            Reaction::Say(bytes) => bytes,
                            Reaction::Later(after, bytes) => {
                                std::thread::sleep(after);
                                bytes
                            }
                            Reaction::Nothing => continue,
                        };
                        if stream.write_all(&said).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    (address, heard)
}

/// Discovery that tells one whole list: the node of each shard.
pub fn discovery(seq: u64, nodes: &[SocketAddr]) -> Server {
    let lines: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(block, dial)| {
            format!(r#"{{"host":"s-{dial}","dial":"{dial}","site":"a","class":"m","block":{block},"health":"SERVING","share":1.0,"born_ms":0}}"#)
        })
        .collect();
    let whole = format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, lines.join(","));
    let none = format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#);
    let known = format!("since={seq}&");
    let answer = move |path: &str| {
        if path.contains(&known) {
            std::thread::sleep(Duration::from_millis(100));
            return Response::ok("application/json", none.clone());
        }
        Response::ok("application/json", whole.clone())
    };
    Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), answer).unwrap()
}

/// The configuration of a host over nodes, one a shard, known from its start.
pub fn config(discovery: SocketAddr, nodes: &[SocketAddr]) -> serde_json::Value {
    let lines: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(block, dial)| {
            format!(r#"{{"host":"s-{dial}","dial":"{dial}","site":"a","block":{block},"health":"SERVING","born_ms":0}}"#)
        })
        .collect();
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = discovery.to_string().into();
    let known = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, lines.join(","));
    config["known"] = serde_json::from_str(&known).unwrap();
    config
}

/// A host of a configuration.
pub fn host_of(config: &serde_json::Value) -> (Service, SocketAddr) {
    let host = Service::start(Config::parse(config.to_string().as_bytes()).unwrap()).unwrap();
    let address = host.address().unwrap();
    (host, address)
}

/// A host over nodes, one a shard, known from its start.
pub fn host(discovery: &Server, nodes: &[SocketAddr]) -> (Service, SocketAddr) {
    host_of(&config(discovery.address(), nodes))
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    replies: ReplyDecoder,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let limits = ReplyLimits { line_bytes: 512, bulk_bytes: 1 << 16, elements: 3 };
        Client { stream, replies: ReplyDecoder::new(limits) }
    }

    pub fn send(&mut self, words: &[&str]) {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let mut out = BytesMut::new();
        write::command(&mut out, &words);
        self.stream.write_all(&out).unwrap();
    }

    /// Asks for a read of shard 0 under an id.
    pub fn read(&mut self, id: u64) {
        self.read_of(id, 0, 1_000);
    }

    pub fn read_of(&mut self, id: u64, shard: u16, wait_ms: u32) {
        let list = format!("c=read,t=gold,d={wait_ms},volume=0000000000000001,units=1,shard={shard},hosts=3");
        self.send(&["OBJ.GET", &format!("{:016x}", id % 7 + 1), &format!("{id:016x}"), &list]);
    }

    /// The next reply; `None` where the connection ends before one.
    pub fn reply(&mut self) -> Option<Reply> {
        loop {
            if let Some(reply) = self.replies.next_reply().unwrap() {
                return Some(reply);
            }
            let mut piece = [0; 4096];
            match self.stream.read(&mut piece) {
                Ok(n @ 1..) => self.replies.buffer().extend_from_slice(&piece[..n]),
                Ok(0) | Err(_) => return None,
            }
        }
    }

    /// The value that was served, as the id in it.
    pub fn served(&mut self) -> Option<u64> {
        match self.reply() {
            Some(Reply::Bulk(Some(v))) => u64::from_str_radix(std::str::from_utf8(&v).unwrap(), 16).ok(),
            _ => None,
        }
    }
}

/// Whether bytes begin an error.
pub fn is_error(reply: &Option<Reply>, prefix: &str) -> bool {
    matches!(reply, Some(Reply::Error(line)) if line.starts_with(prefix.as_bytes()))
}

/// Waits for something, within ten seconds.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(10);
    while !done() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The words of a command as text.
pub fn list_of(command: &[Bytes]) -> String {
    String::from_utf8_lossy(&command[3]).into_owned()
}
