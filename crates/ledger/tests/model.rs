//! Model checking: every order of events within bounds, for three voters and three holders. Messages are
//! lost, duplicated and reordered, crashes lose what is not on disk, and leases expire. In no reachable state
//! is more in use than can be leased.
//!
//! The state machines are the real ones, with a clock that advances in whole ticks. The search starts in a
//! critical state: one holder has nearly the whole budget but no more demand, and another one requests it.

use pearfork_ledger::raft::{PersistentState, RaftMessage};
use pearfork_ledger::{
    Budget, BudgetKind, Fraction, Holder, HostNumber, LeaseRequest, LeaseResponse, LeaseTable, Timing, Voter,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const VOTERS: usize = 3;
const HOLDERS: usize = 3;

fn timing() -> Timing {
    Timing {
        lease_ms: 400.0,
        max_clock_drift: 0.25,
        renewal_interval_ms: 100.0,
        heartbeat_interval_ms: 100.0,
        election_timeout_ms: 200.0,
    }
}

/// Step by which the clock of all hosts advances, in milliseconds.
const TICK_MS: f64 = 110.0;

fn budget() -> Budget {
    Budget::new(BudgetKind::Limit, "archive")
}

#[derive(Clone, Debug)]
enum Packet {
    Raft(usize, HostNumber, RaftMessage),
    LeaseRequest(usize, usize, LeaseRequest),
    LeaseResponse(usize, LeaseResponse),
}

/// State of a fleet.
#[derive(Clone, Debug)]
struct Fleet {
    now: f64,
    voters: Vec<Option<Voter<usize>>>,
    disks: Vec<PersistentState>,
    holders: Vec<Holder>,
    /// Packets that can be delivered in any order.
    in_flight: Vec<Packet>,
    duplicated: u8,
    crashes: u8,
    lost: u8,
}

impl Fleet {
    fn to_text(&self) -> String {
        let mut in_flight: Vec<String> = self.in_flight.iter().map(|p| format!("{p:?}")).collect();
        in_flight.sort();
        format!(
            "{} {:?} {:?} {:?} {in_flight:?} {} {} {}",
            self.now, self.voters, self.disks, self.holders, self.duplicated, self.crashes, self.lost
        )
    }
}

// Time values are floats, which do not implement `Hash`; the text of the whole state does.
impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.to_text().hash(state);
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Self) -> bool {
        self.to_text() == other.to_text()
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Delivers the packet at this index.
    Deliver(usize),
    /// Delivers the packet and keeps a duplicate in flight.
    Duplicate(usize),
    Lose(usize),
    /// A holder sends a request.
    Request(usize),
    /// A voter does the work that is due.
    Tick(usize),
    AdvanceClock,
    Crash(usize),
    Restart(usize),
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
                .map(|h| Holder::new(HostNumber(h as u16), h as u64 + 50, timing()))
                .collect(),
            in_flight: Vec::new(),
            duplicated: 0,
            crashes: 0,
            lost: 0,
        };
        (0..VOTERS).for_each(|v| fleet.start(v));
        fleet
    }

    /// Starts a voter from the state on its disk.
    fn start(&mut self, v: usize) {
        let seed = v as u64 * 977 + 5;
        let disk = self.disks[v].clone();
        self.voters[v] = Some(Voter::new(HostNumber(v as u16), &voters(), timing(), seed, disk, self.now));
        self.process_output(v);
    }

    /// Writes and sends the output of a voter until there is none left.
    fn process_output(&mut self, v: usize) {
        let Some(voter) = &mut self.voters[v] else { return };
        loop {
            let ready = voter.take_output();
            let writes = ready.raft.rewrite || !ready.raft.records.is_empty();
            if ready.raft.rewrite {
                self.disks[v] = voter.raft().persistent_state();
            } else {
                for record in ready.raft.records {
                    assert!(self.disks[v].apply(record));
                }
            }
            let done = !writes && ready.raft.messages.is_empty() && ready.responses.is_empty();
            for (to, m) in ready.raft.messages {
                self.in_flight.push(Packet::Raft(usize::from(to.0), HostNumber(v as u16), m));
            }
            self.in_flight.extend(ready.responses.into_iter().map(|(h, r)| Packet::LeaseResponse(h, r)));
            if done {
                return;
            }
            voter.persisted(self.now);
        }
    }

    fn deliver(&mut self, packet: Packet) {
        match packet {
            Packet::Raft(to, from, m) => {
                if let Some(v) = &mut self.voters[to] {
                    v.handle_message(self.now, from, m);
                    self.process_output(to);
                }
            }
            Packet::LeaseRequest(to, from, request) => {
                if let Some(v) = &mut self.voters[to] {
                    v.handle_request(self.now, from, request);
                    self.process_output(to);
                }
            }
            Packet::LeaseResponse(to, response) => {
                let holder = &mut self.holders[to];
                holder.handle_response(self.now, &response);
                for (b, allocation) in holder.unconfirmed() {
                    holder.confirm(&b, allocation);
                }
            }
        }
    }

    fn request(&mut self, h: usize) {
        if self.holders[h].should_request() {
            let request = self.holders[h].next_request(self.now);
            for v in 0..VOTERS {
                // The holder does not know the leader: the request goes to every voter that manages leases.
                if self.voters[v].as_ref().is_some_and(|v| v.lease_manager().is_some()) {
                    self.in_flight.push(Packet::LeaseRequest(v, h, request.clone()));
                }
            }
        }
    }

    fn tick(&mut self, v: usize) {
        if let Some(voter) = &mut self.voters[v] {
            voter.tick(self.now);
            self.process_output(v);
        }
    }

    /// Advances the clock without faults: all packets are delivered at once and in order.
    fn run_without_faults(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK_MS;
            (0..VOTERS).for_each(|v| self.tick(v));
            (0..HOLDERS).for_each(|h| self.request(h));
            while let Some(packet) = (!self.in_flight.is_empty()).then(|| self.in_flight.remove(0)) {
                self.deliver(packet);
            }
        }
    }

    fn in_use(&self) -> Fraction {
        let held = |h: &Holder| {
            let held = h.held(&budget());
            if self.now < held.expires_at {
                held.fraction
            } else {
                Fraction::ZERO
            }
        };
        self.holders.iter().map(held).sum()
    }
}

/// The model: an initial state and the maximum number of faults of each kind.
struct BoundedModel {
    initial: Fleet,
    max_crashes: u8,
    max_duplicated: u8,
    max_lost: u8,
}

impl Model for BoundedModel {
    type State = Fleet;
    type Action = Step;

    fn init_states(&self) -> Vec<Fleet> {
        vec![self.initial.clone()]
    }

    fn actions(&self, s: &Fleet, steps: &mut Vec<Step>) {
        for index in 0..s.in_flight.len().min(5) {
            steps.push(Step::Deliver(index));
            if s.duplicated < self.max_duplicated {
                steps.push(Step::Duplicate(index));
            }
            if s.lost < self.max_lost {
                steps.push(Step::Lose(index));
            }
        }
        // Requests of two holders suffice: the one that holds the budget and the one that requests it.
        steps.extend((0..2).map(Step::Request));
        steps.push(Step::AdvanceClock);
        for v in 0..VOTERS {
            match &s.voters[v] {
                Some(voter) if voter.next_deadline() <= s.now => steps.push(Step::Tick(v)),
                Some(_) if s.crashes < self.max_crashes => steps.push(Step::Crash(v)),
                Some(_) => {}
                None => steps.push(Step::Restart(v)),
            }
        }
    }

    fn next_state(&self, s: &Fleet, step: Step) -> Option<Fleet> {
        let mut s = s.clone();
        match step {
            Step::Deliver(index) => {
                let packet = s.in_flight.remove(index);
                s.deliver(packet);
            }
            Step::Duplicate(index) => {
                s.duplicated += 1;
                let packet = s.in_flight[index].clone();
                s.deliver(packet);
            }
            Step::Lose(index) => {
                s.lost += 1;
                s.in_flight.remove(index);
            }
            Step::Request(h) => s.request(h),
            Step::Tick(v) => s.tick(v),
            Step::AdvanceClock => s.now += TICK_MS,
            Step::Crash(v) => {
                s.crashes += 1;
                s.voters[v] = None;
            }
            Step::Restart(v) => s.start(v),
        }
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the fractions in use do not exceed the lendable fraction", |_, s: &Fleet| {
                s.in_use() <= Fraction::from_f64(0.9)
            }),
            Property::always("no table allocates more than the lendable fraction", |_, s: &Fleet| {
                s.voters
                    .iter()
                    .flatten()
                    .all(|v| v.table().total_allocated(&budget()) <= v.table().lendable())
            }),
            Property::always("no two voters commit different entries", |_, s: &Fleet| {
                let last_committed =
                    |v: &Voter<usize>| (v.raft().commit(), v.raft().log().term(v.raft().commit()));
                let mut seen = std::collections::BTreeMap::new();
                s.voters
                    .iter()
                    .flatten()
                    .map(last_committed)
                    .all(|(index, term)| term.is_none() || *seen.entry(index).or_insert(term) == term)
            }),
        ]
    }
}

/// A fleet whose load has just moved: one holder has nearly the whole budget but no more demand, and another
/// one has demand.
fn fleet_with_moved_load() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.run_without_faults(6);
    fleet.holders[0].set_demand(&budget(), Fraction::from_f64(1.0), Fraction::from_f64(0.01), 0);
    fleet.run_without_faults(6);
    assert!(fleet.in_use() > Fraction::from_f64(0.7), "the initial state has only {} in use", fleet.in_use());
    fleet.holders[0].set_demand(&budget(), Fraction::ZERO, Fraction::from_f64(0.01), 0);
    fleet.holders[1].set_demand(&budget(), Fraction::from_f64(1.0), Fraction::from_f64(0.01), 0);
    fleet
}

/// Checks all states within the bounds and returns their number.
fn check(initial: Fleet, max_crashes: u8, max_duplicated: u8, max_lost: u8, max_depth: usize) -> usize {
    let model = BoundedModel { initial, max_crashes, max_duplicated, max_lost };
    let checker = model.checker().threads(2).target_max_depth(max_depth).spawn_bfs().join();
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn no_order_of_events_grants_twice_while_a_load_moves() {
    let states = check(fleet_with_moved_load(), 0, 1, 1, 8);
    assert!(states > 5_000, "{states}");
}

#[test]
fn no_order_of_events_grants_twice_while_a_voter_crashes() {
    let states = check(fleet_with_moved_load(), 1, 0, 0, 8);
    assert!(states > 3_000, "{states}");
}
