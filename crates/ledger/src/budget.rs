//! Names of hosts, processes and budgets.

use serde::{Deserialize, Serialize};

/// A host's number in the settings of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostNumber(pub u16);

/// One process of a host. The ledger gives the number when the process joins, and never again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// What a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Rate of a volume with a limit (rule 7).
    Limit,
    /// Burst of such a volume (rule 7). Apart from the rate: a host that sends now and then needs room for its largest
    /// request, and hardly any of the rate.
    Burst,
    /// Units that a cold node bears from all hosts (rule 4).
    Cold,
    /// Retries of all hosts (rule 6).
    Retry,
    /// Connections at a node.
    Connections,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 5] = [Kind::Limit, Kind::Burst, Kind::Cold, Kind::Retry, Kind::Connections];

    /// The prefix of its budgets' names.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Limit => "limit",
            Kind::Burst => "burst",
            Kind::Cold => "cold",
            Kind::Retry => "retry",
            Kind::Connections => "connections",
        }
    }
}

/// Names a budget: its kind, a slash, and the name of what it limits, as in `limit/archive`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Budget(String);

impl Budget {
    /// The budget of a kind with this name.
    pub fn new(kind: Kind, name: &str) -> Budget {
        Budget(format!("{}/{name}", kind.prefix()))
    }

    /// Its kind; none for a kind that only another release knows. Such a budget is divided like any other.
    pub fn kind(&self) -> Option<Kind> {
        let prefix = self.0.split('/').next()?;
        Kind::ALL.into_iter().find(|k| k.prefix() == prefix)
    }

    /// The name of what it limits.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or(&self.0, |(_, name)| name)
    }
}

impl std::fmt::Display for Budget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
