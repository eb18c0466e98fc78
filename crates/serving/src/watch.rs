//! Follows discovery by calls that wait for changes.

use crate::engine::Message;
use crossbeam_channel::Sender;
use pearfork_net::{http, lock};
use pearfork_platform::node_list;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest and shortest wait that a call asks for.
const WAITS: (Duration, Duration) = (Duration::from_millis(1_000), Duration::from_millis(100));
/// How much longer than its wait a call may take, as a part of the wait.
const MARGIN: f64 = 0.5;
/// Pause after a call that failed. The agent is on this machine, and costs nothing; a watch goes on only where the next
/// call comes within 200 ms of the last answer.
const PAUSE: Duration = Duration::from_millis(100);
/// Least time from the beginning of a call to that of the next: an agent that answers each one at once, with nothing new
/// or with the whole list again, would be called without a pause otherwise.
const SPACING: Duration = Duration::from_millis(25);

/// How long calls wait and may take.
///
/// Danger: a change counts as told 6 s after discovery had it and could be reached, whatever failed before. An agent that
/// answers slowly is heard only by a call that is long enough, and one that was silent and is back is heard only once the
/// call under way is over. So the calls after one that failed take 200, 400, 800 and then, as all others, 1,500 ms at the
/// most, and from there on begin anew with 200. An agent that comes back just after the longest began is asked again within
/// 1.6 s, and an answer that takes up to 1.5 s is had within 4.8 s: 1.2 s before it counts. The settings can make these
/// times shorter by their grace, never longer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// At discovery, for a change.
    wait: Duration,
    /// After a call that failed: what came back may have changes that count already.
    retry: Duration,
}

impl Pace {
    /// Danger: an agent that went silent and came back has told all that it has at that moment, whoever was asking. A
    /// call that began before has to be over, and the next one answered, within the grace that the rules give.
    pub(crate) fn within(grace: Duration) -> Pace {
        let wait = (grace / 2).clamp(WAITS.1, WAITS.0);
        Pace { wait, retry: WAITS.1 }
    }

    /// The longest time that a call may take which waits so long.
    fn whole(wait: Duration) -> Duration {
        wait + wait.mul_f64(MARGIN).max(WAITS.1)
    }

    /// The longest time that the next call may take after one that failed; `last` is that of the failed one, where it
    /// followed a failed one itself.
    fn next_retry(self, last: Option<Duration>) -> Duration {
        let longest = Pace::whole(self.wait);
        match last {
            Some(last) if last < longest => longest.min(last * 2),
            _ => Pace::whole(self.retry),
        }
    }
}

/// The address that is followed, and the call that is under way there.
pub(crate) struct Following {
    now: Mutex<Now>,
}

struct Now {
    address: SocketAddr,
    call: Option<TcpStream>,
}

impl Following {
    pub(crate) fn new(address: SocketAddr) -> Following {
        Following { now: Mutex::new(Now { address, call: None }) }
    }

    /// Another address counts from now on; a call under way at the old one is ended.
    pub(crate) fn change(&self, address: SocketAddr) {
        let mut now = lock(&self.now);
        if std::mem::replace(&mut now.address, address) == address {
            return;
        }
        if let Some(call) = now.call.take() {
            let _ = call.shutdown(Shutdown::Both);
        }
    }

    fn address(&self) -> SocketAddr {
        lock(&self.now).address
    }

    /// A call is under way at an address; false where another counts by now.
    fn begins(&self, address: SocketAddr, call: &TcpStream) -> bool {
        let mut now = lock(&self.now);
        now.call = call.try_clone().ok();
        now.address == address
    }

    /// It is over; false where another address counts by now, and what was told is another agent's.
    fn ended(&self, address: SocketAddr) -> bool {
        let mut now = lock(&self.now);
        now.call = None;
        now.address == address
    }
}

pub(crate) struct Watcher {
    following: Arc<Following>,
    engine: Sender<Message>,
    pace: Pace,
    /// What was told last, and by whom.
    told: Option<(SocketAddr, u64)>,
    /// The longest time that the next call may take, where the last one failed.
    retry: Option<Duration>,
}

impl Watcher {
    pub(crate) fn new(following: Arc<Following>, engine: Sender<Message>, pace: Pace) -> Watcher {
        Watcher { following, engine, pace, told: None, retry: None }
    }

    /// Runs until nobody listens any more.
    pub(crate) fn run(mut self) {
        while self.step() {}
    }

    /// One call; false where nobody listens any more.
    fn step(&mut self) -> bool {
        let began = Instant::now();
        let address = self.following.address();
        // Danger: versions are an agent's own. One asked of another may be newer than all that it has.
        let since = self.told.filter(|(agent, _)| *agent == address).map(|(_, seq)| seq);
        let called = self.call(address, since);
        if !self.following.ended(address) {
            return true;
        }
        match called {
            Ok(list) => {
                self.retry = None;
                self.told = Some((address, list.seq));
                // Without news too: how long nothing was heard tells what a node that comes may state of its start.
                let listens = self.engine.send(Message::List(list)).is_ok();
                std::thread::sleep(SPACING.saturating_sub(began.elapsed()));
                listens
            }
            Err(why) => {
                if self.retry.is_none() {
                    tracing::warn!(why, "discovery cannot be had; going on with the list as it is");
                }
                self.retry = Some(self.pace.next_retry(self.retry));
                std::thread::sleep(PAUSE);
                true
            }
        }
    }

    fn call(&mut self, address: SocketAddr, since: Option<u64>) -> Result<node_list::Listing, String> {
        let wait = if self.retry.is_some() { self.pace.retry } else { self.pace.wait };
        let longest = self.retry.unwrap_or(Pace::whole(wait));
        let path = match since {
            None => "/discovery/hosts".to_owned(),
            Some(seq) => format!("/discovery/hosts?since={seq}&timeout_ms={}", wait.as_millis()),
        };
        let up = |stream: &TcpStream| self.following.begins(address, stream);
        let (status, body) = http::get_cancellable(address, &path, longest, up).map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("{address}: status {status}"));
        }
        let list = node_list::parse(&body).map_err(|e| format!("{address}: {e}"))?;
        match since {
            None if !list.whole => Err(format!("{address}: changes, where the whole list was asked for")),
            // An agent that went back has begun anew: its whole list counts, and changes of it count for nothing here.
            Some(seq) if list.seq < seq && !list.whole => {
                self.told = None;
                Err(format!("{address}: version {} after {seq}", list.seq))
            }
            _ => Ok(list),
        }
    }
}
