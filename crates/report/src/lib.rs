//! A report of a recorded day. [`account`] counts, [`plot`] draws, [`page`] lays out; none does I/O.

pub mod account;
pub mod page;
pub mod plot;
