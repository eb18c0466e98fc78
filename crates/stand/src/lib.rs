//! Fakes of the systems around a host: storage nodes, the directory that lists them, and clients.
//!
//! They run on loopback under the control of a scenario. A [`Recorder`] records the traffic on their sockets
//! for [`pearfork_rulecheck`].

mod client;
mod cluster;
mod directory;
mod node;
mod recorder;
mod store;

pub use client::{FakeClient, FakeClientSpec, FakeClientStats};
pub use cluster::{FakeCluster, FakeClusterSpec};
pub use directory::FakeDirectory;
pub use node::{FakeNode, FakeNodeSpec, NodeFault};
pub use recorder::Recorder;
pub use store::{RackKeyCache, ShardStore};
