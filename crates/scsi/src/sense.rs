//! Sense data (SPC-4, section 4.5).

/// Sense keys (SPC-4, table 48).
#[allow(missing_docs)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum SenseKey {
    NoSense = 0x0,
    NotReady = 0x2,
    MediumError = 0x3,
    HardwareError = 0x4,
    IllegalRequest = 0x5,
    UnitAttention = 0x6,
    AbortedCommand = 0xb,
    Miscompare = 0xe,
}

/// Why a command ended in CHECK CONDITION.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense {
    /// Sense key.
    pub key: SenseKey,
    /// Additional sense code (high byte) and its qualifier (low byte).
    pub asc: u16,
    /// Information field: for a miscompare the offset of the first differing byte.
    pub information: Option<u32>,
    /// For an invalid field in the CDB, the index of the invalid byte.
    pub field_pointer: Option<u16>,
}

#[allow(missing_docs)]
impl Sense {
    pub const INVALID_OPCODE: Sense = Sense::new(SenseKey::IllegalRequest, 0x2000);
    pub const LBA_OUT_OF_RANGE: Sense = Sense::new(SenseKey::IllegalRequest, 0x2100);
    pub const INVALID_FIELD: Sense = Sense::new(SenseKey::IllegalRequest, 0x2400);
    pub const LOGICAL_UNIT_NOT_SUPPORTED: Sense = Sense::new(SenseKey::IllegalRequest, 0x2500);
    pub const SAVING_NOT_SUPPORTED: Sense = Sense::new(SenseKey::IllegalRequest, 0x3900);
    pub const RESET: Sense = Sense::new(SenseKey::UnitAttention, 0x2900);
    pub const WRITE_ERROR: Sense = Sense::new(SenseKey::MediumError, 0x0c00);
    pub const READ_ERROR: Sense = Sense::new(SenseKey::MediumError, 0x1100);
    /// The command was aborted; it may or may not have taken effect.
    pub const ABORTED: Sense = Sense::new(SenseKey::AbortedCommand, 0x0000);

    const fn new(key: SenseKey, asc: u16) -> Sense {
        Sense { key, asc, information: None, field_pointer: None }
    }

    /// Sense data for an invalid byte of the CDB.
    pub fn invalid_field(byte: u16) -> Sense {
        Sense { field_pointer: Some(byte), ..Sense::INVALID_FIELD }
    }

    /// Sense data for a miscompare at a byte offset in the data (SBC-3, section 5.2).
    pub fn miscompare(offset: u32) -> Sense {
        Sense { information: Some(offset), ..Sense::new(SenseKey::Miscompare, 0x1d00) }
    }

    /// Encodes the sense data in fixed format, as a current error (SPC-4, section 4.5.3).
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut b = vec![0; 18];
        b[0] = 0x70 | if self.information.is_some() { 0x80 } else { 0 };
        b[2] = self.key as u8;
        b[3..7].copy_from_slice(&self.information.unwrap_or(0).to_be_bytes());
        b[7] = 10;
        b[12..14].copy_from_slice(&self.asc.to_be_bytes());
        if let Some(field) = self.field_pointer {
            // Sense-key specific data: a field pointer into the CDB (section 4.5.2.4.2).
            b[15] = 0xc0;
            b[16..18].copy_from_slice(&field.to_be_bytes());
        }
        b
    }

    /// Reads the sense key and the additional sense code of sense data in fixed or descriptor format; `None`
    /// for other formats.
    pub fn key_and_code(bytes: &[u8]) -> Option<(u8, u16)> {
        match bytes.first()? & 0x7f {
            0x70 | 0x71 => {
                let code = u16::from_be_bytes([*bytes.get(12).unwrap_or(&0), *bytes.get(13).unwrap_or(&0)]);
                Some((bytes.get(2)? & 0x0f, code))
            }
            0x72 | 0x73 => Some((bytes.get(1)? & 0x0f, u16::from_be_bytes([*bytes.get(2)?, *bytes.get(3)?]))),
            _ => None,
        }
    }
}
