//! `pearfork-scale`: runs the control plane of a large fleet on this machine, and measures what each role costs.

use clap::{Parser, Subcommand};
use pearfork_cli::{Common, Exit};
use pearfork_scale::child::{serve, Assignment};
use pearfork_scale::report::Report;
use pearfork_scale::run::RunError;
use pearfork_scale::{run, Size};
use std::process::ExitCode;

/// Runs voters and hollow hosts on loopback and measures bytes, messages, processor time and memory by role. Exit codes: 0
/// measured, 1 the run broke off, 2 the size is refused. The last line of a run is one JSON object.
#[derive(Parser)]
#[command(name = "pearfork-scale", version, about)]
struct Arguments {
    #[command(flatten)]
    common: Common,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure a size.
    Run(RunArguments),
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

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(why) = arguments.common.start_log() {
        eprintln!("{why}");
        return Exit::Unusable.into();
    }
    match &arguments.command {
        Command::Run(of_run) => match measure(of_run) {
            Ok(report) => {
                println!("{}", serde_json::to_string(&report).unwrap_or_default());
                Exit::Fine.into()
            }
            Err(why @ RunError::Size(_)) => {
                eprintln!("{why}");
                Exit::Unusable.into()
            }
            Err(why) => {
                eprintln!("{why}");
                Exit::No.into()
            }
        },
        Command::Serve { assignment } => {
            let served = serde_json::from_str::<Assignment>(assignment)
                .map_err(|e| e.to_string())
                .and_then(|assignment| serve(&assignment).map_err(|e| e.to_string()));
            match served {
                Ok(()) => Exit::Fine.into(),
                Err(why) => {
                    eprintln!("{why}");
                    Exit::No.into()
                }
            }
        }
    }
}
