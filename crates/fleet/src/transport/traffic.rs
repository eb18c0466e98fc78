//! Counts of what goes over a host's sockets to and from its fleet.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start, as they stand at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Bytes that sockets took.
    pub bytes_sent: u64,
    /// Bytes that came.
    pub bytes_received: u64,
    /// Messages that were handed over to be sent.
    pub messages_sent: u64,
    /// Whole messages that came.
    pub messages_received: u64,
}

/// The counters, which the transport's thread raises.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    messages_sent: AtomicU64,
    messages_received: AtomicU64,
}

impl Traffic {
    /// The counts now.
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
            messages_sent: self.messages_sent.load(Ordering::Relaxed),
            messages_received: self.messages_received.load(Ordering::Relaxed),
        }
    }

    pub(super) fn add_sent_bytes(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_received_bytes(&self, bytes: usize) {
        self.bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn add_sent_message(&self) {
        self.messages_sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_received_messages(&self, messages: usize) {
        self.messages_received.fetch_add(messages as u64, Ordering::Relaxed);
    }
}
