//! Days whose hosts are processes of their own, with troubles between them.
//!
//! The script is that of `pearfork-day`; [`Processes`] runs its hosts. Every link from a host to a voter goes through a
//! [`relay`] of its own, so that each direction of each pair can be cut, slowed, or made to lose and repeat messages.
//! Nodes, clients and the record are the day's, in this process; the rules are judged from what passed the sockets.

mod draw;
mod processes;
pub mod relay;

pub use draw::{draw_schedule, shrink_schedule};
pub use processes::{HostProcesses, ProcessConfig};
