//! Tests of the dispatcher without sockets or clock: its outputs for given inputs, and when they come.

use pearfork_host::dispatcher::{
    AttemptEnd, AttemptId, CommandId, Completion, Dispatcher, FinalAnswer, Input, OutgoingAttempt, Output,
    Requester, Submission,
};
use pearfork_host::settings::HostSettings;
use pearfork_host::volumes::VolumeId;
use pearfork_iscsi::{Payload, TaskId};
use pearfork_scsi::{MediaCommand, MediaOp};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const T0: f64 = 1_700_000_000_000.0;

struct TestHost {
    dispatcher: Dispatcher,
    now: f64,
    next_tag: u32,
    next_number: u64,
    client: Arc<TestClient>,
}

/// A client that leaves when it is told to.
#[derive(Default)]
struct TestClient(AtomicBool);

impl Requester for TestClient {
    fn has_left(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

impl TestHost {
    fn new() -> TestHost {
        let settings = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
        let mut h = TestHost {
            dispatcher: Dispatcher::new(Arc::new(settings), 1, 77).unwrap(),
            now: T0,
            next_tag: 1,
            next_number: 1,
            client: Arc::default(),
        };
        let node = |n: u32| pearfork::NodeEntry {
            node: n + 10,
            shard: n as u16,
            zone: 0,
            state: pearfork::NodeState::Ready,
            started_ms: 0.0,
        };
        h.give(Input::NodeList(pearfork::ListKind::Full, (0..3).map(node).collect()));
        h
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.dispatcher.handle(self.now, input, &mut out);
        out
    }

    fn submit_at(&mut self, arrived_ms: f64, op: MediaOp, lba: u64, blocks: u32) -> (CommandId, Vec<Output>) {
        let id = CommandId { session: 1, task: TaskId { number: self.next_number, tag: self.next_tag } };
        self.next_tag += 1;
        self.next_number += 1;
        let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
        let data: Payload = vec![5; media.data_out_length(512) as usize].into();
        let submission = Submission {
            id,
            requester: self.client.clone(),
            session_handle: 3,
            command_number: self.next_tag,
            volume: VolumeId(0),
            media,
            initiator: "iqn.2026-12.org.example:x".into(),
            data,
            arrived_ms,
        };
        (id, self.give(Input::Submit(Box::new(submission))))
    }

    fn submit(&mut self, op: MediaOp, lba: u64, blocks: u32) -> (CommandId, Vec<Output>) {
        self.submit_at(self.now, op, lba, blocks)
    }

    /// Advances the time to `to` and fires each timer when it is due.
    fn advance_to(&mut self, to: f64) -> Vec<(f64, Output)> {
        let mut out = Vec::new();
        while let Some(at) = self.dispatcher.next_timer().filter(|at| *at <= to) {
            self.now = self.now.max(at);
            let mut outputs = Vec::new();
            self.dispatcher.run_timers(self.now, &mut outputs);
            out.extend(outputs.into_iter().map(|o| (self.now, o)));
        }
        self.now = to;
        out
    }
}

fn sends(outputs: &[Output]) -> Vec<(u32, OutgoingAttempt)> {
    let send = |o: &Output| if let Output::Send(n, a) = o { Some((*n, (**a).clone())) } else { None };
    outputs.iter().filter_map(send).collect()
}

fn answers(outputs: &[Output]) -> Vec<(CommandId, FinalAnswer)> {
    let answer = |o: &Output| if let Output::Answer(id, a) = o { Some((*id, a.clone())) } else { None };
    outputs.iter().filter_map(answer).collect()
}

fn good(bytes: usize) -> AttemptEnd {
    AttemptEnd::Served(Completion::Good(vec![9; bytes].into()))
}

#[test]
fn a_command_across_extents_gets_one_answer_with_its_data_in_order() {
    let mut h = TestHost::new();
    let (command, out) = h.submit(MediaOp::Read, 2047, 3);
    let sent = sends(&out);
    assert_eq!(
        sent.iter().map(|s| (s.0, s.1.media.lba, s.1.media.blocks)).collect::<Vec<_>>(),
        [(10, 2047, 1), (11, 2048, 2)]
    );
    assert_ne!(
        sent[0].1.metadata.key, sent[1].1.metadata.key,
        "a node must not take one part for a repeat of the other"
    );
    let second = Completion::Good(vec![2; 1024].into());
    assert!(answers(&h.give(Input::AttemptEnded(sent[1].1.id, AttemptEnd::Served(second), None))).is_empty());
    let first = Completion::Good(vec![1; 512].into());
    let done = answers(&h.give(Input::AttemptEnded(sent[0].1.id, AttemptEnd::Served(first), None)));
    let [(o, FinalAnswer::Served(Completion::Good(data)))] = &done[..] else { panic!("{done:?}") };
    assert_eq!((*o, data.to_bytes().to_vec()), (command, [vec![1; 512], vec![2; 1024]].concat()));
}

#[test]
fn a_command_with_a_failed_part_fails_once() {
    let mut h = TestHost::new();
    let (command, out) = h.submit(MediaOp::Write, 2047, 2);
    let sent = sends(&out);
    assert!(answers(&h.give(Input::AttemptEnded(sent[0].1.id, good(0), None))).is_empty());
    // The node of the other part does not respond: the scheduler ends the request before the deadline.
    let later = h.advance_to(T0 + 2_500.0);
    let done: Vec<(f64, FinalAnswer)> = later
        .iter()
        .flat_map(|(at, e)| answers(std::slice::from_ref(e)).into_iter().map(|a| (*at, a)))
        .map(|(at, (id, a))| {
            assert_eq!(id, command);
            (at, a)
        })
        .collect();
    assert!(matches!(done[..], [(at, FinalAnswer::Failed)] if at < T0 + 2_000.0), "{done:?}");
}

#[test]
fn the_deadline_counts_from_the_arrival_of_a_command_not_from_its_handling() {
    let mut h = TestHost::new();
    h.now = T0 + 600.0;
    let (_, out) = h.submit_at(T0, MediaOp::Read, 0, 8);
    assert_eq!(sends(&out).len(), 1);
    let later = h.advance_to(T0 + 5_000.0);
    let at = later.iter().find(|(_, e)| matches!(e, Output::Answer(..))).map(|(at, _)| at - T0);
    assert!(at.is_some_and(|at| at < 2_000.0), "{at:?}");
}

#[test]
fn a_response_after_the_time_out_of_its_attempt_is_ignored() {
    let mut h = TestHost::new();
    let (_, out) = h.submit(MediaOp::Read, 0, 8);
    let attempt = sends(&out).remove(0).1;
    let later = h.advance_to(T0 + 2_500.0);
    assert_eq!(later.iter().filter(|(_, e)| matches!(e, Output::Answer(..))).count(), 1);
    assert!(later.iter().any(|(_, e)| matches!(e, Output::Abort(10, a) if *a == attempt.id)));
    assert!(
        !attempt.wanted.load(Ordering::SeqCst),
        "an attempt that is still queued at the link must not be sent any more"
    );
    assert!(h
        .give(Input::AttemptEnded(attempt.id, good(4096), None))
        .iter()
        .all(|e| !matches!(e, Output::Answer(..))));
}

#[test]
fn an_abandoned_command_gets_no_answer_and_no_further_attempt() {
    let mut h = TestHost::new();
    let (command, out) = h.submit(MediaOp::Write, 0, 8);
    let attempt = sends(&out).remove(0).1;
    let out = h.give(Input::Abandon(command));
    assert!(matches!(out[..], [Output::Withdraw(10, id)] if id == attempt.id));
    assert!(
        !attempt.wanted.load(Ordering::SeqCst),
        "an attempt that is still queued must not be sent any more"
    );
    assert!(h.give(Input::AttemptEnded(attempt.id, AttemptEnd::Reset, None)).is_empty());
    let later = h.advance_to(T0 + 4_000.0);
    assert!(later.iter().all(|(_, e)| !matches!(e, Output::Answer(..) | Output::Send(..))));
    assert_eq!(h.dispatcher.open_commands(), 0);
}

#[test]
fn a_closed_session_abandons_its_commands_and_no_others() {
    let mut h = TestHost::new();
    h.submit(MediaOp::Read, 0, 8);
    h.submit(MediaOp::Read, 8, 8);
    h.give(Input::SessionClosed(2));
    assert_eq!(h.dispatcher.open_commands(), 2);
    h.give(Input::SessionClosed(1));
    assert_eq!(h.dispatcher.open_commands(), 0);
}

/// Guards against a completion of an abandoned command that answers a later one with its tag.
#[test]
fn a_command_under_a_used_tag_is_not_answered_by_the_completion_of_an_earlier_one() {
    let mut h = TestHost::new();
    let (first, out) = h.submit(MediaOp::Read, 0, 8);
    let abandoned = sends(&out).remove(0).1;
    h.give(Input::Abandon(first));
    h.next_tag = first.task.tag;
    h.next_number += 100;
    let (second, out) = h.submit(MediaOp::Read, 8, 8);
    assert_eq!(second.task.tag, first.task.tag);
    assert!(answers(&h.give(Input::AttemptEnded(abandoned.id, good(4096), None))).is_empty());
    h.give(Input::Abandon(first));
    let own = sends(&out).remove(0).1;
    let done = answers(&h.give(Input::AttemptEnded(own.id, good(4096), None)));
    assert!(matches!(done[..], [(id, FinalAnswer::Served(_))] if id == second), "{done:?}");
}

/// Guards against a command that is sent although its client left while it was queued, ahead of the notice of that.
#[test]
fn nothing_is_sent_for_a_command_of_a_client_that_has_left() {
    let mut h = TestHost::new();
    h.client.0.store(true, Ordering::SeqCst);
    let (_, out) = h.submit(MediaOp::Write, 0, 8);
    assert!(out.is_empty());
    assert_eq!(h.dispatcher.open_commands(), 0);
}

/// Guards against attempts of a closed session that go out when their connection comes up.
#[test]
fn a_closed_session_withdraws_the_attempts_of_all_its_commands() {
    let mut h = TestHost::new();
    // The second command has a part on each of two nodes.
    let attempts: Vec<(u32, AttemptId)> = [(0, 8), (2047, 2)]
        .into_iter()
        .flat_map(|(lba, blocks)| sends(&h.submit(MediaOp::Write, lba, blocks).1))
        .map(|(node, attempt)| (node, attempt.id))
        .collect();
    assert_eq!(attempts.len(), 3);
    let withdrawn: Vec<(u32, AttemptId)> = h
        .give(Input::SessionClosed(1))
        .iter()
        .map(|o| match o {
            Output::Withdraw(node, id) => (*node, *id),
            _ => panic!("another output"),
        })
        .collect();
    assert_eq!(withdrawn, attempts);
    for (_, id) in attempts {
        assert!(h.give(Input::AttemptEnded(id, AttemptEnd::NotSent, None)).is_empty());
    }
}

#[test]
fn every_attempt_of_a_request_carries_the_same_key_and_its_own_number() {
    let mut h = TestHost::new();
    let (_, out) = h.submit(MediaOp::Write, 0, 8);
    let first = sends(&out).remove(0).1;
    let mut out = h.give(Input::AttemptEnded(first.id, AttemptEnd::ConnectFailed, None));
    out.extend(h.advance_to(T0 + 1_000.0).into_iter().map(|e| e.1));
    let again = sends(&out).remove(0).1;
    assert_eq!(again.metadata.key, first.metadata.key);
    assert_eq!(again.id, AttemptId { request: first.id.request, number: 1 });
    assert_eq!((first.metadata.attempt, again.metadata.attempt), (0, 1));
}

#[test]
fn outcomes_of_unknown_attempts_are_ignored() {
    let mut h = TestHost::new();
    let unknown = AttemptId { request: 900, number: 3 };
    for outcome in
        [good(0), AttemptEnd::Error, AttemptEnd::Rejected, AttemptEnd::Reset, AttemptEnd::ConnectFailed]
    {
        assert!(h.give(Input::AttemptEnded(unknown, outcome, None)).is_empty());
    }
    assert!(h.give(Input::Abandon(CommandId { session: 9, task: TaskId { number: 9, tag: 9 } })).is_empty());
}

#[test]
fn no_timer_is_due_after_the_due_ones_have_fired() {
    // A timer that is due and does not fire would make the engine's thread spin.
    let mut h = TestHost::new();
    for _ in 0..50 {
        let due = h.dispatcher.next_timer().expect("the scheduler's periodic timer");
        h.now = h.now.max(due);
        h.dispatcher.run_timers(h.now, &mut Vec::new());
        assert!(
            h.dispatcher.next_timer().is_none_or(|next| next > h.now),
            "a timer is still due after firing"
        );
    }
}

#[test]
fn new_matching_rules_apply_to_new_commands_and_not_to_those_in_flight() {
    let text = include_str!("../../../examples/quickstart.toml");
    let mut h = TestHost::new();
    // A write is keyed, and retried after a reset.
    let (_, out) = h.submit(MediaOp::Write, 0, 8);
    let first = sends(&out).remove(0).1;
    let settings = HostSettings::from_toml(text).unwrap();
    let all_unsafe = text
        .replace("class \"write\" if op == \"write\";", "class \"compare-and-write\" if op == \"write\";");
    assert_ne!(all_unsafe, text);
    h.give(Input::Matching(
        settings.compatible_matching(&HostSettings::from_toml(&all_unsafe).unwrap()).unwrap(),
    ));
    let (_, out) = h.submit(MediaOp::Write, 64, 8);
    let second = sends(&out).remove(0).1;
    let mut out = h.give(Input::AttemptEnded(first.id, AttemptEnd::Reset, None));
    out.extend(h.give(Input::AttemptEnded(second.id, AttemptEnd::Reset, None)));
    out.extend(h.advance_to(T0 + 500.0).into_iter().map(|e| e.1));
    let again: Vec<u64> = sends(&out).iter().map(|s| s.1.media.lba).collect();
    assert_eq!(again, [0], "the second write is of an unsafe class and must not be retried");
    // The classes of a running host cannot be changed.
    let other_aim = HostSettings::from_toml(&text.replace("aim = \"150ms\"", "aim = \"160ms\"")).unwrap();
    assert!(settings.compatible_matching(&other_aim).unwrap_err().to_string().contains("restart the host"));
}
