//! Measures the demand for a budget.

use crate::fraction::Fraction;
use std::collections::VecDeque;

/// The least span over which demand is counted, milliseconds: a few requests of the holder.
const MIN_SPAN_MS: f64 = 600.0;
/// The longest such span.
const MAX_SPAN_MS: f64 = 10_000.0;
/// Counts within a span are kept in so many steps.
const STEPS: f64 = 16.0;
/// The least rate that is reckoned with, units a second.
const MIN_RATE: f64 = 1e-6;

/// Units that were requested from a moment on, for one step.
#[derive(Clone, Copy, Debug)]
struct Count {
    at_ms: f64,
    units: f64,
}

/// Counts what is requested of one budget, in a sliding window. What is older than the window counts for nothing, so
/// that a load that moved to another host frees all that it had.
#[derive(Clone, Debug)]
pub struct Meter {
    rate: f64,
    span_ms: f64,
    counts: VecDeque<Count>,
}

impl Meter {
    /// For a budget of so many units a second, of which one request may take `largest`.
    pub fn new(rate: f64, largest: f64) -> Meter {
        // Danger: where the whole is a unit a second, requests are seconds apart, and each pause would look like an end.
        let apart_ms = 1_000.0 * largest.max(0.0) / rate.max(MIN_RATE);
        Meter { rate, span_ms: (MIN_SPAN_MS + apart_ms).min(MAX_SPAN_MS), counts: VecDeque::new() }
    }

    /// Counts the units that were requested since the last call; the demand, as a fraction of the whole.
    pub fn count(&mut self, now: f64, units: f64) -> Fraction {
        if units > 0.0 {
            match self.counts.back_mut() {
                Some(last) if now - last.at_ms < self.span_ms / STEPS => last.units += units,
                _ => self.counts.push_back(Count { at_ms: now, units }),
            }
        }
        while self.counts.front().is_some_and(|first| now - first.at_ms > self.span_ms) {
            self.counts.pop_front();
        }
        let requested: f64 = self.counts.iter().map(|count| count.units).sum();
        if requested <= 0.0 {
            return Fraction::ZERO;
        }
        // Any request at all is some demand, however large the whole.
        let demand = requested * 1_000.0 / self.span_ms / self.rate.max(MIN_RATE);
        Fraction::from_f64(demand).max(Fraction(1))
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
