//! What passes between a host and its platform, and what is decided about connections; no I/O, no clock.
//!
//! [`config`]: the file that a host is started with. [`request`]: a client's command. [`node_reply`]: a node's reply.
//! [`node_list`]: discovery's list. [`clients`]: which client connections stay; [`lifecycle`]: how one of
//! them passes from its arrival to its end. [`pool`]: which connection to a node
//! carries an attempt, by what [`idle_loss`] learns of those that stood idle. Requests are judged by the module alone; table and pool judge connections.

pub mod clients;
pub mod config;
pub mod idle_loss;
pub mod lifecycle;
pub mod node_list;
pub mod node_reply;
pub mod pool;
pub mod request;
