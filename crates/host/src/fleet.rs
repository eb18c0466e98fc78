//! Volumes' limits as budgets of the fleet: reports the demand of clients to the fleet, and passes the shares
//! that it lends on to the engine.

use crate::dispatcher::LimitShare;
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

/// How long the engine may take to apply new shares. Shares that are not applied in time are offered again
/// with the next response of the ledger.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// The limit of one volume.
#[derive(Clone, Debug)]
struct VolumeLimit {
    volume: VolumeId,
    rate: Budget,
    burst: Budget,
    /// The fraction of the rate that pays for a request of mean size within a second.
    min_rate: Fraction,
    /// The fraction of the burst that holds the largest request.
    min_burst: Fraction,
    /// 1.25 times as long as the whole rate takes to pay for the largest request, at most 60 s.
    turn: Duration,
    meter: DemandMeter,
    /// The demand counter as last read, in thousandths of units.
    seen: u64,
}

/// The limit of each volume whose service plan has one, the floor of the shares, and the demand counter of
/// every volume.
#[derive(Debug)]
pub(crate) struct SharedLimits {
    limits: Vec<VolumeLimit>,
    floor: Fraction,
    demand: Arc<[AtomicU64]>,
}

impl SharedLimits {
    /// Collects the volumes with a limit. `demand` counts thousandths of units by volume.
    pub(crate) fn new(
        settings: &HostSettings,
        fleet: &FleetSettings,
        demand: Arc<[AtomicU64]>,
    ) -> SharedLimits {
        let largest = settings.scheduler.max_units;
        let limit = |v: &crate::volumes::Volume| {
            let p = &settings.scheduler.plans[usize::from(v.plan)];
            (p.limit > 0.0).then(|| VolumeLimit {
                volume: v.id,
                rate: Budget::new(BudgetKind::Limit, &v.name),
                burst: Budget::new(BudgetKind::Burst, &v.name),
                // With a smaller share a request would wait past its aim, and at a host with little demand it
                // might never be sent.
                min_rate: Fraction::from_f64(settings.scheduler.mean_units / p.limit),
                min_burst: Fraction::from_f64(largest / p.burst.max(1e-9)),
                turn: Duration::from_secs_f64((1.25 * largest / p.limit).min(60.0)),
                meter: DemandMeter::new(p.limit, largest),
                seen: 0,
            })
        };
        SharedLimits {
            limits: settings.volumes.iter().filter_map(limit).collect(),
            floor: fleet.floor(),
            demand,
        }
    }

    /// The shares of a host that has no lease yet: the floors alone.
    pub(crate) fn floors(&self) -> Vec<LimitShare> {
        let floor = self.floor.as_f64();
        let expires_at_ms = f64::NEG_INFINITY;
        let share = |l: &VolumeLimit| LimitShare {
            volume: l.volume,
            floor,
            leased: 0.0,
            leased_burst: 0.0,
            expires_at_ms,
        };
        self.limits.iter().map(share).collect()
    }

    /// These limits as a user of the fleet's budgets.
    pub(crate) fn user(self, engine: Sender<Message>, clock: Clock) -> LimitUser {
        LimitUser { shared: self, engine, clock }
    }
}

/// Reports demand to the fleet and passes its shares to the engine.
pub(crate) struct LimitUser {
    shared: SharedLimits,
    engine: Sender<Message>,
    clock: Clock,
}

impl BudgetConsumer for LimitUser {
    fn demand(&mut self) -> Vec<Demand> {
        let (now, counters) = (self.clock.now_ms(), &self.shared.demand);
        let demand = |l: &mut VolumeLimit| {
            let total = counters.get(l.volume.0 as usize).map_or(0, |a| a.load(Ordering::Relaxed));
            let units = total.wrapping_sub(l.seen) as f64 / 1_000.0;
            l.seen = total;
            let demand = l.meter.record(now, units);
            [
                Demand { budget: l.rate.clone(), demand, min_fraction: l.min_rate, turn: l.turn },
                Demand { budget: l.burst.clone(), demand, min_fraction: l.min_burst, turn: l.turn },
            ]
        };
        self.shared.limits.iter_mut().flat_map(demand).collect()
    }

    fn apply(&mut self, shares: &[BudgetShare]) -> bool {
        let by_budget: HashMap<&Budget, &BudgetShare> = shares.iter().map(|p| (&p.budget, p)).collect();
        let share = |l: &VolumeLimit| {
            let (rate, burst) = (by_budget.get(&l.rate)?, by_budget.get(&l.burst)?);
            Some(LimitShare {
                volume: l.volume,
                floor: rate.floor.as_f64(),
                leased: rate.leased.as_f64(),
                leased_burst: burst.leased.as_f64(),
                // Rate and burst come from one lease.
                expires_at_ms: self.clock.ms_at(rate.expires_at.min(burst.expires_at)),
            })
        };
        let shares: Vec<LimitShare> = self.shared.limits.iter().filter_map(share).collect();
        let (done, applied) = bounded(1);
        // If the engine's queue is full, the previous shares stay in force until they expire.
        self.engine.try_send(Message::LimitShares(shares, done)).is_ok()
            && applied.recv_timeout(APPLY_TIMEOUT).is_ok()
    }
}
