//! Writing both sides of RESP2.

use bytes::{BufMut, Bytes, BytesMut};

/// A command: an array of bulk strings.
pub fn command(out: &mut BytesMut, words: &[&[u8]]) {
    head(out, b'*', words.len());
    words.iter().for_each(|w| bulk(out, w));
}

/// A bulk string.
pub fn bulk(out: &mut BytesMut, value: &[u8]) {
    head(out, b'$', value.len());
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

/// A simple string; line ends within become blanks.
pub fn simple(out: &mut BytesMut, words: &str) {
    line(out, b'+', words);
}

/// An error; line ends within become blanks.
pub fn error(out: &mut BytesMut, words: &str) {
    line(out, b'-', words);
}

/// One of the above as bytes of its own.
pub fn bytes(write: impl FnOnce(&mut BytesMut)) -> Bytes {
    let mut out = BytesMut::new();
    write(&mut out);
    out.freeze()
}

fn head(out: &mut BytesMut, marker: u8, n: usize) {
    out.put_u8(marker);
    out.put_slice(n.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

/// Danger: words from elsewhere with a line end within would become a second answer.
fn line(out: &mut BytesMut, marker: u8, words: &str) {
    out.put_u8(marker);
    words.bytes().for_each(|b| out.put_u8(if matches!(b, b'\r' | b'\n') { b' ' } else { b }));
    out.put_slice(b"\r\n");
}
