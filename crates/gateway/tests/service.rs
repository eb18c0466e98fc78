//! `pearfork-gateway service` with a fleet of 1,024 hosts in the settings: lists of 1,100 nodes, invalid
//! files and lists while requests are in flight, and signals close behind each other.

mod service_harness;

use rustix::process::Signal;
use service_harness::{
    connect, list_with_one_live_node, read_reply, send_get, start_discovery, start_node, unused_address,
    write_config, GatewayProcess, SERVED_REPLY,
};
use std::io::Read;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Guards against requests, threads or descriptors that are lost when all node names change, and against an
/// invalid list or configuration file that takes effect.
#[test]
fn invalid_files_and_lists_change_nothing_and_hundreds_of_nodes_may_be_replaced() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let live = start_node(Duration::from_millis(100));
    let served_list = Arc::new(Mutex::new((1, list_with_one_live_node(1, live, "a", 1_100))));
    let discovery = start_discovery(served_list.clone());
    let listen = unused_address();
    write_config(&file, listen, discovery.address(), &list_with_one_live_node(0, live, "a", 0));
    let mut host = GatewayProcess::start(&file);
    let mut client = connect(listen);
    send_get(&mut client, 1);
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
    let before = host.thread_and_descriptor_counts();
    for (round, seq) in (2..8u64).enumerate() {
        // All other nodes are replaced, and an invalid list and an invalid file follow, each with a request
        // in flight.
        send_get(&mut client, 100 + seq);
        *served_list.lock().unwrap() =
            (seq * 10, list_with_one_live_node(seq * 10, live, &format!("n{round}"), 1_100));
        std::fs::write(&file, "{\"name\": \"n3\", \"listen\": 7}").unwrap();
        host.signal(Signal::HUP);
        assert_eq!(read_reply(&mut client), SERVED_REPLY);
        *served_list.lock().unwrap() =
            (seq * 10 + 1, r#"{"seq":1,"whole":true,"hosts":[{"host":""}]}"#.to_owned());
        send_get(&mut client, 200 + seq);
        assert_eq!(read_reply(&mut client), SERVED_REPLY);
    }
    host.wait_for_log("configuration not reloaded, the previous one stays in force");
    host.wait_for_log("hosts[0].");
    host.wait_for_log("going on with the list as it is");
    let after = host.thread_and_descriptor_counts();
    assert_eq!(after.0, before.0, "threads");
    assert!(after.1 <= before.1 + 4, "descriptors: {before:?} and {after:?}");
    host.signal(Signal::TERM);
    assert_eq!(host.wait_for_exit_code(), Some(0));
}

/// Guards against a reload that is lost because the file is only half written when SIGHUP arrives.
#[test]
fn a_file_that_is_complete_only_after_sighup_is_reloaded() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let (old_node, new_node) = (start_node(Duration::ZERO), start_node(Duration::ZERO));
    let old = start_discovery(Arc::new(Mutex::new((1, list_with_one_live_node(1, old_node, "a", 1)))));
    let new = start_discovery(Arc::new(Mutex::new((9, list_with_one_live_node(9, new_node, "b", 1)))));
    let listen = unused_address();
    write_config(&file, listen, old.address(), &list_with_one_live_node(0, old_node, "a", 1));
    let host = GatewayProcess::start(&file);
    let mut client = connect(listen);
    send_get(&mut client, 1);
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
    write_config(&file, listen, new.address(), &list_with_one_live_node(0, old_node, "a", 1));
    let complete = std::fs::read(&file).unwrap();
    std::fs::write(&file, &complete[..complete.len() / 2]).unwrap();
    host.signal(Signal::HUP);
    host.wait_for_log("configuration not reloaded, the previous one stays in force");
    std::fs::write(&file, &complete).unwrap();
    host.wait_for_log("configuration reloaded");
    send_get(&mut client, 2);
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
}

/// Guards against a start that waits for discovery: the host serves with the configuration's list, and first
/// of all the client that has been trying to connect since before it listened.
#[test]
fn a_host_is_ready_while_discovery_hangs_and_serves_with_its_configured_list() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = unused_address();
    let live = start_node(Duration::ZERO);
    write_config(
        &file,
        listen,
        unresponsive.local_addr().unwrap(),
        &list_with_one_live_node(5, live, "a", 1_100),
    );
    let began = Instant::now();
    let _host = GatewayProcess::start(&file);
    let mut client = connect(listen);
    send_get(&mut client, 1);
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// Guards against a request in flight that is lost when SIGTERM comes twice with SIGHUP before and in
/// between.
#[test]
fn sigterm_twice_and_sighup_in_between_end_a_host_after_its_replies() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let live = start_node(Duration::from_millis(400));
    let discovery = start_discovery(Arc::new(Mutex::new((1, list_with_one_live_node(1, live, "a", 3)))));
    let listen = unused_address();
    write_config(&file, listen, discovery.address(), &list_with_one_live_node(0, live, "a", 0));
    let mut host = GatewayProcess::start(&file);
    let mut client = connect(listen);
    send_get(&mut client, 1);
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
    send_get(&mut client, 2);
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        host.signal(signal);
    }
    assert_eq!(read_reply(&mut client), SERVED_REPLY);
    assert_eq!(client.read(&mut [0; 16]).unwrap(), 0, "an orderly close");
    assert_eq!(host.wait_for_exit_code(), Some(0));
}
