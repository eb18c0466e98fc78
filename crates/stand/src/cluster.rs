//! Stand-in nodes with their racks and directory: what a day, a test or an embedded default needs.

use crate::{FakeDirectory, FakeNode, FakeNodeSpec, NodeFault, Rack, Recorder, ShardStore};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What all nodes of a fleet are like.
#[derive(Clone, Debug)]
pub struct FakeClusterSpec {
    /// How many.
    pub node_count: u16,
    /// Racks over which the shards are dealt out.
    pub racks: u16,
    /// Nodes that hold the same shard: they reach the same blocks and share a rack's memory of keys.
    pub replicas: u16,
    /// Cores of each.
    pub cores: u16,
    /// Requests that wait at each.
    pub queue_capacity: u16,
    /// Work of one unit.
    pub unit_work: Duration,
    /// Part of a write's work that is put off.
    pub deferred_fraction: f64,
    /// How long a rack drops repeats.
    pub repeat_window: Duration,
}

/// Four nodes of two cores in two racks, each with a shard of its own, quick and with nothing put off.
impl Default for FakeClusterSpec {
    fn default() -> Self {
        FakeClusterSpec {
            node_count: 4,
            racks: 2,
            replicas: 1,
            cores: 2,
            queue_capacity: 64,
            unit_work: Duration::from_millis(1),
            deferred_fraction: 0.0,
            repeat_window: Duration::from_millis(1200),
        }
    }
}

/// Nodes and the directory that lists them.
pub struct FakeCluster {
    nodes: Vec<FakeNode>,
    directory: FakeDirectory,
    late: Duration,
}

impl FakeCluster {
    /// Starts all nodes, warm, with the cold figures that the hosts are told, and a directory that lists them at once and later changes `late`.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn start(
        spec: &FakeClusterSpec,
        told: &pearfork::Settings,
        directory: SocketAddr,
        late: Duration,
        recorder: &Recorder,
    ) -> io::Result<FakeCluster> {
        let directory = FakeDirectory::start(directory, recorder.clone())?;
        let racks: Vec<Arc<Rack>> =
            (0..spec.racks.max(1)).map(|_| Arc::new(Rack::new(spec.repeat_window))).collect();
        let m = told;
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
                unit_work: spec.unit_work,
                deferred_fraction: spec.deferred_fraction,
                cold_from: m.cold_from,
                warm_after: Duration::from_secs_f64(m.warm_after_ms / 1_000.0),
                fall_multiple: m.fall_multiple,
                fall: Duration::from_secs_f64(m.fall_ms / 1_000.0),
                cold_units: m.cold_units,
                ..FakeNodeSpec::default()
            };
            let rack = racks[usize::from(zone)].clone();
            nodes.push(FakeNode::start(spec, stores[usize::from(shard)].clone(), rack, recorder.clone())?);
        }
        let fleet = FakeCluster { nodes, directory, late };
        for n in &fleet.nodes {
            fleet.list(n, "ready", Duration::ZERO);
        }
        Ok(fleet)
    }

    fn list(&self, node: &FakeNode, state: &'static str, late: Duration) {
        let s = node.spec();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let (address, started_ms) = node.address().unwrap_or((nowhere, 0.0));
        self.directory.set((s.id, s.shard, s.zone), state, started_ms, address, late);
    }

    /// A node by its id, from 1.
    pub fn node(&self, id: u32) -> &FakeNode {
        &self.nodes[(id as usize).saturating_sub(1).min(self.nodes.len() - 1)]
    }

    /// All nodes.
    pub fn nodes(&self) -> &[FakeNode] {
        &self.nodes
    }

    /// The directory.
    pub fn directory(&self) -> &FakeDirectory {
        &self.directory
    }

    /// The node's process dies; the directory learns of it.
    pub fn kill_node(&self, id: u32) {
        let node = self.node(id);
        self.list(node, "gone", self.late);
        node.kill();
    }

    /// The node begins to drain: it asks its peers to leave, and the directory lists it so.
    pub fn drain_node(&self, id: u32) {
        let node = self.node(id);
        node.set_fault(NodeFault::RequestLogout);
        self.list(node, "draining", self.late);
    }

    /// The node starts again, cold, and is listed.
    ///
    /// # Errors
    /// No address or thread could be had.
    pub fn restart_node(&self, id: u32) -> io::Result<()> {
        let node = self.node(id);
        node.restart()?;
        self.list(node, "ready", self.late);
        Ok(())
    }
}
