//! Small stand-ins for the cases of the second review, with the standard library alone: an iSCSI initiator, a
//! storage node with a repeat key cache, the directory, and the start of a gateway as a process of its own.
//!
//! The bytes on the wire follow RFC 7143 and SBC-3; the node extension and the directory follow
//! `docs/design/running-host.md`. Everything listens on and connects to loopback addresses only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Writes what was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} ms  {}\n", self.ms(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A temporary folder, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> io::Result<TempFolder> {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
        let path = std::env::temp_dir().join(format!("pearfork-{name}-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address that nobody listens at now. Its port is below those that systems give to connections, so
/// that none of these takes it before the gateway does.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos();
    let start = nanos.wrapping_add(std::process::id().wrapping_mul(40_503));
    for _ in 0..2_000 {
        let port = 12_000 + start.wrapping_add(NEXT.fetch_add(7, Ordering::SeqCst)) % 18_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no free port"))
}

/// The gateway as a process; killed at the end.
pub struct Gateway {
    child: Arc<Mutex<Child>>,
    pub address: SocketAddr,
    log: PathBuf,
}

extern "C" {
    fn sched_getaffinity(pid: i32, bytes: usize, mask: *mut u64) -> i32;
    fn sched_setaffinity(pid: i32, bytes: usize, mask: *const u64) -> i32;
}

/// Keeps the calling process to the last of the cores that it may run on.
fn keep_to_one_core() -> io::Result<()> {
    let mut mask = [0u64; 16];
    // SAFETY: the mask is as long as the calls are told.
    unsafe {
        if sched_getaffinity(0, 128, mask.as_mut_ptr()) < 0 {
            return Err(io::Error::last_os_error());
        }
        let word = mask.iter().rposition(|w| *w != 0).ok_or(io::ErrorKind::NotFound)?;
        let bit = 63 - mask[word].leading_zeros();
        mask = [0; 16];
        mask[word] = 1 << bit;
        if sched_setaffinity(0, 128, mask.as_ptr()) < 0 {
            return Err(io::Error::last_os_error());
        }
    }
    Ok(())
}

/// All gateways that were started, so that none outlives the case.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

fn end(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap();
    let _ = child.kill();
    let _ = child.wait();
}

impl Gateway {
    /// Starts `pearfork-gateway serve` from the repository's root and waits until it listens.
    pub fn serve(root: &Path, config: &Path, address: SocketAddr, log: &Path) -> io::Result<Gateway> {
        let mut gateway = Gateway::spawn(root, config, address, log)?;
        gateway.wait_until_listening(Duration::from_secs(15))?;
        Ok(gateway)
    }

    /// Like [`Gateway::serve`], on a machine with one core: the process may run on one of this machine's alone.
    pub fn serve_on_one_core(root: &Path, config: &Path, address: SocketAddr, log: &Path) -> io::Result<Gateway> {
        let mut gateway = Gateway::start(root, config, address, log, true)?;
        gateway.wait_until_listening(Duration::from_secs(15))?;
        Ok(gateway)
    }

    /// Starts the process without waiting for it.
    pub fn spawn(root: &Path, config: &Path, address: SocketAddr, log: &Path) -> io::Result<Gateway> {
        Gateway::start(root, config, address, log, false)
    }

    fn start(root: &Path, config: &Path, address: SocketAddr, log: &Path, one_core: bool) -> io::Result<Gateway> {
        let path = log.to_owned();
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new("target/release/pearfork-gateway");
        command
            .args(["serve", "--config"])
            .arg(config)
            .current_dir(root)
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        if one_core {
            // SAFETY: the closure makes system calls alone, on memory of its own.
            unsafe { command.pre_exec(keep_to_one_core) };
        }
        let child = command.spawn()?;
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(child.clone());
        Ok(Gateway { child, address, log: path })
    }

    pub fn wait_until_listening(&mut self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        loop {
            if TcpStream::connect_timeout(&self.address, Duration::from_millis(200)).is_ok() {
                return Ok(());
            }
            if let Some(status) = self.child.lock().unwrap().try_wait()? {
                let text = std::fs::read_to_string(&self.log).unwrap_or_default();
                let last = text.lines().rev().take(6).collect::<Vec<_>>().join(" / ");
                return Err(io::Error::other(format!("the gateway ended: {status}: {last}")));
            }
            if Instant::now() >= until {
                return Err(io::Error::other("the gateway does not listen"));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// SIGTERM, and the end of the process, which is waited for. Returns whether it ended by itself.
    pub fn terminate(&mut self, limit: Duration) -> bool {
        let _ = Command::new("kill").arg("-TERM").arg(self.pid().to_string()).status();
        let until = Instant::now() + limit;
        while self.is_running() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let ended = !self.is_running();
        self.kill();
        ended
    }

    /// SIGKILL, and the end of the process.
    pub fn kill(&mut self) {
        end(&self.child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn be32(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

fn put32(b: &mut [u8], at: usize, v: u32) {
    b[at..at + 4].copy_from_slice(&v.to_be_bytes());
}

const RESERVED: u32 = 0xffff_ffff;

/// A PDU: header, additional header segments and data.
#[derive(Clone)]
pub struct Pdu {
    pub bhs: [u8; 48],
    pub ahs: Vec<u8>,
    pub data: Vec<u8>,
}

impl Pdu {
    pub fn new(opcode: u8, itt: u32) -> Pdu {
        let mut bhs = [0; 48];
        (bhs[0], bhs[1]) = (opcode, 0x80);
        put32(&mut bhs, 16, itt);
        Pdu { bhs, ahs: Vec::new(), data: Vec::new() }
    }

    pub fn opcode(&self) -> u8 {
        self.bhs[0] & 0x3f
    }

    pub fn itt(&self) -> u32 {
        be32(&self.bhs, 16)
    }

    pub fn set(&mut self, at: usize, v: u32) -> &mut Pdu {
        put32(&mut self.bhs, at, v);
        self
    }

    pub fn get(&self, at: usize) -> u32 {
        be32(&self.bhs, at)
    }

    pub fn send(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut out = self.bhs.to_vec();
        out[4] = (self.ahs.len() / 4) as u8;
        out[5..8].copy_from_slice(&(self.data.len() as u32).to_be_bytes()[1..]);
        out.extend_from_slice(&self.ahs);
        out.extend_from_slice(&self.data);
        out.resize(48 + self.ahs.len() + self.data.len().next_multiple_of(4), 0);
        stream.write_all(&out)
    }

    pub fn receive(stream: &mut TcpStream) -> io::Result<Pdu> {
        let mut bhs = [0; 48];
        stream.read_exact(&mut bhs)?;
        let mut ahs = vec![0; usize::from(bhs[4]) * 4];
        stream.read_exact(&mut ahs)?;
        let length = be32(&[0, bhs[5], bhs[6], bhs[7]], 0) as usize;
        let mut data = vec![0; length.next_multiple_of(4)];
        stream.read_exact(&mut data)?;
        data.truncate(length);
        Ok(Pdu { bhs, ahs, data })
    }
}

// ---- The initiator --------------------------------------------------------------------------------------

/// How a command ended.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u8,
    /// The residual count: negative for an underflow.
    pub residual: i64,
    pub data: Vec<u8>,
    pub sense: Vec<u8>,
}

impl Answer {
    pub fn is_good(&self) -> bool {
        self.status == 0
    }
}

/// One session of a client, with one command at a time unless the caller does otherwise.
pub struct Initiator {
    pub stream: TcpStream,
    pub cmd_sn: u32,
    pub exp_stat_sn: u32,
    next_itt: u32,
    pub first_burst: usize,
    pub immediate_data: bool,
    pub target_max_data: usize,
}

impl Initiator {
    /// Connects and logs in with the keys that usual initiators offer.
    pub fn login(address: SocketAddr, name: &str, target: &str, limit: Duration) -> io::Result<Initiator> {
        let mut stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        let mut pdu = Pdu::new(0x43, 1);
        pdu.bhs[1] = 0x80 | 1 << 2 | 3;
        pdu.bhs[8..14].copy_from_slice(&[0x80, 0, 0, 1, 0, 1]);
        pdu.set(24, 1);
        for text in [
            format!("InitiatorName={name}"),
            format!("TargetName={target}"),
            "SessionType=Normal".to_owned(),
            "HeaderDigest=None".to_owned(),
            "DataDigest=None".to_owned(),
            "MaxRecvDataSegmentLength=262144".to_owned(),
            "MaxBurstLength=262144".to_owned(),
            "FirstBurstLength=65536".to_owned(),
            "InitialR2T=Yes".to_owned(),
            "ImmediateData=Yes".to_owned(),
            "MaxConnections=1".to_owned(),
            "MaxOutstandingR2T=1".to_owned(),
            "ErrorRecoveryLevel=0".to_owned(),
            "DefaultTime2Wait=2".to_owned(),
            "DefaultTime2Retain=0".to_owned(),
        ] {
            pdu.data.extend_from_slice(text.as_bytes());
            pdu.data.push(0);
        }
        pdu.send(&mut stream)?;
        let answer = Pdu::receive(&mut stream)?;
        if answer.opcode() != 0x23 || answer.bhs[36] != 0 || answer.bhs[1] & 0x83 != 0x83 {
            return Err(io::Error::other("login refused"));
        }
        let text = String::from_utf8_lossy(&answer.data).into_owned();
        let number = |key: &str| -> Option<usize> {
            text.split('\0').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse().ok())
        };
        Ok(Initiator {
            stream,
            cmd_sn: 1,
            exp_stat_sn: answer.get(24).wrapping_add(1),
            next_itt: 10,
            first_burst: number("FirstBurstLength").unwrap_or(65_536).min(65_536),
            immediate_data: !text.split('\0').any(|p| p == "ImmediateData=No"),
            target_max_data: number("MaxRecvDataSegmentLength").unwrap_or(8_192),
        })
    }

    /// Sends the command PDU of a CDB; returns its tag. `immediate` sets the I bit.
    pub fn start(&mut self, cdb: [u8; 16], read_len: u32, out: &[u8], immediate: bool) -> io::Result<u32> {
        let itt = self.next_itt;
        self.next_itt += 1;
        let mut pdu = Pdu::new(if immediate { 0x41 } else { 0x01 }, itt);
        pdu.bhs[1] = 0x80 | if out.is_empty() { 0 } else { 0x20 } | if read_len > 0 { 0x40 } else { 0 } | 1;
        pdu.set(20, if out.is_empty() { read_len } else { out.len() as u32 });
        pdu.set(24, self.cmd_sn).set(28, self.exp_stat_sn);
        pdu.bhs[32..48].copy_from_slice(&cdb);
        if self.immediate_data {
            let n = out.len().min(self.first_burst).min(self.target_max_data);
            pdu.data = out[..n].to_vec();
        }
        if !immediate {
            self.cmd_sn = self.cmd_sn.wrapping_add(1);
        }
        pdu.send(&mut self.stream)?;
        Ok(itt)
    }

    /// Waits for the end of a command, and sends the data that the target asks for.
    pub fn finish(&mut self, itt: u32, out: &[u8]) -> io::Result<Answer> {
        let mut data = Vec::new();
        loop {
            let pdu = Pdu::receive(&mut self.stream)?;
            let residual = match pdu.bhs[1] & 6 {
                2 => -i64::from(pdu.get(44)),
                4 => i64::from(pdu.get(44)),
                _ => 0,
            };
            match pdu.opcode() {
                0x31 if pdu.itt() == itt => {
                    let (start, len) = (pdu.get(40) as usize, pdu.get(44) as usize);
                    let mut sent = 0;
                    let mut sn = 0;
                    while sent < len {
                        let n = (len - sent).min(self.target_max_data);
                        let mut d = Pdu::new(0x05, itt);
                        d.bhs[1] = if sent + n == len { 0x80 } else { 0 };
                        d.set(20, pdu.get(20)).set(28, self.exp_stat_sn);
                        d.set(36, sn).set(40, (start + sent) as u32);
                        d.data = out[start + sent..start + sent + n].to_vec();
                        d.send(&mut self.stream)?;
                        (sent, sn) = (sent + n, sn + 1);
                    }
                }
                0x25 if pdu.itt() == itt => {
                    data.extend_from_slice(&pdu.data);
                    if pdu.bhs[1] & 1 != 0 {
                        self.exp_stat_sn = pdu.get(24).wrapping_add(1);
                        return Ok(Answer { status: pdu.bhs[3], residual, data, sense: Vec::new() });
                    }
                }
                0x21 if pdu.itt() == itt => {
                    self.exp_stat_sn = pdu.get(24).wrapping_add(1);
                    let status = if pdu.bhs[2] != 0 { 0xff } else { pdu.bhs[3] };
                    return Ok(Answer { status, residual, data, sense: pdu.data });
                }
                0x3f => return Err(io::Error::other(format!("rejected, reason {}", pdu.bhs[2]))),
                _ => {}
            }
        }
    }

    pub fn command(&mut self, cdb: [u8; 16], read_len: u32, out: &[u8]) -> io::Result<Answer> {
        let itt = self.start(cdb, read_len, out, false)?;
        self.finish(itt, out)
    }

    /// ABORT TASK; returns the target's response code, 0 for "function complete".
    pub fn abort(&mut self, task: u32) -> io::Result<u8> {
        let itt = self.next_itt;
        self.next_itt += 1;
        let mut pdu = Pdu::new(0x42, itt);
        pdu.bhs[1] = 0x81;
        pdu.set(20, task).set(24, self.cmd_sn).set(28, self.exp_stat_sn);
        pdu.send(&mut self.stream)?;
        loop {
            let pdu = Pdu::receive(&mut self.stream)?;
            if pdu.opcode() == 0x22 && pdu.itt() == itt {
                self.exp_stat_sn = pdu.get(24).wrapping_add(1);
                return Ok(pdu.bhs[2]);
            }
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Until the command ends otherwise than BUSY or TASK SET FULL, for 10 s at most.
    pub fn patient(&mut self, cdb: [u8; 16], read_len: u32, out: &[u8]) -> io::Result<Answer> {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let answer = self.command(cdb, read_len, out)?;
            if !matches!(answer.status, 0x08 | 0x28) || Instant::now() >= until {
                return Ok(answer);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

pub fn read16(lba: u64, blocks: u32) -> [u8; 16] {
    let mut c = [0; 16];
    c[0] = 0x88;
    c[2..10].copy_from_slice(&lba.to_be_bytes());
    c[10..14].copy_from_slice(&blocks.to_be_bytes());
    c
}

pub fn write16(lba: u64, blocks: u32) -> [u8; 16] {
    let mut c = read16(lba, blocks);
    c[0] = 0x8a;
    c
}

pub fn inquiry(page: u8, length: u16) -> [u8; 16] {
    let mut c = [0; 16];
    (c[0], c[1], c[2]) = (0x12, 1, page);
    c[3..5].copy_from_slice(&length.to_be_bytes());
    c
}

// ---- The node -------------------------------------------------------------------------------------------

/// A storage node: an iSCSI target that keeps blocks in memory, runs each command as it comes, and drops a
/// write whose repeat key it has applied within its window.
pub struct Node {
    pub address: SocketAddr,
    pub state: Arc<NodeState>,
}

pub struct NodeState {
    name: String,
    record: Record,
    block: usize,
    window: Duration,
    /// Blocks by LUN and block number.
    blocks: Mutex<HashMap<(u64, u64), Vec<u8>>>,
    keys: Mutex<HashMap<Vec<u8>, Instant>>,
    /// How late a new connection comes up, in milliseconds.
    pub late_ms: AtomicU64,
    pub writes: Mutex<Vec<NodeWrite>>,
    connections: AtomicU32,
}

/// A write that the node got.
#[derive(Clone, Debug)]
pub struct NodeWrite {
    /// When its last byte had come, in milliseconds of the record.
    pub at_ms: f64,
    pub connection: u32,
    pub lba: u64,
    pub first_byte: u8,
    pub key: Vec<u8>,
    pub dropped_as_repeat: bool,
}

impl Node {
    pub fn start(name: &str, block: usize, window: Duration, record: &Record) -> io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(NodeState {
            name: name.to_owned(),
            record: record.clone(),
            block,
            window,
            blocks: Mutex::default(),
            keys: Mutex::default(),
            late_ms: AtomicU64::new(0),
            writes: Mutex::default(),
            connections: AtomicU32::new(0),
        });
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok(Node { address, state })
    }
}

impl NodeState {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let connection = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let login = Pdu::receive(&mut stream)?;
        let late = self.late_ms.load(Ordering::SeqCst);
        self.record.line(format!("node {}: connection {connection} opened, comes up after {late} ms", self.name));
        std::thread::sleep(Duration::from_millis(late));
        let mut stat_sn = 1u32;
        let mut exp_cmd_sn = login.get(24);
        let mut answer = Pdu::new(0x23, login.itt());
        answer.bhs[1] = 0x87;
        answer.bhs[8..14].copy_from_slice(&login.bhs[8..14]);
        answer.bhs[15] = 1;
        answer.set(24, stat_sn).set(28, exp_cmd_sn).set(32, exp_cmd_sn.wrapping_add(63));
        stat_sn += 1;
        for text in [
            "TargetPortalGroupTag=1",
            "HeaderDigest=None",
            "DataDigest=None",
            "MaxRecvDataSegmentLength=262144",
            "MaxBurstLength=262144",
            "FirstBurstLength=65536",
            "InitialR2T=No",
            "ImmediateData=Yes",
            "MaxConnections=1",
            "MaxOutstandingR2T=1",
            "ErrorRecoveryLevel=0",
            "DefaultTime2Wait=2",
            "DefaultTime2Retain=0",
            "iSCSIProtocolLevel=2",
            "X-org.pearfork.node=Yes",
        ] {
            answer.data.extend_from_slice(text.as_bytes());
            answer.data.push(0);
        }
        answer.send(&mut stream)?;
        // Writes whose data is not complete, by tag: the command and what has come.
        let mut open: BTreeMap<u32, Pdu> = BTreeMap::new();
        loop {
            let pdu = Pdu::receive(&mut stream)?;
            let immediate = pdu.bhs[0] & 0x40 != 0;
            let itt = pdu.itt();
            if pdu.opcode() != 0x05 && !immediate {
                exp_cmd_sn = pdu.get(24).wrapping_add(1);
            }
            let window = |p: &mut Pdu, stat_sn: u32| {
                p.set(24, stat_sn).set(28, exp_cmd_sn).set(32, exp_cmd_sn.wrapping_add(63));
            };
            let whole = match pdu.opcode() {
                0x01 => Some(pdu),
                0x05 => {
                    if let Some(command) = open.get_mut(&itt) {
                        command.data.extend_from_slice(&pdu.data);
                    }
                    if pdu.bhs[1] & 0x80 != 0 {
                        open.remove(&itt)
                    } else {
                        None
                    }
                }
                0x02 => {
                    open.remove(&pdu.get(20));
                    let mut p = Pdu::new(0x22, itt);
                    window(&mut p, stat_sn);
                    p.bhs[2] = 1;
                    stat_sn += 1;
                    p.send(&mut stream)?;
                    None
                }
                0x00 if itt != RESERVED => {
                    let mut p = Pdu::new(0x20, itt);
                    window(&mut p, stat_sn);
                    p.set(20, RESERVED);
                    stat_sn += 1;
                    p.send(&mut stream)?;
                    None
                }
                0x06 => {
                    let mut p = Pdu::new(0x26, itt);
                    window(&mut p, stat_sn);
                    p.send(&mut stream)?;
                    return Ok(());
                }
                _ => None,
            };
            let Some(command) = whole else { continue };
            let is_write = command.bhs[1] & 0x20 != 0;
            let expected = command.get(20) as usize;
            if is_write && command.data.len() < expected {
                let have = command.data.len();
                let mut p = Pdu::new(0x31, itt);
                window(&mut p, stat_sn);
                let n = (expected - have).min(262_144);
                p.set(20, itt).set(36, 0).set(40, have as u32).set(44, n as u32);
                p.bhs[8..16].copy_from_slice(&command.bhs[8..16]);
                open.insert(itt, command);
                p.send(&mut stream)?;
                continue;
            }
            let (lun, cdb) = (u64::from(be32(&command.bhs, 8)) << 32 | u64::from(be32(&command.bhs, 12)), &command.bhs[32..48]);
            let lba = u64::from(be32(cdb, 2)) << 32 | u64::from(be32(cdb, 6));
            let count = be32(cdb, 10);
            if cdb[0] == 0x88 {
                let mut data = Vec::with_capacity(expected);
                {
                    let blocks = self.blocks.lock().unwrap();
                    for i in 0..u64::from(count) {
                        match blocks.get(&(lun, lba + i)) {
                            Some(b) => data.extend_from_slice(b),
                            None => data.resize(data.len() + self.block, 0),
                        }
                    }
                }
                let (mut offset, mut sn) = (0, 0);
                while offset < data.len() {
                    let n = (data.len() - offset).min(8_192);
                    let mut p = Pdu::new(0x25, itt);
                    window(&mut p, 0);
                    p.bhs[1] = if offset + n == data.len() { 0x80 } else { 0 };
                    p.set(20, RESERVED).set(36, sn).set(40, offset as u32);
                    p.data = data[offset..offset + n].to_vec();
                    p.send(&mut stream)?;
                    (offset, sn) = (offset + n, sn + 1);
                }
            } else if cdb[0] == 0x8a {
                self.write(connection, lun, lba, &command);
            }
            let mut p = Pdu::new(0x21, itt);
            window(&mut p, stat_sn);
            stat_sn += 1;
            p.send(&mut stream)?;
        }
    }

    fn write(&self, connection: u32, lun: u64, lba: u64, command: &Pdu) {
        // The repeat key is the first 14 bytes of the segment of type 62: host, start, session, CmdSN, part.
        let key = if command.ahs.len() >= 18 && command.ahs[2] == 62 << 2 { command.ahs[4..18].to_vec() } else { Vec::new() };
        let repeat = !key.is_empty() && {
            let mut keys = self.keys.lock().unwrap();
            match keys.get(&key) {
                Some(at) if at.elapsed() < self.window => true,
                _ => {
                    keys.insert(key.clone(), Instant::now());
                    false
                }
            }
        };
        if !repeat {
            let mut blocks = self.blocks.lock().unwrap();
            for (i, b) in command.data.chunks(self.block).enumerate() {
                blocks.insert((lun, lba + i as u64), b.to_vec());
            }
        }
        let first_byte = command.data.first().copied().unwrap_or(0);
        let hex: String = key.iter().map(|b| format!("{b:02x}")).collect();
        self.record.line(format!(
            "node {}: connection {connection}: write of {} bytes {first_byte:?} at block {lba}, key {hex}: {}",
            self.name,
            command.data.len(),
            if repeat { "dropped as a repeat" } else { "applied" }
        ));
        self.writes.lock().unwrap().push(NodeWrite {
            at_ms: self.record.ms(),
            connection,
            lba,
            first_byte,
            key,
            dropped_as_repeat: repeat,
        });
    }

    /// The byte that fills a block now.
    pub fn byte_at(&self, lun: u64, lba: u64) -> u8 {
        self.blocks.lock().unwrap().get(&(lun, lba)).and_then(|b| b.first().copied()).unwrap_or(0)
    }
}

// ---- The directory --------------------------------------------------------------------------------------

/// Serves a node list that never changes: each entry is node, shard and address.
pub fn directory(nodes: Vec<(u32, u16, SocketAddr)>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let entries: Vec<String> = nodes
        .iter()
        .map(|(n, s, a)| {
            format!(r#"{{"node":{n},"shard":{s},"zone":0,"state":"ready","started_ms":0.0,"address":"{a}"}}"#)
        })
        .collect();
    let whole = format!(r#"{{"revision":1,"full":true,"nodes":[{}]}}"#, entries.join(","));
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let whole = whole.clone();
            std::thread::spawn(move || {
                let mut head = Vec::new();
                let mut chunk = [0; 1024];
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                while !head.windows(4).any(|w| w == b"\r\n\r\n") {
                    match stream.read(&mut chunk) {
                        Ok(n) if n > 0 => head.extend_from_slice(&chunk[..n]),
                        _ => return,
                    }
                }
                let text = String::from_utf8_lossy(&head).into_owned();
                let wait = text.split("wait_ms=").nth(1).map(|t| t.chars().take_while(char::is_ascii_digit).collect::<String>());
                let body = if text.contains("after=1") {
                    let wait: u64 = wait.and_then(|w| w.parse().ok()).unwrap_or(0);
                    std::thread::sleep(Duration::from_millis(wait.min(30_000)));
                    r#"{"revision":1,"full":false,"nodes":[]}"#.to_owned()
                } else {
                    whole
                };
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                    body.len()
                );
            });
        }
    });
    Ok(address)
}

/// Whether the script is to cause the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Runs a case: `body` gets the repository's root and the record, and returns an exit code.
pub fn main_with(body: impl FnOnce(&Path, &Record) -> io::Result<i32> + Send + 'static) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let root = std::env::args().nth(2).map_or_else(|| PathBuf::from("."), PathBuf::from);
    let record = Record::create(&folder.join("record.txt")).unwrap_or_else(|e| {
        eprintln!("{}: {e}", folder.display());
        std::process::exit(NOT_RUN)
    });
    // Whatever hangs, the case ends; a child that is left is ended by the drop in its own thread below.
    let (done, ended) = std::sync::mpsc::channel();
    let own = record.clone();
    std::thread::spawn(move || {
        let code = body(&root, &own).unwrap_or_else(|e| {
            own.line(format!("the case could not run: {e}"));
            NOT_RUN
        });
        let _ = done.send(code);
    });
    let code = ended.recv_timeout(Duration::from_secs(110)).unwrap_or(NOT_RUN);
    STARTED.lock().unwrap().iter().for_each(|child| end(child));
    record.line(match code {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case did not run",
    });
    std::process::exit(code)
}

/// Distinct values, for a summary.
pub fn distinct(values: impl Iterator<Item = u8>) -> usize {
    values.collect::<HashSet<u8>>().len()
}

/// Settings of a host of a small deployment: the classes of the quickstart, one plan, one volume of 64 MiB on
/// one shard.
pub struct HostConfig {
    pub number: u16,
    pub hosts: u32,
    pub listen: SocketAddr,
    pub directory: SocketAddr,
    pub transport: &'static str,
    pub block: &'static str,
    /// Tables of volumes above that of the volume "demo".
    pub volumes_before: &'static str,
}

impl HostConfig {
    pub fn write(&self, file: &Path) -> io::Result<()> {
        let HostConfig { number, hosts, listen, directory, transport, block, volumes_before } = self;
        let text = format!(
            r#"[host]
number = {number}
hosts = {hosts}
listen = "{listen}"

[directory]
address = "{directory}"

[transport]
{transport}

[rules]
max_attempts = 4
max_retry_after = "1s"
drain_grace = "2s"
cold_from = 0.2
warm_after = "10s"
fall_multiple = 4
fall = "2s"
cold_units = 40
unit = "16KiB"
mean_units = 2
max_units = 8
share_worth = 0.5
spare_worth = 0.1
retry_budget = {{ free = 3, ratio = 0.15, span = "5s" }}

[[class]]
name = "read"
aim = "150ms"
deadline = "2s"
worth = 2
late_worth = 0.2
effect = "safe"

[[class]]
name = "write"
aim = "250ms"
deadline = "2s"
worth = 2
late_worth = 0.2
effect = "keyed"
group = "shard"
window = "1.2s"

[[class]]
name = "compare-and-write"
aim = "250ms"
deadline = "2s"
worth = 2
late_worth = 0.2
effect = "unsafe"

[match]
rules = '''
class "compare-and-write" if op == "compare-and-write";
class "write" if op == "write";
class "read" otherwise;
'''

[[plan]]
name = "standard"
nominal = 400

{volumes_before}[[volume]]
name = "demo"
target = "iqn.2026-12.org.pearfork:demo"
lun = 0
size = "64MiB"
block = "{block}"
extent = "1MiB"
shards = [0]
plan = "standard"
"#
        );
        std::fs::write(file, text)
    }
}

pub const TARGET: &str = "iqn.2026-12.org.pearfork:demo";
