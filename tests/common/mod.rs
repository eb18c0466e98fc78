//! A single scheduler under test: events are given by hand, and no nodes are modelled.
#![allow(dead_code)]

pub mod fleet;

use pearfork::*;

pub fn class(effect: Effect, group: Group) -> Class {
    Class {
        aim_ms: 100.0,
        deadline_ms: 1000.0,
        worth: 2.0,
        late_worth: 0.1,
        effect,
        group,
        window_ms: 1000.0,
        ordered: false,
        attempt_policy: AttemptPolicy::default(),
    }
}

pub fn plan() -> Plan {
    Plan { nominal: 10.0, reserve: 0.0, weight: 1.0, worth_factor: 1.0, limit: 0.0, burst: 0.0, slack: 0.0 }
}

pub fn settings() -> Settings {
    Settings {
        hosts: 2,
        classes: vec![class(Effect::Safe, Group::All)],
        plans: vec![plan()],
        list_on_request: false,
        round_ms: 2.0,
        max_attempts: 4,
        cancel: true,
        hedging: false,
        max_retry_after_ms: 1000.0,
        retry_budget: None,
        drain_grace_ms: 2000.0,
        cold_from: 0.2,
        warm_after_ms: 10_000.0,
        fall_multiple: 2.0,
        fall_ms: 2000.0,
        cold_units: 20.0,
        key_rest_ms: 500.0,
        mean_units: 2.0,
        max_units: 6.0,
        share_worth: 0.5,
        spare_worth: 0.05,
        meter_ms: 1000.0,
    }
}

pub fn entry(node: u32, shard: u16) -> NodeEntry {
    NodeEntry { node, shard, zone: 0, state: NodeState::Ready, started_ms: 0.0 }
}

pub fn request(id: u32, deadline_ms: f64) -> Request {
    Request {
        id,
        class: 0,
        plan: 0,
        key: 0,
        valid_until_ms: deadline_ms,
        volume: 1,
        units: 2.0,
        shard: Some(0),
        volume_hosts: 1.0,
    }
}

pub fn outcome(id: u32, attempt: u16, node: u32, result: AttemptResult) -> AttemptOutcome {
    AttemptOutcome {
        id,
        attempt,
        node,
        result,
        elapsed_ms: 10.0,
        request_ended: result == AttemptResult::Served,
        used_percent: None,
        other_hosts_units: 0.0,
        queue: None,
        in_flight: None,
        latency_ms: None,
        util: None,
    }
}

pub struct Host {
    pub scheduler: Scheduler,
    pub timers: Vec<(f64, u64)>,
}

impl Host {
    pub fn new(settings: Settings) -> Host {
        Host { scheduler: Scheduler::new(settings, 7).expect("valid settings"), timers: Vec::new() }
    }

    pub fn with_nodes(settings: Settings, nodes: &[NodeEntry]) -> Host {
        let mut h = Host::new(settings);
        h.at(0.0, Event::NodeList(ListKind::Cached, nodes.to_vec()));
        h
    }

    /// Handles an event and returns the actions, except timers and log lines.
    pub fn at(&mut self, now: f64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(now, event, &mut actions);
        for a in &actions {
            if let Action::SetTimer { at_ms, label } = a {
                self.timers.push((*at_ms, *label));
            }
        }
        actions.retain(|a| !matches!(a, Action::SetTimer { .. } | Action::Log(_)));
        actions
    }

    /// Runs the timers due up to a time, then handles an event; returns all actions with their times.
    pub fn advance_to(&mut self, now: f64, event: Event) -> Vec<(f64, Action)> {
        let mut out = self.run_timers_until(now);
        out.extend(self.at(now, event).into_iter().map(|a| (now, a)));
        out
    }

    /// Runs all timers due up to a time, in order.
    pub fn run_timers_until(&mut self, until: f64) -> Vec<(f64, Action)> {
        let mut out = Vec::new();
        loop {
            self.timers.sort_by(|a, b| b.0.total_cmp(&a.0));
            match self.timers.last().copied() {
                Some((at, label)) if at <= until => {
                    self.timers.pop();
                    out.extend(self.at(at, Event::Timer { label }).into_iter().map(|a| (at, a)));
                }
                _ => return out,
            }
        }
    }
}

pub fn sent(actions: &[Action]) -> Vec<(u32, u32)> {
    actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, node, .. } => Some((*id, *node)),
            _ => None,
        })
        .collect()
}
