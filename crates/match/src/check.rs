//! Types, names and constants; a tree that passes becomes operations.

use crate::ast::{Arith, Comparison, Expr, Kind};
use crate::diagnostic::{closest_match, Diagnostic, Span};
use crate::program::{Constant, Glob, Op, Program, Set, Type, FIELDS, MAX_LETS, STACK};
use std::collections::{HashMap, HashSet};

/// What requests may be, for comparisons that can never hold.
pub(crate) const OPS: [&str; 5] = ["read", "write", "verify", "flush", "compare-and-write"];
pub(crate) const DIRECTIONS: [&str; 3] = ["in", "out", "none"];
const FUNCTIONS: [&str; 5] = ["starts_with", "ends_with", "contains", "glob", "hash"];
/// Values that `hash` takes at the most.
const MOST_HASHED: usize = 8;

/// Turns trees into operations; faults are gathered, and what is wrong has no type.
#[derive(Default)]
pub(crate) struct Compiler {
    pub(crate) program: Program,
    pub(crate) diagnostics: Vec<Diagnostic>,
    lets: HashMap<String, (u16, Option<Type>, Span)>,
    /// Names that the whole file gives.
    all: HashSet<String>,
    depth: usize,
}

impl Compiler {
    /// For a file that gives these names.
    pub(crate) fn new(names: impl Iterator<Item = String>) -> Compiler {
        Compiler { all: names.collect(), ..Compiler::default() }
    }

    /// Compiles a named value.
    pub(crate) fn add_let(&mut self, name: &str, span: Span, value: &Expr) {
        if FIELDS.iter().any(|f| f.0 == name) || FUNCTIONS.contains(&name) {
            self.diagnostics.push(Diagnostic::new(span, format!("`{name}` is a field or function already")));
        }
        if let Some((_, _, first)) = self.lets.get(name) {
            let diagnostic = Diagnostic::new(span, format!("`{name}` is defined twice"));
            self.diagnostics.push(diagnostic.label(*first, "first here"));
        }
        let slot = self.program.lets.len();
        if slot >= MAX_LETS {
            let message = format!("more than {MAX_LETS} names");
            return self.diagnostics.push(Diagnostic::new(span, message));
        }
        let (from, t) = self.expression(value);
        self.program.lets.push(from);
        self.lets.insert(name.to_owned(), (slot as u16, t, span));
    }

    /// Compiles an expression that must be of one of some types; where its operations begin.
    pub(crate) fn of_type(&mut self, e: &Expr, wanted: &[Type]) -> u32 {
        let (from, t) = self.expression(e);
        if let Some(t) = t.filter(|t| !wanted.contains(t)) {
            let words: Vec<String> = wanted.iter().map(Type::to_string).collect();
            self.diagnostics
                .push(Diagnostic::new(e.span, format!("this is {t}, and must be {}", words.join(" or "))));
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

    fn diagnostic<T>(&mut self, span: Span, message: impl Into<String>) -> Option<T> {
        self.diagnostics.push(Diagnostic::new(span, message));
        None
    }

    /// One more value on the stack.
    fn grow(&mut self, span: Span) {
        self.depth += 1;
        if self.depth == STACK + 1 {
            let message = format!("needs more than {STACK} values at once");
            self.diagnostics.push(Diagnostic::new(span, message).help("give parts of it names with `let`"));
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
        self.grow(span);
        Some(t)
    }

    fn emit(&mut self, e: &Expr) -> Option<Type> {
        match &e.kind {
            Kind::Int(n) => self.push_constant(e.span, Constant::Int(*n), Type::Int),
            Kind::Size(n) => self.push_constant(e.span, Constant::Int(*n), Type::Size),
            Kind::Duration(n) => self.push_constant(e.span, Constant::Int(*n), Type::Duration),
            Kind::Bool(b) => self.push_constant(e.span, Constant::Bool(*b), Type::Bool),
            Kind::Text(t) => self.push_constant(e.span, Constant::Text(t.clone()), Type::Text),
            Kind::Name(n) => self.name(e.span, n),
            Kind::Not(inner) => {
                let t = self.emit(inner);
                self.must_be_bool(inner, t);
                self.push(e.span, Op::Not);
                Some(Type::Bool)
            }
            Kind::And(terms) => self.junction(terms, Op::ElseKeep),
            Kind::Or(terms) => self.junction(terms, Op::OrKeep),
            Kind::Compare(c, a, b) => self.comparison(e.span, *c, a, b),
            Kind::In(value, items) => self.membership(e.span, value, items),
            Kind::Chain(first, rest) => self.chain(e, first, rest),
            Kind::If(test, yes, no) => self.choice(test, yes, no),
            Kind::Call(name, arguments) => self.call(e.span, name, arguments),
            Kind::Bad => {
                self.grow(e.span);
                None
            }
        }
    }

    fn name(&mut self, span: Span, name: &str) -> Option<Type> {
        if let Some((_, field, t)) = FIELDS.iter().find(|f| f.0 == name) {
            self.push(span, Op::Field(*field));
            self.grow(span);
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
            self.grow(span);
            return t;
        }
        let known = FIELDS.iter().map(|f| f.0).chain(self.lets.keys().map(String::as_str));
        let help = if self.all.contains(name) {
            Some("it is defined further down; a name is known from its `let` on".to_owned())
        } else {
            closest_match(name, known).map(|n| format!("did you mean `{n}`?"))
        };
        self.diagnostics.push(Diagnostic { help, ..Diagnostic::new(span, format!("there is no `{name}`")) });
        self.grow(span);
        None
    }

    fn must_be_bool(&mut self, e: &Expr, t: Option<Type>) {
        if let Some(t) = t.filter(|t| *t != Type::Bool) {
            self.diagnostics.push(Diagnostic::new(e.span, format!("this is {t}, and must be true or false")));
        }
    }

    fn junction(&mut self, terms: &[Expr], keep: fn(u32) -> Op) -> Option<Type> {
        let mut jumps = Vec::new();
        for (i, term) in terms.iter().enumerate() {
            if i > 0 {
                jumps.push(self.program.ops.len());
                self.push(term.span, keep(0));
                self.depth -= 1;
            }
            let t = self.emit(term);
            self.must_be_bool(term, t);
        }
        let end = self.program.ops.len() as u32;
        jumps.into_iter().for_each(|j| self.program.ops[j] = keep(end));
        Some(Type::Bool)
    }

    fn comparison(&mut self, span: Span, c: Comparison, a: &Expr, b: &Expr) -> Option<Type> {
        let (ta, tb) = (self.emit(a), self.emit(b));
        self.depth -= 1;
        let text = ta == Some(Type::Text);
        // Danger: a field may be the end of a longer left side, and a jump may lead behind it.
        let bare = matches!(a.kind, Kind::Name(_));
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
                self.diagnostic::<()>(span, format!("{ta} has no order; only `==` and `!=` apply"));
            }
        }
        self.never_holds(a, std::slice::from_ref(b));
        self.never_holds(b, std::slice::from_ref(a));
        Some(Type::Bool)
    }

    /// `op` and `direction` have few values: a mistyped one would make a rule that never matches.
    fn never_holds(&mut self, field: &Expr, values: &[Expr]) {
        let (name, known): (&str, &[&str]) = match &field.kind {
            Kind::Name(n) if n == "op" => (n, &OPS),
            Kind::Name(n) if n == "direction" => (n, &DIRECTIONS),
            _ => return,
        };
        for v in values {
            if let Kind::Text(t) = &v.kind {
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

    fn membership(&mut self, span: Span, value: &Expr, items: &[Expr]) -> Option<Type> {
        let t = self.emit(value);
        let (mut ints, mut texts) = (Vec::new(), Vec::new());
        for item in items {
            let (ti, constant) = match &item.kind {
                Kind::Int(n) => (Type::Int, Ok(*n)),
                Kind::Size(n) => (Type::Size, Ok(*n)),
                Kind::Duration(n) => (Type::Duration, Ok(*n)),
                Kind::Text(s) => (Type::Text, Err(s.clone())),
                Kind::Bad => continue,
                _ => {
                    self.diagnostic::<()>(item.span, "a list holds numbers or texts, written out");
                    continue;
                }
            };
            if let Some(t) = t.filter(|t| *t != ti) {
                self.diagnostic::<()>(
                    item.span,
                    format!("{t} is looked for among values of which this is {ti}"),
                );
            }
            match constant {
                Ok(n) => ints.push(n),
                Err(s) => texts.push(s),
            }
        }
        self.never_holds(value, items);
        ints.sort_unstable();
        texts.sort_unstable();
        self.program.sets.push(if texts.is_empty() { Set::Ints(ints) } else { Set::Texts(texts) });
        self.push(span, Op::InSet(self.program.sets.len() as u32 - 1));
        Some(Type::Bool)
    }

    fn chain(&mut self, e: &Expr, first: &Expr, rest: &[(Arith, Expr)]) -> Option<Type> {
        if let Err(diagnostic) = folded(e) {
            self.diagnostics.push(diagnostic);
        }
        let mut t = self.emit(first);
        for (op, term) in rest {
            let tt = self.emit(term);
            self.depth -= 1;
            self.push(first.span.to(term.span), Op::Arith(*op));
            if matches!(op, Arith::Div | Arith::Rem) && folded(term) == Ok(Some(0)) {
                self.diagnostic::<()>(term.span, "a division by zero");
            }
            t = match (t, tt) {
                (Some(a), Some(b)) => match result(*op, a, b) {
                    Some(t) => Some(t),
                    None => self
                        .diagnostic(first.span.to(term.span), format!("{a} and {b} do not go together here")),
                },
                _ => None,
            };
        }
        t
    }

    fn choice(&mut self, test: &Expr, yes: &Expr, no: &Expr) -> Option<Type> {
        let t = self.emit(test);
        self.must_be_bool(test, t);
        let unless = self.program.ops.len();
        self.push(test.span, Op::Unless(0));
        self.depth -= 1;
        let ty = self.emit(yes);
        let jump = self.program.ops.len();
        self.push(yes.span, Op::Jump(0));
        self.depth -= 1;
        self.program.ops[unless] = Op::Unless(self.program.ops.len() as u32);
        let tn = self.emit(no);
        self.program.ops[jump] = Op::Jump(self.program.ops.len() as u32);
        match (ty, tn) {
            (Some(a), Some(b)) if a != b => {
                let diagnostic = Diagnostic::new(no.span, format!("one way gives {a}, the other {b}"));
                self.diagnostics.push(diagnostic.label(yes.span, format!("this is {a}")));
                None
            }
            (a, b) => a.or(b),
        }
    }

    fn call(&mut self, span: Span, name: &str, arguments: &[Expr]) -> Option<Type> {
        if name == "hash" {
            if arguments.is_empty() || arguments.len() > MOST_HASHED {
                return self.diagnostic(span, format!("`hash` takes 1 to {MOST_HASHED} values"));
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
                ..Diagnostic::new(span, format!("there is no function `{name}`"))
            });
            self.grow(span);
            return None;
        }
        let [value, pattern] = arguments else {
            self.grow(span);
            return self.diagnostic(span, format!("`{name}` takes a text and a text constant"));
        };
        let t = self.emit(value);
        if let Some(t) = t.filter(|t| *t != Type::Text) {
            self.diagnostic::<()>(value.span, format!("this is {t}, and must be a text"));
        }
        let Kind::Text(pattern) = &pattern.kind else {
            return self.diagnostic(pattern.span, "must be a text constant, so that its cost is known");
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

fn result(op: Arith, a: Type, b: Type) -> Option<Type> {
    use Type::{Duration, Int, Size};
    match (op, a, b) {
        (_, Int, Int) => Some(Int),
        (Arith::Add | Arith::Sub | Arith::Rem, Size, Size) => Some(Size),
        (Arith::Add | Arith::Sub | Arith::Rem, Duration, Duration) => Some(Duration),
        (Arith::Div, Size, Size) | (Arith::Div, Duration, Duration) => Some(Int),
        (Arith::Mul | Arith::Div | Arith::Rem, Size, Int) | (Arith::Mul, Int, Size) => Some(Size),
        (Arith::Mul | Arith::Div | Arith::Rem, Duration, Int) | (Arith::Mul, Int, Duration) => Some(Duration),
        _ => None,
    }
}

/// The value of an expression of constants; a fault where it leaves the range.
fn folded(e: &Expr) -> Result<Option<i64>, Diagnostic> {
    match &e.kind {
        Kind::Int(n) | Kind::Size(n) | Kind::Duration(n) => Ok(Some(*n)),
        Kind::Chain(first, rest) => {
            let Some(mut value) = folded(first)? else { return Ok(None) };
            for (op, term) in rest {
                let Some(n) = folded(term)? else { return Ok(None) };
                let exact = match op {
                    Arith::Add => value.checked_add(n),
                    Arith::Sub => value.checked_sub(n),
                    Arith::Mul => value.checked_mul(n),
                    Arith::Div | Arith::Rem => Some(op.apply(value, n)),
                };
                value = exact
                    .ok_or_else(|| Diagnostic::new(e.span, "this constant leaves the range of 64 bits"))?;
            }
            Ok(Some(value))
        }
        _ => Ok(None),
    }
}
