//! Measures the control plane of a large fleet on one machine, with real voters and simulated hosts that
//! share processes.
//!
//! A simulated host has the fleet membership of a real host ([`pearfork_fleet::FleetMember`]: its lease,
//! links, threads and sockets) and a real [`pearfork::Scheduler`] with a list of nodes, but no client
//! connections. Its demand is generated from a seed. Costs are measured by role: bytes and messages by the
//! transport; CPU time, memory, threads and file descriptors from `/proc`.

pub mod child;
pub mod connections;
pub mod load;
pub mod measure;
pub mod report;
pub mod run;
pub mod simulated_clients;
pub mod size;

pub use run::run;
pub use size::{Size, SizeError};
