//! The operator's settings file: read, checked as a whole, and turned into validated settings.
//!
//! [`HostSettings::load_with`] (with the shorter forms [`HostSettings::load`] and [`HostSettings::from_toml`]) is the
//! only way from text to a [`HostSettings`], so that the host and the tools that check settings files accept the
//! same files.

mod fleet;
mod matching;
mod migrate;
mod provenance;
mod routes;
mod tables;

pub use self::matching::Matching;
pub use self::migrate::{migrate, MigrateError};
pub use self::provenance::{Explanation, Provenance, UnknownKey};
use self::tables::{ClassTable, EffectName, GroupName, PlanTable, SettingsFile};
use crate::units::Span;
use crate::volumes::{Volume, VolumeId};
use pearfork_fleet::FleetSettings;
use pearfork_layers::{Key, LayerError, Layers};
use pearfork_match::Fields;
use pearfork_scsi::{LogicalUnit, MediaCommand, MediaOp, MAX_TRANSFER_BLOCKS};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

pub use self::tables::EmbeddedNodes;
pub use pearfork_layers::{Origin, Overrides};

/// The format of settings files that this version reads.
pub const FORMAT: u32 = 1;

/// Blocks that any volume's commands may transfer: a COMPARE AND WRITE of one block transfers two.
const MIN_TRANSFER_BLOCKS: u64 = 2;

/// Memory below which a host could not hold the commands of a few clients, in bytes.
const MIN_MEMORY: u64 = 16 << 20;

/// Alternative keys of a table: one that a later layer sets removes the other that an earlier layer set.
const EXCLUSIVE: &[[&str; 3]] = &[["match", "rules", "file"]];

/// An error in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostSettingsError {
    /// The file is not TOML, or has an unknown key or a value of the wrong type; the text names the line.
    #[error("{0}")]
    Syntax(String),
    /// Errors in the matching rules, rendered with their place in the file.
    #[error("{0}")]
    Rules(String),
    /// A file that cannot be read.
    #[error("{file}: {why}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        why: String,
    },
    /// Layers that cannot be merged.
    #[error(transparent)]
    Layer(#[from] LayerError),
    /// A value that one of the seven rules forbids.
    #[error("{place}, {entry}, {}: {violation}", violation.key)]
    Rule {
        /// The table.
        entry: String,
        /// Where the value was set: a line of the file, or the layer.
        place: String,
        /// The value that was found, and the values that are accepted.
        violation: pearfork_terms::Violation,
    },
    /// A value that is out of range, or does not agree with another one.
    #[error("{entry}: {what}")]
    Value {
        /// Table and key.
        entry: String,
        /// The error, and what would be accepted.
        what: String,
    },
}

/// All errors that were found in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettingsErrors(pub Vec<HostSettingsError>);

impl std::fmt::Display for HostSettingsErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            write!(f, "{}{error}", if i > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for HostSettingsErrors {}

/// The validated settings of a host.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The host's number, below the number of hosts.
    pub number: u16,
    /// The address for iSCSI clients.
    pub listen: SocketAddr,
    /// The address for health, metrics and status.
    pub http: Option<SocketAddr>,
    /// Seed of the scheduler's random numbers; taken from the clock if absent.
    pub seed: Option<u64>,
    /// The address of the directory, which has the node list.
    pub directory: SocketAddr,
    /// How long the directory may wait for a change of the node list before it responds.
    pub directory_wait: Span,
    /// Time-out for connecting to a node, login included.
    pub connect_timeout: Span,
    /// The iSCSI target name of the nodes.
    pub node_target: String,
    /// Whether the host offers the protocol extension to nodes and requires it from them.
    pub extension: bool,
    /// Maximum number of client connections.
    pub sessions: usize,
    /// Maximum number of open commands of one session.
    pub commands: u32,
    /// Bytes of memory that the process may take, as far as clients decide on it.
    pub memory: usize,
    /// Maximum number of bytes of one command. No volume states a longer one to its clients.
    pub max_transfer: usize,
    /// How long a shutdown waits for open commands.
    pub drain: Span,
    /// Settings of the scheduler.
    pub scheduler: pearfork::Settings,
    /// Names of the classes, then of the routes, by position.
    pub class_names: Vec<String>,
    /// Names of the service plans, by position.
    pub plan_names: Vec<String>,
    /// The volumes, by position.
    pub volumes: Vec<Volume>,
    /// Fake nodes that the gateway starts along with the host.
    pub embedded: Option<EmbeddedNodes>,
    /// The host's place in a fleet that lends budgets; if absent, each host has an even share of every limit.
    pub fleet: Option<FleetSettings>,
    /// The rules that give each request its class, plan and key.
    pub matching: Arc<Matching>,
    /// Warnings about settings that are accepted.
    pub warnings: Vec<String>,
    /// Where each value was set.
    pub provenance: Arc<Provenance>,
    /// Number of bytes in a unit of cost.
    unit_bytes: u64,
}

impl HostSettings {
    /// Parses and checks a text that refers to no other file.
    ///
    /// # Errors
    /// All errors that were found. Values are checked only once all keys and types are valid.
    pub fn from_toml(text: &str) -> Result<HostSettings, HostSettingsErrors> {
        let no_files =
            |_: &str| Err("the settings refer to a file but were given as text without a folder".to_owned());
        Self::from_source("settings", text, &no_files, &Overrides::default())
    }

    /// Reads and checks a file, and the files that it refers to, relative to its folder.
    ///
    /// # Errors
    /// As for [`HostSettings::from_toml`], and files that cannot be read.
    pub fn load(path: &Path) -> Result<HostSettings, HostSettingsErrors> {
        Self::load_with(path, &Overrides::default())
    }

    /// As [`HostSettings::load`], with environment variables and command-line flags that override values of the
    /// file. Each file is read once, so that the text that was checked is the text that is used.
    ///
    /// # Errors
    /// As for [`HostSettings::load`], and variables or flags that are not valid.
    pub fn load_with(path: &Path, over: &Overrides) -> Result<HostSettings, HostSettingsErrors> {
        let name = path.display().to_string();
        let read = |p: &Path| std::fs::read_to_string(p).map_err(|e| e.to_string());
        let unreadable =
            |why| HostSettingsErrors(vec![HostSettingsError::Unreadable { file: name.clone(), why }]);
        let text = read(path).map_err(unreadable)?;
        let read_relative = |file: &str| read(&path.parent().unwrap_or(Path::new("")).join(file));
        Self::from_source(&name, &text, &read_relative, over)
    }

    /// Every other constructor calls this one. `read` returns the text of a file that the settings refer to,
    /// by its path relative to their folder.
    fn from_source(
        name: &str,
        text: &str,
        read: &dyn Fn(&str) -> Result<String, String>,
        over: &Overrides,
    ) -> Result<HostSettings, HostSettingsErrors> {
        let layers = Layers::load(name, text, read, over, EXCLUSIVE).map_err(|errors| {
            HostSettingsErrors(errors.into_iter().map(HostSettingsError::from).collect())
        })?;
        let file = parse_tables(name, text, &layers)
            .map_err(|message| HostSettingsErrors(vec![HostSettingsError::Syntax(message)]))?;
        Checker { layers: &layers, read, errors: Vec::new(), warnings: Vec::new() }.check(file)
    }

    /// The fields of a request that the matching rules test. Live requests, `explain` and the check of a
    /// recorded run all use this function, so that they match alike.
    pub fn fields_of<'a>(
        &'a self,
        volume: &'a Volume,
        media: &MediaCommand,
        initiator: &'a str,
        now_ms: f64,
    ) -> Fields<'a> {
        let (op, direction) = match media.op {
            MediaOp::Read => ("read", "in"),
            MediaOp::Write => ("write", "out"),
            MediaOp::Verify { compare: true } => ("verify", "out"),
            MediaOp::Verify { compare: false } => ("verify", "none"),
            MediaOp::Flush => ("flush", "none"),
            MediaOp::CompareAndWrite => ("compare-and-write", "out"),
        };
        const DAY_MS: f64 = 86_400_000.0;
        Fields {
            op,
            direction,
            lba: media.lba,
            blocks: u64::from(media.blocks),
            bytes: media.transfer_length(volume.unit.block_len),
            lun: volume.lun,
            volume: &volume.name,
            plan: &self.plan_names[usize::from(volume.plan)],
            initiator,
            target: &volume.target,
            group: media.group,
            fua: media.fua,
            time_us: (now_ms.rem_euclid(DAY_MS) * 1_000.0) as u64,
        }
    }

    /// The matching rules of other settings, for use with the classes and plans of these.
    ///
    /// # Errors
    /// The classes or plans differ. The host must be restarted to change them: requests in flight and the
    /// scheduler refer to them by position.
    pub fn compatible_matching(&self, new: &HostSettings) -> Result<Arc<Matching>, HostSettingsErrors> {
        let same = new.class_names == self.class_names
            && new.plan_names == self.plan_names
            && new.scheduler.classes == self.scheduler.classes
            && new.scheduler.plans == self.scheduler.plans;
        if same {
            return Ok(new.matching.clone());
        }
        let what =
            "the classes or plans differ from those that the host started with; restart the host".to_owned();
        Err(HostSettingsErrors(vec![HostSettingsError::Value { entry: "match.rules".to_owned(), what }]))
    }

    /// Cost of a request in units: at least 1, at most `max_units`.
    pub fn units_of(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.unit_bytes) as f64).clamp(1.0, self.scheduler.max_units.max(1.0))
    }
}

/// Deserializes the merged layers; as an error, a message that names the place.
fn parse_tables(name: &str, text: &str, layers: &Layers) -> Result<SettingsFile, String> {
    if layers.merged.contains_key("classify") {
        let place = layers.origin(&Key::of(&["classify"])).map_or(name.to_owned(), Origin::to_string);
        return Err(format!(
            "{place}: `classify` is of the format before {FORMAT}; `pearfork-check migrate FILE` converts the file"
        ));
    }
    if layers.is_single_file() {
        // The parser's message for a single file shows the line itself.
        return toml::from_str(text).map_err(|e| format!("{name}: {e}"));
    }
    let merged = toml::Value::Table(layers.merged.clone());
    serde_path_to_error::deserialize(merged).map_err(|e| {
        let why = e.inner().message().trim().to_owned();
        let mut key = key_of(e.path(), &layers.merged);
        // The path of an unknown field ends at its table; the field's name is only in the message.
        let field = why.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        if let Some(field) = field.filter(|f| key.parts().last().is_none_or(|last| last != f)) {
            key = key.child(field);
        }
        let place = layers.origin(&key).map_or(name.to_owned(), Origin::to_string);
        format!("{place}: `{key}`: {why}")
    })
}

/// Converts a path into the merged table to a key; entries of arrays are identified by their names.
fn key_of(path: &serde_path_to_error::Path, merged: &toml::Table) -> Key {
    use serde_path_to_error::Segment;
    let mut key = Key::default();
    let root = toml::Value::Table(merged.clone());
    let mut at = Some(&root);
    for segment in path {
        let part = match segment {
            Segment::Map { key } => {
                at = at.and_then(|v| v.get(key));
                key.clone()
            }
            Segment::Seq { index } => {
                at = at.and_then(|v| v.get(*index));
                let name = at.and_then(|v| v.get("name")).and_then(toml::Value::as_str);
                name.map_or_else(|| index.to_string(), str::to_owned)
            }
            Segment::Enum { variant } => variant.clone(),
            Segment::Unknown => continue,
        };
        key = key.child(&part);
    }
    key
}

/// Checks a settings file and collects its errors and warnings.
struct Checker<'a> {
    layers: &'a Layers,
    read: &'a dyn Fn(&str) -> Result<String, String>,
    errors: Vec<HostSettingsError>,
    warnings: Vec<String>,
}

impl Checker<'_> {
    fn error(&mut self, entry: impl Into<String>, what: impl Into<String>) {
        self.errors.push(HostSettingsError::Value { entry: entry.into(), what: what.into() });
    }

    fn check_names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for name in names {
            if name.is_empty() {
                self.error(kind, "a name is empty");
            } else if !seen.insert(name) {
                self.error(kind, format!("the name `{name}` is given twice"));
            }
        }
    }

    fn check(mut self, file: SettingsFile) -> Result<HostSettings, HostSettingsErrors> {
        if file.format.is_some_and(|f| f != FORMAT) {
            let what = format!(
                "this version reads format {FORMAT}; `pearfork-check migrate FILE` converts older files"
            );
            self.error("format", what);
        }
        let routes = file.route.iter().map(|r| r.name.as_str());
        self.check_names("class or route", file.class.iter().map(|c| c.name.as_str()).chain(routes));
        self.check_names("plan", file.plan.iter().map(|p| p.name.as_str()));
        self.check_names("volume", file.volume.iter().map(|v| v.name.as_str()));
        let classes: Vec<pearfork::Class> = file.class.iter().map(|c| self.class(c)).collect();
        let routes = self.routes(&file, &classes);
        let all_names = file.class.iter().map(|c| &c.name).chain(file.route.iter().map(|r| &r.name));
        let class_names: Vec<String> = all_names.cloned().collect();
        let classes = [classes, routes].concat();
        let volumes = self.volumes(&file);
        let matching = self.matching(&file, &class_names, &classes, &volumes);
        let r = &file.rules;
        if file.host.hosts == 0 || u32::from(file.host.number) >= file.host.hosts {
            let what = format!("number {} is not below hosts = {}", file.host.number, file.host.hosts);
            self.error("host", what);
        }
        if r.max_attempts == 0 {
            self.error("rules.max_attempts", "is 0; it must be at least 1");
        }
        if r.unit.bytes() == 0 {
            self.error("rules.unit", "is 0; it must be a size above 0, such as \"16KiB\"");
        }
        if file.transport.commands == 0 || file.transport.sessions == 0 {
            self.error("transport", "commands and sessions must be at least 1");
        }
        let plan = |p: &PlanTable| pearfork::Plan {
            nominal: p.nominal,
            reserve: p.reserve,
            weight: p.weight,
            worth_factor: p.pays,
            limit: p.limit,
            burst: p.burst,
            slack: p.slack,
        };
        let scheduler = pearfork::Settings {
            hosts: file.host.hosts,
            classes,
            plans: file.plan.iter().map(plan).collect(),
            list_on_request: false,
            round_ms: r.round.ms(),
            max_attempts: r.max_attempts,
            cancel: r.cancel,
            hedging: r.second_copies,
            max_retry_after_ms: r.max_retry_after.ms(),
            retry_budget: r.retry_budget.as_ref().map(|b| pearfork::RetryBudget {
                free: b.free,
                ratio: b.ratio,
                span_ms: b.span.ms(),
            }),
            drain_grace_ms: r.drain_grace.ms(),
            cold_from: r.cold_from,
            warm_after_ms: r.warm_after.ms(),
            fall_multiple: r.fall_multiple,
            fall_ms: r.fall.ms(),
            cold_units: r.cold_units,
            key_rest_ms: r.key_rest.ms(),
            mean_units: r.mean_units,
            max_units: r.max_units,
            share_worth: r.share_worth,
            spare_worth: r.spare_worth,
            meter_ms: r.meter.ms(),
        };
        // Without the extension nodes receive no repeat keys and cannot drop repeats, so that a retry of a
        // keyed request would take effect twice.
        let keyed = file.class.iter().find(|c| matches!(c.effect, EffectName::Keyed));
        if let (Some(c), false) = (keyed, file.transport.extension) {
            let what = format!(
                "class `{}` is keyed, and nodes learn repeat keys only through the extension; it must be true",
                c.name
            );
            self.error("transport.extension", what);
        }
        if let Err(e) = scheduler.check() {
            self.error("settings", e.to_string());
        }
        // This check of `burst` assumes even shares of the limit; a fleet lends uneven ones and has its own
        // check.
        let applies = |r: &pearfork_terms::Violation| file.fleet.is_none() || r.key != "burst";
        for violation in pearfork_terms::check(&scheduler, &class_names).into_iter().filter(applies) {
            let entry = match violation.entry {
                pearfork_terms::Entry::Class(i) if i < file.class.len() => {
                    format!("class `{}`", class_names[i])
                }
                pearfork_terms::Entry::Class(i) => format!("route `{}`", class_names[i]),
                pearfork_terms::Entry::Plan(i) => format!("plan `{}`", file.plan[i].name),
                pearfork_terms::Entry::Rules => "rules".to_owned(),
            };
            let place = self.location_of(&file, violation.entry, violation.key);
            self.errors.push(HostSettingsError::Rule { entry, place, violation });
        }
        if file.transport.memory.bytes() < MIN_MEMORY {
            self.error("transport.memory", format!("must be {} MiB at least", MIN_MEMORY >> 20));
        }
        let fleet = self.fleet(&file);
        let (Some(matching), true) = (matching, self.errors.is_empty()) else {
            return Err(HostSettingsErrors(self.errors));
        };
        let provenance = Provenance::new(self.layers, &file, matching.text());
        Ok(HostSettings {
            number: file.host.number,
            listen: file.host.listen,
            http: file.host.http,
            seed: file.host.seed,
            directory: file.directory.address,
            directory_wait: file.directory.wait,
            connect_timeout: file.transport.connect_timeout,
            node_target: file.transport.node_target,
            extension: file.transport.extension,
            sessions: file.transport.sessions,
            commands: file.transport.commands,
            memory: file.transport.memory.bytes() as usize,
            max_transfer: file.transport.max_transfer.bytes() as usize,
            drain: file.transport.drain,
            scheduler,
            class_names,
            plan_names: file.plan.iter().map(|p| p.name.clone()).collect(),
            volumes,
            embedded: file.embedded,
            fleet,
            unit_bytes: r.unit.bytes(),
            matching: Arc::new(matching),
            warnings: self.warnings,
            provenance: Arc::new(provenance),
        })
    }

    fn class(&mut self, c: &ClassTable) -> pearfork::Class {
        let entry = format!("class `{}`", c.name);
        let keyed = matches!(c.effect, EffectName::Keyed);
        if keyed && (c.group.is_none() || c.window.is_none()) {
            self.error(
                &entry,
                "is keyed: group and window must say which nodes drop repeats, and for how long",
            );
        }
        if !keyed && (c.group.is_some() || c.window.is_some()) {
            self.error(&entry, "is not keyed; only a keyed class may have group and window");
        }
        pearfork::Class {
            aim_ms: c.aim.ms(),
            deadline_ms: c.deadline.ms(),
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match c.effect {
                EffectName::Safe => pearfork::Effect::Safe,
                EffectName::Keyed => pearfork::Effect::Keyed,
                EffectName::Unsafe => pearfork::Effect::Unsafe,
            },
            group: match c.group {
                None | Some(GroupName::All) => pearfork::Group::All,
                Some(GroupName::Zone) => pearfork::Group::Zone,
                Some(GroupName::Shard) => pearfork::Group::Shard,
            },
            window_ms: c.window.unwrap_or_default().ms(),
            ordered: c.ordered,
            attempt_policy: pearfork::AttemptPolicy {
                attempt_timeout_ms: self.optional_ms(&entry, "attempt", c.attempt),
                attempts: self.optional_attempts(&entry, c.attempts),
                retry_delay_ms: c.retry_pause.ms(),
                retry_jitter_ms: c.retry_spread.ms(),
                hedge_after_ms: self.optional_ms(&entry, "second_copy_after", c.second_copy_after),
            },
        }
    }

    fn volumes(&mut self, file: &SettingsFile) -> Vec<Volume> {
        let mut units = HashSet::new();
        let mut volumes = Vec::new();
        for (i, v) in file.volume.iter().enumerate() {
            let entry = format!("volume `{}`", v.name);
            let plan = file.plan.iter().position(|p| p.name == v.plan);
            if plan.is_none() {
                self.error(&entry, format!("there is no plan `{}`", v.plan));
            }
            let (block, size, extent) = (v.block.bytes(), v.size.bytes(), v.extent.bytes());
            if !matches!(block, 512 | 4096) {
                self.error(&entry, "block must be \"512B\" or \"4KiB\"");
                continue;
            }
            if size == 0 || size % block != 0 {
                self.error(&entry, "size must be a multiple of block, and not 0");
            }
            if extent == 0 || extent % block != 0 {
                self.error(&entry, "extent must be a multiple of block, and not 0");
                continue;
            }
            if extent * 64 < u64::from(MAX_TRANSFER_BLOCKS) * block {
                self.error(&entry, "extent is too small: one command could have more than 64 parts");
            }
            let max_transfer = file.transport.max_transfer.bytes();
            if max_transfer < MIN_TRANSFER_BLOCKS * block {
                self.error("transport.max_transfer", format!("must be two blocks of {entry} at least"));
            }
            if v.shards.is_empty() {
                self.error(&entry, "shards is empty; the volume names no shard");
                continue;
            }
            if v.lun >= 16_384 {
                self.error(&entry, "lun must be below 16384");
            }
            let hosts = v.hosts.unwrap_or(file.host.hosts);
            if hosts == 0 || hosts > file.host.hosts {
                self.error(&entry, "hosts must be 1 to host.hosts");
            }
            let target = v.target.to_ascii_lowercase();
            if !(target.starts_with("iqn.") || target.starts_with("eui.") || target.starts_with("naa."))
                || target.len() > 223
            {
                self.error(&entry, "target must be an iSCSI name (iqn., eui., naa.) of 223 bytes at most");
            }
            if !units.insert((target.clone(), v.lun)) {
                self.error(&entry, format!("another volume has LUN {} at target {target}", v.lun));
            }
            volumes.push(Volume {
                id: VolumeId(i as u32),
                name: v.name.clone(),
                target,
                lun: v.lun,
                unit: LogicalUnit {
                    blocks: (size / block).max(1),
                    block_len: block as u32,
                    max_transfer_blocks: (max_transfer / block).min(u64::from(MAX_TRANSFER_BLOCKS)) as u32,
                    serial: v.name.clone(),
                },
                extent_blocks: extent / block,
                shards: v.shards.clone(),
                plan: plan.unwrap_or(0) as u16,
                hosts,
                initiators: v.initiators.clone(),
            });
        }
        volumes
    }
}

#[cfg(test)]
mod tests;
