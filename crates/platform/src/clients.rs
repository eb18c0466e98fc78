//! Decides which client connections are kept. No I/O and no clock: the caller passes times in milliseconds.
//!
//! A host has few descriptors, and anyone may connect. Accepted requests are always answered. Connections
//! that send no command, leave a command incomplete or keep sending invalid commands are the first to be
//! closed when room is needed, and are closed after a timeout in any case.

use std::collections::BTreeMap;

/// A connection without a complete command is closed after this time. The platform requires it within 3 s.
const FIRST_COMMAND_TIMEOUT_MS: f64 = 1_800.0;
/// A command must be complete within this time from its first byte.
const PARTIAL_COMMAND_TIMEOUT_MS: f64 = 1_800.0;
/// A connection may be evicted once it has been idle for this long. The platform allows it from 2 s on.
const MIN_EVICTABLE_IDLE_MS: f64 = 2_100.0;
/// Pause in reading after the first invalid command. It doubles with each further one.
const MIN_ERROR_PAUSE_MS: u64 = 20;
/// Upper bound of this pause.
const MAX_ERROR_PAUSE_MS: u64 = 640;
/// Number of invalid commands after which the connection is closed, following the error reply.
const MAX_INVALID_COMMANDS: u32 = 6;
/// Identifies a client connection.
pub type ClientId = u64;

#[derive(Clone, Copy, Debug)]
struct ClientEntry {
    connected_at: f64,
    /// Time of the last command or reply; `None` until the first complete command.
    last_active: Option<f64>,
    open_commands: u32,
    partial_since: Option<f64>,
    invalid_commands: u32,
    /// Time at which the host began to close the connection.
    closing_since: Option<f64>,
    /// All requests are answered, but part of the replies is still in the write buffer.
    is_flushing: bool,
}

impl ClientEntry {
    /// Time since which the connection has only been lingering: it is being closed and its client is owed
    /// nothing.
    fn lingering_since(&self) -> Option<f64> {
        self.closing_since.filter(|_| self.open_commands == 0 && !self.is_flushing)
    }
}

/// How to continue after an invalid command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterError {
    /// Resume reading after this many milliseconds; the error reply is sent at once.
    Pause(u64),
    /// Close the connection after the error reply.
    Close,
}

/// Divisor of the capacity that gives the number of places for connections that are being closed and linger.
const LINGERING_DIVISOR: usize = 8;
/// A connection this young is not closed as idle, since its first command may be in transit.
const FIRST_COMMAND_GRACE_MS: f64 = 100.0;

/// The client connections of a host, including those that are being closed.
#[derive(Debug)]
pub struct ClientTable {
    capacity: usize,
    clients: BTreeMap<ClientId, ClientEntry>,
    /// Number of open descriptors of client connections. Includes closed connections that are still
    /// referenced by a request in the engine's queue.
    descriptors: usize,
}

impl ClientTable {
    /// Creates a table that holds at most `capacity` connections, and at least one.
    pub fn new(capacity: usize) -> ClientTable {
        ClientTable { capacity: capacity.max(1), clients: BTreeMap::new(), descriptors: 0 }
    }

    /// Number of connections held.
    pub fn count(&self) -> usize {
        self.clients.len()
    }

    /// Maximum number of connections.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Changes the maximum number of connections. Those beyond it stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
    }

    /// Number of open descriptors of client connections.
    pub fn descriptor_count(&self) -> usize {
        self.clients.len().max(self.descriptors)
    }

    /// Counts a descriptor that was opened for a client connection.
    pub fn descriptor_opened(&mut self) {
        self.descriptors += 1;
    }

    /// Removes a closed descriptor of a client connection from the count.
    pub fn descriptor_closed(&mut self) {
        self.descriptors = self.descriptors.saturating_sub(1);
    }

    /// Whether no further connection can be held.
    ///
    /// A connection leaves the table when it closes, but its descriptor stays open while one of its requests
    /// waits in the engine's queue. If only the table counted, new connections would take the descriptors
    /// reserved for nodes and discovery.
    fn is_full(&self) -> bool {
        self.descriptor_count() >= self.capacity
    }

    /// Adds a new connection and returns the connection to close if room is needed.
    ///
    /// Candidates in order of preference: the connection that has been without a command for longest, the one
    /// that has been idle for longest, and the new connection itself, from which nothing has been read yet.
    /// If there is room to close the candidate in order, it stays in the table and the caller begins the
    /// close. If the table is full, the connection that has been lingering for longest is preferred to all
    /// others, and the returned connection has already been removed.
    pub fn add(&mut self, now: f64, id: ClientId) -> Option<ClientId> {
        let entry = ClientEntry {
            connected_at: now,
            last_active: None,
            open_commands: 0,
            partial_since: None,
            invalid_commands: 0,
            closing_since: None,
            is_flushing: false,
        };
        let is_full = self.is_full();
        self.clients.insert(id, entry);
        let closing = self.clients.values().filter(|c| c.closing_since.is_some()).count();
        if is_full {
            let victim = self
                .oldest(id, ClientEntry::lingering_since)
                .or_else(|| self.find_evictable(now, id))
                .unwrap_or(id);
            self.clients.remove(&victim);
            return Some(victim);
        }
        if self.clients.len() - closing <= self.capacity - self.capacity / LINGERING_DIVISOR {
            return None;
        }
        self.find_evictable(now, id)
    }

    /// Whether a new connection would find room, possibly by evicting another one.
    ///
    /// A connection that is accepted and then rejected has already written its request, which is answered by
    /// a reset. A connection that is not accepted waits in the kernel's queue instead, for less time than a
    /// request may take.
    pub fn can_accept(&self, now: f64) -> bool {
        let any_lingering = || self.clients.values().any(|c| c.lingering_since().is_some());
        !self.is_full() || any_lingering() || self.find_evictable(now, ClientId::MAX).is_some()
    }

    /// Returns the connection other than `except` for which `pick` yields the earliest time.
    fn oldest(&self, except: ClientId, pick: impl Fn(&ClientEntry) -> Option<f64>) -> Option<ClientId> {
        let times = self.clients.iter().filter(|(other, _)| **other != except);
        let times = times.filter_map(|(other, c)| pick(c).map(|t| (t, *other)));
        times.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, other)| other)
    }

    /// Returns the connection other than `except` to close first when room is needed: the oldest that has not
    /// sent a complete command, otherwise the one that has been idle for longest, and for at least
    /// `MIN_EVICTABLE_IDLE_MS`.
    fn find_evictable(&self, now: f64, except: ClientId) -> Option<ClientId> {
        let is_idle = |c: &ClientEntry| c.open_commands == 0 && c.closing_since.is_none();
        let silent = |c: &ClientEntry| (c.last_active.is_none() && is_idle(c)).then_some(c.connected_at);
        let idle = |c: &ClientEntry| {
            c.last_active.filter(|active| {
                is_idle(c) && c.partial_since.is_none() && now - active >= MIN_EVICTABLE_IDLE_MS
            })
        };
        self.oldest(except, silent).or_else(|| self.oldest(except, idle))
    }

    /// Marks a connection as being closed by the host: it takes no more commands but is held until it is
    /// closed.
    pub fn begin_close(&mut self, now: f64, id: ClientId) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.closing_since.get_or_insert(now);
        }
    }

    /// Records whether part of the replies of a connection is still in its write buffer.
    pub fn set_flushing(&mut self, id: ClientId, is_flushing: bool) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.is_flushing = is_flushing;
        }
    }

    /// Whether the table holds a connection.
    pub fn contains(&self, id: ClientId) -> bool {
        self.clients.contains_key(&id)
    }

    /// Records a complete command. Returns `false` if the connection is being closed or is gone, in which
    /// case the command must not be executed.
    pub fn command_received(&mut self, now: f64, id: ClientId) -> bool {
        let Some(c) = self.clients.get_mut(&id).filter(|c| c.closing_since.is_none()) else { return false };
        (c.open_commands, c.last_active, c.partial_since) = (c.open_commands + 1, Some(now), None);
        true
    }

    /// Records that a command was answered.
    pub fn command_answered(&mut self, now: f64, id: ClientId) {
        if let Some(c) = self.clients.get_mut(&id) {
            (c.open_commands, c.last_active) = (c.open_commands.saturating_sub(1), Some(now));
        }
    }

    /// Records that a command has been received in part.
    pub fn partial_received(&mut self, now: f64, id: ClientId) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.partial_since.get_or_insert(now);
        }
    }

    /// Of the connections for which `is_candidate` holds, the one whose command has been incomplete for longest.
    pub fn longest_partial(&self, is_candidate: impl Fn(ClientId) -> bool) -> Option<ClientId> {
        let partial = self.clients.iter().filter(|(_, c)| c.closing_since.is_none());
        let partial = partial.filter_map(|(id, c)| Some((c.partial_since?, *id)));
        let candidates = partial.filter(|(_, id)| is_candidate(*id));
        candidates.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }

    /// Records an invalid command, which is answered with an error.
    pub fn invalid_command(&mut self, id: ClientId) -> AfterError {
        let Some(c) = self.clients.get_mut(&id) else { return AfterError::Close };
        c.invalid_commands += 1;
        if c.invalid_commands >= MAX_INVALID_COMMANDS {
            return AfterError::Close;
        }
        AfterError::Pause((MIN_ERROR_PAUSE_MS << (c.invalid_commands - 1)).min(MAX_ERROR_PAUSE_MS))
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Connections whose time for the first command or for the rest of a command has expired.
    pub fn overdue(&self, now: f64) -> Vec<ClientId> {
        let over = |c: &ClientEntry| {
            let silent = c.last_active.is_none() && now - c.connected_at >= FIRST_COMMAND_TIMEOUT_MS;
            c.open_commands == 0
                && (silent || c.partial_since.is_some_and(|p| now - p >= PARTIAL_COMMAND_TIMEOUT_MS))
        };
        self.select(over)
    }

    /// Connections without open requests; they are closed when the host shuts down.
    pub fn idle(&self) -> Vec<ClientId> {
        self.select(|c| c.open_commands == 0)
    }

    /// Idle connections from which no request is expected: no command has been received in part, and they are
    /// not new.
    pub fn quiescent(&self, now: f64) -> Vec<ClientId> {
        self.select(|c| {
            let heard = c.last_active.is_some() || now - c.connected_at >= FIRST_COMMAND_GRACE_MS;
            c.open_commands == 0 && c.partial_since.is_none() && heard
        })
    }

    /// Returns the connections that `pick` accepts and that the host is not already closing.
    fn select(&self, pick: impl Fn(&ClientEntry) -> bool) -> Vec<ClientId> {
        let selected = self.clients.iter().filter(|(_, c)| c.closing_since.is_none() && pick(c));
        selected.map(|(id, _)| *id).collect()
    }
}
