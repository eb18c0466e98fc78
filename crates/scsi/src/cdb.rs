//! Command descriptor blocks: parsed once, checked, never looked at again.

use crate::sense::Sense;

/// What is done with blocks of the medium.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MediaOp {
    /// READ.
    Read,
    /// WRITE.
    Write,
    /// VERIFY; with the data to compare against, or of the medium alone.
    Verify {
        /// BYTCHK 01b: the initiator sends what the blocks should hold.
        compare: bool,
    },
    /// SYNCHRONIZE CACHE.
    Flush,
    /// COMPARE AND WRITE.
    CompareAndWrite,
}

/// A command that touches the medium.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MediaCommand {
    /// What is done.
    pub op: MediaOp,
    /// First logical block.
    pub lba: u64,
    /// How many.
    pub blocks: u32,
    /// Force unit access: past all caches.
    pub fua: bool,
    /// GROUP NUMBER of the CDB.
    pub group: u8,
}

impl MediaCommand {
    /// Bytes that the initiator sends.
    pub fn data_out_length(&self, block_len: u32) -> u64 {
        let blocks = match self.op {
            MediaOp::Write | MediaOp::Verify { compare: true } => u64::from(self.blocks),
            MediaOp::CompareAndWrite => 2 * u64::from(self.blocks),
            _ => 0,
        };
        blocks * u64::from(block_len)
    }

    /// Bytes that the initiator receives.
    pub fn data_in_length(&self, block_len: u32) -> u64 {
        if self.op == MediaOp::Read {
            u64::from(self.blocks) * u64::from(block_len)
        } else {
            0
        }
    }

    /// Bytes that move either way.
    pub fn transfer_length(&self, block_len: u32) -> u64 {
        self.data_in_length(block_len).max(self.data_out_length(block_len))
    }

    /// Whether the blocks may be changed.
    pub fn is_write(&self) -> bool {
        matches!(self.op, MediaOp::Write | MediaOp::CompareAndWrite)
    }

    /// The CDB, of 16 bytes.
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

/// A command as this device knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cdb {
    /// TEST UNIT READY.
    TestUnitReady,
    /// REQUEST SENSE, in descriptor format or fixed.
    RequestSense {
        /// Descriptor format is wanted.
        descriptor_format: bool,
        /// Bytes that the initiator has room for.
        allocation_length: u32,
    },
    /// INQUIRY, of a vital product data page or the standard data.
    Inquiry {
        /// The page, where one is asked for.
        page: Option<u8>,
        /// Room.
        allocation_length: u32,
    },
    /// MODE SENSE.
    ModeSense {
        /// The command of 10 bytes.
        is_ten_byte: bool,
        /// No block descriptors.
        disable_block_descriptors: bool,
        /// Current, changeable, default or saved values.
        page_control: u8,
        /// Page code.
        page: u8,
        /// Subpage code.
        subpage: u8,
        /// Room.
        allocation_length: u32,
    },
    /// START STOP UNIT.
    StartStop,
    /// REPORT LUNS.
    ReportLuns {
        /// SELECT REPORT.
        select_report: u8,
        /// Room.
        allocation_length: u32,
    },
    /// READ CAPACITY (10).
    ReadCapacity10,
    /// READ CAPACITY (16).
    ReadCapacity16 {
        /// Room.
        allocation_length: u32,
    },
    /// A command on blocks.
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
    /// Reads a CDB.
    ///
    /// # Errors
    /// The sense data that answers a command which is unknown or asks for what is not there.
    pub fn parse(c: &[u8; 16]) -> Result<Cdb, Sense> {
        let control = match c[0] >> 5 {
            0 => 5,
            1 | 2 => 9,
            4 => 15,
            5 => 11,
            _ => return Err(Sense::INVALID_OPCODE),
        };
        let parsed = Self::parse_body(c)?;
        // NACA asks for a behaviour (ACA) that standard INQUIRY data says is not there.
        if c[control] & 0x04 != 0 {
            return Err(Sense::invalid_field(control as u16));
        }
        Ok(parsed)
    }

    fn parse_body(c: &[u8; 16]) -> Result<Cdb, Sense> {
        // RDPROTECT, WRPROTECT, VRPROTECT: no protection information is kept.
        let unprotected = |cdb: Cdb| if c[1] & 0xe0 == 0 { Ok(cdb) } else { Err(Sense::invalid_field(1)) };
        let fua = c[1] & 0x08 != 0;
        let media = |op, lba, blocks, group| Cdb::Media(MediaCommand { op, lba, blocks, fua, group });
        let verify = |lba, blocks, group| match c[1] >> 1 & 3 {
            0 => Ok(media(MediaOp::Verify { compare: false }, lba, blocks, group)),
            1 => Ok(media(MediaOp::Verify { compare: true }, lba, blocks, group)),
            _ => Err(Sense::invalid_field(1)),
        };
        let (g10, g12, g16) = (c[6] & 0x3f, c[10] & 0x3f, c[14] & 0x3f);
        match c[0] {
            0x00 => Ok(Cdb::TestUnitReady),
            0x03 => {
                Ok(Cdb::RequestSense { descriptor_format: c[1] & 1 != 0, allocation_length: u32::from(c[4]) })
            }
            0x08 | 0x0a => {
                let lba = u64::from(be32(c, 0) & 0x1f_ffff);
                // Length 0 means 256 blocks in the commands of 6 bytes (SBC-3, section 5.7).
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
            0x28 => unprotected(media(MediaOp::Read, u64::from(be32(c, 2)), be16(c, 7), g10)),
            0x2a => unprotected(media(MediaOp::Write, u64::from(be32(c, 2)), be16(c, 7), g10)),
            0x2f => unprotected(verify(u64::from(be32(c, 2)), be16(c, 7), g10)?),
            0x35 => Ok(media(MediaOp::Flush, u64::from(be32(c, 2)), be16(c, 7), g10)),
            0x88 => unprotected(media(MediaOp::Read, be64(c, 2), be32(c, 10), g16)),
            0x89 => unprotected(media(MediaOp::CompareAndWrite, be64(c, 2), u32::from(c[13]), g16)),
            0x8a => unprotected(media(MediaOp::Write, be64(c, 2), be32(c, 10), g16)),
            0x8f => unprotected(verify(be64(c, 2), be32(c, 10), g16)?),
            0x91 => Ok(media(MediaOp::Flush, be64(c, 2), be32(c, 10), g16)),
            0x9e if c[1] & 0x1f == 0x10 => Ok(Cdb::ReadCapacity16 { allocation_length: be32(c, 10) }),
            0x9e => Err(Sense::invalid_field(1)),
            0xa0 => Ok(Cdb::ReportLuns { select_report: c[2], allocation_length: be32(c, 6) }),
            0xa8 => unprotected(media(MediaOp::Read, u64::from(be32(c, 2)), be32(c, 6), g12)),
            0xaa => unprotected(media(MediaOp::Write, u64::from(be32(c, 2)), be32(c, 6), g12)),
            0xaf => unprotected(verify(u64::from(be32(c, 2)), be32(c, 6), g12)?),
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
    fn a_six_byte_read_of_length_zero_is_256_blocks() {
        let mut c = [0u8; 16];
        c[..6].copy_from_slice(&[0x08, 0xff, 0x12, 0x34, 0, 0]);
        let Ok(Cdb::Media(m)) = Cdb::parse(&c) else { panic!() };
        assert_eq!((m.lba, m.blocks), (0x1f_1234, 256));
    }

    #[test]
    fn protection_naca_and_unknown_codes_are_refused_by_field() {
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
        fn any_bytes_are_a_command_or_sense(c in any::<[u8; 16]>()) {
            let _ = Cdb::parse(&c);
        }

        #[test]
        fn what_is_written_is_read_back(lba in any::<u64>(), blocks in 0u32..256, op in 0usize..6, fua: bool) {
            let op = [MediaOp::Read, MediaOp::Write, MediaOp::Verify { compare: false },
                MediaOp::Verify { compare: true }, MediaOp::Flush, MediaOp::CompareAndWrite][op];
            let fua = fua && matches!(op, MediaOp::Read | MediaOp::Write | MediaOp::CompareAndWrite);
            let m = MediaCommand { op, lba, blocks, fua, group: 5 };
            prop_assert_eq!(Cdb::parse(&m.to_cdb()), Ok(Cdb::Media(m)));
        }
    }
}
