//! Child process of a run: holds one voter, or a number of simulated hosts. It reads commands from its
//! standard input and writes a sample to its standard output for each, both as one line of JSON.

use crate::simulated_clients::{MoveTimes, RunClock, SimulatedClients};
use crate::size::Size;
use pearfork::{
    Action, AttemptPolicy, Class, Effect, Event, Group, ListKind, NodeEntry, NodeState, Plan, Scheduler,
    Settings,
};
use pearfork_fleet::{FaultInjection, FleetError, FleetMember, FleetSettings, TrafficCounts, VoterAddress};
use pearfork_ledger::{Fraction, HostNumber, Timing};
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Fraction of each budget that the floors of all hosts together reserve.
const TOTAL_FLOOR: f64 = 0.03;
/// Name of the fleet.
const FLEET_NAME: &str = "scale";
/// Interval at which due timers are run.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Assignment that a child process gets when it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// The size of the whole run.
    pub size: Size,
    /// Number of its first host.
    pub first_host: u32,
    /// Number of its hosts.
    pub hosts: u32,
    /// Listening addresses of the voters, in the order of their hosts.
    pub voters: Vec<SocketAddr>,
    /// Folder in which a voter stores its state.
    pub folder: PathBuf,
    /// Start of the run, Unix time in milliseconds.
    pub began_unix_ms: f64,
}

/// A command to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Return a sample.
    Sample,
    /// From now on, report a host as leased only if its lease was granted after this command.
    Mark,
    /// Exit.
    Quit,
}

/// Sample of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSample {
    /// Bytes sent and received over its sockets.
    pub bytes: u64,
    /// Messages sent and received over its sockets.
    pub messages: u64,
    /// Whether it has a lease that was granted after the last [`Command::Mark`].
    pub is_leased: bool,
}

/// Sample of a child process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Samples of its hosts.
    pub hosts: Vec<HostSample>,
    /// Whether its voter is the leader.
    pub leads: bool,
    /// For each move of load: time until the new user of the volume was served, milliseconds.
    pub move_ms: Vec<f64>,
    /// Number of budgets of which the voter's table lends a fraction.
    pub lent_budgets: usize,
    /// Sum of the lent fractions; 1 is a whole budget.
    pub lent: f64,
    /// Time spent so far in the timers of the schedulers, seconds.
    pub scheduler_seconds: f64,
}

/// Why a child process stopped.
#[derive(Debug, thiserror::Error)]
pub enum ChildError {
    /// A host could not join the fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The scheduler rejects its settings.
    #[error("invalid scheduler settings: {0}")]
    Settings(String),
    /// Standard input could not be read, or a line is not a command.
    #[error("standard input: {0}")]
    Input(#[from] io::Error),
}

/// A simulated host: its fleet membership and its scheduler.
struct SimulatedHost {
    fleet: FleetMember,
    scheduler: Scheduler,
    timers: Vec<Timer>,
    /// Leases received up to the last [`Command::Mark`].
    leases_at_mark: u64,
}

/// A timer set by a scheduler.
#[derive(Clone, Copy)]
struct Timer {
    at_ms: f64,
    label: u64,
}

fn timers(actions: Vec<Action>) -> impl Iterator<Item = Timer> {
    actions.into_iter().filter_map(|action| match action {
        Action::SetTimer { at_ms, label } => Some(Timer { at_ms, label }),
        _ => None,
    })
}

impl SimulatedHost {
    /// Runs the timers that are due.
    fn run_due_timers(&mut self, now_ms: f64) {
        let (due, later) = self.timers.iter().partition(|timer| timer.at_ms <= now_ms);
        self.timers = later;
        let due: Vec<Timer> = due;
        for timer in due {
            let mut actions = Vec::new();
            self.scheduler.handle(now_ms, Event::Timer { label: timer.label }, &mut actions);
            self.timers.extend(timers(actions));
        }
    }
}

/// The hosts of a child process.
pub struct ChildHosts {
    hosts: Vec<SimulatedHost>,
    clock: RunClock,
    move_times: MoveTimes,
    scheduler_seconds: f64,
}

/// Fleet settings of a host.
fn fleet_settings(assignment: &Assignment, host: u32) -> FleetSettings {
    let address = |(number, address): (usize, &SocketAddr)| VoterAddress {
        host: HostNumber(number as u16),
        address: *address,
    };
    let voters: Vec<VoterAddress> = assignment.voters.iter().enumerate().map(address).collect();
    let own_address = voters.iter().find(|v| u32::from(v.host.0) == host);
    FleetSettings {
        name: FLEET_NAME.to_owned(),
        host: HostNumber(host as u16),
        max_hosts: assignment.size.hosts,
        listen: own_address.map(|v| v.address),
        folder: own_address.map(|_| assignment.folder.join(format!("voter-{host}"))),
        voters,
        total_floor: Fraction::from_f64(TOTAL_FLOOR),
        timing: Timing::default(),
        fault_injection: FaultInjection::default(),
    }
}

/// Scheduler settings of a host: one class and one plan.
fn scheduler_settings(size: &Size) -> Settings {
    let class = Class {
        aim_ms: 120.0,
        deadline_ms: 1_000.0,
        worth: 1.0,
        late_worth: 0.1,
        effect: Effect::Safe,
        group: Group::All,
        window_ms: 0.0,
        ordered: false,
        attempt_policy: AttemptPolicy::default(),
    };
    let plan = Plan {
        nominal: 10.0,
        reserve: 5.0,
        weight: 1.0,
        worth_factor: 1.0,
        limit: 0.0,
        burst: 0.0,
        slack: 0.0,
    };
    Settings {
        hosts: size.hosts,
        classes: vec![class],
        plans: vec![plan],
        list_on_request: false,
        round_ms: 2.0,
        max_attempts: 4,
        cancel: true,
        hedging: false,
        max_retry_after_ms: 1_000.0,
        retry_budget: None,
        drain_grace_ms: 2_000.0,
        cold_from: 0.2,
        warm_after_ms: 15_000.0,
        fall_multiple: 2.0,
        fall_ms: 2_000.0,
        cold_units: 40.0,
        key_rest_ms: 0.0,
        mean_units: 2.0,
        max_units: 6.0,
        share_worth: 0.4,
        spare_worth: 0.05,
        meter_ms: 1_000.0,
    }
}

/// A list of ready, warm nodes, each with its own shard.
fn node_list(nodes: u32) -> Vec<NodeEntry> {
    let entry = |node: u32| NodeEntry {
        node,
        shard: node as u16,
        zone: 0,
        state: NodeState::Ready,
        started_ms: -1e6,
    };
    (0..nodes).map(entry).collect()
}

impl ChildHosts {
    /// Starts the hosts of a child process.
    ///
    /// # Errors
    /// Returns an error if a host cannot join the fleet or its scheduler rejects the settings.
    pub fn start(assignment: &Assignment) -> Result<ChildHosts, ChildError> {
        let clock = RunClock::since(assignment.began_unix_ms);
        let move_times = MoveTimes::default();
        let mut hosts = Vec::new();
        for host in assignment.first_host..assignment.first_host + assignment.hosts {
            let clients = SimulatedClients::new(host, &assignment.size, clock, move_times.clone());
            let fleet = FleetMember::start(fleet_settings(assignment, host), clients)?;
            let settings = scheduler_settings(&assignment.size);
            let mut scheduler = Scheduler::new(settings, u64::from(host))
                .map_err(|error| ChildError::Settings(error.to_string()))?;
            let list = Event::NodeList(ListKind::Full, node_list(assignment.size.nodes));
            let mut actions = Vec::new();
            scheduler.handle(clock.now_ms(), list, &mut actions);
            let timers = timers(actions).collect();
            hosts.push(SimulatedHost { fleet, scheduler, timers, leases_at_mark: 0 });
        }
        Ok(ChildHosts { hosts, clock, move_times, scheduler_seconds: 0.0 })
    }

    /// Returns a sample of all hosts, and drains the recorded times of moves.
    pub fn sample(&mut self) -> Sample {
        let mut sample = Sample { scheduler_seconds: self.scheduler_seconds, ..Sample::default() };
        for host in &self.hosts {
            let view = host.fleet.view();
            let TrafficCounts { bytes_sent, bytes_received, messages_sent, messages_received } = view.traffic;
            let has_lease = view.holder.lease_remaining_ms.is_some_and(|ms| ms > 0.0);
            sample.hosts.push(HostSample {
                bytes: bytes_sent + bytes_received,
                messages: messages_sent + messages_received,
                is_leased: has_lease && view.holder.leases_received > host.leases_at_mark,
            });
            if let Some(voter) = view.voter {
                sample.leads = voter.grants_leases;
                sample.lent_budgets = voter.budgets.len();
                sample.lent = voter.budgets.iter().map(|b| b.allocated).sum();
            }
        }
        sample.move_ms = std::mem::take(&mut self.move_times.lock().unwrap_or_else(PoisonError::into_inner));
        sample
    }

    /// Requires a new lease for each host before it counts as leased.
    pub fn mark(&mut self) {
        for host in &mut self.hosts {
            host.leases_at_mark = host.fleet.view().holder.leases_received;
        }
    }

    /// Runs the due timers of all schedulers.
    pub fn tick(&mut self) {
        let started = Instant::now();
        let now_ms = self.clock.now_ms();
        self.hosts.iter_mut().for_each(|host| host.run_due_timers(now_ms));
        self.scheduler_seconds += started.elapsed().as_secs_f64();
    }
}

/// Runs the hosts of a child process until [`Command::Quit`], or until the parent process closes standard
/// input.
///
/// # Errors
/// Returns an error if the hosts cannot start, or if standard input or output fails.
pub fn serve(assignment: &Assignment) -> Result<(), ChildError> {
    let child = Mutex::new(ChildHosts::start(assignment)?);
    let is_stopped = AtomicBool::new(false);
    let lock = || child.lock().unwrap_or_else(PoisonError::into_inner);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_stopped.load(Ordering::Relaxed) {
                lock().tick();
                std::thread::sleep(TICK_INTERVAL);
            }
        });
        let result = serve_commands(|command| match command {
            Command::Sample => Some(lock().sample()),
            Command::Mark => {
                lock().mark();
                Some(Sample::default())
            }
            Command::Quit => None,
        });
        is_stopped.store(true, Ordering::Relaxed);
        result
    })?;
    // An orderly shutdown of hundreds of hosts takes too long, so the process exits with all of them running.
    std::process::exit(0);
}

/// Reads commands from standard input and writes the sample that `handle` returns for each, until it returns
/// `None`. An empty sample is written first to report that the hosts have started.
fn serve_commands(mut handle: impl FnMut(Command) -> Option<Sample>) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string(&Sample::default())?)?;
    for line in io::stdin().lock().lines() {
        let Some(sample) = handle(serde_json::from_str(&line?)?) else { return Ok(()) };
        writeln!(output, "{}", serde_json::to_string(&sample)?)?;
        output.flush()?;
    }
    Ok(())
}
