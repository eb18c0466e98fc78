//! RESP2, the protocol of Redis, without I/O or a clock and with bounded memory: bytes in, values out.
//!
//! Implements version 2 of the public RESP specification. A server decodes commands with [`CommandDecoder`]
//! and encodes replies with the functions in [`mod@write`]; a client encodes commands with
//! [`write::command`] and decodes replies with [`ReplyDecoder`]. Input that no valid peer sends (a length
//! below -1, an unterminated line, more data than the limits allow) yields an error that names the violation.
//! After such an error the frame boundary is lost and the stream must be closed.

mod command;
mod line;
mod reply;
pub mod write;

pub use command::{Command, CommandDecoder, CommandError, CommandLimits};
pub use reply::{Reply, ReplyDecoder, ReplyError, ReplyLimits};
