//! Extraction of CRLF-terminated lines and the numbers in them.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum length of a line that holds a number: the type marker, a sign and nineteen digits fit, with some
/// room.
pub(crate) const MAX_NUMBER_LINE: usize = 24;

/// Result of looking for a line at the front of a buffer.
pub(crate) enum Line {
    /// A complete line without its CRLF, removed from the buffer.
    Whole(Bytes),
    /// The end of the line has not been received yet.
    Partial,
    /// The line is longer than allowed, or contains a bare line feed or carriage return.
    Invalid,
}

/// Removes a line of at most `max_len` bytes, CRLF not counted, from the front of the buffer.
///
/// The length is checked before the line is complete; otherwise a peer that never terminates its line would
/// have all its bytes buffered.
pub(crate) fn take_line(buffer: &mut BytesMut, max_len: usize) -> Line {
    match buffer.iter().take(max_len + 2).position(|b| *b == b'\n') {
        Some(end) if end > 0 && buffer[end - 1] == b'\r' && !buffer[..end - 1].contains(&b'\r') => {
            let line = buffer.split_to(end - 1).freeze();
            buffer.advance(2);
            Line::Whole(line)
        }
        Some(_) => Line::Invalid,
        None if buffer.len() >= max_len + 2 => Line::Invalid,
        None => Line::Partial,
    }
}

/// Parses a RESP number: decimal digits, optionally preceded by a minus sign. A plus sign or white space is
/// invalid.
pub(crate) fn parse_number(text: &[u8]) -> Option<i64> {
    let digits = text.strip_prefix(b"-").unwrap_or(text);
    if digits.is_empty() || digits.len() > 19 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}
