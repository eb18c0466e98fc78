//! The holder's thread: requests the host's lease, and sees to it that whoever sends goes by the grants.

use crate::plan::FleetPlan;
use crate::state::{HeldLine, HolderView, Shared};
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
    /// What they asked for of late, as a fraction of the whole.
    pub asked: Fraction,
    /// The least fraction that a request can come of.
    pub least: Fraction,
    /// How long that has to be held for it.
    pub turn: Duration,
}

/// What a host may use of a budget from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Portion {
    /// The budget.
    pub budget: Budget,
    /// What it has for good.
    pub floor: Fraction,
    /// What it holds by lease, on top of that.
    pub lent: Fraction,
    /// When the lease expires. Danger: given as a duration it would be too late wherever this process was stopped
    /// meanwhile.
    pub until: Instant,
}

/// The host, as the holder sees it.
pub trait User: Send {
    /// The present demand for each budget that this host has.
    fn demand(&mut self) -> Vec<Demand>;
    /// Portions to go by from now on. True once whoever sends does: nothing more is sent by earlier ones. It may wait for
    /// that for a moment, but not for ever.
    fn apply(&mut self, portions: &[Portion]) -> bool;
}

/// A leaving host says so several times: a message may get lost.
const LEAVE_REPEATS: u32 = 3;
const LEAVE_INTERVAL: Duration = Duration::from_millis(30);
/// A fraction that came down is declared so soon: it is of use to others once the ledger hears of it.
const DECLARE_WITHIN: Duration = Duration::from_millis(5);
/// The longest turn that is requested, milliseconds.
const MAX_TURN_MS: u128 = 60_000;

pub(crate) struct LeaseClient<U> {
    plan: Arc<FleetPlan>,
    user: U,
    events: Receiver<HolderEvent>,
    transport: TransportHandle,
    /// The voter of this process, where this host is one.
    local_voter: Option<Sender<VoterEvent>>,
    shared: Arc<Shared>,
    clock: LeaseClock,
    holder: Holder,
    voters: VoterSelection,
    /// What the user goes by.
    portions: Vec<Portion>,
    next_request_at: Instant,
    requests_sent: u64,
    leases_received: u64,
    warned_superseded: bool,
}

impl<U: User> LeaseClient<U> {
    pub(crate) fn new(
        context: &Context,
        user: U,
        events: Receiver<HolderEvent>,
        local_voter: Option<Sender<VoterEvent>>,
    ) -> LeaseClient<U> {
        let plan = context.plan.clone();
        LeaseClient {
            user,
            events,
            transport: context.transport.clone(),
            local_voter,
            shared: context.shared.clone(),
            clock: context.clock,
            holder: Holder::new(plan.me, context.nonce, plan.times),
            voters: VoterSelection::new(plan.me, plan.voters.iter().map(|v| v.host).collect()),
            portions: Vec::new(),
            next_request_at: Instant::now(),
            requests_sent: 0,
            leases_received: 0,
            warned_superseded: false,
            plan,
        }
    }

    /// Requests leases until told to leave or stop.
    pub(crate) fn run(mut self) {
        self.portions = self.floors();
        self.user.apply(&self.portions);
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
        let interval = Duration::from_secs_f64(self.plan.times.renew_ms / 1_000.0);
        self.next_request_at = Instant::now() + interval;
        let demand = self.user.demand();
        for d in &demand {
            let turn_ms = d.turn.as_millis().min(MAX_TURN_MS) as u32;
            self.holder.set_demand(&d.budget, d.asked, d.least, turn_ms);
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
            host = self.plan.me.0,
            "another process has this host's number in the fleet: this one uses no fleet-wide budget any \
             more; stop one of the two"
        );
    }

    /// Handles a response and hands on what it changes; true where a fraction came down.
    fn apply_response(&mut self, response: &LeaseResponse) -> bool {
        self.holder.handle_response(self.clock.now_ms(), response);
        let portions = self.held_portions();
        let unconfirmed = self.holder.unconfirmed();
        if !self.user.apply(&portions) {
            return false;
        }
        for (budget, allocation) in unconfirmed {
            self.holder.confirm(&budget, allocation);
        }
        let before: BTreeMap<&Budget, Fraction> = self.portions.iter().map(|p| (&p.budget, p.lent)).collect();
        let came_down = portions.iter().any(|p| before.get(&p.budget).is_some_and(|lent| p.lent < *lent));
        self.portions = portions;
        came_down
    }

    /// What the host has without a lease.
    fn floors(&mut self) -> Vec<Portion> {
        let floor = self.plan.floor();
        let until = Instant::now();
        let portion = |d: Demand| Portion { budget: d.budget, floor, lent: Fraction::ZERO, until };
        self.user.demand().into_iter().map(portion).collect()
    }

    /// What the host has by its present lease.
    fn held_portions(&self) -> Vec<Portion> {
        let state = self.holder.state();
        // Two processes with one number would use its floor twice.
        let floor = if state.superseded { Fraction::ZERO } else { self.plan.floor() };
        let until = self.clock.instant(state.until_ms);
        let is_valid = self.clock.now_ms() < state.until_ms;
        let portion = |(budget, held): (&Budget, Held)| Portion {
            budget: budget.clone(),
            floor,
            lent: if is_valid { held.fraction } else { Fraction::ZERO },
            until,
        };
        self.holder.all_held().map(portion).collect()
    }

    fn send(&self, to: HostNumber, request: LeaseRequest) {
        match &self.local_voter {
            Some(voter) if to == self.plan.me => {
                let _ = voter.try_send(VoterEvent::LeaseRequest(Requester::Local, request));
            }
            _ => self.transport.send(TransportCommand::Send(to, Message::LeaseRequest(request))),
        }
    }

    /// Publishes the holder's status.
    fn publish(&self, demand: &[Demand]) {
        let (state, now) = (self.holder.state(), self.clock.now_ms());
        let floor = if state.superseded { 0.0 } else { self.plan.floor().as_f64() };
        let is_valid = now < state.until_ms;
        let line = |d: &Demand| HeldLine {
            budget: d.budget.to_string(),
            floor,
            lent: if is_valid { self.holder.held(&d.budget).fraction.as_f64() } else { 0.0 },
            demand: d.asked.as_f64(),
        };
        self.shared.holder(HolderView {
            incarnation: state.incarnation.map(|i| i.0),
            lease_ms: Some(state.until_ms - now).filter(|ms| ms.is_finite()),
            superseded: state.superseded,
            asks: self.voters.current().map(|voter| voter.0),
            asked: self.requests_sent,
            answered: self.leases_received,
            budgets: demand.iter().map(line).collect(),
        });
    }

    /// Gives all back. Danger: what is given back is lent to others at once, so first nobody here may use it any more.
    fn leave(&mut self) {
        self.holder.leave();
        let portions = self.held_portions();
        if !self.user.apply(&portions) {
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
