//! Runs a scenario on loopback: starts nodes, hosts and clients, injects faults at their times, and checks
//! the result.

use crate::expectations::{self, ExpectationResult};
use crate::host_runner::{HostCounts, HostRunner};
use crate::scenario::{EventKind, EventTable, Scenario};
use crate::{check_events, rule_parameters};
use pearfork_host::counts::{ClassCounts, ReasonCounts};
use pearfork_host::settings::HostSettings;
use pearfork_host::HostError;
use pearfork_record::{HostClassCounts, RecordHeader, Recording, ScenarioEvent};
use pearfork_rulecheck::{Report, TraceEvent, TraceEventKind};
use pearfork_stand::{
    FakeClient, FakeClientSpec, FakeClientStats, FakeCluster, FakeClusterSpec, NodeFault, Recorder,
};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Why a scenario could not be run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A fake node, the fake directory or a fake client could not start.
    #[error("the test environment could not start: {0}")]
    Environment(#[from] io::Error),
    /// A host could not start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The scenario and the settings do not fit together.
    #[error("{0}")]
    Invalid(String),
}

/// Refusals and failures while the same set of faults was active.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    /// The active faults; empty for the time without faults.
    pub active_faults: Vec<String>,
    /// Total time.
    pub duration: Duration,
    /// Refusals and failures by reason.
    pub reasons: ReasonCounts,
}

/// Attributes refusals and failures to the faults that are active.
#[derive(Default)]
struct FaultPeriodTracker {
    periods: Vec<FaultPeriod>,
    /// Descriptions of the active faults.
    active_faults: Vec<String>,
    /// Start of the current period, as time since the start of the run.
    period_start: Duration,
    /// Counts of all hosts at the start of the current period.
    previous_counts: ReasonCounts,
    /// Counts of each host up to the last time that it was killed, as a restarted host counts from 0.
    counts_before_kill: Vec<HostCounts>,
}

impl FaultPeriodTracker {
    fn new(hosts: usize, classes: usize) -> FaultPeriodTracker {
        let none = (vec![ClassCounts::default(); classes], ReasonCounts::default());
        FaultPeriodTracker { counts_before_kill: vec![none; hosts], ..FaultPeriodTracker::default() }
    }

    /// Returns all counts of a host, including those before it was killed.
    fn counts(&self, number: usize, host_runner: &dyn HostRunner) -> HostCounts {
        let (mut classes, mut reasons) = self.counts_before_kill[number].clone();
        if let Some((host_classes, host_reasons)) = host_runner.counts(number as u16) {
            classes.iter_mut().zip(&host_classes).for_each(|(sum, c)| sum.merge(c));
            reasons.merge(&host_reasons);
        }
        (classes, reasons)
    }

    /// Saves the counts of a host that is about to be killed.
    fn save_counts(&mut self, number: usize, host_runner: &dyn HostRunner) {
        self.counts_before_kill[number] = self.counts(number, host_runner);
    }

    /// Ends the current period and adds its counts to those with the same active faults.
    fn close_period(&mut self, at: Duration, host_runner: &dyn HostRunner) {
        let mut all = ReasonCounts::default();
        (0..self.counts_before_kill.len()).for_each(|i| all.merge(&self.counts(i, host_runner).1));
        let (reasons, duration) = (all.since(&self.previous_counts), at.saturating_sub(self.period_start));
        match self.periods.iter_mut().find(|d| d.active_faults == self.active_faults) {
            Some(d) => {
                d.reasons.merge(&reasons);
                d.duration += duration;
            }
            None => self.periods.push(FaultPeriod {
                active_faults: self.active_faults.clone(),
                duration,
                reasons,
            }),
        }
        (self.previous_counts, self.period_start) = (all, at);
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// Statistics of the clients, with the name of their group.
    pub clients: Vec<(String, FakeClientStats)>,
    /// Counts of each host by class.
    pub class_counts: Vec<Vec<ClassCounts>>,
    /// Refusals and failures of all hosts, by the faults that were active.
    pub fault_periods: Vec<FaultPeriod>,
    /// Refusals and failures of each host.
    pub reasons: Vec<ReasonCounts>,
    /// Names of the classes.
    pub class_names: Vec<String>,
    /// Findings of the rule checker.
    pub rules: Report,
    /// Recorded events; tests modify them to check that violations are found.
    pub events: Vec<TraceEvent>,
    /// Parameters of the rule check.
    pub rule_parameters: pearfork_rulecheck::RuleParameters,
    /// Results of the expectations for volumes with a limit.
    pub expectations: Vec<ExpectationResult>,
    /// Ids of the nodes that collapsed because they were overloaded while cold.
    pub collapsed_nodes: Vec<u32>,
    /// Log of the events of the scenario.
    pub scenario_events: Vec<ScenarioEvent>,
    /// Start of the recording as Unix time in milliseconds.
    pub start_unix_ms: f64,
}

impl RunResult {
    /// Descriptions of the blocks that were read with a content that was not valid.
    pub fn stale(&self) -> Vec<&str> {
        self.clients.iter().flat_map(|(_, t)| t.stale.iter().map(String::as_str)).collect()
    }

    /// Returns the recording of the run.
    pub fn recording(&self, name: &str, scenario: &Scenario, settings: &HostSettings) -> Recording {
        let header = RecordHeader {
            name: name.to_owned(),
            hosts: scenario.run.hosts,
            length_ms: scenario.run.length.ms(),
            margin_ms: scenario.run.margin.ms(),
            began_ms: self.start_unix_ms,
            settings: settings.provenance.resolved().to_owned(),
            ..RecordHeader::default()
        };
        let counted = |(host, classes): (usize, &Vec<ClassCounts>)| {
            let reasons = |class: usize| {
                let counts = self.reasons[host].by_reason(|k| usize::from(k.class) == class);
                counts.into_iter().map(|(reason, n)| (reason.to_string(), n)).collect()
            };
            let of_class = |(i, (class, c)): (usize, (&String, &ClassCounts))| HostClassCounts {
                host: host as u16,
                class: class.clone(),
                accepted: c.taken,
                served: c.served,
                late: c.late,
                refused: c.refused,
                failed: c.failed,
                abandoned: c.abandoned,
                reasons: reasons(i),
            };
            self.class_names.iter().zip(classes).enumerate().map(of_class).collect::<Vec<_>>()
        };
        Recording {
            header,
            scenario_events: self.scenario_events.clone(),
            events: self.events.clone(),
            host_counts: self.class_counts.iter().enumerate().flat_map(counted).collect(),
            complete: true,
        }
    }
}

/// An entry of the timeline.
enum Step {
    Start(EventTable),
    End(EventTable),
}

/// Runs a scenario with hosts of the given settings. `progress` is called at each event and about once per
/// second.
///
/// # Errors
/// Returns an error if the scenario does not fit the settings, or if a node, a host, a client or a fault
/// could not be started.
pub fn run_scenario(
    scenario: &Scenario,
    settings: &HostSettings,
    host_runner: &mut dyn HostRunner,
    mut progress: impl FnMut(Duration, &str),
) -> Result<RunResult, RunError> {
    let mut luns: Vec<u16> = settings.volumes.iter().map(|v| v.lun).collect();
    luns.sort_unstable();
    luns.dedup();
    if luns.len() != settings.volumes.len() {
        return Err(RunError::Invalid("in a scenario, each volume must have its own unit number".to_owned()));
    }
    let has_limit = |name: &str| {
        let volume = settings.volumes.iter().find(|v| v.name == name);
        volume.is_some_and(|v| settings.scheduler.plans[usize::from(v.plan)].limit > 0.0)
    };
    if let Some(e) = scenario.expectations.iter().find(|e| !has_limit(&e.volume)) {
        return Err(RunError::Invalid(format!("expect: there is no volume `{}` with a limit", e.volume)));
    }
    let start_unix_ms =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
    let recorder = Recorder::default();
    let mut scenario_events = Vec::new();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let spec = FakeClusterSpec {
        node_count: scenario.nodes.count,
        racks: scenario.nodes.racks,
        replicas: scenario.nodes.replicas,
        cores: scenario.nodes.cores,
        queue_capacity: scenario.nodes.queue_capacity,
        unit_work: scenario.nodes.unit_work.duration(),
        deferred_fraction: scenario.nodes.deferred_fraction,
        repeat_window: scenario.nodes.repeat_window.duration(),
        ..FakeClusterSpec::default()
    };
    let directory_delay = scenario.run.directory_delay.duration();
    let cluster = FakeCluster::start(&spec, &settings.scheduler, any_port, directory_delay, &recorder)?;
    let hosts = host_runner.start(scenario, settings, cluster.directory().address())?;
    let clients = start_clients(scenario, settings, &hosts, &recorder)?;
    let steps = build_timeline(scenario);
    let (started, start_us) = (Instant::now(), recorder.elapsed_us());
    let length = scenario.run.length.duration();
    let mut tracker = FaultPeriodTracker::new(hosts.len(), settings.class_names.len());
    let (mut next_step, mut next_progress) = (0, Duration::from_secs(1));
    while started.elapsed() < length {
        while steps.get(next_step).is_some_and(|(at, _)| started.elapsed() >= *at) {
            tracker.close_period(started.elapsed(), host_runner);
            let text = match &steps[next_step].1 {
                Step::Start(e) => {
                    if e.lasts.is_some() {
                        tracker.active_faults.push(describe(e));
                    }
                    start_event(e, &cluster, host_runner, &mut tracker, &clients, &recorder)?
                }
                Step::End(e) => {
                    tracker.active_faults.retain(|u| *u != describe(e));
                    end_event(e, &cluster, host_runner, &clients)?
                }
            };
            scenario_events.push(ScenarioEvent { at_us: recorder.elapsed_us(), text: text.clone() });
            progress(started.elapsed(), &text);
            next_step += 1;
        }
        if started.elapsed() >= next_progress {
            next_progress += Duration::from_secs(1);
            progress(started.elapsed(), &progress_line(&clients));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // Requests in flight end by their deadline: the end of the scenario cuts none of them off.
    let longest_deadline = settings.scheduler.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let grace = Duration::from_secs_f64(longest_deadline / 1_000.0) + Duration::from_secs(1);
    let client_stats: Vec<(String, FakeClientStats)> =
        clients.into_iter().map(|(n, c)| (n, c.finish(grace))).collect();
    tracker.close_period(started.elapsed(), host_runner);
    let counts: Vec<HostCounts> = (0..hosts.len()).map(|i| tracker.counts(i, host_runner)).collect();
    host_runner.stop();
    let (class_counts, reasons) = counts.into_iter().unzip();
    std::thread::sleep(Duration::from_millis(50));
    let events = recorder.events();
    let parameters = rule_parameters::from_settings(settings, scenario.run.margin.ms(), start_unix_ms);
    let rule_check = check_events(&events, settings, parameters);
    let collapsed_nodes = cluster.nodes().iter().filter(|n| n.has_collapsed()).map(|n| n.spec().id).collect();
    Ok(RunResult {
        clients: client_stats,
        class_counts,
        fault_periods: tracker.periods,
        reasons,
        class_names: settings.class_names.clone(),
        rules: rule_check.report,
        events,
        rule_parameters: rule_check.parameters,
        expectations: expectations::evaluate(&scenario.expectations, settings, &rule_check.trace, start_us),
        collapsed_nodes,
        scenario_events,
        start_unix_ms,
    })
}

fn start_clients(
    scenario: &Scenario,
    settings: &HostSettings,
    hosts: &[SocketAddr],
    recorder: &Recorder,
) -> Result<Vec<(String, FakeClient)>, RunError> {
    let mut clients = Vec::new();
    for (t, table) in scenario.clients.iter().enumerate() {
        let Some(volume) = settings.volumes.iter().find(|v| v.name == table.volume) else {
            return Err(RunError::Invalid(format!(
                "client `{}`: there is no volume `{}`",
                table.name, table.volume
            )));
        };
        let clients_of_volume: u64 =
            scenario.clients.iter().filter(|c| c.volume == table.volume).map(|c| u64::from(c.count)).sum();
        let clients_before: u64 = scenario.clients[..t]
            .iter()
            .filter(|c| c.volume == table.volume)
            .map(|c| u64::from(c.count))
            .sum();
        let blocks_per_client = volume.unit.blocks / clients_of_volume;
        if blocks_per_client < u64::from(table.small_blocks.max(table.large_blocks)) {
            return Err(RunError::Invalid(format!(
                "client `{}`: the volume has too few blocks for all clients that share it",
                table.name
            )));
        }
        for n in 0..table.count {
            let host = table.host.unwrap_or((clients.len() % hosts.len()) as u16);
            let spec = FakeClientSpec {
                name: format!("{}{n}", table.name),
                seed: scenario.run.seed.wrapping_mul(4_096).wrapping_add(clients.len() as u64 + 1),
                host: (host, hosts[usize::from(host)]),
                target: volume.target.clone(),
                lun: volume.lun,
                block_bytes: volume.unit.block_len,
                region: ((clients_before + u64::from(n)) * blocks_per_client, blocks_per_client),
                rate: table.rate,
                write_fraction: table.write_fraction,
                compare_and_write_fraction: table.compare_and_write_fraction,
                flush_fraction: table.flush_fraction,
                small_blocks: table.small_blocks,
                large_blocks: table.large_blocks,
                large_read_fraction: table.large_read_fraction,
                abort_fraction: table.abort_fraction,
                max_retries: table.max_retries,
            };
            clients.push((table.name.clone(), FakeClient::start(spec, recorder.clone())?));
        }
    }
    Ok(clients)
}

/// Returns the starts and ends of all events in order of time.
fn build_timeline(scenario: &Scenario) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for e in &scenario.events {
        steps.push((e.at.duration(), Step::Start(e.clone())));
        if let Some(lasts) = e.lasts {
            steps.push((e.at.duration() + lasts.duration(), Step::End(e.clone())));
        }
    }
    steps.sort_by_key(|s| s.0);
    steps
}

/// Starts an event and returns its log text.
fn start_event(
    e: &EventTable,
    cluster: &FakeCluster,
    host_runner: &mut dyn HostRunner,
    tracker: &mut FaultPeriodTracker,
    clients: &[(String, FakeClient)],
    recorder: &Recorder,
) -> Result<String, RunError> {
    let node = || cluster.node(e.node.unwrap_or(1));
    let times = e.times.unwrap_or(1.0);
    let span = e.lasts.unwrap_or_default().duration();
    let affected = || clients.iter().filter(|(n, _)| Some(n) == e.client.as_ref());
    match e.what {
        EventKind::Hang => node().set_fault(NodeFault::Hang(true)),
        EventKind::Slow => node().set_fault(NodeFault::Slow(times)),
        EventKind::Reset => node().set_fault(NodeFault::Reset),
        EventKind::ResetAtR2t => node().set_fault(NodeFault::ResetAtR2t(true)),
        EventKind::TurnAway => node().set_fault(NodeFault::RejectRequests(true)),
        EventKind::ForgetRepeats => node().set_fault(NodeFault::ForgetKeys(true)),
        EventKind::StandStill => node().set_fault(NodeFault::Pause(span)),
        EventKind::Die => cluster.kill_node(e.node.unwrap_or(1)),
        EventKind::Drain => cluster.drain_node(e.node.unwrap_or(1)),
        EventKind::HostStall => {
            let host = e.host.unwrap_or(0);
            recorder.record(TraceEventKind::HostStalled { host, for_us: span.as_micros() as u64 });
            host_runner.stall(host, span);
        }
        EventKind::HostKill => {
            let host = e.host.unwrap_or(0);
            tracker.save_counts(usize::from(host), host_runner);
            recorder.record(TraceEventKind::HostKilled { host });
            host_runner.kill(host);
        }
        EventKind::HostStop => {
            let host = e.host.unwrap_or(0);
            recorder.record(TraceEventKind::HostStalled { host, for_us: span.as_micros() as u64 });
            host_runner.set_fault(e, true)?;
        }
        EventKind::Surge => affected().for_each(|(_, c)| c.set_rate_multiplier(times)),
        EventKind::Leave => affected().for_each(|(_, c)| c.reconnect()),
        EventKind::DirectoryDown => cluster.directory().set_down(true),
        _ => host_runner.set_fault(e, true)?,
    }
    Ok(log_text(e, "begins"))
}

/// Ends an event and returns its log text.
fn end_event(
    e: &EventTable,
    cluster: &FakeCluster,
    host_runner: &mut dyn HostRunner,
    clients: &[(String, FakeClient)],
) -> Result<String, RunError> {
    let id = e.node.unwrap_or(1);
    let node = || cluster.node(id);
    match e.what {
        EventKind::Hang => node().set_fault(NodeFault::Hang(false)),
        EventKind::Slow => node().set_fault(NodeFault::Slow(1.0)),
        EventKind::ResetAtR2t => node().set_fault(NodeFault::ResetAtR2t(false)),
        EventKind::TurnAway => node().set_fault(NodeFault::RejectRequests(false)),
        EventKind::ForgetRepeats => node().set_fault(NodeFault::ForgetKeys(false)),
        EventKind::Die | EventKind::Drain => cluster.restart_node(id)?,
        EventKind::HostKill => host_runner.restart(e.host.unwrap_or(0))?,
        EventKind::Surge => {
            clients
                .iter()
                .filter(|(n, _)| Some(n) == e.client.as_ref())
                .for_each(|(_, c)| c.set_rate_multiplier(1.0));
        }
        EventKind::DirectoryDown => cluster.directory().set_down(false),
        EventKind::Reset | EventKind::StandStill | EventKind::HostStall | EventKind::Leave => {}
        _ => host_runner.set_fault(e, false)?,
    }
    Ok(log_text(e, "ends"))
}

/// Text of the log entry for the start or the end of an event.
fn log_text(e: &EventTable, verb: &str) -> String {
    format!("{} {verb}", describe(e))
}

/// Describes an event by its kind and what it affects.
fn describe(e: &EventTable) -> String {
    let target = match (e.node, e.host, &e.client) {
        (_, Some(h), _) if e.peer.is_some() => format!(" host {h} and {}", e.peer.unwrap_or(h)),
        (_, Some(h), _) if e.disk.is_some() => format!(" host {h}: {}", e.disk.as_deref().unwrap_or("")),
        (Some(n), ..) => format!(" node {n}"),
        (_, Some(h), _) => format!(" host {h}"),
        (.., Some(c)) => format!(" clients {c}"),
        _ => String::new(),
    };
    format!("{:?}{target}", e.what)
}

/// Sums of all clients for the progress output.
fn progress_line(clients: &[(String, FakeClient)]) -> String {
    let sum = clients
        .iter()
        .map(|(_, c)| c.stats())
        .fold((0, 0, 0, 0), |s, t| (s.0 + t.sent, s.1 + t.served, s.2 + t.refused, s.3 + t.failed));
    format!("sent {} served {} refused {} failed {}", sum.0, sum.1, sum.2, sum.3)
}
