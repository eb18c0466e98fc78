//! How a whole is divided among those who want some of it.

use crate::part::{Incarnation, Part};

/// What one process wants of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Who.
    pub who: Incarnation,
    /// What its clients asked for of late; more than the whole counts as the whole.
    pub demand: Part,
    /// The least part that holds its largest request: less is of no use to it.
    pub least: Part,
    /// How long it has to have its least part for a request to come of it, milliseconds.
    pub turn_ms: f64,
    /// What it has now.
    pub held: Part,
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
/// Nor raised by less than this part of the whole, or of itself where that is less. Danger: where hundreds have a part,
/// what is little of the whole is all that one of them has.
const STEADY_UP: (f64, f64) = (0.005, 0.03);

/// Targets in the order of the claims. They add up to no more than `lendable`; a claim without demand gets nothing.
///
/// Each gets its demand with something to spare, the smallest demands first and none less than its least; what is left
/// is dealt out by demand, and where it does not suffice, the larger ones share evenly. Where even the least
/// parts of all are too much, as many as fit have theirs in turn.
pub fn divide(lendable: Part, claims: &[Claim], now: f64) -> Vec<Part> {
    let mut targets = vec![Part::NONE; claims.len()];
    let mut askers: Vec<usize> = (0..claims.len()).filter(|i| claims[*i].demand > Part::NONE).collect();
    let reserve = Part::of(lendable.fraction() * RESERVE);
    let whole = lendable.minus(reserve);
    // Danger: a least part above all that there is would let nobody have any.
    let least = |i: usize| claims[i].least.min(whole).max(Part(1));
    let needed: Part = askers.iter().map(|i| least(*i)).sum();
    if needed > whole {
        // Those in their turn go first, then those who have waited longest.
        let order = |i: &usize| {
            let c = &claims[*i];
            let in_turn = c.held >= least(*i) && now - c.since_ms < c.turn_ms.max(TURN_MS);
            let fresh = c.held > Part::NONE;
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
                left = left.minus(least(*i));
            }
            fits
        });
    }
    // Water fills up to the demands, from the smallest on.
    let want = |i: usize| {
        let demand = claims[i].demand.fraction().min(1.0) * AHEAD;
        Part::of(demand).max(least(i)).min(whole)
    };
    askers.sort_by_key(|i| (want(*i), claims[*i].who));
    let mut left = whole;
    let mut floor_left: Part = askers.iter().map(|i| least(*i)).sum();
    for (n, i) in askers.iter().enumerate() {
        floor_left = floor_left.minus(least(*i));
        let fair = Part(left.0 / (askers.len() - n) as u64);
        // What those after it need at the least stays.
        targets[*i] = want(*i).min(fair.max(least(*i))).min(left.minus(floor_left));
        left = left.minus(targets[*i]);
    }
    let all: f64 = askers.iter().map(|i| targets[*i].fraction()).sum();
    if all > 0.0 {
        let spare = left;
        for i in &askers {
            let more = Part::of(spare.fraction() * targets[*i].fraction() / all).min(left);
            targets[*i] = targets[*i].plus(more);
            left = left.minus(more);
        }
    }
    steady(claims, &mut targets, whole);
    targets
}

/// Leaves alone what hardly changed, where that still adds up.
fn steady(claims: &[Claim], targets: &mut [Part], whole: Part) {
    let mut all: Part = targets.iter().copied().sum();
    for (claim, target) in claims.iter().zip(targets.iter_mut()) {
        let apart = claim.held.0.abs_diff(target.0) as f64;
        // What is left idle for steadiness is lost; what is left with its holder is not.
        let little = match *target > claim.held {
            true => (STEADY_UP.0 * whole.0 as f64).min(STEADY_UP.1 * target.0 as f64),
            false => STEADY_DOWN * target.0 as f64,
        };
        let kept = all.minus(*target).plus(claim.held);
        let useful = claim.held >= claim.least.min(whole);
        if *target > Part::NONE && useful && apart < little && kept <= whole {
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
        let (demand, least) = (Part::of(demand), Part::of(least));
        Claim { who: Incarnation(who), demand, least, turn_ms: 0.0, held: Part::NONE, since_ms: who as f64 }
    }

    fn fractions(claims: &[Claim]) -> Vec<f64> {
        divide(Part::WHOLE, claims, 10.0).iter().map(|p| (p.fraction() * 1_000.0).round() / 1_000.0).collect()
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
            let targets = divide(Part::WHOLE, &claims, now);
            let with: Vec<usize> = (0..40).filter(|i| targets[*i] > Part::NONE).collect();
            assert_eq!(with.len(), 2, "at {now}");
            for (i, claim) in claims.iter_mut().enumerate() {
                if (claim.held > Part::NONE) != (targets[i] > Part::NONE) {
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
        let held = Part::of(0.0025);
        let claims: Vec<Claim> = (0..200).map(|i| Claim { held, ..claim(i, 0.0025, 0.0001) }).collect();
        let all: Part = divide(Part::WHOLE, &claims, 10.0).into_iter().sum();
        assert!(all.fraction() > 0.96, "{all}");
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
                held: Part::of(*held), since_ms: *since, ..claim(i as u64, *demand, *least)
            }).collect();
            let lendable = Part::of(lendable);
            let targets = divide(lendable, &claims, 9_000.0);
            let all: Part = targets.iter().copied().sum();
            prop_assert!(all <= lendable, "{all} of {lendable}");
            let whole = lendable.minus(Part::of(lendable.fraction() * RESERVE));
            for (c, t) in claims.iter().zip(&targets) {
                prop_assert!(*t == Part::NONE || *t >= c.least.min(whole), "{t} of {c:?}");
                prop_assert!(c.demand > Part::NONE || *t == Part::NONE);
            }
            let asked = claims.iter().any(|c| c.demand > Part::NONE) && whole > Part::NONE;
            prop_assert_eq!(asked, all > Part::NONE, "someone is always served");
        }
    }
}
