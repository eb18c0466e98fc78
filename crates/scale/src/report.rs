//! What a run measured.

use crate::size::Size;
use serde::Serialize;

/// What one role cost, in the mean of its processes or hosts, while it was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleCost {
    /// Processor time, percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, bytes.
    pub resident_bytes: f64,
    /// Threads.
    pub threads: f64,
    /// Open descriptors.
    pub descriptors: f64,
    /// Bytes over sockets a second, both ways.
    pub bytes_per_second: f64,
    /// Messages over sockets a second, both ways.
    pub messages_per_second: f64,
}

/// How long moves of load took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MoveTimes {
    /// Moves whose newcomer was served.
    pub count: usize,
    /// Median, milliseconds.
    pub p50_ms: f64,
    /// The slowest but one in a hundred, milliseconds.
    pub p99_ms: f64,
    /// The slowest, milliseconds.
    pub max_ms: f64,
}

/// What came of the loss of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LeaderLoss {
    /// Until another voter led, milliseconds.
    pub new_leader_ms: f64,
    /// Until every host had a lease of it, milliseconds.
    pub all_leased_ms: f64,
    /// Most bytes over one host's sockets in that time.
    pub most_host_bytes: f64,
    /// Bytes over the new leader's sockets in that time.
    pub leader_bytes: f64,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The size.
    pub size: Size,
    /// Seconds that were measured.
    pub measured_seconds: f64,
    /// Seconds until every host had a lease.
    pub ready_seconds: f64,
    /// A hollow host.
    pub host: RoleCost,
    /// Bytes a second of the host that has more than all but one in a hundred.
    pub host_bytes_p99: f64,
    /// The leader.
    pub leader: RoleCost,
    /// The other voters.
    pub follower: RoleCost,
    /// Ticks of a host's scheduler, percent of a core.
    pub scheduler_percent: f64,
    /// Memory of all processes, bytes.
    pub all_resident_bytes: u64,
    /// Moves.
    pub moves: MoveTimes,
    /// Budgets of which something is lent in the end, and the sum of that in whole budgets.
    pub lent_budgets: usize,
    /// See there.
    pub lent: f64,
    /// Bytes on the disk of all voters in the end.
    pub disk_bytes: u64,
    /// What came of the loss of the leader, where that was asked for.
    pub leader_loss: Option<LeaderLoss>,
}
