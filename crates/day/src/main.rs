//! `pearfork-day`: runs a scenario on loopback, records it, and checks the seven rules.

use clap::{Parser, Subcommand};
use pearfork_cli::{CommonArguments, Exit, SettingsArguments};
use pearfork_day::host_runner::InProcessRunner;
use pearfork_day::scenario::Scenario;
use pearfork_day::summary::Summary;
use pearfork_day::{load_inputs, run_scenario, DEMO};
use pearfork_host::settings::HostSettings;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Runs scenarios with faults on loopback, and checks the seven rules against the traffic on the sockets.
/// Exit codes: 0 success, 1 a rule was violated, a block was stale, a node crashed or an expectation was not
/// met, 2 the scenario could not be run.
#[derive(Parser)]
#[command(name = "pearfork-day", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    #[command(subcommand)]
    command: Command,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario.
    Play {
        /// Scenario file.
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
        /// Write a recording to this file, for `pearfork-replay` and `pearfork-report`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Run the short scenario with faults that is built into the program.
    Demo {
        /// Write a recording to this file.
        #[arg(long)]
        record: Option<PathBuf>,
    },
}

#[derive(Serialize)]
struct Progress<'a> {
    at_s: f64,
    words: &'a str,
}

fn main() -> ExitCode {
    pearfork_cli::run(run_command)
}

fn run_command(arguments: Arguments) -> Result<Exit, String> {
    match &arguments.command {
        Command::Play { day, settings, record } => {
            let (text, host_settings) = load_inputs(day, settings)?;
            run(&day.display().to_string(), &text, &host_settings, record.as_deref(), &arguments.common)
        }
        Command::Demo { record } => {
            HostSettings::from_toml(DEMO.1).map_err(|e| format!("invalid settings:\n{e}")).and_then(
                |host_settings| run("demo", DEMO.0, &host_settings, record.as_deref(), &arguments.common),
            )
        }
    }
}

fn run(
    name: &str,
    text: &str,
    host_settings: &HostSettings,
    record: Option<&Path>,
    common: &CommonArguments,
) -> Result<Exit, String> {
    let output = common.output;
    let scenario = Scenario::from_toml(text).map_err(|e| format!("{name}: {e}"))?;
    // The file is created first, so that a path that cannot be written is reported before the run and not
    // after it.
    let file = record
        .map(|path| std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display())))
        .transpose()?;
    let print_progress = |at: Duration, words: &str| {
        let at_s = at.as_secs_f64();
        output.print(&Progress { at_s, words }, &format!("{at_s:6.2} s  {words}\n"));
    };
    print_progress(
        Duration::ZERO,
        &format!(
            "{} nodes, {} hosts, {} groups of clients, {} events, {:.0} s",
            scenario.nodes.count,
            scenario.run.hosts,
            scenario.clients.len(),
            scenario.events.len(),
            scenario.run.length.ms() / 1_000.0
        ),
    );
    let result = run_scenario(&scenario, host_settings, &mut InProcessRunner::default(), print_progress)
        .map_err(|e| e.to_string())?;
    let summary = Summary::new(&result);
    output.print(&summary, &summary.render(output));
    if let (Some(file), Some(path)) = (file, record) {
        let recording = result.recording(name, &scenario, host_settings);
        pearfork_record::write(std::io::BufWriter::new(file), &recording)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(if summary.passed { Exit::Success } else { Exit::Negative })
}
