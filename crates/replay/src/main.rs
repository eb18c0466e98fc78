//! `pearfork-replay`: checks the seven rules against recorded scenario runs.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit, Highlight};
use pearfork_day::summary::rules_table;
use pearfork_replay::{read_file, replay};
use std::path::PathBuf;
use std::process::ExitCode;

/// Check the seven rules against records written by `pearfork-day --record`. Exit codes: 0 no rule is broken,
/// 1 a rule is broken, 2 a record can't be checked.
#[derive(Parser)]
#[command(name = "pearfork-replay", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// The record files.
    #[arg(required = true)]
    records: Vec<PathBuf>,
    /// Check truncated records as well. Commands whose final answers are missing from them look like
    /// violations.
    #[arg(long)]
    cut_off: bool,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

fn main() -> ExitCode {
    pearfork_cli::run(|a: Arguments| run(&a))
}

fn run(a: &Arguments) -> Result<Exit, String> {
    let output = a.common.output;
    let mut worst_exit = Exit::Success;
    for path in &a.records {
        let recording = read_file(path)?;
        if !recording.complete && !a.cut_off {
            return Err(format!(
                "{}: truncated after {} events; --cut-off checks the part that is there",
                path.display(),
                recording.events.len()
            ));
        }
        let result = replay(&recording).map_err(|e| format!("{}: {e}", path.display()))?;
        let truncation = if result.complete { "" } else { ", truncated" };
        let heading = format!(
            "{}: {}, {} hosts, {} events{truncation}",
            path.display(),
            result.name,
            result.hosts,
            result.events
        );
        let text = format!(
            "{}\n{}",
            output.highlight(Highlight::Heading, &heading),
            rules_table(&result.rules, output)
        );
        output.print(&result, &text);
        worst_exit = worst_exit.max(if result.passed { Exit::Success } else { Exit::Negative });
    }
    Ok(worst_exit)
}
