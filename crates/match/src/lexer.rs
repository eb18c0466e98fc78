//! The lexer.

use crate::diagnostic::{Diagnostic, Span};

/// A token.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Token {
    Ident(String),
    Text(String),
    Int(i64),
    /// A size in bytes.
    Size(i64),
    /// A duration in microseconds.
    Duration(i64),
    /// Punctuation and operators.
    Punct(&'static str),
    /// An invalid token that has already been reported. The parser accepts it as a value, so that it causes
    /// no further diagnostics.
    Invalid,
    End,
}

/// Maximum length of a text constant, in bytes.
const MAX_TEXT: usize = 255;
const PUNCTUATION: [&str; 18] =
    ["==", "!=", "<=", ">=", "<", ">", "+", "-", "*", "/", "%", "(", ")", "[", "]", ",", ";", "="];
/// Unit suffix, factor, and whether the unit is one of size (bytes) or of time (microseconds).
const UNITS: [(&str, i64, bool); 10] = [
    ("B", 1, true),
    ("KiB", 1 << 10, true),
    ("MiB", 1 << 20, true),
    ("GiB", 1 << 30, true),
    ("TiB", 1 << 40, true),
    ("us", 1, false),
    ("ms", 1_000, false),
    ("s", 1_000_000, false),
    ("min", 60_000_000, false),
    ("h", 3_600_000_000, false),
];

/// Splits a text into tokens, the last of which is [`Token::End`]. Invalid characters are reported and
/// skipped.
pub(crate) fn lex(text: &str, diagnostics: &mut Vec<Diagnostic>) -> Vec<(Token, Span)> {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &text[at..];
        let first = rest.chars().next().unwrap_or(' ');
        let length_while = |accept: fn(char) -> bool| rest.find(|c| !accept(c)).unwrap_or(rest.len());
        let token_span = |n: usize| Span { start: at, end: at + n };
        if first.is_ascii_whitespace() {
            at += 1;
        } else if first == '#' {
            at += rest.find('\n').unwrap_or(rest.len());
        } else if first.is_ascii_alphabetic() || first == '_' {
            let n = length_while(|c| c.is_ascii_alphanumeric() || c == '_');
            out.push((Token::Ident(rest[..n].to_owned()), token_span(n)));
            at += n;
        } else if first.is_ascii_digit() {
            let n = length_while(|c| c.is_ascii_alphanumeric() || c == '_');
            match number(&rest[..n]) {
                Ok(t) => out.push((t, token_span(n))),
                Err(error) => {
                    diagnostics.push(Diagnostic { span: token_span(n), ..error });
                    out.push((Token::Invalid, token_span(n)));
                }
            }
            at += n;
        } else if first == '"' {
            at += text_constant(rest, at, &mut out, diagnostics);
        } else if let Some(punct) = PUNCTUATION.iter().find(|s| rest.starts_with(**s)) {
            out.push((Token::Punct(punct), token_span(punct.len())));
            at += punct.len();
        } else {
            let n =
                if first.is_alphabetic() { length_while(char::is_alphanumeric) } else { first.len_utf8() };
            let message = format!("unexpected character `{}` (U+{:04X})", first.escape_debug(), first as u32);
            let diagnostic = Diagnostic::new(token_span(n), message);
            if first.is_alphabetic() {
                // A letter of another script may look like an ASCII letter, so that two different names would
                // look the same.
                diagnostics.push(diagnostic.help("names consist of ASCII letters, digits and `_`"));
                out.push((Token::Invalid, token_span(n)));
            } else {
                diagnostics.push(diagnostic);
            }
            at += n;
        }
    }
    out.push((Token::End, Span { start: text.len(), end: text.len() }));
    out
}

/// Parses a number with an optional unit. The caller sets the spans of errors.
fn number(literal: &str) -> Result<Token, Diagnostic> {
    let digits = literal.find(|c: char| !c.is_ascii_digit() && c != '_').unwrap_or(literal.len());
    let (value, unit) = (literal[..digits].replace('_', ""), &literal[digits..]);
    let span = Span::default();
    let Ok(value) = value.parse::<i64>() else {
        return Err(Diagnostic::new(span, "number does not fit into 64 bits"));
    };
    if unit.is_empty() {
        return Ok(Token::Int(value));
    }
    let Some((_, factor, is_size)) = UNITS.iter().find(|u| u.0 == unit) else {
        let units = UNITS.map(|u| u.0).join(", ");
        return Err(
            Diagnostic::new(span, format!("unknown unit `{unit}`")).help(format!("units are {units}"))
        );
    };
    match value.checked_mul(*factor) {
        Some(v) if *is_size => Ok(Token::Size(v)),
        Some(v) => Ok(Token::Duration(v)),
        None => Err(Diagnostic::new(span, "number does not fit into 64 bits")),
    }
}

/// Reads a quoted text constant and returns the number of bytes read.
fn text_constant(
    rest: &str,
    at: usize,
    out: &mut Vec<(Token, Span)>,
    diagnostics: &mut Vec<Diagnostic>,
) -> usize {
    let (mut value, mut escaped) = (String::new(), false);
    for (i, c) in rest.char_indices().skip(1) {
        let span = Span { start: at, end: at + i + c.len_utf8() };
        match c {
            '\n' => break,
            '"' | '\\' if escaped => value.push(c),
            _ if escaped => {
                diagnostics
                    .push(Diagnostic::new(span, "unknown escape; only `\\\"` and `\\\\` are supported"));
            }
            '\\' => {
                escaped = true;
                continue;
            }
            '"' => {
                if value.len() > MAX_TEXT {
                    let message =
                        format!("text constant of {} bytes; the maximum is {MAX_TEXT}", value.len());
                    diagnostics.push(Diagnostic::new(span, message));
                }
                out.push((Token::Text(value), span));
                return i + 1;
            }
            c => value.push(c),
        }
        escaped = false;
    }
    let n = rest.find('\n').unwrap_or(rest.len());
    let span = Span { start: at, end: at + n };
    diagnostics.push(Diagnostic::new(span, "unterminated text constant"));
    out.push((Token::Invalid, span));
    n
}
