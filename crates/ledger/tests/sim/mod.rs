//! A deterministic simulation of a fleet with the real state machines and a simulated clock. Links lose,
//! duplicate, delay and cut off messages, processes crash, pause and restart, disks fill up, and clocks
//! drift. After every step the simulation checks that the processes may together use no more than the
//! lendable fraction.
#![allow(dead_code)]

use pearfork_ledger::raft::{PersistentState, RaftMessage};
use pearfork_ledger::{
    Allocation, Budget, BudgetKind, Fraction, Held, Holder, HostNumber, LeaseOutcome, LeaseRequest,
    LeaseResponse, LeaseTable, Timing, Voter,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A seeded random number generator (xorshift64*).
#[derive(Clone)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        (self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }

    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.next()
    }
}

/// Behaviour of all links. The rates are probabilities per message.
#[derive(Clone, Copy)]
pub struct LinkModel {
    /// Minimum and maximum delay.
    pub delay_ms: (f64, f64),
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// Rate of copies that arrive seconds to a minute later.
    pub stale_rate: f64,
}

pub const RELIABLE: LinkModel =
    LinkModel { delay_ms: (0.2, 2.0), loss_rate: 0.0, duplication_rate: 0.0, stale_rate: 0.0 };
pub const UNRELIABLE: LinkModel =
    LinkModel { delay_ms: (0.2, 120.0), loss_rate: 0.15, duplication_rate: 0.1, stale_rate: 0.02 };

#[derive(Clone)]
enum EventKind {
    Raft { to: usize, from: HostNumber, message: RaftMessage },
    LeaseRequest { to: usize, from: (usize, u64), request: LeaseRequest },
    LeaseResponse { to: (usize, u64), response: LeaseResponse },
    VoterTimer { voter: usize, generation: u64 },
    HolderTimer { process: u64 },
    ApplyShares { process: u64, shares: Vec<Share>, unconfirmed: Vec<(Budget, Allocation)> },
    RetryDisk { voter: usize },
}

/// A share as the consumer of a budget applied it: the leased fraction and when the lease expires.
#[derive(Clone)]
struct Share {
    budget: Budget,
    fraction: Fraction,
    expires_at: f64,
}

/// An event: its time, a number that orders events with the same time, and what happens.
struct Event(f64, u64, EventKind);

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

pub struct Process {
    pub host: usize,
    holder: Holder,
    /// The shares that the consumer applied last.
    shares: BTreeMap<Budget, Share>,
    paused_until: f64,
    /// When the consumer applies the last update. Updates are applied in order.
    applies_at: f64,
    /// The voter that requests go to.
    voter: usize,
    /// Number of requests without a response.
    unanswered: u32,
    pub demand: BTreeMap<Budget, f64>,
    /// Smallest useful fraction of a budget.
    pub min_fraction: f64,
}

struct VoterSlot {
    voter: Option<Voter<(usize, u64)>>,
    disk: PersistentState,
    disk_failing: bool,
    /// Counts starts and stops, so that timers of an earlier run are ignored.
    generation: u64,
    paused_until: f64,
    /// When the next timer fires; later ones are ignored.
    timer_at: f64,
    /// The generation and commit index that were checked last.
    checked: std::cell::Cell<(u64, u64)>,
}

/// A simulated fleet.
pub struct SimFleet {
    pub now: f64,
    pub rng: Rng,
    pub links: LinkModel,
    pub timing: Timing,
    pub lendable: Fraction,
    pub hosts: usize,
    slots: Vec<VoterSlot>,
    pub processes: BTreeMap<u64, Process>,
    clock_rates: Vec<f64>,
    cut_links: BTreeSet<(usize, usize)>,
    events: BinaryHeap<Reverse<Event>>,
    event_number: u64,
    next_process: u64,
    pub messages: u64,
    /// Bytes of the messages with their frame headers; none if they are not counted.
    pub bytes: Option<u64>,
    /// The invariants are checked after every this many events.
    pub check_every: u64,
    /// The consumer applies a new share within this time.
    pub max_apply_delay_ms: f64,
    steps: u64,
    /// Largest fraction of a budget that was usable at any check.
    pub max_in_use: f64,
    /// Committed entries by index, to check that no two voters commit different ones.
    committed: BTreeMap<u64, String>,
}

impl SimFleet {
    pub fn new(seed: u64, hosts: usize, voters: usize) -> SimFleet {
        let lendable = Fraction::from_f64(0.97);
        let slot = || VoterSlot {
            voter: None,
            disk: PersistentState { table: LeaseTable::new(lendable), ..PersistentState::default() },
            disk_failing: false,
            generation: 0,
            paused_until: 0.0,
            timer_at: f64::INFINITY,
            checked: std::cell::Cell::default(),
        };
        let mut fleet = SimFleet {
            now: 0.0,
            rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            links: RELIABLE,
            timing: Timing::default(),
            lendable,
            hosts,
            slots: (0..voters).map(|_| slot()).collect(),
            processes: BTreeMap::new(),
            clock_rates: vec![1.0; hosts],
            cut_links: BTreeSet::new(),
            events: BinaryHeap::new(),
            event_number: 0,
            next_process: 1,
            messages: 0,
            bytes: None,
            check_every: 1,
            max_apply_delay_ms: 30.0,
            steps: 0,
            max_in_use: 0.0,
            committed: BTreeMap::new(),
        };
        (0..voters).for_each(|v| fleet.start_voter(v));
        fleet
    }

    fn local_time(&self, host: usize) -> f64 {
        self.now * self.clock_rates[host]
    }

    /// Sets the rate of a host's clock. Must be called before the simulation runs.
    pub fn set_clock_rate(&mut self, host: usize, rate: f64) {
        self.clock_rates[host] = rate;
        if host < self.slots.len() {
            self.kill_voter(host);
            self.start_voter(host);
        }
    }

    fn schedule(&mut self, at: f64, kind: EventKind) {
        self.event_number += 1;
        self.events.push(Reverse(Event(at, self.event_number, kind)));
    }

    pub fn voters(&self) -> usize {
        self.slots.len()
    }

    pub fn start_voter(&mut self, v: usize) {
        let voters: Vec<HostNumber> = (0..self.slots.len()).map(|v| HostNumber(v as u16)).collect();
        let seed = self.rng.next().to_bits();
        let (timing, local) = (self.timing, self.local_time(v));
        let slot = &mut self.slots[v];
        if slot.voter.is_some() || slot.disk_failing {
            return;
        }
        slot.generation += 1;
        slot.timer_at = f64::INFINITY;
        let voter = Voter::new(HostNumber(v as u16), &voters, timing, seed, slot.disk.clone(), local);
        // The log is compacted early and often, to exercise snapshots.
        slot.voter = Some(voter.with_compact_after(12));
        self.voter_step(v, |_, _| {});
    }

    /// Kills a voter; what is not on its disk is lost.
    pub fn kill_voter(&mut self, v: usize) {
        self.slots[v].voter = None;
        self.slots[v].generation += 1;
    }

    /// Makes a disk reject writes. A voter that has to write then stops, and restarts once the disk accepts
    /// writes again.
    pub fn set_disk_failing(&mut self, v: usize, is_failing: bool) {
        self.slots[v].disk_failing = is_failing;
    }

    /// Starts a holder process of a host, in addition to any existing one.
    pub fn start_host(&mut self, host: usize) -> u64 {
        let id = self.next_process;
        self.next_process += 1;
        let nonce = id;
        let process = Process {
            host,
            holder: Holder::new(HostNumber(host as u16), nonce, self.timing),
            shares: BTreeMap::new(),
            paused_until: 0.0,
            applies_at: 0.0,
            voter: host % self.slots.len(),
            unanswered: 0,
            demand: BTreeMap::new(),
            min_fraction: 0.001,
        };
        self.processes.insert(id, process);
        self.schedule(self.now, EventKind::HolderTimer { process: id });
        id
    }

    pub fn kill_host(&mut self, process: u64) {
        self.processes.remove(&process);
    }

    /// The process of a host that is not superseded; the one that started last if there are several.
    pub fn current_process(&self, host: usize) -> Option<u64> {
        let is_current = |p: &Process| p.host == host && !p.holder.state().superseded;
        self.processes.iter().rev().find(|(_, p)| is_current(p)).map(|(id, _)| *id)
    }

    /// Pauses the voter and all processes of a host.
    pub fn pause_host(&mut self, host: usize, ms: f64) {
        let until = self.now + ms;
        if host < self.slots.len() {
            self.slots[host].paused_until = until;
        }
        self.processes.values_mut().filter(|p| p.host == host).for_each(|p| p.paused_until = until);
    }

    pub fn set_link_cut(&mut self, from: usize, to: usize, is_cut: bool) {
        if is_cut {
            self.cut_links.insert((from, to));
        } else {
            self.cut_links.remove(&(from, to));
        }
    }

    pub fn heal_links(&mut self) {
        self.cut_links.clear();
    }

    pub fn set_demand(&mut self, process: u64, budget: &Budget, demand: f64) {
        if let Some(p) = self.processes.get_mut(&process) {
            p.demand.insert(budget.clone(), demand);
        }
    }

    /// Sends a message over a link, which may lose, delay or duplicate it.
    fn send(&mut self, from: usize, to: usize, kind: EventKind) {
        self.messages += 1;
        if let Some(bytes) = &mut self.bytes {
            let length = match &kind {
                EventKind::Raft { message, .. } => serde_json::to_vec(message),
                EventKind::LeaseRequest { request, .. } => serde_json::to_vec(request),
                EventKind::LeaseResponse { response, .. } => serde_json::to_vec(response),
                _ => Ok(Vec::new()),
            };
            *bytes += length.map_or(0, |b| b.len() as u64 + 8);
        }
        if self.cut_links.contains(&(from, to)) || self.rng.next() < self.links.loss_rate {
            return;
        }
        let delay = self.rng.between(self.links.delay_ms.0, self.links.delay_ms.1);
        if self.rng.next() < self.links.duplication_rate {
            let later = self.rng.between(0.0, 300.0);
            self.schedule(self.now + delay + later, kind.clone());
        }
        if self.rng.next() < self.links.stale_rate {
            let later = self.rng.between(2_000.0, 60_000.0);
            self.schedule(self.now + delay + later, kind.clone());
        }
        self.schedule(self.now + delay, kind);
    }

    /// Runs a step of a voter, then writes and sends its output.
    fn voter_step(&mut self, v: usize, step: impl FnOnce(&mut Voter<(usize, u64)>, f64)) {
        let local = self.local_time(v);
        let slot = &mut self.slots[v];
        let Some(voter) = &mut slot.voter else { return };
        step(voter, local);
        loop {
            let ready = voter.take_output();
            let writes = ready.raft.rewrite || !ready.raft.records.is_empty();
            if writes {
                if slot.disk_failing {
                    // Nothing is sent: the effect is that of a crash before the step.
                    self.kill_voter(v);
                    self.schedule(self.now + 500.0, EventKind::RetryDisk { voter: v });
                    return;
                }
                if ready.raft.rewrite {
                    slot.disk = voter.raft().persistent_state();
                } else {
                    for record in ready.raft.records {
                        assert!(slot.disk.apply(record), "a record that does not continue the state");
                    }
                }
                voter.persisted(local);
            }
            let done = ready.raft.messages.is_empty() && ready.responses.is_empty() && !writes;
            let from = HostNumber(v as u16);
            for (to, message) in ready.raft.messages {
                let to = usize::from(to.0);
                self.event_number += 1;
                let kind = EventKind::Raft { to, from, message };
                // `slot` is borrowed here: the messages are queued with a negative time and sent below.
                self.events.push(Reverse(Event(-1.0, self.event_number, kind)));
            }
            for (to, response) in ready.responses {
                self.event_number += 1;
                self.events.push(Reverse(Event(
                    -1.0,
                    self.event_number,
                    EventKind::LeaseResponse { to, response },
                )));
            }
            if done {
                break;
            }
        }
        let (due, generation) = (voter.next_deadline(), slot.generation);
        while let Some(Reverse(Event(at, ..))) = self.events.peek() {
            if *at >= 0.0 {
                break;
            }
            let Some(Reverse(Event(.., kind))) = self.events.pop() else { break };
            let to = match &kind {
                EventKind::Raft { to, .. } => *to,
                EventKind::LeaseResponse { to, .. } => to.0,
                _ => continue,
            };
            self.send(v, to, kind);
        }
        let due = (due / self.clock_rates[v]).max(self.now + 0.1);
        if due < self.slots[v].timer_at {
            self.slots[v].timer_at = due;
            self.schedule(due, EventKind::VoterTimer { voter: v, generation });
        }
    }

    fn run_holder(&mut self, id: u64) {
        let Some(p) = self.processes.get_mut(&id) else { return };
        if p.paused_until > self.now {
            let at = p.paused_until;
            return self.schedule(at, EventKind::HolderTimer { process: id });
        }
        let (host, to) = (p.host, p.voter);
        for (budget, demand) in &p.demand {
            p.holder.set_demand(budget, Fraction::from_f64(*demand), Fraction::from_f64(p.min_fraction), 0);
        }
        p.unanswered += 1;
        if p.unanswered > 2 {
            // No response from this voter: try the next one.
            p.voter = (p.voter + 1) % self.slots.len();
        }
        let local = self.now * self.clock_rates[host];
        let next = self.now + self.timing.renewal_interval_ms / self.clock_rates[host];
        if p.holder.should_request() {
            let request = p.holder.next_request(local);
            self.send(host, to, EventKind::LeaseRequest { to, from: (host, id), request });
        }
        self.schedule(next, EventKind::HolderTimer { process: id });
    }

    fn handle_response(&mut self, id: u64, response: &LeaseResponse) {
        use pearfork_ledger::Refusal;
        let Some(p) = self.processes.get_mut(&id) else { return };
        let local = self.now * self.clock_rates[p.host];
        match &response.outcome {
            LeaseOutcome::Refused(Refusal::NotLeader(Some(leader))) => p.voter = usize::from(leader.0),
            LeaseOutcome::Refused(Refusal::NotLeader(None)) => {}
            _ => p.unanswered = 0,
        }
        p.holder.handle_response(local, response);
        // As in a host, each response passes all shares to the consumer.
        let share = |(budget, held): (&Budget, Held)| Share {
            budget: budget.clone(),
            fraction: held.fraction,
            expires_at: held.expires_at,
        };
        let shares = p.holder.all_held().map(share).collect();
        let unconfirmed = p.holder.unconfirmed();
        let later = self.now + self.rng.between(0.0, self.max_apply_delay_ms);
        let Some(p) = self.processes.get_mut(&id) else { return };
        p.applies_at = p.applies_at.max(later);
        let applies_at = p.applies_at;
        self.schedule(applies_at, EventKind::ApplyShares { process: id, shares, unconfirmed });
    }

    /// Handles one event. Returns false if none is left.
    pub fn step(&mut self) -> bool {
        let Some(Reverse(Event(at, _, kind))) = self.events.pop() else { return false };
        self.now = self.now.max(at);
        match kind {
            EventKind::Raft { to, from, message } => {
                if !self.defer_if_paused(to, EventKind::Raft { to, from, message: message.clone() }) {
                    self.voter_step(to, |v, now| v.handle_message(now, from, message));
                }
            }
            EventKind::LeaseRequest { to, from, request } => {
                if !self.defer_if_paused(to, EventKind::LeaseRequest { to, from, request: request.clone() }) {
                    self.voter_step(to, |v, now| v.handle_request(now, from, request));
                }
            }
            EventKind::VoterTimer { voter, generation } => {
                let again = EventKind::VoterTimer { voter, generation };
                let slot = &mut self.slots[voter];
                if slot.generation != generation || at > slot.timer_at {
                    return true;
                }
                if self.defer_if_paused(voter, again) {
                    self.slots[voter].timer_at = self.slots[voter].paused_until;
                } else {
                    self.slots[voter].timer_at = f64::INFINITY;
                    self.voter_step(voter, |v, now| v.tick(now));
                }
            }
            EventKind::LeaseResponse { to, response } => match self.processes.get(&to.1) {
                Some(p) if p.paused_until > self.now => {
                    self.schedule(p.paused_until, EventKind::LeaseResponse { to, response });
                }
                _ => self.handle_response(to.1, &response),
            },
            EventKind::HolderTimer { process } => self.run_holder(process),
            EventKind::ApplyShares { process, shares, unconfirmed } => {
                let paused_until = self.processes.get(&process).map_or(0.0, |p| p.paused_until);
                if paused_until > self.now {
                    self.schedule(paused_until, EventKind::ApplyShares { process, shares, unconfirmed });
                } else if let Some(p) = self.processes.get_mut(&process) {
                    p.shares.extend(shares.into_iter().map(|share| (share.budget.clone(), share)));
                    for (budget, allocation) in unconfirmed {
                        p.holder.confirm(&budget, allocation);
                    }
                }
            }
            EventKind::RetryDisk { voter } => {
                if self.slots[voter].disk_failing {
                    self.schedule(self.now + 500.0, EventKind::RetryDisk { voter });
                } else {
                    self.start_voter(voter);
                }
            }
        }
        self.steps += 1;
        if self.steps.is_multiple_of(self.check_every) {
            self.check();
        }
        true
    }

    /// Reschedules an event for a paused voter. Returns whether the voter is paused.
    fn defer_if_paused(&mut self, voter: usize, kind: EventKind) -> bool {
        let until = self.slots[voter].paused_until;
        if until > self.now {
            self.schedule(until, kind);
        }
        until > self.now
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.events.peek().is_some_and(|Reverse(Event(at, ..))| *at <= until) {
            self.step();
        }
        self.now = until;
    }

    /// Whether a response with a lease for a process is in flight.
    pub fn is_lease_in_flight(&self, process: u64) -> bool {
        let is_lease = |kind: &EventKind| match kind {
            EventKind::LeaseResponse { to, response } => {
                to.1 == process && matches!(response.outcome, LeaseOutcome::Lease(_))
            }
            _ => false,
        };
        self.events.iter().any(|Reverse(Event(.., kind))| is_lease(kind))
    }

    /// The fraction of a budget that a process may use now, beyond its floor.
    pub fn usable(&self, id: u64, budget: &Budget) -> Fraction {
        let Some(p) = self.processes.get(&id) else { return Fraction::ZERO };
        let valid = p.shares.get(budget).filter(|share| self.local_time(p.host) < share.expires_at);
        valid.map_or(Fraction::ZERO, |share| share.fraction)
    }

    pub fn total_usable(&self, budget: &Budget) -> Fraction {
        self.processes.keys().map(|id| self.usable(*id, budget)).sum()
    }

    /// Checks the invariants: the fractions that all processes may use, paused ones included, never add up to
    /// more than the lendable fraction, neither do the allocations in a table, and no two voters commit
    /// different entries.
    fn check(&mut self) {
        let mut all: BTreeMap<&Budget, Fraction> = BTreeMap::new();
        for p in self.processes.values() {
            let local = self.now * self.clock_rates[p.host];
            for share in p.shares.values().filter(|share| local < share.expires_at) {
                let sum = all.entry(&share.budget).or_default();
                *sum = sum.saturating_add(share.fraction);
            }
        }
        for (budget, fraction) in all {
            self.max_in_use = self.max_in_use.max(fraction.as_f64());
            assert!(fraction <= self.lendable, "at {:.1} ms: {fraction} of {budget} is usable", self.now);
        }
        for slot in &self.slots {
            let Some(v) = &slot.voter else { continue };
            let (snapshot_index, commit) = (v.raft().log().snapshot().index, v.raft().commit());
            if slot.checked.replace((slot.generation, commit)) == (slot.generation, commit) {
                continue;
            }
            for (budget, holders) in v.table().budgets() {
                let all: Fraction = holders.values().map(|l| l.fraction).sum();
                assert!(all <= self.lendable, "{all} of {budget} is allocated in the table");
            }
            if let Some(entry) = v.raft().log().get(commit).filter(|_| commit > snapshot_index) {
                let text = format!("{entry:?}");
                let first = self.committed.entry(commit).or_insert_with(|| text.clone());
                assert_eq!(*first, text, "two different entries are committed at index {commit}");
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.slots.len())
            .find(|v| self.slots[*v].voter.as_ref().is_some_and(|v| v.lease_manager().is_some()))
    }
}

/// The budget for the rate limit of the volume `archive`.
pub fn archive_budget() -> Budget {
    Budget::new(BudgetKind::Limit, "archive")
}
