//! A fleet in one process, and peers that mean it no good.

use pearfork_fleet::{
    frame, Demand, FaultInjection, Fleet, FleetError, FleetPlan, Portion, User, VoterAddress,
};
use pearfork_ledger::{Budget, Fraction, Hello, HostNumber, Kind, Message, Times, VERSION};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn archive() -> Budget {
    Budget::new(Kind::Limit, "archive")
}

/// A user whose clients ask for what the test says.
#[derive(Clone, Default)]
struct Clients {
    asked: Arc<Mutex<f64>>,
    has: Arc<Mutex<Option<Portion>>>,
}

impl User for Clients {
    fn demand(&mut self) -> Vec<Demand> {
        let asked = Fraction::from_f64(*self.asked.lock().unwrap());
        vec![Demand { budget: archive(), asked, least: Fraction::from_f64(0.01), turn: Duration::ZERO }]
    }

    fn apply(&mut self, portions: &[Portion]) -> bool {
        *self.has.lock().unwrap() = portions.iter().find(|p| p.budget == archive()).cloned();
        true
    }
}

impl Clients {
    fn may_use(&self) -> f64 {
        let has = self.has.lock().unwrap();
        let lent = has.as_ref().filter(|p| Instant::now() < p.until).map_or(Fraction::ZERO, |p| p.lent);
        lent.as_f64()
    }
}

struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("pearfork-peers-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn plans(scratch: &Scratch, hosts: u16) -> Vec<FleetPlan> {
    let held: Vec<TcpListener> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let voters: Vec<VoterAddress> = (0..3)
        .map(|v| VoterAddress { host: HostNumber(v), address: held[usize::from(v)].local_addr().unwrap() })
        .collect();
    let plan = |me: u16| FleetPlan {
        name: "f".to_owned(),
        me: HostNumber(me),
        hosts: 8,
        listen: voters.get(usize::from(me)).map(|v| v.address),
        folder: (me < 3).then(|| scratch.0.join(me.to_string())),
        voters: voters.clone(),
        floors: Fraction::from_f64(0.02),
        times: Times::default(),
        fault_injection: FaultInjection::default(),
    };
    (0..hosts).map(plan).collect()
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Kilobytes that this process holds.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_part_follows_demand_goes_back_at_a_leave_and_bad_peers_change_nothing() {
    let scratch = Scratch::new("bad");
    let plans = plans(&scratch, 4);
    let clients: Vec<Clients> = plans.iter().map(|_| Clients::default()).collect();
    let fleets: Vec<Fleet> =
        plans.iter().zip(&clients).map(|(p, c)| Fleet::start(p.clone(), c.clone()).unwrap()).collect();
    *clients[3].asked.lock().unwrap() = 1.0;
    eventually("the only one that asks has nearly all", || clients[3].may_use() > 0.9);
    let address = plans[0].listen.unwrap();
    bad_peers(address);
    assert!(clients[3].may_use() > 0.9, "bad peers took nothing away");
    *clients[1].asked.lock().unwrap() = 1.0;
    eventually("two that ask have about half each", || {
        (0.4..0.6).contains(&clients[1].may_use()) && (0.4..0.6).contains(&clients[3].may_use())
    });
    // What is given back is lent on at once: well before the lease would be over.
    let began = Instant::now();
    fleets[3].leave();
    assert_eq!(clients[3].may_use(), 0.0);
    eventually("the one that is left has nearly all", || clients[1].may_use() > 0.9);
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
    // The same folder is nobody else's.
    let second = Fleet::start(FleetPlan { listen: Some(free()), ..plans[0].clone() }, Clients::default());
    assert!(matches!(second, Err(FleetError::Store(_))));
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn hello(fleet: &str, version: u32, host: u16) -> Vec<u8> {
    let settings = "0".to_owned();
    let mut out = Vec::new();
    let hello = Hello { version, fleet: fleet.to_owned(), settings, host: HostNumber(host) };
    frame::put(&mut out, &Message::Hello(hello));
    out
}

/// What a peer is told before it is cut off.
fn told(address: SocketAddr, says: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let _ = socket.write_all(says);
    let mut all = Vec::new();
    let _ = socket.read_to_end(&mut all);
    String::from_utf8_lossy(&all).into_owned()
}

fn bad_peers(address: SocketAddr) {
    let before = resident();
    // A length of a gigabyte, and then as much as it will take.
    let mut long = vec![0x40, 0, 0, 0, 1, 2, 3, 4];
    long.resize(4 << 20, 7);
    assert!(!told(address, &long).contains("hello"), "cut off");
    assert!(told(address, b"GET / HTTP/1.1\r\n\r\n").is_empty());
    let mut spoilt = hello("f", VERSION, 3);
    let last = spoilt.len() - 1;
    spoilt[last] ^= 1;
    assert!(told(address, &spoilt).is_empty(), "a wrong checksum is no message");
    assert!(told(address, &hello("g", VERSION, 3)).contains("this is fleet `f`, not `g`"));
    assert!(told(address, &hello("f", VERSION + 1, 3)).contains("speaks version"));
    assert!(told(address, &hello("f", VERSION, 3)).contains("settings differ"));
    // Hundreds that connect and say nothing, and one that asks without end and never reads.
    let silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut flood = TcpStream::connect(address).unwrap();
    flood.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let one = hello("g", VERSION, 3);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(500) && flood.write_all(&one).is_ok() {}
    drop(silent);
    let more = resident().saturating_sub(before);
    assert!(more < 40_000, "{more} KiB more");
}
