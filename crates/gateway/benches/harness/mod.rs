//! Shared by the benchmarks: an initiator that puts load on a target, and a gateway in a process of its own.
#![allow(dead_code)]

use hdrhistogram::Histogram;
use pearfork_host::settings::HostSettings;
use pearfork_iscsi::{Command, InitiatorConfig, Payload};
use pearfork_net::{CommandToken, Connection, ConnectionEvent, StreamTap};
use pearfork_scsi::{MediaCommand, MediaOp};
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// When a command was due; its latency is counted from there.
pub struct DueAt(pub Instant);

impl CommandToken for DueAt {}

/// What a load came to; a command that completed with a status other than GOOD counts as not served.
pub struct LoadResult {
    pub served: u64,
    pub not_served: u64,
    pub elapsed: Duration,
    /// Latency of served commands in nanoseconds.
    pub latencies: Histogram<u64>,
}

impl LoadResult {
    pub fn served_per_s(&self) -> f64 {
        self.served as f64 / self.elapsed.as_secs_f64()
    }

    pub fn latency_us(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Loads a target over one session for `span`.
///
/// `depth` commands are in flight. With a `rate`, that many commands are sent each second instead, however many
/// are in flight.
pub fn run_load(
    address: SocketAddr,
    target: &str,
    op: MediaOp,
    kib: u32,
    depth: usize,
    rate: Option<f64>,
    span: Duration,
) -> LoadResult {
    let (sender, events) = channel();
    let config = InitiatorConfig {
        name: "iqn.2026-12.org.example:bench".to_owned(),
        target: Some(target.to_owned()),
        isid: [0x80, 0, 0, 0, 0, 1],
        digests: false,
        extension: false,
    };
    let connection: Arc<Connection<DueAt>> =
        Connection::open(address, config, Duration::from_secs(5), StreamTap::default(), move |e| {
            drop(sender.send(e))
        })
        .expect("a login");
    let blocks = kib * 2;
    let data: Payload =
        if op == MediaOp::Write { vec![7u8; kib as usize * 1024].into() } else { Payload::new() };
    let mut result = LoadResult {
        served: 0,
        not_served: 0,
        elapsed: span,
        latencies: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds"),
    };
    let (began, mut in_flight, mut sent) = (Instant::now(), 0, 0u64);
    loop {
        let is_over = began.elapsed() >= span;
        if is_over && in_flight == 0 {
            break;
        }
        let due = rate.map(|r| began + Duration::from_secs_f64(sent as f64 / r));
        let is_next_due =
            !is_over && if let Some(due) = due { Instant::now() >= due } else { in_flight < depth };
        if is_next_due {
            let lba =
                sent * 6_151 % 1_000 * u64::from(blocks) % 120_000 / u64::from(blocks) * u64::from(blocks);
            let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
            let command = Command {
                lun: 0,
                cdb: media.to_cdb(),
                read_len: media.data_in_length(512) as u32,
                data: data.clone(),
                metadata: None,
            };
            if connection.submit(DueAt(due.unwrap_or_else(Instant::now)), command).is_err() {
                break;
            }
            (in_flight, sent) = (in_flight + 1, sent + 1);
            continue;
        }
        let wait = match due.filter(|_| !is_over) {
            Some(due) => due.saturating_duration_since(Instant::now()),
            None => Duration::from_secs(5),
        };
        match events.recv_timeout(wait) {
            Ok(ConnectionEvent::Completed(due, done)) => {
                in_flight -= 1;
                if done.status == 0 {
                    result.served += 1;
                    result.latencies.saturating_record(due.0.elapsed().as_nanos() as u64);
                } else {
                    result.not_served += 1;
                }
            }
            Ok(_) => break,
            Err(_) if rate.is_some() && !is_over => {}
            Err(_) => break,
        }
    }
    result.elapsed = began.elapsed();
    connection.close();
    result
}

/// A running `pearfork-gateway serve`; killed when it is dropped.
pub struct GatewayProcess {
    child: std::process::Child,
    pub address: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts the program with these settings; `name` tells the settings files of one run apart.
    pub fn start(name: &str, settings: &str) -> GatewayProcess {
        let listen = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let path = std::env::temp_dir().join(format!("pearfork-{name}-{}.toml", std::process::id()));
        std::fs::write(&path, settings).expect("a file");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
            .args(["serve", "--listen", &listen.to_string(), "--config"])
            .arg(&path)
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("the gateway");
        let mut output = [0; 64];
        let _ = child.stdout.as_mut().expect("its output").read(&mut output);
        // Leaves time for the first node list.
        std::thread::sleep(Duration::from_millis(500));
        GatewayProcess { child, address: listen }
    }

    fn proc_file(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// User and system time in seconds, from clock ticks of 1/100 s.
    pub fn cpu_s(&self) -> f64 {
        let stat = self.proc_file("stat");
        let after_name = stat.rsplit(')').next().unwrap_or("");
        let ticks: f64 =
            after_name.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
        ticks / 100.0
    }

    /// Voluntary context switches of all threads, each of which needs a wake-up.
    pub fn voluntary_switches(&self) -> u64 {
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).into_iter().flatten().flatten();
        let switches = |t: std::fs::DirEntry| {
            let status = std::fs::read_to_string(t.path().join("status")).unwrap_or_default();
            let line = status.lines().find(|l| l.starts_with("voluntary_ctxt_switches")).unwrap_or("");
            line.split_whitespace().nth(1).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0)
        };
        tasks.map(switches).sum()
    }

    /// The number after `key` in `/proc/PID/status`.
    pub fn status(&self, key: &str) -> u64 {
        let status = self.proc_file("status");
        let line = status.lines().find(|l| l.starts_with(key)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

pub const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");

/// The quickstart settings for one node, with a volume that its plan does not limit.
pub fn settings(directory: SocketAddr) -> String {
    let (head, rest) =
        QUICKSTART.split_once("# Nodes that the gateway").expect("the table of embedded nodes");
    let (_, rules) = rest.split_once("[rules]").expect("the rules");
    let text = format!("{head}[rules]{rules}").replace("127.0.0.1:9300", &directory.to_string());
    text.replace("http = ", "# http = ")
        .replace("shards = [0, 1, 2]", "shards = [0]")
        .replace("nominal = 400", "nominal = 1000000")
}

/// Starts a node that spends 1 ns on a command, and its directory, to measure the gateway's own cost.
pub fn start_instant_node() -> FakeCluster {
    let host_settings = HostSettings::from_toml(&settings(([127, 0, 0, 1], 9).into())).expect("settings");
    let work = Duration::from_nanos(1);
    let spec = FakeClusterSpec {
        node_count: 1,
        racks: 1,
        queue_capacity: 1000,
        unit_work: work,
        ..FakeClusterSpec::default()
    };
    let any_port = ([127, 0, 0, 1], 0).into();
    FakeCluster::start(&spec, &host_settings.scheduler, any_port, Duration::ZERO, &Recorder::disabled())
        .expect("a node")
}
