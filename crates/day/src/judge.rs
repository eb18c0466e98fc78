//! Judges a record by the settings that it holds.

use crate::figures;
use pearfork_host::settings::{HostSettings, HostSettingsErrors};
use pearfork_record::Recording;
use pearfork_rulecheck::trace::Trace;
use pearfork_rulecheck::{check_trace, Report, RuleParameters, TraceEvent};
use pearfork_scsi::decode_lun;

/// A record that can't be judged.
#[derive(Debug, thiserror::Error)]
pub enum JudgeError {
    /// The settings that it was played with are refused by this version.
    #[error("the settings in the record are refused\n{0}")]
    Settings(#[from] HostSettingsErrors),
}

/// A record, put together and judged.
#[derive(Debug)]
pub struct Judged {
    /// The seven rules.
    pub report: Report,
    /// Commands and attempts.
    pub trace: Trace,
    /// What they were judged by.
    pub figures: RuleParameters,
}

/// The seven rules over notes of hosts with a plan. In a day each volume has a unit number of its own.
pub fn judge_notes(notes: &[TraceEvent], plan: &HostSettings, figures: RuleParameters) -> Judged {
    let volume_of = |_: u16, lun: u64| {
        let unit = decode_lun(lun)?;
        plan.volumes.iter().find(|v| v.lun == unit).map(|v| v.id.0)
    };
    let trace = Trace::from_events(notes, &figures, &volume_of);
    Judged { report: check_trace(notes, &trace, &figures), trace, figures }
}

/// The seven rules over a record, by the settings in it.
///
/// # Errors
/// They make no plan.
pub fn judge(recording: &Recording) -> Result<Judged, JudgeError> {
    let plan = HostSettings::from_toml(&recording.head.settings)?;
    let figures = figures::of_plan(&plan, recording.head.margin_ms, recording.head.began_ms);
    Ok(judge_notes(&recording.notes, &plan, figures))
}
