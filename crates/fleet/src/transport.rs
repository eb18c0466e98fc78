//! The transport between the hosts of a fleet: one thread that owns all sockets.
//!
//! Voters listen, and every host dials every voter. Messages to a voter go over the dialed connection, and
//! its responses return over the same one. Messages that cannot be sent at once are queued in a bounded
//! buffer. If that is full, they are dropped; a sender that needs a response repeats its message.

mod channel;
mod connection;
mod links;
mod receive;
mod traffic;

pub use channel::{HolderEvent, Requester, TransportCommand, TransportHandle, VoterEvent};
pub use links::{LinkObserver, LinkStatus};
pub use traffic::{Traffic, TrafficCounts};

use crate::settings::FleetSettings;
use connection::Connection;
use crossbeam_channel::{Receiver, Sender};
use links::Link;
use pearfork_ledger::{Hello, HostNumber, Message, PROTOCOL_VERSION};
use pearfork_net::{Interest, Poller, Readiness};
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;

/// Queued bytes above which a connection accepts no further message. One message may exceed this bound.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Maximum number of connections: this many per host, ...
const CONNECTIONS_PER_HOST: usize = 4;
/// ... plus this many.
const EXTRA_CONNECTIONS: usize = 64;
/// Poller token of the listener.
const LISTENER: u64 = u64::MAX - 1;

/// The channels of the transport: its commands, and the queues for received messages.
pub struct Channels {
    /// Commands to the transport.
    pub commands: Receiver<TransportCommand>,
    /// Queue of the voter, if this host is one.
    pub voter: Option<Sender<VoterEvent>>,
    /// Queue of the holder.
    pub holder: Sender<HolderEvent>,
}

/// The state of the transport's thread.
pub struct Transport {
    settings: Arc<FleetSettings>,
    hello: Hello,
    poller: Arc<Poller>,
    channels: Channels,
    listener: Option<TcpListener>,
    connections: HashMap<u64, Connection>,
    next_connection: u64,
    links: HashMap<HostNumber, Link>,
    /// When the links are maintained next.
    maintain_at: Instant,
    observer: LinkObserver,
    traffic: Arc<Traffic>,
}

impl Transport {
    /// A transport that is not running yet.
    ///
    /// # Errors
    /// The listener cannot be registered with the poller.
    pub fn new(
        settings: Arc<FleetSettings>,
        listener: Option<TcpListener>,
        poller: Arc<Poller>,
        channels: Channels,
        observer: LinkObserver,
        traffic: Arc<Traffic>,
    ) -> io::Result<Transport> {
        if let Some(listener) = &listener {
            listener.set_nonblocking(true)?;
            poller.add(listener, LISTENER, Interest::Readable)?;
        }
        let hello = Hello {
            version: PROTOCOL_VERSION,
            fleet: settings.name.clone(),
            settings_fingerprint: settings.fingerprint(),
            host: settings.host,
        };
        let now = Instant::now();
        let others = settings.voters.iter().filter(|v| v.host != settings.host);
        let links = others.map(|v| (v.host, Link::new(now))).collect();
        Ok(Transport {
            settings,
            hello,
            poller,
            channels,
            listener,
            connections: HashMap::new(),
            next_connection: 0,
            links,
            maintain_at: now,
            observer,
            traffic,
        })
    }

    /// Runs until it receives the command to stop.
    pub fn run(mut self) {
        let mut ready = Vec::new();
        while self.execute_commands() {
            let now = Instant::now();
            if now >= self.maintain_at {
                self.maintain_at = self.maintain_links(now);
            }
            if self.poller.wait(&mut ready, Some(self.maintain_at)).is_err() {
                tracing::error!("polling the fleet sockets failed; the transport stops");
                return;
            }
            for Readiness { token, hung_up, .. } in ready.drain(..) {
                if token == LISTENER {
                    self.accept();
                } else {
                    self.handle_ready(token, hung_up);
                }
            }
        }
    }

    /// Executes the queued commands. Returns false if one of them is to stop.
    fn execute_commands(&mut self) -> bool {
        let commands = self.channels.commands.clone();
        for command in commands.try_iter() {
            match command {
                TransportCommand::Send(to, message) => {
                    if let Some(id) = self.links.get(&to).and_then(Link::connection) {
                        self.send(id, &message);
                    }
                }
                TransportCommand::Respond(id, response) => self.send(id, &Message::LeaseResponse(response)),
                TransportCommand::Stop => return false,
            }
        }
        true
    }

    fn accept(&mut self) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.add_accepted(stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    /// Registers an accepted connection, unless there are too many.
    fn add_accepted(&mut self, stream: TcpStream) {
        let max_connections = self.settings.max_hosts as usize * CONNECTIONS_PER_HOST + EXTRA_CONNECTIONS;
        let id = self.next_connection;
        let is_kept = self.connections.len() < max_connections
            && stream.set_nonblocking(true).is_ok()
            && self.poller.add(&stream, id, Interest::Readable).is_ok();
        if is_kept {
            let _ = stream.set_nodelay(true);
            self.connections.insert(id, Connection::new(stream, None, Instant::now(), self.traffic.clone()));
            self.next_connection += 1;
        }
    }

    /// Sends a message, or queues what the socket does not take. Other messages than the handshake are
    /// dropped until the handshake is done, and every message is dropped while the peer leaves too much of
    /// its queue unread.
    fn send(&mut self, id: u64, message: &Message) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        let is_handshake = matches!(message, Message::Hello(_) | Message::Refused(_));
        if (c.peer.is_none() && !is_handshake) || c.queued_bytes() > MAX_QUEUED_BYTES {
            return;
        }
        c.enqueue(message);
        if !c.connecting && c.flush().is_err() {
            return self.close(id, "sending failed");
        }
        self.watch(id);
    }

    /// Updates what the poller watches the connection for. A refused connection is closed once its output is
    /// sent.
    fn watch(&mut self, id: u64) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if c.closing && !c.has_output() {
            return self.close(id, "refused");
        }
        // The poller watches for reading or writing, not both. Queued output goes first; its size is bounded.
        let want = if c.has_output() { Interest::Writable } else { Interest::Readable };
        if c.watched != want {
            c.watched = want;
            let _ = self.poller.modify(&c.stream, id, want);
        }
    }
}
