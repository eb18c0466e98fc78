//! Expiry of leases at the holder, and safety checks that no simulated order of events reaches while the
//! checks before them hold.

use pearfork_ledger::{
    Budget, BudgetKind, BudgetRequest, Change, Fraction, Holder, HostNumber, Incarnation, Lease,
    LeaseManager, LeaseOutcome, LeaseRequest, LeaseResponse, LeaseTable, RequestHandling, Timing,
};

fn archive_budget() -> Budget {
    Budget::new(BudgetKind::Limit, "archive")
}

fn allocate(member: u64, fraction: f64, expected_version: u64) -> Change {
    Change::Allocate {
        member: Incarnation(member),
        budget: archive_budget(),
        fraction: Fraction::from_f64(fraction),
        expected_version,
    }
}

fn table_with_two_members() -> LeaseTable {
    let mut table = LeaseTable::new(Fraction::from_f64(0.9));
    for n in 0..2 {
        assert!(table.apply(&Change::Join { host: HostNumber(n), nonce: u64::from(n) + 7 }));
    }
    table
}

#[test]
fn an_outdated_change_has_no_effect_and_no_change_allocates_too_much() {
    let mut table = table_with_two_members();
    assert!(table.apply(&allocate(1, 0.5, 0)));
    let first = table.allocation(Incarnation(1), &archive_budget());
    assert!(table.apply(&allocate(1, 0.6, first.version)));
    // A change that was computed while the member held 0.5 and declared that it uses no more than 0.1 of
    // that.
    assert!(!table.apply(&allocate(1, 0.1, first.version)));
    assert!(!table.apply(&allocate(1, 0.1, 0)));
    assert_eq!(table.allocation(Incarnation(1), &archive_budget()).fraction, Fraction::from_f64(0.6));
    assert!(!table.apply(&allocate(2, 0.4, 0)), "0.6 and 0.4 of 0.9");
    assert!(table.apply(&allocate(2, 0.3, 0)));
    assert!(!table.apply(&allocate(3, 0.01, 0)), "there is no such member");
    assert!(!table.apply(&Change::Join { host: HostNumber(0), nonce: 7 }), "the process is a member already");
    assert!(table.apply(&Change::Remove { member: Incarnation(1) }));
    assert_eq!(table.total_allocated(&archive_budget()), Fraction::from_f64(0.3));
    // Another process of the same host gets another incarnation and no allocation.
    assert!(table.apply(&Change::Join { host: HostNumber(0), nonce: 9 }));
    assert_eq!(table.latest(HostNumber(0)), Some(Incarnation(3)));
}

#[test]
fn a_member_that_is_being_removed_gets_no_response_and_an_outdated_request_is_ignored() {
    let mut table = table_with_two_members();
    table.apply(&allocate(1, 0.5, 0));
    let timing = Timing::default();
    let mut lease_manager = LeaseManager::new(timing, 1, &table, 0.0);
    let request = |seq, using: f64, version| LeaseRequest {
        host: HostNumber(0),
        nonce: 7,
        incarnation: Some(Incarnation(1)),
        seq,
        leaving: false,
        requests: vec![BudgetRequest {
            budget: archive_budget(),
            demand: Fraction::from_f64(1.0),
            min_fraction: Fraction::from_f64(0.01),
            turn_ms: 0,
            using: Fraction::from_f64(using),
            version,
        }],
        base: None,
    };
    let mut handle = |now, request| lease_manager.handle_request(now, Incarnation(1), &request);
    assert_eq!(handle(10.0, request(5, 0.5, 1)), RequestHandling::Accepted);
    assert_eq!(
        handle(20.0, request(4, 0.0, 1)),
        RequestHandling::Ignored,
        "a later request was handled before"
    );
    assert!(lease_manager.is_renewable(Incarnation(1)));
    // The lease expires at the leader while the response still waits for its confirmation.
    let after_expiry = timing.lease_with_drift_ms() + 1.0;
    let changes = lease_manager.propose_changes(after_expiry, &table);
    assert!(changes.contains(&Change::Remove { member: Incarnation(1) }), "{changes:?}");
    assert!(!lease_manager.is_renewable(Incarnation(1)));
    let handling = lease_manager.handle_request(after_expiry, Incarnation(1), &request(6, 0.5, 1));
    assert_eq!(handling, RequestHandling::Ignored);
}

#[test]
fn a_lease_expires_a_fixed_time_after_its_request_however_late_the_response() {
    let timing = Timing::default();
    let lease = LeaseOutcome::Lease(Lease::full(Incarnation(1), Vec::new()));
    for delay_ms in [0.0, 1.0, timing.lease_ms - 1.0, timing.lease_ms, 10.0 * timing.lease_ms] {
        let sent_at = 100.0;
        let mut holder = Holder::new(HostNumber(0), 7, timing);
        let request = holder.next_request(sent_at);
        // A later request without a response does not extend the lease.
        holder.next_request(sent_at + delay_ms);
        let response = LeaseResponse::to(&request, lease.clone());
        let is_valid = holder.handle_response(sent_at + delay_ms, &response);
        assert_eq!(holder.state().expires_at, sent_at + timing.lease_ms, "response after {delay_ms} ms");
        assert_eq!(is_valid, delay_ms < timing.lease_ms, "response after {delay_ms} ms");
    }
}
