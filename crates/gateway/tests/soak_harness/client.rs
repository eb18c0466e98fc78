//! Clients that send one request after another. They disconnect during some of them, and retry one whose
//! connection was closed before the reply.

use super::scenario::Random;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The end of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    Served,
    Refused,
    Failed,
    /// The reply holds the value of another request, or is malformed.
    Wrong,
    /// The connection was reset before the reply.
    Reset,
    /// The connection was closed in an orderly way without a reply, and so was that of the retry.
    ClosedTwice,
    /// The connection was closed in an orderly way without a reply, and no connection could be made for a
    /// retry.
    Closed,
    /// The client disconnected.
    Disconnected,
    /// No reply came within a second after the deadline.
    Unanswered,
}

/// A request with its end.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: u64,
    pub sent_at: Instant,
    /// Time from sending to the deadline.
    pub deadline_ms: u64,
    /// Whether it was the first request on its connection.
    pub is_first: bool,
    pub end: RequestEnd,
    pub ended_at: Instant,
    /// When its connection was closed without a reply, before the retry.
    pub closed_at: Option<Instant>,
}

/// What a client does.
#[derive(Clone, Copy, Debug)]
pub struct ClientConfig {
    pub seed: u64,
    pub number: u64,
    pub address: SocketAddr,
    pub shards: u64,
    pub disconnect_percent: u64,
    pub until: Instant,
}

/// The RESP command of a request.
fn request_command(id: u64, is_write: bool, deadline_ms: u64, shard: u64) -> Vec<u8> {
    let (class, key) = if is_write { ("write", format!(",k={id:016x}")) } else { ("read", String::new()) };
    let list = format!(
        "c={class},t=gold,d={deadline_ms}{key},volume=0000000000000001,units=1,shard={shard},hosts=2"
    );
    let mut arguments = vec![
        if is_write { "OBJ.PUT" } else { "OBJ.GET" }.to_owned(),
        format!("{:016x}", id % 97 + 1),
        format!("{id:016x}"),
        list,
    ];
    arguments.extend(is_write.then(|| "body".to_owned()));
    let mut command = format!("*{}\r\n", arguments.len());
    arguments.iter().for_each(|a| command += &format!("${}\r\n{a}\r\n", a.len()));
    command.into_bytes()
}

fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Sends one request after another until the run is over.
pub fn run(config: ClientConfig) -> Vec<SentRequest> {
    let mut random = Random::new(config.seed.wrapping_mul(1_000_003) ^ config.number << 40);
    let (mut requests, mut connection) = (Vec::new(), None);
    let mut id = (config.number + 1) << 32;
    while Instant::now() < config.until {
        std::thread::sleep(Duration::from_millis(2 + random.below(16)));
        let is_open = |s: &TcpStream| !is_closed(s);
        let is_first = !connection.as_ref().is_some_and(is_open);
        if is_first {
            connection = TcpStream::connect_timeout(&config.address, Duration::from_millis(300)).ok();
        }
        let Some(stream) = &mut connection else { continue };
        let _ = stream.set_nodelay(true);
        id += 1;
        let request = send_request(stream, &config, id, is_first, &mut random);
        if !matches!(request.end, RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed) {
            connection = None;
        }
        requests.push(request);
    }
    requests
}

/// Sends a request, and once more on a new connection if the first is closed without a reply.
fn send_request(
    stream: &mut TcpStream,
    config: &ClientConfig,
    id: u64,
    is_first: bool,
    random: &mut Random,
) -> SentRequest {
    let (is_write, deadline_ms) = (random.chance(30), random.pick(&[250, 500, 1_000]));
    let command = request_command(id, is_write, deadline_ms, random.below(config.shards));
    let sent_at = Instant::now();
    let disconnect_after =
        random.chance(config.disconnect_percent).then(|| Duration::from_millis(random.below(30)));
    let mut end = exchange(stream, &command, id, sent_at, deadline_ms, disconnect_after);
    let mut closed_at = None;
    if end == RequestEnd::Closed {
        closed_at = Some(Instant::now());
        if let Ok(mut retry) = TcpStream::connect_timeout(&config.address, Duration::from_millis(300)) {
            end = match exchange(&mut retry, &command, id, sent_at, deadline_ms, None) {
                RequestEnd::Closed => RequestEnd::ClosedTwice,
                other => other,
            };
        }
    }
    SentRequest { id, sent_at, deadline_ms, is_first, end, ended_at: Instant::now(), closed_at }
}

/// Sends a command on a connection and waits for the reply.
fn exchange(
    stream: &mut TcpStream,
    command: &[u8],
    id: u64,
    sent_at: Instant,
    deadline_ms: u64,
    disconnect_after: Option<Duration>,
) -> RequestEnd {
    if let Err(e) = stream.write_all(command) {
        return if e.kind() == ErrorKind::BrokenPipe { RequestEnd::Closed } else { RequestEnd::Reset };
    }
    if let Some(after) = disconnect_after {
        std::thread::sleep(after);
        return RequestEnd::Disconnected;
    }
    let expected = format!("$16\r\n{id:016x}\r\n").into_bytes();
    let timeout = Duration::from_millis(deadline_ms + 1_000);
    let mut reply = Vec::new();
    let mut buffer = [0; 256];
    loop {
        let left = timeout.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return if reply.is_empty() { RequestEnd::Closed } else { RequestEnd::Wrong },
            Ok(n) => reply.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return RequestEnd::Unanswered
            }
            Err(_) => return RequestEnd::Reset,
        }
        if reply.starts_with(b"-") && reply.ends_with(b"\r\n") {
            return if reply.starts_with(b"-BUSY") { RequestEnd::Refused } else { RequestEnd::Failed };
        }
        if reply == expected {
            return RequestEnd::Served;
        }
        if !reply.starts_with(b"-") && !expected.starts_with(&reply) {
            return RequestEnd::Wrong;
        }
    }
}
