//! A recursive-descent parser. After an error it continues after the next `;`, so that all errors of a file
//! are reported.

use crate::ast::{ArithOp, Comparison, Expr, ExprKind, Row, RulesFile};
use crate::diagnostic::{closest_match, Diagnostic, Span};
use crate::lexer::Token;

/// Maximum nesting depth of brackets, `not` and `if`. The parser and everything that walks the tree recurse,
/// so that unbounded nesting would overflow the stack.
pub(crate) const MAX_DEPTH: usize = 64;

pub(crate) struct Parser<'a> {
    tokens: &'a [(Token, Span)],
    pos: usize,
    depth: usize,
    diagnostics: &'a mut Vec<Diagnostic>,
}

type ParseResult<T> = Result<T, Diagnostic>;

const COMPARISONS: [(&str, Comparison); 6] = [
    ("==", Comparison::Equal),
    ("!=", Comparison::Unequal),
    ("<=", Comparison::LessEqual),
    (">=", Comparison::GreaterEqual),
    ("<", Comparison::Less),
    (">", Comparison::Greater),
];
pub(crate) const KEYWORDS: [&str; 13] =
    ["let", "class", "plan", "key", "if", "then", "else", "otherwise", "and", "or", "not", "in", "true"];

impl<'a> Parser<'a> {
    /// Creates a parser; the last of `tokens` must be [`Token::End`].
    pub(crate) fn new(tokens: &'a [(Token, Span)], diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        Parser { tokens, pos: 0, depth: 0, diagnostics }
    }

    fn peek(&self) -> &Token {
        &self.tokens[self.pos.min(self.tokens.len() - 1)].0
    }

    fn span(&self) -> Span {
        self.tokens[self.pos.min(self.tokens.len() - 1)].1
    }

    fn is_punct(&self, punct: &str) -> bool {
        matches!(self.peek(), Token::Punct(s) if *s == punct)
    }

    fn is_keyword(&self, keyword: &str) -> bool {
        matches!(self.peek(), Token::Ident(n) if n == keyword)
    }

    fn eat_punct(&mut self, punct: &str) -> bool {
        let matched = self.is_punct(punct);
        self.pos += usize::from(matched);
        matched
    }

    fn eat_keyword(&mut self, keyword: &str) -> bool {
        let matched = self.is_keyword(keyword);
        self.pos += usize::from(matched);
        matched
    }

    fn unexpected<T>(&self, expected: &str) -> ParseResult<T> {
        Err(self.unexpected_token(expected))
    }

    fn unexpected_token(&self, expected: &str) -> Diagnostic {
        let found = match self.peek() {
            Token::End => "the end of the file".to_owned(),
            Token::Ident(n) => format!("`{n}`"),
            Token::Punct(s) => format!("`{s}`"),
            Token::Text(_) => "a text".to_owned(),
            Token::Int(_) | Token::Size(_) | Token::Duration(_) => "a number".to_owned(),
            Token::Invalid => "an invalid token".to_owned(),
        };
        Diagnostic::new(self.span(), format!("expected {expected}, found {found}"))
    }

    fn expect_punct(&mut self, punct: &str) -> ParseResult<()> {
        if self.eat_punct(punct) {
            Ok(())
        } else {
            self.unexpected(&format!("`{punct}`"))
        }
    }

    fn expect_keyword(&mut self, keyword: &str) -> ParseResult<()> {
        if self.eat_keyword(keyword) {
            Ok(())
        } else {
            self.unexpected(&format!("`{keyword}`"))
        }
    }

    /// Parses a file; errors are added to the diagnostics.
    pub(crate) fn parse_file(mut self) -> RulesFile {
        let mut file = RulesFile::default();
        while *self.peek() != Token::End {
            self.depth = 0;
            let start = self.pos;
            if let Err(diagnostic) = self.parse_item(&mut file) {
                // Keywords that cannot occur in an expression begin the next item even if a `;` is missing.
                let starts_item =
                    |t: &Token| matches!(t, Token::Ident(n) if ["let", "class", "key"].contains(&n.as_str()));
                while !matches!(self.peek(), Token::End) && !self.eat_punct(";") {
                    if self.pos > start && starts_item(self.peek()) {
                        break;
                    }
                    self.pos += 1;
                }
                // An item with an invalid token has already been reported by the lexer.
                let end = self.pos.min(self.tokens.len());
                if !self.tokens[start..end].iter().any(|t| t.0 == Token::Invalid) {
                    self.diagnostics.push(diagnostic);
                }
            }
        }
        file
    }

    fn parse_item(&mut self, file: &mut RulesFile) -> ParseResult<()> {
        let start = self.span();
        if self.eat_keyword("let") {
            let span = self.span();
            let Token::Ident(name) = self.peek().clone() else { return self.unexpected("a name") };
            if KEYWORDS.contains(&name.as_str()) || name == "false" {
                return self.unexpected("a name that is not a keyword");
            }
            self.pos += 1;
            self.expect_punct("=")?;
            let value = self.expression()?;
            self.expect_item_end()?;
            file.lets.push((name, span, value));
        } else if self.is_keyword("class") || self.is_keyword("plan") {
            let plans = self.eat_keyword("plan");
            self.pos += usize::from(!plans);
            let result = match self.peek().clone() {
                Token::Text(result) => result,
                Token::Invalid => String::new(),
                _ => return self.unexpected("a name in quotes"),
            };
            self.pos += 1;
            let condition = if self.eat_keyword("otherwise") {
                None
            } else {
                self.expect_keyword("if")?;
                Some(self.expression()?)
            };
            let row = Row { result, condition, span: start.to(self.tokens[self.pos - 1].1) };
            self.expect_item_end()?;
            if plans { &mut file.plans } else { &mut file.classes }.push(row);
        } else if self.eat_keyword("key") {
            self.expect_punct("=")?;
            let key = self.expression()?;
            self.expect_item_end()?;
            if let Some(first) = &file.key {
                let diagnostic = Diagnostic::new(start, "`key` is defined twice");
                self.diagnostics.push(diagnostic.label(first.span, "first defined here"));
            } else {
                file.key = Some(key);
            }
        } else {
            let closest = match self.peek() {
                Token::Ident(n) => closest_match(n, ["let", "class", "plan", "key"].into_iter()),
                _ => None,
            };
            let diagnostic = self.unexpected_token("`let`, `class`, `plan` or `key`");
            return Err(match closest {
                Some(keyword) => diagnostic.help(format!("did you mean `{keyword}`?")),
                None => diagnostic,
            });
        }
        Ok(())
    }

    /// Consumes the `;` at the end of an item, or returns an error with a help text for common mistakes.
    fn expect_item_end(&mut self) -> ParseResult<()> {
        if self.eat_punct(";") {
            return Ok(());
        }
        let diagnostic = self.unexpected_token("`;`");
        let after_number = self.pos > 0
            && matches!(self.tokens[self.pos - 1].0, Token::Int(_))
            && matches!(self.peek(), Token::Ident(_));
        Err(if self.is_punct("=") {
            diagnostic.help("`==` compares")
        } else if COMPARISONS.iter().any(|comparison| self.is_punct(comparison.0)) {
            diagnostic.help("join two comparisons with `and`")
        } else if after_number {
            diagnostic.help("write the unit directly after the number")
        } else {
            diagnostic
        })
    }

    /// Parses with the nesting depth increased by one, or fails if [`MAX_DEPTH`] is reached.
    fn with_depth<T>(&mut self, parse: impl FnOnce(&mut Self) -> ParseResult<T>) -> ParseResult<T> {
        if self.depth >= MAX_DEPTH {
            return Err(Diagnostic::new(self.span(), format!("nested deeper than {MAX_DEPTH}"))
                .help("name parts of it with `let`"));
        }
        self.depth += 1;
        let out = parse(self);
        self.depth -= 1;
        out
    }

    fn expression(&mut self) -> ParseResult<Expr> {
        self.with_depth(|p| {
            let start = p.span();
            if p.eat_keyword("if") {
                let condition = p.expression()?;
                p.expect_keyword("then")?;
                let then_value = p.expression()?;
                p.expect_keyword("else")?;
                let else_value = p.expression()?;
                let span = start.to(else_value.span);
                return Ok(Expr {
                    kind: ExprKind::If(Box::new(condition), Box::new(then_value), Box::new(else_value)),
                    span,
                });
            }
            p.or_expr()
        })
    }

    fn or_expr(&mut self) -> ParseResult<Expr> {
        let mut terms = vec![self.and_expr()?];
        while self.eat_keyword("or") {
            terms.push(self.and_expr()?);
        }
        Ok(nary(terms, ExprKind::Or))
    }

    fn and_expr(&mut self) -> ParseResult<Expr> {
        let mut terms = vec![self.not_expr()?];
        while self.eat_keyword("and") {
            terms.push(self.not_expr()?);
        }
        Ok(nary(terms, ExprKind::And))
    }

    fn not_expr(&mut self) -> ParseResult<Expr> {
        let start = self.span();
        if self.eat_keyword("not") {
            let operand = self.with_depth(Self::not_expr)?;
            let span = start.to(operand.span);
            return Ok(Expr { kind: ExprKind::Not(Box::new(operand)), span });
        }
        self.comparison_expr()
    }

    fn comparison_expr(&mut self) -> ParseResult<Expr> {
        let left = self.binary_chain(&[("+", ArithOp::Add), ("-", ArithOp::Sub)], |p| {
            p.binary_chain(&[("*", ArithOp::Mul), ("/", ArithOp::Div), ("%", ArithOp::Rem)], Self::primary)
        })?;
        if self.eat_keyword("in") {
            self.expect_punct("[")?;
            let mut items = vec![self.primary()?];
            while self.eat_punct(",") {
                if self.is_punct("]") {
                    break;
                }
                items.push(self.primary()?);
            }
            let span = left.span.to(self.span());
            self.expect_punct("]")?;
            return Ok(Expr { kind: ExprKind::In(Box::new(left), items), span });
        }
        let Some((punct, comparison)) = COMPARISONS.iter().find(|(s, _)| self.is_punct(s)) else {
            return Ok(left);
        };
        self.eat_punct(punct);
        let right = self.binary_chain(&[("+", ArithOp::Add), ("-", ArithOp::Sub)], |p| {
            p.binary_chain(&[("*", ArithOp::Mul), ("/", ArithOp::Div), ("%", ArithOp::Rem)], Self::primary)
        })?;
        let span = left.span.to(right.span);
        Ok(Expr { kind: ExprKind::Compare(*comparison, Box::new(left), Box::new(right)), span })
    }

    /// Parses operands separated by operators of one precedence level.
    fn binary_chain(
        &mut self,
        operators: &[(&str, ArithOp)],
        mut term: impl FnMut(&mut Self) -> ParseResult<Expr>,
    ) -> ParseResult<Expr> {
        let first = term(self)?;
        let mut rest = Vec::new();
        while let Some((punct, op)) = operators.iter().find(|(s, _)| self.is_punct(s)) {
            self.eat_punct(punct);
            rest.push((*op, term(self)?));
        }
        let Some((_, last)) = rest.last() else { return Ok(first) };
        let span = first.span.to(last.span);
        Ok(Expr { kind: ExprKind::Chain(Box::new(first), rest), span })
    }

    fn primary(&mut self) -> ParseResult<Expr> {
        let (token, span) = (self.peek().clone(), self.span());
        let kind = match token {
            Token::Int(n) => ExprKind::Int(n),
            Token::Size(n) => ExprKind::Size(n),
            Token::Duration(n) => ExprKind::Duration(n),
            Token::Text(t) => ExprKind::Text(t),
            Token::Invalid => ExprKind::Invalid,
            Token::Ident(n) if n == "true" || n == "false" => ExprKind::Bool(n == "true"),
            Token::Ident(n) if !KEYWORDS.contains(&n.as_str()) || n == "plan" => {
                self.pos += 1;
                if !self.eat_punct("(") {
                    return Ok(Expr { kind: ExprKind::Name(n), span });
                }
                let mut arguments = Vec::new();
                while !self.is_punct(")") {
                    arguments.push(self.expression()?);
                    if !self.eat_punct(",") {
                        break;
                    }
                }
                let span = span.to(self.span());
                self.expect_punct(")")?;
                return Ok(Expr { kind: ExprKind::Call(n, arguments), span });
            }
            Token::Punct("(") => {
                self.pos += 1;
                let inner = self.expression()?;
                let end = self.span();
                self.expect_punct(")").map_err(|f| f.label(span, "unclosed bracket"))?;
                return Ok(Expr { span: span.to(end), ..inner });
            }
            _ => return self.unexpected("a value"),
        };
        self.pos += 1;
        Ok(Expr { kind, span })
    }
}

/// Wraps two or more terms in a node; a single term is returned as it is.
fn nary(mut terms: Vec<Expr>, kind: fn(Vec<Expr>) -> ExprKind) -> Expr {
    match (terms.len(), terms.first().map(|t| t.span), terms.last().map(|t| t.span)) {
        (2.., Some(first), Some(last)) => Expr { span: first.to(last), kind: kind(terms) },
        _ => terms.remove(0),
    }
}
