//! Random scenarios of the soak test.

use crate::service_harness::shims::SyscallFault;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use rustix::io::Errno;
use std::time::Duration;

/// A seeded random number generator.
pub struct Random(Pcg64Mcg);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(Pcg64Mcg::new(u128::from(seed) << 64 | 0x9e37_79b9_7f4a_7c15))
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

/// Signals to the process of the first host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signals {
    None,
    /// SIGTERM, SIGKILL when the platform would send it at the earliest, and a new process.
    Restart,
    /// SIGTERM twice, then as [`Signals::Restart`].
    RestartAfterTwoSigterms,
    /// SIGHUP three times, the last with another discovery address.
    Reloads,
    /// SIGHUP with another discovery address, and SIGTERM right after it.
    ReloadAndRestart,
}

/// Parameters of a run.
#[derive(Debug)]
pub struct Scenario {
    pub seed: u64,
    pub hosts: usize,
    /// Nodes in the list. Only a few fake nodes run: the listed ones share their addresses.
    pub listed_nodes: usize,
    pub clients: usize,
    /// Clients that connect and send nothing.
    pub idle_clients: usize,
    /// Percentage of attempts at which the node has a fault.
    pub node_fault_percent: u64,
    /// Percentage of requests during which the client disconnects.
    pub disconnect_percent: u64,
    pub signals: Signals,
    pub clock_ahead_seconds: i64,
    pub syscall_faults: Vec<SyscallFault>,
    /// Whether the first node drains and then restarts during the run.
    pub is_node_restarted: bool,
    pub duration: Duration,
}

impl Scenario {
    pub fn random(seed: u64) -> Scenario {
        let mut random = Random::new(seed);
        let signals = [
            Signals::None,
            Signals::Restart,
            Signals::Restart,
            Signals::RestartAfterTwoSigterms,
            Signals::Reloads,
            Signals::ReloadAndRestart,
        ];
        let fault_kinds = [
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
        let fault_count = if random.chance(50) { 1 + random.below(3) } else { 0 };
        Scenario {
            seed,
            hosts: 2,
            listed_nodes: random.pick(&[6, 6, 200, 200, 3_200]),
            clients: random.pick(&[4, 8, 12]),
            idle_clients: random.pick(&[0, 0, 0, 40, 120]),
            node_fault_percent: random.pick(&[0, 5, 15]),
            disconnect_percent: random.pick(&[0, 5, 20]),
            signals: random.pick(&signals),
            clock_ahead_seconds: random.pick(&[0, 0, 3_600, -3_600, 7]),
            syscall_faults: (0..fault_count)
                .map(|_| {
                    let (call, errno) = random.pick(&fault_kinds);
                    SyscallFault { call, errno, per_mille: random.pick(&[10, 50, 100]) }
                })
                .collect(),
            is_node_restarted: random.chance(60),
            duration: Duration::from_millis(5_500),
        }
    }
}
