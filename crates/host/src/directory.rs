//! The node list, read over HTTP from the directory: the whole list, or a long poll for changes since a
//! revision.
//!
//! `GET /nodes?host=H` returns the whole list, `GET /nodes?host=H&after=R&wait_ms=W` the changes since revision R,
//! waiting up to W milliseconds for one. If the directory no longer has these changes, it returns the whole
//! list (`"full": true`).

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
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has and accepts no more.
    Draining,
    /// Removed from service.
    Gone,
}

/// An entry of the node list.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListedNode {
    /// The node's number.
    pub node: u32,
    /// The shard that it holds.
    pub shard: u16,
    /// Its zone.
    pub zone: u16,
    /// Its state.
    pub state: ListedState,
    /// When it last started, in milliseconds of the Unix epoch; 0 for long ago.
    pub started_ms: f64,
    /// The address that it listens at.
    pub address: SocketAddr,
}

/// A response of the directory.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct NodeList {
    /// The revision of the list once this response is applied.
    pub revision: u64,
    /// Whether `nodes` is the whole list; otherwise it holds the changed entries only.
    pub full: bool,
    /// The entries.
    pub nodes: Vec<ListedNode>,
}

/// Parses a response of the directory.
///
/// # Errors
/// Describes the first error in the response.
pub fn parse_node_list(body: &[u8]) -> Result<NodeList, String> {
    let list: NodeList = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    match list.nodes.iter().find(|n| !n.started_ms.is_finite() || n.started_ms < 0.0) {
        Some(n) => Err(format!(
            "node {}: started_ms = {} must be a finite number, not below 0",
            n.node, n.started_ms
        )),
        None => Ok(list),
    }
}

/// Serializes a response of the directory.
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

/// A command to the [`Watcher`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchCommand {
    /// Start or stop watching for changes.
    Watch(bool),
    /// Read the whole list once.
    FetchNodeList,
    Stop,
}

/// Reads the node list from the directory and passes it to the engine and the links.
pub(crate) struct Watcher {
    pub(crate) host: u16,
    pub(crate) directory: SocketAddr,
    pub(crate) wait: Duration,
    pub(crate) links: Arc<Links>,
    pub(crate) engine: Sender<Message>,
}

/// How much longer a call may take than the time that the directory may wait for a change.
const CALL_MARGIN: Duration = Duration::from_secs(2);

impl Watcher {
    /// Watches from the start. A failure ends the watch until the scheduler asks for the list again.
    pub(crate) fn run(self, commands: &Receiver<WatchCommand>) {
        let (mut revision, mut watching) = (0, true);
        loop {
            let command = if watching {
                commands.try_recv().ok()
            } else {
                commands.recv().ok().or(Some(WatchCommand::Stop))
            };
            match command {
                Some(WatchCommand::Stop) => return,
                Some(WatchCommand::Watch(on)) => watching = on,
                Some(WatchCommand::FetchNodeList) => revision = 0,
                None => {}
            }
            if !watching && command != Some(WatchCommand::FetchNodeList) {
                continue;
            }
            match self.fetch(revision) {
                Ok(list) => {
                    revision = list.revision;
                    if !list.full && list.nodes.is_empty() {
                        continue;
                    }
                    self.links.set_addresses(list.nodes.iter().map(|n| (n.node, n.address)));
                    let kind = if list.full { ListKind::Full } else { ListKind::Changes };
                    self.report(kind, list.nodes.iter().map(NodeEntry::from).collect());
                }
                Err(why) => {
                    tracing::warn!(why, "reading the node list from the directory failed");
                    watching = false;
                    self.report(ListKind::Failed, Vec::new());
                }
            }
        }
    }

    fn fetch(&self, revision: u64) -> Result<NodeList, String> {
        let mut path = format!("/nodes?host={}", self.host);
        if revision > 0 {
            path += &format!("&after={revision}&wait_ms={}", self.wait.as_millis());
        }
        let (status, body) =
            http::get(self.directory, &path, self.wait + CALL_MARGIN).map_err(|e| e.to_string())?;
        if status != 200 {
            return Err(format!("{}: HTTP status {status}, expected 200", self.directory));
        }
        parse_node_list(&body).map_err(|e| format!("{}: {e}", self.directory))
    }

    fn report(&self, kind: ListKind, entries: Vec<NodeEntry>) {
        let _ = self.engine.send(Message::Input(crate::dispatcher::Input::NodeList(kind, entries)));
    }
}
