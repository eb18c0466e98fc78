//! A running host around [`pearfork::Scheduler`].
//!
//! Read it in this order: [`settings`] (a file becomes a checked value), [`volumes`] (blocks to extents and
//! shards), [`dispatcher`] (drives the module; no I/O, no clock), [`counts`] (what it counts), [`join`] (parts of a command to one answer),
//! `engine` (the one thread that owns the dispatcher), `links` (sessions to storage nodes), `front` (iSCSI
//! clients), `directory` (the node list), `fleet` (parts of the fleet's limits), `status` (HTTP). Whatever may be decided about a request is decided by
//! the module; this crate tells it what happened and carries out what it says.

pub mod counts;
mod directory;
pub mod dispatcher;
mod engine;
mod fleet;
mod front;
mod host;
pub mod join;
mod links;
pub mod settings;
mod status;
pub mod units;
pub mod volumes;

pub use directory::{parse_node_list, render_node_list, ListedNode, NodeList};
pub use host::{Host, HostError};
