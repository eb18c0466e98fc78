//! Diagnostics: errors and warnings with source spans, labels and help texts.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::ops::Range;

/// A range of bytes in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Span {
    /// Offset of the first byte.
    pub start: usize,
    /// Offset past the last byte.
    pub end: usize,
}

impl Span {
    /// The span from the start of this one to the end of another.
    pub(crate) fn to(self, last: Span) -> Span {
        Span { start: self.start, end: last.end.max(self.end) }
    }

    fn shifted(self, by: usize) -> Span {
        Span { start: self.start + by, end: self.end + by }
    }

    /// The range for the renderer: clamped to the text and extended to character boundaries.
    fn range(self, text: &str) -> Range<usize> {
        let boundary = |mut at: usize, step: fn(usize) -> usize| {
            at = at.min(text.len());
            while !text.is_char_boundary(at) {
                at = step(at);
            }
            at
        };
        let start = boundary(self.start, |n| n - 1);
        start..boundary(self.end, |n| n + 1).max(start)
    }
}

/// An error or a warning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The part of the file that it is about.
    pub span: Span,
    /// What is wrong.
    pub message: String,
    /// How to fix it, such as the closest known name.
    pub help: Option<String>,
    /// Related spans and their labels.
    pub labels: Vec<(Span, String)>,
}

impl Diagnostic {
    /// Creates a diagnostic without help and labels.
    pub fn new(span: Span, message: impl Into<String>) -> Diagnostic {
        Diagnostic { span, message: message.into(), help: None, labels: Vec::new() }
    }

    /// Adds a help text.
    pub fn help(mut self, help: impl Into<String>) -> Diagnostic {
        self.help = Some(help.into());
        self
    }

    /// Adds a label to a related span.
    pub(crate) fn label(mut self, span: Span, message: impl Into<String>) -> Diagnostic {
        self.labels.push((span, message.into()));
        self
    }
}

/// The known name with the smallest edit distance to a word, if the distance is at most a third of the word's
/// length (and at least 1).
pub fn closest_match<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let closest = known.map(|k| (strsim::damerau_levenshtein(word, k), k)).min()?;
    (closest.0 <= (word.len() / 3).max(1)).then_some(closest.1)
}

/// Diagnostics that are rendered in full; the others are only counted.
const MAX_RENDERED: usize = 20;
/// Maximum line width in columns; of a longer line only the part around the span is shown.
const MAX_COLUMNS: usize = 120;

/// Severity of a diagnostic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The file is rejected.
    Error,
    /// The file is accepted, but probably does not do what was intended.
    Warning,
}

/// The diagnostics of a file, in the order of their spans.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl Diagnostics {
    /// Shifts all spans by `offset` bytes, for rules that are embedded in a larger file.
    pub fn shifted(mut self, offset: usize) -> Diagnostics {
        for diagnostic in &mut self.0 {
            diagnostic.span = diagnostic.span.shifted(offset);
            diagnostic.labels.iter_mut().for_each(|l| l.0 = l.0.shifted(offset));
        }
        self
    }

    /// Renders all diagnostics as text, with line, column and the source underlined.
    pub fn render(&self, name: &str, text: &[u8], severity: Severity) -> String {
        let text = String::from_utf8_lossy(text);
        let renderer = Renderer::plain().term_width(MAX_COLUMNS);
        let mut out: Vec<String> =
            self.0.iter().take(MAX_RENDERED).map(|d| render(d, name, &text, severity, &renderer)).collect();
        if self.0.len() > MAX_RENDERED {
            out.push(format!("and {} more", self.0.len() - MAX_RENDERED));
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
    let primary = AnnotationKind::Primary.span(diagnostic.span.range(text));
    let labels = diagnostic
        .labels
        .iter()
        .map(|(span, label)| AnnotationKind::Context.span(span.range(text)).label(label));
    let snippet = Snippet::source(text).path(name).annotation(primary).annotations(labels);
    let mut group = level.primary_title(&diagnostic.message).element(snippet);
    if let Some(help) = &diagnostic.help {
        group = group.element(Level::HELP.message(help));
    }
    renderer.render(&[group])
}
