//! Answers that never come, of nodes that are sound: connections gone silent, answers lost on their way.

mod common;

use common::*;
use pearfork::*;

fn two_nodes() -> Host {
    Host::with_nodes(settings(), &[entry(1, 0), entry(2, 1)])
}

/// Sends a request to the node of a shard; whether it went out.
fn ask(h: &mut Host, now: f64, id: u32, shard: u16) -> bool {
    // Each of a volume of its own: none asks beyond its share.
    let volume = 1_000 + u64::from(id);
    let q = Request { shard: Some(shard), volume, ..request(id, now + 1_000.0) };
    !sent(&h.at(now, Event::Request(q))).is_empty()
}

fn answer(h: &mut Host, now: f64, id: u32, node: u32, took: f64, queue: f64) {
    let told = AttemptOutcome { elapsed_ms: took, queue: Some(queue), ..outcome(id, 0, node, AttemptResult::Served) };
    h.on_to(now, Event::AttemptEnded(told));
}

fn silent(h: &mut Host, now: f64, id: u32, node: u32) {
    h.on_to(now, Event::AttemptEnded(AttemptOutcome { elapsed_ms: 900.0, ..outcome(id, 0, node, AttemptResult::TimedOut) }));
}

/// The first of two nodes has answered twenty requests in 10 ms each, with so many waiting by its report; and the time.
fn used(queue: fn(u32) -> f64) -> (Host, f64) {
    let (mut h, mut now) = (two_nodes(), 0.0);
    for id in 0..20 {
        now += 50.0;
        assert!(ask(&mut h, now, id, 0));
        answer(&mut h, now + 10.0, id, 1, 10.0, queue(id));
    }
    (h, now)
}

/// Danger: a time waited in vain, kept as a load by the slope of that moment and read by a steeper one later, is
/// minutes: nothing is sent to the node any more, and nothing ever corrects it.
#[test]
fn a_time_waited_in_vain_is_forgotten_whatever_other_nodes_report_since() {
    let (mut h, mut now) = used(|_| 0.0);
    assert!(ask(&mut h, now + 20.0, 100, 0));
    now += 1_018.0;
    silent(&mut h, now, 100, 1);
    // The other node is busy at times: what a report weighs becomes known.
    for id in 200..300 {
        now += 60.0;
        let busy = f64::from(id % 4);
        if ask(&mut h, now, id, 1) {
            let took = 10.0 + 10.0 * busy;
            answer(&mut h, now + took, id, 2, took, busy);
        }
    }
    h.ring_until(now + 3_000.0);
    assert!(
        ask(&mut h, now + 3_000.0, 400, 0),
        "nothing is out there, and its last word was that it is idle"
    );
}

/// Danger: one answer lost on its way closes its node for seconds, though what was sent there later was answered.
#[test]
fn what_was_sent_later_and_answered_clears_its_node() {
    let (mut h, mut now) = used(|id| f64::from(id % 3));
    assert!(ask(&mut h, now + 15.0, 100, 0));
    for id in 200..220 {
        now += 50.0;
        assert!(ask(&mut h, now, id, 0), "{id}");
        answer(&mut h, now + 10.0, id, 1, 10.0, f64::from(id % 3));
    }
    // Nobody asks for a while: its silence is no silence of the node.
    assert!(ask(&mut h, now + 115.0, 300, 0));
    answer(&mut h, now + 125.0, 300, 1, 10.0, 0.0);
    silent(&mut h, now + 130.0, 100, 1);
    assert!(ask(&mut h, now + 135.0, 301, 0), "the node answered all that was sent to it since");
}

/// A node that answers nothing at all is still found out.
#[test]
fn a_node_that_answers_nothing_is_refused_for_a_while() {
    let (mut h, now) = used(|id| f64::from(id % 3));
    assert!(ask(&mut h, now + 20.0, 100, 0));
    h.ring_until(now + 400.0);
    assert!(ask(&mut h, now + 400.0, 101, 0), "a trial");
    assert!(!ask(&mut h, now + 405.0, 102, 0));
    silent(&mut h, now + 1_018.0, 100, 1);
    h.ring_until(now + 1_030.0);
    assert!(ask(&mut h, now + 1_030.0, 103, 0), "a trial");
    assert!(!ask(&mut h, now + 1_060.0, 104, 0));
}

/// Danger: refused on its silence alone, a node is not sent what would show that it is sound.
#[test]
fn a_silent_node_is_tried_now_and_then_and_an_answer_opens_it_at_once() {
    let (mut h, now) = used(|id| f64::from(id % 3));
    assert!(ask(&mut h, now + 20.0, 100, 0));
    let tried: Vec<u32> =
        (0..16).filter(|i| ask(&mut h, now + 130.0 + 10.0 * f64::from(*i), 200 + i, 0)).collect();
    assert!((1..=2).contains(&tried.len()), "{tried:?}");
    let last = tried[tried.len() - 1];
    answer(&mut h, now + 290.0, 200 + last, 1, 10.0, 0.0);
    let now_open = h.at(now + 291.0, Event::Request(Request { volume: 9, ..request(301, now + 1_290.0) }));
    assert!(!now_open.iter().any(|a| matches!(a, Action::Refuse { .. })), "{now_open:?}");
}

/// Plays a node that answers in 10 ms, but every fifth request only after `late`; which attempts were given up, after
/// how long.
fn play(effect: Effect, late: f64) -> Vec<f64> {
    let mut settings = settings();
    settings.classes = vec![class(effect, Group::All)];
    let mut h = Host::with_nodes(settings, &[entry(1, 0)]);
    let mut due: Vec<(f64, u32, u16, f64)> = Vec::new();
    let mut sent_at = std::collections::HashMap::new();
    let mut given_up = Vec::new();
    for step in 0..12_000u32 {
        let now = f64::from(step);
        let mut out: Vec<(f64, Action)> = h.ring_until(now);
        if step % 25 == 0 {
            let volume = 1_000 + u64::from(step);
            let q = Request { volume, ..request(step / 25, now + 1_000.0) };
            out.extend(h.at(now, Event::Request(q)).into_iter().map(|a| (now, a)));
        }
        while let Some(at) = due.iter().position(|d| d.0 <= now) {
            let (_, id, attempt, took) = due.swap_remove(at);
            let result = if took >= 900.0 { AttemptResult::TimedOut } else { AttemptResult::Served };
            let told = AttemptOutcome { elapsed_ms: took, queue: Some(0.0), ..outcome(id, attempt, 1, result) };
            out.extend(h.at(now, Event::AttemptEnded(told)).into_iter().map(|a| (now, a)));
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
                        given_up.push(age);
                    }
                    let told = Event::AttemptEnded(outcome(id, attempt, 1, AttemptResult::Cancelled));
                    out.extend(h.at(at, told).into_iter().map(|a| (at, a)));
                }
                _ => {}
            }
        }
    }
    given_up
}

/// Danger: each lost answer costs its request, and a place in flight until its client leaves.
#[test]
fn where_late_answers_never_come_the_attempt_is_given_up_early_and_repeated() {
    let given_up = play(Effect::Safe, 990.0);
    assert!(given_up.len() > 40, "{given_up:?}");
    assert!(given_up.iter().skip(10).all(|age| *age < 200.0), "{given_up:?}");
    assert!(play(Effect::Keyed, 990.0).len() > 40);
}

/// Danger: dear requests that are given up and repeated cost their work twice.
#[test]
fn where_late_answers_come_and_where_a_repeat_does_harm_nothing_is_given_up() {
    assert_eq!(play(Effect::Safe, 400.0), [0.0; 0]);
    assert_eq!(play(Effect::Unsafe, 990.0), [0.0; 0]);
}
