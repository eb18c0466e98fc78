//! The bytes that the kernel has not accepted yet: abort, cancellation, and the end of the connection.

use bytes::Bytes;
use pearfork_net::{Flusher, Interest, PeekResult, Poller, WriteBuffer};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn connected_pair() -> (Arc<WriteBuffer>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let remote = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let local = listener.accept().unwrap().0;
    (WriteBuffer::new(local, &Flusher::start().unwrap()), remote)
}

/// Sends chunks until at least two are buffered, of which only the first may be partly sent; returns how many
/// were sent.
fn fill(buffer: &Arc<WriteBuffer>) -> usize {
    let chunk = Bytes::from(vec![b'a'; 300_000]);
    let mut sent = 0;
    while buffer.unsent_chunks() < 2 {
        buffer.send(chunk.clone()).unwrap();
        sent += 1;
        assert!(sent < 200, "the kernel accepts everything");
    }
    sent
}

/// If abort only counted the unsent chunks, the flusher could send the rest of a command afterwards, and a
/// command that was reported as never executed would be executed.
#[test]
fn no_buffered_byte_is_sent_after_abort() {
    let (buffer, mut remote) = connected_pair();
    let sent = fill(&buffer);
    let unsent = buffer.abort();
    assert!((2..sent).contains(&unsent), "{unsent} of {sent}");
    assert!(buffer.send(Bytes::from_static(b"b")).is_err());
    let mut received = 0;
    let mut chunk = vec![0; 1 << 16];
    while let Ok(n @ 1..) = remote.read(&mut chunk) {
        received += n;
    }
    assert!(
        received < (sent - unsent + 1) * 300_000,
        "the last byte of the first unsent chunk arrived: {received} bytes"
    );
    assert_eq!((buffer.unsent_chunks(), buffer.abort()), (0, 0));
}

#[test]
fn only_a_chunk_of_which_nothing_was_sent_can_be_cancelled() {
    let (buffer, mut remote) = connected_pair();
    let sent = fill(&buffer);
    buffer.send(Bytes::from_static(b"bbb")).unwrap();
    buffer.send(Bytes::from_static(b"c")).unwrap();
    assert_eq!(buffer.unsent_chunks(), 4);
    assert!(!buffer.cancel_unsent(3), "partly sent");
    assert!(!buffer.cancel_unsent(4), "sent");
    assert!(buffer.cancel_unsent(1));
    let mut received = vec![0; sent * 300_000 + 1];
    remote.read_exact(&mut received).unwrap();
    assert_eq!(received.iter().filter(|b| **b == b'b').count(), 0);
    assert_eq!(received.last(), Some(&b'c'));
}

/// If unread bytes hid an orderly close, a client that disconnected would look as if it still waited.
#[test]
fn a_close_after_unread_bytes_is_reported_for_every_interest() {
    for interest in [Interest::Hangup, Interest::Readable] {
        let (buffer, remote) = connected_pair();
        let poller = Poller::new().unwrap();
        poller.add(buffer.stream(), 7, interest).unwrap();
        let mut ready = Vec::new();
        std::io::Write::write_all(&mut &remote, b"unread").unwrap();
        drop(remote);
        let deadline = Instant::now() + Duration::from_secs(10);
        while !ready.iter().any(|r: &pearfork_net::Readiness| r.token == 7 && r.peer_closed) {
            assert!(Instant::now() < deadline, "{interest:?}: the close is not reported");
            poller.wait(&mut ready, Some(deadline)).unwrap();
        }
        assert_eq!(buffer.peek(), PeekResult::Data);
    }
}
