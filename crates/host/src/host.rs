//! A running host: starts and stops the engine, the frontend, the links, the directory watcher and the status
//! server.

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts};
use crate::directory::{WatchCommand, Watcher};
use crate::dispatcher::{CommandId, Dispatcher, FinalAnswer, Input};
use crate::engine::{self, Message, OutputHandler};
use crate::fleet::SharedLimits;
use crate::frontend::{Frontend, InitiatorAccess};
use crate::links::Links;
use crate::memory::ClientMemory;
use crate::settings::{HostSettings, HostSettingsErrors};
use crate::status::{self, Snapshot};
use crossbeam_channel::{bounded, Receiver, Sender};
use pearfork_fleet::FleetMember;
use pearfork_iscsi::Limits;
use pearfork_net::{http, spawn_small_stack, Clock, Portal, PortalConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Why a host could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The host cannot listen at one of its addresses.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The operating system refuses a thread.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The host's part of the fleet cannot start.
    #[error(transparent)]
    Fleet(#[from] pearfork_fleet::FleetError),
    /// The scheduler refuses a setting.
    #[error(transparent)]
    Scheduler(#[from] pearfork::SettingsError),
}

/// Capacity of the engine's message queue.
const ENGINE_QUEUE: usize = 8192;

/// A running host. Dropping it stops it at once; [`Host::stop`] finishes the open commands first.
pub struct Host {
    settings: Arc<HostSettings>,
    portal: Portal,
    engine: Sender<Message>,
    watch_commands: Sender<WatchCommand>,
    links: Arc<Links>,
    http: Option<http::Server>,
    draining: Arc<AtomicBool>,
    drain_requests: Receiver<()>,
    /// Keeps the channel open. Without HTTP this is its only sender; a closed channel wakes the receiver as a
    /// drain request does, so that the host would stop as soon as it had started.
    _drain_sender: Sender<()>,
    fleet: Option<Arc<FleetMember>>,
}

struct EngineOutputs {
    frontend: Arc<Frontend>,
    watch_commands: Sender<WatchCommand>,
}

impl OutputHandler for EngineOutputs {
    fn answer(&self, id: CommandId, answer: FinalAnswer) {
        self.frontend.answer(id, answer);
    }

    fn watch(&self, on: bool) {
        let _ = self.watch_commands.try_send(WatchCommand::Watch(on));
    }

    fn fetch_node_list(&self) {
        let _ = self.watch_commands.try_send(WatchCommand::FetchNodeList);
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(address).map_err(|source| HostError::Listen { address, source })
}

impl Host {
    /// Starts a host with these settings.
    ///
    /// # Errors
    /// An address that cannot be listened at, a thread that cannot be started, or settings that the scheduler
    /// or the fleet refuses.
    pub fn start(settings: HostSettings) -> Result<Host, HostError> {
        let settings = Arc::new(settings);
        let listener = listen(settings.listen)?;
        let address = listener.local_addr()?;
        let http_listener = settings.http.map(listen).transpose()?;
        let clock = Clock::start();
        let boot = (clock.now_ms() / 1_000.0) as u32;
        let seed =
            settings.seed.unwrap_or_else(|| clock.now_ms().to_bits() ^ u64::from(settings.number) << 48);
        let mut dispatcher = Dispatcher::new(settings.clone(), seed, boot)?;
        // Until its first lease a host of a fleet has only its floors. With an even share of each limit it
        // would exceed the limit together with what the fleet lends to others.
        let shared = settings.fleet.as_ref().map(|f| SharedLimits::new(&settings, f, dispatcher.demand()));
        if let Some(limits) = &shared {
            dispatcher.handle(clock.now_ms(), Input::LimitShares(limits.floors()), &mut Vec::new());
        }
        let (engine, messages) = bounded(ENGINE_QUEUE);
        let (watch_commands, watch_receiver) = bounded(64);
        let links = Links::new(
            settings.number,
            &settings.node_target,
            settings.extension,
            settings.connect_timeout.duration(),
            engine.clone(),
            clock,
        );
        let frontend = Arc::new(Frontend::new(settings.clone(), engine.clone(), clock));
        let outputs = EngineOutputs { frontend: frontend.clone(), watch_commands: watch_commands.clone() };
        let engine_links = links.clone();
        spawn_small_stack("engine", move || {
            engine::run(dispatcher, clock, &messages, &engine_links, &outputs)
        })?;
        let watcher = Watcher {
            host: settings.number,
            directory: settings.directory,
            wait: settings.directory_wait.duration(),
            links: links.clone(),
            engine: engine.clone(),
        };
        spawn_small_stack("directory", move || watcher.run(&watch_receiver))?;
        let memory = ClientMemory::divide(settings.memory, settings.sessions);
        let config = PortalConfig {
            access: Arc::new(InitiatorAccess { settings: settings.clone(), address }),
            limits: Limits {
                max_commands: settings.commands,
                max_transfer_bytes: settings.max_transfer,
                max_data_segment: memory.max_data_segment,
            },
            memory: Some(memory.commands),
            max_sessions: settings.sessions,
            max_unsent_bytes: memory.max_unsent,
            first_tsih: (boot.wrapping_mul(40_503) >> 8) as u16,
            tap: None,
        };
        let fleet = match (&settings.fleet, shared) {
            (Some(own), Some(limits)) => {
                Some(Arc::new(FleetMember::start(own.clone(), limits.user(engine.clone(), clock))?))
            }
            _ => None,
        };
        let portal = Portal::start(listener, config, frontend.clone())?;
        let draining = Arc::new(AtomicBool::new(false));
        let (drain_sender, drain_requests) = bounded(1);
        let http = match http_listener {
            Some(listener) => {
                let (settings, engine, frontend) = (settings.clone(), engine.clone(), frontend.clone());
                let (draining, drain, fleet) = (draining.clone(), drain_sender.clone(), fleet.clone());
                let respond = move |call: http::Request<'_>| match status::admin_request(call) {
                    Some(status::AdminRequest::Drain) => {
                        let again = draining.swap(true, Ordering::SeqCst);
                        // The channel holds one request; further ones are answered and otherwise ignored.
                        let _ = drain.try_send(());
                        let text = if again { "it drains already\n" } else { "it drains\n" };
                        http::Response {
                            status: 202,
                            ..http::Response::ok("text/plain; charset=utf-8", text)
                        }
                    }
                    None => {
                        let draining = draining.load(Ordering::SeqCst);
                        let snapshot = engine::inspect(&engine, Snapshot::of);
                        let fleet = fleet.as_ref().map(|f| f.view());
                        status::respond(
                            call,
                            &settings,
                            snapshot,
                            frontend.sessions(),
                            draining,
                            fleet.as_ref(),
                        )
                    }
                };
                Some(http::Server::start_with_methods(listener, respond)?)
            }
            None => None,
        };
        tracing::info!(%address, number = settings.number, volumes = settings.volumes.len(), settings = settings.provenance.fingerprint(), "host started");
        Ok(Host {
            settings,
            portal,
            engine,
            watch_commands,
            links,
            http,
            draining,
            drain_requests,
            _drain_sender: drain_sender,
            fleet,
        })
    }

    /// The address that iSCSI clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.portal.address()
    }

    /// The address of health, metrics and status over HTTP.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http.as_ref().map(http::Server::address)
    }

    /// The settings that the host runs with.
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Uses the matching rules of other settings for commands from now on; commands in flight keep their
    /// class and plan.
    ///
    /// # Errors
    /// The new settings differ in classes or plans; the old rules stay in use.
    pub fn update_matching(&self, new: &HostSettings) -> Result<(), HostSettingsErrors> {
        let matching = self.settings.compatible_matching(new)?;
        let _ = self.engine.send(Message::Input(Input::Matching(matching)));
        Ok(())
    }

    /// Receives a message once a drain request arrives over HTTP; the host's owner then calls [`Host::stop`].
    pub fn drain_requests(&self) -> &Receiver<()> {
        &self.drain_requests
    }

    /// Counters by class, in the order of the settings; `None` if the engine does not answer in time.
    pub fn class_counts(&self) -> Option<Vec<ClassCounts>> {
        engine::inspect(&self.engine, |d, _| d.class_counts().to_vec())
    }

    /// Counters by class, and refusals and failures by class, volume and the scheduler's reason, both of the
    /// same moment.
    pub fn counts(&self) -> Option<(Vec<ClassCounts>, ReasonCounts)> {
        engine::inspect(&self.engine, |d, _| (d.class_counts().to_vec(), d.reason_counts().clone()))
    }

    /// Counters by node.
    pub fn node_counts(&self) -> Option<BTreeMap<u32, NodeCounts>> {
        engine::inspect(&self.engine, |d, _| d.node_counts().clone())
    }

    /// Blocks the engine for `span`, as if the machine were suspended: a fault for tests and scenarios.
    pub fn stall_engine(&self, span: Duration) {
        let _ = self.engine.send(Message::Stall(span));
    }

    /// Shuts down: accepts no new commands, answers the open ones and closes the connections. False if the
    /// time-out `transport.drain` ran out before every command was answered.
    pub fn stop(&self) -> bool {
        self.draining.store(true, Ordering::SeqCst);
        self.portal.stop_accepting();
        self.portal.stop_reading();
        self.portal.sessions().iter().for_each(|s| s.request_logout(1));
        let deadline = Instant::now() + self.settings.drain.duration();
        let idle = loop {
            if engine::inspect(&self.engine, |d, _| d.open_commands()) == Some(0) {
                break true;
            }
            if Instant::now() >= deadline {
                break false;
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        // The last responses may still be queued for slow clients.
        let all_sent = || self.portal.sessions().iter().all(|s| !s.has_unsent());
        while !all_sent() && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.portal.close_all();
        self.links.close_all();
        if let Some(fleet) = &self.fleet {
            // This host sends nothing any more, so that the other hosts may use its lease at once.
            fleet.leave();
        }
        self.kill();
        idle
    }

    /// The state of the fleet as this host sees it; `None` outside a fleet.
    pub fn fleet(&self) -> Option<pearfork_fleet::FleetView> {
        self.fleet.as_ref().map(|f| f.view())
    }

    /// Stops at once, as a killed process does: open commands get no answer.
    pub fn kill(&self) {
        let _ = self.engine.try_send(Message::Stop);
        let _ = self.watch_commands.try_send(WatchCommand::Stop);
        self.portal.close_all();
        self.links.close_all();
        if let Some(fleet) = &self.fleet {
            fleet.stop();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
