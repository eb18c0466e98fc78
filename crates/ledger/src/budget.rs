//! Names and amounts.

use serde::{Deserialize, Serialize};

/// A host's number in the settings of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostNumber(pub u16);

/// One process of a host: given by the ledger when it joins, and to no other ever after.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A part of a whole, in billionths: whole numbers, so that parts add up to what they add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(pub u64);

impl Fraction {
    /// All of it.
    pub const WHOLE: Fraction = Fraction(1_000_000_000);
    /// Nothing.
    pub const ZERO: Fraction = Fraction(0);

    /// A fraction, rounded down; what is no number or below 0 is nothing, and nothing exceeds 1,000 wholes.
    pub fn from_f64(fraction: f64) -> Fraction {
        // A cast from a float saturates, and takes NaN for 0.
        Fraction((fraction.min(1_000.0) * Fraction::WHOLE.0 as f64) as u64)
    }

    /// As a fraction of the whole.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / Fraction::WHOLE.0 as f64
    }

    /// Sum, at most what the type holds.
    pub fn saturating_add(self, other: Fraction) -> Fraction {
        Fraction(self.0.saturating_add(other.0))
    }

    /// Difference, at least nothing.
    pub fn saturating_sub(self, other: Fraction) -> Fraction {
        Fraction(self.0.saturating_sub(other.0))
    }
}

impl std::iter::Sum for Fraction {
    fn sum<I: Iterator<Item = Fraction>>(parts: I) -> Fraction {
        parts.fold(Fraction::ZERO, Fraction::saturating_add)
    }
}

impl std::fmt::Display for Fraction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} %", self.as_f64() * 100.0)
    }
}

/// What kind of whole a budget is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// Rate of a volume with a limit (rule 7).
    Limit,
    /// What such a volume's store holds (rule 7). Apart from the rate: a host that asks now and then needs room for its
    /// largest request, and hardly any of the rate.
    Burst,
    /// Units that a cold node bears from all hosts (rule 4).
    Cold,
    /// Further attempts of all hosts (rule 6).
    Retry,
    /// Connections at a node.
    Connections,
}

impl Kind {
    /// All of them.
    pub const ALL: [Kind; 5] = [Kind::Limit, Kind::Burst, Kind::Cold, Kind::Retry, Kind::Connections];

    /// The word with which names of its budgets begin.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Limit => "limit",
            Kind::Burst => "burst",
            Kind::Cold => "cold",
            Kind::Retry => "retry",
            Kind::Connections => "connections",
        }
    }
}

/// Names a budget: its kind, a slash, and what it is of, as `limit/archive`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Budget(String);

impl Budget {
    /// The budget of a kind with this name.
    pub fn new(kind: Kind, name: &str) -> Budget {
        Budget(format!("{}/{name}", kind.word()))
    }

    /// Its kind; none where another release knows more kinds than this one. Such a budget is divided like any other.
    pub fn kind(&self) -> Option<Kind> {
        let word = self.0.split('/').next()?;
        Kind::ALL.into_iter().find(|k| k.word() == word)
    }

    /// What it is of.
    pub fn name(&self) -> &str {
        self.0.split_once('/').map_or(&self.0, |(_, name)| name)
    }
}

impl std::fmt::Display for Budget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
