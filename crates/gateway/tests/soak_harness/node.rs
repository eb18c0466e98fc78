//! Nodes that misbehave on the wire, and note every command with the moment of its last byte.

use super::scenario::Draw;
use pearfork_resp::{Command, CommandDecoder, CommandLimits};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A command as it came to a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: usize,
    pub at: Instant,
    pub id: u64,
    pub is_write: bool,
    pub told_ms: u64,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// What becomes of an answer.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Reset,
    Silence,
    Busy,
    Error,
    Spoilt,
    /// It comes again, so many milliseconds later.
    Twice(u64),
    /// In pieces of one byte.
    Pieces,
    Slow,
}

const FAULTS: [Fault; 9] = [
    Fault::Reset,
    Fault::Silence,
    Fault::Busy,
    Fault::Error,
    Fault::Spoilt,
    Fault::Twice(1),
    Fault::Twice(8),
    Fault::Pieces,
    Fault::Slow,
];
/// How long a second answer may be late, as the machine has it.
const LATEST: Duration = Duration::from_millis(13);

/// When a node started last; `None` for long ago.
pub type Started = Arc<Mutex<Option<Instant>>>;

/// Part of its speed with which a node starts, and the time by which it is warm, as the settings have them.
const COLD_FROM: f64 = 0.17;
const WARM_AFTER_SECONDS: f64 = 18.0;

pub struct Node {
    pub address: SocketAddr,
    pub started: Started,
}

/// How many times longer than warm a node takes now.
fn slowness(started: &Started) -> f64 {
    let Some(at) = *started.lock().unwrap() else { return 1.0 };
    let warm = (at.elapsed().as_secs_f64() / WARM_AFTER_SECONDS).min(1.0);
    1.0 / (COLD_FROM + (1.0 - COLD_FROM) * warm)
}

fn field(list: &str, name: &str) -> Option<u64> {
    list.split(',').find_map(|pair| pair.strip_prefix(name)?.parse().ok())
}

fn noted(node: usize, command: &Command) -> Option<Attempt> {
    let text = |i: usize| String::from_utf8_lossy(command.get(i).map_or(&[][..], |w| &w[..])).into_owned();
    Some(Attempt {
        node,
        at: Instant::now(),
        id: u64::from_str_radix(&text(2), 16).ok()?,
        is_write: text(0) == "OBJ.PUT",
        told_ms: field(&text(3), "d=")?,
    })
}

impl Node {
    /// A node under a number; so many of a hundred attempts meet a fault.
    pub fn start(number: usize, seed: u64, faults: u64, attempts: Attempts) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let started = Started::default();
        let shared = started.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let draw = Draw::new(seed ^ (number as u64) << 32 ^ (connection as u64) << 8);
                let (attempts, started) = (attempts.clone(), shared.clone());
                std::thread::spawn(move || serve(number, stream, draw, faults, &attempts, &started));
            }
        });
        Node { address, started }
    }
}

fn serve(
    number: usize,
    mut stream: TcpStream,
    mut draw: Draw,
    faults: u64,
    attempts: &Attempts,
    started: &Started,
) {
    let _ = stream.set_nodelay(true);
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    let mut piece = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut piece) {
        commands.buffer().extend_from_slice(&piece[..n]);
        loop {
            let command = match commands.next_command() {
                Ok(Some(command)) => command,
                Ok(None) => break,
                Err(_) => {
                    let garbage =
                        Attempt { node: number, at: Instant::now(), id: 0, is_write: false, told_ms: 0 };
                    return attempts.lock().unwrap().push(garbage);
                }
            };
            let Some(attempt) = noted(number, &command) else { continue };
            let id = attempt.id;
            attempts.lock().unwrap().push(attempt);
            let work = Duration::from_millis(1 + draw.below(8));
            std::thread::sleep(work.mul_f64(slowness(started)));
            let fault = draw.chance(faults).then(|| draw.pick(&FAULTS));
            if answer(&mut stream, id, fault).is_none() {
                return;
            }
        }
    }
}

/// `None`: the connection is over.
fn answer(stream: &mut TcpStream, id: u64, fault: Option<Fault>) -> Option<()> {
    let good = format!("*3\r\n$16\r\n{id:016x}\r\n$-1\r\n$-1\r\n").into_bytes();
    match fault {
        None => stream.write_all(&good).ok(),
        Some(Fault::Reset) => {
            let _ = rustix::net::sockopt::set_socket_linger(&*stream, Some(Duration::ZERO));
            None
        }
        Some(Fault::Silence) => {
            std::thread::sleep(Duration::from_millis(2_500));
            let _ = stream.shutdown(Shutdown::Both);
            None
        }
        Some(Fault::Busy) => stream.write_all(b"-BUSY\r\n").ok(),
        Some(Fault::Error) => stream.write_all(b"-ERR failed\r\n").ok(),
        Some(Fault::Spoilt) => stream.write_all(b"*3\r\n$16\r\nnoise").ok(),
        Some(Fault::Twice(late_ms)) => {
            stream.write_all(&good).ok()?;
            let answered = Instant::now();
            std::thread::sleep(Duration::from_millis(late_ms));
            if answered.elapsed() <= LATEST {
                stream.write_all(&good).ok()?;
            }
            Some(())
        }
        Some(Fault::Pieces) => good.iter().try_for_each(|b| stream.write_all(&[*b]).ok()),
        Some(Fault::Slow) => {
            std::thread::sleep(Duration::from_millis(150));
            stream.write_all(&good).ok()
        }
    }
}
