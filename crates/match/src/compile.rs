//! The type checker and code generator: resolves names, checks types and constants, and emits bytecode.

use crate::ast::{ArithOp, Comparison, Expr, ExprKind};
use crate::diagnostic::{closest_match, Diagnostic, Span};
use crate::program::{Constant, Glob, Op, Program, Set, Type, FIELDS, MAX_LETS, MAX_STACK};
use std::collections::{HashMap, HashSet};

/// The possible values of `op` and `direction`; a comparison with any other value can never be true.
pub(crate) const OPERATIONS: [&str; 5] = ["read", "write", "verify", "flush", "compare-and-write"];
pub(crate) const DIRECTIONS: [&str; 3] = ["in", "out", "none"];
const FUNCTIONS: [&str; 5] = ["starts_with", "ends_with", "contains", "glob", "hash"];
/// Maximum number of arguments of `hash`.
const MAX_HASH_ARGUMENTS: usize = 8;

/// Compiles expressions and collects diagnostics. An invalid expression has no type, so that it causes no
/// further diagnostics.
#[derive(Default)]
pub(crate) struct Compiler {
    pub(crate) program: Program,
    pub(crate) diagnostics: Vec<Diagnostic>,
    /// Slot, type and span of the name of each `let` definition so far.
    lets: HashMap<String, (u16, Option<Type>, Span)>,
    /// All names that the file defines, including those defined later.
    all_names: HashSet<String>,
    /// Stack depth at the current instruction.
    depth: usize,
}

impl Compiler {
    /// Creates a compiler for a file that defines these names.
    pub(crate) fn new(names: impl Iterator<Item = String>) -> Compiler {
        Compiler { all_names: names.collect(), ..Compiler::default() }
    }

    /// Compiles a `let` definition.
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
        let (entry, t) = self.compile_expression(value);
        self.program.lets.push(entry);
        self.lets.insert(name.to_owned(), (slot as u16, t, span));
    }

    /// Compiles an expression that must have one of the expected types, and returns its first instruction.
    pub(crate) fn compile_typed(&mut self, e: &Expr, expected: &[Type]) -> u32 {
        let (entry, t) = self.compile_expression(e);
        if let Some(t) = t.filter(|t| !expected.contains(t)) {
            let names: Vec<String> = expected.iter().map(Type::to_string).collect();
            self.diagnostics
                .push(Diagnostic::new(e.span, format!("expected {}, found {t}", names.join(" or "))));
        }
        entry
    }

    fn compile_expression(&mut self, e: &Expr) -> (u32, Option<Type>) {
        let entry = self.program.ops.len() as u32;
        self.depth = 0;
        let t = self.emit(e);
        self.push(e.span, Op::End);
        (entry, t)
    }

    /// Reports an error and returns `None`.
    fn error<T>(&mut self, span: Span, message: impl Into<String>) -> Option<T> {
        self.diagnostics.push(Diagnostic::new(span, message));
        None
    }

    /// Counts a value pushed on the stack, and reports an error when the maximum depth is exceeded.
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

    /// Emits instructions that push the value of an expression. Returns its type, or `None` if it is invalid.
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
            ExprKind::If(condition, then_value, else_value) => {
                self.emit_if(condition, then_value, else_value)
            }
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
            let entry = self.program.lets[usize::from(slot)] as usize;
            let constant = match self.program.ops.get(entry..entry + 2) {
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

    /// Emits `and` or `or`: after each term but the last, `jump` skips the other terms if the result is
    /// known.
    fn emit_logical(&mut self, terms: &[Expr], jump: fn(u32) -> Op) -> Option<Type> {
        let mut jumps = Vec::new();
        for (i, term) in terms.iter().enumerate() {
            if i > 0 {
                jumps.push(self.program.ops.len());
                self.push(term.span, jump(0));
                self.depth -= 1;
            }
            let t = self.emit(term);
            self.expect_bool(term, t);
        }
        let end = self.program.ops.len() as u32;
        jumps.into_iter().for_each(|j| self.program.ops[j] = jump(end));
        Some(Type::Bool)
    }

    fn emit_comparison(&mut self, span: Span, c: Comparison, a: &Expr, b: &Expr) -> Option<Type> {
        let (left_type, right_type) = (self.emit(a), self.emit(b));
        self.depth -= 1;
        let is_text = left_type == Some(Type::Text);
        // Only a left operand that is a field by itself may be merged with the comparison: the last field of
        // a longer expression may be the target of a jump.
        let is_field = matches!(a.kind, ExprKind::Name(_));
        match self.program.ops[..] {
            [.., Op::Field(field), Op::Const(constant)] if is_field => {
                let new_len = self.program.ops.len() - 2;
                self.program.ops.truncate(new_len);
                self.program.spans.truncate(new_len);
                let op = if is_text { Op::CompareFieldText } else { Op::CompareField };
                self.push(span, op(c, field, constant));
            }
            _ => self.push(span, if is_text { Op::CompareText(c) } else { Op::Compare(c) }),
        }
        if let (Some(left_type), Some(right_type)) = (left_type, right_type) {
            let needs_order = !matches!(c, Comparison::Equal | Comparison::Unequal);
            if left_type != right_type {
                let diagnostic =
                    Diagnostic::new(b.span, format!("{left_type} is compared with {right_type}"));
                self.diagnostics.push(diagnostic.label(a.span, format!("this is {left_type}")));
            } else if needs_order && matches!(left_type, Type::Text | Type::Bool) {
                self.error::<()>(span, format!("{left_type} cannot be ordered; only `==` and `!=` apply"));
            }
        }
        self.check_known_values(a, std::slice::from_ref(b));
        self.check_known_values(b, std::slice::from_ref(a));
        Some(Type::Bool)
    }

    /// Reports comparisons of `op` or `direction` with an unknown value, since a mistyped one would make a
    /// row that never matches.
    fn check_known_values(&mut self, field: &Expr, values: &[Expr]) {
        let (name, known): (&str, &[&str]) = match &field.kind {
            ExprKind::Name(n) if n == "op" => (n, &OPERATIONS),
            ExprKind::Name(n) if n == "direction" => (n, &DIRECTIONS),
            _ => return,
        };
        for value in values {
            if let ExprKind::Text(t) = &value.kind {
                if !known.contains(&t.as_str()) {
                    let help = match closest_match(t, known.iter().copied()) {
                        Some(n) => format!("did you mean \"{n}\"?"),
                        None => format!("it is one of {}", known.join(", ")),
                    };
                    self.diagnostics
                        .push(Diagnostic::new(value.span, format!("`{name}` is never \"{t}\"")).help(help));
                }
            }
        }
    }

    fn emit_in(&mut self, span: Span, value: &Expr, items: &[Expr]) -> Option<Type> {
        let t = self.emit(value);
        let (mut ints, mut texts) = (Vec::new(), Vec::new());
        for item in items {
            let (item_type, constant) = match &item.kind {
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
            if let Some(t) = t.filter(|t| *t != item_type) {
                self.error::<()>(
                    item.span,
                    format!("expected {t}, like the value before `in`, found {item_type}"),
                );
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

    /// Emits arithmetic operations, which are evaluated from left to right. Returns the type of the result;
    /// `None` after an error in the types.
    fn emit_chain(&mut self, e: &Expr, first: &Expr, rest: &[(ArithOp, Expr)]) -> Option<Type> {
        if let Err(diagnostic) = fold_constant(e) {
            self.diagnostics.push(diagnostic);
        }
        let mut t = self.emit(first);
        for (op, term) in rest {
            let term_type = self.emit(term);
            self.depth -= 1;
            self.push(first.span.to(term.span), Op::Arith(*op));
            if matches!(op, ArithOp::Div | ArithOp::Rem) && fold_constant(term) == Ok(Some(0)) {
                self.error::<()>(term.span, "division by zero");
            }
            t = match (t, term_type) {
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

    fn emit_if(&mut self, condition: &Expr, then_value: &Expr, else_value: &Expr) -> Option<Type> {
        let t = self.emit(condition);
        self.expect_bool(condition, t);
        let condition_jump = self.program.ops.len();
        self.push(condition.span, Op::PopJumpIfFalse(0));
        self.depth -= 1;
        let then_type = self.emit(then_value);
        let jump = self.program.ops.len();
        self.push(then_value.span, Op::Jump(0));
        self.depth -= 1;
        self.program.ops[condition_jump] = Op::PopJumpIfFalse(self.program.ops.len() as u32);
        let else_type = self.emit(else_value);
        self.program.ops[jump] = Op::Jump(self.program.ops.len() as u32);
        match (then_type, else_type) {
            (Some(a), Some(b)) if a != b => {
                let diagnostic = Diagnostic::new(
                    else_value.span,
                    format!("the branches of `if` have different types: {a} and {b}"),
                );
                self.diagnostics.push(diagnostic.label(then_value.span, format!("this is {a}")));
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
            let suggestion =
                closest_match(name, FUNCTIONS.into_iter()).map(|n| format!("did you mean `{n}`?"));
            self.diagnostics.push(Diagnostic {
                help: suggestion,
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

/// The type of an arithmetic operation; `None` if the operator does not apply to the operand types.
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

/// The value of a constant expression, `None` if it is not constant.
///
/// # Errors
/// The value overflows 64 bits.
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
