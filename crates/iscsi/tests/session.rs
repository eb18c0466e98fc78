//! Both ends of a session joined in memory, and peers that break the protocol.

use pearfork_iscsi::*;
use std::sync::Arc;

struct Door {
    extension: bool,
}

impl AccessControl for Door {
    fn targets(&self, initiator: &str) -> Vec<(String, String)> {
        // Enough names that the list does not fit in one PDU of the default length.
        let all =
            (0..200).map(|i| (format!("iqn.2026-12.org.pearfork:disk{i:03}"), "127.0.0.1:3260".to_owned()));
        if initiator.ends_with("nobody") {
            Vec::new()
        } else {
            all.collect()
        }
    }

    fn authorize_login(&self, initiator: &str, target: &str) -> Result<(), LoginStatus> {
        match (initiator.ends_with("nobody"), target) {
            (true, _) => Err(LoginStatus::FORBIDDEN),
            (_, "iqn.2026-12.org.pearfork:disk000") => Ok(()),
            _ => Err(LoginStatus::NOT_FOUND),
        }
    }

    fn extension_enabled(&self) -> bool {
        self.extension
    }
}

const DISK: &str = "iqn.2026-12.org.pearfork:disk000";

struct Pair {
    target: Target,
    initiator: Initiator,
    at_target: Vec<TargetEvent>,
    at_initiator: Vec<InitiatorEvent>,
}

impl Pair {
    fn with(config: InitiatorConfig, extension: bool, limits: Limits) -> Pair {
        let target = Target::new(Arc::new(Door { extension }), 7, limits);
        let initiator = Initiator::new(config);
        Pair { target, initiator, at_target: Vec::new(), at_initiator: Vec::new() }
    }

    fn new(digests: bool, extension: bool) -> Pair {
        let mut p = Pair::with(config(DISK, digests, extension), extension, limits());
        p.run().unwrap();
        assert!(p.initiator.is_logged_in());
        p
    }

    /// Carries bytes both ways until nothing moves.
    fn run(&mut self) -> Result<(), InitiatorError> {
        loop {
            let (out, back) = (self.initiator.take_output(), self.target.take_output());
            if out.is_empty() && back.is_empty() {
                return Ok(());
            }
            out.iter().for_each(|b| self.target.decoder().buffer().extend_from_slice(b));
            self.target.process(&mut self.at_target);
            back.iter().for_each(|b| self.initiator.decoder().buffer().extend_from_slice(b));
            self.initiator.process(&mut self.at_initiator)?;
        }
    }

    fn commands(&mut self) -> Vec<ScsiCommand> {
        let events = std::mem::take(&mut self.at_target);
        events
            .into_iter()
            .filter_map(|e| if let TargetEvent::Command(c) = e { Some(*c) } else { None })
            .collect()
    }

    fn done(&mut self) -> Vec<CommandCompletion> {
        let events = std::mem::take(&mut self.at_initiator);
        events
            .into_iter()
            .filter_map(|e| if let InitiatorEvent::Completed(d) = e { Some(*d) } else { None })
            .collect()
    }

    fn closed(&self) -> Option<String> {
        self.at_target.iter().find_map(|e| match e {
            TargetEvent::Closing(why) => Some(why.clone()),
            _ => None,
        })
    }
}

fn limits() -> Limits {
    Limits { max_commands: 4, max_transfer_bytes: 4 << 20 }
}

fn config(target: &str, digests: bool, extension: bool) -> InitiatorConfig {
    let name = "iqn.2026-12.org.example:client".to_owned();
    let target = (!target.is_empty()).then(|| target.to_owned());
    InitiatorConfig { name, target, isid: [0x80, 0, 0, 0, 0, 1], digests, extension }
}

fn pattern(n: usize) -> Payload {
    (0..n).map(|i| (i * 7 % 251) as u8).collect::<Vec<u8>>().into()
}

#[test]
fn writes_of_any_length_arrive_whole_and_reads_come_back() {
    for digests in [false, true] {
        for n in [1, 511, 512, 8192, 65_536, 262_144, 262_145, 1 << 20, (1 << 20) + 512, 3 << 20] {
            let mut p = Pair::new(digests, false);
            p.initiator.submit(Command { data: pattern(n), cdb: [0x8a; 16], ..Default::default() }).unwrap();
            p.run().unwrap();
            let c = p.commands().pop().expect("one command");
            assert_eq!(c.data.to_bytes(), pattern(n).to_bytes(), "{n}");
            let full_length = n as u64;
            p.target.respond(c.tag, Response { full_length, ..Default::default() });
            p.initiator.submit(Command { read_len: n as u32, ..Default::default() }).unwrap();
            p.run().unwrap();
            assert_eq!(p.done()[0].status, 0);
            let c = p.commands().pop().expect("one command");
            p.target.respond(c.tag, Response { data: pattern(n), full_length, ..Default::default() });
            p.run().unwrap();
            let d = p.done().pop().expect("an answer");
            assert_eq!((d.data.to_bytes(), d.residual), (pattern(n).to_bytes(), 0), "{n}");
        }
    }
}

#[test]
fn residuals_say_how_much_fewer_or_more() {
    for (asked, full, sent, residual) in
        [(1024u32, 512u64, 512, -512i64), (512, 1024, 512, 512), (512, 0, 0, -512)]
    {
        let mut p = Pair::new(false, false);
        p.initiator.submit(Command { read_len: asked, ..Default::default() }).unwrap();
        p.run().unwrap();
        let tag = p.commands()[0].tag;
        p.target.respond(tag, Response { data: pattern(sent), full_length: full, ..Default::default() });
        p.run().unwrap();
        let d = p.done().pop().unwrap();
        assert_eq!((d.residual, d.data.len()), (residual, sent));
    }
}

#[test]
fn the_window_holds_commands_back_until_one_ends() {
    let mut p = Pair::new(false, false);
    let sent = (0..10)
        .filter(|_| p.initiator.submit(Command { read_len: 8, ..Default::default() }).is_some())
        .count();
    assert_eq!(sent, 4);
    p.run().unwrap();
    assert!(!p.initiator.window_open());
    let tag = p.commands()[0].tag;
    p.target.respond(tag, Response { status: 8, qualifier: 3, ..Default::default() });
    p.run().unwrap();
    assert!(p.initiator.window_open());
    let d = p.done().pop().unwrap();
    assert_eq!((d.status, d.qualifier), (8, 3), "busy, with the delay that level 2 carries");
}

#[test]
fn an_aborted_task_is_told_once_and_its_late_answer_goes_nowhere() {
    let mut p = Pair::new(false, false);
    let itt = p.initiator.submit(Command { read_len: 8, ..Default::default() }).unwrap();
    p.run().unwrap();
    let tag = p.commands()[0].tag;
    p.at_initiator.clear();
    p.initiator.abort(itt);
    p.run().unwrap();
    assert!(matches!(p.at_target[..], [TargetEvent::Aborted(t)] if t == tag));
    assert!(matches!(p.at_initiator[..], [InitiatorEvent::Aborted(i, 0)] if i == itt));
    p.target.respond(tag, Response { data: pattern(8), ..Default::default() });
    p.run().unwrap();
    assert!(p.done().is_empty());
    p.at_target.clear();
    // An abort that meets the answer on its way: the answer has been given, the task is not known any more.
    let itt = p.initiator.submit(Command { read_len: 8, ..Default::default() }).unwrap();
    p.run().unwrap();
    let tag = p.commands()[0].tag;
    p.target.respond(tag, Response { data: pattern(8), full_length: 8, ..Default::default() });
    p.initiator.abort(itt);
    p.run().unwrap();
    assert!(matches!(&p.at_initiator[..], [InitiatorEvent::Completed(_), InitiatorEvent::Aborted(_, 1)]));
}

#[test]
fn the_extension_is_spoken_only_where_both_know_it() {
    let tag = node_extension::CommandMetadata { volume: 3, milli_units: 1000, ..Default::default() };
    let report = node_extension::LoadReport { queued: 5, ..Default::default() };
    for (ours, theirs) in [(true, true), (true, false), (false, true)] {
        let mut p = Pair::with(config(DISK, false, ours), theirs, limits());
        p.run().unwrap();
        p.initiator.submit(Command { read_len: 8, metadata: Some(tag), ..Default::default() }).unwrap();
        p.run().unwrap();
        let c = p.commands().pop().unwrap();
        let both = ours && theirs;
        assert_eq!(c.metadata, both.then_some(tag));
        let report = both.then_some(report);
        p.target.respond(c.tag, Response { data: pattern(8), full_length: 8, report, ..Default::default() });
        p.run().unwrap();
        assert_eq!(p.done()[0].report, report);
    }
}

#[test]
fn discovery_lists_all_targets_over_several_pdus() {
    let mut p = Pair::with(config("", false, false), false, limits());
    p.run().unwrap();
    p.initiator.send_targets();
    p.run().unwrap();
    let Some(InitiatorEvent::Text(pairs)) = p.at_initiator.last() else { panic!("{:?}", p.at_initiator) };
    assert_eq!(pairs.iter().filter(|(k, _)| k == "TargetName").count(), 200);
    assert_eq!(pairs[1], ("TargetAddress".to_owned(), "127.0.0.1:3260,1".to_owned()));
    assert!(p.initiator.submit(Command::default()).is_some());
    assert!(p.run().is_err(), "a discovery session takes no commands");
}

#[test]
fn logins_that_must_fail_say_why() {
    let status = |p: &mut Pair| match p.run() {
        Err(InitiatorError::Login(s)) => s,
        other => panic!("{other:?}"),
    };
    let mut nobody = config(DISK, false, false);
    nobody.name = "iqn.2026-12.org.example:nobody".to_owned();
    assert_eq!(status(&mut Pair::with(nobody, false, limits())), LoginStatus::FORBIDDEN);
    let elsewhere = config("iqn.2026-12.org.pearfork:none", false, false);
    assert_eq!(status(&mut Pair::with(elsewhere, false, limits())), LoginStatus::NOT_FOUND);
    let mut nameless = config(DISK, false, false);
    nameless.name = String::new();
    assert_eq!(status(&mut Pair::with(nameless, false, limits())), LoginStatus::MISSING_PARAMETER);
}

/// A PDU by hand: opcode with the I bit, flags, words at offsets, data.
fn raw(op: u8, flags: u8, words: &[(usize, u32)], data: &[u8]) -> Vec<u8> {
    let mut b = vec![0; BHS_LEN];
    (b[0], b[1]) = (op, flags);
    b[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
    for (at, w) in words {
        b[*at..*at + 4].copy_from_slice(&w.to_be_bytes());
    }
    b.extend_from_slice(data);
    b.resize(b.len().next_multiple_of(4), 0);
    b
}

fn login(flags: u8, text: &[u8]) -> Vec<u8> {
    raw(0x43, flags, &[(24, 1)], text)
}

/// Feeds a target; what it closed for, where it did, and the number of bytes that it said.
fn feed(pdus: &[Vec<u8>]) -> (Option<String>, usize, usize) {
    let mut t = Target::new(Arc::new(Door { extension: false }), 7, limits());
    let (mut events, mut said) = (Vec::new(), 0);
    for p in pdus {
        t.decoder().buffer().extend_from_slice(p);
        t.process(&mut events);
        said += t.take_output().iter().map(|b| b.len()).sum::<usize>();
    }
    let why =
        events.iter().find_map(|e| if let TargetEvent::Closing(w) = e { Some(w.clone()) } else { None });
    let commands = events.iter().filter(|e| matches!(e, TargetEvent::Command(_))).count();
    (why, said, commands)
}

const NAMES: &[u8] =
    b"InitiatorName=iqn.2026-12.org.example:x\0TargetName=iqn.2026-12.org.pearfork:disk000\0";

#[test]
fn logins_out_of_order_end_the_connection_with_a_reason() {
    let cases: [(&str, Vec<Vec<u8>>); 8] = [
        ("before login", vec![raw(0x01, 0x80, &[], &[])]),
        ("stage", vec![login(0x87 | 0x0c, NAMES)]),
        ("transit", vec![login(0x86, NAMES)]),
        ("more", vec![login(0xc7, NAMES)]),
        ("given twice", vec![login(0x87, &[NAMES, b"TargetName=a\0"].concat())]),
        ("no UTF-8", vec![login(0x87, &[0xff, 0xfe])]),
        ("without '='", vec![login(0x87, b"InitiatorName\0")]),
        ("bytes of text", (0..9).map(|_| login(0x44, &[b'a'; 8000])).collect()),
    ];
    for (what, pdus) in cases {
        let (why, said, _) = feed(&pdus);
        let why = why.unwrap_or_else(|| panic!("{what}: not closed"));
        assert!(what == "more" || why.contains(what), "{what}: {why}");
        assert!(said >= BHS_LEN || what == "before login");
    }
}

#[test]
fn every_required_key_is_answered_and_others_are_not_understood() {
    let text = [
        NAMES,
        b"HeaderDigest=CRC32C,None\0MaxConnections=8\0ErrorRecoveryLevel=2\0DataPDUInOrder=No\0\
        MaxOutstandingR2T=9\0X-com.example.a=1\0FirstBurstLength=7\0DefaultTime2Wait=0\0IFMarker=Yes\0",
    ]
    .concat();
    let mut t = Target::new(Arc::new(Door { extension: false }), 7, limits());
    t.decoder().buffer().extend_from_slice(&login(0x87, &text));
    t.process(&mut Vec::new());
    let said = t.take_output().concat();
    let said = String::from_utf8_lossy(&said[BHS_LEN..]).into_owned();
    for want in [
        "HeaderDigest=CRC32C",
        "MaxConnections=1",
        "ErrorRecoveryLevel=0",
        "DataPDUInOrder=Yes",
        "MaxOutstandingR2T=1",
        "X-com.example.a=NotUnderstood",
        "FirstBurstLength=Reject",
        "DefaultTime2Wait=2",
        "IFMarker=No",
        "TargetPortalGroupTag=1",
        "MaxRecvDataSegmentLength=",
    ] {
        assert!(said.contains(want), "{want} in {said:?}");
    }
}

#[test]
fn data_beyond_the_bursts_or_for_no_transfer_closes_and_nothing_is_handed_over() {
    let keys =
        [NAMES, b"InitialR2T=No\0ImmediateData=Yes\0FirstBurstLength=512\0MaxBurstLength=1024\0"].concat();
    let start = || login(0x87, &keys);
    let write =
        |flags: u8, len: u32, data: &[u8]| raw(0x01, 0x20 | flags, &[(16, 5), (20, len), (24, 1)], data);
    let data_out = |flags, ttt: u32, sn: u32, at: u32, data: &[u8]| {
        raw(0x05, flags, &[(16, 5), (20, ttt), (36, sn), (40, at)], data)
    };
    let cases: Vec<(&str, Vec<Vec<u8>>)> = vec![
        ("immediate data beyond", vec![start(), write(0x80, 2048, &[1; 516])]),
        (
            "past the end",
            vec![start(), write(0, 2048, &[1; 256]), data_out(0x80, RESERVED_TAG, 0, 256, &[1; 260])],
        ),
        ("not open", vec![start(), write(0x80, 2048, &[1; 512]), data_out(0x80, 77, 0, 512, &[1; 16])]),
        ("offset", vec![start(), write(0x80, 2048, &[1; 512]), data_out(0, 1, 0, 0, &[1; 16])]),
        ("DataSN", vec![start(), write(0x80, 2048, &[1; 512]), data_out(0, 1, 4, 512, &[1; 16])]),
        ("ended before", vec![start(), write(0x80, 2048, &[1; 512]), data_out(0x80, 1, 0, 512, &[1; 16])]),
        ("CmdSN", vec![start(), raw(0x01, 0x80, &[(16, 5), (24, 3)], &[])]),
    ];
    for (what, pdus) in cases {
        let (why, _, commands) = feed(&pdus);
        assert!(why.as_deref().is_some_and(|w| w.contains(what)), "{what}: {why:?}");
        assert_eq!(commands, 0, "{what}");
    }
    // A length beyond what is ever taken is answered by its owner without asking for the data.
    let (why, _, commands) = feed(&[start(), write(0x80, 64 << 20, &[1; 512])]);
    assert_eq!((why, commands), (None, 1));
    // A number outside the window is ignored without a word.
    let (why, _, commands) = feed(&[start(), raw(0x01, 0x80, &[(16, 5), (24, 900)], &[])]);
    assert_eq!((why, commands), (None, 0));
}

mod hostile {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn pdu() -> impl Strategy<Value = Vec<u8>> {
        (
            proptest::collection::vec(any::<u8>(), BHS_LEN),
            proptest::collection::vec(any::<u8>(), 0..600),
            0u8..4,
        )
            .prop_map(|(mut b, data, tame)| {
                b[4] &= 3;
                b[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
                if tame > 0 {
                    // Near enough to sense that the deeper states are reached.
                    b[0] = [0x00, 0x01, 0x02, 0x04, 0x05, 0x06, 0x41, 0x42][usize::from(b[0] & 7)];
                    let (itt, transfer, sn) = (b[19] & 3, b[23], b[27] & 3);
                    for (at, low) in [(16, itt), (20, transfer), (24, sn)] {
                        b[at..at + 4].copy_from_slice(&u32::from(low).to_be_bytes());
                    }
                    b[36..44].fill(0);
                }
                let ahs = usize::from(b[4]) * 4;
                b.extend(std::iter::repeat_n(9, ahs));
                b.extend(data);
                b.resize(b.len().next_multiple_of(4), 0);
                b
            })
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]
        #[test]
        fn no_bytes_make_a_target_panic_or_hold_more_than_its_bounds(
            logged_in: bool,
            pdus in proptest::collection::vec(pdu(), 0..40),
            answers in proptest::collection::vec(any::<bool>(), 40),
        ) {
            let mut t = Target::new(Arc::new(Door { extension: true }), 7, limits());
            let mut events = Vec::new();
            if logged_in {
                t.decoder().buffer().extend_from_slice(&login(0x87, NAMES));
            }
            for (p, answer) in pdus.iter().zip(answers) {
                t.decoder().buffer().extend_from_slice(p);
                t.process(&mut events);
                for e in events.drain(..) {
                    if let (TargetEvent::Command(c), true) = (e, answer) {
                        prop_assert!(c.data.len() <= limits().max_transfer_bytes);
                        t.respond(c.tag, Response { data: pattern(700), full_length: 700, ..Default::default() });
                    }
                }
                prop_assert!(t.task_count() <= 4 + 8);
                t.take_output();
            }
        }

        #[test]
        fn no_bytes_make_an_initiator_panic(pdus in proptest::collection::vec(pdu(), 0..20), ready: bool) {
            let mut p = if ready { Pair::new(false, true) } else { Pair::with(config(DISK, false, true), true, limits()) };
            p.initiator.submit(Command { read_len: 64, ..Default::default() });
            p.initiator.submit(Command { data: pattern(64), ..Default::default() });
            for bytes in pdus {
                let mut bytes = bytes;
                bytes[0] |= 0x20;
                p.initiator.decoder().buffer().extend_from_slice(&bytes);
                if p.initiator.process(&mut p.at_initiator).is_err() {
                    break;
                }
            }
            prop_assert!(p.closed().is_none());
        }
    }
}
