//! The scheduler: every decision but those of the envelopes, which are in `envelope.rs`.
//!
//! Settings, events and actions are in `interface.rs`, the data in `state.rs`. Times are milliseconds. The
//! admission test is LMAC of Kanodia and Knightly, "Ensuring Latency Targets in Multiclass Web Servers"; what
//! differs from it is in `docs/design/module.md`.

use crate::envelope::{BUCKET_MS, ENVELOPE_WINDOW_MS, MAX_OVERLAPPING_REQUESTS, TAU_BUCKETS};
use crate::interface::*;
use crate::node_age::is_restart;
use crate::state::*;
use crate::subset::Subset;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// In-flight limit, in attempts, of a node without responses so far.
pub(crate) const INITIAL_IN_FLIGHT_LIMIT: f64 = 3.0;
/// The in-flight limit is adapted so that responses take this fraction of the tightest aim, counted from the
/// send.
const TARGET_RESPONSE_TIME_RATIO: f64 = 0.6;
/// Response time that is assumed of a node without responses so far, as a fraction of the tightest aim. With
/// IN_TIME_SAFETY_FACTOR it is still inside the aim, so that the first requests do not count as late.
pub(crate) const INITIAL_RESPONSE_TIME_RATIO: f64 = 0.25;
/// A request counts as in time only if this many mean response times fit before its aim, since response times
/// vary.
const IN_TIME_SAFETY_FACTOR: f64 = 2.0;
/// Weight of a new sample in moving averages: about the last twelve samples count.
const EWMA_WEIGHT: f64 = 0.12;
/// Requests of one extent that are sent in a row before requests of other extents get their turn.
const MAX_SAME_KEY_REQUESTS: u32 = 8;
/// A queued request is displaced only by one whose worth per unit is this many times as high, so that
/// requests of equal worth do not displace each other.
const DISPLACEMENT_WORTH_RATIO: f64 = 1.2;
/// A node is unreachable after this many consecutive connection failures at different moments.
const UNREACHABLE_AFTER_FAILURES: u32 = 3;
/// Backoff of a node that is unreachable or rejects. One request is sent after each backoff, so that the
/// node's return is noticed without probes.
const NODE_BACKOFF_MS: f64 = 200.0;
/// A node that does not respond is sent one trial request in this time by all hosts together, whatever wait
/// its silence predicts.
const SILENT_NODE_TRIAL_INTERVAL_MS: f64 = 50.0;
/// The mean of a node's load reports covers about this time, and decays over it while no report arrives.
const LOAD_REPORT_DECAY_MS: f64 = 2_000.0;
/// The difference of a reported wait from the node's usual one shrinks by this many milliseconds for each
/// millisecond that passes.
const EXCESS_WAIT_DECAY_RATIO: f64 = 0.5;
/// Weight of a new sample in the fit of response times to reported load: about the last hundred samples
/// count.
const FIT_EWMA_WEIGHT: f64 = 0.01;
/// The fit of response times to reported load is used from this number of responses on.
const MIN_FIT_SAMPLES: u32 = 10;
/// Fraction of its aim that a request of full worth may be predicted to take.
const PREDICTED_AIM_RATIO: f64 = 0.8;
/// Fraction of its aim that a request may spend waiting at the least, however long its service alone takes.
const MIN_WAIT_AIM_RATIO: f64 = 0.3;
/// An attempt is overdue after this many mean response times, if its node has answered an attempt that was
/// sent later.
const OVERDUE_RESPONSE_TIMES: f64 = 4.0;
/// Of the overdue attempts, those of one request in this many are not cancelled, so that late responses can
/// be distinguished from lost ones.
const OVERDUE_SAMPLE_INTERVAL: u32 = 8;
/// A request for which no node is ready, or only a cold one without capacity, is refused in this range of its
/// client's time; the rest is left for the client's next try. A host that was stalled past the range keeps
/// the request instead.
const UNSENT_REFUSAL_RATIOS: (f64, f64) = (0.45, 0.5);
/// Nodes that are compared for a new object.
const NEW_OBJECT_CANDIDATES: usize = 4;
/// Among equal nodes the one that started last is preferred. A node that started NEWER_NODE_SPAN_MS after the
/// host's first list, or later, gets this whole bonus; one that started earlier gets a part of it. It only
/// breaks ties.
const NEWER_NODE_BONUS_MS: f64 = 0.001;
const NEWER_NODE_SPAN_MS: f64 = 1_000_000.0;
/// A volume is inside its share up to this multiple of its part, by weight, of all plans' nominal rates.
const VOLUME_SHARE_RATIO: f64 = 1.5;
/// A volume's use of its reserve and share is counted over about this time, since worth is earned per second.
const VOLUME_USE_WINDOW_MS: f64 = 1_000.0;
/// Fraction of a guarded budget that is used; the rest covers clock differences and rounding.
const GUARDED_BUDGET_RATIO: f64 = 0.9;
/// The same for a volume's limit that the fleet leases to its hosts. It is closer to the whole because no
/// share is leased twice.
const LEASED_LIMIT_RATIO: f64 = 0.98;
/// Fraction of a cold node's capacity that is used, since hosts use a shard unevenly and its load may rise.
const COLD_NODE_LOAD_RATIO: f64 = 0.5;
/// A host's usual use of a shard is averaged over about this time, which is longer than a restart takes.
const SHARD_USE_DECAY_MS: f64 = 30_000.0;
/// A started node counts as warm once its recent responses take less than this multiple of what warm nodes
/// take for the same classes.
const WARM_RESPONSE_TIME_RATIO: f64 = 1.5;
/// Interval at which requests that wait for a limit, a backoff or a delay are checked again.
const TICK_MS: f64 = 10.0;
/// Tick interval while no request is open. A host whose events are more than HOST_STALL_MS apart while a tick
/// is due was stalled itself.
const IDLE_TICK_MS: f64 = 50.0;
const HOST_STALL_MS: f64 = 150.0;
/// Nodes that are gone and volumes without requests are remembered for this long.
const IDLE_STATE_RETENTION_MS: f64 = 60_000.0;
/// Volumes without requests are remembered up to this number, since clients name them.
const MAX_IDLE_VOLUMES: usize = 16_384;

const TIMER_TICK: u64 = 1 << 40;
const TIMER_WATCH: u64 = 2 << 40;

// ---- The scheduler -------------------------------------------------------------------------------------

/// The scheduler of one host.
pub struct Scheduler {
    settings: Settings,
    state: SchedulerState,
    random: Random,
    subset: Subset,
    tightest_aim_ms: f64,
    /// Units per second for each unit of weight, if the sum of all plans' nominal rates is divided by weight.
    units_per_weight: f64,
}

impl Scheduler {
    /// Creates a scheduler without nodes or requests.
    ///
    /// # Errors
    /// The name of the first setting that is invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tightest_aim_ms = settings.classes.iter().map(|c| c.aim_ms).fold(f64::INFINITY, f64::min);
        let sum = |f: fn(&Plan) -> f64| settings.plans.iter().map(f).sum::<f64>();
        let units_per_weight = sum(|p| p.nominal) / sum(|p| p.weight).max(1e-6);
        let none = vec![0.0; settings.classes.len()];
        let state =
            SchedulerState { fit_offsets_ms: none.clone(), warm_offsets_ms: none, ..Default::default() };
        Ok(Scheduler {
            settings,
            state,
            random: Random(seed),
            subset: Subset::new(seed),
            tightest_aim_ms,
            units_per_weight,
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.account_for_stall(now);
        match event {
            Event::NodeList(kind, entries) => self.on_node_list(now, kind, &entries, actions),
            Event::Request(request) => self.on_request(now, request, actions),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, &outcome, actions),
            Event::ResponseStarted { id } | Event::Abandoned { id } => self.state.end_request(id),
            Event::Timer { label: TIMER_TICK } => {
                self.state.tick_pending = false;
                self.on_tick(now, actions);
            }
            Event::Timer { label: TIMER_WATCH } => actions.push(Action::Watch(true)),
            Event::Timer { label } => {
                if let Some(r) = u32::try_from(label).ok().and_then(|id| self.state.requests.get(&id)) {
                    let at_ms = r.request.valid_until_ms - 2.0 * self.settings.round_ms;
                    let is_too_late = now
                        > r.arrived_at + UNSENT_REFUSAL_RATIOS.1 * (r.request.valid_until_ms - r.arrived_at);
                    let has_no_node = matches!(self.wait_reason(now, r), Reason::NoNode | Reason::ColdNode);
                    if (r.attempts > 0 || is_too_late || !has_no_node) && now < at_ms {
                        actions.push(Action::SetTimer { at_ms, label });
                    } else {
                        self.refuse_or_fail(now, r.request.id, 0.0, self.wait_reason(now, r), actions);
                    }
                }
            }
            Event::LimitShare { volume, plan, rate_divisor, burst_divisor, floor_divisor, until_ms } => {
                let share = LimitShare {
                    rate_divisor,
                    burst_divisor,
                    floor_divisor,
                    until_ms,
                    usable_ratio: LEASED_LIMIT_RATIO,
                };
                let (v, plan) = (self.state.volumes.get_mut(&volume), self.settings.plans.get(plan as usize));
                // Limits: tokens that were stored under the previous share are kept only up to the new
                // share's burst.
                if let (Some(v), Some(p), Some(old)) =
                    (v, plan, self.state.limit_shares.insert(volume, share))
                {
                    (v.limit_tokens, v.limit_tokens_at) = (v.refilled(now, p, old), now);
                }
            }
            Event::AttemptLimit { attempts } => {
                self.state.attempt_limit = Some(attempts);
                self.on_tick(now, actions);
            }
            Event::Message { .. } | Event::ProbeFinished { .. } => {}
        }
    }

    // ---- Arrival and admission -------------------------------------------------------------------------

    fn on_request(&mut self, now: f64, mut request: Request, actions: &mut Vec<Action>) {
        self.state.accepted_at.push_back(now);
        if self.state.requests.contains_key(&request.id) {
            return;
        }
        let known = usize::from(request.class) < self.settings.classes.len()
            && usize::from(request.plan) < self.settings.plans.len();
        if !known || !request.units.is_finite() || request.units < 0.0 || !request.valid_until_ms.is_finite()
        {
            actions.push(Action::Refuse { id: request.id, retry_after_ms: 0.0, reason: Reason::Invalid });
            return;
        }
        let hosts = f64::from(self.settings.hosts);
        request.volume_hosts =
            if request.volume_hosts >= 1.0 { request.volume_hosts.min(hosts) } else { hosts };
        let (from, to) = if self.state.last_stall.1 == now { self.state.last_stall } else { (now, now) };
        let arrived_at = (request.valid_until_ms
            - self.settings.classes[usize::from(request.class)].deadline_ms)
            .max(from)
            .min(to);
        // One final answer: this timer expires before the client gives up, whatever else happens.
        let at_ms = (arrived_at + UNSENT_REFUSAL_RATIOS.0 * (request.valid_until_ms - arrived_at)).max(now);
        actions.push(Action::SetTimer { at_ms, label: u64::from(request.id) });
        self.state.units_requested.add(now, request.units, ENVELOPE_WINDOW_MS);
        let new = RequestState {
            request,
            arrived_at,
            worth_ratio: 1.0,
            draw: self.random.next(),
            ..Default::default()
        };
        self.state.requests.insert(request.id, new);
        self.update_volume(now, &request);
        if self.settings.classes[usize::from(request.class)].ordered && request.key != 0 {
            self.state.key_queues.entry(request.key).or_default().requests.push_back(request.id);
        }
        let Some(node) = self.choose_node(now, request.id) else {
            self.state.unplaced.push(request.id);
            self.schedule_tick(now, actions);
            return;
        };
        self.set_worth_ratio(now, request.id);
        if self.state.requests[&request.id].draw
            >= self.cold_admission_probability(&self.state.nodes[&node], now)
        {
            self.refuse_or_fail(now, request.id, 0.0, Reason::ColdNode, actions);
            return;
        }
        let (limit_wait, response_time) =
            (self.limit_wait_ms(now, request.id), self.state.nodes[&node].response_time_ms);
        if limit_wait > 0.0
            && limit_wait > self.worth_and_slack(&self.state.requests[&request.id], response_time, now).1
        {
            self.refuse_or_fail(now, request.id, limit_wait, Reason::VolumeLimit, actions);
            return;
        }
        let predicted_room = self.predicted_room_ms(now, request.id, node);
        let fits = predicted_room >= 0.0;
        let envelope_room = self.envelope_room_ms(node, usize::from(request.class), now);
        if (envelope_room < 0.0 || !fits) && !self.make_room(now, request.id, node, fits, actions) {
            // The advice is capped by what is queued and in flight here. Past the largest k that was seen the
            // envelope extrapolates far too high, and a client that is asked to wait a second instead of a
            // few milliseconds misses its aim.
            let backlog = self.state.nodes.get(&node).map_or(0.0, |n| self.backlog_ms(n, now));
            let (wait, reason) = if fits {
                ((-envelope_room).min(backlog), Reason::Envelope)
            } else {
                (-predicted_room / EXCESS_WAIT_DECAY_RATIO, Reason::Prediction)
            };
            self.refuse_or_fail(now, request.id, wait, reason, actions);
            return;
        }
        self.enqueue(now, request.id, node);
        self.dispatch(now, node, actions);
        self.schedule_tick(now, actions);
    }

    fn update_volume(&mut self, now: f64, request: &Request) {
        let (plan, share) = (&self.settings.plans[usize::from(request.plan)], self.limit_share(request));
        // Limits: a host that restarted does not know what it sent before, so the token bucket starts empty.
        let new = || Volume {
            limit_tokens_at: now,
            host_share_ratio: 1.0 / request.volume_hosts,
            ..Default::default()
        };
        let v = self.state.volumes.entry(request.volume).or_insert_with(new);
        v.last_seen_at = now;
        v.own_units.add(now, request.units, VOLUME_USE_WINDOW_MS);
        v.queued_units += request.units;
        v.limit_tokens = v.refilled(now, plan, share);
        v.limit_tokens_at = now;
    }

    /// Returns the share that the fleet leased to this host, otherwise an even share among the volume's
    /// hosts.
    fn limit_share(&self, request: &Request) -> LimitShare {
        self.state
            .limit_shares
            .get(&request.volume)
            .copied()
            .unwrap_or(LimitShare::permanent(request.volume_hosts, GUARDED_BUDGET_RATIO))
    }

    /// Limits: returns how long it takes until this host's token bucket of the volume holds the request's
    /// units, after those of the requests that wait already.
    ///
    /// A request that would wait past its aim is refused at once. If it were queued, its client would get a
    /// late answer and it would delay others in its node's queue.
    fn limit_wait_ms(&self, now: f64, id: u32) -> f64 {
        let Some(r) = self.state.requests.get(&id) else { return 0.0 };
        let (plan, share) = (&self.settings.plans[usize::from(r.request.plan)], self.limit_share(&r.request));
        match self.state.volumes.get(&r.request.volume) {
            Some(v) if plan.limit > 0.0 => {
                let missing_units = (v.queued_units - v.refilled(now, plan, share)).max(0.0);
                1_000.0 * missing_units * share.divisors_at(now).0 / (share.usable_ratio * plan.limit)
            }
            _ => 0.0,
        }
    }

    /// The LMAC test: returns the smallest margin, over all classes and taus, by which the aims at the node
    /// are kept when the request envelope is raised by one request of this class. Below zero the request does
    /// not fit.
    fn envelope_room_ms(&mut self, node: u32, class: usize, now: f64) -> f64 {
        let Some(n) = self.state.nodes.get_mut(&node) else { return 0.0 };
        let mut margin = f64::INFINITY;
        for (envelope_class, envelope) in n.envelopes.iter_mut() {
            envelope.roll(now);
            envelope.refresh();
            let is_own_class = envelope_class == class;
            for (i, buckets) in TAU_BUCKETS.iter().enumerate() {
                let tau = *buckets as f64 * BUCKET_MS;
                let k = if is_own_class {
                    envelope.requests(i, now, 1.0 / ENVELOPE_WINDOW_MS)
                } else {
                    envelope.requests(i, now, 0.0)
                        + (tau + self.settings.classes[class].aim_ms) / ENVELOPE_WINDOW_MS
                };
                if let Some(s) = envelope.service(k) {
                    margin = margin.min(tau + self.settings.classes[envelope_class].aim_ms - s);
                }
            }
        }
        margin
    }

    /// Chooses the node for a request. The nodes of its shard are compared by what is waiting there; for a
    /// new object, a few random nodes are compared by their margin in the LMAC test as well.
    fn choose_node(&mut self, now: f64, id: u32) -> Option<u32> {
        let r = self.state.requests.get(&id)?;
        let (shard, class, may_have_run) = (r.request.shard, usize::from(r.request.class), r.may_have_run);
        let (units, draw) = (r.request.units, r.draw);
        let first_list_at = self.state.first_list_at.unwrap_or(now);
        let node_in_flight = r.node.filter(|_| r.in_flight > 0);
        let is_keyed = self.settings.classes[class].effect == Effect::Keyed;
        let group = if is_keyed { self.settings.classes[class].group } else { Group::All };
        let in_group = |n: &Node, shard, zone| match group {
            Group::All => true,
            Group::Zone => zone == n.entry.zone,
            Group::Shard => shard == n.entry.shard,
        };
        let is_allowed = |n: &Node| {
            n.entry.state == NodeState::Ready
                && node_in_flight != Some(n.entry.node)
                && shard.map_or(true, |s| s == n.entry.shard)
                && may_have_run.map_or(true, |(_, shard, zone)| in_group(n, shard, zone))
        };
        // For a new object only a few random nodes are compared: that stays cheap with hundreds of nodes, and
        // hosts do not all choose the same node.
        let mut candidates: Vec<u32> = match shard {
            Some(shard) => {
                let of_shard = self.state.nodes_by_shard.get(&shard).into_iter().flatten();
                of_shard.copied().filter(|id| self.state.nodes.get(id).is_some_and(is_allowed)).collect()
            }
            None => self.state.nodes.iter().filter(|(_, n)| is_allowed(n)).map(|(id, _)| *id).collect(),
        };
        if Subset::is_used(self.state.nodes.len()) {
            self.narrow(now, &mut candidates, shard.is_some());
        }
        let compared = candidates.len().min(if shard.is_some() { usize::MAX } else { NEW_OBJECT_CANDIDATES });
        for i in 0..compared {
            let remaining = candidates.len() - i;
            candidates.swap(i, i + (self.random.next() * remaining as f64) as usize);
        }
        candidates.truncate(compared);
        let mut best = None;
        for node in candidates {
            let room = if shard.is_some() {
                0.0
            } else {
                self.envelope_room_ms(node, class, now).min(ENVELOPE_WINDOW_MS)
            };
            let n = &self.state.nodes[&node];
            let backlog = self.backlog_ms(n, now);
            // What a cold node cannot take goes to another candidate, if there is one.
            let is_held_back = now < n.backoff_until || !self.cold_node_accepts(n, units, draw, now);
            let newer_bonus = (n.up_since.at_ms - first_list_at).clamp(0.0, NEWER_NODE_SPAN_MS)
                / NEWER_NODE_SPAN_MS
                * NEWER_NODE_BONUS_MS;
            let score = room - backlog - if is_held_back { ENVELOPE_WINDOW_MS } else { 0.0 } + newer_bonus;
            if best.map_or(true, |(b, _)| score > b) {
                best = Some((score, node));
            }
        }
        best.map(|(_, node)| node)
    }

    /// Reduces the candidates to those that this host uses. Nodes in backoff stay only if all are in backoff.
    fn narrow(&self, now: f64, candidates: &mut Vec<u32>, is_one_shard: bool) {
        let is_usable = |id: &u32| self.state.nodes.get(id).is_some_and(|n| now >= n.backoff_until);
        if candidates.iter().any(is_usable) {
            candidates.retain(is_usable);
        }
        self.subset.narrow(candidates, self.state.nodes_by_shard.len(), is_one_shard);
    }

    /// Estimates how long a node takes for what is queued here, in flight, and waiting at the node.
    fn backlog_ms(&self, n: &Node, now: f64) -> f64 {
        (n.queued.len() + n.in_flight) as f64 * n.response_time_ms / n.in_flight_limit
            + self.expected_wait_ms(n, now)
    }

    /// Sets a new request's worth ratio by its volume's use. Two token buckets hold this host's part of the
    /// reserve and of the share by weight: a request that the reserve covers has full worth, one that the
    /// share covers less, and any other the least.
    fn set_worth_ratio(&mut self, now: f64, id: u32) {
        let Some(r) = self.state.requests.get_mut(&id) else { return };
        let plan = &self.settings.plans[usize::from(r.request.plan)];
        let Some(v) = self.state.volumes.get_mut(&r.request.volume) else { return };
        let elapsed_s = (now - v.standing_at).max(0.0) / 1_000.0;
        v.standing_at = now;
        let share = VOLUME_SHARE_RATIO * plan.weight * self.units_per_weight;
        let fill = |tokens: f64, rate: f64| {
            let rate = rate * v.host_share_ratio;
            (tokens + rate * elapsed_s).min(rate * VOLUME_USE_WINDOW_MS / 1_000.0 + self.settings.max_units)
        };
        (v.reserve_tokens, v.share_tokens) =
            (fill(v.reserve_tokens, plan.reserve), fill(v.share_tokens, share));
        if plan.reserve > 0.0 && v.reserve_tokens >= r.request.units {
            v.reserve_tokens -= r.request.units;
            r.worth_ratio = 1.0;
        } else if v.share_tokens >= r.request.units {
            v.share_tokens -= r.request.units;
            r.worth_ratio = self.settings.share_worth;
        } else {
            r.worth_ratio = self.settings.spare_worth;
        }
    }

    /// Estimates the wait at a node from its reports, from an attempt that was not answered, and from its
    /// silence. Attempts without a response count at their age, since their response times are not known yet.
    fn expected_wait_ms(&self, n: &Node, now: f64) -> f64 {
        let unanswered_wait =
            n.unanswered_wait_ms - EXCESS_WAIT_DECAY_RATIO * (now - n.unanswered_wait_at).max(0.0);
        self.reported_wait_ms(n, now).max(unanswered_wait).max(n.silence_ms(now))
    }

    /// Returns the wait that all nodes had at the load that this one reported last; old reports decay.
    fn reported_wait_ms(&self, n: &Node, now: f64) -> f64 {
        let (age, slope) = ((now - n.reported_at).max(0.0), self.state.response_time_fit.slope());
        let usual_wait = slope * n.mean_reported_load * (-age / LOAD_REPORT_DECAY_MS).exp();
        let excess = slope * n.reported_load - usual_wait;
        usual_wait + (excess.abs() - EXCESS_WAIT_DECAY_RATIO * age).max(0.0) * excess.signum()
    }

    /// Returns what is left of the aims of all classes after the expected wait at the node and the service
    /// alone. A request of lower worth ratio may use a smaller fraction of the aims.
    ///
    /// This extends LMAC by the nodes' load reports, because with many hosts each sees few samples of its
    /// own.
    fn predicted_room_ms(&self, now: f64, id: u32, node: u32) -> f64 {
        let (r, n) = (&self.state.requests[&id], &self.state.nodes[&node]);
        if self.state.response_time_fit.samples < MIN_FIT_SAMPLES {
            return 0.0;
        }
        // A silent node gets a trial request now and then: if it were refused everything because of its
        // silence, no response could end the silence.
        let is_trial = r.request.shard.is_some()
            && now - n.last_sent_at >= SILENT_NODE_TRIAL_INTERVAL_MS * f64::from(self.settings.hosts);
        let wait = if is_trial { self.reported_wait_ms(n, now) } else { self.expected_wait_ms(n, now) };
        let usable_ratio = PREDICTED_AIM_RATIO * r.worth_ratio.clamp(0.0, 1.0).sqrt();
        let mut margin = f64::INFINITY;
        for (i, class) in self.settings.classes.iter().enumerate() {
            let service_alone = self.state.fit_offsets_ms[i].max(0.0);
            let is_own_class = i == usize::from(r.request.class);
            let aim = if is_own_class { (self.aim_deadline(r) - now).max(0.0) } else { class.aim_ms };
            margin = margin.min((aim - service_alone).max(aim * MIN_WAIT_AIM_RATIO) * usable_ratio - wait);
        }
        margin
    }

    /// Returns the end of the aim, or the client's own deadline if that is earlier.
    fn aim_deadline(&self, r: &RequestState) -> f64 {
        (r.arrived_at + self.settings.classes[usize::from(r.request.class)].aim_ms)
            .min(r.request.valid_until_ms)
    }

    /// Returns the worth per unit now, and the time to spare. A request that can no longer be served before
    /// its aim, or before its client leaves, has its class's late worth. Cost is counted in units, not in
    /// response times, because response times do not show the work that a write defers.
    fn worth_and_slack(&self, r: &RequestState, response_time_ms: f64, now: f64) -> (f64, f64) {
        let class = &self.settings.classes[usize::from(r.request.class)];
        let slack = self.aim_deadline(r) - now - IN_TIME_SAFETY_FACTOR * response_time_ms;
        let worth =
            class.worth * self.settings.plans[usize::from(r.request.plan)].worth_factor * r.worth_ratio;
        (worth * if slack < 0.0 { class.late_worth } else { 1.0 }, slack)
    }

    /// Makes room when the test says that one request must go: the one with the least worth per unit, queued
    /// or new. Only requests that were never sent may be displaced. Returns whether the new request stays.
    ///
    /// This differs from LMAC, which always refuses the new request.
    fn make_room(&mut self, now: f64, id: u32, node: u32, fits: bool, actions: &mut Vec<Action>) -> bool {
        let (r, n) = (&self.state.requests[&id], &self.state.nodes[&node]);
        let own_worth = self.worth_and_slack(r, n.response_time_ms, now).0;
        // With nothing queued and room in flight the test does not apply, so that spare capacity is used.
        // Requests that wait for their volume's limit, for key order or for a retry delay do not wait for the
        // node and do not count; otherwise they would have every other volume's requests refused there.
        let waits_for_node =
            |id: &u32| self.state.requests.get(id).is_some_and(|r| self.blocked_by(now, r).is_none());
        let has_room = self.has_attempt_room() && (n.in_flight as f64) < n.in_flight_limit;
        if fits && has_room && !n.queued.iter().any(waits_for_node) {
            return true;
        }
        let never_sent =
            n.queued.iter().filter_map(|h| self.state.requests.get(h)).filter(|r| r.attempts == 0);
        let least_worth = never_sent
            .map(|r| (self.worth_and_slack(r, n.response_time_ms, now).0, r.request.id))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        match least_worth {
            Some((worth, displaced)) if worth * DISPLACEMENT_WORTH_RATIO < own_worth => {
                self.refuse_or_fail(now, displaced, n.response_time_ms, Reason::Displaced, actions);
                true
            }
            _ => false,
        }
    }

    fn enqueue(&mut self, now: f64, id: u32, node: u32) {
        let Some(r) = self.state.requests.get_mut(&id) else { return };
        let Some(n) = self.state.nodes.get_mut(&node) else { return };
        let old_node = r.node.replace(node);
        r.envelope_number = n.envelopes.admitted(usize::from(r.request.class), now);
        n.queued.push(id);
        if let Some(old) = old_node.filter(|b| *b != node).and_then(|b| self.state.nodes.get_mut(&b)) {
            old.queued.retain(|h| *h != id);
        }
    }

    // ---- Dispatch --------------------------------------------------------------------------------------

    /// Whether the host may have another attempt in flight.
    fn has_attempt_room(&self) -> bool {
        self.state.attempt_limit.map_or(true, |limit| self.state.attempts.len() < limit)
    }

    /// Whether the host's limit of attempts in flight may hold requests back.
    fn may_lack_attempt_room(&self) -> bool {
        let wanted = self.state.requests.len() + self.state.attempts.len();
        self.state.attempt_limit.is_some_and(|limit| wanted >= limit)
    }

    /// Sends the queued requests that may go to a node now, the one with the highest worth per unit first.
    fn dispatch(&mut self, now: f64, node: u32, actions: &mut Vec<Action>) {
        while self.has_attempt_room() {
            let Some((_, id)) = self.next_to_send(now, node) else { return };
            self.send_attempt(now, node, id, actions);
        }
    }

    /// Sends the queued requests of all nodes. Where the host's limit of attempts in flight does not let all
    /// of them go, the one with the highest worth per unit goes first, and among equal ones the oldest.
    fn dispatch_all(&mut self, now: f64, actions: &mut Vec<Action>) {
        // Only requests without a final answer have a node here, so listed nodes without requests cost
        // nothing.
        let waiting: BTreeSet<u32> = self.state.requests.values().filter_map(|r| r.node).collect();
        if !self.may_lack_attempt_room() {
            waiting.into_iter().for_each(|node| self.dispatch(now, node, actions));
            return;
        }
        while self.has_attempt_room() {
            let arrived_at = |id: u32| self.state.requests.get(&id).map_or(now, |r| r.arrived_at);
            let next = waiting.iter().filter_map(|node| Some((self.next_to_send(now, *node)?, *node)));
            let best = next.max_by(|((score, id), _), ((other_score, other_id), _)| {
                score.total_cmp(other_score).then(arrived_at(*other_id).total_cmp(&arrived_at(*id)))
            });
            let Some(((_, id), node)) = best else { return };
            self.send_attempt(now, node, id, actions);
        }
    }

    /// Returns the request that goes to a node next, if one may go now, with its worth per unit.
    fn next_to_send(&self, now: f64, node: u32) -> Option<(f64, u32)> {
        let n = self.state.nodes.get(&node)?;
        if n.queued.is_empty()
            || n.entry.state != NodeState::Ready
            || now < n.backoff_until
            || n.in_flight >= MAX_OVERLAPPING_REQUESTS
        {
            return None;
        }
        let is_full = n.in_flight as f64 >= n.in_flight_limit.floor();
        let may_continue_run = n.same_key_run < MAX_SAME_KEY_REQUESTS && n.last_key != 0;
        if is_full && !may_continue_run {
            return None;
        }
        let cold = (self.cold_tokens_left(n, now), self.cold_admission_probability(n, now));
        let mut best: Option<(f64, u32)> = None;
        for id in &n.queued {
            let Some(r) = self.state.requests.get(id) else { continue };
            let is_same_key = may_continue_run && r.request.key == n.last_key;
            if (is_full && !is_same_key)
                || r.request.units > cold.0
                || r.draw >= cold.1
                || self.blocked_by(now, r).is_some()
            {
                continue;
            }
            let (worth, slack) = self.worth_and_slack(r, n.response_time_ms, now);
            let score = worth + if is_same_key { 1e9 } else { 0.0 };
            // Late requests earn little and would queue at the node ahead of other hosts' requests. So one
            // late request is in flight at most, and only while nothing else is; it also keeps the response
            // time up to date. LMAC has no such rule.
            if slack < 0.0 && n.in_flight > 0 {
                continue;
            }
            if best.map_or(true, |(b, _)| score > b) {
                best = Some((score, *id));
            }
        }
        best
    }

    fn send_attempt(&mut self, now: f64, node: u32, id: u32, actions: &mut Vec<Action>) {
        let retry = self.state.requests.get(&id).filter(|r| r.attempts > 0);
        let write_deadline_ms = retry.map_or(f64::INFINITY, |r| self.retry_deadline(r));
        let cold_tokens = self.state.nodes.get(&node).map_or(0.0, |n| self.cold_tokens_left(n, now));
        let (Some(r), Some(n)) = (self.state.requests.get_mut(&id), self.state.nodes.get_mut(&node)) else {
            return;
        };
        n.queued.retain(|h| *h != id);
        let continues_run = r.request.key != 0 && r.request.key == n.last_key;
        (n.same_key_run, n.last_key) = (if continues_run { n.same_key_run + 1 } else { 0 }, r.request.key);
        if n.in_flight == 0 || n.last_sent_at <= n.answered_send_at {
            n.last_response_at = now;
        }
        n.last_sent_at = now;
        let class = usize::from(r.request.class);
        let order_key = if self.settings.classes[class].ordered { r.request.key } else { 0 };
        let (shard, zone) = (n.entry.shard, n.entry.zone);
        let attempt = Attempt {
            node,
            sent_at: now,
            units: r.request.units,
            class,
            order_key,
            shard,
            zone,
            cancelled: false,
        };
        if order_key != 0 {
            self.state.key_queues.entry(order_key).or_default().in_flight += 1;
        }
        self.state.attempts.insert((id, r.attempts as u16), attempt);
        n.in_flight += 1;
        (n.cold_tokens, n.cold_tokens_at) = (cold_tokens - r.request.units, now);
        if r.attempts > 0 {
            self.state.retries_sent_at.push_back(now);
        }
        if !r.limit_charged {
            r.limit_charged = true;
            if let Some(v) = self.state.volumes.get_mut(&r.request.volume) {
                v.limit_tokens -= r.request.units;
                v.queued_units = (v.queued_units - r.request.units).max(0.0);
            }
        }
        r.attempts += 1;
        r.in_flight += 1;
        r.last_sent_at = now;
        let timeout_ms = self.settings.classes[class].attempt_policy.attempt_timeout_ms;
        actions.push(Action::Send { id, node, timeout_ms, write_deadline_ms });
    }

    // ---- Ends of attempts ------------------------------------------------------------------------------

    fn on_attempt_ended(&mut self, now: f64, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let lacked_room = !self.has_attempt_room();
        let Some(attempt) = self.state.attempts.remove(&(outcome.id, outcome.attempt)) else { return };
        let may_still_run = matches!(
            outcome.result,
            AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled
        );
        if let Some(key_queue) = self.state.key_queues.get_mut(&attempt.order_key) {
            key_queue.in_flight = key_queue.in_flight.saturating_sub(1);
            if may_still_run {
                key_queue.cooldown_until = now + self.settings.key_rest_ms;
            }
        }
        self.update_estimates(now, outcome, &attempt, actions);
        let never_ran = matches!(
            outcome.result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        if let Some(r) = self.state.requests.get_mut(&outcome.id) {
            r.in_flight = r.in_flight.saturating_sub(1);
            if !never_ran && r.may_have_run.is_none() {
                r.may_have_run = Some((attempt.sent_at, attempt.shard, attempt.zone));
            }
        }
        if outcome.result == AttemptResult::Served || outcome.request_ended {
            self.state.end_request(outcome.id);
        } else if let Some(r) = self.state.requests.get(&outcome.id) {
            let may_continue = now < r.request.valid_until_ms - 2.0 * self.settings.round_ms
                && outcome.result != AttemptResult::NotSent;
            let will_retry = may_continue && self.may_retry(now, r);
            let has_other_attempt = r.in_flight > 0;
            if will_retry {
                self.delay_retry(now, outcome.id);
            }
            match if will_retry { self.choose_node(now, outcome.id) } else { None } {
                Some(node) => {
                    self.enqueue(now, outcome.id, node);
                    if !lacked_room {
                        self.dispatch(now, node, actions);
                    }
                }
                None if will_retry => self.state.unplaced.push(outcome.id),
                // The other attempt in flight may still be served.
                None if has_other_attempt => {}
                None => {
                    self.refuse_or_fail(now, outcome.id, 0.0, outcome.result.reason(), actions);
                }
            }
        }
        if lacked_room {
            self.dispatch_all(now, actions);
        } else {
            self.dispatch(now, attempt.node, actions);
        }
        self.schedule_tick(now, actions);
    }

    /// Delays a retry, with random jitter so that requests that failed together are not retried together.
    fn delay_retry(&mut self, now: f64, id: u32) {
        let Some(r) = self.state.requests.get_mut(&id) else { return };
        let policy = &self.settings.classes[usize::from(r.request.class)].attempt_policy;
        let jitter =
            if policy.retry_jitter_ms > 0.0 { policy.retry_jitter_ms * self.random.next() } else { 0.0 };
        r.retry_not_before = now + policy.retry_delay_ms + jitter;
    }

    /// Queues a hedged attempt for each request whose first attempt takes longer than its class allows.
    fn enqueue_hedges(&mut self, now: f64) {
        let due = |r: &&RequestState| r.in_flight > 0 && !r.hedged && self.may_retry(now, r);
        for id in self.state.requests.values().filter(due).map(|r| r.request.id).collect::<Vec<u32>>() {
            // The first attempt may run: the hedge goes only to a node that recognises it as a repeat.
            if let Some(r) = self.state.requests.get_mut(&id) {
                let first = r.node.and_then(|n| self.state.nodes.get(&n));
                r.may_have_run =
                    r.may_have_run.or(first.map(|n| (r.last_sent_at, n.entry.shard, n.entry.zone)));
            }
            let Some(node) = self.choose_node(now, id) else { continue };
            self.state.requests.entry(id).and_modify(|r| r.hedged = true);
            self.enqueue(now, id, node);
        }
    }

    fn is_overdue(&self, now: f64, attempt: &Attempt) -> bool {
        let usual_response_time = |n: &Node| n.response_time_ms.max(self.state.fit_offsets_ms[attempt.class]);
        self.state.nodes.get(&attempt.node).is_some_and(|n| {
            attempt.sent_at < n.answered_send_at
                && now - attempt.sent_at > OVERDUE_RESPONSE_TIMES * usual_response_time(n)
        })
    }

    /// Cancels overdue attempts, which are then retried, if most overdue attempts are never answered.
    ///
    /// A lost response otherwise costs its request, and its place in flight until the client leaves. The cost
    /// of this rule is that a slow, expensive request may run twice.
    fn cancel_lost_attempts(&mut self, now: f64, actions: &mut Vec<Action>) {
        if !self.settings.cancel || self.state.lost_ratio < 0.5 {
            return;
        }
        let is_lost = |id: &u32, f: &Attempt| {
            let may_repeat = |r: &RequestState| now < self.retry_deadline(r) && self.has_retry_budget(now);
            let open_request = self.state.requests.get(id);
            !f.cancelled
                && id % OVERDUE_SAMPLE_INTERVAL > 0
                && self.is_overdue(now, f)
                && open_request.map_or(true, may_repeat)
        };
        let lost: Vec<(u32, u16)> =
            self.state.attempts.iter().filter(|((id, _), f)| is_lost(id, f)).map(|(at, _)| *at).collect();
        for (id, attempt) in lost {
            self.state.attempts.entry((id, attempt)).and_modify(|f| f.cancelled = true);
            actions.push(Action::Cancel { id, attempt });
        }
    }

    /// Updates the estimates of the attempt's node and volume.
    fn update_estimates(
        &mut self,
        now: f64,
        outcome: &AttemptOutcome,
        attempt: &Attempt,
        actions: &mut Vec<Action>,
    ) {
        let Some(n) = self.state.nodes.get_mut(&attempt.node) else { return };
        n.in_flight = n.in_flight.saturating_sub(1);
        // The transport's own measurement is preferred: a host that was stalled receives responses late.
        let response_time = if (0.0..now - attempt.sent_at).contains(&outcome.elapsed_ms) {
            outcome.elapsed_ms
        } else {
            now - attempt.sent_at
        };
        let responded =
            matches!(outcome.result, AttemptResult::Served | AttemptResult::Error | AttemptResult::Rejected);
        let connection_failed = matches!(outcome.result, AttemptResult::ConnectFailed | AttemptResult::Reset);
        // Failures of one moment count once, and only consecutive failures without a response count, so that
        // a link that drops now and then does not make a healthy node unreachable. A dead node is sent a few
        // more attempts for that.
        if responded {
            (n.last_response_at, n.connection_failures, n.unanswered_wait_ms) = (now, 0, 0.0);
            n.answered_send_at = n.answered_send_at.max(attempt.sent_at);
        } else if connection_failed && n.last_failure_at < now {
            (n.last_failure_at, n.connection_failures) = (now, n.connection_failures + 1);
            if n.connection_failures == UNREACHABLE_AFTER_FAILURES {
                actions.push(Action::Log(format!(
                    "node {} is unreachable; one attempt is sent after each backoff",
                    attempt.node
                )));
            }
        }
        let in_range = |v: Option<f64>, limit: f64| v.filter(|v| (0.0..limit).contains(v));
        let requests_at_node = in_range(outcome.queue, 1e4).or(in_range(outcome.in_flight, 1e4));
        let reported_load = requests_at_node.map(|c| c * in_range(outcome.latency_ms, 1e5).unwrap_or(1.0));
        // A node that does not respond counts as full for as long as the attempt waited. A response to
        // anything that was sent later cancels this: otherwise one lost response, or one slow and expensive
        // request, would close a healthy node for seconds. The wait is not stored as a load, because a later,
        // steeper slope of the fit would turn it into minutes.
        if matches!(outcome.result, AttemptResult::TimedOut | AttemptResult::Cancelled)
            && attempt.sent_at > n.answered_send_at
        {
            (n.unanswered_wait_ms, n.unanswered_wait_at) = (response_time, now);
        }
        if !attempt.cancelled && self.is_overdue(now, attempt) {
            self.state.lost_ratio += EWMA_WEIGHT * (f64::from(!responded) - self.state.lost_ratio);
        }
        let Some(n) = self.state.nodes.get_mut(&attempt.node) else { return };
        if let Some(load) = reported_load {
            n.mean_reported_load +=
                (1.0 - (-(now - n.reported_at) / LOAD_REPORT_DECAY_MS).exp()) * (load - n.mean_reported_load);
            (n.reported_load, n.reported_at) = (load, now);
            if outcome.result == AttemptResult::Served {
                // One expensive request must not distort the fit.
                let response_time = response_time.min(self.settings.classes[attempt.class].aim_ms);
                self.state.response_time_fit.add(load, response_time, FIT_EWMA_WEIGHT);
                let offset = response_time - self.state.response_time_fit.slope() * load;
                self.state.fit_offsets_ms[attempt.class] +=
                    EWMA_WEIGHT * (offset - self.state.fit_offsets_ms[attempt.class]);
                if n.age(now) >= self.settings.warm_after_ms {
                    self.state.warm_offsets_ms[attempt.class] +=
                        EWMA_WEIGHT * (offset - self.state.warm_offsets_ms[attempt.class]);
                }
                n.response_time_ratio += EWMA_WEIGHT
                    * (response_time / self.state.warm_offsets_ms[attempt.class].max(1.0)
                        - n.response_time_ratio);
            }
        }
        if outcome.result == AttemptResult::Rejected || n.connection_failures >= UNREACHABLE_AFTER_FAILURES {
            n.in_flight_limit = (n.in_flight_limit / 2.0).max(1.0);
            // A node that rejects everything at once looks idle and would attract all requests, and the
            // attempts of all hosts would keep it full. So it gets one attempt after each backoff.
            n.backoff_until = n.backoff_until.max(now + NODE_BACKOFF_MS);
        }
        if outcome.result != AttemptResult::Served {
            return;
        }
        self.state.shard_units_served.entry(n.entry.shard).or_default().add(
            now,
            attempt.units,
            SHARD_USE_DECAY_MS,
        );
        n.response_time_ms += EWMA_WEIGHT * (response_time - n.response_time_ms);
        let headroom = 1.0 - n.response_time_ms / (TARGET_RESPONSE_TIME_RATIO * self.tightest_aim_ms);
        if headroom < 0.0 || n.in_flight as f64 + 1.0 >= n.in_flight_limit.floor() {
            n.in_flight_limit = (n.in_flight_limit + 0.5 * headroom.max(-1.0) / n.in_flight_limit.sqrt())
                .clamp(1.0, MAX_OVERLAPPING_REQUESTS as f64);
        }
        if let Some(r) = self.state.requests.get(&outcome.id) {
            if r.node == Some(attempt.node) {
                if let Some(e) = n.envelopes.of_class(attempt.class) {
                    e.served(now, r.envelope_number);
                }
            }
            let plan = &self.settings.plans[usize::from(r.request.plan)];
            if let (Some(used_percent), Some(v)) =
                (in_range(outcome.used_percent, 1e6), self.state.volumes.get_mut(&r.request.volume))
            {
                let host_share = v.own_units.decayed(now, VOLUME_USE_WINDOW_MS)
                    / (used_percent / 100.0 * plan.nominal).max(1e-3);
                v.host_share_ratio +=
                    EWMA_WEIGHT * (host_share.clamp(1.0 / r.request.volume_hosts, 1.0) - v.host_share_ratio);
            }
        }
    }

    /// Gives the final answer of a request that was not served: refused if a repeat does no harm, otherwise
    /// failed.
    fn refuse_or_fail(&mut self, now: f64, id: u32, wait_ms: f64, reason: Reason, actions: &mut Vec<Action>) {
        let Some(r) = self.state.requests.get(&id) else { return };
        let class = &self.settings.classes[usize::from(r.request.class)];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => class.group == Group::All || (r.may_have_run.is_none() && r.in_flight == 0),
            Effect::Unsafe => r.may_have_run.is_none() && r.in_flight == 0,
        };
        if harmless {
            // The client is asked to retry when the excess should be gone, while it still has time left
            // for its try.
            let half_of_time_left = (r.request.valid_until_ms - now).max(0.0) / 2.0;
            let retry_after_ms = wait_ms.clamp(0.0, half_of_time_left.min(self.settings.max_retry_after_ms));
            actions.push(Action::Refuse { id, retry_after_ms, reason });
        } else {
            actions.push(Action::Fail { id, reason });
        }
        if self.settings.cancel && r.in_flight > 0 {
            let in_flight =
                self.state.attempts.range((id, 0)..=(id, u16::MAX)).map(|((_, attempt), _)| *attempt);
            actions.extend(in_flight.map(|attempt| Action::Cancel { id, attempt }));
        }
        self.state.end_request(id);
    }

    // ---- Rules that hold requests back -----------------------------------------------------------------

    /// Limits, retry budget and key order: returns the rule that forbids to send this request now, if any.
    fn blocked_by(&self, now: f64, r: &RequestState) -> Option<Reason> {
        let plan = &self.settings.plans[usize::from(r.request.plan)];
        if plan.limit > 0.0 && !r.limit_charged {
            let refilled = |v: &Volume| v.refilled(now, plan, self.limit_share(&r.request));
            if self.state.volumes.get(&r.request.volume).map_or(true, |v| refilled(v) < r.request.units) {
                return Some(Reason::VolumeLimit);
            }
        }
        if self.settings.classes[usize::from(r.request.class)].ordered && r.request.key != 0 {
            if let Some(key_queue) = self.state.key_queues.get(&r.request.key) {
                let is_its_turn = key_queue.requests.front() == Some(&r.request.id);
                if !is_its_turn
                    || (r.attempts == 0 && (key_queue.in_flight > 0 || now < key_queue.cooldown_until))
                {
                    return Some(Reason::KeyOrder);
                }
            }
        }
        match r.attempts {
            0 => None,
            _ if now < r.retry_not_before => Some(Reason::RetryDelay),
            _ if !self.may_retry(now, r) => Some(Reason::RetryNotAllowed),
            _ => (!self.has_retry_budget(now)).then_some(Reason::RetryBudget),
        }
    }

    /// Returns what a request without a final answer waits for.
    fn wait_reason(&self, now: f64, r: &RequestState) -> Reason {
        let node = r.node.and_then(|n| self.state.nodes.get(&n));
        let Some(n) = node.filter(|n| n.entry.state == NodeState::Ready) else {
            return if r.in_flight > 0 { Reason::NoResponse } else { Reason::NoNode };
        };
        let is_late = n.in_flight > 0 && self.worth_and_slack(r, n.response_time_ms, now).1 < 0.0;
        match self.blocked_by(now, r) {
            _ if r.in_flight > 0 => Reason::NoResponse,
            Some(reason) => reason,
            None if !self.cold_node_accepts(n, r.request.units, r.draw, now) => Reason::ColdNode,
            None if now < n.backoff_until => Reason::Backoff,
            None if is_late => Reason::Late,
            None if !self.has_attempt_room() => Reason::AttemptLimit,
            None => Reason::InFlightLimit,
        }
    }

    /// Returns what each request without a final answer waits for, for status pages; it changes nothing.
    pub fn waiting(&self, now: f64) -> impl Iterator<Item = (u32, Reason)> + '_ {
        self.state.requests.values().map(move |r| (r.request.id, self.wait_reason(now, r)))
    }

    /// No effect twice: returns whether another attempt can do no harm.
    fn may_retry(&self, now: f64, r: &RequestState) -> bool {
        let class = &self.settings.classes[usize::from(r.request.class)];
        let may_hedge = self.settings.hedging && class.attempt_policy.hedge_after_ms > 0.0;
        let hedge_is_due =
            may_hedge && r.in_flight == 1 && now >= r.last_sent_at + class.attempt_policy.hedge_after_ms;
        (r.in_flight == 0 || hedge_is_due) && now < self.retry_deadline(r)
    }

    fn retry_deadline(&self, r: &RequestState) -> f64 {
        let class = &self.settings.classes[usize::from(r.request.class)];
        let (class_limit, limit) = (class.attempt_policy.attempts, self.settings.max_attempts);
        let first_may_have_run =
            r.may_have_run.map(|(sent, ..)| sent).or((r.in_flight > 0).then_some(r.last_sent_at));
        match (class.effect, first_may_have_run) {
            _ if r.attempts >= if class_limit == 0 { limit } else { class_limit.min(limit) } => {
                f64::NEG_INFINITY
            }
            (Effect::Safe, _) | (_, None) => f64::INFINITY,
            (Effect::Keyed, Some(sent)) => sent + class.window_ms * GUARDED_BUDGET_RATIO,
            (Effect::Unsafe, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// Retry budget: counts retries and requests over the exact window.
    fn has_retry_budget(&self, now: f64) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let from = now - budget.span_ms;
        let accepted = self.state.accepted_at.iter().rev().take_while(|t| **t > from).count() as f64;
        let retries = self
            .state
            .retries_sent_at
            .iter()
            .rev()
            .take_while(|t| **t >= from - self.settings.round_ms)
            .count() as f64;
        retries + 1.0 <= budget.free + budget.ratio * accepted
    }

    /// Returns the least fraction of its capacity that a node has by its age; `None` for a warm node.
    /// Responses as quick as those of warm nodes show that it is warm, however recently it started.
    fn cold_capacity_ratio(&self, n: &Node, now: f64) -> Option<f64> {
        let s = &self.settings;
        let is_cold = n.age(now) < s.warm_after_ms && n.response_time_ratio >= WARM_RESPONSE_TIME_RATIO;
        let warm_up = (n.age(now) - s.fall_ms) / s.warm_after_ms.max(1.0);
        is_cold.then(|| s.cold_from + (1.0 - s.cold_from) * warm_up.clamp(0.0, 1.0))
    }

    /// Cold nodes: returns the units that this host may send now, from a token bucket that holds its share of
    /// what a cold node can take, and always at least one request.
    fn cold_tokens_left(&self, n: &Node, now: f64) -> f64 {
        let Some(capacity_ratio) = self.cold_capacity_ratio(n, now) else { return f64::INFINITY };
        let share_units = self.cold_share_units(n, capacity_ratio);
        let tokens =
            n.cold_tokens + share_units / self.settings.fall_ms.max(1.0) * (now - n.cold_tokens_at).max(0.0);
        tokens.min(share_units.max(self.settings.max_units))
    }

    /// Cold nodes: returns the probability with which a request may go to a cold node.
    ///
    /// It applies where a host's share is less than one request, which would take too long to save up for
    /// while the node is cold. Each request has one random draw and goes if that is below the probability:
    /// the fraction of a warm node's work that the cold one can take, and at most this host's share divided
    /// by what is requested of one shard. The shares of all hosts so add up to the node's capacity, whatever
    /// restarts.
    fn cold_admission_probability(&self, n: &Node, now: f64) -> f64 {
        let s = &self.settings;
        let uses_draws = self.cold_share_units(n, s.cold_from) < s.mean_units;
        let Some(capacity_ratio) = self.cold_capacity_ratio(n, now).filter(|_| uses_draws) else {
            return 1.0;
        };
        let observed_ratio = 1.0
            - (-(now - self.state.first_list_at.unwrap_or(now)).max(s.fall_ms) / ENVELOPE_WINDOW_MS).exp();
        let requested_of_shard = self.state.units_requested.decayed(now, ENVELOPE_WINDOW_MS) / observed_ratio
            * s.fall_ms
            / ENVELOPE_WINDOW_MS
            / self.state.listed_shards;
        (COLD_NODE_LOAD_RATIO * s.fall_multiple * capacity_ratio)
            .min(self.cold_share_units(n, capacity_ratio) / requested_of_shard.max(1e-9))
    }

    /// Whether a node, if it is cold, can take a request of this size and draw now.
    fn cold_node_accepts(&self, n: &Node, units: f64, draw: f64, now: f64) -> bool {
        units <= self.cold_tokens_left(n, now) && draw < self.cold_admission_probability(n, now)
    }

    /// Returns this host's share, in units per overload window, of what a node at this fraction of its
    /// capacity can take: an even share of the stated units, or what its shard served for this host before,
    /// if that is more. The latter adds up over all hosts to what the node does when warm.
    fn cold_share_units(&self, n: &Node, capacity_ratio: f64) -> f64 {
        let s = &self.settings;
        let even_units = GUARDED_BUDGET_RATIO * s.cold_units / f64::from(s.hosts) / s.cold_from.max(1e-3);
        COLD_NODE_LOAD_RATIO
            * capacity_ratio
            * even_units.max(s.fall_multiple * n.usual_shard_units * s.fall_ms / SHARD_USE_DECAY_MS)
    }

    /// Drains and node list: nothing is sent to a node once the list says that it drains or is gone.
    fn on_node_list(&mut self, now: f64, kind: ListKind, entries: &[NodeEntry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.state.watch_failures = (self.state.watch_failures + 1).min(4);
            let wait = 250.0 * f64::from(1 << self.state.watch_failures) * (0.5 + self.random.next());
            actions.push(Action::SetTimer { at_ms: now + wait, label: TIMER_WATCH });
            actions.push(Action::Log(
                "the node list could not be fetched; the last one stays in use".to_owned(),
            ));
            return;
        }
        self.state.watch_failures = 0;
        let first_list_at = *self.state.first_list_at.get_or_insert(now);
        if kind == ListKind::Cached && self.settings.list_on_request {
            actions.push(Action::Watch(true));
        }
        if kind != ListKind::Changes {
            let listed: HashSet<u32> = entries.iter().map(|e| e.node).collect();
            for node in self.state.nodes.keys().filter(|n| !listed.contains(n)).copied().collect::<Vec<u32>>()
            {
                self.state.set_node_state(now, node, NodeState::Gone);
            }
        }
        let mut any_clock_corrected = false;
        // Ready nodes of each shard before this list, counted once however many entries of the list name the
        // shard.
        let mut ready_before: BTreeMap<u16, usize> = BTreeMap::new();
        for e in entries {
            let started = if e.started_ms.is_finite() { e.started_ms } else { now };
            let known = self.state.nodes.get_mut(&e.node);
            let was_not_ready = known.as_ref().is_some_and(|n| n.entry.state != NodeState::Ready);
            let is_new_start = known.as_ref().map_or(true, |n| is_restart(started, n.entry.started_ms));
            // It is listed again with the same start: the list had missed it, and it was not replaced.
            if let Some(n) = known.filter(|n| !is_new_start && n.entry.state == NodeState::Gone) {
                n.entry.state = if kind == ListKind::Cached { NodeState::Gone } else { e.state };
            }
            if is_new_start && e.state != NodeState::Gone {
                let entry = NodeEntry { started_ms: started, ..*e };
                let (up_since, clock_corrected) = self.state.start_clock.judge(now, started);
                any_clock_corrected |= clock_corrected;
                let mut new = Node::new(entry, now, up_since, self.tightest_aim_ms);
                let usual_units = self
                    .state
                    .shard_units_served
                    .get(&e.shard)
                    .map_or(0.0, |u| u.decayed(now, SHARD_USE_DECAY_MS));
                let s = &self.settings;
                // The shard's use is spread over all its nodes: a cold node is sent by what each of them
                // served.
                let ready_before =
                    *ready_before.entry(e.shard).or_insert_with(|| self.state.ready_nodes_in_shard(e.shard));
                let served_by = (ready_before + usize::from(was_not_ready)).max(1) as f64;
                new.usual_shard_units = usual_units
                    / served_by
                    / (1.0 - (-(now - first_list_at).max(s.fall_ms) / SHARD_USE_DECAY_MS).exp());
                // It starts with its share, and with one request that the draw may let through, or else with
                // a random part of one.
                let share_units = self.cold_share_units(&new, s.cold_from);
                let uses_draw = share_units < s.mean_units;
                new.cold_tokens =
                    share_units + if uses_draw { s.max_units } else { self.random.next() * s.mean_units };
                (new.cold_tokens_at, new.response_time_ratio) =
                    (up_since.at_ms.max(0.0), 1.0 / s.cold_from.max(1e-3));
                if let Some(mut old) = self.state.insert_node(new) {
                    self.state.unplaced.append(&mut old.queued);
                    self.state.nodes.entry(e.node).and_modify(|n| n.in_flight = old.in_flight);
                    for r in self.state.requests.values_mut().filter(|r| r.node == Some(e.node)) {
                        r.node = None;
                    }
                }
            }
            if e.state != NodeState::Ready {
                self.state.set_node_state(now, e.node, e.state);
            }
        }
        if kind != ListKind::Cached {
            self.state.start_clock.note_contact(now);
        }
        if any_clock_corrected {
            self.state.correct_starts(now);
        }
        self.state.listed_shards = self.state.nodes_by_shard.len().max(1) as f64;
        for id in std::mem::take(&mut self.state.unplaced) {
            match self.choose_node(now, id) {
                Some(node) => {
                    self.set_worth_ratio(now, id);
                    self.enqueue(now, id, node);
                }
                None => self.state.unplaced.push(id),
            }
        }
        self.on_tick(now, actions);
    }

    fn schedule_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if !self.state.tick_pending {
            self.state.tick_pending = true;
            let idle = self.state.requests.is_empty();
            let at_ms = now + if idle { IDLE_TICK_MS } else { TICK_MS };
            actions.push(Action::SetTimer { at_ms, label: TIMER_TICK });
        }
    }

    /// Detects that this host itself was stalled, by a suspended machine or a clock jump for example.
    ///
    /// Otherwise the gap would count as silence of all nodes, and requests that arrived during it would get
    /// their whole aim from now on.
    fn account_for_stall(&mut self, now: f64) {
        let gap = now - self.state.last_event_at;
        if gap > HOST_STALL_MS && self.state.tick_pending {
            self.state.last_stall = (self.state.last_event_at, now);
            self.state.nodes.values_mut().for_each(|n| n.last_response_at += gap);
        }
        self.state.last_event_at = self.state.last_event_at.max(now);
    }

    fn on_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.settings.hedging {
            self.enqueue_hedges(now);
        }
        self.cancel_lost_attempts(now, actions);
        self.dispatch_all(now, actions);
        if now - self.state.swept_at > VOLUME_USE_WINDOW_MS {
            self.state.swept_at = now;
            self.sweep(now);
        }
        self.schedule_tick(now, actions);
    }

    /// Removes state that is no longer needed, so that it stays bounded.
    fn sweep(&mut self, now: f64) {
        let oldest_counted =
            now - self.settings.retry_budget.map_or(0.0, |e| e.span_ms) - 2.0 * self.settings.round_ms;
        self.state.accepted_at.retain(|t| *t >= oldest_counted);
        self.state.retries_sent_at.retain(|t| *t >= oldest_counted);
        self.state.key_queues.retain(|_, queue| {
            !queue.requests.is_empty() || queue.in_flight > 0 || now < queue.cooldown_until
        });
        let is_forgettable = |n: &Node| n.entry.state == NodeState::Gone && n.in_flight == 0;
        self.state.retain_nodes(|n| !is_forgettable(n) || now - n.gone_at < IDLE_STATE_RETENTION_MS);
        for n in self.state.nodes.values_mut().filter(|n| n.in_flight == 0 && n.queued.is_empty()) {
            n.envelopes.release_empty(now);
        }
        // A volume that was removed starts again with an empty bucket, which never holds more than it is
        // allowed.
        self.state.volumes.retain(|_, v| now - v.last_seen_at < IDLE_STATE_RETENTION_MS);
        self.forget_excess_volumes();
    }

    /// Forgets the volumes that were idle for longest, beyond the number that is remembered.
    fn forget_excess_volumes(&mut self) {
        let excess = self.state.volumes.len().saturating_sub(MAX_IDLE_VOLUMES);
        if excess == 0 {
            return;
        }
        let in_use: HashSet<u64> = self.state.requests.values().map(|r| r.request.volume).collect();
        let idle = self.state.volumes.iter().filter(|(id, _)| !in_use.contains(id));
        let mut by_age: Vec<(f64, u64)> = idle.map(|(id, v)| (v.last_seen_at, *id)).collect();
        by_age.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, id) in by_age.into_iter().take(excess) {
            self.state.volumes.remove(&id);
        }
    }
}

impl Volume {
    /// Limits: returns the tokens in this host's bucket of the volume. A leased share ends at its time even
    /// if the host was stalled then, and the tokens above the floor's burst end with it.
    fn refilled(&self, now: f64, plan: &Plan, share: LimitShare) -> f64 {
        share.segments(self.limit_tokens_at, now).into_iter().fold(
            self.limit_tokens,
            |tokens, (rate_divisor, burst_divisor, ms)| {
                (tokens + share.usable_ratio * plan.limit / rate_divisor * ms / 1_000.0)
                    .min(plan.burst / burst_divisor)
            },
        )
    }
}

impl Node {
    /// Returns how long a node has been silent beyond its usual response time. Attempts in flight count at
    /// their age, so that an envelope without new samples does not stay as it is. An attempt is no sign of
    /// silence if one that was sent later was answered.
    fn silence_ms(&self, now: f64) -> f64 {
        let is_answered = self.in_flight == 0 || self.last_sent_at <= self.answered_send_at;
        let silent_since =
            if is_answered { now } else { self.last_response_at + 2.0 * self.response_time_ms };
        (now - silent_since).max(0.0)
    }
}
