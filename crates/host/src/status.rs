//! Health, metrics and the state of nodes and volumes over HTTP, for operators and metrics collectors.

use crate::counts::{ClassCounts, NodeCounts, ReasonCounts, ReasonKey};
use crate::dispatcher::Dispatcher;
use crate::settings::HostSettings;
use pearfork::{NodeEntry, NodeState, Reason};
use pearfork_fleet::state::{HeldBudgetView, LinkView};
use pearfork_fleet::FleetView;
use pearfork_net::http::{Method, Request, Response};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The counters and the state of the dispatcher at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    classes: Vec<ClassCounts>,
    /// Latencies of each class at the percentiles 50, 90, 99 and 99.9, in microseconds.
    latencies_us: Vec<[u64; 4]>,
    nodes: BTreeMap<u32, NodeCounts>,
    node_list: BTreeMap<u32, NodeEntry>,
    open: usize,
    reasons: ReasonCounts,
    waiting: BTreeMap<Reason, u64>,
}

impl Snapshot {
    pub(crate) fn of(d: &Dispatcher, now: f64) -> Snapshot {
        Snapshot {
            classes: d.class_counts().to_vec(),
            latencies_us: d
                .latencies()
                .iter()
                .map(|l| [0.5, 0.9, 0.99, 0.999].map(|q| l.value_at_quantile(q)))
                .collect(),
            nodes: d.node_counts().clone(),
            node_list: d.node_list().clone(),
            open: d.open_commands(),
            reasons: d.reason_counts().clone(),
            waiting: d.waiting(now),
        }
    }

    /// Refusals and failures by reason, grouped by `group`, in one pass over the counts for any number of
    /// volumes.
    fn reasons_by<K: Ord>(
        &self,
        group: impl Fn(&ReasonKey) -> K,
    ) -> BTreeMap<K, BTreeMap<&'static str, u64>> {
        let mut out: BTreeMap<K, BTreeMap<&'static str, u64>> = BTreeMap::new();
        for (key, n) in self.reasons.iter() {
            *out.entry(group(&key)).or_default().entry(key.reason.label()).or_insert(0) += n;
        }
        out
    }
}

#[derive(Serialize)]
struct NodeStatus {
    node: u32,
    shard: u16,
    zone: u16,
    state: &'static str,
    started_ms: f64,
    sent: u64,
    served: u64,
    full: u64,
    timed_out: u64,
    connect_failed: u64,
    reset: u64,
}

#[derive(Serialize)]
struct VolumeStatus<'a> {
    name: &'a str,
    target: &'a str,
    lun: u16,
    bytes: u64,
    plan: &'a str,
    refused: BTreeMap<&'static str, u64>,
    failed: BTreeMap<&'static str, u64>,
}

/// An operation on the host that is requested over HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminRequest {
    /// Shut down once the open commands are answered.
    Drain,
}

/// The administrative request of a call, if it is one.
pub(crate) fn admin_request(call: Request<'_>) -> Option<AdminRequest> {
    let path = call.path.split('?').next().unwrap_or(call.path);
    (call.method == Method::Post && path == "/drain").then_some(AdminRequest::Drain)
}

/// Responds to a call that is no administrative request; `snapshot` is `None` if the engine did not answer in
/// time.
pub(crate) fn respond(
    call: Request<'_>,
    settings: &HostSettings,
    snapshot: Option<Snapshot>,
    sessions: usize,
    draining: bool,
    fleet: Option<&FleetView>,
) -> Response {
    let path = call.path.split('?').next().unwrap_or(call.path);
    if call.method == Method::Post {
        return Response::error(404, "no such resource for POST; the only one is /drain");
    }
    if path == "/fleet" {
        // The fleet's state does not depend on the engine, which may be blocked.
        return fleet.map_or(Response::error(404, "this host is not in a fleet"), json);
    }
    let Some(snapshot) = snapshot else {
        return Response::error(503, "the engine is not responding");
    };
    match path {
        "/health" => health(&snapshot, sessions, draining),
        "/metrics" => {
            Response::ok("text/plain; version=0.0.4", metrics(settings, &snapshot, sessions, fleet))
        }
        "/nodes" => json(&nodes(&snapshot)),
        "/volumes" => json(&volumes(settings, &snapshot)),
        _ => Response::error(
            404,
            "no such resource; available are /health, /metrics, /nodes, /volumes and /fleet",
        ),
    }
}

fn json(value: &impl Serialize) -> Response {
    Response::ok("application/json", serde_json::to_vec_pretty(value).unwrap_or_default())
}

fn health(snapshot: &Snapshot, sessions: usize, draining: bool) -> Response {
    if draining {
        let open = snapshot.open;
        Response::error(503, &format!("draining, {open} commands open, {sessions} sessions"))
    } else if snapshot.node_list.values().any(|n| n.state == NodeState::Ready) {
        Response::ok("text/plain; charset=utf-8", "ok\n")
    } else {
        Response::error(503, "no node in the node list is ready")
    }
}

fn nodes(snapshot: &Snapshot) -> Vec<NodeStatus> {
    let status = |n: &pearfork::NodeEntry| {
        let c = snapshot.nodes.get(&n.node).copied().unwrap_or_default();
        NodeStatus {
            node: n.node,
            shard: n.shard,
            zone: n.zone,
            state: match n.state {
                NodeState::Ready => "ready",
                NodeState::Draining => "draining",
                NodeState::Gone => "gone",
            },
            started_ms: n.started_ms,
            sent: c.sent,
            served: c.served,
            full: c.full,
            timed_out: c.timed_out,
            connect_failed: c.connect_failed,
            reset: c.reset,
        }
    };
    snapshot.node_list.values().map(status).collect()
}

fn volumes<'a>(settings: &'a HostSettings, s: &Snapshot) -> Vec<VolumeStatus<'a>> {
    let mut reasons = s.reasons_by(|k| (k.volume, k.failed));
    let status = |v| {
        let v: &'a crate::volumes::Volume = v;
        let mut by_reason = |failed| reasons.remove(&(v.id, failed)).unwrap_or_default();
        let bytes = v.unit.blocks * u64::from(v.unit.block_len);
        VolumeStatus {
            name: &v.name,
            target: &v.target,
            lun: v.lun,
            bytes,
            plan: &settings.plan_names[usize::from(v.plan)],
            refused: by_reason(false),
            failed: by_reason(true),
        }
    };
    settings.volumes.iter().map(status).collect()
}

/// Writes a family of metrics: name, type, help text, and a value for each set of labels.
type Family<'a> = dyn FnMut(&str, &str, &str, Vec<(String, f64)>) + 'a;

fn fleet_metrics(fleet: &FleetView, family: &mut Family<'_>) {
    let one = |value: f64| vec![(String::new(), value)];
    let holder = &fleet.holder;
    let by_budget = |f: fn(&HeldBudgetView) -> f64| -> Vec<(String, f64)> {
        holder.budgets.iter().map(|b| (format!("{{budget=\"{}\"}}", b.budget), f(b))).collect()
    };
    family(
        "fleet_part",
        "gauge",
        "Fraction of a budget that this host may use.",
        by_budget(|b| b.floor + b.leased),
    );
    family(
        "fleet_demand",
        "gauge",
        "Fraction of a budget that clients request at this host.",
        by_budget(|b| b.demand),
    );
    let left = holder.lease_remaining_ms.unwrap_or(0.0).max(0.0) / 1_000.0;
    family("fleet_lease_seconds", "gauge", "Remaining time of the lease.", one(left));
    family("fleet_asks_total", "counter", "Lease requests to the ledger.", one(holder.requests_sent as f64));
    family("fleet_leases_total", "counter", "Responses with a lease.", one(holder.leases_received as f64));
    let is_current = f64::from(u8::from(!holder.superseded));
    family("fleet_named", "gauge", "0 if another process has this host's number.", one(is_current));
    let up = |l: &LinkView| (format!("{{voter=\"{}\"}}", l.voter), f64::from(u8::from(l.is_up)));
    family(
        "fleet_link_up",
        "gauge",
        "1 if the link to the voter is up.",
        fleet.links.iter().map(up).collect(),
    );
    if let Some(v) = &fleet.voter {
        let votes = f64::from(u8::from(v.store_error.is_none()));
        family("fleet_votes", "gauge", "0 if a disk error keeps this voter from voting.", one(votes));
        family(
            "fleet_lends",
            "gauge",
            "1 if this voter is the leader and lends.",
            one(f64::from(u8::from(v.grants_leases))),
        );
        family("fleet_term", "counter", "Current term.", one(v.term as f64));
        family("fleet_members", "gauge", "Members of the ledger.", one(v.members.len() as f64));
    }
}

/// Renders all metrics in the Prometheus text format.
fn metrics(settings: &HostSettings, s: &Snapshot, sessions: usize, fleet: Option<&FleetView>) -> String {
    let mut out = String::new();
    let mut family = |name: &str, kind: &str, help: &str, lines: Vec<(String, f64)>| {
        let _ = writeln!(out, "# HELP pearfork_{name} {help}\n# TYPE pearfork_{name} {kind}");
        for (labels, value) in lines {
            let _ = writeln!(out, "pearfork_{name}{labels} {value}");
        }
    };
    let classes = || settings.class_names.iter().zip(&s.classes);
    let mut answers = Vec::new();
    for (name, c) in classes() {
        for (answer, n) in
            [("served", c.served), ("refused", c.refused), ("failed", c.failed), ("abandoned", c.abandoned)]
        {
            answers.push((format!("{{class=\"{name}\",answer=\"{answer}\"}}"), n as f64));
        }
    }
    let by_class = |f: fn(&ClassCounts) -> u64| {
        classes().map(|(name, c)| (format!("{{class=\"{name}\"}}"), f(c) as f64)).collect()
    };
    family("commands_taken_total", "counter", "Commands received.", by_class(|c| c.taken));
    family("answers_total", "counter", "Final answers.", answers);
    family(
        "served_late_total",
        "counter",
        "Commands served past the aim of their class.",
        by_class(|c| c.late),
    );
    let mut reasons = Vec::new();
    for ((class, failed), counts) in s.reasons_by(|k| (k.class, k.failed)) {
        let (name, answer) =
            (&settings.class_names[usize::from(class)], if failed { "failed" } else { "refused" });
        for (reason, n) in counts {
            reasons.push((format!("{{class=\"{name}\",answer=\"{answer}\",reason=\"{reason}\"}}"), n as f64));
        }
    }
    family("not_served_total", "counter", "Commands refused or failed, by reason.", reasons);
    let waiting = s.waiting.iter().map(|(r, n)| (format!("{{reason=\"{r}\"}}"), *n as f64)).collect();
    family("waiting", "gauge", "Requests without a final answer, by the reason why they wait.", waiting);
    let mut latencies = Vec::new();
    for (name, l) in settings.class_names.iter().zip(&s.latencies_us) {
        for (q, us) in ["0.5", "0.9", "0.99", "0.999"].iter().zip(l) {
            latencies.push((format!("{{class=\"{name}\",quantile=\"{q}\"}}"), *us as f64 / 1e6));
        }
    }
    family("answer_seconds", "summary", "Time from receiving a command to serving it.", latencies);
    let mut attempts = Vec::new();
    for (node, c) in &s.nodes {
        for (end, n) in [
            ("served", c.served),
            ("error", c.errors),
            ("full", c.full),
            ("timed_out", c.timed_out),
            ("connect_failed", c.connect_failed),
            ("reset", c.reset),
            ("not_sent", c.not_sent),
            ("cancelled", c.cancelled),
        ] {
            attempts.push((format!("{{node=\"{node}\",end=\"{end}\"}}"), n as f64));
        }
    }
    family("attempts_total", "counter", "Attempts by node and outcome.", attempts);
    let retries =
        s.nodes.iter().map(|(node, c)| (format!("{{node=\"{node}\"}}"), c.retries as f64)).collect();
    family("further_attempts_total", "counter", "Retries and hedged attempts by node.", retries);
    family(
        "commands_open",
        "gauge",
        "Commands without a final answer.",
        vec![(String::new(), s.open as f64)],
    );
    family("sessions", "gauge", "Client sessions.", vec![(String::new(), sessions as f64)]);
    if let Some(fleet) = fleet {
        fleet_metrics(fleet, &mut family);
    }
    out
}
