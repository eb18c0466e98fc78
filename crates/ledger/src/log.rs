//! The log in memory: entries after a snapshot.

use crate::lease_table::Change;
use serde::{Deserialize, Serialize};

/// One entry; its index is told by its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: u64,
    /// What it changes; nothing for the first entry of a term.
    pub changes: Vec<Change>,
}

/// Entries after a base that a snapshot holds. Indices begin at 1; the base of an empty log is 0.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    base: (u64, u64),
    entries: Vec<Entry>,
}

impl Log {
    /// A log that goes on from a snapshot of this index and term.
    pub fn after(index: u64, term: u64, entries: Vec<Entry>) -> Log {
        Log { base: (index, term), entries }
    }

    /// Index and term up to which a snapshot holds all.
    pub fn base(&self) -> (u64, u64) {
        self.base
    }

    /// Index of the last entry.
    pub fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.base.1, |e| e.term)
    }

    /// Term of an entry; none where there is none, or it is behind the base.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|e| e.term)
    }

    /// An entry.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.base.0 + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Up to `most` entries from an index on.
    pub fn from(&self, index: u64, most: usize) -> &[Entry] {
        let at = (index.saturating_sub(self.base.0 + 1) as usize).min(self.entries.len());
        &self.entries[at..self.entries.len().min(at.saturating_add(most))]
    }

    /// Appends an entry; its index.
    pub fn push(&mut self, entry: Entry) -> u64 {
        self.entries.push(entry);
        self.last()
    }

    /// Drops an entry and all after it.
    pub fn cut(&mut self, index: u64) {
        self.entries.truncate(index.saturating_sub(self.base.0 + 1) as usize);
    }

    /// A snapshot now holds all up to an index that the log has.
    pub fn compact(&mut self, index: u64) {
        if let (Some(term), true) = (self.term(index), index > self.base.0) {
            self.entries.drain(..(index - self.base.0) as usize);
            self.base = (index, term);
        }
    }
}
