//! The file that the platform starts a host with: JSON, its names the platform's.

use crate::node_list::{parse_value, ListFault, Listing};
use serde_json::Value;
use std::net::SocketAddr;

/// What a host may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// File descriptors, sockets included.
    pub sockets: usize,
}

/// What the settings say of connections to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Links {
    /// Requests that one connection carries at once.
    pub streams: usize,
    /// A node closes what has stood idle so long.
    pub idle_ms: f64,
    /// Time for a connection to come up.
    pub connect_ms: f64,
}

/// Names of classes and plans by position, and what they allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSchema {
    /// Classes.
    pub classes: Vec<ClassWord>,
    /// Plans.
    pub plans: Vec<String>,
    /// Shards, counted from 0; 0 where not told.
    pub shards: u16,
    /// Most units of a request.
    pub max_units: f64,
}

/// A class as requests name it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassWord {
    /// Its name.
    pub name: String,
    /// Whether its requests carry a key.
    pub keyed: bool,
    /// Whether it writes; `None` where not told.
    pub writes: Option<bool>,
}

/// Everything a host is started with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The host's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// What the host may use.
    pub limits: Limits,
    /// The list of nodes as this host last had it.
    pub known: Listing,
    /// What the module is told.
    pub module: pearfork::Settings,
    /// Connections to nodes.
    pub links: Links,
    /// Names in requests.
    pub words: RequestSchema,
}

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// It is no JSON; the text names line and column.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field makes no sense.
    #[error("{field} makes no sense: {found}")]
    Value {
        /// Which.
        field: &'static str,
        /// What stands there.
        found: String,
    },
    /// The settings object.
    #[error("settings: {0}")]
    Settings(String),
    /// The list of nodes.
    #[error("known: {0}")]
    Known(#[from] ListFault),
}

fn at<'a>(v: &'a Value, path: &'static str) -> Result<&'a Value, ConfigFault> {
    path.split('.').try_fold(v, |v, key| v.get(key)).ok_or(ConfigFault::Missing(path))
}

fn bad(field: &'static str, found: &Value) -> ConfigFault {
    ConfigFault::Value { field, found: found.to_string() }
}

fn address(v: &Value, path: &'static str) -> Result<SocketAddr, ConfigFault> {
    let found = at(v, path)?;
    found.as_str().and_then(|s| s.parse().ok()).ok_or_else(|| bad(path, found))
}

fn figure(v: &Value, path: &'static str) -> Result<f64, ConfigFault> {
    let found = at(v, path)?;
    found.as_f64().filter(|n| n.is_finite() && *n > 0.0).ok_or_else(|| bad(path, found))
}

/// The name that an entry of a list of the settings goes by.
fn named(v: &Value, field: &'static str) -> Result<String, ConfigFault> {
    v.get("Name").and_then(Value::as_str).map(str::to_owned).ok_or_else(|| bad(field, v))
}

fn words(settings: &Value, module: &pearfork::Settings) -> Result<RequestSchema, ConfigFault> {
    let list = |path| settings.get(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let writes = settings.pointer("/Domain/ClassWrites").and_then(Value::as_array);
    let mut classes = Vec::new();
    for (i, v) in list("Classes").iter().enumerate() {
        classes.push(ClassWord {
            name: named(v, "settings.Classes.Name")?,
            keyed: module.classes.get(i).is_some_and(|c| c.effect == pearfork::Effect::Keyed),
            writes: writes.and_then(|w| w.get(i)).and_then(Value::as_bool),
        });
    }
    let plans =
        list("Plans").iter().map(|v| named(v, "settings.Plans.Name")).collect::<Result<Vec<_>, _>>()?;
    let shards = settings.pointer("/Domain/SlotsTotal").and_then(Value::as_u64).unwrap_or(0);
    Ok(RequestSchema {
        classes,
        plans,
        shards: u16::try_from(shards).unwrap_or(u16::MAX),
        max_units: module.max_units,
    })
}

impl Config {
    /// Reads the file. Names that this version does not know are the platform's own and are passed over.
    ///
    /// # Errors
    /// The field at fault.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigFault> {
        let v: Value = serde_json::from_slice(text)?;
        let text_of = |path: &'static str| {
            let found = at(&v, path)?;
            found.as_str().ok_or_else(|| bad(path, found))
        };
        let seed = text_of("seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| bad("seed", &v["seed"]))?;
        let settings = at(&v, "settings")?;
        let (module, _) = pearfork_site::read_value(settings).map_err(ConfigFault::Settings)?;
        module.check().map_err(|e| ConfigFault::Settings(e.to_string()))?;
        let words = words(settings, &module)?;
        let known = match v.get("known") {
            Some(known) if !known.is_null() => parse_value(known)?,
            _ => Listing::default(),
        };
        Ok(Config {
            name: text_of("name")?.to_owned(),
            listen: address(&v, "listen")?,
            discovery: address(&v, "discovery")?,
            seed,
            limits: Limits { sockets: figure(&v, "limits.sockets")? as usize },
            known,
            links: Links {
                streams: (figure(settings, "Limits.StreamsPerConn")? as usize).max(1),
                idle_ms: figure(settings, "Limits.ConnIdleMs")?,
                connect_ms: figure(settings, "Limits.ConnectTimeoutMs")?,
            },
            module,
            words,
        })
    }
}
