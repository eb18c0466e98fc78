//! Text to tokens.

use crate::diagnostic::{Diagnostic, Span};

/// A token.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Token {
    Name(String),
    Text(String),
    Int(i64),
    /// Bytes.
    Size(i64),
    /// Microseconds.
    Duration(i64),
    /// Punctuation and operators.
    Sign(&'static str),
    /// What was told already; it stands for a value, so that nothing else is told of it.
    Bad,
    End,
}

/// Longest text constant, bytes.
const MAX_TEXT: usize = 255;
const SIGNS: [&str; 18] =
    ["==", "!=", "<=", ">=", "<", ">", "+", "-", "*", "/", "%", "(", ")", "[", "]", ",", ";", "="];
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

/// Cuts a whole text; ends with [`Token::End`]. What can't be a token is a fault and is passed over.
pub(crate) fn lex(text: &str, diagnostics: &mut Vec<Diagnostic>) -> Vec<(Token, Span)> {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let rest = &text[at..];
        let first = rest.chars().next().unwrap_or(' ');
        let run = |keep: fn(char) -> bool| rest.find(|c| !keep(c)).unwrap_or(rest.len());
        let token = |n: usize| Span { start: at, end: at + n };
        if first.is_ascii_whitespace() {
            at += 1;
        } else if first == '#' {
            at += rest.find('\n').unwrap_or(rest.len());
        } else if first.is_ascii_alphabetic() || first == '_' {
            let n = run(|c| c.is_ascii_alphanumeric() || c == '_');
            out.push((Token::Name(rest[..n].to_owned()), token(n)));
            at += n;
        } else if first.is_ascii_digit() {
            let n = run(|c| c.is_ascii_alphanumeric() || c == '_');
            match number(&rest[..n]) {
                Ok(t) => out.push((t, token(n))),
                Err(f) => {
                    diagnostics.push(Diagnostic { span: token(n), ..f });
                    out.push((Token::Bad, token(n)));
                }
            }
            at += n;
        } else if first == '"' {
            at += text_constant(rest, at, &mut out, diagnostics);
        } else if let Some(sign) = SIGNS.iter().find(|s| rest.starts_with(**s)) {
            out.push((Token::Sign(sign), token(sign.len())));
            at += sign.len();
        } else {
            let n = if first.is_alphabetic() { run(char::is_alphanumeric) } else { first.len_utf8() };
            let message =
                format!("`{}` (U+{:04X}) is no part of the language", first.escape_debug(), first as u32);
            let diagnostic = Diagnostic::new(token(n), message);
            if first.is_alphabetic() {
                // Danger: a letter of another script that looks like ours would make two names that look the same.
                diagnostics
                    .push(diagnostic.help("names are made of the ASCII letters a to z, digits and `_`"));
                out.push((Token::Bad, token(n)));
            } else {
                diagnostics.push(diagnostic);
            }
            at += n;
        }
    }
    out.push((Token::End, Span { start: text.len(), end: text.len() }));
    out
}

fn number(word: &str) -> Result<Token, Diagnostic> {
    let digits = word.find(|c: char| !c.is_ascii_digit() && c != '_').unwrap_or(word.len());
    let (value, unit) = (word[..digits].replace('_', ""), &word[digits..]);
    let span = Span::default();
    let Ok(value) = value.parse::<i64>() else {
        return Err(Diagnostic::new(span, "a number beyond 64 bits"));
    };
    if unit.is_empty() {
        return Ok(Token::Int(value));
    }
    let Some((_, factor, size)) = UNITS.iter().find(|u| u.0 == unit) else {
        let units = UNITS.map(|u| u.0).join(", ");
        return Err(Diagnostic::new(span, format!("`{unit}` is no unit")).help(format!("units are {units}")));
    };
    match value.checked_mul(*factor) {
        Some(v) if *size => Ok(Token::Size(v)),
        Some(v) => Ok(Token::Duration(v)),
        None => Err(Diagnostic::new(span, "a number beyond 64 bits")),
    }
}

/// Reads a text constant; the bytes that it took.
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
                diagnostics.push(Diagnostic::new(span, "only `\\\"` and `\\\\` are escapes"));
            }
            '\\' => {
                escaped = true;
                continue;
            }
            '"' => {
                if value.len() > MAX_TEXT {
                    let message = format!("text of {} bytes; {MAX_TEXT} are the most", value.len());
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
    diagnostics.push(Diagnostic::new(span, "text that does not end on its line"));
    out.push((Token::Bad, span));
    n
}
