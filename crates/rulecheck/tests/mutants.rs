//! A correct recording passes all rules. Each deliberate violation is found, and by its own rule alone.

use pearfork_rulecheck::record::{Class, ClassOf, Effect, Group, RuleParameters, Volume};
use pearfork_rulecheck::wire::{opcode, Header, Op};
use pearfork_rulecheck::{check, Endpoint, Report, Rule, TraceEvent, TraceEventKind};
use std::sync::Arc;

const SAFE: u64 = 0;
const KEYED: u64 = 1;
const UNSAFE: u64 = 2;

fn parameters() -> RuleParameters {
    let class =
        |name: &str, effect, ordered| Class { name: name.to_owned(), deadline_ms: 1000.0, effect, ordered };
    RuleParameters {
        classes: vec![
            class("read", Effect::Safe, false),
            class("write", Effect::Keyed { group: Group::Shard, window_ms: 500.0 }, false),
            class("compare", Effect::Unsafe, true),
        ],
        class_of: ClassOf(Arc::new(|_, touch| match touch.op {
            Op::Write => Some(1),
            Op::CompareAndWrite => Some(2),
            _ => Some(0),
        })),
        volumes: vec![Volume { block_bytes: 512, extent_blocks: 64, limit: Some((10.0, 20.0, 2.0)) }],
        drain_grace_ms: 1000.0,
        cold_from: 0.2,
        warm_after_ms: 10_000.0,
        fall_multiple: 2.0,
        fall_ms: 1000.0,
        cold_units: 5.0,
        key_cooldown_ms: 400.0,
        retry_budget: Some((1.0, 0.1, 5000.0)),
        margin_ms: 50.0,
    }
}

/// Builds a recording by hand. Times are in milliseconds.
#[derive(Default)]
struct RecordingBuilder(Vec<TraceEvent>);

impl RecordingBuilder {
    fn add(&mut self, at_ms: u64, kind: TraceEventKind) {
        self.0.push(TraceEvent { at_us: at_ms * 1000, kind });
    }

    fn pdu(&mut self, at_ms: u64, endpoint: Endpoint, stream: u64, sent: bool, header: Header) {
        self.add(at_ms, TraceEventKind::Pdu { endpoint, stream, sent, header });
    }

    fn login(&mut self, stream: u64) {
        let mut h = header(opcode::LOGIN_RESPONSE, 0);
        h.bytes[14..16].copy_from_slice(&(stream as u16).to_be_bytes());
        self.pdu(0, Endpoint::Client { host: 0 }, stream, false, h);
    }

    /// Adds a command of a kind to an extent. Its CmdSN is its task tag as well.
    fn command(&mut self, at: u64, number: u32, kind: u64, extent: u64) {
        self.pdu(at, Endpoint::Client { host: 0 }, 1, true, command(number, kind, extent));
    }

    fn final_answer(&mut self, at: u64, number: u32, status: u8) {
        let mut h = header(opcode::RESPONSE, number);
        h.bytes[3] = status;
        self.pdu(at, Endpoint::Client { host: 0 }, 1, false, h);
    }

    fn attempt(&mut self, at: u64, node: u32, number: u32, attempt: u16, kind: u64, extent: u64) {
        self.attempt_with_cost(at, node, number, attempt, kind, extent, 1000);
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_with_cost(
        &mut self,
        at: u64,
        node: u32,
        number: u32,
        attempt: u16,
        kind: u64,
        extent: u64,
        milli_units: u32,
    ) {
        let mut h = command(number * 10 + u32::from(attempt), kind, extent);
        let mut body = vec![0, 0, 0, 0, 0, 1, 0, 1];
        body.extend(number.to_be_bytes());
        body.extend([0, 0]);
        body.extend(attempt.to_be_bytes());
        body.extend([0, 0, 0, 0]);
        body.extend(milli_units.to_be_bytes());
        h.extra = [&[0, 25, 62 << 2, 0][..], &body].concat();
        h.bytes[4] = 7;
        self.pdu(at, Endpoint::Node { node }, 100 + u64::from(node), false, h);
    }

    fn response(&mut self, at: u64, node: u32, number: u32, attempt: u16, status: u8) {
        let mut h = header(opcode::RESPONSE, number * 10 + u32::from(attempt));
        h.bytes[3] = status;
        self.pdu(at, Endpoint::Node { node }, 100 + u64::from(node), true, h);
    }

    fn applied(&mut self, at: u64, node: u32, number: u32) {
        self.add(at, TraceEventKind::Applied { node, key: (0, 1, 1, number, 0) });
    }

    /// Adds a served command: the command, one attempt, its effect, the response and the final answer.
    fn served(&mut self, at: u64, number: u32, kind: u64, extent: u64) {
        self.command(at, number, kind, extent);
        self.attempt(at + 1, 1, number, 0, kind, extent);
        if kind != SAFE {
            self.applied(at + 5, 1, number);
        }
        self.response(at + 6, 1, number, 0, 0);
        self.final_answer(at + 7, number, 0);
    }

    fn check(mut self) -> Report {
        self.0.sort_by_key(|n| n.at_us);
        check(&self.0, &parameters(), &|_, _| Some(0))
    }
}

fn header(op: u8, tag: u32) -> Header {
    let mut h = Header { bytes: [0; 48], extra: Vec::new() };
    (h.bytes[0], h.bytes[1]) = (op, 0x80);
    h.bytes[16..20].copy_from_slice(&tag.to_be_bytes());
    h
}

fn command(number: u32, kind: u64, extent: u64) -> Header {
    let mut h = header(opcode::COMMAND, number);
    h.bytes[24..28].copy_from_slice(&number.to_be_bytes());
    h.bytes[32] = [0x88, 0x8a, 0x89][kind as usize];
    h.bytes[34..42].copy_from_slice(&(extent * 64).to_be_bytes());
    // Transfer length 1: the last of the four bytes of READ(16) and WRITE(16), the only byte of COMPARE AND
    // WRITE.
    h.bytes[45] = 1;
    h
}

fn new_recording() -> RecordingBuilder {
    let mut recording = RecordingBuilder::default();
    recording.login(1);
    for node in [1, 2] {
        let shard = node as u16;
        recording
            .add(0, TraceEventKind::NodeStarted { node, shard, zone: 0, cold: false, units_per_s: 10.0 });
    }
    recording
}

fn assert_only_violation(report: &Report, rule: Rule, message: &str) {
    for f in &report.0 {
        let found = f.violations.iter().any(|b| b.contains(message));
        assert_eq!(f.rule == rule, !f.violations.is_empty(), "{}: {:?}", f.rule, f.violations);
        assert!(f.rule != rule || found, "{message}: {:?}", f.violations);
    }
}

#[test]
fn correct_recording_passes_and_every_rule_makes_checks() {
    let mut recording = new_recording();
    for n in 0..10 {
        recording.served(100 + u64::from(n) * 200, n + 1, u64::from(n % 3), 5);
    }
    // A retry within the window and the group; the node discards the repeat.
    recording.command(3000, 50, KEYED, 9);
    recording.attempt(3001, 1, 50, 0, KEYED, 9);
    recording.attempt(3200, 1, 50, 1, KEYED, 9);
    recording.applied(3210, 1, 50);
    recording.response(3211, 1, 50, 1, 0);
    recording.final_answer(3212, 50, 0);
    // An unsafe command whose attempt was rejected, and which was refused in the end because it was not
    // executed.
    recording.command(4000, 51, UNSAFE, 7);
    recording.attempt(4001, 1, 51, 0, UNSAFE, 7);
    recording.response(4002, 1, 51, 0, 0x28);
    recording.final_answer(4500, 51, 0x08);
    // A node restarts cold and gets little work; another one is listed as not ready.
    recording
        .add(5000, TraceEventKind::NodeStarted { node: 2, shard: 2, zone: 0, cold: true, units_per_s: 10.0 });
    recording.command(5100, 52, SAFE, 6);
    recording.attempt(5101, 2, 52, 0, SAFE, 6);
    recording.response(5105, 2, 52, 0, 0);
    recording.final_answer(5106, 52, 0);
    recording.add(6000, TraceEventKind::NodeListed { host: 0, node: 1, ready: false, started_ms: 0.0 });
    let report = recording.check();
    assert!(report.passed(), "{report}");
    assert!(report.0.iter().all(|f| f.checks > 0), "{report}");
}

#[test]
fn missing_second_and_late_answers_and_attempts_after_the_answer_are_found() {
    let mut recording = new_recording();
    recording.command(100, 1, SAFE, 5);
    assert_only_violation(&recording.check(), Rule::OneAnswer, "no final answer");
    let mut recording = new_recording();
    recording.served(100, 1, SAFE, 5);
    recording.final_answer(200, 1, 0);
    assert_only_violation(&recording.check(), Rule::OneAnswer, "2 final answers");
    let mut recording = new_recording();
    recording.command(100, 1, SAFE, 5);
    recording.final_answer(1200, 1, 0x08);
    assert_only_violation(&recording.check(), Rule::OneAnswer, "answered after 1100 ms");
    let mut recording = new_recording();
    recording.served(100, 1, SAFE, 5);
    recording.attempt(300, 1, 1, 1, SAFE, 5);
    assert_only_violation(&recording.check(), Rule::OneAnswer, "after the command ended");
}

#[test]
fn only_deadlines_within_a_pause_of_the_host_are_excused() {
    let stalled = |at| {
        let mut recording = new_recording();
        recording.command(100, 1, SAFE, 5);
        recording.add(at, TraceEventKind::HostStalled { host: 0, for_us: 400_000 });
        recording.final_answer(1450, 1, 0x08);
        recording.check()
    };
    assert!(stalled(1050).passed());
    assert_only_violation(&stalled(200), Rule::OneAnswer, "answered after");
}

#[test]
fn repeated_effects_and_false_refusals_are_found() {
    let mut recording = new_recording();
    recording.served(100, 1, KEYED, 5);
    recording.applied(300, 1, 1);
    assert_only_violation(&recording.check(), Rule::NoEffectTwice, "was applied 2 times");
    let mut recording = new_recording();
    recording.command(100, 1, KEYED, 5);
    recording.attempt(101, 1, 1, 0, KEYED, 5);
    recording.attempt(300, 2, 1, 1, KEYED, 5);
    recording.final_answer(900, 1, 2);
    assert_only_violation(&recording.check(), Rule::NoEffectTwice, "outside its group");
    let mut recording = new_recording();
    recording.command(100, 1, KEYED, 5);
    recording.attempt(101, 1, 1, 0, KEYED, 5);
    recording.attempt(700, 1, 1, 1, KEYED, 5);
    recording.final_answer(900, 1, 2);
    assert_only_violation(&recording.check(), Rule::NoEffectTwice, "was retried after 599 ms, window 500 ms");
    let mut recording = new_recording();
    recording.command(100, 1, UNSAFE, 5);
    recording.attempt(101, 1, 1, 0, UNSAFE, 5);
    recording.attempt(300, 1, 1, 1, UNSAFE, 5);
    recording.final_answer(900, 1, 2);
    assert_only_violation(&recording.check(), Rule::NoEffectTwice, "unsafe");
    let mut recording = new_recording();
    recording.command(100, 1, UNSAFE, 5);
    recording.attempt(101, 1, 1, 0, UNSAFE, 5);
    recording.final_answer(900, 1, 0x08);
    assert_only_violation(&recording.check(), Rule::NoEffectTwice, "was refused as not executed");
}

#[test]
fn work_sent_to_a_draining_node_after_the_grace_is_found_until_it_is_ready_again() {
    let listed = |ready| TraceEventKind::NodeListed { host: 0, node: 1, ready, started_ms: 0.0 };
    let mut recording = new_recording();
    recording.add(100, listed(false));
    recording.served(1200, 1, SAFE, 5);
    assert_only_violation(&recording.check(), Rule::Drains, "after it was listed as not ready");
    let mut recording = new_recording();
    recording.add(100, listed(false));
    recording.served(900, 1, SAFE, 5);
    recording.add(1000, listed(true));
    recording.served(1200, 2, SAFE, 5);
    assert!(recording.check().passed());
}

#[test]
fn overload_of_a_cold_node_is_found() {
    let mut recording = new_recording();
    recording
        .add(100, TraceEventKind::NodeStarted { node: 2, shard: 2, zone: 0, cold: true, units_per_s: 10.0 });
    for n in 0..6 {
        recording.command(200 + n, n as u32 + 1, SAFE, 5);
        recording.attempt(201 + n, 2, n as u32 + 1, 0, SAFE, 5);
        recording.final_answer(300 + n, n as u32 + 1, 0);
    }
    assert_only_violation(&recording.check(), Rule::ColdNodes, "got 6 units");
}

#[test]
fn concurrent_reordered_and_too_early_ordered_requests_are_found() {
    let mut recording = new_recording();
    for (n, at) in [(1, 100), (2, 110)] {
        recording.command(at, n, UNSAFE, 5);
        recording.attempt(at + 1, 1, n, 0, UNSAFE, 5);
    }
    for (n, at) in [(1, 400), (2, 410)] {
        recording.applied(at, 1, n);
        recording.response(at, 1, n, 0, 0);
        recording.final_answer(at + 1, n, 0);
    }
    assert_only_violation(&recording.check(), Rule::Order, "in flight together with");
    let mut recording = new_recording();
    recording.served(100, 2, UNSAFE, 5);
    recording.served(300, 1, UNSAFE, 5);
    assert_only_violation(&recording.check(), Rule::Order, "sent after");
    let mut recording = new_recording();
    recording.command(100, 1, UNSAFE, 5);
    recording.attempt(101, 1, 1, 0, UNSAFE, 5);
    recording.add(200, TraceEventKind::Closed { stream: 101 });
    recording.final_answer(210, 1, 2);
    recording.served(400, 2, UNSAFE, 5);
    assert_only_violation(&recording.check(), Rule::Order, "in flight together with");
}

#[test]
fn command_recorded_after_its_connection_closed_needs_no_answer() {
    let mut recording = new_recording();
    recording.add(100, TraceEventKind::Closed { stream: 1 });
    recording.command(101, 1, SAFE, 5);
    let report = recording.check();
    assert!(report.passed(), "{report}");
    let mut recording = new_recording();
    recording.command(101, 1, SAFE, 5);
    assert!(!recording.check().passed(), "a command on an open connection needs an answer");
}

#[test]
fn retries_beyond_the_budget_are_found() {
    let mut recording = new_recording();
    for n in 1..=3 {
        let at = 100 * u64::from(n);
        recording.command(at, n, SAFE, 5);
        recording.attempt(at + 1, 1, n, 0, SAFE, 5);
        recording.response(at + 2, 1, n, 0, 0x28);
        recording.attempt(at + 60, 1, n, 1, SAFE, 5);
        recording.response(at + 61, 1, n, 1, 0);
        recording.final_answer(at + 62, n, 0);
    }
    assert_only_violation(&recording.check(), Rule::RetryBudget, "2 retries");
}

#[test]
fn units_beyond_a_limit_are_found() {
    let mut recording = new_recording();
    for n in 1..=3 {
        let at = 100 * u64::from(n);
        recording.command(at, n, SAFE, 5);
        recording.attempt_with_cost(at + 1, 1, n, 0, SAFE, 5, 9000);
        recording.response(at + 2, 1, n, 0, 0);
        recording.final_answer(at + 3, n, 0);
    }
    assert_only_violation(&recording.check(), Rule::Limits, "token bucket at");
}

#[test]
fn two_commands_with_the_same_key_are_a_violation() {
    let mut recording = new_recording();
    recording.served(100, 1, SAFE, 5);
    recording.served(300, 1, SAFE, 5);
    assert!(!recording.check().passed());
}
