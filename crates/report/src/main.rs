//! `pearfork-report`: reports on a recorded scenario run.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit};
use pearfork_replay::read_file;
use pearfork_report::page;
use pearfork_report::report::build_report;
use std::path::PathBuf;
use std::process::ExitCode;

/// Report on a record written by `pearfork-day --record`: text or JSON on standard output, or a
/// self-contained HTML page. Exit codes: 0 no rule is broken, 1 a rule is broken, 2 the record can't be read
/// or the page can't be written.
#[derive(Parser)]
#[command(name = "pearfork-report", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// The record file.
    record: PathBuf,
    /// Write an HTML page to this file.
    #[arg(long)]
    html: Option<PathBuf>,
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
    let recording = read_file(&a.record)?;
    let report = build_report(&recording).map_err(|e| format!("{}: {e}", a.record.display()))?;
    match &a.html {
        Some(path) => {
            let page = page::html(&report).map_err(|e| e.to_string())?;
            std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        None => a.common.output.print(&report, &page::text(&report).map_err(|e| e.to_string())?),
    }
    Ok(if report.passed { Exit::Success } else { Exit::Negative })
}
