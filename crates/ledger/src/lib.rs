//! Budgets of a fleet: which host may use which fraction of what, until when. No I/O, no clock, no panic on any input.
//!
//! A budget is a whole that all hosts share, such as the limit of a volume. Each host has a small floor for good and
//! borrows the rest by lease from a ledger that a few hosts, the voters, replicate. The argument why what is in use never
//! adds up to more than the whole is in `docs/design/budgets.md`; in short:
//!
//! - [`LeaseTable`], the replicated state, accepts no change that would allocate more than all floors leave. It is changed
//!   by entries of a log alone ([`raft`]).
//! - An allocation is removed only at its holder's own request ([`Holder`] never uses more again than it declared) or once
//!   its lease has expired by the leader's clock, counted from later than its holder counted, and for longer.
//! - What a host uses beyond its floor it was granted from the table, after the leader had made sure that it still led.
//!
//! Requests and responses tell what changed since the last response that the holder handled ([`RenewalBase`]): what is said
//! and divided grows with what changes, not with hosts and budgets.

mod budget;
mod divide;
mod fraction;
mod holder;
mod lease_manager;
mod lease_table;
mod log;
mod message;
mod meter;
pub mod raft;
mod random;
mod voter;

pub use budget::{Budget, HostNumber, Incarnation, Kind};
pub use divide::{divide, Claim};
pub use fraction::Fraction;
pub use holder::{Held, Holder, HolderState};
pub use lease_manager::{Handling, LeaseManager, MemberLease};
pub use lease_table::{Allocation, Change, LeaseTable, Member};
pub use log::{Entry, Log, LogPosition};
pub use message::{
    BudgetRequest, Grant, GrantsPosition, Hello, Lease, LeaseOutcome, LeaseRequest, LeaseResponse, Message,
    Refusal, RenewalBase, VERSION,
};
pub use meter::Meter;
pub use voter::{Ready, Voter, VoterState};

/// Times by which a ledger runs, milliseconds. All hosts of a fleet have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a lease is valid, by its holder's clock, from before it was requested.
    pub lease_ms: f64,
    /// By how much one host's clock may run faster than another's, as a fraction: 0.25 for a quarter.
    pub drift: f64,
    /// How often a holder requests its lease anew.
    pub renew_ms: f64,
    /// How often a leader sends a heartbeat.
    pub heartbeat_ms: f64,
    /// A voter that hears of no leader for one to two of these starts an election.
    pub election_ms: f64,
}

impl Default for Times {
    fn default() -> Self {
        Times { lease_ms: 2_000.0, drift: 0.25, renew_ms: 200.0, heartbeat_ms: 60.0, election_ms: 400.0 }
    }
}

impl Times {
    /// How long the leader counts a lease from its response: by then it has expired by any clock of a holder.
    pub fn lease_with_drift_ms(&self) -> f64 {
        self.lease_ms * (1.0 + self.drift)
    }
}
