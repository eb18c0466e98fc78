//! A host in the platform's service: the platform's protocol on `std::net` sockets around the decisions.
//!
//! `client` reads one client connection, `links` are the connections to nodes, `watch` follows discovery, `engine` is
//! the one thread that owns the driver of the module, and [`Serving`] puts them together. What a request gets is
//! the module's word; which connections stay and carry what is decided in `pearfork_platform`.

mod client;
mod engine;
mod links;
mod serving;
mod tally;
mod watch;

pub use serving::{Serving, ServingError};
