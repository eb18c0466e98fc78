//! Nodes that send a reply a second time, some milliseconds late.

#[allow(dead_code, reason = "shared by several test binaries")]
mod common;

use common::{fake_discovery, start_host, value_reply, Client};
use pearfork_resp::{CommandDecoder, CommandLimits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Delay of the duplicate reply.
const DELAYS: [Duration; 3] = [Duration::from_millis(2), Duration::from_millis(5), Duration::from_millis(10)];
/// The platform states some milliseconds. A host that waits for 15 ms before it uses a link again is certain
/// to see a duplicate within this time.
const MAX_DELAY: Duration = Duration::from_millis(13);
const CLIENTS: u64 = 8;
const REQUESTS: u64 = 60;

/// A node that replies to each command after a while, and again some milliseconds later.
fn node_that_replies_twice(delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || reply_twice(stream, delay));
        }
    });
    address
}

fn reply_twice(mut stream: TcpStream, delay: Duration) {
    let _ = stream.set_nodelay(true);
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    let mut chunk = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        commands.buffer().extend_from_slice(&chunk[..n]);
        while let Some(command) = commands.next_command().unwrap() {
            std::thread::sleep(Duration::from_millis(3));
            let reply = value_reply(&command);
            if stream.write_all(&reply).is_err() {
                return;
            }
            let replied_at = Instant::now();
            std::thread::sleep(delay);
            // On a busy machine the thread may sleep for longer than requested.
            if replied_at.elapsed() <= MAX_DELAY && stream.write_all(&reply).is_err() {
                return;
            }
        }
    }
}

/// Guards against taking a duplicate reply for the reply to the next command, which served a client another
/// request's value.
#[test]
fn a_late_duplicate_reply_is_never_taken_for_another_reply() {
    for delay in DELAYS {
        let node = node_that_replies_twice(delay);
        let agent = fake_discovery(2, &[node]);
        let (_host, address) = start_host(&agent, &[node]);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                std::thread::spawn(move || {
                    let mut connection = Client::connect(address);
                    let mut served = 0;
                    for number in 0..REQUESTS {
                        let id = client * 1_000 + number + 1;
                        connection.send_read(id);
                        if let Some(value) = connection.served_id() {
                            assert_eq!(value, id, "the value of another request");
                            served += 1;
                        }
                    }
                    served
                })
            })
            .collect();
        let served: u64 = clients.into_iter().map(|c| c.join().unwrap()).sum();
        assert!(served > 0, "nothing was served, late by {delay:?}");
    }
}
