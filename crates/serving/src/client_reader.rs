//! The thread that accepts client connections and reads them.

use crate::client::{Client, Mailbox};
use crate::client_connection::{Accepted, CommandSink, Connection, READ_CHUNK};
use crate::engine::Message;
use crate::test_hooks::{Point, TestHooks};
use crossbeam_channel::Sender;
use pearfork_net::{lock, set_accept_backlog, Clock, Flusher, Interest, Readiness, WriteBuffer};
use pearfork_platform::clients::{ClientId, ClientTable};
use pearfork_platform::config::RequestSchema;
use pearfork_platform::lifecycle::{Effect, Event, Lifecycle, State};
use pearfork_platform::memory::ByteBudget;
use pearfork_platform::request;
use pearfork_resp::CommandDecoder;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Length of the kernel's queue of connections that are not accepted yet.
const ACCEPT_QUEUE_LEN: i32 = 1024;
/// Poll token of the listener; connections are numbered from 1.
const LISTENER_TOKEN: u64 = 0;
/// Maximum number of connections accepted before existing ones are read again.
const MAX_ACCEPTS_PER_POLL: usize = 64;
/// Interval between checks for connections to close, in normal operation.
const SWEEP_INTERVAL_MS: f64 = 200.0;
/// Interval between these checks during shutdown.
const SHUTDOWN_SWEEP_INTERVAL_MS: f64 = 10.0;
/// Interval between checks of the write buffer of a connection that is closed once the buffer is empty.
const FLUSH_CHECK_MS: f64 = 5.0;
/// How long incoming data is read after the sending side was shut down, in normal operation. A client that
/// sees the end of the connection closes it itself.
const LINGER_MS: f64 = 500.0;
/// The same during shutdown.
const SHUTDOWN_LINGER_MS: f64 = 120.0;
/// Pause in accepting when no descriptor is available or no connection can be evicted.
const ACCEPT_PAUSE_MS: f64 = 5.0;

/// A poll that took at least this long found nothing ready when it began.
const MIN_BLOCKED_MS: f64 = 1.0;

/// Progress of a shutdown. Connections are accepted until its end, since the client of a connection in the
/// kernel's queue is owed an answer.
#[derive(Debug, Default)]
pub(crate) struct ShutdownFlags {
    /// Close connections that are idle and from which nothing is expected.
    pub(crate) close_idle: AtomicBool,
    /// Close all connections without open requests.
    pub(crate) close_all: AtomicBool,
    /// Stop the thread.
    pub(crate) stop: AtomicBool,
}

/// Estimates when data arrived on the sockets.
///
/// The time that a client waits runs from its sending of a request. If this thread is delayed, data has been
/// waiting for a while when it is read; a node that is given the full time would be given more than its
/// client has left.
#[derive(Debug, Default)]
struct ArrivalEstimate {
    /// The data reported by the last poll arrived after this time.
    arrived_after: f64,
    /// Time at which the last poll ended.
    last_poll_end: Option<f64>,
}

impl ArrivalEstimate {
    /// Records a poll that ran from `began_at` to `ended_at`. Each poll reports all ready sockets, so what it
    /// reports arrived after the one before.
    fn record_poll(&mut self, began_at: f64, ended_at: f64) {
        let before = self.last_poll_end.replace(ended_at);
        self.arrived_after = match before {
            Some(last_poll_end) if ended_at - began_at < MIN_BLOCKED_MS => last_poll_end,
            _ => ended_at,
        };
    }
}

/// What bounds the client connections: their descriptors and the bytes that they hold.
pub(crate) struct ClientBounds {
    pub(crate) table: Arc<Mutex<ClientTable>>,
    pub(crate) budget: Arc<ByteBudget>,
}

/// Accepts and reads all client connections.
pub(crate) struct ClientReader {
    pub(crate) mailbox: Arc<Mailbox>,
    pub(crate) table: Arc<Mutex<ClientTable>>,
    pub(crate) budget: Arc<ByteBudget>,
    pub(crate) schema: RequestSchema,
    pub(crate) engine: Sender<Message>,
    pub(crate) clock: Clock,
    pub(crate) flusher: Flusher,
    pub(crate) shutdown: Arc<ShutdownFlags>,
    pub(crate) hooks: TestHooks,
    connections: HashMap<ClientId, Connection>,
    /// Connections that need attention without new data: they are being closed, paused, or waiting to accept
    /// commands.
    need_attention: BTreeSet<ClientId>,
    /// Connections with commands left from their last turn; they are not read until none is left.
    next_turn: BTreeSet<ClientId>,
    last_id: ClientId,
    /// Time until which no connection is accepted.
    accept_paused_until: Option<f64>,
    /// Time since which connections may be waiting to be accepted.
    queued_since: Option<f64>,
    arrivals: ArrivalEstimate,
}

impl ClientReader {
    pub(crate) fn new(
        mailbox: Arc<Mailbox>,
        bounds: ClientBounds,
        schema: RequestSchema,
        engine: Sender<Message>,
        clock: Clock,
        flusher: Flusher,
        shutdown: Arc<ShutdownFlags>,
    ) -> ClientReader {
        ClientReader {
            mailbox,
            table: bounds.table,
            budget: bounds.budget,
            schema,
            engine,
            clock,
            flusher,
            shutdown,
            hooks: TestHooks::default(),
            connections: HashMap::new(),
            need_attention: BTreeSet::new(),
            next_turn: BTreeSet::new(),
            last_id: LISTENER_TOKEN,
            accept_paused_until: None,
            queued_since: None,
            arrivals: ArrivalEstimate::default(),
        }
    }

    /// Registers the listener with the poller.
    ///
    /// # Errors
    /// The error of the system call.
    pub(crate) fn register_listener(&self, listener: &TcpListener) -> io::Result<()> {
        set_accept_backlog(listener, ACCEPT_QUEUE_LEN)?;
        listener.set_nonblocking(true)?;
        self.mailbox.poller.add(listener, LISTENER_TOKEN, Interest::Readable)
    }

    /// Runs until stopped.
    pub(crate) fn run(mut self, listener: &TcpListener) {
        let mut ready = Vec::new();
        let mut chunk = vec![0u8; READ_CHUNK];
        let mut sweep = self.clock.now_ms() + SWEEP_INTERVAL_MS;
        let mut listener_closed = false;
        while !self.shutdown.stop.load(Ordering::SeqCst) {
            let began_at = self.clock.now_ms();
            let due = if self.next_turn.is_empty() { self.next_due(sweep) } else { began_at };
            if let Err(why) = self.mailbox.poller.wait(&mut ready, Some(self.clock.instant(due))) {
                tracing::error!(%why, "polling client connections failed");
                return;
            }
            self.arrivals.record_poll(began_at, self.clock.now_ms());
            self.hooks.reach(Point::ReaderPoll);
            let turns = std::mem::take(&mut self.next_turn);
            turns.into_iter().for_each(|id| self.accept_commands(id));
            for event in &ready {
                match event.token {
                    LISTENER_TOKEN => self.accept(listener),
                    _ => self.handle_ready(*event, &mut chunk),
                }
            }
            for id in self.mailbox.take() {
                self.resume_if_below_limit(id);
                self.advance_close(id);
            }
            let now = self.clock.now_ms();
            self.handle_due(now, listener);
            if !listener_closed && self.shutdown.close_all.load(Ordering::SeqCst) {
                listener_closed = self.close_listener(listener);
            }
            let closing = self.shutdown.close_idle.load(Ordering::SeqCst);
            if now >= sweep || (closing && sweep > now + SHUTDOWN_SWEEP_INTERVAL_MS) {
                sweep = now + if closing { SHUTDOWN_SWEEP_INTERVAL_MS } else { SWEEP_INTERVAL_MS };
                self.sweep(now, closing);
            }
        }
        pearfork_net::shutdown_listener(listener);
    }

    /// Time at which connections need attention even if no data arrives.
    fn next_due(&self, sweep: f64) -> f64 {
        let times = self.need_attention.iter().filter_map(|id| self.connections.get(id)).filter_map(|c| {
            match c.lifecycle.state() {
                State::Flushing(_) => Some(self.clock.now_ms() + FLUSH_CHECK_MS),
                State::AtRequestLimit if c.client.waits_for_bytes() => {
                    Some(self.clock.now_ms() + FLUSH_CHECK_MS)
                }
                _ => c.lifecycle.next_due(),
            }
        });
        times.chain(self.accept_paused_until).fold(sweep, f64::min)
    }

    /// Resumes a connection that has waited to accept commands, if it now may.
    fn resume_if_below_limit(&mut self, id: ClientId) {
        let below_limit = |c: &Connection| {
            let may_resume = c.client.can_accept_command() || c.client.owes_nothing();
            c.lifecycle.state() == State::AtRequestLimit && may_resume
        };
        if self.connections.get(&id).is_some_and(below_limit) {
            self.handle_event(id, Event::BelowLimit);
            self.resume(id);
        }
    }

    /// Handles commands that were buffered while the connection was not read, then reads what arrived in the
    /// meantime. The read also records that nothing is left unread.
    fn resume(&mut self, id: ClientId) {
        self.accept_commands(id);
        if self.connections.get(&id).is_some_and(|c| c.lifecycle.accepts_commands()) {
            self.handle_ready(
                Readiness { token: id, hung_up: false, peer_closed: false },
                &mut vec![0u8; READ_CHUNK],
            );
        }
    }

    /// Handles connections whose time has come, and resumes accepting after a pause.
    fn handle_due(&mut self, now: f64, listener: &TcpListener) {
        for id in self.need_attention.iter().copied().collect::<Vec<ClientId>>() {
            let is_paused = |reader: &ClientReader| {
                reader.connections.get(&id).is_some_and(|c| matches!(c.lifecycle.state(), State::Paused(_)))
            };
            let was_paused = is_paused(self);
            self.handle_event(id, Event::Tick);
            if was_paused && !is_paused(self) {
                self.resume(id);
            }
            self.resume_if_below_limit(id);
            self.advance_close(id);
        }
        if self.accept_paused_until.is_some_and(|until| now >= until) {
            self.accept_paused_until = None;
            let _ = self.mailbox.poller.modify(listener, LISTENER_TOKEN, Interest::Readable);
        }
    }

    /// Closes the connections that the table selects, unless data on them has not been read yet.
    fn sweep(&mut self, now: f64, closing: bool) {
        let selected = {
            let table = lock(&self.table);
            match (closing, self.shutdown.close_all.load(Ordering::SeqCst)) {
                (false, _) => table.overdue(now),
                (true, false) => table.quiescent(now),
                (true, true) => table.idle(),
            }
        };
        for id in selected {
            // The buffer of a connection that is not read because too many commands are open may hold
            // complete commands.
            let is_limited = |c: &Connection| c.lifecycle.state() == State::AtRequestLimit;
            if self.connections.get(&id).is_some_and(|c| !is_limited(c)) && !self.has_unread(id) {
                self.hooks.reach(Point::ReaderClose);
                self.close(id);
            }
        }
    }

    fn accept(&mut self, listener: &TcpListener) {
        for _ in 0..MAX_ACCEPTS_PER_POLL {
            // Without this check, running out of descriptors would leave the listener ready and make this
            // thread spin.
            if !lock(&self.table).can_accept(self.clock.now_ms()) {
                return self.pause_accepting(listener);
            }
            match listener.accept() {
                Ok((stream, _)) => self.add_connection(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.queued_since = None;
                    return;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.pause_accepting(listener),
            }
        }
        self.queued_since.get_or_insert(self.arrivals.arrived_after);
    }

    /// Accepts the connections that are queued and then closes the listener. Returns `false` if some of them
    /// still wait for room.
    ///
    /// A connection that the kernel accepted for this host is reset when the host exits, and the request on
    /// it is lost. A client whose connection is refused tries another host.
    fn close_listener(&mut self, listener: &TcpListener) -> bool {
        self.accept(listener);
        if self.queued_since.is_some() {
            return false;
        }
        self.mailbox.poller.remove(listener);
        pearfork_net::shutdown_listener(listener);
        true
    }

    /// Pauses accepting for a moment.
    fn pause_accepting(&mut self, listener: &TcpListener) {
        self.queued_since.get_or_insert(self.arrivals.arrived_after);
        self.accept_paused_until = Some(self.clock.now_ms() + ACCEPT_PAUSE_MS);
        let _ = self.mailbox.poller.modify(listener, LISTENER_TOKEN, Interest::Hangup);
    }

    fn add_connection(&mut self, stream: TcpStream) {
        self.last_id += 1;
        let (id, now) = (self.last_id, self.clock.now_ms());
        let (evicted, still_in_table) = {
            let mut table = lock(&self.table);
            let evicted = table.add(now, id);
            (evicted, evicted.is_some_and(|v| table.contains(v)))
        };
        match evicted {
            Some(new_id) if new_id == id => return,
            // Unread data on the evicted connection may be a request, which is owed an answer.
            Some(evicted) if still_in_table && self.has_unread(evicted) => {}
            Some(evicted) if still_in_table => self.close(evicted),
            Some(evicted) => self.handle_event(evicted, Event::Evicted),
            None => {}
        }
        // Data that Nagle's algorithm holds back would be lost if the connection is reset.
        let _ = stream.set_nodelay(true);
        let write_buffer = WriteBuffer::new(stream, &self.flusher);
        let account = self.budget.open_account();
        let input = account.hold(0);
        let client = Client::new(id, write_buffer, account, self.mailbox.clone(), self.table.clone());
        let client = Arc::new(client);
        if self.mailbox.poller.add(client.write_buffer.stream(), id, Interest::Readable).is_err() {
            lock(&self.table).remove(id);
            return;
        }
        let decoder = CommandDecoder::new(request::COMMAND_LIMITS);
        let (arrived_after, unread_since) = (now, self.queued_since);
        let connection = Connection {
            client,
            decoder,
            input,
            lifecycle: Lifecycle::default(),
            arrived_after,
            unread_since,
        };
        self.connections.insert(id, connection);
        // Reads what arrived while the connection was queued, so that later data is not dated back to that
        // wait.
        self.resume(id);
    }

    /// Whether received data may hold commands that were not accepted yet.
    fn has_unread(&self, id: ClientId) -> bool {
        self.next_turn.contains(&id) || self.connections.get(&id).is_some_and(|c| c.client.has_unread())
    }

    /// Closes a connection: accepted commands are answered, then incoming data is discarded for a while.
    fn close(&mut self, id: ClientId) {
        let now = self.clock.now_ms();
        lock(&self.table).begin_close(now, id);
        if let Some(c) = self.connections.get(&id) {
            c.client.stop_accepting();
        }
        self.handle_event(id, Event::Close);
        self.advance_close(id);
    }

    /// Moves a connection that is being closed through its remaining states as far as possible.
    fn advance_close(&mut self, id: ClientId) {
        while let Some(c) = self.connections.get(&id) {
            match c.lifecycle.state() {
                State::AwaitingReplies if !c.client.has_open_commands() => {
                    self.handle_event(id, Event::AllAnswered)
                }
                State::Flushing(_) if c.client.write_buffer.buffered_bytes() == 0 => {
                    lock(&self.table).set_flushing(id, false);
                    self.handle_event(id, Event::Flushed);
                }
                State::Flushing(_) => return lock(&self.table).set_flushing(id, true),
                _ => return,
            }
        }
    }

    /// Passes an event to the state machine of a connection.
    fn handle_event(&mut self, id: ClientId, event: Event) {
        let now = self.clock.now_ms();
        let is_shutting_down = self.shutdown.close_idle.load(Ordering::SeqCst);
        let linger = if is_shutting_down { SHUTDOWN_LINGER_MS } else { LINGER_MS };
        let Some(c) = self.connections.get_mut(&id) else { return };
        let before = c.lifecycle;
        let effect = c.lifecycle.handle(now, linger, event);
        if c.lifecycle != before {
            tracing::debug!(
                client = id,
                ?event,
                from = ?before.state(),
                to = ?c.lifecycle.state(),
                "connection"
            );
        }
        match effect {
            Effect::None => {}
            Effect::ShutdownWrite => c.client.write_buffer.shutdown_write(),
            Effect::Close => return self.remove(id),
        }
        let lifecycle = c.lifecycle;
        if before.reads() && !lifecycle.reads() {
            c.unread_since.get_or_insert(now);
        }
        if before.reads() != lifecycle.reads() {
            let want = if lifecycle.reads() { Interest::Readable } else { Interest::Hangup };
            let _ = self.mailbox.poller.modify(c.client.write_buffer.stream(), id, want);
        }
        if lifecycle.is_closing()
            || lifecycle.state() == State::AtRequestLimit
            || lifecycle.next_due().is_some()
        {
            self.need_attention.insert(id);
        } else {
            self.need_attention.remove(&id);
        }
    }

    /// Removes a connection that is closed.
    fn remove(&mut self, id: ClientId) {
        lock(&self.table).remove(id);
        self.need_attention.remove(&id);
        self.next_turn.remove(&id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.mailbox.poller.remove(connection.client.write_buffer.stream());
        let has_open_commands = connection.client.has_open_commands();
        connection.client.disconnect();
        if has_open_commands {
            let _ = self.engine.send(Message::ClientDisconnected(id));
        }
    }

    /// Handles a connection that has data or has ended.
    fn handle_ready(&mut self, ready: Readiness, chunk: &mut [u8]) {
        let id = ready.token;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.lifecycle.reads() || self.next_turn.contains(&id) {
            // The end of a connection is seen even while it is not read; otherwise its waiting requests would
            // be sent for a client that has disconnected.
            if ready.peer_closed {
                self.handle_event(id, Event::Disconnected);
            }
            return;
        }
        match connection.client.write_buffer.try_read(chunk) {
            Ok(None) => connection.unread_since = None,
            Ok(Some(0)) | Err(_) => self.handle_event(id, Event::Disconnected),
            // The client sends a request that arrives now once more on another connection; executed here, it
            // would run twice.
            Ok(Some(n)) if connection.lifecycle.is_closing() => self.handle_event(id, Event::Discarded(n)),
            Ok(Some(n)) => {
                let arrived_after = self.arrivals.arrived_after;
                connection.arrived_after =
                    connection.unread_since.take().map_or(arrived_after, |at| at.min(arrived_after));
                connection.decoder.buffer().extend_from_slice(&chunk[..n]);
                self.accept_commands(id);
            }
        }
    }

    /// Refuses the command that has been incomplete for longest, so that clients that write slowly or not at all
    /// give way to others; this may be the command of the connection that needs the room.
    fn make_room(&mut self, id: ClientId) {
        let holds_much = |other| self.connections.get(&other).is_some_and(Connection::holds_large_partial);
        let longest = lock(&self.table).longest_partial(holds_much);
        let refused = longest.unwrap_or(id);
        if let Some(connection) = self.connections.get_mut(&refused) {
            connection.refuse_partial();
        }
        self.close(refused);
        if refused != id {
            self.accept_commands(id);
        }
    }

    /// Accepts the commands that were received, as far as the connection allows.
    fn accept_commands(&mut self, id: ClientId) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.lifecycle.accepts_commands())
        else {
            return;
        };
        let sink =
            CommandSink { table: &self.table, schema: &self.schema, engine: &self.engine, clock: self.clock };
        match connection.accept_commands(&sink) {
            Accepted::All => {}
            Accepted::EndOfTurn => drop(self.next_turn.insert(id)),
            Accepted::NoRoom => self.make_room(id),
            Accepted::AtLimit => self.handle_event(id, Event::LimitReached),
            Accepted::Pause(until) => self.handle_event(id, Event::Pause(until)),
            Accepted::Close => self.close(id),
        }
    }
}
