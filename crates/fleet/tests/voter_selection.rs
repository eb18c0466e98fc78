//! The choice of the voter that a host sends its requests to.

use pearfork_fleet::voter_selection::{VoterSelection, MAX_UNANSWERED};
use pearfork_ledger::HostNumber;

const VOTERS: [HostNumber; 3] = [HostNumber(10), HostNumber(11), HostNumber(12)];
const STRANGER: HostNumber = HostNumber(99);

fn selection(me: u16) -> VoterSelection {
    VoterSelection::new(HostNumber(me), VOTERS.to_vec())
}

/// Where so many requests in a row go.
fn select(selection: &mut VoterSelection, requests: u32) -> Vec<HostNumber> {
    (0..requests).map(|_| selection.select().unwrap()).collect()
}

#[test]
fn a_voter_begins_with_itself_and_other_hosts_with_different_voters() {
    assert_eq!(selection(12).current(), Some(VOTERS[2]));
    let first: Vec<_> = (0..3).map(|me| selection(me).current().unwrap()).collect();
    assert_eq!(first, VOTERS);
}

#[test]
fn where_no_voter_responds_all_are_tried_in_turn() {
    let mut selection = selection(0);
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[0]; MAX_UNANSWERED as usize]);
    assert_eq!(select(&mut selection, 4), [VOTERS[1], VOTERS[2], VOTERS[0], VOTERS[1]]);
}

#[test]
fn a_lease_keeps_the_choice_at_the_voter_that_gave_it() {
    let mut selection = selection(0);
    for _ in 0..10 {
        assert_eq!(selection.select(), Some(VOTERS[0]));
        selection.handle_lease(VOTERS[0]);
    }
    // An earlier request got its lease from another voter meanwhile.
    selection.handle_lease(VOTERS[2]);
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[2]; MAX_UNANSWERED as usize]);
    assert_eq!(selection.select(), Some(VOTERS[0]));
    selection.handle_lease(STRANGER);
    assert_eq!(selection.select(), Some(VOTERS[0]), "a stranger is never chosen");
}

#[test]
fn a_redirect_is_followed_at_once_and_only_to_another_voter() {
    let mut selection = selection(0);
    select(&mut selection, MAX_UNANSWERED);
    assert!(selection.handle_redirect(Some(VOTERS[1])));
    // The new choice has as many requests as any.
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[1]; MAX_UNANSWERED as usize]);
    assert!(!selection.handle_redirect(Some(VOTERS[1])), "it is asked already");
    assert!(!selection.handle_redirect(None));
    assert!(!selection.handle_redirect(Some(STRANGER)));
    // None of these counts as a response.
    assert_eq!(selection.select(), Some(VOTERS[2]));
}

#[test]
fn without_voters_nothing_is_chosen() {
    let mut selection = VoterSelection::new(HostNumber(7), Vec::new());
    assert_eq!(selection.select(), None);
    assert_eq!(selection.current(), None);
    assert!(!selection.handle_redirect(Some(VOTERS[0])));
    selection.handle_lease(VOTERS[0]);
    assert_eq!(selection.select(), None);
}
