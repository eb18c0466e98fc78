//! First match among many rows without trying each: rows are dealt out by what their conditions ask of a field.

use crate::domain::{Domain, Pattern};
use crate::program::{Field, Fields, Observer, Program, Value, FIELDS};
use crate::region::{Cell, Region};
use crate::search_trees::{IntervalTree, PrefixTree};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Rows of a leaf that are tried one by one.
const MAX_LEAF_ENTRIES: usize = 8;
/// Entries that a whole tree places at the most. Danger: ranges that all overlap, in several fields, would stand at the
/// product of their depths; what is left over then is tried one by one, and the bound on steps shows it.
const MAX_TREE_ENTRIES: usize = 4 << 20;

/// A row and one of the cells in which it may match.
#[derive(Clone, Copy, Debug)]
struct Entry<'a> {
    row: u32,
    cell: &'a Cell,
}

impl<'a> Entry<'a> {
    /// What it asks of a field; `None`: nothing that tells requests apart.
    fn constraint(&self, field: Field) -> Option<&'a Domain> {
        self.cell.get(field).filter(|d| match d {
            Domain::Ints(ranges) => ranges[..] != [(i64::MIN, i64::MAX)],
            Domain::Texts(_) => true,
            Domain::AllExcept(_) => false,
        })
    }
}

/// Rows in the order in which they are tried.
#[derive(Clone, Debug)]
pub(crate) enum DecisionTree {
    Leaf(Vec<u32>),
    Split(Box<Split>),
}

/// Rows by what they ask of one field; those that ask nothing are the rest.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    field: Field,
    by_int: FxHashMap<i64, DecisionTree>,
    by_text: FxHashMap<String, DecisionTree>,
    by_interval: Option<IntervalTree<DecisionTree>>,
    by_prefix: Option<PrefixTree<DecisionTree>>,
    unconstrained: DecisionTree,
}

/// Entries as one field deals them out.
#[derive(Default)]
struct Partition<'a> {
    by_int: BTreeMap<i64, Vec<Entry<'a>>>,
    by_text: BTreeMap<&'a str, Vec<Entry<'a>>>,
    by_interval: Vec<(i64, i64, Entry<'a>)>,
    by_prefix: BTreeMap<&'a str, Vec<Entry<'a>>>,
    unconstrained: Vec<Entry<'a>>,
}

impl<'a> Partition<'a> {
    fn of(entries: &[Entry<'a>], field: Field) -> Partition<'a> {
        let mut out = Partition::default();
        for e in entries {
            match e.constraint(field) {
                Some(Domain::Ints(ranges)) if ranges.iter().all(|(a, b)| a == b) => {
                    ranges.iter().for_each(|(n, _)| out.by_int.entry(*n).or_default().push(*e));
                }
                Some(Domain::Ints(ranges)) => {
                    out.by_interval.extend(ranges.iter().map(|(a, b)| (*a, *b, *e)))
                }
                Some(Domain::Texts(patterns)) => {
                    for p in patterns {
                        match p {
                            Pattern::Exact(t) => out.by_text.entry(t).or_default().push(*e),
                            Pattern::Prefix(t) => out.by_prefix.entry(t).or_default().push(*e),
                        }
                    }
                }
                _ => out.unconstrained.push(*e),
            }
        }
        out
    }

    /// Entries that a request may meet at the worst, near enough to choose by.
    fn worst_candidates(&self) -> usize {
        fn max_len<'a, K>(groups: &BTreeMap<K, Vec<Entry<'a>>>) -> usize {
            groups.values().map(Vec::len).max().unwrap_or(0)
        }
        let mut ends: Vec<(i64, i64)> = Vec::with_capacity(2 * self.by_interval.len());
        for (from, to, _) in &self.by_interval {
            ends.push((*from, 1));
            ends.extend(to.checked_add(1).map(|end| (end, -1)));
        }
        ends.sort_unstable();
        let mut open = 0;
        let depth = ends.into_iter().map(|(_, step)| {
            open += step;
            open
        });
        let by_interval = depth.max().unwrap_or(0).max(0) as usize;
        // Prefixes that begin each other add up; in order, what begins a text stands before it.
        let (mut path, mut within, mut by_prefix) = (Vec::<(&str, usize)>::new(), 0, 0);
        for (prefix, entries) in &self.by_prefix {
            while path.last().is_some_and(|(p, _)| !prefix.starts_with(p)) {
                within -= path.pop().map_or(0, |(_, n)| n);
            }
            within += entries.len();
            path.push((prefix, entries.len()));
            by_prefix = by_prefix.max(within);
        }
        max_len(&self.by_int) + max_len(&self.by_text) + by_interval + by_prefix + self.unconstrained.len()
    }

    fn entry_count(&self) -> usize {
        let all = |by: &mut dyn Iterator<Item = &Vec<Entry<'a>>>| by.map(Vec::len).sum::<usize>();
        let logs = usize::BITS - self.by_interval.len().leading_zeros();
        all(&mut self.by_int.values())
            + all(&mut self.by_text.values())
            + all(&mut self.by_prefix.values())
            + self.by_interval.len() * logs as usize
            + self.unconstrained.len()
    }
}

/// Builds a tree within its bounds.
struct TreeBuilder {
    used_fields: Vec<Field>,
    remaining_entries: usize,
}

impl TreeBuilder {
    fn tree(&mut self, entries: Vec<Entry<'_>>) -> DecisionTree {
        if entries.len() <= MAX_LEAF_ENTRIES {
            return leaf(&entries);
        }
        let fields = FIELDS.iter().map(|f| f.1).filter(|f| !self.used_fields.contains(f));
        let partition = fields.filter(|f| entries.iter().any(|e| e.constraint(*f).is_some()));
        let partition = partition.map(|f| (f, Partition::of(&entries, f)));
        let Some((candidates, field, partition)) =
            partition.map(|(f, d)| (d.worst_candidates(), f, d)).min_by_key(|d| (d.0, d.1))
        else {
            return leaf(&entries);
        };
        let entry_count = partition.entry_count();
        if candidates * 4 > entries.len() * 3 || entry_count > self.remaining_entries {
            return leaf(&entries);
        }
        self.remaining_entries -= entry_count;
        self.used_fields.push(field);
        let unconstrained = self.tree(partition.unconstrained);
        let by_int = partition.by_int.into_iter().map(|(n, es)| (n, self.tree(es))).collect();
        let by_text = partition.by_text.into_iter().map(|(t, es)| (t.to_owned(), self.tree(es))).collect();
        let by_interval = (!partition.by_interval.is_empty())
            .then(|| IntervalTree::build(&partition.by_interval, |es| self.tree(es)));
        let by_prefix = (!partition.by_prefix.is_empty()).then(|| {
            let all = partition.by_prefix.into_iter().map(|(t, es)| (t.to_owned(), self.tree(es)));
            PrefixTree::build(all.collect())
        });
        self.used_fields.pop();
        DecisionTree::Split(Box::new(Split { field, by_int, by_text, by_interval, by_prefix, unconstrained }))
    }
}

fn leaf(entries: &[Entry<'_>]) -> DecisionTree {
    let mut rows: Vec<u32> = entries.iter().map(|e| e.row).collect();
    rows.sort_unstable();
    rows.dedup();
    DecisionTree::Leaf(rows)
}

impl DecisionTree {
    /// Over rows in order, by where each may match.
    pub(crate) fn build(regions: &[Region]) -> DecisionTree {
        let cells = regions
            .iter()
            .zip(0u32..)
            .flat_map(|(r, row)| r.cells.iter().map(move |cell| Entry { row, cell }));
        TreeBuilder { used_fields: Vec::new(), remaining_entries: MAX_TREE_ENTRIES }.tree(cells.collect())
    }

    /// The first row, below `best`, that `holds`; steps are counted for each branch and row.
    pub(crate) fn first_match<W: Observer>(
        &self,
        fields: &Fields<'_>,
        best: u32,
        observer: &mut W,
        matches_row: &mut impl FnMut(u32, &mut W) -> bool,
    ) -> u32 {
        observer.steps(|| 1);
        let split = match self {
            DecisionTree::Leaf(rows) => {
                let mut sooner = rows.iter().take_while(|r| **r < best);
                return sooner.find(|r| matches_row(**r, observer)).copied().unwrap_or(best);
            }
            DecisionTree::Split(split) => split,
        };
        let mut best = best;
        match fields.value(split.field) {
            Value::Text(t) => {
                if let Some(tree) = split.by_text.get(t) {
                    best = tree.first_match(fields, best, observer, matches_row);
                }
                if let Some(by_prefix) = &split.by_prefix {
                    observer.steps(|| Program::TEXT_STEPS);
                    for tree in by_prefix.prefixes_of(t) {
                        best = tree.first_match(fields, best, observer, matches_row);
                    }
                }
            }
            value => {
                let n = match value {
                    Value::Int(n) => n,
                    Value::Bool(b) => i64::from(b),
                    Value::Text(_) => 0,
                };
                if let Some(tree) = split.by_int.get(&n) {
                    best = tree.first_match(fields, best, observer, matches_row);
                }
                if let Some(by_interval) = &split.by_interval {
                    observer.steps(|| by_interval.steps());
                    for tree in by_interval.containing(n) {
                        best = tree.first_match(fields, best, observer, matches_row);
                    }
                }
            }
        }
        split.unconstrained.first_match(fields, best, observer, matches_row)
    }

    /// Worst steps, given those of each row.
    pub(crate) fn worst_steps(&self, row: &dyn Fn(u32) -> u64) -> u64 {
        let of = |t: &DecisionTree| t.worst_steps(row);
        1 + match self {
            DecisionTree::Leaf(rows) => rows.iter().map(|r| row(*r)).sum(),
            DecisionTree::Split(s) => {
                s.by_int.values().map(of).max().unwrap_or(0)
                    + s.by_text.values().map(of).max().unwrap_or(0)
                    + s.by_interval.as_ref().map_or(0, |x| x.steps() + x.max_path_sum(&of))
                    + s.by_prefix.as_ref().map_or(0, |x| Program::TEXT_STEPS + x.max_path_sum(&of))
                    + s.unconstrained.worst_steps(row)
            }
        }
    }
}
