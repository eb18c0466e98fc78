//! Starts the child processes of a run, measures them, and ends them.

use crate::child::{Assignment, Command, Sample};
use crate::measure::{quantile, Usage};
use crate::report::{LeaderLoss, MoveTimes, Report, RoleCost};
use crate::simulated_clients::RunClock;
use crate::size::{Size, SizeError, HOSTS_PER_PROCESS, MAX_MEMORY_BYTES};
use pearfork_net::free_addresses;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child as Process, ChildStdin, ChildStdout, Stdio};
use std::time::{Duration, Instant};

/// Time limit for every host to have a lease.
const READY_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval at which child processes are sampled while waiting for leases.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Shorter interval while the recovery from the loss of the leader is measured.
const LOSS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for every host to have a lease after the loss of the leader.
const LOSS_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The size is invalid.
    #[error(transparent)]
    Size(#[from] SizeError),
    /// A process, port, file or folder could not be used.
    #[error("system error: {0}")]
    System(#[from] io::Error),
    /// A child process ended or sent an invalid line.
    #[error("child process {process}: {reason}")]
    Process {
        /// Index of the child process.
        process: usize,
        /// What happened.
        reason: String,
    },
    /// The processes use too much memory.
    #[error("run aborted: all processes use {used_mib} MiB, at most {most_mib} MiB are allowed")]
    Memory {
        /// Memory in use, MiB.
        used_mib: u64,
        /// Allowed memory, MiB.
        most_mib: u64,
    },
    /// Not every host had a lease within the time limit.
    #[error("only {leased} of {hosts} hosts had a lease after {seconds} s")]
    NotReady {
        /// Number of hosts with a lease.
        leased: usize,
        /// Number of all hosts.
        hosts: u32,
        /// Time limit, seconds.
        seconds: u64,
    },
}

/// A child process of the run.
struct Worker {
    process: Process,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
    is_alive: bool,
}

impl Worker {
    fn start(program: &Path, assignment: &Assignment) -> io::Result<Worker> {
        let mut process = std::process::Command::new(program)
            .arg("serve")
            .arg(serde_json::to_string(assignment)?)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let missing = || io::Error::other("a child process has no pipe");
        let input = process.stdin.take().ok_or_else(missing)?;
        let output = process.stdout.take().ok_or_else(missing)?;
        Ok(Worker { process, input, output: BufReader::new(output), is_alive: true })
    }

    fn read(&mut self) -> io::Result<Sample> {
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        Ok(serde_json::from_str(&line)?)
    }

    fn request(&mut self, command: Command) -> io::Result<Sample> {
        writeln!(self.input, "{}", serde_json::to_string(&command)?)?;
        self.read()
    }

    fn kill(&mut self) {
        self.is_alive = false;
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sample and resource usage of a child process at one time.
struct Observation {
    sample: Sample,
    usage: Usage,
}

/// Child processes of a run, voters first.
struct Workers {
    all: Vec<Worker>,
    size: Size,
}

impl Workers {
    fn start(program: &Path, size: &Size, folder: &Path) -> Result<Workers, RunError> {
        let voters = free_addresses(usize::from(size.voters))?;
        let began_unix_ms = RunClock::unix_ms();
        let assignment = |first_host: u32, hosts: u32| Assignment {
            size: size.clone(),
            first_host,
            hosts,
            voters: voters.clone(),
            folder: folder.to_owned(),
            began_unix_ms,
        };
        let voter_hosts = u32::from(size.voters);
        let mut assignments: Vec<Assignment> = (0..voter_hosts).map(|host| assignment(host, 1)).collect();
        let first_hosts = (voter_hosts..size.hosts).step_by(HOSTS_PER_PROCESS as usize);
        assignments
            .extend(first_hosts.map(|first| assignment(first, HOSTS_PER_PROCESS.min(size.hosts - first))));
        let mut workers = Workers { all: Vec::new(), size: size.clone() };
        for assignment in assignments {
            workers.all.push(Worker::start(program, &assignment)?);
        }
        for (number, worker) in workers.all.iter_mut().enumerate() {
            worker.read().map_err(|e| RunError::Process { process: number, reason: e.to_string() })?;
        }
        Ok(workers)
    }

    fn request_all(&mut self, command: Command) -> Result<Vec<Observation>, RunError> {
        let mut observations = Vec::new();
        for (process, worker) in self.all.iter_mut().enumerate().filter(|(_, worker)| worker.is_alive) {
            let failed = |e: io::Error| RunError::Process { process, reason: e.to_string() };
            let sample = worker.request(command).map_err(failed)?;
            let usage = Usage::of_process(worker.process.id()).map_err(failed)?;
            observations.push(Observation { sample, usage });
        }
        let used: u64 = observations.iter().map(|o| o.usage.resident_bytes).sum();
        if used > MAX_MEMORY_BYTES {
            return Err(RunError::Memory { used_mib: used >> 20, most_mib: MAX_MEMORY_BYTES >> 20 });
        }
        Ok(observations)
    }

    /// Waits until every host has a lease, and returns the last observations. Calls `observe` with the
    /// observations of each poll.
    fn wait_for_leases(
        &mut self,
        timeout: Duration,
        interval: Duration,
        mut observe: impl FnMut(&[Observation]),
    ) -> Result<Vec<Observation>, RunError> {
        let deadline = Instant::now() + timeout;
        loop {
            let observations = self.request_all(Command::Sample)?;
            observe(&observations);
            let hosts = || observations.iter().flat_map(|o| &o.sample.hosts);
            let leased = hosts().filter(|host| host.is_leased).count();
            if leased == hosts().count() {
                return Ok(observations);
            }
            if Instant::now() > deadline {
                let seconds = timeout.as_secs();
                return Err(RunError::NotReady { leased, hosts: self.size.hosts, seconds });
            }
            std::thread::sleep(interval);
        }
    }

    /// Kills the leader and measures the recovery.
    fn kill_leader(&mut self) -> Result<LeaderLoss, RunError> {
        let mut before = self.request_all(Command::Sample)?;
        let Some(leader) = before.iter().position(|o| o.sample.leads) else {
            return Err(RunError::Process { process: 0, reason: "no voter is the leader".to_owned() });
        };
        let started = Instant::now();
        self.all[leader].kill();
        // The mark is set after the kill: set before it, hosts whose request the old leader still granted
        // would count as leased by the new one.
        self.request_all(Command::Mark)?;
        let elapsed_ms = || started.elapsed().as_secs_f64() * 1_000.0;
        let mut new_leader_ms = None;
        let after = self.wait_for_leases(LOSS_TIMEOUT, LOSS_POLL_INTERVAL, |observations| {
            if observations.iter().any(|o| o.sample.leads) {
                new_leader_ms.get_or_insert_with(elapsed_ms);
            }
        })?;
        let all_leased_ms = elapsed_ms();
        before.remove(leader);
        let new_leader_ms = new_leader_ms.unwrap_or(all_leased_ms);
        Ok(LeaderLoss { new_leader_ms, all_leased_ms, ..leader_loss_traffic(&before, &after) })
    }
}

/// Traffic after the loss of the leader: the bytes of the simulated host that had most, and of the new
/// leader.
fn leader_loss_traffic(before: &[Observation], after: &[Observation]) -> LeaderLoss {
    let mut loss = LeaderLoss::default();
    for (old, new) in before.iter().zip(after) {
        let hosts = old.sample.hosts.iter().zip(&new.sample.hosts);
        let most = hosts.map(|(old, new)| new.bytes.saturating_sub(old.bytes) as f64).fold(0.0, f64::max);
        if new.sample.leads {
            loss.leader_bytes = most;
        } else if new.sample.hosts.len() > 1 {
            loss.most_host_bytes = loss.most_host_bytes.max(most);
        }
    }
    loss
}

/// Returns the mean cost of a role per host, from observations of its processes before and after the
/// measurement.
fn role_cost(pairs: &[(&Observation, &Observation)], seconds: f64) -> RoleCost {
    let hosts: f64 = pairs.iter().map(|(_, after)| after.sample.hosts.len() as f64).sum();
    let mut sum = RoleCost::default();
    for (before, after) in pairs {
        sum.cpu_percent += (after.usage.cpu_seconds - before.usage.cpu_seconds) / seconds * 100.0;
        sum.resident_bytes += after.usage.resident_bytes as f64;
        sum.threads += after.usage.threads as f64;
        sum.descriptors += after.usage.descriptors as f64;
        for (old, new) in before.sample.hosts.iter().zip(&after.sample.hosts) {
            sum.bytes_per_second += (new.bytes - old.bytes) as f64 / seconds;
            sum.messages_per_second += (new.messages - old.messages) as f64 / seconds;
        }
    }
    let hosts = hosts.max(1.0);
    RoleCost {
        cpu_percent: sum.cpu_percent / hosts,
        resident_bytes: sum.resident_bytes / hosts,
        threads: sum.threads / hosts,
        descriptors: sum.descriptors / hosts,
        bytes_per_second: sum.bytes_per_second / hosts,
        messages_per_second: sum.messages_per_second / hosts,
    }
}

/// Returns the size of all files in a folder and its subfolders, bytes.
fn disk_bytes(folder: &Path) -> u64 {
    let Ok(entries) = std::fs::read_dir(folder) else { return 0 };
    let bytes = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => disk_bytes(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    };
    entries.flatten().map(bytes).sum()
}

/// Runs a fleet of the given size and measures it. `program` is the path of this program, from which child
/// processes are started.
///
/// # Errors
/// Returns an error if the size is invalid, a resource is not available, a child process ends, or hosts have
/// no lease in time.
pub fn run(size: &Size, program: &Path, kill_leader: bool) -> Result<Report, RunError> {
    size.check()?;
    let folder = tempfile::tempdir()?;
    let mut workers = Workers::start(program, size, folder.path())?;
    let started = Instant::now();
    workers.wait_for_leases(READY_TIMEOUT, POLL_INTERVAL, |_| {})?;
    let ready = started.elapsed();
    std::thread::sleep(Duration::from_secs(u64::from(size.warm_up)));
    let before = workers.request_all(Command::Sample)?;
    let measurement_start = Instant::now();
    std::thread::sleep(Duration::from_secs(u64::from(size.seconds)));
    let seconds = measurement_start.elapsed().as_secs_f64();
    let after = workers.request_all(Command::Sample)?;
    let leader_loss = if kill_leader { Some(workers.kill_leader()?) } else { None };
    Ok(summarize(&workers, &before, &after, Measured { seconds, ready, leader_loss, folder: folder.path() }))
}

/// Results of a run besides its observations.
struct Measured<'a> {
    seconds: f64,
    ready: Duration,
    leader_loss: Option<LeaderLoss>,
    folder: &'a Path,
}

fn summarize(
    workers: &Workers,
    before: &[Observation],
    after: &[Observation],
    measured: Measured<'_>,
) -> Report {
    let seconds = measured.seconds;
    let pairs: Vec<(&Observation, &Observation)> = before.iter().zip(after).collect();
    let voters = usize::from(workers.size.voters);
    let (voter_pairs, host_pairs) = pairs.split_at(voters.min(pairs.len()));
    let leader: Vec<_> = voter_pairs.iter().copied().filter(|(_, o)| o.sample.leads).collect();
    let followers: Vec<_> = voter_pairs.iter().copied().filter(|(_, o)| !o.sample.leads).collect();
    let per_host = |(old, new): &(&Observation, &Observation)| -> Vec<f64> {
        let pairs = old.sample.hosts.iter().zip(&new.sample.hosts);
        pairs.map(|(old, new)| (new.bytes - old.bytes) as f64 / seconds).collect()
    };
    let mut host_bytes: Vec<f64> = host_pairs.iter().flat_map(per_host).collect();
    let mut move_ms: Vec<f64> = after.iter().flat_map(|o| o.sample.move_ms.clone()).collect();
    let scheduler = |o: &Observation| o.sample.scheduler_seconds;
    let scheduler_seconds: f64 = host_pairs.iter().map(|(old, new)| scheduler(new) - scheduler(old)).sum();
    let simulated_hosts = host_bytes.len().max(1) as f64;
    let last_leader = after.iter().find(|o| o.sample.leads);
    Report {
        size: workers.size.clone(),
        measured_seconds: seconds,
        ready_seconds: measured.ready.as_secs_f64(),
        host: role_cost(host_pairs, seconds),
        host_bytes_p99: quantile(&mut host_bytes, 0.99),
        leader: role_cost(&leader, seconds),
        follower: role_cost(&followers, seconds),
        scheduler_percent: scheduler_seconds / simulated_hosts / seconds * 100.0,
        all_resident_bytes: after.iter().map(|o| o.usage.resident_bytes).sum(),
        moves: MoveTimes {
            count: move_ms.len(),
            p50_ms: quantile(&mut move_ms, 0.5),
            p99_ms: quantile(&mut move_ms, 0.99),
            max_ms: quantile(&mut move_ms, 1.0),
        },
        lent_budgets: last_leader.map_or(0, |o| o.sample.lent_budgets),
        lent: last_leader.map_or(0.0, |o| o.sample.lent),
        disk_bytes: disk_bytes(measured.folder),
        leader_loss: measured.leader_loss,
    }
}
