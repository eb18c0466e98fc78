//! Commands of clients and attempts at nodes, put together from the notes.

use crate::record::{Endpoint, RuleParameters, TraceEvent, TraceEventKind};
use crate::wire::{opcode, parse_media_access, CommandMetadata, MediaAccess};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A client's command, as the client's socket saw it.
#[derive(Clone, Debug)]
pub struct Command {
    /// The host it went to.
    pub host: u16,
    /// Session handle and command number.
    pub session: u16,
    /// Number within the session.
    pub cmd_sn: u32,
    /// What it does.
    pub access: MediaAccess,
    /// Its class.
    pub class: usize,
    /// When its first PDU went out, and its last data.
    pub sent_us: u64,
    /// When the last of its data went out.
    pub fully_sent_us: u64,
    /// Final answers: time and SCSI status.
    pub final_answers: Vec<(u64, u8)>,
    /// When its client gave it up, by abort or by closing; or the host was killed.
    pub abandoned_us: Option<u64>,
}

/// An attempt, as the node's socket saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The node.
    pub node: u32,
    /// Its shard and zone.
    pub place: (u16, u16),
    /// What the command says of itself.
    pub metadata: CommandMetadata,
    /// What it does.
    pub access: MediaAccess,
    /// When it came.
    pub received_us: u64,
    /// When it was answered, and how.
    pub response: Option<(u64, u8)>,
    /// When its connection ended, or the host asked for its abort.
    pub aborted_us: Option<u64>,
}

impl Attempt {
    /// Whether the node turned it away unseen: BUSY or TASK SET FULL.
    pub fn was_rejected(&self) -> bool {
        matches!(self.response, Some((_, 0x08 | 0x28)))
    }
}

/// Names a client's command at a host.
pub type CommandKey = (u16, u16, u32);

/// The whole record, put together.
#[derive(Debug, Default)]
pub struct Trace {
    /// Commands on the medium.
    pub commands: BTreeMap<CommandKey, Command>,
    /// Attempts in order of coming.
    pub attempts: Vec<Attempt>,
    /// Of each command, positions of its attempts.
    pub attempts_by_command: HashMap<CommandKey, Vec<usize>>,
    /// Spans in which a host was made to stand still.
    pub stalls: Vec<(u16, u64, u64)>,
    /// Commands that two clients named alike: the record can't be judged.
    pub duplicate_keys: Vec<CommandKey>,
}

impl Trace {
    /// Reads the notes, which are in the order of their times.
    pub fn from_events(
        notes: &[TraceEvent],
        parameters: &RuleParameters,
        volume_of: &dyn Fn(u16, u64) -> Option<u32>,
    ) -> Trace {
        let mut t = Trace::default();
        let mut handles: HashMap<u64, (u16, u16)> = HashMap::new();
        let mut open: HashMap<(u64, u32), CommandKey> = HashMap::new();
        let mut running: HashMap<(u64, u32), usize> = HashMap::new();
        let mut places: HashMap<u32, (u16, u16)> = HashMap::new();
        let mut gone: HashSet<u64> = HashSet::new();
        for note in notes {
            let at = note.at_us;
            match &note.kind {
                TraceEventKind::NodeStarted { node, shard, zone, .. } => {
                    places.insert(*node, (*shard, *zone));
                }
                TraceEventKind::Pdu { endpoint: Endpoint::Client { host }, stream, sent, header } => {
                    match (header.opcode(), sent) {
                        (opcode::LOGIN_RESPONSE, false) => {
                            handles.insert(*stream, (*host, (header.u32_at(12) & 0xffff) as u16));
                        }
                        (opcode::COMMAND, true) => {
                            let Some((host, session)) = handles.get(stream).copied() else { continue };
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
                                // Danger: a client's writer may note what it wrote after its reader has noted that
                                // the host closed. Nobody got such a command, and nobody waits for its answer.
                                abandoned_us: gone.contains(stream).then_some(at),
                            };
                            if t.commands.insert(key, command).is_some() {
                                t.duplicate_keys.push(key);
                            }
                            open.insert((*stream, header.tag()), key);
                        }
                        (opcode::DATA_OUT, true) => {
                            if let Some(c) =
                                open.get(&(*stream, header.tag())).and_then(|k| t.commands.get_mut(k))
                            {
                                c.fully_sent_us = at;
                            }
                        }
                        (opcode::TASK_MANAGEMENT, true) => {
                            let task = open.get(&(*stream, header.u32_at(20)));
                            if let Some(c) = task.and_then(|k| t.commands.get_mut(k)) {
                                c.abandoned_us.get_or_insert(at);
                            }
                        }
                        (_, false) if header.ends_command() => {
                            // Stays open: a second answer under this tag would be seen.
                            if let Some(c) =
                                open.get(&(*stream, header.tag())).and_then(|k| t.commands.get_mut(k))
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
                            let place = places.get(node).copied().unwrap_or((0, 0));
                            running.insert((*stream, header.tag()), t.attempts.len());
                            let of = t
                                .attempts_by_command
                                .entry((metadata.host, metadata.session, metadata.cmd_sn))
                                .or_default();
                            of.push(t.attempts.len());
                            let (received_us, response, aborted_us) = (at, None, None);
                            t.attempts.push(Attempt {
                                node: *node,
                                place,
                                metadata,
                                access,
                                received_us,
                                response,
                                aborted_us,
                            });
                        }
                        (opcode::TASK_MANAGEMENT, false) => {
                            if let Some(a) = running.get(&(*stream, header.u32_at(20))) {
                                t.attempts[*a].aborted_us.get_or_insert(at);
                            }
                        }
                        (_, true) if header.ends_command() => {
                            if let Some(a) = running.remove(&(*stream, header.tag())) {
                                t.attempts[a].response = Some((at, header.status()));
                            }
                        }
                        _ => {}
                    }
                }
                TraceEventKind::Closed { stream } => {
                    gone.insert(*stream);
                    for key in open.iter().filter(|((s, _), _)| s == stream).map(|(_, k)| *k) {
                        if let Some(c) = t.commands.get_mut(&key).filter(|c| c.final_answers.is_empty()) {
                            c.abandoned_us.get_or_insert(at);
                        }
                    }
                    for (_, a) in running.iter().filter(|((s, _), _)| s == stream) {
                        t.attempts[*a].aborted_us.get_or_insert(at);
                    }
                    open.retain(|(s, _), _| s != stream);
                    running.retain(|(s, _), _| s != stream);
                }
                TraceEventKind::HostKilled { host } => {
                    for c in t.commands.values_mut().filter(|c| c.host == *host && c.final_answers.is_empty())
                    {
                        c.abandoned_us.get_or_insert(at);
                    }
                }
                TraceEventKind::HostStalled { host, for_us } => t.stalls.push((*host, at, at + for_us)),
                TraceEventKind::NodeListed { .. } | TraceEventKind::Applied { .. } => {}
            }
        }
        t
    }
}
