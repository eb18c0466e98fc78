//! `pearfork-gateway`: serves volumes to iSCSI initiators (`serve`) and the platform's own protocol
//! (`service`).

mod service;
mod signals;

use clap::{Parser, Subcommand};
use crossbeam_channel::select;
use pearfork_cli::{CommonArguments, Exit, Output, SettingsArguments};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use serde::Serialize;
use signal_hook::consts::{SIGHUP, SIGINT};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

/// A storage gateway that schedules a host's reads and writes over storage nodes. Exit codes: 0 success, 1
/// stopped before every accepted request had its final answer, 2 invalid input or a resource that the system
/// does not grant.
#[derive(Parser)]
#[command(name = "pearfork-gateway", version, about)]
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
    /// Serve volumes to iSCSI initiators until SIGTERM, SIGINT or `pearfork-ctl drain`.
    Serve {
        #[command(flatten)]
        settings: SettingsArguments,
        /// Listen at this address, as with `--set host.listen=ADDRESS`.
        #[arg(long)]
        listen: Option<SocketAddr>,
        /// Start only if the settings have this fingerprint, which `pearfork-check files` prints.
        #[arg(long)]
        expect: Option<String>,
    },
    /// Serve the platform's protocol, with the JSON configuration file that the platform names in
    /// ROUTER_CONFIG, until SIGTERM or SIGINT; SIGHUP reloads the file.
    Service {
        /// Configuration file; by default the one that ROUTER_CONFIG names.
        #[arg(long)]
        config: Option<std::path::PathBuf>,
    },
}

/// A change in the program's state that is written to standard output.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
enum LifecycleEvent<'a> {
    Listening {
        address: SocketAddr,
        http: Option<SocketAddr>,
        settings: String,
        volumes: Vec<VolumeLine<'a>>,
    },
    #[serde(rename = "matching-taken-anew")]
    MatchingReloaded,
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
    pearfork_cli::run(run_command)
}

fn run_command(arguments: Arguments) -> Result<Exit, String> {
    let output = arguments.common.output;
    match arguments.command {
        Command::Serve { mut settings, listen, expect } => {
            settings.set.extend(listen.map(|address| format!("host.listen=\"{address}\"")));
            serve(&settings, expect.as_deref(), output)
        }
        Command::Service { config } => service::serve(config, &signals::watch().map_err(|e| e.to_string())?),
    }
}

/// Loads the settings and prints their warnings to standard error.
fn load_settings(settings: &SettingsArguments) -> Result<HostSettings, String> {
    let host_settings = HostSettings::load_with(&settings.config, &settings.overrides())
        .map_err(|e| format!("the settings are refused\n{e}"))?;
    host_settings.warnings.iter().for_each(|w| eprintln!("{w}"));
    Ok(host_settings)
}

/// Starts the nodes of the `embedded` table, if the settings have one.
fn start_embedded_nodes(host_settings: &HostSettings) -> Result<Option<FakeCluster>, String> {
    let Some(embedded) = &host_settings.embedded else { return Ok(None) };
    let longest_window_ms = host_settings.scheduler.classes.iter().map(|c| c.window_ms).fold(0.0, f64::max);
    let spec = FakeClusterSpec {
        node_count: embedded.nodes,
        racks: 1,
        replicas: 1,
        cores: embedded.cores,
        queue_capacity: embedded.waiting,
        unit_work: embedded.work.duration(),
        repeat_window: Duration::from_secs_f64(longest_window_ms / 1_000.0),
        ..FakeClusterSpec::default()
    };
    FakeCluster::start(
        &spec,
        &host_settings.scheduler,
        host_settings.directory,
        Duration::ZERO,
        &Recorder::disabled(),
    )
    .map(Some)
    .map_err(|e| format!("embedded nodes, directory at {}: {e}", host_settings.directory))
}

fn serve(settings: &SettingsArguments, expect: Option<&str>, output: Output) -> Result<Exit, String> {
    let host_settings = load_settings(settings)?;
    let fingerprint = host_settings.provenance.fingerprint();
    // A file, an include or an environment variable may have changed since `pearfork-check` read the
    // settings.
    if let Some(expect) = expect.filter(|e| *e != fingerprint) {
        return Err(format!(
            "the settings have the fingerprint {fingerprint}, expected {expect}: they changed after the check"
        ));
    }
    let embedded_nodes = start_embedded_nodes(&host_settings)?;
    let signals = signals::watch().map_err(|e| e.to_string())?;
    let host = Host::start(host_settings).map_err(|e| e.to_string())?;
    report_listening(&host, fingerprint, output);
    let why = loop {
        select! {
            recv(signals) -> signal => match signal {
                Ok(SIGHUP) => match load_settings(settings)
                    .and_then(|new| host.update_matching(&new).map_err(|e| e.to_string()))
                {
                    Ok(()) => output.print(&LifecycleEvent::MatchingReloaded, "matching rules reloaded\n"),
                    Err(e) => {
                        eprintln!("pearfork-gateway: matching rules not reloaded, the previous ones stay in force\n{e}")
                    }
                },
                Ok(SIGINT) => break "interrupt",
                _ => break "terminate",
            },
            recv(host.drain_requests()) -> _ => break "drain",
        }
    };
    let text = format!("stopping ({why}) once the accepted requests are answered\n");
    output.print(&LifecycleEvent::Stopping { why }, &text);
    let all_answered = host.stop();
    drop(embedded_nodes);
    if !all_answered {
        eprintln!("pearfork-gateway: some requests had no final answer within `transport.drain`");
        return Ok(Exit::Negative);
    }
    Ok(Exit::Success)
}

fn report_listening(host: &Host, fingerprint: String, output: Output) {
    let mut text = format!("listening on {}, settings {fingerprint}\n", host.address());
    let volume_text = |v: &pearfork_host::volumes::Volume| {
        format!(
            "  volume {}: {} LUN {}, {} blocks of {}\n",
            v.name, v.target, v.lun, v.unit.blocks, v.unit.block_len
        )
    };
    text.extend(host.settings().volumes.iter().map(volume_text));
    if let Some(http) = host.http_address() {
        text += &format!("  health, metrics, nodes, volumes: http://{http}/\n");
    }
    let volumes = host.settings().volumes.iter().map(|v| VolumeLine {
        name: &v.name,
        target: &v.target,
        lun: v.lun,
        blocks: v.unit.blocks,
        block: v.unit.block_len,
    });
    let event = LifecycleEvent::Listening {
        address: host.address(),
        http: host.http_address(),
        settings: fingerprint,
        volumes: volumes.collect(),
    };
    output.print(&event, &text);
}
