//! Data of a command as the chunks it came in: parts of it are taken without a copy.

use bytes::Bytes;

/// A rope of byte chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    chunks: Vec<Bytes>,
    len: usize,
}

impl Payload {
    /// Nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece at the end; an empty one is dropped.
    pub fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.len += piece.len();
            self.chunks.push(piece);
        }
    }

    /// Adds all chunks of another one at the end.
    pub fn append(&mut self, other: Payload) {
        other.chunks.into_iter().for_each(|p| self.push(p));
    }

    /// Bytes in all.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The chunks in order.
    pub fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }

    /// The bytes from `from` on, `len` at most; what lies past the end is left out.
    pub fn slice(&self, from: usize, len: usize) -> Payload {
        let (mut skip, mut left) = (from, len);
        let mut out = Payload::new();
        for piece in &self.chunks {
            if left == 0 {
                break;
            }
            if skip >= piece.len() {
                skip -= piece.len();
                continue;
            }
            let end = piece.len().min(skip.saturating_add(left));
            out.push(piece.slice(skip..end));
            left -= end - skip;
            skip = 0;
        }
        out
    }

    /// One run of bytes; a copy where there are several chunks.
    pub fn to_bytes(&self) -> Bytes {
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            many => Bytes::from(many.iter().flat_map(|p| p.iter().copied()).collect::<Vec<u8>>()),
        }
    }
}

impl From<Bytes> for Payload {
    fn from(piece: Bytes) -> Self {
        let mut out = Payload::new();
        out.push(piece);
        out
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Payload::from(Bytes::from(bytes))
    }
}
