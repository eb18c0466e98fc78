//! The voter's thread: hears, writes, and only then speaks.

use crate::disk::{Disk, FaultyDisk, RealDisk};
use crate::plan::FleetPlan;
use crate::state::{Shared, VoterView};
use crate::store::{owner, Folder, Store, StoreError};
use crate::time::LeaseClock;
use crate::transport::{HolderEvent, Requester, TransportCommand, TransportHandle, VoterEvent};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork_ledger::raft::PersistentState;
use pearfork_ledger::{HostNumber, LeaseOutcome, LeaseResponse, Message, Refusal, Voter};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a disk that failed is tried again.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Messages taken before what they led to is written: one write serves them all.
const BATCH: usize = 64;

pub(crate) struct VoterThread {
    pub(crate) plan: Arc<FleetPlan>,
    pub(crate) folder: Folder,
    pub(crate) inbox: Receiver<VoterEvent>,
    pub(crate) transport: TransportHandle,
    pub(crate) here: Sender<HolderEvent>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: LeaseClock,
    pub(crate) seed: u64,
}

impl VoterThread {
    pub(crate) fn disk(plan: &FleetPlan) -> Box<dyn Disk> {
        match &plan.fault_injection.disk {
            Some(trouble) => Box::new(FaultyDisk::new(RealDisk::default(), trouble.clone())),
            None => Box::<RealDisk>::default(),
        }
    }

    fn open(&self) -> Result<(Store, PersistentState), StoreError> {
        let owner = owner(&self.plan.name, self.plan.me.0);
        Store::open(&self.folder, VoterThread::disk(&self.plan), owner, self.plan.lendable())
    }

    /// Votes until told to stop; while the disk fails it neither votes nor lends, and tries again now and then.
    pub(crate) fn run(mut self, mut open: Option<(Store, PersistentState)>) {
        loop {
            if let Some((store, image)) = open.take() {
                match self.vote(store, image) {
                    None => return,
                    Some(why) => {
                        tracing::error!(%why, "this voter stops voting and lending until its disk is well");
                        self.shared.voter(|v| {
                            *v = VoterView { trouble: Some(why.to_string()), ..VoterView::default() }
                        });
                    }
                }
            }
            if self.reject_requests_until(Instant::now() + DISK_RETRY_INTERVAL) {
                return;
            }
            match self.open() {
                Ok(again) => {
                    tracing::warn!("the disk is well again, this voter votes");
                    open = Some(again);
                }
                Err(why) => self.shared.voter(|v| v.trouble = Some(why.to_string())),
            }
        }
    }

    /// Hears nobody for a while, but tells those who ask to go elsewhere; true where it is to stop.
    fn reject_requests_until(&self, until: Instant) -> bool {
        loop {
            match self.inbox.recv_deadline(until) {
                Ok(VoterEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return true,
                Ok(VoterEvent::LeaseRequest(requester, request)) => {
                    let outcome = LeaseOutcome::Refused(Refusal::NotLeader(None));
                    self.answer(requester, LeaseResponse { nonce: request.nonce, seq: request.seq, outcome });
                }
                Ok(VoterEvent::Raft(..)) => {}
                Err(RecvTimeoutError::Timeout) => return false,
            }
        }
    }

    fn answer(&self, requester: Requester, response: LeaseResponse) {
        match requester {
            Requester::Connection(id) => self.transport.send(TransportCommand::LeaseResponse(id, response)),
            Requester::Local => drop(self.here.try_send(HolderEvent::LeaseResponse(self.plan.me, response))),
        }
    }

    /// Votes while the disk takes what has to be written: the fault that ended it, or none where it was told to stop.
    fn vote(&mut self, mut store: Store, image: PersistentState) -> Option<StoreError> {
        let voters: Vec<HostNumber> = self.plan.voters.iter().map(|v| v.host).collect();
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let mut voter: Voter<Requester> =
            Voter::new(self.plan.me, &voters, self.plan.times, self.seed, image, self.clock.now_ms());
        loop {
            let first = match self.inbox.recv_deadline(self.clock.instant(voter.next_deadline())) {
                Ok(m) => Some(m),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return None,
            };
            for message in first.into_iter().chain(self.inbox.try_iter().take(BATCH)) {
                let now = self.clock.now_ms();
                match message {
                    VoterEvent::Raft(from, m) => voter.handle_message(now, from, m),
                    VoterEvent::LeaseRequest(requester, request) => {
                        voter.handle_request(now, requester, request)
                    }
                    VoterEvent::Stop => return None,
                }
            }
            voter.tick(self.clock.now_ms());
            loop {
                let ready = voter.take_output();
                let writes = ready.raft.rewrite || !ready.raft.records.is_empty();
                // Danger: a word that goes out before what it promises is on disk is a promise that a crash forgets.
                let written = match (ready.raft.rewrite, writes) {
                    (true, _) => store.rewrite(&voter.raft().persistent_state()),
                    (false, true) => store.append(ready.raft.records),
                    (false, false) => Ok(()),
                };
                if let Err(why) = written {
                    return Some(why);
                }
                let done = !writes && ready.raft.messages.is_empty() && ready.responses.is_empty();
                for (to, message) in ready.raft.messages {
                    self.transport.send(TransportCommand::Send(to, Message::Raft(message)));
                }
                ready
                    .responses
                    .into_iter()
                    .for_each(|(requester, response)| self.answer(requester, response));
                if done {
                    break;
                }
                if writes {
                    voter.persisted(self.clock.now_ms());
                }
            }
            self.shared.voter(|v| v.note(&voter, self.clock.now_ms()));
        }
    }
}
