//! The program on a system that fails: system calls return errors that Linux documents, the log cannot be
//! written, the wall clock is an hour off or is set while the program runs.

mod service_harness;

use rustix::io::Errno;
use rustix::process::Signal;
use service_harness::shims::{start_with_full_log_device, FaultWindow, Shims, SyscallFault};
use service_harness::{
    config, connect, full_list, node_line, send_get, start_discovery, start_echo_node, unused_address,
    wait_until_ready, GatewayProcess, ReceivedCommands,
};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CLIENTS: u64 = 6;
const HOUR_SECONDS: i64 = 3_600;

/// An echo node, discovery and a configuration file for one program.
struct TestEnv {
    node: SocketAddr,
    received: ReceivedCommands,
    /// The list that discovery returns, with its sequence number.
    served_list: Arc<Mutex<(u64, String)>>,
    listen: SocketAddr,
    file: PathBuf,
    _discovery: pearfork_net::http::Server,
    _folder: tempfile::TempDir,
}

fn test_env(service_time: Duration) -> TestEnv {
    let folder = tempfile::tempdir().unwrap();
    let (node, received) = start_echo_node(service_time);
    let list = full_list(1, &[node_line("s-1", node, 0, "SERVING")]);
    let served_list = Arc::new(Mutex::new((1, list.clone())));
    let discovery = start_discovery(served_list.clone());
    let (listen, file) = (unused_address(), folder.path().join("config.json"));
    std::fs::write(&file, config(listen, discovery.address(), &list, 3).to_string()).unwrap();
    TestEnv { node, received, served_list, listen, file, _discovery: discovery, _folder: folder }
}

/// The final answer to a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Served,
    Refused,
    Failed,
    /// The connection was closed before the reply was complete.
    Unanswered,
    /// The reply holds the value of another request.
    Wrong,
}

fn read_answer(stream: &mut TcpStream, id: u64) -> Answer {
    let mut reply = Vec::new();
    let mut buffer = [0; 256];
    loop {
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => reply.extend_from_slice(&buffer[..n]),
            _ => return Answer::Unanswered,
        }
        let text = String::from_utf8_lossy(&reply);
        if text.starts_with('-') && text.ends_with("\r\n") {
            return if text.starts_with("-BUSY") { Answer::Refused } else { Answer::Failed };
        }
        if text.starts_with('$') && reply.len() >= "$16\r\n\r\n".len() + 16 {
            return if text == format!("$16\r\n{id:016x}\r\n") { Answer::Served } else { Answer::Wrong };
        }
    }
}

/// Runs [`CLIENTS`] clients that send one request after another, each on one connection; returns all final
/// answers.
fn run_clients(listen: SocketAddr, duration: Duration) -> Vec<Answer> {
    let end = Instant::now() + duration;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut stream = connect(listen);
                let mut answers = Vec::new();
                let mut id = (client + 1) << 32;
                while Instant::now() < end && answers.last() != Some(&Answer::Unanswered) {
                    id += 1;
                    send_get(&mut stream, id);
                    answers.push(read_answer(&mut stream, id));
                    std::thread::sleep(Duration::from_millis(5));
                }
                answers
            })
        })
        .collect();
    clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
}

fn count(answers: &[Answer], wanted: Answer) -> usize {
    answers.iter().filter(|a| **a == wanted).count()
}

/// Asserts that every request has an answer of its own and that at least `least_served`, a fraction, are
/// served.
fn assert_answered(answers: &[Answer], least_served: f64, scenario: &str) {
    let counts = [Answer::Served, Answer::Refused, Answer::Failed, Answer::Unanswered, Answer::Wrong]
        .map(|answer| (answer, count(answers, answer)));
    println!("{scenario}: {counts:?}");
    assert_eq!(count(answers, Answer::Unanswered), 0, "{scenario}: {counts:?}");
    assert_eq!(count(answers, Answer::Wrong), 0, "{scenario}: {counts:?}");
    let served = count(answers, Answer::Served) as f64;
    assert!(served >= least_served * answers.len() as f64, "{scenario}: {counts:?}");
}

fn run_clients_with_syscall_faults(faults: &[SyscallFault], seed: u64, least_served: f64, scenario: &str) {
    let env = test_env(Duration::from_millis(2));
    let mut program =
        Shims::create().start_with_syscall_faults(&env.file, seed, faults, FaultWindow::default());
    wait_until_ready(env.listen, Instant::now());
    assert_answered(&run_clients(env.listen, Duration::from_millis(1_200)), least_served, scenario);
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit_code(), Some(0), "{scenario}");
}

/// Guards against a reply or a command that is dropped because one send failed for lack of kernel memory.
#[test]
fn sends_that_fail_temporarily_lose_no_request() {
    for errno in [Errno::NOBUFS, Errno::NOMEM, Errno::INTR] {
        run_clients_with_syscall_faults(
            &[SyscallFault { call: "sendto", errno, per_mille: 200 }],
            1,
            0.95,
            &format!("sendto {errno:?}"),
        );
    }
}

/// Guards against a connection that is closed because one read on it failed.
#[test]
fn reads_that_fail_temporarily_lose_no_request() {
    for errno in [Errno::NOMEM, Errno::INTR] {
        run_clients_with_syscall_faults(
            &[SyscallFault { call: "recvfrom", errno, per_mille: 200 }],
            2,
            0.9,
            &format!("recvfrom {errno:?}"),
        );
    }
}

/// Guards against a host that shuts down without a signal because a failed read ended the thread that waits
/// for signals.
#[test]
fn a_host_whose_reads_fail_runs_until_sigterm_and_then_exits() {
    let env = test_env(Duration::from_millis(2));
    let faults = [SyscallFault { call: "recvfrom", errno: Errno::NOMEM, per_mille: 500 }];
    let mut program =
        Shims::create().start_with_syscall_faults(&env.file, 6, &faults, FaultWindow::default());
    wait_until_ready(env.listen, Instant::now());
    for _ in 0..5 {
        program.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(60));
    }
    assert_answered(&run_clients(env.listen, Duration::from_millis(500)), 0.5, "half of all reads fail");
    assert_eq!(program.exit_code_if_exited(), None);
    assert!(!program.has_logged("panicked"));
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit_code(), Some(0));
}

/// Guards against a lost signal: the signal's handler wakes the signal thread with a send, and if that fails
/// a host may run on after SIGTERM until the platform kills it.
#[test]
fn sigterm_ends_a_host_while_every_send_fails() {
    let env = test_env(Duration::ZERO);
    let faults = [SyscallFault { call: "sendto", errno: Errno::NOBUFS, per_mille: 1_000 }];
    let window = FaultWindow { start_ms: 800, duration_ms: Some(400) };
    let mut program = Shims::create().start_with_syscall_faults(&env.file, 7, &faults, window);
    let began = Instant::now();
    wait_until_ready(env.listen, began);
    std::thread::sleep(Duration::from_millis(1_000).saturating_sub(began.elapsed()));
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit_code(), Some(0));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

/// Guards against a host that stops accepting or polling connections after one failed call.
#[test]
fn accepts_and_polls_that_fail_temporarily_lose_no_request() {
    for errno in [Errno::CONNABORTED, Errno::NFILE, Errno::NOBUFS, Errno::INTR] {
        let faults = [
            SyscallFault { call: "accept4", errno, per_mille: 300 },
            SyscallFault { call: "epoll_wait", errno: Errno::INTR, per_mille: 200 },
        ];
        run_clients_with_syscall_faults(&faults, 3, 0.95, &format!("accept4 {errno:?}"));
    }
}

/// Guards against requests that are refused because the host gets no port or descriptor for 300 ms.
#[test]
fn connects_that_fail_for_300_ms_refuse_no_request_that_can_wait() {
    for (call, errno) in
        [("connect", Errno::ADDRNOTAVAIL), ("connect", Errno::INTR), ("socket", Errno::NFILE)]
    {
        let env = test_env(Duration::from_millis(2));
        let window = FaultWindow { start_ms: 700, duration_ms: Some(300) };
        let faults = [SyscallFault { call, errno, per_mille: 1_000 }];
        let _program = Shims::create().start_with_syscall_faults(&env.file, 4, &faults, window);
        let began = Instant::now();
        wait_until_ready(env.listen, began);
        std::thread::sleep(Duration::from_millis(720).saturating_sub(began.elapsed()));
        let answers = run_clients(env.listen, Duration::from_millis(600));
        assert_answered(&answers, 1.0, &format!("{call} {errno:?}"));
    }
}

/// Guards against a start that fails because the system has no descriptors for the first 400 ms.
#[test]
fn a_host_starts_although_sockets_fail_for_the_first_400_ms() {
    for errno in [Errno::NFILE, Errno::NOBUFS] {
        let env = test_env(Duration::ZERO);
        let window = FaultWindow { start_ms: 0, duration_ms: Some(400) };
        let faults = [SyscallFault { call: "socket", errno, per_mille: 1_000 }];
        let _program = Shims::create().start_with_syscall_faults(&env.file, 5, &faults, window);
        wait_until_ready(env.listen, Instant::now());
        assert_answered(
            &run_clients(env.listen, Duration::from_millis(300)),
            1.0,
            &format!("socket {errno:?}"),
        );
    }
}

/// Guards against a failed write of the log that ends the thread that logs: the host would stop serving.
#[test]
fn a_log_on_a_full_device_affects_no_client() {
    let env = test_env(Duration::from_millis(2));
    let mut program = start_with_full_log_device(&env.file);
    wait_until_ready(env.listen, Instant::now());
    assert_answered(&run_clients(env.listen, Duration::from_millis(600)), 1.0, "full log");
    program.signal(Signal::HUP);
    assert_answered(&run_clients(env.listen, Duration::from_millis(300)), 1.0, "full log after SIGHUP");
    program.signal(Signal::TERM);
    assert_eq!(program.wait_for_exit_code(), Some(0));
}

fn wall_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// Restarts the node, runs the clients for 400 ms, and returns how many requests the node received.
fn requests_sent_to_a_restarted_node(program: &GatewayProcess, env: &TestEnv) -> usize {
    wait_until_ready(env.listen, Instant::now());
    let id = program.id();
    assert!(Path::new(&format!("/proc/{id}")).exists());
    // Lets the watch of discovery run for a while, so that the host knows the time of the last update.
    std::thread::sleep(Duration::from_millis(1_500));
    let started = format!("\"born_ms\":{}", wall_ms() - 50.0);
    let restarted = node_line("s-1", env.node, 0, "SERVING").replace("\"born_ms\":0", &started);
    *env.served_list.lock().unwrap() = (2, full_list(2, &[restarted]));
    std::thread::sleep(Duration::from_millis(150));
    env.received.lock().unwrap().clear();
    run_clients(env.listen, Duration::from_millis(400));
    let sent = env.received.lock().unwrap().len();
    sent
}

/// Guards against slow start that depends on the host's wall clock, which may be an hour off or be set while
/// the host runs.
#[test]
fn slow_start_of_a_restarted_node_does_not_depend_on_the_hosts_wall_clock() {
    let mut sent = Vec::new();
    for (ahead_at_start, ahead_later) in
        [(0, 0), (HOUR_SECONDS, HOUR_SECONDS), (-HOUR_SECONDS, -HOUR_SECONDS), (0, HOUR_SECONDS)]
    {
        let env = test_env(Duration::from_millis(2));
        let shims = Shims::create();
        let program = shims.start_with_clock(&env.file, ahead_at_start);
        wait_until_ready(env.listen, Instant::now());
        shims.set_clock(ahead_later);
        sent.push(((ahead_at_start, ahead_later), requests_sent_to_a_restarted_node(&program, &env)));
    }
    println!("{sent:?}");
    let baseline = sent[0].1;
    for (clock, count) in sent {
        // Which requests go to a cold node is random: three standard deviations, and 3, are allowed above the
        // baseline.
        let limit = baseline as f64 + 3.0 * (baseline as f64).sqrt() + 3.0;
        assert!(
            count > 0 && (count as f64) <= limit,
            "{clock:?}: {count} sent, {baseline} with the right clock"
        );
    }
}
