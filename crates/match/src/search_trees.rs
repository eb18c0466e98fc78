//! Search trees for stabbing queries: all intervals that contain a number, and all prefixes of a text.

use std::collections::BTreeMap;

/// A segment tree: each range is stored at a logarithmic number of nodes, and the ranges that contain a
/// number are those on the path from its leaf to the root.
#[derive(Clone, Debug)]
pub(crate) struct IntervalTree<T> {
    /// The lowest number of each leaf; that of the first leaf is `i64::MIN`.
    starts: Vec<i64>,
    /// The tree as an array: the root is 1, the parent of `i` is `i / 2`, and the leaves begin at
    /// `leaf_count`.
    nodes: Vec<Option<T>>,
    /// For each node the closest node with a value on the path to the root, itself included; 0 if there is
    /// none. Most nodes have no value, and queries skip them.
    nearest_valued: Vec<u32>,
    leaf_count: usize,
}

impl<T> IntervalTree<T> {
    /// Builds a tree from inclusive ranges; `make_value` turns the items of one node into its value.
    pub(crate) fn build<E: Copy>(
        ranges: &[(i64, i64, E)],
        mut make_value: impl FnMut(Vec<E>) -> T,
    ) -> IntervalTree<T> {
        let mut starts = vec![i64::MIN];
        for (first, last, _) in ranges {
            starts.push(*first);
            starts.extend(last.checked_add(1));
        }
        starts.sort_unstable();
        starts.dedup();
        let leaf_count = starts.len().next_power_of_two();
        let mut items: Vec<Vec<E>> = (0..2 * leaf_count).map(|_| Vec::new()).collect();
        let leaf = |n: i64| leaf_count + starts.partition_point(|s| *s <= n) - 1;
        for (first, last, item) in ranges.iter().filter(|(first, last, _)| first <= last) {
            let (mut l, mut r) = (leaf(*first), leaf(*last) + 1);
            while l < r {
                if l % 2 == 1 {
                    items[l].push(*item);
                    l += 1;
                }
                if r % 2 == 1 {
                    r -= 1;
                    items[r].push(*item);
                }
                (l, r) = (l / 2, r / 2);
            }
        }
        let nodes: Vec<Option<T>> =
            items.into_iter().map(|node| (!node.is_empty()).then(|| make_value(node))).collect();
        let mut nearest_valued = vec![0u32; nodes.len()];
        for i in 1..nodes.len() {
            nearest_valued[i] = if nodes[i].is_some() { i as u32 } else { nearest_valued[i / 2] };
        }
        IntervalTree { starts, nodes, nearest_valued, leaf_count }
    }

    /// The values of all nodes whose range contains the number.
    pub(crate) fn containing(&self, n: i64) -> impl Iterator<Item = &T> {
        let leaf = self.leaf_count + self.starts.partition_point(|s| *s <= n) - 1;
        let valued_node = |i: usize| (self.nearest_valued[i] > 0).then_some(self.nearest_valued[i] as usize);
        let path = std::iter::successors(valued_node(leaf), move |i| valued_node(i / 2));
        path.filter_map(|i| self.nodes[i].as_ref())
    }

    /// Steps of a query: the binary search for the leaf and the path to the root.
    pub(crate) fn steps(&self) -> u64 {
        2 * u64::from(self.leaf_count.ilog2()) + 1
    }

    /// The maximum sum over the nodes of one number, for given costs of values.
    pub(crate) fn max_path_sum(&self, value_of: &dyn Fn(&T) -> u64) -> u64 {
        let mut sums = vec![0u64; self.nodes.len()];
        for i in 1..self.nodes.len() {
            let value_sum = self.nodes[i].as_ref().map_or(0, value_of);
            sums[i] = sums[i / 2] + value_sum;
        }
        sums.into_iter().max().unwrap_or(0)
    }
}

/// A radix tree of prefixes; the label of a node is what its prefix adds to that of its parent.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTree<T> {
    nodes: Vec<Node<T>>,
}

#[derive(Clone, Debug)]
struct Node<T> {
    label: Box<[u8]>,
    value: Option<T>,
    /// Indices of the child nodes, sorted by the first byte of their labels.
    children: Vec<usize>,
}

impl<T> PrefixTree<T> {
    pub(crate) fn build(prefixes: BTreeMap<String, T>) -> PrefixTree<T> {
        let mut out =
            PrefixTree { nodes: vec![Node { label: Box::from([]), value: None, children: Vec::new() }] };
        for (prefix, value) in prefixes {
            out.insert(prefix.as_bytes(), value);
        }
        out
    }

    /// The position of the child with this first byte, or the position at which to insert it.
    fn child(&self, node: usize, first: u8) -> Result<usize, usize> {
        self.nodes[node]
            .children
            .binary_search_by_key(&Some(first), |c| self.nodes[*c].label.first().copied())
    }

    /// Inserts a prefix.
    fn insert(&mut self, mut rest: &[u8], value: T) {
        let mut at = 0;
        while let Some(first) = rest.first() {
            let position = match self.child(at, *first) {
                Ok(position) => position,
                Err(position) => {
                    self.nodes.push(Node { label: rest.into(), value: None, children: Vec::new() });
                    let new = self.nodes.len() - 1;
                    self.nodes[at].children.insert(position, new);
                    at = new;
                    break;
                }
            };
            let child = self.nodes[at].children[position];
            let label = &self.nodes[child].label;
            let common_len = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
            if common_len < label.len() {
                // The texts differ within the label: a new node for the common part takes the place of the
                // child.
                let (head, tail): (Box<[u8]>, Box<[u8]>) =
                    (label[..common_len].into(), label[common_len..].into());
                self.nodes[child].label = tail;
                self.nodes.push(Node { label: head, value: None, children: vec![child] });
                let new = self.nodes.len() - 1;
                self.nodes[at].children[position] = new;
                at = new;
            } else {
                at = child;
            }
            rest = &rest[common_len..];
        }
        self.nodes[at].value = Some(value);
    }

    /// The values of all prefixes of the text, shortest first.
    pub(crate) fn prefixes_of<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a T> + 'a {
        let below = move |(node, rest): &(usize, &'a [u8])| {
            let child = self.nodes[*node].children[self.child(*node, *rest.first()?).ok()?];
            Some((child, rest.strip_prefix(&self.nodes[child].label[..])?))
        };
        let path = std::iter::successors(Some((0, text.as_bytes())), below);
        path.filter_map(|(node, _)| self.nodes[node].value.as_ref())
    }

    /// The maximum sum over the prefixes of one text, for given costs of values.
    pub(crate) fn max_path_sum(&self, value_of: &dyn Fn(&T) -> u64) -> u64 {
        let mut max_sum = 0;
        let mut pending = vec![(0usize, 0u64)];
        while let Some((node, before)) = pending.pop() {
            let sum = before + self.nodes[node].value.as_ref().map_or(0, value_of);
            max_sum = max_sum.max(sum);
            pending.extend(self.nodes[node].children.iter().map(|c| (*c, sum)));
        }
        max_sum
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(400) })]

        #[test]
        fn interval_tree_finds_all_ranges_that_contain_a_number(
            ranges in proptest::collection::vec((prop_oneof![-9i64..40, Just(i64::MIN), Just(i64::MAX)],
                prop_oneof![-9i64..40, Just(i64::MIN), Just(i64::MAX)]), 0..30),
            n in prop_oneof![-12i64..45, Just(i64::MIN), Just(i64::MAX)],
        ) {
            let ranges: Vec<_> = ranges.into_iter().enumerate().map(|(i, (a, b))| (a, b, i)).collect();
            let intervals = IntervalTree::build(&ranges, |es| es);
            let mut found: Vec<usize> = intervals.containing(n).flatten().copied().collect();
            found.sort_unstable();
            let expected: Vec<usize> = ranges.iter().filter(|r| r.0 <= n && n <= r.1).map(|r| r.2).collect();
            prop_assert!(intervals.max_path_sum(&|es| es.len() as u64) >= found.len() as u64);
            prop_assert_eq!(found, expected);
        }

        #[test]
        fn prefix_tree_finds_all_prefixes_of_a_text(
            prefixes in proptest::collection::btree_set("[ab\u{e4}\u{f6}]{0,6}", 0..30), text in "[ab\u{e4}\u{f6}]{0,8}",
        ) {
            let all = prefixes.iter().map(|p| (p.clone(), p.clone())).collect();
            let tree = PrefixTree::build(all);
            let found: Vec<&String> = tree.prefixes_of(&text).collect();
            let mut expected: Vec<&String> = prefixes.iter().filter(|p| text.starts_with(p.as_str())).collect();
            expected.sort_by_key(|p| p.len());
            prop_assert!(tree.max_path_sum(&|_| 1) >= found.len() as u64);
            prop_assert_eq!(found, expected);
        }
    }
}
