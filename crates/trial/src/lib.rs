//! Runs scenarios whose hosts are separate processes, and injects faults between them.
//!
//! The scenarios are those of `pearfork-day`, with [`HostProcesses`] to run the hosts. Each link from a host
//! to a voter goes through its own [`relay`], so that each direction of each pair can be cut, slowed, or made
//! to lose and repeat messages. The fake nodes and clients and the recorder run in this process, and the
//! rules are checked from the recorded traffic.

mod draw;
mod processes;
pub mod relay;

pub use draw::{draw_schedule, shrink_schedule};
pub use processes::{HostProcesses, ProcessConfig};
