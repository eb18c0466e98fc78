//! The basic header segment (BHS; RFC 7143, section 11.2) and the PDU that it begins.

use crate::payload::Payload;
use bytes::Bytes;

/// Length of the basic header segment in bytes.
pub const BHS_LEN: usize = 48;
/// The reserved tag: no task, or no transfer (RFC 7143, section 11.2.1.8).
pub const RESERVED_TAG: u32 = 0xffff_ffff;

/// Opcodes (RFC 7143, section 11.2.1.2).
#[allow(missing_docs)]
pub mod opcode {
    pub const NOP_OUT: u8 = 0x00;
    pub const SCSI_COMMAND: u8 = 0x01;
    pub const TASK_MANAGEMENT: u8 = 0x02;
    pub const LOGIN: u8 = 0x03;
    pub const TEXT: u8 = 0x04;
    pub const DATA_OUT: u8 = 0x05;
    pub const LOGOUT: u8 = 0x06;
    pub const SNACK: u8 = 0x10;
    pub const NOP_IN: u8 = 0x20;
    pub const SCSI_RESPONSE: u8 = 0x21;
    pub const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;
    pub const LOGIN_RESPONSE: u8 = 0x23;
    pub const TEXT_RESPONSE: u8 = 0x24;
    pub const DATA_IN: u8 = 0x25;
    pub const LOGOUT_RESPONSE: u8 = 0x26;
    pub const R2T: u8 = 0x31;
    pub const ASYNC: u8 = 0x32;
    pub const REJECT: u8 = 0x3f;
}

/// A protocol data unit. The encoder sets the length fields of its header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// The basic header segment.
    pub bhs: [u8; BHS_LEN],
    /// Additional header segments, padded to a multiple of 4 bytes.
    pub ahs: Bytes,
    /// The data segment without its padding.
    pub data: Payload,
}

impl Pdu {
    /// Creates an empty PDU with an opcode, the F bit and an initiator task tag.
    pub fn new(opcode: u8, itt: u32) -> Self {
        let mut pdu = Pdu { bhs: [0; BHS_LEN], ahs: Bytes::new(), data: Payload::new() };
        pdu.bhs[0] = opcode;
        pdu.bhs[1] = 0x80;
        pdu.set_u32(16, itt);
        pdu
    }

    /// The opcode.
    pub fn opcode(&self) -> u8 {
        self.bhs[0] & 0x3f
    }

    /// The I bit: an immediate request, delivered outside the order of CmdSN.
    pub fn is_immediate(&self) -> bool {
        self.bhs[0] & 0x40 != 0
    }

    /// The F bit of byte 1, which login PDUs call T (transit).
    pub fn is_final(&self) -> bool {
        self.bhs[1] & 0x80 != 0
    }

    /// The LUN field.
    pub fn lun(&self) -> u64 {
        u64::from(self.u32(8)) << 32 | u64::from(self.u32(12))
    }

    /// The initiator task tag.
    pub fn itt(&self) -> u32 {
        self.u32(16)
    }

    /// Reads a 32-bit field at a byte offset of the header.
    ///
    /// # Panics
    /// The field is not within the header.
    pub fn u32(&self, offset: usize) -> u32 {
        u32::from_be_bytes([
            self.bhs[offset],
            self.bhs[offset + 1],
            self.bhs[offset + 2],
            self.bhs[offset + 3],
        ])
    }

    /// Reads a 16-bit field at a byte offset of the header.
    ///
    /// # Panics
    /// The field is not within the header.
    pub fn u16(&self, offset: usize) -> u16 {
        u16::from_be_bytes([self.bhs[offset], self.bhs[offset + 1]])
    }

    pub(crate) fn set_u32(&mut self, offset: usize, value: u32) {
        self.bhs[offset..offset + 4].copy_from_slice(&value.to_be_bytes());
    }

    pub(crate) fn set_u16(&mut self, offset: usize, value: u16) {
        self.bhs[offset..offset + 2].copy_from_slice(&value.to_be_bytes());
    }

    pub(crate) fn set_lun(&mut self, lun: u64) {
        self.bhs[8..16].copy_from_slice(&lun.to_be_bytes());
    }
}

/// Whether sequence number `a` precedes `b` in serial number arithmetic (RFC 1982).
pub(crate) fn sn_less(a: u32, b: u32) -> bool {
    (b.wrapping_sub(a) as i32) > 0
}
