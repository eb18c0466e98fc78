//! Attempts that wait for a connection while something else happens; connections that end under them.

use crate::common::{config, host_of, is_error, until, value, Client};
use crate::ordering::{is_silent, line, list, read_command, reset, Agent, LateNode};
use bytes::Bytes;
use pearfork_resp::{CommandDecoder, CommandLimits, Reply};
use pearfork_serving::Service;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A configuration in which a connection may come up late and an attempt waits for it.
fn patient(discovery: SocketAddr, nodes: &[SocketAddr]) -> serde_json::Value {
    let mut config = config(discovery, nodes);
    config["settings"]["Limits"]["ConnectTimeoutMs"] = 8_000.0.into();
    config["settings"]["Classes"][0]["DeadlineMs"] = 20_000.0.into();
    config["settings"]["Classes"][1]["DeadlineMs"] = 20_000.0.into();
    config
}

fn put(client: &mut Client, id: u64) {
    let list = "c=write,t=gold,d=20000,k=5c0f6e1a2b3d4c59,volume=0000000000000001,units=1,shard=0,hosts=3";
    client.send(&["OBJ.PUT", "0000000000000005", &format!("{id:016x}"), list, "body"]);
}

fn parsed(bytes: &[u8]) -> Vec<Bytes> {
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    commands.buffer().extend_from_slice(bytes);
    commands.next_command().unwrap().expect("a whole command")
}

/// A write is with its node, which has it run as far as anybody knows; its connection breaks, and the next comes up late,
/// after 0.4 s. The host, its client, and the connection that came up.
fn broken_under_a_write(window_ms: f64) -> (Service, Client, TcpStream) {
    let mut node = LateNode::new();
    let agent = Agent::new();
    let mut config = patient(agent.address, &[node.address()]);
    config["settings"]["Classes"][1]["WindowMs"] = window_ms.into();
    let (host, address) = host_of(&config);
    let mut client = Client::connect(address);
    put(&mut client, 1);
    let mut first = node.accept();
    read_command(&mut first);
    node.hold_up();
    reset(first);
    std::thread::sleep(Duration::from_millis(400));
    node.let_up();
    let second = node.accept();
    (host, client, second)
}

/// Danger: a repeat is known as one for a while only. Decided within it, and written when its connection comes up late, it
/// takes effect a second time.
#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_never_written() {
    let (_host, mut client, mut second) = broken_under_a_write(300.0);
    assert!(is_error(&client.reply(), "ERR failed"), "no repeat is left, and the first may have run");
    assert!(is_silent(&mut second), "repeated outside the window");
}

/// The same within the window: the repeat goes out and is served.
#[test]
fn a_repeat_whose_connection_comes_up_within_its_window_is_written() {
    let (_host, mut client, mut second) = broken_under_a_write(15_000.0);
    let again = read_command(&mut second);
    second.write_all(&value(&parsed(&again))).unwrap();
    assert_eq!(client.served(), Some(1));
}

/// A client asks, its attempt waits for a connection, and `change` happens; what the client then hears, and the
/// connection once it is up.
fn late(change: impl FnOnce(&LateNode, &Agent, &mut Client)) -> (Option<Reply>, Option<TcpStream>) {
    let mut node = LateNode::new();
    node.hold_up();
    let agent = Agent::new();
    let (host, address) = host_of(&patient(agent.address, &[node.address()]));
    let ready = line(node.address(), "SERVING", 0);
    agent.tell(&list(2, true, &[ready]));
    let mut client = Client::connect(address);
    client.read_of(1, 0, 3_000);
    until("its request was read", || host.clients() == 1);
    std::thread::sleep(Duration::from_millis(100));
    change(&node, &agent, &mut client);
    node.let_up();
    let second = node.accept();
    let reply = if host.clients() == 0 { None } else { client.reply() };
    (reply, Some(second))
}

/// Danger: what waited for a late connection would go out on a decision that nobody would take now.
#[test]
fn what_waits_for_a_late_connection_is_not_written_to_a_node_that_drains_by_then() {
    let (reply, second) = late(|node, agent, _| {
        let drains = line(node.address(), "DRAINING", 0);
        assert_eq!(agent.tell(&list(3, false, &[drains])), "/discovery/hosts?since=2&timeout_ms=1000");
        // The next call says that the list was taken.
        let (path, _) = agent.call();
        assert!(path.contains("since=3"), "{path}");
    });
    assert!(is_error(&reply, "BUSY"), "never sent: {reply:?}");
    assert!(is_silent(&mut second.unwrap()), "written to a node that drains");
}

#[test]
fn what_waits_for_a_late_connection_is_not_written_to_a_node_that_left_the_list() {
    let (reply, second) = late(|_, agent, _| {
        agent.tell(&list(3, true, &[]));
        let (path, _) = agent.call();
        assert!(path.contains("since=3"), "{path}");
    });
    assert!(is_error(&reply, "BUSY"), "never sent: {reply:?}");
    assert!(is_silent(&mut second.unwrap()), "written to a node that is gone");
}

/// Danger: its client has gone, and what waited is sent for nobody.
#[test]
fn what_waits_for_a_late_connection_is_not_written_for_a_client_that_left() {
    let (reply, second) = late(|_, _, client| client.stream.shutdown(Shutdown::Both).unwrap());
    assert_eq!(reply, None);
    assert!(is_silent(&mut second.unwrap()), "sent though its client had left");
}

/// Half an answer and a reset, also long after: an error or another attempt, never half a value.
#[test]
fn half_an_answer_and_a_reset_is_followed_by_another_attempt() {
    let node = LateNode::new();
    let agent = Agent::new();
    let (_host, address) = host_of(&patient(agent.address, &[node.address()]));
    let mut client = Client::connect(address);
    client.read_of(1, 0, 8_000);
    let mut first = node.accept();
    let asked = read_command(&mut first);
    let whole = value(&parsed(&asked));
    first.write_all(&whole[..whole.len() / 2]).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    reset(first);
    let mut second = node.accept();
    let again = read_command(&mut second);
    assert_eq!(parsed(&again)[2], parsed(&asked)[2]);
    second.write_all(&value(&parsed(&again))).unwrap();
    assert_eq!(client.served(), Some(1));
}

/// Half a line on a connection that rests belongs to no command: it is not used again.
#[test]
fn half_a_line_on_a_resting_connection_ends_it() {
    let node = LateNode::new();
    let agent = Agent::new();
    let (_host, address) = host_of(&patient(agent.address, &[node.address()]));
    let mut client = Client::connect(address);
    client.read_of(1, 0, 8_000);
    let mut first = node.accept();
    let asked = parsed(&read_command(&mut first));
    first.write_all(&value(&asked)).unwrap();
    assert_eq!(client.served(), Some(1));
    first.write_all(b"$5\r\nhal").unwrap();
    client.read_of(2, 0, 8_000);
    let mut second = node.accept();
    let asked = parsed(&read_command(&mut second));
    second.write_all(&value(&asked)).unwrap();
    assert_eq!(client.served(), Some(2));
}
