//! A node's reply, read into how an attempt ended.

use crate::request::MAX_VALUE;
use bytes::Bytes;
use pearfork::AttemptResult;
use pearfork_drive::NodeReport;
use pearfork_resp::{Reply, ReplyLimits};

/// What a reply of a node may hold.
pub const LIMITS: ReplyLimits = ReplyLimits { line_bytes: 512, bulk_bytes: MAX_VALUE, elements: 3 };

/// How an attempt ended by a node's own word.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// [`AttemptResult::Served`], [`AttemptResult::Error`] or [`AttemptResult::Rejected`].
    pub verdict: AttemptResult,
    /// The value, where served.
    pub value: Option<Bytes>,
    /// What it told besides.
    pub told: NodeReport,
}

/// Reads a reply.
///
/// What is no answer of the protocol has failed and may have run: it is an error, never a value.
pub fn parse(reply: Reply) -> Answer {
    let failed = |told| Answer { verdict: AttemptResult::Error, value: None, told };
    match reply {
        Reply::Array(Some(parts)) => {
            let mut parts = parts.into_iter();
            let Some(Reply::Bulk(Some(value))) = parts.next() else { return failed(NodeReport::default()) };
            let mut told = NodeReport::default();
            for part in parts {
                match part {
                    Reply::Bulk(Some(text)) => figures(&text, &mut told),
                    Reply::Bulk(None) => {}
                    // A third of this kind is no form that a node has: the whole is spoilt.
                    _ => return failed(NodeReport::default()),
                }
            }
            Answer { verdict: AttemptResult::Served, value: Some(value), told }
        }
        Reply::Error(line) => {
            let mut words = line.split(|b| *b == b' ');
            let mut told = NodeReport::default();
            let verdict = match words.next() {
                Some(b"BUSY") => AttemptResult::Rejected,
                _ => AttemptResult::Error,
            };
            words.for_each(|w| figures(w, &mut told));
            Answer { verdict, value: None, told }
        }
        _ => failed(NodeReport::default()),
    }
}

/// Figures in the form `name=number,name=number`. One that can't be read is as if it were not there: the answer that it came with
/// is good all the same.
fn figures(text: &[u8], told: &mut NodeReport) {
    let Ok(text) = std::str::from_utf8(text) else { return };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else { continue };
        match name {
            "used" => told.used_percent = Some(value),
            "cost" => told.other_hosts_units = value,
            "queue" | "pending" => told.queue = Some(value),
            "inflight" | "busy_reqs" => told.in_flight = Some(value),
            "latency_ms" | "svc_ms" => told.latency_ms = Some(value),
            "util" | "cpu_share" => told.util = Some(value),
            _ => {}
        }
    }
}
