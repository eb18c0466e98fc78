//! The one thread that takes client connections and reads them.

use crate::client::{Client, Mailbox};
use crate::engine::Message;
use crate::pauses::{Pauses, Point};
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork_net::{lock, set_accept_backlog, Clock, Flusher, Interest, Readiness, WriteBuffer, MAX_EVENTS};
use pearfork_platform::clients::{AfterFault, ClientId, ClientTable};
use pearfork_platform::config::RequestSchema;
use pearfork_platform::life::{Effect, Event, Life, State};
use pearfork_platform::request::{self, Parsed};
use pearfork_resp::{write, CommandDecoder};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Connections that the system holds until they are accepted.
const QUEUE: i32 = 1024;
/// The listener's token; connections are numbered from 1.
const LISTENER: u64 = 0;
/// Connections taken before those that are there are read again.
const AT_ONCE: usize = 64;
/// Bytes read from one connection before the next has its turn.
const PIECE: usize = 16 * 1024;
/// How often idle and silent connections are looked at, and how often while the host leaves.
const SWEEP_MS: f64 = 200.0;
const LEAVING_MS: f64 = 10.0;
/// How often a write buffer is looked at whose connection ends once it is empty.
const FLUSH_LOOK_MS: f64 = 5.0;
/// How long what arrives behind an end of ours is read, and how long where the host leaves: a client that saw the end
/// closes by itself.
const LINGER_MS: f64 = 500.0;
const LEAVING_LINGER_MS: f64 = 120.0;
/// How long none is taken where the system gives no descriptor, or where no connection may go for another.
const NO_ROOM_MS: f64 = 5.0;

/// A wait of this length found nothing when it was asked for.
const BLOCKED_MS: f64 = 1.0;

/// How far a host that leaves has come. Connections are taken up to its end: what the system took in its name is owed
/// an answer.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// Those that rest are closed.
    pub(crate) closing: AtomicBool,
    /// All with nothing open are closed.
    pub(crate) last: AtomicBool,
    /// The thread is to end.
    pub(crate) over: AtomicBool,
}

/// A connection as its reader has it.
struct Reading {
    client: Arc<Client>,
    commands: CommandDecoder,
    life: Life,
    /// What was read last had not come before this moment.
    came_after: f64,
    /// Nothing was read since this moment, or, of one that was just taken, nobody looked.
    unread_since: Option<f64>,
}

/// Between which waits something came.
///
/// Danger: a client's time runs from its sending. Where this thread was held up, what it reads came some time ago, and a
/// node that is told the whole time would be told more than its client has left.
#[derive(Debug, Default)]
struct Arrivals {
    /// What the last wait told had not come before this moment.
    came_after: f64,
    /// When the last wait ended.
    told_at: Option<f64>,
}

impl Arrivals {
    /// A wait that was asked for at one moment ended at another and told of so many sockets.
    fn told(&mut self, asked_at: f64, ended_at: f64, sockets: usize) {
        let before = self.told_at.replace(ended_at);
        self.came_after = match before {
            Some(told_at) if ended_at - asked_at < BLOCKED_MS => {
                // Where so many are told that others may have waited longer, nothing new is known of these.
                if sockets < MAX_EVENTS {
                    told_at
                } else {
                    self.came_after
                }
            }
            _ => ended_at,
        };
    }
}

/// How far the commands of a connection were taken.
enum Taken {
    /// All that came.
    All,
    /// As many are open as may be.
    Full,
    /// One made no sense.
    Pause(f64),
    /// Nothing more is taken from it.
    End,
}

/// Reads all client connections.
pub(crate) struct Front {
    pub(crate) mailbox: Arc<Mailbox>,
    pub(crate) table: Arc<Mutex<ClientTable>>,
    pub(crate) vocabulary: RequestSchema,
    pub(crate) engine: Sender<Message>,
    pub(crate) clock: Clock,
    pub(crate) flusher: Flusher,
    pub(crate) leaving: Arc<Leaving>,
    pub(crate) pauses: Pauses,
    clients: HashMap<ClientId, Reading>,
    /// Those that have to be looked at though nothing comes on them: that end, pause, or wait for room.
    timed: BTreeSet<ClientId>,
    next: ClientId,
    /// Until when no connection is taken.
    pause: Option<f64>,
    /// Since when connections may wait to be taken.
    queued_since: Option<f64>,
    arrivals: Arrivals,
}

impl Front {
    pub(crate) fn new(
        mailbox: Arc<Mailbox>,
        table: Arc<Mutex<ClientTable>>,
        vocabulary: RequestSchema,
        engine: Sender<Message>,
        clock: Clock,
        flusher: Flusher,
        leaving: Arc<Leaving>,
    ) -> Front {
        Front {
            mailbox,
            table,
            vocabulary,
            engine,
            clock,
            flusher,
            leaving,
            pauses: Pauses::default(),
            clients: HashMap::new(),
            timed: BTreeSet::new(),
            next: LISTENER,
            pause: None,
            queued_since: None,
            arrivals: Arrivals::default(),
        }
    }

    /// Watches the listener.
    ///
    /// # Errors
    /// What the system says.
    pub(crate) fn open(&self, listener: &TcpListener) -> io::Result<()> {
        set_accept_backlog(listener, QUEUE)?;
        listener.set_nonblocking(true)?;
        self.mailbox.poller.add(listener, LISTENER, Interest::Readable)
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, listener: &TcpListener) {
        let mut ready = Vec::new();
        let mut piece = vec![0u8; PIECE];
        let mut sweep = self.clock.now_ms() + SWEEP_MS;
        let mut is_shut = false;
        while !self.leaving.over.load(Ordering::SeqCst) {
            let due = self.due(sweep);
            let asked_at = self.clock.now_ms();
            if let Err(why) = self.mailbox.poller.wait(&mut ready, Some(self.clock.instant(due))) {
                tracing::error!(%why, "connections can't be waited for");
                return;
            }
            self.arrivals.told(asked_at, self.clock.now_ms(), ready.len());
            self.pauses.at(Point::ReaderLooks);
            for one in &ready {
                match one.token {
                    LISTENER => self.accept(listener),
                    _ => self.ready(*one, &mut piece),
                }
            }
            for id in self.mailbox.take() {
                self.room(id);
                self.advance(id);
            }
            let now = self.clock.now_ms();
            self.look(now, listener);
            if !is_shut && self.leaving.last.load(Ordering::SeqCst) {
                is_shut = self.shut(listener);
            }
            let closing = self.leaving.closing.load(Ordering::SeqCst);
            if now >= sweep || (closing && sweep > now + LEAVING_MS) {
                sweep = now + if closing { LEAVING_MS } else { SWEEP_MS };
                self.sweep(now, closing);
            }
        }
        pearfork_net::shutdown_listener(listener);
    }

    /// When something has to be looked at though nothing comes.
    fn due(&self, sweep: f64) -> f64 {
        let timed =
            self.timed.iter().filter_map(|id| self.clients.get(id)).filter_map(|r| match r.life.state() {
                State::Flushing(_) => Some(self.clock.now_ms() + FLUSH_LOOK_MS),
                State::Full if r.client.has_unsent() => Some(self.clock.now_ms() + FLUSH_LOOK_MS),
                _ => r.life.due(),
            });
        timed.chain(self.pause).fold(sweep, f64::min)
    }

    /// Goes on with a connection that waited for room, if there is some.
    fn room(&mut self, id: ClientId) {
        let has_room = |r: &Reading| r.life.state() == State::Full && r.client.has_room();
        if self.clients.get(&id).is_some_and(has_room) {
            self.on(id, Event::Room);
            self.go_on(id);
        }
    }

    /// Takes what a connection that was not read has in its buffer, and then what came meanwhile, or learns that nothing
    /// did.
    fn go_on(&mut self, id: ClientId) {
        self.work(id);
        if self.clients.get(&id).is_some_and(|r| r.life.takes_commands()) {
            self.ready(Readiness { token: id, hung_up: false, peer_closed: false }, &mut vec![0u8; PIECE]);
        }
    }

    /// Goes on with what waited for its time.
    fn look(&mut self, now: f64, listener: &TcpListener) {
        for id in self.timed.iter().copied().collect::<Vec<ClientId>>() {
            let paused = |front: &Front| {
                front.clients.get(&id).is_some_and(|r| matches!(r.life.state(), State::Paused(_)))
            };
            let before = paused(self);
            self.on(id, Event::Tick);
            if before && !paused(self) {
                self.go_on(id);
            }
            self.room(id);
            self.advance(id);
        }
        if self.pause.is_some_and(|until| now >= until) {
            self.pause = None;
            let _ = self.mailbox.poller.modify(listener, LISTENER, Interest::Readable);
        }
    }

    /// Ends those that the table names. What came and was not read yet is read first.
    fn sweep(&mut self, now: f64, closing: bool) {
        let those = {
            let table = lock(&self.table);
            match (closing, self.leaving.last.load(Ordering::SeqCst)) {
                (false, _) => table.overdue(now),
                (true, false) => table.resting(now),
                (true, true) => table.idle(),
            }
        };
        for id in those {
            // Danger: one that is not read for want of room may have whole commands in its buffer.
            let rests = |r: &Reading| r.life.state() != State::Full && !r.client.has_unread();
            if self.clients.get(&id).is_some_and(rests) {
                self.pauses.at(Point::ReaderEnds);
                self.end(id);
            }
        }
    }

    fn accept(&mut self, listener: &TcpListener) {
        for _ in 0..AT_ONCE {
            // Danger: with no descriptor left the listener stays ready, and this thread would turn without end.
            if !lock(&self.table).has_room(self.clock.now_ms()) {
                return self.pause(listener);
            }
            match listener.accept() {
                Ok((stream, _)) => self.welcome(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.queued_since = None;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.pause(listener),
            }
        }
        self.queued_since.get_or_insert(self.arrivals.came_after);
    }

    /// Takes the connections that wait, and then no more; false where some still wait for room.
    ///
    /// Danger: one that the system took in this host's name and that nobody reads is reset when the host is gone, and so
    /// is the request on it. A client whose connection is refused goes elsewhere.
    fn shut(&mut self, listener: &TcpListener) -> bool {
        self.accept(listener);
        if self.queued_since.is_some() {
            return false;
        }
        self.mailbox.poller.remove(listener);
        pearfork_net::shutdown_listener(listener);
        true
    }

    /// Takes no connection for a moment.
    fn pause(&mut self, listener: &TcpListener) {
        self.queued_since.get_or_insert(self.arrivals.came_after);
        self.pause = Some(self.clock.now_ms() + NO_ROOM_MS);
        let _ = self.mailbox.poller.modify(listener, LISTENER, Interest::Hangup);
    }

    fn welcome(&mut self, stream: TcpStream) {
        self.next += 1;
        let (id, now) = (self.next, self.clock.now_ms());
        let (victim, held) = {
            let mut table = lock(&self.table);
            let victim = table.arrived(now, id);
            (victim, victim.is_some_and(|v| table.holds(v)))
        };
        match victim {
            Some(newcomer) if newcomer == id => return,
            // Danger: what came on it and was not read yet is a request that its client is owed an answer to.
            Some(victim) if held && self.has_unread(victim) => {}
            Some(victim) if held => self.end(victim),
            Some(victim) => self.on(victim, Event::Evicted),
            None => {}
        }
        // Danger: small writes that the system holds back go with a connection that is reset.
        let _ = stream.set_nodelay(true);
        let write_buffer = WriteBuffer::new(stream, &self.flusher);
        let client = Arc::new(Client::new(id, write_buffer, self.mailbox.clone(), self.table.clone()));
        if self.mailbox.poller.add(client.write_buffer.stream(), id, Interest::Readable).is_err() {
            lock(&self.table).left(id);
            return;
        }
        let commands = CommandDecoder::new(request::COMMAND_LIMITS);
        let (came_after, unread_since) = (now, self.queued_since);
        let reading = Reading { client, commands, life: Life::default(), came_after, unread_since };
        self.clients.insert(id, reading);
        // What came while it waited to be taken is read now, so that what comes later is not dated back to its wait.
        self.go_on(id);
    }

    fn has_unread(&self, id: ClientId) -> bool {
        self.clients.get(&id).is_some_and(|r| r.client.has_unread())
    }

    /// The host ends a connection: what was taken is answered, then it lingers for what crosses the end.
    fn end(&mut self, id: ClientId) {
        let now = self.clock.now_ms();
        lock(&self.table).ending(now, id);
        if let Some(r) = self.clients.get(&id) {
            r.client.ending();
        }
        self.on(id, Event::End);
        self.advance(id);
    }

    /// Takes the end of a connection as far as it has come.
    fn advance(&mut self, id: ClientId) {
        while let Some(r) = self.clients.get(&id) {
            match r.life.state() {
                State::Ending if !r.client.owes() => self.on(id, Event::Answered),
                State::Flushing(_) if r.client.write_buffer.buffered_bytes() == 0 => {
                    lock(&self.table).flushing(id, false);
                    self.on(id, Event::Flushed);
                }
                State::Flushing(_) => return lock(&self.table).flushing(id, true),
                _ => return,
            }
        }
    }

    /// Something happened to a connection.
    fn on(&mut self, id: ClientId, event: Event) {
        let now = self.clock.now_ms();
        let leaving = self.leaving.closing.load(Ordering::SeqCst);
        let linger = if leaving { LEAVING_LINGER_MS } else { LINGER_MS };
        let Some(r) = self.clients.get_mut(&id) else { return };
        let before = r.life;
        let effect = r.life.on(now, linger, event);
        if r.life != before {
            tracing::debug!(client = id, ?event, from = ?before.state(), to = ?r.life.state(), "connection");
        }
        match effect {
            Effect::None => {}
            Effect::EndSending => r.client.write_buffer.shutdown_write(),
            Effect::Close => return self.closed(id),
        }
        let life = r.life;
        if before.reads() && !life.reads() {
            r.unread_since.get_or_insert(now);
        }
        if before.reads() != life.reads() {
            let want = if life.reads() { Interest::Readable } else { Interest::Hangup };
            let _ = self.mailbox.poller.modify(r.client.write_buffer.stream(), id, want);
        }
        if life.is_ending() || life.state() == State::Full || life.due().is_some() {
            self.timed.insert(id);
        } else {
            self.timed.remove(&id);
        }
    }

    /// A connection is over.
    fn closed(&mut self, id: ClientId) {
        lock(&self.table).left(id);
        self.timed.remove(&id);
        let Some(reading) = self.clients.remove(&id) else { return };
        self.mailbox.poller.remove(reading.client.write_buffer.stream());
        let owes = reading.client.owes();
        reading.client.left();
        if owes {
            let _ = self.engine.send(Message::ClientGone(id));
        }
    }

    /// Something came on a connection, or it ended.
    fn ready(&mut self, ready: Readiness, piece: &mut [u8]) {
        let id = ready.token;
        let Some(reading) = self.clients.get_mut(&id) else { return };
        if !reading.life.reads() {
            // Danger: an end behind what is not read. Its client has left, and what waits for it would still be sent.
            if ready.peer_closed {
                self.on(id, Event::Gone);
            }
            return;
        }
        match reading.client.write_buffer.try_read(piece) {
            Ok(None) => reading.unread_since = None,
            Ok(Some(0)) | Err(_) => self.on(id, Event::Gone),
            // Danger: a request that crosses our end is sent once more by its client; taken here, it would run twice.
            Ok(Some(n)) if reading.life.is_ending() => self.on(id, Event::Discarded(n)),
            Ok(Some(n)) => {
                let came_after = self.arrivals.came_after;
                reading.came_after = reading.unread_since.take().map_or(came_after, |at| at.min(came_after));
                reading.commands.buffer().extend_from_slice(&piece[..n]);
                self.work(id);
            }
        }
    }

    /// Takes what came on a connection, as far as it may go.
    fn work(&mut self, id: ClientId) {
        let Some(reading) = self.clients.get_mut(&id).filter(|r| r.life.takes_commands()) else { return };
        match reading.take(&self.table, &self.vocabulary, &self.engine, self.clock) {
            Taken::All => {}
            Taken::Full => self.on(id, Event::Full),
            Taken::Pause(until) => self.on(id, Event::Pause(until)),
            Taken::End => self.end(id),
        }
    }
}

impl Reading {
    /// Takes whole commands.
    fn take(
        &mut self,
        table: &Mutex<ClientTable>,
        vocabulary: &RequestSchema,
        engine: &Sender<Message>,
        clock: Clock,
    ) -> Taken {
        let client = &self.client;
        while client.has_room() {
            let words = match self.commands.next_command() {
                Ok(Some(words)) => words,
                Ok(None) => {
                    if self.commands.has_partial() {
                        lock(table).partial(clock.now_ms(), client.id);
                    }
                    return Taken::All;
                }
                Err(fault) => {
                    // The frame is lost: the error is the last that this connection hears.
                    client.answer(client.reserve(), error(&format!("Protocol error: {fault}")));
                    let _ = engine.send(Message::Fault);
                    return Taken::End;
                }
            };
            let (now, at) = (clock.now_ms(), self.came_after);
            if !lock(table).began(now, client.id) {
                return Taken::End;
            }
            let slot = client.reserve();
            match request::parse(&words, vocabulary) {
                Ok(Parsed::Asked(asked)) => {
                    // The engine is gone only with the host.
                    if engine.send(Message::Asked { client: client.clone(), slot, asked, at }).is_err() {
                        return Taken::End;
                    }
                }
                Ok(Parsed::Ping) => {
                    client.answer(slot, write::bytes(|out| write::simple(out, "PONG")));
                    lock(table).answered(now, client.id);
                }
                Err(fault) => {
                    client.answer(slot, error(&fault.to_string()));
                    let after = {
                        let mut table = lock(table);
                        table.answered(now, client.id);
                        table.fault(client.id)
                    };
                    let _ = engine.send(Message::Fault);
                    return match after {
                        AfterFault::Pause(ms) => Taken::Pause(now + ms as f64),
                        AfterFault::Close => Taken::End,
                    };
                }
            }
        }
        Taken::Full
    }
}

fn error(words: &str) -> Bytes {
    write::bytes(|out| write::error(out, &format!("ERR {words}")))
}
