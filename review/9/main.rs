//! A client aborts a READ, is told that the abort is complete, and uses the free tag for its next READ. The answer
//! to that must hold its own blocks. The host has one core; its clients have one READ open at a time.

#[path = "../standins-2/iscsi.rs"]
mod iscsi;

use iscsi::*;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const BLOCK: usize = 512;
/// Blocks of one READ, and number of such pieces that hold known data.
const PIECE: u32 = 8;
const PIECES: u32 = 512;
/// The tag that the client uses for its READs, one at a time.
const TAG: u32 = 5;
/// Clients that cancel.
const CANCELLING: usize = 4;
const LENGTH: Duration = Duration::from_secs(30);

/// What a piece holds: its number, in each word.
fn contents(piece: u32) -> Vec<u8> {
    piece.wrapping_add(0x5eed_0000).to_be_bytes().repeat(PIECE as usize * BLOCK / 4)
}

fn read_pdu(session: &Initiator, itt: u32, piece: u32) -> Pdu {
    let mut pdu = Pdu::new(0x01, itt);
    pdu.bhs[1] = 0x80 | 0x40 | 1;
    pdu.set(20, PIECE * BLOCK as u32).set(24, session.cmd_sn);
    pdu.bhs[32..48].copy_from_slice(&read16(u64::from(piece * PIECE), PIECE));
    pdu
}

/// Waits for the end of the task with the tag, or for a task management response.
fn next_end(session: &mut Initiator) -> io::Result<(u8, u8, Vec<u8>)> {
    let mut data = Vec::new();
    loop {
        let pdu = Pdu::receive(&mut session.stream)?;
        match pdu.opcode() {
            0x25 if pdu.itt() == TAG => {
                data.extend_from_slice(&pdu.data);
                if pdu.bhs[1] & 1 != 0 {
                    return Ok((0x25, pdu.bhs[3], data));
                }
            }
            0x21 if pdu.itt() == TAG => return Ok((0x21, pdu.bhs[3], data)),
            0x22 => return Ok((0x22, pdu.bhs[2], Vec::new())),
            0x3f => return Err(io::Error::other("rejected")),
            _ => {}
        }
    }
}

#[derive(Default)]
struct Counts {
    aborted: u64,
    served: u64,
    foreign: u64,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.aborted += other.aborted;
        self.served += other.served;
        self.foreign += other.foreign;
    }
}

/// A client with one READ at a time, always under the same tag. With the disruption it aborts READs, and goes
/// on with the tag once the target has answered that the abort is complete.
fn cancelling_client(
    address: SocketAddr,
    n: usize,
    until: Instant,
    record: &Record,
    found: &AtomicBool,
) -> io::Result<Counts> {
    let name = format!("iqn.2026-12.org.pearfork:cancels-{n}");
    let mut session = Initiator::login(address, &name, TARGET, Duration::from_secs(10))?;
    let mut counts = Counts::default();
    let mut draw = 0x9e37_79b9u32.wrapping_mul(n as u32 + 1);
    let mut next = move |below: u32| {
        draw ^= draw << 13;
        draw ^= draw >> 17;
        draw ^= draw << 5;
        draw % below.max(1)
    };
    let mut management_tag = 1_000_000;
    // How long a READ takes now, so that an abort comes at any time of it.
    let mut usual_us = 2_000u32;
    while Instant::now() < until && !found.load(Ordering::Relaxed) {
        let (first, second) = (next(PIECES), next(PIECES));
        if trouble() {
            read_pdu(&session, TAG, first).send(&mut session.stream)?;
            session.cmd_sn = session.cmd_sn.wrapping_add(1);
            std::thread::sleep(Duration::from_micros(u64::from(next(usual_us * 5 / 4))));
            management_tag += 1;
            let mut abort = Pdu::new(0x42, management_tag);
            abort.bhs[1] = 0x81;
            abort.set(20, TAG).set(24, session.cmd_sn);
            abort.send(&mut session.stream)?;
            let mut answered = false;
            let code = loop {
                match next_end(&mut session)? {
                    (0x22, code, _) => break code,
                    _ => answered = true,
                }
            };
            if answered || code != 0 {
                continue;
            }
            counts.aborted += 1;
        }
        // The tag is free: its task was answered, or its abort is complete.
        read_pdu(&session, TAG, second).send(&mut session.stream)?;
        let sent = Instant::now();
        session.cmd_sn = session.cmd_sn.wrapping_add(1);
        let (_, status, data) = next_end(&mut session)?;
        usual_us = (usual_us * 7 + sent.elapsed().as_micros().min(400_000) as u32) / 8;
        if status != 0 {
            continue;
        }
        counts.served += 1;
        if data != contents(second) {
            counts.foreign += 1;
            let of = (0..PIECES).find(|p| data == contents(*p));
            record.line(format!(
                "client {n}: READ of piece {first} aborted, response 0; then READ of piece {second} answered GOOD with {} bytes, those of piece {of:?}",
                data.len()
            ));
            found.store(true, Ordering::Relaxed);
        }
    }
    Ok(counts)
}

fn main() {
    main_with(|root, record| {
        let folder = TempFolder::new("case9")?;
        let (address, directory) = (free_address()?, free_address()?);
        let text = std::fs::read_to_string(root.join("examples/quickstart.toml"))?;
        let text = text
            .replace("127.0.0.1:3260", &address.to_string())
            .replace("http = \"127.0.0.1:9180\"\n", "")
            .replace("127.0.0.1:9300", &directory.to_string());
        let config = folder.0.join("host.toml");
        std::fs::write(&config, text)?;
        let _gateway = Gateway::serve_on_one_core(root, &config, address, &folder.0.join("log"))?;
        let name = "iqn.2026-12.org.pearfork:reviewer";
        let mut session = Initiator::login(address, name, TARGET, Duration::from_secs(10))?;
        for piece in 0..PIECES {
            let answer = session.patient(write16(u64::from(piece * PIECE), PIECE), 0, &contents(piece))?;
            if !answer.is_good() {
                return Ok(NOT_RUN);
            }
        }
        record.line(format!("{PIECES} pieces hold their numbers"));
        let until = Instant::now() + LENGTH;
        let found = Arc::new(AtomicBool::new(false));
        let mut cancelling = Vec::new();
        for n in 0..CANCELLING {
            let (record, found) = (record.clone(), found.clone());
            cancelling.push(std::thread::spawn(move || cancelling_client(address, n, until, &record, &found)));
        }
        let mut total = Counts::default();
        for thread in cancelling {
            match thread.join() {
                Ok(Ok(counts)) => total.add(counts),
                Ok(Err(e)) => record.line(format!("a client that cancels ended early: {e}")),
                Err(_) => return Ok(NOT_RUN),
            }
        }
        record.line(format!(
            "{} READs aborted, {} READs served under the same tag, {} of them with the blocks of another READ",
            total.aborted,
            total.served,
            total.foreign
        ));
        if total.foreign == 0 && total.served < 20 {
            return Ok(NOT_RUN);
        }
        Ok(if total.foreign > 0 { BROKEN } else { HELD })
    })
}
