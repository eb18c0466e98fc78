//! Where two events cross, with the crossing forced: a host is held at a named point, a node or an agent answers by hand, a
//! connection comes up when the test lets it.

#[allow(dead_code, reason = "what the tests of a whole host share")]
#[path = "../common/mod.rs"]
mod common;
mod held;

mod clients;
mod departures;
mod discovery;
mod lists;
mod nodes;
