//! What a key depends on: the order of ordered classes holds within a key, so that who writes one must be told where
//! one block may fall under two.

use crate::ast::{ArithOp, Expr, ExprKind};
use crate::program::{Field, FIELDS};
use crate::region::Bindings;
use std::collections::{BTreeSet, HashMap};

/// What a key is made from, over and above volume, plan and target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyDependencies {
    /// Fields by which two requests for one block may differ.
    pub varying_fields: BTreeSet<&'static str>,
    /// Blocks of each run that `lba / N` cuts the volume into.
    pub lba_divisors: BTreeSet<u64>,
    /// Whether `lba` is used in any other way, so that two blocks side by side may have two keys.
    pub lba_undivided: bool,
}

impl KeyDependencies {
    pub(crate) fn of(key: &Expr, lets: &[(String, crate::Span, Expr)], known: &Bindings) -> KeyDependencies {
        let mut uses: HashMap<&str, KeyDependencies> = HashMap::new();
        for (name, _, value) in lets {
            let mut one = KeyDependencies::default();
            one.read(value, &uses, known);
            uses.insert(name, one);
        }
        let mut out = KeyDependencies::default();
        out.read(key, &uses, known);
        out
    }

    fn read(&mut self, e: &Expr, lets: &HashMap<&str, KeyDependencies>, known: &Bindings) {
        let mut all = |es: &mut dyn Iterator<Item = &Expr>| es.for_each(|e| self.read(e, lets, known));
        match &e.kind {
            ExprKind::Name(name) => match FIELDS.iter().find(|f| f.0 == name) {
                Some((_, Field::Volume | Field::Plan | Field::Lun | Field::Target, _)) => {}
                Some((_, Field::Lba, _)) => self.lba_undivided = true,
                Some((name, _, _)) => drop(self.varying_fields.insert(name)),
                None => {
                    if let Some(one) = lets.get(name.as_str()) {
                        self.varying_fields.extend(&one.varying_fields);
                        self.lba_divisors.extend(&one.lba_divisors);
                        self.lba_undivided |= one.lba_undivided;
                    }
                }
            },
            ExprKind::Chain(first, rest) => {
                let run = match rest.first() {
                    Some((ArithOp::Div, by)) if matches!(&first.kind, ExprKind::Name(n) if n == "lba") => {
                        known.int(by).and_then(|n| u64::try_from(n).ok())
                    }
                    _ => None,
                };
                match run {
                    Some(blocks) => {
                        self.lba_divisors.insert(blocks);
                        rest.iter().skip(1).for_each(|(_, t)| self.read(t, lets, known));
                    }
                    None => all(&mut std::iter::once(&**first).chain(rest.iter().map(|r| &r.1))),
                }
            }
            ExprKind::Not(a) => self.read(a, lets, known),
            ExprKind::And(a) | ExprKind::Or(a) | ExprKind::Call(_, a) => all(&mut a.iter()),
            ExprKind::Compare(_, a, b) => all(&mut [&**a, &**b].into_iter()),
            ExprKind::In(a, b) => all(&mut std::iter::once(&**a).chain(b)),
            ExprKind::If(a, b, c) => all(&mut [&**a, &**b, &**c].into_iter()),
            ExprKind::Int(_)
            | ExprKind::Size(_)
            | ExprKind::Duration(_)
            | ExprKind::Bool(_)
            | ExprKind::Text(_)
            | ExprKind::Invalid => {}
        }
    }

    /// What is wrong with the key where it orders requests over extents of so many blocks.
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
        for run in self.lba_divisors.iter().filter(|n| **n == 0 || **n % extent_blocks.max(1) != 0) {
            out.push(format!(
                "`lba / {run}`: {run} is not a multiple of the extent's {extent_blocks} blocks, so blocks of one command may \
                 have two keys"
            ));
        }
        out
    }
}
