//! Runs the hosts of a scenario: in this process, or through another implementation in separate processes.

use crate::run::RunError;
use crate::scenario::{EventKind, EventTable, Scenario};
use pearfork_host::counts::{ClassCounts, ReasonCounts};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use std::net::SocketAddr;
use std::time::Duration;

/// Counts of a host: by class, and its refusals and failures by reason.
pub type HostCounts = (Vec<ClassCounts>, ReasonCounts);

/// Starts, disturbs and stops the hosts of a scenario.
pub trait HostRunner {
    /// Starts all hosts and returns the address at which clients connect to each.
    ///
    /// # Errors
    /// Returns an error if a host could not start.
    fn start(
        &mut self,
        scenario: &Scenario,
        settings: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError>;
    /// Restarts a host that was killed.
    ///
    /// # Errors
    /// Returns an error if it could not start.
    fn restart(&mut self, host: u16) -> Result<(), RunError>;
    /// Kills a host without shutting it down. Returns `false` if it was not running.
    fn kill(&mut self, host: u16) -> bool;
    /// Stalls a host for a duration.
    fn stall(&mut self, host: u16, duration: Duration);
    /// Returns what a host has counted since it started, or `None` if it cannot be queried.
    fn counts(&self, host: u16) -> Option<HostCounts>;
    /// Starts or ends a fault that requires hosts in separate processes.
    ///
    /// # Errors
    /// Returns an error if this runner does not support the fault.
    fn set_fault(&mut self, event: &EventTable, active: bool) -> Result<(), RunError>;
    /// Shuts down all hosts that still run.
    fn stop(&mut self);
}

impl EventKind {
    /// Whether this kind of fault requires hosts in separate processes.
    pub fn needs_host_processes(self) -> bool {
        use EventKind as K;
        matches!(
            self,
            K::HostStop
                | K::HostTerm
                | K::Cut
                | K::CutOneWay
                | K::Split
                | K::Ring
                | K::SlowLink
                | K::DropLink
                | K::RepeatLink
                | K::ResetLink
                | K::Trickle
                | K::Disk
        )
    }
}

/// Runs all hosts in this process.
#[derive(Default)]
pub struct InProcessRunner {
    hosts: Vec<Option<Host>>,
    settings_by_host: Vec<HostSettings>,
}

impl HostRunner for InProcessRunner {
    fn start(
        &mut self,
        scenario: &Scenario,
        settings: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError> {
        if let Some(e) = scenario.events.iter().find(|e| e.what.needs_host_processes()) {
            let message = format!(
                "{:?} requires hosts in separate processes, run the scenario with pearfork-trial",
                e.what
            );
            return Err(RunError::Invalid(message));
        }
        if settings.fleet.is_some() {
            let message =
                "hosts with a [fleet] require separate processes, run the scenario with pearfork-trial";
            return Err(RunError::Invalid(message.to_owned()));
        }
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 0..scenario.run.hosts {
            let mut host_settings = settings.clone();
            host_settings.number = number;
            host_settings.scheduler.hosts = u32::from(scenario.run.hosts);
            for v in &mut host_settings.volumes {
                v.hosts = u32::from(scenario.run.hosts);
            }
            (host_settings.listen, host_settings.http, host_settings.directory) = (any_port, None, directory);
            host_settings.seed = Some(scenario.run.seed.wrapping_mul(1_000).wrapping_add(u64::from(number)));
            let host = Host::start(host_settings.clone())?;
            host_settings.listen = host.address();
            self.hosts.push(Some(host));
            self.settings_by_host.push(host_settings);
        }
        Ok(self.settings_by_host.iter().map(|p| p.listen).collect())
    }

    fn restart(&mut self, host: u16) -> Result<(), RunError> {
        let index = usize::from(host);
        self.hosts[index] = Some(Host::start(self.settings_by_host[index].clone())?);
        Ok(())
    }

    fn kill(&mut self, host: u16) -> bool {
        let host = self.hosts.get_mut(usize::from(host)).and_then(Option::take);
        host.iter().for_each(Host::kill);
        host.is_some()
    }

    fn stall(&mut self, host: u16, duration: Duration) {
        if let Some(h) = self.hosts.get(usize::from(host)).and_then(Option::as_ref) {
            h.stall_engine(duration);
        }
    }

    fn counts(&self, host: u16) -> Option<HostCounts> {
        self.hosts.get(usize::from(host)).and_then(Option::as_ref).and_then(Host::counts)
    }

    fn set_fault(&mut self, event: &EventTable, _: bool) -> Result<(), RunError> {
        Err(RunError::Invalid(format!("{:?} requires hosts in separate processes", event.what)))
    }

    fn stop(&mut self) {
        for host in self.hosts.iter().flatten() {
            host.stop();
        }
    }
}
