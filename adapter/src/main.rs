//! Runs schedulers for a simulator: reads batches of events from standard input and writes the schedulers'
//! actions to standard output. Each instance number has its own [`pearfork::Scheduler`].

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use pearfork::{Action, Scheduler};
use wire::{Input, Reply};

/// Reads one whole frame into `body` and returns its record count, or `None` if the input ends between
/// frames.
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
    let mut instances: BTreeMap<u16, (Scheduler, pearfork_site::LoadReportFields)> = BTreeMap::new();
    let (mut body, mut actions) = (Vec::new(), Vec::<Action>::new());
    while let Some(count) = read_frame(input, &mut body)? {
        let mut batch = wire::Batch::parse(&body, count)?;
        let mut reply = Reply::new(batch.number);
        while let Some(record) = batch.next_record()? {
            let instance = record.instance;
            match record.decode(instances.get(&instance).map(|i| &i.1))? {
                Input::Boot { seed, params } => match pearfork_site::parse(&params) {
                    Ok((settings, fields)) => match Scheduler::new(settings, seed) {
                        Ok(scheduler) => {
                            instances.insert(instance, (scheduler, fields));
                        }
                        Err(e) => reply.internal_error(instance, &e.to_string()),
                    },
                    Err(e) => reply.internal_error(instance, &e),
                },
                Input::Kill => {
                    instances.remove(&instance);
                }
                Input::Event(event) => {
                    if let Some((scheduler, _)) = instances.get_mut(&instance) {
                        scheduler.handle(batch.now_ms, event, &mut actions);
                        for action in actions.drain(..) {
                            reply.action(instance, &action);
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
