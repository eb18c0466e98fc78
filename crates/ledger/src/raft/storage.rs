//! The persistent state of a voter: term, vote, snapshot and log.

use super::Raft;
use crate::budget::HostNumber;
use crate::lease_table::{Change, LeaseTable};
use crate::log::{Entry, LogPosition};
use serde::{Deserialize, Serialize};

/// A record to store. All records of an [`Output`](super::Output) have to be on disk, in order, before any of
/// its messages is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Raft's hard state: term and vote.
    #[serde(rename = "promise")]
    HardState {
        /// The current term.
        term: u64,
        /// The candidate that got this voter's vote in that term.
        #[serde(rename = "voted")]
        voted_for: Option<HostNumber>,
    },
    /// A log entry; it replaces the stored entry with that index and all that follow it.
    Entry {
        /// Index of the entry.
        index: u64,
        /// The entry.
        entry: Entry,
    },
}

/// All persistent state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// The current term.
    pub term: u64,
    /// The candidate that got this voter's vote in that term.
    #[serde(rename = "voted")]
    pub voted_for: Option<HostNumber>,
    /// The last entry that the snapshot covers.
    #[serde(rename = "base")]
    pub snapshot: LogPosition,
    /// The snapshot: the state after that entry.
    #[serde(rename = "book")]
    pub table: LeaseTable,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a record that was stored after this state. Returns false if the record does not continue it.
    pub fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::HardState { term, voted_for } => self.apply_hard_state(term, voted_for),
            Record::Entry { index, entry } => self.apply_entry(index, entry),
        }
    }

    fn apply_hard_state(&mut self, term: u64, voted_for: Option<HostNumber>) -> bool {
        if term < self.term {
            return false;
        }
        (self.term, self.voted_for) = (term, voted_for);
        true
    }

    fn apply_entry(&mut self, index: u64, entry: Entry) -> bool {
        let offset = index.checked_sub(self.snapshot.index + 1).and_then(|o| usize::try_from(o).ok());
        let Some(offset) = offset.filter(|o| *o <= self.entries.len()) else { return false };
        self.entries.truncate(offset);
        self.entries.push(entry);
        true
    }
}

impl Raft {
    /// The whole state that has to be on disk.
    pub fn persistent_state(&self) -> PersistentState {
        let snapshot = self.log.snapshot();
        PersistentState {
            term: self.term,
            voted_for: self.voted_for,
            snapshot,
            table: self.snapshot_table.clone(),
            entries: self.log.entries_from(snapshot.index + 1, usize::MAX).to_vec(),
        }
    }

    /// Records that all output taken so far is on disk.
    pub fn persisted(&mut self) {
        self.persisted_index = self.log.last_index();
        self.advance_commit();
    }

    /// Replaces the log up to a committed index by a snapshot: the table that results from those entries.
    pub fn compact(&mut self, index: u64, table: &LeaseTable) {
        if index > self.log.snapshot().index && index <= self.commit {
            self.log.compact(index);
            self.snapshot_table = table.clone();
            self.output.rewrite = true;
        }
    }

    pub(super) fn set_hard_state(&mut self, term: u64, voted_for: Option<HostNumber>) {
        if (self.term, self.voted_for) != (term, voted_for) {
            (self.term, self.voted_for) = (term, voted_for);
            self.output.records.push(Record::HardState { term, voted_for });
        }
    }

    /// Appends an entry of the current term to this voter's log and returns its index.
    pub(super) fn append(&mut self, changes: Vec<Change>) -> u64 {
        self.append_entry(Entry { term: self.term, changes })
    }

    pub(super) fn append_entry(&mut self, entry: Entry) -> u64 {
        let index = self.log.push(entry.clone());
        self.output.records.push(Record::Entry { index, entry });
        index
    }
}
