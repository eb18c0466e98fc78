//! The program against its memory limit: clients and nodes that send as much as they can.

mod service_harness;

use service_harness::{
    config, connect, full_list, get_command, node_line, read_reply, start_discovery, start_node,
    unused_address, wait_until_ready, GatewayProcess, SERVED_REPLY,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The smallest limits that the platform gives.
const MEMORY_MB: usize = 32;
const DESCRIPTORS: usize = 256;
/// The largest value.
const VALUE_BYTES: usize = 64 * 1024;
/// Clients that send as much as they can; with the usual one they hold less than a third of the descriptors.
const EAGER_CLIENTS: u64 = 60;
/// Commands that each of them sends in one go.
const EAGER_COMMANDS: u64 = 100;
/// Reads of the usual client beside them, one at a time, and how many of them may be refused: the requests of
/// all clients share the connections to nodes.
const USUAL_READS: u64 = 40;
const MAX_USUAL_REFUSED: u64 = 4;
/// Ids of the usual client, which are beyond all others.
const USUAL_IDS: u64 = 1 << 32;

/// A program with the smallest limits, before the node that the eager clients use and one for the usual
/// client; kept until the test ends.
struct Host {
    program: GatewayProcess,
    address: SocketAddr,
    _folder: tempfile::TempDir,
    _discovery: pearfork_net::http::Server,
}

fn start_host(node: SocketAddr) -> Host {
    let folder = tempfile::tempdir().unwrap();
    let usual = start_node(Duration::from_millis(2));
    let list = full_list(1, &[node_line("s-1", node, 0, "SERVING"), node_line("s-2", usual, 1, "SERVING")]);
    let discovery = start_discovery(Arc::new(Mutex::new((1, list.clone()))));
    let address = unused_address();
    let mut config = config(address, discovery.address(), &list, 1);
    config["limits"]["memory_mb"] = MEMORY_MB.into();
    config["limits"]["sockets"] = DESCRIPTORS.into();
    config["settings"]["Plans"][0]["Nominal"] = 10_000.0.into();
    let file = folder.path().join("config.json");
    std::fs::write(&file, config.to_string()).unwrap();
    let program = GatewayProcess::start_limited(&file, DESCRIPTORS);
    wait_until_ready(address, Instant::now());
    Host { program, address, _folder: folder, _discovery: discovery }
}

impl Host {
    /// Sends reads one at a time and asserts that they are served and that the host stays within its memory.
    fn serve_usual_client(&self) {
        let mut client = connect(self.address);
        let mut refused = 0;
        for number in 0..USUAL_READS {
            let command = String::from_utf8(get_command(USUAL_IDS + number)).unwrap();
            client.write_all(command.replace("shard=0", "shard=1").as_bytes()).unwrap();
            let reply = read_reply(&mut client);
            assert!(reply == SERVED_REPLY || reply.starts_with("-BUSY"), "{reply}");
            refused += u64::from(reply != SERVED_REPLY);
            std::thread::sleep(Duration::from_millis(25));
        }
        let peak_mb = self.program.peak_resident_kb() / 1024;
        println!("peak memory {peak_mb} MB of {MEMORY_MB} MB, {refused} of {USUAL_READS} reads refused");
        assert!(refused <= MAX_USUAL_REFUSED, "{refused} of {USUAL_READS} refused");
        assert!(peak_mb < MEMORY_MB, "{peak_mb} MB of {MEMORY_MB} MB");
    }
}

/// Starts clients that write bytes on a connection and then read whatever they are sent, or nothing at all.
fn start_eager_clients(address: SocketAddr, reads: bool, bytes_of: fn(u64) -> Vec<u8>) -> Vec<TcpStream> {
    let start = |number: u64| {
        let stream = connect(address);
        let (mut input, mut output) = (stream.try_clone().unwrap(), stream.try_clone().unwrap());
        std::thread::spawn(move || drop(output.write_all(&bytes_of(number))));
        if reads {
            std::thread::spawn(move || while input.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
        }
        stream
    };
    (0..EAGER_CLIENTS).map(start).collect()
}

fn write_command(id: u64) -> Vec<u8> {
    let list = "c=write,t=gold,d=1200,k=0000000000000001,volume=0000000000000001,units=1,shard=0,hosts=1";
    let mut command = format!(
        "*5\r\n$7\r\nOBJ.PUT\r\n$16\r\n0000000000000001\r\n$16\r\n{id:016x}\r\n${}\r\n{list}\r\n${VALUE_BYTES}\r\n",
        list.len()
    )
    .into_bytes();
    command.resize(command.len() + VALUE_BYTES, b'v');
    command.extend_from_slice(b"\r\n");
    command
}

fn ids_of(client: u64) -> std::ops::Range<u64> {
    client * EAGER_COMMANDS + 1..(client + 1) * EAGER_COMMANDS + 1
}

/// Guards against a host that is killed over its memory limit when clients send many writes in one go.
#[test]
fn many_large_writes_in_one_go_leave_the_host_within_its_memory() {
    let host = start_host(start_node(Duration::from_millis(2)));
    let _clients =
        start_eager_clients(host.address, true, |client| ids_of(client).flat_map(write_command).collect());
    host.serve_usual_client();
}

/// Guards against half commands that fill the memory: nothing of them is open, so no limit of open commands
/// applies.
#[test]
fn many_large_half_commands_leave_the_host_within_its_memory() {
    let host = start_host(start_node(Duration::from_millis(2)));
    let _clients = start_eager_clients(host.address, true, |client| {
        let mut half = write_command(client + 1);
        half.truncate(VALUE_BYTES);
        half
    });
    host.serve_usual_client();
}

/// Guards against replies that fill the memory while their clients do not read them.
#[test]
fn large_values_that_nobody_reads_leave_the_host_within_its_memory() {
    let node = start_value_node(|_| true);
    let host = start_host(node);
    let _clients =
        start_eager_clients(host.address, false, |client| ids_of(client).flat_map(get_command).collect());
    host.serve_usual_client();
}

/// Guards against replies of nodes that never end, on all connections at once.
#[test]
fn values_that_never_end_leave_the_host_within_its_memory() {
    let node = start_value_node(|_| false);
    let host = start_host(node);
    let _clients =
        start_eager_clients(host.address, true, |client| ids_of(client).flat_map(get_command).collect());
    host.serve_usual_client();
}

/// Starts a node that serves each request with the largest value, of which the end is missing unless
/// `is_whole` holds for the request's id.
fn start_value_node(is_whole: fn(u64) -> bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve_values(stream, is_whole));
        }
    });
    address
}

fn serve_values(mut stream: TcpStream, is_whole: fn(u64) -> bool) {
    let limits = pearfork_resp::CommandLimits { args: 8, arg_bytes: 1 << 17, total_bytes: 1 << 18 };
    let (mut commands, mut chunk) = (pearfork_resp::CommandDecoder::new(limits), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut chunk) {
        commands.buffer().extend_from_slice(&chunk[..n]);
        while let Some(command) = commands.next_command().unwrap() {
            let id = u64::from_str_radix(std::str::from_utf8(&command[2]).unwrap(), 16).unwrap();
            let mut reply = format!("*3\r\n${VALUE_BYTES}\r\n").into_bytes();
            reply.resize(reply.len() + VALUE_BYTES, b'v');
            reply.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
            if !is_whole(id) {
                reply.truncate(VALUE_BYTES);
            }
            if stream.write_all(&reply).is_err() {
                return;
            }
        }
    }
}
