//! Requests other than SCSI commands: task management, NOP-Out, Text and Logout.

use super::{reject_reason, reserve_text, Phase, Target, TargetEvent, TmfFunction};
use crate::bhs::{opcode, Pdu, RESERVED_TAG};
use crate::text::{self, put, MAX_TEXT};
use bytes::Bytes;

impl Target {
    pub(super) fn on_task_management(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        if !self.accept_cmd_sn(pdu, events) {
            return;
        }
        if self.discovery {
            return self.reject(reject_reason::PROTOCOL, &pdu.bhs);
        }
        const COMPLETE: u8 = 0;
        const TASK_DOES_NOT_EXIST: u8 = 1;
        const REASSIGN_NOT_SUPPORTED: u8 = 4;
        const NOT_SUPPORTED: u8 = 5;
        const REJECTED: u8 = 255;
        let lun = pdu.lun();
        let (function, tasks) = match pdu.bhs[1] & 0x7f {
            1 => {
                let tag = pdu.u32(20);
                let tasks = self.task_ids(Some(lun)).into_iter().filter(|id| id.tag == tag).collect();
                (Some(TmfFunction::AbortTask), tasks)
            }
            2 => (Some(TmfFunction::AbortTaskSet), self.task_ids(Some(lun))),
            4 => (Some(TmfFunction::ClearTaskSet), self.task_ids(Some(lun))),
            5 => (Some(TmfFunction::LunReset), self.task_ids(Some(lun))),
            6 | 7 => (Some(TmfFunction::TargetReset), self.task_ids(None)),
            _ => (None, Vec::new()),
        };
        let response_code = match (function, pdu.bhs[1] & 0x7f) {
            (Some(TmfFunction::AbortTask), _) if tasks.is_empty() => TASK_DOES_NOT_EXIST,
            (Some(_), _) => COMPLETE,
            (None, 8) => REASSIGN_NOT_SUPPORTED,
            (None, 3) => NOT_SUPPORTED,
            (None, _) => REJECTED,
        };
        for id in tasks {
            // Only commands that were passed on for execution are reported; a write that still receives data
            // is just dropped.
            if self.remove_task(id).is_some_and(|task| task.executing) {
                events.push(TargetEvent::Aborted(id));
            }
        }
        let mut response = Pdu::new(opcode::TASK_MANAGEMENT_RESPONSE, pdu.itt());
        response.bhs[2] = response_code;
        self.push_status(response);
        if let Some(function) = function.filter(|f| *f != TmfFunction::AbortTask) {
            events.push(TargetEvent::TaskManagement { function, lun });
        }
        if pdu.bhs[1] & 0x7f == 7 {
            self.close("target cold reset".to_owned(), events);
        }
    }

    pub(super) fn on_nop(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if !self.accept_cmd_sn(&pdu, events) || pdu.itt() == RESERVED_TAG {
            return;
        }
        let mut response = Pdu::new(opcode::NOP_IN, pdu.itt());
        response.set_u32(20, RESERVED_TAG);
        response.set_lun(pdu.lun());
        response.data = pdu.data.slice(0, self.params.peer_max_data);
        self.push_status(response);
    }

    /// Sends a NOP-In that the initiator must respond to.
    pub fn ping(&mut self) {
        let mut pdu = Pdu::new(opcode::NOP_IN, RESERVED_TAG);
        pdu.set_u32(20, RESERVED_TAG - 1);
        pdu.set_u32(24, self.stat_sn);
        self.push(pdu);
    }

    /// Asks the initiator to log out within the given number of seconds (Async Message; RFC 7143, section
    /// 11.9).
    pub fn request_logout(&mut self, within_s: u16) {
        if matches!(self.phase, Phase::FullFeature) {
            let mut pdu = Pdu::new(opcode::ASYNC, RESERVED_TAG);
            pdu.bhs[36] = 1;
            pdu.set_u16(42, within_s);
            self.push_status(pdu);
        }
    }

    pub(super) fn on_text(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        if !self.accept_cmd_sn(pdu, events) {
            return;
        }
        if self.text_in.len() + pdu.data.len() > MAX_TEXT {
            self.text_in = Vec::new();
            self.reject(reject_reason::PROTOCOL, &pdu.bhs);
            return self.close(text::TextError::TooLong(MAX_TEXT).to_string(), events);
        }
        if !reserve_text(self.memory.as_deref(), &mut self.text_reservations, pdu) {
            self.text_in = Vec::new();
            return self.reject(reject_reason::OUT_OF_RESOURCES, &pdu.bhs);
        }
        let requests_more = pdu.u32(20) != RESERVED_TAG && pdu.data.is_empty();
        if !requests_more {
            pdu.data.chunks().iter().for_each(|p| self.text_in.extend_from_slice(p));
        }
        let mut response = Pdu::new(opcode::TEXT_RESPONSE, pdu.itt());
        response.set_u32(20, RESERVED_TAG);
        if pdu.bhs[1] & 0x40 != 0 {
            response.bhs[1] = 0;
            response.set_u32(20, 1);
            return self.push_status(response);
        }
        if !requests_more {
            let pairs = match text::parse(&std::mem::take(&mut self.text_in)) {
                Ok(pairs) => pairs,
                Err(e) => {
                    self.reject(reject_reason::PROTOCOL, &pdu.bhs);
                    return self.close(e.to_string(), events);
                }
            };
            self.text_out = self.text_response(&pairs);
        }
        let n = self.text_out.len().min(self.params.peer_max_data);
        response.data = self.text_out.split_to(n).into();
        if !self.text_out.is_empty() {
            response.bhs[1] = 0x40;
            response.set_u32(20, 1);
        }
        self.push_status(response);
    }

    /// Responds to SendTargets; other keys are not understood.
    fn text_response(&self, pairs: &[(String, String)]) -> Bytes {
        let mut out = Vec::new();
        for (key, value) in pairs {
            if key != "SendTargets" {
                put(&mut out, key, "NotUnderstood");
                continue;
            }
            if value == "All" && !self.discovery {
                put(&mut out, key, "Reject");
                continue;
            }
            for (name, address) in self.access.targets(&self.initiator) {
                if value == "All" || value.is_empty() || *value == name {
                    put(&mut out, "TargetName", &name);
                    put(&mut out, "TargetAddress", &format!("{address},1"));
                }
            }
        }
        out.into()
    }

    pub(super) fn on_logout(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        if !self.accept_cmd_sn(pdu, events) {
            return;
        }
        let mut response = Pdu::new(opcode::LOGOUT_RESPONSE, pdu.itt());
        let for_recovery = pdu.bhs[1] & 0x7f == 2;
        response.bhs[2] = if for_recovery { 2 } else { 0 };
        self.push_status(response);
        if !for_recovery {
            self.close("logout".to_owned(), events);
        }
    }
}
