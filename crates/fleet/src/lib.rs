//! A host's membership in its fleet: threads, sockets and files around [`pearfork_ledger`].
//!
//! There are up to three threads, and client requests wait for none of them. The transport thread owns all
//! sockets, the holder thread renews this host's lease and passes its grants on, and on a voter the voter
//! thread keeps the voter's state on disk. There is no encryption and no authentication: a fleet must
//! communicate over loopback or a trusted network.

pub mod client;
pub mod disk;
pub mod frame;
pub mod settings;
pub mod state;
pub mod store;
pub mod time;
pub mod transport;
pub mod voter_selection;
mod voter_thread;

pub use client::{BudgetConsumer, BudgetShare, Demand};
pub use settings::{FaultInjection, FleetSettings, VoterAddress};
pub use state::FleetView;
pub use transport::TrafficCounts;

use crate::client::LeaseClient;
use crate::state::SharedView;
use crate::store::{StoreError, StoreFolder};
use crate::time::LeaseClock;
use crate::transport::{Channels, HolderEvent, Transport, TransportCommand, TransportHandle, VoterEvent};
use crate::voter_thread::VoterThread;
use crossbeam_channel::{bounded, Sender};
use pearfork_net::{spawn_small_stack, Poller};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Why a host cannot join its fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The listening socket of a voter cannot be opened.
    #[error("cannot listen for fleet connections on {address}: {source}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A thread or a descriptor cannot be created.
    #[error("cannot start the fleet threads: {0}")]
    Thread(#[from] io::Error),
    /// The voter's state cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A setting that a voter needs is missing.
    #[error("this host is a voter, but [fleet] has no `{0}`")]
    MissingSetting(&'static str),
}

/// Capacity of the voter's event queue. Further events are dropped; their senders repeat them.
const VOTER_QUEUE: usize = 8_192;
/// Capacity of the holder's event queue.
const HOLDER_QUEUE: usize = 256;
/// Capacity of the transport's command queue.
const COMMAND_QUEUE: usize = 16_384;
/// How long [`FleetMember::stop`] waits for the threads.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running member of the fleet. Dropping it stops it at once, without notifying the other hosts.
pub struct FleetMember {
    shared: Arc<SharedView>,
    transport: TransportHandle,
    voter: Option<Sender<VoterEvent>>,
    holder: Sender<HolderEvent>,
    holder_thread: Mutex<Option<JoinHandle<()>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// A random number that identifies this process.
fn random_nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // `RandomState` gets its keys from the random number generator of the operating system.
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos());
    hasher.finish()
}

/// A voter whose thread is running.
struct StartedVoter {
    listener: TcpListener,
    events: Sender<VoterEvent>,
    thread: JoinHandle<()>,
}

/// State that the threads of a member share.
struct Context {
    settings: Arc<FleetSettings>,
    shared: Arc<SharedView>,
    clock: LeaseClock,
    transport: TransportHandle,
    holder: Sender<HolderEvent>,
    nonce: u64,
}

impl Context {
    /// Locks the voter's folder, binds its address and starts its thread.
    fn start_voter(&self) -> Result<StartedVoter, FleetError> {
        let address = self.settings.listen.ok_or(FleetError::MissingSetting("listen"))?;
        let folder = self.settings.folder.as_ref().ok_or(FleetError::MissingSetting("folder"))?;
        let folder = StoreFolder::lock(folder)?;
        let listener = TcpListener::bind(address).map_err(|source| FleetError::Listen { address, source })?;
        let opened = match VoterThread::open(&self.settings, &folder) {
            Ok(opened) => Some(opened),
            Err(why @ StoreError::Disk { .. }) => {
                tracing::error!(%why, "voter state cannot be written; this host serves clients but does not vote");
                self.shared.update_voter(|view| view.store_error = Some(why.to_string()));
                None
            }
            Err(why) => return Err(why.into()),
        };
        let (events, receiver) = bounded(VOTER_QUEUE);
        let voter_thread = VoterThread {
            settings: self.settings.clone(),
            folder,
            events: receiver,
            transport: self.transport.clone(),
            holder: self.holder.clone(),
            shared: self.shared.clone(),
            clock: self.clock,
            seed: self.nonce,
        };
        let thread = spawn_small_stack("fleet-voter", move || voter_thread.run(opened))?;
        Ok(StartedVoter { listener, events, thread })
    }

    fn start_transport(
        &self,
        listener: Option<TcpListener>,
        poller: Arc<Poller>,
        channels: Channels,
    ) -> Result<JoinHandle<()>, FleetError> {
        let shared = self.shared.clone();
        let observer = Box::new(move |statuses: &_| shared.set_links(statuses));
        let traffic = self.shared.traffic.clone();
        let transport = Transport::new(self.settings.clone(), listener, poller, channels, observer, traffic)?;
        Ok(spawn_small_stack("fleet-hub", move || transport.run())?)
    }
}

impl FleetMember {
    /// Joins the fleet. The consumer gets its floors before this returns or shortly after, and its leased
    /// shares with each renewal.
    ///
    /// # Errors
    /// A thread, descriptor or socket cannot be created, or a voter's state cannot be used. A disk that is
    /// full or read-only is no error: the voter then neither votes nor grants leases until it can write.
    pub fn start(
        settings: FleetSettings,
        consumer: impl BudgetConsumer + 'static,
    ) -> Result<FleetMember, FleetError> {
        let settings = Arc::new(settings);
        let poller = Arc::new(Poller::new()?);
        let (commands, command_receiver) = bounded(COMMAND_QUEUE);
        let (holder, holder_events) = bounded(HOLDER_QUEUE);
        let context = Context {
            shared: Arc::new(SharedView::new(&settings)),
            clock: LeaseClock::start(settings.fault_injection.clock_rate),
            transport: TransportHandle::new(commands, poller.clone()),
            holder: holder.clone(),
            nonce: random_nonce(),
            settings,
        };
        let (mut voter, mut listener, mut threads) = (None, None, Vec::new());
        if context.settings.is_voter() {
            let started = context.start_voter()?;
            voter = Some(started.events);
            listener = Some(started.listener);
            threads.push(started.thread);
        }
        let channels = Channels { commands: command_receiver, voter: voter.clone(), holder };
        threads.push(context.start_transport(listener, poller, channels)?);
        let client = LeaseClient::new(&context, consumer, holder_events, voter.clone());
        let holder_thread = spawn_small_stack("fleet-holder", move || client.run())?;
        let settings = &context.settings;
        tracing::info!(
            fleet = settings.name,
            host = settings.host.0,
            votes = settings.is_voter(),
            settings = settings.fingerprint(),
            "joined the fleet"
        );
        Ok(FleetMember {
            shared: context.shared,
            transport: context.transport,
            voter,
            holder: context.holder,
            holder_thread: Mutex::new(Some(holder_thread)),
            threads: Mutex::new(threads),
        })
    }

    /// The status of the fleet, as this host knows it.
    pub fn view(&self) -> FleetView {
        self.shared.view()
    }

    /// Releases the lease and stops. Sending must have ended before: nothing may be sent under a released
    /// grant.
    pub fn leave(&self) {
        let _ = self.holder.try_send(HolderEvent::Leave);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        self.stop();
    }

    /// Stops at once. The fractions that it holds become free when its lease expires.
    pub fn stop(&self) {
        let _ = self.holder.try_send(HolderEvent::Stop);
        if let Some(voter) = &self.voter {
            let _ = voter.send_timeout(VoterEvent::Stop, STOP_TIMEOUT);
        }
        self.transport.send(TransportCommand::Stop);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        // The wait is bounded: a voter whose disk stalls would keep the process from exiting. It stops by
        // itself later.
        let deadline = Instant::now() + STOP_TIMEOUT;
        for thread in pearfork_net::lock(&self.threads).drain(..) {
            while !thread.is_finished() && Instant::now() < deadline {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

impl Drop for FleetMember {
    fn drop(&mut self) {
        self.stop();
    }
}
