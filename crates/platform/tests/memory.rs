//! The bytes that a host holds for its connections, against its memory limit.

use bytes::Bytes;
use pearfork_platform::config::Limits;
use pearfork_platform::descriptors::max_client_connections;
use pearfork_platform::memory::{client_budget, max_node_list_bytes, node_budget, request_bytes, HeldBytes};
use proptest::prelude::*;
use std::sync::Arc;

const MB: usize = 1 << 20;
/// The limits that the platform gives at the least and at the most.
const LIMITS: [Limits; 2] = [
    Limits { descriptors: 256, memory_bytes: 32 * MB },
    Limits { descriptors: 1_024, memory_bytes: 192 * MB },
];
/// The most that a host reads at once.
const CHUNK: usize = 16 * 1024;
/// The largest command.
const COMMAND: usize = 65 * 1024;

/// Lets each connection hold chunks for as long as it may be read.
fn fill(accounts: &[Arc<pearfork_platform::memory::ByteAccount>]) -> Vec<HeldBytes> {
    let mut held = Vec::new();
    loop {
        let before = held.len();
        for account in accounts.iter().filter(|a| a.may_read()) {
            held.push(account.hold(CHUNK));
        }
        if held.len() == before {
            return held;
        }
    }
}

/// Guards against a host that is killed over its memory limit when all clients send as fast as they can.
#[test]
fn all_connections_together_stay_well_below_the_memory_limit() {
    for limits in LIMITS {
        for budget in [client_budget(&limits), node_budget(&limits)] {
            let accounts: Vec<_> =
                (0..max_client_connections(limits.descriptors)).map(|_| budget.open_account()).collect();
            let held = fill(&accounts);
            let total: usize = accounts.iter().map(|a| a.held()).sum();
            assert_eq!(total, held.len() * CHUNK);
            // The last chunk of each connection may exceed its reserve.
            assert!(total < limits.memory_bytes / 2, "{total} of {}", limits.memory_bytes);
            drop(held);
            assert_eq!(budget.shared_in_use(), 0);
        }
        assert!(max_node_list_bytes(&limits) > 3_200 * 256 && max_node_list_bytes(&limits) < 8 * MB);
    }
}

/// Guards against a few clients that send much and take all room from the others.
#[test]
fn beside_clients_that_send_all_they_can_another_one_has_room_for_a_command() {
    for limits in LIMITS {
        let budget = client_budget(&limits);
        for eager in [1, 10, max_client_connections(limits.descriptors) / 3] {
            let accounts: Vec<_> = (0..eager).map(|_| budget.open_account()).collect();
            let _held = fill(&accounts);
            let other = budget.open_account();
            assert!(other.may_read() && other.has_room(request_bytes(COMMAND)), "{eager} eager clients");
        }
    }
}

#[test]
fn attached_bytes_count_until_the_last_reference_is_dropped() {
    let account = client_budget(&LIMITS[0]).open_account();
    let data = account.hold(5).attach_to(Bytes::from_static(b"value"));
    let part = data.slice(1..2);
    assert_eq!((&data[..], account.held()), (&b"value"[..], 5));
    drop(data);
    assert_eq!(account.held(), 5);
    drop(part);
    assert_eq!(account.held(), 0);
}

proptest! {
    /// Whatever is held and released in whatever order, the shared part is what the accounts hold beyond
    /// their reserves, and it returns to nothing.
    #[test]
    fn the_shared_part_follows_the_accounts(
        changes in prop::collection::vec((0usize..6, 0usize..200_000), 1..200),
    ) {
        let budget = client_budget(&LIMITS[0]);
        let accounts: Vec<_> = (0..6).map(|_| budget.open_account()).collect();
        let mut held: Vec<HeldBytes> = accounts.iter().map(|a| a.hold(0)).collect();
        let reserve = LIMITS[0].memory_bytes / 3 / 2 / max_client_connections(LIMITS[0].descriptors);
        for (connection, bytes) in changes {
            held[connection].set(bytes);
            let excess: usize = accounts.iter().map(|a| a.held().saturating_sub(reserve)).sum();
            prop_assert_eq!(budget.shared_in_use(), excess);
        }
        held.clear();
        prop_assert_eq!(budget.shared_in_use(), 0);
    }
}
