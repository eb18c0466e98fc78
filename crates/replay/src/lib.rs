//! Checks the seven rules against a recorded scenario run, with `pearfork-rulecheck` and the settings in the
//! record.

use pearfork_day::check_recording;
use pearfork_day::summary::{rule_summaries, RuleSummary};
use pearfork_record::{read, Recording};
use serde::Serialize;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;

/// Result of checking a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayResult {
    /// Name of the scenario.
    pub name: String,
    /// Number of hosts.
    pub hosts: u16,
    /// Number of trace events in the record.
    #[serde(rename = "notes")]
    pub events: usize,
    /// Whether the record is complete. A truncated one may lack the final answers of commands that it holds.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether no rule was broken.
    #[serde(rename = "kept")]
    pub passed: bool,
    /// The results of the seven rules.
    pub rules: Vec<RuleSummary>,
}

/// Reads a record file.
///
/// # Errors
/// The file can't be opened or a line is invalid; the message names the file and the line.
pub fn read_file(path: &Path) -> Result<Recording, String> {
    let name = path.display();
    let file = File::open(path).map_err(|e| format!("{name}: {e}"))?;
    read(BufReader::new(file)).map_err(|e| format!("{name}: {e}"))
}

/// Checks the rules against a record.
///
/// # Errors
/// The settings in the record are invalid.
pub fn replay(recording: &Recording) -> Result<ReplayResult, String> {
    let report = check_recording(recording).map_err(|e| e.to_string())?.report;
    Ok(ReplayResult {
        name: recording.header.name.clone(),
        hosts: recording.header.hosts,
        events: recording.events.len(),
        complete: recording.complete,
        passed: report.passed(),
        rules: rule_summaries(&report),
    })
}
