//! The two-part envelope test on small cases worked by hand. A request is sent every half second and served in a
//! fixed time, so S(k) is that time for k = 1 and R stays under one request for tau of 50 ms, where the test is
//! tightest: a class passes while its time is at most 50 ms and its aim.

mod common;
use common::*;
use pearfork::*;

fn two_classes() -> Settings {
    let mut s = settings();
    s.classes.push(Class { aim_ms: 1000.0, deadline_ms: 3000.0, ..class(Effect::Safe, Group::All) });
    s
}

/// Serves forty requests of the classes named in turn, one by one, then leaves one out so that no idle start applies.
fn trained(took: &[(u16, f64)]) -> (Host, f64) {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40u32 {
        let (class, took) = took[id as usize % took.len().max(1)];
        h.ring_until(now);
        assert_eq!(
            sent(&h.at(now, Event::Request(Request { class, ..request(id, now + 900.0) }))),
            [(id, 7)]
        );
        h.ring_until(now + took);
        h.at(now + took, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    fill(&mut h, now);
    (h, now)
}

/// Fills the bound with requests of the second class.
fn fill(h: &mut Host, now: f64) {
    for id in 900..940 {
        if sent(&h.at(now, Event::Request(Request { class: 1, ..request(id, now + 2900.0) }))).is_empty() {
            return;
        }
    }
    panic!("no bound");
}

fn admitted(h: &mut Host, now: f64, class: u16) -> bool {
    let done = h.at(now, Event::Request(Request { class, ..request(5000, now + 900.0) }));
    assert!(done.len() <= 1 && sent(&done).is_empty());
    done.is_empty()
}

#[test]
fn without_samples_a_request_is_admitted() {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    fill(&mut h, 1.0);
    assert!(admitted(&mut h, 1.0, 0));
}

#[test]
fn a_class_passes_inside_its_aim_and_is_refused_beyond() {
    let (mut h, now) = trained(&[(0, 140.0)]);
    assert!(admitted(&mut h, now, 0), "140 <= 50 + 100");
    let (mut h, now) = trained(&[(0, 160.0)]);
    assert!(!admitted(&mut h, now, 0), "160 > 50 + 100");
}

/// Danger: past the largest k seen, S is drawn out far and the excess reads as seconds; a client that is told so comes
/// again long after there was room, and past its aim.
#[test]
fn a_client_refused_by_the_envelope_is_told_to_come_when_what_waits_is_gone() {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    let ask = |h: &mut Host, now: f64, id: u32| h.at(now, Event::Request(request(id, now + 900.0)));
    // A host that began a second ago: a few answers, one of five slow, so that S(1) is far above the mean.
    for id in 0..10u32 {
        let (now, took) = (1.0 + 100.0 * f64::from(id), if id % 5 == 0 { 90.0 } else { 10.0 });
        h.ring_until(now);
        ask(&mut h, now, id);
        h.ring_until(now + took);
        h.at(now + took, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
    }
    // A burst within one sub-window, before which nothing waited; a moment later the envelope has seen it.
    h.ring_until(1_010.0);
    (100..120).for_each(|id| drop(ask(&mut h, 1_010.0, id)));
    h.ring_until(1_070.0);
    let advice = ask(&mut h, 1_070.0, 200).into_iter().find_map(|a| match a {
        Action::Refuse { retry_after_ms, reason: Reason::Envelope, .. } => Some(retry_after_ms),
        _ => None,
    });
    let advice = advice.expect("a refusal");
    assert!(advice > 0.0 && advice < 200.0, "{advice}");
}

#[test]
fn a_class_is_refused_to_protect_another() {
    let (mut h, now) = trained(&[(1, 300.0)]);
    assert!(admitted(&mut h, now, 1), "300 <= 50 + 1000, and no other class is there");
    let (mut h, now) = trained(&[(1, 300.0), (0, 160.0)]);
    assert!(!admitted(&mut h, now, 1), "the first class is at its aim: 160 > 50 + 100");
}
