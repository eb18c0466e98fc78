//! Commands on an initiator's connection whose target does not read.

use pearfork_iscsi::{
    AccessControl, Command, InitiatorConfig, Limits, LoginStatus, Target, TargetEvent, MAX_DATA_SEGMENT,
};
use pearfork_net::{CommandToken, Connection, ConnectionEvent, StreamTap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);
const COMMANDS: u32 = 200;
/// More than the system buffers for a connection, together.
const DATA_BYTES: usize = 256 * 1024;

struct AllowAll;

impl AccessControl for AllowAll {
    fn targets(&self, _: &str) -> Vec<(String, String)> {
        Vec::new()
    }

    fn authorize_login(&self, _: &str, _: &str) -> Result<(), LoginStatus> {
        Ok(())
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Number(u32);

impl CommandToken for Number {}

/// Reads once and returns the commands that arrived; `None` at the end of the stream or when nothing comes.
fn read_commands(stream: &mut TcpStream, target: &mut Target) -> Option<Vec<TargetEvent>> {
    let mut chunk = vec![0; 64 * 1024];
    let n = stream.read(&mut chunk).ok().filter(|n| *n > 0)?;
    target.decoder().buffer().extend_from_slice(&chunk[..n]);
    let mut events = Vec::new();
    target.process(&mut events);
    for bytes in target.take_output() {
        stream.write_all(&bytes).ok()?;
    }
    Some(events)
}

/// Starts a target that reads nothing between the login and a message on `resume`. It reports the number that each
/// command carries in its CDB.
fn start_target(resume: Receiver<()>, commands: Sender<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let limits =
            Limits { max_commands: 256, max_transfer_bytes: 1 << 20, max_data_segment: MAX_DATA_SEGMENT };
        let mut target = Target::new(Arc::new(AllowAll), 1, limits);
        let is_login = |e: &TargetEvent| matches!(e, TargetEvent::LoggedIn { .. });
        while !read_commands(&mut stream, &mut target).expect("a login").iter().any(is_login) {}
        resume.recv().unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        while let Some(events) = read_commands(&mut stream, &mut target) {
            for event in events {
                if let TargetEvent::Command(command) = event {
                    let _ = commands.send(command.cdb[1]);
                }
            }
        }
    });
    address
}

/// Guards against a command that goes out when its target reads again, although it was withdrawn while the writer
/// was blocked.
#[test]
fn a_command_behind_a_blocked_writer_can_be_withdrawn() {
    let (resume, resumed) = channel();
    let (commands, received) = channel();
    let address = start_target(resumed, commands);
    let config = InitiatorConfig {
        name: "iqn.2026-12.org.example:writer".to_owned(),
        target: Some("iqn.2026-12.org.example:target".to_owned()),
        isid: [0x80, 0, 0, 0, 0, 1],
        digests: false,
        extension: false,
    };
    let (events, ended) = channel();
    let on_event = move |event: ConnectionEvent<Number>| drop(events.send(event));
    let connection = Connection::open(address, config, TIMEOUT, StreamTap::default(), on_event).unwrap();
    let submit = |number: u32| {
        let mut cdb = [0; 16];
        (cdb[0], cdb[1]) = (0x8a, number as u8);
        let command = Command { cdb, data: vec![7; DATA_BYTES].into(), ..Command::default() };
        connection.submit(Number(number), command).expect("an open session");
    };
    (0..COMMANDS).for_each(submit);
    // The system's buffers are full once a command stays in the queue.
    std::thread::sleep(Duration::from_millis(300));
    let withdrawn = connection.withdraw(|token| token.0 >= COMMANDS / 2);
    let expected: Vec<Number> = (COMMANDS / 2..COMMANDS).map(Number).collect();
    assert_eq!(withdrawn, expected);
    resume.send(()).unwrap();
    let until = Instant::now() + TIMEOUT;
    let mut arrived = Vec::new();
    while arrived.len() < (COMMANDS / 2) as usize && Instant::now() < until {
        arrived.extend(received.recv_timeout(TIMEOUT));
    }
    arrived.extend(received.recv_timeout(Duration::from_secs(1)));
    let expected: Vec<u8> = (0..COMMANDS / 2).map(|n| n as u8).collect();
    assert_eq!(arrived, expected);
    // The target has closed the connection by now, or closes it soon. No event names a withdrawn command.
    for event in ended.try_iter() {
        match event {
            ConnectionEvent::Closed(_, sent, unsent) => {
                assert_eq!(unsent, []);
                assert!(sent.iter().all(|token| token.0 < COMMANDS / 2), "{sent:?}");
            }
            other => panic!("{other:?}"),
        }
    }
}
