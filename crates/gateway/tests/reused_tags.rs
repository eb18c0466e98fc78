//! A client uses the tag of a command again once the command is aborted. Nothing of the aborted command may answer the
//! new one, whatever is queued at the host.

mod common;
use common::*;
use pearfork_scsi::{status, MediaCommand, MediaOp};
use pearfork_stand::NodeFault;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const BLOCKS: u32 = 8;
const BYTES: usize = BLOCKS as usize * 512;
/// The tag of all commands of the tests.
const TAG: u32 = 5;
/// First blocks of extents on the first and the second node.
const FIRST_NODE_LBA: u64 = 0;
const SECOND_NODE_LBA: u64 = 2048;
/// How long the engine is stalled. The answer of the aborted command, the abort and the next command are queued
/// before it goes on.
const STALL_MS: u64 = 400;

const ABORT_TASK: u8 = 1;
const ABORT_TASK_SET: u8 = 2;
const LUN_RESET: u8 = 5;
const TASK_MANAGEMENT: u8 = 0x42;
const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;

/// A session whose client chooses the tags of its commands.
struct RawSession {
    stream: TcpStream,
    cmd_sn: u32,
}

/// A header and the data behind it.
struct RawPdu {
    header: [u8; 48],
    data: Vec<u8>,
}

impl RawPdu {
    fn opcode(&self) -> u8 {
        self.header[0] & 0x3f
    }
}

impl RawSession {
    fn login(address: SocketAddr) -> RawSession {
        let mut session = RawSession { stream: TcpStream::connect(address).unwrap(), cmd_sn: 1 };
        session.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let text = b"InitiatorName=iqn.2026-12.org.example:raw\0TargetName=iqn.2026-12.org.pearfork:notes\0"
            .to_vec();
        session.send(0x43, 0x87, 1, &[], text);
        assert_eq!(session.receive().header[36], 0, "login");
        session
    }

    /// Sends a PDU with the current CmdSN and the bytes of `fields` at their offsets.
    fn send(&mut self, opcode: u8, flags: u8, tag: u32, fields: &[(usize, &[u8])], data: Vec<u8>) {
        let mut pdu = vec![0; 48];
        (pdu[0], pdu[1]) = (opcode, flags);
        pdu[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
        pdu[16..20].copy_from_slice(&tag.to_be_bytes());
        pdu[24..28].copy_from_slice(&self.cmd_sn.to_be_bytes());
        fields.iter().for_each(|(at, bytes)| pdu[*at..*at + bytes.len()].copy_from_slice(bytes));
        pdu.extend(data);
        pdu.resize(pdu.len().next_multiple_of(4), 0);
        self.stream.write_all(&pdu).unwrap();
    }

    fn receive(&mut self) -> RawPdu {
        let mut header = [0; 48];
        self.stream.read_exact(&mut header).unwrap();
        let length = u32::from_be_bytes([0, header[5], header[6], header[7]]) as usize;
        let mut data = vec![0; length.next_multiple_of(4)];
        self.stream.read_exact(&mut data).unwrap();
        data.truncate(length);
        RawPdu { header, data }
    }

    /// Starts a command under [`TAG`].
    fn start(&mut self, op: MediaOp, lba: u64, data: Vec<u8>) {
        let cdb = MediaCommand { op, lba, blocks: BLOCKS, fua: false, group: 0 }.to_cdb();
        let direction = if data.is_empty() { 0x40 } else { 0x20 };
        let length = (BYTES as u32).to_be_bytes();
        self.send(0x01, 0x81 | direction, TAG, &[(20, &length), (32, &cdb)], data);
        self.cmd_sn += 1;
    }

    /// Sends a task management function and waits until it is complete.
    fn manage(&mut self, function: u8) {
        self.send(TASK_MANAGEMENT, 0x80 | function, 77, &[(20, &TAG.to_be_bytes())], Vec::new());
        let response = self.receive();
        assert_eq!(
            (response.opcode(), response.header[2]),
            (TASK_MANAGEMENT_RESPONSE, 0),
            "function complete"
        );
    }

    /// Receives the answer to a READ.
    fn read_answer(&mut self) -> Vec<u8> {
        let mut data = Vec::new();
        loop {
            let pdu = self.receive();
            data.extend_from_slice(&pdu.data);
            if pdu.header[1] & 0x01 != 0 {
                assert_eq!(pdu.header[3], status::GOOD);
                return data;
            }
        }
    }
}

/// Returns a host that has a READ of the first node answered and aborted, both queued behind its stalled engine.
fn host_with_queued_answer(function: u8) -> (TestEnv, RawSession) {
    let env = TestEnv::new(1);
    let filler = env.initiator(0, 0);
    assert_eq!(filler.write(FIRST_NODE_LBA, BLOCKS, 1).status, status::GOOD);
    assert_eq!(filler.write(SECOND_NODE_LBA, BLOCKS, 2).status, status::GOOD);
    let mut session = RawSession::login(env.hosts[0].address());
    env.fleet.node(1).set_fault(NodeFault::Hang(true));
    let sent = || env.hosts[0].node_counts().unwrap().get(&1).map_or(0, |n| n.sent);
    let before = sent();
    session.start(MediaOp::Read, FIRST_NODE_LBA, Vec::new());
    wait_until("the read at the node", || sent() > before);
    env.hosts[0].stall_engine(ms(STALL_MS));
    env.fleet.node(1).set_fault(NodeFault::Hang(false));
    std::thread::sleep(ms(STALL_MS / 4));
    session.manage(function);
    (env, session)
}

/// Guards against a READ that is answered with the blocks of an aborted one that had its tag.
#[test]
fn a_read_under_the_tag_of_an_aborted_one_gets_its_own_blocks() {
    for function in [ABORT_TASK, ABORT_TASK_SET, LUN_RESET] {
        let (env, mut session) = host_with_queued_answer(function);
        session.start(MediaOp::Read, SECOND_NODE_LBA, Vec::new());
        assert_eq!(session.read_answer(), vec![2; BYTES], "function {function}");
        env.assert_rules_kept();
    }
}

/// Guards against a WRITE that is answered before it has run, by the completion of an aborted READ that had its tag.
#[test]
fn a_write_under_the_tag_of_an_aborted_read_is_answered_once_it_has_run() {
    let (env, mut session) = host_with_queued_answer(ABORT_TASK);
    env.fleet.node(2).set_fault(NodeFault::Hang(true));
    session.start(MediaOp::Write, SECOND_NODE_LBA, vec![3; BYTES]);
    session.stream.set_read_timeout(Some(ms(2 * STALL_MS))).unwrap();
    assert!(session.stream.peek(&mut [0]).is_err(), "answered before it has run");
    session.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    env.fleet.node(2).set_fault(NodeFault::Hang(false));
    assert_eq!(session.receive().header[3], status::GOOD);
    session.start(MediaOp::Read, SECOND_NODE_LBA, Vec::new());
    assert_eq!(session.read_answer(), vec![3; BYTES]);
    env.assert_rules_kept();
}

/// Guards against commands that go out for a client that closed its connection while they were unread or queued.
#[test]
fn commands_of_a_client_that_has_closed_are_not_sent_from_the_queue() {
    let env = TestEnv::new(1);
    assert_eq!(env.initiator(0, 0).read(FIRST_NODE_LBA, BLOCKS).status, status::GOOD);
    let mut session = RawSession::login(env.hosts[0].address());
    let sent = || env.hosts[0].node_counts().unwrap().values().map(|n| n.sent).sum::<u64>();
    let before = sent();
    env.hosts[0].stall_engine(ms(STALL_MS));
    for n in 0..32 {
        let cdb =
            MediaCommand { op: MediaOp::Write, lba: n * 8, blocks: BLOCKS, fua: false, group: 0 }.to_cdb();
        let length = (BYTES as u32).to_be_bytes();
        session.send(0x01, 0xa1, 100 + n as u32, &[(20, &length), (32, &cdb)], vec![4; BYTES]);
        session.cmd_sn += 1;
    }
    drop(session);
    std::thread::sleep(ms(2 * STALL_MS));
    assert_eq!(sent(), before);
    assert_eq!(env.applied_count(), 0);
}
