//! A client closes its session while the host's connection to the node comes up late. The write that it left
//! behind must not go out any more.

#[path = "../standins-2/iscsi.rs"]
mod iscsi;

use iscsi::*;
use std::sync::atomic::Ordering;
use std::time::Duration;

const BLOCK: usize = 512;
/// How late the connection comes up. The pages name up to 1 s.
const LATE_MS: u64 = 600;
/// An attempt that begins later than this after the close is a break; every time limit is 50 ms longer.
const MAX_AFTER_CLOSE_MS: f64 = 100.0 + 50.0;

fn main() {
    main_with(|root, record| {
        let folder = TempFolder::new("case8")?;
        let node = Node::start("1", BLOCK, Duration::from_millis(1_200), record)?;
        let directory = directory(vec![(1, 0, node.address)])?;
        let mut gateways = Vec::new();
        for number in 0..2 {
            let listen = free_address()?;
            let config = folder.0.join(format!("host{number}.toml"));
            // A connection with its login has 1.5 s to come up.
            let transport = "connect_timeout = \"1500ms\"";
            HostConfig { number, hosts: 2, listen, directory, transport, block: "512B", volumes_before: "" }.write(&config)?;
            gateways.push(Gateway::serve(root, &config, listen, &folder.0.join("log"))?);
        }
        let limit = Duration::from_secs(10);
        let login = |g: &Gateway, name: &str| {
            Initiator::login(g.address, &format!("iqn.2026-12.org.pearfork:{name}"), TARGET, limit)
        };

        // The second path is in use: its host has a connection to the node.
        let mut second = login(&gateways[1], "client-path-2")?;
        let answer = second.patient(write16(7, 1), 0, &[b'0'; BLOCK])?;
        if !answer.is_good() {
            return Ok(NOT_RUN);
        }
        record.line("path 2: block 7 holds '0'");

        // The first path: this is the first work of host 0, so that it connects to the node now.
        let mut first = login(&gateways[0], "client-path-1")?;
        node.state.late_ms.store(if trouble() { LATE_MS } else { 0 }, Ordering::SeqCst);
        record.line("path 1: WRITE of 'A' at block 7");
        first.start(write16(7, 1), 0, &[b'A'; BLOCK], false)?;
        std::thread::sleep(Duration::from_millis(100));
        first.close();
        let closed_at = record.ms();
        record.line("path 1: the client has closed its connection without an answer");
        std::thread::sleep(Duration::from_millis(50));
        let answer = second.patient(write16(7, 1), 0, &[b'B'; BLOCK])?;
        record.line(format!("path 2: WRITE of 'B' at block 7: status {:#x}", answer.status));
        if !answer.is_good() {
            return Ok(NOT_RUN);
        }
        std::thread::sleep(Duration::from_millis(1_500));
        let read = second.patient(read16(7, 1), BLOCK as u32, &[])?;
        let byte = read.data.first().copied().unwrap_or(0);
        record.line(format!("path 2: READ of block 7: status {:#x}, {:?}", read.status, char::from(byte)));

        let writes = node.state.writes.lock().unwrap().clone();
        let late: Vec<f64> =
            writes.iter().filter(|w| w.first_byte == b'A').map(|w| w.at_ms - closed_at).collect();
        for after in &late {
            record.line(format!("the node got 'A' {after:.1} ms after its client had closed"));
        }
        let is_late = late.iter().any(|after| *after > MAX_AFTER_CLOSE_MS);
        let is_lost = read.is_good() && byte != b'B';
        if is_lost {
            record.line("the write of 'B', which was answered GOOD, is lost");
        }
        Ok(if is_late || is_lost { BROKEN } else { HELD })
    })
}
