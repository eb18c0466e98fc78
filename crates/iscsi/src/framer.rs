//! Encoding and decoding of PDUs, with padding and digests (RFC 7143, sections 11.1 and 13.1).

use crate::bhs::{Pdu, BHS_LEN};
use bytes::{Buf, Bytes, BytesMut};

/// An error in the byte stream after which the connection must be dropped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A data segment exceeds the declared MaxRecvDataSegmentLength.
    #[error("data segment of {got} bytes exceeds the declared maximum of {limit}")]
    DataTooLong {
        /// Length of the data segment in bytes.
        got: usize,
        /// The declared maximum in bytes.
        limit: usize,
    },
    /// The CRC32C of the header does not match.
    #[error("header digest does not match")]
    HeaderDigest,
    /// The CRC32C of the data does not match.
    #[error("data digest does not match")]
    DataDigest,
}

/// Splits a stream of bytes into PDUs.
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

    /// The buffer to which received bytes must be appended.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.buffer
    }

    /// Number of bytes missing to complete the current PDU (at least 1): a hint for the size of the next
    /// read.
    pub fn missing_bytes(&self) -> usize {
        if self.buffer.len() < BHS_LEN {
            return BHS_LEN - self.buffer.len();
        }
        self.pdu_len().saturating_sub(self.buffer.len()).max(1)
    }

    /// Lengths of the additional header segments and of the data segment, as stated in the header.
    fn segment_lengths(&self) -> (usize, usize) {
        let ahs = usize::from(self.buffer[4]) * 4;
        let data = u32::from_be_bytes([0, self.buffer[5], self.buffer[6], self.buffer[7]]) as usize;
        (ahs, data)
    }

    fn pdu_len(&self) -> usize {
        let (ahs, data) = self.segment_lengths();
        let digests = 4 * (usize::from(self.header_digest) + usize::from(self.data_digest && data > 0));
        BHS_LEN + ahs + data.next_multiple_of(4) + digests
    }

    /// Returns the next complete PDU, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// The stream is corrupt; the connection must be dropped.
    pub fn next_pdu(&mut self) -> Result<Option<Pdu>, FrameError> {
        if self.buffer.len() < BHS_LEN {
            return Ok(None);
        }
        let (ahs_len, data_len) = self.segment_lengths();
        // Checked first, so that a length from the wire cannot make this end wait for, or buffer, more than
        // it declared.
        if data_len > self.max_data {
            return Err(FrameError::DataTooLong { got: data_len, limit: self.max_data });
        }
        if self.buffer.len() < self.pdu_len() {
            return Ok(None);
        }
        let mut rest = self.buffer.split_to(self.pdu_len());
        let header = rest.split_to(BHS_LEN + ahs_len);
        if self.header_digest && rest.get_u32_le() != crc32c::crc32c(&header) {
            return Err(FrameError::HeaderDigest);
        }
        let padded = rest.split_to(data_len.next_multiple_of(4)).freeze();
        if self.data_digest && data_len > 0 && rest.get_u32_le() != crc32c::crc32c(&padded) {
            return Err(FrameError::DataDigest);
        }
        let mut bhs = [0; BHS_LEN];
        bhs.copy_from_slice(&header[..BHS_LEN]);
        let ahs = if ahs_len == 0 { Bytes::new() } else { header.freeze().slice(BHS_LEN..) };
        let data = padded.slice(..data_len).into();
        if self.buffer.is_empty() {
            // Releases the memory while the session is idle.
            self.buffer = BytesMut::new();
        }
        Ok(Some(Pdu { bhs, ahs, data }))
    }
}

/// Encodes PDUs as chunks of bytes; data segments are not copied.
#[derive(Debug, Default)]
pub struct Encoder {
    chunks: Vec<Bytes>,
    queued_bytes: usize,
    pub(crate) header_digest: bool,
    pub(crate) data_digest: bool,
}

impl Encoder {
    /// Appends a PDU to the output and sets its length fields.
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
        for chunk in pdu.data.chunks() {
            if self.data_digest {
                crc = crc32c::crc32c_append(crc, chunk);
            }
            self.add(chunk.clone());
        }
        let mut tail = BytesMut::new();
        tail.extend_from_slice(padding);
        if self.data_digest {
            tail.extend_from_slice(&crc32c::crc32c_append(crc, padding).to_le_bytes());
        }
        self.add(tail.freeze());
    }

    fn add(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.queued_bytes += chunk.len();
            self.chunks.push(chunk);
        }
    }

    /// Number of bytes in the output.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Takes the output, in order.
    pub fn take(&mut self) -> Vec<Bytes> {
        self.queued_bytes = 0;
        std::mem::take(&mut self.chunks)
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
    fn the_digest_has_the_byte_order_of_the_standard() {
        // RFC 7143, appendix A.4: the CRC32C of 32 zero bytes is aa 36 91 8a.
        assert_eq!(crc32c::crc32c(&[0; 32]).to_le_bytes(), [0xaa, 0x36, 0x91, 0x8a]);
    }

    #[test]
    fn a_pdu_is_decoded_from_any_two_pieces_and_digests_detect_a_flipped_bit() {
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
                    assert!(d.next_pdu().is_err(), "flipped bit in byte {flip}");
                }
            }
        }
    }

    #[test]
    fn a_data_segment_beyond_the_declared_maximum_is_rejected_from_its_header() {
        let mut d = Decoder::new(100);
        let mut bhs = [0u8; BHS_LEN];
        bhs[7] = 101;
        d.buffer().extend_from_slice(&bhs);
        assert_eq!(d.next_pdu(), Err(FrameError::DataTooLong { got: 101, limit: 100 }));
    }
}
