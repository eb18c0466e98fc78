//! A stand-in directory: the node list over HTTP, by revision, seconds late if told so.

use crate::recorder::Recorder;
use pearfork_net::http::{query_parameter, Response, Server};
use pearfork_rulecheck::TraceEventKind;
use serde_json::json;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Line {
    node: u32,
    shard: u16,
    zone: u16,
    state: &'static str,
    started_ms: f64,
    address: SocketAddr,
    visible: Instant,
}

#[derive(Default)]
struct Inner {
    /// Line n was written with revision n + 1.
    lines: Mutex<Vec<Line>>,
    down: AtomicBool,
}

/// The directory.
pub struct FakeDirectory {
    inner: Arc<Inner>,
    server: Server,
}

impl FakeDirectory {
    /// Begins to answer at an address of loopback.
    ///
    /// # Errors
    /// The address or a thread could not be had.
    pub fn start(address: SocketAddr, recorder: Recorder) -> io::Result<FakeDirectory> {
        let inner = Arc::new(Inner::default());
        let answering = inner.clone();
        let server =
            Server::start(TcpListener::bind(address)?, move |path| answering.answer(path, &recorder))?;
        Ok(FakeDirectory { inner, server })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a line; hosts learn of it `late` from now, and in the order of the lines.
    pub fn set(
        &self,
        node: (u32, u16, u16),
        state: &'static str,
        started_ms: f64,
        address: SocketAddr,
        late: Duration,
    ) {
        let (node, shard, zone) = node;
        let mut lines = self.inner.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let visible = Instant::now() + late;
        let visible = lines.last().map_or(visible, |l| l.visible.max(visible));
        lines.push(Line { node, shard, zone, state, started_ms, address, visible });
    }

    /// Answers nothing but errors, or does again.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::SeqCst);
    }
}

impl Inner {
    fn visible(&self) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        lines.iter().take_while(|l| l.visible <= now).cloned().collect()
    }

    fn answer(&self, path: &str, recorder: &Recorder) -> Response {
        if self.down.load(Ordering::SeqCst) {
            return Response::error(503, "down by script");
        }
        if !path.starts_with("/nodes") {
            return Response::error(404, "there is /nodes");
        }
        let number = |key| query_parameter(path, key).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(10_000));
        let mut lines = self.visible();
        while lines.len() == after && after > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            if self.down.load(Ordering::SeqCst) {
                return Response::error(503, "down by script");
            }
            lines = self.visible();
        }
        let full = after == 0 || after > lines.len();
        let changed = if full { &lines[..] } else { &lines[after..] };
        // Of several lines of a node the last one counts.
        let last = |i: usize, l: &Line| changed[i + 1..].iter().all(|m| m.node != l.node);
        let told: Vec<&Line> =
            changed.iter().enumerate().filter(|(i, l)| last(*i, l)).map(|(_, l)| l).collect();
        let nodes: Vec<_> = told
            .iter()
            .filter(|l| !full || l.state != "gone")
            .map(|l| {
                json!({"node": l.node, "shard": l.shard, "zone": l.zone, "state": l.state,
                       "started_ms": l.started_ms, "address": l.address.to_string()})
            })
            .collect();
        if let Some(host) = number("host") {
            for l in &told {
                let (ready, started_ms) = (l.state == "ready", l.started_ms);
                recorder.record(TraceEventKind::NodeListed {
                    host: host as u16,
                    node: l.node,
                    ready,
                    started_ms,
                });
            }
        }
        let body = json!({"revision": lines.len(), "full": full, "nodes": nodes});
        Response::ok("application/json", body.to_string())
    }
}
