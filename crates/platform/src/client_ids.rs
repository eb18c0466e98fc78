//! The ids that clients give their requests, as far as they may not be used again yet. No I/O and no clock.

use bytes::Bytes;
use std::collections::{HashSet, VecDeque};

/// Longest time for which an id is kept after its client has left, in milliseconds.
const MAX_KEPT_MS: f64 = 10_000.0;
/// Maximum number of ids that are kept after their clients have left; the oldest are released first.
const MAX_KEPT: usize = 16_384;

/// The ids of open requests, and of requests whose clients left while an attempt may have run.
///
/// To a node that drops duplicates, two requests with one id are the same request. To any other node they are two,
/// and an id that comes again on a new connection, after its client has lost the first, runs twice.
#[derive(Debug, Default)]
pub struct ClientIds {
    in_use: HashSet<Bytes>,
    /// Ids whose clients have left, with the time until which each is kept.
    kept: VecDeque<(f64, Bytes)>,
}

impl ClientIds {
    /// Takes an id into use; returns `false` if it is in use.
    pub fn take(&mut self, now: f64, id: &Bytes) -> bool {
        while self.kept.front().is_some_and(|(until, _)| now >= *until) {
            self.release_oldest();
        }
        self.in_use.insert(id.clone())
    }

    /// Releases the id of a request that was answered, or of which nothing was sent.
    pub fn release(&mut self, id: &Bytes) {
        self.in_use.remove(id);
    }

    /// Keeps the id in use of a request whose client has left, until the client would have stopped waiting.
    pub fn keep(&mut self, now: f64, id: Bytes, until: f64) {
        if self.kept.len() >= MAX_KEPT {
            self.release_oldest();
        }
        self.in_use.insert(id.clone());
        self.kept.push_back((until.min(now + MAX_KEPT_MS), id));
    }

    fn release_oldest(&mut self) {
        if let Some((_, id)) = self.kept.pop_front() {
            self.in_use.remove(&id);
        }
    }
}
