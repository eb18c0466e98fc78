//! Decoding of complete, fragmented and malformed streams.

use bytes::BytesMut;
use pearfork_resp::{
    write, CommandDecoder, CommandError, CommandLimits, Reply, ReplyDecoder, ReplyError, ReplyLimits,
};
use proptest::prelude::*;

const COMMAND_LIMITS: CommandLimits = CommandLimits { args: 5, arg_bytes: 64, total_bytes: 128 };
const REPLY_LIMITS: ReplyLimits = ReplyLimits { line_bytes: 40, bulk_bytes: 64, elements: 4 };

fn commands(bytes: &[u8], chunk_size: usize) -> Result<Vec<Vec<Vec<u8>>>, CommandError> {
    let (mut reader, mut all) = (CommandDecoder::new(COMMAND_LIMITS), Vec::new());
    for chunk in bytes.chunks(chunk_size.max(1)) {
        reader.buffer().extend_from_slice(chunk);
        while let Some(c) = reader.next_command()? {
            all.push(c.iter().map(|w| w.to_vec()).collect());
        }
    }
    Ok(all)
}

fn replies(bytes: &[u8], chunk_size: usize) -> Result<Vec<Reply>, ReplyError> {
    let (mut reader, mut all) = (ReplyDecoder::new(REPLY_LIMITS), Vec::new());
    for chunk in bytes.chunks(chunk_size.max(1)) {
        reader.buffer().extend_from_slice(chunk);
        while let Some(r) = reader.next_reply()? {
            all.push(r);
        }
    }
    Ok(all)
}

#[test]
fn commands_are_decoded_from_chunks_of_any_size() {
    let mut out = BytesMut::new();
    write::command(&mut out, &[b"OBJ.PUT", b"7f", b"9b", b"c=write", b"a\r\nb"]);
    write::command(&mut out, &[b"PING"]);
    for chunk in 1..=out.len() {
        let all = commands(&out, chunk).unwrap();
        assert_eq!(all.len(), 2);
        assert_eq!(all[0][4], b"a\r\nb");
        assert_eq!(all[1], [b"PING"]);
    }
}

#[test]
fn malformed_commands_yield_specific_errors() {
    let cases: [(&[u8], CommandError); 12] = [
        (b"PING\r\n", CommandError::NotAnArray),
        (b"*0\r\n", CommandError::InvalidLength),
        (b"*-1\r\n", CommandError::InvalidLength),
        (b"*6\r\n", CommandError::TooManyArgs),
        (b"*99999999999999999999999999", CommandError::InvalidLengthLine),
        (b"*1\n", CommandError::InvalidLengthLine),
        (b"*1\r\n:5\r\n", CommandError::NotABulkString),
        (b"*1\r\n$-1\r\n", CommandError::InvalidLength),
        (b"*1\r\n$60000000\r\n", CommandError::TooLarge),
        (b"*1\r\n$+4\r\nPING\r\n", CommandError::InvalidLengthLine),
        (b"*1\r\n$3\r\nPING\r\n", CommandError::LengthMismatch),
        (b"*1\r\n$9223372036854775808\r\n", CommandError::InvalidLengthLine),
    ];
    for (bytes, error) in cases {
        assert_eq!(commands(bytes, 1).unwrap_err(), error, "{}", String::from_utf8_lossy(bytes));
        assert_eq!(commands(bytes, 1000).unwrap_err(), error);
    }
}

/// Guards against arguments that are each within their limit but together take more memory than a connection
/// may use.
#[test]
fn the_total_size_of_arguments_is_bounded() {
    let mut out = BytesMut::new();
    write::command(&mut out, &[&[b'x'; 64], &[b'x'; 64], &[b'x'; 1]]);
    assert_eq!(commands(&out, 7).unwrap_err(), CommandError::TooLarge);
}

#[test]
fn replies_are_decoded_from_chunks_of_any_size() {
    let bytes = b"*3\r\n$2\r\nok\r\n$-1\r\n$9\r\nqueue=2,x\r\n-BUSY 40\r\n+OK\r\n:-7\r\n$0\r\n\r\n*-1\r\n";
    for chunk in 1..=bytes.len() {
        let all = replies(bytes, chunk).unwrap();
        assert_eq!(all.len(), 6, "{all:?}");
        assert_eq!(all[1], Reply::Error("BUSY 40".into()));
        assert_eq!(all[3], Reply::Integer(-7));
        let Reply::Array(Some(parts)) = &all[0] else { panic!("{all:?}") };
        assert_eq!(parts[1], Reply::Bulk(None));
    }
}

#[test]
fn malformed_replies_yield_specific_errors() {
    let long = [b"-".to_vec(), vec![b'x'; 60]].concat();
    let cases: [(&[u8], ReplyError); 7] = [
        (b"HTTP/1.1", ReplyError::UnknownMarker),
        (b"$3000000000\r\n", ReplyError::TooLarge),
        (b"$-2\r\n", ReplyError::InvalidLength),
        (b"$2\r\nabc\r\n", ReplyError::LengthMismatch),
        (b"*1\r\n*1\r\n", ReplyError::NestedArray),
        (b"*5\r\n", ReplyError::TooLarge),
        (&long, ReplyError::InvalidLine),
    ];
    for (bytes, error) in cases {
        assert_eq!(replies(bytes, 1).unwrap_err(), error, "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn line_breaks_in_an_error_text_do_not_start_another_reply() {
    let out = write::bytes(|b| write::error(b, "ERR a\r\n+OK"));
    assert_eq!(&out[..], b"-ERR a  +OK\r\n");
}

proptest! {
    /// For arbitrary bytes, the position of chunk boundaries changes neither the commands nor the error, and
    /// nothing panics.
    #[test]
    fn chunk_boundaries_do_not_change_the_result(bytes in proptest::collection::vec(
        prop_oneof![Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'-'), Just(b'2'), any::<u8>()], 0..80),
        chunk in 1usize..9) {
        prop_assert_eq!(commands(&bytes, chunk).err(), commands(&bytes, 1000).err());
        prop_assert_eq!(replies(&bytes, chunk).err(), replies(&bytes, 1000).err());
    }
}
