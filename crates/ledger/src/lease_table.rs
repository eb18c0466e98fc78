//! The replicated state: which processes are members, and what is allocated to each. All voters that applied the same
//! entries have the same table.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the table, as entries of the log hold it. One that no longer applies changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A process joins and gets the next incarnation. Repeated for the same process it changes nothing.
    Join {
        /// Its host.
        host: HostNumber,
        /// A number that this process drew and no other has.
        nonce: u64,
    },
    /// Sets what a process holds of a budget.
    #[serde(rename = "lend")]
    Allocate {
        /// The process.
        to: Incarnation,
        /// The budget.
        budget: Budget,
        /// How much of it.
        #[serde(rename = "part")]
        fraction: Fraction,
        /// The version of the allocation that this replaces; 0 where there is none. Danger: a change computed before
        /// another one was applied would undo that one.
        #[serde(rename = "after")]
        expected_version: u64,
    },
    /// A process left, or its lease expired: all that it held is free.
    #[serde(rename = "forget")]
    Remove {
        /// The process.
        who: Incarnation,
    },
}

/// A process that joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its host.
    pub host: HostNumber,
    /// The number that it drew.
    pub nonce: u64,
}

/// What a process holds of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// How much of it.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of this allocation; no other one ever has it. 0 where the process holds nothing.
    #[serde(rename = "at")]
    pub version: u64,
}

impl Allocation {
    /// What a process holds that has no allocation.
    pub const NONE: Allocation = Allocation { fraction: Fraction::ZERO, version: 0 };
}

/// The replicated state.
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
    /// An empty table; `lendable` is what the floors of all hosts leave of each budget.
    pub fn new(lendable: Fraction) -> LeaseTable {
        LeaseTable { lendable: lendable.min(Fraction::WHOLE), ..LeaseTable::default() }
    }

    /// What the floors of all hosts leave of each budget.
    pub fn lendable(&self) -> Fraction {
        self.lendable
    }

    /// All processes that joined and were not removed.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// Budgets of which something is allocated, with all allocations.
    pub fn budgets(&self) -> impl Iterator<Item = (&Budget, &BTreeMap<Incarnation, Allocation>)> {
        self.allocations.iter()
    }

    /// What a process holds of a budget.
    pub fn allocation(&self, who: Incarnation, budget: &Budget) -> Allocation {
        let allocation = self.allocations.get(budget).and_then(|holders| holders.get(&who));
        allocation.copied().unwrap_or(Allocation::NONE)
    }

    /// All that a process holds.
    pub fn allocations(&self, who: Incarnation) -> impl Iterator<Item = (&Budget, Allocation)> {
        self.allocations.iter().filter_map(move |(budget, holders)| Some((budget, *holders.get(&who)?)))
    }

    /// What all processes hold of a budget.
    pub fn total_allocated(&self, budget: &Budget) -> Fraction {
        let Some(holders) = self.allocations.get(budget) else { return Fraction::ZERO };
        holders.values().map(|allocation| allocation.fraction).sum()
    }

    /// The incarnation of a process that joined.
    pub fn incarnation(&self, host: HostNumber, nonce: u64) -> Option<Incarnation> {
        let is_it = |m: &Member| m.host == host && m.nonce == nonce;
        self.members.iter().find(|(_, m)| is_it(m)).map(|(who, _)| *who)
    }

    /// The latest process of a host.
    pub fn latest(&self, host: HostNumber) -> Option<Incarnation> {
        self.members.iter().rev().find(|(_, m)| m.host == host).map(|(who, _)| *who)
    }

    /// Applies a change; whether it changed anything.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Join { host, nonce } => self.join(*host, *nonce),
            Change::Allocate { to, budget, fraction, expected_version } => {
                self.allocate(*to, budget, *fraction, *expected_version)
            }
            Change::Remove { who } => self.remove(*who),
        }
    }

    fn join(&mut self, host: HostNumber, nonce: u64) -> bool {
        if self.incarnation(host, nonce).is_some() {
            return false;
        }
        self.last_incarnation += 1;
        let member = Member { host, nonce };
        self.members.insert(Incarnation(self.last_incarnation), member);
        true
    }

    fn allocate(
        &mut self,
        to: Incarnation,
        budget: &Budget,
        fraction: Fraction,
        expected_version: u64,
    ) -> bool {
        let held = self.allocation(to, budget);
        let total = self.total_allocated(budget).saturating_sub(held.fraction).saturating_add(fraction);
        // Danger: whatever a leader proposes, more than the whole is never allocated.
        if !self.members.contains_key(&to) || held.version != expected_version || total > self.lendable {
            return false;
        }
        self.last_version += 1;
        let holders = self.allocations.entry(budget.clone()).or_default();
        if fraction == Fraction::ZERO {
            holders.remove(&to);
        } else {
            holders.insert(to, Allocation { fraction, version: self.last_version });
        }
        if holders.is_empty() {
            self.allocations.remove(budget);
        }
        true
    }

    fn remove(&mut self, who: Incarnation) -> bool {
        let known = self.members.remove(&who).is_some();
        self.allocations.retain(|_, holders| {
            holders.remove(&who);
            !holders.is_empty()
        });
        known
    }
}
