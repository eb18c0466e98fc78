//! A fleet of real schedulers before modelled nodes, in simulated time.
//!
//! The nodes share no code with the module: each is a queue worked off at the pace of its age. What every process
//! sent to a node that started is logged for the tests to judge.

use super::{class, outcome, plan, request};
use pearfork::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Two nodes of one shard, one the successor of the other, are told apart by multiples of this.
const SUCCESSOR: u32 = 10_000;
/// How long a client waits for its answer.
const PATIENCE_MS: f64 = 1_000.0;
/// How long a process that was told to end goes on with what it holds.
const DRAIN_MS: f64 = 1_000.0;
/// A connection to a node that was replaced fails after this time.
const CONNECT_FAILED_MS: f64 = 1.0;
/// Draws for a host that is up before a request is dropped.
const HOST_DRAWS: usize = 64;

/// Requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub units: f64,
    /// Part of all requests.
    pub part: f64,
}

/// Which hosts the requests come through, and how many.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Part of what the warm nodes do that is asked.
    pub load: f64,
    /// The load is multiplied by the last figure between two moments.
    pub burst: (f64, f64, f64),
    /// Relative traffic of each host.
    pub weights: Vec<f64>,
    /// At these moments the weights move on to other hosts, by a third of the fleet.
    pub shifts_ms: Vec<f64>,
    /// Shards that only these hosts use.
    pub few: BTreeMap<usize, Vec<u32>>,
    /// Shards of which so many times as much is asked as of the others, from a moment on.
    pub hot: BTreeMap<usize, f64>,
    pub hot_from_ms: f64,
}

/// What happens to nodes and hosts.
#[derive(Clone, Debug)]
pub enum Change {
    /// New nodes take the place of those of these shards.
    Replace(Vec<usize>),
    /// The nodes of these shards start again, under their names.
    StartAnew(Vec<usize>),
    /// These hosts are killed; each comes back at once with the list as it is now.
    Kill(Vec<u32>),
    /// These hosts are told to end and finish what they hold while a new process takes over, with an outdated list.
    Restart(Vec<u32>),
    /// These hosts are killed and don't come back by themselves.
    Leave(Vec<u32>),
    /// These hosts come up, with an outdated list.
    Join(Vec<u32>),
}

/// What a run is drawn from.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub hosts: u32,
    pub nodes: u32,
    /// Units a second that a warm node does.
    pub pace: f64,
    pub kinds: Vec<Kind>,
    pub traffic: Traffic,
    pub cold_from: f64,
    pub multiple: f64,
    pub span_ms: f64,
    pub warm_after_ms: f64,
    pub length_ms: f64,
    /// Each host hears of a start at a moment of its own within this time.
    pub told_within_ms: f64,
    pub changes: Vec<(f64, Change)>,
    pub seed: u64,
}

impl Fleet {
    pub fn mean_units(&self) -> f64 {
        self.kinds.iter().map(|k| k.units * k.part).sum()
    }

    pub fn settings(&self) -> Settings {
        let classes = self.kinds.iter().map(|_| Class { aim_ms: 400.0, ..class(Effect::Safe, Group::All) });
        Settings {
            hosts: self.hosts,
            classes: classes.collect(),
            plans: vec![Plan { nominal: 1e6, ..plan() }],
            cold_from: self.cold_from,
            warm_after_ms: self.warm_after_ms,
            fall_multiple: self.multiple,
            fall_ms: self.span_ms,
            cold_units: self.multiple * self.cold_from * self.pace * self.span_ms / 1_000.0,
            mean_units: self.mean_units(),
            max_units: self.kinds.iter().map(|k| k.units).fold(0.0, f64::max),
            ..super::settings()
        }
    }

    /// Part of its capacity that a node of this age has.
    pub fn warmth(&self, age_ms: f64) -> f64 {
        self.cold_from + (1.0 - self.cold_from) * (age_ms / self.warm_after_ms).clamp(0.0, 1.0)
    }

    pub fn play(self) -> Played {
        Run::new(self).play()
    }
}

#[derive(Default, Debug, Clone, Copy)]
pub struct Count {
    pub asked: f64,
    pub served: f64,
}

/// One attempt that reached a node which started during the run.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    pub shard: usize,
    pub started_ms: f64,
    pub at_ms: f64,
    pub units: f64,
    /// Whether the process that sent it had been told of the start.
    pub told: bool,
}

/// What came of a run; counts are by class.
#[derive(Default, Debug)]
pub struct Played {
    /// Requests of shards whose nodes were cold.
    pub cold: Vec<Count>,
    pub all: Vec<Count>,
    /// In order of time.
    pub sent: Vec<Sent>,
    pub unanswered: usize,
    pub answered_twice: usize,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Ask,
    Shift,
    Ring { process: usize, label: u64 },
    Answer { process: usize, id: u32, attempt: u16, node: u32, took_us: u64, served: bool },
    Tell { process: usize },
    End { process: usize },
    Change(usize),
}

struct Node {
    number: u32,
    started: f64,
    busy_until: f64,
}

struct Process {
    scheduler: Scheduler,
    alive: bool,
    /// When the node of each shard started, as this process was told last.
    knows: Vec<f64>,
}

struct Open {
    process: usize,
    at: f64,
    class: usize,
    cold: bool,
    attempts: u16,
    answers: usize,
}

struct Run {
    of: Fleet,
    settings: Settings,
    processes: Vec<Process>,
    /// The process of each host that is up.
    hosts: Vec<Option<usize>>,
    nodes: Vec<Node>,
    /// The node list before the latest change.
    outdated: Vec<NodeEntry>,
    weights_up_to: Vec<f64>,
    shifted: usize,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    number: u64,
    next_id: u32,
    random: u64,
    open: BTreeMap<u32, Open>,
    played: Played,
}

impl Run {
    fn new(of: Fleet) -> Run {
        let node = |shard| Node { number: shard, started: 0.0, busy_until: 0.0 };
        let none = vec![Count::default(); of.kinds.len()];
        let mut run = Run {
            settings: of.settings(),
            processes: Vec::new(),
            hosts: vec![None; of.hosts as usize],
            nodes: (0..of.nodes).map(node).collect(),
            outdated: Vec::new(),
            weights_up_to: Vec::new(),
            shifted: 0,
            queue: BinaryHeap::new(),
            number: 0,
            next_id: 0,
            random: of.seed,
            open: BTreeMap::new(),
            played: Played { cold: none.clone(), all: none, ..Played::default() },
            of,
        };
        run.outdated = run.list();
        run.share_traffic();
        let late = |c: &&(f64, Change)| matches!(c.1, Change::Join(_));
        let joins: Vec<u32> = run.of.changes.iter().filter(late).flat_map(|c| hosts_of(&c.1)).collect();
        for host in (0..run.of.hosts).filter(|h| !joins.contains(h)) {
            let list = run.list();
            run.start_process(0.0, host, list);
        }
        for i in 0..run.of.changes.len() {
            run.at(run.of.changes[i].0, What::Change(i));
        }
        for i in 0..run.of.traffic.shifts_ms.len() {
            run.at(run.of.traffic.shifts_ms[i], What::Shift);
        }
        run.ask_again(0.0);
        run
    }

    fn list(&self) -> Vec<NodeEntry> {
        let entry = |(i, n): (usize, &Node)| NodeEntry {
            node: n.number,
            shard: i as u16,
            zone: 0,
            state: NodeState::Ready,
            started_ms: n.started,
        };
        self.nodes.iter().enumerate().map(entry).collect()
    }

    /// Always after the stated time: a timer that rings a rounding before it would be set again without end.
    fn at(&mut self, ms: f64, what: What) {
        self.number += 1;
        self.queue.push(Reverse(((ms * 1_000.0).floor() as u64 + 1, self.number, what)));
    }

    fn draw(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// How many times as much is asked of a shard as is usual.
    fn heat(&self, shard: usize, now: f64) -> f64 {
        let hot = self.of.traffic.hot.get(&shard).filter(|_| now >= self.of.traffic.hot_from_ms);
        hot.copied().unwrap_or(1.0)
    }

    /// The same of all shards together, counted in usual ones.
    fn heat_of_all(&self, now: f64) -> f64 {
        (0..self.nodes.len()).map(|shard| self.heat(shard, now)).sum()
    }

    fn draw_shard(&mut self, now: f64) -> usize {
        let mut left = self.draw() * self.heat_of_all(now);
        let drawn = (0..self.nodes.len()).find(|shard| {
            left -= self.heat(*shard, now);
            left < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn ask_again(&mut self, now: f64) {
        let traffic = &self.of.traffic;
        let (from, to, factor) = traffic.burst;
        let load = traffic.load * if (from..to).contains(&now) { factor } else { 1.0 };
        let rate = load * self.of.pace * self.heat_of_all(now) / self.of.mean_units() / 1_000.0;
        let wait = -(1.0 - self.draw()).ln() / rate;
        self.at(now + wait, What::Ask);
    }

    /// Sums up the weights, moved on by as many hosts as they were shifted.
    fn share_traffic(&mut self) {
        let weights = &self.of.traffic.weights;
        let mut sum = 0.0;
        let moved = (0..weights.len()).map(|i| weights[(i + self.shifted) % weights.len()]);
        self.weights_up_to = moved
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
    }

    /// A host that is up and uses this shard, by its traffic.
    fn draw_host(&mut self, shard: usize) -> Option<usize> {
        let few = self.of.traffic.few.get(&shard).cloned();
        for _ in 0..HOST_DRAWS {
            let drawn = self.draw();
            let host = match &few {
                Some(users) => users[(drawn * users.len() as f64) as usize] as usize,
                None => {
                    let up_to = drawn * self.weights_up_to.last().copied().unwrap_or(0.0);
                    self.weights_up_to.partition_point(|w| *w <= up_to)
                }
            };
            if let Some(process) = self.hosts[host] {
                return Some(process);
            }
        }
        None
    }

    fn pace(&self, shard: usize, now: f64) -> f64 {
        match self.nodes[shard].started {
            0.0 => self.of.pace,
            started => self.of.pace * self.of.warmth(now - started),
        }
    }

    fn start_process(&mut self, now: f64, host: u32, list: Vec<NodeEntry>) {
        let process = self.processes.len();
        let seed = self.of.seed.wrapping_mul(1_000_003) + 7_919 * process as u64;
        let scheduler = Scheduler::new(self.settings.clone(), seed).expect("sane settings");
        self.processes.push(Process { scheduler, alive: true, knows: Vec::new() });
        self.hosts[host as usize] = Some(process);
        self.tell(now, process, ListKind::Cached, list);
    }

    fn tell(&mut self, now: f64, process: usize, kind: ListKind, list: Vec<NodeEntry>) {
        self.processes[process].knows = list.iter().map(|e| e.started_ms).collect();
        self.give(now, process, Event::NodeList(kind, list));
    }

    fn tell_later(&mut self, now: f64, process: usize) {
        if self.of.told_within_ms > 0.0 {
            let late = self.draw() * self.of.told_within_ms;
            self.at(now + late, What::Tell { process });
        } else {
            self.tell(now, process, ListKind::Full, self.list());
        }
    }

    /// Ends the process of a host at once; what it held is lost with it, and no matter of these tests.
    fn kill(&mut self, host: u32) {
        if let Some(process) = self.hosts[host as usize].take() {
            self.processes[process].alive = false;
            self.open.retain(|_, o| o.process != process);
        }
    }

    fn give(&mut self, now: f64, process: usize, event: Event) {
        if !self.processes[process].alive {
            return;
        }
        let mut actions = Vec::new();
        self.processes[process].scheduler.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at_ms, label } => self.at(at_ms.max(now), What::Ring { process, label }),
                Action::Send { id, node, .. } => self.send(now, process, id, node),
                Action::Refuse { id, .. } | Action::Fail { id, .. } => self.answered(id),
                _ => {}
            }
        }
    }

    fn answered(&mut self, id: u32) {
        let open = self.open.get_mut(&id).expect("an answer has its request");
        open.answers += 1;
        self.played.answered_twice += usize::from(open.answers > 1);
    }

    fn send(&mut self, now: f64, process: usize, id: u32, number: u32) {
        let shard = (number % SUCCESSOR) as usize;
        let open = self.open.get_mut(&id).expect("an attempt has its request");
        let (units, attempt) = (self.of.kinds[open.class].units, open.attempts);
        open.attempts += 1;
        let gone = self.nodes[shard].number != number;
        let pace = self.pace(shard, now);
        let n = &mut self.nodes[shard];
        let done =
            if gone { now + CONNECT_FAILED_MS } else { n.busy_until.max(now) + units / pace * 1_000.0 };
        if !gone {
            n.busy_until = done;
        }
        if !gone && n.started > 0.0 {
            let told = self.processes[process].knows[shard] >= n.started;
            self.played.sent.push(Sent { shard, started_ms: n.started, at_ms: now, units, told });
        }
        let took_us = ((done - now) * 1_000.0) as u64;
        self.at(done, What::Answer { process, id, attempt, node: number, took_us, served: !gone });
    }

    fn play(mut self) -> Played {
        while let Some(Reverse((us, _, what))) = self.queue.pop() {
            let now = us as f64 / 1_000.0;
            if now > self.of.length_ms {
                break;
            }
            match what {
                What::Ask => self.ask(now),
                What::Shift => {
                    self.shifted += self.hosts.len() / 3 + 1;
                    self.share_traffic();
                }
                What::Ring { process, label } => self.give(now, process, Event::Timer { label }),
                What::Answer { process, id, attempt, node, took_us, served } => {
                    let told = outcome(id, attempt, node, AttemptResult::ConnectFailed);
                    let told = AttemptOutcome { elapsed_ms: took_us as f64 / 1_000.0, ..told };
                    if self.processes[process].alive {
                        let told = if served { self.serve(now, told) } else { told };
                        self.give(now, process, Event::AttemptEnded(told));
                    }
                }
                What::Tell { process } => self.tell(now, process, ListKind::Full, self.list()),
                What::End { process } => self.processes[process].alive = false,
                What::Change(i) => self.change(now, self.of.changes[i].1.clone()),
            }
        }
        let over = |o: &&Open| {
            self.processes[o.process].alive && o.at + PATIENCE_MS < self.of.length_ms && o.answers == 0
        };
        self.played.unanswered = self.open.values().filter(over).count();
        self.played
    }

    fn serve(&mut self, now: f64, told: AttemptOutcome) -> AttemptOutcome {
        let open = self.open.get_mut(&told.id).expect("an answer has its request");
        if open.answers == 0 {
            open.answers = 1;
            self.played.all[open.class].served += 1.0;
            self.played.cold[open.class].served += f64::from(u8::from(open.cold));
        }
        let waits = (self.nodes[(told.node % SUCCESSOR) as usize].busy_until - now).max(0.0);
        let queue = Some((waits / 1_000.0 * self.of.pace / 2.0).floor());
        AttemptOutcome { queue, request_ended: true, result: AttemptResult::Served, ..told }
    }

    fn change(&mut self, now: f64, change: Change) {
        let (shards, anew) = match &change {
            Change::Replace(shards) => (shards.clone(), false),
            Change::StartAnew(shards) => (shards.clone(), true),
            _ => (Vec::new(), false),
        };
        if !shards.is_empty() {
            self.outdated = self.list();
        }
        for shard in &shards {
            let number = self.nodes[*shard].number + if anew { 0 } else { SUCCESSOR };
            self.nodes[*shard] = Node { number, started: now, busy_until: now };
        }
        if !shards.is_empty() {
            for process in 0..self.processes.len() {
                if self.processes[process].alive {
                    self.tell_later(now, process);
                }
            }
        }
        let list = if matches!(change, Change::Kill(_)) { self.list() } else { self.outdated.clone() };
        for host in hosts_of(&change) {
            match change {
                Change::Restart(_) => {
                    if let Some(process) = self.hosts[host as usize].take() {
                        self.at(now + DRAIN_MS, What::End { process });
                    }
                }
                _ => self.kill(host),
            }
            if !matches!(change, Change::Leave(_)) {
                self.start_process(now, host, list.clone());
            }
            if let (false, Some(process)) = (matches!(change, Change::Kill(_)), self.hosts[host as usize]) {
                self.tell_later(now, process);
            }
        }
    }

    fn ask(&mut self, now: f64) {
        self.ask_again(now);
        self.next_id += 1;
        let mut drawn = self.draw();
        let fits = |k: &Kind| {
            drawn -= k.part;
            drawn < 0.0
        };
        let class = self.of.kinds.iter().position(fits).unwrap_or(0);
        let shard = self.draw_shard(now);
        let Some(process) = self.draw_host(shard) else { return };
        let started = self.nodes[shard].started;
        let cold = started > 0.0 && now - started < self.of.warm_after_ms;
        self.played.all[class].asked += 1.0;
        self.played.cold[class].asked += f64::from(u8::from(cold));
        self.open.insert(self.next_id, Open { process, at: now, class, cold, attempts: 0, answers: 0 });
        let request = Request {
            class: class as u16,
            units: self.of.kinds[class].units,
            shard: Some(shard as u16),
            volume: process as u64,
            volume_hosts: 1.0,
            ..request(self.next_id, now + PATIENCE_MS)
        };
        self.give(now, process, Event::Request(request));
    }
}

fn hosts_of(change: &Change) -> Vec<u32> {
    match change {
        Change::Replace(_) | Change::StartAnew(_) => Vec::new(),
        Change::Kill(hosts) | Change::Restart(hosts) | Change::Leave(hosts) | Change::Join(hosts) => {
            hosts.clone()
        }
    }
}
