//! One way to write a file: spaces, line breaks and blank lines; not a token and not a comment changes.

use crate::diagnostic::Diagnostics;
use crate::lexer::{lex, Token};
use crate::parser::{Parser, KEYWORDS};

/// Columns that a line takes at the most, where it can be broken.
const COLUMNS: usize = 100;
const INDENT: &str = "    ";

/// Writes a file anew.
///
/// # Errors
/// Faults of form; types and names are not looked at.
pub fn format(text: &[u8]) -> Result<String, Diagnostics> {
    let text = crate::rules::as_text(text)?;
    let mut diagnostics = Vec::new();
    let tokens = lex(text, &mut diagnostics);
    Parser::new(&tokens, &mut diagnostics).file();
    if !diagnostics.is_empty() {
        diagnostics.sort_by_key(|f| (f.span.start, f.span.end));
        return Err(Diagnostics(diagnostics));
    }
    let mut out = Writer::default();
    let mut before = 0;
    for (i, (token, span)) in tokens.iter().enumerate() {
        out.gap(&text[before..span.start]);
        if *token != Token::End {
            let next = tokens.get(i + 1).map_or(&Token::End, |t| &t.0);
            out.token(token, &text[span.start..span.end], next);
        }
        before = span.end;
    }
    Ok(out.end())
}

/// What stands on one line in any case, and how deep in brackets the line may be broken before it.
#[derive(Default)]
struct Piece {
    depth: usize,
    text: String,
    /// A comment ends its line.
    ends_line: bool,
}

#[derive(Default)]
struct Writer {
    out: String,
    /// The item that is being read; empty between items.
    item: Vec<Piece>,
    /// Brackets that are open, and whether each is of a list.
    open: Vec<bool>,
    /// Nothing may come between the last token and the next.
    glued: bool,
}

impl Writer {
    /// White space and comments between two tokens.
    fn gap(&mut self, gap: &str) {
        let lines: Vec<&str> = gap.split('\n').map(str::trim).collect();
        for (n, comment) in lines.iter().enumerate().filter(|(_, c)| !c.is_empty()) {
            if let Some(piece) = self.item.last_mut() {
                piece.text += &format!("  {comment}");
                piece.ends_line = true;
            } else if n == 0 && self.out.ends_with('\n') {
                // Behind the item, on its line.
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

    fn token(&mut self, token: &Token, written: &str, next: &Token) {
        let sign = |s: &str| matches!(token, Token::Punct(t) if *t == s);
        let word = |w: &str| matches!(token, Token::Ident(n) if n == w);
        let closes = [")", "]"].into_iter().any(sign);
        if closes {
            self.open.pop();
        }
        let joins = ["and", "or", "then", "else"].into_iter().any(word);
        let listed = self.open.last() == Some(&true);
        let depth = self.open.len();
        match self.item.last_mut() {
            Some(last) if !last.ends_line && (closes || [",", ";"].into_iter().any(sign)) => {
                last.text += written
            }
            Some(last) if !(last.ends_line || joins || listed && last.text.ends_with(',')) => {
                last.text += if self.glued { "" } else { " " };
                last.text += written;
            }
            _ => self.item.push(Piece { depth, text: written.to_owned(), ends_line: false }),
        }
        let called = matches!(token, Token::Ident(n) if !KEYWORDS.contains(&n.as_str()) || n == "plan")
            && *next == Token::Punct("(");
        self.glued = called || sign("(") || sign("[");
        if sign("(") || sign("[") {
            self.open.push(sign("["));
        }
        if sign(";") {
            self.item();
        }
    }

    /// Lays the item out, broken as little deep in brackets as it goes.
    fn item(&mut self) {
        let item = std::mem::take(&mut self.item);
        let deepest = item.iter().map(|p| p.depth).max().unwrap_or(0);
        let mut lines = Vec::new();
        for depth in 0..=deepest {
            lines = filled(&item, depth);
            if lines.iter().all(|l| l.chars().count() <= COLUMNS) {
                break;
            }
        }
        self.out += &lines.join("\n");
        self.out.push('\n');
        self.open.clear();
    }

    fn end(mut self) -> String {
        let n = self.out.trim_end().len();
        self.out.truncate(n);
        if !self.out.is_empty() {
            self.out.push('\n');
        }
        self.out
    }
}

/// Pieces in lines as long as they may be, broken no deeper than `depth` but behind comments.
fn filled(item: &[Piece], depth: usize) -> Vec<String> {
    let mut lines: Vec<String> = Vec::new();
    let mut rest = item;
    let mut must_break = true;
    while let Some(first) = rest.first() {
        // What may not be broken goes together.
        let more = rest[1..].iter().take_while(|p| p.depth > depth);
        let mut text = first.text.clone();
        let (mut n, mut ends) = (1, first.ends_line);
        for piece in more.take_while(|_| !first.ends_line) {
            if ends {
                break;
            }
            text += " ";
            text += &piece.text;
            (n, ends) = (n + 1, piece.ends_line);
        }
        rest = &rest[n..];
        match lines.last_mut() {
            Some(line) if !must_break && line.chars().count() + 1 + text.chars().count() <= COLUMNS => {
                line.push(' ');
                *line += &text;
            }
            Some(_) => lines.push(format!("{INDENT}{text}")),
            None => lines.push(text),
        }
        must_break = ends;
    }
    lines
}

/// What the formatter must leave alone.
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
    fn spaces_and_breaks_are_made_alike_and_comments_stay() {
        let text = "# head\n\n\n\nlet  small=64KiB;# a note\nclass \"a\" if(op==\"read\")and not(fua)# why\n or glob( volume ,\"a*\" );\n# last\nclass \"b\" if volume in [\"a\",\"b\" , ] ; class \"c\" otherwise;key=hash(volume,lba/2048);";
        let want = "# head\n\nlet small = 64KiB;  # a note\nclass \"a\" if (op == \"read\") and not (fua)  # why\n    or glob(volume, \"a*\");\n# last\nclass \"b\" if volume in [\"a\", \"b\",];\nclass \"c\" otherwise;\nkey = hash(volume, lba / 2048);\n";
        assert_eq!(format(text.as_bytes()).unwrap(), want);
        let long = format!("class \"a\" if {};", ["volume == \"a-name-of-some-length\""; 8].join(" or "));
        let lines = format(long.as_bytes()).unwrap();
        assert!(lines.lines().count() == 4 && lines.lines().all(|l| l.len() <= COLUMNS), "{lines}");
        assert!(format(b"class \"a\" if").unwrap_err().0[0].message.contains("expected a value"));
    }

    #[test]
    fn the_example_files_are_written_that_way() {
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
        fn no_token_and_no_comment_changes_and_twice_is_once(pieces in proptest::collection::vec(prop_oneof![
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
