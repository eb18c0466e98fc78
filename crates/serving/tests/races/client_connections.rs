//! Races at the end of client connections and at shutdown.

use crate::common::{
    attributes_of, config, fake_discovery, fake_node, is_error, start_host_with, value_reply, wait_until,
    Client, Reaction,
};
use crate::ordering::{ends_without_reset, start_host_with_gate, Gate, TIMEOUT};
use bytes::Bytes;
use pearfork_resp::Reply;
use pearfork_serving::Point;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn command(id: u64, wait_ms: u32) -> Vec<u8> {
    let list = format!("c=read,t=gold,d={wait_ms},volume=0000000000000001,units=1,shard=0,hosts=3");
    format!(
        "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
        id % 7 + 1,
        list.len()
    )
    .into_bytes()
}

/// Guards against a request that arrives between the check for unread data and the close. Closing over unread
/// data would reset the connection; executing the request would run it twice, since its client sends it
/// again.
#[test]
fn a_request_that_races_with_the_close_is_discarded_without_a_reset() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderClose);
    let mut silent = Client::connect(address);
    gate.close();
    // The client sent no command for too long: the host has checked for data and is about to close the
    // connection.
    gate.wait_until_blocked();
    silent.stream.write_all(&command(5, 1_000)).unwrap();
    gate.open();
    assert!(silent.reply().is_none(), "nothing is answered after the close");
    // Data that still arrives is read for a while, so that no reset destroys replies.
    for _ in 0..20 {
        silent.stream.write_all(&command(6, 1_000)).expect("no reset");
    }
    silent.stream.shutdown(Shutdown::Write).unwrap();
    assert!(ends_without_reset(&mut silent.stream), "reset");
    let mut again = Client::connect(address);
    again.send_read(5);
    assert_eq!(again.served_id(), Some(5));
    assert_eq!(received.lock().unwrap().len(), 1, "forwarded once, by the connection that was read");
}

/// Guards against closing a connection while its write buffer holds part of the last reply.
#[test]
fn replies_in_the_write_buffer_are_sent_before_the_close() {
    let large_reply =
        [b"*3\r\n$60000\r\n".to_vec(), vec![b'v'; 60_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, received) = fake_node(move |_, _| Reaction::Reply(large_reply.clone()));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    // Accepted connections inherit the buffer size of the listener, so the kernel takes little at once.
    rustix::net::sockopt::set_socket_send_buffer_size(host.listener(), 16 * 1024).unwrap();
    let mut client = Client::connect(address);
    rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 64 * 1024).unwrap();
    for id in 1..=14 {
        client.stream.write_all(&command(id, 1_000)).unwrap();
    }
    client.stream.write_all(b"nonsense that ends it\r\n").unwrap();
    wait_until("the node has received the requests", || received.lock().unwrap().len() >= 8);
    // The client only reads from here on: what exceeded its window waits in the host.
    let mut served = 0;
    for _ in 1..=14 {
        match client.reply() {
            Some(Reply::Bulk(Some(v))) => {
                assert_eq!(v.len(), 60_000);
                served += 1;
            }
            Some(Reply::Error(_)) => {}
            other => panic!("cut off after {served} replies: {other:?}"),
        }
    }
    assert!(served >= 8, "{served}");
    assert!(is_error(&client.reply(), "ERR Protocol error"));
    assert!(ends_without_reset(&mut client.stream));
}

/// Guards against closing a connection with accepted requests because its client requests more than it reads
/// at once.
#[test]
fn replies_wait_for_a_client_that_reads_slowly() {
    const REQUESTS: u64 = 80;
    let large_reply =
        [b"*3\r\n$65000\r\n".to_vec(), vec![b'v'; 65_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, _) = fake_node(move |_, _| Reaction::Reply(large_reply.clone()));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    rustix::net::sockopt::set_socket_send_buffer_size(host.listener(), 16 * 1024).unwrap();
    let mut client = Client::connect(address);
    rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 32 * 1024).unwrap();
    for id in 1..=REQUESTS {
        client.stream.write_all(&command(id, 1_000)).unwrap();
    }
    std::thread::sleep(Duration::from_millis(1_500));
    for id in 1..=REQUESTS {
        match client.reply() {
            Some(Reply::Bulk(Some(v))) => assert_eq!(v.len(), 65_000),
            Some(Reply::Error(_)) => {}
            other => panic!("request {id} of {REQUESTS}: {other:?}"),
        }
    }
}

/// Tolerance of the platform for the time that a node is given.
const WAIT_TOLERANCE_MS: u32 = 150;

/// The wait time that a command gives its node, in milliseconds.
fn wait_ms_of(command: &[Bytes]) -> u32 {
    attributes_of(command).split("d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap()
}

/// Guards against counting a client's time from when its request is read: a delayed reader gave nodes more
/// time than clients had left.
#[test]
fn a_node_is_given_the_time_left_after_a_delayed_read() {
    const DELAY_MS: u32 = 500;
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderPoll);
    let (mut first, mut delayed) = (Client::connect(address), Client::connect(address));
    for client in [&mut first, &mut delayed] {
        client.send(&["PING"]);
        client.reply();
    }
    gate.close();
    first.send(&["PING"]);
    gate.wait_until_blocked();
    delayed.send_read_with(7, 0, 1_000);
    std::thread::sleep(Duration::from_millis(u64::from(DELAY_MS)));
    gate.open();
    assert_eq!(delayed.served_id(), Some(7));
    let given_ms = wait_ms_of(&received.lock().unwrap()[0]);
    assert!(given_ms <= 1_000 - DELAY_MS + WAIT_TOLERANCE_MS, "{given_ms} ms");
}

/// Guards against dating a request back to its connection's wait in the accept queue, although it arrived
/// much later.
#[test]
fn time_in_the_accept_queue_does_not_count_for_later_requests() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderPoll);
    gate.close();
    // More connections than are accepted at once, so that some wait in the queue.
    let mut waiting: Vec<Client> = (0..70).map(|_| Client::connect(address)).collect();
    gate.wait_until_blocked();
    std::thread::sleep(Duration::from_millis(300));
    gate.open();
    std::thread::sleep(Duration::from_millis(400));
    let mut last = waiting.pop().unwrap();
    last.send_read_with(8, 0, 1_000);
    assert_eq!(last.served_id(), Some(8));
    let given_ms = wait_ms_of(&received.lock().unwrap()[0]);
    assert!((900..=1_000).contains(&given_ms), "{given_ms} ms");
}

/// Guards against counting a client's time from when its command is parsed: a command that waited behind 32
/// open ones gave its node the full time.
#[test]
fn a_node_is_given_the_time_left_after_waiting_behind_other_commands() {
    let began = Instant::now();
    let observed = Arc::new(Mutex::new(Vec::new()));
    let recorded = observed.clone();
    let (node, _) = fake_node(move |_, c| {
        recorded.lock().unwrap().push((began.elapsed(), wait_ms_of(c)));
        Reaction::ReplyAfter(Duration::from_millis(30), value_reply(c))
    });
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host_with(&config(agent.address(), &[node]));
    let mut client = Client::connect(address);
    let sent_at = began.elapsed();
    let all: Vec<u8> = (1..=120).flat_map(|id| command(id, 1_000)).collect();
    client.stream.write_all(&all).unwrap();
    for _ in 1..=120 {
        assert!(client.reply().is_some());
    }
    let observed = observed.lock().unwrap();
    assert!(
        observed.iter().any(|(at, _)| *at > sent_at + Duration::from_millis(300)),
        "no command was delayed"
    );
    for (at, given_ms) in observed.iter() {
        let left = 1_000u32.saturating_sub((*at - sent_at).as_millis() as u32);
        assert!(*given_ms <= left + WAIT_TOLERANCE_MS, "given {given_ms} ms with {left} ms left");
    }
}

/// Guards against keeping the listener open to the end: connections that the kernel had accepted for the host
/// were reset unread.
#[test]
fn connections_are_refused_before_the_host_exits() {
    let (node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    let shutdown = std::thread::spawn(move || {
        host.stop();
        // The process would exit here; until then new connections must have been refused.
        std::thread::sleep(Duration::from_millis(50));
    });
    let mut refused = 0;
    while !shutdown.is_finished() {
        match TcpStream::connect(address) {
            Ok(mut stream) => {
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                let _ = stream.write_all(&command(9, 1_000));
                let mut buffer = [0; 64];
                // The connection may end without a reply if it races with the close, but without a reset,
                // which would lose the request.
                let read = stream.read(&mut buffer);
                assert!(read.is_ok(), "{read:?} on a connection that the kernel had accepted");
            }
            Err(_) => refused += 1,
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(refused > 0, "the listener was open to the end");
}

/// Guards against not noticing the disconnect of a client whose connection is not read because it has too
/// many open commands: its waiting requests would still be sent.
#[test]
fn a_disconnect_is_noticed_while_the_connection_is_not_read() {
    let gate = Gate::default();
    gate.close();
    let blocking = gate.clone();
    let (node, received) = fake_node(move |_, c| {
        blocking.pass();
        Reaction::Reply(value_reply(c))
    });
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    let mut client = Client::connect(address);
    for id in 1..=40 {
        client.stream.write_all(&command(id, 60_000)).unwrap();
    }
    gate.wait_until_blocked();
    // The node does not respond: it has as many commands as it may be sent, and the rest waits.
    let mut sent = 0;
    wait_until("no more commands are sent", || {
        std::thread::sleep(Duration::from_millis(200));
        let before = std::mem::replace(&mut sent, received.lock().unwrap().len());
        before == sent && sent > 0
    });
    client.stream.shutdown(Shutdown::Write).unwrap();
    wait_until("the disconnect is noticed", || host.client_count() == 0);
    assert!(sent < 32, "{sent} sent: none waited for its first attempt");
    gate.open();
    let mut other = Client::connect(address);
    wait_until("another client is served", || {
        other.send_read(99);
        other.served_id() == Some(99)
    });
    let received = received.lock().unwrap();
    let sent_for_client = received.iter().filter(|c| &c[2][..] != b"0000000000000063").count();
    assert_eq!(sent_for_client, sent, "sent after the disconnect");
}

/// Guards against a disconnect that is queued at the engine behind the client's request.
#[test]
fn nothing_is_sent_for_a_client_that_disconnects_while_queued_at_the_engine() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::EngineReceive);
    // An idle link to the node exists, so an attempt is sent at once.
    let mut other = Client::connect(address);
    other.send_read(98);
    assert_eq!(other.served_id(), Some(98));
    gate.close();
    // All of them disconnect in one burst.
    let leaving: Vec<Client> = (1..=80)
        .map(|id| {
            let mut client = Client::connect(address);
            client.stream.write_all(&command(id, 60_000)).unwrap();
            client
        })
        .collect();
    wait_until("all connections are read", || host.client_count() == 81);
    drop(leaving);
    wait_until("the disconnects are noticed", || host.client_count() == 1);
    gate.open();
    other.send_read(99);
    assert_eq!(other.served_id(), Some(99));
    assert_eq!(received.lock().unwrap().len(), 2, "only requests of connected clients are sent");
}

/// Guards against leaving connections in the accept queue unanswered at shutdown, however many arrive in one
/// burst.
#[test]
fn a_burst_in_the_accept_queue_at_shutdown_is_answered() {
    let (node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderPoll);
    let mut first = Client::connect(address);
    first.send(&["PING"]);
    assert!(first.reply().is_some());
    gate.close();
    let mut burst: Vec<Client> = (0..100)
        .map(|_| {
            let mut client = Client::connect(address);
            client.send(&["PING"]);
            client
        })
        .collect();
    gate.wait_until_blocked();
    let stopped = std::thread::spawn(move || host.stop());
    // Longer than the platform sends new connections after a shutdown began.
    std::thread::sleep(Duration::from_millis(700));
    gate.open();
    for (i, client) in burst.iter_mut().enumerate() {
        assert_eq!(client.reply(), Some(Reply::Simple("PONG".into())), "{i}");
    }
    assert!(stopped.join().unwrap());
    for mut client in burst {
        assert!(ends_without_reset(&mut client.stream));
    }
}

/// Guards against a client that waits for longer than the platform lets the host run, which would kill the
/// host with an open request.
#[test]
fn requests_accepted_before_a_shutdown_are_answered_however_long_their_clients_wait() {
    let (node, received) = fake_node(|_, _| Reaction::NoReply);
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    let mut client = Client::connect(address);
    client.send_read_with(1, 0, 60_000);
    wait_until("the request is in flight", || !received.lock().unwrap().is_empty());
    let stopped = std::thread::spawn(move || host.stop());
    assert!(matches!(client.reply(), Some(Reply::Error(_))));
    assert!(ends_without_reset(&mut client.stream));
    assert!(stopped.join().unwrap());
}

/// An idle client sends a request at the moment at which the host closes its connection.
#[test]
fn a_request_that_races_with_the_close_at_shutdown_is_not_forwarded() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderClose);
    let mut client = Client::connect(address);
    client.send_read(1);
    assert_eq!(client.served_id(), Some(1));
    gate.close();
    let stopped = std::thread::spawn(move || host.stop());
    gate.wait_until_blocked();
    client.stream.write_all(&command(2, 1_000)).unwrap();
    gate.open();
    assert!(client.reply().is_none());
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(ends_without_reset(&mut client.stream), "reset");
    assert!(stopped.join().unwrap());
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// The second half of a request arrives before the final answers of a shutdown and the request is answered. A
/// test of the table covers that the connection is not closed as idle.
#[test]
fn a_partially_read_request_is_awaited_during_shutdown() {
    let (node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address, gate) = start_host_with_gate(&config(agent.address(), &[node]), Point::ReaderClose);
    let mut idle = Client::connect(address);
    idle.send(&["PING"]);
    assert!(idle.reply().is_some());
    gate.close();
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(600));
    let mut client = Client::connect(address);
    let command = command(2, 1_000);
    client.stream.write_all(&command[..40]).unwrap();
    // The idle connection is about to be closed, so connections without expected requests are being closed.
    gate.wait_until_blocked();
    client.stream.write_all(&command[40..]).unwrap();
    gate.open();
    assert_eq!(client.served_id(), Some(2));
    assert!(stopped.join().unwrap());
}

/// Some clients send hundreds of requests and disconnect, others send nothing: a well-behaved client is
/// served meanwhile.
#[test]
fn a_flood_of_requests_does_not_affect_another_client() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host_with(&config(agent.address(), &[node]));
    let silent: Vec<Client> = (0..200).map(|_| Client::connect(address)).collect();
    for round in 0..5u64 {
        let mut flood = Client::connect(address);
        let all: Vec<u8> = (0..500).flat_map(|i| command(10_000 + round * 1_000 + i, 60_000)).collect();
        let _ = flood.stream.write_all(&all);
        let _ = flood.stream.write_all(b"*1\r\n$5\r\nHEL");
        drop(flood);
    }
    let mut client = Client::connect(address);
    let (mut served, end) = (0, Instant::now() + TIMEOUT);
    let mut replies = Vec::new();
    for id in 1.. {
        client.send_read(id);
        replies.push((Instant::now(), client.reply()));
        served += usize::from(matches!(replies.last(), Some((_, Some(Reply::Bulk(_))))));
        if served == 30 {
            break;
        }
        let last = replies.iter().rev().take(5).collect::<Vec<_>>();
        assert!(Instant::now() < end, "{served} of {} are served; {last:?}", replies.len());
    }
    drop(silent);
    wait_until("only the other client is left", || host.client_count() == 1);
    assert!(received.lock().unwrap().len() < 2_500);
    drop(client);
}
