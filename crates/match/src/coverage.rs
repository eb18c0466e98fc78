//! Rows that can never match, and what an operation may reach: which requests are left when earlier rows had theirs.

use crate::ast::Row;
use crate::diagnostic::{Diagnostic, Span};
use crate::domain::{Domain, Pattern};
use crate::program::{Field, FIELDS};
use crate::region::{all_requests, Cell, Region};
use std::collections::BTreeMap;

/// Pieces into which what is left of one row may fall; beyond it the question is left open.
const MAX_REMAINING_CELLS: usize = 64;
/// Pieces of domains that are handled for one row, and for a whole list; beyond it the question is left open.
const MAX_WORK_PER_ROW: usize = 30_000;
const MAX_WORK: usize = 1_000_000;

/// Earlier rows that a warning names at the most.
const MAX_LABELS: usize = 4;

/// Takes the requests of exact rows away from cells.
struct Remaining {
    cells: Vec<Cell>,
    work: usize,
}

impl Remaining {
    /// Whether some were taken; `None` where it can't be told any more.
    fn subtract(&mut self, region: &Region) -> Option<bool> {
        let mut taken = false;
        for removed in region.cells.iter().filter(|_| region.exact) {
            let mut left = Vec::with_capacity(self.cells.len());
            for cell in std::mem::take(&mut self.cells) {
                self.work += 1;
                if cell.may_intersect(removed) {
                    self.work += cell.pieces() + removed.pieces();
                    left.extend(cell.difference(removed));
                    taken = true;
                } else {
                    left.push(cell);
                }
            }
            self.cells = left;
            if self.cells.len() > MAX_REMAINING_CELLS || self.work > MAX_WORK_PER_ROW {
                return None;
            }
        }
        Some(taken)
    }
}

/// Earlier rows by the values that they ask of one field, so that a row is held against those that it may meet.
struct RowIndex {
    field: Field,
    by_value: BTreeMap<Pattern, Vec<usize>>,
    /// Rows that ask for no value.
    unenumerated: Vec<usize>,
}

impl RowIndex {
    fn new(regions: &[Region]) -> RowIndex {
        let asking = |f: Field| regions.iter().filter(|r| enumerated_values(r, f).is_some()).count();
        let field = FIELDS.iter().map(|f| f.1).max_by_key(|f| asking(*f)).unwrap_or(Field::Op);
        RowIndex { field, by_value: BTreeMap::new(), unenumerated: Vec::new() }
    }

    fn add(&mut self, row: usize, region: &Region) {
        match enumerated_values(region, self.field) {
            Some(enumerated_values) => {
                enumerated_values.into_iter().for_each(|v| self.by_value.entry(v).or_default().push(row))
            }
            None => self.unenumerated.push(row),
        }
    }

    /// Rows that may share a request with this region, in order.
    fn candidates(&self, region: &Region) -> Vec<usize> {
        let mut rows = self.unenumerated.clone();
        match enumerated_values(region, self.field) {
            Some(enumerated_values) => {
                enumerated_values.iter().filter_map(|v| self.by_value.get(v)).for_each(|r| rows.extend(r))
            }
            None => self.by_value.values().for_each(|r| rows.extend(r)),
        }
        rows.sort_unstable();
        rows.dedup();
        rows
    }
}

/// Values of a field that every cell of a region names one by one.
fn enumerated_values(region: &Region, field: Field) -> Option<Vec<Pattern>> {
    let mut out = Vec::new();
    for cell in &region.cells {
        match cell.get(field)? {
            Domain::Ints(ranges) if ranges.iter().all(|(a, b)| a == b) => {
                out.extend(ranges.iter().map(|(n, _)| Pattern::Exact(n.to_string())));
            }
            Domain::Texts(p) if p.iter().all(|p| matches!(p, Pattern::Exact(_))) => {
                out.extend(p.iter().cloned())
            }
            _ => return None,
        }
    }
    Some(out)
}

/// A warning for each row that no request can reach, as far as it can be told.
pub(crate) fn unreachable_rows(rows: &[Row], regions: &[Region]) -> Vec<Diagnostic> {
    let mut out = Vec::new();
    let all = all_requests();
    let mut earlier = RowIndex::new(regions);
    let mut same: BTreeMap<String, usize> = BTreeMap::new();
    let (mut work, mut catch_all) = (0, None::<usize>);
    for (i, (row, region)) in rows.iter().zip(regions).enumerate() {
        let mut warn = |why: &str, because: &[usize], label: &str| {
            let told = Diagnostic::new(row.span, format!("this row never matches: {why}"));
            let spans = because.iter().take(MAX_LABELS).map(|r| rows[*r].span);
            out.push(spans.fold(told, |f, p: Span| f.label(p, label)));
        };
        if let Some(before) = catch_all {
            warn("an earlier row matches all requests", &[before], "matches all remaining requests");
            continue;
        }
        let duplicate = row.condition.as_ref().and_then(|w| same.insert(w.shape(), i));
        if let Some(duplicate) = duplicate {
            warn("an earlier row has the same condition", &[duplicate], "the same condition");
            continue;
        }
        let cells: Vec<Cell> = region.cells.iter().filter_map(|c| all.intersection(c)).map(|c| c.0).collect();
        if cells.is_empty() {
            warn("its condition is never true", &[], "");
            continue;
        }
        let mut left = Remaining { cells, work: 0 };
        let mut taken = Vec::new();
        // Who writes `otherwise` must; whether anything is left for it is not asked.
        if row.condition.is_some() && work < MAX_WORK {
            let rows = earlier.candidates(region);
            work += rows.len();
            for r in rows {
                match left.subtract(&regions[r]) {
                    Some(true) => taken.push(r),
                    Some(false) => {}
                    None => break,
                }
                if left.cells.is_empty() {
                    break;
                }
            }
            work += left.work + 1;
        }
        if left.cells.is_empty() {
            warn("earlier rows match all its requests", &taken, "matches some or all of them");
            continue;
        }
        let takes_all = region.exact && region.cells.iter().any(|c| c.0.is_empty());
        catch_all = takes_all.then_some(i);
        earlier.add(i, region);
    }
    out
}

/// Rows that a request with this `op` may reach.
pub(crate) fn reachable_rows(op: &str, regions: &[Region]) -> Vec<usize> {
    let asked = Cell::of(Field::Op, Domain::texts(vec![Pattern::Exact(op.to_owned())]));
    let cells = all_requests().intersection(&asked).map(|c| c.0).into_iter().collect();
    let mut left = Remaining { cells, work: 0 };
    let (mut out, mut is_tracking) = (Vec::new(), true);
    for (i, region) in regions.iter().enumerate() {
        let meets = |c: &Cell| region.cells.iter().any(|mine| c.may_intersect(mine));
        if left.cells.iter().any(meets) {
            out.push(i);
        }
        // In doubt what was left is left still: a row too many is told, none too few.
        is_tracking = is_tracking && left.subtract(region).is_some();
        if left.cells.is_empty() {
            break;
        }
    }
    out
}
