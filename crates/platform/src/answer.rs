//! A node's reply, read into how an attempt ended.

use crate::request::MAX_VALUE;
use bytes::Bytes;
use pearfork::Verdict;
use pearfork_drive::Told;
use pearfork_resp::{Reply, ReplyLimits};

/// What a reply of a node may hold.
pub const REPLY: ReplyLimits = ReplyLimits { line: 512, bulk: MAX_VALUE, elements: 3 };

/// How an attempt ended by a node's own word.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// [`Verdict::Served`], [`Verdict::Error`] or [`Verdict::Full`].
    pub verdict: Verdict,
    /// The value, where served.
    pub value: Option<Bytes>,
    /// What it told besides.
    pub told: Told,
}

/// Reads a reply.
///
/// What is no answer of the protocol has failed and may have run: it is an error, never a value.
pub fn read(reply: Reply) -> Answer {
    let failed = |told| Answer { verdict: Verdict::Error, value: None, told };
    match reply {
        Reply::Array(Some(parts)) => {
            let mut parts = parts.into_iter();
            let Some(Reply::Bulk(Some(value))) = parts.next() else { return failed(Told::default()) };
            let mut told = Told::default();
            for part in parts {
                match part {
                    Reply::Bulk(Some(text)) => figures(&text, &mut told),
                    Reply::Bulk(None) => {}
                    // A third of this kind is no form that a node has: the whole is spoilt.
                    _ => return failed(Told::default()),
                }
            }
            Answer { verdict: Verdict::Served, value: Some(value), told }
        }
        Reply::Error(line) => {
            let mut words = line.split(|b| *b == b' ');
            let mut told = Told::default();
            let verdict = match words.next() {
                Some(b"BUSY") => Verdict::Full,
                _ => Verdict::Error,
            };
            words.for_each(|w| figures(w, &mut told));
            Answer { verdict, value: None, told }
        }
        _ => failed(Told::default()),
    }
}

/// Figures in the form `name=number,name=number`. One that can't be read is as if it were not there: the answer that it came with
/// is good all the same.
fn figures(text: &[u8], told: &mut Told) {
    let Ok(text) = std::str::from_utf8(text) else { return };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else { continue };
        match name {
            "used" => told.used_percent = Some(value),
            "cost" => told.foreign_units = value,
            "queue" | "pending" => told.queue = Some(value),
            "inflight" | "busy_reqs" => told.in_flight = Some(value),
            "latency_ms" | "svc_ms" => told.latency_ms = Some(value),
            "util" | "cpu_share" => told.util = Some(value),
            _ => {}
        }
    }
}
