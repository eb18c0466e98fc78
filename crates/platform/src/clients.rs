//! Which client connections stay. No I/O, no clock: times are the caller's, milliseconds.
//!
//! A host has few descriptors, and anybody may connect. What was taken is answered; what says nothing, does not
//! finish what it began, or keeps sending what makes no sense, goes first when room is needed, and after a while in any case.

use std::collections::BTreeMap;

/// A connection that has said nothing whole is closed after this time; the platform wants it gone within 3 s.
const SILENT_MS: f64 = 1_800.0;
/// A command that began and does not end is given this time from its first byte.
const PARTIAL_MS: f64 = 1_800.0;
/// An idle connection may be closed for room once it has stood so long; the platform allows it from 2 s.
const IDLE_MS: f64 = 2_100.0;
/// What makes no sense is followed by a pause before more is read: this for the first, doubled for each, up to the last.
const FIRST_PAUSE_MS: u64 = 20;
const LONGEST_PAUSE_MS: u64 = 640;
/// Faults after which a connection is closed with its error.
const FAULTS: u32 = 6;
/// Part of the descriptors for clients, and what is kept for the listener, discovery, signals, standard streams.
const CLIENT_PART: f64 = 0.64;
const KEPT: usize = 24;

/// Client connections that a host may hold of so many descriptors. Requests come on a third of them at most; the
/// rest is room for those that only connect.
pub fn client_room(descriptors: usize) -> usize {
    ((descriptors.saturating_sub(KEPT)) as f64 * CLIENT_PART) as usize
}

/// Connections to nodes that it may hold.
pub fn node_room(descriptors: usize) -> usize {
    descriptors.saturating_sub(KEPT + client_room(descriptors)).max(1)
}

/// Names a connection.
pub type ClientId = u64;

#[derive(Clone, Copy, Debug)]
struct Entry {
    since: f64,
    /// When its last command was answered, or it was last heard; `None` where it has said nothing whole.
    last: Option<f64>,
    open: u32,
    partial: Option<f64>,
    faults: u32,
}

/// What follows a command that makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFault {
    /// The connection is read again after so many milliseconds; the error is sent at once.
    Pause(u64),
    /// It is closed behind the error.
    Close,
}

/// The client connections of a host.
#[derive(Debug)]
pub struct ClientTable {
    room: usize,
    clients: BTreeMap<ClientId, Entry>,
}

impl ClientTable {
    /// Room for so many.
    pub fn new(room: usize) -> ClientTable {
        ClientTable { room: room.max(1), clients: BTreeMap::new() }
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.clients.len()
    }

    /// Room for so many.
    pub fn room(&self) -> usize {
        self.room
    }

    /// A connection came. Where there is no room, one has to go: one that has said nothing, the longest silent first;
    /// then an idle one, the longest idle first; otherwise the newcomer itself, of which nothing was taken yet.
    pub fn arrived(&mut self, now: f64, id: ClientId) -> Option<ClientId> {
        self.clients.insert(id, Entry { since: now, last: None, open: 0, partial: None, faults: 0 });
        if self.clients.len() <= self.room {
            return None;
        }
        let oldest = |pick: &dyn Fn(&Entry) -> Option<f64>| {
            let times = self.clients.iter().filter(|(other, _)| **other != id);
            let times = times.filter_map(|(other, g)| pick(g).map(|t| (t, *other)));
            times.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, other)| other)
        };
        let silent = |g: &Entry| (g.last.is_none() && g.open == 0).then_some(g.since);
        let idle =
            |g: &Entry| g.last.filter(|last| g.open == 0 && g.partial.is_none() && now - last >= IDLE_MS);
        let victim = oldest(&silent).or_else(|| oldest(&idle)).unwrap_or(id);
        self.clients.remove(&victim);
        Some(victim)
    }

    /// A whole command came. False: the connection was given up, and the command is not taken.
    pub fn began(&mut self, now: f64, id: ClientId) -> bool {
        let Some(g) = self.clients.get_mut(&id) else { return false };
        (g.open, g.last, g.partial) = (g.open + 1, Some(now), None);
        true
    }

    /// One has its answer.
    pub fn answered(&mut self, now: f64, id: ClientId) {
        if let Some(g) = self.clients.get_mut(&id) {
            (g.open, g.last) = (g.open.saturating_sub(1), Some(now));
        }
    }

    /// A command has begun and its end has not come.
    pub fn partial(&mut self, now: f64, id: ClientId) {
        if let Some(g) = self.clients.get_mut(&id) {
            g.partial.get_or_insert(now);
        }
    }

    /// A command made no sense; the error is its answer.
    pub fn fault(&mut self, id: ClientId) -> AfterFault {
        let Some(g) = self.clients.get_mut(&id) else { return AfterFault::Close };
        g.faults += 1;
        if g.faults >= FAULTS {
            return AfterFault::Close;
        }
        AfterFault::Pause((FIRST_PAUSE_MS << (g.faults - 1)).min(LONGEST_PAUSE_MS))
    }

    /// It is gone.
    pub fn left(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Those whose time is up.
    pub fn overdue(&self, now: f64) -> Vec<ClientId> {
        let over = |g: &Entry| {
            let silent = g.last.is_none() && now - g.since >= SILENT_MS;
            g.open == 0 && (silent || g.partial.is_some_and(|p| now - p >= PARTIAL_MS))
        };
        self.those(over)
    }

    /// Those with nothing open, when the host leaves.
    pub fn idle(&self) -> Vec<ClientId> {
        self.those(|g| g.open == 0)
    }

    fn those(&self, pick: impl Fn(&Entry) -> bool) -> Vec<ClientId> {
        self.clients.iter().filter(|(_, g)| pick(g)).map(|(id, _)| *id).collect()
    }
}
