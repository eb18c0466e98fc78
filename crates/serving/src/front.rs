//! The one thread that takes client connections and reads them.

use crate::client::{Client, Mailbox};
use crate::engine::Message;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork_net::{lock, long_queue, Clock, Flusher, Ready, Want, WriteBuffer};
use pearfork_platform::clients::{AfterFault, ClientId, ClientTable};
use pearfork_platform::config::Vocabulary;
use pearfork_platform::request::{self, Parsed};
use pearfork_resp::{write, Commands};
use std::collections::HashMap;
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
/// How long none is taken after the system gave no descriptor.
const NO_DESCRIPTOR_MS: f64 = 5.0;

/// How far a host that leaves has come.
#[derive(Debug, Default)]
pub(crate) struct Leaving {
    /// No connection is taken any more.
    pub(crate) begun: AtomicBool,
    /// Those with nothing open are closed.
    pub(crate) closing: AtomicBool,
    /// The thread is to end.
    pub(crate) over: AtomicBool,
}

/// A connection as its reader has it.
struct Reading {
    client: Arc<Client>,
    commands: Commands,
    stage: Stage,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Reads,
    /// It has as many commands open as it may.
    Full,
    /// What made no sense is followed by a pause.
    Paused(f64),
    /// Nothing more is read; it ends behind its last answer.
    Ends,
}

/// Reads all client connections.
pub(crate) struct Front {
    pub(crate) mailbox: Arc<Mailbox>,
    pub(crate) table: Arc<Mutex<ClientTable>>,
    pub(crate) vocabulary: Vocabulary,
    pub(crate) engine: Sender<Message>,
    pub(crate) clock: Clock,
    pub(crate) flusher: Flusher,
    pub(crate) leaving: Arc<Leaving>,
    clients: HashMap<ClientId, Reading>,
    next: ClientId,
    /// Until when no connection is taken.
    pause: Option<f64>,
}

impl Front {
    pub(crate) fn new(
        mailbox: Arc<Mailbox>,
        table: Arc<Mutex<ClientTable>>,
        vocabulary: Vocabulary,
        engine: Sender<Message>,
        clock: Clock,
        flusher: Flusher,
        leaving: Arc<Leaving>,
    ) -> Front {
        let clients = HashMap::new();
        Front {
            mailbox,
            table,
            vocabulary,
            engine,
            clock,
            flusher,
            leaving,
            clients,
            next: LISTENER,
            pause: None,
        }
    }

    /// Watches the listener.
    ///
    /// # Errors
    /// What the system says.
    pub(crate) fn open(&self, listener: &TcpListener) -> io::Result<()> {
        long_queue(listener, QUEUE)?;
        listener.set_nonblocking(true)?;
        self.mailbox.poller.add(listener, LISTENER, Want::Read)
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, listener: &TcpListener) {
        let mut ready = Vec::new();
        let mut piece = vec![0u8; PIECE];
        let mut sweep = self.clock.now_ms() + SWEEP_MS;
        let mut open = true;
        while !self.leaving.over.load(Ordering::SeqCst) {
            let pauses = self.clients.values().filter_map(|r| match r.stage {
                Stage::Paused(until) => Some(until),
                _ => None,
            });
            let due = pauses.chain(self.pause).fold(sweep, f64::min);
            if let Err(why) = self.mailbox.poller.wait(&mut ready, Some(self.clock.instant(due))) {
                tracing::error!(%why, "connections can't be waited for");
                return;
            }
            for one in &ready {
                match one.token {
                    LISTENER => self.accept(listener),
                    _ => self.ready(*one, &mut piece),
                }
            }
            for id in self.mailbox.take() {
                match self.clients.get(&id).map(|r| (r.client.is_over(), r.stage)) {
                    Some((true, _)) => self.gone(id),
                    Some((false, Stage::Full)) => self.work(id),
                    _ => {}
                }
            }
            let now = self.clock.now_ms();
            self.resume(now, listener);
            if self.leaving.begun.load(Ordering::SeqCst) && std::mem::take(&mut open) {
                self.accept(listener);
                self.mailbox.poller.remove(listener);
                pearfork_net::shut_listener(listener);
            }
            let closing = self.leaving.closing.load(Ordering::SeqCst);
            if now >= sweep || (closing && sweep > now + LEAVING_MS) {
                sweep = now + if closing { LEAVING_MS } else { SWEEP_MS };
                self.sweep(now, closing);
            }
        }
        pearfork_net::shut_listener(listener);
    }

    /// Goes on with what was paused.
    fn resume(&mut self, now: f64, listener: &TcpListener) {
        let over = |stage| matches!(stage, Stage::Paused(until) if now >= until);
        let those = self.clients.iter().filter(|(_, r)| over(r.stage)).map(|(id, _)| *id);
        for id in those.collect::<Vec<ClientId>>() {
            self.work(id);
        }
        if self.pause.is_some_and(|until| now >= until) {
            self.pause = None;
            let _ = self.mailbox.poller.change(listener, LISTENER, Want::Read);
        }
    }

    /// Closes those that the table names and of which nothing more is on its way.
    ///
    /// Danger: a request that crosses the closing was taken by this machine; its client would lose it. This thread
    /// alone reads and closes, so none can be between the socket and the table.
    fn sweep(&mut self, now: f64, closing: bool) {
        let those = {
            let table = lock(&self.table);
            if closing {
                table.idle()
            } else {
                table.overdue(now)
            }
        };
        for id in those {
            if self.clients.get(&id).is_none_or(|r| r.client.is_quiet()) {
                self.gone(id);
            }
        }
    }

    fn accept(&mut self, listener: &TcpListener) {
        for _ in 0..AT_ONCE {
            match listener.accept() {
                Ok((stream, _)) => self.welcome(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Danger: with no descriptor left the listener stays ready, and this thread would turn without end.
                Err(_) => {
                    self.pause = Some(self.clock.now_ms() + NO_DESCRIPTOR_MS);
                    let _ = self.mailbox.poller.change(listener, LISTENER, Want::Nothing);
                    return;
                }
            }
        }
    }

    fn welcome(&mut self, stream: TcpStream) {
        self.next += 1;
        let id = self.next;
        match lock(&self.table).arrived(self.clock.now_ms(), id) {
            Some(newcomer) if newcomer == id => return,
            Some(victim) => self.clients.get(&victim).iter().for_each(|r| r.client.shut()),
            None => {}
        }
        let _ = stream.set_nodelay(true);
        let client = Arc::new(Client::new(id, WriteBuffer::new(stream, &self.flusher), self.mailbox.clone()));
        if self.mailbox.poller.add(client.write_buffer.stream(), id, Want::Read).is_err() {
            lock(&self.table).left(id);
            return;
        }
        let commands = Commands::new(request::COMMAND);
        self.clients.insert(id, Reading { client, commands, stage: Stage::Reads });
    }

    /// A connection is over.
    fn gone(&mut self, id: ClientId) {
        lock(&self.table).left(id);
        let Some(reading) = self.clients.remove(&id) else { return };
        self.mailbox.poller.remove(reading.client.write_buffer.stream());
        reading.client.write_buffer.shut();
        let _ = self.engine.send(Message::ClientGone(id));
    }

    /// Something came on a connection, or it broke.
    fn ready(&mut self, ready: Ready, piece: &mut [u8]) {
        let id = ready.token;
        let Some(reading) = self.clients.get_mut(&id) else { return };
        if reading.stage != Stage::Reads {
            if ready.broken {
                self.gone(id);
            }
            return;
        }
        match reading.client.write_buffer.read_now(piece) {
            Ok(None) => {}
            Ok(Some(0)) | Err(_) => self.gone(id),
            Ok(Some(n)) => {
                reading.commands.buffer().extend_from_slice(&piece[..n]);
                self.work(id);
            }
        }
    }

    /// Takes what came on a connection, as far as it may go.
    fn work(&mut self, id: ClientId) {
        let Some(reading) = self.clients.get_mut(&id) else { return };
        let before = reading.stage;
        let Some(stage) = reading.take(&self.table, &self.vocabulary, &self.engine, self.clock) else {
            return self.gone(id);
        };
        reading.stage = stage;
        let reads = |stage| stage == Stage::Reads;
        if reads(before) != reads(stage) {
            let want = if reads(stage) { Want::Read } else { Want::Nothing };
            let _ = self.mailbox.poller.change(reading.client.write_buffer.stream(), id, want);
        }
    }
}

impl Reading {
    /// Takes whole commands; `None` where the connection is of no further use.
    fn take(
        &mut self,
        table: &Mutex<ClientTable>,
        vocabulary: &Vocabulary,
        engine: &Sender<Message>,
        clock: Clock,
    ) -> Option<Stage> {
        let client = &self.client;
        while client.has_room() {
            let words = match self.commands.next_command() {
                Ok(Some(words)) => words,
                Ok(None) => {
                    if self.commands.is_within() {
                        lock(table).partial(clock.now_ms(), client.id);
                    }
                    return Some(Stage::Reads);
                }
                Err(fault) => {
                    // The frame is lost: the error is the last that this connection hears.
                    client.answer(client.reserve(), error(&format!("Protocol error: {fault}")));
                    client.finish();
                    let _ = engine.send(Message::Fault);
                    return Some(Stage::Ends);
                }
            };
            let at = clock.now_ms();
            if !lock(table).began(at, client.id) {
                return None;
            }
            let slot = client.reserve();
            match request::parse(&words, vocabulary) {
                Ok(Parsed::Asked(asked)) => {
                    engine.send(Message::Asked { client: client.clone(), slot, asked, at }).ok()?;
                }
                Ok(Parsed::Ping) => {
                    client.answer(slot, write::bytes(|out| write::simple(out, "PONG")));
                    lock(table).answered(at, client.id);
                }
                Err(fault) => {
                    client.answer(slot, error(&fault.to_string()));
                    let after = {
                        let mut table = lock(table);
                        table.answered(at, client.id);
                        table.fault(client.id)
                    };
                    let _ = engine.send(Message::Fault);
                    match after {
                        AfterFault::Pause(ms) => return Some(Stage::Paused(at + ms as f64)),
                        AfterFault::Close => {
                            client.finish();
                            return Some(Stage::Ends);
                        }
                    }
                }
            }
        }
        Some(Stage::Full)
    }
}

fn error(words: &str) -> Bytes {
    write::bytes(|out| write::error(out, &format!("ERR {words}")))
}
