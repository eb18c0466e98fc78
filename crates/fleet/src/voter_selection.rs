//! Which voter a host sends its requests to. No I/O, no clock.

use pearfork_ledger::HostNumber;

/// Requests without a lease after which each further one goes to the next voter.
pub const MAX_UNANSWERED: u32 = 3;

/// The choice of a voter: it stays with one that leads, follows redirects, and tries all in turn where none responds.
#[derive(Clone, Debug)]
pub struct VoterSelection {
    voters: Vec<HostNumber>,
    /// Place of the present choice.
    current: usize,
    /// Requests since the last lease or redirect.
    unanswered: u32,
}

impl VoterSelection {
    /// The selection of a host. A voter begins with itself; other hosts begin with different voters.
    pub fn new(me: HostNumber, voters: Vec<HostNumber>) -> VoterSelection {
        let own = voters.iter().position(|voter| *voter == me);
        let current = own.unwrap_or(usize::from(me.0) % voters.len().max(1));
        VoterSelection { voters, current, unanswered: 0 }
    }

    /// The present choice; none where there are no voters.
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

    /// A voter that does not lead named the leader, if it knows one. True where another request should go there at once.
    pub fn handle_redirect(&mut self, leader: Option<HostNumber>) -> bool {
        match leader.and_then(|leader| self.place(leader)) {
            Some(place) if place != self.current => {
                (self.current, self.unanswered) = (place, 0);
                true
            }
            _ => false,
        }
    }

    /// A voter responded with a lease: it leads.
    pub fn handle_lease(&mut self, from: HostNumber) {
        self.unanswered = 0;
        self.current = self.place(from).unwrap_or(self.current);
    }

    fn place(&self, host: HostNumber) -> Option<usize> {
        self.voters.iter().position(|voter| *voter == host)
    }
}
