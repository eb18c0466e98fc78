//! Attempts that wait for a link while something else happens, and links that end under attempts.

use crate::common::{config, is_error, start_host_with, value_reply, wait_until, Client};
use crate::ordering::{
    is_silent, node_entry, node_list, read_command, reset, start_host_with_small_buffers, GatedNode,
    ManualAgent,
};
use bytes::Bytes;
use pearfork_resp::{CommandDecoder, CommandLimits, Reply};
use pearfork_serving::Service;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A configuration in which a connection may take long to open and an attempt waits for it.
fn long_timeouts(discovery: SocketAddr, nodes: &[SocketAddr]) -> serde_json::Value {
    let mut config = config(discovery, nodes);
    config["settings"]["Limits"]["ConnectTimeoutMs"] = 8_000.0.into();
    config["settings"]["Classes"][0]["DeadlineMs"] = 20_000.0.into();
    config["settings"]["Classes"][1]["DeadlineMs"] = 20_000.0.into();
    config
}

fn send_write(client: &mut Client, id: u64) {
    let attributes =
        "c=write,t=gold,d=20000,k=5c0f6e1a2b3d4c59,volume=0000000000000001,units=1,shard=0,hosts=3";
    client.send(&["OBJ.PUT", "0000000000000005", &format!("{id:016x}"), attributes, "body"]);
}

fn decode(bytes: &[u8]) -> Vec<Bytes> {
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    commands.buffer().extend_from_slice(bytes);
    commands.next_command().unwrap().expect("a complete command")
}

/// A node may be executing a write when its connection fails; the next connection opens 0.4 s later. Returns
/// the host, its client and the new connection.
fn host_with_broken_write(window_ms: f64) -> (Service, Client, TcpStream) {
    let mut node = GatedNode::new();
    let agent = ManualAgent::new();
    let mut config = long_timeouts(agent.address, &[node.address()]);
    config["settings"]["Classes"][1]["WindowMs"] = window_ms.into();
    let (host, address) = start_host_with(&config);
    let mut client = Client::connect(address);
    send_write(&mut client, 1);
    let mut first = node.accept();
    read_command(&mut first);
    node.block_connects();
    reset(first);
    std::thread::sleep(Duration::from_millis(400));
    node.allow_connects();
    let second = node.accept();
    (host, client, second)
}

/// Guards against a retry that was decided within the window in which the node recognizes duplicates, but
/// written after it because its link opened late: the write would take effect twice.
#[test]
fn a_retry_whose_link_opens_after_its_window_is_not_written() {
    let (_host, mut client, mut second) = host_with_broken_write(300.0);
    assert!(
        is_error(&client.reply(), "ERR failed"),
        "no retry is possible, and the first attempt may have run"
    );
    assert!(is_silent(&mut second), "retried outside the window");
}

/// Within the window the retry is written and served.
#[test]
fn a_retry_whose_link_opens_within_its_window_is_written() {
    let (_host, mut client, mut second) = host_with_broken_write(15_000.0);
    let again = read_command(&mut second);
    second.write_all(&value_reply(&decode(&again))).unwrap();
    assert_eq!(client.served_id(), Some(1));
}

/// A client sends a request, its attempt waits for a link, and `change` happens. Returns the reply to the
/// client and the link once it is open.
fn with_late_link(
    change: impl FnOnce(&GatedNode, &ManualAgent, &mut Client),
) -> (Option<Reply>, Option<TcpStream>) {
    let mut node = GatedNode::new();
    node.block_connects();
    let agent = ManualAgent::new();
    let (host, address) = start_host_with(&long_timeouts(agent.address, &[node.address()]));
    let ready = node_entry(node.address(), "SERVING", 0);
    agent.respond(&node_list(2, true, &[ready]));
    let mut client = Client::connect(address);
    client.send_read_with(1, 0, 3_000);
    wait_until("the request was read", || host.client_count() == 1);
    std::thread::sleep(Duration::from_millis(100));
    change(&node, &agent, &mut client);
    node.allow_connects();
    let second = node.accept();
    let reply = if host.client_count() == 0 { None } else { client.reply() };
    (reply, Some(second))
}

/// Guards against sending an attempt on an outdated decision, because its link opened late.
#[test]
fn a_waiting_attempt_is_not_written_to_a_draining_node() {
    let (reply, second) = with_late_link(|node, agent, _| {
        let drains = node_entry(node.address(), "DRAINING", 0);
        assert_eq!(
            agent.respond(&node_list(3, false, &[drains])),
            "/discovery/hosts?since=2&timeout_ms=1000"
        );
        // The next call shows that the list was received.
        let (path, _) = agent.next_call();
        assert!(path.contains("since=3"), "{path}");
    });
    assert!(is_error(&reply, "BUSY"), "never sent: {reply:?}");
    assert!(is_silent(&mut second.unwrap()), "written to a draining node");
}

#[test]
fn a_waiting_attempt_is_not_written_to_a_removed_node() {
    let (reply, second) = with_late_link(|_, agent, _| {
        agent.respond(&node_list(3, true, &[]));
        let (path, _) = agent.next_call();
        assert!(path.contains("since=3"), "{path}");
    });
    assert!(is_error(&reply, "BUSY"), "never sent: {reply:?}");
    assert!(is_silent(&mut second.unwrap()), "written to a removed node");
}

/// Guards against sending an attempt for a client that has disconnected.
#[test]
fn a_waiting_attempt_is_not_written_for_a_disconnected_client() {
    let (reply, second) = with_late_link(|_, _, client| client.stream.shutdown(Shutdown::Both).unwrap());
    assert_eq!(reply, None);
    assert!(is_silent(&mut second.unwrap()), "sent for a disconnected client");
}

/// Half a reply followed by a reset, even much later, leads to an error or a retry and never to half a value.
#[test]
fn half_a_reply_followed_by_a_reset_is_retried() {
    let node = GatedNode::new();
    let agent = ManualAgent::new();
    let (_host, address) = start_host_with(&long_timeouts(agent.address, &[node.address()]));
    let mut client = Client::connect(address);
    client.send_read_with(1, 0, 8_000);
    let mut first = node.accept();
    let command = read_command(&mut first);
    let whole = value_reply(&decode(&command));
    first.write_all(&whole[..whole.len() / 2]).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    reset(first);
    let mut second = node.accept();
    let again = read_command(&mut second);
    assert_eq!(decode(&again)[2], decode(&command)[2]);
    second.write_all(&value_reply(&decode(&again))).unwrap();
    assert_eq!(client.served_id(), Some(1));
}

/// Half a line on an idle link belongs to no command: the link is not used again.
#[test]
fn half_a_line_on_an_idle_link_closes_it() {
    let node = GatedNode::new();
    let agent = ManualAgent::new();
    let (_host, address) = start_host_with(&long_timeouts(agent.address, &[node.address()]));
    let mut client = Client::connect(address);
    client.send_read_with(1, 0, 8_000);
    let mut first = node.accept();
    let command = decode(&read_command(&mut first));
    first.write_all(&value_reply(&command)).unwrap();
    assert_eq!(client.served_id(), Some(1));
    first.write_all(b"$5\r\nhal").unwrap();
    client.send_read_with(2, 0, 8_000);
    let mut second = node.accept();
    let command = decode(&read_command(&mut second));
    second.write_all(&value_reply(&command)).unwrap();
    assert_eq!(client.served_id(), Some(2));
}

/// Reads a connection until a command is complete; `None` if the connection ends before.
fn read_whole_command(stream: &mut TcpStream) -> Option<Vec<Bytes>> {
    let mut commands =
        CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 });
    let mut chunk = [0; 4096];
    loop {
        if let Some(command) = commands.next_command().unwrap() {
            return Some(command);
        }
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => commands.buffer().extend_from_slice(&chunk[..n]),
            Ok(0) | Err(_) => return None,
        }
    }
}

/// Guards against a value that arrives before its command has gone out whole: it was made for another command,
/// and the rest of this one would go out ahead of the next.
#[test]
fn a_reply_that_precedes_the_end_of_its_command_is_an_error_and_ends_the_link() {
    let node = GatedNode::new();
    node.limit_receive_buffers();
    let agent = ManualAgent::new();
    let (_host, address) = start_host_with_small_buffers(&long_timeouts(agent.address, &[node.address()]));
    let mut client = Client::connect(address);
    let attributes =
        "c=write,t=gold,d=8000,k=5c0f6e1a2b3d4c59,volume=0000000000000001,units=1,shard=0,hosts=3";
    client.send(&["OBJ.PUT", "0000000000000005", "0000000000000001", attributes, &"v".repeat(60_000)]);
    let mut first = node.accept();
    std::thread::sleep(Duration::from_millis(100));
    first.write_all(b"*3\r\n$16\r\n0000000000000bad\r\n$-1\r\n$-1\r\n").unwrap();
    let mut second = node.accept();
    assert_eq!(read_whole_command(&mut first), None, "the rest of the command went out");
    let again = read_whole_command(&mut second).expect("the command of the retry");
    second.write_all(&value_reply(&again)).unwrap();
    assert_eq!(client.served_id(), Some(1));
}
