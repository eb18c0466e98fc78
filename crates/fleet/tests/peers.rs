//! A fleet of hosts in one process, and malformed or hostile peers.

use pearfork_fleet::{
    frame, BudgetConsumer, BudgetShare, Demand, FaultInjection, FleetError, FleetMember, FleetSettings,
    VoterAddress,
};
use pearfork_ledger::{Budget, BudgetKind, Fraction, Hello, HostNumber, Message, Timing, PROTOCOL_VERSION};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The budget for the rate limit of the volume `archive`.
fn archive_budget() -> Budget {
    Budget::new(BudgetKind::Limit, "archive")
}

/// A consumer whose demand the test sets.
#[derive(Clone, Default)]
struct FakeConsumer {
    demand: Arc<Mutex<f64>>,
    share: Arc<Mutex<Option<BudgetShare>>>,
}

impl BudgetConsumer for FakeConsumer {
    fn demand(&mut self) -> Vec<Demand> {
        let demand = Fraction::from_f64(*self.demand.lock().unwrap());
        vec![Demand {
            budget: archive_budget(),
            demand,
            min_fraction: Fraction::from_f64(0.01),
            turn: Duration::ZERO,
        }]
    }

    fn apply(&mut self, shares: &[BudgetShare]) -> bool {
        *self.share.lock().unwrap() = shares.iter().find(|s| s.budget == archive_budget()).cloned();
        true
    }
}

impl FakeConsumer {
    fn usable(&self) -> f64 {
        let share = self.share.lock().unwrap();
        let leased =
            share.as_ref().filter(|s| Instant::now() < s.expires_at).map_or(Fraction::ZERO, |s| s.leased);
        leased.as_f64()
    }
}

struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("pearfork-peers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn settings(temp: &TempFolder, hosts: u16) -> Vec<FleetSettings> {
    // All listeners stay open until each voter has a port, so that no two get the same one.
    let listeners: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let voters: Vec<VoterAddress> = (0..3)
        .map(|v| VoterAddress {
            host: HostNumber(v),
            address: listeners[usize::from(v)].local_addr().unwrap(),
        })
        .collect();
    let settings = |host: u16| FleetSettings {
        name: "f".to_owned(),
        host: HostNumber(host),
        max_hosts: 8,
        listen: voters.get(usize::from(host)).map(|v| v.address),
        folder: (host < 3).then(|| temp.0.join(host.to_string())),
        voters: voters.clone(),
        total_floor: Fraction::from_f64(0.02),
        timing: Timing::default(),
        fault_injection: FaultInjection::default(),
    };
    (0..hosts).map(settings).collect()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < deadline, "not within 20 s: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn shares_follow_demand_return_on_leave_and_resist_hostile_peers() {
    let temp = TempFolder::new("bad");
    let settings = settings(&temp, 4);
    let consumers: Vec<FakeConsumer> = settings.iter().map(|_| FakeConsumer::default()).collect();
    let members: Vec<FleetMember> = settings
        .iter()
        .zip(&consumers)
        .map(|(s, c)| FleetMember::start(s.clone(), c.clone()).unwrap())
        .collect();
    *consumers[3].demand.lock().unwrap() = 1.0;
    wait_until("the only host with demand has nearly the whole budget", || consumers[3].usable() > 0.9);
    let address = settings[0].listen.unwrap();
    connect_hostile_peers(address);
    assert!(consumers[3].usable() > 0.9, "hostile peers reduced a share");
    *consumers[1].demand.lock().unwrap() = 1.0;
    wait_until("two hosts with demand have about half each", || {
        (0.4..0.6).contains(&consumers[1].usable()) && (0.4..0.6).contains(&consumers[3].usable())
    });
    // A released share is granted to the other host at once, well before the lease would expire.
    let began = Instant::now();
    members[3].leave();
    assert_eq!(consumers[3].usable(), 0.0);
    wait_until("the remaining host has nearly the whole budget", || consumers[1].usable() > 0.9);
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
    // A second process cannot use the same folder.
    let second = FleetMember::start(
        FleetSettings { listen: Some(free_address()), ..settings[0].clone() },
        FakeConsumer::default(),
    );
    assert!(matches!(second, Err(FleetError::Store(_))));
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn hello(fleet: &str, version: u32, host: u16) -> Vec<u8> {
    let settings_fingerprint = "0".to_owned();
    let mut bytes = Vec::new();
    let hello = Hello { version, fleet: fleet.to_owned(), settings_fingerprint, host: HostNumber(host) };
    frame::encode(&mut bytes, &Message::Hello(hello));
    bytes
}

/// Sends bytes and returns all that is received until the connection closes or fails, or nothing arrives for
/// 10 s.
fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let _ = socket.write_all(request);
    let mut received = Vec::new();
    let _ = socket.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

fn connect_hostile_peers(address: SocketAddr) {
    let before = resident_kib();
    // A frame header that announces a gigabyte, followed by 4 MiB of data.
    let mut oversized = vec![0x40, 0, 0, 0, 1, 2, 3, 4];
    oversized.resize(4 << 20, 7);
    assert!(!exchange(address, &oversized).contains("hello"), "an oversized frame closes the connection");
    assert!(exchange(address, b"GET / HTTP/1.1\r\n\r\n").is_empty());
    let mut corrupted = hello("f", PROTOCOL_VERSION, 3);
    let last = corrupted.len() - 1;
    corrupted[last] ^= 1;
    assert!(exchange(address, &corrupted).is_empty(), "a frame with a wrong checksum gets no response");
    assert!(exchange(address, &hello("g", PROTOCOL_VERSION, 3)).contains("this is fleet `f`, not `g`"));
    assert!(exchange(address, &hello("f", PROTOCOL_VERSION + 1, 3)).contains("speaks protocol version"));
    assert!(exchange(address, &hello("f", PROTOCOL_VERSION, 3)).contains("settings differ"));
    // 60 peers that connect and send nothing, and one that sends continuously and never reads.
    let silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut flood = TcpStream::connect(address).unwrap();
    flood.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let message = hello("g", PROTOCOL_VERSION, 3);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(500) && flood.write_all(&message).is_ok() {}
    drop(silent);
    let growth_kib = resident_kib().saturating_sub(before);
    assert!(growth_kib < 40_000, "resident memory grew by {growth_kib} KiB");
}
