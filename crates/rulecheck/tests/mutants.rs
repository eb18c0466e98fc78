//! A sound record passes; each break made on purpose is found, and by its own rule.

use pearfork_rulecheck::record::{Class, ClassOf, Effect, Group, RuleParameters, Volume};
use pearfork_rulecheck::wire::{opcode, Header, Op};
use pearfork_rulecheck::{check, Endpoint, Report, Rule, TraceEvent, TraceEventKind};
use std::sync::Arc;

const SAFE: u64 = 0;
const KEYED: u64 = 1;
const UNSAFE: u64 = 2;

fn figures() -> RuleParameters {
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

/// A record written by hand; times in milliseconds.
#[derive(Default)]
struct Tape(Vec<TraceEvent>);

impl Tape {
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

    /// A command of a kind on an extent; its number is its tag.
    fn command(&mut self, at: u64, number: u32, kind: u64, extent: u64) {
        self.pdu(at, Endpoint::Client { host: 0 }, 1, true, command(number, kind, extent));
    }

    fn answer(&mut self, at: u64, number: u32, status: u8) {
        let mut h = header(opcode::RESPONSE, number);
        h.bytes[3] = status;
        self.pdu(at, Endpoint::Client { host: 0 }, 1, false, h);
    }

    fn attempt(&mut self, at: u64, node: u32, number: u32, attempt: u16, kind: u64, extent: u64) {
        self.attempt_of(at, node, number, attempt, kind, extent, 1000);
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_of(
        &mut self,
        at: u64,
        node: u32,
        number: u32,
        attempt: u16,
        kind: u64,
        extent: u64,
        milli: u32,
    ) {
        let mut h = command(number * 10 + u32::from(attempt), kind, extent);
        let mut body = vec![0, 0, 0, 0, 0, 1, 0, 1];
        body.extend(number.to_be_bytes());
        body.extend([0, 0]);
        body.extend(attempt.to_be_bytes());
        body.extend([0, 0, 0, 0]);
        body.extend(milli.to_be_bytes());
        h.extra = [&[0, 25, 62 << 2, 0][..], &body].concat();
        h.bytes[4] = 7;
        self.pdu(at, Endpoint::Node { node }, 100 + u64::from(node), false, h);
    }

    fn ended(&mut self, at: u64, node: u32, number: u32, attempt: u16, status: u8) {
        let mut h = header(opcode::RESPONSE, number * 10 + u32::from(attempt));
        h.bytes[3] = status;
        self.pdu(at, Endpoint::Node { node }, 100 + u64::from(node), true, h);
    }

    fn applied(&mut self, at: u64, node: u32, number: u32) {
        self.add(at, TraceEventKind::Applied { node, key: (0, 1, 1, number, 0) });
    }

    /// Served whole: command, attempt, effect, answers.
    fn served(&mut self, at: u64, number: u32, kind: u64, extent: u64) {
        self.command(at, number, kind, extent);
        self.attempt(at + 1, 1, number, 0, kind, extent);
        if kind != SAFE {
            self.applied(at + 5, 1, number);
        }
        self.ended(at + 6, 1, number, 0, 0);
        self.answer(at + 7, number, 0);
    }

    fn judge(mut self) -> Report {
        self.0.sort_by_key(|n| n.at_us);
        check(&self.0, &figures(), &|_, _| Some(0))
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
    // The last byte of a length of four bytes, or the one byte of COMPARE AND WRITE.
    h.bytes[45] = 1;
    h
}

fn start() -> Tape {
    let mut t = Tape::default();
    t.login(1);
    for node in [1, 2] {
        let shard = node as u16;
        t.add(0, TraceEventKind::NodeStarted { node, shard, zone: 0, cold: false, units_per_s: 10.0 });
    }
    t
}

fn only(report: &Report, rule: Rule, words: &str) {
    for f in &report.0 {
        let told = f.violations.iter().any(|b| b.contains(words));
        assert_eq!(f.rule == rule, !f.violations.is_empty(), "{}: {:?}", f.rule, f.violations);
        assert!(f.rule != rule || told, "{words}: {:?}", f.violations);
    }
}

#[test]
fn a_sound_record_passes_and_every_rule_had_something_to_judge() {
    let mut t = start();
    for n in 0..10 {
        t.served(100 + u64::from(n) * 200, n + 1, u64::from(n % 3), 5);
    }
    // A repeat in time, in its group, dropped by the node.
    t.command(3000, 50, KEYED, 9);
    t.attempt(3001, 1, 50, 0, KEYED, 9);
    t.attempt(3200, 1, 50, 1, KEYED, 9);
    t.applied(3210, 1, 50);
    t.ended(3211, 1, 50, 1, 0);
    t.answer(3212, 50, 0);
    // Unsafe work turned away unseen goes again; refused at last, since it never ran.
    t.command(4000, 51, UNSAFE, 7);
    t.attempt(4001, 1, 51, 0, UNSAFE, 7);
    t.ended(4002, 1, 51, 0, 0x28);
    t.answer(4500, 51, 0x08);
    // A node restarts cold and gets little; another is said to drain.
    t.add(5000, TraceEventKind::NodeStarted { node: 2, shard: 2, zone: 0, cold: true, units_per_s: 10.0 });
    t.command(5100, 52, SAFE, 6);
    t.attempt(5101, 2, 52, 0, SAFE, 6);
    t.ended(5105, 2, 52, 0, 0);
    t.answer(5106, 52, 0);
    t.add(6000, TraceEventKind::NodeListed { host: 0, node: 1, ready: false, started_ms: 0.0 });
    let report = t.judge();
    assert!(report.passed(), "{report}");
    assert!(report.0.iter().all(|f| f.checks > 0), "{report}");
}

#[test]
fn a_missing_a_second_a_late_answer_and_work_after_the_end_are_found() {
    let mut t = start();
    t.command(100, 1, SAFE, 5);
    only(&t.judge(), Rule::OneAnswer, "no answer");
    let mut t = start();
    t.served(100, 1, SAFE, 5);
    t.answer(200, 1, 0);
    only(&t.judge(), Rule::OneAnswer, "2 answers");
    let mut t = start();
    t.command(100, 1, SAFE, 5);
    t.answer(1200, 1, 0x08);
    only(&t.judge(), Rule::OneAnswer, "answered after 1100 ms");
    let mut t = start();
    t.served(100, 1, SAFE, 5);
    t.attempt(300, 1, 1, 1, SAFE, 5);
    only(&t.judge(), Rule::OneAnswer, "after the end");
}

#[test]
fn a_deadline_within_a_hosts_own_stall_is_excused_and_no_other() {
    let stalled = |at| {
        let mut t = start();
        t.command(100, 1, SAFE, 5);
        t.add(at, TraceEventKind::HostStalled { host: 0, for_us: 400_000 });
        t.answer(1450, 1, 0x08);
        t.judge()
    };
    assert!(stalled(1050).passed());
    only(&stalled(200), Rule::OneAnswer, "answered after");
}

#[test]
fn effects_twice_and_promises_that_cannot_be_kept_are_found() {
    let mut t = start();
    t.served(100, 1, KEYED, 5);
    t.applied(300, 1, 1);
    only(&t.judge(), Rule::NoEffectTwice, "took effect 2 times");
    let mut t = start();
    t.command(100, 1, KEYED, 5);
    t.attempt(101, 1, 1, 0, KEYED, 5);
    t.attempt(300, 2, 1, 1, KEYED, 5);
    t.answer(900, 1, 2);
    only(&t.judge(), Rule::NoEffectTwice, "outside its group");
    let mut t = start();
    t.command(100, 1, KEYED, 5);
    t.attempt(101, 1, 1, 0, KEYED, 5);
    t.attempt(700, 1, 1, 1, KEYED, 5);
    t.answer(900, 1, 2);
    only(&t.judge(), Rule::NoEffectTwice, "after its first send");
    let mut t = start();
    t.command(100, 1, UNSAFE, 5);
    t.attempt(101, 1, 1, 0, UNSAFE, 5);
    t.attempt(300, 1, 1, 1, UNSAFE, 5);
    t.answer(900, 1, 2);
    only(&t.judge(), Rule::NoEffectTwice, "unsafe");
    let mut t = start();
    t.command(100, 1, UNSAFE, 5);
    t.attempt(101, 1, 1, 0, UNSAFE, 5);
    t.answer(900, 1, 0x08);
    only(&t.judge(), Rule::NoEffectTwice, "a promise");
}

#[test]
fn work_to_a_draining_node_past_the_grace_is_found_until_it_is_ready_again() {
    let told = |ready| TraceEventKind::NodeListed { host: 0, node: 1, ready, started_ms: 0.0 };
    let mut t = start();
    t.add(100, told(false));
    t.served(1200, 1, SAFE, 5);
    only(&t.judge(), Rule::Drains, "after word");
    let mut t = start();
    t.add(100, told(false));
    t.served(900, 1, SAFE, 5);
    t.add(1000, told(true));
    t.served(1200, 2, SAFE, 5);
    assert!(t.judge().passed());
}

#[test]
fn too_much_for_a_cold_node_is_found() {
    let mut t = start();
    t.add(100, TraceEventKind::NodeStarted { node: 2, shard: 2, zone: 0, cold: true, units_per_s: 10.0 });
    for n in 0..6 {
        t.command(200 + n, n as u32 + 1, SAFE, 5);
        t.attempt(201 + n, 2, n as u32 + 1, 0, SAFE, 5);
        t.answer(300 + n, n as u32 + 1, 0);
    }
    only(&t.judge(), Rule::ColdNodes, "got 6 units");
}

#[test]
fn ordered_requests_side_by_side_out_of_turn_or_too_soon_after_an_unclear_end_are_found() {
    let mut t = start();
    for (n, at) in [(1, 100), (2, 110)] {
        t.command(at, n, UNSAFE, 5);
        t.attempt(at + 1, 1, n, 0, UNSAFE, 5);
    }
    for (n, at) in [(1, 400), (2, 410)] {
        t.applied(at, 1, n);
        t.ended(at, 1, n, 0, 0);
        t.answer(at + 1, n, 0);
    }
    only(&t.judge(), Rule::Order, "beside");
    let mut t = start();
    t.served(100, 2, UNSAFE, 5);
    t.served(300, 1, UNSAFE, 5);
    only(&t.judge(), Rule::Order, "after");
    let mut t = start();
    t.command(100, 1, UNSAFE, 5);
    t.attempt(101, 1, 1, 0, UNSAFE, 5);
    t.add(200, TraceEventKind::Closed { stream: 101 });
    t.answer(210, 1, 2);
    t.served(400, 2, UNSAFE, 5);
    only(&t.judge(), Rule::Order, "beside");
}

#[test]
fn a_command_noted_after_its_connection_closed_is_waited_for_by_nobody() {
    let mut t = start();
    t.add(100, TraceEventKind::Closed { stream: 1 });
    t.command(101, 1, SAFE, 5);
    let report = t.judge();
    assert!(report.passed(), "{report}");
    let mut t = start();
    t.command(101, 1, SAFE, 5);
    assert!(!t.judge().passed(), "on an open one it is a command without an answer");
}

#[test]
fn further_attempts_past_the_budget_are_found() {
    let mut t = start();
    for n in 1..=3 {
        let at = 100 * u64::from(n);
        t.command(at, n, SAFE, 5);
        t.attempt(at + 1, 1, n, 0, SAFE, 5);
        t.ended(at + 2, 1, n, 0, 0x28);
        t.attempt(at + 60, 1, n, 1, SAFE, 5);
        t.ended(at + 61, 1, n, 1, 0);
        t.answer(at + 62, n, 0);
    }
    only(&t.judge(), Rule::RetryBudget, "2 further attempts");
}

#[test]
fn units_past_a_limit_are_found() {
    let mut t = start();
    for n in 1..=3 {
        let at = 100 * u64::from(n);
        t.command(at, n, SAFE, 5);
        t.attempt_of(at + 1, 1, n, 0, SAFE, 5, 9000);
        t.ended(at + 2, 1, n, 0, 0);
        t.answer(at + 3, n, 0);
    }
    only(&t.judge(), Rule::Limits, "its store stands at");
}

#[test]
fn two_commands_of_one_name_cannot_be_judged_and_that_is_said() {
    let mut t = start();
    t.served(100, 1, SAFE, 5);
    t.served(300, 1, SAFE, 5);
    assert!(!t.judge().passed());
}
