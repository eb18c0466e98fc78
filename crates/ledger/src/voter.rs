//! A voter: its part in the agreement, the agreed state, and while it leads the lending.

use crate::budget::{HostNumber, Incarnation};
use crate::lease_manager::LeaseManager;
use crate::lease_table::LeaseTable;
use crate::message::{LeaseOutcome, LeaseRequest, LeaseResponse, Refusal};
use crate::raft::{Output, PersistentState, Raft, RaftMessage};
use crate::{Change, Times};

/// Entries after which the log is cut and the state written in their place, where nothing else is said.
const COMPACT_AFTER: u64 = 2_048;
/// The least time between two divisions, milliseconds: what is asked within is divided together.
const BATCH_WINDOW_MS: f64 = 20.0;

/// Asks of one process that wait for an answer at the most.
const MAX_PENDING_REQUESTS: usize = 4;

/// What is to be written, then said to voters and to those who asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready<T> {
    /// For the other voters, with what has to be on disk before.
    pub raft: Output,
    /// For those who asked, by the token of their ask.
    pub responses: Vec<(T, LeaseResponse)>,
}

/// How a voter stands, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The term.
    pub term: u64,
    /// Who leads.
    pub leader: Option<HostNumber>,
    /// All up to here is agreed.
    pub commit: u64,
    /// The last entry that it has.
    pub last: u64,
}

#[derive(Clone, Debug)]
struct PendingRequest<T> {
    token: T,
    request: LeaseRequest,
    /// The word of the leader that a majority has to have heard: sent after the ask came.
    heartbeat: u64,
    /// Entries that have to be applied before: what this ask led to is in its answer.
    index: u64,
}

#[derive(Clone, Debug)]
struct LeaderState<T> {
    lease_manager: LeaseManager,
    pending: Vec<PendingRequest<T>>,
    /// The last proposal; no other is made before it is applied.
    proposed: u64,
    divide_at: f64,
    /// Asks came that no division has looked at.
    requested: bool,
}

/// One voter. `T` names asks.
#[derive(Clone, Debug)]
pub struct Voter<T> {
    raft: Raft,
    times: Times,
    table: LeaseTable,
    applied: u64,
    leading: Option<LeaderState<T>>,
    responses: Vec<(T, LeaseResponse)>,
    compact_after: u64,
}

impl<T: Clone> Voter<T> {
    /// A voter that goes on from what it has on disk. `image.table` of a new one is an empty [`LeaseTable::new`].
    pub fn new(
        me: HostNumber,
        voters: &[HostNumber],
        times: Times,
        seed: u64,
        image: PersistentState,
        now: f64,
    ) -> Voter<T> {
        let (table, applied) = (image.table.clone(), image.base.0);
        let raft = Raft::new(me, voters, times, seed, image, now);
        let responses = Vec::new();
        Voter { raft, times, table, applied, leading: None, responses, compact_after: COMPACT_AFTER }
    }

    /// The same, whose log is cut after so many entries.
    pub fn compacting_after(self, entries: u64) -> Voter<T> {
        Voter { compact_after: entries, ..self }
    }

    /// The agreed state, as far as this voter knows it.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// What the agreement stands at.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The accounts, while it leads and knows all that was agreed.
    pub fn lease_manager(&self) -> Option<&LeaseManager> {
        self.leading.as_ref().map(|l| &l.lease_manager)
    }

    /// How it stands.
    pub fn state(&self) -> VoterState {
        VoterState {
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            last: self.raft.log().last(),
        }
    }

    /// When something is due next.
    pub fn next_deadline(&self) -> f64 {
        // While a proposal waits to be agreed on, words of others move things on, and no clock does.
        let idle = self.leading.as_ref().filter(|l| l.proposed <= self.applied);
        let divide = idle.map_or(f64::INFINITY, |l| {
            let next = if l.requested { l.divide_at } else { f64::INFINITY };
            next.min((l.lease_manager.next_deadline() + 1.0).max(l.divide_at))
        });
        self.raft.next_deadline().min(divide)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.raft.tick(now);
        self.process(now);
    }

    /// Takes a message of another voter.
    pub fn handle_message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        self.raft.handle_message(now, from, message);
        self.process(now);
    }

    /// Takes an ask. It is answered at once, or once this voter is sure that it still leads.
    pub fn handle_request(&mut self, now: f64, token: T, request: LeaseRequest) {
        let Some(leading) = &mut self.leading else {
            let leader = self.raft.leader().filter(|_| !self.raft.is_leader());
            return self.refuse(token, &request, Refusal::NotLeader(leader));
        };
        // Danger: were each ask to take the place of the one before, a slow disk would leave all without an answer.
        if leading.pending.iter().filter(|p| p.request.nonce == request.nonce).count() >= MAX_PENDING_REQUESTS
        {
            if let Some(oldest) = leading.pending.iter().position(|p| p.request.nonce == request.nonce) {
                leading.pending.remove(oldest);
            }
        }
        leading.pending.push(PendingRequest { token, request, heartbeat: u64::MAX, index: u64::MAX });
        leading.requested = true;
        self.process(now);
    }

    fn refuse(&mut self, token: T, request: &LeaseRequest, refusal: Refusal) {
        let outcome = LeaseOutcome::Refused(refusal);
        self.responses.push((token, LeaseResponse { nonce: request.nonce, seq: request.seq, outcome }));
    }

    /// What was taken before is on disk.
    pub fn persisted(&mut self, now: f64) {
        self.raft.persisted();
        self.process(now);
    }

    /// Takes what there is to write and to say.
    pub fn take_output(&mut self) -> Ready<T> {
        Ready { raft: self.raft.take_output(), responses: std::mem::take(&mut self.responses) }
    }

    fn process(&mut self, now: f64) {
        self.apply();
        self.lead(now);
        self.answer_confirmed_requests(now);
    }

    fn apply(&mut self) {
        if self.raft.log().base().0 > self.applied {
            // A leader sent the state in place of entries that it no longer has.
            (self.table, self.applied) = (self.raft.base().clone(), self.raft.log().base().0);
        }
        while self.applied < self.raft.commit() {
            let Some(entry) = self.raft.log().get(self.applied + 1) else { break };
            for change in &entry.changes {
                self.table.apply(change);
            }
            self.applied += 1;
        }
        if self.applied - self.raft.log().base().0 > self.compact_after {
            self.raft.compact(self.applied, &self.table);
        }
    }

    /// Begins or ends to lend, and divides when it is time.
    fn lead(&mut self, now: f64) {
        if !self.raft.has_committed_in_term() {
            let Some(leading) = self.leading.take() else { return };
            let leader = self.raft.leader().filter(|_| !self.raft.is_leader());
            for p in leading.pending {
                self.refuse(p.token, &p.request, Refusal::NotLeader(leader));
            }
            return;
        }
        if self.leading.is_none() {
            self.leading = Some(LeaderState {
                lease_manager: LeaseManager::new(self.times, &self.table, now),
                pending: Vec::new(),
                proposed: 0,
                divide_at: now,
                requested: false,
            });
        }
        let Some(l) = &mut self.leading else { return };
        let due = l.requested || now > l.lease_manager.next_deadline();
        if !due || now < l.divide_at || l.proposed > self.applied {
            return;
        }
        (l.divide_at, l.requested) = (now + BATCH_WINDOW_MS, false);
        let mut joins = Vec::new();
        let mut refused = Vec::new();
        for p in l.pending.iter_mut().filter(|p| p.heartbeat == u64::MAX) {
            let found = p.request.incarnation.or(self.table.incarnation(p.request.host, p.request.nonce));
            match admit(&self.table, &p.request, found) {
                Admitted::Yes(who) => {
                    if !l.lease_manager.handle_request(now, who, &p.request) {
                        refused.push((p.request.nonce, p.request.seq, None));
                    }
                }
                Admitted::Join => {
                    joins.push(Change::Join { host: p.request.host, nonce: p.request.nonce });
                }
                Admitted::No(refusal) => refused.push((p.request.nonce, p.request.seq, Some(refusal))),
            }
        }
        let mut changes = joins;
        changes.extend(l.lease_manager.propose_changes(now, &self.table));
        let proposes = !changes.is_empty();
        if proposes {
            l.proposed = self.raft.propose(changes).unwrap_or(0);
        }
        // One word to all: it carries the entries, and makes sure that it still leads.
        let heartbeat = self.raft.send_heartbeat(now);
        let fresh = l.pending.iter_mut().filter(|p| p.heartbeat == u64::MAX);
        fresh.for_each(|p| (p.heartbeat, p.index) = (heartbeat, if proposes { l.proposed } else { 0 }));
        let mut turned_away = Vec::new();
        for (nonce, seq, refusal) in refused {
            // Danger: a process may have several asks here; the one that was refused goes, and no other.
            if let Some(at) = l.pending.iter().position(|p| (p.request.nonce, p.request.seq) == (nonce, seq))
            {
                turned_away.push((l.pending.swap_remove(at), refusal));
            }
        }
        for (p, refusal) in turned_away {
            if let Some(refusal) = refusal {
                self.refuse(p.token, &p.request, refusal);
            }
        }
    }

    fn answer_confirmed_requests(&mut self, now: f64) {
        let confirmed_heartbeat = self.raft.confirmed_heartbeat();
        let Some(l) = &mut self.leading else { return };
        let applied = self.applied;
        let ripe = |p: &PendingRequest<T>| p.heartbeat <= confirmed_heartbeat && p.index <= applied;
        let (ripe, rest) = std::mem::take(&mut l.pending).into_iter().partition(ripe);
        l.pending = rest;
        for p in ripe {
            let found = p.request.incarnation.or(self.table.incarnation(p.request.host, p.request.nonce));
            let outcome = match admit(&self.table, &p.request, found) {
                Admitted::Yes(who) => {
                    // One that has just joined is asked for no more than its name in its first answer.
                    if !l.lease_manager.leases().contains_key(&who) {
                        l.lease_manager.handle_request(now, who, &p.request);
                        l.requested = true;
                    }
                    if !l.lease_manager.is_open(who) {
                        continue;
                    }
                    l.lease_manager.renew_lease(now, who);
                    LeaseOutcome::Lease { incarnation: who, grants: l.lease_manager.grants(who, &self.table) }
                }
                Admitted::Join => LeaseOutcome::Refused(Refusal::Unknown),
                Admitted::No(refusal) => LeaseOutcome::Refused(refusal),
            };
            self.responses
                .push((p.token, LeaseResponse { nonce: p.request.nonce, seq: p.request.seq, outcome }));
        }
    }
}

enum Admitted {
    Yes(Incarnation),
    Join,
    No(Refusal),
}

/// Who an ask is from, by the table.
fn admit(table: &LeaseTable, request: &LeaseRequest, found: Option<Incarnation>) -> Admitted {
    let Some(who) = found else { return Admitted::Join };
    let sane = table.members().get(&who).is_some_and(|m| m.host == request.host && m.nonce == request.nonce);
    if !sane {
        return Admitted::No(Refusal::Unknown);
    }
    // The older of two processes under one name gives way: the later one came after it, and perhaps instead of it.
    if table.latest(request.host) != Some(who) {
        return Admitted::No(Refusal::Superseded);
    }
    Admitted::Yes(who)
}
