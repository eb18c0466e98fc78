//! `pearfork-trial`: plays days whose hosts are processes of their own.

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

/// Plays scripted days with each host in a process of its own: processes are killed and stopped, links cut, disks filled.
/// Exit codes: 0 all held, 1 something broke, 2 nothing could be played. The last line is one JSON object with `--json`.
#[derive(Parser)]
#[command(name = "pearfork-trial", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    /// The program that hosts run; the one beside this program where it is not named.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Keep logs and files of hosts here; otherwise they go when the play is over.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// A host's clock runs at this rate, as HOST=RATE; may be given for several.
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
    /// Play a day.
    Play {
        /// The day.
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
    },
    /// Play the day that comes with the program: the load of a limited volume moves from host to host.
    Demo,
    /// Play a day with troubles drawn from seeds, in place of its own; where one breaks, look for the fewest troubles that do.
    Search {
        /// The day: its length, nodes and clients.
        day: PathBuf,
        #[command(flatten)]
        settings: SettingsArguments,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 5)]
        plays: u64,
        /// Troubles of a day.
        #[arg(long, default_value_t = 8)]
        troubles: usize,
    },
}

/// The day and the settings of its hosts that come with the program.
const DEMO: (&str, &str) = (include_str!("../days/moves.toml"), include_str!("../days/hosts.toml"));

/// What is told at the end.
#[derive(Serialize)]
struct End<'a> {
    day: &'a str,
    seed: u64,
    broken: Vec<String>,
    nearest: BTreeMap<String, f64>,
    served: u64,
    refused: u64,
}

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
            let (text, plan) = load_inputs(day, settings)?;
            let settings = plan.provenance.resolved();
            let script = Scenario::from_toml(&text).map_err(|e| format!("{}: {e}", day.display()))?;
            let right = one(&a, &day.display().to_string(), &script, &plan, settings, true)?;
            Ok(if right { Exit::Success } else { Exit::Negative })
        }
        Command::Demo => {
            let plan = HostSettings::from_toml(DEMO.1).map_err(|e| format!("settings:\n{e}"))?;
            let script = Scenario::from_toml(DEMO.0).map_err(|e| e.to_string())?;
            let right = one(&a, "demo", &script, &plan, DEMO.1, true)?;
            Ok(if right { Exit::Success } else { Exit::Negative })
        }
        Command::Search { day, settings, seed, plays, troubles } => {
            let (text, plan) = load_inputs(day, settings)?;
            let settings = plan.provenance.resolved();
            let mut script = Scenario::from_toml(&text).map_err(|e| format!("{}: {e}", day.display()))?;
            let voters = plan.fleet.as_ref().map_or(1, |f| f.voters.len() as u16);
            script.expectations.clear();
            let mut end = Exit::Success;
            for seed in *seed..seed.saturating_add(*plays) {
                script.run.seed = seed;
                script.events = draw_schedule(seed, script.run.hosts, voters, script.run.length, *troubles);
                if one(&a, &format!("seed {seed}"), &script, &plan, settings, false)? {
                    continue;
                }
                end = Exit::Negative;
                let mut smaller = script.clone();
                let least = shrink_schedule(script.events.clone(), |events| {
                    smaller.events = events.to_vec();
                    // One that holds once may break the next time: it is left out only where it breaks without.
                    one(&a, "smaller", &smaller, &plan, settings, false).is_ok_and(|right| !right)
                });
                let words: Vec<String> = least.iter().map(|e| format!("{e:?}")).collect();
                a.common.output.print(&words, &format!("seed {seed} breaks by\n  {}\n", words.join("\n  ")));
            }
            Ok(end)
        }
    }
}

fn one(
    a: &Arguments,
    name: &str,
    day: &Scenario,
    plan: &HostSettings,
    settings: &str,
    loud: bool,
) -> Result<bool, String> {
    let output = a.common.output;
    let scratch = tempfile::tempdir().map_err(|e| e.to_string())?;
    let beside = std::env::current_exe().map_err(|e| e.to_string())?.with_file_name("pearfork-gateway");
    let mut clocks = BTreeMap::new();
    for c in &a.clock {
        let parsed = c.split_once('=').and_then(|(h, r)| Some((h.parse().ok()?, r.parse().ok()?)));
        let (host, rate) = parsed.ok_or_else(|| format!("--clock {c}: say HOST=RATE, as 2=1.2"))?;
        clocks.insert(host, rate);
    }
    let program = ProcessConfig {
        gateway: a.gateway.clone().unwrap_or(beside),
        settings: settings.to_owned(),
        folder: a.keep.clone().unwrap_or_else(|| scratch.path().to_owned()),
        clocks,
    };
    let told = |at: Duration, words: &str| {
        if loud {
            let at_s = at.as_secs_f64();
            output.print(&Progress { at_s, words }, &format!("{at_s:6.2} s  {words}\n"));
        }
    };
    let mut crew = HostProcesses::new(program);
    if loud {
        crew.tell(move |host, at| {
            let words = format!("host {host}: http://{at}/fleet");
            output.print(&Progress { at_s: 0.0, words: &words }, &format!("        {words}\n"));
        });
    }
    let result = run_scenario(day, plan, &mut crew, told).map_err(|e| e.to_string())?;
    let summary = Summary::new(&result);
    if loud {
        output.print(&summary, &summary.render(output));
    }
    let mut broken: Vec<String> = summary.rules.iter().flat_map(|r| r.words.clone()).collect();
    broken.extend(summary.stale.iter().cloned());
    broken.extend(summary.collapsed_nodes.iter().map(|n| format!("node {n} fell over")));
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
    let end = End {
        day: name,
        seed: day.run.seed,
        broken,
        nearest,
        served: result.clients.iter().map(|(_, t)| t.served).sum(),
        refused: result.clients.iter().map(|(_, t)| t.refused).sum(),
    };
    let verdict = if end.broken.is_empty() { "all held".to_owned() } else { end.broken.join("\n  ") };
    output.print(&end, &format!("{name}, seed {}: {verdict}\n", end.seed));
    Ok(summary.passed)
}
