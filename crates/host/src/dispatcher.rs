//! Drives the module: turns commands into its events and its actions into effects. No I/O, no clock.
//!
//! It decides nothing. What the module's interface asks of any host is kept by [`pearfork_drive`]; what this adds is
//! commands of volumes, and one answer for a command whose parts have one each ([`crate::join`]).

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts};
use crate::join::{Join, PartEnd};
use crate::settings::{HostSettings, Matching};
use crate::volumes::{Part, VolumeId};
use hdrhistogram::Histogram;
use pearfork::{AttemptResult, Event, ListKind, NodeEntry, Reason, Request};
pub use pearfork_drive::AttemptId;
use pearfork_drive::{Driver, NodeReport, Step};
use pearfork_iscsi::node_extension::{CommandMetadata, IdempotencyKey, LoadReport};
use pearfork_iscsi::Payload;
use pearfork_scsi::MediaCommand;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// Names a command at its front: the connection and the tag there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Origin {
    /// The connection, unique in the process.
    pub session: u64,
    /// The command's tag within it.
    pub tag: u32,
}

/// A command as a front hands it over. Its blocks exist and its data is whole.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Where the answer goes.
    pub origin: Origin,
    /// The session's handle on its wire, for the repeat key.
    pub session_handle: u16,
    /// The command's number within the session, for the repeat key.
    pub command_number: u32,
    /// The volume.
    pub volume: VolumeId,
    /// What is to be done.
    pub media: MediaCommand,
    /// Name of the initiator, for the rules that match requests.
    pub initiator: Arc<str>,
    /// What the client sent.
    pub data: Payload,
    /// When the front read the last of it, on the dispatcher's clock.
    pub arrived_ms: f64,
}

/// What a node gave for a part.
#[derive(Clone, Debug, PartialEq)]
pub enum Served {
    /// GOOD, with data for the client.
    Good(Payload),
    /// A definite answer that is the client's to know, as a miscompare: the sense data.
    Check(Vec<u8>),
}

/// The final answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    /// Served: data, or the sense data of a part that a node answered with a definite no.
    Served(Served),
    /// Refused: a retry does no harm, after so many milliseconds.
    Refused {
        /// 0: no advice.
        retry_after_ms: f64,
    },
    /// Failed: nothing is promised.
    Failed,
}

/// An attempt on its way to a node.
#[derive(Clone, Debug)]
pub struct Order {
    /// Request and attempt, as the module counts them.
    pub attempt: AttemptId,
    /// Unit number at the node: the volume's position.
    pub volume: VolumeId,
    /// What is to be done.
    pub media: MediaCommand,
    /// Bytes in a block.
    pub block_len: u32,
    /// Data for the node.
    pub data: Payload,
    /// Repeat key and size.
    pub tag: CommandMetadata,
    /// Cleared when the attempt is over for the host: it must not go out any more.
    pub wanted: Arc<AtomicBool>,
    /// From this moment on the part of its volume's limit that it was drawn from may be another host's: it must not go
    /// out any more. Milliseconds of the dispatcher's clock; without end where nothing is lent.
    pub not_after_ms: f64,
}

/// How an attempt ended, as the link to the node knows it.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// The node answered.
    Served(Served),
    /// The node answered with an error; it may have run.
    Error,
    /// The node turned it away unseen.
    Full,
    /// It was never sent.
    ConnectFailed,
    /// It was not sent, for a reason that says nothing of its node.
    Moot,
    /// The connection was lost after it was sent.
    Reset,
}

/// What happened.
#[derive(Debug)]
pub enum Input {
    /// A command came.
    Submit(Box<Submission>),
    /// A client no longer wants the answer to a command.
    Abandon(Origin),
    /// A client's connection is gone.
    SessionGone(u64),
    /// An attempt ended.
    Ended(AttemptId, Ended, Option<LoadReport>),
    /// The node list, or a change of it.
    List(ListKind, Vec<NodeEntry>),
    /// This host's parts of volumes' limits from now on.
    Lent(Vec<LentPart>),
    /// Rules by which commands that come from now on get class, plan and key; those in flight keep theirs.
    Matching(Arc<Matching>),
}

/// This host's part of a volume's limit, as parts of the whole.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LentPart {
    /// The volume.
    pub volume: VolumeId,
    /// For good.
    pub floor: f64,
    /// Of the rate, on top of it, until `until_ms`.
    pub lent: f64,
    /// The same of what may be stored.
    pub lent_burst: f64,
    /// On the dispatcher's clock.
    pub until_ms: f64,
}

/// What is to be done.
#[derive(Debug)]
pub enum Effect {
    /// Send an attempt to a node.
    Send(u32, Box<Order>),
    /// Tell a node that an attempt is no longer waited for.
    Abort(u32, AttemptId),
    /// Give a command its final answer.
    Answer(Origin, Final),
    /// Go on asking for changes of the node list.
    Watch(bool),
    /// Ask for the whole list once.
    ReadList,
    /// Close idle connections to a node.
    CloseIdle(u32),
    /// A line for the staff.
    Log(String),
}

struct Command {
    join: Join<Served>,
    requests: Vec<u32>,
    class: u16,
    volume: VolumeId,
    arrived: f64,
    /// Why the module refused or failed a part of it, the first time that it did.
    reason: Option<Reason>,
}

struct Live {
    origin: Origin,
    part: usize,
    volume: VolumeId,
    spec: Part,
    data: Payload,
    units: f64,
    key: IdempotencyKey,
}

/// Drives one [`pearfork::Scheduler`].
pub struct Dispatcher {
    plan: Arc<HostSettings>,
    matching: Arc<Matching>,
    driver: Driver,
    boot: u32,
    commands: BTreeMap<Origin, Command>,
    requests: HashMap<u32, Live>,
    /// Attempts that are out, and the word that each is still to go.
    wanted: HashMap<AttemptId, Arc<AtomicBool>>,
    /// Until when what was lent of a volume's limit holds; none for volumes whose limits are not shared out.
    lent_until: HashMap<VolumeId, f64>,
    /// Thousandths of units asked of each volume since the start.
    asked: Arc<[AtomicU64]>,
    steps: Vec<Step>,
    classes: Vec<ClassCounts>,
    /// Answer times of served commands, microseconds.
    times: Vec<Histogram<u32>>,
    nodes: BTreeMap<u32, NodeCounts>,
    reasons: ReasonCounts,
    listed: BTreeMap<u32, NodeEntry>,
}

impl Dispatcher {
    /// A host from nothing. `boot` names this start in repeat keys, in seconds of the Unix epoch.
    ///
    /// # Errors
    /// The module refuses a setting.
    pub fn new(plan: Arc<HostSettings>, seed: u64, boot: u32) -> Result<Self, pearfork::SettingsError> {
        let driver = Driver::new(plan.scheduler.clone(), seed)?;
        // Two digits up to an hour: a few tens of KiB for each class.
        let times = Histogram::new_with_bounds(1, 3_600_000_000, 2)
            .unwrap_or_else(|_| Histogram::new(2).expect("2 is a valid precision"));
        Ok(Dispatcher {
            driver,
            boot,
            commands: BTreeMap::new(),
            requests: HashMap::new(),
            wanted: HashMap::new(),
            lent_until: HashMap::new(),
            asked: plan.volumes.iter().map(|_| AtomicU64::new(0)).collect(),
            steps: Vec::new(),
            classes: vec![ClassCounts::default(); plan.class_names.len()],
            times: vec![times; plan.class_names.len()],
            nodes: BTreeMap::new(),
            reasons: ReasonCounts::default(),
            listed: BTreeMap::new(),
            matching: plan.matching.clone(),
            plan,
        })
    }

    /// Takes one input at a time `now` (milliseconds of the Unix epoch, as the node list's) and appends effects.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Submit(s) => self.submit(now, *s, out),
            Input::Abandon(origin) => self.abandon(origin),
            Input::SessionGone(session) => {
                let of_it = Origin { session, tag: 0 }..=Origin { session, tag: u32::MAX };
                let gone: Vec<Origin> = self.commands.range(of_it).map(|(o, _)| *o).collect();
                gone.into_iter().for_each(|o| self.abandon(o));
            }
            Input::Ended(id, ended, report) => self.ended(now, id, ended, report, out),
            Input::Matching(matching) => self.matching = matching,
            Input::Lent(parts) => parts.into_iter().for_each(|p| self.lend(p)),
            Input::List(kind, entries) => {
                self.note_list(kind, &entries);
                self.driver.update_node_list(kind, entries);
            }
        }
        self.drive(now, out);
    }

    /// Thousandths of units that clients asked of each volume, by position; it counts on while the host runs.
    pub fn asked(&self) -> Arc<[AtomicU64]> {
        self.asked.clone()
    }

    fn lend(&mut self, p: LentPart) {
        let Some(volume) = self.plan.volumes.get(p.volume.0 as usize) else { return };
        let hosts = |part: f64| if part > 0.0 { 1.0 / part } else { f64::INFINITY };
        self.driver.set_limit_share(Event::LimitShare {
            volume: u64::from(p.volume.0),
            plan: volume.plan,
            rate_divisor: hosts(p.floor + p.lent),
            burst_divisor: hosts(p.floor + p.lent_burst),
            floor_divisor: hosts(p.floor),
            until_ms: p.until_ms,
        });
        let lent = p.lent > 0.0 || p.lent_burst > 0.0;
        self.lent_until.insert(p.volume, if lent { p.until_ms } else { f64::INFINITY });
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<f64> {
        self.driver.next_timer()
    }

    /// Rings what is due.
    pub fn ring(&mut self, now: f64, out: &mut Vec<Effect>) {
        let mut steps = std::mem::take(&mut self.steps);
        self.driver.run_timers(now, &mut steps);
        self.carry_out_all(now, steps, out);
    }

    /// Commands without an answer.
    pub fn open_commands(&self) -> usize {
        self.commands.len()
    }

    /// Counts by class, in the order of the settings.
    pub fn class_counts(&self) -> &[ClassCounts] {
        &self.classes
    }

    /// Answer times of served commands by class, microseconds.
    pub fn times(&self) -> &[Histogram<u32>] {
        &self.times
    }

    /// Counts by node.
    pub fn node_counts(&self) -> &BTreeMap<u32, NodeCounts> {
        &self.nodes
    }

    /// Refusals and failures by class, volume and the module's reason.
    pub fn reason_counts(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// What the requests without an answer wait for now, by the module's word.
    pub fn waiting(&self, now: f64) -> BTreeMap<Reason, u64> {
        self.driver.waiting(now)
    }

    /// The node list as last heard.
    pub fn listed(&self) -> &BTreeMap<u32, NodeEntry> {
        &self.listed
    }

    fn note_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        match kind {
            ListKind::Failed => return,
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => self.listed.clear(),
        }
        self.listed.extend(entries.iter().map(|e| (e.node, *e)));
    }

    fn submit(&mut self, now: f64, s: Submission, out: &mut Vec<Effect>) {
        let plan = self.plan.clone();
        let Some(volume) = plan.volumes.get(s.volume.0 as usize) else {
            return out.push(Effect::Answer(s.origin, Final::Failed));
        };
        let parts = volume.parts(s.media);
        if parts.is_empty() {
            // No block is moved: there is nothing to ask a node, and nothing for the module to judge.
            return out.push(Effect::Answer(s.origin, Final::Served(Served::Good(Payload::new()))));
        }
        let block = volume.unit.block_len;
        let fields = |media: &MediaCommand| plan.fields_of(volume, media, &s.initiator, s.arrived_ms);
        let whole = fields(&s.media);
        let class = self.matching.class_of(&whole);
        let plan_number = self.matching.plan_of(&whole).unwrap_or(volume.plan);
        let rule = &plan.scheduler.classes[usize::from(class)];
        // Danger: the client's time runs from its sending. Counted from when this thread came to it, a command
        // that waited while the host stood still would be answered after its client had left.
        let arrived = s.arrived_ms.min(now);
        self.classes[usize::from(class)].taken += 1;
        let mut requests = Vec::with_capacity(parts.len());
        for (n, part) in parts.iter().enumerate() {
            let id = self.driver.allocate_id();
            let moved = part.media.transfer_length(block);
            let valid_until = arrived + rule.deadline_ms;
            let live = Live {
                origin: s.origin,
                part: n,
                volume: s.volume,
                spec: *part,
                data: s.data.slice(part.offset, part.media.data_out_length(block) as usize),
                units: plan.units_of(moved),
                key: IdempotencyKey {
                    host: plan.number,
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
                units: live.units,
                shard: Some(part.shard),
                volume_hosts: f64::from(volume.hosts),
            });
            self.asked[s.volume.0 as usize].fetch_add((live.units * 1_000.0) as u64, Ordering::Relaxed);
            self.requests.insert(id, live);
            requests.push(id);
        }
        let join = Join::new(parts.len(), rule.effect);
        let (volume, reason) = (s.volume, None);
        self.commands.insert(s.origin, Command { join, requests, class, volume, arrived, reason });
    }

    fn abandon(&mut self, origin: Origin) {
        let Some(command) = self.commands.remove(&origin) else { return };
        self.classes[usize::from(command.class)].abandoned += 1;
        for id in command.requests {
            if self.requests.remove(&id).is_some() {
                self.driver.abandon(id);
            }
        }
    }

    /// Gives the module what waits for it and carries out what it says, until both are quiet.
    fn drive(&mut self, now: f64, out: &mut Vec<Effect>) {
        let mut steps = std::mem::take(&mut self.steps);
        self.driver.process_events(now, &mut steps);
        self.carry_out_all(now, steps, out);
    }

    fn carry_out_all(&mut self, now: f64, mut steps: Vec<Step>, out: &mut Vec<Effect>) {
        steps.drain(..).for_each(|step| self.carry_out(now, step, out));
        self.steps = steps;
    }

    fn carry_out(&mut self, now: f64, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Send { attempt, node, write_deadline_ms, .. } => {
                self.send(attempt, node, write_deadline_ms, out)
            }
            Step::AttemptDropped { attempt, node, result } => {
                self.unwanted(attempt);
                out.push(Effect::Abort(node, attempt));
                let counts = self.nodes.entry(node).or_default();
                match result {
                    AttemptResult::Cancelled => counts.cancelled += 1,
                    _ => counts.timed_out += 1,
                }
            }
            Step::Refused { id, retry_after_ms, reason } => {
                self.part_ends(now, id, PartEnd::Refused(retry_after_ms), Some(reason), out)
            }
            Step::Failed { id, reason } => self.part_ends(now, id, PartEnd::Failed, Some(reason), out),
            Step::Watch(on) => out.push(Effect::Watch(on)),
            Step::FetchNodeList => out.push(Effect::ReadList),
            Step::CloseIdleConnections(node) => out.push(Effect::CloseIdle(node)),
            Step::Log(text) => out.push(Effect::Log(text)),
        }
    }

    fn send(&mut self, attempt: AttemptId, node: u32, write_deadline_ms: f64, out: &mut Vec<Effect>) {
        let Some(live) = self.requests.get(&attempt.request) else { return };
        let wanted = Arc::new(AtomicBool::new(true));
        let block_len = self.plan.volumes[live.volume.0 as usize].unit.block_len;
        let order = Order {
            attempt,
            volume: live.volume,
            media: live.spec.media,
            block_len,
            data: live.data.clone(),
            tag: CommandMetadata {
                key: live.key,
                attempt: attempt.number,
                volume: live.volume.0,
                milli_units: (live.units * 1_000.0) as u32,
            },
            wanted: wanted.clone(),
            // Its units are drawn at its first sending; a further attempt draws none.
            not_after_ms: match self.lent_until.get(&live.volume) {
                Some(until) if attempt.number == 0 => *until,
                _ => write_deadline_ms,
            },
        };
        self.wanted.insert(attempt, wanted);
        let counts = self.nodes.entry(node).or_default();
        counts.sent += 1;
        counts.retries += u64::from(attempt.number > 0);
        out.push(Effect::Send(node, Box::new(order)));
    }

    /// An attempt is over for the host: it must not go out any more.
    fn unwanted(&mut self, id: AttemptId) {
        self.wanted.remove(&id).iter().for_each(|wanted| wanted.store(false, Ordering::SeqCst));
    }

    fn ended(
        &mut self,
        now: f64,
        id: AttemptId,
        ended: Ended,
        report: Option<LoadReport>,
        out: &mut Vec<Effect>,
    ) {
        let Some(node) = self.driver.node_of(id) else { return };
        self.unwanted(id);
        let counts = self.nodes.entry(node).or_default();
        let (verdict, count) = match &ended {
            Ended::Served(_) => (AttemptResult::Served, &mut counts.served),
            Ended::Error => (AttemptResult::Error, &mut counts.errors),
            Ended::Full => (AttemptResult::Rejected, &mut counts.full),
            Ended::ConnectFailed => (AttemptResult::ConnectFailed, &mut counts.connect_failed),
            Ended::Moot => (AttemptResult::NotSent, &mut counts.not_sent),
            Ended::Reset => (AttemptResult::Reset, &mut counts.reset),
        };
        *count += 1;
        let serves = self.driver.attempt_ended(now, id, verdict, report.map_or(NodeReport::default(), told));
        if let (true, Ended::Served(served)) = (serves, ended) {
            self.part_ends(now, id.request, PartEnd::Served(served), None, out);
        }
    }

    fn part_ends(
        &mut self,
        now: f64,
        id: u32,
        end: PartEnd<Served>,
        reason: Option<Reason>,
        out: &mut Vec<Effect>,
    ) {
        let Some(live) = self.requests.remove(&id) else { return };
        let Some(command) = self.commands.get_mut(&live.origin) else { return };
        command.reason = command.reason.or(reason);
        let Some(end) = command.join.end(live.part, end) else { return };
        let counts = &mut self.classes[usize::from(command.class)];
        let answer = match end {
            PartEnd::Served(parts) => {
                counts.served += 1;
                let aim = self.plan.scheduler.classes[usize::from(command.class)].aim_ms;
                counts.late += u64::from(now - command.arrived > aim);
                self.times[usize::from(command.class)]
                    .saturating_record(((now - command.arrived) * 1e3) as u64);
                Final::Served(joined(parts))
            }
            PartEnd::Refused(retry_after_ms) => {
                counts.refused += 1;
                Final::Refused { retry_after_ms }
            }
            PartEnd::Failed => {
                counts.failed += 1;
                Final::Failed
            }
        };
        if let (Some(reason), Final::Refused { .. } | Final::Failed) = (command.reason, &answer) {
            let failed = answer == Final::Failed;
            let (class, volume) = (command.class, command.volume);
            if self.reasons.add(now, class, volume, reason, failed) {
                let verb = if failed { "failed" } else { "refused" };
                let class = &self.plan.class_names[usize::from(class)];
                let volume = &self.plan.volumes[volume.0 as usize].name;
                out.push(Effect::Log(format!("{verb}, {reason}: {class} on volume {volume}")));
            }
        }
        self.commands.remove(&live.origin);
        out.push(Effect::Answer(live.origin, answer));
    }
}

/// A node's report as the module is told it.
fn told(r: LoadReport) -> NodeReport {
    NodeReport {
        used_percent: Some(r.used_percent).filter(|u| *u != u16::MAX).map(f64::from),
        other_hosts_units: f64::from(r.other_hosts_milli_units) / 1_000.0,
        queue: Some(f64::from(r.queued)),
        in_flight: Some(f64::from(r.in_flight)),
        latency_ms: Some(f64::from(r.service_us) / 1_000.0),
        util: Some(f64::from(r.utilization_milli) / 1_000.0),
    }
}

/// Data of all parts in order; a part's definite no counts for the whole.
fn joined(parts: Vec<Served>) -> Served {
    let mut all = Payload::new();
    for part in parts {
        match part {
            Served::Good(data) => all.append(data),
            check => return check,
        }
    }
    Served::Good(all)
}
