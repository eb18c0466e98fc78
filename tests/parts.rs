//! Parts of a limit that change under the host's feet: whoever holds what when, all hosts together keep the limit.

mod common;
use common::*;
use pearfork::*;

const LIMIT: f64 = 50.0;
const BURST: f64 = 30.0;

fn limited() -> Settings {
    let mut s = settings();
    s.plans = vec![Plan { limit: LIMIT, burst: BURST, ..plan() }];
    s
}

fn part(part: f64, floor: f64, until_ms: f64) -> Event {
    let hosts = |p: f64| if p > 0.0 { 1.0 / p } else { f64::INFINITY };
    let (of_rate, floor_divisor) = (hosts(part), hosts(floor));
    Event::LimitShare { volume: 1, plan: 0, rate_divisor: of_rate, burst_divisor: of_rate, floor_divisor, until_ms }
}

/// Requests at a steady pace, each answered at once; units sent.
fn flood(h: &mut Host, id: &mut u32, from: f64, to: f64) -> f64 {
    let (mut now, mut units) = (from, 0.0);
    while now < to {
        *id += 1;
        let out = h.on_to(now, Event::Request(request(*id, now + 1_000.0)));
        for (_, a) in &out {
            if let Action::Send { id, node, .. } = a {
                units += 2.0;
                h.on_to(now, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Served)));
            }
        }
        now += 10.0;
    }
    units
}

#[test]
fn a_part_is_used_nearly_whole_and_only_until_it_is_over() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.on_to(0.0, part(1.0, 0.1, 3_000.0));
    let mut id = 0;
    let lent = flood(&mut h, &mut id, 1.0, 3_000.0);
    assert!((LIMIT * 3.0 * 0.93..=LIMIT * 3.0 + BURST).contains(&lent), "{lent}");
    // Nothing is said to it at 3 s: its lease is over by itself.
    let floor = flood(&mut h, &mut id, 3_000.0, 7_000.0);
    assert!(floor <= LIMIT * 4.0 * 0.1 + BURST * 0.1 + 2.0 && floor > 0.0, "{floor}");
}

/// Danger: a process that stood still past its lease wakes with requests held and tokens stored by a part that is
/// another host's by then.
#[test]
fn a_host_that_stood_still_past_its_lease_sends_nothing_by_it() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.on_to(0.0, part(1.0, 0.0, 2_000.0));
    h.at(1.0, Event::Request(request(1, 60_000.0)));
    // A second of filling without use, then it stands still until long after: all timers ring at once, late.
    let mut out = h.at(9_000.0, Event::Request(request(2, 10_000.0)));
    for (_, label) in std::mem::take(&mut h.timers) {
        out.extend(h.at(9_000.0, Event::Timer { label }));
    }
    assert!(sent(&out).is_empty(), "{out:?}");
}

#[test]
fn a_part_that_comes_down_takes_what_it_stored_along() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.on_to(0.0, part(1.0, 0.0, 60_000.0));
    h.on_to(1.0, Event::Request(request(1, 1_000.0)));
    // Its store is full by now; a tenth of it may stay, and what comes back later begins there.
    h.on_to(5_000.0, part(0.1, 0.0, 60_000.0));
    h.on_to(5_001.0, part(1.0, 0.0, 60_000.0));
    let mut id = 10;
    let units = flood(&mut h, &mut id, 5_002.0, 5_003.0);
    assert!(units <= BURST * 0.1 + 2.0, "{units}");
}

/// Parts jump from host to host at the worst moments, and each host takes all it can: the limit's one store for all
/// never falls below nothing.
#[test]
fn whatever_way_parts_move_all_hosts_together_keep_the_limit() {
    for seed in 1..40u64 {
        let mut draw = seed;
        let mut next = |n: u64| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (draw >> 33) % n
        };
        let hosts = 2 + next(5) as usize;
        let mut all: Vec<Host> = (0..hosts).map(|_| Host::with_nodes(limited(), &[entry(1, 0)])).collect();
        for h in &mut all {
            h.on_to(0.0, part(0.0, 0.0, f64::NEG_INFINITY));
        }
        // What each may use, until when; nobody is given what another still has.
        let mut held = vec![(0.0f64, 0.0f64); hosts];
        let (mut now, mut id) = (1.0, 0);
        let mut store = Store { left: BURST, at: 0.0, sent: 0, seed };
        for _ in 0..400 {
            now += 1.0 + next(90) as f64;
            let mut rung: Vec<(f64, usize, Action)> = Vec::new();
            for (i, h) in all.iter_mut().enumerate() {
                rung.extend(h.ring_until(now).into_iter().map(|(when, a)| (when, i, a)));
            }
            rung.sort_by(|a, b| a.0.total_cmp(&b.0));
            rung.retain(|(_, _, a)| matches!(a, Action::Send { .. }));
            rung.iter().for_each(|(when, ..)| store.draw(*when));
            rung.iter().for_each(|(_, i, a)| store.answer(now, &mut all[*i], a));
            let who = next(hosts as u64) as usize;
            match next(4) {
                0 => {
                    // A holder gives some back, or its lease runs out on its own.
                    let kept = held[who].0 * next(3) as f64 / 2.0;
                    held[who].0 = kept;
                    all[who].at(now, part(kept, 0.0, held[who].1));
                }
                1 => {
                    let used: f64 = held.iter().filter(|h| h.1 > now).map(|h| h.0).sum();
                    let mine = if held[who].1 > now { held[who].0 } else { 0.0 };
                    let new = mine + (1.0 - used).max(0.0) * next(5) as f64 / 4.0;
                    held[who] = (new, now + 50.0 + next(800) as f64);
                    all[who].at(now, part(new, 0.0, held[who].1));
                }
                _ => {
                    for _ in 0..next(12) {
                        id += 1;
                        let out = all[who].at(now, Event::Request(request(id, now + 300.0)));
                        out.iter().for_each(|a| store.sent_now(now, &mut all[who], a));
                    }
                }
            }
        }
        assert!(store.sent > 20, "seed {seed}: {}", store.sent);
    }
}

/// The limit as one store for all hosts.
struct Store {
    left: f64,
    at: f64,
    sent: usize,
    seed: u64,
}

impl Store {
    fn draw(&mut self, when: f64) {
        self.left = (self.left + LIMIT * (when - self.at) / 1_000.0).min(BURST) - 2.0;
        (self.at, self.sent) = (when, self.sent + 1);
        assert!(self.left >= -1e-6, "seed {} at {when}: {}", self.seed, self.left);
    }

    fn sent_now(&mut self, now: f64, host: &mut Host, action: &Action) {
        if matches!(action, Action::Send { .. }) {
            self.draw(now);
            self.answer(now, host, action);
        }
    }

    /// Served at once; what that lets go goes now.
    fn answer(&mut self, now: f64, host: &mut Host, action: &Action) {
        let Action::Send { id, node, .. } = action else { return };
        for a in host.at(now, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Served))) {
            self.sent_now(now, host, &a);
        }
    }
}
