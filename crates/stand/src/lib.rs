//! Stand-ins for what surrounds a host: storage nodes, the directory that lists them, and clients. All on
//! loopback, all scripted, each noting the bytes of its sockets for [`pearfork_rulecheck`].

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
pub use store::{Rack, ShardStore};
