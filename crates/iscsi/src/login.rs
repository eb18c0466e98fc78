//! The target's side of login: stages and negotiation of keys (RFC 7143, sections 6.2, 6.3 and 13).

use crate::bhs::{opcode, Pdu};
use crate::node_extension;
use crate::text::{self, put, TextError, MAX_KEYS, MAX_TEXT};

/// Negotiated session parameters; before login, the defaults of the standard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Params {
    /// Whether headers carry a CRC32C digest.
    pub header_digest: bool,
    /// Whether data segments carry a CRC32C digest.
    pub data_digest: bool,
    /// MaxRecvDataSegmentLength of the peer: maximum data bytes in a PDU sent to it.
    pub peer_max_data: usize,
    /// MaxRecvDataSegmentLength of this end: maximum data bytes in a received PDU.
    pub own_max_data: usize,
    /// MaxBurstLength: maximum data bytes in a Data-In or solicited Data-Out sequence.
    pub max_burst: usize,
    /// FirstBurstLength: maximum data bytes that the initiator sends without an R2T for a command.
    pub first_burst: usize,
    /// InitialR2T: all data other than immediate data requires an R2T.
    pub initial_r2t: bool,
    /// ImmediateData: a command PDU may carry data.
    pub immediate_data: bool,
    /// iSCSIProtocolLevel (RFC 7144): from 2 on, a SCSI Response carries the status qualifier.
    pub protocol_level: u32,
    /// Whether [`crate::node_extension`] is used.
    pub extension: bool,
}

impl Default for Params {
    fn default() -> Self {
        Params {
            header_digest: false,
            data_digest: false,
            peer_max_data: 8192,
            own_max_data: 8192,
            max_burst: 262_144,
            first_burst: 65_536,
            initial_r2t: true,
            immediate_data: true,
            protocol_level: 1,
            extension: false,
        }
    }
}

/// Login status class and detail (RFC 7143, section 11.13.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoginStatus(pub u16);

#[allow(missing_docs)]
impl LoginStatus {
    pub const SUCCESS: Self = LoginStatus(0x0000);
    pub const INITIATOR_ERROR: Self = LoginStatus(0x0200);
    pub const AUTHENTICATION: Self = LoginStatus(0x0201);
    pub const FORBIDDEN: Self = LoginStatus(0x0202);
    pub const NOT_FOUND: Self = LoginStatus(0x0203);
    pub const VERSION: Self = LoginStatus(0x0205);
    pub const TOO_MANY_CONNECTIONS: Self = LoginStatus(0x0206);
    pub const MISSING_PARAMETER: Self = LoginStatus(0x0207);
    pub const SESSION_TYPE: Self = LoginStatus(0x0209);
    pub const NO_SESSION: Self = LoginStatus(0x020a);
    pub const INVALID_REQUEST: Self = LoginStatus(0x020b);
    pub const OUT_OF_RESOURCES: Self = LoginStatus(0x0302);
}

impl std::fmt::Display for LoginStatus {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let description = match *self {
            Self::SUCCESS => "success",
            Self::INITIATOR_ERROR => "initiator error",
            Self::AUTHENTICATION => "authentication failed",
            Self::FORBIDDEN => "initiator not allowed at this target",
            Self::NOT_FOUND => "target not found",
            Self::VERSION => "unsupported version",
            Self::TOO_MANY_CONNECTIONS => "more than one connection in a session",
            Self::MISSING_PARAMETER => "missing parameter",
            Self::SESSION_TYPE => "session type not supported",
            Self::NO_SESSION => "session does not exist",
            Self::INVALID_REQUEST => "invalid request during login",
            Self::OUT_OF_RESOURCES => "out of resources",
            _ => "unknown",
        };
        write!(f, "{description} (0x{:04x})", self.0)
    }
}

/// Decides which targets an initiator sees and may log in to.
pub trait AccessControl: Send + Sync {
    /// The targets that the initiator may discover, with their addresses (`host:port`).
    fn targets(&self, initiator: &str) -> Vec<(String, String)>;
    /// Checks whether the initiator may log in to the target.
    ///
    /// # Errors
    /// The status with which the login is refused.
    fn authorize_login(&self, initiator: &str, target: &str) -> Result<(), LoginStatus>;
    /// Whether the target accepts [`crate::node_extension`].
    fn extension_enabled(&self) -> bool {
        false
    }
}

/// The codes of the two login stages and of the full feature phase (RFC 7143, section 11.12.3).
const SECURITY: u8 = 0;
const OPERATIONAL: u8 = 1;
const FULL_FEATURE: u8 = 3;

/// The largest values that the target offers, in bytes.
const MAX_BURST: usize = 1 << 20;
const FIRST_BURST: usize = 262_144;
/// The target portal group tag of all targets.
const PORTAL_GROUP: &str = "1";

/// The state of a login on the target's side.
#[derive(Debug, Default)]
pub(crate) struct Login {
    /// The MaxRecvDataSegmentLength that the target declares.
    pub(crate) max_data_segment: usize,
    pub(crate) params: Params,
    pub(crate) initiator: Option<String>,
    pub(crate) target: Option<String>,
    pub(crate) discovery: bool,
    pub(crate) isid: [u8; 6],
    first_received: bool,
    stage: u8,
    /// Text of the current request, which may span several PDUs.
    text: Vec<u8>,
    /// Bytes of text received during the login.
    text_total: usize,
    /// Keys received during the login, to reject duplicates.
    keys_seen: Vec<String>,
    /// This end has declared its MaxRecvDataSegmentLength.
    max_data_declared: bool,
}

/// The result of a login request.
pub(crate) enum LoginStep {
    /// The response; the login continues.
    Continue(Pdu),
    /// The response after which the full feature phase begins.
    Complete(Pdu),
    /// The response that refuses the login, and the reason. The connection must be closed.
    Failed(Pdu, String),
}

impl Login {
    pub(crate) fn new(max_data_segment: usize) -> Login {
        Login { max_data_segment, ..Login::default() }
    }

    /// Processes a login request. The session sets StatSN and the command window of the response.
    pub(crate) fn step(&mut self, pdu: &Pdu, tsih: u16, access: &dyn AccessControl) -> LoginStep {
        match self.try_step(pdu, tsih, access) {
            Ok(step) => step,
            Err((status, reason)) => {
                let mut response = self.response(pdu);
                response.bhs[1] = 0;
                response.set_u16(36, status.0);
                LoginStep::Failed(response, format!("{status}: {reason}"))
            }
        }
    }

    fn response(&self, pdu: &Pdu) -> Pdu {
        let mut response = Pdu::new(opcode::LOGIN_RESPONSE, pdu.itt());
        response.bhs[1] = pdu.bhs[1] & 0x0c;
        // The version fields stay 0; ISID and TSIH are copied from the request.
        response.bhs[8..16].copy_from_slice(&pdu.bhs[8..16]);
        response
    }

    fn try_step(
        &mut self,
        pdu: &Pdu,
        tsih: u16,
        access: &dyn AccessControl,
    ) -> Result<LoginStep, (LoginStatus, String)> {
        let fail = |status, reason: &str| Err((status, reason.to_owned()));
        let (transit, continues) = (pdu.is_final(), pdu.bhs[1] & 0x40 != 0);
        let (current_stage, next_stage) = (pdu.bhs[1] >> 2 & 3, pdu.bhs[1] & 3);
        if pdu.bhs[3] != 0 {
            return fail(LoginStatus::VERSION, "unsupported Version-min, must be 0");
        }
        if !self.first_received {
            self.first_received = true;
            self.isid.copy_from_slice(&pdu.bhs[8..14]);
            self.stage = current_stage;
            if pdu.u16(14) != 0 {
                return fail(LoginStatus::NO_SESSION, "TSIH is not 0; only new sessions are accepted");
            }
        } else if pdu.bhs[8..14] != self.isid {
            return fail(LoginStatus::INVALID_REQUEST, "ISID changed during login");
        }
        if current_stage != self.stage || current_stage > OPERATIONAL {
            return fail(LoginStatus::INVALID_REQUEST, "current stage out of order");
        }
        if transit && (continues || next_stage <= current_stage || next_stage == 2) {
            return fail(LoginStatus::INVALID_REQUEST, "invalid transit to the next stage");
        }
        self.text_total += pdu.data.len();
        if self.text_total > MAX_TEXT {
            return fail(LoginStatus::INITIATOR_ERROR, &TextError::TooLong(MAX_TEXT).to_string());
        }
        pdu.data.chunks().iter().for_each(|c| self.text.extend_from_slice(c));
        let mut response = self.response(pdu);
        if continues {
            return Ok(LoginStep::Continue(response));
        }
        let pairs = text::parse(&std::mem::take(&mut self.text))
            .map_err(|e| (LoginStatus::INITIATOR_ERROR, e.to_string()))?;
        let mut out = Vec::new();
        for (key, value) in &pairs {
            if self.keys_seen.len() > MAX_KEYS {
                let error = TextError::TooManyKeys(MAX_KEYS).to_string();
                return fail(LoginStatus::INITIATOR_ERROR, &error);
            }
            if self.keys_seen.contains(key) {
                return fail(LoginStatus::INITIATOR_ERROR, &TextError::DuplicateKey(key.clone()).to_string());
            }
            self.keys_seen.push(key.clone());
            self.negotiate_key(key, value, access, &mut out)?;
        }
        self.check_names(access, &mut out)?;
        if current_stage == OPERATIONAL && !self.max_data_declared {
            self.max_data_declared = true;
            put(&mut out, "MaxRecvDataSegmentLength", &self.max_data_segment.to_string());
            self.params.own_max_data = self.max_data_segment;
        }
        response.data = out.into();
        if transit {
            response.bhs[1] |= 0x80 | next_stage;
            self.stage = next_stage;
            if next_stage == FULL_FEATURE {
                response.set_u16(14, tsih);
                return Ok(LoginStep::Complete(response));
            }
        }
        Ok(LoginStep::Continue(response))
    }

    /// Checks the names of initiator and target, once the first complete text has been received.
    fn check_names(
        &mut self,
        access: &dyn AccessControl,
        out: &mut Vec<u8>,
    ) -> Result<(), (LoginStatus, String)> {
        // Marks that the names were checked; a key never contains NUL, so none can equal this entry.
        if self.keys_seen.iter().any(|k| k == "\0identified") {
            return Ok(());
        }
        self.keys_seen.push("\0identified".to_owned());
        let initiator = self.initiator.as_deref().filter(|n| !n.is_empty());
        let Some(initiator) = initiator else {
            return Err((LoginStatus::MISSING_PARAMETER, "InitiatorName missing".to_owned()));
        };
        if !self.discovery {
            let Some(target) = self.target.as_deref() else {
                return Err((LoginStatus::MISSING_PARAMETER, "TargetName missing".to_owned()));
            };
            access
                .authorize_login(initiator, target)
                .map_err(|s| (s, format!("{initiator:.223} at {target:.223}")))?;
            put(out, "TargetPortalGroupTag", PORTAL_GROUP);
        }
        Ok(())
    }

    /// Processes a key and appends the reply, if the key requires one.
    fn negotiate_key(
        &mut self,
        key: &str,
        value: &str,
        access: &dyn AccessControl,
        out: &mut Vec<u8>,
    ) -> Result<(), (LoginStatus, String)> {
        let p = &mut self.params;
        let length =
            |max: u32| value.parse::<u32>().ok().filter(|n| (512..=max).contains(n)).map(|n| n as usize);
        let boolean = match value {
            "Yes" => Some(true),
            "No" => Some(false),
            _ => None,
        };
        let reply = match key {
            "InitiatorName" => {
                self.initiator = Some(value.to_ascii_lowercase());
                return Ok(());
            }
            "TargetName" => {
                self.target = Some(value.to_ascii_lowercase());
                return Ok(());
            }
            "InitiatorAlias" => return Ok(()),
            "SessionType" => {
                self.discovery = match value {
                    "Discovery" => true,
                    "Normal" => false,
                    _ => return Err((LoginStatus::SESSION_TYPE, format!("SessionType={value:.40}"))),
                };
                return Ok(());
            }
            "AuthMethod" => {
                if !value.split(',').any(|m| m == "None") {
                    return Err((
                        LoginStatus::AUTHENTICATION,
                        format!("AuthMethod={value:.40}, only None is supported"),
                    ));
                }
                "None".to_owned()
            }
            "HeaderDigest" | "DataDigest" => match value.split(',').find(|d| matches!(*d, "CRC32C" | "None"))
            {
                Some(digest) => {
                    let on = digest == "CRC32C";
                    *(if key == "HeaderDigest" { &mut p.header_digest } else { &mut p.data_digest }) = on;
                    digest.to_owned()
                }
                None => "Reject".to_owned(),
            },
            // Declared, not negotiated, so there is no reply (RFC 7143, section 13.12).
            "MaxRecvDataSegmentLength" => match length(0xff_ffff) {
                Some(n) => {
                    p.peer_max_data = n;
                    return Ok(());
                }
                None => "Reject".to_owned(),
            },
            "MaxBurstLength" => match length(0xff_ffff) {
                Some(n) => {
                    p.max_burst = n.min(MAX_BURST);
                    p.first_burst = p.first_burst.min(p.max_burst);
                    p.max_burst.to_string()
                }
                None => "Reject".to_owned(),
            },
            "FirstBurstLength" => match length(0xff_ffff) {
                Some(n) => {
                    p.first_burst = n.min(FIRST_BURST).min(p.max_burst);
                    p.first_burst.to_string()
                }
                None => "Reject".to_owned(),
            },
            "InitialR2T" | "ImmediateData" => match boolean {
                Some(yes) => {
                    *(if key == "InitialR2T" { &mut p.initial_r2t } else { &mut p.immediate_data }) = yes;
                    value.to_owned()
                }
                None => "Reject".to_owned(),
            },
            "MaxConnections" | "MaxOutstandingR2T" if value.parse::<u16>().is_ok_and(|n| n >= 1) => {
                "1".to_owned()
            }
            "ErrorRecoveryLevel" if matches!(value, "0" | "1" | "2") => "0".to_owned(),
            "DefaultTime2Wait" if value.parse::<u16>().is_ok_and(|n| n <= 3600) => {
                value.parse::<u16>().unwrap_or(0).max(2).to_string()
            }
            "DefaultTime2Retain" if value.parse::<u16>().is_ok_and(|n| n <= 3600) => "0".to_owned(),
            "DataPDUInOrder" | "DataSequenceInOrder" if boolean.is_some() => "Yes".to_owned(),
            "TaskReporting" if value.split(',').any(|v| v == "RFC3720") => "RFC3720".to_owned(),
            "iSCSIProtocolLevel" => match value.parse::<u32>() {
                Ok(n) if n <= 31 => {
                    p.protocol_level = n.min(2);
                    p.protocol_level.to_string()
                }
                _ => "Reject".to_owned(),
            },
            "IFMarker" | "OFMarker" => "No".to_owned(),
            "MaxConnections"
            | "MaxOutstandingR2T"
            | "ErrorRecoveryLevel"
            | "DefaultTime2Wait"
            | "DefaultTime2Retain"
            | "DataPDUInOrder"
            | "DataSequenceInOrder"
            | "TaskReporting"
            | "IFMarkInt"
            | "OFMarkInt" => "Reject".to_owned(),
            node_extension::LOGIN_KEY if access.extension_enabled() => {
                p.extension = value == "Yes";
                if p.extension { "Yes" } else { "No" }.to_owned()
            }
            _ => "NotUnderstood".to_owned(),
        };
        put(out, key, &reply);
        Ok(())
    }
}

/// Byte 1 of a login request with the T (transit) bit, the current stage and the next stage.
pub(crate) fn login_flags(current_stage: u8, next_stage: u8) -> u8 {
    0x80 | current_stage << 2 | next_stage
}

/// The codes of the security stage, the operational stage and the full feature phase.
pub(crate) const STAGES: (u8, u8, u8) = (SECURITY, OPERATIONAL, FULL_FEATURE);
