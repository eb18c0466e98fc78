//! What benchmarks share: a plain initiator that loads a target, and a gateway that is a process of its own.
#![allow(dead_code)]

use hdrhistogram::Histogram;
use pearfork_host::settings::HostSettings;
use pearfork_iscsi::{Command, InitiatorConfig, Payload};
use pearfork_net::{Connection, ConnectionEvent, TapRef, Token};
use pearfork_scsi::{Media, MediaOp};
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct At(pub Instant);

impl Token for At {}

pub struct Run {
    pub served: u64,
    pub other: u64,
    pub took: Duration,
    pub times: Histogram<u64>,
}

impl Run {
    pub fn per_s(&self) -> f64 {
        self.served as f64 / self.took.as_secs_f64()
    }

    pub fn us(&self, q: f64) -> f64 {
        self.times.value_at_quantile(q) as f64 / 1e3
    }
}

/// One session, so many commands out at once; at a fixed rate where `rate` is given, timed from when each was due.
pub fn load(
    address: SocketAddr,
    target: &str,
    op: MediaOp,
    kib: u32,
    depth: usize,
    rate: Option<f64>,
    span: Duration,
) -> Run {
    let (to, events) = channel();
    let config = InitiatorConfig {
        name: "iqn.2026-12.org.example:bench".to_owned(),
        target: Some(target.to_owned()),
        isid: [0x80, 0, 0, 0, 0, 1],
        digests: false,
        extension: false,
    };
    let c: Arc<Connection<At>> =
        Connection::open(address, config, Duration::from_secs(5), TapRef::default(), move |e| {
            drop(to.send(e))
        })
        .expect("a login");
    let blocks = kib * 2;
    let data: Payload =
        if op == MediaOp::Write { vec![7u8; kib as usize * 1024].into() } else { Payload::new() };
    let mut run = Run {
        served: 0,
        other: 0,
        took: span,
        times: Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds"),
    };
    let (began, mut out, mut n) = (Instant::now(), 0, 0u64);
    loop {
        let over = began.elapsed() >= span;
        if over && out == 0 {
            break;
        }
        let due = rate.map(|r| began + Duration::from_secs_f64(n as f64 / r));
        let may = !over && if let Some(due) = due { Instant::now() >= due } else { out < depth };
        if may {
            let lba = n * 6_151 % 1_000 * u64::from(blocks) % 120_000 / u64::from(blocks) * u64::from(blocks);
            let m = Media { op, lba, blocks, fua: false, group: 0 };
            let command = Command {
                lun: 0,
                cdb: m.to_cdb(),
                read_len: m.data_in(512) as u32,
                data: data.clone(),
                ext: None,
            };
            if c.submit(At(due.unwrap_or_else(Instant::now)), command).is_err() {
                break;
            }
            (out, n) = (out + 1, n + 1);
            continue;
        }
        let wait = match due.filter(|_| !over) {
            Some(due) => due.saturating_duration_since(Instant::now()),
            None => Duration::from_secs(5),
        };
        match events.recv_timeout(wait) {
            Ok(ConnectionEvent::Done(at, done)) => {
                out -= 1;
                if done.status == 0 {
                    run.served += 1;
                    run.times.saturating_record(at.0.elapsed().as_nanos() as u64);
                } else {
                    run.other += 1;
                }
            }
            Ok(_) => break,
            Err(_) if rate.is_some() && !over => {}
            Err(_) => break,
        }
    }
    run.took = began.elapsed();
    c.close();
    run
}

pub struct Gateway {
    child: std::process::Child,
    pub address: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// With settings of a name of their own.
    pub fn start(name: &str, settings: &str) -> Gateway {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        let path = std::env::temp_dir().join(format!("pearfork-{name}-{}.toml", std::process::id()));
        std::fs::write(&path, settings).expect("a file");
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_pearfork-gateway"))
            .args(["serve", "--listen", &free.to_string(), "--config"])
            .arg(&path)
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("the gateway");
        let mut first = [0; 64];
        let _ = child.stdout.as_mut().expect("its output").read(&mut first);
        // Its first node list.
        std::thread::sleep(Duration::from_millis(500));
        Gateway { child, address: free }
    }

    fn proc(&self, file: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{file}", self.child.id())).unwrap_or_default()
    }

    /// Seconds of processor time; the kernel's tick is a hundredth.
    pub fn cpu_s(&self) -> f64 {
        let stat = self.proc("stat");
        let after = stat.rsplit(')').next().unwrap_or("");
        let ticks: f64 =
            after.split_whitespace().skip(11).take(2).filter_map(|t| t.parse::<f64>().ok()).sum();
        ticks / 100.0
    }

    /// Times that a thread of it went to sleep to wait: each is a wake that somebody paid for.
    pub fn waits(&self) -> u64 {
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.child.id())).into_iter().flatten().flatten();
        let of = |t: std::fs::DirEntry| {
            let status = std::fs::read_to_string(t.path().join("status")).unwrap_or_default();
            let line = status.lines().find(|l| l.starts_with("voluntary_ctxt_switches")).unwrap_or("");
            line.split_whitespace().nth(1).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0)
        };
        tasks.map(of).sum()
    }

    pub fn status(&self, key: &str) -> u64 {
        let status = self.proc("status");
        let line = status.lines().find(|l| l.starts_with(key)).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}

pub const QUICKSTART: &str = include_str!("../../../../examples/quickstart.toml");

/// The quickstart before one node, with nothing that limits.
pub fn settings(directory: SocketAddr) -> String {
    let (head, rest) = QUICKSTART.split_once("# Nodes that the gateway").expect("the table");
    let (_, rules) = rest.split_once("[rules]").expect("the rules");
    let text = format!("{head}[rules]{rules}").replace("127.0.0.1:9300", &directory.to_string());
    text.replace("http = ", "# http = ")
        .replace("shards = [0, 1, 2]", "shards = [0]")
        .replace("nominal = 400", "nominal = 1000000")
}

/// A node whose work costs nothing, so that what is measured is what stands before it; and its directory.
pub fn free_node() -> FakeCluster {
    let plan = HostSettings::from_toml(&settings(([127, 0, 0, 1], 9).into())).expect("settings");
    let work = Duration::from_nanos(1);
    let spec = FakeClusterSpec {
        node_count: 1,
        racks: 1,
        queue_capacity: 1000,
        unit_work: work,
        ..FakeClusterSpec::default()
    };
    let nowhere = ([127, 0, 0, 1], 0).into();
    FakeCluster::start(&spec, &plan.scheduler, nowhere, Duration::ZERO, &Recorder::disabled())
        .expect("a node")
}
