//! The decisions of a scheduler and their tuned values, but for the envelopes of the admission test,
//! which are in `envelope.rs`; settings, events and actions are in `interface.rs`. Times are
//! milliseconds. Source of the mechanism: Kanodia and Knightly, "Ensuring Latency Targets in Multiclass
//! Web Servers"; what was kept and changed is in `docs/design/module.md`.

use crate::envelope::{BUCKET_MS, SPANS, TOP, WINDOW_MS};
use crate::interface::*;
use crate::node_age::is_restart;
use crate::state::*;
use crate::subset::Subset;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// In-flight limit of a node not yet known, requests.
pub(crate) const FIRST_LIMIT: f64 = 3.0;
/// The limit aims at answers within this part of the tightest aim, counted from the send.
const SOJOURN_PART: f64 = 0.6;
/// Answer time presumed of a node not yet known, as part of the tightest aim: it must count as in time.
pub(crate) const FIRST_SOJOURN: f64 = 0.25;
/// Usual answer times that must fit before the aim for a request to count as in time: answers vary.
const SURE: f64 = 2.0;
/// Weight of a new sample in running means: the last dozen or so count.
const BLEND: f64 = 0.12;
/// Requests of one extent sent in a row before the others get a look in.
const RUN: u32 = 8;
/// A held request gives way only to one worth this much more a unit of work: no churn among equals.
const GIVE_WAY: f64 = 1.2;
/// Moments of lost or refused connections in a row, without an answer between, that make a node unreachable.
const FAILURES: u32 = 3;
/// An unreachable or full node gets one request in this time, so that its return is seen without probes.
const TRICKLE_MS: f64 = 200.0;
/// All hosts together try a node that answers nothing once in this time, whatever its silence predicts.
const TRIAL_MS: f64 = 50.0;
/// A node's usual load is the mean of its reports over about this time; unheard of it fades.
const REPORT_MS: f64 = 2_000.0;
/// What a report tells of a wait beyond the usual is worked off at this part of the time that passes.
const DRAIN: f64 = 0.5;
/// Weight of a new sample in the fit of answer times to reports: the last hundred or so count.
const FIT_BLEND: f64 = 0.01;
/// Answers seen before that fit is used.
const FIT_SEEN: u32 = 10;
/// Part of its aim that a request of full standing may be predicted to take.
const FIT_PART: f64 = 0.8;
/// Part of its aim that is left to the wait at the least, however long the service alone takes.
const FIT_LEAST: f64 = 0.3;
/// Usual answer times after which an attempt is overdue where its node has answered what was sent later.
const LOST: f64 = 4.0;
/// One overdue attempt in so many is waited for all the same: what comes late is told from what never comes.
const SPARED: u32 = 8;
/// In this part of its time a request that no node may take is refused: the rest is for another try.
const UNSENT_PART: (f64, f64) = (0.45, 0.5);
/// Nodes that a new object looks at.
const LOOKED_AT: usize = 4;
/// Of nodes that are alike the one that started last is chosen: this is all that it counts, in milliseconds
/// of room, for a start this long after the host's first list.
const NEWER: f64 = 0.001;
const NEWEST_MS: f64 = 1_000_000.0;
/// Use of a volume, in parts of what its plan and weight give it, that still counts as inside its share.
const SHARE_X: f64 = 1.5;
/// Standing of volumes is judged over about this time, since worth is due by the second.
const STANDING_MS: f64 = 1_000.0;
/// Part of a guarded budget that is used; the rest covers clocks and rounding.
const SAFE_PART: f64 = 0.9;
/// The same of a volume's limit where the fleet's hosts divide it among them, and no part is used twice.
const LENT_PART: f64 = 0.98;
/// Part of what a cold node bears that is sent: shards are used unevenly, and asked for more than is usual.
const COLD_PART: f64 = 0.5;
/// A host's usual use of a shard is the mean over about this time: longer than a restart takes.
const USUAL_MS: f64 = 30_000.0;
/// A node is warm whose answers of late took less than this many times what its class takes at nodes long up.
const QUICK: f64 = 1.5;
/// Held requests are looked at again at this pace where a guard or trickle holds them.
const TICK_MS: f64 = 10.0;
/// The pace where nothing is held or out: a host that misses it by more than STALL_MS stood still itself.
const IDLE_TICK_MS: f64 = 50.0;
const STALL_MS: f64 = 150.0;
/// Gone nodes and idle volumes are remembered for this long.
const FORGET_MS: f64 = 60_000.0;

const TIMER_TICK: u64 = 1 << 40;
const TIMER_WATCH: u64 = 2 << 40;

// ---- The scheduler -------------------------------------------------------------------------------------

/// Decides for one host.
pub struct Scheduler {
    settings: Settings,
    books: Books,
    random: Random,
    subset: Subset,
    tightest_aim: f64,
    /// Units a second for each weight, were the nominal rates of all plans dealt out by weight.
    weight_units: f64,
}

impl Scheduler {
    /// Starts an instance from nothing.
    ///
    /// # Errors
    /// Names the setting that makes no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let tightest_aim = settings.classes.iter().map(|c| c.aim_ms).fold(f64::INFINITY, f64::min);
        let sum = |f: fn(&Plan) -> f64| settings.plans.iter().map(f).sum::<f64>();
        let weight_units = sum(|p| p.nominal) / sum(|p| p.weight).max(1e-6);
        let none = vec![0.0; settings.classes.len()];
        let books = Books { offsets: none.clone(), paces: none, ..Default::default() };
        Ok(Scheduler {
            settings,
            books,
            random: Random(seed),
            subset: Subset::new(seed),
            tightest_aim,
            weight_units,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.stood_still(now);
        match event {
            Event::NodeList(kind, entries) => self.on_list(now, kind, &entries, actions),
            Event::Request(q) => self.on_request(now, q, actions),
            Event::AttemptEnded(o) => self.on_outcome(now, &o, actions),
            Event::ResponseStarted { id } | Event::Abandoned { id } => self.books.end(id),
            Event::Timer { label: TIMER_TICK } => {
                self.books.ticking = false;
                self.on_tick(now, actions);
            }
            Event::Timer { label: TIMER_WATCH } => actions.push(Action::Watch(true)),
            Event::Timer { label } => {
                if let Some(r) = u32::try_from(label).ok().and_then(|id| self.books.requests.get(&id)) {
                    let at_ms = r.q.valid_until_ms - 2.0 * self.settings.round_ms;
                    let late = now > r.arrived + UNSENT_PART.1 * (r.q.valid_until_ms - r.arrived);
                    let none = matches!(self.held_by(now, r), Reason::NoNode | Reason::ColdNode);
                    if (r.tries > 0 || late || !none) && now < at_ms {
                        actions.push(Action::SetTimer { at_ms, label });
                    } else {
                        self.answer(now, r.q.id, 0.0, self.held_by(now, r), actions);
                    }
                }
            }
            Event::LimitShare { volume, plan, rate_divisor, burst_divisor, floor_divisor, until_ms } => {
                let share = Share { rate_divisor, burst_divisor, floor_divisor, until_ms, used: LENT_PART };
                let (v, plan) = (self.books.volumes.get_mut(&volume), self.settings.plans.get(plan as usize));
                // Guard, limits: what a part stored is kept only as far as the new part's bucket holds it.
                if let (Some(v), Some(p), Some(old)) = (v, plan, self.books.lent.insert(volume, share)) {
                    (v.tokens, v.tokens_at) = (v.filled(now, p, old), now);
                }
            }
            Event::Message { .. } | Event::ProbeFinished { .. } => {}
        }
    }

    // ---- Arrivals: the ordinary path -------------------------------------------------------------------

    fn on_request(&mut self, now: f64, mut q: Request, actions: &mut Vec<Action>) {
        self.books.taken.push_back(now);
        if self.books.requests.contains_key(&q.id) {
            return;
        }
        let known = usize::from(q.class) < self.settings.classes.len()
            && usize::from(q.plan) < self.settings.plans.len();
        if !known || !q.units.is_finite() || q.units < 0.0 || !q.valid_until_ms.is_finite() {
            actions.push(Action::Refuse { id: q.id, retry_after_ms: 0.0, reason: Reason::Invalid });
            return;
        }
        let all = f64::from(self.settings.hosts);
        q.volume_hosts = if q.volume_hosts >= 1.0 { q.volume_hosts.min(all) } else { all };
        let (from, to) = if self.books.stalled.1 == now { self.books.stalled } else { (now, now) };
        let arrived =
            (q.valid_until_ms - self.settings.classes[usize::from(q.class)].deadline_ms).max(from).min(to);
        // Guard, one final answer: its timer rings before the client gives up, whatever else happens.
        let at_ms = (arrived + UNSENT_PART.0 * (q.valid_until_ms - arrived)).max(now);
        actions.push(Action::SetTimer { at_ms, label: u64::from(q.id) });
        self.books.asked.add(now, q.units, WINDOW_MS);
        let held = Held { q, arrived, grade: 1.0, lot: self.random.next(), ..Default::default() };
        self.books.requests.insert(q.id, held);
        self.meet_volume(now, &q);
        if self.settings.classes[usize::from(q.class)].ordered && q.key != 0 {
            self.books.lanes.entry(q.key).or_default().queue.push_back(q.id);
        }
        let Some(node) = self.choose_node(now, q.id) else {
            self.books.unplaced.push(q.id);
            self.tick_soon(now, actions);
            return;
        };
        self.stand(now, q.id);
        if self.books.requests[&q.id].lot >= self.cold_chance(&self.books.nodes[&node], now) {
            self.answer(now, q.id, 0.0, Reason::ColdNode, actions);
            return;
        }
        let (limited, sojourn) = (self.limit_wait(now, q.id), self.books.nodes[&node].sojourn);
        if limited > 0.0 && limited > self.worth(&self.books.requests[&q.id], sojourn, now).1 {
            self.answer(now, q.id, limited, Reason::VolumeLimit, actions);
            return;
        }
        let predicted = self.predicted_room(now, q.id, node);
        let fits = predicted >= 0.0;
        let room = self.room(node, usize::from(q.class), now);
        if (room < 0.0 || !fits) && !self.make_way(now, q.id, node, fits, actions) {
            // Danger: past the largest k seen the envelope is far off, and a client told a second where a
            // blink would do has lost its aim by our word. What waits here and there is gone by then.
            let known = self.books.nodes.get(&node).map_or(0.0, |n| self.backlog(n, now));
            let (wait, reason) = if fits {
                ((-room).min(known), Reason::Envelope)
            } else {
                (-predicted / DRAIN, Reason::Prediction)
            };
            self.answer(now, q.id, wait, reason, actions);
            return;
        }
        self.hold(now, q.id, node);
        self.pump(now, node, actions);
        self.tick_soon(now, actions);
    }

    fn meet_volume(&mut self, now: f64, q: &Request) {
        let (plan, share) = (&self.settings.plans[usize::from(q.plan)], self.share(q));
        // Guard, limits: a host that restarted has forgotten what it sent, so the token bucket starts empty.
        let new = || Volume { tokens_at: now, part: 1.0 / q.volume_hosts, ..Default::default() };
        let v = self.books.volumes.entry(q.volume).or_insert_with(new);
        v.seen = now;
        v.own.add(now, q.units, STANDING_MS);
        v.owed += q.units;
        v.tokens = v.filled(now, plan, share);
        v.tokens_at = now;
    }

    /// An even part over the volume's hosts, or what the fleet lent this one.
    fn share(&self, q: &Request) -> Share {
        self.books.lent.get(&q.volume).copied().unwrap_or(Share::for_good(q.volume_hosts, SAFE_PART))
    }

    /// Guard, limits: how long until this host's part of the volume's token bucket holds this request's
    /// units, after those that wait for it already. Danger: held past its aim it is lost to its client, and
    /// in its node's queue it stands before others.
    fn limit_wait(&self, now: f64, id: u32) -> f64 {
        let Some(r) = self.books.requests.get(&id) else { return 0.0 };
        let (plan, share) = (&self.settings.plans[usize::from(r.q.plan)], self.share(&r.q));
        match self.books.volumes.get(&r.q.volume) {
            Some(v) if plan.limit > 0.0 => {
                let short = (v.owed - v.filled(now, plan, share)).max(0.0);
                1_000.0 * short * share.hosts_at(now).0 / (share.used * plan.limit)
            }
            _ => 0.0,
        }
    }

    /// The LMAC test: the least time, over the grid, that the request curve raised by one newcomer of this
    /// class stays within the aims of all classes at the node; below zero the newcomer does not fit.
    fn room(&mut self, node: u32, class: usize, now: f64) -> f64 {
        let Some(n) = self.books.nodes.get_mut(&node) else { return 0.0 };
        let mut least = f64::INFINITY;
        for (l, e) in n.envelopes.iter_mut() {
            e.roll(now);
            e.refresh();
            let own = l == class;
            for (i, span) in SPANS.iter().enumerate() {
                let tau = *span as f64 * BUCKET_MS;
                let k = if own {
                    e.requests(i, now, 1.0 / WINDOW_MS)
                } else {
                    e.requests(i, now, 0.0) + (tau + self.settings.classes[class].aim_ms) / WINDOW_MS
                };
                if let Some(s) = e.service(k) {
                    least = least.min(tau + self.settings.classes[l].aim_ms - s);
                }
            }
        }
        least
    }

    /// A request of a named shard has one node; a new object goes where the test leaves most room, less what
    /// this host already has waiting there.
    fn choose_node(&mut self, now: f64, id: u32) -> Option<u32> {
        let r = self.books.requests.get(&id)?;
        let (shard, class, ran) = (r.q.shard, usize::from(r.q.class), r.may_have_run);
        let (units, lot) = (r.q.units, r.lot);
        let began = self.books.since.unwrap_or(now);
        let beside = r.node.filter(|_| r.outstanding > 0);
        let keyed = self.settings.classes[class].effect == Effect::Keyed;
        let group = if keyed { self.settings.classes[class].group } else { Group::All };
        let in_group = |n: &Node, shard, zone| match group {
            Group::All => true,
            Group::Zone => zone == n.e.zone,
            Group::Shard => shard == n.e.shard,
        };
        let fits = |n: &Node| {
            n.e.state == NodeState::Ready
                && beside != Some(n.e.node)
                && shard.map_or(true, |s| s == n.e.shard)
                && ran.map_or(true, |(_, shard, zone)| in_group(n, shard, zone))
        };
        // A new object looks at a few nodes drawn at random: cheap with hundreds, and no herd of hosts.
        let mut candidates: Vec<u32> = match shard {
            Some(shard) => {
                let of_shard = self.books.by_shard.get(&shard).into_iter().flatten();
                of_shard.copied().filter(|id| self.books.nodes.get(id).is_some_and(fits)).collect()
            }
            None => self.books.nodes.iter().filter(|(_, n)| fits(n)).map(|(id, _)| *id).collect(),
        };
        if Subset::is_used(self.books.nodes.len()) {
            self.narrow(now, &mut candidates, shard.is_some());
        }
        let looked_at = candidates.len().min(if shard.is_some() { usize::MAX } else { LOOKED_AT });
        for i in 0..looked_at {
            let rest = candidates.len() - i;
            candidates.swap(i, i + (self.random.next() * rest as f64) as usize);
        }
        candidates.truncate(looked_at);
        let mut best = None;
        for node in candidates {
            let room = if shard.is_some() { 0.0 } else { self.room(node, class, now).min(WINDOW_MS) };
            let n = &self.books.nodes[&node];
            let waiting = self.backlog(n, now);
            // What a cold node can't bear goes to a neighbour that can, if there is one.
            let is_barred = now < n.rest_until || !self.bears(n, units, lot, now);
            let newer = (n.up_since.at_ms - began).clamp(0.0, NEWEST_MS) / NEWEST_MS * NEWER;
            let score = room - waiting - if is_barred { WINDOW_MS } else { 0.0 } + newer;
            if best.map_or(true, |(b, _)| score > b) {
                best = Some((score, node));
            }
        }
        best.map(|(_, node)| node)
    }

    /// Leaves of the candidates those that this host uses; those that rest only where all do.
    fn narrow(&self, now: f64, candidates: &mut Vec<u32>, is_one_shard: bool) {
        let is_rested = |id: &u32| self.books.nodes.get(id).is_some_and(|n| now >= n.rest_until);
        if candidates.iter().any(is_rested) {
            candidates.retain(is_rested);
        }
        self.subset.narrow(candidates, self.books.by_shard.len(), is_one_shard);
    }

    /// How long what waits for a node, here and there, takes it.
    fn backlog(&self, n: &Node, now: f64) -> f64 {
        (n.held.len() + n.out) as f64 * n.sojourn / n.in_flight_limit + self.wait(n, now)
    }

    /// Judges the newcomer by its volume's standing: two token buckets, one filled at the reserve, the other
    /// by weight, each with this host's part of the rate. Inside the first, the second, or spare.
    fn stand(&mut self, now: f64, id: u32) {
        let Some(r) = self.books.requests.get_mut(&id) else { return };
        let plan = &self.settings.plans[usize::from(r.q.plan)];
        let Some(v) = self.books.volumes.get_mut(&r.q.volume) else { return };
        let passed = (now - v.reserve_at).max(0.0) / 1_000.0;
        v.reserve_at = now;
        let share = SHARE_X * plan.weight * self.weight_units;
        let fill = |tokens: f64, rate: f64| {
            let rate = rate * v.part;
            (tokens + rate * passed).min(rate * STANDING_MS / 1_000.0 + self.settings.max_units)
        };
        (v.reserve, v.share) = (fill(v.reserve, plan.reserve), fill(v.share, share));
        if plan.reserve > 0.0 && v.reserve >= r.q.units {
            v.reserve -= r.q.units;
            r.grade = 1.0;
        } else if v.share >= r.q.units {
            v.share -= r.q.units;
            r.grade = self.settings.share_worth;
        } else {
            r.grade = self.settings.spare_worth;
        }
    }

    /// Wait at a node. Censored samples: what is out without a word counts at its age.
    fn wait(&self, n: &Node, now: f64) -> f64 {
        let in_vain = n.waited - DRAIN * (now - n.waited_at).max(0.0);
        self.reported(n, now).max(in_vain).max(n.silence(now))
    }

    /// The same, as all nodes had it at the load that this one reported last; old reports fade.
    fn reported(&self, n: &Node, now: f64) -> f64 {
        let (age, slope) = ((now - n.load_at).max(0.0), self.books.fit.slope());
        let usual = slope * n.usual_load * (-age / REPORT_MS).exp();
        let above = slope * n.load - usual;
        usual + (above.abs() - DRAIN * age).max(0.0) * above.signum()
    }

    /// Departure, borrowed samples: what is left of the aims of all classes when the wait at the node and
    /// the service alone are taken off. A newcomer of less standing may use less of the aims.
    fn predicted_room(&self, now: f64, id: u32, node: u32) -> f64 {
        let (r, n) = (&self.books.requests[&id], &self.books.nodes[&node]);
        if self.books.fit.seen < FIT_SEEN {
            return 0.0;
        }
        // Danger: refused on its silence alone, a node is not sent what would end it.
        let trial = r.q.shard.is_some() && now - n.last_sent >= TRIAL_MS * f64::from(self.settings.hosts);
        let wait = if trial { self.reported(n, now) } else { self.wait(n, now) };
        let part = FIT_PART * r.grade.clamp(0.0, 1.0).sqrt();
        let mut least = f64::INFINITY;
        for (l, class) in self.settings.classes.iter().enumerate() {
            let alone = self.books.offsets[l].max(0.0);
            let own = l == usize::from(r.q.class);
            let aim = if own { (self.aim_ends(r) - now).max(0.0) } else { class.aim_ms };
            least = least.min((aim - alone).max(aim * FIT_LEAST) * part - wait);
        }
        least
    }

    /// The aim that counts ends with the class's or with the client's patience.
    fn aim_ends(&self, r: &Held) -> f64 {
        (r.arrived + self.settings.classes[usize::from(r.q.class)].aim_ms).min(r.q.valid_until_ms)
    }

    /// Worth of a unit now, and the time to spare: what can no longer be served before its aim, or before its
    /// client leaves, counts as late. Units are taken as work: answer times would hide what writes put off.
    fn worth(&self, r: &Held, sojourn: f64, now: f64) -> (f64, f64) {
        let class = &self.settings.classes[usize::from(r.q.class)];
        let slack = self.aim_ends(r) - now - SURE * sojourn;
        let worth = class.worth * self.settings.plans[usize::from(r.q.plan)].worth_factor * r.grade;
        (worth * if slack < 0.0 { class.late_worth } else { 1.0 }, slack)
    }

    /// Departure, standing: the test says that something must go; it is the request, held or new, that is
    /// worth least for its work. Only what was never sent may go. True: the newcomer stays.
    fn make_way(&mut self, now: f64, id: u32, node: u32, fits: bool, actions: &mut Vec<Action>) -> bool {
        let (r, n) = (&self.books.requests[&id], &self.books.nodes[&node]);
        let own = self.worth(r, n.sojourn, now).0;
        // Spare capacity is used: with nothing waiting and room in flight, the test is moot.
        // Danger: what waits for its volume's limit, for order or a pause does not wait for the node; it
        // would have every other volume's requests refused there.
        let able = |id: &u32| self.books.requests.get(id).is_some_and(|r| self.barred(now, r).is_none());
        if fits && (n.out as f64) < n.in_flight_limit && !n.held.iter().any(able) {
            return true;
        }
        let never_sent = n.held.iter().filter_map(|h| self.books.requests.get(h)).filter(|r| r.tries == 0);
        let least =
            never_sent.map(|r| (self.worth(r, n.sojourn, now).0, r.q.id)).min_by(|a, b| a.0.total_cmp(&b.0));
        match least {
            Some((worth, victim)) if worth * GIVE_WAY < own => {
                self.answer(now, victim, n.sojourn, Reason::Displaced, actions);
                true
            }
            _ => false,
        }
    }

    fn hold(&mut self, now: f64, id: u32, node: u32) {
        let Some(r) = self.books.requests.get_mut(&id) else { return };
        let Some(n) = self.books.nodes.get_mut(&node) else { return };
        let before = r.node.replace(node);
        r.number = n.envelopes.admitted(usize::from(r.q.class), now);
        n.held.push(id);
        if let Some(old) = before.filter(|b| *b != node).and_then(|b| self.books.nodes.get_mut(&b)) {
            old.held.retain(|h| *h != id);
        }
    }

    // ---- Dispatch --------------------------------------------------------------------------------------

    /// Sends what may go to a node now.
    fn pump(&mut self, now: f64, node: u32, actions: &mut Vec<Action>) {
        loop {
            let Some(n) = self.books.nodes.get(&node) else { return };
            if n.held.is_empty() || n.e.state != NodeState::Ready || now < n.rest_until || n.out >= TOP {
                return;
            }
            let full = n.out as f64 >= n.in_flight_limit.floor();
            let run_on = n.run < RUN && n.last_key != 0;
            if full && !run_on {
                return;
            }
            let cold = (self.cold_room(n, now), self.cold_chance(n, now));
            let mut best: Option<(f64, u32)> = None;
            for id in &n.held {
                let Some(r) = self.books.requests.get(id) else { continue };
                let same = run_on && r.q.key == n.last_key;
                if (full && !same) || r.q.units > cold.0 || r.lot >= cold.1 || self.barred(now, r).is_some() {
                    continue;
                }
                let (worth, slack) = self.worth(r, n.sojourn, now);
                let score = worth + if same { 1e9 } else { 0.0 };
                // Departure, late work: it earns little and queues ahead of what other hosts send, so at most
                // one is out, and only while nothing else is; that one also keeps the answer time fresh.
                if slack < 0.0 && n.out > 0 {
                    continue;
                }
                if best.map_or(true, |(b, _)| score > b) {
                    best = Some((score, *id));
                }
            }
            let Some((_, id)) = best else { return };
            self.send(now, node, id, actions);
        }
    }

    fn send(&mut self, now: f64, node: u32, id: u32, actions: &mut Vec<Action>) {
        let again = self.books.requests.get(&id).filter(|r| r.tries > 0);
        let write_deadline_ms = again.map_or(f64::INFINITY, |r| self.repeat_until(r));
        let tokens = self.books.nodes.get(&node).map_or(0.0, |n| self.cold_room(n, now));
        let (Some(r), Some(n)) = (self.books.requests.get_mut(&id), self.books.nodes.get_mut(&node)) else {
            return;
        };
        n.held.retain(|h| *h != id);
        let run_on = r.q.key != 0 && r.q.key == n.last_key;
        (n.run, n.last_key) = (if run_on { n.run + 1 } else { 0 }, r.q.key);
        if n.out == 0 || n.last_sent <= n.heard {
            n.last_word = now;
        }
        n.last_sent = now;
        let class = usize::from(r.q.class);
        let lane = if self.settings.classes[class].ordered { r.q.key } else { 0 };
        let (shard, zone) = (n.e.shard, n.e.zone);
        let flight = Flight { node, sent: now, units: r.q.units, class, lane, shard, zone, given_up: false };
        if lane != 0 {
            self.books.lanes.entry(lane).or_default().outstanding += 1;
        }
        self.books.flights.insert((id, r.tries as u16), flight);
        n.out += 1;
        (n.cold_tokens, n.cold_at) = (tokens - r.q.units, now);
        if r.tries > 0 {
            self.books.extras.push_back(now);
        }
        if !r.charged {
            r.charged = true;
            if let Some(v) = self.books.volumes.get_mut(&r.q.volume) {
                v.tokens -= r.q.units;
                v.owed = (v.owed - r.q.units).max(0.0);
            }
        }
        r.tries += 1;
        r.outstanding += 1;
        r.sent = now;
        let timeout_ms = self.settings.classes[class].attempt_policy.attempt_timeout_ms;
        actions.push(Action::Send { id, node, timeout_ms, write_deadline_ms });
    }

    // ---- Outcomes --------------------------------------------------------------------------------------

    fn on_outcome(&mut self, now: f64, o: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(f) = self.books.flights.remove(&(o.id, o.attempt)) else { return };
        let unclear = matches!(o.result, AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled);
        if let Some(lane) = self.books.lanes.get_mut(&f.lane) {
            lane.outstanding = lane.outstanding.saturating_sub(1);
            if unclear {
                lane.rest_until = now + self.settings.key_rest_ms;
            }
        }
        self.learn(now, o, &f, actions);
        let never_ran = matches!(o.result, AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent);
        if let Some(r) = self.books.requests.get_mut(&o.id) {
            r.outstanding = r.outstanding.saturating_sub(1);
            if !never_ran && r.may_have_run.is_none() {
                r.may_have_run = Some((f.sent, f.shard, f.zone));
            }
        }
        if o.result == AttemptResult::Served || o.request_ended {
            self.books.end(o.id);
        } else if let Some(r) = self.books.requests.get(&o.id) {
            let alive = now < r.q.valid_until_ms - 2.0 * self.settings.round_ms && o.result != AttemptResult::NotSent;
            let again = alive && self.may_resend(now, r);
            let other = r.outstanding > 0;
            if again {
                self.pause(now, o.id);
            }
            match if again { self.choose_node(now, o.id) } else { None } {
                Some(node) => {
                    self.hold(now, o.id, node);
                    self.pump(now, node, actions);
                }
                None if again => self.books.unplaced.push(o.id),
                // The attempt beside it may still be served.
                None if other => {}
                None => {
                    self.answer(now, o.id, 0.0, o.result.reason(), actions);
                }
            }
        }
        self.pump(now, f.node, actions);
        self.tick_soon(now, actions);
    }

    /// Spreads further attempts: what fails together must not come again together.
    fn pause(&mut self, now: f64, id: u32) {
        let Some(r) = self.books.requests.get_mut(&id) else { return };
        let t = &self.settings.classes[usize::from(r.q.class)].attempt_policy;
        let spread = if t.retry_jitter_ms > 0.0 { t.retry_jitter_ms * self.random.next() } else { 0.0 };
        r.not_before = now + t.retry_delay_ms + spread;
    }

    /// Second attempts for what waits longer for its first than its class bears.
    fn double(&mut self, now: f64) {
        let due = |r: &&Held| r.outstanding > 0 && !r.doubled && self.may_resend(now, r);
        for id in self.books.requests.values().filter(due).map(|r| r.q.id).collect::<Vec<u32>>() {
            // The first may run yet: the second goes where a repeat of it is known, or nowhere.
            if let Some(r) = self.books.requests.get_mut(&id) {
                let first = r.node.and_then(|n| self.books.nodes.get(&n));
                r.may_have_run = r.may_have_run.or(first.map(|n| (r.sent, n.e.shard, n.e.zone)));
            }
            let Some(node) = self.choose_node(now, id) else { continue };
            self.books.requests.entry(id).and_modify(|r| r.doubled = true);
            self.hold(now, id, node);
        }
    }

    fn overdue(&self, now: f64, f: &Flight) -> bool {
        let usual = |n: &Node| n.sojourn.max(self.books.offsets[f.class]);
        self.books.nodes.get(&f.node).is_some_and(|n| f.sent < n.heard && now - f.sent > LOST * usual(n))
    }

    /// Danger: an answer lost on its way costs its request, and its place in flight until the client leaves.
    /// Where most overdue attempts never end they are given up, and repeated. Harm: dear requests run twice.
    fn give_up_lost(&mut self, now: f64, actions: &mut Vec<Action>) {
        if !self.settings.cancel || self.books.lost < 0.5 {
            return;
        }
        let over = |id: &u32, f: &Flight| {
            let harmless = |r: &Held| now < self.repeat_until(r) && self.extra_left(now);
            let open = self.books.requests.get(id);
            !f.given_up && id % SPARED > 0 && self.overdue(now, f) && open.map_or(true, harmless)
        };
        let lost: Vec<(u32, u16)> =
            self.books.flights.iter().filter(|((id, _), f)| over(id, f)).map(|(at, _)| *at).collect();
        for (id, attempt) in lost {
            self.books.flights.entry((id, attempt)).and_modify(|f| f.given_up = true);
            actions.push(Action::Cancel { id, attempt });
        }
    }

    /// What an outcome tells of its node and volume.
    fn learn(&mut self, now: f64, o: &AttemptOutcome, f: &Flight, actions: &mut Vec<Action>) {
        let Some(n) = self.books.nodes.get_mut(&f.node) else { return };
        n.out = n.out.saturating_sub(1);
        // The wire's own figure, where it has one: a host that stood still hears of answers late.
        let took = if (0.0..now - f.sent).contains(&o.elapsed_ms) { o.elapsed_ms } else { now - f.sent };
        let word = matches!(o.result, AttemptResult::Served | AttemptResult::Error | AttemptResult::Rejected);
        let unreached = matches!(o.result, AttemptResult::ConnectFailed | AttemptResult::Reset);
        // Danger: links that drop now and then would bench a sound node. The resets of one moment are one
        // failure; only consecutive failures without a word count. Harm: a dead node costs a few more tries.
        if word {
            (n.last_word, n.failures, n.waited) = (now, 0, 0.0);
            n.heard = n.heard.max(f.sent);
        } else if unreached && n.last_failure < now {
            (n.last_failure, n.failures) = (now, n.failures + 1);
            if n.failures == FAILURES {
                actions
                    .push(Action::Log(format!("node {} cannot be reached; a few tries at a time", f.node)));
            }
        }
        let sane = |v: Option<f64>, top: f64| v.filter(|v| (0.0..top).contains(v));
        let count = sane(o.queue, 1e4).or(sane(o.in_flight, 1e4));
        let told = count.map(|c| c * sane(o.latency_ms, 1e5).unwrap_or(1.0));
        // A node that answers nothing is as full as one can be. Danger: one answer lost on its way would
        // close a sound node for seconds; what was sent later and answered clears it. Harm: so it does a
        // dear request. Kept as a load, it would be read by another slope later, as minutes.
        if matches!(o.result, AttemptResult::TimedOut | AttemptResult::Cancelled) && f.sent > n.heard {
            (n.waited, n.waited_at) = (took, now);
        }
        if !f.given_up && self.overdue(now, f) {
            self.books.lost += BLEND * (f64::from(!word) - self.books.lost);
        }
        let Some(n) = self.books.nodes.get_mut(&f.node) else { return };
        if let Some(load) = told {
            n.usual_load += (1.0 - (-(now - n.load_at) / REPORT_MS).exp()) * (load - n.usual_load);
            (n.load, n.load_at) = (load, now);
            if o.result == AttemptResult::Served {
                // One dear request must not bend the line.
                let took = took.min(self.settings.classes[f.class].aim_ms);
                self.books.fit.add(load, took, FIT_BLEND);
                let rest = took - self.books.fit.slope() * load;
                self.books.offsets[f.class] += BLEND * (rest - self.books.offsets[f.class]);
                if n.age(now) >= self.settings.warm_after_ms {
                    self.books.paces[f.class] += BLEND * (rest - self.books.paces[f.class]);
                }
                n.slowness += BLEND * (took / self.books.paces[f.class].max(1.0) - n.slowness);
            }
        }
        if o.result == AttemptResult::Rejected || n.failures >= FAILURES {
            n.in_flight_limit = (n.in_flight_limit / 2.0).max(1.0);
            // Danger: a node that turns everything away at once looks idle and draws all (a black hole),
            // whatever filled it; and the tries of all hosts keep it full. One try, then a rest.
            n.rest_until = n.rest_until.max(now + TRICKLE_MS);
        }
        if o.result != AttemptResult::Served {
            return;
        }
        self.books.usual.entry(n.e.shard).or_default().add(now, f.units, USUAL_MS);
        n.sojourn += BLEND * (took - n.sojourn);
        let gap = 1.0 - n.sojourn / (SOJOURN_PART * self.tightest_aim);
        if gap < 0.0 || n.out as f64 + 1.0 >= n.in_flight_limit.floor() {
            n.in_flight_limit =
                (n.in_flight_limit + 0.5 * gap.max(-1.0) / n.in_flight_limit.sqrt()).clamp(1.0, TOP as f64);
        }
        if let Some(r) = self.books.requests.get(&o.id) {
            if r.node == Some(f.node) {
                if let Some(e) = n.envelopes.of_class(f.class) {
                    e.served(now, r.number);
                }
            }
            let plan = &self.settings.plans[usize::from(r.q.plan)];
            if let (Some(used), Some(v)) =
                (sane(o.used_percent, 1e6), self.books.volumes.get_mut(&r.q.volume))
            {
                let part = v.own.faded(now, STANDING_MS) / (used / 100.0 * plan.nominal).max(1e-3);
                v.part += BLEND * (part.clamp(1.0 / r.q.volume_hosts, 1.0) - v.part);
            }
        }
    }

    /// The final answer where it was not served: refused if that does no harm, failed otherwise.
    fn answer(&mut self, now: f64, id: u32, wait: f64, reason: Reason, actions: &mut Vec<Action>) {
        let Some(r) = self.books.requests.get(&id) else { return };
        let class = &self.settings.classes[usize::from(r.q.class)];
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => class.group == Group::All || (r.may_have_run.is_none() && r.outstanding == 0),
            Effect::Unsafe => r.may_have_run.is_none() && r.outstanding == 0,
        };
        if harmless {
            // The client comes again when the excess should be gone, and with time left for its try.
            let left = (r.q.valid_until_ms - now).max(0.0) / 2.0;
            let retry_after_ms = wait.clamp(0.0, left.min(self.settings.max_retry_after_ms));
            actions.push(Action::Refuse { id, retry_after_ms, reason });
        } else {
            actions.push(Action::Fail { id, reason });
        }
        if self.settings.cancel && r.outstanding > 0 {
            let out = self.books.flights.range((id, 0)..=(id, u16::MAX)).map(|((_, attempt), _)| *attempt);
            actions.extend(out.map(|attempt| Action::Cancel { id, attempt }));
        }
        self.books.end(id);
    }

    // ---- Guards ----------------------------------------------------------------------------------------

    /// Guard, limits, retry budget and order: what stands against sending this request at all now.
    fn barred(&self, now: f64, r: &Held) -> Option<Reason> {
        let plan = &self.settings.plans[usize::from(r.q.plan)];
        if plan.limit > 0.0 && !r.charged {
            let filled = |v: &Volume| v.filled(now, plan, self.share(&r.q));
            if self.books.volumes.get(&r.q.volume).map_or(true, |v| filled(v) < r.q.units) {
                return Some(Reason::VolumeLimit);
            }
        }
        if self.settings.classes[usize::from(r.q.class)].ordered && r.q.key != 0 {
            if let Some(lane) = self.books.lanes.get(&r.q.key) {
                let turn = lane.queue.front() == Some(&r.q.id);
                if !turn || (r.tries == 0 && (lane.outstanding > 0 || now < lane.rest_until)) {
                    return Some(Reason::KeyOrder);
                }
            }
        }
        match r.tries {
            0 => None,
            _ if now < r.not_before => Some(Reason::RetryDelay),
            _ if !self.may_resend(now, r) => Some(Reason::RetryNotAllowed),
            _ => (!self.extra_left(now)).then_some(Reason::RetryBudget),
        }
    }

    /// What a request waits for that has no answer yet.
    fn held_by(&self, now: f64, r: &Held) -> Reason {
        let node = r.node.and_then(|n| self.books.nodes.get(&n));
        let Some(n) = node.filter(|n| n.e.state == NodeState::Ready) else {
            return if r.outstanding > 0 { Reason::NoResponse } else { Reason::NoNode };
        };
        let late = n.out > 0 && self.worth(r, n.sojourn, now).1 < 0.0;
        match self.barred(now, r) {
            _ if r.outstanding > 0 => Reason::NoResponse,
            Some(reason) => reason,
            None if !self.bears(n, r.q.units, r.lot, now) => Reason::ColdNode,
            None if now < n.rest_until => Reason::Backoff,
            None if late => Reason::Late,
            None => Reason::InFlightLimit,
        }
    }

    /// What each request that has no answer waits for now: for people, and of no effect.
    pub fn waiting(&self, now: f64) -> impl Iterator<Item = (u32, Reason)> + '_ {
        self.books.requests.values().map(move |r| (r.q.id, self.held_by(now, r)))
    }

    /// Guard, no effect twice: whether another attempt can do no harm.
    fn may_resend(&self, now: f64, r: &Held) -> bool {
        let class = &self.settings.classes[usize::from(r.q.class)];
        let second = self.settings.hedging && class.attempt_policy.hedge_after_ms > 0.0;
        let beside = second && r.outstanding == 1 && now >= r.sent + class.attempt_policy.hedge_after_ms;
        (r.outstanding == 0 || beside) && now < self.repeat_until(r)
    }

    fn repeat_until(&self, r: &Held) -> f64 {
        let class = &self.settings.classes[usize::from(r.q.class)];
        let (asked, most) = (class.attempt_policy.attempts, self.settings.max_attempts);
        let first = r.may_have_run.map(|(sent, ..)| sent).or((r.outstanding > 0).then_some(r.sent));
        match (class.effect, first) {
            _ if r.tries >= if asked == 0 { most } else { asked.min(most) } => f64::NEG_INFINITY,
            (Effect::Safe, _) | (_, None) => f64::INFINITY,
            (Effect::Keyed, Some(sent)) => sent + class.window_ms * SAFE_PART,
            (Effect::Unsafe, Some(_)) => f64::NEG_INFINITY,
        }
    }

    /// Guard, retry budget: further attempts over the exact window.
    fn extra_left(&self, now: f64) -> bool {
        let Some(e) = self.settings.retry_budget else { return true };
        let from = now - e.span_ms;
        let taken = self.books.taken.iter().rev().take_while(|t| **t > from).count() as f64;
        let sent = self.books.extras.iter().rev().take_while(|t| **t >= from - self.settings.round_ms).count()
            as f64;
        sent + 1.0 <= e.free + e.ratio * taken
    }

    /// Part of its capacity that a node has at the least by now; `None`: all of it. Answers as quick as those
    /// of nodes long up show that it is warm, however lately it started.
    fn cold_by_now(&self, n: &Node, now: f64) -> Option<f64> {
        let s = &self.settings;
        let cold = n.age(now) < s.warm_after_ms && n.slowness >= QUICK;
        let warm = (n.age(now) - s.fall_ms) / s.warm_after_ms.max(1.0);
        cold.then(|| s.cold_from + (1.0 - s.cold_from) * warm.clamp(0.0, 1.0))
    }

    /// Guard, cold nodes: units that this host may send now: its part of what a cold node bears, as a token
    /// bucket, never shallower than one request.
    fn cold_room(&self, n: &Node, now: f64) -> f64 {
        let Some(least) = self.cold_by_now(n, now) else { return f64::INFINITY };
        let part = self.cold_units(n, least);
        let tokens = n.cold_tokens + part / self.settings.fall_ms.max(1.0) * (now - n.cold_at).max(0.0);
        tokens.min(part.max(self.settings.max_units))
    }

    /// Guard, cold nodes: the chance of a request. A part under one request is not saved up for while a node
    /// is cold; so each draws a lot, and the lower ones go: what this one bears of all that a warm one does,
    /// and no more than the part of what is asked of a shard. Whatever restarts, the parts add up.
    fn cold_chance(&self, n: &Node, now: f64) -> f64 {
        let s = &self.settings;
        let lots = self.cold_units(n, s.cold_from) < s.mean_units;
        let Some(least) = self.cold_by_now(n, now).filter(|_| lots) else { return 1.0 };
        let seen = 1.0 - (-(now - self.books.since.unwrap_or(now)).max(s.fall_ms) / WINDOW_MS).exp();
        let asked = self.books.asked.faded(now, WINDOW_MS) / seen * s.fall_ms / WINDOW_MS / self.books.shards;
        (COLD_PART * s.fall_multiple * least).min(self.cold_units(n, least) / asked.max(1e-9))
    }

    /// Whether a node may be sent a request of so many units and this lot now, as far as it is cold.
    fn bears(&self, n: &Node, units: f64, lot: f64, now: f64) -> bool {
        units <= self.cold_room(n, now) && lot < self.cold_chance(n, now)
    }

    /// Units within the span that are this host's part of what a node with this part of its capacity bears:
    /// an even one of what is stated, or of what the shard served each host before, which adds up to what it
    /// does warm.
    fn cold_units(&self, n: &Node, least: f64) -> f64 {
        let s = &self.settings;
        let even = SAFE_PART * s.cold_units / f64::from(s.hosts) / s.cold_from.max(1e-3);
        COLD_PART * least * even.max(s.fall_multiple * n.usual_units * s.fall_ms / USUAL_MS)
    }

    /// Guard, drains and list: nothing goes to a node from the first word that it drains or is gone.
    fn on_list(&mut self, now: f64, kind: ListKind, entries: &[NodeEntry], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.books.watch_failures = (self.books.watch_failures + 1).min(4);
            let wait = 250.0 * f64::from(1 << self.books.watch_failures) * (0.5 + self.random.next());
            actions.push(Action::SetTimer { at_ms: now + wait, label: TIMER_WATCH });
            actions.push(Action::Log("the node list cannot be had; going on with the last one".to_owned()));
            return;
        }
        self.books.watch_failures = 0;
        let since = *self.books.since.get_or_insert(now);
        if kind == ListKind::Cached && self.settings.list_on_request {
            actions.push(Action::Watch(true));
        }
        if kind != ListKind::Changes {
            let listed: HashSet<u32> = entries.iter().map(|e| e.node).collect();
            for node in self.books.nodes.keys().filter(|n| !listed.contains(n)).copied().collect::<Vec<u32>>()
            {
                self.books.set_state(now, node, NodeState::Gone);
            }
        }
        let mut clock_moved = false;
        // Nodes of each shard that took requests before this list: counted once, however many lines it has.
        let mut ready: BTreeMap<u16, usize> = BTreeMap::new();
        for e in entries {
            let started = if e.started_ms.is_finite() { e.started_ms } else { now };
            let known = self.books.nodes.get_mut(&e.node);
            let came_back = known.as_ref().is_some_and(|n| n.e.state != NodeState::Ready);
            let fresh = known.as_ref().map_or(true, |n| is_restart(started, n.e.started_ms));
            // Listed again with the start it had: it was missed by the list, not replaced.
            if let Some(n) = known.filter(|n| !fresh && n.e.state == NodeState::Gone) {
                n.e.state = if kind == ListKind::Cached { NodeState::Gone } else { e.state };
            }
            if fresh && e.state != NodeState::Gone {
                let entry = NodeEntry { started_ms: started, ..*e };
                let (up_since, is_further) = self.books.start_clock.judge(now, started);
                clock_moved |= is_further;
                let mut new = Node::new(entry, now, up_since, self.tightest_aim);
                let usual = self.books.usual.get(&e.shard).map_or(0.0, |u| u.faded(now, USUAL_MS));
                let s = &self.settings;
                // The shard's use is that of all its nodes: a cold one bears by what each of them did.
                let ready = *ready.entry(e.shard).or_insert_with(|| self.books.ready_in_shard(e.shard));
                let served_by = (ready + usize::from(came_back)).max(1) as f64;
                new.usual_units =
                    usual / served_by / (1.0 - (-(now - since).max(s.fall_ms) / USUAL_MS).exp());
                // Its part; and one request, which a lot lets through, or a part of one by chance.
                let part = self.cold_units(&new, s.cold_from);
                let by_lot = part < s.mean_units;
                new.cold_tokens = part + if by_lot { s.max_units } else { self.random.next() * s.mean_units };
                (new.cold_at, new.slowness) = (up_since.at_ms.max(0.0), 1.0 / s.cold_from.max(1e-3));
                if let Some(mut old) = self.books.insert_node(new) {
                    self.books.unplaced.append(&mut old.held);
                    self.books.nodes.entry(e.node).and_modify(|n| n.out = old.out);
                    for r in self.books.requests.values_mut().filter(|r| r.node == Some(e.node)) {
                        r.node = None;
                    }
                }
            }
            if e.state != NodeState::Ready {
                self.books.set_state(now, e.node, e.state);
            }
        }
        if kind != ListKind::Cached {
            self.books.start_clock.heard(now);
        }
        if clock_moved {
            self.books.correct_starts(now);
        }
        self.books.shards = self.books.by_shard.len().max(1) as f64;
        for id in std::mem::take(&mut self.books.unplaced) {
            match self.choose_node(now, id) {
                Some(node) => {
                    self.stand(now, id);
                    self.hold(now, id, node);
                }
                None => self.books.unplaced.push(id),
            }
        }
        self.on_tick(now, actions);
    }

    fn tick_soon(&mut self, now: f64, actions: &mut Vec<Action>) {
        if !self.books.ticking {
            self.books.ticking = true;
            let idle = self.books.requests.is_empty();
            let at_ms = now + if idle { IDLE_TICK_MS } else { TICK_MS };
            actions.push(Action::SetTimer { at_ms, label: TIMER_TICK });
        }
    }

    /// Danger: a host that stood still (a stall, a suspended machine, a clock that jumps) would read its own
    /// gap as silence of all nodes, and give what came meanwhile an aim that starts only now.
    fn stood_still(&mut self, now: f64) {
        let gap = now - self.books.last_event;
        if gap > STALL_MS && self.books.ticking {
            self.books.stalled = (self.books.last_event, now);
            self.books.nodes.values_mut().for_each(|n| n.last_word += gap);
        }
        self.books.last_event = self.books.last_event.max(now);
    }

    fn on_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.settings.hedging {
            self.double(now);
        }
        self.give_up_lost(now, actions);
        // Only a request without an answer is held: what is listed costs nothing here.
        let waiting: BTreeSet<u32> = self.books.requests.values().filter_map(|r| r.node).collect();
        for node in waiting {
            self.pump(now, node, actions);
        }
        if now - self.books.swept > STANDING_MS {
            self.books.swept = now;
            self.sweep(now);
        }
        self.tick_soon(now, actions);
    }

    /// Keeps state bounded, and forgets what is idle.
    fn sweep(&mut self, now: f64) {
        let kept = now - self.settings.retry_budget.map_or(0.0, |e| e.span_ms) - 2.0 * self.settings.round_ms;
        self.books.taken.retain(|t| *t >= kept);
        self.books.extras.retain(|t| *t >= kept);
        self.books.lanes.retain(|_, l| !l.queue.is_empty() || l.outstanding > 0 || now < l.rest_until);
        let lost = |n: &Node| n.e.state == NodeState::Gone && n.out == 0;
        self.books.retain_nodes(|n| !lost(n) || now - n.gone_at < FORGET_MS);
        for n in self.books.nodes.values_mut().filter(|n| n.out == 0 && n.held.is_empty()) {
            n.envelopes.release_empty(now);
        }
        // A forgotten volume starts again with an empty bucket, which is never more than it has.
        self.books.volumes.retain(|_, v| now - v.seen < FORGET_MS);
    }
}

impl Volume {
    /// Guard, limits: this host's part of the volume's token bucket. Danger: what was lent ends at its time,
    /// wherever the host stood still then; what it stored goes with it.
    fn filled(&self, now: f64, plan: &Plan, share: Share) -> f64 {
        share.stretches(self.tokens_at, now).into_iter().fold(self.tokens, |tokens, (hosts, burst, ms)| {
            (tokens + share.used * plan.limit / hosts * ms / 1_000.0).min(plan.burst / burst)
        })
    }
}

impl Node {
    /// Departure, censored samples: a node without a word longer than usual counts what is
    /// out at its age, so that a frozen envelope moves. What was sent before an answered one is no sign.
    fn silence(&self, now: f64) -> f64 {
        let proven = self.out == 0 || self.last_sent <= self.heard;
        let since = if proven { now } else { self.last_word + 2.0 * self.sojourn };
        (now - since).max(0.0)
    }
}
