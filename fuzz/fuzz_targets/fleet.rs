//! Decodes arbitrary bytes as frames of the fleet protocol and as stored voter files: no panic, and no
//! allocation by a length that the input does not have.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pearfork_fleet::{frame, store};
use pearfork_ledger::Message;
use std::path::Path;

fuzz_target!(|bytes: &[u8]| {
    let mut at = 0;
    while let Ok(Some((_, length))) = frame::get::<Message>(&bytes[at..], 1 << 16) {
        at += length;
    }
    let _ = store::read(Path::new("promises"), bytes, &store::owner("f", 1));
    // The same bytes with a valid checksum, so that the code behind the check is reached.
    let mut framed = Vec::new();
    framed.extend((bytes.len() as u32).to_be_bytes());
    framed.extend(crc32c::crc32c(bytes).to_be_bytes());
    framed.extend(bytes);
    let _ = frame::get::<Message>(&framed, 1 << 20);
    let mut file = Vec::new();
    frame::put(&mut file, &store::owner("f", 1));
    file.extend(&framed);
    let _ = store::read(Path::new("promises"), &file, &store::owner("f", 1));
});
