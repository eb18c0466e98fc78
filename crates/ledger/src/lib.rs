//! Fleet-wide budgets: which host may use which fraction of each budget, and until when. No I/O, no clock, no
//! panic on any input.
//!
//! A budget is a limit that all hosts of a fleet share, such as the rate limit of a volume. Each host
//! permanently owns a small floor and leases further fractions from a ledger that a few hosts, the voters,
//! replicate. The proof that the fractions in use never exceed the whole is in `docs/design/budgets.md`; in
//! short:
//!
//! - [`LeaseTable`], the replicated state, rejects every change that would allocate more than the floors
//!   leave over. Only committed log entries change it ([`raft`]).
//! - An allocation is released only at its holder's own request ([`Holder`] never again uses more than it
//!   declared) or after its lease has expired on the leader's clock. The leader starts counting later than
//!   the holder, and counts longer.
//! - A host uses a fraction beyond its floor only after the table has granted it and the leader has confirmed
//!   its leadership with a quorum.
//!
//! Requests and responses are incremental: they carry the changes since the last response that the holder
//! handled ([`RenewalBase`]). Traffic and the cost of dividing budgets grow with the changes, not with hosts
//! times budgets.

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

pub use budget::{Budget, BudgetKind, HostNumber, Incarnation};
pub use divide::{divide, Claim};
pub use fraction::Fraction;
pub use holder::{Held, Holder, HolderState};
pub use lease_manager::{LeaseManager, MemberLease, RequestHandling};
pub use lease_table::{Allocation, Change, LeaseTable, Member};
pub use log::{Entry, Log, LogPosition};
pub use message::{
    BudgetRequest, Grant, GrantsPosition, Hello, Lease, LeaseOutcome, LeaseRequest, LeaseResponse, Message,
    Refusal, RenewalBase, PROTOCOL_VERSION,
};
pub use meter::DemandMeter;
pub use voter::{Ready, Voter, VoterState};

/// Durations and timeouts of the ledger, in milliseconds. All hosts of a fleet use the same values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Validity of a lease on its holder's clock, counted from just before its request is sent.
    pub lease_ms: f64,
    /// Largest difference in speed between the clocks of two hosts, as a fraction: with 0.25 one clock may
    /// run 25 % faster than another.
    pub max_clock_drift: f64,
    /// Interval at which a holder renews its lease.
    pub renewal_interval_ms: f64,
    /// Interval between the heartbeats of a leader.
    pub heartbeat_interval_ms: f64,
    /// Election timeout: a voter that hears from no leader for a random time between this and twice this
    /// starts an election.
    pub election_timeout_ms: f64,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease_ms: 2_000.0,
            max_clock_drift: 0.25,
            renewal_interval_ms: 200.0,
            heartbeat_interval_ms: 60.0,
            election_timeout_ms: 400.0,
        }
    }
}

impl Timing {
    /// How long the leader treats a lease as valid after its response: by then it has expired on the holder's
    /// clock, however that drifts within the bound.
    pub fn lease_with_drift_ms(&self) -> f64 {
        self.lease_ms * (1.0 + self.max_clock_drift)
    }
}
