//! A link from one host to one voter, which can be broken in all ways that a link breaks.
//!
//! It knows of the talk only where messages begin and end: four bytes of length, four of checksum, the body.

use pearfork_net::{lock, spawn_small};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What ails one direction of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ail {
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
/// A message that this relay carries at the most.
const LONGEST: usize = 64 << 20;
/// How often a direction that stands still looks whether it may go on.
const LOOK: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Side {
    ail: Mutex<Ail>,
}

struct Inner {
    there: SocketAddr,
    /// From whoever dialled, and back.
    sides: [Side; 2],
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
        let sides = [Side::default(), Side::default()];
        let over = AtomicBool::new(false);
        let inner = Arc::new(Inner { there, sides, pairs: Mutex::default(), over, seed });
        let accepting = inner.clone();
        spawn_small("relay", move || {
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

    /// Changes what ails a direction: 0 from whoever dials, 1 back to it.
    pub fn ail(&self, side: usize, change: impl Fn(&mut Ail)) {
        change(&mut lock(&self.inner.sides[side & 1].ail));
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
        let Ok(there) = TcpStream::connect_timeout(&self.there, Duration::from_millis(500)) else {
            return;
        };
        let _ = (here.set_nodelay(true), there.set_nodelay(true));
        let (Ok(a), Ok(b)) = (here.try_clone(), there.try_clone()) else { return };
        let pair = Arc::new(Pair { sockets: [a, b], breaks: AtomicBool::new(false) });
        lock(&self.pairs).push(pair.clone());
        let (Ok(a), Ok(b)) = (here.try_clone(), there.try_clone()) else { return pair.shut() };
        for (side, from, to) in [(0, here, b), (1, there, a)] {
            let (inner, own) = (self.clone(), pair.clone());
            let draws = Pcg64Mcg::new(u128::from(self.seed) << 1 | side as u128 | 1);
            let spawned = spawn_small("relay-side", move || {
                let _ = inner.pass(side, from, to, &own, draws);
                own.shut();
                lock(&inner.pairs).retain(|p| !Arc::ptr_eq(p, &own));
            });
            if spawned.is_err() {
                return pair.shut();
            }
        }
    }

    fn pass(
        &self,
        side: usize,
        mut from: TcpStream,
        mut to: TcpStream,
        pair: &Pair,
        mut draws: Pcg64Mcg,
    ) -> io::Result<()> {
        // Each direction has two ends: what was read and what may be written now, a message at a time.
        let mut again: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        from.set_read_timeout(Some(Duration::from_millis(20)))?;
        let mut head = Vec::new();
        loop {
            if self.over.load(Ordering::SeqCst) {
                return Ok(());
            }
            let ail = || *lock(&self.sides[side].ail);
            if ail().cut {
                std::thread::sleep(LOOK);
                continue;
            }
            while again.front().is_some_and(|(at, _)| *at <= Instant::now()) {
                let Some((_, message)) = again.pop_front() else { break };
                to.write_all(&message)?;
            }
            let Some(message) = read_message(&mut from, &mut head, &self.over)? else { continue };
            // It may have been waited for while the link was well.
            let due = Instant::now() + ail().delay;
            while Instant::now() < due || ail().cut {
                if self.over.load(Ordering::SeqCst) {
                    return Ok(());
                }
                std::thread::sleep(LOOK);
            }
            let ail = ail();
            if pair.breaks.swap(false, Ordering::SeqCst) {
                to.write_all(&message[..message.len() / 2])?;
                return Ok(());
            }
            if ail.lost > 0.0 && f64::from(draws.next_u32()) / 4_294_967_296.0 < ail.lost {
                continue;
            }
            if ail.trickle {
                for byte in &message {
                    to.write_all(std::slice::from_ref(byte))?;
                    if draws.next_u32().is_multiple_of(16) {
                        std::thread::sleep(Duration::from_millis(1));
                    }
                }
            } else {
                to.write_all(&message)?;
            }
            if ail.repeat > Duration::ZERO && again.len() < KEPT {
                again.push_back((Instant::now() + ail.repeat, message));
            }
        }
    }
}

/// The next message, whole; none where nothing came for a moment.
fn read_message(from: &mut TcpStream, head: &mut Vec<u8>, over: &AtomicBool) -> io::Result<Option<Vec<u8>>> {
    loop {
        let length = head.get(..4).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
        let wanted = length.map_or(8, |l| 8 + l as usize);
        if wanted > LONGEST {
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

#[cfg(test)]
mod tests {
    use super::*;

    fn message(body: &[u8]) -> Vec<u8> {
        let mut m = (body.len() as u32).to_be_bytes().to_vec();
        m.extend([0; 4]);
        m.extend(body);
        m
    }

    fn through() -> (Relay, TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay::start(listener.local_addr().unwrap(), 3).unwrap();
        let here = TcpStream::connect(relay.address()).unwrap();
        let there = listener.accept().unwrap().0;
        there.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
        (relay, here, there)
    }

    fn comes(there: &mut TcpStream, length: usize) -> bool {
        there.read_exact(&mut vec![0; length]).is_ok()
    }

    #[test]
    fn messages_pass_wait_at_a_cut_come_again_and_break_off() {
        let (relay, mut here, mut there) = through();
        let m = message(b"hello");
        here.write_all(&m).unwrap();
        assert!(comes(&mut there, m.len()));
        relay.ail(0, |a| a.cut = true);
        // The one that the relay was about to read still passes in some cases; from then on nothing does.
        std::thread::sleep(Duration::from_millis(60));
        here.write_all(&m).unwrap();
        assert!(!comes(&mut there, m.len()), "cut");
        relay.ail(0, |a| a.cut = false);
        assert!(comes(&mut there, m.len()), "late, but whole");
        relay.ail(0, |a| a.repeat = Duration::from_millis(50));
        here.write_all(&m).unwrap();
        assert!(comes(&mut there, 2 * m.len()), "twice");
        relay.ail(0, |a| (a.repeat, a.lost) = (Duration::ZERO, 1.0));
        here.write_all(&m).unwrap();
        assert!(!comes(&mut there, 1), "lost");
        relay.ail(0, |a| *a = Ail { trickle: true, ..Ail::default() });
        here.write_all(&m).unwrap();
        assert!(comes(&mut there, m.len()), "byte by byte");
        relay.reset();
        here.write_all(&m).unwrap();
        let mut rest = Vec::new();
        let _ = there.read_to_end(&mut rest);
        assert_eq!(rest.len(), m.len() / 2);
    }
}
