//! Nodes that give an answer a second time, some milliseconds late.

#[allow(dead_code, reason = "what the tests of a whole host share")]
mod common;

use common::{discovery, host, value, Client};
use pearfork_resp::{CommandDecoder, CommandLimits};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long behind the first the second answer comes.
const LATE: [Duration; 3] = [Duration::from_millis(2), Duration::from_millis(5), Duration::from_millis(10)];
/// The platform says some milliseconds; a host that waits for 15 ms is certain of what comes within these.
const LATEST: Duration = Duration::from_millis(13);
const CLIENTS: u64 = 8;
const REQUESTS: u64 = 60;

/// A node that answers each command after a while, and again some milliseconds later.
fn node_that_answers_twice(late: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || answer_twice(stream, late));
        }
    });
    address
}

fn answer_twice(mut stream: TcpStream, late: Duration) {
    let _ = stream.set_nodelay(true);
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    let mut piece = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut piece) {
        commands.buffer().extend_from_slice(&piece[..n]);
        while let Some(command) = commands.next_command().unwrap() {
            std::thread::sleep(Duration::from_millis(3));
            let answer = value(&command);
            if stream.write_all(&answer).is_err() {
                return;
            }
            let answered = Instant::now();
            std::thread::sleep(late);
            // A machine that is busy may let this thread sleep for longer than was asked.
            if answered.elapsed() <= LATEST && stream.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// Guards against a second answer that is taken for the answer to the next command: a client was served another's value.
#[test]
fn a_second_answer_that_comes_late_is_never_another_requests() {
    for late in LATE {
        let node = node_that_answers_twice(late);
        let agent = discovery(2, &[node]);
        let (_host, address) = host(&agent, &[node]);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                std::thread::spawn(move || {
                    let mut connection = Client::connect(address);
                    let mut served = 0;
                    for number in 0..REQUESTS {
                        let id = client * 1_000 + number + 1;
                        connection.read(id);
                        if let Some(value) = connection.served() {
                            assert_eq!(value, id, "a value that was made for another request");
                            served += 1;
                        }
                    }
                    served
                })
            })
            .collect();
        let served: u64 = clients.into_iter().map(|c| c.join().unwrap()).sum();
        assert!(served > 0, "nothing was served, late by {late:?}");
    }
}
