//! Fractions of a budget.

use serde::{Deserialize, Serialize};

/// A fraction of a budget, in billionths of the whole. An integer, so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fraction(pub u64);

/// Upper bound of [`Fraction::from_f64`], in multiples of the whole.
const MAX_FROM_F64: f64 = 1_000.0;

impl Fraction {
    /// The whole budget.
    pub const WHOLE: Fraction = Fraction(1_000_000_000);
    /// Nothing of the budget.
    pub const ZERO: Fraction = Fraction(0);

    /// Converts a number, rounding down. NaN and negative numbers become zero; the result is at most 1,000
    /// wholes.
    pub fn from_f64(fraction: f64) -> Fraction {
        // `as u64` saturates and turns NaN into 0.
        Fraction((fraction.min(MAX_FROM_F64) * Fraction::WHOLE.0 as f64) as u64)
    }

    /// As a number; the whole is 1.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / Fraction::WHOLE.0 as f64
    }

    /// Sum, capped at the maximum of the type.
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
