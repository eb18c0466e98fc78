//! The file as it is written: tables and keys, before anything is checked against anything else.

use crate::units::{Size, Span};
use pearfork_ledger::Timing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
    /// Form of the file; [`super::FORMAT`] where it is not given.
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

/// A place among the hosts that divide budgets.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FleetTable {
    pub(super) name: String,
    /// Where a voter listens for the others.
    pub(super) listen: Option<SocketAddr>,
    /// Where a voter keeps its promises.
    pub(super) folder: Option<PathBuf>,
    pub(super) voters: Vec<VoterTable>,
    /// Fraction of each whole that the floors of all hosts make up together.
    #[serde(default = "default_floors")]
    pub(super) floors: f64,
    #[serde(default = "default_lease")]
    pub(super) lease: Span,
    /// By how much one host's clock may run faster than another's.
    #[serde(default = "default_drift")]
    pub(super) drift: f64,
    #[serde(default = "default_ask")]
    pub(super) ask: Span,
    #[serde(default = "default_beat")]
    pub(super) beat: Span,
    #[serde(default = "default_election")]
    pub(super) election: Span,
    #[serde(default)]
    pub(super) trouble: TroubleTable,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VoterTable {
    pub(super) host: u16,
    pub(super) address: SocketAddr,
}

/// For trials alone.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TroubleTable {
    pub(super) clock: Option<f64>,
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

/// Stand-in nodes that a gateway brings along for trying it out; a host knows nothing of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EmbeddedNodes {
    /// How many, each with a shard of its own from 0 on.
    pub nodes: u16,
    /// Cores of each.
    pub cores: u16,
    /// Requests that wait beyond one in work on each core.
    pub waiting: u16,
    /// Work of one unit on one core.
    pub work: Span,
}

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

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct TransportTable {
    pub(super) connect_timeout: Span,
    pub(super) node_target: String,
    pub(super) extension: bool,
    pub(super) sessions: usize,
    pub(super) commands: u32,
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
            max_transfer: Size::from_bytes(1 << 20),
            drain: Span::from_ms(5_000.0),
        }
    }
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesTable {
    #[serde(default = "default_round")]
    pub(super) round: Span,
    pub(super) max_attempts: u32,
    #[serde(default)]
    pub(super) second_copies: bool,
    #[serde(default = "yes")]
    pub(super) cancel: bool,
    pub(super) max_retry_after: Span,
    pub(super) retry_budget: Option<BudgetTable>,
    pub(super) drain_grace: Span,
    pub(super) cold_from: f64,
    pub(super) warm_after: Span,
    pub(super) fall_multiple: f64,
    pub(super) fall: Span,
    pub(super) cold_units: f64,
    #[serde(default)]
    pub(super) key_rest: Span,
    pub(super) unit: Size,
    pub(super) mean_units: f64,
    pub(super) max_units: f64,
    #[serde(default = "one")]
    pub(super) share_worth: f64,
    #[serde(default = "one")]
    pub(super) spare_worth: f64,
    #[serde(default)]
    pub(super) meter: Span,
}

fn default_round() -> Span {
    Span::from_ms(2.0)
}

fn yes() -> bool {
    true
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BudgetTable {
    pub(super) free: f64,
    pub(super) ratio: f64,
    pub(super) span: Span,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum EffectWord {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum GroupWord {
    All,
    Zone,
    Shard,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClassTable {
    pub(super) name: String,
    pub(super) aim: Span,
    pub(super) deadline: Span,
    pub(super) worth: f64,
    #[serde(default)]
    pub(super) late_worth: f64,
    pub(super) effect: EffectWord,
    pub(super) group: Option<GroupWord>,
    pub(super) window: Option<Span>,
    #[serde(default)]
    pub(super) ordered: bool,
    /// Time-out of one attempt.
    pub(super) attempt: Option<Span>,
    /// Attempts of one request.
    pub(super) attempts: Option<u32>,
    /// Least pause before a further attempt.
    #[serde(default)]
    pub(super) retry_pause: Span,
    /// Most that is added to the pause, drawn at random.
    #[serde(default)]
    pub(super) retry_spread: Span,
    /// When a second copy goes out beside an attempt without an answer.
    pub(super) second_copy_after: Option<Span>,
}

/// A class's figures for some of its requests: what is not given is the class's.
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

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct MatchTable {
    pub(super) rules: Option<String>,
    /// A file beside this one, in place of `rules`.
    pub(super) file: Option<String>,
    /// Steps that class, plan and key of one request may take.
    #[serde(default = "default_max_steps")]
    pub(super) max_steps: u64,
}

/// About 50 us of a slow core at the very worst.
fn default_max_steps() -> u64 {
    20_000
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlanTable {
    pub(super) name: String,
    pub(super) nominal: f64,
    #[serde(default)]
    pub(super) reserve: f64,
    #[serde(default = "one")]
    pub(super) weight: f64,
    #[serde(default = "one")]
    pub(super) pays: f64,
    #[serde(default)]
    pub(super) limit: f64,
    #[serde(default)]
    pub(super) burst: f64,
    #[serde(default)]
    pub(super) slack: f64,
}

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
    #[serde(default = "anybody")]
    pub(super) initiators: Vec<String>,
}

fn default_block() -> Size {
    Size::from_bytes(512)
}

fn default_extent() -> Size {
    Size::from_bytes(1 << 20)
}

fn anybody() -> Vec<String> {
    vec!["*".to_owned()]
}
