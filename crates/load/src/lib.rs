//! Load generator for iSCSI targets that measures latency and verifies the data it reads. At a fixed rate,
//! latency is measured without coordinated omission.
//!
//! [`workload`] generates requests, [`oracle`] tracks the valid contents of each block, [`stamp`] encodes and
//! decodes block contents: none of them does I/O or reads a clock. [`url`] parses the address of a unit;
//! [`session`] runs one connection; [`run`] runs all sessions; [`stats`] holds the results.

pub mod oracle;
pub mod run;
pub mod session;
pub mod stamp;
pub mod stats;
pub mod url;
pub mod workload;
