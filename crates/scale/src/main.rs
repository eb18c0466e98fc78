//! `pearfork-scale`: runs the control plane of a large fleet on this machine, and measures the cost of each
//! role.

use clap::{Parser, Subcommand};
use pearfork_cli::{CommonArguments, Exit};
use pearfork_scale::child::{serve, Assignment};
use pearfork_scale::connections::{self, ConnectionBenchmark, ConnectionCost};
use pearfork_scale::report::Report;
use pearfork_scale::run::RunError;
use pearfork_scale::size::{in_range, MAX_SECONDS};
use pearfork_scale::{run, Size};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Runs voters and simulated hosts on loopback and measures bytes, messages, CPU time and memory by role.
/// Exit codes: 0 success, 1 the run failed, 2 the size is invalid. The last line of a run is one JSON object.
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
    /// Run a fleet of a size and measure it.
    Run(RunArguments),
    /// Measure the cost of client connections for a real host, `pearfork-gateway` under `pearfork-load`.
    Connections(ConnectionArguments),
    /// Run one child process; started by `run` alone.
    #[command(hide = true)]
    Serve {
        /// Assignment of the process, as JSON.
        assignment: String,
    },
}

#[derive(clap::Args)]
struct RunArguments {
    /// Number of hosts, including voters.
    #[arg(long, default_value_t = 40)]
    hosts: u32,
    /// Number of voters: 1, 3, 5 or 7.
    #[arg(long, default_value_t = 3)]
    voters: u16,
    /// Number of nodes in the list of each host.
    #[arg(long, default_value_t = 70)]
    nodes: u32,
    /// Number of budgets: two for each volume with a limit.
    #[arg(long, default_value_t = 64)]
    budgets: u32,
    /// Number of hosts whose clients use a volume at a time.
    #[arg(long, default_value_t = 3)]
    users: u32,
    /// Fraction of the volumes whose load moves to another host each second.
    #[arg(long, default_value_t = 0.0)]
    moving: f64,
    /// Greatest deviation of measured demand from its mean, as a fraction of the mean.
    #[arg(long, default_value_t = 0.05)]
    jitter: f64,
    /// Least useful fraction of a budget for a host.
    #[arg(long, default_value_t = 0.001)]
    least: f64,
    /// Duration of the measurement, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Duration of the warm-up before the measurement, seconds.
    #[arg(long, default_value_t = 3)]
    warm_up: u32,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Kill the leader at the end and measure the recovery.
    #[arg(long)]
    lose_leader: bool,
}

#[derive(clap::Args)]
struct ConnectionArguments {
    /// Number of client sessions, one connection each.
    #[arg(long, default_value_t = 100)]
    sessions: u32,
    /// Requests per second over all sessions.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Duration of the measurement, seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
    /// Path of `pearfork-gateway`; by default the one in the folder of this program.
    #[arg(long)]
    gateway: Option<PathBuf>,
    /// Path of `pearfork-load`; by default the one in the folder of this program.
    #[arg(long)]
    load: Option<PathBuf>,
}

/// Maximum number of sessions: the host of the quickstart example accepts 4,096.
const MAX_SESSIONS: u32 = 4_000;
/// Maximum number of requests per second.
const MAX_RATE: f64 = 20_000.0;

impl ConnectionArguments {
    fn benchmark(&self) -> Result<ConnectionBenchmark, RunError> {
        in_range("sessions", f64::from(self.sessions), 1.0, f64::from(MAX_SESSIONS))?;
        in_range("rate", self.rate, 0.001, MAX_RATE)?;
        in_range("seconds", f64::from(self.seconds), 1.0, f64::from(MAX_SECONDS))?;
        let sibling_program =
            |name: &str| std::env::current_exe().map(|program| program.with_file_name(name));
        let gateway = self.gateway.clone().map_or_else(|| sibling_program("pearfork-gateway"), Ok)?;
        let load = self.load.clone().map_or_else(|| sibling_program("pearfork-load"), Ok)?;
        let duration = Duration::from_secs(u64::from(self.seconds));
        Ok(ConnectionBenchmark { gateway, load, sessions: self.sessions, rate: self.rate, duration })
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

/// Measures the resources that a host uses while its sessions send requests at the given total rate.
fn measure_connections(arguments: &ConnectionArguments) -> Result<ConnectionCost, RunError> {
    Ok(connections::measure(&arguments.benchmark()?)?)
}

/// Prints the result as one JSON object, or the error to standard error.
fn print_result<T: Serialize>(measured: Result<T, RunError>) -> ExitCode {
    let error = match measured.map(|report| serde_json::to_string(&report)) {
        Ok(Ok(line)) => {
            println!("{line}");
            return Exit::Success.into();
        }
        Ok(Err(error)) => RunError::System(error.into()),
        Err(error) => error,
    };
    eprintln!("{error}");
    match error {
        RunError::Size(_) => Exit::Error.into(),
        _ => Exit::Negative.into(),
    }
}

/// Runs a measurement, or serves as a child process of one. The exit code is 2 for invalid arguments or an
/// invalid size, and 1 for a measurement or a child process that failed.
fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(error) = arguments.common.start_log() {
        eprintln!("{error}");
        return Exit::Error.into();
    }
    match &arguments.command {
        Command::Run(run_arguments) => print_result(measure(run_arguments)),
        Command::Connections(connection_arguments) => print_result(measure_connections(connection_arguments)),
        Command::Serve { assignment } => {
            let result = serde_json::from_str::<Assignment>(assignment)
                .map_err(|e| e.to_string())
                .and_then(|assignment| serve(&assignment).map_err(|e| e.to_string()));
            match result {
                Ok(()) => Exit::Success.into(),
                Err(error) => {
                    eprintln!("{error}");
                    Exit::Negative.into()
                }
            }
        }
    }
}
