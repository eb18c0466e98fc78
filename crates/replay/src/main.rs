//! `pearfork-replay`: proves the seven rules from recorded days.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit, Highlight};
use pearfork_day::summary::rules_table;
use pearfork_replay::{read_file, replay};
use std::path::PathBuf;
use std::process::ExitCode;

/// Proves the seven rules from records that `pearfork-day --record` wrote. Exit codes: 0 all rules kept, 1 one was broken, 2
/// a record can't be judged.
#[derive(Parser)]
#[command(name = "pearfork-replay", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Records.
    #[arg(required = true)]
    records: Vec<PathBuf>,
    /// Judge a record that was cut off as far as it goes. What it does not hold looks like a broken promise.
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
    let mut end = Exit::Success;
    for path in &a.records {
        let recording = read_file(path)?;
        if !recording.complete && !a.cut_off {
            return Err(format!(
                "{}: was cut off after {} notes; --cut-off judges it as far as it goes",
                path.display(),
                recording.events.len()
            ));
        }
        let told = replay(&recording).map_err(|e| format!("{}: {e}", path.display()))?;
        let cut = if told.complete { "" } else { ", cut off" };
        let head =
            format!("{}: {}, {} hosts, {} notes{cut}", path.display(), told.name, told.hosts, told.notes);
        let words =
            format!("{}\n{}", output.highlight(Highlight::Heading, &head), rules_table(&told.rules, output));
        output.print(&told, &words);
        end = end.max(if told.kept { Exit::Success } else { Exit::Negative });
    }
    Ok(end)
}
