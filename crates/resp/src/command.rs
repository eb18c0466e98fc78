//! Commands as a server reads them: arrays of bulk strings.

use crate::line::{number, take_line, Line, NUMBER_LINE};
use bytes::{Buf, Bytes, BytesMut};

/// Words of a command, the name first; at least one.
pub type Command = Vec<Bytes>;

/// How much a command may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandLimits {
    /// Most words.
    pub args: usize,
    /// Most bytes of a word.
    pub arg_bytes: usize,
    /// Most bytes of all words of a command.
    pub total_bytes: usize,
}

/// Why a stream of commands can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// It does not begin with `*`.
    #[error("expected '*', an array of bulk strings")]
    NotAnArray,
    /// A word does not begin with `$`.
    #[error("expected '$', a bulk string")]
    NotABulk,
    /// A line is too long, or holds no number.
    #[error("invalid length line")]
    Line,
    /// A number of words or bytes below the least that makes sense.
    #[error("invalid length")]
    Length,
    /// More words than allowed.
    #[error("too many words")]
    Words,
    /// More bytes than allowed.
    #[error("too big")]
    TooBig,
    /// A word does not end with a line end where its length says.
    #[error("length does not match")]
    Mismatch,
}

/// Takes bytes, gives commands.
#[derive(Debug)]
pub struct CommandDecoder {
    limits: CommandLimits,
    buffer: BytesMut,
    /// Words still to come of the command that is being read, and those that came.
    left: usize,
    words: Vec<Bytes>,
    held: usize,
    /// Length of the word whose line was read.
    word: Option<usize>,
    fault: Option<CommandError>,
}

impl CommandDecoder {
    /// Nothing read yet.
    pub fn new(limits: CommandLimits) -> CommandDecoder {
        let buffer = BytesMut::new();
        CommandDecoder { limits, buffer, left: 0, words: Vec::new(), held: 0, word: None, fault: None }
    }

    /// Where bytes that came are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether a command has begun and not ended.
    pub fn has_partial(&self) -> bool {
        self.left > 0 || !self.buffer.is_empty()
    }

    /// The next whole command; `None` where more bytes are needed.
    ///
    /// # Errors
    /// The stream is of no further use; the same is told again.
    pub fn next_command(&mut self) -> Result<Option<Command>, CommandError> {
        match self.fault {
            Some(fault) => Err(fault),
            None => self.read().inspect_err(|fault| {
                self.fault = Some(*fault);
                self.buffer = BytesMut::new();
                self.words = Vec::new();
            }),
        }
    }

    fn read(&mut self) -> Result<Option<Command>, CommandError> {
        if self.left == 0 {
            let Some(words) = self.length(b'*', CommandError::NotAnArray)? else { return Ok(None) };
            if words < 1 {
                return Err(CommandError::Length);
            }
            if words > self.limits.args as i64 {
                return Err(CommandError::Words);
            }
            (self.left, self.held) = (words as usize, 0);
        }
        while self.left > 0 {
            let len = match self.word {
                Some(len) => len,
                None => {
                    let Some(len) = self.length(b'$', CommandError::NotABulk)? else { return Ok(None) };
                    if len < 0 {
                        return Err(CommandError::Length);
                    }
                    // Danger: a stated length is believed only within the limit, before a byte of it is kept.
                    if len > self.limits.arg_bytes as i64
                        || self.held + len as usize > self.limits.total_bytes
                    {
                        return Err(CommandError::TooBig);
                    }
                    *self.word.insert(len as usize)
                }
            };
            if self.buffer.len() < len + 2 {
                return Ok(None);
            }
            if &self.buffer[len..len + 2] != b"\r\n" {
                return Err(CommandError::Mismatch);
            }
            self.words.push(self.buffer.split_to(len).freeze());
            self.buffer.advance(2);
            (self.word, self.held, self.left) = (None, self.held + len, self.left - 1);
        }
        Ok(Some(std::mem::take(&mut self.words)))
    }

    fn length(&mut self, marker: u8, otherwise: CommandError) -> Result<Option<i64>, CommandError> {
        match self.buffer.first() {
            None => return Ok(None),
            Some(first) if *first != marker => return Err(otherwise),
            Some(_) => {}
        }
        match take_line(&mut self.buffer, NUMBER_LINE) {
            Line::Partial => Ok(None),
            Line::Bad => Err(CommandError::Line),
            Line::Whole(line) => number(&line[1..]).map(Some).ok_or(CommandError::Line),
        }
    }
}
