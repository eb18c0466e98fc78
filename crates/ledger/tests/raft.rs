//! Promises of one voter, one by one: what drawn fleets meet too seldom to be counted on.

use pearfork_ledger::raft::{Output, PersistentState, Raft, RaftMessage, RaftPayload};
use pearfork_ledger::{Change, Entry, Fraction, HostNumber, LeaseTable, Times};

fn voters() -> Vec<HostNumber> {
    (0..3).map(HostNumber).collect()
}

fn voter(image: &PersistentState, now: f64) -> Raft {
    Raft::new(HostNumber(2), &voters(), Times::default(), 7, image.clone(), now)
}

/// Writes what has to be on disk, and gives what is said then.
fn kept(image: &mut PersistentState, raft: &mut Raft) -> Vec<(HostNumber, RaftMessage)> {
    let Output { records, rewrite, messages } = raft.take_output();
    if rewrite {
        *image = raft.persistent_state();
    } else {
        records.into_iter().for_each(|r| assert!(image.add(r)));
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
fn a_vote_outlives_a_crash() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    send(&mut v, 0, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(kept(&mut image, &mut v)[0].1.payload, RaftPayload::VoteResponse(true));
    let mut again = voter(&image, 1.0);
    send(&mut again, 1, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(
        kept(&mut image, &mut again)[0].1.payload,
        RaftPayload::VoteResponse(false),
        "two leaders of one term"
    );
    send(&mut again, 0, 1, RaftPayload::VoteRequest { last_index: 0, last_term: 0 });
    assert_eq!(
        kept(&mut image, &mut again)[0].1.payload,
        RaftPayload::VoteResponse(true),
        "the same one may ask twice"
    );
}

#[test]
fn a_log_that_lacks_entries_gets_no_vote() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1), entry(1, 2)], 0));
    kept(&mut image, &mut v);
    send(&mut v, 1, 2, RaftPayload::VoteRequest { last_index: 1, last_term: 1 });
    assert_eq!(kept(&mut image, &mut v)[0].1.payload, RaftPayload::VoteResponse(false));
}

/// Danger: entries after the snapshot's may be agreed on already, with this voter's word for it.
#[test]
fn a_snapshot_older_than_the_log_takes_nothing_away() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    let four = (1..=4).map(|n| entry(1, n)).collect();
    send(&mut v, 0, 1, append((0, 0), four, 3));
    kept(&mut image, &mut v);
    for (index, index_term) in [(2, 1), (1, 9), (3, 1)] {
        let table = LeaseTable::new(Fraction::from_f64(0.5));
        send(&mut v, 0, 1, RaftPayload::InstallSnapshot { index, index_term, table, heartbeat: 2 });
        kept(&mut image, &mut v);
        assert_eq!((v.log().last_index(), v.commit()), (4, 3), "after a snapshot of {index}");
    }
    assert_eq!(voter(&image, 1.0).log().last_index(), 4);
}

#[test]
fn a_snapshot_beyond_the_log_takes_its_place() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1)], 0));
    let table = LeaseTable::new(Fraction::from_f64(0.5));
    send(
        &mut v,
        1,
        3,
        RaftPayload::InstallSnapshot { index: 9, index_term: 3, table: table.clone(), heartbeat: 2 },
    );
    kept(&mut image, &mut v);
    assert_eq!((v.log().last_index(), v.commit(), v.snapshot_table()), (9, 9, &table));
    let again = voter(&image, 1.0);
    assert_eq!((again.log().last_index(), again.log().last_term(), again.term()), (9, 3, 3));
}

#[test]
fn what_a_later_leader_says_takes_the_place_of_what_was_not_agreed() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    send(&mut v, 0, 1, append((0, 0), vec![entry(1, 1), entry(1, 2), entry(1, 3)], 1));
    kept(&mut image, &mut v);
    // The later one does not have the second entry; and asks after one that is not here first.
    send(&mut v, 1, 2, append((7, 2), Vec::new(), 0));
    let told = kept(&mut image, &mut v);
    assert!(
        matches!(told[0].1.payload, RaftPayload::AppendResponse { success: false, index: 3, .. }),
        "{told:?}"
    );
    send(&mut v, 1, 2, append((1, 1), vec![entry(2, 9)], 2));
    kept(&mut image, &mut v);
    assert_eq!((v.log().last_index(), v.log().last_term(), v.commit()), (2, 2, 2));
    assert_eq!(voter(&image, 1.0).log().last_term(), 2);
    // An earlier leader that wakes is told that it is none.
    send(&mut v, 0, 1, append((3, 1), Vec::new(), 3));
    let told = kept(&mut image, &mut v);
    assert!(
        told[0].1.term == 2
            && matches!(told[0].1.payload, RaftPayload::AppendResponse { success: false, .. })
    );
}

/// Danger: a leader that counts what its own disk may yet lose can agree on an entry that is on one disk alone.
#[test]
fn a_leader_counts_itself_only_for_what_is_on_its_disk() {
    let mut image = PersistentState::default();
    let mut v = voter(&image, 0.0);
    v.tick(10_000.0);
    send(&mut v, 0, 1, RaftPayload::PreVoteResponse(true));
    send(&mut v, 0, 1, RaftPayload::VoteResponse(true));
    assert!(v.is_leader());
    kept(&mut image, &mut v);
    send(&mut v, 0, 1, RaftPayload::AppendResponse { success: true, index: 1, heartbeat: 1 });
    assert_eq!(v.commit(), 1);
    v.propose(Vec::new());
    send(&mut v, 0, 1, RaftPayload::AppendResponse { success: true, index: 2, heartbeat: 1 });
    assert_eq!(v.commit(), 1, "on one disk of three");
    kept(&mut image, &mut v);
    assert_eq!(v.commit(), 2);
}
