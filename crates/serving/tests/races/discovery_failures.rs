//! Discovery that fails in one way or another, and is back with news: the host has them in time, whatever came before.

use crate::common::{config, host_of, is_error, node, value, Client, Heard, Reaction};
use crate::ordering::{answer, line, list, reset, Agent, LateNode, LONG};
use rustix::net::{AddressFamily, SocketType};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Within this time of the moment from which discovery can be reached a host acts on what it tells. The rules count a
/// change as told after 6 s.
const TOLD: Duration = Duration::from_secs(5);
/// Calls after a failed one that fail as well before discovery is back: one of each length. The last of these is the
/// longest, and has just begun when discovery is back.
const FAILED_AGAIN: usize = 4;
/// How long an answer takes of an agent that is slow.
const LATE: Duration = Duration::from_millis(900);

/// What a client waits for an answer, milliseconds; and what it waits for a refusal, which may take half of it.
const USUAL_MS: u32 = 400;
const SHORT_MS: u32 = 200;

/// What the agent does with its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Answers at once with the whole list or, where the call waits, once there is another version.
    Sound,
    /// Answers at once with the whole list, indented, whether or not the call waits.
    AlwaysWhole,
    /// As [`Behaviour::Sound`], with the whole list in pieces over this time.
    Slow(Duration),
    /// As [`Behaviour::Sound`], after this time.
    Late(Duration),
    /// Nothing comes, and the connection stays.
    Silent,
    /// A part of the head comes, and the connection stays.
    SilentInHead,
    /// The body comes byte by byte, and never to its end.
    Trickling,
    /// The connection is closed without an answer.
    Closed,
    /// It is closed within the head.
    ClosedInHead,
    /// It is reset within the head.
    ResetInHead,
    /// It is reset within a body without a length which reads like a whole list.
    ResetInBody,
    /// A list that is whole by itself, cut short of the length that the head states.
    CutShort,
    /// An answer with this status; its body reads like a list.
    Status(u16),
}

struct State {
    behaviour: Behaviour,
    seq: u64,
    lines: Vec<String>,
    calls: usize,
    over: bool,
}

/// An agent that answers by itself, as its behaviour at the moment is.
struct Discovery {
    address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Discovery {
    /// An agent that is called from the first moment on.
    fn new(behaviour: Behaviour, seq: u64, lines: Vec<String>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Discovery::at(address, listener, behaviour, seq, lines)
    }

    fn at(
        address: SocketAddr,
        listener: TcpListener,
        behaviour: Behaviour,
        seq: u64,
        lines: Vec<String>,
    ) -> Discovery {
        let state = State { behaviour, seq, lines, calls: 0, over: false };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let kept = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, shared) = (stream.unwrap(), kept.clone());
                if shared.0.lock().unwrap().over {
                    return;
                }
                std::thread::spawn(move || {
                    let _ = serve(stream, &shared);
                });
            }
        });
        Discovery { address, shared }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// From now on, for calls that wait as well; the moment.
    fn becomes(&self, behaviour: Behaviour) -> Instant {
        self.state().behaviour = behaviour;
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Has another list from now on; the moment.
    fn has(&self, seq: u64, lines: Vec<String>) -> Instant {
        let mut state = self.state();
        (state.seq, state.lines) = (seq, lines);
        drop(state);
        self.shared.1.notify_all();
        Instant::now()
    }

    fn calls(&self) -> usize {
        self.state().calls
    }

    /// Waits until so many calls came in all.
    fn called(&self, wanted: usize) {
        let state = self.state();
        let (state, _) = self.shared.1.wait_timeout_while(state, LONG, |s| s.calls < wanted).unwrap();
        assert!(state.calls >= wanted, "{} of {wanted} calls came", state.calls);
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        if let Ok(mut state) = self.shared.0.lock() {
            state.over = true;
        }
        self.shared.1.notify_all();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(500));
    }
}

/// The path of a request.
fn read_path(stream: &mut TcpStream) -> std::io::Result<String> {
    stream.set_read_timeout(Some(LONG))?;
    let mut head = Vec::new();
    let mut piece = [0; 1024];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut piece)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => head.extend_from_slice(&piece[..n]),
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    Ok(text.split(' ').nth(1).unwrap_or_default().to_owned())
}

fn number(path: &str, key: &str) -> Option<u64> {
    let (_, behind) = path.split_once(&format!("{key}="))?;
    behind.split('&').next()?.parse().ok()
}

fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

fn serve(mut stream: TcpStream, shared: &(Mutex<State>, Condvar)) -> std::io::Result<()> {
    let path = read_path(&mut stream)?;
    let (state, changed) = shared;
    let mut now = state.lock().unwrap();
    now.calls += 1;
    changed.notify_all();
    let since = number(&path, "since");
    if let (Some(since), Some(wait_ms)) = (since, number(&path, "timeout_ms")) {
        let nothing_new = |s: &mut State| s.seq == since && !s.over && waits(s.behaviour);
        let wait = Duration::from_millis(wait_ms);
        now = changed.wait_timeout_while(now, wait, nothing_new).unwrap().0;
    }
    let behaviour = now.behaviour;
    let text = if since == Some(now.seq) && behaviour != Behaviour::AlwaysWhole {
        list(now.seq, false, &[])
    } else {
        list(now.seq, true, &now.lines)
    };
    drop(now);
    react(behaviour, stream, &text, &|| state.lock().unwrap().over)
}

/// Whether calls wait for changes.
fn waits(behaviour: Behaviour) -> bool {
    matches!(behaviour, Behaviour::Sound | Behaviour::Slow(_) | Behaviour::Late(_))
}

fn react(
    behaviour: Behaviour,
    mut stream: TcpStream,
    text: &str,
    is_over: &dyn Fn() -> bool,
) -> std::io::Result<()> {
    // What a host would take if it took what is no answer: that there are no nodes.
    let false_list = list(1_000, true, &[]);
    match behaviour {
        Behaviour::Sound => answer(stream, text),
        Behaviour::AlwaysWhole => answer(stream, &text.replace(",\"", ",\n  \"")),
        Behaviour::Late(time) => {
            std::thread::sleep(time);
            answer(stream, text);
        }
        Behaviour::Slow(time) => {
            let whole = [head(text.len()).as_bytes(), text.as_bytes()].concat();
            let pieces: Vec<&[u8]> = whole.chunks(whole.len().div_ceil(10)).collect();
            for piece in &pieces {
                std::thread::sleep(time / pieces.len() as u32);
                stream.write_all(piece)?;
            }
        }
        Behaviour::Silent => wait_for_the_end(&mut stream),
        Behaviour::SilentInHead => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?;
            wait_for_the_end(&mut stream);
        }
        Behaviour::Trickling => {
            stream.write_all(format!("{}{{", head(1_000_000)).as_bytes())?;
            while !is_over() {
                stream.write_all(b" ")?;
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Behaviour::Closed => {}
        Behaviour::ClosedInHead => stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?,
        Behaviour::ResetInHead => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-")?;
            reset(stream);
        }
        Behaviour::ResetInBody => {
            stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{false_list}").as_bytes())?;
            reset(stream);
        }
        Behaviour::CutShort => {
            stream.write_all(format!("{}{false_list}", head(false_list.len() + 1)).as_bytes())?;
        }
        Behaviour::Status(status) => {
            let length = false_list.len();
            let text = format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{false_list}");
            stream.write_all(text.as_bytes())?;
        }
    }
    Ok(())
}

/// Holds a connection until its host gives it up; late bytes go to nobody.
fn wait_for_the_end(stream: &mut TcpStream) {
    let _ = stream.set_read_timeout(Some(LONG));
    let _ = stream.read(&mut [0; 16]);
    let _ = stream.write_all(format!("HTTP/1.1 200 OK\r\n\r\n{}", list(1_000, true, &[])).as_bytes());
}

/// A host's client, and the one node of its shard.
struct Served {
    client: Client,
    node: SocketAddr,
    heard: Heard,
    id: u64,
}

impl Served {
    /// The node by itself; the client comes when the host is there.
    fn node() -> (SocketAddr, Heard) {
        node(|_, c| Reaction::Say(value(c)))
    }

    fn new(host: SocketAddr, node: SocketAddr, heard: Heard) -> Served {
        Served { client: Client::connect(host), node, heard, id: 0 }
    }

    fn ask(&mut self, wait_ms: u32) {
        self.id += 1;
        self.client.read_of(self.id, 0, wait_ms);
    }

    /// The node serves.
    fn is_served(&mut self) {
        self.ask(USUAL_MS);
        assert_eq!(self.client.served(), Some(self.id));
    }

    /// Asks until the node serves: its policy may let a node that came back wait.
    fn until_served(&mut self, since: Instant) -> Duration {
        loop {
            assert!(since.elapsed() < LONG, "the node is not used");
            self.ask(USUAL_MS);
            if self.client.served() == Some(self.id) {
                return since.elapsed();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Asks until the answer is a refusal; how long that took. From then on nothing is sent to the node.
    fn until_refused(&mut self, since: Instant) -> Duration {
        loop {
            assert!(since.elapsed() < LONG, "the node is used for ever");
            self.ask(SHORT_MS);
            if is_error(&self.client.reply(), "BUSY") {
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        let taken = since.elapsed();
        let sent = self.heard.lock().unwrap().len();
        for _ in 0..10 {
            self.ask(SHORT_MS);
            let reply = self.client.reply();
            assert!(is_error(&reply, "BUSY"), "{reply:?}");
        }
        assert_eq!(self.heard.lock().unwrap().len(), sent, "sent to a node that takes nothing new");
        taken
    }
}

/// What discovery has to tell of the one node once it is back.
#[derive(Clone, Copy, Debug)]
enum News {
    Drains,
    Left,
}

impl News {
    fn lines(self, node: SocketAddr) -> Vec<String> {
        match self {
            News::Drains => vec![line(node, "DRAINING", 0)],
            News::Left => Vec::new(),
        }
    }
}

/// Discovery is followed, fails for some calls, and is back behaving as `back`, with news, just after a call that still
/// fails has begun.
fn is_heard_in_time(fault: Behaviour, back: Behaviour, news: News) {
    let (node, heard) = Served::node();
    let agent = Discovery::new(Behaviour::Sound, 2, vec![line(node, "SERVING", 0)]);
    let (_host, address) = host_of(&config(agent.address, &[node]));
    let mut served = Served::new(address, node, heard);
    agent.called(2);
    served.is_served();
    let before = agent.calls();
    agent.becomes(fault);
    agent.called(before + FAILED_AGAIN - 1);
    served.is_served();
    agent.called(before + FAILED_AGAIN);
    agent.has(3, news.lines(served.node));
    let since = agent.becomes(back);
    let taken = served.until_refused(since);
    assert!(taken < TOLD, "{fault:?}, then {back:?}: taken after {taken:?}");
}

#[test]
fn an_agent_that_said_nothing_is_heard_in_time() {
    is_heard_in_time(Behaviour::Silent, Behaviour::Sound, News::Drains);
}

#[test]
fn an_agent_that_said_nothing_after_half_a_head_is_heard_in_time() {
    is_heard_in_time(Behaviour::SilentInHead, Behaviour::Sound, News::Left);
}

#[test]
fn an_agent_that_trickled_is_heard_in_time() {
    is_heard_in_time(Behaviour::Trickling, Behaviour::Sound, News::Drains);
}

#[test]
fn an_agent_that_ended_its_answers_early_is_heard_in_time() {
    for fault in [Behaviour::Closed, Behaviour::ClosedInHead, Behaviour::ResetInHead] {
        is_heard_in_time(fault, Behaviour::Sound, News::Drains);
    }
}

/// Danger: what came of an answer may read like a whole list.
#[test]
fn an_agent_whose_answers_were_cut_off_is_heard_in_time() {
    for fault in [Behaviour::ResetInBody, Behaviour::CutShort] {
        is_heard_in_time(fault, Behaviour::Sound, News::Drains);
    }
}

#[test]
fn an_agent_that_answered_with_errors_is_heard_in_time() {
    for fault in [Behaviour::Status(500), Behaviour::Status(503)] {
        is_heard_in_time(fault, Behaviour::Sound, News::Left);
    }
}

/// Danger: a call after a failed one that may take a short time alone never hears an agent that is slow.
#[test]
fn an_agent_that_failed_and_then_answers_late_is_heard_in_time() {
    is_heard_in_time(Behaviour::ResetInHead, Behaviour::Late(LATE), News::Drains);
}

#[test]
fn an_agent_that_failed_and_then_answers_in_pieces_is_heard_in_time() {
    is_heard_in_time(Behaviour::Status(503), Behaviour::Slow(LATE), News::Drains);
}

/// The worst of both: silent up to the longest call after a failed one, and slow from then on.
#[test]
fn an_agent_that_said_nothing_and_then_answers_late_is_heard_in_time() {
    is_heard_in_time(Behaviour::Silent, Behaviour::Late(LATE), News::Drains);
}

/// Nobody listens at discovery's address when the host starts.
#[test]
fn an_agent_that_refused_connections_is_heard_in_time() {
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    rustix::net::bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).unwrap();
    let listener = TcpListener::from(socket);
    let agent_address = listener.local_addr().unwrap();
    let refused = TcpStream::connect(agent_address).unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    let (node, heard) = Served::node();
    let (_host, address) = host_of(&config(agent_address, &[node]));
    let mut served = Served::new(address, node, heard);
    for _ in 0..10 {
        served.is_served();
        std::thread::sleep(Duration::from_millis(60));
    }
    let since = Instant::now();
    rustix::net::listen(&listener, 64).unwrap();
    let _agent = Discovery::at(agent_address, listener, Behaviour::Sound, 2, News::Drains.lines(node));
    let taken = served.until_refused(since);
    assert!(taken < TOLD, "taken after {taken:?}");
}

/// An agent that answered every watch, until one stays open with no word while a new call would be told of a change.
#[test]
fn a_watch_that_falls_silent_late_is_opened_anew_in_time() {
    let agent = Agent::new();
    let (node, heard) = Served::node();
    let (_host, address) = host_of(&config(agent.address, &[node]));
    let mut served = Served::new(address, node, heard);
    agent.tell(&list(2, true, &[line(node, "SERVING", 0)]));
    for _ in 0..10 {
        let path = agent.tell(&list(2, false, &[]));
        assert!(path.contains("since=2&"), "{path}");
        served.is_served();
    }
    let (path, silent) = agent.call();
    assert!(path.contains("since=2&"), "{path}");
    let since = Instant::now();
    let asked = std::thread::spawn(move || {
        let path = agent.tell(&list(3, false, &[line(node, "DRAINING", 0)]));
        (agent, path)
    });
    let taken = served.until_refused(since);
    assert!(taken < TOLD, "taken after {taken:?}");
    let (agent, path) = asked.join().unwrap();
    assert!(path.contains("since=2&"), "{path}");
    // Given up, and answered after all: what it says counts for nothing.
    answer(silent, &list(9, true, &[line(node, "SERVING", 0)]));
    let (path, _held) = agent.call();
    assert!(path.contains("since=3&"), "{path}");
    served.ask(SHORT_MS);
    assert!(is_error(&served.client.reply(), "BUSY"));
}

/// A new address counts though a connection to the old one is still on its way, and never comes up.
#[test]
fn a_new_address_is_called_in_time_while_a_connection_to_the_old_one_hangs() {
    let mut old = LateNode::new();
    old.hold_up();
    let (node, heard) = Served::node();
    let (host, address) = host_of(&config(old.address(), &[node]));
    let mut served = Served::new(address, node, heard);
    served.is_served();
    let new = Discovery::new(Behaviour::Sound, 2, News::Left.lines(node));
    let since = Instant::now();
    host.set_discovery_address(new.address);
    let taken = served.until_refused(since);
    assert!(taken < TOLD, "taken after {taken:?}");
}

/// Danger: an agent that answers all calls at once, with nothing new in the whole list, makes its host call without a pause.
#[test]
fn whole_lists_back_to_back_are_taken_at_a_bounded_pace_and_harm_no_open_request() {
    let slow = Duration::from_millis(1_500);
    let (node, _) = node(move |_, c| Reaction::Later(slow, value(c)));
    let (other, heard) = Served::node();
    let agent = Discovery::new(Behaviour::AlwaysWhole, 2, vec![line(node, "SERVING", 0)]);
    let (_host, address) = host_of(&config(agent.address, &[node]));
    let mut open = Client::connect(address);
    open.read_of(1, 0, 3_000);
    agent.called(2);
    let (before, since) = (agent.calls(), Instant::now());
    assert_eq!(open.served(), Some(1), "the lists came while it was open");
    let calls = agent.calls() - before;
    let most = 1 + since.elapsed().as_millis() / 10;
    assert!(calls >= 2, "{calls} calls");
    assert!((calls as u128) < most, "{calls} calls in {:?}", since.elapsed());
    // Each change counts, and who is missing has left.
    let since = agent.has(3, vec![line(other, "SERVING", 0)]);
    let mut served = Served::new(address, other, heard);
    assert!(served.until_served(since) < TOLD);
    let since = agent.has(4, News::Drains.lines(other));
    assert!(served.until_refused(since) < TOLD);
    // Started anew: the module takes a node that drained for one that does until then.
    let since = agent.has(5, vec![line(other, "SERVING", 1)]);
    assert!(served.until_served(since) < TOLD);
    let since = agent.has(6, Vec::new());
    assert!(served.until_refused(since) < TOLD);
}
