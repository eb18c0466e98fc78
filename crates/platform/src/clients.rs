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
pub fn max_client_connections(descriptors: usize) -> usize {
    ((descriptors.saturating_sub(KEPT)) as f64 * CLIENT_PART) as usize
}

/// Connections to nodes that it may hold.
pub fn max_node_connections(descriptors: usize) -> usize {
    descriptors.saturating_sub(KEPT + max_client_connections(descriptors)).max(1)
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
    /// The host ends it: since when.
    ending: Option<f64>,
    /// All is answered, and some of it has not left the write buffer.
    is_flushing: bool,
}

impl Entry {
    /// It is on its way out, and nothing is owed to its client any more.
    fn lingers(&self) -> Option<f64> {
        self.ending.filter(|_| self.open == 0 && !self.is_flushing)
    }
}

/// What follows a command that makes no sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFault {
    /// The connection is read again after so many milliseconds; the error is sent at once.
    Pause(u64),
    /// It is closed behind the error.
    Close,
}

/// Part of the room that connections may take which the host ends, and which linger for what may still arrive.
const LINGER_PART: usize = 8;
/// A connection that has just come is not closed as idle: its first command is on its way.
const GREETING_MS: f64 = 100.0;

/// The client connections of a host, those included that it ends.
#[derive(Debug)]
pub struct ClientTable {
    room: usize,
    clients: BTreeMap<ClientId, Entry>,
    /// Descriptors of connections, those included that are over and whose requests are still in somebody's hands.
    descriptors: usize,
}

impl ClientTable {
    /// Room for so many.
    pub fn new(room: usize) -> ClientTable {
        ClientTable { room: room.max(1), clients: BTreeMap::new(), descriptors: 0 }
    }

    /// Connections that are held.
    pub fn held(&self) -> usize {
        self.clients.len()
    }

    /// Room for so many.
    pub fn room(&self) -> usize {
        self.room
    }

    /// A connection's descriptor is held from now on.
    pub fn descriptor_opened(&mut self) {
        self.descriptors += 1;
    }

    /// A connection's descriptor was closed.
    pub fn descriptor_closed(&mut self) {
        self.descriptors = self.descriptors.saturating_sub(1);
    }

    /// Whether no place is left.
    ///
    /// Danger: a connection that is over leaves the table at once, and its descriptor stays open while a request of it waits
    /// for its turn. Counted by the table alone, newcomers would take the descriptors that are kept for nodes and discovery.
    fn is_full(&self) -> bool {
        self.clients.len().max(self.descriptors) >= self.room
    }

    /// A connection came. Where there is no room, one has to go: one that has said nothing, the longest silent first;
    /// then an idle one, the longest idle first; otherwise the newcomer itself, of which nothing was taken yet. It is
    /// still held where there is room for it to end in order, which is the caller's to begin; where there is none, the
    /// one that has been ending longest and is owed nothing goes before all others, and none is held that was told.
    pub fn arrived(&mut self, now: f64, id: ClientId) -> Option<ClientId> {
        let entry = Entry {
            since: now,
            last: None,
            open: 0,
            partial: None,
            faults: 0,
            ending: None,
            is_flushing: false,
        };
        let is_full = self.is_full();
        self.clients.insert(id, entry);
        let ending = self.clients.values().filter(|c| c.ending.is_some()).count();
        if is_full {
            let victim = self.oldest(id, Entry::lingers).or_else(|| self.dispensable(now, id)).unwrap_or(id);
            self.clients.remove(&victim);
            return Some(victim);
        }
        if self.clients.len() - ending <= self.room - self.room / LINGER_PART {
            return None;
        }
        self.dispensable(now, id)
    }

    /// Whether a newcomer would find room, be it in another's place.
    ///
    /// Danger: one that is taken and turned away has written its request by then, and is answered by a reset. One that is
    /// not taken yet waits in the system's queue, for less than the time of a request.
    pub fn has_room(&self, now: f64) -> bool {
        let any_lingers = || self.clients.values().any(|c| c.lingers().is_some());
        !self.is_full() || any_lingers() || self.dispensable(now, ClientId::MAX).is_some()
    }

    fn oldest(&self, but: ClientId, pick: impl Fn(&Entry) -> Option<f64>) -> Option<ClientId> {
        let times = self.clients.iter().filter(|(other, _)| **other != but);
        let times = times.filter_map(|(other, c)| pick(c).map(|t| (t, *other)));
        times.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, other)| other)
    }

    fn dispensable(&self, now: f64, but: ClientId) -> Option<ClientId> {
        let rests = |c: &Entry| c.open == 0 && c.ending.is_none();
        let silent = |c: &Entry| (c.last.is_none() && rests(c)).then_some(c.since);
        let idle = |c: &Entry| c.last.filter(|last| rests(c) && c.partial.is_none() && now - last >= IDLE_MS);
        self.oldest(but, silent).or_else(|| self.oldest(but, idle))
    }

    /// The host ends one: it takes no more commands, and is held until it is gone.
    pub fn ending(&mut self, now: f64, id: ClientId) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.ending.get_or_insert(now);
        }
    }

    /// Some of what one was answered has not left the write buffer, or all of it has.
    pub fn flushing(&mut self, id: ClientId, is_flushing: bool) {
        if let Some(c) = self.clients.get_mut(&id) {
            c.is_flushing = is_flushing;
        }
    }

    /// Whether one is held.
    pub fn holds(&self, id: ClientId) -> bool {
        self.clients.contains_key(&id)
    }

    /// A whole command came. False: the connection was given up, and the command is not taken.
    pub fn began(&mut self, now: f64, id: ClientId) -> bool {
        let Some(c) = self.clients.get_mut(&id).filter(|c| c.ending.is_none()) else { return false };
        (c.open, c.last, c.partial) = (c.open + 1, Some(now), None);
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
        let over = |c: &Entry| {
            let silent = c.last.is_none() && now - c.since >= SILENT_MS;
            c.open == 0 && (silent || c.partial.is_some_and(|p| now - p >= PARTIAL_MS))
        };
        self.those(over)
    }

    /// Those with nothing open, when the host leaves.
    pub fn idle(&self) -> Vec<ClientId> {
        self.those(|c| c.open == 0)
    }

    /// Those of them of which nothing is to be expected: no half of a command came, and they did not just arrive.
    pub fn resting(&self, now: f64) -> Vec<ClientId> {
        self.those(|c| {
            let heard = c.last.is_some() || now - c.since >= GREETING_MS;
            c.open == 0 && c.partial.is_none() && heard
        })
    }

    fn those(&self, pick: impl Fn(&Entry) -> bool) -> Vec<ClientId> {
        let those = self.clients.iter().filter(|(_, c)| c.ending.is_none() && pick(c));
        those.map(|(id, _)| *id).collect()
    }
}
