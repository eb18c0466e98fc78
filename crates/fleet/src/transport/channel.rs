//! What the transport, the voter and the holder pass to each other: one bounded queue for each of the three threads.

use crossbeam_channel::{Sender, TrySendError};
use pearfork_ledger::raft::RaftMessage;
use pearfork_ledger::{HostNumber, LeaseRequest, LeaseResponse, Message};
use pearfork_net::Poller;
use std::sync::Arc;

/// Where a response goes: over a connection, or to the holder of this very process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Requester {
    /// The connection that the request came over.
    Connection(u64),
    /// The holder in this process.
    Local,
}

/// An event for the voter's thread.
#[derive(Debug)]
pub enum VoterEvent {
    /// A message of another voter.
    Raft(HostNumber, RaftMessage),
    /// A request for a lease.
    LeaseRequest(Requester, LeaseRequest),
    /// The process ends.
    Stop,
}

/// An event for the holder's thread.
#[derive(Debug)]
pub enum HolderEvent {
    /// A response, and the voter that sent it.
    LeaseResponse(HostNumber, LeaseResponse),
    /// Give all back and end.
    Leave,
    /// End at once.
    Stop,
}

/// A command to the transport's thread.
#[derive(Debug)]
pub enum TransportCommand {
    /// Send a message to a voter.
    Send(HostNumber, Message),
    /// Send a response over the connection that its request came over.
    Respond(u64, LeaseResponse),
    /// End.
    Stop,
}

/// Sends commands to the transport's thread; never blocks.
#[derive(Clone)]
pub struct TransportHandle {
    commands: Sender<TransportCommand>,
    poller: Arc<Poller>,
}

impl TransportHandle {
    /// A handle whose commands go into this queue; the poller wakes the thread that reads it.
    pub fn new(commands: Sender<TransportCommand>, poller: Arc<Poller>) -> TransportHandle {
        TransportHandle { commands, poller }
    }

    /// Sends a command. One that finds the queue full is dropped.
    pub fn send(&self, command: TransportCommand) {
        if !matches!(self.commands.try_send(command), Err(TrySendError::Disconnected(_))) {
            self.poller.wake();
        }
    }
}
