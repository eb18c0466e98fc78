//! Checks a recorded run against the seven rules, from the traffic on its sockets alone.
//!
//! The checker shares no code with the scheduler, the host or their protocol crates, because it could not
//! detect a bug that it has in common with them. [`wire`] extracts iSCSI headers from byte streams,
//! [`record`] defines the recorded events, [`trace`] reconstructs commands and attempts from them, and
//! [`rules`] checks the result.

pub mod record;
pub mod rules;
pub mod trace;
pub mod wire;

pub use record::{Endpoint, RuleParameters, TraceEvent, TraceEventKind};
pub use rules::{check, check_trace, Finding, Report, Rule};
