//! The validated fleet settings of a host.

use pearfork_ledger::{Fraction, HostNumber, Timing};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The address of a voter, as this host reaches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// The voter's host number.
    pub host: HostNumber,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// Faults to inject, for tests only.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultInjection {
    /// Speed of this process's lease clock relative to real time; 1 by default.
    pub clock_rate: Option<f64>,
    /// A file whose first word names the current disk fault; see [`FaultyDisk`](crate::disk::FaultyDisk).
    pub disk_fault_file: Option<PathBuf>,
}

/// The fleet settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// This host.
    pub host: HostNumber,
    /// Maximum number of hosts in the fleet; each of them has a floor.
    pub max_hosts: u32,
    /// The address that a voter listens on for fleet connections; none if this host is not a voter.
    pub listen: Option<SocketAddr>,
    /// The folder in which a voter keeps its state; none if this host is not a voter.
    pub folder: Option<PathBuf>,
    /// All voters, including this host if it is one.
    pub voters: Vec<VoterAddress>,
    /// The sum of all floors, as a fraction of each budget.
    pub total_floor: Fraction,
    /// Durations and timeouts of the ledger.
    pub timing: Timing,
    /// Faults to inject, for tests only.
    pub fault_injection: FaultInjection,
}

impl FleetSettings {
    /// Whether this host is a voter.
    pub fn is_voter(&self) -> bool {
        self.voters.iter().any(|v| v.host == self.host)
    }

    /// The floor of each host, rounded down, so that the floors of all hosts do not exceed their configured
    /// sum.
    pub fn floor(&self) -> Fraction {
        Fraction(self.total_floor.0 / u64::from(self.max_hosts.max(1)))
    }

    /// The fraction of each budget that can be leased: what the floors leave over.
    pub fn lendable(&self) -> Fraction {
        Fraction::WHOLE.saturating_sub(self.total_floor)
    }

    /// Checksum of the settings that must be the same on all hosts. Addresses are left out: hosts may reach a
    /// voter under different ones.
    pub fn fingerprint(&self) -> String {
        let voters: Vec<u16> = self.voters.iter().map(|v| v.host.0).collect();
        let t = &self.timing;
        let text = format!(
            "{} {} {voters:?} {} {} {}",
            self.name, self.max_hosts, self.total_floor.0, t.lease_ms, t.max_clock_drift
        );
        format!("{:08x}", crc32c::crc32c(text.as_bytes()))
    }
}
