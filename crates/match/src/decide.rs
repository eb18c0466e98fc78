//! First match among many rows without trying each: rows are dealt out by what their conditions ask of a field.

use crate::domain::{Domain, Pattern};
use crate::program::{Field, Fields, Program, Value, Watch, FIELDS};
use crate::region::{Cell, Region};
use crate::stab::{IntervalTree, PrefixTree};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Rows of a leaf that are tried one by one.
const LEAF: usize = 8;
/// Entries that a whole tree places at the most. Danger: ranges that all overlap, in several fields, would stand at the
/// product of their depths; what is left over then is tried one by one, and the bound on steps shows it.
const MOST_PLACED: usize = 4 << 20;

/// A row and one of the cells in which it may match.
#[derive(Clone, Copy, Debug)]
struct Entry<'a> {
    row: u32,
    cell: &'a Cell,
}

impl<'a> Entry<'a> {
    /// What it asks of a field; `None`: nothing that tells requests apart.
    fn asks(&self, field: Field) -> Option<&'a Domain> {
        self.cell.get(field).filter(|d| match d {
            Domain::Ints(ranges) => ranges[..] != [(i64::MIN, i64::MAX)],
            Domain::Texts(_) => true,
            Domain::AllBut(_) => false,
        })
    }
}

/// Rows in the order in which they are tried.
#[derive(Clone, Debug)]
pub(crate) enum Tree {
    Leaf(Vec<u32>),
    Split(Box<Split>),
}

/// Rows by what they ask of one field; those that ask nothing are the rest.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    field: Field,
    ints: FxHashMap<i64, Tree>,
    texts: FxHashMap<String, Tree>,
    intervals: Option<IntervalTree<Tree>>,
    prefixes: Option<PrefixTree<Tree>>,
    rest: Tree,
}

/// Entries as one field deals them out.
#[derive(Default)]
struct Dealt<'a> {
    ints: BTreeMap<i64, Vec<Entry<'a>>>,
    texts: BTreeMap<&'a str, Vec<Entry<'a>>>,
    intervals: Vec<(i64, i64, Entry<'a>)>,
    prefixes: BTreeMap<&'a str, Vec<Entry<'a>>>,
    rest: Vec<Entry<'a>>,
}

impl<'a> Dealt<'a> {
    fn of(entries: &[Entry<'a>], field: Field) -> Dealt<'a> {
        let mut out = Dealt::default();
        for e in entries {
            match e.asks(field) {
                Some(Domain::Ints(ranges)) if ranges.iter().all(|(a, b)| a == b) => {
                    ranges.iter().for_each(|(n, _)| out.ints.entry(*n).or_default().push(*e));
                }
                Some(Domain::Ints(ranges)) => out.intervals.extend(ranges.iter().map(|(a, b)| (*a, *b, *e))),
                Some(Domain::Texts(patterns)) => {
                    for p in patterns {
                        match p {
                            Pattern::Exact(t) => out.texts.entry(t).or_default().push(*e),
                            Pattern::Prefix(t) => out.prefixes.entry(t).or_default().push(*e),
                        }
                    }
                }
                _ => out.rest.push(*e),
            }
        }
        out
    }

    /// Entries that a request may meet at the worst, near enough to choose by.
    fn worst(&self) -> usize {
        fn most<'a, K>(by: &BTreeMap<K, Vec<Entry<'a>>>) -> usize {
            by.values().map(Vec::len).max().unwrap_or(0)
        }
        let mut ends: Vec<(i64, i64)> = Vec::with_capacity(2 * self.intervals.len());
        for (from, to, _) in &self.intervals {
            ends.push((*from, 1));
            ends.extend(to.checked_add(1).map(|end| (end, -1)));
        }
        ends.sort_unstable();
        let mut open = 0;
        let depth = ends.into_iter().map(|(_, step)| {
            open += step;
            open
        });
        let intervals = depth.max().unwrap_or(0).max(0) as usize;
        // Prefixes that begin each other add up; in order, what begins a text stands before it.
        let (mut path, mut within, mut prefixes) = (Vec::<(&str, usize)>::new(), 0, 0);
        for (prefix, entries) in &self.prefixes {
            while path.last().is_some_and(|(p, _)| !prefix.starts_with(p)) {
                within -= path.pop().map_or(0, |(_, n)| n);
            }
            within += entries.len();
            path.push((prefix, entries.len()));
            prefixes = prefixes.max(within);
        }
        most(&self.ints) + most(&self.texts) + intervals + prefixes + self.rest.len()
    }

    fn placed(&self) -> usize {
        let all = |by: &mut dyn Iterator<Item = &Vec<Entry<'a>>>| by.map(Vec::len).sum::<usize>();
        let logs = usize::BITS - self.intervals.len().leading_zeros();
        all(&mut self.ints.values())
            + all(&mut self.texts.values())
            + all(&mut self.prefixes.values())
            + self.intervals.len() * logs as usize
            + self.rest.len()
    }
}

/// Builds a tree within its bounds.
struct Builder {
    used: Vec<Field>,
    left: usize,
}

impl Builder {
    fn tree(&mut self, entries: Vec<Entry<'_>>) -> Tree {
        if entries.len() <= LEAF {
            return leaf(&entries);
        }
        let fields = FIELDS.iter().map(|f| f.1).filter(|f| !self.used.contains(f));
        let dealt = fields.filter(|f| entries.iter().any(|e| e.asks(*f).is_some()));
        let dealt = dealt.map(|f| (f, Dealt::of(&entries, f)));
        let Some((worst, field, dealt)) = dealt.map(|(f, d)| (d.worst(), f, d)).min_by_key(|d| (d.0, d.1))
        else {
            return leaf(&entries);
        };
        let placed = dealt.placed();
        if worst * 4 > entries.len() * 3 || placed > self.left {
            return leaf(&entries);
        }
        self.left -= placed;
        self.used.push(field);
        let rest = self.tree(dealt.rest);
        let ints = dealt.ints.into_iter().map(|(n, es)| (n, self.tree(es))).collect();
        let texts = dealt.texts.into_iter().map(|(t, es)| (t.to_owned(), self.tree(es))).collect();
        let intervals =
            (!dealt.intervals.is_empty()).then(|| IntervalTree::build(&dealt.intervals, |es| self.tree(es)));
        let prefixes = (!dealt.prefixes.is_empty()).then(|| {
            let all = dealt.prefixes.into_iter().map(|(t, es)| (t.to_owned(), self.tree(es)));
            PrefixTree::build(all.collect())
        });
        self.used.pop();
        Tree::Split(Box::new(Split { field, ints, texts, intervals, prefixes, rest }))
    }
}

fn leaf(entries: &[Entry<'_>]) -> Tree {
    let mut rows: Vec<u32> = entries.iter().map(|e| e.row).collect();
    rows.sort_unstable();
    rows.dedup();
    Tree::Leaf(rows)
}

impl Tree {
    /// Over rows in order, by where each may match.
    pub(crate) fn build(regions: &[Region]) -> Tree {
        let cells = regions
            .iter()
            .zip(0u32..)
            .flat_map(|(r, row)| r.cells.iter().map(move |cell| Entry { row, cell }));
        Builder { used: Vec::new(), left: MOST_PLACED }.tree(cells.collect())
    }

    /// The first row, below `best`, that `holds`; steps are counted for each branch and row.
    pub(crate) fn first<W: Watch>(
        &self,
        fields: &Fields<'_>,
        best: u32,
        watch: &mut W,
        holds: &mut impl FnMut(u32, &mut W) -> bool,
    ) -> u32 {
        watch.steps(|| 1);
        let split = match self {
            Tree::Leaf(rows) => {
                let mut sooner = rows.iter().take_while(|r| **r < best);
                return sooner.find(|r| holds(**r, watch)).copied().unwrap_or(best);
            }
            Tree::Split(split) => split,
        };
        let mut best = best;
        match fields.value(split.field) {
            Value::Text(t) => {
                if let Some(tree) = split.texts.get(t) {
                    best = tree.first(fields, best, watch, holds);
                }
                if let Some(prefixes) = &split.prefixes {
                    watch.steps(|| Program::TEXT_STEPS);
                    for tree in prefixes.of(t) {
                        best = tree.first(fields, best, watch, holds);
                    }
                }
            }
            value => {
                let n = match value {
                    Value::Int(n) => n,
                    Value::Bool(b) => i64::from(b),
                    Value::Text(_) => 0,
                };
                if let Some(tree) = split.ints.get(&n) {
                    best = tree.first(fields, best, watch, holds);
                }
                if let Some(intervals) = &split.intervals {
                    watch.steps(|| intervals.steps());
                    for tree in intervals.holding(n) {
                        best = tree.first(fields, best, watch, holds);
                    }
                }
            }
        }
        split.rest.first(fields, best, watch, holds)
    }

    /// Worst steps, given those of each row.
    pub(crate) fn worst(&self, row: &dyn Fn(u32) -> u64) -> u64 {
        let of = |t: &Tree| t.worst(row);
        1 + match self {
            Tree::Leaf(rows) => rows.iter().map(|r| row(*r)).sum(),
            Tree::Split(s) => {
                s.ints.values().map(of).max().unwrap_or(0)
                    + s.texts.values().map(of).max().unwrap_or(0)
                    + s.intervals.as_ref().map_or(0, |x| x.steps() + x.worst(&of))
                    + s.prefixes.as_ref().map_or(0, |x| Program::TEXT_STEPS + x.worst(&of))
                    + s.rest.worst(row)
            }
        }
    }
}
