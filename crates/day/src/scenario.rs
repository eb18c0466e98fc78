//! Scenario files in TOML: nodes, clients, and faults at scheduled times.

use pearfork_host::units::Span;
use serde::Deserialize;

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Settings of the run: length, hosts, seed.
    #[serde(rename = "day")]
    pub run: RunTable,
    /// The fake nodes.
    pub nodes: NodesTable,
    /// Groups of fake clients.
    #[serde(rename = "client")]
    pub clients: Vec<ClientTable>,
    /// Faults and other events.
    #[serde(rename = "event", default)]
    pub events: Vec<EventTable>,
    /// Expectations for volumes with a limit.
    #[serde(rename = "expect", default)]
    pub expectations: Vec<ExpectTable>,
}

/// Expectation of how much of a volume's limit is used in a period of the scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectTable {
    /// Name of the volume; its plan must have a limit.
    pub volume: String,
    /// Start of the period.
    pub from: Span,
    /// End of the period.
    pub to: Span,
    /// Least fraction of the limit.
    pub at_least: f64,
    /// Greatest fraction of the limit; unbounded if absent.
    pub at_most: Option<f64>,
}

/// Settings of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTable {
    /// How long clients send requests.
    pub length: Span,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: u16,
    /// Delay with which the directory passes changes on to hosts.
    #[serde(rename = "directory_late", default)]
    pub directory_delay: Span,
    /// Tolerance of the rule checker: how much later than it happened an event may be recorded.
    #[serde(default = "default_margin")]
    pub margin: Span,
}

/// The tolerance of the rule checker where the scenario sets none: 300 ms.
fn default_margin() -> Span {
    Span::from_ms(300.0)
}

/// The nodes, all with the same settings. Shards are numbered from 0, node ids from 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodesTable {
    /// Number of nodes.
    pub count: u16,
    /// Racks over which the nodes are distributed; the nodes of a rack share their memory of idempotency
    /// keys.
    #[serde(default = "one")]
    pub racks: u16,
    /// Nodes that serve the same shard.
    #[serde(default = "one")]
    pub replicas: u16,
    /// Cores of each node.
    pub cores: u16,
    /// Capacity of the request queue of a node; it rejects requests beyond it.
    #[serde(rename = "waiting")]
    pub queue_capacity: u16,
    /// Processing time of one unit on a core of a warm node.
    #[serde(rename = "work")]
    pub unit_work: Span,
    /// Fraction of the work of a write that is done after its response.
    #[serde(rename = "deferred", default)]
    pub deferred_fraction: f64,
    /// How long a rack remembers idempotency keys and suppresses repeats.
    #[serde(rename = "repeats_dropped")]
    pub repeat_window: Span,
}

fn one() -> u16 {
    1
}

/// A group of clients with the same settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTable {
    /// Name of the group, followed by a number for each client.
    pub name: String,
    /// Number of clients.
    #[serde(default = "one")]
    pub count: u16,
    /// Name of the volume; each client uses an equal share of its blocks exclusively.
    pub volume: String,
    /// Number of the host that they all use; distributed over all hosts if absent.
    pub host: Option<u16>,
    /// Requests per second of each client.
    pub rate: f64,
    /// Fraction of the requests that are writes.
    #[serde(rename = "writes", default)]
    pub write_fraction: f64,
    /// Fraction that are COMPARE AND WRITE.
    #[serde(rename = "compares", default)]
    pub compare_and_write_fraction: f64,
    /// Fraction that are flushes.
    #[serde(rename = "flushes", default)]
    pub flush_fraction: f64,
    /// Size of a small request in blocks.
    #[serde(rename = "small", default = "default_small_blocks")]
    pub small_blocks: u32,
    /// Size of a large read in blocks.
    #[serde(rename = "large", default = "default_large_blocks")]
    pub large_blocks: u32,
    /// Fraction of the reads that are large.
    #[serde(rename = "large_part", default)]
    pub large_read_fraction: f64,
    /// Fraction of the requests that are aborted shortly after they were sent.
    #[serde(rename = "aborts", default)]
    pub abort_fraction: f64,
    /// Most retries of a refused request.
    #[serde(rename = "retries", default)]
    pub max_retries: u32,
}

fn default_small_blocks() -> u32 {
    8
}

fn default_large_blocks() -> u32 {
    256
}

/// A fault or another event.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventTable {
    /// When it happens.
    pub at: Span,
    /// What happens.
    #[serde(rename = "do")]
    pub what: EventKind,
    /// Id of the affected node.
    pub node: Option<u32>,
    /// Number of the affected host.
    pub host: Option<u16>,
    /// Number of the host at the other end of the affected link.
    pub peer: Option<u16>,
    /// Fault of the disk: `full`, `fsync`, `torn`, `read-only`, or `stall MILLISECONDS`.
    pub disk: Option<String>,
    /// Name of the affected group of clients.
    pub client: Option<String>,
    /// How long it lasts; to the end of the scenario if absent.
    #[serde(rename = "for")]
    pub lasts: Option<Span>,
    /// Parameter of the event: a factor, a number of groups, milliseconds or a fraction, as its kind says.
    pub times: Option<f64>,
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A node accepts requests and sends no responses.
    Hang,
    /// A node is slower by the factor `times`.
    Slow,
    /// A node closes its connections once.
    Reset,
    /// A node closes a connection between an R2T and its data.
    ResetAtR2t,
    /// A node rejects all requests as full.
    TurnAway,
    /// A node forgets idempotency keys and does not suppress repeats.
    ForgetRepeats,
    /// A node is paused for `for`.
    StandStill,
    /// A node is killed, and restarts cold after `for`.
    Die,
    /// A node drains for `for`, and is then replaced by a cold one.
    Drain,
    /// A host stalls for `for`.
    HostStall,
    /// A host is killed, and restarts after `for`.
    HostKill,
    /// Clients multiply their rate by `times`.
    Surge,
    /// Clients close their connections and reconnect.
    Leave,
    /// The directory responds with errors.
    DirectoryDown,
    /// A host's process is stopped (SIGSTOP), and continues after `for`.
    HostStop,
    /// A host receives SIGTERM, shuts down, and restarts after `for`.
    HostTerm,
    /// The link between `host` and `peer`, or between `host` and all others, is cut. Data is delivered
    /// only when the cut ends.
    Cut,
    /// The link from `host` to `peer`, or to all others, is cut in this direction alone.
    CutOneWay,
    /// The hosts are partitioned into `times` groups.
    Split,
    /// Each host reaches only the hosts with the next lower and next higher number.
    Ring,
    /// Each message from `host` is delayed by `times` milliseconds.
    SlowLink,
    /// The fraction `times` of the messages from `host` is lost.
    DropLink,
    /// Messages from `host` are delivered again about `times` milliseconds later.
    RepeatLink,
    /// The connections of `host` to voters are closed in the middle of a message.
    ResetLink,
    /// The messages of `host` to voters are delivered byte by byte.
    Trickle,
    /// The disk of `host` has the fault `disk`.
    Disk,
}

/// Why a scenario is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or has an unknown key or a value of the wrong type.
    #[error("{0}")]
    Syntax(String),
    /// A value is invalid.
    #[error("{entry}: {problem}")]
    Value {
        /// Table or key that holds it.
        entry: String,
        /// What is wrong and what is expected.
        problem: String,
    },
}

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn from_toml(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| ScenarioError::Syntax(e.to_string()))?;
        let invalid =
            |entry: String, problem: &str| Err(ScenarioError::Value { entry, problem: problem.to_owned() });
        if scenario.run.hosts == 0
            || scenario.nodes.count == 0
            || scenario.nodes.cores == 0
            || scenario.nodes.racks == 0
        {
            return invalid(
                "day".to_owned(),
                "`hosts`, and `count`, `cores` and `racks` of [nodes], must be at least 1",
            );
        }
        if scenario.run.length.ms() < 100.0 || scenario.run.length.ms() > 600_000.0 {
            return invalid("day.length".to_owned(), "must be between 100ms and 10min");
        }
        for c in &scenario.clients {
            let fractions = [
                c.write_fraction,
                c.compare_and_write_fraction,
                c.flush_fraction,
                c.large_read_fraction,
                c.abort_fraction,
            ];
            if c.rate.is_nan() || !(0.0..=100_000.0).contains(&c.rate) {
                return invalid(format!("client `{}`", c.name), "`rate` must be between 0 and 100000");
            }
            let is_invalid = |p: &f64| !(0.0..=1.0).contains(p);
            if fractions.iter().any(is_invalid)
                || c.write_fraction + c.compare_and_write_fraction + c.flush_fraction > 1.0
            {
                return invalid(
                    format!("client `{}`", c.name),
                    "fractions must be between 0 and 1, and the sum of `writes`, `compares` and `flushes` at most 1",
                );
            }
            if c.count == 0 || c.small_blocks == 0 || c.large_blocks == 0 {
                return invalid(
                    format!("client `{}`", c.name),
                    "`count`, `small` and `large` must be at least 1",
                );
            }
        }
        if let Some(c) = scenario.clients.iter().find(|c| c.host.is_some_and(|h| h >= scenario.run.hosts)) {
            return invalid(format!("client `{}`", c.name), "there is no such host");
        }
        for (i, e) in scenario.expectations.iter().enumerate() {
            let is_valid = (0.0..=10.0).contains(&e.at_least) && e.to.ms() > e.from.ms();
            if !is_valid || e.to.ms() > scenario.run.length.ms() {
                return invalid(
                    format!("expect[{i}]"),
                    "`at_least` must be between 0 and 10, `to` later than `from` and not later than day.length",
                );
            }
        }
        for (i, e) in scenario.events.iter().enumerate() {
            let entry = format!("event[{i}]");
            use EventKind as K;
            let (node, host, client) = match e.what {
                K::HostStall | K::HostKill | K::HostStop | K::HostTerm => (false, true, false),
                K::Cut | K::CutOneWay | K::SlowLink | K::DropLink | K::RepeatLink => (false, true, false),
                K::ResetLink | K::Trickle | K::Disk => (false, true, false),
                K::Surge | K::Leave => (false, false, true),
                K::DirectoryDown | K::Split | K::Ring => (false, false, false),
                _ => (true, false, false),
            };
            if node != e.node.is_some() || host != e.host.is_some() || client != e.client.is_some() {
                return invalid(entry, "must name exactly what its kind affects: a `node`, a `host`, a `client`, or none of them");
            }
            if e.node.is_some_and(|n| n == 0 || n > u32::from(scenario.nodes.count)) {
                return invalid(entry, "there is no such node");
            }
            if e.host.iter().chain(&e.peer).any(|h| *h >= scenario.run.hosts) {
                return invalid(entry, "there is no such host");
            }
            if e.client.as_ref().is_some_and(|n| scenario.clients.iter().all(|c| c.name != *n)) {
                return invalid(entry, "there is no such client");
            }
            let needs_duration = matches!(e.what, K::HostStall | K::StandStill);
            if needs_duration && e.lasts.is_none() {
                return invalid(entry, "requires `for`");
            }
            if e.peer.is_some() && (!matches!(e.what, K::Cut | K::CutOneWay) || e.peer == e.host) {
                return invalid(entry, "`peer` must be another host than `host`, and is allowed for `cut` and `cut-one-way` alone");
            }
            if (e.what == K::Disk) != e.disk.is_some() {
                return invalid(entry, "`disk` is required for the kind `disk`, and not allowed for others");
            }
            let needs_times = matches!(e.what, K::SlowLink | K::DropLink | K::RepeatLink | K::Split);
            if needs_times && e.times.is_none_or(|t| t.is_nan() || t <= 0.0) {
                return invalid(entry, "requires `times` above 0");
            }
            if matches!(e.what, K::Slow | K::Surge) && e.times.is_none_or(|t| t.is_nan() || t <= 0.0) {
                return invalid(entry, "requires `times` above 0");
            }
        }
        Ok(scenario)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn errors_of_a_scenario_name_the_invalid_entry() {
        let valid = include_str!("../days/bad-day.toml");
        Scenario::from_toml(valid).unwrap_or_else(|e| panic!("{e}"));
        for (from, to, expected) in [
            ("hosts = 2", "hosts = 0", "hosts"),
            ("do = \"hang\"", "do = \"sleep\"", "sleep"),
            ("node = 2", "node = 99", "no such node"),
            ("node = 2", "host = 0", "must name exactly what its kind affects"),
            ("length = ", "lenght = ", "lenght"),
            ("writes = 0.4", "writes = 1.4", "fractions"),
        ] {
            assert!(valid.contains(from), "{from}");
            let error = Scenario::from_toml(&valid.replacen(from, to, 1)).expect_err(to).to_string();
            assert!(error.contains(expected), "{to}: {error}");
        }
    }
}
