//! Recorded events, in order of time, and the parameters that they are checked against.

use crate::wire::{Header, MediaAccess};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The process that owns a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Endpoint {
    /// A client that is connected to a host.
    Client {
        /// Number of the host.
        host: u16,
    },
    /// A storage node.
    Node {
        /// Node id.
        node: u32,
    },
}

/// One recorded event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceEvent {
    /// Microseconds since the recording began.
    pub at_us: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: TraceEventKind,
}

/// The kinds of recorded events.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEventKind {
    /// A PDU was sent or received on a socket.
    Pdu {
        /// Owner of the socket.
        #[serde(rename = "place")]
        endpoint: Endpoint,
        /// Connection number, unique in the recording.
        stream: u64,
        /// Whether the owner of the socket sent the PDU rather than received it.
        sent: bool,
        /// Header of the PDU.
        header: Header,
    },
    /// A connection was closed.
    Closed {
        /// Connection number.
        stream: u64,
    },
    /// A response of the directory to a host listed this node; recorded when the response was sent.
    #[serde(rename = "told")]
    NodeListed {
        /// Number of the host.
        host: u16,
        /// Node id.
        node: u32,
        /// Whether the node accepts new requests.
        ready: bool,
        /// Last start of the node, milliseconds since the Unix epoch.
        started_ms: f64,
    },
    /// A node's process started.
    NodeStarted {
        /// Node id.
        node: u32,
        /// Shard that the node holds.
        shard: u16,
        /// Zone of the node.
        zone: u16,
        /// Whether the node starts cold.
        cold: bool,
        /// Capacity of the warm node, units per second.
        units_per_s: f64,
    },
    /// A node applied the effect of a command once.
    Applied {
        /// Node id.
        node: u32,
        /// Host, start time of the host, session, CmdSN and part.
        key: (u16, u32, u16, u32, u16),
    },
    /// The scenario pauses a host from now on. The host cannot answer meanwhile, so a client deadline that
    /// falls into the pause is not a violation.
    HostStalled {
        /// Number of the host.
        host: u16,
        /// Length of the pause, microseconds.
        for_us: u64,
    },
    /// A host's process was killed. Its clients have to retry their unanswered commands.
    HostKilled {
        /// Number of the host.
        host: u16,
    },
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// The request may be executed any number of times.
    Safe,
    /// The nodes of a group discard a repeated request for a time after its first attempt.
    Keyed {
        /// Nodes that recognise the repeat.
        group: Group,
        /// How long they recognise it, milliseconds.
        window_ms: f64,
    },
    /// The request must not be executed twice.
    Unsafe,
}

/// The nodes among which a repeated request is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Time from the last byte of a command to its final answer, milliseconds.
    pub deadline_ms: f64,
    /// Whether its requests may be executed more than once.
    pub effect: Effect,
    /// Whether requests to one extent are executed one at a time and in order.
    pub ordered: bool,
}

/// Geometry and limit of a volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Block size in bytes.
    pub block_bytes: u64,
    /// Extent size in blocks.
    pub extent_blocks: u64,
    /// Limit, if there is one: rate in units per second, burst and slack in units.
    pub limit: Option<(f64, f64, f64)>,
}

/// The parameters that the rules are checked with.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Classes by index.
    pub classes: Vec<Class>,
    /// Classifies a request by the operator's match rules.
    pub class_of: ClassOf,
    /// Volumes by id.
    pub volumes: Vec<Volume>,
    /// Time in which a host must stop sending to a node after the directory lists it as not ready,
    /// milliseconds.
    pub drain_grace_ms: f64,
    /// Fraction of its capacity that a node has at a cold start.
    pub cold_from: f64,
    /// Time from a cold start until a node has its full capacity, milliseconds.
    pub warm_after_ms: f64,
    /// A cold node crashes at more than this multiple of its present capacity.
    pub fall_multiple: f64,
    /// Span over which the load of a cold node is summed, milliseconds.
    pub fall_ms: f64,
    /// Load in that span that never crashes a cold node, units.
    pub cold_units: f64,
    /// Cooldown of an ordered extent after an attempt whose outcome is unknown, milliseconds.
    pub key_cooldown_ms: f64,
    /// Retry budget: free retries, ratio of retries to requests, span in milliseconds.
    pub retry_budget: Option<(f64, f64, f64)>,
    /// How much later than it happened an event may be recorded, milliseconds, because threads wait for a
    /// core.
    pub margin_ms: f64,
}

/// Returns the index of a request's class from its volume and its access.
#[derive(Clone)]
pub struct ClassOf(pub Arc<ClassOfFn>);

/// The function in a [`ClassOf`].
pub type ClassOfFn = dyn Fn(u32, &MediaAccess) -> Option<usize> + Send + Sync;

impl std::fmt::Debug for ClassOf {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClassOf")
    }
}
