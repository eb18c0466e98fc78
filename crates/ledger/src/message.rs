//! What hosts say to each other. The forms are those of `serde`; fields that a release does not know are skipped.

use crate::budget::{Budget, Fraction, HostNumber, Incarnation};
use crate::raft::RaftMessage;
use serde::{Deserialize, Serialize};

/// Version of the talk. A host of another one is refused in words.
pub const VERSION: u32 = 1;

/// First word of each connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`VERSION`] of whoever speaks.
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// Checksum of what all hosts of a fleet must have alike.
    pub settings: String,
    /// Who speaks.
    pub host: HostNumber,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Who speaks; the first message of a connection, and in answer to it.
    Hello(Hello),
    /// Why nothing more will be said on this connection.
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

/// What a host says of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetRequest {
    /// Which.
    pub budget: Budget,
    /// What its clients asked for of late, as a fraction of the whole; may be more than that.
    pub demand: Fraction,
    /// The least fraction that is of use: what holds its largest request.
    pub least: Fraction,
    /// How long it has to have that for a request to come of it, milliseconds.
    #[serde(default)]
    pub turn_ms: u32,
    /// It uses no more than this, on top of its floor, until a grant of a later version lets it.
    pub using: Fraction,
    /// Version of the grant that `using` is under; 0 where it never had one.
    #[serde(rename = "at")]
    pub version: u64,
}

/// A host asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which host.
    pub host: HostNumber,
    /// Which process of it, by its own number.
    pub nonce: u64,
    /// The same as the ledger calls it, once it did.
    pub incarnation: Option<Incarnation>,
    /// Counts its asks.
    pub seq: u64,
    /// It goes: all it held may be lent to others at once.
    pub leaving: bool,
    /// Every budget that it holds or wants some of.
    #[serde(rename = "wants")]
    pub requests: Vec<BudgetRequest>,
}

/// A line of the table, told to its holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Of what.
    pub budget: Budget,
    /// What the table has.
    #[serde(rename = "part")]
    pub fraction: Fraction,
    /// Version of that line.
    #[serde(rename = "at")]
    pub version: u64,
    /// What the holder should come down to; the same as `part` where it need not.
    pub target: Fraction,
}

/// Why an ask was not answered with grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// This voter does not lead; perhaps that one does.
    NotLeader(Option<HostNumber>),
    /// This process is not, or no longer, in the table: it has to join anew.
    Unknown,
    /// A later process has the host's name.
    Superseded,
}

/// What is said to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseOutcome {
    /// The lease holds from when this ask was sent, with these parts and no others.
    Lease {
        /// The process.
        incarnation: Incarnation,
        /// All that it holds.
        grants: Vec<Grant>,
    },
    /// Nothing is lent by this answer.
    Refused(Refusal),
}

/// A voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// To which process.
    pub nonce: u64,
    /// To which ask.
    pub seq: u64,
    /// What.
    #[serde(rename = "said")]
    pub outcome: LeaseOutcome,
}
