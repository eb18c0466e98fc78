//! Clients that disconnect while their requests wait, at each place where they can wait: no attempt is
//! started for them.
//!
//! A client has disconnected when it closes its connection, shuts down its sending side, or resets the
//! connection. The order of events is forced: the host is blocked until the end of the connection is visible
//! in its socket, and the event that would start an attempt is in the engine's queue before or after the
//! disconnect.

use crate::common::{
    config, fake_discovery, fake_node, is_error, start_host_with, value_reply, wait_until, Client, Reaction,
    ReceivedCommands,
};
use crate::ordering::{
    is_silent, node_entry, node_list, read_command, reset, respond_to, start_host_with_gate,
    start_host_with_small_buffers, Disconnect, Gate, GatedNode, ManualAgent, TIMEOUT,
};
use bytes::Bytes;
use pearfork_resp::{CommandDecoder, CommandLimits};
use pearfork_serving::Point;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Id of the request whose client disconnects.
const DISCONNECTING_ID: u64 = 0x1eaf;
/// Id of a request whose client stays.
const STAYING_ID: u64 = 0x57a4;
/// A plan that no test limits.
const UNLIMITED: &str = "free";
/// A plan that a test may limit.
const LIMITED: &str = "gold";
/// How long a test watches for something that must not happen.
const WATCH_TIME: Duration = Duration::from_millis(300);

/// A configuration with long goals and deadlines, so that only the events of a test end a wait.
fn long_timeouts(discovery: SocketAddr, nodes: &[SocketAddr]) -> Value {
    let mut config = config(discovery, nodes);
    let settings = &mut config["settings"];
    settings["Limits"]["ConnectTimeoutMs"] = json!(8_000.0);
    settings["Limits"]["MostTries"] = json!(50);
    for class in [0, 1] {
        settings["Classes"][class]["DeadlineMs"] = json!(20_000.0);
        settings["Classes"][class]["GoalTimeMs"] = json!(8_000.0);
    }
    settings["Plans"] = json!([
        {"Name": LIMITED, "Nominal": 50.0, "Pays": 0.72, "Weight": 1.0},
        {"Name": UNLIMITED, "Nominal": 50.0, "Pays": 0.72, "Weight": 1.0},
    ]);
    config
}

fn send_read(client: &mut Client, id: u64, plan: &str, units: u32) {
    let list = format!("c=read,t={plan},d=60000,volume={id:016x},units={units},shard=0,hosts=1");
    client.send(&["OBJ.GET", "0000000000000005", &format!("{id:016x}"), &list]);
}

/// A write with a body that exceeds small buffers.
fn send_large_write(client: &mut Client, id: u64) {
    let list = format!("c=write,t=free,d=20000,k={id:016x},volume=0000000000000001,units=1,shard=0,hosts=3");
    let body = "b".repeat(60_000);
    client.send(&["OBJ.PUT", "0000000000000005", &format!("{id:016x}"), &list, &body]);
}

fn has_id(command: &[Bytes], id: u64) -> bool {
    command[2] == format!("{id:016x}").as_bytes()
}

fn count_received(received: &ReceivedCommands, id: u64) -> usize {
    received.lock().unwrap().iter().filter(|c| has_id(c, id)).count()
}

/// Checks that a request is open, since another one with its id is rejected. The engine has then handled
/// everything that was read before.
fn assert_open(marker: &mut Client, id: u64) {
    send_read(marker, id, UNLIMITED, 1);
    let reply = marker.reply();
    assert!(is_error(&reply, "ERR id is in use"), "the request is not open: {reply:?}");
}

/// Waits until the client reader has handled all data that was in its sockets before.
fn wait_for_reader(marker: &mut Client) {
    marker.send(&["PING"]);
    assert!(marker.reply().is_some());
}

/// Connects a client and waits until the connection is read. Data on a connection that is not accepted yet
/// would be read after later data on others. Nagle's algorithm is off, since it would hold back a second
/// command for 40 ms.
fn connect_and_ping(address: SocketAddr) -> Client {
    let mut client = Client::connect(address);
    client.stream.set_nodelay(true).unwrap();
    wait_for_reader(&mut client);
    client
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A reason for a request to wait in the scheduler.
struct Wait {
    settings: fn(&mut Value),
    /// Cost of the request in units.
    units: u32,
    /// Whether the node rejects it.
    rejected: bool,
    /// Whether the node has just started.
    cold: bool,
    /// A time longer than the request waits.
    longer_than_wait: Duration,
}

/// The event that is first in the engine's queue once the wait is over.
#[derive(Clone, Copy, Debug)]
enum FirstEvent {
    /// The disconnect of the client.
    Disconnect,
    /// A node list, which makes the scheduler send what may be sent.
    NodeList,
}

/// A client disconnects while its request waits in the scheduler. The wait is over when the engine continues.
fn check_nothing_sent_after(wait: &Wait, disconnect: Disconnect, first: FirstEvent) {
    let rejected = wait.rejected;
    let (node, received) = fake_node(move |_, c| {
        Reaction::Reply(if rejected && has_id(c, DISCONNECTING_ID) {
            b"-BUSY\r\n".to_vec()
        } else {
            value_reply(c)
        })
    });
    let agent = ManualAgent::new();
    let mut config = long_timeouts(agent.address, &[node]);
    (wait.settings)(&mut config["settings"]);
    let (host, address, gate) = start_host_with_gate(&config, Point::EngineReceive);
    let ready = node_entry(node, "SERVING", if wait.cold { unix_ms() } else { 0 });
    agent.respond(&node_list(2, true, std::slice::from_ref(&ready)));
    // The next call shows that the list is in the engine's queue.
    let (_, call) = agent.next_call();
    let mut staying = connect_and_ping(address);
    // An idle link to the node exists, so an attempt is sent at once.
    send_read(&mut staying, STAYING_ID, UNLIMITED, 1);
    assert_eq!(staying.served_id(), Some(STAYING_ID));
    let mut leaving = connect_and_ping(address);
    send_read(&mut leaving, DISCONNECTING_ID, LIMITED, wait.units);
    if rejected {
        wait_until("the node has received the first attempt", || {
            count_received(&received, DISCONNECTING_ID) > 0
        });
    }
    wait_for_reader(&mut staying);
    assert_open(&mut staying, DISCONNECTING_ID);
    if !rejected {
        assert_eq!(count_received(&received, DISCONNECTING_ID), 0, "the request did not wait");
    }
    gate.close();
    let changes = node_list(3, false, &[ready]);
    let open_connection = match first {
        FirstEvent::Disconnect => {
            let open_connection = disconnect.apply(leaving.stream);
            wait_until("the disconnect is noticed", || host.client_count() == 1);
            wait_for_reader(&mut staying);
            respond_to(call, &changes);
            agent.next_call();
            open_connection
        }
        FirstEvent::NodeList => {
            respond_to(call, &changes);
            agent.next_call();
            let open_connection = disconnect.apply(leaving.stream);
            wait_until("the disconnect is noticed", || host.client_count() == 1);
            open_connection
        }
    };
    gate.wait_until_blocked();
    std::thread::sleep(wait.longer_than_wait);
    let before = count_received(&received, DISCONNECTING_ID);
    gate.open();
    send_read(&mut staying, STAYING_ID, UNLIMITED, 1);
    assert_eq!(staying.served_id(), Some(STAYING_ID));
    std::thread::sleep(WATCH_TIME);
    assert_eq!(
        count_received(&received, DISCONNECTING_ID),
        before,
        "{disconnect:?}, {first:?}: sent for a disconnected client"
    );
    drop(open_connection);
}

/// A node that rejected an attempt is in backoff for a moment, and the retry waits for its end.
const RETRY: Wait = Wait {
    settings: |_| {},
    units: 1,
    rejected: true,
    cold: false,
    longer_than_wait: Duration::from_millis(500),
};

#[test]
fn a_retry_in_backoff_is_not_sent_after_a_disconnect() {
    for disconnect in Disconnect::ALL {
        check_nothing_sent_after(&RETRY, disconnect, FirstEvent::NodeList);
    }
    check_nothing_sent_after(&RETRY, Disconnect::Close, FirstEvent::Disconnect);
}

/// The host's share of the volume's limit starts at zero and takes 1.5 s to reach the one unit of the
/// request.
const LIMIT: Wait = Wait {
    settings: |s| {
        s["Plans"][0]["Cap"] = json!(0.75);
        s["Plans"][0]["Burst"] = json!(2.0);
    },
    units: 1,
    rejected: false,
    cold: false,
    longer_than_wait: Duration::from_millis(2_000),
};

#[test]
fn a_request_held_by_its_volume_limit_is_not_sent_after_a_disconnect() {
    check_nothing_sent_after(&LIMIT, Disconnect::Close, FirstEvent::NodeList);
    check_nothing_sent_after(&LIMIT, Disconnect::Reset, FirstEvent::Disconnect);
}

/// The host's share of what a cold node accepts: 2 units at the start, of which the other client uses one and
/// a random part of another; then 1 unit per second.
const COLD: Wait = Wait {
    settings: |s| {
        s["Domain"]["ColdUnits"] = json!(13.34);
        s["Domain"]["MeanUnits"] = json!(1.0);
    },
    units: 4,
    rejected: false,
    cold: true,
    longer_than_wait: Duration::from_millis(3_500),
};

#[test]
fn a_request_waiting_for_a_cold_node_is_not_sent_after_a_disconnect() {
    check_nothing_sent_after(&COLD, Disconnect::Close, FirstEvent::NodeList);
    check_nothing_sent_after(&COLD, Disconnect::ShutdownWrite, FirstEvent::Disconnect);
}

/// The first attempt ends with its connection. The retry waits for a link whose opening is in the engine's
/// queue before the disconnect of the client.
#[test]
fn a_retry_whose_link_opens_after_a_disconnect_is_not_written() {
    for disconnect in Disconnect::ALL {
        let mut node = GatedNode::new();
        let agent = ManualAgent::new();
        let (host, address, gate) =
            start_host_with_gate(&long_timeouts(agent.address, &[node.address()]), Point::EngineReceive);
        let mut staying = connect_and_ping(address);
        let mut leaving = connect_and_ping(address);
        send_read(&mut leaving, DISCONNECTING_ID, UNLIMITED, 1);
        let mut first = node.accept();
        read_command(&mut first);
        node.block_connects();
        reset(first);
        // The engine handles the reset and starts to connect again.
        std::thread::sleep(WATCH_TIME);
        assert_open(&mut staying, DISCONNECTING_ID);
        gate.close();
        node.allow_connects();
        let mut second = node.accept();
        gate.wait_until_blocked();
        let open_connection = disconnect.apply(leaving.stream);
        wait_until("the disconnect is noticed", || host.client_count() == 1);
        gate.open();
        assert!(is_silent(&mut second), "{disconnect:?}: written for a disconnected client");
        drop(open_connection);
    }
}

/// Reads all data up to the end of a connection.
/// Guards against a request that runs twice: its client leaves while it runs, and its id comes again on a new
/// connection. One of which nothing was sent may come again.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    for disconnect in Disconnect::ALL {
        let node = GatedNode::new();
        let agent = ManualAgent::new();
        let configuration = long_timeouts(agent.address, &[node.address()]);
        let (host, address) = start_host_with(&configuration);
        let mut leaving = connect_and_ping(address);
        send_read(&mut leaving, DISCONNECTING_ID, UNLIMITED, 1);
        let mut stream = node.accept();
        assert!(has_id(&read_one(&mut stream, &[]), DISCONNECTING_ID));
        let open_connection = disconnect.apply(leaving.stream);
        let mut again = connect_and_ping(address);
        wait_until("the disconnect is noticed", || host.client_count() == 1);
        send_read(&mut again, DISCONNECTING_ID, UNLIMITED, 1);
        let reply = again.reply();
        assert!(is_error(&reply, "ERR id is in use"), "{disconnect:?}: {reply:?}");
        // A new id is served, also on the connection that has carried the other.
        send_read(&mut again, STAYING_ID, UNLIMITED, 1);
        let mut other = node.accept();
        let command = read_one(&mut other, &[]);
        assert!(has_id(&command, STAYING_ID));
        other.write_all(&value_reply(&command)).unwrap();
        assert_eq!(again.served_id(), Some(STAYING_ID));
        drop(open_connection);
    }
}

fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut received_bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) => return received_bytes,
            Ok(n) => received_bytes.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return received_bytes,
            Err(e) => panic!("no end after {} bytes: {e}", received_bytes.len()),
        }
    }
}

fn commands() -> CommandDecoder {
    CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 })
}

/// Reads one complete command, which no other may follow.
fn read_one(stream: &mut TcpStream, first_part: &[u8]) -> Vec<Bytes> {
    let mut commands = commands();
    commands.buffer().extend_from_slice(first_part);
    let mut chunk = [0; 4096];
    loop {
        if let Some(command) = commands.next_command().unwrap() {
            assert!(!commands.has_partial(), "another command follows");
            return command;
        }
        let n = stream.read(&mut chunk).unwrap();
        assert!(n > 0, "the connection ended within a command");
        commands.buffer().extend_from_slice(&chunk[..n]);
    }
}

fn first_bytes(stream: &mut TcpStream) -> [u8; 64] {
    let mut first_part = [0; 64];
    stream.read_exact(&mut first_part).unwrap();
    first_part
}

#[test]
fn a_partly_written_command_is_not_completed_after_a_disconnect() {
    for disconnect in Disconnect::ALL {
        let node = GatedNode::new();
        node.limit_receive_buffers();
        let agent = ManualAgent::new();
        let (host, address) = start_host_with_small_buffers(&long_timeouts(agent.address, &[node.address()]));
        let mut staying = connect_and_ping(address);
        let mut leaving = connect_and_ping(address);
        send_large_write(&mut leaving, DISCONNECTING_ID);
        let mut stream = node.accept();
        let mut received_bytes = first_bytes(&mut stream).to_vec();
        let open_connection = disconnect.apply(leaving.stream);
        wait_until("the disconnect is noticed", || host.client_count() == 1);
        // Served after the disconnect, so the engine has handled that.
        send_read(&mut staying, STAYING_ID, UNLIMITED, 1);
        let mut other = node.accept();
        let command = read_one(&mut other, &[]);
        other.write_all(&value_reply(&command)).unwrap();
        assert_eq!(staying.served_id(), Some(STAYING_ID));
        received_bytes.extend(read_to_end(&mut stream));
        let mut commands = commands();
        commands.buffer().extend_from_slice(&received_bytes);
        assert!(
            commands.next_command().unwrap().is_none(),
            "{disconnect:?}: completed, {} bytes",
            received_bytes.len()
        );
        drop(open_connection);
    }
}

/// Without free descriptors a command waits until a connection is free. It is not written for a client that
/// left in the meantime, and the commands that were sent in part continue.
#[test]
fn a_command_queued_behind_another_is_not_written_after_a_disconnect() {
    for disconnect in Disconnect::ALL {
        let node = GatedNode::new();
        node.limit_receive_buffers();
        let agent = ManualAgent::new();
        let mut config = long_timeouts(agent.address, &[node.address()]);
        // Room for three client connections and three links to nodes.
        config["limits"]["sockets"] = json!(30);
        let (host, address) = start_host_with_small_buffers(&config);
        let mut staying = connect_and_ping(address);
        let mut marker = connect_and_ping(address);
        let mut leaving = connect_and_ping(address);
        (1..=3).for_each(|id| send_large_write(&mut staying, id));
        let mut streams = [node.accept(), node.accept(), node.accept()];
        let first_part = streams.each_mut().map(first_bytes);
        // The command is read in one piece, so the reader has handled it when it answers the next client.
        send_read(&mut leaving, DISCONNECTING_ID, UNLIMITED, 1);
        wait_for_reader(&mut marker);
        assert_open(&mut marker, DISCONNECTING_ID);
        let open_connection = disconnect.apply(leaving.stream);
        wait_until("the disconnect is noticed", || host.client_count() == 2);
        wait_for_reader(&mut marker);
        assert_open(&mut marker, 1);
        for (stream, first_part) in streams.iter_mut().zip(first_part) {
            let command = read_one(stream, &first_part);
            stream.write_all(&value_reply(&command)).unwrap();
        }
        (1..=3).for_each(|id| assert_eq!(staying.served_id(), Some(id)));
        for stream in &mut streams {
            assert!(is_silent(stream), "{disconnect:?}: written for a disconnected client");
        }
        drop(open_connection);
    }
}

/// Number of clients that disconnect together, and the number of requests of each.
const CLIENTS: u64 = 150;
const REQUESTS_PER_CLIENT: u64 = 2;

/// Connects some of the clients, each of which sends its requests with ids of its own.
fn connect_clients(address: SocketAddr, numbers: std::ops::Range<u64>) -> Vec<Client> {
    let connect = |number: u64| {
        let mut client = connect_and_ping(address);
        send_all(&mut client, number);
        client
    };
    numbers.map(connect).collect()
}

fn send_all(client: &mut Client, number: u64) {
    for request in 0..REQUESTS_PER_CLIENT {
        send_read(client, 1 + number * REQUESTS_PER_CLIENT + request, UNLIMITED, 1);
    }
}

/// Disconnects all clients in alternating ways. Returns the connections that stay open.
fn disconnect_all(clients: Vec<Client>) -> Vec<Option<TcpStream>> {
    let kinds = Disconnect::ALL.into_iter().cycle();
    clients.into_iter().zip(kinds).map(|(client, kind)| kind.apply(client.stream)).collect()
}

/// Number of commands that do not belong to the client that stays.
fn received_from_others(received: &ReceivedCommands) -> usize {
    received.lock().unwrap().iter().filter(|c| !has_id(c, STAYING_ID)).count()
}

/// Sends requests until one is served, since a node that was silent is first given few attempts.
fn wait_until_served(staying: &mut Client) {
    wait_until("the staying client is served", || {
        send_read(staying, STAYING_ID, UNLIMITED, 1);
        staying.served_id() == Some(STAYING_ID)
    });
}

/// Three hundred requests of clients that disconnect at once. Some have an attempt in flight, some wait for
/// one, and some are in the engine's queue, before replies that would start the next attempt and before all
/// disconnects.
#[test]
fn nothing_is_sent_after_many_clients_disconnect_at_once() {
    let reply_gate = Gate::default();
    reply_gate.close();
    let blocking = reply_gate.clone();
    let (node, received) = fake_node(move |_, c| {
        blocking.pass();
        Reaction::Reply(value_reply(c))
    });
    let agent = fake_discovery(1, &[node]);
    let mut config = long_timeouts(agent.address(), &[node]);
    config["limits"]["sockets"] = json!(1024);
    let (host, address, gate) = start_host_with_gate(&config, Point::EngineReceive);
    let mut staying = connect_and_ping(address);
    wait_for_reader(&mut staying);
    let mut clients = connect_clients(address, 0..CLIENTS / 3);
    wait_until("the first clients are connected", || host.client_count() as u64 == 1 + CLIENTS / 3);
    wait_for_reader(&mut staying);
    reply_gate.wait_until_blocked();
    assert_open(&mut staying, CLIENTS / 3 * REQUESTS_PER_CLIENT);
    gate.close();
    clients.extend(connect_clients(address, CLIENTS / 3..CLIENTS));
    wait_until("all clients are connected", || host.client_count() as u64 == 1 + CLIENTS);
    wait_for_reader(&mut staying);
    // The commands in flight are answered, but the engine does not handle the replies yet.
    reply_gate.open();
    std::thread::sleep(WATCH_TIME);
    let open_connection = disconnect_all(clients);
    wait_until("the disconnects are noticed", || host.client_count() == 1);
    let before = received_from_others(&received);
    assert!(
        before > 0 && (before as u64) < CLIENTS / 3 * REQUESTS_PER_CLIENT,
        "{before} sent: no request waits for an attempt"
    );
    gate.open();
    wait_until_served(&mut staying);
    std::thread::sleep(WATCH_TIME);
    assert_eq!(received_from_others(&received), before, "sent for disconnected clients");
    drop(open_connection);
}

/// The requests and the ends of their connections are in the sockets when the client reader polls; it reads
/// the requests first.
#[test]
fn nothing_is_sent_for_unread_requests_of_clients_that_disconnected() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let mut config = long_timeouts(agent.address(), &[node]);
    config["limits"]["sockets"] = json!(1024);
    let (host, address, gate) = start_host_with_gate(&config, Point::ReaderPoll);
    let mut staying = connect_and_ping(address);
    // An idle link to the node exists, so an attempt is sent at once.
    wait_until_served(&mut staying);
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| connect_and_ping(address)).collect();
    wait_until("all clients are connected", || host.client_count() as u64 == 1 + CLIENTS);
    gate.close();
    gate.wait_until_blocked();
    for (number, client) in clients.iter_mut().enumerate() {
        send_all(client, number as u64);
    }
    let open_connection = disconnect_all(clients);
    gate.open();
    wait_until("the disconnects are noticed", || host.client_count() == 1);
    wait_until_served(&mut staying);
    std::thread::sleep(WATCH_TIME);
    assert_eq!(received_from_others(&received), 0, "sent for disconnected clients");
    drop(open_connection);
}

/// Guards against counting only open connections: closed ones still hold descriptors while their requests are
/// in the engine's queue, and new connections would take the descriptors reserved for nodes and discovery.
#[test]
fn a_new_connection_waits_until_descriptors_of_closed_ones_are_free() {
    let (node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let mut config = long_timeouts(agent.address(), &[node]);
    // Room for 25 client connections.
    config["limits"]["sockets"] = json!(74);
    let (host, address, gate) = start_host_with_gate(&config, Point::EngineReceive);
    gate.close();
    let leaving: Vec<Client> = connect_clients(address, 0..25);
    wait_until("all clients are connected", || host.client_count() == 25);
    gate.wait_until_blocked();
    drop(leaving);
    wait_until("the disconnects are noticed", || host.client_count() == 0);
    let mut new_client = Client::connect(address);
    new_client.send(&["PING"]);
    assert!(is_silent(&mut new_client.stream), "accepted while the descriptors of 25 others are open");
    gate.open();
    new_client.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert!(new_client.reply().is_some());
}
