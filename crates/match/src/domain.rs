//! Sets of values that a field may have: ranges of numbers, and texts by name or by how they begin.
//!
//! Wherever a result can't be written down it is made larger, never smaller, and said to be inexact: whoever leaves a
//! row out because of such a set must not leave out one that matches.

use std::collections::BTreeSet;

/// Pieces of two sets that are joined at the most; beyond it the narrower set stands for both. Danger: a long `and` of
/// `!=` would otherwise cost the square of its length.
const MAX_PIECES: usize = 512;

/// How texts are named.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pattern {
    Exact(String),
    Prefix(String),
}

impl Pattern {
    fn covers(&self, other: &Pattern) -> bool {
        match (self, other) {
            (Pattern::Exact(a), Pattern::Exact(b)) => a == b,
            (Pattern::Exact(_), Pattern::Prefix(_)) => false,
            (Pattern::Prefix(a), Pattern::Exact(b) | Pattern::Prefix(b)) => b.starts_with(a.as_str()),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Domain {
    /// Ranges with both ends in, in order and apart from each other.
    Ints(Vec<(i64, i64)>),
    /// Texts that one of these fits.
    Texts(Vec<Pattern>),
    /// All texts but these.
    AllExcept(BTreeSet<String>),
}

/// A set, and whether it is exactly what was asked for.
pub(crate) type Approximation = (Domain, bool);

impl Domain {
    pub(crate) fn range(from: i64, to: i64) -> Domain {
        Domain::Ints(if from <= to { vec![(from, to)] } else { Vec::new() })
    }

    /// Of ranges in any order.
    pub(crate) fn ranges(mut ranges: Vec<(i64, i64)>) -> Domain {
        ranges.retain(|(a, b)| a <= b);
        ranges.sort_unstable();
        let mut out: Vec<(i64, i64)> = Vec::with_capacity(ranges.len());
        for (a, b) in ranges {
            match out.last_mut() {
                Some(last) if a <= last.1.saturating_add(1) => last.1 = last.1.max(b),
                _ => out.push((a, b)),
            }
        }
        Domain::Ints(out)
    }

    pub(crate) fn texts(mut patterns: Vec<Pattern>) -> Domain {
        patterns.sort();
        patterns.dedup();
        Domain::Texts(patterns)
    }

    pub(crate) fn is_empty(&self) -> bool {
        match self {
            Domain::Ints(r) => r.is_empty(),
            Domain::Texts(p) => p.is_empty(),
            Domain::AllExcept(_) => false,
        }
    }

    /// Pieces that it is written down in.
    pub(crate) fn pieces(&self) -> usize {
        match self {
            Domain::Ints(r) => r.len(),
            Domain::Texts(p) => p.len(),
            Domain::AllExcept(t) => t.len(),
        }
    }

    /// Whether there is anything in both.
    pub(crate) fn may_intersect(&self, other: &Domain) -> bool {
        match (self, other) {
            (Domain::Ints(a), Domain::Ints(b)) => {
                let (few, many) = if a.len() <= b.len() { (a, b) } else { (b, a) };
                let met = |(from, to): &(i64, i64)| {
                    many.get(many.partition_point(|r| r.1 < *from)).is_some_and(|r| r.0 <= *to)
                };
                few.iter().any(met)
            }
            (Domain::Texts(a), Domain::Texts(b)) => {
                let (few, many) = if a.len() <= b.len() { (a, b) } else { (b, a) };
                let prefixes = many.partition_point(|p| matches!(p, Pattern::Exact(_)));
                let met = |p: &Pattern| match p {
                    Pattern::Exact(_) => {
                        many[..prefixes].binary_search(p).is_ok()
                            || many[prefixes..].iter().any(|q| q.covers(p))
                    }
                    Pattern::Prefix(_) => many.iter().any(|q| q.covers(p) || p.covers(q)),
                };
                few.iter().any(met)
            }
            (Domain::Texts(a), Domain::AllExcept(not)) | (Domain::AllExcept(not), Domain::Texts(a)) => {
                a.iter().any(|p| !matches!(p, Pattern::Exact(t) if not.contains(t)))
            }
            _ => true,
        }
    }

    /// All values that this one leaves out; `None` where that can't be written down.
    pub(crate) fn complement(&self) -> Option<Domain> {
        match self {
            Domain::Ints(ranges) => {
                let mut out = Vec::with_capacity(ranges.len() + 1);
                let mut from = Some(i64::MIN);
                for (a, b) in ranges {
                    if let Some(from) = from.filter(|from| from < a) {
                        out.push((from, a - 1));
                    }
                    from = b.checked_add(1);
                }
                out.extend(from.map(|from| (from, i64::MAX)));
                Some(Domain::Ints(out))
            }
            Domain::Texts(patterns) => {
                let exact = |p: &Pattern| match p {
                    Pattern::Exact(t) => Some(t.clone()),
                    Pattern::Prefix(_) => None,
                };
                patterns.iter().map(exact).collect::<Option<BTreeSet<String>>>().map(Domain::AllExcept)
            }
            Domain::AllExcept(texts) => {
                Some(Domain::texts(texts.iter().cloned().map(Pattern::Exact).collect()))
            }
        }
    }

    /// What is in any of them; all of one kind.
    pub(crate) fn union(all: Vec<Domain>) -> Domain {
        let (mut ranges, mut patterns, mut but) = (Vec::new(), Vec::new(), None::<BTreeSet<String>>);
        let ints = matches!(all.first(), Some(Domain::Ints(_)));
        for domain in all {
            match domain {
                Domain::Ints(r) => ranges.extend(r),
                Domain::Texts(p) => patterns.extend(p),
                Domain::AllExcept(texts) => {
                    but = Some(match but {
                        Some(mut but) => {
                            but.retain(|t| texts.contains(t));
                            but
                        }
                        None => texts,
                    });
                }
            }
        }
        let Some(mut but) = but else {
            return if ints { Domain::ranges(ranges) } else { Domain::texts(patterns) };
        };
        for p in &patterns {
            match p {
                Pattern::Exact(t) => drop(but.remove(t)),
                Pattern::Prefix(p) => but.retain(|t| !t.starts_with(p.as_str())),
            }
        }
        Domain::AllExcept(but)
    }

    /// What is in both.
    pub(crate) fn intersection(&self, other: &Domain) -> Approximation {
        match (self, other) {
            (Domain::Ints(a), Domain::Ints(b)) if a.len() + b.len() > MAX_PIECES => {
                (if a.len() <= b.len() { self } else { other }.clone(), false)
            }
            (Domain::Ints(a), Domain::Ints(b)) => {
                let (mut i, mut j, mut out) = (0, 0, Vec::new());
                while let (Some(x), Some(y)) = (a.get(i), b.get(j)) {
                    let both = (x.0.max(y.0), x.1.min(y.1));
                    if both.0 <= both.1 {
                        out.push(both);
                    }
                    if x.1 < y.1 {
                        i += 1;
                    } else {
                        j += 1;
                    }
                }
                (Domain::Ints(out), true)
            }
            (Domain::Texts(a), Domain::Texts(b)) => {
                if a.len() + b.len() > MAX_PIECES {
                    return (if a.len() <= b.len() { self } else { other }.clone(), false);
                }
                let pairs = a.iter().flat_map(|x| b.iter().map(move |y| (x, y)));
                let narrower = |(x, y): (&Pattern, &Pattern)| {
                    if x.covers(y) {
                        Some(y.clone())
                    } else {
                        y.covers(x).then(|| x.clone())
                    }
                };
                (Domain::texts(pairs.filter_map(narrower).collect()), true)
            }
            (Domain::Texts(a), Domain::AllExcept(not)) | (Domain::AllExcept(not), Domain::Texts(a)) => {
                let kept = |p: &&Pattern| !matches!(p, Pattern::Exact(t) if not.contains(t));
                let whole = |p: &Pattern| match p {
                    Pattern::Exact(_) => true,
                    Pattern::Prefix(p) => !any_starts_with(not, p),
                };
                (Domain::Texts(a.iter().filter(kept).cloned().collect()), a.iter().all(whole))
            }
            (Domain::AllExcept(a), Domain::AllExcept(b)) if a.len() + b.len() > MAX_PIECES => {
                (self.clone(), false)
            }
            (Domain::AllExcept(a), Domain::AllExcept(b)) => (Domain::AllExcept(a | b), true),
            // Types were checked; sets of two kinds have nothing in common to speak of.
            _ => (self.clone(), false),
        }
    }

    /// At least what is in this one and not in the other.
    pub(crate) fn difference(&self, other: &Domain) -> Domain {
        match (self, other) {
            (Domain::Ints(_), Domain::Ints(_)) => match other.complement() {
                Some(rest) => self.intersection(&rest).0,
                None => self.clone(),
            },
            (Domain::Texts(a), Domain::Texts(b)) => {
                let prefixes = b.partition_point(|p| matches!(p, Pattern::Exact(_)));
                let begun = |p: &Pattern| b[prefixes..].iter().take(MAX_PIECES).any(|q| q.covers(p));
                let left = |p: &&Pattern| b[..prefixes].binary_search(p).is_err() && !begun(p);
                Domain::Texts(a.iter().filter(left).cloned().collect())
            }
            (Domain::Texts(a), Domain::AllExcept(not)) => {
                let left = not.iter().map(|t| Pattern::Exact(t.clone()));
                Domain::texts(left.filter(|t| a.iter().any(|p| p.covers(t))).collect())
            }
            (Domain::AllExcept(a), Domain::AllExcept(b)) => {
                Domain::texts(b.difference(a).cloned().map(Pattern::Exact).collect())
            }
            (Domain::AllExcept(a), Domain::Texts(b)) => {
                let exact = b.iter().filter_map(|p| match p {
                    Pattern::Exact(t) => Some(t.clone()),
                    Pattern::Prefix(_) => None,
                });
                Domain::AllExcept(a.iter().cloned().chain(exact).collect())
            }
            _ => self.clone(),
        }
    }
}

fn any_starts_with(texts: &BTreeSet<String>, prefix: &str) -> bool {
    texts.range(prefix.to_owned()..).next().is_some_and(|t| t.starts_with(prefix))
}
