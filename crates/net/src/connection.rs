//! The asking side: one connection to a target, shared by whoever submits.

use crate::stream::{read_once, spawn_small_stack, write_runs, Direction, StreamTap};
use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_iscsi::{
    Command, CommandCompletion, Initiator, InitiatorConfig, InitiatorError, InitiatorEvent,
};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a submitter knows a command by.
pub trait CommandToken: Send + 'static {
    /// Whether it is still to be sent; asked again where it had to wait for the command window.
    fn is_needed(&self) -> bool {
        true
    }
}

/// A connection that did not come about; nothing was sent on it but a login.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The socket.
    #[error("no connection to {address}: {source}")]
    Socket {
        /// Where to.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The login.
    #[error("no login at {address}: {source}")]
    Login {
        /// Where to.
        address: SocketAddr,
        /// Why.
        source: InitiatorError,
    },
}

/// What a connection tells, from its reading thread.
#[derive(Debug)]
pub enum ConnectionEvent<T> {
    /// A command ended.
    Completed(T, Box<CommandCompletion>),
    /// The target answered an abort before the command.
    Aborted(T),
    /// The target wants the session to end.
    LogoutRequested,
    /// It is over. First what was sent and has no answer, then what was never sent.
    Closed(String, Vec<T>, Vec<T>),
}

struct State<T> {
    initiator: Initiator,
    sent: BTreeMap<u32, T>,
    waiting: VecDeque<(T, Command)>,
    open: bool,
}

/// One session of one connection.
pub struct Connection<T> {
    state: Mutex<State<T>>,
    wake: Sender<()>,
    stream: TcpStream,
    tsih: u16,
}

/// Commands that wait for the window at the most.
const MOST_WAITING: usize = 256;

impl<T: CommandToken> Connection<T> {
    /// Connects and logs in, within `within` for both; then `events` is called for all that comes.
    ///
    /// # Errors
    /// Nothing but a login was sent.
    pub fn open(
        address: SocketAddr,
        config: InitiatorConfig,
        within: Duration,
        tap: StreamTap,
        events: impl FnMut(ConnectionEvent<T>) + Send + 'static,
    ) -> Result<Arc<Connection<T>>, ConnectError> {
        let socket = |source| ConnectError::Socket { address, source };
        let until = Instant::now() + within;
        let mut stream = TcpStream::connect_timeout(&address, within).map_err(socket)?;
        stream.set_nodelay(true).map_err(socket)?;
        let mut initiator = Initiator::new(config);
        let mut early = Vec::new();
        write_runs(&mut stream, initiator.take_output(), &tap).map_err(socket)?;
        while !initiator.is_ready() {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            stream.set_read_timeout(Some(left)).map_err(socket)?;
            let mut buffer = std::mem::take(initiator.decoder().buffer());
            let had = buffer.len();
            let got = read_once(&mut stream, &mut buffer, 48).map_err(socket)?;
            if got == 0 {
                return Err(socket(io::ErrorKind::UnexpectedEof.into()));
            }
            tap.bytes(Direction::In, &buffer[had..]);
            *initiator.decoder().buffer() = buffer;
            let login = |source| ConnectError::Login { address, source };
            initiator.process(&mut early).map_err(login)?;
        }
        stream.set_read_timeout(None).map_err(socket)?;
        let tsih = match early.first() {
            Some(InitiatorEvent::LoggedIn(tsih)) => *tsih,
            _ => 0,
        };
        let (wake, woken) = bounded(1);
        let state = State { initiator, sent: BTreeMap::new(), waiting: VecDeque::new(), open: true };
        let own = stream.try_clone().map_err(socket)?;
        let connection = Arc::new(Connection { state: Mutex::new(state), wake, stream: own, tsih });
        let (writing, reading) = (connection.clone(), connection.clone());
        let (write_half, write_tap) = (stream.try_clone().map_err(socket)?, tap.clone());
        spawn_small_stack("node-writer", move || writing.write_loop(write_half, &woken, &write_tap))
            .map_err(socket)?;
        spawn_small_stack("node-reader", move || reading.read_loop(stream, &tap, events)).map_err(socket)?;
        Ok(connection)
    }

    fn lock(&self) -> MutexGuard<'_, State<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The session's handle, as the target gave it.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Whether both sides speak the project's extension.
    pub fn extension_negotiated(&self) -> bool {
        self.lock().initiator.params().extension
    }

    /// Whether it can still be used.
    pub fn is_open(&self) -> bool {
        self.lock().open
    }

    /// Commands without an answer, sent or waiting for the window.
    pub fn outstanding(&self) -> usize {
        let state = self.lock();
        state.sent.len() + state.waiting.len()
    }

    /// Sends a command, at once or when the window opens.
    ///
    /// # Errors
    /// The token comes back: the connection is closed, or too many wait already. Nothing was sent.
    pub fn submit(&self, token: T, command: Command) -> Result<(), T> {
        let mut state = self.lock();
        if !state.open || state.waiting.len() >= MOST_WAITING {
            return Err(token);
        }
        state.waiting.push_back((token, command));
        state.fill_window();
        drop(state);
        self.wake();
        Ok(())
    }

    /// Asks the target to abort what the predicate picks; what was never sent is dropped without a word.
    pub fn abort(&self, pick: impl Fn(&T) -> bool) {
        let mut state = self.lock();
        state.waiting.retain(|(t, _)| !pick(t));
        let tags: Vec<u32> = state.sent.iter().filter(|(_, t)| pick(t)).map(|(itt, _)| *itt).collect();
        for itt in tags {
            state.initiator.abort(itt);
        }
        drop(state);
        self.wake();
    }

    /// Sends a task management function (RFC 7143, section 11.5.1) for a unit.
    pub fn send_task_management(&self, function: u8, lun: u64) {
        self.lock().initiator.send_task_management(function, lun);
        self.wake();
    }

    /// Logs out; the target closes.
    pub fn logout(&self) {
        self.lock().initiator.logout();
        self.wake();
    }

    /// Drops the connection.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake.try_send(());
    }

    fn write_loop(&self, mut stream: TcpStream, woken: &Receiver<()>, tap: &StreamTap) {
        while woken.recv().is_ok() {
            loop {
                let (runs, open) = {
                    let mut state = self.lock();
                    (state.initiator.take_output(), state.open)
                };
                if runs.is_empty() {
                    if !open {
                        return;
                    }
                    break;
                }
                if write_runs(&mut stream, runs, tap).is_err() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }

    fn read_loop(&self, mut stream: TcpStream, tap: &StreamTap, mut events: impl FnMut(ConnectionEvent<T>)) {
        let why = loop {
            let (mut buffer, wanted) = {
                let mut state = self.lock();
                let wanted = state.initiator.decoder().wanted();
                (std::mem::take(state.initiator.decoder().buffer()), wanted)
            };
            let had = buffer.len();
            match read_once(&mut stream, &mut buffer, wanted) {
                Ok(0) => break "closed by the peer".to_owned(),
                Ok(_) => tap.bytes(Direction::In, &buffer[had..]),
                Err(e) => break e.to_string(),
            }
            let mut told = Vec::new();
            let worked = {
                let mut state = self.lock();
                *state.initiator.decoder().buffer() = buffer;
                let mut came = Vec::new();
                let worked = state.initiator.process(&mut came);
                for event in came {
                    match event {
                        InitiatorEvent::Completed(done) => {
                            if let Some(token) = state.sent.remove(&done.itt) {
                                told.push(ConnectionEvent::Completed(token, done));
                            }
                        }
                        InitiatorEvent::Aborted(itt, _) => {
                            told.extend(state.sent.remove(&itt).map(ConnectionEvent::Aborted));
                        }
                        InitiatorEvent::LogoutRequested => told.push(ConnectionEvent::LogoutRequested),
                        InitiatorEvent::LoggedIn(_) | InitiatorEvent::Text(_) | InitiatorEvent::LoggedOut => {
                        }
                    }
                }
                state.fill_window();
                worked
            };
            self.wake();
            told.into_iter().for_each(&mut events);
            if let Err(e) = worked {
                break e.to_string();
            }
        };
        let (sent, waiting) = {
            let mut state = self.lock();
            state.open = false;
            (std::mem::take(&mut state.sent), std::mem::take(&mut state.waiting))
        };
        let _ = stream.shutdown(Shutdown::Both);
        tap.closed();
        self.wake();
        let unsent = waiting.into_iter().map(|(t, _)| t).collect();
        events(ConnectionEvent::Closed(why, sent.into_values().collect(), unsent));
    }
}

impl<T: CommandToken> State<T> {
    /// Sends what waited for the window. Danger: what its owner gave up while it waited must not go out.
    fn fill_window(&mut self) {
        while self.initiator.has_room() {
            let Some((token, command)) = self.waiting.pop_front() else { return };
            if !token.is_needed() {
                continue;
            }
            if let Some(itt) = self.initiator.submit(command) {
                self.sent.insert(itt, token);
            }
        }
    }
}
