//! The untyped syntax tree. Operators of equal precedence form flat lists, so that only brackets, `not` and
//! `if` add to the depth of the tree.

use crate::diagnostic::Span;

/// An expression and its span.
#[derive(Clone, Debug)]
pub(crate) struct Expr {
    pub(crate) kind: ExprKind,
    pub(crate) span: Span,
}

impl Expr {
    /// A canonical text without spans: equal for expressions that differ only in white space, comments and
    /// brackets.
    pub(crate) fn shape(&self) -> String {
        let all = |exprs: &[Expr]| exprs.iter().map(Expr::shape).collect::<Vec<_>>().join(" ");
        match &self.kind {
            ExprKind::Not(a) => format!("(not {})", a.shape()),
            ExprKind::And(a) => format!("(and {})", all(a)),
            ExprKind::Or(a) => format!("(or {})", all(a)),
            ExprKind::Compare(c, a, b) => format!("({c:?} {} {})", a.shape(), b.shape()),
            ExprKind::In(a, b) => format!("(in {} {})", a.shape(), all(b)),
            ExprKind::Chain(a, rest) => {
                let rest: Vec<String> = rest.iter().map(|(o, t)| format!("{o:?} {}", t.shape())).collect();
                format!("({} {})", a.shape(), rest.join(" "))
            }
            ExprKind::If(a, b, c) => format!("(if {} {} {})", a.shape(), b.shape(), c.shape()),
            ExprKind::Call(n, a) => format!("({n} {})", all(a)),
            leaf => format!("{leaf:?}"),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum ExprKind {
    Int(i64),
    /// A size in bytes.
    Size(i64),
    /// A duration in microseconds.
    Duration(i64),
    Bool(bool),
    Text(String),
    Name(String),
    Not(Box<Expr>),
    /// A conjunction of two or more terms.
    And(Vec<Expr>),
    /// A disjunction of two or more terms.
    Or(Vec<Expr>),
    Compare(Comparison, Box<Expr>, Box<Expr>),
    In(Box<Expr>, Vec<Expr>),
    /// Arithmetic operators of equal precedence: the first operand, then operators with their right operands.
    Chain(Box<Expr>, Vec<(ArithOp, Expr)>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(String, Vec<Expr>),
    /// A token for which the lexer has already reported an error.
    Invalid,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Comparison {
    Equal,
    Unequal,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
}

impl Comparison {
    /// The comparison with its operands swapped.
    pub(crate) fn flipped(self) -> Comparison {
        match self {
            Comparison::Less => Comparison::Greater,
            Comparison::LessEqual => Comparison::GreaterEqual,
            Comparison::Greater => Comparison::Less,
            Comparison::GreaterEqual => Comparison::LessEqual,
            same => same,
        }
    }

    /// Whether an ordering of the operands satisfies the comparison.
    pub(crate) fn holds(self, ordering: std::cmp::Ordering) -> bool {
        match self {
            Comparison::Equal => ordering.is_eq(),
            Comparison::Unequal => ordering.is_ne(),
            Comparison::Less => ordering.is_lt(),
            Comparison::LessEqual => ordering.is_le(),
            Comparison::Greater => ordering.is_gt(),
            Comparison::GreaterEqual => ordering.is_ge(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ArithOp {
    Add,
    Sub,
    Mul,
    Div,
    Rem,
}

impl ArithOp {
    /// Total arithmetic: saturates at the ends of the range, and division by zero and its remainder are 0.
    pub(crate) fn apply(self, a: i64, b: i64) -> i64 {
        match self {
            ArithOp::Add => a.saturating_add(b),
            ArithOp::Sub => a.saturating_sub(b),
            ArithOp::Mul => a.saturating_mul(b),
            ArithOp::Div if b == 0 => 0,
            ArithOp::Div => a.saturating_div(b),
            ArithOp::Rem => a.checked_rem(b).unwrap_or(0),
        }
    }
}

/// A `class` or `plan` row: the name that it assigns and its condition, which is `None` for `otherwise`.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) result: String,
    pub(crate) condition: Option<Expr>,
    pub(crate) span: Span,
}

/// A parsed file.
#[derive(Clone, Debug, Default)]
pub(crate) struct RulesFile {
    pub(crate) lets: Vec<(String, Span, Expr)>,
    pub(crate) classes: Vec<Row>,
    pub(crate) plans: Vec<Row>,
    pub(crate) key: Option<Expr>,
}
