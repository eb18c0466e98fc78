//! What a scheduler remembers. Plain data: every decision on it is in `scheduler.rs`, those of envelopes in `envelope.rs`.

use crate::envelope::Envelopes;
use crate::interface::{NodeState, NodeEntry, Request};
use crate::node_age::{StartClock, UpSince};
use crate::scheduler::{FIRST_LIMIT, FIRST_SOJOURN};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A node as this host knows it.
pub(crate) struct Node {
    pub(crate) e: NodeEntry,
    pub(crate) up_since: UpSince,
    pub(crate) envelopes: Envelopes,
    pub(crate) held: Vec<u32>,
    pub(crate) out: usize,
    pub(crate) in_flight_limit: f64,
    pub(crate) sojourn: f64,
    pub(crate) last_word: f64,
    /// When the last attempt was sent, and the latest of those that were answered.
    pub(crate) last_sent: f64,
    pub(crate) heard: f64,
    /// How long an attempt waited in vain with none sent later answered, and when that was known.
    pub(crate) waited: f64,
    pub(crate) waited_at: f64,
    pub(crate) rest_until: f64,
    /// Moments in a row at which connections failed, and the last of them.
    pub(crate) failures: u32,
    pub(crate) last_failure: f64,
    pub(crate) last_key: u64,
    pub(crate) run: u32,
    /// What its shard usually serves this host, and the tokens for it while it is cold.
    pub(crate) usual_units: f64,
    pub(crate) cold_tokens: f64,
    pub(crate) cold_at: f64,
    /// Its answer times of late, as multiples of its classes' paces.
    pub(crate) slowness: f64,
    /// Load last reported, when, and the mean of late.
    pub(crate) load: f64,
    pub(crate) usual_load: f64,
    pub(crate) load_at: f64,
    pub(crate) gone_at: f64,
}

impl Node {
    /// One that nothing is known of; `aim` is the tightest of all classes.
    pub(crate) fn new(e: NodeEntry, now: f64, up_since: UpSince, aim: f64) -> Self {
        let (envelopes, sojourn) = (Envelopes::new(now), FIRST_SOJOURN * aim);
        let in_flight_limit = FIRST_LIMIT;
        Node {
            e,
            up_since,
            envelopes,
            held: Vec::new(),
            out: 0,
            in_flight_limit,
            sojourn,
            last_word: now,
            last_sent: 0.0,
            heard: 0.0,
            waited: 0.0,
            waited_at: 0.0,
            rest_until: now,
            failures: 0,
            last_failure: 0.0,
            last_key: 0,
            run: 0,
            usual_units: 0.0,
            cold_tokens: 0.0,
            cold_at: 0.0,
            slowness: 0.0,
            load: 0.0,
            usual_load: 0.0,
            load_at: 0.0,
            gone_at: 0.0,
        }
    }

    /// Time since its last start; without end where that was long ago.
    pub(crate) fn age(&self, now: f64) -> f64 {
        now - self.up_since.at_ms
    }
}

/// A count that fades over a span.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    pub(crate) value: f64,
    pub(crate) at: f64,
}

impl Fading {
    pub(crate) fn add(&mut self, now: f64, amount: f64, span: f64) {
        self.value = self.faded(now, span) + amount;
        self.at = now;
    }

    /// What is left of it now.
    pub(crate) fn faded(&self, now: f64, span: f64) -> f64 {
        self.value * (-(now - self.at).max(0.0) / span).exp()
    }
}

/// Straight line through pairs, the older counting less.
#[derive(Default)]
pub(crate) struct Fit {
    pub(crate) seen: u32,
    pub(crate) x: f64,
    pub(crate) y: f64,
    pub(crate) xx: f64,
    pub(crate) xy: f64,
}

impl Fit {
    pub(crate) fn add(&mut self, x: f64, y: f64, blend: f64) {
        self.seen = self.seen.saturating_add(1);
        let part = blend.max(1.0 / f64::from(self.seen));
        for (mean, value) in
            [(&mut self.x, x), (&mut self.y, y), (&mut self.xx, x * x), (&mut self.xy, x * y)]
        {
            *mean += part * (value - *mean);
        }
    }

    /// Never falling, nor so steep that it starts below zero.
    pub(crate) fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x;
        if spread > 1e-6 * self.xx {
            ((self.xy - self.x * self.y) / spread).min(self.y / self.x).max(0.0)
        } else {
            0.0
        }
    }
}

#[derive(Default)]
pub(crate) struct Held {
    pub(crate) q: Request,
    pub(crate) arrived: f64,
    pub(crate) node: Option<u32>,
    pub(crate) number: u64,
    pub(crate) tries: u32,
    pub(crate) outstanding: u32,
    /// Part of full worth that its volume's standing gave it.
    pub(crate) grade: f64,
    /// Drawn once; where only a part of all requests may be sent, those with the lower lots are.
    pub(crate) lot: f64,
    pub(crate) charged: bool,
    /// When the latest attempt was sent, and before when no further one goes.
    pub(crate) sent: f64,
    pub(crate) not_before: f64,
    /// Whether it has had its second attempt beside another.
    pub(crate) doubled: bool,
    /// First send that may have run, with the node's shard and zone.
    pub(crate) may_have_run: Option<(f64, u16, u16)>,
}

/// This host's part of a volume's limit: over how many hosts it would be an even one, up to a moment and after it; of
/// the rate, and of what may be stored.
#[derive(Clone, Copy)]
pub(crate) struct Share {
    pub(crate) rate_divisor: f64,
    pub(crate) burst_divisor: f64,
    pub(crate) floor_divisor: f64,
    pub(crate) until_ms: f64,
    /// What of it is used; the rest covers clocks and rounding.
    pub(crate) used: f64,
}

impl Share {
    pub(crate) fn for_good(rate_divisor: f64, used: f64) -> Self {
        Share { rate_divisor, burst_divisor: rate_divisor, floor_divisor: rate_divisor, until_ms: f64::INFINITY, used }
    }

    /// Hosts for the rate, and for what may be stored.
    pub(crate) fn hosts_at(&self, now: f64) -> (f64, f64) {
        if now < self.until_ms {
            (self.rate_divisor, self.burst_divisor)
        } else {
            (self.floor_divisor, self.floor_divisor)
        }
    }

    /// The time between two moments as it lies before and after the change: hosts, hosts, milliseconds.
    pub(crate) fn stretches(&self, from: f64, to: f64) -> [(f64, f64, f64); 2] {
        let over = self.until_ms.max(from);
        let (before, after) = (self.hosts_at(from), self.hosts_at(to));
        [(before.0, before.1, (to.min(over) - from).max(0.0)), (after.0, after.1, (to - over).max(0.0))]
    }
}

#[derive(Default)]
pub(crate) struct Volume {
    pub(crate) reserve: f64,
    pub(crate) share: f64,
    pub(crate) reserve_at: f64,
    pub(crate) tokens: f64,
    pub(crate) tokens_at: f64,
    /// Units of requests that wait and were not drawn yet.
    pub(crate) owed: f64,
    pub(crate) own: Fading,
    pub(crate) part: f64,
    pub(crate) seen: f64,
}

pub(crate) struct Flight {
    pub(crate) node: u32,
    pub(crate) sent: f64,
    pub(crate) units: f64,
    pub(crate) class: usize,
    pub(crate) lane: u64,
    pub(crate) shard: u16,
    pub(crate) zone: u16,
    pub(crate) given_up: bool,
}

/// Requests of ordered classes on one data item.
#[derive(Default)]
pub(crate) struct Lane {
    pub(crate) queue: VecDeque<u32>,
    pub(crate) outstanding: u32,
    pub(crate) rest_until: f64,
}

/// Numbers from the seed alone (splitmix64).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// A number in [0, 1).
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) as f64 / 2f64.powi(64)
    }
}

/// All that an instance keeps count of.
#[derive(Default)]
pub(crate) struct Books {
    pub(crate) nodes: BTreeMap<u32, Node>,
    /// The nodes of each shard, those that are gone and not forgotten included.
    pub(crate) by_shard: BTreeMap<u16, BTreeSet<u32>>,
    pub(crate) requests: BTreeMap<u32, Held>,
    /// Held requests for which no node is known.
    pub(crate) unplaced: Vec<u32>,
    pub(crate) flights: BTreeMap<(u32, u16), Flight>,
    pub(crate) volumes: BTreeMap<u64, Volume>,
    /// Parts of volumes' limits that the fleet lent.
    pub(crate) lent: BTreeMap<u64, Share>,
    pub(crate) lanes: BTreeMap<u64, Lane>,
    /// When requests were taken, and further attempts sent.
    pub(crate) taken: VecDeque<f64>,
    pub(crate) extras: VecDeque<f64>,
    /// Units that each shard served this host of late, and those that it was asked.
    pub(crate) usual: BTreeMap<u16, Fading>,
    pub(crate) asked: Fading,
    /// Shards that the list names.
    pub(crate) shards: f64,
    pub(crate) start_clock: StartClock,
    /// When the first list came.
    pub(crate) since: Option<f64>,
    pub(crate) fit: Fit,
    /// For each class, what the fit leaves of its answer times.
    pub(crate) offsets: Vec<f64>,
    /// The same of nodes that are long up.
    pub(crate) paces: Vec<f64>,
    /// Part of overdue attempts, of late, that never had an answer.
    pub(crate) lost: f64,
    pub(crate) ticking: bool,
    pub(crate) last_event: f64,
    /// The last time the host stood still: from, to.
    pub(crate) stalled: (f64, f64),
    pub(crate) watch_failures: u32,
    pub(crate) swept: f64,
}

impl Books {
    /// Puts a node in, under its number; what stood there before comes back.
    pub(crate) fn insert_node(&mut self, node: Node) -> Option<Node> {
        let (id, shard) = (node.e.node, node.e.shard);
        let old = self.nodes.insert(id, node);
        if let Some(before) = old.as_ref().map(|o| o.e.shard).filter(|s| *s != shard) {
            self.remove_from_shard(before, id);
        }
        self.by_shard.entry(shard).or_default().insert(id);
        old
    }

    /// Nodes of a shard that take requests.
    pub(crate) fn ready_in_shard(&self, shard: u16) -> usize {
        let nodes = self.by_shard.get(&shard).into_iter().flatten().filter_map(|id| self.nodes.get(id));
        nodes.filter(|n| n.e.state == NodeState::Ready).count()
    }

    /// Forgets the nodes that are not to be kept.
    pub(crate) fn retain_nodes(&mut self, keep: impl Fn(&Node) -> bool) {
        let forgotten: Vec<(u16, u32)> =
            self.nodes.values().filter(|n| !keep(n)).map(|n| (n.e.shard, n.e.node)).collect();
        for (shard, id) in forgotten {
            self.nodes.remove(&id);
            self.remove_from_shard(shard, id);
        }
    }

    /// The clock was found to be further ahead: the stated starts of the first list are judged anew.
    pub(crate) fn correct_starts(&mut self, now: f64) {
        let clock = &self.start_clock;
        let stated = |n: &&mut Node| n.up_since.is_stated && n.up_since.at_ms.is_finite();
        for n in self.nodes.values_mut().filter(stated) {
            n.up_since.at_ms = clock.corrected(now, n.e.started_ms);
        }
    }

    fn remove_from_shard(&mut self, shard: u16, id: u32) {
        if let Some(nodes) = self.by_shard.get_mut(&shard) {
            nodes.remove(&id);
            if nodes.is_empty() {
                self.by_shard.remove(&shard);
            }
        }
    }

    /// A node is no longer ready; what was held for it has no node. One that is gone stays so.
    pub(crate) fn set_state(&mut self, now: f64, node: u32, state: NodeState) {
        let Some(n) = self.nodes.get_mut(&node) else { return };
        if n.e.state == NodeState::Gone {
            return;
        }
        n.e.state = state;
        n.gone_at = now;
        self.unplaced.append(&mut n.held);
    }

    /// Takes a request off the books.
    pub(crate) fn end(&mut self, id: u32) {
        let Some(r) = self.requests.remove(&id) else { return };
        if let Some(v) = self.volumes.get_mut(&r.q.volume).filter(|_| !r.charged) {
            v.owed = (v.owed - r.q.units).max(0.0);
        }
        self.unplaced.retain(|u| *u != id);
        if let Some(n) = r.node.and_then(|n| self.nodes.get_mut(&n)) {
            if let Some(e) = n.envelopes.of_class(usize::from(r.q.class)) {
                e.ended(r.number);
            }
            n.held.retain(|h| *h != id);
        }
        if let Some(lane) = self.lanes.get_mut(&r.q.key) {
            lane.queue.retain(|q| *q != id);
        }
    }
}
