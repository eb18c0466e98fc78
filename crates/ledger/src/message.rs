//! Messages between hosts. Their encoding on the wire is fixed: see `tests/formats.rs`. Fields that a release
//! does not know are ignored.

use crate::budget::{Budget, HostNumber, Incarnation};
use crate::fraction::Fraction;
use crate::raft::RaftMessage;
use serde::{Deserialize, Serialize};

/// Version of the protocol. A host with another version is refused with a reason.
pub const PROTOCOL_VERSION: u32 = 1;

/// The handshake: the first message on each connection, sent by both sides.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// Checksum of the settings that must be the same on all hosts of a fleet.
    #[serde(rename = "settings")]
    pub settings_fingerprint: String,
    /// The sending host.
    pub host: HostNumber,
}

/// A message between two hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The handshake, the response to it, and a keepalive.
    Hello(Hello),
    /// The sender refuses the connection and closes it, for this reason.
    Refused(String),
    /// A Raft message between voters.
    Raft(RaftMessage),
    /// A lease request of a host to a voter.
    #[serde(rename = "ask")]
    LeaseRequest(LeaseRequest),
    /// A voter's response to a lease request.
    #[serde(rename = "answer")]
    LeaseResponse(LeaseResponse),
}

/// The request of a host for a fraction of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// The budget.
    pub budget: Budget,
    /// Recent demand of its clients; may exceed the whole.
    pub demand: Fraction,
    /// Smallest useful fraction: the one that admits its largest request.
    #[serde(rename = "least")]
    pub min_fraction: Fraction,
    /// How long it has to hold that fraction before it can send a request, in milliseconds.
    #[serde(default)]
    pub turn_ms: u32,
    /// Upper bound of what the host uses beyond its floor until it handles a grant of a later version.
    pub using: Fraction,
    /// Version of the grant that `using` refers to; 0 if there is none.
    #[serde(rename = "at")]
    pub version: u64,
}

/// The last response that the sender of a request has handled. The request carries the changes since the
/// request of that response, and its own response carries the changes since that response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalBase {
    /// Term of the leader that sent the response. A leader does not know the requests to earlier leaders.
    pub term: u64,
    /// Sequence number of the request that it responded to.
    pub seq: u64,
    /// Revision of the sender's grants that the response brought it up to.
    pub revision: u64,
}

/// A request for a lease, or for its renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The sending host.
    pub host: HostNumber,
    /// Random number that identifies the sending process.
    pub nonce: u64,
    /// Incarnation of the process; none until the ledger has assigned one.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the request, counted by the process.
    pub seq: u64,
    /// The process leaves the fleet: its allocations may be granted to others at once.
    pub leaving: bool,
    /// Every budget that it holds or requests a fraction of; with a `base`, those that changed since.
    #[serde(rename = "wants")]
    pub requests: Vec<BudgetRequest>,
    /// The base of an incremental request; none in a full request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<RenewalBase>,
}

/// An allocation, as sent to its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The budget.
    pub budget: Budget,
    /// The allocated fraction.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of the allocation.
    #[serde(rename = "at")]
    pub version: u64,
    /// The fraction that the holder should reduce its use to; equal to `fraction` if it need not.
    pub target: Fraction,
}

/// Why a request is refused a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This voter is not the leader. It names the leader if it knows one.
    NotLeader(Option<HostNumber>),
    /// The process is not a member, or no longer one: it has to join again.
    Unknown,
    /// A later process has joined under the same host number.
    Superseded,
    /// The leader does not know the base of an incremental request: the sender has to send a full one.
    Unsynchronized,
}

/// How far a response brings a process up to date with its grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantsPosition {
    /// The term of the leader.
    pub term: u64,
    /// Number of changes to the process's grants during that term.
    pub revision: u64,
}

/// A lease. It is valid for [`Timing::lease_ms`](crate::Timing::lease_ms) from when its request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The process.
    pub incarnation: Incarnation,
    /// All grants of the process; with `changes_since`, those that changed.
    pub grants: Vec<Grant>,
    /// In an incremental lease, the budgets in which the process no longer has an allocation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub withdrawn: Vec<Budget>,
    /// Revision that an incremental lease starts from; none in a full lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changes_since: Option<u64>,
    /// Position that the process is at once it has handled the lease; none from a release that sends full
    /// leases only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub position: Option<GrantsPosition>,
}

impl Lease {
    /// A full lease with these grants and no position, as a release without incremental leases sends it.
    pub fn full(incarnation: Incarnation, grants: Vec<Grant>) -> Lease {
        Lease { incarnation, grants, withdrawn: Vec::new(), changes_since: None, position: None }
    }
}

/// The outcome of a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseOutcome {
    /// The lease is granted or renewed.
    Lease(Lease),
    /// The request is refused.
    Refused(Refusal),
}

/// A voter's response to a lease request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Nonce of the process that sent the request.
    pub nonce: u64,
    /// Sequence number of the request.
    pub seq: u64,
    /// Outcome of the request.
    #[serde(rename = "said")]
    pub outcome: LeaseOutcome,
}

impl LeaseResponse {
    /// The response to a request.
    pub fn to(request: &LeaseRequest, outcome: LeaseOutcome) -> LeaseResponse {
        LeaseResponse { nonce: request.nonce, seq: request.seq, outcome }
    }
}
