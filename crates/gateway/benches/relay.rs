//! The gateway against a plain relay of the same bytes, and against the node itself; in one run.
//!
//! `cargo bench -p pearfork-gateway --bench relay` prints a table for `docs/results/`. The gateway is a process of
//! its own, so that its processor time, memory and threads are its alone. No figure here is a test.

mod bed;

use bed::{free_node, load, settings, At, Gateway, QUICKSTART};
use pearfork::{AttemptOutcome, AttemptResult, Event, ListKind, NodeEntry, Request, Scheduler};
use pearfork_host::settings::HostSettings;
use pearfork_iscsi::InitiatorConfig;
use pearfork_net::{Connection, StreamTap};
use pearfork_scsi::MediaOp;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Copies bytes both ways, two threads a connection, as the gateway has toward a client.
fn relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for a in listener.incoming().flatten() {
            let b = TcpStream::connect(to).expect("the node");
            let _ = (a.set_nodelay(true), b.set_nodelay(true));
            for (mut from, mut into) in [(a.try_clone().expect("a"), b.try_clone().expect("b")), (b, a)] {
                std::thread::spawn(move || {
                    let mut buffer = vec![0; 256 * 1024];
                    while let Ok(n) = from.read(&mut buffer) {
                        if n == 0 || into.write_all(&buffer[..n]).is_err() {
                            break;
                        }
                    }
                    let _ = into.shutdown(std::net::Shutdown::Both);
                });
            }
        }
    });
    address
}

fn module_time() -> (f64, f64) {
    let plan = HostSettings::from_toml(QUICKSTART).expect("the quickstart");
    let mut s = Scheduler::new(plan.scheduler.clone(), 1).expect("settings");
    let nodes: Vec<NodeEntry> = (0..44)
        .map(|n| NodeEntry {
            node: n,
            shard: n as u16,
            zone: 0,
            state: pearfork::NodeState::Ready,
            started_ms: 0.0,
        })
        .collect();
    let mut actions = Vec::new();
    s.handle(0.0, Event::NodeList(ListKind::Full, nodes), &mut actions);
    let (mut spent, mut worst, requests) = (Duration::ZERO, Duration::ZERO, 200_000u32);
    for id in 0..requests {
        let now = f64::from(id) * 0.5;
        let began = Instant::now();
        s.handle(
            now,
            Event::Request(Request {
                id,
                class: (id % 3) as u16,
                plan: 0,
                key: u64::from(id % 500) + 1,
                valid_until_ms: now + 2000.0,
                volume: u64::from(id % 200),
                units: 1.0,
                shard: Some((id % 44) as u16),
                volume_hosts: 1.0,
            }),
            &mut actions,
        );
        let sent: Vec<(u32, u32)> = actions
            .drain(..)
            .filter_map(|a| match a {
                pearfork::Action::Send { id, node, .. } => Some((id, node)),
                _ => None,
            })
            .collect();
        for (id, node) in sent {
            s.handle(
                now + 0.3,
                Event::AttemptEnded(AttemptOutcome {
                    id,
                    attempt: 0,
                    node,
                    result: AttemptResult::Served,
                    elapsed_ms: 0.3,
                    request_ended: true,
                    used_percent: None,
                    other_hosts_units: 0.0,
                    queue: Some(1.0),
                    in_flight: Some(2.0),
                    latency_ms: Some(0.3),
                    util: Some(0.2),
                }),
                &mut actions,
            );
            actions.clear();
        }
        let took = began.elapsed();
        spent += took;
        worst = worst.max(took);
    }
    (spent.as_secs_f64() * 1e6 / f64::from(requests), worst.as_secs_f64() * 1e6)
}

fn main() {
    let fleet = free_node();
    let (node, _) = fleet.node(1).address().expect("alive");
    let through = relay(node);
    let gateway = Gateway::start("relay", &settings(fleet.directory().address()));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; one session; node, clients and relay in one process, the gateway in another\n");
    println!("| load | depth | node/s | relay/s | gateway/s | gateway/relay | p50 us node, relay, gateway | p99 us | not served | CPU us a request | waits a request |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let demo = "iqn.2026-12.org.pearfork:demo";
    let span = Duration::from_secs(2);
    let mut half = Vec::new();
    for (op, name) in [(MediaOp::Read, "read"), (MediaOp::Write, "write")] {
        for kib in [4, 64] {
            for depth in [1, 16] {
                load(gateway.address, demo, op, kib, depth, None, Duration::from_secs(1));
                let direct = load(node, "node", op, kib, depth, None, span);
                let relayed = load(through, "node", op, kib, depth, None, span);
                let (before, slept) = (gateway.cpu_s(), gateway.waits());
                let ours = load(gateway.address, demo, op, kib, depth, None, span);
                let requests = (ours.served + ours.other).max(1) as f64;
                let cpu = (gateway.cpu_s() - before) * 1e6 / requests;
                let waits = gateway.waits().saturating_sub(slept) as f64 / requests;
                println!(
                    "| {name} {kib} KiB | {depth} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0}, {:.0}, {:.0} | {:.0}, {:.0}, {:.0} | {} | {cpu:.0} | {waits:.1} |",
                    direct.per_s(), relayed.per_s(), ours.per_s(), ours.per_s() / relayed.per_s(),
                    direct.us(0.5), relayed.us(0.5), ours.us(0.5), direct.us(0.99), relayed.us(0.99), ours.us(0.99), ours.other
                );
                if depth == 16 {
                    half.push((op, name, kib, ours.per_s() / 2.0));
                }
            }
        }
    }
    println!("\n| at half the gateway's load | rate/s | p50 us relay, gateway | p99 us relay, gateway | added p99 us |");
    println!("| --- | --- | --- | --- | --- |");
    for (op, name, kib, rate) in half {
        let relayed = load(through, "node", op, kib, 16, Some(rate), span);
        let ours = load(gateway.address, demo, op, kib, 16, Some(rate), span);
        println!(
            "| {name} {kib} KiB | {rate:.0} | {:.0}, {:.0} | {:.0}, {:.0} | {:.0} |",
            relayed.us(0.5),
            ours.us(0.5),
            relayed.us(0.99),
            ours.us(0.99),
            ours.us(0.99) - relayed.us(0.99)
        );
    }
    let (rss, threads) = (gateway.status("VmRSS"), gateway.status("Threads"));
    let idle: Vec<_> = (0..1000u32)
        .map(|n| {
            let mut isid = [0x80, 1, 0, 0, 0, 0];
            isid[2..].copy_from_slice(&n.to_be_bytes());
            let config = InitiatorConfig {
                name: "iqn.2026-12.org.example:idle".to_owned(),
                target: Some(demo.to_owned()),
                isid,
                digests: false,
                extension: false,
            };
            Connection::<At>::open(
                gateway.address,
                config,
                Duration::from_secs(5),
                StreamTap::default(),
                |_| {},
            )
            .expect("a login")
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let more = gateway.status("VmRSS").saturating_sub(rss);
    println!(
        "\n1,000 idle sessions: {more} KiB more resident, {:.1} KiB a session; {} threads more",
        more as f64 / 1000.0,
        gateway.status("Threads") - threads
    );
    idle.iter().for_each(|c| c.close());
    let (mean, worst) = module_time();
    println!("the module alone, 44 nodes: {mean:.1} us a request with its outcome in the mean, {worst:.0} us at worst");
}
