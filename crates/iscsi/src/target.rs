//! The target's end of a session: command window, tasks, data transfer, task management.

mod services;

use crate::bhs::{opcode, sn_less, Pdu, BHS_LEN, RESERVED_TAG};
use crate::framer::{Decoder, Encoder, FrameError};
use crate::login::{AccessControl, Login, LoginStatus, LoginStep, Params};
use crate::node_extension::{CommandMetadata, LoadReport};
use crate::payload::Payload;
use bytes::{Bytes, BytesMut};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bounds that the target keeps.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Commands in work at once; the command window never promises more.
    pub max_commands: u32,
    /// Most bytes that one command may carry either way.
    pub max_transfer_bytes: usize,
}

/// Initiator task tag of a command in work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskTag(pub u32);

/// A SCSI command, its data complete.
#[derive(Clone, Debug)]
pub struct ScsiCommand {
    /// Its task tag.
    pub tag: TaskTag,
    /// Its number in the session.
    pub cmd_sn: u32,
    /// The logical unit field.
    pub lun: u64,
    /// The first 16 bytes of the CDB.
    pub cdb: [u8; 16],
    /// Expected data transfer length, bytes.
    pub expected_length: u32,
    /// Whether the initiator expects to receive.
    pub reads: bool,
    /// Whether the initiator sends data.
    pub writes: bool,
    /// What it sent. Shorter than `expected` only where that passes [`Limits::max_transfer_bytes`].
    pub data: Payload,
    /// What the project's extension says, where agreed on.
    pub metadata: Option<CommandMetadata>,
}

/// A command's end.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// SCSI status (SAM-5).
    pub status: u8,
    /// Status qualifier (SAM-5, 5.3.3); on the wire from protocol level 2 on (RFC 7144).
    pub qualifier: u16,
    /// Sense data without the length.
    pub sense: Vec<u8>,
    /// Data for the initiator.
    pub data: Payload,
    /// Bytes that the command would have moved by its CDB; residuals are counted against it.
    pub full_length: u64,
    /// What the project's extension reports, where agreed on.
    pub report: Option<LoadReport>,
}

/// Task management functions (RFC 7143, section 11.5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TmfFunction {
    /// One task.
    AbortTask,
    /// All tasks of this session at the unit.
    AbortTaskSet,
    /// All tasks of all sessions at the unit.
    ClearTaskSet,
    /// As above, and the unit starts afresh.
    LunReset,
    /// All units of the target.
    TargetReset,
}

/// What a session tells.
#[derive(Clone, Debug)]
pub enum TargetEvent {
    /// The full feature phase began.
    LoggedIn {
        /// Name of the initiator.
        initiator: String,
        /// The target; `None` in a discovery session.
        target: Option<String>,
        /// The initiator's part of the session id.
        isid: [u8; 6],
    },
    /// A command to carry out; [`Target::respond`] ends it.
    Command(Box<ScsiCommand>),
    /// A task was aborted: its answer is no longer wanted.
    Aborted(TaskTag),
    /// A function was carried out in this session and may concern others.
    TaskManagement {
        /// Which.
        function: TmfFunction,
        /// The unit.
        lun: u64,
    },
    /// The connection is to be closed once the output has been sent.
    Closing(String),
}

#[derive(Debug)]
struct Task {
    command: Box<ScsiCommand>,
    /// Bytes to be received before the command is whole.
    wanted: usize,
    /// Unsolicited data is still to come.
    unsolicited: bool,
    /// The transfer under way: tag, end offset; next DataSN.
    r2t: Option<(u32, usize)>,
    r2t_sn: u32,
    data_sn: u32,
    running: bool,
}

enum Phase {
    Login(Box<Login>),
    Full,
    Closing,
}

/// The target's end of one connection.
pub struct Target {
    access: Arc<dyn AccessControl>,
    limits: Limits,
    tsih: u16,
    phase: Phase,
    params: Params,
    decoder: Decoder,
    encoder: Encoder,
    initiator: String,
    discovery: bool,
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
    tasks: BTreeMap<u32, Task>,
    next_transfer: u32,
    text_in: Vec<u8>,
    text_out: Bytes,
}

/// Reasons of a Reject (RFC 7143, section 11.17.1).
mod reason {
    pub(super) const DATA_DIGEST: u8 = 0x02;
    pub(super) const SNACK: u8 = 0x03;
    pub(super) const PROTOCOL: u8 = 0x04;
    pub(super) const NOT_SUPPORTED: u8 = 0x05;
    pub(super) const TOO_MANY_IMMEDIATE: u8 = 0x06;
    pub(super) const TASK_IN_PROGRESS: u8 = 0x07;
    pub(super) const INVALID_FIELD: u8 = 0x09;
}

/// Immediate commands beyond the window that are borne at once: task management and pings mostly.
const IMMEDIATE_EXTRA: usize = 8;

impl Target {
    /// A connection just accepted. `tsih` names the session that it may become and is not 0.
    pub fn new(access: Arc<dyn AccessControl>, tsih: u16, limits: Limits) -> Self {
        let params = Params::default();
        Target {
            access,
            limits,
            tsih,
            phase: Phase::Login(Box::default()),
            decoder: Decoder::new(params.own_max_data),
            params,
            encoder: Encoder::default(),
            initiator: String::new(),
            discovery: false,
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
            tasks: BTreeMap::new(),
            next_transfer: 1,
            text_in: Vec::new(),
            text_out: Bytes::new(),
        }
    }

    /// Where received bytes go.
    pub fn decoder(&mut self) -> &mut Decoder {
        &mut self.decoder
    }

    /// Number of output bytes that were not taken yet.
    pub fn unsent_bytes(&self) -> usize {
        self.encoder.queued_bytes()
    }

    /// Takes the bytes to be sent, in order.
    pub fn take_output(&mut self) -> Vec<Bytes> {
        self.encoder.take()
    }

    /// What was agreed on at login.
    pub fn params(&self) -> &Params {
        &self.params
    }

    /// The session's handle.
    pub fn tsih(&self) -> u16 {
        self.tsih
    }

    /// Whether the connection is to be closed when the output has been sent.
    pub fn is_closing(&self) -> bool {
        matches!(self.phase, Phase::Closing)
    }

    /// Commands in work.
    pub fn task_count(&self) -> usize {
        self.tasks.len()
    }

    /// Works through the bytes received so far.
    pub fn process(&mut self, events: &mut Vec<TargetEvent>) {
        while !self.is_closing() {
            match self.decoder.next_pdu() {
                Ok(Some(pdu)) => self.on_pdu(pdu, events),
                Ok(None) => return,
                Err(e) => {
                    // Level 0: what can't be trusted ends the session. The header of the bad PDU is gone.
                    if matches!(self.phase, Phase::Full) && e == FrameError::DataDigest {
                        self.reject(reason::DATA_DIGEST, &[0; BHS_LEN]);
                    }
                    self.close(e.to_string(), events);
                }
            }
        }
    }

    fn close(&mut self, why: String, events: &mut Vec<TargetEvent>) {
        self.phase = Phase::Closing;
        self.tasks.clear();
        events.push(TargetEvent::Closing(why));
    }

    fn on_pdu(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if let Phase::Login(login) = &mut self.phase {
            if pdu.opcode() != opcode::LOGIN {
                return self.close(format!("opcode 0x{:02x} before login", pdu.opcode()), events);
            }
            let first = self.initiator.is_empty() && login.initiator.is_none();
            if first {
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
            opcode::SNACK => self.reject(reason::SNACK, &pdu.bhs),
            opcode::LOGIN => {
                self.reject(reason::PROTOCOL, &pdu.bhs);
                self.close("login in the full feature phase".to_owned(), events);
            }
            _ => self.reject(reason::NOT_SUPPORTED, &pdu.bhs),
        }
    }

    fn after_login_step(&mut self, step: LoginStep, events: &mut Vec<TargetEvent>) {
        self.max_cmd_sn = self.exp_cmd_sn.wrapping_add(self.limits.max_commands).wrapping_sub(1);
        match step {
            LoginStep::Going(answer) => self.push_status(answer),
            LoginStep::Failed(answer, why) => {
                self.push_status(answer);
                self.close(format!("login: {why}"), events);
            }
            LoginStep::Done(answer) => {
                self.push_status(answer);
                let Phase::Login(login) = std::mem::replace(&mut self.phase, Phase::Full) else { return };
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

    /// Ends a login that the host can't take, before any command.
    pub fn refuse_login(&mut self, status: LoginStatus, events: &mut Vec<TargetEvent>) {
        let mut answer = Pdu::new(opcode::LOGIN_RESPONSE, 0);
        answer.set_u16(36, status.0);
        answer.bhs[1] = 0;
        self.push_status(answer);
        self.close(status.to_string(), events);
    }

    // ---- Sequence numbers --------------------------------------------------------------------------------

    /// Sends a PDU with StatSN, advancing it, and the window.
    fn push_status(&mut self, mut pdu: Pdu) {
        pdu.set_u32(24, self.stat_sn);
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.push(pdu);
    }

    /// Sends a PDU with the window. MaxCmdSN never falls (RFC 7143, section 4.2.2.1).
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

    /// Whether a command is to be taken; counts its CmdSN.
    fn in_order(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) -> bool {
        if pdu.immediate() {
            return true;
        }
        let sn = pdu.u32(24);
        if sn == self.exp_cmd_sn && !sn_less(self.max_cmd_sn, sn) {
            self.exp_cmd_sn = sn.wrapping_add(1);
            return true;
        }
        // Outside the window: ignored without a word (RFC 7143, section 4.2.2.1). Inside, but with a gap: on the
        // only connection of a session a command was lost, and level 0 can't bring it back.
        if !sn_less(sn, self.exp_cmd_sn) && !sn_less(self.max_cmd_sn, sn) {
            self.reject(reason::PROTOCOL, &pdu.bhs);
            self.close(format!("CmdSN {sn} where {} was due", self.exp_cmd_sn), events);
        }
        false
    }

    // ---- Commands ----------------------------------------------------------------------------------------

    fn on_command(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if !self.in_order(&pdu, events) {
            return;
        }
        if self.discovery {
            return self.reject(reason::PROTOCOL, &pdu.bhs);
        }
        let (reads, writes) = (pdu.bhs[1] & 0x40 != 0, pdu.bhs[1] & 0x20 != 0);
        let itt = pdu.itt();
        if itt == RESERVED_TAG || (reads && writes) {
            return self.reject(reason::INVALID_FIELD, &pdu.bhs);
        }
        if self.tasks.contains_key(&itt) {
            return self.reject(reason::TASK_IN_PROGRESS, &pdu.bhs);
        }
        if self.tasks.len() >= self.limits.max_commands as usize + IMMEDIATE_EXTRA {
            return self.reject(reason::TOO_MANY_IMMEDIATE, &pdu.bhs);
        }
        let expected = pdu.u32(20);
        let whole = if writes { expected as usize } else { 0 };
        let first_burst = self.params.first_burst.min(whole);
        // Danger: data past what was agreed on would be room that a peer takes as it likes.
        if pdu.data.len() > first_burst || (!pdu.data.is_empty() && !self.params.immediate_data) {
            self.reject(reason::PROTOCOL, &pdu.bhs);
            return self.close("immediate data beyond what was agreed on".to_owned(), events);
        }
        let unsolicited = writes && !pdu.is_final();
        if unsolicited && self.params.initial_r2t {
            self.reject(reason::PROTOCOL, &pdu.bhs);
            return self.close("unsolicited data where InitialR2T=Yes".to_owned(), events);
        }
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&pdu.bhs[32..48]);
        let metadata = if self.params.extension { CommandMetadata::from_ahs(&pdu.ahs) } else { None };
        let command = Box::new(ScsiCommand {
            tag: TaskTag(itt),
            cmd_sn: pdu.u32(24),
            lun: pdu.lun(),
            cdb,
            expected_length: expected,
            reads,
            writes,
            data: pdu.data,
            metadata,
        });
        // A transfer that can't be taken is not asked for; the command is answered without its data.
        let wanted = if whole > self.limits.max_transfer_bytes { command.data.len() } else { whole };
        let mut task =
            Task { command, wanted, unsolicited, r2t: None, r2t_sn: 0, data_sn: 0, running: false };
        if whole > self.limits.max_transfer_bytes && unsolicited {
            task.wanted = first_burst;
        }
        self.tasks.insert(itt, task);
        self.go_on(itt, events);
    }

    /// Asks for the next data of a write, or hands the whole command over.
    fn go_on(&mut self, itt: u32, events: &mut Vec<TargetEvent>) {
        let Some(task) = self.tasks.get_mut(&itt) else { return };
        if task.unsolicited || task.r2t.is_some() || task.running {
            return;
        }
        let have = task.command.data.len();
        if have >= task.wanted {
            task.running = true;
            let mut command = task.command.clone();
            // The payload goes with the event; the task keeps the header alone.
            task.command.data = Payload::new();
            command.tag = TaskTag(itt);
            events.push(TargetEvent::Command(command));
            return;
        }
        let transfer = self.next_transfer;
        self.next_transfer = if transfer >= RESERVED_TAG - 1 { 1 } else { transfer + 1 };
        let end = task.wanted.min(have + self.params.max_burst);
        task.r2t = Some((transfer, end));
        task.data_sn = 0;
        let mut pdu = Pdu::new(opcode::R2T, itt);
        pdu.set_lun(task.command.lun);
        pdu.set_u32(20, transfer);
        pdu.set_u32(24, self.stat_sn);
        pdu.set_u32(36, task.r2t_sn);
        pdu.set_u32(40, have as u32);
        pdu.set_u32(44, (end - have) as u32);
        task.r2t_sn += 1;
        self.push(pdu);
    }

    fn on_data_out(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        let (itt, transfer) = (pdu.itt(), pdu.u32(20));
        // Data of a task that was aborted or is over may still be on its way: it is dropped.
        let Some(task) = self.tasks.get_mut(&itt) else { return };
        if task.running {
            self.reject(reason::PROTOCOL, &pdu.bhs);
            return self.close("Data-Out for a command whose data is whole".to_owned(), events);
        }
        let have = task.command.data.len();
        let end = match task.r2t {
            Some((tag, end)) if tag == transfer => end,
            None if transfer == RESERVED_TAG && task.unsolicited => self.params.first_burst.min(task.wanted),
            _ => {
                self.reject(reason::PROTOCOL, &pdu.bhs);
                return self.close(format!("Data-Out for transfer {transfer:#x}, which is not open"), events);
            }
        };
        let wrong = if pdu.u32(36) != task.data_sn {
            Some(format!("DataSN {} where {} was due", pdu.u32(36), task.data_sn))
        } else if pdu.u32(40) as usize != have {
            Some(format!("buffer offset {} where {have} was due", pdu.u32(40)))
        } else if have + pdu.data.len() > end {
            Some(format!("{} bytes past the end of the burst", have + pdu.data.len() - end))
        } else if pdu.is_final() && task.r2t.is_some() && have + pdu.data.len() < end {
            Some("a sequence ended before all its data came".to_owned())
        } else {
            None
        };
        if let Some(wrong) = wrong {
            self.reject(reason::PROTOCOL, &pdu.bhs);
            return self.close(wrong, events);
        }
        task.data_sn += 1;
        task.command.data.append(pdu.data.clone());
        if pdu.is_final() {
            if task.unsolicited && task.command.expected_length as usize > self.limits.max_transfer_bytes {
                task.wanted = task.command.data.len();
            }
            (task.unsolicited, task.r2t) = (false, None);
            self.go_on(itt, events);
        }
    }

    /// Ends a command. Nothing happens for a tag that is not in work: it was aborted meanwhile.
    pub fn respond(&mut self, tag: TaskTag, response: Response) {
        let Some(task) = self.tasks.remove(&tag.0) else { return };
        let c = &task.command;
        let expected = u64::from(c.expected_length);
        let told = if c.reads || c.writes { expected } else { 0 };
        let sent = if c.reads { (response.data.len() as u64).min(expected) } else { 0 };
        let mut flags = 0x80;
        let moved = if c.writes { response.full_length } else { sent.max(response.full_length) };
        let residual = match moved.cmp(&told) {
            std::cmp::Ordering::Greater => {
                flags |= 0x04;
                moved - told
            }
            std::cmp::Ordering::Less => {
                flags |= 0x02;
                told - moved
            }
            std::cmp::Ordering::Equal => 0,
        };
        let residual = u32::try_from(residual).unwrap_or(u32::MAX);
        let in_data = response.status == 0 && sent > 0 && response.report.is_none();
        self.send_data_in(&task, &response.data, sent as usize, in_data.then_some((flags, residual)));
        if in_data {
            return;
        }
        let mut pdu = Pdu::new(opcode::SCSI_RESPONSE, tag.0);
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

    /// Data-In PDUs; the last one carries the status where `status` is given.
    fn send_data_in(&mut self, task: &Task, data: &Payload, sent: usize, status: Option<(u8, u32)>) {
        let (mut at, mut sn, mut burst) = (0, 0, 0);
        while at < sent {
            let n = (sent - at).min(self.params.peer_max_data).min(self.params.max_burst - burst);
            burst += n;
            let last = at + n == sent;
            let mut pdu = Pdu::new(opcode::DATA_IN, task.command.tag.0);
            pdu.bhs[1] = if last || burst == self.params.max_burst { 0x80 } else { 0 };
            if burst == self.params.max_burst {
                burst = 0;
            }
            pdu.set_u32(20, RESERVED_TAG);
            pdu.set_u32(36, sn);
            pdu.set_u32(40, at as u32);
            pdu.data = data.slice(at, n);
            (at, sn) = (at + n, sn + 1);
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

    /// Drops a task without an answer, as another session's reset demands.
    pub fn abort(&mut self, tag: TaskTag) {
        self.tasks.remove(&tag.0);
    }

    /// Tags in work at a unit, or at all.
    pub fn tags(&self, lun: Option<u64>) -> Vec<TaskTag> {
        let at_unit = |t: &&Task| lun.is_none_or(|l| l == t.command.lun);
        self.tasks.values().filter(at_unit).map(|t| t.command.tag).collect()
    }
}
