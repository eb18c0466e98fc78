//! Starts and stops the threads of a host.

use crate::client::Mailbox;
use crate::client_reader::{ClientBounds, ClientReader, ShutdownFlags};
use crate::engine::{Engine, Message};
use crate::links::NodeLinks;
use crate::test_hooks::TestHooks;
use crate::watch::{CallTiming, DiscoveryTarget, DiscoveryWatcher};
use crossbeam_channel::{bounded, Sender};
use pearfork_drive::Driver;
use pearfork_net::{lock, retry_startup_shortage, spawn_small_stack, Clock, Flusher, Poller};
use pearfork_platform::clients::ClientTable;
use pearfork_platform::config::Config;
use pearfork_platform::descriptors::{max_node_connections, DescriptorSplit};
use pearfork_platform::memory::{client_budget, max_node_list_bytes, node_budget};
use pearfork_platform::pool::Pool;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Error at the start of a host.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The listening address cannot be used.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread or a poller cannot be created.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The scheduler rejects a setting.
    #[error(transparent)]
    Scheduler(#[from] pearfork::SettingsError),
}

/// Maximum number of messages in the engine's queue.
const ENGINE_QUEUE: usize = 4096;
/// The platform kills a host no earlier than this after the shutdown request plus the longest deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// A longer deadline counts as this one.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How long before the earliest kill every open request gets its final answer.
const FINAL_ANSWERS_LEAD: Duration = Duration::from_millis(200);
/// How long before the earliest kill idle connections are closed.
const CLOSE_IDLE_LEAD: Duration = Duration::from_millis(400);
/// How long before the earliest kill the host exits by itself.
const EXIT_LEAD: Duration = Duration::from_millis(30);

/// Times of a shutdown, counted from its request.
#[derive(Clone, Copy, Debug)]
struct ShutdownTimes {
    /// Idle connections are closed.
    close_idle: Duration,
    /// Every open request gets its final answer, then all connections are closed.
    final_answers: Duration,
    /// The process exits, whatever is left.
    exit: Duration,
}

impl ShutdownTimes {
    /// Clients keep using the connections they have, so a host that closes them early does not serve them for
    /// seconds. With a tenth of the fleet restarting at any time, that would cost the fleet a tenth of its
    /// service.
    fn for_deadline(longest_deadline: Duration) -> ShutdownTimes {
        let end = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        ShutdownTimes {
            close_idle: end - CLOSE_IDLE_LEAD,
            final_answers: end - FINAL_ANSWERS_LEAD,
            exit: end - EXIT_LEAD,
        }
    }
}

/// A running host.
pub struct Service {
    listener: Arc<TcpListener>,
    engine: Sender<Message>,
    mailbox: Arc<Mailbox>,
    table: Arc<Mutex<ClientTable>>,
    discovery: Arc<DiscoveryTarget>,
    shutdown: Arc<ShutdownFlags>,
    longest_deadline: Duration,
}

impl Service {
    /// Starts a host.
    ///
    /// # Errors
    /// The address cannot be used, a thread cannot be started, or the scheduler rejects a setting.
    pub fn start(config: Config) -> Result<Service, ServiceError> {
        Service::start_with_hooks(config, TestHooks::default())
    }

    /// Like [`Service::start`], with a hook at each [`Point`].
    ///
    /// # Errors
    /// Same as [`Service::start`].
    #[cfg(feature = "pauses")]
    pub fn start_with_point_hook(
        config: Config,
        hook: crate::test_hooks::PointHook,
    ) -> Result<Service, ServiceError> {
        Service::start_with_hooks(config, TestHooks { point_hook: Some(hook), connect_hook: None })
    }

    /// Like [`Service::start`], with a hook for each new connection to a node.
    ///
    /// # Errors
    /// Same as [`Service::start`].
    #[cfg(feature = "pauses")]
    pub fn start_with_connect_hook(
        config: Config,
        hook: crate::test_hooks::ConnectHook,
    ) -> Result<Service, ServiceError> {
        Service::start_with_hooks(config, TestHooks { point_hook: None, connect_hook: Some(hook) })
    }

    fn start_with_hooks(config: Config, hooks: TestHooks) -> Result<Service, ServiceError> {
        let address = config.listen;
        let grace = Duration::from_secs_f64(config.scheduler.drain_grace_ms / 1_000.0);
        let longest_deadline = config.scheduler.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let driver = Driver::new(config.scheduler, config.seed)?;
        let clock = Clock::start();
        // Descriptors first, so that a host that gets none has not started anything.
        let listener = retry_startup_shortage(|| TcpListener::bind(address));
        let listener = Arc::new(listener.map_err(|source| ServiceError::Listen { address, source })?);
        let (node_poller, client_poller) =
            (retry_startup_shortage(Poller::new)?, retry_startup_shortage(Poller::new)?);
        let flusher = retry_startup_shortage(Flusher::start)?;
        let (engine, messages) = bounded(ENGINE_QUEUE);
        let split = DescriptorSplit::new(config.limits.descriptors);
        let table = Arc::new(Mutex::new(ClientTable::new(split.client_connections(0))));
        let pool = Pool::new(config.links, split.node_connections())
            .with_kept_links(max_node_connections(config.limits.descriptors));
        let node_budget = node_budget(&config.limits);
        let mut node_links = NodeLinks::new(engine.clone(), clock, flusher.clone(), node_poller, node_budget);
        node_links.hooks = hooks.clone();
        let node_links = Arc::new(node_links);
        let reader = node_links.clone();
        spawn_small_stack("nodes", move || reader.run())?;
        let mut engine_thread = Engine::new(
            driver,
            pool,
            split,
            clock,
            table.clone(),
            node_links,
            config.links.connect_timeout_ms,
        );
        engine_thread.hooks = hooks.clone();
        engine_thread.prepare(&config.cached_nodes);
        spawn_small_stack("engine", move || engine_thread.run(&messages))?;
        let discovery = Arc::new(DiscoveryTarget::new(config.discovery));
        let timing = CallTiming::for_grace(grace);
        let max_list_bytes = max_node_list_bytes(&config.limits);
        let watcher = DiscoveryWatcher::new(discovery.clone(), engine.clone(), timing, max_list_bytes);
        spawn_small_stack("discovery", move || watcher.run())?;
        let (mailbox, shutdown) = (Arc::new(Mailbox::new(client_poller)), Arc::new(ShutdownFlags::default()));
        let mut client_reader = ClientReader::new(
            mailbox.clone(),
            ClientBounds { table: table.clone(), budget: client_budget(&config.limits) },
            config.schema,
            engine.clone(),
            clock,
            flusher,
            shutdown.clone(),
        );
        client_reader.hooks = hooks;
        client_reader.register_listener(&listener)?;
        let reader_listener = listener.clone();
        spawn_small_stack("clients", move || client_reader.run(&reader_listener))?;
        tracing::info!(name = config.name, %address, "host listens");
        let longest_deadline = Duration::from_secs_f64(longest_deadline / 1_000.0);
        Ok(Service { listener, engine, mailbox, table, discovery, shutdown, longest_deadline })
    }

    /// Address on which clients connect.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// The listener, so that a test can shrink the buffers of its connections.
    #[cfg(feature = "pauses")]
    pub fn listener(&self) -> &TcpListener {
        &self.listener
    }

    /// Number of client connections, including those that are being closed.
    pub fn client_count(&self) -> usize {
        lock(&self.table).count()
    }

    /// Follows discovery at another address from now on. The node list stays in force until that address
    /// returns its own.
    pub fn set_discovery_address(&self, discovery: SocketAddr) {
        self.discovery.set_address(discovery);
    }

    /// Shuts down in order: accepts connections and serves requests for as long as the platform allows, then
    /// closes all connections. Returns `false` if an accepted request could not be answered.
    pub fn stop(&self) -> bool {
        let began = Instant::now();
        let times = ShutdownTimes::for_deadline(self.longest_deadline);
        if self.engine.send(Message::Shutdown(times.final_answers)).is_err() {
            return false;
        }
        for (at, flag) in
            [(times.close_idle, &self.shutdown.close_idle), (times.final_answers, &self.shutdown.close_all)]
        {
            std::thread::sleep(at.saturating_sub(began.elapsed()));
            flag.store(true, Ordering::SeqCst);
            self.mailbox.poller.wake();
        }
        let until = began + times.exit;
        loop {
            let connections = lock(&self.table).count();
            let (to, from) = bounded(1);
            let is_sent = self.engine.send(Message::CountOpen(to)).is_ok();
            let open = if is_sent { from.recv_timeout(Duration::from_secs(1)).unwrap_or(1) } else { 0 };
            if connections == 0 && open == 0 {
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
        self.shutdown.stop.store(true, Ordering::SeqCst);
        self.mailbox.poller.wake();
        let _ = self.engine.try_send(Message::Stop);
    }
}
