//! A voter: its part in the agreement, the agreed state, and while it leads the lending.

use crate::book::Book;
use crate::lender::Lender;
use crate::message::{Answer, Ask, Refusal, Said};
use crate::part::{HostNumber, Incarnation};
use crate::raft::{Image, Output, Raft, RaftMessage};
use crate::{Change, Times};

/// Entries after which the log is cut and the state written in their place, where nothing else is said.
const COMPACT_AFTER: u64 = 2_048;
/// The least time between two divisions, milliseconds: what is asked within is divided together.
const GATHER_MS: f64 = 20.0;

/// Asks of one process that wait for an answer at the most.
const MOST_PENDING: usize = 4;

/// What is to be written, then said to voters and to those who asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready<T> {
    /// For the other voters, with what has to be on disk before.
    pub raft: Output,
    /// For those who asked, by the token of their ask.
    pub answers: Vec<(T, Answer)>,
}

/// How a voter stands, for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterState {
    /// The term.
    pub term: u64,
    /// Who leads.
    pub leader: Option<HostNumber>,
    /// All up to here is agreed.
    pub commit: u64,
    /// The last entry that it has.
    pub last: u64,
}

#[derive(Clone, Debug)]
struct Pending<T> {
    token: T,
    ask: Ask,
    /// The word of the leader that a majority has to have heard: sent after the ask came.
    beat: u64,
    /// Entries that have to be applied before: what this ask led to is in its answer.
    index: u64,
}

#[derive(Clone, Debug)]
struct Leading<T> {
    lender: Lender,
    pending: Vec<Pending<T>>,
    /// The last proposal; no other is made before it is applied.
    proposed: u64,
    divide_at: f64,
    /// Asks came that no division has looked at.
    asked: bool,
}

/// One voter. `T` names asks.
#[derive(Clone, Debug)]
pub struct Voter<T> {
    raft: Raft,
    times: Times,
    book: Book,
    applied: u64,
    leading: Option<Leading<T>>,
    answers: Vec<(T, Answer)>,
    compact_after: u64,
}

impl<T: Clone> Voter<T> {
    /// A voter that goes on from what it has on disk. `image.book` of a new one is an empty [`Book::new`].
    pub fn new(
        me: HostNumber,
        voters: &[HostNumber],
        times: Times,
        seed: u64,
        image: Image,
        now: f64,
    ) -> Voter<T> {
        let (book, applied) = (image.book.clone(), image.base.0);
        let raft = Raft::new(me, voters, times, seed, image, now);
        let answers = Vec::new();
        Voter { raft, times, book, applied, leading: None, answers, compact_after: COMPACT_AFTER }
    }

    /// The same, whose log is cut after so many entries.
    pub fn compacting_after(self, entries: u64) -> Voter<T> {
        Voter { compact_after: entries, ..self }
    }

    /// The agreed state, as far as this voter knows it.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// What the agreement stands at.
    pub fn raft(&self) -> &Raft {
        &self.raft
    }

    /// The accounts, while it leads and knows all that was agreed.
    pub fn lender(&self) -> Option<&Lender> {
        self.leading.as_ref().map(|l| &l.lender)
    }

    /// How it stands.
    pub fn state(&self) -> VoterState {
        VoterState {
            term: self.raft.term(),
            leader: self.raft.leader(),
            commit: self.raft.commit(),
            last: self.raft.log().last(),
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> f64 {
        // While a proposal waits to be agreed on, words of others move things on, and no clock does.
        let idle = self.leading.as_ref().filter(|l| l.proposed <= self.applied);
        let divide = idle.map_or(f64::INFINITY, |l| {
            let next = if l.asked { l.divide_at } else { f64::INFINITY };
            next.min((l.lender.next_due() + 1.0).max(l.divide_at))
        });
        self.raft.next_due().min(divide)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        self.raft.tick(now);
        self.follow_up(now);
    }

    /// Takes a message of another voter.
    pub fn message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        self.raft.message(now, from, message);
        self.follow_up(now);
    }

    /// Takes an ask. It is answered at once, or once this voter is sure that it still leads.
    pub fn ask(&mut self, now: f64, token: T, ask: Ask) {
        let Some(leading) = &mut self.leading else {
            let leader = self.raft.leader().filter(|_| !self.raft.leads());
            return self.refuse(token, &ask, Refusal::NotLeader(leader));
        };
        // Danger: were each ask to take the place of the one before, a slow disk would leave all without an answer.
        if leading.pending.iter().filter(|p| p.ask.nonce == ask.nonce).count() >= MOST_PENDING {
            if let Some(oldest) = leading.pending.iter().position(|p| p.ask.nonce == ask.nonce) {
                leading.pending.remove(oldest);
            }
        }
        leading.pending.push(Pending { token, ask, beat: u64::MAX, index: u64::MAX });
        leading.asked = true;
        self.follow_up(now);
    }

    fn refuse(&mut self, token: T, ask: &Ask, refusal: Refusal) {
        let said = Said::Refused(refusal);
        self.answers.push((token, Answer { nonce: ask.nonce, seq: ask.seq, said }));
    }

    /// What was taken before is on disk.
    pub fn persisted(&mut self, now: f64) {
        self.raft.persisted();
        self.follow_up(now);
    }

    /// Takes what there is to write and to say.
    pub fn take(&mut self) -> Ready<T> {
        Ready { raft: self.raft.take(), answers: std::mem::take(&mut self.answers) }
    }

    fn follow_up(&mut self, now: f64) {
        self.apply();
        self.lead(now);
        self.answer_confirmed(now);
    }

    fn apply(&mut self) {
        if self.raft.log().base().0 > self.applied {
            // A leader sent the state in place of entries that it no longer has.
            (self.book, self.applied) = (self.raft.base().clone(), self.raft.log().base().0);
        }
        while self.applied < self.raft.commit() {
            let Some(entry) = self.raft.log().get(self.applied + 1) else { break };
            for change in &entry.changes {
                self.book.apply(change);
            }
            self.applied += 1;
        }
        if self.applied - self.raft.log().base().0 > self.compact_after {
            self.raft.compact(self.applied, &self.book);
        }
    }

    /// Begins or ends to lend, and divides when it is time.
    fn lead(&mut self, now: f64) {
        if !self.raft.settled() {
            let Some(leading) = self.leading.take() else { return };
            let leader = self.raft.leader().filter(|_| !self.raft.leads());
            for p in leading.pending {
                self.refuse(p.token, &p.ask, Refusal::NotLeader(leader));
            }
            return;
        }
        if self.leading.is_none() {
            self.leading = Some(Leading {
                lender: Lender::new(self.times, &self.book, now),
                pending: Vec::new(),
                proposed: 0,
                divide_at: now,
                asked: false,
            });
        }
        let Some(l) = &mut self.leading else { return };
        let due = l.asked || now > l.lender.next_due();
        if !due || now < l.divide_at || l.proposed > self.applied {
            return;
        }
        (l.divide_at, l.asked) = (now + GATHER_MS, false);
        let mut joins = Vec::new();
        let mut refused = Vec::new();
        for p in l.pending.iter_mut().filter(|p| p.beat == u64::MAX) {
            let found = p.ask.incarnation.or(self.book.incarnation(p.ask.host, p.ask.nonce));
            match admit(&self.book, &p.ask, found) {
                Admitted::Yes(who) => {
                    if !l.lender.ask(now, who, &p.ask) {
                        refused.push((p.ask.nonce, p.ask.seq, None));
                    }
                }
                Admitted::Join => {
                    joins.push(Change::Join { host: p.ask.host, nonce: p.ask.nonce });
                }
                Admitted::No(refusal) => refused.push((p.ask.nonce, p.ask.seq, Some(refusal))),
            }
        }
        let mut changes = joins;
        changes.extend(l.lender.settle(now, &self.book));
        let proposes = !changes.is_empty();
        if proposes {
            l.proposed = self.raft.propose(changes).unwrap_or(0);
        }
        // One word to all: it carries the entries, and makes sure that it still leads.
        let beat = self.raft.beat(now);
        let fresh = l.pending.iter_mut().filter(|p| p.beat == u64::MAX);
        fresh.for_each(|p| (p.beat, p.index) = (beat, if proposes { l.proposed } else { 0 }));
        let mut turned_away = Vec::new();
        for (nonce, seq, refusal) in refused {
            // Danger: a process may have several asks here; the one that was refused goes, and no other.
            if let Some(at) = l.pending.iter().position(|p| (p.ask.nonce, p.ask.seq) == (nonce, seq)) {
                turned_away.push((l.pending.swap_remove(at), refusal));
            }
        }
        for (p, refusal) in turned_away {
            if let Some(refusal) = refusal {
                self.refuse(p.token, &p.ask, refusal);
            }
        }
    }

    fn answer_confirmed(&mut self, now: f64) {
        let confirmed = self.raft.confirmed();
        let Some(l) = &mut self.leading else { return };
        let applied = self.applied;
        let ripe = |p: &Pending<T>| p.beat <= confirmed && p.index <= applied;
        let (ripe, rest) = std::mem::take(&mut l.pending).into_iter().partition(ripe);
        l.pending = rest;
        for p in ripe {
            let found = p.ask.incarnation.or(self.book.incarnation(p.ask.host, p.ask.nonce));
            let said = match admit(&self.book, &p.ask, found) {
                Admitted::Yes(who) => {
                    // One that has just joined is asked for no more than its name in its first answer.
                    if !l.lender.accounts().contains_key(&who) {
                        l.lender.ask(now, who, &p.ask);
                        l.asked = true;
                    }
                    if !l.lender.is_open(who) {
                        continue;
                    }
                    l.lender.answered(now, who);
                    Said::Lease { incarnation: who, grants: l.lender.grants(who, &self.book) }
                }
                Admitted::Join => Said::Refused(Refusal::Unknown),
                Admitted::No(refusal) => Said::Refused(refusal),
            };
            self.answers.push((p.token, Answer { nonce: p.ask.nonce, seq: p.ask.seq, said }));
        }
    }
}

enum Admitted {
    Yes(Incarnation),
    Join,
    No(Refusal),
}

/// Who an ask is from, by the book.
fn admit(book: &Book, ask: &Ask, found: Option<Incarnation>) -> Admitted {
    let Some(who) = found else { return Admitted::Join };
    let sane = book.members().get(&who).is_some_and(|m| m.host == ask.host && m.nonce == ask.nonce);
    if !sane {
        return Admitted::No(Refusal::Unknown);
    }
    // The older of two processes under one name gives way: the later one came after it, and perhaps instead of it.
    if book.latest(ask.host) != Some(who) {
        return Admitted::No(Refusal::Superseded);
    }
    Admitted::Yes(who)
}
