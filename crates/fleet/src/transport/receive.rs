//! Receiving: decoding, the handshake, and dispatching messages to the voter and the holder.

use super::channel::{HolderEvent, Requester, VoterEvent};
use super::connection::{Connection, Decoded};
use super::Transport;
use crate::settings::FleetSettings;
use pearfork_ledger::{Hello, HostNumber, Message, PROTOCOL_VERSION};
use std::time::Instant;

/// Maximum length of a message from a peer whose handshake is not done.
const MAX_HELLO_BYTES: usize = 4 << 10;
/// Maximum length of a message from a host: a request for a few thousand budgets.
const MAX_HOST_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum length of a message from a voter: a snapshot of the largest possible fleet.
const MAX_VOTER_MESSAGE_BYTES: usize = 64 << 20;

fn is_voter(settings: &FleetSettings, host: HostNumber) -> bool {
    settings.voters.iter().any(|v| v.host == host)
}

fn max_message_bytes(settings: &FleetSettings, c: &Connection) -> usize {
    match c.peer {
        None if c.dialed.is_none() => MAX_HELLO_BYTES,
        Some(peer) if is_voter(settings, peer) => MAX_VOTER_MESSAGE_BYTES,
        _ => MAX_HOST_MESSAGE_BYTES,
    }
}

impl Transport {
    /// Handles a connection that the poller reported as ready.
    pub(super) fn handle_ready(&mut self, id: u64, hung_up: bool) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if hung_up {
            return self.close(id, "the connection was reset");
        }
        if !c.finish_connecting() {
            return self.close(id, "connecting failed");
        }
        if c.has_output() && c.flush().is_err() {
            return self.close(id, "sending failed");
        }
        let max_bytes = max_message_bytes(&self.settings, c);
        let is_closed = c.read(max_bytes);
        let Decoded { messages, error } = c.decode(max_bytes);
        if !messages.is_empty() {
            c.last_received_at = Instant::now();
        }
        for message in messages {
            self.handle_message(id, message);
        }
        if let Some(fault) = error {
            tracing::warn!(fault, "closing a fleet connection after an invalid message");
            return self.close(id, "invalid message");
        }
        if is_closed {
            return self.close(id, "the peer closed the connection");
        }
        self.watch(id);
    }

    fn handle_message(&mut self, id: u64, message: Message) {
        let Some(c) = self.connections.get(&id) else { return };
        let (peer, dialed) = (c.peer, c.dialed);
        match (peer, message) {
            (_, Message::Hello(hello)) => self.handle_hello(id, &hello),
            (_, Message::Refused(why)) => self.handle_refused(id, dialed, why),
            (Some(peer), Message::Raft(message)) if is_voter(&self.settings, peer) => {
                self.send_to_voter(VoterEvent::Raft(peer, message));
            }
            (Some(_), Message::LeaseRequest(request)) if dialed.is_none() => {
                self.send_to_voter(VoterEvent::LeaseRequest(Requester::Connection(id), request));
            }
            (Some(peer), Message::LeaseResponse(response)) if dialed.is_some() => {
                let _ = self.channels.holder.try_send(HolderEvent::LeaseResponse(peer, response));
            }
            // A message before the handshake, or one that this peer may not send.
            _ => self.close(id, "unexpected message"),
        }
    }

    fn send_to_voter(&self, event: VoterEvent) {
        if let Some(voter) = &self.channels.voter {
            // While the voter's disk stalls its queue may be full. The message is dropped, and its sender
            // repeats it.
            let _ = voter.try_send(event);
        }
    }

    fn handle_refused(&mut self, id: u64, dialed: Option<HostNumber>, why: String) {
        tracing::warn!(why, "this host was refused by a fleet peer");
        if let Some(link) = dialed.and_then(|host| self.links.get_mut(&host)) {
            link.record_refusal_by_voter(why);
        }
        self.close(id, "refused");
    }

    fn handle_hello(&mut self, id: u64, hello: &Hello) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if let Some(why) = refusal(&self.hello, self.settings.max_hosts, hello) {
            return self.refuse(id, hello.host, why);
        }
        if c.dialed.is_some_and(|host| host != hello.host) {
            return self.close(id, "another host responded at the voter's address");
        }
        let is_first = c.peer.is_none();
        c.peer = Some(hello.host);
        match c.dialed {
            Some(host) if is_first => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.mark_up();
                }
                self.notify_observer();
            }
            // The response to a keepalive.
            Some(_) => {}
            None => self.send(id, &Message::Hello(self.hello.clone())),
        }
    }

    fn refuse(&mut self, id: u64, host: HostNumber, why: String) {
        tracing::warn!(host = host.0, why, "refused a fleet peer");
        let dialed = self.connections.get(&id).and_then(|c| c.dialed);
        if let Some(link) = dialed.and_then(|host| self.links.get_mut(&host)) {
            link.record_refusal_by_self(why.clone());
        }
        self.send(id, &Message::Refused(why));
        if let Some(c) = self.connections.get_mut(&id) {
            c.closing = true;
        }
        self.watch(id);
    }
}

/// The reason to refuse the sender of this handshake; none if it is accepted.
fn refusal(own: &Hello, hosts: u32, theirs: &Hello) -> Option<String> {
    if theirs.version != PROTOCOL_VERSION {
        return Some(format!("this host speaks protocol version {PROTOCOL_VERSION}, not {}", theirs.version));
    }
    if theirs.fleet != own.fleet {
        return Some(format!("this is fleet `{}`, not `{}`", own.fleet, theirs.fleet));
    }
    if theirs.settings_fingerprint != own.settings_fingerprint {
        return Some(format!(
            "the fleet settings differ: checksum {} here, {} there (name, hosts, voters, floors, lease, drift)",
            own.settings_fingerprint, theirs.settings_fingerprint
        ));
    }
    if u32::from(theirs.host.0) >= hosts {
        return Some(format!("host number {} is not below hosts = {hosts}", theirs.host.0));
    }
    None
}
