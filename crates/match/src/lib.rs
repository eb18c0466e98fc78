//! Matching rules: a small typed expression language that assigns each request a class, a plan and an
//! ordering key. No I/O.
//!
//! ```
//! use pearfork_match::{Fields, Rules};
//! let text = r#"
//!     let small = 64KiB;
//!     class "visit-note" if op == "write" and bytes <= small;
//!     class "region-export" if op == "read" and bytes > 256KiB and glob(initiator, "*:office-*");
//!     class "roster-read" otherwise;
//!     key = hash(volume, lba / 2048);
//! "#;
//! let rules = Rules::compile(text.as_bytes()).unwrap();
//! let request = Fields { op: "write", bytes: 4096, ..Fields::default() };
//! assert_eq!(rules.class(&request), Some("visit-note"));
//! assert!(rules.worst_steps() < 200);
//! ```
//!
//! A file is compiled once. The compiler checks types, reports all errors of the file with their spans, and
//! computes the worst-case number of steps of an evaluation, which is bounded because there are no loops and
//! all jumps go forward. Evaluation allocates nothing and cannot fail: division by zero gives 0, and
//! arithmetic saturates at 64 bits.

mod ast;
mod compile;
mod coverage;
mod decision_tree;
mod diagnostic;
mod domain;
mod format;
mod key;
mod lexer;
mod parser;
mod program;
mod region;
mod rules;
mod search_trees;

pub use diagnostic::{closest_match, Diagnostic, Diagnostics, Severity, Span};
pub use format::format;
pub use key::KeyDependencies;
pub use program::Fields;
pub use rules::{Explanation, RowTrace, Rules, TestTrace};

#[cfg(test)]
mod tests;
