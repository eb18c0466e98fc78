//! Report of a run.

use crate::size::Size;
use serde::Serialize;

/// Mean cost of one role, per process or host, during the measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleCost {
    /// CPU time, percent of a core.
    pub cpu_percent: f64,
    /// Resident memory, bytes.
    pub resident_bytes: f64,
    /// Number of threads.
    pub threads: f64,
    /// Number of open file descriptors.
    pub descriptors: f64,
    /// Bytes sent and received over sockets per second.
    pub bytes_per_second: f64,
    /// Messages sent and received over sockets per second.
    pub messages_per_second: f64,
}

/// Times from a move of load until its new user was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct MoveTimes {
    /// Number of moves whose new user was served.
    pub count: usize,
    /// Median, milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, milliseconds.
    pub p99_ms: f64,
    /// Maximum, milliseconds.
    pub max_ms: f64,
}

/// Recovery after the loss of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LeaderLoss {
    /// Time until another voter was the leader, milliseconds.
    pub new_leader_ms: f64,
    /// Time until every host had a lease from it, milliseconds.
    pub all_leased_ms: f64,
    /// Most bytes over the sockets of one host in that time.
    pub most_host_bytes: f64,
    /// Bytes over the sockets of the new leader in that time.
    pub leader_bytes: f64,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Size of the run.
    pub size: Size,
    /// Duration of the measurement, seconds.
    pub measured_seconds: f64,
    /// Time from the start until every host had a lease, seconds.
    pub ready_seconds: f64,
    /// Cost of a simulated host.
    pub host: RoleCost,
    /// 99th percentile over the simulated hosts of the bytes per second.
    pub host_bytes_p99: f64,
    /// Cost of the leader.
    pub leader: RoleCost,
    /// Cost of a voter that is not the leader.
    pub follower: RoleCost,
    /// Time spent in the timers of a host's scheduler, percent of a core.
    pub scheduler_percent: f64,
    /// Resident memory of all processes, bytes.
    pub all_resident_bytes: u64,
    /// Moves of load.
    pub moves: MoveTimes,
    /// Number of budgets of which a fraction is lent at the end.
    pub lent_budgets: usize,
    /// Sum of the fractions that are lent at the end; 1 is a whole budget.
    pub lent: f64,
    /// Disk space of all voters at the end, bytes.
    pub disk_bytes: u64,
    /// Recovery after the loss of the leader, if that was requested.
    pub leader_loss: Option<LeaderLoss>,
}
