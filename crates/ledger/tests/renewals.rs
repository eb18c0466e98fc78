//! Incremental renewals: what requests and responses carry, what is repeated, and what is rejected.

use pearfork_ledger::{
    Allocation, Budget, BudgetKind, Change, Fraction, Grant, GrantsPosition, Holder, HostNumber, Incarnation,
    Lease, LeaseManager, LeaseOutcome, LeaseRequest, LeaseResponse, LeaseTable, Refusal, RenewalBase,
    RequestHandling, Timing,
};

fn volume(number: usize) -> Budget {
    Budget::new(BudgetKind::Limit, &format!("volume-{number:04}"))
}

/// A leader without followers: its proposals are committed at once.
struct Leader {
    table: LeaseTable,
    manager: LeaseManager,
    now: f64,
}

impl Leader {
    fn new(term: u64, table: LeaseTable, now: f64) -> Leader {
        let manager = LeaseManager::new(Timing::default(), term, &table, now);
        Leader { table, manager, now }
    }

    fn divide(&mut self) {
        for _ in 0..20 {
            let changes = self.manager.propose_changes(self.now, &self.table);
            if changes.is_empty() {
                return;
            }
            for change in &changes {
                self.table.apply(change);
                self.manager.record_applied(change);
            }
        }
        panic!("the division still proposes changes after 20 rounds");
    }

    /// The response to a request; none if it gets none.
    fn respond(&mut self, request: &LeaseRequest) -> Option<LeaseResponse> {
        let member = self.table.incarnation(request.host, request.nonce).expect("a member");
        let outcome = match self.manager.handle_request(self.now, member, request) {
            RequestHandling::Ignored => return None,
            RequestHandling::Unsynchronized => LeaseOutcome::Refused(Refusal::Unsynchronized),
            RequestHandling::Accepted => {
                self.divide();
                self.manager.renew_lease(self.now, member);
                LeaseOutcome::Lease(self.manager.lease(member, request.base, &self.table))
            }
        };
        Some(LeaseResponse::to(request, outcome))
    }

    /// Renews a lease: request and response arrive, and the holder's consumer confirms the allocations.
    fn renew(&mut self, holder: &mut Holder) -> (LeaseRequest, LeaseResponse) {
        self.now += 200.0;
        let request = holder.next_request(self.now);
        let response = self.respond(&request).expect("a response");
        deliver(holder, self.now, &response);
        (request, response)
    }

    /// Renews all leases until the allocations are stable.
    fn settle(&mut self, holders: &mut [Holder]) {
        for _ in 0..6 {
            holders.iter_mut().for_each(|holder| drop(self.renew(holder)));
        }
    }
}

fn deliver(holder: &mut Holder, now: f64, response: &LeaseResponse) -> bool {
    let is_accepted = holder.handle_response(now, response);
    for (budget, allocation) in holder.unconfirmed() {
        holder.confirm(&budget, allocation);
    }
    is_accepted
}

fn lease(response: &LeaseResponse) -> &Lease {
    match &response.outcome {
        LeaseOutcome::Lease(lease) => lease,
        LeaseOutcome::Refused(why) => panic!("refused: {why:?}"),
    }
}

fn set_demand(holder: &mut Holder, number: usize, demand: f64) {
    holder.set_demand(&volume(number), Fraction::from_f64(demand), Fraction::from_f64(0.01), 0);
}

fn held_fraction(holder: &Holder, number: usize) -> f64 {
    holder.held(&volume(number)).fraction.as_f64()
}

/// A leader and holders that have joined. Each holder knows the given number of budgets.
fn fleet(hosts: u16, budgets: usize) -> (Leader, Vec<Holder>) {
    let mut table = LeaseTable::new(Fraction::from_f64(0.97));
    let mut holders = Vec::new();
    for host in 0..hosts {
        let nonce = u64::from(host) + 70;
        assert!(table.apply(&Change::Join { host: HostNumber(host), nonce }));
        let mut holder = Holder::new(HostNumber(host), nonce, Timing::default());
        (0..budgets).for_each(|number| set_demand(&mut holder, number, 0.0));
        holders.push(holder);
    }
    (Leader::new(1, table, 0.0), holders)
}

#[test]
fn a_renewal_without_changes_is_as_short_for_a_thousand_budgets_as_for_one() {
    let mut lengths = Vec::new();
    for budgets in [1, 1_000] {
        let (mut leader, mut holders) = fleet(3, budgets);
        for holder in &mut holders {
            (0..budgets).for_each(|number| set_demand(holder, number, 0.5));
        }
        leader.settle(&mut holders);
        let (request, response) = leader.renew(&mut holders[0]);
        assert_eq!((request.requests.len(), lease(&response).grants.len()), (0, 0));
        assert!(held_fraction(&holders[0], budgets - 1) > 0.3, "the holder keeps its share");
        let bytes = |json: serde_json::Result<Vec<u8>>| json.unwrap().len();
        lengths.push(bytes(serde_json::to_vec(&request)) + bytes(serde_json::to_vec(&response)));
    }
    // The messages may differ by the digits of the revision.
    assert!(lengths[1] <= lengths[0] + 10, "{lengths:?}");
}

#[test]
fn a_full_request_leaves_out_budgets_without_demand_and_allocation() {
    let (mut leader, mut holders) = fleet(1, 500);
    set_demand(&mut holders[0], 7, 0.5);
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!((request.base, request.requests.len()), (None, 1));
}

#[test]
fn demand_is_repeated_until_its_request_gets_a_response() {
    let (mut leader, mut holders) = fleet(1, 4);
    leader.settle(&mut holders);
    set_demand(&mut holders[0], 2, 0.5);
    for _ in 0..3 {
        let lost = holders[0].next_request(leader.now);
        assert_eq!(lost.requests.len(), 1, "each request reports the demand");
    }
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!(request.requests.len(), 1);
    assert!(held_fraction(&holders[0], 2) > 0.9);
}

/// Demand returns to its earlier value before the request with the change gets a response. The leader may
/// have either value, so the holder has to report it again.
#[test]
fn demand_that_is_reverted_before_a_response_is_reported_again() {
    let (mut leader, mut holders) = fleet(2, 2);
    set_demand(&mut holders[0], 0, 0.5);
    set_demand(&mut holders[1], 0, 0.5);
    leader.settle(&mut holders);
    set_demand(&mut holders[0], 0, 5.0);
    let request = holders[0].next_request(leader.now);
    assert!(leader.respond(&request).is_some(), "the leader handles the request, and its response is lost");
    set_demand(&mut holders[0], 0, 0.5);
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!(request.requests.len(), 1);
}

#[test]
fn a_grant_whose_response_was_lost_is_sent_again() {
    let (mut leader, mut holders) = fleet(1, 4);
    leader.settle(&mut holders);
    set_demand(&mut holders[0], 1, 0.5);
    let request = holders[0].next_request(leader.now);
    let lost = leader.respond(&request).expect("a response");
    assert_eq!(lease(&lost).grants.len(), 1);
    let (_, response) = leader.renew(&mut holders[0]);
    assert_eq!(lease(&response).grants.len(), 1, "the grant is sent again");
    assert!(held_fraction(&holders[0], 1) > 0.9);
    let (_, response) = leader.renew(&mut holders[0]);
    let (_, response) = (response, leader.renew(&mut holders[0]).1);
    assert!(lease(&response).grants.is_empty(), "the grant is not sent a third time");
}

#[test]
fn a_released_share_is_withdrawn_and_can_be_granted_again() {
    let (mut leader, mut holders) = fleet(2, 3);
    set_demand(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    set_demand(&mut holders[0], 1, 0.0);
    set_demand(&mut holders[1], 1, 0.5);
    leader.settle(&mut holders);
    assert_eq!(held_fraction(&holders[0], 1), 0.0);
    assert_eq!(leader.table.allocation(Incarnation(1), &volume(1)), Allocation::NONE);
    assert!(held_fraction(&holders[1], 1) > 0.9);
    set_demand(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    assert!(
        (held_fraction(&holders[0], 1) - 0.48).abs() < 0.02
            && (held_fraction(&holders[1], 1) - 0.48).abs() < 0.02
    );
}

/// The holder that releases its share sends no further request, and the one that waits for it has nothing new
/// to report.
#[test]
fn a_released_share_is_granted_without_another_request() {
    let (mut leader, mut holders) = fleet(2, 1);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    set_demand(&mut holders[0], 0, 0.0);
    set_demand(&mut holders[1], 0, 0.5);
    leader.renew(&mut holders[1]);
    let has_allocation =
        |leader: &Leader| leader.table.allocation(Incarnation(1), &volume(0)) != Allocation::NONE;
    for _ in 0..10 {
        if has_allocation(&leader) {
            leader.renew(&mut holders[0]);
        }
    }
    assert!(!has_allocation(&leader));
    assert!(leader.table.allocation(Incarnation(2), &volume(0)).fraction.as_f64() > 0.9);
}

/// A new leader has the table, but does not know the demand of any member.
#[test]
fn a_new_leader_rejects_incremental_requests_before_a_full_one() {
    let (mut leader, mut holders) = fleet(2, 4);
    set_demand(&mut holders[0], 0, 0.5);
    set_demand(&mut holders[1], 1, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    set_demand(&mut holders[0], 2, 0.5);
    let request = holders[0].next_request(next.now);
    assert_eq!(request.requests.len(), 1, "the request contains only the change");
    let response = next.respond(&request).expect("a response");
    assert_eq!(response.outcome, LeaseOutcome::Refused(Refusal::Unsynchronized));
    let before = holders[0].state().expires_at;
    deliver(&mut holders[0], next.now, &response);
    assert_eq!(holders[0].state().expires_at, before, "the refusal does not renew the lease");
    next.settle(&mut holders);
    for (host, number) in [(0, 0), (0, 2), (1, 1)] {
        assert!(held_fraction(&holders[host], number) > 0.9, "host {host}, volume {number}");
    }
}

/// Only the term distinguishes leaders: a later one may have reached the same sequence number and revision.
#[test]
fn a_base_of_another_term_is_unknown_even_if_its_numbers_match() {
    let (mut leader, mut holders) = fleet(1, 2);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    let full = LeaseRequest { base: None, ..holders[0].next_request(next.now) };
    assert!(next.respond(&full).is_some());
    let other_term = RenewalBase { term: 1, seq: full.seq, revision: 0 };
    let request = LeaseRequest { base: Some(other_term), ..holders[0].next_request(next.now) };
    let response = next.respond(&request).expect("a response");
    assert_eq!(response.outcome, LeaseOutcome::Refused(Refusal::Unsynchronized));
}

/// An incremental lease with one grant.
fn incremental_lease(position: GrantsPosition, since: u64, fraction: f64, version: u64) -> LeaseOutcome {
    let fraction = Fraction::from_f64(fraction);
    let grant = Grant { budget: volume(0), fraction, version, target: fraction };
    LeaseOutcome::Lease(Lease {
        changes_since: Some(since),
        position: Some(position),
        ..Lease::full(Incarnation(1), vec![grant])
    })
}

#[test]
fn an_incremental_lease_after_a_missed_response_is_rejected() {
    let (mut leader, mut holders) = fleet(1, 1);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let holder = &mut holders[0];
    let (expires_at, held) = (holder.state().expires_at, held_fraction(holder, 0));
    let request = holder.next_request(leader.now);
    let base = request.base.expect("a base");
    let ahead = GrantsPosition { term: base.term, revision: base.revision + 9 };
    let response = LeaseResponse::to(&request, incremental_lease(ahead, base.revision + 1, 0.1, 1_000));
    assert!(!holder.handle_response(leader.now + 1.0, &response));
    assert_eq!((holder.state().expires_at, held_fraction(holder, 0)), (expires_at, held));
    // The same changes since a response that the holder has handled are accepted.
    let response = LeaseResponse::to(&request, incremental_lease(ahead, base.revision, 0.1, 1_000));
    assert!(holder.handle_response(leader.now + 1.0, &response));
    assert_eq!(held_fraction(holder, 0), 0.1);
}

#[test]
fn an_incremental_lease_of_an_earlier_leader_is_rejected() {
    let (mut leader, mut holders) = fleet(1, 1);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    let request = holders[0].next_request(next.now);
    let refused = next.respond(&request).expect("a response");
    deliver(&mut holders[0], next.now, &refused);
    next.renew(&mut holders[0]);
    let held = held_fraction(&holders[0], 0);
    let request = holders[0].next_request(next.now);
    let old_position = GrantsPosition { term: 1, revision: 50 };
    let response = LeaseResponse::to(&request, incremental_lease(old_position, 0, 0.97, 1_000));
    assert!(!holders[0].handle_response(next.now + 1.0, &response));
    assert_eq!(held_fraction(&holders[0], 0), held);
}

#[test]
fn demand_that_varies_within_the_hysteresis_is_reported_once() {
    let (mut leader, mut holders) = fleet(1, 1);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    for demand in [0.54, 0.46, 0.55, 0.45, 0.5] {
        set_demand(&mut holders[0], 0, demand);
        let (request, _) = leader.renew(&mut holders[0]);
        assert!(request.requests.is_empty(), "{demand}");
    }
    // A slow drift is reported in the end: each value is compared with the reported one, not with the
    // previous one.
    let mut reports = 0;
    for step in 1..=20 {
        set_demand(&mut holders[0], 0, 0.5 + 0.02 * f64::from(step));
        reports += leader.renew(&mut holders[0]).0.requests.len();
    }
    assert!((4..=7).contains(&reports), "{reports}");
    for demand in [0.0, 1e-6, 0.0] {
        set_demand(&mut holders[0], 0, demand);
        let (request, _) = leader.renew(&mut holders[0]);
        assert_eq!(request.requests.len(), 1, "a change from or to zero is always reported: {demand}");
    }
}

/// A release that sends full messages only, as a holder and as a voter.
#[test]
fn releases_without_incremental_renewals_are_supported() {
    let (mut leader, mut holders) = fleet(1, 3);
    set_demand(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    let full = LeaseRequest { base: None, ..holders[0].next_request(leader.now) };
    let response = leader.respond(&full).expect("a response");
    assert_eq!(lease(&response).changes_since, None);
    // A voter of such a release sends no position, so the next request is a full one.
    let request = holders[0].next_request(leader.now);
    let old_lease = Lease { position: None, changes_since: None, ..lease(&response).clone() };
    deliver(&mut holders[0], leader.now, &LeaseResponse::to(&request, LeaseOutcome::Lease(old_lease)));
    let request = holders[0].next_request(leader.now);
    assert_eq!((request.base, request.requests.len()), (None, 1));
}

/// The changes apply to the grants of the other incarnation, not to those that this one holds.
#[test]
fn an_incremental_lease_of_another_incarnation_is_rejected() {
    let (mut leader, mut holders) = fleet(1, 1);
    set_demand(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let holder = &mut holders[0];
    let request = holder.next_request(leader.now);
    let base = request.base.expect("a base");
    let position = GrantsPosition { term: base.term, revision: base.revision + 1 };
    let LeaseOutcome::Lease(lease) = incremental_lease(position, base.revision, 0.1, 1_000) else {
        unreachable!()
    };
    let other = LeaseOutcome::Lease(Lease { incarnation: Incarnation(2), ..lease });
    assert!(!holder.handle_response(leader.now + 1.0, &LeaseResponse::to(&request, other)));
    assert!(held_fraction(holder, 0) > 0.9);
}

#[test]
fn with_a_thousand_budgets_only_those_that_move_are_reported_and_granted() {
    const BUDGETS: usize = 1_000;
    let (mut leader, mut holders) = fleet(6, BUDGETS);
    for number in 0..BUDGETS {
        set_demand(&mut holders[number % 6], number, 0.5);
    }
    leader.settle(&mut holders);
    let (mut reported, mut granted) = (0, 0);
    for second in 0..20 {
        for moved in 0..5 {
            let number = (second * 5 + moved) * 7 % BUDGETS;
            set_demand(&mut holders[number % 6], number, 0.0);
            set_demand(&mut holders[(number + 1) % 6], number, 0.5);
        }
        for _ in 0..5 {
            for holder in &mut holders {
                let (request, response) = leader.renew(holder);
                reported += request.requests.len();
                let lease = lease(&response);
                granted += lease.grants.len() + lease.withdrawn.len();
            }
        }
    }
    // A move of a budget takes 7 reports and 5 grants or withdrawals, for its old and its new holder
    // together.
    assert!(
        reported <= 100 * 8 && granted <= 100 * 6,
        "{reported} reports and {granted} grants for 100 moves"
    );
    for n in 0..100 {
        let number = n * 7 % BUDGETS;
        assert!(held_fraction(&holders[(number + 1) % 6], number) > 0.9, "volume {number}");
    }
}
