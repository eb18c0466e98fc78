//! The accepting side: a listener, and for every connection the target's end of a session.

use crate::stream::{lock, read_once, spawn_small_stack, write_runs, Direction, StreamTap};
use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_iscsi::{
    AccessControl, Limits, LoginStatus, Response, ScsiCommand, Target, TargetEvent, TaskTag, TmfFunction,
};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Names a connection of this process; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SessionId(pub u64);

/// What stands behind a portal. Calls come from the session's reading thread, in the order of the wire.
pub trait SessionHandler: Send + Sync + 'static {
    /// The full feature phase began.
    ///
    /// # Errors
    /// The session is closed with the status.
    fn logged_in(
        &self,
        session: &Arc<Session>,
        initiator: &str,
        target: Option<&str>,
    ) -> Result<(), LoginStatus>;
    /// A command came, its data complete; it is ended by [`Session::respond`].
    fn command(&self, session: &Arc<Session>, command: ScsiCommand);
    /// The answer to a command is no longer wanted.
    fn aborted(&self, session: &Arc<Session>, tag: TaskTag);
    /// Task management that may concern other sessions.
    fn task_management(&self, _session: &Arc<Session>, _function: TmfFunction, _lun: u64) {}
    /// The connection is gone; no answer is wanted any more. Called once.
    fn closed(&self, session: &Arc<Session>, why: &str);
}

/// Bounds and the way in.
#[derive(Clone)]
pub struct PortalConfig {
    /// Who may log in where.
    pub access: Arc<dyn AccessControl>,
    /// Bounds of each session.
    pub limits: Limits,
    /// Most connections at once; further ones are closed at once.
    pub max_sessions: usize,
    /// Bytes waiting for a client beyond which nothing more is read from it.
    pub max_unsent_bytes: usize,
    /// Handle of the first session. A host that starts again begins elsewhere, so that no handle of its last life,
    /// and no name made of one, comes again soon.
    pub first_tsih: u16,
    /// Who notes the bytes; the stream's number is the session's.
    pub tap: Option<Arc<dyn crate::stream::Tap>>,
}

/// One connection, as long as it lasts.
pub struct Session {
    id: SessionId,
    tsih: u16,
    peer: SocketAddr,
    target: Mutex<Target>,
    taken: Condvar,
    wake: Sender<()>,
    stream: TcpStream,
    over: AtomicBool,
    closed: AtomicBool,
    /// Bytes were taken from the target's output and are not yet written. Danger: without it a connection would be
    /// closed between the two, and a client would never learn why its login failed.
    writing: AtomicBool,
}

impl Session {
    /// Names it in this process.
    pub fn id(&self) -> SessionId {
        self.id
    }

    /// The session's handle on the wire.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Where it comes from.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Ends a command; nothing happens where it was aborted. Never blocks on the client.
    pub fn respond(&self, tag: TaskTag, response: Response) {
        lock(&self.target).respond(tag, response);
        self.wake_writer();
    }

    /// Asks the client to log out.
    pub fn request_logout(&self, within_s: u16) {
        lock(&self.target).request_logout(within_s);
        self.wake_writer();
    }

    /// Drops tasks without an answer; which ones.
    pub fn abort_tasks(&self, lun: Option<u64>) -> Vec<TaskTag> {
        let mut target = lock(&self.target);
        let tags = target.tags(lun);
        tags.iter().for_each(|t| target.abort(*t));
        tags
    }

    /// Commands in work.
    pub fn task_count(&self) -> usize {
        lock(&self.target).task_count()
    }

    /// Whether something is still to be written to the client.
    pub fn has_unsent(&self) -> bool {
        let target = lock(&self.target);
        target.queued() > 0 || self.writing.load(Ordering::SeqCst)
    }

    /// Closes the connection at once.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
        self.wake_writer();
        self.taken.notify_all();
    }

    fn wake_writer(&self) {
        // Full: the writer has a call to look again before it already.
        let _ = self.wake.try_send(());
    }
}

/// A session in the eyes of its initiator: name, ISID and target (RFC 7143, section 4.4.3).
type Nexus = (String, [u8; 6], Option<String>);

struct Shared {
    config: PortalConfig,
    service: Arc<dyn SessionHandler>,
    sessions: Mutex<HashMap<SessionId, Arc<Session>>>,
    nexuses: Mutex<HashMap<Nexus, Arc<Session>>>,
    open: AtomicUsize,
    next: AtomicU64,
    stopping: AtomicBool,
    deaf: AtomicBool,
}

impl Shared {
    /// A handle that no open session has; never 0. There are far more handles than sessions may be open.
    fn handle(&self, number: u64) -> u16 {
        let sessions = lock(&self.sessions);
        let from = number + u64::from(self.config.first_tsih);
        let handles = (0..0xffff).map(|i| ((from + i) % 0xffff) as u16 + 1);
        let free = |h: &u16| sessions.values().all(|s| s.tsih != *h);
        handles.into_iter().find(free).unwrap_or(1)
    }
}

/// A listener with its sessions.
pub struct Portal {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Portal {
    /// Begins to accept.
    ///
    /// # Errors
    /// No thread could be had.
    pub fn start(
        listener: TcpListener,
        config: PortalConfig,
        service: Arc<dyn SessionHandler>,
    ) -> io::Result<Portal> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            config,
            service,
            sessions: Mutex::default(),
            nexuses: Mutex::default(),
            open: AtomicUsize::new(0),
            next: AtomicU64::new(1),
            stopping: AtomicBool::new(false),
            deaf: AtomicBool::new(false),
        });
        let inner = shared.clone();
        spawn_small_stack("portal", move || accept(&listener, &inner))?;
        Ok(Portal { address, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections now open.
    pub fn sessions(&self) -> Vec<Arc<Session>> {
        lock(&self.shared.sessions).values().cloned().collect()
    }

    /// Accepts no more; open sessions go on.
    pub fn stop_accepting(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // The accepting thread sits in accept: a connection wakes it.
        let _ = TcpStream::connect_timeout(&self.address, std::time::Duration::from_millis(500));
    }

    /// Reads no further command from any client: what has not been taken stays with them.
    pub fn stop_reading(&self) {
        self.shared.deaf.store(true, Ordering::SeqCst);
    }

    /// Closes all connections at once, and accepts no more.
    pub fn close_all(&self) {
        self.stop_accepting();
        self.sessions().iter().for_each(|s| s.close());
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        let accepted = listener.accept();
        if shared.stopping.load(Ordering::SeqCst) {
            return;
        }
        match accepted {
            Ok((stream, peer)) => {
                if shared.open.load(Ordering::SeqCst) >= shared.config.max_sessions {
                    tracing::warn!(%peer, "connection closed: as many sessions as the settings allow");
                    continue;
                }
                if let Err(e) = begin(stream, peer, shared) {
                    tracing::warn!(%peer, error = %e, "connection closed");
                }
            }
            // Out of descriptors, or a connection that died in the queue: let others end before the next try.
            Err(e) => {
                tracing::warn!(error = %e, "accept failed");
                std::thread::sleep(std::time::Duration::from_millis(20));
            }
        }
    }
}

fn begin(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let number = shared.next.fetch_add(1, Ordering::SeqCst);
    let tsih = shared.handle(number);
    let target = Target::new(shared.config.access.clone(), tsih, shared.config.limits);
    let (wake, woken) = bounded(1);
    let session = Arc::new(Session {
        id: SessionId(number),
        tsih,
        peer,
        target: Mutex::new(target),
        taken: Condvar::new(),
        wake,
        stream: stream.try_clone()?,
        over: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        writing: AtomicBool::new(false),
    });
    let tap = StreamTap(shared.config.tap.clone().map(|t| (t, number)));
    let (writing, writer_stream, writer_tap) = (session.clone(), stream.try_clone()?, tap.clone());
    lock(&shared.sessions).insert(session.id, session.clone());
    shared.open.fetch_add(1, Ordering::SeqCst);
    let reading = Reading { shared: shared.clone(), session, tap, nexus: None };
    // From here on the reading thread's end clears everything, whatever fails.
    let writer =
        spawn_small_stack("writer", move || write_loop(&writing, writer_stream, &woken, &writer_tap));
    if writer.is_err() {
        reading.finish("no thread for it");
        return writer.map(drop);
    }
    spawn_small_stack("reader", move || reading.run(stream)).map(drop)
}

fn write_loop(session: &Session, mut stream: TcpStream, woken: &Receiver<()>, tap: &StreamTap) {
    while woken.recv().is_ok() {
        loop {
            let (runs, closing) = {
                let mut target = lock(&session.target);
                let runs = target.take_output();
                session.writing.store(!runs.is_empty(), Ordering::SeqCst);
                (runs, target.is_closing())
            };
            session.taken.notify_all();
            if runs.is_empty() {
                if closing || session.over.load(Ordering::SeqCst) {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                break;
            }
            if write_runs(&mut stream, runs, tap).is_err() {
                session.writing.store(false, Ordering::SeqCst);
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// How long a client has to take what was said last.
const LAST_WORDS: std::time::Duration = std::time::Duration::from_secs(1);

struct Reading {
    shared: Arc<Shared>,
    session: Arc<Session>,
    tap: StreamTap,
    nexus: Option<Nexus>,
}

impl Reading {
    fn run(mut self, mut stream: TcpStream) {
        let why = self.read_loop(&mut stream);
        self.finish(&why);
    }

    fn finish(&self, why: &str) {
        let (shared, session) = (&self.shared, &self.session);
        end_once(shared, session, why);
        lock(&shared.sessions).remove(&session.id);
        if let Some(nexus) = &self.nexus {
            let mut nexuses = lock(&shared.nexuses);
            if nexuses.get(nexus).is_some_and(|s| s.id == session.id) {
                nexuses.remove(nexus);
            }
        }
        // What was said last, a reject or a login status, is still written. Danger: a client that never reads it
        // would keep the writing thread for ever, and could have as many of them as it likes.
        session.wake_writer();
        let until = std::time::Instant::now() + LAST_WORDS;
        while session.has_unsent() && std::time::Instant::now() < until {
            let target = lock(&session.target);
            drop(session.taken.wait_timeout(target, LAST_WORDS / 50));
        }
        session.close();
        self.tap.closed();
        shared.open.fetch_sub(1, Ordering::SeqCst);
    }

    fn read_loop(&mut self, stream: &mut TcpStream) -> String {
        let mut events = Vec::new();
        let session = self.session.clone();
        loop {
            // The decoder is this thread's alone: its buffer is filled without the lock.
            let (mut buffer, wanted) = {
                let mut target = lock(&session.target);
                while target.queued() > self.shared.config.max_unsent_bytes
                    && !session.over.load(Ordering::SeqCst)
                {
                    // Danger: a client that sends and never reads would fill memory with answers.
                    let wait = std::time::Duration::from_millis(500);
                    let waited = session.taken.wait_timeout(target, wait);
                    target = waited.unwrap_or_else(PoisonError::into_inner).0;
                }
                let wanted = target.decoder().wanted();
                (std::mem::take(target.decoder().buffer()), wanted)
            };
            let had = buffer.len();
            match read_once(stream, &mut buffer, wanted) {
                Ok(0) => return "closed by the peer".to_owned(),
                Ok(_) => self.tap.bytes(Direction::In, &buffer[had..]),
                Err(e) => return e.to_string(),
            }
            {
                let mut target = lock(&session.target);
                while self.shared.deaf.load(Ordering::SeqCst) && !session.over.load(Ordering::SeqCst) {
                    let waited = session.taken.wait_timeout(target, std::time::Duration::from_millis(100));
                    target = waited.unwrap_or_else(PoisonError::into_inner).0;
                    if session.closed.load(Ordering::SeqCst) {
                        return "stopped".to_owned();
                    }
                }
                *target.decoder().buffer() = buffer;
                target.process(&mut events);
            }
            // What the session itself has to say first, as a login answer, goes out before what events lead to.
            session.wake_writer();
            for event in events.drain(..) {
                match event {
                    TargetEvent::LoggedIn { initiator, target, isid } => {
                        let name = target.clone();
                        if let Err(status) = self.logged_in((initiator, isid, target), name.as_deref()) {
                            return status.to_string();
                        }
                    }
                    TargetEvent::Command(c) => self.shared.service.command(&session, *c),
                    TargetEvent::Aborted(tag) => self.shared.service.aborted(&session, tag),
                    TargetEvent::TaskManagement { function, lun } => {
                        self.shared.service.task_management(&session, function, lun);
                    }
                    TargetEvent::Closing(why) => return why,
                }
            }
        }
    }

    fn logged_in(&mut self, nexus: Nexus, target: Option<&str>) -> Result<(), LoginStatus> {
        // Session reinstatement (RFC 7143, section 6.3.5): the older session of this nexus ends first.
        let old = lock(&self.shared.nexuses).insert(nexus.clone(), self.session.clone());
        if let Some(old) = old {
            end_once(&self.shared, &old, "replaced by a new session of the same initiator and ISID");
        }
        let initiator = nexus.0.clone();
        self.nexus = Some(nexus);
        self.shared.service.logged_in(&self.session, &initiator, target)
    }
}

/// Tells the service once that a session is over, whichever thread finds out first.
fn end_once(shared: &Shared, session: &Arc<Session>, why: &str) {
    if !session.over.swap(true, Ordering::SeqCst) {
        shared.service.closed(session, why);
        if !lock(&session.target).is_closing() {
            session.close();
        }
    }
}
