//! A link that is cut, slowed, broken, and loses or repeats messages.

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

fn through() -> (Relay, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(listener.local_addr().unwrap(), 3).unwrap();
    let here = TcpStream::connect(relay.address()).unwrap();
    let there = listener.accept().unwrap().0;
    there.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
    (relay, here, there)
}

fn comes(there: &mut TcpStream, length: usize) -> bool {
    there.read_exact(&mut vec![0; length]).is_ok()
}

#[test]
fn messages_pass_wait_at_a_cut_come_again_and_break_off() {
    let (relay, mut here, mut there) = through();
    let m = message(b"hello");
    here.write_all(&m).unwrap();
    assert!(comes(&mut there, m.len()));
    relay.change_fault(Direction::FromDialer, |fault| fault.cut = true);
    // The one that the relay was about to read still passes in some cases; from then on nothing does.
    std::thread::sleep(Duration::from_millis(60));
    here.write_all(&m).unwrap();
    assert!(!comes(&mut there, m.len()), "cut");
    relay.change_fault(Direction::FromDialer, |fault| fault.cut = false);
    assert!(comes(&mut there, m.len()), "late, but whole");
    relay.change_fault(Direction::FromDialer, |fault| fault.repeat = Duration::from_millis(50));
    here.write_all(&m).unwrap();
    assert!(comes(&mut there, 2 * m.len()), "twice");
    relay.change_fault(Direction::FromDialer, |fault| (fault.repeat, fault.lost) = (Duration::ZERO, 1.0));
    here.write_all(&m).unwrap();
    assert!(!comes(&mut there, 1), "lost");
    relay.change_fault(Direction::FromDialer, |fault| {
        *fault = LinkFault { trickle: true, ..LinkFault::default() }
    });
    here.write_all(&m).unwrap();
    assert!(comes(&mut there, m.len()), "byte by byte");
    relay.reset();
    here.write_all(&m).unwrap();
    let mut rest = Vec::new();
    let _ = there.read_to_end(&mut rest);
    assert_eq!(rest.len(), m.len() / 2);
}
