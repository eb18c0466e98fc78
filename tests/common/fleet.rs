//! A simulation of a fleet: real schedulers in front of modelled nodes.
//!
//! The nodes share no code with the scheduler: each is a queue that is processed at the speed of a node of
//! its age. Every attempt that reaches a restarted node is logged, so that tests can check it.

use super::{class, outcome, plan, request};
use pearfork::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The node numbers of a shard's successive nodes differ by this.
const SUCCESSOR_OFFSET: u32 = 10_000;
/// How long a client waits for its final answer.
const CLIENT_DEADLINE_MS: f64 = 1_000.0;
/// How long a process that shuts down continues with its requests.
const SHUTDOWN_MS: f64 = 1_000.0;
/// A connection to a node that was replaced fails after this time.
const CONNECT_FAILED_MS: f64 = 1.0;
/// How often a host is drawn for a request before the request is dropped because the hosts are down.
const MAX_HOST_DRAWS: usize = 64;

/// The requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub units: f64,
    /// Fraction of all requests.
    pub fraction: f64,
}

/// How many requests there are, and through which hosts they come.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Load as a fraction of what the warm nodes can do.
    pub load: f64,
    /// Begin, end and factor of a time in which the load is multiplied.
    pub burst: (f64, f64, f64),
    /// Relative traffic of each host.
    pub weights: Vec<f64>,
    /// At these times the weights move on to other hosts, by a third of the fleet.
    pub shifts_ms: Vec<f64>,
    /// Shards that only these hosts use.
    pub restricted_shards: BTreeMap<usize, Vec<u32>>,
    /// Shards with this multiple of the usual load, from a time on.
    pub load_factors: BTreeMap<usize, f64>,
    pub load_factors_from_ms: f64,
}

/// What happens to nodes and hosts.
#[derive(Clone, Debug)]
pub enum Change {
    /// New nodes replace those of these shards.
    ReplaceNodes(Vec<usize>),
    /// The nodes of these shards restart under their names.
    RestartNodes(Vec<usize>),
    /// These hosts are killed; each restarts at once with the current node list.
    KillHosts(Vec<u32>),
    /// These hosts shut down and finish their requests, while a new process takes over with an outdated list.
    RestartHosts(Vec<u32>),
    /// These hosts are killed and do not restart by themselves.
    RemoveHosts(Vec<u32>),
    /// These hosts start, with an outdated list.
    AddHosts(Vec<u32>),
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub hosts: u32,
    pub nodes: u32,
    /// Units per second that a warm node serves.
    pub units_per_second: f64,
    pub request_kinds: Vec<RequestKind>,
    pub traffic: Traffic,
    pub cold_from: f64,
    pub overload_multiple: f64,
    pub window_ms: f64,
    pub warm_after_ms: f64,
    pub length_ms: f64,
    /// Each host is notified of a start at a random time within this.
    pub notified_within_ms: f64,
    pub changes: Vec<(f64, Change)>,
    pub seed: u64,
}

impl Fleet {
    pub fn mean_units(&self) -> f64 {
        self.request_kinds.iter().map(|k| k.units * k.fraction).sum()
    }

    pub fn settings(&self) -> Settings {
        let classes =
            self.request_kinds.iter().map(|_| Class { aim_ms: 400.0, ..class(Effect::Safe, Group::All) });
        Settings {
            hosts: self.hosts,
            classes: classes.collect(),
            plans: vec![Plan { nominal: 1e6, ..plan() }],
            cold_from: self.cold_from,
            warm_after_ms: self.warm_after_ms,
            fall_multiple: self.overload_multiple,
            fall_ms: self.window_ms,
            cold_units: self.overload_multiple * self.cold_from * self.units_per_second * self.window_ms
                / 1_000.0,
            mean_units: self.mean_units(),
            max_units: self.request_kinds.iter().map(|k| k.units).fold(0.0, f64::max),
            ..super::settings()
        }
    }

    /// Returns the fraction of its capacity that a node of this age has.
    pub fn capacity_ratio(&self, age_ms: f64) -> f64 {
        self.cold_from + (1.0 - self.cold_from) * (age_ms / self.warm_after_ms).clamp(0.0, 1.0)
    }

    pub fn run(self) -> RunResult {
        Run::new(self).run()
    }
}

#[derive(Default, Debug, Clone, Copy)]
pub struct RequestCount {
    pub requested: f64,
    pub served: f64,
}

/// One attempt that reached a node which started during the run.
#[derive(Debug, Clone, Copy)]
pub struct SentAttempt {
    pub shard: usize,
    pub started_ms: f64,
    pub at_ms: f64,
    pub units: f64,
    /// Whether the sending process had been notified of the start.
    pub knew_start: bool,
}

/// The result of a run; counts are by class.
#[derive(Default, Debug)]
pub struct RunResult {
    /// Requests for shards whose nodes were cold.
    pub cold: Vec<RequestCount>,
    pub all: Vec<RequestCount>,
    /// In order of time.
    pub sent: Vec<SentAttempt>,
    pub unanswered: usize,
    pub answered_twice: usize,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Arrival,
    ShiftTraffic,
    Timer { process: usize, label: u64 },
    Response { process: usize, id: u32, attempt: u16, node: u32, took_us: u64, served: bool },
    Notify { process: usize },
    EndProcess { process: usize },
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
    /// When the node of each shard started, by the last list that this process got.
    known_starts_ms: Vec<f64>,
}

struct OpenRequest {
    process: usize,
    at: f64,
    class: usize,
    cold: bool,
    attempts: u16,
    final_answers: usize,
}

struct Run {
    fleet: Fleet,
    settings: Settings,
    processes: Vec<Process>,
    /// The running process of each host.
    hosts: Vec<Option<usize>>,
    nodes: Vec<Node>,
    /// The node list before the latest change.
    outdated_list: Vec<NodeEntry>,
    cumulative_weights: Vec<f64>,
    hosts_shifted: usize,
    queue: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    number: u64,
    next_id: u32,
    random: u64,
    open: BTreeMap<u32, OpenRequest>,
    result: RunResult,
}

impl Run {
    fn new(fleet: Fleet) -> Run {
        let node = |shard| Node { number: shard, started: 0.0, busy_until: 0.0 };
        let none = vec![RequestCount::default(); fleet.request_kinds.len()];
        let mut run = Run {
            settings: fleet.settings(),
            processes: Vec::new(),
            hosts: vec![None; fleet.hosts as usize],
            nodes: (0..fleet.nodes).map(node).collect(),
            outdated_list: Vec::new(),
            cumulative_weights: Vec::new(),
            hosts_shifted: 0,
            queue: BinaryHeap::new(),
            number: 0,
            next_id: 0,
            random: fleet.seed,
            open: BTreeMap::new(),
            result: RunResult { cold: none.clone(), all: none, ..RunResult::default() },
            fleet,
        };
        run.outdated_list = run.list();
        run.compute_weights();
        let late = |c: &&(f64, Change)| matches!(c.1, Change::AddHosts(_));
        let joins: Vec<u32> = run.fleet.changes.iter().filter(late).flat_map(|c| hosts_of(&c.1)).collect();
        for host in (0..run.fleet.hosts).filter(|h| !joins.contains(h)) {
            let list = run.list();
            run.start_process(0.0, host, list);
        }
        for i in 0..run.fleet.changes.len() {
            run.schedule(run.fleet.changes[i].0, SimEvent::Change(i));
        }
        for i in 0..run.fleet.traffic.shifts_ms.len() {
            run.schedule(run.fleet.traffic.shifts_ms[i], SimEvent::ShiftTraffic);
        }
        run.schedule_arrival(0.0);
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

    /// Schedules an event strictly after the stated time: a timer that expired early by a rounding error
    /// would be set again without end.
    fn schedule(&mut self, ms: f64, event: SimEvent) {
        self.number += 1;
        self.queue.push(Reverse(((ms * 1_000.0).floor() as u64 + 1, self.number, event)));
    }

    fn random_unit(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the load of a shard as a multiple of the usual.
    fn load_factor(&self, shard: usize, now: f64) -> f64 {
        let load_factors = self
            .fleet
            .traffic
            .load_factors
            .get(&shard)
            .filter(|_| now >= self.fleet.traffic.load_factors_from_ms);
        load_factors.copied().unwrap_or(1.0)
    }

    /// Returns the sum of these multiples over all shards.
    fn total_load_factor(&self, now: f64) -> f64 {
        (0..self.nodes.len()).map(|shard| self.load_factor(shard, now)).sum()
    }

    fn random_shard(&mut self, now: f64) -> usize {
        let mut left = self.random_unit() * self.total_load_factor(now);
        let drawn = (0..self.nodes.len()).find(|shard| {
            left -= self.load_factor(*shard, now);
            left < 0.0
        });
        drawn.unwrap_or(0)
    }

    fn schedule_arrival(&mut self, now: f64) {
        let traffic = &self.fleet.traffic;
        let (from, to, factor) = traffic.burst;
        let load = traffic.load * if (from..to).contains(&now) { factor } else { 1.0 };
        let rate = load * self.fleet.units_per_second * self.total_load_factor(now)
            / self.fleet.mean_units()
            / 1_000.0;
        let wait = -(1.0 - self.random_unit()).ln() / rate;
        self.schedule(now + wait, SimEvent::Arrival);
    }

    /// Computes the cumulative weights, moved on by as many hosts as the traffic was shifted.
    fn compute_weights(&mut self) {
        let weights = &self.fleet.traffic.weights;
        let mut sum = 0.0;
        let moved = (0..weights.len()).map(|i| weights[(i + self.hosts_shifted) % weights.len()]);
        self.cumulative_weights = moved
            .map(|weight| {
                sum += weight;
                sum
            })
            .collect();
    }

    /// Draws a running host that uses this shard, by its traffic.
    fn random_host(&mut self, shard: usize) -> Option<usize> {
        let restricted_shards = self.fleet.traffic.restricted_shards.get(&shard).cloned();
        for _ in 0..MAX_HOST_DRAWS {
            let drawn = self.random_unit();
            let host = match &restricted_shards {
                Some(users) => users[(drawn * users.len() as f64) as usize] as usize,
                None => {
                    let up_to = drawn * self.cumulative_weights.last().copied().unwrap_or(0.0);
                    self.cumulative_weights.partition_point(|w| *w <= up_to)
                }
            };
            if let Some(process) = self.hosts[host] {
                return Some(process);
            }
        }
        None
    }

    fn units_per_second(&self, shard: usize, now: f64) -> f64 {
        match self.nodes[shard].started {
            0.0 => self.fleet.units_per_second,
            started => self.fleet.units_per_second * self.fleet.capacity_ratio(now - started),
        }
    }

    fn start_process(&mut self, now: f64, host: u32, list: Vec<NodeEntry>) {
        let process = self.processes.len();
        let seed = self.fleet.seed.wrapping_mul(1_000_003) + 7_919 * process as u64;
        let scheduler = Scheduler::new(self.settings.clone(), seed).expect("valid settings");
        self.processes.push(Process { scheduler, alive: true, known_starts_ms: Vec::new() });
        self.hosts[host as usize] = Some(process);
        self.notify(now, process, ListKind::Cached, list);
    }

    fn notify(&mut self, now: f64, process: usize, kind: ListKind, list: Vec<NodeEntry>) {
        self.processes[process].known_starts_ms = list.iter().map(|e| e.started_ms).collect();
        self.handle_event(now, process, Event::NodeList(kind, list));
    }

    fn notify_later(&mut self, now: f64, process: usize) {
        if self.fleet.notified_within_ms > 0.0 {
            let late = self.random_unit() * self.fleet.notified_within_ms;
            self.schedule(now + late, SimEvent::Notify { process });
        } else {
            self.notify(now, process, ListKind::Full, self.list());
        }
    }

    /// Ends the process of a host at once. Its requests are lost with it, and these tests do not count them.
    fn kill(&mut self, host: u32) {
        if let Some(process) = self.hosts[host as usize].take() {
            self.processes[process].alive = false;
            self.open.retain(|_, o| o.process != process);
        }
    }

    fn handle_event(&mut self, now: f64, process: usize, event: Event) {
        if !self.processes[process].alive {
            return;
        }
        let mut actions = Vec::new();
        self.processes[process].scheduler.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { at_ms, label } => {
                    self.schedule(at_ms.max(now), SimEvent::Timer { process, label })
                }
                Action::Send { id, node, .. } => self.send(now, process, id, node),
                Action::Refuse { id, .. } | Action::Fail { id, .. } => self.count_final_answer(id),
                _ => {}
            }
        }
    }

    fn count_final_answer(&mut self, id: u32) {
        let open = self.open.get_mut(&id).expect("a final answer has its request");
        open.final_answers += 1;
        self.result.answered_twice += usize::from(open.final_answers > 1);
    }

    fn send(&mut self, now: f64, process: usize, id: u32, node_number: u32) {
        let shard = (node_number % SUCCESSOR_OFFSET) as usize;
        let open = self.open.get_mut(&id).expect("an attempt has its request");
        let (units, attempt) = (self.fleet.request_kinds[open.class].units, open.attempts);
        open.attempts += 1;
        let is_replaced = self.nodes[shard].number != node_number;
        let units_per_second = self.units_per_second(shard, now);
        let n = &mut self.nodes[shard];
        let done_at = if is_replaced {
            now + CONNECT_FAILED_MS
        } else {
            n.busy_until.max(now) + units / units_per_second * 1_000.0
        };
        if !is_replaced {
            n.busy_until = done_at;
        }
        if !is_replaced && n.started > 0.0 {
            let knew_start = self.processes[process].known_starts_ms[shard] >= n.started;
            self.result.sent.push(SentAttempt {
                shard,
                started_ms: n.started,
                at_ms: now,
                units,
                knew_start,
            });
        }
        let took_us = ((done_at - now) * 1_000.0) as u64;
        self.schedule(
            done_at,
            SimEvent::Response { process, id, attempt, node: node_number, took_us, served: !is_replaced },
        );
    }

    fn run(mut self) -> RunResult {
        while let Some(Reverse((us, _, event))) = self.queue.pop() {
            let now = us as f64 / 1_000.0;
            if now > self.fleet.length_ms {
                break;
            }
            match event {
                SimEvent::Arrival => self.arrive(now),
                SimEvent::ShiftTraffic => {
                    self.hosts_shifted += self.hosts.len() / 3 + 1;
                    self.compute_weights();
                }
                SimEvent::Timer { process, label } => self.handle_event(now, process, Event::Timer { label }),
                SimEvent::Response { process, id, attempt, node, took_us, served } => {
                    let ended = outcome(id, attempt, node, AttemptResult::ConnectFailed);
                    let ended = AttemptOutcome { elapsed_ms: took_us as f64 / 1_000.0, ..ended };
                    if self.processes[process].alive {
                        let ended = if served { self.serve(now, ended) } else { ended };
                        self.handle_event(now, process, Event::AttemptEnded(ended));
                    }
                }
                SimEvent::Notify { process } => self.notify(now, process, ListKind::Full, self.list()),
                SimEvent::EndProcess { process } => self.processes[process].alive = false,
                SimEvent::Change(i) => self.change(now, self.fleet.changes[i].1.clone()),
            }
        }
        let is_unanswered = |o: &&OpenRequest| {
            self.processes[o.process].alive
                && o.at + CLIENT_DEADLINE_MS < self.fleet.length_ms
                && o.final_answers == 0
        };
        self.result.unanswered = self.open.values().filter(is_unanswered).count();
        self.result
    }

    fn serve(&mut self, now: f64, ended: AttemptOutcome) -> AttemptOutcome {
        let open = self.open.get_mut(&ended.id).expect("a final answer has its request");
        if open.final_answers == 0 {
            open.final_answers = 1;
            self.result.all[open.class].served += 1.0;
            self.result.cold[open.class].served += f64::from(u8::from(open.cold));
        }
        let wait_ms = (self.nodes[(ended.node % SUCCESSOR_OFFSET) as usize].busy_until - now).max(0.0);
        let queue = Some((wait_ms / 1_000.0 * self.fleet.units_per_second / 2.0).floor());
        AttemptOutcome { queue, request_ended: true, result: AttemptResult::Served, ..ended }
    }

    fn change(&mut self, now: f64, change: Change) {
        let (shards, keeps_number) = match &change {
            Change::ReplaceNodes(shards) => (shards.clone(), false),
            Change::RestartNodes(shards) => (shards.clone(), true),
            _ => (Vec::new(), false),
        };
        if !shards.is_empty() {
            self.outdated_list = self.list();
        }
        for shard in &shards {
            let number = self.nodes[*shard].number + if keeps_number { 0 } else { SUCCESSOR_OFFSET };
            self.nodes[*shard] = Node { number, started: now, busy_until: now };
        }
        if !shards.is_empty() {
            for process in 0..self.processes.len() {
                if self.processes[process].alive {
                    self.notify_later(now, process);
                }
            }
        }
        let list =
            if matches!(change, Change::KillHosts(_)) { self.list() } else { self.outdated_list.clone() };
        for host in hosts_of(&change) {
            match change {
                Change::RestartHosts(_) => {
                    if let Some(process) = self.hosts[host as usize].take() {
                        self.schedule(now + SHUTDOWN_MS, SimEvent::EndProcess { process });
                    }
                }
                _ => self.kill(host),
            }
            if !matches!(change, Change::RemoveHosts(_)) {
                self.start_process(now, host, list.clone());
            }
            if let (false, Some(process)) =
                (matches!(change, Change::KillHosts(_)), self.hosts[host as usize])
            {
                self.notify_later(now, process);
            }
        }
    }

    fn arrive(&mut self, now: f64) {
        self.schedule_arrival(now);
        self.next_id += 1;
        let mut remaining = self.random_unit();
        let fits = |k: &RequestKind| {
            remaining -= k.fraction;
            remaining < 0.0
        };
        let class = self.fleet.request_kinds.iter().position(fits).unwrap_or(0);
        let shard = self.random_shard(now);
        let Some(process) = self.random_host(shard) else { return };
        let started = self.nodes[shard].started;
        let cold = started > 0.0 && now - started < self.fleet.warm_after_ms;
        self.result.all[class].requested += 1.0;
        self.result.cold[class].requested += f64::from(u8::from(cold));
        self.open.insert(
            self.next_id,
            OpenRequest { process, at: now, class, cold, attempts: 0, final_answers: 0 },
        );
        let request = Request {
            class: class as u16,
            units: self.fleet.request_kinds[class].units,
            shard: Some(shard as u16),
            volume: process as u64,
            volume_hosts: 1.0,
            ..request(self.next_id, now + CLIENT_DEADLINE_MS)
        };
        self.handle_event(now, process, Event::Request(request));
    }
}

fn hosts_of(change: &Change) -> Vec<u32> {
    match change {
        Change::ReplaceNodes(_) | Change::RestartNodes(_) => Vec::new(),
        Change::KillHosts(hosts)
        | Change::RestartHosts(hosts)
        | Change::RemoveHosts(hosts)
        | Change::AddHosts(hosts) => hosts.clone(),
    }
}
