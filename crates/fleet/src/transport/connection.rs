//! One connection: its socket, its buffers and its peer.

use super::traffic::Traffic;
use crate::frame;
use pearfork_ledger::{HostNumber, Message};
use pearfork_net::Interest;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// Bytes per read call.
const READ_BYTES: usize = 16 << 10;
/// An empty input buffer with a larger capacity than this is freed.
const MAX_IDLE_INPUT_BYTES: usize = 64 << 10;

/// Messages that were decoded from the input buffer.
pub(super) struct Decoded {
    pub(super) messages: Vec<Message>,
    /// Why the data after them cannot be decoded; none if it can or is incomplete.
    pub(super) error: Option<String>,
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// The voter that this host dialed; none if the peer dialed.
    pub(super) dialed: Option<HostNumber>,
    /// The peer, once its handshake was accepted.
    pub(super) peer: Option<HostNumber>,
    /// A dialed connection is not established yet.
    pub(super) connecting: bool,
    /// What the poller watches the socket for.
    pub(super) watched: Interest,
    pub(super) opened_at: Instant,
    pub(super) last_received_at: Instant,
    pub(super) keepalive_sent_at: Instant,
    /// The connection is to be closed once its output is sent.
    pub(super) closing: bool,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that are sent.
    sent: usize,
    traffic: Arc<Traffic>,
}

impl Connection {
    pub(super) fn new(
        stream: TcpStream,
        dialed: Option<HostNumber>,
        now: Instant,
        traffic: Arc<Traffic>,
    ) -> Connection {
        Connection {
            stream,
            dialed,
            peer: None,
            connecting: dialed.is_some(),
            watched: if dialed.is_some() { Interest::Writable } else { Interest::Readable },
            opened_at: now,
            last_received_at: now,
            keepalive_sent_at: now,
            closing: false,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            traffic,
        }
    }

    /// Whether this host dialed the connection and the handshake is done.
    pub(super) fn is_link(&self) -> bool {
        self.dialed.is_some() && self.peer.is_some()
    }

    /// Completes a dialed connection. Returns false if connecting failed.
    pub(super) fn finish_connecting(&mut self) -> bool {
        if self.connecting && !matches!(self.stream.take_error(), Ok(None)) {
            return false;
        }
        self.connecting = false;
        true
    }

    /// Number of bytes that wait to be sent.
    pub(super) fn queued_bytes(&self) -> usize {
        self.output.len() - self.sent
    }

    pub(super) fn has_output(&self) -> bool {
        !self.output.is_empty()
    }

    /// Queues a message for sending.
    pub(super) fn enqueue(&mut self, message: &Message) {
        frame::encode(&mut self.output, message);
        self.traffic.add_sent_message();
    }

    /// Sends as much as the socket takes without blocking.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        while self.sent < self.output.len() {
            match (&self.stream).write(&self.output[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => {
                    self.sent += n;
                    self.traffic.add_sent_bytes(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.output.drain(..self.sent);
                    self.sent = 0;
                    return Ok(());
                }
                Err(e) => return Err(e),
            }
        }
        self.output = Vec::new();
        self.sent = 0;
        Ok(())
    }

    /// Reads the available data, up to one message of `max_bytes` plus one read call. Returns whether the
    /// peer closed the connection.
    pub(super) fn read(&mut self, max_bytes: usize) -> bool {
        let mut buffer = [0u8; READ_BYTES];
        while self.input.len() <= max_bytes + frame::HEADER_BYTES {
            match (&self.stream).read(&mut buffer) {
                Ok(0) => return true,
                Ok(n) => {
                    self.input.extend_from_slice(&buffer[..n]);
                    self.traffic.add_received_bytes(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => return true,
            }
        }
        false
    }

    /// Removes all complete messages of at most `max_bytes` from the input and decodes them.
    pub(super) fn decode(&mut self, max_bytes: usize) -> Decoded {
        let mut consumed = 0;
        let mut messages = Vec::new();
        let error = loop {
            match frame::decode::<Message>(&self.input[consumed..], max_bytes) {
                Ok(Some((message, length))) => {
                    messages.push(message);
                    consumed += length;
                }
                Ok(None) => break None,
                Err(e) => break Some(e.to_string()),
            }
        };
        self.input.drain(..consumed);
        self.traffic.add_received_messages(messages.len());
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_INPUT_BYTES {
            self.input = Vec::new();
        }
        Decoded { messages, error }
    }
}
