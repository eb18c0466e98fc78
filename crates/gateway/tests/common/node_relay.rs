//! A TCP relay in front of a fake node, which can hold back the bytes of either direction.

use super::{any_port, ms};
use pearfork_stand::{FakeCluster, FakeNode};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Whether the bytes of each direction are held back.
#[derive(Default)]
struct Holds {
    to_node: AtomicBool,
    from_node: AtomicBool,
}

/// A relay with an address of its own.
#[derive(Clone)]
pub struct NodeRelay {
    address: SocketAddr,
    holds: Arc<Holds>,
}

impl NodeRelay {
    /// Starts a relay in front of a node, and lists it in the directory in the node's place.
    pub fn start(cluster: &FakeCluster, node: u32) -> NodeRelay {
        let listener = TcpListener::bind(any_port()).unwrap();
        let relay = NodeRelay { address: listener.local_addr().unwrap(), holds: Arc::default() };
        let node = cluster.node(node);
        let upstream = node.address().expect("a running node").0;
        let accepting = relay.clone();
        std::thread::spawn(move || {
            for host in listener.incoming().flatten() {
                accepting.relay(host, upstream);
            }
        });
        relay.list(cluster, node);
        relay
    }

    fn list(&self, cluster: &FakeCluster, node: &FakeNode) {
        let spec = node.spec();
        let id = (spec.id, spec.shard, spec.zone);
        cluster.directory().set(id, "ready", 0.0, self.address, Duration::ZERO);
    }

    /// Holds back what hosts send, or lets it go. A connection can't come up while it is held back.
    pub fn hold_to_node(&self, hold: bool) {
        self.holds.to_node.store(hold, Ordering::SeqCst);
    }

    /// Holds back what the node sends, or lets it go.
    pub fn hold_from_node(&self, hold: bool) {
        self.holds.from_node.store(hold, Ordering::SeqCst);
    }

    fn relay(&self, host: TcpStream, upstream: SocketAddr) {
        let Ok(node) = TcpStream::connect(upstream) else { return };
        let _ = (host.set_nodelay(true), node.set_nodelay(true));
        let (Ok(host_reader), Ok(node_reader)) = (host.try_clone(), node.try_clone()) else { return };
        let holds = self.holds.clone();
        std::thread::spawn(move || forward(host_reader, node, || holds.to_node.load(Ordering::SeqCst)));
        let holds = self.holds.clone();
        std::thread::spawn(move || forward(node_reader, host, || holds.from_node.load(Ordering::SeqCst)));
    }
}

/// Forwards bytes until either end closes, and waits while they are held back.
fn forward(mut from: TcpStream, mut to: TcpStream, is_held: impl Fn() -> bool) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buffer) {
        while is_held() {
            std::thread::sleep(ms(1));
        }
        if to.write_all(&buffer[..n]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
