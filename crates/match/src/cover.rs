//! Rows that can never match, and what an operation may reach: which requests are left when earlier rows had theirs.

use crate::ast::Row;
use crate::diagnostic::{Diagnostic, Span};
use crate::domain::{Domain, Pattern};
use crate::program::{Field, FIELDS};
use crate::region::{everything, Cell, Region};
use std::collections::BTreeMap;

/// Pieces into which what is left of one row may fall; beyond it the question is left open.
const MOST_PIECES: usize = 64;
/// Pieces of domains that are handled for one row, and for a whole list; beyond it the question is left open.
const MOST_WORK_A_ROW: usize = 30_000;
const MOST_WORK: usize = 1_000_000;

/// Earlier rows that a warning names at the most.
const MOST_NAMED: usize = 4;

/// Takes the requests of exact rows away from cells.
struct Left {
    cells: Vec<Cell>,
    work: usize,
}

impl Left {
    /// Whether some were taken; `None` where it can't be told any more.
    fn take_away(&mut self, region: &Region) -> Option<bool> {
        let mut taken = false;
        for gone in region.cells.iter().filter(|_| region.exact) {
            let mut left = Vec::with_capacity(self.cells.len());
            for cell in std::mem::take(&mut self.cells) {
                self.work += 1;
                if cell.meets(gone) {
                    self.work += cell.pieces() + gone.pieces();
                    left.extend(cell.less(gone));
                    taken = true;
                } else {
                    left.push(cell);
                }
            }
            self.cells = left;
            if self.cells.len() > MOST_PIECES || self.work > MOST_WORK_A_ROW {
                return None;
            }
        }
        Some(taken)
    }
}

/// Earlier rows by the values that they ask of one field, so that a row is held against those that it may meet.
struct Earlier {
    field: Field,
    by: BTreeMap<Pattern, Vec<usize>>,
    /// Rows that ask for no value.
    others: Vec<usize>,
}

impl Earlier {
    fn new(regions: &[Region]) -> Earlier {
        let asking = |f: Field| regions.iter().filter(|r| values(r, f).is_some()).count();
        let field = FIELDS.iter().map(|f| f.1).max_by_key(|f| asking(*f)).unwrap_or(Field::Op);
        Earlier { field, by: BTreeMap::new(), others: Vec::new() }
    }

    fn add(&mut self, row: usize, region: &Region) {
        match values(region, self.field) {
            Some(values) => values.into_iter().for_each(|v| self.by.entry(v).or_default().push(row)),
            None => self.others.push(row),
        }
    }

    /// Rows that may share a request with this region, in order.
    fn meeting(&self, region: &Region) -> Vec<usize> {
        let mut rows = self.others.clone();
        match values(region, self.field) {
            Some(values) => values.iter().filter_map(|v| self.by.get(v)).for_each(|r| rows.extend(r)),
            None => self.by.values().for_each(|r| rows.extend(r)),
        }
        rows.sort_unstable();
        rows.dedup();
        rows
    }
}

/// Values of a field that every cell of a region names one by one.
fn values(region: &Region, field: Field) -> Option<Vec<Pattern>> {
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
pub(crate) fn unreached(rows: &[Row], regions: &[Region]) -> Vec<Diagnostic> {
    let mut out = Vec::new();
    let all = everything();
    let mut earlier = Earlier::new(regions);
    let mut same: BTreeMap<String, usize> = BTreeMap::new();
    let (mut work, mut closed) = (0, None::<usize>);
    for (i, (row, region)) in rows.iter().zip(regions).enumerate() {
        let mut never = |why: &str, because: &[usize], label: &str| {
            let told = Diagnostic::new(row.span, format!("this row never matches: {why}"));
            let spans = because.iter().take(MOST_NAMED).map(|r| rows[*r].span);
            out.push(spans.fold(told, |f, p: Span| f.label(p, label)));
        };
        if let Some(before) = closed {
            never("a row before it takes all requests", &[before], "takes all that comes to it");
            continue;
        }
        let twin = row.when.as_ref().and_then(|w| same.insert(w.shape(), i));
        if let Some(twin) = twin {
            never("a row before it has the same condition", &[twin], "the same condition");
            continue;
        }
        let cells: Vec<Cell> = region.cells.iter().filter_map(|c| all.and(c)).map(|c| c.0).collect();
        if cells.is_empty() {
            never("its condition holds for no request", &[], "");
            continue;
        }
        let mut left = Left { cells, work: 0 };
        let mut taken = Vec::new();
        // Who writes `otherwise` must; whether anything is left for it is not asked.
        if row.when.is_some() && work < MOST_WORK {
            let rows = earlier.meeting(region);
            work += rows.len();
            for r in rows {
                match left.take_away(&regions[r]) {
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
            never("rows before it take all its requests", &taken, "takes some or all of them");
            continue;
        }
        let takes_all = region.exact && region.cells.iter().any(|c| c.0.is_empty());
        closed = takes_all.then_some(i);
        earlier.add(i, region);
    }
    out
}

/// Rows that a request with this `op` may reach.
pub(crate) fn reached_by(op: &str, regions: &[Region]) -> Vec<usize> {
    let asked = Cell::of(Field::Op, Domain::texts(vec![Pattern::Exact(op.to_owned())]));
    let cells = everything().and(&asked).map(|c| c.0).into_iter().collect();
    let mut left = Left { cells, work: 0 };
    let (mut out, mut telling) = (Vec::new(), true);
    for (i, region) in regions.iter().enumerate() {
        let meets = |c: &Cell| region.cells.iter().any(|mine| c.meets(mine));
        if left.cells.iter().any(meets) {
            out.push(i);
        }
        // In doubt what was left is left still: a row too many is told, none too few.
        telling = telling && left.take_away(region).is_some();
        if left.cells.is_empty() {
            break;
        }
    }
    out
}
