//! A host's side of leases: what it may use now, and what it requests of the ledger.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use crate::lease_table::Allocation;
use crate::message::{
    BudgetRequest, Grant, Lease, LeaseOutcome, LeaseRequest, LeaseResponse, Refusal, RenewalBase,
};
use crate::Times;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a host may use of a budget beyond its floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// How much.
    pub fraction: Fraction,
    /// When the lease expires, by the holder's clock. From then on nothing of it may be used.
    pub until_ms: f64,
}

/// What the holder keeps of one budget.
#[derive(Clone, Debug, Default, PartialEq)]
struct HeldBudget {
    demand: Fraction,
    least: Fraction,
    turn_ms: u32,
    /// What may be used: the last grant, less what it came down by since.
    current: Allocation,
    /// What the user of the budget has confirmed to go by, and may be declared to the ledger.
    confirmed: Option<Allocation>,
    /// What requests say of it.
    said: Said,
    /// The first request that said so.
    said_seq: u64,
}

/// What a request says of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Said {
    demand: Fraction,
    least: Fraction,
    turn_ms: u32,
    using: Fraction,
    version: u64,
}

impl Said {
    /// Whether this is worth saying after `earlier`. Demand that hardly moved is not: it is met with more than that to spare.
    fn is_news_after(&self, earlier: &Said) -> bool {
        let (new, old) = (self.demand.0, earlier.demand.0);
        let is_small = new.abs_diff(old) as f64 <= DEMAND_HYSTERESIS * old as f64;
        let is_same_side = (new == 0) == (old == 0);
        !(is_small && is_same_side) || Said { demand: earlier.demand, ..*self } != *earlier
    }

    /// Nothing is wanted, and nothing was granted: a ledger that never hears of it knows as much.
    fn is_empty(&self) -> bool {
        self.demand == Fraction::ZERO && self.version == 0
    }
}

impl HeldBudget {
    fn present(&self) -> Said {
        // What was confirmed under the present version. Version 0 declares nothing: no allocation has it.
        let undeclared = Allocation { version: 0, ..self.current };
        let declared = self.confirmed.filter(|c| c.version == self.current.version).unwrap_or(undeclared);
        Said {
            demand: self.demand,
            least: self.least,
            turn_ms: self.turn_ms,
            using: declared.fraction,
            version: declared.version,
        }
    }

    /// Brings what is said up to date with a request of this number.
    fn update_said(&mut self, seq: u64) {
        let present = self.present();
        if present.is_news_after(&self.said) {
            (self.said, self.said_seq) = (present, seq);
        }
    }

    fn request(&self, budget: &Budget) -> BudgetRequest {
        let Said { demand, least, turn_ms, using, version } = self.said;
        BudgetRequest { budget: budget.clone(), demand, least, turn_ms, using, version }
    }

    /// Whether a request has to say something of it.
    fn has_to_be_said(&self, base: Option<RenewalBase>) -> bool {
        match base {
            Some(base) => self.said_seq > base.seq,
            // Danger: what is held or was granted is said even where it is not wanted, or it would never come back.
            None => !self.said.is_empty() || self.current.version > 0,
        }
    }

    fn apply(&mut self, grant: &Grant) {
        let wanted = self.demand > Fraction::ZERO || self.current.fraction > Fraction::ZERO;
        match grant.version.cmp(&self.current.version) {
            Ordering::Greater => {
                // A grant that is not wanted is given back with the next request.
                let fraction = if wanted { grant.fraction.min(grant.target) } else { Fraction::ZERO };
                self.current = Allocation { fraction, version: grant.version };
            }
            // Danger: under one version a fraction only comes down; what was declared once is never exceeded.
            Ordering::Equal => self.current.fraction = self.current.fraction.min(grant.target),
            Ordering::Less => {}
        }
    }
}

/// Status of a holder, for status pages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderState {
    /// The number that the ledger gave this process.
    pub incarnation: Option<Incarnation>,
    /// When its lease expires; minus infinity where it never had one.
    pub until_ms: f64,
    /// A later process has its host's number.
    pub superseded: bool,
}

/// A request without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Unanswered {
    seq: u64,
    sent_at: f64,
}

/// One process's lease.
#[derive(Clone, Debug)]
pub struct Holder {
    host: HostNumber,
    nonce: u64,
    times: Times,
    incarnation: Option<Incarnation>,
    budgets: BTreeMap<Budget, HeldBudget>,
    /// Number of the last request.
    seq: u64,
    unanswered: VecDeque<Unanswered>,
    /// Number of the last request that got a lease.
    answered: u64,
    /// What the next request tells the changes since.
    base: Option<RenewalBase>,
    expires_at: f64,
    superseded: bool,
    leaving: bool,
}

/// Demand that moves by no more than this fraction of itself is not said anew. Danger: the ledger meets demand with a quarter
/// to spare; with more than that here, a host would be short of what it needs.
const DEMAND_HYSTERESIS: f64 = 0.1;
/// Unanswered requests that are remembered. Responses to older ones come too late in any case.
const MAX_UNANSWERED: usize = 64;

impl Holder {
    /// A process that joins under a number that it drew and no other has.
    pub fn new(host: HostNumber, nonce: u64, times: Times) -> Holder {
        Holder {
            host,
            nonce,
            times,
            incarnation: None,
            budgets: BTreeMap::new(),
            seq: 0,
            unanswered: VecDeque::new(),
            answered: 0,
            base: None,
            expires_at: f64::NEG_INFINITY,
            superseded: false,
            leaving: false,
        }
    }

    /// Its status.
    pub fn state(&self) -> HolderState {
        HolderState { incarnation: self.incarnation, until_ms: self.expires_at, superseded: self.superseded }
    }

    /// Sets the demand of this host's clients for a budget, the least fraction that is of use to them, and how long that
    /// has to be held for it, milliseconds.
    pub fn set_demand(&mut self, budget: &Budget, demand: Fraction, least: Fraction, turn_ms: u32) {
        let held = self.budgets.entry(budget.clone()).or_default();
        (held.demand, held.least, held.turn_ms) = (demand, least, turn_ms);
    }

    /// What may be used of a budget beyond the floor, and until when.
    pub fn held(&self, budget: &Budget) -> Held {
        let fraction = self.budgets.get(budget).map_or(Fraction::ZERO, |b| b.current.fraction);
        Held { fraction, until_ms: self.expires_at }
    }

    /// The same of all budgets.
    pub fn all_held(&self) -> impl Iterator<Item = (&Budget, Held)> {
        let until_ms = self.expires_at;
        self.budgets.iter().map(move |(b, held)| (b, Held { fraction: held.current.fraction, until_ms }))
    }

    /// The user of the budget confirms that it goes by this allocation now: only that can be declared to the ledger.
    ///
    /// Danger: a fraction that was lowered here, but not yet by whoever sends, would be lent to another host.
    pub fn confirm(&mut self, budget: &Budget, allocation: Allocation) {
        if let Some(held) = self.budgets.get_mut(budget).filter(|held| held.current == allocation) {
            held.confirmed = Some(allocation);
        }
    }

    /// Allocations to go by from now on that were not confirmed yet.
    pub fn unconfirmed(&self) -> Vec<(Budget, Allocation)> {
        let unconfirmed = self.budgets.iter().filter(|(_, held)| held.confirmed != Some(held.current));
        unconfirmed.map(|(budget, held)| (budget.clone(), held.current)).collect()
    }

    /// The process leaves: from now on it requests nothing, and may use nothing beyond its floors.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.drop_lease();
    }

    fn drop_lease(&mut self) {
        self.expires_at = f64::NEG_INFINITY;
        self.base = None;
        self.budgets.values_mut().for_each(|held| held.current = Allocation::NONE);
    }

    /// Whether it sends requests. A process that was superseded does not: the two would take the host's number from each
    /// other without end.
    pub fn should_request(&self) -> bool {
        !self.superseded
    }

    /// The next request, sent now. Danger: the lease is counted from here, before the request is sent; a process that is
    /// stopped between sending it and reading the response has used that time up.
    pub fn next_request(&mut self, now: f64) -> LeaseRequest {
        self.seq += 1;
        self.unanswered.push_back(Unanswered { seq: self.seq, sent_at: now });
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        let seq = self.seq;
        self.budgets.values_mut().for_each(|held| held.update_said(seq));
        let to_say = self.budgets.iter().filter(|(_, held)| held.has_to_be_said(self.base));
        let requests = to_say.map(|(budget, held)| held.request(budget)).collect();
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

    /// Handles a response. True where there may be something to confirm.
    pub fn handle_response(&mut self, now: f64, response: &LeaseResponse) -> bool {
        let Some(request) = self.unanswered.iter().copied().find(|u| u.seq == response.seq) else {
            return false;
        };
        // Danger: a response that was overtaken tells of a table that has changed since.
        if response.nonce != self.nonce || response.seq <= self.answered || self.leaving {
            return false;
        }
        match &response.outcome {
            LeaseOutcome::Lease(lease) => {
                if !self.follows(lease) {
                    return false;
                }
                self.handle_lease(request.seq, lease);
                self.expires_at = self.expires_at.max(request.sent_at + self.times.lease_ms);
                now < self.expires_at
            }
            LeaseOutcome::Refused(Refusal::Unknown) => {
                // The lease expired for the leader, and so it did here: the leader waited longer.
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

    /// Whether what a lease tells can be added to what is known. Danger: changes since a response that never came here, or by
    /// another leader, leave out what that response granted or took away.
    fn follows(&self, lease: &Lease) -> bool {
        let Some(since) = lease.changes_since else { return true };
        let term = lease.position.map(|position| position.term);
        let is_known = |base: RenewalBase| Some(base.term) == term && base.revision >= since;
        self.incarnation == Some(lease.incarnation) && self.base.is_some_and(is_known)
    }

    fn handle_lease(&mut self, seq: u64, lease: &Lease) {
        self.answered = seq;
        self.unanswered.retain(|u| u.seq > seq);
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

    /// Drops what a lease says that it holds no more: it was given back at its own request.
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
