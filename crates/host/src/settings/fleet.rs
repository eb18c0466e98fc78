//! `[fleet]`: a host's place among those that divide budgets.

use super::tables::{File, FleetTable};
use super::Checker;
use crate::units::Span;
use pearfork_fleet::{FaultInjection, FleetSettings, VoterAddress};
use pearfork_ledger::{Fraction, HostNumber, Timing};
use std::collections::HashSet;

/// Voters that a fleet may have. Two are no better than one, and nine take longer to agree than seven without bearing
/// more than anybody loses at once.
const VOTERS: [usize; 4] = [1, 3, 5, 7];

impl Checker<'_> {
    pub(super) fn fleet(&mut self, file: &File) -> Option<FleetSettings> {
        let f = file.fleet.as_ref()?;
        let before = self.faults.len();
        if f.name.is_empty() || f.name.len() > 100 {
            self.fault("fleet.name", "must be 1 to 100 bytes");
        }
        self.voters(f, file);
        let span = |s: &mut Self, key: &str, v: Span, from: f64, to: f64| {
            if !(from..=to).contains(&v.ms()) {
                s.fault(format!("fleet.{key}"), format!("is {} ms; it must be {from} to {to} ms", v.ms()));
            }
            v.ms()
        };
        let lease_ms = span(self, "lease", f.lease, 200.0, 60_000.0);
        let renewal_interval_ms = span(self, "ask", f.ask, 10.0, lease_ms / 4.0);
        let election_timeout_ms = span(self, "election", f.election, 50.0, 30_000.0);
        let heartbeat_interval_ms = span(self, "beat", f.beat, 5.0, election_timeout_ms / 4.0);
        if !(0.0..=1.0).contains(&f.drift) {
            self.fault("fleet.drift", "must be 0 to 1: by how much one clock may run faster than another");
        }
        if !(0.0..=0.9).contains(&f.floors) {
            self.fault("fleet.floors", "must be 0 to 0.9: the part of each whole that all floors make up");
        }
        if f.trouble.clock.is_some_and(|c| !(0.01..=100.0).contains(&c)) {
            self.fault("fleet.trouble.clock", "must be 0.01 to 100");
        }
        if f.trouble.clock.is_some() || f.trouble.disk.is_some() {
            self.warnings
                .push("fleet.trouble is for trials: this host's clock or disk is made to fail".to_owned());
        }
        for p in file.plan.iter().filter(|p| p.limit > 0.0) {
            // Danger: a part whose store can't hold a request never lets it go, whoever has it.
            if p.burst * (1.0 - f.floors) * 0.99 < file.rules.max_units {
                let what = format!(
                    "burst = {} less the floors ({}) does not hold a request of max_units = {}, which could never go",
                    p.burst, f.floors, file.rules.max_units
                );
                self.fault(format!("plan `{}`", p.name), what);
            } else if f.floors > 0.0 && p.burst * f.floors / f64::from(file.host.hosts.max(1)) < 1.0 {
                self.warnings.push(format!(
                    "plan `{}`: a host's floor of the burst is under one unit; while no voter leads nothing of it goes",
                    p.name
                ));
            }
        }
        (self.faults.len() == before).then(|| FleetSettings {
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

    fn voters(&mut self, f: &FleetTable, file: &File) {
        if !VOTERS.contains(&f.voters.len()) {
            let what = format!("names {} voters; a fleet has 1, 3, 5 or 7", f.voters.len());
            self.fault("fleet.voters", what);
        } else if f.voters.len() == 1 {
            self.warnings.push(
                "fleet.voters names one voter: while that host is down nothing is lent, and the floors alone hold"
                    .to_owned(),
            );
        }
        let mut seen = HashSet::new();
        for v in &f.voters {
            if u32::from(v.host) >= file.host.hosts {
                let what = format!("host {} is not below hosts = {}", v.host, file.host.hosts);
                self.fault("fleet.voters", what);
            }
            if !seen.insert(v.host) {
                self.fault("fleet.voters", format!("host {} is named twice", v.host));
            }
        }
        let votes = f.voters.iter().any(|v| v.host == file.host.number);
        let given = [("listen", f.listen.is_some()), ("folder", f.folder.is_some())];
        for (key, _) in given.iter().filter(|(_, given)| *given != votes) {
            let entry = format!("fleet.{key}");
            if votes {
                self.fault(entry, "is missing: this host is a voter, and needs it");
            } else {
                self.fault(entry, "is for voters, and this host is none");
            }
        }
        // A number that does not fit the messages.
        if file.host.hosts > u32::from(u16::MAX) {
            self.fault("host.hosts", "a fleet has 65535 hosts at the most");
        }
    }
}
