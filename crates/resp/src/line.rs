//! Lines and the numbers in them.

use bytes::{Buf, Bytes, BytesMut};

/// Most bytes of a line that holds a number: a sign, nineteen digits and the marker before them.
pub(crate) const NUMBER_LINE: usize = 24;

/// What stands at the head of a buffer.
pub(crate) enum Line {
    /// A whole line without its end, taken off the buffer.
    Whole(Bytes),
    /// It has not come to its end yet.
    Partial,
    /// It is longer than allowed, or has a bare line feed or carriage return within.
    Bad,
}

/// Takes a line of at most `most` bytes (its end not counted) off the buffer.
///
/// Danger: a peer that never ends its line would have all its bytes kept; the bound is looked at first.
pub(crate) fn take_line(buffer: &mut BytesMut, most: usize) -> Line {
    match buffer.iter().take(most + 2).position(|b| *b == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' && !buffer[..end - 1].contains(&b'\r') => {
            let line = buffer.split_to(end - 1).freeze();
            buffer.advance(2);
            Line::Whole(line)
        }
        Some(_) => Line::Bad,
        None if buffer.len() >= most + 2 => Line::Bad,
        None => Line::Partial,
    }
}

/// A decimal number as the form has it: digits, perhaps after a minus; no plus, no blank, nothing else.
pub(crate) fn number(text: &[u8]) -> Option<i64> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    if digits.is_empty() || digits.len() > 19 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
