//! The in-memory part of the replicated log: the entries after the last snapshot.

use crate::lease_table::Change;
use serde::{Deserialize, Serialize};

/// A log entry. Its index follows from its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that created it.
    pub term: u64,
    /// The changes to the table; none in the first entry of a term.
    pub changes: Vec<Change>,
}

/// Identifies a log entry by index and term. It is stored as the pair of the two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LogPosition {
    /// Index of the entry. Indices begin at 1; 0 stands for the position before the first entry.
    pub index: u64,
    /// Term of the entry.
    pub term: u64,
}

impl From<(u64, u64)> for LogPosition {
    fn from((index, term): (u64, u64)) -> LogPosition {
        LogPosition { index, term }
    }
}

impl From<LogPosition> for (u64, u64) {
    fn from(position: LogPosition) -> (u64, u64) {
        (position.index, position.term)
    }
}

/// The log entries after a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: LogPosition,
    entries: Vec<Entry>,
}

impl Log {
    /// A log that continues from a snapshot.
    pub fn from_snapshot(snapshot: LogPosition, entries: Vec<Entry>) -> Log {
        Log { snapshot, entries }
    }

    /// The last entry that the snapshot covers.
    pub fn snapshot(&self) -> LogPosition {
        self.snapshot
    }

    /// Position of the last entry.
    pub fn last(&self) -> LogPosition {
        LogPosition { index: self.last_index(), term: self.last_term() }
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of an entry; none if the log has no such entry or the snapshot ends after it.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry after the snapshot.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `max_entries` entries from an index on.
    pub fn entries_from(&self, index: u64, max_entries: usize) -> &[Entry] {
        let first = self.offset(index).min(self.entries.len());
        let end = self.entries.len().min(first.saturating_add(max_entries));
        &self.entries[first..end]
    }

    /// Appends an entry and returns its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last_index()
    }

    /// Removes an entry and all that follow it.
    pub fn truncate_from(&mut self, index: u64) {
        self.entries.truncate(self.offset(index));
    }

    /// Drops the entries up to an index in the log that a snapshot now covers.
    pub fn compact(&mut self, index: u64) {
        if index <= self.snapshot.index {
            return;
        }
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.snapshot.index) as usize);
        self.snapshot = LogPosition { index, term };
    }

    /// Offset of an index in `entries`; 0 for indices that the snapshot covers.
    fn offset(&self, index: u64) -> usize {
        index.saturating_sub(self.snapshot.index + 1) as usize
    }
}
