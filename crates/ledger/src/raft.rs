//! Consensus on the log: Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm") with the
//! pre-vote and the leader's check of its quorum (Ongaro's dissertation, sections 9.6 and 6.2).
//!
//! The voters are fixed by the settings. Nothing is sent before what it promises is on disk: [`Raft::take_output`]
//! returns records and messages together; the caller writes the records, sends the messages only then, and calls
//! [`Raft::persisted`].

mod election;
mod message;
mod replication;
mod storage;

pub use message::{RaftMessage, RaftPayload};
pub use storage::{PersistentState, Record};

use crate::budget::HostNumber;
use crate::lease_table::{Change, LeaseTable};
use crate::log::{Log, LogPosition};
use crate::random::Random;
use crate::Times;
use election::Phase;
use std::collections::{BTreeMap, BTreeSet};

/// What is to be written, then sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Records to write. Where `rewrite` is set, the whole persistent state is written instead.
    pub records: Vec<Record>,
    /// The log was compacted or replaced: [`Raft::persistent_state`] takes the place of all that was written.
    pub rewrite: bool,
    /// Messages to send after that.
    pub messages: Vec<(HostNumber, RaftMessage)>,
}

/// What a leader knows of a follower.
#[derive(Clone, Debug, PartialEq)]
struct Progress {
    /// The next entry to send.
    next_index: u64,
    /// The last entry that is known to be on its disk.
    match_index: u64,
    /// The last heartbeat that it responded to.
    heartbeat: u64,
    /// When its last response came.
    heard_at: f64,
}

/// State of a leader.
#[derive(Clone, Debug, PartialEq)]
struct Leadership {
    followers: BTreeMap<HostNumber, Progress>,
    /// Number of the last heartbeat.
    heartbeat: u64,
    /// When that was sent.
    heartbeat_at: f64,
    /// The leader's first own entry. Once it is committed, the commit index is known to cover all of earlier terms.
    first_index: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Follower { leader: Option<HostNumber> },
    Candidate { phase: Phase, votes: BTreeSet<HostNumber> },
    Leader(Leadership),
}

/// One voter's replica of the log, and its role in the consensus on it.
#[derive(Clone, Debug)]
pub struct Raft {
    me: HostNumber,
    others: Vec<HostNumber>,
    times: Times,
    random: Random,
    term: u64,
    voted_for: Option<HostNumber>,
    log: Log,
    /// The state at the snapshot's end.
    snapshot_table: LeaseTable,
    commit: u64,
    /// The last entry that is on this voter's disk.
    persisted_index: u64,
    role: Role,
    election_at: f64,
    leader_heard_at: f64,
    output: Output,
}

impl Raft {
    /// A voter that continues from what it has on disk. It starts no election for one election time: a leader that is
    /// alive is heard by then.
    pub fn new(
        me: HostNumber,
        voters: &[HostNumber],
        times: Times,
        seed: u64,
        state: PersistentState,
        now: f64,
    ) -> Raft {
        let log = Log::after(state.snapshot, state.entries);
        let mut raft = Raft {
            me,
            others: voters.iter().copied().filter(|v| *v != me).collect(),
            times,
            random: Random(seed),
            term: state.term,
            voted_for: state.voted_for,
            commit: state.snapshot.index,
            persisted_index: log.last_index(),
            log,
            snapshot_table: state.table,
            role: Role::Follower { leader: None },
            election_at: 0.0,
            leader_heard_at: f64::NEG_INFINITY,
            output: Output::default(),
        };
        raft.reset_election_timer(now);
        raft
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Index of the last entry that is known to be committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The state that the snapshot holds.
    pub fn snapshot_table(&self) -> &LeaseTable {
        &self.snapshot_table
    }

    /// The leader, as far as this voter knows.
    pub fn leader(&self) -> Option<HostNumber> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this voter is the leader and its first entry is committed: it then knows all that was ever committed.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leadership) if self.commit >= leadership.first_index)
    }

    /// When [`Raft::tick`] has something to do next.
    pub fn next_deadline(&self) -> f64 {
        match &self.role {
            Role::Leader(leadership) => leadership.heartbeat_at + self.times.heartbeat_ms,
            _ => self.election_at,
        }
    }

    /// Sends the heartbeat or starts the election that is due.
    pub fn tick(&mut self, now: f64) {
        if now < self.next_deadline() {
            return;
        }
        if !self.is_leader() {
            self.campaign(now, Phase::PreVote);
        } else if self.hears_quorum(now) {
            self.send_heartbeat(now);
        } else {
            self.become_follower(now, self.term, None);
        }
    }

    /// Proposes an entry; its index, or none where another voter leads. It is sent with the next heartbeat.
    pub fn propose(&mut self, changes: Vec<Change>) -> Option<u64> {
        self.is_leader().then(|| self.append(changes))
    }

    /// Takes what there is to write and to send.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Handles a message of another voter. The caller keeps away messages of hosts that are no voters.
    pub fn handle_message(&mut self, now: f64, from: HostNumber, message: RaftMessage) {
        let RaftMessage { term, payload } = message;
        if term > self.term && !payload.is_pre_vote() {
            let leader = payload.is_from_leader().then_some(from);
            self.become_follower(now, term, leader);
        }
        match payload {
            RaftPayload::PreVoteRequest { last_index, last_term } => {
                let last = LogPosition { index: last_index, term: last_term };
                self.handle_pre_vote_request(now, from, term, last);
            }
            RaftPayload::PreVoteResponse(granted) => self.handle_pre_vote_response(now, from, term, granted),
            RaftPayload::VoteRequest { last_index, last_term } => {
                let last = LogPosition { index: last_index, term: last_term };
                self.handle_vote_request(now, from, term, last);
            }
            RaftPayload::VoteResponse(granted) => self.handle_vote_response(now, from, term, granted),
            RaftPayload::AppendRequest { previous_index, previous_term, entries, commit, heartbeat } => {
                let accepted = self.accept_leader(now, from, term);
                let previous = LogPosition { index: previous_index, term: previous_term };
                self.handle_append_request(from, accepted, previous, entries, commit, heartbeat);
            }
            RaftPayload::InstallSnapshot { index, index_term, table, heartbeat } => {
                if self.accept_leader(now, from, term) {
                    self.install_snapshot(index, index_term, table);
                    let response = RaftPayload::AppendResponse { success: true, index, heartbeat };
                    self.send(from, self.term, response);
                }
            }
            RaftPayload::AppendResponse { success, index, heartbeat } => {
                if term == self.term {
                    self.handle_append_response(now, from, success, index, heartbeat);
                }
            }
        }
    }

    fn send(&mut self, to: HostNumber, term: u64, payload: RaftPayload) {
        self.output.messages.push((to, RaftMessage { term, payload }));
    }
}
