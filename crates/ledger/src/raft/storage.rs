//! What a voter keeps on disk: term, vote, snapshot and log.

use super::Raft;
use crate::budget::HostNumber;
use crate::lease_table::{Change, LeaseTable};
use crate::log::{Entry, LogPosition};
use serde::{Deserialize, Serialize};

/// A record that has to be on disk before any message of the same [`Output`](super::Output) is sent, in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Term and vote.
    #[serde(rename = "promise")]
    HardState {
        /// The term.
        term: u64,
        /// Who got the vote in it.
        #[serde(rename = "voted")]
        voted_for: Option<HostNumber>,
    },
    /// An entry; it replaces the log's entry of that index and all after it.
    Entry {
        /// Its index.
        index: u64,
        /// The entry.
        entry: Entry,
    },
}

/// All that a voter has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// The term.
    pub term: u64,
    /// Who got the vote in it.
    #[serde(rename = "voted")]
    pub voted_for: Option<HostNumber>,
    /// The last entry that the snapshot covers.
    #[serde(rename = "base")]
    pub snapshot: LogPosition,
    /// The snapshot: the state up to there.
    #[serde(rename = "book")]
    pub table: LeaseTable,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a record that was written after this state; false where it does not follow on what is there.
    pub fn add(&mut self, record: Record) -> bool {
        match record {
            Record::HardState { term, voted_for } => self.add_hard_state(term, voted_for),
            Record::Entry { index, entry } => self.add_entry(index, entry),
        }
    }

    fn add_hard_state(&mut self, term: u64, voted_for: Option<HostNumber>) -> bool {
        if term < self.term {
            return false;
        }
        (self.term, self.voted_for) = (term, voted_for);
        true
    }

    fn add_entry(&mut self, index: u64, entry: Entry) -> bool {
        let offset = index.checked_sub(self.snapshot.index + 1).and_then(|at| usize::try_from(at).ok());
        let Some(offset) = offset.filter(|at| *at <= self.entries.len()) else { return false };
        self.entries.truncate(offset);
        self.entries.push(entry);
        true
    }
}

impl Raft {
    /// All that has to be on disk, as one.
    pub fn persistent_state(&self) -> PersistentState {
        let snapshot = self.log.snapshot();
        PersistentState {
            term: self.term,
            voted_for: self.voted_for,
            snapshot,
            table: self.snapshot_table.clone(),
            entries: self.log.from(snapshot.index + 1, usize::MAX).to_vec(),
        }
    }

    /// Called once all records taken so far are on disk.
    pub fn persisted(&mut self) {
        self.persisted_index = self.log.last_index();
        self.advance_commit();
    }

    /// Replaces the entries up to a committed index by the state that they led to.
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

    /// Appends an entry of the present term to the own log; its index.
    pub(super) fn append(&mut self, changes: Vec<Change>) -> u64 {
        self.append_entry(Entry { term: self.term, changes })
    }

    pub(super) fn append_entry(&mut self, entry: Entry) -> u64 {
        let index = self.log.push(entry.clone());
        self.output.records.push(Record::Entry { index, entry });
        index
    }
}
