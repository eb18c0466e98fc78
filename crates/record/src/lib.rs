//! The record of a scenario run as a file, from which the seven rules can be checked again later.
//!
//! A record consists of lines of JSON: a header, the trace events in the order of their times, the hosts' own
//! counts and a trailer with the number of lines and their CRC32C. A record without its trailer is truncated
//! and is not complete: commands whose final answers are missing from it would look like violations of the
//! rules. The caller passes the reader or writer; this crate opens no files.

mod read;
mod write;

pub use read::{read, ReadError};
pub use write::{write, Writer};

use pearfork_rulecheck::TraceEvent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the record format; no other version can be read.
pub const FORMAT: u32 = 1;
/// Maximum length of a line in bytes. The header holds all settings, including matching rules of thousands of
/// rows.
pub const MAX_LINE: usize = 16 << 20;
/// Maximum number of trace events that are read, about those of a run of one hour on loopback.
pub const MAX_EVENTS: usize = 20_000_000;

/// The first line of a record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordHeader {
    /// Version of the format, [`FORMAT`].
    pub pearfork_record: u32,
    /// Name of the scenario.
    pub name: String,
    /// Number of hosts.
    pub hosts: u16,
    /// Time during which clients offered load, in milliseconds.
    pub length_ms: f64,
    /// Maximum delay between an event and its recording, in milliseconds.
    pub margin_ms: f64,
    /// Start of the run, in milliseconds since the Unix epoch.
    pub began_ms: f64,
    /// The hosts' resolved settings: one text that refers to no other file.
    pub settings: String,
}

/// An event of the scenario, such as the begin or end of a fault.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioEvent {
    /// Time in microseconds since the recording began.
    pub at_us: u64,
    /// Description of the event.
    #[serde(rename = "words")]
    pub text: String,
}

/// A host's own counts of a class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostClassCounts {
    /// Number of the host.
    pub host: u16,
    /// Name of the class.
    pub class: String,
    /// Commands that the host accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Commands that were served.
    pub served: u64,
    /// Served commands that took longer than the aim.
    pub late: u64,
    /// Commands that were refused.
    pub refused: u64,
    /// Commands that failed.
    pub failed: u64,
    /// Commands that were aborted by their clients, or whose clients disconnected.
    pub abandoned: u64,
    /// Refusals and failures by the scheduler's reason.
    #[serde(default)]
    pub reasons: BTreeMap<String, u64>,
}

/// The content of a record.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recording {
    /// The first line.
    pub header: RecordHeader,
    /// Events of the scenario.
    pub scenario_events: Vec<ScenarioEvent>,
    /// Messages on the sockets and events of the fake nodes and hosts, in the order of their times.
    pub events: Vec<TraceEvent>,
    /// The hosts' own counts.
    pub host_counts: Vec<HostClassCounts>,
    /// Whether the trailer is present and matches the lines before it.
    pub complete: bool,
}

/// A line of a record.
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

/// The last line of a record.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Trailer {
    /// Number of lines before the trailer.
    lines: u64,
    /// CRC32C (Castagnoli) of the bytes of these lines, including line ends.
    crc32c: u32,
}
