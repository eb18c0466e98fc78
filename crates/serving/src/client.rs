//! One client connection: answers go out in the order of its commands.

use bytes::Bytes;
use pearfork_net::{lock, PeekResult, Poller, WriteBuffer};
use pearfork_platform::clients::{ClientId, ClientTable};
use pearfork_platform::request::MAX_VALUE;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Commands of one connection without an answer; beyond it no more is read from it. Answers that its client has not taken
/// count with them, by the size that an answer may have.
const MOST_OPEN: usize = 32;

/// What connections tell the thread that reads them.
pub(crate) struct Mailbox {
    pub(crate) poller: Poller,
    told: Mutex<Vec<ClientId>>,
}

impl Mailbox {
    pub(crate) fn new(poller: Poller) -> Mailbox {
        Mailbox { poller, told: Mutex::default() }
    }

    /// A connection has something that its reader waits for.
    fn tell(&self, id: ClientId) {
        lock(&self.told).push(id);
        self.poller.wake();
    }

    /// Those that told something since the last call.
    pub(crate) fn take(&self) -> Vec<ClientId> {
        std::mem::take(&mut *lock(&self.told))
    }
}

/// Counts a descriptor in the table of client connections for as long as it lives.
struct CountedDescriptor(Arc<Mutex<ClientTable>>);

impl CountedDescriptor {
    fn new(table: Arc<Mutex<ClientTable>>) -> CountedDescriptor {
        lock(&table).descriptor_opened();
        CountedDescriptor(table)
    }
}

impl Drop for CountedDescriptor {
    fn drop(&mut self) {
        lock(&self.0).descriptor_closed();
    }
}

/// One connection.
pub(crate) struct Client {
    pub(crate) id: ClientId,
    pub(crate) write_buffer: Arc<WriteBuffer>,
    slots: Mutex<Slots>,
    mailbox: Arc<Mailbox>,
    /// Dropped behind `write_buffer`, which closes the descriptor.
    _descriptor: CountedDescriptor,
}

/// Answers in the order of their commands.
#[derive(Default)]
struct Slots {
    /// Number of the first that waits.
    first: u64,
    answers: VecDeque<Option<Bytes>>,
    /// The reader waits for room.
    wants_room: bool,
    /// The reader waits for the last answer.
    wants_end: bool,
}

impl Client {
    pub(crate) fn new(
        id: ClientId,
        write_buffer: Arc<WriteBuffer>,
        mailbox: Arc<Mailbox>,
        table: Arc<Mutex<ClientTable>>,
    ) -> Client {
        let _descriptor = CountedDescriptor::new(table);
        Client { id, write_buffer, slots: Mutex::default(), mailbox, _descriptor }
    }

    /// Whether one more command may be taken; if not, the mailbox is told when it may.
    pub(crate) fn has_room(&self) -> bool {
        let not_taken = self.write_buffer.buffered_bytes().div_ceil(MAX_VALUE);
        let mut slots = lock(&self.slots);
        slots.wants_room = slots.answers.len() >= MOST_OPEN;
        slots.answers.len() + not_taken < MOST_OPEN
    }

    /// Whether answers wait that its client has not taken.
    pub(crate) fn has_unsent(&self) -> bool {
        self.write_buffer.buffered_bytes() > 0
    }

    /// A place for the answer to a command.
    pub(crate) fn reserve(&self) -> u64 {
        let mut slots = lock(&self.slots);
        slots.answers.push_back(None);
        slots.first + slots.answers.len() as u64 - 1
    }

    /// The answer to a command; it goes out when those before it have.
    pub(crate) fn answer(&self, slot: u64, bytes: Bytes) {
        let mut slots = lock(&self.slots);
        let Some(place) = slot.checked_sub(slots.first) else { return };
        if let Some(place) = slots.answers.get_mut(place as usize) {
            *place = Some(bytes);
        }
        while matches!(slots.answers.front(), Some(Some(_))) {
            if let Some(Some(bytes)) = slots.answers.pop_front() {
                slots.first += 1;
                // A connection that takes nothing is shut, which its reader sees.
                let _ = self.write_buffer.send(bytes);
            }
        }
        let ended = slots.wants_end && slots.answers.is_empty();
        let room = slots.wants_room && slots.answers.len() < MOST_OPEN;
        slots.wants_room &= !room;
        drop(slots);
        if ended || room {
            self.mailbox.tell(self.id);
        }
    }

    /// No command is taken any more; the mailbox is told once all have their answers.
    pub(crate) fn ending(&self) {
        lock(&self.slots).wants_end = true;
    }

    /// Whether an answer is owed.
    pub(crate) fn owes(&self) -> bool {
        !lock(&self.slots).answers.is_empty()
    }

    /// Whether bytes wait to be read.
    pub(crate) fn has_unread(&self) -> bool {
        self.write_buffer.peek() == PeekResult::Data
    }

    /// The client is gone, or has to go: its connection is over in both directions.
    pub(crate) fn left(&self) {
        self.write_buffer.abort();
    }

    /// Whether the client closed its connection, ended its sending side, or had its connection ended by [`Client::left`].
    ///
    /// The socket itself is asked. Danger: the reader of client connections may not have come to this end yet, and its
    /// word stands in the engine's queue behind everything else; an attempt begun meanwhile is begun for nobody.
    pub(crate) fn is_gone(&self) -> bool {
        self.write_buffer.peer_closed()
    }
}
