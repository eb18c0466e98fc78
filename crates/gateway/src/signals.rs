//! Delivers the signals of the process over a channel.
//!
//! A dedicated thread waits for signals and retries a wait that fails. If the thread ended, the receiver
//! would see a closed channel: the host would shut down without a signal, or ignore later ones.

use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_net::retry_startup_shortage;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::SignalOnly;
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Capacity of the channel of signals that are not handled yet.
const QUEUE_CAPACITY: usize = 16;
/// Delay before a failed wait is retried.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// Interval at which pending signals are polled even if nothing wakes the thread: the signal handler wakes it
/// with a send on a socket, and that send can fail.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

type Signals = SignalDelivery<UnixStream, SignalOnly>;

/// Returns a channel that receives SIGTERM, SIGINT and SIGHUP.
///
/// # Errors
/// The system grants no descriptor or thread.
pub fn watch() -> io::Result<Receiver<i32>> {
    let mut signals = retry_startup_shortage(register)?;
    let (sender, receiver) = bounded(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("signals".to_owned())
        .stack_size(64 << 10)
        .spawn(move || while forward_pending(&mut signals, &sender) {})?;
    Ok(receiver)
}

fn register() -> io::Result<Signals> {
    let (read, write) = UnixStream::pair()?;
    read.set_read_timeout(Some(POLL_INTERVAL))?;
    SignalDelivery::with_pipe(read, write, SignalOnly, [SIGTERM, SIGINT, SIGHUP])
}

/// Waits for signals once and sends them to the channel; false if the receiver or the signals' own socket is
/// closed.
fn forward_pending(signals: &mut Signals, sender: &Sender<i32>) -> bool {
    match signals.poll_pending(&mut has_signals) {
        Ok(Some(mut pending)) => pending.all(|signal| sender.send(signal).is_ok()),
        Ok(None) => false,
        Err(error) => {
            tracing::warn!(%error, "waiting for signals failed; retrying");
            std::thread::sleep(RETRY_DELAY);
            true
        }
    }
}

/// Waits until a signal may be pending: a byte has arrived, or the poll interval is over. False at end of
/// file.
fn has_signals(read: &mut UnixStream) -> io::Result<bool> {
    match read.read(&mut [0u8]) {
        Ok(n) => Ok(n > 0),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(true),
        Err(e) => Err(e),
    }
}
