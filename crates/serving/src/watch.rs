//! Follows discovery by calls that wait for changes.

use crate::engine::Message;
use crossbeam_channel::Sender;
use pearfork_net::{http, lock};
use pearfork_platform::nodes;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a call may wait at discovery. Short: an agent that went silent, or an address that was replaced, is
/// left within this and the margin, and the platform counts what it has as told 2 s after a call's wait.
const WAIT: Duration = Duration::from_millis(1_000);
/// How much longer than its wait a call may take.
const MARGIN: Duration = Duration::from_millis(500);
/// Pause after a call that failed. The agent is on this machine, and costs nothing.
const PAUSE: Duration = Duration::from_millis(100);

pub(crate) struct Watcher {
    /// Where discovery answers; replaced while it runs.
    pub(crate) address: Arc<Mutex<SocketAddr>>,
    pub(crate) engine: Sender<Message>,
}

impl Watcher {
    /// Runs until nobody listens any more.
    pub(crate) fn run(self) {
        let mut seq = None;
        let mut failing = false;
        loop {
            let address = *lock(&self.address);
            match call(address, seq) {
                Ok(list) => {
                    failing = false;
                    seq = Some(list.seq);
                    let news = list.whole || !list.lines.is_empty();
                    if news && self.engine.send(Message::List(list)).is_err() {
                        return;
                    }
                }
                Err(why) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(why, "discovery cannot be had; going on with the list as it is");
                    }
                    std::thread::sleep(PAUSE);
                }
            }
        }
    }
}

fn call(address: SocketAddr, seq: Option<u64>) -> Result<nodes::Listing, String> {
    let path = match seq {
        None => "/discovery/hosts".to_owned(),
        Some(seq) => format!("/discovery/hosts?since={seq}&timeout_ms={}", WAIT.as_millis()),
    };
    let within = if seq.is_some() { WAIT + MARGIN } else { MARGIN };
    let (status, body) = http::get(address, &path, within).map_err(|e| e.to_string())?;
    if status != 200 {
        return Err(format!("{address}: status {status}"));
    }
    nodes::parse(&body).map_err(|e| format!("{address}: {e}"))
}
