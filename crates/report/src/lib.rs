//! A report of a recorded day. [`report`] counts, [`plot`] draws, [`page`] lays out; none does I/O.

pub mod page;
pub mod plot;
pub mod report;
