//! Which connection to a node carries an attempt. No I/O, no clock: times are the caller's, milliseconds.
//!
//! Answers on a connection come in the order of its commands: what stands behind a slow request waits for it, and an attempt is
//! given up by closing its connection. So each attempt has a connection of its own while descriptors last;
//! beyond that it goes behind the fewest others.

use crate::config::Links;
use crate::idle_loss::Rests;
use pearfork_drive::AttemptId;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How long a connection rests behind an answer before the next command is written on it.
///
/// Danger: a node may send its answer a second time, some milliseconds late. What comes while nothing is out shows that
/// the connection is spoilt; what comes after the next command was written would be taken for that command's answer.
const REST_MS: f64 = 15.0;
/// An idle connection is closed at this part of the time after which its node would.
const IDLE_PART: f64 = 0.7;

/// Names a connection.
pub type LinkId = u64;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Do {
    /// Connect to a node.
    Open(LinkId, u32),
    /// Write an attempt on an open connection; [`Pool::unfit`] where it turns out to be of no use.
    Write(LinkId, AttemptId),
    /// Drop a connection.
    Close(LinkId),
    /// An attempt was never sent, and ends so.
    NeverSent(AttemptId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Coming,
    Open,
    /// What is out on it may still be answered; it takes no more.
    Spent,
}

#[derive(Debug)]
struct Link {
    node: u32,
    state: State,
    /// What was written and has no answer, in order; `None` where nobody waits for it any more.
    out: VecDeque<Option<AttemptId>>,
    idle_since: f64,
    /// How long it had rested when it was last written on while idle; 0: it was new.
    rested: f64,
    used: bool,
    /// An answer came on it.
    answered: bool,
}

impl Link {
    /// Whether it is up and nothing is out on it.
    fn is_idle(&self) -> bool {
        self.state == State::Open && self.out.is_empty()
    }

    /// Whether a command may be written on it, be it behind others.
    fn takes_more(&self, now: f64, streams: usize) -> bool {
        let busy = self.state == State::Open && !self.out.is_empty();
        self.is_rested(now) || (busy && self.out.len() < streams)
    }

    /// Whether a command may be written on it with nothing out before it.
    fn is_rested(&self, now: f64) -> bool {
        self.is_idle() && (!self.answered || now - self.idle_since >= REST_MS)
    }
}

/// The connections of a host to its nodes.
#[derive(Debug)]
pub struct Pool {
    links_of: Links,
    room: usize,
    next: LinkId,
    links: BTreeMap<LinkId, Link>,
    /// The connections of each node that has any.
    by_node: HashMap<u32, BTreeSet<LinkId>>,
    /// Attempts that wait for a connection that is coming up, or for room.
    waiting: BTreeMap<u32, VecDeque<AttemptId>>,
    /// Where an attempt was written.
    at: HashMap<AttemptId, LinkId>,
    /// Connections that were answered while attempts wait for one, and when each will have rested; in order.
    resting: VecDeque<(f64, LinkId)>,
    rests: Rests,
}

impl Pool {
    /// Room for so many connections.
    pub fn new(links_of: Links, room: usize) -> Pool {
        Pool {
            links_of,
            room: room.max(1),
            next: 0,
            links: BTreeMap::new(),
            by_node: HashMap::new(),
            waiting: BTreeMap::new(),
            at: HashMap::new(),
            resting: VecDeque::new(),
            rests: Rests::default(),
        }
    }

    /// Connections, those coming up included.
    pub fn held(&self) -> usize {
        self.links.len()
    }

    /// An attempt is to go to a node.
    pub fn send(&mut self, now: f64, node: u32, attempt: AttemptId, out: &mut Vec<Do>) {
        if let Some(link) = self.free(now, node) {
            return self.write(now, link, attempt, out);
        }
        if self.links.len() < self.room || self.make_room(out) {
            self.waiting.entry(node).or_default().push_back(attempt);
            return self.open(node, out);
        }
        // No descriptor is left: behind the fewest others, where the node takes more on a connection.
        let streams = self.links_of.streams;
        let shared = self.links_to(node).filter(|(_, l)| l.takes_more(now, streams));
        match shared.min_by_key(|(_, l)| l.out.len()).map(|(id, _)| id) {
            Some(link) => self.write(now, link, attempt, out),
            None if self.by_node.contains_key(&node) => {
                self.waiting.entry(node).or_default().push_back(attempt);
            }
            None => out.push(Do::NeverSent(attempt)),
        }
    }

    /// An idle connection of the node that has rested behind its last answer, none that stood idle for too long: the last
    /// used, so that the others age.
    fn free(&self, now: f64, node: u32) -> Option<LinkId> {
        let free = self.links_to(node).filter(|(_, l)| l.is_rested(now));
        let free = free.filter(|(_, l)| now - l.idle_since < self.rests.limit());
        free.max_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| id)
    }

    /// The longest idle connection goes, of whatever node that no attempt waits for.
    fn make_room(&mut self, out: &mut Vec<Do>) -> bool {
        let spare = |l: &Link| l.is_idle() && !self.waiting.contains_key(&l.node);
        let idle = self.links.iter().filter(|(_, l)| spare(l));
        let oldest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| *id);
        let Some(link) = oldest else { return false };
        self.remove(link);
        out.push(Do::Close(link));
        true
    }

    fn open(&mut self, node: u32, out: &mut Vec<Do>) {
        let id = self.next;
        self.next += 1;
        self.by_node.entry(node).or_default().insert(id);
        self.links.insert(
            id,
            Link {
                node,
                state: State::Coming,
                out: VecDeque::new(),
                idle_since: 0.0,
                rested: 0.0,
                used: false,
                answered: false,
            },
        );
        out.push(Do::Open(id, node));
    }

    fn write(&mut self, now: f64, link: LinkId, attempt: AttemptId, out: &mut Vec<Do>) {
        if let Some(l) = self.links.get_mut(&link) {
            if l.out.is_empty() {
                l.rested = if l.used { now - l.idle_since } else { 0.0 };
                l.used = true;
            }
            l.out.push_back(Some(attempt));
            self.at.insert(attempt, link);
            out.push(Do::Write(link, attempt));
        }
    }

    /// A connection came up.
    pub fn opened(&mut self, now: f64, link: LinkId, out: &mut Vec<Do>) {
        let Some(l) = self.links.get_mut(&link) else { return out.push(Do::Close(link)) };
        (l.state, l.idle_since) = (State::Open, now);
        self.next_waiting(now, link, out);
    }

    /// Whether a connection has neither come up nor failed.
    pub fn is_coming(&self, link: LinkId) -> bool {
        self.links.get(&link).is_some_and(|l| l.state == State::Coming)
    }

    /// A connection did not come up: one attempt that waited for it was never sent, unless another connection will carry it.
    pub fn not_opened(&mut self, link: LinkId, out: &mut Vec<Do>) {
        let Some(l) = self.remove(link) else { return };
        self.short_of(l.node, out);
    }

    /// No more attempts wait for a node's connections than are coming up.
    fn short_of(&mut self, node: u32, out: &mut Vec<Do>) {
        let coming = self.coming_to(node);
        let busy = self.links_to(node).any(|(_, l)| l.state == State::Open);
        let Some(waiting) = self.waiting.get_mut(&node) else { return };
        while waiting.len() > coming && !busy {
            out.extend(waiting.pop_front().map(Do::NeverSent));
        }
        if waiting.is_empty() {
            self.waiting.remove(&node);
        }
    }

    fn next_waiting(&mut self, now: f64, link: LinkId, out: &mut Vec<Do>) {
        let Some(node) = self.links.get(&link).map(|l| l.node) else { return };
        let Some(waiting) = self.waiting.get_mut(&node) else { return };
        let first = waiting.pop_front();
        if waiting.is_empty() {
            self.waiting.remove(&node);
        }
        if let Some(attempt) = first {
            self.write(now, link, attempt, out);
        }
    }

    /// An answer came on a connection: whose it is, if anybody waits for it.
    pub fn answered(&mut self, now: f64, link: LinkId) -> Option<AttemptId> {
        let l = self.links.get_mut(&link)?;
        if l.out.len() == 1 {
            self.rests.note(l.rested, false);
        }
        let whose = l.out.pop_front().flatten();
        (l.idle_since, l.answered) = (now, true);
        let (idle, node) = (l.out.is_empty(), l.node);
        if let Some(attempt) = whose {
            self.at.remove(&attempt);
        }
        if idle && self.waiting.contains_key(&node) {
            self.resting.push_back((now + REST_MS, link));
        }
        whose
    }

    /// When a connection that attempts wait for will have rested.
    pub fn next_due(&self) -> Option<f64> {
        self.resting.front().map(|(at, _)| *at)
    }

    /// Connections that have rested by now carry what waits for one.
    pub fn ring(&mut self, now: f64, out: &mut Vec<Do>) {
        while let Some((_, link)) = self.resting.front().copied().filter(|(at, _)| now >= *at) {
            self.resting.pop_front();
            if self.links.get(&link).is_some_and(|l| l.is_rested(now)) {
                self.next_waiting(now, link, out);
            }
        }
    }

    /// A connection that was to be written on is of no use, and nothing of the attempt went out: it goes elsewhere.
    ///
    /// Danger: the connection may be gone from here already; the attempt is in nobody's hands then but the caller's.
    pub fn unfit(&mut self, now: f64, link: LinkId, node: u32, attempt: AttemptId, out: &mut Vec<Do>) {
        self.at.remove(&attempt);
        if let Some(l) = self.links.get_mut(&link) {
            l.out.retain(|a| *a != Some(attempt));
            if l.out.is_empty() {
                self.remove(link);
                out.push(Do::Close(link));
            } else {
                l.state = State::Spent;
            }
        }
        self.send(now, node, attempt, out);
    }

    /// The connection on which an attempt was written or is about to be, and how many stand behind it there.
    pub fn place_of(&self, attempt: AttemptId) -> Option<(LinkId, usize)> {
        let link = *self.at.get(&attempt)?;
        let out = &self.links.get(&link)?.out;
        let at = out.iter().position(|a| *a == Some(attempt))?;
        Some((link, out.len() - 1 - at))
    }

    /// Attempts that were written on connections of a node and are waited for.
    pub fn written_to(&self, node: u32) -> Vec<AttemptId> {
        self.links_to(node).flat_map(|(_, l)| l.out.iter().flatten()).copied().collect()
    }

    /// What was written last on a connection: so many commands, those that nobody waits for included.
    pub fn last_written(&self, link: LinkId, commands: usize) -> Vec<AttemptId> {
        let out = self.links.get(&link).map(|l| &l.out);
        out.into_iter().flat_map(|o| o.iter().rev().take(commands)).copied().flatten().collect()
    }

    /// A node is not what it was when attempts were put up for it: those that still wait for a connection are never sent.
    ///
    /// Danger: a connection may come up late. What waited for it would go out on a decision that nobody would take now: to
    /// a node that drains, that was replaced, or that started cold.
    pub fn recall(&mut self, node: u32, out: &mut Vec<Do>) {
        out.extend(self.waiting.remove(&node).into_iter().flatten().map(Do::NeverSent));
    }

    /// An attempt that was to be written is not to be written at all.
    pub fn unsend(&mut self, now: f64, link: LinkId, attempt: AttemptId, out: &mut Vec<Do>) {
        self.at.remove(&attempt);
        let Some(l) = self.links.get_mut(&link) else { return };
        l.out.retain(|a| *a != Some(attempt));
        let node = l.node;
        if l.is_rested(now) {
            self.next_waiting(now, link, out);
        } else if l.is_idle() && self.waiting.contains_key(&node) {
            self.resting.push_back((now + REST_MS, link));
        }
    }

    /// Whether a connection carries one attempt at the most that anybody waits for.
    pub fn is_alone(&self, link: LinkId) -> bool {
        self.links.get(&link).is_none_or(|l| l.out.iter().flatten().count() <= 1)
    }

    /// A connection is over: what was out on it, in order.
    pub fn closed(&mut self, link: LinkId, out: &mut Vec<Do>) -> Vec<AttemptId> {
        let Some(l) = self.remove(link) else { return Vec::new() };
        if l.out.len() == 1 {
            self.rests.note(l.rested, true);
        }
        let lost: Vec<AttemptId> = l.out.into_iter().flatten().collect();
        self.at.retain(|attempt, _| !lost.contains(attempt));
        if self.waiting.contains_key(&l.node) && self.links.len() < self.room {
            // What waited for it to be free gets another.
            if self.waiting.get(&l.node).map_or(0, VecDeque::len) > self.coming_to(l.node) {
                self.open(l.node, out);
            }
        }
        self.short_of(l.node, out);
        lost
    }

    /// Nobody waits for an attempt any more. Where its connection carries nothing else it is closed, which tells the node.
    pub fn withdrawn(&mut self, node: u32, attempt: AttemptId, out: &mut Vec<Do>) {
        if let Some(link) = self.at.remove(&attempt) {
            let Some(l) = self.links.get_mut(&link) else { return };
            if l.out.iter().filter(|a| a.is_some()).count() <= 1 {
                self.remove(link);
                out.push(Do::Close(link));
                return self.short_of(node, out);
            }
            l.out.iter_mut().filter(|a| **a == Some(attempt)).for_each(|a| *a = None);
        } else if let Some(waiting) = self.waiting.get_mut(&node) {
            waiting.retain(|a| *a != attempt);
            if waiting.is_empty() {
                self.waiting.remove(&node);
            }
        }
    }

    /// Connections of a node on which nothing is out are closed.
    pub fn close_idle(&mut self, node: u32, out: &mut Vec<Do>) {
        let idle = self.links_to(node).filter(|(_, l)| l.is_idle()).map(|(id, _)| id).collect();
        self.close(idle, out);
    }

    /// Connections that stood idle almost as long as their nodes allow, or for too long by what became of others, are closed.
    pub fn sweep(&mut self, now: f64, out: &mut Vec<Do>) {
        self.rests.fade(now);
        let after = (self.links_of.idle_ms * IDLE_PART).min(self.rests.limit());
        let idle = self.links.iter().filter(|(_, l)| l.is_idle() && now - l.idle_since >= after);
        let idle = idle.map(|(id, _)| *id).collect();
        self.close(idle, out);
    }

    fn close(&mut self, links: Vec<LinkId>, out: &mut Vec<Do>) {
        for link in links {
            let removed = self.remove(link);
            out.push(Do::Close(link));
            removed.into_iter().for_each(|l| self.short_of(l.node, out));
        }
    }

    /// The connections of a node.
    fn links_to(&self, node: u32) -> impl Iterator<Item = (LinkId, &Link)> {
        let links = self.by_node.get(&node).into_iter().flatten();
        links.filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    /// Connections of a node that neither came up nor failed.
    fn coming_to(&self, node: u32) -> usize {
        self.links_to(node).filter(|(_, l)| l.state == State::Coming).count()
    }

    fn remove(&mut self, link: LinkId) -> Option<Link> {
        let removed = self.links.remove(&link)?;
        if let Some(links) = self.by_node.get_mut(&removed.node) {
            links.remove(&link);
            if links.is_empty() {
                self.by_node.remove(&removed.node);
            }
        }
        Some(removed)
    }
}
