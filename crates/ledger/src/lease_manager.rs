//! The leader's side of leases: when each is over, and what should be lent to whom.

use crate::budget::{Budget, Fraction, Incarnation};
use crate::divide::{divide, Claim};
use crate::lease_table::{Change, LeaseTable};
use crate::message::{BudgetRequest, Grant, LeaseRequest};
use crate::Times;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader keeps of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberLease {
    /// No clock of its holder calls the lease valid from here on.
    pub expires_at: f64,
    /// Its last ask, by number and time.
    pub seq: u64,
    /// When that came.
    pub last_heard_at: f64,
    /// What it said.
    requests: BTreeMap<Budget, BudgetRequest>,
    /// Since when it has had some of a budget, or has been waiting.
    since: BTreeMap<Budget, f64>,
    /// It is to be forgotten: it gets no more answers.
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

/// Keeps accounts for one time of leading. Nothing of it outlives that.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    times: Times,
    leases: BTreeMap<Incarnation, MemberLease>,
    targets: BTreeMap<Budget, BTreeMap<Incarnation, Fraction>>,
    /// Budgets to be divided anew.
    dirty_budgets: BTreeSet<Budget>,
}

/// Budgets of one ask at the most; further ones are not looked at.
const MAX_REQUESTED_BUDGETS: usize = 4_096;

impl LeaseManager {
    /// One that leads from now. Danger: it does not know when leases of earlier leaders were answered; all of them
    /// may have been answered a moment before it was elected.
    pub fn new(times: Times, table: &LeaseTable, now: f64) -> LeaseManager {
        let lease = |who: &Incarnation| (*who, MemberLease::new(now + times.lease_with_drift_ms()));
        let leases = table.members().keys().map(lease).collect();
        let dirty_budgets = table.budgets().map(|(b, _)| b.clone()).collect();
        LeaseManager { times, leases, targets: BTreeMap::new(), dirty_budgets }
    }

    /// Accounts by process.
    pub fn leases(&self) -> &BTreeMap<Incarnation, MemberLease> {
        &self.leases
    }

    /// Takes an ask of a process in the table. False: it is not to be answered with a lease.
    pub fn handle_request(&mut self, now: f64, who: Incarnation, request: &LeaseRequest) -> bool {
        let expires_at = now + self.times.lease_with_drift_ms();
        let lease = self.leases.entry(who).or_insert_with(|| MemberLease::new(expires_at));
        // Danger: an old ask that comes late says what was true once.
        if lease.removing || request.seq <= lease.seq {
            return false;
        }
        (lease.seq, lease.last_heard_at) = (request.seq, now);
        if request.leaving {
            lease.removing = true;
            return false;
        }
        let requests: BTreeMap<Budget, BudgetRequest> = request
            .requests
            .iter()
            .take(MAX_REQUESTED_BUDGETS)
            .map(|w| (w.budget.clone(), w.clone()))
            .collect();
        self.dirty_budgets.extend(lease.requests.keys().chain(requests.keys()).cloned());
        lease.since.retain(|b, _| requests.contains_key(b));
        lease.requests = requests;
        true
    }

    /// An answer with a lease goes out to a process now.
    pub fn renew_lease(&mut self, now: f64, who: Incarnation) {
        if let Some(lease) = self.leases.get_mut(&who) {
            lease.expires_at = now + self.times.lease_with_drift_ms();
        }
    }

    /// Whether a process may be answered.
    pub fn is_open(&self, who: Incarnation) -> bool {
        self.leases.get(&who).is_some_and(|a| !a.removing)
    }

    /// When the next lease is over.
    pub fn next_deadline(&self) -> f64 {
        self.leases.values().map(|a| a.expires_at).fold(f64::INFINITY, f64::min)
    }

    /// What should change in the table now. Called only while no earlier change waits to be agreed on.
    pub fn propose_changes(&mut self, now: f64, table: &LeaseTable) -> Vec<Change> {
        let mut changes = Vec::new();
        for who in table.members().keys() {
            // One that joined and was not heard again has to be forgotten some time.
            self.leases
                .entry(*who)
                .or_insert_with(|| MemberLease::new(now + self.times.lease_with_drift_ms()));
        }
        for (who, lease) in &mut self.leases {
            if lease.removing || now > lease.expires_at {
                // From here on it gets no answer: one given now would renew what is about to be struck out.
                lease.removing = true;
                if table.members().contains_key(who) {
                    changes.push(Change::Remove { who: *who });
                    self.dirty_budgets.extend(table.allocations(*who).map(|(b, _)| b.clone()));
                }
            }
        }
        self.leases.retain(|who, a| !a.removing || table.members().contains_key(who));
        // What they hold is free once that is agreed on.
        if changes.is_empty() {
            for budget in std::mem::take(&mut self.dirty_budgets) {
                self.divide_budget(now, table, &budget, &mut changes);
            }
        }
        changes
    }

    fn divide_budget(&mut self, now: f64, table: &LeaseTable, budget: &Budget, changes: &mut Vec<Change>) {
        let mut claims = Vec::new();
        for (who, lease) in &mut self.leases {
            let held = table.allocation(*who, budget).fraction;
            let requested = lease.requests.get(budget);
            if held == Fraction::ZERO && requested.is_none() {
                continue;
            }
            let since_ms = *lease.since.entry(budget.clone()).or_insert(now);
            let (demand, least) = requested.map_or((Fraction::ZERO, Fraction::ZERO), |w| (w.demand, w.least));
            let turn_ms = requested.map_or(0.0, |w| f64::from(w.turn_ms));
            claims.push(Claim { who: *who, demand, least, turn_ms, held, since_ms });
        }
        let targets = divide(table.lendable(), &claims, now);
        let mut raised = BTreeSet::new();
        let mut free = table.lendable().saturating_sub(table.total_allocated(budget));
        // Those who lack most in proportion come first; what others still hold follows when they have come down.
        let lacks = |i: &usize| claims[*i].held.0 as f64 / targets[*i].0.max(1) as f64;
        let mut up: Vec<usize> = (0..claims.len()).filter(|i| targets[*i] > claims[*i].held).collect();
        up.sort_by(|a, b| lacks(a).total_cmp(&lacks(b)));
        for i in up {
            let (claim, allocation) = (&claims[i], table.allocation(claims[i].who, budget));
            let fraction = targets[i].min(allocation.fraction.saturating_add(free));
            // Less than holds a request would lie unused.
            if fraction > allocation.fraction && fraction >= claim.least.min(targets[i]) {
                free = free.saturating_sub(fraction.saturating_sub(allocation.fraction));
                changes.push(allocate(claim.who, budget, fraction, allocation.version));
                self.record_turn_start(now, claim, budget, fraction);
                raised.insert(claim.who);
            }
        }
        for (claim, target) in claims.iter().zip(&targets).filter(|(c, _)| !raised.contains(&c.who)) {
            let (allocation, using) =
                (table.allocation(claim.who, budget), self.using(claim.who, budget, table));
            // What it came down from may be of use to it again by now. Under the version that it has it can't go up; a
            // line of a new version, with no more in it than before, lets it.
            let fraction = using.max(*target).min(allocation.fraction);
            if using < allocation.fraction {
                changes.push(allocate(claim.who, budget, fraction, allocation.version));
                self.record_turn_start(now, claim, budget, fraction);
            }
        }
        self.targets.insert(budget.clone(), claims.iter().map(|c| c.who).zip(targets).collect());
        if claims.is_empty() {
            self.targets.remove(budget);
        }
    }

    /// A turn begins where a process gets some and had none, or has none any more.
    fn record_turn_start(&mut self, now: f64, claim: &Claim, budget: &Budget, fraction: Fraction) {
        if (claim.held == Fraction::ZERO) != (fraction == Fraction::ZERO) {
            if let Some(lease) = self.leases.get_mut(&claim.who) {
                lease.since.insert(budget.clone(), now);
            }
        }
    }

    /// No more than this is in use, by the holder's own word under the very version that the table has.
    fn using(&self, who: Incarnation, budget: &Budget, table: &LeaseTable) -> Fraction {
        let allocation = table.allocation(who, budget);
        let requested = self.leases.get(&who).and_then(|a| a.requests.get(budget));
        // Danger: a word given under an earlier grant says nothing of what was lent since.
        requested
            .filter(|w| w.version == allocation.version)
            .map_or(allocation.fraction, |w| w.using.min(allocation.fraction))
    }

    /// What a process is to be told.
    pub fn grants(&self, who: Incarnation, table: &LeaseTable) -> Vec<Grant> {
        let target = |budget: &Budget| self.targets.get(budget).and_then(|t| t.get(&who)).copied();
        let grant = |(budget, allocation): (&Budget, crate::Allocation)| Grant {
            budget: budget.clone(),
            fraction: allocation.fraction,
            version: allocation.version,
            target: target(budget).map_or(allocation.fraction, |t| t.min(allocation.fraction)),
        };
        table.allocations(who).map(grant).collect()
    }
}

fn allocate(to: Incarnation, budget: &Budget, fraction: Fraction, expected_version: u64) -> Change {
    Change::Allocate { to, budget: budget.clone(), fraction, expected_version }
}
