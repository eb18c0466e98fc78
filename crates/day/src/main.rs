//! `pearfork-day`: plays a scripted day on loopback, records it, and proves the seven rules.

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

/// Plays scripted days of troubles on loopback, and proves the seven rules from what passed over the sockets. Exit
/// codes: 0 fine, 1 a rule was broken, a block was stale or a node fell over, 2 nothing could be played.
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
    /// Play a day.
    Play {
        /// The day.
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
        /// Write the record here, for `pearfork-replay` and `pearfork-report`.
        #[arg(long)]
        record: Option<PathBuf>,
    },
    /// Play the short bad day that comes with the program.
    Demo {
        /// Write the record here.
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
    pearfork_cli::run(work)
}

fn work(arguments: Arguments) -> Result<Exit, String> {
    match &arguments.command {
        Command::Play { day, settings, record } => {
            let (text, plan) = load_inputs(day, settings)?;
            run(&day.display().to_string(), &text, &plan, record.as_deref(), &arguments.common)
        }
        Command::Demo { record } => HostSettings::from_toml(DEMO.1)
            .map_err(|e| format!("settings:\n{e}"))
            .and_then(|plan| run("demo", DEMO.0, &plan, record.as_deref(), &arguments.common)),
    }
}

fn run(
    name: &str,
    day: &str,
    plan: &HostSettings,
    record: Option<&Path>,
    common: &CommonArguments,
) -> Result<Exit, String> {
    let output = common.output;
    let day = Scenario::from_toml(day).map_err(|e| format!("{name}: {e}"))?;
    // A place that can't be written is told before the day is played, not after.
    let file = record
        .map(|path| std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display())))
        .transpose()?;
    let told = |at: Duration, words: &str| {
        let at_s = at.as_secs_f64();
        output.print(&Progress { at_s, words }, &format!("{at_s:6.2} s  {words}\n"));
    };
    told(
        Duration::ZERO,
        &format!(
            "{} nodes, {} hosts, {} kinds of clients, {} troubles, {:.0} s",
            day.nodes.count,
            day.run.hosts,
            day.clients.len(),
            day.events.len(),
            day.run.length.ms() / 1_000.0
        ),
    );
    let result =
        run_scenario(&day, plan, &mut InProcessRunner::default(), told).map_err(|e| e.to_string())?;
    let summary = Summary::new(&result);
    output.print(&summary, &summary.render(output));
    if let (Some(file), Some(path)) = (file, record) {
        let recording = result.recording(name, &day, plan);
        pearfork_record::write(std::io::BufWriter::new(file), &recording)
            .map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(if summary.passed { Exit::Success } else { Exit::Negative })
}
