//! What runs in a process of the run: one voter, or a number of hollow hosts. It answers each line on its standard input by a
//! line on its standard output.

use crate::hollow::{HollowUser, MoveTimes, RunClock};
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

/// What all floors together make of each limit.
const FLOORS: f64 = 0.03;
/// Name of the run's fleet.
const FLEET_NAME: &str = "scale";
/// How often timers are looked at.
const TICK: Duration = Duration::from_millis(10);

/// What a process of the run is told when it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assignment {
    /// The size of the whole run.
    pub size: Size,
    /// Its first host.
    pub first_host: u32,
    /// How many hosts it has.
    pub hosts: u32,
    /// Where the voters listen, in the order of their hosts.
    pub voters: Vec<SocketAddr>,
    /// Where a voter keeps its state.
    pub folder: PathBuf,
    /// When the run began, Unix time in milliseconds.
    pub began_unix_ms: f64,
}

/// A line to a process of the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Say how things stand.
    Sample,
    /// From now on count hosts that were granted a lease since.
    Mark,
    /// End.
    Quit,
}

/// How one hollow host stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSample {
    /// Bytes over its sockets, both ways.
    pub bytes: u64,
    /// Messages over its sockets, both ways.
    pub messages: u64,
    /// It has a lease that was granted after the mark.
    pub is_leased: bool,
}

/// How a process stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Its hosts.
    pub hosts: Vec<HostSample>,
    /// Its voter leads.
    pub leads: bool,
    /// How long moves took until their newcomers were served, milliseconds.
    pub move_ms: Vec<f64>,
    /// Budgets of which the voter's table lends something, and how much of each, summed.
    pub lent_budgets: usize,
    /// The sum of what is lent, in whole budgets.
    pub lent: f64,
    /// Processor time that the schedulers took so far, seconds of the thread that ticks them.
    pub scheduler_seconds: f64,
}

/// Why a process can't run.
#[derive(Debug, thiserror::Error)]
pub enum ChildError {
    /// It can't join its fleet.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// The module does not take the settings.
    #[error("settings of the scheduler: {0}")]
    Settings(String),
    /// Its parent is gone, or speaks no sense.
    #[error("standard input: {0}")]
    Input(#[from] io::Error),
}

struct Member {
    fleet: FleetMember,
    scheduler: Scheduler,
    timers: Vec<Timer>,
    answered_at_mark: u64,
}

/// A timer that a scheduler set.
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

impl Member {
    /// Rings the timers that are due.
    fn ring_timers(&mut self, now_ms: f64) {
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

/// A process of the run.
pub struct Child {
    members: Vec<Member>,
    clock: RunClock,
    move_times: MoveTimes,
    scheduler_seconds: f64,
}

fn fleet_plan(assignment: &Assignment, host: u32) -> FleetSettings {
    let address = |(number, address): (usize, &SocketAddr)| VoterAddress {
        host: HostNumber(number as u16),
        address: *address,
    };
    let voters: Vec<VoterAddress> = assignment.voters.iter().enumerate().map(address).collect();
    let own = voters.iter().find(|v| u32::from(v.host.0) == host);
    FleetSettings {
        name: FLEET_NAME.to_owned(),
        host: HostNumber(host as u16),
        max_hosts: assignment.size.hosts,
        listen: own.map(|v| v.address),
        folder: own.map(|_| assignment.folder.join(format!("voter-{host}"))),
        voters,
        total_floor: Fraction::from_f64(FLOORS),
        timing: Timing::default(),
        fault_injection: FaultInjection::default(),
    }
}

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

impl Child {
    /// Starts the hosts of a process.
    ///
    /// # Errors
    /// What the machine or the module refuses.
    pub fn start(assignment: &Assignment) -> Result<Child, ChildError> {
        let clock = RunClock::since(assignment.began_unix_ms);
        let move_times = MoveTimes::default();
        let mut members = Vec::new();
        for host in assignment.first_host..assignment.first_host + assignment.hosts {
            let user = HollowUser::new(host, &assignment.size, clock, move_times.clone());
            let fleet = FleetMember::start(fleet_plan(assignment, host), user)?;
            let settings = scheduler_settings(&assignment.size);
            let mut scheduler = Scheduler::new(settings, u64::from(host))
                .map_err(|why| ChildError::Settings(why.to_string()))?;
            let list = Event::NodeList(ListKind::Full, node_list(assignment.size.nodes));
            let mut actions = Vec::new();
            scheduler.handle(clock.now_ms(), list, &mut actions);
            let timers = timers(actions).collect();
            members.push(Member { fleet, scheduler, timers, answered_at_mark: 0 });
        }
        Ok(Child { members, clock, move_times, scheduler_seconds: 0.0 })
    }

    /// How things stand.
    pub fn sample(&mut self) -> Sample {
        let mut sample = Sample { scheduler_seconds: self.scheduler_seconds, ..Sample::default() };
        for member in &self.members {
            let view = member.fleet.view();
            let TrafficCounts { bytes_sent, bytes_received, messages_sent, messages_received } = view.traffic;
            let has_lease = view.holder.lease_remaining_ms.is_some_and(|ms| ms > 0.0);
            sample.hosts.push(HostSample {
                bytes: bytes_sent + bytes_received,
                messages: messages_sent + messages_received,
                is_leased: has_lease && view.holder.leases_received > member.answered_at_mark,
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

    /// From now on a host counts as leased once it is granted a lease anew.
    pub fn mark(&mut self) {
        for member in &mut self.members {
            member.answered_at_mark = member.fleet.view().holder.leases_received;
        }
    }

    /// Rings the timers of all schedulers that are due.
    pub fn tick(&mut self) {
        let began = Instant::now();
        let now_ms = self.clock.now_ms();
        self.members.iter_mut().for_each(|member| member.ring_timers(now_ms));
        self.scheduler_seconds += began.elapsed().as_secs_f64();
    }
}

/// Runs a process until it is told to quit or its parent is gone.
///
/// # Errors
/// What the machine or the module refuses.
pub fn serve(assignment: &Assignment) -> Result<(), ChildError> {
    let child = Mutex::new(Child::start(assignment)?);
    let is_over = AtomicBool::new(false);
    let lock = || child.lock().unwrap_or_else(PoisonError::into_inner);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                lock().tick();
                std::thread::sleep(TICK);
            }
        });
        let served = answer_lines(|command| match command {
            Command::Sample => Some(lock().sample()),
            Command::Mark => {
                lock().mark();
                Some(Sample::default())
            }
            Command::Quit => None,
        });
        is_over.store(true, Ordering::Relaxed);
        served
    })?;
    // Danger: to stop hundreds of hosts in order takes longer than anybody waits; the process ends with all of them.
    std::process::exit(0);
}

fn answer_lines(mut answer: impl FnMut(Command) -> Option<Sample>) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "{}", serde_json::to_string(&Sample::default())?)?;
    for line in io::stdin().lock().lines() {
        let Some(sample) = answer(serde_json::from_str(&line?)?) else { return Ok(()) };
        writeln!(output, "{}", serde_json::to_string(&sample)?)?;
        output.flush()?;
    }
    Ok(())
}
