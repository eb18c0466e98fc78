//! Waiting for many sockets in one thread.
//!
//! Danger: a thread for each connection is cheap in one host, and three hundred hosts on one machine use up the
//! machine's threads; a host that gets none can neither take a connection nor make one.

use rustix::event::epoll;
use rustix::event::{eventfd, EventfdFlags, Timespec};
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsFd, OwnedFd};
use std::time::{Duration, Instant};

/// The token under which [`Poller::wake`] comes; sockets have others.
const WOKEN: u64 = u64::MAX;
/// Sockets that one wait tells of at the most; where it tells of so many, others may have something too.
pub const MAX_EVENTS: usize = 64;

/// What a socket is watched for; that it broke, or that its other end sends no more, is told in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// That it broke or ended.
    Hangup,
    /// Something to read, or its end.
    Readable,
    /// Room to write; a connection that came up has it.
    Writable,
}

impl Interest {
    fn flags(self) -> epoll::EventFlags {
        match self {
            // Danger: without RDHUP an orderly end is behind what nobody reads, and its client seems to wait.
            Interest::Hangup => epoll::EventFlags::RDHUP,
            Interest::Readable => epoll::EventFlags::IN | epoll::EventFlags::RDHUP,
            Interest::Writable => epoll::EventFlags::OUT,
        }
    }
}

/// A socket that has what it was watched for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The token it was added with.
    pub token: u64,
    /// Both directions are over, or it has an error.
    pub hung_up: bool,
    /// The other end sends no more, whether or not what it sent has been read.
    pub peer_closed: bool,
}

/// A set of watched sockets. What is true of a socket is told at each wait for as long as it is true.
#[derive(Debug)]
pub struct Poller {
    set: OwnedFd,
    waker: OwnedFd,
}

impl Poller {
    /// Watches nothing yet; takes two descriptors.
    ///
    /// # Errors
    /// No descriptor is left.
    pub fn new() -> io::Result<Poller> {
        let set = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let waker = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&set, &waker, epoll::EventData::new_u64(WOKEN), Interest::Readable.flags())?;
        Ok(Poller { set, waker })
    }

    /// Watches a socket.
    ///
    /// # Errors
    /// What the system says: it is watched already, or no room is left.
    pub fn add(&self, socket: impl AsFd, token: u64, want: Interest) -> io::Result<()> {
        Ok(epoll::add(&self.set, socket, epoll::EventData::new_u64(token), want.flags())?)
    }

    /// Watches it for something else.
    ///
    /// # Errors
    /// It is not watched.
    pub fn modify(&self, socket: impl AsFd, token: u64, want: Interest) -> io::Result<()> {
        Ok(epoll::modify(&self.set, socket, epoll::EventData::new_u64(token), want.flags())?)
    }

    /// Watches it no more. Danger: a socket that others still hold open stays watched until this is called.
    pub fn remove(&self, socket: impl AsFd) {
        let _ = epoll::delete(&self.set, socket);
    }

    /// Ends a wait, or the next one.
    pub fn wake(&self) {
        let _ = retry_on_intr(|| rustix::io::write(&self.waker, &1u64.to_ne_bytes()));
    }

    /// Waits for one socket at least, a wake or a moment.
    ///
    /// # Errors
    /// What the system says; nothing can be waited for any more.
    pub fn wait(&self, ready: &mut Vec<Readiness>, until: Option<Instant>) -> io::Result<()> {
        ready.clear();
        let mut events =
            [epoll::Event { flags: epoll::EventFlags::empty(), data: epoll::EventData::new_u64(0) };
                MAX_EVENTS];
        // In whole milliseconds, rounded up: a wait that ended just before its moment would be followed by another.
        let left = until.map(|at| at.saturating_duration_since(Instant::now()));
        let left = left.map(|d| Duration::from_millis(d.as_nanos().div_ceil(1_000_000) as u64));
        let timeout = left.map(|d| Timespec { tv_sec: d.as_secs() as i64, tv_nsec: d.subsec_nanos().into() });
        let n = match epoll::wait(&self.set, &mut events[..], timeout.as_ref()) {
            Ok(n) => n,
            Err(Errno::INTR | Errno::NOMEM) => 0,
            Err(e) => return Err(e.into()),
        };
        for event in &events[..n] {
            let (token, flags) = (event.data.u64(), event.flags);
            if token == WOKEN {
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

/// Begins to connect, without waiting. Watched for [`Interest::Writable`], the stream is told once it is up or has failed, and
/// `take_error` says which.
///
/// # Errors
/// No descriptor is left, or the address is refused at once.
pub fn start_connect(address: &SocketAddr) -> io::Result<TcpStream> {
    let family = if address.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    loop {
        return match rustix::net::connect(&socket, address) {
            // Interrupted, it goes on by itself; asked again, the system says so.
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

    fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let here = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (here, listener.accept().unwrap().0)
    }

    fn tokens(poller: &Poller, within: Duration) -> Vec<u64> {
        let mut ready = Vec::new();
        poller.wait(&mut ready, Some(Instant::now() + within)).unwrap();
        ready.iter().map(|r| r.token).collect()
    }

    #[test]
    fn a_socket_is_told_while_it_has_what_it_is_watched_for_and_not_after_its_removal() {
        let poller = Poller::new().unwrap();
        let (here, mut there) = pair();
        poller.add(&here, 7, Interest::Readable).unwrap();
        assert!(tokens(&poller, Duration::ZERO).is_empty());
        there.write_all(b"x").unwrap();
        let long = Duration::from_secs(10);
        assert_eq!(tokens(&poller, long), [7]);
        assert_eq!(tokens(&poller, long), [7], "still there");
        poller.modify(&here, 7, Interest::Hangup).unwrap();
        assert!(tokens(&poller, Duration::ZERO).is_empty());
        poller.modify(&here, 7, Interest::Writable).unwrap();
        assert_eq!(tokens(&poller, long), [7]);
        poller.remove(&here);
        assert!(tokens(&poller, Duration::ZERO).is_empty());
    }

    #[test]
    fn a_connection_comes_up_or_fails_without_being_waited_for() {
        let poller = Poller::new().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let up = start_connect(&address).unwrap();
        poller.add(&up, 1, Interest::Writable).unwrap();
        assert_eq!(tokens(&poller, Duration::from_secs(10)), [1]);
        assert!(up.take_error().unwrap().is_none());
        poller.remove(&up);
        drop(listener);
        let Ok(refused) = start_connect(&address) else { return };
        poller.add(&refused, 2, Interest::Writable).unwrap();
        assert_eq!(tokens(&poller, Duration::from_secs(10)), [2]);
        assert!(refused.take_error().unwrap().is_some());
    }

    #[test]
    fn a_wake_ends_one_wait_and_a_moment_the_next() {
        let poller = Poller::new().unwrap();
        poller.wake();
        poller.wake();
        let began = Instant::now();
        assert!(tokens(&poller, Duration::from_secs(60)).is_empty());
        assert!(began.elapsed() < Duration::from_secs(30));
        assert!(tokens(&poller, Duration::from_millis(5)).is_empty());
    }
}
