//! The length of one command: what a volume states, what the host takes, and what an answer says was transferred.

mod common;
use common::*;
use pearfork_iscsi::CommandCompletion;
use pearfork_scsi::{status, MediaCommand, MediaOp, SenseKey};
use pearfork_stand::{FakeClusterSpec, NodeFault};

/// Blocks of the pieces in which the tests set and read back the contents of a volume.
const PIECE_BLOCKS: u32 = 16;
const OLD: u8 = 0xaa;
const NEW: u8 = 0xbb;

/// Nodes that are fast, so that long commands are not refused for want of time.
fn fast_nodes() -> FakeClusterSpec {
    FakeClusterSpec { unit_work: std::time::Duration::from_micros(20), ..FakeClusterSpec::default() }
}

/// A host whose volumes have blocks of 4 KiB, with more lines in its `[transport]`.
fn host_with_large_blocks(transport: &str) -> TestEnv {
    let text = SETTINGS.replace("extent = \"1MiB\"", "extent = \"1MiB\"\nblock = \"4KiB\"");
    TestEnv::with(1, &fast_nodes(), &text.replace("[rules]", &format!("[transport]\n{transport}\n\n[rules]")))
}

fn fill(initiator: &TestInitiator, blocks: u32) {
    for lba in (0..blocks).step_by(PIECE_BLOCKS as usize) {
        assert_eq!(initiator.write(u64::from(lba), PIECE_BLOCKS, OLD).status, status::GOOD);
    }
}

/// Number of blocks that hold a fill byte throughout.
fn count_blocks(initiator: &TestInitiator, blocks: u32, fill: u8) -> usize {
    let mut count = 0;
    for lba in (0..blocks).step_by(PIECE_BLOCKS as usize) {
        let data = initiator.read(u64::from(lba), PIECE_BLOCKS).data.to_bytes();
        count +=
            data.chunks(data.len() / PIECE_BLOCKS as usize).filter(|b| b.iter().all(|v| *v == fill)).count();
    }
    count
}

fn assert_illegal_request(done: &CommandCompletion) {
    assert_eq!(status_and_sense(done), (status::CHECK_CONDITION, SenseKey::IllegalRequest as u8));
}

/// Guards against a write that is answered GOOD although only its immediate data is stored: the volume stated
/// a longer maximum than the host takes.
#[test]
fn a_write_of_the_length_that_the_volume_states_is_stored_whole() {
    let env = host_with_large_blocks("");
    let initiator = env.initiator(0, 0);
    for blocks in [512, initiator.stated_max_blocks()] {
        fill(&initiator, blocks);
        let done = initiator.write(0, blocks, NEW);
        assert_eq!((done.status, done.residual), (status::GOOD, 0), "{blocks} blocks");
        assert_eq!(count_blocks(&initiator, blocks, NEW), blocks as usize);
        let read = initiator.read(0, blocks);
        assert_eq!((read.status, read.data.len()), (status::GOOD, blocks as usize * 4096));
    }
}

/// Guards against a volume that states its own maximum where the operator has set a lower one.
#[test]
fn a_volume_states_max_transfer_and_commands_beyond_it_have_no_effect() {
    let env = host_with_large_blocks("max_transfer = \"256KiB\"");
    let initiator = env.initiator(0, 0);
    let stated = initiator.stated_max_blocks();
    assert_eq!(stated, 64);
    fill(&initiator, 2 * stated);
    let too_long = initiator.write(0, stated + 1, NEW);
    assert_illegal_request(&too_long);
    assert_eq!(too_long.residual, -(i64::from(stated + 1) * 4096), "nothing was transferred");
    assert_eq!(count_blocks(&initiator, 2 * stated, OLD), 2 * stated as usize);
    assert_illegal_request(&initiator.read(0, stated + 1));
    // A client that keeps to the stated maximum is served.
    for lba in [0, u64::from(stated)] {
        let done = initiator.write(lba, stated, NEW);
        assert_eq!((done.status, done.residual), (status::GOOD, 0));
    }
    assert_eq!(count_blocks(&initiator, 2 * stated, NEW), 2 * stated as usize);
}

/// Guards against a write that is executed in part because the host did not fetch what its client announced.
#[test]
fn a_write_whose_announced_data_the_host_did_not_take_has_no_effect() {
    // The CDB is within the limit and longer than the data that comes with the command; what is announced is
    // beyond the limit.
    const BLOCKS: u32 = 128;
    let env = host_with_large_blocks("max_transfer = \"512KiB\"");
    let initiator = env.initiator(0, 0);
    fill(&initiator, BLOCKS);
    let write = MediaCommand { op: MediaOp::Write, lba: 0, blocks: BLOCKS, fua: false, group: 0 };
    let announced = 1 << 20;
    initiator.submit_cdb(write.to_cdb(), 0, vec![NEW; announced]);
    let done = initiator.next_completion().1;
    assert_illegal_request(&done);
    assert_eq!(done.residual, -(announced as i64));
    assert_eq!(count_blocks(&initiator, BLOCKS, OLD), BLOCKS as usize);
}

/// Guards against an answer GOOD without residual to a command whose direction flags contradict its CDB, for
/// which nothing was transferred.
#[test]
fn a_command_that_announces_the_wrong_direction_is_refused() {
    let env = host_with_large_blocks("");
    let initiator = env.initiator(0, 0);
    fill(&initiator, 16);
    let media = |op| MediaCommand { op, lba: 0, blocks: 16, fua: false, group: 0 }.to_cdb();
    initiator.submit_cdb(media(MediaOp::Write), 16 * 4096, Vec::new());
    assert_illegal_request(&initiator.next_completion().1);
    initiator.submit_cdb(media(MediaOp::Read), 0, vec![NEW; 16 * 4096]);
    assert_illegal_request(&initiator.next_completion().1);
    assert_eq!(count_blocks(&initiator, 16, OLD), 16);
}

/// Guards against a write that a node has taken in part and that its client is told is done.
#[test]
fn a_write_that_a_node_answers_good_with_a_residual_is_not_served() {
    let env = host_with_large_blocks("");
    let initiator = env.initiator(0, 0);
    fill(&initiator, 16);
    env.fleet.nodes().iter().for_each(|node| node.set_fault(NodeFault::ShortWrites(true)));
    let done = initiator.write(0, 16, NEW);
    assert_eq!(status_and_sense(&done), (status::CHECK_CONDITION, SenseKey::AbortedCommand as u8));
    env.fleet.nodes().iter().for_each(|node| node.set_fault(NodeFault::ShortWrites(false)));
    assert_eq!(initiator.write(0, 16, NEW).status, status::GOOD);
    assert_eq!(count_blocks(&initiator, 16, NEW), 16);
}
