//! Dependencies of the ordering key. Ordered classes keep requests in order within one key only, so that two
//! requests for the same block with different keys could be reordered.

use crate::ast::{ArithOp, Expr, ExprKind};
use crate::program::{Field, FIELDS};
use crate::region::Bindings;
use std::collections::{BTreeSet, HashMap};

/// What a key depends on, apart from volume, plan, unit number and target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyDependencies {
    /// Fields in which two requests for the same block may differ.
    pub varying_fields: BTreeSet<&'static str>,
    /// The values of `N` in `lba / N`: numbers of consecutive blocks that share a key.
    pub lba_divisors: BTreeSet<u64>,
    /// Whether `lba` is used in any other way, so that adjacent blocks may have different keys.
    pub lba_undivided: bool,
}

impl KeyDependencies {
    pub(crate) fn of(
        key: &Expr,
        lets: &[(String, crate::Span, Expr)],
        constants: &Bindings,
    ) -> KeyDependencies {
        let mut bindings: HashMap<&str, KeyDependencies> = HashMap::new();
        for (name, _, value) in lets {
            let mut binding = KeyDependencies::default();
            binding.visit(value, &bindings, constants);
            bindings.insert(name, binding);
        }
        let mut out = KeyDependencies::default();
        out.visit(key, &bindings, constants);
        out
    }

    fn visit(&mut self, e: &Expr, lets: &HashMap<&str, KeyDependencies>, constants: &Bindings) {
        let mut visit_all =
            |exprs: &mut dyn Iterator<Item = &Expr>| exprs.for_each(|e| self.visit(e, lets, constants));
        match &e.kind {
            ExprKind::Name(name) => match FIELDS.iter().find(|f| f.0 == name) {
                Some((_, Field::Volume | Field::Plan | Field::Lun | Field::Target, _)) => {}
                Some((_, Field::Lba, _)) => self.lba_undivided = true,
                Some((name, _, _)) => drop(self.varying_fields.insert(name)),
                None => {
                    if let Some(binding) = lets.get(name.as_str()) {
                        self.varying_fields.extend(&binding.varying_fields);
                        self.lba_divisors.extend(&binding.lba_divisors);
                        self.lba_undivided |= binding.lba_undivided;
                    }
                }
            },
            ExprKind::Chain(first, rest) => {
                let divisor = match rest.first() {
                    Some((ArithOp::Div, divisor_expr)) if matches!(&first.kind, ExprKind::Name(n) if n == "lba") => {
                        constants.int(divisor_expr).and_then(|n| u64::try_from(n).ok())
                    }
                    _ => None,
                };
                match divisor {
                    Some(divisor) => {
                        self.lba_divisors.insert(divisor);
                        rest.iter().skip(1).for_each(|(_, t)| self.visit(t, lets, constants));
                    }
                    None => visit_all(&mut std::iter::once(&**first).chain(rest.iter().map(|r| &r.1))),
                }
            }
            ExprKind::Not(a) => self.visit(a, lets, constants),
            ExprKind::And(a) | ExprKind::Or(a) | ExprKind::Call(_, a) => visit_all(&mut a.iter()),
            ExprKind::Compare(_, a, b) => visit_all(&mut [&**a, &**b].into_iter()),
            ExprKind::In(a, b) => visit_all(&mut std::iter::once(&**a).chain(b)),
            ExprKind::If(a, b, c) => visit_all(&mut [&**a, &**b, &**c].into_iter()),
            ExprKind::Int(_)
            | ExprKind::Size(_)
            | ExprKind::Duration(_)
            | ExprKind::Bool(_)
            | ExprKind::Text(_)
            | ExprKind::Invalid => {}
        }
    }

    /// Descriptions of all ways in which one block, or the blocks of one command, may have different keys, on
    /// a volume with extents of `extent_blocks` blocks.
    pub fn conflicts(&self, extent_blocks: u64) -> Vec<String> {
        let mut out = Vec::new();
        if !self.varying_fields.is_empty() {
            let fields: Vec<&str> = self.varying_fields.iter().copied().collect();
            out.push(format!(
                "two requests for one block may differ in {} and so have two keys",
                fields.join(", ")
            ));
        }
        if self.lba_undivided {
            out.push(
                "`lba` is used other than in `lba / N`, so blocks of one command may have two keys"
                    .to_owned(),
            );
        }
        for divisor in self.lba_divisors.iter().filter(|n| **n == 0 || **n % extent_blocks.max(1) != 0) {
            out.push(format!(
                "`lba / {divisor}`: {divisor} is not a multiple of the extent's {extent_blocks} blocks, so blocks of one command may \
                 have two keys"
            ));
        }
        out
    }
}
