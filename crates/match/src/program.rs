//! The flat program and its machine. Jumps go forward only, so that a program ends after as many steps as it is long.

use crate::ast::{ArithOp, Comparison};
use crate::diagnostic::Span;

/// What an expression sees of a request. Texts count up to their 255th byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    /// `read`, `write`, `verify`, `flush` or `compare-and-write`.
    pub op: &'a str,
    /// `in`, `out` or `none`: which way data goes, seen from the initiator.
    pub direction: &'a str,
    /// First block.
    pub lba: u64,
    /// Blocks.
    pub blocks: u64,
    /// Bytes.
    pub bytes: u64,
    /// Unit number.
    pub lun: u16,
    /// Name of the volume.
    pub volume: &'a str,
    /// Name of the plan.
    pub plan: &'a str,
    /// Name of the initiator.
    pub initiator: &'a str,
    /// Name of the target.
    pub target: &'a str,
    /// GROUP NUMBER of the CDB.
    pub group: u8,
    /// Force unit access.
    pub fua: bool,
    /// Time of day, microseconds.
    pub time_us: u64,
}

/// Texts longer than this are cut: it bounds the steps of whatever reads one.
pub(crate) const MAX_TEXT: usize = 255;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Field {
    Op,
    Direction,
    Lba,
    Blocks,
    Bytes,
    Lun,
    Volume,
    Plan,
    Initiator,
    Target,
    Group,
    Fua,
    Time,
}

/// Types of the language; sizes and spans do not mix with bare numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Type {
    Int,
    Size,
    Duration,
    Text,
    Bool,
}

impl std::fmt::Display for Type {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Type::Int => "a number",
            Type::Size => "a size",
            Type::Duration => "a time",
            Type::Text => "a text",
            Type::Bool => "true or false",
        })
    }
}

/// Names, fields and their types.
pub(crate) const FIELDS: [(&str, Field, Type); 13] = [
    ("op", Field::Op, Type::Text),
    ("direction", Field::Direction, Type::Text),
    ("lba", Field::Lba, Type::Int),
    ("blocks", Field::Blocks, Type::Int),
    ("bytes", Field::Bytes, Type::Size),
    ("lun", Field::Lun, Type::Int),
    ("volume", Field::Volume, Type::Text),
    ("plan", Field::Plan, Type::Text),
    ("initiator", Field::Initiator, Type::Text),
    ("target", Field::Target, Type::Text),
    ("group", Field::Group, Type::Int),
    ("fua", Field::Fua, Type::Bool),
    ("time", Field::Time, Type::Duration),
];

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Value<'a> {
    Int(i64),
    Bool(bool),
    Text(&'a str),
}

/// A value as an operator reads it.
impl std::fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Value::Int(n) => n.fmt(f),
            Value::Bool(b) => b.fmt(f),
            Value::Text(t) => write!(f, "\"{t}\""),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Constant {
    Int(i64),
    Bool(bool),
    Text(String),
}

impl Constant {
    pub(crate) fn value(&self) -> Value<'_> {
        match self {
            Constant::Int(n) => Value::Int(*n),
            Constant::Bool(b) => Value::Bool(*b),
            Constant::Text(t) => Value::Text(t),
        }
    }
}

/// Sorted constants for `in`.
#[derive(Clone, Debug)]
pub(crate) enum Set {
    Ints(Vec<i64>),
    Texts(Vec<String>),
}

/// A pattern cut at its stars: what it begins with, holds in order, and ends with.
#[derive(Clone, Debug)]
pub(crate) struct Glob {
    pieces: Vec<String>,
}

impl Glob {
    pub(crate) fn new(pattern: &str) -> Glob {
        Glob { pieces: pattern.split('*').map(str::to_owned).collect() }
    }

    /// Greedy from the left: for pieces between stars the first place found is as good as any.
    pub(crate) fn matches(&self, text: &str) -> bool {
        let [first, middle @ .., last] = &self.pieces[..] else { return self.pieces[0] == text };
        let Some(mut rest) = text.strip_prefix(first.as_str()) else { return false };
        for piece in middle {
            match rest.find(piece.as_str()) {
                Some(at) => rest = &rest[at + piece.len()..],
                None => return false,
            }
        }
        rest.ends_with(last.as_str())
    }
}

#[derive(Clone, Debug)]
pub(crate) enum Op {
    Const(u32),
    Field(Field),
    Let(u16),
    Not,
    Compare(Comparison),
    CompareText(Comparison),
    /// A field with a constant, as most tests are: one operation in place of three.
    CompareField(Comparison, Field, u32),
    CompareFieldText(Comparison, Field, u32),
    Arith(ArithOp),
    InSet(u32),
    StartsWith(u32),
    EndsWith(u32),
    Contains(u32),
    Glob(u32),
    /// Of so many values on the stack.
    Hash(u8),
    /// Goes on elsewhere where the top is false, keeping it; drops it otherwise.
    JumpIfFalseOrPop(u32),
    /// The same for true.
    JumpIfTrueOrPop(u32),
    /// Drops the top; goes on elsewhere where it was false.
    PopJumpIfFalse(u32),
    Jump(u32),
    End,
}

/// Values on the stack at the most; deeper expressions are refused at load.
pub(crate) const MAX_STACK: usize = 16;
/// Names given by `let` at the most.
pub(crate) const MAX_LETS: usize = 32;
/// Bytes of a text that one step reads.
const BYTES_PER_STEP: usize = 16;

/// A compiled file: operations of all expressions in one list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Program {
    pub(crate) ops: Vec<Op>,
    /// What each operation was written as.
    pub(crate) spans: Vec<Span>,
    pub(crate) constants: Vec<Constant>,
    pub(crate) sets: Vec<Set>,
    pub(crate) globs: Vec<Glob>,
    /// Where each `let` begins, in order.
    pub(crate) lets: Vec<u32>,
    /// Whether any operation reads one; constants are put where they are used.
    pub(crate) reads_lets: bool,
}

/// Looks on while programs run: for bounds, for `explain`, or not at all.
pub(crate) trait Observer {
    /// So many steps are taken.
    fn steps(&mut self, _cost: impl FnOnce() -> u64) {}
    /// A test gave an answer about some values.
    fn test(&mut self, _place: Span, _of: &[Value<'_>], _gave: bool) {}
}

/// For the path of requests, where looking on costs nothing.
impl Observer for () {}

/// Counts steps.
impl Observer for u64 {
    fn steps(&mut self, cost: impl FnOnce() -> u64) {
        *self += cost();
    }
}

/// The beginning of a text up to a bound.
fn truncate(text: &str) -> &str {
    if text.len() <= MAX_TEXT {
        return text;
    }
    let mut n = text.len().min(MAX_TEXT);
    while !text.is_char_boundary(n) {
        n -= 1;
    }
    &text[..n]
}

impl<'a> Fields<'a> {
    pub(crate) fn value(&self, field: Field) -> Value<'a> {
        let int = |n: u64| Value::Int(i64::try_from(n).unwrap_or(i64::MAX));
        match field {
            Field::Op => Value::Text(truncate(self.op)),
            Field::Direction => Value::Text(truncate(self.direction)),
            Field::Lba => int(self.lba),
            Field::Blocks => int(self.blocks),
            Field::Bytes => int(self.bytes),
            Field::Lun => int(u64::from(self.lun)),
            Field::Volume => Value::Text(truncate(self.volume)),
            Field::Plan => Value::Text(truncate(self.plan)),
            Field::Initiator => Value::Text(truncate(self.initiator)),
            Field::Target => Value::Text(truncate(self.target)),
            Field::Group => int(u64::from(self.group)),
            Field::Fua => Value::Bool(self.fua),
            Field::Time => int(self.time_us),
        }
    }
}

/// FNV-1a over values with a mark for each, so that `hash("ab", "c")` and `hash("a", "bc")` differ; never 0.
pub(crate) fn hash(values: &[Value<'_>]) -> i64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    let mut eat =
        |bytes: &[u8]| bytes.iter().for_each(|b| h = (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mut piece = |bytes: &[u8]| {
        eat(&(bytes.len() as u32).to_be_bytes());
        eat(bytes);
    };
    for v in values {
        match v {
            Value::Int(n) => piece(&n.to_be_bytes()),
            Value::Bool(b) => piece(&[u8::from(*b)]),
            Value::Text(t) => piece(t.as_bytes()),
        }
    }
    (h & i64::MAX as u64).max(1) as i64
}

impl Program {
    /// Steps of reading the longest text once.
    pub(crate) const TEXT_STEPS: u64 = (MAX_TEXT / BYTES_PER_STEP) as u64;

    /// Steps that one operation may take.
    pub(crate) fn cost(&self, op: &Op) -> u64 {
        let text = Self::TEXT_STEPS;
        match op {
            Op::StartsWith(_) | Op::EndsWith(_) | Op::CompareText(_) | Op::CompareFieldText(..) => 1 + text,
            Op::Contains(_) => 1 + 2 * text,
            Op::Glob(g) => 1 + text * (1 + self.globs[*g as usize].pieces.len() as u64),
            Op::InSet(s) => match &self.sets[*s as usize] {
                Set::Ints(v) => 1 + u64::from(v.len().max(1).ilog2()) + 1,
                Set::Texts(v) => 1 + (u64::from(v.len().max(1).ilog2()) + 1) * text,
            },
            Op::Hash(n) => 1 + u64::from(*n) * text,
            _ => 1,
        }
    }

    /// Worst steps from each operation to its end: the longest way, since jumps go forward only.
    pub(crate) fn worst_from(&self) -> Vec<u64> {
        let mut worst = vec![0; self.ops.len() + 1];
        for (i, op) in self.ops.iter().enumerate().rev() {
            let on = match op {
                Op::End => 0,
                Op::Jump(to) => worst[*to as usize],
                Op::JumpIfFalseOrPop(to) | Op::JumpIfTrueOrPop(to) | Op::PopJumpIfFalse(to) => {
                    worst[i + 1].max(worst[*to as usize])
                }
                _ => worst[i + 1],
            };
            worst[i] = on + self.cost(op);
        }
        worst
    }

    /// Values of all lets, in order; each sees those before it.
    fn evaluate_lets<'a>(
        &'a self,
        fields: &Fields<'a>,
        lets: &mut [Value<'a>; MAX_LETS],
        observer: &mut impl Observer,
    ) {
        for (slot, from) in self.lets.iter().enumerate().take(MAX_LETS) {
            lets[slot] = self.run(*from, fields, &lets[..slot], observer);
        }
    }

    /// Does something with the values of the lets; with none where no operation reads one.
    pub(crate) fn with_lets<'a, W: Observer, R>(
        &'a self,
        fields: &Fields<'a>,
        observer: &mut W,
        then: impl FnOnce(&[Value<'a>], &mut W) -> R,
    ) -> R {
        if !self.reads_lets {
            return then(&[], observer);
        }
        let mut lets = [Value::Int(0); MAX_LETS];
        self.evaluate_lets(fields, &mut lets, observer);
        then(&lets[..self.lets.len().min(MAX_LETS)], observer)
    }

    /// Values of all lets, for showing.
    pub(crate) fn lets<'a>(&'a self, fields: &Fields<'a>) -> Vec<Value<'a>> {
        let mut lets = [Value::Int(0); MAX_LETS];
        self.evaluate_lets(fields, &mut lets, &mut ());
        lets[..self.lets.len().min(MAX_LETS)].to_vec()
    }

    /// Runs one expression. The compiler has seen to types and depth; a hole in that would end in a stated value.
    pub(crate) fn run<'a>(
        &'a self,
        from: u32,
        fields: &Fields<'a>,
        lets: &[Value<'a>],
        observer: &mut impl Observer,
    ) -> Value<'a> {
        let mut stack = [Value::Int(0); MAX_STACK];
        let (mut top, mut at) = (0usize, from as usize);
        let push = |top: &mut usize, stack: &mut [Value<'a>; MAX_STACK], v: Value<'a>| {
            if let Some(slot) = stack.get_mut(*top) {
                *slot = v;
                *top += 1;
            }
        };
        while let Some(op) = self.ops.get(at) {
            at += 1;
            observer.steps(|| self.cost(op));
            let last = stack[top.saturating_sub(1)];
            match op {
                Op::Const(c) => push(&mut top, &mut stack, self.constants[*c as usize].value()),
                Op::Field(_) | Op::Let(_) => {
                    let value = match op {
                        Op::Field(f) => fields.value(*f),
                        Op::Let(slot) => lets.get(usize::from(*slot)).copied().unwrap_or(last),
                        _ => last,
                    };
                    if let Value::Bool(outcome) = value {
                        observer.test(self.spans[at - 1], &[], outcome);
                    }
                    push(&mut top, &mut stack, value);
                }
                Op::CompareField(c, field, constant) | Op::CompareFieldText(c, field, constant) => {
                    let of = [fields.value(*field), self.constants[*constant as usize].value()];
                    let outcome = compare(*c, of[0], of[1]);
                    observer.test(self.spans[at - 1], &of, outcome);
                    push(&mut top, &mut stack, Value::Bool(outcome));
                }
                Op::Jump(to) => at = *to as usize,
                Op::JumpIfFalseOrPop(to) | Op::JumpIfTrueOrPop(to) => {
                    if last == Value::Bool(matches!(op, Op::JumpIfTrueOrPop(_))) {
                        at = *to as usize;
                    } else {
                        top = top.saturating_sub(1);
                    }
                }
                Op::PopJumpIfFalse(to) => {
                    top = top.saturating_sub(1);
                    if last != Value::Bool(true) {
                        at = *to as usize;
                    }
                }
                Op::End => return last,
                Op::Compare(_) | Op::CompareText(_) | Op::Arith(_) => {
                    top = top.saturating_sub(1);
                    let left = &mut stack[top.saturating_sub(1)];
                    *left = match op {
                        Op::Compare(c) | Op::CompareText(c) => {
                            let outcome = compare(*c, *left, last);
                            observer.test(self.spans[at - 1], &[*left, last], outcome);
                            Value::Bool(outcome)
                        }
                        Op::Arith(a) => Value::Int(arith(*a, *left, last)),
                        _ => *left,
                    };
                }
                Op::Hash(n) => {
                    let n = usize::from(*n).min(top);
                    let h = hash(&stack[top - n..top]);
                    top -= n;
                    push(&mut top, &mut stack, Value::Int(h));
                }
                Op::Not
                | Op::InSet(_)
                | Op::StartsWith(_)
                | Op::EndsWith(_)
                | Op::Contains(_)
                | Op::Glob(_) => {
                    let outcome = self.test(op, last);
                    if !matches!(op, Op::Not) {
                        observer.test(self.spans[at - 1], &[last], outcome);
                    }
                    stack[top.saturating_sub(1)] = Value::Bool(outcome);
                }
            }
        }
        stack[0]
    }

    fn text(&self, c: u32) -> &str {
        match &self.constants[c as usize] {
            Constant::Text(t) => t,
            _ => "",
        }
    }

    fn test(&self, op: &Op, value: Value<'_>) -> bool {
        match (op, value) {
            (Op::Not, Value::Bool(b)) => !b,
            (Op::InSet(s), Value::Int(n)) => {
                matches!(&self.sets[*s as usize], Set::Ints(v) if v.binary_search(&n).is_ok())
            }
            (Op::InSet(s), Value::Text(t)) => {
                matches!(&self.sets[*s as usize], Set::Texts(v) if v.binary_search_by(|x| x.as_str().cmp(t)).is_ok())
            }
            (Op::StartsWith(c), Value::Text(t)) => t.starts_with(self.text(*c)),
            (Op::EndsWith(c), Value::Text(t)) => t.ends_with(self.text(*c)),
            (Op::Contains(c), Value::Text(t)) => t.contains(self.text(*c)),
            (Op::Glob(g), Value::Text(t)) => self.globs[*g as usize].matches(t),
            _ => false,
        }
    }
}

pub(crate) fn compare(c: Comparison, a: Value<'_>, b: Value<'_>) -> bool {
    match (a, b) {
        // Lengths differ more often than not, and are seen first.
        (Value::Text(a), Value::Text(b)) if c == Comparison::Equal => a == b,
        (Value::Int(a), Value::Int(b)) => c.holds(a.cmp(&b)),
        (Value::Text(a), Value::Text(b)) => c.holds(a.cmp(b)),
        (Value::Bool(a), Value::Bool(b)) => c.holds(a.cmp(&b)),
        _ => false,
    }
}

fn arith(a: ArithOp, left: Value<'_>, right: Value<'_>) -> i64 {
    match (left, right) {
        (Value::Int(l), Value::Int(r)) => a.apply(l, r),
        _ => 0,
    }
}
