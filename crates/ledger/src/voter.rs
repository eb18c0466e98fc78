//! A voter: its replica of the log and the table, and the management of leases while it is the leader.

use crate::budget::{HostNumber, Incarnation};
use crate::lease_manager::{LeaseManager, RequestHandling};
use crate::lease_table::{Change, LeaseTable};
use crate::message::{LeaseOutcome, LeaseRequest, LeaseResponse, Refusal};
use crate::raft::{Output, PersistentState, Raft, RaftMessage};
use crate::Timing;

/// Default number of entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: u64 = 2_048;
/// Minimum time between two divisions, in milliseconds. Requests that arrive within it are handled together.
const BATCH_WINDOW_MS: f64 = 20.0;
/// Maximum number of requests of one process that wait for a response.
const MAX_PENDING_REQUESTS: usize = 4;

/// Output of a voter: what to write, and the messages and responses to send after that.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready<T> {
    /// Records to write and messages to the other voters.
    pub raft: Output,
    /// Responses, each with the token of its request.
    pub responses: Vec<(T, LeaseResponse)>,
}

/// Status of a voter, for monitoring.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The current term.
    pub term: u64,
    /// The leader, if this voter knows it.
    pub leader: Option<HostNumber>,
    /// Index of the last entry that it knows to be committed.
    pub commit: u64,
    /// Index of the last entry in its log.
    pub last_index: u64,
}

/// Precondition for sending a response.
#[derive(Clone, Copy, Debug)]
struct Condition {
    /// A quorum has to respond to this heartbeat. It is sent after the request arrived, so its confirmation
    /// proves that this voter was still the leader then.
    heartbeat: u64,
    /// The entry with this index has to be applied, so that the response contains the effect of the request.
    index: u64,
}

#[derive(Clone, Debug)]
struct PendingRequest<T> {
    token: T,
    request: LeaseRequest,
    /// None until the request has been handled in a division.
    condition: Option<Condition>,
}

/// A request that gets no lease, identified by nonce and sequence number.
struct Rejected {
    nonce: u64,
    seq: u64,
    /// None if it gets no response at all.
    refusal: Option<Refusal>,
}

/// State of a voter while it is the leader.
#[derive(Clone, Debug)]
struct Leadership<T> {
    lease_manager: LeaseManager,
    pending: Vec<PendingRequest<T>>,
    /// Index of the last proposed entry. The next one is proposed only after this one is applied.
    proposed_index: u64,
    /// Earliest time of the next division.
    divide_at: f64,
    /// There are pending requests that have not been handled in a division.
    has_new_requests: bool,
}

impl<T> Leadership<T> {
    fn new(timing: Timing, term: u64, table: &LeaseTable, now: f64) -> Leadership<T> {
        Leadership {
            lease_manager: LeaseManager::new(timing, term, table, now),
            pending: Vec::new(),
            proposed_index: 0,
            divide_at: now,
            has_new_requests: false,
        }
    }

    fn add(&mut self, token: T, request: LeaseRequest) {
        // Several requests of a process may be pending. If each replaced the previous one, none would get a
        // response while the disk is slower than the renewal interval.
        let nonce = request.nonce;
        let is_same_process = |p: &PendingRequest<T>| p.request.nonce == nonce;
        if self.pending.iter().filter(|p| is_same_process(p)).count() >= MAX_PENDING_REQUESTS {
            if let Some(oldest) = self.pending.iter().position(is_same_process) {
                self.pending.remove(oldest);
            }
        }
        self.pending.push(PendingRequest { token, request, condition: None });
        self.has_new_requests = true;
    }

    fn next_division(&self) -> f64 {
        let has_work = self.has_new_requests || self.lease_manager.has_dirty_budgets();
        let work_at = if has_work { self.divide_at } else { f64::INFINITY };
        work_at.min((self.lease_manager.next_deadline() + 1.0).max(self.divide_at))
    }

    fn is_division_due(&self, now: f64, applied: u64) -> bool {
        let has_work = self.has_new_requests
            || self.lease_manager.has_dirty_budgets()
            || now > self.lease_manager.next_deadline();
        has_work && now >= self.divide_at && self.proposed_index <= applied
    }

    /// Passes new requests to the lease manager. Returns the joins to propose and the requests that get no
    /// lease.
    fn admit_new_requests(&mut self, now: f64, table: &LeaseTable) -> (Vec<Change>, Vec<Rejected>) {
        let mut joins = Vec::new();
        let mut rejected = Vec::new();
        for PendingRequest { request, .. } in self.pending.iter().filter(|p| p.condition.is_none()) {
            let mut reject =
                |refusal| rejected.push(Rejected { nonce: request.nonce, seq: request.seq, refusal });
            match admit(table, request) {
                Admission::Member(member) => match self.lease_manager.handle_request(now, member, request) {
                    RequestHandling::Accepted => {}
                    RequestHandling::Ignored => reject(None),
                    RequestHandling::Unsynchronized => reject(Some(Refusal::Unsynchronized)),
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

    /// Removes the rejected request, but not the other pending requests of the same process.
    fn remove(&mut self, rejected: &Rejected) -> Option<PendingRequest<T>> {
        let is_rejected =
            |p: &PendingRequest<T>| (p.request.nonce, p.request.seq) == (rejected.nonce, rejected.seq);
        let position = self.pending.iter().position(is_rejected)?;
        Some(self.pending.swap_remove(position))
    }

    /// Removes and returns the requests whose condition is met.
    fn take_confirmed(&mut self, confirmed_heartbeat: u64, applied: u64) -> Vec<PendingRequest<T>> {
        let is_met = |c: Condition| c.heartbeat <= confirmed_heartbeat && c.index <= applied;
        let (confirmed, rest) =
            std::mem::take(&mut self.pending).into_iter().partition(|p| p.condition.is_some_and(is_met));
        self.pending = rest;
        confirmed
    }
}

/// A voter of the ledger. `T` is a token that the caller passes with a request and gets back with its
/// response.
#[derive(Clone, Debug)]
pub struct Voter<T> {
    raft: Raft,
    timing: Timing,
    table: LeaseTable,
    /// Index of the last entry that is applied to `table`.
    applied: u64,
    leadership: Option<Leadership<T>>,
    responses: Vec<(T, LeaseResponse)>,
    compact_after: u64,
}

impl<T: Clone> Voter<T> {
    /// A voter that continues from the state on its disk. A new voter starts with an empty table
    /// ([`LeaseTable::new`]).
    pub fn new(
        id: HostNumber,
        voters: &[HostNumber],
        timing: Timing,
        seed: u64,
        state: PersistentState,
        now: f64,
    ) -> Voter<T> {
        Voter {
            timing,
            table: state.table.clone(),
            applied: state.snapshot.index,
            raft: Raft::new(id, voters, timing, seed, state, now),
            leadership: None,
            responses: Vec::new(),
            compact_after: COMPACT_AFTER,
        }
    }

    /// Sets the number of entries after which the log is compacted.
    pub fn with_compact_after(self, entries: u64) -> Voter<T> {
        Voter { compact_after: entries, ..self }
    }

    /// The replicated state, up to the last entry that this voter has applied.
    pub fn table(&self) -> &LeaseTable {
        &self.table
    }

    /// The Raft state of this voter.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The lease manager, while this voter is the leader and knows all committed entries.
    pub fn lease_manager(&self) -> Option<&LeaseManager> {
        self.leadership.as_ref().map(|l| &l.lease_manager)
    }

    /// The current status.
    pub fn state(&self) -> VoterState {
        VoterState {
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            last_index: self.raft.log().last_index(),
        }
    }

    /// When [`Voter::tick`] has to be called next.
    pub fn next_deadline(&self) -> f64 {
        // While a proposal waits to be committed, only messages make progress, not the clock.
        let idle = self.leadership.as_ref().filter(|l| l.proposed_index <= self.applied);
        let next_division = idle.map_or(f64::INFINITY, Leadership::next_division);
        self.raft.next_deadline().min(next_division)
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: f64) {
        self.raft.tick(now);
        self.process(now);
    }

    /// Handles a message from another voter.
    pub fn handle_message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        self.raft.handle_message(now, from, message);
        self.process(now);
    }

    /// Handles a lease request. A refusal is sent at once, a lease only after a quorum has confirmed that
    /// this voter is still the leader.
    pub fn handle_request(&mut self, now: f64, token: T, request: LeaseRequest) {
        match &mut self.leadership {
            Some(leadership) => {
                leadership.add(token, request);
                self.process(now);
            }
            None => self.refuse(token, &request, Refusal::NotLeader(self.other_leader())),
        }
    }

    /// Records that all output taken so far is on disk.
    pub fn persisted(&mut self, now: f64) {
        self.raft.persisted();
        self.process(now);
    }

    /// Takes the pending records, messages and responses.
    pub fn take_output(&mut self) -> Ready<T> {
        Ready { raft: self.raft.take_output(), responses: std::mem::take(&mut self.responses) }
    }

    /// The leader, if that is another voter.
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
            // The leader sent a snapshot because it no longer holds the entries that are missing here.
            self.table = self.raft.snapshot_table().clone();
            self.applied = self.raft.log().snapshot().index;
        }
        while self.applied < self.raft.commit() {
            let Some(entry) = self.raft.log().get(self.applied + 1) else { break };
            for change in &entry.changes {
                self.table.apply(change);
                if let Some(leadership) = &mut self.leadership {
                    leadership.lease_manager.record_applied(change);
                }
            }
            self.applied += 1;
        }
        if self.applied - self.raft.log().snapshot().index > self.compact_after {
            self.raft.compact(self.applied, &self.table);
        }
    }

    /// Begins to manage leases once this voter is the leader and knows all committed entries, and stops when
    /// it is no longer the leader.
    fn update_leadership(&mut self, now: f64) {
        if self.raft.has_committed_in_term() {
            let term = self.raft.term();
            self.leadership.get_or_insert_with(|| Leadership::new(self.timing, term, &self.table, now));
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
            leadership.proposed_index = index;
        }
        // One heartbeat replicates the entries and confirms that this voter is still the leader.
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

    /// The outcome of a request according to the current table; none if it gets no response.
    fn outcome(&mut self, now: f64, request: &LeaseRequest) -> Option<LeaseOutcome> {
        let leadership = self.leadership.as_mut()?;
        let member = match admit(&self.table, request) {
            Admission::Member(member) => member,
            Admission::Join => return Some(LeaseOutcome::Refused(Refusal::Unknown)),
            Admission::Refused(refusal) => return Some(LeaseOutcome::Refused(refusal)),
        };
        let leases = &mut leadership.lease_manager;
        if !leases.leases().contains_key(&member) {
            // The process has just joined: this response carries its incarnation, and the next division makes
            // its grants.
            leases.handle_request(now, member, request);
            leadership.has_new_requests = true;
        }
        if !leases.is_renewable(member) {
            return None;
        }
        leases.renew_lease(now, member);
        Some(LeaseOutcome::Lease(leases.lease(member, request.base, &self.table)))
    }
}

/// Whether the sender of a request may be served, according to the table.
enum Admission {
    Member(Incarnation),
    /// The sender has to join first.
    Join,
    Refused(Refusal),
}

fn admit(table: &LeaseTable, request: &LeaseRequest) -> Admission {
    let (host, nonce) = (request.host, request.nonce);
    let Some(incarnation) = request.incarnation.or(table.incarnation(host, nonce)) else {
        return Admission::Join;
    };
    let is_member = table.members().get(&incarnation).is_some_and(|m| m.host == host && m.nonce == nonce);
    if !is_member {
        return Admission::Refused(Refusal::Unknown);
    }
    // Of two processes with the same host number the later one wins: it may have replaced the earlier one.
    if table.latest(host) != Some(incarnation) {
        return Admission::Refused(Refusal::Superseded);
    }
    Admission::Member(incarnation)
}
