//! Renewals that tell changes alone: what is said and told, what is said again, and what is not believed.

use pearfork_ledger::{
    Allocation, Budget, Change, Fraction, Grant, GrantsPosition, Handling, Holder, HostNumber, Incarnation,
    Kind, Lease, LeaseManager, LeaseOutcome, LeaseRequest, LeaseResponse, LeaseTable, Refusal, RenewalBase,
    Times,
};

fn volume(number: usize) -> Budget {
    Budget::new(Kind::Limit, &format!("volume-{number:04}"))
}

/// A leader alone: what it proposes is committed at once.
struct Leader {
    table: LeaseTable,
    manager: LeaseManager,
    now: f64,
}

impl Leader {
    fn new(term: u64, table: LeaseTable, now: f64) -> Leader {
        let manager = LeaseManager::new(Times::default(), term, &table, now);
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
                self.manager.note_applied(change);
            }
        }
        panic!("a division never comes to an end");
    }

    /// The response to a request; none where it gets none.
    fn respond(&mut self, request: &LeaseRequest) -> Option<LeaseResponse> {
        let who = self.table.incarnation(request.host, request.nonce).expect("a member");
        let outcome = match self.manager.handle_request(self.now, who, request) {
            Handling::Ignored => return None,
            Handling::Unsynchronized => LeaseOutcome::Refused(Refusal::Unsynchronized),
            Handling::Accepted => {
                self.divide();
                self.manager.renew_lease(self.now, who);
                LeaseOutcome::Lease(self.manager.lease(who, request.base, &self.table))
            }
        };
        Some(LeaseResponse::to(request, outcome))
    }

    /// A request and its response, both of which arrive, and the confirmation of what is in it.
    fn renew(&mut self, holder: &mut Holder) -> (LeaseRequest, LeaseResponse) {
        self.now += 200.0;
        let request = holder.next_request(self.now);
        let response = self.respond(&request).expect("a response");
        deliver(holder, self.now, &response);
        (request, response)
    }

    fn settle(&mut self, holders: &mut [Holder]) {
        for _ in 0..6 {
            holders.iter_mut().for_each(|holder| drop(self.renew(holder)));
        }
    }
}

fn deliver(holder: &mut Holder, now: f64, response: &LeaseResponse) -> bool {
    let is_taken = holder.handle_response(now, response);
    for (budget, allocation) in holder.unconfirmed() {
        holder.confirm(&budget, allocation);
    }
    is_taken
}

fn lease(response: &LeaseResponse) -> &Lease {
    match &response.outcome {
        LeaseOutcome::Lease(lease) => lease,
        LeaseOutcome::Refused(why) => panic!("refused: {why:?}"),
    }
}

fn want(holder: &mut Holder, number: usize, demand: f64) {
    holder.set_demand(&volume(number), Fraction::from_f64(demand), Fraction::from_f64(0.01), 0);
}

fn holds(holder: &Holder, number: usize) -> f64 {
    holder.held(&volume(number)).fraction.as_f64()
}

/// A leader and holders that have joined; each knows of so many budgets.
fn fleet(hosts: u16, budgets: usize) -> (Leader, Vec<Holder>) {
    let mut table = LeaseTable::new(Fraction::from_f64(0.97));
    let mut holders = Vec::new();
    for host in 0..hosts {
        let nonce = u64::from(host) + 70;
        assert!(table.apply(&Change::Join { host: HostNumber(host), nonce }));
        let mut holder = Holder::new(HostNumber(host), nonce, Times::default());
        (0..budgets).for_each(|number| want(&mut holder, number, 0.0));
        holders.push(holder);
    }
    (Leader::new(1, table, 0.0), holders)
}

#[test]
fn a_renewal_without_changes_is_as_short_with_a_thousand_budgets_as_with_one() {
    let mut lengths = Vec::new();
    for budgets in [1, 1_000] {
        let (mut leader, mut holders) = fleet(3, budgets);
        for holder in &mut holders {
            (0..budgets).for_each(|number| want(holder, number, 0.5));
        }
        leader.settle(&mut holders);
        let (request, response) = leader.renew(&mut holders[0]);
        assert_eq!((request.requests.len(), lease(&response).grants.len()), (0, 0));
        assert!(holds(&holders[0], budgets - 1) > 0.3, "it holds its part all the same");
        let bytes = |json: serde_json::Result<Vec<u8>>| json.unwrap().len();
        lengths.push(bytes(serde_json::to_vec(&request)) + bytes(serde_json::to_vec(&response)));
    }
    // A revision of more digits, and no more.
    assert!(lengths[1] <= lengths[0] + 10, "{lengths:?}");
}

#[test]
fn a_host_that_wants_and_holds_nothing_says_nothing_of_its_budgets_to_a_new_leader() {
    let (mut leader, mut holders) = fleet(1, 500);
    want(&mut holders[0], 7, 0.5);
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!((request.base, request.requests.len()), (None, 1));
}

#[test]
fn a_demand_whose_request_was_lost_is_said_again_until_it_is_answered() {
    let (mut leader, mut holders) = fleet(1, 4);
    leader.settle(&mut holders);
    want(&mut holders[0], 2, 0.5);
    for _ in 0..3 {
        let lost = holders[0].next_request(leader.now);
        assert_eq!(lost.requests.len(), 1, "said in each");
    }
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!(request.requests.len(), 1);
    assert!(holds(&holders[0], 2) > 0.9);
}

/// It went back before the first request was answered: the leader may have either of the two.
#[test]
fn a_demand_that_went_back_before_it_was_answered_is_said_again() {
    let (mut leader, mut holders) = fleet(2, 2);
    want(&mut holders[0], 0, 0.5);
    want(&mut holders[1], 0, 0.5);
    leader.settle(&mut holders);
    want(&mut holders[0], 0, 5.0);
    let heard = holders[0].next_request(leader.now);
    assert!(leader.respond(&heard).is_some(), "heard, and its response is lost");
    want(&mut holders[0], 0, 0.5);
    let (request, _) = leader.renew(&mut holders[0]);
    assert_eq!(request.requests.len(), 1);
}

#[test]
fn a_grant_whose_response_was_lost_is_told_again() {
    let (mut leader, mut holders) = fleet(1, 4);
    leader.settle(&mut holders);
    want(&mut holders[0], 1, 0.5);
    let request = holders[0].next_request(leader.now);
    let lost = leader.respond(&request).expect("a response");
    assert_eq!(lease(&lost).grants.len(), 1);
    let (_, response) = leader.renew(&mut holders[0]);
    assert_eq!(lease(&response).grants.len(), 1, "told once more");
    assert!(holds(&holders[0], 1) > 0.9);
    let (_, response) = leader.renew(&mut holders[0]);
    let (_, response) = (response, leader.renew(&mut holders[0]).1);
    assert!(lease(&response).grants.is_empty(), "and then no more");
}

#[test]
fn what_was_given_back_is_withdrawn_and_can_be_had_again() {
    let (mut leader, mut holders) = fleet(2, 3);
    want(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    want(&mut holders[0], 1, 0.0);
    want(&mut holders[1], 1, 0.5);
    leader.settle(&mut holders);
    assert_eq!(holds(&holders[0], 1), 0.0);
    assert_eq!(leader.table.allocation(Incarnation(1), &volume(1)), Allocation::NONE);
    assert!(holds(&holders[1], 1) > 0.9);
    want(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    assert!((holds(&holders[0], 1) - 0.48).abs() < 0.02 && (holds(&holders[1], 1) - 0.48).abs() < 0.02);
}

/// Whoever gave it back falls silent at once, and whoever waits for it has said all there is to say.
#[test]
fn what_was_given_back_is_lent_on_without_another_word() {
    let (mut leader, mut holders) = fleet(2, 1);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    want(&mut holders[0], 0, 0.0);
    want(&mut holders[1], 0, 0.5);
    leader.renew(&mut holders[1]);
    let holds_some =
        |leader: &Leader| leader.table.allocation(Incarnation(1), &volume(0)) != Allocation::NONE;
    for _ in 0..10 {
        if holds_some(&leader) {
            leader.renew(&mut holders[0]);
        }
    }
    assert!(!holds_some(&leader));
    assert!(leader.table.allocation(Incarnation(2), &volume(0)).fraction.as_f64() > 0.9);
}

/// The next leader has the table, and knows of nobody's demand.
#[test]
fn a_new_leader_takes_no_changes_before_it_was_told_all() {
    let (mut leader, mut holders) = fleet(2, 4);
    want(&mut holders[0], 0, 0.5);
    want(&mut holders[1], 1, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    want(&mut holders[0], 2, 0.5);
    let request = holders[0].next_request(next.now);
    assert_eq!(request.requests.len(), 1, "the change alone");
    let response = next.respond(&request).expect("a response");
    assert_eq!(response.outcome, LeaseOutcome::Refused(Refusal::Unsynchronized));
    let before = holders[0].state().until_ms;
    deliver(&mut holders[0], next.now, &response);
    assert_eq!(holders[0].state().until_ms, before, "no lease is renewed by that");
    next.settle(&mut holders);
    for (host, number) in [(0, 0), (0, 2), (1, 1)] {
        assert!(holds(&holders[host], number) > 0.9, "host {host}, volume {number}");
    }
}

/// Terms alone tell leaders apart: a later leader may have as many requests and revisions as the one before.
#[test]
fn a_base_of_another_term_is_not_known_however_like_its_numbers_are() {
    let (mut leader, mut holders) = fleet(1, 2);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    let whole = LeaseRequest { base: None, ..holders[0].next_request(next.now) };
    assert!(next.respond(&whole).is_some());
    let like = RenewalBase { term: 1, seq: whole.seq, revision: 0 };
    let request = LeaseRequest { base: Some(like), ..holders[0].next_request(next.now) };
    let response = next.respond(&request).expect("a response");
    assert_eq!(response.outcome, LeaseOutcome::Refused(Refusal::Unsynchronized));
}

/// Changes of a holder's grants, by hand.
fn changes(position: GrantsPosition, since: u64, fraction: f64, version: u64) -> LeaseOutcome {
    let fraction = Fraction::from_f64(fraction);
    let grant = Grant { budget: volume(0), fraction, version, target: fraction };
    LeaseOutcome::Lease(Lease {
        changes_since: Some(since),
        position: Some(position),
        ..Lease::whole(Incarnation(1), vec![grant])
    })
}

#[test]
fn changes_since_a_response_that_never_came_are_not_believed() {
    let (mut leader, mut holders) = fleet(1, 1);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let holder = &mut holders[0];
    let (until_ms, held) = (holder.state().until_ms, holds(holder, 0));
    let request = holder.next_request(leader.now);
    let base = request.base.expect("a base");
    let ahead = GrantsPosition { term: base.term, revision: base.revision + 9 };
    let response = LeaseResponse::to(&request, changes(ahead, base.revision + 1, 0.1, 1_000));
    assert!(!holder.handle_response(leader.now + 1.0, &response));
    assert_eq!((holder.state().until_ms, holds(holder, 0)), (until_ms, held));
    // The same since what it did handle is.
    let response = LeaseResponse::to(&request, changes(ahead, base.revision, 0.1, 1_000));
    assert!(holder.handle_response(leader.now + 1.0, &response));
    assert_eq!(holds(holder, 0), 0.1);
}

#[test]
fn changes_told_by_an_earlier_leader_are_not_believed() {
    let (mut leader, mut holders) = fleet(1, 1);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let mut next = Leader::new(2, leader.table.clone(), leader.now);
    let request = holders[0].next_request(next.now);
    let refused = next.respond(&request).expect("a response");
    deliver(&mut holders[0], next.now, &refused);
    next.renew(&mut holders[0]);
    let held = holds(&holders[0], 0);
    let request = holders[0].next_request(next.now);
    let old = GrantsPosition { term: 1, revision: 50 };
    let response = LeaseResponse::to(&request, changes(old, 0, 0.97, 1_000));
    assert!(!holders[0].handle_response(next.now + 1.0, &response));
    assert_eq!(holds(&holders[0], 0), held);
}

#[test]
fn demand_that_moves_to_and_fro_within_the_hysteresis_is_said_once() {
    let (mut leader, mut holders) = fleet(1, 1);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    for demand in [0.54, 0.46, 0.55, 0.45, 0.5] {
        want(&mut holders[0], 0, demand);
        let (request, _) = leader.renew(&mut holders[0]);
        assert!(request.requests.is_empty(), "{demand}");
    }
    // A slow drift is said in the end: each step is held against what was said, not against the step before.
    let mut said = 0;
    for step in 1..=20 {
        want(&mut holders[0], 0, 0.5 + 0.02 * f64::from(step));
        said += leader.renew(&mut holders[0]).0.requests.len();
    }
    assert!((4..=7).contains(&said), "{said}");
    for demand in [0.0, 1e-6, 0.0] {
        want(&mut holders[0], 0, demand);
        let (request, _) = leader.renew(&mut holders[0]);
        assert_eq!(request.requests.len(), 1, "from and to nothing is always said: {demand}");
    }
}

/// A release that always tells all, on either side.
#[test]
fn releases_that_always_tell_all_are_understood() {
    let (mut leader, mut holders) = fleet(1, 3);
    want(&mut holders[0], 1, 0.5);
    leader.settle(&mut holders);
    let whole = LeaseRequest { base: None, ..holders[0].next_request(leader.now) };
    let response = leader.respond(&whole).expect("a response");
    assert_eq!(lease(&response).changes_since, None);
    // A voter of such a release gives no position: the next request tells all.
    let request = holders[0].next_request(leader.now);
    let old = Lease { position: None, changes_since: None, ..lease(&response).clone() };
    deliver(&mut holders[0], leader.now, &LeaseResponse::to(&request, LeaseOutcome::Lease(old)));
    let request = holders[0].next_request(leader.now);
    assert_eq!((request.base, request.requests.len()), (None, 1));
}

/// The process joined anew: what the incarnation before it was told is nothing that changes can be added to.
#[test]
fn changes_of_another_incarnation_are_not_believed() {
    let (mut leader, mut holders) = fleet(1, 1);
    want(&mut holders[0], 0, 0.5);
    leader.settle(&mut holders);
    let holder = &mut holders[0];
    let request = holder.next_request(leader.now);
    let base = request.base.expect("a base");
    let position = GrantsPosition { term: base.term, revision: base.revision + 1 };
    let LeaseOutcome::Lease(lease) = changes(position, base.revision, 0.1, 1_000) else { unreachable!() };
    let other = LeaseOutcome::Lease(Lease { incarnation: Incarnation(2), ..lease });
    assert!(!holder.handle_response(leader.now + 1.0, &LeaseResponse::to(&request, other)));
    assert!(holds(holder, 0) > 0.9);
}

#[test]
fn a_thousand_budgets_of_which_five_move_each_second_say_and_tell_those_alone() {
    const BUDGETS: usize = 1_000;
    let (mut leader, mut holders) = fleet(6, BUDGETS);
    for number in 0..BUDGETS {
        want(&mut holders[number % 6], number, 0.5);
    }
    leader.settle(&mut holders);
    let (mut said, mut told) = (0, 0);
    for second in 0..20 {
        for moved in 0..5 {
            let number = (second * 5 + moved) * 7 % BUDGETS;
            want(&mut holders[number % 6], number, 0.0);
            want(&mut holders[(number + 1) % 6], number, 0.5);
        }
        for _ in 0..5 {
            for holder in &mut holders {
                let (request, response) = leader.renew(holder);
                said += request.requests.len();
                let lease = lease(&response);
                told += lease.grants.len() + lease.withdrawn.len();
            }
        }
    }
    // A move is some words of the one that had it and of the one that gets it: measured 7.0 and 5.0.
    assert!(said <= 100 * 8 && told <= 100 * 6, "{said} said, {told} told of 100 moves");
    for n in 0..100 {
        let number = n * 7 % BUDGETS;
        assert!(holds(&holders[(number + 1) % 6], number) > 0.9, "volume {number}");
    }
}
