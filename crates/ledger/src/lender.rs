//! The leader's side of leases: when each is over, and what should be lent to whom.

use crate::book::{Book, Change};
use crate::divide::{divide, Claim};
use crate::message::{Ask, Grant, Want};
use crate::part::{Budget, Incarnation, Part};
use crate::Times;
use std::collections::{BTreeMap, BTreeSet};

/// What the leader keeps of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// No clock of its holder calls the lease valid from here on.
    pub over_at: f64,
    /// Its last ask, by number and time.
    pub seq: u64,
    /// When that came.
    pub heard_at: f64,
    /// What it said.
    wants: BTreeMap<Budget, Want>,
    /// Since when it has had some of a budget, or has been waiting.
    since: BTreeMap<Budget, f64>,
    /// It is to be forgotten: it gets no more answers.
    ending: bool,
}

impl Account {
    fn new(over_at: f64) -> Account {
        Account {
            over_at,
            seq: 0,
            heard_at: f64::NEG_INFINITY,
            wants: BTreeMap::new(),
            since: BTreeMap::new(),
            ending: false,
        }
    }
}

/// Keeps accounts for one time of leading. Nothing of it outlives that.
#[derive(Clone, Debug)]
pub struct Lender {
    times: Times,
    accounts: BTreeMap<Incarnation, Account>,
    targets: BTreeMap<Budget, BTreeMap<Incarnation, Part>>,
    /// Budgets to be divided anew.
    stirred: BTreeSet<Budget>,
}

/// Budgets of one ask at the most; further ones are not looked at.
const MOST_WANTS: usize = 4_096;

impl Lender {
    /// One that leads from now. Danger: it does not know when leases of earlier leaders were answered; all of them
    /// may have been answered a moment before it was elected.
    pub fn new(times: Times, book: &Book, now: f64) -> Lender {
        let account = |who: &Incarnation| (*who, Account::new(now + times.lent_ms()));
        let accounts = book.members().keys().map(account).collect();
        let stirred = book.budgets().map(|(b, _)| b.clone()).collect();
        Lender { times, accounts, targets: BTreeMap::new(), stirred }
    }

    /// Accounts by process.
    pub fn accounts(&self) -> &BTreeMap<Incarnation, Account> {
        &self.accounts
    }

    /// Takes an ask of a process in the book. False: it is not to be answered with a lease.
    pub fn ask(&mut self, now: f64, who: Incarnation, ask: &Ask) -> bool {
        let over_at = now + self.times.lent_ms();
        let account = self.accounts.entry(who).or_insert_with(|| Account::new(over_at));
        // Danger: an old ask that comes late says what was true once.
        if account.ending || ask.seq <= account.seq {
            return false;
        }
        (account.seq, account.heard_at) = (ask.seq, now);
        if ask.leaving {
            account.ending = true;
            return false;
        }
        let wants: BTreeMap<Budget, Want> =
            ask.wants.iter().take(MOST_WANTS).map(|w| (w.budget.clone(), w.clone())).collect();
        self.stirred.extend(account.wants.keys().chain(wants.keys()).cloned());
        account.since.retain(|b, _| wants.contains_key(b));
        account.wants = wants;
        true
    }

    /// An answer with a lease goes out to a process now.
    pub fn answered(&mut self, now: f64, who: Incarnation) {
        if let Some(account) = self.accounts.get_mut(&who) {
            account.over_at = now + self.times.lent_ms();
        }
    }

    /// Whether a process may be answered.
    pub fn is_open(&self, who: Incarnation) -> bool {
        self.accounts.get(&who).is_some_and(|a| !a.ending)
    }

    /// When the next lease is over.
    pub fn next_due(&self) -> f64 {
        self.accounts.values().map(|a| a.over_at).fold(f64::INFINITY, f64::min)
    }

    /// What should change in the book now. Called only while no earlier change waits to be agreed on.
    pub fn settle(&mut self, now: f64, book: &Book) -> Vec<Change> {
        let mut changes = Vec::new();
        for who in book.members().keys() {
            // One that joined and was not heard again has to be forgotten some time.
            self.accounts.entry(*who).or_insert_with(|| Account::new(now + self.times.lent_ms()));
        }
        for (who, account) in &mut self.accounts {
            if account.ending || now > account.over_at {
                // From here on it gets no answer: one given now would renew what is about to be struck out.
                account.ending = true;
                if book.members().contains_key(who) {
                    changes.push(Change::Forget { who: *who });
                    self.stirred.extend(book.all_held(*who).map(|(b, _)| b.clone()));
                }
            }
        }
        self.accounts.retain(|who, a| !a.ending || book.members().contains_key(who));
        // What they hold is free once that is agreed on.
        if changes.is_empty() {
            for budget in std::mem::take(&mut self.stirred) {
                self.share_out(now, book, &budget, &mut changes);
            }
        }
        changes
    }

    fn share_out(&mut self, now: f64, book: &Book, budget: &Budget, changes: &mut Vec<Change>) {
        let mut claims = Vec::new();
        for (who, account) in &mut self.accounts {
            let held = book.held(*who, budget).part;
            let want = account.wants.get(budget);
            if held == Part::NONE && want.is_none() {
                continue;
            }
            let since_ms = *account.since.entry(budget.clone()).or_insert(now);
            let (demand, least) = want.map_or((Part::NONE, Part::NONE), |w| (w.demand, w.least));
            let turn_ms = want.map_or(0.0, |w| f64::from(w.turn_ms));
            claims.push(Claim { who: *who, demand, least, turn_ms, held, since_ms });
        }
        let targets = divide(book.lendable(), &claims, now);
        let mut raised = BTreeSet::new();
        let mut free = book.lendable().minus(book.lent(budget));
        // Those who lack most in proportion come first; what others still hold follows when they have come down.
        let lacks = |i: &usize| claims[*i].held.0 as f64 / targets[*i].0.max(1) as f64;
        let mut up: Vec<usize> = (0..claims.len()).filter(|i| targets[*i] > claims[*i].held).collect();
        up.sort_by(|a, b| lacks(a).total_cmp(&lacks(b)));
        for i in up {
            let (claim, lent) = (&claims[i], book.held(claims[i].who, budget));
            let part = targets[i].min(lent.part.plus(free));
            // Less than holds a request would lie unused.
            if part > lent.part && part >= claim.least.min(targets[i]) {
                free = free.minus(part.minus(lent.part));
                changes.push(lend(claim.who, budget, part, lent.at));
                self.note_turn(now, claim, budget, part);
                raised.insert(claim.who);
            }
        }
        for (claim, target) in claims.iter().zip(&targets).filter(|(c, _)| !raised.contains(&c.who)) {
            let (lent, using) = (book.held(claim.who, budget), self.using(claim.who, budget, book));
            // What it came down from may be of use to it again by now. Under the version that it has it can't go up; a
            // line of a new version, with no more in it than before, lets it.
            let part = using.max(*target).min(lent.part);
            if using < lent.part {
                changes.push(lend(claim.who, budget, part, lent.at));
                self.note_turn(now, claim, budget, part);
            }
        }
        self.targets.insert(budget.clone(), claims.iter().map(|c| c.who).zip(targets).collect());
        if claims.is_empty() {
            self.targets.remove(budget);
        }
    }

    /// A turn begins where a process gets some and had none, or has none any more.
    fn note_turn(&mut self, now: f64, claim: &Claim, budget: &Budget, part: Part) {
        if (claim.held == Part::NONE) != (part == Part::NONE) {
            if let Some(account) = self.accounts.get_mut(&claim.who) {
                account.since.insert(budget.clone(), now);
            }
        }
    }

    /// No more than this is in use, by the holder's own word under the very version that the book has.
    fn using(&self, who: Incarnation, budget: &Budget, book: &Book) -> Part {
        let lent = book.held(who, budget);
        let want = self.accounts.get(&who).and_then(|a| a.wants.get(budget));
        // Danger: a word given under an earlier grant says nothing of what was lent since.
        want.filter(|w| w.at == lent.at).map_or(lent.part, |w| w.using.min(lent.part))
    }

    /// What a process is to be told.
    pub fn grants(&self, who: Incarnation, book: &Book) -> Vec<Grant> {
        let target = |budget: &Budget| self.targets.get(budget).and_then(|t| t.get(&who)).copied();
        let grant = |(budget, lent): (&Budget, crate::Lent)| Grant {
            budget: budget.clone(),
            part: lent.part,
            at: lent.at,
            target: target(budget).map_or(lent.part, |t| t.min(lent.part)),
        };
        book.all_held(who).map(grant).collect()
    }
}

fn lend(to: Incarnation, budget: &Budget, part: Part, after: u64) -> Change {
    Change::Lend { to, budget: budget.clone(), part, after }
}
