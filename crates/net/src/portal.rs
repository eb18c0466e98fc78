//! An iSCSI portal: a listener, and the target's end of a session for each connection.

use crate::stream::{lock, peer_closed, read_once, spawn_small_stack, write_chunks, Direction, StreamTap};
use crate::write_buffer::set_accept_backlog;
use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_drive::{ByteAccount, ByteBudget};
use pearfork_iscsi::{
    AccessControl, CommandMemory, Limits, LoginStatus, Reservation, Response, ScsiCommand, Target,
    TargetEvent, TaskId, TmfFunction,
};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Identifies a session within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// Handles the sessions of a portal. Called on the session's reader thread, in the order of the received
/// PDUs, unless a method says otherwise.
pub trait SessionHandler: Send + Sync + 'static {
    /// The session reached the full feature phase; `target` is `None` in a discovery session.
    ///
    /// # Errors
    /// The session is closed, with the status as the reason.
    fn logged_in(
        &self,
        session: &Arc<Session>,
        initiator: &str,
        target: Option<&str>,
    ) -> Result<(), LoginStatus>;
    /// A command was received with all its data. [`Session::respond`] must be called for it.
    fn command(&self, session: &Arc<Session>, command: ScsiCommand);
    /// A command was aborted; its response would be dropped.
    fn aborted(&self, session: &Arc<Session>, id: TaskId);
    /// A task management function was carried out in this session and may affect tasks of other sessions.
    fn task_management(&self, _session: &Arc<Session>, _function: TmfFunction, _lun: u64) {}
    /// The session is over; responses would be dropped. Called once, on the thread that ended the session.
    fn closed(&self, session: &Arc<Session>, reason: &str);
}

/// Settings of a portal.
#[derive(Clone)]
pub struct PortalConfig {
    /// Decides which initiator may log in to which target.
    pub access: Arc<dyn AccessControl>,
    /// Limits of each session.
    pub limits: Limits,
    /// Bounds the bytes that the commands of all sessions hold; `None` for no bound.
    pub memory: Option<Arc<ByteBudget>>,
    /// Maximum number of connections; further ones are closed as soon as they are accepted.
    pub max_sessions: usize,
    /// Nothing more is read from a client while more than this many bytes of output are queued for it.
    pub max_unsent_bytes: usize,
    /// Where the assignment of TSIHs (target session identifying handles) starts. A host that restarts should
    /// start from another value, so that neither a TSIH from before the restart nor an identifier derived
    /// from it is reused soon.
    pub first_tsih: u16,
    /// Observes the bytes of all sessions; the number of a stream is its [`SessionId`].
    pub tap: Option<Arc<dyn crate::stream::Tap>>,
}

/// The part of a session in the memory of the commands.
struct SessionMemory(Arc<ByteAccount>);

impl CommandMemory for SessionMemory {
    fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.0.try_hold(bytes).map(Reservation::new)
    }
}

/// The target's end of a session with a single connection.
pub struct Session {
    id: SessionId,
    tsih: u16,
    peer: SocketAddr,
    target: Mutex<Target>,
    /// Notified when output was taken for writing, and when the session is closed.
    output_taken: Condvar,
    /// Wakes the writer thread.
    wake: Sender<()>,
    stream: TcpStream,
    /// The handler has been notified that the session is over.
    ended: AtomicBool,
    /// The connection was closed from this side.
    closed: AtomicBool,
    /// Output was taken from the target and is not written yet. Without this flag, the connection could be
    /// closed in between, and a client would not learn why its login failed.
    writing: AtomicBool,
}

impl Session {
    /// The identifier of the session within this process.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// The TSIH (target session identifying handle) on the wire.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// The client's address.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Sends the response to a command; does nothing if the command was aborted. Never blocks on the client.
    pub fn respond(&self, id: TaskId, response: Response) {
        lock(&self.target).respond(id, response);
        self.wake_writer();
    }

    /// Asks the client to log out within the given number of seconds.
    pub fn request_logout(&self, within_s: u16) {
        lock(&self.target).request_logout(within_s);
        self.wake_writer();
    }

    /// Drops the tasks of a logical unit, or all tasks, without a response, and returns them.
    pub fn abort_tasks(&self, lun: Option<u64>) -> Vec<TaskId> {
        let mut target = lock(&self.target);
        let tasks = target.task_ids(lun);
        tasks.iter().for_each(|id| target.abort(*id));
        tasks
    }

    /// Number of commands without a response.
    pub fn task_count(&self) -> usize {
        lock(&self.target).task_count()
    }

    /// Whether output for the client is queued or being written.
    pub fn has_unsent(&self) -> bool {
        let target = lock(&self.target);
        target.unsent_bytes() > 0 || self.writing.load(Ordering::SeqCst)
    }

    /// Whether the session is over, or its client has closed the connection and the reader has not got there yet: it
    /// may be reading commands that the client sent before.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst) || peer_closed(&self.stream)
    }

    /// Closes the connection immediately.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake_writer();
        self.output_taken.notify_all();
    }

    fn wake_writer(&self) {
        // If the channel is full, the writer already has a wake-up pending.
        let _ = self.wake.try_send(());
    }
}

/// What identifies a session to its initiator: name, ISID and target (RFC 7143, section 4.4.3).
type Nexus = (String, [u8; 6], Option<String>);

struct Shared {
    config: PortalConfig,
    handler: Arc<dyn SessionHandler>,
    sessions: Mutex<HashMap<SessionId, Arc<Session>>>,
    nexuses: Mutex<HashMap<Nexus, Arc<Session>>>,
    open_connections: AtomicUsize,
    next_id: AtomicU64,
    stopped_accepting: AtomicBool,
    stopped_reading: AtomicBool,
}

impl Shared {
    /// Returns a TSIH that no open session has; never 0. There are far more values than open sessions.
    fn allocate_tsih(&self, id: u64) -> u16 {
        let sessions = lock(&self.sessions);
        let first = id + u64::from(self.config.first_tsih);
        let candidates = (0..0xffff).map(|i| ((first + i) % 0xffff) as u16 + 1);
        let is_free = |tsih: &u16| sessions.values().all(|s| s.tsih != *tsih);
        candidates.into_iter().find(is_free).unwrap_or(1)
    }
}

/// Length of the kernel's queue of connections that are not accepted yet.
const ACCEPT_QUEUE_LEN: i32 = 1024;

/// A listener and its sessions.
pub struct Portal {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Portal {
    /// Starts to accept connections.
    ///
    /// # Errors
    /// The thread that accepts connections could not be started.
    pub fn start(
        listener: TcpListener,
        config: PortalConfig,
        handler: Arc<dyn SessionHandler>,
    ) -> io::Result<Portal> {
        let address = listener.local_addr()?;
        set_accept_backlog(&listener, ACCEPT_QUEUE_LEN)?;
        let shared = Arc::new(Shared {
            config,
            handler,
            sessions: Mutex::default(),
            nexuses: Mutex::default(),
            open_connections: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
            stopped_accepting: AtomicBool::new(false),
            stopped_reading: AtomicBool::new(false),
        });
        let acceptor = shared.clone();
        spawn_small_stack("portal", move || accept_loop(&listener, &acceptor))?;
        Ok(Portal { address, shared })
    }

    /// The address that the portal listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The open sessions.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.shared.sessions).values().cloned().collect()
    }

    /// Stops accepting connections; open sessions continue.
    pub fn stop_accepting(&self) {
        self.shared.stopped_accepting.store(true, Ordering::SeqCst);
        // The accepting thread is blocked in `accept`; a connection wakes it.
        let _ = TcpStream::connect_timeout(&self.address, std::time::Duration::from_millis(500));
    }

    /// Stops processing input from all clients: commands that were not processed yet are never executed.
    pub fn stop_reading(&self) {
        self.shared.stopped_reading.store(true, Ordering::SeqCst);
    }

    /// Closes all connections immediately and stops accepting new ones.
    pub fn close_all(&self) {
        self.stop_accepting();
        self.sessions().iter().for_each(|s| s.close());
    }
}

fn accept_loop(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let accepted = listener.accept();
        if shared.stopped_accepting.load(Ordering::SeqCst) {
            return;
        }
        match accepted {
            Ok((stream, peer)) => {
                if shared.open_connections.load(Ordering::SeqCst) >= shared.config.max_sessions {
                    tracing::warn!(%peer, "connection closed: the maximum number of sessions is open");
                    continue;
                }
                if let Err(e) = start_session(stream, peer, shared) {
                    tracing::warn!(%peer, error = %e, "connection closed: its session could not be started");
                }
            }
            // Out of file descriptors, or the connection was reset in the accept queue. The pause gives other
            // connections time to end and free descriptors.
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                std::thread::sleep(std::time::Duration::from_millis(20));
            }
        }
    }
}

fn start_session(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let id = shared.next_id.fetch_add(1, Ordering::SeqCst);
    let tsih = shared.allocate_tsih(id);
    let memory = shared.config.memory.as_ref().map(|budget| SessionMemory(budget.open_account()));
    let memory = memory.map(|memory| Arc::new(memory) as Arc<dyn CommandMemory>);
    let target = Target::new(shared.config.access.clone(), tsih, shared.config.limits).with_memory(memory);
    let (wake, wakeups) = bounded(1);
    let session = Arc::new(Session {
        id: SessionId(id),
        tsih,
        peer,
        target: Mutex::new(target),
        output_taken: Condvar::new(),
        wake,
        stream: stream.try_clone()?,
        ended: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        writing: AtomicBool::new(false),
    });
    let tap = StreamTap(shared.config.tap.clone().map(|t| (t, id)));
    let (writer_session, writer_stream, writer_tap) = (session.clone(), stream.try_clone()?, tap.clone());
    lock(&shared.sessions).insert(session.id, session.clone());
    shared.open_connections.fetch_add(1, Ordering::SeqCst);
    let reader = Reader { shared: shared.clone(), session, tap, nexus: None };
    // From here on, whatever fails, `Reader::finish` removes the session.
    let writer = spawn_small_stack("writer", move || {
        write_loop(&writer_session, writer_stream, &wakeups, &writer_tap)
    });
    if writer.is_err() {
        reader.finish("the writer thread could not be started");
        return writer.map(drop);
    }
    spawn_small_stack("reader", move || reader.run(stream)).map(drop)
}

fn write_loop(session: &Session, mut stream: TcpStream, wakeups: &Receiver<()>, tap: &StreamTap) {
    while wakeups.recv().is_ok() {
        loop {
            let (chunks, closing) = {
                let mut target = lock(&session.target);
                let chunks = target.take_output();
                session.writing.store(!chunks.is_empty(), Ordering::SeqCst);
                (chunks, target.is_closing())
            };
            session.output_taken.notify_all();
            if chunks.is_empty() {
                if closing || session.ended.load(Ordering::SeqCst) {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                break;
            }
            if write_chunks(&mut stream, chunks, tap).is_err() {
                session.writing.store(false, Ordering::SeqCst);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// How long a client may take to receive the last output of its session.
const FINAL_FLUSH_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// The state of a session's reader thread.
struct Reader {
    shared: Arc<Shared>,
    session: Arc<Session>,
    tap: StreamTap,
    nexus: Option<Nexus>,
}

impl Reader {
    fn run(mut self, mut stream: TcpStream) {
        let reason = self.read_loop(&mut stream);
        self.finish(&reason);
    }

    fn finish(&self, reason: &str) {
        let (shared, session) = (&self.shared, &self.session);
        end_once(shared, session, reason);
        lock(&shared.sessions).remove(&session.id);
        if let Some(nexus) = &self.nexus {
            let mut nexuses = lock(&shared.nexuses);
            if nexuses.get(nexus).is_some_and(|s| s.id == session.id) {
                nexuses.remove(nexus);
            }
        }
        // The last output, such as a Reject or a login status, is still written. The time is limited: a
        // client that never reads it would block the writer thread forever, and could do so with any number
        // of connections.
        session.wake_writer();
        let deadline = std::time::Instant::now() + FINAL_FLUSH_TIMEOUT;
        while session.has_unsent() && std::time::Instant::now() < deadline {
            let target = lock(&session.target);
            drop(session.output_taken.wait_timeout(target, FINAL_FLUSH_TIMEOUT / 50));
        }
        session.close();
        self.tap.closed();
        shared.open_connections.fetch_sub(1, Ordering::SeqCst);
    }

    fn read_loop(&mut self, stream: &mut TcpStream) -> String {
        let mut events = Vec::new();
        let session = self.session.clone();
        loop {
            // Only this thread uses the decoder, so its buffer is filled without holding the lock.
            let (mut buffer, missing) = {
                let mut target = lock(&session.target);
                while target.unsent_bytes() > self.shared.config.max_unsent_bytes
                    && !session.ended.load(Ordering::SeqCst)
                {
                    // A client that sends commands and never reads would otherwise fill memory with
                    // responses.
                    let wait = std::time::Duration::from_millis(500);
                    let wait_result = session.output_taken.wait_timeout(target, wait);
                    target = wait_result.unwrap_or_else(PoisonError::into_inner).0;
                }
                let missing = target.decoder().missing_bytes();
                (std::mem::take(target.decoder().buffer()), missing)
            };
            let old_len = buffer.len();
            match read_once(stream, &mut buffer, missing) {
                Ok(0) => return "closed by the peer".to_owned(),
                Ok(_) => self.tap.bytes(Direction::In, &buffer[old_len..]),
                Err(e) => return e.to_string(),
            }
            {
                let mut target = lock(&session.target);
                while self.shared.stopped_reading.load(Ordering::SeqCst)
                    && !session.ended.load(Ordering::SeqCst)
                {
                    let wait_result =
                        session.output_taken.wait_timeout(target, std::time::Duration::from_millis(100));
                    target = wait_result.unwrap_or_else(PoisonError::into_inner).0;
                    if session.closed.load(Ordering::SeqCst) {
                        return "stopped".to_owned();
                    }
                }
                *target.decoder().buffer() = buffer;
                target.process(&mut events);
            }
            // The session's own output, such as a login response, is sent before any response to the events
            // below.
            session.wake_writer();
            for event in events.drain(..) {
                match event {
                    TargetEvent::LoggedIn { initiator, target, isid } => {
                        let name = target.clone();
                        if let Err(status) = self.logged_in((initiator, isid, target), name.as_deref()) {
                            return status.to_string();
                        }
                    }
                    TargetEvent::Command(c) => self.shared.handler.command(&session, *c),
                    TargetEvent::Aborted(id) => self.shared.handler.aborted(&session, id),
                    TargetEvent::TaskManagement { function, lun } => {
                        self.shared.handler.task_management(&session, function, lun);
                    }
                    TargetEvent::Closing(reason) => return reason,
                }
            }
        }
    }

    fn logged_in(&mut self, nexus: Nexus, target: Option<&str>) -> Result<(), LoginStatus> {
        // Session reinstatement (RFC 7143, section 6.3.5): the older session of this nexus ends first.
        let replaced = lock(&self.shared.nexuses).insert(nexus.clone(), self.session.clone());
        if let Some(replaced) = replaced {
            end_once(&self.shared, &replaced, "replaced by a new session of the same initiator and ISID");
        }
        let initiator = nexus.0.clone();
        self.nexus = Some(nexus);
        self.shared.handler.logged_in(&self.session, &initiator, target)
    }
}

/// Notifies the handler that a session is over, once, whichever thread finds out first.
fn end_once(shared: &Shared, session: &Arc<Session>, reason: &str) {
    if !session.ended.swap(true, Ordering::SeqCst) {
        shared.handler.closed(session, reason);
        if !lock(&session.target).is_closing() {
            session.close();
        }
    }
}
