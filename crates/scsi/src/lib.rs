//! SCSI commands of a block device, without I/O: SAM-5 for status, SPC-4 for the primary commands, SBC-3 for
//! those of a disk.
//!
//! [`Cdb::parse`] turns a CDB into a validated command or the [`Sense`] data to respond with.
//! [`LogicalUnit::respond`] handles all commands that need no medium access; what remains is a
//! [`MediaCommand`] whose blocks are known to exist.

mod cdb;
mod sense;
mod unit;

pub use cdb::{Cdb, MediaCommand, MediaOp};
pub use sense::{Sense, SenseKey};
pub use unit::{report_luns, LogicalUnit, UnitResponse, MAX_TRANSFER_BLOCKS};

/// SCSI status codes (SAM-5, section 5.3.1).
#[allow(missing_docs)]
pub mod status {
    pub const GOOD: u8 = 0x00;
    pub const CHECK_CONDITION: u8 = 0x02;
    pub const BUSY: u8 = 0x08;
    pub const RESERVATION_CONFLICT: u8 = 0x18;
    pub const TASK_SET_FULL: u8 = 0x28;
    pub const TASK_ABORTED: u8 = 0x40;
}

/// Encodes a unit number below 16384 as a LUN field: below 256 with peripheral device addressing, otherwise
/// with flat space addressing (SAM-5, section 4.7.7).
pub fn encode_lun(unit: u16) -> u64 {
    if unit < 256 {
        u64::from(unit) << 48
    } else {
        u64::from(0x4000 | unit & 0x3fff) << 48
    }
}

/// The unit number in a LUN field; `None` for addressing methods and levels that this device does not use.
pub fn decode_lun(lun: u64) -> Option<u16> {
    let first_level = (lun >> 48) as u16;
    if lun << 16 != 0 {
        return None;
    }
    match first_level >> 14 {
        0 if first_level < 256 => Some(first_level),
        1 => Some(first_level & 0x3fff),
        _ => None,
    }
}
