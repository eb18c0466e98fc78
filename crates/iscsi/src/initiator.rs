//! The initiator's end of a session, used toward storage nodes and by the clients of tests and tools.

use crate::bhs::{opcode, sn_less, Pdu, RESERVED_TAG};
use crate::framer::{Decoder, Encoder, FrameError};
use crate::login::{login_flags, LoginStatus, Params, STAGES};
use crate::node_extension::{self, CommandMetadata, LoadReport};
use crate::payload::Payload;
use crate::text::{self, put, TextError};
use bytes::Bytes;
use std::collections::BTreeMap;

/// The settings of an initiator.
#[derive(Clone, Debug)]
pub struct InitiatorConfig {
    /// The initiator's name.
    pub name: String,
    /// The target's name; `None` for a discovery session.
    pub target: Option<String>,
    /// The initiator session identifier (ISID).
    pub isid: [u8; 6],
    /// Whether CRC32C digests are requested.
    pub digests: bool,
    /// Whether [`crate::node_extension`] is offered.
    pub extension: bool,
}

/// A SCSI command to send.
#[derive(Clone, Debug, Default)]
pub struct Command {
    /// The LUN field.
    pub lun: u64,
    /// The CDB.
    pub cdb: [u8; 16],
    /// Number of bytes to receive from the target.
    pub read_len: u32,
    /// Data for the target. Bidirectional commands are not supported.
    pub data: Payload,
    /// Sent only if the node extension was negotiated.
    pub metadata: Option<CommandMetadata>,
}

/// The result of a command.
#[derive(Clone, Debug)]
pub struct CommandCompletion {
    /// The initiator task tag.
    pub itt: u32,
    /// The SCSI status.
    pub status: u8,
    /// The status qualifier, or 0 below protocol level 2.
    pub qualifier: u16,
    /// Sense data, without its length field.
    pub sense: Bytes,
    /// The received data.
    pub data: Payload,
    /// The node's load, if the node extension was negotiated.
    pub report: Option<LoadReport>,
    /// Residual count: by how many bytes the transfer fell short of the expected length (negative) or would
    /// exceed it.
    pub residual: i64,
}

/// An event of the initiator's end of a session.
#[derive(Clone, Debug)]
pub enum InitiatorEvent {
    /// The session reached the full feature phase; its TSIH.
    LoggedIn(u16),
    /// A command completed.
    Completed(Box<CommandCompletion>),
    /// The response to a task management function: the tag of the aborted task (0 for other functions) and
    /// the response code.
    Aborted(u32, u8),
    /// The response to a Text request.
    Text(Vec<(String, String)>),
    /// The target requests a logout or announces that it will drop the connection.
    LogoutRequested,
    /// The target confirmed the logout.
    LoggedOut,
}

/// An error that ends a session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InitiatorError {
    /// The byte stream is corrupt.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Received text is invalid.
    #[error(transparent)]
    Text(#[from] TextError),
    /// The target refused the login.
    #[error("login refused: {0}")]
    Login(LoginStatus),
    /// The target rejected a PDU.
    #[error("target rejected a PDU, reason 0x{0:02x}")]
    Rejected(u8),
    /// The target violated the protocol.
    #[error("protocol error: {0}")]
    Protocol(String),
}

/// A command without a response.
#[derive(Debug)]
struct Task {
    data_out: Payload,
    /// Number of bytes of `data_out` that were handed to the encoder.
    data_sent: usize,
    /// The target was asked to abort the task, so it gets no more data.
    aborted: bool,
    read_len: u32,
    received: Payload,
    data_sn: u32,
    lun: u64,
}

#[derive(Debug, PartialEq)]
enum Phase {
    Login,
    FullFeature,
}

/// The initiator's end of one connection.
#[derive(Debug)]
pub struct Initiator {
    config: InitiatorConfig,
    params: Params,
    decoder: Decoder,
    encoder: Encoder,
    phase: Phase,
    cmd_sn: u32,
    max_cmd_sn: u32,
    exp_stat_sn: u32,
    next_itt: u32,
    tasks: BTreeMap<u32, Task>,
    /// Task management functions without a response: their own tag and that of the task to abort, or 0.
    aborts: BTreeMap<u32, u32>,
    /// Text of the current Text response, which may span several PDUs.
    text_in: Vec<u8>,
}

/// The MaxRecvDataSegmentLength that this initiator declares.
const OWN_MAX_DATA: usize = 262_144;

impl Initiator {
    /// Creates an initiator; its output holds the login request.
    pub fn new(config: InitiatorConfig) -> Self {
        let mut params = Params { own_max_data: OWN_MAX_DATA, initial_r2t: false, ..Params::default() };
        params.max_burst = 1 << 20;
        params.first_burst = 262_144;
        let mut initiator = Initiator {
            config,
            params,
            decoder: Decoder::new(OWN_MAX_DATA),
            encoder: Encoder::default(),
            phase: Phase::Login,
            cmd_sn: 1,
            max_cmd_sn: 1,
            exp_stat_sn: 0,
            next_itt: 1,
            tasks: BTreeMap::new(),
            aborts: BTreeMap::new(),
            text_in: Vec::new(),
        };
        initiator.send_login();
        initiator
    }

    fn send_login(&mut self) {
        let mut out = Vec::new();
        put(&mut out, "InitiatorName", &self.config.name);
        match &self.config.target {
            Some(target) => put(&mut out, "TargetName", target),
            None => put(&mut out, "SessionType", "Discovery"),
        }
        let digest = if self.config.digests { "CRC32C" } else { "None" };
        put(&mut out, "HeaderDigest", digest);
        put(&mut out, "DataDigest", digest);
        put(&mut out, "MaxRecvDataSegmentLength", &OWN_MAX_DATA.to_string());
        if self.config.target.is_some() {
            put(&mut out, "MaxBurstLength", &self.params.max_burst.to_string());
            put(&mut out, "FirstBurstLength", &self.params.first_burst.to_string());
            put(&mut out, "InitialR2T", "No");
            put(&mut out, "ImmediateData", "Yes");
            put(&mut out, "MaxConnections", "1");
            put(&mut out, "MaxOutstandingR2T", "1");
        }
        put(&mut out, "ErrorRecoveryLevel", "0");
        put(&mut out, "DefaultTime2Wait", "2");
        put(&mut out, "DefaultTime2Retain", "0");
        put(&mut out, "iSCSIProtocolLevel", "2");
        if self.config.extension {
            put(&mut out, node_extension::LOGIN_KEY, "Yes");
        }
        let mut pdu = Pdu::new(opcode::LOGIN | 0x40, 0);
        pdu.bhs[1] = login_flags(STAGES.1, STAGES.2);
        pdu.bhs[8..14].copy_from_slice(&self.config.isid);
        pdu.set_u32(24, self.cmd_sn);
        pdu.data = out.into();
        self.encoder.push(pdu);
    }

    /// The decoder, to whose buffer received bytes must be appended.
    pub fn decoder(&mut self) -> &mut Decoder {
        &mut self.decoder
    }

    /// Takes the bytes to send, in order.
    pub fn take_output(&mut self) -> Vec<Bytes> {
        self.encoder.take()
    }

    /// The negotiated parameters.
    pub fn params(&self) -> &Params {
        &self.params
    }

    /// Whether the session is in the full feature phase.
    pub fn is_logged_in(&self) -> bool {
        self.phase == Phase::FullFeature
    }

    /// Whether the target's command window allows another command.
    pub fn window_open(&self) -> bool {
        self.is_logged_in() && !sn_less(self.max_cmd_sn, self.cmd_sn)
    }

    /// Number of further commands that the command window allows.
    pub fn window_room(&self) -> usize {
        if self.window_open() {
            self.max_cmd_sn.wrapping_sub(self.cmd_sn) as usize + 1
        } else {
            0
        }
    }

    /// Whether a command without a response has been sent with all its data. The target requests data beyond the
    /// first burst, and does not execute the command before it has all of it.
    pub fn is_sent_whole(&self, itt: u32) -> bool {
        self.tasks.get(&itt).is_none_or(|task| task.data_sent >= task.data_out.len())
    }

    /// Number of output bytes that were not taken yet.
    pub fn unsent_bytes(&self) -> usize {
        self.encoder.queued_bytes()
    }

    /// Number of commands without a response.
    pub fn outstanding(&self) -> usize {
        self.tasks.len()
    }

    /// The CmdSN of the next command.
    pub fn next_cmd_sn(&self) -> u32 {
        self.cmd_sn
    }

    /// Sends a command and returns its task tag, or `None` if the command window is closed.
    pub fn submit(&mut self, command: Command) -> Option<u32> {
        if !self.window_open() {
            return None;
        }
        let itt = self.allocate_tag();
        let mut pdu = Pdu::new(opcode::SCSI_COMMAND, itt);
        pdu.set_lun(command.lun);
        let len = command.data.len();
        pdu.bhs[1] = 0x80 | if len > 0 { 0x20 } else { 0 } | if command.read_len > 0 { 0x40 } else { 0 } | 1;
        pdu.set_u32(20, if len > 0 { len as u32 } else { command.read_len });
        pdu.set_u32(24, self.cmd_sn);
        pdu.set_u32(28, self.exp_stat_sn);
        pdu.bhs[32..48].copy_from_slice(&command.cdb);
        if let (Some(metadata), true) = (command.metadata, self.params.extension) {
            pdu.ahs = metadata.to_ahs();
        }
        if self.params.immediate_data {
            pdu.data = command.data.slice(0, self.params.first_burst.min(self.params.peer_max_data));
        }
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        let task = Task {
            data_sent: pdu.data.len(),
            data_out: command.data,
            aborted: false,
            read_len: command.read_len,
            received: Payload::new(),
            data_sn: 0,
            lun: command.lun,
        };
        self.encoder.push(pdu);
        self.tasks.insert(itt, task);
        Some(itt)
    }

    /// Returns an unused tag. A task that was aborted keeps its tag until the target has responded.
    fn allocate_tag(&mut self) -> u32 {
        loop {
            let itt = self.next_itt;
            self.next_itt = if itt >= RESERVED_TAG - 1 { 1 } else { itt + 1 };
            if !self.tasks.contains_key(&itt) && !self.aborts.contains_key(&itt) {
                return itt;
            }
        }
    }

    /// Asks the target to abort a task, and sends it no more data. The task keeps its tag until the response to
    /// either of the two is received.
    pub fn abort(&mut self, itt: u32) {
        let Some(task) = self.tasks.get_mut(&itt) else { return };
        task.aborted = true;
        // The target may never answer.
        task.data_out = Payload::new();
        let lun = task.lun;
        let tag = self.allocate_tag();
        let mut pdu = Pdu::new(opcode::TASK_MANAGEMENT | 0x40, tag);
        pdu.bhs[1] = 0x80 | 1;
        pdu.set_lun(lun);
        pdu.set_u32(20, itt);
        pdu.set_u32(24, self.cmd_sn);
        pdu.set_u32(28, self.exp_stat_sn);
        self.aborts.insert(tag, itt);
        self.encoder.push(pdu);
    }

    /// Sends a task management function; the response is reported as [`InitiatorEvent::Aborted`] with tag 0.
    pub fn send_task_management(&mut self, function: u8, lun: u64) {
        let tag = self.allocate_tag();
        let mut pdu = Pdu::new(opcode::TASK_MANAGEMENT | 0x40, tag);
        pdu.bhs[1] = 0x80 | function & 0x7f;
        pdu.set_lun(lun);
        pdu.set_u32(20, RESERVED_TAG);
        pdu.set_u32(24, self.cmd_sn);
        pdu.set_u32(28, self.exp_stat_sn);
        self.aborts.insert(tag, 0);
        self.encoder.push(pdu);
    }

    /// Requests the list of targets (SendTargets) in a discovery session.
    pub fn send_targets(&mut self) {
        let tag = self.allocate_tag();
        let mut pdu = Pdu::new(opcode::TEXT | 0x40, tag);
        pdu.set_u32(20, RESERVED_TAG);
        pdu.set_u32(24, self.cmd_sn);
        pdu.set_u32(28, self.exp_stat_sn);
        let mut out = Vec::new();
        put(&mut out, "SendTargets", "All");
        pdu.data = out.into();
        self.encoder.push(pdu);
    }

    /// Sends a logout request.
    pub fn logout(&mut self) {
        let tag = self.allocate_tag();
        let mut pdu = Pdu::new(opcode::LOGOUT | 0x40, tag);
        pdu.set_u32(24, self.cmd_sn);
        pdu.set_u32(28, self.exp_stat_sn);
        self.encoder.push(pdu);
    }

    /// Processes the received bytes and appends the resulting events.
    ///
    /// # Errors
    /// The session has failed; the connection must be dropped.
    pub fn process(&mut self, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        while let Some(pdu) = self.decoder.next_pdu()? {
            self.on_pdu(pdu, events)?;
        }
        Ok(())
    }

    fn on_pdu(&mut self, pdu: Pdu, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        let has_status = match pdu.opcode() {
            opcode::R2T => false,
            opcode::DATA_IN => pdu.bhs[1] & 1 != 0,
            opcode::NOP_IN => pdu.itt() != RESERVED_TAG,
            _ => true,
        };
        if has_status {
            self.exp_stat_sn = pdu.u32(24).wrapping_add(1);
        }
        if sn_less(self.max_cmd_sn, pdu.u32(32)) || self.phase == Phase::Login {
            self.max_cmd_sn = pdu.u32(32);
        }
        let protocol = |message: &str| Err(InitiatorError::Protocol(message.to_owned()));
        match (pdu.opcode(), &self.phase) {
            (opcode::LOGIN_RESPONSE, Phase::Login) => self.on_login(&pdu, events),
            (_, Phase::Login) => protocol("expected a login response"),
            (opcode::DATA_IN, _) => self.on_data_in(pdu, events),
            (opcode::SCSI_RESPONSE, _) => self.on_response(&pdu, events),
            (opcode::R2T, _) => self.on_r2t(&pdu),
            (opcode::NOP_IN, _) => {
                if pdu.u32(20) != RESERVED_TAG {
                    let mut nop_out = Pdu::new(opcode::NOP_OUT | 0x40, RESERVED_TAG);
                    nop_out.set_u32(20, pdu.u32(20));
                    nop_out.set_lun(pdu.lun());
                    nop_out.set_u32(24, self.cmd_sn);
                    nop_out.set_u32(28, self.exp_stat_sn);
                    self.encoder.push(nop_out);
                }
                Ok(())
            }
            (opcode::TASK_MANAGEMENT_RESPONSE, _) => {
                if let Some(itt) = self.aborts.remove(&pdu.itt()) {
                    self.tasks.remove(&itt);
                    events.push(InitiatorEvent::Aborted(itt, pdu.bhs[2]));
                }
                Ok(())
            }
            (opcode::TEXT_RESPONSE, _) => self.on_text(&pdu, events),
            (opcode::LOGOUT_RESPONSE, _) => {
                events.push(InitiatorEvent::LoggedOut);
                Ok(())
            }
            (opcode::ASYNC, _) => {
                events.push(InitiatorEvent::LogoutRequested);
                Ok(())
            }
            (opcode::REJECT, _) => Err(InitiatorError::Rejected(pdu.bhs[2])),
            (other, _) => protocol(&format!("unexpected opcode 0x{other:02x} from the target")),
        }
    }

    fn on_login(&mut self, pdu: &Pdu, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        if pdu.u16(36) != 0 {
            return Err(InitiatorError::Login(LoginStatus(pdu.u16(36))));
        }
        for (key, value) in text::parse(&pdu.data.to_bytes())? {
            let number = value.parse::<usize>();
            let p = &mut self.params;
            match (key.as_str(), number) {
                ("HeaderDigest", _) => p.header_digest = value == "CRC32C",
                ("DataDigest", _) => p.data_digest = value == "CRC32C",
                ("MaxRecvDataSegmentLength", Ok(n)) if n >= 512 => p.peer_max_data = n,
                ("MaxBurstLength", Ok(n)) if n >= 512 => p.max_burst = n.min(p.max_burst),
                ("FirstBurstLength", Ok(n)) if n >= 512 => p.first_burst = n.min(p.first_burst),
                ("InitialR2T", _) => p.initial_r2t = value != "No",
                ("ImmediateData", _) => p.immediate_data = value == "Yes",
                ("iSCSIProtocolLevel", Ok(n)) => p.protocol_level = n as u32,
                (node_extension::LOGIN_KEY, _) => p.extension = value == "Yes" && self.config.extension,
                _ => {}
            }
        }
        if !pdu.is_final() || pdu.bhs[1] & 3 != STAGES.2 {
            return Err(InitiatorError::Protocol(
                "the target did not complete the login in its first response".to_owned(),
            ));
        }
        self.phase = Phase::FullFeature;
        self.decoder.header_digest = self.params.header_digest;
        self.decoder.data_digest = self.params.data_digest;
        self.encoder.header_digest = self.params.header_digest;
        self.encoder.data_digest = self.params.data_digest;
        events.push(InitiatorEvent::LoggedIn(pdu.u16(14)));
        Ok(())
    }

    fn on_data_in(&mut self, pdu: Pdu, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        let Some(task) = self.tasks.get_mut(&pdu.itt()) else {
            // The task was aborted in the meantime.
            return Ok(());
        };
        // Data from a node that has lost track of its sequence must never be passed on to a client.
        if pdu.u32(36) != task.data_sn || pdu.u32(40) as usize != task.received.len() {
            return Err(InitiatorError::Protocol("Data-In out of order".to_owned()));
        }
        if task.received.len() + pdu.data.len() > task.read_len as usize {
            return Err(InitiatorError::Protocol("more Data-In than the command requested".to_owned()));
        }
        task.data_sn += 1;
        task.received.append(pdu.data.clone());
        if pdu.bhs[1] & 1 != 0 {
            self.complete(&pdu, Bytes::new(), None, events);
        }
        Ok(())
    }

    fn on_response(&mut self, pdu: &Pdu, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        let data = pdu.data.to_bytes();
        let sense = match data.len() {
            0 | 1 => Bytes::new(),
            n => data.slice(2..n.min(2 + usize::from(u16::from_be_bytes([data[0], data[1]])))),
        };
        let report = if self.params.extension { LoadReport::from_ahs(&pdu.ahs) } else { None };
        self.complete(pdu, sense, report, events);
        Ok(())
    }

    fn complete(
        &mut self,
        pdu: &Pdu,
        sense: Bytes,
        report: Option<LoadReport>,
        events: &mut Vec<InitiatorEvent>,
    ) {
        let Some(task) = self.tasks.remove(&pdu.itt()) else { return };
        let residual = match pdu.bhs[1] & 0x06 {
            0x02 => -i64::from(pdu.u32(44)),
            0x04 => i64::from(pdu.u32(44)),
            _ => 0,
        };
        let is_response = pdu.opcode() == opcode::SCSI_RESPONSE;
        // A response code other than 0 means that the command did not complete at the target (RFC 7143,
        // section 11.4.3); it is reported as CHECK CONDITION.
        let status = if is_response && pdu.bhs[2] != 0 { 0x02 } else { pdu.bhs[3] };
        let qualifier = if is_response && self.params.protocol_level >= 2 { pdu.u16(8) } else { 0 };
        events.push(InitiatorEvent::Completed(Box::new(CommandCompletion {
            itt: pdu.itt(),
            status,
            qualifier,
            sense,
            data: task.received,
            report,
            residual,
        })));
    }

    /// Sends the requested bytes of a write in Data-Out PDUs of at most the peer's MaxRecvDataSegmentLength.
    /// Ignores an R2T for a task that is unknown or was aborted. An empty range, or one outside the task's data, is a protocol
    /// error.
    fn on_r2t(&mut self, pdu: &Pdu) -> Result<(), InitiatorError> {
        let Some(task) = self.tasks.get_mut(&pdu.itt()).filter(|task| !task.aborted) else { return Ok(()) };
        let (start, len) = (pdu.u32(40) as usize, pdu.u32(44) as usize);
        if len == 0 || start.saturating_add(len) > task.data_out.len() {
            return Err(InitiatorError::Protocol(format!(
                "R2T for {len} bytes at offset {start}, outside the data"
            )));
        }
        task.data_sent = task.data_sent.max(start + len);
        let (mut offset, mut sn) = (0, 0);
        while offset < len {
            let n = (len - offset).min(self.params.peer_max_data);
            let mut out = Pdu::new(opcode::DATA_OUT, pdu.itt());
            out.bhs[1] = if offset + n == len { 0x80 } else { 0 };
            out.set_lun(pdu.lun());
            out.set_u32(20, pdu.u32(20));
            out.set_u32(28, self.exp_stat_sn);
            out.set_u32(36, sn);
            out.set_u32(40, (start + offset) as u32);
            out.data = task.data_out.slice(start + offset, n);
            self.encoder.push(out);
            (offset, sn) = (offset + n, sn + 1);
        }
        Ok(())
    }

    fn on_text(&mut self, pdu: &Pdu, events: &mut Vec<InitiatorEvent>) -> Result<(), InitiatorError> {
        if self.text_in.len() + pdu.data.len() > 1 << 20 {
            return Err(TextError::TooLong(1 << 20).into());
        }
        pdu.data.chunks().iter().for_each(|p| self.text_in.extend_from_slice(p));
        if pdu.bhs[1] & 0x40 != 0 {
            let mut request = Pdu::new(opcode::TEXT | 0x40, pdu.itt());
            request.set_u32(20, pdu.u32(20));
            request.set_u32(24, self.cmd_sn);
            request.set_u32(28, self.exp_stat_sn);
            self.encoder.push(request);
            return Ok(());
        }
        // The response to SendTargets repeats keys, which `text::parse` rejects, so the pairs are split here.
        let text = std::mem::take(&mut self.text_in);
        let text = std::str::from_utf8(&text).map_err(|_| TextError::Encoding)?;
        let pair = |p: &str| p.split_once('=').map(|(k, v)| (k.to_owned(), v.to_owned()));
        events.push(InitiatorEvent::Text(text.split('\0').filter_map(pair).collect()));
        Ok(())
    }
}
