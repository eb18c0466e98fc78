//! `pearfork-load`: sends load to iSCSI units at a rate or in a closed loop, and can verify every block that
//! it reads.

use clap::Parser;
use pearfork_cli::{CommonArguments, Exit};
use pearfork_host::units::Span;
use pearfork_load::run::run;
use pearfork_load::session::{LoadConfig, Pacing};
use pearfork_load::url::LunUrl;
use pearfork_load::workload::{AccessPattern, RequestSizes, Workload};
use std::process::ExitCode;

/// Sends load to iSCSI units and reports counts and latencies. Exit codes: 0 success, 1 a block held wrong
/// data, 2 the load could not be run.
#[derive(Parser)]
#[command(name = "pearfork-load", version, about)]
struct Arguments {
    /// Logical units, as iscsi://ADDRESS:PORT/TARGET/LUN.
    #[arg(required = true)]
    units: Vec<LunUrl>,
    /// Requests per second over all sessions; latency is measured from the time at which each was due.
    #[arg(long, conflicts_with = "depth")]
    rate: Option<f64>,
    /// Requests in flight in each session.
    #[arg(long, default_value_t = 4)]
    depth: u32,
    /// Sessions for each unit; each uses an equal share of its blocks.
    #[arg(long, default_value_t = 1)]
    sessions: u32,
    /// Fraction of the requests that are writes, 0 to 1.
    #[arg(long, default_value_t = 0.3)]
    writes: f64,
    /// Fraction that are flushes, 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    flushes: f64,
    /// Request sizes with weights, such as 4KiB:8,64KiB:2.
    #[arg(long, default_value = "4KiB")]
    sizes: RequestSizes,
    /// Access pattern: uniform, sequential or zipf:EXPONENT.
    #[arg(long, default_value = "uniform")]
    places: AccessPattern,
    /// Duration of the load.
    #[arg(long, default_value = "10s")]
    length: Span,
    /// Stamp every block that is written and verify every block that is read. Overwrites the units.
    #[arg(long)]
    verify: bool,
    /// Negotiate CRC32C digests.
    #[arg(long)]
    digests: bool,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prefix of the initiator names.
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
    pearfork_cli::run(run_load)
}

fn run_load(a: Arguments) -> Result<Exit, String> {
    let rate_is_valid = a.rate.is_none_or(|r| r.is_finite() && r > 0.0);
    if !rate_is_valid || a.depth == 0 || a.sessions == 0 || a.length.ms() <= 0.0 {
        return Err("--rate, --depth, --sessions and --length must be above 0".to_owned());
    }
    let config = LoadConfig {
        units: a.units,
        sessions_per_unit: a.sessions,
        pacing: a.rate.map_or(Pacing::QueueDepth(a.depth), Pacing::Rate),
        workload: Workload { writes: a.writes, flushes: a.flushes, sizes: a.sizes, pattern: a.places },
        verify: a.verify,
        digests: a.digests,
        seed: a.seed,
        duration: a.length.duration(),
        initiator_prefix: a.initiator,
    };
    let (stats, took) = run(&config).map_err(|e| e.to_string())?;
    let summary = stats.summary(took);
    a.common.output.print(&summary, &summary.to_string());
    Ok(if stats.mismatch_count > 0 { Exit::Negative } else { Exit::Success })
}
