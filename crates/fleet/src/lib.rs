//! A host's place in its fleet: the thin shell around [`pearfork_ledger`].
//!
//! Three threads at the most, none of which a client's request ever waits for: the hub has all sockets, the holder asks
//! for this host's parts and hands them to whoever sends, and on a voter the seat keeps its promises on disk. There is no
//! encryption and no sign-in: the fleet talks over loopback or a network that is trusted.

pub mod client;
pub mod disk;
pub mod frame;
pub mod plan;
pub mod state;
pub mod store;
pub mod time;
pub mod transport;
mod voter_thread;

pub use client::{Demand, Portion, User};
pub use plan::{FaultInjection, FleetPlan, VoterAddress};
pub use state::FleetView;

use crate::client::LeaseClient;
use crate::state::Shared;
use crate::store::{owner, Folder, Store, StoreError};
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

/// Why a host can't take its place.
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
    /// Its promises can't be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The settings leave out what a voter needs.
    #[error("a voter needs {0} in [fleet]")]
    Missing(&'static str),
}

/// Messages that wait for a voter; more are dropped, and said again.
const VOTER_QUEUE: usize = 8_192;
const HOLDER_QUEUE: usize = 256;
const COMMAND_QUEUE: usize = 16_384;
/// How long an end waits for the threads.
const PATIENCE: Duration = Duration::from_secs(2);

/// A running place in the fleet. Dropping it ends it at once, without a word to the others.
pub struct Fleet {
    shared: Arc<Shared>,
    transport: TransportHandle,
    voter: Option<Sender<VoterEvent>>,
    holder: Sender<HolderEvent>,
    holder_thread: Mutex<Option<JoinHandle<()>>>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

/// A number for this process that no other is likely to draw, from what differs between any two.
fn random_nonce() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    // Keyed from the system's random numbers for each process.
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    hasher.write_u128(std::time::UNIX_EPOCH.elapsed().unwrap_or_default().as_nanos());
    hasher.finish()
}

impl Fleet {
    /// Takes the place. The user hears of its floors before this returns or soon after, and of leases as they come.
    ///
    /// # Errors
    /// What the machine refuses; and on a voter, promises that can't be read. A disk that is full or read-only is no
    /// reason not to start: the voter then neither votes nor lends until it is well.
    pub fn start(plan: FleetPlan, user: impl User + 'static) -> Result<Fleet, FleetError> {
        let plan = Arc::new(plan);
        let shared = Arc::new(Shared::new(&plan));
        let clock = LeaseClock::start(plan.fault_injection.clock_rate);
        let poller = Arc::new(Poller::new()?);
        let (commands, command_receiver) = bounded(COMMAND_QUEUE);
        let transport = TransportHandle::new(commands, poller.clone());
        let (holder, for_holder) = bounded(HOLDER_QUEUE);
        let (nonce, mut voter, mut listener, mut threads) = (random_nonce(), None, None, Vec::new());
        if plan.votes() {
            let address = plan.listen.ok_or(FleetError::Missing("listen"))?;
            let folder = plan.folder.as_ref().ok_or(FleetError::Missing("folder"))?;
            let folder = Folder::take(folder)?;
            let bound =
                TcpListener::bind(address).map_err(|source| FleetError::Listen { address, source })?;
            listener = Some(bound);
            let (to, inbox) = bounded(VOTER_QUEUE);
            voter = Some(to);
            let opened =
                Store::open(&folder, VoterThread::disk(&plan), owner(&plan.name, plan.me.0), plan.lendable());
            let voter_thread = VoterThread {
                plan: plan.clone(),
                folder,
                inbox,
                transport: transport.clone(),
                here: holder.clone(),
                shared: shared.clone(),
                clock,
                seed: nonce,
            };
            match opened {
                Ok((store, image)) => {
                    threads.push(spawn_small("fleet-voter", move || voter_thread.run(Some((store, image))))?);
                }
                Err(why @ StoreError::Disk { .. }) => {
                    tracing::error!(%why, "this voter can't write: it serves, but neither votes nor lends");
                    shared.voter(|v| v.trouble = Some(why.to_string()));
                    threads.push(spawn_small("fleet-voter", move || voter_thread.run(None))?);
                }
                Err(why) => return Err(why.into()),
            }
        }
        let view = shared.clone();
        let observer = Box::new(move |states: &_| view.links(states));
        let channels = Channels { commands: command_receiver, voter: voter.clone(), holder: holder.clone() };
        let transport_thread = Transport::new(plan.clone(), listener, poller, channels, observer)?;
        threads.push(spawn_small("fleet-hub", move || transport_thread.run())?);
        let client = LeaseClient {
            plan: plan.clone(),
            user,
            inbox: for_holder,
            transport: transport.clone(),
            here: voter.clone(),
            shared: shared.clone(),
            clock,
            nonce,
        };
        let holder_thread = spawn_small("fleet-holder", move || client.run())?;
        tracing::info!(
            fleet = plan.name,
            host = plan.me.0,
            votes = plan.votes(),
            settings = plan.fingerprint(),
            "in the fleet"
        );
        Ok(Fleet {
            shared,
            transport,
            voter,
            holder,
            holder_thread: Mutex::new(Some(holder_thread)),
            threads: Mutex::new(threads),
        })
    }

    /// What this host knows of its fleet.
    pub fn view(&self) -> FleetView {
        self.shared.view()
    }

    /// Gives all back and ends. Whoever sends has to be done: nothing may go out by a part that was given back.
    pub fn leave(&self) {
        let _ = self.holder.try_send(HolderEvent::Leave);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        self.stop();
    }

    /// Ends at once: what it held is free when its lease is over.
    pub fn stop(&self) {
        let _ = self.holder.try_send(HolderEvent::Stop);
        if let Some(voter) = &self.voter {
            let _ = voter.send_timeout(VoterEvent::Stop, PATIENCE);
        }
        self.transport.send(TransportCommand::Stop);
        if let Some(thread) = pearfork_net::lock(&self.holder_thread).take() {
            let _ = thread.join();
        }
        // Danger: a voter whose disk stalls would hold up the end of the whole process; it ends by itself.
        let until = Instant::now() + PATIENCE;
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
