//! Carries batches between standard input, one [`pearfork::Scheduler`] an instance, and standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use pearfork::{Action, Scheduler};
use wire::{Incoming, Reply};

/// Reads exactly one frame; `None` at end of input between frames.
fn read_frame(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<u32>, String> {
    let mut head = [0u8; 8];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("frame header ends after {got} of 8 bytes")),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("standard input: {e}")),
        }
    }
    let count = u32::from_le_bytes([head[0], head[1], head[2], head[3]]);
    let size = u32::from_le_bytes([head[4], head[5], head[6], head[7]]) as usize;
    body.clear();
    let read = input.take(size as u64).read_to_end(body).map_err(|e| format!("standard input: {e}"))?;
    if read < size {
        return Err(format!("frame body ends after {read} of {size} bytes"));
    }
    Ok(Some(count))
}

fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut hosts: BTreeMap<u16, (Scheduler, pearfork_site::Fields)> = BTreeMap::new();
    let (mut body, mut actions) = (Vec::new(), Vec::<Action>::new());
    while let Some(count) = read_frame(input, &mut body)? {
        let mut batch = wire::Batch::open(&body, count)?;
        let mut reply = Reply::new(batch.number);
        while let Some(record) = batch.next_record()? {
            let who = record.who;
            match record.decode(hosts.get(&who).map(|h| &h.1))? {
                Incoming::Boot { seed, params } => match pearfork_site::read(&params) {
                    Ok((s, fields)) => match Scheduler::new(s, seed) {
                        Ok(host) => {
                            hosts.insert(who, (host, fields));
                        }
                        Err(e) => reply.internal_error(who, &e.to_string()),
                    },
                    Err(e) => reply.internal_error(who, &e),
                },
                Incoming::Kill => {
                    hosts.remove(&who);
                }
                Incoming::Event(event) => {
                    if let Some((host, _)) = hosts.get_mut(&who) {
                        host.handle(batch.now_ms, event, &mut actions);
                        for action in actions.drain(..) {
                            reply.action(who, &action);
                        }
                    }
                }
            }
        }
        output
            .write_all(&reply.finish())
            .and_then(|()| output.flush())
            .map_err(|e| format!("standard output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let (stdin, stdout) = (io::stdin().lock(), io::stdout().lock());
    match run(&mut io::BufReader::with_capacity(1 << 16, stdin), &mut { stdout }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pearfork-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
