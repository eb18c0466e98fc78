//! The replicated state: which processes are members, and which fractions are allocated to each. All voters
//! that have applied the same log entries have the same table.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the table, as stored in a log entry. A change that no longer applies has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A process joins and gets the next incarnation. It has no effect if that process is already a member.
    Join {
        /// Host of the process.
        host: HostNumber,
        /// Random number that identifies the process until it has an incarnation.
        nonce: u64,
    },
    /// Sets the allocation of a process in a budget.
    #[serde(rename = "lend")]
    Allocate {
        /// The process.
        #[serde(rename = "to")]
        member: Incarnation,
        /// The budget.
        budget: Budget,
        /// The allocated fraction.
        #[serde(rename = "part")]
        fraction: Fraction,
        /// Version of the allocation that this one replaces; 0 if there is none. Without it a change that was
        /// computed before another one was applied would undo that one.
        #[serde(rename = "after")]
        expected_version: u64,
    },
    /// Removes a process that left or whose lease expired. Its allocations become free.
    #[serde(rename = "forget")]
    Remove {
        /// The process.
        #[serde(rename = "who")]
        member: Incarnation,
    },
}

/// A process that has joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Host of the process.
    pub host: HostNumber,
    /// Random number that identified the process when it joined.
    pub nonce: u64,
}

/// The fraction of a budget that is allocated to a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// The allocated fraction.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of this allocation. Versions are never reused; 0 stands for no allocation.
    #[serde(rename = "at")]
    pub version: u64,
}

impl Allocation {
    /// The value for a process that has no allocation.
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
    /// An empty table; `lendable` is the fraction of each budget that the floors of all hosts leave over.
    pub fn new(lendable: Fraction) -> LeaseTable {
        LeaseTable { lendable: lendable.min(Fraction::WHOLE), ..LeaseTable::default() }
    }

    /// The fraction of each budget that the floors of all hosts leave over.
    pub fn lendable(&self) -> Fraction {
        self.lendable
    }

    /// All processes that have joined and were not removed.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// Budgets with at least one allocation, with all their allocations.
    pub fn budgets(&self) -> impl Iterator<Item = (&Budget, &BTreeMap<Incarnation, Allocation>)> {
        self.allocations.iter()
    }

    /// The allocation of a process in a budget.
    pub fn allocation(&self, member: Incarnation, budget: &Budget) -> Allocation {
        let allocation = self.allocations.get(budget).and_then(|holders| holders.get(&member));
        allocation.copied().unwrap_or(Allocation::NONE)
    }

    /// All allocations of a process.
    pub fn allocations(&self, member: Incarnation) -> impl Iterator<Item = (&Budget, Allocation)> {
        self.allocations.iter().filter_map(move |(budget, holders)| Some((budget, *holders.get(&member)?)))
    }

    /// The sum of all allocations in a budget.
    pub fn total_allocated(&self, budget: &Budget) -> Fraction {
        let Some(holders) = self.allocations.get(budget) else { return Fraction::ZERO };
        holders.values().map(|allocation| allocation.fraction).sum()
    }

    /// The incarnation of a process that has joined.
    pub fn incarnation(&self, host: HostNumber, nonce: u64) -> Option<Incarnation> {
        let matches = |m: &Member| m.host == host && m.nonce == nonce;
        self.members.iter().find(|(_, m)| matches(m)).map(|(incarnation, _)| *incarnation)
    }

    /// The process of a host that joined last.
    pub fn latest(&self, host: HostNumber) -> Option<Incarnation> {
        self.members.iter().rev().find(|(_, m)| m.host == host).map(|(incarnation, _)| *incarnation)
    }

    /// Applies a change. Returns whether it had an effect.
    pub fn apply(&mut self, change: &Change) -> bool {
        match change {
            Change::Join { host, nonce } => self.join(*host, *nonce),
            Change::Allocate { member, budget, fraction, expected_version } => {
                self.allocate(*member, budget, *fraction, *expected_version)
            }
            Change::Remove { member } => self.remove(*member),
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
        member: Incarnation,
        budget: &Budget,
        fraction: Fraction,
        expected_version: u64,
    ) -> bool {
        let held = self.allocation(member, budget);
        let total = self.total_allocated(budget).saturating_sub(held.fraction).saturating_add(fraction);
        // Checked here and not by the leader alone: no proposal, however wrong, can over-allocate a budget.
        if !self.members.contains_key(&member) || held.version != expected_version || total > self.lendable {
            return false;
        }
        self.last_version += 1;
        let holders = self.allocations.entry(budget.clone()).or_default();
        if fraction == Fraction::ZERO {
            holders.remove(&member);
        } else {
            holders.insert(member, Allocation { fraction, version: self.last_version });
        }
        if holders.is_empty() {
            self.allocations.remove(budget);
        }
        true
    }

    fn remove(&mut self, member: Incarnation) -> bool {
        let was_member = self.members.remove(&member).is_some();
        self.allocations.retain(|_, holders| {
            holders.remove(&member);
            !holders.is_empty()
        });
        was_member
    }
}
