//! Drives the scheduler: turns commands into its events and its actions into outputs. No I/O, no clock.
//!
//! The scheduler makes the decisions. [`pearfork_drive`] does the bookkeeping that the scheduler's interface
//! requires of any host; this module adds commands to volumes, and one final answer for a command whose parts
//! each have their own ([`crate::join`]).

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts};
use crate::join::{Join, PartOutcome};
use crate::settings::{HostSettings, Matching};
use crate::volumes::{Part, VolumeId};
use hdrhistogram::Histogram;
use pearfork::{AttemptResult, Event, ListKind, NodeEntry, Reason, Request};
pub use pearfork_drive::AttemptId;
use pearfork_drive::{Driver, NodeReport, Step};
use pearfork_iscsi::node_extension::{CommandMetadata, IdempotencyKey, LoadReport};
use pearfork_iscsi::{Payload, TaskId};
use pearfork_scsi::MediaCommand;
use std::collections::{BTreeMap, HashMap};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Identifies a command of a client; never used again in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CommandId {
    /// The session, unique in the process.
    pub session: u64,
    /// The command within it.
    pub task: TaskId,
}

impl CommandId {
    /// All commands of a session.
    fn all_of(session: u64) -> RangeInclusive<CommandId> {
        let first = TaskId { number: 0, tag: 0 };
        let last = TaskId { number: u64::MAX, tag: u32::MAX };
        CommandId { session, task: first }..=CommandId { session, task: last }
    }
}

/// The client of a command.
pub trait Requester: Send + Sync {
    /// Whether the client has gone. The notice of its end may still be queued behind its commands.
    fn has_left(&self) -> bool;
}

/// A command as the frontend submits it. Its blocks exist and its data is complete.
#[derive(Clone)]
pub struct Submission {
    /// Identifies the command in its final answer.
    pub id: CommandId,
    /// The client; nothing is sent once it has left.
    pub requester: Arc<dyn Requester>,
    /// The session's handle (TSIH), for the repeat key.
    pub session_handle: u16,
    /// The command's number within the session (CmdSN), for the repeat key.
    pub command_number: u32,
    /// The volume.
    pub volume: VolumeId,
    /// The operation and its blocks.
    pub media: MediaCommand,
    /// Name of the initiator, for the matching rules.
    pub initiator: Arc<str>,
    /// Data from the client.
    pub data: Payload,
    /// When the frontend had read the whole command, in milliseconds of the dispatcher's clock.
    pub arrived_ms: f64,
}

/// How a node completed an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// GOOD, with data for the client.
    Good(Payload),
    /// CHECK CONDITION with a definite result that is passed on to the client, such as a miscompare: the
    /// sense data.
    CheckCondition(Vec<u8>),
}

/// The final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served: data, or the sense data of a part that a node completed with CHECK CONDITION.
    Served(Completion),
    /// Refused without effect: the client may safely retry.
    Refused {
        /// When to retry, in milliseconds from now; 0 for no advice.
        retry_after_ms: f64,
    },
    /// Failed: it may or may not have taken effect.
    Failed,
}

/// An attempt to be sent to a node.
#[derive(Clone)]
pub struct OutgoingAttempt {
    /// Request and attempt number, as the scheduler counts them.
    pub id: AttemptId,
    /// The volume; its position is the LUN at the node.
    pub volume: VolumeId,
    /// The operation and its blocks.
    pub media: MediaCommand,
    /// Bytes in a block.
    pub block_len: u32,
    /// Data for the node.
    pub data: Payload,
    /// Repeat key, attempt number and cost.
    pub metadata: CommandMetadata,
    /// Cleared once the attempt has ended for the host: it must not be sent any more.
    pub wanted: Arc<AtomicBool>,
    /// The client of the request; the attempt must not be sent once it has left.
    pub requester: Arc<dyn Requester>,
    /// The attempt must not be sent from this time on, in milliseconds of the dispatcher's clock; infinite for
    /// no bound. For the first attempt of a request to a volume with a leased limit it is the time when the
    /// lease expires: the share that pays for the request may then belong to another host. For any other
    /// attempt it is the scheduler's write deadline.
    pub not_after_ms: f64,
}

/// How an attempt ended, as reported by the link to its node.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The node completed it.
    Served(Completion),
    /// The node returned an error; the command may have run.
    Error,
    /// The node rejected it as full; the command did not run.
    Rejected,
    /// It was not sent for lack of a connection.
    ConnectFailed,
    /// It was not sent, for a reason that does not concern its node.
    NotSent,
    /// The connection was lost after it was sent.
    Reset,
}

/// An event that the dispatcher handles.
pub enum Input {
    /// A client sent a command.
    Submit(Box<Submission>),
    /// A client no longer waits for the answer to a command.
    Abandon(CommandId),
    /// A client's session has closed.
    SessionClosed(u64),
    /// An attempt ended; with the node's report, if it sent one.
    AttemptEnded(AttemptId, AttemptEnd, Option<LoadReport>),
    /// The node list, or a change of it.
    NodeList(ListKind, Vec<NodeEntry>),
    /// This host's shares of the volumes' limits from now on.
    LimitShares(Vec<LimitShare>),
    /// Rules that give class, plan and key to commands from now on; commands in flight keep theirs.
    Matching(Arc<Matching>),
}

/// This host's share of a volume's limit, in fractions of the whole limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// The volume.
    pub volume: VolumeId,
    /// Fraction of rate and burst that does not expire.
    pub floor: f64,
    /// Fraction of the rate on top of the floor, until `expires_at_ms`.
    pub leased: f64,
    /// Fraction of the burst on top of the floor, until `expires_at_ms`.
    pub leased_burst: f64,
    /// When the leased fractions expire, in milliseconds of the dispatcher's clock.
    pub expires_at_ms: f64,
}

/// An operation that the caller of the dispatcher carries out.
pub enum Output {
    /// Send an attempt to a node.
    Send(u32, Box<OutgoingAttempt>),
    /// Abort an attempt at its node: its result is no longer needed.
    Abort(u32, AttemptId),
    /// Give up an attempt that has not been sent completely, and report it as [`AttemptEnd::NotSent`]: its request
    /// is over.
    Withdraw(u32, AttemptId),
    /// Give a command its final answer.
    Answer(CommandId, FinalAnswer),
    /// Start or stop watching the directory for changes of the node list.
    Watch(bool),
    /// Read the whole node list once.
    FetchNodeList,
    /// Close the idle connections to a node.
    CloseIdleConnections(u32),
    /// Write a log line for the operator.
    Log(String),
}

struct Command {
    join: Join<Completion>,
    requests: Vec<u32>,
    class: u16,
    volume: VolumeId,
    arrived: f64,
    /// Why the scheduler refused or failed the first of its parts that was not served.
    reason: Option<Reason>,
}

/// A request of the scheduler without a final answer: one part of a command.
struct OpenRequest {
    command: CommandId,
    requester: Arc<dyn Requester>,
    part: usize,
    volume: VolumeId,
    extent_part: Part,
    data: Payload,
    units: f64,
    key: IdempotencyKey,
}

/// Drives one [`pearfork::Scheduler`].
pub struct Dispatcher {
    settings: Arc<HostSettings>,
    matching: Arc<Matching>,
    driver: Driver,
    boot: u32,
    commands: BTreeMap<CommandId, Command>,
    requests: HashMap<u32, OpenRequest>,
    /// The [`OutgoingAttempt::wanted`] flags of attempts that have not ended.
    wanted: HashMap<AttemptId, Arc<AtomicBool>>,
    /// When the leased share of each volume's limit expires; no entry for volumes whose limits the fleet does
    /// not lend.
    lease_expiry: HashMap<VolumeId, f64>,
    /// Units that clients requested of each volume since the start, in thousandths.
    demand: Arc<[AtomicU64]>,
    steps: Vec<Step>,
    classes: Vec<ClassCounts>,
    /// Latencies of served commands by class, in microseconds.
    latencies: Vec<Histogram<u32>>,
    nodes: BTreeMap<u32, NodeCounts>,
    reasons: ReasonCounts,
    node_list: BTreeMap<u32, NodeEntry>,
}

impl Dispatcher {
    /// Starts without nodes and commands. `boot` identifies this start of the host in repeat keys, in seconds
    /// of the Unix epoch.
    ///
    /// # Errors
    /// The scheduler refuses a setting.
    pub fn new(settings: Arc<HostSettings>, seed: u64, boot: u32) -> Result<Self, pearfork::SettingsError> {
        let driver = Driver::new(settings.scheduler.clone(), seed)?;
        // Latencies up to an hour with two significant digits take a few tens of KiB per class.
        let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 2)
            .unwrap_or_else(|_| Histogram::new(2).expect("2 is a valid precision"));
        Ok(Dispatcher {
            driver,
            boot,
            commands: BTreeMap::new(),
            requests: HashMap::new(),
            wanted: HashMap::new(),
            lease_expiry: HashMap::new(),
            demand: settings.volumes.iter().map(|_| AtomicU64::new(0)).collect(),
            steps: Vec::new(),
            classes: vec![ClassCounts::default(); settings.class_names.len()],
            latencies: vec![latencies; settings.class_names.len()],
            nodes: BTreeMap::new(),
            reasons: ReasonCounts::default(),
            node_list: BTreeMap::new(),
            matching: settings.matching.clone(),
            settings,
        })
    }

    /// Handles one input at time `now` (milliseconds of the Unix epoch, like the times of the node list) and
    /// appends the outputs.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(s) => self.submit(now, *s, out),
            Input::Abandon(id) => self.abandon(id),
            Input::SessionClosed(session) => {
                let open = self.commands.range(CommandId::all_of(session));
                let open: Vec<CommandId> = open.map(|(id, _)| *id).collect();
                open.into_iter().for_each(|id| self.abandon(id));
            }
            Input::AttemptEnded(id, outcome, report) => self.attempt_ended(now, id, outcome, report, out),
            Input::Matching(matching) => self.matching = matching,
            Input::LimitShares(shares) => shares.into_iter().for_each(|s| self.apply_share(s)),
            Input::NodeList(kind, entries) => {
                self.update_node_list(kind, &entries);
                self.driver.update_node_list(kind, entries);
            }
        }
        self.drive(now, out);
    }

    /// Units that clients requested of each volume since the start, in thousandths, by position. The counters
    /// are live: they go on counting while the host runs.
    pub fn demand(&self) -> Arc<[AtomicU64]> {
        self.demand.clone()
    }

    fn apply_share(&mut self, s: LimitShare) {
        let Some(volume) = self.settings.volumes.get(s.volume.0 as usize) else { return };
        let divisor = |share: f64| if share > 0.0 { 1.0 / share } else { f64::INFINITY };
        self.driver.set_limit_share(Event::LimitShare {
            volume: u64::from(s.volume.0),
            plan: volume.plan,
            rate_divisor: divisor(s.floor + s.leased),
            burst_divisor: divisor(s.floor + s.leased_burst),
            floor_divisor: divisor(s.floor),
            until_ms: s.expires_at_ms,
        });
        let leased = s.leased > 0.0 || s.leased_burst > 0.0;
        self.lease_expiry.insert(s.volume, if leased { s.expires_at_ms } else { f64::INFINITY });
    }

    /// When the next timer is due.
    pub fn next_timer(&self) -> Option<f64> {
        self.driver.next_timer()
    }

    /// Fires the timers that are due.
    pub fn run_timers(&mut self, now: f64, out: &mut Vec<Output>) {
        let mut steps = std::mem::take(&mut self.steps);
        self.driver.run_timers(now, &mut steps);
        self.apply_steps(now, steps, out);
    }

    /// Number of commands without a final answer.
    pub fn open_commands(&self) -> usize {
        self.commands.len()
    }

    /// Counters by class, in the order of the settings.
    pub fn class_counts(&self) -> &[ClassCounts] {
        &self.classes
    }

    /// Latencies of served commands by class, in microseconds.
    pub fn latencies(&self) -> &[Histogram<u32>] {
        &self.latencies
    }

    /// Counters by node.
    pub fn node_counts(&self) -> &BTreeMap<u32, NodeCounts> {
        &self.nodes
    }

    /// Refusals and failures by class, volume and the scheduler's reason.
    pub fn reason_counts(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// Number of requests without a final answer, by the reason why they wait at `now`.
    pub fn waiting(&self, now: f64) -> BTreeMap<Reason, u64> {
        self.driver.waiting(now)
    }

    /// The node list as last received.
    pub fn node_list(&self) -> &BTreeMap<u32, NodeEntry> {
        &self.node_list
    }

    fn update_node_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        match kind {
            ListKind::Failed => return,
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => self.node_list.clear(),
        }
        self.node_list.extend(entries.iter().map(|e| (e.node, *e)));
    }

    fn submit(&mut self, now: f64, s: Submission, out: &mut Vec<Output>) {
        if s.requester.has_left() {
            return;
        }
        let settings = self.settings.clone();
        let Some(volume) = settings.volumes.get(s.volume.0 as usize) else {
            return out.push(Output::Answer(s.id, FinalAnswer::Failed));
        };
        let parts = volume.split(s.media);
        if parts.is_empty() {
            // The command transfers no block, so that neither a node nor the scheduler is involved.
            return out.push(Output::Answer(s.id, FinalAnswer::Served(Completion::Good(Payload::new()))));
        }
        let block = volume.unit.block_len;
        let fields = |media: &MediaCommand| settings.fields_of(volume, media, &s.initiator, s.arrived_ms);
        let whole = fields(&s.media);
        let class = self.matching.class_of(&whole);
        let plan_number = self.matching.plan_of(&whole).unwrap_or(volume.plan);
        let rule = &settings.scheduler.classes[usize::from(class)];
        // The deadline counts from the command's arrival. Counted from when this thread handles it, a command
        // that was queued while the host was suspended would be answered after its client had timed out.
        let arrived = s.arrived_ms.min(now);
        self.classes[usize::from(class)].taken += 1;
        let mut requests = Vec::with_capacity(parts.len());
        for (n, part) in parts.iter().enumerate() {
            let id = self.driver.allocate_id();
            let bytes = part.media.transfer_length(block);
            let valid_until = arrived + rule.deadline_ms;
            let request = OpenRequest {
                command: s.id,
                requester: s.requester.clone(),
                part: n,
                volume: s.volume,
                extent_part: *part,
                data: s.data.slice(part.offset, part.media.data_out_length(block) as usize),
                units: settings.units_of(bytes),
                key: IdempotencyKey {
                    host: settings.number,
                    host_start_s: self.boot,
                    session: s.session_handle,
                    cmd_sn: s.command_number,
                    part: n as u16,
                },
            };
            self.driver.submit(Request {
                id,
                class,
                plan: plan_number,
                key: self.matching.key_of(&fields(&part.media)).unwrap_or(part.extent),
                valid_until_ms: valid_until,
                volume: u64::from(s.volume.0),
                units: request.units,
                shard: Some(part.shard),
                volume_hosts: f64::from(volume.hosts),
            });
            self.demand[s.volume.0 as usize].fetch_add((request.units * 1_000.0) as u64, Ordering::Relaxed);
            self.requests.insert(id, request);
            requests.push(id);
        }
        let join = Join::new(parts.len(), rule.effect);
        let (volume, reason) = (s.volume, None);
        self.commands.insert(s.id, Command { join, requests, class, volume, arrived, reason });
    }

    fn abandon(&mut self, id: CommandId) {
        let Some(command) = self.commands.remove(&id) else { return };
        self.classes[usize::from(command.class)].abandoned += 1;
        for id in command.requests {
            if self.requests.remove(&id).is_some() {
                self.driver.abandon(id);
            }
        }
    }

    /// Passes queued events to the scheduler and applies its actions, until neither is left.
    fn drive(&mut self, now: f64, out: &mut Vec<Output>) {
        let mut steps = std::mem::take(&mut self.steps);
        self.driver.process_events(now, &mut steps);
        self.apply_steps(now, steps, out);
    }

    fn apply_steps(&mut self, now: f64, mut steps: Vec<Step>, out: &mut Vec<Output>) {
        steps.drain(..).for_each(|step| self.apply_step(now, step, out));
        self.steps = steps;
    }

    fn apply_step(&mut self, now: f64, step: Step, out: &mut Vec<Output>) {
        match step {
            Step::Send { attempt, node, write_deadline_ms, .. } => {
                self.send(attempt, node, write_deadline_ms, out)
            }
            Step::AttemptDropped { attempt, node, result } => {
                self.clear_wanted(attempt);
                out.push(Output::Abort(node, attempt));
                let counts = self.nodes.entry(node).or_default();
                match result {
                    AttemptResult::Cancelled => counts.cancelled += 1,
                    _ => counts.timed_out += 1,
                }
            }
            Step::WithdrawUnsent { attempt, node } => {
                self.clear_wanted(attempt);
                out.push(Output::Withdraw(node, attempt));
            }
            Step::Refused { id, retry_after_ms, reason } => {
                self.part_ended(now, id, PartOutcome::Refused(retry_after_ms), Some(reason), out)
            }
            Step::Failed { id, reason } => self.part_ended(now, id, PartOutcome::Failed, Some(reason), out),
            Step::Watch(on) => out.push(Output::Watch(on)),
            Step::FetchNodeList => out.push(Output::FetchNodeList),
            Step::CloseIdleConnections(node) => out.push(Output::CloseIdleConnections(node)),
            Step::Log(text) => out.push(Output::Log(text)),
        }
    }

    fn send(&mut self, id: AttemptId, node: u32, write_deadline_ms: f64, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id.request) else { return };
        let wanted = Arc::new(AtomicBool::new(true));
        let block_len = self.settings.volumes[request.volume.0 as usize].unit.block_len;
        let outgoing = OutgoingAttempt {
            id,
            volume: request.volume,
            media: request.extent_part.media,
            block_len,
            data: request.data.clone(),
            metadata: CommandMetadata {
                key: request.key,
                attempt: id.number,
                volume: request.volume.0,
                milli_units: (request.units * 1_000.0) as u32,
            },
            wanted: wanted.clone(),
            requester: request.requester.clone(),
            // Only the first attempt draws the request's units from the leased share; retries draw nothing.
            not_after_ms: match self.lease_expiry.get(&request.volume) {
                Some(until) if id.number == 0 => *until,
                _ => write_deadline_ms,
            },
        };
        self.wanted.insert(id, wanted);
        let counts = self.nodes.entry(node).or_default();
        counts.sent += 1;
        counts.retries += u64::from(id.number > 0);
        out.push(Output::Send(node, Box::new(outgoing)));
    }

    /// Clears the flag of an attempt that has ended for the host or that nobody waits for, so that a queued one is
    /// not sent.
    fn clear_wanted(&mut self, id: AttemptId) {
        self.wanted.remove(&id).iter().for_each(|wanted| wanted.store(false, Ordering::SeqCst));
    }

    fn attempt_ended(
        &mut self,
        now: f64,
        id: AttemptId,
        outcome: AttemptEnd,
        report: Option<LoadReport>,
        out: &mut Vec<Output>,
    ) {
        let Some(node) = self.driver.node_of(id) else { return };
        self.clear_wanted(id);
        let counts = self.nodes.entry(node).or_default();
        let (result, count) = match &outcome {
            AttemptEnd::Served(_) => (AttemptResult::Served, &mut counts.served),
            AttemptEnd::Error => (AttemptResult::Error, &mut counts.errors),
            AttemptEnd::Rejected => (AttemptResult::Rejected, &mut counts.full),
            AttemptEnd::ConnectFailed => (AttemptResult::ConnectFailed, &mut counts.connect_failed),
            AttemptEnd::NotSent => (AttemptResult::NotSent, &mut counts.not_sent),
            AttemptEnd::Reset => (AttemptResult::Reset, &mut counts.reset),
        };
        *count += 1;
        let serves =
            self.driver.attempt_ended(now, id, result, report.map_or(NodeReport::default(), node_report));
        if let (true, AttemptEnd::Served(completion)) = (serves, outcome) {
            self.part_ended(now, id.request, PartOutcome::Served(completion), None, out);
        }
    }

    fn part_ended(
        &mut self,
        now: f64,
        id: u32,
        outcome: PartOutcome<Completion>,
        reason: Option<Reason>,
        out: &mut Vec<Output>,
    ) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(command) = self.commands.get_mut(&request.command) else { return };
        command.reason = command.reason.or(reason);
        let Some(outcome) = command.join.record(request.part, outcome) else { return };
        let counts = &mut self.classes[usize::from(command.class)];
        let answer = match outcome {
            PartOutcome::Served(parts) => {
                counts.served += 1;
                let aim = self.settings.scheduler.classes[usize::from(command.class)].aim_ms;
                counts.late += u64::from(now - command.arrived > aim);
                self.latencies[usize::from(command.class)]
                    .saturating_record(((now - command.arrived) * 1e3) as u64);
                FinalAnswer::Served(concat(parts))
            }
            PartOutcome::Refused(retry_after_ms) => {
                counts.refused += 1;
                FinalAnswer::Refused { retry_after_ms }
            }
            PartOutcome::Failed => {
                counts.failed += 1;
                FinalAnswer::Failed
            }
        };
        if let (Some(reason), FinalAnswer::Refused { .. } | FinalAnswer::Failed) = (command.reason, &answer) {
            let failed = answer == FinalAnswer::Failed;
            let (class, volume) = (command.class, command.volume);
            if self.reasons.add(now, class, volume, reason, failed) {
                let verb = if failed { "failed" } else { "refused" };
                let class = &self.settings.class_names[usize::from(class)];
                let volume = &self.settings.volumes[volume.0 as usize].name;
                out.push(Output::Log(format!("{verb}, {reason}: {class} on volume {volume}")));
            }
        }
        self.commands.remove(&request.command);
        out.push(Output::Answer(request.command, answer));
    }
}

/// Converts a node's report to the driver's form.
fn node_report(r: LoadReport) -> NodeReport {
    NodeReport {
        used_percent: Some(r.used_percent).filter(|u| *u != u16::MAX).map(f64::from),
        other_hosts_units: f64::from(r.other_hosts_milli_units) / 1_000.0,
        queue: Some(f64::from(r.queued)),
        in_flight: Some(f64::from(r.in_flight)),
        latency_ms: Some(f64::from(r.service_us) / 1_000.0),
        util: Some(f64::from(r.utilization_milli) / 1_000.0),
    }
}

/// Concatenates the data of all parts in order; the first CHECK CONDITION stands for the whole command.
fn concat(parts: Vec<Completion>) -> Completion {
    let mut all = Payload::new();
    for part in parts {
        match part {
            Completion::Good(data) => all.append(data),
            check => return check,
        }
    }
    Completion::Good(all)
}
