//! The leader's side of leases: when each expires, and what should be allocated to whom.

use crate::budget::{Budget, Incarnation};
use crate::divide::{divide, Claim};
use crate::fraction::Fraction;
use crate::lease_table::{Allocation, Change, LeaseTable};
use crate::message::{BudgetRequest, Grant, GrantsPosition, Lease, LeaseRequest, RenewalBase};
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
    /// What it requests, as it said so far.
    requests: BTreeMap<Budget, BudgetRequest>,
    /// It has told this leader all that it requests.
    is_synchronized: bool,
    /// Counts changes of its grants.
    revision: u64,
    /// Budgets whose grants changed, and at which revision, until it is known to have heard of that.
    changed_grants: BTreeMap<Budget, u64>,
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
            is_synchronized: false,
            revision: 0,
            changed_grants: BTreeMap::new(),
            since: BTreeMap::new(),
            removing: false,
        }
    }

    /// Whether changes since this base can be added to what is known here, and told from what is kept here.
    fn knows(&self, base: RenewalBase, term: u64) -> bool {
        // Danger: what another leader was told, this one never heard of.
        base.term == term && self.is_synchronized && base.seq <= self.seq && base.revision <= self.revision
    }

    fn note_changed_grant(&mut self, budget: &Budget) {
        self.revision += 1;
        self.changed_grants.insert(budget.clone(), self.revision);
    }

    /// Replaces all that it requests; the budgets of which it says something else than before.
    fn replace_requests(&mut self, requests: BTreeMap<Budget, BudgetRequest>) -> Vec<Budget> {
        self.since.retain(|budget, _| requests.contains_key(budget));
        let before = std::mem::replace(&mut self.requests, requests);
        let gone = before.keys().filter(|budget| !self.requests.contains_key(*budget));
        let new = self.requests.iter().filter(|(budget, r)| before.get(*budget) != Some(r)).map(|(b, _)| b);
        gone.chain(new).cloned().collect()
    }

    /// Adds changes to what it requests; the budgets of which it says something else than before.
    fn change_requests(&mut self, requests: BTreeMap<Budget, BudgetRequest>) -> Vec<Budget> {
        let mut changed = Vec::new();
        for (budget, request) in requests {
            if self.requests.get(&budget) == Some(&request) {
                continue;
            }
            changed.push(budget.clone());
            if request.demand == Fraction::ZERO && request.version == 0 {
                self.requests.remove(&budget);
                self.since.remove(&budget);
            } else {
                self.requests.insert(budget, request);
            }
        }
        changed
    }
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// It is to be responded to with a lease.
    Accepted,
    /// It was overtaken, or its sender is leaving: it gets no response.
    Ignored,
    /// It tells changes since something that is not known here: its sender has to tell all.
    Unsynchronized,
}

/// Manages the leases of all members during one leadership. Nothing of it outlives that.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    times: Times,
    /// The term of this leadership.
    term: u64,
    leases: BTreeMap<Incarnation, MemberLease>,
    /// What each budget's last division gave to whom.
    targets: BTreeMap<Budget, BTreeMap<Incarnation, Fraction>>,
    /// Budgets to be divided anew.
    dirty_budgets: BTreeSet<Budget>,
    /// Budgets of which not all who want some have some: they are divided anew now and then, since turns end.
    contended_budgets: BTreeSet<Budget>,
    /// When those are divided next.
    turns_at: f64,
}

/// Most budgets of one request; further ones are ignored.
const MAX_REQUESTED_BUDGETS: usize = 4_096;

impl LeaseManager {
    /// The manager of a leader that begins now. Danger: it does not know when earlier leaders renewed leases; each of
    /// them may have been renewed a moment before the election.
    pub fn new(times: Times, term: u64, table: &LeaseTable, now: f64) -> LeaseManager {
        let lease = |who: &Incarnation| (*who, MemberLease::new(now + times.lease_with_drift_ms()));
        let leases = table.members().keys().map(lease).collect();
        let dirty_budgets = table.budgets().map(|(b, _)| b.clone()).collect();
        LeaseManager {
            times,
            term,
            leases,
            targets: BTreeMap::new(),
            dirty_budgets,
            contended_budgets: BTreeSet::new(),
            turns_at: now,
        }
    }

    /// Leases by process.
    pub fn leases(&self) -> &BTreeMap<Incarnation, MemberLease> {
        &self.leases
    }

    /// Handles a request of a member.
    pub fn handle_request(&mut self, now: f64, who: Incarnation, request: &LeaseRequest) -> Handling {
        let expires_at = now + self.times.lease_with_drift_ms();
        let lease = self.leases.entry(who).or_insert_with(|| MemberLease::new(expires_at));
        // Danger: a request that was overtaken tells of a state that is past.
        if lease.removing || request.seq <= lease.seq {
            return Handling::Ignored;
        }
        if request.base.is_some_and(|base| !lease.knows(base, self.term)) {
            return Handling::Unsynchronized;
        }
        (lease.seq, lease.last_heard_at) = (request.seq, now);
        if request.leaving {
            lease.removing = true;
            return Handling::Ignored;
        }
        let considered = request.requests.iter().take(MAX_REQUESTED_BUDGETS);
        let requests: BTreeMap<Budget, BudgetRequest> =
            considered.map(|r| (r.budget.clone(), r.clone())).collect();
        let changed = match request.base {
            Some(base) => {
                // Only what it has handled is settled: what was sent may have got lost.
                lease.changed_grants.retain(|_, revision| *revision > base.revision);
                lease.change_requests(requests)
            }
            None => {
                lease.is_synchronized = true;
                lease.replace_requests(requests)
            }
        };
        self.dirty_budgets.extend(changed);
        Handling::Accepted
    }

    /// Called when a change was applied to the table, whether it still changed anything or not.
    pub fn note_applied(&mut self, change: &Change) {
        if let Change::Allocate { to, budget, .. } = change {
            if let Some(lease) = self.leases.get_mut(to) {
                lease.note_changed_grant(budget);
            }
            // A division is done with a budget once it finds nothing more to change.
            self.dirty_budgets.insert(budget.clone());
        }
    }

    /// Whether there are budgets to be divided.
    pub fn has_dirty_budgets(&self) -> bool {
        !self.dirty_budgets.is_empty()
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

    /// When the next lease expires, or the next turn may end.
    pub fn next_deadline(&self) -> f64 {
        let turns_at = if self.contended_budgets.is_empty() { f64::INFINITY } else { self.turns_at };
        self.leases.values().map(|lease| lease.expires_at).fold(turns_at, f64::min)
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
        if now > self.turns_at {
            self.turns_at = now + self.times.renew_ms;
            self.dirty_budgets.extend(self.contended_budgets.iter().cloned());
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
        self.set_targets(budget, &claims, &targets);
        changes
    }

    /// Keeps what a division gave to whom. Who is to come down from what it holds has to be told.
    fn set_targets(&mut self, budget: &Budget, claims: &[Claim], targets: &[Fraction]) {
        let before = self.targets.remove(budget).unwrap_or_default();
        for (claim, target) in claims.iter().zip(targets) {
            let told = |target: Option<&Fraction>| target.copied().unwrap_or(claim.held).min(claim.held);
            if told(before.get(&claim.who)) != told(Some(target)) {
                if let Some(lease) = self.leases.get_mut(&claim.who) {
                    lease.note_changed_grant(budget);
                }
            }
        }
        let is_waiting =
            |(claim, target): (&Claim, &Fraction)| claim.demand > Fraction::ZERO && *target == Fraction::ZERO;
        if claims.iter().zip(targets).any(is_waiting) {
            self.contended_budgets.insert(budget.clone());
        } else {
            self.contended_budgets.remove(budget);
        }
        if !claims.is_empty() {
            let targets = claims.iter().map(|c| c.who).zip(targets.iter().copied()).collect();
            self.targets.insert(budget.clone(), targets);
        }
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

    /// The lease with which a request of a member is responded to.
    pub fn lease(&self, who: Incarnation, base: Option<RenewalBase>, table: &LeaseTable) -> Lease {
        let mut lease = match base {
            Some(base) => self.changes(who, base, table),
            None => Lease::whole(who, self.grants(who, table)),
        };
        let revision = self.leases.get(&who).map_or(0, |lease| lease.revision);
        lease.position = Some(GrantsPosition { term: self.term, revision });
        lease
    }

    /// What changed of a member's grants since a response that it handled.
    fn changes(&self, who: Incarnation, base: RenewalBase, table: &LeaseTable) -> Lease {
        let mut lease = Lease { changes_since: Some(base.revision), ..Lease::whole(who, Vec::new()) };
        let Some(member) = self.leases.get(&who) else { return lease };
        for (budget, _) in member.changed_grants.iter().filter(|(_, revision)| **revision > base.revision) {
            let allocation = table.allocation(who, budget);
            if allocation == Allocation::NONE {
                lease.withdrawn.push(budget.clone());
            } else {
                lease.grants.push(self.grant(who, budget, allocation));
            }
        }
        lease
    }

    /// All grants of a member.
    fn grants(&self, who: Incarnation, table: &LeaseTable) -> Vec<Grant> {
        table.allocations(who).map(|(budget, allocation)| self.grant(who, budget, allocation)).collect()
    }

    fn grant(&self, who: Incarnation, budget: &Budget, allocation: Allocation) -> Grant {
        let target = self.targets.get(budget).and_then(|targets| targets.get(&who)).copied();
        Grant {
            budget: budget.clone(),
            fraction: allocation.fraction,
            version: allocation.version,
            target: target.map_or(allocation.fraction, |target| target.min(allocation.fraction)),
        }
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
