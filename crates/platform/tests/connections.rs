//! The table of client connections and the pool of links to nodes.

use pearfork_drive::AttemptId;
use pearfork_platform::clients::{AfterError, ClientTable};
use pearfork_platform::config::LinkSettings;
use pearfork_platform::descriptors::{max_client_connections, max_node_connections, DescriptorSplit};
use pearfork_platform::pool::{Pool, PoolAction};

const LINK_SETTINGS: LinkSettings = LinkSettings { idle_timeout_ms: 30_000.0, connect_timeout_ms: 250.0 };

fn attempt(request: u32) -> AttemptId {
    AttemptId { request, number: 0 }
}

/// Requests a link to node 1 for an attempt and returns the resulting actions.
fn send(pool: &mut Pool, now: f64, request: u32) -> Vec<PoolAction> {
    let mut actions = Vec::new();
    pool.send(now, 1, attempt(request), &mut actions);
    actions
}

fn link_opened(pool: &mut Pool, now: f64, link: u64) -> Vec<PoolAction> {
    let mut actions = Vec::new();
    pool.link_opened(now, link, &mut actions);
    actions
}

/// Passes on a reply that leads to no action, and returns the attempt that it belongs to.
fn reply_received(pool: &mut Pool, now: f64, link: u64) -> Option<AttemptId> {
    let mut actions = Vec::new();
    let owner = pool.reply_received(now, link, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    owner
}

#[test]
fn each_attempt_gets_a_link_and_idle_links_are_reused() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    assert_eq!(send(&mut pool, 0.0, 1), [PoolAction::Open(0, 1)]);
    assert_eq!(send(&mut pool, 0.0, 2), [PoolAction::Open(1, 1)]);
    // The first link to open carries the attempt that has waited for longest.
    assert_eq!(link_opened(&mut pool, 1.0, 1), [PoolAction::Write(1, attempt(1))]);
    assert_eq!(link_opened(&mut pool, 1.0, 0), [PoolAction::Write(0, attempt(2))]);
    assert_eq!(reply_received(&mut pool, 10.0, 1), Some(attempt(1)));
    assert_eq!(send(&mut pool, 25.0, 3), [PoolAction::Write(1, attempt(3))]);
}

/// Guards against extra data from a node being taken for the reply to the next command.
#[test]
fn a_quiet_link_is_preferred_to_one_that_has_just_replied() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    for request in [1, 2] {
        send(&mut pool, 0.0, request);
        link_opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    reply_received(&mut pool, 10.0, 0);
    reply_received(&mut pool, 25.0, 1);
    assert_eq!(send(&mut pool, 26.0, 3), [PoolAction::Write(0, attempt(3))]);
    reply_received(&mut pool, 30.0, 0);
    // Both may be used: the most recently used one is chosen, so that the other reaches the idle timeout.
    assert_eq!(send(&mut pool, 60.0, 4), [PoolAction::Write(0, attempt(4))]);
}

#[test]
fn a_link_that_fails_to_open_ends_one_attempt() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    send(&mut pool, 0.0, 2);
    let mut actions = Vec::new();
    pool.open_failed(0.5, 0, &mut actions);
    assert_eq!(actions, [PoolAction::NeverSent(attempt(1))]);
    assert_eq!(link_opened(&mut pool, 1.0, 1), [PoolAction::Write(1, attempt(2))]);
}

/// Guards against an attempt ending as never sent while a link that could carry it is about to become
/// available.
#[test]
fn a_waiting_attempt_takes_the_first_link_that_becomes_available() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    assert_eq!(send(&mut pool, 1.0, 2), [PoolAction::Open(1, 1)]);
    let mut actions = Vec::new();
    pool.open_failed(1.5, 1, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(reply_received(&mut pool, 2.0, 0), Some(attempt(1)));
    // The link is not used at once, since a duplicate reply may be in transit.
    assert!(actions.is_empty(), "{actions:?}");
    assert_eq!(pool.next_due(), Some(17.0));
    pool.on_timer(16.9, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    pool.on_timer(17.0, &mut actions);
    assert_eq!(actions, [PoolAction::Write(0, attempt(2))]);
    assert_eq!(pool.next_due(), None);
}

#[test]
fn abandoning_an_attempt_closes_only_its_link() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    for request in [1, 2] {
        send(&mut pool, 0.0, request);
        link_opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    let mut actions = Vec::new();
    pool.abandon(0.5, 1, attempt(1), &mut actions);
    assert_eq!(actions, [PoolAction::Close(0)]);
    assert_eq!(reply_received(&mut pool, 1.0, 0), None);
    assert_eq!(reply_received(&mut pool, 1.0, 1), Some(attempt(2)));
}

/// Guards against running out of descriptors, which would affect clients, nodes and discovery alike, and
/// against a command behind another one: a second copy of the first one's reply would be taken for its own.
#[test]
fn at_capacity_attempts_wait_and_no_command_is_written_behind_another() {
    let mut pool = Pool::new(LINK_SETTINGS, 1);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    assert!(send(&mut pool, 0.0, 2).is_empty());
    let mut actions = Vec::new();
    pool.send(0.0, 2, attempt(3), &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    // The link that has just replied makes room for the attempt that has waited for longest.
    assert_eq!(pool.reply_received(1.0, 0, &mut actions), Some(attempt(1)));
    assert_eq!(actions, [PoolAction::Close(0), PoolAction::Open(1, 1)]);
    assert_eq!(link_opened(&mut pool, 2.0, 1), [PoolAction::Write(1, attempt(2))]);
    actions.clear();
    pool.reply_received(3.0, 1, &mut actions);
    assert_eq!(actions, [PoolAction::Close(1), PoolAction::Open(2, 2)]);
    assert_eq!(pool.link_count(), 1);
}

/// Guards against a cancelled attempt that stays out on an open connection: its node goes on with it while
/// the next attempt of its request runs elsewhere.
#[test]
fn at_capacity_cancelling_an_attempt_closes_the_link_that_carries_it() {
    let mut pool = Pool::new(LINK_SETTINGS, 2);
    for request in [1, 2] {
        send(&mut pool, 0.0, request);
        link_opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    assert!(send(&mut pool, 0.0, 3).is_empty());
    let mut actions = Vec::new();
    pool.abandon(0.5, 1, attempt(1), &mut actions);
    assert_eq!(actions, [PoolAction::Close(0), PoolAction::Open(2, 1)]);
    assert_eq!(reply_received(&mut pool, 1.0, 0), None);
    assert_eq!(reply_received(&mut pool, 1.0, 1), Some(attempt(2)));
}

/// Guards against a waiting attempt that nothing looks at again: its connection does not come up while
/// another one of the node was answered a moment ago.
#[test]
fn an_attempt_whose_connection_fails_takes_the_link_that_has_just_replied() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    assert_eq!(reply_received(&mut pool, 1.0, 0), Some(attempt(1)));
    assert_eq!(send(&mut pool, 2.0, 2), [PoolAction::Open(1, 1)]);
    let mut actions = Vec::new();
    pool.open_failed(3.0, 1, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    let due = pool.next_due().expect("the idle link is looked at again");
    pool.on_timer(due, &mut actions);
    assert_eq!(actions, [PoolAction::Write(0, attempt(2))]);
}

#[test]
fn a_closed_link_returns_its_attempt_and_a_waiting_one_gets_a_new_link() {
    let mut pool = Pool::new(LINK_SETTINGS, 1);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    send(&mut pool, 0.0, 2);
    let mut actions = Vec::new();
    assert_eq!(pool.link_closed(0.5, 0, &mut actions), Some(attempt(1)));
    assert_eq!(actions, [PoolAction::Open(1, 1)]);
    assert_eq!(link_opened(&mut pool, 1.0, 1), [PoolAction::Write(1, attempt(2))]);
}

#[test]
fn a_rejected_write_closes_the_link_and_opens_a_new_one() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    let mut actions = Vec::new();
    reply_received(&mut pool, 1.0, 0);
    assert_eq!(send(&mut pool, 19.0, 2), [PoolAction::Write(0, attempt(2))]);
    pool.write_rejected(19.0, 0, 1, attempt(2), &mut actions);
    assert_eq!(actions, [PoolAction::Close(0), PoolAction::Open(1, 1)]);
}

/// Guards against losing an attempt whose link was removed from the pool before it was written.
#[test]
fn an_attempt_whose_link_was_removed_is_written_to_a_new_link() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    assert_eq!(link_opened(&mut pool, 0.0, 0), [PoolAction::Write(0, attempt(1))]);
    let mut actions = Vec::new();
    pool.link_closed(0.5, 0, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
    pool.write_rejected(1.0, 0, 1, attempt(1), &mut actions);
    assert_eq!(actions, [PoolAction::Open(1, 1)]);
    assert_eq!(link_opened(&mut pool, 2.0, 1), [PoolAction::Write(1, attempt(1))]);
}

/// Guards against closing a connection as idle after half a command, which would lose the request.
#[test]
fn only_connections_without_expected_requests_are_quiescent() {
    let mut table = ClientTable::new(10);
    for id in 1..=5 {
        table.add(0.0, id);
    }
    for id in [1, 2, 3] {
        table.command_received(1.0, id);
    }
    table.command_answered(2.0, 1);
    table.command_answered(2.0, 2);
    table.partial_received(3.0, 2);
    table.partial_received(3.0, 4);
    table.add(290.0, 6);
    assert_eq!(table.quiescent(300.0), [1, 5], "without a partial or open command, and not new");
    assert_eq!(table.idle(), [1, 2, 4, 5, 6]);
    table.begin_close(300.0, 1);
    assert_eq!((table.quiescent(310.0), table.idle()), (vec![5], vec![2, 4, 5, 6]), "closed once");
}

/// Guards against rejecting a new connection whose client has already written a request, when it could have
/// been left in the queue for a moment.
#[test]
fn closing_connections_use_a_part_of_the_capacity_and_are_evicted_first() {
    let mut table = ClientTable::new(16);
    for id in 1..=14 {
        assert_eq!(table.add(id as f64, id), None);
        assert!(table.command_received(id as f64, id));
    }
    assert!(table.can_accept(20.0));
    assert_eq!(table.add(20.0, 15), None, "nothing is evictable, and there is room");
    assert_eq!(table.add(21.0, 16), Some(15), "the connection without a command");
    assert!(table.contains(15), "closed in order");
    table.begin_close(21.0, 15);
    assert!(!table.command_received(22.0, 15), "accepts no more commands");
    assert_eq!(table.add(23.0, 17), Some(15), "the place is needed");
    assert!(!table.contains(15));
    assert!(table.command_received(24.0, 16) && table.command_received(24.0, 17));
    assert!(!table.can_accept(25.0), "all are busy: new connections stay in the accept queue");
    table.command_answered(26.0, 3);
    assert!(!table.can_accept(27.0) && table.can_accept(3_000.0));
}

/// Guards against evicting a connection that is being closed while one of its requests still lacks its reply.
#[test]
fn a_closing_connection_with_an_outstanding_reply_keeps_its_place() {
    let mut table = ClientTable::new(2);
    for id in [1, 2] {
        assert_eq!(table.add(0.0, id), None);
        assert!(table.command_received(1.0, id));
    }
    table.begin_close(2.0, 1);
    assert!(!table.can_accept(3.0));
    assert_eq!(table.add(3.0, 3), Some(3), "the new connection, from which nothing was accepted");
    table.command_answered(4.0, 1);
    table.set_flushing(1, true);
    assert!(!table.can_accept(5.0), "the reply is still in the write buffer");
    assert_eq!(table.add(5.0, 4), Some(4));
    table.set_flushing(1, false);
    assert!(table.can_accept(6.0));
    assert_eq!(table.add(6.0, 5), Some(1));
}

#[test]
fn idle_links_are_closed_before_their_node_closes_them() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    send(&mut pool, 0.0, 1);
    link_opened(&mut pool, 0.0, 0);
    let mut actions = Vec::new();
    pool.close_expired(29_000.0, &mut actions);
    assert!(actions.is_empty(), "closed with an attempt in flight");
    reply_received(&mut pool, 29_000.0, 0);
    pool.close_expired(40_000.0, &mut actions);
    assert!(actions.is_empty());
    pool.close_expired(29_000.0 + 29_000.0, &mut actions);
    assert_eq!(actions, [PoolAction::Close(0)]);
}

#[test]
fn some_descriptors_are_reserved() {
    for descriptors in [1, 24, 25, 64, 256, 1024] {
        let (clients, nodes) = (max_client_connections(descriptors), max_node_connections(descriptors));
        assert!(clients + nodes < descriptors.max(2), "{descriptors}: {clients} and {nodes}");
    }
    // At most a third of the descriptors carry requests.
    assert!(max_client_connections(256) > 256 / 3 + 16);
}

/// Guards against descriptors that run out, and against requests that wait for connections to nodes while
/// those of clients are not used.
#[test]
fn descriptors_go_to_nodes_unless_many_clients_are_connected() {
    for descriptors in [25, 64, 256, 1024] {
        let mut split = DescriptorSplit::new(descriptors);
        let usual = split.node_connections();
        let with_requests = descriptors / 3;
        for clients in (0..descriptors).chain((0..descriptors).rev()) {
            split.update(clients);
            let (nodes, held) = (split.node_connections(), usual);
            assert!((max_node_connections(descriptors)..=usual).contains(&nodes), "{descriptors}: {nodes}");
            assert!(split.client_connections(nodes) <= max_client_connections(descriptors).max(1));
            // Also while connections to nodes are still as many as before.
            assert!(split.client_connections(held) + held < descriptors.max(held + 2), "{descriptors}");
            assert!(
                descriptors < 256 || clients > with_requests || nodes == usual,
                "{descriptors}: {clients}"
            );
        }
        assert_eq!(split.node_connections(), usual);
    }
}

/// Guards against idle links that take the nodes' places for connections, of which all hosts have only so many,
/// because one burst needed them.
#[test]
fn beyond_the_kept_links_idle_ones_make_room_and_busy_ones_do_not() {
    let mut pool = Pool::new(LINK_SETTINGS, 4).with_kept_links(2);
    for request in [1, 2, 3] {
        assert_eq!(send(&mut pool, 0.0, request), [PoolAction::Open(u64::from(request) - 1, 1)]);
        link_opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    assert_eq!(reply_received(&mut pool, 1.0, 0), Some(attempt(1)));
    assert_eq!(reply_received(&mut pool, 2.0, 1), Some(attempt(2)));
    assert_eq!(send(&mut pool, 3.0, 4), [PoolAction::Close(0), PoolAction::Close(1), PoolAction::Open(3, 1)]);
    assert_eq!(pool.link_count(), 2);
}

/// Guards against more links than descriptors after their number was reduced, and against an attempt that is
/// cut off for that.
#[test]
fn a_smaller_pool_closes_idle_links_at_once_and_busy_ones_after_their_reply() {
    let mut pool = Pool::new(LINK_SETTINGS, 3);
    for request in [1, 2, 3] {
        send(&mut pool, 0.0, request);
        link_opened(&mut pool, 0.0, u64::from(request) - 1);
    }
    assert_eq!(reply_received(&mut pool, 1.0, 0), Some(attempt(1)));
    let mut actions = Vec::new();
    pool.set_capacity(2.0, 1, &mut actions);
    assert_eq!((actions, pool.link_count()), (vec![PoolAction::Close(0)], 2));
    assert!(send(&mut pool, 3.0, 4).is_empty(), "no link beyond the new capacity");
    let mut actions = Vec::new();
    assert_eq!(pool.reply_received(4.0, 1, &mut actions), Some(attempt(2)));
    assert_eq!((actions, pool.link_count()), (vec![PoolAction::Close(1)], 1));
    let mut actions = Vec::new();
    assert_eq!(pool.reply_received(5.0, 2, &mut actions), Some(attempt(3)));
    assert_eq!(actions, [PoolAction::Close(2), PoolAction::Open(3, 1)]);
}

/// Guards against clients that only connect taking the places of clients with requests.
#[test]
fn silent_connections_are_evicted_first_then_idle_ones_and_never_busy_ones() {
    let mut table = ClientTable::new(3);
    assert_eq!([table.add(0.0, 1), table.add(1.0, 2), table.add(2.0, 3)], [None; 3]);
    assert!(table.command_received(3.0, 1) && table.command_received(4.0, 2));
    assert_eq!(table.add(5.0, 4), Some(3), "the connection without a command");
    assert_eq!(table.add(6.0, 5), Some(4));
    assert!(table.command_received(7.0, 5));
    assert_eq!(table.add(8.0, 6), Some(6), "all others have open requests: the new connection");
    table.command_answered(10.0, 1);
    table.command_answered(11.0, 2);
    assert_eq!(table.add(12.0, 7), Some(7), "idle, but not for long enough");
    assert_eq!(table.add(5_000.0, 8), Some(1));
    assert!(!table.command_received(5_001.0, 1), "an evicted connection accepts no more commands");
    assert_eq!(table.count(), 3);
}

#[test]
fn silent_and_partial_connections_time_out_and_idle_clients_stay() {
    let mut table = ClientTable::new(10);
    for id in [1, 2, 3] {
        table.add(0.0, id);
    }
    table.command_received(10.0, 2);
    table.command_answered(20.0, 2);
    table.command_received(10.0, 3);
    table.command_answered(20.0, 3);
    table.partial_received(30.0, 3);
    assert!(table.overdue(1_000.0).is_empty());
    assert_eq!(table.overdue(2_500.0), [1, 3]);
    table.remove(1);
    table.remove(3);
    assert!(table.overdue(60_000.0).is_empty(), "a client that sent a command may stay connected");
    assert_eq!(table.idle(), [2]);
}

/// Guards against a client that sends invalid commands as fast as it gets errors, which would keep a core
/// from serving others.
#[test]
fn invalid_commands_lead_to_longer_pauses_and_then_a_close() {
    let mut table = ClientTable::new(10);
    table.add(0.0, 1);
    let mut last = 0;
    let mut pauses = 0;
    while let AfterError::Pause(ms) = table.invalid_command(1) {
        assert!(ms > last && ms < 2_000, "{ms} after {last}");
        (last, pauses) = (ms, pauses + 1);
    }
    assert!((2..20).contains(&pauses));
    assert_eq!(table.invalid_command(99), AfterError::Close);
}

/// Guards against a network that drops idle connections without notice, long before the configured time: each
/// request after a pause would cost an attempt that may have run.
#[test]
fn links_idle_for_longer_than_others_survived_are_not_reused() {
    let mut pool = Pool::new(LINK_SETTINGS, 10);
    let (mut now, mut lost, mut sent) = (0.0, 0, 0);
    let mut used_before = std::collections::HashSet::new();
    for request in 0..400 {
        // Mostly soon after the last reply; sometimes after a pause that the link does not survive.
        let pause = if request % 5 == 0 { 300.0 } else { 20.0 };
        now += pause;
        let mut pending = send(&mut pool, now, request);
        let mut retried = false;
        while let Some(action) = pending.pop() {
            let mut actions = Vec::new();
            match action {
                PoolAction::Open(link, 1) => pool.link_opened(now, link, &mut actions),
                PoolAction::Write(link, attempt) => {
                    sent += 1;
                    if used_before.insert(link) || pause < 100.0 || retried {
                        assert_eq!(reply_received(&mut pool, now, link), Some(attempt));
                    } else {
                        lost += 1;
                        retried = true;
                        assert_eq!(pool.link_closed(now, link, &mut actions), Some(attempt));
                        pool.send(now, 1, attempt, &mut actions);
                    }
                }
                PoolAction::Close(_) => {}
                other => panic!("{other:?}"),
            }
            pending.extend(actions);
        }
    }
    assert!(lost <= 20, "lost {lost} of {sent} attempts; each of 80 pauses could cost one");
}
