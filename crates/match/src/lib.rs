//! Rules that say which class a request is, which plan it counts under, and which key orders it. No I/O.
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
//! A file is compiled once. Types are checked, every fault of the file is told with its place, and the worst number
//! of steps of an evaluation is computed from the program: there are no loops, and jumps go forward only. An
//! evaluation allocates nothing and cannot fail: a division by zero gives 0, and arithmetic stops at the ends of the
//! range of 64 bits.

mod ast;
mod check;
mod cover;
mod decide;
mod diagnostic;
mod domain;
mod format;
mod key;
mod lex;
mod parse;
mod program;
mod region;
mod rules;
mod stab;

pub use diagnostic::{closest_match, Diagnostic, Diagnostics, Severity, Span};
pub use format::format;
pub use key::KeyDependencies;
pub use program::Fields;
pub use rules::{Explanation, RowTrace, Rules, TestTrace};

#[cfg(test)]
mod tests;
