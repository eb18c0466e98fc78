//! The thread that owns the driver and carries out the scheduler's decisions.

use crate::client::Client;
use crate::counters::Counters;
use crate::links::{ConnectStart, Link, NodeLinks};
use crate::test_hooks::{Point, TestHooks};
use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork::{AttemptResult, ListKind};
use pearfork_drive::{AttemptId, Driver, NodeReport, Step};
use pearfork_net::{lock, Clock};
use pearfork_platform::client_ids::ClientIds;
use pearfork_platform::clients::{ClientId, ClientTable};
use pearfork_platform::descriptors::DescriptorSplit;
use pearfork_platform::memory::HeldBytes;
use pearfork_platform::node_list::{NodeList, NodeTable};
use pearfork_platform::node_reply::NodeReply;
use pearfork_platform::pool::{LinkId, Pool, PoolAction};
use pearfork_platform::request::ClientRequest;
use pearfork_resp::write;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Input of the engine.
pub(crate) enum Message {
    /// A request was received. It arrived after `arrived_at`, the estimate of the client reader.
    Request { client: Arc<Client>, slot: u64, request: Box<ClientRequest>, arrived_at: f64, held: HeldBytes },
    /// A client connection was closed.
    ClientDisconnected(ClientId),
    /// An invalid command was answered with an error.
    InvalidCommand,
    /// A link to a node was opened.
    LinkOpened(LinkId, Arc<Link>),
    /// A link to a node could not be opened.
    LinkFailed(LinkId),
    /// A reply was received on a link.
    Reply { link: LinkId, reply: NodeReply, received_at: f64, held: HeldBytes },
    /// A link was closed. `is_sent` tells whether the command on it was sent completely.
    LinkClosed { link: LinkId, is_sent: bool },
    /// A node list or changes to it.
    NodeList(NodeList),
    /// The host shuts down: every request gets its final answer within this time, however long its client
    /// would wait.
    Shutdown(Duration),
    /// Asks for the number of open requests, during shutdown.
    CountOpen(Sender<usize>),
    /// Stop the thread.
    Stop,
}

/// A request without a final answer.
struct OpenRequest {
    client: Arc<Client>,
    slot: u64,
    request: Box<ClientRequest>,
    arrived_at: f64,
    /// Whether an attempt was written for it.
    has_begun: bool,
    /// Counts the command.
    _held: HeldBytes,
}

/// A link that the host lacked the resources to open.
struct ConnectRetry {
    link: LinkId,
    node: u32,
    at: f64,
    /// Time after which no further try is made.
    until: f64,
}

/// Maximum number of messages that are handled before timers are checked again.
const MAX_BATCH: usize = 64;
/// Interval between checks for links that have been idle for too long.
const SWEEP_INTERVAL_MS: f64 = 200.0;
/// Pause before another try to open a link for which the host lacked a port, a descriptor or memory.
const CONNECT_RETRY_INTERVAL_MS: f64 = 10.0;
/// Time limit for such tries.
const CONNECT_RETRY_LIMIT_MS: f64 = 1_000.0;
/// Interval between log lines with the counters.
const LOG_INTERVAL_MS: f64 = 5_000.0;

/// Connects the scheduler's driver, the pool of links and the client connections.
pub(crate) struct Engine {
    pub(crate) driver: Driver,
    pub(crate) pool: Pool,
    pub(crate) split: DescriptorSplit,
    pub(crate) node_table: NodeTable,
    pub(crate) clock: Clock,
    pub(crate) clients: Arc<Mutex<ClientTable>>,
    pub(crate) node_links: Arc<NodeLinks>,
    /// Time limit for connecting, in milliseconds.
    pub(crate) connect_timeout_ms: f64,
    pub(crate) hooks: TestHooks,
    state: State,
}

/// State of the engine that belongs to its thread alone.
#[derive(Default)]
struct State {
    requests: HashMap<u32, OpenRequest>,
    by_client: BTreeSet<(ClientId, u32)>,
    client_ids: ClientIds,
    /// For each attempt in flight, the time until which its response is awaited and the time by which it must
    /// be written.
    deadlines: HashMap<AttemptId, (f64, f64)>,
    links: HashMap<LinkId, Arc<Link>>,
    /// Links being opened with the time at which each times out; in order, since all have the same time
    /// limit.
    connecting: VecDeque<(f64, LinkId)>,
    /// Links waiting for another try to open them, in order of its time.
    connect_retries: VecDeque<ConnectRetry>,
    /// During shutdown, the time at which every open request gets its final answer.
    final_answers_at: Option<f64>,
    counters: Counters,
    steps: Vec<Step>,
    pool_actions: Vec<PoolAction>,
}

impl Engine {
    pub(crate) fn new(
        driver: Driver,
        pool: Pool,
        split: DescriptorSplit,
        clock: Clock,
        clients: Arc<Mutex<ClientTable>>,
        node_links: Arc<NodeLinks>,
        connect_timeout_ms: f64,
    ) -> Engine {
        let (node_table, state) = (NodeTable::default(), State::default());
        let hooks = TestHooks::default();
        Engine {
            driver,
            pool,
            split,
            node_table,
            clock,
            clients,
            node_links,
            connect_timeout_ms,
            hooks,
            state,
        }
    }

    /// Sets the limit of attempts in flight and applies the node list that the host stored before its last
    /// restart.
    pub(crate) fn prepare(&mut self, list: &NodeList) {
        self.driver.set_attempt_limit(self.pool.capacity());
        self.apply_list(list, ListKind::Cached);
        self.run_all_actions();
    }

    /// Runs until [`Message::Stop`] or until all senders are gone.
    pub(crate) fn run(mut self, messages: &Receiver<Message>) {
        let (mut sweep, mut next_log) =
            (self.clock.now_ms() + SWEEP_INTERVAL_MS, self.clock.now_ms() + LOG_INTERVAL_MS);
        loop {
            let connect_timeout = self.state.connecting.front().map(|(at, _)| *at);
            let final_answers = self.state.final_answers_at.filter(|_| !self.state.requests.is_empty());
            let link_ready_at = self.pool.next_due();
            let connect_retry = self.state.connect_retries.front().map(|retry| retry.at);
            let due = self
                .driver
                .next_timer()
                .into_iter()
                .chain(connect_timeout)
                .chain(final_answers)
                .chain(link_ready_at)
                .chain(connect_retry);
            let due = due.fold(sweep, f64::min);
            let first = match messages.recv_deadline(self.clock.instant(due)) {
                Ok(m) => Some(m),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return self.node_links.stop(),
            };
            for message in first.into_iter().chain(messages.try_iter().take(MAX_BATCH)) {
                if matches!(message, Message::Stop) {
                    return self.node_links.stop();
                }
                self.hooks.reach(Point::EngineReceive);
                self.handle(message);
                self.run_all_actions();
            }
            let now = self.clock.now_ms();
            let mut steps = std::mem::take(&mut self.state.steps);
            self.driver.run_timers(now, &mut steps);
            self.state.steps = steps;
            self.run_all_actions();
            self.expire_connects(now);
            self.retry_connects(now);
            self.pool.on_timer(now, &mut self.state.pool_actions);
            if self.is_past_final_answers(now) {
                self.answer_all();
            }
            if now >= sweep {
                sweep = now + SWEEP_INTERVAL_MS;
                self.pool.close_expired(now, &mut self.state.pool_actions);
                self.divide_descriptors(now);
            }
            self.run_all_actions();
            if now >= next_log {
                next_log = now + LOG_INTERVAL_MS;
                let (clients, links) = (lock(&self.clients).count(), self.pool.link_count());
                let line = self.state.counters.take_log_line();
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

    /// Divides the descriptors between clients and nodes by the clients that are connected.
    fn divide_descriptors(&mut self, now: f64) {
        let client_descriptors = lock(&self.clients).descriptor_count();
        if self.split.update(client_descriptors) {
            let capacity = self.split.node_connections();
            tracing::debug!(client_descriptors, capacity, "maximum number of connections to nodes");
            // Clients first where nodes get more, so that both together never exceed the descriptors.
            if capacity > self.pool.capacity() {
                lock(&self.clients).set_capacity(self.split.client_connections(0));
            }
            self.pool.set_capacity(now, capacity, &mut self.state.pool_actions);
            self.driver.set_attempt_limit(capacity);
            self.run_all_actions();
        }
        let clients = self.split.client_connections(self.pool.link_count());
        lock(&self.clients).set_capacity(clients);
    }

    /// Abandons links that were not opened within the time limit.
    fn expire_connects(&mut self, now: f64) {
        while let Some((_, link)) = self.state.connecting.pop_front_if(|(at, _)| now >= *at) {
            if self.pool.is_opening(link) {
                tracing::debug!(link, "connect timed out");
                self.node_links.close(link);
                self.pool.open_failed(now, link, &mut self.state.pool_actions);
            }
        }
    }

    fn open_link(&mut self, now: f64, link: LinkId, node: u32, until: f64) {
        let address = self.node_table.address(node);
        match address.map_or(ConnectStart::Failed, |address| self.node_links.open(link, &address)) {
            ConnectStart::InProgress => {
                self.state.connecting.push_back((now + self.connect_timeout_ms, link))
            }
            ConnectStart::ResourceShortage if now < until => {
                self.state.connect_retries.push_back(ConnectRetry {
                    link,
                    node,
                    at: now + CONNECT_RETRY_INTERVAL_MS,
                    until,
                });
            }
            ConnectStart::ResourceShortage | ConnectStart::Failed => {
                self.pool.open_failed(now, link, &mut self.state.pool_actions)
            }
        }
    }

    /// Tries again to open links for which the host lacked resources.
    fn retry_connects(&mut self, now: f64) {
        while let Some(retry) = self.state.connect_retries.pop_front_if(|retry| now >= retry.at) {
            if self.pool.is_opening(retry.link) {
                self.open_link(now, retry.link, retry.node, retry.until);
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.clock.now_ms();
        match message {
            Message::Request { client, slot, request, arrived_at, held } => self.handle_request(
                now,
                OpenRequest { client, slot, request, arrived_at, has_begun: false, _held: held },
            ),
            Message::ClientDisconnected(client) => self.client_disconnected(client),
            Message::InvalidCommand => self.state.counters.invalid_commands += 1,
            Message::LinkOpened(id, link) => {
                self.state.links.insert(id, link);
                self.pool.link_opened(now, id, &mut self.state.pool_actions);
            }
            Message::LinkFailed(id) => self.pool.open_failed(now, id, &mut self.state.pool_actions),
            Message::Reply { link, reply, received_at, held: _held } => {
                let attempt = self.pool.reply_received(now, link, &mut self.state.pool_actions);
                if let Some(attempt) = attempt {
                    self.attempt_ended(received_at, attempt, reply);
                }
            }
            Message::LinkClosed { link, is_sent } => {
                self.state.links.remove(&link);
                if let Some(attempt) = self.pool.link_closed(now, link, &mut self.state.pool_actions) {
                    // A command that was written completely may have run.
                    let result = if is_sent { AttemptResult::Reset } else { AttemptResult::ConnectFailed };
                    self.attempt_lost(now, attempt, result);
                }
            }
            Message::NodeList(list) => self.apply_list(&list, NodeTable::list_kind(&list)),
            Message::Shutdown(time_left) => {
                self.state.final_answers_at = Some(now + time_left.as_secs_f64() * 1_000.0)
            }
            Message::CountOpen(to) => drop(to.try_send(self.driver.open_requests())),
            Message::Stop => {}
        }
    }

    fn handle_request(&mut self, now: f64, open: OpenRequest) {
        // The client may have disconnected while the request was queued here. An attempt started now would
        // have no client.
        if open.client.is_disconnected() {
            self.state.counters.disconnected += 1;
            return;
        }
        self.state.counters.requests += 1;
        let waited_ms = now - open.arrived_at;
        self.state.counters.max_queue_wait_ms = self.state.counters.max_queue_wait_ms.max(waited_ms);
        // Requests that arrive after the final answers of a shutdown are refused, and nothing is sent for
        // them.
        if self.is_past_final_answers(now) {
            return self.reply(&open.client, open.slot, write::bytes(|out| write::error(out, "BUSY")));
        }
        if !self.state.client_ids.take(now, &open.request.id) {
            self.state.counters.invalid_commands += 1;
            let error = write::bytes(|out| write::error(out, "ERR id is in use"));
            return self.reply(&open.client, open.slot, error);
        }
        let id = self.driver.allocate_id();
        let until = open.arrived_at + open.request.wait_ms;
        let until = self.state.final_answers_at.map_or(until, |last| until.min(last));
        self.driver.submit(open.request.scheduler_request(id, until));
        tracing::debug!(
            request = id,
            id = %open.request.id.escape_ascii(),
            client = open.client.id,
            wait_ms = open.request.wait_ms,
            waited_ms,
            "asked"
        );
        self.state.by_client.insert((open.client.id, id));
        self.state.requests.insert(id, open);
    }

    fn client_disconnected(&mut self, client: ClientId) {
        let now = self.clock.now_ms();
        let range = (client, 0)..=(client, u32::MAX);
        let ids: Vec<u32> = self.state.by_client.range(range).map(|(_, id)| *id).collect();
        for id in ids {
            self.driver.abandon(id);
            if let Some(open) = self.state.remove_request(id) {
                let age_ms = now - open.arrived_at;
                if open.has_begun {
                    let until = open.arrived_at + open.request.wait_ms;
                    self.state.client_ids.keep(now, open.request.id.clone(), until);
                }
                tracing::debug!(request = id, age_ms, of_ms = open.request.wait_ms, "client disconnected");
            }
            self.state.counters.disconnected += 1;
        }
    }

    /// Gives up an attempt that has not been sent completely.
    fn withdraw_unsent(&mut self, now: f64, node: u32, attempt: AttemptId) {
        let link = self.pool.link_of(attempt).and_then(|link| self.state.links.get(&link));
        if link.is_none_or(|link| link.is_unsent()) {
            self.pool.abandon(now, node, attempt, &mut self.state.pool_actions);
            self.attempt_lost(now, attempt, AttemptResult::NotSent);
        }
    }

    /// Whether a shutdown has reached the time of the final answers.
    fn is_past_final_answers(&self, now: f64) -> bool {
        self.state.final_answers_at.is_some_and(|last| now >= last)
    }

    /// Sends a final answer to every open request during shutdown.
    ///
    /// A client may be willing to wait for longer than the platform lets the host run.
    fn answer_all(&mut self) {
        for (id, has_begun) in
            self.state.requests.iter().map(|(id, o)| (*id, o.has_begun)).collect::<Vec<_>>()
        {
            self.driver.abandon(id);
            let text = if has_begun { "ERR failed leaving" } else { "BUSY" };
            self.finish(id, write::bytes(|out| write::error(out, text)));
        }
    }

    /// Ends an attempt that got no response.
    fn attempt_lost(&mut self, at: f64, attempt: AttemptId, result: AttemptResult) {
        self.attempt_ended(at, attempt, NodeReply { result, value: None, report: NodeReport::default() });
    }

    /// Ends an attempt with the node's response or with the loss of its link.
    fn attempt_ended(&mut self, at: f64, attempt: AttemptId, reply: NodeReply) {
        self.state.deadlines.remove(&attempt);
        if !self.driver.is_in_flight(attempt) {
            return;
        }
        self.state.counters.attempt_ended(reply.result);
        tracing::debug!(
            request = attempt.request,
            number = attempt.number,
            verdict = ?reply.result,
            "attempt ended"
        );
        let value = reply.value.unwrap_or_default();
        if self.driver.attempt_ended(at, attempt, reply.result, reply.report) {
            self.state.counters.served += 1;
            self.finish_served(attempt.request, &value);
        }
    }

    /// Sends the value of a request that was served, if the host may hold it until the client takes it. A
    /// client that has left too much unread is told that its request failed.
    fn finish_served(&mut self, id: u32, value: &[u8]) {
        let has_room =
            self.state.requests.get(&id).is_some_and(|open| open.client.account.has_room(value.len()));
        if has_room {
            return self.finish(id, write::bytes(|out| write::bulk(out, value)));
        }
        self.state.counters.values_dropped += 1;
        self.finish(id, write::bytes(|out| write::error(out, "ERR failed no memory for the value")));
    }

    /// Sends the final answer to a request.
    fn finish(&mut self, id: u32, bytes: Bytes) {
        if let Some(open) = self.state.remove_request(id) {
            self.reply(&open.client, open.slot, bytes);
        }
    }

    fn reply(&mut self, client: &Client, slot: u64, bytes: Bytes) {
        client.reply(slot, bytes);
        lock(&self.clients).command_answered(self.clock.now_ms(), client.id);
    }

    fn apply_list(&mut self, list: &NodeList, kind: ListKind) {
        let now = self.clock.now_ms();
        let (entries, changes) = self.node_table.apply(list);
        for node in changes.stale.iter().chain(&changes.draining).copied() {
            self.pool.cancel_waiting(node, &mut self.state.pool_actions);
            // A command of which nothing has been sent would reach the node in its new state.
            for attempt in self.pool.attempts_on(node) {
                let link = self.pool.link_of(attempt);
                let links = &self.state.links;
                let retracted = link.filter(|id| links.get(id).is_some_and(|link| link.retract()));
                if let Some(link) = retracted {
                    self.pool.retract(now, link, attempt, &mut self.state.pool_actions);
                    self.attempt_lost(now, attempt, AttemptResult::ConnectFailed);
                }
            }
        }
        for node in changes.stale {
            self.pool.close_idle(now, node, &mut self.state.pool_actions);
        }
        self.driver.update_node_list(kind, entries);
    }

    /// Carries out the actions of the pool and the scheduler until none are left.
    fn run_all_actions(&mut self) {
        loop {
            self.run_pool_actions();
            let mut steps = std::mem::take(&mut self.state.steps);
            self.driver.process_events(self.clock.now_ms(), &mut steps);
            if steps.is_empty() {
                self.state.steps = steps;
                return;
            }
            for step in steps.drain(..) {
                self.run_action(step);
                self.run_pool_actions();
            }
            self.state.steps = steps;
        }
    }

    /// Carries out the actions of the pool in order.
    ///
    /// Pool actions are only valid in the state in which the pool issued them. If they were delayed past
    /// further calls to the pool, a command might be written for an attempt that was abandoned, or behind a
    /// command that no longer exists.
    fn run_pool_actions(&mut self) {
        while !self.state.pool_actions.is_empty() {
            for action in std::mem::take(&mut self.state.pool_actions) {
                self.run_pool_action(action);
            }
        }
    }

    fn run_action(&mut self, step: Step) {
        let now = self.clock.now_ms();
        match step {
            Step::Send { attempt, node, deadline_ms, write_deadline_ms } => {
                self.state.counters.attempts_sent += 1;
                tracing::debug!(request = attempt.request, number = attempt.number, node, "attempt");
                self.state.deadlines.insert(attempt, (deadline_ms, write_deadline_ms));
                self.pool.send(now, node, attempt, &mut self.state.pool_actions);
            }
            Step::AttemptDropped { attempt, node, result } => {
                self.state.counters.attempt_ended(result);
                self.state.deadlines.remove(&attempt);
                tracing::debug!(
                    request = attempt.request,
                    number = attempt.number,
                    node,
                    verdict = ?result,
                    "attempt withdrawn"
                );
                self.pool.abandon(now, node, attempt, &mut self.state.pool_actions);
            }
            Step::WithdrawUnsent { attempt, node } => self.withdraw_unsent(now, node, attempt),
            Step::Refused { id, retry_after_ms, reason } => {
                *self.state.counters.refused.entry(reason).or_insert(0) += 1;
                tracing::debug!(request = id, %reason, retry_after_ms, "refused");
                let wait = retry_after_ms.ceil() as u64;
                let text = if wait > 0 { format!("BUSY {wait}") } else { "BUSY".to_owned() };
                self.finish(id, write::bytes(|out| write::error(out, &text)));
            }
            Step::Failed { id, reason } => {
                *self.state.counters.failed.entry(reason).or_insert(0) += 1;
                tracing::debug!(request = id, %reason, "failed");
                self.finish(id, write::bytes(|out| write::error(out, &format!("ERR failed {reason}"))));
            }
            Step::CloseIdleConnections(node) => self.pool.close_idle(now, node, &mut self.state.pool_actions),
            // The node list is always watched, so these requests need no action.
            Step::Watch(_) | Step::FetchNodeList => {}
            Step::Log(text) => tracing::info!(target: "pearfork::module", "{text}"),
        }
    }

    fn run_pool_action(&mut self, action: PoolAction) {
        let now = self.clock.now_ms();
        match action {
            PoolAction::Open(link, node) => {
                self.state.counters.links_opened += 1;
                self.open_link(now, link, node, now + CONNECT_RETRY_LIMIT_MS);
            }
            PoolAction::Write(link, attempt) => self.write(now, link, attempt),
            PoolAction::Close(link) => {
                self.state.links.remove(&link);
                self.node_links.close(link);
            }
            PoolAction::NeverSent(attempt) => self.attempt_lost(now, attempt, AttemptResult::ConnectFailed),
        }
    }

    /// Writes an attempt on a link. The attempt may have waited long for its link, so all conditions for
    /// sending it are checked again here. Changes of its node were handled when the node list arrived.
    fn write(&mut self, now: f64, link: LinkId, attempt: AttemptId) {
        let open = self.state.requests.get_mut(&attempt.request).filter(|o| !o.client.is_disconnected());
        let deadline = self.state.deadlines.get(&attempt).filter(|(_, by)| now < *by);
        let client_waits = open.is_some();
        let (Some(open), Some((until, _)), Some(node)) = (open, deadline, self.driver.node_of(attempt))
        else {
            let result = if client_waits { AttemptResult::ConnectFailed } else { AttemptResult::NotSent };
            self.pool.retract(now, link, attempt, &mut self.state.pool_actions);
            return self.attempt_lost(now, attempt, result);
        };
        let command = open.request.command(until - now);
        tracing::debug!(
            request = attempt.request,
            number = attempt.number,
            link,
            node,
            told_ms = until - now,
            "written"
        );
        open.has_begun = true;
        let is_written = self.state.links.get(&link).is_some_and(|link| link.send(command).is_ok());
        if !is_written {
            self.pool.write_rejected(now, link, node, attempt, &mut self.state.pool_actions);
        }
    }
}

impl State {
    /// Removes a request from the open ones.
    fn remove_request(&mut self, id: u32) -> Option<OpenRequest> {
        let open = self.requests.remove(&id)?;
        self.by_client.remove(&(open.client.id, id));
        self.client_ids.release(&open.request.id);
        Some(open)
    }
}
