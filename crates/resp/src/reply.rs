//! Incremental decoder for the replies that a client receives.

use crate::line::{parse_number, take_line, Line, MAX_NUMBER_LINE};
use bytes::{Buf, Bytes, BytesMut};

/// A decoded RESP2 reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `+`: a simple string, without the marker.
    Simple(Bytes),
    /// `-`: an error, without the marker.
    Error(Bytes),
    /// `:`: an integer.
    Integer(i64),
    /// `$`: a bulk string; `None` is the null bulk string.
    Bulk(Option<Bytes>),
    /// `*`: an array; `None` is the null array.
    Array(Option<Vec<Reply>>),
}

/// Upper bounds on the size of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLimits {
    /// Maximum length of a simple string or an error in bytes.
    pub line_bytes: usize,
    /// Maximum length of a bulk string in bytes.
    pub bulk_bytes: usize,
    /// Maximum number of elements of an array.
    pub elements: usize,
}

/// Reason why a reply stream can no longer be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// The first byte is not a RESP2 type marker.
    #[error("unknown reply type marker")]
    UnknownMarker,
    /// A line is too long, contains a bare CR or LF, or does not hold a number where one is required.
    #[error("invalid line")]
    InvalidLine,
    /// A length below -1.
    #[error("invalid length")]
    InvalidLength,
    /// More bytes or elements than the limits allow.
    #[error("too big")]
    TooLarge,
    /// No CRLF where the stated length of a bulk string ends.
    #[error("length does not match")]
    LengthMismatch,
    /// An array within an array. Only one level is supported.
    #[error("nested too deep")]
    NestedArray,
}

/// Decodes replies from a stream of bytes that arrives in arbitrary chunks.
#[derive(Debug)]
pub struct ReplyDecoder {
    limits: ReplyLimits,
    buffer: BytesMut,
    /// Number of elements of the current array that are still to come, and those already decoded.
    array: Option<(usize, Vec<Reply>)>,
    bulk_len: Option<usize>,
    error: Option<ReplyError>,
}

impl ReplyDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new(limits: ReplyLimits) -> ReplyDecoder {
        ReplyDecoder { limits, buffer: BytesMut::new(), array: None, bulk_len: None, error: None }
    }

    /// The input buffer: append received bytes here.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether bytes were received that do not belong to a reply returned so far.
    pub fn has_partial(&self) -> bool {
        self.array.is_some() || self.bulk_len.is_some() || !self.buffer.is_empty()
    }

    /// Number of bytes that were received and do not belong to a reply returned so far.
    pub fn buffered_bytes(&self) -> usize {
        let bytes_of = |reply: &Reply| match reply {
            Reply::Simple(text) | Reply::Error(text) | Reply::Bulk(Some(text)) => text.len(),
            Reply::Integer(_) | Reply::Bulk(None) | Reply::Array(_) => 0,
        };
        let elements = self.array.iter().flat_map(|(_, elements)| elements);
        self.buffer.len() + elements.map(bytes_of).sum::<usize>()
    }

    /// Decodes the next complete reply, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// The stream is not valid RESP or exceeds the limits. The stream cannot be resynchronized, so
    /// every later call returns the same error.
    pub fn next_reply(&mut self) -> Result<Option<Reply>, ReplyError> {
        match self.error {
            Some(error) => Err(error),
            None => self.read().inspect_err(|error| {
                self.error = Some(*error);
                self.buffer = BytesMut::new();
                self.array = None;
            }),
        }
    }

    fn read(&mut self) -> Result<Option<Reply>, ReplyError> {
        loop {
            let Some(reply) = self.next_element()? else { return Ok(None) };
            match &mut self.array {
                None => {
                    self.release_empty_buffer();
                    return Ok(Some(reply));
                }
                Some((remaining, elements)) => {
                    elements.push(reply);
                    *remaining -= 1;
                    if *remaining == 0 {
                        self.release_empty_buffer();
                        return Ok(self.array.take().map(|(_, elements)| Reply::Array(Some(elements))));
                    }
                }
            }
        }
    }

    /// Gives back the memory of a large reply.
    fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Decodes the next scalar, empty array or null array. The header of a non-empty array is stored in
    /// `self.array`, and its first element is returned.
    fn next_element(&mut self) -> Result<Option<Reply>, ReplyError> {
        loop {
            if let Some(len) = self.bulk_len {
                if self.buffer.len() < len + 2 {
                    return Ok(None);
                }
                if &self.buffer[len..len + 2] != b"\r\n" {
                    return Err(ReplyError::LengthMismatch);
                }
                self.bulk_len = None;
                let value = self.buffer.split_to(len).freeze();
                self.buffer.advance(2);
                return Ok(Some(Reply::Bulk(Some(value))));
            }
            let Some(marker) = self.buffer.first().copied() else { return Ok(None) };
            let max_len = match marker {
                b'+' | b'-' => self.limits.line_bytes,
                b':' | b'$' | b'*' => MAX_NUMBER_LINE,
                _ => return Err(ReplyError::UnknownMarker),
            };
            let line = match take_line(&mut self.buffer, max_len) {
                Line::Partial => return Ok(None),
                Line::Invalid => return Err(ReplyError::InvalidLine),
                Line::Whole(line) => line.slice(1..),
            };
            let parse_line = || parse_number(&line).ok_or(ReplyError::InvalidLine);
            match marker {
                b'+' => return Ok(Some(Reply::Simple(line))),
                b'-' => return Ok(Some(Reply::Error(line))),
                b':' => return Ok(Some(Reply::Integer(parse_line()?))),
                b'$' => match parse_line()? {
                    -1 => return Ok(Some(Reply::Bulk(None))),
                    n if n < 0 => return Err(ReplyError::InvalidLength),
                    n if n > self.limits.bulk_bytes as i64 => return Err(ReplyError::TooLarge),
                    n => self.bulk_len = Some(n as usize),
                },
                _ => match parse_line()? {
                    _ if self.array.is_some() => return Err(ReplyError::NestedArray),
                    -1 => return Ok(Some(Reply::Array(None))),
                    0 => return Ok(Some(Reply::Array(Some(Vec::new())))),
                    n if n < 0 => return Err(ReplyError::InvalidLength),
                    n if n > self.limits.elements as i64 => return Err(ReplyError::TooLarge),
                    n => self.array = Some((n as usize, Vec::new())),
                },
            }
        }
    }
}
