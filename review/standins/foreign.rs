//! Case 'foreign': clients compare each value with the request that they sent, while some nodes' answers are
//! followed by a second copy.

mod common;

use common::*;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A small deployment: ten nodes with a shard each, three hosts of which this is one.
const NODES: usize = 10;
const SETTINGS: &str = r#"{"Az":0,"Balancers":3,
 "Classes":[{"DeadlineMs":2000.0,"Effect":"safe","Gain":2.0,"GoalTimeMs":300.0,"Group":"all","LateShare":0.2,"Name":"trip-read","Stream":false,"WindowMs":5000.0}],
 "Clients":{"MarksRetry":false},
 "Domain":{"ClassWrites":[false],"ColdUnits":37.0,"MeanUnits":1.0,"MeterMs":0.0,"SaysOthers":false,"ShareWorth":1.0,"SlotsTotal":10,"SpareWorth":1.0,"UnitsTop":6},
 "Limits":{"Cancel":true,"ConnIdleMs":15000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":1000.0,"MostTries":4,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":32},
 "Plans":[{"Name":"basic","Nominal":500.0,"Pays":1.0,"Weight":1.0}],
 "RegistryMode":"automatic","Report":{"Fields":["pending","svc_ms"],"How":"piggyback"},"RoundMs":2.0,
 "Safety":{"ColdFrom":0.31,"FallMs":2000.0,"GraceToAnswerMs":8.0,"OverloadFactor":2.0,"StopSendingWithinMs":1000.0,"WarmAfterMs":15000.0}}"#;
/// Descriptors of the host; the pages give 256 to 1,024.
const SOCKETS: u32 = 256;
/// 600 requests a second on 80 connections, of which a third of the descriptors allows 85.
const LOAD: Load = Load {
    class: "trip-read",
    plan: "basic",
    wait_ms: 2000,
    shards: NODES as u64,
    hosts: 3,
    connections: 80,
    commands: 4,
    period_ms: 533.0,
};
/// Time that a node takes for a request.
const SERVICE_MS: (f64, f64) = (80.0, 160.0);
/// One-way delay between host and nodes, as in the site's settings.
const NETWORK_MS: f64 = 0.35;
/// Share of the answers with a second copy straight after.
const SECOND_COPIES: f64 = 0.2;
const LENGTH: Duration = Duration::from_secs(90);
/// The case ends early once this many requests were served with a foreign value.
const ENOUGH: u64 = 3;

fn main() {
    run_case(run);
}

fn run(root: &Path, folder: &Path, record: &Record) -> io::Result<i32> {
    let mut rng = Rng(seed());
    let counts = Arc::new(NodeCounts::default());
    let behaviour = NodeBehaviour {
        service_ms: SERVICE_MS,
        network_ms: NETWORK_MS,
        second_copies: if trouble() { SECOND_COPIES } else { 0.0 },
        lost_answers: 0.0,
        attempts: None,
    };
    let mut entries = Vec::new();
    for i in 0..NODES {
        let name = format!("s-{i}");
        let node = start_node(name, i, behaviour.clone(), counts.clone(), record.clone(), Rng(rng.next()))?;
        entries.push(node_entry(&node.name, node.address, node.block, "SERVING", 0));
    }
    let list = whole_list(1, &entries);
    let discovery = start_discovery(list.clone(), 1)?;
    let address = host_address()?;
    let text = config("n1", address, discovery, rng.next(), 192, SOCKETS, &list, SETTINGS);
    let mut host = Host::start(root, folder, "n1", address, discovery, &text)?;
    record.say(&format!(
        "host ready; {} connections, second copies: {}",
        LOAD.connections, behaviour.second_copies
    ));

    let tally = Arc::new(Tally::default());
    let clients = Clients::start(LOAD, address, &tally, record, &mut rng);
    let until = Instant::now() + LENGTH;
    let mut exited = false;
    while Instant::now() < until && n(&tally.foreign) < ENOUGH && !exited {
        sleep_ms(100.0);
        exited = host.has_exited();
    }
    clients.stop();
    host.kill();

    record.say(&tally.summary());
    record.say(&counts.summary());
    for example in tally.examples.lock().unwrap().iter() {
        record.say(example);
    }
    host.copy_log(record);
    if exited || n(&tally.served) == 0 {
        return Err(io::Error::other("the host ended or served nothing"));
    }
    Ok(if n(&tally.foreign) > 0 { BROKEN } else { HELD })
}
