//! A stand-in client: an iSCSI initiator that offers load, honours a busy target, and proves what it reads.

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

/// What a client does.
#[derive(Clone, Debug)]
pub struct FakeClientSpec {
    /// Its name, and the seed of its draws.
    pub name: String,
    /// Seed.
    pub seed: u64,
    /// The host and its address.
    pub host: (u16, SocketAddr),
    /// Where its volume is found.
    pub target: String,
    /// Unit number there.
    pub lun: u16,
    /// Bytes in a block.
    pub block_bytes: u32,
    /// The blocks that are this client's alone: first, count.
    pub region: (u64, u64),
    /// Requests a second, drawn like a Poisson stream.
    pub rate: f64,
    /// Part of them that writes.
    pub write_fraction: f64,
    /// Part that compares and writes.
    pub compare_and_write_fraction: f64,
    /// Part that flushes.
    pub flush_fraction: f64,
    /// Blocks of a small request, and of a large read.
    pub small_blocks: u32,
    /// Blocks of a large read.
    pub large_blocks: u32,
    /// Part of the reads that is large.
    pub large_read_fraction: f64,
    /// Part of the requests that it aborts soon after sending.
    pub abort_fraction: f64,
    /// How often a refused request comes again after the stated wait.
    pub max_retries: u32,
}

/// What became of its requests.
#[derive(Clone, Debug)]
pub struct FakeClientStats {
    /// Sent, tries after a refusal included.
    pub sent: u64,
    /// Answered with GOOD.
    pub served: u64,
    /// Answered with BUSY or TASK SET FULL.
    pub refused: u64,
    /// Answered with CHECK CONDITION.
    pub failed: u64,
    /// Comparisons that did not hold, which is an answer too.
    pub miscompared: u64,
    /// Aborted or lost with a connection.
    pub abandoned: u64,
    /// Not sent, because the session's window was closed or the session gone.
    pub not_sent: u64,
    /// Blocks read that were neither the last one acknowledged nor one whose fate was unknown, in words.
    pub stale: Vec<String>,
    /// Blocks proved.
    pub verified_blocks: u64,
    /// Times of served requests, microseconds.
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

/// What a client knows of a block of its own.
#[derive(Clone, Debug, Default)]
struct Block {
    /// The stamp last acknowledged.
    acknowledged: u64,
    /// Stamps of writes whose fate is unknown: each may show, early or late.
    unknown: Vec<u64>,
    busy: bool,
}

#[derive(Clone, Debug)]
struct Ask {
    media: MediaCommand,
    stamp: u64,
    began: Instant,
    tries_left: u32,
}

impl CommandToken for Ask {}

#[derive(Default)]
struct State {
    blocks: HashMap<u64, Block>,
    stats: FakeClientStats,
    /// Refused requests and when they may come again.
    again: Vec<(Instant, Ask)>,
}

struct Inner {
    spec: FakeClientSpec,
    recorder: Recorder,
    state: Mutex<State>,
    connection: Mutex<Option<Arc<Connection<Ask>>>>,
    stopped: AtomicBool,
    /// Factor on the rate, thousandths.
    surge: AtomicU64,
    stamp: AtomicU64,
}

/// A running client.
pub struct FakeClient {
    inner: Arc<Inner>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakeClient {
    /// Begins to offer load.
    ///
    /// # Errors
    /// No thread could be had.
    pub fn start(spec: FakeClientSpec, recorder: Recorder) -> io::Result<FakeClient> {
        let inner = Arc::new(Inner {
            spec,
            recorder,
            state: Mutex::default(),
            connection: Mutex::new(None),
            stopped: AtomicBool::new(false),
            surge: AtomicU64::new(1_000),
            stamp: AtomicU64::new(1),
        });
        let running = inner.clone();
        let thread = spawn_small_stack("client", move || running.run())?;
        Ok(FakeClient { inner, thread: Some(thread) })
    }

    /// Offers so many times its rate from now on.
    pub fn set_rate_multiplier(&self, times: f64) {
        self.inner.surge.store((times.max(0.0) * 1_000.0) as u64, Ordering::SeqCst);
    }

    /// Drops its connection with whatever is under way, and logs in again.
    pub fn reconnect(&self) {
        if let Some(c) = &*lock(&self.inner.connection) {
            c.close();
        }
    }

    /// So far.
    pub fn stats(&self) -> FakeClientStats {
        lock(&self.inner.state).stats.clone()
    }

    /// Sends nothing more, waits for what is out, `within` at the most, and logs out.
    pub fn finish(mut self, within: Duration) -> FakeClientStats {
        self.inner.stopped.store(true, Ordering::SeqCst);
        if let Some(t) = self.thread.take() {
            let _ = t.join();
        }
        let until = Instant::now() + within;
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
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        if let Some(c) = &*lock(&self.inner.connection) {
            c.close();
        }
    }
}

impl Inner {
    fn run(self: Arc<Self>) {
        let mut draws = Pcg64Mcg::new(u128::from(self.spec.seed) << 1 | 1);
        let mut next = Instant::now();
        while !self.stopped.load(Ordering::SeqCst) {
            let Some(connection) = self.connected() else {
                std::thread::sleep(Duration::from_millis(50));
                next = Instant::now();
                continue;
            };
            let due: Vec<Ask> = {
                let mut state = lock(&self.state);
                let now = Instant::now();
                let (due, later) =
                    std::mem::take(&mut state.again).into_iter().partition(|(at, _)| *at <= now);
                state.again = later;
                due
            }
            .into_iter()
            .map(|(_, a)| a)
            .collect();
            due.into_iter().for_each(|ask| self.send(&connection, ask));
            while next <= Instant::now() {
                let surge = self.surge.load(Ordering::SeqCst) as f64 / 1_000.0;
                let gap = -(1.0 - draw(&mut draws)).ln() / (self.spec.rate * surge).max(0.001);
                next += Duration::from_secs_f64(gap.min(1.0));
                // A surge is seen within a second: a longer gap is drawn anew then, which changes nothing in its length.
                if gap > 1.0 {
                    continue;
                }
                if let Some(ask) = self.draw_ask(&mut draws) {
                    self.send(&connection, ask);
                    if draw(&mut draws) < self.spec.abort_fraction {
                        connection.abort(|a: &Ask| a.stamp == self.stamp.load(Ordering::SeqCst) - 1);
                    }
                }
            }
            std::thread::sleep(next.saturating_duration_since(Instant::now()).min(Duration::from_millis(5)));
        }
    }

    fn connected(self: &Arc<Self>) -> Option<Arc<Connection<Ask>>> {
        let mut held = lock(&self.connection);
        if let Some(c) = held.as_ref().filter(|c| c.is_open()) {
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
        let own = self.clone();
        let events = move |event| own.on_event(event);
        let opened = Connection::open(
            spec.host.1,
            config,
            Duration::from_secs(2),
            StreamTap(tap.map(|t| (t, 0))),
            events,
        );
        *held = opened.inspect_err(|e| tracing::debug!(client = spec.name, error = %e, "no login")).ok();
        held.clone()
    }

    fn draw_ask(&self, draws: &mut Pcg64Mcg) -> Option<Ask> {
        let spec = &self.spec;
        let kind = draw(draws);
        let (op, blocks) = if kind < spec.write_fraction {
            (MediaOp::Write, spec.small_blocks)
        } else if kind < spec.write_fraction + spec.compare_and_write_fraction {
            (MediaOp::CompareAndWrite, 1)
        } else if kind < spec.write_fraction + spec.compare_and_write_fraction + spec.flush_fraction {
            (MediaOp::Flush, spec.small_blocks)
        } else if draw(draws) < spec.large_read_fraction {
            (MediaOp::Read, spec.large_blocks)
        } else {
            (MediaOp::Read, spec.small_blocks)
        };
        let blocks = blocks.min(spec.region.1 as u32);
        // Three of four requests go to an eighth of the region, each client's at a place of its own. Danger: were it the first
        // eighth of all, regions of a round size would heat one node alone, and a calm day would be a burning one there.
        let span = spec.region.1 - u64::from(blocks) + 1;
        let hot = (span / 8).max(1);
        let place = spec.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40;
        let (from, span) = if draw(draws) < 0.75 { (place % (span - hot + 1), hot) } else { (0, span) };
        let lba = spec.region.0 + from + (draw(draws) * span as f64) as u64;
        let mut state = lock(&self.state);
        // One request at a time on a block: otherwise nobody could say what it should hold.
        if (lba..lba + u64::from(blocks)).any(|b| state.blocks.get(&b).is_some_and(|b| b.busy)) {
            return None;
        }
        (lba..lba + u64::from(blocks)).for_each(|b| state.blocks.entry(b).or_default().busy = true);
        let stamp = self.stamp.fetch_add(1, Ordering::SeqCst);
        let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
        Some(Ask { media, stamp, began: Instant::now(), tries_left: spec.max_retries })
    }

    fn stamped(&self, lba: u64, stamp: u64) -> Vec<u8> {
        let mut block = vec![0; self.spec.block_bytes as usize];
        if stamp > 0 {
            block[..8].copy_from_slice(&stamp.to_be_bytes());
            block[8..16].copy_from_slice(&lba.to_be_bytes());
            block[16..24].copy_from_slice(&self.spec.seed.to_be_bytes());
        }
        block
    }

    fn send(&self, connection: &Connection<Ask>, ask: Ask) {
        let m = ask.media;
        let data: Payload = match m.op {
            MediaOp::Write => {
                let all = m.lba..m.lba + u64::from(m.blocks);
                all.flat_map(|b| self.stamped(b, ask.stamp)).collect::<Vec<u8>>().into()
            }
            MediaOp::CompareAndWrite => {
                let now = lock(&self.state).blocks.get(&m.lba).map_or(0, |b| b.acknowledged);
                [self.stamped(m.lba, now), self.stamped(m.lba, ask.stamp)].concat().into()
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
        if let Err(ask) = connection.submit(ask, command) {
            let mut state = lock(&self.state);
            state.stats.sent -= 1;
            state.stats.not_sent += 1;
            state.release(&ask.media);
        }
    }

    fn on_event(&self, event: ConnectionEvent<Ask>) {
        match event {
            ConnectionEvent::Completed(ask, done) => self.done(ask, &done),
            ConnectionEvent::Aborted(ask) => lock(&self.state).lost(&ask),
            ConnectionEvent::LogoutRequested => {}
            ConnectionEvent::Closed(_, sent, unsent) => {
                let mut state = lock(&self.state);
                sent.iter().for_each(|a| state.lost(a));
                state.stats.not_sent += unsent.len() as u64;
                state.stats.sent -= unsent.len() as u64;
                unsent.iter().for_each(|a| state.release(&a.media));
            }
        }
    }

    fn done(&self, mut ask: Ask, done: &CommandCompletion) {
        let mut state = lock(&self.state);
        match done.status {
            status::GOOD => {
                state.stats.served += 1;
                let us = ask.began.elapsed().as_micros() as u64;
                state.stats.latency_us.saturating_record(us.max(1));
                match ask.media.op {
                    MediaOp::Write | MediaOp::CompareAndWrite => state.written(&ask),
                    MediaOp::Read => self.prove(&mut state, &ask, &done.data.to_bytes()),
                    _ => {}
                }
                state.release(&ask.media);
            }
            status::BUSY | status::TASK_SET_FULL => {
                state.stats.refused += 1;
                if ask.tries_left > 0 && !self.stopped.load(Ordering::SeqCst) {
                    ask.tries_left -= 1;
                    let wait = Duration::from_millis(100 * u64::from(done.qualifier.max(1)));
                    state.again.push((Instant::now() + wait, ask));
                } else {
                    state.release(&ask.media);
                }
            }
            _ if ask.media.op == MediaOp::CompareAndWrite
                && pearfork_scsi::Sense::key_and_code(&done.sense).is_some_and(|(k, _)| k == 0x0e) =>
            {
                state.stats.miscompared += 1;
                state.release(&ask.media);
            }
            _ => {
                state.stats.failed += 1;
                state.unsure(&ask);
                state.release(&ask.media);
            }
        }
    }

    /// Each block must hold the stamp last acknowledged, or one whose fate was never told.
    fn prove(&self, state: &mut State, ask: &Ask, data: &[u8]) {
        for (i, got) in data.chunks_exact(self.spec.block_bytes as usize).enumerate() {
            let lba = ask.media.lba + i as u64;
            let known = state.blocks.get(&lba).cloned().unwrap_or_default();
            let stamp = got.iter().take(8).fold(0u64, |n, b| n << 8 | u64::from(*b));
            let right = stamp == known.acknowledged || known.unknown.contains(&stamp);
            if right && got == self.stamped(lba, stamp) {
                state.stats.verified_blocks += 1;
            } else if state.stats.stale.len() < 20 {
                let words =
                    format!("block {lba} holds stamp {stamp}, last acknowledged {}", known.acknowledged);
                state.stats.stale.push(words);
            }
        }
    }
}

impl State {
    fn release(&mut self, media: &MediaCommand) {
        for b in media.lba..media.lba + u64::from(media.blocks) {
            self.blocks.entry(b).or_default().busy = false;
        }
    }

    fn written(&mut self, ask: &Ask) {
        for b in ask.media.lba..ask.media.lba + u64::from(ask.media.blocks) {
            self.blocks.entry(b).or_default().acknowledged = ask.stamp;
        }
    }

    fn unsure(&mut self, ask: &Ask) {
        if ask.media.is_write() {
            for b in ask.media.lba..ask.media.lba + u64::from(ask.media.blocks) {
                self.blocks.entry(b).or_default().unknown.push(ask.stamp);
            }
        }
    }

    fn lost(&mut self, ask: &Ask) {
        self.stats.abandoned += 1;
        self.unsure(ask);
        self.release(&ask.media);
    }
}

/// A number in [0, 1).
fn draw(draws: &mut Pcg64Mcg) -> f64 {
    (draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
