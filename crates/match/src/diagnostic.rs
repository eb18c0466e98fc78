//! What is wrong with a file, where, and what would be right.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::ops::Range;

/// A range of bytes of the file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// First byte.
    pub start: usize,
    /// Past the last one.
    pub end: usize,
}

impl Span {
    /// From the start of one to the end of another.
    pub(crate) fn to(self, last: Span) -> Span {
        Span { start: self.start, end: last.end.max(self.end) }
    }

    fn shifted(self, by: usize) -> Span {
        Span { start: self.start + by, end: self.end + by }
    }

    /// As the renderer takes it: within the text, on the edges of characters.
    fn range(self, text: &str) -> Range<usize> {
        let edge = |mut at: usize, step: fn(usize) -> usize| {
            at = at.min(text.len());
            while !text.is_char_boundary(at) {
                at = step(at);
            }
            at
        };
        let from = edge(self.start, |n| n - 1);
        from..edge(self.end, |n| n + 1).max(from)
    }
}

/// One fault, or one warning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where.
    pub span: Span,
    /// What is wrong.
    pub message: String,
    /// What would be accepted, or is near.
    pub help: Option<String>,
    /// Other places that have to do with it.
    pub labels: Vec<(Span, String)>,
}

impl Diagnostic {
    /// A fault at a place.
    pub fn new(span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic { span, message: message.into(), help: None, labels: Vec::new() }
    }

    /// The same with what would be right.
    pub fn help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = Some(help.into());
        self
    }

    pub(crate) fn label(mut self, span: Span, message: impl Into<String>) -> Diagnostic {
        self.labels.push((span, message.into()));
        self
    }
}

/// A known word that was probably meant.
pub fn closest_match<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let near = known.map(|k| (strsim::damerau_levenshtein(word, k), k)).min()?;
    (near.0 <= (word.len() / 3).max(1)).then_some(near.1)
}

/// Faults that are shown in full; the others are counted.
const MOST_SHOWN: usize = 20;
/// Columns that a line may take; of a longer one the piece around the fault is shown.
const COLUMNS: usize = 120;

/// How grave what is shown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The file is refused.
    Error,
    /// The file is taken, and does probably not what was meant.
    Warning,
}

/// Faults of a file, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// The same in a file in which the rules begin at byte `offset`.
    pub fn shifted(mut self, offset: usize) -> Diagnostics {
        for diagnostic in &mut self.0 {
            diagnostic.span = diagnostic.span.shifted(offset);
            diagnostic.labels.iter_mut().for_each(|o| o.0 = o.0.shifted(offset));
        }
        self
    }

    /// In words, with line, column and the piece underlined.
    pub fn render(&self, name: &str, text: &[u8], severity: Severity) -> String {
        let text = String::from_utf8_lossy(text);
        let renderer = Renderer::plain().term_width(COLUMNS);
        let mut out: Vec<String> =
            self.0.iter().take(MOST_SHOWN).map(|f| render(f, name, &text, severity, &renderer)).collect();
        if self.0.len() > MOST_SHOWN {
            out.push(format!("and {} more", self.0.len() - MOST_SHOWN));
        }
        out.join("\n\n")
    }
}

fn render(
    diagnostic: &Diagnostic,
    name: &str,
    text: &str,
    severity: Severity,
    renderer: &Renderer,
) -> String {
    let level = match severity {
        Severity::Error => Level::ERROR,
        Severity::Warning => Level::WARNING,
    };
    let main = AnnotationKind::Primary.span(diagnostic.span.range(text));
    let others = diagnostic.labels.iter().map(|(p, w)| AnnotationKind::Context.span(p.range(text)).label(w));
    let snippet = Snippet::source(text).path(name).annotation(main).annotations(others);
    let mut group = level.primary_title(&diagnostic.message).element(snippet);
    if let Some(help) = &diagnostic.help {
        group = group.element(Level::HELP.message(help));
    }
    renderer.render(&[group])
}
