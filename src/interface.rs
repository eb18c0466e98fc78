//! Settings, events and actions: all that passes between a host and its [`crate::Scheduler`].
//!
//! Times are milliseconds of the caller's clock, which has no particular origin and only advances.
//! This file describes; decisions are taken in `scheduler.rs` and `envelope.rs`.

/// Whether repeating a request can do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key; the nodes of one group drop a repeat for a while.
    Keyed,
    /// Must not run twice.
    Unsafe,
}

/// The set of nodes that recognise a keyed request as a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes that hold one shard.
    Shard,
}

/// What an operator asks for the attempts of a class; by default all is left to the module.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptPolicy {
    /// Time-out of one attempt; 0: until the client gives up.
    pub attempt_timeout_ms: f64,
    /// Attempts of one request; 0: as many as the settings allow.
    pub attempts: u32,
    /// Least pause before a further attempt.
    pub retry_delay_ms: f64,
    /// Most that is added to the pause, drawn at random.
    pub retry_jitter_ms: f64,
    /// One second attempt goes out beside a first that has no answer after so long; 0: none.
    pub hedge_after_ms: f64,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim_ms: f64,
    /// How long a client waits over all its tries.
    pub deadline_ms: f64,
    /// Worth of one request of mean size.
    pub worth: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether a repeat can do harm.
    pub effect: Effect,
    /// For keyed classes: who drops repeats.
    pub group: Group,
    /// For keyed classes: for how long after the first send they do.
    pub window_ms: f64,
    /// Whether requests that share a data item run one at a time, in order of acceptance.
    pub ordered: bool,
    /// What is asked for its attempts.
    pub attempt_policy: AttemptPolicy,
}

/// A plan: figures for each of its volumes, over all hosts and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second for which a volume is sized.
    pub nominal: f64,
    /// Units a second that earn full worth; 0 for none.
    pub reserve: f64,
    /// Part in the capacity beyond the reserves.
    pub weight: f64,
    /// Factor on worth.
    pub worth_factor: f64,
    /// Units a second at which the limit store fills; 0 for no limit.
    pub limit: f64,
    /// What the limit store holds at most.
    pub burst: f64,
    /// How far the limit store may fall below zero.
    pub slack: f64,
}

/// Ration of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts allowed whatever the traffic.
    pub free: f64,
    /// Further attempts allowed for each request taken.
    pub ratio: f64,
    /// The span over which both are counted.
    pub span_ms: f64,
}

/// What an instance is told at start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of hosts in the tier, this one included.
    pub hosts: u32,
    /// Classes, by position.
    pub classes: Vec<Class>,
    /// Plans, by position.
    pub plans: Vec<Plan>,
    /// Whether list changes come only when asked for.
    pub list_on_request: bool,
    /// Shortest time between two rounds of events.
    pub round_ms: f64,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of a request may be out together.
    pub hedging: bool,
    /// Longest retry-after that a client minds; 0 where none is passed on.
    pub max_retry_after_ms: f64,
    /// Ration of further attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Nothing new goes to a node later than this after word that it drains or is gone.
    pub drain_grace_ms: f64,
    /// Part of its capacity with which a node starts at the least.
    pub cold_from: f64,
    /// Time by which a started node is warm.
    pub warm_after_ms: f64,
    /// A node falls over when it is sent more than this multiple of its capacity at that moment.
    pub fall_multiple: f64,
    /// The span over which work sent to a cold node is counted.
    pub fall_ms: f64,
    /// Units within that span, from all hosts, that a cold node always bears.
    pub cold_units: f64,
    /// Rest of a data item after an attempt that may still run, for ordered classes.
    pub key_rest_ms: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Most units of a request.
    pub max_units: f64,
    /// Part of worth earned beyond the reserve within the share.
    pub share_worth: f64,
    /// Part of worth earned beyond that.
    pub spare_worth: f64,
    /// Period over which use of a volume is metered; 0 for no meter.
    pub meter_ms: f64,
}

impl Settings {
    /// Names the first figure that makes no sense.
    ///
    /// # Errors
    /// The name of the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |name: &str| Err(SettingsError { field: name.to_owned() });
        let sane = |v: f64| v.is_finite() && v >= 0.0;
        if self.hosts == 0 {
            return bad("hosts");
        }
        if self.classes.is_empty() {
            return bad("classes");
        }
        for (i, c) in self.classes.iter().enumerate() {
            if !(sane(c.aim_ms) && c.aim_ms > 0.0) {
                return bad(&format!("classes[{i}].aim_ms"));
            }
            let t = &c.attempt_policy;
            if ![t.attempt_timeout_ms, t.retry_delay_ms, t.retry_jitter_ms, t.hedge_after_ms].into_iter().all(sane) {
                return bad(&format!("classes[{i}].attempt_policy"));
            }
            if !(sane(c.deadline_ms) && c.deadline_ms > 0.0) {
                return bad(&format!("classes[{i}].deadline_ms"));
            }
            if !(sane(c.worth) && sane(c.late_worth)) {
                return bad(&format!("classes[{i}].worth"));
            }
            if !sane(c.window_ms) {
                return bad(&format!("classes[{i}].window_ms"));
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let all = [p.nominal, p.reserve, p.weight, p.worth_factor, p.limit, p.burst, p.slack];
            if !all.into_iter().all(sane) {
                return bad(&format!("plans[{i}]"));
            }
        }
        let figures = [
            ("round_ms", self.round_ms),
            ("max_retry_after_ms", self.max_retry_after_ms),
            ("drain_grace_ms", self.drain_grace_ms),
            ("cold_from", self.cold_from),
            ("warm_after_ms", self.warm_after_ms),
            ("fall_multiple", self.fall_multiple),
            ("fall_ms", self.fall_ms),
            ("cold_units", self.cold_units),
            ("key_rest_ms", self.key_rest_ms),
            ("mean_units", self.mean_units),
            ("max_units", self.max_units),
            ("share_worth", self.share_worth),
            ("spare_worth", self.spare_worth),
            ("meter_ms", self.meter_ms),
        ];
        for (name, v) in figures {
            if !sane(v) {
                return bad(name);
            }
        }
        if let Some(e) = self.retry_budget {
            if !(sane(e.free) && sane(e.ratio) && sane(e.span_ms)) {
                return bad("extra");
            }
        }
        Ok(())
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field at fault.
    pub field: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {} is missing or makes no sense", self.field)
    }
}

impl std::error::Error for SettingsError {}

/// What the node list says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// Withdrawn.
    #[default]
    Gone,
    /// Takes requests.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// One line of the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeEntry {
    /// The node.
    pub node: u32,
    /// The shard it holds.
    pub shard: u16,
    /// Its zone.
    pub zone: u16,
    /// Its state.
    pub state: NodeState,
    /// When it last started; 0 for long ago.
    pub started_ms: f64,
}

/// What kind of list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as last held, perhaps outdated.
    Cached,
    /// A call for the list failed, or the watch broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// Connection lost; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl AttemptResult {
    /// Why a request is over whose last attempt ended so, without being served.
    pub(crate) fn reason(self) -> Reason {
        match self {
            AttemptResult::Rejected => Reason::NodeRejected,
            AttemptResult::ConnectFailed | AttemptResult::Reset => Reason::Unreachable,
            AttemptResult::TimedOut | AttemptResult::Cancelled => Reason::NoResponse,
            AttemptResult::Served | AttemptResult::Error | AttemptResult::NotSent => Reason::NodeError,
        }
    }
}

/// A request as it reaches the host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id, never repeated.
    pub id: u32,
    /// Its class, by position.
    pub class: u16,
    /// The plan of its volume, by position.
    pub plan: u16,
    /// The data item (extent); 0 for none.
    pub key: u64,
    /// When the client gives this try up.
    pub valid_until_ms: f64,
    /// The volume.
    pub volume: u64,
    /// Its size.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u16>,
    /// Hosts through which the volume's requests come.
    pub volume_hosts: f64,
}

/// How an attempt ended, and what the answer told besides.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// The request.
    pub id: u32,
    /// The attempt, counted from 0.
    pub attempt: u16,
    /// The node.
    pub node: u32,
    /// How it ended.
    pub result: AttemptResult,
    /// Time since the attempt was issued.
    pub elapsed_ms: f64,
    /// Whether the request is over.
    pub request_ended: bool,
    /// Units served for the volume everywhere in a past period, in percent of its nominal rate.
    pub used_percent: Option<f64>,
    /// Units this shard served for the volume through other hosts since its last answer here.
    pub other_hosts_units: f64,
    /// Requests waiting at the node, where told.
    pub queue: Option<f64>,
    /// Requests in work or waiting at the node, where told.
    pub in_flight: Option<f64>,
    /// The node's recent service time without waiting, where told.
    pub latency_ms: Option<f64>,
    /// How busy its cores are, where told.
    pub util: Option<f64>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node list, or a change of it.
    NodeList(ListKind, Vec<NodeEntry>),
    /// A request arrived; one final answer is owed.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A streamed answer began: the request is now its client's.
    ResponseStarted {
        /// The request.
        id: u32,
    },
    /// The client left, or the request is over for another reason.
    Abandoned {
        /// The request.
        id: u32,
    },
    /// From now on this host's parts of a volume's limit are these, whatever requests say of its hosts. Parts of all
    /// hosts together must never exceed the whole, neither of the rate nor of what may be stored.
    LimitShare {
        /// The volume.
        volume: u64,
        /// Its plan, by position.
        plan: u16,
        /// Its part of the rate is that of one host among so many; infinite for none.
        rate_divisor: f64,
        /// The same of what may be stored.
        burst_divisor: f64,
        /// The same of both from `until_ms` on.
        floor_divisor: f64,
        /// Until when `rate_divisor` and `burst_divisor` hold.
        until_ms: f64,
    },
    /// Another host sent a message.
    Message {
        /// Number of the sender.
        from: u16,
        /// What it sent.
        bytes: Vec<u8>,
    },
    /// A probe came back.
    ProbeFinished {
        /// The node.
        node: u32,
        /// Whether it answered.
        answered: bool,
        /// Time since the probe was issued.
        elapsed_ms: f64,
    },
    /// A timer rang.
    Timer {
        /// The label it was set with.
        label: u64,
    },
}

/// What decided that a request was refused, failed, or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// It makes no sense: an unknown class or plan, a size or time that is no number.
    Invalid,
    /// The envelope test: with it, a class at its node would miss its aim.
    Envelope,
    /// The wait predicted from what the node reported leaves too little of an aim.
    Prediction,
    /// It gave way to a request that is worth more for its work.
    Displaced,
    /// As many are out at its node as the in-flight limit allows.
    InFlightLimit,
    /// Its node, or every node it may go to, turned it away unseen.
    NodeRejected,
    /// Its node rests: it turned others away or could not be reached.
    Backoff,
    /// No node that may take it is ready: drained, gone, or not in the list.
    NoNode,
    /// Its node started a while ago and bears no more yet.
    ColdNode,
    /// Its volume is at its limit.
    VolumeLimit,
    /// The retry budget is used up.
    RetryBudget,
    /// An earlier request on its data item is not over, or its rest is not.
    KeyOrder,
    /// A pause before a further attempt.
    RetryDelay,
    /// Past its aim already, it waits until nothing else is out at its node.
    Late,
    /// A further attempt could do harm, or would be one too many.
    RetryNotAllowed,
    /// Its node answered with an error.
    NodeError,
    /// Its node could not be reached, or the connection was lost.
    Unreachable,
    /// Its node has not answered.
    NoResponse,
}

impl Reason {
    /// All of them.
    pub const ALL: [Reason; 18] = [
        Reason::Invalid,
        Reason::Envelope,
        Reason::Prediction,
        Reason::Displaced,
        Reason::InFlightLimit,
        Reason::NodeRejected,
        Reason::Backoff,
        Reason::NoNode,
        Reason::ColdNode,
        Reason::VolumeLimit,
        Reason::RetryBudget,
        Reason::KeyOrder,
        Reason::RetryDelay,
        Reason::Late,
        Reason::RetryNotAllowed,
        Reason::NodeError,
        Reason::Unreachable,
        Reason::NoResponse,
    ];

    /// A word for it, the same in metrics, logs, reports and the operators' page of reasons.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Invalid => "unfit",
            Reason::Envelope => "envelope",
            Reason::Prediction => "prediction",
            Reason::Displaced => "standing",
            Reason::InFlightLimit => "in-flight",
            Reason::NodeRejected => "node-full",
            Reason::Backoff => "rest",
            Reason::NoNode => "no-node",
            Reason::ColdNode => "cold",
            Reason::VolumeLimit => "limit",
            Reason::RetryBudget => "budget",
            Reason::KeyOrder => "order",
            Reason::RetryDelay => "pause",
            Reason::Late => "late",
            Reason::RetryNotAllowed => "repeat",
            Reason::NodeError => "node-error",
            Reason::Unreachable => "unreached",
            Reason::NoResponse => "silent",
        }
    }
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.label())
    }
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Issue an attempt; the attempts of a request are numbered from 0 in order of issue.
    Send {
        /// The request.
        id: u32,
        /// The node.
        node: u32,
        /// Time-out; 0: until the client gives up.
        timeout_ms: f64,
        /// What has not been written whole by this moment is not to be written at all; infinite for no such moment.
        write_deadline_ms: f64,
    },
    /// Final answer: refused, a retry does no harm.
    Refuse {
        /// The request.
        id: u32,
        /// When the client may come again.
        retry_after_ms: f64,
        /// What decided it.
        reason: Reason,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        /// The request.
        id: u32,
        /// What decided it.
        reason: Reason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: u32,
        /// The attempt.
        attempt: u16,
    },
    /// Ring at the stated time.
    SetTimer {
        /// When.
        at_ms: f64,
        /// Label to ring with.
        label: u64,
    },
    /// Watch the node list, or stop watching.
    Watch(bool),
    /// Ask for the node list once.
    FetchNodeList,
    /// Probe a node.
    Probe {
        /// The node.
        node: u32,
    },
    /// Send another host, or every host, a message.
    SendMessage {
        /// Number of the receiver; `None` for all.
        to: Option<u16>,
        /// What to send.
        bytes: Vec<u8>,
    },
    /// Close idle connections to a node.
    CloseIdleConnections {
        /// The node.
        node: u32,
    },
    /// A line for the staff.
    Log(String),
}
