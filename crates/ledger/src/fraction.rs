//! Fractions of a budget.

use serde::{Deserialize, Serialize};

/// A fraction of a whole, in billionths: integers, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(pub u64);

/// The largest fraction that [`Fraction::from_f64`] gives, in wholes.
const MAX_WHOLES: f64 = 1_000.0;

impl Fraction {
    /// All of it.
    pub const WHOLE: Fraction = Fraction(1_000_000_000);
    /// Nothing.
    pub const ZERO: Fraction = Fraction(0);

    /// From a number, rounded down. NaN and what is below 0 are zero, and nothing exceeds 1,000 wholes.
    pub fn from_f64(fraction: f64) -> Fraction {
        // A cast from a float saturates, and takes NaN for 0.
        Fraction((fraction.min(MAX_WHOLES) * Fraction::WHOLE.0 as f64) as u64)
    }

    /// As a number, 1 for the whole.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / Fraction::WHOLE.0 as f64
    }

    /// Sum, at most what the type holds.
    pub fn saturating_add(self, other: Fraction) -> Fraction {
        Fraction(self.0.saturating_add(other.0))
    }

    /// Difference, at least zero.
    pub fn saturating_sub(self, other: Fraction) -> Fraction {
        Fraction(self.0.saturating_sub(other.0))
    }
}

impl std::iter::Sum for Fraction {
    fn sum<I: Iterator<Item = Fraction>>(fractions: I) -> Fraction {
        fractions.fold(Fraction::ZERO, Fraction::saturating_add)
    }
}

impl std::fmt::Display for Fraction {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:.3} %", self.as_f64() * 100.0)
    }
}
