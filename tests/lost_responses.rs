//! Responses that never arrive from healthy nodes: connections without traffic, and responses that are lost
//! on their way.

mod common;

use common::*;
use pearfork::*;

fn two_nodes() -> Host {
    Host::with_nodes(settings(), &[entry(1, 0), entry(2, 1)])
}

/// Sends a request to the node of a shard; returns whether it was sent.
fn send_request(h: &mut Host, now: f64, id: u32, shard: u16) -> bool {
    // Each request has its own volume, so none exceeds its share.
    let volume = 1_000 + u64::from(id);
    let q = Request { shard: Some(shard), volume, ..request(id, now + 1_000.0) };
    !sent(&h.at(now, Event::Request(q))).is_empty()
}

fn respond(h: &mut Host, now: f64, id: u32, node: u32, took: f64, queue: f64) {
    let ended = AttemptOutcome {
        elapsed_ms: took,
        queue: Some(queue),
        ..outcome(id, 0, node, AttemptResult::Served)
    };
    h.advance_to(now, Event::AttemptEnded(ended));
}

fn time_out(h: &mut Host, now: f64, id: u32, node: u32) {
    h.advance_to(
        now,
        Event::AttemptEnded(AttemptOutcome {
            elapsed_ms: 900.0,
            ..outcome(id, 0, node, AttemptResult::TimedOut)
        }),
    );
}

/// Returns a host after the first of two nodes has served twenty requests in 10 ms each, reporting `queue`
/// waiting ones, and the time.
fn host_with_history(queue: fn(u32) -> f64) -> (Host, f64) {
    let (mut h, mut now) = (two_nodes(), 0.0);
    for id in 0..20 {
        now += 50.0;
        assert!(send_request(&mut h, now, id, 0));
        respond(&mut h, now + 10.0, id, 1, 10.0, queue(id));
    }
    (h, now)
}

/// Guards against a node that is never used again. If the time that an attempt waited in vain were stored as
/// a load, a later and steeper slope of the fit would turn it into minutes, and no response would ever
/// correct it.
#[test]
fn an_unanswered_wait_is_forgotten_whatever_other_nodes_report() {
    let (mut h, mut now) = host_with_history(|_| 0.0);
    assert!(send_request(&mut h, now + 20.0, 100, 0));
    now += 1_018.0;
    time_out(&mut h, now, 100, 1);
    // The other node is busy at times, so the fit of response times to reports becomes known.
    for id in 200..300 {
        now += 60.0;
        let busy = f64::from(id % 4);
        if send_request(&mut h, now, id, 1) {
            let took = 10.0 + 10.0 * busy;
            respond(&mut h, now + took, id, 2, took, busy);
        }
    }
    h.run_timers_until(now + 3_000.0);
    assert!(
        send_request(&mut h, now + 3_000.0, 400, 0),
        "nothing is in flight there, and its last report was that it is idle"
    );
}

/// Guards against one lost response that closes its node for seconds, although requests that were sent later
/// were answered.
#[test]
fn a_response_to_a_later_request_clears_the_node() {
    let (mut h, mut now) = host_with_history(|id| f64::from(id % 3));
    assert!(send_request(&mut h, now + 15.0, 100, 0));
    for id in 200..220 {
        now += 50.0;
        assert!(send_request(&mut h, now, id, 0), "{id}");
        respond(&mut h, now + 10.0, id, 1, 10.0, f64::from(id % 3));
    }
    // No request is sent for a while, so the lack of responses is not the node's silence.
    assert!(send_request(&mut h, now + 115.0, 300, 0));
    respond(&mut h, now + 125.0, 300, 1, 10.0, 0.0);
    time_out(&mut h, now + 130.0, 100, 1);
    assert!(send_request(&mut h, now + 135.0, 301, 0), "the node responded to all that was sent since");
}

/// A node that does not respond at all is still detected.
#[test]
fn a_node_that_does_not_respond_is_not_used_for_a_while() {
    let (mut h, now) = host_with_history(|id| f64::from(id % 3));
    assert!(send_request(&mut h, now + 20.0, 100, 0));
    h.run_timers_until(now + 400.0);
    assert!(send_request(&mut h, now + 400.0, 101, 0), "a trial");
    assert!(!send_request(&mut h, now + 405.0, 102, 0));
    time_out(&mut h, now + 1_018.0, 100, 1);
    h.run_timers_until(now + 1_030.0);
    assert!(send_request(&mut h, now + 1_030.0, 103, 0), "a trial");
    assert!(!send_request(&mut h, now + 1_060.0, 104, 0));
}

/// Guards against a node that stays closed: if everything is refused because of its silence, no response can
/// show that it is healthy.
#[test]
fn a_silent_node_gets_trials_and_is_used_again_after_a_response() {
    let (mut h, now) = host_with_history(|id| f64::from(id % 3));
    assert!(send_request(&mut h, now + 20.0, 100, 0));
    let trials: Vec<u32> =
        (0..16).filter(|i| send_request(&mut h, now + 130.0 + 10.0 * f64::from(*i), 200 + i, 0)).collect();
    assert!((1..=2).contains(&trials.len()), "{trials:?}");
    let last = trials[trials.len() - 1];
    respond(&mut h, now + 290.0, 200 + last, 1, 10.0, 0.0);
    let actions = h.at(now + 291.0, Event::Request(Request { volume: 9, ..request(301, now + 1_290.0) }));
    assert!(!actions.iter().any(|a| matches!(a, Action::Refuse { .. })), "{actions:?}");
}

/// Simulates a node that responds in 10 ms, but to every fifth request only after `late`. Returns the ages at
/// which attempts were cancelled.
fn cancelled_ages(effect: Effect, late: f64) -> Vec<f64> {
    let mut settings = settings();
    settings.classes = vec![class(effect, Group::All)];
    let mut h = Host::with_nodes(settings, &[entry(1, 0)]);
    let mut due: Vec<(f64, u32, u16, f64)> = Vec::new();
    let mut sent_at = std::collections::HashMap::new();
    let mut cancelled = Vec::new();
    for step in 0..12_000u32 {
        let now = f64::from(step);
        let mut out: Vec<(f64, Action)> = h.run_timers_until(now);
        if step % 25 == 0 {
            let volume = 1_000 + u64::from(step);
            let q = Request { volume, ..request(step / 25, now + 1_000.0) };
            out.extend(h.at(now, Event::Request(q)).into_iter().map(|a| (now, a)));
        }
        while let Some(at) = due.iter().position(|d| d.0 <= now) {
            let (_, id, attempt, took) = due.swap_remove(at);
            let result = if took >= 900.0 { AttemptResult::TimedOut } else { AttemptResult::Served };
            let ended =
                AttemptOutcome { elapsed_ms: took, queue: Some(0.0), ..outcome(id, attempt, 1, result) };
            out.extend(h.at(now, Event::AttemptEnded(ended)).into_iter().map(|a| (now, a)));
        }
        while let Some((at, action)) = out.pop() {
            match action {
                Action::Send { id, .. } => {
                    let attempt = sent_at.entry(id).or_insert_with(Vec::new);
                    attempt.push(at);
                    let number = attempt.len() as u16 - 1;
                    let took = if id % 5 == 0 && number == 0 { late } else { 10.0 };
                    due.push((at + took, id, number, took));
                }
                Action::Cancel { id, attempt } => {
                    due.retain(|d| (d.1, d.2) != (id, attempt));
                    let age = at - sent_at[&id][usize::from(attempt)];
                    if age < 900.0 {
                        cancelled.push(age);
                    }
                    let ended = Event::AttemptEnded(outcome(id, attempt, 1, AttemptResult::Cancelled));
                    out.extend(h.at(at, ended).into_iter().map(|a| (at, a)));
                }
                _ => {}
            }
        }
    }
    cancelled
}

/// Each lost response otherwise costs its request, and an in-flight slot until its client leaves.
#[test]
fn overdue_attempts_are_cancelled_early_where_late_responses_never_arrive() {
    let cancelled = cancelled_ages(Effect::Safe, 990.0);
    assert!(cancelled.len() > 40, "{cancelled:?}");
    assert!(cancelled.iter().skip(10).all(|age| *age < 200.0), "{cancelled:?}");
    assert!(cancelled_ages(Effect::Keyed, 990.0).len() > 40);
}

/// Slow and expensive requests that are cancelled and retried would cost their work twice.
#[test]
fn no_attempt_is_cancelled_where_late_responses_arrive_or_a_repeat_does_harm() {
    assert_eq!(cancelled_ages(Effect::Safe, 400.0), [0.0; 0]);
    assert_eq!(cancelled_ages(Effect::Unsafe, 990.0), [0.0; 0]);
}
