//! The transport between the hosts of a fleet: all sockets, in one thread.
//!
//! A voter listens; every host dials every voter that it talks to. What a host says to a voter goes over the connection
//! that it dialled, and answers come back there. What can't be sent at once waits in a bounded buffer, and what finds
//! that full is dropped: all that is said here is said again by whoever needs an answer.

use crate::frame;
use crate::plan::FleetPlan;
use crossbeam_channel::{Receiver, Sender, TrySendError};
use pearfork_ledger::raft::RaftMessage;
use pearfork_ledger::{Hello, HostNumber, LeaseRequest, LeaseResponse, Message, VERSION};
use pearfork_net::{begin_connect, Poller, Ready, Want};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes of a message from somebody whose name is not known yet.
const MAX_HELLO_BYTES: usize = 4 << 10;
/// Bytes of a message from a host: an ask of some thousand budgets.
const MAX_HOST_MESSAGE_BYTES: usize = 1 << 20;
/// Bytes of a message from a voter: the state of a fleet with as many hosts and budgets as there may be.
const MAX_VOTER_MESSAGE_BYTES: usize = 64 << 20;
/// Bytes that wait for one connection, beyond one message of any length.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// How long a connection may take to come up and to say who it is.
const PATIENCE: Duration = Duration::from_secs(3);
/// A dialled connection is asked for a sign of life so often, and given up after three times as long without any.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// The least and the longest pause between two tries to reach a voter.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(80), Duration::from_millis(1_000));
const LISTENER: u64 = u64::MAX - 1;

/// Where an answer goes: a connection, or this very process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Requester {
    /// The connection that the ask came over.
    Connection(u64),
    /// The holder in this process.
    Local,
}

/// What comes for the voter.
#[derive(Debug)]
pub enum VoterEvent {
    /// Of another voter.
    Raft(HostNumber, RaftMessage),
    /// Of a host.
    LeaseRequest(Requester, LeaseRequest),
    /// The process ends.
    Stop,
}

/// What comes for the holder.
#[derive(Debug)]
pub enum HolderEvent {
    /// An answer, and who gave it.
    LeaseResponse(HostNumber, LeaseResponse),
    /// Give all back and end.
    Leave,
    /// End at once.
    Stop,
}

/// A command to the transport thread.
#[derive(Debug)]
pub enum TransportCommand {
    /// Say something to a voter.
    Send(HostNumber, Message),
    /// Respond on a connection.
    LeaseResponse(u64, LeaseResponse),
    /// End.
    Stop,
}

/// Sends commands to the transport thread; never blocks.
#[derive(Clone)]
pub struct TransportHandle {
    commands: Sender<TransportCommand>,
    poller: Arc<Poller>,
}

impl TransportHandle {
    /// A handle that sends its commands here.
    pub fn new(commands: Sender<TransportCommand>, poller: Arc<Poller>) -> TransportHandle {
        TransportHandle { commands, poller }
    }

    /// Sends a command; one that finds the queue full is dropped.
    pub fn send(&self, command: TransportCommand) {
        if !matches!(self.commands.try_send(command), Err(TrySendError::Disconnected(_))) {
            self.poller.wake();
        }
    }
}

/// Status of the connection to a voter, for status pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether it is up and both sides know each other.
    pub up: bool,
    /// Why the other side, or this one, will not talk.
    pub refused: Option<String>,
}

struct Connection {
    stream: TcpStream,
    /// The voter that was dialled; none where the other side dialled.
    dialled: Option<HostNumber>,
    /// Who the other side is, once it said so.
    peer: Option<HostNumber>,
    connecting: bool,
    watched: Want,
    since: Instant,
    last_heard_at: Instant,
    keepalive_at: Instant,
    input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    closing: bool,
}

struct Link {
    connection: Option<u64>,
    again: Instant,
    pause: Duration,
    state: LinkStatus,
}

/// Called at each change of the links.
pub type LinkObserver = Box<dyn FnMut(&HashMap<HostNumber, LinkStatus>) + Send>;

/// Where commands come from, and where received messages go.
pub struct Channels {
    /// Commands.
    pub commands: Receiver<TransportCommand>,
    /// The voter, where this host is one.
    pub voter: Option<Sender<VoterEvent>>,
    /// The holder.
    pub holder: Sender<HolderEvent>,
}

/// The thread's state.
pub struct Transport {
    plan: Arc<FleetPlan>,
    hello: Hello,
    poller: Arc<Poller>,
    channels: Channels,
    listener: Option<TcpListener>,
    connections: HashMap<u64, Connection>,
    next: u64,
    links: HashMap<HostNumber, Link>,
    /// When links are to be looked after next.
    maintain_at: Instant,
    observer: LinkObserver,
}

impl Transport {
    /// A transport that is not running yet. `observer` is called at each change of the links.
    ///
    /// # Errors
    /// The poller can't watch the listener.
    pub fn new(
        plan: Arc<FleetPlan>,
        listener: Option<TcpListener>,
        poller: Arc<Poller>,
        channels: Channels,
        observer: LinkObserver,
    ) -> io::Result<Transport> {
        if let Some(listener) = &listener {
            listener.set_nonblocking(true)?;
            poller.add(listener, LISTENER, Want::Read)?;
        }
        let hello =
            Hello { version: VERSION, fleet: plan.name.clone(), settings: plan.fingerprint(), host: plan.me };
        let now = Instant::now();
        let others = plan.voters.iter().filter(|v| v.host != plan.me);
        let link = |h| {
            (
                h,
                Link {
                    connection: None,
                    again: now,
                    pause: RECONNECT_BACKOFF.0,
                    state: LinkStatus::default(),
                },
            )
        };
        let links = others.map(|v| link(v.host)).collect();
        Ok(Transport {
            plan,
            hello,
            poller,
            channels,
            listener,
            connections: HashMap::new(),
            next: 0,
            links,
            maintain_at: now,
            observer,
        })
    }

    /// Runs until it is told to stop.
    pub fn run(mut self) {
        let mut ready = Vec::new();
        loop {
            let commands = self.channels.commands.clone();
            for command in commands.try_iter() {
                match command {
                    TransportCommand::Send(to, message) => {
                        if let Some(id) = self.links.get(&to).and_then(|d| d.connection) {
                            self.send(id, &message);
                        }
                    }
                    TransportCommand::LeaseResponse(id, response) => {
                        self.send(id, &Message::LeaseResponse(response))
                    }
                    TransportCommand::Stop => return,
                }
            }
            let now = Instant::now();
            if now >= self.maintain_at {
                self.maintain_at = self.maintain_links(now);
            }
            if self.poller.wait(&mut ready, Some(self.maintain_at)).is_err() {
                tracing::error!("the fleet's sockets can't be waited for any more");
                return;
            }
            for Ready { token, broken, .. } in ready.drain(..) {
                if token == LISTENER {
                    self.accept();
                } else {
                    self.serve(token, broken);
                }
            }
        }
    }

    /// Dials, asks for signs of life and gives up; when to look again.
    fn maintain_links(&mut self, now: Instant) -> Instant {
        let mut next = now + KEEPALIVE_INTERVAL / 4;
        let due: Vec<HostNumber> = self
            .links
            .iter()
            .filter(|(_, d)| d.connection.is_none() && d.again <= now)
            .map(|(h, _)| *h)
            .collect();
        for host in due {
            self.dial(host, now);
        }
        for link in self.links.values().filter(|d| d.connection.is_none()) {
            next = next.min(link.again);
        }
        let mut over = Vec::new();
        let mut signs = Vec::new();
        for (id, c) in &self.connections {
            let unknown = c.peer.is_none() && now - c.since > PATIENCE;
            let silent =
                c.dialled.is_some() && c.peer.is_some() && now - c.last_heard_at > 3 * KEEPALIVE_INTERVAL;
            if unknown || silent {
                over.push(*id);
            } else if c.dialled.is_some() && c.peer.is_some() && now - c.keepalive_at >= KEEPALIVE_INTERVAL {
                signs.push(*id);
            }
        }
        over.into_iter().for_each(|id| self.close(id, "no sign of life"));
        for id in signs {
            if let Some(c) = self.connections.get_mut(&id) {
                c.keepalive_at = now;
            }
            // The other side answers a name with its own.
            let hello = Message::Hello(self.hello.clone());
            self.send(id, &hello);
        }
        next
    }

    fn dial(&mut self, host: HostNumber, now: Instant) {
        let Some(at) = self.plan.voters.iter().find(|v| v.host == host) else { return };
        let begun = begin_connect(&at.address).and_then(|stream| {
            let _ = stream.set_nodelay(true);
            self.poller.add(&stream, self.next, Want::Write)?;
            Ok(stream)
        });
        let id = self.next;
        if let Some(link) = self.links.get_mut(&host) {
            // Danger: hundreds of hosts that lost a voter at once would come back to it at once, and again at once.
            let spread = 1.0 + f64::from(id as u32 % 7) / 10.0;
            link.again = now + link.pause.mul_f64(spread);
            link.pause = (link.pause * 2).min(RECONNECT_BACKOFF.1);
            if begun.is_ok() {
                link.connection = Some(id);
            }
        }
        if let Ok(stream) = begun {
            self.next += 1;
            let mut output = Vec::new();
            frame::put(&mut output, &Message::Hello(self.hello.clone()));
            self.connections.insert(id, Connection::new(stream, Some(host), output, now));
        }
    }

    fn accept(&mut self) {
        loop {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    let most = self.plan.hosts as usize * 4 + 64;
                    let taken = self.connections.len() < most
                        && stream.set_nonblocking(true).is_ok()
                        && self.poller.add(&stream, self.next, Want::Read).is_ok();
                    if taken {
                        let _ = stream.set_nodelay(true);
                        let c = Connection::new(stream, None, Vec::new(), Instant::now());
                        self.connections.insert(self.next, c);
                        self.next += 1;
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn serve(&mut self, id: u64, broken: bool) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if broken {
            return self.close(id, "the connection broke");
        }
        if c.connecting {
            if !matches!(c.stream.take_error(), Ok(None)) {
                return self.close(id, "no connection");
            }
            c.connecting = false;
        }
        if !c.output.is_empty() && c.write().is_err() {
            return self.close(id, "the connection broke");
        }
        let most = match (c.peer, c.dialled) {
            (None, None) => MAX_HELLO_BYTES,
            (Some(peer), _) if self.plan.voters.iter().any(|v| v.host == peer) => MAX_VOTER_MESSAGE_BYTES,
            _ => MAX_HOST_MESSAGE_BYTES,
        };
        let ended = c.read(most);
        let mut at = 0;
        let mut messages = Vec::new();
        let fault = loop {
            match frame::get::<Message>(&c.input[at..], most) {
                Ok(Some((message, length))) => {
                    messages.push(message);
                    at += length;
                }
                Ok(None) => break None,
                Err(e) => break Some(e.to_string()),
            }
        };
        c.input.drain(..at);
        if c.input.is_empty() && c.input.capacity() > 64 << 10 {
            c.input = Vec::new();
        }
        if !messages.is_empty() {
            c.last_heard_at = Instant::now();
        }
        for message in messages {
            self.message(id, message);
        }
        if let Some(fault) = fault {
            tracing::warn!(fault, "a peer of the fleet speaks no sense");
            return self.close(id, "it speaks no sense");
        }
        if ended {
            return self.close(id, "the other side closed");
        }
        self.watch(id);
    }

    fn watch(&mut self, id: u64) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if c.closing && c.output.is_empty() {
            return self.close(id, "refused");
        }
        // A poller tells of one thing at a time: what waits to be written goes first, and is bounded.
        let want = if c.output.is_empty() { Want::Read } else { Want::Write };
        if c.watched != want {
            c.watched = want;
            let _ = self.poller.change(&c.stream, id, want);
        }
    }

    fn message(&mut self, id: u64, message: Message) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        match (c.peer, message) {
            (_, Message::Hello(hello)) => self.handle_hello(id, &hello),
            (_, Message::Refused(why)) => {
                let dialled = c.dialled;
                tracing::warn!(why, "a voter of the fleet refuses this host");
                if let Some(link) = dialled.and_then(|h| self.links.get_mut(&h)) {
                    link.state.refused = Some(why);
                    link.pause = RECONNECT_BACKOFF.1;
                }
                self.close(id, "refused");
            }
            (Some(peer), Message::Raft(m)) if self.plan.voters.iter().any(|v| v.host == peer) => {
                self.to_voter(VoterEvent::Raft(peer, m));
            }
            (Some(_), Message::LeaseRequest(request)) if c.dialled.is_none() => {
                self.to_voter(VoterEvent::LeaseRequest(Requester::Connection(id), request));
            }
            (Some(peer), Message::LeaseResponse(response)) if c.dialled.is_some() => {
                let _ = self.channels.holder.try_send(HolderEvent::LeaseResponse(peer, response));
            }
            // Before its name, or out of place.
            _ => self.close(id, "it speaks out of turn"),
        }
    }

    fn to_voter(&self, what: VoterEvent) {
        if let Some(voter) = &self.channels.voter {
            // A voter whose disk stalls hears no more for a while; all this is said again.
            let _ = voter.try_send(what);
        }
    }

    fn handle_hello(&mut self, id: u64, hello: &Hello) {
        let why = if hello.version != VERSION {
            Some(format!("this host speaks version {VERSION}, not {}", hello.version))
        } else if hello.fleet != self.hello.fleet {
            Some(format!("this is fleet `{}`, not `{}`", self.hello.fleet, hello.fleet))
        } else if hello.settings != self.hello.settings {
            let (ours, theirs) = (&self.hello.settings, &hello.settings);
            Some(format!("the fleet's settings differ: {ours} here, {theirs} there (name, hosts, voters, floors, lease, drift)"))
        } else if u32::from(hello.host.0) >= self.plan.hosts {
            Some(format!("host {} is not below hosts = {}", hello.host.0, self.plan.hosts))
        } else {
            None
        };
        let Some(c) = self.connections.get_mut(&id) else { return };
        let first = c.peer.is_none();
        if let Some(why) = why {
            tracing::warn!(host = hello.host.0, why, "refused a host of the fleet");
            if let Some(link) = c.dialled.and_then(|h| self.links.get_mut(&h)) {
                link.state.refused = Some(why.clone());
            }
            self.send(id, &Message::Refused(why));
            if let Some(c) = self.connections.get_mut(&id) {
                c.closing = true;
            }
            return self.watch(id);
        }
        if c.dialled.is_some_and(|h| h != hello.host) {
            return self.close(id, "another host answers at its address");
        }
        c.peer = Some(hello.host);
        match c.dialled {
            Some(host) if first => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.pause = RECONNECT_BACKOFF.0;
                    link.state = LinkStatus { up: true, refused: None };
                }
                self.notify_observer();
            }
            Some(_) => {}
            None => {
                let hello = Message::Hello(self.hello.clone());
                self.send(id, &hello);
            }
        }
    }

    fn send(&mut self, id: u64, message: &Message) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        let greets = matches!(message, Message::Hello(_) | Message::Refused(_));
        // Nothing but names before the names are known; and nothing more to one that does not read.
        if (c.peer.is_none() && !greets) || c.output.len() - c.sent > MAX_QUEUED_BYTES {
            return;
        }
        frame::put(&mut c.output, message);
        if !c.connecting && c.write().is_err() {
            return self.close(id, "the connection broke");
        }
        self.watch(id);
    }

    fn close(&mut self, id: u64, why: &str) {
        let Some(c) = self.connections.remove(&id) else { return };
        self.poller.remove(&c.stream);
        let Some(host) = c.dialled else { return };
        if let Some(link) = self.links.get_mut(&host).filter(|d| d.connection == Some(id)) {
            link.connection = None;
            link.again = link.again.max(Instant::now() + link.pause);
            self.maintain_at = self.maintain_at.min(link.again);
            let was_up = std::mem::take(&mut link.state.up);
            if was_up {
                tracing::info!(voter = host.0, why, "the link to a voter is down");
            }
            self.notify_observer();
        }
    }

    fn notify_observer(&mut self) {
        let states = self.links.iter().map(|(h, d)| (*h, d.state.clone())).collect();
        (self.observer)(&states);
    }
}

impl Connection {
    fn new(stream: TcpStream, dialled: Option<HostNumber>, output: Vec<u8>, now: Instant) -> Connection {
        Connection {
            stream,
            dialled,
            peer: None,
            connecting: dialled.is_some(),
            watched: if dialled.is_some() { Want::Write } else { Want::Read },
            since: now,
            last_heard_at: now,
            keepalive_at: now,
            input: Vec::new(),
            output,
            sent: 0,
            closing: false,
        }
    }

    /// Writes what goes at once.
    fn write(&mut self) -> io::Result<()> {
        while self.sent < self.output.len() {
            match (&self.stream).write(&self.output[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.sent += n,
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

    /// Reads what is there, up to one message of the longest kind and a little more; whether the other side ended.
    fn read(&mut self, most: usize) -> bool {
        let mut part = [0u8; 16 << 10];
        while self.input.len() <= most + frame::HEADER_BYTES {
            match (&self.stream).read(&mut part) {
                Ok(0) => return true,
                Ok(n) => self.input.extend_from_slice(&part[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => return true,
            }
        }
        false
    }
}
