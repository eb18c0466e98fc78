//! Judges a recorded day again. The rules are those of `pearfork-rulecheck`, the settings those in the record.

use pearfork_day::check_recording;
use pearfork_day::summary::{rule_summaries, RuleSummary};
use pearfork_record::{read, Recording};
use serde::Serialize;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// What a record tells.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayResult {
    /// What was played.
    pub name: String,
    /// Hosts that took part.
    pub hosts: u16,
    /// Notes in the record.
    pub notes: usize,
    /// Whether it is whole. One that was cut off may hold commands whose answers it does not hold.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether all rules were kept.
    pub kept: bool,
    /// The seven rules.
    pub rules: Vec<RuleSummary>,
}

/// Reads a record file.
///
/// # Errors
/// The file and line, in words.
pub fn read_file(path: &Path) -> Result<Recording, String> {
    let name = path.display();
    let file = File::open(path).map_err(|e| format!("{name}: {e}"))?;
    read(BufReader::new(file)).map_err(|e| format!("{name}: {e}"))
}

/// Judges a record.
///
/// # Errors
/// Its settings make no plan, in words.
pub fn replay(recording: &Recording) -> Result<ReplayResult, String> {
    let report = check_recording(recording).map_err(|e| e.to_string())?.report;
    Ok(ReplayResult {
        name: recording.header.name.clone(),
        hosts: recording.header.hosts,
        notes: recording.events.len(),
        complete: recording.complete,
        kept: report.passed(),
        rules: rule_summaries(&report),
    })
}
