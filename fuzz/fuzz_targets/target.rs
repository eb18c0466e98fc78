//! Feeds arbitrary bytes to a target, before and after a login, and parses and answers its commands.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pearfork_iscsi::{AccessControl, Limits, LoginStatus, Response, Target, TargetEvent};
use pearfork_scsi::{Cdb, LogicalUnit};
use std::sync::Arc;

struct Open;

impl AccessControl for Open {
    fn targets(&self, _: &str) -> Vec<(String, String)> {
        vec![("iqn.2026-12.org.pearfork:a".to_owned(), "127.0.0.1:1".to_owned()); 3]
    }
    fn authorize_login(&self, _: &str, _: &str) -> Result<(), LoginStatus> {
        Ok(())
    }
    fn extension_enabled(&self) -> bool {
        true
    }
}

fuzz_target!(|bytes: &[u8]| {
    let limits = Limits { max_commands: 4, max_transfer_bytes: 1 << 20, max_data_segment: 8192 };
    let mut target = Target::new(Arc::new(Open), 1, limits);
    let mut events = Vec::new();
    let (login, rest) = bytes.split_first().unwrap_or((&0, &[]));
    if login & 1 != 0 {
        let text = b"InitiatorName=i\0TargetName=t\0InitialR2T=No\0";
        let mut pdu = vec![0u8; 48];
        (pdu[0], pdu[1], pdu[7], pdu[27]) = (0x43, 0x87, text.len() as u8, 1);
        pdu.extend_from_slice(text);
        pdu.resize(pdu.len().next_multiple_of(4), 0);
        target.decoder().buffer().extend_from_slice(&pdu);
    }
    let unit = LogicalUnit { blocks: 1 << 33, block_len: 512, max_transfer_blocks: 2048, serial: "s".to_owned() };
    for piece in rest.chunks(97) {
        target.decoder().buffer().extend_from_slice(piece);
        target.process(&mut events);
        for event in events.drain(..) {
            if let TargetEvent::Command(c) = event {
                assert!(c.data.len() <= limits.transfer);
                let _ = Cdb::parse(&c.cdb).map(|cdb| unit.respond(&cdb));
                let data = vec![1u8; 600].into();
                target.respond(c.id, Response { data, full_length: 600, ..Default::default() });
            }
        }
        target.take_output();
        assert!(target.task_count() <= 12);
    }
});
