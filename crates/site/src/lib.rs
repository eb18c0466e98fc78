//! The platform's settings object: what the bench sends in its first message and a real host finds in its
//! configuration, with the same names and units. Read in one place, so that bench and host can't differ.

mod params;

pub use params::{parse, parse_value, LoadReportFields};
