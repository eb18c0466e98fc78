//! `pearfork-trial`: runs scenarios whose hosts are separate processes.

use clap::{Parser, Subcommand};
use pearfork_cli::{CommonArguments, Exit, SettingsArguments};
use pearfork_day::scenario::Scenario;
use pearfork_day::summary::Summary;
use pearfork_day::{load_inputs, run_scenario};
use pearfork_host::settings::HostSettings;
use pearfork_trial::{draw_schedule, shrink_schedule, HostProcesses, ProcessConfig};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs scenarios with each host in its own process, and kills or stops processes, cuts links and fills
/// disks. Exit codes: 0 no violation, 1 a violation, 2 a scenario could not be run. With `--json` the last
/// line is one JSON object.
#[derive(Parser)]
#[command(name = "pearfork-trial", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// Program that the hosts run; by default `pearfork-gateway` in the folder of this program
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Folder in which the logs and files of the hosts are kept; by default they are deleted after the run
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Rate of a host's clock as HOST=RATE; may be repeated
    #[arg(long)]
    clock: Vec<String>,
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
    /// Run a scenario
    Play {
        /// Scenario file
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Run the built-in scenario, in which the load of a volume with a limit moves from host to host
    Demo,
    /// Run a scenario with random faults in place of its own, and shrink the faults of a run that has a
    /// violation
    Search {
        /// Scenario file, of which the length, nodes and clients are used
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
        /// First seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of seeds
        #[arg(long, default_value_t = 5)]
        plays: u64,
        /// Number of faults in each run
        #[arg(long, default_value_t = 8)]
        troubles: usize,
    },
}

/// The built-in scenario and the settings of its hosts.
const DEMO: (&str, &str) = (include_str!("../days/moves.toml"), include_str!("../days/hosts.toml"));

/// The result of a run.
#[derive(Serialize)]
struct RunReport<'a> {
    day: &'a str,
    seed: u64,
    broken: Vec<String>,
    nearest: BTreeMap<String, f64>,
    served: u64,
    refused: u64,
}

/// A progress message of a run.
#[derive(Serialize)]
struct Progress<'a> {
    at_s: f64,
    words: &'a str,
}

fn main() -> ExitCode {
    pearfork_cli::run(work)
}

fn work(a: Arguments) -> Result<Exit, String> {
    match &a.command {
        Command::Play { day, settings } => {
            let (text, host_settings) = load_inputs(day, settings)?;
            let settings = host_settings.provenance.resolved();
            let scenario = Scenario::from_toml(&text).map_err(|e| format!("{}: {e}", day.display()))?;
            let passed = run_once(&a, &day.display().to_string(), &scenario, &host_settings, settings, true)?;
            Ok(if passed { Exit::Success } else { Exit::Negative })
        }
        Command::Demo => {
            let host_settings = HostSettings::from_toml(DEMO.1).map_err(|e| format!("settings:\n{e}"))?;
            let scenario = Scenario::from_toml(DEMO.0).map_err(|e| e.to_string())?;
            let passed = run_once(&a, "demo", &scenario, &host_settings, DEMO.1, true)?;
            Ok(if passed { Exit::Success } else { Exit::Negative })
        }
        Command::Search { day, settings, seed, plays, troubles } => {
            let (text, host_settings) = load_inputs(day, settings)?;
            let settings = host_settings.provenance.resolved();
            let mut scenario = Scenario::from_toml(&text).map_err(|e| format!("{}: {e}", day.display()))?;
            let voters = host_settings.fleet.as_ref().map_or(1, |f| f.voters.len() as u16);
            scenario.expectations.clear();
            let mut exit = Exit::Success;
            for seed in *seed..seed.saturating_add(*plays) {
                scenario.run.seed = seed;
                scenario.events =
                    draw_schedule(seed, scenario.run.hosts, voters, scenario.run.length, *troubles);
                if run_once(&a, &format!("seed {seed}"), &scenario, &host_settings, settings, false)? {
                    continue;
                }
                exit = Exit::Negative;
                let mut smaller = scenario.clone();
                let shrunk = shrink_schedule(scenario.events.clone(), |events| {
                    smaller.events = events.to_vec();
                    // A failure may not occur in every run. A fault is removed only if a run without it still
                    // fails.
                    run_once(&a, "smaller", &smaller, &host_settings, settings, false)
                        .is_ok_and(|passed| !passed)
                });
                let faults: Vec<String> = shrunk.iter().map(|e| format!("{e:?}")).collect();
                a.common.output.print(
                    &faults,
                    &format!("seed {seed} fails with these faults:\n  {}\n", faults.join("\n  ")),
                );
            }
            Ok(exit)
        }
    }
}

/// Runs a scenario once and reports the result. Returns whether it had no violation.
fn run_once(
    a: &Arguments,
    name: &str,
    scenario: &Scenario,
    host_settings: &HostSettings,
    settings: &str,
    verbose: bool,
) -> Result<bool, String> {
    let output = a.common.output;
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let default_gateway =
        std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("pearfork-gateway");
    let mut clocks = BTreeMap::new();
    for c in &a.clock {
        let parsed = c.split_once('=').and_then(|(h, r)| Some((h.parse().ok()?, r.parse().ok()?)));
        let (host, rate) =
            parsed.ok_or_else(|| format!("--clock {c}: expected HOST=RATE, for example 2=1.2"))?;
        clocks.insert(host, rate);
    }
    let config = ProcessConfig {
        gateway: a.gateway.clone().unwrap_or(default_gateway),
        settings: settings.to_owned(),
        folder: a.keep.clone().unwrap_or_else(|| scratch.path().to_owned()),
        clocks,
    };
    let on_progress = |at: Duration, words: &str| {
        if verbose {
            let at_s = at.as_secs_f64();
            output.print(&Progress { at_s, words }, &format!("{at_s:6.2} s  {words}\n"));
        }
    };
    let mut runner = HostProcesses::new(config);
    if verbose {
        runner.on_host_ready(move |host, at| {
            let words = format!("host {host}: http://{at}/fleet");
            output.print(&Progress { at_s: 0.0, words: &words }, &format!("        {words}\n"));
        });
    }
    let result =
        run_scenario(scenario, host_settings, &mut runner, on_progress).map_err(|e| e.to_string())?;
    let summary = Summary::new(&result);
    if verbose {
        output.print(&summary, &summary.render(output));
    }
    let mut broken: Vec<String> = summary.rules.iter().flat_map(|r| r.words.clone()).collect();
    broken.extend(summary.stale.iter().cloned());
    broken.extend(
        summary.collapsed_nodes.iter().map(|n| format!("node {n} crashed under overload while cold")),
    );
    broken.extend(summary.expectations.iter().filter(|e| !e.met).map(|e| {
        format!(
            "{}: {:.1} % of its limit from {} to {} s",
            e.volume,
            e.measured * 100.0,
            e.window_s.0,
            e.window_s.1
        )
    }));
    let nearest = summary.rules.iter().filter_map(|r| Some((r.rule.clone(), r.nearest?))).collect();
    let report = RunReport {
        day: name,
        seed: scenario.run.seed,
        broken,
        nearest,
        served: result.clients.iter().map(|(_, t)| t.served).sum(),
        refused: result.clients.iter().map(|(_, t)| t.refused).sum(),
    };
    let verdict =
        if report.broken.is_empty() { "no violation".to_owned() } else { report.broken.join("\n  ") };
    output.print(&report, &format!("{name}, seed {}: {verdict}\n", report.seed));
    Ok(summary.passed)
}
