//! A host of the platform's service: its protocol on `std::net` sockets, with the scheduler between clients
//! and nodes.
//!
//! - `client_reader`: the thread that accepts and reads all client connections.
//! - `client`: one client connection, as the engine sees it.
//! - `client_connection`: one client connection, as its reader sees it.
//! - `links`: the connections to nodes and the thread that reads them.
//! - `watch`: the thread that follows discovery.
//! - `engine`: the thread that owns the driver of the scheduler.
//! - [`Service`]: starts and stops all of these.
//!
//! The number of threads does not depend on the number of connections. The scheduler decides about requests;
//! `pearfork_platform` decides which connections are kept and which of them carry attempts.

mod client;
mod client_connection;
mod client_reader;
mod counters;
mod engine;
mod links;
mod service;
mod test_hooks;
mod watch;

pub use service::{Service, ServiceError};
#[cfg(feature = "pauses")]
pub use test_hooks::{ConnectHook, Point, PointHook};
