//! Decodes arbitrary bytes as a client's commands and as a node's replies. Input in two pieces must give the
//! same result as whole input, without a panic, and nothing may be decoded after an error.
#![no_main]

use libfuzzer_sys::fuzz_target;
use pearfork_platform::{config::RequestSchema, node_list, node_reply, request};
use pearfork_resp::{CommandDecoder, ReplyDecoder};

fuzz_target!(|bytes: &[u8]| {
    let Some((cut, bytes)) = bytes.split_first() else { return };
    let cut = usize::from(*cut).min(bytes.len());
    let schema = RequestSchema::default();
    let commands = |pieces: &[&[u8]]| {
        let (mut reader, mut all) = (CommandDecoder::new(request::COMMAND_LIMITS), Vec::new());
        for piece in pieces {
            reader.buffer().extend_from_slice(piece);
            while let Ok(Some(command)) = reader.next_command() {
                let _ = request::parse(&command, &schema);
                all.push(command);
            }
        }
        (all, reader.next_command().err())
    };
    assert_eq!(commands(&[bytes]), commands(&[&bytes[..cut], &bytes[cut..]]));
    let replies = |pieces: &[&[u8]]| {
        let (mut reader, mut all) = (ReplyDecoder::new(node_reply::LIMITS), Vec::new());
        for piece in pieces {
            reader.buffer().extend_from_slice(piece);
            while let Ok(Some(reply)) = reader.next_reply() {
                all.push(node_reply::parse(reply));
            }
        }
        (all, reader.next_reply().err())
    };
    assert_eq!(replies(&[bytes]), replies(&[&bytes[..cut], &bytes[cut..]]));
    let _ = node_list::parse(bytes);
});
