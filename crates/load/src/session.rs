//! One session: its connection, the pacing of its requests and its results.

use crate::oracle::{Oracle, WriteOutcome};
use crate::stamp::{self, SequenceNumber};
use crate::stats::{LoadStats, Outcome};
use crate::url::LunUrl;
use crate::workload::{Request, RequestGenerator, RequestKind, Workload, WorkloadError};
use pearfork_iscsi::{Command, CommandCompletion, InitiatorConfig, Payload};
use pearfork_net::{CommandToken, ConnectError, Connection, ConnectionEvent, StreamTap};
use pearfork_scsi::{encode_lun, status, MediaCommand, MediaOp};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How requests are paced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pacing {
    /// Open loop: requests per second, however long responses take. Latency is measured from the time at
    /// which each request was due, so that the latency of a stalled target is not hidden.
    Rate(f64),
    /// Closed loop: requests in flight at a time.
    QueueDepth(u32),
}

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Logical units.
    pub units: Vec<LunUrl>,
    /// Sessions for each unit; each uses an equal share of its blocks exclusively.
    pub sessions_per_unit: u32,
    /// Pacing: a rate is for all sessions together, a queue depth for each session.
    pub pacing: Pacing,
    /// Mix, sizes and access pattern of the requests.
    pub workload: Workload,
    /// Whether blocks are stamped when written and verified when read.
    pub verify: bool,
    /// Whether CRC32C digests are negotiated.
    pub digests: bool,
    /// Seed of the random number generators.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Prefix of the initiator names.
    pub initiator_prefix: String,
}

/// Settings of one session of a load run.
#[derive(Clone, Debug)]
pub struct SessionConfig {
    /// Settings of the run.
    pub load: Arc<LoadConfig>,
    /// Its logical unit.
    pub unit: LunUrl,
    /// Its index among the sessions of its unit, which selects its region of blocks.
    pub region_index: u32,
    /// Its index among the sessions of all units.
    pub index: u32,
}

impl SessionConfig {
    fn pacing(&self) -> Pacing {
        let all = self.load.units.len() as f64 * f64::from(self.load.sessions_per_unit.max(1));
        match self.load.pacing {
            Pacing::Rate(rate) => Pacing::Rate(rate / all.max(1.0)),
            depth => depth,
        }
    }
}

/// Why a session could not start.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The connection or the login failed.
    #[error("{unit}: {source}")]
    Connect {
        /// The logical unit.
        unit: LunUrl,
        /// The cause.
        source: Box<ConnectError>,
    },
    /// READ CAPACITY failed.
    #[error("{0}: READ CAPACITY failed: {1}")]
    Capacity(LunUrl, String),
    /// The workload is invalid or does not fit the unit.
    #[error("{unit}: {source}")]
    Workload {
        /// The logical unit.
        unit: LunUrl,
        /// The cause.
        source: WorkloadError,
    },
}

/// A command in flight.
#[derive(Clone, Copy, Debug)]
enum PendingCommand {
    ReadCapacity,
    Request { request: Request, sequence: SequenceNumber, due: Instant },
}

impl CommandToken for PendingCommand {}

/// Limit for opening a connection with its login, for READ CAPACITY, and for the responses outstanding at the
/// end.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two attempts to re-establish a session.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Most requests drawn whose blocks are in use before the session waits for a response.
const MAX_DRAWS: usize = 16;

/// An open connection with its events.
struct SessionLink {
    connection: Arc<Connection<PendingCommand>>,
    events: Receiver<ConnectionEvent<PendingCommand>>,
}

impl SessionLink {
    fn open(session: &SessionConfig) -> Result<SessionLink, ConnectError> {
        let (to, events) = channel();
        let n = session.index.to_be_bytes();
        let config = InitiatorConfig {
            name: format!("{}-{}", session.load.initiator_prefix, session.index),
            target: Some(session.unit.target.clone()),
            // The ISID is of the random type (RFC 7143, section 11.12.5) and holds the index of the session,
            // so that no session reinstates that of another.
            isid: [0x80, 0, n[0], n[1], n[2], n[3]],
            digests: session.load.digests,
            extension: false,
        };
        let notify = move |e| drop(to.send(e));
        let connection =
            Connection::open(session.unit.address, config, RESPONSE_TIMEOUT, StreamTap::default(), notify)?;
        Ok(SessionLink { connection, events })
    }

    /// Returns the number of blocks and the bytes of a block, from READ CAPACITY (16).
    fn capacity(&self, unit: &LunUrl) -> Result<(u64, u32), SessionError> {
        let failed = |what: &str| SessionError::Capacity(unit.clone(), what.to_owned());
        let mut cdb = [0; 16];
        (cdb[0], cdb[1], cdb[13]) = (0x9e, 0x10, 32);
        let command = Command { lun: encode_lun(unit.lun), cdb, read_len: 32, ..Command::default() };
        self.connection
            .submit(PendingCommand::ReadCapacity, command)
            .map_err(|_| failed("the session is closed"))?;
        match self.events.recv_timeout(RESPONSE_TIMEOUT) {
            Ok(ConnectionEvent::Completed(_, done))
                if done.status == status::GOOD && done.data.len() >= 12 =>
            {
                let data = done.data.to_bytes();
                let field =
                    |r: std::ops::Range<usize>| data[r].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
                let block = field(8..12) as u32;
                if block == 0 {
                    return Err(failed("the unit reports a block size of 0 bytes"));
                }
                Ok((field(0..8).saturating_add(1), block))
            }
            Ok(ConnectionEvent::Completed(_, done)) => Err(failed(&format!("status {:#04x}", done.status))),
            Ok(_) => Err(failed("the session closed")),
            Err(_) => Err(failed("no response within 10 s")),
        }
    }
}

/// State of a running session.
struct SessionState<'a> {
    session: &'a SessionConfig,
    block: u32,
    generator: RequestGenerator,
    oracle: Oracle,
    stats: LoadStats,
    in_flight: usize,
    /// The final verification runs. Its reads are not counted: they would make the load look faster than it
    /// was.
    is_final_check: bool,
}

/// Runs a session for the duration of the load.
///
/// # Errors
/// The session could not start; errors after that are counted in the results.
pub fn run(session: &SessionConfig) -> Result<LoadStats, SessionError> {
    let connect = |e| SessionError::Connect { unit: session.unit.clone(), source: Box::new(e) };
    let mut link = Some(SessionLink::open(session).map_err(connect)?);
    let (blocks, block) = match &link {
        Some(l) => l.capacity(&session.unit)?,
        None => (0, 0),
    };
    let (region_index, regions) =
        (u64::from(session.region_index), u64::from(session.load.sessions_per_unit.max(1)));
    let region = (blocks / regions * region_index, blocks / regions);
    let seed = session.load.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(session.index));
    let generator = RequestGenerator::new(session.load.workload.clone(), region, block, seed)
        .map_err(|source| SessionError::Workload { unit: session.unit.clone(), source })?;
    let mut state = SessionState {
        session,
        block,
        generator,
        oracle: Oracle::default(),
        stats: LoadStats::default(),
        in_flight: 0,
        is_final_check: false,
    };
    let started = Instant::now();
    let end_time = started + session.load.duration;
    let mut due = started;
    let mut next_connect = started;
    while Instant::now() < end_time {
        let Some(l) = &link else {
            std::thread::sleep(Duration::from_millis(20));
            if Instant::now() >= next_connect {
                next_connect = Instant::now() + RECONNECT_DELAY;
                link = SessionLink::open(session).ok();
                state.stats.reconnects += u64::from(link.is_some());
            }
            // Requests that were due meanwhile count as not sent: an open loop does not wait for its target.
            if let Pacing::Rate(rate) = session.pacing() {
                while due < Instant::now() {
                    state.stats.not_sent += 1;
                    due += Duration::from_secs_f64(state.generator.next_gap_s(rate));
                }
            }
            continue;
        };
        let wait = match session.pacing() {
            Pacing::QueueDepth(depth) => {
                let mut blocked = false;
                while state.in_flight < depth as usize && !blocked && Instant::now() < end_time {
                    blocked = !state.send(l, Instant::now());
                }
                Duration::from_millis(50)
            }
            Pacing::Rate(rate) => {
                while due <= Instant::now() && due < end_time {
                    if !state.send(l, due) {
                        state.stats.not_sent += 1;
                    }
                    due += Duration::from_secs_f64(state.generator.next_gap_s(rate));
                }
                due.saturating_duration_since(Instant::now()).min(Duration::from_millis(50))
            }
        };
        if !state.poll_events(l, wait) {
            link = None;
        }
    }
    let end = Instant::now() + RESPONSE_TIMEOUT;
    while let Some(l) = link.as_ref().filter(|_| state.in_flight > 0 && Instant::now() < end) {
        if !state.poll_events(l, Duration::from_millis(50)) {
            link = None;
        }
    }
    if session.load.verify {
        state.verify_written(link, end);
    }
    state.stats.uncertain_blocks = state.oracle.uncertain_blocks() as u64;
    Ok(state.stats)
}

impl SessionState<'_> {
    /// Draws and sends a request. Returns `false` if none could be sent now.
    fn send(&mut self, link: &SessionLink, due: Instant) -> bool {
        for _ in 0..MAX_DRAWS {
            let request = self.generator.next_request();
            if !self.session.load.verify
                || self.oracle.can_start(request.lba, request.blocks, request.kind == RequestKind::Write)
            {
                return self.submit(link, request, due);
            }
        }
        false
    }

    fn submit(&mut self, link: &SessionLink, request: Request, due: Instant) -> bool {
        let op = match request.kind {
            RequestKind::Read => MediaOp::Read,
            RequestKind::Write => MediaOp::Write,
            RequestKind::Flush => MediaOp::Flush,
        };
        let media = MediaCommand { op, lba: request.lba, blocks: request.blocks, fua: false, group: 0 };
        let mut data = Vec::new();
        let mut sequence = SequenceNumber(0);
        match (request.kind, self.session.load.verify) {
            (RequestKind::Write, verify) => {
                data = vec![0x5a; request.blocks as usize * self.block as usize];
                if verify {
                    sequence = self.oracle.begin_write(request.lba, request.blocks);
                    for (lba, block) in (request.lba..).zip(data.chunks_mut(self.block as usize)) {
                        stamp::write(block, lba, sequence);
                    }
                }
            }
            (RequestKind::Read, true) => self.oracle.begin_read(request.lba, request.blocks),
            _ => {}
        }
        let command = Command {
            lun: encode_lun(self.session.unit.lun),
            cdb: media.to_cdb(),
            read_len: media.data_in_length(self.block) as u32,
            data: Payload::from(data),
            metadata: None,
        };
        let sent =
            link.connection.submit(PendingCommand::Request { request, sequence, due }, command).is_ok();
        if sent {
            self.in_flight += 1;
        } else if self.session.load.verify {
            // The command was not sent, so it had no effect, as if it had been refused.
            self.update_oracle(request, sequence, WriteOutcome::Refused, None);
        }
        sent
    }

    /// Handles events, waiting at most `wait` for the first one. Returns `false` when the connection is
    /// closed.
    fn poll_events(&mut self, link: &SessionLink, wait: Duration) -> bool {
        let mut wait = wait;
        loop {
            match link.events.recv_timeout(wait) {
                Ok(ConnectionEvent::Completed(PendingCommand::Request { request, sequence, due }, done)) => {
                    self.on_completion(request, sequence, due, &done);
                }
                Ok(ConnectionEvent::Closed(_, sent, unsent)) => {
                    for (command, outcome) in sent
                        .into_iter()
                        .map(|t| (t, WriteOutcome::Unknown))
                        .chain(unsent.into_iter().map(|t| (t, WriteOutcome::Refused)))
                    {
                        let PendingCommand::Request { request, sequence, due } = command else { continue };
                        self.in_flight = self.in_flight.saturating_sub(1);
                        self.stats.record_outcome(request.kind, Outcome::Lost, 0, due.elapsed());
                        self.update_oracle(request, sequence, outcome, None);
                    }
                    return false;
                }
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) => return true,
                Err(RecvTimeoutError::Disconnected) => return false,
            }
            wait = Duration::ZERO;
        }
    }

    fn on_completion(
        &mut self,
        request: Request,
        sequence: SequenceNumber,
        due: Instant,
        done: &CommandCompletion,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let (outcome, write_outcome) = match done.status {
            status::GOOD => (Outcome::Served, WriteOutcome::Acknowledged),
            status::BUSY | status::TASK_SET_FULL => (Outcome::Refused, WriteOutcome::Refused),
            _ => (Outcome::Failed, WriteOutcome::Unknown),
        };
        let bytes = u64::from(request.blocks) * u64::from(self.block);
        if !self.is_final_check {
            self.stats.record_outcome(request.kind, outcome, bytes, due.elapsed());
        }
        let data =
            (outcome == Outcome::Served && request.kind == RequestKind::Read).then(|| done.data.to_bytes());
        self.update_oracle(request, sequence, write_outcome, data.as_deref());
    }

    /// Updates the oracle when a request ends, and records the mismatches of a read.
    fn update_oracle(
        &mut self,
        request: Request,
        sequence: SequenceNumber,
        outcome: WriteOutcome,
        data: Option<&[u8]>,
    ) {
        if !self.session.load.verify {
            return;
        }
        match request.kind {
            RequestKind::Write => self.oracle.finish_write(request.lba, request.blocks, sequence, outcome),
            RequestKind::Read => {
                let mismatches = self.oracle.finish_read(request.lba, request.blocks, data, self.block);
                let unit = &self.session.unit;
                let read = if data.is_some() { u64::from(request.blocks) } else { 0 };
                self.stats.record_verification(read, mismatches.iter().map(|m| format!("{unit}: {m}")));
            }
            RequestKind::Flush => {}
        }
    }

    /// Reads all written blocks once more, one range at a time. Reads that are refused or lost are sent
    /// again.
    fn verify_written(&mut self, mut link: Option<SessionLink>, end: Instant) {
        self.is_final_check = true;
        let max_blocks = (256 * 1024 / self.block.max(1)).max(1);
        let end = end + RESPONSE_TIMEOUT;
        for (lba, blocks) in self.oracle.written_ranges(max_blocks) {
            let before = self.stats.verified_blocks + self.stats.mismatch_count;
            while self.stats.verified_blocks + self.stats.mismatch_count == before {
                if Instant::now() >= end {
                    let mismatch = format!(
                        "{}: block {lba} could not be read for the final verification",
                        self.session.unit
                    );
                    return self.stats.record_verification(0, vec![mismatch].into_iter());
                }
                let Some(l) = &link else {
                    std::thread::sleep(RECONNECT_DELAY);
                    link = SessionLink::open(self.session).ok();
                    continue;
                };
                let read = Request { kind: RequestKind::Read, lba, blocks };
                if !self.submit(l, read, Instant::now()) {
                    link = None;
                    continue;
                }
                while self.in_flight > 0 && Instant::now() < end {
                    if !self.poll_events(l, Duration::from_millis(50)) {
                        link = None;
                        break;
                    }
                }
            }
        }
    }
}
