//! Decisions for a host that schedules reads and writes in front of shared storage nodes.
//!
//! The library does no I/O and reads no clock: feed [`Scheduler::handle`] the time and an event, carry out
//! the actions it appends. The ordinary path is the envelope admission test LMAC; see `docs/design/module.md`.
//!
#![doc = include_str!("../README.md")]

mod envelope;
mod interface;
mod node_age;
mod scheduler;
mod state;
mod subset;

pub use interface::*;
pub use node_age::is_restart;
pub use scheduler::Scheduler;
