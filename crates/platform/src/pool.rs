//! Selects the connection to a node that carries an attempt. No I/O and no clock: the caller passes times in
//! milliseconds.
//!
//! A connection to a node is called a link. The protocol matches replies to commands by their order alone, and
//! an attempt can only be cancelled by closing its link. A link therefore carries one command at a time:
//! surplus data before the next command shows that the link must not be used again, and closing it ends
//! exactly one attempt. The number of links limits the attempts in flight; the scheduler is told that limit
//! ([`Pool::capacity`]) and keeps requests waiting beyond it.

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
    /// Open, without a command in flight.
    Idle,
    /// Carries the command of an attempt.
    Busy(AttemptId),
}

#[derive(Debug)]
struct Link {
    node: u32,
    state: State,
    idle_since: f64,
    /// How long the link had been idle when it last went from idle to in use; 0 for a new link.
    idle_before_use_ms: f64,
    /// Whether a reply has arrived on the link.
    has_replied: bool,
}

impl Link {
    /// Whether the link is idle and may carry a command now.
    fn is_ready(&self, now: f64) -> bool {
        self.state == State::Idle && (!self.has_replied || now - self.idle_since >= QUIET_MS)
    }
}

/// The links of a host to its nodes.
#[derive(Debug)]
pub struct Pool {
    settings: LinkSettings,
    capacity: usize,
    /// Idle links make room for new ones beyond this number of links.
    kept_links: usize,
    next_id: LinkId,
    links: BTreeMap<LinkId, Link>,
    /// The links of each node that has any.
    by_node: HashMap<u32, BTreeSet<LinkId>>,
    /// Attempts of each node that wait for a link to open or to become available.
    waiting: BTreeMap<u32, VecDeque<AttemptId>>,
    /// Attempts for which there was no room for a link, with their nodes, in order.
    without_room: VecDeque<(u32, AttemptId)>,
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
            kept_links: capacity.max(1),
            next_id: 0,
            links: BTreeMap::new(),
            by_node: HashMap::new(),
            waiting: BTreeMap::new(),
            without_room: VecDeque::new(),
            link_of: HashMap::new(),
            quiet_until: VecDeque::new(),
            idle_loss: IdleLoss::default(),
        }
    }

    /// Lets idle links make room for new ones beyond a number of links that is below the capacity. Nodes hold
    /// only so many connections of all hosts.
    pub fn with_kept_links(self, kept_links: usize) -> Pool {
        Pool { kept_links: kept_links.max(1), ..self }
    }

    /// Number of links, including those being opened.
    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Maximum number of links, which is also the maximum number of attempts that are in flight at once.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Assigns an attempt to a link of its node. Beyond the capacity it waits until there is room.
    pub fn send(&mut self, now: f64, node: u32, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(link) = self.ready_link(now, node) {
            return self.write_on(now, link, attempt, actions);
        }
        self.evict_excess(self.capacity.min(self.kept_links) - 1, actions);
        if self.links.len() < self.capacity {
            self.waiting.entry(node).or_default().push_back(attempt);
            return self.open_link(node, actions);
        }
        self.without_room.push_back((node, attempt));
    }

    /// Returns an idle link that may be used now and has not been idle for too long. The most recently used
    /// one is chosen, so that the others reach the idle timeout.
    fn ready_link(&self, now: f64, node: u32) -> Option<LinkId> {
        let ready = self.links_to(node).filter(|(_, l)| l.is_ready(now));
        let ready = ready.filter(|(_, l)| now - l.idle_since < self.idle_loss.limit());
        ready.max_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| id)
    }

    /// Closes the link that has been idle for longest and that no attempt waits for, or else one that opens
    /// although its attempt is gone. Returns whether there was one.
    fn evict_unneeded(&mut self, actions: &mut Vec<PoolAction>) -> bool {
        let awaits_idle = |node: u32| self.waiting_for(node) > self.opening_to(node);
        let idle = self.links.iter().filter(|(_, l)| l.state == State::Idle && !awaits_idle(l.node));
        let oldest = idle.min_by(|a, b| a.1.idle_since.total_cmp(&b.1.idle_since)).map(|(id, _)| *id);
        let is_superfluous =
            |l: &Link| l.state == State::Opening && self.opening_to(l.node) > self.waiting_for(l.node);
        let superfluous = || self.links.iter().find(|(_, l)| is_superfluous(l)).map(|(id, _)| *id);
        let Some(link) = oldest.or_else(superfluous) else { return false };
        self.remove(link);
        actions.push(PoolAction::Close(link));
        true
    }

    /// Closes links that nothing needs, as long as there are more than `kept`.
    fn evict_excess(&mut self, kept: usize, actions: &mut Vec<PoolAction>) {
        while self.links.len() > kept && self.evict_unneeded(actions) {}
    }

    /// Changes the maximum number of links. Those beyond it are closed once nothing needs them.
    pub fn set_capacity(&mut self, now: f64, capacity: usize, actions: &mut Vec<PoolAction>) {
        self.capacity = capacity.max(1);
        self.assign_without_room(now, actions);
    }

    /// Closes links beyond the capacity, and assigns attempts that had no room for a link while there is room.
    fn assign_without_room(&mut self, now: f64, actions: &mut Vec<PoolAction>) {
        self.evict_excess(self.capacity, actions);
        for _ in 0..self.without_room.len() {
            let Some((node, attempt)) = self.without_room.pop_front() else { return };
            let waiting_before = self.without_room.len();
            self.send(now, node, attempt, actions);
            if self.without_room.len() > waiting_before {
                // There is still no room: the attempt keeps its place in the order.
                self.without_room.rotate_right(1);
                return;
            }
        }
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
                idle_since: 0.0,
                idle_before_use_ms: 0.0,
                has_replied: false,
            },
        );
        actions.push(PoolAction::Open(id, node));
    }

    fn write_on(&mut self, now: f64, link: LinkId, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(l) = self.links.get_mut(&link) {
            l.idle_before_use_ms = if l.has_replied { now - l.idle_since } else { 0.0 };
            l.state = State::Busy(attempt);
            self.link_of.insert(attempt, link);
            actions.push(PoolAction::Write(link, attempt));
        }
    }

    /// A link was opened.
    pub fn link_opened(&mut self, now: f64, link: LinkId, actions: &mut Vec<PoolAction>) {
        let Some(l) = self.links.get_mut(&link) else { return actions.push(PoolAction::Close(link)) };
        (l.state, l.idle_since) = (State::Idle, now);
        self.write_next_waiting(now, link, actions);
        self.assign_without_room(now, actions);
    }

    /// Whether a link is still being opened.
    pub fn is_opening(&self, link: LinkId) -> bool {
        self.links.get(&link).is_some_and(|l| l.state == State::Opening)
    }

    /// A link could not be opened: one attempt that waited for it was never sent, unless another link will
    /// carry it.
    pub fn open_failed(&mut self, now: f64, link: LinkId, actions: &mut Vec<PoolAction>) {
        let Some(l) = self.remove(link) else { return };
        self.end_unserved(now, l.node, actions);
        self.assign_without_room(now, actions);
    }

    /// Ends attempts for which neither an open link nor one being opened is left. Others wait until an open
    /// link may be used.
    fn end_unserved(&mut self, now: f64, node: u32, actions: &mut Vec<PoolAction>) {
        let opening = self.opening_to(node);
        if self.waiting_for(node) <= opening {
            return;
        }
        if self.links_to(node).any(|(_, l)| l.state != State::Opening) {
            // An idle link may have been answered before anything waited for it.
            let idle = self.links_to(node).filter(|(_, l)| l.state == State::Idle).map(|(id, _)| id);
            let idle: Vec<LinkId> = idle.collect();
            idle.into_iter().for_each(|link| self.note_quiet(now, link));
            return;
        }
        let Some(waiting) = self.waiting.get_mut(&node) else { return };
        while waiting.len() > opening {
            actions.extend(waiting.pop_front().map(PoolAction::NeverSent));
        }
        if waiting.is_empty() {
            self.waiting.remove(&node);
        }
    }

    /// Notes that attempts wait for an idle link of their node, which may be used after its quiet time.
    fn note_quiet(&mut self, now: f64, link: LinkId) {
        self.quiet_until.push_back((now + QUIET_MS, link));
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

    /// A reply arrived on a link. Returns the attempt it belongs to.
    pub fn reply_received(
        &mut self,
        now: f64,
        link: LinkId,
        actions: &mut Vec<PoolAction>,
    ) -> Option<AttemptId> {
        let l = self.links.get_mut(&link)?;
        let State::Busy(attempt) = l.state else { return None };
        self.idle_loss.record(l.idle_before_use_ms, false);
        (l.state, l.idle_since, l.has_replied) = (State::Idle, now, true);
        let node = l.node;
        self.link_of.remove(&attempt);
        if self.waiting.contains_key(&node) {
            self.note_quiet(now, link);
        }
        self.assign_without_room(now, actions);
        Some(attempt)
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
        self.assign_without_room(now, actions);
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
        if self.remove(link).is_some() {
            actions.push(PoolAction::Close(link));
        }
        self.send(now, node, attempt, actions);
    }

    /// The link that carries an attempt.
    pub fn link_of(&self, attempt: AttemptId) -> Option<LinkId> {
        self.link_of.get(&attempt).copied()
    }

    /// The attempts written on links of a node.
    pub fn attempts_on(&self, node: u32) -> Vec<AttemptId> {
        let attempt_of = |l: &Link| if let State::Busy(attempt) = l.state { Some(attempt) } else { None };
        self.links_to(node).filter_map(|(_, l)| attempt_of(l)).collect()
    }

    /// Ends the attempts that wait for a link to a node whose state has changed; they were never sent.
    ///
    /// A link may open late. An attempt that waited for it would be sent on an outdated decision: to a node
    /// that is draining, was replaced or is cold after a restart.
    pub fn cancel_waiting(&mut self, node: u32, actions: &mut Vec<PoolAction>) {
        actions.extend(self.waiting.remove(&node).into_iter().flatten().map(PoolAction::NeverSent));
        let without_room = self.without_room.iter().filter(|(n, _)| *n == node);
        actions.extend(without_room.map(|(_, attempt)| PoolAction::NeverSent(*attempt)));
        self.without_room.retain(|(n, _)| *n != node);
    }

    /// Removes an attempt of which nothing was sent from its link, which may carry another one.
    pub fn retract(&mut self, now: f64, link: LinkId, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        self.link_of.remove(&attempt);
        let Some(l) = self.links.get_mut(&link).filter(|l| l.state == State::Busy(attempt)) else { return };
        l.state = State::Idle;
        let node = l.node;
        if l.is_ready(now) {
            self.write_next_waiting(now, link, actions);
        } else if self.waiting.contains_key(&node) {
            self.note_quiet(now, link);
        }
        self.assign_without_room(now, actions);
    }

    /// A link was closed. Returns the attempt that was in flight on it.
    pub fn link_closed(
        &mut self,
        now: f64,
        link: LinkId,
        actions: &mut Vec<PoolAction>,
    ) -> Option<AttemptId> {
        let l = self.remove(link)?;
        let lost = if let State::Busy(attempt) = l.state { Some(attempt) } else { None };
        if let Some(attempt) = lost {
            self.idle_loss.record(l.idle_before_use_ms, true);
            self.link_of.remove(&attempt);
        }
        if self.waiting_for(l.node) > self.opening_to(l.node) && self.links.len() < self.capacity {
            // An attempt that waited for this link to become available gets a new one.
            self.open_link(l.node, actions);
        }
        self.end_unserved(now, l.node, actions);
        self.assign_without_room(now, actions);
        lost
    }

    /// Abandons an attempt. The link that carries it is closed, which notifies the node.
    pub fn abandon(&mut self, now: f64, node: u32, attempt: AttemptId, actions: &mut Vec<PoolAction>) {
        if let Some(link) = self.link_of.remove(&attempt) {
            if self.remove(link).is_some() {
                actions.push(PoolAction::Close(link));
                self.end_unserved(now, node, actions);
            }
        } else {
            self.without_room.retain(|(_, a)| *a != attempt);
            if let Some(waiting) = self.waiting.get_mut(&node) {
                waiting.retain(|a| *a != attempt);
                if waiting.is_empty() {
                    self.waiting.remove(&node);
                }
            }
        }
        self.assign_without_room(now, actions);
    }

    /// Closes the idle links of a node.
    pub fn close_idle(&mut self, now: f64, node: u32, actions: &mut Vec<PoolAction>) {
        let idle = self.links_to(node).filter(|(_, l)| l.state == State::Idle).map(|(id, _)| id).collect();
        self.close_all(now, idle, actions);
    }

    /// Closes links that have been idle for almost as long as their node allows, or for longer than other
    /// links survived.
    pub fn close_expired(&mut self, now: f64, actions: &mut Vec<PoolAction>) {
        self.idle_loss.decay(now);
        let after = (self.settings.idle_timeout_ms * IDLE_TIMEOUT_FRACTION).min(self.idle_loss.limit());
        let is_expired = |l: &Link| l.state == State::Idle && now - l.idle_since >= after;
        let expired = self.links.iter().filter(|(_, l)| is_expired(l)).map(|(id, _)| *id).collect();
        self.close_all(now, expired, actions);
    }

    fn close_all(&mut self, now: f64, links: Vec<LinkId>, actions: &mut Vec<PoolAction>) {
        for link in links {
            let removed = self.remove(link);
            actions.push(PoolAction::Close(link));
            removed.into_iter().for_each(|l| self.end_unserved(now, l.node, actions));
        }
        self.assign_without_room(now, actions);
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

    /// Number of attempts that wait for a link of a node.
    fn waiting_for(&self, node: u32) -> usize {
        self.waiting.get(&node).map_or(0, VecDeque::len)
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
