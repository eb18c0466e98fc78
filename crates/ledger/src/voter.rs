//! A voter: its replica of the log and of the state, and while it leads the management of leases.

use crate::budget::{HostNumber, Incarnation};
use crate::lease_manager::{Handling, LeaseManager};
use crate::lease_table::{Change, LeaseTable};
use crate::message::{LeaseOutcome, LeaseRequest, LeaseResponse, Refusal};
use crate::raft::{Output, PersistentState, Raft, RaftMessage};
use crate::Times;

/// Entries after which the log is compacted into a snapshot, by default.
const COMPACT_AFTER: u64 = 2_048;
/// The least time between two divisions, milliseconds: requests that come within it are handled together.
const BATCH_WINDOW_MS: f64 = 20.0;
/// Most requests of one process that wait for a response.
const MAX_PENDING_REQUESTS: usize = 4;

/// What is to be written, then sent to voters and to those who sent requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready<T> {
    /// For the other voters, with what has to be on disk before.
    pub raft: Output,
    /// Responses, by the token of their request.
    pub responses: Vec<(T, LeaseResponse)>,
}

/// Status of a voter, for status pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The term.
    pub term: u64,
    /// The leader.
    pub leader: Option<HostNumber>,
    /// Index of the last committed entry that it knows of.
    pub commit: u64,
    /// Index of the last entry that it has.
    pub last: u64,
}

/// What has to happen before a response is sent.
#[derive(Clone, Copy, Debug)]
struct Condition {
    /// A quorum has received this heartbeat, which was sent after the request came: this voter still led then.
    heartbeat: u64,
    /// The entry of this index is applied: what the request led to is in its response.
    index: u64,
}

#[derive(Clone, Debug)]
struct PendingRequest<T> {
    token: T,
    request: LeaseRequest,
    /// None until a division has looked at the request.
    condition: Option<Condition>,
}

/// A request that gets no lease.
struct Rejected {
    nonce: u64,
    seq: u64,
    /// None where it gets no response at all.
    refusal: Option<Refusal>,
}

/// State of a voter while it leads.
#[derive(Clone, Debug)]
struct Leadership<T> {
    lease_manager: LeaseManager,
    pending: Vec<PendingRequest<T>>,
    /// Index of the last proposal. No other is made before it is applied.
    proposed: u64,
    divide_at: f64,
    /// Requests came that no division has looked at.
    has_new_requests: bool,
}

impl<T> Leadership<T> {
    fn new(times: Times, term: u64, table: &LeaseTable, now: f64) -> Leadership<T> {
        Leadership {
            lease_manager: LeaseManager::new(times, term, table, now),
            pending: Vec::new(),
            proposed: 0,
            divide_at: now,
            has_new_requests: false,
        }
    }

    fn add(&mut self, token: T, request: LeaseRequest) {
        // Danger: were each request to replace the one before, with a slow disk none would get a response.
        let nonce = request.nonce;
        let of_process = |p: &PendingRequest<T>| p.request.nonce == nonce;
        if self.pending.iter().filter(|p| of_process(p)).count() >= MAX_PENDING_REQUESTS {
            if let Some(oldest) = self.pending.iter().position(of_process) {
                self.pending.remove(oldest);
            }
        }
        self.pending.push(PendingRequest { token, request, condition: None });
        self.has_new_requests = true;
    }

    fn next_division(&self) -> f64 {
        let has_work = self.has_new_requests || self.lease_manager.has_dirty_budgets();
        let for_requests = if has_work { self.divide_at } else { f64::INFINITY };
        for_requests.min((self.lease_manager.next_deadline() + 1.0).max(self.divide_at))
    }

    fn is_division_due(&self, now: f64, applied: u64) -> bool {
        let has_work = self.has_new_requests
            || self.lease_manager.has_dirty_budgets()
            || now > self.lease_manager.next_deadline();
        has_work && now >= self.divide_at && self.proposed <= applied
    }

    /// Hands new requests to the lease manager. Processes that are to join, and requests that get no lease.
    fn admit_new_requests(&mut self, now: f64, table: &LeaseTable) -> (Vec<Change>, Vec<Rejected>) {
        let mut joins = Vec::new();
        let mut rejected = Vec::new();
        for PendingRequest { request, .. } in self.pending.iter().filter(|p| p.condition.is_none()) {
            let mut reject =
                |refusal| rejected.push(Rejected { nonce: request.nonce, seq: request.seq, refusal });
            match admit(table, request) {
                Admission::Member(who) => match self.lease_manager.handle_request(now, who, request) {
                    Handling::Accepted => {}
                    Handling::Ignored => reject(None),
                    Handling::Unsynchronized => reject(Some(Refusal::Unsynchronized)),
                },
                Admission::Join => joins.push(Change::Join { host: request.host, nonce: request.nonce }),
                Admission::Refused(refusal) => reject(Some(refusal)),
            }
        }
        (joins, rejected)
    }

    fn set_condition_of_new_requests(&mut self, condition: Condition) {
        for pending in self.pending.iter_mut().filter(|p| p.condition.is_none()) {
            pending.condition = Some(condition);
        }
    }

    /// Removes one request. Danger: a process may have several here; the others stay.
    fn remove(&mut self, rejected: &Rejected) -> Option<PendingRequest<T>> {
        let is_it =
            |p: &PendingRequest<T>| (p.request.nonce, p.request.seq) == (rejected.nonce, rejected.seq);
        let at = self.pending.iter().position(is_it)?;
        Some(self.pending.swap_remove(at))
    }

    /// Takes the requests whose condition is met.
    fn take_confirmed(&mut self, confirmed_heartbeat: u64, applied: u64) -> Vec<PendingRequest<T>> {
        let is_met = |c: Condition| c.heartbeat <= confirmed_heartbeat && c.index <= applied;
        let (confirmed, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.condition.is_some_and(is_met));
        self.pending = rest;
        confirmed
    }
}

/// One voter. `T` names requests to whoever hands them in.
#[derive(Clone, Debug)]
pub struct Voter<T> {
    raft: Raft,
    times: Times,
    table: LeaseTable,
    /// Index of the last entry that `table` has.
    applied: u64,
    leadership: Option<Leadership<T>>,
    responses: Vec<(T, LeaseResponse)>,
    compact_after: u64,
}

impl<T: Clone> Voter<T> {
    /// A voter that continues from what it has on disk. The `table` of a new one is an empty [`LeaseTable::new`].
    pub fn new(
        me: HostNumber,
        voters: &[HostNumber],
        times: Times,
        seed: u64,
        state: PersistentState,
        now: f64,
    ) -> Voter<T> {
        Voter {
            times,
            table: state.table.clone(),
            applied: state.snapshot.index,
            raft: Raft::new(me, voters, times, seed, state, now),
            leadership: None,
            responses: Vec::new(),
            compact_after: COMPACT_AFTER,
        }
    }

    /// The same voter, whose log is compacted after so many entries.
    pub fn compacting_after(self, entries: u64) -> Voter<T> {
        Voter { compact_after: entries, ..self }
    }

    /// The replicated state, as far as this voter knows it.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// The consensus on the log.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The leases, while this voter leads and knows all that was committed.
    pub fn lease_manager(&self) -> Option<&LeaseManager> {
        self.leadership.as_ref().map(|l| &l.lease_manager)
    }

    /// Its status.
    pub fn state(&self) -> VoterState {
        VoterState {
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            last: self.raft.log().last_index(),
        }
    }

    /// When [`Voter::tick`] has something to do next.
    pub fn next_deadline(&self) -> f64 {
        // While a proposal waits to be committed, messages move things on, and no clock does.
        let idle = self.leadership.as_ref().filter(|l| l.proposed <= self.applied);
        let next_division = idle.map_or(f64::INFINITY, Leadership::next_division);
        self.raft.next_deadline().min(next_division)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.raft.tick(now);
        self.process(now);
    }

    /// Handles a message of another voter.
    pub fn handle_message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        self.raft.handle_message(now, from, message);
        self.process(now);
    }

    /// Handles a request. The response follows at once, or when it is sure that this voter still leads.
    pub fn handle_request(&mut self, now: f64, token: T, request: LeaseRequest) {
        match &mut self.leadership {
            Some(leadership) => {
                leadership.add(token, request);
                self.process(now);
            }
            None => self.refuse(token, &request, Refusal::NotLeader(self.other_leader())),
        }
    }

    /// Called once what was taken before is on disk.
    pub fn persisted(&mut self, now: f64) {
        self.raft.persisted();
        self.process(now);
    }

    /// Takes what there is to write and to send.
    pub fn take_output(&mut self) -> Ready<T> {
        Ready { raft: self.raft.take_output(), responses: std::mem::take(&mut self.responses) }
    }

    /// The leader, where that is another voter.
    fn other_leader(&self) -> Option<HostNumber> {
        self.raft.leader().filter(|_| !self.raft.is_leader())
    }

    fn respond(&mut self, token: T, request: &LeaseRequest, outcome: LeaseOutcome) {
        self.responses.push((token, LeaseResponse::to(request, outcome)));
    }

    fn refuse(&mut self, token: T, request: &LeaseRequest, refusal: Refusal) {
        self.respond(token, request, LeaseOutcome::Refused(refusal));
    }

    fn process(&mut self, now: f64) {
        self.apply_committed();
        self.update_leadership(now);
        self.divide_if_due(now);
        self.respond_to_confirmed(now);
    }

    fn apply_committed(&mut self) {
        if self.raft.log().snapshot().index > self.applied {
            // The leader sent a snapshot in place of entries that it no longer has.
            self.table = self.raft.snapshot_table().clone();
            self.applied = self.raft.log().snapshot().index;
        }
        while self.applied < self.raft.commit() {
            let Some(entry) = self.raft.log().get(self.applied + 1) else { break };
            for change in &entry.changes {
                self.table.apply(change);
                if let Some(leadership) = &mut self.leadership {
                    leadership.lease_manager.note_applied(change);
                }
            }
            self.applied += 1;
        }
        if self.applied - self.raft.log().snapshot().index > self.compact_after {
            self.raft.compact(self.applied, &self.table);
        }
    }

    /// Begins to manage leases once this voter leads and knows all that was committed, and ends it when it leads no more.
    fn update_leadership(&mut self, now: f64) {
        if self.raft.has_committed_in_term() {
            let term = self.raft.term();
            self.leadership.get_or_insert_with(|| Leadership::new(self.times, term, &self.table, now));
        } else if let Some(leadership) = self.leadership.take() {
            let leader = self.other_leader();
            for p in leadership.pending {
                self.refuse(p.token, &p.request, Refusal::NotLeader(leader));
            }
        }
    }

    fn divide_if_due(&mut self, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.is_division_due(now, self.applied) {
            return;
        }
        (leadership.divide_at, leadership.has_new_requests) = (now + BATCH_WINDOW_MS, false);
        let (mut changes, rejected) = leadership.admit_new_requests(now, &self.table);
        changes.extend(leadership.lease_manager.propose_changes(now, &self.table));
        let mut index = 0;
        if !changes.is_empty() {
            index = self.raft.propose(changes).unwrap_or(0);
            leadership.proposed = index;
        }
        // One heartbeat carries the entries to all, and makes sure that this voter still leads.
        let heartbeat = self.raft.send_heartbeat(now);
        leadership.set_condition_of_new_requests(Condition { heartbeat, index });
        self.reject(rejected);
    }

    fn reject(&mut self, rejected: Vec<Rejected>) {
        for r in rejected {
            let Some(leadership) = &mut self.leadership else { return };
            let Some(pending) = leadership.remove(&r) else { continue };
            if let Some(refusal) = r.refusal {
                self.refuse(pending.token, &pending.request, refusal);
            }
        }
    }

    fn respond_to_confirmed(&mut self, now: f64) {
        let confirmed_heartbeat = self.raft.confirmed_heartbeat();
        let Some(leadership) = &mut self.leadership else { return };
        for p in leadership.take_confirmed(confirmed_heartbeat, self.applied) {
            if let Some(outcome) = self.outcome(now, &p.request) {
                self.respond(p.token, &p.request, outcome);
            }
        }
    }

    /// The outcome of a request by the present table; none where it gets no response.
    fn outcome(&mut self, now: f64, request: &LeaseRequest) -> Option<LeaseOutcome> {
        let leadership = self.leadership.as_mut()?;
        let who = match admit(&self.table, request) {
            Admission::Member(who) => who,
            Admission::Join => return Some(LeaseOutcome::Refused(Refusal::Unknown)),
            Admission::Refused(refusal) => return Some(LeaseOutcome::Refused(refusal)),
        };
        let leases = &mut leadership.lease_manager;
        if !leases.leases().contains_key(&who) {
            // It has just joined: its first response has its incarnation, the next division its grants.
            leases.handle_request(now, who, request);
            leadership.has_new_requests = true;
        }
        if !leases.is_open(who) {
            return None;
        }
        leases.renew_lease(now, who);
        Some(LeaseOutcome::Lease(leases.lease(who, request.base, &self.table)))
    }
}

/// What the table says of the sender of a request.
enum Admission {
    Member(Incarnation),
    /// It has to join first.
    Join,
    Refused(Refusal),
}

fn admit(table: &LeaseTable, request: &LeaseRequest) -> Admission {
    let (host, nonce) = (request.host, request.nonce);
    let Some(who) = request.incarnation.or(table.incarnation(host, nonce)) else { return Admission::Join };
    let is_member = table.members().get(&who).is_some_and(|m| m.host == host && m.nonce == nonce);
    if !is_member {
        return Admission::Refused(Refusal::Unknown);
    }
    // Of two processes with one number the older gives way: the later one came after it, and perhaps in its place.
    if table.latest(host) != Some(who) {
        return Admission::Refused(Refusal::Superseded);
    }
    Admission::Member(who)
}
