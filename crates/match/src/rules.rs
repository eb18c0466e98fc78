//! A compiled file.

use crate::ast::Row;
use crate::compile::Compiler;
use crate::coverage::{reachable_rows, unreachable_rows};
use crate::decision_tree::DecisionTree;
use crate::diagnostic::{Diagnostic, Diagnostics, Span};
use crate::key::KeyDependencies;
use crate::lexer::lex;
use crate::parser::Parser;
use crate::program::{Fields, Observer, Program, Type, Value};
use crate::region::{Bindings, Region};
use std::collections::{HashMap, HashSet};

/// Longest file, bytes.
const MAX_FILE_BYTES: usize = 4 << 20;

/// A list of rows with their results, in order.
#[derive(Clone, Debug)]
struct RowList {
    /// Result and where its condition begins; `None` for `otherwise`.
    rows: Vec<(String, Option<u32>)>,
    tree: DecisionTree,
}

impl RowList {
    fn first_match(
        &self,
        program: &Program,
        fields: &Fields<'_>,
        observer: &mut impl Observer,
    ) -> Option<usize> {
        program.with_lets(fields, observer, |lets, observer| {
            let none = self.rows.len() as u32;
            let mut holds = |row: u32, observer: &mut _| match self.rows[row as usize].1 {
                Some(from) => program.run(from, fields, lets, observer) == Value::Bool(true),
                None => true,
            };
            let first = self.tree.first_match(fields, none, observer, &mut holds);
            (first < none).then_some(first as usize)
        })
    }

    fn worst_steps(&self, worst_from: &[u64]) -> u64 {
        self.tree.worst_steps(&|row| self.rows[row as usize].1.map_or(0, |entry| worst_from[entry as usize]))
    }
}

/// What a file says of requests: compiled, checked, and bounded in cost.
#[derive(Clone, Debug)]
pub struct Rules {
    program: Program,
    classes: RowList,
    plans: RowList,
    key: Option<u32>,
    warnings: Diagnostics,
    worst_steps: u64,
    /// For each row, the position of its class among the names.
    class_indices: Vec<usize>,
    /// Where each row of the classes may match.
    regions: Vec<Region>,
    /// Where each row of the classes stands.
    spans: Vec<Span>,
    plan_spans: Vec<Span>,
    lets: Vec<String>,
    key_dependencies: Option<KeyDependencies>,
}

/// A test within a row, as it came out for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestTrace {
    /// Where it stands.
    pub span: Span,
    /// What it gave.
    pub outcome: bool,
    /// The values that it was about, in their order.
    pub operands: Vec<String>,
}

/// A row as it was tried for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowTrace {
    /// The class that it gives.
    pub class: String,
    /// Where it stands.
    pub span: Span,
    /// Whether it matched.
    pub matched: bool,
    /// Steps that it took.
    pub steps: u64,
    /// Its tests up to where the answer was settled.
    pub tests: Vec<TestTrace>,
}

#[derive(Default)]
struct Trace {
    steps: u64,
    tests: Vec<TestTrace>,
}

impl Observer for Trace {
    fn steps(&mut self, cost: impl FnOnce() -> u64) {
        self.steps += cost();
    }

    fn test(&mut self, span: Span, operands: &[Value<'_>], outcome: bool) {
        self.tests.push(TestTrace {
            span,
            outcome,
            operands: operands.iter().map(Value::to_string).collect(),
        });
    }
}

/// How a request got its class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// Names given by `let`, and their values for this request.
    pub lets: Vec<(String, String)>,
    /// Rows up to the one that matched.
    pub rows: Vec<RowTrace>,
    /// Steps that the host takes for the class, rather than row by row.
    pub steps: u64,
}

impl Rules {
    /// Reads, checks and compiles a file.
    ///
    /// # Errors
    /// All faults of the file, in order of their places.
    pub fn compile(text: &[u8]) -> Result<Rules, Diagnostics> {
        Self::compile_with_limit(text, u64::MAX)
    }

    /// The same, with a bound on the steps that class, plan and key of one request may take.
    ///
    /// # Errors
    /// All faults of the file, or the one that a request may take more.
    pub fn compile_with_limit(text: &[u8], max_steps: u64) -> Result<Rules, Diagnostics> {
        let one = |f| Diagnostics(vec![f]);
        let text = as_text(text)?;
        let mut diagnostics = Vec::new();
        let tokens = lex(text, &mut diagnostics);
        let file = Parser::new(&tokens, &mut diagnostics).file();
        let mut c = Compiler::new(file.lets.iter().map(|l| l.0.clone()));
        for (name, span, value) in &file.lets {
            c.add_let(name, *span, value);
        }
        let class_rows = compile_rows(&mut c, &file.classes);
        let plan_rows = compile_rows(&mut c, &file.plans);
        let key = file.key.as_ref().map(|k| c.compile_typed(k, &[Type::Int]));
        let end = Span { start: text.len(), end: text.len() };
        // Where something could not be read, the last row may be among it.
        if diagnostics.is_empty() && !file.classes.iter().any(|r| r.condition.is_none()) {
            let diagnostic = Diagnostic::new(end, "some requests would have no class");
            diagnostics.push(diagnostic.help("end the list with `class \"name\" otherwise;`"));
        }
        diagnostics.append(&mut c.diagnostics);
        if !diagnostics.is_empty() {
            diagnostics.sort_by_key(|f| (f.span.start, f.span.end));
            diagnostics.dedup();
            return Err(Diagnostics(diagnostics));
        }
        let mut known = Bindings::default();
        file.lets.iter().for_each(|(name, _, value)| known.add(name, value));
        let (regions, plan_regions) = (regions(&known, &file.classes), regions(&known, &file.plans));
        let warnings =
            [unreachable_rows(&file.classes, &regions), unreachable_rows(&file.plans, &plan_regions)]
                .concat();
        let classes = RowList { rows: class_rows, tree: DecisionTree::build(&regions) };
        let plans = RowList { rows: plan_rows, tree: DecisionTree::build(&plan_regions) };
        let worst_from = c.program.worst_from();
        let lets: u64 = c.program.lets.iter().map(|l| worst_from[*l as usize]).sum();
        let key_worst = key.map_or(0, |k| worst_from[k as usize]);
        let worst_steps =
            3 * lets + classes.worst_steps(&worst_from) + plans.worst_steps(&worst_from) + key_worst;
        if worst_steps > max_steps {
            let message = format!("a request may take {worst_steps} steps, and {max_steps} are the most");
            let costs = |list: &RowList| -> Vec<u64> {
                list.rows.iter().map(|r| r.1.map_or(0, |at| worst_from[at as usize])).collect()
            };
            let rows = file.classes.iter().zip(costs(&classes)).chain(file.plans.iter().zip(costs(&plans)));
            let costly = rows.max_by_key(|r| r.1).map_or((end, 0), |(row, cost)| (row.span, cost));
            let diagnostic = Diagnostic::new(costly.0, message);
            return Err(one(
                diagnostic.help(format!("this row is the most expensive one, with {} steps", costly.1))
            ));
        }
        let mut rules = Rules {
            spans: file.classes.iter().map(|r| r.span).collect(),
            plan_spans: file.plans.iter().map(|r| r.span).collect(),
            key_dependencies: file.key.as_ref().map(|k| KeyDependencies::of(k, &file.lets, &known)),
            lets: file.lets.iter().map(|(name, ..)| name.clone()).collect(),
            program: c.program,
            classes,
            plans,
            key,
            warnings: Diagnostics(warnings),
            worst_steps,
            class_indices: Vec::new(),
            regions,
        };
        let names: HashMap<&str, usize> = rules.class_names().into_iter().zip(0..).collect();
        let numbers = rules.classes.rows.iter().map(|(name, _)| names[name.as_str()]).collect();
        rules.class_indices = numbers;
        Ok(rules)
    }

    /// The class of a request; `None` never, since a file without `otherwise` is refused.
    pub fn class(&self, fields: &Fields<'_>) -> Option<&str> {
        self.class_observed(fields, &mut ())
    }

    pub(crate) fn class_observed(&self, fields: &Fields<'_>, observer: &mut impl Observer) -> Option<&str> {
        let row = self.classes.first_match(&self.program, fields, observer)?;
        self.classes.rows.get(row).map(|r| r.0.as_str())
    }

    /// The plan that a request counts under, where the file says so.
    pub fn plan(&self, fields: &Fields<'_>) -> Option<&str> {
        let row = self.plans.first_match(&self.program, fields, &mut ())?;
        self.plans.rows.get(row).map(|r| r.0.as_str())
    }

    /// The key that orders a request, where the file gives one.
    pub fn key(&self, fields: &Fields<'_>) -> Option<u64> {
        self.key_observed(fields, &mut ())
    }

    pub(crate) fn key_observed(&self, fields: &Fields<'_>, observer: &mut impl Observer) -> Option<u64> {
        let key = self.key?;
        let run = |lets: &[Value<'_>], observer: &mut _| match self.program.run(key, fields, lets, observer) {
            Value::Int(n) => Some(n as u64),
            _ => None,
        };
        self.program.with_lets(fields, observer, run)
    }

    /// How a request got its class: each row up to the one that matched, one by one, with what each test gave.
    pub fn explain(&self, fields: &Fields<'_>) -> Explanation {
        let mut steps = 0;
        self.class_observed(fields, &mut steps);
        let lets = self.program.lets(fields);
        let values = self.lets.iter().zip(&lets).map(|(name, v)| (name.clone(), v.to_string()));
        let mut out = Explanation { lets: values.collect(), rows: Vec::new(), steps };
        for ((name, condition), span) in self.classes.rows.iter().zip(&self.spans) {
            let mut trace = Trace::default();
            let holds = |from| self.program.run(from, fields, &lets, &mut trace) == Value::Bool(true);
            let matched = condition.is_none_or(holds);
            let Trace { steps, tests } = trace;
            out.rows.push(RowTrace { class: name.clone(), span: *span, matched, steps, tests });
            if matched {
                break;
            }
        }
        out
    }

    /// What the key is made from, where the file gives one.
    pub fn key_dependencies(&self) -> Option<&KeyDependencies> {
        self.key_dependencies.as_ref()
    }

    /// Position of a request's class in [`Rules::class_names`].
    pub fn class_index(&self, fields: &Fields<'_>) -> Option<usize> {
        let row = self.classes.first_match(&self.program, fields, &mut ())?;
        self.class_indices.get(row).copied()
    }

    /// The same by trying each row in turn: what the decision tree is measured and tested against.
    pub fn class_index_linear(&self, fields: &Fields<'_>) -> Option<usize> {
        let row = self.program.with_lets(fields, &mut (), |lets, observer| {
            let mut holds = |condition: &Option<u32>| {
                condition
                    .is_none_or(|from| self.program.run(from, fields, lets, observer) == Value::Bool(true))
            };
            self.classes.rows.iter().position(|(_, condition)| holds(condition))
        })?;
        self.class_indices.get(row).copied()
    }

    /// Names of the classes that a request with an `op` may get, as far as the rows before them tell: a class may be
    /// named that no such request gets, but none is left out.
    pub fn reachable_classes(&self, op: &str) -> Vec<&str> {
        let mut names: Vec<&str> = Vec::new();
        for row in reachable_rows(op, &self.regions) {
            let name = self.classes.rows[row].0.as_str();
            if !names.contains(&name) {
                names.push(name);
            }
        }
        names
    }

    /// Rows of the classes: what they give and where they stand.
    pub fn class_rows(&self) -> impl Iterator<Item = (&str, Span)> {
        self.classes.rows.iter().map(|r| r.0.as_str()).zip(self.spans.iter().copied())
    }

    /// Rows of the plans: what they give and where they stand.
    pub fn plan_rows(&self) -> impl Iterator<Item = (&str, Span)> {
        self.plans.rows.iter().map(|r| r.0.as_str()).zip(self.plan_spans.iter().copied())
    }

    /// Names of the classes, in the order of their first rows.
    pub fn class_names(&self) -> Vec<&str> {
        let mut seen = HashSet::new();
        self.classes.rows.iter().map(|r| r.0.as_str()).filter(|n| seen.insert(*n)).collect()
    }

    /// Steps that class, plan and key of one request take at the worst.
    pub fn worst_steps(&self) -> u64 {
        self.worst_steps
    }

    /// Rows that can never match, as far as it can be told.
    pub fn warnings(&self) -> &Diagnostics {
        &self.warnings
    }
}

/// # Errors
/// A file that is too long, or no UTF-8.
pub(crate) fn as_text(bytes: &[u8]) -> Result<&str, Diagnostics> {
    let diagnostic =
        |start, end, message: String| Diagnostics(vec![Diagnostic::new(Span { start, end }, message)]);
    if bytes.len() > MAX_FILE_BYTES {
        return Err(diagnostic(
            MAX_FILE_BYTES,
            bytes.len(),
            format!("file is longer than {MAX_FILE_BYTES} bytes"),
        ));
    }
    std::str::from_utf8(bytes).map_err(|e| {
        let at = e.valid_up_to();
        diagnostic(at, at + 1, "invalid UTF-8 from here on".to_owned())
    })
}

/// Results of rows, and where their conditions begin in the program.
fn compile_rows(c: &mut Compiler, rows: &[Row]) -> Vec<(String, Option<u32>)> {
    rows.iter()
        .map(|r| (r.result.clone(), r.condition.as_ref().map(|w| c.compile_typed(w, &[Type::Bool]))))
        .collect()
}

fn regions(known: &Bindings, rows: &[Row]) -> Vec<Region> {
    let region = |r: &Row| r.condition.as_ref().map_or_else(|| Region::all(true), |w| known.region(w, true));
    rows.iter().map(region).collect()
}
