//! The replicated log in memory: the entries after a snapshot.

use crate::lease_table::Change;
use serde::{Deserialize, Serialize};

/// An entry. Its index is told by its place in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// The changes; none in the first entry of a term.
    pub changes: Vec<Change>,
}

/// Names an entry of the log. On disk it is the pair of both numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LogPosition {
    /// Its index. Indices begin at 1; 0 is before the first entry.
    pub index: u64,
    /// Its term.
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

/// Entries after a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: LogPosition,
    entries: Vec<Entry>,
}

impl Log {
    /// A log that continues from a snapshot.
    pub fn after(snapshot: LogPosition, entries: Vec<Entry>) -> Log {
        Log { snapshot, entries }
    }

    /// The last entry that the snapshot covers.
    pub fn snapshot(&self) -> LogPosition {
        self.snapshot
    }

    /// The last entry.
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

    /// Term of an entry; none where there is no such entry, or the snapshot covers more than it.
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

    /// Up to `most` entries from an index on.
    pub fn from(&self, index: u64, most: usize) -> &[Entry] {
        let first = self.offset(index).min(self.entries.len());
        let end = self.entries.len().min(first.saturating_add(most));
        &self.entries[first..end]
    }

    /// Appends an entry; its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last_index()
    }

    /// Drops an entry and all after it.
    pub fn cut(&mut self, index: u64) {
        self.entries.truncate(self.offset(index));
    }

    /// A snapshot now covers all up to an index that the log has.
    pub fn compact(&mut self, index: u64) {
        if index <= self.snapshot.index {
            return;
        }
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.snapshot.index) as usize);
        self.snapshot = LogPosition { index, term };
    }

    /// Place of an index among the entries, 0 for all that the snapshot covers.
    fn offset(&self, index: u64) -> usize {
        index.saturating_sub(self.snapshot.index + 1) as usize
    }
}
