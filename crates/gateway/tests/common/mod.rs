//! Hosts, nodes and a plain initiator on loopback.
#![allow(dead_code)]

use pearfork_day::{check_notes, rule_parameters};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_iscsi::{Command, CommandDone, InitiatorConfig, Payload};
use pearfork_net::{Connection, ConnectionEvent, TapRef, Token};
use pearfork_rulecheck::{Place, Report, What};
use pearfork_scsi::{lun_field, Media, MediaOp};
use pearfork_stand::{Fleet, FleetSpec, Recorder};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const HOSTS: &str = include_str!("../../../day/days/bad-day-hosts.toml");
/// Wide enough for a machine that pauses.
pub const LONG: Duration = Duration::from_secs(10);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub struct World {
    pub plan: HostSettings,
    pub fleet: Fleet,
    pub hosts: Vec<Host>,
    pub recorder: Recorder,
}

impl World {
    pub fn new(hosts: u16) -> World {
        Self::with(hosts, &FleetSpec::default(), HOSTS)
    }

    pub fn with(hosts: u16, spec: &FleetSpec, settings: &str) -> World {
        let mut plan = HostSettings::from_toml(settings).unwrap_or_else(|e| panic!("{e}"));
        plan.scheduler.hosts = u32::from(hosts);
        plan.volumes.iter_mut().for_each(|v| v.hosts = u32::from(hosts));
        let recorder = Recorder::default();
        let fleet = Fleet::start(spec, &plan.scheduler, anywhere(), Duration::ZERO, &recorder).unwrap();
        let mut world = World { plan, fleet, hosts: Vec::new(), recorder };
        (0..hosts).for_each(|number| world.add_host(number));
        world
    }

    pub fn add_host(&mut self, number: u16) {
        let mut own = self.plan.clone();
        (own.number, own.seed) = (number, Some(u64::from(number) + 7));
        (own.listen, own.http) = (anywhere(), Some(anywhere()));
        own.directory = self.fleet.directory().address();
        let host = Host::start(own).unwrap();
        // The first list is had when health says that a node is ready.
        let http = host.http_address().unwrap();
        eventually("a node list", || {
            pearfork_net::http::get(http, "/health", ms(2000)).is_ok_and(|(status, _)| status == 200)
        });
        self.hosts.push(host);
    }

    pub fn rules(&self) -> Report {
        check_notes(
            &self.recorder.notes(),
            &self.plan,
            rule_parameters::from_settings(&self.plan, 500.0, 0.0),
        )
        .report
    }

    pub fn assert_rules(&self) {
        let report = self.rules();
        assert!(report.kept(), "\n{report}");
    }

    pub fn asker(&self, host: usize, volume: usize) -> Asker {
        Asker::open(self.hosts[host].address(), &self.recorder, host as u16, &self.plan, volume, 1)
            .expect("a login")
    }

    /// Effects noted by nodes.
    pub fn applied(&self) -> usize {
        self.recorder.notes().iter().filter(|n| matches!(n.what, What::Applied { .. })).count()
    }
}

/// Waits until something holds, far longer than it should take.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        std::thread::sleep(ms(5));
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Number(pub u32);

impl Token for Number {}

/// A plain initiator.
pub struct Asker {
    pub connection: Arc<Connection<Number>>,
    events: Receiver<ConnectionEvent<Number>>,
    unit: u16,
    next: std::cell::Cell<u32>,
}

impl Asker {
    pub fn open(
        address: SocketAddr,
        recorder: &Recorder,
        host: u16,
        plan: &HostSettings,
        volume: usize,
        isid: u8,
    ) -> Result<Asker, pearfork_net::ConnectError> {
        let (to, events) = channel();
        let volume = &plan.volumes[volume];
        let config = InitiatorConfig {
            name: "iqn.2026-12.org.example:asker".to_owned(),
            target: Some(volume.target.clone()),
            isid: [0x80, 0, 0, 0, 0, isid],
            digests: false,
            extension: false,
        };
        let tap = recorder.tap(Place::Client { host }, |_, _, _| {}).map(|t| (t, 0));
        let tell = move |e| drop(to.send(e));
        let connection = Connection::open(address, config, LONG, TapRef(tap), tell)?;
        Ok(Asker { connection, events, unit: volume.lun, next: std::cell::Cell::new(1) })
    }

    /// Sends without waiting; its number.
    pub fn send(&self, op: MediaOp, lba: u64, blocks: u32, data: Vec<u8>) -> Number {
        let media = Media { op, lba, blocks, fua: false, group: 0 };
        let number = Number(self.next.get());
        self.next.set(number.0 + 1);
        let command = Command {
            lun: lun_field(self.unit),
            cdb: media.to_cdb(),
            read_len: media.data_in(512) as u32,
            data: Payload::from(data),
            ext: None,
        };
        self.connection.submit(number, command).expect("an open session");
        number
    }

    pub fn event(&self) -> ConnectionEvent<Number> {
        self.events.recv_timeout(LONG).expect("an event")
    }

    /// The next command to end.
    pub fn done(&self) -> (Number, CommandDone) {
        match self.event() {
            ConnectionEvent::Done(number, done) => (number, *done),
            other => panic!("{other:?}"),
        }
    }

    pub fn ask(&self, op: MediaOp, lba: u64, blocks: u32, data: Vec<u8>) -> CommandDone {
        let number = self.send(op, lba, blocks, data);
        let (ended, done) = self.done();
        assert_eq!(ended, number);
        done
    }

    pub fn write(&self, lba: u64, blocks: u32, fill: u8) -> CommandDone {
        self.ask(MediaOp::Write, lba, blocks, vec![fill; blocks as usize * 512])
    }

    pub fn read(&self, lba: u64, blocks: u32) -> CommandDone {
        self.ask(MediaOp::Read, lba, blocks, Vec::new())
    }
}

/// Status and sense key.
pub fn ended(d: &CommandDone) -> (u8, u8) {
    (d.status, pearfork_scsi::Sense::key_and_code(&d.sense).map_or(0, |k| k.0))
}
