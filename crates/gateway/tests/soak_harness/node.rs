//! Fake nodes with faults on the wire. They record every command with the time of its last byte.

use super::scenario::Random;
use pearfork_resp::{Command, CommandDecoder, CommandLimits};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A command as a node received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub node: usize,
    pub received_at: Instant,
    pub id: u64,
    pub is_write: bool,
    /// Time until the request's deadline, as the host sent it.
    pub time_left_ms: u64,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// A fault of a node's response to a command.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Reset,
    NoResponse,
    Busy,
    Error,
    Malformed,
    /// The response is sent again, this many milliseconds later.
    Duplicate(u64),
    /// The response is sent in pieces of one byte.
    Fragmented,
    Slow,
}

const FAULTS: [Fault; 9] = [
    Fault::Reset,
    Fault::NoResponse,
    Fault::Busy,
    Fault::Error,
    Fault::Malformed,
    Fault::Duplicate(1),
    Fault::Duplicate(8),
    Fault::Fragmented,
    Fault::Slow,
];
/// Longest delay of a duplicate response: if a busy machine delays it further, it is not sent.
const DUPLICATE_TIMEOUT: Duration = Duration::from_millis(13);

/// When a node last started; `None` if it has been running since before the scenario.
pub type StartTime = Arc<Mutex<Option<Instant>>>;

/// Fraction of its speed with which a node starts, as the settings have it.
const COLD_FROM: f64 = 0.17;
/// Time after which a node is warm, as the settings have it.
const WARM_AFTER_SECONDS: f64 = 18.0;

pub struct Node {
    pub address: SocketAddr,
    pub started: StartTime,
}

/// The current service time of a node as a multiple of that of a warm node.
fn slowness(started: &StartTime) -> f64 {
    let Some(at) = *started.lock().unwrap() else { return 1.0 };
    let warmth = (at.elapsed().as_secs_f64() / WARM_AFTER_SECONDS).min(1.0);
    1.0 / (COLD_FROM + (1.0 - COLD_FROM) * warmth)
}

fn field(list: &str, name: &str) -> Option<u64> {
    list.split(',').find_map(|pair| pair.strip_prefix(name)?.parse().ok())
}

fn parse_attempt(node: usize, command: &Command) -> Option<Attempt> {
    let text = |i: usize| {
        String::from_utf8_lossy(command.get(i).map_or(&[][..], |argument| &argument[..])).into_owned()
    };
    Some(Attempt {
        node,
        received_at: Instant::now(),
        id: u64::from_str_radix(&text(2), 16).ok()?,
        is_write: text(0) == "OBJ.PUT",
        time_left_ms: field(&text(3), "d=")?,
    })
}

impl Node {
    /// Starts a node that has a fault at `fault_percent` of the attempts.
    pub fn start(number: usize, seed: u64, fault_percent: u64, attempts: Attempts) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let started = StartTime::default();
        let shared = started.clone();
        std::thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let random = Random::new(seed ^ (number as u64) << 32 ^ (connection as u64) << 8);
                let (attempts, started) = (attempts.clone(), shared.clone());
                std::thread::spawn(move || serve(number, stream, random, fault_percent, &attempts, &started));
            }
        });
        Node { address, started }
    }
}

fn serve(
    number: usize,
    mut stream: TcpStream,
    mut random: Random,
    fault_percent: u64,
    attempts: &Attempts,
    started: &StartTime,
) {
    let _ = stream.set_nodelay(true);
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        commands.buffer().extend_from_slice(&buffer[..n]);
        loop {
            let command = match commands.next_command() {
                Ok(Some(command)) => command,
                Ok(None) => break,
                Err(_) => {
                    let malformed = Attempt {
                        node: number,
                        received_at: Instant::now(),
                        id: 0,
                        is_write: false,
                        time_left_ms: 0,
                    };
                    return attempts.lock().unwrap().push(malformed);
                }
            };
            let Some(attempt) = parse_attempt(number, &command) else { continue };
            let id = attempt.id;
            attempts.lock().unwrap().push(attempt);
            let service_time = Duration::from_millis(1 + random.below(8));
            std::thread::sleep(service_time.mul_f64(slowness(started)));
            let fault = random.chance(fault_percent).then(|| random.pick(&FAULTS));
            if respond(&mut stream, id, fault).is_none() {
                return;
            }
        }
    }
}

/// Responds to a command; `None` if the connection is closed.
fn respond(stream: &mut TcpStream, id: u64, fault: Option<Fault>) -> Option<()> {
    let response = format!("*3\r\n$16\r\n{id:016x}\r\n$-1\r\n$-1\r\n").into_bytes();
    match fault {
        None => stream.write_all(&response).ok(),
        Some(Fault::Reset) => {
            let _ = rustix::net::sockopt::set_socket_linger(&*stream, Some(Duration::ZERO));
            None
        }
        Some(Fault::NoResponse) => {
            std::thread::sleep(Duration::from_millis(2_500));
            let _ = stream.shutdown(Shutdown::Both);
            None
        }
        Some(Fault::Busy) => stream.write_all(b"-BUSY\r\n").ok(),
        Some(Fault::Error) => stream.write_all(b"-ERR failed\r\n").ok(),
        Some(Fault::Malformed) => stream.write_all(b"*3\r\n$16\r\nnoise").ok(),
        Some(Fault::Duplicate(delay_ms)) => {
            stream.write_all(&response).ok()?;
            let responded = Instant::now();
            std::thread::sleep(Duration::from_millis(delay_ms));
            if responded.elapsed() <= DUPLICATE_TIMEOUT {
                stream.write_all(&response).ok()?;
            }
            Some(())
        }
        Some(Fault::Fragmented) => response.iter().try_for_each(|b| stream.write_all(&[*b]).ok()),
        Some(Fault::Slow) => {
            std::thread::sleep(Duration::from_millis(150));
            stream.write_all(&response).ok()
        }
    }
}
