//! Settings, events and actions: everything that a host and its [`crate::Scheduler`] exchange.
//!
//! Times are milliseconds of the caller's clock, which has no particular origin and only advances. The
//! decisions are in `scheduler.rs` and `envelope.rs`.

/// Whether repeating a request can do harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key by which the nodes of one group drop a repeat for a while.
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

/// How the attempts of a class are made; the default leaves everything to the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptPolicy {
    /// Timeout of one attempt; 0 lets it run until the client gives up.
    pub attempt_timeout_ms: f64,
    /// Attempts per request; 0 for as many as the settings allow.
    pub attempts: u32,
    /// Least delay before a retry.
    pub retry_delay_ms: f64,
    /// Upper bound of a random addition to the delay.
    pub retry_jitter_ms: f64,
    /// Time without a response after which one hedged attempt is sent beside the first; 0 for none.
    pub hedge_after_ms: f64,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A request served within this time has its full worth.
    pub aim_ms: f64,
    /// How long a client waits, retries included.
    pub deadline_ms: f64,
    /// Worth of one request of mean size.
    pub worth: f64,
    /// Fraction of the worth that a request served after the aim has.
    pub late_worth: f64,
    /// Whether a repeat can do harm.
    pub effect: Effect,
    /// For keyed classes: the nodes that drop repeats.
    pub group: Group,
    /// For keyed classes: how long after the first send they drop repeats.
    pub window_ms: f64,
    /// Whether requests that share a data item run one at a time, in order of acceptance.
    pub ordered: bool,
    /// How its attempts are made.
    pub attempt_policy: AttemptPolicy,
}

/// A service plan. Its figures hold for each of its volumes, over all hosts and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units per second for which a volume is sized.
    pub nominal: f64,
    /// Units per second that have full worth; 0 for none.
    pub reserve: f64,
    /// Weight by which capacity beyond the reserves is shared.
    pub weight: f64,
    /// Factor by which the worth of its requests is multiplied.
    pub worth_factor: f64,
    /// Units per second at which the limit's token bucket fills; 0 for no limit.
    pub limit: f64,
    /// Capacity of that bucket, in units.
    pub burst: f64,
    /// Units by which the bucket may fall below zero.
    pub slack: f64,
}

/// Budget of retries and hedges, the attempts after each request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Attempts that are allowed regardless of traffic.
    pub free: f64,
    /// Further attempts that are allowed for each accepted request.
    pub ratio: f64,
    /// Length of the window over which both are counted.
    pub span_ms: f64,
}

/// Settings of a scheduler, fixed for its lifetime.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of hosts in the fleet, including this one.
    pub hosts: u32,
    /// The classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// The plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Whether changes of the node list arrive only after a request for them.
    pub list_on_request: bool,
    /// Shortest time between two rounds of events.
    pub round_ms: f64,
    /// Upper bound of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Longest retry-after time that clients accept; 0 if none is passed on to them.
    pub max_retry_after_ms: f64,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Longest time after the notice that a node drains or is gone in which new requests may still reach it.
    pub drain_grace_ms: f64,
    /// Least fraction of its capacity that a node has when it starts.
    pub cold_from: f64,
    /// Time after its start by which a node is warm.
    pub warm_after_ms: f64,
    /// A node becomes overloaded when it is sent more than this multiple of its current capacity.
    pub fall_multiple: f64,
    /// Length of the window over which the work sent to a cold node is counted.
    pub fall_ms: f64,
    /// Units in that window, from all hosts together, that a cold node can always take.
    pub cold_units: f64,
    /// For ordered classes: cooldown of a data item after an attempt that may still run.
    pub key_rest_ms: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Most units of a request.
    pub max_units: f64,
    /// Fraction of worth for use beyond the reserve and within the share.
    pub share_worth: f64,
    /// Fraction of worth for use beyond the share.
    pub spare_worth: f64,
    /// Period over which the use of a volume is metered; 0 for no meter.
    pub meter_ms: f64,
}

impl Settings {
    /// Checks that each setting is valid.
    ///
    /// # Errors
    /// The name of the first setting that is invalid.
    pub fn check(&self) -> Result<(), SettingsError> {
        let invalid = |name: &str| Err(SettingsError { field: name.to_owned() });
        let is_valid = |v: f64| v.is_finite() && v >= 0.0;
        if self.hosts == 0 {
            return invalid("hosts");
        }
        if self.classes.is_empty() {
            return invalid("classes");
        }
        for (i, c) in self.classes.iter().enumerate() {
            if !(is_valid(c.aim_ms) && c.aim_ms > 0.0) {
                return invalid(&format!("classes[{i}].aim_ms"));
            }
            let t = &c.attempt_policy;
            if ![t.attempt_timeout_ms, t.retry_delay_ms, t.retry_jitter_ms, t.hedge_after_ms]
                .into_iter()
                .all(is_valid)
            {
                return invalid(&format!("classes[{i}].attempt_policy"));
            }
            if !(is_valid(c.deadline_ms) && c.deadline_ms > 0.0) {
                return invalid(&format!("classes[{i}].deadline_ms"));
            }
            if !(is_valid(c.worth) && is_valid(c.late_worth)) {
                return invalid(&format!("classes[{i}].worth"));
            }
            if !is_valid(c.window_ms) {
                return invalid(&format!("classes[{i}].window_ms"));
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let all = [p.nominal, p.reserve, p.weight, p.worth_factor, p.limit, p.burst, p.slack];
            if !all.into_iter().all(is_valid) {
                return invalid(&format!("plans[{i}]"));
            }
        }
        let numbers = [
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
        for (name, v) in numbers {
            if !is_valid(v) {
                return invalid(name);
            }
        }
        if let Some(budget) = self.retry_budget {
            if !(is_valid(budget.free) && is_valid(budget.ratio) && is_valid(budget.span_ms)) {
                // Operators know this error under the name `extra`.
                return invalid("extra");
            }
        }
        Ok(())
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Name of the setting.
    pub field: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "setting {} is missing or invalid", self.field)
    }
}

impl std::error::Error for SettingsError {}

/// State of a node in the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// No longer part of the fleet.
    #[default]
    Gone,
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

/// One entry of the node list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeEntry {
    /// Number of the node.
    pub node: u32,
    /// The shard that it holds.
    pub shard: u16,
    /// Its zone.
    pub zone: u16,
    /// Its state.
    pub state: NodeState,
    /// When it last started; 0 for long ago.
    pub started_ms: f64,
}

/// Kind of a node list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Entries that changed.
    Changes,
    /// The whole list.
    Full,
    /// The whole list as it was held last; it may be outdated.
    Cached,
    /// Fetching the list failed, or the watch ended.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Error,
    /// The node rejected it and did not run it.
    Rejected,
    /// No response in time; it may have run.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection was lost; it may have run.
    Reset,
    /// Cancelled by the host; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

impl AttemptResult {
    /// Returns the reason of the final answer to a request that was not served and whose last attempt ended
    /// in this way. `NotSent`, and `Served`, which cannot occur here, yield [`Reason::NodeError`].
    pub(crate) fn reason(self) -> Reason {
        match self {
            AttemptResult::Rejected => Reason::NodeRejected,
            AttemptResult::ConnectFailed | AttemptResult::Reset => Reason::Unreachable,
            AttemptResult::TimedOut | AttemptResult::Cancelled => Reason::NoResponse,
            AttemptResult::Served | AttemptResult::Error | AttemptResult::NotSent => Reason::NodeError,
        }
    }
}

/// A request that arrived at the host.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id, unique in the lifetime of the scheduler.
    pub id: u32,
    /// Index of its class.
    pub class: u16,
    /// Index of its volume's plan.
    pub plan: u16,
    /// The data item (extent) that it reads or writes; 0 for none.
    pub key: u64,
    /// When the client gives up this try.
    pub valid_until_ms: f64,
    /// The volume.
    pub volume: u64,
    /// Its cost.
    pub units: f64,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u16>,
    /// Number of hosts through which the volume's requests arrive.
    pub volume_hosts: f64,
}

/// The end of an attempt, with what the node reported.
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
    /// Whether the request has its final answer.
    pub request_ended: bool,
    /// Units served for the volume on all nodes in a past period, in percent of its nominal rate.
    pub used_percent: Option<f64>,
    /// Units that this shard served for the volume through other hosts since its last response to this host.
    pub other_hosts_units: f64,
    /// Requests that wait at the node, if reported.
    pub queue: Option<f64>,
    /// Requests that run or wait at the node, if reported.
    pub in_flight: Option<f64>,
    /// The node's recent service time without waiting, if reported.
    pub latency_ms: Option<f64>,
    /// Utilization of the node's cores, if reported.
    pub util: Option<f64>,
}

/// An input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node list, or a change of it.
    NodeList(ListKind, Vec<NodeEntry>),
    /// A request arrived; it must get one final answer.
    Request(Request),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A streamed response began, so the request has its final answer.
    ResponseStarted {
        /// The request.
        id: u32,
    },
    /// The client disconnected, or the request is over for another reason.
    Abandoned {
        /// The request.
        id: u32,
    },
    /// Sets this host's share of a volume's limit, regardless of `volume_hosts` in requests. The shares of
    /// all hosts must never exceed the whole, neither of the rate nor of the burst.
    LimitShare {
        /// The volume.
        volume: u64,
        /// Index of its plan.
        plan: u16,
        /// The host's rate is the limit divided by this; infinite for no rate.
        rate_divisor: f64,
        /// The host's burst is the plan's burst divided by this.
        burst_divisor: f64,
        /// Both divisors from `until_ms` on.
        floor_divisor: f64,
        /// When `rate_divisor` and `burst_divisor` stop to hold.
        until_ms: f64,
    },
    /// Sets how many attempts may be in flight at once over all nodes, for a host whose connections carry one
    /// attempt each. There is no such limit before the first of these events.
    AttemptLimit {
        /// Maximum number of attempts in flight.
        attempts: usize,
    },
    /// Another host sent a message.
    Message {
        /// Number of the sending host.
        from: u16,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// A probe ended.
    ProbeFinished {
        /// The node.
        node: u32,
        /// Whether the node responded.
        answered: bool,
        /// Time since the probe was issued.
        elapsed_ms: f64,
    },
    /// A timer expired.
    Timer {
        /// The label that it was set with.
        label: u64,
    },
}

/// Why a request was refused, failed, or waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// The request is invalid: an unknown class or plan, or a size or time that is not finite.
    Invalid,
    /// The envelope test: with the request, a class at its node would miss its aim.
    Envelope,
    /// The wait that the node's load reports predict leaves too little of an aim.
    Prediction,
    /// It was displaced by a request with more worth per unit.
    Displaced,
    /// The in-flight limit of its node is reached.
    InFlightLimit,
    /// The host's limit of attempts in flight over all nodes is reached.
    AttemptLimit,
    /// Its node, or every node that it may go to, rejected it without running it.
    NodeRejected,
    /// Its node is in backoff, after rejections or connection failures.
    Backoff,
    /// No node that may take it is ready: all drain, are gone, or are not in the list.
    NoNode,
    /// Its node started recently and can take no more yet.
    ColdNode,
    /// Its volume is at its limit.
    VolumeLimit,
    /// The retry budget is used up.
    RetryBudget,
    /// An earlier request on its data item is not over, or the item is in cooldown.
    KeyOrder,
    /// It waits for the delay before a retry.
    RetryDelay,
    /// It is past its aim and waits until nothing else is in flight at its node.
    Late,
    /// A retry could do harm, or would exceed the allowed attempts.
    RetryNotAllowed,
    /// Its node responded with an error.
    NodeError,
    /// Its node could not be reached, or the connection was lost.
    Unreachable,
    /// Its node has not responded.
    NoResponse,
}

impl Reason {
    /// All reasons.
    pub const ALL: [Reason; 19] = [
        Reason::Invalid,
        Reason::Envelope,
        Reason::Prediction,
        Reason::Displaced,
        Reason::InFlightLimit,
        Reason::AttemptLimit,
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

    /// Returns its name in metrics, logs, reports and the operators' page of reasons.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Invalid => "unfit",
            Reason::Envelope => "envelope",
            Reason::Prediction => "prediction",
            Reason::Displaced => "standing",
            Reason::InFlightLimit => "in-flight",
            Reason::AttemptLimit => "connections",
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

/// An output of the scheduler that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt; the attempts of a request are numbered from 0 in order of issue.
    Send {
        /// The request.
        id: u32,
        /// The node.
        node: u32,
        /// Timeout; 0 until the client gives up.
        timeout_ms: f64,
        /// An attempt that is not completely written by then must not be written at all; infinite for no such
        /// bound.
        write_deadline_ms: f64,
    },
    /// Final answer: refused; a repeat does no harm.
    Refuse {
        /// The request.
        id: u32,
        /// When the client may come back.
        retry_after_ms: f64,
        /// The cause.
        reason: Reason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        id: u32,
        /// The cause.
        reason: Reason,
    },
    /// Stops waiting for an attempt.
    Cancel {
        /// The request.
        id: u32,
        /// The attempt.
        attempt: u16,
    },
    /// Sets a timer.
    SetTimer {
        /// When it expires.
        at_ms: f64,
        /// The label that comes back with it.
        label: u64,
    },
    /// Starts or stops watching the node list.
    Watch(bool),
    /// Fetches the node list once.
    FetchNodeList,
    /// Probes a node.
    Probe {
        /// The node.
        node: u32,
    },
    /// Sends a message to another host or to all hosts.
    SendMessage {
        /// Number of the receiving host; `None` for all.
        to: Option<u16>,
        /// Its content.
        bytes: Vec<u8>,
    },
    /// Closes the idle connections to a node.
    CloseIdleConnections {
        /// The node.
        node: u32,
    },
    /// Writes a line to the host's log.
    Log(String),
}
