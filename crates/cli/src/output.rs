//! Output of results: text on a terminal, lines of JSON elsewhere, with optional highlighting.

use anstyle::{AnsiColor, Style};
use clap::ValueEnum;
use serde::Serialize;
use std::io::{IsTerminal, Write};

/// Flags for the output; the same in all programs.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct Output {
    /// Print lines of JSON. This is the default where standard output is not a terminal; `--json=false`
    /// prints text.
    #[arg(long, global = true, num_args = 0..=1, require_equals = true, default_missing_value = "true")]
    pub json: Option<bool>,
    /// Whether to highlight text; `auto` highlights on a terminal unless NO_COLOR is set.
    #[arg(long, value_enum, default_value_t = Color::Auto, global = true)]
    pub color: Color,
}

/// When to highlight text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// On a terminal, unless NO_COLOR is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// Meaning of a highlighted text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Highlight {
    /// A good result.
    Success,
    /// A bad result.
    Error,
    /// A result that needs attention.
    Warning,
    /// A heading.
    Heading,
}

impl Output {
    /// Whether to print JSON.
    pub fn is_json(self) -> bool {
        self.json.unwrap_or_else(|| !std::io::stdout().is_terminal())
    }

    /// Prints a value as a line of JSON, or the text. Write errors are ignored, since the reader of a pipe
    /// may have exited.
    pub fn print(self, value: &impl Serialize, text: &str) {
        let mut stdout = std::io::stdout().lock();
        let _ = if self.is_json() {
            writeln!(stdout, "{}", serde_json::to_string(value).unwrap_or_default())
        } else {
            write!(stdout, "{text}")
        };
        let _ = stdout.flush();
    }

    /// Whether to highlight text on a stream, given whether it is a terminal.
    pub fn uses_color(self, is_terminal: bool) -> bool {
        match self.color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => is_terminal && std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty()),
        }
    }

    /// The text, highlighted where standard output supports it.
    pub fn highlight(self, highlight: Highlight, text: &str) -> String {
        if !self.uses_color(std::io::stdout().is_terminal()) {
            return text.to_owned();
        }
        let style = match highlight {
            Highlight::Success => Style::new().fg_color(Some(AnsiColor::Green.into())),
            Highlight::Error => Style::new().bold().fg_color(Some(AnsiColor::Red.into())),
            Highlight::Warning => Style::new().fg_color(Some(AnsiColor::Yellow.into())),
            Highlight::Heading => Style::new().bold(),
        };
        format!("{style}{text}{style:#}")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_is_highlighted_only_where_color_is_enabled() {
        let output = |color| Output { json: None, color };
        assert_eq!(output(Color::Never).highlight(Highlight::Error, "broken"), "broken");
        let highlighted = output(Color::Always).highlight(Highlight::Error, "broken");
        assert!(
            highlighted.starts_with('\u{1b}') && highlighted.contains("broken") && highlighted.ends_with('m')
        );
        assert!(!output(Color::Auto).uses_color(false));
    }
}
