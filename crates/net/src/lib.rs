//! The thin shell between [`pearfork_iscsi`] sessions and `std::net` sockets.
//!
//! A session has two threads with small stacks: one reads and hands over what came, one writes what waits. No
//! lock is held over a read or a write, so that a peer that stands still blocks nobody else; what waits for it
//! is bounded by its command window.

mod clock;
mod connection;
pub mod http;
mod poll;
mod portal;
mod ports;
mod stream;
mod write_buffer;

pub use clock::Clock;
pub use connection::{ConnectError, Connection, ConnectionEvent, Token};
pub use poll::{begin_connect, Poller, Ready, Want, MOST_TOLD};
pub use portal::{Portal, PortalConfig, Service, Session, SessionId};
pub use ports::free_addresses;
pub use stream::{get_to_start, is_shortage, lock, spawn_small, Direction, Tap, TapRef};
pub use write_buffer::{long_queue, shut_listener, Flusher, Waiting, WriteBuffer};
