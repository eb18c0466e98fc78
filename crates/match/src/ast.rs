//! The tree of a file, before types are known. Chains are lists, so that depth is bounded by brackets alone.

use crate::diagnostic::Span;

/// An expression and where it stands.
#[derive(Clone, Debug)]
pub(crate) struct Expr {
    pub(crate) kind: Kind,
    pub(crate) span: Span,
}

impl Expr {
    /// What it says, without its places: two that read alike but for white space and comments are one.
    pub(crate) fn shape(&self) -> String {
        let all = |es: &[Expr]| es.iter().map(Expr::shape).collect::<Vec<_>>().join(" ");
        match &self.kind {
            Kind::Not(a) => format!("(not {})", a.shape()),
            Kind::And(a) => format!("(and {})", all(a)),
            Kind::Or(a) => format!("(or {})", all(a)),
            Kind::Compare(c, a, b) => format!("({c:?} {} {})", a.shape(), b.shape()),
            Kind::In(a, b) => format!("(in {} {})", a.shape(), all(b)),
            Kind::Chain(a, rest) => {
                let rest: Vec<String> = rest.iter().map(|(o, t)| format!("{o:?} {}", t.shape())).collect();
                format!("({} {})", a.shape(), rest.join(" "))
            }
            Kind::If(a, b, c) => format!("(if {} {} {})", a.shape(), b.shape(), c.shape()),
            Kind::Call(n, a) => format!("({n} {})", all(a)),
            simple => format!("{simple:?}"),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Int(i64),
    Size(i64),
    Duration(i64),
    Bool(bool),
    Text(String),
    Name(String),
    Not(Box<Expr>),
    /// All, or any, of several.
    And(Vec<Expr>),
    Or(Vec<Expr>),
    Compare(Comparison, Box<Expr>, Box<Expr>),
    In(Box<Expr>, Vec<Expr>),
    /// A first term and what follows it, from left to right.
    Chain(Box<Expr>, Vec<(Arith, Expr)>),
    If(Box<Expr>, Box<Expr>, Box<Expr>),
    Call(String, Vec<Expr>),
    /// What was told already.
    Bad,
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
    /// The same with its sides changed.
    pub(crate) fn turned(self) -> Comparison {
        match self {
            Comparison::Less => Comparison::Greater,
            Comparison::LessEqual => Comparison::GreaterEqual,
            Comparison::Greater => Comparison::Less,
            Comparison::GreaterEqual => Comparison::LessEqual,
            same => same,
        }
    }

    /// Whether an ordering satisfies it.
    pub(crate) fn holds(self, o: std::cmp::Ordering) -> bool {
        match self {
            Comparison::Equal => o.is_eq(),
            Comparison::Unequal => o.is_ne(),
            Comparison::Less => o.is_lt(),
            Comparison::LessEqual => o.is_le(),
            Comparison::Greater => o.is_gt(),
            Comparison::GreaterEqual => o.is_ge(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arith {
    Add,
    Sub,
    Mul,
    Div,
    Rem,
}

impl Arith {
    /// Never fails: the ends of the range hold, and nothing divided by zero is 0.
    pub(crate) fn apply(self, a: i64, b: i64) -> i64 {
        match self {
            Arith::Add => a.saturating_add(b),
            Arith::Sub => a.saturating_sub(b),
            Arith::Mul => a.saturating_mul(b),
            Arith::Div if b == 0 => 0,
            Arith::Div => a.saturating_div(b),
            Arith::Rem => a.checked_rem(b).unwrap_or(0),
        }
    }
}

/// A row of a list: its result and when it applies; `None`: otherwise.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) result: String,
    pub(crate) when: Option<Expr>,
    pub(crate) span: Span,
}

/// A whole file.
#[derive(Clone, Debug, Default)]
pub(crate) struct File {
    pub(crate) lets: Vec<(String, Span, Expr)>,
    pub(crate) classes: Vec<Row>,
    pub(crate) plans: Vec<Row>,
    pub(crate) key: Option<Expr>,
}
