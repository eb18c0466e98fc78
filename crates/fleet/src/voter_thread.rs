//! The voter's thread: handles events, writes the state to disk, and only then sends messages.

use crate::disk::{Disk, FaultyDisk, RealDisk};
use crate::settings::FleetSettings;
use crate::state::{SharedView, VoterView};
use crate::store::{header, Store, StoreError, StoreFolder};
use crate::time::LeaseClock;
use crate::transport::{HolderEvent, Requester, TransportCommand, TransportHandle, VoterEvent};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork_ledger::raft::PersistentState;
use pearfork_ledger::{HostNumber, LeaseOutcome, LeaseResponse, Message, Refusal, Voter};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between attempts to reopen the store after a disk error.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the voter's status is published. Building it takes time in proportion to members and
/// budgets.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of queued events that are handled before one write for all of them.
const BATCH: usize = 64;

pub(crate) struct VoterThread {
    pub(crate) settings: Arc<FleetSettings>,
    pub(crate) folder: StoreFolder,
    pub(crate) events: Receiver<VoterEvent>,
    pub(crate) transport: TransportHandle,
    /// Queue of the holder in this process.
    pub(crate) holder: Sender<HolderEvent>,
    pub(crate) shared: Arc<SharedView>,
    pub(crate) clock: LeaseClock,
    pub(crate) seed: u64,
}

impl VoterThread {
    fn disk(settings: &FleetSettings) -> Box<dyn Disk> {
        match &settings.fault_injection.disk_fault_file {
            Some(file) => Box::new(FaultyDisk::new(RealDisk::default(), file.clone())),
            None => Box::<RealDisk>::default(),
        }
    }

    /// Opens the store of a voter in its folder.
    pub(crate) fn open(
        settings: &FleetSettings,
        folder: &StoreFolder,
    ) -> Result<(Store, PersistentState), StoreError> {
        let header = header(&settings.name, settings.host.0);
        Store::open(folder, VoterThread::disk(settings), header, settings.lendable())
    }

    /// Runs the voter until the thread is asked to stop. While the disk fails it neither votes nor grants
    /// leases, and periodically tries to reopen the store.
    pub(crate) fn run(mut self, mut opened: Option<(Store, PersistentState)>) {
        loop {
            if let Some((store, state)) = opened.take() {
                let Err(why) = self.run_voter(store, state) else { return };
                tracing::error!(%why, "voter state cannot be written; this voter is inactive until the disk recovers");
                let store_error = Some(why.to_string());
                self.shared.update_voter(|view| *view = VoterView { store_error, ..VoterView::default() });
            }
            if self.reject_requests_until(Instant::now() + DISK_RETRY_INTERVAL) {
                return;
            }
            match VoterThread::open(&self.settings, &self.folder) {
                Ok(reopened) => {
                    tracing::warn!("voter state can be written again; this voter resumes voting");
                    opened = Some(reopened);
                }
                Err(why) => self.shared.update_voter(|view| view.store_error = Some(why.to_string())),
            }
        }
    }

    /// Until a point in time, drops messages of other voters and redirects hosts to another voter. Returns
    /// whether the thread is to stop.
    fn reject_requests_until(&self, until: Instant) -> bool {
        loop {
            match self.events.recv_deadline(until) {
                Ok(VoterEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
                Ok(VoterEvent::LeaseRequest(requester, request)) => {
                    let outcome = LeaseOutcome::Refused(Refusal::NotLeader(None));
                    self.respond(requester, LeaseResponse::to(&request, outcome));
                }
                Ok(VoterEvent::Raft(..)) => {}
                Err(RecvTimeoutError::Timeout) => return false,
            }
        }
    }

    fn respond(&self, requester: Requester, response: LeaseResponse) {
        match requester {
            Requester::Connection(id) => self.transport.send(TransportCommand::Respond(id, response)),
            Requester::Local => {
                let _ = self.holder.try_send(HolderEvent::LeaseResponse(self.settings.host, response));
            }
        }
    }

    /// Runs the voter until the thread is asked to stop.
    ///
    /// # Errors
    /// The state cannot be written to disk.
    fn run_voter(&mut self, mut store: Store, state: PersistentState) -> Result<(), StoreError> {
        let voters: Vec<HostNumber> = self.settings.voters.iter().map(|v| v.host).collect();
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let mut voter: Voter<Requester> = Voter::new(
            self.settings.host,
            &voters,
            self.settings.timing,
            self.seed,
            state,
            self.clock.now_ms(),
        );
        let mut publish_at = Instant::now();
        while self.handle_events(&mut voter) {
            voter.tick(self.clock.now_ms());
            self.write_and_send(&mut voter, &mut store)?;
            if Instant::now() >= publish_at {
                publish_at = Instant::now() + VIEW_INTERVAL;
                self.shared.update_voter(|view| *view = VoterView::new(&voter, self.clock.now_ms()));
            }
        }
        Ok(())
    }

    /// Waits for events until the voter's next deadline and passes them to it. Returns false if the thread is
    /// to stop.
    fn handle_events(&self, voter: &mut Voter<Requester>) -> bool {
        let first = match self.events.recv_deadline(self.clock.instant(voter.next_deadline())) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return false,
        };
        for event in first.into_iter().chain(self.events.try_iter().take(BATCH)) {
            let now = self.clock.now_ms();
            match event {
                VoterEvent::Raft(from, message) => voter.handle_message(now, from, message),
                VoterEvent::LeaseRequest(requester, request) => voter.handle_request(now, requester, request),
                VoterEvent::Stop => return false,
            }
        }
        true
    }

    /// Writes and sends the voter's output until there is none left.
    fn write_and_send(&self, voter: &mut Voter<Requester>, store: &mut Store) -> Result<(), StoreError> {
        loop {
            let ready = voter.take_output();
            let writes = ready.raft.rewrite || !ready.raft.records.is_empty();
            let sends = !ready.raft.messages.is_empty() || !ready.responses.is_empty();
            // The write must come first: a crash after sending would lose a vote or an entry that another
            // voter counts on.
            if ready.raft.rewrite {
                store.rewrite(&voter.raft().persistent_state())?;
            } else if writes {
                store.append(ready.raft.records)?;
            }
            for (to, message) in ready.raft.messages {
                self.transport.send(TransportCommand::Send(to, Message::Raft(message)));
            }
            for (requester, response) in ready.responses {
                self.respond(requester, response);
            }
            if !writes && !sends {
                return Ok(());
            }
            if writes {
                voter.persisted(self.clock.now_ms());
            }
        }
    }
}
