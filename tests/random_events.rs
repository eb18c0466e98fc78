//! Long random streams of valid but adverse events, and an independent check that the rules are kept.

mod common;
use common::*;
use pearfork::*;
use std::collections::{BTreeMap, HashMap};

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }
}

#[derive(Default)]
struct RequestLog {
    request: Request,
    ended: bool,
    final_answers: u32,
    /// Time, node and result of each attempt.
    sends: Vec<(f64, u32, Option<AttemptResult>)>,
    last_ended_at: f64,
}

struct Check {
    settings: Settings,
    requests: BTreeMap<u32, RequestLog>,
    /// Request and attempt number.
    in_flight: Vec<(u32, u16)>,
    not_ready_since: HashMap<u32, f64>,
    started: HashMap<u32, f64>,
    /// Time, node and units of what was sent to cold nodes.
    cold: Vec<(f64, u32, f64)>,
    /// Time, shard and units of what was served.
    served: Vec<(f64, u16, f64)>,
    accepted_at: Vec<f64>,
    retries_at: Vec<f64>,
    hedges: usize,
    /// Tokens of each volume's limit, and when they were counted.
    limit_buckets: HashMap<u64, (f64, f64)>,
}

fn never_ran(result: Option<AttemptResult>) -> bool {
    matches!(result, Some(AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent))
}

impl Check {
    fn shard(node: u32) -> u16 {
        (node % 3) as u16
    }

    fn observe_actions(&mut self, now: f64, actions: &[Action]) {
        for a in actions {
            match a {
                Action::Send { id, node, timeout_ms, .. } => {
                    let class = usize::from(self.requests[id].request.class);
                    assert_eq!(*timeout_ms, self.settings.classes[class].attempt_policy.attempt_timeout_ms);
                    self.observe_send(now, *id, *node);
                }
                Action::Refuse { id, .. } => self.observe_final_answer(now, *id, true),
                Action::Fail { id, .. } => self.observe_final_answer(now, *id, false),
                _ => {}
            }
        }
    }

    fn observe_final_answer(&mut self, now: f64, id: u32, refused: bool) {
        let r = self.requests.get_mut(&id).expect("the request is known");
        assert!(!r.ended, "second final answer for {id}");
        let class = &self.settings.classes[usize::from(r.request.class)];
        let may_have_run = r.sends.iter().any(|s| !never_ran(s.2));
        let harmless =
            class.effect == Effect::Safe || (class.effect == Effect::Keyed && class.group == Group::All);
        assert!(!(refused && may_have_run) || harmless, "refused {id} that may have run");
        assert!(now <= r.request.valid_until_ms, "late answer for {id}");
        r.ended = true;
        r.final_answers += 1;
    }

    fn observe_send(&mut self, now: f64, id: u32, node: u32) {
        let r = self.requests.get_mut(&id).expect("the request is known");
        assert!(!r.ended, "sent {id} after its end");
        let class = &self.settings.classes[usize::from(r.request.class)];
        let policy = &class.attempt_policy;
        let in_flight: Vec<f64> = r.sends.iter().filter(|s| s.2.is_none()).map(|s| s.0).collect();
        let second = self.settings.hedging && policy.hedge_after_ms > 0.0 && class.effect != Effect::Unsafe;
        match in_flight[..] {
            [] => assert!(
                r.sends.is_empty() || now >= r.last_ended_at + policy.retry_delay_ms,
                "{id} retried before its delay"
            ),
            [first] => {
                assert!(second && now >= first + policy.hedge_after_ms, "two attempts of {id} are in flight")
            }
            _ => panic!("three attempts of {id} are in flight"),
        }
        self.hedges += usize::from(!in_flight.is_empty());
        let most = if policy.attempts > 0 {
            policy.attempts.min(self.settings.max_attempts)
        } else {
            self.settings.max_attempts
        };
        assert!(r.sends.len() < most as usize, "{id} has had its {most} attempts");
        if let Some(first) = r.sends.iter().find(|s| !never_ran(s.2)) {
            match class.effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("unsafe {id} retried"),
                Effect::Keyed => {
                    assert!(now <= first.0 + class.window_ms, "past the window");
                    assert!(
                        class.group != Group::Shard || Self::shard(node) == Self::shard(first.1),
                        "other shard"
                    );
                }
            }
        }
        assert!(
            !self.not_ready_since.get(&node).is_some_and(|since| now > since + self.settings.drain_grace_ms),
            "drained node {node}"
        );
        let started = self.started[&node];
        if started > 0.0 && now - started < self.settings.warm_after_ms {
            self.cold.push((now, node, r.request.units));
            let fall = self.settings.fall_ms;
            let sent: f64 = self
                .cold
                .iter()
                .filter(|c| c.1 == node && c.0 > now - fall && c.0 >= started)
                .map(|c| c.2)
                .sum();
            let capacity_ratio = self.settings.cold_from
                + (1.0 - self.settings.cold_from) * (now - started) / self.settings.warm_after_ms;
            // This host's even share, or its share by what the shard served for it before (over 30 s or since
            // its start) plus one request.
            let even_units = self.settings.cold_units * capacity_ratio
                / self.settings.cold_from
                / f64::from(self.settings.hosts);
            let before = started.clamp(fall, 30_000.0);
            let served_units: f64 = self
                .served
                .iter()
                .filter(|v| v.1 == Self::shard(node) && v.0 > started - 2.0 * before)
                .map(|v| v.2)
                .sum();
            let units_by_use = self.settings.fall_multiple * capacity_ratio * served_units / before * fall
                + self.settings.max_units;
            let allowed_units = even_units.max(units_by_use);
            assert!(sent <= allowed_units, "{sent} units to cold node {node} of {allowed_units}");
        }
        if !r.sends.is_empty() {
            self.retries_at.push(now);
            if let Some(budget) = self.settings.retry_budget {
                let n = self.retries_at.iter().filter(|t| **t >= now - budget.span_ms).count() as f64;
                let accepted = self.accepted_at.iter().filter(|t| **t > now - budget.span_ms).count() as f64;
                assert!(n <= budget.free + budget.ratio * accepted, "{n} retries for {accepted} requests");
            }
        } else {
            let plan = &self.settings.plans[usize::from(r.request.plan)];
            if plan.limit > 0.0 {
                let bucket = self
                    .limit_buckets
                    .entry(r.request.volume)
                    .or_insert((plan.burst / r.request.volume_hosts, 0.0));
                bucket.0 = (bucket.0 + plan.limit / r.request.volume_hosts * (now - bucket.1) / 1000.0)
                    .min(plan.burst / r.request.volume_hosts);
                bucket.0 -= r.request.units;
                bucket.1 = now;
                assert!(
                    bucket.0 >= -plan.slack / r.request.volume_hosts,
                    "volume {} past its limit",
                    r.request.volume
                );
            }
        }
        if class.ordered && r.request.key != 0 {
            let key = r.request.key;
            let earlier = self.requests.range(..id).any(|(_, other)| {
                let ordered = self.settings.classes[usize::from(other.request.class)].ordered;
                ordered
                    && other.request.key == key
                    && (!other.ended || other.sends.iter().any(|s| s.2.is_none()))
            });
            assert!(!earlier, "{id} sent before an earlier one on key {key}");
        }
        self.in_flight.push((id, self.requests[&id].sends.len() as u16));
        self.requests.get_mut(&id).unwrap().sends.push((now, node, None));
    }
}

/// Draws an attempt policy, invalid ones included: the rules hold whatever is configured.
fn random_policy(random: &mut Random) -> AttemptPolicy {
    let mut sometimes = |most: u64| if random.below(2) == 0 { 0.0 } else { random.below(most) as f64 };
    AttemptPolicy {
        attempt_timeout_ms: sometimes(300),
        attempts: sometimes(5) as u32,
        retry_delay_ms: sometimes(60),
        retry_jitter_ms: sometimes(60),
        hedge_after_ms: 1.0 + random.below(30) as f64,
    }
}

/// Runs one random stream of events and checks every action. Returns the numbers of sends, retries and
/// hedges.
fn run_seed(seed: u64, hosts: u32) -> (usize, usize, usize) {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut settings = settings();
    settings.hosts = hosts;
    settings.classes = vec![
        class(Effect::Safe, Group::All),
        class(Effect::Keyed, Group::Shard),
        class(Effect::Unsafe, Group::All),
        class(Effect::Keyed, Group::All),
    ];
    settings.classes[0].ordered = random.below(2) == 0;
    settings.classes[2].ordered = random.below(2) == 0;
    if random.below(2) == 0 {
        settings.retry_budget =
            Some(RetryBudget { free: random.below(4) as f64, ratio: 0.15, span_ms: 3000.0 });
    }
    if random.below(2) == 0 {
        (settings.plans[0].limit, settings.plans[0].burst, settings.plans[0].slack) = (20.0, 24.0, 2.0);
    }
    if seed % 2 == 0 {
        settings.hedging = true;
        settings.classes.iter_mut().for_each(|c| c.attempt_policy = random_policy(&mut random));
    }
    settings.list_on_request = random.below(2) == 0;
    let nodes: Vec<NodeEntry> = (0..6).map(|n| entry(n, Check::shard(n))).collect();
    let mut host = Host::with_nodes(settings.clone(), &nodes);
    let mut check = Check {
        requests: BTreeMap::new(),
        in_flight: Vec::new(),
        not_ready_since: HashMap::new(),
        started: nodes.iter().map(|n| (n.node, 0.0)).collect(),
        cold: Vec::new(),
        served: Vec::new(),
        accepted_at: Vec::new(),
        retries_at: Vec::new(),
        hedges: 0,
        limit_buckets: HashMap::new(),
        settings,
    };
    let mut now = 1.0;
    for id in 0..4000u32 {
        now += random.below(20) as f64;
        for (at, a) in host.run_timers_until(now) {
            check.observe_actions(at, &[a]);
        }
        let request = Request {
            id,
            class: random.below(4) as u16,
            key: random.below(5),
            valid_until_ms: now + 20.0 + random.below(2000) as f64,
            volume: random.below(4),
            units: 1.0 + random.below(6) as f64,
            shard: (random.below(4) > 0).then(|| random.below(4) as u16),
            volume_hosts: 2.0,
            plan: 0,
        };
        check.accepted_at.push(now);
        check.requests.insert(id, RequestLog { request, ..RequestLog::default() });
        let done = host.at(now, Event::Request(request));
        check.observe_actions(now, &done);
        for _ in 0..random.below(4) {
            if check.in_flight.is_empty() {
                break;
            }
            let (id, attempt) =
                check.in_flight.swap_remove(random.below(check.in_flight.len() as u64) as usize);
            let results = [
                AttemptResult::Served,
                AttemptResult::Served,
                AttemptResult::Served,
                AttemptResult::Error,
                AttemptResult::Rejected,
                AttemptResult::TimedOut,
                AttemptResult::ConnectFailed,
                AttemptResult::Reset,
                AttemptResult::Cancelled,
            ];
            let result = results[random.below(9) as usize];
            let r = check.requests.get_mut(&id).unwrap();
            let node = r.sends[usize::from(attempt)].1;
            r.sends[usize::from(attempt)].2 = Some(result);
            r.last_ended_at = now;
            if result == AttemptResult::Served {
                check.served.push((now, Check::shard(node), r.request.units));
            }
            if result == AttemptResult::Served && !r.ended {
                r.ended = true;
                r.final_answers += 1;
            }
            let mut outcome_of_attempt = outcome(id, attempt, node, result);
            outcome_of_attempt.request_ended = r.ended;
            outcome_of_attempt.used_percent = Some(random.below(400) as f64);
            let values = [f64::NAN, -1.0, 1e300, f64::INFINITY, 0.0, 3.0, 40.0];
            let mut report = || (random.below(2) == 0).then(|| values[random.below(7) as usize]);
            (
                outcome_of_attempt.queue,
                outcome_of_attempt.in_flight,
                outcome_of_attempt.latency_ms,
                outcome_of_attempt.util,
            ) = (report(), report(), report(), report());
            let done = host.at(now, Event::AttemptEnded(outcome_of_attempt));
            check.observe_actions(now, &done);
        }
        if random.below(40) == 0 {
            let node = random.below(6) as u32;
            let mut e = entry(node, Check::shard(node));
            match random.below(3) {
                0 => {
                    e.state = NodeState::Draining;
                    e.started_ms = check.started[&node];
                    check.not_ready_since.entry(node).or_insert(now);
                }
                1 => {
                    e.state = NodeState::Gone;
                    e.started_ms = check.started[&node];
                    check.not_ready_since.entry(node).or_insert(now);
                }
                _ => {
                    e.started_ms = now;
                    check.started.insert(node, now);
                    check.not_ready_since.remove(&node);
                    // What was sent to the node that it replaces does not count.
                    check.cold.retain(|sent| sent.1 != node);
                }
            }
            let done = host.at(now, Event::NodeList(ListKind::Changes, vec![e]));
            check.observe_actions(now, &done);
        }
        if random.below(100) == 0 {
            let done = host.at(now, Event::NodeList(ListKind::Failed, Vec::new()));
            check.observe_actions(now, &done);
        }
    }
    for (at, a) in host.run_timers_until(now + 3000.0) {
        check.observe_actions(at, &[a]);
    }
    assert!(
        check.requests.values().all(|r| r.ended && r.final_answers == 1),
        "each request has one final answer"
    );
    let sends = check.requests.values().map(|r| r.sends.len()).sum();
    (sends, check.retries_at.len(), check.hedges)
}

/// Checks the actions of the scheduler against an independent model of the rules: final answers, retries,
/// hedges, cold nodes and volume limits. The counts guard against streams in which too little happens to
/// break a rule.
#[test]
fn rules_hold_for_random_events() {
    let (mut sends, mut retries, mut hedges) = (0, 0, 0);
    for seed in 1..=32 {
        let (run_sends, run_retries, run_hedges) = run_seed(seed, [2, 40, 150][seed as usize % 3]);
        sends += run_sends;
        retries += run_retries;
        hedges += run_hedges;
    }
    assert!(sends > 5_000 && retries > 300, "the runs have too few events: {sends} sends, {retries} retries");
    assert!(hedges > 30, "only {hedges} hedges");
}
