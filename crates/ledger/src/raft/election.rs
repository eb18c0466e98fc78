//! Elections: timers, pre-votes, votes and role changes.

use super::{Leadership, Progress, Raft, RaftPayload, Role};
use crate::budget::HostNumber;
use crate::log::LogPosition;
use std::collections::BTreeSet;

/// Phase of a candidate's election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The candidate asks whether it would get votes, without a new term. This keeps a voter that was
    /// partitioned from deposing a leader on its return.
    PreVote,
    /// The candidate has begun a new term and requests votes.
    Election,
}

impl Raft {
    /// Number of voters in a majority.
    pub(super) fn quorum(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    pub(super) fn reset_election_timer(&mut self, now: f64) {
        self.election_at = now + self.timing.election_timeout_ms * (1.0 + self.random.next());
    }

    pub(super) fn become_follower(&mut self, now: f64, term: u64, leader: Option<HostNumber>) {
        let voted_for = if term > self.term { None } else { self.voted_for };
        self.set_hard_state(term, voted_for);
        self.role = Role::Follower { leader };
        self.reset_election_timer(now);
    }

    /// Becomes a candidate and requests votes or pre-votes from all voters.
    pub(super) fn campaign(&mut self, now: f64, phase: Phase) {
        self.reset_election_timer(now);
        if phase == Phase::Election {
            self.set_hard_state(self.term + 1, Some(self.id));
        }
        self.role = Role::Candidate { phase, votes: BTreeSet::from([self.id]) };
        let LogPosition { index: last_index, term: last_term } = self.log.last();
        let (term, request) = match phase {
            Phase::PreVote => (self.term + 1, RaftPayload::PreVoteRequest { last_index, last_term }),
            Phase::Election => (self.term, RaftPayload::VoteRequest { last_index, last_term }),
        };
        for to in self.peers.clone() {
            self.send(to, term, request.clone());
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: f64) {
        let Role::Candidate { phase, votes } = &self.role else { return };
        if votes.len() < self.quorum() {
            return;
        }
        match phase {
            Phase::PreVote => self.campaign(now, Phase::Election),
            Phase::Election => self.become_leader(now),
        }
    }

    fn become_leader(&mut self, now: f64) {
        let first_index = self.log.last_index() + 1;
        let progress =
            Progress { next_index: first_index, match_index: 0, heartbeat: 0, last_response_at: now };
        self.role = Role::Leader(Leadership {
            followers: self.peers.iter().map(|v| (*v, progress.clone())).collect(),
            heartbeat: 0,
            heartbeat_at: now,
            first_index,
        });
        // Entries of earlier terms can only be committed together with an entry of this term.
        self.append(Vec::new());
        self.send_heartbeat(now);
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        now: f64,
        from: HostNumber,
        term: u64,
        last: LogPosition,
    ) {
        let has_leader =
            self.is_leader() || now - self.last_leader_contact_at < self.timing.election_timeout_ms;
        let granted = term > self.term && !has_leader && self.is_up_to_date(last);
        let term = if granted { term } else { self.term };
        self.send(from, term, RaftPayload::PreVoteResponse(granted));
    }

    pub(super) fn handle_pre_vote_response(&mut self, now: f64, from: HostNumber, term: u64, granted: bool) {
        if granted && term == self.term + 1 {
            self.record_vote(now, from, Phase::PreVote);
        } else if !granted && term > self.term {
            // Without adopting the higher term, a voter whose term is behind but whose log is the most up to
            // date would be denied pre-votes forever.
            self.become_follower(now, term, None);
        }
    }

    pub(super) fn handle_vote_request(&mut self, now: f64, from: HostNumber, term: u64, last: LogPosition) {
        let may_vote = self.voted_for.is_none() || self.voted_for == Some(from);
        let granted = term == self.term && may_vote && self.is_up_to_date(last);
        if granted {
            self.set_hard_state(term, Some(from));
            self.reset_election_timer(now);
        }
        self.send(from, self.term, RaftPayload::VoteResponse(granted));
    }

    pub(super) fn handle_vote_response(&mut self, now: f64, from: HostNumber, term: u64, granted: bool) {
        if granted && term == self.term {
            self.record_vote(now, from, Phase::Election);
        }
    }

    fn record_vote(&mut self, now: f64, from: HostNumber, vote_phase: Phase) {
        if !self.peers.contains(&from) {
            return;
        }
        if let Role::Candidate { phase, votes } = &mut self.role {
            if *phase == vote_phase {
                votes.insert(from);
                self.count_votes(now);
            }
        }
    }

    /// Whether a log with this last entry is at least as up to date as this voter's, as Raft defines it.
    fn is_up_to_date(&self, last: LogPosition) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Follows the sender if it is the leader of the current term. Returns whether it is.
    pub(super) fn accept_leader(&mut self, now: f64, from: HostNumber, term: u64) -> bool {
        if term != self.term || self.is_leader() {
            return false;
        }
        self.role = Role::Follower { leader: Some(from) };
        self.last_leader_contact_at = now;
        self.reset_election_timer(now);
        true
    }
}
