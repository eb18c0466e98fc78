//! Selects the voter that a host sends its lease requests to. No I/O, no clock.

use pearfork_ledger::HostNumber;

/// Number of requests without a lease or redirect after which each further request goes to the next voter.
pub const MAX_UNANSWERED: u32 = 3;

/// Selects a voter: stays with the leader, follows redirects, and tries all voters in turn if there is no
/// response.
#[derive(Clone, Debug)]
pub struct VoterSelection {
    voters: Vec<HostNumber>,
    /// Index of the selected voter.
    current: usize,
    /// Number of requests since the last lease or redirect.
    unanswered: u32,
}

impl VoterSelection {
    /// The selection of a host. A voter starts with itself; other hosts are spread over the voters.
    pub fn new(host: HostNumber, voters: Vec<HostNumber>) -> VoterSelection {
        let own = voters.iter().position(|voter| *voter == host);
        let current = own.unwrap_or(usize::from(host.0) % voters.len().max(1));
        VoterSelection { voters, current, unanswered: 0 }
    }

    /// The selected voter; none if there are no voters.
    pub fn current(&self) -> Option<HostNumber> {
        self.voters.get(self.current).copied()
    }

    /// The voter that the next request goes to.
    pub fn select(&mut self) -> Option<HostNumber> {
        if self.voters.is_empty() {
            return None;
        }
        self.unanswered = self.unanswered.saturating_add(1);
        if self.unanswered > MAX_UNANSWERED {
            self.current = (self.current + 1) % self.voters.len();
        }
        self.current()
    }

    /// Handles a response of a voter that is not the leader but may know it. Returns whether to send a
    /// request to the leader at once.
    pub fn handle_redirect(&mut self, leader: Option<HostNumber>) -> bool {
        match leader.and_then(|leader| self.index_of(leader)) {
            Some(index) if index != self.current => {
                (self.current, self.unanswered) = (index, 0);
                true
            }
            _ => false,
        }
    }

    /// Handles a lease from a voter, which is therefore the leader.
    pub fn handle_lease(&mut self, from: HostNumber) {
        self.unanswered = 0;
        self.current = self.index_of(from).unwrap_or(self.current);
    }

    fn index_of(&self, host: HostNumber) -> Option<usize> {
        self.voters.iter().position(|voter| *voter == host)
    }
}
