//! The program against a running host, an unhealthy host and an address without a host.

use pearfork_host::settings::HostSettings;
use pearfork_host::Host;
use pearfork_stand::{FakeCluster, FakeClusterSpec, Recorder};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

fn ctl(arguments: &[&str]) -> (i32, String) {
    let out: Output = Command::new(env!("CARGO_BIN_EXE_pearfork-ctl")).args(arguments).output().unwrap();
    (out.status.code().unwrap(), String::from_utf8(out.stdout).unwrap())
}

#[test]
fn a_running_host_reports_its_health_nodes_and_volumes() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
    let spec = FakeClusterSpec { node_count: 3, racks: 1, ..FakeClusterSpec::default() };
    let cluster =
        FakeCluster::start(&spec, &settings.scheduler, any_port, Duration::ZERO, &Recorder::disabled())
            .unwrap();
    (settings.listen, settings.http, settings.directory) =
        (any_port, Some(any_port), cluster.directory().address());
    let host = Host::start(settings).unwrap();
    let address = host.http_address().unwrap().to_string();
    let deadline = Instant::now() + Duration::from_secs(10);
    while ctl(&["health", "--host", &address]).0 != 0 {
        assert!(Instant::now() < deadline, "the host did not become healthy within 10 s");
    }
    let (code, table) = ctl(&["nodes", "--host", &address, "--json=false"]);
    assert_eq!((code, table.lines().count()), (0, 4), "{table}");
    assert!(table.starts_with("node") && table.contains("ready"));
    let (_, volumes) = ctl(&["volumes", "--host", &address]);
    let volumes: serde_json::Value = serde_json::from_str(&volumes).unwrap();
    assert_eq!(volumes["rows"][0]["name"], "demo");
    assert!(ctl(&["metrics", "--host", &address, "--json=false"]).1.contains("# TYPE"));
    // A healthy host does not hide an unreachable one.
    let unreachable = "127.0.0.1:9";
    let (code, output) = ctl(&["health", "--host", &address, "--host", unreachable, "--json=false"]);
    assert!(code == 2 && output.contains("ok") && output.contains("silent: "), "{output}");
    // A host without nodes is unhealthy.
    (1..=3).for_each(|n| cluster.kill_node(n));
    let deadline = Instant::now() + Duration::from_secs(10);
    while ctl(&["health", "--host", &address]).0 != 1 {
        assert!(Instant::now() < deadline, "the host did not become unhealthy within 10 s");
    }
}

#[test]
fn drain_reports_a_draining_host_and_waits_until_it_exits() {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = HostSettings::from_toml(include_str!("../../../examples/quickstart.toml")).unwrap();
    let cluster = FakeCluster::start(
        &FakeClusterSpec::default(),
        &settings.scheduler,
        any_port,
        Duration::ZERO,
        &Recorder::disabled(),
    )
    .unwrap();
    (settings.listen, settings.http, settings.directory) =
        (any_port, Some(any_port), cluster.directory().address());
    let host = Host::start(settings).unwrap();
    let http = host.http_address().unwrap();
    let address = http.to_string();
    // A page in a browser can send a plain POST to any local port. It must not stop a host.
    let mut stream = std::net::TcpStream::connect(http).unwrap();
    std::io::Write::write_all(&mut stream, b"POST /drain HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    let mut response = String::new();
    std::io::Read::read_to_string(&mut stream, &mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 403"), "{response}");
    assert!(host.drain_requests().is_empty());
    // `drain` has no default host.
    assert_eq!(ctl(&["drain"]).0, 2);
    // Without waiting, `drain` returns at once, and the host runs until its owner stops it.
    let (code, output) = ctl(&["drain", "--host", &address, "--wait", "0", "--json=false"]);
    assert!(code == 0 && output.contains("it drains"), "{output}");
    let (code, output) = ctl(&["health", "--host", &address, "--json=false"]);
    assert!(code == 1 && output.contains("draining, 0 commands open"), "{output}");
    let (code, output) = ctl(&["drain", "--host", &address, "--wait", "1", "--json=false"]);
    assert!(code == 1 && output.contains("still running: 503: draining"), "{output}");
    assert_eq!(host.drain_requests().try_iter().count(), 1, "one notification for all drain requests");
    let owner = std::thread::spawn(move || {
        host.drain_requests().recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(host.stop());
    });
    let (code, output) = ctl(&["drain", "--host", &address, "--json=false"]);
    owner.join().unwrap();
    assert!(code == 0 && output.contains("gone"), "{output}");
}

#[test]
fn the_man_page_and_completions_are_generated_from_the_flags() {
    let (code, page) = ctl(&["--generate", "man"]);
    assert!(
        code == 0 && page.contains(".TH pearfork") && page.contains("HTTP addresses of the hosts"),
        "{page}"
    );
    let (code, bash) = ctl(&["--generate", "bash"]);
    assert!(code == 0 && bash.contains("--host") && bash.contains("volumes"));
    assert_eq!(ctl(&["--generate", "unknown"]).0, 2);
}
