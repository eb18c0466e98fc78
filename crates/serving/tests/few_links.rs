//! A host with fewer connections to nodes than requests in flight.

#[allow(dead_code, reason = "shared by several test binaries")]
mod common;

use common::{config, fake_discovery, start_host_with, value_reply, Client};
use pearfork_resp::{Command, CommandDecoder, CommandLimits};
use pearfork_serving::Service;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Descriptors of the host, of which fewer than ten are for connections to nodes.
const DESCRIPTORS: u32 = 48;
const CLIENTS: u64 = 8;
/// Commands that a client sends at once.
const COMMANDS_AT_ONCE: u64 = 4;

/// Pause of a client between two groups of commands, and the mean rate of the volume's plan in units per
/// second; with both, the load is well below what the node can do.
const GROUP_PAUSE: Duration = Duration::from_millis(40);
const NOMINAL_RATE: f64 = 5_000.0;

/// Starts a host with few descriptors.
fn start_small_host(discovery: SocketAddr, node: SocketAddr, second_copies: bool) -> (Service, SocketAddr) {
    let mut config = config(discovery, &[node]);
    config["limits"]["sockets"] = DESCRIPTORS.into();
    config["settings"]["Limits"]["SecondCopies"] = second_copies.into();
    config["settings"]["Plans"][0]["Nominal"] = NOMINAL_RATE.into();
    start_host_with(&config)
}

/// Accepts connections and runs `serve` for each on a thread.
fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

fn new_decoder() -> CommandDecoder {
    CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 })
}

/// Sends groups of reads from several clients at once and returns, of `groups` groups each, how many were
/// sent and served. A value has to be the one of its request.
fn send_groups(address: SocketAddr, groups: u64) -> (u64, u64) {
    let client = move |client: u64| {
        let mut connection = Client::connect(address);
        let mut served = 0;
        for group in 0..groups {
            let first = (client * groups + group) * COMMANDS_AT_ONCE + 1;
            let ids = first..first + COMMANDS_AT_ONCE;
            ids.clone().for_each(|id| connection.send_read(id));
            for id in ids {
                if let Some(value) = connection.served_id() {
                    assert_eq!(value, id, "the value of another request");
                    served += 1;
                }
            }
            std::thread::sleep(GROUP_PAUSE);
        }
        served
    };
    let clients: Vec<_> = (0..CLIENTS).map(|c| std::thread::spawn(move || client(c))).collect();
    let served = clients.into_iter().map(|c| c.join().unwrap()).sum();
    (CLIENTS * groups * COMMANDS_AT_ONCE, served)
}

/// How long the fake node takes for a command.
const SERVICE: Duration = Duration::from_millis(5);
/// Time that a reply spends on the network. A command written in the meantime crosses it.
const NETWORK_DELAY: Duration = Duration::from_millis(2);

/// Serves the commands of a connection; each reply is sent twice unless another command waits.
fn reply_twice(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (mut commands, mut chunk) = (new_decoder(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        commands.buffer().extend_from_slice(&chunk[..n]);
        while let Some(command) = commands.next_command().unwrap() {
            std::thread::sleep(SERVICE);
            let reply = value_reply(&command);
            stream.set_nonblocking(true).unwrap();
            let empty = stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
            stream.set_nonblocking(false).unwrap();
            let waits = commands.has_partial() || !empty;
            std::thread::sleep(NETWORK_DELAY);
            if stream.write_all(&reply.repeat(if waits { 1 } else { 2 })).is_err() {
                return;
            }
        }
    }
}

/// Guards against a second copy of a reply that is taken for the reply to the next command on the connection,
/// which served clients the values of other requests where connections were too few.
#[test]
fn with_too_few_connections_a_second_copy_is_never_taken_for_another_reply() {
    let node = listen(reply_twice);
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_small_host(agent.address(), node, true);
    let (sent, served) = send_groups(address, 40);
    println!("{served} of {sent} served");
    assert!(served * 2 > sent, "{served} of {sent} served");
}

/// Time that a host has to end an earlier attempt once the next one has arrived.
const RULE_SLACK: Duration = Duration::from_millis(50);
/// Of the commands that reach the node, one in this many loses its reply and all later ones on its connection.
const LOST_REPLY_INTERVAL: usize = 15;

/// The attempts that reached a node.
#[derive(Default)]
struct Attempts {
    arrived: usize,
    /// The connection of the latest attempt of each request, until that attempt is answered.
    out: HashMap<Vec<u8>, Arc<TcpStream>>,
    retries: usize,
    /// Requests with two attempts out at once.
    doubled: Vec<String>,
}

/// Whether the host ends its sending on a connection within a time.
fn is_ended_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let mut sockets = [PollFd::new(stream, PollFlags::RDHUP)];
        let polled = poll(&mut sockets, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        if polled.is_ok() && !sockets[0].revents().is_empty() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Notes an attempt; returns whether its reply gets lost.
fn note_attempt(attempts: &Mutex<Attempts>, command: &Command, stream: &Arc<TcpStream>) -> bool {
    let id = command[2].to_vec();
    let (earlier, is_lost) = {
        let mut attempts = attempts.lock().unwrap();
        attempts.arrived += 1;
        (
            attempts.out.insert(id.clone(), stream.clone()),
            attempts.arrived.is_multiple_of(LOST_REPLY_INTERVAL),
        )
    };
    if let Some(earlier) = earlier {
        let is_over = is_ended_within(&earlier, RULE_SLACK);
        let mut attempts = attempts.lock().unwrap();
        attempts.retries += 1;
        if !is_over {
            attempts.doubled.push(String::from_utf8_lossy(&id).into_owned());
        }
    }
    is_lost
}

/// Serves the commands of a connection until a reply gets lost; then it only reads.
fn lose_replies(stream: TcpStream, attempts: &Mutex<Attempts>) {
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let (mut commands, mut chunk, mut is_silent) = (new_decoder(), [0; 4096], false);
    while let Ok(n @ 1..) = (&*stream).read(&mut chunk) {
        commands.buffer().extend_from_slice(&chunk[..n]);
        while let Some(command) = commands.next_command().unwrap() {
            is_silent |= note_attempt(attempts, &command, &stream);
            if is_silent {
                continue;
            }
            std::thread::sleep(SERVICE);
            attempts.lock().unwrap().out.remove(&command[2][..]);
            if (&*stream).write_all(&value_reply(&command)).is_err() {
                return;
            }
        }
    }
}

/// Guards against an attempt that is cancelled but stays out on an open connection while the next attempt of
/// its request runs, although the settings forbid two at once.
#[test]
fn with_too_few_connections_a_cancelled_attempt_is_over_before_the_next_one() {
    let attempts = Arc::new(Mutex::new(Attempts::default()));
    let of_node = attempts.clone();
    let node = listen(move |stream| lose_replies(stream, &of_node));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_small_host(agent.address(), node, false);
    let (sent, served) = send_groups(address, 60);
    let attempts = attempts.lock().unwrap();
    assert!(attempts.retries > 5, "{} attempts were repeated", attempts.retries);
    assert_eq!(attempts.doubled, Vec::<String>::new(), "out twice at once, of {} repeated", attempts.retries);
    println!("{served} of {sent} served");
    assert!(served * 2 > sent, "{served} of {sent} served");
}
