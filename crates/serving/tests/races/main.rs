//! Races between two events, in an order that the test forces: the host blocks at a hook, the test writes the
//! responses of a node or a discovery agent itself, and a connection opens when the test lets it.

#[allow(dead_code, reason = "shared by several test binaries")]
#[path = "../common/mod.rs"]
mod common;
mod ordering;

mod client_connections;
mod disconnects;
mod discovery_failures;
mod discovery_responses;
mod links;
