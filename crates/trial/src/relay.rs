//! A link from one host to one voter, which can be broken in all ways that a link breaks.
//!
//! It knows of the talk only where messages begin and end: four bytes of length, four of checksum, the body.

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
    /// From whoever dialed.
    FromDialer,
    /// Back to whoever dialed.
    ToDialer,
}

/// What is wrong with one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Nothing passes; what was said waits, as in a sender's buffer, and comes late.
    pub cut: bool,
    /// Each message takes so much longer.
    pub delay: Duration,
    /// Part of the messages that is lost.
    pub lost: f64,
    /// Messages come once more, so much later.
    pub repeat: Duration,
    /// Bytes come one by one.
    pub trickle: bool,
}

/// Messages of a direction that may come again at the most.
const KEPT: usize = 64;
/// Longest message that this relay carries, bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Bytes of a message before its body.
const HEADER_BYTES: usize = 8;
/// How often a direction that stands still looks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long one read waits for a message.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
/// How long a connection to the other end may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Of bytes that come one by one, one in so many is followed by a pause.
const TRICKLE_PAUSE_ONE_IN: u32 = 16;
/// That pause.
const TRICKLE_PAUSE: Duration = Duration::from_millis(1);

struct Inner {
    there: SocketAddr,
    /// Faults by direction.
    faults: [Mutex<LinkFault>; 2],
    /// Every pair of sockets that is up; broken on purpose in the middle of the next message.
    pairs: Mutex<Vec<Arc<Pair>>>,
    over: AtomicBool,
    seed: u64,
}

struct Pair {
    sockets: [TcpStream; 2],
    /// The next message breaks off in its middle, and the connection with it.
    breaks: AtomicBool,
}

/// A relay that listens at an address of its own. Dropping it ends it and all that goes through it.
pub struct Relay {
    inner: Arc<Inner>,
    address: SocketAddr,
}

impl Relay {
    /// Begins to carry from an address of loopback to another.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn start(there: SocketAddr, seed: u64) -> io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let over = AtomicBool::new(false);
        let inner =
            Arc::new(Inner { there, faults: Default::default(), pairs: Mutex::default(), over, seed });
        let accepting = inner.clone();
        spawn_small_stack("relay", move || {
            for socket in listener.incoming() {
                if accepting.over.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(socket) = socket {
                    accepting.carry(socket);
                }
            }
        })?;
        Ok(Relay { inner, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what is wrong with a direction.
    pub fn change_fault(&self, direction: Direction, change: impl Fn(&mut LinkFault)) {
        change(&mut lock(&self.inner.faults[direction as usize]));
    }

    /// Breaks all connections in the middle of their next message.
    pub fn reset(&self) {
        lock(&self.inner.pairs).iter().for_each(|p| p.breaks.store(true, Ordering::SeqCst));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.inner.over.store(true, Ordering::SeqCst);
        lock(&self.inner.pairs).iter().for_each(|p| p.shut());
        // Ends the thread that accepts.
        let _ = TcpStream::connect(self.address);
    }
}

impl Pair {
    fn shut(&self) {
        self.sockets.iter().for_each(|s| drop(s.shutdown(Shutdown::Both)));
    }
}

impl Inner {
    fn carry(self: &Arc<Self>, here: TcpStream) {
        // A link that is cut takes no new connections either; whoever dials waits or gives up.
        let Ok(there) = TcpStream::connect_timeout(&self.there, CONNECT_TIMEOUT) else { return };
        let _ = (here.set_nodelay(true), there.set_nodelay(true));
        let (Ok(a), Ok(b)) = (here.try_clone(), there.try_clone()) else { return };
        let pair = Arc::new(Pair { sockets: [a, b], breaks: AtomicBool::new(false) });
        lock(&self.pairs).push(pair.clone());
        let (Ok(a), Ok(b)) = (here.try_clone(), there.try_clone()) else { return pair.shut() };
        for (direction, from, to) in [(Direction::FromDialer, here, b), (Direction::ToDialer, there, a)] {
            let mut forwarder = Forwarder {
                inner: self.clone(),
                pair: pair.clone(),
                direction,
                from,
                to,
                draws: Pcg64Mcg::new(u128::from(self.seed) << 1 | direction as u128 | 1),
                repeats: VecDeque::new(),
            };
            let spawned = spawn_small_stack("relay-side", move || {
                let _ = forwarder.run();
                forwarder.pair.shut();
                lock(&forwarder.inner.pairs).retain(|p| !Arc::ptr_eq(p, &forwarder.pair));
            });
            if spawned.is_err() {
                return pair.shut();
            }
        }
    }
}

/// Carries one direction of one connection, a message at a time.
struct Forwarder {
    inner: Arc<Inner>,
    pair: Arc<Pair>,
    direction: Direction,
    from: TcpStream,
    to: TcpStream,
    draws: Pcg64Mcg,
    /// Messages that come once more, and when.
    repeats: VecDeque<(Instant, Vec<u8>)>,
}

impl Forwarder {
    fn is_over(&self) -> bool {
        self.inner.over.load(Ordering::SeqCst)
    }

    fn fault(&self) -> LinkFault {
        *lock(&self.inner.faults[self.direction as usize])
    }

    /// Carries messages until the relay is over or the connection ends.
    fn run(&mut self) -> io::Result<()> {
        self.from.set_read_timeout(Some(READ_TIMEOUT))?;
        let mut head = Vec::new();
        while !self.is_over() {
            if self.fault().cut {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            self.send_repeats()?;
            let Some(message) = read_message(&mut self.from, &mut head, &self.inner.over)? else { continue };
            self.wait_out_fault();
            if self.pair.breaks.swap(false, Ordering::SeqCst) {
                return self.to.write_all(&message[..message.len() / 2]);
            }
            self.forward(message)?;
        }
        Ok(())
    }

    /// A number in [0, 1).
    fn draw(&mut self) -> f64 {
        f64::from(self.draws.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn send_repeats(&mut self) -> io::Result<()> {
        while self.repeats.front().is_some_and(|(at, _)| *at <= Instant::now()) {
            let Some((_, message)) = self.repeats.pop_front() else { break };
            self.to.write_all(&message)?;
        }
        Ok(())
    }

    /// Waits until a message may go on. The link may have been cut while the message was waited for.
    fn wait_out_fault(&self) {
        let due = Instant::now() + self.fault().delay;
        while (Instant::now() < due || self.fault().cut) && !self.is_over() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn forward(&mut self, message: Vec<u8>) -> io::Result<()> {
        let fault = self.fault();
        if fault.lost > 0.0 && self.draw() < fault.lost {
            return Ok(());
        }
        if fault.trickle {
            self.trickle(&message)?;
        } else {
            self.to.write_all(&message)?;
        }
        if fault.repeat > Duration::ZERO && self.repeats.len() < KEPT {
            self.repeats.push_back((Instant::now() + fault.repeat, message));
        }
        Ok(())
    }

    fn trickle(&mut self, message: &[u8]) -> io::Result<()> {
        for byte in message {
            self.to.write_all(std::slice::from_ref(byte))?;
            if self.draws.next_u32().is_multiple_of(TRICKLE_PAUSE_ONE_IN) {
                std::thread::sleep(TRICKLE_PAUSE);
            }
        }
        Ok(())
    }
}

/// The next message, whole; none where nothing came for a moment.
fn read_message(from: &mut TcpStream, head: &mut Vec<u8>, over: &AtomicBool) -> io::Result<Option<Vec<u8>>> {
    loop {
        let length = head.get(..4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let wanted = HEADER_BYTES + length.map_or(0, |l| l as usize);
        if wanted > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if length.is_some() && head.len() >= wanted {
            return Ok(Some(std::mem::take(head)));
        }
        let had = head.len();
        head.resize(wanted, 0);
        match from.read(&mut head[had..]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => head.truncate(had + n),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                head.truncate(had);
                if over.load(Ordering::SeqCst) || had == 0 {
                    return Ok(None);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => head.truncate(had),
            Err(e) => return Err(e),
        }
    }
}
