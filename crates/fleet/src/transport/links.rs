//! Links to voters: dialing with backoff, keepalives, and what is given up.

use super::connection::Connection;
use super::Transport;
use pearfork_ledger::{HostNumber, Message};
use pearfork_net::{begin_connect, Want};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a connection may take to come up and finish its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a keepalive is sent over a dialed connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// A dialed connection over which nothing is heard for so many intervals is given up.
const MISSED_KEEPALIVES: u32 = 3;
/// The pause before a second attempt to reach a voter; each further pause is twice as long.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// The longest such pause.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Status of the link to a voter, for status pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether it is up and the handshake is done.
    pub up: bool,
    /// Why one of the two sides refused the other.
    pub refused: Option<String>,
}

/// Called at each change of the links.
pub type LinkObserver = Box<dyn FnMut(&HashMap<HostNumber, LinkStatus>) + Send>;

/// The link to one voter.
pub(super) struct Link {
    connection: Option<u64>,
    dial_at: Instant,
    backoff: Duration,
    status: LinkStatus,
}

impl Link {
    pub(super) fn new(now: Instant) -> Link {
        Link { connection: None, dial_at: now, backoff: MIN_BACKOFF, status: LinkStatus::default() }
    }

    pub(super) fn connection(&self) -> Option<u64> {
        self.connection
    }

    /// The handshake is done.
    pub(super) fn set_up(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.status = LinkStatus { up: true, refused: None };
    }

    /// The voter refused this host.
    pub(super) fn set_refused_by_voter(&mut self, why: String) {
        self.status.refused = Some(why);
        self.backoff = MAX_BACKOFF;
    }

    /// This host refused the voter.
    pub(super) fn set_refused_here(&mut self, why: String) {
        self.status.refused = Some(why);
    }

    fn start_backoff(&mut self, now: Instant, id: u64) {
        // Danger: hundreds of hosts that lost a voter at once would come back to it at once, and again at once.
        let spread = 1.0 + f64::from(id as u32 % 7) / 10.0;
        self.dial_at = now + self.backoff.mul_f64(spread);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

impl Transport {
    /// Dials, sends keepalives and gives up connections; when to do so again.
    pub(super) fn maintain_links(&mut self, now: Instant) -> Instant {
        self.dial_due(now);
        let down = self.links.values().filter(|link| link.connection.is_none());
        let next = down.map(|link| link.dial_at).fold(now + KEEPALIVE_INTERVAL / 4, Instant::min);
        let (silent, idle) = self.silent_and_idle(now);
        for id in silent {
            self.close(id, "no sign of life");
        }
        for id in idle {
            self.send_keepalive(id, now);
        }
        next
    }

    /// Connections to give up, and links that need a keepalive.
    fn silent_and_idle(&self, now: Instant) -> (Vec<u64>, Vec<u64>) {
        let mut silent = Vec::new();
        let mut idle = Vec::new();
        for (id, c) in &self.connections {
            let no_handshake = c.peer.is_none() && now - c.opened_at > HANDSHAKE_TIMEOUT;
            let unheard = c.is_link() && now - c.last_heard_at > MISSED_KEEPALIVES * KEEPALIVE_INTERVAL;
            if no_handshake || unheard {
                silent.push(*id);
            } else if c.is_link() && now - c.keepalive_sent_at >= KEEPALIVE_INTERVAL {
                idle.push(*id);
            }
        }
        (silent, idle)
    }

    fn send_keepalive(&mut self, id: u64, now: Instant) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.keepalive_sent_at = now;
        }
        // The other side responds to a handshake with its own.
        self.send(id, &Message::Hello(self.hello.clone()));
    }

    fn dial_due(&mut self, now: Instant) {
        let is_due = |link: &Link| link.connection.is_none() && link.dial_at <= now;
        let due: Vec<HostNumber> =
            self.links.iter().filter(|(_, link)| is_due(link)).map(|(host, _)| *host).collect();
        for host in due {
            self.dial(host, now);
        }
    }

    fn dial(&mut self, host: HostNumber, now: Instant) {
        let Some(voter) = self.plan.voters.iter().find(|v| v.host == host) else { return };
        let id = self.next_connection;
        let stream = begin_connect(&voter.address).and_then(|stream| {
            let _ = stream.set_nodelay(true);
            self.poller.add(&stream, id, Want::Write)?;
            Ok(stream)
        });
        if let Some(link) = self.links.get_mut(&host) {
            link.start_backoff(now, id);
            if stream.is_ok() {
                link.connection = Some(id);
            }
        }
        if let Ok(stream) = stream {
            self.next_connection += 1;
            let mut connection = Connection::new(stream, Some(host), now, self.traffic.clone());
            connection.enqueue(&Message::Hello(self.hello.clone()));
            self.connections.insert(id, connection);
        }
    }

    pub(super) fn close(&mut self, id: u64, why: &str) {
        let Some(c) = self.connections.remove(&id) else { return };
        self.poller.remove(&c.stream);
        let Some(host) = c.dialed else { return };
        let Some(link) = self.links.get_mut(&host).filter(|link| link.connection == Some(id)) else { return };
        link.connection = None;
        link.dial_at = link.dial_at.max(Instant::now() + link.backoff);
        self.maintain_at = self.maintain_at.min(link.dial_at);
        let was_up = std::mem::take(&mut link.status.up);
        if was_up {
            tracing::info!(voter = host.0, why, "the link to a voter is down");
        }
        self.notify_observer();
    }

    pub(super) fn notify_observer(&mut self) {
        let statuses = self.links.iter().map(|(host, link)| (*host, link.status.clone())).collect();
        (self.observer)(&statuses);
    }
}
