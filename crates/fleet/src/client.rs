//! The holder's thread: asks for parts, and sees to it that whoever sends goes by them.

use crate::hub::{Asker, ForHolder, ForVoter, HubHandle, Order};
use crate::plan::FleetPlan;
use crate::state::{HeldLine, HolderView, Shared};
use crate::time::LeaseClock;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pearfork_ledger::{Answer, Budget, Holder, HostNumber, Message, Part, Refusal, Said};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a host's clients want of a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The budget.
    pub budget: Budget,
    /// What they asked for of late, as a part of the whole.
    pub asked: Part,
    /// The least part that a request can come of.
    pub least: Part,
    /// How long that has to be had for it.
    pub turn: Duration,
}

/// What a host may use of a budget from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Portion {
    /// The budget.
    pub budget: Budget,
    /// For good, without anybody's word.
    pub floor: Part,
    /// On top of that.
    pub lent: Part,
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

pub(crate) struct Client<U> {
    pub(crate) plan: Arc<FleetPlan>,
    pub(crate) user: U,
    pub(crate) inbox: Receiver<ForHolder>,
    pub(crate) hub: HubHandle,
    pub(crate) here: Option<Sender<ForVoter>>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) clock: LeaseClock,
    pub(crate) nonce: u64,
}

/// Asks without an answer after which another voter is asked.
const SILENT: u32 = 3;
/// How long a leaving host repeats that it goes: the word may get lost.
const FAREWELL: (u32, Duration) = (3, Duration::from_millis(30));

impl<U: User> Client<U> {
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
        let pause = Duration::from_secs_f64(self.plan.times.ask_ms / 1_000.0);
        let mut next = Instant::now();
        let mut told = false;
        loop {
            if Instant::now() >= next {
                next = Instant::now() + pause;
                let demand = self.user.demand();
                demand.iter().for_each(|d| {
                    holder.want(&d.budget, d.asked, d.least, d.turn.as_millis().min(60_000) as u32)
                });
                if holder.asks() && !voters.is_empty() {
                    silent += 1;
                    if silent > SILENT {
                        at = (at + 1) % voters.len();
                    }
                    asked += 1;
                    let ask = holder.ask(self.clock.now_ms());
                    self.say(voters[at], ask);
                }
                self.show(&holder, &demand, voters.get(at), asked, answered);
            }
            match self.inbox.recv_deadline(next) {
                Ok(ForHolder::Answer(from, answer)) => {
                    match &answer.said {
                        Said::Refused(Refusal::NotLeader(leader)) => {
                            if let Some(to) = leader.and_then(|l| voters.iter().position(|v| *v == l)) {
                                if at != to {
                                    (at, silent, next) = (to, 0, Instant::now());
                                }
                            }
                            continue;
                        }
                        Said::Refused(Refusal::Unknown) => next = Instant::now(),
                        Said::Refused(Refusal::Superseded) if !told => {
                            told = true;
                            tracing::error!(
                                host = self.plan.me.0,
                                "another process has this host's number in the fleet: this one uses no fleet-wide budget any \
                                 more; stop one of the two"
                            );
                        }
                        Said::Refused(Refusal::Superseded) => {}
                        Said::Lease { .. } => {
                            silent = 0;
                            if voters.get(at) != Some(&from) {
                                at = voters.iter().position(|v| *v == from).unwrap_or(at);
                            }
                        }
                    }
                    if self.take(&mut holder, &answer, &mut portions) {
                        // What came down is of use to others as soon as the ledger hears of it.
                        next = next.min(Instant::now() + Duration::from_millis(5));
                    }
                    answered += u64::from(matches!(answer.said, Said::Lease { .. }));
                }
                Ok(ForHolder::Leave) => return self.leave(holder, &voters, at),
                Ok(ForHolder::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Takes an answer and hands on what it changes; true where something came down.
    fn take(&mut self, holder: &mut Holder, answer: &Answer, portions: &mut Vec<Portion>) -> bool {
        holder.answer(self.clock.now_ms(), answer);
        let new = self.portions(holder);
        let unconfirmed = holder.unconfirmed();
        let before: BTreeMap<&Budget, Part> = portions.iter().map(|p| (&p.budget, p.lent)).collect();
        let down = new.iter().any(|p| before.get(&p.budget).is_some_and(|b| p.lent < *b));
        if self.user.apply(&new) {
            for (budget, part, at) in unconfirmed {
                holder.confirm(&budget, part, at);
            }
            *portions = new;
            return down;
        }
        false
    }

    fn floors(&mut self) -> Vec<Portion> {
        let floor = self.plan.floor();
        let until = Instant::now();
        let portion = |d: Demand| Portion { budget: d.budget, floor, lent: Part::NONE, until };
        self.user.demand().into_iter().map(portion).collect()
    }

    fn portions(&self, holder: &Holder) -> Vec<Portion> {
        let state = holder.state();
        // Two processes under one name would use its floor twice.
        let floor = if state.superseded { Part::NONE } else { self.plan.floor() };
        let until = self.clock.instant(state.until_ms);
        let holds = self.clock.now_ms() < state.until_ms;
        let portion = |(budget, held): (&Budget, pearfork_ledger::Held)| Portion {
            budget: budget.clone(),
            floor,
            lent: if holds { held.part } else { Part::NONE },
            until,
        };
        holder.all_held().map(portion).collect()
    }

    fn say(&self, to: HostNumber, ask: pearfork_ledger::Ask) {
        match &self.here {
            Some(here) if to == self.plan.me => drop(here.try_send(ForVoter::Ask(Asker::Here, ask))),
            _ => self.hub.order(Order::Say(to, Message::Ask(ask))),
        }
    }

    fn show(&self, holder: &Holder, demand: &[Demand], asks: Option<&HostNumber>, asked: u64, answered: u64) {
        let (state, now) = (holder.state(), self.clock.now_ms());
        let floor = if state.superseded { 0.0 } else { self.plan.floor().fraction() };
        let line = |d: &Demand| HeldLine {
            budget: d.budget.to_string(),
            floor,
            lent: if now < state.until_ms { holder.held(&d.budget).part.fraction() } else { 0.0 },
            demand: d.asked.fraction(),
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
        for _ in 0..FAREWELL.0 {
            let ask = holder.ask(self.clock.now_ms());
            if let Some(to) = voters.get(at) {
                self.say(*to, ask);
            }
            std::thread::sleep(FAREWELL.1);
        }
    }
}
