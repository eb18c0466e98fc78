//! Which client connections stay, and which connection to a node carries an attempt.

use pearfork_drive::AttemptId;
use pearfork_platform::clients::{max_client_connections, max_node_connections, AfterFault, ClientTable};
use pearfork_platform::config::Links;
use pearfork_platform::pool::{Do, Pool};

const LINKS: Links = Links { streams: 2, idle_ms: 30_000.0, connect_ms: 250.0 };

fn attempt(request: u32) -> AttemptId {
    AttemptId { request, number: 0 }
}

/// Asks for an attempt to node 1 and tells what is to be done.
fn send(pool: &mut Pool, now: f64, request: u32) -> Vec<Do> {
    let mut out = Vec::new();
    pool.send(now, 1, attempt(request), &mut out);
    out
}

fn opened(pool: &mut Pool, now: f64, link: u64) -> Vec<Do> {
    let mut out = Vec::new();
    pool.opened(now, link, &mut out);
    out
}

#[test]
fn each_attempt_has_a_connection_and_idle_ones_are_used_again() {
    let mut pool = Pool::new(LINKS, 10);
    assert_eq!(send(&mut pool, 0.0, 1), [Do::Open(0, 1)]);
    assert_eq!(send(&mut pool, 0.0, 2), [Do::Open(1, 1)]);
    // Whichever is up first carries what waits longest.
    assert_eq!(opened(&mut pool, 1.0, 1), [Do::Write(1, attempt(1))]);
    assert_eq!(opened(&mut pool, 1.0, 0), [Do::Write(0, attempt(2))]);
    assert_eq!(pool.answered(10.0, 1), Some(attempt(1)));
    assert_eq!(send(&mut pool, 25.0, 3), [Do::Write(1, attempt(3))]);
}

/// Danger: what a node sends behind its answer would be taken for the answer to the next command.
#[test]
fn a_connection_that_has_rested_is_chosen_over_one_that_has_just_answered() {
    let mut pool = Pool::new(LINKS, 10);
    for request in [1, 2] {
        send(&mut pool, 0.0, request);
        opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    pool.answered(10.0, 0);
    pool.answered(25.0, 1);
    assert_eq!(send(&mut pool, 26.0, 3), [Do::Write(0, attempt(3))]);
    pool.answered(30.0, 0);
    // Both have rested: the last used, so that the other ages.
    assert_eq!(send(&mut pool, 60.0, 4), [Do::Write(0, attempt(4))]);
}

#[test]
fn a_connection_that_does_not_come_up_fails_one_attempt() {
    let mut pool = Pool::new(LINKS, 10);
    send(&mut pool, 0.0, 1);
    send(&mut pool, 0.0, 2);
    let mut out = Vec::new();
    pool.not_opened(0, &mut out);
    assert_eq!(out, [Do::NeverSent(attempt(1))]);
    assert_eq!(opened(&mut pool, 1.0, 1), [Do::Write(1, attempt(2))]);
}

/// Danger: an attempt that waits for a free connection is told as never sent while one is on its way to be free.
#[test]
fn what_waits_takes_a_connection_that_is_answered_before_a_new_one_is_up() {
    let mut pool = Pool::new(LINKS, 10);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    assert_eq!(send(&mut pool, 1.0, 2), [Do::Open(1, 1)]);
    let mut out = Vec::new();
    pool.not_opened(1, &mut out);
    assert!(out.is_empty(), "{out:?}");
    assert_eq!(pool.answered(2.0, 0), Some(attempt(1)));
    // It rests first: a second answer may be on its way.
    assert!(out.is_empty(), "{out:?}");
    assert_eq!(pool.next_due(), Some(17.0));
    pool.ring(16.9, &mut out);
    assert!(out.is_empty(), "{out:?}");
    pool.ring(17.0, &mut out);
    assert_eq!(out, [Do::Write(0, attempt(2))]);
    assert_eq!(pool.next_due(), None);
}

#[test]
fn giving_up_an_attempt_closes_its_connection_and_no_other() {
    let mut pool = Pool::new(LINKS, 10);
    for request in [1, 2] {
        send(&mut pool, 0.0, request);
        opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    let mut out = Vec::new();
    pool.withdrawn(1, attempt(1), &mut out);
    assert_eq!(out, [Do::Close(0)]);
    assert_eq!(pool.answered(1.0, 0), None);
    assert_eq!(pool.answered(1.0, 1), Some(attempt(2)));
}

/// Danger: descriptors that run out refuse clients, nodes and discovery alike.
#[test]
fn without_room_attempts_share_and_giving_one_up_spares_the_others() {
    let mut pool = Pool::new(LINKS, 1);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    assert_eq!(send(&mut pool, 0.0, 2), [Do::Write(0, attempt(2))]);
    // The node takes two on a connection: the third waits, and another node's has no way at all.
    assert!(send(&mut pool, 0.0, 3).is_empty());
    let mut out = Vec::new();
    pool.send(0.0, 2, attempt(4), &mut out);
    assert_eq!(out, [Do::NeverSent(attempt(4))]);
    out.clear();
    pool.withdrawn(1, attempt(1), &mut out);
    assert!(out.is_empty(), "{out:?}");
    // The answer to what was given up is nobody's; the next is still its owner's.
    assert_eq!(pool.answered(1.0, 0), None);
    assert_eq!(pool.answered(2.0, 0), Some(attempt(2)));
    assert!(out.is_empty(), "{out:?}");
    pool.ring(17.0, &mut out);
    assert_eq!(out, [Do::Write(0, attempt(3))]);
    assert_eq!(pool.held(), 1);
}

#[test]
fn a_lost_connection_names_what_was_out_on_it_and_what_waits_gets_another() {
    let mut pool = Pool::new(LINKS, 1);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    send(&mut pool, 0.0, 2);
    send(&mut pool, 0.0, 3);
    let mut out = Vec::new();
    assert_eq!(pool.closed(0, &mut out), [attempt(1), attempt(2)]);
    assert_eq!(out, [Do::Open(1, 1)]);
    assert_eq!(opened(&mut pool, 1.0, 1), [Do::Write(1, attempt(3))]);
}

#[test]
fn a_connection_found_unfit_gives_its_attempt_to_another() {
    let mut pool = Pool::new(LINKS, 10);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    let mut out = Vec::new();
    pool.answered(1.0, 0);
    assert_eq!(send(&mut pool, 19.0, 2), [Do::Write(0, attempt(2))]);
    pool.unfit(19.0, 0, 1, attempt(2), &mut out);
    assert_eq!(out, [Do::Close(0), Do::Open(1, 1)]);
}

/// Danger: the connection is gone from the pool while the attempt was on its way to it; it would be in nobody's hands.
#[test]
fn an_attempt_that_finds_its_connection_gone_goes_to_another() {
    let mut pool = Pool::new(LINKS, 10);
    send(&mut pool, 0.0, 1);
    assert_eq!(opened(&mut pool, 0.0, 0), [Do::Write(0, attempt(1))]);
    let mut out = Vec::new();
    pool.closed(0, &mut out);
    assert!(out.is_empty(), "{out:?}");
    pool.unfit(1.0, 0, 1, attempt(1), &mut out);
    assert_eq!(out, [Do::Open(1, 1)]);
    assert_eq!(opened(&mut pool, 2.0, 1), [Do::Write(1, attempt(1))]);
}

/// Danger: the last attempt that is waited for is not the last that was written; told never to have run, it runs twice.
#[test]
fn what_was_written_last_is_counted_with_what_nobody_waits_for() {
    let mut pool = Pool::new(LINKS, 1);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    send(&mut pool, 0.0, 2);
    let mut out = Vec::new();
    pool.withdrawn(1, attempt(2), &mut out);
    assert_eq!(
        pool.last_written(0, 1),
        [],
        "the last byte that never went out was of one that nobody waits for"
    );
    assert_eq!(pool.last_written(0, 2), [attempt(1)]);
    assert_eq!(pool.closed(0, &mut out), [attempt(1)]);
}

/// Danger: the half of a command is ended as if it rested, and its other half is a request that is lost.
#[test]
fn nothing_is_expected_of_one_that_rests_and_of_no_other() {
    let mut table = ClientTable::new(10);
    for id in 1..=5 {
        table.arrived(0.0, id);
    }
    for id in [1, 2, 3] {
        table.began(1.0, id);
    }
    table.answered(2.0, 1);
    table.answered(2.0, 2);
    table.partial(3.0, 2);
    table.partial(3.0, 4);
    table.arrived(290.0, 6);
    assert_eq!(table.resting(300.0), [1, 5], "not with half a command, not with one open, not just arrived");
    assert_eq!(table.idle(), [1, 2, 4, 5, 6]);
    table.ending(300.0, 1);
    assert_eq!((table.resting(310.0), table.idle()), (vec![5], vec![2, 4, 5, 6]), "ended once");
}

/// Danger: a newcomer is turned away over what it has written, where it could have waited for a moment.
#[test]
fn connections_that_end_take_a_part_of_the_room_and_go_first() {
    let mut table = ClientTable::new(16);
    for id in 1..=14 {
        assert_eq!(table.arrived(id as f64, id), None);
        assert!(table.began(id as f64, id));
    }
    assert!(table.has_room(20.0));
    assert_eq!(table.arrived(20.0, 15), None, "nobody can go, and there is room");
    assert_eq!(table.arrived(21.0, 16), Some(15), "the silent one");
    assert!(table.holds(15), "it ends in order");
    table.ending(21.0, 15);
    assert!(!table.began(22.0, 15), "and takes nothing more");
    assert_eq!(table.arrived(23.0, 17), Some(15), "its place is needed");
    assert!(!table.holds(15));
    assert!(table.began(24.0, 16) && table.began(24.0, 17));
    assert!(!table.has_room(25.0), "all are busy: whoever comes waits to be taken");
    table.answered(26.0, 3);
    assert!(!table.has_room(27.0) && table.has_room(3_000.0));
}

/// Guards against an end for room under a request: its connection was on its way out, and its answer was still owed.
#[test]
fn a_connection_that_ends_and_is_owed_an_answer_keeps_its_place() {
    let mut table = ClientTable::new(2);
    for id in [1, 2] {
        assert_eq!(table.arrived(0.0, id), None);
        assert!(table.began(1.0, id));
    }
    table.ending(2.0, 1);
    assert!(!table.has_room(3.0));
    assert_eq!(table.arrived(3.0, 3), Some(3), "the newcomer: nothing of it was taken");
    table.answered(4.0, 1);
    table.flushing(1, true);
    assert!(!table.has_room(5.0), "its answer has not left the write buffer");
    assert_eq!(table.arrived(5.0, 4), Some(4));
    table.flushing(1, false);
    assert!(table.has_room(6.0));
    assert_eq!(table.arrived(6.0, 5), Some(1));
}

#[test]
fn idle_connections_are_closed_before_their_node_would() {
    let mut pool = Pool::new(LINKS, 10);
    send(&mut pool, 0.0, 1);
    opened(&mut pool, 0.0, 0);
    let mut out = Vec::new();
    pool.sweep(29_000.0, &mut out);
    assert!(out.is_empty(), "closed while an attempt is out");
    pool.answered(29_000.0, 0);
    pool.sweep(40_000.0, &mut out);
    assert!(out.is_empty());
    pool.sweep(29_000.0 + 29_000.0, &mut out);
    assert_eq!(out, [Do::Close(0)]);
}

#[test]
fn descriptors_are_dealt_out_with_some_kept() {
    for descriptors in [1, 24, 25, 64, 256, 1024] {
        let (clients, nodes) = (max_client_connections(descriptors), max_node_connections(descriptors));
        assert!(clients + nodes < descriptors.max(2), "{descriptors}: {clients} and {nodes}");
    }
    // Requests come on a third of them.
    assert!(max_client_connections(256) > 256 / 3 + 16);
}

/// Danger: a crowd that only connects takes the places of those that ask.
#[test]
fn the_longest_silent_goes_first_then_the_longest_idle_and_nobody_with_a_request() {
    let mut table = ClientTable::new(3);
    assert_eq!([table.arrived(0.0, 1), table.arrived(1.0, 2), table.arrived(2.0, 3)], [None; 3]);
    assert!(table.began(3.0, 1) && table.began(4.0, 2));
    assert_eq!(table.arrived(5.0, 4), Some(3), "the silent one");
    assert_eq!(table.arrived(6.0, 5), Some(4));
    assert!(table.began(7.0, 5));
    assert_eq!(table.arrived(8.0, 6), Some(6), "all have requests open: the newcomer");
    table.answered(10.0, 1);
    table.answered(11.0, 2);
    assert_eq!(table.arrived(12.0, 7), Some(7), "idle, but not for long enough");
    assert_eq!(table.arrived(5_000.0, 8), Some(1));
    assert!(!table.began(5_001.0, 1), "what was given up takes no more commands");
    assert_eq!(table.held(), 3);
}

#[test]
fn silence_and_halves_end_and_a_quiet_client_may_stay() {
    let mut table = ClientTable::new(10);
    for id in [1, 2, 3] {
        table.arrived(0.0, id);
    }
    table.began(10.0, 2);
    table.answered(20.0, 2);
    table.began(10.0, 3);
    table.answered(20.0, 3);
    table.partial(30.0, 3);
    assert!(table.overdue(1_000.0).is_empty());
    assert_eq!(table.overdue(2_500.0), [1, 3]);
    table.left(1);
    table.left(3);
    assert!(table.overdue(60_000.0).is_empty(), "it asked once, and may hold its connection");
    assert_eq!(table.idle(), [2]);
}

/// Danger: one that sends nonsense as fast as it is told so takes the core from those that are served.
#[test]
fn nonsense_is_read_ever_more_slowly_and_then_not_at_all() {
    let mut table = ClientTable::new(10);
    table.arrived(0.0, 1);
    let mut last = 0;
    let mut pauses = 0;
    while let AfterFault::Pause(ms) = table.fault(1) {
        assert!(ms > last && ms < 2_000, "{ms} after {last}");
        (last, pauses) = (ms, pauses + 1);
    }
    assert!((2..20).contains(&pauses));
    assert_eq!(table.fault(99), AfterFault::Close);
}

/// Danger: a machine drops idle connections without a word, long before the stated time; each request after a pause
/// then costs an attempt that may have run.
#[test]
fn connections_that_rested_where_others_were_lost_are_not_used_again() {
    let mut pool = Pool::new(LINKS, 10);
    let (mut now, mut lost, mut sent) = (0.0, 0, 0);
    let mut up = std::collections::HashSet::new();
    for request in 0..400 {
        // Mostly soon after the last answer; at times after a pause, which the connection does not live through.
        let pause = if request % 5 == 0 { 300.0 } else { 20.0 };
        now += pause;
        let mut todo = send(&mut pool, now, request);
        let mut retried = false;
        while let Some(one) = todo.pop() {
            let mut out = Vec::new();
            match one {
                Do::Open(link, 1) => pool.opened(now, link, &mut out),
                Do::Write(link, attempt) => {
                    sent += 1;
                    if up.insert(link) || pause < 100.0 || retried {
                        assert_eq!(pool.answered(now, link), Some(attempt));
                    } else {
                        lost += 1;
                        retried = true;
                        assert_eq!(pool.closed(link, &mut out), [attempt]);
                        pool.send(now, 1, attempt, &mut out);
                    }
                }
                Do::Close(_) => {}
                other => panic!("{other:?}"),
            }
            todo.extend(out);
        }
    }
    assert!(lost <= 20, "{lost} of {sent} attempts, where 80 pauses would have cost one each");
}
