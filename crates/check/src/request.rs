//! What the matching rules say of a request, in words.

use pearfork_host::settings::HostSettings;
use pearfork_match::{RowTrace, Span};
use pearfork_scsi::{MediaCommand, MediaOp};
use serde::Serialize;
use std::fmt::Write;

/// Rows that are shown where more were tried.
const MOST_ROWS: usize = 40;

/// A request to be explained.
#[derive(clap::Args)]
pub struct Asked {
    /// read, write, verify, flush or compare-and-write.
    #[arg(long)]
    op: String,
    /// First block.
    #[arg(long, default_value_t = 0)]
    lba: u64,
    /// Blocks.
    #[arg(long, default_value_t = 8)]
    blocks: u32,
    /// Name of the volume; the first of the file where absent.
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
    /// Show every row that was tried, however many.
    #[arg(long)]
    all: bool,
}

/// What a request would get.
#[derive(Serialize)]
pub struct Answer {
    /// Class or route.
    pub class: String,
    /// Plan.
    pub plan: String,
    /// Key, where the rules give one.
    pub key: Option<u64>,
    /// Steps for its class.
    pub steps: u64,
    /// Steps of any request with plan and key, at the most.
    pub worst_steps: u64,
    /// How the rules came to it, in words.
    pub words: String,
}

/// How the rules come to their answer.
///
/// # Errors
/// A volume or operation that there is not.
pub fn explain(plan: &HostSettings, asked: &Asked) -> Result<Answer, String> {
    let named = |name: &str| asked.volume.as_deref().is_none_or(|asked| asked == name);
    let found = plan.volumes.iter().find(|v| named(&v.name));
    let v = found.ok_or_else(|| format!("there is no volume `{}`", asked.volume.as_deref().unwrap_or("")))?;
    let op = match asked.op.as_str() {
        "read" => MediaOp::Read,
        "write" => MediaOp::Write,
        "verify" => MediaOp::Verify { compare: false },
        "flush" => MediaOp::Flush,
        "compare-and-write" => MediaOp::CompareAndWrite,
        other => return Err(format!("`{other}` is no operation")),
    };
    let media = MediaCommand { op, lba: asked.lba, blocks: asked.blocks, fua: asked.fua, group: asked.group };
    let fields = plan.fields_of(v, &media, &asked.initiator, asked.time.ms());
    let explained = plan.matching.rules().explain(&fields);
    let mut out = String::new();
    for (name, value) in &explained.lets {
        let _ = writeln!(out, "let {name} = {value}");
    }
    let shown = if asked.all { explained.rows.len() } else { MOST_ROWS };
    let hidden = explained.rows.len().saturating_sub(shown);
    if hidden > 0 {
        let _ = writeln!(out, "{hidden} rows before these do not match; --all shows them");
    }
    for tried in &explained.rows[hidden..] {
        row(&mut out, tried, |span| plan.matching.source_at(span));
    }
    let class = plan.class_names[usize::from(plan.matching.class_of(&fields))].clone();
    let plan_number = usize::from(plan.matching.plan_of(&fields).unwrap_or(v.plan));
    let (name, key) = (plan.plan_names[plan_number].clone(), plan.matching.key_of(&fields));
    let key_words = key.map_or("its extent".to_owned(), |k| k.to_string());
    let (steps, worst_steps) = (explained.steps, plan.matching.rules().worst_steps());
    let _ = writeln!(out, "class {class}, plan {name}, key {key_words}");
    let _ = writeln!(
        out,
        "steps for the class: {steps}; for any request, with plan and key: {worst_steps} at most"
    );
    Ok(Answer { class, plan: name, key, steps, worst_steps, words: out })
}

fn row<'a>(out: &mut String, tried: &RowTrace, written: impl Fn(Span) -> (usize, &'a str)) {
    let (line, _) = written(tried.span);
    let verdict = if tried.matched { "matches" } else { "does not match" };
    let _ = writeln!(out, "line {line}: class \"{}\" {verdict}, {} steps", tried.class, tried.steps);
    for test in &tried.tests {
        let (_, text) = written(test.span);
        let _ = match &test.operands[..] {
            [] => writeln!(out, "    {:<5}  {text}", test.outcome),
            [one] => writeln!(out, "    {:<5}  {text}    of {one}", test.outcome),
            all => writeln!(out, "    {:<5}  {text}    of {}", test.outcome, all.join(" and ")),
        };
    }
}
