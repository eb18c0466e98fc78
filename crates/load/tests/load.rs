//! Loads through a real host before stand-in nodes.

use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_load::figures::End;
use pearfork_load::run::run;
use pearfork_load::session::{Pace, Plan};
use pearfork_load::shape::{Places, Shape};
use pearfork_load::url::UnitUrl;
use pearfork_stand::{FakeCluster, FakeClusterSpec, NodeFault, Recorder};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

struct World {
    fleet: FakeCluster,
    host: Host,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl World {
    fn new() -> World {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = include_str!("../../day/days/bad-day-hosts.toml");
        let mut plan = HostSettings::from_toml(text).unwrap_or_else(|e| panic!("{e}"));
        let fleet = FakeCluster::start(
            &FakeClusterSpec::default(),
            &plan.scheduler,
            anywhere,
            Duration::ZERO,
            &Recorder::disabled(),
        )
        .unwrap();
        plan.scheduler.hosts = 1;
        plan.volumes.iter_mut().for_each(|v| v.hosts = 1);
        (plan.listen, plan.http, plan.directory) = (anywhere, Some(anywhere), fleet.directory().address());
        let host = Host::start(plan).unwrap();
        let http = host.http_address().unwrap();
        let until = Instant::now() + ms(10_000);
        while !pearfork_net::http::get(http, "/health", ms(2000)).is_ok_and(|(status, _)| status == 200) {
            assert!(Instant::now() < until, "no node list");
            std::thread::sleep(ms(5));
        }
        World { fleet, host }
    }

    fn unit(&self, volume: usize) -> UnitUrl {
        let v = &self.host.settings().volumes[volume];
        UnitUrl { address: self.host.address(), target: v.target.clone(), lun: v.lun }
    }

    fn plan(&self, pace: Pace) -> Plan {
        Plan {
            units: vec![self.unit(0)],
            sessions: 2,
            pace,
            shape: Shape {
                writes: 0.5,
                flushes: 0.02,
                sizes: "4KiB:3,16KiB".parse().unwrap(),
                places: Places::Zipf(0.9),
            },
            verify: true,
            digests: true,
            seed: 3,
            length: ms(2500),
            initiator: "iqn.2026-12.org.example:load".to_owned(),
        }
    }
}

#[test]
fn in_bad_seconds_no_block_that_was_acknowledged_is_lost_or_stale() {
    let w = World::new();
    let mut plan = w.plan(Pace::Depth(4));
    plan.units.push(w.unit(1));
    let (figures, _) = std::thread::scope(|s| {
        let load = s.spawn(|| run(&plan));
        for (node, fault, off) in [
            (1, NodeFault::Hang(true), NodeFault::Hang(false)),
            (2, NodeFault::Slow(20.0), NodeFault::Slow(1.0)),
            (3, NodeFault::ResetAtR2t(true), NodeFault::ResetAtR2t(false)),
        ] {
            std::thread::sleep(ms(200));
            w.fleet.node(node).set_fault(fault);
            std::thread::sleep(ms(300));
            w.fleet.node(node).set_fault(off);
        }
        w.fleet.node(4).set_fault(NodeFault::Reset);
        w.fleet.kill_node(2);
        std::thread::sleep(ms(300));
        w.fleet.restart_node(2).unwrap();
        load.join().unwrap().unwrap()
    });
    assert_eq!(figures.wrong, Vec::<String>::new());
    assert!(figures.proved > 200, "{} blocks proved", figures.proved);
    assert!(figures.count(End::Served) > 200);
}

#[test]
fn a_node_that_acknowledges_writes_and_keeps_none_is_found() {
    let w = World::new();
    w.fleet.node(2).set_fault(NodeFault::LoseWrites(true));
    let (figures, _) = run(&w.plan(Pace::Depth(4))).unwrap();
    assert!(figures.wrong_count > 0);
    assert!(figures.wrong.iter().all(|w| w.contains("was acknowledged")), "{:?}", figures.wrong);
}

/// Danger: a load that waits for its target asks nothing while the target stands still, and reports that all was well.
#[test]
fn at_a_rate_what_was_due_while_the_target_stood_still_is_timed_from_then() {
    let w = World::new();
    let mut plan = w.plan(Pace::Rate(200.0));
    (plan.verify, plan.shape.places) = (false, Places::Uniform);
    let (figures, took) = std::thread::scope(|s| {
        let load = s.spawn(|| run(&plan));
        std::thread::sleep(ms(700));
        w.host.stall_engine(ms(800));
        load.join().unwrap().unwrap()
    });
    let ended: u64 =
        [End::Served, End::Refused, End::Failed, End::Lost].iter().map(|e| figures.count(*e)).sum();
    assert!(ended + figures.not_sent > 350, "{ended} of about 500 were asked for");
    let summary = figures.summary(took);
    let slowest = summary.kinds.values().map(|k| k.max_ms).fold(0.0, f64::max);
    let refused: u64 = summary.kinds.values().map(|k| k.refused).sum();
    assert!(slowest > 300.0 || refused > 50, "{slowest} ms, {refused} refused");
}

#[test]
fn the_program_prints_json_where_nobody_looks_and_says_what_it_can_not_do() {
    let w = World::new();
    let program = |arguments: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_pearfork-load")).args(arguments).output().unwrap()
    };
    let unit = w.unit(0).to_string();
    let out = program(&[&unit, "--length", "400ms", "--verify", "--depth", "2"]);
    assert_eq!(out.status.code(), Some(0), "{}", String::from_utf8_lossy(&out.stderr));
    let line: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert!(line["kinds"]["read"]["served"].as_u64().unwrap() > 0 && line["blocks_wrong"] == 0);
    let writes = program(&[&unit, "--length", "300ms", "--verify", "--writes", "1"]);
    let line: serde_json::Value = serde_json::from_slice(&writes.stdout).unwrap();
    assert!(
        line["blocks_proved"].as_u64().unwrap() > 0 && line["kinds"].get("read").is_none(),
        "proof is no load: {line}"
    );
    let table = program(&[&unit, "--length", "200ms", "--json=false"]);
    assert!(String::from_utf8_lossy(&table.stdout).contains("p99.9"));
    let nobody = "iscsi://127.0.0.1:9/iqn.2026-12.org.pearfork:demo/0";
    for (arguments, want) in [
        (vec!["iscsi://127.0.0.1:9"], "no target's name"),
        (vec![nobody], "no connection to 127.0.0.1:9"),
        (vec![&unit, "--sizes", "1000B"], "no multiple of the unit's blocks of 512"),
        (vec![&unit, "--writes", "1.5"], "0 to 1"),
        (vec![&unit, "--length", "2"], "has no unit"),
        (vec![&unit, "--rate", "0"], "must be above 0"),
        (vec!["iscsi://127.0.0.1:9/t/0", "--places", "zipf"], "zipf:EXPONENT"),
    ] {
        let out = program(&arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        let told = String::from_utf8_lossy(&out.stderr);
        assert!(told.contains(want), "{told}");
    }
    let other = unit.replace("/0", "/77");
    assert_eq!(program(&[&other, "--length", "200ms"]).status.code(), Some(2), "a unit that there is not");
}
