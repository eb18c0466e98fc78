//! Reading into a decoder, writing runs of bytes, threads with small stacks.

use bytes::{Buf, Bytes, BytesMut};
use rustix::io::Errno;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Which way bytes went, seen from the socket that notes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Read from the socket.
    In,
    /// Written to the socket.
    Out,
}

/// Somebody who notes the bytes of a socket as they pass, for records that are checked later.
pub trait Tap: Send + Sync {
    /// Bytes passed on a stream; streams are numbered by whoever sets the tap.
    fn bytes(&self, stream: u64, direction: Direction, bytes: &[u8]);
    /// The stream is closed.
    fn closed(&self, stream: u64);
}

/// A tap, where there is one, and the number of the stream.
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

/// Locks past a panic of another thread: what a lock guards here is whole between any two statements that hold it.
pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A thread with a stack of 256 KiB, of which only touched pages are taken.
///
/// # Errors
/// The system gives no further thread.
pub fn spawn_small_stack(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<std::thread::JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).stack_size(256 * 1024).spawn(body)
}

/// Whether a send or a read failed for this moment alone, and the connection is as it was: the system had no memory for
/// it, or the socket no room.
pub(crate) fn is_momentary(error: Errno) -> bool {
    matches!(error, Errno::AGAIN | Errno::NOBUFS | Errno::NOMEM)
}

/// The same of a socket that waits: true after a moment in which others may give memory back.
fn waited_out(error: &io::Error) -> bool {
    let momentary = matches!(Errno::from_io_error(error), Some(Errno::NOBUFS | Errno::NOMEM));
    if momentary {
        std::thread::sleep(AGAIN);
    }
    momentary
}

/// Whether the system had no descriptor, port, thread or memory in this moment.
pub fn is_resource_shortage(error: &io::Error) -> bool {
    use Errno as E;
    matches!(
        Errno::from_io_error(error),
        Some(E::NFILE | E::MFILE | E::NOBUFS | E::NOMEM | E::AGAIN | E::ADDRNOTAVAIL | E::INTR)
    )
}

/// Pause between tries for something that a process needs to start.
const START_AGAIN: Duration = Duration::from_millis(20);
/// For so long a process tries to get what it needs to start.
const START_WITHIN: Duration = Duration::from_secs(15);

/// Gets something that a process needs to start, though the system is short of it in the first moments.
///
/// # Errors
/// It is refused for another reason, or for too long.
pub fn retry_startup_shortage<T>(mut get: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + START_WITHIN;
    loop {
        match get() {
            Err(e) if is_resource_shortage(&e) && Instant::now() < until => std::thread::sleep(START_AGAIN),
            other => return other,
        }
    }
}

/// Pause before a call that failed for a moment is made again.
const AGAIN: Duration = Duration::from_millis(2);
/// Least room for a read: an idle session holds no more.
const READ_LEAST: usize = 4 * 1024;
const READ_MOST: usize = 256 * 1024;

/// Reads once, `wanted` bytes or a little more, to the end of a buffer; the number of bytes read.
///
/// # Errors
/// What the socket says.
pub(crate) fn read_once(stream: &mut impl Read, buffer: &mut BytesMut, wanted: usize) -> io::Result<usize> {
    let had = buffer.len();
    buffer.resize(had + wanted.clamp(READ_LEAST, READ_MOST), 0);
    let got = loop {
        match stream.read(&mut buffer[had..]) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted || waited_out(&e) => {}
            other => break other,
        }
    };
    buffer.truncate(had + *got.as_ref().unwrap_or(&0));
    got
}

/// Writes all runs, several in one call.
pub(crate) fn write_runs(stream: &mut TcpStream, runs: Vec<Bytes>, tap: &StreamTap) -> io::Result<()> {
    // Noted before they go: a thread that waits for a core after its write would note a question after its answer.
    runs.iter().for_each(|r| tap.bytes(Direction::Out, r));
    let mut runs: VecDeque<Bytes> = runs.into();
    while !runs.is_empty() {
        let slices: Vec<IoSlice<'_>> = runs.iter().take(64).map(|r| IoSlice::new(r)).collect();
        let mut wrote = match stream.write_vectored(&slices) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted || waited_out(&e) => continue,
            Err(e) => return Err(e),
        };
        while let Some(first) = runs.front_mut().filter(|_| wrote > 0) {
            let n = wrote.min(first.len());
            first.advance(n);
            wrote -= n;
            if first.is_empty() {
                runs.pop_front();
            }
        }
    }
    Ok(())
}
