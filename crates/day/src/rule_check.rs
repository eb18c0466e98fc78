//! Judges a record by the settings that it holds.

use crate::rule_parameters;
use pearfork_host::settings::{HostSettings, HostSettingsErrors};
use pearfork_record::Recording;
use pearfork_rulecheck::trace::Trace;
use pearfork_rulecheck::{check_trace, Report, RuleParameters, TraceEvent};
use pearfork_scsi::decode_lun;

/// A record that can't be judged.
#[derive(Debug, thiserror::Error)]
pub enum RuleCheckError {
    /// The settings that it was played with are refused by this version.
    #[error("the settings in the record are refused\n{0}")]
    Settings(#[from] HostSettingsErrors),
}

/// A record, put together and judged.
#[derive(Debug)]
pub struct RuleCheck {
    /// The seven rules.
    pub report: Report,
    /// Commands and attempts.
    pub trace: Trace,
    /// What they were judged by.
    pub parameters: RuleParameters,
}

/// The seven rules over notes of hosts with a plan. In a day each volume has a unit number of its own.
pub fn check_notes(notes: &[TraceEvent], plan: &HostSettings, parameters: RuleParameters) -> RuleCheck {
    let volume_of = |_: u16, lun: u64| {
        let unit = decode_lun(lun)?;
        plan.volumes.iter().find(|v| v.lun == unit).map(|v| v.id.0)
    };
    let trace = Trace::from_events(notes, &parameters, &volume_of);
    RuleCheck { report: check_trace(notes, &trace, &parameters), trace, parameters }
}

/// The seven rules over a record, by the settings in it.
///
/// # Errors
/// They make no plan.
pub fn check_recording(recording: &Recording) -> Result<RuleCheck, RuleCheckError> {
    let plan = HostSettings::from_toml(&recording.header.settings)?;
    let parameters =
        rule_parameters::from_settings(&plan, recording.header.margin_ms, recording.header.began_ms);
    Ok(check_notes(&recording.events, &plan, parameters))
}
