//! Regions: the requests for which a condition may hold, as unions of cells over the fields, derived from the
//! syntax tree.
//!
//! The decision tree, the warnings about rows that never match, and the classes that an operation may reach
//! are computed from regions. A region contains every request for which its condition holds.

use crate::ast::{ArithOp, Comparison, Expr, ExprKind};
use crate::domain::{Domain, Pattern};
use crate::program::{Field, FIELDS};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of cells of a region. Beyond it the region is over-approximated and inexact: a union
/// becomes all requests, an intersection the operand with fewer cells.
const MAX_CELLS: usize = 16;

/// A product of domains: the domain of each listed field, sorted by field. Other fields may have any value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Cell(pub(crate) Vec<(Field, Domain)>);

impl Cell {
    pub(crate) fn of(field: Field, domain: Domain) -> Cell {
        Cell(vec![(field, domain)])
    }

    pub(crate) fn get(&self, field: Field) -> Option<&Domain> {
        self.0.iter().find(|d| d.0 == field).map(|d| &d.1)
    }

    fn set(&mut self, field: Field, domain: Domain) {
        match self.0.binary_search_by_key(&field, |d| d.0) {
            Ok(at) => self.0[at].1 = domain,
            Err(at) => self.0.insert(at, (field, domain)),
        }
    }

    /// Whether the cells may have a common request.
    pub(crate) fn may_intersect(&self, other: &Cell) -> bool {
        other.0.iter().all(|(f, d)| self.get(*f).is_none_or(|current| current.may_intersect(d)))
    }

    /// Number of pieces of its domains, plus one.
    pub(crate) fn pieces(&self) -> usize {
        1 + self.0.iter().map(|(_, d)| d.pieces()).sum::<usize>()
    }

    /// The intersection and whether it is exact; `None` if it is empty.
    pub(crate) fn intersection(&self, other: &Cell) -> Option<(Cell, bool)> {
        let (mut out, mut exact) = (self.clone(), true);
        for (field, domain) in &other.0 {
            let both = match out.get(*field) {
                Some(current) => {
                    let (both, is_exact) = current.intersection(domain);
                    exact &= is_exact;
                    both
                }
                None => domain.clone(),
            };
            if both.is_empty() {
                return None;
            }
            out.set(*field, both);
        }
        Some((out, exact))
    }

    /// Cells that contain every request of this cell that is not in the other.
    pub(crate) fn difference(&self, other: &Cell) -> Vec<Cell> {
        let (mut out, mut rest) = (Vec::new(), self.clone());
        for (field, domain) in &other.0 {
            let current = rest.get(*field).cloned();
            let outside = match &current {
                Some(current) => Some(current.difference(domain)),
                None => domain.complement(),
            };
            // A difference that cannot be represented is over-approximated by the whole domain.
            let outside = outside.or_else(|| current.clone());
            match outside {
                None => return vec![self.clone()],
                Some(outside) if outside.is_empty() => {}
                Some(outside) => {
                    let mut cell = rest.clone();
                    cell.set(*field, outside);
                    out.push(cell);
                }
            }
            let inside = current.map_or_else(|| domain.clone(), |m| m.intersection(domain).0);
            rest.set(*field, inside);
        }
        out
    }
}

/// Cells that together contain every request for which a condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Region {
    pub(crate) cells: Vec<Cell>,
    /// Whether the cells contain no other requests.
    pub(crate) exact: bool,
}

impl Region {
    /// Contains every request. `exact` is false if the condition may not hold for all of them.
    pub(crate) fn all(exact: bool) -> Region {
        Region { cells: vec![Cell::default()], exact }
    }

    /// Contains no request.
    fn none() -> Region {
        Region { cells: Vec::new(), exact: true }
    }

    fn of(field: Field, domain: Domain, exact: bool) -> Region {
        let cells = if domain.is_empty() { Vec::new() } else { vec![Cell::of(field, domain)] };
        Region { cells, exact }
    }

    fn intersection(&self, other: &Region) -> Region {
        if self.cells.len() * other.cells.len() > MAX_CELLS {
            let smaller = if self.cells.len() <= other.cells.len() { self } else { other };
            return Region { cells: smaller.cells.clone(), exact: false };
        }
        let mut out = Region { cells: Vec::new(), exact: self.exact && other.exact };
        for a in &self.cells {
            for (cell, exact) in other.cells.iter().filter_map(|b| a.intersection(b)) {
                out.cells.push(cell);
                out.exact &= exact;
            }
        }
        out
    }

    /// The union. Cells that constrain only the same single field are merged into one.
    fn union(all: impl Iterator<Item = Region>) -> Region {
        let mut out = Region::none();
        let mut single_field: BTreeMap<Field, Vec<Domain>> = BTreeMap::new();
        for region in all {
            out.exact &= region.exact;
            for mut cell in region.cells {
                match (cell.0.len(), cell.0.pop()) {
                    (1, Some((field, domain))) => single_field.entry(field).or_default().push(domain),
                    (_, Some(last)) => {
                        cell.0.push(last);
                        out.cells.push(cell);
                    }
                    // A cell without constraints contains all requests.
                    (_, None) => return Region::all(region.exact),
                }
            }
            if out.cells.len() > MAX_CELLS {
                return Region::all(false);
            }
        }
        out.cells.extend(single_field.into_iter().map(|(f, all)| Cell::of(f, Domain::union(all))));
        if out.cells.len() > MAX_CELLS {
            Region::all(false)
        } else {
            out
        }
    }
}

/// The `let` bindings: constant values, and the regions in which a boolean is false and true.
#[derive(Debug, Default)]
pub(crate) struct Bindings {
    constants: HashMap<String, Expr>,
    regions: HashMap<String, [Region; 2]>,
}

impl Bindings {
    /// Adds a binding. Bindings must be added in their order, and each is analyzed once, however often it is
    /// used.
    pub(crate) fn add(&mut self, name: &str, value: &Expr) {
        let constant = match (self.int(value), &value.kind) {
            (Some(n), _) => Some(ExprKind::Int(n)),
            (None, ExprKind::Text(t)) => Some(ExprKind::Text(t.clone())),
            (None, ExprKind::Bool(b)) => Some(ExprKind::Bool(*b)),
            _ => None,
        };
        if let Some(kind) = constant {
            self.constants.insert(name.to_owned(), Expr { kind, span: value.span });
        }
        let regions = [self.region(value, false), self.region(value, true)];
        self.regions.insert(name.to_owned(), regions);
    }

    /// The region in which the value of a condition is `expected`.
    pub(crate) fn region(&self, e: &Expr, expected: bool) -> Region {
        let all = |terms: &[Expr]| {
            terms.iter().fold(Region::all(true), |r, t| {
                if r.cells.is_empty() {
                    r
                } else {
                    r.intersection(&self.region(t, expected))
                }
            })
        };
        let any = |terms: &[Expr]| Region::union(terms.iter().map(|t| self.region(t, expected)));
        match &e.kind {
            ExprKind::Bool(b) if *b == expected => Region::all(true),
            ExprKind::Bool(_) => Region::none(),
            ExprKind::Not(inner) => self.region(inner, !expected),
            ExprKind::And(terms) if expected => all(terms),
            ExprKind::And(terms) => any(terms),
            ExprKind::Or(terms) if expected => any(terms),
            ExprKind::Or(terms) => all(terms),
            ExprKind::If(condition, then_value, else_value) => {
                let branch = |truth: bool, e: &Expr| {
                    self.region(condition, truth).intersection(&self.region(e, expected))
                };
                Region::union([branch(true, then_value), branch(false, else_value)].into_iter())
            }
            ExprKind::Name(name) => match (field(name), self.regions.get(name)) {
                (Some(f), _) => Region::of(f, Domain::range(i64::from(expected), i64::from(expected)), true),
                (None, Some(regions)) => regions[usize::from(expected)].clone(),
                (None, None) => Region::all(false),
            },
            ExprKind::Compare(c, a, b) => {
                let comparison =
                    self.comparison_domain(*c, a, b).or_else(|| self.comparison_domain(c.flipped(), b, a));
                comparison
                    .map_or_else(|| Region::all(false), |(f, d, exact)| region_where(f, &d, exact, expected))
            }
            ExprKind::In(value, items) => self
                .membership_domain(value, items)
                .map_or_else(|| Region::all(false), |(f, d)| region_where(f, &d, true, expected)),
            ExprKind::Call(function, arguments) => {
                match (prefix_pattern(function, arguments), &arguments[..]) {
                    (Some((pattern, exact)), [value, _]) => match field_of(value) {
                        Some(f) => region_where(f, &Domain::texts(vec![pattern]), exact, expected),
                        None => Region::all(false),
                    },
                    _ => Region::all(false),
                }
            }
            _ => Region::all(false),
        }
    }

    /// The value of a constant numeric expression.
    pub(crate) fn int(&self, e: &Expr) -> Option<i64> {
        match &e.kind {
            ExprKind::Int(n) | ExprKind::Size(n) | ExprKind::Duration(n) => Some(*n),
            ExprKind::Name(n) => self.constants.get(n).and_then(|c| self.int(c)),
            ExprKind::Chain(first, rest) => {
                rest.iter().try_fold(self.int(first)?, |n, (op, term)| Some(op.apply(n, self.int(term)?)))
            }
            _ => None,
        }
    }

    /// The text of a literal, or of a name that is bound to one.
    fn text<'a>(&'a self, e: &'a Expr) -> Option<&'a str> {
        match &e.kind {
            ExprKind::Text(t) => Some(t),
            ExprKind::Name(n) => self.constants.get(n).and_then(|c| self.text(c)),
            _ => None,
        }
    }

    /// The field and domain for which a comparison of a field with a constant is true, and whether it is
    /// exact.
    fn comparison_domain(&self, c: Comparison, a: &Expr, b: &Expr) -> Option<(Field, Domain, bool)> {
        let (field, divisor) = self.divided_field(a)?;
        if let Some(n) = self.int(b) {
            let (first, last) = quotient_range(n, divisor)?;
            let domain = match c {
                Comparison::Equal => Domain::range(first, last),
                Comparison::Unequal => Domain::range(first, last).complement()?,
                Comparison::Less => Domain::range(i64::MIN, first.checked_sub(1)?),
                Comparison::LessEqual => Domain::range(i64::MIN, last),
                Comparison::Greater => Domain::range(last.checked_add(1)?, i64::MAX),
                Comparison::GreaterEqual => Domain::range(first, i64::MAX),
            };
            return Some((field, domain, true));
        }
        let domain = match (self.text(b), &b.kind) {
            (Some(t), _) => Domain::texts(vec![Pattern::Exact(t.to_owned())]),
            (None, ExprKind::Bool(b)) => Domain::range(i64::from(*b), i64::from(*b)),
            _ => return None,
        };
        match c {
            Comparison::Equal => Some((field, domain, true)),
            Comparison::Unequal => Some((field, domain.complement()?, true)),
            _ => None,
        }
    }

    /// The field and domain for which an `in` test is true.
    fn membership_domain(&self, value: &Expr, items: &[Expr]) -> Option<(Field, Domain)> {
        let (field, divisor) = self.divided_field(value)?;
        if items.iter().all(|i| matches!(i.kind, ExprKind::Text(_))) {
            let texts = items.iter().filter_map(|i| self.text(i));
            return Some((field, Domain::texts(texts.map(|t| Pattern::Exact(t.to_owned())).collect())));
        }
        let ranges: Option<Vec<_>> = items.iter().map(|i| quotient_range(self.int(i)?, divisor)).collect();
        Some((field, Domain::ranges(ranges?)))
    }

    /// The field and divisor of `field` (divisor 1) or `field / constant`.
    fn divided_field(&self, e: &Expr) -> Option<(Field, i64)> {
        match &e.kind {
            ExprKind::Name(n) => Some((field(n)?, 1)),
            ExprKind::Chain(first, rest) => match &rest[..] {
                [(ArithOp::Div, by)] => Some((field_of(first)?, self.int(by).filter(|n| *n > 0)?)),
                _ => None,
            },
            _ => None,
        }
    }
}

/// The range of values whose quotient by `by` is `n`; `None` if it exceeds 64 bits. Fields are never
/// negative, so the range for a negative quotient only needs its ends in order.
fn quotient_range(n: i64, by: i64) -> Option<(i64, i64)> {
    let first = n.checked_mul(by)?;
    let last = first.saturating_add(by - 1);
    Some(if n < 0 { (first, n.max(first)) } else { (first, last) })
}

/// The region in which `field` lies in `domain`, or outside of it if `expected` is false.
fn region_where(field: Field, domain: &Domain, exact: bool, expected: bool) -> Region {
    if expected {
        return Region::of(field, domain.clone(), exact);
    }
    match domain.complement().filter(|_| exact) {
        Some(rest) => Region::of(field, rest, true),
        None => Region::all(false),
    }
}

/// The pattern that `starts_with` or `glob` requires of a text, and whether the pattern is equivalent to the
/// call.
fn prefix_pattern(function: &str, arguments: &[Expr]) -> Option<(Pattern, bool)> {
    let Some(ExprKind::Text(t)) = arguments.get(1).map(|a| &a.kind) else { return None };
    match function {
        "starts_with" => Some((Pattern::Prefix(t.clone()), true)),
        "glob" => match t.split_once('*') {
            None => Some((Pattern::Exact(t.clone()), true)),
            Some((head, tail)) => Some((Pattern::Prefix(head.to_owned()), tail.chars().all(|c| c == '*'))),
        },
        _ => None,
    }
}

fn field(name: &str) -> Option<Field> {
    FIELDS.iter().find(|f| f.0 == name).map(|f| f.1)
}

fn field_of(e: &Expr) -> Option<Field> {
    match &e.kind {
        ExprKind::Name(n) => field(n),
        _ => None,
    }
}

/// The cell of all possible requests: no field is negative, and some fields have few values.
pub(crate) fn all_requests() -> Cell {
    let texts = |all: &[&str]| Domain::texts(all.iter().map(|w| Pattern::Exact((*w).to_owned())).collect());
    let mut out = Cell::default();
    for (_, field, _) in FIELDS {
        let domain = match field {
            Field::Op => texts(&crate::compile::OPERATIONS),
            Field::Direction => texts(&crate::compile::DIRECTIONS),
            Field::Volume | Field::Plan | Field::Initiator | Field::Target => {
                Domain::AllExcept(BTreeSet::new())
            }
            Field::Fua => Domain::range(0, 1),
            Field::Lun => Domain::range(0, i64::from(u16::MAX)),
            Field::Group => Domain::range(0, i64::from(u8::MAX)),
            Field::Lba | Field::Blocks | Field::Bytes | Field::Time => Domain::range(0, i64::MAX),
        };
        out.set(field, domain);
    }
    out
}
