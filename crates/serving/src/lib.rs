//! A host in the platform's service: the platform's protocol on `std::net` sockets around the decisions.
//!
//! `client_reader` takes client connections and reads them all in one thread, `client` is one of them, `links` are the connections
//! to nodes, read by another, `watch` follows discovery, `engine` is the one thread that owns the driver of the module,
//! and [`Service`] puts them together. The number of threads is the same whatever the number of connections. What a request gets is
//! the module's word; which connections stay and carry what is decided in `pearfork_platform`.

mod client;
mod client_reader;
mod counters;
mod engine;
mod links;
mod service;
mod test_hooks;
mod watch;

pub use service::{Service, ServiceError};
#[cfg(feature = "pauses")]
pub use test_hooks::{Hold, Point, Prepare};
