//! How a whole is divided among those who want some of it.

use crate::budget::{Fraction, Incarnation};

/// What one process wants of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Who.
    pub who: Incarnation,
    /// What its clients asked for of late; more than the whole counts as the whole.
    pub demand: Fraction,
    /// The least fraction that holds its largest request: less is of no use to it.
    pub least: Fraction,
    /// How long it has to have its least fraction for a request to come of it, milliseconds.
    pub turn_ms: f64,
    /// What it has now.
    pub held: Fraction,
    /// Since when it has had some, or has been waiting for some, milliseconds.
    pub since_ms: f64,
}

/// What is left for whoever comes next, as a part of what there is: it starts with this, until others have come down.
const RESERVE: f64 = 0.01;
/// Demand is met with so much to spare: what comes next is seldom less than what came.
const AHEAD: f64 = 1.25;
/// Where not all can have what holds a request, those who have it keep it for so long at the least, milliseconds.
const TURN_MS: f64 = 1_000.0;
/// A part is not lowered by less than this part of itself.
const STEADY_DOWN: f64 = 0.1;
/// Nor raised by less than this part of the whole, or of itself where that is less. Danger: where hundreds have a fraction,
/// what is little of the whole is all that one of them has.
const STEADY_UP: (f64, f64) = (0.005, 0.03);

/// Targets in the order of the claims. They add up to no more than `lendable`; a claim without demand gets nothing.
///
/// Each gets its demand with something to spare, the smallest demands first and none less than its least; what is left
/// is dealt out by demand, and where it does not suffice, the larger ones share evenly. Where even the least
/// parts of all are too much, as many as fit have theirs in turn.
pub fn divide(lendable: Fraction, claims: &[Claim], now: f64) -> Vec<Fraction> {
    let mut targets = vec![Fraction::ZERO; claims.len()];
    let mut askers: Vec<usize> = (0..claims.len()).filter(|i| claims[*i].demand > Fraction::ZERO).collect();
    let reserve = Fraction::from_f64(lendable.as_f64() * RESERVE);
    let whole = lendable.saturating_sub(reserve);
    // Danger: a least fraction above all that there is would let nobody have any.
    let least = |i: usize| claims[i].least.min(whole).max(Fraction(1));
    let needed: Fraction = askers.iter().map(|i| least(*i)).sum();
    if needed > whole {
        // Those in their turn go first, then those who have waited longest.
        let order = |i: &usize| {
            let c = &claims[*i];
            let in_turn = c.held >= least(*i) && now - c.since_ms < c.turn_ms.max(TURN_MS);
            let fresh = c.held > Fraction::ZERO;
            (!in_turn, !in_turn && fresh, c.since_ms)
        };
        askers.sort_by(|a, b| {
            let (a, b) = (order(a), order(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        let mut left = whole;
        askers.retain(|i| {
            let fits = least(*i) <= left;
            if fits {
                left = left.saturating_sub(least(*i));
            }
            fits
        });
    }
    // Water fills up to the demands, from the smallest on.
    let want = |i: usize| {
        let demand = claims[i].demand.as_f64().min(1.0) * AHEAD;
        Fraction::from_f64(demand).max(least(i)).min(whole)
    };
    askers.sort_by_key(|i| (want(*i), claims[*i].who));
    let mut left = whole;
    let mut floor_left: Fraction = askers.iter().map(|i| least(*i)).sum();
    for (n, i) in askers.iter().enumerate() {
        floor_left = floor_left.saturating_sub(least(*i));
        let fair = Fraction(left.0 / (askers.len() - n) as u64);
        // What those after it need at the least stays.
        targets[*i] = want(*i).min(fair.max(least(*i))).min(left.saturating_sub(floor_left));
        left = left.saturating_sub(targets[*i]);
    }
    let all: f64 = askers.iter().map(|i| targets[*i].as_f64()).sum();
    if all > 0.0 {
        let spare = left;
        for i in &askers {
            let more = Fraction::from_f64(spare.as_f64() * targets[*i].as_f64() / all).min(left);
            targets[*i] = targets[*i].saturating_add(more);
            left = left.saturating_sub(more);
        }
    }
    steady(claims, &mut targets, whole);
    targets
}

/// Leaves alone what hardly changed, where that still adds up.
fn steady(claims: &[Claim], targets: &mut [Fraction], whole: Fraction) {
    let mut all: Fraction = targets.iter().copied().sum();
    for (claim, target) in claims.iter().zip(targets.iter_mut()) {
        let apart = claim.held.0.abs_diff(target.0) as f64;
        // What is left idle for steadiness is lost; what is left with its holder is not.
        let little = match *target > claim.held {
            true => (STEADY_UP.0 * whole.0 as f64).min(STEADY_UP.1 * target.0 as f64),
            false => STEADY_DOWN * target.0 as f64,
        };
        let kept = all.saturating_sub(*target).saturating_add(claim.held);
        let useful = claim.held >= claim.least.min(whole);
        if *target > Fraction::ZERO && useful && apart < little && kept <= whole {
            (all, *target) = (kept, claim.held);
        }
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
