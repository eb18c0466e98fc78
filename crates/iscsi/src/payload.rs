//! The data of a command as the chunks in which it was received, so that slices need no copy.

use bytes::Bytes;
use std::sync::Arc;

/// A byte string made of several chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Payload {
    chunks: Vec<Bytes>,
    len: usize,
}

impl Payload {
    /// Creates an empty payload.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk; an empty one is ignored.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.len += chunk.len();
            self.chunks.push(chunk);
        }
    }

    /// Appends all chunks of another payload.
    pub fn append(&mut self, other: Payload) {
        other.chunks.into_iter().for_each(|p| self.push(p));
    }

    /// Total number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the payload has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The chunks in order.
    pub fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }

    /// Returns up to `len` bytes from `offset` on, without a copy; fewer if the payload ends before.
    pub fn slice(&self, offset: usize, len: usize) -> Payload {
        let (mut skip, mut remaining) = (offset, len);
        let mut out = Payload::new();
        for chunk in &self.chunks {
            if remaining == 0 {
                break;
            }
            if skip >= chunk.len() {
                skip -= chunk.len();
                continue;
            }
            let end = chunk.len().min(skip.saturating_add(remaining));
            out.push(chunk.slice(skip..end));
            remaining -= end - skip;
            skip = 0;
        }
        out
    }

    /// Returns the payload such that `reservation` is kept until the last reference to its bytes is dropped.
    pub fn with_reservation(self, reservation: &Reservation) -> Payload {
        let attach = |data| Bytes::from_owner(ReservedData { data, _reservation: reservation.clone() });
        Payload { chunks: self.chunks.into_iter().map(attach).collect(), len: self.len }
    }

    /// Returns the bytes as one contiguous chunk; copies them if there are several chunks.
    pub fn to_bytes(&self) -> Bytes {
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [one] => one.clone(),
            many => Bytes::from(many.iter().flat_map(|p| p.iter().copied()).collect::<Vec<u8>>()),
        }
    }
}

/// Memory that is reserved until the last reference to this is dropped.
#[derive(Clone)]
pub struct Reservation(Arc<dyn Send + Sync>);

impl Reservation {
    /// Keeps `held` until the last copy of the reservation is dropped.
    pub fn new(held: impl Send + Sync + 'static) -> Reservation {
        Reservation(Arc::new(held))
    }
}

impl std::fmt::Debug for Reservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reservation").field("copies", &Arc::strong_count(&self.0)).finish()
    }
}

struct ReservedData {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl From<Bytes> for Payload {
    fn from(chunk: Bytes) -> Self {
        let mut out = Payload::new();
        out.push(chunk);
        out
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Payload::from(Bytes::from(bytes))
    }
}
