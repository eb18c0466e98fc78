//! Discovery that does on each call what a test says, and that may be moved from one behaviour to another.

use super::{own_address, LONG};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It is taken and never answered; one that is under way when the manner changes neither.
    Silent,
    /// It is answered with the list, after a while.
    Answers(Duration, u64, String),
    /// Its connection is reset.
    Resets,
}

/// Whether the address takes connections.
#[derive(Debug)]
enum Socket {
    /// Bound, so that nobody else has the address, and refused.
    Refuses(Option<TcpListener>),
    Listens,
}

type Shared = Arc<(Mutex<Manner>, Condvar)>;

/// Discovery at an address.
pub struct Agent {
    pub address: SocketAddr,
    manner: Shared,
    socket: Socket,
}

impl Agent {
    /// Takes calls.
    pub fn start(manner: Manner) -> Agent {
        let listener = TcpListener::bind(own_address()).unwrap();
        let address = listener.local_addr().unwrap();
        let manner = Arc::new((Mutex::new(manner), Condvar::new()));
        serve(listener, manner.clone());
        Agent { address, manner, socket: Socket::Listens }
    }

    /// Refuses connections until it is told a manner.
    pub fn refused() -> Agent {
        let (family, kind) = (AddressFamily::INET, SocketType::STREAM);
        let socket = rustix::net::socket_with(family, kind, SocketFlags::CLOEXEC, None).unwrap();
        rustix::net::bind(&socket, &own_address()).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let manner = Arc::new((Mutex::new(Manner::Silent), Condvar::new()));
        Agent { address, manner, socket: Socket::Refuses(Some(listener)) }
    }

    /// From now on calls go so.
    pub fn becomes(&mut self, manner: Manner) {
        *self.manner.0.lock().unwrap() = manner;
        self.manner.1.notify_all();
        if let Socket::Refuses(listener) = &mut self.socket {
            if let Some(listener) = listener.take() {
                rustix::net::listen(&listener, 64).unwrap();
                serve(listener, self.manner.clone());
            }
            self.socket = Socket::Listens;
        }
    }
}

fn serve(listener: TcpListener, manner: Shared) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let manner = manner.clone();
            std::thread::spawn(move || call(stream, &manner));
        }
    });
}

/// The path of a call.
fn path_of(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut piece = [0; 1024];
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let n = stream.read(&mut piece).ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&piece[..n]);
    }
    String::from_utf8_lossy(&head).split(' ').nth(1).map(str::to_owned)
}

fn call(mut stream: TcpStream, manner: &Shared) {
    let Some(path) = path_of(&mut stream) else { return };
    let now = manner.0.lock().unwrap().clone();
    match now {
        // What came while it was silent is never answered.
        Manner::Silent => {
            let _ = stream.read(&mut [0; 1]);
        }
        Manner::Resets => {
            let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
        }
        Manner::Answers(after, seq, list) => {
            std::thread::sleep(after);
            let body = if path.contains(&format!("since={seq}&")) {
                waits(manner, &Manner::Answers(after, seq, list), &path);
                format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#)
            } else {
                list
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let _ = stream.write_all(&[head.as_bytes(), body.as_bytes()].concat());
        }
    }
}

/// A watch waits for a change, for as long as it asked to.
fn waits(manner: &Shared, known: &Manner, path: &str) {
    let asked =
        path.split("timeout_ms=").nth(1).and_then(|ms| ms.parse().ok()).map_or(LONG, Duration::from_millis);
    let end = Instant::now() + asked.min(LONG);
    let mut now = manner.0.lock().unwrap();
    while *now == *known {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        now = manner.1.wait_timeout(now, left).unwrap().0;
    }
}
