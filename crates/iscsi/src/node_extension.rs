//! An iSCSI extension between hosts and storage nodes, carried in additional header segments (AHS).
//!
//! It is negotiated at login with [`LOGIN_KEY`]. A target that does not know the key replies `NotUnderstood`,
//! and the session is plain iSCSI. The segments use AHS type codes that RFC 7143 (section 11.2.2.1) reserves,
//! and are never sent unless the extension was negotiated.

use bytes::{BufMut, Bytes, BytesMut};

/// The login key that offers and accepts the extension, with the value `Yes`.
pub const LOGIN_KEY: &str = "X-org.pearfork.node";

/// AHSType byte of [`CommandMetadata`]: code 62 in the upper six bits (RFC 7143, section 11.2.2.1).
const METADATA_TYPE: u8 = 62 << 2;
/// AHSType byte of [`LoadReport`]: code 61.
const LOAD_REPORT_TYPE: u8 = 61 << 2;

/// Identifies one part of a client's command. All attempts of the part carry the same key, so that the nodes
/// of a rack can recognize and drop a write that was already applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdempotencyKey {
    /// The host's number, unique among all hosts.
    pub host: u16,
    /// When the host process started, in seconds of Unix time, so that a restarted host does not reuse keys.
    pub host_start_s: u32,
    /// TSIH of the client's session at the host.
    pub session: u16,
    /// CmdSN of the client's command within the session.
    pub cmd_sn: u32,
    /// Index of the part, for a command that crosses extents.
    pub part: u16,
}

/// What a host sends to a node with a command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommandMetadata {
    /// The same for all attempts of the command part.
    pub key: IdempotencyKey,
    /// Number of the attempt, counted from 0.
    pub attempt: u16,
    /// The volume to which the node accounts the units.
    pub volume: u32,
    /// Cost of the command in thousandths of a unit.
    pub milli_units: u32,
}

/// The load that a node reports with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that wait at the node.
    pub queued: u32,
    /// Requests that are being executed or wait at the node.
    pub in_flight: u32,
    /// Recent service time in microseconds, without waiting.
    pub service_us: u32,
    /// Fraction of busy cores, in thousandths.
    pub utilization_milli: u16,
    /// Thousandths of units served for the volume through other hosts since the last response to this host.
    pub other_hosts_milli_units: u32,
    /// Units that all nodes served for the volume in a past period, in percent of its nominal rate;
    /// `u16::MAX` if unknown.
    pub used_percent: u16,
}

/// Encodes an additional header segment.
fn segment(ahs_type: u8, body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(4 + body.len());
    // AHSLength counts the bytes after the type, without padding (RFC 7143, section 11.2.2).
    out.put_u16(body.len() as u16 + 1);
    out.put_u8(ahs_type);
    out.put_u8(0);
    out.put_slice(body);
    out.resize(out.len().next_multiple_of(4), 0);
    out.freeze()
}

/// Returns the body of the first segment of a type; `None` if there is none or an earlier one is malformed.
fn find(mut ahs: &[u8], ahs_type: u8) -> Option<&[u8]> {
    while ahs.len() >= 4 {
        let len = usize::from(u16::from_be_bytes([ahs[0], ahs[1]]));
        let end = (3 + len).next_multiple_of(4);
        if len == 0 || ahs.len() < 3 + len {
            return None;
        }
        if ahs[2] == ahs_type {
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
    /// Encodes it as an additional header segment.
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
        segment(METADATA_TYPE, &b)
    }

    /// Finds and decodes it among additional header segments.
    pub fn from_ahs(ahs: &[u8]) -> Option<CommandMetadata> {
        let b = find(ahs, METADATA_TYPE).filter(|b| b.len() == 24)?;
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
    /// Encodes it as an additional header segment.
    pub fn to_ahs(self) -> Bytes {
        let mut b = BytesMut::with_capacity(20);
        b.put_u32(self.queued);
        b.put_u32(self.in_flight);
        b.put_u32(self.service_us);
        b.put_u16(self.utilization_milli);
        b.put_u32(self.other_hosts_milli_units);
        b.put_u16(self.used_percent);
        segment(LOAD_REPORT_TYPE, &b)
    }

    /// Finds and decodes it among additional header segments.
    pub fn from_ahs(ahs: &[u8]) -> Option<LoadReport> {
        let b = find(ahs, LOAD_REPORT_TYPE).filter(|b| b.len() == 20)?;
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
    fn segments_are_padded_to_words_and_decode_to_the_same_values() {
        let key = IdempotencyKey { host: 3, host_start_s: 9, session: 7, cmd_sn: 1 << 31, part: 2 };
        let metadata = CommandMetadata { key, attempt: 1, volume: 5, milli_units: 2500 };
        let report = LoadReport { queued: 4, service_us: 900, used_percent: 85, ..Default::default() };
        let both = [metadata.to_ahs(), report.to_ahs()].concat();
        assert_eq!(both.len() % 4, 0);
        assert_eq!(
            (CommandMetadata::from_ahs(&both), LoadReport::from_ahs(&both)),
            (Some(metadata), Some(report))
        );
        for cut in 0..both.len() {
            let _ = (CommandMetadata::from_ahs(&both[..cut]), LoadReport::from_ahs(&both[cut..]));
        }
        assert_eq!(CommandMetadata::from_ahs(&[0, 0, 0, 0, 0, 0]), None);
    }
}
