//! How a host divides its memory limit among the bytes from outside that it holds. No I/O.

use crate::config::Limits;
use crate::descriptors::{max_client_connections, DescriptorSplit};
pub use pearfork_drive::{ByteAccount, ByteBudget, HeldBytes};
use std::sync::Arc;

/// Fraction of the memory limit for commands of clients and replies to them. The allocator needs more than
/// the bytes that are held, and the program itself and its state need the rest.
const CLIENT_MEMORY_FRACTION: f64 = 1.0 / 3.0;
/// The same for replies of nodes.
const NODE_MEMORY_FRACTION: f64 = 1.0 / 6.0;
/// The same for one response of discovery, which takes several times its size while it is parsed.
const NODE_LIST_MEMORY_FRACTION: f64 = 1.0 / 32.0;
/// Bytes that a request takes besides its command, at the host and in the scheduler.
const REQUEST_OVERHEAD_BYTES: usize = 1024;

/// Maximum size of a response of discovery, in bytes.
pub fn max_node_list_bytes(limits: &Limits) -> usize {
    (limits.memory_bytes as f64 * NODE_LIST_MEMORY_FRACTION) as usize
}

/// Bytes that an open request holds, given the size of its command, which is copied when it is sent to a
/// node.
pub fn request_bytes(command_bytes: usize) -> usize {
    2 * command_bytes + REQUEST_OVERHEAD_BYTES
}

/// The budget of the client connections.
pub fn client_budget(limits: &Limits) -> Arc<ByteBudget> {
    let bytes = limits.memory_bytes as f64 * CLIENT_MEMORY_FRACTION;
    ByteBudget::new(bytes as usize, max_client_connections(limits.descriptors))
}

/// The budget of the connections to nodes.
pub fn node_budget(limits: &Limits) -> Arc<ByteBudget> {
    let bytes = limits.memory_bytes as f64 * NODE_MEMORY_FRACTION;
    ByteBudget::new(bytes as usize, DescriptorSplit::new(limits.descriptors).node_connections())
}
