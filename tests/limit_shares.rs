//! Leased shares of a volume's limit that change: whichever host holds which share, all hosts together keep
//! the limit.

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

fn share(share: f64, floor: f64, until_ms: f64) -> Event {
    let divide = |p: f64| if p > 0.0 { 1.0 / p } else { f64::INFINITY };
    let (divisor, floor_divisor) = (divide(share), divide(floor));
    Event::LimitShare {
        volume: 1,
        plan: 0,
        rate_divisor: divisor,
        burst_divisor: divisor,
        floor_divisor,
        until_ms,
    }
}

/// Sends requests at a constant rate, each served at once, and returns the units that were sent.
fn serve_steadily(h: &mut Host, id: &mut u32, from: f64, to: f64) -> f64 {
    let (mut now, mut units) = (from, 0.0);
    while now < to {
        *id += 1;
        let out = h.advance_to(now, Event::Request(request(*id, now + 1_000.0)));
        for (_, a) in &out {
            if let Action::Send { id, node, .. } = a {
                units += 2.0;
                h.advance_to(now, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Served)));
            }
        }
        now += 10.0;
    }
    units
}

#[test]
fn a_share_is_used_almost_fully_until_it_ends() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.advance_to(0.0, share(1.0, 0.1, 3_000.0));
    let mut id = 0;
    let leased = serve_steadily(&mut h, &mut id, 1.0, 3_000.0);
    assert!((LIMIT * 3.0 * 0.93..=LIMIT * 3.0 + BURST).contains(&leased), "{leased}");
    // The host is not notified at 3 s: its lease ends by itself.
    let floor = serve_steadily(&mut h, &mut id, 3_000.0, 7_000.0);
    assert!(floor <= LIMIT * 4.0 * 0.1 + BURST * 0.1 + 2.0 && floor > 0.0, "{floor}");
}

/// Guards against a host that was stalled past its lease: its queued requests and stored tokens belong to a
/// share that another host holds by then.
#[test]
fn a_host_that_was_stalled_past_its_lease_sends_nothing() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.advance_to(0.0, share(1.0, 0.0, 2_000.0));
    h.at(1.0, Event::Request(request(1, 60_000.0)));
    // The bucket fills for two seconds without use. Then the host is stalled until long after, and all
    // timers expire at once, late.
    let mut out = h.at(9_000.0, Event::Request(request(2, 10_000.0)));
    for (_, label) in std::mem::take(&mut h.timers) {
        out.extend(h.at(9_000.0, Event::Timer { label }));
    }
    assert!(sent(&out).is_empty(), "{out:?}");
}

#[test]
fn a_reduced_share_loses_its_stored_tokens() {
    let mut h = Host::with_nodes(limited(), &[entry(1, 0)]);
    h.advance_to(0.0, share(1.0, 0.0, 60_000.0));
    h.advance_to(1.0, Event::Request(request(1, 1_000.0)));
    // The bucket is full by now. A tenth of it may stay, and a larger share later starts from there.
    h.advance_to(5_000.0, share(0.1, 0.0, 60_000.0));
    h.advance_to(5_001.0, share(1.0, 0.0, 60_000.0));
    let mut id = 10;
    let units = serve_steadily(&mut h, &mut id, 5_002.0, 5_003.0);
    assert!(units <= BURST * 0.1 + 2.0, "{units}");
}

/// Shares move between hosts at random, and each host uses all it can: the one bucket of the whole limit
/// never falls below zero.
#[test]
fn all_hosts_together_keep_the_limit_while_shares_move() {
    for seed in 1..40u64 {
        let mut draw = seed;
        let mut next = |n: u64| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (draw >> 33) % n
        };
        let hosts = 2 + next(5) as usize;
        let mut all: Vec<Host> = (0..hosts).map(|_| Host::with_nodes(limited(), &[entry(1, 0)])).collect();
        for h in &mut all {
            h.advance_to(0.0, share(0.0, 0.0, f64::NEG_INFINITY));
        }
        // The share of each host and its end; no host gets what another still holds.
        let mut held = vec![(0.0f64, 0.0f64); hosts];
        let (mut now, mut id) = (1.0, 0);
        let mut bucket = TokenBucket { left: BURST, at: 0.0, sent: 0, seed };
        for _ in 0..400 {
            now += 1.0 + next(90) as f64;
            let mut timer_actions: Vec<(f64, usize, Action)> = Vec::new();
            for (i, h) in all.iter_mut().enumerate() {
                timer_actions.extend(h.run_timers_until(now).into_iter().map(|(when, a)| (when, i, a)));
            }
            timer_actions.sort_by(|a, b| a.0.total_cmp(&b.0));
            timer_actions.retain(|(_, _, a)| matches!(a, Action::Send { .. }));
            timer_actions.iter().for_each(|(when, ..)| bucket.take_two_units(*when));
            timer_actions.iter().for_each(|(_, i, a)| bucket.serve(now, &mut all[*i], a));
            let host = next(hosts as u64) as usize;
            match next(4) {
                0 => {
                    // A host returns some of its share, or its lease ends by itself.
                    let kept_share = held[host].0 * next(3) as f64 / 2.0;
                    held[host].0 = kept_share;
                    all[host].at(now, share(kept_share, 0.0, held[host].1));
                }
                1 => {
                    let used: f64 = held.iter().filter(|h| h.1 > now).map(|h| h.0).sum();
                    let mine = if held[host].1 > now { held[host].0 } else { 0.0 };
                    let new = mine + (1.0 - used).max(0.0) * next(5) as f64 / 4.0;
                    held[host] = (new, now + 50.0 + next(800) as f64);
                    all[host].at(now, share(new, 0.0, held[host].1));
                }
                _ => {
                    for _ in 0..next(12) {
                        id += 1;
                        let out = all[host].at(now, Event::Request(request(id, now + 300.0)));
                        out.iter().for_each(|a| bucket.take_and_serve(now, &mut all[host], a));
                    }
                }
            }
        }
        assert!(bucket.sent > 20, "seed {seed}: {}", bucket.sent);
    }
}

/// The limit as one token bucket for all hosts.
struct TokenBucket {
    left: f64,
    at: f64,
    sent: usize,
    seed: u64,
}

impl TokenBucket {
    /// Refills the bucket up to a time and takes two units, the cost of each request. Panics if fewer are
    /// left.
    fn take_two_units(&mut self, when: f64) {
        self.left = (self.left + LIMIT * (when - self.at) / 1_000.0).min(BURST) - 2.0;
        (self.at, self.sent) = (when, self.sent + 1);
        assert!(self.left >= -1e-6, "seed {} at {when}: {}", self.seed, self.left);
    }

    fn take_and_serve(&mut self, now: f64, host: &mut Host, action: &Action) {
        if matches!(action, Action::Send { .. }) {
            self.take_two_units(now);
            self.serve(now, host, action);
        }
    }

    /// Serves an attempt at once, and sends what that releases.
    fn serve(&mut self, now: f64, host: &mut Host, action: &Action) {
        let Action::Send { id, node, .. } = action else { return };
        for a in host.at(now, Event::AttemptEnded(outcome(*id, 0, *node, AttemptResult::Served))) {
            self.take_and_serve(now, host, &a);
        }
    }
}
