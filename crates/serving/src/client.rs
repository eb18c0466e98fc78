//! Client connections: a thread reads each; answers go out in the order of its commands.

use crate::engine::Message;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork_net::{lock, long_queue, read_once, spawn_small, Clock, Flusher, Outbox, Waiting};
use pearfork_platform::config::Vocabulary;
use pearfork_platform::door::{AfterFault, Door, GuestId};
use pearfork_platform::request::{self, Parsed};
use pearfork_resp::{write, Commands};
use std::collections::{HashMap, VecDeque};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Commands of one connection without an answer; beyond it no more is read from it.
const MOST_OPEN: usize = 32;
/// Connections that the system holds until they are accepted.
const QUEUE: i32 = 1024;
/// Connections beyond the door's room while those it gave up are still on their way out.
const LEAVING: usize = 8;

/// One connection.
pub(crate) struct Client {
    pub(crate) id: GuestId,
    outbox: Arc<Outbox>,
    slots: Mutex<Slots>,
    room: Condvar,
}

/// Answers in the order of their commands.
#[derive(Default)]
struct Slots {
    /// Number of the first that waits.
    first: u64,
    answers: VecDeque<Option<Bytes>>,
    /// Shut once the last of them has gone out.
    last: bool,
}

impl Client {
    /// A place for the answer to a command; waits while too many are open. `None`: the connection is over.
    fn reserve(&self) -> u64 {
        let mut slots = lock(&self.slots);
        while slots.answers.len() >= MOST_OPEN {
            slots = self.room.wait(slots).unwrap_or_else(PoisonError::into_inner);
        }
        slots.answers.push_back(None);
        slots.first + slots.answers.len() as u64 - 1
    }

    /// The answer to a command; it goes out when those before it have. False: it could not be written.
    pub(crate) fn answer(&self, slot: u64, bytes: Bytes) -> bool {
        let mut slots = lock(&self.slots);
        let Some(place) = slot.checked_sub(slots.first) else { return false };
        if let Some(place) = slots.answers.get_mut(place as usize) {
            *place = Some(bytes);
        }
        let mut wrote = true;
        while matches!(slots.answers.front(), Some(Some(_))) {
            if let Some(Some(bytes)) = slots.answers.pop_front() {
                slots.first += 1;
                wrote &= self.outbox.put(bytes).is_ok();
            }
        }
        if slots.last && slots.answers.is_empty() {
            self.outbox.shut();
        }
        drop(slots);
        self.room.notify_one();
        wrote
    }

    /// Shut behind the last answer.
    fn finish(&self) {
        let mut slots = lock(&self.slots);
        slots.last = true;
        if slots.answers.is_empty() {
            self.outbox.shut();
        }
    }

    /// Whether nothing of a request waits to be read.
    pub(crate) fn is_quiet(&self) -> bool {
        self.outbox.waiting() != Waiting::Bytes && self.outbox.kept() == 0
    }

    pub(crate) fn shut(&self) {
        self.outbox.shut();
        // Whoever waits for room has no more to wait for.
        lock(&self.slots).answers.clear();
        self.room.notify_one();
    }
}

/// The connections that are held, and the door that they came by.
pub(crate) struct Hall {
    pub(crate) door: Door,
    pub(crate) clients: HashMap<GuestId, Arc<Client>>,
}

impl Hall {
    pub(crate) fn new(room: usize) -> Hall {
        Hall { door: Door::new(room), clients: HashMap::new() }
    }

    /// Closes those that the door names and of which nothing more is on its way.
    ///
    /// Danger: a request that crosses the closing was taken by this machine; its client would lose it.
    pub(crate) fn close(&mut self, those: Vec<GuestId>) {
        for id in those {
            let quiet = self.clients.get(&id).is_none_or(|c| c.is_quiet());
            if quiet {
                self.door.left(id);
                self.clients.remove(&id).iter().for_each(|c| c.shut());
            }
        }
    }
}

/// What the threads of client connections share.
#[derive(Clone)]
pub(crate) struct Front {
    pub(crate) hall: Arc<Mutex<Hall>>,
    pub(crate) vocabulary: Arc<Vocabulary>,
    pub(crate) engine: Sender<Message>,
    pub(crate) clock: Clock,
    pub(crate) flusher: Flusher,
    pub(crate) stopping: Arc<AtomicBool>,
    /// Threads that read a connection.
    pub(crate) reading: Arc<AtomicUsize>,
}

impl Front {
    /// Accepts until told to stop.
    pub(crate) fn accept(self, listener: &TcpListener) {
        let _ = long_queue(listener, QUEUE);
        let mut next: GuestId = 0;
        loop {
            let most = lock(&self.hall).door.room() + LEAVING;
            while self.reading.load(Ordering::SeqCst) >= most && !self.stopping.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            let accepted = listener.accept();
            if self.stopping.load(Ordering::SeqCst) {
                return;
            }
            let Ok((stream, _)) = accepted else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            next += 1;
            self.welcome(next, stream);
        }
    }

    fn welcome(&self, id: GuestId, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let outbox = Outbox::new(stream, &self.flusher);
        let client = Arc::new(Client { id, outbox, slots: Mutex::default(), room: Condvar::new() });
        {
            let mut hall = lock(&self.hall);
            match hall.door.arrived(self.clock.now_ms(), id) {
                Some(newcomer) if newcomer == id => return,
                Some(victim) => hall.clients.remove(&victim).iter().for_each(|c| c.shut()),
                None => {}
            }
            hall.clients.insert(id, client.clone());
        }
        self.reading.fetch_add(1, Ordering::SeqCst);
        let front = self.clone();
        let spawned = spawn_small("client", move || {
            front.read(&client);
            client.shut();
            {
                let mut hall = lock(&front.hall);
                hall.door.left(client.id);
                hall.clients.remove(&client.id);
            }
            let _ = front.engine.send(Message::ClientGone(client.id));
            front.reading.fetch_sub(1, Ordering::SeqCst);
        });
        if spawned.is_err() {
            self.reading.fetch_sub(1, Ordering::SeqCst);
            let mut hall = lock(&self.hall);
            hall.door.left(id);
            hall.clients.remove(&id).iter().for_each(|c| c.shut());
        }
    }

    /// Reads a connection to its end.
    fn read(&self, client: &Arc<Client>) {
        let mut commands = Commands::new(request::COMMAND);
        loop {
            loop {
                let words = match commands.next_command() {
                    Ok(Some(words)) => words,
                    Ok(None) => break,
                    Err(fault) => {
                        // The frame is lost: the error is the last that this connection hears.
                        let slot = client.reserve();
                        client.answer(slot, error(&format!("Protocol error: {fault}")));
                        client.finish();
                        let _ = self.engine.send(Message::Fault);
                        return self.await_end(client);
                    }
                };
                let at = self.clock.now_ms();
                if !lock(&self.hall).door.began(at, client.id) {
                    return;
                }
                let slot = client.reserve();
                match request::parse(&words, &self.vocabulary) {
                    Ok(Parsed::Asked(asked)) => {
                        let message = Message::Asked { client: client.clone(), slot, asked, at };
                        if self.engine.send(message).is_err() {
                            return;
                        }
                    }
                    Ok(Parsed::Ping) => {
                        client.answer(slot, write::bytes(|out| write::simple(out, "PONG")));
                        lock(&self.hall).door.answered(at, client.id);
                    }
                    Err(fault) => {
                        client.answer(slot, error(&fault.to_string()));
                        let after = {
                            let mut hall = lock(&self.hall);
                            hall.door.answered(at, client.id);
                            hall.door.fault(client.id)
                        };
                        let _ = self.engine.send(Message::Fault);
                        match after {
                            AfterFault::Pause(ms) => std::thread::sleep(Duration::from_millis(ms)),
                            AfterFault::Close => {
                                client.finish();
                                return self.await_end(client);
                            }
                        }
                    }
                }
            }
            if commands.is_within() {
                lock(&self.hall).door.partial(self.clock.now_ms(), client.id);
            }
            let mut stream = client.outbox.stream();
            match read_once(&mut stream, commands.buffer(), 4096) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// What was taken before a fault is still owed its answer: the connection stays until that has gone out.
    fn await_end(&self, client: &Client) {
        let mut slots = lock(&client.slots);
        while !slots.answers.is_empty() {
            slots = client.room.wait(slots).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn error(words: &str) -> Bytes {
    write::bytes(|out| write::error(out, &format!("ERR {words}")))
}
