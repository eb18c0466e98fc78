//! Checks a recording against the seven rules, with the settings that it holds.

use crate::rule_parameters;
use pearfork_host::settings::{HostSettings, HostSettingsErrors};
use pearfork_record::Recording;
use pearfork_rulecheck::trace::Trace;
use pearfork_rulecheck::{check_trace, Report, RuleParameters, TraceEvent};
use pearfork_scsi::decode_lun;

/// Why a recording cannot be checked.
#[derive(Debug, thiserror::Error)]
pub enum RuleCheckError {
    /// This version rejects the settings in the recording.
    #[error("this version rejects the settings in the recording:\n{0}")]
    Settings(#[from] HostSettingsErrors),
}

/// Result of a check.
#[derive(Debug)]
pub struct RuleCheck {
    /// Findings by rule.
    pub report: Report,
    /// Commands and attempts, reconstructed from the events.
    pub trace: Trace,
    /// Parameters of the check.
    pub parameters: RuleParameters,
}

/// Checks the events of hosts with the given settings. Each volume must have its own unit number, as
/// scenarios require.
pub fn check_events(events: &[TraceEvent], settings: &HostSettings, parameters: RuleParameters) -> RuleCheck {
    let volume_of = |_: u16, lun: u64| {
        let unit = decode_lun(lun)?;
        settings.volumes.iter().find(|v| v.lun == unit).map(|v| v.id.0)
    };
    let trace = Trace::from_events(events, &parameters, &volume_of);
    RuleCheck { report: check_trace(events, &trace, &parameters), trace, parameters }
}

/// Checks a recording with the settings in its header.
///
/// # Errors
/// Returns an error if the settings are invalid.
pub fn check_recording(recording: &Recording) -> Result<RuleCheck, RuleCheckError> {
    let settings = HostSettings::from_toml(&recording.header.settings)?;
    let parameters =
        rule_parameters::from_settings(&settings, recording.header.margin_ms, recording.header.began_ms);
    Ok(check_events(&recording.events, &settings, parameters))
}
