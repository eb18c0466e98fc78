//! Stand-ins for what surrounds a host: storage nodes, the directory that lists them, and clients. All on
//! loopback, all scripted, each noting the bytes of its sockets for [`pearfork_rulecheck`].

mod client;
mod directory;
mod fleet;
mod node;
mod recorder;
mod store;

pub use client::{Client, ClientSpec, ClientTally};
pub use directory::Directory;
pub use fleet::{Fleet, FleetSpec};
pub use node::{Fault, Node, NodeSpec};
pub use recorder::Recorder;
pub use store::{Rack, ShardStore};
