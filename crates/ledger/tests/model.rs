//! Every order of events, within bounds: three voters, three holders, messages lost, doubled and reordered, crashes that
//! lose what was not on disk, leases that end. No reachable state has more in use than there is to lend.
//!
//! The state machines are the real ones, on a clock of whole ticks. The search begins where things can go wrong: one holder has
//! nearly all, its clients fell silent, and another asks.

use pearfork_ledger::raft::{PersistentState, RaftMessage};
use pearfork_ledger::{
    Budget, Fraction, Holder, HostNumber, Kind, LeaseRequest, LeaseResponse, LeaseTable, Times, Voter,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const VOTERS: usize = 3;
const HOLDERS: usize = 3;

fn times() -> Times {
    Times { lease_ms: 400.0, drift: 0.25, renew_ms: 100.0, heartbeat_ms: 100.0, election_ms: 200.0 }
}

/// One tick of all clocks.
const TICK: f64 = 110.0;

fn budget() -> Budget {
    Budget::new(Kind::Limit, "archive")
}

#[derive(Clone, Debug)]
enum Said {
    Raft(usize, HostNumber, RaftMessage),
    LeaseRequest(usize, usize, LeaseRequest),
    LeaseResponse(usize, LeaseResponse),
}

/// A fleet at a moment.
#[derive(Clone, Debug)]
struct Fleet {
    now: f64,
    voters: Vec<Option<Voter<usize>>>,
    disks: Vec<PersistentState>,
    holders: Vec<Holder>,
    /// On its way, in any order.
    said: Vec<Said>,
    doubled: u8,
    crashes: u8,
    lost: u8,
}

impl Fleet {
    fn words(&self) -> String {
        let mut said: Vec<String> = self.said.iter().map(|s| format!("{s:?}")).collect();
        said.sort();
        format!(
            "{} {:?} {:?} {:?} {said:?} {} {} {}",
            self.now, self.voters, self.disks, self.holders, self.doubled, self.crashes, self.lost
        )
    }
}

// Clocks are floats, which have no hash of their own; words of all there is have one.
impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.words().hash(state);
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        self.words() == other.words()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Deliver(usize),
    DeliverAndKeep(usize),
    Lose(usize),
    Asks(usize),
    Due(usize),
    Time,
    Crash(usize),
    Start(usize),
}

fn voters() -> Vec<HostNumber> {
    (0..VOTERS as u16).map(HostNumber).collect()
}

impl Fleet {
    fn new() -> Fleet {
        let disk =
            PersistentState { table: LeaseTable::new(Fraction::from_f64(0.9)), ..PersistentState::default() };
        let mut fleet = Fleet {
            now: 0.0,
            voters: vec![None; VOTERS],
            disks: vec![disk; VOTERS],
            holders: (0..HOLDERS)
                .map(|h| Holder::new(HostNumber(h as u16), h as u64 + 50, times()))
                .collect(),
            said: Vec::new(),
            doubled: 0,
            crashes: 0,
            lost: 0,
        };
        (0..VOTERS).for_each(|v| fleet.start(v));
        fleet
    }

    fn start(&mut self, v: usize) {
        let seed = v as u64 * 977 + 5;
        let disk = self.disks[v].clone();
        self.voters[v] = Some(Voter::new(HostNumber(v as u16), &voters(), times(), seed, disk, self.now));
        self.settle(v);
    }

    fn settle(&mut self, v: usize) {
        let Some(voter) = &mut self.voters[v] else { return };
        loop {
            let ready = voter.take_output();
            let writes = ready.raft.rewrite || !ready.raft.records.is_empty();
            if ready.raft.rewrite {
                self.disks[v] = voter.raft().persistent_state();
            } else {
                for record in ready.raft.records {
                    assert!(self.disks[v].add(record));
                }
            }
            let done = !writes && ready.raft.messages.is_empty() && ready.responses.is_empty();
            for (to, m) in ready.raft.messages {
                self.said.push(Said::Raft(usize::from(to.0), HostNumber(v as u16), m));
            }
            self.said.extend(ready.responses.into_iter().map(|(h, a)| Said::LeaseResponse(h, a)));
            if done {
                return;
            }
            voter.persisted(self.now);
        }
    }

    fn deliver(&mut self, said: Said) {
        match said {
            Said::Raft(to, from, m) => {
                if let Some(v) = &mut self.voters[to] {
                    v.handle_message(self.now, from, m);
                    self.settle(to);
                }
            }
            Said::LeaseRequest(to, from, ask) => {
                if let Some(v) = &mut self.voters[to] {
                    v.handle_request(self.now, from, ask);
                    self.settle(to);
                }
            }
            Said::LeaseResponse(to, answer) => {
                let holder = &mut self.holders[to];
                holder.handle_response(self.now, &answer);
                for (b, allocation) in holder.unconfirmed() {
                    holder.confirm(&b, allocation);
                }
            }
        }
    }

    fn asks(&mut self, h: usize) {
        if self.holders[h].should_request() {
            let ask = self.holders[h].next_request(self.now);
            for v in 0..VOTERS {
                // It does not know who leads: all hear it, and those that do not lead say so.
                if self.voters[v].as_ref().is_some_and(|v| v.lease_manager().is_some()) {
                    self.said.push(Said::LeaseRequest(v, h, ask.clone()));
                }
            }
        }
    }

    fn due(&mut self, v: usize) {
        if let Some(voter) = &mut self.voters[v] {
            voter.tick(self.now);
            self.settle(v);
        }
    }

    /// Time goes by and all is heard at once.
    fn calm(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            (0..VOTERS).for_each(|v| self.due(v));
            (0..HOLDERS).for_each(|h| self.asks(h));
            while let Some(said) = (!self.said.is_empty()).then(|| self.said.remove(0)) {
                self.deliver(said);
            }
        }
    }

    fn in_use(&self) -> Fraction {
        let held = |h: &Holder| {
            let held = h.held(&budget());
            if self.now < held.until_ms {
                held.fraction
            } else {
                Fraction::ZERO
            }
        };
        self.holders.iter().map(held).sum()
    }
}

struct Bounded {
    begin: Fleet,
    crashes: u8,
    doubled: u8,
    lost: u8,
}

impl Model for Bounded {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        vec![self.begin.clone()]
    }

    fn actions(&self, s: &Fleet, out: &mut Vec<Step>) {
        for at in 0..s.said.len().min(5) {
            out.push(Step::Deliver(at));
            if s.doubled < self.doubled {
                out.push(Step::DeliverAndKeep(at));
            }
            if s.lost < self.lost {
                out.push(Step::Lose(at));
            }
        }
        // Three holders that ask in turn are the same as any two of them: one that has, one that wants.
        out.extend((0..2).map(Step::Asks));
        out.push(Step::Time);
        for v in 0..VOTERS {
            match &s.voters[v] {
                Some(voter) if voter.next_deadline() <= s.now => out.push(Step::Due(v)),
                Some(_) if s.crashes < self.crashes => out.push(Step::Crash(v)),
                Some(_) => {}
                None => out.push(Step::Start(v)),
            }
        }
    }

    fn next_state(&self, s: &Fleet, step: Step) -> Option<Fleet> {
        let mut s = s.clone();
        match step {
            Step::Deliver(at) => {
                let said = s.said.remove(at);
                s.deliver(said);
            }
            Step::DeliverAndKeep(at) => {
                s.doubled += 1;
                let said = s.said[at].clone();
                s.deliver(said);
            }
            Step::Lose(at) => {
                s.lost += 1;
                s.said.remove(at);
            }
            Step::Asks(h) => s.asks(h),
            Step::Due(v) => s.due(v),
            Step::Time => s.now += TICK,
            Step::Crash(v) => {
                s.crashes += 1;
                s.voters[v] = None;
            }
            Step::Start(v) => s.start(v),
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more is in use than there is to lend", |_, s: &Fleet| {
                s.in_use() <= Fraction::from_f64(0.9)
            }),
            Property::always("no table lends more", |_, s: &Fleet| {
                s.voters
                    .iter()
                    .flatten()
                    .all(|v| v.table().total_allocated(&budget()) <= v.table().lendable())
            }),
            Property::always("two voters never agree on different things", |_, s: &Fleet| {
                let tables = |v: &Voter<usize>| (v.raft().commit(), v.raft().log().term(v.raft().commit()));
                let mut seen = std::collections::BTreeMap::new();
                s.voters
                    .iter()
                    .flatten()
                    .map(tables)
                    .all(|(at, term)| term.is_none() || *seen.entry(at).or_insert(term) == term)
            }),
        ]
    }
}

/// One holder has nearly all and its clients fell silent; another asks.
fn moved() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.calm(6);
    fleet.holders[0].set_demand(&budget(), Fraction::from_f64(1.0), Fraction::from_f64(0.01), 0);
    fleet.calm(6);
    assert!(fleet.in_use() > Fraction::from_f64(0.7), "the search begins with a lease: {}", fleet.in_use());
    fleet.holders[0].set_demand(&budget(), Fraction::ZERO, Fraction::from_f64(0.01), 0);
    fleet.holders[1].set_demand(&budget(), Fraction::from_f64(1.0), Fraction::from_f64(0.01), 0);
    fleet
}

fn search(begin: Fleet, crashes: u8, doubled: u8, lost: u8, depth: usize) -> usize {
    let model = Bounded { begin, crashes, doubled, lost };
    let checker = model.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn no_order_of_events_lends_twice_while_a_load_moves() {
    let states = search(moved(), 0, 1, 1, 8);
    assert!(states > 5_000, "{states}");
}

#[test]
fn no_order_of_events_lends_twice_while_a_voter_crashes() {
    let states = search(moved(), 1, 0, 0, 8);
    assert!(states > 3_000, "{states}");
}
