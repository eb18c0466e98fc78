//! Reconstructs the commands of clients and the attempts at nodes from recorded events.

use crate::record::{Endpoint, RuleParameters, TraceEvent, TraceEventKind};
use crate::wire::{opcode, parse_media_access, CommandMetadata, MediaAccess};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A client's command, as recorded at the client's socket.
#[derive(Clone, Debug)]
pub struct Command {
    /// Host that the command was sent to.
    pub host: u16,
    /// Session handle (TSIH).
    pub session: u16,
    /// CmdSN, the number of the command in its session.
    pub cmd_sn: u32,
    /// Access to the medium.
    pub access: MediaAccess,
    /// Index of the class.
    pub class: usize,
    /// When its first PDU was sent.
    pub sent_us: u64,
    /// When the last of its data was sent.
    pub fully_sent_us: u64,
    /// Final answers: time and SCSI status.
    pub final_answers: Vec<(u64, u8)>,
    /// When its client aborted it or closed the connection, or when the host was killed.
    pub abandoned_us: Option<u64>,
}

/// An attempt, as recorded at the node's socket.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Node id.
    pub node: u32,
    /// Shard and zone of the node.
    pub location: (u16, u16),
    /// Metadata that the host sent with the command.
    pub metadata: CommandMetadata,
    /// Access to the medium.
    pub access: MediaAccess,
    /// When the node received it.
    pub received_us: u64,
    /// Time and SCSI status of the response.
    pub response: Option<(u64, u8)>,
    /// When its connection was closed or the host requested its abort.
    pub aborted_us: Option<u64>,
}

impl Attempt {
    /// Whether the node rejected it without executing it: BUSY or TASK SET FULL.
    pub fn was_rejected(&self) -> bool {
        matches!(self.response, Some((_, 0x08 | 0x28)))
    }
}

/// Identifies a client's command: host, session handle and CmdSN.
pub type CommandKey = (u16, u16, u32);

/// The commands and attempts of a recorded run.
#[derive(Debug, Default)]
pub struct Trace {
    /// Commands that access the medium.
    pub commands: BTreeMap<CommandKey, Command>,
    /// Attempts in order of arrival.
    pub attempts: Vec<Attempt>,
    /// For each command, the indexes of its attempts.
    pub attempts_by_command: HashMap<CommandKey, Vec<usize>>,
    /// Pauses of hosts by the scenario: host, start and end in microseconds.
    pub stalls: Vec<(u16, u64, u64)>,
    /// Keys that two commands share. The rules cannot be checked for such a recording.
    pub duplicate_keys: Vec<CommandKey>,
}

impl Trace {
    /// Builds the trace from events in order of time. `volume_of` maps a host and a LUN field to a volume id.
    pub fn from_events(
        events: &[TraceEvent],
        parameters: &RuleParameters,
        volume_of: &dyn Fn(u16, u64) -> Option<u32>,
    ) -> Trace {
        let mut trace = Trace::default();
        let mut sessions: HashMap<u64, (u16, u16)> = HashMap::new();
        let mut open_commands: HashMap<(u64, u32), CommandKey> = HashMap::new();
        let mut attempts_in_flight: HashMap<(u64, u32), usize> = HashMap::new();
        let mut locations: HashMap<u32, (u16, u16)> = HashMap::new();
        let mut closed_streams: HashSet<u64> = HashSet::new();
        for event in events {
            let at = event.at_us;
            match &event.kind {
                TraceEventKind::NodeStarted { node, shard, zone, .. } => {
                    locations.insert(*node, (*shard, *zone));
                }
                TraceEventKind::Pdu { endpoint: Endpoint::Client { host }, stream, sent, header } => {
                    match (header.opcode(), sent) {
                        (opcode::LOGIN_RESPONSE, false) => {
                            sessions.insert(*stream, (*host, (header.u32_at(12) & 0xffff) as u16));
                        }
                        (opcode::COMMAND, true) => {
                            let Some((host, session)) = sessions.get(stream).copied() else { continue };
                            let Some(access) = parse_media_access(&header.bytes[32..48]) else { continue };
                            let lun = u64::from(header.u32_at(8)) << 32 | u64::from(header.u32_at(12));
                            let Some(volume) = volume_of(host, lun) else { continue };
                            let Some(class) = (parameters.class_of.0)(volume, &access) else { continue };
                            let key = (host, session, header.u32_at(24));
                            let command = Command {
                                host,
                                session,
                                cmd_sn: key.2,
                                access,
                                class,
                                sent_us: at,
                                fully_sent_us: at,
                                final_answers: Vec::new(),
                                // The client's writer thread may record a command after its reader thread has
                                // recorded that the host closed the connection. The host did not receive such
                                // a command, and the client does not wait for its answer.
                                abandoned_us: closed_streams.contains(stream).then_some(at),
                            };
                            if trace.commands.insert(key, command).is_some() {
                                trace.duplicate_keys.push(key);
                            }
                            open_commands.insert((*stream, header.tag()), key);
                        }
                        (opcode::DATA_OUT, true) => {
                            if let Some(c) = open_commands
                                .get(&(*stream, header.tag()))
                                .and_then(|k| trace.commands.get_mut(k))
                            {
                                c.fully_sent_us = at;
                            }
                        }
                        (opcode::TASK_MANAGEMENT, true) => {
                            let task = open_commands.get(&(*stream, header.u32_at(20)));
                            if let Some(c) = task.and_then(|k| trace.commands.get_mut(k)) {
                                c.abandoned_us.get_or_insert(at);
                            }
                        }
                        (_, false) if header.ends_command() => {
                            // The entry stays, so that a second answer with this tag is recorded.
                            if let Some(c) = open_commands
                                .get(&(*stream, header.tag()))
                                .and_then(|k| trace.commands.get_mut(k))
                            {
                                c.final_answers.push((at, header.status()));
                            }
                        }
                        _ => {}
                    }
                }
                TraceEventKind::Pdu { endpoint: Endpoint::Node { node }, stream, sent, header } => {
                    match (header.opcode(), sent) {
                        (opcode::COMMAND, false) => {
                            let Some(metadata) = CommandMetadata::find(&header.extra) else { continue };
                            let Some(access) = parse_media_access(&header.bytes[32..48]) else { continue };
                            let location = locations.get(node).copied().unwrap_or((0, 0));
                            attempts_in_flight.insert((*stream, header.tag()), trace.attempts.len());
                            let indexes = trace
                                .attempts_by_command
                                .entry((metadata.host, metadata.session, metadata.cmd_sn))
                                .or_default();
                            indexes.push(trace.attempts.len());
                            let (received_us, response, aborted_us) = (at, None, None);
                            trace.attempts.push(Attempt {
                                node: *node,
                                location,
                                metadata,
                                access,
                                received_us,
                                response,
                                aborted_us,
                            });
                        }
                        (opcode::TASK_MANAGEMENT, false) => {
                            if let Some(a) = attempts_in_flight.get(&(*stream, header.u32_at(20))) {
                                trace.attempts[*a].aborted_us.get_or_insert(at);
                            }
                        }
                        (_, true) if header.ends_command() => {
                            if let Some(a) = attempts_in_flight.remove(&(*stream, header.tag())) {
                                trace.attempts[a].response = Some((at, header.status()));
                            }
                        }
                        _ => {}
                    }
                }
                TraceEventKind::Closed { stream } => {
                    closed_streams.insert(*stream);
                    for key in open_commands.iter().filter(|((s, _), _)| s == stream).map(|(_, k)| *k) {
                        if let Some(c) = trace.commands.get_mut(&key).filter(|c| c.final_answers.is_empty()) {
                            c.abandoned_us.get_or_insert(at);
                        }
                    }
                    for (_, a) in attempts_in_flight.iter().filter(|((s, _), _)| s == stream) {
                        trace.attempts[*a].aborted_us.get_or_insert(at);
                    }
                    open_commands.retain(|(s, _), _| s != stream);
                    attempts_in_flight.retain(|(s, _), _| s != stream);
                }
                TraceEventKind::HostKilled { host } => {
                    for c in
                        trace.commands.values_mut().filter(|c| c.host == *host && c.final_answers.is_empty())
                    {
                        c.abandoned_us.get_or_insert(at);
                    }
                }
                TraceEventKind::HostStalled { host, for_us } => trace.stalls.push((*host, at, at + for_us)),
                TraceEventKind::NodeListed { .. } | TraceEventKind::Applied { .. } => {}
            }
        }
        trace
    }
}
