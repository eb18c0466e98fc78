//! What is drawn for a play.

use crate::service_harness::shims::Failure;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::io::Errno;
use std::time::Duration;

/// Numbers drawn from a seed.
pub struct Draw(Pcg64Mcg);

impl Draw {
    pub fn new(seed: u64) -> Draw {
        Draw(Pcg64Mcg::new(u128::from(seed) << 64 | 0x9e37_79b9_7f4a_7c15))
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.0.next_u64() % bound
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.below(from.len() as u64) as usize]
    }
}

/// What happens to the process of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signals {
    None,
    /// SIGTERM, the kill at the platform's earliest, a new process.
    Restart,
    /// Two of SIGTERM, then as before.
    RestartTwiceTold,
    /// SIGHUP three times, the last to another discovery.
    Reloads,
    /// SIGHUP, and SIGTERM at once.
    ReloadAndRestart,
}

/// A play.
#[derive(Debug)]
pub struct Plan {
    pub seed: u64,
    pub hosts: usize,
    /// Nodes listed; a few of them stand, and hold the shard that is asked for.
    pub listed: usize,
    pub clients: usize,
    /// Clients that only connect.
    pub crowd: usize,
    /// Of a hundred attempts, so many meet a fault at their node.
    pub node_faults: u64,
    /// Of a hundred requests, so many are left by their client.
    pub leaves: u64,
    pub signals: Signals,
    pub clock_ahead_seconds: i64,
    pub failures: Vec<Failure>,
    /// A node drains in the middle, and starts anew.
    pub is_node_restarted: bool,
    pub lasts: Duration,
}

impl Plan {
    pub fn draw(seed: u64) -> Plan {
        let mut draw = Draw::new(seed);
        let signals = [
            Signals::None,
            Signals::Restart,
            Signals::Restart,
            Signals::RestartTwiceTold,
            Signals::Reloads,
            Signals::ReloadAndRestart,
        ];
        let kinds = [
            ("sendto", Errno::NOBUFS),
            ("sendto", Errno::INTR),
            ("recvfrom", Errno::NOMEM),
            ("recvfrom", Errno::INTR),
            ("accept4", Errno::CONNABORTED),
            ("accept4", Errno::NFILE),
            ("connect", Errno::ADDRNOTAVAIL),
            ("connect", Errno::NETUNREACH),
            ("socket", Errno::NOBUFS),
            ("epoll_wait", Errno::INTR),
        ];
        let failing = if draw.chance(50) { 1 + draw.below(3) } else { 0 };
        Plan {
            seed,
            hosts: 2,
            listed: draw.pick(&[6, 6, 200, 200, 3_200]),
            clients: draw.pick(&[4, 8, 12]),
            crowd: draw.pick(&[0, 0, 0, 40, 120]),
            node_faults: draw.pick(&[0, 5, 15]),
            leaves: draw.pick(&[0, 5, 20]),
            signals: draw.pick(&signals),
            clock_ahead_seconds: draw.pick(&[0, 0, 3_600, -3_600, 7]),
            failures: (0..failing)
                .map(|_| {
                    let (call, errno) = draw.pick(&kinds);
                    Failure { call, errno, per_mille: draw.pick(&[10, 50, 100]) }
                })
                .collect(),
            is_node_restarted: draw.chance(60),
            lasts: Duration::from_millis(5_500),
        }
    }
}
