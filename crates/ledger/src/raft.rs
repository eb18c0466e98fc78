//! Agreement on the log (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", with the pre-vote
//! and the check of a leader's majority of Ongaro's dissertation, sections 9.6 and 6.2).
//!
//! The voters are fixed by the settings. Nothing is sent before what it promises is on disk: [`Raft::take`] gives
//! records and messages together, the caller writes the records, says so ([`Raft::persisted`]) and only then sends.

use crate::budget::HostNumber;
use crate::lease_table::LeaseTable;
use crate::log::{Entry, Log};
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
    #[serde(rename = "what")]
    pub payload: RaftPayload,
}

/// What a voter says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftPayload {
    /// Would you vote for me? It changes nothing at either end.
    #[serde(rename = "pre_vote")]
    PreVoteRequest {
        /// My last entry.
        last: u64,
        /// Its term.
        last_term: u64,
    },
    /// Whether I would.
    #[serde(rename = "pre_voted")]
    PreVoteResponse(bool),
    /// Vote for me.
    #[serde(rename = "vote")]
    VoteRequest {
        /// My last entry.
        last: u64,
        /// Its term.
        last_term: u64,
    },
    /// Whether I did, for good in this term.
    #[serde(rename = "voted")]
    VoteResponse(bool),
    /// I lead; entries follow on one that you should have.
    #[serde(rename = "append")]
    AppendRequest {
        /// The entry before the first of `entries`.
        previous: u64,
        /// Its term.
        previous_term: u64,
        /// What follows.
        entries: Vec<Entry>,
        /// All up to here is agreed.
        commit: u64,
        /// Counts the leader's words in its term.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
    /// I lead, and you lack what my log no longer has.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// All up to here is in `table`.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// The state.
        #[serde(rename = "book")]
        table: LeaseTable,
        /// Counts the leader's words in its term.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
    /// To `AppendRequest` and `InstallSnapshot`: I have what you have, on disk, up to here; or not, then try from there.
    #[serde(rename = "appended")]
    AppendResponse {
        /// Whether the entry before was there.
        #[serde(rename = "fits")]
        success: bool,
        /// The last entry that is the same at both, or where to try next.
        index: u64,
        /// The beat that this answers.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
}

/// What has to be on disk before any message of the same [`Output`] goes out, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Term and vote.
    #[serde(rename = "promise")]
    HardState {
        /// The term.
        term: u64,
        /// For whom.
        #[serde(rename = "voted")]
        voted_for: Option<HostNumber>,
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
pub struct PersistentState {
    /// The term.
    pub term: u64,
    /// For whom it voted in it.
    #[serde(rename = "voted")]
    pub voted_for: Option<HostNumber>,
    /// Index and term up to which `table` holds all.
    pub base: (u64, u64),
    /// The state at the base.
    #[serde(rename = "book")]
    pub table: LeaseTable,
    /// Entries after the base.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Adds a record that was written after the image; false where it does not follow on what is there.
    pub fn add(&mut self, record: Record) -> bool {
        match record {
            Record::HardState { term, voted_for } => {
                let sane = term >= self.term;
                if sane {
                    (self.term, self.voted_for) = (term, voted_for);
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
struct Progress {
    next_index: u64,
    match_index: u64,
    heartbeat: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct LeaderState {
    peers: BTreeMap<HostNumber, Progress>,
    heard_at: BTreeMap<HostNumber, f64>,
    heartbeat: u64,
    heartbeat_at: f64,
    /// Its own first entry: what is agreed from here on is known to be.
    first: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Follower { leader: Option<HostNumber> },
    Candidate { pre_vote: bool, votes: BTreeSet<HostNumber> },
    Leader(LeaderState),
}

/// One voter's part in the agreement.
#[derive(Clone, Debug)]
pub struct Raft {
    me: HostNumber,
    others: Vec<HostNumber>,
    times: Times,
    random: Random,
    term: u64,
    voted_for: Option<HostNumber>,
    log: Log,
    /// The state at the base of the log.
    base: LeaseTable,
    commit: u64,
    /// What is on disk of the log.
    persisted_index: u64,
    role: Role,
    election_at: f64,
    /// When a leader was last heard.
    leader_heard_at: f64,
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
        image: PersistentState,
        now: f64,
    ) -> Raft {
        let log = Log::after(image.base.0, image.base.1, image.entries);
        let mut raft = Raft {
            me,
            others: voters.iter().copied().filter(|v| *v != me).collect(),
            times,
            random: Random(seed),
            term: image.term,
            voted_for: image.voted_for,
            commit: image.base.0,
            persisted_index: log.last(),
            log,
            base: image.table,
            role: Role::Follower { leader: None },
            election_at: 0.0,
            leader_heard_at: f64::NEG_INFINITY,
            out: Output::default(),
        };
        raft.reset_election_timer(now);
        raft
    }

    /// All that has to be on disk, as one.
    pub fn persistent_state(&self) -> PersistentState {
        let entries = self.log.from(self.log.base().0 + 1, usize::MAX).to_vec();
        PersistentState {
            term: self.term,
            voted_for: self.voted_for,
            base: self.log.base(),
            table: self.base.clone(),
            entries,
        }
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
    pub fn base(&self) -> &LeaseTable {
        &self.base
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<HostNumber> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and its first entry is agreed: the log up to there is all that was ever agreed.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(l) if self.commit >= l.first)
    }

    /// Voters that are needed for a decision.
    fn quorum(&self) -> usize {
        self.others.len().div_ceil(2) + 1
    }

    fn reset_election_timer(&mut self, now: f64) {
        self.election_at = now + self.times.election_ms * (1.0 + self.random.next());
    }

    /// When something is due next.
    pub fn next_deadline(&self) -> f64 {
        match &self.role {
            Role::Leader(l) => l.heartbeat_at + self.times.heartbeat_ms,
            _ => self.election_at,
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64) {
        if now < self.next_deadline() {
            return;
        }
        let election_ms = self.times.election_ms;
        match &self.role {
            Role::Leader(l) => {
                let heard_at = l.heard_at.values().filter(|at| now - **at <= 2.0 * election_ms).count();
                if heard_at + 1 < self.quorum() {
                    // Nobody hears it: another may lead by now.
                    self.become_follower(now, self.term, None);
                } else {
                    self.send_heartbeat(now);
                }
            }
            _ => self.start_election(now, true),
        }
    }

    /// Asks for votes: first whether it would get them, so that one which was cut off does not unseat a leader.
    fn start_election(&mut self, now: f64, pre_vote: bool) {
        self.reset_election_timer(now);
        if !pre_vote {
            self.set_hard_state(self.term + 1, Some(self.me));
        }
        self.role = Role::Candidate { pre_vote, votes: BTreeSet::from([self.me]) };
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let (term, payload) = if pre_vote {
            (self.term + 1, RaftPayload::PreVoteRequest { last, last_term })
        } else {
            (self.term, RaftPayload::VoteRequest { last, last_term })
        };
        for to in self.others.clone() {
            self.send(to, term, payload.clone());
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: f64) {
        let Role::Candidate { pre_vote, votes } = &self.role else { return };
        if votes.len() < self.quorum() {
            return;
        }
        if *pre_vote {
            return self.start_election(now, false);
        }
        let peer = Progress { next_index: self.log.last() + 1, match_index: 0, heartbeat: 0 };
        let peers = self.others.iter().map(|v| (*v, peer.clone())).collect();
        let heard_at = self.others.iter().map(|v| (*v, now)).collect();
        let first = self.log.last() + 1;
        self.role = Role::Leader(LeaderState { peers, heard_at, heartbeat: 0, heartbeat_at: now, first });
        // What earlier terms left is agreed with the first entry of this one, and not before.
        self.append(Vec::new());
        self.send_heartbeat(now);
    }

    /// Tells all followers that it leads, with what they lack; the number of this word.
    pub fn send_heartbeat(&mut self, now: f64) -> u64 {
        let Role::Leader(l) = &mut self.role else { return 0 };
        l.heartbeat += 1;
        l.heartbeat_at = now;
        let (heartbeat, peers) = (l.heartbeat, l.peers.clone());
        for (to, peer) in peers {
            self.send_log(to, peer.next_index, heartbeat);
        }
        heartbeat
    }

    /// The last word that a majority is known to have heard in this term.
    pub fn confirmed_heartbeat(&self) -> u64 {
        let Role::Leader(l) = &self.role else { return 0 };
        let mut heartbeats: Vec<u64> = l.peers.values().map(|p| p.heartbeat).chain([l.heartbeat]).collect();
        heartbeats.sort_unstable();
        heartbeats[heartbeats.len() - self.quorum()]
    }

    fn send_log(&mut self, to: HostNumber, next_index: u64, heartbeat: u64) {
        let (base, base_term) = self.log.base();
        let payload = match self.log.term(next_index.saturating_sub(1)) {
            Some(previous_term) if next_index > base => {
                let entries = self.log.from(next_index, AT_ONCE).to_vec();
                RaftPayload::AppendRequest {
                    previous: next_index - 1,
                    previous_term,
                    entries,
                    commit: self.commit,
                    heartbeat,
                }
            }
            _ => RaftPayload::InstallSnapshot {
                index: base,
                index_term: base_term,
                table: self.base.clone(),
                heartbeat,
            },
        };
        self.send(to, self.term, payload);
    }

    fn send(&mut self, to: HostNumber, term: u64, payload: RaftPayload) {
        self.out.messages.push((to, RaftMessage { term, payload }));
    }

    fn set_hard_state(&mut self, term: u64, voted_for: Option<HostNumber>) {
        if (self.term, self.voted_for) != (term, voted_for) {
            (self.term, self.voted_for) = (term, voted_for);
            self.out.records.push(Record::HardState { term, voted_for });
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
        self.is_leader().then(|| self.append(changes))
    }

    fn become_follower(&mut self, now: f64, term: u64, leader: Option<HostNumber>) {
        let voted_for = if term > self.term { None } else { self.voted_for };
        self.set_hard_state(term, voted_for);
        self.role = Role::Follower { leader };
        self.reset_election_timer(now);
    }

    /// Takes what there is to write and to say.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.out)
    }

    /// All records taken so far are on disk.
    pub fn persisted(&mut self) {
        self.persisted_index = self.log.last();
        self.advance_commit();
    }

    /// A state that holds all up to an agreed index takes the place of the entries up to there.
    pub fn compact(&mut self, index: u64, table: &LeaseTable) {
        if index > self.log.base().0 && index <= self.commit {
            self.log.compact(index);
            self.base = table.clone();
            self.out.rewrite = true;
        }
    }

    /// Takes a message of another voter. Those of strangers are the caller's to keep away.
    pub fn handle_message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        let RaftMessage { term, payload } = message;
        let asks = matches!(payload, RaftPayload::PreVoteRequest { .. } | RaftPayload::PreVoteResponse(_));
        if term > self.term && !asks {
            let is_leader =
                matches!(payload, RaftPayload::AppendRequest { .. } | RaftPayload::InstallSnapshot { .. });
            self.become_follower(now, term, is_leader.then_some(from));
        }
        match payload {
            RaftPayload::PreVoteRequest { last, last_term } => {
                let led = self.is_leader() || now - self.leader_heard_at < self.times.election_ms;
                let granted = term > self.term && !led && self.is_up_to_date(last, last_term);
                self.send(
                    from,
                    if granted { term } else { self.term },
                    RaftPayload::PreVoteResponse(granted),
                );
            }
            RaftPayload::PreVoteResponse(true) if term == self.term + 1 => self.record_vote(now, from, true),
            // Danger: one whose term fell behind, but whose log is the longest, would ask in vain for ever.
            RaftPayload::PreVoteResponse(false) if term > self.term => self.become_follower(now, term, None),
            RaftPayload::PreVoteResponse(_) => {}
            RaftPayload::VoteRequest { last, last_term } => {
                let free = self.voted_for.is_none() || self.voted_for == Some(from);
                let granted = term == self.term && free && self.is_up_to_date(last, last_term);
                if granted {
                    self.set_hard_state(term, Some(from));
                    self.reset_election_timer(now);
                }
                self.send(from, self.term, RaftPayload::VoteResponse(granted));
            }
            RaftPayload::VoteResponse(true) if term == self.term => self.record_vote(now, from, false),
            RaftPayload::VoteResponse(_) => {}
            RaftPayload::AppendRequest { previous, previous_term, entries, commit, heartbeat } => {
                let (success, index) = match self.accept_leader(now, from, term) {
                    true => self.append_entries(previous, previous_term, entries, commit),
                    false => (false, self.log.last()),
                };
                self.send(from, self.term, RaftPayload::AppendResponse { success, index, heartbeat });
            }
            RaftPayload::InstallSnapshot { index, index_term, table, heartbeat } => {
                if self.accept_leader(now, from, term) {
                    self.install_snapshot(index, index_term, table);
                    self.send(
                        from,
                        self.term,
                        RaftPayload::AppendResponse { success: true, index, heartbeat },
                    );
                }
            }
            RaftPayload::AppendResponse { success, index, heartbeat } if term == self.term => {
                self.handle_append_response(now, from, success, index, heartbeat);
            }
            RaftPayload::AppendResponse { .. } => {}
        }
    }

    /// Whether a log that ends so holds all that may have been agreed on here.
    fn is_up_to_date(&self, last: u64, last_term: u64) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn record_vote(&mut self, now: f64, from: HostNumber, of_pre: bool) {
        if !self.others.contains(&from) {
            return;
        }
        if let Role::Candidate { pre_vote, votes } = &mut self.role {
            if *pre_vote == of_pre {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    /// Whether the sender leads in the present term.
    fn accept_leader(&mut self, now: f64, from: HostNumber, term: u64) -> bool {
        if term != self.term || self.is_leader() {
            return false;
        }
        self.role = Role::Follower { leader: Some(from) };
        self.leader_heard_at = now;
        self.reset_election_timer(now);
        true
    }

    /// Whether the entry before was there, and up to where the logs are the same; otherwise where to try next.
    fn append_entries(
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
            self.persisted_index = self.persisted_index.min(self.log.last());
            self.log.push(entry.clone());
            self.out.records.push(Record::Entry { index, entry });
        }
        self.commit = self.commit.max(commit.min(index));
        (true, index)
    }

    fn install_snapshot(&mut self, index: u64, index_term: u64, table: LeaseTable) {
        if self.log.term(index) == Some(index_term) {
            // It has all that, and perhaps entries after it that count for a majority: they stay.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.log = Log::after(index, index_term, Vec::new());
            (self.base, self.commit) = (table, index);
            self.out.rewrite = true;
        }
    }

    fn handle_append_response(
        &mut self,
        now: f64,
        from: HostNumber,
        success: bool,
        index: u64,
        heartbeat: u64,
    ) {
        let last = self.log.last();
        let Role::Leader(l) = &mut self.role else { return };
        let Some(peer) = l.peers.get_mut(&from) else { return };
        l.heard_at.insert(from, now);
        peer.heartbeat = peer.heartbeat.max(heartbeat.min(l.heartbeat));
        if success {
            peer.match_index = peer.match_index.max(index.min(last));
            peer.next_index = peer.next_index.max(peer.match_index + 1);
            if peer.next_index <= last {
                // More waits: not before the next beat would be slow for one that was away long.
                let (next_index, heartbeat) = (peer.next_index, l.heartbeat);
                self.send_log(from, next_index, heartbeat);
            }
        } else {
            peer.next_index = (index + 1).min(last + 1).max(peer.match_index + 1);
        }
        self.advance_commit();
    }

    /// What a majority has on disk is agreed, once an entry of this term is.
    fn advance_commit(&mut self) {
        let Role::Leader(l) = &self.role else { return };
        let mut match_index: Vec<u64> =
            l.peers.values().map(|p| p.match_index).chain([self.persisted_index]).collect();
        match_index.sort_unstable();
        let agreed = match_index[match_index.len() - self.quorum()];
        if agreed > self.commit && self.log.term(agreed) == Some(self.term) {
            self.commit = agreed;
        }
    }
}
