//! Traffic counters of a host's fleet sockets.

use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// The counts since the start, at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Bytes written to sockets.
    pub bytes_sent: u64,
    /// Bytes read from sockets.
    pub bytes_received: u64,
    /// Messages queued for sending.
    pub messages_sent: u64,
    /// Complete messages received.
    pub messages_received: u64,
}

/// The counters, which the transport's thread increments.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    messages_sent: AtomicU64,
    messages_received: AtomicU64,
}

impl Traffic {
    /// The current counts.
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
