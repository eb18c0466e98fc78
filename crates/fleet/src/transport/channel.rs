//! Messages between the transport, voter and holder threads. Each thread has one bounded queue.

use crossbeam_channel::{Sender, TrySendError};
use pearfork_ledger::raft::RaftMessage;
use pearfork_ledger::{HostNumber, LeaseRequest, LeaseResponse, Message};
use pearfork_net::Poller;
use std::sync::Arc;

/// The sender of a lease request, to which the response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Requester {
    /// The host at the other end of this connection.
    Connection(u64),
    /// The holder in this process.
    Local,
}

/// An event for the voter's thread.
#[derive(Debug)]
pub enum VoterEvent {
    /// A message from another voter.
    Raft(HostNumber, RaftMessage),
    /// A lease request.
    LeaseRequest(Requester, LeaseRequest),
    /// Stop the thread.
    Stop,
}

/// An event for the holder's thread.
#[derive(Debug)]
pub enum HolderEvent {
    /// A response, and the voter that sent it.
    LeaseResponse(HostNumber, LeaseResponse),
    /// Release the lease and stop.
    Leave,
    /// Stop at once.
    Stop,
}

/// A command to the transport's thread.
#[derive(Debug)]
pub enum TransportCommand {
    /// Send a message to a voter.
    Send(HostNumber, Message),
    /// Send a response over this connection, which its request arrived on.
    Respond(u64, LeaseResponse),
    /// Stop the thread.
    Stop,
}

/// Sends commands to the transport's thread without blocking.
#[derive(Clone)]
pub struct TransportHandle {
    commands: Sender<TransportCommand>,
    poller: Arc<Poller>,
}

impl TransportHandle {
    /// A handle that sends to this queue and wakes the thread that reads it through the poller.
    pub fn new(commands: Sender<TransportCommand>, poller: Arc<Poller>) -> TransportHandle {
        TransportHandle { commands, poller }
    }

    /// Sends a command. If the queue is full, the command is dropped.
    pub fn send(&self, command: TransportCommand) {
        if !matches!(self.commands.try_send(command), Err(TrySendError::Disconnected(_))) {
            self.poller.wake();
        }
    }
}
