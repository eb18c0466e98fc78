//! The lease manager of the leader: when each lease expires, and which fractions to allocate to which member.

use crate::budget::{Budget, Incarnation};
use crate::divide::{divide, Claim};
use crate::fraction::Fraction;
use crate::lease_table::{Allocation, Change, LeaseTable};
use crate::message::{BudgetRequest, Grant, GrantsPosition, Lease, LeaseRequest, RenewalBase};
use crate::Timing;
use std::collections::{BTreeMap, BTreeSet};

/// The lease of a member, as the leader keeps it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberLease {
    /// When the lease has expired on the holder's clock, however that drifts within the bound.
    pub expires_at: f64,
    /// Sequence number of the last request.
    pub seq: u64,
    /// When the last request arrived.
    pub last_request_at: f64,
    /// The member's latest request for each budget.
    requests: BTreeMap<Budget, BudgetRequest>,
    /// The member has sent this leader a full request.
    is_synchronized: bool,
    /// Number of changes to the member's grants.
    revision: u64,
    /// Budgets whose grants changed, with the revision of the change, until the member has acknowledged that.
    changed_grants: BTreeMap<Budget, u64>,
    /// For each budget, when the member began to hold a fraction of it or to wait for one.
    since: BTreeMap<Budget, f64>,
    /// The member is about to be removed and gets no more responses.
    removing: bool,
}

impl MemberLease {
    fn new(expires_at: f64) -> MemberLease {
        MemberLease {
            expires_at,
            seq: 0,
            last_request_at: f64::NEG_INFINITY,
            requests: BTreeMap::new(),
            is_synchronized: false,
            revision: 0,
            changed_grants: BTreeMap::new(),
            since: BTreeMap::new(),
            removing: false,
        }
    }

    /// Whether an incremental request with this base can be applied here, and responded to incrementally.
    fn is_known_base(&self, base: RenewalBase, term: u64) -> bool {
        // This leader does not know the requests that were sent to the leader of another term.
        base.term == term && self.is_synchronized && base.seq <= self.seq && base.revision <= self.revision
    }

    fn record_changed_grant(&mut self, budget: &Budget) {
        self.revision += 1;
        self.changed_grants.insert(budget.clone(), self.revision);
    }

    /// Replaces all requests of the member. Returns the budgets whose request changed.
    fn replace_requests(&mut self, requests: BTreeMap<Budget, BudgetRequest>) -> Vec<Budget> {
        self.since.retain(|budget, _| requests.contains_key(budget));
        let before = std::mem::replace(&mut self.requests, requests);
        let removed = before.keys().filter(|budget| !self.requests.contains_key(*budget));
        let changed =
            self.requests.iter().filter(|(budget, r)| before.get(*budget) != Some(r)).map(|(b, _)| b);
        removed.chain(changed).cloned().collect()
    }

    /// Applies an incremental request of the member. Returns the budgets whose request changed.
    fn update_requests(&mut self, requests: BTreeMap<Budget, BudgetRequest>) -> Vec<Budget> {
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

/// How the lease manager handled a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestHandling {
    /// The request is to be responded to with a lease.
    Accepted,
    /// The request is outdated or its sender is leaving: it gets no response.
    Ignored,
    /// The base of the incremental request is not known here: its sender has to send a full request.
    Unsynchronized,
}

/// Manages the leases of all members during one leadership. A new leader starts with a new one.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    timing: Timing,
    /// The term of this leadership.
    term: u64,
    leases: BTreeMap<Incarnation, MemberLease>,
    /// Targets of the members in the last division of each budget.
    targets: BTreeMap<Budget, BTreeMap<Incarnation, Fraction>>,
    /// Budgets that have to be divided again.
    dirty_budgets: BTreeSet<Budget>,
    /// Budgets in which members with demand wait for a turn. They are divided again periodically, since turns
    /// end.
    contended_budgets: BTreeSet<Budget>,
    /// When the contended budgets are divided next.
    next_turn_check_at: f64,
}

/// Maximum number of budgets in one request; further ones are ignored.
const MAX_REQUESTED_BUDGETS: usize = 4_096;

impl LeaseManager {
    /// The lease manager of a leader that begins now.
    ///
    /// It treats every lease as just renewed: it does not know when earlier leaders renewed them, and each
    /// may have been renewed a moment before the election.
    pub fn new(timing: Timing, term: u64, table: &LeaseTable, now: f64) -> LeaseManager {
        let lease = |member: &Incarnation| (*member, MemberLease::new(now + timing.lease_with_drift_ms()));
        let leases = table.members().keys().map(lease).collect();
        let dirty_budgets = table.budgets().map(|(b, _)| b.clone()).collect();
        LeaseManager {
            timing,
            term,
            leases,
            targets: BTreeMap::new(),
            dirty_budgets,
            contended_budgets: BTreeSet::new(),
            next_turn_check_at: now,
        }
    }

    /// The leases of all members.
    pub fn leases(&self) -> &BTreeMap<Incarnation, MemberLease> {
        &self.leases
    }

    /// Handles a request of a member.
    pub fn handle_request(
        &mut self,
        now: f64,
        member: Incarnation,
        request: &LeaseRequest,
    ) -> RequestHandling {
        let expires_at = now + self.timing.lease_with_drift_ms();
        let lease = self.leases.entry(member).or_insert_with(|| MemberLease::new(expires_at));
        // A request that arrives after a later one describes an outdated state of its sender.
        if lease.removing || request.seq <= lease.seq {
            return RequestHandling::Ignored;
        }
        if request.base.is_some_and(|base| !lease.is_known_base(base, self.term)) {
            return RequestHandling::Unsynchronized;
        }
        (lease.seq, lease.last_request_at) = (request.seq, now);
        if request.leaving {
            lease.removing = true;
            return RequestHandling::Ignored;
        }
        let considered = request.requests.iter().take(MAX_REQUESTED_BUDGETS);
        let requests: BTreeMap<Budget, BudgetRequest> =
            considered.map(|r| (r.budget.clone(), r.clone())).collect();
        let changed = match request.base {
            Some(base) => {
                // Only what the member has handled is acknowledged: a response that was sent may have been
                // lost.
                lease.changed_grants.retain(|_, revision| *revision > base.revision);
                lease.update_requests(requests)
            }
            None => {
                lease.is_synchronized = true;
                lease.replace_requests(requests)
            }
        };
        self.dirty_budgets.extend(changed);
        RequestHandling::Accepted
    }

    /// Records that a change was applied to the table, whether or not it had an effect.
    pub fn record_applied(&mut self, change: &Change) {
        if let Change::Allocate { member, budget, .. } = change {
            if let Some(lease) = self.leases.get_mut(member) {
                lease.record_changed_grant(budget);
            }
            // A budget is divided again until a division finds nothing to change.
            self.dirty_budgets.insert(budget.clone());
        }
    }

    /// Whether there are budgets to divide.
    pub fn has_dirty_budgets(&self) -> bool {
        !self.dirty_budgets.is_empty()
    }

    /// Renews a member's lease when a response with it is sent.
    pub fn renew_lease(&mut self, now: f64, member: Incarnation) {
        if let Some(lease) = self.leases.get_mut(&member) {
            lease.expires_at = now + self.timing.lease_with_drift_ms();
        }
    }

    /// Whether a member's lease may be renewed.
    pub fn is_renewable(&self, member: Incarnation) -> bool {
        self.leases.get(&member).is_some_and(|lease| !lease.removing)
    }

    /// When the next lease expires or the contended budgets are divided next.
    pub fn next_deadline(&self) -> f64 {
        let next_turn_check_at =
            if self.contended_budgets.is_empty() { f64::INFINITY } else { self.next_turn_check_at };
        self.leases.values().map(|lease| lease.expires_at).fold(next_turn_check_at, f64::min)
    }

    /// The changes that the table needs now. Must be called only while no earlier proposal waits to be
    /// committed.
    pub fn propose_changes(&mut self, now: f64, table: &LeaseTable) -> Vec<Change> {
        for member in table.members().keys() {
            // Every member gets a lease, so that one that sends no further request expires and is removed.
            let expires_at = now + self.timing.lease_with_drift_ms();
            self.leases.entry(*member).or_insert_with(|| MemberLease::new(expires_at));
        }
        let removals = self.remove_expired(now, table);
        if !removals.is_empty() {
            // Their allocations become free once the removals are committed.
            return removals;
        }
        if now > self.next_turn_check_at {
            self.next_turn_check_at = now + self.timing.renewal_interval_ms;
            self.dirty_budgets.extend(self.contended_budgets.iter().cloned());
        }
        let dirty = std::mem::take(&mut self.dirty_budgets);
        dirty.iter().flat_map(|budget| self.divide_budget(now, table, budget)).collect()
    }

    fn remove_expired(&mut self, now: f64, table: &LeaseTable) -> Vec<Change> {
        let mut changes = Vec::new();
        for (member, lease) in &mut self.leases {
            if !lease.removing && now <= lease.expires_at {
                continue;
            }
            // No response may be sent from here on: it would renew a lease that is about to be removed.
            lease.removing = true;
            if table.members().contains_key(member) {
                changes.push(Change::Remove { member: *member });
                self.dirty_budgets.extend(table.allocations(*member).map(|(b, _)| b.clone()));
            }
        }
        self.leases.retain(|member, lease| !lease.removing || table.members().contains_key(member));
        changes
    }

    fn divide_budget(&mut self, now: f64, table: &LeaseTable, budget: &Budget) -> Vec<Change> {
        let claims = self.claims(now, table, budget);
        let targets = divide(table.lendable(), &claims, now);
        let free = table.lendable().saturating_sub(table.total_allocated(budget));
        let mut updates = raise(&claims, &targets, free);
        let raised: BTreeSet<Incarnation> = updates.iter().map(|u| u.claim.incarnation).collect();
        for (claim, target) in claims.iter().zip(&targets).filter(|(c, _)| !raised.contains(&c.incarnation)) {
            let using = self.using(claim.incarnation, budget, table);
            // The member may need again what it declared unused. Under the current version it cannot use more
            // than it declared; an allocation of a new version lets it, even if its fraction is not larger.
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

    /// Stores the targets of a division. A member has to be notified if its target, capped at the fraction that
    /// it holds, has changed.
    fn set_targets(&mut self, budget: &Budget, claims: &[Claim], targets: &[Fraction]) {
        let before = self.targets.remove(budget).unwrap_or_default();
        for (claim, target) in claims.iter().zip(targets) {
            let sent_target =
                |target: Option<&Fraction>| target.copied().unwrap_or(claim.held).min(claim.held);
            if sent_target(before.get(&claim.incarnation)) != sent_target(Some(target)) {
                if let Some(lease) = self.leases.get_mut(&claim.incarnation) {
                    lease.record_changed_grant(budget);
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
            let targets = claims.iter().map(|c| c.incarnation).zip(targets.iter().copied()).collect();
            self.targets.insert(budget.clone(), targets);
        }
    }

    /// The claims of all members that hold or request a fraction of a budget.
    fn claims(&mut self, now: f64, table: &LeaseTable, budget: &Budget) -> Vec<Claim> {
        let mut claims = Vec::new();
        for (member, lease) in &mut self.leases {
            let held = table.allocation(*member, budget).fraction;
            let request = lease.requests.get(budget);
            if held == Fraction::ZERO && request.is_none() {
                continue;
            }
            claims.push(Claim {
                incarnation: *member,
                demand: request.map_or(Fraction::ZERO, |r| r.demand),
                min_fraction: request.map_or(Fraction::ZERO, |r| r.min_fraction),
                turn_ms: request.map_or(0.0, |r| f64::from(r.turn_ms)),
                held,
                since_ms: *lease.since.entry(budget.clone()).or_insert(now),
            });
        }
        claims
    }

    /// Records when a member begins to hold a fraction, or to wait for one.
    fn record_turn_start(&mut self, now: f64, budget: &Budget, update: &Update<'_>) {
        let had_none = update.claim.held == Fraction::ZERO;
        let gets_none = update.fraction == Fraction::ZERO;
        if had_none != gets_none {
            if let Some(lease) = self.leases.get_mut(&update.claim.incarnation) {
                lease.since.insert(budget.clone(), now);
            }
        }
    }

    /// Upper bound of what a member uses of its allocation, as declared under the allocation's current
    /// version.
    fn using(&self, member: Incarnation, budget: &Budget, table: &LeaseTable) -> Fraction {
        let allocation = table.allocation(member, budget);
        let request = self.leases.get(&member).and_then(|lease| lease.requests.get(budget));
        // A declaration under an earlier version does not cover what was allocated since.
        let declared = request.filter(|r| r.version == allocation.version);
        declared.map_or(allocation.fraction, |r| r.using.min(allocation.fraction))
    }

    /// The lease to send in response to a member's request: incremental if the request has a base, otherwise
    /// full.
    pub fn lease(&self, member: Incarnation, base: Option<RenewalBase>, table: &LeaseTable) -> Lease {
        let mut lease = match base {
            Some(base) => self.changes(member, base, table),
            None => Lease::full(member, self.grants(member, table)),
        };
        let revision = self.leases.get(&member).map_or(0, |lease| lease.revision);
        lease.position = Some(GrantsPosition { term: self.term, revision });
        lease
    }

    /// An incremental lease: the changes to a member's grants since a response that it has handled.
    fn changes(&self, member: Incarnation, base: RenewalBase, table: &LeaseTable) -> Lease {
        let mut lease = Lease { changes_since: Some(base.revision), ..Lease::full(member, Vec::new()) };
        let Some(member_lease) = self.leases.get(&member) else { return lease };
        for (budget, _) in
            member_lease.changed_grants.iter().filter(|(_, revision)| **revision > base.revision)
        {
            let allocation = table.allocation(member, budget);
            if allocation == Allocation::NONE {
                lease.withdrawn.push(budget.clone());
            } else {
                lease.grants.push(self.grant(member, budget, allocation));
            }
        }
        lease
    }

    /// All grants of a member.
    fn grants(&self, member: Incarnation, table: &LeaseTable) -> Vec<Grant> {
        table.allocations(member).map(|(budget, allocation)| self.grant(member, budget, allocation)).collect()
    }

    fn grant(&self, member: Incarnation, budget: &Budget, allocation: Allocation) -> Grant {
        let target = self.targets.get(budget).and_then(|targets| targets.get(&member)).copied();
        Grant {
            budget: budget.clone(),
            fraction: allocation.fraction,
            version: allocation.version,
            target: target.map_or(allocation.fraction, |target| target.min(allocation.fraction)),
        }
    }
}

/// A new fraction for a claim, in place of the held one.
struct Update<'a> {
    claim: &'a Claim,
    fraction: Fraction,
}

impl Update<'_> {
    fn change(&self, table: &LeaseTable, budget: &Budget) -> Change {
        Change::Allocate {
            member: self.claim.incarnation,
            budget: budget.clone(),
            fraction: self.fraction,
            expected_version: table.allocation(self.claim.incarnation, budget).version,
        }
    }
}

/// Raises allocations towards their targets, as far as the free fraction allows. Members with the lowest
/// ratio of held to target come first. Later divisions hand out what other members still hold above their
/// targets.
fn raise<'a>(claims: &'a [Claim], targets: &[Fraction], mut free: Fraction) -> Vec<Update<'a>> {
    let held_ratio = |(claim, target): &(&Claim, Fraction)| claim.held.0 as f64 / target.0.max(1) as f64;
    let pairs = claims.iter().zip(targets.iter().copied());
    let mut below: Vec<(&Claim, Fraction)> = pairs.filter(|(c, target)| *target > c.held).collect();
    below.sort_by(|a, b| held_ratio(a).total_cmp(&held_ratio(b)));
    let mut updates = Vec::new();
    for (claim, target) in below {
        let held = claim.held;
        let fraction = target.min(held.saturating_add(free));
        // A fraction that does not admit a request would stay unused.
        if fraction > held && fraction >= claim.min_fraction.min(target) {
            free = free.saturating_sub(fraction.saturating_sub(held));
            updates.push(Update { claim, fraction });
        }
    }
    updates
}
