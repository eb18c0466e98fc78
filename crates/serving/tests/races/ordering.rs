//! What forces the order of two events: gates, a host held at a point, nodes and agents that answer by hand.

use pearfork_platform::config::Config;
use pearfork_serving::{Point, Service};
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size, set_socket_send_buffer_size};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Longest wait of a test for what has to come.
pub const LONG: Duration = Duration::from_secs(10);

/// Shut or open; whoever comes by waits while it is shut.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<(bool, usize)>, Condvar)>);

impl Gate {
    pub fn shut(&self) {
        self.0 .0.lock().unwrap().0 = true;
    }

    pub fn open(&self) {
        self.0 .0.lock().unwrap().0 = false;
        self.0 .1.notify_all();
    }

    /// Waits at it. A test that failed must not leave a thread here for ever.
    pub fn pass(&self) {
        let mut state = self.0 .0.lock().unwrap();
        state.1 += 1;
        self.0 .1.notify_all();
        while state.0 {
            let (next, waited) = self.0 .1.wait_timeout(state, LONG * 3).unwrap();
            state = next;
            if waited.timed_out() {
                break;
            }
        }
        state.1 -= 1;
    }

    /// Waits until somebody waits at it.
    pub fn held(&self) {
        let state = self.0 .0.lock().unwrap();
        let (state, _) = self.0 .1.wait_timeout_while(state, LONG, |s| s.1 == 0).unwrap();
        assert!(state.1 > 0, "nobody came to the gate");
    }
}

/// A host that waits at a gate whenever it comes to a point.
pub fn host_held(config: &serde_json::Value, at: Point) -> (Service, SocketAddr, Gate) {
    let gate = Gate::default();
    let held = gate.clone();
    let hold = Arc::new(move |point| {
        if point == at {
            held.pass();
        }
    });
    let host = Service::start_held(Config::parse(config.to_string().as_bytes()).unwrap(), hold).unwrap();
    let address = host.address().unwrap();
    (host, address, gate)
}

/// A host whose connections to nodes hold a few thousand bytes that their nodes have not taken; the rest waits in its
/// write buffers.
pub fn host_with_small_buffers(config: &serde_json::Value) -> (Service, SocketAddr) {
    let prepare = Arc::new(|stream: &TcpStream| set_socket_send_buffer_size(stream, 4 * 1024).unwrap());
    let config = Config::parse(config.to_string().as_bytes()).unwrap();
    let host = Service::start_prepared(config, prepare).unwrap();
    let address = host.address().unwrap();
    (host, address)
}

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It closes its connection.
    Close,
    /// It ends its sending side and goes on reading.
    EndSending,
    /// Its connection is reset.
    Reset,
}

impl Departure {
    pub const ALL: [Departure; 3] = [Departure::Close, Departure::EndSending, Departure::Reset];

    /// Leaves; what is left of the connection, which stays open until it is dropped.
    pub fn leave(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Departure::Close => drop(stream),
            Departure::EndSending => {
                stream.shutdown(Shutdown::Write).unwrap();
                return Some(stream);
            }
            Departure::Reset => reset(stream),
        }
        None
    }
}

/// A node to which connections come up only when the test lets them.
pub struct LateNode {
    listener: TcpListener,
    filling: Vec<TcpStream>,
}

impl LateNode {
    pub fn new() -> LateNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        LateNode { listener, filling: Vec::new() }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Its connections take a few thousand bytes until they are read.
    pub fn small_window(&self) {
        set_socket_recv_buffer_size(&self.listener, 4 * 1024).unwrap();
    }

    /// The next connection that came up, unless it is one that fills the queue. Danger: a wait without an end holds up all tests.
    pub fn accept(&self) -> TcpStream {
        let ours: Vec<SocketAddr> = self.filling.iter().map(|s| s.local_addr().unwrap()).collect();
        let end = Instant::now() + LONG;
        self.listener.set_nonblocking(true).unwrap();
        loop {
            match self.listener.accept() {
                Ok((stream, from)) if !ours.contains(&from) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(LONG)).unwrap();
                    return stream;
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    assert!(Instant::now() < end, "no connection comes up");
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// From now on the system drops attempts to connect; whoever makes one goes on trying, each second or so.
    pub fn hold_up(&mut self) {
        rustix::net::listen(&self.listener, 0).unwrap();
        loop {
            match TcpStream::connect_timeout(&self.address(), Duration::from_millis(150)) {
                Ok(stream) => self.filling.push(stream),
                Err(e) => {
                    assert!(matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock), "{e}");
                    return;
                }
            }
            assert!(self.filling.len() < 64, "the queue does not fill");
        }
    }

    /// Connections come up again.
    pub fn let_up(&self) {
        rustix::net::listen(&self.listener, 64).unwrap();
    }
}

/// Reads up to the end of a command's list, whatever follows; what was read.
pub fn read_command(stream: &mut TcpStream) -> Vec<u8> {
    let mut got = Vec::new();
    let mut piece = [0; 4096];
    while !got.windows(6).any(|w| w == b"hosts=") || !got.ends_with(b"\r\n") {
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "the connection ends within a command");
        got.extend_from_slice(&piece[..n]);
    }
    got
}

/// Nothing comes on a connection within a while, or it ends.
pub fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    match stream.read(&mut [0; 64]) {
        Ok(n) => n == 0,
        Err(e) => {
            matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::ConnectionReset)
        }
    }
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Discovery whose every answer a test gives.
pub struct Agent {
    pub address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl Agent {
    pub fn new() -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (to, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut head = Vec::new();
                let mut piece = [0; 1024];
                while !head.windows(4).any(|w| w == b"\r\n\r\n") {
                    match stream.read(&mut piece) {
                        Ok(n @ 1..) => head.extend_from_slice(&piece[..n]),
                        _ => break,
                    }
                }
                let line = String::from_utf8_lossy(&head);
                let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                if to.send((path, stream)).is_err() {
                    return;
                }
            }
        });
        Agent { address, calls }
    }

    /// The next call: its path, and where it is to be answered.
    pub fn call(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(LONG).expect("discovery is not called")
    }

    /// Answers the next call whole; its path.
    pub fn tell(&self, list: &str) -> String {
        let (path, stream) = self.call();
        answer(stream, list);
        path
    }
}

/// Answers a call whole.
pub fn answer(mut stream: TcpStream, list: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    let _ = stream.write_all(&[head.as_bytes(), list.as_bytes()].concat());
}

/// A line of a list: a node of shard 0.
pub fn line(dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"s-{dial}","dial":"{dial}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
    )
}

/// A list.
pub fn list(seq: u64, whole: bool, lines: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, lines.join(","))
}

/// Reads to the end of a connection; whether that was an orderly one.
pub fn ends_in_order(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(LONG)).unwrap();
    let end = Instant::now() + LONG;
    let mut piece = [0; 4096];
    while Instant::now() < end {
        match stream.read(&mut piece) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    false
}
