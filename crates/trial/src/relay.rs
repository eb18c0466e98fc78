//! A TCP relay on the link from one host to one voter, with injected faults.
//!
//! The relay knows only the framing of messages: four bytes of length, four of checksum, then the body.

use pearfork_net::{lock, spawn_small_stack};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One of the two directions of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the side that opened the connection.
    FromDialer,
    /// To the side that opened the connection.
    ToDialer,
}

/// The faults of one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Nothing is forwarded. Messages wait, as in a sender's buffer, and are forwarded when the cut ends.
    pub cut: bool,
    /// Delay that is added to each message.
    pub delay: Duration,
    /// Fraction of the messages that is dropped.
    pub drop_fraction: f64,
    /// Each message is sent again after this delay; zero for none.
    pub repeat_delay: Duration,
    /// Bytes are sent one by one.
    pub trickle: bool,
}

/// Maximum number of messages of one direction that wait to be repeated.
const MAX_PENDING_REPEATS: usize = 64;
/// Largest message that the relay forwards, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Bytes of a message before its body.
const HEADER_BYTES: usize = 8;
/// How often a blocked direction checks whether it may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Timeout of one read, after which faults are evaluated again.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// Timeout of a connection attempt to the voter.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// When bytes are sent one by one, on average one in this number is followed by a pause.
const TRICKLE_PAUSE_ONE_IN: u32 = 16;
/// Length of that pause.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

struct Inner {
    upstream: SocketAddr,
    /// Faults by direction.
    faults: [Mutex<LinkFault>; 2],
    /// The connections that are open.
    connections: Mutex<Vec<Arc<RelayedConnection>>>,
    stopped: AtomicBool,
    seed: u64,
}

/// The two sockets of a relayed connection.
struct RelayedConnection {
    sockets: [TcpStream; 2],
    /// Whether to close the connection in the middle of the next message.
    reset_pending: AtomicBool,
}

/// A relay with its own listen address. Dropping it closes all its connections.
pub struct Relay {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Relay {
    /// Starts a relay that listens on loopback and forwards to `upstream`.
    ///
    /// # Errors
    /// No address was available or the thread could not be started.
    pub fn start(upstream: SocketAddr, seed: u64) -> io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let stopped = AtomicBool::new(false);
        let inner = Arc::new(Inner {
            upstream,
            faults: Default::default(),
            connections: Mutex::default(),
            stopped,
            seed,
        });
        let accepting = inner.clone();
        spawn_small_stack("relay", move || {
            for socket in listener.incoming() {
                if accepting.stopped.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(socket) = socket {
                    accepting.relay(socket);
                }
            }
        })?;
        Ok(Relay { inner, address })
    }

    /// The listen address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the faults of one direction.
    pub fn change_fault(&self, direction: Direction, change: impl Fn(&mut LinkFault)) {
        change(&mut lock(&self.inner.faults[direction as usize]));
    }

    /// Closes each open connection in the middle of its next message.
    pub fn reset(&self) {
        lock(&self.inner.connections).iter().for_each(|c| c.reset_pending.store(true, Ordering::SeqCst));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        lock(&self.inner.connections).iter().for_each(|c| c.shutdown());
        // Wakes the accepting thread, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayedConnection {
    fn shutdown(&self) {
        self.sockets.iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

impl Inner {
    fn relay(self: &Arc<Self>, client: TcpStream) {
        // When the voter cannot be reached, the accepted connection is closed, and the host tries again or
        // gives up.
        let Ok(server) = TcpStream::connect_timeout(&self.upstream, CONNECT_TIMEOUT) else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(a), Ok(b)) = (client.try_clone(), server.try_clone()) else { return };
        let connection =
            Arc::new(RelayedConnection { sockets: [a, b], reset_pending: AtomicBool::new(false) });
        lock(&self.connections).push(connection.clone());
        let (Ok(a), Ok(b)) = (client.try_clone(), server.try_clone()) else { return connection.shutdown() };
        for (direction, from, to) in [(Direction::FromDialer, client, b), (Direction::ToDialer, server, a)] {
            let mut forwarder = Forwarder {
                inner: self.clone(),
                connection: connection.clone(),
                direction,
                from,
                to,
                rng: Pcg64Mcg::new(u128::from(self.seed) << 1 | direction as u128 | 1),
                repeats: VecDeque::new(),
            };
            let spawned = spawn_small_stack("relay-side", move || {
                let _ = forwarder.run();
                forwarder.connection.shutdown();
                lock(&forwarder.inner.connections).retain(|c| !Arc::ptr_eq(c, &forwarder.connection));
            });
            if spawned.is_err() {
                return connection.shutdown();
            }
        }
    }
}

/// Forwards one direction of one connection, one message at a time.
struct Forwarder {
    inner: Arc<Inner>,
    connection: Arc<RelayedConnection>,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
    rng: Pcg64Mcg,
    /// Messages to be sent again, and when.
    repeats: VecDeque<(Instant, Vec<u8>)>,
}

impl Forwarder {
    fn is_stopped(&self) -> bool {
        self.inner.stopped.load(Ordering::SeqCst)
    }

    fn fault(&self) -> LinkFault {
        *lock(&self.inner.faults[self.direction as usize])
    }

    /// Forwards messages until the relay is stopped or the connection is closed.
    fn run(&mut self) -> io::Result<()> {
        self.from.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut partial = Vec::new();
        while !self.is_stopped() {
            if self.fault().cut {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            self.send_repeats()?;
            let Some(message) = read_message(&mut self.from, &mut partial, &self.inner.stopped)? else {
                continue;
            };
            self.wait_out_fault();
            if self.connection.reset_pending.swap(false, Ordering::SeqCst) {
                return self.to.write_all(&message[..message.len() / 2]);
            }
            self.forward(message)?;
        }
        Ok(())
    }

    /// Returns a uniform random multiple of 2^-32 in [0, 1).
    fn random_unit(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn send_repeats(&mut self) -> io::Result<()> {
        while self.repeats.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            let Some((_, message)) = self.repeats.pop_front() else { break };
            self.to.write_all(&message)?;
        }
        Ok(())
    }

    /// Waits for the delay and for the end of a cut, which may have begun while the message was being read.
    fn wait_out_fault(&self) {
        let due = Instant::now() + self.fault().delay;
        while (Instant::now() < due || self.fault().cut) && !self.is_stopped() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn forward(&mut self, message: Vec<u8>) -> io::Result<()> {
        let fault = self.fault();
        if fault.drop_fraction > 0.0 && self.random_unit() < fault.drop_fraction {
            return Ok(());
        }
        if fault.trickle {
            self.trickle(&message)?;
        } else {
            self.to.write_all(&message)?;
        }
        if fault.repeat_delay > Duration::ZERO && self.repeats.len() < MAX_PENDING_REPEATS {
            self.repeats.push_back((Instant::now() + fault.repeat_delay, message));
        }
        Ok(())
    }

    fn trickle(&mut self, message: &[u8]) -> io::Result<()> {
        for byte in message {
            self.to.write_all(std::slice::from_ref(byte))?;
            if self.rng.next_u32().is_multiple_of(TRICKLE_PAUSE_ONE_IN) {
                std::thread::sleep(TRICKLE_PAUSE);
            }
        }
        Ok(())
    }
}

/// Returns the next complete message. `partial` holds the part of it that was received so far. `None` if the
/// read timed out before a message began, or the relay was stopped.
fn read_message(
    from: &mut TcpStream,
    partial: &mut Vec<u8>,
    stopped: &AtomicBool,
) -> io::Result<Option<Vec<u8>>> {
    loop {
        let length = partial.get(..4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let expected = HEADER_BYTES + length.map_or(0, |l| l as usize);
        if expected > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if length.is_some() && partial.len() >= expected {
            return Ok(Some(std::mem::take(partial)));
        }
        let received = partial.len();
        partial.resize(expected, 0);
        match from.read(&mut partial[received..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => partial.truncate(received + n),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                partial.truncate(received);
                if stopped.load(Ordering::SeqCst) || received == 0 {
                    return Ok(None);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => partial.truncate(received),
            Err(e) => return Err(e),
        }
    }
}
