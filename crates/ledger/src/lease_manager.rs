//! The leader's side of leases: when each expires, and what should be allocated to whom.

use crate::budget::{Budget, Incarnation};
use crate::divide::{divide, Claim};
use crate::fraction::Fraction;
use crate::lease_table::{Allocation, Change, LeaseTable};
use crate::message::{BudgetRequest, Grant, LeaseRequest};
use crate::Times;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader keeps of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberLease {
    /// When the lease has expired by any clock that its holder may have.
    pub expires_at: f64,
    /// Number of its last request.
    pub seq: u64,
    /// When that came.
    pub last_heard_at: f64,
    /// The budgets of that request.
    requests: BTreeMap<Budget, BudgetRequest>,
    /// Since when it has held some of a budget, or has been waiting for some.
    since: BTreeMap<Budget, f64>,
    /// It is about to be removed: it gets no more responses.
    removing: bool,
}

impl MemberLease {
    fn new(expires_at: f64) -> MemberLease {
        MemberLease {
            expires_at,
            seq: 0,
            last_heard_at: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            since: BTreeMap::new(),
            removing: false,
        }
    }
}

/// Manages the leases of all members during one leadership. Nothing of it outlives that.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    times: Times,
    leases: BTreeMap<Incarnation, MemberLease>,
    /// What each budget's last division gave to whom.
    targets: BTreeMap<Budget, BTreeMap<Incarnation, Fraction>>,
    /// Budgets to be divided anew.
    dirty_budgets: BTreeSet<Budget>,
}

/// Most budgets of one request; further ones are ignored.
const MAX_REQUESTED_BUDGETS: usize = 4_096;

impl LeaseManager {
    /// The manager of a leader that begins now. Danger: it does not know when earlier leaders renewed leases; each of
    /// them may have been renewed a moment before the election.
    pub fn new(times: Times, table: &LeaseTable, now: f64) -> LeaseManager {
        let lease = |who: &Incarnation| (*who, MemberLease::new(now + times.lease_with_drift_ms()));
        let leases = table.members().keys().map(lease).collect();
        let dirty_budgets = table.budgets().map(|(b, _)| b.clone()).collect();
        LeaseManager { times, leases, targets: BTreeMap::new(), dirty_budgets }
    }

    /// Leases by process.
    pub fn leases(&self) -> &BTreeMap<Incarnation, MemberLease> {
        &self.leases
    }

    /// Handles a request of a member. False where it is not to be answered with a lease.
    pub fn handle_request(&mut self, now: f64, who: Incarnation, request: &LeaseRequest) -> bool {
        let expires_at = now + self.times.lease_with_drift_ms();
        let lease = self.leases.entry(who).or_insert_with(|| MemberLease::new(expires_at));
        // Danger: a request that was overtaken tells of a state that is past.
        if lease.removing || request.seq <= lease.seq {
            return false;
        }
        (lease.seq, lease.last_heard_at) = (request.seq, now);
        if request.leaving {
            lease.removing = true;
            return false;
        }
        let considered = request.requests.iter().take(MAX_REQUESTED_BUDGETS);
        let requests: BTreeMap<Budget, BudgetRequest> =
            considered.map(|r| (r.budget.clone(), r.clone())).collect();
        self.dirty_budgets.extend(lease.requests.keys().chain(requests.keys()).cloned());
        lease.since.retain(|budget, _| requests.contains_key(budget));
        lease.requests = requests;
        true
    }

    /// Called when a response with a lease is sent to a member.
    pub fn renew_lease(&mut self, now: f64, who: Incarnation) {
        if let Some(lease) = self.leases.get_mut(&who) {
            lease.expires_at = now + self.times.lease_with_drift_ms();
        }
    }

    /// Whether a member may get a response with a lease.
    pub fn is_open(&self, who: Incarnation) -> bool {
        self.leases.get(&who).is_some_and(|lease| !lease.removing)
    }

    /// When the next lease expires.
    pub fn next_deadline(&self) -> f64 {
        self.leases.values().map(|lease| lease.expires_at).fold(f64::INFINITY, f64::min)
    }

    /// What should change in the table now. Called only while no earlier change waits to be committed.
    pub fn propose_changes(&mut self, now: f64, table: &LeaseTable) -> Vec<Change> {
        for who in table.members().keys() {
            // A member that is not heard of again has to be removed some time.
            let expires_at = now + self.times.lease_with_drift_ms();
            self.leases.entry(*who).or_insert_with(|| MemberLease::new(expires_at));
        }
        let removals = self.remove_expired(now, table);
        if !removals.is_empty() {
            // What they hold is free once that is committed.
            return removals;
        }
        let dirty = std::mem::take(&mut self.dirty_budgets);
        dirty.iter().flat_map(|budget| self.divide_budget(now, table, budget)).collect()
    }

    fn remove_expired(&mut self, now: f64, table: &LeaseTable) -> Vec<Change> {
        let mut changes = Vec::new();
        for (who, lease) in &mut self.leases {
            if !lease.removing && now <= lease.expires_at {
                continue;
            }
            // From here on it gets no response: one sent now would renew what is about to be removed.
            lease.removing = true;
            if table.members().contains_key(who) {
                changes.push(Change::Remove { who: *who });
                self.dirty_budgets.extend(table.allocations(*who).map(|(b, _)| b.clone()));
            }
        }
        self.leases.retain(|who, lease| !lease.removing || table.members().contains_key(who));
        changes
    }

    fn divide_budget(&mut self, now: f64, table: &LeaseTable, budget: &Budget) -> Vec<Change> {
        let claims = self.claims(now, table, budget);
        let targets = divide(table.lendable(), &claims, now);
        let free = table.lendable().saturating_sub(table.total_allocated(budget));
        let mut updates = raise(&claims, &targets, free);
        let raised: BTreeSet<Incarnation> = updates.iter().map(|u| u.claim.who).collect();
        for (claim, target) in claims.iter().zip(&targets).filter(|(c, _)| !raised.contains(&c.who)) {
            let using = self.using(claim.who, budget, table);
            // What it came down from may be of use to it again by now. Under its present version it can't go up; a new
            // version, with no more in it than before, lets it.
            let fraction = using.max(*target).min(claim.held);
            if using < claim.held {
                updates.push(Update { claim, fraction });
            }
        }
        for update in &updates {
            self.record_turn_start(now, budget, update);
        }
        let changes = updates.iter().map(|u| u.change(table, budget)).collect();
        if claims.is_empty() {
            self.targets.remove(budget);
        } else {
            let targets = claims.iter().map(|c| c.who).zip(targets).collect();
            self.targets.insert(budget.clone(), targets);
        }
        changes
    }

    /// What each member that holds or requests some of a budget claims of it.
    fn claims(&mut self, now: f64, table: &LeaseTable, budget: &Budget) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (who, lease) in &mut self.leases {
            let held = table.allocation(*who, budget).fraction;
            let request = lease.requests.get(budget);
            if held == Fraction::ZERO && request.is_none() {
                continue;
            }
            claims.push(Claim {
                who: *who,
                demand: request.map_or(Fraction::ZERO, |r| r.demand),
                least: request.map_or(Fraction::ZERO, |r| r.least),
                turn_ms: request.map_or(0.0, |r| f64::from(r.turn_ms)),
                held,
                since_ms: *lease.since.entry(budget.clone()).or_insert(now),
            });
        }
        claims
    }

    /// A turn begins where a member gets some and had none, or has none any more.
    fn record_turn_start(&mut self, now: f64, budget: &Budget, update: &Update<'_>) {
        let had_none = update.claim.held == Fraction::ZERO;
        let gets_none = update.fraction == Fraction::ZERO;
        if had_none != gets_none {
            if let Some(lease) = self.leases.get_mut(&update.claim.who) {
                lease.since.insert(budget.clone(), now);
            }
        }
    }

    /// The most that is in use of an allocation, as its holder declared under the allocation's very version.
    fn using(&self, who: Incarnation, budget: &Budget, table: &LeaseTable) -> Fraction {
        let allocation = table.allocation(who, budget);
        let request = self.leases.get(&who).and_then(|lease| lease.requests.get(budget));
        // Danger: what was declared under an earlier grant says nothing of what was allocated since.
        let declared = request.filter(|r| r.version == allocation.version);
        declared.map_or(allocation.fraction, |r| r.using.min(allocation.fraction))
    }

    /// What a member is to be told.
    pub fn grants(&self, who: Incarnation, table: &LeaseTable) -> Vec<Grant> {
        let target = |budget: &Budget| self.targets.get(budget).and_then(|t| t.get(&who)).copied();
        let grant = |(budget, allocation): (&Budget, Allocation)| Grant {
            budget: budget.clone(),
            fraction: allocation.fraction,
            version: allocation.version,
            target: target(budget).map_or(allocation.fraction, |t| t.min(allocation.fraction)),
        };
        table.allocations(who).map(grant).collect()
    }
}

/// What a member should hold instead of what it holds.
struct Update<'a> {
    claim: &'a Claim,
    fraction: Fraction,
}

impl Update<'_> {
    fn change(&self, table: &LeaseTable, budget: &Budget) -> Change {
        Change::Allocate {
            to: self.claim.who,
            budget: budget.clone(),
            fraction: self.fraction,
            expected_version: table.allocation(self.claim.who, budget).version,
        }
    }
}

/// Raises members towards their targets out of what is free. Those that lack most in proportion come first; what others
/// still hold follows when they have come down.
fn raise<'a>(claims: &'a [Claim], targets: &[Fraction], mut free: Fraction) -> Vec<Update<'a>> {
    let lacking = |(claim, target): &(&Claim, Fraction)| claim.held.0 as f64 / target.0.max(1) as f64;
    let pairs = claims.iter().zip(targets.iter().copied());
    let mut below: Vec<(&Claim, Fraction)> = pairs.filter(|(c, target)| *target > c.held).collect();
    below.sort_by(|a, b| lacking(a).total_cmp(&lacking(b)));
    let mut updates = Vec::new();
    for (claim, target) in below {
        let held = claim.held;
        let fraction = target.min(held.saturating_add(free));
        // Less than holds a request would lie unused.
        if fraction > held && fraction >= claim.least.min(target) {
            free = free.saturating_sub(fraction.saturating_sub(held));
            updates.push(Update { claim, fraction });
        }
    }
    updates
}
