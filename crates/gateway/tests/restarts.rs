//! Thirty processes started at once, killed and started again, while discovery does not answer, answers late
//! or resets; and processes that are ended before they are ready.

mod service_harness;

use rustix::process::Signal;
use service_harness::fake_discovery::{DiscoveryBehavior, FakeDiscovery};
use service_harness::{
    config, connect, expect_reply, get_command, list_with_one_live_node, read_reply, send_get,
    start_recording_node, unused_address, wait_until, GatewayProcess, ReceivedCommands, SERVED_REPLY,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Processes that start at once.
const PROCESSES: usize = 30;
/// Processes that have to be ready within [`READY_TIMEOUT`].
const LEAST_READY: usize = 27;
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Nodes in each configuration's list.
const LISTED_NODES: usize = 560;
/// Delay of a late response of discovery.
const LATE_RESPONSE: Duration = Duration::from_secs(2);
/// Longest time from a signal to the process's exit. With the longest deadline of these settings the platform
/// kills a process 1.9 s after SIGTERM at the earliest; 3 s more allow for a busy machine.
const EXIT_TIMEOUT: Duration = Duration::from_millis(1_900 + 3_000);
/// Threads and memory that the platform's settings allow a process.
const MOST_THREADS: usize = 9;
const MOST_MEMORY_KB: usize = 32 * 1024;
/// Addresses at which processes are ended early at the same time.
const EARLY_END_ADDRESSES: usize = 4;
/// Processes that are ended early at each address.
const EARLY_ENDS: u64 = 5;
/// Latest time after its start at which a process is ended.
const EARLY_MS: u64 = 300;
/// Latest time at which every other process is ended: about as long as the program's start takes.
const VERY_EARLY_MS: u64 = 30;

/// The address and the configuration file of a host, which its successive processes share.
struct HostConfig {
    listen: SocketAddr,
    file: PathBuf,
}

fn host_configs(
    folder: &tempfile::TempDir,
    discovery: &FakeDiscovery,
    known: &str,
    count: usize,
) -> Vec<HostConfig> {
    let host_config = |i: usize| {
        let (listen, file) = (unused_address(), folder.path().join(format!("{i}.json")));
        std::fs::write(&file, config(listen, discovery.address, known, 1).to_string()).unwrap();
        HostConfig { listen, file }
    };
    (0..count).map(host_config).collect()
}

/// A process that has answered its first client.
struct StartedHost {
    /// Time from the start until the reply to PING.
    ready_after: Duration,
    /// The reply to the request that the client sends right after PING.
    reply: String,
    program: GatewayProcess,
}

/// Starts a process. Its client tries to connect from before the start, and sends PING and a request at once.
fn start(config: &HostConfig, id: u64) -> StartedHost {
    let (listen, began) = (config.listen, Instant::now());
    let client = std::thread::spawn(move || {
        let mut stream = connect(listen);
        stream.write_all(&[b"*1\r\n$4\r\nPING\r\n".to_vec(), get_command(id)].concat()).unwrap();
        expect_reply(&mut stream, "+PONG\r\n");
        (began.elapsed(), read_reply(&mut stream))
    });
    let program = GatewayProcess::start(&config.file);
    let (ready_after, reply) = client.join().expect("the client gets its replies");
    StartedHost { ready_after, reply, program }
}

/// Starts a process of each configuration, all at once.
fn start_all(configs: &[HostConfig], first_id: u64) -> Vec<StartedHost> {
    std::thread::scope(|scope| {
        let starting: Vec<_> =
            (first_id..).zip(configs).map(|(id, config)| scope.spawn(move || start(config, id))).collect();
        starting.into_iter().map(|s| s.join().expect("the process starts")).collect()
    })
}

/// Asserts that nine in ten processes are ready in time and that each serves its request with its configured
/// list.
fn assert_all_serve(scenario: &str, hosts: &[StartedHost], received: &ReceivedCommands, first_id: u64) {
    let in_time = hosts.iter().filter(|h| h.ready_after < READY_TIMEOUT).count();
    let slowest = hosts.iter().map(|h| h.ready_after).max().unwrap();
    let threads = hosts.iter().map(|h| h.program.thread_and_descriptor_counts().0).max().unwrap();
    let memory = hosts.iter().map(|h| h.program.resident_kb()).max().unwrap();
    println!(
        "{scenario}: {in_time} of {} ready in time, the slowest after {slowest:?}; at most {threads} threads, \
         {memory} kB",
        hosts.len()
    );
    assert!(in_time >= LEAST_READY, "{in_time} ready in time, the slowest after {slowest:?}");
    for host in hosts {
        assert_eq!(host.reply, SERVED_REPLY);
        assert!(!host.program.has_logged("panicked"));
    }
    assert!((1..=MOST_THREADS).contains(&threads), "{threads} threads");
    assert!((1..=MOST_MEMORY_KB).contains(&memory), "{memory} kB");
    let mut ids: Vec<u64> =
        received.lock().unwrap().iter().map(service_harness::ReceivedCommand::id).collect();
    ids.retain(|id| *id >= first_id);
    ids.sort_unstable();
    let expected: Vec<u64> = (first_id..).take(hosts.len()).collect();
    assert_eq!(ids, expected, "each request reaches the configured node once");
}

/// Held by a test that runs thirty processes: three such tests at once would be three times the intended
/// load.
static RUN_LOCK: Mutex<()> = Mutex::new(());

fn start_thirty_twice(scenario: &str, behavior: fn(String) -> DiscoveryBehavior) {
    let _lock = RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let (node, received) = start_recording_node(Duration::ZERO);
    let known = list_with_one_live_node(5, node, "a", LISTED_NODES - 1);
    let discovery = FakeDiscovery::start(behavior(known.clone()));
    let configs = host_configs(&folder, &discovery, &known, PROCESSES);
    let first = start_all(&configs, 1);
    assert_all_serve(scenario, &first, &received, 1);
    // All are killed at once, and started again at once, with clients that connect again.
    first.iter().for_each(|h| h.program.signal(Signal::KILL));
    drop(first);
    let second = start_all(&configs, 1_001);
    assert_all_serve(&format!("{scenario}, restarted"), &second, &received, 1_001);
}

#[test]
fn thirty_processes_are_ready_in_time_while_discovery_hangs() {
    start_thirty_twice("no response", |_| DiscoveryBehavior::NoResponse);
}

#[test]
fn thirty_processes_are_ready_in_time_while_discovery_is_late() {
    start_thirty_twice("late responses", |known| DiscoveryBehavior::Responds(LATE_RESPONSE, 5, known));
}

#[test]
fn thirty_processes_are_ready_in_time_while_discovery_resets_connections() {
    start_thirty_twice("resets", |_| DiscoveryBehavior::Resets);
}

/// A linear congruential generator, so that each run draws the same numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Guards against a process that does not exit on SIGTERM during its start, or whose address the next process
/// cannot bind.
#[test]
fn a_process_ended_before_it_is_ready_exits_and_leaves_its_address_unused() {
    let folder = tempfile::tempdir().unwrap();
    let (node, _) = start_recording_node(Duration::ZERO);
    let discovery = FakeDiscovery::start(DiscoveryBehavior::NoResponse);
    let configs = host_configs(
        &folder,
        &discovery,
        &list_with_one_live_node(5, node, "a", LISTED_NODES - 1),
        EARLY_END_ADDRESSES,
    );
    std::thread::scope(|scope| {
        for (number, config) in (1..).zip(&configs) {
            scope.spawn(move || (0..EARLY_ENDS).for_each(|round| end_early(config, number, round)));
        }
    });
}

/// Starts a process, ends it early, and starts the next one at the same address.
fn end_early(config: &HostConfig, number: u64, round: u64) {
    let mut random = Random(number * EARLY_ENDS + round);
    let bound = if round.is_multiple_of(2) { VERY_EARLY_MS } else { EARLY_MS };
    let after = Duration::from_millis(random.below(bound));
    let signal = if random.below(2) == 0 { Signal::TERM } else { Signal::KILL };
    let mut early = GatewayProcess::start(&config.file);
    std::thread::sleep(after);
    early.signal(signal);
    let signalled = Instant::now();
    let status = early.wait_for_exit();
    assert!(signalled.elapsed() < EXIT_TIMEOUT, "{:?}", signalled.elapsed());
    println!("{signal:?} after {after:?}: {status}");
    assert!(
        status.success() || status.signal() == Some(signal.as_raw()),
        "{signal:?} after {after:?}: {status}"
    );
    assert!(!early.has_logged("panicked"));
    let next = start(config, number * 100 + round);
    assert!(next.ready_after < READY_TIMEOUT, "{:?}", next.ready_after);
    assert_eq!(next.reply, SERVED_REPLY);
}

/// Guards against a listener without `SO_REUSEADDR`: connections that the killed process closed first stay in
/// TIME_WAIT for a minute, and the next process could not bind its address.
#[test]
fn a_process_binds_its_address_while_connections_of_the_last_one_are_in_time_wait() {
    let folder = tempfile::tempdir().unwrap();
    let (node, _) = start_recording_node(Duration::ZERO);
    let discovery = FakeDiscovery::start(DiscoveryBehavior::NoResponse);
    let config = &host_configs(&folder, &discovery, &list_with_one_live_node(5, node, "a", 3), 1)[0];
    let mut first = start(config, 1);
    // The program closes idle connections, and their clients only after it: TIME_WAIT is on the program's
    // side.
    let mut idle: Vec<TcpStream> = (0..8).map(|_| connect(config.listen)).collect();
    for stream in &mut idle {
        assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0, "an orderly close");
    }
    drop(idle);
    wait_until("a connection of the address is in TIME_WAIT", || has_time_wait(config.listen));
    let mut open = connect(config.listen);
    send_get(&mut open, 2);
    assert_eq!(read_reply(&mut open), SERVED_REPLY);
    first.program.signal(Signal::KILL);
    assert_eq!(first.program.wait_for_exit().signal(), Some(Signal::KILL.as_raw()));
    assert!(has_time_wait(config.listen));
    let next = start(config, 3);
    assert_eq!(next.reply, SERVED_REPLY);
}

/// Whether a connection with this local address is in TIME_WAIT.
fn has_time_wait(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else { return false };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|columns| columns.get(1) == Some(&&*local) && columns[3] == "06")
}
