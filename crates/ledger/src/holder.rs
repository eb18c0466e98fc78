//! The lease holder: what a host may use now, and what it requests from the ledger.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use crate::lease_table::Allocation;
use crate::message::{
    BudgetRequest, Grant, Lease, LeaseOutcome, LeaseRequest, LeaseResponse, Refusal, RenewalBase,
};
use crate::Timing;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The fraction of a budget that a host may use beyond its floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// The leased fraction.
    pub fraction: Fraction,
    /// When the lease expires, on the holder's clock. From then on the fraction must not be used.
    pub expires_at: f64,
}

/// State of one budget at the holder.
#[derive(Clone, Debug, Default, PartialEq)]
struct HeldBudget {
    demand: Fraction,
    min_fraction: Fraction,
    turn_ms: u32,
    /// The fraction that may be used: the last grant, reduced to the targets received since.
    current: Allocation,
    /// The allocation that the consumer of the budget has confirmed to observe. Only this may be declared to
    /// the ledger.
    confirmed: Option<Allocation>,
    /// The last report on this budget in a request.
    reported: BudgetReport,
    /// Sequence number of the first request with that report.
    reported_seq: u64,
}

/// What a request reports on one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BudgetReport {
    demand: Fraction,
    min_fraction: Fraction,
    turn_ms: u32,
    using: Fraction,
    version: u64,
}

impl BudgetReport {
    /// Whether this report has to be sent after `earlier`. A small change of demand need not be: the ledger's
    /// headroom is larger.
    fn is_significant_change(&self, earlier: &BudgetReport) -> bool {
        let (new, old) = (self.demand.0, earlier.demand.0);
        let is_small = new.abs_diff(old) as f64 <= DEMAND_HYSTERESIS * old as f64;
        let is_same_side = (new == 0) == (old == 0);
        !(is_small && is_same_side) || BudgetReport { demand: earlier.demand, ..*self } != *earlier
    }

    /// Nothing is requested and nothing was granted: leaving the report out tells the ledger as much.
    fn is_empty(&self) -> bool {
        self.demand == Fraction::ZERO && self.version == 0
    }
}

impl HeldBudget {
    fn report(&self) -> BudgetReport {
        // Only what was confirmed under the current version is declared. Version 0 declares nothing: no
        // allocation has it.
        let undeclared = Allocation { version: 0, ..self.current };
        let declared = self.confirmed.filter(|c| c.version == self.current.version).unwrap_or(undeclared);
        BudgetReport {
            demand: self.demand,
            min_fraction: self.min_fraction,
            turn_ms: self.turn_ms,
            using: declared.fraction,
            version: declared.version,
        }
    }

    /// Updates the report for the request with this sequence number.
    fn update_report(&mut self, seq: u64) {
        let report = self.report();
        if report.is_significant_change(&self.reported) {
            (self.reported, self.reported_seq) = (report, seq);
        }
    }

    fn request(&self, budget: &Budget) -> BudgetRequest {
        let BudgetReport { demand, min_fraction, turn_ms, using, version } = self.reported;
        BudgetRequest { budget: budget.clone(), demand, min_fraction, turn_ms, using, version }
    }

    /// Whether a request with this base has to include the budget.
    fn must_be_reported(&self, base: Option<RenewalBase>) -> bool {
        match base {
            Some(base) => self.reported_seq > base.seq,
            // A granted allocation is reported even without demand; otherwise it would never be released.
            None => !self.reported.is_empty() || self.current.version > 0,
        }
    }

    fn apply(&mut self, grant: &Grant) {
        let is_needed = self.demand > Fraction::ZERO || self.current.fraction > Fraction::ZERO;
        match grant.version.cmp(&self.current.version) {
            Ordering::Greater => {
                // A grant that is no longer needed is released with the next request.
                let fraction = if is_needed { grant.fraction.min(grant.target) } else { Fraction::ZERO };
                self.current = Allocation { fraction, version: grant.version };
            }
            // Under one version the fraction only decreases: the leader may already have reallocated what an
            // earlier request declared unused.
            Ordering::Equal => self.current.fraction = self.current.fraction.min(grant.target),
            Ordering::Less => {}
        }
    }
}

/// Status of a holder, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderState {
    /// Incarnation of this process; none until the ledger has assigned one.
    pub incarnation: Option<Incarnation>,
    /// When its lease expires; negative infinity if it has none.
    pub expires_at: f64,
    /// A later process has joined under the same host number.
    pub superseded: bool,
}

/// A request that has no response yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingRequest {
    seq: u64,
    sent_at: f64,
}

/// The lease of one process.
#[derive(Clone, Debug)]
pub struct Holder {
    host: HostNumber,
    nonce: u64,
    timing: Timing,
    incarnation: Option<Incarnation>,
    budgets: BTreeMap<Budget, HeldBudget>,
    /// Sequence number of the last request.
    seq: u64,
    pending: VecDeque<PendingRequest>,
    /// Sequence number of the last request that was granted a lease.
    last_granted_seq: u64,
    /// Base of the next request; none if it has to be a full one.
    base: Option<RenewalBase>,
    expires_at: f64,
    superseded: bool,
    leaving: bool,
}

/// Changes of demand up to this fraction of the reported demand are not reported. It has to stay below the
/// headroom of a quarter with which the ledger meets demand, or a host would get less than it needs.
const DEMAND_HYSTERESIS: f64 = 0.1;
/// Number of pending requests that are kept. Responses to older ones arrive too late to be of use.
const MAX_PENDING_REQUESTS: usize = 64;

impl Holder {
    /// The holder of a process that has no lease yet and joins under the random number `nonce`.
    pub fn new(host: HostNumber, nonce: u64, timing: Timing) -> Holder {
        Holder {
            host,
            nonce,
            timing,
            incarnation: None,
            budgets: BTreeMap::new(),
            seq: 0,
            pending: VecDeque::new(),
            last_granted_seq: 0,
            base: None,
            expires_at: f64::NEG_INFINITY,
            superseded: false,
            leaving: false,
        }
    }

    /// The current status.
    pub fn state(&self) -> HolderState {
        HolderState {
            incarnation: self.incarnation,
            expires_at: self.expires_at,
            superseded: self.superseded,
        }
    }

    /// Sets the demand of this host's clients for a budget, the smallest fraction that is useful to them, and
    /// how long that fraction has to be held, in milliseconds.
    pub fn set_demand(&mut self, budget: &Budget, demand: Fraction, min_fraction: Fraction, turn_ms: u32) {
        let held = self.budgets.entry(budget.clone()).or_default();
        (held.demand, held.min_fraction, held.turn_ms) = (demand, min_fraction, turn_ms);
    }

    /// What may be used of a budget beyond the floor, and until when.
    pub fn held(&self, budget: &Budget) -> Held {
        let fraction = self.budgets.get(budget).map_or(Fraction::ZERO, |b| b.current.fraction);
        Held { fraction, expires_at: self.expires_at }
    }

    /// What may be used of each budget beyond the floor, and until when.
    pub fn all_held(&self) -> impl Iterator<Item = (&Budget, Held)> {
        let expires_at = self.expires_at;
        self.budgets.iter().map(move |(b, held)| (b, Held { fraction: held.current.fraction, expires_at }))
    }

    /// Records that the consumer of the budget now observes this allocation, so that it may be declared to
    /// the ledger.
    ///
    /// Declaring a lower fraction before the consumer observes it would let the ledger allocate the
    /// difference to another host while it is still in use here.
    pub fn confirm(&mut self, budget: &Budget, allocation: Allocation) {
        if let Some(held) = self.budgets.get_mut(budget).filter(|held| held.current == allocation) {
            held.confirmed = Some(allocation);
        }
    }

    /// Current allocations that the consumer has not confirmed yet.
    pub fn unconfirmed(&self) -> Vec<(Budget, Allocation)> {
        let unconfirmed = self.budgets.iter().filter(|(_, held)| held.confirmed != Some(held.current));
        unconfirmed.map(|(budget, held)| (budget.clone(), held.current)).collect()
    }

    /// The process leaves: from now on it requests no lease and may use nothing beyond its floors.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.drop_lease();
    }

    fn drop_lease(&mut self) {
        self.expires_at = f64::NEG_INFINITY;
        self.base = None;
        self.budgets.values_mut().for_each(|held| held.current = Allocation::NONE);
    }

    /// Whether to send requests. A superseded process must not: the two processes would take the host number
    /// from each other forever.
    pub fn should_request(&self) -> bool {
        !self.superseded
    }

    /// Builds the next request, which is to be sent now.
    ///
    /// The lease is counted from this moment, before the request is sent: time that passes until the response
    /// is read, as when the process is stopped in between, shortens the lease at the holder.
    pub fn next_request(&mut self, now: f64) -> LeaseRequest {
        self.seq += 1;
        self.pending.push_back(PendingRequest { seq: self.seq, sent_at: now });
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        let seq = self.seq;
        self.budgets.values_mut().for_each(|held| held.update_report(seq));
        let to_report = self.budgets.iter().filter(|(_, held)| held.must_be_reported(self.base));
        let requests = to_report.map(|(budget, held)| held.request(budget)).collect();
        LeaseRequest {
            host: self.host,
            nonce: self.nonce,
            incarnation: self.incarnation,
            seq,
            leaving: self.leaving,
            requests,
            base: self.base,
        }
    }

    /// Handles a response. Returns whether there may be allocations to confirm.
    pub fn handle_response(&mut self, now: f64, response: &LeaseResponse) -> bool {
        let Some(request) = self.pending.iter().copied().find(|p| p.seq == response.seq) else {
            return false;
        };
        // A response that arrives after the one to a later request describes an outdated table.
        if response.nonce != self.nonce || response.seq <= self.last_granted_seq || self.leaving {
            return false;
        }
        match &response.outcome {
            LeaseOutcome::Lease(lease) => {
                if !self.is_applicable(lease) {
                    return false;
                }
                self.handle_lease(request.seq, lease);
                self.expires_at = self.expires_at.max(request.sent_at + self.timing.lease_ms);
                now < self.expires_at
            }
            LeaseOutcome::Refused(Refusal::Unknown) => {
                // The lease expired at the leader, and so it has expired here: the leader waits longer.
                self.incarnation = None;
                self.drop_lease();
                true
            }
            LeaseOutcome::Refused(Refusal::Superseded) => {
                self.superseded = true;
                self.drop_lease();
                true
            }
            LeaseOutcome::Refused(Refusal::Unsynchronized) => {
                self.base = None;
                false
            }
            LeaseOutcome::Refused(Refusal::NotLeader(_)) => false,
        }
    }

    /// Whether a lease can be applied to the current state. An incremental lease omits what earlier responses
    /// granted or withdrew, so it cannot be applied if the response that it builds on did not arrive here or
    /// came from another leader.
    fn is_applicable(&self, lease: &Lease) -> bool {
        let Some(since) = lease.changes_since else { return true };
        let term = lease.position.map(|position| position.term);
        let is_known = |base: RenewalBase| Some(base.term) == term && base.revision >= since;
        self.incarnation == Some(lease.incarnation) && self.base.is_some_and(is_known)
    }

    fn handle_lease(&mut self, seq: u64, lease: &Lease) {
        self.last_granted_seq = seq;
        self.pending.retain(|p| p.seq > seq);
        if self.incarnation != Some(lease.incarnation) {
            self.drop_lease();
            self.incarnation = Some(lease.incarnation);
        }
        self.withdraw(lease);
        for grant in &lease.grants {
            self.budgets.entry(grant.budget.clone()).or_default().apply(grant);
        }
        self.base = lease.position.map(|p| RenewalBase { term: p.term, seq, revision: p.revision });
    }

    /// Drops the allocations that the lease no longer contains: the ledger released them at this holder's own
    /// request.
    fn withdraw(&mut self, lease: &Lease) {
        if lease.changes_since.is_none() {
            let granted: BTreeSet<&Budget> = lease.grants.iter().map(|grant| &grant.budget).collect();
            let withdrawn = self.budgets.iter_mut().filter(|(budget, _)| !granted.contains(budget));
            withdrawn.for_each(|(_, held)| held.current = Allocation::NONE);
        }
        for budget in &lease.withdrawn {
            if let Some(held) = self.budgets.get_mut(budget) {
                held.current = Allocation::NONE;
            }
        }
    }
}
