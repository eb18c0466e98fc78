//! The iSCSI front: commands of clients become submissions, final answers become SCSI responses.
//!
//! It holds no decision: what needs the medium goes to the engine, and the engine's answer is put into words.

use crate::dispatcher::{Final, Input, Origin, Served, Submission};
use crate::engine::Message;
use crate::settings::HostSettings;
use crate::volumes::{Volume, VolumeId};
use crossbeam_channel::Sender;
use pearfork_iscsi::{AccessControl, LoginStatus, Payload, Response, ScsiCommand, TaskTag, TmfFunction};
use pearfork_net::{Clock, Session, SessionHandler};
use pearfork_scsi::{decode_lun, encode_lun, report_luns, status, Cdb, MediaOp, Sense, UnitResponse};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Who may log in where: the volumes' lists.
pub(crate) struct Door {
    pub(crate) plan: Arc<HostSettings>,
    pub(crate) address: SocketAddr,
}

impl AccessControl for Door {
    fn targets(&self, initiator: &str) -> Vec<(String, String)> {
        let mut out: Vec<(String, String)> = Vec::new();
        for v in self.plan.volumes.iter().filter(|v| v.admits(initiator)) {
            if out.iter().all(|(name, _)| *name != v.target) {
                out.push((v.target.clone(), self.address.to_string()));
            }
        }
        out
    }

    fn authorize_login(&self, initiator: &str, target: &str) -> Result<(), LoginStatus> {
        let mut of_target = self.plan.volumes.iter().filter(|v| v.target == target).peekable();
        if of_target.peek().is_none() {
            return Err(LoginStatus::NOT_FOUND);
        }
        if of_target.any(|v| v.admits(initiator)) {
            Ok(())
        } else {
            Err(LoginStatus::FORBIDDEN)
        }
    }
}

struct Client {
    session: Arc<Session>,
    initiator: Arc<str>,
    target: String,
    /// Volumes by unit number.
    units: HashMap<u16, VolumeId>,
    /// Bytes that each command in work moves by its CDB.
    lengths: HashMap<u32, u64>,
    /// A reset by another session is still to be told (SAM-5, section 5.14).
    attention: bool,
}

/// Sessions and what is under way in them.
pub(crate) struct Front {
    plan: Arc<HostSettings>,
    engine: Sender<Message>,
    clock: Clock,
    clients: Mutex<HashMap<u64, Client>>,
}

impl Front {
    pub(crate) fn new(plan: Arc<HostSettings>, engine: Sender<Message>, clock: Clock) -> Self {
        Front { plan, engine, clock, clients: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sessions now logged in.
    pub(crate) fn sessions(&self) -> usize {
        self.lock().len()
    }

    fn tell(&self, input: Input) {
        // Blocks the client's own reading thread while the engine is behind, nobody else.
        let _ = self.engine.send(Message::Input(input));
    }

    fn volume(&self, id: VolumeId) -> &Volume {
        &self.plan.volumes[id.0 as usize]
    }

    /// Gives a command its final answer.
    pub(crate) fn answer(&self, origin: Origin, answer: Final) {
        let found = {
            let mut clients = self.lock();
            let Some(client) = clients.get_mut(&origin.session) else { return };
            let Some(length) = client.lengths.remove(&origin.tag) else { return };
            (client.session.clone(), length)
        };
        let (session, full_length) = found;
        let response = match answer {
            Final::Served(Served::Good(data)) => Response { data, full_length, ..Default::default() },
            Final::Served(Served::Check(sense)) => {
                Response { status: status::CHECK_CONDITION, sense, ..Default::default() }
            }
            Final::Refused { retry_after_ms } => {
                // Status qualifier: scope this nexus and unit (00b), tenths of a second, rounded up so that nobody
                // comes early (SAM-5, 5.3.3). Without advice the task set was simply full.
                let tenths = (retry_after_ms / 100.0).ceil().clamp(0.0, f64::from(0x3fefu16)) as u16;
                let status = if tenths > 0 { status::BUSY } else { status::TASK_SET_FULL };
                Response { status, qualifier: tenths, ..Default::default() }
            }
            Final::Failed => check(Sense::ABORTED),
        };
        session.respond(TaskTag(origin.tag), response);
    }

    /// What a command leads to: an answer at once, or a submission.
    fn consider(&self, client: &mut Client, command: &ScsiCommand) -> Result<Submission, Response> {
        let parsed = Cdb::parse(&command.cdb);
        if let Ok(Cdb::ReportLuns { select_report, allocation_length }) = parsed {
            return Err(local(report_luns(select_report, allocation_length, sorted(&client.units))));
        }
        let volume = decode_lun(command.lun).and_then(|u| client.units.get(&u)).map(|id| self.volume(*id));
        let Some(volume) = volume else {
            // A unit that is not there still says so by INQUIRY (SPC-4, section 6.6.1).
            return Err(match parsed {
                Ok(Cdb::Inquiry { page: None, allocation_length }) => {
                    let mut none = vec![0x7f, 0, 6, 2, 31];
                    none.resize(36.min(allocation_length as usize).max(5), 0);
                    none.truncate(allocation_length as usize);
                    local(UnitResponse::Data(none))
                }
                _ => check(Sense::LOGICAL_UNIT_NOT_SUPPORTED),
            });
        };
        let cdb = parsed.map_err(check)?;
        if client.attention && !matches!(cdb, Cdb::Inquiry { .. } | Cdb::RequestSense { .. }) {
            client.attention = false;
            return Err(check(Sense::RESET));
        }
        let mut media = match volume.unit.respond(&cdb) {
            UnitResponse::Media(media) => media,
            other => return Err(local(other)),
        };
        let block = volume.unit.block_len;
        let full = media.transfer_length(block);
        let sent = command.data.len() as u64;
        if media.op == MediaOp::CompareAndWrite && sent != media.data_out_length(block) {
            // Danger: half a comparison, or a write beside one, is not what the client meant.
            return Err(Response { full_length: full, ..check(Sense::invalid_field(13)) });
        }
        if sent < media.data_out_length(block) {
            // The initiator announced less than the CDB moves: whole blocks of what came are taken, and the residual
            // tells the rest (RFC 7143, section 11.4.5.2). A part of a block changes nothing.
            media.blocks = (sent / u64::from(block)) as u32;
        }
        let needed = media.data_out_length(block);
        client.lengths.insert(command.tag.0, full);
        Ok(Submission {
            origin: Origin { session: client.session.id().0, tag: command.tag.0 },
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

fn sorted(units: &HashMap<u16, VolumeId>) -> impl Iterator<Item = u16> {
    let mut all: Vec<u16> = units.keys().copied().collect();
    all.sort_unstable();
    all.into_iter()
}

fn check(sense: Sense) -> Response {
    Response { status: status::CHECK_CONDITION, sense: sense.to_bytes(), ..Default::default() }
}

fn local(answer: UnitResponse) -> Response {
    match answer {
        UnitResponse::Data(data) => {
            let data: Payload = data.into();
            Response { full_length: data.len() as u64, data, ..Default::default() }
        }
        UnitResponse::CheckCondition(sense) => check(sense),
        // Never reached by the callers, who take media commands out before.
        UnitResponse::Media(_) => check(Sense::INVALID_OPCODE),
    }
}

impl SessionHandler for Front {
    fn logged_in(
        &self,
        session: &Arc<Session>,
        initiator: &str,
        target: Option<&str>,
    ) -> Result<(), LoginStatus> {
        let target = target.unwrap_or_default().to_owned();
        let mine = self.plan.volumes.iter().filter(|v| v.target == target && v.admits(initiator));
        let units = mine.map(|v| (v.lun, v.id)).collect();
        tracing::info!(peer = %session.peer(), initiator, target, "session begins");
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
        let considered = match self.lock().get_mut(&session.id().0) {
            Some(client) => self.consider(client, &command),
            None => return,
        };
        match considered {
            Ok(submission) => self.tell(Input::Submit(Box::new(submission))),
            Err(response) => session.respond(command.tag, response),
        }
    }

    fn aborted(&self, session: &Arc<Session>, tag: TaskTag) {
        if let Some(client) = self.lock().get_mut(&session.id().0) {
            client.lengths.remove(&tag.0);
        }
        self.tell(Input::Abandon(Origin { session: session.id().0, tag: tag.0 }));
    }

    fn task_management(&self, session: &Arc<Session>, function: TmfFunction, lun: u64) {
        if !matches!(function, TmfFunction::ClearTaskSet | TmfFunction::LunReset | TmfFunction::TargetReset) {
            return;
        }
        let whole = function == TmfFunction::TargetReset;
        let others: Vec<Arc<Session>> = {
            let mut clients = self.lock();
            let target = clients.get(&session.id().0).map(|c| c.target.clone());
            let others = clients
                .iter_mut()
                .filter(|(id, c)| **id != session.id().0 && Some(&c.target) == target.as_ref());
            others
                .filter(|(_, c)| whole || decode_lun(lun).is_some_and(|u| c.units.contains_key(&u)))
                .map(|(_, c)| {
                    c.attention = true;
                    c.session.clone()
                })
                .collect()
        };
        for other in others {
            for tag in
                other.abort_tasks(if whole { None } else { Some(encode_lun(decode_lun(lun).unwrap_or(0))) })
            {
                self.aborted(&other, tag);
            }
        }
    }

    fn closed(&self, session: &Arc<Session>, why: &str) {
        if self.lock().remove(&session.id().0).is_some() {
            tracing::info!(peer = %session.peer(), why, "session ends");
        } else {
            tracing::info!(peer = %session.peer(), why, "connection ends before a session began");
        }
        self.tell(Input::SessionGone(session.id().0));
    }
}
