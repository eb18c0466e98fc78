//! `pearfork-gateway`: serves volumes to iSCSI initiators.

mod service;
mod signals;

use clap::{Parser, Subcommand};
use crossbeam_channel::select;
use pearfork_cli::{Common, Exit, Output, SettingsArguments};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use serde::Serialize;
use signal_hook::consts::{SIGHUP, SIGINT};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// A storage gateway that schedules a host's reads and writes over storage nodes. Exit codes: 0 fine, 1 it stopped before
/// all that was taken had an answer, 2 the input or the machine does not allow it.
#[derive(Parser)]
#[command(name = "pearfork-gateway", version, about)]
struct Arguments {
    #[command(flatten)]
    common: Common,
    #[command(subcommand)]
    command: Command,
}

impl AsRef<Common> for Arguments {
    fn as_ref(&self) -> &Common {
        &self.common
    }
}

#[derive(Subcommand)]
enum Command {
    /// Serve volumes to iSCSI initiators until SIGTERM, SIGINT or `pearfork-ctl drain`.
    Serve {
        #[command(flatten)]
        settings: SettingsArguments,
        /// Listen here instead of where the settings say; the same as `--set host.listen=ADDRESS`.
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Start only if the settings have this fingerprint, as `pearfork-check files` told it.
        #[arg(long)]
        expect: Option<String>,
    },
    /// Serve on the platform's protocol, by the JSON configuration that the platform names in ROUTER_CONFIG, until SIGTERM
    /// or SIGINT; SIGHUP reads it anew.
    Service {
        /// Configuration file; what ROUTER_CONFIG names, if not given.
        #[arg(long)]
        config: Option<std::path::PathBuf>,
    },
}

/// What is told when something happens.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum Told<'a> {
    Listening {
        address: SocketAddr,
        http: Option<SocketAddr>,
        settings: String,
        volumes: Vec<VolumeLine<'a>>,
    },
    MatchingTakenAnew,
    Stopping {
        why: &'a str,
    },
}

#[derive(Serialize)]
struct VolumeLine<'a> {
    name: &'a str,
    target: &'a str,
    lun: u16,
    blocks: u64,
    block: u32,
}

fn main() -> ExitCode {
    pearfork_cli::run(work)
}

fn work(arguments: Arguments) -> Result<Exit, String> {
    let output = arguments.common.output;
    match arguments.command {
        Command::Serve { mut settings, listen, expect } => {
            settings.set.extend(listen.map(|at| format!("host.listen=\"{at}\"")));
            serve(&settings, expect.as_deref(), output)
        }
        Command::Service { config } => service::serve(config, &signals::watch().map_err(|e| e.to_string())?),
    }
}

/// A plan from the settings; what the operator is to be told goes to standard error.
fn load(settings: &SettingsArguments) -> Result<HostSettings, String> {
    let plan = HostSettings::load_with(&settings.config, &settings.over())
        .map_err(|e| format!("the settings are refused\n{e}"))?;
    plan.warnings.iter().for_each(|w| eprintln!("{w}"));
    Ok(plan)
}

/// The embedded nodes that the settings ask for.
fn embedded(plan: &HostSettings) -> Result<Option<FakeCluster>, String> {
    let Some(e) = &plan.embedded else { return Ok(None) };
    let longest = plan.scheduler.classes.iter().map(|c| c.window_ms).fold(0.0, f64::max);
    let spec = FakeClusterSpec {
        node_count: e.nodes,
        racks: 1,
        replicas: 1,
        cores: e.cores,
        queue_capacity: e.waiting,
        unit_work: e.work.duration(),
        deferred_fraction: 0.0,
        repeat_window: Duration::from_secs_f64(longest / 1_000.0),
    };
    FakeCluster::start(&spec, &plan.scheduler, plan.directory, Duration::ZERO, &Recorder::disabled())
        .map(Some)
        .map_err(|e| format!("embedded nodes, directory at {}: {e}", plan.directory))
}

fn serve(settings: &SettingsArguments, expect: Option<&str>, output: Output) -> Result<Exit, String> {
    let plan = load(settings)?;
    let fingerprint = plan.provenance.fingerprint();
    // Danger: a file, an include or a variable that changed between the check and the start.
    if let Some(expect) = expect.filter(|e| *e != fingerprint) {
        return Err(format!(
            "the settings have the fingerprint {fingerprint}, not {expect}: they are not the ones checked"
        ));
    }
    let fleet = embedded(&plan)?;
    let signals = signals::watch().map_err(|e| e.to_string())?;
    let host = Host::start(plan).map_err(|e| e.to_string())?;
    announce(&host, fingerprint, output);
    let why = loop {
        select! {
            recv(signals) -> signal => match signal {
                Ok(SIGHUP) => match load(settings).and_then(|new| host.update_matching(&new).map_err(|e| e.to_string())) {
                    Ok(()) => output.put(&Told::MatchingTakenAnew, "matching rules taken anew\n"),
                    Err(e) => eprintln!("pearfork-gateway: the old matching rules stay\n{e}"),
                },
                Ok(SIGINT) => break "interrupt",
                _ => break "terminate",
            },
            recv(host.drain_requests()) -> _ => break "drain",
        }
    };
    let words = format!("stopping ({why}): what was taken is answered first\n");
    output.put(&Told::Stopping { why }, &words);
    let idle = host.stop();
    drop(fleet);
    if !idle {
        eprintln!("pearfork-gateway: some commands had no answer when the time to drain was over");
        return Ok(Exit::No);
    }
    Ok(Exit::Fine)
}

fn announce(host: &Host, fingerprint: String, output: Output) {
    let mut words = format!("listening on {}, settings {fingerprint}\n", host.address());
    let line = |v: &pearfork_host::volumes::Volume| {
        format!(
            "  volume {}: {} LUN {}, {} blocks of {}\n",
            v.name, v.target, v.lun, v.unit.blocks, v.unit.block_len
        )
    };
    words.extend(host.settings().volumes.iter().map(line));
    if let Some(http) = host.http_address() {
        words += &format!("  health, metrics, nodes, volumes: http://{http}/\n");
    }
    let volumes = host.settings().volumes.iter().map(|v| VolumeLine {
        name: &v.name,
        target: &v.target,
        lun: v.lun,
        blocks: v.unit.blocks,
        block: v.unit.block_len,
    });
    let told = Told::Listening {
        address: host.address(),
        http: host.http_address(),
        settings: fingerprint,
        volumes: volumes.collect(),
    };
    output.put(&told, &words);
}
