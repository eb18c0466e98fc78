//! The agreed state: who is in the fleet and what is lent to whom. Every voter that applied the same entries has the same.

use crate::part::{Budget, HostNumber, Incarnation, Part};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change of the book, as entries of the log hold it. One that no longer fits when it is applied changes nothing.
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
    Lend {
        /// Which process.
        to: Incarnation,
        /// Of what.
        budget: Budget,
        /// How much.
        part: Part,
        /// The version of what it holds now; 0 where it holds nothing. Danger: a change thought out before another one
        /// was applied would strike out what was lent in between.
        after: u64,
    },
    /// A process is gone, or its lease is over: all it held is free.
    Forget {
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
pub struct Lent {
    /// How much.
    pub part: Part,
    /// Version of this line; no other line ever has it.
    pub at: u64,
}

/// The agreed state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Book {
    lendable: Part,
    joined: u64,
    versions: u64,
    members: BTreeMap<Incarnation, Member>,
    lent: BTreeMap<Budget, BTreeMap<Incarnation, Lent>>,
}

impl Book {
    /// Nothing is lent yet; `lendable` is what all floors leave of each whole.
    pub fn new(lendable: Part) -> Book {
        Book { lendable: lendable.min(Part::WHOLE), ..Book::default() }
    }

    /// What all floors leave.
    pub fn lendable(&self) -> Part {
        self.lendable
    }

    /// All processes that joined and were not forgotten.
    pub fn members(&self) -> &BTreeMap<Incarnation, Member> {
        &self.members
    }

    /// Budgets of which something is lent.
    pub fn budgets(&self) -> impl Iterator<Item = (&Budget, &BTreeMap<Incarnation, Lent>)> {
        self.lent.iter()
    }

    /// What a process holds of a budget; version 0 where that is nothing.
    pub fn held(&self, who: Incarnation, budget: &Budget) -> Lent {
        let line = self.lent.get(budget).and_then(|holders| holders.get(&who));
        line.copied().unwrap_or(Lent { part: Part::NONE, at: 0 })
    }

    /// All that a process holds.
    pub fn all_held(&self, who: Incarnation) -> impl Iterator<Item = (&Budget, Lent)> {
        self.lent.iter().filter_map(move |(budget, holders)| Some((budget, *holders.get(&who)?)))
    }

    /// What is lent of a budget in all.
    pub fn lent(&self, budget: &Budget) -> Part {
        self.lent.get(budget).map_or(Part::NONE, |holders| holders.values().map(|l| l.part).sum())
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
                self.joined += 1;
                let member = Member { host: *host, nonce: *nonce };
                self.members.insert(Incarnation(self.joined), member);
                true
            }
            Change::Lend { to, budget, part, after } => {
                let held = self.held(*to, budget);
                let all = self.lent(budget).minus(held.part).plus(*part);
                // Danger: whatever a leader thought, more than the whole is never written down as lent.
                if !self.members.contains_key(to) || held.at != *after || all > self.lendable {
                    return false;
                }
                self.versions += 1;
                let holders = self.lent.entry(budget.clone()).or_default();
                if *part == Part::NONE {
                    holders.remove(to);
                } else {
                    holders.insert(*to, Lent { part: *part, at: self.versions });
                }
                self.tidy();
                true
            }
            Change::Forget { who } => {
                let known = self.members.remove(who).is_some();
                for holders in self.lent.values_mut() {
                    holders.remove(who);
                }
                self.tidy();
                known
            }
        }
    }

    fn tidy(&mut self) {
        self.lent.retain(|_, holders| !holders.is_empty());
    }
}
