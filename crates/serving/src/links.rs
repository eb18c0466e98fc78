//! Connections to nodes: one thread sees them come up and reads them all.

use crate::engine::Message;
use crate::pauses::Pauses;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork::AttemptResult;
use pearfork_drive::NodeReport;
use pearfork_net::{
    is_resource_shortage, lock, start_connect, Clock, Flusher, Interest, PeekResult, Poller, WriteBuffer,
};
use pearfork_platform::node_reply::{self, Answer};
use pearfork_platform::pool::LinkId;
use pearfork_resp::ReplyDecoder;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Bytes read from one connection before the next has its turn.
const PIECE: usize = 16 * 1024;

/// A connection.
pub(crate) struct Link {
    write_buffer: Arc<WriteBuffer>,
    state: Mutex<State>,
    clock: Clock,
}

struct State {
    replies: ReplyDecoder,
    /// It has not come up yet.
    coming: bool,
    /// Commands without an answer.
    out: usize,
    /// It is of no further use.
    over: bool,
    /// For the log: answers that came, when it was last free, and how long it had been when it was last written on.
    answers: u32,
    free_since: f64,
    rested_ms: f64,
}

/// A connection is of no use, and nothing was written on it.
pub(crate) struct Unfit;

impl Link {
    /// Writes a command.
    ///
    /// Danger: a node may send more than its answer. Whatever waits to be read where no answer is due belongs to no
    /// command that comes after, and would be taken for the answer to the next. Bytes are taken off the socket under
    /// this lock alone, so that none can be on the way between the socket and this look.
    pub(crate) fn send(&self, command: Bytes) -> Result<(), Unfit> {
        let mut state = lock(&self.state);
        if state.over || (state.out == 0 && self.write_buffer.peek() != PeekResult::Empty) {
            state.over = true;
            return Err(Unfit);
        }
        if state.out == 0 {
            state.rested_ms = self.clock.now_ms() - state.free_since;
        }
        state.out += 1;
        // A write that fails is a lost connection, which its reader tells.
        let _ = self.write_buffer.send(command);
        Ok(())
    }

    /// Takes a command back of which nothing has gone out, where so many were written behind it.
    pub(crate) fn take_back(&self, behind: usize) -> bool {
        let mut state = lock(&self.state);
        let back = self.write_buffer.cancel_unsent(behind);
        state.out -= usize::from(back);
        back
    }

    /// Whether the last byte of a command has not gone out, where so many were written behind it.
    pub(crate) fn is_unsent(&self, behind: usize) -> bool {
        self.write_buffer.unsent_chunks() > behind
    }

    /// Reads what came: the answers in it, and whether the connection is of further use.
    fn read(&self, piece: &mut [u8], told: &mut Vec<Answer>) -> bool {
        let mut state = lock(&self.state);
        match self.write_buffer.try_read(piece) {
            Ok(None) => return true,
            Ok(Some(0)) | Err(_) => {
                state.over = true;
                return false;
            }
            Ok(Some(n)) => state.replies.buffer().extend_from_slice(&piece[..n]),
        }
        let good = state.take(told);
        state.free_since = self.clock.now_ms();
        state.over |= !good;
        good
    }
}

impl State {
    /// Takes the answers that came; false where the connection is of no further use.
    fn take(&mut self, told: &mut Vec<Answer>) -> bool {
        while self.out > 0 {
            match self.replies.next_reply() {
                Ok(Some(reply)) => {
                    (self.out, self.answers) = (self.out - 1, self.answers + 1);
                    let answer = node_reply::parse(reply);
                    tracing::trace!(rested_ms = self.rested_ms as u64, answers = self.answers, verdict = ?answer.verdict, "answered");
                    told.push(answer);
                }
                Ok(None) => return true,
                Err(fault) => {
                    self.out -= 1;
                    tracing::debug!(%fault, "spoilt answer");
                    told.push(Answer {
                        verdict: AttemptResult::Error,
                        value: None,
                        told: NodeReport::default(),
                    });
                    return false;
                }
            }
        }
        // More than was asked for.
        !self.replies.has_partial()
    }
}

/// What became of the beginning of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Begun {
    /// It comes up, or the engine is told that it does not.
    Coming,
    /// This host is short of ports, descriptors or memory in this moment: its node has nothing to do with it.
    Later,
    /// It can't be had.
    Refused,
}

/// The connections of a host to its nodes.
pub(crate) struct Nodes {
    engine: Sender<Message>,
    clock: Clock,
    flusher: Flusher,
    poller: Poller,
    links: Mutex<HashMap<LinkId, Arc<Link>>>,
    stopped: AtomicBool,
    pub(crate) pauses: Pauses,
}

impl Nodes {
    pub(crate) fn new(engine: Sender<Message>, clock: Clock, flusher: Flusher, poller: Poller) -> Nodes {
        let (links, stopped, pauses) = (Mutex::default(), AtomicBool::new(false), Pauses::default());
        Nodes { engine, clock, flusher, poller, links, stopped, pauses }
    }

    /// Begins to connect; the engine is told what became of it.
    pub(crate) fn open(&self, id: LinkId, address: &SocketAddr) -> Begun {
        let stream = match start_connect(address) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(link = id, %address, %error, "no connection");
                return if is_resource_shortage(&error) { Begun::Later } else { Begun::Refused };
            }
        };
        let _ = stream.set_nodelay(true);
        self.pauses.connects(&stream);
        let state = State {
            replies: ReplyDecoder::new(node_reply::LIMITS),
            coming: true,
            out: 0,
            over: false,
            answers: 0,
            free_since: 0.0,
            rested_ms: 0.0,
        };
        let write_buffer = WriteBuffer::new(stream, &self.flusher);
        let link = Arc::new(Link { write_buffer, state: Mutex::new(state), clock: self.clock });
        let mut links = lock(&self.links);
        if let Err(error) = self.poller.add(link.write_buffer.stream(), id, Interest::Writable) {
            tracing::debug!(link = id, %address, %error, "a connection can't be watched");
            return Begun::Later;
        }
        links.insert(id, link);
        Begun::Coming
    }

    /// Closes a connection, which the engine is not told.
    pub(crate) fn close(&self, id: LinkId) {
        let link = lock(&self.links).remove(&id);
        if let Some(link) = link {
            self.poller.remove(link.write_buffer.stream());
            lock(&link.state).over = true;
            link.write_buffer.shutdown();
        }
    }

    /// Ends the thread that reads.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.poller.wake();
    }

    /// Reads all connections until told to stop.
    pub(crate) fn run(&self) {
        let (mut ready, mut told) = (Vec::new(), Vec::new());
        let mut piece = vec![0u8; PIECE];
        while !self.stopped.load(Ordering::SeqCst) {
            if let Err(why) = self.poller.wait(&mut ready, None) {
                tracing::error!(%why, "connections to nodes can't be waited for");
                return;
            }
            for one in &ready {
                let Some(link) = lock(&self.links).get(&one.token).cloned() else { continue };
                let coming = lock(&link.state).coming;
                if coming {
                    self.came(one.token, &link);
                    continue;
                }
                let good = link.read(&mut piece, &mut told);
                for answer in told.drain(..) {
                    let message = Message::Answered { link: one.token, answer, at: self.clock.now_ms() };
                    let _ = self.engine.send(message);
                }
                if !good {
                    self.over(one.token, &link);
                }
            }
        }
    }

    /// A connection came up, or failed.
    fn came(&self, id: LinkId, link: &Arc<Link>) {
        let stream = link.write_buffer.stream();
        let failed = match stream.take_error() {
            Ok(None) => self.poller.modify(stream, id, Interest::Readable).err(),
            Ok(Some(e)) | Err(e) => Some(e),
        };
        if let Some(error) = failed {
            tracing::debug!(%error, link = id, "no connection");
            self.close(id);
            let _ = self.engine.send(Message::NotUp(id));
            return;
        }
        {
            let mut state = lock(&link.state);
            (state.coming, state.free_since) = (false, self.clock.now_ms());
        }
        let _ = self.engine.send(Message::Up(id, link.clone()));
    }

    /// A connection is over by the node's doing.
    fn over(&self, id: LinkId, link: &Link) {
        // Nothing goes out behind this count.
        let unsent = link.write_buffer.abort();
        {
            let state = lock(&link.state);
            if state.out > 0 {
                let (answers, rested_ms) = (state.answers, state.rested_ms as u64);
                tracing::debug!(link = id, out = state.out, answers, rested_ms, unsent, "connection over");
            }
        }
        self.close(id);
        let _ = self.engine.send(Message::Over { link: id, unsent });
    }
}
