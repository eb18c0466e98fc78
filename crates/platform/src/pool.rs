//! Selects the connection to a node that carries an attempt. No I/O and no clock: the caller passes times in
//! milliseconds.
//!
//! A connection to a node is called a link. Replies on a link arrive in the order of its commands, so a
//! command behind a slow request waits for it, and an attempt can only be cancelled by closing its link. Each
//! attempt therefore gets a link of its own while descriptors last; beyond that it shares the link with the
//! fewest commands in flight.

use crate::config::LinkSettings;
use crate::idle_loss::IdleLoss;
use pearfork_drive::AttemptId;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Time to wait after a reply before an idle link carries the next command.
///
/// A node may send its reply a second time, some milliseconds late. Data that arrives while no command is in
/// flight reveals such a link; data that arrives after the next command was written would be taken for the
/// reply to that command.
const QUIET_MS: f64 = 15.0;
/// An idle link is closed after this fraction of the time after which its node would close it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Identifies a link.
pub type LinkId = u64;

/// An operation that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Connect to a node.
    Open(LinkId, u32),
    /// Write an attempt on an open link, or call [`Pool::write_rejected`] if the link turns out to be
    /// unusable.
    Write(LinkId, AttemptId),
    /// Close a link.
    Close(LinkId),
    /// End an attempt that was never sent.
    NeverSent(AttemptId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Open,
    /// Carries no further commands; the commands in flight may still be answered.
    Retired,
}

#[derive(Debug)]
struct Link {
    node: u32,
    state: State,
    /// Commands written and not answered, in order. `None` for a command whose attempt was abandoned.
    in_flight: VecDeque<Option<AttemptId>>,
    idle_since: f64,
    /// How long the link had been idle when it last went from idle to in use; 0 for a new link.
    idle_before_use_ms: f64,
    was_used: bool,
    /// Whether a reply has arrived on the link.
    has_replied: bool,
}

impl Link {
    /// Whether the link is open with no command in flight.
    fn is_idle(&self) -> bool {
        self.state == State::Open && self.in_flight.is_empty()
    }

    /// Whether a command may be written, possibly behind others.
    fn accepts_command(&self, now: f64, max_in_flight: usize) -> bool {
        let busy = self.state == State::Open && !self.in_flight.is_empty();
        self.is_ready(now) || (busy && self.in_flight.len() < max_in_flight)
    }

    /// Whether the link is idle and may carry a command now.
    fn is_ready(&self, now: f64) -> bool {
        self.is_idle() && (!self.has_replied || now - self.idle_since >= QUIET_MS)
    }
}

/// The links of a host to its nodes.
#[derive(Debug)]
pub struct Pool {
    settings: LinkSettings,
    capacity: usize,
    next_id: LinkId,
    links: BTreeMap<LinkId, Link>,
    /// The links of each node that has any.
    by_node: HashMap<u32, BTreeSet<LinkId>>,
    /// Attempts of each node that wait for a link to open or to become available.
    waiting: BTreeMap<u32, VecDeque<AttemptId>>,
    /// The link on which each attempt was written.
    link_of: HashMap<AttemptId, LinkId>,
    /// Links that were answered while attempts wait for one, with the time at which each may be used again;
    /// in order.
    quiet_until: VecDeque<(f64, LinkId)>,
    idle_loss: IdleLoss,
}

impl Pool {
    /// Creates a pool that holds at most `capacity` links, and at least one.
    pub fn new(settings: LinkSettings, capacity: usize) -> Pool {
        Pool {
            settings,
            capacity: capacity.max(1),
            next_id: 0,
            links: BTreeMap::new(),
            by_node: HashMap::new(),
            waiting: BTreeMap::new(),
            link_of: HashMap::new(),
            quiet_until: VecDeque::new(),
            idle_loss: IdleLoss::default(),
        }
    }

    /// Number of links, including those being opened.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Assigns an attempt to a link of its node.
    pub fn send(&mut self, now: f64, node: u32, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(link) = self.ready_link(now, node) {
            return self.write_on(now, link, attempt, actions);
        }
        if self.links.len() < self.capacity || self.evict_idle(actions) {
            self.waiting.entry(node).or_default().push_back(attempt);
            return self.open_link(node, actions);
        }
        // No descriptor is left: share the link with the fewest commands in flight that the node allows
        // another on.
        let max_in_flight = self.settings.max_in_flight;
        let shared = self.links_to(node).filter(|(_, l)| l.accepts_command(now, max_in_flight));
        match shared.min_by_key(|(_, l)| l.in_flight.len()).map(|(id, _)| id) {
            Some(link) => self.write_on(now, link, attempt, actions),
            None if self.by_node.contains_key(&node) => {
                self.waiting.entry(node).or_default().push_back(attempt);
            }
            None => actions.push(PoolAction::NeverSent(attempt)),
        }
    }

    /// Returns an idle link that may be used now and has not been idle for too long. The most recently used
    /// one is chosen, so that the others reach the idle timeout.
    fn ready_link(&self, now: f64, node: u32) -> Option<LinkId> {
        let ready = self.links_to(node).filter(|(_, l)| l.is_ready(now));
        let ready = ready.filter(|(_, l)| now - l.idle_since < self.idle_loss.limit());
        ready.max_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| id)
    }

    /// Closes the link that has been idle for longest, of any node that no attempt waits for.
    fn evict_idle(&mut self, actions: &mut Vec<PoolAction>) -> bool {
        let evictable = |l: &Link| l.is_idle() && !self.waiting.contains_key(&l.node);
        let idle = self.links.iter().filter(|(_, l)| evictable(l));
        let oldest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| *id);
        let Some(link) = oldest else { return false };
        self.remove(link);
        actions.push(PoolAction::Close(link));
        true
    }

    fn open_link(&mut self, node: u32, actions: &mut Vec<PoolAction>) {
        let id = self.next_id;
        self.next_id += 1;
        self.by_node.entry(node).or_default().insert(id);
        self.links.insert(
            id,
            Link {
                node,
                state: State::Opening,
                in_flight: VecDeque::new(),
                idle_since: 0.0,
                idle_before_use_ms: 0.0,
                was_used: false,
                has_replied: false,
            },
        );
        actions.push(PoolAction::Open(id, node));
    }

    fn write_on(&mut self, now: f64, link: LinkId, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(l) = self.links.get_mut(&link) {
            if l.in_flight.is_empty() {
                l.idle_before_use_ms = if l.was_used { now - l.idle_since } else { 0.0 };
                l.was_used = true;
            }
            l.in_flight.push_back(Some(attempt));
            self.link_of.insert(attempt, link);
            actions.push(PoolAction::Write(link, attempt));
        }
    }

    /// A link was opened.
    pub fn link_opened(&mut self, now: f64, link: LinkId, actions: &mut Vec<PoolAction>) {
        let Some(l) = self.links.get_mut(&link) else { return actions.push(PoolAction::Close(link)) };
        (l.state, l.idle_since) = (State::Open, now);
        self.write_next_waiting(now, link, actions);
    }

    /// Whether a link is still being opened.
    pub fn is_opening(&self, link: LinkId) -> bool {
        self.links.get(&link).is_some_and(|l| l.state == State::Opening)
    }

    /// A link could not be opened: one attempt that waited for it was never sent, unless another link will
    /// carry it.
    pub fn open_failed(&mut self, link: LinkId, actions: &mut Vec<PoolAction>) {
        let Some(l) = self.remove(link) else { return };
        self.end_unserved(l.node, actions);
    }

    /// Ends attempts for which neither an open link nor one being opened is left.
    fn end_unserved(&mut self, node: u32, actions: &mut Vec<PoolAction>) {
        let opening = self.opening_to(node);
        let busy = self.links_to(node).any(|(_, l)| l.state == State::Open);
        let Some(waiting) = self.waiting.get_mut(&node) else { return };
        while waiting.len() > opening && !busy {
            actions.extend(waiting.pop_front().map(PoolAction::NeverSent));
        }
        if waiting.is_empty() {
            self.waiting.remove(&node);
        }
    }

    fn write_next_waiting(&mut self, now: f64, link: LinkId, actions: &mut Vec<PoolAction>) {
        let Some(node) = self.links.get(&link).map(|l| l.node) else { return };
        let Some(waiting) = self.waiting.get_mut(&node) else { return };
        let first = waiting.pop_front();
        if waiting.is_empty() {
            self.waiting.remove(&node);
        }
        if let Some(attempt) = first {
            self.write_on(now, link, attempt, actions);
        }
    }

    /// A reply arrived on a link. Returns the attempt it belongs to, unless that attempt was abandoned.
    pub fn reply_received(&mut self, now: f64, link: LinkId) -> Option<AttemptId> {
        let l = self.links.get_mut(&link)?;
        if l.in_flight.len() == 1 {
            self.idle_loss.record(l.idle_before_use_ms, false);
        }
        let owner = l.in_flight.pop_front().flatten();
        (l.idle_since, l.has_replied) = (now, true);
        let (idle, node) = (l.in_flight.is_empty(), l.node);
        if let Some(attempt) = owner {
            self.link_of.remove(&attempt);
        }
        if idle && self.waiting.contains_key(&node) {
            self.quiet_until.push_back((now + QUIET_MS, link));
        }
        owner
    }

    /// Time at which the next link that attempts wait for may be used.
    pub fn next_due(&self) -> Option<f64> {
        self.quiet_until.front().map(|(at, _)| *at)
    }

    /// Writes waiting attempts on the links that may be used by now.
    pub fn on_timer(&mut self, now: f64, actions: &mut Vec<PoolAction>) {
        while let Some((_, link)) = self.quiet_until.front().copied().filter(|(at, _)| now >= *at) {
            self.quiet_until.pop_front();
            if self.links.get(&link).is_some_and(|l| l.is_ready(now)) {
                self.write_next_waiting(now, link, actions);
            }
        }
    }

    /// A link turned out to be unusable before anything of the attempt was written: the attempt is assigned
    /// anew.
    ///
    /// The pool may no longer hold the link. The attempt must be assigned anew in that case too, since
    /// nothing else refers to it.
    pub fn write_rejected(
        &mut self,
        now: f64,
        link: LinkId,
        node: u32,
        attempt: AttemptId,
        actions: &mut Vec<PoolAction>,
    ) {
        self.link_of.remove(&attempt);
        if let Some(l) = self.links.get_mut(&link) {
            l.in_flight.retain(|a| *a != Some(attempt));
            if l.in_flight.is_empty() {
                self.remove(link);
                actions.push(PoolAction::Close(link));
            } else {
                l.state = State::Retired;
            }
        }
        self.send(now, node, attempt, actions);
    }

    /// The link that carries an attempt, and the number of commands behind it there.
    pub fn position_of(&self, attempt: AttemptId) -> Option<(LinkId, usize)> {
        let link = *self.link_of.get(&attempt)?;
        let in_flight = &self.links.get(&link)?.in_flight;
        let position = in_flight.iter().position(|a| *a == Some(attempt))?;
        Some((link, in_flight.len() - 1 - position))
    }

    /// The attempts written on links of a node, without abandoned ones.
    pub fn attempts_on(&self, node: u32) -> Vec<AttemptId> {
        self.links_to(node).flat_map(|(_, l)| l.in_flight.iter().flatten()).copied().collect()
    }

    /// The attempts among the last `commands` commands written on a link. Abandoned commands are counted but
    /// not returned.
    pub fn last_written(&self, link: LinkId, commands: usize) -> Vec<AttemptId> {
        let in_flight = self.links.get(&link).map(|l| &l.in_flight);
        in_flight.into_iter().flat_map(|queue| queue.iter().rev().take(commands)).copied().flatten().collect()
    }

    /// Ends the attempts that wait for a link to a node whose state has changed; they were never sent.
    ///
    /// A link may open late. An attempt that waited for it would be sent on an outdated decision: to a node
    /// that is draining, was replaced or is cold after a restart.
    pub fn cancel_waiting(&mut self, node: u32, actions: &mut Vec<PoolAction>) {
        actions.extend(self.waiting.remove(&node).into_iter().flatten().map(PoolAction::NeverSent));
    }

    /// Removes an attempt of which nothing was sent from its link.
    pub fn retract(&mut self, now: f64, link: LinkId, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        self.link_of.remove(&attempt);
        let Some(l) = self.links.get_mut(&link) else { return };
        l.in_flight.retain(|a| *a != Some(attempt));
        let node = l.node;
        if l.is_ready(now) {
            self.write_next_waiting(now, link, actions);
        } else if l.is_idle() && self.waiting.contains_key(&node) {
            self.quiet_until.push_back((now + QUIET_MS, link));
        }
    }

    /// Whether a link carries at most one attempt that was not abandoned.
    pub fn is_unshared(&self, link: LinkId) -> bool {
        self.links.get(&link).is_none_or(|l| l.in_flight.iter().flatten().count() <= 1)
    }

    /// A link was closed. Returns the attempts that were in flight on it, in order.
    pub fn link_closed(&mut self, link: LinkId, actions: &mut Vec<PoolAction>) -> Vec<AttemptId> {
        let Some(l) = self.remove(link) else { return Vec::new() };
        if l.in_flight.len() == 1 {
            self.idle_loss.record(l.idle_before_use_ms, true);
        }
        let lost: Vec<AttemptId> = l.in_flight.into_iter().flatten().collect();
        self.link_of.retain(|attempt, _| !lost.contains(attempt));
        if self.waiting.contains_key(&l.node) && self.links.len() < self.capacity {
            // An attempt that waited for this link to become available gets a new one.
            if self.waiting.get(&l.node).map_or(0, VecDeque::len) > self.opening_to(l.node) {
                self.open_link(l.node, actions);
            }
        }
        self.end_unserved(l.node, actions);
        lost
    }

    /// Abandons an attempt. Its link is closed if it carries no other attempt, which notifies the node;
    /// otherwise the reply is discarded.
    pub fn abandon(&mut self, node: u32, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(link) = self.link_of.remove(&attempt) {
            let Some(l) = self.links.get_mut(&link) else { return };
            if l.in_flight.iter().filter(|a| a.is_some()).count() <= 1 {
                self.remove(link);
                actions.push(PoolAction::Close(link));
                return self.end_unserved(node, actions);
            }
            l.in_flight.iter_mut().filter(|a| **a == Some(attempt)).for_each(|a| *a = None);
        } else if let Some(waiting) = self.waiting.get_mut(&node) {
            waiting.retain(|a| *a != attempt);
            if waiting.is_empty() {
                self.waiting.remove(&node);
            }
        }
    }

    /// Closes the idle links of a node.
    pub fn close_idle(&mut self, node: u32, actions: &mut Vec<PoolAction>) {
        let idle = self.links_to(node).filter(|(_, l)| l.is_idle()).map(|(id, _)| id).collect();
        self.close_all(idle, actions);
    }

    /// Closes links that have been idle for almost as long as their node allows, or for longer than other
    /// links survived.
    pub fn close_expired(&mut self, now: f64, actions: &mut Vec<PoolAction>) {
        self.idle_loss.decay(now);
        let after = (self.settings.idle_timeout_ms * IDLE_TIMEOUT_FRACTION).min(self.idle_loss.limit());
        let idle = self.links.iter().filter(|(_, l)| l.is_idle() && now - l.idle_since >= after);
        let idle = idle.map(|(id, _)| *id).collect();
        self.close_all(idle, actions);
    }

    fn close_all(&mut self, links: Vec<LinkId>, actions: &mut Vec<PoolAction>) {
        for link in links {
            let removed = self.remove(link);
            actions.push(PoolAction::Close(link));
            removed.into_iter().for_each(|l| self.end_unserved(l.node, actions));
        }
    }

    /// The links of a node.
    fn links_to(&self, node: u32) -> impl Iterator<Item = (LinkId, &Link)> {
        let links = self.by_node.get(&node).into_iter().flatten();
        links.filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    /// Number of links of a node that are being opened.
    fn opening_to(&self, node: u32) -> usize {
        self.links_to(node).filter(|(_, l)| l.state == State::Opening).count()
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
