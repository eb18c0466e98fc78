//! A running host around [`pearfork::Scheduler`].
//!
//! Suggested reading order: [`settings`] (a file becomes validated settings), [`volumes`] (blocks to extents
//! and shards), [`dispatcher`] (drives the scheduler; no I/O, no clock), [`counts`] (its counters), [`join`]
//! (outcomes of a command's parts to one final answer), `engine` (the one thread that owns the dispatcher),
//! `links` (sessions to storage nodes), `frontend` (iSCSI clients), `directory` (the node list), `fleet`
//! (this host's shares of the fleet's limits), `status` (HTTP). The scheduler makes every decision about a
//! request; this crate reports events to it and carries out its actions.

pub mod counts;
mod directory;
pub mod dispatcher;
mod engine;
mod fleet;
mod frontend;
mod host;
pub mod join;
mod links;
mod memory;
pub mod settings;
mod status;
pub mod units;
pub mod volumes;

pub use directory::{parse_node_list, render_node_list, ListedNode, NodeList};
pub use host::{Host, HostError};
