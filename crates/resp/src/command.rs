//! Incremental decoder for the commands that a server receives: arrays of bulk strings.

use crate::line::{parse_number, take_line, Line, MAX_NUMBER_LINE};
use bytes::{Buf, Bytes, BytesMut};

/// The arguments of a command, starting with its name. Never empty.
pub type Command = Vec<Bytes>;

/// Upper bounds on the size of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandLimits {
    /// Maximum number of arguments, the command name included.
    pub args: usize,
    /// Maximum size of one argument in bytes.
    pub arg_bytes: usize,
    /// Maximum size of all arguments of a command together in bytes.
    pub total_bytes: usize,
}

/// Reason why a command stream can no longer be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command does not begin with `*`.
    #[error("expected '*', an array of bulk strings")]
    NotAnArray,
    /// An argument does not begin with `$`.
    #[error("expected '$', a bulk string")]
    NotABulkString,
    /// A length line is too long or does not hold a number.
    #[error("invalid length line")]
    InvalidLengthLine,
    /// An argument count below 1, or a negative argument length.
    #[error("invalid length")]
    InvalidLength,
    /// More arguments than [`CommandLimits::args`].
    #[error("too many words")]
    TooManyArgs,
    /// More bytes than [`CommandLimits::arg_bytes`] or [`CommandLimits::total_bytes`].
    #[error("too big")]
    TooLarge,
    /// No CRLF where the stated length of an argument ends.
    #[error("length does not match")]
    LengthMismatch,
}

/// Decodes commands from a stream of bytes that arrives in arbitrary chunks.
#[derive(Debug)]
pub struct CommandDecoder {
    limits: CommandLimits,
    buffer: BytesMut,
    /// Number of arguments of the current command that are still to come, and those already decoded.
    remaining_args: usize,
    args: Vec<Bytes>,
    args_bytes: usize,
    /// Length of the current argument, once its length line has been read.
    arg_len: Option<usize>,
    error: Option<CommandError>,
}

impl CommandDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new(limits: CommandLimits) -> CommandDecoder {
        let buffer = BytesMut::new();
        CommandDecoder {
            limits,
            buffer,
            remaining_args: 0,
            args: Vec::new(),
            args_bytes: 0,
            arg_len: None,
            error: None,
        }
    }

    /// The input buffer: append received bytes here.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Whether a command has been received in part.
    pub fn has_partial(&self) -> bool {
        self.remaining_args > 0 || !self.buffer.is_empty()
    }

    /// Number of bytes that were received and do not belong to a command returned so far.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() + self.args_bytes
    }

    /// Decodes the next complete command, or returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// The stream is not valid RESP or exceeds the limits. The stream cannot be resynchronized, so
    /// every later call returns the same error.
    pub fn next_command(&mut self) -> Result<Option<Command>, CommandError> {
        match self.error {
            Some(error) => Err(error),
            None => self.read().inspect_err(|error| {
                self.error = Some(*error);
                self.buffer = BytesMut::new();
                (self.args, self.args_bytes) = (Vec::new(), 0);
            }),
        }
    }

    fn read(&mut self) -> Result<Option<Command>, CommandError> {
        if self.remaining_args == 0 {
            let Some(count) = self.read_length(b'*', CommandError::NotAnArray)? else { return Ok(None) };
            if count < 1 {
                return Err(CommandError::InvalidLength);
            }
            if count > self.limits.args as i64 {
                return Err(CommandError::TooManyArgs);
            }
            (self.remaining_args, self.args_bytes) = (count as usize, 0);
        }
        while self.remaining_args > 0 {
            let len = match self.arg_len {
                Some(len) => len,
                None => {
                    let Some(len) = self.read_length(b'$', CommandError::NotABulkString)? else {
                        return Ok(None);
                    };
                    if len < 0 {
                        return Err(CommandError::InvalidLength);
                    }
                    // Checks the stated length against the limits before any byte of the argument is
                    // buffered, so that a peer cannot make the decoder allocate more than it allows.
                    if len > self.limits.arg_bytes as i64
                        || self.args_bytes + len as usize > self.limits.total_bytes
                    {
                        return Err(CommandError::TooLarge);
                    }
                    *self.arg_len.insert(len as usize)
                }
            };
            if self.buffer.len() < len + 2 {
                return Ok(None);
            }
            if &self.buffer[len..len + 2] != b"\r\n" {
                return Err(CommandError::LengthMismatch);
            }
            self.args.push(self.buffer.split_to(len).freeze());
            self.buffer.advance(2);
            (self.arg_len, self.args_bytes, self.remaining_args) =
                (None, self.args_bytes + len, self.remaining_args - 1);
        }
        self.args_bytes = 0;
        if self.buffer.is_empty() {
            // Gives back the memory of a large command.
            self.buffer = BytesMut::new();
        }
        Ok(Some(std::mem::take(&mut self.args)))
    }

    fn read_length(&mut self, marker: u8, wrong_marker: CommandError) -> Result<Option<i64>, CommandError> {
        match self.buffer.first() {
            None => return Ok(None),
            Some(first) if *first != marker => return Err(wrong_marker),
            Some(_) => {}
        }
        match take_line(&mut self.buffer, MAX_NUMBER_LINE) {
            Line::Partial => Ok(None),
            Line::Invalid => Err(CommandError::InvalidLengthLine),
            Line::Whole(line) => parse_number(&line[1..]).map(Some).ok_or(CommandError::InvalidLengthLine),
        }
    }
}
