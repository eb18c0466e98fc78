//! Parses and validates the commands of clients, and encodes them for nodes.

use crate::config::RequestSchema;
use bytes::{Bytes, BytesMut};
use pearfork::Request;
use pearfork_resp::{write, CommandLimits};

/// Maximum size of an object's value in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Size limits for a client's command, which has up to five arguments, the last of them a value.
pub const COMMAND_LIMITS: CommandLimits =
    CommandLimits { args: 8, arg_bytes: MAX_VALUE_BYTES, total_bytes: MAX_VALUE_BYTES + 1024 };
/// Maximum size of the attribute list in bytes.
const MAX_ATTRIBUTES_BYTES: usize = 512;
/// Length of an id, an object, a volume and a key in hexadecimal digits.
const HEX_DIGITS: usize = 16;
/// Maximum time that a client may state it waits, in milliseconds: one hour.
const MAX_WAIT_MS: u64 = 3_600_000;

/// The operation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `OBJ.GET`.
    Get,
    /// `OBJ.PUT`.
    Put,
}

impl Verb {
    fn name(self) -> &'static [u8] {
        match self {
            Verb::Get => b"OBJ.GET",
            Verb::Put => b"OBJ.PUT",
        }
    }
}

/// A validated request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The operation.
    pub verb: Verb,
    /// The client's id of the request.
    pub id: Bytes,
    piece: Bytes,
    attribute_list: Bytes,
    /// Range of the value of `d` within the attribute list.
    wait_range: std::ops::Range<usize>,
    body: Bytes,
    /// How long the client waits after sending the request, in milliseconds.
    pub wait_ms: f64,
    /// Class, plan, volume and cost; the host adds its own id and the deadline.
    template: Request,
}

/// A valid command.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCommand {
    /// A request for an object.
    Request(Box<ClientRequest>),
    /// `PING`.
    Ping,
}

/// Error in a command whose RESP frame is valid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The command is not part of the protocol.
    #[error("unknown command")]
    UnknownCommand,
    /// Too few or too many arguments.
    #[error("wrong number of words")]
    ArgumentCount,
    /// An argument or attribute is missing or invalid.
    #[error("{0} is missing or makes no sense")]
    InvalidField(&'static str),
    /// A class or plan that is not in the settings.
    #[error("unknown {0}")]
    UnknownName(&'static str),
}

fn parse_hex(text: &[u8], field: &'static str) -> Result<u64, RequestError> {
    let digits = text.len() == HEX_DIGITS && text.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits);
    text.and_then(|t| u64::from_str_radix(t, 16).ok()).ok_or(RequestError::InvalidField(field))
}

fn parse_integer(text: &[u8], max: u64, field: &'static str) -> Result<u64, RequestError> {
    let digits = !text.is_empty() && text.len() <= 10 && text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits);
    text.and_then(|t| t.parse().ok()).filter(|n| *n <= max).ok_or(RequestError::InvalidField(field))
}

fn parse_units(text: &[u8], max: f64) -> Result<f64, RequestError> {
    let text = std::str::from_utf8(text).ok().filter(|t| t.len() <= 12);
    let units = text.and_then(|t| t.parse::<f64>().ok()).filter(|u| u.is_finite() && *u > 0.0);
    units.filter(|u| *u <= max.max(1.0)).ok_or(RequestError::InvalidField("units"))
}

/// Copies arguments into one allocation of their size. The received ones are slices of a larger buffer, all of
/// which would stay in memory with the smallest of them.
fn copy_compact(args: &[Bytes]) -> Vec<Bytes> {
    let mut copy = BytesMut::with_capacity(args.iter().map(Bytes::len).sum());
    args.iter().for_each(|arg| copy.extend_from_slice(arg));
    let mut copy = copy.freeze();
    args.iter().map(|arg| copy.split_to(arg.len())).collect()
}

/// Parses and validates a command.
///
/// Every field is validated before the command is forwarded, since a command that a node cannot use does harm
/// beyond this one request.
///
/// # Errors
/// The text for the client's error reply.
pub fn parse(args: &[Bytes], schema: &RequestSchema) -> Result<ClientCommand, RequestError> {
    let name = args.first().ok_or(RequestError::ArgumentCount)?;
    if name.eq_ignore_ascii_case(b"PING") {
        return if args.len() == 1 { Ok(ClientCommand::Ping) } else { Err(RequestError::ArgumentCount) };
    }
    let (verb, expected) = match &name[..] {
        b"OBJ.GET" => (Verb::Get, 4),
        b"OBJ.PUT" => (Verb::Put, 5),
        _ => return Err(RequestError::UnknownCommand),
    };
    if args.len() != expected {
        return Err(RequestError::ArgumentCount);
    }
    let args = &copy_compact(args);
    let (piece, id, attribute_list) = (&args[1], &args[2], &args[3]);
    let key = parse_hex(piece, "piece")?;
    parse_hex(id, "id")?;
    if attribute_list.len() > MAX_ATTRIBUTES_BYTES {
        return Err(RequestError::InvalidField("list"));
    }
    let mut attributes = Attributes::parse(attribute_list)?;
    let mut take = |name: &str| attributes.take(name);
    let class_name = take("c").ok_or(RequestError::InvalidField("c"))?;
    let class = schema.classes.iter().position(|c| c.name.as_bytes() == &attribute_list[class_name.clone()]);
    let class = class.ok_or(RequestError::UnknownName("class"))?;
    let plan_name = take("t").ok_or(RequestError::InvalidField("t"))?;
    let plan = schema.plans.iter().position(|p| p.as_bytes() == &attribute_list[plan_name.clone()]);
    let plan = plan.ok_or(RequestError::UnknownName("plan"))?;
    let class_schema = &schema.classes[class];
    if class_schema.is_write.is_some_and(|w| w != (verb == Verb::Put)) {
        return Err(RequestError::InvalidField("c"));
    }
    let wait_range = take("d").ok_or(RequestError::InvalidField("d"))?;
    let wait = parse_integer(&attribute_list[wait_range.clone()], MAX_WAIT_MS, "d")?;
    match take("k") {
        Some(k) => drop(parse_hex(&attribute_list[k], "k")?),
        None if class_schema.requires_key => return Err(RequestError::InvalidField("k")),
        None => {}
    }
    let volume =
        parse_hex(&attribute_list[take("volume").ok_or(RequestError::InvalidField("volume"))?], "volume")?;
    let units = parse_units(
        &attribute_list[take("units").ok_or(RequestError::InvalidField("units"))?],
        schema.max_units,
    )?;
    let shard = match &attribute_list[take("shard").ok_or(RequestError::InvalidField("shard"))?] {
        b"-1" => None,
        text => {
            let max = u64::from(schema.shard_count.checked_sub(1).unwrap_or(u16::MAX));
            Some(parse_integer(text, max, "shard")? as u16)
        }
    };
    let hosts = parse_integer(
        &attribute_list[take("hosts").ok_or(RequestError::InvalidField("hosts"))?],
        1 << 20,
        "hosts",
    )?;
    Ok(ClientCommand::Request(Box::new(ClientRequest {
        verb,
        id: id.clone(),
        piece: piece.clone(),
        attribute_list: attribute_list.clone(),
        wait_range,
        body: args.get(4).cloned().unwrap_or_default(),
        wait_ms: wait as f64,
        template: Request {
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

impl ClientRequest {
    /// Size of the command in bytes.
    pub fn command_bytes(&self) -> usize {
        self.id.len() + self.piece.len() + self.attribute_list.len() + self.body.len()
    }

    /// The request for the scheduler, with the host's own id and deadline.
    pub fn scheduler_request(&self, id: u32, valid_until_ms: f64) -> Request {
        Request { id, valid_until_ms, ..self.template }
    }

    /// Encodes the command for a node. It is the client's command with `d` set to the time that the host
    /// waits, in whole milliseconds and at least 1.
    pub fn command(&self, wait_ms: f64) -> Bytes {
        let wait = (wait_ms.clamp(1.0, MAX_WAIT_MS as f64) as u64).to_string();
        let mut attribute_list = BytesMut::with_capacity(self.attribute_list.len() + 8);
        attribute_list.extend_from_slice(&self.attribute_list[..self.wait_range.start]);
        attribute_list.extend_from_slice(wait.as_bytes());
        attribute_list.extend_from_slice(&self.attribute_list[self.wait_range.end..]);
        let mut out = BytesMut::with_capacity(self.body.len() + attribute_list.len() + 96);
        let args: [&[u8]; 5] = [self.verb.name(), &self.piece, &self.id, &attribute_list, &self.body];
        write::command(&mut out, if self.verb == Verb::Put { &args } else { &args[..4] });
        out.freeze()
    }
}

/// The attribute list: ranges of the names and values within it.
struct Attributes<'a> {
    attribute_list: &'a [u8],
    pairs: Vec<(std::ops::Range<usize>, std::ops::Range<usize>)>,
}

impl<'a> Attributes<'a> {
    /// Splits an attribute list. Unknown names belong to the platform and are accepted; malformed pairs and
    /// duplicate names are errors.
    fn parse(attribute_list: &'a [u8]) -> Result<Attributes<'a>, RequestError> {
        let mut pairs: Vec<(std::ops::Range<usize>, std::ops::Range<usize>)> = Vec::new();
        let mut from = 0;
        for pair in attribute_list.split(|b| *b == b',') {
            let equals = pair.iter().position(|b| *b == b'=').ok_or(RequestError::InvalidField("list"))?;
            let (name, value) = (from..from + equals, from + equals + 1..from + pair.len());
            let plain = pair.iter().all(|b| b.is_ascii_graphic());
            let twice = pairs.iter().any(|(n, _)| attribute_list[n.clone()] == attribute_list[name.clone()]);
            if name.is_empty() || !plain || twice {
                return Err(RequestError::InvalidField("list"));
            }
            pairs.push((name, value));
            from += pair.len() + 1;
        }
        Ok(Attributes { attribute_list, pairs })
    }

    fn take(&mut self, name: &str) -> Option<std::ops::Range<usize>> {
        let at = self.pairs.iter().position(|(n, _)| &self.attribute_list[n.clone()] == name.as_bytes())?;
        Some(self.pairs.swap_remove(at).1)
    }
}
