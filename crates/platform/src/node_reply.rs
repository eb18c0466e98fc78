//! Converts the RESP reply of a node into the outcome of an attempt.

use crate::request::MAX_VALUE_BYTES;
use bytes::Bytes;
use pearfork::AttemptResult;
use pearfork_drive::NodeReport;
use pearfork_resp::{Reply, ReplyLimits};

/// Size limits for the reply of a node.
pub const LIMITS: ReplyLimits = ReplyLimits { line_bytes: 512, bulk_bytes: MAX_VALUE_BYTES, elements: 3 };

/// Outcome of an attempt that its node replied to.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeReply {
    /// One of [`AttemptResult::Served`], [`AttemptResult::Error`] and [`AttemptResult::Rejected`].
    pub result: AttemptResult,
    /// The value of the object, if the attempt was served.
    pub value: Option<Bytes>,
    /// The load figures that the node reported with its reply.
    pub report: NodeReport,
}

/// Interprets a reply.
///
/// A reply that is not part of the protocol counts as an error of an attempt that may have run, never as a
/// value.
pub fn parse(reply: Reply) -> NodeReply {
    let failed = |report| NodeReply { result: AttemptResult::Error, value: None, report };
    match reply {
        Reply::Array(Some(parts)) => {
            let mut parts = parts.into_iter();
            let Some(Reply::Bulk(Some(value))) = parts.next() else { return failed(NodeReport::default()) };
            let mut report = NodeReport::default();
            for part in parts {
                match part {
                    Reply::Bulk(Some(text)) => parse_load_figures(&text, &mut report),
                    Reply::Bulk(None) => {}
                    // The protocol has no third part of another type, so the whole reply counts as malformed.
                    _ => return failed(NodeReport::default()),
                }
            }
            NodeReply { result: AttemptResult::Served, value: Some(value), report }
        }
        Reply::Error(line) => {
            let mut words = line.split(|b| *b == b' ');
            let mut report = NodeReport::default();
            let result = match words.next() {
                Some(b"BUSY") => AttemptResult::Rejected,
                _ => AttemptResult::Error,
            };
            words.for_each(|w| parse_load_figures(w, &mut report));
            NodeReply { result, value: None, report }
        }
        _ => failed(NodeReport::default()),
    }
}

/// Parses load figures of the form `name=number,name=number`. A figure that cannot be parsed is ignored; the
/// reply that carried it stays valid.
fn parse_load_figures(text: &[u8], report: &mut NodeReport) {
    let Ok(text) = std::str::from_utf8(text) else { return };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else { continue };
        match name {
            "used" => report.used_percent = Some(value),
            "cost" => report.other_hosts_units = value,
            "queue" | "pending" => report.queue = Some(value),
            "inflight" | "busy_reqs" => report.in_flight = Some(value),
            "latency_ms" | "svc_ms" => report.latency_ms = Some(value),
            "util" | "cpu_share" => report.util = Some(value),
            _ => {}
        }
    }
}
