//! Explains which class, plan and key the matching rules give a request.

use pearfork_host::settings::HostSettings;
use pearfork_match::{RowTrace, Span};
use pearfork_scsi::{MediaCommand, MediaOp};
use serde::Serialize;
use std::fmt::Write;

/// Maximum number of rows that are shown without `--all`.
const MAX_SHOWN_ROWS: usize = 40;

/// The request to be explained.
#[derive(clap::Args)]
pub struct RequestArguments {
    /// Operation: read, write, verify, flush or compare-and-write.
    #[arg(long)]
    op: String,
    /// First block.
    #[arg(long, default_value_t = 0)]
    lba: u64,
    /// Number of blocks.
    #[arg(long, default_value_t = 8)]
    blocks: u32,
    /// Name of the volume; the default is the first one of the settings.
    #[arg(long)]
    volume: Option<String>,
    /// Name of the initiator.
    #[arg(long, default_value = "")]
    initiator: String,
    /// GROUP NUMBER of the CDB.
    #[arg(long, default_value_t = 0)]
    group: u8,
    /// Force unit access.
    #[arg(long)]
    fua: bool,
    /// Time of day, such as `90min` or `22h`.
    #[arg(long, default_value = "0s")]
    time: pearfork_host::units::Span,
    /// Show all rows that were evaluated.
    #[arg(long)]
    all: bool,
}

/// The class, plan and key of a request.
#[derive(Serialize)]
pub struct RequestExplanation {
    /// Name of the class or route.
    pub class: String,
    /// Name of the plan.
    pub plan: String,
    /// Key, where the rules give one.
    pub key: Option<u64>,
    /// Steps that the rules took to find the class.
    pub steps: u64,
    /// Maximum number of steps of any request, including its plan and key.
    pub worst_steps: u64,
    /// Explanation of the result.
    #[serde(rename = "words")]
    pub text: String,
}

/// Explains how the rules classify a request.
///
/// # Errors
/// There is no such volume or operation.
pub fn explain(settings: &HostSettings, arguments: &RequestArguments) -> Result<RequestExplanation, String> {
    let is_selected = |name: &str| arguments.volume.as_deref().is_none_or(|selected| selected == name);
    let volume = settings.volumes.iter().find(|volume| is_selected(&volume.name));
    let volume = volume
        .ok_or_else(|| format!("there is no volume `{}`", arguments.volume.as_deref().unwrap_or("")))?;
    let op = match arguments.op.as_str() {
        "read" => MediaOp::Read,
        "write" => MediaOp::Write,
        "verify" => MediaOp::Verify { compare: false },
        "flush" => MediaOp::Flush,
        "compare-and-write" => MediaOp::CompareAndWrite,
        other => {
            return Err(format!(
                "unknown operation `{other}`: expected read, write, verify, flush or compare-and-write"
            ))
        }
    };
    let command = MediaCommand {
        op,
        lba: arguments.lba,
        blocks: arguments.blocks,
        fua: arguments.fua,
        group: arguments.group,
    };
    let fields = settings.fields_of(volume, &command, &arguments.initiator, arguments.time.ms());
    let explanation = settings.matching.rules().explain(&fields);
    let mut text = String::new();
    for (name, value) in &explanation.lets {
        let _ = writeln!(text, "let {name} = {value}");
    }
    let shown_count = if arguments.all { explanation.rows.len() } else { MAX_SHOWN_ROWS };
    let hidden_count = explanation.rows.len().saturating_sub(shown_count);
    if hidden_count > 0 {
        let _ = writeln!(text, "{hidden_count} earlier rows do not match; --all shows them");
    }
    for row in &explanation.rows[hidden_count..] {
        write_row(&mut text, row, |span| settings.matching.source_at(span));
    }
    let class = settings.class_names[usize::from(settings.matching.class_of(&fields))].clone();
    let plan_index = usize::from(settings.matching.plan_of(&fields).unwrap_or(volume.plan));
    let (name, key) = (settings.plan_names[plan_index].clone(), settings.matching.key_of(&fields));
    let key_text = key.map_or("its extent".to_owned(), |k| k.to_string());
    let (steps, worst_steps) = (explanation.steps, settings.matching.rules().worst_steps());
    let _ = writeln!(text, "class {class}, plan {name}, key {key_text}");
    let _ = writeln!(
        text,
        "steps for the class: {steps}; maximum of any request, including plan and key: {worst_steps}"
    );
    Ok(RequestExplanation { class, plan: name, key, steps, worst_steps, text })
}

fn write_row<'a>(output: &mut String, row: &RowTrace, source_at: impl Fn(Span) -> (usize, &'a str)) {
    let (line, _) = source_at(row.span);
    let verdict = if row.matched { "matches" } else { "does not match" };
    let _ = writeln!(output, "line {line}: class \"{}\" {verdict}, {} steps", row.class, row.steps);
    for test in &row.tests {
        let (_, text) = source_at(test.span);
        let _ = match &test.operands[..] {
            [] => writeln!(output, "    {:<5}  {text}", test.outcome),
            [one] => writeln!(output, "    {:<5}  {text}    of {one}", test.outcome),
            all => writeln!(output, "    {:<5}  {text}    of {}", test.outcome, all.join(" and ")),
        };
    }
}
