//! The wire format: frames of records, little-endian, without padding between fields.

use pearfork::{Action, AttemptOutcome, AttemptResult, Event, ListKind, NodeEntry, NodeState, Request};

use pearfork_site::LoadReportFields;

/// Reads the fields of a record or frame.
struct Cursor<'a> {
    rest: &'a [u8],
    name: &'static str,
}

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.rest.len() < n {
            return Err(format!("{}: {} bytes left where {n} are needed", self.name, self.rest.len()));
        }
        let (head, tail) = self.rest.split_at(n);
        self.rest = tail;
        Ok(head)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_le_bytes)
    }
    fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_le_bytes)
    }
    fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_le_bytes)
    }
    fn f32(&mut self) -> Result<f32, String> {
        self.array().map(f32::from_le_bytes)
    }
    fn f64(&mut self) -> Result<f64, String> {
        self.array().map(f64::from_le_bytes)
    }
    fn end(&self) -> Result<(), String> {
        match self.rest.len() {
            0 => Ok(()),
            n => Err(format!("{}: {n} bytes too many", self.name)),
        }
    }
}

/// One batch of events.
pub struct Batch<'a> {
    /// The time of all its events.
    pub now_ms: f64,
    /// The number that its reply carries.
    pub number: u32,
    records_left: u32,
    cursor: Cursor<'a>,
}

impl<'a> Batch<'a> {
    pub fn parse(body: &'a [u8], count: u32) -> Result<Self, String> {
        let mut cursor = Cursor { rest: body, name: "batch" };
        let now_ms = cursor.f64()?;
        let number = cursor.u32()?;
        Ok(Batch { now_ms, number, records_left: count, cursor })
    }

    pub fn next_record(&mut self) -> Result<Option<Record<'a>>, String> {
        if self.records_left == 0 {
            self.cursor.end()?;
            return Ok(None);
        }
        self.records_left -= 1;
        let code = self.cursor.u16()?;
        let size = self.cursor.u32()? as usize;
        let name = match code {
            1080 => "Boot",
            1050 => "Fleet",
            1010 => "Submit",
            1070 => "Datagram",
            1040 => "StatusBack",
            1030 => "Abandoned",
            1090 => "AckFirst",
            1000 => "Response",
            1060 => "Ring",
            1020 => "Kill",
            _ => return Err(format!("batch {}: unknown event code {code}", self.number)),
        };
        let mut cursor = Cursor { rest: self.cursor.bytes(size)?, name };
        let instance = cursor.u16()?;
        Ok(Some(Record { code, instance, cursor }))
    }
}

/// One record; its instance number is already read.
pub struct Record<'a> {
    code: u16,
    pub instance: u16,
    cursor: Cursor<'a>,
}

/// The content of a record.
#[derive(Debug, PartialEq)]
pub enum Input {
    Boot { seed: u64, params: Vec<u8> },
    Kill,
    Event(Event),
}

fn attempt_result(code: u8) -> Result<AttemptResult, String> {
    Ok(match code {
        0 => AttemptResult::Served,
        1 => AttemptResult::Error,
        2 => AttemptResult::Rejected,
        3 => AttemptResult::TimedOut,
        4 => AttemptResult::ConnectFailed,
        5 => AttemptResult::Reset,
        6 => AttemptResult::Cancelled,
        7 => AttemptResult::NotSent,
        _ => return Err(format!("Response: unknown outcome {code}")),
    })
}

impl Record<'_> {
    pub fn decode(mut self, fields: Option<&LoadReportFields>) -> Result<Input, String> {
        let c = &mut self.cursor;
        let event = match self.code {
            1080 => {
                let seed = c.u64()?;
                let n = c.u32()? as usize;
                let params = c.bytes(n)?.to_vec();
                c.end()?;
                return Ok(Input::Boot { seed, params });
            }
            1020 => {
                c.end()?;
                return Ok(Input::Kill);
            }
            1050 => {
                let _version = c.u64()?;
                let kind = match c.u8()? {
                    0 => ListKind::Changes,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    k => return Err(format!("Fleet: unknown kind {k}")),
                };
                let n = c.u32()?;
                let mut entries = Vec::new();
                for _ in 0..n {
                    let _kind = c.u16()?;
                    let started_ms = c.f64()?;
                    let shard = c.u16()?;
                    let state = match c.u8()? {
                        0 => NodeState::Gone,
                        1 => NodeState::Ready,
                        2 => NodeState::Draining,
                        k => return Err(format!("Fleet: unknown condition {k}")),
                    };
                    let zone = c.u16()?;
                    let node = c.u32()?;
                    let _nominal = c.f32()?;
                    entries.push(NodeEntry { node, shard, zone, state, started_ms });
                }
                Event::NodeList(kind, entries)
            }
            1010 => {
                let (id, class, plan, key) = (c.u32()?, c.u16()?, c.u16()?, c.u64()?);
                let (valid_until_ms, volume) = (c.f64()?, c.u64()?);
                let units = f64::from(c.f32()?);
                let shard = c.f32()?;
                let shard = (shard >= 0.0).then_some(shard as u16);
                let volume_hosts = f64::from(c.f32()?);
                let _bits = c.u8()?;
                Event::Request(Request {
                    id,
                    class,
                    plan,
                    key,
                    valid_until_ms,
                    volume,
                    units,
                    shard,
                    volume_hosts,
                })
            }
            1070 => {
                let from = c.u16()?;
                let n = c.u16()? as usize;
                Event::Message { from, bytes: c.bytes(n)?.to_vec() }
            }
            1040 => {
                let elapsed_ms = c.f64()?;
                let node = c.u32()?;
                let answered = c.u8()? == 0;
                let n = c.u8()? as usize;
                c.bytes(4 * n)?;
                Event::ProbeFinished { node, answered, elapsed_ms }
            }
            1030 => Event::Abandoned { id: c.u32()? },
            1090 => {
                let id = c.u32()?;
                let (_elapsed, _attempt, _node) = (c.f64()?, c.u16()?, c.u32()?);
                Event::ResponseStarted { id }
            }
            1060 => Event::Timer { label: c.u64()? },
            _ => {
                let id = c.u32()?;
                let result = attempt_result(c.u8()?)?;
                let attempt = c.u16()?;
                let elapsed_ms = c.f64()?;
                let used = c.u16()?;
                let node = c.u32()?;
                let request_ended = c.u8()? != 0;
                let other_hosts_units = f64::from(c.u16()?);
                let n = c.u8()? as usize;
                let report = (0..n).map(|_| c.f32().map(f64::from)).collect::<Result<Vec<_>, _>>()?;
                let reported = |at: fn(&LoadReportFields) -> Option<usize>| {
                    fields.and_then(at).and_then(|i| report.get(i)).copied()
                };
                let used_percent = (used > 0).then(|| f64::from(used - 1));
                Event::AttemptEnded(AttemptOutcome {
                    id,
                    attempt,
                    node,
                    result,
                    elapsed_ms,
                    request_ended,
                    used_percent,
                    other_hosts_units,
                    queue: reported(|f| f.queue),
                    in_flight: reported(|f| f.in_flight),
                    latency_ms: reported(|f| f.latency),
                    util: reported(|f| f.util),
                })
            }
        };
        c.end()?;
        Ok(Input::Event(event))
    }
}

/// The reply to one batch.
pub struct Reply {
    number: u32,
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    pub fn new(number: u32) -> Self {
        Reply { number, count: 0, body: Vec::new() }
    }

    fn record(&mut self, code: u16, instance: u16, parts: &[&[u8]]) {
        let size: usize = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        self.body.extend_from_slice(&code.to_le_bytes());
        self.body.extend_from_slice(&(size as u32).to_le_bytes());
        self.body.extend_from_slice(&instance.to_le_bytes());
        for part in parts {
            self.body.extend_from_slice(part);
        }
        self.count += 1;
    }

    fn text(&mut self, code: u16, instance: u16, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, instance, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
    }

    pub fn internal_error(&mut self, instance: u16, text: &str) {
        self.text(1090, instance, text);
    }

    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            // Attempts of this wire format go out in the round in which they are issued, so the write
            // deadline never passes before that.
            Action::Send { id, node, timeout_ms, .. } => {
                let parts = [&id.to_le_bytes()[..], &node.to_le_bytes(), &timeout_ms.to_le_bytes()];
                self.record(1000, instance, &parts);
            }
            Action::Refuse { id, retry_after_ms, .. } => {
                self.record(1010, instance, &[&id.to_le_bytes(), &retry_after_ms.to_le_bytes()]);
            }
            Action::Fail { id, .. } => self.record(1020, instance, &[&id.to_le_bytes()]),
            Action::Cancel { id, attempt } => {
                self.record(1030, instance, &[&id.to_le_bytes(), &attempt.to_le_bytes()]);
            }
            Action::SetTimer { at_ms, label } => {
                self.record(1040, instance, &[&at_ms.to_le_bytes(), &label.to_le_bytes()]);
            }
            Action::Watch(on) => self.record(1100, instance, &[&[u8::from(*on)]]),
            Action::FetchNodeList => self.record(1110, instance, &[]),
            Action::Probe { node } => self.record(1050, instance, &[&node.to_le_bytes()]),
            Action::SendMessage { to, bytes } => {
                let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
                let (to, n) = (to.unwrap_or(u16::MAX).to_le_bytes(), (bytes.len() as u16).to_le_bytes());
                self.record(1070, instance, &[&to, &n, bytes]);
            }
            Action::CloseIdleConnections { node } => self.record(1060, instance, &[&node.to_le_bytes()]),
            Action::Log(text) => self.text(1080, instance, text),
        }
    }

    pub fn finish(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(12 + self.body.len());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&(4 + self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.number.to_le_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}
