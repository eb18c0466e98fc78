//! The watch at discovery, and what crosses it: resets, trickles, another address, versions that go back.

use crate::common::{config, host_of, is_error, node, until, value, Client, Reaction};
use crate::ordering::{answer, line, list, reset, Agent};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

fn sound() -> SocketAddr {
    node(|_, c| Reaction::Say(value(c))).0
}

/// Asks until the node at hand serves, or until none does.
fn serves(address: SocketAddr, wanted: bool) {
    let mut client = Client::connect(address);
    let mut id = 0;
    until("the list is in force", || {
        id += 1;
        client.read_of(id, 0, 200);
        (client.served() == Some(id)) == wanted
    });
}

fn no_length(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes()).unwrap();
}

/// Danger: a list cut off by a reset may read like a whole one, and its nodes are gone.
#[test]
fn a_list_without_a_length_counts_at_an_orderly_end_and_not_at_a_reset() {
    let agent = Agent::new();
    let node = sound();
    let (_host, address) = host_of(&config(agent.address, &[node]));
    let (_, mut stream) = agent.call();
    no_length(&mut stream, &list(7, true, &[]));
    reset(stream);
    let (path, mut stream) = agent.call();
    assert_eq!(path, "/discovery/hosts", "nothing was told yet");
    serves(address, true);
    // Indented, and whole at its end.
    no_length(&mut stream, "{\n  \"seq\": 8,\n  \"whole\": true,\n  \"hosts\": []\n}\n");
    drop(stream);
    let (path, _held) = agent.call();
    assert!(path.starts_with("/discovery/hosts?since=8&"), "{path}");
    serves(address, false);
}

/// Danger: a body that trickles holds the watch for ever, and all that is told meanwhile is missed.
#[test]
fn a_list_that_trickles_is_given_up_and_asked_for_anew() {
    let agent = Agent::new();
    let (_host, _) = host_of(&config(agent.address, &[]));
    let (_, mut stream) = agent.call();
    let over = Arc::new(AtomicBool::new(false));
    let stop = over.clone();
    let trickle = std::thread::spawn(move || {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
        while !stop.load(Ordering::SeqCst) && stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let (path, _held) = agent.call();
    assert_eq!(path, "/discovery/hosts");
    over.store(true, Ordering::SeqCst);
    trickle.join().unwrap();
}

/// Danger: versions are an agent's own; a call under way at the old one is answered after the new one's.
#[test]
fn at_a_new_address_the_whole_list_comes_first_and_the_old_agent_s_answer_counts_for_nothing() {
    let (old, new) = (Agent::new(), Agent::new());
    let node = sound();
    let (host, address) = host_of(&config(old.address, &[node]));
    old.tell(&list(90, true, &[line(node, "SERVING", 0)]));
    let (path, under_way) = old.call();
    assert!(path.contains("since=90"), "{path}");
    host.set_discovery_address(new.address);
    assert_eq!(new.tell(&list(3, true, &[line(node, "SERVING", 0)])), "/discovery/hosts");
    let (path, _held) = new.call();
    assert!(path.contains("since=3&"), "{path}");
    answer(under_way, &list(91, true, &[]));
    serves(address, true);
    for _ in 0..20 {
        serves(address, true);
    }
}

/// An agent that began anew has lower versions: its whole list counts, its changes alone do not.
#[test]
fn a_version_that_goes_back_is_followed_by_the_whole_list() {
    let agent = Agent::new();
    let node = sound();
    let (_host, address) = host_of(&config(agent.address, &[node]));
    agent.tell(&list(41, true, &[line(node, "SERVING", 0)]));
    assert!(agent.tell(&list(5, false, &[line(node, "DELETED", 0)])).contains("since=41"));
    assert_eq!(agent.tell(&list(6, true, &[line(node, "SERVING", 0)])), "/discovery/hosts");
    assert!(agent.call().0.contains("since=6"));
    serves(address, true);
}

/// An agent that takes calls and says nothing is asked again; what it says then counts.
#[test]
fn a_silent_agent_is_asked_again_and_heard_when_it_is_back() {
    let agent = Agent::new();
    let node = sound();
    let (_host, address) = host_of(&config(agent.address, &[node]));
    let held: Vec<_> = (0..3).map(|_| agent.call()).collect();
    serves(address, true);
    agent.tell(&list(2, true, &[]));
    let (_, _next) = agent.call();
    let mut client = Client::connect(address);
    client.read_of(1, 0, 200);
    assert!(is_error(&client.reply(), "BUSY"));
    drop(held);
}

/// Repeats, a change for an unknown node, a node deleted and back under its name.
#[test]
fn changes_that_come_twice_or_of_unknown_nodes_are_harmless() {
    let agent = Agent::new();
    let node = sound();
    let (_host, address) = host_of(&config(agent.address, &[node]));
    agent.tell(&list(2, true, &[line(node, "SERVING", 0)]));
    let gone = list(3, false, &[line(node, "DELETED", 0)]);
    agent.tell(&gone);
    agent.tell(&gone);
    let unknown =
        r#"{"host":"s-x","dial":"127.0.0.1:9","site":"z","block":1,"health":"DELETED","born_ms":0}"#;
    agent.tell(&list(4, false, &[unknown.to_owned()]));
    agent.tell(&list(5, false, &[line(node, "SERVING", 1)]));
    let (path, _held) = agent.call();
    assert!(path.contains("since=5"), "{path}");
    serves(address, true);
}
