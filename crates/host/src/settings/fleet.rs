//! Checks `[fleet]`, the host's place in a fleet that lends budgets.

use super::tables::{FleetTable, SettingsFile};
use super::Checker;
use crate::units::Span;
use pearfork_fleet::{FaultInjection, FleetSettings, VoterAddress};
use pearfork_ledger::{Fraction, HostNumber, Timing};
use std::collections::HashSet;

/// Numbers of voters that a fleet may have. Two voters tolerate no more failures than one. Nine take longer
/// to agree than seven, and seven already tolerate three failures at once.
const VOTER_COUNTS: [usize; 4] = [1, 3, 5, 7];

impl Checker<'_> {
    pub(super) fn fleet(&mut self, file: &SettingsFile) -> Option<FleetSettings> {
        let f = file.fleet.as_ref()?;
        let errors_before = self.errors.len();
        if f.name.is_empty() || f.name.len() > 100 {
            self.error("fleet.name", "must be 1 to 100 bytes");
        }
        self.check_voters(f, file);
        let ms_within = |s: &mut Self, key: &str, v: Span, from: f64, to: f64| {
            if !(from..=to).contains(&v.ms()) {
                s.error(format!("fleet.{key}"), format!("is {} ms; it must be {from} to {to} ms", v.ms()));
            }
            v.ms()
        };
        let lease_ms = ms_within(self, "lease", f.lease, 200.0, 60_000.0);
        let renewal_interval_ms = ms_within(self, "ask", f.ask, 10.0, lease_ms / 4.0);
        let election_timeout_ms = ms_within(self, "election", f.election, 50.0, 30_000.0);
        let heartbeat_interval_ms = ms_within(self, "beat", f.beat, 5.0, election_timeout_ms / 4.0);
        if !(0.0..=1.0).contains(&f.drift) {
            self.error(
                "fleet.drift",
                "must be 0 to 1: by what fraction one clock may run faster than another",
            );
        }
        if !(0.0..=0.9).contains(&f.floors) {
            self.error(
                "fleet.floors",
                "must be 0 to 0.9: the fraction of each budget that all floors add up to",
            );
        }
        if f.trouble.clock.is_some_and(|c| !(0.01..=100.0).contains(&c)) {
            self.error("fleet.trouble.clock", "must be 0.01 to 100: the rate of this host's clock");
        }
        if f.trouble.clock.is_some() || f.trouble.disk.is_some() {
            self.warnings.push(
                "fleet.trouble is for tests only: it injects faults into this host's clock or disk"
                    .to_owned(),
            );
        }
        for p in file.plan.iter().filter(|p| p.limit > 0.0) {
            // A burst that cannot hold the largest request never admits it, whichever host has the lease: the
            // request would wait for ever.
            if p.burst * (1.0 - f.floors) * 0.99 < file.rules.max_units {
                let what = format!(
                    "burst = {} less the floors ({}) is smaller than a request of max_units = {}, which could never be sent",
                    p.burst, f.floors, file.rules.max_units
                );
                self.error(format!("plan `{}`", p.name), what);
            } else if f.floors > 0.0 && p.burst * f.floors / f64::from(file.host.hosts.max(1)) < 1.0 {
                self.warnings.push(format!(
                    "plan `{}`: a host's floor of the burst is below one unit; without a leader its volumes are not served",
                    p.name
                ));
            }
        }
        (self.errors.len() == errors_before).then(|| FleetSettings {
            name: f.name.clone(),
            host: HostNumber(file.host.number),
            max_hosts: file.host.hosts,
            listen: f.listen,
            folder: f.folder.clone(),
            voters: f
                .voters
                .iter()
                .map(|v| VoterAddress { host: HostNumber(v.host), address: v.address })
                .collect(),
            total_floor: Fraction::from_f64(f.floors),
            timing: Timing {
                lease_ms,
                max_clock_drift: f.drift,
                renewal_interval_ms,
                heartbeat_interval_ms,
                election_timeout_ms,
            },
            fault_injection: FaultInjection {
                clock_rate: f.trouble.clock,
                disk_fault_file: f.trouble.disk.clone(),
            },
        })
    }

    /// Checks the number of voters, each voter's host number, that `listen` and `folder` are set exactly if
    /// this host is a voter, and the number of hosts. Adds what it finds to the errors and warnings.
    fn check_voters(&mut self, f: &FleetTable, file: &SettingsFile) {
        if !VOTER_COUNTS.contains(&f.voters.len()) {
            let what = format!("names {} voters; a fleet has 1, 3, 5 or 7", f.voters.len());
            self.error("fleet.voters", what);
        } else if f.voters.len() == 1 {
            self.warnings.push(
                "fleet.voters names one voter: while that host is down nothing is lent, and hosts have only their floors"
                    .to_owned(),
            );
        }
        let mut seen = HashSet::new();
        for v in &f.voters {
            if u32::from(v.host) >= file.host.hosts {
                let what = format!("host {} is not below hosts = {}", v.host, file.host.hosts);
                self.error("fleet.voters", what);
            }
            if !seen.insert(v.host) {
                self.error("fleet.voters", format!("host {} is named twice", v.host));
            }
        }
        let is_voter = f.voters.iter().any(|v| v.host == file.host.number);
        let given = [("listen", f.listen.is_some()), ("folder", f.folder.is_some())];
        for (key, _) in given.iter().filter(|(_, given)| *given != is_voter) {
            let entry = format!("fleet.{key}");
            if is_voter {
                self.error(entry, "is missing: this host is a voter, and needs it");
            } else {
                self.error(entry, "is for voters only; this host is not a voter");
            }
        }
        // Messages carry the number of a host in 16 bits.
        if file.host.hosts > u32::from(u16::MAX) {
            self.error("host.hosts", "a fleet has at most 65535 hosts");
        }
    }
}
