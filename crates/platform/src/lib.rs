//! The platform's protocol and the decisions about connections, without I/O or a clock.
//!
//! - [`config`]: the configuration file that a host is started with.
//! - [`request`]: commands of clients.
//! - [`node_reply`]: replies of nodes.
//! - [`node_list`]: the node list that discovery returns.
//! - [`descriptors`]: how descriptors are divided between clients and nodes.
//! - [`clients`]: which client connections are kept when descriptors run short.
//! - [`lifecycle`]: the state machine of one client connection.
//! - [`pool`]: which connection to a node carries an attempt.
//! - [`memory`]: how many bytes from outside are held.
//! - [`idle_loss`]: how long a connection may stay idle before attempts on it get lost.
//!
//! Requests are admitted and scheduled by the scheduler alone; this crate decides about connections only.

pub mod client_ids;
pub mod clients;
pub mod config;
pub mod descriptors;
pub mod idle_loss;
pub mod lifecycle;
pub mod memory;
pub mod node_list;
pub mod node_reply;
pub mod pool;
pub mod request;
