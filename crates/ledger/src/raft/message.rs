//! Raft messages between voters. Their encoding on the wire is fixed: see `tests/formats.rs`.

use crate::lease_table::LeaseTable;
use crate::log::Entry;
use serde::{Deserialize, Serialize};

/// A Raft message between voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender's term; in a pre-vote request, the term that the candidate would begin.
    pub term: u64,
    /// The body.
    #[serde(rename = "what")]
    pub payload: RaftPayload,
}

/// The body of a Raft message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RaftPayload {
    /// Asks whether a vote would be granted. It changes the term and vote of neither side.
    #[serde(rename = "pre_vote")]
    PreVoteRequest {
        /// Index of the candidate's last entry.
        #[serde(rename = "last")]
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to `PreVoteRequest`: whether the vote would be granted.
    #[serde(rename = "pre_voted")]
    PreVoteResponse(bool),
    /// Requests a vote.
    #[serde(rename = "vote")]
    VoteRequest {
        /// Index of the candidate's last entry.
        #[serde(rename = "last")]
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Response to `VoteRequest`: whether the vote is granted. A vote is final for its term.
    #[serde(rename = "voted")]
    VoteResponse(bool),
    /// Heartbeat of a leader, with the entries that the follower lacks.
    #[serde(rename = "append")]
    AppendRequest {
        /// Index of the entry before the first of `entries`.
        #[serde(rename = "previous")]
        previous_index: u64,
        /// Term of that entry.
        previous_term: u64,
        /// The entries that follow it.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the heartbeat in the leader's term.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
    /// Heartbeat of a leader, with a snapshot in place of entries that its log no longer holds.
    #[serde(rename = "install")]
    InstallSnapshot {
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Term of that entry.
        index_term: u64,
        /// The state after that entry.
        #[serde(rename = "book")]
        table: LeaseTable,
        /// Number of the heartbeat in the leader's term.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
    /// Response to `AppendRequest` and `InstallSnapshot`.
    #[serde(rename = "appended")]
    AppendResponse {
        /// Whether the follower's log contains the entry before the ones that were sent.
        #[serde(rename = "fits")]
        success: bool,
        /// On success, the last index up to which the follower has stored the leader's log; otherwise the
        /// index from which the leader is to continue.
        index: u64,
        /// Number of the heartbeat that this message responds to.
        #[serde(rename = "beat")]
        heartbeat: u64,
    },
}

impl RaftPayload {
    /// Whether the message belongs to a pre-vote, which changes no voter's term.
    pub(super) fn is_pre_vote(&self) -> bool {
        matches!(self, RaftPayload::PreVoteRequest { .. } | RaftPayload::PreVoteResponse(_))
    }

    /// Whether only the leader of a term sends such a message.
    pub(super) fn is_from_leader(&self) -> bool {
        matches!(self, RaftPayload::AppendRequest { .. } | RaftPayload::InstallSnapshot { .. })
    }
}
