//! Types, names and constants; a tree that passes becomes operations.

use crate::ast::{ArithOp, Comparison, Expr, ExprKind};
use crate::diagnostic::{closest_match, Diagnostic, Span};
use crate::program::{Constant, Glob, Op, Program, Set, Type, FIELDS, MAX_LETS, MAX_STACK};
use std::collections::{HashMap, HashSet};

/// What requests may be, for comparisons that can never hold.
pub(crate) const OPERATIONS: [&str; 5] = ["read", "write", "verify", "flush", "compare-and-write"];
pub(crate) const DIRECTIONS: [&str; 3] = ["in", "out", "none"];
const FUNCTIONS: [&str; 5] = ["starts_with", "ends_with", "contains", "glob", "hash"];
/// Values that `hash` takes at the most.
const MAX_HASH_ARGUMENTS: usize = 8;

/// Turns trees into operations; faults are gathered, and what is wrong has no type.
#[derive(Default)]
pub(crate) struct Compiler {
    pub(crate) program: Program,
    pub(crate) diagnostics: Vec<Diagnostic>,
    lets: HashMap<String, (u16, Option<Type>, Span)>,
    /// Names that the whole file gives.
    all_names: HashSet<String>,
    depth: usize,
}

impl Compiler {
    /// For a file that gives these names.
    pub(crate) fn new(names: impl Iterator<Item = String>) -> Compiler {
        Compiler { all_names: names.collect(), ..Compiler::default() }
    }

    /// Compiles a named value.
    pub(crate) fn add_let(&mut self, name: &str, span: Span, value: &Expr) {
        if FIELDS.iter().any(|f| f.0 == name) || FUNCTIONS.contains(&name) {
            self.diagnostics
                .push(Diagnostic::new(span, format!("`{name}` is already the name of a field or function")));
        }
        if let Some((_, _, first)) = self.lets.get(name) {
            let diagnostic = Diagnostic::new(span, format!("`{name}` is defined twice"));
            self.diagnostics.push(diagnostic.label(*first, "first defined here"));
        }
        let slot = self.program.lets.len();
        if slot >= MAX_LETS {
            let message = format!("more than {MAX_LETS} `let` definitions");
            return self.diagnostics.push(Diagnostic::new(span, message));
        }
        let (from, t) = self.expression(value);
        self.program.lets.push(from);
        self.lets.insert(name.to_owned(), (slot as u16, t, span));
    }

    /// Compiles an expression that must be of one of some types; where its operations begin.
    pub(crate) fn compile_typed(&mut self, e: &Expr, wanted: &[Type]) -> u32 {
        let (from, t) = self.expression(e);
        if let Some(t) = t.filter(|t| !wanted.contains(t)) {
            let words: Vec<String> = wanted.iter().map(Type::to_string).collect();
            self.diagnostics
                .push(Diagnostic::new(e.span, format!("expected {}, found {t}", words.join(" or "))));
        }
        from
    }

    fn expression(&mut self, e: &Expr) -> (u32, Option<Type>) {
        let from = self.program.ops.len() as u32;
        self.depth = 0;
        let t = self.emit(e);
        self.push(e.span, Op::End);
        (from, t)
    }

    fn error<T>(&mut self, span: Span, message: impl Into<String>) -> Option<T> {
        self.diagnostics.push(Diagnostic::new(span, message));
        None
    }

    /// One more value on the stack.
    fn push_depth(&mut self, span: Span) {
        self.depth += 1;
        if self.depth == MAX_STACK + 1 {
            let message = format!("needs more than {MAX_STACK} intermediate values at once");
            self.diagnostics.push(Diagnostic::new(span, message).help("name parts of it with `let`"));
        }
    }

    fn push(&mut self, span: Span, op: Op) {
        self.program.ops.push(op);
        self.program.spans.push(span);
    }

    fn constant(&mut self, c: Constant) -> u32 {
        self.program.constants.push(c);
        self.program.constants.len() as u32 - 1
    }

    fn push_constant(&mut self, span: Span, c: Constant, t: Type) -> Option<Type> {
        let c = self.constant(c);
        self.push(span, Op::Const(c));
        self.push_depth(span);
        Some(t)
    }

    fn emit(&mut self, e: &Expr) -> Option<Type> {
        match &e.kind {
            ExprKind::Int(n) => self.push_constant(e.span, Constant::Int(*n), Type::Int),
            ExprKind::Size(n) => self.push_constant(e.span, Constant::Int(*n), Type::Size),
            ExprKind::Duration(n) => self.push_constant(e.span, Constant::Int(*n), Type::Duration),
            ExprKind::Bool(b) => self.push_constant(e.span, Constant::Bool(*b), Type::Bool),
            ExprKind::Text(t) => self.push_constant(e.span, Constant::Text(t.clone()), Type::Text),
            ExprKind::Name(n) => self.emit_name(e.span, n),
            ExprKind::Not(inner) => {
                let t = self.emit(inner);
                self.expect_bool(inner, t);
                self.push(e.span, Op::Not);
                Some(Type::Bool)
            }
            ExprKind::And(terms) => self.emit_logical(terms, Op::JumpIfFalseOrPop),
            ExprKind::Or(terms) => self.emit_logical(terms, Op::JumpIfTrueOrPop),
            ExprKind::Compare(c, a, b) => self.emit_comparison(e.span, *c, a, b),
            ExprKind::In(value, items) => self.emit_in(e.span, value, items),
            ExprKind::Chain(first, rest) => self.emit_chain(e, first, rest),
            ExprKind::If(test, yes, no) => self.emit_if(test, yes, no),
            ExprKind::Call(name, arguments) => self.emit_call(e.span, name, arguments),
            ExprKind::Invalid => {
                self.push_depth(e.span);
                None
            }
        }
    }

    fn emit_name(&mut self, span: Span, name: &str) -> Option<Type> {
        if let Some((_, field, t)) = FIELDS.iter().find(|f| f.0 == name) {
            self.push(span, Op::Field(*field));
            self.push_depth(span);
            return Some(*t);
        }
        if let Some((slot, t, _)) = self.lets.get(name).copied() {
            let from = self.program.lets[usize::from(slot)] as usize;
            let constant = match self.program.ops.get(from..from + 2) {
                Some([Op::Const(c), Op::End]) => Some(Op::Const(*c)),
                _ => None,
            };
            self.program.reads_lets |= constant.is_none();
            self.push(span, constant.unwrap_or(Op::Let(slot)));
            self.push_depth(span);
            return t;
        }
        let known = FIELDS.iter().map(|f| f.0).chain(self.lets.keys().map(String::as_str));
        let help = if self.all_names.contains(name) {
            Some("it is defined later; a name can only be used after its `let`".to_owned())
        } else {
            closest_match(name, known).map(|n| format!("did you mean `{n}`?"))
        };
        self.diagnostics.push(Diagnostic { help, ..Diagnostic::new(span, format!("unknown name `{name}`")) });
        self.push_depth(span);
        None
    }

    fn expect_bool(&mut self, e: &Expr, t: Option<Type>) {
        if let Some(t) = t.filter(|t| *t != Type::Bool) {
            self.diagnostics.push(Diagnostic::new(e.span, format!("expected true or false, found {t}")));
        }
    }

    fn emit_logical(&mut self, terms: &[Expr], keep: fn(u32) -> Op) -> Option<Type> {
        let mut jumps = Vec::new();
        for (i, term) in terms.iter().enumerate() {
            if i > 0 {
                jumps.push(self.program.ops.len());
                self.push(term.span, keep(0));
                self.depth -= 1;
            }
            let t = self.emit(term);
            self.expect_bool(term, t);
        }
        let end = self.program.ops.len() as u32;
        jumps.into_iter().for_each(|j| self.program.ops[j] = keep(end));
        Some(Type::Bool)
    }

    fn emit_comparison(&mut self, span: Span, c: Comparison, a: &Expr, b: &Expr) -> Option<Type> {
        let (ta, tb) = (self.emit(a), self.emit(b));
        self.depth -= 1;
        let text = ta == Some(Type::Text);
        // Danger: a field may be the end of a longer left side, and a jump may lead behind it.
        let bare = matches!(a.kind, ExprKind::Name(_));
        match self.program.ops[..] {
            [.., Op::Field(field), Op::Const(constant)] if bare => {
                let shorter = self.program.ops.len() - 2;
                self.program.ops.truncate(shorter);
                self.program.spans.truncate(shorter);
                let op = if text { Op::CompareFieldText } else { Op::CompareField };
                self.push(span, op(c, field, constant));
            }
            _ => self.push(span, if text { Op::CompareText(c) } else { Op::Compare(c) }),
        }
        if let (Some(ta), Some(tb)) = (ta, tb) {
            let ordered = !matches!(c, Comparison::Equal | Comparison::Unequal);
            if ta != tb {
                let diagnostic = Diagnostic::new(b.span, format!("{ta} is compared with {tb}"));
                self.diagnostics.push(diagnostic.label(a.span, format!("this is {ta}")));
            } else if ordered && matches!(ta, Type::Text | Type::Bool) {
                self.error::<()>(span, format!("{ta} cannot be ordered; only `==` and `!=` apply"));
            }
        }
        self.check_known_values(a, std::slice::from_ref(b));
        self.check_known_values(b, std::slice::from_ref(a));
        Some(Type::Bool)
    }

    /// `op` and `direction` have few values: a mistyped one would make a rule that never matches.
    fn check_known_values(&mut self, field: &Expr, values: &[Expr]) {
        let (name, known): (&str, &[&str]) = match &field.kind {
            ExprKind::Name(n) if n == "op" => (n, &OPERATIONS),
            ExprKind::Name(n) if n == "direction" => (n, &DIRECTIONS),
            _ => return,
        };
        for v in values {
            if let ExprKind::Text(t) = &v.kind {
                if !known.contains(&t.as_str()) {
                    let help = match closest_match(t, known.iter().copied()) {
                        Some(n) => format!("did you mean \"{n}\"?"),
                        None => format!("it is one of {}", known.join(", ")),
                    };
                    self.diagnostics
                        .push(Diagnostic::new(v.span, format!("`{name}` is never \"{t}\"")).help(help));
                }
            }
        }
    }

    fn emit_in(&mut self, span: Span, value: &Expr, items: &[Expr]) -> Option<Type> {
        let t = self.emit(value);
        let (mut ints, mut texts) = (Vec::new(), Vec::new());
        for item in items {
            let (ti, constant) = match &item.kind {
                ExprKind::Int(n) => (Type::Int, Ok(*n)),
                ExprKind::Size(n) => (Type::Size, Ok(*n)),
                ExprKind::Duration(n) => (Type::Duration, Ok(*n)),
                ExprKind::Text(s) => (Type::Text, Err(s.clone())),
                ExprKind::Invalid => continue,
                _ => {
                    self.error::<()>(item.span, "list items must be number or text constants");
                    continue;
                }
            };
            if let Some(t) = t.filter(|t| *t != ti) {
                self.error::<()>(item.span, format!("expected {t}, like the value before `in`, found {ti}"));
            }
            match constant {
                Ok(n) => ints.push(n),
                Err(s) => texts.push(s),
            }
        }
        self.check_known_values(value, items);
        ints.sort_unstable();
        texts.sort_unstable();
        self.program.sets.push(if texts.is_empty() { Set::Ints(ints) } else { Set::Texts(texts) });
        self.push(span, Op::InSet(self.program.sets.len() as u32 - 1));
        Some(Type::Bool)
    }

    fn emit_chain(&mut self, e: &Expr, first: &Expr, rest: &[(ArithOp, Expr)]) -> Option<Type> {
        if let Err(diagnostic) = fold_constant(e) {
            self.diagnostics.push(diagnostic);
        }
        let mut t = self.emit(first);
        for (op, term) in rest {
            let tt = self.emit(term);
            self.depth -= 1;
            self.push(first.span.to(term.span), Op::Arith(*op));
            if matches!(op, ArithOp::Div | ArithOp::Rem) && fold_constant(term) == Ok(Some(0)) {
                self.error::<()>(term.span, "division by zero");
            }
            t = match (t, tt) {
                (Some(a), Some(b)) => match result_type(*op, a, b) {
                    Some(t) => Some(t),
                    None => self.error(
                        first.span.to(term.span),
                        format!("operator cannot be applied to {a} and {b}"),
                    ),
                },
                _ => None,
            };
        }
        t
    }

    fn emit_if(&mut self, test: &Expr, yes: &Expr, no: &Expr) -> Option<Type> {
        let t = self.emit(test);
        self.expect_bool(test, t);
        let unless = self.program.ops.len();
        self.push(test.span, Op::PopJumpIfFalse(0));
        self.depth -= 1;
        let ty = self.emit(yes);
        let jump = self.program.ops.len();
        self.push(yes.span, Op::Jump(0));
        self.depth -= 1;
        self.program.ops[unless] = Op::PopJumpIfFalse(self.program.ops.len() as u32);
        let tn = self.emit(no);
        self.program.ops[jump] = Op::Jump(self.program.ops.len() as u32);
        match (ty, tn) {
            (Some(a), Some(b)) if a != b => {
                let diagnostic = Diagnostic::new(
                    no.span,
                    format!("the branches of `if` have different types: {a} and {b}"),
                );
                self.diagnostics.push(diagnostic.label(yes.span, format!("this is {a}")));
                None
            }
            (a, b) => a.or(b),
        }
    }

    fn emit_call(&mut self, span: Span, name: &str, arguments: &[Expr]) -> Option<Type> {
        if name == "hash" {
            if arguments.is_empty() || arguments.len() > MAX_HASH_ARGUMENTS {
                return self.error(span, format!("`hash` takes 1 to {MAX_HASH_ARGUMENTS} values"));
            }
            for a in arguments {
                self.emit(a);
            }
            self.depth -= arguments.len() - 1;
            self.push(span, Op::Hash(arguments.len() as u8));
            return Some(Type::Int);
        }
        if !FUNCTIONS.contains(&name) {
            let near = closest_match(name, FUNCTIONS.into_iter()).map(|n| format!("did you mean `{n}`?"));
            self.diagnostics.push(Diagnostic {
                help: near,
                ..Diagnostic::new(span, format!("unknown function `{name}`"))
            });
            self.push_depth(span);
            return None;
        }
        let [value, pattern] = arguments else {
            self.push_depth(span);
            return self.error(span, format!("`{name}` takes a text and a text constant"));
        };
        let t = self.emit(value);
        if let Some(t) = t.filter(|t| *t != Type::Text) {
            self.error::<()>(value.span, format!("expected a text, found {t}"));
        }
        let ExprKind::Text(pattern) = &pattern.kind else {
            return self
                .error(pattern.span, "expected a text constant, so that the cost of matching is known");
        };
        let op = match name {
            "glob" => {
                self.program.globs.push(Glob::new(pattern));
                Op::Glob(self.program.globs.len() as u32 - 1)
            }
            _ => {
                let c = self.constant(Constant::Text(pattern.clone()));
                match name {
                    "starts_with" => Op::StartsWith(c),
                    "ends_with" => Op::EndsWith(c),
                    _ => Op::Contains(c),
                }
            }
        };
        self.push(span, op);
        Some(Type::Bool)
    }
}

fn result_type(op: ArithOp, a: Type, b: Type) -> Option<Type> {
    use Type::{Duration, Int, Size};
    match (op, a, b) {
        (_, Int, Int) => Some(Int),
        (ArithOp::Add | ArithOp::Sub | ArithOp::Rem, Size, Size) => Some(Size),
        (ArithOp::Add | ArithOp::Sub | ArithOp::Rem, Duration, Duration) => Some(Duration),
        (ArithOp::Div, Size, Size) | (ArithOp::Div, Duration, Duration) => Some(Int),
        (ArithOp::Mul | ArithOp::Div | ArithOp::Rem, Size, Int) | (ArithOp::Mul, Int, Size) => Some(Size),
        (ArithOp::Mul | ArithOp::Div | ArithOp::Rem, Duration, Int) | (ArithOp::Mul, Int, Duration) => {
            Some(Duration)
        }
        _ => None,
    }
}

/// The value of an expression of constants; a fault where it leaves the range.
fn fold_constant(e: &Expr) -> Result<Option<i64>, Diagnostic> {
    match &e.kind {
        ExprKind::Int(n) | ExprKind::Size(n) | ExprKind::Duration(n) => Ok(Some(*n)),
        ExprKind::Chain(first, rest) => {
            let Some(mut value) = fold_constant(first)? else { return Ok(None) };
            for (op, term) in rest {
                let Some(n) = fold_constant(term)? else { return Ok(None) };
                let exact = match op {
                    ArithOp::Add => value.checked_add(n),
                    ArithOp::Sub => value.checked_sub(n),
                    ArithOp::Mul => value.checked_mul(n),
                    ArithOp::Div | ArithOp::Rem => Some(op.apply(value, n)),
                };
                value =
                    exact.ok_or_else(|| Diagnostic::new(e.span, "constant expression overflows 64 bits"))?;
            }
            Ok(Some(value))
        }
        _ => Ok(None),
    }
}
