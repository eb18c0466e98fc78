//! The faults of a relayed link: cuts, delays, lost and repeated messages, resets.

use pearfork_trial::relay::{Direction, LinkFault, Relay};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn message(body: &[u8]) -> Vec<u8> {
    let mut m = (body.len() as u32).to_be_bytes().to_vec();
    m.extend([0; 4]);
    m.extend(body);
    m
}

fn relayed_pair() -> (Relay, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(listener.local_addr().unwrap(), 3).unwrap();
    let client = TcpStream::connect(relay.address()).unwrap();
    let server = listener.accept().unwrap().0;
    server.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    (relay, client, server)
}

fn receives(server: &mut TcpStream, length: usize) -> bool {
    server.read_exact(&mut vec![0; length]).is_ok()
}

#[test]
fn messages_are_forwarded_held_repeated_lost_and_truncated_by_faults() {
    let (relay, mut client, mut server) = relayed_pair();
    let m = message(b"hello");
    client.write_all(&m).unwrap();
    assert!(receives(&mut server, m.len()));
    relay.change_fault(Direction::FromDialer, |fault| fault.cut = true);
    // A read that was in progress may still forward one message. After it nothing is forwarded.
    std::thread::sleep(Duration::from_millis(60));
    client.write_all(&m).unwrap();
    assert!(!receives(&mut server, m.len()), "a cut link forwards nothing");
    relay.change_fault(Direction::FromDialer, |fault| fault.cut = false);
    assert!(receives(&mut server, m.len()), "forwarded completely after the cut");
    relay.change_fault(Direction::FromDialer, |fault| fault.repeat_delay = Duration::from_millis(50));
    client.write_all(&m).unwrap();
    assert!(receives(&mut server, 2 * m.len()), "sent twice");
    relay.change_fault(Direction::FromDialer, |fault| {
        (fault.repeat_delay, fault.drop_fraction) = (Duration::ZERO, 1.0)
    });
    client.write_all(&m).unwrap();
    assert!(!receives(&mut server, 1), "a lost message is not forwarded");
    relay.change_fault(Direction::FromDialer, |fault| {
        *fault = LinkFault { trickle: true, ..LinkFault::default() }
    });
    client.write_all(&m).unwrap();
    assert!(receives(&mut server, m.len()), "forwarded byte by byte");
    relay.reset();
    client.write_all(&m).unwrap();
    let mut rest = Vec::new();
    let _ = server.read_to_end(&mut rest);
    assert_eq!(rest.len(), m.len() / 2);
}
