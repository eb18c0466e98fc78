//! The size of a run, and why one is refused.

use serde::{Deserialize, Serialize};

/// Most hosts of a run.
pub const MAX_HOSTS: u32 = 4_096;
/// Most budgets of a run.
pub const MAX_BUDGETS: u32 = 100_000;
/// Most nodes of a run.
pub const MAX_NODES: u32 = 20_000;
/// Most processes of a run, this program included.
pub const MAX_PROCESSES: u32 = 200;
/// Most memory of all processes together, bytes.
pub const MAX_MEMORY_BYTES: u64 = 12 << 30;
/// Most seconds that are measured.
pub const MAX_SECONDS: u32 = 600;
/// Hollow hosts that share a process.
pub const HOSTS_PER_PROCESS: u32 = 133;

/// Memory of a hollow host without budgets and nodes, bytes, rounded up from what was measured.
const BYTES_PER_HOST: u64 = 1 << 20;
/// Memory of one budget at one host, bytes, rounded up.
const BYTES_PER_BUDGET: u64 = 1_024;
/// Memory of one node at one host, bytes, rounded up.
const BYTES_PER_NODE: u64 = 16 << 10;

/// What is run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Size {
    /// Hosts, voters included.
    pub hosts: u32,
    /// Voters, each a process of its own.
    pub voters: u16,
    /// Nodes in each host's list.
    pub nodes: u32,
    /// Budgets: two for each volume with a limit.
    pub budgets: u32,
    /// Hosts whose clients use a volume at a time; all where there are fewer.
    pub users: u32,
    /// Part of the volumes whose load moves to another host each second.
    pub moving: f64,
    /// How far measured demand strays from its mean, as a fraction of it.
    pub jitter: f64,
    /// The least fraction of a budget that is of use to a host: where so much for each user is more than the whole, they take
    /// turns.
    pub least: f64,
    /// Seconds that are measured.
    pub seconds: u32,
    /// Seconds before that.
    pub warm_up: u32,
    /// Seed of all draws.
    pub seed: u64,
}

/// Why a size is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SizeError {
    /// A figure is out of its range.
    #[error("{field} = {value} is not between {least} and {most}")]
    Range {
        /// The flag.
        field: &'static str,
        /// What was given.
        value: f64,
        /// The least that is taken.
        least: f64,
        /// The most that is taken.
        most: f64,
    },
    /// Only odd numbers of voters have majorities worth their number.
    #[error("voters = {0}: 1, 3, 5 or 7 are possible")]
    Voters(u16),
    /// The run would need more than it may have.
    #[error("hosts = {hosts}, nodes = {nodes} and budgets = {budgets} need about {needed_mib} MiB, {most_mib} MiB are allowed")]
    Memory {
        /// Hosts.
        hosts: u32,
        /// Nodes.
        nodes: u32,
        /// Budgets.
        budgets: u32,
        /// What they need.
        needed_mib: u64,
        /// What is allowed.
        most_mib: u64,
    },
    /// The run would need too many processes.
    #[error("hosts = {hosts} need {needed} processes, {most} are allowed")]
    Processes {
        /// Hosts.
        hosts: u32,
        /// Processes that they need.
        needed: u32,
        /// What is allowed.
        most: u32,
    },
}

/// Checks one figure.
///
/// # Errors
/// It is out of its range.
pub fn in_range(field: &'static str, value: f64, least: f64, most: f64) -> Result<(), SizeError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(SizeError::Range { field, value, least, most })
    }
}

impl Size {
    /// Checks the size before anything starts.
    ///
    /// # Errors
    /// The first figure that is out of its range, or what the whole would need.
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

    /// Volumes with a limit: one for two budgets.
    pub fn volumes(&self) -> u32 {
        self.budgets.div_ceil(2)
    }

    /// Processes of the run, this one included.
    pub fn processes(&self) -> u32 {
        let hollow = self.hosts.saturating_sub(u32::from(self.voters));
        1 + u32::from(self.voters) + hollow.div_ceil(HOSTS_PER_PROCESS)
    }

    /// Estimate of the memory of all processes, bytes.
    pub fn memory_bytes(&self) -> u64 {
        let each = BYTES_PER_HOST
            + u64::from(self.budgets) * BYTES_PER_BUDGET
            + u64::from(self.nodes) * BYTES_PER_NODE;
        u64::from(self.hosts) * each
    }
}
