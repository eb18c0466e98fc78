//! Resource use of a host that shares its machine with hundreds of others. A test binary of its own, since it
//! counts the threads of the process.

#[expect(dead_code)]
mod common;

use common::{fake_discovery, fake_node, start_host, value_reply, wait_until, Client, Reaction, FAKE_THREAD};
use std::time::Duration;

/// Number of threads of this process that do not belong to a fake node or to fake discovery.
fn threads() -> usize {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let names = tasks.filter_map(|t| std::fs::read_to_string(t.ok()?.path().join("comm")).ok());
    names.filter(|name| name.trim() != FAKE_THREAD && !name.starts_with("http")).count()
}

/// Guards against one thread per connection: three hundred hosts on one machine used up its threads, and a
/// host that could not start one closed connections that it had accepted and lost their requests.
#[test]
fn the_number_of_threads_does_not_depend_on_connections() {
    let (node, received) = fake_node(|_, c| Reaction::ReplyAfter(Duration::from_millis(300), value_reply(c)));
    let agent = fake_discovery(1, &[node]);
    let (_host, address) = start_host(&agent, &[node]);
    let mut first = Client::connect(address);
    first.send_read(1);
    assert_eq!(first.served_id(), Some(1));
    let before = threads();
    let mut clients: Vec<Client> = (0..100).map(|_| Client::connect(address)).collect();
    for (id, client) in (2..).zip(&mut clients) {
        client.send_read_with(id, 0, 5_000);
    }
    wait_until("several requests are in flight at once", || received.lock().unwrap().len() > 3);
    // A thread gets its own name only a moment after its start.
    wait_until("no more threads than before", || threads() == before);
    for client in &mut clients {
        assert!(client.reply().is_some());
    }
}
