//! The lives of a client connection and of an attempt, over drawn orders of events.

use pearfork_drive::AttemptId;
use pearfork_platform::config::Links;
use pearfork_platform::lifecycle::{Effect, Event, Life, State};
use pearfork_platform::pool::{Do, LinkId, Pool};
use proptest::prelude::*;
use std::collections::{BTreeMap, VecDeque};

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Full),
        2 => Just(Event::Room),
        2 => (0.0..1_000.0).prop_map(Event::Pause),
        2 => Just(Event::End),
        2 => Just(Event::Answered),
        2 => Just(Event::Flushed),
        2 => (0usize..400_000).prop_map(Event::Discarded),
        1 => Just(Event::Gone),
        1 => Just(Event::Evicted),
        4 => Just(Event::Tick),
    ]
}

proptest! {
    /// One end of sending at the most, and one close; no command is taken behind an end that the host chose; what it
    /// chose to end is over within a bound of time, whatever the client does.
    #[test]
    fn a_connection_ends_once_and_takes_nothing_after(events in prop::collection::vec((0.0..400.0, event()), 1..60)) {
        let (mut life, mut now) = (Life::default(), 0.0);
        let (mut ended, mut answered, mut sending_ended, mut closed) = (false, false, 0, 0);
        for (passed, event) in events {
            now += passed;
            let before = life.state();
            let effect = life.on(now, 500.0, event);
            ended |= event == Event::End && before != State::Closed;
            answered |= before == State::Ending && event == Event::Answered;
            sending_ended += usize::from(effect == Effect::EndSending);
            closed += usize::from(effect == Effect::Close);
            if effect == Effect::EndSending {
                prop_assert!(ended && answered && event == Event::Flushed, "ended before all that was owed went out");
            }
            prop_assert!(!(ended && life.takes_commands()), "a command would be taken behind the end");
            prop_assert_eq!(life.state() == State::Closed, closed == 1);
            prop_assert!(sending_ended <= 1 && closed <= 1);
            prop_assert!(!(life.is_ending() && life.takes_commands()));
        }
        // What the host ended and answered is over at its time, though nothing more is heard.
        if ended {
            life.on(now, 500.0, Event::Answered);
            life.on(now, 500.0, Event::Flushed);
            if let Some(due) = life.due() {
                prop_assert!(due <= now + 3_000.0);
                life.on(due, 500.0, Event::Tick);
            }
            prop_assert_eq!(life.state(), State::Closed);
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Send(u32),
    Up(usize),
    NotUp(usize),
    Answer(usize),
    Over(usize, usize),
    Withdraw(usize),
    Recall(u32),
    CloseIdle(u32),
    Sweep,
    /// The next writes on connections find them unfit.
    Unfit(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let node = 1u32..4;
    let any = 0usize..64;
    prop_oneof![
        6 => node.clone().prop_map(Op::Send),
        4 => any.clone().prop_map(Op::Up),
        1 => any.clone().prop_map(Op::NotUp),
        4 => any.clone().prop_map(Op::Answer),
        1 => (any.clone(), 0usize..3).prop_map(|(l, n)| Op::Over(l, n)),
        2 => any.clone().prop_map(Op::Withdraw),
        1 => node.clone().prop_map(Op::Recall),
        1 => node.prop_map(Op::CloseIdle),
        1 => Just(Op::Sweep),
        1 => (1usize..3).prop_map(Op::Unfit),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Nothing of it has gone out.
    Waits(u32),
    Written(LinkId),
    Over,
}

/// What stands around the pool: connections as they are, and attempts as their owner has them.
struct World {
    pool: Pool,
    room: usize,
    now: f64,
    unfit: usize,
    coming: BTreeMap<LinkId, u32>,
    /// What was written on a connection and has no answer, in order.
    up: BTreeMap<LinkId, (u32, VecDeque<AttemptId>)>,
    fates: BTreeMap<AttemptId, Fate>,
    next: u32,
}

impl World {
    fn over(&mut self, attempt: AttemptId) {
        let before = self.fates.insert(attempt, Fate::Over);
        assert!(matches!(before, Some(Fate::Waits(_) | Fate::Written(_))), "{attempt:?} ends twice");
    }

    fn live(&self) -> Vec<AttemptId> {
        self.fates.iter().filter(|(_, f)| **f != Fate::Over).map(|(a, _)| *a).collect()
    }

    fn run(&mut self, todo: Vec<Do>) {
        let mut todo: VecDeque<Do> = todo.into();
        while let Some(one) = todo.pop_front() {
            let mut out = Vec::new();
            match one {
                Do::Open(link, node) => drop(self.coming.insert(link, node)),
                Do::Write(link, attempt) => {
                    let Some(Fate::Waits(node)) = self.fates.get(&attempt).copied() else {
                        panic!("{attempt:?} is written that nobody waits for or that went out before")
                    };
                    let up = self.up.get_mut(&link).expect("written on a connection that is not up");
                    assert_eq!(up.0, node, "on a connection of another node");
                    if self.unfit > 0 && up.1.is_empty() {
                        self.unfit -= 1;
                        self.pool.unfit(self.now, link, node, attempt, &mut out);
                    } else {
                        up.1.push_back(attempt);
                        self.fates.insert(attempt, Fate::Written(link));
                    }
                }
                Do::Close(link) => {
                    self.coming.remove(&link);
                    let lost = self.up.remove(&link).map(|(_, out)| out).unwrap_or_default();
                    for attempt in lost {
                        assert_eq!(self.fates[&attempt], Fate::Over, "closed under one that is waited for");
                    }
                }
                Do::NeverSent(attempt) => {
                    assert!(matches!(self.fates[&attempt], Fate::Waits(_)));
                    self.over(attempt);
                }
            }
            todo.extend(out);
        }
        assert!(self.pool.held() <= self.room);
    }

    fn pick<K: Copy + Ord, V>(map: &BTreeMap<K, V>, n: usize) -> Option<K> {
        map.keys().nth(n % map.len().max(1)).copied()
    }

    fn answer(&mut self, link: LinkId) {
        let Some(attempt) = self.up.get_mut(&link).and_then(|(_, out)| out.pop_front()) else { return };
        let whose = self.pool.answered(self.now, link);
        match self.fates[&attempt] {
            Fate::Over => assert_eq!(whose, None, "an answer that nobody waits for is another's"),
            _ => {
                assert_eq!(whose, Some(attempt), "the answer is another's");
                self.over(attempt);
            }
        }
        assert!(self.pool.held() <= self.room);
    }

    fn apply(&mut self, op: Op) {
        let mut out = Vec::new();
        match op {
            Op::Send(node) => {
                self.next += 1;
                let attempt = AttemptId { request: self.next, number: 0 };
                self.fates.insert(attempt, Fate::Waits(node));
                self.pool.send(self.now, node, attempt, &mut out);
            }
            Op::Up(n) => {
                let Some(link) = World::pick(&self.coming, n) else { return };
                let node = self.coming.remove(&link).unwrap();
                self.up.insert(link, (node, VecDeque::new()));
                self.pool.opened(self.now, link, &mut out);
            }
            Op::NotUp(n) => {
                let Some(link) = World::pick(&self.coming, n) else { return };
                self.coming.remove(&link);
                self.pool.not_opened(link, &mut out);
            }
            Op::Answer(n) => {
                let Some(link) = World::pick(&self.up, n) else { return };
                return self.answer(link);
            }
            Op::Over(n, unsent) => {
                let Some(link) = World::pick(&self.up, n) else { return };
                let (_, was_out) = self.up.remove(&link).unwrap();
                let expected: Vec<AttemptId> = was_out.iter().rev().take(unsent).copied().collect();
                let expected: Vec<AttemptId> =
                    expected.into_iter().filter(|a| self.fates[a] != Fate::Over).collect();
                assert_eq!(self.pool.last_written(link, unsent), expected, "told never to have run");
                let lost = self.pool.closed(link, &mut out);
                let owed: Vec<AttemptId> =
                    was_out.into_iter().filter(|a| self.fates[a] != Fate::Over).collect();
                assert_eq!(lost, owed);
                lost.into_iter().for_each(|a| self.over(a));
            }
            Op::Withdraw(n) => {
                let live = self.live();
                let Some(attempt) = live.get(n % live.len().max(1)).copied() else { return };
                let node = match self.fates[&attempt] {
                    Fate::Waits(node) => node,
                    Fate::Written(link) => self.up[&link].0,
                    Fate::Over => unreachable!(),
                };
                self.over(attempt);
                // Now and then it is taken back from behind others, as where nothing of it has gone out.
                match self.pool.place_of(attempt).filter(|(l, _)| n % 2 == 0 && !self.pool.is_alone(*l)) {
                    Some((link, behind)) => {
                        let out_there = &mut self.up.get_mut(&link).unwrap().1;
                        let at = out_there.len() - 1 - behind;
                        assert_eq!(out_there.remove(at), Some(attempt), "another's place");
                        self.pool.unsend(self.now, link, attempt, &mut out);
                    }
                    None => self.pool.withdrawn(node, attempt, &mut out),
                }
            }
            Op::Recall(node) => {
                self.pool.recall(node, &mut out);
                self.run(out);
                let waits = self.fates.values().any(|f| *f == Fate::Waits(node));
                assert!(!waits, "one still waits for a node that is not what it was");
                return;
            }
            Op::CloseIdle(node) => self.pool.close_idle(node, &mut out),
            Op::Sweep => self.pool.sweep(self.now, &mut out),
            Op::Unfit(n) => self.unfit = n,
        }
        self.run(out);
    }

    /// Time passes; what has rested by then is used.
    fn pass(&mut self, ms: f64) {
        self.now += ms;
        let mut out = Vec::new();
        self.pool.ring(self.now, &mut out);
        self.run(out);
    }
}

proptest! {
    /// Each attempt ends once, is written once at the most and never after its end; each answer is its own; and every
    /// place is given back.
    #[test]
    fn an_attempt_ends_once_and_is_in_somebody_s_hands_until_then(
        room in 1usize..6,
        ops in prop::collection::vec((0.0..20.0, op()), 1..120),
    ) {
        let links = Links { streams: 3, idle_ms: 30_000.0, connect_ms: 250.0 };
        let mut world = World {
            pool: Pool::new(links, room), room, now: 0.0, unfit: 0, coming: BTreeMap::new(), up: BTreeMap::new(),
            fates: BTreeMap::new(), next: 0,
        };
        for (passed, op) in ops {
            world.pass(passed);
            world.apply(op);
        }
        // Everything comes up and is answered in the end; nothing is left in nobody's hands.
        for _ in 0..400 {
            let links: Vec<LinkId> = world.up.keys().copied().collect();
            world.apply(Op::Up(0));
            links.into_iter().for_each(|l| world.answer(l));
            world.pass(10.0);
        }
        prop_assert_eq!(world.live(), vec![]);
        world.now += 60_000.0;
        world.apply(Op::Sweep);
        prop_assert_eq!(world.pool.held(), 0, "a place that nobody gave back");
    }
}
