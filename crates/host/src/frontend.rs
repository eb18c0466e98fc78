//! The iSCSI frontend: turns commands of clients into submissions and final answers into SCSI responses.
//!
//! Commands that read or write the medium go to the engine; the frontend answers the others itself.

use crate::dispatcher::{CommandId, Completion, FinalAnswer, Input, Requester, Submission};
use crate::engine::Message;
use crate::settings::HostSettings;
use crate::volumes::{Volume, VolumeId};
use crossbeam_channel::Sender;
use pearfork_iscsi::{AccessControl, LoginStatus, Payload, Response, ScsiCommand, TaskId, TmfFunction};
use pearfork_net::{Clock, Session, SessionHandler};
use pearfork_scsi::{
    decode_lun, encode_lun, report_luns, status, Cdb, MediaCommand, MediaOp, Sense, UnitResponse,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Grants initiators access to targets by the volumes' lists of initiators.
pub(crate) struct InitiatorAccess {
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) address: SocketAddr,
}

impl AccessControl for InitiatorAccess {
    fn targets(&self, initiator: &str) -> Vec<(String, String)> {
        let mut out: Vec<(String, String)> = Vec::new();
        for v in self.settings.volumes.iter().filter(|v| v.allows(initiator)) {
            if out.iter().all(|(name, _)| *name != v.target) {
                out.push((v.target.clone(), self.address.to_string()));
            }
        }
        out
    }

    fn authorize_login(&self, initiator: &str, target: &str) -> Result<(), LoginStatus> {
        let mut of_target = self.settings.volumes.iter().filter(|v| v.target == target).peekable();
        if of_target.peek().is_none() {
            return Err(LoginStatus::NOT_FOUND);
        }
        if of_target.any(|v| v.allows(initiator)) {
            Ok(())
        } else {
            Err(LoginStatus::FORBIDDEN)
        }
    }
}

impl Requester for Session {
    fn has_left(&self) -> bool {
        self.has_ended()
    }
}

/// A session that is logged in.
struct Client {
    session: Arc<Session>,
    initiator: Arc<str>,
    target: String,
    /// Volumes by LUN.
    units: HashMap<u16, VolumeId>,
    /// Number of bytes that each open command transfers according to its CDB.
    lengths: HashMap<TaskId, u64>,
    /// A unit attention condition is pending after a reset by another session (SAM-5, section 5.14).
    attention: bool,
}

/// The sessions of clients and their open commands.
pub(crate) struct Frontend {
    settings: Arc<HostSettings>,
    engine: Sender<Message>,
    clock: Clock,
    clients: Mutex<HashMap<u64, Client>>,
}

impl Frontend {
    pub(crate) fn new(settings: Arc<HostSettings>, engine: Sender<Message>, clock: Clock) -> Self {
        Frontend { settings, engine, clock, clients: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of sessions that are logged in.
    pub(crate) fn sessions(&self) -> usize {
        self.lock().len()
    }

    /// Sends an input to the engine, and waits while its queue is full.
    fn send(&self, input: Input) {
        // If the engine's queue is full, this blocks only the reading thread of the client's own connection.
        let _ = self.engine.send(Message::Input(input));
    }

    fn volume(&self, id: VolumeId) -> &Volume {
        &self.settings.volumes[id.0 as usize]
    }

    /// Gives a command its final answer.
    pub(crate) fn answer(&self, id: CommandId, answer: FinalAnswer) {
        let found = {
            let mut clients = self.lock();
            let Some(client) = clients.get_mut(&id.session) else { return };
            let Some(length) = client.lengths.remove(&id.task) else { return };
            (client.session.clone(), length)
        };
        let (session, full_length) = found;
        let response = match answer {
            FinalAnswer::Served(Completion::Good(data)) => {
                Response { data, full_length, ..Default::default() }
            }
            FinalAnswer::Served(Completion::CheckCondition(sense)) => {
                Response { status: status::CHECK_CONDITION, sense, ..Default::default() }
            }
            FinalAnswer::Refused { retry_after_ms } => {
                // The status qualifier holds the delay in tenths of a second for this I_T_L nexus (scope 00b;
                // SAM-5, section 5.3.3), rounded up so that no client retries early. Without a delay the
                // status is TASK SET FULL.
                let tenths = (retry_after_ms / 100.0).ceil().clamp(0.0, f64::from(0x3fefu16)) as u16;
                let status = if tenths > 0 { status::BUSY } else { status::TASK_SET_FULL };
                Response { status, qualifier: tenths, ..Default::default() }
            }
            FinalAnswer::Failed => check_condition(Sense::ABORTED),
        };
        session.respond(id.task, response);
    }

    /// Turns a command into a submission; as an error, the response to a command that needs no node.
    fn prepare(&self, client: &mut Client, command: &ScsiCommand) -> Result<Submission, Response> {
        let parsed = Cdb::parse(&command.cdb);
        if let Ok(Cdb::ReportLuns { select_report, allocation_length }) = parsed {
            return Err(local_response(report_luns(
                select_report,
                allocation_length,
                sorted_luns(&client.units),
            )));
        }
        let volume = decode_lun(command.lun).and_then(|u| client.units.get(&u)).map(|id| self.volume(*id));
        let Some(volume) = volume else {
            // INQUIRY succeeds for a logical unit that does not exist, and reports that (SPC-4, section 6.6.1).
            return Err(match parsed {
                Ok(Cdb::Inquiry { page: None, allocation_length }) => {
                    let mut no_unit = vec![0x7f, 0, 6, 2, 31];
                    no_unit.resize(36.min(allocation_length as usize).max(5), 0);
                    no_unit.truncate(allocation_length as usize);
                    local_response(UnitResponse::Data(no_unit))
                }
                _ => check_condition(Sense::LOGICAL_UNIT_NOT_SUPPORTED),
            });
        };
        let cdb = parsed.map_err(check_condition)?;
        if client.attention && !matches!(cdb, Cdb::Inquiry { .. } | Cdb::RequestSense { .. }) {
            client.attention = false;
            return Err(check_condition(Sense::RESET));
        }
        let mut media = match volume.unit.respond(&cdb) {
            UnitResponse::Media(media) => media,
            other => return Err(local_response(other)),
        };
        let block = volume.unit.block_len;
        if !announces_direction(command, &media, block) {
            return Err(check_condition(Sense::INVALID_FIELD));
        }
        let full = media.transfer_length(block);
        let sent = command.data.len() as u64;
        if sent < media.data_out_length(block) && !command.has_all_data() {
            // The client announced more than one command may transfer, so its data was not fetched.
            return Err(check_condition(Sense::INVALID_FIELD));
        }
        if media.op == MediaOp::CompareAndWrite && sent != media.data_out_length(block) {
            // With too little or too much data, COMPARE AND WRITE would compare or write other blocks than
            // the client meant.
            return Err(Response { full_length: full, ..check_condition(Sense::invalid_field(13)) });
        }
        if sent < media.data_out_length(block) {
            // The initiator sent less data than the CDB transfers: the whole blocks received are written, and
            // the residual count covers the rest (RFC 7143, section 11.4.5.2). An incomplete block is not
            // written.
            media.blocks = (sent / u64::from(block)) as u32;
        }
        let needed = media.data_out_length(block);
        client.lengths.insert(command.id, full);
        Ok(Submission {
            id: CommandId { session: client.session.id().0, task: command.id },
            requester: client.session.clone(),
            session_handle: client.session.tsih(),
            command_number: command.cmd_sn,
            volume: volume.id,
            media,
            data: command.data.slice(0, needed as usize),
            initiator: client.initiator.clone(),
            arrived_ms: self.clock.now_ms(),
        })
    }
}

fn sorted_luns(units: &HashMap<u16, VolumeId>) -> impl Iterator<Item = u16> {
    let mut all: Vec<u16> = units.keys().copied().collect();
    all.sort_unstable();
    all.into_iter()
}

/// Whether a command announces the direction in which its CDB transfers data, or that it transfers none: the
/// residual count could not express that nothing was transferred in the other one.
fn announces_direction(command: &ScsiCommand, media: &MediaCommand, block: u32) -> bool {
    let contradicts = |is_announced: bool, length: u64| is_announced && length == 0;
    media.transfer_length(block) == 0
        || !(contradicts(command.reads, media.data_in_length(block))
            || contradicts(command.writes, media.data_out_length(block)))
}

fn check_condition(sense: Sense) -> Response {
    Response { status: status::CHECK_CONDITION, sense: sense.to_bytes(), ..Default::default() }
}

fn local_response(answer: UnitResponse) -> Response {
    match answer {
        UnitResponse::Data(data) => {
            let data: Payload = data.into();
            Response { full_length: data.len() as u64, data, ..Default::default() }
        }
        UnitResponse::CheckCondition(sense) => check_condition(sense),
        // Unreachable: the callers have handled media commands already.
        UnitResponse::Media(_) => check_condition(Sense::INVALID_OPCODE),
    }
}

impl SessionHandler for Frontend {
    fn logged_in(
        &self,
        session: &Arc<Session>,
        initiator: &str,
        target: Option<&str>,
    ) -> Result<(), LoginStatus> {
        let target = target.unwrap_or_default().to_owned();
        let allowed = self.settings.volumes.iter().filter(|v| v.target == target && v.allows(initiator));
        let units = allowed.map(|v| (v.lun, v.id)).collect();
        tracing::info!(peer = %session.peer(), initiator, target, "session opened");
        let client = Client {
            session: session.clone(),
            initiator: initiator.into(),
            target,
            units,
            lengths: HashMap::new(),
            attention: false,
        };
        self.lock().insert(session.id().0, client);
        Ok(())
    }

    fn command(&self, session: &Arc<Session>, command: ScsiCommand) {
        let prepared = match self.lock().get_mut(&session.id().0) {
            Some(client) => self.prepare(client, &command),
            None => return,
        };
        match prepared {
            Ok(submission) => self.send(Input::Submit(Box::new(submission))),
            Err(response) => session.respond(command.id, response),
        }
    }

    fn aborted(&self, session: &Arc<Session>, task: TaskId) {
        if let Some(client) = self.lock().get_mut(&session.id().0) {
            client.lengths.remove(&task);
        }
        self.send(Input::Abandon(CommandId { session: session.id().0, task }));
    }

    fn task_management(&self, session: &Arc<Session>, function: TmfFunction, lun: u64) {
        if !matches!(function, TmfFunction::ClearTaskSet | TmfFunction::LunReset | TmfFunction::TargetReset) {
            return;
        }
        let all_units = function == TmfFunction::TargetReset;
        let others: Vec<Arc<Session>> = {
            let mut clients = self.lock();
            let target = clients.get(&session.id().0).map(|c| c.target.clone());
            let others = clients
                .iter_mut()
                .filter(|(id, c)| **id != session.id().0 && Some(&c.target) == target.as_ref());
            others
                .filter(|(_, c)| all_units || decode_lun(lun).is_some_and(|u| c.units.contains_key(&u)))
                .map(|(_, c)| {
                    c.attention = true;
                    c.session.clone()
                })
                .collect()
        };
        for other in others {
            for task in other.abort_tasks(if all_units {
                None
            } else {
                Some(encode_lun(decode_lun(lun).unwrap_or(0)))
            }) {
                self.aborted(&other, task);
            }
        }
    }

    fn closed(&self, session: &Arc<Session>, why: &str) {
        if self.lock().remove(&session.id().0).is_some() {
            tracing::info!(peer = %session.peer(), why, "session closed");
        } else {
            tracing::info!(peer = %session.peer(), why, "connection closed before login completed");
        }
        self.send(Input::SessionClosed(session.id().0));
    }
}
