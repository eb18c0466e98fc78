//! The formatter: normalizes spaces, line breaks and blank lines. Tokens and comments are never changed.

use crate::diagnostic::Diagnostics;
use crate::lexer::{lex, Token};
use crate::parser::{Parser, KEYWORDS};

/// Maximum width of a line that can be broken.
const MAX_COLUMNS: usize = 100;
const INDENT: &str = "    ";

/// Formats a file.
///
/// # Errors
/// Syntax errors. Types and names are not checked.
pub fn format(text: &[u8]) -> Result<String, Diagnostics> {
    let text = crate::rules::as_text(text)?;
    let mut diagnostics = Vec::new();
    let tokens = lex(text, &mut diagnostics);
    Parser::new(&tokens, &mut diagnostics).parse_file();
    if !diagnostics.is_empty() {
        diagnostics.sort_by_key(|d| (d.span.start, d.span.end));
        return Err(Diagnostics(diagnostics));
    }
    let mut out = Writer::default();
    let mut last_end = 0;
    for (i, (token, span)) in tokens.iter().enumerate() {
        out.gap(&text[last_end..span.start]);
        if *token != Token::End {
            let next = tokens.get(i + 1).map_or(&Token::End, |t| &t.0);
            out.token(token, &text[span.start..span.end], next);
        }
        last_end = span.end;
    }
    Ok(out.finish())
}

/// An unbreakable piece of text, and the bracket depth of the possible line break before it.
#[derive(Default)]
struct Piece {
    depth: usize,
    text: String,
    /// Whether a comment forces a line break after the piece.
    ends_line: bool,
}

#[derive(Default)]
struct Writer {
    out: String,
    /// The pieces of the current item; empty between items.
    item: Vec<Piece>,
    /// The open brackets; `true` for those of a list.
    open_brackets: Vec<bool>,
    /// Whether no space may be written before the next token.
    no_space: bool,
}

impl Writer {
    /// Handles the white space and comments between two tokens.
    fn gap(&mut self, gap: &str) {
        let lines: Vec<&str> = gap.split('\n').map(str::trim).collect();
        for (n, comment) in lines.iter().enumerate().filter(|(_, c)| !c.is_empty()) {
            if let Some(piece) = self.item.last_mut() {
                piece.text += &format!("  {comment}");
                piece.ends_line = true;
            } else if n == 0 && self.out.ends_with('\n') {
                // A trailing comment on the line of the previous item.
                self.out.pop();
                self.out += &format!("  {comment}\n");
            } else {
                self.out += &format!("{comment}\n");
            }
        }
        let blank = lines.len() > 2 && lines[lines.len() - 2].is_empty();
        if self.item.is_empty() && blank && !self.out.is_empty() {
            self.out.push('\n');
        }
    }

    fn token(&mut self, token: &Token, source: &str, next: &Token) {
        let is_punct = |s: &str| matches!(token, Token::Punct(t) if *t == s);
        let is_word = |w: &str| matches!(token, Token::Ident(n) if n == w);
        let is_closing = [")", "]"].into_iter().any(is_punct);
        if is_closing {
            self.open_brackets.pop();
        }
        let breaks_before = ["and", "or", "then", "else"].into_iter().any(is_word);
        let in_list = self.open_brackets.last() == Some(&true);
        let depth = self.open_brackets.len();
        match self.item.last_mut() {
            Some(last) if !last.ends_line && (is_closing || [",", ";"].into_iter().any(is_punct)) => {
                last.text += source
            }
            Some(last) if !(last.ends_line || breaks_before || in_list && last.text.ends_with(',')) => {
                last.text += if self.no_space { "" } else { " " };
                last.text += source;
            }
            _ => self.item.push(Piece { depth, text: source.to_owned(), ends_line: false }),
        }
        let is_call = matches!(token, Token::Ident(n) if !KEYWORDS.contains(&n.as_str()) || n == "plan")
            && *next == Token::Punct("(");
        self.no_space = is_call || is_punct("(") || is_punct("[");
        if is_punct("(") || is_punct("[") {
            self.open_brackets.push(is_punct("["));
        }
        if is_punct(";") {
            self.finish_item();
        }
    }

    /// Writes the current item, with line breaks at the lowest bracket depth at which all lines fit.
    fn finish_item(&mut self) {
        let item = std::mem::take(&mut self.item);
        let deepest = item.iter().map(|p| p.depth).max().unwrap_or(0);
        let mut lines = Vec::new();
        for depth in 0..=deepest {
            lines = fill_lines(&item, depth);
            if lines.iter().all(|l| l.chars().count() <= MAX_COLUMNS) {
                break;
            }
        }
        self.out += &lines.join("\n");
        self.out.push('\n');
        self.open_brackets.clear();
    }

    fn finish(mut self) -> String {
        let n = self.out.trim_end().len();
        self.out.truncate(n);
        if !self.out.is_empty() {
            self.out.push('\n');
        }
        self.out
    }
}

/// Fills lines with pieces. Lines are broken at brackets no deeper than `depth`, and after comments.
fn fill_lines(item: &[Piece], depth: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    let mut rest = item;
    let mut must_break = true;
    while let Some(first) = rest.first() {
        // Pieces below the break depth stay on the line of the first one.
        let more = rest[1..].iter().take_while(|p| p.depth > depth);
        let mut text = first.text.clone();
        let (mut n, mut breaks_after) = (1, first.ends_line);
        for piece in more.take_while(|_| !first.ends_line) {
            if breaks_after {
                break;
            }
            text += " ";
            text += &piece.text;
            (n, breaks_after) = (n + 1, piece.ends_line);
        }
        rest = &rest[n..];
        match lines.last_mut() {
            Some(line) if !must_break && line.chars().count() + 1 + text.chars().count() <= MAX_COLUMNS => {
                line.push(' ');
                *line += &text;
            }
            Some(_) => lines.push(format!("{INDENT}{text}")),
            None => lines.push(text),
        }
        must_break = breaks_after;
    }
    lines
}

/// The tokens of a text without their spans.
#[cfg(test)]
fn tokens_of(text: &str) -> Vec<Token> {
    lex(text, &mut Vec::new()).into_iter().map(|t| t.0).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    #[test]
    fn white_space_is_normalized_and_comments_are_kept() {
        let text = "# head\n\n\n\nlet  small=64KiB;# a note\nclass \"a\" if(op==\"read\")and not(fua)# why\n or glob( volume ,\"a*\" );\n# last\nclass \"b\" if volume in [\"a\",\"b\" , ] ; class \"c\" otherwise;key=hash(volume,lba/2048);";
        let expected = "# head\n\nlet small = 64KiB;  # a note\nclass \"a\" if (op == \"read\") and not (fua)  # why\n    or glob(volume, \"a*\");\n# last\nclass \"b\" if volume in [\"a\", \"b\",];\nclass \"c\" otherwise;\nkey = hash(volume, lba / 2048);\n";
        assert_eq!(format(text.as_bytes()).unwrap(), expected);
        let long = format!("class \"a\" if {};", ["volume == \"a-name-of-some-length\""; 8].join(" or "));
        let lines = format(long.as_bytes()).unwrap();
        assert!(lines.lines().count() == 4 && lines.lines().all(|l| l.len() <= MAX_COLUMNS), "{lines}");
        assert!(format(b"class \"a\" if").unwrap_err().0[0].message.contains("expected a value"));
    }

    #[test]
    fn example_files_are_already_formatted() {
        for text in [
            include_str!("../../../examples/rules/home-care.rules"),
            include_str!("../../../examples/rules/vehicle-sharing.rules"),
            include_str!("../../../examples/rules/build-farm.rules"),
        ] {
            assert_eq!(format(text.as_bytes()).unwrap(), text);
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

        #[test]
        fn formatting_is_idempotent_and_keeps_tokens_and_comments(pieces in proptest::collection::vec(prop_oneof![
            Just("let a = 1;"), Just("class \"a\" if"), Just("lba == 1 and fua or not fua"), Just(";"), Just(" and "),
            Just("# one\n"), Just("\n\n\n"), Just("\n"), Just("hash(volume, lba / 8) == 5"), Just("if fua then 1 else 2"),
            Just("key ="), Just("plan \"p\" otherwise;"), Just("volume in [\"a\", \"b\"]"), Just("#two # \n"),
            Just("initiator == \"iqn.2026-12.org.example:a-rather-long-name\""),
        ], 0..14)) {
            let text = pieces.concat();
            let Ok(once) = format(text.as_bytes()) else { return Ok(()) };
            prop_assert_eq!(tokens_of(&once), tokens_of(&text));
            prop_assert_eq!(format(once.as_bytes()).unwrap(), once.clone());
            prop_assert_eq!(once.matches('#').count(), text.matches('#').count(), "{}", once);
        }
    }
}
