//! Races of the discovery watch: resets, slow bodies, another address, versions that go back.

use crate::common::{
    config, fake_node, is_error, start_host_with, value_reply, wait_until, Client, Reaction,
};
use crate::ordering::{node_entry, node_list, reset, respond_to, ManualAgent};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

fn working_node() -> SocketAddr {
    fake_node(|_, c| Reaction::Reply(value_reply(c))).0
}

/// Sends requests until one is served, or until none is.
fn wait_until_serving(address: SocketAddr, expected: bool) {
    let mut client = Client::connect(address);
    let mut id = 0;
    wait_until("the list takes effect", || {
        id += 1;
        client.send_read_with(id, 0, 200);
        (client.served_id() == Some(id)) == expected
    });
}

fn respond_without_length(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes()).unwrap();
}

/// Guards against a list cut off by a reset that parses as a full list, whose missing nodes would count as
/// gone.
#[test]
fn a_list_without_a_length_is_accepted_at_a_close_but_not_at_a_reset() {
    let agent = ManualAgent::new();
    let node = working_node();
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    let (_, mut stream) = agent.next_call();
    respond_without_length(&mut stream, &node_list(7, true, &[]));
    reset(stream);
    let (path, mut stream) = agent.next_call();
    assert_eq!(path, "/discovery/hosts", "no list was accepted yet");
    wait_until_serving(address, true);
    // Indented, and complete at the end of the connection.
    respond_without_length(&mut stream, "{\n  \"seq\": 8,\n  \"whole\": true,\n  \"hosts\": []\n}\n");
    drop(stream);
    let (path, _held) = agent.next_call();
    assert!(path.starts_with("/discovery/hosts?since=8&"), "{path}");
    wait_until_serving(address, false);
}

/// Guards against a body that arrives byte by byte blocking the watch, which would miss all changes in the
/// meantime.
#[test]
fn a_trickling_list_is_abandoned_and_requested_again() {
    let agent = ManualAgent::new();
    let (_host, _) = start_host_with(&config(agent.address, &[]));
    let (_, mut stream) = agent.next_call();
    let is_done = Arc::new(AtomicBool::new(false));
    let stop = is_done.clone();
    let trickle = std::thread::spawn(move || {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
        while !stop.load(Ordering::SeqCst) && stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let (path, _held) = agent.next_call();
    assert_eq!(path, "/discovery/hosts");
    is_done.store(true, Ordering::SeqCst);
    trickle.join().unwrap();
}

/// Guards against mixing versions of two agents: a call in progress at the old address is answered after the
/// new agent.
#[test]
fn after_an_address_change_the_old_agents_response_is_ignored() {
    let (old, new) = (ManualAgent::new(), ManualAgent::new());
    let node = working_node();
    let (host, address) = start_host_with(&config(old.address, &[node]));
    old.respond(&node_list(90, true, &[node_entry(node, "SERVING", 0)]));
    let (path, call_in_progress) = old.next_call();
    assert!(path.contains("since=90"), "{path}");
    host.set_discovery_address(new.address);
    assert_eq!(new.respond(&node_list(3, true, &[node_entry(node, "SERVING", 0)])), "/discovery/hosts");
    let (path, _held) = new.next_call();
    assert!(path.contains("since=3&"), "{path}");
    respond_to(call_in_progress, &node_list(91, true, &[]));
    wait_until_serving(address, true);
    for _ in 0..20 {
        wait_until_serving(address, true);
    }
}

/// An agent that restarted has lower versions: its full list is valid, changes alone are not.
#[test]
fn an_older_version_is_followed_by_a_request_for_the_full_list() {
    let agent = ManualAgent::new();
    let node = working_node();
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    agent.respond(&node_list(41, true, &[node_entry(node, "SERVING", 0)]));
    assert!(agent.respond(&node_list(5, false, &[node_entry(node, "DELETED", 0)])).contains("since=41"));
    assert_eq!(agent.respond(&node_list(6, true, &[node_entry(node, "SERVING", 0)])), "/discovery/hosts");
    assert!(agent.next_call().0.contains("since=6"));
    wait_until_serving(address, true);
}

/// An agent that accepts calls without answering is called again, and its next response is applied.
#[test]
fn a_silent_agent_is_called_again() {
    let agent = ManualAgent::new();
    let node = working_node();
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    let held: Vec<_> = (0..3).map(|_| agent.next_call()).collect();
    wait_until_serving(address, true);
    agent.respond(&node_list(2, true, &[]));
    let (_, _next) = agent.next_call();
    let mut client = Client::connect(address);
    client.send_read_with(1, 0, 200);
    assert!(is_error(&client.reply(), "BUSY"));
    drop(held);
}

/// Repeated changes, a change of an unknown node, and a node that is deleted and returns under its name.
#[test]
fn repeated_changes_and_changes_of_unknown_nodes_are_harmless() {
    let agent = ManualAgent::new();
    let node = working_node();
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    agent.respond(&node_list(2, true, &[node_entry(node, "SERVING", 0)]));
    let gone = node_list(3, false, &[node_entry(node, "DELETED", 0)]);
    agent.respond(&gone);
    agent.respond(&gone);
    let unknown =
        r#"{"host":"s-x","dial":"127.0.0.1:9","site":"z","block":1,"health":"DELETED","born_ms":0}"#;
    agent.respond(&node_list(4, false, &[unknown.to_owned()]));
    agent.respond(&node_list(5, false, &[node_entry(node, "SERVING", 1)]));
    let (path, _held) = agent.next_call();
    assert!(path.contains("since=5"), "{path}");
    wait_until_serving(address, true);
}
