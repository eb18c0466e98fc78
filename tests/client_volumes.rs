//! What a host keeps of volumes, which clients name.

mod common;
use common::*;
use pearfork::*;

/// Requests a second, each for a volume of its own, and how many before and after memory is compared.
const REQUESTS_PER_SECOND: f64 = 5_000.0;
const REQUESTS: u32 = 100_000;
/// Far less than the state of as many volumes.
const MAX_GROWTH_BYTES: i64 = 1 << 20;

fn send_requests(h: &mut Host, ids: std::ops::Range<u32>) {
    for id in ids {
        let now = f64::from(id) * 1_000.0 / REQUESTS_PER_SECOND;
        h.run_timers_until(now);
        let volume = u64::from(id) + 1;
        let actions = h.at(now, Event::Request(Request { volume, ..request(id, now + 900.0) }));
        for (id, node) in sent(&actions) {
            h.at(now, Event::AttemptEnded(outcome(id, 0, node, AttemptResult::Served)));
        }
    }
}

/// Guards against memory that grows with the names of volumes that clients make up.
#[test]
fn volumes_that_clients_make_up_are_not_all_kept() {
    let mut h = Host::with_nodes(settings(), &[entry(7, 0)]);
    send_requests(&mut h, 0..REQUESTS);
    let growth = allocation_counter::measure(|| send_requests(&mut h, REQUESTS..2 * REQUESTS)).bytes_current;
    println!("grew by {growth} bytes over {REQUESTS} volumes");
    assert!(growth < MAX_GROWTH_BYTES, "{growth} bytes");
}
