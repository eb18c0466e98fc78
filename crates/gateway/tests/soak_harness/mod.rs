//! Runs a scenario with hosts as real processes and fake nodes, discovery and clients, and checks the rules
//! against the recorded requests and attempts.

pub mod client;
pub mod node;
pub mod scenario;

use crate::service_harness::fake_discovery::{DiscoveryBehavior, FakeDiscovery};
use crate::service_harness::idle_clients::IdleClients;
use crate::service_harness::shims::Shims;
use crate::service_harness::{
    config, full_list, node_line, unused_address, wait_until_ready, GatewayProcess,
};
use client::{ClientConfig, RequestEnd, SentRequest};
use node::{Attempt, Attempts, Node};
use rustix::process::Signal;
use scenario::{Scenario, Signals};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Fake nodes that run; further listed nodes are other names of the same addresses.
const NODES: usize = 6;
/// Shards that get requests with [`NODES`] nodes in the list.
const FEW_SHARDS: u64 = 2;
/// Shards that get requests with a longer list; all that the settings have.
const MANY_SHARDS: u64 = 20;
/// The platform kills a host this long after SIGTERM: the longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(1_900);
/// Tolerance of every time limit of the rules, for delays between the program and the sockets of the test.
const SLACK: Duration = Duration::from_millis(50);
/// Time within which attempts may still be sent after the client has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Tolerance of the time to the deadline that a node is sent.
const TIME_LEFT_SLACK_MS: u64 = 150;
/// Longest time from the deadline to the final answer.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time within which attempts may still be sent to a draining node.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);
/// Window within which a keyed request may be retried.
const RETRY_WINDOW: Duration = Duration::from_millis(1_200);
/// Units that a cold node can serve in two seconds, for the settings: 4 times 0.17 of the 200 units per
/// second that a warm node serves, which is more than any scenario sends to one.
const COLD_UNITS: f64 = 272.0;
/// Units that a node may be sent in its first two seconds: 272 units as N requests of 1.99 units on average;
/// N + 2 sqrt(N) + 2 requests, in units.
const SLOW_START_UNITS: usize = 322;
const MEMORY_LIMIT_KB: usize = 48 * 1_024;
/// When signals are sent to the first host, counted like the following times from the start of the run.
const SIGNALS_AT: Duration = Duration::from_millis(900);
/// When the first node drains, and when it restarts.
const DRAINS_AT: Duration = Duration::from_millis(700);
const RESTARTS_AT: Duration = Duration::from_millis(3_400);

/// The result of a run.
#[derive(Default)]
pub struct Report {
    request_ends: BTreeMap<String, usize>,
    attempts: usize,
    peak_kb: usize,
    pub violations: Vec<String>,
}

impl Report {
    pub fn summary(&self, scenario: &Scenario) -> String {
        let syscall_faults: Vec<String> = scenario
            .syscall_faults
            .iter()
            .map(|f| format!("{} {:?} {}", f.call, f.errno.raw_os_error(), f.per_mille))
            .collect();
        format!(
            "seed {} listed {} clients {} idle {} faults {} % disconnects {} % {:?} clock {} \
             {syscall_faults:?} restart {}: {:?}, {} attempts, {} KB, {} violations",
            scenario.seed,
            scenario.listed_nodes,
            scenario.clients,
            scenario.idle_clients,
            scenario.node_fault_percent,
            scenario.disconnect_percent,
            scenario.signals,
            scenario.clock_ahead_seconds,
            scenario.is_node_restarted,
            self.request_ends,
            self.attempts,
            self.peak_kb,
            self.violations.len()
        )
    }
}

struct TestEnv<'a> {
    scenario: &'a Scenario,
    began: Instant,
    nodes: Vec<Node>,
    attempts: Attempts,
    discovery: FakeDiscovery,
    other_discovery: FakeDiscovery,
    addresses: Vec<SocketAddr>,
    config_files: Vec<PathBuf>,
    shims: Shims,
}

fn wall_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

fn shards(scenario: &Scenario) -> u64 {
    if scenario.listed_nodes > NODES {
        MANY_SHARDS
    } else {
        FEW_SHARDS
    }
}

/// The full list; the first node has this health and start time.
fn list(scenario: &Scenario, nodes: &[Node], seq: u64, health: &str, born_ms: f64) -> String {
    let lines: Vec<String> = (0..scenario.listed_nodes)
        .map(|i| {
            let block = (i as u64 % shards(scenario)) as u16;
            let dial = nodes[i % NODES].address;
            match i {
                0 => node_line("s-0", dial, block, health)
                    .replace("\"born_ms\":0", &format!("\"born_ms\":{born_ms}")),
                _ => node_line(&format!("s-{i}"), dial, block, "SERVING"),
            }
        })
        .collect();
    full_list(seq, &lines)
}

impl TestEnv<'_> {
    fn start_host(&self, host: usize) -> GatewayProcess {
        let seed = self.scenario.seed * 16 + host as u64;
        self.shims.start(
            &self.config_files[host],
            self.scenario.clock_ahead_seconds,
            seed,
            &self.scenario.syscall_faults,
        )
    }

    fn publish_list(&mut self, seq: u64, health: &str, born_ms: f64) {
        let list = list(self.scenario, &self.nodes, seq, health, born_ms);
        for discovery in [&mut self.discovery, &mut self.other_discovery] {
            discovery.set_behavior(DiscoveryBehavior::Responds(Duration::ZERO, seq, list.clone()));
        }
    }

    fn sleep_until(&self, at: Duration) {
        std::thread::sleep(at.saturating_sub(self.began.elapsed()));
    }

    /// Drains and restarts the first node.
    fn restart_first_node(&mut self) {
        self.sleep_until(DRAINS_AT);
        self.publish_list(2, "DRAINING", 0.0);
        self.sleep_until(RESTARTS_AT);
        *self.nodes[0].started.lock().unwrap() = Some(Instant::now());
        self.publish_list(3, "SERVING", wall_ms());
    }

    /// Sends the scenario's signals to the first host.
    fn send_signals(&self, program: &mut GatewayProcess, violations: &mut Vec<String>) {
        self.sleep_until(SIGNALS_AT);
        match self.scenario.signals {
            Signals::None => {}
            Signals::Reloads => {
                self.reload(program, self.discovery.address);
                self.reload(program, self.discovery.address);
                self.reload(program, self.other_discovery.address);
            }
            Signals::ReloadAndRestart => {
                self.reload(program, self.other_discovery.address);
                self.restart(program, false, violations);
            }
            Signals::Restart => self.restart(program, false, violations),
            Signals::RestartAfterTwoSigterms => self.restart(program, true, violations),
        }
    }

    fn reload(&self, program: &GatewayProcess, discovery: SocketAddr) {
        let text = std::fs::read_to_string(&self.config_files[0]).unwrap();
        let mut config: serde_json::Value = serde_json::from_str(&text).unwrap();
        config["discovery"] = discovery.to_string().into();
        std::fs::write(&self.config_files[0], config.to_string()).unwrap();
        program.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(40));
    }

    fn restart(&self, program: &mut GatewayProcess, terminates_twice: bool, violations: &mut Vec<String>) {
        let signalled = Instant::now();
        program.signal(Signal::TERM);
        if terminates_twice {
            std::thread::sleep(Duration::from_millis(100));
            program.signal(Signal::TERM);
        }
        std::thread::sleep(KILL_AFTER.saturating_sub(signalled.elapsed()));
        match program.exit_code_if_exited() {
            Some(Some(0)) => {}
            Some(code) => violations.push(format!("a host ended with {code:?} after SIGTERM")),
            None => violations.push("a host had not ended when the platform would kill it".to_owned()),
        }
        if program.has_logged("panicked") {
            violations.push("a thread panicked".to_owned());
        }
        *program = self.start_host(0);
    }
}

/// Runs a scenario.
pub fn run(scenario: &Scenario) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let attempts = Attempts::default();
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| Node::start(n, scenario.seed, scenario.node_fault_percent, attempts.clone()))
        .collect();
    let first_list =
        || DiscoveryBehavior::Responds(Duration::ZERO, 1, list(scenario, &nodes, 1, "SERVING", 0.0));
    let (discovery, other_discovery) =
        (FakeDiscovery::start(first_list()), FakeDiscovery::start(first_list()));
    let addresses: Vec<SocketAddr> = (0..scenario.hosts).map(|_| unused_address()).collect();
    let known = list(scenario, &nodes, 0, "SERVING", 0.0);
    let config_files: Vec<PathBuf> =
        (0..scenario.hosts).map(|h| folder.path().join(format!("{h}.json"))).collect();
    for (address, file) in addresses.iter().zip(&config_files) {
        let mut host_config = config(*address, discovery.address, &known, scenario.hosts as u32);
        host_config["settings"]["Domain"]["SlotsTotal"] = MANY_SHARDS.into();
        host_config["settings"]["Domain"]["ColdUnits"] = COLD_UNITS.into();
        std::fs::write(file, host_config.to_string()).unwrap();
    }
    let shims = Shims::create();
    let mut env = TestEnv {
        scenario,
        began: Instant::now(),
        nodes,
        attempts,
        discovery,
        other_discovery,
        addresses,
        config_files,
        shims,
    };
    let mut programs: Vec<GatewayProcess> = (0..scenario.hosts).map(|h| env.start_host(h)).collect();
    for address in &env.addresses {
        wait_until_ready(*address, Instant::now());
    }
    env.began = Instant::now();
    let idle_clients =
        (scenario.idle_clients > 0).then(|| IdleClients::start(env.addresses[0], scenario.idle_clients));
    let until = env.began + scenario.duration;
    let clients: Vec<_> = (0..scenario.clients)
        .map(|number| {
            let host = number % scenario.hosts;
            let config = ClientConfig {
                seed: scenario.seed,
                number: number as u64,
                address: env.addresses[host],
                shards: shards(scenario),
                disconnect_percent: scenario.disconnect_percent,
                until,
            };
            std::thread::spawn(move || client::run(config))
        })
        .collect();
    let mut report = Report::default();
    let mut first_host = programs.remove(0);
    std::thread::scope(|scope| {
        let (env, violations, first_host) = (&mut env, &mut report.violations, &mut first_host);
        if scenario.is_node_restarted && scenario.signals == Signals::None {
            env.restart_first_node();
        } else {
            let env: &TestEnv<'_> = env;
            scope.spawn(move || env.send_signals(first_host, violations));
        }
    });
    let requests: Vec<SentRequest> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    drop(idle_clients);
    programs.push(first_host);
    for program in &mut programs {
        if let Some(code) = program.exit_code_if_exited() {
            report.violations.push(format!("a host ended with {code:?}"));
        }
        if program.has_logged("panicked") {
            report.violations.push("a thread panicked".to_owned());
        }
        if scenario.syscall_faults.is_empty() {
            report.peak_kb = report.peak_kb.max(program.peak_resident_kb());
        }
    }
    let attempts = env.attempts.lock().unwrap().clone();
    check(&env, &requests, &attempts, &mut report);
    report
}

fn check(env: &TestEnv<'_>, requests: &[SentRequest], attempts: &[Attempt], report: &mut Report) {
    report.attempts = attempts.len();
    if report.peak_kb > MEMORY_LIMIT_KB {
        report.violations.push(format!("{} KB of memory", report.peak_kb));
    }
    if !requests.iter().any(|r| r.end == RequestEnd::Served) {
        report.violations.push("no request was served".to_owned());
    }
    let mut by_id: HashMap<u64, Vec<&Attempt>> = HashMap::new();
    attempts.iter().for_each(|a| by_id.entry(a.id).or_default().push(a));
    for request in requests {
        *report.request_ends.entry(format!("{:?}", request.end)).or_default() += 1;
        let its_attempts = by_id.remove(&request.id).unwrap_or_default();
        let violations =
            check_answer(env.scenario, request).into_iter().chain(check_attempts(request, &its_attempts));
        report.violations.extend(violations.map(|v| format!("{v}: {request:?}, attempts {its_attempts:?}")));
    }
    if !by_id.is_empty() {
        report.violations.push(format!("attempts of requests that no client sent: {by_id:?}"));
    }
    if env.scenario.is_node_restarted
        && env.scenario.signals == Signals::None
        && env.scenario.listed_nodes == NODES
    {
        check_restarted_node(env, attempts, report);
    }
}

fn check_answer(scenario: &Scenario, request: &SentRequest) -> Option<&'static str> {
    let is_late = request.ended_at
        > request.sent_at + Duration::from_millis(request.deadline_ms) + ANSWER_GRACE + SLACK;
    match request.end {
        RequestEnd::Wrong => Some("a wrong answer"),
        RequestEnd::Unanswered => Some("no answer"),
        // When idle clients use up the descriptors, the program may close new connections without reading.
        RequestEnd::Reset | RequestEnd::ClosedTwice if scenario.idle_clients == 0 || !request.is_first => {
            Some("its connection ended before the reply")
        }
        RequestEnd::Served | RequestEnd::Refused | RequestEnd::Failed if is_late => Some("a late answer"),
        _ => None,
    }
}

fn check_attempts(request: &SentRequest, attempts: &[&Attempt]) -> Vec<&'static str> {
    let mut violations = Vec::new();
    let last_allowed = if request.end == RequestEnd::Disconnected {
        request.ended_at + DISCONNECT_GRACE
    } else {
        request.ended_at
    };
    let first_at = attempts.iter().map(|a| a.received_at).min();
    for attempt in attempts {
        if attempt.received_at > last_allowed + SLACK {
            violations.push("an attempt after the request's end");
        }
        let elapsed_ms = (attempt.received_at - request.sent_at).as_millis() as u64;
        let left_ms = request.deadline_ms.saturating_sub(elapsed_ms);
        if attempt.time_left_ms > left_ms + TIME_LEFT_SLACK_MS + SLACK.as_millis() as u64 {
            violations.push("an attempt with more time than is left");
        }
        if attempt.is_write
            && first_at.is_some_and(|first| attempt.received_at > first + RETRY_WINDOW + SLACK)
        {
            violations.push("a retry outside its window");
        }
        if request.closed_at.is_some_and(|closed| attempt.received_at < closed) {
            violations.push("an attempt of a request whose connection was closed without a reply");
        }
    }
    violations
}

fn check_restarted_node(env: &TestEnv<'_>, attempts: &[Attempt], report: &mut Report) {
    let (drained, restarted) = (env.began + DRAINS_AT + DRAIN_GRACE + SLACK, env.began + RESTARTS_AT);
    let at_node = || attempts.iter().filter(|a| a.node == 0);
    let while_draining = at_node().filter(|a| a.received_at > drained && a.received_at < restarted).count();
    if while_draining > 0 {
        report.violations.push(format!("{while_draining} attempts at a draining node"));
    }
    let cold = at_node()
        .filter(|a| a.received_at >= restarted && a.received_at < restarted + Duration::from_secs(2))
        .count();
    if cold > SLOW_START_UNITS {
        report
            .violations
            .push(format!("{cold} units to a restarted node, at most {SLOW_START_UNITS} allowed"));
    }
}
