//! The node list, had over HTTP from a directory: the whole list, or a call that waits for changes by revision.
//!
//! `GET /nodes?host=H` gives the whole list, `GET /nodes?host=H&after=R&wait_ms=W` the changes since revision R,
//! waiting up to W for one; the whole list again (`"full": true`) where the directory no longer has them.

use crate::engine::Message;
use crate::links::Links;
use crossbeam_channel::{Receiver, Sender};
use pearfork::{ListKind, NodeEntry, NodeState};
use pearfork_net::http;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// State of a node in the list.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// A line of the list.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedNode {
    /// The node.
    pub node: u32,
    /// The shard that it holds.
    pub shard: u16,
    /// Its zone.
    pub zone: u16,
    /// Its state.
    pub state: ListedState,
    /// Its last start, milliseconds of the Unix epoch; 0: long ago.
    pub started_ms: f64,
    /// Where it listens.
    pub address: SocketAddr,
}

/// An answer of the directory.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeList {
    /// Revision that this brings a host to.
    pub revision: u64,
    /// The whole list; otherwise the changed lines alone.
    pub full: bool,
    /// The lines.
    pub nodes: Vec<ListedNode>,
}

/// Reads an answer of the directory.
///
/// # Errors
/// What is wrong with it, in words.
pub fn parse_node_list(body: &[u8]) -> Result<NodeList, String> {
    let list: NodeList = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    match list.nodes.iter().find(|n| !n.started_ms.is_finite() || n.started_ms < 0.0) {
        Some(n) => Err(format!("node {}: started_ms = {} makes no sense", n.node, n.started_ms)),
        None => Ok(list),
    }
}

/// Writes an answer of the directory.
pub fn render_node_list(list: &NodeList) -> String {
    serde_json::to_string(list).unwrap_or_default()
}

impl From<&ListedNode> for NodeEntry {
    fn from(n: &ListedNode) -> Self {
        let state = match n.state {
            ListedState::Ready => NodeState::Ready,
            ListedState::Draining => NodeState::Draining,
            ListedState::Gone => NodeState::Gone,
        };
        NodeEntry { node: n.node, shard: n.shard, zone: n.zone, state, started_ms: n.started_ms }
    }
}

/// What the module asks of the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ask {
    Watch(bool),
    ReadList,
    Stop,
}

pub(crate) struct Watcher {
    pub(crate) host: u16,
    pub(crate) directory: SocketAddr,
    pub(crate) wait: Duration,
    pub(crate) links: Arc<Links>,
    pub(crate) engine: Sender<Message>,
}

/// How much longer than its wait a call may take.
const CALL_MARGIN: Duration = Duration::from_secs(2);

impl Watcher {
    /// Watches from the start; after a failure it asks again when the module says so.
    pub(crate) fn run(self, asks: &Receiver<Ask>) {
        let (mut revision, mut watching) = (0, true);
        loop {
            let ask = if watching { asks.try_recv().ok() } else { asks.recv().ok().or(Some(Ask::Stop)) };
            match ask {
                Some(Ask::Stop) => return,
                Some(Ask::Watch(on)) => watching = on,
                Some(Ask::ReadList) => revision = 0,
                None => {}
            }
            if !watching && ask != Some(Ask::ReadList) {
                continue;
            }
            match self.call(revision) {
                Ok(list) => {
                    revision = list.revision;
                    if !list.full && list.nodes.is_empty() {
                        continue;
                    }
                    self.links.set_addresses(list.nodes.iter().map(|n| (n.node, n.address)));
                    let kind = if list.full { ListKind::Full } else { ListKind::Changes };
                    self.tell(kind, list.nodes.iter().map(NodeEntry::from).collect());
                }
                Err(why) => {
                    tracing::warn!(why, "the node list cannot be had");
                    watching = false;
                    self.tell(ListKind::Failed, Vec::new());
                }
            }
        }
    }

    fn call(&self, revision: u64) -> Result<NodeList, String> {
        let mut path = format!("/nodes?host={}", self.host);
        if revision > 0 {
            path += &format!("&after={revision}&wait_ms={}", self.wait.as_millis());
        }
        let (status, body) =
            http::get(self.directory, &path, self.wait + CALL_MARGIN).map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("{}: status {status}", self.directory));
        }
        parse_node_list(&body).map_err(|e| format!("{}: {e}", self.directory))
    }

    fn tell(&self, kind: ListKind, entries: Vec<NodeEntry>) {
        let _ = self.engine.send(Message::Input(crate::dispatcher::Input::List(kind, entries)));
    }
}
