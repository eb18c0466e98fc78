//! Test environment of `pearfork_host`: hosts, fake nodes and an initiator in one process, on loopback.
#![allow(dead_code)]

pub mod node_relay;

use pearfork_day::{check_events, rule_parameters};
use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_iscsi::{Command, CommandCompletion, InitiatorConfig, Payload};
use pearfork_net::{CommandToken, Connection, ConnectionEvent, StreamTap};
use pearfork_rulecheck::{Endpoint, Report, TraceEventKind};
use pearfork_scsi::{encode_lun, MediaCommand, MediaOp};
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const SETTINGS: &str = include_str!("../../../day/days/bad-day-hosts.toml");
/// Longest wait for an expected event, with room for pauses of the machine.
pub const TIMEOUT: Duration = Duration::from_secs(10);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Loopback with port 0.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Hosts with fake nodes and their directory. The recorder notes the traffic, which the rules are checked
/// against.
pub struct TestEnv {
    pub settings: HostSettings,
    pub fleet: FakeCluster,
    pub hosts: Vec<Host>,
    pub recorder: Recorder,
}

impl TestEnv {
    /// Hosts with the default nodes and [`SETTINGS`].
    pub fn new(hosts: u16) -> TestEnv {
        Self::with(hosts, &FakeClusterSpec::default(), SETTINGS)
    }

    pub fn with(hosts: u16, spec: &FakeClusterSpec, settings_text: &str) -> TestEnv {
        Self::with_cluster(hosts, spec, settings_text, |_| {})
    }

    /// Like [`TestEnv::with`]; `prepare` changes the nodes before any host starts.
    pub fn with_cluster(
        hosts: u16,
        spec: &FakeClusterSpec,
        settings_text: &str,
        prepare: impl FnOnce(&FakeCluster),
    ) -> TestEnv {
        let mut settings = HostSettings::from_toml(settings_text).unwrap_or_else(|e| panic!("{e}"));
        settings.scheduler.hosts = u32::from(hosts);
        settings.volumes.iter_mut().for_each(|v| v.hosts = u32::from(hosts));
        let recorder = Recorder::default();
        let fleet =
            FakeCluster::start(spec, &settings.scheduler, any_port(), Duration::ZERO, &recorder).unwrap();
        prepare(&fleet);
        let mut env = TestEnv { settings, fleet, hosts: Vec::new(), recorder };
        (0..hosts).for_each(|number| env.add_host(number));
        env
    }

    /// Starts a host and waits until it has a node list.
    pub fn add_host(&mut self, number: u16) {
        let mut settings = self.settings.clone();
        (settings.number, settings.seed) = (number, Some(u64::from(number) + 7));
        (settings.listen, settings.http) = (any_port(), Some(any_port()));
        settings.directory = self.fleet.directory().address();
        let host = Host::start(settings).unwrap();
        // `/health` answers 200 once the first list has been received and a node of it is ready.
        let http = host.http_address().unwrap();
        wait_until("a node list", || {
            pearfork_net::http::get(http, "/health", ms(2000)).is_ok_and(|(status, _)| status == 200)
        });
        self.hosts.push(host);
    }

    /// Checks the rules against the recorded traffic.
    pub fn check_rules(&self) -> Report {
        check_events(
            &self.recorder.events(),
            &self.settings,
            rule_parameters::from_settings(&self.settings, 500.0, 0.0),
        )
        .report
    }

    pub fn assert_rules_kept(&self) {
        let report = self.check_rules();
        assert!(report.passed(), "\n{report}");
    }

    /// Opens a session to a volume of a host.
    pub fn initiator(&self, host: usize, volume: usize) -> TestInitiator {
        TestInitiator::open(
            self.hosts[host].address(),
            &self.recorder,
            host as u16,
            &self.settings,
            volume,
            1,
        )
        .expect("a login")
    }

    /// The number of PDUs with this opcode that a node has received.
    pub fn received_by_node(&self, node: u32, opcode: u8) -> usize {
        let is_counted = |kind: &TraceEventKind| match kind {
            TraceEventKind::Pdu { endpoint, sent: false, header, .. } => {
                *endpoint == Endpoint::Node { node } && header.opcode() == opcode
            }
            _ => false,
        };
        self.recorder.events().iter().filter(|event| is_counted(&event.kind)).count()
    }

    /// The number of writes that nodes have applied.
    pub fn applied_count(&self) -> usize {
        self.recorder.events().iter().filter(|n| matches!(n.kind, TraceEventKind::Applied { .. })).count()
    }
}

/// Polls a condition until it holds; panics after [`TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "time-out waiting for {what}");
        std::thread::sleep(ms(5));
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CommandId(pub u32);

impl CommandToken for CommandId {}

/// An initiator with one session.
pub struct TestInitiator {
    pub connection: Arc<Connection<CommandId>>,
    events: Receiver<ConnectionEvent<CommandId>>,
    lun: u16,
    block_len: u32,
    next_id: std::cell::Cell<u32>,
}

impl TestInitiator {
    /// Logs in to a volume; `isid` tells the sessions of one initiator name apart.
    pub fn open(
        address: SocketAddr,
        recorder: &Recorder,
        host: u16,
        settings: &HostSettings,
        volume: usize,
        isid: u8,
    ) -> Result<TestInitiator, pearfork_net::ConnectError> {
        let (sender, events) = channel();
        let volume = &settings.volumes[volume];
        let config = InitiatorConfig {
            name: "iqn.2026-12.org.example:asker".to_owned(),
            target: Some(volume.target.clone()),
            isid: [0x80, 0, 0, 0, 0, isid],
            digests: false,
            extension: false,
        };
        let tap = recorder.tap(Endpoint::Client { host }, |_, _, _| {}).map(|t| (t, 0));
        let on_event = move |e| drop(sender.send(e));
        let connection = Connection::open(address, config, TIMEOUT, StreamTap(tap), on_event)?;
        let (lun, block_len) = (volume.lun, volume.unit.block_len);
        Ok(TestInitiator { connection, events, lun, block_len, next_id: std::cell::Cell::new(1) })
    }

    /// Sends a command with any CDB without waiting for its completion.
    pub fn submit_cdb(&self, cdb: [u8; 16], read_len: u32, data: Vec<u8>) -> CommandId {
        let id = CommandId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let data = Payload::from(data);
        let command = Command { lun: encode_lun(self.lun), cdb, read_len, data, metadata: None };
        self.connection.submit(id, command).expect("an open session");
        id
    }

    /// The length of the longest command that the volume states in its Block Limits page, in blocks.
    pub fn stated_max_blocks(&self) -> u32 {
        const BLOCK_LIMITS_PAGE: u8 = 0xb0;
        const PAGE_LEN: u8 = 64;
        let mut inquiry = [0; 16];
        inquiry[..5].copy_from_slice(&[0x12, 1, BLOCK_LIMITS_PAGE, 0, PAGE_LEN]);
        self.submit_cdb(inquiry, u32::from(PAGE_LEN), Vec::new());
        let page = self.next_completion().1.data.to_bytes();
        u32::from_be_bytes(page[8..12].try_into().expect("four bytes"))
    }

    /// Sends a command without waiting for its completion.
    pub fn submit(&self, op: MediaOp, lba: u64, blocks: u32, data: Vec<u8>) -> CommandId {
        let media = MediaCommand { op, lba, blocks, fua: false, group: 0 };
        self.submit_cdb(media.to_cdb(), media.data_in_length(self.block_len) as u32, data)
    }

    pub fn next_event(&self) -> ConnectionEvent<CommandId> {
        self.events.recv_timeout(TIMEOUT).expect("an event")
    }

    /// Waits for the next command that completes.
    pub fn next_completion(&self) -> (CommandId, CommandCompletion) {
        match self.next_event() {
            ConnectionEvent::Completed(id, done) => (id, *done),
            other => panic!("{other:?}"),
        }
    }

    /// Sends a command and waits for its completion.
    pub fn execute(&self, op: MediaOp, lba: u64, blocks: u32, data: Vec<u8>) -> CommandCompletion {
        let id = self.submit(op, lba, blocks, data);
        let (completed, done) = self.next_completion();
        assert_eq!(completed, id);
        done
    }

    pub fn write(&self, lba: u64, blocks: u32, fill: u8) -> CommandCompletion {
        self.execute(MediaOp::Write, lba, blocks, vec![fill; (blocks * self.block_len) as usize])
    }

    pub fn read(&self, lba: u64, blocks: u32) -> CommandCompletion {
        self.execute(MediaOp::Read, lba, blocks, Vec::new())
    }
}

/// Status and sense key; 0 without sense data.
pub fn status_and_sense(done: &CommandCompletion) -> (u8, u8) {
    (done.status, pearfork_scsi::Sense::key_and_code(&done.sense).map_or(0, |k| k.0))
}
