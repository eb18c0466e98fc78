//! Parses the platform's settings object, which the bench sends in its first message and a host finds in its
//! configuration, with the same names and units. Both use this crate, so that they can't differ.

mod params;

pub use params::{parse, parse_value, LoadReportFields};
