//! Tokens to a tree. After a fault it goes on behind the next `;`, so that all faults of a file are told.

use crate::ast::{Arith, Comparison, Expr, File, Kind, Row};
use crate::diagnostic::{closest_match, Diagnostic, Span};
use crate::lex::Token;

/// Brackets, `not` and `if` within each other at the most. Danger: depth is stack, here and in all that walks a tree.
pub(crate) const MAX_DEPTH: usize = 64;

pub(crate) struct Parser<'a> {
    tokens: &'a [(Token, Span)],
    at: usize,
    depth: usize,
    diagnostics: &'a mut Vec<Diagnostic>,
}

type Parsed<T> = Result<T, Diagnostic>;

const COMPARISONS: [(&str, Comparison); 6] = [
    ("==", Comparison::Equal),
    ("!=", Comparison::Unequal),
    ("<=", Comparison::LessEqual),
    (">=", Comparison::GreaterEqual),
    ("<", Comparison::Less),
    (">", Comparison::Greater),
];
pub(crate) const WORDS: [&str; 13] =
    ["let", "class", "plan", "key", "if", "then", "else", "otherwise", "and", "or", "not", "in", "true"];

impl<'a> Parser<'a> {
    /// `tokens` ends with [`Token::End`].
    pub(crate) fn new(tokens: &'a [(Token, Span)], diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        Parser { tokens, at: 0, depth: 0, diagnostics }
    }

    fn peek(&self) -> &Token {
        &self.tokens[self.at.min(self.tokens.len() - 1)].0
    }

    fn span(&self) -> Span {
        self.tokens[self.at.min(self.tokens.len() - 1)].1
    }

    fn is_sign(&self, sign: &str) -> bool {
        matches!(self.peek(), Token::Sign(s) if *s == sign)
    }

    fn is_word(&self, word: &str) -> bool {
        matches!(self.peek(), Token::Name(n) if n == word)
    }

    fn take_sign(&mut self, sign: &str) -> bool {
        let is = self.is_sign(sign);
        self.at += usize::from(is);
        is
    }

    fn take_word(&mut self, word: &str) -> bool {
        let is = self.is_word(word);
        self.at += usize::from(is);
        is
    }

    fn wanted<T>(&self, message: &str) -> Parsed<T> {
        Err(self.unwanted(message))
    }

    fn unwanted(&self, message: &str) -> Diagnostic {
        let got = match self.peek() {
            Token::End => "the end of the file".to_owned(),
            Token::Name(n) => format!("`{n}`"),
            Token::Sign(s) => format!("`{s}`"),
            Token::Text(_) => "a text".to_owned(),
            Token::Int(_) | Token::Size(_) | Token::Duration(_) => "a number".to_owned(),
            Token::Bad => "this".to_owned(),
        };
        Diagnostic::new(self.span(), format!("expected {message}, found {got}"))
    }

    fn sign(&mut self, sign: &str) -> Parsed<()> {
        if self.take_sign(sign) {
            Ok(())
        } else {
            self.wanted(&format!("`{sign}`"))
        }
    }

    fn word(&mut self, word: &str) -> Parsed<()> {
        if self.take_word(word) {
            Ok(())
        } else {
            self.wanted(&format!("`{word}`"))
        }
    }

    pub(crate) fn file(mut self) -> File {
        let mut file = File::default();
        while *self.peek() != Token::End {
            self.depth = 0;
            let start = self.at;
            if let Err(diagnostic) = self.item(&mut file) {
                // Words that no expression holds begin the next item even where a `;` is missing.
                let begins =
                    |t: &Token| matches!(t, Token::Name(n) if ["let", "class", "key"].contains(&n.as_str()));
                while !matches!(self.peek(), Token::End) && !self.take_sign(";") {
                    if self.at > start && begins(self.peek()) {
                        break;
                    }
                    self.at += 1;
                }
                // What follows from a piece that was told already is not told again.
                let end = self.at.min(self.tokens.len());
                if !self.tokens[start..end].iter().any(|t| t.0 == Token::Bad) {
                    self.diagnostics.push(diagnostic);
                }
            }
        }
        file
    }

    fn item(&mut self, file: &mut File) -> Parsed<()> {
        let start = self.span();
        if self.take_word("let") {
            let span = self.span();
            let Token::Name(name) = self.peek().clone() else { return self.wanted("a name") };
            if WORDS.contains(&name.as_str()) || name == "false" {
                return self.wanted("a name that is no word of the language");
            }
            self.at += 1;
            self.sign("=")?;
            let value = self.expr()?;
            self.close()?;
            file.lets.push((name, span, value));
        } else if self.is_word("class") || self.is_word("plan") {
            let plans = self.take_word("plan");
            self.at += usize::from(!plans);
            let result = match self.peek().clone() {
                Token::Text(result) => result,
                Token::Bad => String::new(),
                _ => return self.wanted("a name in quotes"),
            };
            self.at += 1;
            let when = if self.take_word("otherwise") {
                None
            } else {
                self.word("if")?;
                Some(self.expr()?)
            };
            let row = Row { result, when, span: start.to(self.tokens[self.at - 1].1) };
            self.close()?;
            if plans { &mut file.plans } else { &mut file.classes }.push(row);
        } else if self.take_word("key") {
            self.sign("=")?;
            let key = self.expr()?;
            self.close()?;
            if let Some(first) = &file.key {
                let diagnostic = Diagnostic::new(start, "a second `key`; a request has one");
                self.diagnostics.push(diagnostic.label(first.span, "the first"));
            } else {
                file.key = Some(key);
            }
        } else {
            let near = match self.peek() {
                Token::Name(n) => closest_match(n, ["let", "class", "plan", "key"].into_iter()),
                _ => None,
            };
            let diagnostic = self.unwanted("`let`, `class`, `plan` or `key`");
            return Err(match near {
                Some(word) => diagnostic.help(format!("did you mean `{word}`?")),
                None => diagnostic,
            });
        }
        Ok(())
    }

    /// The end of an item, with what is probably meant where it isn't there.
    fn close(&mut self) -> Parsed<()> {
        if self.take_sign(";") {
            return Ok(());
        }
        let diagnostic = self.unwanted("`;`");
        let behind_number = self.at > 0
            && matches!(self.tokens[self.at - 1].0, Token::Int(_))
            && matches!(self.peek(), Token::Name(_));
        Err(if self.is_sign("=") {
            diagnostic.help("`==` compares")
        } else if COMPARISONS.iter().any(|c| self.is_sign(c.0)) {
            diagnostic.help("two comparisons are joined by `and`")
        } else if behind_number {
            diagnostic.help("a unit stands right behind its number")
        } else {
            diagnostic
        })
    }

    fn deeper<T>(&mut self, inner: impl FnOnce(&mut Self) -> Parsed<T>) -> Parsed<T> {
        if self.depth >= MAX_DEPTH {
            return Err(Diagnostic::new(self.span(), format!("nested deeper than {MAX_DEPTH}"))
                .help("give parts of it names with `let`"));
        }
        self.depth += 1;
        let out = inner(self);
        self.depth -= 1;
        out
    }

    fn expr(&mut self) -> Parsed<Expr> {
        self.deeper(|p| {
            let start = p.span();
            if p.take_word("if") {
                let test = p.expr()?;
                p.word("then")?;
                let yes = p.expr()?;
                p.word("else")?;
                let no = p.expr()?;
                let span = start.to(no.span);
                return Ok(Expr { kind: Kind::If(Box::new(test), Box::new(yes), Box::new(no)), span });
            }
            p.any()
        })
    }

    fn any(&mut self) -> Parsed<Expr> {
        let mut terms = vec![self.all()?];
        while self.take_word("or") {
            terms.push(self.all()?);
        }
        Ok(several(terms, Kind::Or))
    }

    fn all(&mut self) -> Parsed<Expr> {
        let mut terms = vec![self.negated()?];
        while self.take_word("and") {
            terms.push(self.negated()?);
        }
        Ok(several(terms, Kind::And))
    }

    fn negated(&mut self) -> Parsed<Expr> {
        let start = self.span();
        if self.take_word("not") {
            let inner = self.deeper(Self::negated)?;
            let span = start.to(inner.span);
            return Ok(Expr { kind: Kind::Not(Box::new(inner)), span });
        }
        self.compared()
    }

    fn compared(&mut self) -> Parsed<Expr> {
        let left = self.chain(&[("+", Arith::Add), ("-", Arith::Sub)], |p| {
            p.chain(&[("*", Arith::Mul), ("/", Arith::Div), ("%", Arith::Rem)], Self::atom)
        })?;
        if self.take_word("in") {
            self.sign("[")?;
            let mut items = vec![self.atom()?];
            while self.take_sign(",") {
                if self.is_sign("]") {
                    break;
                }
                items.push(self.atom()?);
            }
            let span = left.span.to(self.span());
            self.sign("]")?;
            return Ok(Expr { kind: Kind::In(Box::new(left), items), span });
        }
        let Some((sign, c)) = COMPARISONS.iter().find(|(s, _)| self.is_sign(s)) else { return Ok(left) };
        self.take_sign(sign);
        let right = self.chain(&[("+", Arith::Add), ("-", Arith::Sub)], |p| {
            p.chain(&[("*", Arith::Mul), ("/", Arith::Div), ("%", Arith::Rem)], Self::atom)
        })?;
        let span = left.span.to(right.span);
        Ok(Expr { kind: Kind::Compare(*c, Box::new(left), Box::new(right)), span })
    }

    fn chain(
        &mut self,
        signs: &[(&str, Arith)],
        mut term: impl FnMut(&mut Self) -> Parsed<Expr>,
    ) -> Parsed<Expr> {
        let first = term(self)?;
        let mut rest = Vec::new();
        while let Some((sign, op)) = signs.iter().find(|(s, _)| self.is_sign(s)) {
            self.take_sign(sign);
            rest.push((*op, term(self)?));
        }
        let Some((_, last)) = rest.last() else { return Ok(first) };
        let span = first.span.to(last.span);
        Ok(Expr { kind: Kind::Chain(Box::new(first), rest), span })
    }

    fn atom(&mut self) -> Parsed<Expr> {
        let (token, span) = (self.peek().clone(), self.span());
        let kind = match token {
            Token::Int(n) => Kind::Int(n),
            Token::Size(n) => Kind::Size(n),
            Token::Duration(n) => Kind::Duration(n),
            Token::Text(t) => Kind::Text(t),
            Token::Bad => Kind::Bad,
            Token::Name(n) if n == "true" || n == "false" => Kind::Bool(n == "true"),
            Token::Name(n) if !WORDS.contains(&n.as_str()) || n == "plan" => {
                self.at += 1;
                if !self.take_sign("(") {
                    return Ok(Expr { kind: Kind::Name(n), span });
                }
                let mut arguments = Vec::new();
                while !self.is_sign(")") {
                    arguments.push(self.expr()?);
                    if !self.take_sign(",") {
                        break;
                    }
                }
                let span = span.to(self.span());
                self.sign(")")?;
                return Ok(Expr { kind: Kind::Call(n, arguments), span });
            }
            Token::Sign("(") => {
                self.at += 1;
                let inner = self.expr()?;
                let end = self.span();
                self.sign(")").map_err(|f| f.label(span, "this bracket is open"))?;
                return Ok(Expr { span: span.to(end), ..inner });
            }
            _ => return self.wanted("a value"),
        };
        self.at += 1;
        Ok(Expr { kind, span })
    }
}

fn several(mut terms: Vec<Expr>, kind: fn(Vec<Expr>) -> Kind) -> Expr {
    match (terms.len(), terms.first().map(|t| t.span), terms.last().map(|t| t.span)) {
        (2.., Some(first), Some(last)) => Expr { span: first.to(last), kind: kind(terms) },
        _ => terms.remove(0),
    }
}
