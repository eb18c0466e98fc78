//! The record of a day as a file, so that it can be judged again later, elsewhere, by anybody.
//!
//! Lines of JSON: a head, then what was noted in the order of its times, then what hosts counted, then a last line with
//! the number of lines and their CRC32C. A record without its last line was cut off, and is told apart from a whole one:
//! commands without an answer would otherwise look like broken promises. Nothing here does I/O of its own choosing; a
//! reader and a writer are given.

mod read;
mod write;

pub use read::{read, ReadError};
pub use write::{write, Writer};

use pearfork_rulecheck::TraceEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The form that is written, and the only one that is read.
pub const FORMAT: u32 = 1;
/// Longest line, bytes: the head holds all settings, with rules of thousands of rows.
pub const MAX_LINE: usize = 16 << 20;
/// Most notes that are read: about a day of an hour on loopback.
pub const MAX_EVENTS: usize = 20_000_000;

/// What a record begins with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordHeader {
    /// [`FORMAT`].
    pub pearfork_record: u32,
    /// What was played.
    pub name: String,
    /// Hosts that took part.
    pub hosts: u16,
    /// How long clients offered load, milliseconds.
    pub length_ms: f64,
    /// How much later than it happened a thing may have been noted, milliseconds.
    pub margin_ms: f64,
    /// Start, milliseconds of the Unix epoch.
    pub began_ms: f64,
    /// The hosts' settings, resolved: one text that refers to no other file.
    pub settings: String,
}

/// Something the script did, in words.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// Microseconds since the record began.
    pub at_us: u64,
    /// What.
    #[serde(rename = "words")]
    pub text: String,
}

/// What a host counted for a class by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostClassCounts {
    /// The host.
    pub host: u16,
    /// The class, by name.
    pub class: String,
    /// Commands taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Of those, past the aim.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub abandoned: u64,
    /// Refusals and failures by the module's reason.
    #[serde(default)]
    pub reasons: BTreeMap<String, u64>,
}

/// The whole record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recording {
    /// What it begins with.
    pub header: RecordHeader,
    /// What the script did.
    pub scenario_events: Vec<ScenarioEvent>,
    /// What passed the sockets and what stand-ins knew, in the order of the times.
    pub events: Vec<TraceEvent>,
    /// What hosts counted.
    pub host_counts: Vec<HostClassCounts>,
    /// Whether the last line was there and right.
    pub complete: bool,
}

/// A line, as it is read and written.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    #[serde(rename = "head")]
    Header(RecordHeader),
    #[serde(rename = "said")]
    ScenarioEvent(ScenarioEvent),
    #[serde(rename = "note")]
    Event(TraceEvent),
    #[serde(rename = "counted")]
    HostClassCounts(HostClassCounts),
    #[serde(rename = "end")]
    Trailer(Trailer),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trailer {
    /// Lines before this one.
    lines: u64,
    /// CRC32C (Castagnoli) of all their bytes, line ends included.
    crc32c: u32,
}
