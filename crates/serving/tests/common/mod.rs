//! A fake node, fake discovery and a client, on loopback.

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

/// How a fake node responds to a command.
pub enum Reaction {
    /// Writes these bytes.
    Reply(Vec<u8>),
    /// Writes these bytes after a delay.
    ReplyAfter(Duration, Vec<u8>),
    /// Never responds, and keeps the connection open.
    NoReply,
}

/// The reply of a node to a request, with the request's id as the value.
pub fn value_reply(command: &Command) -> Vec<u8> {
    let mut out = BytesMut::from(&b"*3\r\n"[..]);
    write::bulk(&mut out, &command[2]);
    write::bulk(&mut out, b"used=20,cost=0");
    write::bulk(&mut out, b"queue=0,latency_ms=5");
    out.to_vec()
}

/// Commands that a fake node received.
pub type ReceivedCommands = Arc<Mutex<Vec<Command>>>;

/// Name of the threads of fakes, so that the threads of a host can be counted.
pub const FAKE_THREAD: &str = "fake";

fn spawn_fake(body: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new().name(FAKE_THREAD.to_owned()).spawn(body).unwrap();
}

/// Starts a fake node. `react` gets the number of earlier commands and the command.
pub fn fake_node(
    react: impl Fn(usize, &Command) -> Reaction + Send + Sync + 'static,
) -> (SocketAddr, ReceivedCommands) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received: ReceivedCommands = Arc::default();
    let (react, recorded) = (Arc::new(react), received.clone());
    spawn_fake(move || {
        for stream in listener.incoming() {
            let (mut stream, react, received) = (stream.unwrap(), react.clone(), recorded.clone());
            spawn_fake(move || {
                let limits = CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 };
                let mut decoder = CommandDecoder::new(limits);
                let mut chunk = [0; 4096];
                while let Ok(n @ 1..) = stream.read(&mut chunk) {
                    decoder.buffer().extend_from_slice(&chunk[..n]);
                    while let Some(command) = decoder.next_command().unwrap() {
                        let earlier = {
                            let mut received = received.lock().unwrap();
                            received.push(command.clone());
                            received.len() - 1
                        };
                        let reply = match react(earlier, &command) {
                            Reaction::Reply(bytes) => bytes,
                            Reaction::ReplyAfter(delay, bytes) => {
                                std::thread::sleep(delay);
                                bytes
                            }
                            Reaction::NoReply => continue,
                        };
                        if stream.write_all(&reply).is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    (address, received)
}

/// Starts fake discovery that returns one full list, with one node per shard.
pub fn fake_discovery(version: u64, nodes: &[SocketAddr]) -> Server {
    let lines: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(shard, address)| {
            format!(r#"{{"host":"s-{address}","dial":"{address}","site":"a","class":"m","block":{shard},"health":"SERVING","share":1.0,"born_ms":0}}"#)
        })
        .collect();
    let full = format!(r#"{{"seq":{version},"whole":true,"hosts":[{}]}}"#, lines.join(","));
    let unchanged = format!(r#"{{"seq":{version},"whole":false,"hosts":[]}}"#);
    let known = format!("since={version}&");
    let respond = move |path: &str| {
        if path.contains(&known) {
            std::thread::sleep(Duration::from_millis(100));
            return Response::ok("application/json", unchanged.clone());
        }
        Response::ok("application/json", full.clone())
    };
    Server::start(TcpListener::bind("127.0.0.1:0").unwrap(), respond).unwrap()
}

/// The configuration of a host whose stored list has one node per shard.
pub fn config(discovery: SocketAddr, nodes: &[SocketAddr]) -> serde_json::Value {
    let lines: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(shard, address)| {
            format!(r#"{{"host":"s-{address}","dial":"{address}","site":"a","block":{shard},"health":"SERVING","born_ms":0}}"#)
        })
        .collect();
    let mut config: serde_json::Value = serde_json::from_str(CONFIG).unwrap();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = discovery.to_string().into();
    let known = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, lines.join(","));
    config["known"] = serde_json::from_str(&known).unwrap();
    config
}

/// Starts a host with a configuration.
pub fn start_host_with(config: &serde_json::Value) -> (Service, SocketAddr) {
    let host = Service::start(Config::parse(config.to_string().as_bytes()).unwrap()).unwrap();
    let address = host.address().unwrap();
    (host, address)
}

/// Starts a host whose stored list has one node per shard.
pub fn start_host(discovery: &Server, nodes: &[SocketAddr]) -> (Service, SocketAddr) {
    start_host_with(&config(discovery.address(), nodes))
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    decoder: ReplyDecoder,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let limits = ReplyLimits { line_bytes: 512, bulk_bytes: 1 << 16, elements: 3 };
        Client { stream, decoder: ReplyDecoder::new(limits) }
    }

    pub fn send(&mut self, args: &[&str]) {
        let args: Vec<&[u8]> = args.iter().map(|arg| arg.as_bytes()).collect();
        let mut out = BytesMut::new();
        write::command(&mut out, &args);
        self.stream.write_all(&out).unwrap();
    }

    /// Sends a read of shard 0 with the given id.
    pub fn send_read(&mut self, id: u64) {
        self.send_read_with(id, 0, 1_000);
    }

    pub fn send_read_with(&mut self, id: u64, shard: u16, wait_ms: u32) {
        let attributes =
            format!("c=read,t=gold,d={wait_ms},volume=0000000000000001,units=1,shard={shard},hosts=3");
        self.send(&["OBJ.GET", &format!("{:016x}", id % 7 + 1), &format!("{id:016x}"), &attributes]);
    }

    /// The next reply; `None` if the connection ends first.
    pub fn reply(&mut self) -> Option<Reply> {
        loop {
            if let Some(reply) = self.decoder.next_reply().unwrap() {
                return Some(reply);
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(n @ 1..) => self.decoder.buffer().extend_from_slice(&chunk[..n]),
                Ok(0) | Err(_) => return None,
            }
        }
    }

    /// The id in the value served, if the next reply is a value.
    pub fn served_id(&mut self) -> Option<u64> {
        match self.reply() {
            Some(Reply::Bulk(Some(v))) => u64::from_str_radix(std::str::from_utf8(&v).unwrap(), 16).ok(),
            _ => None,
        }
    }
}

/// Whether a reply is an error that begins with `prefix`.
pub fn is_error(reply: &Option<Reply>, prefix: &str) -> bool {
    matches!(reply, Some(Reply::Error(line)) if line.starts_with(prefix.as_bytes()))
}

/// Waits up to ten seconds for a condition.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The attribute list of a command as text.
pub fn attributes_of(command: &[Bytes]) -> String {
    String::from_utf8_lossy(&command[3]).into_owned()
}
