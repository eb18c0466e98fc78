//! Identifiers of hosts, processes and budgets.

use serde::{Deserialize, Serialize};

/// A host's number in the settings of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostNumber(pub u16);

/// Identifies one process of a host. The ledger assigns the number when the process joins and never reuses
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The resource that a budget limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum BudgetKind {
    /// Rate limit of a volume (rule 7).
    Limit,
    /// Burst size of a volume with a rate limit (rule 7). It is separate from the rate because a host that
    /// sends occasionally needs burst for its largest request, but hardly any of the rate.
    Burst,
    /// Units that all hosts together may send to a cold node (rule 4).
    ColdNode,
    /// Retries of all hosts (rule 6).
    Retry,
    /// Connections of all hosts to a node.
    Connections,
}

impl BudgetKind {
    /// All kinds.
    pub const ALL: [BudgetKind; 5] = [
        BudgetKind::Limit,
        BudgetKind::Burst,
        BudgetKind::ColdNode,
        BudgetKind::Retry,
        BudgetKind::Connections,
    ];

    /// The prefix of the names of budgets of this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            BudgetKind::Limit => "limit",
            BudgetKind::Burst => "burst",
            BudgetKind::ColdNode => "cold",
            BudgetKind::Retry => "retry",
            BudgetKind::Connections => "connections",
        }
    }
}

/// The name of a budget: its kind, a slash, and the name of the limited resource, as in `limit/archive`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Budget(String);

impl Budget {
    /// The budget of this kind for the named resource.
    pub fn new(kind: BudgetKind, name: &str) -> Budget {
        Budget(format!("{}/{name}", kind.prefix()))
    }

    /// Its kind; none for a kind that this release does not know. Such a budget is divided like any other.
    pub fn kind(&self) -> Option<BudgetKind> {
        let prefix = self.0.split('/').next()?;
        BudgetKind::ALL.into_iter().find(|k| k.prefix() == prefix)
    }

    /// The name of the limited resource.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or(&self.0, |(_, name)| name)
    }
}

impl std::fmt::Display for Budget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
