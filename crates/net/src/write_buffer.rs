//! Non-blocking writes to a socket.
//!
//! One thread sends all responses to clients and all requests to nodes, so no peer may block it. Bytes that
//! the kernel does not accept at once are buffered, up to a limit, and one shared flusher thread sends them
//! later.

use crate::stream::{is_transient, lock, peer_closed, spawn_small_stack};
use bytes::{Buf, Bytes};
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{RecvFlags, SendFlags};
use std::collections::VecDeque;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Maximum number of bytes buffered for one socket; a socket that exceeds it is shut down. Callers limit the
/// responses in flight on a connection well below this, which is over 32 responses of 64 KiB with their
/// headers.
const MAX_BUFFERED: usize = (2 << 20) + (64 << 10);
/// How often the flusher offers buffered bytes to the kernel again.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2);

/// What the receive side of a socket holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeekResult {
    /// No data yet.
    Empty,
    /// Unread data, or the state is unknown for lack of memory.
    Data,
    /// The peer has closed the connection, or it is lost.
    Closed,
}

/// A socket with a buffer for the bytes that the kernel has not accepted yet.
pub struct WriteBuffer {
    stream: TcpStream,
    buffered: Mutex<Buffered>,
    flusher: Flusher,
}

/// Chunks that the kernel has not accepted yet.
#[derive(Default)]
struct Buffered {
    /// One chunk for each call of `send`; the first may be partly sent.
    chunks: VecDeque<Bytes>,
    /// Part of the first chunk has been sent.
    partly_sent: bool,
    /// The connection failed or was aborted: nothing more is sent.
    lost: bool,
}

impl Buffered {
    fn bytes(&self) -> usize {
        self.chunks.iter().map(Bytes::len).sum()
    }
}

impl WriteBuffer {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, flusher: &Flusher) -> Arc<WriteBuffer> {
        Arc::new(WriteBuffer { stream, buffered: Mutex::default(), flusher: flusher.clone() })
    }

    /// The stream. Only one thread may read from it.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Sends bytes after all earlier ones, at once or when the socket has room.
    ///
    /// # Errors
    /// The connection is lost, or its buffer is full; the socket is shut down.
    pub fn send(self: &Arc<Self>, bytes: Bytes) -> io::Result<()> {
        let mut buffered = lock(&self.buffered);
        if buffered.lost {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let flush_pending = !buffered.chunks.is_empty();
        buffered.chunks.push_back(bytes);
        let sent = if flush_pending { Ok(()) } else { self.flush(&mut buffered) };
        let incomplete = !buffered.chunks.is_empty();
        let overflow = buffered.bytes() > MAX_BUFFERED;
        buffered.lost |= overflow || sent.is_err();
        drop(buffered);
        if overflow || sent.is_err() {
            self.shutdown();
            return sent.and(Err(io::ErrorKind::WriteZero.into()));
        }
        if incomplete && !flush_pending {
            self.flusher.schedule(self);
        }
        Ok(())
    }

    /// Number of bytes that the kernel has not accepted yet.
    pub fn buffered_bytes(&self) -> usize {
        lock(&self.buffered).bytes()
    }

    /// Number of chunks whose last byte the kernel has not accepted yet.
    pub fn unsent_chunks(&self) -> usize {
        lock(&self.buffered).chunks.len()
    }

    /// Removes the chunk after which `later_chunks` others were sent, if no byte of it has gone out; returns
    /// whether it was removed.
    pub fn cancel_unsent(&self, later_chunks: usize) -> bool {
        let mut buffered = lock(&self.buffered);
        let Some(index) = buffered.chunks.len().checked_sub(later_chunks + 1) else { return false };
        if index == 0 && buffered.partly_sent {
            return false;
        }
        buffered.chunks.remove(index).is_some()
    }

    /// Shuts down both directions for good; returns the number of chunks whose last byte has not gone out and
    /// never will.
    ///
    /// A mere count would not do: the flusher could still send the rest of a command after the count was
    /// taken, and a command that was reported as never executed would be executed.
    pub fn abort(&self) -> usize {
        let mut buffered = lock(&self.buffered);
        buffered.lost = true;
        self.shutdown();
        std::mem::take(&mut buffered.chunks).len()
    }

    /// Sends as many buffered bytes as the kernel accepts.
    fn flush(&self, buffered: &mut Buffered) -> io::Result<()> {
        while let Some(first) = buffered.chunks.front_mut() {
            match rustix::net::send(&self.stream, first, SendFlags::DONTWAIT | SendFlags::NOSIGNAL) {
                Ok(n) => {
                    first.advance(n);
                    buffered.partly_sent |= n > 0;
                }
                Err(Errno::INTR) => {}
                Err(e) if is_transient(e) => return Ok(()),
                Err(e) => return Err(e.into()),
            }
            if buffered.chunks.front().is_some_and(Bytes::is_empty) {
                buffered.chunks.pop_front();
                buffered.partly_sent = false;
            }
        }
        Ok(())
    }

    /// Tells what can be read, without consuming it.
    pub fn peek(&self) -> PeekResult {
        let mut byte = [0u8; 1];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match retry_on_intr(|| rustix::net::recv(&self.stream, &mut byte[..], flags)) {
            Ok((_, 0)) => PeekResult::Closed,
            Ok(_) => PeekResult::Data,
            Err(Errno::AGAIN) => PeekResult::Empty,
            // Unknown, so reported as data: callers rely on `Empty` meaning that there is none.
            Err(e) if is_transient(e) => PeekResult::Data,
            Err(_) => PeekResult::Closed,
        }
    }

    /// Whether the peer has closed its sending side or the connection is lost, even with unread data before
    /// the end.
    pub fn peer_closed(&self) -> bool {
        peer_closed(&self.stream)
    }

    /// Reads available bytes without blocking. Returns their number, 0 at the end of the stream, or `None` if
    /// there are none yet.
    ///
    /// # Errors
    /// The connection is lost.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        match rustix::net::recv(&self.stream, buffer, RecvFlags::DONTWAIT) {
            Ok((_, n)) => Ok(Some(n)),
            Err(Errno::INTR) => Ok(None),
            Err(e) if is_transient(e) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// Closes the sending side: the peer reads the end of the stream after the last byte.
    pub fn shutdown_write(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes both directions; wakes a thread that is blocked in a read.
    pub fn shutdown(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A handle of the thread that sends the buffered bytes of all [`WriteBuffer`]s.
#[derive(Clone)]
pub struct Flusher {
    pending: Sender<Weak<WriteBuffer>>,
}

impl Flusher {
    /// Starts the thread; it ends when the last handle is dropped.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start() -> io::Result<Flusher> {
        let (pending, receiver) = bounded(4096);
        spawn_small_stack("flusher", move || flush_loop(&receiver))?;
        Ok(Flusher { pending })
    }

    /// Has the thread flush a buffer until it is empty; shuts the socket down if the queue of the thread is
    /// full.
    fn schedule(&self, write_buffer: &Arc<WriteBuffer>) {
        if self.pending.try_send(Arc::downgrade(write_buffer)).is_err() {
            write_buffer.shutdown();
        }
    }
}

fn flush_loop(receiver: &Receiver<Weak<WriteBuffer>>) {
    let mut pending: Vec<Weak<WriteBuffer>> = Vec::new();
    loop {
        if pending.is_empty() {
            match receiver.recv() {
                Ok(write_buffer) => pending.push(write_buffer),
                Err(_) => return,
            }
        }
        match receiver.recv_timeout(FLUSH_INTERVAL) {
            Ok(write_buffer) => pending.push(write_buffer),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        pending.retain(|weak| {
            let Some(write_buffer) = weak.upgrade() else { return false };
            let mut buffered = lock(&write_buffer.buffered);
            if buffered.lost {
                return false;
            }
            if write_buffer.flush(&mut buffered).is_err() {
                // The unsent chunks stay: `abort` reports how many never went out.
                buffered.lost = true;
                write_buffer.shutdown();
            }
            !buffered.lost && !buffered.chunks.is_empty()
        });
    }
}

/// Sets the length of a listener's accept queue.
///
/// With the default length, many clients that connect at once fill the queue, and the kernel drops the
/// connection requests of others, which TCP repeats only after a second.
///
/// # Errors
/// The error of `listen`.
pub fn set_accept_backlog(listener: &TcpListener, connections: i32) -> io::Result<()> {
    Ok(rustix::net::listen(listener, connections)?)
}

/// Stops accepting connections; wakes a thread that is blocked in `accept`.
pub fn shutdown_listener(listener: &TcpListener) {
    let _ = rustix::net::shutdown(listener, rustix::net::Shutdown::Both);
}
