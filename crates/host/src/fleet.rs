//! Limits of volumes as budgets of the fleet: what clients ask for goes out, parts come in. It decides nothing.

use crate::dispatcher::LentPart;
use crate::engine::Message;
use crate::settings::HostPlan;
use crate::volumes::VolumeId;
use crossbeam_channel::{bounded, Sender};
use pearfork_fleet::{Demand, FleetPlan, Portion, User};
use pearfork_ledger::{Budget, Kind, Meter, Part};
use pearfork_net::Clock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How long the engine may take to go by new parts; they are offered again with the next answer.
const APPLY_WITHIN: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
struct Line {
    volume: VolumeId,
    budget: Budget,
    least: Part,
    meter: Meter,
    seen: u64,
}

/// The volumes with a limit.
#[derive(Debug)]
pub(crate) struct Limits {
    lines: Vec<Line>,
    floor: Part,
    asked: Arc<[AtomicU64]>,
}

impl Limits {
    /// Those of a plan. `asked` counts thousandths of units by volume.
    pub(crate) fn of(plan: &HostPlan, fleet: &FleetPlan, asked: Arc<[AtomicU64]>) -> Limits {
        let largest = plan.module.max_units;
        let line = |v: &crate::volumes::Volume| {
            let p = &plan.module.plans[usize::from(v.plan)];
            (p.limit > 0.0).then(|| Line {
                volume: v.id,
                budget: Budget::new(Kind::Limit, &v.name),
                // Less than holds the largest request would leave that one waiting for ever.
                least: Part::of(largest / p.burst.max(1e-9)),
                meter: Meter::new(p.limit, largest),
                seen: 0,
            })
        };
        Limits { lines: plan.volumes.iter().filter_map(line).collect(), floor: fleet.floor(), asked }
    }

    /// What a host has before it hears from anybody.
    pub(crate) fn floors(&self) -> Vec<LentPart> {
        let floor = self.floor.fraction();
        let part = |l: &Line| LentPart { volume: l.volume, floor, lent: 0.0, until_ms: f64::NEG_INFINITY };
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

impl User for LimitUser {
    fn demand(&mut self) -> Vec<Demand> {
        let (now, asked) = (self.clock.now_ms(), &self.limits.asked);
        let demand = |l: &mut Line| {
            let total = asked.get(l.volume.0 as usize).map_or(0, |a| a.load(Ordering::Relaxed));
            let units = total.wrapping_sub(l.seen) as f64 / 1_000.0;
            l.seen = total;
            Demand { budget: l.budget.clone(), asked: l.meter.count(now, units), least: l.least }
        };
        self.limits.lines.iter_mut().map(demand).collect()
    }

    fn apply(&mut self, portions: &[Portion]) -> bool {
        let part = |p: &Portion| {
            let line = self.limits.lines.iter().find(|l| l.budget == p.budget)?;
            Some(LentPart {
                volume: line.volume,
                floor: p.floor.fraction(),
                lent: p.lent.fraction(),
                until_ms: self.clock.ms_at(p.until),
            })
        };
        let parts: Vec<LentPart> = portions.iter().filter_map(part).collect();
        let (done, applied) = bounded(1);
        // A full queue is no reason to wait: the old parts go on until their time.
        self.engine.try_send(Message::Lent(parts, done)).is_ok() && applied.recv_timeout(APPLY_WITHIN).is_ok()
    }
}
