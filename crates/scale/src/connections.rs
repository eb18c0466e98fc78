//! Measures the cost of client connections for a real host: `pearfork-gateway` under `pearfork-load`, each in
//! its own process.

use crate::measure::Usage;
use pearfork_net::free_addresses;
use serde::Serialize;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Settings of one host with one volume. The fake nodes run in the process of the host, so the cost includes
/// theirs.
const QUICKSTART: &str = include_str!("../../../examples/quickstart.toml");
/// Time limit for the host to listen.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the start of the load in which its sessions settle, besides the time for the logins.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Additional settle time for the login of each session.
const LOGIN_TIME: Duration = Duration::from_millis(2);
/// Interval at which it is checked whether the host listens.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long the load continues after the measurement.
const EXTRA_LOAD_TIME: Duration = Duration::from_secs(2);

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct ConnectionBenchmark {
    /// Path of `pearfork-gateway`.
    pub gateway: PathBuf,
    /// Path of `pearfork-load`.
    pub load: PathBuf,
    /// Number of client sessions, one connection each.
    pub sessions: u32,
    /// Requests per second over all sessions.
    pub rate: f64,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Load on a host process, and the CPU time, memory, threads and file descriptors that it used under this
/// load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ConnectionCost {
    /// Number of client sessions.
    pub sessions: u32,
    /// Requests per second over all sessions.
    pub rate: f64,
    /// CPU time of the host, percent of a core.
    pub cpu_percent: f64,
    /// Resident memory of the host, bytes.
    pub resident_bytes: u64,
    /// Number of threads of the host.
    pub threads: u64,
    /// Number of open file descriptors of the host.
    pub descriptors: u64,
}

/// A process that is killed when this value is dropped.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the settings of the quickstart example with the given addresses.
fn settings(listen: SocketAddr, http: SocketAddr, directory: SocketAddr) -> String {
    QUICKSTART
        .replace("127.0.0.1:3260", &listen.to_string())
        .replace("127.0.0.1:9180", &http.to_string())
        .replace("127.0.0.1:9300", &directory.to_string())
}

fn wait_until_listening(address: SocketAddr) -> io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while TcpStream::connect(address).is_err() {
        if Instant::now() > deadline {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the host did not listen within 20 s"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Starts a host and its load, and measures the host once all sessions are established.
///
/// # Errors
/// Returns an error if a program does not start or the host does not listen in time.
pub fn measure(benchmark: &ConnectionBenchmark) -> io::Result<ConnectionCost> {
    let folder = tempfile::tempdir()?;
    let settings_file = folder.path().join("host.toml");
    let addresses = free_addresses(3)?;
    let [address, http, directory] = addresses[..] else {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    };
    std::fs::write(&settings_file, settings(address, http, directory))?;
    let gateway = Command::new(&benchmark.gateway)
        .arg("serve")
        .arg("--config")
        .arg(&settings_file)
        .stdout(Stdio::null())
        .spawn()?;
    let gateway = KillOnDrop(gateway);
    wait_until_listening(address)?;
    let settle_time = SETTLE_TIME + LOGIN_TIME * benchmark.sessions;
    let duration = settle_time + benchmark.duration + EXTRA_LOAD_TIME;
    let load = Command::new(&benchmark.load)
        .arg(format!("iscsi://{address}/iqn.2026-12.org.pearfork:demo/0"))
        .args(["--sessions", &benchmark.sessions.to_string()])
        .args(["--rate", &benchmark.rate.to_string()])
        .args(["--length", &format!("{}ms", duration.as_millis())])
        .stdout(Stdio::null())
        .spawn()?;
    let _load = KillOnDrop(load);
    std::thread::sleep(settle_time);
    let before = Usage::of_process(gateway.0.id())?;
    let started = Instant::now();
    std::thread::sleep(benchmark.duration);
    let after = Usage::of_process(gateway.0.id())?;
    let seconds = started.elapsed().as_secs_f64();
    Ok(ConnectionCost {
        sessions: benchmark.sessions,
        rate: benchmark.rate,
        cpu_percent: (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
        resident_bytes: after.resident_bytes,
        threads: after.threads,
        descriptors: after.descriptors,
    })
}
