//! A host's settings for its fleet, checked as a whole.

use pearfork_ledger::{Fraction, HostNumber, Times};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The address of a voter, as this host reaches it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterAddress {
    /// Its number.
    pub host: HostNumber,
    /// Where it listens for its fleet.
    pub address: SocketAddr,
}

/// Faults to inject, for trials alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultInjection {
    /// How fast this process's clock runs for its leases; 1 where nothing is said.
    pub clock_rate: Option<f64>,
    /// A file whose first word names the disk's present fault.
    pub disk: Option<PathBuf>,
}

/// A host's settings for its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetPlan {
    /// The fleet's name.
    pub name: String,
    /// This host.
    pub me: HostNumber,
    /// Hosts of the fleet at the most: each has a floor.
    pub hosts: u32,
    /// Where a voter listens for its fleet; others listen nowhere.
    pub listen: Option<SocketAddr>,
    /// Where a voter keeps its state.
    pub folder: Option<PathBuf>,
    /// All voters, this host perhaps among them.
    pub voters: Vec<VoterAddress>,
    /// What all floors together make of each whole.
    pub floors: Fraction,
    /// Times.
    pub times: Times,
    /// For trials.
    pub fault_injection: FaultInjection,
}

impl FleetPlan {
    /// Whether this host is a voter.
    pub fn votes(&self) -> bool {
        self.voters.iter().any(|v| v.host == self.me)
    }

    /// Each host's floor. All floors add up to no more than `floors`.
    pub fn floor(&self) -> Fraction {
        Fraction(self.floors.0 / u64::from(self.hosts.max(1)))
    }

    /// What floors leave to be lent.
    pub fn lendable(&self) -> Fraction {
        Fraction::WHOLE.saturating_sub(self.floors)
    }

    /// Checksum of all that must be alike at every host. Addresses may differ: each host has its own way to a voter.
    pub fn fingerprint(&self) -> String {
        let voters: Vec<u16> = self.voters.iter().map(|v| v.host.0).collect();
        let t = &self.times;
        let words =
            format!("{} {} {voters:?} {} {} {}", self.name, self.hosts, self.floors.0, t.lease_ms, t.drift);
        format!("{:08x}", crc32c::crc32c(words.as_bytes()))
    }
}
