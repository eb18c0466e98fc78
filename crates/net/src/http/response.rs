//! An HTTP/1.1 response as it comes, piece by piece. No I/O.
//!
//! Danger: a body may have no length, and then only the orderly end of its connection ends it. A connection that is reset,
//! or a chunk that is cut off, ends nothing: what came till then may be half a list that reads like a whole one.

/// Most bytes of a response's head.
const MAX_HEAD: usize = 16 * 1024;
/// Most bytes of a body that a client takes.
const MAX_BODY: usize = 16 << 20;
/// Most bytes of the line before a chunk, and of the trailers behind the last.
const MAX_LINE: usize = 4 * 1024;
/// Heads of 1xx responses that may come before the one that counts.
const MAX_INTERIM: usize = 8;

/// Status and body.
pub type StatusAndBody = (u16, Vec<u8>);

/// Why a response is of no use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The connection ended within the head.
    #[error("it ends within its head")]
    TruncatedHead,
    /// The connection ended within a body that states its length, by a figure or by chunks.
    #[error("it ends before its stated length")]
    TruncatedBody,
    /// The head can't be read.
    #[error("its head makes no sense: {0}")]
    Head(String),
    /// A header of its length can't be read, or two of them differ.
    #[error("its {0} makes no sense")]
    Length(&'static str),
    /// More than is taken.
    #[error("it is too long")]
    TooLong,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// Up to the orderly end of the connection.
    ToEnd,
}

#[derive(Debug)]
enum Stage {
    Head { interim: usize },
    Body { status: u16, framing: Framing },
}

/// Takes bytes, gives the response once it is whole.
#[derive(Debug)]
pub struct ResponseParser {
    buffer: Vec<u8>,
    body: Vec<u8>,
    /// Bytes still to come of the chunk that is read, its line end included; `None` between chunks.
    chunk: Option<usize>,
    /// The last chunk came; its trailers end with an empty line.
    trailers: bool,
    stage: Stage,
}

impl Default for ResponseParser {
    fn default() -> Self {
        ResponseParser {
            buffer: Vec::new(),
            body: Vec::new(),
            chunk: None,
            trailers: false,
            stage: Stage::Head { interim: 0 },
        }
    }
}

impl ResponseParser {
    /// Bytes came: the response, where it is whole by its own word.
    ///
    /// # Errors
    /// It is of no use, whatever comes after.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<StatusAndBody>, ResponseError> {
        self.buffer.extend_from_slice(bytes);
        loop {
            match self.stage {
                Stage::Head { interim } => match self.head(interim)? {
                    Some(next) => self.stage = next,
                    None => return Ok(None),
                },
                Stage::Body { status, framing } => {
                    return Ok(self.body(framing)?.then(|| (status, std::mem::take(&mut self.body))));
                }
            }
        }
    }

    /// The connection ended in order: the response, where that is its end.
    ///
    /// # Errors
    /// It was cut off.
    pub fn finish(&mut self) -> Result<StatusAndBody, ResponseError> {
        match self.stage {
            Stage::Head { .. } => Err(ResponseError::TruncatedHead),
            Stage::Body { status, framing: Framing::ToEnd } => Ok((status, std::mem::take(&mut self.body))),
            Stage::Body { .. } => Err(ResponseError::TruncatedBody),
        }
    }

    fn head(&mut self, interim: usize) -> Result<Option<Stage>, ResponseError> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(&self.buffer).map_err(|e| ResponseError::Head(e.to_string()))?;
        let httparse::Status::Complete(length) = parsed else {
            return if self.buffer.len() > MAX_HEAD { Err(ResponseError::TooLong) } else { Ok(None) };
        };
        let status = response.code.unwrap_or(0);
        let framing = framing(status, response.headers)?;
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

    /// Whether the body is whole.
    fn body(&mut self, framing: Framing) -> Result<bool, ResponseError> {
        match framing {
            Framing::Length(length) => {
                let more = (length - self.body.len()).min(self.buffer.len());
                self.body.extend(self.buffer.drain(..more));
                Ok(self.body.len() == length)
            }
            Framing::ToEnd => {
                self.body.append(&mut self.buffer);
                if self.body.len() > MAX_BODY {
                    return Err(ResponseError::TooLong);
                }
                Ok(false)
            }
            Framing::Chunked => self.chunks(),
        }
    }

    fn chunks(&mut self) -> Result<bool, ResponseError> {
        loop {
            if let Some(left) = self.chunk {
                // The chunk's own line end is not of the body.
                let data = left.saturating_sub(2).min(self.buffer.len());
                self.body.extend(self.buffer.drain(..data));
                let left = left - data;
                if left > 2 || self.buffer.len() < left {
                    self.chunk = Some(left);
                    return Ok(false);
                }
                if self.buffer[..2] != *b"\r\n" {
                    return Err(ResponseError::Length("chunk"));
                }
                self.buffer.drain(..2);
                self.chunk = None;
            }
            let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") else {
                return if self.buffer.len() > MAX_LINE { Err(ResponseError::TooLong) } else { Ok(false) };
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let line = &line[..end];
            if self.trailers {
                if line.is_empty() {
                    return Ok(true);
                }
                continue;
            }
            let digits = line.split(|b| *b == b';').next().unwrap_or_default();
            let digits = std::str::from_utf8(digits).map(str::trim).unwrap_or_default();
            let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
            let size = usize::from_str_radix(digits, 16).ok().filter(|_| plain);
            let size = size.ok_or(ResponseError::Length("chunk"))?;
            if size > MAX_BODY || self.body.len() + size > MAX_BODY {
                return Err(ResponseError::TooLong);
            }
            match size {
                0 => self.trailers = true,
                n => self.chunk = Some(n + 2),
            }
        }
    }
}

fn framing(status: u16, headers: &[httparse::Header<'_>]) -> Result<Framing, ResponseError> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    if (100..200).contains(&status) || status == 204 || status == 304 {
        return Ok(Framing::Length(0));
    }
    let mut coded = named("transfer-encoding").peekable();
    if coded.peek().is_some() {
        let text = coded.filter_map(|h| std::str::from_utf8(h.value).ok()).collect::<Vec<_>>().join(",");
        return if text.trim().eq_ignore_ascii_case("chunked") {
            Ok(Framing::Chunked)
        } else {
            Err(ResponseError::Length("transfer-encoding"))
        };
    }
    let mut told = None;
    for header in named("content-length") {
        let text = std::str::from_utf8(header.value).map(str::trim).unwrap_or_default();
        let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = text.parse::<usize>().ok().filter(|_| plain);
        let length = length.ok_or(ResponseError::Length("content-length"))?;
        if told.is_some_and(|t| t != length) {
            return Err(ResponseError::Length("content-length"));
        }
        told = Some(length);
    }
    match told {
        Some(length) if length > MAX_BODY => Err(ResponseError::TooLong),
        Some(length) => Ok(Framing::Length(length)),
        None => Ok(Framing::ToEnd),
    }
}
