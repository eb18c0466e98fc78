//! Discovery that fails in various ways and recovers with changes: the host applies them in time, whatever
//! happened before.

use crate::common::{
    config, fake_node, is_error, start_host_with, value_reply, Client, Reaction, ReceivedCommands,
};
use crate::ordering::{node_entry, node_list, reset, respond_to, GatedNode, ManualAgent, TIMEOUT};
use rustix::net::{AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time within which a host applies a change after discovery becomes reachable. The rules count a change as
/// known after 6 s.
const MAX_DELAY: Duration = Duration::from_secs(5);
/// Number of further failing calls before discovery recovers: one of each length. The last one has the
/// longest time limit and has just begun when discovery recovers.
const FAILED_CALLS: usize = 4;
/// Delay of a slow agent's response.
const RESPONSE_DELAY: Duration = Duration::from_millis(900);

/// How long a client waits for a value, and for a refusal, which may take half of that; in milliseconds.
const SERVE_WAIT_MS: u32 = 400;
const REFUSE_WAIT_MS: u32 = 200;

/// How the agent responds to calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Responds at once with the full list or, if the call waits, when there is another version.
    Normal,
    /// Responds at once with the full list, indented, whether or not the call waits.
    AlwaysFull,
    /// Like [`Behaviour::Normal`], with the response in pieces over this time.
    Slow(Duration),
    /// Like [`Behaviour::Normal`], after this delay.
    Delayed(Duration),
    /// Sends nothing and keeps the connection open.
    Silent,
    /// Sends part of the header and keeps the connection open.
    SilentInHeader,
    /// Sends the body byte by byte without end.
    Trickling,
    /// Closes the connection without a response.
    Closed,
    /// Closes the connection within the header.
    ClosedInHeader,
    /// Resets the connection within the header.
    ResetInHeader,
    /// Resets the connection within a body without a length that parses as a full list.
    ResetInBody,
    /// Sends a list that parses, but is shorter than the header states.
    Truncated,
    /// Responds with this status and a body that parses as a list.
    Status(u16),
}

struct State {
    behaviour: Behaviour,
    version: u64,
    nodes: Vec<String>,
    calls: usize,
    is_stopped: bool,
}

/// A fake agent that responds according to its current behaviour.
struct FakeDiscovery {
    address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl FakeDiscovery {
    /// Starts an agent that listens at once.
    fn new(behaviour: Behaviour, version: u64, nodes: Vec<String>) -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        FakeDiscovery::at(address, listener, behaviour, version, nodes)
    }

    fn at(
        address: SocketAddr,
        listener: TcpListener,
        behaviour: Behaviour,
        version: u64,
        nodes: Vec<String>,
    ) -> FakeDiscovery {
        let state = State { behaviour, version, nodes, calls: 0, is_stopped: false };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let state_of_agent = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, shared) = (stream.unwrap(), state_of_agent.clone());
                if shared.0.lock().unwrap().is_stopped {
                    return;
                }
                std::thread::spawn(move || {
                    let _ = serve(stream, &shared);
                });
            }
        });
        FakeDiscovery { address, shared }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Changes the behaviour, also for calls in progress. Returns the time of the change.
    fn set_behaviour(&self, behaviour: Behaviour) -> Instant {
        self.state().behaviour = behaviour;
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Changes the list. Returns the time of the change.
    fn set_list(&self, version: u64, nodes: Vec<String>) -> Instant {
        let mut state = self.state();
        (state.version, state.nodes) = (version, nodes);
        drop(state);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn calls(&self) -> usize {
        self.state().calls
    }

    /// Waits until this many calls have arrived in total.
    fn wait_for_calls(&self, expected: usize) {
        let state = self.state();
        let (state, _) = self.shared.1.wait_timeout_while(state, TIMEOUT, |s| s.calls < expected).unwrap();
        assert!(state.calls >= expected, "{} of {expected} calls arrived", state.calls);
    }
}

impl Drop for FakeDiscovery {
    fn drop(&mut self) {
        if let Ok(mut state) = self.shared.0.lock() {
            state.is_stopped = true;
        }
        self.shared.1.notify_all();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(500));
    }
}

/// Reads the header of a request and returns its path.
fn read_path(stream: &mut TcpStream) -> std::io::Result<String> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    let mut header = Vec::new();
    let mut chunk = [0; 1024];
    while !header.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut chunk)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => header.extend_from_slice(&chunk[..n]),
        }
    }
    let text = String::from_utf8_lossy(&header).into_owned();
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

/// Returns the value of a parameter of a request path, if it is a number.
fn query_number(path: &str, key: &str) -> Option<u64> {
    let (_, behind) = path.split_once(&format!("{key}="))?;
    behind.split('&').next()?.parse().ok()
}

fn ok_header(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

fn serve(mut stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> std::io::Result<()> {
    let path = read_path(&mut stream)?;
    let (state, changed) = shared;
    let mut now = state.lock().unwrap();
    now.calls += 1;
    changed.notify_all();
    let since = query_number(&path, "since");
    if let (Some(since), Some(wait_ms)) = (since, query_number(&path, "timeout_ms")) {
        let is_unchanged = |s: &mut State| s.version == since && !s.is_stopped && waits(s.behaviour);
        let wait = Duration::from_millis(wait_ms);
        now = changed.wait_timeout_while(now, wait, is_unchanged).unwrap().0;
    }
    let behaviour = now.behaviour;
    let text = if since == Some(now.version) && behaviour != Behaviour::AlwaysFull {
        node_list(now.version, false, &[])
    } else {
        node_list(now.version, true, &now.nodes)
    };
    drop(now);
    react(behaviour, stream, &text, &|| state.lock().unwrap().is_stopped)
}

/// Whether calls wait for changes.
fn waits(behaviour: Behaviour) -> bool {
    matches!(behaviour, Behaviour::Normal | Behaviour::Slow(_) | Behaviour::Delayed(_))
}

fn react(
    behaviour: Behaviour,
    mut stream: TcpStream,
    text: &str,
    is_stopped: &dyn Fn() -> bool,
) -> std::io::Result<()> {
    // A list that the host must not accept: it says that there are no nodes.
    let invalid_list = node_list(1_000, true, &[]);
    match behaviour {
        Behaviour::Normal => respond_to(stream, text),
        Behaviour::AlwaysFull => respond_to(stream, &text.replace(",\"", ",\n  \"")),
        Behaviour::Delayed(time) => {
            std::thread::sleep(time);
            respond_to(stream, text);
        }
        Behaviour::Slow(time) => {
            let whole = [ok_header(text.len()).as_bytes(), text.as_bytes()].concat();
            let pieces: Vec<&[u8]> = whole.chunks(whole.len().div_ceil(10)).collect();
            for chunk in &pieces {
                std::thread::sleep(time / pieces.len() as u32);
                stream.write_all(chunk)?;
            }
        }
        Behaviour::Silent => wait_for_close(&mut stream),
        Behaviour::SilentInHeader => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?;
            wait_for_close(&mut stream);
        }
        Behaviour::Trickling => {
            stream.write_all(format!("{}{{", ok_header(1_000_000)).as_bytes())?;
            while !is_stopped() {
                stream.write_all(b" ")?;
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Behaviour::Closed => {}
        Behaviour::ClosedInHeader => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?,
        Behaviour::ResetInHeader => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?;
            reset(stream);
        }
        Behaviour::ResetInBody => {
            stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{invalid_list}").as_bytes())?;
            reset(stream);
        }
        Behaviour::Truncated => {
            stream.write_all(format!("{}{invalid_list}", ok_header(invalid_list.len() + 1)).as_bytes())?;
        }
        Behaviour::Status(status) => {
            let length = invalid_list.len();
            let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{invalid_list}");
            stream.write_all(text.as_bytes())?;
        }
    }
    Ok(())
}

/// Keeps a connection open until the host abandons it, then sends a late response that must be ignored.
fn wait_for_close(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(TIMEOUT));
    let _ = stream.read(&mut [0; 16]);
    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{}", node_list(1_000, true, &[])).as_bytes());
}

/// A client of the host, and the one node of its shard.
struct HostClient {
    client: Client,
    node: SocketAddr,
    received: ReceivedCommands,
    id: u64,
}

impl HostClient {
    /// Starts the node; the client connects once the host is running.
    fn node() -> (SocketAddr, ReceivedCommands) {
        fake_node(|_, c| Reaction::Reply(value_reply(c)))
    }

    fn new(host: SocketAddr, node: SocketAddr, received: ReceivedCommands) -> HostClient {
        HostClient { client: Client::connect(host), node, received, id: 0 }
    }

    fn send_read(&mut self, wait_ms: u32) {
        self.id += 1;
        self.client.send_read_with(self.id, 0, wait_ms);
    }

    /// Checks that the node serves a request.
    fn assert_served(&mut self) {
        self.send_read(SERVE_WAIT_MS);
        assert_eq!(self.client.served_id(), Some(self.id));
    }

    /// Sends requests until one is served, since the scheduler may let a node wait that has returned. Returns
    /// the time taken.
    fn wait_until_served(&mut self, since: Instant) -> Duration {
        loop {
            assert!(since.elapsed() < TIMEOUT, "the node is not used");
            self.send_read(SERVE_WAIT_MS);
            if self.client.served_id() == Some(self.id) {
                return since.elapsed();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends requests until one is refused, and checks that nothing is sent to the node from then on. Returns
    /// the time taken.
    fn wait_until_refused(&mut self, since: Instant) -> Duration {
        loop {
            assert!(since.elapsed() < TIMEOUT, "the node is still used");
            self.send_read(REFUSE_WAIT_MS);
            if is_error(&self.client.reply(), "BUSY") {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let elapsed = since.elapsed();
        let sent = self.received.lock().unwrap().len();
        for _ in 0..10 {
            self.send_read(REFUSE_WAIT_MS);
            let reply = self.client.reply();
            assert!(is_error(&reply, "BUSY"), "{reply:?}");
        }
        assert_eq!(self.received.lock().unwrap().len(), sent, "sent to a node that accepts nothing new");
        elapsed
    }
}

/// The change of the one node that discovery reports once it has recovered.
#[derive(Clone, Copy, Debug)]
enum Change {
    Draining,
    Removed,
}

impl Change {
    fn nodes(self, node: SocketAddr) -> Vec<String> {
        match self {
            Change::Draining => vec![node_entry(node, "DRAINING", 0)],
            Change::Removed => Vec::new(),
        }
    }
}

/// Discovery is followed, fails for several calls, and recovers with the behaviour `recovered` and a change
/// just after a call that still fails has begun.
fn check_recovery(failure: Behaviour, recovered: Behaviour, change: Change) {
    let (node, received) = HostClient::node();
    let agent = FakeDiscovery::new(Behaviour::Normal, 2, vec![node_entry(node, "SERVING", 0)]);
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    let mut client = HostClient::new(address, node, received);
    agent.wait_for_calls(2);
    client.assert_served();
    let before = agent.calls();
    agent.set_behaviour(failure);
    agent.wait_for_calls(before + FAILED_CALLS - 1);
    client.assert_served();
    agent.wait_for_calls(before + FAILED_CALLS);
    agent.set_list(3, change.nodes(client.node));
    let since = agent.set_behaviour(recovered);
    let elapsed = client.wait_until_refused(since);
    assert!(elapsed < MAX_DELAY, "{failure:?}, then {recovered:?}: applied after {elapsed:?}");
}

#[test]
fn recovery_after_silence_before_the_header() {
    check_recovery(Behaviour::Silent, Behaviour::Normal, Change::Draining);
}

#[test]
fn recovery_after_silence_within_the_header() {
    check_recovery(Behaviour::SilentInHeader, Behaviour::Normal, Change::Removed);
}

#[test]
fn recovery_after_a_trickling_body() {
    check_recovery(Behaviour::Trickling, Behaviour::Normal, Change::Draining);
}

#[test]
fn recovery_after_early_closes() {
    for failure in [Behaviour::Closed, Behaviour::ClosedInHeader, Behaviour::ResetInHeader] {
        check_recovery(failure, Behaviour::Normal, Change::Draining);
    }
}

/// Guards against accepting part of a response that parses as a full list.
#[test]
fn recovery_after_truncated_responses() {
    for failure in [Behaviour::ResetInBody, Behaviour::Truncated] {
        check_recovery(failure, Behaviour::Normal, Change::Draining);
    }
}

#[test]
fn recovery_after_error_statuses() {
    for failure in [Behaviour::Status(500), Behaviour::Status(503)] {
        check_recovery(failure, Behaviour::Normal, Change::Removed);
    }
}

/// Guards against calls after a failed one that are too short for a slow agent to ever be heard.
#[test]
fn recovery_to_late_responses_after_resets() {
    check_recovery(Behaviour::ResetInHeader, Behaviour::Delayed(RESPONSE_DELAY), Change::Draining);
}

#[test]
fn recovery_to_responses_in_pieces_after_errors() {
    check_recovery(Behaviour::Status(503), Behaviour::Slow(RESPONSE_DELAY), Change::Draining);
}

/// Worst case: silent up to the longest call after a failed one, and slow from then on.
#[test]
fn recovery_to_late_responses_after_silence() {
    check_recovery(Behaviour::Silent, Behaviour::Delayed(RESPONSE_DELAY), Change::Draining);
}

/// Nothing listens at the address of discovery when the host starts.
#[test]
fn recovery_after_refused_connections() {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listener = TcpListener::from(socket);
    let agent_address = listener.local_addr().unwrap();
    let refused = TcpStream::connect(agent_address).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let (node, received) = HostClient::node();
    let (_host, address) = start_host_with(&config(agent_address, &[node]));
    let mut client = HostClient::new(address, node, received);
    for _ in 0..10 {
        client.assert_served();
        std::thread::sleep(Duration::from_millis(60));
    }
    let since = Instant::now();
    rustix::net::listen(&listener, 64).unwrap();
    let _agent =
        FakeDiscovery::at(agent_address, listener, Behaviour::Normal, 2, Change::Draining.nodes(node));
    let elapsed = client.wait_until_refused(since);
    assert!(elapsed < MAX_DELAY, "applied after {elapsed:?}");
}

/// The agent answers every watch until one stays open without a response, while a new call would be answered
/// with a change.
#[test]
fn a_watch_that_falls_silent_is_reopened_in_time() {
    let agent = ManualAgent::new();
    let (node, received) = HostClient::node();
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    let mut client = HostClient::new(address, node, received);
    agent.respond(&node_list(2, true, &[node_entry(node, "SERVING", 0)]));
    for _ in 0..10 {
        let path = agent.respond(&node_list(2, false, &[]));
        assert!(path.contains("since=2&"), "{path}");
        client.assert_served();
    }
    let (path, silent) = agent.next_call();
    assert!(path.contains("since=2&"), "{path}");
    let since = Instant::now();
    let response = std::thread::spawn(move || {
        let path = agent.respond(&node_list(3, false, &[node_entry(node, "DRAINING", 0)]));
        (agent, path)
    });
    let elapsed = client.wait_until_refused(since);
    assert!(elapsed < MAX_DELAY, "applied after {elapsed:?}");
    let (agent, path) = response.join().unwrap();
    assert!(path.contains("since=2&"), "{path}");
    // A late response to the abandoned call is ignored.
    respond_to(silent, &node_list(9, true, &[node_entry(node, "SERVING", 0)]));
    let (path, _held) = agent.next_call();
    assert!(path.contains("since=3&"), "{path}");
    client.send_read(REFUSE_WAIT_MS);
    assert!(is_error(&client.client.reply(), "BUSY"));
}

/// A new address is used although a connection to the old one is still being opened and never opens.
#[test]
fn a_new_address_is_called_while_connecting_to_the_old_one_hangs() {
    let mut old = GatedNode::new();
    old.block_connects();
    let (node, received) = HostClient::node();
    let (host, address) = start_host_with(&config(old.address(), &[node]));
    let mut client = HostClient::new(address, node, received);
    client.assert_served();
    let new = FakeDiscovery::new(Behaviour::Normal, 2, Change::Removed.nodes(node));
    let since = Instant::now();
    host.set_discovery_address(new.address);
    let elapsed = client.wait_until_refused(since);
    assert!(elapsed < MAX_DELAY, "applied after {elapsed:?}");
}

/// Guards against calling without a pause an agent that answers all calls at once with an unchanged full
/// list.
#[test]
fn an_agent_that_always_returns_full_lists_is_called_at_a_bounded_rate() {
    let slow = Duration::from_millis(1_500);
    let (node, _) = fake_node(move |_, c| Reaction::ReplyAfter(slow, value_reply(c)));
    let (other, received) = HostClient::node();
    let agent = FakeDiscovery::new(Behaviour::AlwaysFull, 2, vec![node_entry(node, "SERVING", 0)]);
    let (_host, address) = start_host_with(&config(agent.address, &[node]));
    let mut open = Client::connect(address);
    open.send_read_with(1, 0, 3_000);
    agent.wait_for_calls(2);
    let (before, since) = (agent.calls(), Instant::now());
    assert_eq!(open.served_id(), Some(1), "lists arrived while the request was open");
    let calls = agent.calls() - before;
    let most = 1 + since.elapsed().as_millis() / 10;
    assert!(calls >= 2, "{calls} calls");
    assert!((calls as u128) < most, "{calls} calls in {:?}", since.elapsed());
    // Each change is applied, and a node that is missing is gone.
    let since = agent.set_list(3, vec![node_entry(other, "SERVING", 0)]);
    let mut client = HostClient::new(address, other, received);
    assert!(client.wait_until_served(since) < MAX_DELAY);
    let since = agent.set_list(4, Change::Draining.nodes(other));
    assert!(client.wait_until_refused(since) < MAX_DELAY);
    // Restarted: the scheduler treats a node that drained as draining until its next start.
    let since = agent.set_list(5, vec![node_entry(other, "SERVING", 1)]);
    assert!(client.wait_until_served(since) < MAX_DELAY);
    let since = agent.set_list(6, Vec::new());
    assert!(client.wait_until_refused(since) < MAX_DELAY);
}
