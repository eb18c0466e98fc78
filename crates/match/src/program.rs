//! The bytecode and its interpreter. Jumps go forward only, so that an evaluation executes each instruction
//! at most once.

use crate::ast::{ArithOp, Comparison};
use crate::diagnostic::Span;

/// The fields of a request that expressions can read. Texts longer than 255 bytes are truncated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    /// `read`, `write`, `verify`, `flush` or `compare-and-write`.
    pub op: &'a str,
    /// Direction of the data transfer as seen from the initiator: `in`, `out` or `none`.
    pub direction: &'a str,
    /// Logical block address of the first block.
    pub lba: u64,
    /// Number of blocks.
    pub blocks: u64,
    /// Number of bytes.
    pub bytes: u64,
    /// Logical unit number.
    pub lun: u16,
    /// Name of the volume.
    pub volume: &'a str,
    /// Name of the plan.
    pub plan: &'a str,
    /// Name of the initiator.
    pub initiator: &'a str,
    /// Name of the target.
    pub target: &'a str,
    /// The GROUP NUMBER field of the CDB.
    pub group: u8,
    /// Force unit access (FUA).
    pub fua: bool,
    /// Time of day in microseconds.
    pub time_us: u64,
}

/// Longer texts are truncated to this number of bytes, which bounds the cost of operations on them.
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

/// Types of the language. Sizes and durations cannot be added to or compared with plain numbers.
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

/// Name, field and type of each field.
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

/// Formats the value for `explain`.
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

/// The sorted constants of an `in` list.
#[derive(Clone, Debug)]
pub(crate) enum Set {
    Ints(Vec<i64>),
    Texts(Vec<String>),
}

/// A glob pattern, split at its stars into a prefix, parts that must occur in order, and a suffix.
#[derive(Clone, Debug)]
pub(crate) struct Glob {
    parts: Vec<String>,
}

impl Glob {
    pub(crate) fn new(pattern: &str) -> Glob {
        Glob { parts: pattern.split('*').map(str::to_owned).collect() }
    }

    /// Matches greedily from the left: for the parts between stars the first occurrence is always sufficient.
    pub(crate) fn matches(&self, text: &str) -> bool {
        let [prefix, middle @ .., suffix] = &self.parts[..] else { return self.parts[0] == text };
        let Some(mut rest) = text.strip_prefix(prefix.as_str()) else { return false };
        for part in middle {
            match rest.find(part.as_str()) {
                Some(at) => rest = &rest[at + part.len()..],
                None => return false,
            }
        }
        rest.ends_with(suffix.as_str())
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
    /// Compares a field with a constant, the most common test, in one instruction instead of three.
    CompareField(Comparison, Field, u32),
    CompareFieldText(Comparison, Field, u32),
    Arith(ArithOp),
    InSet(u32),
    StartsWith(u32),
    EndsWith(u32),
    Contains(u32),
    Glob(u32),
    /// Pops so many values and pushes their hash.
    Hash(u8),
    /// Jumps if the top is false, keeping it; pops it otherwise.
    JumpIfFalseOrPop(u32),
    /// Jumps if the top is true, keeping it; pops it otherwise.
    JumpIfTrueOrPop(u32),
    /// Pops the top and jumps if it is false.
    PopJumpIfFalse(u32),
    Jump(u32),
    End,
}

/// Maximum stack depth; the compiler rejects expressions that need more.
pub(crate) const MAX_STACK: usize = 16;
/// Maximum number of `let` definitions.
pub(crate) const MAX_LETS: usize = 32;
/// Number of bytes of a text that count as one step.
const BYTES_PER_STEP: usize = 16;

/// A compiled file: the instructions of all expressions in one list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Program {
    pub(crate) ops: Vec<Op>,
    /// The source span of each instruction.
    pub(crate) spans: Vec<Span>,
    pub(crate) constants: Vec<Constant>,
    pub(crate) sets: Vec<Set>,
    pub(crate) globs: Vec<Glob>,
    /// The first instruction of each `let`, in order.
    pub(crate) lets: Vec<u32>,
    /// Whether any instruction reads a `let`. Those that are constants are inlined.
    pub(crate) reads_lets: bool,
}

/// Observes evaluations, to count steps or to explain results. The empty observer `()` costs nothing.
pub(crate) trait Observer {
    /// Called with the number of steps of each instruction.
    fn steps(&mut self, _cost: impl FnOnce() -> u64) {}
    /// Called with the result of each test and its operands.
    fn test(&mut self, _place: Span, _operands: &[Value<'_>], _outcome: bool) {}
}

/// Observes nothing; used for requests.
impl Observer for () {}

/// Counts steps.
impl Observer for u64 {
    fn steps(&mut self, cost: impl FnOnce() -> u64) {
        *self += cost();
    }
}

/// Truncates a text to [`MAX_TEXT`] bytes, at a character boundary.
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

/// FNV-1a over the values, each preceded by its length, so that `hash("ab", "c")` and `hash("a", "bc")`
/// differ. The result is positive, never 0.
pub(crate) fn hash(values: &[Value<'_>]) -> i64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    let mut feed =
        |bytes: &[u8]| bytes.iter().for_each(|b| h = (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    let mut feed_value = |bytes: &[u8]| {
        feed(&(bytes.len() as u32).to_be_bytes());
        feed(bytes);
    };
    for v in values {
        match v {
            Value::Int(n) => feed_value(&n.to_be_bytes()),
            Value::Bool(b) => feed_value(&[u8::from(*b)]),
            Value::Text(t) => feed_value(t.as_bytes()),
        }
    }
    (h & i64::MAX as u64).max(1) as i64
}

impl Program {
    /// Steps of reading a text of maximum length once.
    pub(crate) const TEXT_STEPS: u64 = (MAX_TEXT / BYTES_PER_STEP) as u64;

    /// Worst-case number of steps of one instruction.
    pub(crate) fn cost(&self, op: &Op) -> u64 {
        let text_steps = Self::TEXT_STEPS;
        match op {
            Op::StartsWith(_) | Op::EndsWith(_) | Op::CompareText(_) | Op::CompareFieldText(..) => {
                1 + text_steps
            }
            Op::Contains(_) => 1 + 2 * text_steps,
            Op::Glob(g) => 1 + text_steps * (1 + self.globs[*g as usize].parts.len() as u64),
            Op::InSet(s) => match &self.sets[*s as usize] {
                Set::Ints(v) => 1 + u64::from(v.len().max(1).ilog2()) + 1,
                Set::Texts(v) => 1 + (u64::from(v.len().max(1).ilog2()) + 1) * text_steps,
            },
            Op::Hash(n) => 1 + u64::from(*n) * text_steps,
            _ => 1,
        }
    }

    /// Worst-case number of steps from each instruction to the end of its expression: the longest path,
    /// computed backwards since jumps go forward only.
    pub(crate) fn worst_steps_from(&self) -> Vec<u64> {
        let mut worst = vec![0; self.ops.len() + 1];
        for (i, op) in self.ops.iter().enumerate().rev() {
            let steps_after = match op {
                Op::End => 0,
                Op::Jump(to) => worst[*to as usize],
                Op::JumpIfFalseOrPop(to) | Op::JumpIfTrueOrPop(to) | Op::PopJumpIfFalse(to) => {
                    worst[i + 1].max(worst[*to as usize])
                }
                _ => worst[i + 1],
            };
            worst[i] = steps_after + self.cost(op);
        }
        worst
    }

    /// Evaluates all `let` definitions in order; each can read those before it.
    fn evaluate_lets<'a>(
        &'a self,
        fields: &Fields<'a>,
        lets: &mut [Value<'a>; MAX_LETS],
        observer: &mut impl Observer,
    ) {
        for (slot, entry) in self.lets.iter().enumerate().take(MAX_LETS) {
            lets[slot] = self.run(*entry, fields, &lets[..slot], observer);
        }
    }

    /// Calls `then` with the values of the `let` definitions, or with none if no instruction reads one.
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

    /// The values of all `let` definitions, for `explain`.
    pub(crate) fn lets<'a>(&'a self, fields: &Fields<'a>) -> Vec<Value<'a>> {
        let mut lets = [Value::Int(0); MAX_LETS];
        self.evaluate_lets(fields, &mut lets, &mut ());
        lets[..self.lets.len().min(MAX_LETS)].to_vec()
    }

    /// Evaluates one expression. The compiler guarantees types and stack depth; if it were wrong, the result
    /// would be some defined value rather than a panic.
    pub(crate) fn run<'a>(
        &'a self,
        entry: u32,
        fields: &Fields<'a>,
        lets: &[Value<'a>],
        observer: &mut impl Observer,
    ) -> Value<'a> {
        let mut stack = [Value::Int(0); MAX_STACK];
        let (mut stack_len, mut pc) = (0usize, entry as usize);
        let push = |stack_len: &mut usize, stack: &mut [Value<'a>; MAX_STACK], v: Value<'a>| {
            if let Some(slot) = stack.get_mut(*stack_len) {
                *slot = v;
                *stack_len += 1;
            }
        };
        while let Some(op) = self.ops.get(pc) {
            pc += 1;
            observer.steps(|| self.cost(op));
            let top_value = stack[stack_len.saturating_sub(1)];
            match op {
                Op::Const(c) => push(&mut stack_len, &mut stack, self.constants[*c as usize].value()),
                Op::Field(_) | Op::Let(_) => {
                    let value = match op {
                        Op::Field(f) => fields.value(*f),
                        Op::Let(slot) => lets.get(usize::from(*slot)).copied().unwrap_or(top_value),
                        _ => top_value,
                    };
                    if let Value::Bool(outcome) = value {
                        observer.test(self.spans[pc - 1], &[], outcome);
                    }
                    push(&mut stack_len, &mut stack, value);
                }
                Op::CompareField(c, field, constant) | Op::CompareFieldText(c, field, constant) => {
                    let operands = [fields.value(*field), self.constants[*constant as usize].value()];
                    let outcome = compare(*c, operands[0], operands[1]);
                    observer.test(self.spans[pc - 1], &operands, outcome);
                    push(&mut stack_len, &mut stack, Value::Bool(outcome));
                }
                Op::Jump(to) => pc = *to as usize,
                Op::JumpIfFalseOrPop(to) | Op::JumpIfTrueOrPop(to) => {
                    if top_value == Value::Bool(matches!(op, Op::JumpIfTrueOrPop(_))) {
                        pc = *to as usize;
                    } else {
                        stack_len = stack_len.saturating_sub(1);
                    }
                }
                Op::PopJumpIfFalse(to) => {
                    stack_len = stack_len.saturating_sub(1);
                    if top_value != Value::Bool(true) {
                        pc = *to as usize;
                    }
                }
                Op::End => return top_value,
                Op::Compare(_) | Op::CompareText(_) | Op::Arith(_) => {
                    stack_len = stack_len.saturating_sub(1);
                    let left = &mut stack[stack_len.saturating_sub(1)];
                    *left = match op {
                        Op::Compare(c) | Op::CompareText(c) => {
                            let outcome = compare(*c, *left, top_value);
                            observer.test(self.spans[pc - 1], &[*left, top_value], outcome);
                            Value::Bool(outcome)
                        }
                        Op::Arith(a) => Value::Int(arith(*a, *left, top_value)),
                        _ => *left,
                    };
                }
                Op::Hash(n) => {
                    let n = usize::from(*n).min(stack_len);
                    let h = hash(&stack[stack_len - n..stack_len]);
                    stack_len -= n;
                    push(&mut stack_len, &mut stack, Value::Int(h));
                }
                Op::Not
                | Op::InSet(_)
                | Op::StartsWith(_)
                | Op::EndsWith(_)
                | Op::Contains(_)
                | Op::Glob(_) => {
                    let outcome = self.test(op, top_value);
                    if !matches!(op, Op::Not) {
                        observer.test(self.spans[pc - 1], &[top_value], outcome);
                    }
                    stack[stack_len.saturating_sub(1)] = Value::Bool(outcome);
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
        // Equality compares the lengths first, which usually differ.
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
