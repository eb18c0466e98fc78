//! Frames and records: little-endian, nothing between the fields.

use pearfork::{Action, NodeState, Event, ListKind, NodeEntry, AttemptOutcome, Request, AttemptResult};

use pearfork_site::Fields;

/// Reads fields off a record or frame.
struct Cursor<'a> {
    rest: &'a [u8],
    what: &'static str,
}

impl<'a> Cursor<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        if self.rest.len() < n {
            return Err(format!("{}: {} bytes left where {n} are needed", self.what, self.rest.len()));
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
            n => Err(format!("{}: {n} bytes too many", self.what)),
        }
    }
}

/// One batch of events.
pub struct Batch<'a> {
    /// The clock.
    pub now_ms: f64,
    /// Number to answer with.
    pub number: u32,
    left: u32,
    cursor: Cursor<'a>,
}

impl<'a> Batch<'a> {
    pub fn open(body: &'a [u8], count: u32) -> Result<Self, String> {
        let mut cursor = Cursor { rest: body, what: "batch" };
        let now_ms = cursor.f64()?;
        let number = cursor.u32()?;
        Ok(Batch { now_ms, number, left: count, cursor })
    }

    pub fn next_record(&mut self) -> Result<Option<Record<'a>>, String> {
        if self.left == 0 {
            self.cursor.end()?;
            return Ok(None);
        }
        self.left -= 1;
        let code = self.cursor.u16()?;
        let size = self.cursor.u32()? as usize;
        let what = match code {
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
        let mut cursor = Cursor { rest: self.cursor.bytes(size)?, what };
        let who = cursor.u16()?;
        Ok(Some(Record { code, who, cursor }))
    }
}

/// One record, its instance read.
pub struct Record<'a> {
    code: u16,
    pub who: u16,
    cursor: Cursor<'a>,
}

/// What a record says.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    Boot { seed: u64, params: Vec<u8> },
    Kill,
    Event(Event),
}

fn result(rc: u8) -> Result<AttemptResult, String> {
    Ok(match rc {
        0 => AttemptResult::Served,
        1 => AttemptResult::Error,
        2 => AttemptResult::Rejected,
        3 => AttemptResult::TimedOut,
        4 => AttemptResult::ConnectFailed,
        5 => AttemptResult::Reset,
        6 => AttemptResult::Cancelled,
        7 => AttemptResult::NotSent,
        _ => return Err(format!("Response: unknown outcome {rc}")),
    })
}

impl Record<'_> {
    pub fn decode(mut self, fields: Option<&Fields>) -> Result<Incoming, String> {
        let c = &mut self.cursor;
        let event = match self.code {
            1080 => {
                let seed = c.u64()?;
                let n = c.u32()? as usize;
                let params = c.bytes(n)?.to_vec();
                c.end()?;
                return Ok(Incoming::Boot { seed, params });
            }
            1020 => {
                c.end()?;
                return Ok(Incoming::Kill);
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
                let result = result(c.u8()?)?;
                let attempt = c.u16()?;
                let elapsed_ms = c.f64()?;
                let used = c.u16()?;
                let node = c.u32()?;
                let request_ended = c.u8()? != 0;
                let other_hosts_units = f64::from(c.u16()?);
                let n = c.u8()? as usize;
                let report = (0..n).map(|_| c.f32().map(f64::from)).collect::<Result<Vec<_>, _>>()?;
                let told = |at: fn(&Fields) -> Option<usize>| {
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
                    queue: told(|f| f.queue),
                    in_flight: told(|f| f.in_flight),
                    latency_ms: told(|f| f.latency),
                    util: told(|f| f.util),
                })
            }
        };
        c.end()?;
        Ok(Incoming::Event(event))
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

    fn record(&mut self, code: u16, who: u16, parts: &[&[u8]]) {
        let size: usize = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        self.body.extend_from_slice(&code.to_le_bytes());
        self.body.extend_from_slice(&(size as u32).to_le_bytes());
        self.body.extend_from_slice(&who.to_le_bytes());
        for part in parts {
            self.body.extend_from_slice(part);
        }
        self.count += 1;
    }

    fn text(&mut self, code: u16, who: u16, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, who, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
    }

    pub fn internal_error(&mut self, who: u16, text: &str) {
        self.text(1090, who, text);
    }

    pub fn action(&mut self, who: u16, action: &Action) {
        match action {
            // On this wire an attempt goes out in the round in which it is issued: never after its last moment.
            Action::Send { id, node, timeout_ms, .. } => {
                let parts = [&id.to_le_bytes()[..], &node.to_le_bytes(), &timeout_ms.to_le_bytes()];
                self.record(1000, who, &parts);
            }
            Action::Refuse { id, retry_after_ms, .. } => {
                self.record(1010, who, &[&id.to_le_bytes(), &retry_after_ms.to_le_bytes()]);
            }
            Action::Fail { id, .. } => self.record(1020, who, &[&id.to_le_bytes()]),
            Action::Cancel { id, attempt } => {
                self.record(1030, who, &[&id.to_le_bytes(), &attempt.to_le_bytes()]);
            }
            Action::SetTimer { at_ms, label } => {
                self.record(1040, who, &[&at_ms.to_le_bytes(), &label.to_le_bytes()]);
            }
            Action::Watch(on) => self.record(1100, who, &[&[u8::from(*on)]]),
            Action::FetchNodeList => self.record(1110, who, &[]),
            Action::Probe { node } => self.record(1050, who, &[&node.to_le_bytes()]),
            Action::SendMessage { to, bytes } => {
                let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
                let (to, n) = (to.unwrap_or(u16::MAX).to_le_bytes(), (bytes.len() as u16).to_le_bytes());
                self.record(1070, who, &[&to, &n, bytes]);
            }
            Action::CloseIdleConnections { node } => self.record(1060, who, &[&node.to_le_bytes()]),
            Action::Log(text) => self.text(1080, who, text),
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
