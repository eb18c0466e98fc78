//! Signals of the process, as a channel.
//!
//! A thread of its own waits for them. A wait that fails for a moment is made again: what ends this thread leaves a host
//! that can't be told to leave, or one that leaves untold.

use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_net::retry_startup_shortage;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Signals that wait to be handled at the most.
const MOST_WAITING: usize = 16;
/// Pause before a wait that failed is made again.
const AGAIN: Duration = Duration::from_millis(5);
/// How often signals are looked for though nothing woke this thread: the send that wakes it, in the signal's handler, may
/// have failed.
const LOOK: Duration = Duration::from_millis(50);

type Delivery = SignalDelivery<UnixStream, SignalOnly>;

/// SIGTERM, SIGINT and SIGHUP as they come.
///
/// # Errors
/// No descriptor or thread could be had.
pub fn watch() -> io::Result<Receiver<i32>> {
    let mut delivery = retry_startup_shortage(begin)?;
    let (to, from) = bounded(MOST_WAITING);
    std::thread::Builder::new()
        .name("signals".to_owned())
        .stack_size(64 << 10)
        .spawn(move || while pass_on(&mut delivery, &to) {})?;
    Ok(from)
}

fn begin() -> io::Result<Delivery> {
    let (read, write) = UnixStream::pair()?;
    read.set_read_timeout(Some(LOOK))?;
    SignalDelivery::with_pipe(read, write, SignalOnly, [SIGTERM, SIGINT, SIGHUP])
}

/// Waits for signals once and passes them on; false where nobody listens any more.
fn pass_on(delivery: &mut Delivery, to: &Sender<i32>) -> bool {
    match delivery.poll_pending(&mut has_signals) {
        Ok(Some(mut pending)) => pending.all(|signal| to.send(signal).is_ok()),
        Ok(None) => false,
        Err(error) => {
            tracing::warn!(%error, "signals can't be waited for; trying again");
            std::thread::sleep(AGAIN);
            true
        }
    }
}

/// Waits until a signal may have come.
fn has_signals(read: &mut UnixStream) -> io::Result<bool> {
    match read.read(&mut [0u8]) {
        Ok(n) => Ok(n > 0),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(true),
        Err(e) => Err(e),
    }
}
