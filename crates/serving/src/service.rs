//! A host put together.

use crate::client::Mailbox;
use crate::engine::{Engine, Message};
use crate::front::{Front, Leaving};
use crate::links::Nodes;
use crate::pauses::Pauses;
use crate::watch::{Following, Pace, Watcher};
use crossbeam_channel::{bounded, Sender};
use pearfork_drive::Driver;
use pearfork_net::{lock, retry_startup_shortage, spawn_small_stack, Clock, Flusher, Poller};
use pearfork_platform::clients::{max_client_connections, max_node_connections, ClientTable};
use pearfork_platform::config::Config;
use pearfork_platform::pool::Pool;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A host that could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The address could not be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// No thread could be had.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The module refuses a setting.
    #[error(transparent)]
    Module(#[from] pearfork::SettingsError),
}

/// Messages that wait for the engine at the most.
const ENGINE_QUEUE: usize = 4096;
/// The platform ends a host no sooner than this after the longest deadline, which counts as [`LONGEST`] at the most.
const ENDED: Duration = Duration::from_millis(700);
const LONGEST: Duration = Duration::from_secs(3);
/// Before it is ended all is answered, and before that, connections that rest are closed.
const ANSWERED: Duration = Duration::from_millis(200);
const CLOSING: Duration = Duration::from_millis(400);
/// Before it is ended the host is gone by itself.
const GONE: Duration = Duration::from_millis(30);

/// The moments of a host that leaves, counted from the word to leave.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Connections that rest are closed.
    closing: Duration,
    /// The last answer, and then the end of all connections.
    last: Duration,
    /// The process ends, whatever is left.
    gone: Duration,
}

impl Departure {
    /// Danger: clients go on using the connections that they have, and a host that closes these early refuses them
    /// its service for seconds; with a tenth of the fleet on its way out at any time, it is the fleet's.
    fn of(longest: Duration) -> Departure {
        let end = longest.min(LONGEST) + ENDED;
        Departure { closing: end - CLOSING, last: end - ANSWERED, gone: end - GONE }
    }
}

/// A running host.
pub struct Service {
    listener: Arc<TcpListener>,
    engine: Sender<Message>,
    mailbox: Arc<Mailbox>,
    table: Arc<Mutex<ClientTable>>,
    discovery: Arc<Following>,
    leaving: Arc<Leaving>,
    longest: Duration,
}

impl Service {
    /// Starts a host.
    ///
    /// # Errors
    /// What the machine refuses: the address, threads. What the module refuses.
    pub fn start(config: Config) -> Result<Service, ServiceError> {
        Service::start_with(config, Pauses::default())
    }

    /// The same, held at named points.
    ///
    /// # Errors
    /// As [`Service::start`].
    #[cfg(feature = "pauses")]
    pub fn start_held(config: Config, hold: crate::pauses::Hold) -> Result<Service, ServiceError> {
        Service::start_with(config, Pauses { hold: Some(hold), prepare: None })
    }

    /// The same, with each connection to a node prepared before it carries anything.
    ///
    /// # Errors
    /// As [`Service::start`].
    #[cfg(feature = "pauses")]
    pub fn start_prepared(config: Config, prepare: crate::pauses::Prepare) -> Result<Service, ServiceError> {
        Service::start_with(config, Pauses { hold: None, prepare: Some(prepare) })
    }

    fn start_with(config: Config, pauses: Pauses) -> Result<Service, ServiceError> {
        let address = config.listen;
        let grace = Duration::from_secs_f64(config.module.drain_grace_ms / 1_000.0);
        let longest = config.module.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let driver = Driver::new(config.module, config.seed)?;
        let clock = Clock::start();
        // Descriptors first: a host that gets none has begun nothing.
        let listener = retry_startup_shortage(|| TcpListener::bind(address));
        let listener = Arc::new(listener.map_err(|source| ServiceError::Listen { address, source })?);
        let (node_poller, client_poller) =
            (retry_startup_shortage(Poller::new)?, retry_startup_shortage(Poller::new)?);
        let flusher = retry_startup_shortage(Flusher::start)?;
        let (engine, messages) = bounded(ENGINE_QUEUE);
        let table = Arc::new(Mutex::new(ClientTable::new(max_client_connections(config.limits.sockets))));
        let pool = Pool::new(config.links, max_node_connections(config.limits.sockets));
        let mut nodes = Nodes::new(engine.clone(), clock, flusher.clone(), node_poller);
        nodes.pauses = pauses.clone();
        let nodes = Arc::new(nodes);
        let reads = nodes.clone();
        spawn_small_stack("nodes", move || reads.run())?;
        let mut running = Engine::new(driver, pool, clock, table.clone(), nodes, config.links.connect_ms);
        running.pauses = pauses.clone();
        running.known(&config.known);
        spawn_small_stack("engine", move || running.run(&messages))?;
        let discovery = Arc::new(Following::new(config.discovery));
        let watcher = Watcher::new(discovery.clone(), engine.clone(), Pace::within(grace));
        spawn_small_stack("discovery", move || watcher.run())?;
        let (mailbox, leaving) = (Arc::new(Mailbox::new(client_poller)), Arc::new(Leaving::default()));
        let mut front = Front::new(
            mailbox.clone(),
            table.clone(),
            config.words,
            engine.clone(),
            clock,
            flusher,
            leaving.clone(),
        );
        front.pauses = pauses;
        front.open(&listener)?;
        let accepting = listener.clone();
        spawn_small_stack("clients", move || front.run(&accepting))?;
        tracing::info!(name = config.name, %address, "host listens");
        let longest = Duration::from_secs_f64(longest / 1_000.0);
        Ok(Service { listener, engine, mailbox, table, discovery, leaving, longest })
    }

    /// Where clients come.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Where it listens, so that a test can make the buffers of its connections small.
    #[cfg(feature = "pauses")]
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Client connections that it holds, those included that it is ending.
    pub fn clients(&self) -> usize {
        lock(&self.table).held()
    }

    /// Follows discovery at another address from now on, with the list as it is until that one tells its own.
    pub fn set_discovery_address(&self, discovery: SocketAddr) {
        self.discovery.change(discovery);
    }

    /// Leaves in order: takes connections and serves all that are there for as long as the platform lets it, then ends
    /// them. False where something taken could not be answered.
    pub fn stop(&self) -> bool {
        let began = Instant::now();
        let departure = Departure::of(self.longest);
        if self.engine.send(Message::Leave(departure.last)).is_err() {
            return false;
        }
        for (at, flag) in [(departure.closing, &self.leaving.closing), (departure.last, &self.leaving.last)] {
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            flag.store(true, Ordering::SeqCst);
            self.mailbox.poller.wake();
        }
        let until = began + departure.gone;
        loop {
            let held = lock(&self.table).held();
            let (to, from) = bounded(1);
            let asked = self.engine.send(Message::Open(to)).is_ok();
            let open = if asked { from.recv_timeout(Duration::from_secs(1)).unwrap_or(1) } else { 0 };
            if held == 0 && open == 0 {
                return true;
            }
            if Instant::now() >= until {
                return open == 0;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.leaving.over.store(true, Ordering::SeqCst);
        self.mailbox.poller.wake();
        let _ = self.engine.try_send(Message::Stop);
    }
}
