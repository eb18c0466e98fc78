//! `pearfork-gateway service` as the platform starts it: a fleet of 1,024 hosts in the settings, lists of 1,100 nodes, bad
//! files and lists with requests in work, signals that cross.

mod service_harness;

use rustix::process::Signal;
use service_harness::{answered, ask, connect, discovery, free, list, node, write_config, Program, SERVED};
use std::io::Read;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[test]
fn bad_files_and_lists_change_nothing_and_hundreds_of_names_may_come_and_go() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let serves = node(Duration::from_millis(100));
    let told = Arc::new(Mutex::new((1, list(1, serves, "a", 1_100))));
    let agent = discovery(told.clone());
    let listen = free();
    write_config(&file, listen, agent.address(), &list(0, serves, "a", 0));
    let mut host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    let before = host.threads_and_descriptors();
    for (round, seq) in (2..8u64).enumerate() {
        // All other names are replaced, a list makes no sense, and a file does not, each with a request in work.
        ask(&mut client, 100 + seq);
        *told.lock().unwrap() = (seq * 10, list(seq * 10, serves, &format!("n{round}"), 1_100));
        std::fs::write(&file, "{\"name\": \"n3\", \"listen\": 7}").unwrap();
        host.signal(Signal::HUP);
        assert_eq!(answered(&mut client), SERVED);
        *told.lock().unwrap() = (seq * 10 + 1, r#"{"seq":1,"whole":true,"hosts":[{"host":""}]}"#.to_owned());
        ask(&mut client, 200 + seq);
        assert_eq!(answered(&mut client), SERVED);
    }
    host.says("configuration not reloaded, the previous one stays in force");
    host.says("hosts[0].");
    host.says("going on with the list as it is");
    let after = host.threads_and_descriptors();
    assert_eq!(after.0, before.0, "threads");
    assert!(after.1 <= before.1 + 4, "descriptors: {before:?} and {after:?}");
    host.signal(Signal::TERM);
    assert_eq!(host.ends(), Some(0));
}

/// Guards against a file that is half written at SIGHUP and whole a moment later: its discovery was never followed.
#[test]
fn a_file_that_is_whole_only_after_the_signal_is_read_all_the_same() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let (old_node, new_node) = (node(Duration::ZERO), node(Duration::ZERO));
    let old = discovery(Arc::new(Mutex::new((1, list(1, old_node, "a", 1)))));
    let new = discovery(Arc::new(Mutex::new((9, list(9, new_node, "b", 1)))));
    let listen = free();
    write_config(&file, listen, old.address(), &list(0, old_node, "a", 1));
    let host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    write_config(&file, listen, new.address(), &list(0, old_node, "a", 1));
    let whole = std::fs::read(&file).unwrap();
    std::fs::write(&file, &whole[..whole.len() / 2]).unwrap();
    host.signal(Signal::HUP);
    host.says("configuration not reloaded, the previous one stays in force");
    std::fs::write(&file, &whole).unwrap();
    host.says("configuration reloaded");
    ask(&mut client, 2);
    assert_eq!(answered(&mut client), SERVED);
}

/// Ready with discovery silent, and with clients in the queue before it listens for them.
#[test]
fn a_host_is_ready_with_discovery_silent_and_serves_by_the_list_that_it_had() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = free();
    let serves = node(Duration::ZERO);
    write_config(&file, listen, silent.local_addr().unwrap(), &list(5, serves, "a", 1_100));
    let began = Instant::now();
    let _host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
}

/// Signals that cross: told to end twice and to read its file anew, with a request in work.
#[test]
fn two_words_to_end_and_a_new_file_in_between_end_one_host_with_its_answers_given() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    let serves = node(Duration::from_millis(400));
    let agent = discovery(Arc::new(Mutex::new((1, list(1, serves, "a", 3)))));
    let listen = free();
    write_config(&file, listen, agent.address(), &list(0, serves, "a", 0));
    let mut host = Program::start(&file);
    let mut client = connect(listen);
    ask(&mut client, 1);
    assert_eq!(answered(&mut client), SERVED);
    ask(&mut client, 2);
    for signal in [Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
        host.signal(signal);
    }
    assert_eq!(answered(&mut client), SERVED);
    assert_eq!(client.read(&mut [0; 16]).unwrap(), 0, "an orderly end");
    assert_eq!(host.ends(), Some(0));
}
