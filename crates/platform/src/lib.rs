//! What passes between a host and its platform, and what is decided about connections; no I/O, no clock.
//!
//! [`config`]: the file that a host is started with. [`request`]: a client's command. [`answer`]: a node's reply.
//! [`nodes`]: discovery's list. [`clients`]: which client connections stay; [`life`]: how one of
//! them passes from its arrival to its end. [`pool`]: which connection to a node
//! carries an attempt, by what [`rest`] learns of those that stood idle. Requests are judged by the module alone; table and pool judge connections.

pub mod answer;
pub mod clients;
pub mod config;
pub mod life;
pub mod nodes;
pub mod pool;
pub mod request;
pub mod rest;
