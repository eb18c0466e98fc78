//! The node list of discovery, and the numbers by which the scheduler identifies nodes.

use pearfork::{ListKind, NodeEntry, NodeState};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// An entry of the node list.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeRecord {
    /// Name of the node, the same on all hosts.
    pub name: String,
    /// Address at which this host reaches the node; `None` only for a node that is gone.
    pub address: Option<SocketAddr>,
    /// Site of the node, which the scheduler treats as its zone.
    pub site: String,
    /// The shard that the node holds.
    pub shard: u16,
    /// State of the node.
    pub state: NodeState,
    /// Time of the last start in milliseconds of the Unix epoch; 0 means long ago.
    pub started_ms: f64,
}

/// A response of discovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeList {
    /// Version of the list after this response has been applied.
    pub version: u64,
    /// Whether `nodes` is the full list; otherwise it holds only the changed entries.
    pub is_full: bool,
    /// The entries.
    pub nodes: Vec<NodeRecord>,
}

/// Error in a node list.
#[derive(Debug, thiserror::Error)]
pub enum NodeListError {
    /// Not valid JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of an entry is missing or invalid.
    #[error("hosts[{index}].{field} is invalid: {found}")]
    Node {
        /// Index of the entry, from 0.
        index: usize,
        /// Name of the field.
        field: &'static str,
        /// Value found.
        found: String,
    },
    /// A top-level field is missing or invalid.
    #[error("{0} is missing or invalid")]
    Field(&'static str),
}

/// Parses a response of discovery.
///
/// # Errors
/// Names the invalid entry and field. Nothing of such a list may be used.
pub fn parse(body: &[u8]) -> Result<NodeList, NodeListError> {
    parse_value(&serde_json::from_slice(body)?)
}

/// Same as [`parse`] for JSON that is already parsed.
///
/// # Errors
/// Same as [`parse`].
pub fn parse_value(v: &Value) -> Result<NodeList, NodeListError> {
    let version = v.get("seq").and_then(Value::as_u64).ok_or(NodeListError::Field("seq"))?;
    let is_full = v.get("whole").and_then(Value::as_bool).ok_or(NodeListError::Field("whole"))?;
    let hosts = v.get("hosts").and_then(Value::as_array).ok_or(NodeListError::Field("hosts"))?;
    let nodes = hosts.iter().enumerate().map(|(i, h)| parse_node(i, h)).collect::<Result<Vec<_>, _>>()?;
    Ok(NodeList { version, is_full, nodes })
}

fn parse_node(index: usize, v: &Value) -> Result<NodeRecord, NodeListError> {
    let get = |field: &'static str| v.get(field).unwrap_or(&Value::Null);
    let invalid = |field: &'static str| NodeListError::Node { index, field, found: get(field).to_string() };
    let state = match get("health").as_str() {
        Some("SERVING") => NodeState::Ready,
        Some("DRAINING") => NodeState::Draining,
        Some("DELETED") => NodeState::Gone,
        _ => return Err(invalid("health")),
    };
    let gone = state == NodeState::Gone;
    let address = get("dial").as_str().and_then(|s| s.parse().ok());
    if address.is_none() && !gone {
        return Err(invalid("dial"));
    }
    let shard = get("block").as_u64().and_then(|b| u16::try_from(b).ok());
    let started_ms = get("born_ms").as_f64().filter(|b| b.is_finite() && *b >= 0.0);
    Ok(NodeRecord {
        name: get("host").as_str().filter(|n| !n.is_empty()).ok_or_else(|| invalid("host"))?.to_owned(),
        address,
        site: get("site").as_str().unwrap_or("").to_owned(),
        shard: shard.or(gone.then_some(0)).ok_or_else(|| invalid("block"))?,
        state,
        started_ms: started_ms.or(gone.then_some(0.0)).ok_or_else(|| invalid("born_ms"))?,
    })
}

/// Minimum number of removed nodes whose numbers are kept in case they return. The bound grows with the
/// largest number of nodes that was ever listed at once.
const MIN_REMOVED_KEPT: usize = 1_024;

/// Consequences of a node list for the connections to nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConnectionChanges {
    /// Nodes that are gone or have restarted: existing connections to them are useless.
    pub stale: Vec<u32>,
    /// Nodes that are draining: they accept no new attempts.
    pub draining: Vec<u32>,
}

/// Maps names of nodes and sites to numbers.
#[derive(Debug, Default)]
pub struct NodeTable {
    nodes_by_name: HashMap<String, KnownNode>,
    /// Address of each node by number. It is looked up for every connection; a search by name would cost more
    /// than the connection itself.
    addresses: HashMap<u32, SocketAddr>,
    max_listed: usize,
    last_number: u32,
    site_zones: HashMap<String, u16>,
    /// Removed names, keyed by the order of their removal.
    removed: BTreeMap<u64, String>,
    next_removal: u64,
}

#[derive(Debug)]
struct KnownNode {
    number: u32,
    started_ms: f64,
    is_listed: bool,
    /// Key of this node in [`NodeTable::removed`].
    removal: Option<u64>,
}

impl NodeTable {
    /// Applies a node list. Returns the entries for the scheduler and the consequences for connections.
    ///
    /// New node names appear without end, so removed names are dropped beyond a bound, oldest first. A number
    /// is never reused.
    pub fn apply(&mut self, list: &NodeList) -> (Vec<NodeEntry>, ConnectionChanges) {
        let (mut entries, mut changes) = (Vec::new(), ConnectionChanges::default());
        for node in &list.nodes {
            let next_zone = self.site_zones.len();
            let zone = match self.site_zones.get(&node.site) {
                Some(zone) => *zone,
                None => *self
                    .site_zones
                    .entry(node.site.clone())
                    .or_insert(u16::try_from(next_zone).unwrap_or(u16::MAX)),
            };
            let known = self.nodes_by_name.entry(node.name.clone()).or_insert_with(|| {
                self.last_number = self.last_number.wrapping_add(1);
                KnownNode {
                    number: self.last_number,
                    started_ms: node.started_ms,
                    is_listed: false,
                    removal: None,
                }
            });
            let number = known.number;
            if let Some(address) = node.address {
                let before = self.addresses.insert(number, address);
                let moved = before.is_some_and(|d| d != address)
                    || pearfork::is_restart(node.started_ms, known.started_ms);
                if moved {
                    changes.stale.push(number);
                }
                known.started_ms = node.started_ms;
            }
            if node.state == NodeState::Draining {
                changes.draining.push(number);
            }
            if node.state == NodeState::Gone {
                self.remove_node(&node.name, &mut changes);
            } else if !known.is_listed {
                known.is_listed = true;
                known.removal.take().map(|removal| self.removed.remove(&removal));
            }
            entries.push(NodeEntry {
                node: number,
                shard: node.shard,
                zone,
                state: node.state,
                started_ms: node.started_ms,
            });
        }
        // Runs after the loop over the entries, so that a name that is listed again is not dropped to make
        // room for names that this same list removes.
        if list.is_full {
            let listed: HashSet<&str> = list.nodes.iter().map(|l| l.name.as_str()).collect();
            let mut missing: Vec<String> = self
                .nodes_by_name
                .iter()
                .filter(|(n, k)| k.is_listed && !listed.contains(n.as_str()))
                .map(|(n, _)| n.clone())
                .collect();
            missing.sort_unstable();
            for name in missing {
                self.remove_node(&name, &mut changes);
            }
        }
        self.max_listed = self.max_listed.max(self.nodes_by_name.len().saturating_sub(self.removed.len()));
        (entries, changes)
    }

    /// Kind of the list as the scheduler sees it.
    pub fn list_kind(list: &NodeList) -> ListKind {
        if list.is_full {
            ListKind::Full
        } else {
            ListKind::Changes
        }
    }

    /// Last known address of a node.
    pub fn address(&self, node: u32) -> Option<SocketAddr> {
        self.addresses.get(&node).copied()
    }

    /// Number of names held, including removed ones.
    pub fn name_count(&self) -> usize {
        self.nodes_by_name.len()
    }

    fn remove_node(&mut self, name: &str, changes: &mut ConnectionChanges) {
        let Some(known) = self.nodes_by_name.get_mut(name) else { return };
        changes.stale.push(known.number);
        known.is_listed = false;
        if known.removal.is_none() {
            known.removal = Some(self.next_removal);
            self.removed.insert(self.next_removal, name.to_owned());
            self.next_removal += 1;
        }
        while self.removed.len() > MIN_REMOVED_KEPT.max(self.max_listed) {
            let oldest = self.removed.pop_first().and_then(|(_, name)| self.nodes_by_name.remove(&name));
            if let Some(known) = oldest {
                self.addresses.remove(&known.number);
            }
        }
    }
}
