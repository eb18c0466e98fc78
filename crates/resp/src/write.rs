//! Encoders for RESP2 commands and replies.

use bytes::{BufMut, Bytes, BytesMut};

/// Appends a command: an array of bulk strings.
pub fn command(out: &mut BytesMut, args: &[&[u8]]) {
    length_line(out, b'*', args.len());
    args.iter().for_each(|arg| bulk(out, arg));
}

/// Appends a bulk string.
pub fn bulk(out: &mut BytesMut, value: &[u8]) {
    length_line(out, b'$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// Appends a simple string. CR and LF in `text` are replaced by spaces.
pub fn simple(out: &mut BytesMut, text: &str) {
    line(out, b'+', text);
}

/// Appends an error. CR and LF in `text` are replaced by spaces.
pub fn error(out: &mut BytesMut, text: &str) {
    line(out, b'-', text);
}

/// Returns the output of one of the other functions as a separate buffer.
pub fn bytes(write: impl FnOnce(&mut BytesMut)) -> Bytes {
    let mut out = BytesMut::new();
    write(&mut out);
    out.freeze()
}

fn length_line(out: &mut BytesMut, marker: u8, n: usize) {
    out.put_u8(marker);
    out.put_slice(n.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

/// Replaces CR and LF, since a line break in text from another source would start a second reply.
fn line(out: &mut BytesMut, marker: u8, text: &str) {
    out.put_u8(marker);
    text.bytes().for_each(|b| out.put_u8(if matches!(b, b'\r' | b'\n') { b' ' } else { b }));
    out.put_slice(b"\r\n");
}
