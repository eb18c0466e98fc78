//! Size of a run and its validation.

use serde::{Deserialize, Serialize};

/// Maximum number of hosts of a run.
pub const MAX_HOSTS: u32 = 4_096;
/// Maximum number of budgets of a run.
pub const MAX_BUDGETS: u32 = 100_000;
/// Maximum number of nodes of a run.
pub const MAX_NODES: u32 = 20_000;
/// Maximum number of processes of a run, including this program.
pub const MAX_PROCESSES: u32 = 200;
/// Maximum memory of all processes together, bytes.
pub const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// Maximum duration of the measurement, seconds.
pub const MAX_SECONDS: u32 = 600;
/// Number of simulated hosts that share a process.
pub const HOSTS_PER_PROCESS: u32 = 133;

/// Memory of a simulated host without budgets and nodes, bytes, rounded up.
const BYTES_PER_HOST: u64 = 1 << 20;
/// Memory of one budget at one host, bytes, rounded up.
const BYTES_PER_BUDGET: u64 = 1_024;
/// Memory of one node at one host, bytes, rounded up.
const BYTES_PER_NODE: u64 = 16 << 10;

/// Size of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Number of hosts, including voters.
    pub hosts: u32,
    /// Number of voters, each in its own process.
    pub voters: u16,
    /// Number of nodes in the list of each host.
    pub nodes: u32,
    /// Number of budgets: two for each volume with a limit.
    pub budgets: u32,
    /// Number of hosts whose clients use a volume at a time; all hosts if there are fewer.
    pub users: u32,
    /// Fraction of the volumes whose load moves to another host each second.
    pub moving: f64,
    /// Greatest deviation of measured demand from its mean, as a fraction of the mean.
    pub jitter: f64,
    /// Least useful fraction of a budget for a host. If this fraction for each user exceeds the whole budget,
    /// users take turns.
    pub least: f64,
    /// Duration of the measurement, seconds.
    pub seconds: u32,
    /// Duration of the warm-up before the measurement, seconds.
    pub warm_up: u32,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Why a size is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SizeError {
    /// A value is out of range.
    #[error("{field} = {value} is out of range, expected {least} to {most}")]
    Range {
        /// Name of the flag.
        field: &'static str,
        /// The given value.
        value: f64,
        /// Smallest valid value.
        least: f64,
        /// Greatest valid value.
        most: f64,
    },
    /// The number of voters is not supported. It must be odd, since an even number tolerates no more failures
    /// than the odd one below it.
    #[error("voters = {0} is not supported, expected 1, 3, 5 or 7")]
    Voters(u16),
    /// The run would need too much memory.
    #[error("hosts = {hosts}, nodes = {nodes} and budgets = {budgets} need about {needed_mib} MiB of memory, at most {most_mib} MiB are allowed")]
    Memory {
        /// Number of hosts.
        hosts: u32,
        /// Number of nodes.
        nodes: u32,
        /// Number of budgets.
        budgets: u32,
        /// Estimated memory, MiB.
        needed_mib: u64,
        /// Allowed memory, MiB.
        most_mib: u64,
    },
    /// The run would need too many processes.
    #[error("hosts = {hosts} need {needed} processes, at most {most} are allowed")]
    Processes {
        /// Number of hosts.
        hosts: u32,
        /// Number of processes needed.
        needed: u32,
        /// Number of processes allowed.
        most: u32,
    },
}

/// Checks that a value is within its range.
///
/// # Errors
/// Returns [`SizeError::Range`] if it is not.
pub fn in_range(field: &'static str, value: f64, least: f64, most: f64) -> Result<(), SizeError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(SizeError::Range { field, value, least, most })
    }
}

impl Size {
    /// Validates the size before anything starts.
    ///
    /// # Errors
    /// Returns the first value that is out of range, or that the run would need too many processes or too
    /// much memory.
    pub fn check(&self) -> Result<(), SizeError> {
        in_range("hosts", f64::from(self.hosts), 1.0, f64::from(MAX_HOSTS))?;
        in_range("nodes", f64::from(self.nodes), 1.0, f64::from(MAX_NODES))?;
        in_range("budgets", f64::from(self.budgets), 2.0, f64::from(MAX_BUDGETS))?;
        in_range("users", f64::from(self.users), 1.0, f64::from(MAX_HOSTS))?;
        in_range("moving", self.moving, 0.0, 1.0)?;
        in_range("jitter", self.jitter, 0.0, 1.0)?;
        in_range("least", self.least, 0.0, 1.0)?;
        in_range("seconds", f64::from(self.seconds), 1.0, f64::from(MAX_SECONDS))?;
        in_range("warm-up", f64::from(self.warm_up), 0.0, f64::from(MAX_SECONDS))?;
        if !matches!(self.voters, 1 | 3 | 5 | 7) {
            return Err(SizeError::Voters(self.voters));
        }
        in_range("hosts", f64::from(self.hosts), f64::from(self.voters), f64::from(MAX_HOSTS))?;
        let needed = self.processes();
        if needed > MAX_PROCESSES {
            return Err(SizeError::Processes { hosts: self.hosts, needed, most: MAX_PROCESSES });
        }
        let needed = self.memory_bytes();
        if needed > MAX_MEMORY_BYTES {
            return Err(SizeError::Memory {
                hosts: self.hosts,
                nodes: self.nodes,
                budgets: self.budgets,
                needed_mib: needed >> 20,
                most_mib: MAX_MEMORY_BYTES >> 20,
            });
        }
        Ok(())
    }

    /// Returns the number of volumes with a limit: one for two budgets.
    pub fn volumes(&self) -> u32 {
        self.budgets.div_ceil(2)
    }

    /// Returns the number of processes of the run, including this one.
    pub fn processes(&self) -> u32 {
        let simulated = self.hosts.saturating_sub(u32::from(self.voters));
        1 + u32::from(self.voters) + simulated.div_ceil(HOSTS_PER_PROCESS)
    }

    /// Returns an estimate of the memory of all processes, bytes.
    pub fn memory_bytes(&self) -> u64 {
        let bytes_per_host = BYTES_PER_HOST
            + u64::from(self.budgets) * BYTES_PER_BUDGET
            + u64::from(self.nodes) * BYTES_PER_NODE;
        u64::from(self.hosts) * bytes_per_host
    }
}
