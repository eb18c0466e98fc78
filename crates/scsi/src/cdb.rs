//! Command descriptor blocks (CDBs): parsing and validation.

use crate::sense::Sense;

/// The operation of a command that accesses the medium.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MediaOp {
    /// READ.
    Read,
    /// WRITE.
    Write,
    /// VERIFY.
    Verify {
        /// BYTCHK is 01b: the initiator sends data that the blocks are compared with. Otherwise only the
        /// medium is verified.
        compare: bool,
    },
    /// SYNCHRONIZE CACHE.
    Flush,
    /// COMPARE AND WRITE.
    CompareAndWrite,
}

/// A command that accesses the medium.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MediaCommand {
    /// The operation.
    pub op: MediaOp,
    /// The first logical block.
    pub lba: u64,
    /// The number of blocks.
    pub blocks: u32,
    /// Force unit access: bypass volatile caches.
    pub fua: bool,
    /// The GROUP NUMBER field of the CDB.
    pub group: u8,
}

impl MediaCommand {
    /// Number of bytes that the initiator sends.
    pub fn data_out_length(&self, block_len: u32) -> u64 {
        let blocks = match self.op {
            MediaOp::Write | MediaOp::Verify { compare: true } => u64::from(self.blocks),
            MediaOp::CompareAndWrite => 2 * u64::from(self.blocks),
            _ => 0,
        };
        blocks * u64::from(block_len)
    }

    /// Number of bytes that the initiator receives.
    pub fn data_in_length(&self, block_len: u32) -> u64 {
        if self.op == MediaOp::Read {
            u64::from(self.blocks) * u64::from(block_len)
        } else {
            0
        }
    }

    /// Number of bytes transferred, in either direction.
    pub fn transfer_length(&self, block_len: u32) -> u64 {
        self.data_in_length(block_len).max(self.data_out_length(block_len))
    }

    /// Whether the command may change the blocks.
    pub fn is_write(&self) -> bool {
        matches!(self.op, MediaOp::Write | MediaOp::CompareAndWrite)
    }

    /// Encodes the command as a 16-byte CDB.
    pub fn to_cdb(&self) -> [u8; 16] {
        let mut c = [0; 16];
        let (opcode, flags) = match self.op {
            MediaOp::Read => (0x88, if self.fua { 0x08 } else { 0 }),
            MediaOp::Write => (0x8a, if self.fua { 0x08 } else { 0 }),
            MediaOp::Verify { compare } => (0x8f, if compare { 0x02 } else { 0 }),
            MediaOp::Flush => (0x91, 0),
            MediaOp::CompareAndWrite => (0x89, if self.fua { 0x08 } else { 0 }),
        };
        (c[0], c[1]) = (opcode, flags);
        c[2..10].copy_from_slice(&self.lba.to_be_bytes());
        if self.op == MediaOp::CompareAndWrite {
            c[13] = self.blocks as u8;
        } else {
            c[10..14].copy_from_slice(&self.blocks.to_be_bytes());
        }
        c[14] = self.group & 0x3f;
        c
    }
}

/// A validated command that this device supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cdb {
    /// TEST UNIT READY.
    TestUnitReady,
    /// REQUEST SENSE.
    RequestSense {
        /// Descriptor format is requested, not fixed format.
        descriptor_format: bool,
        /// Maximum number of bytes that the initiator accepts.
        allocation_length: u32,
    },
    /// INQUIRY, for standard data or a vital product data page.
    Inquiry {
        /// The vital product data page; `None` for standard data.
        page: Option<u8>,
        /// Maximum number of bytes that the initiator accepts.
        allocation_length: u32,
    },
    /// MODE SENSE (6) or MODE SENSE (10).
    ModeSense {
        /// Whether it is the 10-byte command.
        is_ten_byte: bool,
        /// DBD: no block descriptors are returned.
        disable_block_descriptors: bool,
        /// PC: 0 current, 1 changeable, 2 default, 3 saved values.
        page_control: u8,
        /// The page code.
        page: u8,
        /// The subpage code.
        subpage: u8,
        /// Maximum number of bytes that the initiator accepts.
        allocation_length: u32,
    },
    /// START STOP UNIT.
    StartStop,
    /// REPORT LUNS.
    ReportLuns {
        /// The SELECT REPORT field.
        select_report: u8,
        /// Maximum number of bytes that the initiator accepts.
        allocation_length: u32,
    },
    /// READ CAPACITY (10).
    ReadCapacity10,
    /// READ CAPACITY (16).
    ReadCapacity16 {
        /// Maximum number of bytes that the initiator accepts.
        allocation_length: u32,
    },
    /// A command that accesses the medium.
    Media(MediaCommand),
}

fn be16(c: &[u8; 16], at: usize) -> u32 {
    u32::from(u16::from_be_bytes([c[at], c[at + 1]]))
}

fn be32(c: &[u8; 16], at: usize) -> u32 {
    u32::from_be_bytes([c[at], c[at + 1], c[at + 2], c[at + 3]])
}

fn be64(c: &[u8; 16], at: usize) -> u64 {
    u64::from(be32(c, at)) << 32 | u64::from(be32(c, at + 4))
}

impl Cdb {
    /// Parses and validates a CDB.
    ///
    /// # Errors
    /// The sense data to respond with if the command or one of its options is not supported.
    pub fn parse(c: &[u8; 16]) -> Result<Cdb, Sense> {
        let control_byte = match c[0] >> 5 {
            0 => 5,
            1 | 2 => 9,
            4 => 15,
            5 => 11,
            _ => return Err(Sense::INVALID_OPCODE),
        };
        let parsed = Self::parse_body(c)?;
        // NACA requests auto contingent allegiance, which the standard INQUIRY data reports as not supported.
        if c[control_byte] & 0x04 != 0 {
            return Err(Sense::invalid_field(control_byte as u16));
        }
        Ok(parsed)
    }

    fn parse_body(c: &[u8; 16]) -> Result<Cdb, Sense> {
        // RDPROTECT, WRPROTECT and VRPROTECT must be 0: protection information is not supported.
        let unprotected = |cdb: Cdb| if c[1] & 0xe0 == 0 { Ok(cdb) } else { Err(Sense::invalid_field(1)) };
        let fua = c[1] & 0x08 != 0;
        let media = |op, lba, blocks, group| Cdb::Media(MediaCommand { op, lba, blocks, fua, group });
        let verify = |lba, blocks, group| match c[1] >> 1 & 3 {
            0 => Ok(media(MediaOp::Verify { compare: false }, lba, blocks, group)),
            1 => Ok(media(MediaOp::Verify { compare: true }, lba, blocks, group)),
            _ => Err(Sense::invalid_field(1)),
        };
        let (group10, group12, group16) = (c[6] & 0x3f, c[10] & 0x3f, c[14] & 0x3f);
        match c[0] {
            0x00 => Ok(Cdb::TestUnitReady),
            0x03 => {
                Ok(Cdb::RequestSense { descriptor_format: c[1] & 1 != 0, allocation_length: u32::from(c[4]) })
            }
            0x08 | 0x0a => {
                let lba = u64::from(be32(c, 0) & 0x1f_ffff);
                // A transfer length of 0 means 256 blocks in 6-byte commands (SBC-3, section 5.7).
                let blocks = if c[4] == 0 { 256 } else { u32::from(c[4]) };
                let op = if c[0] == 0x08 { MediaOp::Read } else { MediaOp::Write };
                Ok(Cdb::Media(MediaCommand { op, lba, blocks, fua: false, group: 0 }))
            }
            0x12 => match (c[1] & 1 != 0, c[2]) {
                (false, 0) => Ok(Cdb::Inquiry { page: None, allocation_length: be16(c, 3) }),
                (false, _) => Err(Sense::invalid_field(2)),
                (true, page) => Ok(Cdb::Inquiry { page: Some(page), allocation_length: be16(c, 3) }),
            },
            0x1a | 0x5a => Ok(Cdb::ModeSense {
                is_ten_byte: c[0] == 0x5a,
                disable_block_descriptors: c[1] & 0x08 != 0,
                page_control: c[2] >> 6,
                page: c[2] & 0x3f,
                subpage: c[3],
                allocation_length: if c[0] == 0x5a { be16(c, 7) } else { u32::from(c[4]) },
            }),
            0x1b => Ok(Cdb::StartStop),
            0x25 => match (c[8] & 1, be32(c, 2)) {
                (0, 0) => Ok(Cdb::ReadCapacity10),
                _ => Err(Sense::invalid_field(2)),
            },
            0x28 => unprotected(media(MediaOp::Read, u64::from(be32(c, 2)), be16(c, 7), group10)),
            0x2a => unprotected(media(MediaOp::Write, u64::from(be32(c, 2)), be16(c, 7), group10)),
            0x2f => unprotected(verify(u64::from(be32(c, 2)), be16(c, 7), group10)?),
            0x35 => Ok(media(MediaOp::Flush, u64::from(be32(c, 2)), be16(c, 7), group10)),
            0x88 => unprotected(media(MediaOp::Read, be64(c, 2), be32(c, 10), group16)),
            0x89 => unprotected(media(MediaOp::CompareAndWrite, be64(c, 2), u32::from(c[13]), group16)),
            0x8a => unprotected(media(MediaOp::Write, be64(c, 2), be32(c, 10), group16)),
            0x8f => unprotected(verify(be64(c, 2), be32(c, 10), group16)?),
            0x91 => Ok(media(MediaOp::Flush, be64(c, 2), be32(c, 10), group16)),
            0x9e if c[1] & 0x1f == 0x10 => Ok(Cdb::ReadCapacity16 { allocation_length: be32(c, 10) }),
            0x9e => Err(Sense::invalid_field(1)),
            0xa0 => Ok(Cdb::ReportLuns { select_report: c[2], allocation_length: be32(c, 6) }),
            0xa8 => unprotected(media(MediaOp::Read, u64::from(be32(c, 2)), be32(c, 6), group12)),
            0xaa => unprotected(media(MediaOp::Write, u64::from(be32(c, 2)), be32(c, 6), group12)),
            0xaf => unprotected(verify(u64::from(be32(c, 2)), be32(c, 6), group12)?),
            _ => Err(Sense::INVALID_OPCODE),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn a_transfer_length_of_zero_in_a_six_byte_read_means_256_blocks() {
        let mut c = [0u8; 16];
        c[..6].copy_from_slice(&[0x08, 0xff, 0x12, 0x34, 0, 0]);
        let Ok(Cdb::Media(m)) = Cdb::parse(&c) else { panic!() };
        assert_eq!((m.lba, m.blocks), (0x1f_1234, 256));
    }

    #[test]
    fn protection_naca_and_unknown_opcodes_are_rejected_with_their_sense() {
        let mut c = MediaCommand { op: MediaOp::Read, lba: 1, blocks: 1, fua: false, group: 0 }.to_cdb();
        c[1] |= 0x20;
        assert_eq!(Cdb::parse(&c), Err(Sense::invalid_field(1)));
        (c[1], c[15]) = (0, 4);
        assert_eq!(Cdb::parse(&c), Err(Sense::invalid_field(15)));
        assert_eq!(Cdb::parse(&[0xc1; 16]), Err(Sense::INVALID_OPCODE));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(512) })]
        #[test]
        fn parsing_never_panics(c in any::<[u8; 16]>()) {
            let _ = Cdb::parse(&c);
        }

        #[test]
        fn an_encoded_command_parses_to_itself(lba in any::<u64>(), blocks in 0u32..256, op in 0usize..6, fua: bool) {
            let op = [MediaOp::Read, MediaOp::Write, MediaOp::Verify { compare: false },
                MediaOp::Verify { compare: true }, MediaOp::Flush, MediaOp::CompareAndWrite][op];
            let fua = fua && matches!(op, MediaOp::Read | MediaOp::Write | MediaOp::CompareAndWrite);
            let m = MediaCommand { op, lba, blocks, fua, group: 5 };
            prop_assert_eq!(Cdb::parse(&m.to_cdb()), Ok(Cdb::Media(m)));
        }
    }
}
