//! The project's extension toward storage nodes, in additional header segments.
//!
//! Agreed on at login with [`LOGIN_KEY`]; a target that does not know the key answers `NotUnderstood` and the
//! session is plain iSCSI. The segments take AHS codes that RFC 7143 (section 11.2.2.1) leaves reserved, and are
//! never sent without that agreement.

use bytes::{BufMut, Bytes, BytesMut};

/// The login key that offers and accepts the extension, with the value `Yes`.
pub const LOGIN_KEY: &str = "X-org.pearfork.node";

/// AHSType byte: code 62 in the upper six bits (RFC 7143, section 11.2.2.1).
const KEY_CODE: u8 = 62 << 2;
const REPORT_CODE: u8 = 61 << 2;

/// Names one effect of a client's request: the same at every attempt, so that a rack can drop repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// Number of the host among the hosts.
    pub host: u16,
    /// Start of the host's process, seconds of the Unix epoch: a restarted host repeats no key.
    pub host_start_s: u32,
    /// The client's session at that host (TSIH).
    pub session: u16,
    /// The client's command within the session (CmdSN).
    pub cmd_sn: u32,
    /// Part of the command, where it crosses extents.
    pub part: u16,
}

/// What a host tells a node with a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandMetadata {
    /// Names the effect.
    pub key: IdempotencyKey,
    /// Number of the attempt, from 0.
    pub attempt: u16,
    /// The volume, for the node's accounts of use.
    pub volume: u32,
    /// Size in thousandths of a unit.
    pub milli_units: u32,
}

/// What a node tells with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: u32,
    /// Requests in work or waiting.
    pub in_flight: u32,
    /// Recent service time without waiting, microseconds.
    pub service_us: u32,
    /// Part of the cores that are busy, in thousandths.
    pub utilization_milli: u16,
    /// Thousandths of units served for the volume through other hosts since the last answer to this one.
    pub other_hosts_milli_units: u32,
    /// Units served for the volume everywhere in a past period, percent of its nominal rate; `u16::MAX`: not told.
    pub used_percent: u16,
}

fn segment(code: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(4 + body.len());
    // AHSLength counts the bytes after the type, without padding (RFC 7143, section 11.2.2).
    out.put_u16(body.len() as u16 + 1);
    out.put_u8(code);
    out.put_u8(0);
    out.put_slice(body);
    out.resize(out.len().next_multiple_of(4), 0);
    out.freeze()
}

/// The body of the first segment of a type.
fn find(mut ahs: &[u8], code: u8) -> Option<&[u8]> {
    while ahs.len() >= 4 {
        let len = usize::from(u16::from_be_bytes([ahs[0], ahs[1]]));
        let end = (3 + len).next_multiple_of(4);
        if len == 0 || ahs.len() < 3 + len {
            return None;
        }
        if ahs[2] == code {
            return ahs.get(4..3 + len);
        }
        ahs = ahs.get(end..)?;
    }
    None
}

fn u16_at(b: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([b[at], b[at + 1]])
}

fn u32_at(b: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([b[at], b[at + 1], b[at + 2], b[at + 3]])
}

impl CommandMetadata {
    /// As an additional header segment.
    pub fn to_ahs(self) -> Bytes {
        let mut b = BytesMut::with_capacity(24);
        b.put_u16(self.key.host);
        b.put_u32(self.key.host_start_s);
        b.put_u16(self.key.session);
        b.put_u32(self.key.cmd_sn);
        b.put_u16(self.key.part);
        b.put_u16(self.attempt);
        b.put_u32(self.volume);
        b.put_u32(self.milli_units);
        segment(KEY_CODE, &b)
    }

    /// Found among additional header segments.
    pub fn from_ahs(ahs: &[u8]) -> Option<CommandMetadata> {
        let b = find(ahs, KEY_CODE).filter(|b| b.len() == 24)?;
        let key = IdempotencyKey {
            host: u16_at(b, 0),
            host_start_s: u32_at(b, 2),
            session: u16_at(b, 6),
            cmd_sn: u32_at(b, 8),
            part: u16_at(b, 12),
        };
        Some(CommandMetadata {
            key,
            attempt: u16_at(b, 14),
            volume: u32_at(b, 16),
            milli_units: u32_at(b, 20),
        })
    }
}

impl LoadReport {
    /// As an additional header segment.
    pub fn to_ahs(self) -> Bytes {
        let mut b = BytesMut::with_capacity(20);
        b.put_u32(self.queued);
        b.put_u32(self.in_flight);
        b.put_u32(self.service_us);
        b.put_u16(self.utilization_milli);
        b.put_u32(self.other_hosts_milli_units);
        b.put_u16(self.used_percent);
        segment(REPORT_CODE, &b)
    }

    /// Found among additional header segments.
    pub fn from_ahs(ahs: &[u8]) -> Option<LoadReport> {
        let b = find(ahs, REPORT_CODE).filter(|b| b.len() == 20)?;
        Some(LoadReport {
            queued: u32_at(b, 0),
            in_flight: u32_at(b, 4),
            service_us: u32_at(b, 8),
            utilization_milli: u16_at(b, 12),
            other_hosts_milli_units: u32_at(b, 14),
            used_percent: u16_at(b, 18),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn segments_are_whole_words_and_come_back() {
        let key = IdempotencyKey { host: 3, host_start_s: 9, session: 7, cmd_sn: 1 << 31, part: 2 };
        let tag = CommandMetadata { key, attempt: 1, volume: 5, milli_units: 2500 };
        let report = LoadReport { queued: 4, service_us: 900, used_percent: 85, ..Default::default() };
        let both = [tag.to_ahs(), report.to_ahs()].concat();
        assert_eq!(both.len() % 4, 0);
        assert_eq!(
            (CommandMetadata::from_ahs(&both), LoadReport::from_ahs(&both)),
            (Some(tag), Some(report))
        );
        for cut in 0..both.len() {
            let _ = (CommandMetadata::from_ahs(&both[..cut]), LoadReport::from_ahs(&both[cut..]));
        }
        assert_eq!(CommandMetadata::from_ahs(&[0, 0, 0, 0, 0, 0]), None);
    }
}
