//! A fake storage node: an iSCSI target with cores, a bounded queue, slow start and injected faults.

use crate::recorder::Recorder;
use crate::store::{RackKeyCache, ShardStore};
use pearfork_iscsi::node_extension::{IdempotencyKey, LoadReport};
use pearfork_iscsi::{
    AccessControl, Limits, LoginStatus, Payload, Response, ScsiCommand, TaskId, MAX_DATA_SEGMENT,
};
use pearfork_net::{lock, spawn_small_stack, Portal, PortalConfig, Session, SessionHandler, SessionId};
use pearfork_rulecheck::wire::opcode;
use pearfork_rulecheck::{Endpoint, TraceEventKind};
use pearfork_scsi::{decode_lun, status, Cdb, MediaCommand, MediaOp, Sense, MAX_TRANSFER_BLOCKS};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum size of a command: the longest of a host, in the largest blocks that volumes have.
const MAX_TRANSFER_BYTES: usize = MAX_TRANSFER_BLOCKS as usize * 4096;

/// The properties of a node.
#[derive(Clone, Debug)]
pub struct FakeNodeSpec {
    /// Node id, the same after a restart.
    pub id: u32,
    /// Shard that the node holds.
    pub shard: u16,
    /// Zone of the node.
    pub zone: u16,
    /// Number of cores. Each executes one request at a time.
    pub cores: u16,
    /// Maximum number of queued requests.
    pub queue_capacity: u16,
    /// Maximum number of open commands of a session, which bounds its command window.
    pub max_commands: u32,
    /// Time that one warm core takes for one unit.
    pub unit_work: Duration,
    /// Fraction of a write's work that is deferred to a flush.
    pub deferred_fraction: f64,
    /// Interval after which one core does all deferred work at once.
    pub flush_interval: Duration,
    /// Fraction of the capacity that is available at a cold start.
    pub cold_from: f64,
    /// Time from a cold start until the full capacity is available.
    pub warm_after: Duration,
    /// Multiple of its present capacity that a cold node can take over the span `fall`. The node crashes when
    /// it is sent more than this and more than `cold_units`.
    pub fall_multiple: f64,
    /// Span over which the load of a cold node is summed.
    pub fall: Duration,
    /// Number of units within that span that never crash a cold node.
    pub cold_units: f64,
}

impl Default for FakeNodeSpec {
    fn default() -> Self {
        FakeNodeSpec {
            id: 1,
            shard: 0,
            zone: 0,
            cores: 2,
            queue_capacity: 64,
            max_commands: 256,
            unit_work: Duration::from_micros(400),
            deferred_fraction: 0.3,
            flush_interval: Duration::from_millis(1_500),
            cold_from: 0.2,
            warm_after: Duration::from_secs(10),
            fall_multiple: 4.0,
            fall: Duration::from_secs(2),
            cold_units: 40.0,
        }
    }
}

/// A fault that a scenario injects. A `bool` turns the fault on or off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// Accepts requests and does not respond.
    Hang(bool),
    /// Takes this many times as long for its work; 1 is the normal speed.
    Slow(f64),
    /// Closes all connections once.
    Reset,
    /// Closes a connection after sending an R2T, before the requested data is received.
    ResetAtR2t(bool),
    /// Stops accepting connections. Established ones stay.
    RefuseConnections,
    /// Rejects all new requests as if the queue were full.
    RejectRequests(bool),
    /// Applies repeated writes although their keys were seen before.
    ForgetKeys(bool),
    /// Acknowledges writes without storing them. Only a client that verifies the data it reads can detect
    /// this.
    LoseWrites(bool),
    /// Does not store the last block of a write, and reports it as a residual of its answer GOOD.
    ShortWrites(bool),
    /// Pauses all work for a time and then continues.
    Pause(Duration),
    /// Requests a logout of all sessions, as a draining node does.
    RequestLogout,
}

struct Job {
    session: Arc<Session>,
    command: ScsiCommand,
    media: MediaCommand,
    volume: u32,
    units: f64,
}

#[derive(Default)]
struct Queue {
    jobs: VecDeque<Job>,
    /// Number of cores that execute a request.
    busy: usize,
    /// Deferred work that the next flush does at once.
    deferred_work: Duration,
    flush_due: Option<Instant>,
    /// Recent requests and their units, from which an overload of a cold node is detected.
    recent_arrivals: VecDeque<(Instant, f64)>,
    /// Moving average of the service time, microseconds.
    service_us: f64,
    /// Units served, by volume.
    units_served: HashMap<u32, f64>,
    /// Units served at the last load report, by volume and host.
    units_reported: HashMap<(u32, u16), f64>,
}

/// The faults that are injected, and whether the process was stopped.
#[derive(Default)]
struct FaultState {
    hangs: AtomicBool,
    rejects: AtomicBool,
    forgets_keys: AtomicBool,
    loses_writes: AtomicBool,
    shortens_writes: AtomicBool,
    resets_at_r2t: AtomicBool,
    /// Factor on the time for work, in thousandths.
    slowdown: AtomicU32,
    stopped: AtomicBool,
    paused_until: Mutex<Option<Instant>>,
}

/// The process of a node, from a start to the next crash or kill.
struct NodeProcess {
    spec: FakeNodeSpec,
    recorder: Recorder,
    store: Arc<ShardStore>,
    rack_keys: Arc<RackKeyCache>,
    started: Instant,
    cold: bool,
    queue: Mutex<Queue>,
    work_available: Condvar,
    faults: FaultState,
    portal: Mutex<Option<Portal>>,
}

/// A fake storage node, which can be killed and restarted.
pub struct FakeNode {
    spec: FakeNodeSpec,
    recorder: Recorder,
    store: Arc<ShardStore>,
    rack_keys: Arc<RackKeyCache>,
    process: Mutex<Option<(Arc<NodeProcess>, SocketAddr, f64)>>,
}

/// Admits every initiator to every target.
struct AllowAll;

impl AccessControl for AllowAll {
    fn targets(&self, _: &str) -> Vec<(String, String)> {
        Vec::new()
    }

    fn authorize_login(&self, _: &str, _: &str) -> Result<(), LoginStatus> {
        Ok(())
    }

    fn extension_enabled(&self) -> bool {
        true
    }
}

impl FakeNode {
    /// Starts a warm node with the blocks of its shard and the key cache of its rack.
    ///
    /// # Errors
    /// No address was available or a thread could not be started.
    pub fn start(
        spec: FakeNodeSpec,
        store: Arc<ShardStore>,
        rack_keys: Arc<RackKeyCache>,
        recorder: Recorder,
    ) -> io::Result<FakeNode> {
        let node = FakeNode { spec, recorder, store, rack_keys, process: Mutex::new(None) };
        node.start_process(false)?;
        Ok(node)
    }

    /// The properties of the node.
    pub fn spec(&self) -> &FakeNodeSpec {
        &self.spec
    }

    /// Listen address and time of the last start in milliseconds since the Unix epoch, where 0 stands for a
    /// node that was started warm. `None` while the node is not running.
    pub fn address(&self) -> Option<(SocketAddr, f64)> {
        lock(&self.process).as_ref().map(|(_, a, s)| (*a, *s))
    }

    /// Restarts the node cold, at a new address.
    ///
    /// # Errors
    /// No address was available or a thread could not be started.
    pub fn restart(&self) -> io::Result<()> {
        self.kill();
        self.start_process(true)
    }

    /// Kills the process: its connections are closed and its queued requests are lost.
    pub fn kill(&self) {
        if let Some((process, ..)) = lock(&self.process).take() {
            process.stop();
        }
    }

    /// Whether the node collapsed under overload while it was cold.
    pub fn has_collapsed(&self) -> bool {
        lock(&self.process)
            .as_ref()
            .is_some_and(|(process, ..)| process.faults.stopped.load(Ordering::SeqCst))
    }

    /// Injects a fault or removes it.
    pub fn set_fault(&self, fault: NodeFault) {
        let Some((process, ..)) = lock(&self.process).as_ref().map(|(p, a, s)| (p.clone(), *a, *s)) else {
            return;
        };
        let s = &process.faults;
        match fault {
            NodeFault::Hang(on) => s.hangs.store(on, Ordering::SeqCst),
            NodeFault::Slow(times) => s.slowdown.store((times * 1_000.0) as u32, Ordering::SeqCst),
            NodeFault::RejectRequests(on) => s.rejects.store(on, Ordering::SeqCst),
            NodeFault::ForgetKeys(on) => s.forgets_keys.store(on, Ordering::SeqCst),
            NodeFault::LoseWrites(on) => s.loses_writes.store(on, Ordering::SeqCst),
            NodeFault::ShortWrites(on) => s.shortens_writes.store(on, Ordering::SeqCst),
            NodeFault::ResetAtR2t(on) => s.resets_at_r2t.store(on, Ordering::SeqCst),
            NodeFault::Pause(span) => *lock(&s.paused_until) = Some(Instant::now() + span),
            NodeFault::Reset => process.sessions().iter().for_each(|s| s.close()),
            NodeFault::RequestLogout => process.sessions().iter().for_each(|s| s.request_logout(2)),
            NodeFault::RefuseConnections => {
                if let Some(p) = &*lock(&process.portal) {
                    p.stop_accepting();
                }
            }
        }
        process.work_available.notify_all();
    }

    fn start_process(&self, cold: bool) -> io::Result<()> {
        let spec = self.spec.clone();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let process = Arc::new(NodeProcess {
            recorder: self.recorder.clone(),
            store: self.store.clone(),
            rack_keys: self.rack_keys.clone(),
            started: Instant::now(),
            cold,
            queue: Mutex::default(),
            work_available: Condvar::new(),
            faults: FaultState { slowdown: AtomicU32::new(1_000), ..Default::default() },
            portal: Mutex::new(None),
            spec,
        });
        let started_ms = if cold {
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
        } else {
            0.0
        };
        self.recorder.record(TraceEventKind::NodeStarted {
            node: self.spec.id,
            shard: self.spec.shard,
            zone: self.spec.zone,
            cold,
            units_per_s: f64::from(self.spec.cores) / self.spec.unit_work.as_secs_f64(),
        });
        let weak_process = Arc::downgrade(&process);
        let tap = self.recorder.tap(Endpoint::Node { node: self.spec.id }, move |stream, sent, header| {
            let Some(process) = weak_process.upgrade() else { return };
            if sent && header.opcode() == opcode::R2T && process.faults.resets_at_r2t.load(Ordering::SeqCst) {
                let session = process.sessions().into_iter().find(|s| s.id() == SessionId(stream));
                session.iter().for_each(|s| s.close());
            }
        });
        let config = PortalConfig {
            access: Arc::new(AllowAll),
            limits: Limits {
                max_commands: self.spec.max_commands,
                max_transfer_bytes: MAX_TRANSFER_BYTES,
                max_data_segment: MAX_DATA_SEGMENT,
            },
            memory: None,
            max_sessions: 1024,
            max_unsent_bytes: 16 << 20,
            first_tsih: 0,
            tap,
        };
        let portal = Portal::start(listener, config, Arc::new(NodeService(process.clone())))?;
        *lock(&process.portal) = Some(portal);
        for _ in 0..self.spec.cores.max(1) {
            let process = process.clone();
            spawn_small_stack("node-core", move || process.run_core())?;
        }
        *lock(&self.process) = Some((process, address, started_ms));
        Ok(())
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.kill();
    }
}

impl NodeProcess {
    fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.portal).as_ref().map(Portal::sessions).unwrap_or_default()
    }

    fn stop(&self) {
        self.faults.stopped.store(true, Ordering::SeqCst);
        lock(&self.queue).jobs.clear();
        self.work_available.notify_all();
        if let Some(portal) = lock(&self.portal).take() {
            portal.close_all();
        }
    }

    /// Fraction of the capacity that is available now.
    fn available_fraction(&self) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let progress = self.started.elapsed().as_secs_f64() / self.spec.warm_after.as_secs_f64().max(1e-3);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * progress.min(1.0)
    }

    /// Records an arrival and returns whether a cold node crashes under the load.
    fn is_overloaded(&self, queue: &mut Queue, units: f64) -> bool {
        if !self.cold || self.started.elapsed() >= self.spec.warm_after {
            return false;
        }
        let now = Instant::now();
        queue.recent_arrivals.push_back((now, units));
        while queue.recent_arrivals.front().is_some_and(|(at, _)| now.duration_since(*at) > self.spec.fall) {
            queue.recent_arrivals.pop_front();
        }
        let arrived: f64 = queue.recent_arrivals.iter().map(|c| c.1).sum();
        let warm_rate = f64::from(self.spec.cores) / self.spec.unit_work.as_secs_f64();
        let capacity_units =
            self.spec.fall_multiple * self.available_fraction() * warm_rate * self.spec.fall.as_secs_f64();
        arrived > capacity_units.max(self.spec.cold_units)
    }

    fn report(&self, queue: &mut Queue, volume: u32, host: Option<u16>) -> LoadReport {
        let total = queue.units_served.get(&volume).copied().unwrap_or(0.0);
        let reported = host.and_then(|h| queue.units_reported.insert((volume, h), total)).unwrap_or(total);
        LoadReport {
            queued: queue.jobs.len() as u32,
            in_flight: (queue.jobs.len() + queue.busy) as u32,
            service_us: queue.service_us as u32,
            utilization_milli: (queue.busy * 1_000 / usize::from(self.spec.cores.max(1))) as u16,
            other_hosts_milli_units: ((total - reported).max(0.0) * 1_000.0) as u32,
            used_percent: u16::MAX,
        }
    }

    fn run_core(self: Arc<Self>) {
        loop {
            let (job, deferred_work) = {
                let mut queue = lock(&self.queue);
                loop {
                    if self.faults.stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let due = queue.flush_due.is_some_and(|at| Instant::now() >= at);
                    if due {
                        queue.flush_due = None;
                        break (None, std::mem::take(&mut queue.deferred_work));
                    }
                    if let Some(job) = queue.jobs.pop_front() {
                        queue.busy += 1;
                        break (Some(job), Duration::ZERO);
                    }
                    let wait_result = self.work_available.wait_timeout(queue, Duration::from_millis(50));
                    queue = wait_result.unwrap_or_else(PoisonError::into_inner).0;
                }
            };
            let Some(job) = job else {
                self.run_for(deferred_work);
                continue;
            };
            let began = Instant::now();
            let total_work = self.spec.unit_work.mul_f64(job.units);
            let deferred = if job.media.is_write() {
                total_work.mul_f64(self.spec.deferred_fraction)
            } else {
                Duration::ZERO
            };
            self.run_for(total_work - deferred);
            self.finish(job, began, deferred);
        }
    }

    /// Occupies the core for work that takes this long on a warm node.
    fn run_for(&self, work: Duration) {
        let slowdown = f64::from(self.faults.slowdown.load(Ordering::SeqCst)) / 1_000.0;
        let until = Instant::now() + work.mul_f64((slowdown / self.available_fraction()).clamp(0.0, 1e6));
        loop {
            let pause_end = lock(&self.faults.paused_until).filter(|s| *s > Instant::now());
            let until = pause_end.map_or(until, |s| s.max(until));
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || self.faults.stopped.load(Ordering::SeqCst) {
                return;
            }
            std::thread::sleep(remaining.min(Duration::from_millis(20)));
        }
    }

    fn finish(&self, job: Job, began: Instant, deferred: Duration) {
        let hangs = || self.faults.hangs.load(Ordering::SeqCst);
        // A hanging request occupies its core until the fault ends, and is then completed late.
        while hangs() && !self.faults.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if self.faults.stopped.load(Ordering::SeqCst) {
            return;
        }
        let key = job.command.metadata.map(|t| t.key);
        let result = self.apply(&job, key);
        let mut queue = lock(&self.queue);
        queue.busy -= 1;
        queue.deferred_work += deferred;
        if !deferred.is_zero() && queue.flush_due.is_none() {
            queue.flush_due = Some(Instant::now() + self.spec.flush_interval);
        }
        let took = began.elapsed().as_secs_f64() * 1e6;
        queue.service_us += 0.1 * (took - queue.service_us);
        *queue.units_served.entry(job.volume).or_default() += job.units;
        let report = self.report(&mut queue, job.volume, key.map(|k| k.host));
        drop(queue);
        let response = match result {
            Ok(data) => {
                let full_length = u64::from(job.command.expected_length) - self.untransferred_bytes(&job);
                Response { data, full_length, report: Some(report), ..Default::default() }
            }
            Err(sense) => Response {
                status: status::CHECK_CONDITION,
                sense: sense.to_bytes(),
                report: Some(report),
                ..Default::default()
            },
        };
        job.session.respond(job.command.id, response);
    }

    /// Bytes of a block, which nodes do not know of a volume: it follows from the transfer length of the command
    /// in bytes.
    fn block_bytes(job: &Job) -> u64 {
        u64::from(job.command.expected_length).checked_div(job.media.transfer_length(1)).unwrap_or(0)
    }

    /// Bytes of a write that the injected fault keeps from being stored.
    fn untransferred_bytes(&self, job: &Job) -> u64 {
        let is_short = self.faults.shortens_writes.load(Ordering::SeqCst) && job.media.op == MediaOp::Write;
        if is_short {
            Self::block_bytes(job)
        } else {
            0
        }
    }

    /// Executes a command on the store and returns the data read. A repeated WRITE whose key the rack has
    /// seen is discarded and succeeds, unless the node has the fault of forgetting keys. Every other write
    /// command with a key is recorded as applied, even where the injected fault of lost writes then skips it.
    fn apply(&self, job: &Job, key: Option<IdempotencyKey>) -> Result<Payload, Sense> {
        let block_bytes = Self::block_bytes(job) as u32;
        if !job.media.is_write() {
            return self.store.execute(job.volume, &job.media, block_bytes, &job.command.data);
        }
        let discards_repeats = !self.faults.forgets_keys.load(Ordering::SeqCst);
        if let Some(key) = key {
            // The nodes of a rack recognise repeated writes only. A discarded repeat is answered as if it had
            // been applied.
            if discards_repeats && job.media.op == MediaOp::Write && !self.rack_keys.admit(key) {
                return Ok(Payload::new());
            }
            self.recorder.record(TraceEventKind::Applied {
                node: self.spec.id,
                key: (key.host, key.host_start_s, key.session, key.cmd_sn, key.part),
            });
        }
        if self.faults.loses_writes.load(Ordering::SeqCst) && job.media.op == MediaOp::Write {
            return Ok(Payload::new());
        }
        let stored_bytes = job.command.data.len() - self.untransferred_bytes(job) as usize;
        self.store.execute(job.volume, &job.media, block_bytes, &job.command.data.slice(0, stored_bytes))
    }
}

/// Serves the commands of a node's sessions.
struct NodeService(Arc<NodeProcess>);

impl SessionHandler for NodeService {
    fn logged_in(&self, _: &Arc<Session>, _: &str, _: Option<&str>) -> Result<(), LoginStatus> {
        Ok(())
    }

    fn command(&self, session: &Arc<Session>, command: ScsiCommand) {
        let process = &self.0;
        let media = match Cdb::parse(&command.cdb) {
            Ok(Cdb::Media(media)) => media,
            Ok(_) => return session.respond(command.id, Response::default()),
            Err(sense) => {
                let sense = sense.to_bytes();
                let response = Response { status: status::CHECK_CONDITION, sense, ..Default::default() };
                return session.respond(command.id, response);
            }
        };
        if !command.has_all_data() {
            let sense = Sense::INVALID_FIELD.to_bytes();
            let response = Response { status: status::CHECK_CONDITION, sense, ..Default::default() };
            return session.respond(command.id, response);
        }
        let volume =
            command.metadata.map_or_else(|| u32::from(decode_lun(command.lun).unwrap_or(0)), |t| t.volume);
        let units = command.metadata.map_or(1.0, |t| f64::from(t.milli_units) / 1_000.0);
        let mut queue = lock(&process.queue);
        if process.is_overloaded(&mut queue, units) {
            drop(queue);
            tracing::warn!(node = process.spec.id, "cold node crashed under overload");
            process.stop();
            return;
        }
        let is_full = queue.jobs.len() >= usize::from(process.spec.queue_capacity)
            || process.faults.rejects.load(Ordering::SeqCst);
        if is_full {
            let host = command.metadata.map(|t| t.key.host);
            let report = Some(process.report(&mut queue, volume, host));
            drop(queue);
            let response = Response { status: status::TASK_SET_FULL, report, ..Default::default() };
            return session.respond(command.id, response);
        }
        queue.jobs.push_back(Job { session: session.clone(), command, media, volume, units });
        drop(queue);
        process.work_available.notify_one();
    }

    /// Drops the request if it is still queued. A request in execution is completed.
    fn aborted(&self, session: &Arc<Session>, id: TaskId) {
        let is_aborted = |j: &Job| j.session.id() == session.id() && j.command.id == id;
        lock(&self.0.queue).jobs.retain(|j| !is_aborted(j));
    }

    /// Requests of a lost connection are still executed.
    fn closed(&self, _: &Arc<Session>, _: &str) {}
}
