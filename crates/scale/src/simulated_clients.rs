//! Simulated clients of a host: generate the demand for budgets and record when it is served.

use crate::load::{LoadModel, DEMAND_PER_USER};
use crate::size::Size;
use pearfork_fleet::{BudgetConsumer, BudgetShare, Demand};
use pearfork_ledger::{Budget, BudgetKind, Fraction};
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Fraction of a budget from which on a new user of a volume counts as served.
const SERVED_FRACTION: f64 = 0.1;

/// Clock of a run: milliseconds since its start, which all processes are given.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    start_unix_ms: f64,
}

impl RunClock {
    /// Creates a clock that started at this Unix time, milliseconds.
    pub fn since(start_unix_ms: f64) -> RunClock {
        RunClock { start_unix_ms }
    }

    /// Returns the Unix time, milliseconds.
    pub fn unix_ms() -> f64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1_000.0
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> f64 {
        RunClock::unix_ms() - self.start_unix_ms
    }
}

/// For each move of load: time until the new user of the volume was served, milliseconds.
pub type MoveTimes = Arc<Mutex<Vec<f64>>>;

/// A volume with its two budgets, and the state of its last move.
struct Volume {
    number: u32,
    budgets: [Budget; 2],
    /// Number of moves of the volume's load so far.
    moves: u64,
    /// Time of the move that made this host a user of the volume, until it is served.
    waiting_since_ms: Option<f64>,
}

/// The simulated clients of one host.
pub struct SimulatedClients {
    host: u32,
    load: LoadModel,
    jitter: f64,
    least: Fraction,
    clock: RunClock,
    rng: Pcg64Mcg,
    volumes: Vec<Volume>,
    /// Index of the volume of each limit budget.
    index_by_limit: HashMap<Budget, usize>,
    move_times: MoveTimes,
}

impl SimulatedClients {
    /// Creates the clients of a host, which hold one state for each volume of the fleet instead of one for
    /// each client. The random numbers depend on the seed of `size` and on `host`. The time until a moved
    /// load is served is appended to `move_times`.
    pub fn new(host: u32, size: &Size, clock: RunClock, move_times: MoveTimes) -> SimulatedClients {
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
        let index_by_limit = volumes.iter().enumerate().map(|(i, v)| (v.budgets[0].clone(), i)).collect();
        SimulatedClients {
            host,
            load: LoadModel::new(size),
            jitter: size.jitter,
            least: Fraction::from_f64(size.least),
            clock,
            rng: Pcg64Mcg::new(u128::from(size.seed) << 32 | u128::from(host) << 1 | 1),
            volumes,
            index_by_limit,
            move_times,
        }
    }

    /// Returns a random factor around 1, which models the variation of measured demand.
    fn jitter_factor(&mut self) -> f64 {
        let uniform = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        1.0 + self.jitter * (2.0 * uniform - 1.0)
    }
}

impl BudgetConsumer for SimulatedClients {
    fn demand(&mut self) -> Vec<Demand> {
        let now = self.clock.now_ms();
        let least = self.least;
        let mut demands = Vec::with_capacity(2 * self.volumes.len());
        for at in 0..self.volumes.len() {
            let number = self.volumes[at].number;
            let moves = self.load.move_count(number, now);
            let is_user = self.load.is_user(self.host, number, moves);
            let jitter_factor = if is_user { self.jitter_factor() } else { 0.0 };
            let volume = &mut self.volumes[at];
            if volume.moves != moves {
                volume.moves = moves;
                let is_new_user = self.load.is_new_user(self.host, number, moves);
                volume.waiting_since_ms = is_new_user.then(|| self.load.last_moved_ms(number, now));
            }
            let wanted = Fraction::from_f64(DEMAND_PER_USER * jitter_factor);
            let demand = |budget: &Budget| Demand {
                budget: budget.clone(),
                demand: wanted,
                min_fraction: least,
                turn: Duration::ZERO,
            };
            demands.extend(volume.budgets.iter().map(demand));
        }
        demands
    }

    fn apply(&mut self, shares: &[BudgetShare]) -> bool {
        let now = self.clock.now_ms();
        let now_instant = Instant::now();
        for share in
            shares.iter().filter(|p| now_instant < p.expires_at && p.leased.as_f64() >= SERVED_FRACTION)
        {
            let Some(at) = self.index_by_limit.get(&share.budget) else { continue };
            if let Some(since) = self.volumes[*at].waiting_since_ms.take() {
                self.move_times.lock().unwrap_or_else(PoisonError::into_inner).push(now - since);
            }
        }
        true
    }
}
