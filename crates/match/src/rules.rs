//! Compiled rules and their evaluation.

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

/// Maximum size of a file, in bytes.
const MAX_FILE_BYTES: usize = 4 << 20;

/// The rows of `class` or of `plan`, in order.
#[derive(Clone, Debug)]
struct RowList {
    /// The name that each row assigns, and the first instruction of its condition (`None` for `otherwise`).
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
                Some(entry) => program.run(entry, fields, lets, observer) == Value::Bool(true),
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

/// Compiled rules: assign a class, a plan and a key to each request, at a bounded cost.
#[derive(Clone, Debug)]
pub struct Rules {
    program: Program,
    classes: RowList,
    plans: RowList,
    key: Option<u32>,
    warnings: Diagnostics,
    worst_steps: u64,
    /// For each class row, the index of its class in [`Rules::class_names`].
    class_indices: Vec<usize>,
    /// The region of each class row.
    regions: Vec<Region>,
    /// The source span of each class row.
    spans: Vec<Span>,
    plan_spans: Vec<Span>,
    lets: Vec<String>,
    key_dependencies: Option<KeyDependencies>,
}

/// A test of a row and its result for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestTrace {
    /// Source span of the test.
    pub span: Span,
    /// Result of the test.
    pub outcome: bool,
    /// Values of the operands, in order.
    pub operands: Vec<String>,
}

/// The evaluation of a row for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowTrace {
    /// The class that the row assigns.
    pub class: String,
    /// Source span of the row.
    pub span: Span,
    /// Whether the row matched.
    pub matched: bool,
    /// Steps of the evaluation.
    pub steps: u64,
    /// The tests that were evaluated, in order; tests after a short circuit are missing.
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

/// Explains how a request was assigned its class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The `let` definitions and their values for this request.
    pub lets: Vec<(String, String)>,
    /// The rows up to the one that matched.
    pub rows: Vec<RowTrace>,
    /// Steps of the host for the class, which uses the decision tree instead of trying each row.
    pub steps: u64,
}

impl Rules {
    /// Compiles a file.
    ///
    /// # Errors
    /// All errors of the file, in the order of their spans.
    pub fn compile(text: &[u8]) -> Result<Rules, Diagnostics> {
        Self::compile_with_limit(text, u64::MAX)
    }

    /// Compiles a file with a limit on the steps that class, plan and key of one request may take.
    ///
    /// # Errors
    /// All errors of the file, in the order of their spans; or a single one if the limit is exceeded.
    pub fn compile_with_limit(text: &[u8], max_steps: u64) -> Result<Rules, Diagnostics> {
        let single = |d| Diagnostics(vec![d]);
        let text = as_text(text)?;
        let mut diagnostics = Vec::new();
        let tokens = lex(text, &mut diagnostics);
        let file = Parser::new(&tokens, &mut diagnostics).parse_file();
        let mut compiler = Compiler::new(file.lets.iter().map(|l| l.0.clone()));
        for (name, span, value) in &file.lets {
            compiler.add_let(name, *span, value);
        }
        let class_rows = compile_rows(&mut compiler, &file.classes);
        let plan_rows = compile_rows(&mut compiler, &file.plans);
        let key = file.key.as_ref().map(|k| compiler.compile_typed(k, &[Type::Int]));
        let end = Span { start: text.len(), end: text.len() };
        // After a syntax error the `otherwise` row may be among the rows that could not be parsed.
        if diagnostics.is_empty() && !file.classes.iter().any(|r| r.condition.is_none()) {
            let diagnostic = Diagnostic::new(end, "some requests would have no class");
            diagnostics.push(diagnostic.help("end the list with `class \"name\" otherwise;`"));
        }
        diagnostics.append(&mut compiler.diagnostics);
        if !diagnostics.is_empty() {
            diagnostics.sort_by_key(|d| (d.span.start, d.span.end));
            diagnostics.dedup();
            return Err(Diagnostics(diagnostics));
        }
        let mut bindings = Bindings::default();
        file.lets.iter().for_each(|(name, _, value)| bindings.add(name, value));
        let (regions, plan_regions) = (regions(&bindings, &file.classes), regions(&bindings, &file.plans));
        let warnings =
            [unreachable_rows(&file.classes, &regions), unreachable_rows(&file.plans, &plan_regions)]
                .concat();
        let classes = RowList { rows: class_rows, tree: DecisionTree::build(&regions) };
        let plans = RowList { rows: plan_rows, tree: DecisionTree::build(&plan_regions) };
        let worst_from = compiler.program.worst_steps_from();
        let lets: u64 = compiler.program.lets.iter().map(|l| worst_from[*l as usize]).sum();
        let key_steps = key.map_or(0, |k| worst_from[k as usize]);
        let worst_steps =
            3 * lets + classes.worst_steps(&worst_from) + plans.worst_steps(&worst_from) + key_steps;
        if worst_steps > max_steps {
            let message = format!("a request may take {worst_steps} steps, and {max_steps} are the most");
            let row_steps = |list: &RowList| -> Vec<u64> {
                list.rows.iter().map(|r| r.1.map_or(0, |at| worst_from[at as usize])).collect()
            };
            let rows =
                file.classes.iter().zip(row_steps(&classes)).chain(file.plans.iter().zip(row_steps(&plans)));
            let most_expensive = rows.max_by_key(|r| r.1).map_or((end, 0), |(row, cost)| (row.span, cost));
            let diagnostic = Diagnostic::new(most_expensive.0, message);
            return Err(single(
                diagnostic
                    .help(format!("this row is the most expensive one, with {} steps", most_expensive.1)),
            ));
        }
        let mut rules = Rules {
            spans: file.classes.iter().map(|r| r.span).collect(),
            plan_spans: file.plans.iter().map(|r| r.span).collect(),
            key_dependencies: file.key.as_ref().map(|k| KeyDependencies::of(k, &file.lets, &bindings)),
            lets: file.lets.iter().map(|(name, ..)| name.clone()).collect(),
            program: compiler.program,
            classes,
            plans,
            key,
            warnings: Diagnostics(warnings),
            worst_steps,
            class_indices: Vec::new(),
            regions,
        };
        let names: HashMap<&str, usize> = rules.class_names().into_iter().zip(0..).collect();
        let class_indices = rules.classes.rows.iter().map(|(name, _)| names[name.as_str()]).collect();
        rules.class_indices = class_indices;
        Ok(rules)
    }

    /// The class of a request. Never `None`, since files without an `otherwise` row are rejected.
    pub fn class(&self, fields: &Fields<'_>) -> Option<&str> {
        self.class_observed(fields, &mut ())
    }

    pub(crate) fn class_observed(&self, fields: &Fields<'_>, observer: &mut impl Observer) -> Option<&str> {
        let row = self.classes.first_match(&self.program, fields, observer)?;
        self.classes.rows.get(row).map(|r| r.0.as_str())
    }

    /// The plan of a request, if a plan row matches.
    pub fn plan(&self, fields: &Fields<'_>) -> Option<&str> {
        let row = self.plans.first_match(&self.program, fields, &mut ())?;
        self.plans.rows.get(row).map(|r| r.0.as_str())
    }

    /// The ordering key of a request, if the file defines one.
    pub fn key(&self, fields: &Fields<'_>) -> Option<u64> {
        self.key_observed(fields, &mut ())
    }

    pub(crate) fn key_observed(&self, fields: &Fields<'_>, observer: &mut impl Observer) -> Option<u64> {
        let key = self.key?;
        let evaluate =
            |lets: &[Value<'_>], observer: &mut _| match self.program.run(key, fields, lets, observer) {
                Value::Int(n) => Some(n as u64),
                _ => None,
            };
        self.program.with_lets(fields, observer, evaluate)
    }

    /// Explains the class of a request: evaluates each row up to the one that matches and records the tests.
    pub fn explain(&self, fields: &Fields<'_>) -> Explanation {
        let mut steps = 0;
        self.class_observed(fields, &mut steps);
        let lets = self.program.lets(fields);
        let values = self.lets.iter().zip(&lets).map(|(name, v)| (name.clone(), v.to_string()));
        let mut out = Explanation { lets: values.collect(), rows: Vec::new(), steps };
        for ((name, condition), span) in self.classes.rows.iter().zip(&self.spans) {
            let mut trace = Trace::default();
            let holds = |entry| self.program.run(entry, fields, &lets, &mut trace) == Value::Bool(true);
            let matched = condition.is_none_or(holds);
            let Trace { steps, tests } = trace;
            out.rows.push(RowTrace { class: name.clone(), span: *span, matched, steps, tests });
            if matched {
                break;
            }
        }
        out
    }

    /// What the ordering key depends on, if the file defines one.
    pub fn key_dependencies(&self) -> Option<&KeyDependencies> {
        self.key_dependencies.as_ref()
    }

    /// The index of a request's class in [`Rules::class_names`].
    pub fn class_index(&self, fields: &Fields<'_>) -> Option<usize> {
        let row = self.classes.first_match(&self.program, fields, &mut ())?;
        self.class_indices.get(row).copied()
    }

    /// Like [`Rules::class_index`], but evaluates each row in turn: the reference for tests and benchmarks of
    /// the decision tree.
    pub fn class_index_linear(&self, fields: &Fields<'_>) -> Option<usize> {
        let row = self.program.with_lets(fields, &mut (), |lets, observer| {
            let mut holds = |condition: &Option<u32>| {
                condition
                    .is_none_or(|entry| self.program.run(entry, fields, lets, observer) == Value::Bool(true))
            };
            self.classes.rows.iter().position(|(_, condition)| holds(condition))
        })?;
        self.class_indices.get(row).copied()
    }

    /// The names of the classes that requests with this `op` may be assigned. The result may contain classes
    /// that no such request is assigned, but omits none.
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

    /// The class rows: the class that each assigns, and its span.
    pub fn class_rows(&self) -> impl Iterator<Item = (&str, Span)> {
        self.classes.rows.iter().map(|r| r.0.as_str()).zip(self.spans.iter().copied())
    }

    /// The plan rows: the plan that each assigns, and its span.
    pub fn plan_rows(&self) -> impl Iterator<Item = (&str, Span)> {
        self.plans.rows.iter().map(|r| r.0.as_str()).zip(self.plan_spans.iter().copied())
    }

    /// The names of the classes, in the order of their first rows.
    pub fn class_names(&self) -> Vec<&str> {
        let mut seen = HashSet::new();
        self.classes.rows.iter().map(|r| r.0.as_str()).filter(|n| seen.insert(*n)).collect()
    }

    /// Worst-case number of steps for class, plan and key of one request.
    pub fn worst_steps(&self) -> u64 {
        self.worst_steps
    }

    /// Warnings about rows that provably never match.
    pub fn warnings(&self) -> &Diagnostics {
        &self.warnings
    }
}

/// Checks the size and encoding of a file.
///
/// # Errors
/// The file is too long or not valid UTF-8.
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

/// Compiles the conditions of rows: the name that each row assigns, and the first instruction of its
/// condition.
fn compile_rows(compiler: &mut Compiler, rows: &[Row]) -> Vec<(String, Option<u32>)> {
    rows.iter()
        .map(|r| (r.result.clone(), r.condition.as_ref().map(|w| compiler.compile_typed(w, &[Type::Bool]))))
        .collect()
}

fn regions(bindings: &Bindings, rows: &[Row]) -> Vec<Region> {
    let region =
        |r: &Row| r.condition.as_ref().map_or_else(|| Region::all(true), |w| bindings.region(w, true));
    rows.iter().map(region).collect()
}
