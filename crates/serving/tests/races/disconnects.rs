//! Clients that leave while their requests wait, at each place where one can wait: nothing is begun for them any more.
//!
//! A client that closes its connection, ends its sending side or has its connection reset has gone. The orders are forced:
//! the host is held at a point until the end of the client's connection stands in its socket, and what would begin an
//! attempt is in the engine's queue before or behind the word of it.

use crate::common::{config, discovery, is_error, node, until, value, Client, Heard, Reaction};
use crate::ordering::{
    answer, host_held, host_with_small_buffers, is_silent, line, list, read_command, reset, Agent, Departure,
    Gate, LateNode, LONG,
};
use bytes::Bytes;
use pearfork_resp::{CommandDecoder, CommandLimits};
use pearfork_serving::Point;
use serde_json::{json, Value};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Id of the request whose client leaves.
const LEAVER: u64 = 0x1eaf;
/// Id of a request whose client stays.
const USUAL: u64 = 0x57a4;
/// A plan without a limit, and volumes.
const UNLIMITED: &str = "free";
const LIMITED: &str = "gold";
/// How long a test goes on looking for what must not come.
const WATCHED: Duration = Duration::from_millis(300);

/// A configuration in which nothing but what a test means ends a wait: long goals and deadlines.
fn patient(discovery: SocketAddr, nodes: &[SocketAddr]) -> Value {
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

fn get(client: &mut Client, id: u64, plan: &str, units: u32) {
    let list = format!("c=read,t={plan},d=60000,volume={id:016x},units={units},shard=0,hosts=1");
    client.send(&["OBJ.GET", "0000000000000005", &format!("{id:016x}"), &list]);
}

/// A write whose body no small buffer holds.
fn put(client: &mut Client, id: u64) {
    let list = format!("c=write,t=free,d=20000,k={id:016x},volume=0000000000000001,units=1,shard=0,hosts=3");
    let body = "b".repeat(60_000);
    client.send(&["OBJ.PUT", "0000000000000005", &format!("{id:016x}"), &list, &body]);
}

fn is_of(command: &[Bytes], id: u64) -> bool {
    command[2] == format!("{id:016x}").as_bytes()
}

fn heard_of(heard: &Heard, id: u64) -> usize {
    heard.lock().unwrap().iter().filter(|c| is_of(c, id)).count()
}

/// The engine has taken all that was read before, and a request is open: it refuses another under its id.
fn is_open(marker: &mut Client, id: u64) {
    get(marker, id, UNLIMITED, 1);
    let reply = marker.reply();
    assert!(is_error(&reply, "ERR id is in use"), "the request is not open: {reply:?}");
}

/// The reader of client connections is past all that stood in their sockets before.
fn reader_is_past(marker: &mut Client) {
    marker.send(&["PING"]);
    assert!(marker.reply().is_some());
}

/// A client whose connection is being read. Danger: what stands on one that nobody has accepted yet is read after what comes
/// later on others; and a second command behind one without a word would be held back by its own system for 40 ms.
fn connected(address: SocketAddr) -> Client {
    let mut client = Client::connect(address);
    client.stream.set_nodelay(true).unwrap();
    reader_is_past(&mut client);
    client
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Where a request waits in the module, and for how long.
struct Wait {
    settings: fn(&mut Value),
    /// Units of the request.
    units: u32,
    /// The node turns it away.
    turned_away: bool,
    /// The node has just started.
    cold: bool,
    /// Longer than it waits.
    over_after: Duration,
}

/// What stands first in the engine's queue once the wait is over.
#[derive(Clone, Copy, Debug)]
enum First {
    /// The word that the client has left.
    Departure,
    /// A list, at which the module sends what may go.
    List,
}

/// A client leaves while its request waits in the module; its wait is over by the time the engine goes on.
fn nothing_is_begun_behind(wait: &Wait, departure: Departure, first: First) {
    let turned_away = wait.turned_away;
    let (node, heard) = node(move |_, c| {
        Reaction::Say(if turned_away && is_of(c, LEAVER) { b"-BUSY\r\n".to_vec() } else { value(c) })
    });
    let agent = Agent::new();
    let mut config = patient(agent.address, &[node]);
    (wait.settings)(&mut config["settings"]);
    let (host, address, gate) = host_held(&config, Point::EngineTakes);
    let ready = line(node, "SERVING", if wait.cold { unix_ms() } else { 0 });
    agent.tell(&list(2, true, std::slice::from_ref(&ready)));
    // The next call says that the list stands in the engine's queue.
    let (_, call) = agent.call();
    let mut usual = connected(address);
    // A connection to the node rests: what is begun goes out at once.
    get(&mut usual, USUAL, UNLIMITED, 1);
    assert_eq!(usual.served(), Some(USUAL));
    let mut leaver = connected(address);
    get(&mut leaver, LEAVER, LIMITED, wait.units);
    if turned_away {
        until("its first attempt is with the node", || heard_of(&heard, LEAVER) > 0);
    }
    reader_is_past(&mut usual);
    is_open(&mut usual, LEAVER);
    if !turned_away {
        assert_eq!(heard_of(&heard, LEAVER), 0, "it does not wait");
    }
    gate.shut();
    let news = list(3, false, &[ready]);
    let left = match first {
        First::Departure => {
            let left = departure.leave(leaver.stream);
            until("it is seen to have left", || host.clients() == 1);
            reader_is_past(&mut usual);
            answer(call, &news);
            agent.call();
            left
        }
        First::List => {
            answer(call, &news);
            agent.call();
            let left = departure.leave(leaver.stream);
            until("it is seen to have left", || host.clients() == 1);
            left
        }
    };
    gate.held();
    std::thread::sleep(wait.over_after);
    let before = heard_of(&heard, LEAVER);
    gate.open();
    get(&mut usual, USUAL, UNLIMITED, 1);
    assert_eq!(usual.served(), Some(USUAL));
    std::thread::sleep(WATCHED);
    assert_eq!(
        heard_of(&heard, LEAVER),
        before,
        "{departure:?}, {first:?}: begun for a client that had left"
    );
    drop(left);
}

/// A node that turned an attempt away is left alone for a moment, and the retry waits for the end of it.
const RETRY: Wait = Wait {
    settings: |_| {},
    units: 1,
    turned_away: true,
    cold: false,
    over_after: Duration::from_millis(500),
};

#[test]
fn a_retry_that_waits_for_its_pause_is_not_begun_after_its_client_left() {
    for departure in Departure::ALL {
        nothing_is_begun_behind(&RETRY, departure, First::List);
    }
    nothing_is_begun_behind(&RETRY, Departure::Close, First::Departure);
}

/// The host's part of a volume's limit grows from nothing: 1.5 s for the one unit asked for.
const LIMIT: Wait = Wait {
    settings: |s| {
        s["Plans"][0]["Cap"] = json!(0.75);
        s["Plans"][0]["Burst"] = json!(2.0);
    },
    units: 1,
    turned_away: false,
    cold: false,
    over_after: Duration::from_millis(2_000),
};

#[test]
fn what_waits_for_its_volumes_limit_is_not_begun_after_its_client_left() {
    nothing_is_begun_behind(&LIMIT, Departure::Close, First::List);
    nothing_is_begun_behind(&LIMIT, Departure::Reset, First::Departure);
}

/// The host's part of what a cold node bears: 2 units at the start, of which the usual client has one, and a part of one by
/// chance; then 1 unit a second.
const COLD: Wait = Wait {
    settings: |s| {
        s["Domain"]["ColdUnits"] = json!(13.34);
        s["Domain"]["MeanUnits"] = json!(1.0);
    },
    units: 4,
    turned_away: false,
    cold: true,
    over_after: Duration::from_millis(3_500),
};

#[test]
fn what_waits_for_a_cold_node_is_not_begun_after_its_client_left() {
    nothing_is_begun_behind(&COLD, Departure::Close, First::List);
    nothing_is_begun_behind(&COLD, Departure::EndSending, First::Departure);
}

/// The first attempt ends with its connection; the next waits for a connection, whose coming up stands in the engine's queue
/// before the word that the client left.
#[test]
fn a_further_attempt_whose_connection_comes_up_after_its_client_left_is_not_written() {
    for departure in Departure::ALL {
        let mut node = LateNode::new();
        let agent = Agent::new();
        let (host, address, gate) = host_held(&patient(agent.address, &[node.address()]), Point::EngineTakes);
        let mut usual = connected(address);
        let mut leaver = connected(address);
        get(&mut leaver, LEAVER, UNLIMITED, 1);
        let mut first = node.accept();
        read_command(&mut first);
        node.hold_up();
        reset(first);
        // The word of the reset goes through the engine, which begins to connect once more.
        std::thread::sleep(WATCHED);
        is_open(&mut usual, LEAVER);
        gate.shut();
        node.let_up();
        let mut second = node.accept();
        gate.held();
        let left = departure.leave(leaver.stream);
        until("it is seen to have left", || host.clients() == 1);
        gate.open();
        assert!(is_silent(&mut second), "{departure:?}: written though its client had left");
        drop(left);
    }
}

/// All that comes on a connection up to its end.
fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match stream.read(&mut piece) {
            Ok(0) => return got,
            Ok(n) => got.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return got,
            Err(e) => panic!("no end behind {} bytes: {e}", got.len()),
        }
    }
}

fn commands() -> CommandDecoder {
    CommandDecoder::new(CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 })
}

/// Reads one whole command; nothing may stand behind it.
fn read_one(stream: &mut TcpStream, begun: &[u8]) -> Vec<Bytes> {
    let mut commands = commands();
    commands.buffer().extend_from_slice(begun);
    let mut piece = [0; 4096];
    loop {
        if let Some(command) = commands.next_command().unwrap() {
            assert!(!commands.has_partial(), "another stands behind it");
            return command;
        }
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "it ends within a command");
        commands.buffer().extend_from_slice(&piece[..n]);
    }
}

fn first_bytes(stream: &mut TcpStream) -> [u8; 64] {
    let mut begun = [0; 64];
    stream.read_exact(&mut begun).unwrap();
    begun
}

#[test]
fn a_command_partly_written_for_a_client_that_left_is_never_completed() {
    for departure in Departure::ALL {
        let node = LateNode::new();
        node.small_window();
        let agent = Agent::new();
        let (host, address) = host_with_small_buffers(&patient(agent.address, &[node.address()]));
        let mut usual = connected(address);
        let mut leaver = connected(address);
        put(&mut leaver, LEAVER);
        let mut stream = node.accept();
        let mut got = first_bytes(&mut stream).to_vec();
        let left = departure.leave(leaver.stream);
        until("it is seen to have left", || host.clients() == 1);
        // Served behind the departure: the engine has taken that.
        get(&mut usual, USUAL, UNLIMITED, 1);
        let mut other = node.accept();
        let asked = read_one(&mut other, &[]);
        other.write_all(&value(&asked)).unwrap();
        assert_eq!(usual.served(), Some(USUAL));
        got.extend(read_to_end(&mut stream));
        let mut commands = commands();
        commands.buffer().extend_from_slice(&got);
        assert!(commands.next_command().unwrap().is_none(), "{departure:?}: completed, {} bytes", got.len());
        drop(left);
    }
}

/// With no descriptor left a command goes behind others on their connection. One that has not begun is taken out from
/// behind one that has, which goes on.
#[test]
fn a_command_that_waits_behind_another_is_never_written_after_its_client_left() {
    for departure in Departure::ALL {
        let node = LateNode::new();
        node.small_window();
        let agent = Agent::new();
        let mut config = patient(agent.address, &[node.address()]);
        // Room for three connections of clients and two to nodes.
        config["limits"]["sockets"] = json!(29);
        let (host, address) = host_with_small_buffers(&config);
        let mut stays = connected(address);
        let mut marker = connected(address);
        let mut leaver = connected(address);
        put(&mut stays, 1);
        put(&mut stays, 2);
        let mut streams = [node.accept(), node.accept()];
        let begun = streams.each_mut().map(first_bytes);
        // Read in one piece: the reader is past it when it answers the next client.
        get(&mut leaver, LEAVER, UNLIMITED, 1);
        reader_is_past(&mut marker);
        is_open(&mut marker, LEAVER);
        let left = departure.leave(leaver.stream);
        until("it is seen to have left", || host.clients() == 2);
        reader_is_past(&mut marker);
        is_open(&mut marker, 1);
        for (stream, begun) in streams.iter_mut().zip(begun) {
            let command = read_one(stream, &begun);
            stream.write_all(&value(&command)).unwrap();
        }
        assert_eq!((stays.served(), stays.served()), (Some(1), Some(2)));
        for stream in &mut streams {
            assert!(is_silent(stream), "{departure:?}: written for a client that had left");
        }
        drop(left);
    }
}

/// Clients of a crowd, and the requests of each.
const CROWD: u64 = 150;
const REQUESTS_EACH: u64 = 2;

/// A part of the crowd comes: each connects and sends its requests, under ids of its own.
fn come(address: SocketAddr, members: std::ops::Range<u64>) -> Vec<Client> {
    let one = |member: u64| {
        let mut client = connected(address);
        ask_all(&mut client, member);
        client
    };
    members.map(one).collect()
}

fn ask_all(client: &mut Client, member: u64) {
    for request in 0..REQUESTS_EACH {
        get(client, 1 + member * REQUESTS_EACH + request, UNLIMITED, 1);
    }
}

/// All leave, each in its own way; what is left of their connections.
fn leave_all(crowd: Vec<Client>) -> Vec<Option<TcpStream>> {
    let ways = Departure::ALL.into_iter().cycle();
    crowd.into_iter().zip(ways).map(|(client, way)| way.leave(client.stream)).collect()
}

/// Commands that were not of the usual client.
fn theirs(heard: &Heard) -> usize {
    heard.lock().unwrap().iter().filter(|c| !is_of(c, USUAL)).count()
}

/// Asks until it is served: a node that was silent is tried a little at a time.
fn usual_is_served(usual: &mut Client) {
    until("a usual client is served", || {
        get(usual, USUAL, UNLIMITED, 1);
        usual.served() == Some(USUAL)
    });
}

/// Three hundred requests of clients that leave at once: some have an attempt out, some wait for one, and some stand in the
/// engine's queue, before answers at which the next would begin, and before the word of any departure.
#[test]
fn a_crowd_that_leaves_at_once_has_nothing_begun_wherever_its_requests_wait() {
    let answers = Gate::default();
    answers.shut();
    let held = answers.clone();
    let (node, heard) = node(move |_, c| {
        held.pass();
        Reaction::Say(value(c))
    });
    let told = discovery(1, &[node]);
    let mut config = patient(told.address(), &[node]);
    config["limits"]["sockets"] = json!(1024);
    let (host, address, gate) = host_held(&config, Point::EngineTakes);
    let mut usual = connected(address);
    reader_is_past(&mut usual);
    let mut crowd = come(address, 0..CROWD / 3);
    until("the first are there", || host.clients() as u64 == 1 + CROWD / 3);
    reader_is_past(&mut usual);
    answers.held();
    is_open(&mut usual, CROWD / 3 * REQUESTS_EACH);
    gate.shut();
    crowd.extend(come(address, CROWD / 3..CROWD));
    until("all are there", || host.clients() as u64 == 1 + CROWD);
    reader_is_past(&mut usual);
    // What is out is answered, which the engine has not taken.
    answers.open();
    std::thread::sleep(WATCHED);
    let left = leave_all(crowd);
    until("they are seen to have left", || host.clients() == 1);
    let before = theirs(&heard);
    assert!(before > 0 && (before as u64) < CROWD / 3 * REQUESTS_EACH, "{before}: some wait for an attempt");
    gate.open();
    usual_is_served(&mut usual);
    std::thread::sleep(WATCHED);
    assert_eq!(theirs(&heard), before, "begun for clients that had left");
    drop(left);
}

/// The requests and the ends of their connections stand in the sockets when the reader comes by: it reads the requests first.
#[test]
fn a_crowd_whose_ends_stand_behind_its_unread_requests_has_nothing_begun() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let mut config = patient(told.address(), &[node]);
    config["limits"]["sockets"] = json!(1024);
    let (host, address, gate) = host_held(&config, Point::ReaderLooks);
    let mut usual = connected(address);
    // A connection to the node rests: what is begun goes out at once.
    usual_is_served(&mut usual);
    let mut crowd: Vec<Client> = (0..CROWD).map(|_| connected(address)).collect();
    until("all are there", || host.clients() as u64 == 1 + CROWD);
    gate.shut();
    gate.held();
    for (member, client) in crowd.iter_mut().enumerate() {
        ask_all(client, member as u64);
    }
    let left = leave_all(crowd);
    gate.open();
    until("they are seen to have left", || host.clients() == 1);
    usual_is_served(&mut usual);
    std::thread::sleep(WATCHED);
    assert_eq!(theirs(&heard), 0, "begun for clients that had left");
    drop(left);
}

/// Danger: connections that are over still hold descriptors while their requests wait in the engine's queue. Newcomers in their
/// places would take those that are kept for nodes and discovery.
#[test]
fn a_newcomer_waits_until_the_descriptors_of_clients_that_left_are_closed() {
    let (node, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let mut config = patient(told.address(), &[node]);
    // Room for 25 connections of clients.
    config["limits"]["sockets"] = json!(64);
    let (host, address, gate) = host_held(&config, Point::EngineTakes);
    gate.shut();
    let leaving: Vec<Client> = come(address, 0..25);
    until("all are there", || host.clients() == 25);
    gate.held();
    drop(leaving);
    until("they are seen to have left", || host.clients() == 0);
    let mut newcomer = Client::connect(address);
    newcomer.send(&["PING"]);
    assert!(is_silent(&mut newcomer.stream), "taken while the descriptors of 25 others are open");
    gate.open();
    newcomer.stream.set_read_timeout(Some(LONG)).unwrap();
    assert!(newcomer.reply().is_some());
}
