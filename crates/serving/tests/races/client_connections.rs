//! Ends of client connections, clients that leave, shutdown.

use crate::common::{config, discovery, host_of, is_error, list_of, node, until, value, Client, Reaction};
use crate::ordering::{ends_in_order, host_held, Gate, LONG};
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

/// Danger: a request that comes between the look for unread bytes and the end is read by nobody; a close over it resets
/// the connection, and a request that is taken behind the end is run twice, since its client sends it once more.
#[test]
fn a_request_that_crosses_the_end_of_its_connection_is_thrown_away_without_a_reset() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (_host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderEnds);
    let mut silent = Client::connect(address);
    gate.shut();
    // It said nothing for too long: the host has looked, and is about to end it.
    gate.held();
    silent.stream.write_all(&command(5, 1_000)).unwrap();
    gate.open();
    assert!(silent.reply().is_none(), "nothing is answered behind the end");
    // What still comes is read for a while: no reset takes anything with it.
    for _ in 0..20 {
        silent.stream.write_all(&command(6, 1_000)).expect("no reset");
    }
    silent.stream.shutdown(Shutdown::Write).unwrap();
    assert!(ends_in_order(&mut silent.stream), "reset");
    let mut again = Client::connect(address);
    again.read(5);
    assert_eq!(again.served(), Some(5));
    assert_eq!(heard.lock().unwrap().len(), 1, "sent on once, by the connection that was read");
}

/// Danger: a connection that ends behind its last answer is shut while the write buffer holds bytes of that answer.
#[test]
fn answers_that_wait_in_the_write_buffer_go_out_before_the_end() {
    let big = [b"*3\r\n$60000\r\n".to_vec(), vec![b'v'; 60_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, heard) = node(move |_, _| Reaction::Say(big.clone()));
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
    // Its connections have what its listener has: the system takes little at once.
    rustix::net::sockopt::set_socket_send_buffer_size(host.listener(), 16 * 1024).unwrap();
    let mut client = Client::connect(address);
    rustix::net::sockopt::set_socket_recv_buffer_size(&client.stream, 64 * 1024).unwrap();
    for id in 1..=14 {
        client.stream.write_all(&command(id, 1_000)).unwrap();
    }
    client.stream.write_all(b"nonsense that ends it\r\n").unwrap();
    until("its requests are with the node", || heard.lock().unwrap().len() >= 8);
    // Only now does it read: what did not fit its window waits in the host.
    let mut served = 0;
    for _ in 1..=14 {
        match client.reply() {
            Some(Reply::Bulk(Some(v))) => {
                assert_eq!(v.len(), 60_000);
                served += 1;
            }
            Some(Reply::Error(_)) => {}
            other => panic!("cut off behind {served}: {other:?}"),
        }
    }
    assert!(served >= 8, "{served}");
    assert!(is_error(&client.reply(), "ERR Protocol error"));
    assert!(ends_in_order(&mut client.stream));
}

/// Guards against a client that asks for more than it takes at once: its connection was shut under accepted requests.
#[test]
fn more_answers_than_a_client_takes_at_once_wait_for_it() {
    const REQUESTS: u64 = 80;
    let big = [b"*3\r\n$65000\r\n".to_vec(), vec![b'v'; 65_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, _) = node(move |_, _| Reaction::Say(big.clone()));
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
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

/// Slack of the platform on the time that a node is told.
const TOLD_SLACK_MS: u32 = 150;

/// The time that a command tells its node, in milliseconds.
fn told_ms(command: &[Bytes]) -> u32 {
    list_of(command).split("d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap()
}

/// Guards against a time told that ran from the reading: a reader that was held up told nodes more than clients had left.
#[test]
fn a_request_that_waited_to_be_read_tells_its_node_what_its_client_has_left() {
    const HELD_MS: u32 = 500;
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (_host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderLooks);
    let (mut first, mut held) = (Client::connect(address), Client::connect(address));
    for client in [&mut first, &mut held] {
        client.send(&["PING"]);
        client.reply();
    }
    gate.shut();
    first.send(&["PING"]);
    gate.held();
    held.read_of(7, 0, 1_000);
    std::thread::sleep(Duration::from_millis(u64::from(HELD_MS)));
    gate.open();
    assert_eq!(held.served(), Some(7));
    let told = told_ms(&heard.lock().unwrap()[0]);
    assert!(told <= 1_000 - HELD_MS + TOLD_SLACK_MS, "{told} ms");
}

/// Guards against a request that is dated back to its connection's wait in the queue: it came long after.
#[test]
fn a_request_on_a_connection_that_waited_to_be_taken_has_the_time_since_its_own_sending() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (_host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderLooks);
    gate.shut();
    // More than one look takes: some wait in the queue.
    let mut waiting: Vec<Client> = (0..70).map(|_| Client::connect(address)).collect();
    gate.held();
    std::thread::sleep(Duration::from_millis(300));
    gate.open();
    std::thread::sleep(Duration::from_millis(400));
    let mut last = waiting.pop().unwrap();
    last.read_of(8, 0, 1_000);
    assert_eq!(last.served(), Some(8));
    let told = told_ms(&heard.lock().unwrap()[0]);
    assert!((900..=1_000).contains(&told), "{told} ms");
}

/// Guards against a time told that ran from the parsing: what waited behind 32 open commands told the whole of its time.
#[test]
fn a_command_that_waited_behind_others_tells_its_node_what_its_client_has_left() {
    let began = Instant::now();
    let late = Arc::new(Mutex::new(Vec::new()));
    let kept = late.clone();
    let (node, _) = node(move |_, c| {
        kept.lock().unwrap().push((began.elapsed(), told_ms(c)));
        Reaction::Later(Duration::from_millis(30), value(c))
    });
    let told = discovery(1, &[node]);
    let (_host, address) = host_of(&config(told.address(), &[node]));
    let mut client = Client::connect(address);
    let sent_at = began.elapsed();
    let all: Vec<u8> = (1..=120).flat_map(|id| command(id, 1_000)).collect();
    client.stream.write_all(&all).unwrap();
    for _ in 1..=120 {
        assert!(client.reply().is_some());
    }
    let late = late.lock().unwrap();
    assert!(late.iter().any(|(at, _)| *at > sent_at + Duration::from_millis(300)), "none came late");
    for (at, told) in late.iter() {
        let left = 1_000u32.saturating_sub((*at - sent_at).as_millis() as u32);
        assert!(*told <= left + TOLD_SLACK_MS, "{told} ms told where {left} ms are left");
    }
}

/// Guards against a listener that is open to the last: what the system had taken in the host's name was reset unread.
#[test]
fn a_host_that_leaves_refuses_connections_before_it_is_gone() {
    let (node, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
    let left = std::thread::spawn(move || {
        host.stop();
        // The process would end here; until then whoever connects must have been refused.
        std::thread::sleep(Duration::from_millis(50));
    });
    let mut refused = 0;
    while !left.is_finished() {
        match TcpStream::connect(address) {
            Ok(mut stream) => {
                stream.set_read_timeout(Some(LONG)).unwrap();
                let _ = stream.write_all(&command(9, 1_000));
                let mut got = [0; 64];
                // Crossing our end it may hear nothing, in order; a reset would lose what it wrote.
                let read = stream.read(&mut got);
                assert!(read.is_ok(), "{read:?} for what the host's machine had taken");
            }
            Err(_) => refused += 1,
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    assert!(refused > 0, "its listener was open to the end");
}

/// Danger: a connection that is not being read, since as many of its commands are open as may be, shows no end. Its client
/// has left, and what waits would still be sent for it.
#[test]
fn a_client_that_leaves_with_all_its_commands_open_is_seen_to_leave() {
    let gate = Gate::default();
    gate.shut();
    let held = gate.clone();
    let (node, heard) = node(move |_, c| {
        held.pass();
        Reaction::Say(value(c))
    });
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
    let mut client = Client::connect(address);
    for id in 1..=40 {
        client.stream.write_all(&command(id, 60_000)).unwrap();
    }
    gate.held();
    // The node answers nothing: what it may be sent at once is with it, and the rest waits.
    let mut sent = 0;
    until("no more is sent", || {
        std::thread::sleep(Duration::from_millis(200));
        let before = std::mem::replace(&mut sent, heard.lock().unwrap().len());
        before == sent && sent > 0
    });
    client.stream.shutdown(Shutdown::Write).unwrap();
    until("it is seen to have left", || host.clients() == 0);
    assert!(sent < 32, "{sent}: some waited for their first attempt");
    gate.open();
    let mut other = Client::connect(address);
    until("another is served", || {
        other.read(99);
        other.served() == Some(99)
    });
    let heard = heard.lock().unwrap();
    let theirs = heard.iter().filter(|c| &c[2][..] != b"0000000000000063").count();
    assert_eq!(theirs, sent, "nothing of it was sent after it had left");
}

/// Danger: with the engine behind, the word that a client left stands in the queue behind its request.
#[test]
fn a_client_that_leaves_before_its_turn_at_the_engine_has_nothing_sent() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address, gate) = host_held(&config(told.address(), &[node]), Point::EngineTakes);
    // A connection to the node rests: what is begun goes out at once.
    let mut other = Client::connect(address);
    other.read(98);
    assert_eq!(other.served(), Some(98));
    gate.shut();
    // Hundreds leave in one burst.
    let leaving: Vec<Client> = (1..=80)
        .map(|id| {
            let mut client = Client::connect(address);
            client.stream.write_all(&command(id, 60_000)).unwrap();
            client
        })
        .collect();
    until("all were read", || host.clients() == 81);
    drop(leaving);
    until("they are seen to have left", || host.clients() == 1);
    gate.open();
    other.read(99);
    assert_eq!(other.served(), Some(99));
    assert_eq!(heard.lock().unwrap().len(), 2, "only what somebody waits for");
}

/// Danger: what the system took in the host's name is owed an answer, however many came in one burst before the end.
#[test]
fn a_burst_in_the_queue_at_the_word_to_leave_is_answered() {
    let (node, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderLooks);
    let mut first = Client::connect(address);
    first.send(&["PING"]);
    assert!(first.reply().is_some());
    gate.shut();
    let mut burst: Vec<Client> = (0..100)
        .map(|_| {
            let mut client = Client::connect(address);
            client.send(&["PING"]);
            client
        })
        .collect();
    gate.held();
    let stopped = std::thread::spawn(move || host.stop());
    // Past the time for which the platform sends new ones, and for which the old text took any.
    std::thread::sleep(Duration::from_millis(700));
    gate.open();
    for (i, client) in burst.iter_mut().enumerate() {
        assert_eq!(client.reply(), Some(Reply::Simple("PONG".into())), "{i}");
    }
    assert!(stopped.join().unwrap());
    for mut client in burst {
        assert!(ends_in_order(&mut client.stream));
    }
}

/// Danger: a client may wait for longer than the platform lets a host live on; the host would be ended with its request.
#[test]
fn what_was_taken_before_the_word_to_leave_is_answered_whatever_its_client_waits() {
    let (node, heard) = node(|_, _| Reaction::Nothing);
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
    let mut client = Client::connect(address);
    client.read_of(1, 0, 60_000);
    until("it is out", || !heard.lock().unwrap().is_empty());
    let stopped = std::thread::spawn(move || host.stop());
    assert!(matches!(client.reply(), Some(Reply::Error(_))));
    assert!(ends_in_order(&mut client.stream));
    assert!(stopped.join().unwrap());
}

/// A client that rests until the host ends it, and writes in that very moment.
#[test]
fn a_request_that_crosses_the_end_of_a_host_that_leaves_is_not_sent_on() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderEnds);
    let mut client = Client::connect(address);
    client.read(1);
    assert_eq!(client.served(), Some(1));
    gate.shut();
    let stopped = std::thread::spawn(move || host.stop());
    gate.held();
    client.stream.write_all(&command(2, 1_000)).unwrap();
    gate.open();
    assert!(client.reply().is_none());
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(ends_in_order(&mut client.stream), "reset");
    assert!(stopped.join().unwrap());
    assert_eq!(heard.lock().unwrap().len(), 1);
}

/// Half a request at the departure: its other half comes before the last moment, and is answered. (That it is not ended as
/// one that rests is a test of the table.)
#[test]
fn a_request_half_read_when_connections_are_closed_is_waited_for() {
    let (node, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address, gate) = host_held(&config(told.address(), &[node]), Point::ReaderEnds);
    let mut rests = Client::connect(address);
    rests.send(&["PING"]);
    assert!(rests.reply().is_some());
    gate.shut();
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(600));
    let mut client = Client::connect(address);
    let command = command(2, 1_000);
    client.stream.write_all(&command[..40]).unwrap();
    // The one that rests is about to be ended: the time has come for those of which nothing is expected.
    gate.held();
    client.stream.write_all(&command[40..]).unwrap();
    gate.open();
    assert_eq!(client.served(), Some(2));
    assert!(stopped.join().unwrap());
}

/// One connection sends hundreds and goes, others say nothing: a usual client is served beside them.
#[test]
fn a_flood_that_leaves_costs_a_usual_client_nothing() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address) = host_of(&config(told.address(), &[node]));
    let silent: Vec<Client> = (0..200).map(|_| Client::connect(address)).collect();
    for round in 0..5u64 {
        let mut flood = Client::connect(address);
        let all: Vec<u8> = (0..500).flat_map(|i| command(10_000 + round * 1_000 + i, 60_000)).collect();
        let _ = flood.stream.write_all(&all);
        let _ = flood.stream.write_all(b"*1\r\n$5\r\nHEL");
        drop(flood);
    }
    let mut client = Client::connect(address);
    let (mut served, end) = (0, Instant::now() + LONG);
    let mut replies = Vec::new();
    for id in 1.. {
        client.read(id);
        replies.push((Instant::now(), client.reply()));
        served += usize::from(matches!(replies.last(), Some((_, Some(Reply::Bulk(_))))));
        if served == 30 {
            break;
        }
        let last = replies.iter().rev().take(5).collect::<Vec<_>>();
        assert!(Instant::now() < end, "{served} of {} are served; {last:?}", replies.len());
    }
    drop(silent);
    until("all but the usual one are gone", || host.clients() == 1);
    assert!(heard.lock().unwrap().len() < 2_500);
    drop(client);
}
