//! Discovery's list, and the numbers under which the module knows its nodes.

use pearfork::{ListKind, NodeEntry, NodeState};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

/// A line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Name of the node, equal at every host.
    pub name: String,
    /// Where this host reaches it; `None` where the line says that it is gone.
    pub dial: Option<SocketAddr>,
    /// Its site.
    pub site: String,
    /// The shard that it holds.
    pub block: u16,
    /// Its state.
    pub condition: NodeState,
    /// Its last start, milliseconds of the Unix epoch; 0: long ago.
    pub born_ms: f64,
}

/// An answer of discovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Version that this brings a host to.
    pub seq: u64,
    /// The whole list; otherwise the changed lines alone.
    pub whole: bool,
    /// The lines.
    pub lines: Vec<Line>,
}

/// What is wrong with a list.
#[derive(Debug, thiserror::Error)]
pub enum ListFault {
    /// It is no JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing or makes no sense.
    #[error("hosts[{line}].{field} makes no sense: {found}")]
    Line {
        /// Which line, from 0.
        line: usize,
        /// Which field.
        field: &'static str,
        /// What stands there.
        found: String,
    },
    /// A field of the whole is missing or makes no sense.
    #[error("{0} is missing or makes no sense")]
    Field(&'static str),
}

/// Reads an answer of discovery.
///
/// # Errors
/// The line and field at fault; nothing of the list is used then.
pub fn parse(body: &[u8]) -> Result<Listing, ListFault> {
    parse_value(&serde_json::from_slice(body)?)
}

/// The same of what was parsed already.
///
/// # Errors
/// As [`parse`].
pub fn parse_value(v: &Value) -> Result<Listing, ListFault> {
    let seq = v.get("seq").and_then(Value::as_u64).ok_or(ListFault::Field("seq"))?;
    let whole = v.get("whole").and_then(Value::as_bool).ok_or(ListFault::Field("whole"))?;
    let hosts = v.get("hosts").and_then(Value::as_array).ok_or(ListFault::Field("hosts"))?;
    let lines = hosts.iter().enumerate().map(|(i, h)| line(i, h)).collect::<Result<Vec<_>, _>>()?;
    Ok(Listing { seq, whole, lines })
}

fn line(number: usize, v: &Value) -> Result<Line, ListFault> {
    let get = |field: &'static str| v.get(field).unwrap_or(&Value::Null);
    let bad = |field: &'static str| ListFault::Line { line: number, field, found: get(field).to_string() };
    let condition = match get("health").as_str() {
        Some("SERVING") => NodeState::Ready,
        Some("DRAINING") => NodeState::Draining,
        Some("DELETED") => NodeState::Gone,
        _ => return Err(bad("health")),
    };
    let gone = condition == NodeState::Gone;
    let dial = get("dial").as_str().and_then(|s| s.parse().ok());
    if dial.is_none() && !gone {
        return Err(bad("dial"));
    }
    let block = get("block").as_u64().and_then(|b| u16::try_from(b).ok());
    let born_ms = get("born_ms").as_f64().filter(|b| b.is_finite() && *b >= 0.0);
    Ok(Line {
        name: get("host").as_str().filter(|n| !n.is_empty()).ok_or_else(|| bad("host"))?.to_owned(),
        dial,
        site: get("site").as_str().unwrap_or("").to_owned(),
        block: block.or(gone.then_some(0)).ok_or_else(|| bad("block"))?,
        condition,
        born_ms: born_ms.or(gone.then_some(0.0)).ok_or_else(|| bad("born_ms"))?,
    })
}

/// Names of nodes that are gone and whose numbers are kept for their return: as many as were ever listed at once, and
/// this at the least.
const GONE_KEPT: usize = 1_024;

/// What a list means for connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changed {
    /// Nodes that are gone, or started anew: connections to what they were lead nowhere.
    pub left: Vec<u32>,
    /// Nodes that drain: they take nothing new.
    pub draining: Vec<u32>,
}

/// The numbers of nodes and sites.
#[derive(Debug, Default)]
pub struct NodeTable {
    numbers: HashMap<String, Known>,
    /// Where each number is reached. Asked for each connection: a look through all names would cost more than the connection.
    dials: HashMap<u32, SocketAddr>,
    most: usize,
    next: u32,
    sites: HashMap<String, u16>,
    /// Names that are gone, by the order in which they went.
    gone: BTreeMap<u64, String>,
    next_gone: u64,
}

#[derive(Debug)]
struct Known {
    number: u32,
    born_ms: f64,
    listed: bool,
    /// Its place among the names that are gone.
    gone: Option<u64>,
}

impl NodeTable {
    /// Takes a list; what the module is told of it, and what it means for connections.
    ///
    /// Danger: nodes come under new names for ever. Names that are gone are forgotten beyond a bound, oldest first; a
    /// number is never given twice.
    pub fn take(&mut self, list: &Listing) -> (Vec<NodeEntry>, Changed) {
        let (mut entries, mut changed) = (Vec::new(), Changed::default());
        for line in &list.lines {
            let sites = self.sites.len();
            let zone = match self.sites.get(&line.site) {
                Some(zone) => *zone,
                None => {
                    *self.sites.entry(line.site.clone()).or_insert(u16::try_from(sites).unwrap_or(u16::MAX))
                }
            };
            let known = self.numbers.entry(line.name.clone()).or_insert_with(|| {
                self.next = self.next.wrapping_add(1);
                Known { number: self.next, born_ms: line.born_ms, listed: false, gone: None }
            });
            let number = known.number;
            if let Some(dial) = line.dial {
                let before = self.dials.insert(number, dial);
                let moved =
                    before.is_some_and(|d| d != dial) || pearfork::is_restart(line.born_ms, known.born_ms);
                if moved {
                    changed.left.push(number);
                }
                known.born_ms = line.born_ms;
            }
            if line.condition == NodeState::Draining {
                changed.draining.push(number);
            }
            if line.condition == NodeState::Gone {
                self.retire(&line.name, &mut changed);
            } else if !known.listed {
                known.listed = true;
                known.gone.take().map(|place| self.gone.remove(&place));
            }
            entries.push(NodeEntry {
                node: number,
                shard: line.block,
                zone,
                state: line.condition,
                started_ms: line.born_ms,
            });
        }
        // After the lines: a name that is listed again is not to make room for those that went with the same list.
        if list.whole {
            let listed: HashSet<&str> = list.lines.iter().map(|l| l.name.as_str()).collect();
            let mut missing: Vec<String> = self
                .numbers
                .iter()
                .filter(|(n, k)| k.listed && !listed.contains(n.as_str()))
                .map(|(n, _)| n.clone())
                .collect();
            missing.sort_unstable();
            for name in missing {
                self.retire(&name, &mut changed);
            }
        }
        self.most = self.most.max(self.numbers.len().saturating_sub(self.gone.len()));
        (entries, changed)
    }

    /// Kind of event that a list makes.
    pub fn kind(list: &Listing) -> ListKind {
        if list.whole {
            ListKind::Full
        } else {
            ListKind::Changes
        }
    }

    /// Where a node is reached, as last heard.
    pub fn dial(&self, node: u32) -> Option<SocketAddr> {
        self.dials.get(&node).copied()
    }

    /// Names that it holds.
    pub fn held(&self) -> usize {
        self.numbers.len()
    }

    fn retire(&mut self, name: &str, changed: &mut Changed) {
        let Some(known) = self.numbers.get_mut(name) else { return };
        changed.left.push(known.number);
        known.listed = false;
        if known.gone.is_none() {
            known.gone = Some(self.next_gone);
            self.gone.insert(self.next_gone, name.to_owned());
            self.next_gone += 1;
        }
        while self.gone.len() > GONE_KEPT.max(self.most) {
            let oldest = self.gone.pop_first().and_then(|(_, name)| self.numbers.remove(&name));
            if let Some(known) = oldest {
                self.dials.remove(&known.number);
            }
        }
    }
}
