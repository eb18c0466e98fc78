//! An incremental parser of HTTP/1.1 responses, without I/O.
//!
//! A body without a stated length ends only when the server closes the connection in order. A reset
//! connection or a truncated chunk does not end a response: the bytes received until then may be half of a
//! list that parses like a complete one.

/// Maximum size of a response head in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// Maximum size of a body in bytes, unless the caller gives another one.
pub(super) const MAX_BODY: usize = 16 << 20;
/// Maximum size in bytes of a chunk-size line, and of each line of the trailers.
const MAX_LINE: usize = 4 * 1024;
/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM: usize = 8;

/// A response's status code and body.
pub type StatusAndBody = (u16, Vec<u8>);

/// Why a response could not be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The connection ended within the head.
    #[error("connection closed within the response head")]
    TruncatedHead,
    /// The connection ended within a body with a stated length or with chunks.
    #[error("connection closed before the end of the body")]
    TruncatedBody,
    /// The head cannot be parsed.
    #[error("malformed response head: {0}")]
    Head(String),
    /// A chunk or a header that gives the length cannot be parsed, or two such headers differ.
    #[error("invalid {0}")]
    Length(&'static str),
    /// The response exceeds one of the size limits.
    #[error("response too long")]
    TooLong,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// The body has this many bytes.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends when the connection is closed in order.
    UntilClose,
}

/// What the parser expects next.
#[derive(Debug)]
enum Stage {
    /// A head, after this many interim responses.
    Head { interim: usize },
    /// The rest of the body.
    Body { status: u16, framing: Framing },
}

/// Parses a response from the received bytes, in whatever pieces they come.
#[derive(Debug)]
pub struct ResponseParser {
    buffer: Vec<u8>,
    body: Vec<u8>,
    /// Maximum size of the body in bytes.
    max_body: usize,
    /// Bytes missing of the current chunk, its CRLF included; `None` between chunks.
    chunk_remaining: Option<usize>,
    /// The last chunk has been read; the trailers that follow end with an empty line.
    in_trailers: bool,
    stage: Stage,
}

impl Default for ResponseParser {
    fn default() -> Self {
        ResponseParser::with_max_body(MAX_BODY)
    }
}

impl ResponseParser {
    /// Creates a parser that accepts a body of at most this many bytes.
    pub fn with_max_body(max_body: usize) -> ResponseParser {
        ResponseParser {
            buffer: Vec::new(),
            body: Vec::new(),
            max_body,
            chunk_remaining: None,
            in_trailers: false,
            stage: Stage::Head { interim: 0 },
        }
    }

    /// Parses received bytes; returns the response once its stated length or its last chunk has been read.
    ///
    /// # Errors
    /// The response is invalid, whatever follows.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<StatusAndBody>, ResponseError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            match self.stage {
                Stage::Head { interim } => match self.parse_head(interim)? {
                    Some(next) => self.stage = next,
                    None => return Ok(None),
                },
                Stage::Body { status, framing } => {
                    return Ok(self.read_body(framing)?.then(|| (status, std::mem::take(&mut self.body))));
                }
            }
        }
    }

    /// Called when the connection was closed in order; returns the response if that ends its body.
    ///
    /// # Errors
    /// The response is truncated.
    pub fn finish(&mut self) -> Result<StatusAndBody, ResponseError> {
        match self.stage {
            Stage::Head { .. } => Err(ResponseError::TruncatedHead),
            Stage::Body { status, framing: Framing::UntilClose } => {
                Ok((status, std::mem::take(&mut self.body)))
            }
            Stage::Body { .. } => Err(ResponseError::TruncatedBody),
        }
    }

    fn parse_head(&mut self, interim: usize) -> Result<Option<Stage>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.buffer).map_err(|e| ResponseError::Head(e.to_string()))?;
        let httparse::Status::Complete(length) = parsed else {
            return if self.buffer.len() > MAX_HEAD { Err(ResponseError::TooLong) } else { Ok(None) };
        };
        let status = response.code.unwrap_or(0);
        let framing = framing(status, response.headers)?;
        if matches!(framing, Framing::Length(length) if length > self.max_body) {
            return Err(ResponseError::TooLong);
        }
        self.buffer.drain(..length);
        if (100..200).contains(&status) {
            let interim = interim + 1;
            return if interim > MAX_INTERIM {
                Err(ResponseError::TooLong)
            } else {
                Ok(Some(Stage::Head { interim }))
            };
        }
        Ok(Some(Stage::Body { status, framing }))
    }

    /// Moves received bytes to the body; returns whether it is complete.
    fn read_body(&mut self, framing: Framing) -> Result<bool, ResponseError> {
        match framing {
            Framing::Length(length) => {
                let available = (length - self.body.len()).min(self.buffer.len());
                self.body.extend(self.buffer.drain(..available));
                Ok(self.body.len() == length)
            }
            Framing::UntilClose => {
                self.body.append(&mut self.buffer);
                if self.body.len() > self.max_body {
                    return Err(ResponseError::TooLong);
                }
                Ok(false)
            }
            Framing::Chunked => self.read_chunks(),
        }
    }

    fn read_chunks(&mut self) -> Result<bool, ResponseError> {
        loop {
            if let Some(remaining) = self.chunk_remaining {
                // The CRLF after the chunk is not part of the body.
                let data = remaining.saturating_sub(2).min(self.buffer.len());
                self.body.extend(self.buffer.drain(..data));
                let remaining = remaining - data;
                if remaining > 2 || self.buffer.len() < remaining {
                    self.chunk_remaining = Some(remaining);
                    return Ok(false);
                }
                if self.buffer[..2] != *b"\r\n" {
                    return Err(ResponseError::Length("chunk"));
                }
                self.buffer.drain(..2);
                self.chunk_remaining = None;
            }
            let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") else {
                return if self.buffer.len() > MAX_LINE { Err(ResponseError::TooLong) } else { Ok(false) };
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let line = &line[..end];
            if self.in_trailers {
                if line.is_empty() {
                    return Ok(true);
                }
                continue;
            }
            let digits = line.split(|b| *b == b';').next().unwrap_or_default();
            let digits = std::str::from_utf8(digits).map(str::trim).unwrap_or_default();
            let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
            let size = usize::from_str_radix(digits, 16).ok().filter(|_| is_hex);
            let size = size.ok_or(ResponseError::Length("chunk"))?;
            if size > self.max_body || self.body.len() + size > self.max_body {
                return Err(ResponseError::TooLong);
            }
            match size {
                0 => self.in_trailers = true,
                n => self.chunk_remaining = Some(n + 2),
            }
        }
    }
}

/// Determines how the body ends (RFC 9112, section 6.3).
fn framing(status: u16, headers: &[httparse::Header<'_>]) -> Result<Framing, ResponseError> {
    let headers_named =
        |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    if (100..200).contains(&status) || status == 204 || status == 304 {
        return Ok(Framing::Length(0));
    }
    let mut encodings = headers_named("transfer-encoding").peekable();
    if encodings.peek().is_some() {
        let text = encodings.filter_map(|h| std::str::from_utf8(h.value).ok()).collect::<Vec<_>>().join(",");
        return if text.trim().eq_ignore_ascii_case("chunked") {
            Ok(Framing::Chunked)
        } else {
            Err(ResponseError::Length("transfer-encoding"))
        };
    }
    let mut content_length = None;
    for header in headers_named("content-length") {
        let text = std::str::from_utf8(header.value).map(str::trim).unwrap_or_default();
        let is_decimal = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = text.parse::<usize>().ok().filter(|_| is_decimal);
        let length = length.ok_or(ResponseError::Length("content-length"))?;
        if content_length.is_some_and(|l| l != length) {
            return Err(ResponseError::Length("content-length"));
        }
        content_length = Some(length);
    }
    match content_length {
        Some(length) => Ok(Framing::Length(length)),
        None => Ok(Framing::UntilClose),
    }
}
