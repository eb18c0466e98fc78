//! Limits of volumes as budgets of the fleet: what clients ask for goes out, parts come in. It decides nothing.

use crate::dispatcher::LentPart;
use crate::engine::Message;
use crate::settings::HostSettings;
use crate::volumes::VolumeId;
use crossbeam_channel::{bounded, Sender};
use pearfork_fleet::{BudgetConsumer, BudgetShare, Demand, FleetSettings};
use pearfork_ledger::{Budget, BudgetKind, DemandMeter, Fraction};
use pearfork_net::Clock;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long the engine may take to go by new parts; they are offered again with the next answer.
const APPLY_WITHIN: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Line {
    volume: VolumeId,
    rate: Budget,
    burst: Budget,
    /// The part of the rate that pays for a usual request within a second.
    least_rate: Fraction,
    /// The part of the burst that holds the largest request.
    least_burst: Fraction,
    /// How long the whole rate pays for the largest request.
    turn: Duration,
    meter: DemandMeter,
    seen: u64,
}

/// The volumes with a limit.
#[derive(Debug)]
pub(crate) struct Limits {
    lines: Vec<Line>,
    floor: Fraction,
    asked: Arc<[AtomicU64]>,
}

impl Limits {
    /// Those of a plan. `asked` counts thousandths of units by volume.
    pub(crate) fn of(plan: &HostSettings, fleet: &FleetSettings, asked: Arc<[AtomicU64]>) -> Limits {
        let largest = plan.scheduler.max_units;
        let line = |v: &crate::volumes::Volume| {
            let p = &plan.scheduler.plans[usize::from(v.plan)];
            (p.limit > 0.0).then(|| Line {
                volume: v.id,
                rate: Budget::new(BudgetKind::Limit, &v.name),
                burst: Budget::new(BudgetKind::Burst, &v.name),
                // Less than that would leave a request waiting past its aim, and a host that has few waiting for ever.
                least_rate: Fraction::from_f64(plan.scheduler.mean_units / p.limit),
                least_burst: Fraction::from_f64(largest / p.burst.max(1e-9)),
                turn: Duration::from_secs_f64((1.25 * largest / p.limit).min(60.0)),
                meter: DemandMeter::new(p.limit, largest),
                seen: 0,
            })
        };
        Limits { lines: plan.volumes.iter().filter_map(line).collect(), floor: fleet.floor(), asked }
    }

    /// What a host has before it hears from anybody.
    pub(crate) fn floors(&self) -> Vec<LentPart> {
        let floor = self.floor.as_f64();
        let until_ms = f64::NEG_INFINITY;
        let part = |l: &Line| LentPart { volume: l.volume, floor, lent: 0.0, lent_burst: 0.0, until_ms };
        self.lines.iter().map(part).collect()
    }

    /// The same as a user of the fleet's budgets.
    pub(crate) fn user(self, engine: Sender<Message>, clock: Clock) -> LimitUser {
        LimitUser { limits: self, engine, clock }
    }
}

/// Tells the engine of parts, and the fleet of demand.
pub(crate) struct LimitUser {
    limits: Limits,
    engine: Sender<Message>,
    clock: Clock,
}

impl BudgetConsumer for LimitUser {
    fn demand(&mut self) -> Vec<Demand> {
        let (now, asked) = (self.clock.now_ms(), &self.limits.asked);
        let demand = |l: &mut Line| {
            let total = asked.get(l.volume.0 as usize).map_or(0, |a| a.load(Ordering::Relaxed));
            let units = total.wrapping_sub(l.seen) as f64 / 1_000.0;
            l.seen = total;
            let asked = l.meter.record(now, units);
            [
                Demand { budget: l.rate.clone(), demand: asked, min_fraction: l.least_rate, turn: l.turn },
                Demand { budget: l.burst.clone(), demand: asked, min_fraction: l.least_burst, turn: l.turn },
            ]
        };
        self.limits.lines.iter_mut().flat_map(demand).collect()
    }

    fn apply(&mut self, portions: &[BudgetShare]) -> bool {
        let by_budget: HashMap<&Budget, &BudgetShare> = portions.iter().map(|p| (&p.budget, p)).collect();
        let part = |l: &Line| {
            let (rate, burst) = (by_budget.get(&l.rate)?, by_budget.get(&l.burst)?);
            Some(LentPart {
                volume: l.volume,
                floor: rate.floor.as_f64(),
                lent: rate.leased.as_f64(),
                lent_burst: burst.leased.as_f64(),
                // Both are of one lease.
                until_ms: self.clock.ms_at(rate.expires_at.min(burst.expires_at)),
            })
        };
        let parts: Vec<LentPart> = self.limits.lines.iter().filter_map(part).collect();
        let (done, applied) = bounded(1);
        // A full queue is no reason to wait: the old parts go on until their time.
        self.engine.try_send(Message::Lent(parts, done)).is_ok() && applied.recv_timeout(APPLY_WITHIN).is_ok()
    }
}
