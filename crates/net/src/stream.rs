//! Blocking reads and vectored writes, taps, retries after resource shortages, and threads with small stacks.

use bytes::{Buf, Bytes, BytesMut};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::{retry_on_intr, Errno};
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The direction of bytes, seen from the tapped socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Read from the socket.
    In,
    /// Written to the socket.
    Out,
}

/// Observes the bytes of sockets, for recordings that are checked later.
pub trait Tap: Send + Sync {
    /// Bytes were read or are about to be written. The creator of the tap numbers the streams.
    fn bytes(&self, stream: u64, direction: Direction, bytes: &[u8]);
    /// The stream was closed.
    fn closed(&self, stream: u64);
}

/// A tap and the number of the stream that it observes; `None` where nothing is recorded.
#[derive(Clone, Default)]
pub struct StreamTap(pub Option<(Arc<dyn Tap>, u64)>);

impl StreamTap {
    pub(crate) fn bytes(&self, direction: Direction, bytes: &[u8]) {
        if let Some((tap, stream)) = &self.0 {
            tap.bytes(*stream, direction, bytes);
        }
    }

    pub(crate) fn closed(&self) {
        if let Some((tap, stream)) = &self.0 {
            tap.closed(*stream);
        }
    }
}

/// Locks a mutex even if another thread panicked while holding it. The data that these mutexes guard is
/// consistent after every statement.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a thread with a stack of 256 KiB, of which only the touched pages use memory.
///
/// # Errors
/// The system cannot start another thread.
pub fn spawn_small_stack(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).stack_size(256 * 1024).spawn(body)
}

/// Whether a send or a read failed only temporarily and the connection is intact: the system had no memory,
/// or the socket had no room or no data.
pub(crate) fn is_transient(error: Errno) -> bool {
    matches!(error, Errno::AGAIN | Errno::NOBUFS | Errno::NOMEM)
}

/// Whether the peer of a socket has closed its sending side or the connection is lost, even with unread data before
/// the end. Asks the system; the reader of the socket may not have seen the end yet.
pub(crate) fn peer_closed(stream: &TcpStream) -> bool {
    let mut sockets = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    let polled = retry_on_intr(|| poll(&mut sockets, Some(&no_wait)));
    polled.is_ok() && !sockets[0].revents().is_empty()
}

/// Whether a call on a blocking socket failed for lack of memory; sleeps before it returns true, so that
/// memory may be freed before the call is repeated.
fn wait_if_out_of_memory(error: &io::Error) -> bool {
    let out_of_memory = matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM));
    if out_of_memory {
        std::thread::sleep(RETRY_DELAY);
    }
    out_of_memory
}

/// Whether the system was short of file descriptors, ports, threads or memory, or interrupted the call.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    use Errno as E;
    matches!(
        Errno::from_io_error(error),
        Some(E::NFILE | E::MFILE | E::NOBUFS | E::NOMEM | E::AGAIN | E::ADDRNOTAVAIL | E::INTR)
    )
}

/// Delay between attempts to get a resource at startup.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a process tries to get a resource at startup.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);

/// Acquires a resource that a process needs to start, and retries while the system is short of it.
///
/// # Errors
/// Acquiring fails for another reason, or the shortage lasts too long.
pub fn retry_startup_shortage<T>(mut acquire: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    loop {
        match acquire() {
            Err(e) if is_resource_shortage(&e) && Instant::now() < deadline => {
                std::thread::sleep(STARTUP_RETRY_DELAY)
            }
            other => return other,
        }
    }
}

/// Delay before a call that failed for lack of memory is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(2);
/// Smallest buffer for a read in bytes; an idle session holds no more than this.
const MIN_READ: usize = 4 * 1024;
/// Largest buffer for a read in bytes. It is filled before anything arrives, so that a peer which announces much and
/// sends nothing holds as much.
const MAX_READ: usize = 16 * 1024;

/// Reads once and appends to a buffer, with room for `wanted` bytes within [`MIN_READ`] and [`MAX_READ`].
/// Returns the number of bytes read; 0 is the end of the stream.
///
/// # Errors
/// The error of the socket.
pub(crate) fn read_once(stream: &mut impl Read, buffer: &mut BytesMut, wanted: usize) -> io::Result<usize> {
    let old_len = buffer.len();
    buffer.resize(old_len + wanted.clamp(MIN_READ, MAX_READ), 0);
    let result = loop {
        match stream.read(&mut buffer[old_len..]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted || wait_if_out_of_memory(&e) => {}
            other => break other,
        }
    };
    buffer.truncate(old_len + *result.as_ref().unwrap_or(&0));
    result
}

/// Writes all chunks, up to 64 of them with each system call.
pub(crate) fn write_chunks(stream: &mut TcpStream, chunks: Vec<Bytes>, tap: &StreamTap) -> io::Result<()> {
    // Recorded before the write: if this thread were descheduled after its write, the response to a request
    // could be recorded before the request.
    chunks.iter().for_each(|c| tap.bytes(Direction::Out, c));
    let mut chunks: VecDeque<Bytes> = chunks.into();
    while !chunks.is_empty() {
        let slices: Vec<IoSlice<'_>> = chunks.iter().take(64).map(|c| IoSlice::new(c)).collect();
        let mut written = match stream.write_vectored(&slices) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted || wait_if_out_of_memory(&e) => continue,
            Err(e) => return Err(e),
        };
        while let Some(first) = chunks.front_mut().filter(|_| written > 0) {
            let n = written.min(first.len());
            first.advance(n);
            written -= n;
            if first.is_empty() {
                chunks.pop_front();
            }
        }
    }
    Ok(())
}
