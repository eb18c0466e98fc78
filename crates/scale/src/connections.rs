//! What client connections cost a real host: `pearfork-gateway` under `pearfork-load`, both as processes.

use crate::measure::Usage;
use pearfork_net::free_addresses;
use serde::Serialize;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// One host with one volume and stand-in nodes in its own process: what those cost is counted with it.
const QUICKSTART: &str = include_str!("../../../examples/quickstart.toml");
/// How long the host may take until it listens.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long after the load began all its sessions are taken to be up, besides what each takes to log in.
const SETTLED_AFTER: Duration = Duration::from_secs(3);
/// What each session's login adds to that.
const LOGIN_TIME: Duration = Duration::from_millis(2);
/// How often it is looked whether the host listens.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the load goes on after the measurement.
const SLACK: Duration = Duration::from_secs(2);

/// What is measured.
#[derive(Clone, Debug)]
pub struct ConnectionPlan {
    /// `pearfork-gateway`.
    pub gateway: PathBuf,
    /// `pearfork-load`.
    pub load: PathBuf,
    /// Client sessions, each a connection.
    pub sessions: u32,
    /// Requests a second over all of them.
    pub rate: f64,
    /// How long is measured.
    pub length: Duration,
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConnectionCost {
    /// Client sessions.
    pub sessions: u32,
    /// Requests a second over all of them.
    pub rate: f64,
    /// Processor time of the host, percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of the host, bytes.
    pub resident_bytes: u64,
    /// Threads of the host.
    pub threads: u64,
    /// Descriptors of the host.
    pub descriptors: u64,
}

/// A process that ends with its owner.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The quickstart's settings at addresses of this run's own.
fn settings(listen: SocketAddr, http: SocketAddr, directory: SocketAddr) -> String {
    QUICKSTART
        .replace("127.0.0.1:3260", &listen.to_string())
        .replace("127.0.0.1:9180", &http.to_string())
        .replace("127.0.0.1:9300", &directory.to_string())
}

fn wait_until_listening(address: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + READY_TIMEOUT;
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the host does not listen"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Starts a host and its load, and measures the host once all sessions are up.
///
/// # Errors
/// A program that does not start, or a host that does not listen in time.
pub fn measure(plan: &ConnectionPlan) -> io::Result<ConnectionCost> {
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("host.toml");
    let addresses = free_addresses(3)?;
    let [address, http, directory] = addresses[..] else {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    };
    std::fs::write(&file, settings(address, http, directory))?;
    let gateway =
        Command::new(&plan.gateway).arg("serve").arg("--config").arg(&file).stdout(Stdio::null()).spawn()?;
    let gateway = Running(gateway);
    wait_until_listening(address)?;
    let settled_after = SETTLED_AFTER + LOGIN_TIME * plan.sessions;
    let length = settled_after + plan.length + SLACK;
    let load = Command::new(&plan.load)
        .arg(format!("iscsi://{address}/iqn.2026-12.org.pearfork:demo/0"))
        .args(["--sessions", &plan.sessions.to_string()])
        .args(["--rate", &plan.rate.to_string()])
        .args(["--length", &format!("{}ms", length.as_millis())])
        .stdout(Stdio::null())
        .spawn()?;
    let _load = Running(load);
    std::thread::sleep(settled_after);
    let before = Usage::of(gateway.0.id())?;
    let began = Instant::now();
    std::thread::sleep(plan.length);
    let after = Usage::of(gateway.0.id())?;
    let seconds = began.elapsed().as_secs_f64();
    Ok(ConnectionCost {
        sessions: plan.sessions,
        rate: plan.rate,
        cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
        resident_bytes: after.resident_bytes,
        threads: after.threads,
        descriptors: after.descriptors,
    })
}
