//! Feeds arbitrary bytes to an initiator with commands in flight.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pearfork_iscsi::{Command, Initiator, InitiatorConfig};

fuzz_target!(|bytes: &[u8]| {
    let mut initiator = Initiator::new(InitiatorConfig {
        name: "i".to_owned(),
        target: Some("t".to_owned()),
        isid: [0; 6],
        digests: false,
        extension: true,
    });
    let mut login = vec![0u8; 48];
    (login[0], login[1], login[35]) = (0x23, 0x87, 9);
    initiator.decoder().buffer().extend_from_slice(&login);
    let mut events = Vec::new();
    let _ = initiator.process(&mut events);
    initiator.submit(Command { read_len: 512, ..Default::default() });
    initiator.submit(Command { data: vec![1u8; 700_000].into(), ..Default::default() });
    for piece in bytes.chunks(61) {
        initiator.decoder().buffer().extend_from_slice(piece);
        if initiator.process(&mut events).is_err() {
            return;
        }
        initiator.take_output();
    }
});
