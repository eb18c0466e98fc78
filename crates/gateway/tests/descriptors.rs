//! The program under a limit of descriptors that the system enforces, while more idle clients than that connect and
//! discovery is down: what it needs for itself, for nodes and for usual clients is there by count.

mod service_harness;

use pearfork_platform::clients::{max_client_connections, max_node_connections};
use service_harness::fake_discovery::{Agent, Manner};
use service_harness::idle_clients::Crowd;
use service_harness::{
    answered, ask, config, connect, free, get, line, list, node, node_that_hears, ready_after, until,
    whole_list, Program, SERVED,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A new process is ready within this time.
const READY: Duration = Duration::from_secs(10);
/// Discovery that is back is heard within this time; what it has counts as told a second later.
const HEARD: Duration = Duration::from_secs(5);
/// Idle clients beyond the limit of descriptors.
const BEYOND: usize = 32;
/// Usual clients, and what each of them asks at once.
const USUAL: u64 = 4;
/// How often usual clients ask.
const BETWEEN: Duration = Duration::from_millis(100);

/// Counts the descriptors of the program for as long as it lives.
struct Count {
    most: Arc<Mutex<usize>>,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Count {
    fn of(program: &Program) -> Count {
        let (most, over) = (Arc::new(Mutex::new(0)), Arc::new(AtomicBool::new(false)));
        let (seen, ended, folder) = (most.clone(), over.clone(), format!("/proc/{}/fd", program.id()));
        let thread = std::thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let now = std::fs::read_dir(&folder).map_or(0, std::iter::Iterator::count);
                let mut most = seen.lock().unwrap();
                *most = now.max(*most);
                drop(most);
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        Count { most, over, thread: Some(thread) }
    }

    fn most(&self) -> usize {
        *self.most.lock().unwrap()
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_limited(file: &Path, listen: SocketAddr, discovery: SocketAddr, known: &str, descriptors: usize) {
    let mut config = config(listen, discovery, known, 1);
    config["limits"]["sockets"] = descriptors.into();
    std::fs::write(file, config.to_string()).unwrap();
}

fn file_in(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("config.json")
}

fn is_still_open(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    matches!(stream.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// When the crowd comes.
#[derive(Clone, Copy, PartialEq)]
enum Comes {
    BeforeTheProgramListens,
    OnceItServes,
}

/// A first request among the idle ones: one that is closed unread comes again, as clients do.
fn first_served(address: SocketAddr, id: u64) -> TcpStream {
    let mut served = None;
    until("a usual client is served", || {
        let mut stream = connect(address);
        let sent = stream.write_all(&get(id));
        let mut got = vec![0; SERVED.len()];
        if sent.is_ok() && stream.read_exact(&mut got).is_ok() {
            assert_eq!(String::from_utf8_lossy(&got), SERVED);
            served = Some(stream);
        }
        served.is_some()
    });
    served.unwrap()
}

/// Usual clients ask on the connections that they hold, and each is served each time.
fn all_ask(usual: &mut [TcpStream], ids: &mut impl Iterator<Item = u64>) {
    for stream in usual.iter_mut() {
        ask(stream, ids.next().unwrap());
    }
    for stream in usual.iter_mut() {
        assert_eq!(answered(stream), SERVED);
    }
    std::thread::sleep(BETWEEN);
}

/// One run: idle clients beyond the descriptors, and discovery that is down and comes back with another node.
fn crowd_while_discovery_is_down(descriptors: usize, mut agent: Agent, comes: Comes) {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (node(Duration::ZERO), node_that_hears(Duration::ZERO));
    let listen = free();
    write_limited(&file_in(&folder), listen, agent.address, &list(5, old, "a", 20), descriptors);
    let mut ids = 1..;
    let (program, crowd, mut usual) = match comes {
        Comes::BeforeTheProgramListens => {
            let crowd = Crowd::start(listen, descriptors + BEYOND);
            let began = Instant::now();
            let program = Program::start_limited(&file_in(&folder), descriptors);
            let ready = ready_after(listen, began);
            println!("ready among idle clients after {ready:?}");
            assert!(ready < READY, "{ready:?}");
            let usual: Vec<TcpStream> =
                (0..USUAL).map(|_| first_served(listen, ids.next().unwrap())).collect();
            (program, crowd, usual)
        }
        Comes::OnceItServes => {
            let program = Program::start_limited(&file_in(&folder), descriptors);
            let mut usual: Vec<TcpStream> = (0..USUAL).map(|_| connect(listen)).collect();
            all_ask(&mut usual, &mut ids);
            (program, Crowd::start(listen, descriptors + BEYOND), usual)
        }
    };
    let count = Count::of(&program);
    until("more idle clients than descriptors", || {
        all_ask(&mut usual, &mut ids);
        crowd.up() > descriptors && crowd.made() > 2 * descriptors
    });
    let new_client = ready_after(listen, Instant::now());
    assert!(new_client < READY, "a new client among idle ones: {new_client:?}");
    let back = whole_list(9, &[line("s-2", new.0, 0, "SERVING")]);
    agent.becomes(Manner::Answers(Duration::ZERO, 9, back));
    let returned = Instant::now();
    until("what discovery has is taken, and its node asked", || {
        all_ask(&mut usual, &mut ids);
        !new.1.lock().unwrap().is_empty()
    });
    let heard = returned.elapsed();
    let usual_stay = usual.iter_mut().all(is_still_open);
    println!(
        "{} of {descriptors} descriptors at the most, {} idle clients up, {} made; a new client after {new_client:?}; \
         discovery heard after {heard:?}",
        count.most(),
        crowd.up(),
        crowd.made()
    );
    assert!(heard < HEARD, "{heard:?}");
    assert!(usual_stay, "usual clients keep their connections");
    assert!(count.most() < descriptors, "{} of {descriptors}", count.most());
    assert!(!program.has_said("Too many open files") && !program.has_said("panicked"));
    // Killed over all these connections, and started again while their clients come again.
    drop((count, program));
    let began = Instant::now();
    let again = Program::start_limited(&file_in(&folder), descriptors);
    let ready = ready_after(listen, began);
    println!("ready again among idle clients after {ready:?}");
    assert!(ready < READY, "{ready:?}");
    assert!(!again.has_said("Too many open files") && !again.has_said("panicked"));
}

#[test]
fn idle_clients_before_the_start_with_discovery_silent() {
    crowd_while_discovery_is_down(128, Agent::start(Manner::Silent), Comes::BeforeTheProgramListens);
}

#[test]
fn idle_clients_before_the_start_with_discovery_refused_and_many_descriptors() {
    crowd_while_discovery_is_down(576, Agent::refused(), Comes::BeforeTheProgramListens);
}

#[test]
fn idle_clients_of_a_program_that_serves_with_discovery_refused() {
    crowd_while_discovery_is_down(128, Agent::refused(), Comes::OnceItServes);
}

#[test]
fn idle_clients_of_a_program_that_serves_with_discovery_silent_and_many_descriptors() {
    crowd_while_discovery_is_down(576, Agent::start(Manner::Silent), Comes::OnceItServes);
}

/// What is kept is enough for all that is neither a client's connection nor a node's, twice over at rest.
#[test]
fn what_the_program_needs_for_itself_fits_into_what_is_kept() {
    let folder = tempfile::tempdir().unwrap();
    let listen = free();
    let serves = node(Duration::ZERO);
    let known = list(5, serves, "a", 3);
    let agent = Agent::start(Manner::Answers(Duration::ZERO, 5, known.clone()));
    let descriptors = 128;
    let kept = descriptors - max_client_connections(descriptors) - max_node_connections(descriptors);
    write_limited(&file_in(&folder), listen, agent.address, &known, descriptors);
    let program = Program::start_limited(&file_in(&folder), descriptors);
    ready_after(listen, Instant::now());
    // Those that this test has from whoever started it are not the program's own.
    let of_its_own = |d: &String| d.starts_with("socket:") || d.starts_with("anon_inode:");
    let mut own = Vec::new();
    // The listener, two of the signals, and a call at discovery, which is held twice.
    until("its clients are gone, and a call waits at discovery", || {
        own = program.descriptors();
        own.retain(of_its_own);
        own.iter().filter(|d| d.starts_with("socket:")).count() == 5
    });
    let count_of = |words: &str| own.iter().filter(|d| d.contains(words)).count();
    assert_eq!((count_of("eventpoll"), count_of("eventfd")), (2, 2), "one of each for clients and for nodes");
    // The standard streams; and for a moment a configuration that is read anew, a connection that is accepted before
    // another goes, and one to a node that its reader has yet.
    let (streams, on_top) = (3, 3);
    println!("{} and the standard streams of {kept}: {own:?}", own.len());
    assert!(own.len() + streams + on_top <= kept, "{} of {kept}: {own:?}", own.len() + streams + on_top);
}

/// All that may be held is held at once: as many idle clients, and as many connections to nodes, as there is room for.
#[test]
fn with_all_clients_and_all_nodes_there_is_a_descriptor_left_for_discovery() {
    let folder = tempfile::tempdir().unwrap();
    let listen = free();
    let descriptors = 128;
    let slow: Vec<SocketAddr> = (0..6).map(|_| node(Duration::from_millis(600))).collect();
    let lines: Vec<String> =
        slow.iter().enumerate().map(|(i, dial)| line(&format!("s-{i}"), *dial, 0, "SERVING")).collect();
    let mut agent = Agent::start(Manner::Silent);
    write_limited(&file_in(&folder), listen, agent.address, &whole_list(5, &lines), descriptors);
    let program = Program::start_limited(&file_in(&folder), descriptors);
    ready_after(listen, Instant::now());
    let count = Count::of(&program);
    let mut ids = 1..;
    let mut usual: Vec<TcpStream> = (0..3).map(|_| connect(listen)).collect();
    let mut all_at_once = |usual: &mut [TcpStream]| {
        for stream in usual.iter_mut() {
            let words: Vec<u8> = ids.by_ref().take(30).flat_map(get).collect();
            stream.write_all(&words).unwrap();
        }
    };
    all_at_once(&mut usual);
    let crowd = Crowd::start(listen, descriptors + BEYOND);
    until("all rooms are full", || {
        count.most() >= max_client_connections(descriptors) + max_node_connections(descriptors)
    });
    println!("{} of {descriptors} descriptors, {} idle clients", count.most(), crowd.up());
    let new = node_that_hears(Duration::ZERO);
    agent.becomes(Manner::Answers(Duration::ZERO, 9, whole_list(9, &[line("s-9", new.0, 0, "SERVING")])));
    let returned = Instant::now();
    until("what discovery has is taken", || {
        let mut one = first_contact(listen);
        let _ = one.write_all(&get(1_000_000 + returned.elapsed().as_micros() as u64));
        let _ = one.read(&mut [0; 64]);
        !new.1.lock().unwrap().is_empty()
    });
    assert!(returned.elapsed() < HEARD, "{:?}", returned.elapsed());
    assert!(count.most() < descriptors, "{} of {descriptors}", count.most());
    assert!(!program.has_said("Too many open files"));
}

fn first_contact(address: SocketAddr) -> TcpStream {
    let stream = connect(address);
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    stream
}
