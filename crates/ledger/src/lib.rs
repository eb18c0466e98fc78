//! Fleet-wide budgets: who may use which part of what, until when. No I/O, no clock, no panic on any input.
//!
//! A budget is a whole that all hosts share, such as the limit of a volume. Each host has a small floor for good and
//! borrows the rest by lease from a ledger that a few hosts, the voters, agree on. The argument why the parts never
//! add up to more than the whole is in `docs/design/budgets.md`; in short:
//!
//! - [`LeaseTable`], the agreed state, takes no change that would lend more than all floors leave. It is changed by entries
//!   of a log alone ([`raft`]).
//! - A part in the table is struck out only by its holder's own word ([`Holder`] never uses more again than it declared)
//!   or once its lease is over by the leader's clock, counted from later than its holder counted, and for longer.
//! - What a host uses beyond its floor it was told from the table, after the leader had made sure that it still led.

mod budget;
mod divide;
mod holder;
mod lease_manager;
mod lease_table;
mod log;
mod message;
mod meter;
pub mod raft;
mod random;
mod voter;

pub use budget::{Budget, Fraction, HostNumber, Incarnation, Kind};
pub use divide::{divide, Claim};
pub use holder::{Held, Holder, HolderState};
pub use lease_manager::{LeaseManager, MemberLease};
pub use lease_table::{Allocation, Change, LeaseTable, Member};
pub use log::{Entry, Log};
pub use message::{
    BudgetRequest, Grant, Hello, LeaseOutcome, LeaseRequest, LeaseResponse, Message, Refusal, VERSION,
};
pub use meter::Meter;
pub use voter::{Ready, Voter, VoterState};

/// Times by which a ledger runs, milliseconds. All hosts of a fleet have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// How long a lease holds, by its holder's clock, from before it asked.
    pub lease_ms: f64,
    /// By how much one host's clock may run faster than another's, as a fraction: 0.25 for a quarter.
    pub drift: f64,
    /// How often a holder asks.
    pub renew_ms: f64,
    /// How often a leader tells its followers that it leads.
    pub heartbeat_ms: f64,
    /// Without word of a leader for one to two of these, a voter asks to lead.
    pub election_ms: f64,
}

impl Default for Times {
    fn default() -> Self {
        Times { lease_ms: 2_000.0, drift: 0.25, renew_ms: 200.0, heartbeat_ms: 60.0, election_ms: 400.0 }
    }
}

impl Times {
    /// How long the leader counts a lease from when it answered: no clock of a holder may still call it valid then.
    pub fn lease_with_drift_ms(&self) -> f64 {
        self.lease_ms * (1.0 + self.drift)
    }
}
