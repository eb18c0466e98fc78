//! What clients ask for of late, as a part of a whole.

use crate::budget::Fraction;
use std::collections::VecDeque;

/// The span over which demand is counted at the least, milliseconds: a few asks of the ledger.
const SPAN_MS: f64 = 600.0;
/// And at the most.
const SPAN_MOST_MS: f64 = 10_000.0;
/// Counts within a span are kept in so many steps.
const STEPS: f64 = 16.0;

/// Counts what is asked of one budget. Nothing fades: what was asked before the span is forgotten whole, so that a load
/// that has gone elsewhere frees all it had.
#[derive(Clone, Debug)]
pub struct Meter {
    rate: f64,
    span_ms: f64,
    counts: VecDeque<(f64, f64)>,
}

impl Meter {
    /// For a whole of so many units a second, of which one request may ask for `largest`.
    pub fn new(rate: f64, largest: f64) -> Meter {
        // Danger: where the whole is a unit a second, requests are seconds apart, and each pause would look like an end.
        let apart_ms = 1_000.0 * largest.max(0.0) / rate.max(1e-6);
        Meter { rate, span_ms: (SPAN_MS + apart_ms).min(SPAN_MOST_MS), counts: VecDeque::new() }
    }

    /// So much was asked up to now since the last call; the demand, as a fraction of the whole.
    pub fn count(&mut self, now: f64, units: f64) -> Fraction {
        if units > 0.0 {
            match self.counts.back_mut() {
                Some((at, sum)) if now - *at < self.span_ms / STEPS => *sum += units,
                _ => self.counts.push_back((now, units)),
            }
        }
        while self.counts.front().is_some_and(|(at, _)| now - *at > self.span_ms) {
            self.counts.pop_front();
        }
        let asked: f64 = self.counts.iter().map(|(_, units)| units).sum();
        // What is asked once at least is some demand, however large the whole.
        let fraction = Fraction::from_f64(asked * 1_000.0 / self.span_ms / self.rate.max(1e-6));
        if asked > 0.0 {
            fraction.max(Fraction(1))
        } else {
            Fraction::ZERO
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_is_measured_within_its_span_and_forgotten_after_it() {
        let mut meter = Meter::new(100.0, 5.0);
        let mut demand = Fraction::ZERO;
        for step in 0..50 {
            demand = meter.count(f64::from(step) * 50.0, 5.0);
        }
        assert!((demand.as_f64() - 1.0).abs() < 0.15, "{demand}");
        assert_eq!(meter.count(2_450.0 + 800.0, 0.0), Fraction::ZERO);
        // One request in four seconds of a whole of one a second is a quarter of it, all the time.
        let mut slow = Meter::new(1.0, 8.0);
        for step in 0..40 {
            demand = slow.count(f64::from(step) * 1_000.0, if step % 4 == 0 { 1.0 } else { 0.0 });
            assert!(step < 8 || (0.1..0.5).contains(&demand.as_f64()), "{step}: {demand}");
        }
    }
}
