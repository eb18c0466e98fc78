//! Results: words for people on a terminal, lines of JSON elsewhere; paint where it helps.

use anstyle::{AnsiColor, Style};
use clap::ValueEnum;
use serde::Serialize;
use std::io::{IsTerminal, Write};

/// Flags for output; the same in all programs.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Output {
    /// Lines of JSON; so it is anyway where the output is no terminal, unless this is `--json=false`.
    #[arg(long, global = true, num_args = 0..=1, require_equals = true, default_missing_value = "true")]
    pub json: Option<bool>,
    /// Whether words are painted; `auto` looks for a terminal and for NO_COLOR.
    #[arg(long, value_enum, default_value_t = Color::Auto, global = true)]
    pub color: Color,
}

/// Whether words are painted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// On a terminal, unless NO_COLOR is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// What a word tells, for its paint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Highlight {
    /// All is well.
    Success,
    /// Something is wrong.
    Error,
    /// Worth a look.
    Warning,
    /// A heading.
    Heading,
}

impl Output {
    /// Whether JSON is wanted.
    pub fn is_json(self) -> bool {
        self.json.unwrap_or_else(|| !std::io::stdout().is_terminal())
    }

    /// Prints a line of JSON, or words. A reader that has gone away is no fault of ours.
    pub fn print(self, value: &impl Serialize, words: &str) {
        let mut out = std::io::stdout().lock();
        let _ = if self.is_json() {
            writeln!(out, "{}", serde_json::to_string(value).unwrap_or_default())
        } else {
            write!(out, "{words}")
        };
        let _ = out.flush();
    }

    /// Whether a stream that is a terminal, or is none, gets paint.
    pub fn uses_color(self, terminal: bool) -> bool {
        match self.color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => terminal && std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty()),
        }
    }

    /// The word, painted where standard output gets paint.
    pub fn highlight(self, highlight: Highlight, word: &str) -> String {
        if !self.uses_color(std::io::stdout().is_terminal()) {
            return word.to_owned();
        }
        let style = match highlight {
            Highlight::Success => Style::new().fg_color(Some(AnsiColor::Green.into())),
            Highlight::Error => Style::new().bold().fg_color(Some(AnsiColor::Red.into())),
            Highlight::Warning => Style::new().fg_color(Some(AnsiColor::Yellow.into())),
            Highlight::Heading => Style::new().bold(),
        };
        format!("{style}{word}{style:#}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn paint_is_for_those_who_want_it() {
        let output = |color| Output { json: None, color };
        assert_eq!(output(Color::Never).highlight(Highlight::Error, "broken"), "broken");
        let painted = output(Color::Always).highlight(Highlight::Error, "broken");
        assert!(painted.starts_with('\u{1b}') && painted.contains("broken") && painted.ends_with('m'));
        assert!(!output(Color::Auto).uses_color(false));
    }
}
