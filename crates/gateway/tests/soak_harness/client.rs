//! Usual clients: they ask, wait, send once more what crossed an end, and leave now and then.

use super::scenario::Draw;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Refused,
    Failed,
    /// A value that was made for another request, or no form that an answer has.
    Wrong,
    /// The connection was reset under it.
    Reset,
    /// It was closed in order with no answer, and so was the connection on which it was sent once more.
    ClosedTwice,
    /// It crossed the end of a resting connection, and no new one could be had.
    Crossed,
    /// The client left.
    Left,
    /// No answer came for a second after its time.
    Unanswered,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: u64,
    pub sent_at: Instant,
    pub wait_ms: u64,
    /// It was the first on its connection.
    pub is_first: bool,
    pub end: End,
    pub ended_at: Instant,
    /// When its connection was closed in order with no answer, before it was sent once more.
    pub crossed_at: Option<Instant>,
}

/// What a client is told.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    pub seed: u64,
    pub number: u64,
    pub address: SocketAddr,
    pub shards: u64,
    pub leaves: u64,
    pub until: Instant,
}

fn command(id: u64, is_write: bool, wait_ms: u64, shard: u64) -> Vec<u8> {
    let (class, key) = if is_write { ("write", format!(",k={id:016x}")) } else { ("read", String::new()) };
    let list =
        format!("c={class},t=gold,d={wait_ms}{key},volume=0000000000000001,units=1,shard={shard},hosts=2");
    let mut words = vec![
        if is_write { "OBJ.PUT" } else { "OBJ.GET" }.to_owned(),
        format!("{:016x}", id % 97 + 1),
        format!("{id:016x}"),
        list,
    ];
    words.extend(is_write.then(|| "body".to_owned()));
    let mut out = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| out += &format!("${}\r\n{w}\r\n", w.len()));
    out.into_bytes()
}

fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Asks one after another until its time is over.
pub fn run(manner: Manner) -> Vec<Asked> {
    let mut draw = Draw::new(manner.seed.wrapping_mul(1_000_003) ^ manner.number << 40);
    let (mut asked, mut connection) = (Vec::new(), None);
    let mut id = (manner.number + 1) << 32;
    while Instant::now() < manner.until {
        std::thread::sleep(Duration::from_millis(2 + draw.below(16)));
        let is_open = |s: &TcpStream| !has_ended(s);
        let is_first = !connection.as_ref().is_some_and(is_open);
        if is_first {
            connection = TcpStream::connect_timeout(&manner.address, Duration::from_millis(300)).ok();
        }
        let Some(stream) = &mut connection else { continue };
        let _ = stream.set_nodelay(true);
        id += 1;
        let one = ask(stream, &manner, id, is_first, &mut draw);
        if !matches!(one.end, End::Served | End::Refused | End::Failed) {
            connection = None;
        }
        asked.push(one);
    }
    asked
}

fn ask(stream: &mut TcpStream, manner: &Manner, id: u64, is_first: bool, draw: &mut Draw) -> Asked {
    let (is_write, wait_ms) = (draw.chance(30), draw.pick(&[250, 500, 1_000]));
    let command = command(id, is_write, wait_ms, draw.below(manner.shards));
    let sent_at = Instant::now();
    let leaves = draw.chance(manner.leaves).then(|| Duration::from_millis(draw.below(30)));
    let mut end = attempt(stream, &command, id, sent_at, wait_ms, leaves);
    let mut crossed_at = None;
    if end == End::Crossed {
        crossed_at = Some(Instant::now());
        if let Ok(mut again) = TcpStream::connect_timeout(&manner.address, Duration::from_millis(300)) {
            end = match attempt(&mut again, &command, id, sent_at, wait_ms, None) {
                End::Crossed => End::ClosedTwice,
                other => other,
            };
        }
    }
    Asked { id, sent_at, wait_ms, is_first, end, ended_at: Instant::now(), crossed_at }
}

/// Sends a command on a connection and waits for its answer; [`End::Crossed`] where it was closed in order with none.
fn attempt(
    stream: &mut TcpStream,
    command: &[u8],
    id: u64,
    sent_at: Instant,
    wait_ms: u64,
    leaves: Option<Duration>,
) -> End {
    if let Err(e) = stream.write_all(command) {
        return if e.kind() == ErrorKind::BrokenPipe { End::Crossed } else { End::Reset };
    }
    if let Some(after) = leaves {
        std::thread::sleep(after);
        return End::Left;
    }
    let expected = format!("$16\r\n{id:016x}\r\n").into_bytes();
    let patience = Duration::from_millis(wait_ms + 1_000);
    let mut got = Vec::new();
    let mut piece = [0; 256];
    loop {
        let left = patience.saturating_sub(sent_at.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left)).unwrap();
        match stream.read(&mut piece) {
            Ok(0) => return if got.is_empty() { End::Crossed } else { End::Wrong },
            Ok(n) => got.extend_from_slice(&piece[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return End::Unanswered
            }
            Err(_) => return End::Reset,
        }
        if got.starts_with(b"-") && got.ends_with(b"\r\n") {
            return if got.starts_with(b"-BUSY") { End::Refused } else { End::Failed };
        }
        if got == expected {
            return End::Served;
        }
        if !got.starts_with(b"-") && !expected.starts_with(&got) {
            return End::Wrong;
        }
    }
}
