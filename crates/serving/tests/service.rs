//! A complete host on sockets: well-behaved and misbehaving clients, misbehaving nodes, shutdown.

mod common;

use common::{
    attributes_of, fake_discovery, fake_node, is_error, start_host, value_reply, wait_until, Client, Reaction,
};
use pearfork_resp::Reply;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn requests_are_served_and_replies_keep_the_order_of_commands() {
    let slow = Duration::from_millis(60);
    let (node, received) = fake_node(move |n, c| match n {
        0 => Reaction::ReplyAfter(slow, value_reply(c)),
        _ => Reaction::Reply(value_reply(c)),
    });
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    client.send_read(0xa1);
    client.send_read(0xa2);
    client.send(&["PING"]);
    assert_eq!(client.served_id(), Some(0xa1));
    assert_eq!(client.served_id(), Some(0xa2));
    assert_eq!(client.reply(), Some(Reply::Simple("PONG".into())));
    let received = received.lock().unwrap();
    assert_eq!(received.len(), 2);
    // The node is given the time that the host waits, which is at most what the client waits.
    let wait: u32 =
        attributes_of(&received[0]).split("d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!((1..=1_000).contains(&wait), "{wait}");
}

/// Guards against taking a duplicate reply, or garbage after a reply, for the reply to the next command,
/// which would serve a client another request's value.
#[test]
fn extra_data_from_a_node_is_never_taken_for_a_reply() {
    let (node, _) = fake_node(|n, c| {
        let good = value_reply(c);
        Reaction::Reply(match n % 3 {
            0 => [good.clone(), good].concat(),
            1 => [good, b"$5\r\nnoi".to_vec()].concat(),
            _ => good,
        })
    });
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    for id in 1..60 {
        client.send_read(id);
        assert_eq!(client.served_id(), Some(id));
    }
}

/// A malformed reply is an error of an attempt that may have run: a safe request is retried, and memory use
/// stays small.
#[test]
fn a_malformed_reply_is_retried() {
    let malformed: [&[u8]; 4] =
        [b"$3000000000\r\nxxxxxxxx", b"*3\r\n$2\r\nabcdef\r\n", b"\x00\x01noise\r\n", b"+OK\r\n"];
    let (node, received) = fake_node(move |n, c| match malformed.get(n / 2) {
        Some(bytes) if n % 2 == 0 => Reaction::Reply(bytes.to_vec()),
        _ => Reaction::Reply(value_reply(c)),
    });
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    for id in 1..=4 {
        client.send_read(id);
        assert_eq!(client.served_id(), Some(id));
    }
    assert_eq!(received.lock().unwrap().len(), 8);
}

#[test]
fn requests_are_refused_if_the_node_rejects_all_attempts() {
    let (node, received) = fake_node(|_, _| Reaction::Reply(b"-BUSY\r\n".to_vec()));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    client.send_read(1);
    assert!(is_error(&client.reply(), "BUSY"));
    assert!(received.lock().unwrap().len() <= 4);
}

/// Every request gets a final answer in time (rule 1), and a node that does not respond delays no request to
/// another node.
#[test]
fn a_hung_node_delays_no_request_to_another_node() {
    let (hung, _) = fake_node(|_, _| Reaction::NoReply);
    let (working, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[hung, working]);
    let (_host, address) = start_host(&agent, &[hung, working]);
    let mut waiting = Client::connect(address);
    let began = Instant::now();
    waiting.send_read_with(1, 0, 700);
    let mut client = Client::connect(address);
    for id in 2..20 {
        client.send_read_with(id, 1, 1_000);
        assert_eq!(client.served_id(), Some(id));
    }
    assert!(matches!(waiting.reply(), Some(Reply::Error(_))));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// Guards against two open requests under one id, which a node that drops duplicates would treat as one.
#[test]
fn a_second_request_under_an_open_id_is_an_error() {
    let (node, received) = fake_node(|_, c| Reaction::ReplyAfter(Duration::from_millis(80), value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let (mut first, mut second) = (Client::connect(address), Client::connect(address));
    first.send_read(7);
    wait_until("the first request is in flight", || !received.lock().unwrap().is_empty());
    second.send_read(7);
    assert!(is_error(&second.reply(), "ERR id is in use"));
    assert_eq!(first.served_id(), Some(7));
    assert_eq!(received.lock().unwrap().len(), 1);
}

/// Each misbehaving client gets an error or a close within 3 s, and none of them delays a well-behaved one.
#[test]
fn misbehaving_clients_do_not_affect_others() {
    let (node, received) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let silent: Vec<Client> = (0..300).map(|_| Client::connect(address)).collect();
    let misbehaving: [&[u8]; 9] = [
        b"hello\r\n",
        &[b'x'; 5_000],
        b"*1\r\n$60000000\r\n",
        b"*-5\r\n",
        b"*1\r\n$-9\r\n",
        b"*99999999\r\n",
        b"*4\r\n$7\r\nOBJ.GET\r\n$16\r\n00000000",
        b"*2\r\n$7\r\nOBJ.GET\r\n$1\r\na\r\n",
        b"*1\r\n$5\r\nHELLO\r\n",
    ];
    let misbehaving: Vec<(Client, Instant)> = misbehaving
        .iter()
        .map(|bytes| {
            let mut c = Client::connect(address);
            c.stream.write_all(bytes).unwrap();
            (c, Instant::now())
        })
        .collect();
    let mut client = Client::connect(address);
    for id in 1..50 {
        client.send_read(id);
        assert_eq!(client.served_id(), Some(id));
    }
    for (i, (mut c, since)) in misbehaving.into_iter().enumerate() {
        let reply = c.reply();
        assert!(reply.is_none() || is_error(&reply, "ERR"), "{i}: {reply:?}");
        assert!(since.elapsed() < Duration::from_secs(3), "{i}: {:?}", since.elapsed());
    }
    for mut c in silent {
        assert_eq!(c.stream.read(&mut [0]).unwrap_or(0), 0);
    }
    assert_eq!(received.lock().unwrap().len(), 49, "a request of a misbehaving client reached the node");
}

/// Guards against invalid commands at full speed, which would occupy a core. Errors are sent at once, but the
/// next command is read later each time.
#[test]
fn repeated_invalid_commands_close_the_connection() {
    let agent = fake_discovery(1, &[]);
    let (_host, address) = start_host(&agent, &[]);
    let mut client = Client::connect(address);
    let mut errors = 0;
    loop {
        let _ = client.stream.write_all(b"*1\r\n$5\r\nHELLO\r\n");
        match client.reply() {
            Some(Reply::Error(_)) => errors += 1,
            None => break,
            other => panic!("{other:?}"),
        }
    }
    assert!((2..20).contains(&errors), "{errors}");
}

#[test]
fn a_disconnect_does_not_affect_other_clients() {
    let (node, _) = fake_node(|_, c| Reaction::ReplyAfter(Duration::from_millis(30), value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    for id in 1..20 {
        Client::connect(address).send_read(id);
    }
    let mut client = Client::connect(address);
    wait_until("a request is served", || {
        client.send_read(99);
        client.served_id() == Some(99)
    });
}

/// Planned restart: requests accepted before and shortly after the shutdown began are answered, then all
/// connections are closed.
#[test]
fn accepted_requests_are_answered_during_shutdown() {
    let (node, received) = fake_node(|_, c| Reaction::ReplyAfter(Duration::from_millis(700), value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host(&agent, &[node]);
    let mut before = Client::connect(address);
    before.send_read(1);
    wait_until("the request is in flight", || !received.lock().unwrap().is_empty());
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(100));
    let mut after = Client::connect(address);
    after.send(&["PING"]);
    assert_eq!(after.reply(), Some(Reply::Simple("PONG".into())));
    assert_eq!(before.served_id(), Some(1));
    assert_eq!((before.reply(), after.reply()), (None, None));
    assert!(stopped.join().unwrap());
}

/// Guards against closing connections early in a shutdown. Clients keep using the connections they have, so
/// such a host serves them nothing for seconds; with a tenth of a fleet restarting at any time, that is a
/// tenth of its service.
#[test]
fn open_connections_are_served_until_late_in_a_shutdown() {
    let (node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    client.send_read(1);
    assert_eq!(client.served_id(), Some(1));
    let stopped = std::thread::spawn(move || host.stop());
    // The longest deadline is 1.2 s, so the host may be killed 1.9 s after the shutdown began and closes idle
    // connections from 1.5 s on.
    std::thread::sleep(Duration::from_millis(950));
    client.send_read(2);
    assert_eq!(client.served_id(), Some(2));
    assert_eq!(client.reply(), None, "closed at the end");
    assert!(stopped.join().unwrap());
}

/// A request that arrives late in a shutdown is answered before the host exits, however long its client would
/// wait.
#[test]
fn a_request_without_a_response_is_answered_before_the_host_exits() {
    let (node, _) = fake_node(|_, _| Reaction::NoReply);
    let agent = fake_discovery(1, &[node]);
    let (host, address) = start_host(&agent, &[node]);
    let mut client = Client::connect(address);
    client.send(&["PING"]);
    assert!(client.reply().is_some());
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(950));
    client.send_read_with(2, 0, 60_000);
    assert!(matches!(client.reply(), Some(Reply::Error(_))));
    assert!(stopped.join().unwrap());
}

/// A new configuration names another discovery address, whose list is then in force.
#[test]
fn a_new_discovery_address_takes_effect() {
    let calls = Arc::new(AtomicUsize::new(0));
    let (old_node, _) = fake_node(|_, c| Reaction::Reply(value_reply(c)));
    let counted = calls.clone();
    let (new_node, _) = fake_node(move |_, c| {
        counted.fetch_add(1, Ordering::SeqCst);
        Reaction::Reply(value_reply(c))
    });
    let old = fake_discovery(1, &[old_node]);
    let (host, address) = start_host(&old, &[old_node]);
    let new = fake_discovery(2, &[new_node]);
    host.set_discovery_address(new.address());
    drop(old);
    let mut client = Client::connect(address);
    let mut id = 0;
    wait_until("the new node receives a request", || {
        id += 1;
        client.send_read(id);
        client.reply();
        calls.load(Ordering::SeqCst) > 0
    });
}

/// Guards against a client that does not read its replies filling memory or blocking the threads that write.
#[test]
fn a_client_that_does_not_read_its_replies_blocks_nobody() {
    let large_reply =
        [b"*3\r\n$60000\r\n".to_vec(), vec![b'v'; 60_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, _) = fake_node(move |_, _| Reaction::Reply(large_reply.clone()));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut not_reading = Client::connect(address);
    not_reading.stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let not_reading = std::thread::spawn(move || {
        for id in 1_000..1_400u64 {
            let list = "c=read,t=gold,d=1000,volume=0000000000000002,units=1,shard=0,hosts=3";
            let command = format!(
                "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{id:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
                list.len()
            );
            if not_reading.stream.write_all(command.as_bytes()).is_err() {
                break;
            }
        }
        not_reading
    });
    let mut client = Client::connect(address);
    let mut served = 0;
    wait_until("thirty requests of another client are served", || {
        served += 1;
        client.send_read(served);
        matches!(client.reply(), Some(Reply::Bulk(Some(v))) if v.len() == 60_000) && served >= 30
    });
    drop(not_reading.join().unwrap());
}
