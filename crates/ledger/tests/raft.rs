//! Raft rules of a single voter that simulated fleets exercise too rarely to rely on.

use pearfork_ledger::raft::{Output, PersistentState, Raft, RaftMessage, RaftPayload};
use pearfork_ledger::{Change, Entry, Fraction, HostNumber, LeaseTable, Timing};

fn voters() -> Vec<HostNumber> {
    (0..3).map(HostNumber).collect()
}

fn voter(disk: &PersistentState, now: f64) -> Raft {
    Raft::new(HostNumber(2), &voters(), Timing::default(), 7, disk.clone(), now)
}

/// Writes the records to the disk and returns the messages to send.
fn persist(disk: &mut PersistentState, raft: &mut Raft) -> Vec<(HostNumber, RaftMessage)> {
    let Output { records, rewrite, messages } = raft.take_output();
    if rewrite {
        *disk = raft.persistent_state();
    } else {
        records.into_iter().for_each(|r| assert!(disk.apply(r)));
    }
    raft.persisted();
    messages
}

fn send(raft: &mut Raft, from: u16, term: u64, payload: RaftPayload) {
    raft.handle_message(10.0, HostNumber(from), RaftMessage { term, payload });
}

fn entry(term: u64, nonce: u64) -> Entry {
    Entry { term, changes: vec![Change::Join { host: HostNumber(0), nonce }] }
}

fn append(previous: (u64, u64), entries: Vec<Entry>, commit: u64) -> RaftPayload {
    RaftPayload::AppendRequest {
        previous_index: previous.0,
        previous_term: previous.1,
        entries,
        commit,
        heartbeat: 1,
    }
}

#[test]
fn a_vote_survives_a_crash() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    send(&mut v, 0, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(persist(&mut disk, &mut v)[0].1.payload, RaftPayload::VoteResponse(true));
    let mut restarted = voter(&disk, 1.0);
    send(&mut restarted, 1, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(
        persist(&mut disk, &mut restarted)[0].1.payload,
        RaftPayload::VoteResponse(false),
        "a second candidate must not get a vote in the same term"
    );
    send(&mut restarted, 0, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(
        persist(&mut disk, &mut restarted)[0].1.payload,
        RaftPayload::VoteResponse(true),
        "the same candidate gets the vote again"
    );
}

#[test]
fn a_log_that_lacks_entries_gets_no_vote() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1), entry(1, 2)], 0));
    persist(&mut disk, &mut v);
    send(&mut v, 1, 2, RaftPayload::VoteRequest { last_index: 1, last_term: 1 });
    assert_eq!(persist(&mut disk, &mut v)[0].1.payload, RaftPayload::VoteResponse(false));
}

/// Entries after those that the snapshot covers may be committed, with this voter counted in the quorum.
#[test]
fn a_snapshot_older_than_the_log_removes_no_entries() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    let entries = (1..=4).map(|n| entry(1, n)).collect();
    send(&mut v, 0, 1, append((0, 0), entries, 3));
    persist(&mut disk, &mut v);
    for (index, index_term) in [(2, 1), (1, 9), (3, 1)] {
        let table = LeaseTable::new(Fraction::from_f64(0.5));
        send(&mut v, 0, 1, RaftPayload::InstallSnapshot { index, index_term, table, heartbeat: 2 });
        persist(&mut disk, &mut v);
        assert_eq!((v.log().last_index(), v.commit()), (4, 3), "after a snapshot of {index}");
    }
    assert_eq!(voter(&disk, 1.0).log().last_index(), 4);
}

#[test]
fn a_snapshot_beyond_the_log_replaces_it() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1)], 0));
    let table = LeaseTable::new(Fraction::from_f64(0.5));
    send(
        &mut v,
        1,
        3,
        RaftPayload::InstallSnapshot { index: 9, index_term: 3, table: table.clone(), heartbeat: 2 },
    );
    persist(&mut disk, &mut v);
    assert_eq!((v.log().last_index(), v.commit(), v.snapshot_table()), (9, 9, &table));
    let restarted = voter(&disk, 1.0);
    assert_eq!((restarted.log().last_index(), restarted.log().last_term(), restarted.term()), (9, 3, 3));
}

#[test]
fn entries_of_a_later_leader_replace_uncommitted_ones() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1), entry(1, 2), entry(1, 3)], 1));
    persist(&mut disk, &mut v);
    // The new leader does not have the second entry. Its first request is for an index that this voter does
    // not have.
    send(&mut v, 1, 2, append((7, 2), Vec::new(), 0));
    let responses = persist(&mut disk, &mut v);
    assert!(
        matches!(responses[0].1.payload, RaftPayload::AppendResponse { success: false, index: 3, .. }),
        "{responses:?}"
    );
    send(&mut v, 1, 2, append((1, 1), vec![entry(2, 9)], 2));
    persist(&mut disk, &mut v);
    assert_eq!((v.log().last_index(), v.log().last_term(), v.commit()), (2, 2, 2));
    assert_eq!(voter(&disk, 1.0).log().last_term(), 2);
    // A deposed leader gets a response with the higher term.
    send(&mut v, 0, 1, append((3, 1), Vec::new(), 3));
    let responses = persist(&mut disk, &mut v);
    assert!(
        responses[0].1.term == 2
            && matches!(responses[0].1.payload, RaftPayload::AppendResponse { success: false, .. })
    );
}

/// A leader that counted entries its own disk may still lose could commit an entry that is on one disk only.
#[test]
fn a_leader_counts_itself_only_for_entries_on_its_disk() {
    let mut disk = PersistentState::default();
    let mut v = voter(&disk, 0.0);
    v.tick(10_000.0);
    send(&mut v, 0, 1, RaftPayload::PreVoteResponse(true));
    send(&mut v, 0, 1, RaftPayload::VoteResponse(true));
    assert!(v.is_leader());
    persist(&mut disk, &mut v);
    send(&mut v, 0, 1, RaftPayload::AppendResponse { success: true, index: 1, heartbeat: 1 });
    assert_eq!(v.commit(), 1);
    v.propose(Vec::new());
    send(&mut v, 0, 1, RaftPayload::AppendResponse { success: true, index: 2, heartbeat: 1 });
    assert_eq!(v.commit(), 1, "the entry is on one disk of three");
    persist(&mut disk, &mut v);
    assert_eq!(v.commit(), 2);
}
