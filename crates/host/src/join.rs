//! Combines the outcomes of a command's parts into one final answer. No I/O, no clock.
//!
//! A command that crosses extents becomes several requests of the scheduler, each with a final answer of its
//! own; the client gets one. It is given once the last part has ended: an earlier answer would say nothing
//! about the parts that are still open.

use pearfork::Effect;

/// How a part ended.
#[derive(Clone, Debug, PartialEq)]
pub enum PartOutcome<T> {
    /// Served, with the node's response.
    Served(T),
    /// Refused without effect: the client may safely retry after this many milliseconds.
    Refused(f64),
    /// Failed: it may or may not have taken effect.
    Failed,
}

/// Collects the outcomes of one command's parts.
#[derive(Debug)]
pub struct Join<T> {
    effect: Effect,
    parts: Vec<Option<PartOutcome<T>>>,
    open: usize,
}

impl<T> Join<T> {
    /// Starts a command with `parts` parts, at least one, of a class with this effect.
    pub fn new(parts: usize, effect: Effect) -> Self {
        let parts = parts.max(1);
        Join { effect, parts: (0..parts).map(|_| None).collect(), open: parts }
    }

    /// Records the outcome of a part; returns the outcome of the command with the last one. Further outcomes
    /// of the same part are ignored.
    pub fn record(&mut self, part: usize, outcome: PartOutcome<T>) -> Option<PartOutcome<Vec<T>>> {
        let slot = self.parts.get_mut(part).filter(|p| p.is_none())?;
        *slot = Some(outcome);
        self.open -= 1;
        if self.open > 0 {
            return None;
        }
        let outcomes: Vec<PartOutcome<T>> = std::mem::take(&mut self.parts).into_iter().flatten().collect();
        let served = outcomes.iter().any(|e| matches!(e, PartOutcome::Served(_)));
        if outcomes.iter().any(|e| matches!(e, PartOutcome::Failed)) {
            return Some(PartOutcome::Failed);
        }
        let wait =
            outcomes.iter().filter_map(|e| if let PartOutcome::Refused(ms) = e { Some(*ms) } else { None });
        if let Some(wait) = wait.reduce(f64::max) {
            // "Refused" promises that a retry is safe. A retry would run the part that was served again under
            // a new repeat key, which no node recognizes as a repeat: the effect would happen twice.
            return Some(match (served, self.effect) {
                (true, Effect::Keyed | Effect::Unsafe) => PartOutcome::Failed,
                _ => PartOutcome::Refused(wait),
            });
        }
        let all =
            outcomes.into_iter().filter_map(|e| if let PartOutcome::Served(t) = e { Some(t) } else { None });
        Some(PartOutcome::Served(all.collect()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn joined(effect: Effect, outcomes: &[PartOutcome<u8>]) -> PartOutcome<Vec<u8>> {
        let mut join = Join::new(outcomes.len(), effect);
        let mut last = None;
        for (i, e) in outcomes.iter().enumerate() {
            assert_eq!(last, None, "answered before its last part ended");
            last = join.record(i, e.clone());
            assert_eq!(
                join.record(i, PartOutcome::Failed),
                None,
                "a second outcome of one part must be ignored"
            );
        }
        last.expect("no answer after the last part")
    }

    #[test]
    fn the_answer_promises_no_more_than_every_part_allows() {
        use PartOutcome::{Failed, Refused, Served};
        let all = [Served(1), Refused(5.0), Refused(9.0), Failed];
        for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
            for a in &all {
                for b in &all {
                    let want = match (a, b) {
                        (Failed, _) | (_, Failed) => Failed,
                        (Served(_), Served(_)) => Served(vec![1, 1]),
                        (Refused(x), Refused(y)) => Refused(x.max(*y)),
                        (Refused(x), _) | (_, Refused(x)) if effect == Effect::Safe => Refused(*x),
                        _ => Failed,
                    };
                    assert_eq!(joined(effect, &[a.clone(), b.clone()]), want, "{effect:?} {a:?} {b:?}");
                }
            }
        }
    }
}
