//! A hollow host: the membership of a real one, whose demand is drawn.

use crate::load::{Load, DEMAND};
use crate::size::Size;
use pearfork_fleet::{BudgetConsumer, BudgetShare, Demand};
use pearfork_ledger::{Budget, BudgetKind, Fraction};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// From this fraction on a newcomer counts as served.
const SERVED_FROM: f64 = 0.1;

/// Milliseconds since a moment that all processes were told.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    began_unix_ms: f64,
}

impl RunClock {
    /// A clock that began at this Unix time, milliseconds.
    pub fn since(began_unix_ms: f64) -> RunClock {
        RunClock { began_unix_ms }
    }

    /// Unix time, milliseconds.
    pub fn unix_ms() -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
    }

    /// Milliseconds since the run began.
    pub fn now_ms(&self) -> f64 {
        RunClock::unix_ms() - self.began_unix_ms
    }
}

/// How long moves took until their newcomers were served, milliseconds.
pub type MoveTimes = Arc<Mutex<Vec<f64>>>;

/// The two budgets of a volume, and what this host last wanted of them.
struct Volume {
    number: u32,
    budgets: [Budget; 2],
    moves: u64,
    /// A move made this host a user, and it is not served yet.
    waiting_since_ms: Option<f64>,
}

/// The drawn clients of one hollow host.
pub struct HollowUser {
    host: u32,
    load: Load,
    jitter: f64,
    least: Fraction,
    clock: RunClock,
    random: Pcg64Mcg,
    volumes: Vec<Volume>,
    by_rate: HashMap<Budget, usize>,
    move_times: MoveTimes,
}

impl HollowUser {
    /// The clients of a host.
    pub fn new(host: u32, size: &Size, clock: RunClock, move_times: MoveTimes) -> HollowUser {
        let volume = |number: u32| {
            let name = format!("volume-{number:05}");
            Volume {
                number,
                budgets: [Budget::new(BudgetKind::Limit, &name), Budget::new(BudgetKind::Burst, &name)],
                moves: 0,
                waiting_since_ms: None,
            }
        };
        let volumes: Vec<Volume> = (0..size.volumes()).map(volume).collect();
        let by_rate = volumes.iter().enumerate().map(|(i, v)| (v.budgets[0].clone(), i)).collect();
        HollowUser {
            host,
            load: Load::new(size),
            jitter: size.jitter,
            least: Fraction::from_f64(size.least),
            clock,
            random: Pcg64Mcg::new(u128::from(size.seed) << 32 | u128::from(host) << 1 | 1),
            volumes,
            by_rate,
            move_times,
        }
    }

    /// A factor around 1, for what measured demand strays.
    fn stray(&mut self) -> f64 {
        let drawn = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        1.0 + self.jitter * (2.0 * drawn - 1.0)
    }
}

impl BudgetConsumer for HollowUser {
    fn demand(&mut self) -> Vec<Demand> {
        let now = self.clock.now_ms();
        let least = self.least;
        let mut demands = Vec::with_capacity(2 * self.volumes.len());
        for at in 0..self.volumes.len() {
            let number = self.volumes[at].number;
            let moves = self.load.moves(number, now);
            let is_user = self.load.uses(self.host, number, moves);
            let stray = if is_user { self.stray() } else { 0.0 };
            let volume = &mut self.volumes[at];
            if volume.moves != moves {
                volume.moves = moves;
                let is_newcomer = self.load.is_newcomer(self.host, number, moves);
                volume.waiting_since_ms = is_newcomer.then(|| self.load.moved_at(number, now));
            }
            let asked = Fraction::from_f64(DEMAND * stray);
            let demand = |budget: &Budget| Demand {
                budget: budget.clone(),
                demand: asked,
                min_fraction: least,
                turn: Duration::ZERO,
            };
            demands.extend(volume.budgets.iter().map(demand));
        }
        demands
    }

    fn apply(&mut self, portions: &[BudgetShare]) -> bool {
        let now = self.clock.now_ms();
        let valid_at = Instant::now();
        for portion in portions.iter().filter(|p| valid_at < p.expires_at && p.leased.as_f64() >= SERVED_FROM)
        {
            let Some(at) = self.by_rate.get(&portion.budget) else { continue };
            if let Some(since) = self.volumes[*at].waiting_since_ms.take() {
                self.move_times.lock().unwrap_or_else(PoisonError::into_inner).push(now - since);
            }
        }
        true
    }
}
