//! Division of a budget among the processes that want some of it.

use crate::budget::Incarnation;
use crate::fraction::Fraction;

/// What one process claims of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The process.
    pub who: Incarnation,
    /// The demand of its clients of late; more than the whole counts as the whole.
    pub demand: Fraction,
    /// The least fraction that holds its largest request: less is of no use to it.
    pub least: Fraction,
    /// How long it has to hold that for a request to come of it, milliseconds.
    pub turn_ms: f64,
    /// What it holds now.
    pub held: Fraction,
    /// Since when it has held some, or has been waiting for some, milliseconds.
    pub since_ms: f64,
}

/// What is left for the next process that wants some, as a fraction of what there is: it begins with this, until the
/// others have come down.
const RESERVE: f64 = 0.01;
/// Demand is met with so much to spare: what comes next is seldom less than what came.
const HEADROOM: f64 = 1.25;
/// Where not all can hold a request at once, those that do keep their turn for so long at least, milliseconds.
const MIN_TURN_MS: f64 = 1_000.0;
/// A fraction is not lowered by less than this fraction of itself.
const MIN_DECREASE: f64 = 0.1;
/// Nor raised by less than this fraction of the whole, ...
const MIN_INCREASE_OF_WHOLE: f64 = 0.005;
/// ... or of itself where that is less. Danger: where hundreds hold some, what is little of the whole is all that one of
/// them has.
const MIN_INCREASE_OF_TARGET: f64 = 0.03;

/// Targets in the order of the claims. They add up to no more than `lendable`; a claim without demand gets nothing.
///
/// Each gets its demand with headroom, the smallest demands first and none less than its least. What is left is
/// distributed in proportion; where it does not suffice, the larger demands share evenly. Where not even the least
/// fractions of all fit, as many as fit take turns.
pub fn divide(lendable: Fraction, claims: &[Claim], now: f64) -> Vec<Fraction> {
    let reserve = Fraction::from_f64(lendable.as_f64() * RESERVE);
    let division = Division { claims, whole: lendable.saturating_sub(reserve) };
    let mut targets = vec![Fraction::ZERO; claims.len()];
    let mut served = division.served(now);
    let spare = division.fill_demands(&mut served, &mut targets);
    distribute(spare, &served, &mut targets);
    division.keep_small_changes(&mut targets);
    targets
}

/// One division. Claims are named by their place.
struct Division<'a> {
    claims: &'a [Claim],
    /// What there is to divide.
    whole: Fraction,
}

impl Division<'_> {
    /// The least fraction that is of use. Danger: one above all that there is would let nobody have any.
    fn least(&self, claim: usize) -> Fraction {
        self.claims[claim].least.min(self.whole).max(Fraction(1))
    }

    /// What meets the demand.
    fn wanted(&self, claim: usize) -> Fraction {
        let demand = self.claims[claim].demand.as_f64().min(1.0) * HEADROOM;
        Fraction::from_f64(demand).max(self.least(claim)).min(self.whole)
    }

    /// The claims that get some: all with demand, or as many of them as fit.
    fn served(&self, now: f64) -> Vec<usize> {
        let has_demand = |claim: &usize| self.claims[*claim].demand > Fraction::ZERO;
        let mut served: Vec<usize> = (0..self.claims.len()).filter(has_demand).collect();
        let needed: Fraction = served.iter().map(|claim| self.least(*claim)).sum();
        if needed <= self.whole {
            return served;
        }
        served.sort_by(|a, b| {
            self.turn_order(*a, now).cmp(&self.turn_order(*b, now)).then_with(|| {
                let (a, b) = (&self.claims[*a], &self.claims[*b]);
                a.since_ms.total_cmp(&b.since_ms)
            })
        });
        let mut left = self.whole;
        served.retain(|claim| {
            let fits = self.least(*claim) <= left;
            if fits {
                left = left.saturating_sub(self.least(*claim));
            }
            fits
        });
        served
    }

    /// Those in their turn come first, then those that wait, and those whose turn is over last.
    fn turn_order(&self, claim: usize, now: f64) -> (bool, bool) {
        let c = &self.claims[claim];
        let in_turn = c.held >= self.least(claim) && now - c.since_ms < c.turn_ms.max(MIN_TURN_MS);
        let holds_some = c.held > Fraction::ZERO;
        (!in_turn, !in_turn && holds_some)
    }

    /// Meets demands, the smallest first, and shares evenly among the others what does not suffice; what is left over.
    fn fill_demands(&self, served: &mut [usize], targets: &mut [Fraction]) -> Fraction {
        served.sort_by_key(|claim| (self.wanted(*claim), self.claims[*claim].who));
        let mut left = self.whole;
        // What those that follow need at least.
        let mut reserved: Fraction = served.iter().map(|claim| self.least(*claim)).sum();
        for (n, claim) in served.iter().enumerate() {
            let least = self.least(*claim);
            reserved = reserved.saturating_sub(least);
            let even_share = Fraction(left.0 / (served.len() - n) as u64);
            let target = self.wanted(*claim).min(even_share.max(least));
            targets[*claim] = target.min(left.saturating_sub(reserved));
            left = left.saturating_sub(targets[*claim]);
        }
        left
    }

    /// Leaves alone what would hardly change, where that still adds up.
    fn keep_small_changes(&self, targets: &mut [Fraction]) {
        let mut total: Fraction = targets.iter().copied().sum();
        for (claim, target) in self.claims.iter().zip(targets.iter_mut()) {
            let with_held = total.saturating_sub(*target).saturating_add(claim.held);
            let is_useful = claim.held >= claim.least.min(self.whole);
            let is_small = (claim.held.0.abs_diff(target.0) as f64) < self.min_change(claim, *target);
            if *target > Fraction::ZERO && is_useful && is_small && with_held <= self.whole {
                (total, *target) = (with_held, claim.held);
            }
        }
    }

    /// The least change that is made, in billionths. What is left free for steadiness is lost; what is left with its
    /// holder is not.
    fn min_change(&self, claim: &Claim, target: Fraction) -> f64 {
        if target > claim.held {
            let of_whole = MIN_INCREASE_OF_WHOLE * self.whole.0 as f64;
            of_whole.min(MIN_INCREASE_OF_TARGET * target.0 as f64)
        } else {
            MIN_DECREASE * target.0 as f64
        }
    }
}

/// Adds what is spare to the targets, in proportion to them.
fn distribute(spare: Fraction, served: &[usize], targets: &mut [Fraction]) {
    let total: f64 = served.iter().map(|claim| targets[*claim].as_f64()).sum();
    if total <= 0.0 {
        return;
    }
    let mut left = spare;
    for claim in served {
        let share = spare.as_f64() * targets[*claim].as_f64() / total;
        let more = Fraction::from_f64(share).min(left);
        targets[*claim] = targets[*claim].saturating_add(more);
        left = left.saturating_sub(more);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn claim(who: u64, demand: f64, least: f64) -> Claim {
        let (demand, least) = (Fraction::from_f64(demand), Fraction::from_f64(least));
        Claim {
            who: Incarnation(who),
            demand,
            least,
            turn_ms: 0.0,
            held: Fraction::ZERO,
            since_ms: who as f64,
        }
    }

    fn fractions(claims: &[Claim]) -> Vec<f64> {
        divide(Fraction::WHOLE, claims, 10.0)
            .iter()
            .map(|p| (p.as_f64() * 1_000.0).round() / 1_000.0)
            .collect()
    }

    #[test]
    fn one_that_asks_alone_has_all_but_the_reserve() {
        let claims = [claim(1, 0.0, 0.1), claim(2, 0.3, 0.1), claim(3, 0.0, 0.1)];
        assert_eq!(fractions(&claims), [0.0, 0.99, 0.0]);
    }

    #[test]
    fn small_demands_are_met_and_large_ones_share_the_rest() {
        let claims = [claim(1, 0.1, 0.01), claim(2, 5.0, 0.01), claim(3, 9.0, 0.01)];
        let got = fractions(&claims);
        assert!((got[0] - 0.125).abs() < 0.01 && (got[1] - got[2]).abs() < 0.001 && got[1] > 0.4, "{got:?}");
    }

    /// A limit of a few units a second over forty hosts: each still gets what holds a request, in its turn.
    #[test]
    fn where_not_all_can_hold_a_request_they_take_turns() {
        let mut claims: Vec<Claim> = (0..40).map(|i| claim(i, 0.5, 0.4)).collect();
        let mut had = std::collections::BTreeSet::new();
        for step in 0..60 {
            let now = f64::from(step) * 500.0;
            let targets = divide(Fraction::WHOLE, &claims, now);
            let with: Vec<usize> = (0..40).filter(|i| targets[*i] > Fraction::ZERO).collect();
            assert_eq!(with.len(), 2, "at {now}");
            for (i, claim) in claims.iter_mut().enumerate() {
                if (claim.held > Fraction::ZERO) != (targets[i] > Fraction::ZERO) {
                    claim.since_ms = now;
                }
                claim.held = targets[i];
            }
            had.extend(with);
        }
        assert_eq!(had.len(), 40, "nobody is starved");
    }

    /// Half of four hundred are gone: what they had is little for each of the others, and all of it together.
    #[test]
    fn many_with_little_each_get_what_is_free() {
        let held = Fraction::from_f64(0.0025);
        let claims: Vec<Claim> = (0..200).map(|i| Claim { held, ..claim(i, 0.0025, 0.0001) }).collect();
        let all: Fraction = divide(Fraction::WHOLE, &claims, 10.0).into_iter().sum();
        assert!(all.as_f64() > 0.96, "{all}");
    }

    #[test]
    fn a_request_larger_than_the_whole_still_gets_it_all() {
        assert_eq!(fractions(&[claim(1, 0.1, 7.0)]), [0.99]);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::with_cases(500) })]
        #[test]
        fn parts_add_up_and_each_is_of_use_or_nothing(
            lendable in 0.0f64..1.0,
            lines in prop::collection::vec((0.0f64..3.0, 0.0f64..0.7, 0.0f64..0.2, 0.0f64..9_000.0), 0..50),
        ) {
            let claims: Vec<Claim> = lines.iter().enumerate().map(|(i, (demand, least, held, since))| Claim {
                held: Fraction::from_f64(*held), since_ms: *since, ..claim(i as u64, *demand, *least)
            }).collect();
            let lendable = Fraction::from_f64(lendable);
            let targets = divide(lendable, &claims, 9_000.0);
            let all: Fraction = targets.iter().copied().sum();
            prop_assert!(all <= lendable, "{all} of {lendable}");
            let whole = lendable.saturating_sub(Fraction::from_f64(lendable.as_f64() * RESERVE));
            for (c, t) in claims.iter().zip(&targets) {
                prop_assert!(*t == Fraction::ZERO || *t >= c.least.min(whole), "{t} of {c:?}");
                prop_assert!(c.demand > Fraction::ZERO || *t == Fraction::ZERO);
            }
            let asked = claims.iter().any(|c| c.demand > Fraction::ZERO) && whole > Fraction::ZERO;
            prop_assert_eq!(asked, all > Fraction::ZERO, "someone is always served");
        }
    }
}
