//! Whole, in pieces, and spoilt.

use bytes::BytesMut;
use pearfork_resp::{
    write, CommandDecoder, CommandError, CommandLimits, Reply, ReplyDecoder, ReplyError, ReplyLimits,
};
use proptest::prelude::*;

const COMMANDS: CommandLimits = CommandLimits { args: 5, arg_bytes: 64, total_bytes: 128 };
const REPLIES: ReplyLimits = ReplyLimits { line_bytes: 40, bulk_bytes: 64, elements: 4 };

fn commands(bytes: &[u8], piece: usize) -> Result<Vec<Vec<Vec<u8>>>, CommandError> {
    let (mut reader, mut all) = (CommandDecoder::new(COMMANDS), Vec::new());
    for piece in bytes.chunks(piece.max(1)) {
        reader.buffer().extend_from_slice(piece);
        while let Some(c) = reader.next_command()? {
            all.push(c.iter().map(|w| w.to_vec()).collect());
        }
    }
    Ok(all)
}

fn replies(bytes: &[u8], piece: usize) -> Result<Vec<Reply>, ReplyError> {
    let (mut reader, mut all) = (ReplyDecoder::new(REPLIES), Vec::new());
    for piece in bytes.chunks(piece.max(1)) {
        reader.buffer().extend_from_slice(piece);
        while let Some(r) = reader.next_reply()? {
            all.push(r);
        }
    }
    Ok(all)
}

#[test]
fn commands_come_whole_however_they_are_cut() {
    let mut out = BytesMut::new();
    write::command(&mut out, &[b"OBJ.PUT", b"7f", b"9b", b"c=write", b"a\r\nb"]);
    write::command(&mut out, &[b"PING"]);
    for piece in 1..=out.len() {
        let all = commands(&out, piece).unwrap();
        assert_eq!(all.len(), 2);
        assert_eq!(all[0][4], b"a\r\nb");
        assert_eq!(all[1], [b"PING"]);
    }
}

#[test]
fn commands_that_make_no_sense_are_named() {
    let cases: [(&[u8], CommandError); 12] = [
        (b"PING\r\n", CommandError::NotAnArray),
        (b"*0\r\n", CommandError::Length),
        (b"*-1\r\n", CommandError::Length),
        (b"*6\r\n", CommandError::Words),
        (b"*99999999999999999999999999", CommandError::Line),
        (b"*1\n", CommandError::Line),
        (b"*1\r\n:5\r\n", CommandError::NotABulk),
        (b"*1\r\n$-1\r\n", CommandError::Length),
        (b"*1\r\n$60000000\r\n", CommandError::TooBig),
        (b"*1\r\n$+4\r\nPING\r\n", CommandError::Line),
        (b"*1\r\n$3\r\nPING\r\n", CommandError::Mismatch),
        (b"*1\r\n$9223372036854775808\r\n", CommandError::Line),
    ];
    for (bytes, fault) in cases {
        assert_eq!(commands(bytes, 1).unwrap_err(), fault, "{}", String::from_utf8_lossy(bytes));
        assert_eq!(commands(bytes, 1000).unwrap_err(), fault);
    }
}

/// Danger: words each within their limit that add up to more memory than a connection may take.
#[test]
fn the_words_together_are_bounded() {
    let mut out = BytesMut::new();
    write::command(&mut out, &[&[b'x'; 64], &[b'x'; 64], &[b'x'; 1]]);
    assert_eq!(commands(&out, 7).unwrap_err(), CommandError::TooBig);
}

#[test]
fn replies_come_whole_however_they_are_cut() {
    let bytes = b"*3\r\n$2\r\nok\r\n$-1\r\n$9\r\nqueue=2,x\r\n-BUSY 40\r\n+OK\r\n:-7\r\n$0\r\n\r\n*-1\r\n";
    for piece in 1..=bytes.len() {
        let all = replies(bytes, piece).unwrap();
        assert_eq!(all.len(), 6, "{all:?}");
        assert_eq!(all[1], Reply::Error("BUSY 40".into()));
        assert_eq!(all[3], Reply::Integer(-7));
        let Reply::Array(Some(parts)) = &all[0] else { panic!("{all:?}") };
        assert_eq!(parts[1], Reply::Bulk(None));
    }
}

#[test]
fn replies_that_make_no_sense_are_named() {
    let long = [b"-".to_vec(), vec![b'x'; 60]].concat();
    let cases: [(&[u8], ReplyError); 7] = [
        (b"HTTP/1.1", ReplyError::Marker),
        (b"$3000000000\r\n", ReplyError::TooBig),
        (b"$-2\r\n", ReplyError::Length),
        (b"$2\r\nabc\r\n", ReplyError::Mismatch),
        (b"*1\r\n*1\r\n", ReplyError::Nested),
        (b"*5\r\n", ReplyError::TooBig),
        (&long, ReplyError::Line),
    ];
    for (bytes, fault) in cases {
        assert_eq!(replies(bytes, 1).unwrap_err(), fault, "{}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn words_in_an_error_line_never_make_a_second_line() {
    let out = write::bytes(|b| write::error(b, "ERR a\r\n+OK"));
    assert_eq!(&out[..], b"-ERR a  +OK\r\n");
}

proptest! {
    /// Whatever comes, and however it is cut: the same commands or the same fault, and no panic.
    #[test]
    fn cuts_change_nothing(bytes in proptest::collection::vec(
        prop_oneof![Just(b'*'), Just(b'$'), Just(b'\r'), Just(b'\n'), Just(b'1'), Just(b'-'), Just(b'2'), any::<u8>()], 0..80),
        piece in 1usize..9) {
        prop_assert_eq!(commands(&bytes, piece).err(), commands(&bytes, 1000).err());
        prop_assert_eq!(replies(&bytes, piece).err(), replies(&bytes, 1000).err());
    }
}
