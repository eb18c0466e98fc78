//! `pearfork-scale`: runs the control plane of a large fleet on this machine, and measures what each role costs.

use clap::{Parser, Subcommand};
use pearfork_cli::{CommonArguments, Exit};
use pearfork_scale::child::{serve, Assignment};
use pearfork_scale::connections::{self, ConnectionCost, ConnectionPlan};
use pearfork_scale::report::Report;
use pearfork_scale::run::RunError;
use pearfork_scale::size::{in_range, MAX_SECONDS};
use pearfork_scale::{run, Size};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs voters and hollow hosts on loopback and measures bytes, messages, processor time and memory by role. Exit codes: 0
/// measured, 1 the run broke off, 2 the size is refused. The last line of a run is one JSON object.
#[derive(Parser)]
#[command(name = "pearfork-scale", version, about)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure a size.
    Run(RunArguments),
    /// Measure what client connections cost a real host, `pearfork-gateway` under `pearfork-load`.
    Connections(ConnectionArguments),
    /// Be one process of a run; started by `run` alone.
    #[command(hide = true)]
    Serve {
        /// What to be, as JSON.
        assignment: String,
    },
}

#[derive(clap::Args)]
struct RunArguments {
    /// Hosts, voters included.
    #[arg(long, default_value_t = 40)]
    hosts: u32,
    /// Voters: 1, 3, 5 or 7.
    #[arg(long, default_value_t = 3)]
    voters: u16,
    /// Nodes in each host's list.
    #[arg(long, default_value_t = 70)]
    nodes: u32,
    /// Budgets: two for each volume with a limit.
    #[arg(long, default_value_t = 64)]
    budgets: u32,
    /// Hosts whose clients use a volume at a time.
    #[arg(long, default_value_t = 3)]
    users: u32,
    /// Part of the volumes whose load moves each second.
    #[arg(long, default_value_t = 0.0)]
    moving: f64,
    /// How far measured demand strays from its mean.
    #[arg(long, default_value_t = 0.05)]
    jitter: f64,
    /// The least fraction of a budget that is of use to a host.
    #[arg(long, default_value_t = 0.001)]
    least: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Seconds before that.
    #[arg(long, default_value_t = 3)]
    warm_up: u32,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill the leader in the end, and time what follows.
    #[arg(long)]
    lose_leader: bool,
}

#[derive(clap::Args)]
struct ConnectionArguments {
    /// Client sessions, each a connection.
    #[arg(long, default_value_t = 100)]
    sessions: u32,
    /// Requests a second over all of them.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Seconds that are measured.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// The host's program; the one beside this program where it is not named.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// The load's program; the one beside this program where it is not named.
    #[arg(long)]
    load: Option<PathBuf>,
}

/// Most sessions of a measurement: the quickstart's host takes 4,096.
const MAX_SESSIONS: u32 = 4_000;
/// Most requests a second of a measurement.
const MAX_RATE: f64 = 20_000.0;

impl ConnectionArguments {
    fn plan(&self) -> Result<ConnectionPlan, RunError> {
        in_range("sessions", f64::from(self.sessions), 1.0, f64::from(MAX_SESSIONS))?;
        in_range("rate", self.rate, 0.001, MAX_RATE)?;
        in_range("seconds", f64::from(self.seconds), 1.0, f64::from(MAX_SECONDS))?;
        let beside = |name: &str| std::env::current_exe().map(|program| program.with_file_name(name));
        let gateway = self.gateway.clone().map_or_else(|| beside("pearfork-gateway"), Ok)?;
        let load = self.load.clone().map_or_else(|| beside("pearfork-load"), Ok)?;
        let length = Duration::from_secs(u64::from(self.seconds));
        Ok(ConnectionPlan { gateway, load, sessions: self.sessions, rate: self.rate, length })
    }
}

impl RunArguments {
    fn size(&self) -> Size {
        Size {
            hosts: self.hosts,
            voters: self.voters,
            nodes: self.nodes,
            budgets: self.budgets,
            users: self.users,
            moving: self.moving,
            jitter: self.jitter,
            least: self.least,
            seconds: self.seconds,
            warm_up: self.warm_up,
            seed: self.seed,
        }
    }
}

fn measure(arguments: &RunArguments) -> Result<Report, RunError> {
    let program = std::env::current_exe()?;
    run(&arguments.size(), &program, arguments.lose_leader)
}

fn measure_connections(arguments: &ConnectionArguments) -> Result<ConnectionCost, RunError> {
    Ok(connections::measure(&arguments.plan()?)?)
}

/// Prints what was measured as one JSON object, or why nothing was.
fn tell<T: Serialize>(measured: Result<T, RunError>) -> ExitCode {
    let why = match measured.map(|report| serde_json::to_string(&report)) {
        Ok(Ok(line)) => {
            println!("{line}");
            return Exit::Success.into();
        }
        Ok(Err(why)) => RunError::Machine(why.into()),
        Err(why) => why,
    };
    eprintln!("{why}");
    match why {
        RunError::Size(_) => Exit::Error.into(),
        _ => Exit::Negative.into(),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(why) = arguments.common.start_log() {
        eprintln!("{why}");
        return Exit::Error.into();
    }
    match &arguments.command {
        Command::Run(of_run) => tell(measure(of_run)),
        Command::Connections(of_connections) => tell(measure_connections(of_connections)),
        Command::Serve { assignment } => {
            let served = serde_json::from_str::<Assignment>(assignment)
                .map_err(|e| e.to_string())
                .and_then(|assignment| serve(&assignment).map_err(|e| e.to_string()));
            match served {
                Ok(()) => Exit::Success.into(),
                Err(why) => {
                    eprintln!("{why}");
                    Exit::Negative.into()
                }
            }
        }
    }
}
