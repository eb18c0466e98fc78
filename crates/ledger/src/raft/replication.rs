//! Log replication: heartbeats, entries, snapshots and the commit index.

use super::{Raft, RaftPayload, Role};
use crate::budget::HostNumber;
use crate::lease_table::LeaseTable;
use crate::log::{Entry, Log, LogPosition};

/// Maximum number of entries in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 64;

/// Result of appending a leader's entries to a follower's log.
struct AppendResult {
    /// Whether the log contains the entry before them.
    success: bool,
    /// On success, the last index that matches the leader's log; otherwise the index to continue from.
    index: u64,
}

impl Raft {
    /// Leader: sends a heartbeat with the missing entries to all followers. Returns the heartbeat's number.
    pub fn send_heartbeat(&mut self, now: f64) -> u64 {
        let Role::Leader(leadership) = &mut self.role else { return 0 };
        leadership.heartbeat += 1;
        leadership.heartbeat_at = now;
        let heartbeat = leadership.heartbeat;
        let next = leadership.followers.iter().map(|(to, follower)| (*to, follower.next_index));
        for (to, next_index) in next.collect::<Vec<_>>() {
            self.send_entries(to, next_index, heartbeat);
        }
        heartbeat
    }

    /// Leader: number of the last heartbeat of this term that a quorum has responded to.
    pub fn confirmed_heartbeat(&self) -> u64 {
        let Role::Leader(leadership) = &self.role else { return 0 };
        let followers = leadership.followers.values().map(|f| f.heartbeat);
        self.reached_by_quorum(followers.chain([leadership.heartbeat]).collect())
    }

    /// Leader: whether a quorum has responded recently. Otherwise another voter may lead by now.
    pub(super) fn has_quorum_contact(&self, now: f64) -> bool {
        let Role::Leader(leadership) = &self.role else { return false };
        let window_ms = 2.0 * self.timing.election_timeout_ms;
        let responsive =
            leadership.followers.values().filter(|f| now - f.last_response_at <= window_ms).count();
        responsive + 1 >= self.quorum()
    }

    /// The highest number that a quorum of voters has reached, given one number per voter.
    fn reached_by_quorum(&self, mut numbers: Vec<u64>) -> u64 {
        numbers.sort_unstable();
        numbers[numbers.len() - self.quorum()]
    }

    fn send_entries(&mut self, to: HostNumber, next_index: u64, heartbeat: u64) {
        let snapshot = self.log.snapshot();
        let previous_index = next_index.saturating_sub(1);
        let payload = match self.log.term(previous_index) {
            Some(previous_term) if next_index > snapshot.index => RaftPayload::AppendRequest {
                previous_index,
                previous_term,
                entries: self.log.entries_from(next_index, MAX_ENTRIES_PER_MESSAGE).to_vec(),
                commit: self.commit,
                heartbeat,
            },
            _ => RaftPayload::InstallSnapshot {
                index: snapshot.index,
                index_term: snapshot.term,
                table: self.snapshot_table.clone(),
                heartbeat,
            },
        };
        self.send(to, self.term, payload);
    }

    pub(super) fn handle_append_request(
        &mut self,
        from: HostNumber,
        accepted: bool,
        previous: LogPosition,
        entries: Vec<Entry>,
        commit: u64,
        heartbeat: u64,
    ) {
        let AppendResult { success, index } = if accepted {
            self.append_entries(previous, entries, commit)
        } else {
            AppendResult { success: false, index: self.log.last_index() }
        };
        self.send(from, self.term, RaftPayload::AppendResponse { success, index, heartbeat });
    }

    fn append_entries(&mut self, previous: LogPosition, entries: Vec<Entry>, commit: u64) -> AppendResult {
        let snapshot = self.log.snapshot();
        // All entries that the snapshot covers are committed and therefore match the leader's.
        if previous.index >= snapshot.index && self.log.term(previous.index) != Some(previous.term) {
            let before = self.log.last_index().min(previous.index.saturating_sub(1));
            return AppendResult { success: false, index: before.max(self.commit) };
        }
        let mut index = previous.index;
        for entry in entries {
            index += 1;
            if index <= snapshot.index || self.log.term(index) == Some(entry.term) {
                continue;
            }
            if index <= self.commit {
                // No leader may overwrite a committed entry.
                return AppendResult { success: false, index: self.commit };
            }
            self.log.truncate_from(index);
            self.persisted_index = self.persisted_index.min(self.log.last_index());
            self.append_entry(entry);
        }
        self.commit = self.commit.max(commit.min(index));
        AppendResult { success: true, index }
    }

    pub(super) fn install_snapshot(&mut self, index: u64, term: u64, table: LeaseTable) {
        if self.log.term(index) == Some(term) {
            // The log already contains all of it. Entries after it may count towards a quorum and must stay.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.log = Log::from_snapshot(LogPosition { index, term }, Vec::new());
            (self.snapshot_table, self.commit) = (table, index);
            self.output.rewrite = true;
        }
    }

    pub(super) fn handle_append_response(
        &mut self,
        now: f64,
        from: HostNumber,
        success: bool,
        index: u64,
        heartbeat: u64,
    ) {
        let last_index = self.log.last_index();
        let Role::Leader(leadership) = &mut self.role else { return };
        let last_heartbeat = leadership.heartbeat;
        let Some(follower) = leadership.followers.get_mut(&from) else { return };
        follower.last_response_at = now;
        follower.heartbeat = follower.heartbeat.max(heartbeat.min(last_heartbeat));
        if success {
            follower.match_index = follower.match_index.max(index.min(last_index));
            follower.next_index = follower.next_index.max(follower.match_index + 1);
            let next_index = follower.next_index;
            if next_index <= last_index {
                // Sent at once: with one message per heartbeat a follower that is far behind would take long
                // to catch up.
                self.send_entries(from, next_index, last_heartbeat);
            }
        } else {
            follower.next_index = (index + 1).min(last_index + 1).max(follower.match_index + 1);
        }
        self.advance_commit();
    }

    /// Leader: commits the last entry of this term that is on the disks of a quorum, and all entries before
    /// it.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else { return };
        let followers = leadership.followers.values().map(|f| f.match_index);
        let index = self.reached_by_quorum(followers.chain([self.persisted_index]).collect());
        if index > self.commit && self.log.term(index) == Some(self.term) {
            self.commit = index;
        }
    }
}
