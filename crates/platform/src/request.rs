//! A client's command, read into what the module is told, and written anew for a node.

use crate::config::RequestSchema;
use bytes::{Bytes, BytesMut};
use pearfork::Request;
use pearfork_resp::{write, CommandLimits};

/// Most bytes of a value.
pub const MAX_VALUE: usize = 64 * 1024;
/// What a command of a client may hold: five words, of which the last is a value.
pub const COMMAND_LIMITS: CommandLimits =
    CommandLimits { args: 8, arg_bytes: MAX_VALUE, total_bytes: MAX_VALUE + 1024 };
/// Most bytes of the list of names and values.
const MAX_LIST: usize = 512;
/// Most bytes of an id, and hex digits of a piece, a volume, a key.
const DIGITS: usize = 16;
/// Longest time that a client may say it waits, milliseconds: an hour.
const MAX_WAIT_MS: u64 = 3_600_000;

/// Read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `OBJ.GET`.
    Get,
    /// `OBJ.PUT`.
    Put,
}

impl Verb {
    fn word(self) -> &'static [u8] {
        match self {
            Verb::Get => b"OBJ.GET",
            Verb::Put => b"OBJ.PUT",
        }
    }
}

/// A request as a client sent it, checked as a whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked {
    /// Read or write.
    pub verb: Verb,
    /// The client's id for it.
    pub id: Bytes,
    piece: Bytes,
    list: Bytes,
    /// Where the value of `d` stands in the list.
    d: std::ops::Range<usize>,
    body: Bytes,
    /// How long the client waits from its sending, milliseconds.
    pub wait_ms: f64,
    /// Class, plan, volume and size; id and times are the host's to fill in.
    request: Request,
}

/// A command that is no request.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed {
    /// A request.
    Asked(Box<Asked>),
    /// `PING`.
    Ping,
}

/// What is wrong with a command whose frame is whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestFault {
    /// No command of the protocol.
    #[error("unknown command")]
    Command,
    /// Too few or too many words.
    #[error("wrong number of words")]
    Words,
    /// A word or a value of the list.
    #[error("{0} is missing or makes no sense")]
    Field(&'static str),
    /// A class or plan that the settings do not name.
    #[error("unknown {0}")]
    Name(&'static str),
}

fn hex(text: &[u8], field: &'static str) -> Result<u64, RequestFault> {
    let digits = text.len() == DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits);
    text.and_then(|t| u64::from_str_radix(t, 16).ok()).ok_or(RequestFault::Field(field))
}

fn whole(text: &[u8], most: u64, field: &'static str) -> Result<u64, RequestFault> {
    let digits = !text.is_empty() && text.len() <= 10 && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits);
    text.and_then(|t| t.parse().ok()).filter(|n| *n <= most).ok_or(RequestFault::Field(field))
}

fn units(text: &[u8], most: f64) -> Result<f64, RequestFault> {
    let text = std::str::from_utf8(text).ok().filter(|t| t.len() <= 12);
    let units = text.and_then(|t| t.parse::<f64>().ok()).filter(|u| u.is_finite() && *u > 0.0);
    units.filter(|u| *u <= most.max(1.0)).ok_or(RequestFault::Field("units"))
}

/// Reads a command.
///
/// Danger: what a node can't use voids more than the request; only what is whole in every field is passed on.
///
/// # Errors
/// What is wrong with it, for the client's error line.
pub fn parse(words: &[Bytes], vocabulary: &RequestSchema) -> Result<Parsed, RequestFault> {
    let name = words.first().ok_or(RequestFault::Words)?;
    if name.eq_ignore_ascii_case(b"PING") {
        return if words.len() == 1 { Ok(Parsed::Ping) } else { Err(RequestFault::Words) };
    }
    let (verb, expected) = match &name[..] {
        b"OBJ.GET" => (Verb::Get, 4),
        b"OBJ.PUT" => (Verb::Put, 5),
        _ => return Err(RequestFault::Command),
    };
    if words.len() != expected {
        return Err(RequestFault::Words);
    }
    let (piece, id, list) = (&words[1], &words[2], &words[3]);
    let key = hex(piece, "piece")?;
    hex(id, "id")?;
    if list.len() > MAX_LIST {
        return Err(RequestFault::Field("list"));
    }
    let mut named = Named::read(list)?;
    let mut take = |name: &str| named.take(name);
    let class_name = take("c").ok_or(RequestFault::Field("c"))?;
    let class = vocabulary.classes.iter().position(|c| c.name.as_bytes() == &list[class_name.clone()]);
    let class = class.ok_or(RequestFault::Name("class"))?;
    let plan_name = take("t").ok_or(RequestFault::Field("t"))?;
    let plan = vocabulary.plans.iter().position(|p| p.as_bytes() == &list[plan_name.clone()]);
    let plan = plan.ok_or(RequestFault::Name("plan"))?;
    let rule = &vocabulary.classes[class];
    if rule.writes.is_some_and(|w| w != (verb == Verb::Put)) {
        return Err(RequestFault::Field("c"));
    }
    let d = take("d").ok_or(RequestFault::Field("d"))?;
    let wait = whole(&list[d.clone()], MAX_WAIT_MS, "d")?;
    match take("k") {
        Some(k) => drop(hex(&list[k], "k")?),
        None if rule.keyed => return Err(RequestFault::Field("k")),
        None => {}
    }
    let volume = hex(&list[take("volume").ok_or(RequestFault::Field("volume"))?], "volume")?;
    let units = units(&list[take("units").ok_or(RequestFault::Field("units"))?], vocabulary.max_units)?;
    let shard = match &list[take("shard").ok_or(RequestFault::Field("shard"))?] {
        b"-1" => None,
        text => {
            let most = u64::from(vocabulary.shards.checked_sub(1).unwrap_or(u16::MAX));
            Some(whole(text, most, "shard")? as u16)
        }
    };
    let hosts = whole(&list[take("hosts").ok_or(RequestFault::Field("hosts"))?], 1 << 20, "hosts")?;
    Ok(Parsed::Asked(Box::new(Asked {
        verb,
        id: id.clone(),
        piece: piece.clone(),
        list: list.clone(),
        d,
        body: words.get(4).cloned().unwrap_or_default(),
        wait_ms: wait as f64,
        request: Request {
            class: class as u16,
            plan: plan as u16,
            key,
            volume,
            units,
            shard,
            volume_hosts: hosts as f64,
            ..Request::default()
        },
    })))
}

impl Asked {
    /// What the module is told: under the host's number for it, with the time to which its client waits.
    pub fn request(&self, id: u32, valid_until_ms: f64) -> Request {
        Request { id, valid_until_ms, ..self.request }
    }

    /// The command for a node: unchanged but for `d`, how long the host waits, in whole milliseconds, 1 at the least.
    pub fn command(&self, wait_ms: f64) -> Bytes {
        let wait = (wait_ms.clamp(1.0, MAX_WAIT_MS as f64) as u64).to_string();
        let mut list = BytesMut::with_capacity(self.list.len() + 8);
        list.extend_from_slice(&self.list[..self.d.start]);
        list.extend_from_slice(wait.as_bytes());
        list.extend_from_slice(&self.list[self.d.end..]);
        let mut out = BytesMut::with_capacity(self.body.len() + list.len() + 96);
        let words: [&[u8]; 5] = [self.verb.word(), &self.piece, &self.id, &list, &self.body];
        write::command(&mut out, if self.verb == Verb::Put { &words } else { &words[..4] });
        out.freeze()
    }
}

/// Names and the places of their values.
struct Named<'a> {
    list: &'a [u8],
    pairs: Vec<(std::ops::Range<usize>, std::ops::Range<usize>)>,
}

impl<'a> Named<'a> {
    /// Names that this version does not know are the platform's own and pass; a pair that is none, or a name twice, does not.
    fn read(list: &'a [u8]) -> Result<Named<'a>, RequestFault> {
        let mut pairs: Vec<(std::ops::Range<usize>, std::ops::Range<usize>)> = Vec::new();
        let mut from = 0;
        for pair in list.split(|b| *b == b',') {
            let equals = pair.iter().position(|b| *b == b'=').ok_or(RequestFault::Field("list"))?;
            let (name, value) = (from..from + equals, from + equals + 1..from + pair.len());
            let plain = pair.iter().all(|b| b.is_ascii_graphic());
            let twice = pairs.iter().any(|(n, _)| list[n.clone()] == list[name.clone()]);
            if name.is_empty() || !plain || twice {
                return Err(RequestFault::Field("list"));
            }
            pairs.push((name, value));
            from += pair.len() + 1;
        }
        Ok(Named { list, pairs })
    }

    fn take(&mut self, name: &str) -> Option<std::ops::Range<usize>> {
        let at = self.pairs.iter().position(|(n, _)| &self.list[n.clone()] == name.as_bytes())?;
        Some(self.pairs.swap_remove(at).1)
    }
}
