//! The holder's thread: renews the host's lease and passes its grants to the consumer of the budgets.

use crate::settings::FleetSettings;
use crate::state::{HeldBudgetView, HolderView, SharedView};
use crate::time::LeaseClock;
use crate::transport::{HolderEvent, Requester, TransportCommand, TransportHandle, VoterEvent};
use crate::voter_selection::VoterSelection;
use crate::Context;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork_ledger::{
    Budget, Fraction, Held, Holder, HostNumber, LeaseOutcome, LeaseRequest, LeaseResponse, Message, Refusal,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The demand of a host's clients for a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The budget.
    pub budget: Budget,
    /// Their recent demand, as a fraction of the whole.
    pub demand: Fraction,
    /// Smallest useful fraction: the one that admits a request.
    pub min_fraction: Fraction,
    /// How long the host has to hold that fraction before it can send a request.
    pub turn: Duration,
}

/// The share of a budget that a host may use from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetShare {
    /// The budget.
    pub budget: Budget,
    /// The fraction that every host permanently owns.
    pub floor: Fraction,
    /// The fraction that it leases on top of that.
    pub leased: Fraction,
    /// When the lease expires. A point in time, not a duration: if the process is stopped between sending and
    /// use, a duration would end too late.
    pub expires_at: Instant,
}

/// The consumer of this host's budgets: reports the demand of the clients and keeps what is sent within the
/// shares.
pub trait BudgetConsumer: Send {
    /// The current demand for each budget that this host uses.
    fn demand(&mut self) -> Vec<Demand>;
    /// Applies the shares to use from now on. Returns true once they are in force and nothing more is sent
    /// under earlier ones. It may block briefly, but must return in any case.
    fn apply(&mut self, shares: &[BudgetShare]) -> bool;
}

/// Number of leave requests that are sent, since a message may be lost.
const LEAVE_REPEATS: u32 = 3;
/// Interval between leave requests.
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);
/// Delay after which a reduced fraction is declared: other hosts can get it only once the ledger knows.
const DECLARE_WITHIN: Duration = Duration::from_millis(5);
/// Upper bound of the requested turn, in milliseconds.
const MAX_TURN_MS: u128 = 60_000;

pub(crate) struct LeaseClient<C> {
    settings: Arc<FleetSettings>,
    consumer: C,
    events: Receiver<HolderEvent>,
    transport: TransportHandle,
    /// The voter in this process, if this host is one.
    local_voter: Option<Sender<VoterEvent>>,
    shared: Arc<SharedView>,
    clock: LeaseClock,
    holder: Holder,
    voters: VoterSelection,
    /// The shares that the consumer applied last.
    shares: Vec<BudgetShare>,
    next_request_at: Instant,
    requests_sent: u64,
    leases_received: u64,
    warned_superseded: bool,
}

impl<C: BudgetConsumer> LeaseClient<C> {
    pub(crate) fn new(
        context: &Context,
        consumer: C,
        events: Receiver<HolderEvent>,
        local_voter: Option<Sender<VoterEvent>>,
    ) -> LeaseClient<C> {
        let settings = context.settings.clone();
        LeaseClient {
            consumer,
            events,
            transport: context.transport.clone(),
            local_voter,
            shared: context.shared.clone(),
            clock: context.clock,
            holder: Holder::new(settings.host, context.nonce, settings.timing),
            voters: VoterSelection::new(settings.host, settings.voters.iter().map(|v| v.host).collect()),
            shares: Vec::new(),
            next_request_at: Instant::now(),
            requests_sent: 0,
            leases_received: 0,
            warned_superseded: false,
            settings,
        }
    }

    /// Renews the lease until the thread is asked to leave or stop.
    pub(crate) fn run(mut self) {
        self.shares = self.floors();
        self.consumer.apply(&self.shares);
        loop {
            if Instant::now() >= self.next_request_at {
                self.request_lease();
            }
            match self.events.recv_deadline(self.next_request_at) {
                Ok(HolderEvent::LeaseResponse(from, response)) => self.handle_response(from, &response),
                Ok(HolderEvent::Leave) => return self.leave(),
                Ok(HolderEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    fn request_lease(&mut self) {
        let interval = Duration::from_secs_f64(self.settings.timing.renewal_interval_ms / 1_000.0);
        self.next_request_at = Instant::now() + interval;
        let demand = self.consumer.demand();
        for d in &demand {
            let turn_ms = d.turn.as_millis().min(MAX_TURN_MS) as u32;
            self.holder.set_demand(&d.budget, d.demand, d.min_fraction, turn_ms);
        }
        if self.holder.should_request() {
            if let Some(voter) = self.voters.select() {
                self.requests_sent += 1;
                let request = self.holder.next_request(self.clock.now_ms());
                self.send(voter, request);
            }
        }
        self.publish(&demand);
    }

    fn handle_response(&mut self, from: HostNumber, response: &LeaseResponse) {
        match &response.outcome {
            LeaseOutcome::Refused(Refusal::NotLeader(leader)) => {
                if self.voters.handle_redirect(*leader) {
                    self.next_request_at = Instant::now();
                }
                return;
            }
            LeaseOutcome::Refused(Refusal::Unknown | Refusal::Unsynchronized) => {
                self.next_request_at = Instant::now();
            }
            LeaseOutcome::Refused(Refusal::Superseded) => self.warn_superseded(),
            LeaseOutcome::Lease(_) => {
                self.voters.handle_lease(from);
                self.leases_received += 1;
            }
        }
        if self.apply_response(response) {
            self.next_request_at = self.next_request_at.min(Instant::now() + DECLARE_WITHIN);
        }
    }

    fn warn_superseded(&mut self) {
        if self.warned_superseded {
            return;
        }
        self.warned_superseded = true;
        tracing::error!(
            host = self.settings.host.0,
            "another process joined the fleet with this host's number; this process no longer uses any \
             fleet-wide budget; stop one of the two"
        );
    }

    /// Handles a response and applies the resulting shares. Returns whether a leased fraction decreased.
    fn apply_response(&mut self, response: &LeaseResponse) -> bool {
        self.holder.handle_response(self.clock.now_ms(), response);
        let shares = self.leased_shares();
        let unconfirmed = self.holder.unconfirmed();
        if !self.consumer.apply(&shares) {
            return false;
        }
        for (budget, allocation) in unconfirmed {
            self.holder.confirm(&budget, allocation);
        }
        let before: BTreeMap<&Budget, Fraction> = self.shares.iter().map(|s| (&s.budget, s.leased)).collect();
        let decreased = shares.iter().any(|s| before.get(&s.budget).is_some_and(|leased| s.leased < *leased));
        self.shares = shares;
        decreased
    }

    /// The shares of a host without a lease: the floor of each budget for which the consumer reports a
    /// demand. They hold nothing leased that could expire.
    fn floors(&mut self) -> Vec<BudgetShare> {
        let floor = self.settings.floor();
        let expires_at = Instant::now();
        let share = |d: Demand| BudgetShare { budget: d.budget, floor, leased: Fraction::ZERO, expires_at };
        self.consumer.demand().into_iter().map(share).collect()
    }

    /// The shares of the host under its current lease.
    fn leased_shares(&self) -> Vec<BudgetShare> {
        let state = self.holder.state();
        // A superseded process gives up its floor, too: two processes with one host number would use it
        // twice.
        let floor = if state.superseded { Fraction::ZERO } else { self.settings.floor() };
        let expires_at = self.clock.instant(state.expires_at);
        let is_valid = self.clock.now_ms() < state.expires_at;
        let share = |(budget, held): (&Budget, Held)| BudgetShare {
            budget: budget.clone(),
            floor,
            leased: if is_valid { held.fraction } else { Fraction::ZERO },
            expires_at,
        };
        self.holder.all_held().map(share).collect()
    }

    fn send(&self, to: HostNumber, request: LeaseRequest) {
        match &self.local_voter {
            Some(voter) if to == self.settings.host => {
                let _ = voter.try_send(VoterEvent::LeaseRequest(Requester::Local, request));
            }
            _ => self.transport.send(TransportCommand::Send(to, Message::LeaseRequest(request))),
        }
    }

    /// Publishes the holder's status.
    fn publish(&self, demand: &[Demand]) {
        let (state, now) = (self.holder.state(), self.clock.now_ms());
        let floor = if state.superseded { 0.0 } else { self.settings.floor().as_f64() };
        let is_valid = now < state.expires_at;
        let held_budget = |d: &Demand| HeldBudgetView {
            budget: d.budget.to_string(),
            floor,
            leased: if is_valid { self.holder.held(&d.budget).fraction.as_f64() } else { 0.0 },
            demand: d.demand.as_f64(),
        };
        self.shared.set_holder(HolderView {
            incarnation: state.incarnation.map(|i| i.0),
            lease_remaining_ms: Some(state.expires_at - now).filter(|ms| ms.is_finite()),
            superseded: state.superseded,
            current_voter: self.voters.current().map(|voter| voter.0),
            requests_sent: self.requests_sent,
            leases_received: self.leases_received,
            budgets: demand.iter().map(held_budget).collect(),
        });
    }

    /// Releases all leased fractions. The consumer has to stop using them first: the ledger may grant them to
    /// other hosts at once.
    fn leave(&mut self) {
        self.holder.leave();
        let shares = self.leased_shares();
        if !self.consumer.apply(&shares) {
            return;
        }
        for _ in 0..LEAVE_REPEATS {
            let request = self.holder.next_request(self.clock.now_ms());
            if let Some(voter) = self.voters.current() {
                self.send(voter, request);
            }
            std::thread::sleep(LEAVE_INTERVAL);
        }
    }
}
