//! A play: hosts as real processes, nodes, discovery and clients around them, and the rules over what passed.

pub mod client;
pub mod node;
pub mod scenario;

use crate::service_harness::fake_discovery::{Agent, Manner as Telling};
use crate::service_harness::idle_clients::Crowd;
use crate::service_harness::shims::Shims;
use crate::service_harness::{config, free, line, ready_after, whole_list, Program};
use client::{Asked, End, Manner};
use node::{Attempt, Attempts, Node};
use rustix::process::Signal;
use scenario::{Plan, Signals};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nodes that stand; those that are listed beyond them are names for the same.
const NODES: usize = 6;
/// Shards of the settings that are asked for; the first nodes hold two where no more are listed.
const FEW_SHARDS: u64 = 2;
const MANY_SHARDS: u64 = 20;
/// The platform ends a host so long after SIGTERM: the longest deadline, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(1_900);
/// Every limit of the rules on sockets is this much longer.
const SLACK: Duration = Duration::from_millis(50);
const AFTER_LEAVING: Duration = Duration::from_millis(100);
const TOLD_SLACK_MS: u64 = 150;
const LATE_ANSWER: Duration = Duration::from_millis(500);
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// The window within which a keyed request may be repeated.
const REPEAT_WINDOW: Duration = Duration::from_millis(1_200);
/// Units that a cold node bears in two seconds by the settings: for nodes that do 200 units a second warm, which is over
/// what any play asks of one, 4 times 0.17 of that.
const COLD_UNITS: f64 = 272.0;
/// Units that a node may be sent in its first two seconds: N = 272 units as requests of 1.99 units in the mean, N + 2 root
/// of N + 2, in units.
const SLOW_START_UNITS: usize = 322;
const MEMORY_LIMIT_KB: usize = 48 * 1_024;
/// The restarted node's moments, counted from the beginning of the play.
const SIGNALS_AT: Duration = Duration::from_millis(900);
const DRAINS_AT: Duration = Duration::from_millis(700);
const RESTARTS_AT: Duration = Duration::from_millis(3_400);

/// What a play came to.
#[derive(Default)]
pub struct Report {
    ends: BTreeMap<String, usize>,
    attempts: usize,
    peak_kb: usize,
    pub broken: Vec<String>,
}

impl Report {
    pub fn line(&self, plan: &Plan) -> String {
        let failures: Vec<String> = plan
            .failures
            .iter()
            .map(|f| format!("{} {:?} {}", f.call, f.errno.raw_os_error(), f.per_mille))
            .collect();
        format!(
            "seed {} listed {} clients {} crowd {} faults {} leaves {} {:?} clock {} {failures:?} restart {}: {:?}, {} attempts, \
             {} KB, {} broken",
            plan.seed, plan.listed, plan.clients, plan.crowd, plan.node_faults, plan.leaves, plan.signals,
            plan.clock_ahead_seconds, plan.is_node_restarted, self.ends, self.attempts, self.peak_kb,
            self.broken.len()
        )
    }
}

struct World<'a> {
    plan: &'a Plan,
    began: Instant,
    nodes: Vec<Node>,
    attempts: Attempts,
    agent: Agent,
    other_agent: Agent,
    addresses: Vec<SocketAddr>,
    files: Vec<PathBuf>,
    shims: Shims,
}

fn wall_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

fn shards(plan: &Plan) -> u64 {
    if plan.listed > NODES {
        MANY_SHARDS
    } else {
        FEW_SHARDS
    }
}

/// The list, with the first node in a state.
fn list(plan: &Plan, nodes: &[Node], seq: u64, health: &str, born_ms: f64) -> String {
    let lines: Vec<String> = (0..plan.listed)
        .map(|i| {
            let block = (i as u64 % shards(plan)) as u16;
            let dial = nodes[i % NODES].address;
            match i {
                0 => line("s-0", dial, block, health)
                    .replace("\"born_ms\":0", &format!("\"born_ms\":{born_ms}")),
                _ => line(&format!("s-{i}"), dial, block, "SERVING"),
            }
        })
        .collect();
    whole_list(seq, &lines)
}

impl World<'_> {
    fn start_host(&self, host: usize) -> Program {
        let seed = self.plan.seed * 16 + host as u64;
        self.shims.start(&self.files[host], self.plan.clock_ahead_seconds, seed, &self.plan.failures)
    }

    fn tells(&mut self, seq: u64, health: &str, born_ms: f64) {
        let list = list(self.plan, &self.nodes, seq, health, born_ms);
        for agent in [&mut self.agent, &mut self.other_agent] {
            agent.becomes(Telling::Answers(Duration::ZERO, seq, list.clone()));
        }
    }

    fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.began.elapsed()));
    }

    /// The node drains, and starts anew.
    fn restart_node(&mut self) {
        self.sleep_until(DRAINS_AT);
        self.tells(2, "DRAINING", 0.0);
        self.sleep_until(RESTARTS_AT);
        *self.nodes[0].started.lock().unwrap() = Some(Instant::now());
        self.tells(3, "SERVING", wall_ms());
    }

    /// What happens to the first host.
    fn signal(&self, program: &mut Program, broken: &mut Vec<String>) {
        self.sleep_until(SIGNALS_AT);
        match self.plan.signals {
            Signals::None => {}
            Signals::Reloads => {
                self.reload(program, self.agent.address);
                self.reload(program, self.agent.address);
                self.reload(program, self.other_agent.address);
            }
            Signals::ReloadAndRestart => {
                self.reload(program, self.other_agent.address);
                self.restart(program, false, broken);
            }
            Signals::Restart => self.restart(program, false, broken),
            Signals::RestartTwiceTold => self.restart(program, true, broken),
        }
    }

    fn reload(&self, program: &Program, discovery: SocketAddr) {
        let text = std::fs::read_to_string(&self.files[0]).unwrap();
        let mut settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        settings["discovery"] = discovery.to_string().into();
        std::fs::write(&self.files[0], settings.to_string()).unwrap();
        program.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(40));
    }

    fn restart(&self, program: &mut Program, is_told_twice: bool, broken: &mut Vec<String>) {
        let told = Instant::now();
        program.signal(Signal::TERM);
        if is_told_twice {
            std::thread::sleep(Duration::from_millis(100));
            program.signal(Signal::TERM);
        }
        std::thread::sleep(KILL_AFTER.saturating_sub(told.elapsed()));
        match program.has_ended() {
            Some(Some(0)) => {}
            Some(code) => broken.push(format!("the host that left ended with {code:?}")),
            None => broken.push("the host that left had to be killed".to_owned()),
        }
        if program.has_said("panicked") {
            broken.push("a thread panicked".to_owned());
        }
        *program = self.start_host(0);
    }
}

/// Plays a plan.
pub fn play(plan: &Plan) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let attempts = Attempts::default();
    let nodes: Vec<Node> =
        (0..NODES).map(|n| Node::start(n, plan.seed, plan.node_faults, attempts.clone())).collect();
    let telling = || Telling::Answers(Duration::ZERO, 1, list(plan, &nodes, 1, "SERVING", 0.0));
    let (agent, other_agent) = (Agent::start(telling()), Agent::start(telling()));
    let addresses: Vec<SocketAddr> = (0..plan.hosts).map(|_| free()).collect();
    let known = list(plan, &nodes, 0, "SERVING", 0.0);
    let files: Vec<PathBuf> = (0..plan.hosts).map(|h| folder.path().join(format!("{h}.json"))).collect();
    for (address, file) in addresses.iter().zip(&files) {
        let mut settings = config(*address, agent.address, &known, plan.hosts as u32);
        settings["settings"]["Domain"]["SlotsTotal"] = MANY_SHARDS.into();
        settings["settings"]["Domain"]["ColdUnits"] = COLD_UNITS.into();
        std::fs::write(file, settings.to_string()).unwrap();
    }
    let shims = Shims::build();
    let mut world =
        World { plan, began: Instant::now(), nodes, attempts, agent, other_agent, addresses, files, shims };
    let mut programs: Vec<Program> = (0..plan.hosts).map(|h| world.start_host(h)).collect();
    for address in &world.addresses {
        ready_after(*address, Instant::now());
    }
    world.began = Instant::now();
    let crowd = (plan.crowd > 0).then(|| Crowd::start(world.addresses[0], plan.crowd));
    let until = world.began + plan.lasts;
    let clients: Vec<_> = (0..plan.clients)
        .map(|number| {
            let host = number % plan.hosts;
            let manner = Manner {
                seed: plan.seed,
                number: number as u64,
                address: world.addresses[host],
                shards: shards(plan),
                leaves: plan.leaves,
                until,
            };
            std::thread::spawn(move || client::run(manner))
        })
        .collect();
    let mut report = Report::default();
    let mut first = programs.remove(0);
    std::thread::scope(|scope| {
        let (world, broken, first) = (&mut world, &mut report.broken, &mut first);
        if plan.is_node_restarted && plan.signals == Signals::None {
            world.restart_node();
        } else {
            let world: &World<'_> = world;
            scope.spawn(move || world.signal(first, broken));
        }
    });
    let asked: Vec<Asked> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    drop(crowd);
    programs.push(first);
    for program in &mut programs {
        if let Some(code) = program.has_ended() {
            report.broken.push(format!("a host ended with {code:?}"));
        }
        if program.has_said("panicked") {
            report.broken.push("a thread panicked".to_owned());
        }
        if plan.failures.is_empty() {
            report.peak_kb = report.peak_kb.max(program.peak_memory_kb());
        }
    }
    let attempts = world.attempts.lock().unwrap().clone();
    check(&world, &asked, &attempts, &mut report);
    report
}

fn check(world: &World<'_>, asked: &[Asked], attempts: &[Attempt], report: &mut Report) {
    report.attempts = attempts.len();
    if report.peak_kb > MEMORY_LIMIT_KB {
        report.broken.push(format!("{} KB of memory", report.peak_kb));
    }
    if !asked.iter().any(|a| a.end == End::Served) {
        report.broken.push("nothing was served".to_owned());
    }
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    attempts.iter().for_each(|a| by_id.entry(a.id).or_default().push(a));
    for one in asked {
        *report.ends.entry(format!("{:?}", one.end)).or_default() += 1;
        let of_it = by_id.remove(&one.id).unwrap_or_default();
        let broken = check_answer(world.plan, one).into_iter().chain(check_attempts(one, &of_it));
        report.broken.extend(broken.map(|b| format!("{b}: {one:?}, attempts {of_it:?}")));
    }
    if !by_id.is_empty() {
        report.broken.push(format!("sent what no client sent: {by_id:?}"));
    }
    if world.plan.is_node_restarted && world.plan.signals == Signals::None && world.plan.listed == NODES {
        check_restarted_node(world, attempts, report);
    }
}

fn check_answer(plan: &Plan, one: &Asked) -> Option<&'static str> {
    let is_late = one.ended_at > one.sent_at + Duration::from_millis(one.wait_ms) + LATE_ANSWER + SLACK;
    match one.end {
        End::Wrong => Some("a wrong answer"),
        End::Unanswered => Some("no answer"),
        // Where idle clients fill the descriptors, new connections may be shut unread.
        End::Reset | End::ClosedTwice if plan.crowd == 0 || !one.is_first => {
            Some("a connection ended under it")
        }
        End::Served | End::Refused | End::Failed if is_late => Some("a late answer"),
        _ => None,
    }
}

fn check_attempts(one: &Asked, attempts: &[&Attempt]) -> Vec<&'static str> {
    let mut broken = Vec::new();
    let over_at = if one.end == End::Left { one.ended_at + AFTER_LEAVING } else { one.ended_at };
    let first_at = attempts.iter().map(|a| a.at).min();
    for attempt in attempts {
        if attempt.at > over_at + SLACK {
            broken.push("an attempt after its end");
        }
        let passed_ms = (attempt.at - one.sent_at).as_millis() as u64;
        let left_ms = one.wait_ms.saturating_sub(passed_ms);
        if attempt.told_ms > left_ms + TOLD_SLACK_MS + SLACK.as_millis() as u64 {
            broken.push("told more time than is left");
        }
        if attempt.is_write && first_at.is_some_and(|first| attempt.at > first + REPEAT_WINDOW + SLACK) {
            broken.push("repeated outside its window");
        }
        if one.crossed_at.is_some_and(|closed| attempt.at < closed) {
            broken.push("sent on, and its connection closed unanswered");
        }
    }
    broken
}

fn check_restarted_node(world: &World<'_>, attempts: &[Attempt], report: &mut Report) {
    let (drained, restarted) = (world.began + DRAINS_AT + DRAIN_GRACE + SLACK, world.began + RESTARTS_AT);
    let at_node = || attempts.iter().filter(|a| a.node == 0);
    let drain = at_node().filter(|a| a.at > drained && a.at < restarted).count();
    if drain > 0 {
        report.broken.push(format!("{drain} attempts at a node that drains"));
    }
    let cold = at_node().filter(|a| a.at >= restarted && a.at < restarted + Duration::from_secs(2)).count();
    if cold > SLOW_START_UNITS {
        report.broken.push(format!("{cold} units to a node that started, {SLOW_START_UNITS} at most"));
    }
}
