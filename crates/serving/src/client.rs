//! One client connection. Replies are sent in the order of the commands.

use bytes::{Bytes, BytesMut};
use pearfork_net::{lock, PeekResult, Poller, WriteBuffer};
use pearfork_platform::clients::{ClientId, ClientTable};
use pearfork_platform::memory::ByteAccount;
use pearfork_platform::request::MAX_VALUE_BYTES;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Maximum number of unanswered commands of a connection; beyond it the connection is not read. Replies that
/// the client has not read count as well, each with the maximum size of a reply.
const MAX_OPEN_COMMANDS: usize = 32;

/// Largest reply that is copied to be written together with others, in bytes.
const MAX_JOINED_REPLY: usize = 256;

/// Notifications from connections to the thread that reads them.
pub(crate) struct Mailbox {
    pub(crate) poller: Poller,
    notified: Mutex<Vec<ClientId>>,
}

impl Mailbox {
    pub(crate) fn new(poller: Poller) -> Mailbox {
        Mailbox { poller, notified: Mutex::default() }
    }

    /// Notifies the reader that a connection has changed in a way that it waits for.
    fn notify(&self, id: ClientId) {
        lock(&self.notified).push(id);
        self.poller.wake();
    }

    /// Returns the connections that sent a notification since the last call.
    pub(crate) fn take(&self) -> Vec<ClientId> {
        std::mem::take(&mut *lock(&self.notified))
    }
}

/// Counts a descriptor in the table of client connections while it is open.
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

/// A client connection.
pub(crate) struct Client {
    pub(crate) id: ClientId,
    pub(crate) write_buffer: Arc<WriteBuffer>,
    /// Counts the commands of this connection and the replies to them.
    pub(crate) account: Arc<ByteAccount>,
    queue: Mutex<ReplyQueue>,
    mailbox: Arc<Mailbox>,
    /// Dropped after `write_buffer`, which closes the descriptor.
    _descriptor: CountedDescriptor,
}

/// Replies in the order of their commands. A slot is `None` until its command is answered.
#[derive(Default)]
struct ReplyQueue {
    /// Number of the first slot that is not yet sent.
    first_slot: u64,
    replies: VecDeque<Option<Bytes>>,
    /// The reader waits until another command may be accepted.
    notify_below_limit: bool,
    /// The reader waits for the last reply.
    notify_when_done: bool,
}

impl Client {
    pub(crate) fn new(
        id: ClientId,
        write_buffer: Arc<WriteBuffer>,
        account: Arc<ByteAccount>,
        mailbox: Arc<Mailbox>,
        table: Arc<Mutex<ClientTable>>,
    ) -> Client {
        let _descriptor = CountedDescriptor::new(table);
        Client { id, write_buffer, account, queue: Mutex::default(), mailbox, _descriptor }
    }

    /// Whether another command may be accepted. If not, the mailbox is notified when enough commands are
    /// answered; the reader itself checks whether enough bytes are released.
    pub(crate) fn can_accept_command(&self) -> bool {
        let unread_replies = self.write_buffer.buffered_bytes().div_ceil(MAX_VALUE_BYTES);
        let mut queue = lock(&self.queue);
        queue.notify_below_limit = queue.replies.len() >= MAX_OPEN_COMMANDS;
        queue.replies.len() + unread_replies < MAX_OPEN_COMMANDS && self.account.may_read()
    }

    /// Whether the client has not yet taken all replies that were written.
    pub(crate) fn has_unsent(&self) -> bool {
        self.write_buffer.buffered_bytes() > 0
    }

    /// Whether all commands are answered and the client has taken the replies.
    pub(crate) fn owes_nothing(&self) -> bool {
        !self.has_open_commands() && !self.has_unsent()
    }

    /// Whether the connection, which is not read, can become readable without a notification to the mailbox:
    /// as the client takes replies, or as any connection releases bytes.
    pub(crate) fn waits_for_bytes(&self) -> bool {
        self.has_unsent() || !lock(&self.queue).notify_below_limit
    }

    /// Reserves the slot for the reply to the next command.
    pub(crate) fn reserve_slot(&self) -> u64 {
        let mut queue = lock(&self.queue);
        queue.replies.push_back(None);
        queue.first_slot + queue.replies.len() as u64 - 1
    }

    /// Sends the reply to a command, once all earlier replies are.
    pub(crate) fn reply(&self, slot: u64, bytes: Bytes) {
        self.store_reply(slot, bytes);
        self.send_replies();
    }

    /// Stores the reply to a command for [`Client::send_replies`].
    pub(crate) fn store_reply(&self, slot: u64, bytes: Bytes) {
        let mut queue = lock(&self.queue);
        let Some(index) = slot.checked_sub(queue.first_slot) else { return };
        if let Some(reply) = queue.replies.get_mut(index as usize) {
            *reply = Some(self.account.hold(bytes.len()).attach_to(bytes));
        }
    }

    /// Sends the stored replies that no earlier one is missing for; small ones together, since each write is a system
    /// call.
    pub(crate) fn send_replies(&self) {
        let mut queue = lock(&self.queue);
        let mut small = BytesMut::new();
        while matches!(queue.replies.front(), Some(Some(_))) {
            let Some(Some(bytes)) = queue.replies.pop_front() else { break };
            queue.first_slot += 1;
            let next_is_ready = matches!(queue.replies.front(), Some(Some(_)));
            if bytes.len() <= MAX_JOINED_REPLY && (next_is_ready || !small.is_empty()) {
                small.extend_from_slice(&bytes);
                continue;
            }
            self.write_joined(&mut small);
            self.write(bytes);
        }
        self.write_joined(&mut small);
        let done = queue.notify_when_done && queue.replies.is_empty();
        let below_limit = queue.notify_below_limit && queue.replies.len() < MAX_OPEN_COMMANDS;
        queue.notify_below_limit &= !below_limit;
        drop(queue);
        if done || below_limit {
            self.mailbox.notify(self.id);
        }
    }

    fn write_joined(&self, small: &mut BytesMut) {
        if !small.is_empty() {
            let bytes = small.split().freeze();
            self.write(self.account.hold(bytes.len()).attach_to(bytes));
        }
    }

    fn write(&self, bytes: Bytes) {
        // A failed write shuts the connection down, which its reader notices.
        let _ = self.write_buffer.send(bytes);
    }

    /// Stops accepting commands; the mailbox is notified once all replies are written.
    pub(crate) fn stop_accepting(&self) {
        lock(&self.queue).notify_when_done = true;
    }

    /// Whether a command is unanswered.
    pub(crate) fn has_open_commands(&self) -> bool {
        !lock(&self.queue).replies.is_empty()
    }

    /// Whether received data has not been read yet.
    pub(crate) fn has_unread(&self) -> bool {
        self.write_buffer.peek() == PeekResult::Data
    }

    /// Closes the connection in both directions because the client disconnected or is being evicted.
    pub(crate) fn disconnect(&self) {
        self.write_buffer.abort();
    }

    /// Whether the client closed the connection, shut down its sending side, or was disconnected by
    /// [`Client::disconnect`].
    ///
    /// This queries the socket itself. The client reader may not have seen the end of the connection yet, and
    /// its notification is queued behind everything else the engine has to do; an attempt started in the
    /// meantime would be sent for a client that no longer waits.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.write_buffer.peer_closed()
    }
}
