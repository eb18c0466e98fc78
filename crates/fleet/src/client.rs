//! The holder's thread: asks for parts, and sees to it that whoever sends goes by them.

use crate::plan::FleetPlan;
use crate::state::{HeldLine, HolderView, Shared};
use crate::time::LeaseClock;
use crate::transport::{HolderEvent, Requester, TransportCommand, TransportHandle, VoterEvent};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork_ledger::{Budget, Fraction, Holder, HostNumber, LeaseOutcome, LeaseResponse, Message, Refusal};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a host's clients want of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The budget.
    pub budget: Budget,
    /// What they asked for of late, as a fraction of the whole.
    pub asked: Fraction,
    /// The least fraction that a request can come of.
    pub least: Fraction,
    /// How long that has to be had for it.
    pub turn: Duration,
}

/// What a host may use of a budget from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Portion {
    /// The budget.
    pub budget: Budget,
    /// For good, without anybody's word.
    pub floor: Fraction,
    /// On top of that.
    pub lent: Fraction,
    /// Until then. Danger: told as a time from now it would be too late wherever this process stood still meanwhile.
    pub until: Instant,
}

/// The host, as the holder sees it.
pub trait User: Send {
    /// What is wanted of each budget that this host has, now.
    fn demand(&mut self) -> Vec<Demand>;
    /// Portions to go by from now on. True once whoever sends does: nothing more goes out by what was before. It may
    /// wait for that for a moment, but not for ever.
    fn apply(&mut self, portions: &[Portion]) -> bool;
}

pub(crate) struct LeaseClient<U> {
    pub(crate) plan: Arc<FleetPlan>,
    pub(crate) user: U,
    pub(crate) inbox: Receiver<HolderEvent>,
    pub(crate) transport: TransportHandle,
    pub(crate) here: Option<Sender<VoterEvent>>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: LeaseClock,
    pub(crate) nonce: u64,
}

/// Asks without an answer after which another voter is asked.
const MAX_UNANSWERED: u32 = 3;
/// How long a leaving host repeats that it goes: the word may get lost.
const LEAVE_REPEATS: (u32, Duration) = (3, Duration::from_millis(30));

impl<U: User> LeaseClient<U> {
    /// Asks until told to leave or stop.
    pub(crate) fn run(mut self) {
        let mut holder = Holder::new(self.plan.me, self.nonce, self.plan.times);
        let voters: Vec<HostNumber> = self.plan.voters.iter().map(|v| v.host).collect();
        // Hosts begin at different voters, and one that votes at itself.
        let own = voters.iter().position(|v| *v == self.plan.me);
        let mut at = own.unwrap_or(usize::from(self.plan.me.0) % voters.len().max(1));
        let (mut silent, mut asked, mut answered) = (0, 0, 0);
        let mut portions = self.floors();
        self.user.apply(&portions);
        let pause = Duration::from_secs_f64(self.plan.times.renew_ms / 1_000.0);
        let mut next = Instant::now();
        let mut told = false;
        loop {
            if Instant::now() >= next {
                next = Instant::now() + pause;
                let demand = self.user.demand();
                demand.iter().for_each(|d| {
                    holder.set_demand(&d.budget, d.asked, d.least, d.turn.as_millis().min(60_000) as u32)
                });
                if holder.should_request() && !voters.is_empty() {
                    silent += 1;
                    if silent > MAX_UNANSWERED {
                        at = (at + 1) % voters.len();
                    }
                    asked += 1;
                    let request = holder.next_request(self.clock.now_ms());
                    self.say(voters[at], request);
                }
                self.show(&holder, &demand, voters.get(at), asked, answered);
            }
            match self.inbox.recv_deadline(next) {
                Ok(HolderEvent::LeaseResponse(from, response)) => {
                    match &response.outcome {
                        LeaseOutcome::Refused(Refusal::NotLeader(leader)) => {
                            if let Some(to) = leader.and_then(|l| voters.iter().position(|v| *v == l)) {
                                if at != to {
                                    (at, silent, next) = (to, 0, Instant::now());
                                }
                            }
                            continue;
                        }
                        LeaseOutcome::Refused(Refusal::Unknown) => next = Instant::now(),
                        LeaseOutcome::Refused(Refusal::Superseded) if !told => {
                            told = true;
                            tracing::error!(
                                host = self.plan.me.0,
                                "another process has this host's number in the fleet: this one uses no fleet-wide budget any \
                                 more; stop one of the two"
                            );
                        }
                        LeaseOutcome::Refused(Refusal::Superseded) => {}
                        LeaseOutcome::Lease { .. } => {
                            silent = 0;
                            if voters.get(at) != Some(&from) {
                                at = voters.iter().position(|v| *v == from).unwrap_or(at);
                            }
                        }
                    }
                    if self.take(&mut holder, &response, &mut portions) {
                        // What came down is of use to others as soon as the ledger hears of it.
                        next = next.min(Instant::now() + Duration::from_millis(5));
                    }
                    answered += u64::from(matches!(response.outcome, LeaseOutcome::Lease { .. }));
                }
                Ok(HolderEvent::Leave) => return self.leave(holder, &voters, at),
                Ok(HolderEvent::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Takes an answer and hands on what it changes; true where something came down.
    fn take(&mut self, holder: &mut Holder, response: &LeaseResponse, portions: &mut Vec<Portion>) -> bool {
        holder.handle_response(self.clock.now_ms(), response);
        let new = self.portions(holder);
        let unconfirmed = holder.unconfirmed();
        let before: BTreeMap<&Budget, Fraction> = portions.iter().map(|p| (&p.budget, p.lent)).collect();
        let down = new.iter().any(|p| before.get(&p.budget).is_some_and(|b| p.lent < *b));
        if self.user.apply(&new) {
            for (budget, fraction, at) in unconfirmed {
                holder.confirm(&budget, fraction, at);
            }
            *portions = new;
            return down;
        }
        false
    }

    fn floors(&mut self) -> Vec<Portion> {
        let floor = self.plan.floor();
        let until = Instant::now();
        let portion = |d: Demand| Portion { budget: d.budget, floor, lent: Fraction::ZERO, until };
        self.user.demand().into_iter().map(portion).collect()
    }

    fn portions(&self, holder: &Holder) -> Vec<Portion> {
        let state = holder.state();
        // Two processes under one name would use its floor twice.
        let floor = if state.superseded { Fraction::ZERO } else { self.plan.floor() };
        let until = self.clock.instant(state.until_ms);
        let holds = self.clock.now_ms() < state.until_ms;
        let portion = |(budget, held): (&Budget, pearfork_ledger::Held)| Portion {
            budget: budget.clone(),
            floor,
            lent: if holds { held.fraction } else { Fraction::ZERO },
            until,
        };
        holder.all_held().map(portion).collect()
    }

    fn say(&self, to: HostNumber, request: pearfork_ledger::LeaseRequest) {
        match &self.here {
            Some(here) if to == self.plan.me => {
                drop(here.try_send(VoterEvent::LeaseRequest(Requester::Local, request)))
            }
            _ => self.transport.send(TransportCommand::Send(to, Message::LeaseRequest(request))),
        }
    }

    fn show(&self, holder: &Holder, demand: &[Demand], asks: Option<&HostNumber>, asked: u64, answered: u64) {
        let (state, now) = (holder.state(), self.clock.now_ms());
        let floor = if state.superseded { 0.0 } else { self.plan.floor().as_f64() };
        let line = |d: &Demand| HeldLine {
            budget: d.budget.to_string(),
            floor,
            lent: if now < state.until_ms { holder.held(&d.budget).fraction.as_f64() } else { 0.0 },
            demand: d.asked.as_f64(),
        };
        self.shared.holder(HolderView {
            incarnation: state.incarnation.map(|i| i.0),
            lease_ms: Some(state.until_ms - now).filter(|ms| ms.is_finite()),
            superseded: state.superseded,
            asks: asks.map(|h| h.0),
            asked,
            answered,
            budgets: demand.iter().map(line).collect(),
        });
    }

    /// Gives all back. Danger: what is given back is lent to others at once, so first nobody here uses it any more.
    fn leave(&mut self, mut holder: Holder, voters: &[HostNumber], at: usize) {
        holder.leave();
        let none = self.portions(&holder);
        if !self.user.apply(&none) {
            return;
        }
        for _ in 0..LEAVE_REPEATS.0 {
            let request = holder.next_request(self.clock.now_ms());
            if let Some(to) = voters.get(at) {
                self.say(*to, request);
            }
            std::thread::sleep(LEAVE_REPEATS.1);
        }
    }
}
