//! Clients that connect, say nothing, and come again when they are closed.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two looks at all of them.
const LOOK: Duration = Duration::from_millis(100);
/// Longest wait for one connection to come up.
const CONNECT: Duration = Duration::from_millis(500);

/// The crowd; it leaves with its value.
pub struct Crowd {
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct State {
    over: AtomicBool,
    /// Connections that are up, those in the accept queue included.
    up: AtomicUsize,
    /// Connections that were ever made.
    made: AtomicUsize,
}

impl Crowd {
    pub fn start(address: SocketAddr, size: usize) -> Crowd {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            let mut streams: Vec<TcpStream> = Vec::new();
            while !shared.over.load(Ordering::SeqCst) {
                streams.retain(is_open);
                while streams.len() < size && !shared.over.load(Ordering::SeqCst) {
                    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT) else { break };
                    stream.set_nonblocking(true).unwrap();
                    streams.push(stream);
                    shared.made.fetch_add(1, Ordering::SeqCst);
                }
                shared.up.store(streams.len(), Ordering::SeqCst);
                std::thread::sleep(LOOK);
            }
        });
        Crowd { state, thread: Some(thread) }
    }

    pub fn up(&self) -> usize {
        self.state.up.load(Ordering::SeqCst)
    }

    pub fn made(&self) -> usize {
        self.state.made.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.state.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    matches!(stream.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}
