//! One session: a connection, its pace, and what came of it.

use crate::figures::{End, Figures};
use crate::oracle::{Oracle, WriteEnd};
use crate::shape::{Ask, Deck, Kind, Shape, ShapeError};
use crate::stamp::{self, Number};
use crate::url::UnitUrl;
use pearfork_iscsi::{Command, CommandCompletion, InitiatorConfig, Payload};
use pearfork_net::{CommandToken, ConnectError, Connection, ConnectionEvent, StreamTap};
use pearfork_scsi::{encode_lun, status, MediaCommand, MediaOp};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How fast requests come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// So many a second, whatever becomes of them: times run from when each was due.
    Rate(f64),
    /// So many out at once.
    Depth(u32),
}

/// A load to be run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The units.
    pub units: Vec<UnitUrl>,
    /// Sessions at each; each has an even part of its blocks for itself.
    pub sessions: u32,
    /// How fast: a rate is for all sessions together, a depth for each.
    pub pace: Pace,
    /// What.
    pub shape: Shape,
    /// Whether blocks are stamped and proved.
    pub verify: bool,
    /// Whether CRC32C digests are asked for.
    pub digests: bool,
    /// Seed of all draws.
    pub seed: u64,
    /// How long requests are made.
    pub length: Duration,
    /// What the initiators' names begin with.
    pub initiator: String,
}

/// A session of it.
#[derive(Clone, Debug)]
pub struct SessionSpec {
    /// The load.
    pub plan: Arc<Plan>,
    /// Where.
    pub unit: UnitUrl,
    /// Its number among the sessions of its unit.
    pub part: u32,
    /// Its number over all units.
    pub number: u32,
}

impl SessionSpec {
    fn pace(&self) -> Pace {
        let all = self.plan.units.len() as f64 * f64::from(self.plan.sessions.max(1));
        match self.plan.pace {
            Pace::Rate(rate) => Pace::Rate(rate / all.max(1.0)),
            depth => depth,
        }
    }
}

/// A session that could not run.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// No connection or login.
    #[error("{unit}: {source}")]
    Connect {
        /// Where.
        unit: UnitUrl,
        /// Why.
        source: Box<ConnectError>,
    },
    /// The unit did not tell its size.
    #[error("{0}: READ CAPACITY was not answered: {1}")]
    Capacity(UnitUrl, String),
    /// The shape does not fit the unit.
    #[error("{unit}: {source}")]
    Shape {
        /// Where.
        unit: UnitUrl,
        /// Why.
        source: ShapeError,
    },
}

#[derive(Clone, Copy, Debug)]
enum Sent {
    Capacity,
    Ask { ask: Ask, number: Number, due: Instant },
}

impl CommandToken for Sent {}

/// How long a connection with its login may take, and how long answers are waited for at the end.
const PATIENCE: Duration = Duration::from_secs(10);
/// Between two attempts at a new session.
const RECONNECT: Duration = Duration::from_millis(200);
/// Draws of a request whose blocks are busy before the session waits for an answer.
const DRAWS: usize = 16;

/// An open session with its events.
struct Link {
    connection: Arc<Connection<Sent>>,
    events: Receiver<ConnectionEvent<Sent>>,
}

impl Link {
    fn open(spec: &SessionSpec) -> Result<Link, ConnectError> {
        let (to, events) = channel();
        let n = spec.number.to_be_bytes();
        let config = InitiatorConfig {
            name: format!("{}-{}", spec.plan.initiator, spec.number),
            target: Some(spec.unit.target.clone()),
            // Of random type (RFC 7143, section 11.12.5): the session's number, so that none takes another's place.
            isid: [0x80, 0, n[0], n[1], n[2], n[3]],
            digests: spec.plan.digests,
            extension: false,
        };
        let tell = move |e| drop(to.send(e));
        let connection = Connection::open(spec.unit.address, config, PATIENCE, StreamTap::default(), tell)?;
        Ok(Link { connection, events })
    }

    /// Blocks and bytes in one, by READ CAPACITY (16).
    fn capacity(&self, unit: &UnitUrl) -> Result<(u64, u32), SessionError> {
        let failed = |what: &str| SessionError::Capacity(unit.clone(), what.to_owned());
        let mut cdb = [0; 16];
        (cdb[0], cdb[1], cdb[13]) = (0x9e, 0x10, 32);
        let command = Command { lun: encode_lun(unit.lun), cdb, read_len: 32, ..Command::default() };
        self.connection.submit(Sent::Capacity, command).map_err(|_| failed("the session is closed"))?;
        match self.events.recv_timeout(PATIENCE) {
            Ok(ConnectionEvent::Completed(_, done))
                if done.status == status::GOOD && done.data.len() >= 12 =>
            {
                let data = done.data.to_bytes();
                let word =
                    |r: std::ops::Range<usize>| data[r].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
                let block = word(8..12) as u32;
                if block == 0 {
                    return Err(failed("it says that its blocks have no bytes"));
                }
                Ok((word(0..8).saturating_add(1), block))
            }
            Ok(ConnectionEvent::Completed(_, done)) => Err(failed(&format!("status {:#04x}", done.status))),
            Ok(_) => Err(failed("the session ended")),
            Err(_) => Err(failed("no answer in time")),
        }
    }
}

struct Running<'a> {
    spec: &'a SessionSpec,
    block: u32,
    deck: Deck,
    oracle: Oracle,
    figures: Figures,
    out: usize,
    /// Reads at the end are proof, not load: they would make a run look faster than it was.
    sweeping: bool,
}

/// Runs a session to its end.
///
/// # Errors
/// It could not begin; what goes wrong later is counted.
pub fn run(spec: &SessionSpec) -> Result<Figures, SessionError> {
    let connect = |e| SessionError::Connect { unit: spec.unit.clone(), source: Box::new(e) };
    let mut link = Some(Link::open(spec).map_err(connect)?);
    let (blocks, block) = match &link {
        Some(l) => l.capacity(&spec.unit)?,
        None => (0, 0),
    };
    let (part, parts) = (u64::from(spec.part), u64::from(spec.plan.sessions.max(1)));
    let region = (blocks / parts * part, blocks / parts);
    let seed = spec.plan.seed.wrapping_mul(1_000_003).wrapping_add(u64::from(spec.number));
    let deck = Deck::new(spec.plan.shape.clone(), region, block, seed)
        .map_err(|source| SessionError::Shape { unit: spec.unit.clone(), source })?;
    let mut r = Running {
        spec,
        block,
        deck,
        oracle: Oracle::default(),
        figures: Figures::default(),
        out: 0,
        sweeping: false,
    };
    let began = Instant::now();
    let until = began + spec.plan.length;
    let mut due = began;
    let mut try_again = began;
    while Instant::now() < until {
        let Some(l) = &link else {
            std::thread::sleep(Duration::from_millis(20));
            if Instant::now() >= try_again {
                try_again = Instant::now() + RECONNECT;
                link = Link::open(spec).ok();
                r.figures.reconnects += u64::from(link.is_some());
            }
            // What was due meanwhile was not sent: a rate does not wait for its target.
            if let Pace::Rate(rate) = spec.pace() {
                while due < Instant::now() {
                    r.figures.not_sent += 1;
                    due += Duration::from_secs_f64(r.deck.gap_s(rate));
                }
            }
            continue;
        };
        let wait = match spec.pace() {
            Pace::Depth(depth) => {
                let mut blocked = false;
                while r.out < depth as usize && !blocked && Instant::now() < until {
                    blocked = !r.send(l, Instant::now());
                }
                Duration::from_millis(50)
            }
            Pace::Rate(rate) => {
                while due <= Instant::now() && due < until {
                    if !r.send(l, due) {
                        r.figures.not_sent += 1;
                    }
                    due += Duration::from_secs_f64(r.deck.gap_s(rate));
                }
                due.saturating_duration_since(Instant::now()).min(Duration::from_millis(50))
            }
        };
        if !r.hear(l, wait) {
            link = None;
        }
    }
    let end = Instant::now() + PATIENCE;
    while let Some(l) = link.as_ref().filter(|_| r.out > 0 && Instant::now() < end) {
        if !r.hear(l, Duration::from_millis(50)) {
            link = None;
        }
    }
    if spec.plan.verify {
        r.sweep(link, end);
    }
    r.figures.in_doubt = r.oracle.in_doubt() as u64;
    Ok(r.figures)
}

impl Running<'_> {
    /// Sends a drawn request; `false` where none could be sent now.
    fn send(&mut self, link: &Link, due: Instant) -> bool {
        for _ in 0..DRAWS {
            let ask = self.deck.draw();
            if !self.spec.plan.verify || self.oracle.is_free(ask.lba, ask.blocks, ask.kind == Kind::Write) {
                return self.submit(link, ask, due);
            }
        }
        false
    }

    fn submit(&mut self, link: &Link, ask: Ask, due: Instant) -> bool {
        let op = match ask.kind {
            Kind::Read => MediaOp::Read,
            Kind::Write => MediaOp::Write,
            Kind::Flush => MediaOp::Flush,
        };
        let media = MediaCommand { op, lba: ask.lba, blocks: ask.blocks, fua: false, group: 0 };
        let mut data = Vec::new();
        let mut number = Number(0);
        match (ask.kind, self.spec.plan.verify) {
            (Kind::Write, verify) => {
                data = vec![0x5a; ask.blocks as usize * self.block as usize];
                if verify {
                    number = self.oracle.write_begins(ask.lba, ask.blocks);
                    for (lba, block) in (ask.lba..).zip(data.chunks_mut(self.block as usize)) {
                        stamp::write(block, lba, number);
                    }
                }
            }
            (Kind::Read, true) => self.oracle.read_begins(ask.lba, ask.blocks),
            _ => {}
        }
        let command = Command {
            lun: encode_lun(self.spec.unit.lun),
            cdb: media.to_cdb(),
            read_len: media.data_in_length(self.block) as u32,
            data: Payload::from(data),
            metadata: None,
        };
        let sent = link.connection.submit(Sent::Ask { ask, number, due }, command).is_ok();
        if sent {
            self.out += 1;
        } else if self.spec.plan.verify {
            // It never left: for a write that is as good as a refusal.
            self.over(ask, number, WriteEnd::Refused, None);
        }
        sent
    }

    /// Waits for events; `false` when the connection is over.
    fn hear(&mut self, link: &Link, wait: Duration) -> bool {
        let mut wait = wait;
        loop {
            match link.events.recv_timeout(wait) {
                Ok(ConnectionEvent::Completed(Sent::Ask { ask, number, due }, done)) => {
                    self.done(ask, number, due, &done);
                }
                Ok(ConnectionEvent::Closed(_, sent, never_sent)) => {
                    for (token, end) in sent
                        .into_iter()
                        .map(|t| (t, WriteEnd::Unknown))
                        .chain(never_sent.into_iter().map(|t| (t, WriteEnd::Refused)))
                    {
                        let Sent::Ask { ask, number, due } = token else { continue };
                        self.out = self.out.saturating_sub(1);
                        self.figures.end(ask.kind, End::Lost, 0, due.elapsed());
                        self.over(ask, number, end, None);
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

    fn done(&mut self, ask: Ask, number: Number, due: Instant, done: &CommandCompletion) {
        self.out = self.out.saturating_sub(1);
        let (end, write) = match done.status {
            status::GOOD => (End::Served, WriteEnd::Acknowledged),
            status::BUSY | status::TASK_SET_FULL => (End::Refused, WriteEnd::Refused),
            _ => (End::Failed, WriteEnd::Unknown),
        };
        let bytes = u64::from(ask.blocks) * u64::from(self.block);
        if !self.sweeping {
            self.figures.end(ask.kind, end, bytes, due.elapsed());
        }
        let data = (end == End::Served && ask.kind == Kind::Read).then(|| done.data.to_bytes());
        self.over(ask, number, write, data.as_deref());
    }

    /// Tells the oracle that a request is over.
    fn over(&mut self, ask: Ask, number: Number, end: WriteEnd, data: Option<&[u8]>) {
        if !self.spec.plan.verify {
            return;
        }
        match ask.kind {
            Kind::Write => self.oracle.write_ends(ask.lba, ask.blocks, number, end),
            Kind::Read => {
                let wrong = self.oracle.read_ends(ask.lba, ask.blocks, data, self.block);
                let unit = &self.spec.unit;
                let read = if data.is_some() { u64::from(ask.blocks) } else { 0 };
                self.figures.found(read, wrong.iter().map(|w| format!("{unit}: {w}")));
            }
            Kind::Flush => {}
        }
    }

    /// Reads once more what was written, one after the other; what is refused comes again.
    fn sweep(&mut self, mut link: Option<Link>, end: Instant) {
        self.sweeping = true;
        let most = (256 * 1024 / self.block.max(1)).max(1);
        let end = end + PATIENCE;
        for (lba, blocks) in self.oracle.written(most) {
            let before = self.figures.proved + self.figures.wrong_count;
            while self.figures.proved + self.figures.wrong_count == before {
                if Instant::now() >= end {
                    let words = format!("{}: block {lba} could not be read at the end", self.spec.unit);
                    return self.figures.found(0, vec![words].into_iter());
                }
                let Some(l) = &link else {
                    std::thread::sleep(RECONNECT);
                    link = Link::open(self.spec).ok();
                    continue;
                };
                let read = Ask { kind: Kind::Read, lba, blocks };
                if !self.submit(l, read, Instant::now()) {
                    link = None;
                    continue;
                }
                while self.out > 0 && Instant::now() < end {
                    if !self.hear(l, Duration::from_millis(50)) {
                        link = None;
                        break;
                    }
                }
            }
        }
    }
}
