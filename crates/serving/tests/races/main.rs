//! Where two events cross, with the crossing forced: a host is held at a named point, a node or an agent answers by hand, a
//! connection comes up when the test lets it.

#[allow(dead_code, reason = "what the tests of a whole host share")]
#[path = "../common/mod.rs"]
mod common;
mod ordering;

mod client_connections;
mod disconnects;
mod discovery_failures;
mod discovery_responses;
mod links;
