//! A host's side of leases: what it may use now, and what it tells the ledger.

use crate::message::{Answer, Ask, Refusal, Said, Want};
use crate::part::{Budget, HostNumber, Incarnation, Part};
use crate::Times;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

/// What a host may use of a budget beyond its floor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// How much.
    pub part: Part,
    /// Nothing of it from this moment on, by the holder's clock.
    pub until_ms: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Line {
    demand: Part,
    least: Part,
    turn_ms: u32,
    /// What it may use by the last grant, and what it came down to since.
    part: Part,
    at: u64,
    /// What whoever uses the part has confirmed, and may be declared.
    confirmed: Option<(Part, u64)>,
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
    lines: BTreeMap<Budget, Line>,
    seq: u64,
    /// When asks were sent that have no answer yet.
    asked: VecDeque<(u64, f64)>,
    answered: u64,
    until: f64,
    superseded: bool,
    leaving: bool,
}

/// Asks without an answer that are remembered; answers to older ones come too late in any case.
const MOST_ASKED: usize = 64;

impl Holder {
    /// A process that joins under a number that it drew and no other has.
    pub fn new(host: HostNumber, nonce: u64, times: Times) -> Holder {
        Holder {
            host,
            nonce,
            times,
            incarnation: None,
            lines: BTreeMap::new(),
            seq: 0,
            asked: VecDeque::new(),
            answered: 0,
            until: f64::NEG_INFINITY,
            superseded: false,
            leaving: false,
        }
    }

    /// How it stands.
    pub fn state(&self) -> HolderState {
        HolderState { incarnation: self.incarnation, until_ms: self.until, superseded: self.superseded }
    }

    /// What is asked of a budget by this host's clients: as a part of the whole, the least part that is of use, and for
    /// how long it has to be had for that, milliseconds.
    pub fn want(&mut self, budget: &Budget, demand: Part, least: Part, turn_ms: u32) {
        let line = self.lines.entry(budget.clone()).or_default();
        (line.demand, line.least, line.turn_ms) = (demand, least, turn_ms);
    }

    /// What may be used of a budget beyond the floor, and until when.
    pub fn held(&self, budget: &Budget) -> Held {
        let part = self.lines.get(budget).map_or(Part::NONE, |l| l.part);
        Held { part, until_ms: self.until }
    }

    /// All that may be used, beyond floors.
    pub fn all_held(&self) -> impl Iterator<Item = (&Budget, Held)> {
        self.lines.iter().map(|(b, l)| (b, Held { part: l.part, until_ms: self.until }))
    }

    /// Whoever uses the parts says that it goes by these now: only this can be declared to the ledger.
    ///
    /// Danger: a part that was told down, but not yet heard of by whoever sends, would be lent to another host.
    pub fn confirm(&mut self, budget: &Budget, part: Part, at: u64) {
        if let Some(line) = self.lines.get_mut(budget).filter(|l| (l.part, l.at) == (part, at)) {
            line.confirmed = Some((part, at));
        }
    }

    /// What has to be used from now on and was not confirmed yet: budget, part, version.
    pub fn unconfirmed(&self) -> Vec<(Budget, Part, u64)> {
        let differs = |l: &&Line| l.confirmed != Some((l.part, l.at));
        let lines = self.lines.iter().filter(|(_, l)| differs(l));
        lines.map(|(b, l)| (b.clone(), l.part, l.at)).collect()
    }

    /// It goes: from now on it asks for nothing, and uses nothing beyond its floors.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.drop_lease();
    }

    fn drop_lease(&mut self) {
        self.until = f64::NEG_INFINITY;
        self.lines.values_mut().for_each(|l| (l.part, l.at) = (Part::NONE, 0));
    }

    /// Whether it has something to ask for. A process whose name a later one has asks no more: the two would take the
    /// name from each other without end.
    pub fn asks(&self) -> bool {
        !self.superseded
    }

    /// The next ask, sent now. Danger: the lease counts from here, before the ask goes out; a process that stands still
    /// between sending and hearing the answer has used that time up.
    pub fn ask(&mut self, now: f64) -> Ask {
        self.seq += 1;
        self.asked.push_back((self.seq, now));
        if self.asked.len() > MOST_ASKED {
            self.asked.pop_front();
        }
        let want = |(budget, l): (&Budget, &Line)| {
            // What was confirmed under the present version, or nothing said: under version 0 the book has nothing.
            let (using, at) = l.confirmed.filter(|c| c.1 == l.at).unwrap_or((l.part, 0));
            Want { budget: budget.clone(), demand: l.demand, least: l.least, turn_ms: l.turn_ms, using, at }
        };
        Ask {
            host: self.host,
            nonce: self.nonce,
            incarnation: self.incarnation,
            seq: self.seq,
            leaving: self.leaving,
            wants: self.lines.iter().map(want).collect(),
        }
    }

    /// Takes an answer. True where something is to be confirmed.
    pub fn answer(&mut self, now: f64, answer: &Answer) -> bool {
        let Some(asked) = self.asked.iter().find(|(seq, _)| *seq == answer.seq).map(|(_, at)| *at) else {
            return false;
        };
        // Danger: an answer that was overtaken tells of a book that has changed since.
        if answer.nonce != self.nonce || answer.seq <= self.answered || self.leaving {
            return false;
        }
        match &answer.said {
            Said::Lease { incarnation, grants } => {
                self.answered = answer.seq;
                self.asked.retain(|(seq, _)| *seq > answer.seq);
                if self.incarnation != Some(*incarnation) {
                    self.drop_lease();
                    self.incarnation = Some(*incarnation);
                }
                self.until = self.until.max(asked + self.times.lease_ms);
                for (budget, line) in &mut self.lines {
                    if !grants.iter().any(|g| g.budget == *budget) {
                        // Struck out, by its own word.
                        (line.part, line.at) = (Part::NONE, 0);
                    }
                }
                for g in grants {
                    // What was granted and is not wanted has a line too: it is given back with the next ask.
                    let line = self.lines.entry(g.budget.clone()).or_default();
                    let wanted = line.demand > Part::NONE || line.part > Part::NONE;
                    match g.at.cmp(&line.at) {
                        Ordering::Greater if wanted => (line.part, line.at) = (g.part.min(g.target), g.at),
                        Ordering::Greater => (line.part, line.at) = (Part::NONE, g.at),
                        // Danger: under one version a part only comes down; what was declared once is never exceeded.
                        Ordering::Equal => line.part = line.part.min(g.target),
                        Ordering::Less => {}
                    }
                }
                now < self.until
            }
            Said::Refused(Refusal::Unknown) => {
                // Its lease is over for the lender, and so it is here: the lender waited longer.
                self.incarnation = None;
                self.drop_lease();
                true
            }
            Said::Refused(Refusal::Superseded) => {
                self.superseded = true;
                self.drop_lease();
                true
            }
            Said::Refused(Refusal::NotLeader(_)) => false,
        }
    }
}
