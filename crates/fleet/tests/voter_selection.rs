//! Selection of the voter that a host sends its lease requests to.

use pearfork_fleet::voter_selection::{VoterSelection, MAX_UNANSWERED};
use pearfork_ledger::HostNumber;

const VOTERS: [HostNumber; 3] = [HostNumber(10), HostNumber(11), HostNumber(12)];
const NON_VOTER: HostNumber = HostNumber(99);

fn selection(host: u16) -> VoterSelection {
    VoterSelection::new(HostNumber(host), VOTERS.to_vec())
}

/// The voters that this many consecutive requests go to.
fn select(selection: &mut VoterSelection, requests: u32) -> Vec<HostNumber> {
    (0..requests).map(|_| selection.select().unwrap()).collect()
}

#[test]
fn a_voter_starts_with_itself_and_other_hosts_with_different_voters() {
    assert_eq!(selection(12).current(), Some(VOTERS[2]));
    let first: Vec<_> = (0..3).map(|host| selection(host).current().unwrap()).collect();
    assert_eq!(first, VOTERS);
}

#[test]
fn all_voters_are_tried_in_turn_if_none_responds() {
    let mut selection = selection(0);
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[0]; MAX_UNANSWERED as usize]);
    assert_eq!(select(&mut selection, 4), [VOTERS[1], VOTERS[2], VOTERS[0], VOTERS[1]]);
}

#[test]
fn a_lease_keeps_its_sender_selected() {
    let mut selection = selection(0);
    for _ in 0..10 {
        assert_eq!(selection.select(), Some(VOTERS[0]));
        selection.handle_lease(VOTERS[0]);
    }
    // The lease for an earlier request arrives from another voter.
    selection.handle_lease(VOTERS[2]);
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[2]; MAX_UNANSWERED as usize]);
    assert_eq!(selection.select(), Some(VOTERS[0]));
    selection.handle_lease(NON_VOTER);
    assert_eq!(selection.select(), Some(VOTERS[0]), "a host that is not a voter is never selected");
}

#[test]
fn a_redirect_is_followed_at_once_and_only_to_another_voter() {
    let mut selection = selection(0);
    select(&mut selection, MAX_UNANSWERED);
    assert!(selection.handle_redirect(Some(VOTERS[1])));
    // The count of unanswered requests starts again with the new voter.
    assert_eq!(select(&mut selection, MAX_UNANSWERED), [VOTERS[1]; MAX_UNANSWERED as usize]);
    assert!(!selection.handle_redirect(Some(VOTERS[1])), "it is selected already");
    assert!(!selection.handle_redirect(None));
    assert!(!selection.handle_redirect(Some(NON_VOTER)));
    // None of these redirects resets the count of unanswered requests.
    assert_eq!(selection.select(), Some(VOTERS[2]));
}

#[test]
fn without_voters_none_is_selected() {
    let mut selection = VoterSelection::new(HostNumber(7), Vec::new());
    assert_eq!(selection.select(), None);
    assert_eq!(selection.current(), None);
    assert!(!selection.handle_redirect(Some(VOTERS[0])));
    selection.handle_lease(VOTERS[0]);
    assert_eq!(selection.select(), None);
}
