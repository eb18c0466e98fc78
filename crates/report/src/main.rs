//! `pearfork-report`: a report of a recorded day.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit};
use pearfork_replay::read_file;
use pearfork_report::report::account;
use pearfork_report::page;
use std::path::PathBuf;
use std::process::ExitCode;

/// A report of a record that `pearfork-day --record` wrote: text or JSON on standard output, or a page that needs no
/// network. Exit codes: 0 fine, 1 a rule was broken in it, 2 it can't be read or the page can't be written.
#[derive(Parser)]
#[command(name = "pearfork-report", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// The record.
    record: PathBuf,
    /// Write a page here.
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
    let account = account(&recording).map_err(|e| format!("{}: {e}", a.record.display()))?;
    match &a.html {
        Some(path) => {
            let page = page::html(&account).map_err(|e| e.to_string())?;
            std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        None => a.common.output.print(&account, &page::text(&account).map_err(|e| e.to_string())?),
    }
    Ok(if account.kept { Exit::Success } else { Exit::Negative })
}
