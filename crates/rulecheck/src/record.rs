//! Notes, in the order of their times, and the figures that they are judged by.

use crate::wire::{Header, MediaAccess};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Whose socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Endpoint {
    /// A client's, connected to a host.
    Client {
        /// The host.
        host: u16,
    },
    /// A node's.
    Node {
        /// The node.
        node: u32,
    },
}

/// One note.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceEvent {
    /// Microseconds since the record began.
    pub at_us: u64,
    /// What.
    #[serde(rename = "what")]
    pub kind: TraceEventKind,
}

/// What was noted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEventKind {
    /// A PDU passed a socket.
    Pdu {
        /// Whose socket.
        #[serde(rename = "place")]
        endpoint: Endpoint,
        /// Which connection, unique in the record.
        stream: u64,
        /// Sent by the owner of the socket.
        sent: bool,
        /// The header.
        header: Header,
    },
    /// A connection ended.
    Closed {
        /// Which.
        stream: u64,
    },
    /// The directory's answer to a host, as it went out, had this line.
    #[serde(rename = "told")]
    NodeListed {
        /// The host.
        host: u16,
        /// The node.
        node: u32,
        /// Whether it takes new requests.
        ready: bool,
        /// Its last start, milliseconds of the Unix epoch.
        started_ms: f64,
    },
    /// A node's process began; cold where `cold`.
    NodeStarted {
        /// The node.
        node: u32,
        /// Shard and zone.
        shard: u16,
        /// Zone.
        zone: u16,
        /// Whether it starts cold.
        cold: bool,
        /// Units a second that it can do when warm.
        units_per_s: f64,
    },
    /// A node carried out the effect of a command, once.
    Applied {
        /// The node.
        node: u32,
        /// Host, start of the host, session, command and part.
        key: (u16, u32, u16, u32, u16),
    },
    /// A host is made to stand still by the script, from now: it can answer nobody, and its clients' deadlines that
    /// fall within are the trouble's.
    HostStalled {
        /// The host.
        host: u16,
        /// For how long.
        for_us: u64,
    },
    /// A host was killed outright: what it held is the clients' to retry.
    HostKilled {
        /// The host.
        host: u16,
    },
}

/// Whether a repeat can do harm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// The nodes of a group drop a repeat for a time after the first send, milliseconds.
    Keyed {
        /// Who drops it.
        group: Group,
        /// For how long.
        window_ms: f64,
    },
    /// Must not run twice.
    Unsafe,
}

/// Who drops repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// Those of a zone.
    Zone,
    /// Those that hold a shard.
    Shard,
}

/// A class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// How long its client waits, milliseconds.
    pub deadline_ms: f64,
    /// Whether a repeat can do harm.
    pub effect: Effect,
    /// Whether requests on one extent run one at a time.
    pub ordered: bool,
}

/// A volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Bytes in a block.
    pub block_bytes: u64,
    /// Blocks in an extent.
    pub extent_blocks: u64,
    /// Units a second, units at once, slack; where it has a limit.
    pub limit: Option<(f64, f64, f64)>,
}

/// Stated figures.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Classes by position.
    pub classes: Vec<Class>,
    /// Which class a request gets: told by whoever knows the operator's rules.
    pub class_of: ClassOf,
    /// Volumes by position.
    pub volumes: Vec<Volume>,
    /// Nothing new to a node later than this after word, milliseconds.
    pub drain_grace_ms: f64,
    /// A cold node's least part of its capacity; warm after; multiple; over; units always borne.
    pub cold_from: f64,
    /// Milliseconds until warm.
    pub warm_after_ms: f64,
    /// Multiple of present capacity at which it falls.
    pub fall_multiple: f64,
    /// Span over which that counts, milliseconds.
    pub fall_ms: f64,
    /// Units within that span that are always borne.
    pub cold_units: f64,
    /// Rest of an extent after an unclear end, milliseconds.
    pub key_cooldown_ms: f64,
    /// Further attempts: free, ratio, span in milliseconds.
    pub retry_budget: Option<(f64, f64, f64)>,
    /// How much later than it happened a thing may be noted, milliseconds: threads that wait for a core.
    pub margin_ms: f64,
}

/// Gives the class of a request: volume, and what it does.
#[derive(Clone)]
pub struct ClassOf(pub Arc<ClassOfFn>);

/// See [`ClassOf`].
pub type ClassOfFn = dyn Fn(u32, &MediaAccess) -> Option<usize> + Send + Sync;

impl std::fmt::Debug for ClassOf {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClassOf")
    }
}
