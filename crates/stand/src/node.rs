//! A stand-in storage node: an iSCSI target with cores, a waiting room, a cold start, and faults.

use crate::recorder::Recorder;
use crate::store::{Rack, ShardStore};
use pearfork_iscsi::node_extension::{IdempotencyKey, LoadReport};
use pearfork_iscsi::{AccessControl, Limits, LoginStatus, Payload, Response, ScsiCommand, TaskTag};
use pearfork_net::{lock, spawn_small_stack, Portal, PortalConfig, Session, SessionHandler, SessionId};
use pearfork_rulecheck::wire::opcode;
use pearfork_rulecheck::{Endpoint, TraceEventKind};
use pearfork_scsi::{decode_lun, status, Cdb, MediaCommand, MediaOp, Sense};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What a node is like.
#[derive(Clone, Debug)]
pub struct FakeNodeSpec {
    /// Its id, the same after a restart.
    pub id: u32,
    /// The shard that it holds.
    pub shard: u16,
    /// Its zone: the rack whose memory it shares is given apart.
    pub zone: u16,
    /// Cores; each works on one request at a time.
    pub cores: u16,
    /// Requests that wait at the most.
    pub queue_capacity: u16,
    /// Work of one unit on one warm core.
    pub unit_work: Duration,
    /// Part of a write's work that is put off.
    pub deferred_fraction: f64,
    /// How often what was put off is done in one go.
    pub flush_every: Duration,
    /// Part of its capacity with which it starts.
    pub cold_from: f64,
    /// When it is warm after a start.
    pub warm_after: Duration,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this span ...
    pub fall: Duration,
    /// ... and more than so many units.
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
            unit_work: Duration::from_micros(400),
            deferred_fraction: 0.3,
            flush_every: Duration::from_millis(1_500),
            cold_from: 0.2,
            warm_after: Duration::from_secs(10),
            fall_multiple: 4.0,
            fall: Duration::from_secs(2),
            cold_units: 40.0,
        }
    }
}

/// A trouble that a script switches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeFault {
    /// Takes work and answers nothing, or does so no longer.
    Hang(bool),
    /// Works so many times slower; 1 as usual.
    Slow(f64),
    /// Drops all its connections once.
    Reset,
    /// Drops the connection between an R2T and the data that it asks for.
    ResetAtR2t(bool),
    /// Closes its listener; connections stay.
    RefuseConnections,
    /// Turns all new work away as full.
    RejectRequests(bool),
    /// Forgets to drop repeats.
    ForgetKeys(bool),
    /// Acknowledges writes and keeps none: a fault that only who proves what he reads can find.
    LoseWrites(bool),
    /// Stands still for a while: nothing moves, then all goes on.
    Pause(Duration),
    /// Asks its peers to leave, as a node that drains does.
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
    busy: usize,
    /// Work put off, to be done in one go.
    debt: Duration,
    debt_due: Option<Instant>,
    /// What came of late, for the fall of a cold node.
    came: VecDeque<(Instant, f64)>,
    service_us: f64,
    /// Units served by volume, in all and when each host was last told.
    used: HashMap<u32, f64>,
    told: HashMap<(u32, u16), f64>,
}

#[derive(Default)]
struct Switches {
    hung: AtomicBool,
    turns_away: AtomicBool,
    forgets: AtomicBool,
    loses_writes: AtomicBool,
    resets_at_r2t: AtomicBool,
    /// Thousandths.
    slow: AtomicU32,
    stopped: AtomicBool,
    still_until: Mutex<Option<Instant>>,
}

/// One process of a node, from its start to its end.
struct Life {
    spec: FakeNodeSpec,
    recorder: Recorder,
    store: Arc<ShardStore>,
    rack: Arc<Rack>,
    began: Instant,
    cold: bool,
    queue: Mutex<Queue>,
    more: Condvar,
    switches: Switches,
    portal: Mutex<Option<Portal>>,
}

/// A stand-in node.
pub struct FakeNode {
    spec: FakeNodeSpec,
    recorder: Recorder,
    store: Arc<ShardStore>,
    rack: Arc<Rack>,
    life: Mutex<Option<(Arc<Life>, SocketAddr, f64)>>,
}

struct Open;

impl AccessControl for Open {
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
    /// A node that has been up for long. Its blocks are its shard's, its memory of keys its rack's.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn start(
        spec: FakeNodeSpec,
        store: Arc<ShardStore>,
        rack: Arc<Rack>,
        recorder: Recorder,
    ) -> io::Result<FakeNode> {
        let node = FakeNode { spec, recorder, store, rack, life: Mutex::new(None) };
        node.begin(false)?;
        Ok(node)
    }

    /// What it is like.
    pub fn spec(&self) -> &FakeNodeSpec {
        &self.spec
    }

    /// Where it listens and its last start in milliseconds of the Unix epoch, 0 for long ago; `None` while dead.
    pub fn address(&self) -> Option<(SocketAddr, f64)> {
        lock(&self.life).as_ref().map(|(_, a, s)| (*a, *s))
    }

    /// Starts again, cold, at a new address.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn restart(&self) -> io::Result<()> {
        self.kill();
        self.begin(true)
    }

    /// The process is gone: connections drop, what waited is lost.
    pub fn kill(&self) {
        if let Some((life, ..)) = lock(&self.life).take() {
            life.end();
        }
    }

    /// Whether it fell over.
    pub fn has_crashed(&self) -> bool {
        lock(&self.life).as_ref().is_some_and(|(life, ..)| life.switches.stopped.load(Ordering::SeqCst))
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: NodeFault) {
        let Some((life, ..)) = lock(&self.life).as_ref().map(|(l, a, s)| (l.clone(), *a, *s)) else { return };
        let s = &life.switches;
        match fault {
            NodeFault::Hang(on) => s.hung.store(on, Ordering::SeqCst),
            NodeFault::Slow(times) => s.slow.store((times * 1_000.0) as u32, Ordering::SeqCst),
            NodeFault::RejectRequests(on) => s.turns_away.store(on, Ordering::SeqCst),
            NodeFault::ForgetKeys(on) => s.forgets.store(on, Ordering::SeqCst),
            NodeFault::LoseWrites(on) => s.loses_writes.store(on, Ordering::SeqCst),
            NodeFault::ResetAtR2t(on) => s.resets_at_r2t.store(on, Ordering::SeqCst),
            NodeFault::Pause(span) => *lock(&s.still_until) = Some(Instant::now() + span),
            NodeFault::Reset => life.sessions().iter().for_each(|s| s.close()),
            NodeFault::RequestLogout => life.sessions().iter().for_each(|s| s.request_logout(2)),
            NodeFault::RefuseConnections => {
                if let Some(p) = &*lock(&life.portal) {
                    p.stop_accepting();
                }
            }
        }
        life.more.notify_all();
    }

    fn begin(&self, cold: bool) -> io::Result<()> {
        let spec = self.spec.clone();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let life = Arc::new(Life {
            recorder: self.recorder.clone(),
            store: self.store.clone(),
            rack: self.rack.clone(),
            began: Instant::now(),
            cold,
            queue: Mutex::default(),
            more: Condvar::new(),
            switches: Switches { slow: AtomicU32::new(1_000), ..Default::default() },
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
        let watched = Arc::downgrade(&life);
        let tap = self.recorder.tap(Endpoint::Node { node: self.spec.id }, move |stream, sent, header| {
            let Some(life) = watched.upgrade() else { return };
            if sent && header.opcode() == opcode::R2T && life.switches.resets_at_r2t.load(Ordering::SeqCst) {
                let session = life.sessions().into_iter().find(|s| s.id() == SessionId(stream));
                session.iter().for_each(|s| s.close());
            }
        });
        let config = PortalConfig {
            access: Arc::new(Open),
            limits: Limits { max_commands: 256, max_transfer_bytes: 4 << 20 },
            max_sessions: 1024,
            max_unsent_bytes: 16 << 20,
            first_tsih: 0,
            tap,
        };
        let portal = Portal::start(listener, config, Arc::new(Served(life.clone())))?;
        *lock(&life.portal) = Some(portal);
        for _ in 0..self.spec.cores.max(1) {
            let life = life.clone();
            spawn_small_stack("node-core", move || life.work())?;
        }
        *lock(&self.life) = Some((life, address, started_ms));
        Ok(())
    }
}

impl Drop for FakeNode {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Life {
    fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.portal).as_ref().map(Portal::sessions).unwrap_or_default()
    }

    fn end(&self) {
        self.switches.stopped.store(true, Ordering::SeqCst);
        lock(&self.queue).jobs.clear();
        self.more.notify_all();
        if let Some(portal) = lock(&self.portal).take() {
            portal.close_all();
        }
    }

    /// Part of its capacity that it has now.
    fn warmth(&self) -> f64 {
        if !self.cold {
            return 1.0;
        }
        let part = self.began.elapsed().as_secs_f64() / self.spec.warm_after.as_secs_f64().max(1e-3);
        self.spec.cold_from + (1.0 - self.spec.cold_from) * part.min(1.0)
    }

    /// Notes what came; true where a cold node falls over under it.
    fn falls(&self, q: &mut Queue, units: f64) -> bool {
        if !self.cold || self.began.elapsed() >= self.spec.warm_after {
            return false;
        }
        let now = Instant::now();
        q.came.push_back((now, units));
        while q.came.front().is_some_and(|(at, _)| now.duration_since(*at) > self.spec.fall) {
            q.came.pop_front();
        }
        let sent: f64 = q.came.iter().map(|c| c.1).sum();
        let warm_rate = f64::from(self.spec.cores) / self.spec.unit_work.as_secs_f64();
        let bears = self.spec.fall_multiple * self.warmth() * warm_rate * self.spec.fall.as_secs_f64();
        sent > bears.max(self.spec.cold_units)
    }

    fn report(&self, q: &mut Queue, volume: u32, host: Option<u16>) -> LoadReport {
        let all = q.used.get(&volume).copied().unwrap_or(0.0);
        let told = host.and_then(|h| q.told.insert((volume, h), all)).unwrap_or(all);
        LoadReport {
            queued: q.jobs.len() as u32,
            in_flight: (q.jobs.len() + q.busy) as u32,
            service_us: q.service_us as u32,
            utilization_milli: (q.busy * 1_000 / usize::from(self.spec.cores.max(1))) as u16,
            other_hosts_milli_units: ((all - told).max(0.0) * 1_000.0) as u32,
            used_percent: u16::MAX,
        }
    }

    fn work(self: Arc<Self>) {
        loop {
            let (job, debt) = {
                let mut q = lock(&self.queue);
                loop {
                    if self.switches.stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    let due = q.debt_due.is_some_and(|at| Instant::now() >= at);
                    if due {
                        q.debt_due = None;
                        break (None, std::mem::take(&mut q.debt));
                    }
                    if let Some(job) = q.jobs.pop_front() {
                        q.busy += 1;
                        break (Some(job), Duration::ZERO);
                    }
                    let waited = self.more.wait_timeout(q, Duration::from_millis(50));
                    q = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
            };
            let Some(job) = job else {
                self.spend(debt);
                continue;
            };
            let began = Instant::now();
            let whole = self.spec.unit_work.mul_f64(job.units);
            let put_off = if job.media.is_write() {
                whole.mul_f64(self.spec.deferred_fraction)
            } else {
                Duration::ZERO
            };
            self.spend(whole - put_off);
            self.finish(job, began, put_off);
        }
    }

    /// Takes a core's time for work, as fast as the node now is.
    fn spend(&self, work: Duration) {
        let slow = f64::from(self.switches.slow.load(Ordering::SeqCst)) / 1_000.0;
        let until = Instant::now() + work.mul_f64((slow / self.warmth()).clamp(0.0, 1e6));
        loop {
            let still = lock(&self.switches.still_until).filter(|s| *s > Instant::now());
            let until = still.map_or(until, |s| s.max(until));
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.switches.stopped.load(Ordering::SeqCst) {
                return;
            }
            std::thread::sleep(left.min(Duration::from_millis(20)));
        }
    }

    fn finish(&self, job: Job, began: Instant, put_off: Duration) {
        let hung = || self.switches.hung.load(Ordering::SeqCst);
        // What hangs keeps its core until the fault ends; then it goes on, late.
        while hung() && !self.switches.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        if self.switches.stopped.load(Ordering::SeqCst) {
            return;
        }
        let key = job.command.metadata.map(|t| t.key);
        let result = self.apply(&job, key);
        let mut q = lock(&self.queue);
        q.busy -= 1;
        q.debt += put_off;
        if !put_off.is_zero() && q.debt_due.is_none() {
            q.debt_due = Some(Instant::now() + self.spec.flush_every);
        }
        let took = began.elapsed().as_secs_f64() * 1e6;
        q.service_us += 0.1 * (took - q.service_us);
        *q.used.entry(job.volume).or_default() += job.units;
        let report = self.report(&mut q, job.volume, key.map(|k| k.host));
        drop(q);
        let response = match result {
            Ok(data) => {
                let full_length = job.command.expected_length.into();
                Response { data, full_length, report: Some(report), ..Default::default() }
            }
            Err(sense) => Response {
                status: status::CHECK_CONDITION,
                sense: sense.to_bytes(),
                report: Some(report),
                ..Default::default()
            },
        };
        job.session.respond(job.command.tag, response);
    }

    fn apply(&self, job: &Job, key: Option<IdempotencyKey>) -> Result<Payload, Sense> {
        // A node is not told of block sizes: they follow from the bytes that the command says it moves.
        let blocks_moved = job.media.transfer_length(1);
        let block = u64::from(job.command.expected_length).checked_div(blocks_moved).unwrap_or(0) as u32;
        if !job.media.is_write() {
            return self.store.carry_out(job.volume, &job.media, block, &job.command.data);
        }
        let drops = !self.switches.forgets.load(Ordering::SeqCst);
        if let Some(key) = key {
            // A rack's nodes recognise writes alone, and an effect that is dropped still counts as done.
            if drops && job.media.op == MediaOp::Write && !self.rack.admits(key) {
                return Ok(Payload::new());
            }
            self.recorder.record(TraceEventKind::Applied {
                node: self.spec.id,
                key: (key.host, key.host_start_s, key.session, key.cmd_sn, key.part),
            });
        }
        if self.switches.loses_writes.load(Ordering::SeqCst) && job.media.op == MediaOp::Write {
            return Ok(Payload::new());
        }
        self.store.carry_out(job.volume, &job.media, block, &job.command.data)
    }
}

struct Served(Arc<Life>);

impl SessionHandler for Served {
    fn logged_in(&self, _: &Arc<Session>, _: &str, _: Option<&str>) -> Result<(), LoginStatus> {
        Ok(())
    }

    fn command(&self, session: &Arc<Session>, command: ScsiCommand) {
        let life = &self.0;
        let media = match Cdb::parse(&command.cdb) {
            Ok(Cdb::Media(media)) => media,
            Ok(_) => return session.respond(command.tag, Response::default()),
            Err(sense) => {
                let sense = sense.to_bytes();
                let response = Response { status: status::CHECK_CONDITION, sense, ..Default::default() };
                return session.respond(command.tag, response);
            }
        };
        let volume =
            command.metadata.map_or_else(|| u32::from(decode_lun(command.lun).unwrap_or(0)), |t| t.volume);
        let units = command.metadata.map_or(1.0, |t| f64::from(t.milli_units) / 1_000.0);
        let mut q = lock(&life.queue);
        if life.falls(&mut q, units) {
            drop(q);
            tracing::warn!(node = life.spec.id, "cold node pushed over");
            life.end();
            return;
        }
        let full = q.jobs.len() >= usize::from(life.spec.queue_capacity)
            || life.switches.turns_away.load(Ordering::SeqCst);
        if full {
            let host = command.metadata.map(|t| t.key.host);
            let report = Some(life.report(&mut q, volume, host));
            drop(q);
            let response = Response { status: status::TASK_SET_FULL, report, ..Default::default() };
            return session.respond(command.tag, response);
        }
        q.jobs.push_back(Job { session: session.clone(), command, media, volume, units });
        drop(q);
        life.more.notify_one();
    }

    /// What still waits is dropped, what is in work goes on.
    fn aborted(&self, session: &Arc<Session>, tag: TaskTag) {
        let of_it = |j: &Job| j.session.id() == session.id() && j.command.tag == tag;
        lock(&self.0.queue).jobs.retain(|j| !of_it(j));
    }

    /// What a lost connection had sent still runs.
    fn closed(&self, _: &Arc<Session>, _: &str) {}
}
