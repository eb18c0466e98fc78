//! The driver of the module, without sockets or clock: what is told, what is carried out, when.

use pearfork_host::dispatcher::{
    AttemptId, Dispatcher, Effect, Ended, Final, Input, Order, Origin, Served, Submission,
};
use pearfork_host::settings::HostSettings;
use pearfork_host::volumes::VolumeId;
use pearfork_iscsi::Payload;
use pearfork_scsi::{MediaCommand, MediaOp};
use std::sync::atomic::Ordering;
use std::sync::Arc;

const T0: f64 = 1_700_000_000_000.0;

struct Host {
    d: Dispatcher,
    now: f64,
    next: u32,
}

impl Host {
    fn new() -> Host {
        let plan = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
        let mut h = Host { d: Dispatcher::new(Arc::new(plan), 1, 77).unwrap(), now: T0, next: 1 };
        let node = |n: u32| pearfork::NodeEntry {
            node: n + 10,
            shard: n as u16,
            zone: 0,
            state: pearfork::NodeState::Ready,
            started_ms: 0.0,
        };
        h.give(Input::List(pearfork::ListKind::Full, (0..3).map(node).collect()));
        h
    }

    fn give(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.d.handle(self.now, input, &mut out);
        out
    }

    fn submit_at(&mut self, arrived_ms: f64, op: MediaOp, lba: u64, blocks: u32) -> (Origin, Vec<Effect>) {
        let origin = Origin { session: 1, tag: self.next };
        self.next += 1;
        let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
        let data: Payload = vec![5; media.data_out_length(512) as usize].into();
        let submission = Submission {
            origin,
            session_handle: 3,
            command_number: self.next,
            volume: VolumeId(0),
            media,
            initiator: "iqn.2026-12.org.example:x".into(),
            data,
            arrived_ms,
        };
        (origin, self.give(Input::Submit(Box::new(submission))))
    }

    fn submit(&mut self, op: MediaOp, lba: u64, blocks: u32) -> (Origin, Vec<Effect>) {
        self.submit_at(self.now, op, lba, blocks)
    }

    /// Rings all that is due up to a time, at its time.
    fn until(&mut self, to: f64) -> Vec<(f64, Effect)> {
        let mut out = Vec::new();
        while let Some(at) = self.d.next_due().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            let mut effects = Vec::new();
            self.d.ring(self.now, &mut effects);
            out.extend(effects.into_iter().map(|e| (self.now, e)));
        }
        self.now = to;
        out
    }
}

fn sends(effects: &[Effect]) -> Vec<(u32, Order)> {
    let send = |e: &Effect| if let Effect::Send(n, o) = e { Some((*n, (**o).clone())) } else { None };
    effects.iter().filter_map(send).collect()
}

fn answers(effects: &[Effect]) -> Vec<(Origin, Final)> {
    let answer = |e: &Effect| if let Effect::Answer(o, f) = e { Some((*o, f.clone())) } else { None };
    effects.iter().filter_map(answer).collect()
}

fn good(bytes: usize) -> Ended {
    Ended::Served(Served::Good(vec![9; bytes].into()))
}

#[test]
fn a_command_across_extents_is_one_answer_with_its_data_in_order() {
    let mut h = Host::new();
    let (origin, out) = h.submit(MediaOp::Read, 2047, 3);
    let sent = sends(&out);
    assert_eq!(
        sent.iter().map(|s| (s.0, s.1.media.lba, s.1.media.blocks)).collect::<Vec<_>>(),
        [(10, 2047, 1), (11, 2048, 2)]
    );
    assert_ne!(sent[0].1.tag.key, sent[1].1.tag.key, "a rack must not take one part for the other's repeat");
    let second = Served::Good(vec![2; 1024].into());
    assert!(answers(&h.give(Input::Ended(sent[1].1.attempt, Ended::Served(second), None))).is_empty());
    let first = Served::Good(vec![1; 512].into());
    let done = answers(&h.give(Input::Ended(sent[0].1.attempt, Ended::Served(first), None)));
    let [(o, Final::Served(Served::Good(data)))] = &done[..] else { panic!("{done:?}") };
    assert_eq!((*o, data.to_bytes().to_vec()), (origin, [vec![1; 512], vec![2; 1024]].concat()));
}

#[test]
fn a_part_that_fails_makes_one_failure_of_the_whole() {
    let mut h = Host::new();
    let (origin, out) = h.submit(MediaOp::Write, 2047, 2);
    let sent = sends(&out);
    assert!(answers(&h.give(Input::Ended(sent[0].1.attempt, good(0), None))).is_empty());
    // The other hangs: the module ends it before the deadline.
    let later = h.until(T0 + 2_500.0);
    let done: Vec<(f64, Final)> = later
        .iter()
        .flat_map(|(at, e)| answers(std::slice::from_ref(e)).into_iter().map(|a| (*at, a)))
        .map(|(at, (o, f))| {
            assert_eq!(o, origin);
            (at, f)
        })
        .collect();
    assert!(matches!(done[..], [(at, Final::Failed)] if at < T0 + 2_000.0), "{done:?}");
}

#[test]
fn the_time_of_a_command_runs_from_its_coming_not_from_when_the_engine_got_to_it() {
    let mut h = Host::new();
    h.now = T0 + 600.0;
    let (_, out) = h.submit_at(T0, MediaOp::Read, 0, 8);
    assert_eq!(sends(&out).len(), 1);
    let later = h.until(T0 + 5_000.0);
    let at = later.iter().find(|(_, e)| matches!(e, Effect::Answer(..))).map(|(at, _)| at - T0);
    assert!(at.is_some_and(|at| at < 2_000.0), "{at:?}");
}

#[test]
fn an_answer_after_its_time_out_answers_nobody() {
    let mut h = Host::new();
    let (_, out) = h.submit(MediaOp::Read, 0, 8);
    let order = sends(&out).remove(0).1;
    let later = h.until(T0 + 2_500.0);
    assert_eq!(later.iter().filter(|(_, e)| matches!(e, Effect::Answer(..))).count(), 1);
    assert!(later.iter().any(|(_, e)| matches!(e, Effect::Abort(10, a) if *a == order.attempt)));
    assert!(!order.wanted.load(Ordering::SeqCst), "what waits for a window must not go out any more");
    assert!(h
        .give(Input::Ended(order.attempt, good(4096), None))
        .iter()
        .all(|e| !matches!(e, Effect::Answer(..))));
}

#[test]
fn an_abandoned_command_gets_no_answer_and_nothing_more_is_sent_for_it() {
    let mut h = Host::new();
    let (origin, out) = h.submit(MediaOp::Write, 0, 8);
    let order = sends(&out).remove(0).1;
    assert!(h.give(Input::Abandon(origin)).is_empty());
    assert!(h.give(Input::Ended(order.attempt, Ended::Reset, None)).is_empty());
    let later = h.until(T0 + 4_000.0);
    assert!(later.iter().all(|(_, e)| !matches!(e, Effect::Answer(..) | Effect::Send(..))));
    assert_eq!(h.d.open_commands(), 0);
}

#[test]
fn a_sessions_end_abandons_its_commands_and_no_others() {
    let mut h = Host::new();
    h.submit(MediaOp::Read, 0, 8);
    h.submit(MediaOp::Read, 8, 8);
    h.give(Input::SessionGone(2));
    assert_eq!(h.d.open_commands(), 2);
    h.give(Input::SessionGone(1));
    assert_eq!(h.d.open_commands(), 0);
}

#[test]
fn every_attempt_of_a_request_carries_its_key_and_its_own_number() {
    let mut h = Host::new();
    let (_, out) = h.submit(MediaOp::Write, 0, 8);
    let first = sends(&out).remove(0).1;
    let mut out = h.give(Input::Ended(first.attempt, Ended::ConnectFailed, None));
    out.extend(h.until(T0 + 1_000.0).into_iter().map(|e| e.1));
    let again = sends(&out).remove(0).1;
    assert_eq!(again.tag.key, first.tag.key);
    assert_eq!(again.attempt, AttemptId { request: first.attempt.request, number: 1 });
    assert_eq!((first.tag.attempt, again.tag.attempt), (0, 1));
}

#[test]
fn words_about_attempts_that_never_were_change_nothing() {
    let mut h = Host::new();
    let ghost = AttemptId { request: 900, number: 3 };
    for ended in [good(0), Ended::Error, Ended::Full, Ended::Reset, Ended::ConnectFailed] {
        assert!(h.give(Input::Ended(ghost, ended, None)).is_empty());
    }
    assert!(h.give(Input::Abandon(Origin { session: 9, tag: 9 })).is_empty());
}

#[test]
fn what_is_due_rings_at_its_time_the_timer_set_last_too() {
    // Danger: one that is due and does not ring makes the engine's thread spin.
    let mut h = Host::new();
    for _ in 0..50 {
        let due = h.d.next_due().expect("the module's tick");
        h.now = h.now.max(due);
        h.d.ring(h.now, &mut Vec::new());
        assert!(h.d.next_due().is_none_or(|next| next > h.now), "still due after ringing");
    }
}

#[test]
fn new_matching_rules_hold_for_what_comes_and_what_is_in_flight_keeps_its_terms() {
    let text = include_str!("../../../examples/quickstart.toml");
    let mut h = Host::new();
    // A write is keyed: it goes again after a reset.
    let (_, out) = h.submit(MediaOp::Write, 0, 8);
    let first = sends(&out).remove(0).1;
    let plan = HostSettings::from_toml(text).unwrap();
    let all_unsafe = text
        .replace("class \"write\" if op == \"write\";", "class \"compare-and-write\" if op == \"write\";");
    assert_ne!(all_unsafe, text);
    h.give(Input::Matching(
        plan.compatible_matching(&HostSettings::from_toml(&all_unsafe).unwrap()).unwrap(),
    ));
    let (_, out) = h.submit(MediaOp::Write, 64, 8);
    let second = sends(&out).remove(0).1;
    let mut out = h.give(Input::Ended(first.attempt, Ended::Reset, None));
    out.extend(h.give(Input::Ended(second.attempt, Ended::Reset, None)));
    out.extend(h.until(T0 + 500.0).into_iter().map(|e| e.1));
    let again: Vec<u64> = sends(&out).iter().map(|s| s.1.media.lba).collect();
    assert_eq!(again, [0], "the second may not go again: it came as unsafe");
    // Classes are not exchanged under a running host.
    let other = HostSettings::from_toml(&text.replace("aim = \"150ms\"", "aim = \"160ms\"")).unwrap();
    assert!(plan.compatible_matching(&other).unwrap_err().to_string().contains("anew"));
}
