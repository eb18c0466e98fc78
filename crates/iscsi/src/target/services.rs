//! What a session answers beside commands: task management, pings, text, logout.

use super::{reason, Phase, Target, TargetEvent, TaskTag, TmfFunction};
use crate::bhs::{opcode, Pdu, RESERVED_TAG};
use crate::text::{self, put, MAX_TEXT};
use bytes::Bytes;

impl Target {
    pub(super) fn on_task_management(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        if !self.in_order(pdu, events) {
            return;
        }
        if self.discovery {
            return self.reject(reason::PROTOCOL, &pdu.bhs);
        }
        const COMPLETE: u8 = 0;
        const NO_TASK: u8 = 1;
        const REASSIGN_NOT_SUPPORTED: u8 = 4;
        const NOT_SUPPORTED: u8 = 5;
        const REJECTED: u8 = 255;
        let lun = pdu.lun();
        let (function, tags) = match pdu.bhs[1] & 0x7f {
            1 => {
                let tag = TaskTag(pdu.u32(20));
                (
                    Some(TmfFunction::AbortTask),
                    self.tags(Some(lun)).into_iter().filter(|t| *t == tag).collect(),
                )
            }
            2 => (Some(TmfFunction::AbortTaskSet), self.tags(Some(lun))),
            4 => (Some(TmfFunction::ClearTaskSet), self.tags(Some(lun))),
            5 => (Some(TmfFunction::LunReset), self.tags(Some(lun))),
            6 | 7 => (Some(TmfFunction::TargetReset), self.tags(None)),
            _ => (None, Vec::new()),
        };
        let answer = match (function, pdu.bhs[1] & 0x7f) {
            (Some(TmfFunction::AbortTask), _) if tags.is_empty() => NO_TASK,
            (Some(_), _) => COMPLETE,
            (None, 8) => REASSIGN_NOT_SUPPORTED,
            (None, 3) => NOT_SUPPORTED,
            (None, _) => REJECTED,
        };
        for tag in &tags {
            // Only what was handed over is known outside; a write still collecting data is dropped here.
            if self.tasks.remove(&tag.0).is_some_and(|t| t.running) {
                events.push(TargetEvent::Aborted(*tag));
            }
        }
        let mut response = Pdu::new(opcode::TASK_MANAGEMENT_RESPONSE, pdu.itt());
        response.bhs[2] = answer;
        self.push_status(response);
        if let Some(function) = function.filter(|f| *f != TmfFunction::AbortTask) {
            events.push(TargetEvent::TaskManagement { function, lun });
        }
        if pdu.bhs[1] & 0x7f == 7 {
            self.close("target cold reset".to_owned(), events);
        }
    }

    pub(super) fn on_nop(&mut self, pdu: Pdu, events: &mut Vec<TargetEvent>) {
        if !self.in_order(&pdu, events) || pdu.itt() == RESERVED_TAG {
            return;
        }
        let mut pong = Pdu::new(opcode::NOP_IN, pdu.itt());
        pong.set_u32(20, RESERVED_TAG);
        pong.set_lun(pdu.lun());
        pong.data = pdu.data.slice(0, self.params.peer_max_data);
        self.push_status(pong);
    }

    /// Asks the initiator for a sign of life.
    pub fn ping(&mut self) {
        let mut pdu = Pdu::new(opcode::NOP_IN, RESERVED_TAG);
        pdu.set_u32(20, RESERVED_TAG - 1);
        pdu.set_u32(24, self.stat_sn);
        self.push(pdu);
    }

    /// Asks the initiator to log out within so many seconds (Async Message, RFC 7143, section 11.9).
    pub fn request_logout(&mut self, within_s: u16) {
        if matches!(self.phase, Phase::Full) {
            let mut pdu = Pdu::new(opcode::ASYNC, RESERVED_TAG);
            pdu.bhs[36] = 1;
            pdu.set_u16(42, within_s);
            self.push_status(pdu);
        }
    }

    pub(super) fn on_text(&mut self, pdu: &Pdu, events: &mut Vec<TargetEvent>) {
        if !self.in_order(pdu, events) {
            return;
        }
        if self.text_in.len() + pdu.data.len() > MAX_TEXT {
            self.text_in = Vec::new();
            self.reject(reason::PROTOCOL, &pdu.bhs);
            return self.close(text::TextError::TooLong(MAX_TEXT).to_string(), events);
        }
        let asks_for_rest = pdu.u32(20) != RESERVED_TAG && pdu.data.is_empty();
        if !asks_for_rest {
            pdu.data.chunks().iter().for_each(|p| self.text_in.extend_from_slice(p));
        }
        let mut answer = Pdu::new(opcode::TEXT_RESPONSE, pdu.itt());
        answer.set_u32(20, RESERVED_TAG);
        if pdu.bhs[1] & 0x40 != 0 {
            answer.bhs[1] = 0;
            answer.set_u32(20, 1);
            return self.push_status(answer);
        }
        if !asks_for_rest {
            let pairs = match text::parse(&std::mem::take(&mut self.text_in)) {
                Ok(pairs) => pairs,
                Err(e) => {
                    self.reject(reason::PROTOCOL, &pdu.bhs);
                    return self.close(e.to_string(), events);
                }
            };
            self.text_out = self.text_answer(&pairs);
        }
        let n = self.text_out.len().min(self.params.peer_max_data);
        answer.data = self.text_out.split_to(n).into();
        if !self.text_out.is_empty() {
            answer.bhs[1] = 0x40;
            answer.set_u32(20, 1);
        }
        self.push_status(answer);
    }

    fn text_answer(&self, pairs: &[(String, String)]) -> Bytes {
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
        if !self.in_order(pdu, events) {
            return;
        }
        let mut answer = Pdu::new(opcode::LOGOUT_RESPONSE, pdu.itt());
        let recovery = pdu.bhs[1] & 0x7f == 2;
        answer.bhs[2] = if recovery { 2 } else { 0 };
        self.push_status(answer);
        if !recovery {
            self.close("logout".to_owned(), events);
        }
    }
}
