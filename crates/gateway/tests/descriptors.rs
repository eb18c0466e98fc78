//! The program under a limit of open descriptors that the system enforces, while more idle clients than that
//! connect and discovery is down. Descriptors for discovery, nodes and active clients are reserved.

mod service_harness;

use pearfork_platform::descriptors::{max_client_connections, max_node_connections};
use service_harness::fake_discovery::{DiscoveryBehavior, FakeDiscovery};
use service_harness::idle_clients::IdleClients;
use service_harness::{
    config, connect, full_list, get_command, list_with_one_live_node, node_line, read_reply, send_get,
    start_node, start_recording_node, unused_address, wait_until, wait_until_ready, GatewayProcess,
    SERVED_REPLY,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest time until a new process, or a running one for a new client, answers PING.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time from discovery's return until its list is in use; a list takes effect a second after it is
/// received.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle clients in excess of the limit of descriptors.
const EXCESS_CLIENTS: usize = 32;
/// Clients that send requests.
const ACTIVE_CLIENTS: u64 = 4;
/// Interval at which active clients send requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Samples the number of open descriptors of the program until it is dropped.
struct DescriptorMonitor {
    peak: Arc<Mutex<usize>>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl DescriptorMonitor {
    fn start(program: &GatewayProcess) -> DescriptorMonitor {
        let (peak, is_stopped) = (Arc::new(Mutex::new(0)), Arc::new(AtomicBool::new(false)));
        let (shared_peak, stopped, folder) =
            (peak.clone(), is_stopped.clone(), format!("/proc/{}/fd", program.id()));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                let now = std::fs::read_dir(&folder).map_or(0, std::iter::Iterator::count);
                let mut peak = shared_peak.lock().unwrap();
                *peak = now.max(*peak);
                drop(peak);
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        DescriptorMonitor { peak, is_stopped, thread: Some(thread) }
    }

    fn peak(&self) -> usize {
        *self.peak.lock().unwrap()
    }
}

impl Drop for DescriptorMonitor {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write_config_with_limit(
    file: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    descriptors: usize,
) {
    let mut config = config(listen, discovery, known, 1);
    config["limits"]["sockets"] = descriptors.into();
    std::fs::write(file, config.to_string()).unwrap();
}

fn config_path(folder: &tempfile::TempDir) -> PathBuf {
    folder.path().join("config.json")
}

fn is_still_open(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    matches!(stream.read(&mut [0; 16]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// When the idle clients connect.
#[derive(Clone, Copy, PartialEq)]
enum IdleClientsConnect {
    BeforeStart,
    WhileServing,
}

/// Connects a client and sends its first request, again on a new connection if the program closes one without
/// a reply.
fn connect_active_client(address: SocketAddr, id: u64) -> TcpStream {
    let mut served = None;
    wait_until("an active client is served", || {
        let mut stream = connect(address);
        let sent = stream.write_all(&get_command(id));
        let mut reply = vec![0; SERVED_REPLY.len()];
        if sent.is_ok() && stream.read_exact(&mut reply).is_ok() {
            assert_eq!(String::from_utf8_lossy(&reply), SERVED_REPLY);
            served = Some(stream);
        }
        served.is_some()
    });
    served.unwrap()
}

/// Sends a request on each connection and asserts that each is served.
fn serve_all(active: &mut [TcpStream], ids: &mut impl Iterator<Item = u64>) {
    for stream in active.iter_mut() {
        send_get(stream, ids.next().unwrap());
    }
    for stream in active.iter_mut() {
        assert_eq!(read_reply(stream), SERVED_REPLY);
    }
    std::thread::sleep(REQUEST_INTERVAL);
}

/// Runs the program with more idle clients than descriptors while discovery is down. Discovery then returns
/// with another node, and the program is killed and started again.
fn serve_among_idle_clients_during_discovery_outage(
    descriptors: usize,
    mut discovery: FakeDiscovery,
    connect_idle: IdleClientsConnect,
) {
    let folder = tempfile::tempdir().unwrap();
    let (old, new) = (start_node(Duration::ZERO), start_recording_node(Duration::ZERO));
    let listen = unused_address();
    write_config_with_limit(
        &config_path(&folder),
        listen,
        discovery.address,
        &list_with_one_live_node(5, old, "a", 20),
        descriptors,
    );
    let mut ids = 1..;
    let (program, idle_clients, mut active) = match connect_idle {
        IdleClientsConnect::BeforeStart => {
            let idle_clients = IdleClients::start(listen, descriptors + EXCESS_CLIENTS);
            let began = Instant::now();
            let program = GatewayProcess::start_limited(&config_path(&folder), descriptors);
            let ready = wait_until_ready(listen, began);
            println!("ready among idle clients after {ready:?}");
            assert!(ready < READY_TIMEOUT, "{ready:?}");
            let active: Vec<TcpStream> =
                (0..ACTIVE_CLIENTS).map(|_| connect_active_client(listen, ids.next().unwrap())).collect();
            (program, idle_clients, active)
        }
        IdleClientsConnect::WhileServing => {
            let program = GatewayProcess::start_limited(&config_path(&folder), descriptors);
            let mut active: Vec<TcpStream> = (0..ACTIVE_CLIENTS).map(|_| connect(listen)).collect();
            serve_all(&mut active, &mut ids);
            (program, IdleClients::start(listen, descriptors + EXCESS_CLIENTS), active)
        }
    };
    let monitor = DescriptorMonitor::start(&program);
    wait_until("more idle clients than descriptors", || {
        serve_all(&mut active, &mut ids);
        idle_clients.open_count() > descriptors && idle_clients.total_count() > 2 * descriptors
    });
    let new_client_ready = wait_until_ready(listen, Instant::now());
    assert!(new_client_ready < READY_TIMEOUT, "a new client among idle ones: {new_client_ready:?}");
    let new_list = full_list(9, &[node_line("s-2", new.0, 0, "SERVING")]);
    discovery.set_behavior(DiscoveryBehavior::Responds(Duration::ZERO, 9, new_list));
    let returned = Instant::now();
    wait_until("a request goes to the node of the new list", || {
        serve_all(&mut active, &mut ids);
        !new.1.lock().unwrap().is_empty()
    });
    let list_in_use = returned.elapsed();
    let are_all_open = active.iter_mut().all(is_still_open);
    println!(
        "{} of {descriptors} descriptors at most, {} idle clients open, {} in total; a new client after \
         {new_client_ready:?}; the new list in use after {list_in_use:?}",
        monitor.peak(),
        idle_clients.open_count(),
        idle_clients.total_count()
    );
    assert!(list_in_use < LIST_TIMEOUT, "{list_in_use:?}");
    assert!(are_all_open, "active clients keep their connections");
    assert!(monitor.peak() < descriptors, "{} of {descriptors}", monitor.peak());
    assert!(!program.has_logged("Too many open files") && !program.has_logged("panicked"));
    // Kills the program with all these connections open, and starts it again while the clients connect again.
    drop((monitor, program));
    let began = Instant::now();
    let restarted = GatewayProcess::start_limited(&config_path(&folder), descriptors);
    let ready = wait_until_ready(listen, began);
    println!("ready again among idle clients after {ready:?}");
    assert!(ready < READY_TIMEOUT, "{ready:?}");
    assert!(!restarted.has_logged("Too many open files") && !restarted.has_logged("panicked"));
}

#[test]
fn early_idle_clients_block_no_active_client_while_discovery_hangs() {
    serve_among_idle_clients_during_discovery_outage(
        128,
        FakeDiscovery::start(DiscoveryBehavior::NoResponse),
        IdleClientsConnect::BeforeStart,
    );
}

#[test]
fn early_idle_clients_block_no_active_client_while_discovery_refuses_with_many_descriptors() {
    serve_among_idle_clients_during_discovery_outage(
        576,
        FakeDiscovery::start_refusing(),
        IdleClientsConnect::BeforeStart,
    );
}

#[test]
fn late_idle_clients_block_no_active_client_while_discovery_refuses() {
    serve_among_idle_clients_during_discovery_outage(
        128,
        FakeDiscovery::start_refusing(),
        IdleClientsConnect::WhileServing,
    );
}

#[test]
fn late_idle_clients_block_no_active_client_while_discovery_hangs_with_many_descriptors() {
    serve_among_idle_clients_during_discovery_outage(
        576,
        FakeDiscovery::start(DiscoveryBehavior::NoResponse),
        IdleClientsConnect::WhileServing,
    );
}

/// Guards against a reserve that is too small: the descriptors that are neither a client's nor a node's
/// connection, and the temporary ones, must fit.
#[test]
fn descriptors_of_the_program_itself_fit_into_the_reserve() {
    let folder = tempfile::tempdir().unwrap();
    let listen = unused_address();
    let live = start_node(Duration::ZERO);
    let known = list_with_one_live_node(5, live, "a", 3);
    let discovery = FakeDiscovery::start(DiscoveryBehavior::Responds(Duration::ZERO, 5, known.clone()));
    let descriptors = 128;
    let reserve = descriptors - max_client_connections(descriptors) - max_node_connections(descriptors);
    write_config_with_limit(&config_path(&folder), listen, discovery.address, &known, descriptors);
    let program = GatewayProcess::start_limited(&config_path(&folder), descriptors);
    wait_until_ready(listen, Instant::now());
    // Leaves out descriptors that the program inherits from the process that runs this test.
    let is_own = |d: &String| d.starts_with("socket:") || d.starts_with("anon_inode:");
    let mut own = Vec::new();
    // The listener, the socket pair of the signals, and a request at discovery, whose socket has two descriptors.
    wait_until("only a request at discovery is left", || {
        own = program.descriptor_targets();
        own.retain(is_own);
        own.iter().filter(|d| d.starts_with("socket:")).count() == 5
    });
    let count_of = |kind: &str| own.iter().filter(|d| d.contains(kind)).count();
    assert_eq!((count_of("eventpoll"), count_of("eventfd")), (2, 2), "one of each for clients and for nodes");
    // The standard streams; and temporarily a configuration file that is reloaded, a connection that is
    // accepted before another is closed, and a closed connection to a node that its reader thread still
    // holds.
    let (streams, temporary) = (3, 3);
    println!("{} and the standard streams of {reserve}: {own:?}", own.len());
    assert!(
        own.len() + streams + temporary <= reserve,
        "{} of {reserve}: {own:?}",
        own.len() + streams + temporary
    );
}

/// Guards against a discovery request that gets no descriptor: clients and connections to nodes are as many
/// as their limits allow.
#[test]
fn discovery_has_a_descriptor_with_as_many_clients_and_node_connections_as_allowed() {
    let folder = tempfile::tempdir().unwrap();
    let listen = unused_address();
    let descriptors = 128;
    let slow_nodes: Vec<SocketAddr> = (0..6).map(|_| start_node(Duration::from_millis(600))).collect();
    let lines: Vec<String> = slow_nodes
        .iter()
        .enumerate()
        .map(|(i, dial)| node_line(&format!("s-{i}"), *dial, 0, "SERVING"))
        .collect();
    let mut discovery = FakeDiscovery::start(DiscoveryBehavior::NoResponse);
    write_config_with_limit(
        &config_path(&folder),
        listen,
        discovery.address,
        &full_list(5, &lines),
        descriptors,
    );
    let program = GatewayProcess::start_limited(&config_path(&folder), descriptors);
    wait_until_ready(listen, Instant::now());
    let monitor = DescriptorMonitor::start(&program);
    let mut ids = 1..;
    let mut active: Vec<TcpStream> = (0..3).map(|_| connect(listen)).collect();
    let mut send_thirty_each = |active: &mut [TcpStream]| {
        for stream in active.iter_mut() {
            let commands: Vec<u8> = ids.by_ref().take(30).flat_map(get_command).collect();
            stream.write_all(&commands).unwrap();
        }
    };
    send_thirty_each(&mut active);
    let idle_clients = IdleClients::start(listen, descriptors + EXCESS_CLIENTS);
    wait_until("both limits are reached", || {
        monitor.peak() >= max_client_connections(descriptors) + max_node_connections(descriptors)
    });
    println!("{} of {descriptors} descriptors, {} idle clients", monitor.peak(), idle_clients.open_count());
    let new = start_recording_node(Duration::ZERO);
    discovery.set_behavior(DiscoveryBehavior::Responds(
        Duration::ZERO,
        9,
        full_list(9, &[node_line("s-9", new.0, 0, "SERVING")]),
    ));
    let returned = Instant::now();
    wait_until("a request goes to the node of the new list", || {
        let mut client = connect_with_short_timeout(listen);
        let _ = client.write_all(&get_command(1_000_000 + returned.elapsed().as_micros() as u64));
        let _ = client.read(&mut [0; 64]);
        !new.1.lock().unwrap().is_empty()
    });
    assert!(returned.elapsed() < LIST_TIMEOUT, "{:?}", returned.elapsed());
    assert!(monitor.peak() < descriptors, "{} of {descriptors}", monitor.peak());
    assert!(!program.has_logged("Too many open files"));
}

fn connect_with_short_timeout(address: SocketAddr) -> TcpStream {
    let stream = connect(address);
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    stream
}
