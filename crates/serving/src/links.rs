//! Connections to nodes: one thread connects and then reads.

use crate::engine::Message;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork::Verdict;
use pearfork_drive::Told;
use pearfork_net::{lock, spawn_small, Clock, Flusher, Outbox, Waiting};
use pearfork_platform::answer::{self, Answer};
use pearfork_platform::pool::LinkId;
use pearfork_resp::Replies;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An open connection.
pub(crate) struct Link {
    outbox: Arc<Outbox>,
    state: Mutex<State>,
    clock: Clock,
}

struct State {
    replies: Replies,
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
        if state.over || (state.out == 0 && self.outbox.waiting() != Waiting::Nothing) {
            state.over = true;
            return Err(Unfit);
        }
        if state.out == 0 {
            state.rested_ms = self.clock.now_ms() - state.free_since;
        }
        state.out += 1;
        // A write that fails is a lost connection, which its reader tells.
        let _ = self.outbox.put(command);
        Ok(())
    }

    pub(crate) fn shut(&self) {
        self.outbox.shut();
    }

    fn read(&self, told: &dyn Fn(Answer)) {
        let mut piece = vec![0u8; 4096];
        loop {
            // Waits without taking.
            match self.outbox.stream().peek(&mut piece[..1]) {
                Ok(0) => return,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => continue,
                Err(_) => return,
                Ok(_) => {}
            }
            let mut state = lock(&self.state);
            match self.outbox.read_now(&mut piece) {
                Ok(Some(0)) | Err(_) => return,
                Ok(None) => continue,
                Ok(Some(n)) => state.replies.buffer().extend_from_slice(&piece[..n]),
            }
            let good = state.take(told);
            state.free_since = self.clock.now_ms();
            if !good {
                state.over = true;
                return;
            }
        }
    }
}

impl State {
    /// Takes the answers that came; false where the connection is of no further use.
    fn take(&mut self, told: &dyn Fn(Answer)) -> bool {
        while self.out > 0 {
            match self.replies.next_reply() {
                Ok(Some(reply)) => {
                    (self.out, self.answers) = (self.out - 1, self.answers + 1);
                    let answer = answer::read(reply);
                    tracing::trace!(rested_ms = self.rested_ms as u64, answers = self.answers, verdict = ?answer.verdict, "answered");
                    told(answer);
                }
                Ok(None) => return true,
                Err(fault) => {
                    self.out -= 1;
                    tracing::debug!(%fault, "spoilt answer");
                    told(Answer { verdict: Verdict::Error, value: None, told: Told::default() });
                    return false;
                }
            }
        }
        // More than was asked for.
        !self.replies.is_within()
    }
}

/// What connections to nodes share.
#[derive(Clone)]
pub(crate) struct Nodes {
    pub(crate) engine: Sender<Message>,
    pub(crate) clock: Clock,
    pub(crate) flusher: Flusher,
    pub(crate) within: Duration,
}

impl Nodes {
    /// Connects in a thread of its own, which then reads. False: there is no thread.
    pub(crate) fn open(&self, id: LinkId, address: SocketAddr) -> bool {
        let nodes = self.clone();
        spawn_small("node", move || nodes.run(id, address)).is_ok()
    }

    fn run(&self, id: LinkId, address: SocketAddr) {
        let stream = match TcpStream::connect_timeout(&address, self.within) {
            Ok(stream) => stream,
            Err(error) => {
                tracing::debug!(%address, %error, "no connection");
                let _ = self.engine.send(Message::NotUp(id));
                return;
            }
        };
        let _ = stream.set_nodelay(true);
        let state = State {
            replies: Replies::new(answer::REPLY),
            out: 0,
            over: false,
            answers: 0,
            free_since: self.clock.now_ms(),
            rested_ms: 0.0,
        };
        let (outbox, state) = (Outbox::new(stream, &self.flusher), Mutex::new(state));
        let link = Arc::new(Link { outbox, state, clock: self.clock });
        if self.engine.send(Message::Up(id, link.clone())).is_err() {
            return;
        }
        link.read(&|answer| {
            let _ = self.engine.send(Message::Answered { link: id, answer, at: self.clock.now_ms() });
        });
        let unsent = link.outbox.kept() > 0;
        {
            let mut state = lock(&link.state);
            state.over = true;
            if state.out > 0 {
                let (answers, rested_ms) = (state.answers, state.rested_ms as u64);
                tracing::debug!(%address, out = state.out, answers, rested_ms, unsent, "connection over");
            }
        }
        link.shut();
        let _ = self.engine.send(Message::Over { link: id, unsent });
    }
}
