//! Links to voters: dialing with backoff, keepalives and timeouts.

use super::connection::Connection;
use super::Transport;
use pearfork_ledger::{HostNumber, Message};
use pearfork_net::{start_connect, Interest};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time within which a connection must be established and its handshake done.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between the keepalives on a dialed connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Number of keepalive intervals without any received message after which a dialed connection is closed.
const MISSED_KEEPALIVES: u32 = 3;
/// Initial backoff before a voter is dialed again; it doubles with each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(80);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Status of the link to a voter, for status pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LinkStatus {
    /// Whether the link is up and the handshake is done.
    pub is_up: bool,
    /// Why this host or the voter refused the other side; none if neither did.
    pub refusal: Option<String>,
}

/// Called whenever the status of a link changes.
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

    /// Marks the link as up: the handshake is done.
    pub(super) fn mark_up(&mut self) {
        self.backoff = MIN_BACKOFF;
        self.status = LinkStatus { is_up: true, refusal: None };
    }

    /// Records that the voter refused this host, and why.
    pub(super) fn record_refusal_by_voter(&mut self, reason: String) {
        self.status.refusal = Some(reason);
        self.backoff = MAX_BACKOFF;
    }

    /// Records that this host refused the voter, and why.
    pub(super) fn record_refusal_by_self(&mut self, reason: String) {
        self.status.refusal = Some(reason);
    }

    fn start_backoff(&mut self, now: Instant, id: u64) {
        // Without jitter, hundreds of hosts that lose a voter at the same time would all dial it at the same
        // time, again and again.
        let jitter = 1.0 + f64::from(id as u32 % 7) / 10.0;
        self.dial_at = now + self.backoff.mul_f64(jitter);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

impl Transport {
    /// Dials voters, sends keepalives and closes connections that have timed out. Returns when to call it
    /// again.
    pub(super) fn maintain_links(&mut self, now: Instant) -> Instant {
        self.dial_due(now);
        let down = self.links.values().filter(|link| link.connection.is_none());
        let next = down.map(|link| link.dial_at).fold(now + KEEPALIVE_INTERVAL / 4, Instant::min);
        let (timed_out, need_keepalive) = self.due_connections(now);
        for id in timed_out {
            self.close(id, "no message within the timeout");
        }
        for id in need_keepalive {
            self.send_keepalive(id, now);
        }
        next
    }

    /// Connections that have timed out, and connections that need a keepalive.
    fn due_connections(&self, now: Instant) -> (Vec<u64>, Vec<u64>) {
        let mut timed_out = Vec::new();
        let mut need_keepalive = Vec::new();
        for (id, c) in &self.connections {
            let no_handshake = c.peer.is_none() && now - c.opened_at > HANDSHAKE_TIMEOUT;
            let silent = c.is_link() && now - c.last_received_at > MISSED_KEEPALIVES * KEEPALIVE_INTERVAL;
            if no_handshake || silent {
                timed_out.push(*id);
            } else if c.is_link() && now - c.keepalive_sent_at >= KEEPALIVE_INTERVAL {
                need_keepalive.push(*id);
            }
        }
        (timed_out, need_keepalive)
    }

    fn send_keepalive(&mut self, id: u64, now: Instant) {
        if let Some(c) = self.connections.get_mut(&id) {
            c.keepalive_sent_at = now;
        }
        // The keepalive is a handshake message; the peer responds with its own.
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
        let Some(voter) = self.settings.voters.iter().find(|v| v.host == host) else { return };
        let id = self.next_connection;
        let stream = start_connect(&voter.address).and_then(|stream| {
            let _ = stream.set_nodelay(true);
            self.poller.add(&stream, id, Interest::Writable)?;
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
        let was_up = std::mem::take(&mut link.status.is_up);
        if was_up {
            tracing::info!(voter = host.0, why, "link to voter is down");
        }
        self.notify_observer();
    }

    pub(super) fn notify_observer(&mut self) {
        let statuses = self.links.iter().map(|(host, link)| (*host, link.status.clone())).collect();
        (self.observer)(&statuses);
    }
}
