//! A host's membership in its fleet: threads, sockets and files around [`pearfork_ledger`].
//!
//! Three threads at most, none of which a client's request ever waits for: the transport has all sockets, the holder
//! requests this host's lease and hands the grants to whoever sends, and on a voter the voter's thread keeps its state on
//! disk. There is no encryption and no authentication: the fleet talks over loopback or a network that is trusted.

pub mod client;
pub mod disk;
pub mod frame;
pub mod plan;
pub mod state;
pub mod store;
pub mod time;
pub mod transport;
pub mod voter_selection;
mod voter_thread;

pub use client::{Demand, Portion, User};
pub use plan::{FaultInjection, FleetPlan, VoterAddress};
pub use state::FleetView;
pub use transport::TrafficCounts;

use crate::client::LeaseClient;
use crate::state::Shared;
use crate::store::{Folder, StoreError};
use crate::time::LeaseClock;
use crate::transport::{Channels, HolderEvent, Transport, TransportCommand, TransportHandle, VoterEvent};
use crate::voter_thread::VoterThread;
use crossbeam_channel::{bounded, Sender};
use pearfork_net::{spawn_small, Poller};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Why a host can't join its fleet.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// Its address for the fleet can't be listened at.
    #[error("cannot listen for the fleet at {address}: {source}")]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// No thread or descriptor could be had.
    #[error("cannot start the fleet's threads: {0}")]
    Thread(#[from] io::Error),
    /// Its state can't be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The settings leave out what a voter needs.
    #[error("a voter needs {0} in [fleet]")]
    Missing(&'static str),
}

/// Events that may wait for a voter; more are dropped, and sent again.
const VOTER_QUEUE: usize = 8_192;
/// Events that may wait for the holder.
const HOLDER_QUEUE: usize = 256;
/// Commands that may wait for the transport.
const COMMAND_QUEUE: usize = 16_384;
/// How long [`Fleet::stop`] waits for the threads.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// A running member of the fleet. Dropping it ends it at once, without telling the others.
pub struct Fleet {
    shared: Arc<Shared>,
    transport: TransportHandle,
    voter: Option<Sender<VoterEvent>>,
    holder: Sender<HolderEvent>,
    holder_thread: Mutex<Option<JoinHandle<()>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// A number for this process that no other is likely to draw.
fn random_nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // Keyed from the system's random numbers for each process.
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos());
    hasher.finish()
}

/// The voter of a process, once its thread runs.
struct StartedVoter {
    listener: TcpListener,
    events: Sender<VoterEvent>,
    thread: JoinHandle<()>,
}

/// What all threads of a process share.
struct Context {
    plan: Arc<FleetPlan>,
    shared: Arc<Shared>,
    clock: LeaseClock,
    transport: TransportHandle,
    holder: Sender<HolderEvent>,
    nonce: u64,
}

impl Context {
    /// Takes the voter's folder and address, and starts its thread.
    fn start_voter(&self) -> Result<StartedVoter, FleetError> {
        let address = self.plan.listen.ok_or(FleetError::Missing("listen"))?;
        let folder = self.plan.folder.as_ref().ok_or(FleetError::Missing("folder"))?;
        let folder = Folder::take(folder)?;
        let listener = TcpListener::bind(address).map_err(|source| FleetError::Listen { address, source })?;
        let opened = match VoterThread::open(&self.plan, &folder) {
            Ok(opened) => Some(opened),
            Err(why @ StoreError::Disk { .. }) => {
                tracing::error!(%why, "this voter can't write: it serves, but neither votes nor lends");
                self.shared.voter(|view| view.trouble = Some(why.to_string()));
                None
            }
            Err(why) => return Err(why.into()),
        };
        let (events, receiver) = bounded(VOTER_QUEUE);
        let voter_thread = VoterThread {
            plan: self.plan.clone(),
            folder,
            events: receiver,
            transport: self.transport.clone(),
            holder: self.holder.clone(),
            shared: self.shared.clone(),
            clock: self.clock,
            seed: self.nonce,
        };
        let thread = spawn_small("fleet-voter", move || voter_thread.run(opened))?;
        Ok(StartedVoter { listener, events, thread })
    }

    fn start_transport(
        &self,
        listener: Option<TcpListener>,
        poller: Arc<Poller>,
        channels: Channels,
    ) -> Result<JoinHandle<()>, FleetError> {
        let shared = self.shared.clone();
        let observer = Box::new(move |statuses: &_| shared.links(statuses));
        let traffic = self.shared.traffic.clone();
        let transport = Transport::new(self.plan.clone(), listener, poller, channels, observer, traffic)?;
        Ok(spawn_small("fleet-hub", move || transport.run())?)
    }
}

impl Fleet {
    /// Joins the fleet. The user hears of its floors before this returns or soon after, and of leases as they come.
    ///
    /// # Errors
    /// What the machine refuses; and on a voter, state that can't be read. A disk that is full or read-only is no reason
    /// not to start: the voter then neither votes nor lends until it is well.
    pub fn start(plan: FleetPlan, user: impl User + 'static) -> Result<Fleet, FleetError> {
        let plan = Arc::new(plan);
        let poller = Arc::new(Poller::new()?);
        let (commands, command_receiver) = bounded(COMMAND_QUEUE);
        let (holder, holder_events) = bounded(HOLDER_QUEUE);
        let context = Context {
            shared: Arc::new(Shared::new(&plan)),
            clock: LeaseClock::start(plan.fault_injection.clock_rate),
            transport: TransportHandle::new(commands, poller.clone()),
            holder: holder.clone(),
            nonce: random_nonce(),
            plan,
        };
        let (mut voter, mut listener, mut threads) = (None, None, Vec::new());
        if context.plan.votes() {
            let started = context.start_voter()?;
            voter = Some(started.events);
            listener = Some(started.listener);
            threads.push(started.thread);
        }
        let channels = Channels { commands: command_receiver, voter: voter.clone(), holder };
        threads.push(context.start_transport(listener, poller, channels)?);
        let client = LeaseClient::new(&context, user, holder_events, voter.clone());
        let holder_thread = spawn_small("fleet-holder", move || client.run())?;
        let plan = &context.plan;
        tracing::info!(
            fleet = plan.name,
            host = plan.me.0,
            votes = plan.votes(),
            settings = plan.fingerprint(),
            "in the fleet"
        );
        Ok(Fleet {
            shared: context.shared,
            transport: context.transport,
            voter,
            holder: context.holder,
            holder_thread: Mutex::new(Some(holder_thread)),
            threads: Mutex::new(threads),
        })
    }

    /// What this host knows of its fleet.
    pub fn view(&self) -> FleetView {
        self.shared.view()
    }

    /// Gives all back and ends. Whoever sends has to be done: nothing may be sent under a grant that was given back.
    pub fn leave(&self) {
        let _ = self.holder.try_send(HolderEvent::Leave);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        self.stop();
    }

    /// Ends at once. What it held is free when its lease has expired.
    pub fn stop(&self) {
        let _ = self.holder.try_send(HolderEvent::Stop);
        if let Some(voter) = &self.voter {
            let _ = voter.send_timeout(VoterEvent::Stop, STOP_TIMEOUT);
        }
        self.transport.send(TransportCommand::Stop);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        // Danger: a voter whose disk stalls would hold up the end of the whole process; it ends by itself.
        let until = Instant::now() + STOP_TIMEOUT;
        for thread in pearfork_net::lock(&self.threads).drain(..) {
            while !thread.is_finished() && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}
