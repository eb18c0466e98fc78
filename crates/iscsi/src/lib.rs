//! iSCSI as RFC 7143 has it, without sockets: bytes in, bytes and events out.
//!
//! [`Target`] and [`Initiator`] are the two ends of a session of one connection (MaxConnections=1,
//! ErrorRecoveryLevel=0). Both are fed with [`Decoder::buffer`] and emptied with `take_output`; neither reads a
//! clock nor blocks. Memory is bounded: PDUs by the declared lengths, tasks by the command window, text by 64 KiB.
//!
//! One extension of the project's own, [`node_extension`], rides in additional header segments and only where both sides
//! agreed on it with an `X-` key at login (RFC 7143, section 6.4); without it a session is plain iSCSI.

mod bhs;
mod framer;
mod initiator;
mod login;
pub mod node_extension;
mod payload;
mod target;
mod text;

pub use bhs::{opcode, Pdu, BHS_LEN, RESERVED_TAG};
pub use framer::{Decoder, Encoder, FrameError};
pub use initiator::{Command, CommandCompletion, Initiator, InitiatorConfig, InitiatorError, InitiatorEvent};
pub use login::{AccessControl, LoginStatus, Params};
pub use payload::Payload;
pub use target::{Limits, Response, ScsiCommand, Target, TargetEvent, TaskTag, TmfFunction};
pub use text::TextError;
