//! Thirty processes of the program started at once, killed and started again, while discovery is no help; and processes that
//! are ended before they are ready.

mod service_harness;

use rustix::process::Signal;
use service_harness::fake_discovery::{Agent, Manner};
use service_harness::{
    answered, ask, config, connect, free, get, list, node_that_hears, reads, until, HeardAll, Program, SERVED,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Processes that start at once, and those of them that have to be ready in time.
const PROCESSES: usize = 30;
const IN_TIME: usize = 27;
const READY: Duration = Duration::from_secs(10);
/// Nodes in the list that each had.
const KNOWN: usize = 560;
/// How late discovery answers where it is late.
const LATE: Duration = Duration::from_secs(2);
/// The platform ends a process so long after the word at the soonest, with the longest deadline of these settings; a busy
/// machine may take longer over it.
const ENDS: Duration = Duration::from_millis(1_900 + 3_000);
/// What the platform's settings give a process: threads and memory.
const MOST_THREADS: usize = 9;
const MOST_MEMORY_KB: usize = 32 * 1024;
/// Processes are ended early at so many addresses side by side, and so often at each.
const SIDE_BY_SIDE: usize = 4;
const ENDED_EARLY: u64 = 5;
/// Up to how long after its start a process is ended, and how long the start itself takes.
const EARLY_MS: u64 = 300;
const VERY_EARLY_MS: u64 = 30;

/// One host's place: its address and its file, which stay over its processes.
struct Place {
    listen: SocketAddr,
    file: PathBuf,
}

fn places(folder: &tempfile::TempDir, agent: &Agent, known: &str, count: usize) -> Vec<Place> {
    let place = |i: usize| {
        let (listen, file) = (free(), folder.path().join(format!("{i}.json")));
        std::fs::write(&file, config(listen, agent.address, known, 1).to_string()).unwrap();
        Place { listen, file }
    };
    (0..count).map(place).collect()
}

/// What became of one process.
struct Start {
    ready: Duration,
    /// The answer to the request that went out behind the PING.
    answer: String,
    program: Program,
}

/// Starts a process with a client that is trying already, and that asks at once.
fn start(place: &Place, id: u64) -> Start {
    let (listen, began) = (place.listen, Instant::now());
    let client = std::thread::spawn(move || {
        let mut stream = connect(listen);
        stream.write_all(&[b"*1\r\n$4\r\nPING\r\n".to_vec(), get(id)].concat()).unwrap();
        reads(&mut stream, "+PONG\r\n");
        (began.elapsed(), answered(&mut stream))
    });
    let program = Program::start(&place.file);
    let (ready, answer) = client.join().expect("its client is answered");
    Start { ready, answer, program }
}

/// All at once.
fn start_all(places: &[Place], first_id: u64) -> Vec<Start> {
    std::thread::scope(|scope| {
        let starting: Vec<_> =
            (first_id..).zip(places).map(|(id, place)| scope.spawn(move || start(place, id))).collect();
        starting.into_iter().map(|s| s.join().expect("it starts")).collect()
    })
}

/// Nine in ten are ready in time, and each serves by the list that it had.
fn all_are_well(what: &str, starts: &[Start], heard: &HeardAll, first_id: u64) {
    let in_time = starts.iter().filter(|s| s.ready < READY).count();
    let slowest = starts.iter().map(|s| s.ready).max().unwrap();
    let threads = starts.iter().map(|s| s.program.threads_and_descriptors().0).max().unwrap();
    let memory = starts.iter().map(|s| s.program.memory_kb()).max().unwrap();
    println!("{what}: {in_time} of {} ready in time, the slowest after {slowest:?}; at most {threads} threads, {memory} kB", starts.len());
    assert!(in_time >= IN_TIME, "{in_time}, the slowest after {slowest:?}");
    for start in starts {
        assert_eq!(start.answer, SERVED);
        assert!(!start.program.has_said("panicked"));
    }
    assert!((1..=MOST_THREADS).contains(&threads), "{threads} threads");
    assert!((1..=MOST_MEMORY_KB).contains(&memory), "{memory} kB");
    let mut ids: Vec<u64> = heard.lock().unwrap().iter().map(service_harness::Heard::id).collect();
    ids.retain(|id| *id >= first_id);
    ids.sort_unstable();
    let expected: Vec<u64> = (first_id..).take(starts.len()).collect();
    assert_eq!(ids, expected, "each request reaches the known node, once");
}

/// Danger: ninety at once are three times the load that is asked for.
static THIRTY: Mutex<()> = Mutex::new(());

fn thirty_at_once(what: &str, manner: fn(String) -> Manner) {
    let _these_alone = THIRTY.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = tempfile::tempdir().unwrap();
    let (serves, heard) = node_that_hears(Duration::ZERO);
    let known = list(5, serves, "a", KNOWN - 1);
    let agent = Agent::start(manner(known.clone()));
    let places = places(&folder, &agent, &known, PROCESSES);
    let first = start_all(&places, 1);
    all_are_well(what, &first, &heard, 1);
    // All are killed at once, and started again at once, while their clients come again.
    first.iter().for_each(|s| s.program.signal(Signal::KILL));
    drop(first);
    let again = start_all(&places, 1_001);
    all_are_well(&format!("{what}, again"), &again, &heard, 1_001);
}

#[test]
fn thirty_processes_at_once_with_discovery_silent() {
    thirty_at_once("silent", |_| Manner::Silent);
}

#[test]
fn thirty_processes_at_once_with_discovery_that_answers_late() {
    thirty_at_once("late", |known| Manner::Answers(LATE, 5, known));
}

#[test]
fn thirty_processes_at_once_with_discovery_that_resets() {
    thirty_at_once("resets", |_| Manner::Resets);
}

/// Numbers that look drawn, the same in each run.
struct Drawn(u64);

impl Drawn {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Told to end before it is ready, or killed: it ends, and the next process has its address at once.
#[test]
fn one_that_is_ended_before_it_is_ready_ends_and_leaves_its_address_free() {
    let folder = tempfile::tempdir().unwrap();
    let (serves, _) = node_that_hears(Duration::ZERO);
    let agent = Agent::start(Manner::Silent);
    let places = places(&folder, &agent, &list(5, serves, "a", KNOWN - 1), SIDE_BY_SIDE);
    std::thread::scope(|scope| {
        for (number, place) in (1..).zip(&places) {
            scope.spawn(move || (0..ENDED_EARLY).for_each(|round| end_early(place, number, round)));
        }
    });
}

/// Ends a process early, and starts the next.
fn end_early(place: &Place, number: u64, round: u64) {
    let mut drawn = Drawn(number * ENDED_EARLY + round);
    // Every other moment falls while the program starts.
    let bound = if round.is_multiple_of(2) { VERY_EARLY_MS } else { EARLY_MS };
    let after = Duration::from_millis(drawn.below(bound));
    let signal = if drawn.below(2) == 0 { Signal::TERM } else { Signal::KILL };
    let mut early = Program::start(&place.file);
    std::thread::sleep(after);
    early.signal(signal);
    let told = Instant::now();
    let status = early.ended();
    assert!(told.elapsed() < ENDS, "{:?}", told.elapsed());
    println!("{signal:?} after {after:?}: {status}");
    assert!(
        status.success() || status.signal() == Some(signal.as_raw()),
        "{signal:?} after {after:?}: {status}"
    );
    assert!(!early.has_said("panicked"));
    let next = start(place, number * 100 + round);
    assert!(next.ready < READY, "{:?}", next.ready);
    assert_eq!(next.answer, SERVED);
}

/// The address of one that is killed over its clients' connections is free for the next process: connections that it
/// closed itself stay with the system for a minute.
#[test]
fn the_address_is_free_while_connections_of_the_last_process_linger() {
    let folder = tempfile::tempdir().unwrap();
    let (serves, _) = node_that_hears(Duration::ZERO);
    let agent = Agent::start(Manner::Silent);
    let place = &places(&folder, &agent, &list(5, serves, "a", 3), 1)[0];
    let mut first = start(place, 1);
    // Closed by the program first, as silent, and by its client behind it: what lingers is the program's.
    let mut silent: Vec<TcpStream> = (0..8).map(|_| connect(place.listen)).collect();
    for stream in &mut silent {
        assert_eq!(stream.read(&mut [0; 16]).unwrap(), 0, "closed in order");
    }
    drop(silent);
    until("a connection of the address lingers", || lingers(place.listen));
    let mut held = connect(place.listen);
    ask(&mut held, 2);
    assert_eq!(answered(&mut held), SERVED);
    first.program.signal(Signal::KILL);
    assert_eq!(first.program.ended().signal(), Some(Signal::KILL.as_raw()));
    assert!(lingers(place.listen));
    let next = start(place, 3);
    assert_eq!(next.answer, SERVED);
}

/// Whether the system keeps a connection of this address in TIME_WAIT.
fn lingers(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else { return false };
    let local = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>())
        .any(|w| w.get(1) == Some(&&*local) && w[3] == "06")
}
