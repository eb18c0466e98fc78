//! The one thread that owns the driver, and carries out what the module says.

use crate::client::Client;
use crate::counters::Tally;
use crate::links::{Begun, Link, Nodes};
use crate::test_hooks::{Pauses, Point};
use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork::{AttemptResult, ListKind};
use pearfork_drive::{AttemptId, Driver, NodeReport, Step};
use pearfork_net::{lock, Clock};
use pearfork_platform::clients::{ClientId, ClientTable};
use pearfork_platform::node_list::{Listing, NodeTable};
use pearfork_platform::node_reply::Answer;
use pearfork_platform::pool::{Do, LinkId, Pool};
use pearfork_platform::request::Asked;
use pearfork_resp::write;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the engine is told.
pub(crate) enum Message {
    /// A request was read.
    Asked { client: Arc<Client>, slot: u64, asked: Box<Asked>, at: f64 },
    /// A client connection is over.
    ClientGone(ClientId),
    /// Something that made no sense was answered with an error.
    Fault,
    /// A connection to a node came up.
    Up(LinkId, Arc<Link>),
    /// It did not.
    NotUp(LinkId),
    /// An answer came on one.
    Answered { link: LinkId, answer: Answer, at: f64 },
    /// One is over; of the last `unsent` commands on it the last byte never went out.
    Over { link: LinkId, unsent: usize },
    /// The node list, or a change of it.
    List(Listing),
    /// The host leaves: all has its answer within this time, whatever its client would wait.
    Leave(Duration),
    /// How many requests are open, for a host that leaves.
    Open(Sender<usize>),
    /// Leave.
    Stop,
}

/// A request without an answer.
struct Open {
    client: Arc<Client>,
    slot: u64,
    asked: Box<Asked>,
    at: f64,
    /// An attempt was written for it.
    begun: bool,
}

/// A connection that this host had no means to begin.
struct OpenAgain {
    link: LinkId,
    node: u32,
    at: f64,
    /// It is given up then.
    until: f64,
}

/// Most messages taken before timers are looked at again.
const BATCH: usize = 64;
/// How often idle and silent connections are looked at.
const SWEEP_MS: f64 = 200.0;
/// Pause before a connection is tried again that this host had no port, descriptor or memory for, and for how long it is.
const OPEN_AGAIN_MS: f64 = 10.0;
const OPEN_WITHIN_MS: f64 = 1_000.0;
/// How often the counts are told.
const TELL_MS: f64 = 5_000.0;

pub(crate) struct Engine {
    pub(crate) driver: Driver,
    pub(crate) pool: Pool,
    pub(crate) node_table: NodeTable,
    pub(crate) clock: Clock,
    pub(crate) table: Arc<Mutex<ClientTable>>,
    pub(crate) nodes: Arc<Nodes>,
    /// How long a connection may take to come up, milliseconds.
    pub(crate) connect_ms: f64,
    pub(crate) pauses: Pauses,
    work: Work,
}

#[derive(Default)]
struct Work {
    open: HashMap<u32, Open>,
    by_client: BTreeSet<(ClientId, u32)>,
    /// Clients' ids of open requests.
    ids: HashSet<Bytes>,
    /// Until when attempts that are out are waited for, and by when they have to be written.
    until: HashMap<AttemptId, (f64, f64)>,
    links: HashMap<LinkId, Arc<Link>>,
    /// Connections that were begun, and when the time of each is up: in order, since all are given the same.
    begun: VecDeque<(f64, LinkId)>,
    /// Connections that could not be begun for want of something here, and when each is tried again; in order.
    again: VecDeque<OpenAgain>,
    /// When the last answer goes out, in a host that leaves.
    last: Option<f64>,
    tally: Tally,
    steps: Vec<Step>,
    todo: Vec<Do>,
}

impl Engine {
    pub(crate) fn new(
        driver: Driver,
        pool: Pool,
        clock: Clock,
        table: Arc<Mutex<ClientTable>>,
        nodes: Arc<Nodes>,
        connect_ms: f64,
    ) -> Engine {
        let (node_table, work) = (NodeTable::default(), Work::default());
        let pauses = Pauses::default();
        Engine { driver, pool, node_table, clock, table, nodes, connect_ms, pauses, work }
    }

    /// The list as the host last had it.
    pub(crate) fn known(&mut self, list: &Listing) {
        self.list(list, ListKind::Cached);
        self.settle();
    }

    /// Runs until told to stop.
    pub(crate) fn run(mut self, messages: &Receiver<Message>) {
        let (mut sweep, mut tell) = (self.clock.now_ms() + SWEEP_MS, self.clock.now_ms() + TELL_MS);
        loop {
            let begun = self.work.begun.front().map(|(at, _)| *at);
            let last = self.work.last.filter(|_| !self.work.open.is_empty());
            let rested = self.pool.next_due();
            let again = self.work.again.front().map(|open| open.at);
            let due =
                self.driver.next_timer().into_iter().chain(begun).chain(last).chain(rested).chain(again);
            let due = due.fold(sweep, f64::min);
            let first = match messages.recv_deadline(self.clock.instant(due)) {
                Ok(m) => Some(m),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return self.nodes.stop(),
            };
            for message in first.into_iter().chain(messages.try_iter().take(BATCH)) {
                if matches!(message, Message::Stop) {
                    return self.nodes.stop();
                }
                self.pauses.at(Point::EngineTakes);
                self.take(message);
                self.settle();
            }
            let now = self.clock.now_ms();
            let mut steps = std::mem::take(&mut self.work.steps);
            self.driver.run_timers(now, &mut steps);
            self.work.steps = steps;
            self.settle();
            self.too_long(now);
            self.open_again(now);
            self.pool.ring(now, &mut self.work.todo);
            if self.is_last(now) {
                self.answer_all();
            }
            if now >= sweep {
                sweep = now + SWEEP_MS;
                self.pool.sweep(now, &mut self.work.todo);
            }
            self.settle();
            if now >= tell {
                tell = now + TELL_MS;
                let (clients, links) = (lock(&self.table).held(), self.pool.held());
                let line = self.work.tally.line();
                tracing::info!(
                    clients,
                    links,
                    open = self.driver.open_requests(),
                    out = self.driver.attempts_in_flight(),
                    "{line}"
                );
            }
        }
    }

    /// Gives up connections that do not come up.
    fn too_long(&mut self, now: f64) {
        while let Some((_, link)) = self.work.begun.pop_front_if(|(at, _)| now >= *at) {
            if self.pool.is_coming(link) {
                tracing::debug!(link, "no connection in time");
                self.nodes.close(link);
                self.pool.not_opened(link, &mut self.work.todo);
            }
        }
    }

    fn open(&mut self, now: f64, link: LinkId, node: u32, until: f64) {
        let dial = self.node_table.dial(node);
        match dial.map_or(Begun::Refused, |dial| self.nodes.open(link, &dial)) {
            Begun::Coming => self.work.begun.push_back((now + self.connect_ms, link)),
            Begun::Later if now < until => {
                self.work.again.push_back(OpenAgain { link, node, at: now + OPEN_AGAIN_MS, until });
            }
            Begun::Later | Begun::Refused => self.pool.not_opened(link, &mut self.work.todo),
        }
    }

    /// Tries connections again that this host had no means to begin.
    fn open_again(&mut self, now: f64) {
        while let Some(open) = self.work.again.pop_front_if(|open| now >= open.at) {
            if self.pool.is_coming(open.link) {
                self.open(now, open.link, open.node, open.until);
            }
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.clock.now_ms();
        match message {
            Message::Asked { client, slot, asked, at } => self.asked(now, client, slot, asked, at),
            Message::ClientGone(client) => self.gone(client),
            Message::Fault => self.work.tally.faults += 1,
            Message::Up(id, link) => {
                self.work.links.insert(id, link);
                self.pool.opened(now, id, &mut self.work.todo);
            }
            Message::NotUp(id) => self.pool.not_opened(id, &mut self.work.todo),
            Message::Answered { link, answer, at } => {
                if let Some(attempt) = self.pool.answered(now, link) {
                    self.ended(at, attempt, answer);
                }
            }
            Message::Over { link, unsent } => {
                self.work.links.remove(&link);
                // Danger: what was written whole may have run, though a later command never went out.
                let never = self.pool.last_written(link, unsent);
                for attempt in self.pool.closed(link, &mut self.work.todo) {
                    let verdict = if never.contains(&attempt) {
                        AttemptResult::ConnectFailed
                    } else {
                        AttemptResult::Reset
                    };
                    self.lost(now, attempt, verdict);
                }
            }
            Message::List(list) => self.list(&list, NodeTable::kind(&list)),
            Message::Leave(last) => self.work.last = Some(now + last.as_secs_f64() * 1_000.0),
            Message::Open(to) => drop(to.try_send(self.driver.open_requests())),
            Message::Stop => {}
        }
    }

    fn asked(&mut self, now: f64, client: Arc<Client>, slot: u64, asked: Box<Asked>, at: f64) {
        // Danger: its client left while it waited for its turn here; begun now, it would be sent for nobody.
        if client.is_gone() {
            self.work.tally.gone += 1;
            return;
        }
        self.work.tally.asked += 1;
        self.work.tally.slowest_turn = self.work.tally.slowest_turn.max(now - at);
        // What comes when all has to be answered is turned away, and was never sent.
        if self.is_last(now) {
            return self.reply(&client, slot, write::bytes(|out| write::error(out, "BUSY")));
        }
        // Danger: two requests under one id are one to a node that drops repeats, and the answer of one would be
        // the other's.
        if !self.work.ids.insert(asked.id.clone()) {
            self.work.tally.faults += 1;
            self.reply(&client, slot, write::bytes(|out| write::error(out, "ERR id is in use")));
            return;
        }
        let id = self.driver.allocate_id();
        let until = at + asked.wait_ms;
        self.driver.submit(asked.request(id, self.work.last.map_or(until, |last| until.min(last))));
        tracing::debug!(
            request = id,
            id = %asked.id.escape_ascii(),
            client = client.id,
            wait_ms = asked.wait_ms,
            waited_ms = now - at,
            "asked"
        );
        self.work.by_client.insert((client.id, id));
        self.work.open.insert(id, Open { client, slot, asked, at, begun: false });
    }

    fn gone(&mut self, client: ClientId) {
        let of_it = (client, 0)..=(client, u32::MAX);
        let ids: Vec<u32> = self.work.by_client.range(of_it).map(|(_, id)| *id).collect();
        for id in ids {
            self.driver.abandon(id);
            self.take_back(id);
            if let Some(open) = self.work.forget(id) {
                let age_ms = self.clock.now_ms() - open.at;
                tracing::debug!(request = id, age_ms, of_ms = open.asked.wait_ms, "client gone");
            }
            self.work.tally.gone += 1;
        }
    }

    /// A request that nobody waits for any more: what has not gone out for it does not go out.
    fn take_back(&mut self, id: u32) {
        for attempt in self.driver.attempts_of(id) {
            let Some(node) = self.driver.node_of(attempt) else { continue };
            let place = self.pool.place_of(attempt);
            let link = place.and_then(|(link, behind)| Some((self.work.links.get(&link)?, behind)));
            let unsent = link.is_none_or(|(link, behind)| link.is_unsent(behind));
            if unsent && self.unwanted(attempt, node) {
                self.lost(self.clock.now_ms(), attempt, AttemptResult::NotSent);
            }
        }
    }

    /// An attempt is not waited for any more: it is taken back where nothing of it has gone out behind others, and where it
    /// stands alone its connection is closed. False: it goes on, and its answer is nobody's.
    fn unwanted(&mut self, attempt: AttemptId, node: u32) -> bool {
        if let Some((link, behind)) = self.pool.place_of(attempt).filter(|(l, _)| !self.pool.is_alone(*l)) {
            if self.work.links.get(&link).is_some_and(|l| l.take_back(behind)) {
                self.pool.unsend(self.clock.now_ms(), link, attempt, &mut self.work.todo);
                return true;
            }
            self.pool.withdrawn(node, attempt, &mut self.work.todo);
            return false;
        }
        self.pool.withdrawn(node, attempt, &mut self.work.todo);
        true
    }

    /// Whether a host that leaves has come to its last answers.
    fn is_last(&self, now: f64) -> bool {
        self.work.last.is_some_and(|last| now >= last)
    }

    /// The final answer to all that is open, in a host that leaves.
    ///
    /// Danger: a client may wait for longer than the platform lets a host live on.
    fn answer_all(&mut self) {
        for (id, begun) in self.work.open.iter().map(|(id, o)| (*id, o.begun)).collect::<Vec<_>>() {
            self.driver.abandon(id);
            self.take_back(id);
            let words = if begun { "ERR failed leaving" } else { "BUSY" };
            self.finish(id, write::bytes(|out| write::error(out, words)));
        }
    }

    /// An attempt ended without a node's word.
    fn lost(&mut self, at: f64, attempt: AttemptId, verdict: AttemptResult) {
        self.ended(at, attempt, Answer { verdict, value: None, told: NodeReport::default() });
    }

    /// An attempt ended by a node's word, or with its connection.
    fn ended(&mut self, at: f64, attempt: AttemptId, answer: Answer) {
        self.work.until.remove(&attempt);
        if !self.driver.is_in_flight(attempt) {
            return;
        }
        self.work.tally.ended(answer.verdict);
        tracing::debug!(
            request = attempt.request,
            number = attempt.number,
            verdict = ?answer.verdict,
            "attempt over"
        );
        let value = answer.value.unwrap_or_default();
        if self.driver.attempt_ended(at, attempt, answer.verdict, answer.told) {
            self.work.tally.served += 1;
            // Danger: another attempt of it that waits for a connection, or in a write buffer, would still go out.
            self.take_back(attempt.request);
            self.finish(attempt.request, write::bytes(|out| write::bulk(out, &value)));
        }
    }

    /// The one final answer to a request.
    fn finish(&mut self, id: u32, bytes: Bytes) {
        if let Some(open) = self.work.forget(id) {
            self.reply(&open.client, open.slot, bytes);
        }
    }

    fn reply(&mut self, client: &Client, slot: u64, bytes: Bytes) {
        client.answer(slot, bytes);
        lock(&self.table).answered(self.clock.now_ms(), client.id);
    }

    fn list(&mut self, list: &Listing, kind: ListKind) {
        let (entries, changed) = self.node_table.take(list);
        for node in changed.left.iter().chain(&changed.draining).copied() {
            self.pool.recall(node, &mut self.work.todo);
            // Danger: a command that no byte of has gone out would go out to what the node is now.
            for attempt in self.pool.written_to(node) {
                let place = self.pool.place_of(attempt);
                let links = &self.work.links;
                let back = place.filter(|(l, behind)| links.get(l).is_some_and(|l| l.take_back(*behind)));
                if let Some((link, _)) = back {
                    let now = self.clock.now_ms();
                    self.pool.unsend(now, link, attempt, &mut self.work.todo);
                    self.lost(now, attempt, AttemptResult::ConnectFailed);
                }
            }
        }
        for node in changed.left {
            self.pool.close_idle(node, &mut self.work.todo);
        }
        self.driver.update_node_list(kind, entries);
    }

    /// Carries out all that is to be done, until nothing is.
    fn settle(&mut self) {
        loop {
            self.work_off();
            let mut steps = std::mem::take(&mut self.work.steps);
            self.driver.process_events(self.clock.now_ms(), &mut steps);
            if steps.is_empty() {
                self.work.steps = steps;
                return;
            }
            for step in steps.drain(..) {
                self.step(step);
                self.work_off();
            }
            self.work.steps = steps;
        }
    }

    /// Carries out what the pool said, in its order.
    ///
    /// Danger: what is said is true of the pool as it is. Left over while the pool is told more, a command would be written
    /// for an attempt that was withdrawn meanwhile, or behind one that is not there.
    fn work_off(&mut self) {
        while !self.work.todo.is_empty() {
            for one in std::mem::take(&mut self.work.todo) {
                self.carry_out(one);
            }
        }
    }

    fn step(&mut self, step: Step) {
        let now = self.clock.now_ms();
        match step {
            Step::Send { attempt, node, deadline_ms, write_deadline_ms } => {
                self.work.tally.sent += 1;
                tracing::debug!(request = attempt.request, number = attempt.number, node, "attempt");
                self.work.until.insert(attempt, (deadline_ms, write_deadline_ms));
                self.pool.send(now, node, attempt, &mut self.work.todo);
            }
            Step::AttemptDropped { attempt, node, result: verdict } => {
                self.work.tally.ended(verdict);
                self.work.until.remove(&attempt);
                tracing::debug!(
                    request = attempt.request,
                    number = attempt.number,
                    node,
                    ?verdict,
                    "given up"
                );
                self.unwanted(attempt, node);
            }
            Step::Refused { id, retry_after_ms, reason } => {
                *self.work.tally.refused.entry(reason).or_insert(0) += 1;
                tracing::debug!(request = id, %reason, retry_after_ms, "refused");
                let wait = retry_after_ms.ceil() as u64;
                let words = if wait > 0 { format!("BUSY {wait}") } else { "BUSY".to_owned() };
                self.finish(id, write::bytes(|out| write::error(out, &words)));
            }
            Step::Failed { id, reason } => {
                *self.work.tally.failed.entry(reason).or_insert(0) += 1;
                tracing::debug!(request = id, %reason, "failed");
                self.finish(id, write::bytes(|out| write::error(out, &format!("ERR failed {reason}"))));
            }
            Step::CloseIdleConnections(node) => self.pool.close_idle(node, &mut self.work.todo),
            // The list is followed without being asked.
            Step::Watch(_) | Step::FetchNodeList => {}
            Step::Log(text) => tracing::info!(target: "pearfork::module", "{text}"),
        }
    }

    fn carry_out(&mut self, one: Do) {
        let now = self.clock.now_ms();
        match one {
            Do::Open(link, node) => {
                self.work.tally.opened += 1;
                self.open(now, link, node, now + OPEN_WITHIN_MS);
            }
            Do::Write(link, attempt) => self.write(now, link, attempt),
            Do::Close(link) => {
                self.work.links.remove(&link);
                self.nodes.close(link);
            }
            Do::NeverSent(attempt) => self.lost(now, attempt, AttemptResult::ConnectFailed),
        }
    }

    /// The moment at which an attempt goes out, however long it waited for its connection: whatever stands against it by
    /// now stands against it here. Nodes that changed were looked at when the list came.
    fn write(&mut self, now: f64, link: LinkId, attempt: AttemptId) {
        let open = self.work.open.get_mut(&attempt.request).filter(|o| !o.client.is_gone());
        let times = self.work.until.get(&attempt).filter(|(_, by)| now < *by);
        let here = open.is_some();
        let (Some(open), Some((until, _)), Some(node)) = (open, times, self.driver.node_of(attempt)) else {
            let verdict = if here { AttemptResult::ConnectFailed } else { AttemptResult::NotSent };
            self.pool.unsend(now, link, attempt, &mut self.work.todo);
            return self.lost(now, attempt, verdict);
        };
        let command = open.asked.command(until - now);
        tracing::debug!(
            request = attempt.request,
            number = attempt.number,
            link,
            node,
            told_ms = until - now,
            "written"
        );
        open.begun = true;
        let wrote = self.work.links.get(&link).is_some_and(|link| link.send(command).is_ok());
        if !wrote {
            self.pool.unfit(now, link, node, attempt, &mut self.work.todo);
        }
    }
}

impl Work {
    /// Takes a request off the work.
    fn forget(&mut self, id: u32) -> Option<Open> {
        let open = self.open.remove(&id)?;
        self.by_client.remove(&(open.client.id, id));
        self.ids.remove(&open.asked.id);
        Some(open)
    }
}
