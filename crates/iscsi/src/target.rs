//! The target's end of a session: command window, tasks, data transfer, task management.

mod services;

use crate::bhs::{opcode, sn_less, Pdu, BHS_LEN, RESERVED_TAG};
use crate::framer::{Decoder, Encoder, FrameError};
use crate::login::{AccessControl, Login, LoginStatus, LoginStep, Params};
use crate::node_extension::{CommandMetadata, LoadReport};
use crate::payload::{Payload, Reservation};
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Limits of a session.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of concurrent commands, which also bounds the command window.
    pub max_commands: u32,
    /// Maximum number of bytes that one command may transfer in either direction.
    pub max_transfer_bytes: usize,
    /// Maximum number of data bytes of a PDU, at least 512.
    pub max_data_segment: usize,
}

/// [`Limits::max_data_segment`] where memory is no concern.
pub const MAX_DATA_SEGMENT: usize = 262_144;

/// Bounds the bytes that the commands of a session hold.
pub trait CommandMemory: Send + Sync {
    /// Reserves bytes for the data of a command; `None` if there is no room.
    fn reserve(&self, bytes: usize) -> Option<Reservation>;
}

/// Identifies a command of a session. An initiator uses a task tag again as soon as its task is over, while what is
/// left of that task may still be queued somewhere; the number tells the two apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Position among the commands of the session; never used again.
    pub number: u64,
    /// The initiator task tag.
    pub tag: u32,
}

/// A SCSI command with all its data.
#[derive(Clone, Debug)]
pub struct ScsiCommand {
    /// Identifies the command within its session.
    pub id: TaskId,
    /// The command's CmdSN.
    pub cmd_sn: u32,
    /// The LUN field.
    pub lun: u64,
    /// The first 16 bytes of the CDB.
    pub cdb: [u8; 16],
    /// The expected data transfer length in bytes.
    pub expected_length: u32,
    /// Whether the initiator expects to receive data.
    pub reads: bool,
    /// Whether the initiator sends data.
    pub writes: bool,
    /// The data that the initiator sent; see [`ScsiCommand::has_all_data`].
    pub data: Payload,
    /// The host's metadata, if the node extension was negotiated.
    pub metadata: Option<CommandMetadata>,
}

impl ScsiCommand {
    /// Whether all data that the initiator announced was received. It is not if it announced more than
    /// [`Limits::max_transfer_bytes`]: the target does not request the rest then.
    pub fn has_all_data(&self) -> bool {
        !self.writes || self.data.len() as u64 >= u64::from(self.expected_length)
    }
}

/// The response to a command.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// The SCSI status (SAM-5).
    pub status: u8,
    /// The status qualifier (SAM-5, section 5.3.3); sent from protocol level 2 on (RFC 7144).
    pub qualifier: u16,
    /// Sense data, without its length field.
    pub sense: Vec<u8>,
    /// Data for the initiator.
    pub data: Payload,
    /// Number of bytes that the CDB asks to transfer; the residual is its difference from the expected
    /// length.
    pub full_length: u64,
    /// The node's load, sent if the node extension was negotiated.
    pub report: Option<LoadReport>,
}

/// Task management functions (RFC 7143, section 11.5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TmfFunction {
    /// Aborts one task.
    AbortTask,
    /// Aborts all tasks of this session at the logical unit.
    AbortTaskSet,
    /// Aborts all tasks of all sessions at the logical unit.
    ClearTaskSet,
    /// Aborts all tasks of all sessions at the logical unit and resets it.
    LunReset,
    /// Resets all logical units of the target.
    TargetReset,
}

/// An event of the target's end of a session.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// The session reached the full feature phase.
    LoggedIn {
        /// The initiator's name.
        initiator: String,
        /// The target's name; `None` in a discovery session.
        target: Option<String>,
        /// The initiator session identifier (ISID).
        isid: [u8; 6],
    },
    /// A command to execute. [`Target::respond`] must be called for it.
    Command(Box<ScsiCommand>),
    /// A task was aborted; its response would be dropped.
    Aborted(TaskId),
    /// A task management function was carried out in this session and may affect tasks of other sessions.
    TaskManagement {
        /// The function.
        function: TmfFunction,
        /// The LUN field.
        lun: u64,
    },
    /// The connection must be closed once the output has been sent; the reason.
    Closing(String),
}

/// A command without a response.
#[derive(Debug)]
struct Task {
    command: Box<ScsiCommand>,
    /// Memory for the data of the command.
    reservation: Option<Reservation>,
    /// Number of bytes to receive before the command can be executed.
    data_length: usize,
    /// More unsolicited data is expected.
    expects_unsolicited: bool,
    /// Target transfer tag and end offset of the outstanding R2T.
    r2t: Option<(u32, usize)>,
    /// The R2TSN of the next R2T.
    r2t_sn: u32,
    /// The next expected DataSN.
    data_sn: u32,
    /// The command has been passed on for execution.
    executing: bool,
}

enum Phase {
    Login(Box<Login>),
    FullFeature,
    Closing,
}

/// The target's end of one connection.
pub struct Target {
    access: Arc<dyn AccessControl>,
    limits: Limits,
    memory: Option<Arc<dyn CommandMemory>>,
    tsih: u16,
    phase: Phase,
    params: Params,
    decoder: Decoder,
    encoder: Encoder,
    /// The initiator's name.
    initiator: String,
    /// Whether this is a discovery session.
    discovery: bool,
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
    /// Commands without a response, by task tag.
    tasks: BTreeMap<u32, Task>,
    next_task_number: u64,
    next_transfer_tag: u32,
    /// Text of the current Text request, which may span several PDUs.
    text_in: Vec<u8>,
    /// Memory for text of a request that is not complete.
    text_reservations: Vec<Reservation>,
    /// The part of the Text response that was not sent yet.
    text_out: Bytes,
}

/// Reason codes of a Reject (RFC 7143, section 11.17.1).
mod reject_reason {
    pub(super) const DATA_DIGEST: u8 = 0x02;
    pub(super) const SNACK: u8 = 0x03;
    pub(super) const PROTOCOL: u8 = 0x04;
    pub(super) const NOT_SUPPORTED: u8 = 0x05;
    pub(super) const TOO_MANY_IMMEDIATE: u8 = 0x06;
    pub(super) const TASK_IN_PROGRESS: u8 = 0x07;
    pub(super) const OUT_OF_RESOURCES: u8 = 0x0a;
    pub(super) const INVALID_FIELD: u8 = 0x09;
}

/// Reserves memory for the text of a request until the request is complete; returns whether there was room.
fn reserve_text(memory: Option<&dyn CommandMemory>, reservations: &mut Vec<Reservation>, pdu: &Pdu) -> bool {
    let is_continued = pdu.bhs[1] & CONTINUE_BIT != 0;
    if !is_continued {
        reservations.clear();
    }
    let Some(memory) = memory.filter(|_| is_continued) else { return true };
    let reservation = memory.reserve(TEXT_GROWTH * pdu.data.len());
    let has_room = reservation.is_some();
    reservations.extend(reservation);
    has_room
}

/// The C bit of a Login or Text request: its text goes on in the next PDU.
const CONTINUE_BIT: u8 = 0x40;
/// Memory that collected text takes, as a multiple of its length: its buffer doubles as it grows.
const TEXT_GROWTH: usize = 2;
/// The SCSI status of a command that did not enter the task set for lack of resources (SAM-5).
const TASK_SET_FULL: u8 = 0x28;
/// Number of immediate commands that are accepted beyond the command window.
const MAX_EXTRA_IMMEDIATE: usize = 8;

impl Target {
    /// Creates the target's end of a new connection. `tsih` becomes the handle of its session and must not be
    /// 0.
    pub fn new(access: Arc<dyn AccessControl>, tsih: u16, limits: Limits) -> Self {
        let params = Params::default();
        let login = Login::new(limits.max_data_segment);
        Target {
            access,
            limits,
            memory: None,
            tsih,
            phase: Phase::Login(Box::new(login)),
            decoder: Decoder::new(params.own_max_data),
            params,
            encoder: Encoder::default(),
            initiator: String::new(),
            discovery: false,
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
            tasks: BTreeMap::new(),
            next_task_number: 0,
            next_transfer_tag: 1,
            text_in: Vec::new(),
            text_reservations: Vec::new(),
            text_out: Bytes::new(),
        }
    }

    /// Bounds the memory of the commands; one for which there is no room is answered TASK SET FULL.
    pub fn with_memory(self, memory: Option<Arc<dyn CommandMemory>>) -> Self {
        Target { memory, ..self }
    }

    /// The decoder, to whose buffer received bytes must be appended.
    pub fn decoder(&mut self) -> &mut Decoder {
        &mut self.decoder
    }

    /// Number of output bytes that were not taken yet.
    pub fn unsent_bytes(&self) -> usize {
        self.encoder.queued_bytes()
    }

    /// Takes the bytes to send, in order.
    pub fn take_output(&mut self) -> Vec<Bytes> {
        self.encoder.take()
    }

    /// The negotiated parameters.
    pub fn params(&self) -> &Params {
        &self.params
    }

    /// The target session identifying handle.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Whether the connection must be closed once the output has been sent.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing)
    }

    /// Number of commands without a response.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Processes the received bytes and appends the resulting events.
    pub fn process(&mut self, events: &mut Vec<TargetEvent>) {
        while !self.is_closing() {
            match self.decoder.next_pdu() {
                Ok(Some(pdu)) => self.on_pdu(pdu, events),
                Ok(None) => return,
                Err(e) => {
                    // ErrorRecoveryLevel=0: a digest or format error ends the session. The header of the bad
                    // PDU is no longer available for the Reject.
                    if matches!(self.phase, Phase::FullFeature) && e == FrameError::DataDigest {
                        self.reject(reject_reason::DATA_DIGEST, &[0; BHS_LEN]);
                    }
                    self.close(e.to_string(), events);
                }
            }
        }
    }

    fn close(&mut self, reason: String, events: &mut Vec<TargetEvent>) {
        self.phase = Phase::Closing;
        self.tasks.clear();
        events.push(TargetEvent::Closing(reason));
    }

    fn on_pdu(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if let Phase::Login(login) = &mut self.phase {
            if pdu.opcode() != opcode::LOGIN {
                return self.close(format!("PDU with opcode 0x{:02x} before login", pdu.opcode()), events);
            }
            if !reserve_text(self.memory.as_deref(), &mut self.text_reservations, &pdu) {
                return self.refuse_login(LoginStatus::OUT_OF_RESOURCES, events);
            }
            let is_first = self.initiator.is_empty() && login.initiator.is_none();
            if is_first {
                self.exp_cmd_sn = pdu.u32(24);
            }
            let step = login.step(&pdu, self.tsih, &*self.access);
            return self.after_login_step(step, events);
        }
        match pdu.opcode() {
            opcode::SCSI_COMMAND => self.on_command(pdu, events),
            opcode::DATA_OUT => self.on_data_out(&pdu, events),
            opcode::NOP_OUT => self.on_nop(pdu, events),
            opcode::TASK_MANAGEMENT => self.on_task_management(&pdu, events),
            opcode::TEXT => self.on_text(&pdu, events),
            opcode::LOGOUT => self.on_logout(&pdu, events),
            opcode::SNACK => self.reject(reject_reason::SNACK, &pdu.bhs),
            opcode::LOGIN => {
                self.reject(reject_reason::PROTOCOL, &pdu.bhs);
                self.close("login request in the full feature phase".to_owned(), events);
            }
            _ => self.reject(reject_reason::NOT_SUPPORTED, &pdu.bhs),
        }
    }

    fn after_login_step(&mut self, step: LoginStep, events: &mut Vec<TargetEvent>) {
        self.max_cmd_sn = self.exp_cmd_sn.wrapping_add(self.limits.max_commands).wrapping_sub(1);
        match step {
            LoginStep::Continue(response) => self.push_status(response),
            LoginStep::Failed(response, reason) => {
                self.push_status(response);
                self.close(format!("login failed: {reason}"), events);
            }
            LoginStep::Complete(response) => {
                self.push_status(response);
                let Phase::Login(login) = std::mem::replace(&mut self.phase, Phase::FullFeature) else {
                    return;
                };
                self.params = login.params;
                self.discovery = login.discovery;
                self.initiator = login.initiator.unwrap_or_default();
                self.decoder.max_data = self.params.own_max_data;
                self.decoder.header_digest = self.params.header_digest;
                self.decoder.data_digest = self.params.data_digest;
                self.encoder.header_digest = self.params.header_digest;
                self.encoder.data_digest = self.params.data_digest;
                events.push(TargetEvent::LoggedIn {
                    initiator: self.initiator.clone(),
                    target: login.target.filter(|_| !login.discovery),
                    isid: login.isid,
                });
            }
        }
    }

    /// Refuses a login with a status before any command, and closes the session.
    pub fn refuse_login(&mut self, status: LoginStatus, events: &mut Vec<TargetEvent>) {
        let mut response = Pdu::new(opcode::LOGIN_RESPONSE, 0);
        response.set_u16(36, status.0);
        response.bhs[1] = 0;
        self.push_status(response);
        self.close(status.to_string(), events);
    }

    // ---- Sequence numbers --------------------------------------------------------------------------------

    /// Sends a PDU with the next StatSN and the command window.
    fn push_status(&mut self, mut pdu: Pdu) {
        pdu.set_u32(24, self.stat_sn);
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.push(pdu);
    }

    /// Sends a PDU with the command window. MaxCmdSN never decreases (RFC 7143, section 4.2.2.1).
    fn push(&mut self, mut pdu: Pdu) {
        let free = self.limits.max_commands.saturating_sub(self.tasks.len() as u32);
        let max = self.exp_cmd_sn.wrapping_add(free).wrapping_sub(1);
        if sn_less(self.max_cmd_sn, max) {
            self.max_cmd_sn = max;
        }
        pdu.set_u32(28, self.exp_cmd_sn);
        pdu.set_u32(32, self.max_cmd_sn);
        self.encoder.push(pdu);
    }

    fn reject(&mut self, reason: u8, bhs: &[u8; BHS_LEN]) {
        let mut pdu = Pdu::new(opcode::REJECT, RESERVED_TAG);
        pdu.bhs[2] = reason;
        pdu.data = Bytes::copy_from_slice(bhs).into();
        self.push_status(pdu);
    }

    /// Whether a request is to be processed; advances ExpCmdSN if so.
    fn accept_cmd_sn(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) -> bool {
        if pdu.is_immediate() {
            return true;
        }
        let sn = pdu.u32(24);
        if sn == self.exp_cmd_sn && !sn_less(self.max_cmd_sn, sn) {
            self.exp_cmd_sn = sn.wrapping_add(1);
            return true;
        }
        // A CmdSN outside the window is silently ignored (RFC 7143, section 4.2.2.1). A gap within the window
        // means that a command was lost on the session's only connection, and ErrorRecoveryLevel=0 cannot
        // recover it.
        if !sn_less(sn, self.exp_cmd_sn) && !sn_less(self.max_cmd_sn, sn) {
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            self.close(format!("CmdSN {sn}, expected {}", self.exp_cmd_sn), events);
        }
        false
    }

    // ---- Commands ----------------------------------------------------------------------------------------

    /// Registers the task of a SCSI Command PDU and requests its data, or passes the command on if it needs
    /// no more. Rejects the PDU in a discovery session, if its tag is in use or reserved, if it both reads
    /// and writes, or if too many tasks are open. Data beyond what was negotiated also closes the connection.
    /// The CDB is not interpreted and the LUN is not checked.
    fn on_command(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if !self.accept_cmd_sn(&pdu, events) {
            return;
        }
        if self.discovery {
            return self.reject(reject_reason::PROTOCOL, &pdu.bhs);
        }
        let (reads, writes) = (pdu.bhs[1] & 0x40 != 0, pdu.bhs[1] & 0x20 != 0);
        let itt = pdu.itt();
        if itt == RESERVED_TAG || (reads && writes) {
            return self.reject(reject_reason::INVALID_FIELD, &pdu.bhs);
        }
        if self.tasks.contains_key(&itt) {
            return self.reject(reject_reason::TASK_IN_PROGRESS, &pdu.bhs);
        }
        if self.tasks.len() >= self.limits.max_commands as usize + MAX_EXTRA_IMMEDIATE {
            return self.reject(reject_reason::TOO_MANY_IMMEDIATE, &pdu.bhs);
        }
        let expected = pdu.u32(20);
        let total_out = if writes { expected as usize } else { 0 };
        let first_burst = self.params.first_burst.min(total_out);
        // Without this check, a peer could make the target buffer more than was negotiated.
        if pdu.data.len() > first_burst || (!pdu.data.is_empty() && !self.params.immediate_data) {
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            return self.close("immediate data beyond the negotiated limits".to_owned(), events);
        }
        let expects_unsolicited = writes && !pdu.is_final();
        if expects_unsolicited && self.params.initial_r2t {
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            return self.close("unsolicited data although InitialR2T=Yes".to_owned(), events);
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.bhs[32..48]);
        let metadata = if self.params.extension { CommandMetadata::from_ahs(&pdu.ahs) } else { None };
        let command = Box::new(ScsiCommand {
            id: TaskId { number: self.next_task_number, tag: itt },
            cmd_sn: pdu.u32(24),
            lun: pdu.lun(),
            cdb,
            expected_length: expected,
            reads,
            writes,
            data: pdu.data,
            metadata,
        });
        self.next_task_number += 1;
        // No R2T is sent for a transfer beyond the limit; the command is passed on without the rest of its
        // data.
        let data_length =
            if total_out > self.limits.max_transfer_bytes { command.data.len() } else { total_out };
        let transferred =
            if writes || reads { (expected as usize).min(self.limits.max_transfer_bytes) } else { 0 };
        let reservation = self.memory.as_ref().filter(|_| transferred > 0).map(|m| m.reserve(transferred));
        let has_room = !matches!(reservation, Some(None));
        let mut task = Task {
            command,
            reservation: reservation.flatten(),
            data_length,
            expects_unsolicited,
            r2t: None,
            r2t_sn: 0,
            data_sn: 0,
            executing: false,
        };
        if total_out > self.limits.max_transfer_bytes && expects_unsolicited {
            task.data_length = first_burst;
        }
        let id = task.command.id;
        if !has_room {
            task.command.data = Payload::new();
        }
        self.tasks.insert(itt, task);
        if !has_room {
            return self.respond(id, Response { status: TASK_SET_FULL, ..Response::default() });
        }
        self.advance(itt, events);
    }

    /// Requests the next data of a write, or passes the command on for execution once its data is complete.
    fn advance(&mut self, itt: u32, events: &mut Vec<TargetEvent>) {
        let Some(task) = self.tasks.get_mut(&itt) else { return };
        if task.expects_unsolicited || task.r2t.is_some() || task.executing {
            return;
        }
        let received = task.command.data.len();
        if received >= task.data_length {
            task.executing = true;
            let mut command = task.command.clone();
            // The payload moves to the event; the task keeps only the header fields.
            task.command.data = Payload::new();
            if let Some(reservation) = task.reservation.take_if(|_| command.writes) {
                command.data = command.data.with_reservation(&reservation);
            }
            events.push(TargetEvent::Command(command));
            return;
        }
        let transfer_tag = self.next_transfer_tag;
        self.next_transfer_tag = if transfer_tag >= RESERVED_TAG - 1 { 1 } else { transfer_tag + 1 };
        let end = task.data_length.min(received + self.params.max_burst);
        task.r2t = Some((transfer_tag, end));
        task.data_sn = 0;
        let mut pdu = Pdu::new(opcode::R2T, itt);
        pdu.set_lun(task.command.lun);
        pdu.set_u32(20, transfer_tag);
        pdu.set_u32(24, self.stat_sn);
        pdu.set_u32(36, task.r2t_sn);
        pdu.set_u32(40, received as u32);
        pdu.set_u32(44, (end - received) as u32);
        task.r2t_sn += 1;
        self.push(pdu);
    }

    fn on_data_out(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        let (itt, transfer_tag) = (pdu.itt(), pdu.u32(20));
        // Data of a task that was aborted or completed may still arrive; it is dropped.
        let Some(task) = self.tasks.get_mut(&itt) else { return };
        if task.executing {
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            return self.close("Data-Out for a command whose data is complete".to_owned(), events);
        }
        let received = task.command.data.len();
        let end = match task.r2t {
            Some((tag, end)) if tag == transfer_tag => end,
            None if transfer_tag == RESERVED_TAG && task.expects_unsolicited => {
                self.params.first_burst.min(task.data_length)
            }
            _ => {
                self.reject(reject_reason::PROTOCOL, &pdu.bhs);
                return self.close(
                    format!("Data-Out with target transfer tag {transfer_tag:#x}, which is not open"),
                    events,
                );
            }
        };
        let error = if pdu.u32(36) != task.data_sn {
            Some(format!("DataSN {}, expected {}", pdu.u32(36), task.data_sn))
        } else if pdu.u32(40) as usize != received {
            Some(format!("buffer offset {}, expected {received}", pdu.u32(40)))
        } else if received + pdu.data.len() > end {
            Some(format!("{} bytes past the end of the burst", received + pdu.data.len() - end))
        } else if pdu.is_final() && task.r2t.is_some() && received + pdu.data.len() < end {
            Some("Data-Out sequence ended before all its data was received".to_owned())
        } else {
            None
        };
        if let Some(error) = error {
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            return self.close(error, events);
        }
        task.data_sn += 1;
        task.command.data.append(pdu.data.clone());
        if pdu.is_final() {
            if task.expects_unsolicited
                && task.command.expected_length as usize > self.limits.max_transfer_bytes
            {
                task.data_length = task.command.data.len();
            }
            (task.expects_unsolicited, task.r2t) = (false, None);
            self.advance(itt, events);
        }
    }

    /// Sends the response to a command; does nothing if the task was aborted.
    pub fn respond(&mut self, id: TaskId, mut response: Response) {
        let Some(task) = self.remove_task(id) else { return };
        if let Some(reservation) = &task.reservation {
            response.data = response.data.with_reservation(reservation);
        }
        let c = &task.command;
        let expected = u64::from(c.expected_length);
        let announced = if c.reads || c.writes { expected } else { 0 };
        let sent = if c.reads { (response.data.len() as u64).min(expected) } else { 0 };
        let mut flags = 0x80;
        let transferred = if c.writes { response.full_length } else { sent.max(response.full_length) };
        let residual = match transferred.cmp(&announced) {
            std::cmp::Ordering::Greater => {
                flags |= 0x04;
                transferred - announced
            }
            std::cmp::Ordering::Less => {
                flags |= 0x02;
                announced - transferred
            }
            std::cmp::Ordering::Equal => 0,
        };
        let residual = u32::try_from(residual).unwrap_or(u32::MAX);
        let status_in_data = response.status == 0 && sent > 0 && response.report.is_none();
        self.send_data_in(&task, &response.data, sent as usize, status_in_data.then_some((flags, residual)));
        if status_in_data {
            return;
        }
        let mut pdu = Pdu::new(opcode::SCSI_RESPONSE, id.tag);
        pdu.bhs[1] = flags;
        pdu.bhs[3] = response.status;
        if self.params.protocol_level >= 2 {
            pdu.set_u16(8, response.qualifier);
        }
        pdu.set_u32(36, sent.div_ceil(self.params.peer_max_data as u64) as u32);
        pdu.set_u32(44, residual);
        if !response.sense.is_empty() {
            let mut data = BytesMut::with_capacity(2 + response.sense.len());
            data.extend_from_slice(&(response.sense.len() as u16).to_be_bytes());
            data.extend_from_slice(&response.sense);
            pdu.data = data.freeze().into();
        }
        if let (Some(report), true) = (response.report, self.params.extension) {
            pdu.ahs = report.to_ahs();
        }
        self.push_status(pdu);
    }

    /// Sends Data-In PDUs; the last one carries the status if `status` (flags and residual) is given.
    fn send_data_in(&mut self, task: &Task, data: &Payload, length: usize, status: Option<(u8, u32)>) {
        let (mut offset, mut sn, mut burst) = (0, 0, 0);
        while offset < length {
            let n = (length - offset).min(self.params.peer_max_data).min(self.params.max_burst - burst);
            burst += n;
            let last = offset + n == length;
            let mut pdu = Pdu::new(opcode::DATA_IN, task.command.id.tag);
            pdu.bhs[1] = if last || burst == self.params.max_burst { 0x80 } else { 0 };
            if burst == self.params.max_burst {
                burst = 0;
            }
            pdu.set_u32(20, RESERVED_TAG);
            pdu.set_u32(36, sn);
            pdu.set_u32(40, offset as u32);
            pdu.data = data.slice(offset, n);
            (offset, sn) = (offset + n, sn + 1);
            match status {
                Some((flags, residual)) if last => {
                    pdu.bhs[1] = flags | 0x01;
                    pdu.set_u32(44, residual);
                    self.push_status(pdu);
                }
                _ => self.push(pdu),
            }
        }
    }

    /// Drops a task without a response, as a reset from another session requires.
    pub fn abort(&mut self, id: TaskId) {
        self.remove_task(id);
    }

    /// Removes a task, unless it is over: its tag may belong to a later one.
    fn remove_task(&mut self, id: TaskId) -> Option<Task> {
        self.tasks.get(&id.tag).filter(|task| task.command.id == id)?;
        self.tasks.remove(&id.tag)
    }

    /// The tasks at a logical unit, or all tasks.
    pub fn task_ids(&self, lun: Option<u64>) -> Vec<TaskId> {
        let matches_lun = |t: &&Task| lun.is_none_or(|l| l == t.command.lun);
        self.tasks.values().filter(matches_lun).map(|t| t.command.id).collect()
    }
}
