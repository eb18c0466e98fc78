//! Coverage analysis: finds rows that can never match and the rows that an operation may reach, by
//! subtracting the regions of earlier rows.

use crate::ast::Row;
use crate::diagnostic::{Diagnostic, Span};
use crate::domain::{Domain, Pattern};
use crate::program::{Field, FIELDS};
use crate::region::{all_requests, Cell, Region};
use std::collections::BTreeMap;

/// Maximum number of cells that the uncovered part of one row may have; beyond it no warning is given.
const MAX_REMAINING_CELLS: usize = 64;
/// Maximum number of domain pieces that are processed for one row; beyond it no warning is given for the row.
const MAX_WORK_PER_ROW: usize = 30_000;
/// Maximum number of domain pieces that are processed for a list; beyond it later rows are not compared with
/// the earlier ones.
const MAX_WORK: usize = 1_000_000;

/// Maximum number of earlier rows that a warning labels.
const MAX_LABELS: usize = 4;

/// The requests of a row that earlier rows do not cover.
struct Remaining {
    cells: Vec<Cell>,
    /// Domain pieces processed so far.
    work: usize,
}

impl Remaining {
    /// Subtracts a region if it is exact. Returns whether any cell was affected; `None` if a limit was
    /// exceeded.
    fn subtract(&mut self, region: &Region) -> Option<bool> {
        let mut affected = false;
        for removed in region.cells.iter().filter(|_| region.exact) {
            let mut rest = Vec::with_capacity(self.cells.len());
            for cell in std::mem::take(&mut self.cells) {
                self.work += 1;
                if cell.may_intersect(removed) {
                    self.work += cell.pieces() + removed.pieces();
                    rest.extend(cell.difference(removed));
                    affected = true;
                } else {
                    rest.push(cell);
                }
            }
            self.cells = rest;
            if self.cells.len() > MAX_REMAINING_CELLS || self.work > MAX_WORK_PER_ROW {
                return None;
            }
        }
        Some(affected)
    }
}

/// An index of earlier rows by the values of one field, so that a row is only compared with rows that it may
/// overlap.
struct RowIndex {
    field: Field,
    by_value: BTreeMap<Pattern, Vec<usize>>,
    /// Rows that do not enumerate values of the field.
    unenumerated: Vec<usize>,
}

impl RowIndex {
    /// Creates an empty index over the field whose values most rows enumerate.
    fn new(regions: &[Region]) -> RowIndex {
        let enumerating_rows =
            |f: Field| regions.iter().filter(|r| enumerated_values(r, f).is_some()).count();
        let field = FIELDS.iter().map(|f| f.1).max_by_key(|f| enumerating_rows(*f)).unwrap_or(Field::Op);
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

    /// Rows that may overlap a region, in order.
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

/// The values of a field in a region, if every cell enumerates them.
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

/// Returns a warning for each row that provably never matches.
pub(crate) fn unreachable_rows(rows: &[Row], regions: &[Region]) -> Vec<Diagnostic> {
    let mut out = Vec::new();
    let all = all_requests();
    let mut earlier = RowIndex::new(regions);
    let mut conditions: BTreeMap<String, usize> = BTreeMap::new();
    let (mut work, mut catch_all) = (0, None::<usize>);
    for (i, (row, region)) in rows.iter().zip(regions).enumerate() {
        let mut warn = |reason: &str, earlier_rows: &[usize], label: &str| {
            let warning = Diagnostic::new(row.span, format!("this row never matches: {reason}"));
            let spans = earlier_rows.iter().take(MAX_LABELS).map(|r| rows[*r].span);
            out.push(spans.fold(warning, |w, span: Span| w.label(span, label)));
        };
        if let Some(row) = catch_all {
            warn("an earlier row matches all requests", &[row], "matches all remaining requests");
            continue;
        }
        let duplicate = row.condition.as_ref().and_then(|w| conditions.insert(w.shape(), i));
        if let Some(duplicate) = duplicate {
            warn("an earlier row has the same condition", &[duplicate], "the same condition");
            continue;
        }
        let cells: Vec<Cell> = region.cells.iter().filter_map(|c| all.intersection(c)).map(|c| c.0).collect();
        if cells.is_empty() {
            warn("its condition is never true", &[], "");
            continue;
        }
        let mut remaining = Remaining { cells, work: 0 };
        let mut covering = Vec::new();
        // `otherwise` is mandatory, so that it is not checked for remaining requests.
        if row.condition.is_some() && work < MAX_WORK {
            let rows = earlier.candidates(region);
            work += rows.len();
            for r in rows {
                match remaining.subtract(&regions[r]) {
                    Some(true) => covering.push(r),
                    Some(false) => {}
                    None => break,
                }
                if remaining.cells.is_empty() {
                    break;
                }
            }
            work += remaining.work + 1;
        }
        if remaining.cells.is_empty() {
            warn("earlier rows match all its requests", &covering, "matches some or all of them");
            continue;
        }
        let matches_all = region.exact && region.cells.iter().any(|c| c.0.is_empty());
        catch_all = matches_all.then_some(i);
        earlier.add(i, region);
    }
    out
}

/// The indices of the rows that may be the first match of a request with this `op`: rows that earlier ones
/// cover completely are left out. May include rows that it cannot match, but omits none.
pub(crate) fn reachable_rows(op: &str, regions: &[Region]) -> Vec<usize> {
    let operation = Cell::of(Field::Op, Domain::texts(vec![Pattern::Exact(op.to_owned())]));
    let cells = all_requests().intersection(&operation).map(|c| c.0).into_iter().collect();
    let mut remaining = Remaining { cells, work: 0 };
    let (mut out, mut is_tracking) = (Vec::new(), true);
    for (i, region) in regions.iter().enumerate() {
        let may_match = |c: &Cell| region.cells.iter().any(|other| c.may_intersect(other));
        if remaining.cells.iter().any(may_match) {
            out.push(i);
        }
        // Once a limit is exceeded nothing more is subtracted, so that too many rows are reported rather than
        // too few.
        is_tracking = is_tracking && remaining.subtract(region).is_some();
        if remaining.cells.is_empty() {
            break;
        }
    }
    out
}
