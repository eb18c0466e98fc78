//! Domains: sets of values of a field, as ranges of numbers or as exact texts and prefixes.
//!
//! A result that cannot be represented is over-approximated, never under-approximated, and reported as
//! inexact: a row that is excluded because of a domain must never be one that matches.

use std::collections::BTreeSet;

/// Maximum number of pieces of two domains that are intersected exactly; beyond it the result is the domain
/// with fewer pieces. Without the limit, a long `and` of `!=` would take quadratic time.
const MAX_PIECES: usize = 512;

/// A set of texts: one exact text or all texts with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pattern {
    Exact(String),
    Prefix(String),
}

impl Pattern {
    /// Whether every text of the other pattern matches this one.
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
    /// Sorted, disjoint, non-adjacent ranges, both ends inclusive.
    Ints(Vec<(i64, i64)>),
    /// Texts that match one of these patterns, which are sorted.
    Texts(Vec<Pattern>),
    /// All texts except these.
    AllExcept(BTreeSet<String>),
}

/// A domain, and whether it is exact.
pub(crate) type Approximation = (Domain, bool);

impl Domain {
    /// The numbers from `first` to `last`, both inclusive; empty if `first` is greater.
    pub(crate) fn range(first: i64, last: i64) -> Domain {
        Domain::Ints(if first <= last { vec![(first, last)] } else { Vec::new() })
    }

    /// Creates a domain from ranges in any order, which may overlap.
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

    /// Creates a domain from patterns in any order.
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

    /// Number of ranges, patterns or texts that represent the domain.
    pub(crate) fn pieces(&self) -> usize {
        match self {
            Domain::Ints(r) => r.len(),
            Domain::Texts(p) => p.len(),
            Domain::AllExcept(t) => t.len(),
        }
    }

    /// Whether the domains may have a common value. Over-approximated for prefixes and excluded texts.
    pub(crate) fn may_intersect(&self, other: &Domain) -> bool {
        match (self, other) {
            (Domain::Ints(a), Domain::Ints(b)) => {
                let (smaller, larger) = if a.len() <= b.len() { (a, b) } else { (b, a) };
                let intersects = |(first, last): &(i64, i64)| {
                    larger.get(larger.partition_point(|r| r.1 < *first)).is_some_and(|r| r.0 <= *last)
                };
                smaller.iter().any(intersects)
            }
            (Domain::Texts(a), Domain::Texts(b)) => {
                let (smaller, larger) = if a.len() <= b.len() { (a, b) } else { (b, a) };
                let prefixes = larger.partition_point(|p| matches!(p, Pattern::Exact(_)));
                let intersects = |p: &Pattern| match p {
                    Pattern::Exact(_) => {
                        larger[..prefixes].binary_search(p).is_ok()
                            || larger[prefixes..].iter().any(|q| q.covers(p))
                    }
                    Pattern::Prefix(_) => larger.iter().any(|q| q.covers(p) || p.covers(q)),
                };
                smaller.iter().any(intersects)
            }
            (Domain::Texts(a), Domain::AllExcept(excluded))
            | (Domain::AllExcept(excluded), Domain::Texts(a)) => {
                a.iter().any(|p| !matches!(p, Pattern::Exact(t) if excluded.contains(t)))
            }
            _ => true,
        }
    }

    /// All other values; `None` if the complement cannot be represented.
    pub(crate) fn complement(&self) -> Option<Domain> {
        match self {
            Domain::Ints(ranges) => {
                let mut out = Vec::with_capacity(ranges.len() + 1);
                let mut gap_start = Some(i64::MIN);
                for (first, last) in ranges {
                    if let Some(gap_start) = gap_start.filter(|start| start < first) {
                        out.push((gap_start, first - 1));
                    }
                    gap_start = last.checked_add(1);
                }
                out.extend(gap_start.map(|start| (start, i64::MAX)));
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

    /// The union of domains of the same kind.
    pub(crate) fn union(all: Vec<Domain>) -> Domain {
        let (mut ranges, mut patterns, mut excluded) = (Vec::new(), Vec::new(), None::<BTreeSet<String>>);
        let ints = matches!(all.first(), Some(Domain::Ints(_)));
        for domain in all {
            match domain {
                Domain::Ints(r) => ranges.extend(r),
                Domain::Texts(p) => patterns.extend(p),
                Domain::AllExcept(texts) => {
                    excluded = Some(match excluded {
                        Some(mut excluded) => {
                            excluded.retain(|t| texts.contains(t));
                            excluded
                        }
                        None => texts,
                    });
                }
            }
        }
        let Some(mut excluded) = excluded else {
            return if ints { Domain::ranges(ranges) } else { Domain::texts(patterns) };
        };
        for p in &patterns {
            match p {
                Pattern::Exact(t) => drop(excluded.remove(t)),
                Pattern::Prefix(p) => excluded.retain(|t| !t.starts_with(p.as_str())),
            }
        }
        Domain::AllExcept(excluded)
    }

    /// The intersection, possibly over-approximated.
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
            (Domain::Texts(a), Domain::AllExcept(excluded))
            | (Domain::AllExcept(excluded), Domain::Texts(a)) => {
                let is_kept = |p: &&Pattern| !matches!(p, Pattern::Exact(t) if excluded.contains(t));
                let is_exact = |p: &Pattern| match p {
                    Pattern::Exact(_) => true,
                    Pattern::Prefix(p) => !any_starts_with(excluded, p),
                };
                (Domain::Texts(a.iter().filter(is_kept).cloned().collect()), a.iter().all(is_exact))
            }
            (Domain::AllExcept(a), Domain::AllExcept(b)) if a.len() + b.len() > MAX_PIECES => {
                (self.clone(), false)
            }
            (Domain::AllExcept(a), Domain::AllExcept(b)) => (Domain::AllExcept(a | b), true),
            // The type checker rules out domains of different kinds.
            _ => (self.clone(), false),
        }
    }

    /// The values of this domain that are not in the other, possibly over-approximated.
    pub(crate) fn difference(&self, other: &Domain) -> Domain {
        match (self, other) {
            (Domain::Ints(_), Domain::Ints(_)) => match other.complement() {
                Some(rest) => self.intersection(&rest).0,
                None => self.clone(),
            },
            (Domain::Texts(a), Domain::Texts(b)) => {
                let prefixes = b.partition_point(|p| matches!(p, Pattern::Exact(_)));
                let has_prefix = |p: &Pattern| b[prefixes..].iter().take(MAX_PIECES).any(|q| q.covers(p));
                let remaining = |p: &&Pattern| b[..prefixes].binary_search(p).is_err() && !has_prefix(p);
                Domain::Texts(a.iter().filter(remaining).cloned().collect())
            }
            (Domain::Texts(a), Domain::AllExcept(excluded)) => {
                let remaining = excluded.iter().map(|t| Pattern::Exact(t.clone()));
                Domain::texts(remaining.filter(|t| a.iter().any(|p| p.covers(t))).collect())
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
