//! Nothing goes out to a node for a client that has gone, or behind the answer that it was given, wherever the
//! attempt waits: for its connection, in the command window, or for the node to request its data.

mod common;
use common::node_relay::NodeRelay;
use common::*;
use pearfork_scsi::{encode_lun, status, MediaOp};
use pearfork_stand::{FakeClusterSpec, NodeFault};

const SCSI_COMMAND: u8 = 0x01;
const DATA_OUT: u8 = 0x05;
const LUN_RESET: u8 = 5;
const TARGET_WARM_RESET: u8 = 6;
/// How long the tests watch a node for what it must not get.
const WATCHED_MS: u64 = 250;
/// Longer than the first burst of 256 KiB, so that the node has to request the rest.
const LONG_WRITE_BLOCKS: u32 = 1024;

/// How a client leaves, or gives up its command.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Logout,
    AbortTask,
    LunReset,
    TargetReset,
    NewSession,
}

const DEPARTURES: [Departure; 6] = [
    Departure::Close,
    Departure::Logout,
    Departure::AbortTask,
    Departure::LunReset,
    Departure::TargetReset,
    Departure::NewSession,
];

/// One host whose first node is behind a relay.
struct RelayedHost {
    env: TestEnv,
    relay: NodeRelay,
}

impl RelayedHost {
    fn start(spec: &FakeClusterSpec, settings: &str) -> RelayedHost {
        let settings = settings.replace("[rules]", "[transport]\nconnect_timeout = \"4s\"\n\n[rules]");
        let mut relay = None;
        let env = TestEnv::with_cluster(1, spec, &settings, |fleet| relay = Some(NodeRelay::start(fleet, 1)));
        RelayedHost { env, relay: relay.expect("a relay") }
    }

    fn session(&self, isid: u8) -> TestInitiator {
        let address = self.env.hosts[0].address();
        TestInitiator::open(address, &self.env.recorder, 0, &self.env.settings, 0, isid).expect("a login")
    }

    /// Waits until the host has sent attempts to the node, as it counts them.
    fn wait_for_attempts(&self, attempts: u64) {
        wait_until("an attempt", || {
            self.env.hosts[0].node_counts().unwrap().get(&1).is_some_and(|n| n.sent >= attempts)
        });
    }

    /// Ends a command of the first session of an initiator and waits until the host has noticed.
    fn depart(&self, departure: Departure, client: &TestInitiator, command: CommandId) {
        let abandoned = || self.env.hosts[0].class_counts().unwrap().iter().map(|c| c.abandoned).sum::<u64>();
        let before = abandoned();
        let other = self.session(2);
        match departure {
            Departure::Close => client.connection.close(),
            Departure::Logout => client.connection.logout(),
            Departure::AbortTask => client.connection.abort(|id| *id == command),
            Departure::LunReset => other.connection.send_task_management(LUN_RESET, encode_lun(0)),
            Departure::TargetReset => other.connection.send_task_management(TARGET_WARM_RESET, 0),
            Departure::NewSession => drop(self.session(1)),
        }
        wait_until("the end of the command", || abandoned() > before);
    }

    /// Number of commands and data PDUs that the first node has received.
    fn received(&self) -> (usize, usize) {
        (self.env.received_by_node(1, SCSI_COMMAND), self.env.received_by_node(1, DATA_OUT))
    }
}

/// Guards against a write that goes out when the connection to its node comes up, after its client has gone. It
/// would undo a later write of another client.
#[test]
fn nothing_is_sent_for_a_departed_client_when_the_connection_comes_up() {
    for departure in DEPARTURES {
        let host = RelayedHost::start(&FakeClusterSpec::default(), SETTINGS);
        let client = host.session(1);
        host.relay.hold_to_node(true);
        let command = client.submit(MediaOp::Write, 0, 8, vec![1; 8 * 512]);
        host.wait_for_attempts(1);
        host.depart(departure, &client, command);
        host.relay.hold_to_node(false);
        std::thread::sleep(ms(WATCHED_MS));
        assert_eq!(host.received(), (0, 0), "{departure:?}");
        // The attempt's place is free: the next client is served.
        assert_eq!(host.session(3).write(0, 8, 2).status, status::GOOD);
    }
}

/// Guards against a write that goes out when the command window opens, after its client has gone.
#[test]
fn nothing_is_sent_for_a_departed_client_when_the_command_window_opens() {
    for departure in DEPARTURES {
        let spec = FakeClusterSpec { max_commands: 1, ..FakeClusterSpec::default() };
        let host = RelayedHost::start(&spec, SETTINGS);
        let (first, client) = (host.session(9), host.session(1));
        assert_eq!(first.read(0, 8).status, status::GOOD);
        host.env.fleet.node(1).set_fault(NodeFault::Hang(true));
        // Of another volume, so that a reset of the logical unit leaves it.
        let other_volume =
            TestInitiator::open(host.env.hosts[0].address(), &host.env.recorder, 0, &host.env.settings, 1, 7)
                .expect("a login");
        // The fourth shard of the second volume is on the first node.
        other_volume.submit(MediaOp::Read, 3 * 2048, 8, Vec::new());
        host.wait_for_attempts(2);
        let command = client.submit(MediaOp::Write, 0, 8, vec![1; 8 * 512]);
        host.wait_for_attempts(3);
        host.depart(departure, &client, command);
        let before = host.received();
        host.env.fleet.node(1).set_fault(NodeFault::Hang(false));
        std::thread::sleep(ms(WATCHED_MS));
        assert_eq!(host.received(), before, "{departure:?}");
        assert_eq!(host.env.applied_count(), 0, "{departure:?}");
        assert_eq!(host.session(3).write(0, 8, 2).status, status::GOOD);
    }
}

/// Guards against a write whose data goes out when the node requests it, after its client has gone.
#[test]
fn no_data_is_sent_for_a_departed_client_when_the_node_requests_it() {
    for departure in DEPARTURES {
        let host = RelayedHost::start(&FakeClusterSpec::default(), SETTINGS);
        let client = host.session(1);
        assert_eq!(client.read(0, 8).status, status::GOOD);
        host.relay.hold_from_node(true);
        let command = client.submit(MediaOp::Write, 0, LONG_WRITE_BLOCKS, vec![1; 512 * 1024]);
        host.wait_for_attempts(2);
        wait_until("the command", || host.env.received_by_node(1, SCSI_COMMAND) == 2);
        host.depart(departure, &client, command);
        host.relay.hold_from_node(false);
        std::thread::sleep(ms(WATCHED_MS));
        assert_eq!(host.received(), (2, 0), "{departure:?}");
        assert_eq!(host.env.applied_count(), 0, "{departure:?}");
        assert_eq!(host.session(3).write(0, 8, 2).status, status::GOOD);
    }
}

/// Guards against an attempt that goes out behind the answer of its request: at its deadline, when its connection
/// comes up or the node requests its data.
#[test]
fn nothing_is_sent_behind_the_answer_at_the_deadline() {
    let host = RelayedHost::start(&FakeClusterSpec::default(), SETTINGS);
    let client = host.session(1);
    host.relay.hold_to_node(true);
    assert_ne!(client.write(0, 8, 1).status, status::GOOD);
    host.relay.hold_to_node(false);
    std::thread::sleep(ms(WATCHED_MS));
    assert_eq!(host.received(), (0, 0));
    wait_until("a read that is served", || client.read(0, 8).status == status::GOOD);
    let (commands, _) = host.received();
    host.relay.hold_from_node(true);
    assert_ne!(client.write(0, LONG_WRITE_BLOCKS, 1).status, status::GOOD);
    host.relay.hold_from_node(false);
    std::thread::sleep(ms(WATCHED_MS));
    assert_eq!(host.received(), (commands + 1, 0));
    assert_eq!(host.env.applied_count(), 0);
}

/// Guards against an attempt that waits for its connection behind another one that was served.
#[test]
fn nothing_is_sent_for_a_read_that_its_hedged_attempt_has_served() {
    let settings = SETTINGS
        .replace("key_rest", "second_copies = true\nkey_rest")
        .replacen("effect = \"safe\"", "effect = \"safe\"\nsecond_copy_after = \"60ms\"", 1)
        .replace("shards = [0, 1, 2, 3]", "shards = [0, 1]")
        .replace("shards = [1, 2, 3, 0]", "shards = [1, 0]");
    let spec = FakeClusterSpec { replicas: 2, ..FakeClusterSpec::default() };
    let host = RelayedHost::start(&spec, &settings);
    let client = host.session(1);
    host.relay.hold_to_node(true);
    for n in 0..8 {
        assert_eq!(client.read(n * 8, 8).status, status::GOOD);
    }
    host.wait_for_attempts(1);
    host.relay.hold_to_node(false);
    std::thread::sleep(ms(WATCHED_MS));
    assert_eq!(host.received(), (0, 0));
}
