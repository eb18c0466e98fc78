//! Runs hosts as separate processes, each with its own settings, folder and links.

use crate::relay::{Direction, LinkFault, Relay};
use pearfork_day::host_runner::{HostCounts, HostRunner};
use pearfork_day::scenario::{EventKind, EventTable, Scenario};
use pearfork_day::RunError;
use pearfork_host::counts::{ClassCounts, ReasonCounts};
use pearfork_host::settings::HostSettings;
use pearfork_net::{free_addresses, http};
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use toml::{Table, Value};

/// How the host processes are started.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// Path of the `pearfork-gateway` program.
    pub gateway: PathBuf,
    /// Settings that all hosts have in common, as TOML. If they have a `[fleet]` table, the first hosts are
    /// its voters, as many as it lists in `voters`. Host numbers, seeds, folders and addresses are filled in
    /// for each host.
    pub settings: String,
    /// Folder under which each host gets its own folder.
    pub folder: PathBuf,
    /// Clock rates by host, to test leases with clocks that drift.
    pub clocks: BTreeMap<u16, f64>,
}

/// One host and its process.
struct HostProcess {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    http: SocketAddr,
    /// File from which the host reads the disk fault to inject.
    disk_fault: PathBuf,
    folder: PathBuf,
    /// Set while the process is stopped by a signal.
    stopped_since: Option<Instant>,
}

/// Runs the hosts of a scenario as processes.
pub struct HostProcesses {
    config: ProcessConfig,
    hosts: Vec<HostProcess>,
    /// Relays by host and voter.
    relays: BTreeMap<(u16, u16), Relay>,
    voters: u16,
    classes: Vec<String>,
    on_ready: Box<dyn Fn(u16, SocketAddr)>,
}

/// How long a host may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a host may take to shut down before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(12);
/// Timeout of an HTTP request to a host.
const HTTP_TIMEOUT: Duration = Duration::from_millis(500);

fn invalid(message: impl Into<String>) -> RunError {
    RunError::Invalid(message.into())
}

impl HostProcesses {
    /// Creates a runner without starting a process.
    pub fn new(config: ProcessConfig) -> HostProcesses {
        let (hosts, relays, classes) = (Vec::new(), BTreeMap::new(), Vec::new());
        HostProcesses { config, hosts, relays, voters: 0, classes, on_ready: Box::new(|_, _| {}) }
    }

    /// Sets a callback for each host that becomes ready, with its number and HTTP address.
    pub fn on_host_ready(&mut self, on_ready: impl Fn(u16, SocketAddr) + 'static) {
        self.on_ready = Box::new(on_ready);
    }

    /// The HTTP address of a host, which serves its health, metrics and fleet state.
    pub fn http_address(&self, host: u16) -> Option<SocketAddr> {
        self.hosts.get(usize::from(host)).map(|h| h.http)
    }

    /// The folder of a host.
    pub fn folder(&self, host: u16) -> Option<&Path> {
        self.hosts.get(usize::from(host)).map(|h| h.folder.as_path())
    }

    /// The fleet state that a host reports at `/fleet`. `None` if it does not answer.
    pub fn fleet_state(&self, host: u16) -> Option<serde_json::Value> {
        let (status, body) = http::get(self.http_address(host)?, "/fleet", HTTP_TIMEOUT).ok()?;
        (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// Returns the settings file of one host.
    fn settings_file(
        &self,
        number: u16,
        scenario: &Scenario,
        directory: SocketAddr,
        voters: &[SocketAddr],
        process: &HostProcess,
    ) -> Result<String, RunError> {
        let mut settings: Table =
            self.config.settings.parse().map_err(|e| invalid(format!("settings: {e}")))?;
        let address = |a: SocketAddr| Value::String(a.to_string());
        let table = |settings: &mut Table, key: &str| -> Result<Table, RunError> {
            match settings.remove(key) {
                Some(Value::Table(inner)) => Ok(inner),
                None => Ok(Table::new()),
                Some(_) => Err(invalid(format!("settings: expected `{key}` to be a table"))),
            }
        };
        let mut host = table(&mut settings, "host")?;
        host.insert("number".to_owned(), Value::Integer(i64::from(number)));
        host.insert("hosts".to_owned(), Value::Integer(i64::from(scenario.run.hosts)));
        host.insert("listen".to_owned(), address(process.listen));
        host.insert("http".to_owned(), address(process.http));
        let seed = scenario.run.seed.wrapping_mul(1_000).wrapping_add(u64::from(number)) & 0xffff_ffff;
        host.insert("seed".to_owned(), Value::Integer(seed as i64));
        settings.insert("host".to_owned(), Value::Table(host));
        let mut directory_table = table(&mut settings, "directory")?;
        directory_table.insert("address".to_owned(), address(directory));
        settings.insert("directory".to_owned(), Value::Table(directory_table));
        if settings.contains_key("fleet") {
            let mut fleet = table(&mut settings, "fleet")?;
            let voter_entry = |(v, own): (usize, &SocketAddr)| {
                let relayed = self.relays.get(&(number, v as u16)).map_or(*own, Relay::address);
                let mut entry = Table::new();
                entry.insert("host".to_owned(), Value::Integer(v as i64));
                entry.insert("address".to_owned(), address(relayed));
                Value::Table(entry)
            };
            let entries = voters.iter().enumerate().map(voter_entry).collect();
            fleet.insert("voters".to_owned(), Value::Array(entries));
            // The common settings are those of the first host, a voter. Hosts that are not voters have
            // neither key.
            let _ = (fleet.remove("listen"), fleet.remove("folder"));
            let mut faults = Table::new();
            if let Some(own) = voters.get(usize::from(number)) {
                fleet.insert("listen".to_owned(), address(*own));
                let folder = process.folder.join("promises");
                fleet.insert("folder".to_owned(), Value::String(folder.display().to_string()));
                faults.insert("disk".to_owned(), Value::String(process.disk_fault.display().to_string()));
            }
            if let Some(rate) = self.config.clocks.get(&number) {
                faults.insert("clock".to_owned(), Value::Float(*rate));
            }
            fleet.insert("trouble".to_owned(), Value::Table(faults));
            settings.insert("fleet".to_owned(), Value::Table(fleet));
        }
        toml::to_string(&settings).map_err(|e| invalid(format!("settings: {e}")))
    }

    fn spawn(&mut self, host: u16) -> Result<(), RunError> {
        let gateway = self.config.gateway.clone();
        let h = &mut self.hosts[usize::from(host)];
        let log = File::options().create(true).append(true).open(&h.log)?;
        let child = Command::new(&gateway)
            .args(["serve", "--log-filter", "info", "--config"])
            .arg(&h.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| invalid(format!("{}: {e}", gateway.display())))?;
        h.child = Some(child);
        Ok(())
    }

    fn signal(&self, host: u16, signal: Signal) {
        let child = self.hosts.get(usize::from(host)).and_then(|h| h.child.as_ref());
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until a host reports that it is healthy.
    fn wait_ready(&mut self, host: u16) -> Result<(), RunError> {
        let until = Instant::now() + READY_TIMEOUT;
        loop {
            let h = &mut self.hosts[usize::from(host)];
            let ended = h.child.as_mut().and_then(|c| c.try_wait().ok().flatten());
            if let Some(status) = ended {
                let log = std::fs::read_to_string(&h.log).unwrap_or_default();
                return Err(invalid(format!("host {host} exited with {status}; its log:\n{log}")));
            }
            if http::get(h.http, "/health", HTTP_TIMEOUT).is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(invalid(format!("host {host} is not ready after {} s", READY_TIMEOUT.as_secs())));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the relays that carry messages from `a` to `b`, for each pair of hosts that `selects` accepts.
    /// The `bool` is true for the direction from the side that opened the connection.
    fn links(&self, selects: impl Fn(u16, u16) -> bool) -> impl Iterator<Item = (bool, &Relay)> {
        // The relay from a to b carries the messages of a, and in its other direction the responses of b.
        self.relays.iter().flat_map(move |((a, b), relay)| {
            let forward = selects(*a, *b).then_some((true, relay));
            let backward = selects(*b, *a).then_some((false, relay));
            forward.into_iter().chain(backward)
        })
    }

    /// Changes the link faults of all messages from `a` to `b`, for each pair of hosts that `selects`
    /// accepts.
    fn change_faults(&self, selects: impl Fn(u16, u16) -> bool, change: impl Fn(&mut LinkFault)) {
        for (is_forward, relay) in self.links(selects) {
            let direction = if is_forward { Direction::FromDialer } else { Direction::ToDialer };
            relay.change_fault(direction, &change);
        }
    }
}

impl HostRunner for HostProcesses {
    fn start(
        &mut self,
        scenario: &Scenario,
        settings: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError> {
        self.classes = settings.class_names.clone();
        self.voters = settings.fleet.as_ref().map_or(0, |f| f.voters.len() as u16);
        if self.voters > scenario.run.hosts {
            return Err(invalid(format!(
                "the fleet has {} voters, but the scenario has only {} hosts",
                self.voters, scenario.run.hosts
            )));
        }
        let host_count = usize::from(scenario.run.hosts);
        let addresses = free_addresses(2 * host_count + usize::from(self.voters))?;
        let voters = addresses[2 * host_count..].to_vec();
        for number in 0..scenario.run.hosts {
            for voter in (0..self.voters).filter(|v| *v != number) {
                let seed =
                    scenario.run.seed.wrapping_mul(65_537) ^ u64::from(number) << 16 ^ u64::from(voter);
                let relay = Relay::start(voters[usize::from(voter)], seed)?;
                self.relays.insert((number, voter), relay);
            }
        }
        for number in 0..scenario.run.hosts {
            let folder = self.config.folder.join(format!("host-{number}"));
            std::fs::create_dir_all(&folder)?;
            let i = usize::from(number);
            let process = HostProcess {
                child: None,
                settings: folder.join("host.toml"),
                log: folder.join("log"),
                listen: addresses[2 * i],
                http: addresses[2 * i + 1],
                disk_fault: folder.join("trouble"),
                folder,
                stopped_since: None,
            };
            let text = self.settings_file(number, scenario, directory, &voters, &process)?;
            std::fs::write(&process.settings, text)?;
            self.hosts.push(process);
            self.spawn(number)?;
        }
        for number in 0..scenario.run.hosts {
            self.wait_ready(number)?;
            (self.on_ready)(number, self.hosts[usize::from(number)].http);
        }
        Ok(self.hosts.iter().map(|h| h.listen).collect())
    }

    fn restart(&mut self, host: u16) -> Result<(), RunError> {
        if let Some(child) = &mut self.hosts[usize::from(host)].child {
            // A process that was asked to shut down may still be running. Two processes of one host at a time
            // would be another fault than the one that the scenario injects.
            let until = Instant::now() + SHUTDOWN_TIMEOUT;
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = (child.kill(), child.wait());
        }
        self.spawn(host)
    }

    fn kill(&mut self, host: u16) -> bool {
        let child = self.hosts.get_mut(usize::from(host)).and_then(|h| h.child.take());
        child.map(|mut c| drop((c.kill(), c.wait()))).is_some()
    }

    fn stall(&mut self, host: u16, span: Duration) {
        self.signal(host, Signal::STOP);
        let child = self.hosts.get(usize::from(host)).and_then(|h| h.child.as_ref());
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id() as i32)) {
            // The scenario continues while the host is stopped.
            std::thread::spawn(move || {
                std::thread::sleep(span);
                let _ = kill_process(pid, Signal::CONT);
            });
        }
    }

    fn counts(&self, host: u16) -> Option<HostCounts> {
        let h =
            self.hosts.get(usize::from(host)).filter(|h| h.child.is_some() && h.stopped_since.is_none())?;
        let (status, body) = http::get(h.http, "/metrics", HTTP_TIMEOUT).ok()?;
        let text = String::from_utf8(body).ok().filter(|_| status == 200)?;
        let count = |family: &str, class: &str, answer: &str| -> u64 {
            let prefix = if answer.is_empty() {
                format!("pearfork_{family}{{class=\"{class}\"}} ")
            } else {
                format!("pearfork_{family}{{class=\"{class}\",answer=\"{answer}\"}} ")
            };
            let value =
                text.lines().find_map(|l| l.strip_prefix(&prefix)).and_then(|v| v.parse::<f64>().ok());
            value.unwrap_or(0.0) as u64
        };
        let of = |class: &String| ClassCounts {
            taken: count("commands_taken_total", class, ""),
            served: count("answers_total", class, "served"),
            late: count("served_late_total", class, ""),
            refused: count("answers_total", class, "refused"),
            failed: count("answers_total", class, "failed"),
            abandoned: count("answers_total", class, "abandoned"),
        };
        Some((self.classes.iter().map(of).collect(), ReasonCounts::default()))
    }

    fn set_fault(&mut self, e: &EventTable, begins: bool) -> Result<(), RunError> {
        let (host, peer) = (e.host.unwrap_or(0), e.peer);
        let times = e.times.unwrap_or(0.0);
        let is_peer = |b: u16| peer.is_none_or(|p| p == b);
        let span = Duration::from_secs_f64(times.clamp(0.0, 3.6e6) / 1_000.0);
        match e.what {
            EventKind::HostStop => {
                self.signal(host, if begins { Signal::STOP } else { Signal::CONT });
                self.hosts[usize::from(host)].stopped_since = begins.then(Instant::now);
            }
            EventKind::HostTerm if begins => self.signal(host, Signal::TERM),
            EventKind::HostTerm => self.restart(host)?,
            EventKind::Cut => {
                self.change_faults(
                    |a, b| (a == host && is_peer(b)) || (b == host && is_peer(a)),
                    |fault| fault.cut = begins,
                );
            }
            EventKind::CutOneWay => {
                self.change_faults(|a, b| a == host && is_peer(b), |fault| fault.cut = begins)
            }
            EventKind::Split => {
                let groups = (times as u16).max(2);
                self.change_faults(|a, b| a % groups != b % groups, |fault| fault.cut = begins);
            }
            EventKind::Ring => {
                let all = self.hosts.len() as u16;
                let adjacent = move |a: u16, b: u16| (a + 1) % all == b || (b + 1) % all == a;
                self.change_faults(|a, b| !adjacent(a, b), |fault| fault.cut = begins);
            }
            EventKind::SlowLink => {
                let delay = if begins { span } else { Duration::ZERO };
                self.change_faults(|a, _| a == host, |fault| fault.delay = delay);
            }
            EventKind::DropLink => {
                let drop_fraction = if begins { times.min(1.0) } else { 0.0 };
                self.change_faults(|a, _| a == host, |fault| fault.drop_fraction = drop_fraction);
            }
            EventKind::RepeatLink => {
                let repeat_delay = if begins { span } else { Duration::ZERO };
                self.change_faults(|a, _| a == host, |fault| fault.repeat_delay = repeat_delay);
            }
            EventKind::Trickle => self.change_faults(|a, _| a == host, |fault| fault.trickle = begins),
            EventKind::ResetLink if begins => self.links(|a, _| a == host).for_each(|(_, r)| r.reset()),
            EventKind::ResetLink => {}
            EventKind::Disk => {
                let fault_name = e.disk.as_deref().filter(|_| begins).unwrap_or("");
                std::fs::write(&self.hosts[usize::from(host)].disk_fault, fault_name)?;
            }
            _ => return Err(invalid(format!("{:?} is not a fault of host processes", e.what))),
        }
        Ok(())
    }

    fn stop(&mut self) {
        for host in 0..self.hosts.len() as u16 {
            self.signal(host, Signal::CONT);
            self.signal(host, Signal::TERM);
        }
        let until = Instant::now() + SHUTDOWN_TIMEOUT;
        for h in &mut self.hosts {
            let Some(child) = &mut h.child else { continue };
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
            let _ = (child.kill(), child.wait());
            h.child = None;
        }
    }
}

impl Drop for HostProcesses {
    fn drop(&mut self) {
        for h in &mut self.hosts {
            if let Some(mut child) = h.child.take() {
                let _ = (child.kill(), child.wait());
            }
        }
    }
}
