//! Extracts iSCSI headers from byte streams and skips data segments. Supports sessions without digests only.

/// Opcodes that the checker evaluates (RFC 7143, section 11.2.1.2).
#[allow(missing_docs)]
pub mod opcode {
    pub const COMMAND: u8 = 0x01;
    pub const TASK_MANAGEMENT: u8 = 0x02;
    pub const DATA_OUT: u8 = 0x05;
    pub const RESPONSE: u8 = 0x21;
    pub const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;
    pub const LOGIN_RESPONSE: u8 = 0x23;
    pub const DATA_IN: u8 = 0x25;
    pub const R2T: u8 = 0x31;
}

/// A basic header segment with its additional header segments, serialized as one string of hexadecimal
/// digits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Header {
    /// The basic header segment, 48 bytes.
    pub bytes: [u8; 48],
    /// The additional header segments.
    pub extra: Vec<u8>,
}

impl Header {
    /// Opcode without the immediate-delivery bit.
    pub fn opcode(&self) -> u8 {
        self.bytes[0] & 0x3f
    }

    /// Whether the final (F) bit is set.
    pub fn is_final(&self) -> bool {
        self.bytes[1] & 0x80 != 0
    }

    /// Initiator task tag.
    pub fn tag(&self) -> u32 {
        self.u32_at(16)
    }

    /// The big-endian number in the four bytes at an offset.
    pub fn u32_at(&self, at: usize) -> u32 {
        self.bytes[at..at + 4].iter().fold(0, |n, b| n << 8 | u32::from(*b))
    }

    /// Whether this PDU carries a command's status: a SCSI response, or Data-In with the S bit set.
    pub fn ends_command(&self) -> bool {
        self.opcode() == opcode::RESPONSE || (self.opcode() == opcode::DATA_IN && self.bytes[1] & 1 != 0)
    }

    /// SCSI status of a PDU for which [`Self::ends_command`] is true.
    pub fn status(&self) -> u8 {
        self.bytes[3]
    }
}

impl From<Header> for String {
    fn from(h: Header) -> String {
        use std::fmt::Write;
        h.bytes.iter().chain(&h.extra).fold(String::with_capacity(96), |mut out, b| {
            let _ = write!(out, "{b:02x}");
            out
        })
    }
}

impl TryFrom<String> for Header {
    type Error = String;

    fn try_from(text: String) -> Result<Header, String> {
        let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
        let digits = digits.ok_or("header contains a character that is not a hexadecimal digit")?;
        // TotalAHSLength is one byte that counts four-byte words (RFC 7143, section 11.2.1.5).
        if digits.len() % 2 != 0 || !(96..=96 + 2 * 255 * 4).contains(&digits.len()) {
            return Err(format!("a header has 48 to 1068 bytes, found {} hexadecimal digits", digits.len()));
        }
        let all: Vec<u8> = digits.chunks_exact(2).map(|d| d[0] << 4 | d[1]).collect();
        let mut header = Header { bytes: [0; 48], extra: all[48..].to_vec() };
        header.bytes.copy_from_slice(&all[..48]);
        Ok(header)
    }
}

/// Extracts the headers from one direction of one connection.
#[derive(Debug, Default)]
pub struct HeaderParser {
    /// The part of the current header received so far.
    partial_header: Vec<u8>,
    /// Bytes of the current data segment and its padding that are still to be skipped.
    bytes_to_skip: usize,
}

impl HeaderParser {
    /// Consumes bytes in stream order and calls `on_header` for each header that they complete.
    pub fn feed(&mut self, mut bytes: &[u8], mut on_header: impl FnMut(Header)) {
        while !bytes.is_empty() {
            if self.bytes_to_skip > 0 {
                let n = self.bytes_to_skip.min(bytes.len());
                self.bytes_to_skip -= n;
                bytes = &bytes[n..];
                continue;
            }
            let header_len = if self.partial_header.len() < 48 {
                48
            } else {
                48 + usize::from(self.partial_header[4]) * 4
            };
            let n = (header_len - self.partial_header.len()).min(bytes.len());
            self.partial_header.extend_from_slice(&bytes[..n]);
            bytes = &bytes[n..];
            if self.partial_header.len() < 48
                || self.partial_header.len() < 48 + usize::from(self.partial_header[4]) * 4
            {
                continue;
            }
            let data = self.partial_header[5..8].iter().fold(0usize, |n, b| n << 8 | usize::from(*b));
            self.bytes_to_skip = data.div_ceil(4) * 4;
            let mut header = Header { bytes: [0; 48], extra: self.partial_header.split_off(48) };
            header.bytes.copy_from_slice(&self.partial_header);
            self.partial_header.clear();
            on_header(header);
        }
    }
}

/// Metadata that a host attaches to each command for a node: additional header segment of type 62.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommandMetadata {
    /// Number of the host that sent the command.
    pub host: u16,
    /// Start time of the host's process, seconds.
    pub host_start_s: u32,
    /// Handle (TSIH) of the client's session at the host.
    pub session: u16,
    /// CmdSN of the client's command.
    pub cmd_sn: u32,
    /// Index of the part, of a command that the host split into several requests.
    pub part: u16,
    /// Attempt number, from 0.
    pub attempt: u16,
    /// Volume id.
    pub volume: u32,
    /// Cost in thousandths of a unit.
    pub milli_units: u32,
}

impl CommandMetadata {
    /// Finds the metadata in additional header segments.
    pub fn find(mut extra: &[u8]) -> Option<CommandMetadata> {
        while extra.len() >= 4 {
            let len = usize::from(extra[0]) << 8 | usize::from(extra[1]);
            let padded_len = (3 + len).div_ceil(4) * 4;
            let body = extra.get(4..3 + len)?;
            if extra[2] >> 2 == 62 && body.len() == 24 {
                let n =
                    |from: usize, to: usize| body[from..to].iter().fold(0u32, |n, b| n << 8 | u32::from(*b));
                return Some(CommandMetadata {
                    host: n(0, 2) as u16,
                    host_start_s: n(2, 6),
                    session: n(6, 8) as u16,
                    cmd_sn: n(8, 12),
                    part: n(12, 14) as u16,
                    attempt: n(14, 16) as u16,
                    volume: n(16, 20),
                    milli_units: n(20, 24),
                });
            }
            extra = extra.get(padded_len..)?;
        }
        None
    }
}

/// A command's access to the medium, decoded from its CDB.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MediaAccess {
    /// Operation.
    pub op: Op,
    /// First block.
    pub lba: u64,
    /// Number of blocks.
    pub blocks: u64,
}

/// Operations on the medium.
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Op {
    Read,
    Write,
    Verify,
    Flush,
    CompareAndWrite,
}

/// Decodes a CDB (SBC-3). `None` for a command that does not access the medium.
pub fn parse_media_access(cdb: &[u8]) -> Option<MediaAccess> {
    let n = |from: usize, to: usize| cdb[from..to].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
    let op = match cdb[0] {
        0x08 | 0x28 | 0x88 | 0xa8 => Op::Read,
        0x0a | 0x2a | 0x8a | 0xaa => Op::Write,
        0x2f | 0x8f | 0xaf => Op::Verify,
        0x35 | 0x91 => Op::Flush,
        0x89 => Op::CompareAndWrite,
        _ => return None,
    };
    let (lba, blocks) = match cdb[0] {
        0x08 | 0x0a => (n(1, 4) & 0x1f_ffff, if cdb[4] == 0 { 256 } else { n(4, 5) }),
        0x89 => (n(2, 10), n(13, 14)),
        0x88 | 0x8a | 0x8f | 0x91 => (n(2, 10), n(10, 14)),
        0xa8 | 0xaa | 0xaf => (n(2, 6), n(6, 10)),
        _ => (n(2, 6), n(7, 9)),
    };
    Some(MediaAccess { op, lba, blocks })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn headers_are_extracted_whatever_the_chunk_size() {
        let mut stream = Vec::new();
        for (i, data) in [0usize, 5, 4096, 3].into_iter().enumerate() {
            let mut h = [0u8; 48];
            (h[0], h[4], h[19]) = (opcode::COMMAND, (i % 3) as u8, i as u8);
            h[5..8].copy_from_slice(&(data as u32).to_be_bytes()[1..]);
            stream.extend_from_slice(&h);
            stream.extend(std::iter::repeat_n(7, (i % 3) * 4 + data.div_ceil(4) * 4));
        }
        for chunk_len in [1, 2, 47, 48, 49, 1000, stream.len()] {
            let (mut parser, mut tags) = (HeaderParser::default(), Vec::new());
            for chunk in stream.chunks(chunk_len) {
                parser.feed(chunk, |h| tags.push((h.tag(), h.extra.len())));
            }
            assert_eq!(tags, [(0, 0), (1, 4), (2, 8), (3, 0)], "{chunk_len}");
        }
    }
}
