//! Follows discovery by long-polling calls.

use crate::engine::Message;
use crossbeam_channel::Sender;
use pearfork_net::http::{self, RequestLimits};
use pearfork_net::lock;
use pearfork_platform::node_list;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest and shortest wait that a call asks discovery for.
const WAIT_BOUNDS: (Duration, Duration) = (Duration::from_millis(1_000), Duration::from_millis(100));
/// Extra time a call may take beyond its wait, as a fraction of the wait.
const TIMEOUT_MARGIN: f64 = 0.5;
/// Pause after a failed call. The discovery agent runs on the same machine, so calls are cheap; a watch is
/// only continued if the next call arrives within 200 ms of the last response.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Minimum time between the starts of two calls. Without it, an agent that returns every call at once, with
/// nothing new or with the full list again, would be called in a tight loop.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(25);

/// How long calls wait and may take.
///
/// A change counts as known to a host 6 s after discovery had it and was reachable, whatever failed before. A
/// slow agent is only heard by a call that is long enough, and an agent that was silent is only heard once
/// the call in progress has ended. The calls after a failed one may therefore take 200, 400, 800 and then,
/// like all others, 1,500 ms, after which the sequence starts again at 200. An agent that returns just after
/// the longest call began is called again within 1.6 s, and a response that takes up to 1.5 s arrives within
/// 4.8 s: 1.2 s before the change counts. The grace period in the settings can shorten these times but never
/// extend them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTiming {
    /// How long a call asks discovery to wait for a change.
    wait: Duration,
    /// Same for a call after a failed one: an agent that is back may have changes that already count.
    retry_wait: Duration,
}

impl CallTiming {
    /// Derives the waits from the grace period of the rules: a call waits for half of it, within
    /// `WAIT_BOUNDS`.
    ///
    /// An agent that was silent and returns counts as having notified every host of its changes at that
    /// moment. A call that began earlier must end, and the next one must be answered, within the grace period
    /// of the rules.
    pub(crate) fn for_grace(grace: Duration) -> CallTiming {
        let wait = (grace / 2).clamp(WAIT_BOUNDS.1, WAIT_BOUNDS.0);
        CallTiming { wait, retry_wait: WAIT_BOUNDS.1 }
    }

    /// Time limit of a call that asks for this wait.
    fn timeout(wait: Duration) -> Duration {
        wait + wait.mul_f64(TIMEOUT_MARGIN).max(WAIT_BOUNDS.1)
    }

    /// Time limit of the next call after a failed one. `last` is the limit of the failed call if that
    /// followed a failed call itself.
    fn next_retry_timeout(self, last: Option<Duration>) -> Duration {
        let longest = CallTiming::timeout(self.wait);
        match last {
            Some(last) if last < longest => longest.min(last * 2),
            _ => CallTiming::timeout(self.retry_wait),
        }
    }
}

/// The discovery address that is followed, and the call in progress.
pub(crate) struct DiscoveryTarget {
    current: Mutex<Target>,
}

struct Target {
    address: SocketAddr,
    call: Option<TcpStream>,
}

impl DiscoveryTarget {
    pub(crate) fn new(address: SocketAddr) -> DiscoveryTarget {
        DiscoveryTarget { current: Mutex::new(Target { address, call: None }) }
    }

    /// Changes the address. A call in progress at the old address is ended.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        let mut current = lock(&self.current);
        if std::mem::replace(&mut current.address, address) == address {
            return;
        }
        if let Some(call) = current.call.take() {
            let _ = call.shutdown(Shutdown::Both);
        }
    }

    fn address(&self) -> SocketAddr {
        lock(&self.current).address
    }

    /// Records a call in progress. Returns `false` if the address has changed.
    fn call_started(&self, address: SocketAddr, call: &TcpStream) -> bool {
        let mut current = lock(&self.current);
        current.call = call.try_clone().ok();
        current.address == address
    }

    /// Records the end of a call. Returns `false` if the address has changed, in which case the response must
    /// be ignored.
    fn call_ended(&self, address: SocketAddr) -> bool {
        let mut current = lock(&self.current);
        current.call = None;
        current.address == address
    }
}

pub(crate) struct DiscoveryWatcher {
    target: Arc<DiscoveryTarget>,
    engine: Sender<Message>,
    timing: CallTiming,
    /// Maximum size of a response in bytes.
    max_list_bytes: usize,
    /// Agent and version of the last list received.
    last_list: Option<(SocketAddr, u64)>,
    /// Time limit of the next call if the last one failed.
    retry_timeout: Option<Duration>,
}

impl DiscoveryWatcher {
    pub(crate) fn new(
        target: Arc<DiscoveryTarget>,
        engine: Sender<Message>,
        timing: CallTiming,
        max_list_bytes: usize,
    ) -> DiscoveryWatcher {
        DiscoveryWatcher { target, engine, timing, max_list_bytes, last_list: None, retry_timeout: None }
    }

    /// Runs until the engine is gone.
    pub(crate) fn run(mut self) {
        while self.call_once() {}
    }

    /// Makes one call. Returns `false` if the engine is gone.
    fn call_once(&mut self) -> bool {
        let began = Instant::now();
        let address = self.target.address();
        // Each agent has its own version numbers. A version of another agent could be newer than anything
        // this one has, so that it would never report a change.
        let since = self.last_list.filter(|(agent, _)| *agent == address).map(|(_, version)| version);
        let result = self.call(address, since);
        if !self.target.call_ended(address) {
            return true;
        }
        match result {
            Ok(list) => {
                self.retry_timeout = None;
                self.last_list = Some((address, list.version));
                // Sent even without changes: the time since the last response limits the start time that a
                // new node may report.
                let engine_alive = self.engine.send(Message::NodeList(list)).is_ok();
                std::thread::sleep(MIN_CALL_INTERVAL.saturating_sub(began.elapsed()));
                engine_alive
            }
            Err(why) => {
                if self.retry_timeout.is_none() {
                    tracing::warn!(why, "discovery failed; going on with the list as it is");
                }
                self.retry_timeout = Some(self.timing.next_retry_timeout(self.retry_timeout));
                std::thread::sleep(RETRY_PAUSE);
                true
            }
        }
    }

    fn call(&mut self, address: SocketAddr, since: Option<u64>) -> Result<node_list::NodeList, String> {
        let wait = if self.retry_timeout.is_some() { self.timing.retry_wait } else { self.timing.wait };
        let timeout = self.retry_timeout.unwrap_or(CallTiming::timeout(wait));
        let path = match since {
            None => "/discovery/hosts".to_owned(),
            Some(version) => format!("/discovery/hosts?since={version}&timeout_ms={}", wait.as_millis()),
        };
        let on_connect = |stream: &TcpStream| self.target.call_started(address, stream);
        let limits = RequestLimits { timeout, max_body_bytes: self.max_list_bytes };
        let (status, body) =
            http::get_cancellable(address, &path, limits, on_connect).map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("{address}: status {status}"));
        }
        let list = node_list::parse(&body).map_err(|e| format!("{address}: {e}"))?;
        match since {
            None if !list.is_full => {
                Err(format!("{address}: response holds changes only, but the full list was requested"))
            }
            // An agent whose version went back has restarted. Its full list is valid, but changes relative to
            // an unknown list are not.
            Some(version) if list.version < version && !list.is_full => {
                self.last_list = None;
                Err(format!(
                    "{address}: response has version {}, older than the known version {version}",
                    list.version
                ))
            }
            _ => Ok(list),
        }
    }
}
