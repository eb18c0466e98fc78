//! An initiator's connection to a target; several threads may submit commands on it.

use crate::stream::{lock, read_once, spawn_small_stack, write_chunks, Direction, StreamTap};
use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_iscsi::{
    Command, CommandCompletion, Initiator, InitiatorConfig, InitiatorError, InitiatorEvent,
};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The submitter's identifier of a command; it comes back with the command's completion.
pub trait CommandToken: Send + 'static {
    /// Whether the command is still to be sent. Checked just before a queued command goes out.
    fn is_needed(&self) -> bool {
        true
    }
}

/// A connection that could not be established; no command was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The TCP connection could not be opened, or was lost during login.
    #[error("no connection to {address}: {source}")]
    Socket {
        /// Address of the target.
        address: SocketAddr,
        /// The socket error.
        source: io::Error,
    },
    /// The iSCSI login failed.
    #[error("iSCSI login at {address} failed: {source}")]
    Login {
        /// Address of the target.
        address: SocketAddr,
        /// The protocol error or login status.
        source: InitiatorError,
    },
}

/// An event of a connection, delivered on one of its threads.
#[derive(Debug)]
pub enum ConnectionEvent<T> {
    /// A command completed.
    Completed(T, Box<CommandCompletion>),
    /// The target confirmed an abort before it responded to the command.
    Aborted(T),
    /// A queued command was not sent and never will be: it was aborted, or not needed any more.
    Unsent(T),
    /// The target asks the initiator to log out.
    LogoutRequested,
    /// The connection is closed: the reason, the commands that were sent and have no response, and the
    /// commands that were never sent.
    Closed(String, Vec<T>, Vec<T>),
}

struct State<T> {
    initiator: Initiator,
    /// Commands without a response, by initiator task tag.
    sent: BTreeMap<u32, T>,
    /// Commands that wait for the command window and for the writer thread.
    queued: VecDeque<(T, Command)>,
    /// Commands that were dropped from the queue and are not reported yet.
    dropped: Vec<T>,
    /// Output was taken from the initiator and is not written yet.
    writing: bool,
    open: bool,
}

type EventHandler<T> = Box<dyn FnMut(ConnectionEvent<T>) + Send>;

/// An iSCSI session with a single connection.
pub struct Connection<T> {
    state: Mutex<State<T>>,
    on_event: Mutex<EventHandler<T>>,
    /// Wakes the writer thread.
    wake: Sender<()>,
    stream: TcpStream,
    tsih: u16,
}

/// Most commands that are queued beyond the command window.
const MAX_QUEUED: usize = 256;
/// Commands leave the queue while the output to be written is shorter than this, in bytes. One that has left it can
/// no longer be withdrawn, however long the target does not read.
const WRITE_BATCH: usize = 16 * 1024;

impl<T: CommandToken> Connection<T> {
    /// Connects and logs in; `timeout` covers both. Afterwards `on_event` is called for each event.
    ///
    /// # Errors
    /// Fails if the target cannot be reached or refuses the login. No command was sent.
    pub fn open(
        address: SocketAddr,
        config: InitiatorConfig,
        timeout: Duration,
        tap: StreamTap,
        on_event: impl FnMut(ConnectionEvent<T>) + Send + 'static,
    ) -> Result<Arc<Connection<T>>, ConnectError> {
        let socket_error = |source| ConnectError::Socket { address, source };
        let deadline = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&address, timeout).map_err(socket_error)?;
        stream.set_nodelay(true).map_err(socket_error)?;
        let mut initiator = Initiator::new(config);
        let mut login_events = Vec::new();
        write_chunks(&mut stream, initiator.take_output(), &tap).map_err(socket_error)?;
        while !initiator.is_logged_in() {
            let remaining = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            stream.set_read_timeout(Some(remaining)).map_err(socket_error)?;
            let mut buffer = std::mem::take(initiator.decoder().buffer());
            let old_len = buffer.len();
            let read = read_once(&mut stream, &mut buffer, 48).map_err(socket_error)?;
            if read == 0 {
                return Err(socket_error(io::ErrorKind::UnexpectedEof.into()));
            }
            tap.bytes(Direction::In, &buffer[old_len..]);
            *initiator.decoder().buffer() = buffer;
            let login_error = |source| ConnectError::Login { address, source };
            initiator.process(&mut login_events).map_err(login_error)?;
        }
        stream.set_read_timeout(None).map_err(socket_error)?;
        let tsih = match login_events.first() {
            Some(InitiatorEvent::LoggedIn(tsih)) => *tsih,
            _ => 0,
        };
        let (wake, wakeups) = bounded(1);
        let state = State {
            initiator,
            sent: BTreeMap::new(),
            queued: VecDeque::new(),
            dropped: Vec::new(),
            writing: false,
            open: true,
        };
        let connection = Arc::new(Connection {
            state: Mutex::new(state),
            on_event: Mutex::new(Box::new(on_event)),
            wake,
            stream: stream.try_clone().map_err(socket_error)?,
            tsih,
        });
        let (writer, reader) = (connection.clone(), connection.clone());
        let (write_half, write_tap) = (stream.try_clone().map_err(socket_error)?, tap.clone());
        spawn_small_stack("node-writer", move || writer.write_loop(write_half, &wakeups, &write_tap))
            .map_err(socket_error)?;
        spawn_small_stack("node-reader", move || reader.read_loop(stream, &tap)).map_err(socket_error)?;
        Ok(connection)
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        lock(&self.state)
    }

    fn deliver(&self, events: impl IntoIterator<Item = ConnectionEvent<T>>) {
        let mut on_event = lock(&self.on_event);
        events.into_iter().for_each(&mut **on_event);
    }

    /// The TSIH (target session identifying handle) that the target assigned.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Whether the node extension was negotiated at login.
    pub fn extension_negotiated(&self) -> bool {
        self.lock().initiator.params().extension
    }

    /// Whether the connection is still open.
    pub fn is_open(&self) -> bool {
        self.lock().open
    }

    /// Number of commands without a response, both sent and queued.
    pub fn outstanding(&self) -> usize {
        let state = self.lock();
        state.sent.len() + state.queued.len()
    }

    /// Queues a command, which is sent once the command window is open and the target reads.
    ///
    /// # Errors
    /// Returns the token if the connection is closed, too many commands are queued, or the command is not needed.
    /// Nothing was sent.
    pub fn submit(&self, token: T, command: Command) -> Result<(), T> {
        let mut state = self.lock();
        let max_queued = MAX_QUEUED + state.initiator.window_room();
        if !state.open || state.queued.len() >= max_queued || !token.is_needed() {
            return Err(token);
        }
        state.queued.push_back((token, command));
        if !state.writing {
            state.send_queued();
        }
        drop(state);
        self.wake();
        Ok(())
    }

    /// Gives up the commands that match the predicate and that the target cannot execute yet: those in the queue,
    /// and writes of which it has not received all data, which it is asked to abort. Returns their tokens; no
    /// event follows for them. Commands that were sent whole stay.
    pub fn withdraw(&self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        let mut state = self.lock();
        let mut withdrawn = state.remove_queued(&matches);
        let incomplete = |(itt, token): &(&u32, &T)| matches(token) && !state.initiator.is_sent_whole(**itt);
        let tags: Vec<u32> = state.sent.iter().filter(incomplete).map(|(itt, _)| *itt).collect();
        for itt in tags {
            state.initiator.abort(itt);
            withdrawn.extend(state.sent.remove(&itt));
        }
        drop(state);
        self.wake();
        withdrawn
    }

    /// Asks the target to abort the commands that match the predicate. Queued ones are not sent.
    pub fn abort(&self, matches: impl Fn(&T) -> bool) {
        let mut state = self.lock();
        let queued = state.remove_queued(&matches);
        state.dropped.extend(queued);
        let tags: Vec<u32> = state.sent.iter().filter(|(_, t)| matches(t)).map(|(itt, _)| *itt).collect();
        for itt in tags {
            state.initiator.abort(itt);
        }
        drop(state);
        self.wake();
    }

    /// Sends a task management function (RFC 7143, section 11.5.1) for a logical unit.
    pub fn send_task_management(&self, function: u8, lun: u64) {
        self.lock().initiator.send_task_management(function, lun);
        self.wake();
    }

    /// Sends a logout request; the target then closes the connection.
    pub fn logout(&self) {
        self.lock().initiator.logout();
        self.wake();
    }

    /// Closes the connection without a logout.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    fn write_loop(&self, mut stream: TcpStream, wakeups: &Receiver<()>, tap: &StreamTap) {
        while wakeups.recv().is_ok() {
            loop {
                let (chunks, dropped, open) = {
                    let mut state = self.lock();
                    state.send_queued();
                    let chunks = state.initiator.take_output();
                    state.writing = !chunks.is_empty();
                    (chunks, std::mem::take(&mut state.dropped), state.open)
                };
                self.deliver(dropped.into_iter().map(ConnectionEvent::Unsent));
                if chunks.is_empty() {
                    if !open {
                        return;
                    }
                    break;
                }
                if write_chunks(&mut stream, chunks, tap).is_err() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    fn read_loop(&self, mut stream: TcpStream, tap: &StreamTap) {
        let reason = loop {
            let (mut buffer, missing) = {
                let mut state = self.lock();
                let missing = state.initiator.decoder().missing_bytes();
                (std::mem::take(state.initiator.decoder().buffer()), missing)
            };
            let old_len = buffer.len();
            match read_once(&mut stream, &mut buffer, missing) {
                Ok(0) => break "closed by the peer".to_owned(),
                Ok(_) => tap.bytes(Direction::In, &buffer[old_len..]),
                Err(e) => break e.to_string(),
            }
            let mut events = Vec::new();
            let result = {
                let mut state = self.lock();
                *state.initiator.decoder().buffer() = buffer;
                let mut session_events = Vec::new();
                let result = state.initiator.process(&mut session_events);
                for event in session_events {
                    match event {
                        InitiatorEvent::Completed(completion) => {
                            if let Some(token) = state.sent.remove(&completion.itt) {
                                events.push(ConnectionEvent::Completed(token, completion));
                            }
                        }
                        InitiatorEvent::Aborted(itt, _) => {
                            events.extend(state.sent.remove(&itt).map(ConnectionEvent::Aborted));
                        }
                        InitiatorEvent::LogoutRequested => events.push(ConnectionEvent::LogoutRequested),
                        InitiatorEvent::LoggedIn(_) | InitiatorEvent::Text(_) | InitiatorEvent::LoggedOut => {
                        }
                    }
                }
                result
            };
            self.wake();
            self.deliver(events);
            if let Err(e) = result {
                break e.to_string();
            }
        };
        let (sent, queued) = {
            let mut state = self.lock();
            state.open = false;
            (std::mem::take(&mut state.sent), std::mem::take(&mut state.queued))
        };
        let _ = stream.shutdown(Shutdown::Both);
        tap.closed();
        self.wake();
        let unsent = queued.into_iter().map(|(t, _)| t).collect();
        self.deliver([ConnectionEvent::Closed(reason, sent.into_values().collect(), unsent)]);
    }
}

impl<T: CommandToken> State<T> {
    /// Removes the queued commands that match the predicate.
    fn remove_queued(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        let (removed, kept): (VecDeque<_>, VecDeque<_>) =
            std::mem::take(&mut self.queued).into_iter().partition(|(token, _)| matches(token));
        self.queued = kept;
        removed.into_iter().map(|(token, _)| token).collect()
    }

    /// Hands queued commands to the initiator while the command window and the batch have room. Commands that are
    /// not needed any more are dropped: they must not reach the target.
    fn send_queued(&mut self) {
        while self.initiator.window_open() && self.initiator.unsent_bytes() < WRITE_BATCH {
            let Some((token, command)) = self.queued.pop_front() else { return };
            if !token.is_needed() {
                self.dropped.push(token);
                continue;
            }
            if let Some(itt) = self.initiator.submit(command) {
                self.sent.insert(itt, token);
            }
        }
    }
}
