//! A fake discovery server whose response to each request a test chooses, and may change while it runs.

use super::{test_address, TIMEOUT};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What happens to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiscoveryBehavior {
    /// The request is read and never answered, not even after the behavior changes.
    NoResponse,
    /// After a delay, the response is a list with this sequence number.
    Responds(Duration, u64, String),
    /// The connection is reset.
    Resets,
}

/// Whether the address accepts connections.
#[derive(Debug)]
enum SocketState {
    /// The socket is bound, so that no other process gets the address, but does not listen: connections are
    /// refused.
    Bound(Option<TcpListener>),
    Listening,
}

/// The behavior, and the signal that it has changed.
type SharedBehavior = Arc<(Mutex<DiscoveryBehavior>, Condvar)>;

/// A fake discovery server.
pub struct FakeDiscovery {
    pub address: SocketAddr,
    behavior: SharedBehavior,
    socket: SocketState,
}

impl FakeDiscovery {
    /// Starts a server that accepts connections.
    pub fn start(behavior: DiscoveryBehavior) -> FakeDiscovery {
        let listener = TcpListener::bind(test_address()).unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new((Mutex::new(behavior), Condvar::new()));
        serve(listener, behavior.clone());
        FakeDiscovery { address, behavior, socket: SocketState::Listening }
    }

    /// Reserves an address that refuses connections until [`Self::set_behavior`] is called.
    pub fn start_refusing() -> FakeDiscovery {
        let (family, kind) = (AddressFamily::INET, SocketType::STREAM);
        let socket = rustix::net::socket_with(family, kind, SocketFlags::CLOEXEC, None).unwrap();
        rustix::net::bind(&socket, &test_address()).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new((Mutex::new(DiscoveryBehavior::NoResponse), Condvar::new()));
        FakeDiscovery { address, behavior, socket: SocketState::Bound(Some(listener)) }
    }

    /// Sets the behavior of later requests, wakes watches, and starts to listen if connections were refused.
    pub fn set_behavior(&mut self, behavior: DiscoveryBehavior) {
        *self.behavior.0.lock().unwrap() = behavior;
        self.behavior.1.notify_all();
        if let SocketState::Bound(listener) = &mut self.socket {
            if let Some(listener) = listener.take() {
                rustix::net::listen(&listener, 64).unwrap();
                serve(listener, self.behavior.clone());
            }
            self.socket = SocketState::Listening;
        }
    }
}

fn serve(listener: TcpListener, behavior: SharedBehavior) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behavior = behavior.clone();
            std::thread::spawn(move || handle_request(stream, &behavior));
        }
    });
}

/// Reads a request's head and returns its path.
fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = stream.read(&mut buffer).ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_owned)
}

fn handle_request(mut stream: TcpStream, behavior: &SharedBehavior) {
    let Some(path) = read_path(&mut stream) else { return };
    let current = behavior.0.lock().unwrap().clone();
    match current {
        // Holds the connection until the client closes it.
        DiscoveryBehavior::NoResponse => {
            let _ = stream.read(&mut [0; 1]);
        }
        DiscoveryBehavior::Resets => {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
        }
        DiscoveryBehavior::Responds(delay, seq, list) => {
            std::thread::sleep(delay);
            let body = if path.contains(&format!("since={seq}&")) {
                wait_for_change(behavior, &DiscoveryBehavior::Responds(delay, seq, list), &path);
                format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#)
            } else {
                list
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), body.as_bytes()].concat());
        }
    }
}

/// Blocks a watch until the behavior changes, at most for the time-out in its path.
fn wait_for_change(behavior: &SharedBehavior, known: &DiscoveryBehavior, path: &str) {
    let timeout = path
        .split("timeout_ms=")
        .nth(1)
        .and_then(|ms| ms.parse().ok())
        .map_or(TIMEOUT, Duration::from_millis);
    let end = Instant::now() + timeout.min(TIMEOUT);
    let mut current = behavior.0.lock().unwrap();
    while *current == *known {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        current = behavior.1.wait_timeout(current, left).unwrap().0;
    }
}
