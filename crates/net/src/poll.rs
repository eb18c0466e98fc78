//! An epoll poller, with which one thread waits for many sockets.
//!
//! A thread for each connection is cheap in one host, but three hundred hosts on one machine would exhaust
//! its threads, and a host that cannot start a thread can neither accept nor open a connection.

use rustix::buffer::spare_capacity;
use rustix::event::epoll;
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The token of the eventfd behind [`Poller::wake`]; sockets must use others.
const WAKE_TOKEN: u64 = u64::MAX;

/// The events that a socket is watched for, besides errors and hang-ups, which epoll always reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Only that the peer closed or the connection failed.
    Hangup,
    /// Data to read, or the peer has closed its sending side.
    Readable,
    /// Room to write; also reported when a pending connect completes.
    Writable,
}

impl Interest {
    fn epoll_flags(self) -> epoll::EventFlags {
        match self {
            // Without RDHUP, unread data hides an orderly close, and a client that left looks as if it still
            // waited.
            Interest::Hangup => epoll::EventFlags::RDHUP,
            Interest::Readable => epoll::EventFlags::IN | epoll::EventFlags::RDHUP,
            Interest::Writable => epoll::EventFlags::OUT,
        }
    }
}

/// An event of a watched socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The token that the socket was added with.
    pub token: u64,
    /// Both directions are closed, or the socket has an error.
    pub hung_up: bool,
    /// The peer has closed its sending side, whether or not all it sent has been read.
    pub peer_closed: bool,
}

/// A set of watched sockets. Events are level-triggered: each wait reports a condition for as long as it
/// holds.
#[derive(Debug)]
pub struct Poller {
    epoll_fd: OwnedFd,
    waker: OwnedFd,
    /// Number of sockets that are watched.
    watched: AtomicUsize,
}

impl Poller {
    /// Creates an empty set; it uses two file descriptors.
    ///
    /// # Errors
    /// No file descriptor is available.
    pub fn new() -> io::Result<Poller> {
        let epoll_fd = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let waker = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(
            &epoll_fd,
            &waker,
            epoll::EventData::new_u64(WAKE_TOKEN),
            Interest::Readable.epoll_flags(),
        )?;
        Ok(Poller { epoll_fd, waker, watched: AtomicUsize::new(0) })
    }

    /// Starts to watch a socket.
    ///
    /// # Errors
    /// The error of `epoll_ctl`: the socket is watched already, or a system limit is reached.
    pub fn add(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        epoll::add(&self.epoll_fd, socket, epoll::EventData::new_u64(token), interest.epoll_flags())?;
        self.watched.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    /// Changes what a socket is watched for.
    ///
    /// # Errors
    /// The socket is not watched.
    pub fn modify(&self, socket: impl AsFd, token: u64, interest: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.epoll_fd, socket, epoll::EventData::new_u64(token), interest.epoll_flags())?)
    }

    /// Stops watching a socket. Closing it is not enough: while another descriptor refers to the same socket,
    /// it stays watched until this is called.
    pub fn remove(&self, socket: impl AsFd) {
        if epoll::delete(&self.epoll_fd, socket).is_ok() {
            self.watched.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Ends the current wait, or the next one if none is under way.
    pub fn wake(&self) {
        let _ = retry_on_intr(|| rustix::io::write(&self.waker, &1u64.to_ne_bytes()));
    }

    /// Waits until a socket has an event, [`Poller::wake`] is called, or the deadline passes. Reports all sockets
    /// that have one, however many.
    ///
    /// # Errors
    /// The error of `epoll_wait`; the poller cannot be used any more.
    pub fn wait(&self, ready: &mut Vec<Readiness>, deadline: Option<Instant>) -> io::Result<()> {
        ready.clear();
        let mut events = Vec::with_capacity(self.watched.load(Ordering::SeqCst) + 1);
        // In whole milliseconds, rounded up: a wait that ended just before its deadline would be followed by
        // another.
        let remaining = deadline.map(|at| at.saturating_duration_since(Instant::now()));
        let remaining = remaining.map(|d| Duration::from_millis(d.as_nanos().div_ceil(1_000_000) as u64));
        let timeout =
            remaining.map(|d| Timespec { tv_sec: d.as_secs() as i64, tv_nsec: d.subsec_nanos().into() });
        match epoll::wait(&self.epoll_fd, spare_capacity(&mut events), timeout.as_ref()) {
            Ok(_) | Err(Errno::INTR | Errno::NOMEM) => {}
            Err(e) => return Err(e.into()),
        }
        for event in &events {
            let (token, flags) = (event.data.u64(), event.flags);
            if token == WAKE_TOKEN {
                let _ = rustix::io::read(&self.waker, &mut [0u8; 8]);
            } else {
                let hung_up = flags.intersects(epoll::EventFlags::ERR | epoll::EventFlags::HUP);
                let peer_closed = hung_up || flags.contains(epoll::EventFlags::RDHUP);
                ready.push(Readiness { token, hung_up, peer_closed });
            }
        }
        Ok(())
    }
}

/// Starts a non-blocking connect.
///
/// A poller that watches the stream for [`Interest::Writable`] reports when the connect has succeeded or
/// failed; `take_error` tells which.
///
/// # Errors
/// No file descriptor is available, or the system rejects the address at once.
pub fn start_connect(address: &SocketAddr) -> io::Result<TcpStream> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    loop {
        return match rustix::net::connect(&socket, address) {
            // An interrupted connect continues in the background; the repeated call reports its state.
            Err(Errno::INTR) => continue,
            Ok(()) | Err(Errno::INPROGRESS | Errno::ALREADY | Errno::ISCONN) => Ok(TcpStream::from(socket)),
            Err(e) => Err(e.into()),
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Write;
    use std::net::TcpListener;

    fn connected_pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let local = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (local, listener.accept().unwrap().0)
    }

    fn ready_tokens(poller: &Poller, timeout: Duration) -> Vec<u64> {
        let mut ready = Vec::new();
        poller.wait(&mut ready, Some(Instant::now() + timeout)).unwrap();
        ready.iter().map(|r| r.token).collect()
    }

    #[test]
    fn an_event_is_reported_while_it_holds_and_never_after_the_socket_was_removed() {
        let poller = Poller::new().unwrap();
        let (local, mut remote) = connected_pair();
        poller.add(&local, 7, Interest::Readable).unwrap();
        assert!(ready_tokens(&poller, Duration::ZERO).is_empty());
        remote.write_all(b"x").unwrap();
        let timeout = Duration::from_secs(10);
        assert_eq!(ready_tokens(&poller, timeout), [7]);
        assert_eq!(ready_tokens(&poller, timeout), [7], "level-triggered: reported again");
        poller.modify(&local, 7, Interest::Hangup).unwrap();
        assert!(ready_tokens(&poller, Duration::ZERO).is_empty());
        poller.modify(&local, 7, Interest::Writable).unwrap();
        assert_eq!(ready_tokens(&poller, timeout), [7]);
        poller.remove(&local);
        assert!(ready_tokens(&poller, Duration::ZERO).is_empty());
    }

    /// Guards against sockets that stay unread while others are always ready.
    #[test]
    fn one_wait_reports_all_sockets_that_are_ready() {
        const SOCKETS: u64 = 200;
        let poller = Poller::new().unwrap();
        let mut pairs: Vec<_> = (0..SOCKETS).map(|_| connected_pair()).collect();
        for (token, (local, remote)) in (0..SOCKETS).zip(&mut pairs) {
            poller.add(&*local, token, Interest::Readable).unwrap();
            remote.write_all(b"x").unwrap();
        }
        let mut tokens = ready_tokens(&poller, Duration::from_secs(10));
        tokens.sort_unstable();
        assert_eq!(tokens, (0..SOCKETS).collect::<Vec<u64>>());
        pairs.iter().skip(1).for_each(|(local, _)| poller.remove(local));
        assert_eq!(ready_tokens(&poller, Duration::ZERO), [0]);
    }

    #[test]
    fn a_non_blocking_connect_reports_success_or_failure_through_the_poller() {
        let poller = Poller::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let connected = start_connect(&address).unwrap();
        poller.add(&connected, 1, Interest::Writable).unwrap();
        assert_eq!(ready_tokens(&poller, Duration::from_secs(10)), [1]);
        assert!(connected.take_error().unwrap().is_none());
        poller.remove(&connected);
        drop(listener);
        let Ok(refused) = start_connect(&address) else { return };
        poller.add(&refused, 2, Interest::Writable).unwrap();
        assert_eq!(ready_tokens(&poller, Duration::from_secs(10)), [2]);
        assert!(refused.take_error().unwrap().is_some());
    }

    #[test]
    fn repeated_wakes_end_a_single_wait_and_the_deadline_ends_the_next() {
        let poller = Poller::new().unwrap();
        poller.wake();
        poller.wake();
        let started = Instant::now();
        assert!(ready_tokens(&poller, Duration::from_secs(60)).is_empty());
        assert!(started.elapsed() < Duration::from_secs(30));
        assert!(ready_tokens(&poller, Duration::from_millis(5)).is_empty());
    }
}
