//! Scripted days on loopback: nodes, hosts and clients, troubles at their times, and the proof of the seven rules.
//!
//! [`script`] is the day as a file, [`play()`] plays it with a [`crew`] that runs its hosts, [`figures`] puts what the hosts are told into the words of the
//! checker of rules, [`judge()`] judges a record, [`summary`] says what came of it.

pub mod expectations;
pub mod host_runner;
mod rule_check;
pub mod rule_parameters;
mod run;
pub mod scenario;
pub mod summary;

pub use rule_check::{check_notes, check_recording, RuleCheck, RuleCheckError};
pub use run::{run_scenario, FaultPeriod, RunError, RunResult};

use pearfork_cli::SettingsArguments;
use pearfork_host::settings::HostSettings;
use std::path::Path;

/// A short bad day, and the settings of its hosts: what the demo plays.
pub const DEMO: (&str, &str) =
    (include_str!("../days/bad-day.toml"), include_str!("../days/bad-day-hosts.toml"));

/// A day's text and the plan of its hosts, as a command line names them. What the operator is to be told of the settings goes
/// to standard error.
///
/// # Errors
/// A file that can't be read, or settings that are refused, in words.
pub fn load_inputs(day: &Path, settings: &SettingsArguments) -> Result<(String, HostSettings), String> {
    let text = std::fs::read_to_string(day).map_err(|e| format!("{}: {e}", day.display()))?;
    let plan = HostSettings::load_with(&settings.config, &settings.overrides())
        .map_err(|e| format!("the settings are refused\n{e}"))?;
    plan.warnings.iter().for_each(|w| eprintln!("{w}"));
    Ok((text, plan))
}
