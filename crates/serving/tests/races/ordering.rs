//! Tools to force the order of two events: gates, hosts that block at a hook, and nodes and discovery agents
//! that the test controls.

use pearfork_platform::config::Config;
use pearfork_serving::{Point, Service};
use rustix::net::sockopt::{set_socket_linger, set_socket_recv_buffer_size, set_socket_send_buffer_size};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Maximum time a test waits for an expected event.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// Blocks threads that pass it while it is closed.
#[derive(Clone, Default)]
pub struct Gate(Arc<(Mutex<(bool, usize)>, Condvar)>);

impl Gate {
    pub fn close(&self) {
        self.0 .0.lock().unwrap().0 = true;
    }

    pub fn open(&self) {
        self.0 .0.lock().unwrap().0 = false;
        self.0 .1.notify_all();
    }

    /// Blocks while the gate is closed, for a limited time so that a failed test does not leave a thread
    /// behind.
    pub fn pass(&self) {
        let mut state = self.0 .0.lock().unwrap();
        state.1 += 1;
        self.0 .1.notify_all();
        while state.0 {
            let (next, waited) = self.0 .1.wait_timeout(state, TIMEOUT * 3).unwrap();
            state = next;
            if waited.timed_out() {
                break;
            }
        }
        state.1 -= 1;
    }

    /// Waits until a thread is blocked at the gate.
    pub fn wait_until_blocked(&self) {
        let state = self.0 .0.lock().unwrap();
        let (state, _) = self.0 .1.wait_timeout_while(state, TIMEOUT, |s| s.1 == 0).unwrap();
        assert!(state.1 > 0, "no thread reached the gate");
    }
}

/// Starts a host that passes a gate whenever it reaches a point.
pub fn start_host_with_gate(config: &serde_json::Value, at: Point) -> (Service, SocketAddr, Gate) {
    let gate = Gate::default();
    let blocking = gate.clone();
    let hook = Arc::new(move |point| {
        if point == at {
            blocking.pass();
        }
    });
    let host =
        Service::start_with_point_hook(Config::parse(config.to_string().as_bytes()).unwrap(), hook).unwrap();
    let address = host.address().unwrap();
    (host, address, gate)
}

/// Starts a host whose connections to nodes have send buffers of a few thousand bytes; the rest waits in its
/// write buffers.
pub fn start_host_with_small_buffers(config: &serde_json::Value) -> (Service, SocketAddr) {
    let hook = Arc::new(|stream: &TcpStream| set_socket_send_buffer_size(stream, 4 * 1024).unwrap());
    let config = Config::parse(config.to_string().as_bytes()).unwrap();
    let host = Service::start_with_connect_hook(config, hook).unwrap();
    let address = host.address().unwrap();
    (host, address)
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// Closes the connection.
    Close,
    /// Shuts down its sending side and keeps reading.
    ShutdownWrite,
    /// Resets the connection.
    Reset,
}

impl Disconnect {
    pub const ALL: [Disconnect; 3] = [Disconnect::Close, Disconnect::ShutdownWrite, Disconnect::Reset];

    /// Disconnects. Returns the connection if it stays open, so that the caller decides when to drop it.
    pub fn apply(self, stream: TcpStream) -> Option<TcpStream> {
        match self {
            Disconnect::Close => drop(stream),
            Disconnect::ShutdownWrite => {
                stream.shutdown(Shutdown::Write).unwrap();
                return Some(stream);
            }
            Disconnect::Reset => reset(stream),
        }
        None
    }
}

/// A node to which connections open only when the test lets them.
pub struct GatedNode {
    listener: TcpListener,
    queue_fillers: Vec<TcpStream>,
}

impl GatedNode {
    pub fn new() -> GatedNode {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        GatedNode { listener, queue_fillers: Vec::new() }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Limits the receive buffers of its connections to a few thousand bytes.
    pub fn limit_receive_buffers(&self) {
        set_socket_recv_buffer_size(&self.listener, 4 * 1024).unwrap();
    }

    /// Accepts the next connection, other than those that fill the queue. Fails after [`LONG`], since a wait
    /// without a limit would block all tests.
    pub fn accept(&self) -> TcpStream {
        let fillers: Vec<SocketAddr> = self.queue_fillers.iter().map(|s| s.local_addr().unwrap()).collect();
        let deadline = Instant::now() + TIMEOUT;
        self.listener.set_nonblocking(true).unwrap();
        loop {
            match self.listener.accept() {
                Ok((stream, from)) if !fillers.contains(&from) => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                    return stream;
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    assert!(Instant::now() < deadline, "no connection was opened");
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// Makes the kernel drop attempts to connect, which are repeated about every second.
    pub fn block_connects(&mut self) {
        rustix::net::listen(&self.listener, 0).unwrap();
        loop {
            match TcpStream::connect_timeout(&self.address(), Duration::from_millis(150)) {
                Ok(stream) => self.queue_fillers.push(stream),
                Err(e) => {
                    assert!(matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock), "{e}");
                    return;
                }
            }
            assert!(self.queue_fillers.len() < 64, "the accept queue does not fill up");
        }
    }

    /// Lets connections open again.
    pub fn allow_connects(&self) {
        rustix::net::listen(&self.listener, 64).unwrap();
    }
}

/// Reads a command up to the end of its attribute list. Returns all data read.
pub fn read_command(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    while !received.windows(6).any(|w| w == b"hosts=") || !received.ends_with(b"\r\n") {
        let n = stream.read(&mut chunk).unwrap();
        assert!(n > 0, "the connection ended within a command");
        received.extend_from_slice(&chunk[..n]);
    }
    received
}

/// Whether a connection stays silent for a while or ends.
pub fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    match stream.read(&mut [0; 64]) {
        Ok(n) => n == 0,
        Err(e) => {
            matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::ConnectionReset)
        }
    }
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Discovery whose every response the test writes.
pub struct ManualAgent {
    pub address: SocketAddr,
    calls: Receiver<(String, TcpStream)>,
}

impl ManualAgent {
    pub fn new() -> ManualAgent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, calls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let mut head = Vec::new();
                let mut chunk = [0; 1024];
                while !head.windows(4).any(|w| w == b"\r\n\r\n") {
                    match stream.read(&mut chunk) {
                        Ok(n @ 1..) => head.extend_from_slice(&chunk[..n]),
                        _ => break,
                    }
                }
                let line = String::from_utf8_lossy(&head);
                let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
                if sender.send((path, stream)).is_err() {
                    return;
                }
            }
        });
        ManualAgent { address, calls }
    }

    /// The next call: its path, and the connection on which to respond.
    pub fn next_call(&self) -> (String, TcpStream) {
        self.calls.recv_timeout(TIMEOUT).expect("discovery was not called")
    }

    /// Responds to the next call with a list. Returns the path of the call.
    pub fn respond(&self, list: &str) -> String {
        let (path, stream) = self.next_call();
        respond_to(stream, list);
        path
    }
}

/// Responds to a call with a list.
pub fn respond_to(mut stream: TcpStream, list: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
    let _ = stream.write_all(&[head.as_bytes(), list.as_bytes()].concat());
}

/// An entry of a node list: a node of shard 0.
pub fn node_entry(address: SocketAddr, health: &str, started_ms: u64) -> String {
    format!(
        r#"{{"host":"s-{address}","dial":"{address}","site":"a","class":"m","block":0,"health":"{health}","share":1.0,"born_ms":{started_ms}}}"#
    )
}

/// A node list.
pub fn node_list(version: u64, is_full: bool, nodes: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{is_full},"hosts":[{}]}}"#, nodes.join(","))
}

/// Reads to the end of a connection. Returns whether it ended without a reset.
pub fn ends_without_reset(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let mut chunk = [0; 4096];
    while Instant::now() < deadline {
        match stream.read(&mut chunk) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
    false
}
