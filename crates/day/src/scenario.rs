//! A scripted day as a TOML file: nodes, clients, and troubles at their times.

use pearfork_host::units::Span;
use serde::Deserialize;

/// A day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Length, hosts, seed.
    #[serde(rename = "day")]
    pub run: RunTable,
    /// The nodes.
    pub nodes: NodesTable,
    /// The clients.
    #[serde(rename = "client")]
    pub clients: Vec<ClientTable>,
    /// The troubles.
    #[serde(rename = "event", default)]
    pub events: Vec<EventTable>,
    /// What is promised of volumes with a limit.
    #[serde(rename = "expect", default)]
    pub expectations: Vec<ExpectTable>,
}

/// A promise of how much of a volume's limit is used, in a stretch of the day.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectTable {
    /// The volume; its plan has a limit.
    pub volume: String,
    /// From when.
    pub from: Span,
    /// To when.
    pub to: Span,
    /// Part of the limit at the least.
    pub at_least: f64,
    /// And at the most.
    pub at_most: Option<f64>,
}

/// Length, hosts, seed.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTable {
    /// How long clients offer load.
    pub length: Span,
    /// Seed of all draws.
    pub seed: u64,
    /// Hosts that share nothing.
    pub hosts: u16,
    /// How late hosts learn of what the directory learns.
    #[serde(default)]
    pub directory_late: Span,
    /// How much later than it happened a thing may be noted.
    #[serde(default = "margin")]
    pub margin: Span,
}

fn margin() -> Span {
    Span::from_ms(300.0)
}

/// The nodes, all alike, their shards from 0 on; ids count from 1.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodesTable {
    /// How many.
    pub count: u16,
    /// Racks over which they are dealt out; those of one share the memory of keys.
    #[serde(default = "one")]
    pub racks: u16,
    /// Nodes that hold the same shard.
    #[serde(default = "one")]
    pub replicas: u16,
    /// Cores of each.
    pub cores: u16,
    /// Requests that wait at the most.
    pub waiting: u16,
    /// Work of one unit on one warm core.
    pub work: Span,
    /// Part of a write's work that is put off.
    #[serde(default)]
    pub deferred: f64,
    /// How long a rack drops repeats.
    pub repeats_dropped: Span,
}

fn one() -> u16 {
    1
}

/// Clients that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientTable {
    /// Name; the clients of several have a number after it.
    pub name: String,
    /// How many.
    #[serde(default = "one")]
    pub count: u16,
    /// Name of the volume; each client has an even part of it alone.
    pub volume: String,
    /// The host that they all use; dealt out over all hosts where absent.
    pub host: Option<u16>,
    /// Requests a second of each.
    pub rate: f64,
    /// Part that writes.
    #[serde(default)]
    pub writes: f64,
    /// Part that compares and writes.
    #[serde(default)]
    pub compares: f64,
    /// Part that flushes.
    #[serde(default)]
    pub flushes: f64,
    /// Blocks of a small request.
    #[serde(default = "eight")]
    pub small: u32,
    /// Blocks of a large read.
    #[serde(default = "large")]
    pub large: u32,
    /// Part of the reads that is large.
    #[serde(default)]
    pub large_part: f64,
    /// Part that is aborted soon after.
    #[serde(default)]
    pub aborts: f64,
    /// How often a refused request comes again.
    #[serde(default)]
    pub retries: u32,
}

fn eight() -> u32 {
    8
}

fn large() -> u32 {
    256
}

/// A trouble.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventTable {
    /// When.
    pub at: Span,
    /// What.
    #[serde(rename = "do")]
    pub what: EventKind,
    /// To which node, host or client (by name).
    pub node: Option<u32>,
    /// Host.
    pub host: Option<u16>,
    /// The host at the other end of a link.
    pub peer: Option<u16>,
    /// What a disk does: `full`, `fsync`, `torn`, `read-only`, or `stall MILLISECONDS`.
    pub disk: Option<String>,
    /// Client table.
    pub client: Option<String>,
    /// For how long; until the end where absent.
    #[serde(rename = "for")]
    pub lasts: Option<Span>,
    /// A factor, where the trouble has one.
    pub times: Option<f64>,
}

/// Kinds of trouble.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A node takes work and answers nothing.
    Hang,
    /// A node works `times` slower.
    Slow,
    /// A node drops its connections once.
    Reset,
    /// A node drops a connection between an R2T and its data.
    ResetAtR2t,
    /// A node turns all away as full.
    TurnAway,
    /// A node forgets to drop repeats.
    ForgetRepeats,
    /// A node stands still.
    StandStill,
    /// A node dies, and is back cold after `for`.
    Die,
    /// A node drains for `for`, is then gone and replaced cold.
    Drain,
    /// A host stands still.
    HostStall,
    /// A host is killed, and is back after `for`.
    HostKill,
    /// Clients offer `times` their rate.
    Surge,
    /// Clients drop their connections and come again.
    Leave,
    /// The directory answers errors.
    DirectoryDown,
    /// A host's process is stopped (SIGSTOP), and goes on after `for`.
    HostStop,
    /// A host is asked to end (SIGTERM), and is started again after `for`.
    HostTerm,
    /// Nothing passes between `host` and `peer`, or between `host` and all others; it comes late, when the cut ends.
    Cut,
    /// Nothing passes from `host` to `peer`, or to all others.
    CutOneWay,
    /// The hosts fall into `times` groups that do not hear each other.
    Split,
    /// Each host hears its neighbours by number alone.
    Ring,
    /// Each message from `host` takes `times` milliseconds more.
    SlowLink,
    /// Of the messages from `host` this part (`times`) is lost.
    DropLink,
    /// Messages from `host` come again, about `times` milliseconds late.
    RepeatLink,
    /// The connections of `host` to voters break, in the middle of a message.
    ResetLink,
    /// What `host` says to voters comes byte by byte.
    Trickle,
    /// The disk of `host` has a trouble (`disk`).
    Disk,
}

/// A day that can't be played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ScenarioError {
    /// Not TOML, an unknown key, or a value of the wrong kind.
    #[error("{0}")]
    Syntax(String),
    /// What does not go together.
    #[error("{entry}: {what}")]
    Value {
        /// Which table.
        entry: String,
        /// What is wrong.
        what: String,
    },
}

impl Scenario {
    /// Reads and checks a day.
    ///
    /// # Errors
    /// The first fault.
    pub fn from_toml(text: &str) -> Result<Scenario, ScenarioError> {
        let day: Scenario = toml::from_str(text).map_err(|e| ScenarioError::Syntax(e.to_string()))?;
        let bad = |entry: String, what: &str| Err(ScenarioError::Value { entry, what: what.to_owned() });
        if day.run.hosts == 0 || day.nodes.count == 0 || day.nodes.cores == 0 || day.nodes.racks == 0 {
            return bad("day".to_owned(), "hosts, nodes, cores and racks must be 1 at least");
        }
        if day.run.length.ms() < 100.0 || day.run.length.ms() > 600_000.0 {
            return bad("day.length".to_owned(), "must lie between 100ms and 10min");
        }
        for c in &day.clients {
            let parts = [c.writes, c.compares, c.flushes, c.large_part, c.aborts];
            if c.rate.is_nan() || !(0.0..=100_000.0).contains(&c.rate) {
                return bad(format!("client `{}`", c.name), "rate must lie between 0 and 100000");
            }
            let unfit = |p: &f64| !(0.0..=1.0).contains(p);
            if parts.iter().any(unfit) || c.writes + c.compares + c.flushes > 1.0 {
                return bad(
                    format!("client `{}`", c.name),
                    "parts must lie between 0 and 1, and not add up to more",
                );
            }
            if c.count == 0 || c.small == 0 || c.large == 0 {
                return bad(format!("client `{}`", c.name), "count, small and large must be 1 at least");
            }
        }
        if let Some(c) = day.clients.iter().find(|c| c.host.is_some_and(|h| h >= day.run.hosts)) {
            return bad(format!("client `{}`", c.name), "there is no such host");
        }
        for (i, e) in day.expectations.iter().enumerate() {
            let sane = (0.0..=10.0).contains(&e.at_least) && e.to.ms() > e.from.ms();
            if !sane || e.to.ms() > day.run.length.ms() {
                return bad(
                    format!("expect[{i}]"),
                    "from, to and at_least must make sense, and end within the day",
                );
            }
        }
        for (i, e) in day.events.iter().enumerate() {
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
                return bad(entry, "names what its kind does not strike, or does not name what it strikes");
            }
            if e.node.is_some_and(|n| n == 0 || n > u32::from(day.nodes.count)) {
                return bad(entry, "there is no such node");
            }
            if e.host.iter().chain(&e.peer).any(|h| *h >= day.run.hosts) {
                return bad(entry, "there is no such host");
            }
            if e.client.as_ref().is_some_and(|n| day.clients.iter().all(|c| c.name != *n)) {
                return bad(entry, "there is no such client");
            }
            let timed = matches!(e.what, K::HostStall | K::StandStill);
            if timed && e.lasts.is_none() {
                return bad(entry, "needs `for`");
            }
            if e.peer.is_some() && (!matches!(e.what, K::Cut | K::CutOneWay) || e.peer == e.host) {
                return bad(entry, "`peer` is the other end of a link that is cut");
            }
            if (e.what == K::Disk) != e.disk.is_some() {
                return bad(entry, "a disk needs `disk`, and nothing else has it");
            }
            let factor = matches!(e.what, K::SlowLink | K::DropLink | K::RepeatLink | K::Split);
            if factor && e.times.is_none_or(|t| t.is_nan() || t <= 0.0) {
                return bad(entry, "needs `times`, above 0");
            }
            if matches!(e.what, K::Slow | K::Surge) && e.times.is_none_or(|t| t.is_nan() || t <= 0.0) {
                return bad(entry, "needs `times`, above 0");
            }
        }
        Ok(day)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_of_a_day_name_their_table() {
        let good = include_str!("../days/bad-day.toml");
        Scenario::from_toml(good).unwrap_or_else(|e| panic!("{e}"));
        for (from, to, want) in [
            ("hosts = 2", "hosts = 0", "hosts"),
            ("do = \"hang\"", "do = \"sleep\"", "sleep"),
            ("node = 2", "node = 99", "no such node"),
            ("node = 2", "host = 0", "strikes"),
            ("length = ", "lenght = ", "lenght"),
            ("writes = 0.4", "writes = 1.4", "parts"),
        ] {
            assert!(good.contains(from), "{from}");
            let told = Scenario::from_toml(&good.replacen(from, to, 1)).expect_err(to).to_string();
            assert!(told.contains(want), "{to}: {told}");
        }
    }
}
