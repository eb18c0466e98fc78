//! What comes in over connections: bytes, the handshake, and messages for the voter and the holder.

use super::channel::{HolderEvent, Requester, VoterEvent};
use super::connection::{Connection, Decoded};
use super::Transport;
use crate::plan::FleetPlan;
use pearfork_ledger::{Hello, HostNumber, Message, VERSION};
use std::time::Instant;

/// Longest message from somebody whose handshake is not done.
const MAX_HELLO_BYTES: usize = 4 << 10;
/// Longest message from a host: a request for some thousand budgets.
const MAX_HOST_MESSAGE_BYTES: usize = 1 << 20;
/// Longest message from a voter: the state of a fleet with as many hosts and budgets as there may be.
const MAX_VOTER_MESSAGE_BYTES: usize = 64 << 20;

fn is_voter(plan: &FleetPlan, host: HostNumber) -> bool {
    plan.voters.iter().any(|v| v.host == host)
}

fn max_message_bytes(plan: &FleetPlan, c: &Connection) -> usize {
    match c.peer {
        None if c.dialed.is_none() => MAX_HELLO_BYTES,
        Some(peer) if is_voter(plan, peer) => MAX_VOTER_MESSAGE_BYTES,
        _ => MAX_HOST_MESSAGE_BYTES,
    }
}

impl Transport {
    /// Serves a connection that the poller reported.
    pub(super) fn serve(&mut self, id: u64, broken: bool) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if broken {
            return self.close(id, "the connection broke");
        }
        if !c.finish_connecting() {
            return self.close(id, "no connection");
        }
        if c.has_output() && c.flush().is_err() {
            return self.close(id, "the connection broke");
        }
        let max_bytes = max_message_bytes(&self.plan, c);
        let ended = c.read(max_bytes);
        let Decoded { messages, fault } = c.decode(max_bytes);
        if !messages.is_empty() {
            c.last_heard_at = Instant::now();
        }
        for message in messages {
            self.handle_message(id, message);
        }
        if let Some(fault) = fault {
            tracing::warn!(fault, "a peer of the fleet speaks no sense");
            return self.close(id, "it speaks no sense");
        }
        if ended {
            return self.close(id, "the other side closed");
        }
        self.watch(id);
    }

    fn handle_message(&mut self, id: u64, message: Message) {
        let Some(c) = self.connections.get(&id) else { return };
        let (peer, dialed) = (c.peer, c.dialed);
        match (peer, message) {
            (_, Message::Hello(hello)) => self.handle_hello(id, &hello),
            (_, Message::Refused(why)) => self.handle_refused(id, dialed, why),
            (Some(peer), Message::Raft(message)) if is_voter(&self.plan, peer) => {
                self.send_to_voter(VoterEvent::Raft(peer, message));
            }
            (Some(_), Message::LeaseRequest(request)) if dialed.is_none() => {
                self.send_to_voter(VoterEvent::LeaseRequest(Requester::Connection(id), request));
            }
            (Some(peer), Message::LeaseResponse(response)) if dialed.is_some() => {
                let _ = self.channels.holder.try_send(HolderEvent::LeaseResponse(peer, response));
            }
            // Before the handshake, or out of place.
            _ => self.close(id, "it speaks out of turn"),
        }
    }

    fn send_to_voter(&self, event: VoterEvent) {
        if let Some(voter) = &self.channels.voter {
            // A voter whose disk stalls hears no more for a while; all this is sent again.
            let _ = voter.try_send(event);
        }
    }

    fn handle_refused(&mut self, id: u64, dialed: Option<HostNumber>, why: String) {
        tracing::warn!(why, "a voter of the fleet refuses this host");
        if let Some(link) = dialed.and_then(|host| self.links.get_mut(&host)) {
            link.set_refused_by_voter(why);
        }
        self.close(id, "refused");
    }

    fn handle_hello(&mut self, id: u64, hello: &Hello) {
        let Some(c) = self.connections.get_mut(&id) else { return };
        if let Some(why) = refusal(&self.hello, self.plan.hosts, hello) {
            return self.refuse(id, hello.host, why);
        }
        if c.dialed.is_some_and(|host| host != hello.host) {
            return self.close(id, "another host answers at its address");
        }
        let is_first = c.peer.is_none();
        c.peer = Some(hello.host);
        match c.dialed {
            Some(host) if is_first => {
                if let Some(link) = self.links.get_mut(&host) {
                    link.set_up();
                }
                self.notify_observer();
            }
            // A response to a keepalive.
            Some(_) => {}
            None => self.send(id, &Message::Hello(self.hello.clone())),
        }
    }

    fn refuse(&mut self, id: u64, host: HostNumber, why: String) {
        tracing::warn!(host = host.0, why, "refused a host of the fleet");
        let dialed = self.connections.get(&id).and_then(|c| c.dialed);
        if let Some(link) = dialed.and_then(|host| self.links.get_mut(&host)) {
            link.set_refused_here(why.clone());
        }
        self.send(id, &Message::Refused(why));
        if let Some(c) = self.connections.get_mut(&id) {
            c.closing = true;
        }
        self.watch(id);
    }
}

/// Why a host that sends this handshake is refused.
fn refusal(own: &Hello, hosts: u32, theirs: &Hello) -> Option<String> {
    if theirs.version != VERSION {
        return Some(format!("this host speaks version {VERSION}, not {}", theirs.version));
    }
    if theirs.fleet != own.fleet {
        return Some(format!("this is fleet `{}`, not `{}`", own.fleet, theirs.fleet));
    }
    if theirs.settings != own.settings {
        return Some(format!(
            "the fleet's settings differ: {} here, {} there (name, hosts, voters, floors, lease, drift)",
            own.settings, theirs.settings
        ));
    }
    if u32::from(theirs.host.0) >= hosts {
        return Some(format!("host {} is not below hosts = {hosts}", theirs.host.0));
    }
    None
}
