//! Measures the demand for a budget.

use crate::fraction::Fraction;
use std::collections::VecDeque;

/// Shortest window over which demand is measured, in milliseconds: a few renewals of the holder.
const MIN_WINDOW_MS: f64 = 600.0;
/// Longest such window, in milliseconds.
const MAX_WINDOW_MS: f64 = 10_000.0;
/// Number of buckets that a window is divided into.
const BUCKETS: f64 = 16.0;
/// Lower bound of the rate, in units per second; avoids a division by zero.
const MIN_RATE: f64 = 1e-6;

/// Units that were requested in one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start_ms: f64,
    units: f64,
}

/// Measures the demand for one budget in a sliding window. Units older than the window do not count, so that
/// a load that moves to another host soon frees its whole share here.
#[derive(Clone, Debug)]
pub struct DemandMeter {
    rate: f64,
    window_ms: f64,
    buckets: VecDeque<Bucket>,
}

impl DemandMeter {
    /// A meter for a budget of `rate` units per second, of which one request takes up to `max_request_units`.
    pub fn new(rate: f64, max_request_units: f64) -> DemandMeter {
        // With a rate of one unit per second requests are seconds apart. A shorter window would take each gap
        // between two of them for the end of the load.
        let request_interval_ms = 1_000.0 * max_request_units.max(0.0) / rate.max(MIN_RATE);
        DemandMeter {
            rate,
            window_ms: (MIN_WINDOW_MS + request_interval_ms).min(MAX_WINDOW_MS),
            buckets: VecDeque::new(),
        }
    }

    /// Adds the units that were requested since the last call. Returns the demand, as a fraction of the
    /// whole.
    pub fn record(&mut self, now: f64, units: f64) -> Fraction {
        if units > 0.0 {
            match self.buckets.back_mut() {
                Some(last) if now - last.start_ms < self.window_ms / BUCKETS => last.units += units,
                _ => self.buckets.push_back(Bucket { start_ms: now, units }),
            }
        }
        while self.buckets.front().is_some_and(|first| now - first.start_ms > self.window_ms) {
            self.buckets.pop_front();
        }
        let requested: f64 = self.buckets.iter().map(|bucket| bucket.units).sum();
        if requested <= 0.0 {
            return Fraction::ZERO;
        }
        // Any request at all counts as demand, however large the whole.
        let demand = requested * 1_000.0 / self.window_ms / self.rate.max(MIN_RATE);
        Fraction::from_f64(demand).max(Fraction(1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn demand_counts_within_the_window_and_not_after_it() {
        let mut meter = DemandMeter::new(100.0, 5.0);
        let mut demand = Fraction::ZERO;
        for step in 0..50 {
            demand = meter.record(f64::from(step) * 50.0, 5.0);
        }
        assert!((demand.as_f64() - 1.0).abs() < 0.15, "{demand}");
        assert_eq!(meter.record(2_450.0 + 800.0, 0.0), Fraction::ZERO);
        // One unit every four seconds of a budget of one unit per second is a constant demand of about a
        // quarter.
        let mut slow = DemandMeter::new(1.0, 8.0);
        for step in 0..40 {
            demand = slow.record(f64::from(step) * 1_000.0, if step % 4 == 0 { 1.0 } else { 0.0 });
            assert!(step < 8 || (0.1..0.5).contains(&demand.as_f64()), "{step}: {demand}");
        }
    }
}
