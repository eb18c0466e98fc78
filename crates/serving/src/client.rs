//! One client connection: answers go out in the order of its commands.

use bytes::Bytes;
use pearfork_net::{lock, Poller, Waiting, WriteBuffer};
use pearfork_platform::clients::ClientId;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Commands of one connection without an answer; beyond it no more is read from it.
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

    /// A connection is over, or has room for commands again.
    fn tell(&self, id: ClientId) {
        lock(&self.told).push(id);
        self.poller.wake();
    }

    /// Those that told something since the last call.
    pub(crate) fn take(&self) -> Vec<ClientId> {
        std::mem::take(&mut *lock(&self.told))
    }
}

/// One connection.
pub(crate) struct Client {
    pub(crate) id: ClientId,
    pub(crate) write_buffer: Arc<WriteBuffer>,
    slots: Mutex<Slots>,
    mailbox: Arc<Mailbox>,
}

/// Answers in the order of their commands.
#[derive(Default)]
struct Slots {
    /// Number of the first that waits.
    first: u64,
    answers: VecDeque<Option<Bytes>>,
    /// The reader waits for room.
    wanted: bool,
    /// Over once the last of them has gone out.
    last: bool,
    over: bool,
}

impl Client {
    pub(crate) fn new(id: ClientId, write_buffer: Arc<WriteBuffer>, mailbox: Arc<Mailbox>) -> Client {
        Client { id, write_buffer, slots: Mutex::default(), mailbox }
    }

    /// Whether one more command may be taken; if not, the mailbox is told when it may.
    pub(crate) fn has_room(&self) -> bool {
        let mut slots = lock(&self.slots);
        slots.wanted = slots.answers.len() >= MOST_OPEN;
        !slots.wanted
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
                slots.over |= self.write_buffer.put(bytes).is_err();
            }
        }
        let ends = slots.over || (slots.last && slots.answers.is_empty());
        let room = slots.wanted && slots.answers.len() < MOST_OPEN;
        slots.wanted &= !room;
        drop(slots);
        if ends {
            self.shut();
        } else if room {
            self.mailbox.tell(self.id);
        }
    }

    /// Shut behind the last answer.
    pub(crate) fn finish(&self) {
        let mut slots = lock(&self.slots);
        slots.last = true;
        let ends = slots.answers.is_empty();
        drop(slots);
        if ends {
            self.shut();
        }
    }

    /// Whether nothing of a request waits to be read, nor of an answer to be written.
    pub(crate) fn is_quiet(&self) -> bool {
        self.write_buffer.waiting() != Waiting::Bytes && self.write_buffer.kept() == 0
    }

    pub(crate) fn is_over(&self) -> bool {
        lock(&self.slots).over
    }

    /// Ends it; the mailbox is told.
    pub(crate) fn shut(&self) {
        lock(&self.slots).over = true;
        self.write_buffer.shut();
        self.mailbox.tell(self.id);
    }
}
