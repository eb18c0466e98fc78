//! A fake client: an iSCSI initiator that generates load, retries after BUSY, and verifies the data it reads.

use crate::recorder::Recorder;
use hdrhistogram::Histogram;
use pearfork_iscsi::{Command, CommandCompletion, InitiatorConfig, Payload};
use pearfork_net::{lock, spawn_small_stack, CommandToken, Connection, ConnectionEvent, StreamTap};
use pearfork_rulecheck::Endpoint;
use pearfork_scsi::{encode_lun, status, MediaCommand, MediaOp};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The load that a client generates.
#[derive(Clone, Debug)]
pub struct FakeClientSpec {
    /// Name of the client, part of its initiator name.
    pub name: String,
    /// Seed of the random number generator. It is also part of the ISID and of the block contents.
    pub seed: u64,
    /// Number and address of the host.
    pub host: (u16, SocketAddr),
    /// Target name of the volume.
    pub target: String,
    /// Logical unit number of the volume.
    pub lun: u16,
    /// Block size of the volume in bytes.
    pub block_bytes: u32,
    /// First block and number of blocks of the region that only this client uses.
    pub region: (u64, u64),
    /// Mean number of requests per second. The arrivals are a Poisson process.
    pub rate: f64,
    /// Fraction of the requests that are writes.
    pub write_fraction: f64,
    /// Fraction of the requests that are COMPARE AND WRITE.
    pub compare_and_write_fraction: f64,
    /// Fraction of the requests that are flushes.
    pub flush_fraction: f64,
    /// Number of blocks of a small request.
    pub small_blocks: u32,
    /// Number of blocks of a large read.
    pub large_blocks: u32,
    /// Fraction of the reads that are large.
    pub large_read_fraction: f64,
    /// Fraction of the requests that the client aborts right after sending.
    pub abort_fraction: f64,
    /// How often the client retries a refused request, each time after the delay that the host stated.
    pub max_retries: u32,
}

/// Counts of a client's requests by outcome.
#[derive(Clone, Debug)]
pub struct FakeClientStats {
    /// Requests sent, including retries after a refusal.
    pub sent: u64,
    /// Requests answered with GOOD.
    pub served: u64,
    /// Requests answered with BUSY or TASK SET FULL.
    pub refused: u64,
    /// Requests answered with CHECK CONDITION, except miscompares.
    pub failed: u64,
    /// COMPARE AND WRITE requests whose comparison failed, which is a valid final answer.
    pub miscompared: u64,
    /// Requests aborted or lost with a connection.
    pub abandoned: u64,
    /// Requests not sent because the command window was closed or the session had ended.
    pub not_sent: u64,
    /// A message for each block read that held neither the last acknowledged write nor a write with an
    /// unknown outcome; 20 at most.
    pub stale: Vec<String>,
    /// Blocks read whose contents were as expected.
    pub verified_blocks: u64,
    /// Latency of served requests, microseconds.
    pub latency_us: Histogram<u64>,
}

impl Default for FakeClientStats {
    fn default() -> Self {
        FakeClientStats {
            sent: 0,
            served: 0,
            refused: 0,
            failed: 0,
            miscompared: 0,
            abandoned: 0,
            not_sent: 0,
            stale: Vec::new(),
            verified_blocks: 0,
            latency_us: Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid bounds"),
        }
    }
}

/// The expected contents of a block.
#[derive(Clone, Debug, Default)]
struct Block {
    /// Stamp of the last acknowledged write.
    acknowledged: u64,
    /// Stamps of writes with an unknown outcome. Each may have been applied, or may still be.
    unknown_outcome: Vec<u64>,
    /// Whether a request to the block is in flight or waits for a retry.
    in_use: bool,
}

/// A request of the client.
#[derive(Clone, Debug)]
struct Request {
    media: MediaCommand,
    stamp: u64,
    began: Instant,
    retries_left: u32,
}

impl CommandToken for Request {}

#[derive(Default)]
struct State {
    blocks: HashMap<u64, Block>,
    stats: FakeClientStats,
    /// Refused requests and when they may be retried.
    retries: Vec<(Instant, Request)>,
}

struct Inner {
    spec: FakeClientSpec,
    recorder: Recorder,
    state: Mutex<State>,
    connection: Mutex<Option<Arc<Connection<Request>>>>,
    stopped: AtomicBool,
    /// Factor on the rate, in thousandths.
    rate_multiplier: AtomicU64,
    /// Stamp of the next request.
    next_stamp: AtomicU64,
}

/// A running client with its own thread.
pub struct FakeClient {
    inner: Arc<Inner>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakeClient {
    /// Starts to generate load.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(spec: FakeClientSpec, recorder: Recorder) -> io::Result<FakeClient> {
        let inner = Arc::new(Inner {
            spec,
            recorder,
            state: Mutex::default(),
            connection: Mutex::new(None),
            stopped: AtomicBool::new(false),
            rate_multiplier: AtomicU64::new(1_000),
            next_stamp: AtomicU64::new(1),
        });
        let running = inner.clone();
        let thread = spawn_small_stack("client", move || running.run())?;
        Ok(FakeClient { inner, thread: Some(thread) })
    }

    /// Multiplies the configured rate by a factor from now on.
    pub fn set_rate_multiplier(&self, factor: f64) {
        self.inner.rate_multiplier.store((factor.max(0.0) * 1_000.0) as u64, Ordering::SeqCst);
    }

    /// Closes the connection, which abandons the requests in flight. The client then logs in again.
    pub fn reconnect(&self) {
        if let Some(c) = &*lock(&self.inner.connection) {
            c.close();
        }
    }

    /// The counts up to now.
    pub fn stats(&self) -> FakeClientStats {
        lock(&self.inner.state).stats.clone()
    }

    /// Stops sending, waits for requests in flight for at most `timeout`, logs out and returns the counts.
    pub fn finish(mut self, timeout: Duration) -> FakeClientStats {
        self.inner.stopped.store(true, Ordering::SeqCst);
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
        let until = Instant::now() + timeout;
        let connection = lock(&self.inner.connection).clone();
        if let Some(c) = connection {
            while c.outstanding() > 0 && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(5));
            }
            c.logout();
            std::thread::sleep(Duration::from_millis(20));
            c.close();
        }
        self.stats()
    }
}

impl Drop for FakeClient {
    /// Stops the load and closes the connection, without a logout and without waiting for the thread.
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        if let Some(c) = &*lock(&self.inner.connection) {
            c.close();
        }
    }
}

impl Inner {
    fn run(self: Arc<Self>) {
        let mut rng = Pcg64Mcg::new(u128::from(self.spec.seed) << 1 | 1);
        let mut next = Instant::now();
        while !self.stopped.load(Ordering::SeqCst) {
            let Some(connection) = self.open_connection() else {
                std::thread::sleep(Duration::from_millis(50));
                next = Instant::now();
                continue;
            };
            let due: Vec<Request> = {
                let mut state = lock(&self.state);
                let now = Instant::now();
                let (due, later) =
                    std::mem::take(&mut state.retries).into_iter().partition(|(at, _)| *at <= now);
                state.retries = later;
                due
            }
            .into_iter()
            .map(|(_, r)| r)
            .collect();
            due.into_iter().for_each(|request| self.send(&connection, request));
            while next <= Instant::now() {
                let rate_multiplier = self.rate_multiplier.load(Ordering::SeqCst) as f64 / 1_000.0;
                let gap = -(1.0 - random_unit(&mut rng)).ln() / (self.spec.rate * rate_multiplier).max(0.001);
                next += Duration::from_secs_f64(gap.min(1.0));
                // A gap of more than a second is cut to one second and drawn again then, so that a change of
                // the rate takes effect within a second. The distribution of the arrivals does not change, as
                // the gaps are memoryless.
                if gap > 1.0 {
                    continue;
                }
                if let Some(request) = self.draw_request(&mut rng) {
                    self.send(&connection, request);
                    if random_unit(&mut rng) < self.spec.abort_fraction {
                        connection.abort(|r: &Request| r.stamp == self.next_stamp.load(Ordering::SeqCst) - 1);
                    }
                }
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(5)));
        }
    }

    fn open_connection(self: &Arc<Self>) -> Option<Arc<Connection<Request>>> {
        let mut current = lock(&self.connection);
        if let Some(c) = current.as_ref().filter(|c| c.is_open()) {
            return Some(c.clone());
        }
        let spec = &self.spec;
        let mut isid = [0x80, 0, 0, 0, 0, 0];
        isid[2..6].copy_from_slice(&(spec.seed as u32).to_be_bytes());
        let config = InitiatorConfig {
            name: format!("iqn.2026-12.org.example:{}", spec.name),
            target: Some(spec.target.clone()),
            isid,
            digests: false,
            extension: false,
        };
        let tap = self.recorder.tap(Endpoint::Client { host: spec.host.0 }, |_, _, _| {});
        let handler = self.clone();
        let events = move |event| handler.on_event(event);
        let opened = Connection::open(
            spec.host.1,
            config,
            Duration::from_secs(2),
            StreamTap(tap.map(|t| (t, 0))),
            events,
        );
        *current =
            opened.inspect_err(|e| tracing::debug!(client = spec.name, error = %e, "login failed")).ok();
        current.clone()
    }

    fn draw_request(&self, rng: &mut Pcg64Mcg) -> Option<Request> {
        let spec = &self.spec;
        let choice = random_unit(rng);
        let (op, blocks) = if choice < spec.write_fraction {
            (MediaOp::Write, spec.small_blocks)
        } else if choice < spec.write_fraction + spec.compare_and_write_fraction {
            (MediaOp::CompareAndWrite, 1)
        } else if choice < spec.write_fraction + spec.compare_and_write_fraction + spec.flush_fraction {
            (MediaOp::Flush, spec.small_blocks)
        } else if random_unit(rng) < spec.large_read_fraction {
            (MediaOp::Read, spec.large_blocks)
        } else {
            (MediaOp::Read, spec.small_blocks)
        };
        let blocks = blocks.min(spec.region.1 as u32);
        // Three of four requests go to a hot eighth of the region, which begins at a different offset for
        // each client. If it were the first eighth everywhere, the hot parts of regions with a round size
        // would all fall on one node and overload it in a scenario without faults.
        let span = spec.region.1 - u64::from(blocks) + 1;
        let hot = (span / 8).max(1);
        let offset = spec.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let (from, span) = if random_unit(rng) < 0.75 { (offset % (span - hot + 1), hot) } else { (0, span) };
        let lba = spec.region.0 + from + (random_unit(rng) * span as f64) as u64;
        let mut state = lock(&self.state);
        // One request at a time per block, so that its expected contents are known.
        if (lba..lba + u64::from(blocks)).any(|b| state.blocks.get(&b).is_some_and(|b| b.in_use)) {
            return None;
        }
        (lba..lba + u64::from(blocks)).for_each(|b| state.blocks.entry(b).or_default().in_use = true);
        let stamp = self.next_stamp.fetch_add(1, Ordering::SeqCst);
        let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
        Some(Request { media, stamp, began: Instant::now(), retries_left: spec.max_retries })
    }

    fn block_with_stamp(&self, lba: u64, stamp: u64) -> Vec<u8> {
        let mut block = vec![0; self.spec.block_bytes as usize];
        if stamp > 0 {
            block[..8].copy_from_slice(&stamp.to_be_bytes());
            block[8..16].copy_from_slice(&lba.to_be_bytes());
            block[16..24].copy_from_slice(&self.spec.seed.to_be_bytes());
        }
        block
    }

    fn send(&self, connection: &Connection<Request>, request: Request) {
        let m = request.media;
        let data: Payload = match m.op {
            MediaOp::Write => {
                let lbas = m.lba..m.lba + u64::from(m.blocks);
                lbas.flat_map(|b| self.block_with_stamp(b, request.stamp)).collect::<Vec<u8>>().into()
            }
            MediaOp::CompareAndWrite => {
                let expected = lock(&self.state).blocks.get(&m.lba).map_or(0, |b| b.acknowledged);
                [self.block_with_stamp(m.lba, expected), self.block_with_stamp(m.lba, request.stamp)]
                    .concat()
                    .into()
            }
            _ => Payload::new(),
        };
        let command = Command {
            lun: encode_lun(self.spec.lun),
            cdb: m.to_cdb(),
            read_len: m.data_in_length(self.spec.block_bytes) as u32,
            data,
            metadata: None,
        };
        lock(&self.state).stats.sent += 1;
        if let Err(request) = connection.submit(request, command) {
            lock(&self.state).not_sent(&request);
        }
    }

    fn on_event(&self, event: ConnectionEvent<Request>) {
        match event {
            ConnectionEvent::Completed(request, done) => self.on_completion(request, &done),
            ConnectionEvent::Aborted(request) => lock(&self.state).abandon(&request),
            ConnectionEvent::Unsent(request) => lock(&self.state).not_sent(&request),
            ConnectionEvent::LogoutRequested => {}
            ConnectionEvent::Closed(_, sent, unsent) => {
                let mut state = lock(&self.state);
                sent.iter().for_each(|r| state.abandon(r));
                unsent.iter().for_each(|r| state.not_sent(r));
            }
        }
    }

    fn on_completion(&self, mut request: Request, done: &CommandCompletion) {
        let mut state = lock(&self.state);
        match done.status {
            status::GOOD => {
                state.stats.served += 1;
                let us = request.began.elapsed().as_micros() as u64;
                state.stats.latency_us.saturating_record(us.max(1));
                match request.media.op {
                    MediaOp::Write | MediaOp::CompareAndWrite => state.acknowledge(&request),
                    MediaOp::Read => self.verify(&mut state, &request, &done.data.to_bytes()),
                    _ => {}
                }
                state.release(&request.media);
            }
            status::BUSY | status::TASK_SET_FULL => {
                state.stats.refused += 1;
                if request.retries_left > 0 && !self.stopped.load(Ordering::SeqCst) {
                    request.retries_left -= 1;
                    let delay = Duration::from_millis(100 * u64::from(done.qualifier.max(1)));
                    state.retries.push((Instant::now() + delay, request));
                } else {
                    state.release(&request.media);
                }
            }
            _ if request.media.op == MediaOp::CompareAndWrite
                && pearfork_scsi::Sense::key_and_code(&done.sense).is_some_and(|(k, _)| k == 0x0e) =>
            {
                state.stats.miscompared += 1;
                state.release(&request.media);
            }
            _ => {
                state.stats.failed += 1;
                state.mark_outcome_unknown(&request);
                state.release(&request.media);
            }
        }
    }

    /// Verifies that each block holds the last acknowledged stamp or one with an unknown outcome.
    fn verify(&self, state: &mut State, request: &Request, data: &[u8]) {
        for (i, got) in data.chunks_exact(self.spec.block_bytes as usize).enumerate() {
            let lba = request.media.lba + i as u64;
            let known = state.blocks.get(&lba).cloned().unwrap_or_default();
            let stamp = got.iter().take(8).fold(0u64, |n, b| n << 8 | u64::from(*b));
            let is_expected = stamp == known.acknowledged || known.unknown_outcome.contains(&stamp);
            if is_expected && got == self.block_with_stamp(lba, stamp) {
                state.stats.verified_blocks += 1;
            } else if state.stats.stale.len() < 20 {
                let message =
                    format!("block {lba} holds stamp {stamp}, last acknowledged {}", known.acknowledged);
                state.stats.stale.push(message);
            }
        }
    }
}

impl State {
    fn release(&mut self, media: &MediaCommand) {
        for b in media.lba..media.lba + u64::from(media.blocks) {
            self.blocks.entry(b).or_default().in_use = false;
        }
    }

    /// Counts a request that was not sent after all.
    fn not_sent(&mut self, request: &Request) {
        self.stats.sent -= 1;
        self.stats.not_sent += 1;
        self.release(&request.media);
    }

    fn acknowledge(&mut self, request: &Request) {
        for b in request.media.lba..request.media.lba + u64::from(request.media.blocks) {
            self.blocks.entry(b).or_default().acknowledged = request.stamp;
        }
    }

    fn mark_outcome_unknown(&mut self, request: &Request) {
        if request.media.is_write() {
            for b in request.media.lba..request.media.lba + u64::from(request.media.blocks) {
                self.blocks.entry(b).or_default().unknown_outcome.push(request.stamp);
            }
        }
    }

    fn abandon(&mut self, request: &Request) {
        self.stats.abandoned += 1;
        self.mark_outcome_unknown(request);
        self.release(&request.media);
    }
}

/// Returns a uniform random number in [0, 1).
fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
