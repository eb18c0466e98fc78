//! A logical unit: its identity and size, and the commands that need no medium access.

use crate::cdb::{Cdb, MediaCommand, MediaOp};
use crate::sense::Sense;

/// Largest [`LogicalUnit::max_transfer_blocks`].
pub const MAX_TRANSFER_BLOCKS: u32 = 2048;
/// Number of blocks of a transfer that the Block Limits page recommends.
const OPTIMAL_TRANSFER_BLOCKS: u32 = 128;
/// Maximum number of blocks of a COMPARE AND WRITE; a single block never crosses an extent.
const MAX_COMPARE_BLOCKS: u8 = 1;

/// A disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogicalUnit {
    /// Number of blocks, at least 1.
    pub blocks: u64,
    /// Size of a block in bytes.
    pub block_len: u32,
    /// Maximum number of blocks of one command, as the Block Limits page states it.
    pub max_transfer_blocks: u32,
    /// A permanent ASCII identifier of the volume, used as serial number and in designators.
    pub serial: String,
}

/// How a logical unit responds to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitResponse {
    /// The command is complete, with data for the initiator.
    Data(Vec<u8>),
    /// The command ends in CHECK CONDITION with this sense data.
    CheckCondition(Sense),
    /// The command needs the medium; its blocks exist and its length is within the limits.
    Media(MediaCommand),
}

fn truncated(mut data: Vec<u8>, allocation_length: u32) -> UnitResponse {
    data.truncate(allocation_length as usize);
    UnitResponse::Data(data)
}

/// Responds to REPORT LUNS with the unit numbers of a target (SPC-4, section 6.33).
pub fn report_luns(
    select_report: u8,
    allocation_length: u32,
    units: impl Iterator<Item = u16>,
) -> UnitResponse {
    if allocation_length < 16 {
        return UnitResponse::CheckCondition(Sense::invalid_field(6));
    }
    let mut list = Vec::new();
    match select_report {
        0 | 2 => units.for_each(|u| list.extend_from_slice(&crate::encode_lun(u).to_be_bytes())),
        1 => {} // Only well-known logical units are requested; there are none.
        _ => return UnitResponse::CheckCondition(Sense::invalid_field(2)),
    }
    let mut data = (list.len() as u32).to_be_bytes().to_vec();
    data.extend_from_slice(&[0; 4]);
    data.append(&mut list);
    truncated(data, allocation_length)
}

impl LogicalUnit {
    /// Responds to a command, or returns the medium access that it needs.
    pub fn respond(&self, cdb: &Cdb) -> UnitResponse {
        match *cdb {
            Cdb::TestUnitReady | Cdb::StartStop => UnitResponse::Data(Vec::new()),
            Cdb::RequestSense { descriptor_format, allocation_length } => {
                let no_sense =
                    if descriptor_format { vec![0x72, 0, 0, 0, 0, 0, 0, 0] } else { fixed_no_sense() };
                truncated(no_sense, allocation_length)
            }
            Cdb::Inquiry { page: None, allocation_length } => truncated(self.inquiry(), allocation_length),
            Cdb::Inquiry { page: Some(page), allocation_length } => match self.vital_product_data(page) {
                Some(body) => {
                    let mut data = vec![0, page];
                    data.extend_from_slice(&(body.len() as u16).to_be_bytes());
                    data.extend(body);
                    truncated(data, allocation_length)
                }
                None => UnitResponse::CheckCondition(Sense::invalid_field(2)),
            },
            Cdb::ModeSense {
                is_ten_byte,
                disable_block_descriptors,
                page_control,
                page,
                subpage,
                allocation_length,
            } => self.mode_sense(
                is_ten_byte,
                disable_block_descriptors,
                page_control,
                page,
                subpage,
                allocation_length,
            ),
            // The target responds to REPORT LUNS; a unit knows only itself.
            Cdb::ReportLuns { select_report, allocation_length } => {
                report_luns(select_report, allocation_length, std::iter::once(0))
            }
            Cdb::ReadCapacity10 => {
                let last_lba = u32::try_from(self.blocks - 1).unwrap_or(u32::MAX);
                let mut data = last_lba.to_be_bytes().to_vec();
                data.extend_from_slice(&self.block_len.to_be_bytes());
                UnitResponse::Data(data)
            }
            Cdb::ReadCapacity16 { allocation_length } => {
                let mut data = vec![0; 32];
                data[..8].copy_from_slice(&(self.blocks - 1).to_be_bytes());
                data[8..12].copy_from_slice(&self.block_len.to_be_bytes());
                truncated(data, allocation_length)
            }
            Cdb::Media(media) => self.check_media_command(media),
        }
    }

    /// Checks the block range and the length of a command that accesses the medium.
    fn check_media_command(&self, mut m: MediaCommand) -> UnitResponse {
        if m.lba.checked_add(u64::from(m.blocks)).is_none_or(|end| end > self.blocks) {
            return UnitResponse::CheckCondition(Sense::LBA_OUT_OF_RANGE);
        }
        match m.op {
            MediaOp::CompareAndWrite if m.blocks > u32::from(MAX_COMPARE_BLOCKS) => {
                UnitResponse::CheckCondition(Sense::invalid_field(13))
            }
            MediaOp::Flush => {
                // Zero blocks means up to the end of the unit (SBC-3, section 5.18).
                if m.blocks == 0 {
                    m.blocks = u32::try_from(self.blocks - m.lba).unwrap_or(u32::MAX);
                }
                UnitResponse::Media(m)
            }
            _ if m.blocks > self.max_transfer_blocks => UnitResponse::CheckCondition(Sense::INVALID_FIELD),
            _ => UnitResponse::Media(m),
        }
    }

    /// Standard INQUIRY data (SPC-4, section 6.6.2).
    fn inquiry(&self) -> Vec<u8> {
        let mut d = vec![0; 96];
        d[2] = 0x06; // SPC-4
        d[3] = 0x12; // HiSup, response data format 2
        d[4] = (d.len() - 5) as u8;
        d[7] = 0x02; // CmdQue
        d[8..16].copy_from_slice(b"PEARFORK");
        d[16..32].copy_from_slice(b"VOLUME          ");
        d[32..36].copy_from_slice(b"0003");
        // Version descriptors of SAM-5, iSCSI, SPC-4 and SBC-3, no version claimed (table 143).
        for (i, v) in [0x00a0u16, 0x0960, 0x0460, 0x04c0].iter().enumerate() {
            d[58 + 2 * i..60 + 2 * i].copy_from_slice(&v.to_be_bytes());
        }
        d
    }

    /// The body of a vital product data page (SPC-4, section 7.8; SBC-3, section 6.6).
    fn vital_product_data(&self, page: u8) -> Option<Vec<u8>> {
        Some(match page {
            0x00 => vec![0x00, 0x80, 0x83, 0xb0, 0xb1, 0xb2],
            0x80 => self.serial.clone().into_bytes(),
            0x83 => {
                let mut id = b"PEARFORK".to_vec();
                id.extend_from_slice(self.serial.as_bytes());
                id.truncate(251);
                // Designator of the logical unit: T10 vendor identification, ASCII.
                let mut d = vec![0x02, 0x01, 0, id.len() as u8];
                d.extend(id);
                // Designator of the logical unit: NAA locally assigned (type 3), 60 bits of a hash of the
                // serial.
                d.extend_from_slice(&[0x01, 0x03, 0, 8]);
                let hash = self
                    .serial
                    .bytes()
                    .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
                d.extend_from_slice(&(hash >> 4 | 3 << 60).to_be_bytes());
                d
            }
            0xb0 => {
                let mut d = vec![0; 60];
                d[1] = MAX_COMPARE_BLOCKS;
                d[4..8].copy_from_slice(&self.max_transfer_blocks.to_be_bytes());
                let optimal = OPTIMAL_TRANSFER_BLOCKS.min(self.max_transfer_blocks);
                d[8..12].copy_from_slice(&optimal.to_be_bytes());
                d
            }
            0xb1 => {
                let mut d = vec![0; 60];
                d[1] = 1; // medium rotation rate: non-rotating
                d
            }
            0xb2 => vec![0, 0, 0, 0],
            _ => return None,
        })
    }

    /// MODE SENSE (SPC-4, sections 6.13 and 6.14) with the caching and control pages (SBC-3, section 6.5).
    fn mode_sense(
        &self,
        is_ten_byte: bool,
        disable_block_descriptors: bool,
        page_control: u8,
        page: u8,
        subpage: u8,
        allocation_length: u32,
    ) -> UnitResponse {
        if page_control == 3 {
            return UnitResponse::CheckCondition(Sense::SAVING_NOT_SUPPORTED);
        }
        if subpage != 0 && subpage != 0xff {
            return UnitResponse::CheckCondition(Sense::invalid_field(3));
        }
        let current = page_control != 1;
        let mut caching = vec![0; 20];
        (caching[0], caching[1]) = (0x08, 18);
        caching[2] = if current { 0x04 } else { 0 }; // WCE: the write cache is enabled, SYNCHRONIZE CACHE is needed
        let mut control = vec![0; 12];
        (control[0], control[1]) = (0x0a, 10);
        control[3] = if current { 0x10 } else { 0 }; // unrestricted reordering allowed
        let pages = match page {
            0x08 => caching,
            0x0a => control,
            0x3f => [caching, control].concat(),
            _ => return UnitResponse::CheckCondition(Sense::invalid_field(2)),
        };
        let mut descriptor = Vec::new();
        if !disable_block_descriptors {
            let blocks = u32::try_from(self.blocks).unwrap_or(u32::MAX);
            descriptor.extend_from_slice(&blocks.to_be_bytes());
            descriptor.extend_from_slice(&self.block_len.to_be_bytes());
        }
        const DPOFUA: u8 = 0x10;
        let body_len = descriptor.len() + pages.len();
        let mut data = if is_ten_byte {
            let mut h = ((body_len + 6) as u16).to_be_bytes().to_vec();
            h.extend_from_slice(&[0, DPOFUA, 0, 0, 0, descriptor.len() as u8]);
            h
        } else {
            vec![(body_len + 3) as u8, 0, DPOFUA, descriptor.len() as u8]
        };
        data.extend(descriptor);
        data.extend(pages);
        truncated(data, allocation_length)
    }
}

/// Fixed-format sense data with the key NO SENSE.
fn fixed_no_sense() -> Vec<u8> {
    let mut d = vec![0; 18];
    (d[0], d[7]) = (0x70, 10);
    d
}

#[cfg(test)]
mod tests {
    use super::*;

    fn unit(blocks: u64) -> LogicalUnit {
        LogicalUnit {
            blocks,
            block_len: 512,
            max_transfer_blocks: MAX_TRANSFER_BLOCKS,
            serial: "vol0".to_owned(),
        }
    }

    fn read(lba: u64, blocks: u32) -> Cdb {
        Cdb::Media(MediaCommand { op: MediaOp::Read, lba, blocks, fua: false, group: 0 })
    }

    #[test]
    fn blocks_past_the_end_are_out_of_range_without_overflow() {
        let u = unit(100);
        assert!(matches!(u.respond(&read(99, 1)), UnitResponse::Media(_)));
        assert!(
            matches!(u.respond(&read(100, 0)), UnitResponse::Media(_)),
            "zero blocks at the end are in range"
        );
        for (lba, n) in [(99, 2), (100, 1), (101, 0), (u64::MAX, 1), (u64::MAX, 0), (1 << 63, u32::MAX)] {
            assert_eq!(
                u.respond(&read(lba, n)),
                UnitResponse::CheckCondition(Sense::LBA_OUT_OF_RANGE),
                "{lba} {n}"
            );
        }
        let big = unit(1 << 40);
        assert_eq!(
            big.respond(&read(0, MAX_TRANSFER_BLOCKS + 1)),
            UnitResponse::CheckCondition(Sense::INVALID_FIELD)
        );
    }

    #[test]
    fn read_capacity_10_of_a_large_unit_reports_the_maximum() {
        let UnitResponse::Data(d) = unit(1 << 40).respond(&Cdb::ReadCapacity10) else { panic!() };
        assert_eq!(d[..4], [0xff; 4]);
        let UnitResponse::Data(d) = unit(1 << 40).respond(&Cdb::ReadCapacity16 { allocation_length: 32 })
        else {
            panic!()
        };
        assert_eq!(d[..8], ((1u64 << 40) - 1).to_be_bytes());
    }

    #[test]
    fn every_listed_vpd_page_exists_with_its_stated_length() {
        let u = unit(100);
        let inquiry = |page| u.respond(&Cdb::Inquiry { page: Some(page), allocation_length: 255 });
        let UnitResponse::Data(list) = inquiry(0) else { panic!() };
        for page in &list[4..] {
            let UnitResponse::Data(d) = inquiry(*page) else { panic!("page {page:x}") };
            assert_eq!((d[1], usize::from(u16::from_be_bytes([d[2], d[3]]))), (*page, d.len() - 4));
        }
        assert!(matches!(inquiry(0x99), UnitResponse::CheckCondition(_)));
    }

    #[test]
    fn mode_sense_states_its_length_and_is_truncated_to_the_allocation_length() {
        for (is_ten_byte, length_field, total) in [(false, 1, 36), (true, 2, 40)] {
            let cdb = |allocation_length, page| Cdb::ModeSense {
                is_ten_byte,
                disable_block_descriptors: true,
                page_control: 0,
                page,
                subpage: 0,
                allocation_length,
            };
            let UnitResponse::Data(d) = unit(100).respond(&cdb(255, 0x3f)) else { panic!() };
            let stated =
                if is_ten_byte { usize::from(u16::from_be_bytes([d[0], d[1]])) } else { usize::from(d[0]) };
            assert_eq!((stated + length_field, d.len()), (d.len(), total));
            let UnitResponse::Data(d) = unit(100).respond(&cdb(3, 0x3f)) else { panic!() };
            assert_eq!(d.len(), 3);
            assert!(matches!(unit(100).respond(&cdb(255, 0x1c)), UnitResponse::CheckCondition(_)));
        }
    }
}
