//! PDUs to bytes and back, with padding and digests (RFC 7143, sections 11.1 and 13.1).

use crate::bhs::{Pdu, BHS_LEN};
use bytes::{Buf, Bytes, BytesMut};

/// A stream that can't be read on: the connection must be dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// More data than was declared as MaxRecvDataSegmentLength.
    #[error("data segment of {got} bytes where {limit} were declared as the most")]
    DataTooLong {
        /// Bytes announced.
        got: usize,
        /// Bytes declared.
        limit: usize,
    },
    /// CRC32C over the header does not match.
    #[error("header digest does not match")]
    HeaderDigest,
    /// CRC32C over the data does not match.
    #[error("data digest does not match")]
    DataDigest,
}

/// Cuts a stream of bytes into PDUs.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    pub(crate) header_digest: bool,
    pub(crate) data_digest: bool,
    pub(crate) max_data: usize,
}

impl Decoder {
    pub(crate) fn new(max_data: usize) -> Self {
        Decoder { buffer: BytesMut::new(), header_digest: false, data_digest: false, max_data }
    }

    /// Where received bytes are appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// How many bytes are still missing to the PDU under way (at least 1): a hint for reading.
    pub fn missing_bytes(&self) -> usize {
        if self.buffer.len() < BHS_LEN {
            return BHS_LEN - self.buffer.len();
        }
        self.total().saturating_sub(self.buffer.len()).max(1)
    }

    fn lengths(&self) -> (usize, usize) {
        let ahs = usize::from(self.buffer[4]) * 4;
        let data = u32::from_be_bytes([0, self.buffer[5], self.buffer[6], self.buffer[7]]) as usize;
        (ahs, data)
    }

    fn total(&self) -> usize {
        let (ahs, data) = self.lengths();
        let digests = 4 * (usize::from(self.header_digest) + usize::from(self.data_digest && data > 0));
        BHS_LEN + ahs + data.next_multiple_of(4) + digests
    }

    /// The next whole PDU; `None` until more bytes come.
    ///
    /// # Errors
    /// The stream can't be trusted any more.
    pub fn next_pdu(&mut self) -> Result<Option<Pdu>, FrameError> {
        if self.buffer.len() < BHS_LEN {
            return Ok(None);
        }
        let (ahs_len, data_len) = self.lengths();
        // Danger: a length from the wire must not make us wait for, or hold, more than was declared.
        if data_len > self.max_data {
            return Err(FrameError::DataTooLong { got: data_len, limit: self.max_data });
        }
        if self.buffer.len() < self.total() {
            return Ok(None);
        }
        let mut whole = self.buffer.split_to(self.total());
        let header = whole.split_to(BHS_LEN + ahs_len);
        if self.header_digest && whole.get_u32_le() != crc32c::crc32c(&header) {
            return Err(FrameError::HeaderDigest);
        }
        let padded = whole.split_to(data_len.next_multiple_of(4)).freeze();
        if self.data_digest && data_len > 0 && whole.get_u32_le() != crc32c::crc32c(&padded) {
            return Err(FrameError::DataDigest);
        }
        let mut bhs = [0; BHS_LEN];
        bhs.copy_from_slice(&header[..BHS_LEN]);
        let ahs = if ahs_len == 0 { Bytes::new() } else { header.freeze().slice(BHS_LEN..) };
        let data = padded.slice(..data_len).into();
        if self.buffer.is_empty() {
            // An idle session holds no buffer.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Pdu { bhs, ahs, data }))
    }
}

/// Turns PDUs into runs of bytes; data segments are passed on without a copy.
#[derive(Debug, Default)]
pub struct Encoder {
    out: Vec<Bytes>,
    queued: usize,
    pub(crate) header_digest: bool,
    pub(crate) data_digest: bool,
}

impl Encoder {
    /// Appends a PDU; sets its length fields.
    pub fn push(&mut self, mut pdu: Pdu) {
        let data_len = pdu.data.len();
        pdu.bhs[4] = (pdu.ahs.len() / 4) as u8;
        pdu.bhs[5..8].copy_from_slice(&(data_len as u32).to_be_bytes()[1..]);
        let mut header = BytesMut::with_capacity(BHS_LEN + pdu.ahs.len() + 4);
        header.extend_from_slice(&pdu.bhs);
        header.extend_from_slice(&pdu.ahs);
        if self.header_digest {
            let crc = crc32c::crc32c(&header);
            header.extend_from_slice(&crc.to_le_bytes());
        }
        self.add(header.freeze());
        if data_len == 0 {
            return;
        }
        const ZEROES: [u8; 4] = [0; 4];
        let padding = &ZEROES[..data_len.next_multiple_of(4) - data_len];
        let mut crc = 0;
        for piece in pdu.data.chunks() {
            if self.data_digest {
                crc = crc32c::crc32c_append(crc, piece);
            }
            self.add(piece.clone());
        }
        let mut tail = BytesMut::new();
        tail.extend_from_slice(padding);
        if self.data_digest {
            tail.extend_from_slice(&crc32c::crc32c_append(crc, padding).to_le_bytes());
        }
        self.add(tail.freeze());
    }

    fn add(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.queued += piece.len();
            self.out.push(piece);
        }
    }

    /// Bytes that wait to be taken.
    pub fn queued_bytes(&self) -> usize {
        self.queued
    }

    /// Takes what waits, in order.
    pub fn take(&mut self) -> Vec<Bytes> {
        self.queued = 0;
        std::mem::take(&mut self.out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn encoded(pdu: Pdu, digests: bool) -> Vec<u8> {
        let mut e = Encoder { header_digest: digests, data_digest: digests, ..Default::default() };
        e.push(pdu);
        e.take().concat()
    }

    #[test]
    fn digests_have_the_bytes_of_the_standard() {
        // RFC 7143, appendix A.4: 32 bytes of zeroes give aa 36 91 8a.
        assert_eq!(crc32c::crc32c(&[0; 32]).to_le_bytes(), [0xaa, 0x36, 0x91, 0x8a]);
    }

    #[test]
    fn a_pdu_survives_the_way_in_any_cuts_and_a_flipped_bit_is_found() {
        let mut pdu = Pdu::new(crate::opcode::DATA_OUT, 9);
        pdu.data = Payload::from(b"hello".to_vec());
        pdu.data.push(Bytes::from_static(b" world"));
        pdu.ahs = Bytes::from_static(&[0, 5, 0x3e, 0, 1, 2, 3, 4]);
        use crate::Payload;
        for digests in [false, true] {
            let bytes = encoded(pdu.clone(), digests);
            for cut in 0..bytes.len() {
                let mut d = Decoder::new(100);
                (d.header_digest, d.data_digest) = (digests, digests);
                d.buffer().extend_from_slice(&bytes[..cut]);
                assert_eq!(d.next_pdu().unwrap(), None);
                assert!(d.missing_bytes() <= bytes.len() - cut);
                d.buffer().extend_from_slice(&bytes[cut..]);
                let got = d.next_pdu().unwrap().unwrap();
                assert_eq!((got.data.to_bytes(), got.ahs.clone()), (pdu.data.to_bytes(), pdu.ahs.clone()));
            }
            if digests {
                for flip in [9, 50, 62, 70] {
                    let mut bad = bytes.clone();
                    bad[flip] ^= 4;
                    let mut d = Decoder::new(100);
                    (d.header_digest, d.data_digest) = (true, true);
                    d.buffer().extend_from_slice(&bad);
                    assert!(d.next_pdu().is_err(), "bit in byte {flip}");
                }
            }
        }
    }

    #[test]
    fn an_announced_length_beyond_the_declared_is_refused_at_once() {
        let mut d = Decoder::new(100);
        let mut bhs = [0u8; BHS_LEN];
        bhs[7] = 101;
        d.buffer().extend_from_slice(&bhs);
        assert_eq!(d.next_pdu(), Err(FrameError::DataTooLong { got: 101, limit: 100 }));
    }
}
