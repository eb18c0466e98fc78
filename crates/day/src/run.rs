//! Plays a scripted day on loopback: nodes, hosts and clients, troubles at their times, and the verdict.

use crate::expectations::{self, ExpectationResult};
use crate::host_runner::{HostCounts, HostRunner};
use crate::scenario::{EventKind, EventTable, Scenario};
use crate::{check_notes, rule_parameters};
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

/// A day that could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A stand-in could not start.
    #[error("a stand-in could not start: {0}")]
    Environment(#[from] io::Error),
    /// A host could not start.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The day and the settings do not go together.
    #[error("{0}")]
    Invalid(String),
}

/// Refusals and failures while the same troubles went on.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    /// The troubles; none on a calm stretch.
    pub troubles: Vec<String>,
    /// For how long in all.
    pub lasted: Duration,
    /// What was refused and failed.
    pub reasons: ReasonCounts,
}

/// Keeps refusals apart by what goes on.
#[derive(Default)]
struct Ledger {
    during: Vec<FaultPeriod>,
    /// What is under way, by its words.
    under_way: Vec<String>,
    since: Duration,
    seen: ReasonCounts,
    /// What each host counted up to the last time that it was killed.
    lost: Vec<HostCounts>,
}

impl Ledger {
    fn new(hosts: usize, classes: usize) -> Ledger {
        let none = (vec![ClassCounts::default(); classes], ReasonCounts::default());
        Ledger { lost: vec![none; hosts], ..Ledger::default() }
    }

    /// All that a host counted up to now, before it was killed included.
    fn counts(&self, number: usize, crew: &dyn HostRunner) -> HostCounts {
        let (mut classes, mut reasons) = self.lost[number].clone();
        if let Some((own, why)) = crew.counts(number as u16) {
            classes.iter_mut().zip(&own).for_each(|(sum, c)| sum.merge(c));
            reasons.merge(&why);
        }
        (classes, reasons)
    }

    /// A host is about to be killed.
    fn lose(&mut self, number: usize, crew: &dyn HostRunner) {
        self.lost[number] = self.counts(number, crew);
    }

    /// Closes the stretch that ends now.
    fn close(&mut self, at: Duration, crew: &dyn HostRunner) {
        let mut all = ReasonCounts::default();
        (0..self.lost.len()).for_each(|i| all.merge(&self.counts(i, crew).1));
        let (reasons, lasted) = (all.since(&self.seen), at.saturating_sub(self.since));
        match self.during.iter_mut().find(|d| d.troubles == self.under_way) {
            Some(d) => {
                d.reasons.merge(&reasons);
                d.lasted += lasted;
            }
            None => self.during.push(FaultPeriod { troubles: self.under_way.clone(), lasted, reasons }),
        }
        (self.seen, self.since) = (all, at);
    }
}

/// What came of a day.
#[derive(Debug)]
pub struct RunResult {
    /// Tallies of the clients, by name.
    pub clients: Vec<(String, FakeClientStats)>,
    /// Counts of each host by class.
    pub hosts: Vec<Vec<ClassCounts>>,
    /// Refusals and failures of all hosts, by what went on at the time.
    pub fault_periods: Vec<FaultPeriod>,
    /// Those of each host.
    pub reasons: Vec<ReasonCounts>,
    /// Names of the classes.
    pub class_names: Vec<String>,
    /// The seven rules.
    pub rules: Report,
    /// The record, for tests that break it on purpose.
    pub notes: Vec<TraceEvent>,
    /// What it was judged by.
    pub rule_parameters: pearfork_rulecheck::RuleParameters,
    /// What was promised of volumes with a limit, and what came.
    pub expectations: Vec<ExpectationResult>,
    /// Nodes that fell over cold.
    pub collapsed_nodes: Vec<u32>,
    /// What the script did.
    pub said: Vec<ScenarioEvent>,
    /// Start of the record, milliseconds of the Unix epoch.
    pub began_ms: f64,
}

impl RunResult {
    /// Blocks that were read and were not what they had to be.
    pub fn stale(&self) -> Vec<&str> {
        self.clients.iter().flat_map(|(_, t)| t.stale.iter().map(String::as_str)).collect()
    }

    /// The record of the day, to be kept.
    pub fn recording(&self, name: &str, day: &Scenario, plan: &HostSettings) -> Recording {
        let header = RecordHeader {
            name: name.to_owned(),
            hosts: day.run.hosts,
            length_ms: day.run.length.ms(),
            margin_ms: day.run.margin.ms(),
            began_ms: self.began_ms,
            settings: plan.provenance.resolved().to_owned(),
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
            scenario_events: self.said.clone(),
            events: self.notes.clone(),
            host_counts: self.hosts.iter().enumerate().flat_map(counted).collect(),
            complete: true,
        }
    }
}

enum Step {
    Begin(EventTable),
    End(EventTable),
}

/// Plays a day with hosts of a plan, run by a crew. `progress` is called about once a second.
///
/// # Errors
/// Nothing was played, or no thread could be had on the way.
pub fn run_scenario(
    day: &Scenario,
    plan: &HostSettings,
    crew: &mut dyn HostRunner,
    mut progress: impl FnMut(Duration, &str),
) -> Result<RunResult, RunError> {
    let mut luns: Vec<u16> = plan.volumes.iter().map(|v| v.lun).collect();
    luns.sort_unstable();
    luns.dedup();
    if luns.len() != plan.volumes.len() {
        return Err(RunError::Invalid("in a day, each volume needs a unit number of its own".to_owned()));
    }
    let limited = |name: &str| {
        let volume = plan.volumes.iter().find(|v| v.name == name);
        volume.is_some_and(|v| plan.scheduler.plans[usize::from(v.plan)].limit > 0.0)
    };
    if let Some(e) = day.expectations.iter().find(|e| !limited(&e.volume)) {
        return Err(RunError::Invalid(format!(
            "there is no volume `{}` with a limit to expect of",
            e.volume
        )));
    }
    let began_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0;
    let recorder = Recorder::default();
    let mut said = Vec::new();
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let spec = FakeClusterSpec {
        node_count: day.nodes.count,
        racks: day.nodes.racks,
        replicas: day.nodes.replicas,
        cores: day.nodes.cores,
        queue_capacity: day.nodes.waiting,
        unit_work: day.nodes.work.duration(),
        deferred_fraction: day.nodes.deferred,
        repeat_window: day.nodes.repeats_dropped.duration(),
    };
    let late = day.run.directory_late.duration();
    let fleet = FakeCluster::start(&spec, &plan.scheduler, anywhere, late, &recorder)?;
    let hosts = crew.start(day, plan, fleet.directory().address())?;
    let clients = start_clients(day, plan, &hosts, &recorder)?;
    let steps = timeline(day);
    let (began, began_us) = (Instant::now(), recorder.elapsed_us());
    let length = day.run.length.duration();
    let mut ledger = Ledger::new(hosts.len(), plan.class_names.len());
    let (mut next_step, mut next_line) = (0, Duration::from_secs(1));
    while began.elapsed() < length {
        while steps.get(next_step).is_some_and(|(at, _)| began.elapsed() >= *at) {
            ledger.close(began.elapsed(), crew);
            let words = match &steps[next_step].1 {
                Step::Begin(e) => {
                    if e.lasts.is_some() {
                        ledger.under_way.push(name(e));
                    }
                    begin(e, &fleet, crew, &mut ledger, &clients, &recorder)?
                }
                Step::End(e) => {
                    ledger.under_way.retain(|u| *u != name(e));
                    end(e, &fleet, crew, &clients)?
                }
            };
            said.push(ScenarioEvent { at_us: recorder.elapsed_us(), text: words.clone() });
            progress(began.elapsed(), &words);
            next_step += 1;
        }
        if began.elapsed() >= next_line {
            next_line += Duration::from_secs(1);
            progress(began.elapsed(), &line(&clients));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    // What is out ends by its deadline; nothing is cut off by the end of the day.
    let longest = plan.scheduler.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let within = Duration::from_secs_f64(longest / 1_000.0) + Duration::from_secs(1);
    let done: Vec<(String, FakeClientStats)> =
        clients.into_iter().map(|(n, c)| (n, c.finish(within))).collect();
    ledger.close(began.elapsed(), crew);
    let counts: Vec<HostCounts> = (0..hosts.len()).map(|i| ledger.counts(i, crew)).collect();
    crew.stop();
    let (by_class, reasons) = counts.into_iter().unzip();
    std::thread::sleep(Duration::from_millis(50));
    let notes = recorder.events();
    let figures = rule_parameters::from_settings(plan, day.run.margin.ms(), began_ms);
    let judged = check_notes(&notes, plan, figures);
    let fallen = fleet.nodes().iter().filter(|n| n.has_crashed()).map(|n| n.spec().id).collect();
    Ok(RunResult {
        clients: done,
        hosts: by_class,
        fault_periods: ledger.during,
        reasons,
        class_names: plan.class_names.clone(),
        rules: judged.report,
        notes,
        rule_parameters: judged.parameters,
        expectations: expectations::evaluate(&day.expectations, plan, &judged.trace, began_us),
        collapsed_nodes: fallen,
        said,
        began_ms,
    })
}

fn start_clients(
    day: &Scenario,
    plan: &HostSettings,
    hosts: &[SocketAddr],
    recorder: &Recorder,
) -> Result<Vec<(String, FakeClient)>, RunError> {
    let mut clients = Vec::new();
    for (t, table) in day.clients.iter().enumerate() {
        let Some(volume) = plan.volumes.iter().find(|v| v.name == table.volume) else {
            return Err(RunError::Invalid(format!(
                "client `{}`: there is no volume `{}`",
                table.name, table.volume
            )));
        };
        let of_volume: u64 =
            day.clients.iter().filter(|c| c.volume == table.volume).map(|c| u64::from(c.count)).sum();
        let before: u64 =
            day.clients[..t].iter().filter(|c| c.volume == table.volume).map(|c| u64::from(c.count)).sum();
        let each = volume.unit.blocks / of_volume;
        if each < u64::from(table.small.max(table.large)) {
            return Err(RunError::Invalid(format!(
                "client `{}`: the volume is too small for so many",
                table.name
            )));
        }
        for n in 0..table.count {
            let host = table.host.unwrap_or((clients.len() % hosts.len()) as u16);
            let spec = FakeClientSpec {
                name: format!("{}{n}", table.name),
                seed: day.run.seed.wrapping_mul(4_096).wrapping_add(clients.len() as u64 + 1),
                host: (host, hosts[usize::from(host)]),
                target: volume.target.clone(),
                lun: volume.lun,
                block_bytes: volume.unit.block_len,
                region: ((before + u64::from(n)) * each, each),
                rate: table.rate,
                write_fraction: table.writes,
                compare_and_write_fraction: table.compares,
                flush_fraction: table.flushes,
                small_blocks: table.small,
                large_blocks: table.large,
                large_read_fraction: table.large_part,
                abort_fraction: table.aborts,
                max_retries: table.retries,
            };
            clients.push((table.name.clone(), FakeClient::start(spec, recorder.clone())?));
        }
    }
    Ok(clients)
}

fn timeline(day: &Scenario) -> Vec<(Duration, Step)> {
    let mut steps = Vec::new();
    for e in &day.events {
        steps.push((e.at.duration(), Step::Begin(e.clone())));
        if let Some(lasts) = e.lasts {
            steps.push((e.at.duration() + lasts.duration(), Step::End(e.clone())));
        }
    }
    steps.sort_by_key(|s| s.0);
    steps
}

fn begin(
    e: &EventTable,
    fleet: &FakeCluster,
    crew: &mut dyn HostRunner,
    ledger: &mut Ledger,
    clients: &[(String, FakeClient)],
    recorder: &Recorder,
) -> Result<String, RunError> {
    let node = || fleet.node(e.node.unwrap_or(1));
    let times = e.times.unwrap_or(1.0);
    let span = e.lasts.unwrap_or_default().duration();
    let named = || clients.iter().filter(|(n, _)| Some(n) == e.client.as_ref());
    match e.what {
        EventKind::Hang => node().set_fault(NodeFault::Hang(true)),
        EventKind::Slow => node().set_fault(NodeFault::Slow(times)),
        EventKind::Reset => node().set_fault(NodeFault::Reset),
        EventKind::ResetAtR2t => node().set_fault(NodeFault::ResetAtR2t(true)),
        EventKind::TurnAway => node().set_fault(NodeFault::RejectRequests(true)),
        EventKind::ForgetRepeats => node().set_fault(NodeFault::ForgetKeys(true)),
        EventKind::StandStill => node().set_fault(NodeFault::Pause(span)),
        EventKind::Die => fleet.kill_node(e.node.unwrap_or(1)),
        EventKind::Drain => fleet.drain_node(e.node.unwrap_or(1)),
        EventKind::HostStall => {
            let host = e.host.unwrap_or(0);
            recorder.record(TraceEventKind::HostStalled { host, for_us: span.as_micros() as u64 });
            crew.stall(host, span);
        }
        EventKind::HostKill => {
            let host = e.host.unwrap_or(0);
            ledger.lose(usize::from(host), crew);
            recorder.record(TraceEventKind::HostKilled { host });
            crew.kill(host);
        }
        EventKind::HostStop => {
            let host = e.host.unwrap_or(0);
            recorder.record(TraceEventKind::HostStalled { host, for_us: span.as_micros() as u64 });
            crew.set_fault(e, true)?;
        }
        EventKind::Surge => named().for_each(|(_, c)| c.set_rate_multiplier(times)),
        EventKind::Leave => named().for_each(|(_, c)| c.reconnect()),
        EventKind::DirectoryDown => fleet.directory().set_down(true),
        _ => crew.set_fault(e, true)?,
    }
    Ok(words(e, "begins"))
}

fn end(
    e: &EventTable,
    fleet: &FakeCluster,
    crew: &mut dyn HostRunner,
    clients: &[(String, FakeClient)],
) -> Result<String, RunError> {
    let id = e.node.unwrap_or(1);
    let node = || fleet.node(id);
    match e.what {
        EventKind::Hang => node().set_fault(NodeFault::Hang(false)),
        EventKind::Slow => node().set_fault(NodeFault::Slow(1.0)),
        EventKind::ResetAtR2t => node().set_fault(NodeFault::ResetAtR2t(false)),
        EventKind::TurnAway => node().set_fault(NodeFault::RejectRequests(false)),
        EventKind::ForgetRepeats => node().set_fault(NodeFault::ForgetKeys(false)),
        EventKind::Die | EventKind::Drain => fleet.restart_node(id)?,
        EventKind::HostKill => crew.restart(e.host.unwrap_or(0))?,
        EventKind::Surge => {
            clients
                .iter()
                .filter(|(n, _)| Some(n) == e.client.as_ref())
                .for_each(|(_, c)| c.set_rate_multiplier(1.0));
        }
        EventKind::DirectoryDown => fleet.directory().set_down(false),
        EventKind::Reset | EventKind::StandStill | EventKind::HostStall | EventKind::Leave => {}
        _ => crew.set_fault(e, false)?,
    }
    Ok(words(e, "ends"))
}

fn words(e: &EventTable, verb: &str) -> String {
    format!("{} {verb}", name(e))
}

/// A trouble and whom it strikes.
fn name(e: &EventTable) -> String {
    let whom = match (e.node, e.host, &e.client) {
        (_, Some(h), _) if e.peer.is_some() => format!(" host {h} and {}", e.peer.unwrap_or(h)),
        (_, Some(h), _) if e.disk.is_some() => format!(" host {h}: {}", e.disk.as_deref().unwrap_or("")),
        (Some(n), ..) => format!(" node {n}"),
        (_, Some(h), _) => format!(" host {h}"),
        (.., Some(c)) => format!(" clients {c}"),
        _ => String::new(),
    };
    format!("{:?}{whom}", e.what)
}

fn line(clients: &[(String, FakeClient)]) -> String {
    let sum = clients
        .iter()
        .map(|(_, c)| c.stats())
        .fold((0, 0, 0, 0), |s, t| (s.0 + t.sent, s.1 + t.served, s.2 + t.refused, s.3 + t.failed));
    format!("sent {} served {} refused {} failed {}", sum.0, sum.1, sum.2, sum.3)
}
