//! A whole host on sockets: usual clients, bad clients, bad nodes, restarts.

mod common;

use common::{discovery, host, is_error, list_of, node, until, value, Client, Reaction};
use pearfork_resp::Reply;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn a_request_is_served_with_the_value_of_its_node_and_answers_keep_their_order() {
    let slow = Duration::from_millis(60);
    let (node, heard) = node(move |n, c| match n {
        0 => Reaction::Later(slow, value(c)),
        _ => Reaction::Say(value(c)),
    });
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    client.read(0xa1);
    client.read(0xa2);
    client.send(&["PING"]);
    assert_eq!(client.served(), Some(0xa1));
    assert_eq!(client.served(), Some(0xa2));
    assert_eq!(client.reply(), Some(Reply::Simple("PONG".into())));
    let heard = heard.lock().unwrap();
    assert_eq!(heard.len(), 2);
    // The node is told how long the host waits: no longer than the client does.
    let wait: u32 =
        list_of(&heard[0]).split("d=").nth(1).unwrap().split(',').next().unwrap().parse().unwrap();
    assert!((1..=1_000).contains(&wait), "{wait}");
}

/// Danger: a second copy of an answer, or noise behind it, is read as the answer to the next command, and a client
/// is served what was made for another.
#[test]
fn what_a_node_sends_beyond_its_answer_is_nobody_s() {
    let (node, _) = node(|n, c| {
        let good = value(c);
        Reaction::Say(match n % 3 {
            0 => [good.clone(), good].concat(),
            1 => [good, b"$5\r\nnoi".to_vec()].concat(),
            _ => good,
        })
    });
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    for id in 1..60 {
        client.read(id);
        assert_eq!(client.served(), Some(id));
    }
}

/// A spoilt answer has failed and may have run: a safe request is tried again, and memory stays small.
#[test]
fn a_spoilt_answer_is_followed_by_another_attempt() {
    let spoilt: [&[u8]; 4] =
        [b"$3000000000\r\nxxxxxxxx", b"*3\r\n$2\r\nabcdef\r\n", b"\x00\x01noise\r\n", b"+OK\r\n"];
    let (node, heard) = node(move |n, c| match spoilt.get(n / 2) {
        Some(bytes) if n % 2 == 0 => Reaction::Say(bytes.to_vec()),
        _ => Reaction::Say(value(c)),
    });
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    for id in 1..=4 {
        client.read(id);
        assert_eq!(client.served(), Some(id));
    }
    assert_eq!(heard.lock().unwrap().len(), 8);
}

#[test]
fn a_node_that_turns_away_all_is_refused_to_the_client_with_a_promise() {
    let (node, heard) = node(|_, _| Reaction::Say(b"-BUSY\r\n".to_vec()));
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    client.read(1);
    assert!(is_error(&client.reply(), "BUSY"));
    assert!(heard.lock().unwrap().len() <= 4);
}

/// Rule 1, and nothing of a hung node holds up another's requests.
#[test]
fn a_node_that_answers_nothing_costs_its_requests_and_no_others() {
    let (hung, _) = node(|_, _| Reaction::Nothing);
    let (sound, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[hung, sound]);
    let (_host, address) = host(&told, &[hung, sound]);
    let mut waits = Client::connect(address);
    let began = Instant::now();
    waits.read_of(1, 0, 700);
    let mut client = Client::connect(address);
    for id in 2..20 {
        client.read_of(id, 1, 1_000);
        assert_eq!(client.served(), Some(id));
    }
    assert!(matches!(waits.reply(), Some(Reply::Error(_))));
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
}

/// Danger: an id that another request has open would make two requests one at a node that drops repeats.
#[test]
fn an_id_in_use_is_an_error_and_the_first_is_served() {
    let (node, heard) = node(|_, c| Reaction::Later(Duration::from_millis(80), value(c)));
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let (mut first, mut second) = (Client::connect(address), Client::connect(address));
    first.read(7);
    until("the first is out", || !heard.lock().unwrap().is_empty());
    second.read(7);
    assert!(is_error(&second.reply(), "ERR id is in use"));
    assert_eq!(first.served(), Some(7));
    assert_eq!(heard.lock().unwrap().len(), 1);
}

/// Each is owed an error or a close within 3 s, and none of them costs a usual client its answer.
#[test]
fn bad_clients_get_an_error_or_a_close_and_the_usual_ones_their_answers() {
    let (node, heard) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let silent: Vec<Client> = (0..300).map(|_| Client::connect(address)).collect();
    let bad: [&[u8]; 9] = [
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
    let bad: Vec<(Client, Instant)> = bad
        .iter()
        .map(|bytes| {
            let mut c = Client::connect(address);
            c.stream.write_all(bytes).unwrap();
            (c, Instant::now())
        })
        .collect();
    let mut client = Client::connect(address);
    for id in 1..50 {
        client.read(id);
        assert_eq!(client.served(), Some(id));
    }
    for (i, (mut c, since)) in bad.into_iter().enumerate() {
        let got = c.reply();
        assert!(got.is_none() || is_error(&got, "ERR"), "{i}: {got:?}");
        assert!(since.elapsed() < Duration::from_secs(3), "{i}: {:?}", since.elapsed());
    }
    for mut c in silent {
        assert_eq!(c.stream.read(&mut [0]).unwrap_or(0), 0);
    }
    assert_eq!(heard.lock().unwrap().len(), 49, "nothing of the bad ones reached the node");
}

/// Danger: nonsense at full speed takes the core. Its errors come at once, and its next command is read later each time.
#[test]
fn nonsense_again_and_again_ends_in_a_close() {
    let told = discovery(1, &[]);
    let (_host, address) = host(&told, &[]);
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
fn a_client_that_leaves_costs_nobody_anything() {
    let (node, _) = node(|_, c| Reaction::Later(Duration::from_millis(30), value(c)));
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    for id in 1..20 {
        Client::connect(address).read(id);
    }
    let mut client = Client::connect(address);
    until("a request is served", || {
        client.read(99);
        client.served() == Some(99)
    });
}

/// A planned restart: what is taken before and shortly after is answered, then all is closed.
#[test]
fn a_host_that_leaves_answers_what_it_took() {
    let (node, heard) = node(|_, c| Reaction::Later(Duration::from_millis(700), value(c)));
    let told = discovery(1, &[node]);
    let (host, address) = host(&told, &[node]);
    let mut before = Client::connect(address);
    before.read(1);
    until("it is out", || !heard.lock().unwrap().is_empty());
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(100));
    let mut after = Client::connect(address);
    after.send(&["PING"]);
    assert_eq!(after.reply(), Some(Reply::Simple("PONG".into())));
    assert_eq!(before.served(), Some(1));
    assert_eq!((before.reply(), after.reply()), (None, None));
    assert!(stopped.join().unwrap());
}

/// Danger: clients go on using the connections that they have. A host that closes them early serves them nothing for
/// seconds, and with a tenth of a fleet on its way out at any time that is a tenth of its service.
#[test]
fn a_host_that_leaves_serves_open_connections_until_shortly_before_its_end() {
    let (node, _) = node(|_, c| Reaction::Say(value(c)));
    let told = discovery(1, &[node]);
    let (host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    client.read(1);
    assert_eq!(client.served(), Some(1));
    let stopped = std::thread::spawn(move || host.stop());
    // The longest deadline is 1.2 s: it may be ended 1.9 s after the word, and closes what is idle from 1.5 s on.
    std::thread::sleep(Duration::from_millis(950));
    client.read(2);
    assert_eq!(client.served(), Some(2));
    assert_eq!(client.reply(), None, "closed in the end");
    assert!(stopped.join().unwrap());
}

/// What comes late has its answer before the host ends, whatever its client would wait.
#[test]
fn a_host_that_leaves_answers_in_time_what_its_node_does_not() {
    let (node, _) = node(|_, _| Reaction::Nothing);
    let told = discovery(1, &[node]);
    let (host, address) = host(&told, &[node]);
    let mut client = Client::connect(address);
    client.send(&["PING"]);
    assert!(client.reply().is_some());
    let stopped = std::thread::spawn(move || host.stop());
    std::thread::sleep(Duration::from_millis(950));
    client.read_of(2, 0, 60_000);
    assert!(matches!(client.reply(), Some(Reply::Error(_))));
    assert!(stopped.join().unwrap());
}

/// A new configuration names discovery elsewhere: what it tells there is what counts.
#[test]
fn discovery_is_followed_to_its_new_address() {
    let calls = Arc::new(AtomicUsize::new(0));
    let (old_node, _) = node(|_, c| Reaction::Say(value(c)));
    let counted = calls.clone();
    let (new_node, _) = node(move |_, c| {
        counted.fetch_add(1, Ordering::SeqCst);
        Reaction::Say(value(c))
    });
    let old = discovery(1, &[old_node]);
    let (host, address) = host(&old, &[old_node]);
    let new = discovery(2, &[new_node]);
    host.set_discovery_address(new.address());
    drop(old);
    let mut client = Client::connect(address);
    let mut id = 0;
    until("the new node is asked", || {
        id += 1;
        client.read(id);
        client.reply();
        calls.load(Ordering::SeqCst) > 0
    });
}

/// Danger: answers that a client does not read fill memory, or hold up whoever writes them.
#[test]
fn a_client_that_does_not_read_its_answers_stalls_nobody() {
    let big = [b"*3\r\n$60000\r\n".to_vec(), vec![b'v'; 60_000], b"\r\n$-1\r\n$-1\r\n".to_vec()].concat();
    let (node, _) = node(move |_, _| Reaction::Say(big.clone()));
    let told = discovery(1, &[node]);
    let (_host, address) = host(&told, &[node]);
    let mut deaf = Client::connect(address);
    deaf.stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
    let deaf = std::thread::spawn(move || {
        for id in 1_000..1_400u64 {
            let list = "c=read,t=gold,d=1000,volume=0000000000000002,units=1,shard=0,hosts=3";
            let command = format!(
                "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n{id:016x}\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n",
                list.len()
            );
            if deaf.stream.write_all(command.as_bytes()).is_err() {
                break;
            }
        }
        deaf
    });
    let mut client = Client::connect(address);
    let mut served = 0;
    until("thirty are served beside it", || {
        served += 1;
        client.read(served);
        matches!(client.reply(), Some(Reply::Bulk(Some(v))) if v.len() == 60_000) && served >= 30
    });
    drop(deaf.join().unwrap());
}
