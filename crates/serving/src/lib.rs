//! A host in the platform's service: the platform's protocol on `std::net` sockets around the decisions.
//!
//! `front` takes client connections and reads them all in one thread, `client` is one of them, `links` are the connections
//! to nodes, read by another, `watch` follows discovery, `engine` is the one thread that owns the driver of the module,
//! and [`Service`] puts them together. The number of threads is the same whatever the number of connections. What a request gets is
//! the module's word; which connections stay and carry what is decided in `pearfork_platform`.

mod client;
mod engine;
mod front;
mod links;
mod pauses;
mod service;
mod tally;
mod watch;

#[cfg(feature = "pauses")]
pub use pauses::{Hold, Point, Prepare};
pub use service::{Service, ServiceError};
