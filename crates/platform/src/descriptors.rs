//! Divides the descriptors of a host between client connections and connections to nodes.
//!
//! A connection to a node carries one attempt, so few of them make requests wait. Clients with requests hold
//! at most a third of all descriptors. More are in use only if many clients connect and send nothing; these
//! then get room, so that the clients with requests among them keep their places.

/// Descriptors reserved for the listener, discovery, signals and standard streams.
const RESERVED_DESCRIPTORS: usize = 24;
/// Share of the unreserved descriptors that client connections may use while a crowd is connected.
const CROWDED_CLIENT_SHARE: f64 = 0.64;
/// The same otherwise.
const USUAL_CLIENT_SHARE: f64 = 0.5;
/// A crowd is connected once clients hold more than this share, and until they hold less than the other one.
const CROWD_BEGIN_SHARE: f64 = 0.42;
const CROWD_END_SHARE: f64 = 0.38;

fn unreserved(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS)
}

fn share_of(descriptors: usize, share: f64) -> usize {
    (descriptors as f64 * share) as usize
}

/// Number of client connections that a host with this many descriptors may hold while a crowd is connected,
/// which is the largest number.
pub fn max_client_connections(descriptors: usize) -> usize {
    share_of(unreserved(descriptors), CROWDED_CLIENT_SHARE)
}

/// Number of connections to nodes that a host may hold with as many client connections as there may be.
pub fn max_node_connections(descriptors: usize) -> usize {
    (unreserved(descriptors) - max_client_connections(descriptors)).max(1)
}

/// The division in force.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorSplit {
    unreserved: usize,
    is_crowded: bool,
}

impl DescriptorSplit {
    /// The division of this many descriptors before any client connects.
    pub fn new(descriptors: usize) -> DescriptorSplit {
        DescriptorSplit { unreserved: unreserved(descriptors), is_crowded: false }
    }

    /// Adapts the division to the descriptors that client connections hold. Returns whether it has changed.
    pub fn update(&mut self, client_descriptors: usize) -> bool {
        let share = if self.is_crowded { CROWD_END_SHARE } else { CROWD_BEGIN_SHARE };
        let is_crowded = client_descriptors > share_of(self.unreserved, share);
        std::mem::replace(&mut self.is_crowded, is_crowded) != is_crowded
    }

    /// Maximum number of connections to nodes.
    pub fn node_connections(&self) -> usize {
        let share = if self.is_crowded { CROWDED_CLIENT_SHARE } else { USUAL_CLIENT_SHARE };
        (self.unreserved - share_of(self.unreserved, share)).max(1)
    }

    /// Maximum number of client connections beside `held` connections to nodes, which may still be more than
    /// the division allows.
    pub fn client_connections(&self, held: usize) -> usize {
        self.unreserved.saturating_sub(self.node_connections().max(held)).max(1)
    }
}
