//! Divides a budget among the processes that request a fraction of it.

use crate::budget::Incarnation;
use crate::fraction::Fraction;

/// The claim of one process to a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The process.
    pub incarnation: Incarnation,
    /// Recent demand of its clients; more than the whole counts as the whole.
    pub demand: Fraction,
    /// Smallest useful fraction: the one that admits its largest request.
    pub min_fraction: Fraction,
    /// How long it has to hold that fraction before it can send a request, in milliseconds.
    pub turn_ms: f64,
    /// The fraction that is allocated to it now.
    pub held: Fraction,
    /// When it began to hold a fraction or, if it holds none, to wait for one, in milliseconds.
    pub since_ms: f64,
}

/// Part of the lendable fraction that stays unallocated. The next process that requests a fraction gets it at
/// once, until the other holders have reduced theirs.
const RESERVE: f64 = 0.01;
/// Factor by which a target exceeds the demand, because demand rarely falls from one interval to the next.
const HEADROOM: f64 = 1.25;
/// Shortest turn, in milliseconds, where the claims have to take turns because not all minimum fractions fit
/// at once.
const MIN_TURN_MS: f64 = 1_000.0;
/// Smallest decrease that is made, relative to the target.
const MIN_DECREASE: f64 = 0.1;
/// Smallest increase that is made, relative to the whole, ...
const MIN_INCREASE_OF_WHOLE: f64 = 0.005;
/// ... or relative to the target if that is less. With hundreds of holders, a small fraction of the whole is
/// all that one of them has.
const MIN_INCREASE_OF_TARGET: f64 = 0.03;

/// Computes the target of each claim, in the order of the claims. The targets add up to at most `lendable`; a
/// claim without demand gets nothing.
///
/// Each claim gets its demand plus headroom, smallest demand first, and at least its minimum fraction. What
/// remains is distributed in proportion to the targets. Where there is too little, the larger demands get
/// equal shares. Where not even all minimum fractions fit, as many claims as fit get theirs, and the claims
/// take turns.
pub fn divide(lendable: Fraction, claims: &[Claim], now: f64) -> Vec<Fraction> {
    let reserve = Fraction::from_f64(lendable.as_f64() * RESERVE);
    let division = Division { claims, whole: lendable.saturating_sub(reserve) };
    let mut targets = vec![Fraction::ZERO; claims.len()];
    let mut served = division.select_claims(now);
    let spare = division.fill_demands(&mut served, &mut targets);
    distribute(spare, &served, &mut targets);
    division.suppress_small_changes(&mut targets);
    targets
}

/// One division of a budget. Claims are referred to by their index.
struct Division<'a> {
    claims: &'a [Claim],
    /// The fraction to divide: the lendable fraction less the reserve.
    whole: Fraction,
}

impl Division<'_> {
    /// The minimum fraction of a claim, but at least a billionth and at most `self.whole`: a larger minimum
    /// could never be met, and the claim would get nothing.
    fn min_fraction(&self, claim: usize) -> Fraction {
        self.claims[claim].min_fraction.min(self.whole).max(Fraction(1))
    }

    /// The fraction that meets the demand with headroom.
    fn desired(&self, claim: usize) -> Fraction {
        let demand = self.claims[claim].demand.as_f64().min(1.0) * HEADROOM;
        Fraction::from_f64(demand).max(self.min_fraction(claim)).min(self.whole)
    }

    /// The claims that get a fraction: all with demand, or as many of them as fit.
    fn select_claims(&self, now: f64) -> Vec<usize> {
        let has_demand = |claim: &usize| self.claims[*claim].demand > Fraction::ZERO;
        let mut served: Vec<usize> = (0..self.claims.len()).filter(has_demand).collect();
        let needed: Fraction = served.iter().map(|claim| self.min_fraction(*claim)).sum();
        if needed <= self.whole {
            return served;
        }
        served.sort_by(|a, b| {
            self.turn_order(*a, now).cmp(&self.turn_order(*b, now)).then_with(|| {
                let (a, b) = (&self.claims[*a], &self.claims[*b]);
                a.since_ms.total_cmp(&b.since_ms)
            })
        });
        let mut remaining = self.whole;
        served.retain(|claim| {
            let fits = self.min_fraction(*claim) <= remaining;
            if fits {
                remaining = remaining.saturating_sub(self.min_fraction(*claim));
            }
            fits
        });
        served
    }

    /// Sort key: claims within their turn come first, then those that wait, then those whose turn is over.
    fn turn_order(&self, claim: usize, now: f64) -> (bool, bool) {
        let c = &self.claims[claim];
        let in_turn = c.held >= self.min_fraction(claim) && now - c.since_ms < c.turn_ms.max(MIN_TURN_MS);
        let holds_some = c.held > Fraction::ZERO;
        (!in_turn, !in_turn && holds_some)
    }

    /// Meets the demands, smallest first, and divides the rest equally where it is too little. Returns the
    /// remainder.
    fn fill_demands(&self, served: &mut [usize], targets: &mut [Fraction]) -> Fraction {
        served.sort_by_key(|claim| (self.desired(*claim), self.claims[*claim].incarnation));
        let mut remaining = self.whole;
        // The sum of the minimum fractions of the claims that follow.
        let mut reserved: Fraction = served.iter().map(|claim| self.min_fraction(*claim)).sum();
        for (n, claim) in served.iter().enumerate() {
            let min_fraction = self.min_fraction(*claim);
            reserved = reserved.saturating_sub(min_fraction);
            let equal_share = Fraction(remaining.0 / (served.len() - n) as u64);
            let target = self.desired(*claim).min(equal_share.max(min_fraction));
            targets[*claim] = target.min(remaining.saturating_sub(reserved));
            remaining = remaining.saturating_sub(targets[*claim]);
        }
        remaining
    }

    /// Replaces a target by the held fraction where the change would be small and the sum still fits.
    fn suppress_small_changes(&self, targets: &mut [Fraction]) {
        let mut total: Fraction = targets.iter().copied().sum();
        for (claim, target) in self.claims.iter().zip(targets.iter_mut()) {
            let with_held = total.saturating_sub(*target).saturating_add(claim.held);
            let is_useful = claim.held >= claim.min_fraction.min(self.whole);
            let is_small = (claim.held.0.abs_diff(target.0) as f64) < self.min_change(claim, *target);
            if *target > Fraction::ZERO && is_useful && is_small && with_held <= self.whole {
                (total, *target) = (with_held, claim.held);
            }
        }
    }

    /// The smallest change that is made, in billionths. The threshold for an increase is lower than that for
    /// a decrease: a suppressed increase leaves capacity unused, a suppressed decrease leaves it with its
    /// holder.
    fn min_change(&self, claim: &Claim, target: Fraction) -> f64 {
        if target > claim.held {
            let of_whole = MIN_INCREASE_OF_WHOLE * self.whole.0 as f64;
            of_whole.min(MIN_INCREASE_OF_TARGET * target.0 as f64)
        } else {
            MIN_DECREASE * target.0 as f64
        }
    }
}

/// Distributes the remainder over the targets, in proportion to them.
fn distribute(spare: Fraction, served: &[usize], targets: &mut [Fraction]) {
    let total: f64 = served.iter().map(|claim| targets[*claim].as_f64()).sum();
    if total <= 0.0 {
        return;
    }
    let mut remaining = spare;
    for claim in served {
        let share = spare.as_f64() * targets[*claim].as_f64() / total;
        let increase = Fraction::from_f64(share).min(remaining);
        targets[*claim] = targets[*claim].saturating_add(increase);
        remaining = remaining.saturating_sub(increase);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn claim(incarnation: u64, demand: f64, min_fraction: f64) -> Claim {
        let (demand, min_fraction) = (Fraction::from_f64(demand), Fraction::from_f64(min_fraction));
        Claim {
            incarnation: Incarnation(incarnation),
            demand,
            min_fraction,
            turn_ms: 0.0,
            held: Fraction::ZERO,
            since_ms: incarnation as f64,
        }
    }

    fn fractions(claims: &[Claim]) -> Vec<f64> {
        divide(Fraction::WHOLE, claims, 10.0)
            .iter()
            .map(|target| (target.as_f64() * 1_000.0).round() / 1_000.0)
            .collect()
    }

    #[test]
    fn a_single_claim_with_demand_gets_all_but_the_reserve() {
        let claims = [claim(1, 0.0, 0.1), claim(2, 0.3, 0.1), claim(3, 0.0, 0.1)];
        assert_eq!(fractions(&claims), [0.0, 0.99, 0.0]);
    }

    #[test]
    fn small_demands_are_met_and_large_ones_get_equal_shares_of_the_rest() {
        let claims = [claim(1, 0.1, 0.01), claim(2, 5.0, 0.01), claim(3, 9.0, 0.01)];
        let targets = fractions(&claims);
        assert!(
            (targets[0] - 0.125).abs() < 0.01 && (targets[1] - targets[2]).abs() < 0.001 && targets[1] > 0.4,
            "{targets:?}"
        );
    }

    /// Forty hosts share a limit that admits two requests at a time: each host gets its minimum fraction in
    /// turn.
    #[test]
    fn claims_take_turns_where_not_all_minimum_fractions_fit() {
        let mut claims: Vec<Claim> = (0..40).map(|i| claim(i, 0.5, 0.4)).collect();
        let mut served = std::collections::BTreeSet::new();
        for step in 0..60 {
            let now = f64::from(step) * 500.0;
            let targets = divide(Fraction::WHOLE, &claims, now);
            let served_now: Vec<usize> = (0..40).filter(|i| targets[*i] > Fraction::ZERO).collect();
            assert_eq!(served_now.len(), 2, "at {now}");
            for (i, claim) in claims.iter_mut().enumerate() {
                if (claim.held > Fraction::ZERO) != (targets[i] > Fraction::ZERO) {
                    claim.since_ms = now;
                }
                claim.held = targets[i];
            }
            served.extend(served_now);
        }
        assert_eq!(served.len(), 40, "no claim is starved");
    }

    /// Half of 400 hosts have failed: their capacity is small for each survivor, but half of the whole in
    /// total. A threshold relative to the whole alone would suppress every increase.
    #[test]
    fn many_small_holders_get_the_capacity_of_failed_ones() {
        let held = Fraction::from_f64(0.0025);
        let claims: Vec<Claim> = (0..200).map(|i| Claim { held, ..claim(i, 0.0025, 0.0001) }).collect();
        let all: Fraction = divide(Fraction::WHOLE, &claims, 10.0).into_iter().sum();
        assert!(all.as_f64() > 0.96, "{all}");
    }

    #[test]
    fn a_minimum_above_the_whole_still_gets_the_whole() {
        assert_eq!(fractions(&[claim(1, 0.1, 7.0)]), [0.99]);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::with_cases(500) })]
        #[test]
        fn targets_fit_and_each_is_zero_or_at_least_its_minimum(
            lendable in 0.0f64..1.0,
            inputs in prop::collection::vec((0.0f64..3.0, 0.0f64..0.7, 0.0f64..0.2, 0.0f64..9_000.0), 0..50),
        ) {
            let claims: Vec<Claim> = inputs.iter().enumerate().map(|(i, (demand, min_fraction, held, since))| Claim {
                held: Fraction::from_f64(*held), since_ms: *since, ..claim(i as u64, *demand, *min_fraction)
            }).collect();
            let lendable = Fraction::from_f64(lendable);
            let targets = divide(lendable, &claims, 9_000.0);
            let all: Fraction = targets.iter().copied().sum();
            prop_assert!(all <= lendable, "{all} of {lendable}");
            let whole = lendable.saturating_sub(Fraction::from_f64(lendable.as_f64() * RESERVE));
            for (c, t) in claims.iter().zip(&targets) {
                prop_assert!(*t == Fraction::ZERO || *t >= c.min_fraction.min(whole), "{t} of {c:?}");
                prop_assert!(c.demand > Fraction::ZERO || *t == Fraction::ZERO);
            }
            let has_demand = claims.iter().any(|c| c.demand > Fraction::ZERO) && whole > Fraction::ZERO;
            prop_assert_eq!(has_demand, all > Fraction::ZERO, "some claim is always served");
        }
    }
}
