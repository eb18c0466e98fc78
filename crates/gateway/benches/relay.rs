//! Compares the gateway with a relay that only copies bytes, and with the node itself, in one run.
//!
//! `cargo bench -p pearfork-gateway --bench relay` prints a table for `docs/results/`. The gateway is a
//! separate process, so that its CPU time, memory and threads are counted alone. No figure is checked.

mod harness;

use harness::{run_load, settings, start_instant_node, DueAt, GatewayProcess, QUICKSTART};
use pearfork::{AttemptOutcome, AttemptResult, Event, ListKind, NodeEntry, Request, Scheduler};
use pearfork_host::settings::HostSettings;
use pearfork_iscsi::InitiatorConfig;
use pearfork_net::{Connection, StreamTap};
use pearfork_scsi::MediaOp;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Starts a relay that copies bytes both ways. Like the gateway it has two threads per client.
fn start_relay(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let node = TcpStream::connect(to).expect("the node");
            let _ = (client.set_nodelay(true), node.set_nodelay(true));
            for (mut from, mut into) in
                [(client.try_clone().expect("a socket"), node.try_clone().expect("a socket")), (node, client)]
            {
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

/// Mean and maximum time of the scheduler for a request and its outcome, in microseconds, with 44 nodes.
fn scheduler_time_us() -> (f64, f64) {
    let host_settings = HostSettings::from_toml(QUICKSTART).expect("the quickstart");
    let mut scheduler = Scheduler::new(host_settings.scheduler.clone(), 1).expect("settings");
    let nodes: Vec<NodeEntry> = (0..44)
        .map(|id| NodeEntry {
            node: id,
            shard: id as u16,
            zone: 0,
            state: pearfork::NodeState::Ready,
            started_ms: 0.0,
        })
        .collect();
    let mut actions = Vec::new();
    scheduler.handle(0.0, Event::NodeList(ListKind::Full, nodes), &mut actions);
    let (mut total, mut worst, requests) = (Duration::ZERO, Duration::ZERO, 200_000u32);
    for id in 0..requests {
        let now = f64::from(id) * 0.5;
        let began = Instant::now();
        scheduler.handle(
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
            scheduler.handle(
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
        let elapsed = began.elapsed();
        total += elapsed;
        worst = worst.max(elapsed);
    }
    (total.as_secs_f64() * 1e6 / f64::from(requests), worst.as_secs_f64() * 1e6)
}

fn main() {
    let fleet = start_instant_node();
    let (node, _) = fleet.node(1).address().expect("alive");
    let relay = start_relay(node);
    let gateway = GatewayProcess::start("relay", &settings(fleet.directory().address()));
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("{cores} cores; one session; node, clients and relay in one process, the gateway in another\n");
    println!("| load | depth | node/s | relay/s | gateway/s | gateway/relay | p50 us node, relay, gateway | p99 us | not served | CPU us per request | voluntary switches per request |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let target = "iqn.2026-12.org.pearfork:demo";
    let span = Duration::from_secs(2);
    let mut half_rates = Vec::new();
    for (op, name) in [(MediaOp::Read, "read"), (MediaOp::Write, "write")] {
        for kib in [4, 64] {
            for depth in [1, 16] {
                run_load(gateway.address, target, op, kib, depth, None, Duration::from_secs(1));
                let direct = run_load(node, "node", op, kib, depth, None, span);
                let through_relay = run_load(relay, "node", op, kib, depth, None, span);
                let (cpu_before, switches_before) = (gateway.cpu_s(), gateway.voluntary_switches());
                let through_gateway = run_load(gateway.address, target, op, kib, depth, None, span);
                let requests = (through_gateway.served + through_gateway.not_served).max(1) as f64;
                let cpu = (gateway.cpu_s() - cpu_before) * 1e6 / requests;
                let switches = gateway.voluntary_switches().saturating_sub(switches_before) as f64 / requests;
                println!(
                    "| {name} {kib} KiB | {depth} | {:.0} | {:.0} | {:.0} | {:.2} | {:.0}, {:.0}, {:.0} | {:.0}, {:.0}, {:.0} | {} | {cpu:.0} | {switches:.1} |",
                    direct.served_per_s(),
                    through_relay.served_per_s(),
                    through_gateway.served_per_s(),
                    through_gateway.served_per_s() / through_relay.served_per_s(),
                    direct.latency_us(0.5),
                    through_relay.latency_us(0.5),
                    through_gateway.latency_us(0.5),
                    direct.latency_us(0.99),
                    through_relay.latency_us(0.99),
                    through_gateway.latency_us(0.99),
                    through_gateway.not_served
                );
                if depth == 16 {
                    half_rates.push((op, name, kib, through_gateway.served_per_s() / 2.0));
                }
            }
        }
    }
    println!("\n| at half the gateway's load | rate/s | p50 us relay, gateway | p99 us relay, gateway | added p99 us |");
    println!("| --- | --- | --- | --- | --- |");
    for (op, name, kib, rate) in half_rates {
        let through_relay = run_load(relay, "node", op, kib, 16, Some(rate), span);
        let through_gateway = run_load(gateway.address, target, op, kib, 16, Some(rate), span);
        println!(
            "| {name} {kib} KiB | {rate:.0} | {:.0}, {:.0} | {:.0}, {:.0} | {:.0} |",
            through_relay.latency_us(0.5),
            through_gateway.latency_us(0.5),
            through_relay.latency_us(0.99),
            through_gateway.latency_us(0.99),
            through_gateway.latency_us(0.99) - through_relay.latency_us(0.99)
        );
    }
    let (rss_kib, threads) = (gateway.status("VmRSS"), gateway.status("Threads"));
    let idle: Vec<_> = (0..1000u32)
        .map(|n| {
            let mut isid = [0x80, 1, 0, 0, 0, 0];
            isid[2..].copy_from_slice(&n.to_be_bytes());
            let config = InitiatorConfig {
                name: "iqn.2026-12.org.example:idle".to_owned(),
                target: Some(target.to_owned()),
                isid,
                digests: false,
                extension: false,
            };
            Connection::<DueAt>::open(
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
    let added_kib = gateway.status("VmRSS").saturating_sub(rss_kib);
    println!(
        "\n1,000 idle sessions: {added_kib} KiB more resident memory, {:.1} KiB per session; {} more threads",
        added_kib as f64 / 1000.0,
        gateway.status("Threads") - threads
    );
    idle.iter().for_each(|c| c.close());
    let (mean, worst) = scheduler_time_us();
    println!("the scheduler alone, 44 nodes: {mean:.1} us per request with its outcome on average, {worst:.0} us at most");
}
