//! Free loopback addresses for processes that are about to listen.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};

/// Ports below the ephemeral range. An ephemeral port that is free when it is tested may be taken by an
/// outgoing connection of any process before the intended process listens on it.
const PORTS: std::ops::Range<u16> = 15_000..32_000;
/// Distance in ports between the starting points of two processes with consecutive ids, so that they rarely
/// collide.
const PORTS_PER_PROCESS: usize = 211;

/// Returns distinct loopback addresses on which no process listens at the moment.
///
/// # Errors
/// There are fewer free addresses than `count`.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let offset = std::process::id() as usize * PORTS_PER_PROCESS % PORTS.len();
    let ports = PORTS.cycle().skip(offset).take(PORTS.len());
    // All listeners are kept open until the end, so that no address is returned twice.
    let listeners: Vec<TcpListener> =
        ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()).take(count).collect();
    if listeners.len() < count {
        return Err(ErrorKind::AddrNotAvailable.into());
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}
