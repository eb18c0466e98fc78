//! Connections (links) to nodes, and the thread that opens and reads them.

use crate::engine::Message;
use crate::test_hooks::TestHooks;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork::AttemptResult;
use pearfork_drive::NodeReport;
use pearfork_net::{
    is_resource_shortage, lock, start_connect, Clock, Flusher, Interest, PeekResult, Poller, WriteBuffer,
};
use pearfork_platform::memory::{ByteAccount, ByteBudget, HeldBytes};
use pearfork_platform::node_reply::{self, NodeReply};
use pearfork_platform::pool::LinkId;
use pearfork_resp::ReplyDecoder;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Maximum number of bytes read from one connection before the next one is read.
const READ_CHUNK: usize = 16 * 1024;

/// A link to a node.
pub(crate) struct Link {
    write_buffer: Arc<WriteBuffer>,
    state: Mutex<State>,
    /// Counts the replies of this link until they are handled.
    account: Arc<ByteAccount>,
    clock: Clock,
}

struct State {
    decoder: ReplyDecoder,
    /// Counts what the decoder holds.
    input: HeldBytes,
    /// The connection is not established yet.
    connecting: bool,
    /// A command was written and not answered.
    awaits_reply: bool,
    /// The link must not be used again.
    closed: bool,
    /// For the log: number of replies received, time at which the link was last idle, and how long it had
    /// been idle when it was last written on.
    reply_count: u32,
    idle_since: f64,
    idle_ms: f64,
}

/// The link cannot be used, and nothing was written on it.
pub(crate) struct LinkUnusable;

impl Link {
    /// Writes a command. Fails, and marks the link as closed, if the link is closed or in use, or has something
    /// to read although no reply is due.
    ///
    /// A node may send more than its reply. The surplus would be taken for the reply to the next command.
    /// Data is read from the socket only under this lock, so none can be in transit between the socket and
    /// this check.
    pub(crate) fn send(&self, command: Bytes) -> Result<(), LinkUnusable> {
        let mut state = lock(&self.state);
        if state.closed || state.awaits_reply || self.write_buffer.peek() != PeekResult::Empty {
            state.closed = true;
            return Err(LinkUnusable);
        }
        state.idle_ms = self.clock.now_ms() - state.idle_since;
        state.awaits_reply = true;
        // A failed write closes the connection, which its reader notices.
        let _ = self.write_buffer.send(command);
        Ok(())
    }

    /// Removes the command from the write buffer if nothing of it has been sent; returns whether it did.
    pub(crate) fn retract(&self) -> bool {
        let mut state = lock(&self.state);
        let retracted = self.write_buffer.cancel_unsent(0);
        state.awaits_reply &= !retracted;
        retracted
    }

    /// Whether the command has not been sent completely.
    pub(crate) fn is_unsent(&self) -> bool {
        self.write_buffer.unsent_chunks() > 0
    }

    /// Reads data and decodes the replies in it. Returns whether the link may be used further.
    fn read(&self, chunk: &mut [u8], replies: &mut Vec<NodeReply>) -> bool {
        let mut state = lock(&self.state);
        match self.write_buffer.try_read(chunk) {
            Ok(None) => return true,
            Ok(Some(0)) | Err(_) => {
                state.closed = true;
                return false;
            }
            Ok(Some(n)) if !self.account.has_room(n) => {
                tracing::warn!(bytes = self.account.held() + n, "no memory for the reply of a node");
                state.closed = true;
                return false;
            }
            Ok(Some(n)) => state.decoder.buffer().extend_from_slice(&chunk[..n]),
        }
        // A value that comes before its command has gone out whole was not made for it, and the rest of the
        // command would go out ahead of the next one.
        let is_unsent = self.is_unsent();
        let is_valid = state.decode(replies);
        let is_early = is_unsent && !replies.is_empty();
        let usable = is_valid && !is_early;
        if is_early {
            replies.iter_mut().filter(|r| r.result == AttemptResult::Served).for_each(|r| *r = error_reply());
        }
        let buffered = state.decoder.buffered_bytes();
        state.input.set(buffered);
        state.idle_since = self.clock.now_ms();
        state.closed |= !usable;
        usable
    }
}

/// The reply that stands for one that cannot be used: its attempt failed and may have run.
fn error_reply() -> NodeReply {
    NodeReply { result: AttemptResult::Error, value: None, report: NodeReport::default() }
}

impl State {
    /// Decodes the reply that is due. Returns `false` if the link must not be used further.
    fn decode(&mut self, replies: &mut Vec<NodeReply>) -> bool {
        if self.awaits_reply {
            match self.decoder.next_reply() {
                Ok(Some(reply)) => {
                    (self.awaits_reply, self.reply_count) = (false, self.reply_count + 1);
                    let reply = node_reply::parse(reply);
                    tracing::trace!(
                        rested_ms = self.idle_ms as u64,
                        answers = self.reply_count,
                        verdict = ?reply.result,
                        "answered"
                    );
                    replies.push(reply);
                }
                Ok(None) => return true,
                Err(error) => {
                    self.awaits_reply = false;
                    tracing::debug!(fault = %error, "malformed reply");
                    replies.push(error_reply());
                    return false;
                }
            }
        }
        // Data that no command asked for.
        !self.decoder.has_partial()
    }
}

/// Result of starting to connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectStart {
    /// Connecting; the engine is notified of the outcome.
    InProgress,
    /// The host lacks ports, descriptors or memory at the moment; the node is not at fault.
    ResourceShortage,
    /// The connection was refused.
    Failed,
}

/// The links of a host to its nodes.
pub(crate) struct NodeLinks {
    engine: Sender<Message>,
    clock: Clock,
    flusher: Flusher,
    poller: Poller,
    budget: Arc<ByteBudget>,
    links: Mutex<HashMap<LinkId, Arc<Link>>>,
    is_stopped: AtomicBool,
    pub(crate) hooks: TestHooks,
}

impl NodeLinks {
    pub(crate) fn new(
        engine: Sender<Message>,
        clock: Clock,
        flusher: Flusher,
        poller: Poller,
        budget: Arc<ByteBudget>,
    ) -> NodeLinks {
        let (links, is_stopped, hooks) = (Mutex::default(), AtomicBool::new(false), TestHooks::default());
        NodeLinks { engine, clock, flusher, poller, budget, links, is_stopped, hooks }
    }

    /// Starts to connect. The engine is notified of the outcome.
    pub(crate) fn open(&self, id: LinkId, address: &SocketAddr) -> ConnectStart {
        let stream = match start_connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(link = id, %address, %error, "connect failed");
                return if is_resource_shortage(&error) {
                    ConnectStart::ResourceShortage
                } else {
                    ConnectStart::Failed
                };
            }
        };
        let _ = stream.set_nodelay(true);
        self.hooks.connecting(&stream);
        let account = self.budget.open_account();
        let state = State {
            input: account.hold(0),
            decoder: ReplyDecoder::new(node_reply::LIMITS),
            connecting: true,
            awaits_reply: false,
            closed: false,
            reply_count: 0,
            idle_since: 0.0,
            idle_ms: 0.0,
        };
        let write_buffer = WriteBuffer::new(stream, &self.flusher);
        let link = Arc::new(Link { write_buffer, state: Mutex::new(state), account, clock: self.clock });
        let mut links = lock(&self.links);
        if let Err(error) = self.poller.add(link.write_buffer.stream(), id, Interest::Writable) {
            tracing::debug!(link = id, %address, %error, "link cannot be polled");
            return ConnectStart::ResourceShortage;
        }
        links.insert(id, link);
        ConnectStart::InProgress
    }

    /// Closes a link without notifying the engine.
    pub(crate) fn close(&self, id: LinkId) {
        let link = lock(&self.links).remove(&id);
        if let Some(link) = link {
            self.poller.remove(link.write_buffer.stream());
            lock(&link.state).closed = true;
            link.write_buffer.shutdown();
        }
    }

    /// Makes [`NodeLinks::run`] return, without waiting for it.
    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.poller.wake();
    }

    /// Reads all links until stopped.
    pub(crate) fn run(&self) {
        let (mut ready, mut replies) = (Vec::new(), Vec::new());
        let mut chunk = vec![0u8; READ_CHUNK];
        while !self.is_stopped.load(Ordering::SeqCst) {
            if let Err(why) = self.poller.wait(&mut ready, None) {
                tracing::error!(%why, "polling node links failed");
                return;
            }
            for event in &ready {
                let Some(link) = lock(&self.links).get(&event.token).cloned() else { continue };
                let is_connecting = lock(&link.state).connecting;
                if is_connecting {
                    self.connect_finished(event.token, &link);
                    continue;
                }
                let usable = link.read(&mut chunk, &mut replies);
                for reply in replies.drain(..) {
                    let held = link.account.hold(reply.value.as_ref().map_or(0, Bytes::len));
                    let received_at = self.clock.now_ms();
                    let message = Message::Reply { link: event.token, reply, received_at, held };
                    let _ = self.engine.send(message);
                }
                if !usable {
                    self.link_ended(event.token, &link);
                }
            }
        }
    }

    /// A connection was established or failed.
    fn connect_finished(&self, id: LinkId, link: &Arc<Link>) {
        let stream = link.write_buffer.stream();
        let failed = match stream.take_error() {
            Ok(None) => self.poller.modify(stream, id, Interest::Readable).err(),
            Ok(Some(e)) | Err(e) => Some(e),
        };
        if let Some(error) = failed {
            tracing::debug!(%error, link = id, "connect failed");
            self.close(id);
            let _ = self.engine.send(Message::LinkFailed(id));
            return;
        }
        {
            let mut state = lock(&link.state);
            (state.connecting, state.idle_since) = (false, self.clock.now_ms());
        }
        let _ = self.engine.send(Message::LinkOpened(id, link.clone()));
    }

    /// Closes a link that its node closed or that failed.
    fn link_ended(&self, id: LinkId, link: &Link) {
        // Nothing is sent after this count.
        let is_sent = link.write_buffer.abort() == 0;
        {
            let state = lock(&link.state);
            if state.awaits_reply {
                let (answers, rested_ms) = (state.reply_count, state.idle_ms as u64);
                tracing::debug!(link = id, answers, rested_ms, is_sent, "link closed under a command");
            }
        }
        self.close(id);
        let _ = self.engine.send(Message::LinkClosed { link: id, is_sent });
    }
}
