//! What the system has not taken yet, and what becomes of it.

use bytes::Bytes;
use pearfork_net::{Flusher, Interest, PeekResult, Poller, WriteBuffer};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn pair() -> (Arc<WriteBuffer>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let here = listener.accept().unwrap().0;
    (WriteBuffer::new(here, &Flusher::start().unwrap()), there)
}

/// Puts runs until one is kept whole behind another that is kept, in part or whole; the number of runs put.
fn fill(buffer: &Arc<WriteBuffer>) -> usize {
    let run = Bytes::from(vec![b'a'; 300_000]);
    let mut put = 0;
    while buffer.unsent_chunks() < 2 {
        buffer.send(run.clone()).unwrap();
        put += 1;
        assert!(put < 200, "the system takes everything");
    }
    put
}

/// Danger: told from a count alone, the rest is put on behind it, and what was said never to have run runs.
#[test]
fn nothing_goes_out_behind_the_count_of_an_abort() {
    let (buffer, mut there) = pair();
    let put = fill(&buffer);
    let unsent = buffer.abort();
    assert!((2..put).contains(&unsent), "{unsent} of {put}");
    assert!(buffer.send(Bytes::from_static(b"b")).is_err());
    let mut got = 0;
    let mut piece = vec![0; 1 << 16];
    while let Ok(n @ 1..) = there.read(&mut piece) {
        got += n;
    }
    assert!(got < (put - unsent + 1) * 300_000, "the last byte of what was not sent did not come: {got}");
    assert_eq!((buffer.unsent_chunks(), buffer.abort()), (0, 0));
}

#[test]
fn a_run_of_which_nothing_went_out_is_taken_back_and_one_that_began_is_not() {
    let (buffer, mut there) = pair();
    let put = fill(&buffer);
    buffer.send(Bytes::from_static(b"bbb")).unwrap();
    buffer.send(Bytes::from_static(b"c")).unwrap();
    assert_eq!(buffer.unsent_chunks(), 4);
    assert!(!buffer.cancel_unsent(3), "it has begun");
    assert!(!buffer.cancel_unsent(4), "it has gone");
    assert!(buffer.cancel_unsent(1));
    let mut got = vec![0; put * 300_000 + 1];
    there.read_exact(&mut got).unwrap();
    assert_eq!(got.iter().filter(|b| **b == b'b').count(), 0);
    assert_eq!(got.last(), Some(&b'c'));
}

/// Danger: behind bytes that nobody reads an orderly end is not seen, and whoever left seems to wait.
#[test]
fn an_end_behind_unread_bytes_is_told_whatever_a_socket_is_watched_for() {
    for want in [Interest::Hangup, Interest::Readable] {
        let (buffer, there) = pair();
        let poller = Poller::new().unwrap();
        poller.add(buffer.stream(), 7, want).unwrap();
        let mut ready = Vec::new();
        std::io::Write::write_all(&mut &there, b"unread").unwrap();
        drop(there);
        let end = Instant::now() + Duration::from_secs(10);
        while !ready.iter().any(|r: &pearfork_net::Readiness| r.token == 7 && r.peer_closed) {
            assert!(Instant::now() < end, "{want:?}: the end is not told");
            poller.wait(&mut ready, Some(end)).unwrap();
        }
        assert_eq!(buffer.peek(), PeekResult::Data);
    }
}
