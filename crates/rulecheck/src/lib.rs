//! Proves the seven rules from a record of what passed over sockets, and of nothing else.
//!
//! It shares no code with the module, the host, or their protocol packages: a fault common to both would go
//! unseen. [`wire`] cuts a stream of bytes into iSCSI headers by itself, [`record`] holds the notes, [`trace`]
//! puts commands and attempts together, [`rules`] judges them.

pub mod record;
pub mod rules;
pub mod trace;
pub mod wire;

pub use record::{Endpoint, RuleParameters, TraceEvent, TraceEventKind};
pub use rules::{check, check_trace, Finding, Report, Rule};
