//! `pearfork-load`: loads iSCSI units at a rate or in a closed loop, and can prove every block that it reads.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit};
use pearfork_host::units::Span;
use pearfork_load::run::run;
use pearfork_load::session::{Pace, Plan};
use pearfork_load::shape::{Places, Shape, Sizes};
use pearfork_load::url::UnitUrl;
use std::process::ExitCode;

/// Loads iSCSI units and says how they did. Exit codes: 0 fine, 1 a block was wrong, 2 nothing could be run.
#[derive(Parser)]
#[command(name = "pearfork-load", version, about)]
struct Arguments {
    /// Units, as iscsi://ADDRESS:PORT/TARGET/LUN.
    #[arg(required = true)]
    units: Vec<UnitUrl>,
    /// Requests a second over all sessions; times run from when each was due.
    #[arg(long, conflicts_with = "depth")]
    rate: Option<f64>,
    /// Requests out at once in each session.
    #[arg(long, default_value_t = 4)]
    depth: u32,
    /// Sessions at each unit; each has an even part of its blocks.
    #[arg(long, default_value_t = 1)]
    sessions: u32,
    /// Part of the requests that writes, 0 to 1.
    #[arg(long, default_value_t = 0.3)]
    writes: f64,
    /// Part that flushes, 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    flushes: f64,
    /// Sizes with weights, such as 4KiB:8,64KiB:2.
    #[arg(long, default_value = "4KiB")]
    sizes: Sizes,
    /// uniform, sequential or zipf:EXPONENT.
    #[arg(long, default_value = "uniform")]
    places: Places,
    /// How long.
    #[arg(long, default_value = "10s")]
    length: Span,
    /// Stamp what is written and prove what is read. The units' contents are lost.
    #[arg(long)]
    verify: bool,
    /// Ask for CRC32C digests.
    #[arg(long)]
    digests: bool,
    /// Seed of all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// What the initiators' names begin with.
    #[arg(long, default_value = "iqn.2026-12.org.pearfork:load")]
    initiator: String,
    #[command(flatten)]
    common: CommonArguments,
}

impl AsRef<CommonArguments> for Arguments {
    fn as_ref(&self) -> &CommonArguments {
        &self.common
    }
}

fn main() -> ExitCode {
    pearfork_cli::run(work)
}

fn work(a: Arguments) -> Result<Exit, String> {
    let rate_is_sane = a.rate.is_none_or(|r| r.is_finite() && r > 0.0);
    if !rate_is_sane || a.depth == 0 || a.sessions == 0 || a.length.ms() <= 0.0 {
        return Err("rate, depth, sessions and length must be above 0".to_owned());
    }
    let plan = Plan {
        units: a.units,
        sessions: a.sessions,
        pace: a.rate.map_or(Pace::Depth(a.depth), Pace::Rate),
        shape: Shape { writes: a.writes, flushes: a.flushes, sizes: a.sizes, places: a.places },
        verify: a.verify,
        digests: a.digests,
        seed: a.seed,
        length: a.length.duration(),
        initiator: a.initiator,
    };
    let (figures, took) = run(&plan).map_err(|e| e.to_string())?;
    let summary = figures.summary(took);
    a.common.output.print(&summary, &summary.to_string());
    Ok(if figures.wrong_count > 0 { Exit::Negative } else { Exit::Success })
}
