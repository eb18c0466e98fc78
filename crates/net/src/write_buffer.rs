//! Writing to a socket without ever waiting for it.
//!
//! One thread answers all clients and sends to all nodes: none of them may hold it up. What the system does not take at
//! once is kept, within a bound, and put on by one thread for all.

use crate::stream::{is_momentary, lock, spawn_small_stack};
use bytes::{Buf, Bytes};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{RecvFlags, SendFlags};
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Bytes kept for one socket; one that takes nothing for so long is given up. Whoever writes bounds what is out on a
/// connection well below: this is over 32 answers of 64 KiB with their heads.
const MOST_KEPT: usize = (2 << 20) + (64 << 10);
/// How often what is kept is offered again.
const AGAIN: Duration = Duration::from_millis(2);

/// What waits at a socket to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// Nothing.
    Empty,
    /// Bytes.
    Data,
    /// Its end: closed or lost.
    Closed,
}

/// The writing side of a socket.
pub struct WriteBuffer {
    stream: TcpStream,
    kept: Mutex<Kept>,
    flusher: Flusher,
}

/// What the system has not taken yet.
#[derive(Default)]
struct Kept {
    /// One for each call of `put`, the first perhaps begun.
    runs: VecDeque<Bytes>,
    /// Part of the first of them went out.
    begun: bool,
    /// Nothing more goes out.
    lost: bool,
}

impl Kept {
    fn bytes(&self) -> usize {
        self.runs.iter().map(Bytes::len).sum()
    }
}

impl WriteBuffer {
    /// Over a connected stream.
    pub fn new(stream: TcpStream, flusher: &Flusher) -> Arc<WriteBuffer> {
        Arc::new(WriteBuffer { stream, kept: Mutex::default(), flusher: flusher.clone() })
    }

    /// The stream, to be read by one thread.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Sends bytes in their turn, now or when the socket takes them.
    ///
    /// # Errors
    /// The socket is lost, or too much waits for it; it is shut.
    pub fn send(self: &Arc<Self>, bytes: Bytes) -> io::Result<()> {
        let mut kept = lock(&self.kept);
        if kept.lost {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let late = !kept.runs.is_empty();
        kept.runs.push_back(bytes);
        let sent = if late { Ok(()) } else { self.offer(&mut kept) };
        let waits = !kept.runs.is_empty();
        let most = kept.bytes() > MOST_KEPT;
        kept.lost |= most || sent.is_err();
        drop(kept);
        if most || sent.is_err() {
            self.shutdown();
            return sent.and(Err(io::ErrorKind::WriteZero.into()));
        }
        if waits && !late {
            self.flusher.watch(self);
        }
        Ok(())
    }

    /// Bytes that the system has not taken yet.
    pub fn buffered_bytes(&self) -> usize {
        lock(&self.kept).bytes()
    }

    /// Runs of which the last byte has not been taken by the system.
    pub fn unsent_chunks(&self) -> usize {
        lock(&self.kept).runs.len()
    }

    /// Takes back the run that was put before `behind` others, if no byte of it has gone out.
    pub fn cancel_unsent(&self, behind: usize) -> bool {
        let mut kept = lock(&self.kept);
        let Some(at) = kept.runs.len().checked_sub(behind + 1) else { return false };
        if at == 0 && kept.begun {
            return false;
        }
        kept.runs.remove(at).is_some()
    }

    /// Ends both directions for good; the number of runs whose last byte has not gone out and never will.
    ///
    /// Danger: told from a count alone, the rest of a command may still be put on behind it, and what was said never to
    /// have run runs.
    pub fn abort(&self) -> usize {
        let mut kept = lock(&self.kept);
        kept.lost = true;
        self.shutdown();
        std::mem::take(&mut kept.runs).len()
    }

    fn offer(&self, kept: &mut Kept) -> io::Result<()> {
        while let Some(first) = kept.runs.front_mut() {
            match rustix::net::send(&self.stream, first, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(n) => {
                    first.advance(n);
                    kept.begun |= n > 0;
                }
                Err(Errno::INTR) => {}
                Err(e) if is_momentary(e) => return Ok(()),
                Err(e) => return Err(e.into()),
            }
            if kept.runs.front().is_some_and(Bytes::is_empty) {
                kept.runs.pop_front();
                kept.begun = false;
            }
        }
        Ok(())
    }

    /// What waits to be read, without reading it.
    pub fn peek(&self) -> PeekResult {
        let mut byte = [0u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match retry_on_intr(|| rustix::net::recv(&self.stream, &mut byte[..], flags)) {
            Ok((_, 0)) => PeekResult::Closed,
            Ok(_) => PeekResult::Data,
            Err(Errno::AGAIN) => PeekResult::Empty,
            // Not known: whoever asks must not take it for nothing.
            Err(e) if is_momentary(e) => PeekResult::Data,
            Err(_) => PeekResult::Closed,
        }
    }

    /// Whether the other end sends no more or the connection is lost, whatever waits unread before its end.
    pub fn peer_closed(&self) -> bool {
        let mut sockets = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let told = retry_on_intr(|| poll(&mut sockets, Some(&at_once)));
        told.is_ok() && !sockets[0].revents().is_empty()
    }

    /// Reads what is there into a buffer, without waiting: the number of bytes, or `None` where there are none yet.
    ///
    /// # Errors
    /// The socket is lost. 0 bytes: its end.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        match rustix::net::recv(&self.stream, buffer, RecvFlags::DONTWAIT) {
            Ok((_, n)) => Ok(Some(n)),
            Err(Errno::INTR) => Ok(None),
            Err(e) if is_momentary(e) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// Ends the sending side: whoever reads at the other end sees an end behind the last byte.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Ends both directions; whoever reads is woken.
    pub fn shutdown(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The thread that puts on what sockets did not take at once.
#[derive(Clone)]
pub struct Flusher {
    late: Sender<Weak<WriteBuffer>>,
}

impl Flusher {
    /// Starts it; it ends when nobody holds it any more.
    ///
    /// # Errors
    /// No thread could be had.
    pub fn start() -> io::Result<Flusher> {
        let (late, came) = bounded(4096);
        spawn_small_stack("flusher", move || flush(&came))?;
        Ok(Flusher { late })
    }

    fn watch(&self, write_buffer: &Arc<WriteBuffer>) {
        if self.late.try_send(Arc::downgrade(write_buffer)).is_err() {
            write_buffer.shutdown();
        }
    }
}

fn flush(came: &Receiver<Weak<WriteBuffer>>) {
    let mut late: Vec<Weak<WriteBuffer>> = Vec::new();
    loop {
        if late.is_empty() {
            match came.recv() {
                Ok(one) => late.push(one),
                Err(_) => return,
            }
        }
        match came.recv_timeout(AGAIN) {
            Ok(one) => late.push(one),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        late.retain(|weak| {
            let Some(write_buffer) = weak.upgrade() else { return false };
            let mut kept = lock(&write_buffer.kept);
            if kept.lost {
                return false;
            }
            if write_buffer.offer(&mut kept).is_err() {
                // What is left stays: whoever closes it asks how much never went out.
                kept.lost = true;
                write_buffer.shutdown();
            }
            !kept.lost && !kept.runs.is_empty()
        });
    }
}

/// Lets a listener hold more connections that nobody has accepted yet.
///
/// Danger: with the usual queue a crowd that connects at once has the system drop others' connections, whose clients
/// come again after a second only.
///
/// # Errors
/// What the system says.
pub fn set_accept_backlog(listener: &TcpListener, connections: i32) -> io::Result<()> {
    Ok(rustix::net::listen(listener, connections)?)
}

/// Takes no more connections; whoever waits to accept one is woken.
pub fn shutdown_listener(listener: &TcpListener) {
    let _ = rustix::net::shutdown(listener, rustix::net::Shutdown::Both);
}
