//! Addresses of loopback for processes that are about to listen.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener};

/// Ports below those that the system gives to connections. Danger: one of those is free when it is looked for, and some
/// process's connection by the time that another process wants to listen there.
const PORTS: std::ops::Range<u16> = 15_000..32_000;
/// Processes begin their search this many ports apart.
const PORTS_PER_PROCESS: usize = 211;

/// Addresses of loopback that nobody listens at now, no two the same.
///
/// # Errors
/// There are not so many.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let first = std::process::id() as usize * PORTS_PER_PROCESS % PORTS.len();
    let ports = PORTS.cycle().skip(first).take(PORTS.len());
    // Held together, so that no two are the same.
    let held: Vec<TcpListener> =
        ports.filter_map(|port| TcpListener::bind(("127.0.0.1", port)).ok()).take(count).collect();
    if held.len() < count {
        return Err(ErrorKind::AddrNotAvailable.into());
    }
    held.iter().map(TcpListener::local_addr).collect()
}
