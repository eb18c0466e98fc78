//! RESP2, the protocol of Redis, as bytes in and values out: no I/O, no clock, bounded memory.
//!
//! Source: the public RESP specification, version 2. A server reads [`CommandDecoder`] and writes with [`write`]; a client
//! writes with [`write::command`] and reads [`ReplyDecoder`]. What the form allows and a peer can't mean (a length below
//! -1, a line that does not end, more than was agreed) is an error that names itself; after one, the stream has lost its frame and is
//! of no further use.

mod command;
mod line;
mod reply;
pub mod write;

pub use command::{Command, CommandDecoder, CommandError, CommandLimits};
pub use reply::{Reply, ReplyDecoder, ReplyError, ReplyLimits};
