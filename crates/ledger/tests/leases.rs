//! When a lease ends for its holder, and the second lines of defence: what no order of events reaches while the first
//! ones hold.

use pearfork_ledger::{
    Budget, BudgetRequest, Change, Fraction, Handling, Holder, HostNumber, Incarnation, Kind, Lease,
    LeaseManager, LeaseOutcome, LeaseRequest, LeaseResponse, LeaseTable, Times,
};

fn archive() -> Budget {
    Budget::new(Kind::Limit, "archive")
}

fn lend(to: u64, fraction: f64, after: u64) -> Change {
    Change::Allocate {
        to: Incarnation(to),
        budget: archive(),
        fraction: Fraction::from_f64(fraction),
        expected_version: after,
    }
}

fn two_joined() -> LeaseTable {
    let mut table = LeaseTable::new(Fraction::from_f64(0.9));
    for n in 0..2 {
        assert!(table.apply(&Change::Join { host: HostNumber(n), nonce: u64::from(n) + 7 }));
    }
    table
}

#[test]
fn a_change_that_was_overtaken_changes_nothing_and_no_change_lends_too_much() {
    let mut table = two_joined();
    assert!(table.apply(&lend(1, 0.5, 0)));
    let first = table.allocation(Incarnation(1), &archive());
    assert!(table.apply(&lend(1, 0.6, first.version)));
    // Thought out when it held 0.5: a word of the holder that it needs no more than 0.1 of that.
    assert!(!table.apply(&lend(1, 0.1, first.version)));
    assert!(!table.apply(&lend(1, 0.1, 0)));
    assert_eq!(table.allocation(Incarnation(1), &archive()).fraction, Fraction::from_f64(0.6));
    assert!(!table.apply(&lend(2, 0.4, 0)), "0.6 and 0.4 of 0.9");
    assert!(table.apply(&lend(2, 0.3, 0)));
    assert!(!table.apply(&lend(3, 0.01, 0)), "nobody has that number");
    assert!(!table.apply(&Change::Join { host: HostNumber(0), nonce: 7 }), "it joined already");
    assert!(table.apply(&Change::Remove { who: Incarnation(1) }));
    assert_eq!(table.total_allocated(&archive()), Fraction::from_f64(0.3));
    // Another process of that host is another incarnation, and begins with nothing.
    assert!(table.apply(&Change::Join { host: HostNumber(0), nonce: 9 }));
    assert_eq!(table.latest(HostNumber(0)), Some(Incarnation(3)));
}

#[test]
fn a_process_that_is_being_struck_out_gets_no_answer_and_an_old_ask_says_nothing() {
    let mut table = two_joined();
    table.apply(&lend(1, 0.5, 0));
    let times = Times::default();
    let mut lease_manager = LeaseManager::new(times, 1, &table, 0.0);
    let request = |seq, using: f64, at| LeaseRequest {
        host: HostNumber(0),
        nonce: 7,
        incarnation: Some(Incarnation(1)),
        seq,
        leaving: false,
        requests: vec![BudgetRequest {
            budget: archive(),
            demand: Fraction::from_f64(1.0),
            least: Fraction::from_f64(0.01),
            turn_ms: 0,
            using: Fraction::from_f64(using),
            version: at,
        }],
        base: None,
    };
    let mut handle = |at, request| lease_manager.handle_request(at, Incarnation(1), &request);
    assert_eq!(handle(10.0, request(5, 0.5, 1)), Handling::Accepted);
    assert_eq!(handle(20.0, request(4, 0.0, 1)), Handling::Ignored, "overtaken");
    assert!(lease_manager.is_open(Incarnation(1)));
    // Its answer is still being confirmed when its lease runs out for the leader.
    let late = times.lease_with_drift_ms() + 1.0;
    let changes = lease_manager.propose_changes(late, &table);
    assert!(changes.contains(&Change::Remove { who: Incarnation(1) }), "{changes:?}");
    assert!(!lease_manager.is_open(Incarnation(1)));
    let handling = lease_manager.handle_request(late, Incarnation(1), &request(6, 0.5, 1));
    assert_eq!(handling, Handling::Ignored);
}

#[test]
fn a_lease_ends_as_long_after_its_request_was_sent_however_late_the_response_comes() {
    let times = Times::default();
    let lease = LeaseOutcome::Lease(Lease::whole(Incarnation(1), Vec::new()));
    for delay_ms in [0.0, 1.0, times.lease_ms - 1.0, times.lease_ms, 10.0 * times.lease_ms] {
        let sent_at = 100.0;
        let mut holder = Holder::new(HostNumber(0), 7, times);
        let request = holder.next_request(sent_at);
        // A later request that has no response yet moves nothing.
        holder.next_request(sent_at + delay_ms);
        let response = LeaseResponse::to(&request, lease.clone());
        let holds = holder.handle_response(sent_at + delay_ms, &response);
        assert_eq!(holder.state().until_ms, sent_at + times.lease_ms, "response after {delay_ms} ms");
        assert_eq!(holds, delay_ms < times.lease_ms, "response after {delay_ms} ms");
    }
}
