//! Who runs the hosts of a day: this process, or processes of their own.

use crate::play::DayError;
use crate::script::{Day, EventKind, EventTable};
use pearfork_host::counts::{ClassCounts, ReasonCounts};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use std::net::SocketAddr;
use std::time::Duration;

/// By class, and refusals and failures by reason.
pub type Counts = (Vec<ClassCounts>, ReasonCounts);

/// Runs the hosts of a day.
pub trait Crew {
    /// Starts all hosts; where clients find each.
    ///
    /// # Errors
    /// One could not start.
    fn start(
        &mut self,
        day: &Day,
        plan: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, DayError>;
    /// Starts one again that was killed.
    ///
    /// # Errors
    /// It could not start.
    fn restart(&mut self, host: u16) -> Result<(), DayError>;
    /// Kills one outright; false where it was not there.
    fn kill(&mut self, host: u16) -> bool;
    /// Lets one stand still for so long.
    fn stall(&mut self, host: u16, span: Duration);
    /// What one counted since it started; none where it can't be asked.
    fn counts(&self, host: u16) -> Option<Counts>;
    /// A trouble that only processes can have begins or ends.
    ///
    /// # Errors
    /// It can't be brought about here.
    fn trouble(&mut self, event: &EventTable, begins: bool) -> Result<(), DayError>;
    /// Stops all that still run, in order.
    fn stop(&mut self);
}

impl EventKind {
    /// Whether only hosts in processes of their own can have it.
    pub fn of_processes(self) -> bool {
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
pub struct InProcess {
    hosts: Vec<Option<Host>>,
    plans: Vec<HostSettings>,
}

impl Crew for InProcess {
    fn start(
        &mut self,
        day: &Day,
        plan: &HostSettings,
        directory: SocketAddr,
    ) -> Result<Vec<SocketAddr>, DayError> {
        if let Some(e) = day.event.iter().find(|e| e.what.of_processes()) {
            let words =
                format!("{:?} needs hosts in processes of their own: pearfork-trial plays them", e.what);
            return Err(DayError::Unfit(words));
        }
        if plan.fleet.is_some() {
            let words = "hosts with a [fleet] need processes of their own: pearfork-trial plays them";
            return Err(DayError::Unfit(words.to_owned()));
        }
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 0..day.day.hosts {
            let mut own = plan.clone();
            own.number = number;
            own.scheduler.hosts = u32::from(day.day.hosts);
            for v in &mut own.volumes {
                v.hosts = u32::from(day.day.hosts);
            }
            (own.listen, own.http, own.directory) = (anywhere, None, directory);
            own.seed = Some(day.day.seed.wrapping_mul(1_000).wrapping_add(u64::from(number)));
            let host = Host::start(own.clone())?;
            own.listen = host.address();
            self.hosts.push(Some(host));
            self.plans.push(own);
        }
        Ok(self.plans.iter().map(|p| p.listen).collect())
    }

    fn restart(&mut self, host: u16) -> Result<(), DayError> {
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

    fn counts(&self, host: u16) -> Option<Counts> {
        self.hosts.get(usize::from(host)).and_then(Option::as_ref).and_then(Host::counts)
    }

    fn trouble(&mut self, event: &EventTable, _: bool) -> Result<(), DayError> {
        Err(DayError::Unfit(format!("{:?} needs hosts in processes of their own", event.what)))
    }

    fn stop(&mut self) {
        for host in self.hosts.iter().flatten() {
            host.stop();
        }
    }
}
