//! Learns how long a link may stay idle before attempts on it get lost.
//!
//! A network may drop an idle connection without notice. An attempt written on it ends as a reset and may
//! have run. The settings state when idle connections are dropped at the latest; the actual time is learned
//! here from the outcome of attempts. A new connection costs one to three round trips; a lost attempt costs
//! its request time, and fails the request if a retry could do harm.

/// Idle times are grouped by powers of two of a millisecond: below 1, 2, 4, ... 32,768, and above.
const BUCKETS: usize = 17;
/// Half-life of recorded outcomes, so that an idle time once found too long is tried again.
const HALF_LIFE_MS: f64 = 10_000.0;
/// An idle time is too long if its loss rate exceeds that of shorter idle times by this much.
const MIN_EXCESS_LOSS: f64 = 0.1;
/// Minimum number of outcomes on both sides of a limit.
const MIN_OUTCOMES: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    lost: f64,
    total: f64,
}

impl Outcomes {
    fn loss_rate(self) -> f64 {
        self.lost / self.total.max(1.0)
    }
}

/// Outcomes of attempts by the idle time of their links.
#[derive(Debug)]
pub struct IdleLoss {
    buckets: [Outcomes; BUCKETS],
    decayed_at: f64,
    limit: f64,
}

impl Default for IdleLoss {
    fn default() -> Self {
        IdleLoss { buckets: Default::default(), decayed_at: 0.0, limit: f64::INFINITY }
    }
}

fn bucket(idle_ms: f64) -> usize {
    (0..BUCKETS - 1).find(|bucket| idle_ms < f64::from(1u32 << bucket)).unwrap_or(BUCKETS - 1)
}

impl IdleLoss {
    /// Records whether an attempt was lost that was written on a link after `idle_ms` without use (0 for a
    /// new link).
    pub fn record(&mut self, idle_ms: f64, lost: bool) {
        let outcomes = &mut self.buckets[bucket(idle_ms)];
        outcomes.total += 1.0;
        outcomes.lost += f64::from(u8::from(lost));
        self.update_limit();
    }

    /// Applies the half-life. `now` is the caller's time in milliseconds.
    pub fn decay(&mut self, now: f64) {
        let remaining = 0.5f64.powf((now - self.decayed_at).max(0.0) / HALF_LIFE_MS);
        self.decayed_at = now;
        for outcomes in &mut self.buckets {
            (outcomes.lost, outcomes.total) = (outcomes.lost * remaining, outcomes.total * remaining);
        }
        self.update_limit();
    }

    /// Idle time in milliseconds from which a link is not used again; infinite if no idle time was found too
    /// long.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Finds the shortest idle time from which the loss rate is clearly higher than below it.
    fn update_limit(&mut self) {
        let sum = |of: &[Outcomes]| {
            of.iter().fold(Outcomes::default(), |a, f| Outcomes {
                lost: a.lost + f.lost,
                total: a.total + f.total,
            })
        };
        let is_worse = |split: &usize| {
            let (below, from) = (sum(&self.buckets[..*split]), sum(&self.buckets[*split..]));
            from.total >= MIN_OUTCOMES
                && below.total >= MIN_OUTCOMES
                && from.loss_rate() > below.loss_rate() + MIN_EXCESS_LOSS
        };
        // Prefers the most significant split. If several are significant, all idle times below the chosen one
        // are usable.
        let significance = |split: &usize| {
            let (below, from) = (sum(&self.buckets[..*split]), sum(&self.buckets[*split..]));
            (from.loss_rate() - below.loss_rate()) * from.total.sqrt()
        };
        let split = (1..BUCKETS).filter(is_worse).max_by(|a, b| significance(a).total_cmp(&significance(b)));
        self.limit = split.map_or(f64::INFINITY, |split| f64::from(1u32 << (split - 1)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record_many(idle_loss: &mut IdleLoss, idle_ms: f64, lost: usize, of: usize) {
        (0..of).for_each(|i| idle_loss.record(idle_ms, i < lost));
    }

    #[test]
    fn there_is_no_limit_if_the_loss_rate_is_the_same_for_all_idle_times() {
        let mut idle_loss = IdleLoss::default();
        for idle_ms in [0.0, 3.0, 50.0, 300.0, 5_000.0] {
            record_many(&mut idle_loss, idle_ms, 0, 50);
        }
        assert_eq!(idle_loss.limit(), f64::INFINITY);
        for idle_ms in [0.0, 3.0, 50.0, 300.0, 5_000.0] {
            record_many(&mut idle_loss, idle_ms, 5, 50);
        }
        assert_eq!(idle_loss.limit(), f64::INFINITY);
    }

    /// Guards against a network that drops idle connections earlier than configured: every request after a
    /// pause would lose an attempt.
    #[test]
    fn the_idle_time_from_which_attempts_are_lost_is_found_and_later_forgotten() {
        let mut idle_loss = IdleLoss::default();
        record_many(&mut idle_loss, 0.0, 7, 100);
        for idle_ms in [1.5, 10.0, 40.0, 100.0] {
            record_many(&mut idle_loss, idle_ms, 3, 40);
        }
        for idle_ms in [150.0, 300.0, 700.0] {
            record_many(&mut idle_loss, idle_ms, 20, 50);
        }
        assert_eq!(idle_loss.limit(), 128.0);
        idle_loss.decay(1.0);
        idle_loss.decay(20_000.0);
        assert_eq!(idle_loss.limit(), 128.0);
        idle_loss.decay(80_000.0);
        assert_eq!(idle_loss.limit(), f64::INFINITY, "tried again after a while");
    }

    #[test]
    fn few_losses_set_no_limit_and_odd_numbers_cause_no_panic() {
        let mut idle_loss = IdleLoss::default();
        record_many(&mut idle_loss, 0.0, 0, 100);
        record_many(&mut idle_loss, 500.0, 4, 4);
        assert_eq!(idle_loss.limit(), f64::INFINITY);
        for odd in [f64::NAN, -1.0, f64::INFINITY, 1e300] {
            idle_loss.record(odd, true);
            idle_loss.decay(odd);
        }
        assert!(!idle_loss.limit().is_nan());
    }
}
