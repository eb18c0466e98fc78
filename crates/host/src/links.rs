//! Sessions to storage nodes, one for each, opened when the module first sends there.
//!
//! A link neither repeats nor waits of its own accord: what can't be sent is told to the module as never sent,
//! what was sent and lost as lost, and the next attempt that the module sends opens the connection anew.

use crate::dispatcher::{AttemptId, Ended, Order, Served};
use crate::engine::Message;
use crossbeam_channel::Sender;
use pearfork_iscsi::{Command, CommandCompletion, InitiatorConfig};
use pearfork_net::{lock, spawn_small_stack, Clock, CommandToken, Connection, ConnectionEvent, StreamTap};
use pearfork_scsi::{encode_lun, status, Sense, SenseKey};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An attempt as a connection knows it.
pub(crate) struct Sent {
    id: AttemptId,
    wanted: Arc<AtomicBool>,
    not_after: Option<Instant>,
    read_len: usize,
}

impl CommandToken for Sent {
    fn is_needed(&self) -> bool {
        self.wanted.load(Ordering::SeqCst) && !over(self.not_after)
    }
}

/// Whether a moment has come.
fn over(not_after: Option<Instant>) -> bool {
    not_after.is_some_and(|at| Instant::now() >= at)
}

enum State {
    Closed,
    /// A thread connects; these wait for it.
    Opening(Vec<Order>),
    Open(Arc<Connection<Sent>>),
}

struct Link {
    state: Mutex<State>,
}

/// Attempts that wait for a connection under way; more are told as never sent.
const MOST_WAITING: usize = 256;

/// All links of a host.
pub(crate) struct Links {
    initiator: String,
    node_target: String,
    extension: bool,
    connect_timeout: Duration,
    engine: Sender<Message>,
    clock: Clock,
    addresses: Mutex<HashMap<u32, SocketAddr>>,
    links: Mutex<HashMap<u32, Arc<Link>>>,
}

impl Links {
    pub(crate) fn new(
        host: u16,
        node_target: &str,
        extension: bool,
        connect_timeout: Duration,
        engine: Sender<Message>,
        clock: Clock,
    ) -> Arc<Links> {
        Arc::new(Links {
            initiator: format!("iqn.2026-12.org.pearfork:host{host}"),
            node_target: node_target.to_owned(),
            extension,
            connect_timeout,
            engine,
            clock,
            addresses: Mutex::default(),
            links: Mutex::default(),
        })
    }

    /// Where nodes are, as the node list has it.
    pub(crate) fn set_addresses(&self, addresses: impl Iterator<Item = (u32, SocketAddr)>) {
        let mut known = lock(&self.addresses);
        for (node, address) in addresses {
            if known.insert(node, address).is_some_and(|old| old != address) {
                // The node came back elsewhere: the old connection leads nowhere.
                if let Some(link) = lock(&self.links).get(&node) {
                    if let State::Open(c) = &*lock(&link.state) {
                        c.close();
                    }
                }
            }
        }
    }

    /// Sends an attempt; never blocks.
    pub(crate) fn send(self: &Arc<Self>, node: u32, order: Order) {
        let link = lock(&self.links).entry(node).or_insert_with(|| Arc::new(Link::new())).clone();
        let mut state = lock(&link.state);
        match &mut *state {
            State::Open(c) if c.is_open() => {
                let c = c.clone();
                drop(state);
                self.submit(&c, order);
            }
            State::Opening(waiting) if waiting.len() < MOST_WAITING => waiting.push(order),
            State::Opening(_) => {
                drop(state);
                self.never_sent(order.attempt);
            }
            State::Closed | State::Open(_) => {
                *state = State::Opening(vec![order]);
                drop(state);
                let (links, opening) = (self.clone(), link.clone());
                let spawned = spawn_small_stack("node-connect", move || links.open(node, &opening));
                if spawned.is_err() {
                    self.give_up(&link);
                }
            }
        }
    }

    fn open(self: &Arc<Self>, node: u32, link: &Arc<Link>) {
        let address = lock(&self.addresses).get(&node).copied();
        let opened = address.and_then(|address| {
            let config = InitiatorConfig {
                name: self.initiator.clone(),
                target: Some(self.node_target.clone()),
                isid: [0x80, 0, 0, 0, 0, 1],
                digests: false,
                extension: self.extension,
            };
            let engine = self.engine.clone();
            let events = move |event| on_event(&engine, node, event);
            Connection::open(address, config, self.connect_timeout, StreamTap::default(), events)
                .inspect_err(|e| tracing::debug!(node, error = %e, "no connection"))
                .ok()
        });
        let Some(connection) = opened else { return self.give_up(link) };
        if self.extension && !connection.extension_negotiated() {
            // Danger: a node that is told no key can't drop a repeat, and the module counts on it that it does.
            tracing::error!(
                node,
                "the node does not speak the extension that the settings offer; it gets no work"
            );
            connection.close();
            return self.give_up(link);
        }
        let waiting = match std::mem::replace(&mut *lock(&link.state), State::Open(connection.clone())) {
            State::Opening(waiting) => waiting,
            State::Closed | State::Open(_) => Vec::new(),
        };
        for order in waiting {
            self.submit(&connection, order);
        }
    }

    /// No connection: all that waited for it was never sent.
    fn give_up(&self, link: &Link) {
        let state = std::mem::replace(&mut *lock(&link.state), State::Closed);
        if let State::Opening(waiting) = state {
            waiting.into_iter().for_each(|o| self.never_sent(o.attempt));
        }
    }

    fn submit(&self, connection: &Connection<Sent>, order: Order) {
        if !order.wanted.load(Ordering::SeqCst) {
            return;
        }
        let not_after = order.not_after_ms.is_finite().then(|| self.clock.instant(order.not_after_ms));
        if over(not_after) {
            // Danger: a host that stood still between deciding and sending would send by a part that is another's now.
            return self.not_sent(order.attempt, Ended::Moot);
        }
        let read_len = order.media.data_in_length(order.block_len) as u32;
        let command = Command {
            lun: encode_lun(order.volume.0 as u16),
            cdb: order.media.to_cdb(),
            read_len,
            data: order.data,
            metadata: Some(order.tag),
        };
        let sent = Sent { id: order.attempt, wanted: order.wanted, not_after, read_len: read_len as usize };
        if let Err(sent) = connection.submit(sent, command) {
            self.never_sent(sent.id);
        }
    }

    /// Told by way of the channel as all outcomes. The engine itself may be the caller, and must not wait for
    /// itself: a full channel is left to a thread.
    fn never_sent(&self, id: AttemptId) {
        self.not_sent(id, Ended::ConnectFailed);
    }

    fn not_sent(&self, id: AttemptId, ended: Ended) {
        let message = Message::ended(id, ended, None);
        if let Err(crossbeam_channel::TrySendError::Full(message)) = self.engine.try_send(message) {
            let engine = self.engine.clone();
            // Without a thread the attempt's own time-out ends it.
            let _ = spawn_small_stack("outcome", move || drop(engine.send(message)));
        }
    }

    /// Tells a node that an attempt is no longer waited for.
    pub(crate) fn abort(&self, node: u32, id: AttemptId) {
        let Some(link) = lock(&self.links).get(&node).cloned() else { return };
        let mut state = lock(&link.state);
        match &mut *state {
            State::Open(c) => {
                let c = c.clone();
                drop(state);
                c.abort(|t| t.id == id);
            }
            State::Opening(waiting) => waiting.retain(|o| o.attempt != id),
            State::Closed => {}
        }
    }

    /// Closes the connection to a node where nothing is out on it.
    pub(crate) fn close_idle(&self, node: u32) {
        let Some(link) = lock(&self.links).get(&node).cloned() else { return };
        if let State::Open(c) = &*lock(&link.state) {
            if c.outstanding() == 0 {
                c.close();
            }
        };
    }

    /// Drops all connections.
    pub(crate) fn close_all(&self) {
        for link in lock(&self.links).values() {
            if let State::Open(c) = &*lock(&link.state) {
                c.close();
            }
        }
    }
}

impl Link {
    fn new() -> Link {
        Link { state: Mutex::new(State::Closed) }
    }
}

fn on_event(engine: &Sender<Message>, node: u32, event: ConnectionEvent<Sent>) {
    let tell = |id, ended, report| drop(engine.send(Message::ended(id, ended, report)));
    match event {
        ConnectionEvent::Completed(sent, done) => {
            let report = done.report;
            tell(sent.id, verdict(*done, sent.read_len), report);
        }
        // The abort was ours and its outcome is known already.
        ConnectionEvent::Aborted(_) => {}
        ConnectionEvent::LogoutRequested => tracing::debug!(node, "the node asks for a logout"),
        ConnectionEvent::Closed(why, sent, unsent) => {
            tracing::debug!(node, why, lost = sent.len(), "connection over");
            sent.into_iter().for_each(|s| tell(s.id, Ended::Reset, None));
            unsent
                .into_iter()
                .filter(CommandToken::is_needed)
                .for_each(|s| tell(s.id, Ended::ConnectFailed, None));
        }
    }
}

/// What a SCSI status of a node says of an attempt.
fn verdict(done: CommandCompletion, read_len: usize) -> Ended {
    match done.status {
        // Danger: fewer bytes than asked for, with GOOD, would be passed on as a whole answer.
        status::GOOD if done.data.len() == read_len => Ended::Served(Served::Good(done.data)),
        // SAM-5: with BUSY and TASK SET FULL the command never entered the task set.
        status::BUSY | status::TASK_SET_FULL => Ended::Full,
        status::CHECK_CONDITION => match Sense::key_and_code(&done.sense) {
            // A definite answer to what the client asked; another attempt would hear it again.
            Some((key, _)) if key == SenseKey::Miscompare as u8 || key == SenseKey::IllegalRequest as u8 => {
                Ended::Served(Served::Check(done.sense.to_vec()))
            }
            _ => Ended::Error,
        },
        _ => Ended::Error,
    }
}
