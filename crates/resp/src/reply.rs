//! Replies as a client reads them.

use crate::line::{number, take_line, Line, NUMBER_LINE};
use bytes::{Buf, Bytes, BytesMut};

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// `+`, without the marker.
    Simple(Bytes),
    /// `-`, without the marker.
    Error(Bytes),
    /// `:`.
    Integer(i64),
    /// `$`; `None` for null.
    Bulk(Option<Bytes>),
    /// `*`; `None` for null.
    Array(Option<Vec<Reply>>),
}

/// How much a reply may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLimits {
    /// Most bytes of a line.
    pub line_bytes: usize,
    /// Most bytes of a bulk string.
    pub bulk_bytes: usize,
    /// Most elements of an array.
    pub elements: usize,
}

/// Why a stream of replies can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplyError {
    /// No marker of a reply.
    #[error("no reply begins so")]
    Marker,
    /// A line is too long, ends badly, or holds no number where it must.
    #[error("invalid line")]
    Line,
    /// A length below -1.
    #[error("invalid length")]
    Length,
    /// More bytes or elements than allowed.
    #[error("too big")]
    TooBig,
    /// A bulk string does not end where its length says.
    #[error("length does not match")]
    Mismatch,
    /// Arrays within arrays, beyond one level.
    #[error("nested too deep")]
    Nested,
}

/// Takes bytes, gives replies.
#[derive(Debug)]
pub struct ReplyDecoder {
    limits: ReplyLimits,
    buffer: BytesMut,
    /// Elements still to come of the array that is being read, and those that came.
    array: Option<(usize, Vec<Reply>)>,
    bulk: Option<usize>,
    fault: Option<ReplyError>,
}

impl ReplyDecoder {
    /// Nothing read yet.
    pub fn new(limits: ReplyLimits) -> ReplyDecoder {
        ReplyDecoder { limits, buffer: BytesMut::new(), array: None, bulk: None, fault: None }
    }

    /// Where bytes that came are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether bytes came that belong to no reply given yet.
    pub fn has_partial(&self) -> bool {
        self.array.is_some() || self.bulk.is_some() || !self.buffer.is_empty()
    }

    /// The next whole reply; `None` where more bytes are needed.
    ///
    /// # Errors
    /// The stream is of no further use; the same is told again.
    pub fn next_reply(&mut self) -> Result<Option<Reply>, ReplyError> {
        match self.fault {
            Some(fault) => Err(fault),
            None => self.read().inspect_err(|fault| {
                self.fault = Some(*fault);
                self.buffer = BytesMut::new();
                self.array = None;
            }),
        }
    }

    fn read(&mut self) -> Result<Option<Reply>, ReplyError> {
        loop {
            let Some(reply) = self.element()? else { return Ok(None) };
            match &mut self.array {
                None => return Ok(Some(reply)),
                Some((left, came)) => {
                    came.push(reply);
                    *left -= 1;
                    if *left == 0 {
                        return Ok(self.array.take().map(|(_, came)| Reply::Array(Some(came))));
                    }
                }
            }
        }
    }

    /// A reply that is no array, an empty or a null array, or the head of an array followed by its first element.
    fn element(&mut self) -> Result<Option<Reply>, ReplyError> {
        loop {
            if let Some(len) = self.bulk {
                if self.buffer.len() < len + 2 {
                    return Ok(None);
                }
                if &self.buffer[len..len + 2] != b"\r\n" {
                    return Err(ReplyError::Mismatch);
                }
                self.bulk = None;
                let value = self.buffer.split_to(len).freeze();
                self.buffer.advance(2);
                return Ok(Some(Reply::Bulk(Some(value))));
            }
            let Some(marker) = self.buffer.first().copied() else { return Ok(None) };
            let most = match marker {
                b'+' | b'-' => self.limits.line_bytes,
                b':' | b'$' | b'*' => NUMBER_LINE,
                _ => return Err(ReplyError::Marker),
            };
            let line = match take_line(&mut self.buffer, most) {
                Line::Partial => return Ok(None),
                Line::Bad => return Err(ReplyError::Line),
                Line::Whole(line) => line.slice(1..),
            };
            let count = || number(&line).ok_or(ReplyError::Line);
            match marker {
                b'+' => return Ok(Some(Reply::Simple(line))),
                b'-' => return Ok(Some(Reply::Error(line))),
                b':' => return Ok(Some(Reply::Integer(count()?))),
                b'$' => match count()? {
                    -1 => return Ok(Some(Reply::Bulk(None))),
                    n if n < 0 => return Err(ReplyError::Length),
                    n if n > self.limits.bulk_bytes as i64 => return Err(ReplyError::TooBig),
                    n => self.bulk = Some(n as usize),
                },
                _ => match count()? {
                    _ if self.array.is_some() => return Err(ReplyError::Nested),
                    -1 => return Ok(Some(Reply::Array(None))),
                    0 => return Ok(Some(Reply::Array(Some(Vec::new())))),
                    n if n < 0 => return Err(ReplyError::Length),
                    n if n > self.limits.elements as i64 => return Err(ReplyError::TooBig),
                    n => self.array = Some((n as usize, Vec::new())),
                },
            }
        }
    }
}
