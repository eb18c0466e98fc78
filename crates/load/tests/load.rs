//! Load runs against a real host in front of fake nodes.

use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_load::run::run;
use pearfork_load::session::{LoadConfig, Pacing};
use pearfork_load::stats::Outcome;
use pearfork_load::url::LunUrl;
use pearfork_load::workload::{AccessPattern, Workload};
use pearfork_stand::{FakeCluster, FakeClusterSpec, NodeFault, Recorder};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

struct TestEnvironment {
    cluster: FakeCluster,
    host: Host,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl TestEnvironment {
    fn new() -> TestEnvironment {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let text = include_str!("../../day/days/bad-day-hosts.toml");
        let mut settings = HostSettings::from_toml(text).unwrap_or_else(|e| panic!("{e}"));
        let cluster = FakeCluster::start(
            &FakeClusterSpec::default(),
            &settings.scheduler,
            any_port,
            Duration::ZERO,
            &Recorder::disabled(),
        )
        .unwrap();
        settings.scheduler.hosts = 1;
        settings.volumes.iter_mut().for_each(|v| v.hosts = 1);
        (settings.listen, settings.http, settings.directory) =
            (any_port, Some(any_port), cluster.directory().address());
        let host = Host::start(settings).unwrap();
        let http = host.http_address().unwrap();
        let deadline = Instant::now() + ms(10_000);
        while !pearfork_net::http::get(http, "/health", ms(2000)).is_ok_and(|(status, _)| status == 200) {
            assert!(Instant::now() < deadline, "the host received no node list");
            std::thread::sleep(ms(5));
        }
        TestEnvironment { cluster, host }
    }

    fn unit(&self, volume: usize) -> LunUrl {
        let v = &self.host.settings().volumes[volume];
        LunUrl { address: self.host.address(), target: v.target.clone(), lun: v.lun }
    }

    fn config(&self, pacing: Pacing) -> LoadConfig {
        LoadConfig {
            units: vec![self.unit(0)],
            sessions_per_unit: 2,
            pacing,
            workload: Workload {
                writes: 0.5,
                flushes: 0.02,
                sizes: "4KiB:3,16KiB".parse().unwrap(),
                pattern: AccessPattern::Zipf(0.9),
            },
            verify: true,
            digests: true,
            seed: 3,
            duration: ms(2500),
            initiator_prefix: "iqn.2026-12.org.example:load".to_owned(),
        }
    }
}

#[test]
fn no_acknowledged_write_is_lost_while_nodes_fail() {
    let environment = TestEnvironment::new();
    let mut config = environment.config(Pacing::QueueDepth(4));
    config.units.push(environment.unit(1));
    let (stats, _) = std::thread::scope(|s| {
        let load = s.spawn(|| run(&config));
        for (node, fault, off) in [
            (1, NodeFault::Hang(true), NodeFault::Hang(false)),
            (2, NodeFault::Slow(20.0), NodeFault::Slow(1.0)),
            (3, NodeFault::ResetAtR2t(true), NodeFault::ResetAtR2t(false)),
        ] {
            std::thread::sleep(ms(200));
            environment.cluster.node(node).set_fault(fault);
            std::thread::sleep(ms(300));
            environment.cluster.node(node).set_fault(off);
        }
        environment.cluster.node(4).set_fault(NodeFault::Reset);
        environment.cluster.kill_node(2);
        std::thread::sleep(ms(300));
        environment.cluster.restart_node(2).unwrap();
        load.join().unwrap().unwrap()
    });
    assert_eq!(stats.mismatches, Vec::<String>::new());
    assert!(stats.verified_blocks > 200, "{} blocks verified", stats.verified_blocks);
    assert!(stats.count(Outcome::Served) > 200);
}

#[test]
fn a_node_that_loses_acknowledged_writes_is_detected() {
    let environment = TestEnvironment::new();
    environment.cluster.node(2).set_fault(NodeFault::LoseWrites(true));
    let (stats, _) = run(&environment.config(Pacing::QueueDepth(4))).unwrap();
    assert!(stats.mismatch_count > 0);
    assert!(stats.mismatches.iter().all(|m| m.contains("was acknowledged")), "{:?}", stats.mismatches);
}

/// Guards against coordinated omission: a load that waits for its target sends nothing while the target is
/// stalled, and reports good latencies.
#[test]
fn at_a_rate_latency_is_measured_from_when_a_request_was_due() {
    let environment = TestEnvironment::new();
    let mut config = environment.config(Pacing::Rate(200.0));
    (config.verify, config.workload.pattern) = (false, AccessPattern::Uniform);
    let (stats, took) = std::thread::scope(|s| {
        let load = s.spawn(|| run(&config));
        std::thread::sleep(ms(700));
        environment.host.stall_engine(ms(800));
        load.join().unwrap().unwrap()
    });
    let ended: u64 = [Outcome::Served, Outcome::Refused, Outcome::Failed, Outcome::Lost]
        .iter()
        .map(|e| stats.count(*e))
        .sum();
    assert!(ended + stats.not_sent > 350, "{ended} of about 500 requests were sent");
    let summary = stats.summary(took);
    let slowest = summary.kinds.values().map(|k| k.max_ms).fold(0.0, f64::max);
    let refused: u64 = summary.kinds.values().map(|k| k.refused).sum();
    assert!(slowest > 300.0 || refused > 50, "{slowest} ms, {refused} refused");
}

#[test]
fn the_program_prints_json_without_a_terminal_and_reports_invalid_arguments() {
    let environment = TestEnvironment::new();
    let program = |arguments: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_pearfork-load")).args(arguments).output().unwrap()
    };
    let unit = environment.unit(0).to_string();
    let output = program(&[&unit, "--length", "400ms", "--verify", "--depth", "2"]);
    assert_eq!(output.status.code(), Some(0), "{}", String::from_utf8_lossy(&output.stderr));
    let summary: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert!(summary["kinds"]["read"]["served"].as_u64().unwrap() > 0 && summary["blocks_wrong"] == 0);
    let writes = program(&[&unit, "--length", "300ms", "--verify", "--writes", "1"]);
    let summary: serde_json::Value = serde_json::from_slice(&writes.stdout).unwrap();
    assert!(
        summary["blocks_proved"].as_u64().unwrap() > 0 && summary["kinds"].get("read").is_none(),
        "reads of the final verification are not counted as load: {summary}"
    );
    let table = program(&[&unit, "--length", "200ms", "--json=false"]);
    assert!(String::from_utf8_lossy(&table.stdout).contains("p99.9"));
    let closed_port = "iscsi://127.0.0.1:9/iqn.2026-12.org.pearfork:demo/0";
    for (arguments, expected) in [
        (vec!["iscsi://127.0.0.1:9"], "the target name is missing"),
        (vec![closed_port], "no connection to 127.0.0.1:9"),
        (vec![&unit, "--sizes", "1000B"], "not a multiple of the unit's block size of 512"),
        (vec![&unit, "--writes", "1.5"], "0 to 1"),
        (vec![&unit, "--length", "2"], "has no unit"),
        (vec![&unit, "--rate", "0"], "must be above 0"),
        (vec!["iscsi://127.0.0.1:9/t/0", "--places", "zipf"], "zipf:EXPONENT"),
    ] {
        let output = program(&arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains(expected), "{stderr}");
    }
    let missing_unit = unit.replace("/0", "/77");
    assert_eq!(
        program(&[&missing_unit, "--length", "200ms"]).status.code(),
        Some(2),
        "a unit that does not exist"
    );
}
