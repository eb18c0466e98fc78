//! Which of many ranges a number lies in, and which of many prefixes a text begins with, without trying each.

use std::collections::BTreeMap;

/// A segment tree: each range stands at a few nodes, and a number's nodes are those from its leaf to the root.
#[derive(Clone, Debug)]
pub(crate) struct IntervalTree<T> {
    /// Where each leaf begins; the first at the lowest number.
    starts: Vec<i64>,
    /// Leaves from `size` on; the parent of `i` is `i / 2`, the root 1.
    nodes: Vec<Option<T>>,
    /// The nearest node from each upwards, itself first, that has a value; 0: none. Most have none.
    nearest_valued: Vec<u32>,
    size: usize,
}

impl<T> IntervalTree<T> {
    /// Over ranges with both ends in; `make` turns what stands at one node into its value.
    pub(crate) fn build<E: Copy>(
        ranges: &[(i64, i64, E)],
        mut make: impl FnMut(Vec<E>) -> T,
    ) -> IntervalTree<T> {
        let mut starts = vec![i64::MIN];
        for (from, to, _) in ranges {
            starts.push(*from);
            starts.extend(to.checked_add(1));
        }
        starts.sort_unstable();
        starts.dedup();
        let size = starts.len().next_power_of_two();
        let mut at: Vec<Vec<E>> = (0..2 * size).map(|_| Vec::new()).collect();
        let leaf = |n: i64| size + starts.partition_point(|s| *s <= n) - 1;
        for (from, to, e) in ranges.iter().filter(|(from, to, _)| from <= to) {
            let (mut l, mut r) = (leaf(*from), leaf(*to) + 1);
            while l < r {
                if l % 2 == 1 {
                    at[l].push(*e);
                    l += 1;
                }
                if r % 2 == 1 {
                    r -= 1;
                    at[r].push(*e);
                }
                (l, r) = (l / 2, r / 2);
            }
        }
        let nodes: Vec<Option<T>> = at.into_iter().map(|es| (!es.is_empty()).then(|| make(es))).collect();
        let mut nearest_valued = vec![0u32; nodes.len()];
        for i in 1..nodes.len() {
            nearest_valued[i] = if nodes[i].is_some() { i as u32 } else { nearest_valued[i / 2] };
        }
        IntervalTree { starts, nodes, nearest_valued, size }
    }

    /// Values at all nodes whose ranges hold the number.
    pub(crate) fn containing(&self, n: i64) -> impl Iterator<Item = &T> {
        let leaf = self.size + self.starts.partition_point(|s| *s <= n) - 1;
        let from = |i: usize| (self.nearest_valued[i] > 0).then_some(self.nearest_valued[i] as usize);
        let up = std::iter::successors(from(leaf), move |i| from(i / 2));
        up.filter_map(|i| self.nodes[i].as_ref())
    }

    /// Steps of finding the leaf and walking up.
    pub(crate) fn steps(&self) -> u64 {
        2 * u64::from(self.size.ilog2()) + 1
    }

    /// The most that one number's nodes come to.
    pub(crate) fn max_path_sum(&self, value_of: &dyn Fn(&T) -> u64) -> u64 {
        let mut sums = vec![0u64; self.nodes.len()];
        for i in 1..self.nodes.len() {
            let own = self.nodes[i].as_ref().map_or(0, value_of);
            sums[i] = sums[i / 2] + own;
        }
        sums.into_iter().max().unwrap_or(0)
    }
}

/// Texts by how they begin; a node holds what its text adds to its parent's.
#[derive(Clone, Debug)]
pub(crate) struct PrefixTree<T> {
    nodes: Vec<Node<T>>,
}

#[derive(Clone, Debug)]
struct Node<T> {
    label: Box<[u8]>,
    value: Option<T>,
    /// In order of the first bytes of their labels.
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

    fn child(&self, node: usize, first: u8) -> Result<usize, usize> {
        self.nodes[node]
            .children
            .binary_search_by_key(&Some(first), |c| self.nodes[*c].label.first().copied())
    }

    /// In order of the texts, so that a text that begins another comes before it.
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
            let same = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
            if same < label.len() {
                // They part within the label: a node for what they share takes its place.
                let (head, tail): (Box<[u8]>, Box<[u8]>) = (label[..same].into(), label[same..].into());
                self.nodes[child].label = tail;
                self.nodes.push(Node { label: head, value: None, children: vec![child] });
                let new = self.nodes.len() - 1;
                self.nodes[at].children[position] = new;
                at = new;
            } else {
                at = child;
            }
            rest = &rest[same..];
        }
        self.nodes[at].value = Some(value);
    }

    /// Values of all prefixes that the text begins with.
    pub(crate) fn prefixes_of<'a>(&'a self, text: &'a str) -> impl Iterator<Item = &'a T> + 'a {
        let below = move |(node, rest): &(usize, &'a [u8])| {
            let child = self.nodes[*node].children[self.child(*node, *rest.first()?).ok()?];
            Some((child, rest.strip_prefix(&self.nodes[child].label[..])?))
        };
        let path = std::iter::successors(Some((0, text.as_bytes())), below);
        path.filter_map(|(node, _)| self.nodes[node].value.as_ref())
    }

    /// The most that the prefixes of one text come to.
    pub(crate) fn max_path_sum(&self, value_of: &dyn Fn(&T) -> u64) -> u64 {
        let mut most = 0;
        let mut open = vec![(0usize, 0u64)];
        while let Some((node, before)) = open.pop() {
            let sum = before + self.nodes[node].value.as_ref().map_or(0, value_of);
            most = most.max(sum);
            open.extend(self.nodes[node].children.iter().map(|c| (*c, sum)));
        }
        most
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
        fn a_number_finds_the_ranges_that_hold_it(
            ranges in proptest::collection::vec((prop_oneof![-9i64..40, Just(i64::MIN), Just(i64::MAX)],
                prop_oneof![-9i64..40, Just(i64::MIN), Just(i64::MAX)]), 0..30),
            n in prop_oneof![-12i64..45, Just(i64::MIN), Just(i64::MAX)],
        ) {
            let ranges: Vec<_> = ranges.into_iter().enumerate().map(|(i, (a, b))| (a, b, i)).collect();
            let intervals = IntervalTree::build(&ranges, |es| es);
            let mut found: Vec<usize> = intervals.containing(n).flatten().copied().collect();
            found.sort_unstable();
            let plain: Vec<usize> = ranges.iter().filter(|r| r.0 <= n && n <= r.1).map(|r| r.2).collect();
            prop_assert!(intervals.max_path_sum(&|es| es.len() as u64) >= found.len() as u64);
            prop_assert_eq!(found, plain);
        }

        #[test]
        fn a_text_finds_the_prefixes_that_it_begins_with(
            prefixes in proptest::collection::btree_set("[ab\u{e4}\u{f6}]{0,6}", 0..30), text in "[ab\u{e4}\u{f6}]{0,8}",
        ) {
            let all = prefixes.iter().map(|p| (p.clone(), p.clone())).collect();
            let tree = PrefixTree::build(all);
            let found: Vec<&String> = tree.prefixes_of(&text).collect();
            let mut plain: Vec<&String> = prefixes.iter().filter(|p| text.starts_with(p.as_str())).collect();
            plain.sort_by_key(|p| p.len());
            prop_assert!(tree.max_path_sum(&|_| 1) >= found.len() as u64);
            prop_assert_eq!(found, plain);
        }
    }
}
