//! Case 'twice': a request has two attempts out at once although the settings forbid it, while some answers of
//! nodes get lost.

mod common;

use common::*;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A small deployment: ten nodes with a shard each and a spare one for each shard, three hosts of which this is
/// one. `SecondCopies` is false.
const SHARDS: usize = 10;
const SETTINGS: &str = r#"{"Az":0,"Balancers":3,
 "Classes":[{"DeadlineMs":2500.0,"Effect":"safe","Gain":2.0,"GoalTimeMs":300.0,"Group":"all","LateShare":0.15,"Name":"cache-read","Stream":false,"WindowMs":5000.0},
  {"DeadlineMs":5000.0,"Effect":"safe","Gain":1.0,"GoalTimeMs":1500.0,"Group":"all","LateShare":0.2,"Name":"bulk-export","Stream":false,"WindowMs":5000.0}],
 "Clients":{"MarksRetry":false},
 "Domain":{"ClassWrites":[false,false],"ColdUnits":37.0,"MeanUnits":1.0,"MeterMs":0.0,"SaysOthers":false,"ShareWorth":1.0,"SlotsTotal":10,"SpareWorth":1.0,"UnitsTop":8},
 "Limits":{"Cancel":true,"ConnIdleMs":15000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":1000.0,"MostTries":4,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32},
 "Plans":[{"Name":"basico","Nominal":500.0,"Pays":0.8,"Weight":1.0}],
 "RegistryMode":"automatic","Report":{"Fields":["pending","svc_ms"],"How":"piggyback"},"RoundMs":2.0,
 "Safety":{"ColdFrom":0.16,"ExtraFree":3.0,"ExtraRatio":0.15,"FallMs":1500.0,"GraceToAnswerMs":8.0,"OverloadFactor":2.0,"ResendSpanMs":5000.0,"StopSendingWithinMs":2000.0,"WarmAfterMs":17000.0}}"#;
/// Descriptors of the host; the pages give 256 to 1,024.
const SOCKETS: u32 = 256;
/// 600 requests a second on 80 connections, of which a third of the descriptors allows 85.
const LOAD: Load = Load {
    class: "bulk-export",
    plan: "basico",
    wait_ms: 5000,
    shards: SHARDS as u64,
    hosts: 3,
    connections: 80,
    commands: 4,
    period_ms: 533.0,
};
/// Time that a node takes for a request.
const SERVICE_MS: (f64, f64) = (100.0, 140.0);
/// One-way delay between host and nodes, as in the site's settings.
const NETWORK_MS: f64 = 0.35;
/// Share of the answers that get lost.
const LOST_ANSWERS: f64 = 0.01;
/// Every time limit of the simulator's rules is 50 ms longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(90);
/// The case ends early once this many requests were out twice.
const ENOUGH: usize = 3;

fn main() {
    run_case(run);
}

fn run(root: &Path, folder: &Path, record: &Record) -> io::Result<i32> {
    let mut rng = Rng(seed());
    let counts = Arc::new(NodeCounts::default());
    let attempts = Arc::new(Attempts::new(SLACK, record.clone()));
    let behaviour = NodeBehaviour {
        service_ms: SERVICE_MS,
        network_ms: NETWORK_MS,
        second_copies: 0.0,
        lost_answers: if trouble() { LOST_ANSWERS } else { 0.0 },
        attempts: Some(attempts.clone()),
    };
    let mut entries = Vec::new();
    for i in 0..SHARDS {
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
        "host ready; {} connections, lost answers: {}",
        LOAD.connections, behaviour.lost_answers
    ));

    let tally = Arc::new(Tally::default());
    let clients = Clients::start(LOAD, address, &tally, record, &mut rng);
    let until = Instant::now() + LENGTH;
    let mut exited = false;
    let doubled = || attempts.doubled.lock().unwrap().len();
    while Instant::now() < until && doubled() < ENOUGH && !exited {
        sleep_ms(100.0);
        exited = host.has_exited();
    }
    let doubled = doubled();
    clients.stop();
    host.kill();

    record.say(&tally.summary());
    record.say(&counts.summary());
    let (all, of) = attempts.counts();
    record
        .say(&format!("attempts {all} of {of} requests; requests with two attempts out at once: {doubled}"));
    for example in attempts.doubled.lock().unwrap().iter().take(doubled) {
        record.say(example);
    }
    host.copy_log(record);
    if exited || n(&tally.served) == 0 {
        return Err(io::Error::other("the host ended or served nothing"));
    }
    Ok(if doubled > 0 { BROKEN } else { HELD })
}
