//! Drives a [`pearfork::Scheduler`] for a host, independent of the protocols that the host speaks. It does no
//! I/O and reads no clock.
//!
//! The driver takes no decisions. It does the bookkeeping that the scheduler requires of a host: request ids,
//! attempt numbers, timers and attempt timeouts, and it makes sure that each request gets only one final
//! answer.

mod ids;
mod memory;

pub use ids::RequestIds;
pub use memory::{ByteAccount, ByteBudget, HeldBytes};

use pearfork::{
    Action, AttemptOutcome, AttemptResult, Event, ListKind, NodeEntry, Reason, Request, Scheduler, Settings,
    SettingsError,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: u32,
    /// Counted from 0 in order of issue.
    pub number: u16,
}

/// What a node reported in its response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// Units served for the volume on all nodes in a past period, in percent of its nominal rate.
    pub used_percent: Option<f64>,
    /// Units that this shard served for the volume through other hosts since its last response to this host.
    pub other_hosts_units: f64,
    /// Requests that wait at the node.
    pub queue: Option<f64>,
    /// Requests that run or wait at the node.
    pub in_flight: Option<f64>,
    /// The node's recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Utilization of the node's cores.
    pub util: Option<f64>,
}

/// What the host must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send an attempt to a node. At `deadline_ms` the host stops waiting for it, with a
    /// [`Step::AttemptDropped`].
    Send {
        /// The attempt.
        attempt: AttemptId,
        /// The node to send it to.
        node: u32,
        /// On the caller's clock.
        deadline_ms: f64,
        /// An attempt that is not completely written by then must not be written at all, and did not run;
        /// infinite for no such bound.
        write_deadline_ms: f64,
    },
    /// The host no longer waits for an attempt, because it was cancelled or timed out.
    AttemptDropped {
        /// The attempt.
        attempt: AttemptId,
        /// The node that it was sent to.
        node: u32,
        /// [`AttemptResult::Cancelled`] or [`AttemptResult::TimedOut`].
        result: AttemptResult,
    },
    /// The request of an attempt in flight is over: it was answered, or its client has gone. An attempt that has
    /// not been sent completely must not be sent any more, wherever it waits, and is reported as
    /// [`AttemptResult::NotSent`]. One that has been sent is still waited for, since its response informs the
    /// scheduler about the node.
    WithdrawUnsent {
        /// The attempt.
        attempt: AttemptId,
        /// The node that it was to be sent to.
        node: u32,
    },
    /// The final answer: refused.
    Refused {
        /// The request.
        id: u32,
        /// When the client may come back; 0 for no advice.
        retry_after_ms: f64,
        /// The cause.
        reason: Reason,
    },
    /// The final answer: failed.
    Failed {
        /// The request.
        id: u32,
        /// The cause.
        reason: Reason,
    },
    /// Start or stop watching the node list.
    Watch(bool),
    /// Fetch the whole node list once.
    FetchNodeList,
    /// Close the idle connections to a node.
    CloseIdleConnections(u32),
    /// Write a line to the host's log.
    Log(String),
}

struct OpenRequest {
    valid_until: f64,
    attempts: u16,
}

struct Attempt {
    node: u32,
    sent_at: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    Scheduler(u64),
    AttemptTimeout(AttemptId),
}

/// A time with a total order; it is always finite.
#[derive(Clone, Copy, PartialEq)]
struct FiniteTime(f64);

impl Eq for FiniteTime {}

impl PartialOrd for FiniteTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for FiniteTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Drives one [`Scheduler`].
pub struct Driver {
    scheduler: Scheduler,
    max_attempts: u16,
    ids: RequestIds,
    requests: HashMap<u32, OpenRequest>,
    /// Requests that got their final answer while events were queued for the scheduler, with the numbers of
    /// their attempts. The scheduler may still send attempts for them, as it does not know of their end yet.
    ended_requests: HashMap<u32, u16>,
    /// Attempts in flight whose requests are over and that are not withdrawn yet.
    unneeded: Vec<AttemptId>,
    in_flight: HashMap<AttemptId, Attempt>,
    timers: BinaryHeap<Reverse<(FiniteTime, u64, TimerKind)>>,
    last_timer_number: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Driver {
    /// Creates a driver whose scheduler has no nodes or requests.
    ///
    /// # Errors
    /// The scheduler rejects a setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Driver, SettingsError> {
        let max_attempts = settings.max_attempts.min(u32::from(u16::MAX)) as u16;
        Ok(Driver {
            scheduler: Scheduler::new(settings, seed)?,
            max_attempts,
            ids: RequestIds::default(),
            requests: HashMap::new(),
            ended_requests: HashMap::new(),
            unneeded: Vec::new(),
            in_flight: HashMap::new(),
            timers: BinaryHeap::new(),
            last_timer_number: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// Returns an id that no open request and no attempt in flight has.
    pub fn allocate_id(&mut self) -> u32 {
        let (requests, in_flight, max_attempts) = (&self.requests, &self.in_flight, self.max_attempts);
        self.ids.allocate(|request| {
            let is_in_flight = |number| in_flight.contains_key(&AttemptId { request, number });
            requests.contains_key(&request) || (0..max_attempts).any(is_in_flight)
        })
    }

    /// Takes a request whose id was allocated for it. The scheduler gets it at the next
    /// [`Driver::process_events`].
    pub fn submit(&mut self, request: Request) {
        self.requests.insert(request.id, OpenRequest { valid_until: request.valid_until_ms, attempts: 0 });
        self.events.push_back(Event::Request(request));
    }

    /// Notes that the client of a request disconnected or no longer waits. The next [`Driver::process_events`]
    /// yields a [`Step::WithdrawUnsent`] for each of its attempts in flight.
    pub fn abandon(&mut self, id: u32) {
        if self.end_request(id) {
            self.events.push_back(Event::Abandoned { id });
        }
    }

    /// Passes on the node list, or a change of it.
    pub fn update_node_list(&mut self, kind: ListKind, entries: Vec<NodeEntry>) {
        self.events.push_back(Event::NodeList(kind, entries));
    }

    /// Sets this host's share of a volume's limit; `share` is an [`Event::LimitShare`].
    pub fn set_limit_share(&mut self, share: Event) {
        debug_assert!(matches!(share, Event::LimitShare { .. }));
        self.events.push_back(share);
    }

    /// Sets how many attempts may be in flight at once over all nodes.
    pub fn set_attempt_limit(&mut self, attempts: usize) {
        self.events.push_back(Event::AttemptLimit { attempts });
    }

    /// Notes that an attempt ended at `ended_at` on the caller's clock. Returns whether this served an open
    /// request, so that the client gets the node's response. The next [`Driver::process_events`] withdraws the
    /// request's other attempts.
    ///
    /// A response after the attempt's timeout returns false. The attempt is over for the scheduler by then,
    /// and a late success must not answer a request that was refused in the meantime, nor another one that
    /// got its id.
    pub fn attempt_ended(
        &mut self,
        ended_at: f64,
        id: AttemptId,
        result: AttemptResult,
        report: NodeReport,
    ) -> bool {
        let Some(attempt) = self.in_flight.remove(&id) else { return false };
        let served = result == AttemptResult::Served && self.end_request(id.request);
        self.report_outcome(ended_at, id, &attempt, result, report);
        served
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Returns the node of an attempt in flight.
    pub fn node_of(&self, id: AttemptId) -> Option<u32> {
        self.in_flight.get(&id).map(|f| f.node)
    }

    /// Returns a request's attempts in flight, in order of issue.
    pub fn attempts_of(&self, request: u32) -> Vec<AttemptId> {
        let numbers = (0..self.max_attempts).map(|number| AttemptId { request, number });
        numbers.filter(|id| self.is_in_flight(*id)).collect()
    }

    /// Counts the requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Counts the attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Counts the requests without a final answer by what they wait for.
    pub fn waiting(&self, now: f64) -> BTreeMap<Reason, u64> {
        let mut waiting = BTreeMap::new();
        for (_, reason) in self.scheduler.waiting(now) {
            *waiting.entry(reason).or_insert(0) += 1;
        }
        waiting
    }

    /// Returns when the next timer expires.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.peek().map(|Reverse((at, ..))| at.0)
    }

    /// Runs the timers that have expired.
    pub fn run_timers(&mut self, now: f64, steps: &mut Vec<Step>) {
        // Timers that are set during this call and expire at once wait for the next call, so that the loop
        // ends.
        let last_number = self.last_timer_number;
        let mut postponed = Vec::new();
        while let Some(Reverse((at, number, kind))) = self.timers.peek().copied() {
            if at.0 > now {
                break;
            }
            self.timers.pop();
            if number > last_number {
                postponed.push(Reverse((at, number, kind)));
                continue;
            }
            match kind {
                TimerKind::Scheduler(label) => self.events.push_back(Event::Timer { label }),
                TimerKind::AttemptTimeout(id) => self.drop_attempt(now, id, AttemptResult::TimedOut, steps),
            }
            self.process_events(now, steps);
        }
        self.timers.extend(postponed);
    }

    /// Passes queued events to the scheduler and collects the resulting steps, until no event is left.
    pub fn process_events(&mut self, now: f64, steps: &mut Vec<Step>) {
        self.withdraw_unneeded(steps);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, steps);
            }
            self.withdraw_unneeded(steps);
            self.actions = actions;
        }
        self.ended_requests.clear();
    }

    /// Removes an open request; returns false if there is none of this id.
    fn end_request(&mut self, id: u32) -> bool {
        let Some(open_request) = self.requests.remove(&id) else { return false };
        self.ended_requests.insert(id, open_request.attempts);
        let attempts = (0..open_request.attempts).map(|number| AttemptId { request: id, number });
        self.unneeded.extend(attempts.filter(|attempt| self.in_flight.contains_key(attempt)));
        true
    }

    fn withdraw_unneeded(&mut self, steps: &mut Vec<Step>) {
        for attempt in self.unneeded.drain(..) {
            // It may have ended since.
            let in_flight = self.in_flight.get(&attempt);
            steps.extend(in_flight.map(|a| Step::WithdrawUnsent { attempt, node: a.node }));
        }
    }

    fn carry_out(&mut self, now: f64, action: Action, steps: &mut Vec<Step>) {
        match action {
            Action::Send { id, node, timeout_ms, write_deadline_ms } => {
                let Some(open_request) = self.requests.get_mut(&id) else {
                    return self.drop_unsent(id, node);
                };
                let attempt = AttemptId { request: id, number: open_request.attempts };
                open_request.attempts = open_request.attempts.saturating_add(1);
                let deadline_ms = if timeout_ms > 0.0 {
                    open_request.valid_until.min(now + timeout_ms)
                } else {
                    open_request.valid_until
                };
                self.in_flight.insert(attempt, Attempt { node, sent_at: now });
                self.set_timer(deadline_ms, TimerKind::AttemptTimeout(attempt));
                steps.push(Step::Send { attempt, node, deadline_ms, write_deadline_ms });
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                if self.end_request(id) {
                    steps.push(Step::Refused { id, retry_after_ms, reason });
                }
            }
            Action::Fail { id, reason } => {
                if self.end_request(id) {
                    steps.push(Step::Failed { id, reason });
                }
            }
            Action::Cancel { id, attempt } => {
                self.drop_attempt(
                    now,
                    AttemptId { request: id, number: attempt },
                    AttemptResult::Cancelled,
                    steps,
                );
            }
            Action::SetTimer { at_ms, label } => self.set_timer(at_ms, TimerKind::Scheduler(label)),
            Action::Watch(on) => steps.push(Step::Watch(on)),
            Action::FetchNodeList => steps.push(Step::FetchNodeList),
            Action::CloseIdleConnections { node } => steps.push(Step::CloseIdleConnections(node)),
            Action::Log(text) => steps.push(Step::Log(text)),
            // The hosts of this driver cannot probe nodes and exchange no messages.
            Action::Probe { .. } | Action::SendMessage { .. } => {}
        }
    }

    /// Drops an attempt that the scheduler issued for a request that is over, and reports it as not sent.
    ///
    /// Otherwise the attempt would hold its in-flight slot for good, and the node would get no late requests
    /// any more.
    fn drop_unsent(&mut self, id: u32, node: u32) {
        let Some(attempts) = self.ended_requests.get_mut(&id) else { return };
        let attempt = AttemptId { request: id, number: *attempts };
        *attempts = attempts.saturating_add(1);
        let dropped = Attempt { node, sent_at: 0.0 };
        self.report_outcome(0.0, attempt, &dropped, AttemptResult::NotSent, NodeReport::default());
    }

    fn set_timer(&mut self, at_ms: f64, kind: TimerKind) {
        if at_ms.is_finite() {
            self.last_timer_number += 1;
            self.timers.push(Reverse((FiniteTime(at_ms), self.last_timer_number, kind)));
        }
    }

    /// Stops waiting for an attempt that was cancelled or timed out.
    fn drop_attempt(&mut self, now: f64, id: AttemptId, result: AttemptResult, steps: &mut Vec<Step>) {
        let Some(attempt) = self.in_flight.remove(&id) else { return };
        steps.push(Step::AttemptDropped { attempt: id, node: attempt.node, result });
        self.report_outcome(now, id, &attempt, result, NodeReport::default());
    }

    fn report_outcome(
        &mut self,
        ended_at: f64,
        id: AttemptId,
        attempt: &Attempt,
        result: AttemptResult,
        report: NodeReport,
    ) {
        self.events.push_back(Event::AttemptEnded(AttemptOutcome {
            id: id.request,
            attempt: id.number,
            node: attempt.node,
            result,
            elapsed_ms: (ended_at - attempt.sent_at).max(0.0),
            request_ended: !self.requests.contains_key(&id.request),
            used_percent: report.used_percent,
            other_hosts_units: report.other_hosts_units,
            queue: report.queue,
            in_flight: report.in_flight,
            latency_ms: report.latency_ms,
            util: report.util,
        }));
    }
}
