//! Drives a [`pearfork::Scheduler`] for a host, whatever its fronts speak. No I/O, no clock.
//!
//! It decides nothing. What it adds is the bookkeeping that the module's interface asks of a host: ids, numbers of
//! attempts, timers, the time-out of an attempt at the moment the module named, and that a request which has had
//! its answer gets no other.

mod ids;

pub use ids::RequestIds;

use pearfork::{
    Action, Event, ListKind, NodeEntry, AttemptOutcome, Reason, Request, Scheduler, Settings, SettingsError, AttemptResult,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: u32,
    /// From 0, in order of issue.
    pub number: u16,
}

/// What a node's answer told besides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// Units served for the volume everywhere in a past period, in percent of its nominal rate.
    pub used_percent: Option<f64>,
    /// Units this shard served for the volume through other hosts since its last answer here.
    pub other_hosts_units: f64,
    /// Requests waiting at the node.
    pub queue: Option<f64>,
    /// Requests in work or waiting at the node.
    pub in_flight: Option<f64>,
    /// The node's recent service time, milliseconds.
    pub latency_ms: Option<f64>,
    /// How busy its cores are.
    pub util: Option<f64>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send an attempt to a node; it is over for the host at `deadline_ms`, which a [`Step::AttemptDropped`] tells.
    Send {
        /// Which.
        attempt: AttemptId,
        /// Where to.
        node: u32,
        /// On the caller's clock.
        deadline_ms: f64,
        /// What is not written whole by then is not to be written, and never ran; infinite for no such moment.
        write_deadline_ms: f64,
    },
    /// An attempt is no longer waited for: cancelled, or its time is up.
    AttemptDropped {
        /// Which.
        attempt: AttemptId,
        /// Where it was sent.
        node: u32,
        /// [`AttemptResult::Cancelled`] or [`AttemptResult::TimedOut`].
        result: AttemptResult,
    },
    /// The final answer: refused.
    Refused {
        /// The request.
        id: u32,
        /// When the client may come again; 0: no advice.
        retry_after_ms: f64,
        /// What decided it.
        reason: Reason,
    },
    /// The final answer: failed.
    Failed {
        /// The request.
        id: u32,
        /// What decided it.
        reason: Reason,
    },
    /// Go on asking for changes of the node list, or stop.
    Watch(bool),
    /// Ask for the whole list once.
    FetchNodeList,
    /// Close idle connections to a node.
    CloseIdleConnections(u32),
    /// A line for the staff.
    Log(String),
}

struct Live {
    valid_until: f64,
    attempts: u16,
}

struct Flight {
    node: u32,
    sent: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    TimeOut(AttemptId),
}

/// A time that orders; all are finite.
#[derive(Clone, Copy, PartialEq)]
struct At(f64);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Drives one [`Scheduler`].
pub struct Driver {
    scheduler: Scheduler,
    most_attempts: u16,
    ids: RequestIds,
    requests: HashMap<u32, Live>,
    /// Requests that are over while events wait for the module, and their attempts: it may send for them before it
    /// has heard.
    ended: HashMap<u32, u16>,
    flights: HashMap<AttemptId, Flight>,
    timers: BinaryHeap<Reverse<(At, u64, Due)>>,
    timer_number: u64,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Driver {
    /// A host from nothing.
    ///
    /// # Errors
    /// The module refuses a setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Driver, SettingsError> {
        let most_attempts = settings.max_attempts.min(u32::from(u16::MAX)) as u16;
        Ok(Driver {
            scheduler: Scheduler::new(settings, seed)?,
            most_attempts,
            ids: RequestIds::default(),
            requests: HashMap::new(),
            ended: HashMap::new(),
            flights: HashMap::new(),
            timers: BinaryHeap::new(),
            timer_number: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
        })
    }

    /// An id that no live request or attempt has.
    pub fn allocate_id(&mut self) -> u32 {
        let (requests, flights, most) = (&self.requests, &self.flights, self.most_attempts);
        self.ids.allocate(|request| {
            let out = |number| flights.contains_key(&AttemptId { request, number });
            requests.contains_key(&request) || (0..most).any(out)
        })
    }

    /// A request came, under an id that was allotted for it. The module is told at the next [`Driver::process_events`].
    pub fn submit(&mut self, request: Request) {
        self.requests.insert(request.id, Live { valid_until: request.valid_until_ms, attempts: 0 });
        self.events.push_back(Event::Request(request));
    }

    /// Its client no longer wants the answer. What is out for it is still waited for: a node may be heard.
    pub fn abandon(&mut self, id: u32) {
        if self.over(id) {
            self.events.push_back(Event::Abandoned { id });
        }
    }

    /// The node list, or a change of it.
    pub fn update_node_list(&mut self, kind: ListKind, entries: Vec<NodeEntry>) {
        self.events.push_back(Event::NodeList(kind, entries));
    }

    /// This host's part of a volume's limit from now on, as [`Event::LimitShare`] has it.
    pub fn set_limit_share(&mut self, part: Event) {
        debug_assert!(matches!(part, Event::LimitShare { .. }));
        self.events.push_back(part);
    }

    /// An attempt ended at `at` on the caller's clock. True: the request was open and this served it; the client is
    /// to be given what the node gave.
    ///
    /// Danger: an answer after its time-out. The attempt is over for the module; a late success must not answer a
    /// request that was refused meanwhile, nor one that took its id.
    pub fn attempt_ended(&mut self, at: f64, id: AttemptId, result: AttemptResult, told: NodeReport) -> bool {
        let Some(flight) = self.flights.remove(&id) else { return false };
        let served = result == AttemptResult::Served && self.over(id.request);
        self.outcome(at, id, &flight, result, told);
        served
    }

    /// Whether an attempt is still waited for.
    pub fn is_in_flight(&self, id: AttemptId) -> bool {
        self.flights.contains_key(&id)
    }

    /// Where an attempt went that is still waited for.
    pub fn node_of(&self, id: AttemptId) -> Option<u32> {
        self.flights.get(&id).map(|f| f.node)
    }

    /// The attempts of a request that are still waited for, in order of issue.
    pub fn attempts_of(&self, request: u32) -> Vec<AttemptId> {
        let all = (0..self.most_attempts).map(|number| AttemptId { request, number });
        all.filter(|id| self.is_in_flight(*id)).collect()
    }

    /// Requests without an answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Attempts that are waited for.
    pub fn attempts_in_flight(&self) -> usize {
        self.flights.len()
    }

    /// What the requests without an answer wait for now, by the module's word.
    pub fn waiting(&self, now: f64) -> BTreeMap<Reason, u64> {
        let mut waiting = BTreeMap::new();
        for (_, reason) in self.scheduler.waiting(now) {
            *waiting.entry(reason).or_insert(0) += 1;
        }
        waiting
    }

    /// When something is due next.
    pub fn next_timer(&self) -> Option<f64> {
        self.timers.peek().map(|Reverse((at, ..))| at.0)
    }

    /// Rings what is due.
    pub fn run_timers(&mut self, now: f64, out: &mut Vec<Step>) {
        // Bounded by what was due at the call: a timer set for now by one that rings waits for the next call.
        let before = self.timer_number;
        let mut later = Vec::new();
        while let Some(Reverse((at, number, due))) = self.timers.peek().copied() {
            if at.0 > now {
                break;
            }
            self.timers.pop();
            if number > before {
                later.push(Reverse((at, number, due)));
                continue;
            }
            match due {
                Due::Module(label) => self.events.push_back(Event::Timer { label }),
                Due::TimeOut(id) => self.withdraw(now, id, AttemptResult::TimedOut, out),
            }
            self.process_events(now, out);
        }
        self.timers.extend(later);
    }

    /// Gives the module what waits for it and notes what it says, until both are quiet.
    pub fn process_events(&mut self, now: f64, out: &mut Vec<Step>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, out);
            }
            self.actions = actions;
        }
        self.ended.clear();
    }

    /// Takes a request off; false where it was off before.
    fn over(&mut self, id: u32) -> bool {
        let Some(live) = self.requests.remove(&id) else { return false };
        self.ended.insert(id, live.attempts);
        true
    }

    fn carry_out(&mut self, now: f64, action: Action, out: &mut Vec<Step>) {
        match action {
            Action::Send { id, node, timeout_ms, write_deadline_ms } => {
                let Some(live) = self.requests.get_mut(&id) else { return self.moot(id, node) };
                let attempt = AttemptId { request: id, number: live.attempts };
                live.attempts = live.attempts.saturating_add(1);
                let deadline_ms =
                    if timeout_ms > 0.0 { live.valid_until.min(now + timeout_ms) } else { live.valid_until };
                self.flights.insert(attempt, Flight { node, sent: now });
                self.set_timer(deadline_ms, Due::TimeOut(attempt));
                out.push(Step::Send { attempt, node, deadline_ms, write_deadline_ms });
            }
            Action::Refuse { id, retry_after_ms, reason } => {
                if self.over(id) {
                    out.push(Step::Refused { id, retry_after_ms, reason });
                }
            }
            Action::Fail { id, reason } => {
                if self.over(id) {
                    out.push(Step::Failed { id, reason });
                }
            }
            Action::Cancel { id, attempt } => {
                self.withdraw(now, AttemptId { request: id, number: attempt }, AttemptResult::Cancelled, out);
            }
            Action::SetTimer { at_ms, label } => self.set_timer(at_ms, Due::Module(label)),
            Action::Watch(on) => out.push(Step::Watch(on)),
            Action::FetchNodeList => out.push(Step::FetchNodeList),
            Action::CloseIdleConnections { node } => out.push(Step::CloseIdleConnections(node)),
            Action::Log(text) => out.push(Step::Log(text)),
            // Not offered to the module by these hosts: nodes can't be probed, hosts don't talk.
            Action::Probe { .. } | Action::SendMessage { .. } => {}
        }
    }

    /// The module sent for a request that is over by now: it goes nowhere, and the module is told.
    ///
    /// Danger: a place in flight that nobody gives back. Behind one that never ends, a node is sent nothing that is late.
    fn moot(&mut self, id: u32, node: u32) {
        let Some(attempts) = self.ended.get_mut(&id) else { return };
        let attempt = AttemptId { request: id, number: *attempts };
        *attempts = attempts.saturating_add(1);
        let flight = Flight { node, sent: 0.0 };
        self.outcome(0.0, attempt, &flight, AttemptResult::NotSent, NodeReport::default());
    }

    fn set_timer(&mut self, at_ms: f64, due: Due) {
        if at_ms.is_finite() {
            self.timer_number += 1;
            self.timers.push(Reverse((At(at_ms), self.timer_number, due)));
        }
    }

    /// The host stops waiting for an attempt, by the module's word or at the time that it named.
    fn withdraw(&mut self, now: f64, id: AttemptId, result: AttemptResult, out: &mut Vec<Step>) {
        let Some(flight) = self.flights.remove(&id) else { return };
        out.push(Step::AttemptDropped { attempt: id, node: flight.node, result });
        self.outcome(now, id, &flight, result, NodeReport::default());
    }

    fn outcome(&mut self, at: f64, id: AttemptId, flight: &Flight, result: AttemptResult, told: NodeReport) {
        self.events.push_back(Event::AttemptEnded(AttemptOutcome {
            id: id.request,
            attempt: id.number,
            node: flight.node,
            result,
            elapsed_ms: (at - flight.sent).max(0.0),
            request_ended: !self.requests.contains_key(&id.request),
            used_percent: told.used_percent,
            other_hosts_units: told.other_hosts_units,
            queue: told.queue,
            in_flight: told.in_flight,
            latency_ms: told.latency_ms,
            util: told.util,
        }));
    }
}
