//! Hosts as processes of their own, each with its settings, its folder and its links.

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

/// How hosts are started.
#[derive(Clone, Debug)]
pub struct ProcessConfig {
    /// `pearfork-gateway`.
    pub gateway: PathBuf,
    /// Settings that all hosts have alike, with a `[fleet]` where they are to be in one: its voters are the first hosts,
    /// as many as it has in `voters` (a number), and addresses are put in here.
    pub settings: String,
    /// Where files of hosts go; a folder for each.
    pub folder: PathBuf,
    /// Rates of clocks by host, for trials of leases.
    pub clocks: BTreeMap<u16, f64>,
}

struct HostProcess {
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    listen: SocketAddr,
    http: SocketAddr,
    trouble: PathBuf,
    folder: PathBuf,
    stopped_until: Option<Instant>,
}

/// Runs the hosts of a day as processes.
pub struct HostProcesses {
    program: ProcessConfig,
    hosts: Vec<HostProcess>,
    /// From a host to a voter.
    relays: BTreeMap<(u16, u16), Relay>,
    voters: u16,
    classes: Vec<String>,
    told: Box<dyn Fn(u16, SocketAddr)>,
}

/// How long a host may take until it listens.
const READY: Duration = Duration::from_secs(20);
/// How long one may take to end in order.
const END: Duration = Duration::from_secs(12);
/// How long one may take for its metrics.
const PATIENCE: Duration = Duration::from_millis(500);

fn unfit(words: impl Into<String>) -> RunError {
    RunError::Invalid(words.into())
}

impl HostProcesses {
    /// A crew that has started nothing yet.
    pub fn new(program: ProcessConfig) -> HostProcesses {
        let (hosts, relays, classes) = (Vec::new(), BTreeMap::new(), Vec::new());
        HostProcesses { program, hosts, relays, voters: 0, classes, told: Box::new(|_, _| {}) }
    }

    /// Whom to tell of each host that is ready, and where its HTTP is.
    pub fn tell(&mut self, told: impl Fn(u16, SocketAddr) + 'static) {
        self.told = Box::new(told);
    }

    /// Where health, metrics and the fleet's state of a host are.
    pub fn http(&self, host: u16) -> Option<SocketAddr> {
        self.hosts.get(usize::from(host)).map(|h| h.http)
    }

    /// The folder of a host.
    pub fn folder(&self, host: u16) -> Option<&Path> {
        self.hosts.get(usize::from(host)).map(|h| h.folder.as_path())
    }

    /// What a host says of its fleet.
    pub fn fleet(&self, host: u16) -> Option<serde_json::Value> {
        let (status, body) = http::get(self.http(host)?, "/fleet", PATIENCE).ok()?;
        (status == 200).then(|| serde_json::from_slice(&body).ok()).flatten()
    }

    /// Settings of one host, as a file's text.
    fn settings(
        &self,
        number: u16,
        day: &Scenario,
        directory: SocketAddr,
        voters: &[SocketAddr],
        at: &HostProcess,
    ) -> Result<String, RunError> {
        let mut t: Table = self.program.settings.parse().map_err(|e| unfit(format!("settings: {e}")))?;
        let address = |a: SocketAddr| Value::String(a.to_string());
        let table = |t: &mut Table, key: &str| -> Result<Table, RunError> {
            match t.remove(key) {
                Some(Value::Table(inner)) => Ok(inner),
                None => Ok(Table::new()),
                Some(_) => Err(unfit(format!("settings: `{key}` is no table"))),
            }
        };
        let mut host = table(&mut t, "host")?;
        host.insert("number".to_owned(), Value::Integer(i64::from(number)));
        host.insert("hosts".to_owned(), Value::Integer(i64::from(day.run.hosts)));
        host.insert("listen".to_owned(), address(at.listen));
        host.insert("http".to_owned(), address(at.http));
        let seed = day.run.seed.wrapping_mul(1_000).wrapping_add(u64::from(number)) & 0xffff_ffff;
        host.insert("seed".to_owned(), Value::Integer(seed as i64));
        t.insert("host".to_owned(), Value::Table(host));
        let mut dir = table(&mut t, "directory")?;
        dir.insert("address".to_owned(), address(directory));
        t.insert("directory".to_owned(), Value::Table(dir));
        if t.contains_key("fleet") {
            let mut fleet = table(&mut t, "fleet")?;
            let line = |(v, own): (usize, &SocketAddr)| {
                let there = self.relays.get(&(number, v as u16)).map_or(*own, Relay::address);
                let mut line = Table::new();
                line.insert("host".to_owned(), Value::Integer(v as i64));
                line.insert("address".to_owned(), address(there));
                Value::Table(line)
            };
            let lines = voters.iter().enumerate().map(line).collect();
            fleet.insert("voters".to_owned(), Value::Array(lines));
            // The file stands for the first host, which votes; others have neither.
            let _ = (fleet.remove("listen"), fleet.remove("folder"));
            let mut trouble = Table::new();
            if let Some(own) = voters.get(usize::from(number)) {
                fleet.insert("listen".to_owned(), address(*own));
                let folder = at.folder.join("promises");
                fleet.insert("folder".to_owned(), Value::String(folder.display().to_string()));
                trouble.insert("disk".to_owned(), Value::String(at.trouble.display().to_string()));
            }
            if let Some(rate) = self.program.clocks.get(&number) {
                trouble.insert("clock".to_owned(), Value::Float(*rate));
            }
            fleet.insert("trouble".to_owned(), Value::Table(trouble));
            t.insert("fleet".to_owned(), Value::Table(fleet));
        }
        toml::to_string(&t).map_err(|e| unfit(format!("settings: {e}")))
    }

    fn spawn(&mut self, host: u16) -> Result<(), RunError> {
        let gateway = self.program.gateway.clone();
        let h = &mut self.hosts[usize::from(host)];
        let log = File::options().create(true).append(true).open(&h.log)?;
        let child = Command::new(&gateway)
            .args(["serve", "--log-filter", "info", "--config"])
            .arg(&h.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| unfit(format!("{}: {e}", gateway.display())))?;
        h.child = Some(child);
        Ok(())
    }

    fn signal(&self, host: u16, signal: Signal) {
        let child = self.hosts.get(usize::from(host)).and_then(|h| h.child.as_ref());
        if let Some(pid) = child.and_then(|c| Pid::from_raw(c.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits until a host says that it is well, or at least answers.
    fn wait_ready(&mut self, host: u16) -> Result<(), RunError> {
        let until = Instant::now() + READY;
        loop {
            let h = &mut self.hosts[usize::from(host)];
            let ended = h.child.as_mut().and_then(|c| c.try_wait().ok().flatten());
            if let Some(status) = ended {
                let log = std::fs::read_to_string(&h.log).unwrap_or_default();
                return Err(unfit(format!("host {host} ended with {status}:\n{log}")));
            }
            if http::get(h.http, "/health", PATIENCE).is_ok_and(|(status, _)| status == 200) {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(unfit(format!("host {host} is not ready after {} s", READY.as_secs())));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Links from a host to voters other than itself, and back where the host is a voter.
    fn links(&self, hit: impl Fn(u16, u16) -> bool) -> impl Iterator<Item = (bool, &Relay)> {
        // A relay from a to b carries a's words, and in its other direction b's answers.
        self.relays.iter().flat_map(move |((a, b), relay)| {
            let there = hit(*a, *b).then_some((true, relay));
            let back = hit(*b, *a).then_some((false, relay));
            there.into_iter().chain(back)
        })
    }

    /// Changes what ails all that goes from one host to another, for pairs that are hit.
    fn change_faults(&self, hit: impl Fn(u16, u16) -> bool, change: impl Fn(&mut LinkFault)) {
        for (there, relay) in self.links(hit) {
            let direction = if there { Direction::FromDialer } else { Direction::ToDialer };
            relay.change_fault(direction, &change);
        }
    }
}

impl HostRunner for HostProcesses {
    fn start(
        &mut self,
        day: &Scenario,
        plan: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError> {
        self.classes = plan.class_names.clone();
        self.voters = plan.fleet.as_ref().map_or(0, |f| f.voters.len() as u16);
        if self.voters > day.run.hosts {
            return Err(unfit(format!("{} voters among {} hosts", self.voters, day.run.hosts)));
        }
        let all = usize::from(day.run.hosts);
        let addresses = free_addresses(2 * all + usize::from(self.voters))?;
        let voters = addresses[2 * all..].to_vec();
        for number in 0..day.run.hosts {
            for voter in (0..self.voters).filter(|v| *v != number) {
                let seed = day.run.seed.wrapping_mul(65_537) ^ u64::from(number) << 16 ^ u64::from(voter);
                let relay = Relay::start(voters[usize::from(voter)], seed)?;
                self.relays.insert((number, voter), relay);
            }
        }
        for number in 0..day.run.hosts {
            let folder = self.program.folder.join(format!("host-{number}"));
            std::fs::create_dir_all(&folder)?;
            let i = usize::from(number);
            let process = HostProcess {
                child: None,
                settings: folder.join("host.toml"),
                log: folder.join("log"),
                listen: addresses[2 * i],
                http: addresses[2 * i + 1],
                trouble: folder.join("trouble"),
                folder,
                stopped_until: None,
            };
            let text = self.settings(number, day, directory, &voters, &process)?;
            std::fs::write(&process.settings, text)?;
            self.hosts.push(process);
            self.spawn(number)?;
        }
        for number in 0..day.run.hosts {
            self.wait_ready(number)?;
            (self.told)(number, self.hosts[usize::from(number)].http);
        }
        Ok(self.hosts.iter().map(|h| h.listen).collect())
    }

    fn restart(&mut self, host: u16) -> Result<(), RunError> {
        if let Some(child) = &mut self.hosts[usize::from(host)].child {
            // One that was asked to end may still be at it; two under one name are a trouble of their own.
            let until = Instant::now() + END;
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
            // The day goes on meanwhile.
            std::thread::spawn(move || {
                std::thread::sleep(span);
                let _ = kill_process(pid, Signal::CONT);
            });
        }
    }

    fn counts(&self, host: u16) -> Option<HostCounts> {
        let h =
            self.hosts.get(usize::from(host)).filter(|h| h.child.is_some() && h.stopped_until.is_none())?;
        let (status, body) = http::get(h.http, "/metrics", PATIENCE).ok()?;
        let text = String::from_utf8(body).ok().filter(|_| status == 200)?;
        let count = |family: &str, class: &str, answer: &str| -> u64 {
            let label = if answer.is_empty() {
                format!("pearfork_{family}{{class=\"{class}\"}} ")
            } else {
                format!("pearfork_{family}{{class=\"{class}\",answer=\"{answer}\"}} ")
            };
            let value = text.lines().find_map(|l| l.strip_prefix(&label)).and_then(|v| v.parse::<f64>().ok());
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
        let to = |b: u16| peer.is_none_or(|p| p == b);
        let span = Duration::from_secs_f64(times.clamp(0.0, 3.6e6) / 1_000.0);
        match e.what {
            EventKind::HostStop => {
                self.signal(host, if begins { Signal::STOP } else { Signal::CONT });
                self.hosts[usize::from(host)].stopped_until = begins.then(Instant::now);
            }
            EventKind::HostTerm if begins => self.signal(host, Signal::TERM),
            EventKind::HostTerm => self.restart(host)?,
            EventKind::Cut => {
                self.change_faults(
                    |a, b| (a == host && to(b)) || (b == host && to(a)),
                    |fault| fault.cut = begins,
                );
            }
            EventKind::CutOneWay => self.change_faults(|a, b| a == host && to(b), |fault| fault.cut = begins),
            EventKind::Split => {
                let groups = (times as u16).max(2);
                self.change_faults(|a, b| a % groups != b % groups, |fault| fault.cut = begins);
            }
            EventKind::Ring => {
                let all = self.hosts.len() as u16;
                let near = move |a: u16, b: u16| (a + 1) % all == b || (b + 1) % all == a;
                self.change_faults(|a, b| !near(a, b), |fault| fault.cut = begins);
            }
            EventKind::SlowLink => {
                let delay = if begins { span } else { Duration::ZERO };
                self.change_faults(|a, _| a == host, |fault| fault.delay = delay);
            }
            EventKind::DropLink => {
                let lost = if begins { times.min(1.0) } else { 0.0 };
                self.change_faults(|a, _| a == host, |fault| fault.lost = lost);
            }
            EventKind::RepeatLink => {
                let repeat = if begins { span } else { Duration::ZERO };
                self.change_faults(|a, _| a == host, |fault| fault.repeat = repeat);
            }
            EventKind::Trickle => self.change_faults(|a, _| a == host, |fault| fault.trickle = begins),
            EventKind::ResetLink if begins => self.links(|a, _| a == host).for_each(|(_, r)| r.reset()),
            EventKind::ResetLink => {}
            EventKind::Disk => {
                let word = e.disk.as_deref().filter(|_| begins).unwrap_or("");
                std::fs::write(&self.hosts[usize::from(host)].trouble, word)?;
            }
            _ => return Err(unfit(format!("{:?} is no trouble of processes", e.what))),
        }
        Ok(())
    }

    fn stop(&mut self) {
        for host in 0..self.hosts.len() as u16 {
            self.signal(host, Signal::CONT);
            self.signal(host, Signal::TERM);
        }
        let until = Instant::now() + END;
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
