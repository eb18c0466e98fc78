//! The JSON configuration file that the platform starts a host with. The field names are the platform's.

use crate::node_list::{parse_value, NodeList, NodeListError};
use serde_json::Value;
use std::net::SocketAddr;

/// Bytes in a megabyte of the limits.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Resources that a host may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Number of file descriptors, including sockets.
    pub descriptors: usize,
    /// Resident memory in bytes, beyond which the platform kills the host.
    pub memory_bytes: usize,
}

/// Settings of the connections to nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkSettings {
    /// Time after which a node closes an idle connection, in milliseconds.
    pub idle_timeout_ms: f64,
    /// Time limit for connecting, in milliseconds.
    pub connect_timeout_ms: f64,
}

/// Names and bounds that client requests are validated against. Classes and plans are indexed by position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestSchema {
    /// The request classes.
    pub classes: Vec<ClassSchema>,
    /// Names of the service plans.
    pub plans: Vec<String>,
    /// Number of shards, which are numbered from 0; 0 if not configured.
    pub shard_count: u16,
    /// Maximum cost of a request in units.
    pub max_units: f64,
}

/// A request class as requests refer to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSchema {
    /// Name of the class.
    pub name: String,
    /// Whether requests of this class must carry an idempotency key.
    pub requires_key: bool,
    /// Whether the class is for writes; `None` if not configured.
    pub is_write: Option<bool>,
}

/// The complete configuration of a host.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the host, unchanged across restarts.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random number generator, new at each start.
    pub seed: u64,
    /// Resources that the host may use.
    pub limits: Limits,
    /// The last node list that this host received before it was restarted.
    pub cached_nodes: NodeList,
    /// Settings of the scheduler.
    pub scheduler: pearfork::Settings,
    /// Settings of the connections to nodes.
    pub links: LinkSettings,
    /// Names and bounds that requests are validated against.
    pub schema: RequestSchema,
}

/// Error in a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Not valid JSON; the text gives line and column.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A required field is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A field has an invalid value.
    #[error("{field} is invalid: {found}")]
    InvalidValue {
        /// Path of the field.
        field: &'static str,
        /// Value found in the file.
        found: String,
    },
    /// The settings object is invalid.
    #[error("settings: {0}")]
    Settings(String),
    /// The stored node list is invalid.
    #[error("known: {0}")]
    NodeList(#[from] NodeListError),
}

fn field<'a>(v: &'a Value, path: &'static str) -> Result<&'a Value, ConfigError> {
    path.split('.').try_fold(v, |v, key| v.get(key)).ok_or(ConfigError::Missing(path))
}

fn invalid(field: &'static str, found: &Value) -> ConfigError {
    ConfigError::InvalidValue { field, found: found.to_string() }
}

fn address(v: &Value, path: &'static str) -> Result<SocketAddr, ConfigError> {
    let found = field(v, path)?;
    found.as_str().and_then(|s| s.parse().ok()).ok_or_else(|| invalid(path, found))
}

fn positive_number(v: &Value, path: &'static str) -> Result<f64, ConfigError> {
    let found = field(v, path)?;
    found.as_f64().filter(|n| n.is_finite() && *n > 0.0).ok_or_else(|| invalid(path, found))
}

/// Returns the name of an entry in a list of the settings.
fn entry_name(v: &Value, field: &'static str) -> Result<String, ConfigError> {
    v.get("Name").and_then(Value::as_str).map(str::to_owned).ok_or_else(|| invalid(field, v))
}

fn request_schema(settings: &Value, scheduler: &pearfork::Settings) -> Result<RequestSchema, ConfigError> {
    let list = |path| settings.get(path).and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let is_write = settings.pointer("/Domain/ClassWrites").and_then(Value::as_array);
    let mut classes = Vec::new();
    for (i, v) in list("Classes").iter().enumerate() {
        classes.push(ClassSchema {
            name: entry_name(v, "settings.Classes.Name")?,
            requires_key: scheduler.classes.get(i).is_some_and(|c| c.effect == pearfork::Effect::Keyed),
            is_write: is_write.and_then(|w| w.get(i)).and_then(Value::as_bool),
        });
    }
    let plans =
        list("Plans").iter().map(|v| entry_name(v, "settings.Plans.Name")).collect::<Result<Vec<_>, _>>()?;
    let shard_count = settings.pointer("/Domain/SlotsTotal").and_then(Value::as_u64).unwrap_or(0);
    Ok(RequestSchema {
        classes,
        plans,
        shard_count: u16::try_from(shard_count).unwrap_or(u16::MAX),
        max_units: scheduler.max_units,
    })
}

impl Config {
    /// Parses a configuration file. Unknown fields belong to the platform and are ignored.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let v: Value = serde_json::from_slice(text)?;
        let text_of = |path: &'static str| {
            let found = field(&v, path)?;
            found.as_str().ok_or_else(|| invalid(path, found))
        };
        let seed = text_of("seed")?;
        let seed = u64::from_str_radix(seed, 16).map_err(|_| invalid("seed", &v["seed"]))?;
        let settings = field(&v, "settings")?;
        let (scheduler, _) = pearfork_site::parse_value(settings).map_err(ConfigError::Settings)?;
        scheduler.check().map_err(|e| ConfigError::Settings(e.to_string()))?;
        let schema = request_schema(settings, &scheduler)?;
        let cached_nodes = match v.get("known") {
            Some(known) if !known.is_null() => parse_value(known)?,
            _ => NodeList::default(),
        };
        Ok(Config {
            name: text_of("name")?.to_owned(),
            listen: address(&v, "listen")?,
            discovery: address(&v, "discovery")?,
            seed,
            limits: Limits {
                descriptors: positive_number(&v, "limits.sockets")? as usize,
                memory_bytes: (positive_number(&v, "limits.memory_mb")? * BYTES_PER_MB) as usize,
            },
            cached_nodes,
            links: LinkSettings {
                idle_timeout_ms: positive_number(settings, "Limits.ConnIdleMs")?,
                connect_timeout_ms: positive_number(settings, "Limits.ConnectTimeoutMs")?,
            },
            scheduler,
            schema,
        })
    }
}
