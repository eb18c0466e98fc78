//! Consensus on the log: Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm")
//! with pre-vote (section 9.6 of Ongaro's dissertation) and the leader's quorum check (section 6.2).
//!
//! The settings fix the set of voters. State must be on disk before any message that relies on it is sent:
//! [`Raft::take_output`] returns records and messages together; the caller writes the records, then sends the
//! messages, and calls [`Raft::persisted`].

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
use crate::Timing;
use election::Phase;
use std::collections::{BTreeMap, BTreeSet};

/// Records to write and messages to send after that.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Records to append to the stored state. If `rewrite` is set, the whole persistent state is written
    /// instead.
    pub records: Vec<Record>,
    /// The log was compacted or replaced: [`Raft::persistent_state`] replaces all that is stored.
    pub rewrite: bool,
    /// Messages to send once the write is on disk.
    pub messages: Vec<(HostNumber, RaftMessage)>,
}

/// A follower's progress, as the leader knows it.
#[derive(Clone, Debug, PartialEq)]
struct Progress {
    /// Index of the next entry to send.
    next_index: u64,
    /// Index of the last entry that is known to be on the follower's disk and the same as the leader's.
    match_index: u64,
    /// Number of the last heartbeat that it responded to.
    heartbeat: u64,
    /// When its last response arrived.
    last_response_at: f64,
}

/// State of a leader.
#[derive(Clone, Debug, PartialEq)]
struct Leadership {
    followers: BTreeMap<HostNumber, Progress>,
    /// Number of the last heartbeat.
    heartbeat: u64,
    /// When the last heartbeat was sent.
    heartbeat_at: f64,
    /// Index of the first entry of this term. Once it is committed, so are all entries of earlier terms.
    first_index: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Follower { leader: Option<HostNumber> },
    Candidate { phase: Phase, votes: BTreeSet<HostNumber> },
    Leader(Leadership),
}

/// One voter's replica of the log, and its role in the consensus.
#[derive(Clone, Debug)]
pub struct Raft {
    id: HostNumber,
    /// The other voters.
    peers: Vec<HostNumber>,
    timing: Timing,
    random: Random,
    term: u64,
    voted_for: Option<HostNumber>,
    log: Log,
    /// The state after the last entry that the snapshot covers.
    snapshot_table: LeaseTable,
    /// The commit index.
    commit: u64,
    /// Index of the last entry on this voter's disk.
    persisted_index: u64,
    role: Role,
    election_at: f64,
    last_leader_contact_at: f64,
    output: Output,
}

impl Raft {
    /// A voter that continues from the state on its disk.
    ///
    /// It starts no election for one election timeout; a leader that is alive makes contact within that time.
    pub fn new(
        id: HostNumber,
        voters: &[HostNumber],
        timing: Timing,
        seed: u64,
        state: PersistentState,
        now: f64,
    ) -> Raft {
        let log = Log::from_snapshot(state.snapshot, state.entries);
        let mut raft = Raft {
            id,
            peers: voters.iter().copied().filter(|v| *v != id).collect(),
            timing,
            random: Random(seed),
            term: state.term,
            voted_for: state.voted_for,
            commit: state.snapshot.index,
            persisted_index: log.last_index(),
            log,
            snapshot_table: state.table,
            role: Role::Follower { leader: None },
            election_at: 0.0,
            last_leader_contact_at: f64::NEG_INFINITY,
            output: Output::default(),
        };
        raft.reset_election_timer(now);
        raft
    }

    /// The current term.
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

    /// The state after the last entry that the snapshot covers.
    pub fn snapshot_table(&self) -> &LeaseTable {
        &self.snapshot_table
    }

    /// The leader of the current term, if this voter knows it.
    pub fn leader(&self) -> Option<HostNumber> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.id),
        }
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether this voter is the leader and the first entry of its term is committed: it then knows all
    /// committed entries.
    pub fn has_committed_in_term(&self) -> bool {
        matches!(&self.role, Role::Leader(leadership) if self.commit >= leadership.first_index)
    }

    /// When [`Raft::tick`] has to be called next.
    pub fn next_deadline(&self) -> f64 {
        match &self.role {
            Role::Leader(leadership) => leadership.heartbeat_at + self.timing.heartbeat_interval_ms,
            _ => self.election_at,
        }
    }

    /// Sends a heartbeat or starts an election if one is due. A leader without contact to a quorum steps
    /// down.
    pub fn tick(&mut self, now: f64) {
        if now < self.next_deadline() {
            return;
        }
        if !self.is_leader() {
            self.campaign(now, Phase::PreVote);
        } else if self.has_quorum_contact(now) {
            self.send_heartbeat(now);
        } else {
            self.become_follower(now, self.term, None);
        }
    }

    /// Appends an entry to the leader's log and returns its index; none if this voter is not the leader. The
    /// entry is sent with the next heartbeat.
    pub fn propose(&mut self, changes: Vec<Change>) -> Option<u64> {
        self.is_leader().then(|| self.append(changes))
    }

    /// Takes the pending records and messages.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Handles a message from another voter. The caller must filter out messages from hosts that are not
    /// voters.
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
