//! How a host divides its memory among what it holds for clients. No I/O.

use pearfork_drive::ByteBudget;
use pearfork_iscsi::MAX_DATA_SEGMENT;
use std::sync::Arc;

/// Divisor of the memory for the data of commands, of all sessions together.
const COMMANDS_DIVISOR: usize = 3;
/// Divisor of the memory for PDUs that are received in part, one of each session.
const PARTIAL_PDUS_DIVISOR: usize = 8;
/// Divisor of the memory for output that clients have not taken.
const UNSENT_DIVISOR: usize = 16;
/// Smallest data segment, in bytes: what the standard takes where nothing is declared.
const MIN_DATA_SEGMENT: usize = 8 * 1024;
/// Largest number of unsent bytes for a client from which on no further commands are read from it.
const MAX_UNSENT: usize = 8 << 20;

/// The memory for clients.
pub(crate) struct ClientMemory {
    /// For the data of commands.
    pub(crate) commands: Arc<ByteBudget>,
    /// Maximum number of data bytes of a PDU.
    pub(crate) max_data_segment: usize,
    /// Number of unsent bytes for a client from which on no further commands are read from it.
    pub(crate) max_unsent: usize,
}

impl ClientMemory {
    /// Divides `bytes` among at most `sessions` sessions.
    pub(crate) fn divide(bytes: usize, sessions: usize) -> ClientMemory {
        let sessions = sessions.max(1);
        ClientMemory {
            commands: ByteBudget::new(bytes / COMMANDS_DIVISOR, sessions),
            max_data_segment: (bytes / PARTIAL_PDUS_DIVISOR / sessions)
                .clamp(MIN_DATA_SEGMENT, MAX_DATA_SEGMENT),
            max_unsent: (bytes / UNSENT_DIVISOR / sessions).clamp(MIN_DATA_SEGMENT, MAX_UNSENT),
        }
    }
}
