//! Reports on recorded scenario runs. [`report`] counts, [`plot`] draws, [`page`] renders; none does I/O.

pub mod page;
pub mod plot;
pub mod report;
