//! Clients that connect, send nothing, and connect again when the program closes them.

use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval at which closed connections are found and replaced.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for one connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A fixed number of idle clients on a thread of their own; all disconnect when this is dropped.
pub struct IdleClients {
    state: Arc<State>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct State {
    is_stopped: AtomicBool,
    /// Open connections, including those in the accept queue.
    open: AtomicUsize,
    /// Connections made since the start.
    total: AtomicUsize,
}

impl IdleClients {
    pub fn start(address: SocketAddr, size: usize) -> IdleClients {
        let state = Arc::new(State::default());
        let shared = state.clone();
        let thread = std::thread::spawn(move || {
            let mut streams: Vec<TcpStream> = Vec::new();
            while !shared.is_stopped.load(Ordering::SeqCst) {
                streams.retain(is_open);
                while streams.len() < size && !shared.is_stopped.load(Ordering::SeqCst) {
                    let Ok(stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { break };
                    stream.set_nonblocking(true).unwrap();
                    streams.push(stream);
                    shared.total.fetch_add(1, Ordering::SeqCst);
                }
                shared.open.store(streams.len(), Ordering::SeqCst);
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        IdleClients { state, thread: Some(thread) }
    }

    pub fn open_count(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    pub fn total_count(&self) -> usize {
        self.state.total.load(Ordering::SeqCst)
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let mut stream = stream;
    matches!(stream.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}
