//! The control plane of a large fleet on one machine: real voters, and hollow hosts that share processes.
//!
//! A hollow host is the real membership of a host ([`pearfork_fleet::FleetMember`]: its lease, links, threads and sockets) and a
//! real [`pearfork::Scheduler`] that knows a list of nodes, without clients. Demands are drawn from a seed. Costs are counted
//! by role: bytes and messages by the transport, processor time, memory, threads and descriptors from `/proc`.

pub mod child;
pub mod connections;
pub mod hollow;
pub mod load;
pub mod measure;
pub mod report;
pub mod run;
pub mod size;

pub use run::run;
pub use size::{Size, SizeError};
