//! The LMAC test on small cases that are computed by hand.
//!
//! One request is sent every half second and served in a fixed time. So S(k) is that time for k = 1, and R
//! stays below one request for tau = 50 ms, where the margin is smallest: a class passes while its time is at
//! most 50 ms plus its aim.

mod common;
use common::*;
use pearfork::*;

fn two_classes() -> Settings {
    let mut s = settings();
    s.classes.push(Class { aim_ms: 1000.0, deadline_ms: 3000.0, ..class(Effect::Safe, Group::All) });
    s
}

/// Serves forty requests of the named classes in turn, one by one, then fills the node, since an idle node
/// admits without the test.
fn host_with_history(service_ms: &[(u16, f64)]) -> (Host, f64) {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    let mut now = 1.0;
    for id in 0..40u32 {
        let (class, service_ms) = service_ms[id as usize % service_ms.len().max(1)];
        h.run_timers_until(now);
        assert_eq!(
            sent(&h.at(now, Event::Request(Request { class, ..request(id, now + 900.0) }))),
            [(id, 7)]
        );
        h.run_timers_until(now + service_ms);
        h.at(now + service_ms, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
        now += 500.0;
    }
    fill_in_flight_limit(&mut h, now);
    (h, now)
}

/// Sends requests of the second class up to the in-flight limit.
fn fill_in_flight_limit(h: &mut Host, now: f64) {
    for id in 900..940 {
        if sent(&h.at(now, Event::Request(Request { class: 1, ..request(id, now + 2900.0) }))).is_empty() {
            return;
        }
    }
    panic!("the in-flight limit is not reached");
}

/// Whether a request is queued rather than refused, at a host that cannot send it at once.
fn is_admitted(h: &mut Host, now: f64, class: u16) -> bool {
    let done = h.at(now, Event::Request(Request { class, ..request(5000, now + 900.0) }));
    assert!(done.len() <= 1 && sent(&done).is_empty());
    done.is_empty()
}

#[test]
fn a_request_is_admitted_without_samples() {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    fill_in_flight_limit(&mut h, 1.0);
    assert!(is_admitted(&mut h, 1.0, 0));
}

#[test]
fn a_class_is_admitted_within_its_aim_and_refused_beyond_it() {
    let (mut h, now) = host_with_history(&[(0, 140.0)]);
    assert!(is_admitted(&mut h, now, 0), "140 <= 50 + 100");
    let (mut h, now) = host_with_history(&[(0, 160.0)]);
    assert!(!is_admitted(&mut h, now, 0), "160 > 50 + 100");
}

/// Guards against retry advice that is far too long: past the largest k that was seen, S extrapolates steeply
/// and the excess reads as seconds. A client with that advice comes back long after there is room, and past
/// its aim.
#[test]
fn retry_advice_after_an_envelope_refusal_covers_only_what_is_queued() {
    let mut h = Host::with_nodes(two_classes(), &[entry(7, 0)]);
    let send_request = |h: &mut Host, now: f64, id: u32| h.at(now, Event::Request(request(id, now + 900.0)));
    // The host started a second ago and has few samples. One response of five is slow, so S(1) is far above
    // the mean.
    for id in 0..10u32 {
        let (now, service_ms) = (1.0 + 100.0 * f64::from(id), if id % 5 == 0 { 90.0 } else { 10.0 });
        h.run_timers_until(now);
        send_request(&mut h, now, id);
        h.run_timers_until(now + service_ms);
        h.at(now + service_ms, Event::AttemptEnded(outcome(id, 0, 7, AttemptResult::Served)));
    }
    // A burst within one sub-window, while nothing was queued before; the envelope counts it 60 ms later.
    h.run_timers_until(1_010.0);
    (100..120).for_each(|id| drop(send_request(&mut h, 1_010.0, id)));
    h.run_timers_until(1_070.0);
    let retry_after_ms = send_request(&mut h, 1_070.0, 200).into_iter().find_map(|a| match a {
        Action::Refuse { retry_after_ms, reason: Reason::Envelope, .. } => Some(retry_after_ms),
        _ => None,
    });
    let retry_after_ms = retry_after_ms.expect("a refusal");
    assert!(retry_after_ms > 0.0 && retry_after_ms < 200.0, "{retry_after_ms}");
}

#[test]
fn a_class_is_refused_to_protect_another() {
    let (mut h, now) = host_with_history(&[(1, 300.0)]);
    assert!(is_admitted(&mut h, now, 1), "300 <= 50 + 1000, and there is no other class");
    let (mut h, now) = host_with_history(&[(1, 300.0), (0, 160.0)]);
    assert!(!is_admitted(&mut h, now, 1), "the first class is at its aim: 160 > 50 + 100");
}
