//! How long a connection may rest and still be of use, learnt from what became of those that did.
//!
//! A machine may drop a connection that stands idle without a word; what is written on it then ends as a reset, and may
//! have run. The settings state the time after which it does so at the latest. How much sooner it does is seen here: a
//! new connection costs a round trip or three, a lost attempt its request's time and, where a repeat does harm, the request.

/// Rests are told apart by powers of two of a millisecond: below 1, 2, 4, ... 65,536.
const STEPS: usize = 17;
/// What was seen counts half after so long, so that a rest once found too long is tried again.
const HALF_MS: f64 = 10_000.0;
/// A rest is too long where this much more of what was written after it was lost than after shorter ones.
const WORSE: f64 = 0.1;
/// Fewer samples than this tell nothing.
const SEEN: f64 = 8.0;

#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    lost: f64,
    all: f64,
}

impl Fate {
    fn part(self) -> f64 {
        self.lost / self.all.max(1.0)
    }
}

/// What became of attempts by the rest of their connections.
#[derive(Debug)]
pub struct Rests {
    fates: [Fate; STEPS],
    at: f64,
    limit: f64,
}

impl Default for Rests {
    fn default() -> Self {
        Rests { fates: Default::default(), at: 0.0, limit: f64::INFINITY }
    }
}

fn step(rest_ms: f64) -> usize {
    (0..STEPS - 1).find(|step| rest_ms < f64::from(1u32 << step)).unwrap_or(STEPS - 1)
}

impl Rests {
    /// An attempt was written on a connection that had rested so long (0: a new one); it was answered, or lost with
    /// its connection.
    pub fn note(&mut self, rest_ms: f64, lost: bool) {
        let fate = &mut self.fates[step(rest_ms)];
        fate.all += 1.0;
        fate.lost += f64::from(u8::from(lost));
        self.judge();
    }

    /// Lets what was seen fade; times are the caller's, milliseconds.
    pub fn fade(&mut self, now: f64) {
        let left = 0.5f64.powf((now - self.at).max(0.0) / HALF_MS);
        self.at = now;
        for fate in &mut self.fates {
            (fate.lost, fate.all) = (fate.lost * left, fate.all * left);
        }
        self.judge();
    }

    /// From this rest on a connection is not used again, milliseconds; infinite where none was found too long.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The shortest rest from which on clearly more is lost than below.
    fn judge(&mut self) {
        let sum = |of: &[Fate]| {
            of.iter().fold(Fate::default(), |a, f| Fate { lost: a.lost + f.lost, all: a.all + f.all })
        };
        let worse = |split: &usize| {
            let (below, from) = (sum(&self.fates[..*split]), sum(&self.fates[*split..]));
            from.all >= SEEN && below.all >= SEEN && from.part() > below.part() + WORSE
        };
        // The split that tells most: where several do, what lies below it is all of use.
        let gain = |split: &usize| {
            let (below, from) = (sum(&self.fates[..*split]), sum(&self.fates[*split..]));
            (from.part() - below.part()) * from.all.sqrt()
        };
        let split = (1..STEPS).filter(worse).max_by(|a, b| gain(a).total_cmp(&gain(b)));
        self.limit = split.map_or(f64::INFINITY, |split| f64::from(1u32 << (split - 1)));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(rests: &mut Rests, rest: f64, lost: usize, of: usize) {
        (0..of).for_each(|i| rests.note(rest, i < lost));
    }

    #[test]
    fn nothing_is_too_long_while_nothing_is_lost_or_all_rests_lose_alike() {
        let mut rests = Rests::default();
        for rest in [0.0, 3.0, 50.0, 300.0, 5_000.0] {
            seen(&mut rests, rest, 0, 50);
        }
        assert_eq!(rests.limit(), f64::INFINITY);
        for rest in [0.0, 3.0, 50.0, 300.0, 5_000.0] {
            seen(&mut rests, rest, 5, 50);
        }
        assert_eq!(rests.limit(), f64::INFINITY);
    }

    /// Danger: a machine that drops idle connections sooner than stated costs every request after a pause an attempt.
    #[test]
    fn the_rest_from_which_on_attempts_are_lost_is_found_and_forgotten_again() {
        let mut rests = Rests::default();
        seen(&mut rests, 0.0, 7, 100);
        for rest in [1.5, 10.0, 40.0, 100.0] {
            seen(&mut rests, rest, 3, 40);
        }
        for rest in [150.0, 300.0, 700.0] {
            seen(&mut rests, rest, 20, 50);
        }
        assert_eq!(rests.limit(), 128.0);
        rests.fade(1.0);
        rests.fade(20_000.0);
        assert_eq!(rests.limit(), 128.0);
        rests.fade(80_000.0);
        assert_eq!(rests.limit(), f64::INFINITY, "tried again after a while");
    }

    #[test]
    fn a_few_losses_tell_nothing_and_no_figure_ends_it() {
        let mut rests = Rests::default();
        seen(&mut rests, 0.0, 0, 100);
        seen(&mut rests, 500.0, 4, 4);
        assert_eq!(rests.limit(), f64::INFINITY);
        for odd in [f64::NAN, -1.0, f64::INFINITY, 1e300] {
            rests.note(odd, true);
            rests.fade(odd);
        }
        assert!(!rests.limit().is_nan());
    }
}
