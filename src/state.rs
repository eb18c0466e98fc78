//! The data that a scheduler keeps between events.
//!
//! Decisions on it are in `scheduler.rs`, those on envelopes in `envelope.rs`.

use crate::envelope::Envelopes;
use crate::interface::{NodeEntry, NodeState, Request};
use crate::node_age::{StartClock, UpSince};
use crate::scheduler::{INITIAL_IN_FLIGHT_LIMIT, INITIAL_RESPONSE_TIME_RATIO};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A node as this host sees it; times are milliseconds of the caller's clock.
pub(crate) struct Node {
    pub(crate) entry: NodeEntry,
    pub(crate) up_since: UpSince,
    pub(crate) envelopes: Envelopes,
    /// Requests that were admitted for this node and have no attempt in flight.
    pub(crate) queued: Vec<u32>,
    /// Attempts in flight at this node.
    pub(crate) in_flight: usize,
    pub(crate) in_flight_limit: f64,
    /// Moving average of the time from a send to its response.
    pub(crate) response_time_ms: f64,
    pub(crate) last_response_at: f64,
    pub(crate) last_sent_at: f64,
    /// When the latest of the answered attempts was sent.
    pub(crate) answered_send_at: f64,
    /// How long an attempt waited in vain while nothing that was sent later was answered.
    pub(crate) unanswered_wait_ms: f64,
    /// When that wait ended.
    pub(crate) unanswered_wait_at: f64,
    pub(crate) backoff_until: f64,
    /// Consecutive connection failures; failures of one moment count once.
    pub(crate) connection_failures: u32,
    pub(crate) last_failure_at: f64,
    /// The data item of the last send.
    pub(crate) last_key: u64,
    /// Requests of that item that were sent in a row after the first.
    pub(crate) same_key_run: u32,
    /// Units that its shard usually serves for this host, divided by the nodes that served them.
    pub(crate) usual_shard_units: f64,
    /// Tokens, in units, that limit what is sent to the node while it is cold.
    pub(crate) cold_tokens: f64,
    pub(crate) cold_tokens_at: f64,
    /// Moving average of its response times, as multiples of what warm nodes take for the same class.
    pub(crate) response_time_ratio: f64,
    /// The last reported load: requests at the node times their service time.
    pub(crate) reported_load: f64,
    pub(crate) mean_reported_load: f64,
    pub(crate) reported_at: f64,
    pub(crate) gone_at: f64,
}

impl Node {
    /// Returns a node of which nothing is known yet.
    pub(crate) fn new(entry: NodeEntry, now: f64, up_since: UpSince, tightest_aim_ms: f64) -> Self {
        let (envelopes, response_time_ms) =
            (Envelopes::new(now), INITIAL_RESPONSE_TIME_RATIO * tightest_aim_ms);
        let in_flight_limit = INITIAL_IN_FLIGHT_LIMIT;
        Node {
            entry,
            up_since,
            envelopes,
            queued: Vec::new(),
            in_flight: 0,
            in_flight_limit,
            response_time_ms,
            last_response_at: now,
            last_sent_at: 0.0,
            answered_send_at: 0.0,
            unanswered_wait_ms: 0.0,
            unanswered_wait_at: 0.0,
            backoff_until: now,
            connection_failures: 0,
            last_failure_at: 0.0,
            last_key: 0,
            same_key_run: 0,
            usual_shard_units: 0.0,
            cold_tokens: 0.0,
            cold_tokens_at: 0.0,
            response_time_ratio: 0.0,
            reported_load: 0.0,
            mean_reported_load: 0.0,
            reported_at: 0.0,
            gone_at: 0.0,
        }
    }

    /// Returns the time since the last start; infinite where the node started long ago.
    pub(crate) fn age(&self, now: f64) -> f64 {
        now - self.up_since.at_ms
    }
}

/// A sum whose value decays exponentially with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct DecayingSum {
    pub(crate) value: f64,
    pub(crate) updated_at: f64,
}

impl DecayingSum {
    pub(crate) fn add(&mut self, now: f64, amount: f64, decay_ms: f64) {
        self.value = self.decayed(now, decay_ms) + amount;
        self.updated_at = now;
    }

    /// Returns the current value; `decay_ms` is the time in which it falls to 1/e.
    pub(crate) fn decayed(&self, now: f64, decay_ms: f64) -> f64 {
        self.value * (-(now - self.updated_at).max(0.0) / decay_ms).exp()
    }
}

/// A least-squares line through pairs of x and y in which older pairs weigh less.
#[derive(Default)]
pub(crate) struct LinearFit {
    pub(crate) samples: u32,
    pub(crate) mean_x: f64,
    pub(crate) mean_y: f64,
    pub(crate) mean_xx: f64,
    pub(crate) mean_xy: f64,
}

impl LinearFit {
    pub(crate) fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let sample_weight = weight.max(1.0 / f64::from(self.samples));
        for (mean, value) in [
            (&mut self.mean_x, x),
            (&mut self.mean_y, y),
            (&mut self.mean_xx, x * x),
            (&mut self.mean_xy, x * y),
        ] {
            *mean += sample_weight * (value - *mean);
        }
    }

    /// Returns the slope: never negative, and never so steep that the line falls below zero at x = 0.
    pub(crate) fn slope(&self) -> f64 {
        let variance = self.mean_xx - self.mean_x * self.mean_x;
        if variance > 1e-6 * self.mean_xx {
            ((self.mean_xy - self.mean_x * self.mean_y) / variance).min(self.mean_y / self.mean_x).max(0.0)
        } else {
            0.0
        }
    }
}

/// A request that has no final answer yet, queued or in flight.
#[derive(Default)]
pub(crate) struct RequestState {
    pub(crate) request: Request,
    pub(crate) arrived_at: f64,
    pub(crate) node: Option<u32>,
    /// The number under which the envelope of its class at its node counts it.
    pub(crate) envelope_number: u64,
    /// Attempts issued so far.
    pub(crate) attempts: u32,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// Fraction of full worth that it has by its volume's use of its reserve and share.
    pub(crate) worth_ratio: f64,
    /// A random number in [0, 1), drawn once. Where only a fraction of all requests may go to a cold node,
    /// those that drew less than the fraction do.
    pub(crate) draw: f64,
    /// Whether its units were taken from the volume's limit.
    pub(crate) limit_charged: bool,
    pub(crate) last_sent_at: f64,
    /// No retry is sent before this time.
    pub(crate) retry_not_before: f64,
    /// Whether it has had its hedged attempt.
    pub(crate) hedged: bool,
    /// When the first attempt that may have run was sent, and the shard and zone of its node.
    pub(crate) may_have_run: Option<(f64, u16, u16)>,
}

/// This host's share of a volume's limit, as a divisor of the whole for the rate and for the burst.
///
/// The first two divisors hold until `until_ms`, and `floor_divisor` holds for both from then on.
#[derive(Clone, Copy)]
pub(crate) struct LimitShare {
    pub(crate) rate_divisor: f64,
    pub(crate) burst_divisor: f64,
    pub(crate) floor_divisor: f64,
    pub(crate) until_ms: f64,
    /// Fraction of the rate that is used; the rest covers clock differences and rounding.
    pub(crate) usable_ratio: f64,
}

impl LimitShare {
    /// Returns a share that does not expire.
    pub(crate) fn permanent(rate_divisor: f64, usable_ratio: f64) -> Self {
        LimitShare {
            rate_divisor,
            burst_divisor: rate_divisor,
            floor_divisor: rate_divisor,
            until_ms: f64::INFINITY,
            usable_ratio,
        }
    }

    /// Returns the divisors of the rate and of the burst.
    pub(crate) fn divisors_at(&self, now: f64) -> (f64, f64) {
        if now < self.until_ms {
            (self.rate_divisor, self.burst_divisor)
        } else {
            (self.floor_divisor, self.floor_divisor)
        }
    }

    /// Splits the time between two moments at `until_ms`: rate divisor, burst divisor and milliseconds of
    /// each part.
    pub(crate) fn segments(&self, from: f64, to: f64) -> [(f64, f64, f64); 2] {
        let change = self.until_ms.max(from);
        let (before, after) = (self.divisors_at(from), self.divisors_at(to));
        [(before.0, before.1, (to.min(change) - from).max(0.0)), (after.0, after.1, (to - change).max(0.0))]
    }
}

/// What this host knows of a volume's use; tokens are in units.
#[derive(Default)]
pub(crate) struct Volume {
    /// Token bucket of the plan's reserve.
    pub(crate) reserve_tokens: f64,
    /// Token bucket of the volume's share by weight.
    pub(crate) share_tokens: f64,
    /// When these two buckets were last filled.
    pub(crate) standing_at: f64,
    /// Token bucket of the plan's limit.
    pub(crate) limit_tokens: f64,
    pub(crate) limit_tokens_at: f64,
    /// Units of requests that wait and have not been taken from the limit yet.
    pub(crate) queued_units: f64,
    /// Units that were requested through this host recently.
    pub(crate) own_units: DecayingSum,
    /// Estimated fraction of the volume's use that comes through this host.
    pub(crate) host_share_ratio: f64,
    pub(crate) last_seen_at: f64,
}

/// An attempt in flight.
pub(crate) struct Attempt {
    pub(crate) node: u32,
    pub(crate) sent_at: f64,
    pub(crate) units: f64,
    pub(crate) class: usize,
    /// The data item for an ordered class, otherwise 0.
    pub(crate) order_key: u64,
    pub(crate) shard: u16,
    pub(crate) zone: u16,
    /// Whether it was cancelled because its response is presumed lost.
    pub(crate) cancelled: bool,
}

/// Requests of ordered classes on one data item.
#[derive(Default)]
pub(crate) struct KeyQueue {
    /// In order of acceptance.
    pub(crate) requests: VecDeque<u32>,
    pub(crate) in_flight: u32,
    pub(crate) cooldown_until: f64,
}

/// A pseudo-random generator that depends on its seed alone (splitmix64).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    /// Returns the next number in [0, 1).
    pub(crate) fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) as f64 / 2f64.powi(64)
    }
}

/// All state of a scheduler instance but its settings.
#[derive(Default)]
pub(crate) struct SchedulerState {
    pub(crate) nodes: BTreeMap<u32, Node>,
    /// The nodes of each shard, including those that are gone and still remembered.
    pub(crate) nodes_by_shard: BTreeMap<u16, BTreeSet<u32>>,
    pub(crate) requests: BTreeMap<u32, RequestState>,
    /// Requests for which there is no ready node.
    pub(crate) unplaced: Vec<u32>,
    /// Attempts in flight by request and number.
    pub(crate) attempts: BTreeMap<(u32, u16), Attempt>,
    /// Maximum number of attempts in flight over all nodes, if there is one.
    pub(crate) attempt_limit: Option<usize>,
    pub(crate) volumes: BTreeMap<u64, Volume>,
    /// Shares of volumes' limits that were leased to this host.
    pub(crate) limit_shares: BTreeMap<u64, LimitShare>,
    pub(crate) key_queues: BTreeMap<u64, KeyQueue>,
    /// When requests arrived; the retry budget grows with them.
    pub(crate) accepted_at: VecDeque<f64>,
    /// When retries and hedges were sent; they use up the retry budget.
    pub(crate) retries_sent_at: VecDeque<f64>,
    /// Units that each shard served for this host recently.
    pub(crate) shard_units_served: BTreeMap<u16, DecayingSum>,
    /// Units that were requested of all shards recently.
    pub(crate) units_requested: DecayingSum,
    /// Number of shards in the node list.
    pub(crate) listed_shards: f64,
    pub(crate) start_clock: StartClock,
    /// When the first node list arrived.
    pub(crate) first_list_at: Option<f64>,
    /// Response time by reported load, over all nodes.
    pub(crate) response_time_fit: LinearFit,
    /// For each class, the mean response time beyond what the fit attributes to load.
    pub(crate) fit_offsets_ms: Vec<f64>,
    /// The same from the responses of warm nodes alone.
    pub(crate) warm_offsets_ms: Vec<f64>,
    /// Fraction of recent overdue attempts that were never answered.
    pub(crate) lost_ratio: f64,
    pub(crate) tick_pending: bool,
    pub(crate) last_event_at: f64,
    /// Begin and end of the last time that the host itself was stalled.
    pub(crate) last_stall: (f64, f64),
    pub(crate) watch_failures: u32,
    pub(crate) swept_at: f64,
}

impl SchedulerState {
    /// Inserts a node under its number and returns the one that it replaces.
    pub(crate) fn insert_node(&mut self, node: Node) -> Option<Node> {
        let (id, shard) = (node.entry.node, node.entry.shard);
        let old = self.nodes.insert(id, node);
        if let Some(before) = old.as_ref().map(|o| o.entry.shard).filter(|s| *s != shard) {
            self.remove_from_shard(before, id);
        }
        self.nodes_by_shard.entry(shard).or_default().insert(id);
        old
    }

    /// Counts the nodes of a shard that take requests.
    pub(crate) fn ready_nodes_in_shard(&self, shard: u16) -> usize {
        let nodes = self.nodes_by_shard.get(&shard).into_iter().flatten().filter_map(|id| self.nodes.get(id));
        nodes.filter(|n| n.entry.state == NodeState::Ready).count()
    }

    /// Removes the nodes for which `keep` is false.
    pub(crate) fn retain_nodes(&mut self, keep: impl Fn(&Node) -> bool) {
        let removed: Vec<(u16, u32)> =
            self.nodes.values().filter(|n| !keep(n)).map(|n| (n.entry.shard, n.entry.node)).collect();
        for (shard, id) in removed {
            self.nodes.remove(&id);
            self.remove_from_shard(shard, id);
        }
    }

    /// Judges the stated starts of the first list again, after the host's clock was found to be further
    /// ahead.
    pub(crate) fn correct_starts(&mut self, now: f64) {
        let clock = &self.start_clock;
        let stated = |n: &&mut Node| n.up_since.is_stated && n.up_since.at_ms.is_finite();
        for n in self.nodes.values_mut().filter(stated) {
            n.up_since.at_ms = clock.corrected(now, n.entry.started_ms);
        }
    }

    fn remove_from_shard(&mut self, shard: u16, id: u32) {
        if let Some(nodes) = self.nodes_by_shard.get_mut(&shard) {
            nodes.remove(&id);
            if nodes.is_empty() {
                self.nodes_by_shard.remove(&shard);
            }
        }
    }

    /// Marks a node as draining or gone; its queued requests have no node then. A node that is gone stays so.
    pub(crate) fn set_node_state(&mut self, now: f64, node: u32, state: NodeState) {
        let Some(n) = self.nodes.get_mut(&node) else { return };
        if n.entry.state == NodeState::Gone {
            return;
        }
        n.entry.state = state;
        n.gone_at = now;
        self.unplaced.append(&mut n.queued);
    }

    /// Removes a request that has its final answer, wherever it is queued.
    pub(crate) fn end_request(&mut self, id: u32) {
        let Some(r) = self.requests.remove(&id) else { return };
        if let Some(v) = self.volumes.get_mut(&r.request.volume).filter(|_| !r.limit_charged) {
            v.queued_units = (v.queued_units - r.request.units).max(0.0);
        }
        self.unplaced.retain(|u| *u != id);
        if let Some(n) = r.node.and_then(|n| self.nodes.get_mut(&n)) {
            if let Some(e) = n.envelopes.of_class(usize::from(r.request.class)) {
                e.ended(r.envelope_number);
            }
            n.queued.retain(|h| *h != id);
        }
        if let Some(key_queue) = self.key_queues.get_mut(&r.request.key) {
            key_queue.requests.retain(|q| *q != id);
        }
    }
}
