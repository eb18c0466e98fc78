//! A host put together: engine, front, links, directory and status.

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts};
use crate::directory::{Ask, Watcher};
use crate::dispatcher::{Dispatcher, Final, Input, Origin};
use crate::engine::{self, Message, Outside};
use crate::fleet::Limits as SharedLimits;
use crate::front::{Door, Front};
use crate::links::Links;
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

/// A host that could not start.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// An address could not be listened at.
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
    /// No place in the fleet could be taken.
    #[error(transparent)]
    Fleet(#[from] pearfork_fleet::FleetError),
    /// The module refuses a setting.
    #[error(transparent)]
    Module(#[from] pearfork::SettingsError),
}

/// Messages that wait for the engine at the most.
const ENGINE_QUEUE: usize = 8192;
/// Bytes waiting for a client beyond which nothing more is read from it.
const UNREAD: usize = 8 << 20;

/// A running host. Dropping it stops it at once; [`Host::stop`] does so in order.
pub struct Host {
    plan: Arc<HostSettings>,
    portal: Portal,
    engine: Sender<Message>,
    asks: Sender<Ask>,
    links: Arc<Links>,
    http: Option<http::Server>,
    draining: Arc<AtomicBool>,
    drains: Receiver<()>,
    /// Danger: without HTTP nobody else holds this end, and a channel that is closed reads as a wish to drain: the host
    /// would stop as soon as it had started.
    _drain: Sender<()>,
    fleet: Option<Arc<FleetMember>>,
}

struct Outward {
    front: Arc<Front>,
    asks: Sender<Ask>,
}

impl Outside for Outward {
    fn answer(&self, origin: Origin, answer: Final) {
        self.front.answer(origin, answer);
    }

    fn watch(&self, on: bool) {
        let _ = self.asks.try_send(Ask::Watch(on));
    }

    fn read_list(&self) {
        let _ = self.asks.try_send(Ask::ReadList);
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(address).map_err(|source| HostError::Listen { address, source })
}

impl Host {
    /// Starts a host by a plan.
    ///
    /// # Errors
    /// What the machine refuses: addresses, threads.
    pub fn start(plan: HostSettings) -> Result<Host, HostError> {
        let plan = Arc::new(plan);
        let listener = listen(plan.listen)?;
        let address = listener.local_addr()?;
        let http_listener = plan.http.map(listen).transpose()?;
        let clock = Clock::start();
        let boot = (clock.now_ms() / 1_000.0) as u32;
        let seed = plan.seed.unwrap_or_else(|| clock.now_ms().to_bits() ^ u64::from(plan.number) << 48);
        let mut dispatcher = Dispatcher::new(plan.clone(), seed, boot)?;
        // Danger: until the fleet's first word a host in a fleet has its floors, and not an even part of each limit.
        let shared = plan.fleet.as_ref().map(|f| SharedLimits::of(&plan, f, dispatcher.asked()));
        if let Some(limits) = &shared {
            dispatcher.handle(clock.now_ms(), Input::Lent(limits.floors()), &mut Vec::new());
        }
        let (engine, messages) = bounded(ENGINE_QUEUE);
        let (asks, asked) = bounded(64);
        let links = Links::new(
            plan.number,
            &plan.node_target,
            plan.extension,
            plan.connect_timeout.duration(),
            engine.clone(),
            clock,
        );
        let front = Arc::new(Front::new(plan.clone(), engine.clone(), clock));
        let outward = Outward { front: front.clone(), asks: asks.clone() };
        let engine_links = links.clone();
        spawn_small_stack("engine", move || {
            engine::run(dispatcher, clock, &messages, &engine_links, &outward)
        })?;
        let watcher = Watcher {
            host: plan.number,
            directory: plan.directory,
            wait: plan.directory_wait.duration(),
            links: links.clone(),
            engine: engine.clone(),
        };
        spawn_small_stack("directory", move || watcher.run(&asked))?;
        let config = PortalConfig {
            access: Arc::new(Door { plan: plan.clone(), address }),
            limits: Limits { max_commands: plan.commands, max_transfer_bytes: plan.max_transfer },
            max_sessions: plan.sessions,
            max_unsent_bytes: UNREAD,
            first_tsih: (boot.wrapping_mul(40_503) >> 8) as u16,
            tap: None,
        };
        let fleet = match (&plan.fleet, shared) {
            (Some(own), Some(limits)) => {
                Some(Arc::new(FleetMember::start(own.clone(), limits.user(engine.clone(), clock))?))
            }
            _ => None,
        };
        let portal = Portal::start(listener, config, front.clone())?;
        let draining = Arc::new(AtomicBool::new(false));
        let (drain, drains) = bounded(1);
        let http = match http_listener {
            Some(listener) => {
                let (plan, engine, front) = (plan.clone(), engine.clone(), front.clone());
                let (draining, asked, fleet) = (draining.clone(), drain.clone(), fleet.clone());
                let answer = move |call: http::Request<'_>| match status::order(call) {
                    Some(status::Order::Drain) => {
                        let again = draining.swap(true, Ordering::SeqCst);
                        // One word is enough; whoever asks again is told that it is under way.
                        let _ = asked.try_send(());
                        let words = if again { "it drains already\n" } else { "it drains\n" };
                        http::Response {
                            status: 202,
                            ..http::Response::ok("text/plain; charset=utf-8", words)
                        }
                    }
                    None => {
                        let draining = draining.load(Ordering::SeqCst);
                        let snapshot = engine::look(&engine, Snapshot::of);
                        let fleet = fleet.as_ref().map(|f| f.view());
                        status::answer(call, &plan, snapshot, front.sessions(), draining, fleet.as_ref())
                    }
                };
                Some(http::Server::start_with_methods(listener, answer)?)
            }
            None => None,
        };
        tracing::info!(%address, number = plan.number, volumes = plan.volumes.len(), settings = plan.provenance.fingerprint(), "host listens");
        Ok(Host { plan, portal, engine, asks, links, http, draining, drains, _drain: drain, fleet })
    }

    /// Where iSCSI clients come.
    pub fn address(&self) -> SocketAddr {
        self.portal.address()
    }

    /// Where health, metrics and status are.
    pub fn http_address(&self) -> Option<SocketAddr> {
        self.http.as_ref().map(http::Server::address)
    }

    /// What it runs by.
    pub fn settings(&self) -> &HostSettings {
        &self.plan
    }

    /// Takes the matching rules of another plan for commands that come from now on; what is in flight keeps its terms.
    ///
    /// # Errors
    /// Why the old rules stay.
    pub fn update_matching(&self, new: &HostSettings) -> Result<(), HostSettingsErrors> {
        let matching = self.plan.compatible_matching(new)?;
        let _ = self.engine.send(Message::Input(Input::Matching(matching)));
        Ok(())
    }

    /// Rings once when somebody asks over HTTP that the host drain; its owner then calls [`Host::stop`].
    pub fn drain_requests(&self) -> &Receiver<()> {
        &self.drains
    }

    /// Counts by class, in the order of the settings; `None` where the engine does not answer.
    pub fn class_counts(&self) -> Option<Vec<ClassCounts>> {
        engine::look(&self.engine, |d, _| d.class_counts().to_vec())
    }

    /// The same, with refusals and failures by class, volume and the module's reason, of one moment.
    pub fn counts(&self) -> Option<(Vec<ClassCounts>, ReasonCounts)> {
        engine::look(&self.engine, |d, _| (d.class_counts().to_vec(), d.reason_counts().clone()))
    }

    /// Counts by node.
    pub fn node_counts(&self) -> Option<BTreeMap<u32, NodeCounts>> {
        engine::look(&self.engine, |d, _| d.node_counts().clone())
    }

    /// Lets the engine stand still, as a suspended machine does: a trouble for tests and scripted days.
    pub fn stall_engine(&self, span: Duration) {
        let _ = self.engine.send(Message::StandStill(span));
    }

    /// Stops in order: takes nothing new, answers what was taken, closes. False where the time ran out first.
    pub fn stop(&self) -> bool {
        self.draining.store(true, Ordering::SeqCst);
        self.portal.stop_accepting();
        self.portal.stop_reading();
        self.portal.sessions().iter().for_each(|s| s.request_logout(1));
        let until = Instant::now() + self.plan.drain.duration();
        let idle = loop {
            if engine::look(&self.engine, |d, _| d.open_commands()) == Some(0) {
                break true;
            }
            if Instant::now() >= until {
                break false;
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        // Answers given last are still on their way to slow clients.
        let sent = || self.portal.sessions().iter().all(|s| !s.has_unsent());
        while !sent() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.portal.close_all();
        self.links.close_all();
        if let Some(fleet) = &self.fleet {
            // Nothing goes out any more: what this host held of the fleet's budgets is of use to the others at once.
            fleet.leave();
        }
        self.kill();
        idle
    }

    /// What this host knows of its fleet, where it is in one.
    pub fn fleet(&self) -> Option<pearfork_fleet::FleetView> {
        self.fleet.as_ref().map(|f| f.view())
    }

    /// Stops at once, as a killed process does: nothing more is said to anybody.
    pub fn kill(&self) {
        let _ = self.engine.try_send(Message::Stop);
        let _ = self.asks.try_send(Ask::Stop);
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
