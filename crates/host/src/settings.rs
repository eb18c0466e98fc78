//! The operator's file: read, checked as a whole, and turned into a plan that is valid for good.
//!
//! [`HostSettings::load_with`] (and [`HostSettings::load`], [`HostSettings::from_toml`], where less goes over it) is the only way from
//! text to a plan, for the host and for whatever checks files.

mod fleet;
mod matching;
mod migrate;
mod provenance;
mod routes;
mod tables;

pub use self::matching::Matching;
pub use self::migrate::{migrate, MigrateError};
pub use self::provenance::{Explanation, Provenance, UnknownKey};
use self::tables::{ClassTable, EffectWord, File, GroupWord, PlanTable};
use crate::units::Span;
use crate::volumes::{Volume, VolumeId};
use pearfork_fleet::FleetSettings;
use pearfork_layers::{Key, LayerError, Layers};
use pearfork_match::Fields;
use pearfork_scsi::{Media, MediaOp, Unit, MAX_TRANSFER_BLOCKS};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

pub use self::tables::EmbeddedNodes;
pub use pearfork_layers::{Origin, Overrides};

/// The form of settings files that this version reads.
pub const FORMAT: u32 = 1;

/// Keys of which a later layer's hides the earlier layer's other.
const EXCLUSIVE: &[[&str; 3]] = &[["match", "rules", "file"]];

/// Faults of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HostSettingsError {
    /// Not TOML, an unknown key, or a value of the wrong kind; the text names the line.
    #[error("{0}")]
    Syntax(String),
    /// Matching rules that are refused, each shown in its file.
    #[error("{0}")]
    Rules(String),
    /// A file that could not be read.
    #[error("{file}: {why}")]
    Unreadable {
        /// Which.
        file: String,
        /// What the machine says.
        why: String,
    },
    /// Layers that can't be put together.
    #[error(transparent)]
    Layer(#[from] LayerError),
    /// Something that one of the seven rules stands against.
    #[error("{place}, {entry}, {}: {violation}", violation.key)]
    Rule {
        /// Table.
        entry: String,
        /// Where it was given: a line of the file, or which layer.
        place: String,
        /// What is asked, and what would be accepted.
        violation: pearfork_terms::Violation,
    },
    /// Values that do not go together: the entry, and what is wrong.
    #[error("{entry}: {what}")]
    Value {
        /// Table and key.
        entry: String,
        /// What is wrong and what would be accepted.
        what: String,
    },
}

/// All faults of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostSettingsErrors(pub Vec<HostSettingsError>);

impl std::fmt::Display for HostSettingsErrors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            write!(f, "{}{fault}", if i > 0 { "\n" } else { "" })?;
        }
        Ok(())
    }
}

impl std::error::Error for HostSettingsErrors {}

/// Everything a host runs by; valid as a whole.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// Its number among the hosts.
    pub number: u16,
    /// Where iSCSI clients come.
    pub listen: SocketAddr,
    /// Where health, metrics and status are.
    pub http: Option<SocketAddr>,
    /// Seed of the module's random numbers; from the clock where absent.
    pub seed: Option<u64>,
    /// Where the node list is had.
    pub directory: SocketAddr,
    /// How long one call for changes of it may wait there.
    pub directory_wait: Span,
    /// How long a connection to a node with its login may take.
    pub connect_timeout: Span,
    /// The target name that nodes answer to.
    pub node_target: String,
    /// Whether the extension is offered to nodes.
    pub extension: bool,
    /// Most client connections.
    pub sessions: usize,
    /// Commands of one session in work at once.
    pub commands: u32,
    /// Most bytes of one command.
    pub max_transfer: usize,
    /// How long an orderly stop waits for what was accepted.
    pub drain: Span,
    /// What the module is told.
    pub scheduler: pearfork::Settings,
    /// Names of the classes, by position.
    pub class_names: Vec<String>,
    /// Names of the plans, by position.
    pub plan_names: Vec<String>,
    /// The volumes, by position.
    pub volumes: Vec<Volume>,
    /// Stand-in nodes to be brought along.
    pub embedded: Option<EmbeddedNodes>,
    /// Its place among the hosts that divide budgets; none where each has an even part by the figures alone.
    pub fleet: Option<FleetSettings>,
    /// Which class, plan and key a request gets.
    pub matching: Arc<Matching>,
    /// What the operator is to be told, though the file is taken.
    pub warnings: Vec<String>,
    /// Where each value came from.
    pub provenance: Arc<Provenance>,
    unit: u64,
}

impl HostSettings {
    /// Reads and checks a file that refers to no other.
    ///
    /// # Errors
    /// All faults that were found; those of form hide those of meaning.
    pub fn from_toml(text: &str) -> Result<HostSettings, HostSettingsErrors> {
        let alone = |_: &str| Err("this text refers to a file, and comes without a folder".to_owned());
        Self::from_source("settings", text, &alone, &Overrides::default())
    }

    /// Reads and checks a file, and what it refers to in its folder.
    ///
    /// # Errors
    /// As [`HostSettings::from_toml`], and files that can't be read.
    pub fn load(path: &Path) -> Result<HostSettings, HostSettingsErrors> {
        Self::load_with(path, &Overrides::default())
    }

    /// The same with variables and flags over it. Each file is read once: what was checked is what is used.
    ///
    /// # Errors
    /// As [`HostSettings::load`], and variables or flags that can't be taken.
    pub fn load_with(path: &Path, over: &Overrides) -> Result<HostSettings, HostSettingsErrors> {
        let name = path.display().to_string();
        let read = |p: &Path| std::fs::read_to_string(p).map_err(|e| e.to_string());
        let unreadable =
            |why| HostSettingsErrors(vec![HostSettingsError::Unreadable { file: name.clone(), why }]);
        let text = read(path).map_err(unreadable)?;
        let beside = |file: &str| read(&path.parent().unwrap_or(Path::new("")).join(file));
        Self::from_source(&name, &text, &beside, over)
    }

    /// The one way from text to a plan. `read` gives the files that the text refers to, by their path from its folder.
    fn from_source(
        name: &str,
        text: &str,
        read: &dyn Fn(&str) -> Result<String, String>,
        over: &Overrides,
    ) -> Result<HostSettings, HostSettingsErrors> {
        let layers = Layers::load(name, text, read, over, EXCLUSIVE).map_err(|faults| {
            HostSettingsErrors(faults.into_iter().map(HostSettingsError::from).collect())
        })?;
        let file = shape(name, text, &layers)
            .map_err(|words| HostSettingsErrors(vec![HostSettingsError::Syntax(words)]))?;
        Checker { layers: &layers, read, faults: Vec::new(), warnings: Vec::new() }.plan(file)
    }

    /// What the matching rules see of a request: for a live one, for `explain`, and for the judge of a record alike.
    pub fn fields_of<'a>(
        &'a self,
        volume: &'a Volume,
        media: &Media,
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
            bytes: media.moves(volume.unit.block_len),
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

    /// The matching of another plan, to be used with the classes and plans of this one.
    ///
    /// # Errors
    /// Classes or plans that differ: those need a new start, since requests in flight and the module know them by
    /// position.
    pub fn compatible_matching(&self, new: &HostSettings) -> Result<Arc<Matching>, HostSettingsErrors> {
        let same = new.class_names == self.class_names
            && new.plan_names == self.plan_names
            && new.scheduler.classes == self.scheduler.classes
            && new.scheduler.plans == self.scheduler.plans;
        if same {
            return Ok(new.matching.clone());
        }
        let what = "classes or plans differ from those that the host started with; start it anew".to_owned();
        Err(HostSettingsErrors(vec![HostSettingsError::Value { entry: "match.rules".to_owned(), what }]))
    }

    /// Size of a request in units: at least one, at most what the module was told.
    pub fn units_of(&self, bytes: u64) -> f64 {
        (bytes.div_ceil(self.unit) as f64).clamp(1.0, self.scheduler.max_units.max(1.0))
    }
}

/// The layers as the tables that they must be; otherwise what is wrong, in words.
fn shape(name: &str, text: &str, layers: &Layers) -> Result<File, String> {
    if layers.merged.contains_key("classify") {
        let place = layers.origin(&Key::of(&["classify"])).map_or(name.to_owned(), Origin::to_string);
        return Err(format!(
            "{place}: `classify` is of the form before {FORMAT}; `pearfork-check migrate FILE` writes the file anew"
        ));
    }
    if layers.is_single_file() {
        // One file says it all: the words of its parser show the line itself.
        return toml::from_str(text).map_err(|e| format!("{name}: {e}"));
    }
    let merged = toml::Value::Table(layers.merged.clone());
    serde_path_to_error::deserialize(merged).map_err(|e| {
        let why = e.inner().message().trim().to_owned();
        let mut key = key_of(e.path(), &layers.merged);
        // The unknown field itself is known by its name alone.
        let field = why.strip_prefix("unknown field `").and_then(|rest| rest.split('`').next());
        if let Some(field) = field.filter(|f| key.parts().last().is_none_or(|last| last != f)) {
            key = key.child(field);
        }
        let place = layers.origin(&key).map_or(name.to_owned(), Origin::to_string);
        format!("{place}: `{key}`: {why}")
    })
}

/// A path into the merged table as a key: entries of arrays go by their names.
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

struct Checker<'a> {
    layers: &'a Layers,
    read: &'a dyn Fn(&str) -> Result<String, String>,
    faults: Vec<HostSettingsError>,
    warnings: Vec<String>,
}

impl Checker<'_> {
    fn fault(&mut self, entry: impl Into<String>, what: impl Into<String>) {
        self.faults.push(HostSettingsError::Value { entry: entry.into(), what: what.into() });
    }

    fn names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for name in names {
            if name.is_empty() {
                self.fault(kind, "a name is empty");
            } else if !seen.insert(name) {
                self.fault(kind, format!("the name `{name}` is given twice"));
            }
        }
    }

    fn plan(mut self, file: File) -> Result<HostSettings, HostSettingsErrors> {
        if file.format.is_some_and(|f| f != FORMAT) {
            let what = format!(
                "this version reads format {FORMAT}; `pearfork-check migrate FILE` writes an older file anew"
            );
            self.fault("format", what);
        }
        let routes = file.route.iter().map(|r| r.name.as_str());
        self.names("class or route", file.class.iter().map(|c| c.name.as_str()).chain(routes));
        self.names("plan", file.plan.iter().map(|p| p.name.as_str()));
        self.names("volume", file.volume.iter().map(|v| v.name.as_str()));
        let classes: Vec<pearfork::Class> = file.class.iter().map(|c| self.class(c)).collect();
        let routes = self.routes(&file, &classes);
        let both = file.class.iter().map(|c| &c.name).chain(file.route.iter().map(|r| &r.name));
        let class_names: Vec<String> = both.cloned().collect();
        let classes = [classes, routes].concat();
        let volumes = self.volumes(&file);
        let matching = self.matching(&file, &class_names, &classes, &volumes);
        let r = &file.rules;
        if file.host.hosts == 0 || u32::from(file.host.number) >= file.host.hosts {
            let what = format!("number {} is not below hosts = {}", file.host.number, file.host.hosts);
            self.fault("host", what);
        }
        if r.max_attempts == 0 {
            self.fault("rules.max_attempts", "is 0; a request needs one attempt at least");
        }
        if r.unit.bytes() == 0 {
            self.fault("rules.unit", "is 0; a unit needs a size, such as \"16KiB\"");
        }
        if file.transport.commands == 0 || file.transport.sessions == 0 {
            self.fault("transport", "commands and sessions must be 1 at least");
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
        // Danger: a node that is told no key drops no repeat, and a keyed request would take effect twice.
        let keyed = file.class.iter().find(|c| matches!(c.effect, EffectWord::Keyed));
        if let (Some(c), false) = (keyed, file.transport.extension) {
            let what = format!("class `{}` is keyed, and nodes learn of keys by the extension alone", c.name);
            self.fault("transport.extension", what);
        }
        if let Err(e) = scheduler.check() {
            self.fault("module", e.to_string());
        }
        // Hosts that divide a limit have no even parts of it, and a check of their own.
        let even = |r: &pearfork_terms::Violation| file.fleet.is_none() || r.key != "burst";
        for violation in pearfork_terms::check(&scheduler, &class_names).into_iter().filter(even) {
            let entry = match violation.entry {
                pearfork_terms::Entry::Class(i) if i < file.class.len() => {
                    format!("class `{}`", class_names[i])
                }
                pearfork_terms::Entry::Class(i) => format!("route `{}`", class_names[i]),
                pearfork_terms::Entry::Plan(i) => format!("plan `{}`", file.plan[i].name),
                pearfork_terms::Entry::Rules => "rules".to_owned(),
            };
            let place = self.place_of(&file, violation.entry, violation.key);
            self.faults.push(HostSettingsError::Rule { entry, place, violation });
        }
        let fleet = self.fleet(&file);
        let (Some(matching), true) = (matching, self.faults.is_empty()) else {
            return Err(HostSettingsErrors(self.faults));
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
            max_transfer: file.transport.max_transfer.bytes() as usize,
            drain: file.transport.drain,
            scheduler,
            class_names,
            plan_names: file.plan.iter().map(|p| p.name.clone()).collect(),
            volumes,
            embedded: file.embedded,
            fleet,
            unit: r.unit.bytes(),
            matching: Arc::new(matching),
            warnings: self.warnings,
            provenance: Arc::new(provenance),
        })
    }

    fn class(&mut self, c: &ClassTable) -> pearfork::Class {
        let entry = format!("class `{}`", c.name);
        let keyed = matches!(c.effect, EffectWord::Keyed);
        if keyed && (c.group.is_none() || c.window.is_none()) {
            self.fault(&entry, "is keyed: say with group and window who drops repeats and for how long");
        }
        if !keyed && (c.group.is_some() || c.window.is_some()) {
            self.fault(&entry, "has a group or window, which only a keyed class has");
        }
        pearfork::Class {
            aim_ms: c.aim.ms(),
            deadline_ms: c.deadline.ms(),
            worth: c.worth,
            late_worth: c.late_worth,
            effect: match c.effect {
                EffectWord::Safe => pearfork::Effect::Safe,
                EffectWord::Keyed => pearfork::Effect::Keyed,
                EffectWord::Unsafe => pearfork::Effect::Unsafe,
            },
            group: match c.group {
                None | Some(GroupWord::All) => pearfork::Group::All,
                Some(GroupWord::Zone) => pearfork::Group::Zone,
                Some(GroupWord::Shard) => pearfork::Group::Shard,
            },
            window_ms: c.window.unwrap_or_default().ms(),
            ordered: c.ordered,
            attempt_policy: pearfork::AttemptPolicy {
                attempt_timeout_ms: self.span_above_0(&entry, "attempt", c.attempt),
                attempts: self.number_above_0(&entry, c.attempts),
                retry_delay_ms: c.retry_pause.ms(),
                retry_jitter_ms: c.retry_spread.ms(),
                hedge_after_ms: self.span_above_0(&entry, "second_copy_after", c.second_copy_after),
            },
        }
    }

    fn volumes(&mut self, file: &File) -> Vec<Volume> {
        let mut places = HashSet::new();
        let mut volumes = Vec::new();
        for (i, v) in file.volume.iter().enumerate() {
            let entry = format!("volume `{}`", v.name);
            let plan = file.plan.iter().position(|p| p.name == v.plan);
            if plan.is_none() {
                self.fault(&entry, format!("there is no plan `{}`", v.plan));
            }
            let (block, size, extent) = (v.block.bytes(), v.size.bytes(), v.extent.bytes());
            if !matches!(block, 512 | 4096) {
                self.fault(&entry, "block must be \"512B\" or \"4KiB\"");
                continue;
            }
            if size == 0 || size % block != 0 {
                self.fault(&entry, "size must be a multiple of block, and not 0");
            }
            if extent == 0 || extent % block != 0 {
                self.fault(&entry, "extent must be a multiple of block, and not 0");
                continue;
            }
            if extent * 64 < u64::from(MAX_TRANSFER_BLOCKS) * block {
                self.fault(&entry, "extent is so small that one command would have more than 64 parts");
            }
            if v.shards.is_empty() {
                self.fault(&entry, "names no shard");
                continue;
            }
            if v.lun >= 16_384 {
                self.fault(&entry, "lun must be below 16384");
            }
            let hosts = v.hosts.unwrap_or(file.host.hosts);
            if hosts == 0 || hosts > file.host.hosts {
                self.fault(&entry, "hosts must be 1 to the number of hosts");
            }
            let target = v.target.to_ascii_lowercase();
            if !(target.starts_with("iqn.") || target.starts_with("eui.") || target.starts_with("naa."))
                || target.len() > 223
            {
                self.fault(&entry, "target must be an iSCSI name (iqn., eui., naa.) of 223 bytes at most");
            }
            if !places.insert((target.clone(), v.lun)) {
                self.fault(&entry, format!("another volume is unit {} of {target}", v.lun));
            }
            volumes.push(Volume {
                id: VolumeId(i as u32),
                name: v.name.clone(),
                target,
                lun: v.lun,
                unit: Unit { blocks: (size / block).max(1), block_len: block as u32, serial: v.name.clone() },
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
