//! A decision tree that finds the first matching row without evaluating every row. Inner nodes partition the
//! rows by the constraints that their conditions place on one field.

use crate::domain::{Domain, Pattern};
use crate::program::{Field, Fields, Observer, Program, Value, FIELDS};
use crate::region::{Cell, Region};
use crate::search_trees::{IntervalTree, PrefixTree};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;

/// Maximum number of entries in a list that is not split further.
const MAX_LEAF_ENTRIES: usize = 8;
/// Maximum number of entries in all nodes of a tree. Ranges that overlap in several fields would otherwise
/// need memory for the product of their overlaps. Beyond the limit, leaves stay larger, and the worst-case
/// step count grows.
const MAX_TREE_ENTRIES: usize = 4 << 20;

/// A row and one of the cells in which it may match.
#[derive(Clone, Copy, Debug)]
struct Entry<'a> {
    row: u32,
    cell: &'a Cell,
}

impl<'a> Entry<'a> {
    /// The constraint on a field; `None` if there is none by which requests can be distinguished.
    fn constraint(&self, field: Field) -> Option<&'a Domain> {
        self.cell.get(field).filter(|d| match d {
            Domain::Ints(ranges) => ranges[..] != [(i64::MIN, i64::MAX)],
            Domain::Texts(_) => true,
            Domain::AllExcept(_) => false,
        })
    }
}

/// A decision tree; the rows of a leaf are tried in order.
#[derive(Clone, Debug)]
pub(crate) enum DecisionTree {
    Leaf(Vec<u32>),
    Split(Box<Split>),
}

/// An inner node: rows by their constraint on one field. Rows without such a constraint are in
/// `unconstrained`.
#[derive(Clone, Debug)]
pub(crate) struct Split {
    field: Field,
    by_int: FxHashMap<i64, DecisionTree>,
    by_text: FxHashMap<String, DecisionTree>,
    by_interval: Option<IntervalTree<DecisionTree>>,
    by_prefix: Option<PrefixTree<DecisionTree>>,
    unconstrained: DecisionTree,
}

/// Entries partitioned by their constraint on one field.
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

    /// Upper estimate of the number of entries that one request may have to try, used to choose the field of
    /// a split.
    fn worst_candidates(&self) -> usize {
        fn max_len<'a, K>(groups: &BTreeMap<K, Vec<Entry<'a>>>) -> usize {
            groups.values().map(Vec::len).max().unwrap_or(0)
        }
        let mut ends: Vec<(i64, i64)> = Vec::with_capacity(2 * self.by_interval.len());
        for (first, last, _) in &self.by_interval {
            ends.push((*first, 1));
            ends.extend(last.checked_add(1).map(|end| (end, -1)));
        }
        ends.sort_unstable();
        let mut overlap = 0;
        let overlaps = ends.into_iter().map(|(_, step)| {
            overlap += step;
            overlap
        });
        let max_overlap = overlaps.max().unwrap_or(0).max(0) as usize;
        // A text may begin with several nested prefixes, whose entries add up. In sorted order a prefix comes
        // before the texts that begin with it.
        let (mut path, mut path_entries, mut max_path_entries) = (Vec::<(&str, usize)>::new(), 0, 0);
        for (prefix, entries) in &self.by_prefix {
            while path.last().is_some_and(|(p, _)| !prefix.starts_with(p)) {
                path_entries -= path.pop().map_or(0, |(_, n)| n);
            }
            path_entries += entries.len();
            path.push((prefix, entries.len()));
            max_path_entries = max_path_entries.max(path_entries);
        }
        max_len(&self.by_int)
            + max_len(&self.by_text)
            + max_overlap
            + max_path_entries
            + self.unconstrained.len()
    }

    /// Number of entries in all child nodes; an interval occurs in up to a logarithmic number of nodes.
    fn entry_count(&self) -> usize {
        let total = |groups: &mut dyn Iterator<Item = &Vec<Entry<'a>>>| groups.map(Vec::len).sum::<usize>();
        let nodes_per_interval = usize::BITS - self.by_interval.len().leading_zeros();
        total(&mut self.by_int.values())
            + total(&mut self.by_text.values())
            + total(&mut self.by_prefix.values())
            + self.by_interval.len() * nodes_per_interval as usize
            + self.unconstrained.len()
    }
}

struct TreeBuilder {
    /// Fields on which the ancestors of the current node split.
    used_fields: Vec<Field>,
    /// Entries that may still be added to the tree.
    remaining_entries: usize,
}

impl TreeBuilder {
    /// Builds the subtree of some entries. A split is made only if it reduces the candidates by at least a
    /// quarter.
    fn build(&mut self, entries: Vec<Entry<'_>>) -> DecisionTree {
        if entries.len() <= MAX_LEAF_ENTRIES {
            return leaf(&entries);
        }
        let fields = FIELDS.iter().map(|f| f.1).filter(|f| !self.used_fields.contains(f));
        let fields = fields.filter(|f| entries.iter().any(|e| e.constraint(*f).is_some()));
        let partitions = fields.map(|f| (f, Partition::of(&entries, f)));
        let Some((candidates, field, partition)) =
            partitions.map(|(f, p)| (p.worst_candidates(), f, p)).min_by_key(|p| (p.0, p.1))
        else {
            return leaf(&entries);
        };
        let entry_count = partition.entry_count();
        if candidates * 4 > entries.len() * 3 || entry_count > self.remaining_entries {
            return leaf(&entries);
        }
        self.remaining_entries -= entry_count;
        self.used_fields.push(field);
        let unconstrained = self.build(partition.unconstrained);
        let by_int = partition.by_int.into_iter().map(|(n, es)| (n, self.build(es))).collect();
        let by_text = partition.by_text.into_iter().map(|(t, es)| (t.to_owned(), self.build(es))).collect();
        let by_interval = (!partition.by_interval.is_empty())
            .then(|| IntervalTree::build(&partition.by_interval, |es| self.build(es)));
        let by_prefix = (!partition.by_prefix.is_empty()).then(|| {
            let all = partition.by_prefix.into_iter().map(|(t, es)| (t.to_owned(), self.build(es)));
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
    /// Builds a tree for rows in their order, given the region in which each may match.
    pub(crate) fn build(regions: &[Region]) -> DecisionTree {
        let cells = regions
            .iter()
            .zip(0u32..)
            .flat_map(|(r, row)| r.cells.iter().map(move |cell| Entry { row, cell }));
        TreeBuilder { used_fields: Vec::new(), remaining_entries: MAX_TREE_ENTRIES }.build(cells.collect())
    }

    /// The lowest row below `best` for which `matches_row` is true, or `best` if there is none. Steps are
    /// reported to `observer` for each node and row.
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
                let mut earlier = rows.iter().take_while(|r| **r < best);
                return earlier.find(|r| matches_row(**r, observer)).copied().unwrap_or(best);
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

    /// The worst-case number of steps, given that of each row.
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
