//! Agreement on the log (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", with the pre-vote
//! and the check of a leader's majority of Ongaro's dissertation, sections 9.6 and 6.2).
//!
//! The voters are fixed by the settings. Nothing is sent before what it promises is on disk: [`Raft::take`] gives
//! records and messages together, the caller writes the records, says so ([`Raft::persisted`]) and only then sends.

use crate::book::Book;
use crate::log::{Entry, Log};
use crate::part::HostNumber;
use crate::random::Random;
use crate::Times;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Entries sent in one message at the most.
const AT_ONCE: usize = 64;

/// A message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender's term; of a pre-vote, the one that it would begin.
    pub term: u64,
    /// What it says.
    pub what: RaftWhat,
}

/// What a voter says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftWhat {
    /// Would you vote for me? It changes nothing at either end.
    PreVote {
        /// My last entry.
        last: u64,
        /// Its term.
        last_term: u64,
    },
    /// Whether I would.
    PreVoted(bool),
    /// Vote for me.
    Vote {
        /// My last entry.
        last: u64,
        /// Its term.
        last_term: u64,
    },
    /// Whether I did, for good in this term.
    Voted(bool),
    /// I lead; entries follow on one that you should have.
    Append {
        /// The entry before the first of `entries`.
        previous: u64,
        /// Its term.
        previous_term: u64,
        /// What follows.
        entries: Vec<Entry>,
        /// All up to here is agreed.
        commit: u64,
        /// Counts the leader's words in its term.
        beat: u64,
    },
    /// I lead, and you lack what my log no longer has.
    Install {
        /// All up to here is in `book`.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// The state.
        book: Book,
        /// Counts the leader's words in its term.
        beat: u64,
    },
    /// To `Append` and `Install`: I have what you have, on disk, up to here; or not, then try from there.
    Appended {
        /// Whether the entry before was there.
        fits: bool,
        /// The last entry that is the same at both, or where to try next.
        index: u64,
        /// The beat that this answers.
        beat: u64,
    },
}

/// What has to be on disk before any message of the same [`Output`] goes out, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Term and vote.
    Promise {
        /// The term.
        term: u64,
        /// For whom.
        voted: Option<HostNumber>,
    },
    /// An entry; whatever the log had there and after is dropped.
    Entry {
        /// Its index.
        index: u64,
        /// What it is.
        entry: Entry,
    },
}

/// All that a voter has on disk, as one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Image {
    /// The term.
    pub term: u64,
    /// For whom it voted in it.
    pub voted: Option<HostNumber>,
    /// Index and term up to which `book` holds all.
    pub base: (u64, u64),
    /// The state at the base.
    pub book: Book,
    /// Entries after the base.
    pub entries: Vec<Entry>,
}

impl Image {
    /// Adds a record that was written after the image; false where it does not follow on what is there.
    pub fn add(&mut self, record: Record) -> bool {
        match record {
            Record::Promise { term, voted } => {
                let sane = term >= self.term;
                if sane {
                    (self.term, self.voted) = (term, voted);
                }
                sane
            }
            Record::Entry { index, entry } => {
                let at = index.checked_sub(self.base.0 + 1).and_then(|at| usize::try_from(at).ok());
                let Some(at) = at.filter(|at| *at <= self.entries.len()) else { return false };
                self.entries.truncate(at);
                self.entries.push(entry);
                true
            }
        }
    }
}

/// What is to be written, then said.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Write these, or where `rewrite` is set the whole image instead, and see to it that they are on disk.
    pub records: Vec<Record>,
    /// The log was cut short in front or replaced: write [`Raft::image`] anew in place of all that was written.
    pub rewrite: bool,
    /// Then send these.
    pub messages: Vec<(HostNumber, RaftMessage)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Peer {
    next: u64,
    matched: u64,
    beat: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct Leading {
    peers: BTreeMap<HostNumber, Peer>,
    heard: BTreeMap<HostNumber, f64>,
    beat: u64,
    beat_at: f64,
    /// Its own first entry: what is agreed from here on is known to be.
    first: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Follower { leader: Option<HostNumber> },
    Asking { pre: bool, votes: BTreeSet<HostNumber> },
    Leader(Leading),
}

/// One voter's part in the agreement.
#[derive(Clone, Debug)]
pub struct Raft {
    me: HostNumber,
    others: Vec<HostNumber>,
    times: Times,
    random: Random,
    term: u64,
    voted: Option<HostNumber>,
    log: Log,
    /// The state at the base of the log.
    base: Book,
    commit: u64,
    /// What is on disk of the log.
    durable: u64,
    role: Role,
    election_at: f64,
    /// When a leader was last heard.
    led_at: f64,
    out: Output,
}

impl Raft {
    /// A voter that goes on from what it has on disk. It takes no part for one election time: a leader that lives
    /// is heard by then.
    pub fn new(
        me: HostNumber,
        voters: &[HostNumber],
        times: Times,
        seed: u64,
        image: Image,
        now: f64,
    ) -> Raft {
        let log = Log::after(image.base.0, image.base.1, image.entries);
        let mut raft = Raft {
            me,
            others: voters.iter().copied().filter(|v| *v != me).collect(),
            times,
            random: Random(seed),
            term: image.term,
            voted: image.voted,
            commit: image.base.0,
            durable: log.last(),
            log,
            base: image.book,
            role: Role::Follower { leader: None },
            election_at: 0.0,
            led_at: f64::NEG_INFINITY,
            out: Output::default(),
        };
        raft.put_off(now);
        raft
    }

    /// All that has to be on disk, as one.
    pub fn image(&self) -> Image {
        let entries = self.log.from(self.log.base().0 + 1, usize::MAX).to_vec();
        Image { term: self.term, voted: self.voted, base: self.log.base(), book: self.base.clone(), entries }
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// All up to here is agreed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The state at the base of the log.
    pub fn base(&self) -> &Book {
        &self.base
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<HostNumber> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Asking { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and its first entry is agreed: the log up to there is all that was ever agreed.
    pub fn settled(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if self.commit >= l.first)
    }

    /// Voters that are needed for a decision.
    fn majority(&self) -> usize {
        self.others.len().div_ceil(2) + 1
    }

    fn put_off(&mut self, now: f64) {
        self.election_at = now + self.times.election_ms * (1.0 + self.random.next());
    }

    /// When something is due next.
    pub fn next_due(&self) -> f64 {
        match &self.role {
            Role::Leader(l) => l.beat_at + self.times.beat_ms,
            _ => self.election_at,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        if now < self.next_due() {
            return;
        }
        let election_ms = self.times.election_ms;
        match &self.role {
            Role::Leader(l) => {
                let heard = l.heard.values().filter(|at| now - **at <= 2.0 * election_ms).count();
                if heard + 1 < self.majority() {
                    // Nobody hears it: another may lead by now.
                    self.follow(now, self.term, None);
                } else {
                    self.beat(now);
                }
            }
            _ => self.ask_votes(now, true),
        }
    }

    /// Asks for votes: first whether it would get them, so that one which was cut off does not unseat a leader.
    fn ask_votes(&mut self, now: f64, pre: bool) {
        self.put_off(now);
        if !pre {
            self.promise(self.term + 1, Some(self.me));
        }
        self.role = Role::Asking { pre, votes: BTreeSet::from([self.me]) };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let (term, what) = if pre {
            (self.term + 1, RaftWhat::PreVote { last, last_term })
        } else {
            (self.term, RaftWhat::Vote { last, last_term })
        };
        for to in self.others.clone() {
            self.say(to, term, what.clone());
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: f64) {
        let Role::Asking { pre, votes } = &self.role else { return };
        if votes.len() < self.majority() {
            return;
        }
        if *pre {
            return self.ask_votes(now, false);
        }
        let peer = Peer { next: self.log.last() + 1, matched: 0, beat: 0 };
        let peers = self.others.iter().map(|v| (*v, peer.clone())).collect();
        let heard = self.others.iter().map(|v| (*v, now)).collect();
        let first = self.log.last() + 1;
        self.role = Role::Leader(Leading { peers, heard, beat: 0, beat_at: now, first });
        // What earlier terms left is agreed with the first entry of this one, and not before.
        self.append(Vec::new());
        self.beat(now);
    }

    /// Tells all followers that it leads, with what they lack; the number of this word.
    pub fn beat(&mut self, now: f64) -> u64 {
        let Role::Leader(l) = &mut self.role else { return 0 };
        l.beat += 1;
        l.beat_at = now;
        let (beat, peers) = (l.beat, l.peers.clone());
        for (to, peer) in peers {
            self.send_log(to, peer.next, beat);
        }
        beat
    }

    /// The last word that a majority is known to have heard in this term.
    pub fn confirmed(&self) -> u64 {
        let Role::Leader(l) = &self.role else { return 0 };
        let mut beats: Vec<u64> = l.peers.values().map(|p| p.beat).chain([l.beat]).collect();
        beats.sort_unstable();
        beats[beats.len() - self.majority()]
    }

    fn send_log(&mut self, to: HostNumber, next: u64, beat: u64) {
        let (base, base_term) = self.log.base();
        let what = match self.log.term(next.saturating_sub(1)) {
            Some(previous_term) if next > base => {
                let entries = self.log.from(next, AT_ONCE).to_vec();
                RaftWhat::Append { previous: next - 1, previous_term, entries, commit: self.commit, beat }
            }
            _ => RaftWhat::Install { index: base, index_term: base_term, book: self.base.clone(), beat },
        };
        self.say(to, self.term, what);
    }

    fn say(&mut self, to: HostNumber, term: u64, what: RaftWhat) {
        self.out.messages.push((to, RaftMessage { term, what }));
    }

    fn promise(&mut self, term: u64, voted: Option<HostNumber>) {
        if (self.term, self.voted) != (term, voted) {
            (self.term, self.voted) = (term, voted);
            self.out.records.push(Record::Promise { term, voted });
        }
    }

    fn append(&mut self, changes: Vec<crate::Change>) -> u64 {
        let entry = Entry { term: self.term, changes };
        let index = self.log.push(entry.clone());
        self.out.records.push(Record::Entry { index, entry });
        index
    }

    /// Proposes an entry; its index, or none where another leads. It goes out with the next beat.
    pub fn propose(&mut self, changes: Vec<crate::Change>) -> Option<u64> {
        self.leads().then(|| self.append(changes))
    }

    fn follow(&mut self, now: f64, term: u64, leader: Option<HostNumber>) {
        let voted = if term > self.term { None } else { self.voted };
        self.promise(term, voted);
        self.role = Role::Follower { leader };
        self.put_off(now);
    }

    /// Takes what there is to write and to say.
    pub fn take(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// All records taken so far are on disk.
    pub fn persisted(&mut self) {
        self.durable = self.log.last();
        self.advance();
    }

    /// A state that holds all up to an agreed index takes the place of the entries up to there.
    pub fn compact(&mut self, index: u64, book: &Book) {
        if index > self.log.base().0 && index <= self.commit {
            self.log.compact(index);
            self.base = book.clone();
            self.out.rewrite = true;
        }
    }

    /// Takes a message of another voter. Those of strangers are the caller's to keep away.
    pub fn message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        let RaftMessage { term, what } = message;
        let asks = matches!(what, RaftWhat::PreVote { .. } | RaftWhat::PreVoted(_));
        if term > self.term && !asks {
            let leads = matches!(what, RaftWhat::Append { .. } | RaftWhat::Install { .. });
            self.follow(now, term, leads.then_some(from));
        }
        match what {
            RaftWhat::PreVote { last, last_term } => {
                let led = self.leads() || now - self.led_at < self.times.election_ms;
                let granted = term > self.term && !led && self.is_behind(last, last_term);
                self.say(from, if granted { term } else { self.term }, RaftWhat::PreVoted(granted));
            }
            RaftWhat::PreVoted(true) if term == self.term + 1 => self.voted_by(now, from, true),
            // Danger: one whose term fell behind, but whose log is the longest, would ask in vain for ever.
            RaftWhat::PreVoted(false) if term > self.term => self.follow(now, term, None),
            RaftWhat::PreVoted(_) => {}
            RaftWhat::Vote { last, last_term } => {
                let free = self.voted.is_none() || self.voted == Some(from);
                let granted = term == self.term && free && self.is_behind(last, last_term);
                if granted {
                    self.promise(term, Some(from));
                    self.put_off(now);
                }
                self.say(from, self.term, RaftWhat::Voted(granted));
            }
            RaftWhat::Voted(true) if term == self.term => self.voted_by(now, from, false),
            RaftWhat::Voted(_) => {}
            RaftWhat::Append { previous, previous_term, entries, commit, beat } => {
                let (fits, index) = match self.hear_leader(now, from, term) {
                    true => self.take_entries(previous, previous_term, entries, commit),
                    false => (false, self.log.last()),
                };
                self.say(from, self.term, RaftWhat::Appended { fits, index, beat });
            }
            RaftWhat::Install { index, index_term, book, beat } => {
                if self.hear_leader(now, from, term) {
                    self.install(index, index_term, book);
                    self.say(from, self.term, RaftWhat::Appended { fits: true, index, beat });
                }
            }
            RaftWhat::Appended { fits, index, beat } if term == self.term => {
                self.appended(now, from, fits, index, beat);
            }
            RaftWhat::Appended { .. } => {}
        }
    }

    /// Whether a log that ends so holds all that may have been agreed on here.
    fn is_behind(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn voted_by(&mut self, now: f64, from: HostNumber, of_pre: bool) {
        if !self.others.contains(&from) {
            return;
        }
        if let Role::Asking { pre, votes } = &mut self.role {
            if *pre == of_pre {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    /// Whether the sender leads in the present term.
    fn hear_leader(&mut self, now: f64, from: HostNumber, term: u64) -> bool {
        if term != self.term || self.leads() {
            return false;
        }
        self.role = Role::Follower { leader: Some(from) };
        self.led_at = now;
        self.put_off(now);
        true
    }

    /// Whether the entry before was there, and up to where the logs are the same; otherwise where to try next.
    fn take_entries(
        &mut self,
        previous: u64,
        previous_term: u64,
        entries: Vec<Entry>,
        commit: u64,
    ) -> (bool, u64) {
        let base = self.log.base().0;
        // All up to the base is agreed, and so the same.
        if previous >= base && self.log.term(previous) != Some(previous_term) {
            return (false, self.log.last().min(previous.saturating_sub(1)).max(self.commit));
        }
        let mut index = previous;
        for entry in entries {
            index += 1;
            if index <= base || self.log.term(index) == Some(entry.term) {
                continue;
            }
            if index <= self.commit {
                // No leader may say so: what was agreed stays.
                return (false, self.commit);
            }
            self.log.cut(index);
            self.durable = self.durable.min(self.log.last());
            self.log.push(entry.clone());
            self.out.records.push(Record::Entry { index, entry });
        }
        self.commit = self.commit.max(commit.min(index));
        (true, index)
    }

    fn install(&mut self, index: u64, index_term: u64, book: Book) {
        if self.log.term(index) == Some(index_term) {
            // It has all that, and perhaps entries after it that count for a majority: they stay.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.log = Log::after(index, index_term, Vec::new());
            (self.base, self.commit) = (book, index);
            self.out.rewrite = true;
        }
    }

    fn appended(&mut self, now: f64, from: HostNumber, fits: bool, index: u64, beat: u64) {
        let last = self.log.last();
        let Role::Leader(l) = &mut self.role else { return };
        let Some(peer) = l.peers.get_mut(&from) else { return };
        l.heard.insert(from, now);
        peer.beat = peer.beat.max(beat.min(l.beat));
        if fits {
            peer.matched = peer.matched.max(index.min(last));
            peer.next = peer.next.max(peer.matched + 1);
            if peer.next <= last {
                // More waits: not before the next beat would be slow for one that was away long.
                let (next, beat) = (peer.next, l.beat);
                self.send_log(from, next, beat);
            }
        } else {
            peer.next = (index + 1).min(last + 1).max(peer.matched + 1);
        }
        self.advance();
    }

    /// What a majority has on disk is agreed, once an entry of this term is.
    fn advance(&mut self) {
        let Role::Leader(l) = &self.role else { return };
        let mut matched: Vec<u64> = l.peers.values().map(|p| p.matched).chain([self.durable]).collect();
        matched.sort_unstable();
        let agreed = matched[matched.len() - self.majority()];
        if agreed > self.commit && self.log.term(agreed) == Some(self.term) {
            self.commit = agreed;
        }
    }
}
