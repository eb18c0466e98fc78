//! The tables and keys of a settings file as they are deserialized, before their values are checked.

use crate::units::{Size, Span};
use pearfork_ledger::Timing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A settings file.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsFile {
    /// Format of the file; [`super::FORMAT`] if absent.
    pub(super) format: Option<u32>,
    pub(super) host: HostTable,
    pub(super) directory: DirectoryTable,
    #[serde(default)]
    pub(super) transport: TransportTable,
    pub(super) rules: RulesTable,
    pub(super) class: Vec<ClassTable>,
    #[serde(default)]
    pub(super) route: Vec<RouteTable>,
    pub(super) r#match: MatchTable,
    pub(super) plan: Vec<PlanTable>,
    pub(super) volume: Vec<VolumeTable>,
    pub(super) embedded: Option<EmbeddedNodes>,
    pub(super) fleet: Option<FleetTable>,
}

/// The host's place in a fleet that lends budgets.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTable {
    pub(super) name: String,
    /// The address that a voter listens at for the other hosts.
    pub(super) listen: Option<SocketAddr>,
    /// The folder in which a voter stores its votes and log.
    pub(super) folder: Option<PathBuf>,
    pub(super) voters: Vec<VoterTable>,
    /// Fraction of each budget that the floors of all hosts add up to.
    #[serde(default = "default_floors")]
    pub(super) floors: f64,
    #[serde(default = "default_lease")]
    pub(super) lease: Span,
    /// By what fraction one host's clock may run faster than another's.
    #[serde(default = "default_drift")]
    pub(super) drift: f64,
    /// Interval at which a host renews its lease.
    #[serde(default = "default_ask")]
    pub(super) ask: Span,
    /// Heartbeat interval of the leader.
    #[serde(default = "default_beat")]
    pub(super) beat: Span,
    /// Election time-out.
    #[serde(default = "default_election")]
    pub(super) election: Span,
    #[serde(default)]
    pub(super) trouble: FaultInjectionTable,
}

/// A voter of the fleet.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VoterTable {
    pub(super) host: u16,
    pub(super) address: SocketAddr,
}

/// Faults that are injected into this host, for tests only.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct FaultInjectionTable {
    /// Rate of the host's clock; a clock of rate 2 runs twice as fast as real time.
    pub(super) clock: Option<f64>,
    /// A file that names the disk fault to inject.
    pub(super) disk: Option<PathBuf>,
}

fn default_floors() -> f64 {
    0.01
}

fn default_lease() -> Span {
    Span::from_ms(Timing::default().lease_ms)
}

fn default_drift() -> f64 {
    Timing::default().max_clock_drift
}

fn default_ask() -> Span {
    Span::from_ms(Timing::default().renewal_interval_ms)
}

fn default_beat() -> Span {
    Span::from_ms(Timing::default().heartbeat_interval_ms)
}

fn default_election() -> Span {
    Span::from_ms(Timing::default().election_timeout_ms)
}

/// Fake nodes that the gateway starts in its own process, for trying it out; the host treats them like any
/// other node.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EmbeddedNodes {
    /// Number of nodes; each holds one shard, numbered from 0.
    pub nodes: u16,
    /// Number of cores of a node.
    pub cores: u16,
    /// Maximum number of requests that wait at a node besides one in service on each core.
    pub waiting: u16,
    /// Service time of one unit on one core.
    pub work: Span,
}

/// `[host]`: the host's number and addresses.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HostTable {
    pub(super) number: u16,
    pub(super) hosts: u32,
    pub(super) listen: SocketAddr,
    pub(super) http: Option<SocketAddr>,
    #[serde(default)]
    pub(super) seed: Option<u64>,
}

/// `[directory]`: where the node list is read.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct DirectoryTable {
    pub(super) address: SocketAddr,
    #[serde(default = "default_wait")]
    pub(super) wait: Span,
}

fn default_wait() -> Span {
    Span::from_ms(2_000.0)
}

/// `[transport]`: connections to clients and nodes; [`super::HostSettings`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TransportTable {
    pub(super) connect_timeout: Span,
    pub(super) node_target: String,
    pub(super) extension: bool,
    pub(super) sessions: usize,
    pub(super) commands: u32,
    pub(super) memory: Size,
    pub(super) max_transfer: Size,
    pub(super) drain: Span,
}

impl Default for TransportTable {
    fn default() -> Self {
        TransportTable {
            connect_timeout: Span::from_ms(250.0),
            node_target: "iqn.2026-12.org.pearfork:node".to_owned(),
            extension: true,
            sessions: 4096,
            commands: 64,
            memory: Size::from_bytes(4 << 30),
            max_transfer: Size::from_bytes(8 << 20),
            drain: Span::from_ms(5_000.0),
        }
    }
}

/// `[rules]`: settings for all classes; [`pearfork::Settings`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesTable {
    #[serde(default = "default_round")]
    pub(super) round: Span,
    pub(super) max_attempts: u32,
    /// Whether hedged attempts are allowed.
    #[serde(default)]
    pub(super) second_copies: bool,
    #[serde(default = "default_cancel")]
    pub(super) cancel: bool,
    pub(super) max_retry_after: Span,
    pub(super) retry_budget: Option<RetryBudgetTable>,
    pub(super) drain_grace: Span,
    pub(super) cold_from: f64,
    pub(super) warm_after: Span,
    pub(super) fall_multiple: f64,
    pub(super) fall: Span,
    pub(super) cold_units: f64,
    /// For ordered classes: cooldown of a data item after an attempt that may still run.
    #[serde(default)]
    pub(super) key_rest: Span,
    /// Number of bytes that cost one unit.
    pub(super) unit: Size,
    pub(super) mean_units: f64,
    pub(super) max_units: f64,
    #[serde(default = "default_one")]
    pub(super) share_worth: f64,
    #[serde(default = "default_one")]
    pub(super) spare_worth: f64,
    #[serde(default)]
    pub(super) meter: Span,
}

fn default_round() -> Span {
    Span::from_ms(2.0)
}

fn default_cancel() -> bool {
    true
}

fn default_one() -> f64 {
    1.0
}

/// The retry budget; [`pearfork::RetryBudget`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RetryBudgetTable {
    pub(super) free: f64,
    pub(super) ratio: f64,
    pub(super) span: Span,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum EffectName {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum GroupName {
    All,
    Zone,
    Shard,
}

/// `[[class]]`: a class of requests; [`pearfork::Class`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassTable {
    pub(super) name: String,
    pub(super) aim: Span,
    pub(super) deadline: Span,
    pub(super) worth: f64,
    #[serde(default)]
    pub(super) late_worth: f64,
    pub(super) effect: EffectName,
    pub(super) group: Option<GroupName>,
    pub(super) window: Option<Span>,
    #[serde(default)]
    pub(super) ordered: bool,
    /// Time-out of one attempt.
    pub(super) attempt: Option<Span>,
    /// Attempts of one request.
    pub(super) attempts: Option<u32>,
    /// Minimum delay before a retry.
    #[serde(default)]
    pub(super) retry_pause: Span,
    /// Maximum random delay that is added to `retry_pause`.
    #[serde(default)]
    pub(super) retry_spread: Span,
    /// After how long without a response a hedged attempt is sent.
    pub(super) second_copy_after: Option<Span>,
}

/// `[[route]]`: other values for some requests of a class; an absent value is the class's.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteTable {
    pub(super) name: String,
    pub(super) class: String,
    pub(super) aim: Option<Span>,
    pub(super) deadline: Option<Span>,
    pub(super) attempt: Option<Span>,
    pub(super) attempts: Option<u32>,
    pub(super) retry_pause: Option<Span>,
    pub(super) retry_spread: Option<Span>,
    pub(super) second_copy_after: Option<Span>,
}

/// `[match]`: the rules that give each request its class, plan and key.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MatchTable {
    pub(super) rules: Option<String>,
    /// A file with the rules, relative to this one; an alternative to `rules`.
    pub(super) file: Option<String>,
    /// Maximum number of steps for class, plan and key of one request.
    #[serde(default = "default_max_steps")]
    pub(super) max_steps: u64,
}

/// Takes at worst about 50 us on a slow core.
fn default_max_steps() -> u64 {
    20_000
}

/// `[[plan]]`: a service plan; [`pearfork::Plan`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanTable {
    pub(super) name: String,
    pub(super) nominal: f64,
    #[serde(default)]
    pub(super) reserve: f64,
    #[serde(default = "default_one")]
    pub(super) weight: f64,
    /// Factor by which the worth of its requests is multiplied.
    #[serde(default = "default_one")]
    pub(super) pays: f64,
    #[serde(default)]
    pub(super) limit: f64,
    #[serde(default)]
    pub(super) burst: f64,
    #[serde(default)]
    pub(super) slack: f64,
}

/// `[[volume]]`: a volume; [`crate::volumes::Volume`] describes the values.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VolumeTable {
    pub(super) name: String,
    pub(super) target: String,
    #[serde(default)]
    pub(super) lun: u16,
    pub(super) size: Size,
    #[serde(default = "default_block")]
    pub(super) block: Size,
    #[serde(default = "default_extent")]
    pub(super) extent: Size,
    pub(super) shards: Vec<u16>,
    pub(super) plan: String,
    pub(super) hosts: Option<u32>,
    #[serde(default = "any_initiator")]
    pub(super) initiators: Vec<String>,
}

fn default_block() -> Size {
    Size::from_bytes(512)
}

fn default_extent() -> Size {
    Size::from_bytes(1 << 20)
}

fn any_initiator() -> Vec<String> {
    vec!["*".to_owned()]
}
