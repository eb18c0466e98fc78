//! Bounds the bytes from outside that a host holds: commands and replies, whole or in part. No I/O.
//!
//! A [`ByteBudget`] is divided among the connections of
//! one kind: a half is reserved in even parts, so that a connection which holds little never depends on
//! others, and all connections draw on the other half. A connection may take only a fraction of what is free
//! there before it stops being read, so a few that send much always leave something to the rest.

use bytes::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A connection is read while what it holds beyond its reserve is less than what is free, divided by this.
const READ_DIVISOR: usize = 8;
/// The bytes that all connections of one kind may hold.
#[derive(Debug)]
pub struct ByteBudget {
    /// Bytes reserved for each connection.
    reserve: usize,
    /// Bytes that all connections share beyond their reserves, and those in use.
    shared: usize,
    shared_in_use: AtomicUsize,
}

impl ByteBudget {
    /// Divides `bytes` among at most `connections` connections.
    pub fn new(bytes: usize, connections: usize) -> Arc<ByteBudget> {
        let (reserve, shared) = (bytes / 2 / connections.max(1), bytes / 2);
        Arc::new(ByteBudget { reserve, shared, shared_in_use: AtomicUsize::new(0) })
    }

    /// Opens the account of a new connection.
    pub fn open_account(self: &Arc<Self>) -> Arc<ByteAccount> {
        Arc::new(ByteAccount { budget: self.clone(), held: AtomicUsize::new(0) })
    }

    /// Bytes held beyond the reserves.
    pub fn shared_in_use(&self) -> usize {
        self.shared_in_use.load(Ordering::Relaxed)
    }

    fn shared_free(&self) -> usize {
        self.shared.saturating_sub(self.shared_in_use())
    }
}

/// The bytes that one connection holds.
#[derive(Debug)]
pub struct ByteAccount {
    budget: Arc<ByteBudget>,
    held: AtomicUsize,
}

impl ByteAccount {
    /// Bytes held by the connection.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn excess_of(&self, held: usize) -> usize {
        held.saturating_sub(self.budget.reserve)
    }

    /// Whether the connection may be read, given what it holds already.
    pub fn may_read(&self) -> bool {
        let excess = self.excess_of(self.held());
        excess == 0 || excess < self.budget.shared_free() / READ_DIVISOR
    }

    /// Whether so many bytes more fit into the reserve of the connection and what is free beyond it.
    pub fn has_room(&self, bytes: usize) -> bool {
        let held = self.held();
        self.excess_of(held + bytes) - self.excess_of(held) <= self.budget.shared_free()
    }

    /// Counts bytes as held, unless the connection holds more than its part already or they do not fit.
    pub fn try_hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        (self.may_read() && self.has_room(bytes)).then(|| self.hold(bytes))
    }

    /// Counts bytes as held until the returned value is dropped.
    pub fn hold(self: &Arc<Self>, bytes: usize) -> HeldBytes {
        let mut held = HeldBytes { account: self.clone(), bytes: 0 };
        held.set(bytes);
        held
    }

    fn add(&self, bytes: usize) {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        let growth = self.excess_of(before + bytes) - self.excess_of(before);
        self.budget.shared_in_use.fetch_add(growth, Ordering::Relaxed);
    }

    fn subtract(&self, bytes: usize) {
        let before = self.held.fetch_sub(bytes, Ordering::Relaxed);
        let shrinkage = self.excess_of(before) - self.excess_of(before - bytes);
        self.budget.shared_in_use.fetch_sub(shrinkage, Ordering::Relaxed);
    }
}

/// Bytes that count as held by a connection until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    account: Arc<ByteAccount>,
    bytes: usize,
}

impl HeldBytes {
    /// Changes the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.account.add(bytes - self.bytes);
        } else {
            self.account.subtract(self.bytes - bytes);
        }
        self.bytes = bytes;
    }

    /// Returns the data such that it counts as held until its last reference is dropped.
    pub fn attach_to(self, data: Bytes) -> Bytes {
        Bytes::from_owner(CountedData { data, _held: self })
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

struct CountedData {
    data: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for CountedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
