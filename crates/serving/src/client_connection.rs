//! What the reader holds of a client connection, and which commands it accepts on it.

use crate::client::Client;
use crate::engine::Message;
use bytes::Bytes;
use crossbeam_channel::Sender;
use pearfork_net::{lock, Clock};
use pearfork_platform::clients::{AfterError, ClientTable};
use pearfork_platform::config::RequestSchema;
use pearfork_platform::lifecycle::Lifecycle;
use pearfork_platform::memory::{request_bytes, HeldBytes};
use pearfork_platform::request::{self, ClientCommand};
use pearfork_resp::{write, CommandDecoder};
use std::sync::{Arc, Mutex};

/// Maximum number of bytes read from one connection before the next one is read.
pub(crate) const READ_CHUNK: usize = 16 * 1024;
/// Maximum number of commands accepted from one connection before the next one has its turn.
const COMMANDS_PER_TURN: usize = 32;

/// State of a connection that belongs to its reader.
pub(crate) struct Connection {
    pub(crate) client: Arc<Client>,
    pub(crate) decoder: CommandDecoder,
    /// Counts what the decoder holds.
    pub(crate) input: HeldBytes,
    pub(crate) lifecycle: Lifecycle,
    /// The data read last arrived after this time.
    pub(crate) arrived_after: f64,
    /// Time since which the connection has not been read or, if it was just accepted, polled.
    pub(crate) unread_since: Option<f64>,
}

/// Result of reading the commands of a connection.
pub(crate) enum Accepted {
    /// All complete commands were accepted.
    All,
    /// The commands of one turn were accepted; more may be buffered.
    EndOfTurn,
    /// The maximum number of commands is open.
    AtLimit,
    /// The host holds as much as its memory allows, and nothing of the connection's own will release any.
    NoRoom,
    /// An invalid command was received; read nothing until the given time.
    Pause(f64),
    /// No further commands are accepted.
    Close,
}

/// Whether a connection may hold more.
enum Room {
    /// It may.
    Available,
    /// It may once some of its commands are answered, or their replies are taken.
    AfterReplies,
    /// The host holds as much as its memory allows.
    None,
}

/// Where the commands of client connections go.
pub(crate) struct CommandSink<'a> {
    pub(crate) table: &'a Mutex<ClientTable>,
    pub(crate) schema: &'a RequestSchema,
    pub(crate) engine: &'a Sender<Message>,
    pub(crate) clock: Clock,
}

impl Connection {
    /// Accepts complete commands and counts what is left in the decoder.
    pub(crate) fn accept_commands(&mut self, sink: &CommandSink<'_>) -> Accepted {
        let accepted = self.accept_until_stopped(sink);
        self.client.send_replies();
        if matches!(accepted, Accepted::Close) {
            self.decoder = CommandDecoder::new(request::COMMAND_LIMITS);
        }
        self.input.set(self.decoder.buffered_bytes());
        accepted
    }

    fn accept_until_stopped(&mut self, sink: &CommandSink<'_>) -> Accepted {
        for _ in 0..COMMANDS_PER_TURN {
            match self.check_room() {
                Room::Available => {}
                Room::AfterReplies => return Accepted::AtLimit,
                Room::None => return Accepted::NoRoom,
            }
            let stopped = match self.decoder.next_command() {
                Ok(Some(args)) => self.accept(&args, sink),
                Ok(None) => {
                    if self.decoder.has_partial() {
                        lock(sink.table).partial_received(sink.clock.now_ms(), self.client.id);
                    }
                    Some(Accepted::All)
                }
                Err(error) => {
                    // The frame boundary is lost, so this error is the last reply on the connection.
                    self.reply_last(error_reply(&format!("Protocol error: {error}")));
                    let _ = sink.engine.send(Message::InvalidCommand);
                    Some(Accepted::Close)
                }
            };
            if let Some(accepted) = stopped {
                return accepted;
            }
        }
        Accepted::EndOfTurn
    }

    /// Whether the next command may be accepted, or the rest of it read.
    fn check_room(&mut self) -> Room {
        self.input.set(self.decoder.buffered_bytes());
        if self.client.can_accept_command() {
            return Room::Available;
        }
        if !self.client.owes_nothing() {
            return Room::AfterReplies;
        }
        // Nothing of its own will release bytes. What others do not need is enough for one command.
        if self.client.account.has_room(READ_CHUNK) {
            Room::Available
        } else {
            Room::None
        }
    }

    /// Refuses a command that has been received in part, and releases what it holds. Nothing of it has been
    /// executed, so its client may send it again. No further command can be accepted.
    pub(crate) fn refuse_partial(&mut self) {
        self.reply_last(write::bytes(|out| write::error(out, "BUSY")));
        self.decoder = CommandDecoder::new(request::COMMAND_LIMITS);
        self.input.set(0);
    }

    /// Whether the connection holds so much of a command that refusing it makes room for others.
    pub(crate) fn holds_large_partial(&self) -> bool {
        self.decoder.buffered_bytes() >= READ_CHUNK
    }

    /// Sends the last reply of the connection, to data that is no complete command.
    fn reply_last(&self, reply: Bytes) {
        self.client.reply(self.client.reserve_slot(), reply);
    }

    /// Accepts one command. Returns why no further one is accepted, if so.
    fn accept(&self, args: &[Bytes], sink: &CommandSink<'_>) -> Option<Accepted> {
        let client = &self.client;
        let now = sink.clock.now_ms();
        if !lock(sink.table).command_received(now, client.id) {
            return Some(Accepted::Close);
        }
        let slot = client.reserve_slot();
        match request::parse(args, sink.schema) {
            Ok(ClientCommand::Request(request)) => {
                let held = client.account.hold(request_bytes(request.command_bytes()));
                let (client, arrived_at) = (client.clone(), self.arrived_after);
                let message = Message::Request { client, slot, request, arrived_at, held };
                // The engine only goes away together with the host.
                sink.engine.send(message).is_err().then_some(Accepted::Close)
            }
            Ok(ClientCommand::Ping) => {
                client.store_reply(slot, write::bytes(|out| write::simple(out, "PONG")));
                lock(sink.table).command_answered(now, client.id);
                None
            }
            Err(error) => {
                client.store_reply(slot, error_reply(&error.to_string()));
                let after = {
                    let mut table = lock(sink.table);
                    table.command_answered(now, client.id);
                    table.invalid_command(client.id)
                };
                let _ = sink.engine.send(Message::InvalidCommand);
                Some(match after {
                    AfterError::Pause(ms) => Accepted::Pause(now + ms as f64),
                    AfterError::Close => Accepted::Close,
                })
            }
        }
    }
}

fn error_reply(text: &str) -> Bytes {
    write::bytes(|out| write::error(out, &format!("ERR {text}")))
}
