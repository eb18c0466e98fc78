//! Sockets: [`pearfork_iscsi`] sessions over `std::net`, a small HTTP server and client, and an epoll poller.
//!
//! An iSCSI session has two threads with small stacks: one reads and delivers received PDUs, the other writes
//! queued output. No lock is held during a read or a write, so a peer that stops reading blocks no other
//! session; the output queued for it is bounded by its command window.

mod clock;
mod connection;
pub mod http;
mod poll;
mod portal;
mod ports;
mod stream;
mod write_buffer;

pub use clock::Clock;
pub use connection::{CommandToken, ConnectError, Connection, ConnectionEvent};
pub use poll::{start_connect, Interest, Poller, Readiness};
pub use portal::{Portal, PortalConfig, Session, SessionHandler, SessionId};
pub use ports::free_addresses;
pub use stream::{
    is_resource_shortage, lock, retry_startup_shortage, spawn_small_stack, Direction, StreamTap, Tap,
};
pub use write_buffer::{set_accept_backlog, shutdown_listener, Flusher, PeekResult, WriteBuffer};
