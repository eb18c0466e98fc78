//! A fake directory that serves the node list over HTTP, by revision and with a configurable delay.

use crate::recorder::Recorder;
use pearfork_net::http::{query_parameter, Response, Server};
use pearfork_rulecheck::TraceEventKind;
use serde_json::json;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One change of the node list.
#[derive(Clone, Debug)]
struct Change {
    node: u32,
    shard: u16,
    zone: u16,
    state: &'static str,
    started_ms: f64,
    address: SocketAddr,
    /// When hosts may see the change.
    visible_at: Instant,
}

#[derive(Default)]
struct Inner {
    /// The change at index n has revision n + 1.
    changes: Mutex<Vec<Change>>,
    down: AtomicBool,
}

/// A directory of storage nodes. Hosts poll it for changes of the node list.
pub struct FakeDirectory {
    inner: Arc<Inner>,
    server: Server,
}

impl FakeDirectory {
    /// Starts an HTTP server at a loopback address.
    ///
    /// # Errors
    /// The address is not available or a thread could not be started.
    pub fn start(address: SocketAddr, recorder: Recorder) -> io::Result<FakeDirectory> {
        let inner = Arc::new(Inner::default());
        let serving = inner.clone();
        let server =
            Server::start(TcpListener::bind(address)?, move |path| serving.respond(path, &recorder))?;
        Ok(FakeDirectory { inner, server })
    }

    /// The address of the HTTP server.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a change of a node (id, shard, zone) to the list. Hosts see it after `delay`, and never before an
    /// earlier change.
    pub fn set(
        &self,
        node: (u32, u16, u16),
        state: &'static str,
        started_ms: f64,
        address: SocketAddr,
        delay: Duration,
    ) {
        let (node, shard, zone) = node;
        let mut changes = self.inner.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let visible_at = Instant::now() + delay;
        let visible_at = changes.last().map_or(visible_at, |c| c.visible_at.max(visible_at));
        changes.push(Change { node, shard, zone, state, started_ms, address, visible_at });
    }

    /// Sets whether the directory answers every request with an error.
    pub fn set_down(&self, down: bool) {
        self.inner.down.store(down, Ordering::SeqCst);
    }
}

impl Inner {
    fn visible_changes(&self) -> Vec<Change> {
        let changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        changes.iter().take_while(|c| c.visible_at <= now).cloned().collect()
    }

    fn respond(&self, path: &str, recorder: &Recorder) -> Response {
        if self.down.load(Ordering::SeqCst) {
            return Response::error(503, "directory is down by the scenario");
        }
        if !path.starts_with("/nodes") {
            return Response::error(404, "not found: the directory serves /nodes only");
        }
        let number = |key| query_parameter(path, key).and_then(|v| v.parse::<u64>().ok());
        let after = number("after").unwrap_or(0) as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(10_000));
        let mut changes = self.visible_changes();
        while changes.len() == after && after > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            if self.down.load(Ordering::SeqCst) {
                return Response::error(503, "directory is down by the scenario");
            }
            changes = self.visible_changes();
        }
        let full = after == 0 || after > changes.len();
        let changed = if full { &changes[..] } else { &changes[after..] };
        // Of several changes of one node the last one counts.
        let is_last = |i: usize, c: &Change| changed[i + 1..].iter().all(|m| m.node != c.node);
        let listed: Vec<&Change> =
            changed.iter().enumerate().filter(|(i, c)| is_last(*i, c)).map(|(_, c)| c).collect();
        let nodes: Vec<_> = listed
            .iter()
            .filter(|c| !full || c.state != "gone")
            .map(|c| {
                json!({"node": c.node, "shard": c.shard, "zone": c.zone, "state": c.state,
                       "started_ms": c.started_ms, "address": c.address.to_string()})
            })
            .collect();
        if let Some(host) = number("host") {
            for c in &listed {
                let (ready, started_ms) = (c.state == "ready", c.started_ms);
                recorder.record(TraceEventKind::NodeListed {
                    host: host as u16,
                    node: c.node,
                    ready,
                    started_ms,
                });
            }
        }
        let body = json!({"revision": changes.len(), "full": full, "nodes": nodes});
        Response::ok("application/json", body.to_string())
    }
}
