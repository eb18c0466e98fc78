//! Judges a record by the settings that it holds.

use crate::figures;
use pearfork_host::settings::{HostPlan, SettingsFaults};
use pearfork_record::Recording;
use pearfork_rulecheck::{check, Figures, Note, Report};
use pearfork_scsi::unit_of;

/// A record that can't be judged.
#[derive(Debug, thiserror::Error)]
pub enum JudgeError {
    /// The settings that it was played with are refused by this version.
    #[error("the settings in the record are refused\n{0}")]
    Settings(#[from] SettingsFaults),
}

/// The seven rules over notes of hosts with a plan. In a day each volume has a unit number of its own.
pub fn judge_notes(notes: &[Note], plan: &HostPlan, figures: &Figures) -> Report {
    let volume_of = |_: u16, lun: u64| {
        let unit = unit_of(lun)?;
        plan.volumes.iter().find(|v| v.unit_number == unit).map(|v| v.id.0)
    };
    check(notes, figures, &volume_of)
}

/// The seven rules over a record, with the plan and the figures that they were judged by.
///
/// # Errors
/// Its settings make no plan.
pub fn judge(recording: &Recording) -> Result<(Report, HostPlan, Figures), JudgeError> {
    let plan = HostPlan::from_toml(&recording.head.settings)?;
    let figures = figures::of_plan(&plan, recording.head.margin_ms, recording.head.began_ms);
    Ok((judge_notes(&recording.notes, &plan, &figures), plan, figures))
}
