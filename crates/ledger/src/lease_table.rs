//! The agreed state: who is in the fleet and what is lent to whom. Every voter that applied the same entries has the same.

use crate::budget::{Budget, Fraction, HostNumber, Incarnation};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the table, as entries of the log hold it. One that no longer fits when it is applied changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A process joins; it gets the next incarnation. Asked again by the same process it changes nothing.
    Join {
        /// Of which host.
        host: HostNumber,
        /// A number that this process drew and no other has.
        nonce: u64,
    },
    /// What a process holds of a budget from now on.
    #[serde(rename = "lend")]
    Allocate {
        /// Which process.
        to: Incarnation,
        /// Of what.
        budget: Budget,
        /// How much.
        #[serde(rename = "part")]
        fraction: Fraction,
        /// The version of what it holds now; 0 where it holds nothing. Danger: a change thought out before another one
        /// was applied would strike out what was lent in between.
        #[serde(rename = "after")]
        expected_version: u64,
    },
    /// A process is gone, or its lease is over: all it held is free.
    #[serde(rename = "forget")]
    Remove {
        /// Which.
        who: Incarnation,
    },
}

/// A process that joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Of which host.
    pub host: HostNumber,
    /// Its own number.
    pub nonce: u64,
}

/// What a process holds of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// How much.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of this line; no other line ever has it.
    #[serde(rename = "at")]
    pub version: u64,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    lendable: Fraction,
    #[serde(rename = "joined")]
    last_incarnation: u64,
    #[serde(rename = "versions")]
    last_version: u64,
    members: BTreeMap<Incarnation, Member>,
    #[serde(rename = "lent")]
    allocations: BTreeMap<Budget, BTreeMap<Incarnation, Allocation>>,
}

impl LeaseTable {
    /// Nothing is lent yet; `lendable` is what all floors leave of each whole.
    pub fn new(lendable: Fraction) -> LeaseTable {
        LeaseTable { lendable: lendable.min(Fraction::WHOLE), ..LeaseTable::default() }
    }

    /// What all floors leave.
    pub fn lendable(&self) -> Fraction {
        self.lendable
    }

    /// All processes that joined and were not forgotten.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// Budgets of which something is lent.
    pub fn budgets(&self) -> impl Iterator<Item = (&Budget, &BTreeMap<Incarnation, Allocation>)> {
        self.allocations.iter()
    }

    /// What a process holds of a budget; version 0 where that is nothing.
    pub fn allocation(&self, who: Incarnation, budget: &Budget) -> Allocation {
        let line = self.allocations.get(budget).and_then(|holders| holders.get(&who));
        line.copied().unwrap_or(Allocation { fraction: Fraction::ZERO, version: 0 })
    }

    /// All that a process holds.
    pub fn allocations(&self, who: Incarnation) -> impl Iterator<Item = (&Budget, Allocation)> {
        self.allocations.iter().filter_map(move |(budget, holders)| Some((budget, *holders.get(&who)?)))
    }

    /// What is lent of a budget in all.
    pub fn total_allocated(&self, budget: &Budget) -> Fraction {
        self.allocations
            .get(budget)
            .map_or(Fraction::ZERO, |holders| holders.values().map(|l| l.fraction).sum())
    }

    /// The incarnation of a process that joined.
    pub fn incarnation(&self, host: HostNumber, nonce: u64) -> Option<Incarnation> {
        let of_it = |m: &Member| m.host == host && m.nonce == nonce;
        self.members.iter().find(|(_, m)| of_it(m)).map(|(who, _)| *who)
    }

    /// The latest process of a host.
    pub fn latest(&self, host: HostNumber) -> Option<Incarnation> {
        self.members.iter().rev().find(|(_, m)| m.host == host).map(|(who, _)| *who)
    }

    /// Applies a change; whether it changed anything.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Join { host, nonce } => {
                if self.incarnation(*host, *nonce).is_some() {
                    return false;
                }
                self.last_incarnation += 1;
                let member = Member { host: *host, nonce: *nonce };
                self.members.insert(Incarnation(self.last_incarnation), member);
                true
            }
            Change::Allocate { to, budget, fraction, expected_version } => {
                let held = self.allocation(*to, budget);
                let all =
                    self.total_allocated(budget).saturating_sub(held.fraction).saturating_add(*fraction);
                // Danger: whatever a leader thought, more than the whole is never written down as lent.
                if !self.members.contains_key(to) || held.version != *expected_version || all > self.lendable
                {
                    return false;
                }
                self.last_version += 1;
                let holders = self.allocations.entry(budget.clone()).or_default();
                if *fraction == Fraction::ZERO {
                    holders.remove(to);
                } else {
                    holders.insert(*to, Allocation { fraction: *fraction, version: self.last_version });
                }
                self.drop_empty_budgets();
                true
            }
            Change::Remove { who } => {
                let known = self.members.remove(who).is_some();
                for holders in self.allocations.values_mut() {
                    holders.remove(who);
                }
                self.drop_empty_budgets();
                known
            }
        }
    }

    fn drop_empty_budgets(&mut self) {
        self.allocations.retain(|_, holders| !holders.is_empty());
    }
}
