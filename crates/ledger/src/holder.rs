//! A host's side of leases: what it may use now, and what it tells the ledger.

use crate::budget::{Budget, Fraction, HostNumber, Incarnation};
use crate::message::{BudgetRequest, LeaseOutcome, LeaseRequest, LeaseResponse, Refusal};
use crate::Times;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

/// What a host may use of a budget beyond its floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// How much.
    pub fraction: Fraction,
    /// Nothing of it from this moment on, by the holder's clock.
    pub until_ms: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct HeldBudget {
    demand: Fraction,
    least: Fraction,
    turn_ms: u32,
    /// What it may use by the last grant, and what it came down to since.
    fraction: Fraction,
    version: u64,
    /// What whoever uses the part has confirmed, and may be declared.
    confirmed: Option<(Fraction, u64)>,
}

/// How a holder stands, for people.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderState {
    /// What the ledger calls this process.
    pub incarnation: Option<Incarnation>,
    /// Until when its lease holds; minus infinity where it never had one.
    pub until_ms: f64,
    /// Another process has its name.
    pub superseded: bool,
}

/// One process's leases.
#[derive(Clone, Debug)]
pub struct Holder {
    host: HostNumber,
    nonce: u64,
    times: Times,
    incarnation: Option<Incarnation>,
    budgets: BTreeMap<Budget, HeldBudget>,
    seq: u64,
    /// Requests without a response yet: number and time of sending.
    unanswered: VecDeque<(u64, f64)>,
    answered: u64,
    expires_at: f64,
    superseded: bool,
    leaving: bool,
}

/// Unanswered requests that are remembered; responses to older ones come too late in any case.
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
            expires_at: f64::NEG_INFINITY,
            superseded: false,
            leaving: false,
        }
    }

    /// How it stands.
    pub fn state(&self) -> HolderState {
        HolderState { incarnation: self.incarnation, until_ms: self.expires_at, superseded: self.superseded }
    }

    /// What is asked of a budget by this host's clients: as a fraction of the whole, the least fraction that is of use, and for
    /// how long it has to be had for that, milliseconds.
    pub fn set_demand(&mut self, budget: &Budget, demand: Fraction, least: Fraction, turn_ms: u32) {
        let held = self.budgets.entry(budget.clone()).or_default();
        (held.demand, held.least, held.turn_ms) = (demand, least, turn_ms);
    }

    /// What may be used of a budget beyond the floor, and until when.
    pub fn held(&self, budget: &Budget) -> Held {
        let fraction = self.budgets.get(budget).map_or(Fraction::ZERO, |l| l.fraction);
        Held { fraction, until_ms: self.expires_at }
    }

    /// All that may be used, beyond floors.
    pub fn all_held(&self) -> impl Iterator<Item = (&Budget, Held)> {
        self.budgets.iter().map(|(b, l)| (b, Held { fraction: l.fraction, until_ms: self.expires_at }))
    }

    /// Whoever uses the parts says that it goes by these now: only this can be declared to the ledger.
    ///
    /// Danger: a part that was told down, but not yet heard of by whoever sends, would be lent to another host.
    pub fn confirm(&mut self, budget: &Budget, fraction: Fraction, version: u64) {
        if let Some(held) =
            self.budgets.get_mut(budget).filter(|l| (l.fraction, l.version) == (fraction, version))
        {
            held.confirmed = Some((fraction, version));
        }
    }

    /// What has to be used from now on and was not confirmed yet: budget, fraction, version.
    pub fn unconfirmed(&self) -> Vec<(Budget, Fraction, u64)> {
        let differs = |l: &&HeldBudget| l.confirmed != Some((l.fraction, l.version));
        let budgets = self.budgets.iter().filter(|(_, l)| differs(l));
        budgets.map(|(b, l)| (b.clone(), l.fraction, l.version)).collect()
    }

    /// It goes: from now on it asks for nothing, and uses nothing beyond its floors.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.drop_lease();
    }

    fn drop_lease(&mut self) {
        self.expires_at = f64::NEG_INFINITY;
        self.budgets.values_mut().for_each(|l| (l.fraction, l.version) = (Fraction::ZERO, 0));
    }

    /// Whether it has something to ask for. A process whose name a later one has asks no more: the two would take the
    /// name from each other without end.
    pub fn should_request(&self) -> bool {
        !self.superseded
    }

    /// The next ask, sent now. Danger: the lease counts from here, before the ask goes out; a process that stands still
    /// between sending and hearing the answer has used that time up.
    pub fn next_request(&mut self, now: f64) -> LeaseRequest {
        self.seq += 1;
        self.unanswered.push_back((self.seq, now));
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        let request = |(budget, l): (&Budget, &HeldBudget)| {
            // What was confirmed under the present version, or nothing said: under version 0 the table has nothing.
            let (using, version) = l.confirmed.filter(|c| c.1 == l.version).unwrap_or((l.fraction, 0));
            BudgetRequest {
                budget: budget.clone(),
                demand: l.demand,
                least: l.least,
                turn_ms: l.turn_ms,
                using,
                version,
            }
        };
        LeaseRequest {
            host: self.host,
            nonce: self.nonce,
            incarnation: self.incarnation,
            seq: self.seq,
            leaving: self.leaving,
            requests: self.budgets.iter().map(request).collect(),
        }
    }

    /// Handles a response. True where something is to be confirmed.
    pub fn handle_response(&mut self, now: f64, response: &LeaseResponse) -> bool {
        let Some(sent_at) = self.unanswered.iter().find(|(seq, _)| *seq == response.seq).map(|(_, at)| *at)
        else {
            return false;
        };
        // Danger: an answer that was overtaken tells of a table that has changed since.
        if response.nonce != self.nonce || response.seq <= self.answered || self.leaving {
            return false;
        }
        match &response.outcome {
            LeaseOutcome::Lease { incarnation, grants } => {
                self.answered = response.seq;
                self.unanswered.retain(|(seq, _)| *seq > response.seq);
                if self.incarnation != Some(*incarnation) {
                    self.drop_lease();
                    self.incarnation = Some(*incarnation);
                }
                self.expires_at = self.expires_at.max(sent_at + self.times.lease_ms);
                for (budget, held) in &mut self.budgets {
                    if !grants.iter().any(|g| g.budget == *budget) {
                        // Removed, at its own request.
                        (held.fraction, held.version) = (Fraction::ZERO, 0);
                    }
                }
                for g in grants {
                    // What was granted and is not wanted has an entry too: it is given back with the next ask.
                    let held = self.budgets.entry(g.budget.clone()).or_default();
                    let wanted = held.demand > Fraction::ZERO || held.fraction > Fraction::ZERO;
                    match g.version.cmp(&held.version) {
                        Ordering::Greater if wanted => {
                            (held.fraction, held.version) = (g.fraction.min(g.target), g.version)
                        }
                        Ordering::Greater => (held.fraction, held.version) = (Fraction::ZERO, g.version),
                        // Danger: under one version a part only comes down; what was declared once is never exceeded.
                        Ordering::Equal => held.fraction = held.fraction.min(g.target),
                        Ordering::Less => {}
                    }
                }
                now < self.expires_at
            }
            LeaseOutcome::Refused(Refusal::Unknown) => {
                // Its lease is over for the leader, and so it is here: the leader waited longer.
                self.incarnation = None;
                self.drop_lease();
                true
            }
            LeaseOutcome::Refused(Refusal::Superseded) => {
                self.superseded = true;
                self.drop_lease();
                true
            }
            LeaseOutcome::Refused(Refusal::NotLeader(_)) => false,
        }
    }
}
