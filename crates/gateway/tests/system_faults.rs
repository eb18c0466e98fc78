//! The whole program at the edge of its system: calls that fail as Linux documents, a log that can't be written, a wall
//! clock that is an hour off or set while it runs.

mod service_harness;

use rustix::io::Errno;
use rustix::process::Signal;
use service_harness::shims::{start_with_full_log, Failure, Shims, Window};
use service_harness::{
    ask, config, connect, discovery, free, line, node_that_echoes, ready_after, whole_list, HeardAll, Program,
};
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CLIENTS: u64 = 6;
const HOUR_SECONDS: i64 = 3_600;

/// What stands round a program: a node that gives the id of a request as its value, discovery, a configuration.
struct World {
    dial: SocketAddr,
    heard: HeardAll,
    told: Arc<Mutex<(u64, String)>>,
    listen: SocketAddr,
    file: PathBuf,
    _discovery: pearfork_net::http::Server,
    _folder: tempfile::TempDir,
}

fn world(node_takes: Duration) -> World {
    let folder = tempfile::tempdir().unwrap();
    let (dial, heard) = node_that_echoes(node_takes);
    let list = whole_list(1, &[line("s-1", dial, 0, "SERVING")]);
    let told = Arc::new(Mutex::new((1, list.clone())));
    let agent = discovery(told.clone());
    let (listen, file) = (free(), folder.path().join("config.json"));
    std::fs::write(&file, config(listen, agent.address(), &list, 3).to_string()).unwrap();
    World { dial, heard, told, listen, file, _discovery: agent, _folder: folder }
}

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Served,
    Refused,
    Failed,
    /// Its connection was closed with no whole answer.
    Unanswered,
    /// A value that was made for another.
    Wrong,
}

fn outcome(stream: &mut TcpStream, id: u64) -> Ended {
    let mut got = Vec::new();
    let mut piece = [0; 256];
    loop {
        match stream.read(&mut piece) {
            Ok(n @ 1..) => got.extend_from_slice(&piece[..n]),
            _ => return Ended::Unanswered,
        }
        let text = String::from_utf8_lossy(&got);
        if text.starts_with('-') && text.ends_with("\r\n") {
            return if text.starts_with("-BUSY") { Ended::Refused } else { Ended::Failed };
        }
        if text.starts_with('$') && got.len() >= "$16\r\n\r\n".len() + 16 {
            return if text == format!("$16\r\n{id:016x}\r\n") { Ended::Served } else { Ended::Wrong };
        }
    }
}

/// How the requests of some clients end that ask one after another, for a while, each on its one connection.
fn play(listen: SocketAddr, during: Duration) -> Vec<Ended> {
    let end = Instant::now() + during;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            std::thread::spawn(move || {
                let mut stream = connect(listen);
                let mut ended = Vec::new();
                let mut id = (client + 1) << 32;
                while Instant::now() < end && ended.last() != Some(&Ended::Unanswered) {
                    id += 1;
                    ask(&mut stream, id);
                    ended.push(outcome(&mut stream, id));
                    std::thread::sleep(Duration::from_millis(5));
                }
                ended
            })
        })
        .collect();
    clients.into_iter().flat_map(|c| c.join().unwrap()).collect()
}

fn count(ended: &[Ended], of: Ended) -> usize {
    ended.iter().filter(|e| **e == of).count()
}

/// Every request has its own answer, and at least this part of them is served.
fn assert_answered(ended: &[Ended], served_part: f64, what: &str) {
    let counts = [Ended::Served, Ended::Refused, Ended::Failed, Ended::Unanswered, Ended::Wrong]
        .map(|of| (of, count(ended, of)));
    println!("{what}: {counts:?}");
    assert_eq!(count(ended, Ended::Unanswered), 0, "{what}: {counts:?}");
    assert_eq!(count(ended, Ended::Wrong), 0, "{what}: {counts:?}");
    let served = count(ended, Ended::Served) as f64;
    assert!(served >= served_part * ended.len() as f64, "{what}: {counts:?}");
}

fn play_with(failures: &[Failure], seed: u64, served_part: f64, what: &str) {
    let world = world(Duration::from_millis(2));
    let mut program = Shims::build().start_with_failures(&world.file, seed, failures, Window::default());
    ready_after(world.listen, Instant::now());
    assert_answered(&play(world.listen, Duration::from_millis(1_200)), served_part, what);
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0), "{what}");
}

/// Guards against an answer or a command that is given up because the system had no memory for it in that moment.
#[test]
fn sends_without_buffers_for_a_moment_lose_no_request() {
    for errno in [Errno::NOBUFS, Errno::NOMEM, Errno::INTR] {
        play_with(
            &[Failure { call: "sendto", errno, per_mille: 200 }],
            1,
            0.95,
            &format!("sendto {errno:?}"),
        );
    }
}

/// Guards against a connection that is taken for lost because one read failed in that moment.
#[test]
fn reads_that_fail_for_a_moment_lose_no_request() {
    for errno in [Errno::NOMEM, Errno::INTR] {
        play_with(
            &[Failure { call: "recvfrom", errno, per_mille: 200 }],
            2,
            0.9,
            &format!("recvfrom {errno:?}"),
        );
    }
}

/// Guards against a host that leaves untold: the thread that waits for signals ended with a read that failed.
#[test]
fn a_host_whose_reads_fail_stays_until_it_is_told_to_leave_and_then_leaves() {
    let world = world(Duration::from_millis(2));
    let failures = [Failure { call: "recvfrom", errno: Errno::NOMEM, per_mille: 500 }];
    let mut program = Shims::build().start_with_failures(&world.file, 6, &failures, Window::default());
    ready_after(world.listen, Instant::now());
    for _ in 0..5 {
        program.signal(Signal::HUP);
        std::thread::sleep(Duration::from_millis(60));
    }
    assert_answered(&play(world.listen, Duration::from_millis(500)), 0.5, "half of all reads fail");
    assert_eq!(program.has_ended(), None);
    assert!(!program.has_said("panicked"));
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
}

/// Guards against a signal that is lost with the send that its handler makes: a host told to leave went on to its kill.
#[test]
fn a_host_told_to_leave_leaves_though_no_send_succeeds_in_that_moment() {
    let world = world(Duration::ZERO);
    let failures = [Failure { call: "sendto", errno: Errno::NOBUFS, per_mille: 1_000 }];
    let when = Window { after_ms: 800, for_ms: Some(400) };
    let mut program = Shims::build().start_with_failures(&world.file, 7, &failures, when);
    let began = Instant::now();
    ready_after(world.listen, began);
    std::thread::sleep(Duration::from_millis(1_000).saturating_sub(began.elapsed()));
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
}

/// Guards against a host that stops taking or watching connections after a call that failed once.
#[test]
fn accepts_and_waits_that_fail_for_a_moment_lose_no_request() {
    for errno in [Errno::CONNABORTED, Errno::NFILE, Errno::NOBUFS, Errno::INTR] {
        let failures = [
            Failure { call: "accept4", errno, per_mille: 300 },
            Failure { call: "epoll_wait", errno: Errno::INTR, per_mille: 200 },
        ];
        play_with(&failures, 3, 0.95, &format!("accept4 {errno:?}"));
    }
}

/// Guards against requests that are refused because the host had no port or descriptor for 300 ms.
#[test]
fn connections_that_cannot_be_begun_for_300_ms_refuse_nothing_that_can_wait() {
    for (call, errno) in
        [("connect", Errno::ADDRNOTAVAIL), ("connect", Errno::INTR), ("socket", Errno::NFILE)]
    {
        let world = world(Duration::from_millis(2));
        let when = Window { after_ms: 700, for_ms: Some(300) };
        let failures = [Failure { call, errno, per_mille: 1_000 }];
        let _program = Shims::build().start_with_failures(&world.file, 4, &failures, when);
        let began = Instant::now();
        ready_after(world.listen, began);
        std::thread::sleep(Duration::from_millis(720).saturating_sub(began.elapsed()));
        let ended = play(world.listen, Duration::from_millis(600));
        assert_answered(&ended, 1.0, &format!("{call} {errno:?}"));
    }
}

/// Guards against a start that is refused because the system had no descriptors in its first moments.
#[test]
fn a_host_starts_though_the_system_has_no_descriptors_in_its_first_moments() {
    for errno in [Errno::NFILE, Errno::NOBUFS] {
        let world = world(Duration::ZERO);
        let when = Window { after_ms: 0, for_ms: Some(400) };
        let failures = [Failure { call: "socket", errno, per_mille: 1_000 }];
        let _program = Shims::build().start_with_failures(&world.file, 5, &failures, when);
        ready_after(world.listen, Instant::now());
        assert_answered(&play(world.listen, Duration::from_millis(300)), 1.0, &format!("socket {errno:?}"));
    }
}

/// Guards against a log that can't be written and ends the thread that writes it: the host stood still.
#[test]
fn a_log_on_a_full_device_changes_nothing_for_clients() {
    let world = world(Duration::from_millis(2));
    let mut program = start_with_full_log(&world.file);
    ready_after(world.listen, Instant::now());
    assert_answered(&play(world.listen, Duration::from_millis(600)), 1.0, "full log");
    program.signal(Signal::HUP);
    assert_answered(&play(world.listen, Duration::from_millis(300)), 1.0, "full log after SIGHUP");
    program.signal(Signal::TERM);
    assert_eq!(program.ends(), Some(0));
}

fn wall_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1_000.0
}

/// Requests that a node is sent in the 400 ms after it restarted, by a host whose wall clock is so far ahead.
fn sent_to_a_restarted_node(program: &Program, world: &World) -> usize {
    ready_after(world.listen, Instant::now());
    let id = program.id();
    assert!(Path::new(&format!("/proc/{id}")).exists());
    // The watch goes on for a while: the host knows when it last heard.
    std::thread::sleep(Duration::from_millis(1_500));
    let started = format!("\"born_ms\":{}", wall_ms() - 50.0);
    let restarted = line("s-1", world.dial, 0, "SERVING").replace("\"born_ms\":0", &started);
    *world.told.lock().unwrap() = (2, whole_list(2, &[restarted]));
    std::thread::sleep(Duration::from_millis(150));
    world.heard.lock().unwrap().clear();
    play(world.listen, Duration::from_millis(400));
    let sent = world.heard.lock().unwrap().len();
    sent
}

/// Guards against slow start that the wall clock of a host decides, off by an hour at its start or set while it runs.
#[test]
fn a_restarted_node_is_sent_the_same_by_hosts_whose_wall_clocks_are_off() {
    let mut sent = Vec::new();
    for (at_start, later) in
        [(0, 0), (HOUR_SECONDS, HOUR_SECONDS), (-HOUR_SECONDS, -HOUR_SECONDS), (0, HOUR_SECONDS)]
    {
        let world = world(Duration::from_millis(2));
        let shims = Shims::build();
        let program = shims.start_with_clock(&world.file, at_start);
        ready_after(world.listen, Instant::now());
        shims.set_clock(later);
        sent.push(((at_start, later), sent_to_a_restarted_node(&program, &world)));
    }
    println!("{sent:?}");
    let right = sent[0].1;
    for (clock, count) in sent {
        // The draw of which requests go to a cold node differs from one run to the next.
        let most = right as f64 + 3.0 * (right as f64).sqrt() + 3.0;
        assert!(count > 0 && (count as f64) <= most, "{clock:?}: {count} sent, {right} with the right clock");
    }
}
