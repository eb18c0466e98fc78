//! What passes between a host and its platform, and what is decided about connections; no I/O, no clock.
//!
//! [`config`]: the file that a host is started with. [`request`]: a client's command. [`answer`]: a node's reply.
//! [`roster`]: discovery's list. [`door`]: which client connections stay. [`pool`]: which connection to a node
//! carries an attempt, by what [`rest`] learns of those that stood idle. Requests are judged by the module alone; door and pool judge connections.

pub mod answer;
pub mod config;
pub mod door;
pub mod pool;
pub mod request;
pub mod rest;
pub mod roster;
