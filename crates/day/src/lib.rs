//! Scenario runner on loopback: runs nodes, hosts and clients, injects faults at scheduled times, and checks
//! the seven rules.
//!
//! [`scenario`] parses scenario files, [`run_scenario()`] runs one with a [`host_runner`],
//! [`rule_parameters`] derives the parameters of the rule checker from the settings of the hosts,
//! [`check_recording()`] checks a recording, [`summary`] reports the result.

pub mod expectations;
pub mod host_runner;
mod rule_check;
pub mod rule_parameters;
mod run;
pub mod scenario;
pub mod summary;

pub use rule_check::{check_events, check_recording, RuleCheck, RuleCheckError};
pub use run::{run_scenario, FaultPeriod, RunError, RunResult};

use pearfork_cli::SettingsArguments;
use pearfork_host::settings::HostSettings;
use std::path::Path;

/// Text of a short scenario with faults, and of the settings of its hosts: both are used by the demo.
pub const DEMO: (&str, &str) =
    (include_str!("../days/bad-day.toml"), include_str!("../days/bad-day-hosts.toml"));

/// Reads the text of a scenario and the settings of its hosts, as named on a command line. Warnings about the
/// settings are printed to standard error.
///
/// # Errors
/// Returns a message if a file cannot be read or the settings are invalid.
pub fn load_inputs(scenario: &Path, settings: &SettingsArguments) -> Result<(String, HostSettings), String> {
    let text = std::fs::read_to_string(scenario).map_err(|e| format!("{}: {e}", scenario.display()))?;
    let host_settings = HostSettings::load_with(&settings.config, &settings.overrides())
        .map_err(|e| format!("invalid settings:\n{e}"))?;
    host_settings.warnings.iter().for_each(|w| eprintln!("{w}"));
    Ok((text, host_settings))
}
