//! Messages between hosts. Their form on the wire is fixed: see `tests/formats.rs`. Fields that a release does not know
//! are skipped.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use crate::raft::RaftMessage;
use serde::{Deserialize, Serialize};

/// Version of the protocol. A host with another one is refused, and told why.
pub const VERSION: u32 = 1;

/// The handshake: first message of each connection, from both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`] of the sender.
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// Checksum of the settings that all hosts of a fleet must share.
    pub settings: String,
    /// The sender.
    pub host: HostNumber,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first message of a connection, the response to it, and a keepalive.
    Hello(Hello),
    /// Why the sender closes the connection.
    Refused(String),
    /// From voter to voter.
    Raft(RaftMessage),
    /// From a host to a voter.
    #[serde(rename = "ask")]
    LeaseRequest(LeaseRequest),
    /// From a voter to a host.
    #[serde(rename = "answer")]
    LeaseResponse(LeaseResponse),
}

/// What a host requests of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The budget.
    pub budget: Budget,
    /// The demand of its clients of late; may be more than the whole.
    pub demand: Fraction,
    /// The least fraction that is of use: what holds its largest request.
    pub least: Fraction,
    /// How long that has to be held for a request to come of it, milliseconds.
    #[serde(default)]
    pub turn_ms: u32,
    /// The host uses no more than this, on top of its floor, until a grant of a later version allows it.
    pub using: Fraction,
    /// Version of the grant that `using` is under; 0 where there was none.
    #[serde(rename = "at")]
    pub version: u64,
}

/// The last response that the sender of a request handled: the request holds what changed since the request that was
/// responded to, and is responded to with what changed since that response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalBase {
    /// The term of the leader that responded. What one leader was told no other knows.
    pub term: u64,
    /// The request that it responded to.
    pub seq: u64,
    /// The revision of the grants up to which it told the sender.
    pub revision: u64,
}

/// A host requests a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The host.
    pub host: HostNumber,
    /// The number that its process drew.
    pub nonce: u64,
    /// The number that the ledger gave the process, once it did.
    pub incarnation: Option<Incarnation>,
    /// Counts the process's requests.
    pub seq: u64,
    /// The process leaves: all that it held may be lent to others at once.
    pub leaving: bool,
    /// Every budget that it holds or wants some of; with a `base` those that changed since.
    #[serde(rename = "wants")]
    pub requests: Vec<BudgetRequest>,
    /// Since when `requests` tells what changed; none where it tells all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<RenewalBase>,
}

/// An allocation, as its holder is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub budget: Budget,
    /// The fraction that is allocated.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of the allocation.
    #[serde(rename = "at")]
    pub version: u64,
    /// What the holder should come down to; the same as `fraction` where it need not.
    pub target: Fraction,
}

/// Why a request got no lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This voter is not the leader; perhaps that one is.
    NotLeader(Option<HostNumber>),
    /// The process is no member, or no longer: it has to join anew.
    Unknown,
    /// A later process has the host's number.
    Superseded,
    /// This leader does not know what came before the changes: the request has to tell all.
    Unsynchronized,
}

/// Up to where a leader told a process of its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantsPosition {
    /// The term of the leader.
    pub term: u64,
    /// Counts changes of the process's grants during that term.
    pub revision: u64,
}

/// A lease, counted from when its request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The process.
    pub incarnation: Incarnation,
    /// All that it holds; with `changes_since` what changed of it.
    pub grants: Vec<Grant>,
    /// What it holds nothing of any more, where only changes are told.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<Budget>,
    /// The revision since which changes are told; none where all is told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes_since: Option<u64>,
    /// Up to where this tells; none from a release that always tells all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<GrantsPosition>,
}

impl Lease {
    /// A lease with these grants and no others, by a leader that always tells all.
    pub fn whole(incarnation: Incarnation, grants: Vec<Grant>) -> Lease {
        Lease { incarnation, grants, withdrawn: Vec::new(), changes_since: None, position: None }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseOutcome {
    /// A lease.
    Lease(Lease),
    /// No lease.
    Refused(Refusal),
}

/// A voter's response to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The process that sent the request.
    pub nonce: u64,
    /// The request.
    pub seq: u64,
    /// Its outcome.
    #[serde(rename = "said")]
    pub outcome: LeaseOutcome,
}

impl LeaseResponse {
    /// The response to a request.
    pub fn to(request: &LeaseRequest, outcome: LeaseOutcome) -> LeaseResponse {
        LeaseResponse { nonce: request.nonce, seq: request.seq, outcome }
    }
}
