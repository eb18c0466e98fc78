//! A set of fake nodes with their directory, for scenarios, tests and the gateway's embedded nodes.

use crate::{FakeDirectory, FakeNode, FakeNodeSpec, NodeFault, RackKeyCache, Recorder, ShardStore};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The properties that all nodes of a cluster have in common.
#[derive(Clone, Debug)]
pub struct FakeClusterSpec {
    /// Number of nodes.
    pub node_count: u16,
    /// Number of racks. Shards are assigned to them in turn, and a node's zone is its rack.
    pub racks: u16,
    /// Number of nodes that hold each shard. They share its blocks and the key cache of its rack.
    pub replicas: u16,
    /// Cores of each node.
    pub cores: u16,
    /// Maximum number of queued requests at each node.
    pub queue_capacity: u16,
    /// Maximum number of open commands of a session with a node.
    pub max_commands: u32,
    /// Time that one warm core takes for one unit.
    pub unit_work: Duration,
    /// Fraction of a write's work that is deferred to a flush.
    pub deferred_fraction: f64,
    /// How long the nodes of a rack discard repeated writes.
    pub repeat_window: Duration,
}

/// Four nodes with two cores each in two racks. Each has its own shard, takes 1 ms for a unit and defers no
/// work.
impl Default for FakeClusterSpec {
    fn default() -> Self {
        FakeClusterSpec {
            node_count: 4,
            racks: 2,
            replicas: 1,
            cores: 2,
            queue_capacity: 64,
            max_commands: 256,
            unit_work: Duration::from_millis(1),
            deferred_fraction: 0.0,
            repeat_window: Duration::from_millis(1200),
        }
    }
}

/// Fake nodes and the directory that lists them.
pub struct FakeCluster {
    nodes: Vec<FakeNode>,
    directory: FakeDirectory,
    listing_delay: Duration,
}

impl FakeCluster {
    /// Starts warm nodes and a directory that lists them at once.
    ///
    /// The nodes have the cold-start parameters that `scheduler_settings` give to the hosts. The directory
    /// lists later changes after `listing_delay`.
    ///
    /// # Errors
    /// No address was available or a thread could not be started.
    pub fn start(
        spec: &FakeClusterSpec,
        scheduler_settings: &pearfork::Settings,
        directory: SocketAddr,
        listing_delay: Duration,
        recorder: &Recorder,
    ) -> io::Result<FakeCluster> {
        let directory = FakeDirectory::start(directory, recorder.clone())?;
        let racks: Vec<Arc<RackKeyCache>> =
            (0..spec.racks.max(1)).map(|_| Arc::new(RackKeyCache::new(spec.repeat_window))).collect();
        let settings = scheduler_settings;
        let mut nodes = Vec::new();
        let shards = (spec.node_count / spec.replicas.max(1)).max(1);
        let stores: Vec<Arc<ShardStore>> = (0..shards).map(|_| Arc::default()).collect();
        for i in 0..spec.node_count {
            let shard = i % shards;
            let zone = shard % spec.racks.max(1);
            let spec = FakeNodeSpec {
                id: u32::from(i) + 1,
                shard,
                zone,
                cores: spec.cores,
                queue_capacity: spec.queue_capacity,
                max_commands: spec.max_commands,
                unit_work: spec.unit_work,
                deferred_fraction: spec.deferred_fraction,
                cold_from: settings.cold_from,
                warm_after: Duration::from_secs_f64(settings.warm_after_ms / 1_000.0),
                fall_multiple: settings.fall_multiple,
                fall: Duration::from_secs_f64(settings.fall_ms / 1_000.0),
                cold_units: settings.cold_units,
                ..FakeNodeSpec::default()
            };
            let rack = racks[usize::from(zone)].clone();
            nodes.push(FakeNode::start(spec, stores[usize::from(shard)].clone(), rack, recorder.clone())?);
        }
        let cluster = FakeCluster { nodes, directory, listing_delay };
        for n in &cluster.nodes {
            cluster.list(n, "ready", Duration::ZERO);
        }
        Ok(cluster)
    }

    fn list(&self, node: &FakeNode, state: &'static str, delay: Duration) {
        let s = node.spec();
        let unused = SocketAddr::from(([127, 0, 0, 1], 9));
        let (address, started_ms) = node.address().unwrap_or((unused, 0.0));
        self.directory.set((s.id, s.shard, s.zone), state, started_ms, address, delay);
    }

    /// The node with this id. Ids begin at 1; a larger id than that of the last node returns the last node.
    pub fn node(&self, id: u32) -> &FakeNode {
        &self.nodes[(id as usize).saturating_sub(1).min(self.nodes.len() - 1)]
    }

    /// All nodes.
    pub fn nodes(&self) -> &[FakeNode] {
        &self.nodes
    }

    /// The directory that lists the nodes.
    pub fn directory(&self) -> &FakeDirectory {
        &self.directory
    }

    /// Kills the node's process, and the directory lists it as gone.
    pub fn kill_node(&self, id: u32) {
        let node = self.node(id);
        self.list(node, "gone", self.listing_delay);
        node.kill();
    }

    /// Begins to drain the node: it requests a logout of its sessions, and the directory lists it as
    /// draining.
    pub fn drain_node(&self, id: u32) {
        let node = self.node(id);
        node.set_fault(NodeFault::RequestLogout);
        self.list(node, "draining", self.listing_delay);
    }

    /// Restarts the node cold, and the directory lists it as ready.
    ///
    /// # Errors
    /// No address was available or a thread could not be started.
    pub fn restart_node(&self, id: u32) -> io::Result<()> {
        let node = self.node(id);
        node.restart()?;
        self.list(node, "ready", self.listing_delay);
        Ok(())
    }
}
