//! iSCSI (RFC 7143) without I/O: received bytes go in, bytes to send and events come out.
//!
//! [`Target`] and [`Initiator`] are the two ends of a session with a single connection (MaxConnections=1,
//! ErrorRecoveryLevel=0). Received bytes are appended to [`Decoder::buffer`], and bytes to send are taken
//! with `take_output`; neither end reads a clock or blocks. Memory is bounded: PDUs by the declared lengths,
//! tasks by the command window, and the text of a login or of a Text request to a target by 64 KiB.
//!
//! The [`node_extension`] is private to this project. It is carried in additional header segments, and is
//! used only if both ends negotiated it with an `X-` key at login (RFC 7143, section 6.4); without it a
//! session is plain iSCSI.

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
pub use payload::{Payload, Reservation};
pub use target::{
    CommandMemory, Limits, Response, ScsiCommand, Target, TargetEvent, TaskId, TmfFunction, MAX_DATA_SEGMENT,
};
pub use text::TextError;
