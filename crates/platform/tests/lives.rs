//! The state machine of a client connection and the pool's handling of attempts, under random sequences of
//! events.

use pearfork_drive::AttemptId;
use pearfork_platform::config::LinkSettings;
use pearfork_platform::lifecycle::{Effect, Event, Lifecycle, State};
use pearfork_platform::pool::{LinkId, Pool, PoolAction};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::LimitReached),
        2 => Just(Event::BelowLimit),
        2 => (0.0..1_000.0).prop_map(Event::Pause),
        2 => Just(Event::Close),
        2 => Just(Event::AllAnswered),
        2 => Just(Event::Flushed),
        2 => (0usize..400_000).prop_map(Event::Discarded),
        1 => Just(Event::Disconnected),
        1 => Just(Event::Evicted),
        4 => Just(Event::Tick),
    ]
}

proptest! {
    /// The sending side is shut down at most once and the connection is closed at most once. No command is
    /// accepted after the host began to close the connection, and the close completes within a bounded time
    /// whatever the client does.
    #[test]
    fn a_connection_closes_once_and_accepts_nothing_afterwards(
        events in prop::collection::vec((0.0..400.0, event()), 1..60),
    ) {
        let (mut lifecycle, mut now) = (Lifecycle::default(), 0.0);
        let (mut ended, mut answered, mut sending_ended, mut closed) = (false, false, 0, 0);
        for (passed, event) in events {
            now += passed;
            let before = lifecycle.state();
            let effect = lifecycle.handle(now, 500.0, event);
            ended |= event == Event::Close && before != State::Closed;
            answered |= before == State::AwaitingReplies && event == Event::AllAnswered;
            sending_ended += usize::from(effect == Effect::ShutdownWrite);
            closed += usize::from(effect == Effect::Close);
            if effect == Effect::ShutdownWrite {
                prop_assert!(
                    ended && answered && event == Event::Flushed,
                    "ended before all that was owed went out"
                );
            }
            prop_assert!(!(ended && lifecycle.accepts_commands()), "a command would be taken behind the end");
            prop_assert_eq!(lifecycle.state() == State::Closed, closed == 1);
            prop_assert!(sending_ended <= 1 && closed <= 1);
            prop_assert!(!(lifecycle.is_closing() && lifecycle.accepts_commands()));
        }
        // A connection that the host closes and whose commands are answered ends on time even without further
        // events.
        if ended {
            lifecycle.handle(now, 500.0, Event::AllAnswered);
            lifecycle.handle(now, 500.0, Event::Flushed);
            if let Some(due) = lifecycle.next_due() {
                prop_assert!(due <= now + 3_000.0);
                lifecycle.handle(due, 500.0, Event::Tick);
            }
            prop_assert_eq!(lifecycle.state(), State::Closed);
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Send(u32),
    Opened(usize),
    OpenFailed(usize),
    Reply(usize),
    Closed(usize),
    Abandon(usize),
    CancelWaiting(u32),
    CloseIdle(u32),
    Sweep,
    /// The next writes on links find them unusable.
    Unusable(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let node = 1u32..4;
    let any = 0usize..64;
    prop_oneof![
        6 => node.clone().prop_map(Op::Send),
        4 => any.clone().prop_map(Op::Opened),
        1 => any.clone().prop_map(Op::OpenFailed),
        4 => any.clone().prop_map(Op::Reply),
        1 => any.clone().prop_map(Op::Closed),
        2 => any.clone().prop_map(Op::Abandon),
        1 => node.clone().prop_map(Op::CancelWaiting),
        1 => node.prop_map(Op::CloseIdle),
        1 => Just(Op::Sweep),
        1 => (1usize..3).prop_map(Op::Unusable),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    /// Nothing of it has been sent.
    Waiting(u32),
    Written(LinkId),
    Ended,
}

/// Test environment of the pool: the actual connections, and the attempts as seen by the engine.
struct Environment {
    pool: Pool,
    capacity: usize,
    now: f64,
    unusable: usize,
    opening: BTreeMap<LinkId, u32>,
    /// The node of each connection, and the command written on it and not answered.
    open: BTreeMap<LinkId, (u32, Option<AttemptId>)>,
    attempts: BTreeMap<AttemptId, AttemptState>,
    next: u32,
}

impl Environment {
    fn attempt_ended(&mut self, attempt: AttemptId) {
        let before = self.attempts.insert(attempt, AttemptState::Ended);
        assert!(
            matches!(before, Some(AttemptState::Waiting(_) | AttemptState::Written(_))),
            "{attempt:?} ends twice"
        );
    }

    fn live_attempts(&self) -> Vec<AttemptId> {
        self.attempts.iter().filter(|(_, f)| **f != AttemptState::Ended).map(|(a, _)| *a).collect()
    }

    fn run(&mut self, pending: Vec<PoolAction>) {
        let mut pending: VecDeque<PoolAction> = pending.into();
        while let Some(action) = pending.pop_front() {
            let mut out = Vec::new();
            match action {
                PoolAction::Open(link, node) => drop(self.opening.insert(link, node)),
                PoolAction::Write(link, attempt) => {
                    let Some(AttemptState::Waiting(node)) = self.attempts.get(&attempt).copied() else {
                        panic!("{attempt:?} is written that nobody waits for or that went out before")
                    };
                    let carrier = self.open.get_mut(&link).expect("written on a connection that is not up");
                    assert_eq!(carrier.0, node, "on a connection of another node");
                    assert_eq!(carrier.1, None, "written behind another command");
                    if self.unusable > 0 {
                        self.unusable -= 1;
                        self.pool.write_rejected(self.now, link, node, attempt, &mut out);
                    } else {
                        carrier.1 = Some(attempt);
                        self.attempts.insert(attempt, AttemptState::Written(link));
                    }
                }
                PoolAction::Close(link) => {
                    self.opening.remove(&link);
                    let lost = self.open.remove(&link).and_then(|(_, out)| out);
                    if let Some(attempt) = lost {
                        assert_eq!(
                            self.attempts[&attempt],
                            AttemptState::Ended,
                            "closed under one that is waited for"
                        );
                    }
                }
                PoolAction::NeverSent(attempt) => {
                    assert!(matches!(self.attempts[&attempt], AttemptState::Waiting(_)));
                    self.attempt_ended(attempt);
                }
            }
            pending.extend(out);
        }
        assert!(self.pool.link_count() <= self.capacity);
    }

    fn pick<K: Copy + Ord, V>(map: &BTreeMap<K, V>, n: usize) -> Option<K> {
        map.keys().nth(n % map.len().max(1)).copied()
    }

    fn reply(&mut self, link: LinkId) {
        let Some(attempt) = self.open.get_mut(&link).and_then(|(_, out)| out.take()) else { return };
        let mut out = Vec::new();
        let owner = self.pool.reply_received(self.now, link, &mut out);
        assert_eq!(owner, Some(attempt), "the answer is another's");
        self.attempt_ended(attempt);
        self.run(out);
    }

    fn apply(&mut self, op: Op) {
        let mut out = Vec::new();
        match op {
            Op::Send(node) => {
                self.next += 1;
                let attempt = AttemptId { request: self.next, number: 0 };
                self.attempts.insert(attempt, AttemptState::Waiting(node));
                self.pool.send(self.now, node, attempt, &mut out);
            }
            Op::Opened(n) => {
                let Some(link) = Environment::pick(&self.opening, n) else { return };
                let node = self.opening.remove(&link).unwrap();
                self.open.insert(link, (node, None));
                self.pool.link_opened(self.now, link, &mut out);
            }
            Op::OpenFailed(n) => {
                let Some(link) = Environment::pick(&self.opening, n) else { return };
                self.opening.remove(&link);
                self.pool.open_failed(self.now, link, &mut out);
            }
            Op::Reply(n) => {
                let Some(link) = Environment::pick(&self.open, n) else { return };
                return self.reply(link);
            }
            Op::Closed(n) => {
                let Some(link) = Environment::pick(&self.open, n) else { return };
                let (_, was_in_flight) = self.open.remove(&link).unwrap();
                let lost = self.pool.link_closed(self.now, link, &mut out);
                assert_eq!(lost, was_in_flight);
                lost.into_iter().for_each(|a| self.attempt_ended(a));
            }
            Op::Abandon(n) => {
                let live_attempts = self.live_attempts();
                let Some(attempt) = live_attempts.get(n % live_attempts.len().max(1)).copied() else {
                    return;
                };
                let node = match self.attempts[&attempt] {
                    AttemptState::Waiting(node) => node,
                    AttemptState::Written(link) => self.open[&link].0,
                    AttemptState::Ended => unreachable!(),
                };
                self.attempt_ended(attempt);
                // Some attempts are retracted from their link, as if nothing of them had been sent.
                match self.pool.link_of(attempt).filter(|_| n % 2 == 0) {
                    Some(link) => {
                        let in_flight = self.open.get_mut(&link).unwrap().1.take();
                        assert_eq!(in_flight, Some(attempt), "another's place");
                        self.pool.retract(self.now, link, attempt, &mut out);
                    }
                    None => {
                        self.pool.abandon(self.now, node, attempt, &mut out);
                        let is_carried = self.open.iter().find(|(_, (_, a))| *a == Some(attempt));
                        let closed = is_carried.map(|(link, _)| PoolAction::Close(*link));
                        assert!(closed.is_none_or(|c| out.contains(&c)), "it stays out on an open link");
                    }
                }
            }
            Op::CancelWaiting(node) => {
                self.pool.cancel_waiting(node, &mut out);
                self.run(out);
                let waits = self.attempts.values().any(|f| *f == AttemptState::Waiting(node));
                assert!(!waits, "one still waits for a node that is not what it was");
                return;
            }
            Op::CloseIdle(node) => self.pool.close_idle(self.now, node, &mut out),
            Op::Sweep => self.pool.close_expired(self.now, &mut out),
            Op::Unusable(n) => self.unusable = n,
        }
        self.run(out);
    }

    /// Advances the time and lets the pool use links that have become available.
    fn advance(&mut self, ms: f64) {
        self.now += ms;
        let mut out = Vec::new();
        self.pool.on_timer(self.now, &mut out);
        self.run(out);
    }
}

proptest! {
    /// Each attempt ends exactly once, is written at most once and never after its end; each reply belongs to
    /// its attempt; and every place in the pool is released.
    #[test]
    fn each_attempt_ends_exactly_once_and_is_never_lost(
        capacity in 1usize..6,
        ops in prop::collection::vec((0.0..20.0, op()), 1..120),
    ) {
        let links = LinkSettings { idle_timeout_ms: 30_000.0, connect_timeout_ms: 250.0 };
        let mut environment = Environment {
            pool: Pool::new(links, capacity), capacity, now: 0.0, unusable: 0, opening: BTreeMap::new(),
            open: BTreeMap::new(), attempts: BTreeMap::new(), next: 0,
        };
        for (passed, op) in ops {
            environment.advance(passed);
            environment.apply(op);
        }
        // Finally all links open and all commands are answered; no attempt may be left over.
        for _ in 0..400 {
            let links: Vec<LinkId> = environment.open.keys().copied().collect();
            environment.apply(Op::Opened(0));
            links.into_iter().for_each(|l| environment.reply(l));
            environment.advance(10.0);
        }
        prop_assert_eq!(environment.live_attempts(), vec![]);
        environment.now += 60_000.0;
        environment.apply(Op::Sweep);
        prop_assert_eq!(environment.pool.link_count(), 0, "a place that nobody gave back");
    }
}
