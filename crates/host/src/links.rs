//! Sessions to storage nodes, one per node, opened when the scheduler first sends an attempt there.
//!
//! A link neither retries nor delays an attempt on its own: an attempt that cannot be sent is reported as not
//! sent, one that was sent and lost its connection as reset, and the next attempt to that node reconnects.

use crate::dispatcher::{AttemptEnd, AttemptId, Completion, OutgoingAttempt, Requester};
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

/// The token of an attempt at its connection.
pub(crate) struct Sent {
    id: AttemptId,
    wanted: Arc<AtomicBool>,
    requester: Arc<dyn Requester>,
    not_after: Option<Instant>,
    read_len: usize,
}

impl CommandToken for Sent {
    fn is_needed(&self) -> bool {
        self.wanted.load(Ordering::SeqCst) && !has_passed(self.not_after) && !self.requester.has_left()
    }
}

fn has_passed(not_after: Option<Instant>) -> bool {
    not_after.is_some_and(|at| Instant::now() >= at)
}

enum State {
    Closed,
    /// A thread is connecting; these attempts are sent once it has.
    Opening(Vec<OutgoingAttempt>),
    Open(Arc<Connection<Sent>>),
}

struct Link {
    state: Mutex<State>,
}

/// Maximum number of attempts that wait while a connection opens; further ones are reported as not sent.
const MAX_WAITING: usize = 256;

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

    /// Updates the addresses of nodes from the node list.
    pub(crate) fn set_addresses(&self, addresses: impl Iterator<Item = (u32, SocketAddr)>) {
        let mut known = lock(&self.addresses);
        for (node, address) in addresses {
            if known.insert(node, address).is_some_and(|old| old != address) {
                // The node restarted at another address, so that the old connection no longer reaches it.
                if let Some(link) = lock(&self.links).get(&node) {
                    if let State::Open(c) = &*lock(&link.state) {
                        c.close();
                    }
                }
            }
        }
    }

    /// Sends an attempt; never blocks.
    pub(crate) fn send(self: &Arc<Self>, node: u32, attempt: OutgoingAttempt) {
        let link = lock(&self.links).entry(node).or_insert_with(|| Arc::new(Link::new())).clone();
        let mut state = lock(&link.state);
        match &mut *state {
            State::Open(c) if c.is_open() => {
                let c = c.clone();
                drop(state);
                self.submit(&c, attempt);
            }
            State::Opening(waiting) if waiting.len() < MAX_WAITING => waiting.push(attempt),
            State::Opening(_) => {
                drop(state);
                self.report_connect_failed(attempt.id);
            }
            State::Closed | State::Open(_) => {
                *state = State::Opening(vec![attempt]);
                drop(state);
                let (links, opening) = (self.clone(), link.clone());
                let spawned = spawn_small_stack("node-connect", move || links.open(node, &opening));
                if spawned.is_err() {
                    self.close_unopened(&link);
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
            let events = move |event| report_event(&engine, node, event);
            Connection::open(address, config, self.connect_timeout, StreamTap::default(), events)
                .inspect_err(|e| tracing::debug!(node, error = %e, "connecting to the node failed"))
                .ok()
        });
        let Some(connection) = opened else { return self.close_unopened(link) };
        if self.extension && !connection.extension_negotiated() {
            // Without the extension the node receives no repeat keys and cannot drop repeats, which the
            // scheduler relies on when it retries keyed requests.
            tracing::error!(
                node,
                "the node does not support the protocol extension that transport.extension requires; it receives no requests"
            );
            connection.close();
            return self.close_unopened(link);
        }
        let waiting = match std::mem::replace(&mut *lock(&link.state), State::Open(connection.clone())) {
            State::Opening(waiting) => waiting,
            State::Closed | State::Open(_) => Vec::new(),
        };
        for attempt in waiting {
            self.submit(&connection, attempt);
        }
    }

    /// Closes a link that could not connect: every attempt that waited for it is reported as not sent.
    fn close_unopened(&self, link: &Link) {
        let state = std::mem::replace(&mut *lock(&link.state), State::Closed);
        if let State::Opening(waiting) = state {
            waiting.into_iter().for_each(|a| self.report_connect_failed(a.id));
        }
    }

    fn submit(&self, connection: &Connection<Sent>, attempt: OutgoingAttempt) {
        let not_after = attempt.not_after_ms.is_finite().then(|| self.clock.instant(attempt.not_after_ms));
        let read_len = attempt.media.data_in_length(attempt.block_len) as u32;
        let command = Command {
            lun: encode_lun(attempt.volume.0 as u16),
            cdb: attempt.media.to_cdb(),
            read_len,
            data: attempt.data,
            metadata: Some(attempt.metadata),
        };
        let sent = Sent {
            id: attempt.id,
            wanted: attempt.wanted,
            requester: attempt.requester,
            not_after,
            read_len: read_len as usize,
        };
        if let Err(sent) = connection.submit(sent, command) {
            self.report_unsent(sent.id, end_of_unsent(&sent));
        }
    }

    fn report_connect_failed(&self, id: AttemptId) {
        self.report_unsent(id, AttemptEnd::ConnectFailed);
    }

    /// Reports the end of an attempt that was not sent. The engine itself may be the caller and must not
    /// block on its own channel: if the channel is full, a new thread waits for room instead.
    fn report_unsent(&self, id: AttemptId, outcome: AttemptEnd) {
        let message = Message::attempt_ended(id, outcome, None);
        if let Err(crossbeam_channel::TrySendError::Full(message)) = self.engine.try_send(message) {
            let engine = self.engine.clone();
            // If no thread can be started, the attempt's own time-out ends it.
            let _ = spawn_small_stack("outcome", move || drop(engine.send(message)));
        }
    }

    /// Aborts an attempt at its node: its result is no longer needed.
    pub(crate) fn abort(&self, node: u32, id: AttemptId) {
        let Some(link) = lock(&self.links).get(&node).cloned() else { return };
        let mut state = lock(&link.state);
        match &mut *state {
            State::Open(c) => {
                let c = c.clone();
                drop(state);
                c.abort(|t| t.id == id);
            }
            State::Opening(waiting) => waiting.retain(|a| a.id != id),
            State::Closed => {}
        }
    }

    /// Gives up an attempt that has not been sent completely, and reports it as not sent. One that has been sent
    /// stays, and one on a connection that is being closed is reported by the connection.
    pub(crate) fn withdraw(&self, node: u32, id: AttemptId) {
        let Some(link) = lock(&self.links).get(&node).cloned() else { return };
        let mut state = lock(&link.state);
        let is_withdrawn = match &mut *state {
            State::Open(c) => {
                let c = c.clone();
                drop(state);
                !c.withdraw(|t| t.id == id).is_empty()
            }
            State::Opening(waiting) => {
                let before = waiting.len();
                waiting.retain(|a| a.id != id);
                waiting.len() < before
            }
            State::Closed => false,
        };
        if is_withdrawn {
            self.report_unsent(id, AttemptEnd::NotSent);
        }
    }

    /// Closes the connection to a node if nothing is in flight on it.
    pub(crate) fn close_idle(&self, node: u32) {
        let Some(link) = lock(&self.links).get(&node).cloned() else { return };
        if let State::Open(c) = &*lock(&link.state) {
            if c.outstanding() == 0 {
                c.close();
            }
        };
    }

    /// Closes all connections.
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

/// How an attempt ended that was not sent: for lack of a connection, or because it must not be sent any more. It
/// must not if its request is over, or if the share of the volume's limit that pays for it may by now be lent to
/// another host.
fn end_of_unsent(sent: &Sent) -> AttemptEnd {
    if sent.is_needed() {
        AttemptEnd::ConnectFailed
    } else {
        AttemptEnd::NotSent
    }
}

/// Reports to the engine the end of each attempt that an event of a connection ends.
fn report_event(engine: &Sender<Message>, node: u32, event: ConnectionEvent<Sent>) {
    let report_end = |id, outcome, report| drop(engine.send(Message::attempt_ended(id, outcome, report)));
    match event {
        ConnectionEvent::Completed(sent, done) => {
            let report = done.report;
            report_end(sent.id, outcome_of(*done, sent.read_len), report);
        }
        // This host requested the abort and has already counted the attempt as ended.
        ConnectionEvent::Aborted(_) => {}
        ConnectionEvent::Unsent(sent) => report_end(sent.id, end_of_unsent(&sent), None),
        ConnectionEvent::LogoutRequested => tracing::debug!(node, "the node requested a logout"),
        ConnectionEvent::Closed(why, sent, unsent) => {
            tracing::debug!(node, why, lost = sent.len(), "connection to the node closed");
            sent.into_iter().for_each(|s| report_end(s.id, AttemptEnd::Reset, None));
            unsent.into_iter().for_each(|s| report_end(s.id, end_of_unsent(&s), None));
        }
    }
}

/// Maps the SCSI status from a node to the outcome of the attempt.
fn outcome_of(done: CommandCompletion, read_len: usize) -> AttemptEnd {
    match done.status {
        // GOOD with fewer bytes than requested, or with a residual of a write, is an error: the client would
        // take the short data for the whole.
        status::GOOD if done.data.len() == read_len && done.residual == 0 => {
            AttemptEnd::Served(Completion::Good(done.data))
        }
        // SAM-5: with BUSY and TASK SET FULL the command never entered the task set.
        status::BUSY | status::TASK_SET_FULL => AttemptEnd::Rejected,
        status::CHECK_CONDITION => match Sense::key_and_code(&done.sense) {
            // A definite response to the client's request; a retry would get the same one.
            Some((key, _)) if key == SenseKey::Miscompare as u8 || key == SenseKey::IllegalRequest as u8 => {
                AttemptEnd::Served(Completion::CheckCondition(done.sense.to_vec()))
            }
            _ => AttemptEnd::Error,
        },
        _ => AttemptEnd::Error,
    }
}
