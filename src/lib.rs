//! A scheduler for hosts that send reads and writes to shared storage nodes.
//!
//! The library does no I/O and reads no clock: pass the time and an event to [`Scheduler::handle`] and carry
//! out the actions that it appends. Admission follows LMAC, the measured-envelope test; see
//! `docs/design/module.md`.
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
