//! Who runs the hosts of a day: this process, or processes of their own.

use crate::run::RunError;
use crate::scenario::{EventKind, EventTable, Scenario};
use pearfork_host::counts::{ClassCounts, ReasonCounts};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use std::net::SocketAddr;
use std::time::Duration;

/// By class, and refusals and failures by reason.
pub type HostCounts = (Vec<ClassCounts>, ReasonCounts);

/// Runs the hosts of a day.
pub trait HostRunner {
    /// Starts all hosts; where clients find each.
    ///
    /// # Errors
    /// One could not start.
    fn start(
        &mut self,
        day: &Scenario,
        plan: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError>;
    /// Starts one again that was killed.
    ///
    /// # Errors
    /// It could not start.
    fn restart(&mut self, host: u16) -> Result<(), RunError>;
    /// Kills one outright; false where it was not there.
    fn kill(&mut self, host: u16) -> bool;
    /// Lets one stand still for so long.
    fn stall(&mut self, host: u16, span: Duration);
    /// What one counted since it started; none where it can't be asked.
    fn counts(&self, host: u16) -> Option<HostCounts>;
    /// A trouble that only processes can have begins or ends.
    ///
    /// # Errors
    /// It can't be brought about here.
    fn set_fault(&mut self, event: &EventTable, begins: bool) -> Result<(), RunError>;
    /// Stops all that still run, in order.
    fn stop(&mut self);
}

impl EventKind {
    /// Whether only hosts in processes of their own can have it.
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

/// All hosts in this process.
#[derive(Default)]
pub struct InProcessRunner {
    hosts: Vec<Option<Host>>,
    plans: Vec<HostSettings>,
}

impl HostRunner for InProcessRunner {
    fn start(
        &mut self,
        day: &Scenario,
        plan: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, RunError> {
        if let Some(e) = day.events.iter().find(|e| e.what.needs_host_processes()) {
            let words =
                format!("{:?} needs hosts in processes of their own: pearfork-trial plays them", e.what);
            return Err(RunError::Invalid(words));
        }
        if plan.fleet.is_some() {
            let words = "hosts with a [fleet] need processes of their own: pearfork-trial plays them";
            return Err(RunError::Invalid(words.to_owned()));
        }
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 0..day.run.hosts {
            let mut own = plan.clone();
            own.number = number;
            own.scheduler.hosts = u32::from(day.run.hosts);
            for v in &mut own.volumes {
                v.hosts = u32::from(day.run.hosts);
            }
            (own.listen, own.http, own.directory) = (anywhere, None, directory);
            own.seed = Some(day.run.seed.wrapping_mul(1_000).wrapping_add(u64::from(number)));
            let host = Host::start(own.clone())?;
            own.listen = host.address();
            self.hosts.push(Some(host));
            self.plans.push(own);
        }
        Ok(self.plans.iter().map(|p| p.listen).collect())
    }

    fn restart(&mut self, host: u16) -> Result<(), RunError> {
        let i = usize::from(host);
        self.hosts[i] = Some(Host::start(self.plans[i].clone())?);
        Ok(())
    }

    fn kill(&mut self, host: u16) -> bool {
        let host = self.hosts.get_mut(usize::from(host)).and_then(Option::take);
        host.iter().for_each(Host::kill);
        host.is_some()
    }

    fn stall(&mut self, host: u16, span: Duration) {
        if let Some(h) = self.hosts.get(usize::from(host)).and_then(Option::as_ref) {
            h.stall_engine(span);
        }
    }

    fn counts(&self, host: u16) -> Option<HostCounts> {
        self.hosts.get(usize::from(host)).and_then(Option::as_ref).and_then(Host::counts)
    }

    fn set_fault(&mut self, event: &EventTable, _: bool) -> Result<(), RunError> {
        Err(RunError::Invalid(format!("{:?} needs hosts in processes of their own", event.what)))
    }

    fn stop(&mut self) {
        for host in self.hosts.iter().flatten() {
            host.stop();
        }
    }
}
